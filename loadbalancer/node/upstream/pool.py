"""The pool of connections to servers, within a budget of file descriptors."""

from __future__ import annotations

import asyncio

from loadbalancer.node.memory_budget import MemoryBudget
from loadbalancer.node.upstream.connection import ConnectionState, UpstreamConnection
from loadbalancer.node.upstream.endpoint import IDLE_CLOSE_MARGIN_S, UpstreamEndpoint

SWEEP_INTERVAL_S = 0.5  # between two checks of the idle connections
# Factor by which a learned idle limit is relaxed at each sweep.
IDLE_LIMIT_GROWTH = 1.02
# For this time after a server has sent more than a response, connections are only reused after REUSE_DELAY_S.
REUSE_DELAY_PERIOD_S = 60.0


class ConnectionPool:
    """The connections to servers, and the endpoints that they belong to.

    Args:
        loop: The event loop that serves the connections.
        max_connections: File descriptors that the connections may use.
        connect_timeout_s: Seconds that an attempt waits for a connection.
        idle_time_s: Seconds for which servers keep idle connections open, according to the settings.
        budget: The memory budget of the node.

    Attributes:
        idle_limit_s: Seconds after which idle connections are closed, derived from the settings. The limit
            learned for an endpoint applies if it is shorter.
        hit_header: The lower-case name of the response header that reports cache hits; empty for none.
        reuse_delay_until: The loop time in seconds until which connections are only reused after
            REUSE_DELAY_S.
        open_count: Connections that count against `max_connections`.
        connecting: Connections that are being established, the oldest first.
        endpoints: The endpoints by number.
        endpoints_with_idle: Endpoints that may have idle connections; in a large fleet only a few do.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        connect_timeout_s: float,
        idle_time_s: float,
        budget: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.budget = budget
        self.hit_header = b""
        self.set_timeouts(connect_timeout_s, idle_time_s)
        self.reuse_delay_until = 0.0
        self.open_count = 0
        self.connecting: dict[UpstreamConnection, None] = {}
        self.endpoints: dict[int, UpstreamEndpoint] = {}
        self.endpoints_with_idle: dict[UpstreamEndpoint, None] = {}
        self.sweep_scheduled = False

    def set_timeouts(self, connect_timeout_s: float, idle_time_s: float) -> None:
        """Sets the timeouts from the settings, as in the constructor."""
        self.connect_timeout_s = connect_timeout_s
        self.idle_limit_s = max(idle_time_s - IDLE_CLOSE_MARGIN_S, idle_time_s / 2)

    def on_unsolicited_bytes(self) -> None:
        """Called when a server has sent more than a response; all may, as they run the same software."""
        self.reuse_delay_until = self.loop.time() + REUSE_DELAY_PERIOD_S

    # ---- using connections ----------------------------------------------------------------------------

    def acquire(self, endpoint: UpstreamEndpoint) -> UpstreamConnection | None:
        """Removes and returns an idle connection that is usable; None if there is none.

        A second response, which may follow the first by some milliseconds, must not meet the next request.
        The most recently used connection whose reuse delay is over is therefore preferred. If there is none,
        the one that was idle longest is used; but while `reuse_delay_until` lies ahead, None is returned
        instead so that a new connection is opened, unless the connection budget is used up.
        """
        now = self.loop.time()
        while endpoint.idle:
            index = len(endpoint.idle) - 1
            while index and not endpoint.idle[index].is_reuse_delay_over(now):
                index -= 1
            connection = endpoint.idle[index]
            if (
                now < self.reuse_delay_until
                and not connection.is_reuse_delay_over(now)
                and self.open_count < self.max_connections
            ):
                return None
            del endpoint.idle[index]
            age_s = now - connection.idle_since
            if (
                age_s < min(self.idle_limit_s, endpoint.idle_limit_s)
                and not connection.has_unsolicited_input()
            ):
                return connection
            connection.close()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Gives a free connection to the attempt that has waited longest, or adds it to the idle ones."""
        endpoint = connection.endpoint
        # A connection is not reused directly after a response if servers may send surplus bytes.
        has_waiting_attempt = endpoint.waiting and not (
            connection.has_received_response
            and self.loop.time() < self.reuse_delay_until
        )
        if (
            not endpoint.ready
            or connection.transport.is_closing()
            or (has_waiting_attempt and connection.has_unsolicited_input())
        ):
            connection.close()
            endpoint.on_connection_unusable()
        elif has_waiting_attempt:
            endpoint.waiting.popleft().send_on(connection)
        else:
            self._add_idle(connection)

    def _add_idle(self, connection: UpstreamConnection) -> None:
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        self.endpoints_with_idle[connection.endpoint] = None
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Closes connections that have been idle for almost as long as their server allows."""
        now = self.loop.time()
        self.sweep_scheduled = False
        for endpoint in list(self.endpoints_with_idle):
            endpoint.idle_limit_s *= IDLE_LIMIT_GROWTH
            limit_s = min(self.idle_limit_s, endpoint.idle_limit_s)
            # Connections that would exceed the limit before the next sweep are closed now.
            limit_s = max(limit_s - SWEEP_INTERVAL_S, limit_s / 2)
            while endpoint.idle and now - endpoint.idle[0].idle_since > limit_s:
                endpoint.idle.pop(0).close()
            if endpoint.idle:
                self.sweep_scheduled = True
            else:
                del self.endpoints_with_idle[endpoint]
        if self.sweep_scheduled:
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # ---- opening and counting -------------------------------------------------------------------------

    def ensure_capacity(self) -> bool:
        """Makes sure that one more connection fits the budget, if possible.

        If necessary, it cancels a connecting connection that no attempt waits for, or else closes the
        connection that has been idle longest.

        Returns:
            Whether one more connection may be opened.
        """
        if self.open_count < self.max_connections:
            return True
        for connection in self.connecting:
            endpoint = connection.endpoint
            if len(endpoint.connecting) > len(endpoint.waiting):
                connection.cancel_connect()
                return True
        candidates = [
            endpoint for endpoint in self.endpoints_with_idle if endpoint.idle
        ]
        if not candidates:
            return False
        longest_idle = min(candidates, key=lambda endpoint: endpoint.idle[0].idle_since)
        connection = longest_idle.idle.pop(0)
        connection.close()
        self.on_closed(connection)
        return True

    def connect(self, endpoint: UpstreamEndpoint) -> None:
        """Starts to establish a connection."""
        connection = UpstreamConnection(self, endpoint)
        self.open_count += 1
        self.connecting[connection] = endpoint.connecting[connection] = None
        connection.connect_task = self.loop.create_task(connection.connect())

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Called when a connection is established."""
        if connection.state is ConnectionState.CONNECTING:  # not lost in the meantime
            connection.state = ConnectionState.IDLE
        self._remove_connecting(connection)

    def _remove_connecting(self, connection: UpstreamConnection) -> None:
        self.connecting.pop(connection, None)
        connection.endpoint.connecting.pop(connection, None)
        connection.connect_task = None

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Called when a connection has ended; only the first call for a connection counts."""
        if connection.state is not ConnectionState.CLOSED:
            connection.state = ConnectionState.CLOSED
            self.open_count -= 1
            self._remove_connecting(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
