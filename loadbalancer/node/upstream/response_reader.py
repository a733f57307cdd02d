"""Parses a server's response, and streams it to the client if it is large."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from loadbalancer.node.upstream.body_buffer import (
    MAX_BODY_BYTES,
    MAX_FRAMING_RATIO,
    MAX_FRAMING_RUN_BYTES,
    MAX_HELD_BODY_BYTES,
    is_framing_proportionate,
)
from loadbalancer.node.upstream.response import STATUS_OK, Response, ResponseSink

if TYPE_CHECKING:
    from loadbalancer.node.upstream.connection import UpstreamConnection
    from loadbalancer.node.upstream.pool import ConnectionPool

# A longer body of a response that declares no length is streamed.
MAX_HELD_UNSIZED_BYTES = 16_384
# Limit on a response's head, including the interim responses before it.
MAX_HEAD_BYTES = 32_768
# Limit on a response's header lines, including interim responses and trailers.
MAX_HEADER_LINES = 128
# The framing allowance of a held body (`is_framing_proportionate`), which a head may not use.
MAX_HELD_FRAMING_BYTES = MAX_FRAMING_RATIO * MAX_HELD_BODY_BYTES
FIRST_FINAL_STATUS = 200  # lower statuses are interim responses


class UnusableResponseError(Exception):
    """The response cannot be used, whatever follows. The parser catches this error: it is never logged."""


class ResponseReader:
    """Parses the responses on one connection, one after the other.

    Args:
        pool: The pool that the connection belongs to.
        connection: The connection that the responses are read from.

    Attributes:
        status: The status of the final response; 0 until its head is complete.
        headers_complete: Whether the head of the final response has been received.
        complete: Whether the final response has been received completely.
        has_invalid_bytes: Whether bytes were received that belong to no response or make this one unusable.
        keep_alive: Whether the server keeps the connection open after the complete response.
        length: Bytes of the body; None if the head does not declare it.
        chunked: Whether the body is chunked.
        received_bytes: Bytes received of the response and of interim responses before it.
        body: The received part of the body that is held.
        body_parts: Parts of the body in the bytes that are being parsed.
        body_bytes: Bytes received of its body.
        body_ended_at: The value of `received_bytes` with the last byte of body, or with the end of the head.
        held_bytes: What the response takes in memory, as last counted (`MemoryHolder`).
        sink: The receiver of a streamed response; None while the response is held.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "body_ended_at",
        "body_parts",
        "chunked",
        "complete",
        "connection",
        "content_type",
        "has_invalid_bytes",
        "header_lines",
        "headers_complete",
        "held_bytes",
        "hit",
        "keep_alive",
        "length",
        "load_report",
        "parser",
        "pool",
        "received_bytes",
        "rejected",
        "sink",
        "status",
    )

    def __init__(self, pool: ConnectionPool, connection: UpstreamConnection) -> None:
        self.pool = pool
        self.connection = connection
        self.held_bytes = 0
        self.sink: ResponseSink | None = None
        self.reset()

    def reset(self) -> None:
        """Prepares for the next response, before its request is written."""
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.body = bytearray()
        self.body_parts: list[bytes] = []
        self.content_type = b""
        self.rejected = False
        self.load_report = self.hit = b""
        self.complete = self.has_invalid_bytes = self.keep_alive = False
        self.headers_complete = False
        self.length: int | None = None
        self.chunked = False
        self.received_bytes = self.header_lines = 0
        self.body_bytes = self.body_ended_at = 0

    def feed(self, data: bytes) -> None:
        """Parses received bytes, and updates `complete` and `has_invalid_bytes`."""
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
            self.hold_body_parts()
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            UnusableResponseError,
        ):
            self.has_invalid_bytes = True
        if not self.complete:
            self.check_size()
            unparsed_bytes = self.received_bytes - self.body_ended_at
            self.pool.budget.count(self, len(self.body) + unparsed_bytes)

    def check_size(self) -> None:
        """Makes the response unusable if its head, or what frames its body, is too large."""
        received_bytes = self.received_bytes
        if not self.headers_complete:
            received_bytes += MAX_HELD_FRAMING_BYTES
        elif not self.body_ended_at:
            self.body_ended_at = received_bytes
        if (
            not is_framing_proportionate(
                received_bytes, self.body_bytes, MAX_HEAD_BYTES
            )
            or self.received_bytes - self.body_ended_at > MAX_FRAMING_RUN_BYTES
        ):
            self.has_invalid_bytes = True

    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection delimits the body, not a length or chunks."""
        return self.headers_complete and self.length is None and not self.chunked

    def response(self) -> Response:
        """The response, with the part of the body that is held."""
        return self._response(bytes(self.body))

    def _response(self, body: bytes) -> Response:
        return Response(
            self.status,
            body,
            self.content_type,
            self.rejected,
            self.load_report,
            self.length,
            self.hit,
        )

    def release(self) -> None:
        """Drops the held body, and returns its memory to the budget."""
        self.body = bytearray()
        self.pool.budget.count(self, 0)

    # ---- called by the parser -------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Starts a response. The headers of an interim response do not apply to the final one."""
        self.has_invalid_bytes = self.complete
        if not self.complete:
            self.content_type = self.load_report = self.hit = b""
            self.rejected = False
            self.length = None
            self.chunked = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, without white space around its value. Trailers are only counted.

        Raises:
            UnusableResponseError: There are too many header lines, the body is too large, or its transfer
                coding is not supported.
        """
        if self.complete:
            return
        self.header_lines += 1
        if self.header_lines > MAX_HEADER_LINES:
            raise UnusableResponseError
        if self.headers_complete:  # a trailer
            return
        key = name.lower()
        value = value.strip(b" \t")
        if key == b"content-type":
            self.content_type = value
        elif key == b"x-rejected":
            self.rejected = value.strip() == b"1"
        elif key == b"x-load-report":
            self.load_report = value
        elif key == b"content-length":
            self._parse_content_length(value)
        elif key == self.pool.hit_header:
            self.hit = value
        elif key == b"transfer-encoding":
            self._parse_transfer_encoding(value)

    def _parse_content_length(self, value: bytes) -> None:
        self.length = int(value)
        if self.length > MAX_BODY_BYTES:
            raise UnusableResponseError  # before that amount has been received

    def _parse_transfer_encoding(self, value: bytes) -> None:
        self.chunked = True
        if value.strip().lower() != b"chunked":
            raise UnusableResponseError  # the received bytes would be an encoded body

    def on_headers_complete(self) -> None:
        """Starts streaming a response whose declared length is too large to hold."""
        if self.complete or self.headers_complete:
            return
        status = self.parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self.headers_complete = True
            self.status = status
            if self.length is not None and self.length > MAX_HELD_BODY_BYTES:
                self.start_streaming()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body, of which a read may have thousands."""
        if not self.complete:
            self.body_parts.append(body)

    def hold_body_parts(self, final: bool = False) -> None:
        """Joins the parts of the body in this read, and holds them or sends them to the sink.

        Args:
            final: Whether the body is complete with them. What is held then goes out at once.

        Raises:
            UnusableResponseError: The body is too large, or cannot be streamed.
        """
        if not self.body_parts:
            return
        body = b"".join(self.body_parts)
        self.body_parts.clear()
        self.body_bytes += len(body)
        self.body_ended_at = self.received_bytes
        if self.body_bytes > MAX_BODY_BYTES:
            raise UnusableResponseError
        if self.sink is None and not final and not self.may_hold(len(body)):
            self.start_streaming()
        if self.sink is not None:
            self.sink.send_chunk(body)
        elif self.status == STATUS_OK:  # other bodies are not forwarded
            self.body += body

    def may_hold(self, size_bytes: int) -> bool:
        """Whether the body may be held with the last `size_bytes` of it."""
        max_held_bytes = (
            MAX_HELD_BODY_BYTES if self.length is not None else MAX_HELD_UNSIZED_BYTES
        )
        return self.body_bytes <= max_held_bytes and self.pool.budget.fits(size_bytes)

    def start_streaming(self) -> None:
        """Starts streaming a response that is too large to hold.

        Does nothing for a status other than 200: the body of such a response is discarded.

        Raises:
            UnusableResponseError: There is nowhere to stream it to.
        """
        attempt = self.connection.attempt
        if attempt is None or self.status != STATUS_OK:
            return
        self.sink = attempt.start_streaming(self._response(b""), self.connection)
        if self.sink is None:
            raise UnusableResponseError
        if self.body:
            self.sink.send_chunk(bytes(self.body))
        self.release()

    def on_message_complete(self) -> None:
        """Ends the final response. Interim responses, and bytes after the final one, are ignored."""
        status = self.parser.get_status_code()
        if self.complete or status < FIRST_FINAL_STATUS:
            return
        self.hold_body_parts(final=True)
        # Must be read now: the parser resets it for the next response.
        self.keep_alive = self.parser.should_keep_alive()
        self.complete = True
