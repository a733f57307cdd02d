"""Drains a client listener: ends accepting in steps, and closes the connections as they are answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loadbalancer.node.client.eviction import is_fully_answered, is_idle
from loadbalancer.node.client.linger import LINGER_S
from loadbalancer.node.end_reasons import EndReason

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.listener import ClientListener

# Periods that begin when the drain starts (SIGTERM):
ACCEPT_PERIOD_S = 0.5  # new connections are still accepted
# Open connections still accept requests. The period ends earlier where less than LAST_REQUEST_MARGIN_S would
# be left until everything must be answered (`requests.deadline_guard`: at most 3.4 s after the drain starts).
REUSE_PERIOD_S = 3.2
# The same where another process has taken over the listening socket.
REUSE_PERIOD_SHARED_S = 2.0
# A request that arrives less than this before everything must be answered is unlikely to be answered in time.
LAST_REQUEST_MARGIN_S = 0.2
# A connection that was accepted or used within this time may be about to send a request.
SETTLE_TIME_S = 0.2
# Lingering connections are aborted this long after the answer deadline.
DRAIN_ABORT_DELAY_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.02


class ListenerDrain:
    """The drain of a client listener, from SIGTERM until its last connection has ended.

    Clients may reuse their connections for a while: during a rolling restart, the node that was restarted
    before this one may not be back yet.

    Args:
        listener: The listener.
        ends_at: The loop time in seconds by which everything must be answered.

    Attributes:
        started_at: The loop time in seconds at which the drain started.
        answer_deadline: The loop time in seconds after which no client can be answered.
    """

    def __init__(self, listener: ClientListener, ends_at: float) -> None:
        self.listener = listener
        self.ends_at = ends_at
        self.started_at = listener.loop.time()
        self.answer_deadline = min(
            ends_at, self.started_at + max(ACCEPT_PERIOD_S, REUSE_PERIOD_S) + LINGER_S
        )

    async def run(self) -> None:
        """Drains the listener until no connection is left."""
        listener = self.listener
        listener.draining = True
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
        reuse_ended = now >= self.reuse_ends_at()
        listener.closing_after_response = listener.closing_after_response or reuse_ended
        for connection in list(listener.connections):
            if reuse_ended:
                self.close_settled(connection, now)
            self.abort_stuck(connection, now)

    def reuse_ends_at(self) -> float:
        """The loop time in seconds from which connections close once they owe no response."""
        reuse_period = (
            REUSE_PERIOD_SHARED_S if self.listener.is_shared else REUSE_PERIOD_S
        )
        return min(self.ends_at - LAST_REQUEST_MARGIN_S, self.started_at + reuse_period)

    def close_settled(self, connection: ClientConnection, now: float) -> None:
        """Closes a connection that owes no response, once no further requests are accepted.

        After `answer_deadline`, a connection whose request is incomplete is closed too: that request was
        never accepted.

        Args:
            connection: The connection.
            now: The loop time in seconds.
        """
        if not is_fully_answered(connection):
            return
        settled = now - connection.last_active_at > SETTLE_TIME_S
        if now > self.answer_deadline or (settled and is_idle(connection)):
            self.listener.reasons.closed(EndReason.DRAINING)
            connection.close()

    def abort_stuck(self, connection: ClientConnection, now: float) -> None:
        """Aborts a lingering connection after the answer deadline.

        Clients that never close their side would otherwise keep the process running until SIGKILL.
        """
        stuck = (
            now > self.answer_deadline + DRAIN_ABORT_DELAY_S
            and connection in self.listener.lingering
        )
        if stuck and not connection.has_unsent():
            self.listener.reasons.closed(EndReason.LINGER_ENDED)
            connection.transport.abort()
