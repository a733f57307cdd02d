"""The queue of requests that wait for a free slot, below the first tier.

There a rejection would waste the work already done in the tiers above. So at the limit a request waits for up
to half of its remaining time. The queue holds at most as many requests as the concurrency limit.
"""

from __future__ import annotations

from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.request import Request

# A request waits for at most its remaining time divided by this number.
WAIT_DIVISOR = 2


class RequestQueue:
    """The waiting requests, in the order of their arrival.

    Attributes:
        waiting: The requests by the host's number. A request that ends is removed at once; otherwise requests
            whose clients have disconnected would keep the queue full.
    """

    def __init__(self, limit: ConcurrencyLimit) -> None:
        """Starts empty.

        Args:
            limit: The concurrency limit, which also bounds the length of the queue.
        """
        self.limit = limit
        self.waiting: dict[int, Request] = {}

    def is_full(self) -> bool:
        """Whether at least as many requests wait as the concurrency limit."""
        return len(self.waiting) >= self.limit.limit

    def add(self, now: int, request: Request) -> int:
        """Appends a request.

        Args:
            now: The current time in microseconds.
            request: The request that is to wait.

        Returns:
            The time for which it may wait, in microseconds.
        """
        self.waiting[request.id] = request
        return max(1, (request.deadline - now) // WAIT_DIVISOR)

    def remove(self, request: int) -> Request | None:
        """Removes and returns the request with a number, or returns None if it is not waiting."""
        return self.waiting.pop(request, None)

    def next_admitted(self, now: int) -> Request | None:
        """Removes and returns the first request if a call may start now; else returns None."""
        if self.waiting and self.limit.admits(now, 0):
            return self.waiting.pop(next(iter(self.waiting)))
        return None
