"""Ways to give each of many copies a small subset of a fleet: how even, and how stable when servers change.

    python -m benchmarks.subsets

For each way: the least and the most that a server is covered, over all copies, as part of the mean, at the
start and after the changes; and how many members of a copy one change of the list moves, on average and at
most, not counting the changed server. Servers leave and join one at a time.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable
from heapq import nlargest
from random import Random

from brackenladder.balance import SUBSET_LEAST
from brackenladder.order import mix

Way = Callable[[list[int], int, int, int, set[int]], set[int]]
CHANGES = 30


def stretches(servers: list[int], copy: int, copies: int, size: int, held: set[int]) -> set[int]:
    """The way until version 0.1: stretches that follow one another, another shuffle once round."""
    n = len(servers)
    parts = max(1, n // SUBSET_LEAST)
    turn, part = divmod(copy, parts)
    order = shuffled(servers, turn)
    start, end = part * n // parts, (part + 1) * n // parts
    return {order[i % n] for i in range(start, min(max(end, start + size), start + n))}


def ranks(servers: list[int], copy: int, copies: int, size: int, held: set[int]) -> set[int]:
    """Aperture: one shuffle, the copies' windows start evenly spaced by rank."""
    n = len(servers)
    order = shuffled(servers, 0)
    start = copy * n // copies
    return {order[i % n] for i in range(start, start + min(size, n))}


def ring(servers: list[int], copy: int, copies: int, size: int, held: set[int]) -> set[int]:
    """Consistent ring: windows start at fixed points, and take the servers that follow."""
    keyed = sorted((mix(s, 0), s) for s in servers)
    n = len(keyed)
    start = bisect_left(keyed, (copy * (1 << 64) // copies, 0))
    return {keyed[i % n][1] for i in range(start, start + min(size, n))}


def rendezvous(servers: list[int], copy: int, copies: int, size: int, held: set[int]) -> set[int]:
    """Highest random weight: the servers whose hash with the copy's number is largest."""
    return set(nlargest(size, servers, key=lambda s: (mix(s, copy + 1), s)))


def sticky(servers: list[int], copy: int, copies: int, size: int, held: set[int]) -> set[int]:
    """Aperture with slack: a member stays until it is a quarter of the window outside of it."""
    n = len(servers)
    if size >= n:
        return set(servers)
    order = shuffled(servers, 0)
    start, slack = copy * n // copies, max(1, size // 4)
    wide = [order[i % n] for i in range(start - slack, start + min(size + slack, n - slack))]
    stay = [s for s in wide if s in held][:size]
    new = [s for s in wide[slack : slack + size] + wide if s not in stay]
    return set(stay + list(dict.fromkeys(new))[: size - len(stay)])


CACHE: dict[tuple[int, int, int], list[int]] = {}


def shuffled(servers: list[int], turn: int) -> list[int]:
    key = (id(servers), len(servers), turn)
    if key not in CACHE:
        CACHE[key] = sorted(servers, key=lambda s: (mix(s, turn), s))
    return CACHE[key]


def spread(held: list[set[int]], servers: list[int]) -> tuple[float, float]:
    """The least and the most covered server, over the mean."""
    cover = Counter(s for members in held for s in members)
    mean = sum(cover.values()) / len(servers)
    return min(cover.get(s, 0) for s in servers) / mean, max(cover.values()) / mean


def judge(way: Way, n: int, copies: int, size: int) -> tuple[float, float, float, float, float, int]:
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
            moves.append(max(len(b - a - other), len(a - b - other)) - bool((a ^ b) & other))
        servers, held = changed, new
    moves = [max(0, m) for m in moves]
    return (*first, *spread(held, servers), sum(moves) / len(moves), max(moves))


def main() -> None:
    ways = (stretches, ranks, sticky, ring, rendezvous)
    print("servers copies size  way          least   most   later least   most   moved  at most")
    for n, copies, size in ((20, 14, 6), (300, 60, 24), (1000, 120, 24), (3000, 120, 25)):
        for way in ways:
            least, most, low, high, moved, worst = judge(way, n, copies, size)
            print(
                f"{n:>7} {copies:>6} {size:>4}  {way.__name__:<11} {least:>6.2f} {most:>6.2f}"
                f" {low:>13.2f} {high:>6.2f} {moved:>7.3f} {worst:>8}",
                flush=True,
            )


if __name__ == "__main__":
    main()
