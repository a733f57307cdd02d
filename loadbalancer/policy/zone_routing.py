"""Reports this instance's traffic to the zone policy and keeps the policy's last decision."""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.policy.api import ZoneDecision, ZoneFailoverPolicy, ZoneObservation
from loadbalancer.policy.class_latency import ClassLatency
from loadbalancer.policy.concurrency_limit import (
    LOSS_TOLERATED_RATIO,
    WINDOW_US,
    ConcurrencyLimit,
)
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.endpoint_list import EndpointList

# Latency counts as healthy while round trips take at most this fraction of their target.
HEALTHY_RTT_RATIO = 0.8
# A member with a higher failure rate counts as unhealthy.
UNHEALTHY_FAILURE_RATE = 0.3


def unhealthy_members(members: Iterable[Endpoint]) -> dict[int, list[bool]]:
    """Returns for each zone a list that tells of each member there whether it is unhealthy.

    A member is unhealthy if it is ejected or its failure rate exceeds UNHEALTHY_FAILURE_RATE.
    """
    unhealthy_by_zone: dict[int, list[bool]] = {}
    for member in members:
        is_unhealthy = member.ejected or member.failure_rate > UNHEALTHY_FAILURE_RATE
        unhealthy_by_zone.setdefault(member.zone, []).append(is_unhealthy)
    return unhealthy_by_zone


class ZoneRouting:
    """Counts requests and attempts between two decisions of the zone policy, and keeps the last decision.

    Attributes:
        policy: The zone policy, or None.
        decision: The last decision; it has no shares while no policy has decided.
        decided_at: The time of the last decision, in microseconds.
        rate_per_member: Calls per second that a warm member of the own zone can take from this instance: the
            rate of all endpoints there, divided among the members; 0 if unknown.
        requests_by_class: Requests since the last decision, by class.
        attempts_by_zone: Attempts since the last decision, by zone.
    """

    def __init__(
        self, context: PolicyContext, policy: ZoneFailoverPolicy | None
    ) -> None:
        """Starts without a decision; until there is one, `ZoneSpill` chooses between zones.

        Args:
            context: The settings and the host's actions.
            policy: The zone policy, or None.
        """
        self.context = context
        self.policy = policy
        self.decision = ZoneDecision(())
        self.decided_at = 0
        self.rate_per_member = 0.0
        self.requests_by_class: list[int] = [0] * len(context.settings.classes)
        self.attempts_by_zone: dict[int, int] = {}

    def update_policy(self, policy: ZoneFailoverPolicy | None) -> None:
        """Replaces the policy, or removes it if it is None, and discards the last decision."""
        self.policy, self.decision = policy, ZoneDecision(())

    def update_settings(self) -> None:
        """Adds counters for the request classes that changed settings have added."""
        added = len(self.context.settings.classes) - len(self.requests_by_class)
        self.requests_by_class += [0] * added

    def decide(
        self,
        now: int,
        members: list[Endpoint],
        endpoint_list: EndpointList,
        limit: ConcurrencyLimit,
        latency: ClassLatency,
    ) -> bool:
        """Asks the policy for a decision if a window has passed since the last one.

        Args:
            now: The time in microseconds.
            members: The members of the subset.
            endpoint_list: The listed endpoints.
            limit: The concurrency limit, which knows whether latency and losses are within their bounds.
            latency: The mean round-trip times by class.

        Returns:
            Whether there is a new decision.
        """
        if self.policy is None or now - self.decided_at < WINDOW_US:
            return False
        settings, self.decided_at = self.context.settings, now
        unhealthy = unhealthy_members(members)
        observation = ZoneObservation(
            ready=endpoint_list.ready,
            warm=endpoint_list.warm_capacity(
                now, settings.slow_start_time, settings.slow_start_initial_share
            ),
            unhealthy={zone: sum(fail) / len(fail) for zone, fail in unhealthy.items()},
            requests_by_class=self.requests_by_class,
            attempts_by_zone=self.attempts_by_zone,
            cost_by_class=latency.mean_rtt,
            priority_weights=[each.priority_weight for each in settings.classes],
            instances=settings.instances,
            healthy=limit.sample_rtt_ratio <= HEALTHY_RTT_RATIO
            and limit.lost_ratio < LOSS_TOLERATED_RATIO,
            may_reject=settings.tier == 0,
        )
        self.decision = self.policy.decide(now, observation)
        ready = endpoint_list.ready.get(settings.zone, 0)
        members_here = len(unhealthy.get(settings.zone, [False]))
        self.rate_per_member = self.decision.rate * ready / members_here
        self.requests_by_class = [0] * len(self.requests_by_class)
        self.attempts_by_zone = {}
        return True
