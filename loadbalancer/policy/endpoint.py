"""The state that one instance keeps of one endpoint. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.policy.statistics import (
    ENDPOINT_SMOOTHING,
    MEAN_PRIOR_SAMPLES,
    RunningMean,
)

# Slowness that a failure rate of 1 adds, as a multiple of the endpoint's own latency.
FAILURE_SLOWNESS = 8
# Time without an outcome after which an endpoint's own latency no longer counts.
LATENCY_MEMORY_US = 5_000_000


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state that the policy keeps of one endpoint.

    Attributes:
        id: The endpoint's number in the endpoint list.
        kind_id: The number of its kind of machine.
        kind_latency: Round-trip time of endpoints of this kind, relative to the mean of the request's class.
        cell: The number of its cell.
        zone: The number of its zone.
        started_at: When its process started; 0 if long ago.
        own_latency: Its round-trip time, relative to that of its kind.
        listed: Whether the endpoint list has it as ready.
        is_member: Whether it is in this instance's subset.
        in_flight: Calls of this instance that are in flight at the endpoint.
        ejected: Whether it is excluded from the draws as an outlier.
        trial_pending: Whether the trial call of the ejected endpoint is in flight.
        outside_limit: Whether its calls do not count against the concurrency limit, because it is ejected.
        last_progress_at: When the last outcome arrived, or when a call was sent to the then idle endpoint.
        failure_rate: The fraction of its calls that fail, smoothed.
        consecutive_failures: Failures since its last answer.
        ended_calls: Calls whose end was counted.
        silent: Whether it was ejected because it did not answer.
        trial_at: When its next trial may be sent.
        ejections: The number of ejections that determines the length of the next one.
        warming_until: When its slow start ends; 0 if it is warm.
        tokens: Content of its token bucket during its slow start, up to 1; a call takes 1.
        tokens_at: When `tokens` was last updated.
        reported_queue: Requests of all instances that it holds, as last reported or estimated.
        weight: The fraction of its draws that is accepted, above 0 up to 1.
    """

    id: int
    kind_id: int
    kind_latency: RunningMean
    cell: int
    zone: int
    started_at: int
    own_latency: RunningMean = field(init=False)
    listed: bool = True
    is_member: bool = False
    in_flight: int = 0
    ejected: bool = False
    trial_pending: bool = False
    outside_limit: bool = False
    last_progress_at: int = 0
    failure_rate: float = field(init=False)
    consecutive_failures: int = field(init=False)
    ended_calls: int = field(init=False)
    silent: bool = field(init=False)
    trial_at: int = field(init=False)
    ejections: int = field(init=False)
    warming_until: int = field(init=False)
    tokens: float = field(init=False)
    tokens_at: int = field(init=False)
    reported_queue: float = field(init=False)
    weight: float = 1.0

    def __post_init__(self) -> None:
        self.restart(self.started_at)

    def restart(self, started_at: int) -> None:
        """Resets what was learned about the previous process of the endpoint.

        Args:
            started_at: When the new process started, in microseconds.
        """
        self.started_at = started_at
        self.own_latency = RunningMean(1.0, MEAN_PRIOR_SAMPLES, ENDPOINT_SMOOTHING)
        self.failure_rate = self.tokens = self.reported_queue = 0.0
        self.consecutive_failures = self.ended_calls = self.ejections = 0
        self.silent = False
        self.trial_at = self.warming_until = self.tokens_at = 0

    def count_failure(self) -> None:
        """Counts a failed call in the failure rate and in the consecutive failures."""
        self.failure_rate += ENDPOINT_SMOOTHING * (1 - self.failure_rate)
        self.consecutive_failures += 1

    def slowness(self, now: int, mean_rtt: float) -> float:
        """Returns the expected round-trip time, relative to the mean of the subset.

        The estimate combines the kind of machine, the endpoint's own latency and its failure rate. Its own
        part fades while no outcome arrives. Otherwise an endpoint that was slow once would never be drawn
        again, and its estimate would never be updated. An endpoint that has just become slow is rated by the
        time since its last progress.

        Args:
            now: The time in microseconds.
            mean_rtt: The mean round-trip time of the class with the shortest one, in microseconds.
        """
        silence = now - self.last_progress_at
        fade = max(0.0, 1 - silence / LATENCY_MEMORY_US)
        own = self.own_latency.value * (1 + FAILURE_SLOWNESS * self.failure_rate)
        slowness = self.kind_latency.value * (1 + (own - 1) * fade)
        if self.in_flight and silence > mean_rtt:
            slowness *= silence / mean_rtt
        return slowness

    def load(self, now: int, mean_rtt: float) -> float:
        """Returns the calls in flight, including the next one, weighted by slowness.

        Draws compare endpoints by this value.

        Args:
            now: The time in microseconds.
            mean_rtt: The mean round-trip time of the class with the shortest one, in microseconds.
        """
        return (self.in_flight + 1) * self.slowness(now, mean_rtt)
