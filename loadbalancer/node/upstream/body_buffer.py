"""Memory limits for request and response bodies, and streaming of large request bodies.

A small body is held in memory completely. A larger one is streamed: while the receiving side does not accept
more, reading from the sending side stops. Everything that is held counts against one budget.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

MAX_HELD_BODY_BYTES = 65_536  # larger bodies are streamed
MAX_BODY_BYTES = 32 << 20
# The most bytes that a message may have on the wire for each byte of its body, beyond the allowance for a
# held body (`is_framing_proportionate`).
MAX_FRAMING_RATIO = 8
READ_BUFFER_BYTES = 65_536  # largest single read
# Largest single read while READ_BUFFER_BYTES do not fit the budget.
READ_BUFFER_BYTES_AT_LIMIT = 4_096
# A streamed body that makes no progress for this time is abandoned.
BODY_STALL_TIMEOUT_S = 10.0

LAST_CHUNK = b"0\r\n\r\n"


class BodyBudget:
    """The memory for request heads, and for bodies in both directions, of all requests.

    Attributes:
        max_bytes: Bytes that may be held.
        held_bytes: Bytes that are held. Code that holds or releases a body updates this count.
        read_buffer: The buffer that the event loop reads into, for one connection at a time.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def fits(self, size: int) -> bool:
        """Whether `size` more bytes may be held."""
        return self.held_bytes + size <= self.max_bytes

    def next_read_buffer(self) -> memoryview:
        """The buffer for the next read, which is small while READ_BUFFER_BYTES do not fit the budget.

        Otherwise hundreds of slow connections could each hold a full read that their other side does not
        accept, and the process would run out of memory.
        """
        if self.fits(READ_BUFFER_BYTES):
            return self.read_buffer
        return self.read_buffer[:READ_BUFFER_BYTES_AT_LIMIT]


def is_framing_proportionate(
    received_bytes: int, body_bytes: int, max_head_bytes: int
) -> bool:
    """Whether the size of a message is in proportion to its body.

    Chunks may be small, but a sender must not send unlimited framing.

    Args:
        received_bytes: Bytes of the message received so far, with its head and framing.
        body_bytes: Bytes of its body among them.
        max_head_bytes: Bytes that its head may have.
    """
    return received_bytes <= max_head_bytes + MAX_FRAMING_RATIO * (
        MAX_HELD_BODY_BYTES + body_bytes
    )


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class BodySource(Protocol):
    """The connection that a streamed body is read from."""

    def pause(self) -> None:
        """Stops reading for now."""

    def resume(self) -> None:
        """Continues reading."""


class Upload:
    """A streamed request body, whose pieces wait here until the upstream connection takes them.

    Args:
        budget: The budget that the pieces count against.
        source: The client connection that the body is read from.
        length: Bytes of the body; None for a chunked body.

    Attributes:
        length: Bytes of the body; None for a chunked body.
        complete: Whether the last byte has been received.
        consumed: Whether a piece has been taken. It is then no longer held, so the body cannot be resent.
        on_consumed: Called when the first piece is taken.
        writer: Writes the received pieces; set while an attempt has a connection.
        unsent_bytes: Bytes that have been written but not accepted by the kernel.
    """

    __slots__ = (
        "budget",
        "complete",
        "consumed",
        "length",
        "on_consumed",
        "pieces",
        "source",
        "unsent_bytes",
        "writer",
    )

    def __init__(
        self, budget: BodyBudget, source: BodySource, length: int | None
    ) -> None:
        self.budget = budget
        self.source = source
        self.length = length
        self.pieces: deque[bytes] = deque()
        self.complete = False
        self.consumed = False
        self.on_consumed: Callable[[], None] | None = None
        self.writer: Callable[[], None] | None = None
        self.unsent_bytes = 0

    def append(self, data: bytes) -> None:
        """Adds a piece received from the client."""
        self.budget.held_bytes += len(data)
        self.pieces.append(data)

    def forward(self) -> None:
        """Writes the received pieces. Reading from the client pauses while some of them are not accepted."""
        if self.writer is not None:
            self.writer()
        if (self.pieces or self.unsent_bytes) and not self.complete:
            self.source.pause()

    def take_piece(self) -> bytes:
        """Removes and returns the next piece, which counts as held until `mark_sent` or `release`."""
        if not self.consumed:
            self.consumed = True
            if self.on_consumed is not None:
                self.on_consumed()
        piece = self.pieces.popleft()
        self.unsent_bytes += len(piece)
        return piece

    def mark_sent(self) -> None:
        """Called when the kernel has accepted everything that was written."""
        self.budget.held_bytes -= self.unsent_bytes
        self.unsent_bytes = 0

    def release(self) -> None:
        """Returns all memory to the budget: the rest of the body is not needed."""
        self.mark_sent()
        self.budget.held_bytes -= sum(len(piece) for piece in self.pieces)
        self.pieces.clear()
        self.writer = None
