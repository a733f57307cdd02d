"""Features `[zones]` and `[storms]`: configure the balancer's policies for zone failover and retry storms."""

from __future__ import annotations

import asyncio
from collections.abc import Set as AbstractSet
from functools import partial

from loadbalancer.config.operator_config import OperatorConfig
from loadbalancer.node.features.core_feature import CoreFeature
from loadbalancer.node.features.feature import Change
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.retry_storm import RetryStormGuard
from loadbalancer.policy.zone_failover import ZoneFailover

RETURN_CHECK_INTERVAL_S = 0.5  # between two checks for recovered zones


class ZonesFeature(CoreFeature):
    """`[zones]`: sets the balancer's zone policy, and requests approval for the return of recovered zones."""

    name = "zones"

    def on_start(self) -> None:
        """Sets a zone policy with the configured rules, and starts the checks for recovered zones."""
        self.timer: asyncio.TimerHandle | None = None
        self.requested_returns: set[int] = (
            set()
        )  # numbers of the zones whose return waits for approval
        self._use_policy(self._policy(self.host.operator_config()))
        self.host.on_approvers_changed = self.check_returns
        self.check_returns()

    def reload(self, operator_config: OperatorConfig) -> None:
        """Applies the rules of a new operator configuration to the zone policy."""
        self._use_policy(self._policy(operator_config))
        self.check_returns()

    def stop(self, graceful: bool) -> None:
        """Removes the policy from the balancer, unless the process is stopping."""
        if self.timer is not None:
            self.timer.cancel()
        self.host.on_approvers_changed = None
        if not self.host.ending:
            self._withdraw_returns(self.requested_returns)
            self._use_policy(None)

    def check_returns(self) -> None:
        """Requests approval for the return of recovered zones, while any feature approves changes."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        policy = self.node.balancer.zones.policy
        needs_approval = bool(self.host.change_approval.approvers())
        if not isinstance(policy, ZoneFailover):
            return
        policy.approval_required = needs_approval
        self._withdraw_returns(self.requested_returns - policy.awaiting_approval.keys())
        if not needs_approval:
            return
        for zone in policy.awaiting_approval.keys() - self.requested_returns:
            self._request_return(policy, zone)
        self.timer = self.node.loop.call_later(
            RETURN_CHECK_INTERVAL_S, self.check_returns
        )

    def _request_return(self, policy: ZoneFailover, zone: int) -> None:
        self.requested_returns.add(zone)
        self.host.change_approval.apply_when_approved(
            self._subject(zone),
            (Change.ZONE_RETURN,),
            partial(policy.approved_returns.add, zone),
            f"zone={self._zone_name(zone)}",
            meanwhile="its calls stay where they are",
        )

    def _withdraw_returns(self, zones: AbstractSet[int]) -> None:
        """Withdraws requests that are obsolete, and removes those whose return was made."""
        for zone in zones:
            self.host.change_approval.withdraw(self._subject(zone))
        self.requested_returns = self.requested_returns - zones

    def _subject(self, zone: int) -> str:
        return f"return of zone {self._zone_name(zone)}"

    def _zone_name(self, zone: int) -> str:
        for name, number in self.node.zones.items():
            if number == zone:
                return name
        return str(zone)

    def _policy(self, operator_config: OperatorConfig) -> ZoneFailover:
        """Returns a policy with the configured rules; an existing policy keeps what it has learned."""
        assert operator_config.zones is not None
        rules = operator_config.zones.rules(self.host.zone(), self._zone_number)
        own_zone = self.node.settings.zone
        policy_type = self._policy_type(operator_config)
        current = self.node.balancer.zones.policy
        is_known = isinstance(current, ZoneFailover) and current.own_zone == own_zone
        if is_known and type(current) is policy_type:
            current.update_rules(rules)
            return current
        policy = policy_type(rules, own_zone)
        if is_known:
            # `[locality]` was switched on or off: the policy of the new type takes over the learned state.
            vars(policy).update(vars(current))
            policy.update_rules(rules)
        return policy

    def _zone_number(self, name: str) -> int:
        """Returns the number of a zone; a zone without a number is assigned the next one."""
        numbers = self.node.zones
        return numbers.setdefault(name, len(numbers))

    @staticmethod
    def _policy_type(operator_config: OperatorConfig) -> type[ZoneFailover]:
        if operator_config.locality is None:
            return ZoneFailover
        # Imported here: a node without `[locality]` does not need it.
        from loadbalancer.locality.agreed_zone_failover import AgreedZoneFailover

        return AgreedZoneFailover

    def _use_policy(self, policy: ZoneFailover | None) -> None:
        """Makes the balancer use this policy; before the node's start, creates the balancer with it."""
        node = self.node
        if node.started:
            node.post(node.balancer.update_zone_policy, policy)
        else:
            node.balancer = Balancer(node.settings, node.config.seed, node, policy)


class StormsFeature(CoreFeature):
    """`[storms]`: sets the balancer's guard against retry storms; only the first tier rejects."""

    name = "storms"

    def on_start(self) -> None:
        """Sets a guard with the configured rules."""
        self.reload(self.host.operator_config())

    def reload(self, operator_config: OperatorConfig) -> None:
        """Applies the configured rules; an existing guard keeps what it has learned."""
        node = self.node
        assert operator_config.storms is not None
        rules = operator_config.storms.rules()
        guard = node.balancer.admission.retry_storm
        if node.settings.tier > 0:
            guard = None
        elif isinstance(guard, RetryStormGuard):
            guard.rules = rules
        else:
            weights = [
                request_class.priority_weight for request_class in node.settings.classes
            ]
            guard = RetryStormGuard(rules, weights, node.config.seed, node.now())
        node.post(node.balancer.update_retry_storm_policy, guard)

    def stop(self, graceful: bool) -> None:
        """Removes the guard from the balancer, unless the process is stopping."""
        if not self.host.ending:
            self.node.post(self.node.balancer.update_retry_storm_policy, None)
