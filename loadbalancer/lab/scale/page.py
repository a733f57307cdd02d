"""Works the tables of `docs/CAPACITY.md` out of `benchmarks/slopes/*.json`.

`python -m loadbalancer.lab.scale.page` writes them between their marks (`<!-- begin NAME -->` and
`<!-- end NAME -->`); with `--check` nothing is written, and the status is 1 where page and files differ. What
stands outside of the marks is written by hand. A file that is not there leaves its figures out.
"""

from __future__ import annotations

import argparse
import math
import re
import sys
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import ClassVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.scale import leads, target_lines
from loadbalancer.lab.scale import slopes as files
from loadbalancer.lab.scale.capacity import (
    BYTES,
    CELL,
    CELLS,
    CHANGES,
    CORE,
    FORCE,
    HOLD,
    LARGEST,
    MEMORY,
    TARGET,
    Book,
    Budget,
    used_up,
)
from loadbalancer.lab.scale.fit import Fit
from loadbalancer.lab.scale.interface import Slopes
from loadbalancer.lab.scale.writing import MISSING, margin, number, percent, size, table

MISSED = 0.25  # a fit that misses the largest size by more says little of a larger one
DOUBT = " (doubtful)"
MOST_ROWS = 24  # of the table of a file that is not ours
TRIAL = "-trial"  # in the name of a file: its figures are trials, and stand in no table but that of the files
PAGE = files.ROOT / "docs" / "CAPACITY.md"
SIZES = (70, 85, 100, 160)


class PageUnmarked(LoadBalancerError):
    """A page that lacks the marks between which a table is written, or has them twice or out of order."""

    remedy: ClassVar[str] = (
        "put one pair of the marks that the line names where the table is to stand"
    )


# ---- the tables -------------------------------------------------------------------------------------------

# file, figure, whether the least of the seeds counts (processor times), words, budget, factor to the budget
FIGURES: list[tuple[str, str, bool, str, Budget | None, float]] = [
    ("audit", "judge_least_ms", True, "audit: one judgement, 4 a second", HOLD, 1),
    ("audit", "tick_least_ms", True, "audit: a whole tick, 4 a second", HOLD, 1),
    ("audit", "tick_least_ms", True, "the same as % of a core", CORE, 0.4),
    ("audit", "tick_ms", False, "audit: a whole tick, the middle of its repeats", HOLD, 1),
    ("audit", "tick_changed_ms", True, "audit: a tick after a change of all words", HOLD, 1),
    ("locality", "look_least_ms", True, "locality: a look, 4 a second", HOLD, 1),
    ("locality", "look_least_ms", True, "the same as % of a core", CORE, 0.4),
    ("view", "change_least_ms", True, "a change of who lives: addresses, records, names", HOLD, 1),
    ("view", "sync_ms", True, "membership: making a full exchange", HOLD, 1),
    ("view", "sync_bytes", False, "membership: a full exchange", None, 1),
    ("membership-rest", "bytes_per_s", False, "membership at rest", BYTES, 1),
    ("records-rest-small", "bytes_per_s", False, "records at rest, up to 160 members", BYTES, 1),
    ("records-rest", "bytes_per_s", False, "records at rest, from 200 members on", BYTES, 1),
    ("records-renewal", "bytes_per_s", False, "records: words renewed every 30 s (as found)", BYTES, 1),
    ("records-renewal", "core_percent", True, "the same: the decider's processor time", CORE, 1),
    ("records-change", "bytes", False, "a change that all tell: bytes a node", None, 1),
    ("records-change", "bytes", False, "the same, 1,500 a day", BYTES, CHANGES),
    ("records-change", "seconds", False, "the same: until all hold all words", FORCE, 1),
    ("records-renewed", "extra_bytes_per_s", False, "records: words renewed as now, over rest", BYTES, 1),
    ("records-renewal-small", "bytes_per_s", False, "up to 160 members: every 30 s (as found)", BYTES, 1),
    ("records-change-small", "bytes", False, "up to 160 members: a change, bytes a node", None, 1),
    ("records-change-small", "seconds", False, "the same: until all hold all words", FORCE, 1),
    ("records-newcomer", "received_bytes", False, "a newcomer: bytes of records that come to it", None, 1),
    ("view", "membership_mb", False, "memory: the membership", MEMORY, 1),
    ("view", "heads_mb", False, "memory: owners of records", MEMORY, 1),
    ("view", "audit_records_mb", False, "memory: the audit's records", MEMORY, 1),
    ("view", "other_records_mb", False, "memory: the evidence's and the zones' records", MEMORY, 1),
    ("audit", "memory_mb", False, "memory: the audit's view, words and picture", MEMORY, 1),
    ("locality", "memory_mb", False, "memory: the locality's reports as they are read", MEMORY, 1),
    ("resident", "resident_mb", False, "memory: all views, as the process grows", MEMORY, 1),
    ("resident", "collect_ms", True, "a full collection of Python's, what the views add", HOLD, 1),
    ("freeze", "coordinator_datagrams_per_s", False, "coordinator: datagrams", None, 1),
    ("freeze", "coordinator_bytes_per_s", False, "coordinator: bytes", BYTES, 1),
    ("freeze", "coordinator_core_percent", True, "coordinator: the decider and the encoding", CORE, 1),
    ("freeze", "coordinator_hold_ms", True, "coordinator: the news to all, without the sending", HOLD, 1),
    ("freeze", "incident_bytes_per_s", False, "coordinator: bytes while one incident is open", BYTES, 1),
    ("freeze", "incident_hold_ms", True, "the same: the news to all, without the sending", HOLD, 1),
    ("locality", "evidence_ms", True, "coordinator: all reports put together, 1 a second", HOLD, 1),
    ("locality", "evidence_of_a_set_ms", True, "the same with a set of names handed in", HOLD, 1),
    ("membership-return", "lost_known_s", False, "a ninth is lost: until one holds all of it dead", FORCE, 1),
    ("membership-return", "back_known_s", False, "it is back: until all hold all alive", FORCE, 1),
    ("membership-return", "back_changes_a_node", False, "its return: changes at each other node", None, 1),
    ("membership-return", "back_processor_ms", True, "its return: processor time of a node", None, 1),
    ("membership-return", "seed_most_bytes_in_a_second", False, "its return: seed's worst second", None, 1),
    ("census", "count_least_ms", True, "the count of the own cell, cells of 70", HOLD, 1),
    ("server-list", "change_us", True, "one line of a list of N servers, the module", HOLD, 0.001),
    ("server-list", "holdings_change_us", True, "the same, the digest that the parts tell", HOLD, 0.001),
    ("server-list", "read_change_us", True, "reading an agent's answer with one line", HOLD, 0.001),
    ("server-list", "read_whole_ms", True, "reading a whole list of N servers at once", HOLD, 1),
    ("server-list", "whole_bytes", False, "a whole list of N servers as an agent tells it", None, 1),
    ("server-list", "module_mb", False, "memory: a list of N servers in the module", MEMORY, 1),
]  # fmt: skip


def formula(found: Fit, factor: float) -> str:
    if found.form == "constant":
        return number(found.a * factor)
    term = found.form.removeprefix("a + b ")
    if abs(found.a) < 1e-9 * abs(found.measured):
        return f"{found.b * factor:.3g} {term}"
    sign = "-" if found.a < 0 else ""
    return f"{sign}{number(abs(found.a) * factor)} + {found.b * factor:.3g} {term}"


def of_slopes(book: Book) -> str:
    """Each figure's growth."""
    rows = []
    for file, figure, least, words, budget, factor in FIGURES:
        found = book.fit(file, figure, least)
        if found is None:
            rows.append([words, f"`{file}`", MISSING, "", "", "", "", ""])
            continue
        unit = (
            found.unit if factor == 1 else (budget.unit if budget is not None else "")
        )
        limit = math.inf if budget is None else budget.limit / factor
        how = (
            " (measured)"
            if book.values(file, figure, TARGET)
            else DOUBT * (found.prediction_error > MISSED)
        )
        rows.append(
            [
                words,
                f"`{file}` {found.sizes[0]:,} to {found.sizes[-1]:,}",
                f"{formula(found, factor)} {unit}",
                percent(found.error),
                percent(found.prediction_error),
                f"{number(book.at(file, figure, TARGET, least) * factor)} {unit}{how}",
                "" if budget is None else f"{budget.limit:g} {budget.unit}",
                "" if budget is None else size(found.used_up(limit)),
            ]
        )
    head = [
        "figure", "file, sizes", "fit", "fit's error", "largest size missed by", f"at {TARGET:,}", "budget",
        "used up at N",
    ]  # fmt: skip
    return table(head, rows)


def of_node(book: Book) -> str:
    """What one node of a flat fleet spends, part by part, and in all."""
    at = TARGET
    rows = [
        ["membership", number(book.membership(at)), "", ""],
        ["records: beats and checks", number(book.beats(at)), "", ""],
        ["records: words renewed under load", number(book.renewals(at)), "", ""],
        ["records: 1,500 changes a day, told by all", number(book.changes(at)), "", ""],
        ["records and membership: deciders and datagrams", "", number(book.talk(at, at)), ""],
        ["audit: four ticks a second", "", number(book.audit(at)), ""],
        ["locality: four looks a second", "", number(book.locality(at)), ""],
        ["the views: membership, records, audit", "", "", number(book.views(at, at))],
        ["the parts' code, in a process alone", "", "", number(book.imports())],
        ["**all**", f"**{number(book.bytes(at, at))}**", f"**{number(book.core(at, at))}**",
         f"**{number(book.memory(at, at))}**"],
        ["the same with 33 bytes around each datagram", number(book.on_the_wire(at, at)), "", ""],
        ["budget", *(number(b.limit) for b in (BYTES, CORE, MEMORY))],
        ["margin", margin(book.bytes(at, at), BYTES), margin(book.core(at, at), CORE),
         margin(book.memory(at, at), MEMORY)],
    ]  # fmt: skip
    return table([f"a node among {at:,}", "bytes/s", "% of a core", "MB"], rows)


def first(book: Book) -> list[tuple[float, str, Budget, float]]:
    """What is used up, at which size, and the figure at the target; what goes first first."""

    def flat(cost: Callable[[float, float], float]) -> Callable[[float], float]:
        return lambda n: cost(n, n)

    lines: list[tuple[str, Budget, Callable[[float], float]]] = [
        ("bytes: membership, beats, renewed words, changes", BYTES, flat(book.bytes)),
        (
            "bytes as it was found, before words were renewed more seldom",
            BYTES,
            flat(book.bytes_before),
        ),
        ("processor: audit, locality, records, membership", CORE, flat(book.core)),
        ("memory of control: code and views", MEMORY, flat(book.memory)),
        ("hold of the loop, several times a second", HOLD, book.hold),
        ("a change, until all hold all words", FORCE, book.told),
        ("coordinator: bytes", BYTES, book.coordinator_bytes),
        ("coordinator: processor beyond a node's", CORE, book.coordinator_core),
        ("coordinator: hold of the loop", HOLD, book.coordinator_hold),
    ]
    found = [
        (used_up(cost, b.limit), words, b, cost(TARGET)) for words, b, cost in lines
    ]
    return sorted(found, key=lambda row: (math.isnan(row[0]), row[0]))


def of_first(book: Book) -> str:
    return what_is_first(first(book))


def of_first_cells(book: Book) -> str:
    """The same as the fleet grows in cells of one size, so that there are more of them."""
    lines: list[tuple[str, Budget, Callable[[float], float]]] = [
        (f"bytes, cells of {CELL}", BYTES, lambda n: book.in_cells(n, CELL)),
        (f"bytes with the heads of IP, UDP and the port, cells of {CELL}", BYTES,
         lambda n: book.in_cells_on_the_wire(n, CELL)),
        (f"bytes, the largest cell, of {LARGEST}", BYTES, lambda n: book.in_cells(n, LARGEST)),
        (f"bytes with the heads, the largest cell, of {LARGEST}", BYTES,
         lambda n: book.in_cells_on_the_wire(n, LARGEST)),
        ("of these: the membership", BYTES, book.membership),
        (f"processor, cells of {CELL}", CORE, lambda n: book.core(n, CELL)),
        ("memory of control: the code, the membership of all, the views of a cell", MEMORY,
         lambda n: book.memory(n, CELL)),
        (f"hold of the loop, 4 a second, the largest cell, of {LARGEST}", HOLD, lambda n: book.hold(LARGEST)),
        ("hold, seldom: a full exchange of the membership", HOLD,
         lambda n: book.at("view", "sync_ms", n, least=True)),
        ("hold, seldom: a change of who lives", HOLD,
         lambda n: book.at("view", "change_least_ms", n, least=True)),
        ("hold, seldom: the count of the own cell (census)", HOLD,
         lambda n: book.at("census", "count_least_ms", n, least=True)),
        ("a change, until all of a cell hold all words", FORCE, lambda n: book.told(CELL)),
        ("coordinator, on a machine set aside: bytes, against a node's", BYTES, book.coordinator_bytes),
        ("coordinator: processor beyond a node's", CORE, lambda n: book.coordinator_core(n, CELL)),
        ("coordinator: hold of its loop, once a second", HOLD, book.coordinator_hold),
        ("collector, on a machine set aside: bytes out, against a node's", BYTES,
         lambda n: book.at("collector", "sent_bytes_per_s", n / CELL)),
        ("collector: processor beyond a node's", CORE, book.collector_core),
        ("collector: hold of its loop, twice a second", HOLD, book.collector_hold),
    ]  # fmt: skip
    found = [
        (used_up(cost, b.limit), words, b, cost(TARGET)) for words, b, cost in lines
    ]
    return what_is_first(sorted(found, key=lambda row: (math.isnan(row[0]), row[0])))


def what_is_first(found: list[tuple[float, str, Budget, float]]) -> str:
    rows = [
        [
            words,
            f"{b.limit:g} {b.unit}",
            size(at),
            f"{number(value)} {b.unit}",
            margin(value, b),
        ]
        for at, words, b, value in found
    ]
    return table(
        ["what", "budget", "used up at N", f"at {TARGET:,}", "margin there"], rows
    )


def of_holds(book: Book) -> str:
    """What makes the loop stand still, and what part of the time it stands."""
    news = "the news to all, at the coordinator, 1/s"
    far = (
        book.ticks(TARGET)
        | {news: book.coordinator_hold(TARGET)}
        | book.rare(TARGET, TARGET)
    )
    near = book.ticks(100) | {news: book.coordinator_hold(100)} | book.rare(100, 100)
    rows = [
        [what, number(ms), number(small), margin(ms, HOLD)]
        for (what, ms), small in zip(far.items(), near.values(), strict=True)
    ]
    rows.append(
        ["part of the time in which the loop stands in a tick of the audit or the locality, %",
         number(book.standing(TARGET)), number(book.standing(100)),
         "over 1 % of calls meet one" if book.standing(TARGET) > 1 else "under 1 % of calls meet one"]
    )  # fmt: skip
    return table(
        ["hold of the loop", f"ms at {TARGET:,}", "ms at 100", f"to {HOLD.limit} ms"],
        rows,
    )


def of_roles(book: Book) -> str:
    """By role: messages, bytes, processor time, memory at the target size, the fleet flat."""
    return roles(book, TARGET)


def of_roles_cells(book: Book) -> str:
    """The same in cells of the mean size, with the roles that there are only there."""
    return roles(book, CELL)


def roles(book: Book, scope: float) -> str:
    """The table of roles, records going as far as `scope`."""
    at, flat = TARGET, scope == TARGET
    own = book.bytes(at, scope) if flat else book.in_cells(at, scope)
    node = [number(own), number(book.core(at, scope)), number(book.memory(at, scope))]
    sends = book.at("freeze", "coordinator_datagrams_per_s", at)
    talk = number(book.datagrams(at, scope))
    lists = book.at("server-list", "module_mb", at) + book.at(
        "server-list", "holdings_mb", at
    )
    views = "all views" if flat else f"the membership of all, the views of {scope:g}"
    news = number(own + book.coordinator_bytes(at))
    rows = [
        ["node at the front", f"its tiers' servers (2,800 at most: {number(lists, 2)} MB), {views}", talk,
         *node, "membership, records, audit, locality"],
        ["node beside a server", f"list of 20 or so, {views}", talk, *node, "the same"],
        ["elector (on a machine set aside)", "as a node; term, promises, the replicated state (512 grants, 32"
         " incidents at most)", f"{talk}, 4 beats/s answered", *node, "freeze: election, lease; a write a"
         " change"],
        ["coordinator (one of the electors)", "as an elector; who waits, halts", f"{talk}, and"
         f" {number(sends)}",
         news, number(book.core(at, scope) + book.coordinator_core(at, scope)), node[2],
         f"freeze: news to all each second, a hold of {number(book.coordinator_hold(at))} ms"],
        ["seed", "as a node", f"{talk}, {number(book.at('view', 'sync_datagrams', at))} to each newcomer",
         f"{node[0]}; in its worst second at the return of 311 "
         f"{number(book.at('membership-return', 'seed_most_bytes_in_a_second', at))}",
         node[1], node[2], "membership: full exchange"],
        ["agent of discovery (stand-in)", "the list, one watch a node; one agent a node in the swarm",
         "one answer a change and node, one in 58 s", "2,800 answers in 58 s, if one serves all (arithmetic)",
         "unknown", "unknown", "discovery's watch; outside of the program"],
    ]  # fmt: skip
    if not flat:
        words = book.at("collector", "words_per_s", CELLS)
        sent, came = (
            book.at("collector", f"{way}_bytes_per_s", CELLS)
            for way in ("sent", "received")
        )
        memory = book.at("collector", "memory_mb", CELLS)
        rows[2:2] = [
            ["speaker (two nodes of each cell)", "as a node; its last word", f"{talk}, and 1.5",
             f"{number(own + book.speaker(at))}", node[1], node[2],
             "cells: a word to each of three collectors every 2 s"],
            [f"collector (machine set aside; {CELLS} cells)", "as a node; four words at most of each cell",
             f"{talk}, and {number(words)} answered", f"{number(own + sent)}; beyond a node's"
             f" {number(came)} come"
             f" in", f"{number(book.core(at, scope) + book.collector_core(at))}, of which"
             f" {number(book.collector_core(at))} its own",
             f"{node[2]}, of which {number(memory)} its own",
             f"cells: the fleet's sum, a hold of {number(book.collector_hold(at))} ms"],
        ]  # fmt: skip
    head = [
        "role",
        "state",
        "datagrams/s",
        "bytes/s",
        "% of a core",
        "MB for control",
        "carried by",
    ]
    return table(head, rows)


def of_cells(book: Book) -> str:
    """Flat beside cells: the same slopes at a cell's size, the membership at the fleet's."""
    rows = []
    parts: list[tuple[str, Callable[[float, float], float], Budget]] = [
        ("bytes/s of a node", book.bytes, BYTES),
        ("of these: membership", lambda fleet, scope: book.membership(fleet), BYTES),
        ("of these: beats", lambda fleet, scope: book.beats(scope), BYTES),
        ("of these: words renewed under load", lambda fleet, scope: book.renewals(scope), BYTES),
        ("of these: 1,500 changes a day", lambda fleet, scope: book.changes(scope), BYTES),
        ("datagrams/s", book.datagrams, Budget("", "", math.inf)),
        ("bytes/s with the heads of IP, UDP and the port", book.on_the_wire, BYTES),
        ("more: records of the fleet's sum, where collectors"
         " are", lambda fleet, scope: book.sums(scope), BYTES),
        ("more: the words of a speaker", lambda fleet, scope: book.speaker(fleet), BYTES),
        ("% of a core", book.core, CORE),
        ("of these: audit", lambda fleet, scope: book.audit(scope), CORE),
        ("of these: locality", lambda fleet, scope: book.locality(scope), CORE),
        ("MB for control", book.memory, MEMORY),
        ("longest hold of the loop, 4 a second, ms", lambda f, scope: book.hold(scope), HOLD),
        ("% of the time that the loop stands in ticks", lambda f, n: book.standing(n), Budget("", "", 1)),
        ("until all of the scope hold all words, s", lambda fleet, scope: book.told(scope), FORCE),
        ("bytes that come to a newcomer", book.newcomer, Budget("", "", math.inf)),
    ]  # fmt: skip
    for words, cost, budget in parts:
        values = [cost(TARGET, TARGET), *(cost(TARGET, scope) for scope in SIZES)]
        marked = [f"**{number(v)}**" if v > budget.limit else number(v) for v in values]
        rows.append(
            [words, "" if math.isinf(budget.limit) else number(budget.limit), *marked]
        )
    head = [
        f"a node among {TARGET:,}",
        "budget",
        "flat",
        *(f"cells of {scope}" for scope in SIZES),
    ]
    return table(head, rows)


def of_processes(book: Book) -> str:
    """Real processes with the parts on one by one."""
    file = book.slopes.get("process")
    if file is None:
        return f"`process`: {MISSING}."
    names = [
        f.removesuffix("_resident_mb") for f in file.units if f.endswith("_resident_mb")
    ]
    none = book.median("process", "none_resident_mb", 1)
    rows = []
    for name in names:
        resident, own, core = (
            book.median("process", f"{name}_{what}", 1)
            for what in ("resident_mb", "own_mb", "core_percent")
        )
        rows.append(
            [name, number(resident), number(own), number(resident - none), number(core)]
        )
    head = [
        "parts on",
        "resident MB",
        "of these its own",
        "beyond none",
        "% of a core, alone and at rest",
    ]
    return table(head, rows)


def of_files(book: Book) -> str:
    """What the files say of themselves."""
    rows = []
    for name, s in sorted(book.slopes.items()):
        sizes = sorted({p.size for p in s.points})
        void = sum(bool(p.void) for p in s.points)
        seeds = len({p.seed for p in s.points})
        told = ", ".join(f"{n:,}" for n in sizes)
        rows.append(
            [
                f"`{name}`",
                s.what,
                f"{told} {s.axis}",
                f"{seeds}",
                f"{void}",
                f"`{s.commit}`",
                s.date,
                s.machine,
            ]
        )
    head = ["file", "what", "sizes", "seeds", "void", "commit", "date", "machine"]
    return table(head, rows)


def of_cell_sizes(book: Book) -> str:
    """The largest cell that keeps each budget."""

    def speaking(fleet: float, scope: float) -> float:
        return book.in_cells_on_the_wire(fleet, scope) + book.speaker_on_the_wire(fleet)

    lines: list[tuple[str, Callable[[float, float], float], Budget]] = [
        ("bytes", book.bytes, BYTES),
        ("bytes with the heads of IP, UDP and the port", book.on_the_wire, BYTES),
        ("bytes with the heads, and the fleet's sum", book.in_cells_on_the_wire, BYTES),
        ("the same, of a speaker", speaking, BYTES),
        ("bytes as it was found", book.bytes_before, BYTES),
        ("processor", book.core, CORE),
        ("memory of control", book.memory, MEMORY),
        ("hold of the loop, 4 a second", lambda fleet, scope: book.hold(scope), HOLD),
        ("part of the time that the loop stands, under 1 %", lambda fleet, scope: book.standing(scope),
         Budget("", "%", 1)),
        ("until all of the cell hold all words", lambda fleet, scope: book.told(scope), FORCE),
    ]  # fmt: skip
    rows = []
    for words, cost, budget in lines:
        found = book.largest_cell(cost, budget.limit)
        told, cells = size(found), ""
        if math.isinf(found):
            told, cells = "the whole fleet", "1"
        elif found >= 1:
            cells = size(math.ceil(TARGET / found))
        rows.append([words, f"{budget.limit:g} {budget.unit}", told, cells])
    return table(["budget", "limit", "largest cell", "so many cells"], rows)


def of_mends(book: Book) -> str:
    """What was mended while the page was made: before and after."""
    n, cell = TARGET, SIZES[0]
    rows = [
        ["words renewed under load, bytes/s", number(book.renewals_before(n)), number(book.renewals(n)),
         number(book.renewals_before(cell)), number(book.renewals(cell))],
        ["words renewed at each change of who lives, bytes/s", number(book.epochs_before(n)), "0",
         number(book.epochs_before(cell)), "0"],
        ["all of a node, bytes/s", number(book.bytes_before(n, n)), number(book.bytes(n, n)),
         number(book.bytes_before(n, cell)), number(book.bytes(n, cell))],
    ]  # fmt: skip
    for words, file, figure in (
        ("membership at rest, bytes/s", "membership-rest", "bytes_per_s"),
        (
            "a zone's return: the seed's worst second, bytes",
            "membership-return",
            "seed_most_bytes_in_a_second",
        ),
        ("the coordinator's evidence, ms each second", "locality", "evidence_ms"),
    ):
        least = figure.endswith("_ms")
        before, after = (book.at(f, figure, n, least) for f in (f"{file}-before", file))
        rows.append([words, number(before), number(after), "", ""])
    head = [
        "",
        "flat, as found",
        "flat, now",
        f"cells of {cell}, as found",
        f"cells of {cell}, now",
    ]
    return table(head, rows)


# words, what these slopes say at a size, and the file and figure of the emulated worlds that say it too
COMPARED: list[tuple[str, Callable[[Book, int], float], str, str]] = [
    (
        "membership at rest, bytes/s",
        lambda b, n: b.at("membership-rest-before", "bytes_per_s", n),
        "world-rest",
        "membership_bytes_per_s",
    ),
    (
        "records at rest, bytes/s",
        lambda b, n: b.beats(n),
        "world-rest",
        "records_bytes_per_s",
    ),
    (
        "records under load, bytes/s",
        lambda b, n: b.beats(n) + b.renewals_before(n),
        "world-busy",
        "records_bytes_per_s",
    ),
    (
        "a change that all tell, bytes a node",
        lambda b, n: b.change(n),
        "world-change",
        "change_bytes",
    ),
    (
        "a judgement, ms",
        lambda b, n: b.at("audit", "judge_ms", n),
        "world-rest",
        "judgement_ms",
    ),
    (
        "hearing all words, ms",
        lambda b, n: b.at("audit", "hear_ms", n),
        "world-rest",
        "hearing_ms",
    ),
]


def of_compared(book: Book) -> str:
    """These slopes beside whole emulated control planes, where both say something."""
    rows = []
    for words, mine, file, figure in COMPARED:
        points = book.slopes[file].points if file in book.slopes else []
        for n in sorted({p.size for p in points if not p.void and figure in p.figures}):
            here, there = mine(book, n), book.median(file, figure, n)
            apart = f"{100 * (here / there - 1):+.0f} %" if there else ""
            rows.append(
                [words, f"`{file}`", f"{n:,}", number(here), number(there), apart]
            )
    if not rows:
        return "No file of the emulated worlds is there yet."
    return table(
        [
            "figure",
            "file",
            "members",
            "by these slopes",
            "by the world",
            "these are off by",
        ],
        rows,
    )


PLAYED = (
    "bytes_per_s", "records_bytes_per_s", "membership_bytes_per_s", "judgement_ms", "change_bytes",
    "all_hold_s", "dead_known_s", "members_agree_s", "words_agree_s", "worst_second_bytes",
)  # fmt: skip


def of_played(book: Book) -> str:
    """What the emulated worlds say at the target's size: measured there, or fitted on four sizes or more."""
    rows = []
    for name, s in sorted(book.slopes.items()):
        for figure in PLAYED if name.startswith("world-") else ():
            largest, seen = book.largest(name, figure)
            if not largest or not seen:
                continue
            found = book.fit(name, figure)
            line = [
                f"`{name}`",
                f"{figure}, {s.units.get(figure, '')}",
                f"{number(seen)} at {largest:,}",
            ]
            if largest >= TARGET:
                rows.append([*line, "", "", f"{number(seen)} (measured)"])
            elif found is not None:
                rows.append(
                    [
                        *line,
                        formula(found, 1),
                        percent(found.prediction_error),
                        number(found.at(TARGET)),
                    ]
                )
    if not rows:
        return "No file of the emulated worlds has four sizes, or the target's, yet."
    return table(
        [
            "file",
            "figure",
            "largest measured",
            "fit",
            "largest missed by",
            f"at {TARGET:,}",
        ],
        rows,
    )


OWN = frozenset(file for file, *_ in FIGURES) | {"process", "datagram"}
BEFORE = "-before"  # in the name of a file: of the text as it was found


def of_others(book: Book) -> str:
    """Files of other runs, as they are: by size the middle of the seeds, void points told."""
    parts = []
    for name, s in sorted(book.slopes.items()):
        if name not in OWN and TRIAL not in name and BEFORE not in name:
            origin = f"`{s.command}`, commit `{s.commit}`, {s.date}, {s.machine}"
            head = f"<details><summary>{name}: {s.what}</summary>\n\n{origin}"
            parts.append(f"{head}\n\n{any_file(s)}\n\n</details>")
    return "\n\n".join(parts) or "No other file is there yet."


def any_file(s: Slopes) -> str:
    """Any file as a table: a row a figure, a column a size."""
    sizes = sorted({p.size for p in s.points})
    rows = []
    figures = list(dict.fromkeys([*s.units, *(f for p in s.points for f in p.figures)]))
    for figure in figures[:MOST_ROWS]:
        unit = s.units.get(figure, "")
        row = [f"{figure}, {unit}" if unit else figure]
        for n in sizes:
            points = [p for p in s.points if p.size == n and figure in p.figures]
            good = [p.figures[figure] for p in points if not p.void]
            void = len(points) - len(good)
            if not good:
                row.append(f"void ({void})" if void else "")
                continue
            spread = (
                f" ({number(min(good))} to {number(max(good))})"
                if len(good) > 1 and min(good) < max(good)
                else ""
            )
            row.append(
                number(median(good)) + spread + (f", {void} void" if void else "")
            )
        rows.append(row)
    void_rows = sorted({f"{p.size}: {p.void}" for p in s.points if p.void})
    text = table([f"figure, by {s.axis}", *(f"{n:,}" for n in sizes)], rows)
    if len(figures) > MOST_ROWS:
        text += f"\n\nThe file has {len(figures) - MOST_ROWS} figures more."
    return text + ("\n\nVoid: " + "; ".join(void_rows) + "." if void_rows else "")


BLOCKS: dict[str, Callable[[Book], str]] = {
    "verdicts": target_lines.flat_table,
    "verdicts-cells": target_lines.cells_table,
    "leads": leads.leads_table,
    "first": of_first,
    "first-cells": of_first_cells,
    "node": of_node,
    "holds": of_holds,
    "roles": of_roles,
    "roles-cells": of_roles_cells,
    "cells": of_cells,
    "cell-sizes": of_cell_sizes,
    "mends": of_mends,
    "processes": of_processes,
    "slopes": of_slopes,
    "compared": of_compared,
    "played": of_played,
    "others": of_others,
    "files": of_files,
}
MARK = re.compile(r"<!-- (begin|end) ([a-z0-9-]+) -->")


def worked(text: str, slopes: dict[str, Slopes], where: str = "the page") -> str:
    """The page with its tables made anew. A `PageUnmarked` where marks are missing or not in order."""
    book = Book(slopes)
    marks = [(m.group(1), m.group(2)) for m in MARK.finditer(text)]
    for name in BLOCKS:
        if [kind for kind, of in marks if of == name] != ["begin", "end"]:
            raise PageUnmarked(
                f"it has not one <!-- begin {name} --> and, after it, its end", where
            )
    for name, make in BLOCKS.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n{make(book)}\n{end}{after}"
    return text


def main(arguments: list[str] | None = None) -> int:
    """0: as it should be; 1: page and files differ; 2: one of them cannot be used."""
    ask = argparse.ArgumentParser(
        prog="loadbalancer.lab.scale.page", description=__doc__
    )
    ask.add_argument(
        "--check",
        action="store_true",
        help="write nothing; 1 where page and files differ",
    )
    ask.add_argument("--folder", type=Path, default=files.FOLDER)
    ask.add_argument("--page", type=Path, default=PAGE)
    wish = ask.parse_args(arguments)
    try:
        try:
            text = wish.page.read_text()
        except (OSError, UnicodeDecodeError) as e:
            raise PageUnmarked(f"it cannot be read: {e}", wish.page.name) from None
        new = worked(text, files.every(wish.folder), wish.page.name)
    except LoadBalancerError as e:
        print(e.line(), file=sys.stderr)
        return 2
    if wish.check:
        if new != text:
            print(
                f"{wish.page.name} and the slopes differ: run python -m loadbalancer.lab.scale.page"
            )
        return int(new != text)
    wish.page.write_text(new)
    return 0


if __name__ == "__main__":
    sys.exit(main())
