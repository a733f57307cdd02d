"""A connection to a server, which is idle or busy with one attempt at a time.

Bytes that cannot belong to the response to a request end the connection; they are never used as a response.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import sys
import termios
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING, cast

from loadbalancer.node.upstream.body_buffer import LAST_CHUNK, Upload, encode_chunk
from loadbalancer.node.upstream.response import Response
from loadbalancer.node.upstream.response_reader import ResponseReader
from loadbalancer.policy.api import Outcome

if TYPE_CHECKING:
    from loadbalancer.node.upstream.attempt import Attempt
    from loadbalancer.node.upstream.endpoint import UpstreamEndpoint
    from loadbalancer.node.upstream.pool import ConnectionPool

# Limit for establishing a connection; a lost SYN is resent after 1 s. An attempt waits for it no longer than
# the pool's `connect_timeout_s`.
MAX_CONNECT_TIME_S = 2.0
# Bytes that arrive within this time after a request was written may have been sent before the server received
# the request.
CROSSING_WINDOW_S = 0.05
# After a response, a server may send surplus bytes within this time.
REUSE_DELAY_S = 0.02
TIOCOUTQ_RESULT_BYTES = 4  # size of the C int that the TIOCOUTQ ioctl returns


class ConnectionState(Enum):
    """The stage of an upstream connection. It only advances, except between `IDLE` and `BUSY`."""

    CONNECTING = "connecting"
    IDLE = "idle"  # in the endpoint's idle list, or about to be assigned to an attempt or released by it
    BUSY = "busy"  # assigned to an attempt
    CLOSING = "closing"  # closed by this node; still counts against the budget
    CLOSED = "closed"  # no longer counts against the budget


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to a server, which carries one attempt at a time.

    This node ends it only through `close`.

    Args:
        pool: The pool that the connection belongs to.
        endpoint: The server.

    Attributes:
        state: The stage that the connection has reached.
        attempt: The attempt that the connection carries while it is busy.
        response_reader: Parses the response to that attempt.
        upload: The attempt's streamed request body, until it has been written completely.
        idle_since: The loop time in seconds at which the connection last became idle.
        active_at: The loop time in seconds at which bytes were last received or written, or reading resumed.
        write_paused: Whether written bytes are still waiting in this process.
        held_bytes: Bytes of a request written that the kernel has not accepted (`MemoryHolder`); an upload
            counts its own.
        request_unsent: Whether the server cannot have received the complete request yet.
        request_bytes: Bytes of the request; 0 if its body is streamed.
        has_received_response: Whether an earlier response has been received on this connection.
        connect_task: The task that establishes the connection, while it runs.
    """

    def __init__(self, pool: ConnectionPool, endpoint: UpstreamEndpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = None
        self.response_reader = ResponseReader(pool, self)
        self.upload: Upload | None = None
        self.idle_since = 0.0
        self.active_at = 0.0
        self.write_paused = False
        self.held_bytes = 0
        self.read_paused = False
        self.request_unsent = False
        self.request_bytes = 0
        self.has_received_response = False
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.connect_task: asyncio.Task[None] | None = None

    # ---- connecting -----------------------------------------------------------------------------------

    async def connect(self) -> None:
        """Connects. The connection then goes to the attempt that has waited longest for this server."""
        endpoint = self.endpoint
        try:
            async with asyncio.timeout(MAX_CONNECT_TIME_S):
                await self.pool.loop.create_connection(
                    lambda: self, endpoint.host, endpoint.port
                )
        except (OSError, ValueError):
            # A timeout raises a TimeoutError, which is an OSError; an invalid host name raises a ValueError.
            self.pool.on_closed(self)
            endpoint.on_connection_unusable()
        except asyncio.CancelledError:
            self.pool.on_closed(self)
            if self.transport is not None:
                self.close()
            raise
        else:
            self.pool.on_connected(self)
            self.pool.release(self)

    def cancel_connect(self) -> None:
        """Cancels connecting, because no attempt waits for this connection."""
        task = self.connect_task
        self.pool.on_closed(self)
        if task is not None:
            task.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the connection is established."""
        self.transport = cast(asyncio.Transport, transport)
        # A limit of 0 makes the loop call pause_writing as soon as a request is not written completely.
        self.transport.set_write_buffer_limits(high=0)
        self.fileno = self.transport.get_extra_info("socket").fileno()
        self.input_poll = select.poll()
        self.input_poll.register(self.fileno, select.POLLIN)

    # ---- writing --------------------------------------------------------------------------------------

    def send_request(
        self, attempt: Attempt, data: bytes, upload: Upload | None = None
    ) -> None:
        """Writes the attempt's request; the bytes of an upload follow as they are received."""
        self.attempt = attempt
        self.state = ConnectionState.BUSY
        self.response_reader.reset()
        self.upload = upload
        self.request_unsent = upload is not None
        # A request with an upload may be answered before it has been sent completely.
        self.request_bytes = 0 if upload is not None else len(data)
        if not self.transport.is_closing():
            self.transport.write(data)
            if self.write_paused:
                unsent_bytes = self.transport.get_write_buffer_size()
                self.pool.budget.count(self, unsent_bytes)
            if upload is not None:
                upload.writer = self.write_upload
                self.write_upload()
        if self.transport.is_closing():
            # The connection was lost before or during the write: the server lacks part of the request.
            self.request_unsent = True
            self.fail()
        elif not self.request_unsent and self.attempt is attempt and upload is None:
            attempt.on_sent()

    def write_upload(self) -> None:
        """Writes the received bytes of the upload, unless the kernel accepts no more."""
        upload = self.upload
        if (
            upload is not None
            and upload.waiting
            and not self.write_paused
            and not self.transport.is_closing()
        ):
            data = upload.take()
            self.active_at = self.pool.loop.time()
            self.transport.write(
                data if upload.length is not None else encode_chunk(data)
            )
            if not self.write_paused:
                upload.mark_sent()
        if upload is None or self.write_paused or self.transport.is_closing():
            return
        if upload.complete:
            self.finish_upload(upload)
        else:
            upload.source.resume()

    def finish_upload(self, upload: Upload) -> None:
        """Ends the upload's body, all of whose bytes have been written."""
        self.upload = upload.writer = None
        if upload.length is None:
            self.transport.write(LAST_CHUNK)
        if not self.write_paused and not self.transport.is_closing():
            self.on_request_sent()

    def on_request_sent(self) -> None:
        """Called when the kernel has accepted the complete request."""
        self.request_unsent = False
        if self.attempt is not None:
            self.attempt.on_sent()

    def pause_writing(self) -> None:
        """Called by the event loop when the kernel accepts no more bytes."""
        self.write_paused = self.request_unsent = True

    def resume_writing(self) -> None:
        """Called by the event loop when the kernel has accepted everything that was written."""
        self.write_paused = False
        self.pool.budget.count(self, 0)
        self.active_at = self.pool.loop.time()
        if self.upload is not None:
            self.upload.mark_sent()
            self.write_upload()
        elif self.request_unsent:
            self.on_request_sent()

    def awaits_client(self) -> bool:
        """Whether the attempt waits for the client to send more of its upload."""
        return self.upload is not None and not self.write_paused

    # ---- reading --------------------------------------------------------------------------------------

    def pause(self) -> None:
        """Stops reading, because the client does not accept the response as fast as it arrives."""
        if not self.read_paused and not self.transport.is_closing():
            self.read_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continues reading: the client has accepted what was sent to it."""
        if self.read_paused and not self.transport.is_closing():
            self.read_paused = False
            self.active_at = self.pool.loop.time()
            self.transport.resume_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the event loop's next read."""
        return self.pool.budget.next_read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop when it has read `nbytes` bytes into the buffer."""
        self.data_received(bytes(self.pool.budget.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses a part of the response, and ends the attempt once the response is complete or unusable."""
        if self.attempt is None:
            # Unsolicited bytes would be mistaken for the next response.
            if self.has_received_response:
                self.pool.on_unsolicited_bytes()
            self.close()
            return
        now = self.pool.loop.time()
        response = self.response_reader
        if (
            self.has_received_response
            and not response.received_bytes
            and now - self.active_at < CROSSING_WINDOW_S
            and self.is_request_unacknowledged()
        ):
            # A second response to the previous request, or an unsolicited one, has crossed this request in
            # transit and would be delivered as its response. The server may still run the request.
            self.pool.on_unsolicited_bytes()
            self.finish(Outcome.RESET, None, reuse=False)
            return
        self.active_at = now
        response.feed(data)
        if self.attempt is None:  # the attempt was stopped in the meantime
            return
        if response.complete:
            self.finish_with_response(response)
        elif response.has_invalid_bytes:
            self.finish(Outcome.RESET, None, reuse=False)
        elif response.sink is not None and response.sink.write_paused:
            self.pause()

    def eof_received(self) -> None:
        """Called when the server has closed its side, which completes a response without length or chunks."""
        if self.attempt is None:
            return
        if self.response_reader.ends_with_connection():
            response = self.response_reader.response()
            self.finish(response.outcome(), response, reuse=False)
        else:
            # Without this, the event loop would wait until everything is written, although the server no
            # longer reads, and would only then report the end of the connection.
            self.fail()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection has ended.

        The server's idle timeout is learned only from an orderly close (`exc` is None): a reset comes from a
        crash or the network.
        """
        if exc is None and self in self.endpoint.idle:
            self.endpoint.record_idle_close(self.pool.loop.time() - self.idle_since)
        self.pool.budget.count(self, 0)
        self.pool.on_closed(self)
        self.fail()

    # ---- ending the attempt and the connection --------------------------------------------------------

    def finish_with_response(self, reader: ResponseReader) -> None:
        """Ends the attempt with its complete response.

        Bytes after the response make the connection unusable, because they belong to no request. They must
        not fail a request that has run and been answered.
        """
        response = reader.response()
        if reader.has_invalid_bytes:
            self.pool.on_unsolicited_bytes()
        self.finish(
            response.outcome(),
            response,
            reuse=reader.keep_alive
            and not reader.has_invalid_bytes
            and not self.request_unsent,
        )

    def finish(self, outcome: Outcome, response: Response | None, reuse: bool) -> None:
        """Releases or closes the connection, and only then ends the attempt."""
        attempt = self.detach()
        if reuse:
            self.has_received_response = True
            self.pool.release(self)
        else:
            self.close()
        if attempt is not None:
            attempt.end(outcome, response)

    def fail(self) -> None:
        """Ends the attempt, whose connection is lost. What was written tells whether it may have run."""
        if self.attempt is not None:
            outcome = Outcome.CONNECT_FAILED if self.request_unsent else Outcome.RESET
            self.finish(outcome, None, reuse=False)

    def detach(self) -> Attempt | None:
        """Separates the connection from its attempt. The caller must then release or close the connection."""
        attempt, self.attempt = self.attempt, None
        self.response_reader.sink = None
        if self.upload is not None:
            self.upload.mark_sent()
            self.upload.writer = None
            self.upload = None
        if attempt is not None:
            if self.state is ConnectionState.BUSY:
                self.state = ConnectionState.IDLE
            self.response_reader.release()
        if self.read_paused:
            self.resume()
        return attempt

    def close(self) -> None:
        """Closes the connection immediately, without waiting for written bytes to be sent."""
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.CLOSING
        self.transport.abort()

    # ---- whether the connection may be used -----------------------------------------------------------

    def is_reuse_delay_over(self, now: float) -> bool:
        """Whether REUSE_DELAY_S has passed since the last response, so that no surplus bytes are expected."""
        return not self.has_received_response or now - self.idle_since >= REUSE_DELAY_S

    def has_unsolicited_input(self) -> bool:
        """Whether a close or unsolicited bytes are pending on the socket of an idle connection.

        The event loop may not have processed them yet. A request that must not be repeated would otherwise be
        written to a connection that the server has closed, and would count as one that may have run.
        """
        if self.transport.is_closing():
            return True
        return bool(self.input_poll.poll(0))

    def is_request_unacknowledged(self) -> bool:
        """Whether the server's host has acknowledged none of the request, as far as this host knows.

        A response that is sent after the request was received also acknowledges it. Bytes that arrive before
        that are no response to it. Where the system cannot tell, the bytes are accepted.
        """
        with suppress(OSError):
            result = fcntl.ioctl(
                self.fileno, termios.TIOCOUTQ, bytes(TIOCOUTQ_RESULT_BYTES)
            )
            unacknowledged_bytes = int.from_bytes(result, sys.byteorder)
            return unacknowledged_bytes >= self.request_bytes > 0
        return False
