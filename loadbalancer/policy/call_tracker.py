"""Counts the calls of endpoints, and passes their latency and outcome to the rules that adapt to them."""

from __future__ import annotations

from loadbalancer.policy.admission import Admission
from loadbalancer.policy.api import NEVER_RAN, Outcome
from loadbalancer.policy.concurrency_limit import OVERLOAD_FAILURE_RATIO, WINDOW_US
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.request import Request
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.statistics import SUBSET_SMOOTHING

# In the endpoint averages a round trip counts as at most this multiple of the mean of its class.
MAX_RTT_RATIO = 8.0
# A member this many times slower than its kind gives no sample for the concurrency limit.
OUTLIER_RATIO = 2.0
# Outcomes that do not count as a failure of the endpoint; CANCELLED and NOT_SENT are not evaluated at all.
NO_FAILURE = (Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED)


class CallTracker:
    """Records the start and the end of each call that an endpoint works on."""

    def __init__(
        self, slow_start: SlowStart, outliers: OutlierDetector, admission: Admission
    ) -> None:
        """Combines the rules that adapt to calls.

        Args:
            slow_start: Limits the traffic of cold endpoints.
            outliers: Ejects failing endpoints.
            admission: Adjusts the shedding of requests over quota.
        """
        self.slow_start = slow_start
        self.outliers = outliers
        self.admission = admission
        self.subset = slow_start.subset
        self.limit = slow_start.limit
        self.reports = slow_start.reports
        self.zones = slow_start.zones
        self.spill = self.subset.spill
        self.latency = outliers.latency
        self.window_closed_at = 0  # When the last window was closed, in microseconds.

    def start(self, now: int, endpoint: Endpoint) -> None:
        """Counts a call that starts at an endpoint.

        A request with an incomplete body uses no slot: its call starts when the body is complete.

        Args:
            now: The current time in microseconds.
            endpoint: The endpoint that receives the call.
        """
        if endpoint.in_flight == 0:
            endpoint.last_progress_at = now
        endpoint.in_flight += 1
        endpoint.reported_queue += 1  # Until the endpoint reports again.
        attempts = self.zones.attempts_by_zone
        attempts[endpoint.zone] = attempts.get(endpoint.zone, 0) + 1
        if not endpoint.outside_limit:
            self.limit.count_calls(now, 1)
        self.slow_start.sent_to_warm += endpoint.warming_until <= now

    def end(
        self,
        now: int,
        endpoint: Endpoint,
        request: Request | None,
        outcome: Outcome,
        latency: int,
    ) -> None:
        """Counts the end of a call.

        Args:
            now: The current time in microseconds.
            endpoint: The endpoint of the call.
            request: The call's request; None if it is no longer open.
            outcome: How the call ended.
            latency: The duration of the call, in microseconds.
        """
        endpoint.in_flight -= 1
        endpoint.reported_queue = max(0.0, endpoint.reported_queue - 1)
        if not endpoint.outside_limit:
            self.limit.count_calls(now, -1)
        endpoint.last_progress_at = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # The client may have disconnected during a trial, so another trial may follow.
            endpoint.trial_pending = False
            return
        answered = outcome == Outcome.OK
        if request is not None and (answered or outcome == Outcome.TIMEOUT):
            self.add_latency(now, endpoint, request.class_index, answered, latency)
        failed = outcome not in NO_FAILURE
        self.outliers.count_outcome(endpoint, failed)
        # Connections that are refused by a failed zone would halve the limit, although other zones can take
        # the calls.
        if not endpoint.ejected and outcome not in NEVER_RAN:
            self.record_loss(now, request, answered, failed)
        self.outliers.evaluate(now, endpoint, answered, failed)

    def add_latency(
        self,
        now: int,
        endpoint: Endpoint,
        class_index: int,
        answered: bool,
        latency: int,
    ) -> None:
        """Passes a round trip, or the timeout of a call, to every rule that adapts to latency.

        Args:
            now: The current time in microseconds.
            endpoint: The endpoint of the call.
            class_index: The class of its request.
            answered: Whether the call was answered; otherwise it timed out.
            latency: The duration of the call, in microseconds.
        """
        if endpoint.own_latency.value < OUTLIER_RATIO and not endpoint.ejected:
            self.limit.sample(now, class_index, latency, answered)
        ratio = min(latency / self.latency.mean_rtt[class_index], MAX_RTT_RATIO)
        endpoint.own_latency.add(ratio / endpoint.kind_latency.value)
        endpoint.kind_latency.add(ratio)
        target_ratio = latency / self.limit.target_rtt[class_index]
        self.spill.add_latency(endpoint.zone, target_ratio)
        self.admission.add_latency(target_ratio)
        self.latency.add(class_index, latency)
        if now - self.window_closed_at >= WINDOW_US:
            self.close_window(now)

    def record_loss(
        self, now: int, request: Request | None, answered: bool, failed: bool
    ) -> None:
        """Updates the smoothed fraction of lost calls, and counts failures as overload while it is high.

        A high fraction means that the tiers below have lost endpoints; if errors added no sample, the limit
        would not fall. A lower fraction says nothing about load, because even idle endpoints may return
        faulty answers.

        Args:
            now: The current time in microseconds.
            request: The call's request; None if it is no longer open.
            answered: Whether the call was answered.
            failed: Whether the call counts as a failure of the endpoint.
        """
        limit = self.limit
        lost = 0.0 if answered else 1.0
        limit.lost_ratio += SUBSET_SMOOTHING * (lost - limit.lost_ratio)
        if failed and request is not None and limit.lost_ratio > OVERLOAD_FAILURE_RATIO:
            limit.count_failure(now, request.class_index)

    def close_window(self, now: int) -> None:
        """Updates the rules that adapt once per window."""
        window_us = now - self.window_closed_at
        self.window_closed_at = now
        self.slow_start.learn(now, window_us)
        self.reports.average(self.subset.members)
        # The endpoint list may have changed since the last window, and cold endpoints have warmed up further.
        self.subset.update_capacity(now)
        self.admission.priority.update()
        if self.spill.enabled and self.subset.local and not self.zones.decision.shares:
            self.spill.adapt()
