"""What a collector of cells (`docs/cells.md`), a machine set aside, spends on the words of N cells."""

from __future__ import annotations

from functools import partial
from itertools import count
from random import Random
from statistics import median

from loadbalancer.cells.collector import Collector
from loadbalancer.cells.layout import Layout
from loadbalancer.cells.member_count import MemberRow, count_members
from loadbalancer.cells.messages import (
    FORMAT_VERSION,
    CellFrontier,
    CellSummary,
    FleetSummaryReply,
    SummaryReport,
    decode,
    encode,
)
from loadbalancer.lab.scale.clocks import held, settled, timed
from loadbalancer.lab.scale.views import membership
from loadbalancer.membership.messages import MemberState

SECOND = 1_000_000

CELL = 70  # members of one
SPEAKERS = 2  # of each cell
PERIOD = 2 * SECOND  # between two words of a speaker


def collector(size: int, seed: int) -> dict[str, float]:
    """A collector of N cells of 70 members, two speakers each, one numbering: a word decoded and taken, the
    sum made and encoded for an answer, a tick. The host makes a sum at most twice a second and ticks once in
    two.
    """
    draw = Random(seed)
    layout = Layout(size)
    names: dict[int, list[str]] = {n: [] for n in range(size)}
    for i in count():
        name = f"n{i}"
        there = names[layout.cell_of(name)]
        if len(there) < SPEAKERS:
            there.append(name)
        if all(len(found) == SPEAKERS for found in names.values()):
            break

    def words(order: int, number: int) -> list[bytes]:
        front = CellFrontier("discovery", number, "0123456789abcdef", CELL, CELL)
        told = [
            encode(
                SummaryReport(
                    CellSummary(
                        FORMAT_VERSION, layout.digest, cell, name, 1_790_000_000, order,
                        CELL, CELL, CELL, CELL, 0, (CELL, 0, 0, 0, 0, 0), (front,), 0, (),
                        (("0123456789abcdef", CELL),), (("0123456789abcdef", CELL),),
                    )
                )
            )
            for cell, found in names.items()
            for name in found
        ]  # fmt: skip
        draw.shuffle(told)
        return told

    def taken(into: Collector, now: int, told: list[bytes]) -> None:
        for data in told:
            word = decode(data, layout.digest)
            assert isinstance(word, CellSummary)
            into.receive(now, word)

    def summed(of: Collector, now: int) -> bytes:
        of.track_numberings(now)
        return encode(FleetSummaryReply(of.fleet_summary(now)))

    def begun() -> Collector:
        made = Collector("aside-1", layout, 1)
        taken(made, SECOND, words(1, 7))
        made.tick(SECOND)
        made.fleet_summary(SECOND)
        return made

    made, megabytes = held(begun)
    takes, ticks, sums = [], [], []
    told, answer = words(1, 7), b""
    with settled():
        for round_ in range(2, 32):
            now = round_ * PERIOD
            told = words(round_, 7 + round_ // 4)
            takes.append(timed(partial(taken, made, now, told), 1).least)
            ticks.append(timed(partial(made.tick, now), 1).least)
            sums.append(timed(partial(summed, made, now), 1).least)
            answer = summed(made, now)
    assert answer
    words_per_s = size * SPEAKERS * SECOND / PERIOD
    take_us = min(takes) * 1e3 / (size * SPEAKERS)
    return {
        "words_per_s": words_per_s,
        "word_bytes": sum(map(len, told)) / len(told),
        "answer_bytes": float(len(answer)),
        "received_bytes_per_s": sum(map(len, told)) * SECOND / PERIOD,
        "sent_bytes_per_s": words_per_s * len(answer),
        "take_us": take_us,
        "tick_ms": min(ticks),
        "sum_ms": min(sums),
        "sum_middle_ms": median(sums),
        "memory_mb": megabytes,
    }


COLLECTOR_UNITS = {
    "words_per_s": "words/s",
    "word_bytes": "bytes",
    "answer_bytes": "bytes",
    "received_bytes_per_s": "bytes/s",
    "sent_bytes_per_s": "bytes/s",
    "take_us": "us",
    "tick_ms": "ms",
    "sum_ms": "ms",
    "sum_middle_ms": "ms",
    "memory_mb": "MB",
}


# ---- what each node does for cells ------------------------------------------------------------------------


def census(size: int, seed: int) -> dict[str, float]:
    """A node's count of the own cell among N members, cells of 70: after each change of the members, and each
    ten seconds (`net.members`).
    """
    swim = membership(size, seed)
    layout = Layout(max(1, size // CELL))

    def counted() -> None:
        known = [swim.local, *swim.members.values()]
        rows = (
            MemberRow(
                m.name,
                m.zone,
                m.state <= MemberState.SUSPECT,
                m.state == MemberState.LEFT,
            )
            for m in known
        )
        count_members(layout, swim.local.name, rows)

    counted()
    with settled():
        found = timed(counted, max(9, min(60, 20_000 // size)))
    return {"count_least_ms": found.least, "count_ms": found.median}


CENSUS_UNITS = {"count_least_ms": "ms", "count_ms": "ms"}
