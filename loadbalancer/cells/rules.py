"""Time rules of the collectors, and the events that they log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CollectorRules:
    """Time rules: times in microseconds, or as numbers of periods.

    Attributes:
        period_us: The time between two reports of a reporter.
        overdue_periods: After this number of periods without a report a cell is overdue.
        forget_us: After this time without a report a cell is forgotten.
        stopped_reporter_us: How long a reporter that has stopped is still shown while another one reports.
        disagreement_periods: Reporters that differ for this number of periods are logged as inconsistent.
    """

    period_us: int = 2_000_000
    overdue_periods: int = 3
    forget_us: int = 600_000_000
    stopped_reporter_us: int = 60_000_000
    disagreement_periods: int = 3


@dataclass(frozen=True)
class CellEvent:
    """An event for the log.

    Attributes:
        event_name: "cells summary overdue", "cells summary resumed", "cells summaries inconsistent",
            "cells summaries consistent", "cells list outdated" or "cells list current".
        cell: The cell that the event is about.
        detail: The reason, as text for the log; may be empty.
    """

    event_name: str
    cell: int
    detail: str = ""
