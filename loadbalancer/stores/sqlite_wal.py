"""Checks SQLite's write-ahead log (WAL) before SQLite opens it.

The format of the log is described in SQLite's "Database File Format".
"""

from __future__ import annotations

import os
import sys
from array import array
from struct import Struct

PAGE_BYTES = 4096
# Magic number, format, page size in bytes, checkpoint sequence number, two salts, two checksums.
WAL_HEADER = Struct(">IIIIIIII")
# Page number, size of the database in pages after a commit (0 for other frames), two salts, two checksums.
FRAME_HEADER = Struct(">IIIIII")
HEADER_CHECKSUMMED_BYTES = 24
FRAME_CHECKSUMMED_BYTES = 8


def count_lost_commits(path: str) -> int:
    """Returns the number of commits in a write-ahead log from its first invalid frame on.

    SQLite takes the first frame with a wrong checksum for the end of the log. A flipped bit in it would
    therefore silently undo everything that was written and synced after it.
    """
    if not os.path.exists(path):
        return 0
    with open(path, "rb") as file:
        data = file.read()
    if len(data) < WAL_HEADER.size + FRAME_HEADER.size:
        return 0
    magic, _, page_bytes, _, *salts, sum0, sum1 = WAL_HEADER.unpack_from(data)
    swap_bytes = (magic & 1) == (sys.byteorder == "little")
    state = _checksum(data[:HEADER_CHECKSUMMED_BYTES], swap_bytes, (0, 0))
    is_valid = state == (sum0, sum1)
    if not is_valid:
        # The other fields of the header are not valid either. This store uses SQLite's default page size.
        page_bytes = PAGE_BYTES
        salts = list(FRAME_HEADER.unpack_from(data, WAL_HEADER.size)[2:4])
    frame_bytes = FRAME_HEADER.size + page_bytes
    lost = 0
    for start in range(WAL_HEADER.size, len(data) - frame_bytes + 1, frame_bytes):
        _, pages_after_commit, salt0, salt1, *sums = FRAME_HEADER.unpack_from(
            data, start
        )
        if [salt0, salt1] != salts:
            # Written before the last checkpoint, like all frames that follow; or the salts are corrupt.
            is_valid = False
            continue
        if is_valid:
            page_start = start + FRAME_HEADER.size
            header = data[start : start + FRAME_CHECKSUMMED_BYTES]
            state = _checksum(header, swap_bytes, state)
            state = _checksum(
                data[page_start : page_start + page_bytes], swap_bytes, state
            )
            is_valid = [*state] == sums
        if not is_valid and pages_after_commit:
            lost += 1
    return lost


def _checksum(data: bytes, swap_bytes: bool, state: tuple[int, int]) -> tuple[int, int]:
    """Continues SQLite's running checksum of a log from `state`."""
    words = array("I", data)
    if swap_bytes:
        words.byteswap()
    sum0, sum1 = state
    for word0, word1 in zip(words[::2], words[1::2], strict=True):
        sum0 = (sum0 + word0 + sum1) & 0xFFFFFFFF
        sum1 = (sum1 + word1 + sum0) & 0xFFFFFFFF
    return sum0, sum1
