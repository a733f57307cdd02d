"""Computes what fraction of each class to reject when work exceeds the capacity of all zones."""

from __future__ import annotations

from collections.abc import Sequence

MIN_COST = 1e-9  # Replaces a cost of 0, so that a value per cost can be computed.


def rejected_parts(
    class_loads: Sequence[float],
    cost: Sequence[float],
    priority_weights: Sequence[float],
    rejected_share: float,
) -> tuple[float, ...]:
    """Returns, by class, the fraction of requests to reject. Classes of the lowest value come first.

    The work of a class is its rate times its cost per call. Its value is its priority weight per cost.

    Args:
        class_loads: Calls per second, by class.
        cost: Cost of a call, by class, in any one unit.
        priority_weights: Priority weights, by class.
        rejected_share: The fraction of all work that is to be rejected, from 0 to 1.
    """
    work = [
        load * class_cost for load, class_cost in zip(class_loads, cost, strict=True)
    ]
    excess_work = rejected_share * sum(work)
    fractions = [0.0] * len(work)
    by_value = sorted(
        range(len(work)),
        key=lambda index: priority_weights[index] / max(cost[index], MIN_COST),
    )
    for index in by_value:
        if work[index] > 0 and excess_work > 0:
            fractions[index] = min(1.0, excess_work / work[index])
            excess_work -= fractions[index] * work[index]
    return tuple(fractions)
