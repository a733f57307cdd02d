"""Detects clients that disconnect while the node does not read from them."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection

CHECK_INTERVAL_S = 0.04


class HangupWatch:
    """Polls the clients whose reading is paused: the event loop cannot report that they disconnect.

    Failure prevented: a client disconnects while its body or its pipelined requests are held back, and its
    request stays queued, on the connection or in the policy, and is forwarded long afterwards.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.poll = select.poll()
        # The descriptor of a connection is only known until it is closed, hence the second map.
        self.connections: dict[int, ClientConnection] = {}
        self.descriptors: dict[ClientConnection, int] = {}
        self.watching = False

    def add(self, connection: ClientConnection) -> None:
        """Starts polling a connection for its client's end of stream."""
        descriptor = connection.fileno()
        self.connections[descriptor] = connection
        self.descriptors[connection] = descriptor
        self.poll.register(descriptor, select.POLLRDHUP)
        if not self.watching:
            self.watching = True
            self.loop.call_later(CHECK_INTERVAL_S, self.check)

    def remove(self, connection: ClientConnection) -> None:
        """Stops polling a connection; does nothing if it is not polled."""
        descriptor = self.descriptors.pop(connection, None)
        if descriptor is not None:
            del self.connections[descriptor]
            self.poll.unregister(descriptor)

    def check(self) -> None:
        """Ends the requests of clients that have disconnected, and schedules the next check."""
        for descriptor, _ in self.poll.poll(0):
            connection = self.connections.get(descriptor)
            if connection is not None:
                connection.on_client_hangup()
        self.watching = bool(self.connections)
        if self.watching:
            self.loop.call_later(CHECK_INTERVAL_S, self.check)
