"""A server's address, this node's connections to it, and the attempts that wait for a connection."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import TYPE_CHECKING

from loadbalancer.policy.api import Outcome

if TYPE_CHECKING:
    from loadbalancer.node.upstream.attempt import Attempt
    from loadbalancer.node.upstream.connection import UpstreamConnection

# Idle connections are closed this long before the server would close them.
IDLE_CLOSE_MARGIN_S = 0.3
# A close within this time after a response says nothing about the server's idle timeout.
RESPONSE_CLOSE_GRACE_S = 0.05
# Lower bound for a learned idle limit, however early a server closes.
MIN_IDLE_LIMIT_S = 0.1
# A server's idle timeout counts as known after CONSISTENT_CLOSES successive closes of idle connections, if
# the shortest and the longest idle time differ by at most the fraction CONSISTENT_CLOSE_SPREAD of the
# longest.
CONSISTENT_CLOSES = 3
CONSISTENT_CLOSE_SPREAD = 0.1
# Connections to one server that may still be connecting although no attempt waits for them any more.
MAX_SPARE_CONNECTING = 2


class UpstreamEndpoint:
    """A server's address and this node's connections to it.

    Args:
        host: The server's host name or address.
        port: The server's port.
        started: When the server's process started, in microseconds of Unix time, according to the endpoint
            list; 0 if long ago.

    Attributes:
        started: See the parameter.
        ready: Whether new attempts may use this server.
        connecting: Connections that are being established, the oldest first.
        waiting: Attempts that wait for the next usable connection, the oldest first.
        idle: Idle connections, the most recently used last.
        active_attempts: Attempts that have started and not ended.
        close_ages_s: Idle times in seconds of the connections that this server closed most recently.
        idle_limit_s: Seconds after which idle connections are closed, as learned from the server's closes;
            infinite while nothing is known.
    """

    __slots__ = (
        "active_attempts",
        "close_ages_s",
        "connecting",
        "host",
        "idle",
        "idle_limit_s",
        "port",
        "ready",
        "started",
        "waiting",
    )

    def __init__(self, host: str, port: int, started: int) -> None:
        self.host = host
        self.port = port
        self.started = started
        self.ready = False
        self.connecting: dict[UpstreamConnection, None] = {}
        self.waiting: deque[Attempt] = deque()
        self.idle: list[UpstreamConnection] = []
        self.active_attempts = 0
        self.close_ages_s: list[float] = []
        self.idle_limit_s = inf

    def record_idle_close(self, age_s: float) -> None:
        """Learns from the server's close of a connection that was idle for `age_s` seconds.

        If a server closes earlier than the settings say, a request that is written at that moment is reset
        and counts as one that may have run, and such losses are mistaken for overload. Closes at inconsistent
        ages do not predict the next one: using them would cost a handshake for almost every request.
        """
        if age_s <= RESPONSE_CLOSE_GRACE_S:
            return
        ages = [*self.close_ages_s[1 - CONSISTENT_CLOSES :], age_s]
        self.close_ages_s = ages
        if len(ages) < CONSISTENT_CLOSES:
            return
        shortest = min(ages)
        if shortest >= max(ages) * (1 - CONSISTENT_CLOSE_SPREAD):
            margin_s = min(IDLE_CLOSE_MARGIN_S, shortest / 2)
            self.idle_limit_s = max(MIN_IDLE_LIMIT_S, shortest - margin_s)

    def retire(self) -> None:
        """Stops sending new attempts to this server; active attempts may finish."""
        self.ready = False
        self.close_idle()
        for connection in list(self.connecting):
            connection.cancel_connect()
        for attempt in self.waiting:
            # Deferred until the update that removes this server has been processed.
            attempt.pool.loop.call_soon(attempt.withdraw)

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def on_connection_unusable(self) -> None:
        """Fails the attempt that has waited longest, unless a connecting connection is left for it."""
        if len(self.waiting) > len(self.connecting):
            self.waiting[0].stop(Outcome.CONNECT_FAILED)

    def trim_connecting(self) -> None:
        """Cancels the newest connections that no attempt waits for, except MAX_SPARE_CONNECTING of them."""
        while len(self.connecting) > len(self.waiting) + MAX_SPARE_CONNECTING:
            next(reversed(self.connecting)).cancel_connect()
