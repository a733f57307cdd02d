"""Which members report for a cell, to which collectors, and how the replies are used.

All members select the same reporters and collectors by a rendezvous hash of the names, without communication.
Where their views of the live members differ for a moment, one member more or less reports, which is harmless.

The only action that a node takes on the fleet's summary is to poll its own discovery, and rarely. So no
report of a collector or a reporter, right or wrong, changes a list or ejects a member. Pure: times are
microseconds of the node's clock, from outside; the jitter is seeded.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from random import Random
from typing import NamedTuple

import msgspec

from loadbalancer.cells.messages import (
    FleetFrontier,
    FleetSummary,
    SummaryRejectedError,
)
from loadbalancer.records.interface import Record

REPORTERS_PER_CELL = 2  # members that report for a cell
MAX_COLLECTORS = 3  # collectors to which each reporter reports
MIN_POLL_INTERVAL_US = 5_000_000  # between the first two polls of the own discovery
MAX_POLL_INTERVAL_US = 60_000_000  # limit of the doubling after polls without effect
# Time for the own discovery to report the list by itself; a random time below the same limit is added.
POLL_GRACE_US = 2_000_000
MAX_REPLIES = 16  # collectors whose replies are stored
# A change by more than a twentieth of the live members is written at once.
LIVE_CHANGE_DIVISOR = 20
REFRESH_INTERVAL_US = 30_000_000  # between records that differ only in counts


class TimedSummary(NamedTuple):
    """A fleet summary with its time.

    Attributes:
        at_us: When it was received or written, in microseconds.
        summary: The summary.
    """

    at_us: int
    summary: FleetSummary


class ListNumber(NamedTuple):
    """The position of an endpoint list.

    Attributes:
        origin: The numbering: the discovery that numbers the list.
        number: The list's number in it.
    """

    origin: str
    number: int


def rank(key: str, name: str) -> bytes:
    """Returns the rendezvous hash of a name under a key; all members compute the same."""
    text = f"{key}\0{name}".encode(errors="surrogatepass")
    return blake2b(text, digest_size=8).digest()


def reporters(
    cell: int, live: Iterable[str], count: int = REPORTERS_PER_CELL
) -> list[str]:
    """Returns the members that report for a cell.

    Args:
        cell: The cell.
        live: The cell's live members.
        count: The largest number of reporters.
    """
    return sorted(live, key=lambda name: (rank(f"speaker {cell}", name), name))[:count]


def collectors(
    candidates: Iterable[str],
    live: Iterable[str],
    regions: Mapping[str, str],
    count: int = MAX_COLLECTORS,
) -> list[str]:
    """Returns the collectors to which the reporters of all cells report, in as many regions as possible.

    Args:
        candidates: The nodes that are configured as collectors.
        live: The live members.
        regions: The region of each member.
        count: The largest number of collectors.
    """
    live_names = set(live)
    ordered = sorted(
        (name for name in set(candidates) if name in live_names),
        key=lambda name: (rank("collector", name), name),
    )
    one_per_region: list[str] = []
    for name in ordered:
        if all(
            regions.get(name, "") != regions.get(other, "") for other in one_per_region
        ):
            one_per_region.append(name)
    return [*one_per_region, *(name for name in ordered if name not in one_per_region)][
        :count
    ]


class CollectorReplies:
    """The latest replies of collectors to a reporter.

    Args:
        max_age_us: How long a reply is used, in microseconds.
    """

    def __init__(self, max_age_us: int) -> None:
        self.max_age_us = max_age_us
        self.latest: dict[str, TimedSummary] = {}

    def receive(self, now: int, summary: FleetSummary) -> None:
        """Stores a collector's reply.

        Args:
            now: The present time, in microseconds.
            summary: The reply.

        Raises:
            SummaryRejectedError: The reply is older than the collector's last one.
        """
        previous = self.latest.get(summary.collector)
        if (
            previous is not None
            and self._is_fresh(now, previous)
            and summary.order < previous.summary.order
        ):
            raise SummaryRejectedError("old")
        self.latest[summary.collector] = TimedSummary(now, summary)
        while len(self.latest) > MAX_REPLIES:
            del self.latest[min(self.latest, key=lambda name: self.latest[name].at_us)]

    def _is_fresh(self, now: int, reply: TimedSummary) -> bool:
        return now - reply.at_us <= self.max_age_us

    def agreed(self, now: int) -> FleetSummary | None:
        """Returns the summary that the collectors agree on; None without a fresh reply.

        It is the summary of the collector that receives reports of the most cells, with the list numbers that
        another collector has reached as well. The reply of a sole collector is returned as it is.
        """
        fresh = [r.summary for r in self.latest.values() if self._is_fresh(now, r)]
        if not fresh:
            return None
        fresh.sort(key=lambda s: (-s.heard, -s.live, s.collector))
        if len(fresh) == 1:
            return fresh[0]
        confirmed = []
        for frontier in fresh[0].fronts:
            replied = [
                f for s in fresh for f in s.fronts if f.origin == frontier.origin
            ]
            if len(replied) > 1:
                confirmed.append(sorted(replied, key=lambda f: -f.number)[1])
        return msgspec.structs.replace(fresh[0], fronts=tuple(confirmed))


def is_worth_reporting(
    now: int, previous: TimedSummary | None, summary: FleetSummary
) -> bool:
    """Returns whether a cell's record of the fleet's summary must be written again.

    It is written at once when a list number or digest changes or a list is in force everywhere, a cell
    becomes overdue or reports again, the number of quarantined members or of inconsistent cells changes, or
    the number of live members changes by more than a twentieth. Any other change, except in the frontiers,
    is written after `REFRESH_INTERVAL_US`.

    Args:
        now: The present time, in microseconds.
        previous: The summary last written, with its time; None if there is none.
        summary: The present summary.
    """
    if previous is None:
        return True
    at_us, old = previous
    if _urgent_part(old) != _urgent_part(summary):
        return True
    if abs(old.live - summary.live) * LIVE_CHANGE_DIVISOR > old.live:
        return True
    return now - at_us >= REFRESH_INTERVAL_US and _counts(old) != _counts(summary)


def _urgent_part(summary: FleetSummary) -> object:
    """Returns the fields of a summary whose change is written at once."""
    fronts = sorted(
        (f.origin, f.number, f.digest, f.in_force_s is not None) for f in summary.fronts
    )
    return fronts, summary.heard, summary.unheard, summary.odds, summary.out


def _counts(summary: FleetSummary) -> FleetSummary:
    """Returns the summary without the fields that differ between collectors and over time."""
    return msgspec.structs.replace(summary, collector="", life=0, count=0, fronts=())


def latest_record(records: Iterable[Record]) -> Record | None:
    """Returns the record that was received last, of those that are not stale; None if all are stale.

    One of a cell's two reporters may have stalled while the cell still holds its record.
    """
    fresh = [record for record in records if not record.stale]
    if not fresh:
        return None
    return max(fresh, key=lambda record: (record.received_at_us, record.owner))


class DiscoveryPoller:
    """Decides when this node polls its own discovery because other cells hold a later list.

    Args:
        seed: The seed of the jitter, which spreads the polls of nodes that are behind together.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.behind_since_us = 0  # 0 if this node is not behind
        self.next_poll_us = 0
        self.interval_us = MIN_POLL_INTERVAL_US
        # The own and the fleet's list number for which the interval has been doubled.
        self.interval_numbers = (0, 0)

    def tick(
        self, now: int, own: ListNumber | None, fronts: Iterable[FleetFrontier]
    ) -> bool:
        """Returns whether to poll now.

        Args:
            now: The present time, in microseconds.
            own: The list that the own discovery has reported; None if there is none.
            fronts: The fleet's frontiers.
        """
        if own is None:
            self.behind_since_us = 0
            return False
        origin, own_number = own
        fleet_number = next((f.number for f in fronts if f.origin == origin), -1)
        if fleet_number <= own_number:
            self.behind_since_us = 0
            return False
        if not self.behind_since_us:
            self.behind_since_us = now
            grace_us = POLL_GRACE_US + self.random.randrange(POLL_GRACE_US)
            self.next_poll_us = max(self.next_poll_us, now + grace_us)
        if (own_number, fleet_number) != self.interval_numbers:
            self.interval_numbers = (own_number, fleet_number)
            self.interval_us = MIN_POLL_INTERVAL_US
        if now < self.next_poll_us:
            return False
        jitter_us = self.random.randrange(self.interval_us // 2)
        self.next_poll_us = now + self.interval_us + jitter_us
        self.interval_us = min(MAX_POLL_INTERVAL_US, 2 * self.interval_us)
        return True
