"""Ways to give each of many copies a small subset of a fleet: how even, and how stable when servers change.

    python -m benchmarks.subsets

For each way: what the least and the most loaded server get, as part of the mean, at the start and after the
changes; the most once a tenth of the copies has died and nobody has heard of it, and where every copy
believes the count to be half of what it is; and how many members of a copy one change of the list moves, on
average and at most, not counting the changed server. Servers leave and join one at a time.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from heapq import nlargest
from random import Random

from loadbalancer.policy.ranked_order import shuffle
from loadbalancer.policy.subset import SUBSET_LEAST

Way = Callable[[list[int], int, int, int, set[int]], set[int]]
CHANGES = 30


def stretches(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """The way until version 0.1: stretches that follow one another, another shuffle once round."""
    n = len(servers)
    parts = max(1, n // SUBSET_LEAST)
    turn, part = divmod(copy, parts)
    order = shuffled(servers, turn)
    start, end = part * n // parts, (part + 1) * n // parts
    return {order[i % n] for i in range(start, min(max(end, start + size), start + n))}


def ranks(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """Aperture: one shuffle, the copies' windows start evenly spaced by rank."""
    n = len(servers)
    order = shuffled(servers, 0)
    start = copy * n // copies
    return {order[i % n] for i in range(start, start + min(size, n))}


def ring(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """Consistent ring: windows start at fixed points, and take the servers that follow."""
    keyed = sorted((shuffle(s, 0), s) for s in servers)
    n = len(keyed)
    start = bisect_left(keyed, (copy * (1 << 64) // copies, 0))
    return {keyed[i % n][1] for i in range(start, start + min(size, n))}


def rendezvous(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """Highest random weight: the servers whose hash with the copy's number is largest."""
    return set(nlargest(size, servers, key=lambda s: (shuffle(s, copy + 1), s)))


def sticky(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """Aperture with slack: a member stays until it is a quarter of the window outside of it."""
    n = len(servers)
    if size >= n:
        return set(servers)
    order = shuffled(servers, 0)
    start, slack = copy * n // copies, max(1, size // 4)
    wide = [
        order[i % n] for i in range(start - slack, start + min(size + slack, n - slack))
    ]
    stay = [s for s in wide if s in held][:size]
    new = [s for s in wide[slack : slack + size] + wide if s not in stay]
    return set(stay + list(dict.fromkeys(new))[: size - len(stay)])


def whole(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """Aperture of whole parts: the windows end where others begin, so that all servers lie in as many."""
    n = len(servers)
    order, size = shuffled(servers, 0), min(size, n)
    start, end = copy * n // copies, (copy + -(-size * copies // n)) * n // copies
    return {order[i % n] for i in range(start, min(end, start + n))}


def rounds(
    servers: list[int], copy: int, copies: int, size: int, held: set[int]
) -> set[int]:
    """Deterministic subsetting in rounds (Site Reliability Engineering, chapter 20): as many copies as there
    are whole subsets share one shuffle, the next ones another.
    """
    parts = max(1, len(servers) // size)
    turn, part = divmod(copy, parts)
    return set(shuffled(servers, turn)[part * size : part * size + size])


CACHE: dict[tuple[int, int, int], list[int]] = {}


def shuffled(servers: list[int], turn: int) -> list[int]:
    key = (id(servers), len(servers), turn)
    if key not in CACHE:
        CACHE[key] = sorted(servers, key=lambda s: (shuffle(s, turn), s))
    return CACHE[key]


def spread(held: list[set[int]], servers: list[int]) -> tuple[float, float]:
    """What the least and the most loaded server get, over the mean, where copies send alike and each spreads
    it evenly over its members.
    """
    load: dict[int, float] = dict.fromkeys(servers, 0.0)
    for members in held:
        for s in members:
            load[s] += 1 / len(members)
    mean = len(held) / len(servers)
    return min(load.values()) / mean, max(load.values()) / mean


def wrong(way: Way, n: int, copies: int, size: int) -> tuple[float, float]:
    """The most loaded server over the mean: a tenth of the copies dead; half of the count believed."""
    servers = Random(n * copies).sample(range(1, 1 << 32), n)
    CACHE.clear()
    held = [way(servers, c, copies, size, set()) for c in range(copies)]
    dead = set(Random(copies).sample(range(copies), copies // 10 or 1))
    half = max(1, copies // 2)
    believed = [way(servers, c % half, half, size, set()) for c in range(copies)]
    return spread([h for c, h in enumerate(held) if c not in dead], servers)[1], spread(
        believed, servers
    )[1]


def judge(
    way: Way, n: int, copies: int, size: int
) -> tuple[float, float, float, float, float, int]:
    """Spread at the start and at the end; mean and most members moved by one change."""
    rng = Random(n * copies)
    servers = rng.sample(range(1, 1 << 32), n)
    CACHE.clear()
    held = [way(servers, c, copies, size, set()) for c in range(copies)]
    first = spread(held, servers)
    moves: list[int] = []
    for i in range(CHANGES):
        changed = list(servers)
        if i % 2:
            insort(changed, rng.randrange(1, 1 << 32))
        else:
            changed.pop(rng.randrange(n))
        CACHE.clear()
        new = [way(changed, c, copies, size, held[c]) for c in range(copies)]
        other = set(servers) ^ set(changed)
        for a, b in zip(held, new, strict=True):
            # A member that takes the place of one that left, or makes room for one that came, is no move.
            moves.append(
                max(len(b - a - other), len(a - b - other)) - bool((a ^ b) & other)
            )
        servers, held = changed, new
    moves = [max(0, m) for m in moves]
    return (*first, *spread(held, servers), sum(moves) / len(moves), max(moves))


def main() -> None:
    ways = (stretches, rounds, ranks, whole, sticky, ring, rendezvous)
    print(
        "servers copies size  way          least   most   later least   most   dead   half   moved  at most"
    )
    shapes = (
        (20, 14, 6),
        (24, 9, 4),
        (40, 300, 4),
        (300, 30, 24),
        (300, 60, 24),
        (1000, 120, 24),
    )
    for n, copies, size in shapes:
        for way in ways:
            least, most, low, high, moved, worst = judge(way, n, copies, size)
            dead, half = wrong(way, n, copies, size)
            print(
                f"{n:>7} {copies:>6} {size:>4}  {way.__name__:<11} {least:>6.2f} {most:>6.2f}"
                f" {low:>13.2f} {high:>6.2f} {dead:>6.2f} {half:>6.2f} {moved:>7.3f} {worst:>8}",
                flush=True,
            )


if __name__ == "__main__":
    main()
