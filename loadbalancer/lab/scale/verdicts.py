"""How a figure is judged against a limit of the target, and how the verdict is worded."""

from __future__ import annotations

import math

from loadbalancer.lab.scale.capacity import Book, Budget
from loadbalancer.lab.scale.writing import MISSING, margin, number

BY_ARITHMETIC = "worked out"
NOT_CARRIED = "**not carried**"
UNKNOWN = "unknown"
NO_LIMIT = "no limit named"


def verdict(value: float, budget: Budget, how: str = BY_ARITHMETIC) -> str:
    """The verdict on a line that is one figure; `how` says what the figure comes from."""
    if math.isnan(value):
        return UNKNOWN
    outcome = "carried" if value <= budget.limit else NOT_CARRIED
    return f"{outcome} ({how})"


def verdict_without_limit(value: float) -> str:
    """The verdict on a line without a limit of its own: carried, where its figure is there."""
    return UNKNOWN if math.isnan(value) else f"carried ({BY_ARITHMETIC})"


def margin_of_limit(value: float, budget: Budget) -> str:
    """The margin, with the limit that it is one to."""
    return f"{margin(value, budget)} ({number(value)} of {number(budget.limit)} {budget.unit})"


def seen_in_virtual_time(
    book: Book, scenes: tuple[str, ...], figure: str, unit: str = ""
) -> str:
    """What a whole fleet in virtual time showed, at the largest size played, and of which commit.

    Args:
        book: The slopes.
        scenes: Files of slopes; the first that has the figure counts.
        figure: Name of the figure.
        unit: Its unit; a count has none.
    """
    for name in scenes:
        largest, seen = book.largest(name, figure)
        if largest:
            value = f"{number(seen)} {unit}" if unit else f"{seen:g}"
            return (
                f"{value} at {largest:,} (virtual time, `{book.slopes[name].commit}`)"
            )
    return MISSING
