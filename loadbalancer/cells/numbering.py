"""Tracks how new numbers of endpoint lists spread over the cells, and which cells are behind. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from loadbalancer.cells.messages import (
    MAX_COUNT,
    CellFrontier,
    CellSummary,
    FleetFrontier,
)
from loadbalancer.cells.rules import CellEvent

MAX_NUMBERINGS = 64  # numberings that are tracked; further ones are not


@dataclass(slots=True)
class NumberingProgress:
    """How far the latest list of one numbering has spread; times in microseconds.

    Attributes:
        number: The highest number that two cells hold or have passed.
        since_us: When the number was first received.
        in_force_at_us: When all members of all cells held it; None if they have not yet.
        lower_since_us: Since when fewer than two cells have held or passed the number; 0 if two have.
        behind: Cells that are behind, with the time since when.
        logged_cells: Cells that are behind and whose event has been logged.
    """

    number: int
    since_us: int
    in_force_at_us: int | None = None
    lower_since_us: int = 0
    behind: dict[int, int] = field(default_factory=dict)
    logged_cells: set[int] = field(default_factory=set)


class NumberingTracker:
    """The progress of all numberings that more than one cell uses.

    Args:
        max_age_us: The time in microseconds after which a cell that is behind is logged, and after which a
            number that has fallen is accepted.
        events: The list to which events are appended.
    """

    def __init__(self, max_age_us: int, events: list[CellEvent]) -> None:
        self.max_age_us = max_age_us
        self.events = events
        self.progress: dict[str, NumberingProgress] = {}

    def update(
        self,
        now: int,
        shared: Mapping[str, Mapping[int, CellFrontier]],
        *,
        all_current: bool,
    ) -> None:
        """Updates the progress from the latest frontiers.

        Args:
            now: The present time, in microseconds.
            shared: The frontier of each cell, by each numbering that more than one cell uses.
            all_current: Whether all known cells have a current report; otherwise no numbering is forgotten.
        """
        for origin, by_cell in shared.items():
            number = confirmed_number(f.number for f in by_cell.values())
            progress = self._current_progress(now, origin, number)
            if progress is not None:
                self._update_progress(now, origin, progress, by_cell)
        if all_current:
            for origin in self.progress.keys() - shared.keys():
                del self.progress[origin]

    def _current_progress(
        self, now: int, origin: str, number: int
    ) -> NumberingProgress | None:
        """Returns the progress of a numbering, of which two cells now hold or have passed `number`.

        A higher number than before starts a new progress at once, a lower one only after `max_age_us`.
        Returns None if too many numberings are tracked.
        """
        progress = self.progress.get(origin)
        if progress is None:
            if len(self.progress) >= MAX_NUMBERINGS:
                return None
        elif number < progress.number:
            # The discovery has restarted its numbers, or reports of a cell ahead are briefly missing.
            progress.lower_since_us = progress.lower_since_us or now
            if now - progress.lower_since_us < self.max_age_us:
                return progress
        elif number == progress.number:
            progress.lower_since_us = 0
            return progress
        progress = self.progress[origin] = NumberingProgress(number, now)
        return progress

    def _update_progress(
        self,
        now: int,
        origin: str,
        progress: NumberingProgress,
        by_cell: Mapping[int, CellFrontier],
    ) -> None:
        """Updates which cells are behind, logs those that stay so, and notes when all members are current."""
        number = progress.number
        behind = {cell for cell, f in by_cell.items() if f.number < number}
        for cell in behind - progress.behind.keys():
            progress.behind[cell] = now
        for cell in progress.behind.keys() - behind:
            del progress.behind[cell]
            if cell in progress.logged_cells:
                progress.logged_cells.discard(cell)
                reason = f"{origin}: {number}"
                self.events.append(CellEvent("cells list current", cell, reason))
        for cell, since in progress.behind.items():
            if now - since >= self.max_age_us and cell not in progress.logged_cells:
                progress.logged_cells.add(cell)
                reason = f"{origin}: holds {by_cell[cell].number}, others {number}"
                self.events.append(CellEvent("cells list outdated", cell, reason))
        all_hold = all(f.number > number or f.holders == f.of for f in by_cell.values())
        if progress.in_force_at_us is None and not behind and all_hold:
            progress.in_force_at_us = now

    def fleet_frontier(
        self, now: int, origin: str, by_cell: Mapping[int, CellFrontier]
    ) -> FleetFrontier:
        """Returns the frontier of one numbering over all cells that use it."""
        progress = self.progress.get(origin)
        age_s, in_force_s = 0.0, None
        if progress is None:
            number = confirmed_number(f.number for f in by_cell.values())
        else:
            number = progress.number
            age_s = round((now - progress.since_us) / 1e6, 1)
            if progress.in_force_at_us is not None:
                in_force_s = round(
                    (progress.in_force_at_us - progress.since_us) / 1e6, 1
                )
        reached = [f for f in by_cell.values() if f.number >= number]
        digests = {f.digest for f in reached if f.number == number}
        return FleetFrontier(
            origin,
            number,
            digests.pop() if len(digests) == 1 else "",
            holders=min(MAX_COUNT, sum(f.holders for f in reached)),
            of=min(MAX_COUNT, sum(f.of for f in by_cell.values())),
            cells=len(by_cell),
            behind=len(by_cell) - len(reached),
            age_s=age_s,
            in_force_s=in_force_s,
        )


def frontiers_by_origin(
    summaries: Mapping[int, CellSummary],
) -> dict[str, dict[int, CellFrontier]]:
    """Returns the frontiers of all cells, by numbering and cell."""
    frontiers: dict[str, dict[int, CellFrontier]] = {}
    for cell, summary in summaries.items():
        for frontier in summary.fronts:
            frontiers.setdefault(frontier.origin, {})[cell] = frontier
    return frontiers


def confirmed_number(numbers: Iterable[int]) -> int:
    """Returns the highest number that two cells hold or have passed; the only number if there is just one."""
    ordered = sorted(numbers, reverse=True)
    return ordered[1] if len(ordered) > 1 else ordered[0]
