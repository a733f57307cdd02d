"""The sum over the summaries of all cells whose reports a collector receives. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from loadbalancer.cells.messages import (
    MAX_COUNT,
    MAX_FRONTIERS,
    CellSummary,
    DigestCounts,
    FleetFrontier,
    FleetSummary,
    Standings,
    most_held,
)


def add_up(
    empty: FleetSummary, cells: Sequence[CellSummary], fronts: list[FleetFrontier]
) -> FleetSummary:
    """Returns the fleet summary with the counts of all cells added up.

    Args:
        empty: The fleet summary without counts.
        cells: One summary of each cell.
        fronts: The frontier of each numbering that more than one cell uses; the most used ones are kept.
    """
    ordered = sorted(fronts, key=lambda frontier: (-frontier.of, frontier.origin))
    return msgspec.structs.replace(
        empty,
        heard=len(cells),
        known=_bounded(sum(cell.known for cell in cells)),
        live=_bounded(sum(cell.live for cell in cells)),
        ready=_bounded(sum(cell.ready for cell in cells)),
        out=_bounded(sum(cell.out for cell in cells)),
        standings=_standings(cells),
        fronts=tuple(ordered[:MAX_FRONTIERS]),
        settings=_digests(cell.settings for cell in cells),
        operation=_digests(cell.operation for cell in cells),
    )


def _bounded(count: int) -> int:
    """Returns a count that the message format can carry: at most `MAX_COUNT`."""
    return min(MAX_COUNT, count)


def _standings(cells: Iterable[CellSummary]) -> Standings:
    """Adds up the counts of members by health state."""
    totals = [0] * 6
    for cell in cells:
        totals = [a + b for a, b in zip(totals, cell.standings, strict=True)]
    first, second, third, fourth, fifth, sixth = map(_bounded, totals)
    return first, second, third, fourth, fifth, sixth


def _digests(counts_by_cell: Iterable[DigestCounts]) -> DigestCounts:
    """Adds up the holders of each digest, and keeps the digests that most members hold."""
    totals: Counter[str] = Counter()
    for counts in counts_by_cell:
        totals.update(dict(counts))
    return most_held({digest: _bounded(count) for digest, count in totals.items()})
