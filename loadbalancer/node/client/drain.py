"""Drains a client listener: ends accepting in steps, and closes the connections as they are answered."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from loadbalancer.node.client.eviction import is_fully_answered, is_idle
from loadbalancer.node.end_reasons import EndReason

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.listener import ClientListener

# Periods that begin when the drain starts (SIGTERM):
REUSE_PERIOD_S = 0.4  # open connections stay open after a response
ACCEPT_PERIOD_S = 0.5  # new connections are still accepted
# Requests are still accepted. How long a streamed response takes is unknown, and one to a request that comes
# more than 0.7 s after SIGTERM must not be cut off by SIGKILL. The rest of the 0.7 s allows for a busy loop.
REQUEST_PERIOD_S = 0.6
# A request that arrives less than this before everything must be answered is unlikely to be answered in time.
LAST_REQUEST_MARGIN_S = 0.2
# A connection that was accepted or used within this time may be about to send a request.
SETTLE_TIME_S = 0.2
# Lingering connections are aborted this long after the time by which everything must be answered.
DRAIN_ABORT_DELAY_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.02


class ListenerDrain:
    """The drain of a client listener, from SIGTERM until its last connection has ended.

    Connections stay open at first, because their clients learn of the drain from the readiness page. They
    then close between requests. From `last_request_at` on nothing is accepted: idle connections close, an
    incomplete request is rejected, and so is one that is read later. Its client may retry at another node.

    Args:
        listener: The listener.
        ends_at: The loop time in seconds by which everything must be answered.

    Attributes:
        started_at: The loop time in seconds at which the drain started.
        last_request_at: The loop time in seconds after which no request is accepted.
    """

    def __init__(self, listener: ClientListener, ends_at: float) -> None:
        self.listener = listener
        self.ends_at = ends_at
        self.started_at = listener.loop.time()
        self.last_request_at = max(
            self.started_at, self.end_of_period(REQUEST_PERIOD_S)
        )

    def end_of_period(self, period_s: float) -> float:
        """The loop time in seconds at which a period ends in which requests may still arrive."""
        return min(self.started_at + period_s, self.ends_at - LAST_REQUEST_MARGIN_S)

    async def run(self) -> None:
        """Drains the listener until no connection is left."""
        listener = self.listener
        listener.draining = True
        listener.last_request_at = self.last_request_at
        if listener.is_shared and listener.listen_socket is not None:
            # The process that takes over accepts connections from the same socket.
            listener.stop_listening()
            listener.closing_after_response = True
        while listener.listen_socket is not None or listener.connections:
            self.advance(listener.loop.time())
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def advance(self, now: float) -> None:
        """Does what is due at `now`, a loop time in seconds."""
        listener = self.listener
        if (
            listener.listen_socket is not None
            and now >= self.started_at + ACCEPT_PERIOD_S
        ):
            listener.stop_listening()
        reuse_ended = now >= self.end_of_period(REUSE_PERIOD_S)
        listener.closing_after_response = listener.closing_after_response or reuse_ended
        for connection in list(listener.connections):
            if now > self.last_request_at:
                reject_incomplete(connection)
            if reuse_ended:
                self.close_settled(connection, now)
            self.abort_stuck(connection, now)

    def close_settled(self, connection: ClientConnection, now: float) -> None:
        """Closes a connection that owes no response.

        A connection with unread bytes, perhaps a request, stays open, up to the time by which everything must
        be answered.

        Args:
            connection: The connection.
            now: The loop time in seconds.
        """
        if not is_fully_answered(connection):
            return
        settled = (
            now - connection.last_active_at > SETTLE_TIME_S
            or now > self.last_request_at
        )
        if now > self.ends_at or (settled and is_idle(connection)):
            self.listener.reasons.closed(EndReason.DRAINING)
            connection.close()

    def abort_stuck(self, connection: ClientConnection, now: float) -> None:
        """Aborts a lingering connection once everything should have been answered.

        Clients that never close their side would otherwise keep the process running until SIGKILL.
        """
        stuck = (
            now > self.ends_at + DRAIN_ABORT_DELAY_S
            and connection in self.listener.lingering
        )
        if stuck and not connection.has_unsent():
            self.listener.reasons.closed(EndReason.LINGER_ENDED)
            connection.transport.abort()


def reject_incomplete(connection: ClientConnection) -> None:
    """Rejects a request that has not arrived completely; no server can have run it.

    A request behind others is left until they have been answered.
    """
    request = connection.reader.incoming
    if request is None or request.completed_at or connection.pipelined:
        return
    if connection.open_request not in (None, request) or connection.stream.active:
        return
    connection.reject(HTTPStatus.SERVICE_UNAVAILABLE, client_sends_on=True)
