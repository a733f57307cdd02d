"""The load-balancing policy of one node: combines the rules that decide on each request.

Every rule is a module of its own. At the first tier (`Settings.tier` 0) a request passes admission
(`admission`, `concurrency_limit`) or is rejected; at the tiers below, a request that the concurrency limit
does not admit waits (`request_queue`). Its attempts go to members of the instance's subset (`subset`), picked
by two random choices (`endpoint_selection`). Cold endpoints receive less traffic (`slow_start`), and failing
ones receive only trials (`outlier_detection`). A failed attempt may be repeated (`retry_policy`).

The interface with its settings, events and actions is in `loadbalancer/policy/api.py`; docs/design.md gives
the reasons. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loadbalancer.policy.admission import Admission, ClassPriority, open_request
from loadbalancer.policy.api import (
    Actions,
    EndpointEntry,
    ListUpdateKind,
    Outcome,
    RetryStormPolicy,
    Settings,
    ZoneFailoverPolicy,
)
from loadbalancer.policy.call_tracker import CallTracker
from loadbalancer.policy.class_latency import ClassLatency
from loadbalancer.policy.concurrency_limit import (
    ConcurrencyLimit,
    round_trip_allowances,
)
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.endpoint_list import EndpointList
from loadbalancer.policy.endpoint_selection import WEIGHTED_TIE_RATIO, EndpointSelector
from loadbalancer.policy.endpoint_table import EndpointTable
from loadbalancer.policy.list_updates import ListUpdates, scopes_of
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.queue_reports import QueueReports
from loadbalancer.policy.request_dispatch import (
    TIMER_LIST,
    TIMER_QUEUE,
    TIMER_SWEEP,
    TOKEN_BITS,
    RequestDispatcher,
)
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.retry_policy import RetryBudget
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.subset import Subset
from loadbalancer.policy.zone_routing import ZoneRouting
from loadbalancer.policy.zone_spill import ZoneSpill

# Outcomes that count as a failure of the endpoint if the attempt does not count as a call in flight.
ENDPOINT_FAILURES = (Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)


class Balancer:
    """Makes the decisions of one instance, without messages from others. Implements `api.Events`."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        actions: Actions,
        zone_policy: ZoneFailoverPolicy | None = None,
    ) -> None:
        """Creates and connects the rules. No action of the host is called before `start`.

        Args:
            settings: The settings until the first `update_settings`.
            seed: Seed of all random numbers; the same seed and events lead to the same actions.
            actions: The actions of the host.
            zone_policy: Decides between zones; None if operators have configured no rules for zones.
        """
        self.context = context = PolicyContext(settings, seed, actions)
        allowances = round_trip_allowances(settings)
        self.limit = limit = ConcurrencyLimit(
            allowances, settings.max_open_requests, context.rng, 0
        )
        self.latency = latency = ClassLatency(allowances)
        self.reports = reports = QueueReports(settings.report_fields, limit)
        self.zones = zones = ZoneRouting(context, zone_policy)
        self.spill = spill = ZoneSpill(context, zone_policy is not None)
        endpoint_list = EndpointList(spill.enabled, scopes_of(settings))
        self.subset = subset = Subset(endpoint_list, reports, zones, spill)
        self.outliers = outliers = OutlierDetector(subset, latency)
        self.slow_start = slow_start = SlowStart(subset)
        self.table = table = EndpointTable(slow_start, outliers)
        self.updates = ListUpdates(subset, table, outliers)
        self.priority = priority = ClassPriority(context, latency)
        self.admission = Admission(context, limit, latency, priority, zones)
        self.selector = EndpointSelector(subset, table, slow_start, outliers, priority)
        self.calls = CallTracker(slow_start, outliers, self.admission)
        self.retries = RetryBudget(limit, latency)
        self.queue = RequestQueue(limit)
        self.dispatcher = self.create_dispatcher()
        self.requests = self.dispatcher.requests

    def create_dispatcher(self) -> RequestDispatcher:
        """Returns the dispatcher of requests; a variant of the policy may override it."""
        return RequestDispatcher(
            self.context, self.selector, self.calls, self.retries, self.queue
        )

    # ---- events: settings and policies ----

    def start(self, now: int) -> None:
        """See `api.Events`."""
        self.limit.start_measurement(now)
        self.calls.window_closed_at = now
        self.admission.quotas.start(now)
        if self.context.settings.list_must_be_polled:
            self.context.actions.watch(True)

    def update_settings(self, now: int, settings: Settings) -> None:
        """See `api.Events`."""
        old, self.context.settings = self.context.settings, settings
        allowances = round_trip_allowances(settings)
        unchanged = [
            index < len(old.classes) and request_class == old.classes[index]
            for index, request_class in enumerate(settings.classes)
        ]
        self.limit.update_classes(allowances, unchanged, settings.max_open_requests)
        self.latency.update_classes(allowances, unchanged)
        self.admission.quotas.update_settings(now)
        self.zones.update_settings()
        self.spill.update(self.zones.policy is not None)
        self.updates.rebuild()
        self.priority.update()
        retry_storm = self.admission.retry_storm
        if retry_storm is not None and old.classes != settings.classes:
            retry_storm.update_classes(
                [request_class.priority_weight for request_class in settings.classes]
            )
        self.updates.refill(now)

    def update_zone_policy(
        self, now: int, zone_policy: ZoneFailoverPolicy | None
    ) -> None:
        """See `api.Events`."""
        self.zones.update_policy(zone_policy)
        self.update_settings(now, self.context.settings)

    def update_retry_storm_policy(
        self, now: int, retry_storm: RetryStormPolicy | None
    ) -> None:
        """See `api.Events`."""
        self.admission.retry_storm = retry_storm

    def update_weights(self, now: int, weights: Mapping[int, float] | None) -> None:
        """See `api.Events`."""
        self.selector.tie_ratio = 1.0 if weights is None else WEIGHTED_TIE_RATIO
        self.table.update_weights(weights)

    # ---- events: the endpoint list ----

    def update_endpoints(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool = False,
    ) -> None:
        """See `api.Events`."""
        if kind == ListUpdateKind.FAILED:
            delay = self.updates.poll_backoff()
            self.context.actions.set_timer(delay, TIMER_LIST << TOKEN_BITS)
            return
        if self.updates.update(now, kind, entries, more):
            self.sweep_list()
        self.updates.refill(now)

    def sweep_list(self) -> bool:
        """Examines some of the listed endpoints and removes those that the last full list left out.

        If endpoints are left to examine, it sets a timer for the next step.

        Returns:
            Whether endpoints are left to examine.
        """
        more = self.subset.endpoint_list.sweep()
        if more:
            tick = self.context.settings.tick_us
            self.context.actions.set_timer(tick, TIMER_SWEEP << TOKEN_BITS)
        return more

    # ---- events: requests ----

    def request(
        self,
        now: int,
        request: int,
        class_index: int,
        tenant: int,
        time_left: int,
        repeat: bool,
        complete: bool = True,
        preferred_endpoints: Sequence[int] = (),
    ) -> None:
        """See `api.Events`."""
        settings = self.context.settings
        opened = open_request(now, request, settings, class_index, time_left)
        if not complete:
            opened.time_left_when_complete = max(1, opened.deadline - now)
        opened.preferred_endpoints = preferred_endpoints
        self.requests[request] = opened
        class_index = opened.class_index
        self.zones.requests_by_class[class_index] += 1
        if self.zones.policy is not None:
            self.decide_zones(now)
        self.retries.earn()
        if self.subset.sample_in_flight():
            self.updates.refill(now)
        if settings.tier == 0:
            if not self.admission.admits(now, class_index, tenant, repeat, time_left):
                self.admission.rejected += 1
                self.dispatcher.finish(opened, retriable=True)
                return
        elif not self.limit.admits(now, 0):
            self.dispatcher.enqueue(now, opened)
            return
        self.dispatcher.attempt(now, opened)

    def request_complete(
        self, now: int, request: int, time_left: int | None = None
    ) -> None:
        """See `api.Events`."""
        opened = self.requests.get(request)
        if opened is None or not opened.time_left_when_complete:
            return
        if time_left is None:
            time_left = opened.time_left_when_complete
        opened.deadline = now + min(time_left, opened.time_left_when_complete)
        opened.time_left_when_complete = 0
        if opened.pending_endpoint is not None:
            opened.sent_at = now
            self.table.off_limit_attempts.pop(request, None)
            self.calls.start(now, opened.pending_endpoint)

    def not_replayable(self, now: int, request: int) -> None:
        """See `api.Events`."""
        opened = self.requests.get(request)
        if opened is not None:
            opened.not_replayable = True

    def client_disconnected(self, now: int, request: int) -> None:
        """See `api.Events`."""
        opened = self.requests.pop(request, None)
        self.queue.remove(request)
        if (
            opened is not None
            and opened.pending_endpoint is not None
            and self.context.settings.cancel
            and not opened.response_started
        ):
            self.context.actions.cancel(request, opened.attempts - 1)

    # ---- events: attempts ----

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """See `api.Events`."""
        opened = self.requests.get(request)
        endpoint = self.table.off_limit_attempts.pop(request, None)
        if endpoint is not None:
            endpoint.trial_pending = False
            if outcome in ENDPOINT_FAILURES:
                endpoint.count_failure()
        else:
            endpoint = self.table.endpoints.get(server)
            if endpoint is not None and endpoint.in_flight > 0:
                self.calls.end(now, endpoint, opened, outcome, latency)
        if endpoint is not None and report:
            self.reports.record(endpoint, report)
        if (
            opened is not None
            and opened.pending_endpoint is not None
            and attempt == opened.attempts - 1
        ):
            opened.pending_endpoint = None
            self.dispatcher.after_attempt(now, opened, endpoint, outcome, final)
        if self.queue.waiting:
            self.dispatcher.serve_queue(now)

    def response_started(
        self, now: int, request: int, attempt: int, server: int, latency: int
    ) -> None:
        """See `api.Events`.

        The call ends here for the limit, because the endpoint's work is done. Otherwise slow readers of long
        answers would use up the limit, and their reading time would count as overload.
        """
        opened = self.requests.get(request)
        endpoint = self.table.endpoints.get(server)
        if (
            opened is None
            or endpoint is None
            or opened.response_started
            or opened.pending_endpoint is not endpoint
            or attempt != opened.attempts - 1
        ):
            return
        if opened.time_left_when_complete:
            # It was answered before its body was complete.
            self.request_complete(now, request)
        opened.response_started = True
        self.table.off_limit_attempts[request] = endpoint
        self.calls.end(now, endpoint, opened, Outcome.OK, latency)
        if self.queue.waiting:
            self.dispatcher.serve_queue(now)

    def health_checked(
        self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None:
        """Ignored: no health check is requested, because an ejected endpoint gets a trial call instead."""

    # ---- events: timers, peers and metrics ----

    def timer(self, now: int, token: int) -> None:
        """See `api.Events`."""
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_LIST:
            self.context.actions.watch(True)
        elif kind == TIMER_SWEEP:
            if not self.sweep_list():
                self.updates.refill(now)
        elif kind == TIMER_QUEUE:
            waited = self.queue.remove(value)
            if waited is not None:
                self.admission.rejected += 1
                self.dispatcher.finish(waited, retriable=True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Ignored: the instances of the policy send each other no messages."""

    def stats(self) -> dict[str, float]:
        """Returns the metrics for operators, by the names that the on-call page uses.

        `min_rtt_msecs` is the highest min RTT of all classes, in milliseconds.
        """
        limit, zone_policy = self.limit, self.zones.policy
        retry_storm = self.admission.retry_storm
        return {
            "concurrency_limit": limit.allowed(),
            "gradient": limit.gradient,
            "burst_queue_size": limit.headroom(),
            "min_rtt_msecs": max(limit.min_rtt) / 1000,
            "sample_rtt_ratio": limit.sample_rtt_ratio,
            "rq_blocked": self.admission.rejected,
            "min_rtt_calculation_active": float(limit.measuring),
            "in_flight": limit.in_flight,
            "members": len(self.subset.members),
            "at_home": self.selector.preferred_taken,
            "beyond_homes": self.selector.preferred_full,
            "ejected": len(self.outliers.ejected),
            "spill": self.spill.share,
            "shed": self.admission.shed_probability,
            "lost": limit.lost_ratio,
            **(zone_policy.metrics() if zone_policy is not None else {}),
            **(retry_storm.metrics() if retry_storm is not None else {}),
        }

    def decide_zones(self, now: int) -> None:
        """Lets the zone policy decide again if a decision is due; in a panic all ejected endpoints return."""
        decided = self.zones.decide(
            now,
            self.subset.members,
            self.subset.endpoint_list,
            self.limit,
            self.latency,
        )
        if decided and self.zones.decision.panic:
            self.outliers.readmit_all()
