"""Admission of requests at the first tier, and the time for which an answer still has value.

A request is checked, in this order, by the zone policy, the shedding of requests that are clearly over
quota, the retry storm policy, and the concurrency limit less the slots reserved for more valuable requests.
"""

from __future__ import annotations

from loadbalancer.policy.api import (
    Idempotency,
    RequestClass,
    RetryStormPolicy,
    Settings,
)
from loadbalancer.policy.class_latency import ClassLatency
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.request import Request
from loadbalancer.policy.tenant_quota import TenantQuotas
from loadbalancer.policy.zone_routing import ZoneRouting

# The host may notice an answer this number of its clock ticks after it arrives.
NOTICE_TICKS = 2
# Multiple of `ConcurrencyLimit.headroom` that a request over its tenant's quota leaves free.
OVER_QUOTA_HEADROOMS = 2
# Round-trip time, relative to the target, above which the shed probability rises and below which it falls.
SHED_RTT_RATIO = 0.6
# Change of the shed probability per round trip and per unit of that relative round-trip time.
SHED_GAIN = 0.06
MAX_SHED_RTT_RATIO = 3.0  # A higher relative round-trip time counts as this.
# A class has lower priority if its value is less than this fraction of the highest value of any class. The
# value is the priority weight per unit of the time that a call takes.
LOWER_PRIORITY_RATIO = 0.5


def effective_time_left(request_class: RequestClass, time_left: int, tick: int) -> int:
    """Returns the time for which an answer still has value, in microseconds.

    This is the client's remaining time. If late answers of the class have no value, it is no longer than
    the latency objective less the ticks by which the host may notice an answer late, but at least one tick.

    Args:
        request_class: The request's class.
        time_left: The client's remaining time in microseconds.
        tick: The interval of the host's clock in microseconds.
    """
    valuable_time = request_class.latency_objective - NOTICE_TICKS * tick
    if request_class.late_priority_weight <= 0 and valuable_time < time_left:
        return max(tick, valuable_time)
    return time_left


def open_request(
    now: int, request: int, settings: Settings, class_index: int, time_left: int
) -> Request:
    """Returns the record of a new request.

    A request of an unknown class counts as not idempotent; the other settings of the last class apply to it.

    Args:
        now: The current time in microseconds.
        request: The host's number of the request.
        settings: The settings that apply to the request.
        class_index: The request's class, by its index in the settings.
        time_left: The client's remaining time in microseconds.
    """
    known = class_index < len(settings.classes)
    class_index = min(class_index, len(settings.classes) - 1)
    request_class = settings.classes[class_index]
    time_with_value = effective_time_left(request_class, time_left, settings.tick_us)
    idempotency = request_class.idempotency if known else Idempotency.NOT_IDEMPOTENT
    return Request(request, settings, class_index, idempotency, now + time_with_value)


class ClassPriority:
    """Ranks the request classes by their priority weight per unit of the time that a call takes.

    Attributes:
        rank: By class, 1 if its value is below LOWER_PRIORITY_RATIO of the highest one, else 0.
        urgent: By class, whether another class has lower priority.
    """

    def __init__(self, context: PolicyContext, latency: ClassLatency) -> None:
        """Ranks the classes by the latency that is expected before it is measured.

        Args:
            context: The settings in force.
            latency: Mean round-trip time of each class.
        """
        self.context = context
        self.latency = latency
        self.update()

    def update(self) -> None:
        """Recomputes the ranks from the latest mean latency of each class."""
        mean_rtt = self.latency.mean_rtt
        values = [
            request_class.priority_weight / max(1.0, mean_rtt[index])
            for index, request_class in enumerate(self.context.settings.classes)
        ]
        min_value = max(values) * LOWER_PRIORITY_RATIO
        self.rank = [int(value < min_value) for value in values]
        lowest = max(self.rank)
        self.urgent = [rank < lowest for rank in self.rank]


class Admission:
    """Decides on each new request of the first tier whether it may start."""

    def __init__(
        self,
        context: PolicyContext,
        limit: ConcurrencyLimit,
        latency: ClassLatency,
        priority: ClassPriority,
        zones: ZoneRouting,
    ) -> None:
        """Combines the rules that admission applies.

        Args:
            context: The settings in force and the source of random numbers.
            limit: The concurrency limit of this instance.
            latency: Mean round-trip time of each class.
            priority: Ranks of the classes.
            zones: The zone policy's current decision.
        """
        self.context = context
        self.limit = limit
        self.latency = latency
        self.priority = priority
        self.zones = zones
        self.quotas = TenantQuotas(context)
        self.retry_storm: RetryStormPolicy | None = None
        self.shed_probability = 1.0  # Of a request that is clearly over quota.
        self.rejected = 0  # Requests rejected by admission and by the queue.

    def admits(
        self, now: int, class_index: int, tenant: int, repeat: bool, time_left: int
    ) -> bool:
        """Whether a request may start.

        Args:
            now: The current time in microseconds.
            class_index: The request's class.
            tenant: The request's tenant, by its index in the settings.
            repeat: Whether its client marked it as a retry.
            time_left: The client's remaining time in microseconds.
        """
        over_quota, clearly_over_quota = self.quotas.count_request(now, tenant)
        if self.rejected_by_zone(class_index):
            return False
        if clearly_over_quota and self.context.rng.random() < self.shed_probability:
            return False
        if self.retry_storm is not None and not self.retry_storm.admits(
            now, class_index, repeat, time_left, self.latency.mean_rtt[class_index]
        ):
            return False
        # A class of lower priority leaves one headroom free for other requests. A request over its tenant's
        # quota leaves OVER_QUOTA_HEADROOMS free.
        reserved = self.priority.rank[class_index] + OVER_QUOTA_HEADROOMS * over_quota
        return self.limit.admits(now, reserved)

    def rejected_by_zone(self, class_index: int) -> bool:
        """Draws whether the request is rejected by the zone policy.

        The policy rejects the fraction of the class that exceeds the capacity of all zones.
        """
        rejected_fractions = self.zones.decision.reject
        return (
            class_index < len(rejected_fractions)
            and self.context.rng.random() < rejected_fractions[class_index]
        )

    def add_latency(self, target_ratio: float) -> None:
        """Adjusts the shed probability by one round trip.

        Args:
            target_ratio: The round-trip time relative to the target of its class.
        """
        excess = min(target_ratio, MAX_SHED_RTT_RATIO) - SHED_RTT_RATIO
        self.shed_probability += SHED_GAIN * excess
        self.shed_probability = min(1.0, max(0.0, self.shed_probability))
