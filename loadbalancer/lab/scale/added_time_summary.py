"""What the runs of added time show, in words for the capacity page."""

from __future__ import annotations

import math

from loadbalancer.lab.scale.capacity import Book
from loadbalancer.lab.scale.writing import number

SLOPES = "added-time"


def added_time(book: Book) -> str:
    """What the runs of added time say, if there are any."""
    if SLOPES not in book.slopes:
        return f"no file `{SLOPES}` yet"
    points = book.slopes[SLOPES].points
    counted = [point for point in points if not point.void]
    if not counted:
        return f"all {len(points)} runs of `{SLOPES}` are void, so it is not known"
    rate = max(point.size for point in counted)
    node_ms = _middle_with_span(book, "node_added_p99_ms", rate)
    control_ms = _middle_with_span(book, "control_added_p99_ms", rate)
    return (
        f"{len(counted)} of {len(points)} runs of `{SLOPES}` count: {node_ms} ms"
        f" for 99 in 100 at {rate} calls a second, {control_ms} with control on in a small fleet"
    )


def _middle_with_span(book: Book, figure: str, rate: int) -> str:
    """The middle of the seeds at a rate, with the least and the most where they differ."""
    seen = book.values(SLOPES, figure, rate)
    if not seen:
        return number(math.nan)
    middle = number(book.median(SLOPES, figure, rate))
    if len(set(seen)) == 1:
        return middle
    return f"{middle} ({number(min(seen))} to {number(max(seen))})"
