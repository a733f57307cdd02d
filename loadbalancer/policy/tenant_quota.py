"""Tenants' quotas: compares each tenant's recent requests with this instance's part of its quota.

Times are in microseconds; quotas and rates are in requests per second.
"""

from __future__ import annotations

from math import sqrt

from loadbalancer.policy.context import PolicyContext

# Period over which a tenant's requests are counted; earlier ones fade out.
USAGE_TIME_US = 8_000_000
US_PER_SECOND = 1e6
# A tenant is clearly over its quota if its requests exceed this multiple of the allowed number by more
# than EXCESS_DEVIATIONS standard deviations of a count and one request.
EXCESS_RATIO = 1.25
EXCESS_DEVIATIONS = 1.5


class TenantUsage:
    """One tenant's requests at this instance, as a count that fades over USAGE_TIME_US."""

    __slots__ = ("allowed", "rate", "seen", "updated_at")

    def __init__(self, rate: float, now: int = 0) -> None:
        """Starts without a request.

        Args:
            rate: This instance's part of the quota, in requests per second; 0 for no quota.
            now: The current time in microseconds.
        """
        self.rate = rate
        self.updated_at = now
        self.seen = 0.0  # Requests, as a fading count.
        # Requests that the quota allows in the same period, plus one at the start.
        self.allowed = 1.0

    def update(self, now: int) -> None:
        """Fades both counts by the time since the last update, and adds what the quota allows in it."""
        elapsed = now - self.updated_at
        remaining = max(0.0, 1 - elapsed / USAGE_TIME_US)
        self.seen *= remaining
        self.allowed = self.allowed * remaining + self.rate * elapsed / US_PER_SECOND
        self.updated_at = now


class TenantQuotas:
    """Decides which requests count as over their tenant's quota."""

    def __init__(self, context: PolicyContext) -> None:
        """Starts without a request of any tenant.

        Args:
            context: The settings with the tenants, and the source of random numbers.
        """
        self.context = context
        settings = context.settings
        self.tenants = [
            TenantUsage(tenant.quota / settings.instances)
            for tenant in settings.tenants
        ]

    def start(self, now: int) -> None:
        """Starts the counts at the given time, in microseconds."""
        for tenant in self.tenants:
            tenant.updated_at = now

    def update_settings(self, now: int) -> None:
        """Applies changed quotas; the counts of the remaining tenants are kept."""
        settings = self.context.settings
        for index, tenant in enumerate(settings.tenants):
            if index == len(self.tenants):
                self.tenants.append(TenantUsage(0.0, now))
            self.tenants[index].rate = tenant.quota / settings.instances
        del self.tenants[len(settings.tenants) :]

    def count_request(self, now: int, tenant: int) -> tuple[bool, bool]:
        """Counts a request and compares its tenant's usage with the quota.

        A request counts as over quota at random, with the probability by which the tenant's requests exceed
        the allowed number, as a fraction of them. An instance that receives far more than its part of all
        traffic recognizes this by the median of its tenants' usage, and allows each tenant more by the same
        factor.

        Args:
            now: The current time in microseconds.
            tenant: The request's tenant, by its index in the settings.

        Returns:
            Whether the request is over its tenant's quota, and whether it is clearly over.
        """
        if tenant >= len(self.tenants) or self.tenants[tenant].rate <= 0:
            return False, False
        usage = self.tenants[tenant]
        for tenant_usage in self.tenants:
            tenant_usage.update(now)
        usage.seen += 1
        usage_ratios = sorted(
            (tenant_usage.seen - sqrt(tenant_usage.seen)) / tenant_usage.allowed
            for tenant_usage in self.tenants
            if tenant_usage.rate > 0
        )
        allowed = usage.allowed * max(1.0, usage_ratios[(len(usage_ratios) - 1) // 2])
        over_quota = self.context.rng.random() * usage.seen > allowed
        clear_excess = EXCESS_RATIO * allowed + EXCESS_DEVIATIONS * sqrt(allowed) + 1
        return over_quota, over_quota and usage.seen > clear_excess
