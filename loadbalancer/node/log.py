"""The node's log: lines on standard error, with a limit per second."""

from __future__ import annotations

import select
import sys
from contextlib import suppress
from time import monotonic
from typing import TextIO

MAX_LINES_PER_S = 20
MAX_STRAY_LINES_PER_S = 5  # for events that any sender of invalid data can cause


def is_writable(stream: TextIO) -> bool:
    """Whether a line can be written without waiting; true where the system cannot tell."""
    try:
        poll = select.poll()
        poll.register(stream.fileno(), select.POLLOUT)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


class Log:
    """Writes lines and counts those that it omits.

    The limit keeps a flood of stray datagrams or malformed requests from using up the node's processor time,
    or from blocking the node when its log is not read.

    Args:
        name: The node's name, which starts each line.
        max_lines_per_s: Largest number of lines per second; further lines are only counted.

    Attributes:
        lines_left: Lines that may still be written in the current second.
        second: The current second of the monotonic clock.
        omitted: Lines omitted since the last report of omitted lines.
    """

    def __init__(self, name: str, max_lines_per_s: int) -> None:
        self.name = name
        self.max_lines_per_s = max_lines_per_s
        self.lines_left = max_lines_per_s
        self.second = 0
        self.omitted = 0

    def line(self, text: str) -> None:
        """Writes one line, or counts it as omitted."""
        second = int(monotonic())
        if second != self.second:
            self.second, self.lines_left = second, self.max_lines_per_s
            if self.omitted:
                self.write(f"log lines omitted count={self.omitted}")
                self.omitted = 0
        if self.lines_left == 0:
            self.omitted += 1
            return
        self.lines_left -= 1
        self.write(text)

    def write(self, text: str) -> None:
        """Writes a line regardless of the limit. A log that cannot be written does not stop the node.

        While nobody reads the pipe that standard error may be, lines are omitted: the write would block.
        """
        if not is_writable(sys.stderr):
            self.omitted += 1
            return
        with suppress(OSError):
            sys.stderr.write(self.frame(text) + "\n")
            sys.stderr.flush()

    def frame(self, text: str) -> str:
        """Returns the line with its prefix."""
        return f"{self.name}: {text}"
