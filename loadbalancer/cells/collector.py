"""A collector's view of the entire fleet: the latest summaries of each cell's reporters, and their sum.

All state is soft: a collector that restarts has it again within two periods, and nothing is stored for a cell
beyond its latest summaries. A cell has a few reporters; the summary of the one that receives status records
from the most members of its cell is used. Nothing here ejects a member or changes a list: a wrong sum can at
most make nodes poll their own discovery.

A list number is accepted for the fleet only if two cells hold or have passed it. So a single reporter that
claims 10^9 changes nothing.

Pure: times are microseconds of the collector's clock, from outside.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from loadbalancer.cells.layout import Layout
from loadbalancer.cells.messages import (
    FORMAT_VERSION,
    CellFrontier,
    CellSummary,
    FleetSummary,
    SummaryRejectedError,
)
from loadbalancer.cells.numbering import NumberingTracker, frontiers_by_origin
from loadbalancer.cells.rules import CellEvent, CollectorRules
from loadbalancer.cells.totals import add_up

MAX_REPORTERS_PER_CELL = 4  # reporters of a cell whose summaries are stored
MAX_LISTED_SILENT_CELLS = 16  # silent cells that a fleet summary lists
LIVE_DISAGREEMENT_DIVISOR = 4  # reporters' live members may differ by a quarter


@dataclass(slots=True)
class ReceivedSummary:
    """A reporter's latest summary.

    Attributes:
        summary: The summary.
        at_us: When it was received, in microseconds.
    """

    summary: CellSummary
    at_us: int


@dataclass(slots=True)
class CellState:
    """The reports of one cell; times in microseconds.

    Attributes:
        reporters: The latest summary of each reporter, by name.
        received_at_us: When the last summary of any reporter was received.
        is_silent: Whether the cell's summary is overdue.
        disagreeing_since_us: Since when the reporters have disagreed; 0 if they agree.
        is_disagreeing: Whether they have disagreed for `CollectorRules.disagreement_periods`.
    """

    reporters: dict[str, ReceivedSummary] = field(default_factory=dict)
    received_at_us: int = 0
    is_silent: bool = False
    disagreeing_since_us: int = 0
    is_disagreeing: bool = False


class Collector:
    """Receives the summaries of all cells and adds them up to the fleet's.

    Args:
        name: This node's name.
        layout: The layout of the cells.
        incarnation: The incarnation of this process.
        rules: The time rules; the defaults if None.
    """

    def __init__(
        self,
        name: str,
        layout: Layout,
        incarnation: int,
        rules: CollectorRules | None = None,
    ) -> None:
        self.name, self.layout, self.incarnation = name, layout, incarnation
        self.rules = rules or CollectorRules()
        self.cells: dict[int, CellState] = {}
        self.reply_count = 0
        self.events: list[CellEvent] = []
        self.numberings = NumberingTracker(self.max_age_us, self.events)

    @property
    def max_age_us(self) -> int:
        """How long a summary is used, in microseconds."""
        return self.rules.overdue_periods * self.rules.period_us

    def receive(self, now: int, summary: CellSummary) -> None:
        """Stores a reporter's summary.

        Args:
            now: The present time, in microseconds.
            summary: The summary.

        Raises:
            SummaryRejectedError: The summary is not newer than the reporter's last one, or not of the
                reporter's cell.
        """
        if self.layout.cell_of(summary.speaker) != summary.cell:
            raise SummaryRejectedError("not the speaker's cell")
        cell = self.cells.setdefault(summary.cell, CellState(received_at_us=now))
        previous = cell.reporters.get(summary.speaker)
        is_fresh = previous is not None and now - previous.at_us <= self.max_age_us
        if (
            previous is not None
            and is_fresh
            and summary.order <= previous.summary.order
        ):
            raise SummaryRejectedError("old")
        cell.reporters[summary.speaker] = ReceivedSummary(summary, now)
        while len(cell.reporters) > MAX_REPORTERS_PER_CELL:
            oldest = min(cell.reporters, key=lambda name: cell.reporters[name].at_us)
            del cell.reporters[oldest]
        cell.received_at_us = now
        if cell.is_silent:
            cell.is_silent = False
            reason = f"by {summary.speaker}"
            self.events.append(CellEvent("cells summary resumed", summary.cell, reason))

    def tick(self, now: int) -> list[CellEvent]:
        """Drops outdated state, and returns the events since the last call."""
        for number, cell in list(self.cells.items()):
            self._drop_old_reporters(now, cell)
            silent_us = now - cell.received_at_us
            if silent_us > self.rules.forget_us:
                del self.cells[number]
                continue
            if silent_us > self.max_age_us and not cell.is_silent:
                cell.is_silent = True
                reason = f"no report for {silent_us / 1e6:.1f} s"
                self.events.append(CellEvent("cells summary overdue", number, reason))
            self._compare_reporters(now, number, cell)
        self.track_numberings(now)
        events = list(self.events)
        self.events.clear()
        return events

    def _drop_old_reporters(self, now: int, cell: CellState) -> None:
        """Drops reporters that have stopped, except for a last one, which is still shown."""
        old = [
            name
            for name, received in cell.reporters.items()
            if now - received.at_us > self.rules.stopped_reporter_us
        ]
        for name in old:
            if len(cell.reporters) > 1:
                del cell.reporters[name]

    def _compare_reporters(self, now: int, number: int, cell: CellState) -> None:
        """Logs when the reporters of a cell have disagreed for too long, and when they agree again."""
        reason = first_disagreement(self._fresh_summaries(now, cell))
        if not reason:
            cell.disagreeing_since_us = 0
            if cell.is_disagreeing:
                cell.is_disagreeing = False
                self.events.append(CellEvent("cells summaries consistent", number))
            return
        cell.disagreeing_since_us = cell.disagreeing_since_us or now
        limit_us = self.rules.disagreement_periods * self.rules.period_us
        if not cell.is_disagreeing and now - cell.disagreeing_since_us >= limit_us:
            cell.is_disagreeing = True
            self.events.append(
                CellEvent("cells summaries inconsistent", number, reason)
            )

    def _fresh_summaries(self, now: int, cell: CellState) -> list[CellSummary]:
        """Returns a cell's summaries that are not outdated, the preferred one first."""
        fresh = [
            received
            for received in cell.reporters.values()
            if now - received.at_us <= self.max_age_us
        ]
        fresh.sort(
            key=lambda received: (
                -received.summary.heard,
                -received.at_us,
                received.summary.speaker,
            )
        )
        return [received.summary for received in fresh]

    def preferred_summaries(self, now: int) -> dict[int, CellSummary]:
        """Returns the preferred summary of each cell that has a current one, by cell."""
        fresh = {
            number: self._fresh_summaries(now, cell)
            for number, cell in sorted(self.cells.items())
        }
        return {
            number: summaries[0] for number, summaries in fresh.items() if summaries
        }

    def track_numberings(self, now: int) -> None:
        """Updates how far list numbers have spread, and which cells are behind."""
        all_current = all(
            now - cell.received_at_us <= self.max_age_us for cell in self.cells.values()
        )
        self.numberings.update(
            now, self._shared_frontiers(now), all_current=all_current
        )

    def _shared_frontiers(self, now: int) -> dict[str, dict[int, CellFrontier]]:
        """Returns the frontier of each cell, by each numbering that more than one cell uses."""
        frontiers = frontiers_by_origin(self.preferred_summaries(now))
        return {
            origin: by_cell for origin, by_cell in frontiers.items() if len(by_cell) > 1
        }

    def fleet_summary(self, now: int) -> FleetSummary:
        """Returns the fleet summary with which this collector replies to reporters."""
        preferred = self.preferred_summaries(now)
        self.reply_count += 1
        fronts = [
            self.numberings.fleet_frontier(now, origin, by_cell)
            for origin, by_cell in self._shared_frontiers(now).items()
        ]
        empty = FleetSummary(
            FORMAT_VERSION,
            self.layout.digest,
            self.name,
            self.incarnation,
            self.reply_count,
            cells=len(self.cells),
            odds=sum(cell.is_disagreeing for cell in self.cells.values()),
            unheard=self._silent_cells(preferred),
        )
        return add_up(empty, list(preferred.values()), fronts)

    def _silent_cells(self, preferred: Mapping[int, CellSummary]) -> tuple[int, ...]:
        """Returns the first known cells without a current summary."""
        silent = [number for number in sorted(self.cells) if number not in preferred]
        return tuple(silent[:MAX_LISTED_SILENT_CELLS])


def first_disagreement(summaries: Iterable[CellSummary]) -> str:
    """Returns the first disagreement between two summaries of a cell, as text; empty if there is none."""
    all_summaries = list(summaries)
    for first in all_summaries:
        for second in all_summaries:
            reason = disagreement(first, second)
            if reason:
                return reason
    return ""


def disagreement(first: CellSummary, second: CellSummary) -> str:
    """Returns how two summaries of one cell contradict each other, as text; empty if they do not."""
    names = f"{first.speaker} and {second.speaker}"
    second_frontiers = {frontier.origin: frontier for frontier in second.fronts}
    for frontier in first.fronts:
        second_frontier = second_frontiers.get(frontier.origin)
        if second_frontier is None:
            continue
        if second_frontier.number != frontier.number:
            numbers = f"{frontier.number} and {second_frontier.number}"
            return f"{frontier.origin}: {names} report {numbers} as the frontier"
        if second_frontier.digest != frontier.digest:
            return (
                f"{frontier.origin}: {names} report two contents of {frontier.number}"
            )
    difference = abs(first.live - second.live)
    if difference * LIVE_DISAGREEMENT_DIVISOR > max(first.live, second.live):
        return f"{names} report {first.live} and {second.live} live members"
    return ""
