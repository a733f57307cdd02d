"""Tracks how accurate a node's forecasts are, by kind of change.

Each forecast is compared with the hit ratios that answers report after the change. If a forecast is off by
more than its own margin, forecasts of that kind are distrusted until several in a row are right. They are
still made and compared in the meantime, so that they can become trusted again. The error of past forecasts
widens the margin of the next one. Where no answer reports hits, no forecast is ever evaluated, and none
counts as proven.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import sqrt
from typing import Any, NamedTuple

from loadbalancer.forecast.forecast_result import Forecast, unknown_forecast

MAX_ERRORS = 8  # latest errors kept for each kind of change
# Right forecasts in a row until a distrusted kind of change is trusted again.
RIGHT_TO_REGAIN_TRUST = 2
# Assumed root mean square error, as a difference of hit ratios, of a kind without an evaluated forecast.
UNPROVEN_ERROR = 0.02
MIN_SPAN_ANSWERS = 200  # answers that must report hits or misses for a span to count
MIN_SPANS = 2  # spans that a forecast needs to be evaluated
MAX_TRACKED_S = 120.0  # seconds after the change for which a forecast is tracked
MAX_RECENT = 20  # forecasts kept after their tracking ended
SPAN_POINTS = 8  # points of a span over which the forecast is averaged
# Standard deviations of an observed hit ratio that are put down to chance.
CHANCE_DEVIATIONS = 2
# Fraction of the spans that lie outside the margin by chance: one in twenty.
OUTSIDE_BY_CHANCE = 0.05
LONGEST_SHOWN_S = 1e9  # longer recovery times, in seconds, are published as null
US_PER_S = 1e6


class TrackingEnd(StrEnum):
    """Why the tracking of a forecast ended; the values are published."""

    OPEN = ""
    COMPLETE = "whole"
    SUPERSEDED = "overtaken"  # another change was made


class ObservedSpan(NamedTuple):
    """The cache hit ratio that answers reported over a span of time.

    Attributes:
        start_s: Start of the span, in seconds after the change.
        end_s: End of the span, in seconds after the change.
        hit_ratio: Hit ratio of the answers that reported whether they came from a cache.
        answers: Number of those answers.
    """

    start_s: float
    end_s: float
    hit_ratio: float
    answers: int


@dataclass
class TrackedForecast:
    """One forecast, during and after its tracking.

    Attributes:
        number: Number of the forecast, counted over all forecasts of this node.
        kind: The kind of change.
        made_at: When the change was made, by the node's clock (`Node.now`), in microseconds.
        forecast: The forecast itself.
        trusted: Whether the forecast was published; otherwise an unknown one was published in its place.
        offset: Hit ratio of the answers that this node observed before the change, less that of the fleet.
        spans: The observed spans.
        end: Why the tracking ended.
        error: Root mean square error over the spans, as a difference of hit ratios.
        inside: Whether the observed hit ratios lay within the margin.
    """

    number: int
    kind: str
    made_at: int
    forecast: Forecast
    trusted: bool
    offset: float = 0.0
    spans: list[ObservedSpan] = field(default_factory=list)
    end: TrackingEnd = TrackingEnd.OPEN
    error: float = 0.0
    inside: bool = True

    def table(self) -> dict[str, Any]:
        """Returns the forecast and its result for operators, by the published keys."""
        forecast = self.forecast
        shown = forecast.recovery_s < LONGEST_SHOWN_S
        return {
            "number": self.number,
            "kind": str(self.kind),
            "now": round(forecast.hit_ratio_now, 4),
            "lowest": round(forecast.lowest_hit_ratio, 4),
            "steady": round(forecast.steady_hit_ratio, 4),
            "half": round(forecast.margin, 4),
            "recovered_s": round(forecast.recovery_s, 1) if shown else None,
            "unknown": forecast.unknown_reason,
            "believed": self.trusted,
            "seen": [
                [round(span.start_s, 1), round(span.end_s, 1), round(span.hit_ratio, 4)]
                for span in self.spans
            ],
            "end": self.end.value,
            "error": round(self.error, 4),
            "inside": self.inside,
        }

    def evaluate(self) -> None:
        """Compares the forecast with the observed spans and sets `error` and `inside`."""
        squares = outside = 0.0
        for span in self.spans:
            deviation = abs(self._expected(span) + self.offset - span.hit_ratio)
            chance = sqrt(span.hit_ratio * (1 - span.hit_ratio) / span.answers)
            squares += max(0.0, deviation * deviation - chance * chance)
            outside += deviation > self.forecast.margin + CHANCE_DEVIATIONS * chance
        self.error = sqrt(squares / len(self.spans))
        # Adding 0.5 rounds to the nearest number: one span may lie outside if there are at least ten.
        self.inside = outside <= max(0.0, OUTSIDE_BY_CHANCE * len(self.spans) + 0.5)

    def _expected(self, span: ObservedSpan) -> float:
        """Returns the mean of the forecast hit ratio over a span."""
        duration_s = span.end_s - span.start_s
        points = [
            self.forecast.hit_ratio_at(
                span.start_s + duration_s * (index + 0.5) / SPAN_POINTS
            )
            for index in range(SPAN_POINTS)
        ]
        return sum(points) / SPAN_POINTS


@dataclass
class KindAccuracy:
    """The accuracy of forecasts of one kind of change.

    Attributes:
        errors: Errors of the latest `MAX_ERRORS` evaluated forecasts, the oldest first.
        distrusted: Whether a forecast was outside its margin and too few in a row were right since.
        right_in_a_row: Forecasts that were right in a row since then.
        evaluated: Number of evaluated forecasts.
        missed: Number of evaluated forecasts that were off by more than their margin.
    """

    errors: list[float] = field(default_factory=list)
    distrusted: bool = False
    right_in_a_row: int = 0
    evaluated: int = 0
    missed: int = 0

    def rms_error(self) -> float:
        """Returns the root mean square error of the latest forecasts, as a difference of hit ratios."""
        if not self.errors:
            return UNPROVEN_ERROR
        squares = sum(error * error for error in self.errors)
        return sqrt(squares / len(self.errors))

    def add(self, tracked: TrackedForecast) -> None:
        """Adds an evaluated forecast."""
        self.evaluated += 1
        self.errors = [*self.errors[-MAX_ERRORS + 1 :], tracked.error]
        if not tracked.inside:
            self.missed += 1
            self.distrusted, self.right_in_a_row = True, 0
        elif self.distrusted:
            self.right_in_a_row += 1
            self.distrusted = self.right_in_a_row < RIGHT_TO_REGAIN_TRUST

    def dump(self) -> list[Any]:
        """Returns the values to store, as `load` reads them."""
        return [
            self.errors,
            self.distrusted,
            self.right_in_a_row,
            self.evaluated,
            self.missed,
        ]

    @classmethod
    def load(cls, stored: Any) -> KindAccuracy:
        """Creates an instance from the values that `dump` returned.

        Raises:
            TypeError: A value has a wrong type.
            ValueError: There are too few or too many values, or one is out of range.
        """
        errors, distrusted, right_in_a_row, evaluated, missed = stored
        loaded = cls(
            [float(error) for error in errors][-MAX_ERRORS:],
            bool(distrusted),
            int(right_in_a_row),
            int(evaluated),
            int(missed),
        )
        if not all(0 <= error <= 1 for error in loaded.errors):
            raise ValueError("stored forecast errors must be between 0 and 1")
        return loaded


class ForecastAccuracy:
    """One node's record of its forecasts and their accuracy.

    Times are readings of the node's clock (`Node.now`), in microseconds.

    Attributes:
        kinds: Accuracy by kind of change.
        tracked: The forecasts being tracked; at most one.
        recent: The latest `MAX_RECENT` forecasts whose tracking ended, the oldest first.
        unevaluated: Number of forecasts with too few observed spans to be evaluated.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, KindAccuracy] = {}
        self.tracked: list[TrackedForecast] = []
        self.recent: list[TrackedForecast] = []
        self.unevaluated = 0
        self._last_number = 0

    # ---- before a change ------------------------------------------------------------------------------

    def past_error(self, kind: str) -> float:
        """Returns the root mean square error of forecasts of a kind of change, for the next margin."""
        accuracy = self.kinds.get(kind)
        return UNPROVEN_ERROR if accuracy is None else accuracy.rms_error()

    def is_trusted(self, kind: str) -> bool:
        """Whether forecasts of a kind of change may be relied on."""
        accuracy = self.kinds.get(kind)
        return accuracy is None or not accuracy.distrusted

    def published(self, kind: str, forecast: Forecast) -> Forecast:
        """Returns the forecast to publish: an unknown one if forecasts of its kind are distrusted."""
        if forecast.unknown_reason or self.is_trusted(kind):
            return forecast
        remaining = RIGHT_TO_REGAIN_TRUST - self.kinds[kind].right_in_a_row
        return unknown_forecast(
            f"forecasts of {kind} changes were off by more than their interval;"
            f" {remaining} more in a row must be right"
        )

    def track(
        self, now: int, kind: str, forecast: Forecast, offset: float = 0.0
    ) -> int:
        """Starts tracking the forecast of a change that is being made, and stops tracking the previous one.

        Args:
            now: When the change is made.
            kind: The kind of change.
            forecast: The forecast; an unknown one gets a number but is not tracked.
            offset: As in `TrackedForecast`.

        Returns:
            The forecast's number.
        """
        for tracked in self.tracked:
            self._end(tracked, TrackingEnd.SUPERSEDED)
        self.tracked.clear()
        self._last_number += 1
        if not forecast.unknown_reason:
            trusted = self.is_trusted(kind)
            self.tracked.append(
                TrackedForecast(self._last_number, kind, now, forecast, trusted, offset)
            )
        return self._last_number

    # ---- after a change -------------------------------------------------------------------------------

    def observe(
        self, since: int, until: int, hits: int, answers: int
    ) -> list[TrackedForecast]:
        """Adds what answers reported over a span of time.

        Args:
            since: Start of the span.
            until: End of the span.
            hits: Answers that came from a cache.
            answers: Answers that reported whether they came from a cache.

        Returns:
            The forecasts whose tracking is complete.
        """
        completed = []
        for tracked in list(self.tracked):
            start_s = (since - tracked.made_at) / US_PER_S
            end_s = (until - tracked.made_at) / US_PER_S
            if start_s >= 0 and answers >= MIN_SPAN_ANSWERS:
                tracked.spans.append(
                    ObservedSpan(start_s, end_s, hits / answers, answers)
                )
            if end_s >= min(MAX_TRACKED_S, tracked.forecast.times_s[-1]):
                self.tracked.remove(tracked)
                self._end(tracked, TrackingEnd.COMPLETE)
                completed.append(tracked)
        return completed

    def _end(self, tracked: TrackedForecast, reason: TrackingEnd) -> None:
        """Ends the tracking of a forecast and evaluates it if enough spans were observed."""
        tracked.end = reason
        self.recent = [*self.recent[-MAX_RECENT + 1 :], tracked]
        if len(tracked.spans) < MIN_SPANS:
            self.unevaluated += 1
            return
        tracked.evaluate()
        self.kinds.setdefault(tracked.kind, KindAccuracy()).add(tracked)

    # ---- for operators, and across restarts -----------------------------------------------------------

    def figures(self) -> dict[str, Any]:
        """Returns the accuracy by kind of change, by the published keys."""
        return {
            "unjudged": self.unevaluated,
            "kinds": {
                str(name): {
                    "judged": kind.evaluated,
                    "missed": kind.missed,
                    "error": round(kind.rms_error(), 4),
                    "believed": not kind.distrusted,
                }
                for name, kind in sorted(self.kinds.items())
            },
        }

    def dump(self) -> dict[str, Any]:
        """Returns what is stored across a restart, by kind of change."""
        return {str(name): kind.dump() for name, kind in sorted(self.kinds.items())}

    def restore(self, table: Any) -> None:
        """Restores what `dump` returned; malformed entries are ignored."""
        for name, stored in table.items() if isinstance(table, dict) else ():
            try:
                self.kinds[str(name)] = KindAccuracy.load(stored)
            except (TypeError, ValueError):
                continue
