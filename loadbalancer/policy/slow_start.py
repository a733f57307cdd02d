"""Slow start: limits the calls to a cold endpoint to a share of the rate that a warm member gets.

A restarted endpoint looks idle, so without slow start all instances together would overload it. The share
rises with the time since the endpoint's start. Each cold endpoint has a token bucket that holds one call.
Rates are in calls per second and times in microseconds.
"""

from __future__ import annotations

from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.subset import Subset

US_PER_SECOND = 1e6
# Smoothing time of the rate that warm members get.
WARM_RATE_SMOOTHING_US = 2_000_000
# Cold endpoints take at most this fraction of the load that overloads them, and all of it while calls are
# late or members overloaded, if enough members are warm.
OVERLOAD_FRACTION = 0.75
# While few members are warm, cold endpoints take at least this fraction of the load that overloads them.
FEW_WARM_OVERLOAD_FRACTION = 0.5
# Few members are warm if fewer than one in this many are.
FEW_WARM_DIVISOR = 4
# The rate of a slow kind of machine is divided by its slowness, up to this value.
MAX_KIND_SLOWNESS = 2.0


class SlowStart:
    """Learns the rate that warm members get and decides whether an endpoint may be sent one more call.

    Attributes:
        sent_to_warm: Calls that were sent to warm endpoints in the present window.
        warm_rate: Calls per second that this instance sends to a warm member, smoothed.
        learned_for: How long the rate has been learned, in microseconds.
        learned_instances: Instances that shared an endpoint while the rate was learned, smoothed.
        warm_members: The number of warm members, smoothed.
        few_warm: Whether few members are warm.
    """

    def __init__(self, subset: Subset) -> None:
        """Starts with an unknown rate of warm members.

        Args:
            subset: The members of this instance.
        """
        self.context = subset.context
        self.limit = subset.limit
        self.reports = subset.reports
        self.subset = subset
        self.zones = subset.zones
        self.sent_to_warm = 0
        self.warm_rate = 0.0
        self.learned_for = 0
        self.learned_instances = float(self.context.settings.instances)
        self.warm_members = 0.0
        self.few_warm = False

    def start_warming(self, now: int, endpoint: Endpoint, started_at: int) -> None:
        """Starts the slow start of an endpoint whose process started recently.

        Token buckets start at random levels, or those of all instances would be full at the same moment.

        Args:
            now: The time in microseconds.
            endpoint: The endpoint.
            started_at: When its process started, in microseconds; 0 if long ago.
        """
        slow_start_time = self.context.settings.slow_start_time
        if started_at <= 0 or now >= started_at + slow_start_time:
            return
        if endpoint.warming_until == 0:
            endpoint.tokens, endpoint.tokens_at = self.context.rng.random(), now
        endpoint.warming_until = started_at + slow_start_time

    def learn(self, now: int, span: int) -> None:
        """Updates the smoothed rate of warm members at the end of a window.

        The rate is not updated while calls are late, once it has been learned for WARM_RATE_SMOOTHING_US:
        overloaded endpoints answer fewer calls, and cold endpoints would get a share of that lower rate.

        Args:
            now: The time in microseconds.
            span: Length of the window in microseconds.
        """
        members = self.subset.members
        warm = sum(
            member.warming_until <= now and not member.ejected for member in members
        )
        self.few_warm = FEW_WARM_DIVISOR * warm < len(members)
        if warm:
            if (
                self.limit.sample_rtt_ratio <= 1
                or self.learned_for < WARM_RATE_SMOOTHING_US
            ):
                self.learn_rate(span, warm)
            weight = min(1.0, span / WARM_RATE_SMOOTHING_US)
            self.warm_members += weight * (warm - self.warm_members)
        self.sent_to_warm = 0

    def learn_rate(self, span: int, warm: int) -> None:
        """Adds a window's rate to the smoothed rate of warm members.

        Args:
            span: Length of the window in microseconds.
            warm: The number of warm members; above 0.
        """
        self.learned_for += span
        rate = self.sent_to_warm * US_PER_SECOND / span / warm
        weight = span / max(span, min(WARM_RATE_SMOOTHING_US, self.learned_for))
        self.warm_rate += weight * (rate - self.warm_rate)
        instances = self.limit.instances_per_endpoint
        self.learned_instances += weight * (instances - self.learned_instances)

    def may_send(self, now: int, endpoint: Endpoint, urgent: bool) -> bool:
        """Returns whether an endpoint may be sent one more call, and takes its token if it is cold.

        An overloaded endpoint may not, and a cold endpoint only if its token bucket is full. The caller has
        to send the call, because the token is spent.

        Args:
            now: The time in microseconds.
            endpoint: The endpoint.
            urgent: Whether some class has a lower priority than that of the call.
        """
        if self.reports.overloaded(endpoint, urgent):
            return False
        if endpoint.warming_until <= now:
            return True
        rate = self.warming_rate(endpoint) * self.warmth(now, endpoint)
        elapsed = now - endpoint.tokens_at
        endpoint.tokens = min(1.0, endpoint.tokens + rate * elapsed / US_PER_SECOND)
        endpoint.tokens_at = now
        if endpoint.tokens < 1:
            return False
        endpoint.tokens -= 1
        return True

    def warmth(self, now: int, endpoint: Endpoint) -> float:
        """Returns the fraction of its warm capacity that a cold endpoint has now."""
        settings = self.context.settings
        initial = settings.slow_start_initial_share
        fraction_left = (endpoint.warming_until - now) / settings.slow_start_time
        return initial + (1 - initial) * max(0.0, 1 - fraction_left)

    def warming_rate(self, endpoint: Endpoint) -> float:
        """Returns the calls per second that a cold endpoint would get if it were warm.

        A slow kind of machine gets fewer calls, since it can take fewer. An endpoint of the own zone gets at
        least the rate that the zone policy allows.
        """
        slowness = min(MAX_KIND_SLOWNESS, max(1.0, endpoint.kind_latency.value))
        min_rate = 0.0
        if endpoint.zone == self.context.settings.zone:
            min_rate = self.zones.rate_per_member
        return max(self.warm_rate * self.warming_multiple() / slowness, min_rate)

    def warming_multiple(self) -> float:
        """Returns the factor between the rate of a warm member and the base rate of a cold one.

        After an outage each of a few members would get only the rate that one of many members got, and all
        calls would wait until the last endpoint is warm. The factor is therefore higher the fewer members
        there are now than were warm before. While few members are warm, each cold one takes at least half of
        the load that overloads it (FEW_WARM_OVERLOAD_FRACTION). While enough are warm, but calls are late or
        members overloaded, it takes OVERLOAD_FRACTION of that load, which is the upper bound in every case
        and leaves a margin for random variation. Where few endpoints are left, more instances share each of
        them than when the rate was learned, so the bound is reduced accordingly.
        """
        overload = self.context.settings.overload_multiple
        members = max(1, len(self.subset.members))
        multiple = min(overload or 1.0, max(1.0, self.warm_members / members))
        current_instances = max(self.limit.instances_per_endpoint, 1e-9)
        shared_multiple = min(multiple, self.learned_instances / current_instances)
        max_multiple = shared_multiple * (OVERLOAD_FRACTION * overload or 1.0)
        if self.few_warm:
            multiple = max(
                multiple, FEW_WARM_OVERLOAD_FRACTION * overload * shared_multiple
            )
        elif (
            self.limit.sample_rtt_ratio > 1
            or self.reports.mean_of_members > self.reports.tolerated_queue(urgent=False)
        ):
            multiple = max_multiple
        return min(multiple, max_multiple)
