"""A client's connection: reads its requests one after the other, writes the responses, and closes."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from loadbalancer.node.client import client_socket
from loadbalancer.node.client.input import MAX_PIPELINED_REQUESTS, ClientInput
from loadbalancer.node.client.interface import ConnectionState
from loadbalancer.node.client.linger import LINGER_S, LINGER_STREAM_S, start_linger
from loadbalancer.node.client.request import ClientRequest
from loadbalancer.node.client.request_reader import PARSE_SLICE_BYTES, RequestReader
from loadbalancer.node.client.response_head import encode_response
from loadbalancer.node.client.response_stream import UNSENT_LIMIT_BYTES, ResponseStream
from loadbalancer.node.end_reasons import EndReason

if TYPE_CHECKING:
    from loadbalancer.node.client.listener import ClientListener
    from loadbalancer.node.upstream.body_buffer import BodySource


# Why the connection itself answers with an error status.
REASON_BY_STATUS = {
    400: EndReason.UNREADABLE,
    408: EndReason.REQUEST_TIMEOUT,
    413: EndReason.TOO_LARGE,
    431: EndReason.TOO_LARGE,
    503: EndReason.PROCESS_ENDS,
}


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection. One request is open at a time; pipelined requests wait for it.

    A connection ends in one of three ways: `close` when this node ends it, `on_client_hangup` when the client
    does, and `abort_response` when a response cannot be completed. `connection_lost` follows in each case, or
    comes alone after a reset.

    Args:
        listener: The listener that owns the connection and whose budgets it counts against.
        over_capacity: Whether the connection exceeds the listener's capacity, so that its request is rejected
            unless capacity has become free (`ClientListener.is_over_capacity`).

    Attributes:
        state: The stage of closing that the connection has reached.
        last_active_at: The loop time in seconds of the accept or, later, at which bytes were last received or
            sent.
        reader: Parses the requests.
        input: The bytes that have been read, and whether more are.
        pipelined: Complete requests that wait until earlier ones are answered, in order.
        open_request: The request that is being answered.
        stream: Writes the response to `open_request` if that is streamed.
    """

    def __init__(self, listener: ClientListener, over_capacity: bool) -> None:
        self.listener = listener
        self.over_capacity = over_capacity
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.state = ConnectionState.OPEN
        self.last_active_at = listener.loop.time()
        # Created on first use by `has_hung_up`.
        self.hangup_poll: select.poll | None = None
        self.reader = RequestReader(self)
        self.input = ClientInput(self)
        self.pipelined: deque[ClientRequest] = deque()
        self.open_request: ClientRequest | None = None
        self.stream = ResponseStream(self)

    # ---- reading --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the socket is attached to this connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=UNSENT_LIMIT_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the event loop's next read: one parse slice, or a full buffer within a body.

        Parsing hundreds of requests that one client sends at once must not keep the event loop from the other
        clients. Bytes beyond the slice stay in the kernel until the next read.
        """
        buffer = self.listener.budget.next_read_buffer()
        return buffer if self.reader.is_in_body() else buffer[:PARSE_SLICE_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop when it has read `nbytes` bytes into the buffer."""
        self.data_received(bytes(self.listener.budget.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and dispatches what is complete."""
        self.last_active_at = self.listener.loop.time()
        if len(data) >= PARSE_SLICE_BYTES and self.check_hangup():
            return  # do not parse a large batch of requests from a client that has already gone
        self.input.receive(data)
        self.dispatch_next()
        if self.open_request is not None and self.open_request.upload is not None:
            self.open_request.upload.forward()
        self.input.observe_arrival(len(data))

    def on_upload_started(self, request: ClientRequest) -> None:
        """Dispatches a request whose body is streamed, unless it has to wait.

        While an earlier request on this connection is not answered, or the client does not read its
        responses, reading pauses instead.
        """
        if (
            self.open_request is None
            and not self.pipelined
            and not self.stream.write_paused
        ):
            self.dispatch_upload(request)
        else:
            self.input.pause()

    def dispatch_upload(self, request: ClientRequest) -> None:
        """Hands a request with a streamed body to the handler, which rejects it if there is no capacity.

        If the handler has not answered it yet, 100 Continue is sent where the client expects it.
        """
        self.reader.request_count += 1
        self.open_request = request
        if self.listener.is_over_capacity(self):
            self.listener.handler.capacity_exceeded(self)
            return
        self.listener.handler.request_received(self, request)
        if self.open_request is request:
            self.reader.send_continue(request)

    def on_upload_complete(self, request: ClientRequest) -> None:
        """Called when the last byte of a streamed body has arrived; the request may still be waiting."""
        if self.open_request is request:
            self.listener.handler.body_received(self)
        else:
            self.enqueue(request)

    def enqueue(self, request: ClientRequest) -> None:
        """Queues a complete request until the earlier ones are answered."""
        self.pipelined.append(request)
        if len(self.pipelined) >= MAX_PIPELINED_REQUESTS:
            self.input.pause()

    def reject(self, status: int, client_sends_on: bool = False) -> None:
        """Answers immediately with an error status and reads no further.

        After a request with wrong framing, its bytes cannot be told apart from those of the next request. The
        open request is therefore abandoned too, and the error is sent without waiting for its response. While
        the response to another request is being streamed, no error is sent: the client would take it for part
        of that response. While the response to the rejected request itself is being streamed, the connection
        is reset instead.

        Args:
            status: The status of the response.
            client_sends_on: Whether the client may read the response only after the rest of its request: the
                connection lingers for as long as bytes arrive, up to LINGER_STREAM_S.
        """
        if self.reader.ended:
            return
        other_response_active = (
            self.stream.active and self.open_request is not self.reader.incoming
        )
        incoming = self.reader.incoming or self.open_request
        call_id = incoming.headers.get(b"x-call-id", b"") if incoming else b""
        self.end_input()
        self.listener.reasons.refused(REASON_BY_STATUS[status], status, call_id)
        if other_response_active:
            return
        was_streaming = self.stream.active
        self.abandon_open_request()
        if was_streaming:
            self.abort_response()
            return
        self.open_request = ClientRequest(status)
        self.open_request.complete = not client_sends_on
        self.send_response(status)

    def dispatch_next(self) -> None:
        """Dispatches the next request, unless one is open or the client does not read its responses."""
        if (
            self.open_request is not None
            or self.stream.write_paused
            or self.state is not ConnectionState.OPEN
        ):
            return
        if not self.pipelined:
            self.dispatch_waiting_upload()
            return
        self.open_request = request = self.pipelined.popleft()
        self.input.proceed()
        if self.open_request is not request:  # abandoned: what follows is unreadable
            return
        # 503 (memory budget exhausted) is the only error that is queued behind earlier requests.
        if request.error or self.listener.is_over_capacity(self):
            self.listener.handler.capacity_exceeded(self)
        else:
            self.listener.handler.request_received(self, request)

    def dispatch_waiting_upload(self) -> None:
        """Dispatches the request with a streamed body that waited for earlier ones, if there is one."""
        request = self.reader.incoming
        if request is None or request.upload is None or self.reader.ended:
            return
        self.input.resume()
        self.dispatch_upload(request)
        incoming = self.reader.incoming
        if incoming is not None and incoming.upload is not None:
            incoming.upload.forward()

    # ---- answering ------------------------------------------------------------------------------------

    def send_response(
        self, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        """Sends the complete response to the open request. `headers` are complete header lines."""
        if self.stream.active:
            self.abort_response()
            return
        request, self.open_request = self.open_request, None
        if request is None:
            return
        request.release(self.listener.budget)
        if self.transport.is_closing():
            return
        close = self.closes_after(request)
        data = encode_response(status, headers, body, close)
        self.last_active_at = self.listener.loop.time()
        self.transport.write(data)
        self.stream.count_unsent()
        self.after_response(request, close)

    def closes_after(self, request: ClientRequest) -> bool:
        """Whether the connection closes after the response to a request.

        Nothing can be read behind an incomplete request. Complete requests that arrived before the close was
        announced are still answered, and nothing behind them is read.
        """
        if not request.keep_alive or not request.complete or self.over_capacity:
            return True
        return (
            self.listener.closing_after_response or self.reader.ended
        ) and not self.pipelined

    def after_response(self, request: ClientRequest, close: bool) -> None:
        """Closes the connection after a response, or continues with the next request."""
        if not request.complete:
            self.reader.incoming = None
        if close:
            self.close(LINGER_S if request.complete else LINGER_STREAM_S)
            return
        if self.listener.closing_after_response and not self.input.unparsed:
            self.reader.ended = True
            self.reader.discard_incoming()
        self.listener.loop.call_soon(self.dispatch_next)

    def start_response(
        self, headers: bytes, length: int | None, source: BodySource
    ) -> None:
        """Starts a streamed response to the open request, with its body from `source`.

        `finish_response` or `abort_response` must follow. See `ResponseStream.start` for the parameters.
        """
        request = self.open_request
        assert request is not None
        self.stream.start(request, headers, length, source)

    def finish_response(self) -> None:
        """Ends a streamed response whose body is complete."""
        request, self.open_request = self.open_request, None
        if request is None:
            return
        self.stream.reset()
        request.release(self.listener.budget)
        if self.transport.is_closing():
            return
        self.stream.write_end()
        self.after_response(request, self.closes_after(request))

    def abort_response(self) -> None:
        """Resets the connection, so that the client notices an incomplete response whatever its framing."""
        request, self.open_request = self.open_request, None
        self.stream.reset()
        if request is not None:
            request.release(self.listener.budget)
        if not self.transport.is_closing():
            client_socket.set_socket_option(
                self.fileno(), socket.SO_LINGER, client_socket.RESET_ON_CLOSE
            )
            self.transport.abort()

    def fileno(self) -> int:
        """The socket's file descriptor."""
        descriptor: int = self.transport.get_extra_info("socket").fileno()
        return descriptor

    def close(self, linger_s: float = LINGER_S) -> None:
        """Closes the connection from this side, after the last response or without one.

        The write side is shut down after the bytes that are still to be written. Received bytes are then read
        and discarded until the client closes its side, or until `linger_s` seconds have passed. Closing a
        socket with unread bytes would reset the connection: a response in transit would be lost, and a client
        that sends at that moment could not tell that its request was never read.
        """
        if self.state is not ConnectionState.OPEN or self.transport is None:
            return
        self.state = ConnectionState.LINGERING
        self.end_input()
        self.input.resume()
        if self.transport.is_closing():
            return
        if self.has_unsent():
            self.transport.write_eof()
        else:
            # With `write_eof`, the event loop would shut the socket down one iteration later and could read
            # in between. A request that is read before the shutdown would be owed a response that can no
            # longer be sent.
            client_socket.shutdown_write(self.fileno())
        start_linger(self, linger_s)

    def on_client_hangup(self) -> None:
        """Handles the client's end of stream: nothing from it is forwarded any more.

        The open request and all pipelined ones are abandoned. The end of stream says only that the client
        sends no more; whether it still reads cannot be known, so earlier responses are still written.
        """
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.HALF_CLOSED
        self.listener.hangup_watch.remove(self)
        self.end_input()
        was_streaming = self.stream.active
        self.abandon_open_request()
        if was_streaming:
            self.abort_response()  # without a length, the partial response would look complete
        elif not self.transport.is_closing():
            if self.state is ConnectionState.HALF_CLOSED and self.has_unsent():
                start_linger(self, LINGER_STREAM_S)
            self.transport.close()

    def has_unsent(self) -> bool:
        """Whether written bytes are still waiting for the kernel to accept them."""
        return self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        """Called by the event loop when the client does not read and the kernel accepts no more bytes."""
        self.stream.write_paused = True

    def resume_writing(self) -> None:
        """Called by the event loop when the client reads again."""
        self.stream.write_paused = False
        self.last_active_at = self.listener.loop.time()
        self.stream.release_unsent()
        if self.stream.source is not None:
            self.stream.source.resume()
        self.dispatch_next()

    # ---- closing --------------------------------------------------------------------------------------

    def eof_received(self) -> None:
        """Called when the client has closed its side; the event loop closes ours after the last write."""
        self.on_client_hangup()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection has ended: releases everything it holds."""
        self.state = ConnectionState.CLOSED
        self.listener.connections.discard(self)
        self.listener.over_capacity.discard(self)
        self.listener.lingering.pop(self, None)
        self.listener.hangup_watch.remove(self)
        self.stream.release_unsent()
        self.end_input()
        self.abandon_open_request()
        self.listener.update_accepting()

    def abandon_open_request(self) -> None:
        """Abandons the open request: the client has gone, or is sent an error in place of its response."""
        request, self.open_request = self.open_request, None
        self.stream.reset()
        if request is not None:
            request.release(self.listener.budget)
            self.listener.handler.request_abandoned(self)

    def end_input(self) -> None:
        """Reads nothing further, and drops the requests that are queued or incomplete."""
        self.reader.ended = True
        for request in self.pipelined:
            request.release(self.listener.budget)
        self.pipelined.clear()
        self.input.drop_unparsed()
        self.reader.discard_incoming()

    def has_hung_up(self) -> bool:
        """Whether the client's end of stream, or a reset, is pending on the socket.

        Also true before the socket is attached and once the connection is closing.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        if self.hangup_poll is None:
            self.hangup_poll = client_socket.create_hangup_poll(self.fileno())
        return bool(self.hangup_poll.poll(0))

    def check_hangup(self) -> bool:
        """Whether the client has gone, according to the socket; if so, its requests are abandoned.

        Called before an attempt starts, and wherever else it matters whether the client still waits: the
        event loop may not have processed the end of stream yet.
        """
        if self.has_hung_up():
            self.on_client_hangup()
            return True
        return False

    def has_unread(self) -> bool:
        """Whether received bytes are pending on the socket: such a connection should not be evicted."""
        if self.transport is None or self.transport.is_closing():
            return False
        return client_socket.has_unread(self.fileno())
