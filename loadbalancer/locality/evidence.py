"""One node's evidence on the state of zones, from the outcomes of its attempts.

Pure: no I/O, times in microseconds from outside. Ratios are reported in quarters with hysteresis, so that
small changes do not cause new records.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.locality.messages import ZoneReport
from loadbalancer.locality.rules import (
    LOAD_HYSTERESIS_RATIO,
    MAX_EARLIER_WINDOWS,
    MAX_ZONES,
    MIN_ATTEMPTS,
    QUARTERS,
    RATIO_HYSTERESIS_QUARTERS,
    WINDOW_US,
)
from loadbalancer.policy.api import Outcome


def to_quarters(ratio: float, reported: int) -> int:
    """Returns a ratio rounded to quarters, with hysteresis.

    Args:
        ratio: The ratio, 0 to 1.
        reported: Quarters that were reported last; returned again while the ratio is close to them.
    """
    if abs(QUARTERS * ratio - reported) < RATIO_HYSTERESIS_QUARTERS:
        return reported
    return round(QUARTERS * ratio)


@dataclass(slots=True)
class AttemptCounts:
    """Attempts to one zone, counted by how they ended.

    Attributes:
        healthy: Attempts that succeeded in time.
        slow: Attempts that were late or rejected.
        lost: Attempts that failed.
    """

    healthy: int = 0
    slow: int = 0
    lost: int = 0

    @property
    def total(self) -> int:
        """All attempts."""
        return self.healthy + self.slow + self.lost

    def record(self, outcome: Outcome, *, late: bool) -> None:
        """Counts one attempt."""
        if outcome == Outcome.OK and not late:
            self.healthy += 1
        elif outcome in (Outcome.OK, Outcome.REJECTED):
            self.slow += 1
        else:
            self.lost += 1

    def add(self, other: AttemptCounts) -> None:
        """Adds the attempts of another window."""
        self.healthy += other.healthy
        self.slow += other.slow
        self.lost += other.lost


class EvidenceCollector:
    """Collects the outcomes of one node's attempts and reports them by zone.

    Attributes:
        load: The node's load as last reported, in calls a second.
    """

    def __init__(self) -> None:
        self.load = 0.0
        self._counts: dict[str, AttemptCounts] = {}  # by zone, in the current window
        self._earlier: list[dict[str, AttemptCounts]] = []  # windows, latest first
        self._window_ends_us = 0
        self._reported: dict[str, ZoneReport] = {}

    def record_attempt(self, zone: str, outcome: Outcome, *, late: bool) -> None:
        """Records the end of an attempt.

        Args:
            zone: The endpoint's zone; attempts without a zone are not counted.
            outcome: How the attempt ended; cancelled ones are not counted.
            late: Whether it took longer than its latency objective.
        """
        if outcome == Outcome.CANCELLED or not zone:
            return
        counts = self._counts.get(zone)
        if counts is None:
            if len(self._counts) >= MAX_ZONES:
                return
            counts = self._counts[zone] = AttemptCounts()
        counts.record(outcome, late=late)

    def report(
        self, now_us: int, ejected_ratios: Mapping[str, float], load: float
    ) -> dict[str, ZoneReport]:
        """Returns this node's evidence by zone, and closes the window if it has ended.

        Args:
            now_us: The present time, in microseconds.
            ejected_ratios: By zone, the fraction of its endpoints that is ejected; it alone is reported where
                there are too few attempts.
            load: Calls a second that this node receives.
        """
        windows = [self._counts, *self._earlier]
        reports: dict[str, ZoneReport] = {}
        for zone in {
            name for window in windows for name in window
        } | ejected_ratios.keys():
            report = self._zone_report(zone, windows, ejected_ratios.get(zone, 0.0))
            if report is not None:
                reports[zone] = report
        self._reported = reports
        if abs(load - self.load) > LOAD_HYSTERESIS_RATIO * self.load:
            self.load = float(f"{load:.3g}")
        if now_us >= self._window_ends_us:
            self._window_ends_us = now_us + WINDOW_US
            self._earlier = windows[:MAX_EARLIER_WINDOWS]
            self._counts = {}
        return reports

    def _zone_report(
        self,
        zone: str,
        windows: list[dict[str, AttemptCounts]],
        ejected_ratio: float,
    ) -> ZoneReport | None:
        """Evaluates a zone over the fewest latest windows that hold enough attempts."""
        counts = AttemptCounts()
        for window in windows:
            if counts.total < MIN_ATTEMPTS and zone in window:
                counts.add(window[zone])
        has_enough = counts.total >= MIN_ATTEMPTS
        if not has_enough and not ejected_ratio:
            return None
        lost = counts.lost / counts.total if has_enough else 0.0
        slow = counts.slow / counts.total if has_enough else 0.0
        previous = self._reported.get(zone, ZoneReport(0, 0))
        return ZoneReport(
            to_quarters(max(lost, ejected_ratio), previous.lost_quarters),
            to_quarters(slow, previous.slow_quarters),
        )
