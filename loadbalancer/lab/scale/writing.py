"""How figures stand on the page."""

from __future__ import annotations

import math

from loadbalancer.lab.scale.capacity import Budget

MISSING = "not recorded"


def number(value: float, digits: int = 3) -> str:
    """A figure for people: three digits, thousands by commas."""
    if math.isnan(value):
        return MISSING
    if math.isinf(value):
        return "never"
    value = float(f"{value:.{digits}g}")
    if value and abs(value) < 1:
        return f"{value:.{max(0, digits - 1 - math.floor(math.log10(abs(value))))}f}"
    whole = len(str(int(abs(value))))
    return f"{round(value, digits - whole):,.{max(0, digits - whole)}f}"


def size(value: float) -> str:
    """A number of members at which a budget is used up."""
    if math.isnan(value):
        return MISSING
    if math.isinf(value):
        return "above a million"
    return "at any size" if value == 0 else f"{value:,.0f}"


def percent(value: float) -> str:
    return MISSING if math.isnan(value) or math.isinf(value) else f"{100 * value:.1f} %"


def table(head: list[str], rows: list[list[str]]) -> str:
    lines = [
        "| " + " | ".join(head) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
    ]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def margin(value: float, budget: Budget) -> str:
    """How a figure stands to its budget."""
    if math.isnan(value):
        return "unknown"
    if value <= budget.limit:
        return f"{number(100 * (1 - value / budget.limit), 2)} % left"
    return f"{number(value / budget.limit, 2)} times over"
