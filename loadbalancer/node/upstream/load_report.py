"""Parses the load reports of servers."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf


def parse_load_report(
    text: bytes, names: Sequence[tuple[str, str]]
) -> tuple[float, ...]:
    """Parses a load report.

    Args:
        text: `name=value` pairs, separated by commas.
        names: For each value its name, and the name that is used if that one is missing.

    Returns:
        The values in the order of `names`; empty if one is missing, not a number, negative or infinite.
    """
    values = dict(
        pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(",")
    )
    try:
        report = tuple(
            float(values[name] if name in values else values[fallback_name])
            for name, fallback_name in names
        )
    except (KeyError, ValueError):
        return ()
    return report if all(0 <= value < inf for value in report) else ()
