"""Thresholds and times of the agreement on zone states."""

from __future__ import annotations

from dataclasses import dataclass

RETURN_LEVELS = (1, 2, 4, 6)  # steps of a zone's return, in eighths of the zone
# A returning zone steps back below this ratio of healthy attempts.
MIN_RETURN_HEALTHY_RATIO = 0.6
# A zone is degraded only below this ratio of healthy attempts.
DEGRADED_HEALTHY_RATIO = 0.9
# A relapse doubles the dwell times before and during a return, at most this many times.
MAX_RELAPSE_DOUBLINGS = 4
# A node that holds another status than most others adopts theirs after this time.
MAX_DIVERGENCE_US = 1_000_000

WINDOW_US = 500_000  # attempts are counted over windows of this length
# Earlier windows that are kept; they count only where later ones have too few attempts.
MAX_EARLIER_WINDOWS = 4
MIN_ATTEMPTS = 4  # attempts to a zone before its ratios are reported
MAX_ZONES = 24  # zones whose attempts are counted
QUARTERS = 4  # ratios are reported in quarters
# Quarters by which a ratio must move before another value is reported.
RATIO_HYSTERESIS_QUARTERS = 0.65
# Fraction of the reported load by which the load must move to be reported again.
LOAD_HYSTERESIS_RATIO = 0.25


@dataclass(frozen=True)
class AgreementRules:
    """Thresholds of the agreement: ratios from 0 to 1, times in microseconds.

    Attributes:
        failing_ratio: A node reports a zone as failing if it loses this fraction of its attempts there.
        worsening_dwell_us: Evidence must last this long before a change for the worse.
        return_dwell_us: Evidence must be absent this long before a return or an improvement of a degraded
            zone; doubled with each relapse.
        return_step_us: Time between two steps of a return; doubled with each relapse after the first.
        relapse_memory_us: Relapses are forgotten after this time without a change for the worse.
    """

    failing_ratio: float = 0.5
    worsening_dwell_us: int = 500_000
    return_dwell_us: int = 3_000_000
    return_step_us: int = 2_500_000
    relapse_memory_us: int = 120_000_000
