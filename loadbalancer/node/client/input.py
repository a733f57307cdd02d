"""The input of a client connection: parsed slice by slice, and paused while requests wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.node.client import client_socket
from loadbalancer.node.client.arrival import ArrivalBounds
from loadbalancer.node.client.request_reader import HEAD_SLICE_BYTES

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.request import ClientRequest

# Complete requests that wait while an earlier one is open. At this number parsing and reading pause; those in
# the slice that is being parsed may exceed it.
MAX_PIPELINED_REQUESTS = 8
# Bytes of a body that are still missing beyond this cannot all have been written: a client's system holds no
# more for a connection.
MAX_CLIENT_BUFFER_BYTES = 4 << 20


class ClientInput:
    """The bytes that have been read from one client connection, and whether more are read.

    While MAX_PIPELINED_REQUESTS wait, the rest of what was read stays unparsed: as bytes it takes a fraction
    of the memory that the requests in it would take.

    Attributes:
        paused: Whether nothing is read for now.
        paused_at: The loop time in seconds of the last pause.
        resumed_at: The loop time in seconds at which reading last continued.
        arrival: Bounds for when the unread bytes were written.
        parsed_bytes: Bytes that have been passed to the reader.
        progress_at: The loop time in seconds at which the client was last seen to send some of a streamed
            body, or could not send because its receive window was full.
        received_at: The loop time in seconds at which bytes were last received.
        unparsed: Bytes that were read and wait; empty while fewer than MAX_PIPELINED_REQUESTS wait.
        held_bytes: Bytes of `unparsed` that count against the memory budget (`MemoryHolder`).
    """

    __slots__ = (
        "arrival",
        "connection",
        "held_bytes",
        "listener",
        "parsed_bytes",
        "paused",
        "paused_at",
        "progress_at",
        "received_at",
        "resumed_at",
        "seen_bytes",
        "unparsed",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.listener = connection.listener
        self.paused = False
        self.paused_at = 0.0
        self.resumed_at = 0.0
        self.arrival = ArrivalBounds()
        self.parsed_bytes = 0
        self.progress_at = 0.0
        self.seen_bytes = 0
        self.received_at = 0.0
        self.unparsed = b""
        self.held_bytes = 0

    def receive(self, data: bytes) -> None:
        """Parses bytes that the connection has just received, as far as requests may wait."""
        connection = self.connection
        self.received_at = connection.last_active_at
        if not self.unparsed and len(data) <= HEAD_SLICE_BYTES:
            if not connection.reader.ended:
                self.parse_slice(data)
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
            self.parse_slice(data[position:end])
            position = end
        self.unparsed = b"" if reader.ended else data[position:]
        self.listener.budget.count(self, len(self.unparsed))

    def parse_slice(self, data: bytes) -> None:
        """Passes a slice to the reader."""
        if self.arrival.since is not None:
            self.arrival.advance(self.parsed_bytes)
        self.connection.reader.parse(data)
        self.parsed_bytes += len(data)

    def arrived_at(self) -> float:
        """The loop time in seconds before which the slice that is being parsed was not written."""
        since = self.arrival.since
        return self.received_at if since is None else min(self.received_at, since)

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
            self.arrival.begin(self.paused_at)
            transport.pause_reading()
            self.listener.hangup_watch.add(self.connection)

    def resume(self) -> None:
        """Continues reading. The paused time does not count against the time for a body (`eviction`)."""
        transport = self.connection.transport
        if self.paused and not transport.is_closing():
            self.paused = False
            self.resumed_at = self.listener.loop.time()
            paused_s = self.resumed_at - self.paused_at
            self.connection.reader.headers_complete_at += paused_s
            self.listener.hangup_watch.remove(self.connection)
            transport.resume_reading()

    def observe_arrival(self, read_bytes: int = 0) -> None:
        """Records what is unread on this machine, where bytes may have waited.

        Args:
            read_bytes: Bytes that were read just now.
        """
        connection = self.connection
        if self.arrival.since is None or connection.transport.is_closing():
            return
        descriptor = connection.fileno()
        self.arrival.observe(
            self.listener.loop.time(),
            self.received_bytes(),
            client_socket.unread_bytes(descriptor),
            client_socket.is_window_open(descriptor, read_bytes),
            reading=not self.paused,
        )

    def received_bytes(self) -> int:
        """Bytes that have been read from the client."""
        return self.parsed_bytes + len(self.unparsed)

    def check_arrival(self) -> None:
        """Notices a streamed body whose last byte may have been written, while it is not read.

        A request counts as taken with its last byte, whether or not that has been read. With a declared
        length its arrival shows in the number of unread bytes, unless some wait on the client's side; without
        one, only the parser could tell.
        """
        connection = self.connection
        self.observe_arrival()
        request = connection.reader.incoming
        if (
            request is None
            or request.upload is None
            or request.completed_at
            or connection.transport.is_closing()
        ):
            return
        unread_bytes = client_socket.unread_bytes(connection.fileno())
        self.note_progress(unread_bytes)
        if self.arrival.since is None:
            return
        if request.length is not None:
            missing_bytes = request.length - connection.reader.body_bytes
            if unread_bytes >= missing_bytes:
                self.note_arrival(request, self.received_bytes() + missing_bytes)
                return
            missing_bytes -= unread_bytes
            if (
                not self.arrival.window_was_full
                or missing_bytes > MAX_CLIENT_BUFFER_BYTES
            ):
                request.incomplete_at = self.listener.loop.time()
                return
        elif not (unread_bytes or self.arrival.window_was_full):
            return
        if connection.open_request is request:
            self.listener.handler.body_unread(connection, self.waited_s(request))

    def note_progress(self, unread_bytes: int) -> None:
        """Notices whether the client sends, or could not."""
        arrived_bytes = self.received_bytes() + unread_bytes
        if arrived_bytes != self.seen_bytes or self.arrival.window_was_full:
            self.seen_bytes = arrived_bytes
            now = self.listener.loop.time()
            waits = unread_bytes or self.arrival.window_was_full
            self.progress_at = now if waits else self.received_at

    def may_be_complete(self, request: ClientRequest) -> bool:
        """Whether the last byte of an incomplete request may wait unread."""
        if self.arrival.since is None:
            return False
        if self.arrival.window_was_full:
            return True
        unread_bytes = client_socket.unread_bytes(self.connection.fileno())
        if request.length is None:
            return unread_bytes > 0
        return unread_bytes >= request.length - self.connection.reader.body_bytes

    def note_arrival(self, request: ClientRequest, end_offset: int) -> None:
        """Starts the time of a request whose last byte, at `end_offset`, is on this machine."""
        bound = self.arrival.bound_at(end_offset)
        now = self.listener.loop.time()
        request.completed_at = max(
            now if bound is None else bound, request.incomplete_at
        )
        if self.connection.open_request is request:
            self.listener.handler.body_arrived(self.connection)

    def waited_s(self, request: ClientRequest) -> float:
        """Seconds for which an incomplete request may have been waiting with its last byte unread."""
        if self.arrival.since is None:
            return 0.0
        now = self.listener.loop.time()
        return now - max(self.arrival.since, request.incomplete_at)

    def drop_unparsed(self) -> None:
        """Drops what waits: nothing more is read from this client."""
        self.unparsed = b""
        self.listener.budget.count(self, 0)
