"""What came at cold servers in a swarm, against what they bear. Without I/O."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Mapping, Sequence
from math import sqrt
from typing import Any

START, MULTIPLE, WINDOW = (
    0.12,
    3.0,
    3.0,
)  # what a start is good for; what tips it, in how many seconds


def rules(cold_s: float) -> dict[str, Any]:
    """The settings' rules for servers that are warm after so long."""
    whole = {"cold": int(cold_s * 1e6), "tip_after": int(WINDOW * 1e6)}
    return whole | {"start_capacity": START, "fall_multiple": MULTIPLE}


def budget(age: float, cold_s: float, capacity: float) -> float:
    """N: the calls that tip a server of `capacity` warm calls a second, in the window that ends at an age."""
    middle = (max(0.0, age - WINDOW) + age) / 2
    return (
        MULTIPLE * (START + (1 - START) * min(1.0, middle / cold_s)) * capacity * WINDOW
    )


def figures(
    arrivals: Mapping[str, Sequence[tuple[float, int]]],
    began: Mapping[int, float],
    cold_s: float,
    capacity: float,
) -> dict[str, float | None]:
    """The worst window of all servers that began, by number, at these moments of the machine's clock."""
    times: dict[int, list[float]] = defaultdict(list)
    for calls in arrivals.values():
        for at, server in calls:
            if server in began and 0 <= at - began[server] < cold_s:
                times[server].append(at - began[server])
    part = bound = calls_to_cold = 0.0
    for ages in times.values():
        calls_to_cold += len(ages)
        window: deque[float] = deque()
        for age in sorted(ages):
            window.append(age)
            while window[0] <= age - WINDOW:
                window.popleft()
            n = budget(age, cold_s, capacity)
            part = max(part, len(window) / n)
            bound = max(bound, len(window) / (n + 2 * sqrt(n) + 2))
    if not times:
        return {}
    return {"cold_of_n": part, "cold_of_bound": bound, "cold_calls": calls_to_cold}
