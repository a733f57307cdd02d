"""The input of a client connection: parsed slice by slice, and paused while requests wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.node.client import client_socket
from loadbalancer.node.client.request_reader import HEAD_SLICE_BYTES

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection

# Complete requests that wait while an earlier one is open. At this number parsing and reading pause; those in
# the slice that is being parsed may exceed it.
MAX_PIPELINED_REQUESTS = 8


class ClientInput:
    """The bytes that have been read from one client connection, and whether more are read.

    While MAX_PIPELINED_REQUESTS wait, the rest of what was read stays unparsed: as bytes it takes a fraction
    of the memory that the requests in it would take.

    Attributes:
        paused: Whether nothing is read for now.
        paused_at: The loop time in seconds of the last pause.
        received_at: The loop time in seconds at which bytes were last received.
        unparsed: Bytes that were read and wait; empty while fewer than MAX_PIPELINED_REQUESTS wait.
        held_bytes: Bytes of `unparsed` that count against the memory budget (`MemoryHolder`).
    """

    __slots__ = (
        "connection",
        "held_bytes",
        "listener",
        "paused",
        "paused_at",
        "received_at",
        "unparsed",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.listener = connection.listener
        self.paused = False
        self.paused_at = 0.0
        self.received_at = 0.0
        self.unparsed = b""
        self.held_bytes = 0

    def receive(self, data: bytes) -> None:
        """Parses bytes that the connection has just received, as far as requests may wait."""
        connection = self.connection
        self.received_at = connection.last_active_at
        if not self.unparsed and len(data) <= HEAD_SLICE_BYTES:
            if not connection.reader.ended:
                connection.reader.parse(data)
            return
        self.unparsed += data
        self.parse()

    def parse(self) -> None:
        """Parses what waits, until enough requests do. Bytes after the end of input are dropped."""
        connection = self.connection
        reader = connection.reader
        data = self.unparsed
        position = 0
        while (
            position < len(data)
            and not reader.ended
            and len(connection.pipelined) < MAX_PIPELINED_REQUESTS
        ):
            end = position + reader.slice_bytes()
            reader.parse(data[position:end])
            position = end
        self.unparsed = b"" if reader.ended else data[position:]
        self.listener.budget.count(self, len(self.unparsed))

    def proceed(self) -> None:
        """Parses and reads on, as far as fewer requests wait than before."""
        if self.unparsed:
            self.parse()
        connection = self.connection
        if (
            len(connection.pipelined) < MAX_PIPELINED_REQUESTS
            and not connection.reader.is_in_upload()
        ):
            self.resume()

    def pause(self) -> None:
        """Stops reading from the client for now."""
        transport = self.connection.transport
        if not self.paused and not transport.is_closing():
            self.paused = True
            self.paused_at = self.listener.loop.time()
            transport.pause_reading()
            self.listener.hangup_watch.add(self.connection)

    def resume(self) -> None:
        """Continues reading. The paused time does not count against the time for a body (`eviction`)."""
        transport = self.connection.transport
        if self.paused and not transport.is_closing():
            self.paused = False
            paused_s = self.listener.loop.time() - self.paused_at
            self.connection.reader.headers_complete_at += paused_s
            self.listener.hangup_watch.remove(self.connection)
            transport.resume_reading()

    def check_arrival(self) -> None:
        """Notices a streamed body whose last byte may be on this machine, while it is not read.

        A request counts as taken with its last byte, whether or not that has been read. With a declared
        length its arrival shows in the number of unread bytes; without one, only the parser could tell.
        """
        connection = self.connection
        request = connection.reader.incoming
        if not self.paused or request is None or request.upload is None:
            return
        if request.completed_at or connection.transport.is_closing():
            return
        now = self.listener.loop.time()
        unread_bytes = client_socket.unread_bytes(connection.fileno())
        is_open = connection.open_request is request
        if request.length is None:
            if is_open and unread_bytes:
                self.listener.handler.body_paused(connection, now - self.paused_at)
        elif unread_bytes >= request.length - connection.reader.body_bytes:
            request.completed_at = now
            if is_open:
                self.listener.handler.body_arrived(connection)

    def drop_unparsed(self) -> None:
        """Drops what waits: nothing more is read from this client."""
        self.unparsed = b""
        self.listener.budget.count(self, 0)
