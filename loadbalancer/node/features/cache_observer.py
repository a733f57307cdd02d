"""Observes the servers' caches: counts requested keys and hits, and times hits and misses."""

from __future__ import annotations

from loadbalancer.forecast.key_sample import KeySample
from loadbalancer.forecast.rendezvous import key_position
from loadbalancer.node.features.feature import AttemptEnd
from loadbalancer.policy.api import Outcome

# Hits, and also misses, that are needed before their mean duration is used.
MIN_TIMED_ANSWERS = 50
DURATION_SMOOTHING = 0.01  # weight of the newest duration in the mean
MIN_DURATION_S = 1e-6  # avoids a division by zero
US_PER_S = 1e6


class AnswerDuration:
    """An exponentially smoothed mean of attempt durations.

    Attributes:
        mean_us: The mean, in microseconds.
        answers: Number of durations added.
    """

    def __init__(self) -> None:
        self.mean_us = 0.0
        self.answers = 0

    def add(self, duration_us: int) -> None:
        """Adds the duration of one attempt, in microseconds."""
        self.answers += 1
        weight = max(1 / self.answers, DURATION_SMOOTHING)
        self.mean_us += weight * (duration_us - self.mean_us)


class CacheObserver:
    """One node's observations of its servers' caches.

    Only successful attempts at requests with a shard key are counted. Times are by the node's clock
    (`Node.now`), in microseconds. Hits are also counted over a span, which forecasts are compared with.

    Attributes:
        sample: The sample of requested keys.
        span_hits: Responses from a cache in the current span.
        span_answers: Responses in the current span that reported whether they came from a cache.
        span_started_at: Start of the current span.
        hit_duration: Mean duration of attempts that were cache hits.
        miss_duration: Mean duration of attempts that were reported as cache misses.
    """

    def __init__(self, window_us: int, now: int) -> None:
        self.sample = KeySample(window_us, now)
        self.span_hits = self.span_answers = 0
        self.span_started_at = now
        self.hit_duration, self.miss_duration = AnswerDuration(), AnswerDuration()

    def add(self, end: AttemptEnd) -> None:
        """Counts a successful attempt with a key; called on the request path, for every attempt."""
        if not end.shard_key or end.outcome != Outcome.OK:
            return
        self.sample.add(key_position(end.shard_key))
        if end.cache_hit is None:
            return
        self.sample.add_cache_result(end.cache_hit)
        self.span_answers += 1
        self.span_hits += end.cache_hit
        duration = self.hit_duration if end.cache_hit else self.miss_duration
        duration.add(end.ended_at_us - end.started_at_us)

    def start_span(self, now: int) -> None:
        """Starts a new span, with no hits or responses counted."""
        self.span_hits = self.span_answers = 0
        self.span_started_at = now

    def rate(self, now: int) -> float:
        """Returns the successful requests with keys per second that this node sends."""
        window = self.sample.current
        return window.requests / max(1.0, (now - window.started_at) / US_PER_S)

    def tolerable_misses(
        self, fleet_limit: float, rate: float, servers: int, hit_ratio: float | None
    ) -> float:
        """Estimates the misses per second that a server tolerates, from this node's concurrency limit.

        By Little's law, hits occupy a number of the calls in flight that the limit allows. The remaining
        calls in flight can be misses, each with the recent mean duration of misses. The limit stays within
        twice the usual number of calls in flight, so the result is a load that is known to be tolerated, not
        the maximum.

        Args:
            fleet_limit: Calls in flight allowed to all nodes together: this node's limit, scaled by the ratio
                of the fleet's request rate to this node's.
            rate: Requests per second of all nodes.
            servers: Number of servers that share these requests.
            hit_ratio: The fleet's hit ratio; None if no response reported hits or misses.

        Returns:
            Misses per second and server; 0 if unknown.
        """
        timed = min(self.hit_duration.answers, self.miss_duration.answers)
        if hit_ratio is None or timed < MIN_TIMED_ANSWERS or not servers:
            return 0.0
        hit_s = self.hit_duration.mean_us / US_PER_S
        miss_s = self.miss_duration.mean_us / US_PER_S
        hits_in_flight = rate * hit_ratio / servers * hit_s
        misses_in_flight = max(0.0, fleet_limit / servers - hits_in_flight)
        return misses_in_flight / max(miss_s, MIN_DURATION_S)
