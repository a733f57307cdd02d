"""Encodes responses to clients."""

from __future__ import annotations

from loadbalancer.node.client.request import REASON_PHRASES

CLOSE_HEADER = b"Connection: close\r\n"


def encode_response(status: int, headers: bytes, body: bytes, close: bool) -> bytes:
    """Encodes a complete response.

    Args:
        status: The status code; it must be in `REASON_PHRASES`.
        headers: Complete header lines, each with its line end.
        body: The body.
        close: Whether the connection closes after the response.
    """
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES[status],
        headers,
        len(body),
        CLOSE_HEADER if close else b"",
        body,
    )


def encode_stream_head(
    headers: bytes, length: int | None, chunked: bool, close: bool
) -> bytes:
    """Encodes the head of a streamed response, whose status is always 200.

    Args:
        headers: Complete header lines, each with its line end.
        length: Bytes of the body; None if unknown.
        chunked: Whether the body is sent in chunks.
        close: Whether the connection closes after the response.
    """
    framing = b"Content-Length: %d\r\n" % length if length is not None else b""
    if chunked:
        framing = b"Transfer-Encoding: chunked\r\n"
    if close:
        framing += CLOSE_HEADER
    return b"HTTP/1.1 200 OK\r\n%b%b\r\n" % (headers, framing)
