"""Counts the calls of endpoints, and hands their latency and outcome to the rules that learn from them."""

from __future__ import annotations

from loadbalancer.policy.admission import Admission
from loadbalancer.policy.api import NEVER_RAN, Outcome
from loadbalancer.policy.concurrency_limit import FAILURES_ARE_OVERLOAD_RATIO, WINDOW_US
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.request import Request
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.statistics import SUBSET_SMOOTHING

RTT_RATIO_MOST = 8.0  # a round trip counts as so many times the mean at most
# A member so many times slower than its kind tells nothing of the limit
OUTLIER_RATIO = 2.0
NO_FAILURE = (Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED)


class CallTracker:
    """The start and the end of each call that an endpoint works on."""

    def __init__(
        self, slow_start: SlowStart, outliers: OutlierDetector, admission: Admission
    ) -> None:
        """Joins the rules that learn from calls."""
        self.slow_start = slow_start
        self.outliers = outliers
        self.admission = admission
        self.subset = slow_start.subset
        self.limit = slow_start.limit
        self.reports = slow_start.reports
        self.zones = slow_start.zones
        self.spill = self.subset.spill
        self.latency = outliers.latency
        self.window_at = 0  # when the last window was closed

    def start(self, now: int, endpoint: Endpoint) -> None:
        """Counts a call that an endpoint begins. One with an incomplete body takes no place until then."""
        if endpoint.in_flight == 0:
            endpoint.last_progress_at = now
        endpoint.in_flight += 1
        endpoint.reported_queue += 1  # until it reports again
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
        """Counts a call's end.

        Args:
            now: The time in microseconds.
            endpoint: Where the call ended.
            request: Its request, if that is still open.
            outcome: How it ended.
            latency: How long it took, in microseconds.
        """
        endpoint.in_flight -= 1
        endpoint.reported_queue = max(0.0, endpoint.reported_queue - 1)
        if not endpoint.outside_limit:
            self.limit.count_calls(now, -1)
        endpoint.last_progress_at = now
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # The client may have left during a trial: another one may follow.
            endpoint.trial_pending = False
            return
        answered = outcome == Outcome.OK
        if request is not None and (answered or outcome == Outcome.TIMEOUT):
            self.add_latency(now, endpoint, request.class_index, answered, latency)
        failed = outcome not in NO_FAILURE
        self.outliers.count_outcome(endpoint, failed)
        # Connections refused by a zone that is gone would halve the limit that others bear.
        if not endpoint.ejected and outcome not in NEVER_RAN:
            self.add_loss(now, request, answered, failed)
        self.outliers.evaluate(now, endpoint, answered, failed)

    def add_latency(
        self,
        now: int,
        endpoint: Endpoint,
        class_index: int,
        answered: bool,
        latency: int,
    ) -> None:
        """Takes a round trip, or a time-out, into everything that learns from latency."""
        if endpoint.own_latency.value < OUTLIER_RATIO and not endpoint.ejected:
            self.limit.sample(now, class_index, latency, answered)
        ratio = min(latency / self.latency.mean_rtt[class_index], RTT_RATIO_MOST)
        endpoint.own_latency.add(ratio / endpoint.kind_latency.value)
        endpoint.kind_latency.add(ratio)
        target_ratio = latency / self.limit.target_rtt[class_index]
        self.spill.add_latency(endpoint.zone, target_ratio)
        self.admission.add_latency(target_ratio)
        self.latency.add(class_index, latency)
        if now - self.window_at >= WINDOW_US:
            self.close_window(now)

    def add_loss(
        self, now: int, request: Request | None, answered: bool, failed: bool
    ) -> None:
        """Smooths the share of lost calls; failures count as overload only while many are lost.

        Then the tiers below have lost endpoints, and errors that add no sample would leave the limit where
        it was. Fewer tell nothing of load: answers may come spoilt from endpoints at rest.
        """
        limit = self.limit
        lost = 0.0 if answered else 1.0
        limit.lost_ratio += SUBSET_SMOOTHING * (lost - limit.lost_ratio)
        if (
            failed
            and request is not None
            and limit.lost_ratio > FAILURES_ARE_OVERLOAD_RATIO
        ):
            limit.count_failure(now, request.class_index)

    def close_window(self, now: int) -> None:
        """Has the slower rules learn, at most once a window."""
        span = now - self.window_at
        self.window_at = now
        self.slow_start.learn(now, span)
        self.reports.average(self.subset.members)
        # The list may have changed since, and cold endpoints are warmer.
        self.subset.update_capacity(now)
        self.admission.priority.update()
        if self.spill.enabled and self.subset.local and not self.zones.decision.shares:
            self.spill.adapt()
