"""Selects the endpoint of an attempt: the better of two random choices within zone, scope and preference.

Two members are drawn at random, and the one with the lower load gets the call. The load is the number of
this instance's calls in flight at the member, including the new one, times the member's slowness. Slow
members are skipped in the draw in proportion to their slowness.
"""

from __future__ import annotations

from loadbalancer.policy.admission import ClassPriority
from loadbalancer.policy.api import Idempotency
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.endpoint_table import EndpointTable
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.request import Request
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.subset import Subset

# Pairs that are drawn before the first member of the pool that may be sent the call is selected.
MAX_PAIR_DRAWS = 3
# Random picks after which a member is accepted despite its slowness or low weight.
MAX_SKIPS = 10
# With weights known, a load counts as lower only if the other one is more than this many times as high.
WEIGHTED_TIE_RATIO = 1.25
# Listed endpoints that are considered for a retry when no known endpoint is in its deduplication scope.
MAX_SCOPE_CANDIDATES = 24
# A preferred endpoint has capacity while this instance has fewer calls in flight there than this multiple of
# the concurrency limit per eligible member.
PREFERRED_LIMIT_RATIO = 2.0
# Smallest value of that bound, in calls.
MIN_PREFERRED_CALLS = 2


class EndpointSelector:
    """Selects the endpoint of an attempt.

    Attributes:
        tie_ratio: The load of the first endpoint of a pair has to exceed that of the second by this factor
            for the second to be selected; 1, or WEIGHTED_TIE_RATIO while weights are known.
        preferred_taken: First attempts that were sent to a preferred endpoint.
        preferred_full: First attempts for which no preferred endpoint was a member with capacity.
    """

    def __init__(
        self,
        subset: Subset,
        table: EndpointTable,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        priority: ClassPriority,
    ) -> None:
        """Creates a selector.

        Args:
            subset: The members of this instance.
            table: The endpoints that this instance keeps state of.
            slow_start: Limits the calls to cold and overloaded endpoints.
            outliers: Ejects endpoints and schedules their trials.
            priority: Tells which request classes take precedence over another class.
        """
        self.context = subset.context
        self.limit = subset.limit
        self.subset = subset
        self.zones = subset.zones
        self.spill = subset.spill
        self.table = table
        self.slow_start = slow_start
        self.outliers = outliers
        self.latency = outliers.latency
        self.priority = priority
        self.tie_ratio = 1.0
        self.preferred_taken = 0
        self.preferred_full = 0

    def select(self, now: int, request: Request) -> Endpoint | None:
        """Returns the endpoint of the request's next attempt, or None if no endpoint may take it.

        Args:
            now: The time in microseconds.
            request: The request.
        """
        urgent = self.priority.urgent[request.class_index]
        if (
            request.executed_by is not None
            and request.idempotency == Idempotency.WITH_KEY
        ):
            return self.draw_in_scope(now, request, urgent)
        if self.outliers.ejected:
            trial = self.draw_trial(now, request, urgent)
            if trial is not None:
                return trial
        if request.preferred_endpoints and request.attempts == 0:
            preferred = self.draw_preferred(now, request, urgent)
            if preferred is not None:
                return preferred
        if self.zones.decision.shares:
            return self.draw_by_zone(now, urgent)
        if (
            self.spill.enabled
            and self.subset.local
            and self.context.rng.random() >= self.spill.share
        ):
            local = self.draw_two(now, self.subset.local, urgent)
            if local is not None:
                return local
        return self.draw_two(now, self.subset.eligible, urgent)

    # ---- groups of candidates ----

    def draw_trial(self, now: int, request: Request, urgent: bool) -> Endpoint | None:
        """Returns an ejected endpoint whose trial is due and starts the trial, or returns None."""
        for endpoint in self.outliers.trial_candidates(now, request.idempotency):
            if self.slow_start.may_send(now, endpoint, urgent):
                self.outliers.start_trial(now, endpoint)
                return endpoint
        return None

    def draw_preferred(
        self, now: int, request: Request, urgent: bool
    ) -> Endpoint | None:
        """Returns an endpoint whose cache may hold the requested data, while it has capacity, or None.

        Without the bound on its calls, all requests for one key would wait at its preferred endpoints, two by
        default, while the others are idle.
        """
        member_share = self.limit.allowed() / max(1, len(self.subset.eligible))
        max_calls = max(MIN_PREFERRED_CALLS, PREFERRED_LIMIT_RATIO * member_share)
        zones = {zone for zone, share in self.zones.decision.shares if share > 0}
        endpoints = self.table.endpoints
        known = [
            endpoints[number]
            for number in request.preferred_endpoints
            if number in endpoints
        ]
        pool = [
            endpoint
            for endpoint in known
            if endpoint.is_member
            and not endpoint.outside_limit
            and endpoint.in_flight < max_calls
            and (not zones or endpoint.zone in zones)
        ]
        endpoint = self.draw_two(now, pool, urgent)
        if endpoint is None:
            self.preferred_full += 1
        else:
            self.preferred_taken += 1
        return endpoint

    def draw_by_zone(self, now: int, urgent: bool) -> Endpoint | None:
        """Returns an endpoint of a zone that is drawn by the decision's shares.

        If that zone has no endpoint that may take the call, the other zones follow in order of preference.
        While the decision rejects calls there is no such fallback, because it would send a zone the calls
        that the spill limit keeps out of it.
        """
        decision = self.zones.decision
        zones, shares = zip(*decision.shares, strict=True)
        (first,) = self.context.rng.choices(zones, shares)
        others = [zone for zone in zones if zone != first and not decision.reject]
        for zone in (first, *others):
            pool = self.subset.eligible_by_zone.get(zone, [])
            endpoint = self.draw_two(now, pool, urgent)
            if endpoint is not None:
                return endpoint
        return None

    def draw_in_scope(
        self, now: int, request: Request, urgent: bool
    ) -> Endpoint | None:
        """Returns an endpoint for a retry of a keyed request that may have run, or None.

        The endpoint shares the deduplication scope of the first one, so it discards the retry if it is a
        duplicate.
        """
        first = request.executed_by
        assert first is not None
        scope = request.settings.classes[request.class_index].deduplication_scope
        pool = [
            endpoint
            for _, endpoint in sorted(self.table.endpoints.items())
            if endpoint is not first
            and endpoint.listed
            and not endpoint.outside_limit
            and (0, endpoint.zone, endpoint.cell)[scope] == request.scope_ids[scope]
        ]
        if not pool:
            # Each such retry adds endpoints to the table, so idle ones are dropped first.
            self.table.forget_idle()
            listed = self.subset.endpoint_list.in_scope(
                scope,
                *request.scope_ids[1:],
                self.context.rng.random(),
                MAX_SCOPE_CANDIDATES,
            )
            pool = [
                self.table.get_or_create(now, each)
                for each in listed
                if each.id != first.id
            ]
        return self.draw_two(now, pool, urgent)

    # ---- the draw ----

    def draw_two(self, now: int, pool: list[Endpoint], urgent: bool) -> Endpoint | None:
        """Returns the less loaded of two random endpoints of the pool, or None if none may be sent a call.

        The second endpoint wins only if its load is lower by more than the factor `tie_ratio`. If that were 1
        while weights are known, then among idle members all calls would go to the one that happened to answer
        faster recently. After MAX_PAIR_DRAWS pairs the first endpoint of the pool that may be sent a call is
        returned.

        Args:
            now: The time in microseconds.
            pool: The candidates.
            urgent: Whether some class has a lower priority than that of the request.
        """
        may_send = self.slow_start.may_send
        if len(pool) <= 1:
            return pool[0] if pool and may_send(now, pool[0], urgent) else None
        eject_if_silent = self.outliers.eject_if_silent
        mean_rtt = min(self.latency.mean_rtt)
        for _ in range(MAX_PAIR_DRAWS):
            better = self.pick(now, pool, mean_rtt)
            worse = self.pick(now, pool, mean_rtt, better)
            worse_load = worse.load(now, mean_rtt)
            if worse_load * self.tie_ratio < better.load(now, mean_rtt):
                better, worse = worse, better
            # Both are checked for silence before either may be sent the call.
            worse_silent = eject_if_silent(now, worse)
            if not eject_if_silent(now, better) and may_send(now, better, urgent):
                return better
            if not worse_silent and may_send(now, worse, urgent):
                return worse
        for endpoint in pool:
            if not endpoint.ejected and may_send(now, endpoint, urgent):
                return endpoint
        return None

    def pick(
        self,
        now: int,
        pool: list[Endpoint],
        mean_rtt: float,
        other: Endpoint | None = None,
    ) -> Endpoint:
        """Returns a random endpoint of the pool other than `other`.

        An endpoint is accepted with a probability of its weight, divided by its slowness if that is above 1.
        Without this, two slow endpoints of a small subset would be drawn together every few calls. After
        MAX_SKIPS picks the endpoint picked last is returned; if that is `other`, picking starts again.

        Args:
            now: The time in microseconds.
            pool: The candidates; at least two.
            mean_rtt: The mean round-trip time of the class with the shortest one, in microseconds.
            other: The endpoint that was drawn first, if any.
        """
        random = self.context.rng.random
        while True:
            for _ in range(MAX_SKIPS):
                endpoint = pool[int(random() * len(pool))]
                if endpoint is other:
                    continue
                if random() * max(1.0, endpoint.slowness(now, mean_rtt)) < (
                    endpoint.weight
                ):
                    return endpoint
            if endpoint is not other:
                return endpoint
