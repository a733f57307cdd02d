"""Tables for the admin page of cells, and the counters of the feature `[cells]`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from loadbalancer.cells.collector import CellState, ReceivedSummary
from loadbalancer.cells.messages import CellSummary, FleetSummary
from loadbalancer.cells.summarize import HEALTH_STATES

US_PER_S = 1e6
# Fields that describe the encoding of a message, not its content.
UNPUBLISHED_FIELDS = ("form", "layout")


@dataclass(slots=True)
class CellsCounters:
    """Counts messages on the channel, and polls of this node's own discovery.

    Attributes:
        reports_sent: Summaries sent to collectors.
        report_bytes_sent: Size of these summaries in bytes.
        replies_sent: Replies sent by this collector.
        reply_bytes_sent: Size of these replies in bytes.
        reports_received: Summaries that this collector has accepted.
        polls: Polls of the own discovery because other cells hold a later list.
    """

    reports_sent: int = 0
    report_bytes_sent: int = 0
    replies_sent: int = 0
    reply_bytes_sent: int = 0
    reports_received: int = 0
    polls: int = 0

    def metrics(self) -> dict[str, int]:
        """Returns the counts under their published names."""
        return {
            "told": self.reports_sent,
            "told_bytes": self.report_bytes_sent,
            "answered": self.replies_sent,
            "answered_bytes": self.reply_bytes_sent,
            "taken": self.reports_received,
            "asked": self.polls,
        }


def summary_table(summary: CellSummary | FleetSummary) -> dict[str, Any]:
    """Returns a summary's fields by name, as published."""
    table = msgspec.structs.asdict(summary)
    table["fronts"] = [msgspec.structs.asdict(front) for front in summary.fronts]
    table["standings"] = {
        state.value: count
        for state, count in zip(HEALTH_STATES, summary.standings, strict=True)
    }
    for name in ("settings", "operation"):
        table[name] = dict(getattr(summary, name))
    return {
        name: value for name, value in table.items() if name not in UNPUBLISHED_FIELDS
    }


def cell_table(cell: CellState, now_us: int) -> dict[str, Any]:
    """Returns a cell's state as its collector knows it; ages in seconds."""
    return {
        "unheard": cell.is_silent,
        "at_odds": cell.is_disagreeing,
        "heard_s": age_s(cell.received_at_us, now_us),
        "speakers": {
            name: _reporter_table(received, now_us)
            for name, received in sorted(cell.reporters.items())
        },
    }


def _reporter_table(received: ReceivedSummary, now_us: int) -> dict[str, Any]:
    return {**summary_table(received.summary), "age_s": age_s(received.at_us, now_us)}


def age_s(since_us: int, now_us: int) -> float:
    """Returns the seconds between two times in microseconds, rounded as published."""
    return round((now_us - since_us) / US_PER_S, 1)
