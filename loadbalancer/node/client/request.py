"""A client's HTTP/1.1 request as received, and the reason phrases of response statuses."""

from __future__ import annotations

from loadbalancer.node.memory_budget import MemoryBudget
from loadbalancer.node.upstream.body_buffer import Upload

# What a request takes in memory beside the bytes of its head and body: its objects, and those of a header.
REQUEST_OBJECT_BYTES = 1_024
HEADER_OBJECT_BYTES = 320

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
        body: The received part of the body, unless it is streamed.
        upload: The body, if it is streamed.
        complete: Whether the last byte has been received.
        completed_at: The loop time in seconds before which the last byte was not written, once that has been
            read or was noticed to be on this machine; 0 before.
        incomplete_at: The loop time in seconds at which the last byte was known not to be written yet; 0 if
            that was never seen.
        keep_alive: Whether the connection may stay open after the response.
        http_version: The HTTP version without its prefix, for example "1.1".
        head_bytes: What the complete head takes in memory; 0 before.
        held_bytes: What the request takes in memory, as last counted (`MemoryHolder`).
    """

    __slots__ = (
        "body",
        "complete",
        "completed_at",
        "error",
        "head_bytes",
        "headers",
        "held_bytes",
        "http_version",
        "incomplete_at",
        "keep_alive",
        "length",
        "lines",
        "method",
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
        self.body = bytearray()
        self.upload: Upload | None = None
        self.complete = error != 0
        self.completed_at = 0.0
        self.incomplete_at = 0.0
        self.keep_alive = error == 0
        self.http_version = "1.1"
        self.head_bytes = 0
        self.held_bytes = 0

    def measure_head(self) -> None:
        """Sets `head_bytes`, once the head is complete. A header's name is held twice, in both cases."""
        self.head_bytes = REQUEST_OBJECT_BYTES + len(self.target)
        for _, name, value in self.lines:
            self.head_bytes += HEADER_OBJECT_BYTES + 2 * len(name) + len(value)

    def count(self, budget: MemoryBudget, unparsed_bytes: int = 0) -> None:
        """Counts what the request takes in memory.

        Args:
            budget: The budget that it counts against.
            unparsed_bytes: Bytes that the parser may hold for it.
        """
        head_bytes = self.head_bytes or (
            REQUEST_OBJECT_BYTES + HEADER_OBJECT_BYTES * len(self.lines)
        )
        budget.count(self, head_bytes + len(self.body) + unparsed_bytes)

    def release(self, budget: MemoryBudget) -> None:
        """Drops the body, which nobody needs any more, and returns the request's memory to the budget."""
        self.body = bytearray()
        budget.count(self, 0)
        if self.upload is not None:
            self.upload.release()
