"""Virtual time: one heap of events, one clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from loadbalancer.lab.stage import EPOCH


class Kernel:
    """Runs calls in order of their time; those of one time in the order in which they were asked for."""

    __slots__ = ("heap", "now", "seq")

    def __init__(self) -> None:
        self.now = EPOCH
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.seq = 0

    def at(self, time: int, call: Callable[..., None], *args: Any) -> None:
        """Calls `call(*args)` at `time`, or now if that has passed."""
        self.seq += 1
        heappush(
            self.heap, (time if time > self.now else self.now, self.seq, call, args)
        )

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Calls `call(*args)` so many microseconds from now."""
        self.seq += 1
        heappush(self.heap, (self.now + int(delay), self.seq, call, args))

    def run(self, until: int) -> int:
        """Plays all that is due up to `until`; the number of events played."""
        heap = self.heap
        played = 0
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            call(*args)
            played += 1
        self.now = max(self.now, until)
        return played
