"""Finds the value of a header in a stream of bytes, however the bytes are split into reads."""

from __future__ import annotations

# ASCII codes, and the difference between a lower-case letter and its capital.
LINE_FEED = 10
UPPER_A, UPPER_Z = 65, 90
CASE_DIFFERENCE = 32


class HeaderValueFinder:
    """Finds the first byte of the value of a header's n-th occurrence.

    A name matches only at the start of a line, in upper or lower case. White space before the value is
    skipped, and headers with an empty value do not count.

    Args:
        name: Name of the header.
        occurrence: Which occurrence to find, from 1.
    """

    def __init__(self, name: str, occurrence: int) -> None:
        self.pattern = b"\n" + name.lower().encode("latin-1", "replace") + b":"
        self.remaining = occurrence
        self.matched = 0  # number of bytes of `pattern` matched so far
        self.before_value = False  # after the colon

    @property
    def is_idle(self) -> bool:
        """Whether no part of a name has matched, so that bytes up to the next line feed can be skipped."""
        return not self.before_value and self.matched == 0

    def feed(self, byte: int) -> bool:
        """Processes the next byte; returns whether it is the first byte of the value that was to be found."""
        if self.before_value:
            if byte in b" \t":
                return False
            self.before_value = False
            self.matched = 0
            if byte not in b"\r\n":
                self.remaining -= 1
                return self.remaining == 0
        self._match(byte)
        return False

    def _match(self, byte: int) -> None:
        """Compares a byte with the next byte of the line feed, name and colon that are looked for."""
        lower = byte + CASE_DIFFERENCE if UPPER_A <= byte <= UPPER_Z else byte
        if lower == self.pattern[self.matched]:
            self.matched += 1
            if self.matched == len(self.pattern):
                self.before_value, self.matched = True, 0
        else:
            self.matched = 1 if lower == LINE_FEED else 0
