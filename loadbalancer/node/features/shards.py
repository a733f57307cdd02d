"""`[shards]`: sends requests for a key to the replicas of its shard first.

`forecast.shard_router` says which servers those are and the policy selects among them; here is what a key is
in a request, and when the members have changed. Replicas are selected by the servers' numbers, which are
hashes of their names and so the same in all nodes.
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

STEP_CHECK_S = 0.25  # between two checks whether a step is due
JOIN_WINDOW_US = 10_000_000  # servers that join within this time are one change
DEFAULT_WEIGHT = 1.0
SHARDS_SCOPE = ",shards"  # the end of the scope of a change of shards


class ShardsUnsafeError(LoadBalancerError):
    """A class has a shard key and is not safe to repeat, or is not a class; its requests go as ever."""

    code: ClassVar[str] = "ShardsUnsafe"
    remedy: ClassVar[str] = (
        "take the class out of [shards] keys, or correct its name; only classes whose effect is `safe` in the"
        " platform's settings may have a key"
    )


class MigrationPlanner:
    """Decides how changes of placement are made: the interface of `ForecastFeature` to this feature.

    Attributes:
        decides: Whether it does at present.
    """

    decides = False

    def begin_join(self, new: frozenset[int]) -> MigrationSchedule:
        """Servers have joined: the schedule to begin with, until `ShardsFeature.start_join` is called."""
        raise NotImplementedError

    def take_plan(self, kind: ChangeKind) -> MigrationPlan | None:
        """How a change that was allowed is to be made, once; None: at once."""
        raise NotImplementedError


class ShardsFeature(CoreFeature):
    """The feature.

    Attributes:
        config: The operators' table in force.
        router: The shards' replicas among the members of the subset.
        joined_at: When the servers were listed that were not in the first list, by number.
    """

    name = "shards"

    def on_start(self) -> None:
        """Starts to route requests."""
        self.config = self._table()
        self.table = DrawTable(self.config.count)
        self.router = ShardRouter(self.table, self.config.homes)
        # The balancer's list of members by which the router was last updated; it is never changed in place.
        self._routed_members: list[ListedEndpoint] | None = None
        self.weights: dict[int, float] = {}
        self.listed: set[int] = set()
        self.first_list_complete = False
        self.joined_at: dict[int, int] = {}
        self.timer: asyncio.TimerHandle | None = None
        self._apply_config()
        self.key_of = self.shard_key
        self.node.on_request = self.host.guarded(
            self, self.hand_over_with_replicas, False
        )

    def _table(self) -> ShardsTable:
        table = self.host.operator_config().shards
        assert table is not None
        return table

    def _apply_config(self) -> None:
        """Notes which part of a request is its key, by the class's name in its path."""
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
                f"class {name} has no shards", f"shards.keys.{name}"
            )
            self.host.log_event("shards class excluded", **error.table())
        self._set_least_members(self.config.members)

    def _set_least_members(self, least: int) -> None:
        """The subset is to be no smaller than that."""
        if self.node.least_members != least:
            self.node.least_members = least
            self.node.apply_settings(self.node.table.settings)

    def reload(self, operation: OperatorConfig) -> None:
        """Keys hold at once; other shards or replicas are a change of placement, which may have to wait."""
        # The host's table is already the new one.
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
        """Ends; requests go as without shards."""
        if self.timer is not None:
            self.timer.cancel()
        self.node.on_request = None
        if not self.host.ending:
            self.host.change_approval.withdraw(ChangeKind.SHARDS.value)
            self._set_least_members(0)

    def on_list_update(self, update: ListUpdate) -> None:
        """Notes who has joined, and servers' weights, where they can be compared."""
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

    # ---- a request ------------------------------------------------------------------------------------

    def shard_key(self, message: ClientRequest) -> bytes | None:
        """A request's shard key; None: it has none."""
        path = message.target.partition(b"?")[0].split(b"/")
        location = self.key_locations.get(path[1]) if len(path) > 1 else None
        if location is None:
            return None
        part, header = location
        if header:
            return message.headers.get(header)
        return path[part] if part < len(path) else None

    def hand_over_with_replicas(
        self,
        request: OpenRequest,
        tenant: int,
        time_left: int,
        repeat: bool,
        complete: bool,
    ) -> bool:
        """Hands a request to the policy with its replicas.

        Args:
            request: The request.
            tenant: Its tenant's number.
            time_left: How long its client waits, in microseconds.
            repeat: Whether its client marked it as a retry.
            complete: Whether its body has come.

        Returns:
            Whether it has any replicas.
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
        """The numbers of the servers that a key goes to now."""
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
        """The subset has changed: who left loses its shards at once, who joined gets them as planned."""
        self._routed_members = listed
        known = {int(name) for name, _ in self.router.members}
        members: list[Member] = [
            (str(endpoint.id), self.weights.get(endpoint.id, DEFAULT_WEIGHT))
            for endpoint in listed
        ]
        new = frozenset(endpoint.id for endpoint in listed) - known
        self._forget_old_joins()
        schedule = None
        if new and known and self.planner is not None:
            schedule = self.planner.begin_join(new | self.joined_at.keys())
        self.router.update(members, schedule)
        if schedule is not None:
            self.check_steps()

    def _forget_old_joins(self) -> None:
        """Forgets joins older than JOIN_WINDOW_US.

        Servers that join together land in different nodes' subsets; each node must forecast with all of them
        as new, or the nodes would plan differently.
        """
        since = self.node.now() - JOIN_WINDOW_US
        self.joined_at = {
            number: joined_at
            for number, joined_at in self.joined_at.items()
            if joined_at >= since
        }

    @property
    def planner(self) -> MigrationPlanner | None:
        """The feature that decides how changes are made, while there is one that does."""
        part = self.host.features.get("forecast")
        return part if isinstance(part, MigrationPlanner) and part.decides else None

    # ---- changes in steps -----------------------------------------------------------------------------

    def change_shards(self) -> None:
        """Changes the number of shards or replicas, which was allowed: at once or in steps."""
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
        """Goes by a plan for servers that have joined.

        Args:
            schedule: The one in force as far as the planner knows.
            plan: How the change is made, or for how long it is deferred again.

        Returns:
            The schedule in force from now on; None if another change has replaced this one.
        """
        if self.router.schedule is not schedule:
            return None
        # A deferred plan has no steps: the number in force stays. At least 1: shards are dealt out modulo it.
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
        """Makes steps as they are due."""
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
        """The feature's figures, by the published keys."""
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
