"""Processor times on a machine that does other work too: a call is played several times, and the median told.

`process_time` counts this process alone, but caches and the clock rate are shared, so a busy machine shows
longer times; a minimum is told beside the median where a figure hangs on it. As a node does after its start,
what is set up before is taken out of the collector's sight (`gc.freeze`).
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from statistics import median
from time import process_time_ns
from typing import TypeVar

T = TypeVar("T")


@dataclass(frozen=True)
class Times:
    """Milliseconds of processor time."""

    median: float
    least: float
    most: float


@contextmanager
def settled() -> Iterator[None]:
    """As in a node that has begun: what there is by now lives on, and is not walked through."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
        gc.collect()


def timed(call: Callable[[], object], times: int) -> Times:
    """How long a call takes."""
    found = []
    for _ in range(times):
        began = process_time_ns()
        call()
        found.append((process_time_ns() - began) / 1e6)
    return Times(median(found), min(found), max(found))


def held(make: Callable[[], T]) -> tuple[T, float]:
    """What a call makes, and the megabytes of Python's objects that stay with it."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return made, (tracemalloc.get_traced_memory()[0] - before) / 1e6
    finally:
        tracemalloc.stop()
