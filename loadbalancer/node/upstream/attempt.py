"""An attempt: one request to one server, which ends exactly once and is never resent automatically."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loadbalancer.node.upstream.body_buffer import (
    BODY_STALL_TIMEOUT_S,
    BodySource,
    Upload,
)
from loadbalancer.node.upstream.response import Response, ResponseSink, StreamStart
from loadbalancer.policy.api import Outcome

if TYPE_CHECKING:
    from loadbalancer.node.upstream.connection import UpstreamConnection
    from loadbalancer.node.upstream.endpoint import UpstreamEndpoint
    from loadbalancer.node.upstream.pool import ConnectionPool

# Checks of a streamed body within BODY_STALL_TIMEOUT_S, at most.
MAX_CHECKS_PER_STALL_TIMEOUT = 10

# Returns the request bytes just before they are written; None means that nothing may be written.
ComposeRequest = Callable[[], bytes | None]
AttemptDone = Callable[[Outcome, Response | None], None]


def _ignore_sent() -> None:
    """The default `on_sent`: ignores when the request has been sent."""


def _refuse_stream(response: Response, source: BodySource) -> None:
    """The default `on_stream`: refuses to stream, so that a large response is unusable."""


class Attempt:
    """One request to one server: a client's request, or a health check.

    It ends exactly once, with a call of `on_done`.

    Args:
        pool: The pool that provides the connection.
        endpoint: The server.
        compose: Encodes the request; see `ComposeRequest`.
        on_done: Called at the end with the outcome, and the response if there is one.
        on_sent: Called when the last byte of the request has been written.
        on_stream: Called when the response is too large to hold; see `StreamStart`.
        upload: The request's body, if it is streamed.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - one callback for each step
        self,
        pool: ConnectionPool,
        endpoint: UpstreamEndpoint,
        compose: ComposeRequest,
        on_done: AttemptDone,
        on_sent: Callable[[], None] = _ignore_sent,
        on_stream: StreamStart = _refuse_stream,
        upload: Upload | None = None,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.compose = compose
        self.on_done = on_done
        self.on_sent = on_sent
        self.on_stream = on_stream
        self.upload = upload
        self.ended = False
        self.connection: UpstreamConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        # Runs while the attempt waits for a connection.
        self.connect_timer: asyncio.TimerHandle | None = None
        endpoint.active_attempts += 1

    def start(self, timeout_s: float | None) -> None:
        """Uses an idle connection, or opens one and waits for it.

        Args:
            timeout_s: Seconds for the entire attempt. None while the request has not been received
                completely: then only the connect timeout or a stalled body ends the attempt.
        """
        if timeout_s is not None:
            self.set_timeout(timeout_s)
        else:
            self._start_stall_timer()
        connection = self.pool.acquire(self.endpoint)
        if connection is not None:
            self.send_on(connection)
        elif self.pool.ensure_capacity():
            self.endpoint.waiting.append(self)
            self.connect_timer = self.pool.loop.call_later(
                self.pool.connect_timeout_s, self.expire
            )
            self.pool.connect(self.endpoint)
        else:
            self.end(Outcome.CONNECT_FAILED, None)

    def set_timeout(self, timeout_s: float) -> None:
        """Limits the attempt to `timeout_s` seconds from now."""
        if not self.ended:
            if self.deadline_timer is not None:
                self.deadline_timer.cancel()
            self.deadline_timer = self.pool.loop.call_later(timeout_s, self.expire)

    def _start_stall_timer(self) -> None:
        self.deadline_timer = self.pool.loop.call_later(
            BODY_STALL_TIMEOUT_S, self.check_stalled
        )

    def start_streaming(
        self, response: Response, source: BodySource
    ) -> ResponseSink | None:
        """Starts streaming a response that is too large to hold; from then on only a stall ends the attempt.

        The timeout no longer applies: a response need not declare its length, and large responses take long.
        One that was cut off by the timeout while bytes still arrive would be lost.

        Returns:
            Where the response is streamed to; None if it cannot be.
        """
        sink = self.on_stream(response, source)
        if sink is not None and self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self._start_stall_timer()
        return sink

    def check_stalled(self) -> None:
        """Ends an attempt whose streamed body has stalled: the client or the server is gone or hung.

        An attempt that waits for more of the client's upload is left alone; the client side limits that time.
        """
        connection = self.connection
        remaining_s = BODY_STALL_TIMEOUT_S
        if connection is not None:
            remaining_s -= self.pool.loop.time() - connection.active_at
            if remaining_s <= 0 and not connection.awaits_client():
                connection.fail()
                return
        self.deadline_timer = self.pool.loop.call_later(
            max(remaining_s, BODY_STALL_TIMEOUT_S / MAX_CHECKS_PER_STALL_TIMEOUT),
            self.check_stalled,
        )

    def send_on(self, connection: UpstreamConnection) -> None:
        """Writes the request, unless it may no longer be sent: opening the connection may have taken long."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        data = None if self.ended or not self.endpoint.ready else self.compose()
        if data is None:
            self.pool.release(connection)
            self.end(Outcome.NOT_SENT, None)
        else:
            self.connection = connection
            connection.active_at = self.pool.loop.time()
            connection.send_request(self, data, self.upload)

    def withdraw(self) -> None:
        """Ends an attempt that still waits for a connection: the server accepts no new requests."""
        if self in self.endpoint.waiting:
            self.stop(Outcome.NOT_SENT)

    def expire(self) -> None:
        """Ends the attempt on a timeout. A server that lacks the last byte has not run the request."""
        never_ran = self.connection is None or self.connection.request_unsent
        self.stop(Outcome.CONNECT_FAILED if never_ran else Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt and closes its connection, so that no late response meets another request."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.detach()
            self.connection.close()
        elif self in self.endpoint.waiting:
            # The connection may still be established; the next attempt then uses it.
            self.endpoint.waiting.remove(self)
            self.endpoint.trim_connecting()
        self.end(outcome, None)

    def end(self, outcome: Outcome, response: Response | None) -> None:
        """Ends the attempt and calls `on_done`; does nothing if it has ended already."""
        if self.ended:
            return
        self.ended = True
        self.endpoint.active_attempts -= 1
        for timer in (self.deadline_timer, self.connect_timer):
            if timer is not None:
                timer.cancel()
        self.on_done(outcome, response)
