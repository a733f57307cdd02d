"""The memory budget for requests and responses, which every part that holds some of them counts against."""

from __future__ import annotations

from typing import Protocol

READ_BUFFER_BYTES = 65_536  # largest single read
# Largest single read while READ_BUFFER_BYTES do not fit the budget.
READ_BUFFER_BYTES_AT_LIMIT = 4_096


class MemoryHolder(Protocol):
    """Something that holds memory for a request or a response.

    Attributes:
        held_bytes: Bytes that it holds, as last counted. Only `MemoryBudget.count` changes them.
    """

    held_bytes: int


class MemoryBudget:
    """The memory for requests, for responses and for input that has not been parsed, of all connections.

    A holder counts what its bytes take in memory, in whatever form they arrived: the objects that hold them
    count too where there may be many, and parts of a body are joined (`BodyBuffer`).

    Attributes:
        max_bytes: Bytes that may be held.
        held_bytes: Bytes that are held.
        read_buffer: The buffer that the event loop reads into, for one connection at a time.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def count(self, holder: MemoryHolder, size_bytes: int) -> None:
        """Counts that `holder` holds `size_bytes` now, whatever it held before."""
        self.held_bytes += size_bytes - holder.held_bytes
        holder.held_bytes = size_bytes

    def fits(self, size_bytes: int) -> bool:
        """Whether `size_bytes` more may be held."""
        return self.held_bytes + size_bytes <= self.max_bytes

    def next_read_buffer(self) -> memoryview:
        """The buffer for the next read, which is small while READ_BUFFER_BYTES do not fit the budget.

        Otherwise hundreds of slow connections could each hold a full read that their other side does not
        accept, and the process would run out of memory.
        """
        if self.fits(READ_BUFFER_BYTES):
            return self.read_buffer
        return self.read_buffer[:READ_BUFFER_BYTES_AT_LIMIT]
