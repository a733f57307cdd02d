"""Exhaustive check of small memberships: every sequence of faults up to a depth."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from functools import partial
from itertools import product

from loadbalancer.lab.membership import SECOND, World
from loadbalancer.lab.network import Net
from loadbalancer.membership.settings import SwimSettings

STEP = (
    2 * SECOND
)  # between the beginnings of two faults: shorter than a suspicion, so that they overlap
HEALED = 40 * SECOND  # after the last fault: within so long all must agree
Step = tuple[str, int, int]


def steps(size: int) -> list[Step]:
    """All faults that one step may have: what, on whom, towards whom."""
    found: list[Step] = [("nothing", 0, 0), ("blackout", 0, 0), ("duplicates", 0, 0)]
    found += [("pause", i, 0) for i in range(size)]
    found += [("restart", i, 0) for i in range(size)]
    found += [("cut", i, j) for i in range(size) for j in range(size) if i != j]
    return found


def worlds(size: int, depth: int) -> Iterator[tuple[Step, ...]]:
    """Every sequence of `depth` steps."""
    return product(steps(size), repeat=depth)


def violations(
    size: int, sequence: Sequence[Step], seed: int, settings: SwimSettings | None = None
) -> list[str]:
    """Runs one sequence of faults.

    Returns:
        What did not hold: that all live members agree once all has healed, and that a dead member came back
        only with a higher incarnation.
    """
    world = World(size, settings or SwimSettings(), seed, Net(), settled=True)
    start = 3 * SECOND
    for index, (kind, one, other) in enumerate(sequence):
        at, name, to = start + index * STEP, f"m{one}", f"m{other}"
        if kind == "pause":
            world.pause(name, at, 3 * SECOND)
        elif kind == "restart":
            world.kill(name, at)
            world.restart(name, at + SECOND)
        elif kind == "cut":
            world.at(at, partial(world.net.cut.add, (name, to)))
            world.at(at + 5 * SECOND, partial(world.net.cut.discard, (name, to)))
        elif kind in ("blackout", "duplicates"):
            what, part = ("loss", 1.0) if kind == "blackout" else ("duplicate", 0.5)
            world.at(at, partial(setattr, world.net, what, part))
            world.at(at + STEP, partial(setattr, world.net, what, 0.0))
    world.run(start + len(sequence) * STEP + 5 * SECOND + HEALED)
    wrong = [] if world.agreed(set()) else ["the live members do not agree"]
    died: dict[tuple[str, str], int] = {}
    for observer, change in world.changes:
        key = (observer, change.name)
        if change.new == "dead":
            died[key] = change.incarnation
        elif (
            change.old == "dead"
            and change.new == "alive"
            and change.incarnation <= died.pop(key, -1)
        ):
            wrong.append(
                f"{change.name} came back to {observer} with incarnation {change.incarnation}"
            )
    return wrong
