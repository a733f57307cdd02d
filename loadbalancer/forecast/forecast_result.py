"""The result of a forecast: hit ratios over the time after a change, of the fleet and of each server."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, inf, log

HORIZON_S = 1_800.0  # longest recovery time, in seconds, that a forecast covers
# Fraction of the largest gap to the steady hit ratio that may remain when caches count as recovered.
RECOVERED_FRACTION = 0.2
# Error of a hit ratio where all input is right. Che's approximation and the grouping of keys cause it.
MODEL_ERROR = 0.004
# Offset added to the time before the logarithm, as a fraction of the first time after 0.
LOG_OFFSET_FRACTION = 1 / 4
MIN_LOG_OFFSET_S = 1e-6
TINY = 1e-9  # lower bound of a divisor


@dataclass(frozen=True)
class ServerForecast:
    """The forecast for one server.

    Attributes:
        fraction_before: Fraction of all requests that the server receives before the change.
        fraction_after: Fraction of all requests that the server receives after the change.
        hit_ratios: Hit ratios after the change, one for each of the forecast's times.
        hit_ratio_now: Hit ratio before the change.
        steady_hit_ratio: Hit ratio long after the change.
        peak_misses: Misses a second at the time of the lowest hit ratio.
        peak_load: Those divided by the misses a second that the server tolerates; 0 if that limit is not
            known.
    """

    fraction_before: float
    fraction_after: float
    hit_ratios: tuple[float, ...]
    hit_ratio_now: float
    steady_hit_ratio: float
    peak_misses: float
    peak_load: float

    def hit_ratio_at(self, times_s: Sequence[float], elapsed_s: float) -> float:
        """Returns the hit ratio at a time after the change.

        Args:
            times_s: The forecast's times.
            elapsed_s: Seconds after the change.
        """
        return interpolate(times_s, self.hit_ratios, elapsed_s, self.steady_hit_ratio)


@dataclass(frozen=True)
class Forecast:
    """The forecast for the fleet. Hit ratios and misses are those of the entire fleet.

    Attributes:
        times_s: Times of the forecast, in seconds after the change; the first is the moment after it. Empty
            if the forecast is unknown.
        hit_ratios: Hit ratios after the change, one for each of those times.
        hit_ratio_now: Hit ratio before the change.
        steady_hit_ratio: Hit ratio long after the change.
        margin: Half the width of the interval about each hit ratio that allows for the forecast's error.
        recovery_s: Seconds until the hit ratio has recovered nearly all of its loss.
        peak_load: Largest ratio, over all servers, of a server's misses a second to those that it tolerates;
            0 if these limits are not known.
        peak_load_high: The same with hit ratios at the lower end of the interval.
        misses_now: Misses a second before the change.
        peak_misses: Misses a second at the time of the lowest hit ratio.
        load_now: As `peak_load`, before the change.
        tolerance_known: Whether the tolerable misses of all servers used after the change are known.
        servers: The forecasts for the servers.
        unknown_reason: Why no forecast is possible; empty if one is.
    """

    times_s: tuple[float, ...]
    hit_ratios: tuple[float, ...]
    hit_ratio_now: float
    steady_hit_ratio: float
    margin: float
    recovery_s: float
    peak_load: float
    peak_load_high: float
    misses_now: float
    peak_misses: float
    load_now: float = 0.0
    tolerance_known: bool = False
    servers: tuple[ServerForecast, ...] = field(repr=False, default=())
    unknown_reason: str = ""

    @property
    def lowest_hit_ratio(self) -> float:
        """The lowest hit ratio after the change; 0 if the forecast is unknown."""
        return min((*self.hit_ratios, self.steady_hit_ratio), default=0.0)

    def hit_ratio_at(self, elapsed_s: float) -> float:
        """Returns the hit ratio at a time after the change, in seconds."""
        return interpolate(
            self.times_s, self.hit_ratios, elapsed_s, self.steady_hit_ratio
        )


def unknown_forecast(reason: str) -> Forecast:
    """Returns a forecast without a prediction; the rules of `migration` treat it as the worst case.

    Args:
        reason: Why no forecast is possible, for operators.
    """
    return Forecast(
        times_s=(),
        hit_ratios=(),
        hit_ratio_now=0.0,
        steady_hit_ratio=0.0,
        margin=1.0,
        recovery_s=inf,
        peak_load=inf,
        peak_load_high=inf,
        misses_now=0.0,
        peak_misses=inf,
        unknown_reason=reason,
    )


def interpolate(
    times_s: Sequence[float], values: Sequence[float], elapsed_s: float, last: float
) -> float:
    """Interpolates linearly over the logarithm of time.

    A cold cache fills fast at first, and a straight line over time would lie far below its hit ratio.

    Args:
        times_s: Times of the points, in seconds after the change, ascending.
        values: Values at those times.
        elapsed_s: Time to evaluate, in seconds after the change.
        last: The value after the last point.
    """
    for index, time_s in enumerate(times_s):
        if elapsed_s <= time_s:
            if index == 0:
                return values[0]
            before_s = times_s[index - 1]
            progress = log_distance(times_s, before_s, elapsed_s) / max(
                log_distance(times_s, before_s, time_s), TINY
            )
            return values[index - 1] + progress * (values[index] - values[index - 1])
    return last


def log_distance(times_s: Sequence[float], first_s: float, until_s: float) -> float:
    """Returns the difference of the logarithms of two times, with an offset added to both.

    Args:
        times_s: The forecast's times, which determine the offset.
        first_s: The earlier time, in seconds after the change.
        until_s: The later time, in seconds after the change.
    """
    offset_s = _log_offset_s(times_s)
    return log((until_s + offset_s) / (first_s + offset_s))


def _log_offset_s(times_s: Sequence[float]) -> float:
    return max(times_s[1] * LOG_OFFSET_FRACTION, MIN_LOG_OFFSET_S)


def recovery_time(
    times_s: Sequence[float], hit_ratios: Sequence[float], steady: float
) -> float:
    """Returns the time until the gap to the steady hit ratio has nearly closed.

    Args:
        times_s: Times of the hit ratios, in seconds after the change.
        hit_ratios: Hit ratios at those times.
        steady: Hit ratio long after the change.

    Returns:
        Seconds after the change; `HORIZON_S` if the hit ratio has not recovered at the last point.
    """
    gaps = [max(0.0, steady - hit_ratio) for hit_ratio in hit_ratios]
    largest_gap = max(gaps, default=0.0)
    if largest_gap <= MODEL_ERROR:
        return 0.0
    tolerated_gap = RECOVERED_FRACTION * largest_gap
    for index in range(len(gaps) - 1, -1, -1):
        if gaps[index] > tolerated_gap:
            if index == len(gaps) - 1:
                return HORIZON_S
            progress = (gaps[index] - tolerated_gap) / (gaps[index] - gaps[index + 1])
            offset_s = _log_offset_s(times_s)
            distance = log_distance(times_s, times_s[index], times_s[index + 1])
            return (times_s[index] + offset_s) * exp(progress * distance) - offset_s
    return 0.0
