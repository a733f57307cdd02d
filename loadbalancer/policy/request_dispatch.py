"""Dispatch of open requests: the attempts, the retries that may follow, and the one final answer."""

from __future__ import annotations

from loadbalancer.policy.api import Idempotency, Outcome
from loadbalancer.policy.call_tracker import CallTracker
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.endpoint_selection import EndpointSelector
from loadbalancer.policy.request import Request
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.retry_policy import (
    RetryBudget,
    client_may_retry,
    record_execution,
    record_rejection,
)

# A timer's token has its kind in the top byte and, for TIMER_QUEUE, the waiting request's number below it.
TIMER_LIST, TIMER_QUEUE, TIMER_SWEEP = 1, 2, 3
TOKEN_BITS = 56


class RequestDispatcher:
    """Sends open requests to endpoints, retries them, and rejects or fails those that get no answer.

    Attributes:
        requests: The open requests by the host's number.
    """

    def __init__(
        self,
        context: PolicyContext,
        selector: EndpointSelector,
        calls: CallTracker,
        retries: RetryBudget,
        queue: RequestQueue,
    ) -> None:
        """Combines the rules that apply to an admitted request.

        Args:
            context: The settings in force and the host's actions.
            selector: Selects the endpoint of an attempt.
            calls: Counts the calls of endpoints.
            retries: The budget for retries.
            queue: The queue of requests that wait at the limit, below the first tier.
        """
        self.context = context
        self.selector = selector
        self.table = selector.table
        self.subset = selector.subset
        self.outliers = selector.outliers
        self.calls = calls
        self.admission = calls.admission
        self.retries = retries
        self.queue = queue
        self.requests: dict[int, Request] = {}

    def attempt(self, now: int, request: Request) -> None:
        """Sends the request to a selected endpoint; rejects or fails it if there is none."""
        endpoint = self.selector.select(now, request)
        if endpoint is None:
            self.finish(request, retriable=request.executed_by is None)
            return
        timeout = request.due_at(now) - now
        if endpoint.outside_limit and request.idempotency != Idempotency.NOT_IDEMPOTENT:
            tick = self.context.settings.tick_us
            timeout = self.outliers.trial_timeout(request.class_index, timeout, tick)
        if request.time_left_when_complete:
            self.table.off_limit_attempts[request.id] = endpoint
        else:
            self.calls.start(now, endpoint)
        if request.executed_by is None:
            # The endpoint list may move the endpoint to another zone or cell before the request is repeated.
            request.scope_ids = (0, endpoint.zone, endpoint.cell)
        request.pending_endpoint = endpoint
        request.sent_at = now
        request.attempts += 1
        self.context.actions.send(request.id, endpoint.id, timeout)

    def after_attempt(
        self,
        now: int,
        request: Request,
        endpoint: Endpoint | None,
        outcome: Outcome,
        final: bool,
    ) -> None:
        """Closes a request that has its final answer; otherwise retries, rejects or fails it.

        Args:
            now: The current time in microseconds.
            request: The request whose attempt ended.
            endpoint: The attempt's endpoint; None if it is no longer known.
            outcome: How the attempt ended.
            final: Whether nothing more is owed to the client, as after an answer that was passed on.
        """
        answered = outcome == Outcome.OK
        if final or answered:
            if self.admission.retry_storm is not None:
                self.admission.retry_storm.record_end(
                    now, request.class_index, answered
                )
            del self.requests[request.id]
        elif request.response_started:
            self.finish(request, retriable=False)
        else:
            self.retry(now, request, endpoint, outcome)

    def retry(
        self, now: int, request: Request, endpoint: Endpoint | None, outcome: Outcome
    ) -> None:
        """Sends another attempt after a failed one if the retry policy allows it; else rejects or fails."""
        record_execution(request, endpoint, outcome)
        if self.retries.spend(now, request):
            self.attempt(now, request)
        else:
            self.finish(request, retriable=client_may_retry(request))

    def finish(self, request: Request, retriable: bool) -> None:
        """Gives the one final answer.

        Args:
            request: The request, which is closed.
            retriable: Whether a retry by the client does no harm. If so the request is rejected, else failed.
        """
        del self.requests[request.id]
        if retriable:
            retry_after = record_rejection(request, self.admission.retry_storm)
            self.context.actions.reject(request.id, retry_after)
        else:
            self.context.actions.fail(request.id)

    def enqueue(self, now: int, request: Request) -> None:
        """Queues a request until a slot is free. Rejects it if the queue is full or no member is eligible."""
        if not self.subset.eligible or self.queue.is_full():
            self.admission.rejected += 1
            self.finish(request, retriable=True)
            return
        wait = self.queue.add(now, request)
        self.context.actions.set_timer(wait, TIMER_QUEUE << TOKEN_BITS | request.id)

    def serve_queue(self, now: int) -> None:
        """Sends queued requests, in their order, while calls may start."""
        while (request := self.queue.next_admitted(now)) is not None:
            self.attempt(now, request)
