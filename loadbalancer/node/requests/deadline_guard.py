"""Limits how long a request stays open: by its deadline, and by the end of the process."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from loadbalancer.node.end_reasons import EndReason
from loadbalancer.node.requests.open_request import NO_DEADLINE_US, OpenRequest

if TYPE_CHECKING:
    from loadbalancer.node.node import Node

# A request that the policy leaves open for this time after its deadline is failed.
GUARD_DELAY_US = 10_000
# The platform sends SIGKILL min(longest deadline of the classes, 3 s) + 0.7 s after SIGTERM.
MAX_COUNTED_DEADLINE_US = 3_000_000
KILL_DELAY_US = 700_000
# Everything is answered this long before SIGKILL, so that the responses can still be sent.
KILL_MARGIN_US = 300_000


def drain_time_us(longest_deadline_us: int) -> int:
    """Microseconds after SIGTERM by which everything must be answered.

    Args:
        longest_deadline_us: The longest deadline of the request classes, in microseconds.
    """
    return (
        min(longest_deadline_us, MAX_COUNTED_DEADLINE_US)
        + KILL_DELAY_US
        - KILL_MARGIN_US
    )


class DeadlineGuard:
    """Ends requests that are open after their deadline, or that would outlast the process.

    Attributes:
        ends_at: The time of the node's clock, in microseconds, by which every accepted request must be
            answered; NO_DEADLINE_US until the process drains.
        failed_count: Number of requests that the policy left open after their deadline.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.ends_at = NO_DEADLINE_US
        self.failed_count = 0

    def cap_budget(self, budget_us: int) -> int:
        """Limits the time of a request that is complete now to the time that the process has left."""
        return min(budget_us, max(0, self.ends_at - self.node.now()))

    def start_timer(self, request: OpenRequest, remaining_us: int) -> None:
        """Starts the timer that ends a request which the policy leaves open, with `remaining_us` left."""
        request.guard_timer = self.node.loop.call_later(
            (remaining_us + GUARD_DELAY_US) / 1e6, self.expire, request
        )

    def expire(self, request: OpenRequest) -> None:
        """Fails a request that is open after its deadline; the policy should have answered it."""
        self.failed_count += 1
        self.node.log_lines.line(f"guard request expired id={request.id}")
        self._fail(request, HTTPStatus.GATEWAY_TIMEOUT, EndReason.DEADLINE_GUARD)

    def _fail(self, request: OpenRequest, status: int, reason: EndReason) -> None:
        self.node.requests.answer(request.id, status, reason=reason)
        # Ends the request at the policy, as a disconnect of its client does.
        self.node.post(self.node.balancer.client_disconnected, request.id)

    def shorten_deadlines(self, ends_at: int) -> None:
        """Limits the deadlines of all open requests to `ends_at`, the end of the process.

        If a server hangs, the client would wait until after SIGKILL, and a request that was accepted long
        before would never be answered. Streamed responses and incomplete requests have no deadline; a request
        gets its deadline when its last byte is received.

        Args:
            ends_at: Time of the node's clock in microseconds.
        """
        self.ends_at = ends_at
        for request in self.node.requests.values():
            timer = request.guard_timer
            if timer is None or request.client is None or request.streaming:
                continue
            if request.deadline > ends_at:
                timer.cancel()
                request.deadline = ends_at
                remaining_us = max(0, ends_at - self.node.now())
                request.guard_timer = self.node.loop.call_later(
                    remaining_us / 1e6, self.cut_short, request
                )

    def cut_short(
        self, request: OpenRequest, reason: EndReason = EndReason.PROCESS_ENDS
    ) -> None:
        """Ends a request that the policy could have kept longer, for example because the process must end.

        A request that cannot have run is rejected, whatever its class: its client may retry at another node.
        """
        if request.attempt is not None:
            request.attempt.expire()
        if request.client is not None:
            may_have_run = bool(request.first_run_at)
            self._fail(
                request,
                HTTPStatus.GATEWAY_TIMEOUT
                if may_have_run
                else HTTPStatus.SERVICE_UNAVAILABLE,
                reason,
            )
