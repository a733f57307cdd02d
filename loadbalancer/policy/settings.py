"""The settings of a policy instance. Times are integer microseconds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar

from loadbalancer.errors import LoadBalancerError


class SettingsError(LoadBalancerError, ValueError):
    """A value of the platform's settings that is missing, of the wrong type, or impossible."""

    remedy: ClassVar[str] = (
        "give the named key of the settings a value of its kind and range, as the platform's own page has it"
    )


class Idempotency(IntEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = 0  # It may run any number of times.
    # The endpoints of its deduplication scope discard duplicates within the idempotency window.
    WITH_KEY = 1
    # It must never run twice. This also stands for any value that the host does not recognise.
    NOT_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which endpoints discard the duplicates of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(frozen=True)
class RequestClass:
    """One class of requests. Times are microseconds.

    Attributes:
        idempotency: Whether a request may be executed more than once.
        latency_objective: An answer within this time has its full value.
        deadline: The time for which a client waits in total, over all its attempts.
        priority_weight: The value of an answer within the latency objective.
        late_priority_weight: The fraction of that value that a later answer has.
        deduplication_scope: The endpoints that discard duplicates of a request with an idempotency key.
        idempotency_window: The time for which the scope remembers a request with an idempotency key.
        stream: Whether answers are streams.
    """

    idempotency: Idempotency
    latency_objective: int
    deadline: int
    priority_weight: float
    late_priority_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window: int = 0
    stream: bool = False


@dataclass(frozen=True)
class TenantSettings:
    """The settings of one tenant.

    Attributes:
        quota: Requests per second over all instances; 0 for no quota.
    """

    quota: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of a policy instance. Times are microseconds.

    Attributes:
        classes: The request classes; at least one.
        tenants: The tenants; requests name them by index.
        tier: The tier this instance sends to, from 0; above 0 its clients are servers.
        tiers: Number of tiers.
        zone: The zone this instance is in.
        instances: Number of instances that send to this tier, this one included.
        index: This instance's number among them, from 0.
        ring_position: This instance's position among the live instances and their number, if known.
        min_subset_size: Minimum size of the subset, as far as there are enough endpoints.
        tick_us: Minimum time between two batches of events.
        max_attempts: Maximum number of attempts of a request.
        cancel: Whether an attempt may be cancelled.
        health_checks: Whether endpoints may be sent health checks.
        peers: Whether instances may send each other messages.
        hedged_requests: Whether a request may be hedged.
        retry_after: Whether a rejection may tell the client when to return.
        max_retry_after: The longest delay that a rejection may give.
        max_open_requests: Maximum number of calls in flight.
        list_must_be_polled: Whether the policy has to start the polls of the endpoint list (`Actions.watch`)
            and repeat failed ones; if not, the host subscribes to the list by itself.
        list_poll_interval: The longest time between two polls.
        list_weights: Whether the weights in the endpoint list can be compared with each other.
        slow_start_time: The time after which a started endpoint is warm.
        slow_start_initial_share: The fraction of its capacity that an endpoint has at least when it starts.
        overload_multiple: An endpoint fails if it receives more than this multiple of its current capacity
            for the time of `overload_window`.
        overload_window: See `overload_multiple`.
        answer_slack: The delay with which an answer may be noticed.
        cross_zone_cost: Cost of a call to another zone, as a fraction of a request's value.
        over_quota_weight: The value of a request over quota, as a fraction of its regular value.
        report_fields: The columns of endpoints' load reports.
    """

    classes: Sequence[RequestClass]
    tenants: Sequence[TenantSettings] = ()
    tier: int = 0
    tiers: int = 1
    zone: int = 0
    instances: int = 1
    index: int = 0
    ring_position: tuple[int, int] | None = None
    min_subset_size: int = 0
    tick_us: int = 1000
    max_attempts: int = 1
    cancel: bool = False
    health_checks: bool = False
    peers: bool = False
    hedged_requests: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    max_open_requests: int = 20000
    list_must_be_polled: bool = False
    list_poll_interval: int = 0
    list_weights: bool = False
    slow_start_time: int = 0
    slow_start_initial_share: float = 1.0
    overload_multiple: float = 0.0
    overload_window: int = 0
    answer_slack: int = 0
    cross_zone_cost: float = 0.0
    over_quota_weight: float = 1.0
    report_fields: Sequence[str] = ()

    @property
    def position(self) -> tuple[int, int]:
        """This instance's index and the number of instances by which endpoints are divided into subsets.

        Bounds that hold for all instances together are divided by `instances` all the same.
        """
        return self.ring_position or (self.index, self.instances)

    def __post_init__(self) -> None:
        """Checks the ranges of the values.

        Raises:
            SettingsError: A value is impossible. The error names the key as the platform's page does.
        """
        # A comparison with a NaN is false, so a NaN counts as impossible too.
        ring = self.ring_position
        require(ring is None or 0 <= ring[0] < ring[1], "ring")
        require(len(self.classes) > 0, "classes")
        for index, request_class in enumerate(self.classes):
            key = f"classes[{index}]"
            require(request_class.latency_objective > 0, f"{key}.aim")
            require(request_class.deadline > 0, f"{key}.deadline")
            require(request_class.priority_weight >= 0, f"{key}.worth")
            require(request_class.late_priority_weight >= 0, f"{key}.late_worth")
            require(request_class.idempotency_window >= 0, f"{key}.window")
        for index, tenant in enumerate(self.tenants):
            require(tenant.quota >= 0, f"tenants[{index}].quota")
        require(0 <= self.tier < self.tiers, "tier")
        require(self.instances >= 1, "instances")
        require(self.max_attempts >= 1, "max_attempts")
        require(self.max_open_requests >= 1, "max_open")
        require(self.tick_us > 0, "tick")
        require(self.slow_start_time >= 0, "cold_time")
        require(0 < self.slow_start_initial_share <= 1, "cold_share")
        require(self.overload_multiple >= 0, "fall_multiple")
        require(self.overload_window >= 0, "fall_time")
        require(self.index >= 0, "index")
        require(self.zone >= 0, "zone")
        require(self.max_retry_after >= 0, "max_retry_after")
        require(self.list_poll_interval >= 0, "list_ask_within")
        require(self.cross_zone_cost >= 0, "cross_zone_price")
        require(self.over_quota_weight >= 0, "over_share_worth")


def require(possible: bool, key: str) -> None:
    """Checks a condition on a value of the settings.

    Args:
        possible: Whether the value is possible.
        key: The key of the value, without the prefix `settings.`.

    Raises:
        SettingsError: The value is impossible.
    """
    if not possible:
        raise SettingsError("impossible value", f"settings.{key}")
