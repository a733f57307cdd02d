"""Feature `[shards]`: sends requests for a key to the replicas of its shard first.

`forecast.shard_router` selects the replicas, and the policy selects among them. This module extracts the key
from a request and follows changes of the members. Replicas are selected by the servers' numbers, which are
hashes of their names and therefore the same in all nodes.
"""

from __future__ import annotations

import asyncio
from typing import ClassVar

from loadbalancer.config.operator_config import OperatorConfig, ShardsTable
from loadbalancer.errors import LoadBalancerError
from loadbalancer.forecast.migration import (
    ChangeKind,
    MigrationPlan,
    MigrationSchedule,
)
from loadbalancer.forecast.rendezvous import DrawTable, Member, key_position
from loadbalancer.forecast.shard_router import ShardRouter
from loadbalancer.node.client.request import ClientRequest
from loadbalancer.node.features.core_feature import CoreFeature
from loadbalancer.node.features.feature import Change, ListUpdate
from loadbalancer.node.numbering import number_of
from loadbalancer.node.requests.open_request import OpenRequest
from loadbalancer.policy.api import EndpointState, Idempotency
from loadbalancer.policy.endpoint_list import ListedEndpoint

STEP_CHECK_S = 0.25  # time between two checks whether a migration step is due
JOIN_WINDOW_US = 10_000_000  # servers that join within this time form one change
DEFAULT_WEIGHT = 1.0  # weight of a server whose own weight is not known
SHARDS_SCOPE = ",shards"  # suffix of the scope of a change of the shards


class ShardsUnsafeError(LoadBalancerError):
    """A class with a shard key is unknown or not safe to repeat; its requests are sent without shards."""

    code: ClassVar[str] = "ShardsUnsafe"
    remedy: ClassVar[str] = (
        "take the class out of [shards] keys, or correct its name; only classes whose effect is `safe` in the"
        " platform's settings may have a key"
    )


class MigrationPlanner:
    """Decides how placement changes are made; `ForecastFeature` implements this for `ShardsFeature`.

    Attributes:
        decides: Whether the planner currently decides; otherwise changes are made at once.
    """

    decides = False

    def start_pending_join(self, new: frozenset[int]) -> MigrationSchedule:
        """Handles servers that have joined.

        Args:
            new: Numbers of the servers.

        Returns:
            The schedule that applies until `ShardsFeature.start_join` is called.
        """
        raise NotImplementedError

    def take_plan(self, kind: ChangeKind) -> MigrationPlan | None:
        """Returns and clears the plan of a change that was allowed; None if it is to be made at once."""
        raise NotImplementedError


class ShardsFeature(CoreFeature):
    """Routes requests with a shard key, and moves shards when the members or the settings change.

    Attributes:
        config: The table `[shards]` in force.
        table: The table of random draws for the number of shards in force.
        router: Selects each shard's replicas among the members of the subset.
        weights: Servers' weights from the endpoint list, by number; recorded only while the settings declare
            them comparable (`list_weights`).
        listed: Numbers of the servers that are listed as ready.
        first_list_complete: Whether the first endpoint list has been received completely.
        joined_at: Time when a server was listed after the first list, by number, in microseconds of the
            node's clock (`Node.now`).
        key_locations: Where a request's key is, by class name: the index of a segment of the path, and the
            name of a header, which is used instead unless it is empty.
    """

    name = "shards"

    def on_start(self) -> None:
        """Starts to route requests."""
        self.config = self._table()
        self.table = DrawTable(self.config.count)
        self.router = ShardRouter(self.table, self.config.homes)
        # The balancer's list of members that the router was last updated with. The balancer replaces this
        # list and never changes it in place, so a change is detected by identity.
        self._routed_members: list[ListedEndpoint] | None = None
        self.weights: dict[int, float] = {}
        self.listed: set[int] = set()
        self.first_list_complete = False
        self.joined_at: dict[int, int] = {}
        self.timer: asyncio.TimerHandle | None = None
        self._apply_config()
        self.key_of = self.shard_key
        self.node.on_request = self.host.guarded(
            self, self.request_with_replicas, False
        )

    def _table(self) -> ShardsTable:
        table = self.host.operator_config().shards
        assert table is not None
        return table

    def _apply_config(self) -> None:
        """Applies the configuration: the location of each class's key, and the subset's least size."""
        settings = self.node.settings
        idempotency = {
            name: request_class.idempotency
            for name, request_class in zip(
                self.node.table.names, settings.classes, strict=False
            )
        }
        self.key_locations: dict[bytes, tuple[int, bytes]] = {}
        for name, location in self.config.key_locations().items():
            if idempotency.get(name) == Idempotency.IDEMPOTENT:
                self.key_locations[name.encode()] = location
                continue
            error = ShardsUnsafeError(
                f"class {name} is excluded: it is not a class that is safe to repeat",
                f"shards.keys.{name}",
            )
            self.host.log_event("shards class excluded", **error.table())
        self._set_least_members(self.config.members)

    def _set_least_members(self, least: int) -> None:
        """Sets the least size of the node's subset, in servers."""
        if self.node.least_members != least:
            self.node.least_members = least
            self.node.apply_settings(self.node.table.settings)

    def reload(self, operation: OperatorConfig) -> None:
        """Applies the new operator configuration.

        New keys apply at once. A different number of shards or replicas is a placement change, which may
        have to wait for approval.
        """
        # The host already provides the new table.
        before, self.config = self.config, self._table()
        self._apply_config()
        if (before.count, before.homes) != (self.config.count, self.config.homes):
            self.host.change_approval.apply_when_approved(
                ChangeKind.SHARDS.value,
                (Change.PLACEMENT,),
                self.change_shards,
                f"{self.host.scope()}{SHARDS_SCOPE}",
                "the old shards stay",
            )

    def stop(self, graceful: bool) -> None:
        """Stops the feature; requests are sent without shards again."""
        if self.timer is not None:
            self.timer.cancel()
        self.node.on_request = None
        if not self.host.ending:
            self.host.change_approval.withdraw(ChangeKind.SHARDS.value)
            self._set_least_members(0)

    def on_list_update(self, update: ListUpdate) -> None:
        """Records the servers that have joined, and the servers' weights if the settings use them."""
        now = self.node.now()
        for line in update.lines:
            number = number_of(line.id)
            if line.state != EndpointState.READY:
                self.listed.discard(number)
                self.joined_at.pop(number, None)
            elif number not in self.listed:
                self.listed.add(number)
                if self.first_list_complete:
                    self.joined_at[number] = now
        self.first_list_complete |= not update.more
        if self.node.settings.list_weights:
            self.weights.update(
                (number_of(line.id), line.weight) for line in update.lines
            )

    # ---- requests -------------------------------------------------------------------------------------

    def shard_key(self, message: ClientRequest) -> bytes | None:
        """Returns a request's shard key; None if it has none."""
        path = message.target.partition(b"?")[0].split(b"/")
        location = self.key_locations.get(path[1]) if len(path) > 1 else None
        if location is None:
            return None
        segment, header = location
        if header:
            return message.headers.get(header)
        return path[segment] if segment < len(path) else None

    def request_with_replicas(
        self,
        request: OpenRequest,
        tenant: int,
        time_left: int,
        repeat: bool,
        complete: bool,
    ) -> bool:
        """Passes a request to the policy together with the replicas of its shard.

        Args:
            request: The request.
            tenant: The tenant's number.
            time_left: Time until the client's deadline, in microseconds.
            repeat: Whether the client marked the request as a retry.
            complete: Whether the request's body has been received.

        Returns:
            Whether the request was passed on; False if it has no key or no replicas.
        """
        shard_key = self.shard_key(request.message)
        if not shard_key:
            return False
        replicas = self.replicas_of(key_position(shard_key))
        if replicas:
            node = self.node
            node.post(
                node.balancer.request,
                request.id,
                request.class_index,
                tenant,
                time_left,
                repeat,
                complete,
                replicas,
            )
        return bool(replicas)

    def replicas_of(self, position: int) -> tuple[int, ...]:
        """Returns the numbers of the servers that currently hold the shard of a key position."""
        listed = self.node.balancer.subset.listed_members
        if listed is not self._routed_members:
            self._update_members(listed)
        return tuple(
            listed[index].id
            for index in self.router.replicas_of(position)
            if index < len(listed)
        )

    # ---- changes of the members -----------------------------------------------------------------------

    def _update_members(self, listed: list[ListedEndpoint]) -> None:
        """Updates the router with the subset's members.

        A member that has left loses its shards at once; one that has joined receives shards as planned.
        """
        self._routed_members = listed
        known = {int(name) for name, _ in self.router.members}
        members: list[Member] = [
            (str(endpoint.id), self.weights.get(endpoint.id, DEFAULT_WEIGHT))
            for endpoint in listed
        ]
        new = frozenset(endpoint.id for endpoint in listed) - known
        self._remove_old_joins()
        schedule = None
        if new and known and self.planner is not None:
            schedule = self.planner.start_pending_join(new | self.joined_at.keys())
        self.router.update(members, schedule)
        if schedule is not None:
            self.check_steps()

    def _remove_old_joins(self) -> None:
        """Removes joins older than `JOIN_WINDOW_US`.

        Servers that join together become members of different nodes' subsets. Every node must forecast with
        all of them as new, or the nodes would plan differently.
        """
        since = self.node.now() - JOIN_WINDOW_US
        self.joined_at = {
            number: joined_at
            for number, joined_at in self.joined_at.items()
            if joined_at >= since
        }

    @property
    def planner(self) -> MigrationPlanner | None:
        """The feature that currently decides how changes are made; None if there is none."""
        feature = self.host.features.get("forecast")
        return (
            feature
            if isinstance(feature, MigrationPlanner) and feature.decides
            else None
        )

    # ---- migration in steps ---------------------------------------------------------------------------

    def change_shards(self) -> None:
        """Applies an approved change of the number of shards or replicas, at once or in steps."""
        plan = None
        if self.planner is not None:
            plan = self.planner.take_plan(ChangeKind.SHARDS)
        self.table = DrawTable(self.config.count)
        schedule = None
        if plan is not None and plan.steps > 1:
            schedule = MigrationSchedule(plan.steps, plan.pause_s, self.node.now())
        self.router.update(self.router.members, schedule, self.table, self.config.homes)
        self.host.log_event(
            "shards placement applied",
            count=self.config.count,
            homes=self.config.homes,
            steps=schedule.steps if schedule is not None else 1,
        )
        if schedule is not None:
            self.check_steps()

    def start_join(
        self, schedule: MigrationSchedule, plan: MigrationPlan
    ) -> MigrationSchedule | None:
        """Applies a plan for servers that have joined.

        Args:
            schedule: The schedule that the planner assumes to be in force.
            plan: How the change is made, or how long it is deferred again.

        Returns:
            The new schedule; None if another change has replaced the assumed schedule.
        """
        if self.router.schedule is not schedule:
            return None
        # A deferred plan has no steps, so the number of the schedule is kept. It must be at least 1, because
        # shards are assigned to steps modulo this number.
        started = MigrationSchedule(
            max(1, plan.steps or schedule.steps),
            plan.pause_s,
            self.node.now(),
            steps_done=0 if plan.deferred else 1,
        )
        self.router.schedule = started
        if not plan.deferred:
            self.host.log_event(
                "shards placement started",
                steps=plan.steps,
                pause_s=plan.pause_s,
                reason=plan.reason,
            )
        return started

    def check_steps(self) -> None:
        """Advances the migration by a step if one is due; runs every `STEP_CHECK_S` until it is finished."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        schedule = self.router.schedule
        if schedule is not None and self.router.is_migrating():
            if schedule.steps_done and schedule.advance(self.node.now()):
                self.host.log_event(
                    "shards step finished",
                    done=schedule.steps_done,
                    steps=schedule.steps,
                )
            self.timer = self.node.loop.call_later(STEP_CHECK_S, self.check_steps)

    def metrics(self) -> dict[str, object]:
        """Returns the feature's metrics under their published names."""
        schedule, selector = self.router.schedule, self.node.balancer.selector
        target = self.router.target
        return {
            "count": target.table.shard_count,
            "homes": target.replica_count,
            "members": len(self.router.members),
            "at_home": selector.preferred_taken,
            "beyond_homes": selector.preferred_full,
            "steps": [schedule.steps_done, schedule.steps] if schedule else None,
        }
