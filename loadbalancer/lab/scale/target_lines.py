"""Each line of the target with its verdict, its margin and the figures that it hangs on."""

from __future__ import annotations

import math
from dataclasses import dataclass

from loadbalancer.lab.scale.added_time_summary import added_time
from loadbalancer.lab.scale.capacity import (
    BYTES,
    CELL,
    CELLS,
    CORE,
    FORCE,
    HOLD,
    LARGEST,
    MEMORY,
    RESTARTS,
    TARGET,
    Book,
    Budget,
)
from loadbalancer.lab.scale.region_lines import regions_apart, regions_apart_verdict
from loadbalancer.lab.scale.verdicts import (
    BY_ARITHMETIC,
    NO_LIMIT,
    NOT_CARRIED,
    UNKNOWN,
    margin_of_limit,
    seen_in_virtual_time,
    verdict,
    verdict_without_limit,
)
from loadbalancer.lab.scale.writing import margin, number, table

CALLS_PER_NODE_PER_S = 393  # of 1.1 million over 2,800
MAX_DEPTH = 14  # nodes below each other
ZONE_DRILL_SCENE = "world-zone"
RESTART_SCENE = "world-restart10"
REST_SCENE = "world-rest"
CHANGE_SCENES = ("world-change-cells",)
LOSSY_CHANGE_SCENES = ("world-change-cells-loss", "world-change-loss-cells")
AGENTS = (
    "Changes come one in 58 s (arithmetic); a node has a list in hand 3.4 s at most after its agent has"
    " it (3.00 s at most in 210 cases, `docs/acceptance.md`); how soon 2,800 agents have it is the"
    " platform's, and unknown"
)
HEAD = ["line of the target", "verdict", "margin", "by what"]


@dataclass(frozen=True)
class TargetLine:
    """One line of the target.

    Attributes:
        text: The target's words.
        verdict: Whether it is carried, and how that is known.
        margin: What is left of its limit.
        basis: The figures that it hangs on.
    """

    text: str
    verdict: str
    margin: str
    basis: str


class TargetLines:
    """The lines for a fleet of the target's size.

    Args:
        book: The slopes.
        scope: Members whose records a node holds: the whole fleet while it is flat, else those of a cell.
    """

    def __init__(self, book: Book, scope: float) -> None:
        self.book = book
        self.scope = scope
        self.is_flat = scope == TARGET
        self.suffix = "" if self.is_flat else "-cells"  # of the files' names

    def lines(self) -> list[TargetLine]:
        """All lines, in the order of the target."""
        return [
            self.servers(),
            self.calls(),
            self.depth(),
            self.added_time(),
            self.zones(),
            self.changes(),
            self.core(),
            self.memory(),
            self.bytes(),
            self.machines_set_aside(),
            self.restarts(),
            self.zone_lost(),
            self.regions_apart(),
        ]

    def servers(self) -> TargetLine:
        """The endpoint list of all servers in one node."""
        book, size = self.book, TARGET
        lists_mb = book.at("server-list", "module_mb", size) + book.at(
            "server-list", "holdings_mb", size
        )
        read_us = book.at("server-list", "read_change_us", size, True)
        change_us = book.at("server-list", "change_us", size, True)
        told_us = book.at("server-list", "holdings_change_us", size, True)
        return TargetLine(
            "2,800 servers in 140 services",
            verdict(lists_mb, MEMORY, "measured"),
            margin_of_limit(lists_mb, MEMORY),
            "the list of all 2,800 in a node; a change of a line is read in"
            f" {number(read_us)} us, taken in {number(change_us)} and told to the parts in"
            f" {number(told_us)}; a service's list is 20 (arithmetic)",
        )

    def calls(self) -> TargetLine:
        """What a node's part of the calls takes of the core that it has."""
        text = "1.1 million calls a second"
        rate = CALLS_PER_NODE_PER_S
        seen = self.book.values("added-time", "node_core_percent", rate)
        a_node = f"{rate} a node and second (arithmetic: over {TARGET:,})"
        if not seen:
            basis = f"{a_node}; what they cost a node is not recorded"
            return TargetLine(text, UNKNOWN, UNKNOWN, basis)
        core_percent = self.book.median("added-time", "node_core_percent", rate)
        budget = Budget("calls", "% of a core", 100)
        return TargetLine(
            text,
            verdict(core_percent, budget, "measured for one node"),
            margin_of_limit(core_percent, budget),
            f"{a_node}, from one client and to servers that answer at once: {number(core_percent)}"
            f" ({number(min(seen))} to {number(max(seen))}) % of the node's core, control off; short calls of"
            " no body, kept connections",
        )

    def depth(self) -> TargetLine:
        """What a chain of nodes adds, against as many times one call's target."""
        text = f"up to {MAX_DEPTH} deep"
        file, figure = "added-time-chain", "node_added_p99_ms"
        seen = self.book.values(file, figure, MAX_DEPTH)
        if not seen:
            basis = (
                f"{MAX_DEPTH} times the added time on the mean (arithmetic); what the slowest of"
                f" {MAX_DEPTH} adds is not measured"
            )
            return TargetLine(text, UNKNOWN, UNKNOWN, basis)
        budget = Budget("a chain", "ms", MAX_DEPTH * HOLD.limit)
        points = self.book.slopes[file].points
        rates = sorted({p.figures["rate"] for p in points if not p.void})
        middle_ms = self.book.median(file, "node_added_p50_ms", MAX_DEPTH)
        slow_ms = self.book.median(file, figure, MAX_DEPTH)
        return TargetLine(
            text,
            verdict(max(seen), budget, "measured"),
            margin_of_limit(max(seen), budget),
            f"{MAX_DEPTH} nodes below each other on four shared cores,"
            f" {' and '.join(f'{rate:g}' for rate in rates)}"
            f" chains a second: they add {number(middle_ms)} ms in the middle"
            f" and {number(slow_ms)} ({number(min(seen))} to {number(max(seen))}) for 99"
            f" in 100; {len(seen)} of {len(points)} runs of `{file}` count. The limit is {MAX_DEPTH} times"
            f" {HOLD.limit} ms; the target names none for a chain",
        )

    def added_time(self) -> TargetLine:
        """What control adds to a call, and what one node adds whose control is off."""
        late_percent = self.calls_held_up_percent()
        budget = Budget("waiting", "% of calls", 1)
        longest_call = self.in_virtual_time(
            REST_SCENE, "membership_longest_processor_ms", "ms"
        )
        return TargetLine(
            "0.48 ms added for 99 in 100",
            self.added_time_verdict(late_percent),
            f"{margin_of_limit(late_percent, budget)}, of control alone",
            f"{number(late_percent)} % of calls wait over 0.48 ms for a tick of the audit or the locality"
            f" alone, the longest {number(self.book.hold(self.scope))} ms; seldom, the membership's longest"
            f" call {longest_call}; {added_time(self.book)}",
        )

    def calls_held_up_percent(self) -> float:
        """The part of the calls, in %, that meet a tick and wait for longer than the budget of a hold.

        A call comes at any moment of a tick alike.
        """
        return sum(
            0.4 * (ms if math.isnan(ms) else max(0.0, ms - HOLD.limit))
            for ms in self.book.ticks(self.scope).values()
        )

    def added_time_verdict(self, late_percent: float) -> str:
        """Control's share, worked out; else what runs of one node, whose control is off, show."""
        if math.isnan(late_percent):
            return UNKNOWN
        if late_percent > 1:
            return f"{NOT_CARRIED} ({BY_ARITHMETIC})"
        seen = self.book.values("added-time", "node_added_p99_ms", CALLS_PER_NODE_PER_S)
        kept = sum(ms <= HOLD.limit for ms in seen)
        if not seen:
            return f"{UNKNOWN}; control leaves room"
        if kept == len(seen):
            return "carried (measured for one node); control leaves room"
        return (
            f"{NOT_CARRIED} (measured for one node): kept at {kept} of {len(seen)} points;"
            " control leaves room"
        )

    def zones(self) -> TargetLine:
        """The locality's part of a core."""
        core_percent = self.book.locality(self.scope)
        how = "measured, with nothing else on" if self.is_flat else BY_ARITHMETIC
        return TargetLine(
            "3 regions with 9 zones",
            verdict(core_percent, CORE, how),
            margin_of_limit(core_percent, CORE),
            "9 of at most 24 zones; the locality's look at the reports of those whose records it holds",
        )

    def changes(self) -> TargetLine:
        """Until a change is in force everywhere."""
        if self.is_flat:
            in_force_s, outcome, basis = self.changes_flat()
        else:
            in_force_s, outcome, basis = self.changes_in_cells()
        return TargetLine(
            "1,500 changes a day, in force within 12 s",
            f"{outcome}, from the agents on",
            margin_of_limit(in_force_s, FORCE),
            f"{basis}. {AGENTS}",
        )

    def changes_flat(self) -> tuple[float, str, str]:
        """Seconds until all know that all have a change, the verdict and its basis."""
        book = self.book
        in_force_s = book.told(self.scope)
        seen_s = book.median("records-change", "seconds", 1600)
        basis = (
            f"until all know that all have it: {number(in_force_s)} s, as each sends"
            f" {number(book.change(TARGET))} bytes at"
            f" 64 KB/s (at 1,600: worked out {number(book.told(1600))}, seen {number(seen_s)} s)"
        )
        return in_force_s, verdict(in_force_s, FORCE), basis

    def changes_in_cells(self) -> tuple[float, str, str]:
        """The same in cells: as played where a play had the target's size, else as worked out."""
        computed_s = self.book.told(self.scope)
        size, seen_s = self.book.largest("world-change-cells", "all_hold_s")
        if size == TARGET:
            in_force_s = seen_s
            outcome = verdict(seen_s, FORCE, "measured in virtual time")
        else:
            in_force_s = computed_s
            outcome = verdict(computed_s, FORCE)
        played = seen_in_virtual_time(self.book, CHANGE_SCENES, "all_hold_s", "s")
        lossy = seen_in_virtual_time(self.book, LOSSY_CHANGE_SCENES, "all_hold_s", "s")
        basis = (
            f"all of a cell hold all words after {played}, worked out {number(computed_s)};"
            f" with 5 % loss {lossy};"
            " the sum says so at every node 5.75 to 8.5 s after a change of 280 nodes with 5 % loss"
            " (`docs/cells.md`)"
        )
        return in_force_s, outcome, basis

    def core(self) -> TargetLine:
        """What control takes of a node's core."""
        book, scope = self.book, self.scope
        core_percent = book.core(TARGET, scope)
        judgement_ms = book.at("audit", "judge_least_ms", scope, True)
        return TargetLine(
            "at most 3.2 % of a core",
            verdict(core_percent, CORE),
            margin_of_limit(core_percent, CORE),
            f"audit {number(book.audit(scope))}, locality {number(book.locality(scope))}, records and"
            f" membership {number(book.talk(TARGET, scope))}; one judgement {number(judgement_ms)}"
            f" ms, {self.in_virtual_time(REST_SCENE, 'judgement_ms', 'ms')}",
        )

    def memory(self) -> TargetLine:
        """What control takes of a node's memory."""
        code_mb = self.book.imports()
        views_mb = self.book.views(TARGET, self.scope)
        bare_mb = self.book.median("process", "none_resident_mb", 1)
        total_mb = code_mb + views_mb
        return TargetLine(
            "at most 32 MB",
            verdict(total_mb, MEMORY),
            margin_of_limit(total_mb, MEMORY),
            f"the parts' code {number(code_mb)}, the views {number(views_mb)}; the whole process has"
            f" {number(bare_mb)} more without any part, and taken so is over at any size",
        )

    def bytes(self) -> TargetLine:
        """What control sends."""
        book, scope = self.book, self.scope
        if self.is_flat:
            sent = book.bytes(TARGET, scope)
            on_the_wire = book.on_the_wire(TARGET, scope)
            basis = f"{number(sent)} bytes/s are wanted; records stop at 64,000, and then news is late"
        else:
            sent = book.in_cells(TARGET, scope)
            on_the_wire = book.in_cells_on_the_wire(TARGET, scope)
            basis = self.bytes_in_cells(sent)
        return TargetLine(
            "at most 3 KB a second",
            verdict(sent, BYTES),
            f"{margin_of_limit(sent, BYTES)}; with the heads of IP, UDP and the port"
            f" {margin(on_the_wire, BYTES)} ({number(on_the_wire)})",
            basis,
        )

    def bytes_in_cells(self, sent: float) -> str:
        """What the bytes of a node in a cell are made of."""
        book, scope = self.book, self.scope
        change = seen_in_virtual_time(book, CHANGE_SCENES, "change_bytes", "bytes")
        return (
            f"{number(sent)} bytes/s: membership {number(book.membership(TARGET))}, beats"
            f" {number(book.beats(scope))}, words renewed {number(book.renewals(scope))}, changes"
            f" {number(book.changes(scope))}, the fleet's sum {number(book.sums(scope))}. A speaker sends"
            f" {number(book.speaker(TARGET))} more ({number(book.speaker_on_the_wire(TARGET))} with"
            f" heads). At rest {self.in_virtual_time(REST_SCENE, 'bytes_per_s', 'bytes/s')}, a change"
            f" {change}, worked out {number(book.change(scope))}"
        )

    def machines_set_aside(self) -> TargetLine:
        """What the electors, the coordinator and the collectors take of the machines for control."""
        text = "25 machines set aside"
        book = self.book
        coordinator_bytes = book.coordinator_bytes(TARGET)
        hold_ms = book.coordinator_hold(TARGET)
        if self.is_flat:
            return TargetLine(
                text,
                verdict_without_limit(coordinator_bytes),
                "20 of 25 are left",
                "3 or 5 electors stand on them, so the coordinator does:"
                f" {number(coordinator_bytes)} bytes/s and a hold of"
                f" {number(hold_ms)} ms each second, which no node that serves clients bears",
            )
        received = book.at("collector", "received_bytes_per_s", CELLS)
        sent = book.at("collector", "sent_bytes_per_s", CELLS)
        return TargetLine(
            text,
            verdict_without_limit(coordinator_bytes + book.collector_core(TARGET)),
            "14 of 25 are left",
            "5 electors with the coordinator"
            f" ({number(coordinator_bytes)} bytes/s, a hold of {number(hold_ms)}"
            f" ms each second) and 6 collectors, each {number(received)} bytes/s"
            f" in, {number(sent)} out,"
            f" {number(book.collector_core(TARGET))} % of a core beyond a node's, a hold of"
            f" {number(book.collector_hold(TARGET))} ms; seeds, if wanted",
        )

    def restarts(self) -> TargetLine:
        """What newcomers fetch, and a restart of a tenth at once."""
        newcomer_bytes = self.book.newcomer(TARGET, self.scope)
        return TargetLine(
            "5 machines fail, 220 are restarted a day",
            verdict_without_limit(newcomer_bytes),
            NO_LIMIT,
            f"one in 6.4 min (arithmetic); a newcomer takes {number(newcomer_bytes)} bytes once,"
            f" {number(newcomer_bytes * RESTARTS / TARGET)} bytes/s a node on the mean. Ten in a hundred at"
            f" once: words agree after {self.in_virtual_time(RESTART_SCENE, 'words_agree_s', 's')},"
            f" false deaths {self.in_virtual_time(RESTART_SCENE, 'false_deaths')}",
        )

    def zone_lost(self) -> TargetLine:
        """Until all know that a zone is lost."""
        book, file = self.book, "membership-return"
        lost_s = book.at(file, "lost_known_s", TARGET)
        back_s = book.at(file, "back_known_s", TARGET)
        change_count = book.at(file, "back_changes_a_node", TARGET)
        change_ms = book.at("view", "change_least_ms", TARGET, True)
        return TargetLine(
            "a rack (40) or a zone (311) is lost",
            verdict(lost_s, FORCE, "worked out, the membership alone"),
            f"no limit named; by the 12 s of a change: {margin_of_limit(lost_s, FORCE)}",
            f"a ninth is held dead after {number(lost_s)} s, alive after {number(back_s)} s once it is back"
            f" (doubtful: its fit misses by a third); {number(change_count)} changes at each other node, each"
            f" {number(change_ms)} ms of its loop. A zone, with records: words agree after"
            f" {self.in_virtual_time(ZONE_DRILL_SCENE, 'words_agree_s', 's')}",
        )

    def regions_apart(self) -> TargetLine:
        """What a node fetches once regions see each other again."""
        words = self.book.at("records-newcomer", "received_bytes", self.scope)
        return TargetLine(
            "regions apart for an hour",
            regions_apart_verdict(self.book, self.suffix),
            NO_LIMIT,
            f"{regions_apart(self.book, self.suffix)}. At the return a node of the smaller side fetches"
            f" {number(words * 2 / 3)} bytes of words (arithmetic: two thirds of a newcomer's)",
        )

    def in_virtual_time(self, scene: str, figure: str, unit: str = "") -> str:
        """What a play in virtual time showed, flat or in cells as this fleet is."""
        return seen_in_virtual_time(self.book, (f"{scene}{self.suffix}",), figure, unit)


def flat_table(book: Book) -> str:
    """Each line of the target, the fleet flat."""
    lines = TargetLines(book, TARGET).lines()
    return table(HEAD, [[x.text, x.verdict, x.margin, x.basis] for x in lines])


def cells_table(book: Book) -> str:
    """The same in cells: for those of the mean size, and what the largest one has other than these."""
    head = [
        HEAD[0],
        f"verdict, cells of {CELL}",
        HEAD[2],
        f"the largest cell, of {LARGEST}",
        HEAD[3],
    ]
    mean_lines = TargetLines(book, CELL).lines()
    largest_lines = TargetLines(book, LARGEST).lines()
    rows = []
    for mean, largest in zip(mean_lines, largest_lines, strict=True):
        same = (largest.margin, largest.verdict) == (mean.margin, mean.verdict)
        other = "the same" if same else f"{largest.verdict}: {largest.margin}"
        rows.append([mean.text, mean.verdict, mean.margin, other, mean.basis])
    return table(head, rows)
