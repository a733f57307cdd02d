"""Slow start: a cold endpoint gets its present share of what a warm member gets from this instance.

All instances together would else push a restarted endpoint, which looks idle, over what it can do. Each
cold endpoint has a token bucket of one call. Rates are calls a second, times are microseconds.
"""

from __future__ import annotations

from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.subset import Subset

US_PER_SECOND = 1e6
WARM_TIME_US = 2_000_000  # over so long what warm members get is smoothed
OVERLOAD_PART = 0.75  # calls late: cold ones take this part of what pushes them over...
OVERLOAD_PART_HARDLY_WARM = 0.5  # ...and this part where hardly any is warm
HARDLY_WARM_DIVISOR = 4  # fewer than one in so many members
SLOWEST_KIND_RATIO = 2.0  # a slow kind of machine gets down to this part less


class SlowStart:
    """What warm members get, and which endpoint may be sent one more call."""

    def __init__(self, subset: Subset) -> None:
        """Starts without knowing what a warm member gets."""
        self.context = subset.context
        self.limit = subset.limit
        self.reports = subset.reports
        self.subset = subset
        self.zones = subset.zones
        self.sent_to_warm = 0  # calls in this window
        self.warm_rate = 0.0  # calls a second to a warm member, smoothed...
        self.learned_for = 0  # ...over so long
        self.warm_instances = float(
            self.context.settings.instances
        )  # that shared it then
        self.warm_members = 0.0  # smoothed
        self.hardly_any_warm = False  # hardly any member is warm

    def start_warming(self, now: int, endpoint: Endpoint, started_at: int) -> None:
        """Begins the slow start of an endpoint that has started lately.

        Buckets start at random levels, or those of all instances would be full in one moment.
        """
        slow_start_time = self.context.settings.slow_start_time
        if started_at <= 0 or now >= started_at + slow_start_time:
            return
        if endpoint.warming_until == 0:
            endpoint.tokens, endpoint.tokens_at = self.context.rng.random(), now
        endpoint.warming_until = started_at + slow_start_time

    def learn(self, now: int, span: int) -> None:
        """Smooths what warm members get, once a window.

        Nothing is learned of the rate while calls are late: crowded endpoints answer less, and cold ones
        would be given their part of that less.

        Args:
            now: The time in microseconds.
            span: Length of the window in microseconds.
        """
        members = self.subset.members
        warm = sum(
            member.warming_until <= now and not member.ejected for member in members
        )
        self.hardly_any_warm = HARDLY_WARM_DIVISOR * warm < len(members)
        if warm:
            if self.limit.sample_rtt_ratio <= 1 or self.learned_for < WARM_TIME_US:
                self.learn_rate(span, warm)
            weight = min(1.0, span / WARM_TIME_US)
            self.warm_members += weight * (warm - self.warm_members)
        self.sent_to_warm = 0

    def learn_rate(self, span: int, warm: int) -> None:
        """Takes the window's rate to each of `warm` members into the smoothed one."""
        self.learned_for += span
        rate = self.sent_to_warm * US_PER_SECOND / span / warm
        weight = span / max(span, min(WARM_TIME_US, self.learned_for))
        self.warm_rate += weight * (rate - self.warm_rate)
        instances = self.limit.instances_per_endpoint
        self.warm_instances += weight * (instances - self.warm_instances)

    def may_send(self, now: int, endpoint: Endpoint, urgent: bool) -> bool:
        """Whether one more call may go there: none to a crowded endpoint, a cold one's by its bucket."""
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
        """The share of its capacity that a cold endpoint has by now."""
        settings = self.context.settings
        initial = settings.slow_start_initial_share
        left = (endpoint.warming_until - now) / settings.slow_start_time
        return initial + (1 - initial) * max(0.0, 1 - left)

    def warming_rate(self, endpoint: Endpoint) -> float:
        """Calls a second that a cold endpoint would get were it warm.

        A slow kind of machine gets less, as it bears less. The own zone's get at least what the zone
        policy allows.
        """
        slowness = min(SLOWEST_KIND_RATIO, max(1.0, endpoint.kind_latency.value))
        least = 0.0
        if endpoint.zone == self.context.settings.zone:
            least = self.zones.rate_per_member
        return max(self.warm_rate * self.warming_multiple() / slowness, least)

    def warming_multiple(self) -> float:
        """How many times a warm member's rate is the base of a cold one's.

        After an outage few members would each get what one of many got, and all wait for the last to be
        warm: the fewer they are the more each takes. All cold, each takes half of what pushes it over;
        where calls are late or members crowded, more. But where few are left more instances share each
        than did when the rate was learned, and OVERLOAD_PART leaves the rest to chance.
        """
        overload = self.context.settings.overload_multiple
        members = max(1, len(self.subset.members))
        multiple = min(overload or 1.0, max(1.0, self.warm_members / members))
        sharing = max(self.limit.instances_per_endpoint, 1e-9)
        part = min(multiple, self.warm_instances / sharing)
        most = part * (OVERLOAD_PART * overload or 1.0)
        if self.hardly_any_warm:
            multiple = max(multiple, OVERLOAD_PART_HARDLY_WARM * overload * part)
        elif (
            self.limit.sample_rtt_ratio > 1
            or self.reports.mean_of_members > self.reports.tolerated_queue(urgent=False)
        ):
            multiple = most
        return min(multiple, most)
