"""Decides which failed attempts are retried, and when a rejected client should return.

Retries multiply through tiers and clients, so each instance spends a budget for them that is a fraction of
the requests that arrive, admitted or not. A request that may have run is repeated only if that does no harm.
"""

from __future__ import annotations

from math import sqrt

from loadbalancer.policy.api import NEVER_RAN, Idempotency, Outcome, RetryStormPolicy
from loadbalancer.policy.class_latency import ClassLatency
from loadbalancer.policy.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.request import Request

RETRY_RATIO = 0.1  # Retries allowed per request that arrives.
# Outside a retry storm a rejected client should return after the latency objective divided by this number.
RETRY_AFTER_DIVISOR = 8


def record_execution(
    request: Request, endpoint: Endpoint | None, outcome: Outcome
) -> None:
    """Records, after a failed attempt, the first endpoint that may have run the request.

    Args:
        request: The request, which keeps the endpoint and the time at which the attempt was sent.
        endpoint: The endpoint of the failed attempt; None if it is no longer known.
        outcome: How the attempt failed.
    """
    if outcome not in NEVER_RAN and request.executed_by is None:
        request.executed_by = endpoint
        request.executed_at = request.sent_at


def may_repeat(now: int, request: Request) -> bool:
    """Whether another execution of the request does no harm.

    This is so if the request never ran, if it is idempotent, or if it has an idempotency key that its
    deduplication scope still remembers.

    Args:
        now: The current time in microseconds.
        request: The request.
    """
    if request.executed_by is None or request.idempotency == Idempotency.IDEMPOTENT:
        return True
    window_us = request.settings.classes[request.class_index].idempotency_window
    in_window = now < request.executed_at + window_us
    return request.idempotency == Idempotency.WITH_KEY and in_window


def client_may_retry(request: Request) -> bool:
    """Whether a rejection may invite the client to retry, because that does no harm.

    An idempotency key does not help here: the client's retry may reach another deduplication scope, and may
    arrive after the idempotency window.
    """
    return request.executed_by is None or request.idempotency == Idempotency.IDEMPOTENT


def retry_after_bounds(request: Request) -> tuple[int, int]:
    """Returns bounds of the delay after which the client of a rejected request should return.

    Args:
        request: The request that is rejected.

    Returns:
        The delay while no retry storm is active, and the longest delay, in microseconds. Both are 0 if
        rejections may carry no delay.
    """
    settings = request.settings
    longest = settings.max_retry_after if settings.retry_after else 0
    latency_objective = settings.classes[request.class_index].latency_objective
    return min(longest, int(latency_objective / RETRY_AFTER_DIVISOR)), longest


def record_rejection(request: Request, retry_storm: RetryStormPolicy | None) -> int:
    """Counts a rejection for the retry storm policy, at the first tier.

    Args:
        request: The request that is rejected.
        retry_storm: Spreads the returns of clients while a retry storm is active; None if there is no policy.

    Returns:
        The delay after which its client should return, in microseconds.
    """
    base, longest = retry_after_bounds(request)
    if retry_storm is None or request.settings.tier > 0:
        return base
    return retry_storm.record_rejection(request.class_index, longest, base)


class RetryBudget:
    """A budget of tokens for retries: each new request earns RETRY_RATIO of one, each retry spends one."""

    def __init__(self, limit: ConcurrencyLimit, latency: ClassLatency) -> None:
        """Starts with MIN_LIMIT tokens.

        Args:
            limit: The concurrency limit; the budget holds at most its square root, or MIN_LIMIT if more.
            latency: Mean round-trip times, from which the duration of a further attempt is expected.
        """
        self.limit = limit
        self.latency = latency
        self.tokens = float(MIN_LIMIT)

    def earn(self) -> None:
        """Adds the fraction of a token that a new request earns."""
        capacity = max(float(MIN_LIMIT), sqrt(self.limit.limit))
        self.tokens = min(self.tokens + RETRY_RATIO, capacity)

    def spend(self, now: int, request: Request) -> bool:
        """Spends a token for a further attempt, if the request and the budget allow one.

        Args:
            now: The current time in microseconds.
            request: The request whose last attempt failed.

        Returns:
            Whether another attempt may be sent. It may not if the request cannot be sent again, has used up
            its attempts, may have run and must not be repeated, or would be answered too late.
        """
        expected_us = self.latency.mean_rtt[request.class_index]
        if (
            request.not_replayable
            or request.attempts >= request.settings.max_attempts
            or self.tokens < 1
            or not may_repeat(now, request)
            or now + expected_us >= request.due_at(now)
        ):
            return False
        self.tokens -= 1
        return True
