"""Detects retry storms, damps them, and detects their end.

A repeat is a request that a client sends again. A storm is active when, over the last second, many requests
are rejected and many of the arriving requests are repeats. While it is active, the instance admits about as
many requests per second as it serves, and raises this rate while nearly all of them are served. Classes are
admitted in the order of their priority weights, and within each class first attempts before repeats.

Repeats spend from a budget that is a fraction of the served requests, so that clients that ignore every
Retry-After cannot feed the storm; during the storm the class with the highest weight is exempt, if classes
are admitted by weight (`RetryStormRules.by_priority`). If clients do not mark
their repeats, repeats cannot be told from first attempts: their number is estimated, and they are admitted
by weight like all other requests.

The storm ends when hardly any request is rejected for a while. For some seconds afterwards a decreasing
fraction of the repeats still spends from the budget. Outside a storm all requests are admitted.

This module does no I/O: the clock is the `now` argument, and random numbers come from the seed. Times are
integer microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# Interval at which rates are counted and the admitted rate is adapted.
TICK_US = 100_000
WINDOW_TICKS = 10  # Rates are counted over this number of ticks: the last second.
US_PER_SECOND = 1e6
# Period over which the usual rates are smoothed; they are learned outside storms only.
USUAL_RATE_SMOOTHING_US = 20_000_000

# A storm starts when more than this fraction of the arriving requests is rejected, more than
# STORM_REPEAT_RATIO of them, beyond the usual fraction, are repeats, and at least one per tick arrives.
STORM_REJECTED_RATIO = 0.2
STORM_REPEAT_RATIO = 0.15
# A storm ends when no more than this fraction is rejected for CALM_TIME_US.
CALM_REJECTED_RATIO = 0.05
CALM_TIME_US = 2_000_000
# Period after a storm over which the budget for repeats ceases to apply.
RECOVERY_TIME_US = 3_000_000

# Factor by which the admitted rate grows in a tick, besides one request per second, while the admitted
# requests are served. The rate grows up to twice the sum of the served rate and the rate always admitted.
RATE_GROWTH_PER_TICK = 1.08
# The rate grows only if at least this fraction of it is admitted.
MIN_RATE_UTILIZATION = 0.5
# Factor by which the admitted rate shrinks in a tick, though not below the rate that is served.
RATE_SHRINK_PER_TICK = 0.8
# The rate shrinks when the requests that failed, were rejected by another rule such as the concurrency limit,
# or found no endpoint are more than this fraction of the admitted ones.
MAX_MISSED_RATIO = 0.05
# The rate that is always admitted is at least this number of requests per second. It is the usual rate of
# the class with the highest weight if that is more, up to MIN_RATE_RATIO of the usual rate of all classes.
MIN_RATE_PER_S = 5.0
MIN_RATE_RATIO = 0.25

REPEAT_SHARE = 0.2  # Repeats that each served request adds to the budget.
BUDGET_TIME_S = 1.0  # The budget holds at most the repeats that are earned in this time, in seconds.
# Fraction of the admitted rate that is always assumed to be left for returning clients.
MIN_RETURN_RATE_RATIO = 0.1
# The delay of a return is drawn at random between this fraction of its span and the entire span.
MIN_RETURN_JITTER = 0.3


@dataclass(frozen=True)
class RetryStormRules:
    """The settings that operators may change.

    Attributes:
        repeat_share: Repeats that each served request adds to the budget.
        by_priority: Whether classes are admitted by their priority weights; if not, only repeats are limited.
    """

    repeat_share: float = REPEAT_SHARE
    by_priority: bool = True


class ClassRates:
    """Counts events of the last second by class, in ticks."""

    __slots__ = ("sums", "ticks")

    def __init__(self, classes: int) -> None:
        """Starts at 0 for the given number of classes."""
        self.ticks = [[0] * classes for _ in range(WINDOW_TICKS)]
        self.sums = [0] * classes

    def add(self, class_index: int) -> None:
        """Counts one event of a class."""
        self.ticks[-1][class_index] += 1
        self.sums[class_index] += 1

    def roll(self) -> None:
        """Starts a new tick and drops the oldest."""
        oldest = self.ticks.pop(0)
        self.sums = [
            total - expired for total, expired in zip(self.sums, oldest, strict=True)
        ]
        self.ticks.append([0] * len(self.sums))

    @property
    def total(self) -> int:
        """The count over all classes and ticks."""
        return sum(self.sums)

    @property
    def last_tick(self) -> int:
        """The count over all classes in the current tick."""
        return sum(self.ticks[-1])


class RetryStormGuard:
    """Decides which requests are admitted during a retry storm. Implements `api.RetryStormPolicy`."""

    def __init__(
        self,
        rules: RetryStormRules,
        priority_weights: Sequence[float],
        seed: int,
        now: int = 0,
    ) -> None:
        """Starts outside a storm.

        Args:
            rules: The operators' settings.
            priority_weights: The priority weights by class.
            seed: Seed of all random numbers.
            now: The current time in microseconds.
        """
        self.rules = rules
        self.rng = Random(seed ^ 0x5707)
        self.now = now
        self.tick_started_at = now
        self.active = False  # Whether a storm is active.
        self.storm_count = 0
        self.repeats_marked = False  # Whether clients mark their repeats.
        self.calm_since = now
        self.ended_at = -(1 << 62)
        # Requests per second that are admitted while a storm is active.
        self.rate = 0.0
        self.repeat_budget = 0.0  # Repeats that may be admitted.
        self.update_classes(priority_weights)

    def update_classes(self, priority_weights: Sequence[float]) -> None:
        """Applies changed classes: counts and usual rates restart at 0, and an active storm stays active.

        Args:
            priority_weights: The priority weights by class.
        """
        count = len(priority_weights)
        self.priority_weights = list(priority_weights)
        self.classes_by_weight = sorted(
            range(count), key=lambda index: (-priority_weights[index], index)
        )
        self.first_attempts, self.repeats = ClassRates(count), ClassRates(count)
        self.admitted = ClassRates(count)
        self.served, self.failed = ClassRates(count), ClassRates(count)
        self.rejections = ClassRates(count)
        # Rejections by other rules: of requests that were admitted here, or never checked here.
        self.blocked = ClassRates(count)
        # Whether the last call of `admits` returned False and its rejection is not yet recorded.
        self.last_declined = False
        self.all_rates = (
            *(self.first_attempts, self.repeats, self.admitted),
            *(self.served, self.failed, self.rejections, self.blocked),
        )
        self.usual_rates = [0.0] * count  # First attempts per second, outside a storm.
        self.usual_repeat_ratio = 0.0
        # Fractions of first attempts and of repeats that are admitted, by class.
        self.admitted_fractions = [1.0] * count
        self.admitted_repeat_fractions = [1.0] * count

    # ---- events ----

    def admits(
        self, now: int, class_index: int, repeat: bool, time_left: int, needed: float
    ) -> bool:
        """See `api.RetryStormPolicy`.

        If a request is not admitted, the caller rejects it at once and calls `record_rejection` for it before
        the next call of this method.
        """
        self.advance(now)
        self.last_declined = False
        self.repeats_marked = self.repeats_marked or repeat
        (self.repeats if repeat else self.first_attempts).add(class_index)
        if not self.active and now >= self.ended_at + RECOVERY_TIME_US:
            self.admitted.add(class_index)
            return True
        # The client would have disconnected before the answer arrives.
        too_late = self.active and time_left < needed
        fractions = (
            self.admitted_repeat_fractions if repeat else self.admitted_fractions
        )
        over_rate = (
            self.active
            and self.rules.by_priority
            and self.rng.random() >= fractions[class_index]
        )
        if (
            too_late
            or over_rate
            or (repeat and not self.spend_repeat_budget(now, class_index))
        ):
            self.last_declined = True
            return False
        self.admitted.add(class_index)
        return True

    def record_end(self, now: int, class_index: int, served: bool) -> None:
        """See `api.RetryStormPolicy`."""
        self.advance(now)
        (self.served if served else self.failed).add(class_index)
        if served:
            repeat_share = self.rules.repeat_share
            max_budget = max(1.0, repeat_share * self.served.total * BUDGET_TIME_S)
            self.repeat_budget = min(max_budget, self.repeat_budget + repeat_share)

    def record_rejection(self, class_index: int, longest: int, base: int) -> int:
        """See `api.RetryStormPolicy`.

        Returns are spread over the time that it takes to serve the backlog. Every rejected request is
        expected to arrive once more, and only the part of the admitted rate that first attempts leave free
        serves such requests. Clients of a class with a higher weight return sooner.
        """
        self.rejections.add(class_index)
        if not self.last_declined:
            self.blocked.add(class_index)
        self.last_declined = False
        if not self.active:
            return min(longest, base)
        spare_rate = max(
            MIN_RETURN_RATE_RATIO * self.rate,
            self.rate - self.first_attempts.total,
            1.0,
        )
        backlog_us = US_PER_SECOND * self.rejections.total / spare_rate
        span_us = min(float(longest), max(float(base), backlog_us))
        rank_fraction = (self.classes_by_weight.index(class_index) + 1) / len(
            self.classes_by_weight
        )
        jitter_factor = MIN_RETURN_JITTER + (1 - MIN_RETURN_JITTER) * self.rng.random()
        return int(span_us * rank_fraction * jitter_factor)

    # ---- the state of the storm ----

    def advance(self, now: int) -> None:
        """Closes the ticks that have ended; after a gap of over 2 seconds, only those of the last second."""
        self.now = max(self.now, now)
        if self.now - self.tick_started_at > 2 * WINDOW_TICKS * TICK_US:
            self.tick_started_at = self.now - WINDOW_TICKS * TICK_US
        while self.now >= self.tick_started_at + TICK_US:
            self.tick_started_at += TICK_US
            self.evaluate(self.tick_started_at)
            for rates in self.all_rates:
                rates.roll()

    def evaluate(self, now: int) -> None:
        """Decides, once per tick, whether a storm is active and how many requests are admitted."""
        requests = self.first_attempts.total + self.repeats.total
        rejected_ratio = self.rejections.total / requests if requests else 0.0
        repeated_ratio = self.repeat_count() / requests if requests else 0.0
        if rejected_ratio > CALM_REJECTED_RATIO:
            self.calm_since = now
        if not self.active:
            if (
                rejected_ratio > STORM_REJECTED_RATIO
                and repeated_ratio > STORM_REPEAT_RATIO + self.usual_repeat_ratio
                and requests >= WINDOW_TICKS
            ):
                self.active = True
                self.storm_count += 1
                self.rate = max(MIN_RATE_PER_S, float(self.served.total))
            elif rejected_ratio <= CALM_REJECTED_RATIO:
                self.update_usual_rates(repeated_ratio)
        elif now - self.calm_since >= CALM_TIME_US:
            # Repeats still spend from the budget for a while, or the returning clients would cause a second
            # storm.
            self.active, self.ended_at = False, now
        if self.active:
            self.adapt_rate()
            self.allocate_rate()

    def update_usual_rates(self, repeated_ratio: float) -> None:
        """Updates the usual rates at the end of a tick.

        Args:
            repeated_ratio: Fraction of the requests of the last second that are repeats.
        """
        weight = TICK_US / USUAL_RATE_SMOOTHING_US
        for index, count in enumerate(self.first_attempts.sums):
            self.usual_rates[index] += weight * (count - self.usual_rates[index])
        self.usual_repeat_ratio += weight * (repeated_ratio - self.usual_repeat_ratio)

    def adapt_rate(self) -> None:
        """Raises the rate while nearly all admitted requests are served, and lowers it otherwise.

        The rate never falls below MIN_RATE_PER_S and a fraction of the usual rate. Otherwise too few calls
        would reach endpoints that recover, and seconds would pass before their recovery shows.
        """
        served, admitted = float(self.served.total), self.admitted.last_tick
        highest_class_rate = self.usual_rates[self.classes_by_weight[0]]
        min_rate = max(
            MIN_RATE_PER_S,
            min(highest_class_rate, MIN_RATE_RATIO * sum(self.usual_rates)),
        )
        missed = self.failed.last_tick + self.blocked.last_tick
        if missed > MAX_MISSED_RATIO * max(1, admitted):
            self.rate = max(min_rate, served, RATE_SHRINK_PER_TICK * self.rate)
        elif admitted * WINDOW_TICKS >= MIN_RATE_UTILIZATION * self.rate:
            self.rate = min(
                self.rate * RATE_GROWTH_PER_TICK + 1, 2 * served + 2 * min_rate
            )

    def allocate_rate(self) -> None:
        """Allocates the rate to the classes by weight, and within a class to first attempts before repeats.

        A repeat of a class with a higher weight precedes a first attempt of a class with a lower one,
        because its client is still waiting.
        """
        rate_left = self.rate
        for index in self.classes_by_weight:
            first_attempts = max(
                float(self.first_attempts.sums[index]), self.usual_rates[index]
            )
            self.admitted_fractions[index] = (
                min(1.0, rate_left / first_attempts) if first_attempts > 0 else 1.0
            )
            rate_left = max(0.0, rate_left - first_attempts)
            repeats = float(self.repeats.sums[index])
            self.admitted_repeat_fractions[index] = (
                min(1.0, rate_left / repeats) if repeats > 0 else float(rate_left > 0)
            )
            rate_left = max(0.0, rate_left - repeats)

    def spend_repeat_budget(self, now: int, class_index: int) -> bool:
        """Spends budget for a repeat.

        With `by_priority` the class with the highest weight is exempt during a storm. After a storm a growing
        fraction of the repeats is exempt.

        Args:
            now: The current time in microseconds.
            class_index: The class of the repeat.

        Returns:
            Whether the repeat may be admitted.
        """
        if self.active:
            if self.rules.by_priority and class_index == self.classes_by_weight[0]:
                return True
        elif self.rng.random() < (now - self.ended_at) / RECOVERY_TIME_US:
            return True
        if self.repeat_budget < 1:
            return False
        self.repeat_budget -= 1
        return True

    def repeat_count(self) -> float:
        """Returns the number of repeats that arrived in the last second.

        If clients do not mark them, it is estimated: by class, the first attempts in excess of the usual
        rate, but no more than the requests that were rejected or failed.
        """
        if self.repeats_marked:
            return float(self.repeats.total)
        counts = zip(
            self.first_attempts.sums,
            self.usual_rates,
            self.rejections.sums,
            self.failed.sums,
            strict=True,
        )
        return sum(
            max(0.0, min(arrived - usual, rejected + failed))
            for arrived, usual, rejected, failed in counts
        )

    def metrics(self) -> dict[str, float]:
        """Returns the metrics of the storm by name."""
        return {
            "storm": float(self.active),
            "storms": float(self.storm_count),
            "storm_rate": self.rate if self.active else 0.0,
            "storm_budget": self.repeat_budget,
            "usual_rate": sum(self.usual_rates),
        }
