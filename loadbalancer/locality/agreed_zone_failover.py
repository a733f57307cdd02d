"""A zone failover policy that follows the agreed state of zones.

Without an agreed state it behaves exactly like its base class in `policy.zone_failover`. The capacity of
endpoints, this instance's load and the listed endpoints are learned by the base class; the health of zones
comes from the agreed state alone. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from loadbalancer.locality.quota import ZoneCapacity, all_levels_lost, plan_quotas
from loadbalancer.policy.api import ZoneDecision, ZoneObservation
from loadbalancer.policy.excess_rejection import rejected_parts
from loadbalancer.policy.zone_failover import ZoneFailover

MIN_LOAD_PER_S = 1e-9  # calls a second; avoids a division by 0
MIN_EXCESS_RATIO = 1e-6  # a smaller excess is a rounding error


@dataclass(frozen=True, slots=True)
class AgreedView:
    """The agreed state as this node holds it, by zone number; rates are calls a second, ratios from 0 to 1.

    Attributes:
        health: The fraction of each zone that is in use.
        load: The load of the reporting nodes, by their zone.
        regions: The region of each zone.
        nodes: The number of known nodes, including dead ones.
        load_outside: By zone, the load of all known nodes of other zones; None if a majority is reachable.
        capacity: The capacity of zones for which operators state one.
        spill: The fraction of a zone's capacity that calls from other zones may take, if stated.
        trial_ratio: The fraction of a failed zone's own calls that is sent to it to detect its return.
    """

    health: Mapping[int, float]
    load: Mapping[int, float]
    regions: Mapping[int, str]
    nodes: int
    load_outside: Mapping[int, float] | None = None
    capacity: Mapping[int, float] = field(default_factory=dict)
    spill: Mapping[int, float] = field(default_factory=dict)
    trial_ratio: float = 0.05


class AgreedZoneFailover(ZoneFailover):
    """Divides one instance's calls among zones by the agreed state.

    Attributes:
        view: The agreed state; None while there is none.
        warm_endpoints: Warm endpoints of each zone, without the reduction during a recovery ramp.
        observed_unhealthy: By zone, the fraction of endpoints that this instance finds unhealthy.
    """

    view: AgreedView | None = None
    warm_endpoints: Mapping[int, float] = {}
    observed_unhealthy: Mapping[int, float] = {}

    def decide(self, now: int, observation: ZoneObservation) -> ZoneDecision:
        """Returns the decision that applies until the next call.

        Args:
            now: The present time, in microseconds.
            observation: What this instance has observed since the last call.
        """
        self.observed_unhealthy, self.warm_endpoints = (
            observation.unhealthy,
            observation.warm,
        )
        view = self.view
        if view is None:
            return super().decide(now, observation)
        # An isolated node sees itself as the only instance, and must not use all capacity alone.
        instances = max(observation.instances, view.nodes)
        return super().decide(
            now, replace(observation, unhealthy={}, instances=instances)
        )

    def update_panic(self, observation: ZoneObservation) -> None:
        """Panics as Envoy does: if all priority levels lack health and too little capacity is healthy."""
        if self.view is None:
            super().update_panic(observation)
            return
        zones = self.capacities(self.view)
        total = sum(zone.capacity for zone in zones.values())
        if self.own_zone not in zones or total <= 0:
            return
        healthy = sum(zone.health * zone.capacity for zone in zones.values()) / total
        rules = self.rules
        threshold = rules.panic_until if self.panic else rules.panic_below
        self.panic = healthy < threshold and all_levels_lost(zones, self.own_zone)

    def learn_endpoint_rate(
        self,
        now: int,
        elapsed: int,
        observation: ZoneObservation,
        instances_per_zone: float,
    ) -> None:
        """Learns the rate that an endpoint can take, unless the own zone is unhealthy.

        A zone that does not respond would look overloaded, and endpoints of the zones that should take over
        its calls would be assumed to take as little.
        """
        if self.view is None or self.view.health.get(self.own_zone, 1.0) >= 1:
            super().learn_endpoint_rate(now, elapsed, observation, instances_per_zone)

    def capacities(self, view: AgreedView) -> dict[int, ZoneCapacity]:
        """Returns the capacity and load of all zones, by number, for `plan_quotas`."""
        by_number = {}
        for number, zone in self.zones.items():
            warm = max(self.warm_endpoints.get(number, 0.0), zone.usable_endpoints)
            capacity = warm * self.endpoint_rate
            if number in view.capacity and zone.usual_endpoints > 0:
                capacity = view.capacity[number] * warm / zone.usual_endpoints
            # Endpoints that return to the list are already reduced; the state does not reduce them again.
            listed = zone.usable_endpoints / warm if warm > 0 else 0.0
            load = view.load.get(number, 0.0)
            by_number[number] = ZoneCapacity(
                region=view.regions.get(number) or f"zone {number}",
                capacity=capacity,
                health=min(listed, view.health.get(number, 1.0)),
                load=max(load, self.load) if number == self.own_zone else load,
                spill=view.spill.get(number, self.rules.spill_limit),
                is_stated=self.rules.server_rate > 0 or number in view.capacity,
            )
        return by_number

    def divide_load(
        self, observation: ZoneObservation, instances_per_zone: float
    ) -> ZoneDecision:
        """Decides by the plan that all nodes compute alike.

        The base class decides while all zones are healthy and most nodes are reachable.
        """
        view = self.view
        if view is None:
            return super().divide_load(observation, instances_per_zone)
        all_healthy = all(view.health.get(number, 1.0) >= 1 for number in self.zones)
        if all_healthy and view.load_outside is None:
            return super().divide_load(observation, instances_per_zone)
        zones = self.capacities(view)
        if self.panic:
            zones = {n: replace(zone, health=1.0) for n, zone in zones.items()}
        shares = self._planned_shares(view, zones)
        unassigned = max(0.0, 1.0 - sum(shares.values()))
        self.spilled_share = sum(
            s for number, s in shares.items() if number != self.own_zone
        )
        self.rejected_share = 0.0
        if not observation.may_reject or self.panic:
            shares[self.own_zone] += unassigned
        elif unassigned > MIN_EXCESS_RATIO:
            self.rejected_share = unassigned
        elif zones[self.own_zone].health <= 0:
            # Without trial calls to a failed zone no node would detect its return.
            shares = {n: share * (1 - view.trial_ratio) for n, share in shares.items()}
            shares[self.own_zone] += view.trial_ratio
        return self._decision(observation, instances_per_zone, shares, zones)

    def _planned_shares(
        self, view: AgreedView, zones: Mapping[int, ZoneCapacity]
    ) -> dict[int, float]:
        """Returns the fraction of the own zone's calls that each zone takes."""
        load, spare = max(zones[self.own_zone].load, MIN_LOAD_PER_S), None
        if view.load_outside is not None:
            # Each side of a partition would use all spare capacity. In a minority each node uses only the
            # fraction that it would have if all known nodes had the same need.
            spare = {
                number: zone.spare
                * load
                / max(view.load_outside.get(number, 0.0), load)
                for number, zone in zones.items()
                if number != self.own_zone
            }
            zones = {
                number: zone if number == self.own_zone else replace(zone, load=0.0)
                for number, zone in zones.items()
            }
        rates = plan_quotas(zones, spare)[self.own_zone]
        return {number: rate / load for number, rate in rates.items()}

    def _decision(
        self,
        observation: ZoneObservation,
        instances_per_zone: float,
        shares: Mapping[int, float],
        zones: Mapping[int, ZoneCapacity],
    ) -> ZoneDecision:
        """Returns the decision for the fractions of calls that zones take, with the classes to reject."""
        served = sum(shares.values())
        order = [
            number for number in self.zones_by_preference(zones) if number in shares
        ]
        parts = tuple((n, shares[n] / served) for n in order) if served else ()
        if not self.rejected_share:
            return ZoneDecision(
                parts, (), self.panic, self.endpoint_rate / instances_per_zone
            )
        reject = rejected_parts(
            self.class_loads,
            observation.cost_by_class,
            observation.priority_weights,
            self.rejected_share,
        )
        return ZoneDecision(
            parts, reject, self.panic, self.endpoint_rate / instances_per_zone
        )

    def zones_by_preference(self, zones: Mapping[int, ZoneCapacity]) -> list[int]:
        """Returns the zones by preference: the own zone, then those of its region, then the others."""
        region = zones[self.own_zone].region
        return sorted(
            zones, key=lambda n: (n != self.own_zone, zones[n].region != region, n)
        )

    def zone_groups(self) -> list[list[int]]:
        """Returns the other zones of the own region, and the zones of other regions."""
        view = self.view
        if view is None or not any(view.regions.values()):
            return super().zone_groups()
        zones = self.capacities(view)
        others = [
            number
            for number in self.zones_by_preference(zones)
            if number != self.own_zone
        ]
        region = zones[self.own_zone].region
        return [
            [n for n in others if (zones[n].region == region) is same_region]
            for same_region in (True, False)
        ]
