"""Divides the calls of all zones among them by capacity and load: every node computes the same plan.

A zone keeps as many of its calls as Envoy's priority levels would let it keep: its healthy fraction times the
overprovisioning factor (1.4, so that a zone that is 71 percent healthy keeps all), and no more than its
capacity. The rest goes to the zones of its region, and to other regions only where those of its own region
have no spare capacity. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

OVERPROVISIONING = 1.4  # factor on the healthy ratio; Envoy's default
PASSES_PER_TIER = 2  # a second pass divides the spare capacity left by the first

Rates = dict[int, dict[int, float]]  # calls a second, by source and target zone


@dataclass(frozen=True, slots=True)
class ZoneCapacity:
    """Capacity and load of one zone; rates in calls a second, ratios from 0 to 1.

    Attributes:
        region: The region of the zone.
        capacity: The load that the zone can take while all of it is healthy.
        health: The fraction of the zone that is in use.
        load: The load that the zone's own nodes receive.
        spill: The fraction of its capacity that calls from all other zones together may take.
        is_stated: Whether operators state the capacity. A learned capacity is only the load observed so far,
            so it does not show how much is spare.
    """

    region: str
    capacity: float
    health: float
    load: float
    spill: float
    is_stated: bool = True

    @property
    def kept(self) -> float:
        """The calls a second of its own load that the zone keeps."""
        return min(
            self.load,
            OVERPROVISIONING * self.health * self.load,
            self.health * self.capacity,
        )

    @property
    def spare(self) -> float:
        """The calls a second that the zone can take from other zones."""
        usable = self.health * self.capacity
        free = usable - self.kept if self.is_stated else usable
        return max(0.0, min(self.spill * usable, free))


@dataclass(slots=True)
class _Plan:
    """A plan that is being computed.

    Attributes:
        zones: All zones by number.
        rates: The calls a second that are assigned, by source and target zone.
        unassigned: The calls a second of each zone that have no target yet.
        spare: The spare capacity left in each zone, in calls a second.
    """

    zones: Mapping[int, ZoneCapacity]
    rates: Rates
    unassigned: dict[int, float]
    spare: dict[int, float]

    def fill(self, *, same_region: bool) -> None:
        """Divides the spare capacity of one tier among the zones in need, in proportion to their need."""
        wanted: Rates = {target: {} for target in self.zones}
        for source, need in self.unassigned.items():
            tier = self._tier(source, same_region)
            total = sum(self.spare[target] for target in tier)
            if need > 0 and total > 0:
                for target in tier:
                    wanted[target][source] = need * self.spare[target] / total
        for target, row in wanted.items():
            self._assign(target, row)

    def _tier(self, source: int, same_region: bool) -> list[int]:
        region = self.zones[source].region
        return [
            number
            for number, zone in self.zones.items()
            if number != source and (zone.region == region) is same_region
        ]

    def _assign(self, target: int, wanted: Mapping[int, float]) -> None:
        demand = sum(wanted.values())
        granted = min(1.0, self.spare[target] / demand) if demand > 0 else 0.0
        for source, rate in wanted.items():
            row = self.rates[source]
            row[target] = row.get(target, 0.0) + granted * rate
            self.unassigned[source] -= granted * rate
            self.spare[target] -= granted * rate


def plan_quotas(
    zones: Mapping[int, ZoneCapacity], spare: Mapping[int, float] | None = None
) -> Rates:
    """Returns the calls a second from each zone to each; calls that are in no row are to be rejected.

    Args:
        zones: All zones by number.
        spare: Replaces the zones' own spare capacity, in calls a second; a zone that is not in it has none.
    """
    plan = _Plan(
        zones,
        {number: {number: zone.kept} for number, zone in zones.items()},
        {number: zone.load - zone.kept for number, zone in zones.items()},
        {
            number: zone.spare if spare is None else spare.get(number, 0.0)
            for number, zone in zones.items()
        },
    )
    for same_region in (True, False):
        for _ in range(PASSES_PER_TIER):
            plan.fill(same_region=same_region)
    return plan.rates


def all_levels_lost(zones: Mapping[int, ZoneCapacity], own_zone: int) -> bool:
    """Returns whether the overprovisioned health of all priority levels sums to less than 1 (Envoy's panic).

    The levels are the own zone, the other zones of its region, and all other regions.
    """
    own = zones[own_zone]
    same_region: list[ZoneCapacity] = []
    other_regions: list[ZoneCapacity] = []
    for number, zone in zones.items():
        if number != own_zone:
            level = same_region if zone.region == own.region else other_regions
            level.append(zone)
    level_healths = [own.health]
    for level in (same_region, other_regions):
        capacity = sum(zone.capacity for zone in level)
        if capacity > 0:
            healthy = sum(zone.health * zone.capacity for zone in level)
            level_healths.append(healthy / capacity)
    return sum(OVERPROVISIONING * health for health in level_healths) < 1
