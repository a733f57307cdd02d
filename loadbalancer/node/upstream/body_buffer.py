"""Buffers for request and response bodies, and streaming of large request bodies.

A small body is held in memory completely. A larger one is streamed: while the receiving side does not accept
more, reading from the sending side stops. Everything that is held counts against one budget.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loadbalancer.node.memory_budget import MemoryBudget

MAX_HELD_BODY_BYTES = 65_536  # larger bodies are streamed
MAX_BODY_BYTES = 32 << 20
# The most bytes that a message may have on the wire for each byte of its body, beyond the allowance for a
# held body (`is_framing_proportionate`).
MAX_FRAMING_RATIO = 8
# Most bytes of framing without a byte of body between them: the parser holds an unfinished trailer.
MAX_FRAMING_RUN_BYTES = 32_768
# A streamed body that makes no progress for this time is abandoned.
BODY_STALL_TIMEOUT_S = 10.0

LAST_CHUNK = b"0\r\n\r\n"


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


class BodyBuffer:
    """Bytes of a body that wait in memory, joined as they arrive.

    What they take, and how many writes they need, depends on their number alone, not on the chunks or reads
    that they arrived in: an object for each part would take many times the memory of a short part.

    Args:
        budget: The budget that the bytes count against.

    Attributes:
        held_bytes: Bytes that count against the budget (`MemoryHolder`).
    """

    __slots__ = ("budget", "data", "held_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.data = bytearray()
        self.held_bytes = 0

    def __len__(self) -> int:
        """Bytes that wait."""
        return len(self.data)

    def append(self, part: bytes | bytearray) -> None:
        """Adds a part of the body."""
        self.data += part
        self.budget.count(self, len(self.data))

    def take(self) -> bytes:
        """Removes and returns everything, which no longer counts."""
        data = bytes(self.data)
        self.release()
        return data

    def release(self) -> None:
        """Drops everything, and returns its memory to the budget."""
        self.data = bytearray()
        self.budget.count(self, 0)


class BodySource(Protocol):
    """The connection that a streamed body is read from."""

    def pause(self) -> None:
        """Stops reading for now."""

    def resume(self) -> None:
        """Continues reading."""


class Upload:
    """A streamed request body, whose bytes wait here until the upstream connection takes them.

    Args:
        budget: The budget that the bytes count against.
        source: The client connection that the body is read from.
        length: Bytes of the body; None for a chunked body.

    Attributes:
        length: Bytes of the body; None for a chunked body.
        waiting: Received bytes that have not been taken.
        complete: Whether the last byte has been received.
        consumed: Whether bytes have been taken. They are then no longer held, so the body cannot be resent.
        on_consumed: Called when the first bytes are taken.
        writer: Writes the received bytes; set while an attempt has a connection.
        held_bytes: Bytes that have been written but not accepted by the kernel (`MemoryHolder`).
    """

    __slots__ = (
        "budget",
        "complete",
        "consumed",
        "held_bytes",
        "length",
        "on_consumed",
        "source",
        "waiting",
        "writer",
    )

    def __init__(
        self, budget: MemoryBudget, source: BodySource, length: int | None
    ) -> None:
        self.budget = budget
        self.source = source
        self.length = length
        self.waiting = BodyBuffer(budget)
        self.complete = False
        self.consumed = False
        self.on_consumed: Callable[[], None] | None = None
        self.writer: Callable[[], None] | None = None
        self.held_bytes = 0

    def append(self, data: bytes | bytearray) -> None:
        """Adds bytes received from the client."""
        self.waiting.append(data)

    def forward(self) -> None:
        """Writes the received bytes. Reading from the client pauses while some of them are not accepted."""
        if self.writer is not None:
            self.writer()
        if (self.waiting or self.held_bytes) and not self.complete:
            self.source.pause()

    def take(self) -> bytes:
        """Removes and returns what waits; it counts as held until `mark_sent` or `release`."""
        if not self.consumed:
            self.consumed = True
            if self.on_consumed is not None:
                self.on_consumed()
        data = self.waiting.take()
        self.budget.count(self, self.held_bytes + len(data))
        return data

    def mark_sent(self) -> None:
        """Called when the kernel has accepted everything that was written."""
        self.budget.count(self, 0)

    def release(self) -> None:
        """Returns all memory to the budget: the rest of the body is not needed."""
        self.mark_sent()
        self.waiting.release()
        self.writer = None
