"""Long computations in slices of a few milliseconds, so that a node can handle requests in between."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")

# A generator that yields wherever it may be paused, and returns the result.
SlicedWork = Generator[None, None, Result]


def run_to_end(work: SlicedWork[Result]) -> Result:
    """Runs all slices without a pause and returns the result."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: Result = stop.value
            return result
