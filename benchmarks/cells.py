"""What cells save: one node's judgement, and its records' bytes at rest and by change, with and without.

    python benchmarks/cells.py [--judge 100 200 ...] [--play 70 100 ...] [--cells 280 4] [--seed 1]

Judgements are timed on this machine (median of many, in milliseconds); bytes are counted in virtual time and
are the same anywhere. Prints JSON lines.
"""

from __future__ import annotations

import argparse
import json
import statistics
from time import perf_counter_ns

from loadbalancer.audit.fleet_observer import FleetObserver
from loadbalancer.audit.fleet_view import ReceivedStatus
from loadbalancer.audit.status import StatusRecord, VersionId, encode
from loadbalancer.cells.layout import Layout
from loadbalancer.lab.records import World


def judgement(size: int, rounds: int = 40) -> float:
    """Milliseconds of one judgement over so many members."""
    view, names = FleetObserver("m0"), [f"m{i}" for i in range(size)]
    lists = tuple(VersionId("prod", n, f"{n:016x}") for n in range(4))
    words = {
        n: ReceivedStatus(StatusRecord(list_versions=lists, known_members=size))
        for n in names
    }
    took = []
    for i in range(rounds):
        began = perf_counter_ns()
        view.observe(1_000_000 + 250_000 * i, names, words)
        took.append((perf_counter_ns() - began) / 1e6)
    return statistics.median(took[5:])


def play(
    size: int, seed: int, layout: Layout | None, changes: int = 3
) -> dict[str, float]:
    """Bytes a second that a node sends at rest, and all bytes of a change that every node takes up, within
    10 s, beyond those at rest.
    """
    world = World(size, seed)
    body = encode(
        StatusRecord(
            list_versions=tuple(VersionId("prod", n, f"{n:016x}") for n in range(4)),
            known_members=size,
        )
    )
    for name in world.nodes:
        if layout is not None:
            world.tell(layout.scope(name, world.nodes), to=[name])
        world.put(name, "audit", body)
    world.run(25)
    before = world.sent()
    world.run(20)
    rest = (world.sent() - before) / 20 / size
    each = []
    for number in range(changes):
        before = world.sent()
        held = tuple(
            VersionId("prod", number + n, f"{number + n:016x}") for n in range(1, 5)
        )
        for name in world.nodes:
            world.put(
                name,
                "audit",
                encode(StatusRecord(list_versions=held, known_members=size)),
            )
        world.run(10)
        each.append((world.sent() - before) / size - 10 * rest)
    return {
        "at_rest": round(rest),
        "a_change": round(statistics.mean(each)),
        "body": len(body),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument(
        "--judge", type=int, nargs="*", default=[70, 100, 200, 400, 800, 1600, 2800]
    )
    parser.add_argument("--play", type=int, nargs="*", default=[50, 70, 100, 200])
    parser.add_argument(
        "--cells",
        type=int,
        nargs="*",
        default=[280, 4],
        help="members and cells, in pairs",
    )
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for size in args.judge:
        print(
            json.dumps({"members": size, "judgement_ms": round(judgement(size), 3)}),
            flush=True,
        )
    for size in args.play:
        print(
            json.dumps({"members": size, "cells": 0, **play(size, args.seed, None)}),
            flush=True,
        )
    for size, cells in zip(args.cells[::2], args.cells[1::2], strict=True):
        found = play(size, args.seed, Layout(cells))
        print(json.dumps({"members": size, "cells": cells, **found}), flush=True)


if __name__ == "__main__":
    main()
