"""The requests that are open at this node, each of which gets exactly one final response."""

from __future__ import annotations

import asyncio
from collections.abc import ValuesView
from http import HTTPStatus
from typing import TYPE_CHECKING

from loadbalancer.node.end_reasons import EndReason, ReasonLog

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.request import ClientRequest
    from loadbalancer.node.lifecycle.reload import ClassTable
    from loadbalancer.node.metrics import Metrics
    from loadbalancer.node.requests.call_ids import Claim
    from loadbalancer.node.upstream.attempt import Attempt
    from loadbalancer.policy.api import Outcome
    from loadbalancer.policy.call_id_rules import CallIdRule

NO_DEADLINE_US = 1 << 62  # later than any time of the node's clock


class OpenRequest:
    """A request that has been accepted and not answered, or whose attempt is still pending.

    Times are in microseconds of the node's clock.

    Args:
        request_id: The request's number at this node.
        client: The connection of the client.
        message: The request as received.
        class_index: The number of the request's class.
        max_attempts: The limit on attempts, from the settings in force when the request was accepted.
        deadline: The time by which the request must be answered.
        idempotency_window_us: Microseconds after the start of the first attempt that may have run, in
            which another attempt may start.

    Attributes:
        id: The request's number at this node.
        call_id: The id that the client has assigned to the request.
        client: The connection of the client; None once the request is answered or the client has gone.
        message: The request as received.
        max_attempts: The limit on attempts.
        deadline: The time by which the request must be answered.
        attempt_count: Number of attempts that the policy has requested.
        attempt_timeout_us: Microseconds for the pending attempt.
        streaming: Whether the response is being streamed.
        completed_at: The time at which the last byte of a streamed body was received, or was noticed to be on
            this machine; 0 until then.
        idempotency_window_us: See the parameter.
        first_run_at: The time at which the first attempt that may have run started; 0 if there is none.
        call_id_rule: How the ids of its class are treated; None if it may be repeated at any time.
        claim: The claim on its call id, from the first attempt that is written.
        last_outcome: How the last attempt that ended did so; None before.
        attempt: The pending attempt.
        guard_timer: Ends the request if the policy does not (`DeadlineGuard`).
    """

    __slots__ = (
        "attempt",
        "attempt_count",
        "attempt_timeout_us",
        "call_id",
        "call_id_rule",
        "claim",
        "class_index",
        "client",
        "completed_at",
        "deadline",
        "first_run_at",
        "guard_timer",
        "id",
        "idempotency_window_us",
        "last_outcome",
        "max_attempts",
        "message",
        "streaming",
    )

    def __init__(  # noqa: PLR0913, PLR0917 - everything that is fixed when a request is accepted
        self,
        request_id: int,
        client: ClientConnection,
        message: ClientRequest,
        class_index: int,
        max_attempts: int,
        deadline: int,
        idempotency_window_us: int,
    ) -> None:
        self.id = request_id
        self.call_id = message.headers[b"x-call-id"]
        self.client: ClientConnection | None = client
        self.message = message
        self.class_index = class_index
        self.max_attempts = max_attempts
        self.deadline = deadline
        self.attempt_count = 0
        self.attempt_timeout_us = 0
        self.streaming = False
        self.completed_at = 0
        self.idempotency_window_us = idempotency_window_us
        self.first_run_at = 0
        self.call_id_rule: CallIdRule | None = None
        self.claim: Claim | None = None
        self.last_outcome: Outcome | None = None
        self.attempt: Attempt | None = None
        self.guard_timer: asyncio.TimerHandle | None = None

    def has_arrived(self) -> bool:
        """Whether the last byte has reached this machine, so that the time of the request runs."""
        return self.message.complete or bool(self.completed_at)

    def state(self) -> str:
        """The request's progress, as `name=value` pairs for the log."""
        message = self.message
        body = "complete" if message.complete else "incomplete"
        outcome = self.last_outcome.name if self.last_outcome is not None else "-"
        return f"attempts={self.attempt_count} outcome={outcome} body={body}"

    def earliest_server_start_at(self, attempt_began_at: int) -> int:
        """When an attempt's server could start: a streamed body is complete only after the attempt starts."""
        return max(attempt_began_at, self.completed_at)


def budget_us_of(request: OpenRequest) -> int:
    """Microseconds that the client waits for the answer, from the last byte of its request."""
    return int(request.message.headers[b"x-budget-ms"]) * 1000


class OpenRequests:
    """All open requests.

    Attributes:
        by_id: The requests by number.
        by_client: The requests whose client waits, by connection.
        by_call_id: The requests whose client waits, by the client's id.
        uploads_in_progress: The numbers of the requests whose body is still being received.
        last_id: The number of the most recent request.
    """

    def __init__(
        self, metrics: Metrics, class_table: ClassTable, reasons: ReasonLog
    ) -> None:
        self.metrics = metrics
        self.reasons = reasons
        self.class_table = class_table
        self.by_id: dict[int, OpenRequest] = {}
        self.by_client: dict[ClientConnection, OpenRequest] = {}
        self.by_call_id: dict[bytes, OpenRequest] = {}
        self.uploads_in_progress: set[int] = set()
        self.last_id = 0

    def __len__(self) -> int:
        """The number of open requests."""
        return len(self.by_id)

    def values(self) -> ValuesView[OpenRequest]:
        """The open requests, the oldest first."""
        return self.by_id.values()

    def next_id(self) -> int:
        """Assigns the number of a request that is being accepted."""
        self.last_id += 1
        return self.last_id

    def add(self, request: OpenRequest) -> None:
        """Adds a request whose client waits for the response."""
        assert request.client is not None
        self.by_call_id[request.call_id] = request
        if not request.message.complete:
            self.uploads_in_progress.add(request.id)
        self.by_id[request.id] = self.by_client[request.client] = request
        self.metrics.request_accepted()

    def answer(
        self,
        request_id: int,
        status: int,
        body: bytes = b"",
        headers: bytes = b"",
        reason: EndReason | None = None,
    ) -> None:
        """Sends the client its final response. Ignored if the request is answered or its client has gone.

        A streamed response is completed if `status` is 200; otherwise the connection is reset.

        Args:
            request_id: The request's number at this node.
            status: The HTTP status.
            body: The body of a response that is not streamed.
            headers: Complete header lines.
            reason: Why the request was not served; None if it was.
        """
        request = self.by_id.get(request_id)
        if request is None or request.client is None:
            return
        client = request.client
        if reason is not None:
            self.reasons.refused(reason, status, request.call_id, request.state())
        class_name = self.class_table.names[request.class_index]
        self.metrics.request_ended(class_name, status)
        self.release(request)
        if request.streaming and status == HTTPStatus.OK:
            client.finish_response()
        else:
            client.send_response(status, body, headers)

    def release(self, request: OpenRequest) -> None:
        """Detaches the request from its client. The request stays while its attempt is pending."""
        self.uploads_in_progress.discard(request.id)
        if request.client is not None:
            self.metrics.request_released()
            del self.by_client[request.client]
            request.client = None
            if self.by_call_id.get(request.call_id) is request:
                del self.by_call_id[request.call_id]
        if request.guard_timer is not None:
            request.guard_timer.cancel()
        if request.attempt is None:
            self.by_id.pop(request.id, None)
