"""What a node, an elector, a coordinator and a seed cost at a size, put together from fitted slopes.

Every figure is a function of two sizes: `fleet`, all members, and `scope`, those whose records a node holds
(the same while the fleet is flat; a cell's where it is dealt into cells). Nothing is measured here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field

from loadbalancer.lab.scale.fit import (
    FigureUnknown,
    Fit,
    SlopesOneSize,
    SlopesTooFew,
    fit,
)
from loadbalancer.lab.scale.interface import Slopes

TARGET = 2_800
CHANGES = 1_500 / 86_400  # a second
RESTARTS = 220 / 86_400
FAILURES = 5 / 86_400
EPOCHS = (
    2 * RESTARTS + FAILURES
)  # changes of who lives: each made all renew their words
# Members from which on the records' beats are thinned (`records.table.Rules`)
THINNED = 160
MOST_RATE = 64_000  # bytes a second that the records of one node may send...
BURST = 2 * MOST_RATE  # ...and what it saves up (`records.table`)
AFTER = 3  # seconds for which a change is played on once all hold it (`gossip.change`)
WIRE = 33  # bytes around a datagram: IP 20, UDP 8, the shared port 5
HELLO = 3  # seeds that a newcomer asks
CELLS = 40  # of the target's fleet
CELL = TARGET // CELLS  # members of one on the mean
LARGEST = 85  # members of the largest of 40 cells by name (`docs/cells.md`: 48 to 85)
SPEAKERS = 2  # of a cell
HEARERS = 3  # collectors that a speaker tells
TOLD = 2  # seconds between two words of a speaker
SUM_TOLD = 30  # seconds after which a sum is told anew though nothing has moved (`cells.speaker`)


@dataclass(frozen=True)
class Budget:
    """A line of the target that a size uses up."""

    name: str
    unit: str
    limit: float


CORE = Budget("core", "% of a core", 3.2)
MEMORY = Budget("memory", "MB", 32)
BYTES = Budget("bytes", "bytes/s", 3_000)
HOLD = Budget("hold of the loop", "ms", 0.48)
FORCE = Budget("in force everywhere", "s", 12)


@dataclass
class Book:
    """Slopes by file, and their fits; a figure that is not there is no number, and stays one."""

    slopes: Mapping[str, Slopes]
    fits: dict[tuple[str, str, bool], Fit | None] = field(default_factory=dict)

    def fit(self, file: str, figure: str, least: bool = False) -> Fit | None:
        """None where there is nothing to fit."""
        key = (file, figure, least)
        if key not in self.fits:
            self.fits[key] = None
            if file in self.slopes:
                with suppress(FigureUnknown, SlopesOneSize, SlopesTooFew):
                    self.fits[key] = fit(self.slopes[file], figure, least)
        return self.fits[key]

    def at(self, file: str, figure: str, size: float, least: bool = False) -> float:
        """The figure at a size: as measured there, else as fitted."""
        seen = self.values(file, figure, size)
        if seen:
            return min(seen) if least else sum(seen) / len(seen)
        found = self.fit(file, figure, least)
        return math.nan if found is None else max(0.0, found.at(size))

    def values(self, file: str, figure: str, size: float) -> list[float]:
        """What was measured at one size, by seeds; void points are none."""
        points = self.slopes[file].points if file in self.slopes else []
        return [
            p.figures[figure]
            for p in points
            if p.size == size and not p.void and figure in p.figures
        ]

    def median(self, file: str, figure: str, size: int) -> float:
        """What was measured at one size: the middle of its seeds."""
        values = sorted(self.values(file, figure, size))
        return values[len(values) // 2] if values else math.nan

    def largest(self, file: str, figure: str) -> tuple[int, float]:
        """The largest size at which a figure was measured, and the middle of its seeds there."""
        points = self.slopes[file].points if file in self.slopes else []
        sizes = [p.size for p in points if not p.void and figure in p.figures]
        return (
            (max(sizes), self.median(file, figure, max(sizes)))
            if sizes
            else (0, math.nan)
        )

    def records(
        self, what: str, figure: str, scope: float, least: bool = False
    ) -> float:
        """Of `records-WHAT`, or of small fleets' file where beats are not thinned: the two grow otherwise."""
        return self.at(
            f"records-{what}{'-small' if scope <= THINNED else ''}",
            figure,
            scope,
            least,
        )

    # ---- a node's bytes a second -------------------------------------------------------------------------

    def beats(self, scope: float) -> float:
        """Records at rest."""
        return self.records("rest", "bytes_per_s", scope)

    def renewals(self, scope: float) -> float:
        """Words that are renewed under load, beyond the beats, as often as `audit.word.renew_after` says."""
        return self.at("records-renewed", "extra_bytes_per_s", scope)

    def renewals_before(self, scope: float) -> float:
        """The same while each renewed its word every 30 s in any fleet."""
        return max(
            self.records("renewal", "bytes_per_s", scope) - self.beats(scope), 0.0
        )

    def change(self, scope: float) -> float:
        """Bytes of one change that all tell, beyond what a node sends at rest while it is played."""
        played = self.records("change", "seconds", scope) + AFTER
        return max(
            self.records("change", "bytes", scope) - self.beats(scope) * played, 0.0
        )

    def changes(self, scope: float) -> float:
        """Changes of the list that all tell."""
        return CHANGES * self.change(scope)

    def epochs_before(self, scope: float) -> float:
        """Changes of who lives, while all renewed their words at each; now none does."""
        return EPOCHS * self.change(scope)

    def membership(self, fleet: float) -> float:
        return self.at("membership-rest", "bytes_per_s", fleet)

    def bytes(self, fleet: float, scope: float) -> float:
        return (
            self.membership(fleet)
            + self.beats(scope)
            + self.renewals(scope)
            + self.changes(scope)
        )

    def bytes_before(self, fleet: float, scope: float) -> float:
        """The same by the audit and the membership as they were found."""
        found = self.at("membership-rest-before", "bytes_per_s", fleet) + self.beats(
            scope
        )
        return (
            found
            + self.renewals_before(scope)
            + self.changes(scope)
            + self.epochs_before(scope)
        )

    # ---- what cells add (`docs/cells.md`) ----------------------------------------------------------------

    def sums(self, scope: float) -> float:
        """Bytes a second by which the records of the fleet's sum go round in a cell: both speakers write one
        when a number moves, when it is in force, and each 30 s. Each costs what a word of a change does.
        """
        return SPEAKERS * (1 / SUM_TOLD + 2 * CHANGES) * self.change(scope) / scope

    def in_cells(self, fleet: float, scope: float) -> float:
        """A node's bytes a second, the sums' records among them."""
        return self.bytes(fleet, scope) + self.sums(scope)

    def in_cells_on_the_wire(self, fleet: float, scope: float) -> float:
        """The same with the heads of IP, UDP and the shared port."""
        return self.on_the_wire(fleet, scope) + self.sums(scope)

    def speaker(self, fleet: float) -> float:
        """Bytes a second that a speaker sends more: its words to three collectors."""
        return HEARERS / TOLD * self.at("collector", "word_bytes", fleet / CELL)

    def speaker_on_the_wire(self, fleet: float) -> float:
        """The same with the heads of IP, UDP and the shared port."""
        return self.speaker(fleet) + WIRE * HEARERS / TOLD

    def collector_core(self, fleet: float) -> float:
        """Beyond a node's: words taken, two sums a second, a tick each two seconds, the datagrams below."""
        cells = fleet / CELL
        words = self.at("collector", "words_per_s", cells)
        found = words * self.at("collector", "take_us", cells, least=True) / 1e4
        found += 0.2 * self.at("collector", "sum_ms", cells, least=True)
        found += 0.05 * self.at("collector", "tick_ms", cells, least=True)
        return found + words * self.datagram() / 1e4

    def collector_hold(self, fleet: float) -> float:
        """The sum, or the tick, whichever is longer."""
        return max(
            self.at("collector", f, fleet / CELL, least=True)
            for f in ("sum_ms", "tick_ms")
        )

    # ---- a node's processor time, % of a core ------------------------------------------------------------

    def audit(self, scope: float) -> float:
        return 0.4 * self.at("audit", "tick_least_ms", scope, least=True)

    def locality(self, scope: float) -> float:
        return 0.4 * self.at("locality", "look_least_ms", scope, least=True)

    def datagram(self) -> float:
        """Microseconds of the transports and the loop for one that is sent and one that comes."""
        found = [self.median("datagram", "both_us", size) for size in (100, 300, 600)]
        return sum(found) / len(found)

    def talk(self, fleet: float, scope: float) -> float:
        """Records and membership: their deciders, and the transports below."""
        deciders = self.records("rest", "core_percent", scope, least=True)
        deciders += self.at("membership-rest", "core_percent", fleet, least=True)
        deciders += (
            CHANGES * self.records("change", "processor_ms", scope, least=True) / 10
        )
        return deciders + self.datagrams(fleet, scope) * self.datagram() / 1e4

    def datagrams(self, fleet: float, scope: float) -> float:
        """Datagrams a second that a node sends."""
        found = self.records("rest", "datagrams_per_s", scope)
        found += self.at("records-renewed", "extra_datagrams_per_s", scope)
        found += self.at("membership-rest", "datagrams_per_s", fleet)
        return found + CHANGES * self.records("change", "datagrams", scope)

    def on_the_wire(self, fleet: float, scope: float) -> float:
        """Bytes a second with the heads of IP, UDP and the shared port."""
        return self.bytes(fleet, scope) + WIRE * self.datagrams(fleet, scope)

    def core(self, fleet: float, scope: float) -> float:
        return self.audit(scope) + self.locality(scope) + self.talk(fleet, scope)

    # ---- memory, MB --------------------------------------------------------------------------------------

    def imports(self) -> float:
        """A process with all parts on beyond one with none, alone."""
        return self.median("process", "all_resident_mb", 1) - self.median(
            "process", "none_resident_mb", 1
        )

    def views(self, fleet: float, scope: float) -> float:
        """What grows: the membership with the fleet; owners, records and the audit's view with the scope. The
        process grows by more than the objects.
        """
        return self.objects(fleet, scope) * self.slack()

    def slack(self) -> float:
        """By how much a process grows for each byte of these objects."""
        return self.at("resident", "resident_mb", TARGET) / self.objects(TARGET, TARGET)

    def objects(self, fleet: float, scope: float) -> float:
        """The objects alone."""
        grows = self.at("view", "membership_mb", fleet)
        for figure in ("heads_mb", "audit_records_mb", "other_records_mb"):
            grows += self.at("view", figure, scope)
        return (
            grows
            + self.at("audit", "memory_mb", scope)
            + self.at("locality", "memory_mb", scope)
        )

    def memory(self, fleet: float, scope: float) -> float:
        return self.imports() + self.views(fleet, scope)

    # ---- holds of the loop, ms ---------------------------------------------------------------------------

    def ticks(self, scope: float) -> dict[str, float]:
        """What holds the loop four times a second, and how long each time."""
        return {
            "audit's tick, 4/s": self.at("audit", "tick_least_ms", scope, least=True),
            "locality's look, 4/s": self.at(
                "locality", "look_least_ms", scope, least=True
            ),
        }

    def rare(self, fleet: float, scope: float) -> dict[str, float]:
        """What holds it more seldom: too seldom to be met by one call in a hundred."""
        every = 30 * max(1, int(fleet) // 64)
        return {
            "audit's tick after a change that all tell": self.at(
                "audit", "tick_changed_ms", scope, least=True
            ),
            "a change of who lives": self.at(
                "view", "change_least_ms", fleet, least=True
            ),
            f"a full exchange of the membership, one in {every} s": self.at(
                "view", "sync_ms", fleet, least=True
            ),
            "a full collection of Python's": self.at(
                "resident", "collect_ms", scope, least=True
            ),
        }

    def hold(self, scope: float) -> float:
        return max(self.ticks(scope).values())

    def standing(self, scope: float) -> float:
        """The part of the time, in %, in which the loop stands in a tick of the audit or the locality."""
        return self.audit(scope) + self.locality(scope)

    # ---- a change ----------------------------------------------------------------------------------------

    def told(self, scope: float) -> float:
        """Seconds until all hold all words after a change: as in a small fleet, or as long as the bytes of a
        node take at the most that it may send, what it has saved up aside.
        """
        quick = self.median("records-change", "seconds", 100)
        return max(quick, (self.change(scope) - BURST) / MOST_RATE)

    def largest_cell(
        self, cost: Callable[[float, float], float], limit: float
    ) -> float:
        """The largest scope that keeps a limit in a fleet of the target's size; infinite where all do."""
        return used_up(lambda scope: cost(TARGET, scope), limit, TARGET)

    # ---- roles -------------------------------------------------------------------------------------------

    def coordinator_core(self, fleet: float, scope: float | None = None) -> float:
        """Beyond a node's: the decider, the encoding, the sending. Evidence comes from its own cell."""
        sends = self.at("freeze", "coordinator_datagrams_per_s", fleet)
        us = [self.median("datagram", "send_us", size) for size in (100, 300)]
        found = self.at("freeze", "coordinator_core_percent", fleet, least=True)
        found += self.at(
            "locality",
            "evidence_core_percent",
            fleet if scope is None else scope,
            least=True,
        )
        return found + sends * sum(us) / len(us) / 1e4

    def coordinator_hold(self, fleet: float) -> float:
        """The news to all in one turn of the loop, or the evidence."""
        sends = self.at("freeze", "coordinator_datagrams_per_s", fleet)
        us = [self.median("datagram", "send_us", size) for size in (100, 300)]
        news = (
            self.at("freeze", "coordinator_hold_ms", fleet, least=True)
            + sends * sum(us) / len(us) / 1e3
        )
        return max(news, self.at("locality", "evidence_ms", fleet, least=True))

    def coordinator_bytes(self, fleet: float) -> float:
        return self.at("freeze", "coordinator_bytes_per_s", fleet)

    def newcomer(self, fleet: float, scope: float) -> float:
        """Bytes that come to a node that starts anew: three seeds' full exchange, and all records."""
        return HELLO * self.at("view", "sync_bytes", fleet) + self.at(
            "records-newcomer", "received_bytes", scope
        )


def used_up(
    cost: Callable[[float], float], limit: float, most: float = 1_000_000
) -> float:
    """The least size at which a cost reaches a limit: 0 if it always does, infinite beyond `most`."""
    if math.isnan(cost(100)):
        return math.nan
    if cost(2) >= limit:
        return 0
    sizes = [2 * (most / 2) ** (i / 400) for i in range(401)]
    above = next((i for i, size in enumerate(sizes) if cost(size) >= limit), None)
    if above is None:
        return math.inf
    low, high = sizes[above - 1], sizes[above]
    while high - low > 0.5:
        middle = (low + high) / 2
        low, high = (middle, high) if cost(middle) < limit else (low, middle)
    return float(math.floor(high))
