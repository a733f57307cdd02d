"""Divides one instance's calls between zones, and rejects the calls that no zone has capacity for.

The order of preference is the own zone, then near zones, then far zones. Load that exceeds the own zone's
capacity spills to the next zones, up to a configured fraction of their capacity. The remaining excess is
rejected at once, lowest priority weight per cost first. `zone_recovery` describes how a lost zone returns.

Every instance decides from the shared endpoint list and from its own load and failures, without exchanging
messages. Where a zone is short of usable endpoints, the instances of that zone spill, and the instances of
other zones leave the spare capacity to them.

This module uses no I/O, clock or randomness. Times are in microseconds. docs/zones.md is for operators.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.policy.api import ZoneDecision, ZoneObservation
from loadbalancer.policy.excess_rejection import rejected_parts
from loadbalancer.policy.zone_recovery import SHORT_RATIO, Zone

US_PER_SECOND = 1e6
# Smoothing time of an instance's load.
LOAD_SMOOTHING_US = 2_000_000
# Smoothing time of the rate at which an instance sends calls to its own zone.
LOCAL_RATE_SMOOTHING_US = 5_000_000
# The own zone has to be observed healthy for this long before calls are divided, unless operators set a rate.
MIN_OBSERVED_TIME_US = 10_000_000
# Smoothing time of the usual load.
USUAL_LOAD_SMOOTHING_US = 30_000_000
# Fractions per second by which the assumed rate of an endpoint is raised or lowered.
RATE_INCREASE_PER_S, RATE_DECREASE_PER_S = 0.05, 0.1
# A load above this multiple of the usual load counts as increased.
INCREASED_LOAD_RATIO = 1.15
# Late calls are attributed to load above this fraction of the proven rate.
OVERLOAD_RATE_RATIO = 0.8
# Fraction per second by which the proven rate falls during overload.
PROVEN_RATE_DECREASE_PER_S = 0.05
# The assumed rate goes up to this multiple of the proven rate.
HEADROOM_RATIO = 1.25
# A smaller excess, as a fraction of the load, is left to the concurrency limit.
MIN_REJECTED_RATIO = 0.03
MIN_DIVISOR = 1e-9  # replaces a divisor of 0


@dataclass(frozen=True)
class ZoneFailoverRules:
    """The operator's settings for failover between zones.

    Zones are identified by number, and times are in microseconds.

    Attributes:
        near: The near zones. Every other zone is far.
        spill_limit: The fraction of a zone's capacity that calls from all other zones may take together.
        panic_below: Panic starts when the fraction of healthy endpoints falls below this value. During a
            panic no endpoint is avoided.
        panic_until: Panic stops when the fraction of healthy endpoints reaches this value.
        return_time: The length of the recovery ramp after a zone's first loss.
        calm_time: The time without a loss after which earlier losses no longer count.
        server_rate: Calls per second that one warm endpoint can take; 0 to learn the rate.
    """

    near: frozenset[int] = frozenset()
    spill_limit: float = 0.25
    panic_below: float = 0.5
    panic_until: float = 0.7
    return_time: int = 10_000_000
    calm_time: int = 120_000_000
    server_rate: float = 0.0


class ZoneFailover:
    """Decides how one instance divides its calls between zones. Implements `api.ZoneFailoverPolicy`.

    Attributes:
        rules: The operator's settings.
        own_zone: The zone of this instance.
        zones: The state of each zone, by number.
        panic: Whether so few endpoints are healthy that none is avoided.
        decided_at: The time of the last decision, in microseconds.
        observed_time: How long the own zone has been observed healthy and steady, in microseconds.
        endpoint_rate: Calls per second that one warm endpoint is assumed to take from all instances; 0 while
            unknown.
        proven_rate: The highest rate that a warm endpoint has served well, in calls per second.
        local_rate: Calls per second that this instance sends to its own zone.
        load: Calls per second that arrive at this instance.
        class_loads: Calls per second that arrive at this instance, by class.
        usual_load: Calls per second that arrive at this instance while no zone is short of endpoints.
        usual_load_time: How long the usual load has been learned, in microseconds.
        spilled_share: The fraction of the load that goes to other zones.
        rejected_share: The fraction of the load that is rejected.
        approval_required: Whether a zone needs an approval to return.
        awaiting_approval: The zones that wait for an approval to return, each with the number of endpoints
            that were usable before.
        approved_returns: The zones whose return has been approved.
    """

    def __init__(self, rules: ZoneFailoverRules, own_zone: int) -> None:
        """Starts with no known zone.

        Args:
            rules: The operator's settings.
            own_zone: The zone of this instance.
        """
        self.rules = rules
        self.own_zone = own_zone
        self.zones: dict[int, Zone] = {}
        self.panic = False
        self.decided_at: int | None = None
        self.observed_time = 0
        self.endpoint_rate = rules.server_rate
        self.proven_rate = 0.0
        self.local_rate = 0.0
        self.load = 0.0
        self.class_loads: list[float] = []
        self.usual_load = 0.0
        self.usual_load_time = 0
        self.spilled_share = 0.0
        self.rejected_share = 0.0
        self.approval_required = False
        self.awaiting_approval: dict[int, float] = {}
        self.approved_returns: set[int] = set()

    def update_rules(self, rules: ZoneFailoverRules) -> None:
        """Replaces the rules and keeps what was learned about zones, load and endpoints."""
        self.rules = rules
        self.endpoint_rate = rules.server_rate or HEADROOM_RATIO * self.proven_rate

    def decide(self, now: int, observation: ZoneObservation) -> ZoneDecision:
        """Returns the decision that holds until the next call.

        Args:
            now: The time in microseconds.
            observation: The counts since the previous decision and the present state of the endpoints.
        """
        elapsed = 0 if self.decided_at is None else now - self.decided_at
        self.decided_at = now
        for number in observation.ready:
            self.zones.setdefault(number, Zone())
        self.update_panic(observation)
        for number in self.zones:
            self.update_zone(now, elapsed, number, observation)
        if self.own_zone not in self.zones or elapsed <= 0:
            return ZoneDecision((), (), self.panic)
        self.update_load(elapsed, observation)
        # Assumes that instances are spread evenly over the zones.
        instances_per_zone = max(1.0, observation.instances / len(self.zones))
        self.learn_endpoint_rate(now, elapsed, observation, instances_per_zone)
        learned = self.observed_time >= MIN_OBSERVED_TIME_US or self.rules.server_rate
        if self.endpoint_rate <= 0 or not learned:
            # An instance that has just started would mistake the low rate it has observed for the capacity.
            return ZoneDecision((), (), self.panic)
        return self.divide_load(observation, instances_per_zone)

    # ---- state of the zones ----

    def update_panic(self, observation: ZoneObservation) -> None:
        """Starts or stops the panic, in which no endpoint is avoided for being unhealthy.

        Where most endpoints fail, for a shared fault or through a wrong measurement, avoiding them would
        overload the few that are left, until those fail as well. Panic stops at a higher healthy fraction
        than the one at which it starts.
        """
        ready = sum(observation.ready.values())
        unhealthy = sum(
            count * observation.unhealthy.get(number, 0.0)
            for number, count in observation.ready.items()
        )
        if ready:
            rules = self.rules
            threshold = rules.panic_until if self.panic else rules.panic_below
            self.panic = 1 - unhealthy / ready < threshold

    def update_zone(
        self, now: int, elapsed: int, number: int, observation: ZoneObservation
    ) -> None:
        """Updates the size, the loss and the usable endpoints of a zone."""
        zone = self.zones[number]
        listed = observation.ready.get(number, 0)
        warm = observation.warm.get(number, 0.0)
        if not self.panic:
            warm *= 1.0 - observation.unhealthy.get(number, 0.0)
        zone.observe_size(now, listed)
        self.update_loss(now, number, listed)
        zone.update_endpoints(now, elapsed, listed, warm, self.rules.return_time)
        if number in self.awaiting_approval:
            previously_usable = self.awaiting_approval[number]
            zone.usable_endpoints = min(zone.usable_endpoints, previously_usable)

    def update_loss(self, now: int, number: int, listed: int) -> None:
        """Marks a zone as lost or as returned, by the number of its listed endpoints."""
        zone = self.zones[number]
        if zone.lost and zone.has_most(listed):
            if self.admit_return(number):
                zone.start_recovery(now)
        elif zone.lost:
            self.clear_return_approval(number)
        elif zone.usual_endpoints and not zone.has_most(listed):
            zone.mark_lost(now, self.rules.calm_time)

    def admit_return(self, number: int) -> bool:
        """Decides whether a zone whose endpoints are listed again may take calls.

        If it may not, the zone awaits an approval from now on. If it may, its approval is consumed.

        A zone that would take over calls from a lost zone needs no approval; otherwise those calls would be
        rejected while this zone's endpoints are idle.
        """
        needed = any(
            zone.lost and other not in self.awaiting_approval
            for other, zone in self.zones.items()
            if other != number
        )
        approved = number in self.approved_returns
        if self.approval_required and not needed and not approved:
            usable_endpoints = self.zones[number].usable_endpoints
            self.awaiting_approval.setdefault(number, usable_endpoints)
            return False
        self.clear_return_approval(number)
        return True

    def clear_return_approval(self, number: int) -> None:
        """Clears a zone's pending or granted approval to return."""
        self.awaiting_approval.pop(number, None)
        self.approved_returns.discard(number)

    def any_zone_short(self) -> bool:
        """Returns whether some zone is short of usable endpoints, as listed, warm, healthy and recovered."""
        return any(zone.is_short for zone in self.zones.values())

    # ---- load and rates ----

    def update_load(self, elapsed: int, observation: ZoneObservation) -> None:
        """Updates the smoothed load of this instance, by class and in total, and the usual load."""
        counts, loads = observation.requests_by_class, self.class_loads
        weight = min(1.0, elapsed / LOAD_SMOOTHING_US)
        loads += [0.0] * (len(counts) - len(loads))
        del loads[len(counts) :]
        for index, count in enumerate(counts):
            loads[index] += weight * (count * US_PER_SECOND / elapsed - loads[index])
        self.load = sum(loads)
        if not self.any_zone_short():
            self.usual_load_time = min(
                USUAL_LOAD_SMOOTHING_US, self.usual_load_time + elapsed
            )
            weight = elapsed / self.usual_load_time
            self.usual_load += weight * (self.load - self.usual_load)

    def learn_endpoint_rate(
        self,
        now: int,
        elapsed: int,
        observation: ZoneObservation,
        instances_per_zone: float,
    ) -> None:
        """Learns the rate that one warm endpoint can take: the proven rate, and tentatively more."""
        attempts = observation.attempts_by_zone.get(self.own_zone, 0)
        weight = min(1.0, elapsed / LOCAL_RATE_SMOOTHING_US)
        self.local_rate += weight * (
            attempts * US_PER_SECOND / elapsed - self.local_rate
        )
        if self.rules.server_rate > 0:
            return
        seconds = min(1.0, elapsed / US_PER_SECOND)
        overloaded = False
        if self.is_steady(now, observation):
            endpoints = self.zones[self.own_zone].usable_endpoints
            rate = self.local_rate * instances_per_zone / endpoints
            if observation.healthy:
                self.raise_proven_rate(elapsed, rate)
            elif rate > OVERLOAD_RATE_RATIO * self.proven_rate:
                # Queues grow slowly: a rate that is too high looked healthy for some seconds.
                overloaded = True
                self.proven_rate *= 1 - PROVEN_RATE_DECREASE_PER_S * seconds
        was_exceeded = self.rejected_share > 0 or self.spilled_share > 0
        if overloaded or (was_exceeded and any(observation.attempts_by_zone.values())):
            ratio = RATE_INCREASE_PER_S if observation.healthy else -RATE_DECREASE_PER_S
            rate = max(self.proven_rate, self.endpoint_rate * (1 + ratio * seconds))
            self.endpoint_rate = min(HEADROOM_RATIO * self.proven_rate, rate)

    def is_steady(self, now: int, observation: ZoneObservation) -> bool:
        """Returns whether the own zone's listed endpoints are healthy, warm and stable in number.

        A rate that was sent to ten endpoints a moment ago is not what the three that are left can take.
        """
        zone = self.zones[self.own_zone]
        resized_at = zone.resized_at
        settled = resized_at is None or now - resized_at > 2 * LOCAL_RATE_SMOOTHING_US
        listed = observation.ready.get(self.own_zone, 0)
        return settled and zone.usable_endpoints >= max(1.0, SHORT_RATIO * listed)

    def raise_proven_rate(self, elapsed: int, rate: float) -> None:
        """Records that the own zone's endpoints were healthy at this rate.

        Args:
            elapsed: The time for which they served it, in microseconds.
            rate: Calls per second to one endpoint.
        """
        self.observed_time += elapsed
        self.proven_rate = max(self.proven_rate, rate)
        tried_rate = HEADROOM_RATIO * self.proven_rate
        self.endpoint_rate = max(self.endpoint_rate, tried_rate)

    # ---- division of the load ----

    def divide_load(
        self, observation: ZoneObservation, instances_per_zone: float
    ) -> ZoneDecision:
        """Fills the own zone, then near zones, then far zones, and rejects the rest."""
        load, own = self.load, self.zones[self.own_zone]
        capacity = own.usable_endpoints * self.endpoint_rate / instances_per_zone
        all_healthy = observation.healthy and not self.any_zone_short()
        was_exceeded = self.spilled_share + self.rejected_share > 0
        self.spilled_share = self.rejected_share = 0.0
        if load <= capacity or (all_healthy and not was_exceeded):
            return ZoneDecision(self.preference(), (), self.panic)
        shares = {self.own_zone: capacity / load}
        unserved = self.spill(shares, load - capacity, instances_per_zone)
        self.spilled_share = sum(
            share for number, share in shares.items() if number != self.own_zone
        )
        if not observation.may_reject or all_healthy:
            # A peak that this zone can take must not be rejected merely because none has been observed yet.
            # Below the first tier nothing is rejected, because upstream tiers have already worked on the
            # calls; the excess waits here.
            shares[self.own_zone] += unserved / load
        elif unserved / load > MIN_REJECTED_RATIO:
            self.rejected_share = unserved / load
        served = sum(shares.values())
        parts: tuple[tuple[int, float], ...] = ()
        if served > 0:
            parts = tuple((number, share / served) for number, share in shares.items())
        reject = rejected_parts(
            self.class_loads,
            observation.cost_by_class,
            observation.priority_weights,
            self.rejected_share,
        )
        rate = self.endpoint_rate / instances_per_zone
        return ZoneDecision(parts, reject, self.panic, rate)

    def spill(
        self, shares: dict[int, float], unserved: float, instances_per_zone: float
    ) -> float:
        """Adds the other zones' shares of this instance's load.

        Args:
            shares: The fraction of the load that each zone takes; extended in place.
            unserved: Calls per second that exceed the own zone's capacity.
            instances_per_zone: Instances of a zone, which are assumed to send as much as this one.

        Returns:
            Calls per second that no zone takes.
        """
        # `demand` is the load per usual endpoint, assuming that every zone is as busy for its size as this
        # one. If another zone is short and the load here increases, that zone has lost its instances too,
        # and the load increases in every zone. If this zone is short, the load increases because clients
        # retry the calls that are rejected here, so the usual load counts.
        own = self.zones[self.own_zone]
        load_increased = (
            self.any_zone_short()
            and not own.is_short
            and self.load > INCREASED_LOAD_RATIO * self.usual_load
        )
        load = self.load if load_increased else self.usual_load
        demand = load * instances_per_zone / max(own.usual_endpoints, MIN_DIVISOR)
        demand_known = load_increased or self.rules.server_rate > 0
        own_share = self.share_of_excess(unserved * instances_per_zone, demand)
        for group in self.zone_groups():
            capacity = {}
            for number in group:
                use_demand = demand_known or self.zones[number].is_short
                free = self.spill_capacity(number, demand if use_demand else 0.0)
                capacity[number] = free * own_share / instances_per_zone
            total = sum(capacity.values())
            taken = min(unserved, total)
            for number in group:
                part = capacity[number] / max(total, MIN_DIVISOR)
                shares[number] = part * taken / self.load
            unserved -= taken
        return unserved

    def share_of_excess(self, own_excess: float, demand: float) -> float:
        """Returns this zone's fraction of the excess of all zones.

        The excess of the other zones is estimated from the endpoint list.

        Args:
            own_excess: Calls per second that exceed the capacity of this zone.
            demand: Calls per second for each usual endpoint of a zone.
        """
        other_excess = sum(
            max(
                0.0,
                demand * zone.usual_endpoints
                - zone.usable_endpoints * self.endpoint_rate,
            )
            for number, zone in self.zones.items()
            if number != self.own_zone and zone.is_short
        )
        return own_excess / (own_excess + other_excess)

    def spill_capacity(self, number: int, demand: float) -> float:
        """Returns the calls per second that a zone takes from all others together.

        The result is bounded by the spill limit and by the zone's free capacity. The free capacity is known
        where operators configure the rate of an endpoint, where the load has increased in all zones, and in
        a zone that is short. Otherwise the rate served so far does not show it: `demand` is then 0, only the
        limit applies, and the limit falls with the estimated rate while calls are late.

        Args:
            number: The zone.
            demand: Calls per second of its own for each usual endpoint of the zone, or 0 if unknown.
        """
        zone = self.zones[number]
        capacity = zone.usable_endpoints * self.endpoint_rate
        free = capacity - demand * zone.usual_endpoints
        return max(0.0, min(self.rules.spill_limit * capacity, free))

    def zone_groups(self) -> list[list[int]]:
        """Returns the near zones and the far zones, each group sorted by number."""
        others = sorted(number for number in self.zones if number != self.own_zone)
        return [
            [number for number in others if number in self.rules.near],
            [number for number in others if number not in self.rules.near],
        ]

    def preference(self) -> tuple[tuple[int, float], ...]:
        """Returns all zones in order of preference, with the own zone taking all calls."""
        order = [
            self.own_zone,
            *(number for group in self.zone_groups() for number in group),
        ]
        return tuple((number, float(number == self.own_zone)) for number in order)

    def metrics(self) -> dict[str, float]:
        """Returns the assumed rate of an endpoint and the spilled and rejected shares, for operators."""
        return {
            "zone_bear": self.endpoint_rate,
            "zone_spilled": self.spilled_share,
            "zone_excess": self.rejected_share,
        }
