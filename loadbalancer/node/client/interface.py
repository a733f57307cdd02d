"""The interface between client connections and the node: the request handler and connection states."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.request import ClientRequest


class RequestHandler(Protocol):
    """Receives the requests of client connections."""

    def request_received(
        self, client: ClientConnection, message: ClientRequest, /
    ) -> None:
        """Handles a request that is complete or whose body is streamed.

        It must be answered once, with `send_response`, or with `start_response` and then `finish_response` or
        `abort_response`, unless `request_abandoned` is called before.
        """

    def body_received(self, client: ClientConnection, /) -> None:
        """Called when the last byte of the open request's streamed body has arrived."""

    def body_arrived(self, client: ClientConnection, /) -> None:
        """Called when all of the open request's streamed body is on this machine, before it has been read.

        It was taken with its last byte, so its time runs although reading is paused.
        """

    def body_unread(self, client: ClientConnection, waited_s: float, /) -> None:
        """Called repeatedly while the last byte of the open request's body may wait unread.

        Args:
            client: The connection of the open request.
            waited_s: Seconds for which it may have waited.
        """

    def capacity_exceeded(self, client: ClientConnection, /) -> None:
        """Rejects the open request, for which there is no capacity.

        `send_response` must be called once for it.
        """

    def request_abandoned(self, client: ClientConnection, /) -> None:
        """Called when the open request needs no response from the handler any more.

        The client has disconnected, or the connection itself has rejected its input.
        """


class ConnectionState(Enum):
    """The stage of closing that a client connection has reached. It only ever advances."""

    OPEN = "open"
    # The client has closed its side; earlier responses are still written.
    HALF_CLOSED = "half-closed"
    # This node has closed its side; received bytes are discarded.
    LINGERING = "lingering"
    CLOSED = "closed"
