"""The requests that are open at this node, and the one final answer of each."""

from __future__ import annotations

import asyncio
from collections.abc import ValuesView
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.request import ClientRequest
    from loadbalancer.node.lifecycle.reload import ClassTable
    from loadbalancer.node.metrics import Metrics
    from loadbalancer.node.upstream.attempt import Attempt

NO_DEADLINE_US = 1 << 62  # later than any time of the node's clock


class OpenRequest:
    """A request that has been taken and not answered, or whose attempt is still pending.

    Times are of the node's clock, in microseconds.

    Attributes:
        id: Its number at this node.
        call_id: The id that the client gave it.
        client: Its connection; None once it is answered or the client has left.
        message: The request as it came.
        max_attempts: By the settings under which it came.
        deadline: By which it must be answered.
        attempt_count: Attempts that the policy has asked for.
        attempt_timeout_us: Of the pending attempt.
        streaming: Its answer is streamed.
        completed_at: When the last byte of a streamed body came.
        idempotency_window_us: After an attempt that may have run, in which another may begin.
        first_run_at: When the first attempt began that may have run; 0 if none has.
        attempt: The pending attempt.
        guard_timer: Ends it if the policy does not.
    """

    __slots__ = (
        "attempt",
        "attempt_count",
        "attempt_timeout_us",
        "call_id",
        "class_index",
        "client",
        "completed_at",
        "deadline",
        "first_run_at",
        "guard_timer",
        "id",
        "idempotency_window_us",
        "max_attempts",
        "message",
        "streaming",
    )

    def __init__(  # noqa: PLR0913, PLR0917 - all that is fixed as it is taken
        self,
        number: int,
        client: ClientConnection,
        message: ClientRequest,
        class_index: int,
        max_attempts: int,
        deadline: int,
        idempotency_window_us: int,
    ) -> None:
        self.id = number
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
        self.attempt: Attempt | None = None
        self.guard_timer: asyncio.TimerHandle | None = None

    def server_could_begin_at(self, attempt_began_at: int) -> int:
        """When an attempt's server could begin: a streamed body ends later than the attempt begins."""
        return max(attempt_began_at, self.completed_at)


class OpenRequests:
    """All open requests.

    Attributes:
        by_id: By their number.
        by_client: Those whose client waits, by its connection.
        by_call_id: The same, by the client's id.
        last_id: The number of the latest.
    """

    def __init__(self, metrics: Metrics, class_table: ClassTable) -> None:
        self.metrics = metrics
        self.class_table = class_table
        self.by_id: dict[int, OpenRequest] = {}
        self.by_client: dict[ClientConnection, OpenRequest] = {}
        self.by_call_id: dict[bytes, OpenRequest] = {}
        self.last_id = 0

    def __len__(self) -> int:
        """How many are open."""
        return len(self.by_id)

    def values(self) -> ValuesView[OpenRequest]:
        """All of them, the oldest first."""
        return self.by_id.values()

    def next_id(self) -> int:
        """The number of a request that is taken now."""
        self.last_id += 1
        return self.last_id

    def add(self, request: OpenRequest) -> None:
        """Adds a request whose client waits."""
        assert request.client is not None
        self.by_call_id[request.call_id] = request
        self.by_id[request.id] = self.by_client[request.client] = request
        self.metrics.request_accepted()

    def answer(
        self, number: int, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        """Gives the client its one final answer; a second one, or one for nobody, is passed over."""
        request = self.by_id.get(number)
        if request is None or request.client is None:
            return
        client = request.client
        class_name = self.class_table.names[request.class_index]
        self.metrics.request_ended(class_name, status)
        self.release(request)
        if request.streaming and status == HTTPStatus.OK:
            client.finish_response()
        else:
            client.send_response(status, body, headers)

    def release(self, request: OpenRequest) -> None:
        """Nothing more is owed to the client. The request stays while its attempt is pending."""
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
