"""Streams a response to a client's open request, and counts what the client does not read."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from loadbalancer.node.client.client_socket import (
    DELIVER_ON_CLOSE,
    RESET_ON_CLOSE,
    set_socket_option,
)
from loadbalancer.node.client.response_head import encode_stream_head
from loadbalancer.node.upstream.body_buffer import LAST_CHUNK, BodySource, encode_chunk

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.request import ClientRequest

# Bytes of responses that may wait in this process before the client counts as one that does not read.
UNSENT_LIMIT_BYTES = 16_384
RESPONSE_BUFFER_BYTES = 131_072  # the kernel's send buffer for a streamed response


class ResponseStream:
    """Writes the streamed responses on one client connection, one after the other (`ResponseSink`).

    Attributes:
        active: Whether the response to the open request is being streamed.
        chunked: Whether it is written in chunks.
        ends_with_connection: Whether only the end of the connection delimits its body.
        source: The connection that the body comes from; it is resumed when the client reads again.
        write_paused: Whether the client does not read its responses, so that nothing more should be written.
        held_bytes: Bytes written that the kernel has not accepted, counted while `write_paused`
            (`MemoryHolder`).
    """

    __slots__ = (
        "active",
        "chunked",
        "connection",
        "ends_with_connection",
        "held_bytes",
        "source",
        "write_paused",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.active = False
        self.chunked = False
        self.ends_with_connection = False
        self.source: BodySource | None = None
        self.write_paused = False
        self.held_bytes = 0

    def start(
        self,
        request: ClientRequest,
        headers: bytes,
        length: int | None,
        source: BodySource,
    ) -> None:
        """Writes the head.

        Args:
            request: The request that is answered. Its `keep_alive` is cleared where the connection closes
                after the response.
            headers: Complete header lines, each with its line end.
            length: Bytes of the body; None if the source does not know it.
            source: The connection that the body comes from.
        """
        connection = self.connection
        self.active = True
        self.source = source
        self.chunked = length is None and request.http_version == "1.1"
        self.ends_with_connection = length is None and not self.chunked
        if self.ends_with_connection:
            request.keep_alive = False
            # If the process is killed, the system closes the connection. A regular end would make the partial
            # response look complete.
            set_socket_option(connection.fileno(), socket.SO_LINGER, RESET_ON_CLOSE)
        close = connection.closes_after(request)
        if close:
            request.keep_alive = False
        connection.transport.set_write_buffer_limits(high=0)
        set_socket_option(connection.fileno(), socket.SO_SNDBUF, RESPONSE_BUFFER_BYTES)
        connection.transport.write(
            encode_stream_head(headers, length, self.chunked, close)
        )

    def send_chunk(self, data: bytes) -> None:
        """Writes a part of the body."""
        connection = self.connection
        if connection.transport.is_closing() or not data:
            return
        connection.last_active_at = connection.listener.loop.time()
        connection.transport.write(encode_chunk(data) if self.chunked else data)
        self.count_unsent()

    def write_end(self) -> None:
        """Writes the last chunk, if the body is chunked, or lets the connection end regularly."""
        connection = self.connection
        if self.chunked:
            connection.transport.write(LAST_CHUNK)
        elif self.ends_with_connection and not connection.has_unsent():
            set_socket_option(connection.fileno(), socket.SO_LINGER, DELIVER_ON_CLOSE)

    def reset(self) -> None:
        """Ends streaming; nothing is written."""
        self.active = False
        self.source = None

    def count_unsent(self) -> None:
        """Counts what the client has not read, after a write."""
        if self.write_paused:
            connection = self.connection
            unsent_bytes = connection.transport.get_write_buffer_size()
            connection.listener.budget.count(self, unsent_bytes)

    def release_unsent(self) -> None:
        """Releases the unsent bytes from the budget: the kernel has accepted them, or never will."""
        self.connection.listener.budget.count(self, 0)
