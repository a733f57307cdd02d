"""Computes a cache's characteristic time and hit ratio from the keys of its server.

By Che's approximation, a least-recently-used cache holds the keys that were requested within its
characteristic time (Che, Tung, Wang 2002; Fricker, Robert, Roberts 2012 explain why it is so accurate).
After a change of placement the same holds with a characteristic time that itself changes: the cache holds a
key if it was requested within that time, at the rate it had on this server before the change or has since.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf, log, sqrt
from operator import mul

ALWAYS_S = 1e7  # seconds that stand for an unlimited time
# Accuracy of the search for the characteristic time, as a fraction of the keys that the cache holds.
CAPACITY_TOLERANCE = 1e-3
MAX_ITERATIONS = 40  # largest number of steps of the search
MIN_TIME_S = 1e-6  # lower bound of the search's start value, in seconds
TINY = 1e-9  # lower bound of a divisor, and of a time in seconds
MAX_LOG_TIME = 30.0  # bound of the natural logarithm of a time in seconds
# Ratio of the ends of a bracket above which it is halved on a logarithmic scale.
WIDE_BRACKET_RATIO = 4


def dot_product(first: list[float], second: list[float]) -> float:
    """Returns the dot product of two lists of the same length."""
    return float(sum(map(mul, first, second)))


class ServerKeys:
    """Keys of one server, in groups of keys with the same rates.

    Rates are in requests a second for each key of a group.

    Attributes:
        count: Number of keys in each group.
        earlier_rate: Rate before the previous change.
        rate_before: Rate between the previous change and this one.
        rate_after: Rate after this change.
        since_earlier_s: Seconds between the two changes; infinity if there was no previous one.
        age_s: Seconds between the time at which the cache was empty and this change.
    """

    __slots__ = (
        "age_s",
        "count",
        "earlier_rate",
        "rate_after",
        "rate_before",
        "since_earlier_s",
    )

    def __init__(self, since_earlier_s: float, age_s: float) -> None:
        self.count: list[float] = []
        self.earlier_rate: list[float] = []
        self.rate_before: list[float] = []
        self.rate_after: list[float] = []
        self.since_earlier_s = since_earlier_s
        self.age_s = age_s

    def add(self, count: float, earlier: float, before: float, after: float) -> None:
        """Adds a group of keys.

        Args:
            count: Number of keys.
            earlier: Requests a second for each key before the previous change.
            before: Requests a second for each key between the two changes.
            after: Requests a second for each key after this change.
        """
        self.count.append(count)
        self.earlier_rate.append(earlier)
        self.rate_before.append(before)
        self.rate_after.append(after)

    def unchanged(self) -> ServerKeys:
        """Returns the same keys with the rates they would have if this change were not made."""
        keys = ServerKeys(self.since_earlier_s, self.age_s)
        keys.count = self.count
        keys.earlier_rate = self.earlier_rate
        keys.rate_before = keys.rate_after = self.rate_before
        return keys

    def absent(self, elapsed_s: float, window_s: float) -> list[float]:
        """Returns the probability, by group, that a key was not requested within a window of time.

        Args:
            elapsed_s: End of the window, in seconds since the change.
            window_s: Length of the window in seconds.
        """
        after_s = min(window_s, elapsed_s)
        past_s = max(0.0, min(window_s - elapsed_s, self.age_s))
        before_s = min(past_s, self.since_earlier_s)
        earlier_s = past_s - before_s
        if earlier_s > 0:
            return [
                exp(-earlier * earlier_s - before * before_s - after * after_s)
                for earlier, before, after in zip(
                    self.earlier_rate, self.rate_before, self.rate_after, strict=True
                )
            ]
        if before_s > 0:
            return [
                exp(-before * before_s - after * after_s)
                for before, after in zip(self.rate_before, self.rate_after, strict=True)
            ]
        return [exp(-after * after_s) for after in self.rate_after]

    def requested_keys(self, elapsed_s: float, window_s: float) -> float:
        """Returns the expected number of keys that were requested within a window of time.

        Args:
            elapsed_s: End of the window, in seconds since the change.
            window_s: Length of the window in seconds.
        """
        return sum(self.count) - dot_product(
            self.count, self.absent(elapsed_s, window_s)
        )

    def characteristic_time(
        self, capacity: float, elapsed_s: float, guess_s: float
    ) -> float:
        """Returns the cache's characteristic time: how long ago its oldest key was last requested.

        Args:
            capacity: Number of objects that the cache holds.
            elapsed_s: Seconds since the change.
            guess_s: Start value of the search; may be infinite.

        Returns:
            The time in seconds; infinity if all keys ever requested fit into the cache, so that none is
            evicted.
        """
        longest_s = min(elapsed_s + self.age_s, ALWAYS_S)
        if self.requested_keys(elapsed_s, longest_s) <= capacity:
            return inf
        guess_s = (
            min(max(guess_s, MIN_TIME_S), longest_s) if guess_s < inf else longest_s / 2
        )
        search = _TimeSearch(capacity, guess_s, longest_s)
        for _ in range(MAX_ITERATIONS):
            if search.update(self.requested_keys(elapsed_s, search.time_s)):
                break
        return search.time_s

    def hit_ratio(
        self, elapsed_s: float, window_s: float, factors: Sequence[float] | None = None
    ) -> float:
        """Returns the fraction of the requests whose key is in the cache.

        Args:
            elapsed_s: Seconds since the change.
            window_s: The cache's characteristic time in seconds.
            factors: Fraction of the hits that remains with a time to live, by group (`ttl_hit_factor`); None
                if objects do not expire.
        """
        rate = dot_product(self.count, self.rate_after)
        if rate <= 0:
            return 0.0
        absent = self.absent(elapsed_s, window_s)
        if factors is None:
            miss_rate = sum(
                [
                    count * after * missing_probability
                    for count, after, missing_probability in zip(
                        self.count, self.rate_after, absent, strict=True
                    )
                ]
            )
            return 1 - miss_rate / rate
        hit_rate = sum(
            [
                count * after * (1 - missing_probability) * factor
                for count, after, missing_probability, factor in zip(
                    self.count, self.rate_after, absent, factors, strict=True
                )
            ]
        )
        return hit_rate / rate


class _TimeSearch:
    """Finds the time within which as many keys were requested as the cache holds.

    The number of requested keys is nearly linear in the logarithm of the time. The search therefore uses the
    secant method on that scale and keeps each guess within a bracket.

    Attributes:
        capacity: Number of objects that the cache holds.
        time_s: The time in seconds to try next, or the one that was found.
        low: Lower end of the bracket in seconds.
        high: Upper end of the bracket in seconds.
        last_log_time: Logarithm of the previous time.
        last_excess: Requested keys less the capacity, at the previous time.
    """

    def __init__(self, capacity: float, first_s: float, longest_s: float) -> None:
        self.capacity = capacity
        self.time_s = first_s
        self.low, self.high = 0.0, longest_s
        self.last_log_time, self.last_excess = 0.0, 0.0

    def update(self, requested: float) -> bool:
        """Updates the bracket and the next time to try.

        Args:
            requested: Number of keys requested within `time_s`.

        Returns:
            Whether `time_s` is accurate enough; it then stays as it is.
        """
        capacity, time_s = self.capacity, self.time_s
        if abs(requested - capacity) <= CAPACITY_TOLERANCE * capacity:
            return True
        if requested < capacity:
            self.low = time_s
        else:
            self.high = time_s
        guess = self._secant(log(time_s), requested - capacity)
        if guess is None:
            guess = time_s * capacity / max(requested, TINY)
        self.time_s = guess if self.low < guess < self.high else self._middle()
        return False

    def _secant(self, log_time: float, excess: float) -> float | None:
        """Returns where the line through the last two points crosses zero; None if it does not."""
        last_log_time, last_excess = self.last_log_time, self.last_excess
        self.last_log_time, self.last_excess = log_time, excess
        if last_log_time == log_time or not last_excess or not last_excess - excess:
            return None
        crossing = log_time - excess * (last_log_time - log_time) / (
            last_excess - excess
        )
        return exp(min(max(crossing, -MAX_LOG_TIME), MAX_LOG_TIME))

    def _middle(self) -> float:
        """Returns the middle of the bracket, on a logarithmic scale if the bracket is wide."""
        if self.high > WIDE_BRACKET_RATIO * self.low:
            return sqrt(max(self.low, TINY) * self.high)
        return (self.low + self.high) / 2
