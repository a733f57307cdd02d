"""When a client wrote the bytes that the node has not read yet, bounded from below.

The time of a request runs from its last byte, which is written when the client's system has accepted it.
While the node does not read, that byte may wait on this machine or, once the receive window is full, on the
client's. Then only a lower bound is known: the last moment at which everything that the client had written
was seen on this machine and did not include that byte.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Once the receive window has been full, it has to stay open for this time before the client's side counts as
# empty: its system needs a moment to send what has waited there.
OPEN_TIME_S = 0.05


class Mark(NamedTuple):
    """An observation: bytes of the stream beyond `offset` were written after `at`, in seconds of the loop."""

    offset: int
    at: float


class ArrivalBounds:
    """Lower bounds for when the unread bytes of one connection were written.

    They are needed from the moment in which reading pauses until everything has been read that may have
    waited since. Otherwise bytes are read as they arrive.

    Attributes:
        since: The loop time in seconds before which the next unread byte was not written; None while bytes
            are read as they arrive.
        window_was_full: Whether bytes may wait on the client's side of the connection.
        open_since: The loop time in seconds since which the receive window was open at each observation;
            None if it is not.
    """

    __slots__ = ("_marks", "open_since", "since", "window_was_full")

    def __init__(self) -> None:
        self.since: float | None = None
        self.window_was_full = False
        self.open_since: float | None = None
        self._marks: deque[Mark] = deque()

    def begin(self, now: float) -> None:
        """Notes that reading pauses: from now on, bytes may wait unread."""
        if self.since is None:
            self.since = now

    def observe(
        self,
        now: float,
        offset: int,
        unread_bytes: int,
        window_open: bool,
        reading: bool,
    ) -> None:
        """Records what is on this machine. May only be called after `begin`.

        Args:
            now: The loop time in seconds.
            offset: The offset in the stream of the first byte that was not read.
            unread_bytes: Bytes that wait on the socket.
            window_open: Whether the client's system can send more, and could since the last observation.
            reading: Whether bytes are read as they arrive from now on.
        """
        if not window_open:
            self.window_was_full = True
            self.open_since = None
            return
        if self.window_was_full:
            if self.open_since is None:
                self.open_since = now
            if now - self.open_since < OPEN_TIME_S:
                return
            self.window_was_full = False
        # Everything that the client has written by now is on this machine.
        if reading and not unread_bytes:
            self._reset()
        else:
            self._mark(offset + unread_bytes, now)
            self.advance(offset)

    def advance(self, offset: int) -> None:
        """Notes that the bytes up to `offset` of the stream have been processed."""
        while self._marks and self._marks[0].offset <= offset:
            self.since = self._marks.popleft().at

    def bound_at(self, offset: int) -> float | None:
        """The loop time in seconds before which the byte that ends at `offset` was not written.

        None while bytes are read as they arrive.
        """
        bound = self.since
        for mark in self._marks:
            if mark.offset >= offset:
                break
            bound = mark.at
        return bound

    def _mark(self, offset: int, now: float) -> None:
        if self._marks and self._marks[-1].offset >= offset:
            offset = self._marks.pop().offset
        self._marks.append(Mark(offset, now))

    def _reset(self) -> None:
        self.since = self.open_since = None
        self.window_was_full = False
        self._marks.clear()
