"""Ejects members that fail or become silent, sends them trials, and readmits them.

An ejected member gets no calls except one trial at a time, and is readmitted when a trial is answered. The
length of an ejection is the time until a trial is due. It is EJECTION_TIME_US at first, and doubles with each
ejection and each failed trial, up to 16 times EJECTION_TIME_US; a readmission reverses one doubling.
"""

from __future__ import annotations

from loadbalancer.policy.api import Idempotency
from loadbalancer.policy.class_latency import ClassLatency
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.statistics import ENDPOINT_SMOOTHING, SUBSET_SMOOTHING
from loadbalancer.policy.subset import Subset

# Largest fraction of the members that may be ejected at the same time.
MAX_EJECTED_RATIO = 0.34
# Consecutive failures, or ended calls, that are required before an ejection.
MIN_EJECTION_SAMPLES = 3
# A member is ejected when its failure rate exceeds that of the subset by more than this difference.
EJECTION_FAILURE_RATE = 0.3
# Consecutive failures eject a member only if its failure rate exceeds this multiple of the subset's rate.
CONSECUTIVE_RATE_RATIO = 2
# Length of the first ejection, and the time until a further trial may follow one without an outcome.
EJECTION_TIME_US = 2_000_000
# Largest number of times that the length of an ejection is doubled.
EJECTION_DOUBLINGS = 4
# An ejection is extended by a random fraction of its length, up to this value.
EJECTION_JITTER_RATIO = 0.1
# A member is silent after this many mean round-trip times without an outcome.
SILENT_ROUND_TRIPS = 4


class OutlierDetector:
    """Decides which members are ejected and when each of them gets its next trial.

    Attributes:
        subset: The members of this instance.
        zones: The decisions of the zone policy; during a panic no member is ejected.
        latency: The mean round-trip times by class.
        ejected: The ejected endpoints.
        next_trial_at: The earliest time at which a trial may be due, in microseconds.
        failure_rate: The fraction of calls that fail over the entire subset, smoothed.
    """

    def __init__(self, subset: Subset, latency: ClassLatency) -> None:
        """Starts without an ejected member; the arguments are described with the attributes."""
        self.context = subset.context
        self.subset = subset
        self.zones = subset.zones
        self.latency = latency
        self.ejected: list[Endpoint] = []
        self.next_trial_at = 0
        self.failure_rate = 0.0

    # ---- outcomes ----

    def count_outcome(self, endpoint: Endpoint, failed: bool) -> None:
        """Counts the end of a call in the failure rates of the endpoint and of the subset.

        Args:
            endpoint: The endpoint of the call.
            failed: Whether the endpoint caused the call to fail.
        """
        failure = 1.0 if failed else 0.0
        endpoint.ended_calls += 1
        endpoint.failure_rate += ENDPOINT_SMOOTHING * (failure - endpoint.failure_rate)
        self.failure_rate += SUBSET_SMOOTHING * (failure - self.failure_rate)

    def evaluate(
        self, now: int, endpoint: Endpoint, answered: bool, failed: bool
    ) -> None:
        """Ejects or readmits an endpoint after the end of a call, which may have been its trial.

        Args:
            now: The time in microseconds.
            endpoint: The endpoint of the call.
            answered: Whether the call was answered.
            failed: Whether the endpoint caused the call to fail. A timeout or a rejection counts neither as
                answered nor as failed, but extends the ejection if the call was a trial.
        """
        if answered:
            endpoint.consecutive_failures = 0
            if endpoint.ejected and (endpoint.trial_pending or endpoint.silent):
                self.readmit(endpoint)
        elif failed:
            endpoint.consecutive_failures += 1
            if endpoint.ejected:
                if endpoint.trial_pending:
                    self.eject(now, endpoint, silent=False)
            elif self.fails_too_often(endpoint):
                # A member that fails quickly has few calls in flight, so it would win the draws.
                self.eject(now, endpoint, silent=False)
        elif endpoint.trial_pending:
            self.eject(now, endpoint, silent=endpoint.silent)
        endpoint.trial_pending = False

    def fails_too_often(self, endpoint: Endpoint) -> bool:
        """Returns whether consecutive failures or the failure rate stand out from those of the subset."""
        if (
            endpoint.consecutive_failures >= MIN_EJECTION_SAMPLES
            and endpoint.failure_rate > self.failure_rate * CONSECUTIVE_RATE_RATIO
        ):
            return True
        return (
            endpoint.ended_calls >= MIN_EJECTION_SAMPLES
            and endpoint.failure_rate > EJECTION_FAILURE_RATE + self.failure_rate
        )

    def eject_if_silent(self, now: int, endpoint: Endpoint) -> bool:
        """Ejects a member with calls in flight that had no outcome for SILENT_ROUND_TRIPS round-trip times.

        The time is the mean round-trip time of the class with the longest one.
        A single call in flight may just take long, so the member is ejected only after twice that time.

        Returns:
            Whether the member is ejected now, for this or an earlier reason.
        """
        if endpoint.in_flight:
            max_silence = SILENT_ROUND_TRIPS * max(self.latency.mean_rtt)
            if endpoint.in_flight == 1:
                max_silence *= 2
            if now - endpoint.last_progress_at > max_silence:
                self.eject(now, endpoint, silent=True)
        return endpoint.ejected

    # ---- ejection ----

    def eject(self, now: int, endpoint: Endpoint, silent: bool) -> None:
        """Ejects a member, or extends its ejection, unless too many members are ejected or a panic is active.

        Endpoints that are not members are not ejected: the last calls of a drained endpoint fail, and an
        ejection would send it a trial.

        Args:
            now: The time in microseconds.
            endpoint: The endpoint.
            silent: Whether the reason is that the endpoint did not answer.
        """
        if not endpoint.is_member or self.zones.decision.panic:
            return
        if not endpoint.ejected:
            max_ejected = MAX_EJECTED_RATIO * len(self.subset.members)
            if len(self.ejected) + 1 > max_ejected:
                return
            endpoint.ejected = True
            self.ejected.append(endpoint)
            rate = endpoint.failure_rate
            self.context.actions.log(
                f"eject server={endpoint.id} silent={int(silent)} fail_rate={rate:.2f}"
            )
        endpoint.silent = silent
        doublings = min(endpoint.ejections, EJECTION_DOUBLINGS)
        jitter = 1 + EJECTION_JITTER_RATIO * self.context.rng.random()
        endpoint.trial_at = now + int((EJECTION_TIME_US << doublings) * jitter)
        endpoint.ejections += 1
        self.next_trial_at = min(each.trial_at for each in self.ejected)
        self.subset.regroup()

    def readmit(self, endpoint: Endpoint) -> None:
        """Ends the ejection of an endpoint and resets its failure rate to that of the subset."""
        endpoint.ejected = endpoint.silent = False
        endpoint.failure_rate = self.failure_rate
        endpoint.consecutive_failures = 0
        endpoint.ejections = max(0, endpoint.ejections - 1)
        self.ejected.remove(endpoint)
        if self.ejected:
            self.next_trial_at = min(each.trial_at for each in self.ejected)
        self.context.actions.log(f"readmit server={endpoint.id}")
        self.subset.regroup()

    def readmit_all(self) -> None:
        """Readmits every endpoint, as a panic requires: too few are healthy to avoid the others."""
        for endpoint in list(self.ejected):
            self.readmit(endpoint)

    def adapt_to_members(self) -> None:
        """Readmits former members, and members in excess of MAX_EJECTED_RATIO after the subset has shrunk.

        Otherwise, on a shrinking list, one healthy endpoint would take all calls until it is overloaded,
        although another, ejected one answers most of its calls.
        """
        for endpoint in [each for each in self.ejected if not each.is_member]:
            self.readmit(endpoint)
        while len(self.ejected) > MAX_EJECTED_RATIO * len(self.subset.members):
            self.readmit(self.ejected[0])

    # ---- trials ----

    def trial_candidates(self, now: int, idempotency: Idempotency) -> list[Endpoint]:
        """Returns the ejected endpoints whose trial is due.

        A request that is not idempotent gets none, because it must not run twice.

        Args:
            now: The time in microseconds.
            idempotency: The idempotency of the request's class.
        """
        if now < self.next_trial_at or idempotency == Idempotency.NOT_IDEMPOTENT:
            return []
        return [
            endpoint
            for endpoint in self.ejected
            if endpoint.trial_at <= now and not endpoint.trial_pending
        ]

    def start_trial(self, now: int, endpoint: Endpoint) -> None:
        """Records that a trial is sent. The next one may follow after EJECTION_TIME_US."""
        endpoint.trial_pending = True
        endpoint.trial_at = now + EJECTION_TIME_US

    def trial_timeout(self, class_index: int, timeout: int, tick: int) -> int:
        """Returns the timeout of a trial, which must not use up the request's remaining time.

        Args:
            class_index: The class of the request.
            timeout: The timeout of an attempt that is not a trial, in microseconds.
            tick: The shortest time between two batches of events, in microseconds.

        Returns:
            The timeout in microseconds.
        """
        max_silence = int(SILENT_ROUND_TRIPS * self.latency.mean_rtt[class_index])
        return min(timeout, max(tick, max_silence))
