"""Adapts the share of calls that leave the own zone where no zone policy decides.

Calls stay in their zone where crossing zones has a cost. They leave it only to the extent that its endpoints
are slower than the others, so that endpoints of one zone are not overloaded while those of another are idle.
"""

from __future__ import annotations

from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.statistics import ENDPOINT_SMOOTHING, SUBSET_SMOOTHING

# Calls stay in their zone if the cost of crossing zones, a fraction of a call's value, is at least this.
MIN_CROSSING_COST = 0.01
# Fraction of the imbalance by which a window changes the share.
SPILL_GAIN = 0.1
# Largest change of the share in one window.
MAX_SPILL_STEP = 0.04
# Below this share too few calls leave the zone to learn the latency of the other zones.
UNVISITED_SHARE = 0.05
# Factor by which the best latency ratio rises in each window, so that an old one is forgotten slowly.
BEST_RATIO_GROWTH = 1.001
# Relative slowdown that is tolerated per unit of crossing cost: a call that takes twice as long is assumed
# to lose a tenth of its value.
SLOWDOWN_PER_COST = 10


class ZoneSpill:
    """Decides how much of its traffic this instance sends to other zones.

    Attributes:
        enabled: Whether calls prefer the own zone. If not, they go to the endpoints of all zones alike.
        share: The fraction of calls that may leave the own zone: they go to members of all zones alike.
        floor: The smallest value of `share`.
        local_ratio: The mean latency of the own zone's endpoints, relative to the target.
        remote_ratio: The mean latency of the other zones' endpoints, relative to the target.
        best_ratio: The lowest recent `local_ratio`; 0 if unknown.
    """

    def __init__(self, context: PolicyContext, has_zone_policy: bool) -> None:
        """Starts with all calls in the own zone, or with calls to all zones alike.

        Args:
            context: The settings.
            has_zone_policy: Whether a zone policy decides between zones.
        """
        self.context = context
        self.enabled = self.should_enable(has_zone_policy)
        self.share = 0.0 if self.enabled else 1.0
        self.floor = self.share
        self.local_ratio, self.remote_ratio, self.best_ratio = 0.5, 0.5, 0.0

    def should_enable(self, has_zone_policy: bool) -> bool:
        """Returns whether calls prefer their zone, for the cost of crossing zones or for a zone policy."""
        cost = self.context.settings.cross_zone_cost
        return has_zone_policy or cost >= MIN_CROSSING_COST

    def update(self, has_zone_policy: bool) -> None:
        """Applies changed settings and a zone policy that was added or removed."""
        if self.enabled != self.should_enable(has_zone_policy):
            self.enabled = not self.enabled
            self.share = self.floor = 0.0 if self.enabled else 1.0

    def update_floor(self, local: int, eligible: int) -> None:
        """Sets the smallest share to the fraction of this instance's calls that the own zone cannot take.

        A zone is assumed to take the same fraction of all calls as it has of the endpoints, all instances to
        send the same load, and this instance to be the only one in its zone. Without the floor, a zone with
        few endpoints would have to take all calls of the only instance in that zone.

        Args:
            local: Members of the own zone that may be drawn.
            eligible: All members that may be drawn; above 0.
        """
        servable_fraction = local * self.context.settings.instances / eligible
        self.floor = max(0.0, 1 - servable_fraction)
        self.share = max(self.share, self.floor)

    def add_latency(self, zone: int, target_ratio: float) -> None:
        """Records the latency of a round trip.

        Args:
            zone: The zone of the endpoint.
            target_ratio: The round-trip time, relative to the target of the request's class.
        """
        if zone == self.context.settings.zone:
            self.local_ratio += SUBSET_SMOOTHING * (target_ratio - self.local_ratio)
        else:
            self.remote_ratio += SUBSET_SMOOTHING * (target_ratio - self.remote_ratio)

    def adapt(self) -> None:
        """Adjusts the share by the imbalance of latency at the end of a window.

        While hardly any call leaves the zone, the other zones are assumed to be as fast as this zone was at
        its best.
        """
        if self.local_ratio < self.best_ratio or self.best_ratio == 0:
            self.best_ratio = self.local_ratio
        if self.share < UNVISITED_SHARE:
            self.remote_ratio += ENDPOINT_SMOOTHING * (
                self.best_ratio - self.remote_ratio
            )
        self.best_ratio *= BEST_RATIO_GROWTH
        tolerated_slowdown = (
            1 + SLOWDOWN_PER_COST * self.context.settings.cross_zone_cost
        )
        imbalance = self.local_ratio / max(self.remote_ratio, 1e-9) - tolerated_slowdown
        step = SPILL_GAIN * imbalance
        self.share += min(MAX_SPILL_STEP, max(-MAX_SPILL_STEP, step))
        self.share = min(1.0, max(self.floor, self.share))
