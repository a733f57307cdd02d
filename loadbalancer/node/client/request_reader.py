"""Parses the requests on a client connection, and starts streaming large request bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from loadbalancer.node.client.request import SINGLE_VALUE_HEADERS, ClientRequest
from loadbalancer.node.memory_budget import READ_BUFFER_BYTES_AT_LIMIT
from loadbalancer.node.upstream.body_buffer import (
    MAX_BODY_BYTES,
    MAX_FRAMING_RUN_BYTES,
    MAX_HELD_BODY_BYTES,
    Upload,
    is_framing_proportionate,
)

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection

MAX_HEAD_BYTES = 32_768
MAX_HEADER_LINES = 128
PARSE_SLICE_BYTES = 8_192  # input of a body that is parsed at a time
# The same for heads, of which a slice may hold many.
HEAD_SLICE_BYTES = 1_024
# An incomplete request that holds no more than this is not rejected for memory before it is complete.
MAX_UNCHECKED_BYTES = READ_BUFFER_BYTES_AT_LIMIT

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestReader:
    """Parses the requests on one client connection, one after the other.

    Attributes:
        incoming: The request that is being received; None between requests.
        started_at: The loop time in seconds of the accept or, later, of the incoming request's first byte.
        headers_complete: Whether the head of the incoming request has been received.
        headers_complete_at: The loop time in seconds at which the head was complete.
        received_bytes: Bytes received of the incoming request, counted in entire slices: bytes of an earlier
            request in its first slice are included.
        body_bytes: Bytes received of its body.
        body_parts: Parts of the body in the slice that is being parsed.
        body_ended_at: The value of `received_bytes` with the last byte of body, or with the end of the head.
        request_count: Requests received so far; a request with a streamed body counts when it is dispatched
            and again when it is complete.
        ended: Whether further input from this client is discarded.
    """

    __slots__ = (
        "body_bytes",
        "body_ended_at",
        "body_parts",
        "connection",
        "ended",
        "headers_complete",
        "headers_complete_at",
        "incoming",
        "listener",
        "parser",
        "received_bytes",
        "request_count",
        "started_at",
    )

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.listener = connection.listener
        self.parser = httptools.HttpRequestParser(self)
        self.incoming: ClientRequest | None = None
        self.started_at = self.listener.loop.time()
        self.headers_complete = False
        self.headers_complete_at = 0.0
        self.received_bytes = 0
        self.body_bytes = 0
        self.body_parts: list[bytes] = []
        self.body_ended_at = 0
        self.request_count = 0
        self.ended = False

    def slice_bytes(self) -> int:
        """Bytes of input to parse at a time."""
        return PARSE_SLICE_BYTES if self.is_in_body() else HEAD_SLICE_BYTES

    def is_in_body(self) -> bool:
        """Whether the next bytes belong to a request's body."""
        return self.incoming is not None and self.headers_complete

    def is_in_upload(self) -> bool:
        """Whether the body of the incoming request is streamed."""
        return self.incoming is not None and self.incoming.upload is not None

    def parse(self, data: bytes) -> None:
        """Parses a slice of input.

        The limit on a head is checked after each slice, so a slice must be small compared to it.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # An offer to upgrade the protocol is ignored, but the parser reads nothing after it.
            self.ended = True
        except httptools.HttpParserError:
            self.connection.reject(400)
        if self.incoming is not None:
            self.received_bytes += len(data)
            self.hold_body_parts()
            self.check_size()
        self.body_parts.clear()
        if self.incoming is not None:
            self.count_incoming(self.incoming)

    def check_size(self) -> None:
        """Rejects the incoming request if its head, or what frames its body, is too large."""
        if self.headers_complete and not self.body_ended_at:
            self.body_ended_at = self.received_bytes
        if not self.headers_complete:
            if self.received_bytes > MAX_HEAD_BYTES:
                self.connection.reject(431)
        elif (
            self.received_bytes - self.body_ended_at > MAX_FRAMING_RUN_BYTES
            or not is_framing_proportionate(
                self.received_bytes, self.body_bytes, MAX_HEAD_BYTES
            )
        ):
            self.connection.reject(413)

    def count_incoming(self, request: ClientRequest) -> None:
        """Counts what an incomplete request holds, and rejects it if that exceeds the memory budget."""
        budget = self.listener.budget
        request.count(budget, self.received_bytes - self.body_ended_at)
        is_rejectable = (
            request.upload is None and request.held_bytes > MAX_UNCHECKED_BYTES
        )
        if is_rejectable and not budget.fits(0):
            self.incoming = None
            self.reject_over_budget(request)

    def discard_incoming(self) -> None:
        """Drops the request that has not been received completely."""
        request, self.incoming = self.incoming, None
        if request is not None and request is not self.connection.open_request:
            request.release(self.listener.budget)

    # ---- called by the parser -------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Starts a request. Anything that follows the end of input in the same bytes is ignored."""
        self.incoming = None if self.ended else ClientRequest()
        self.headers_complete = False
        self.received_bytes = self.body_bytes = self.body_ended_at = 0
        if self.request_count:
            self.started_at = self.listener.loop.time()

    def on_url(self, url: bytes) -> None:
        """Collects a part of the request target."""
        if self.incoming is not None:
            self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header, without white space around its value. Trailers are not forwarded."""
        if self.incoming is not None and not self.headers_complete:
            key = name.lower()
            value = value.strip(b" \t")
            self.incoming.lines.append((key, name, value))
            if len(self.incoming.lines) > MAX_HEADER_LINES:
                self.connection.reject(431)
            elif key in SINGLE_VALUE_HEADERS and key in self.incoming.headers:
                self.connection.reject(400)
            else:
                self.incoming.headers.setdefault(key, value)

    def on_headers_complete(self) -> None:
        """Checks the head, and decides whether the body is held or streamed."""
        self.headers_complete = True
        self.headers_complete_at = self.listener.loop.time()
        request = self.incoming
        if request is None:
            return
        request.method = self.parser.get_method()
        request.http_version = self.parser.get_http_version()
        length = int(request.headers.get(b"content-length", b"0"))
        if not self.check_framing(request, length):
            return
        request.measure_head()
        request.count(self.listener.budget)
        if length > MAX_HELD_BODY_BYTES:
            self.start_upload(request)
        elif self.connection.open_request is None:
            self.send_continue(request)

    def send_continue(self, request: ClientRequest) -> None:
        """Sends 100 Continue, if the client expects it and has sent nothing of the body yet."""
        if b"expect" in request.headers and not self.body_bytes:
            self.connection.transport.write(CONTINUE_RESPONSE)

    def check_framing(self, request: ClientRequest, length: int) -> bool:
        """Rejects the request if the body's end is ambiguous or its length is over the limit.

        If two parties could disagree about where the body ends, another request could be hidden in it.

        Returns:
            Whether the request may be read further.
        """
        transfer_coding = (
            request.headers.get(b"transfer-encoding", b"chunked").strip().lower()
        )
        chunked = b"transfer-encoding" in request.headers
        request.length = None if chunked else length
        if transfer_coding != b"chunked" or (chunked and request.http_version != "1.1"):
            self.connection.reject(400)
            return False
        if length > MAX_BODY_BYTES:
            self.connection.reject(413)
            return False
        return True

    def start_upload(self, request: ClientRequest) -> None:
        """Starts streaming a body that is too large to hold."""
        request.keep_alive = self.parser.should_keep_alive()
        upload = request.upload = Upload(
            self.listener.budget, self.connection.input, request.length
        )
        upload.append(request.body)
        request.body = bytearray()
        request.count(self.listener.budget)
        self.connection.on_upload_started(request)

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body, of which a slice may have thousands."""
        self.body_parts.append(body)

    def hold_body_parts(self) -> None:
        """Joins the parts of the body in this slice, and adds them to the held body or to the upload."""
        request = self.incoming
        if request is None or self.ended or not self.body_parts:
            return
        body = b"".join(self.body_parts)
        self.body_parts.clear()
        self.body_bytes += len(body)
        self.body_ended_at = self.received_bytes
        if self.body_bytes > MAX_BODY_BYTES:
            self.connection.reject(413)
        elif request.upload is not None:
            request.upload.append(body)
        else:
            request.body += body
            if self.body_bytes > MAX_HELD_BODY_BYTES:
                self.start_upload(request)

    def on_message_complete(self) -> None:
        """Completes the incoming request and queues or dispatches it.

        After a request that closes the connection nothing more is parsed: the parser treats further bytes as
        an error, and the error response would replace the responses that are still owed.
        """
        if self.body_parts:
            self.hold_body_parts()
        request, self.incoming = self.incoming, None
        if request is None or self.ended:
            return
        self.request_count += 1
        request.complete = True
        if not request.completed_at:
            arrived_at = self.connection.input.arrived_at()
            request.completed_at = max(arrived_at, request.incomplete_at)
        request.keep_alive = request.keep_alive and self.parser.should_keep_alive()
        self.ended = not request.keep_alive
        if self.body_bytes:
            request.count(self.listener.budget)
        if request.upload is not None:
            request.upload.complete = True
            self.connection.on_upload_complete(request)
            return
        if self.listener.budget.fits(0):
            self.connection.enqueue(request)
        else:
            self.reject_over_budget(request)

    def reject_over_budget(self, request: ClientRequest) -> None:
        """Queues a 503 response: the memory budget is used up, perhaps by pipelined requests."""
        self.ended = True
        rejected = ClientRequest(503)
        rejected.target = request.target
        rejected.complete = request.complete
        request.release(self.listener.budget)
        self.connection.pipelined.append(rejected)
