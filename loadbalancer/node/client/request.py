"""A client's HTTP/1.1 request as received, and the reason phrases of response statuses."""

from __future__ import annotations

from loadbalancer.node.upstream.body_buffer import BodyBudget, Upload

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

# A request may have at most one of each of these headers: with two values, this node could use one and the
# server behind it the other.
SINGLE_VALUE_HEADERS = frozenset(
    (b"host", b"x-call-id", b"idempotency-key", b"x-budget-ms", b"x-caller", b"x-again")
)


class ClientRequest:
    """A request as received, or the status with which an unreadable request is answered (`error`).

    Attributes:
        error: The status to answer with; 0 for a readable request.
        method: The method as received.
        target: The request target, with its query.
        lines: The headers in order, each as lower-case name, original name and value.
        headers: The values by lower-case name; the first value of a repeated header.
        length: Bytes of the body; None for a chunked body.
        pieces: The parts of a held body that have been received.
        body: The complete body, unless it is streamed.
        upload: The body, if it is streamed.
        complete: Whether the last byte has been received.
        completed_at: The loop time in seconds at which the last byte was read.
        keep_alive: Whether the connection may stay open after the response.
        http_version: The HTTP version without its prefix, for example "1.1".
        held_bytes: Bytes of the head and the held body, which count against the budget until `release`.
    """

    __slots__ = (
        "body",
        "complete",
        "completed_at",
        "error",
        "headers",
        "held_bytes",
        "http_version",
        "keep_alive",
        "length",
        "lines",
        "method",
        "pieces",
        "target",
        "upload",
    )

    def __init__(self, error: int = 0) -> None:
        self.error = error
        self.method = b""
        self.target = b""
        self.lines: list[tuple[bytes, bytes, bytes]] = []
        self.headers: dict[bytes, bytes] = {}
        self.length: int | None = 0
        self.pieces: list[bytes] = []
        self.body = b""
        self.upload: Upload | None = None
        self.complete = error != 0
        self.completed_at = 0.0
        self.keep_alive = error == 0
        self.http_version = "1.1"
        self.held_bytes = 0

    def release(self, budget: BodyBudget) -> None:
        """Returns the memory that the request holds to the budget."""
        budget.held_bytes -= self.held_bytes
        self.held_bytes = 0
        if self.upload is not None:
            self.upload.release()
