"""Formats of the directory store's files: headers, checksums, records, cut marks and log segments.

In all versions of the format a file starts with its kind, the version and a checksum of both. Checksums
(CRC-32) cover names, numbers and data, so that a file or entry under the wrong name or number is detected as
corrupt.

The last byte of an entry is not zero. This distinguishes a torn write, which a kill or a loss of power has
truncated or left as zeros, from a complete entry whose bits have changed. The call of a torn write never
returned, so it is dropped; a changed entry is corruption.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from struct import Struct
from zlib import crc32

from loadbalancer.stores.interface import StoreCorruptError, StoreVersionError

FORMAT_VERSION = 1

RECORD_KIND, SEGMENT_KIND, CUT_KIND = b"BLsr", b"BLsl", b"BLsc"

FILE_HEADER = Struct("<4sHHI")  # kind, version, 0, checksum of these three
RECORD_CHECKSUM = Struct("<I")
SEGMENT_START = Struct("<QI")  # number of the first entry, checksum
CUT_MARK = Struct("<QQI")  # first entry kept, number of the next entry, checksum
ENTRY_HEADER = Struct("<II")  # bytes of data, checksum of number and length
ENTRY_TRAILER = Struct("<IB")  # checksum of number, length and data; ENTRY_END
ENTRY_END = 0xA5

RECORD_OVERHEAD_BYTES = FILE_HEADER.size + RECORD_CHECKSUM.size
SEGMENT_HEADER_BYTES = FILE_HEADER.size + SEGMENT_START.size
ENTRY_OVERHEAD_BYTES = ENTRY_HEADER.size + ENTRY_TRAILER.size


@dataclass(frozen=True, slots=True)
class SegmentContents:
    """A decoded log segment: the version of its format, and its entries before the first incomplete one."""

    version: int
    entries: list[bytes]

    @property
    def size(self) -> int:
        """Total bytes of the header and the entries."""
        return SEGMENT_HEADER_BYTES + sum(
            ENTRY_OVERHEAD_BYTES + len(entry) for entry in self.entries
        )


def encode_record(name: str, data: bytes) -> bytes:
    """Encodes the file of a record."""
    checksum = RECORD_CHECKSUM.pack(_record_checksum(name, data))
    return _file_header(RECORD_KIND) + checksum + data


def decode_record(name: str, content: bytes, path: str) -> bytes:
    """Decodes the file of a record; returns its data.

    Raises:
        StoreCorruptError: The file differs from what was written under this name.
        StoreVersionError: A newer version of the program wrote it.
    """
    check_file_header(content, RECORD_KIND, path)
    data = content[RECORD_OVERHEAD_BYTES:]
    if (
        len(content) < RECORD_OVERHEAD_BYTES
        or _record_checksum(name, data)
        != RECORD_CHECKSUM.unpack_from(content, FILE_HEADER.size)[0]
    ):
        raise corrupt("has a wrong checksum", path)
    return data


def encode_cut_mark(log: str, first: int, next_number: int) -> bytes:
    """Encodes a cut mark: the number of the log's first entry, and the number after its last."""
    checksum = _cut_checksum(log, first, next_number)
    return _file_header(CUT_KIND) + CUT_MARK.pack(first, next_number, checksum)


def decode_cut_mark(log: str, content: bytes, path: str) -> tuple[int, int]:
    """Decodes a cut mark; returns the number of the log's first entry, and the number after its last.

    Raises:
        StoreCorruptError: The file differs from what was written for this log.
        StoreVersionError: A newer version of the program wrote it.
    """
    check_file_header(content, CUT_KIND, path)
    if len(content) != FILE_HEADER.size + CUT_MARK.size:
        raise corrupt(
            f"has {len(content)} bytes, which is not the size of a cut mark", path
        )
    first, next_number, checksum = CUT_MARK.unpack_from(content, FILE_HEADER.size)
    if checksum != _cut_checksum(log, first, next_number):
        raise corrupt("has a wrong checksum", path)
    return first, next_number


def encode_segment_header(log: str, base: int) -> bytes:
    """Encodes the header of a log segment; `base` is the number of its first entry."""
    start = SEGMENT_START.pack(base, _segment_checksum(log, base))
    return _file_header(SEGMENT_KIND) + start


def encode_entry(number: int, data: bytes) -> bytes:
    """Encodes one entry of a log segment."""
    header_checksum = _entry_checksum(number, len(data))
    header = ENTRY_HEADER.pack(len(data), header_checksum)
    return header + data + ENTRY_TRAILER.pack(crc32(data, header_checksum), ENTRY_END)


def decode_segment(log: str, base: int, content: bytes, path: str) -> SegmentContents:
    """Decodes a log segment, up to its first incomplete entry.

    Raises:
        StoreCorruptError: The header does not match this log and number.
        StoreVersionError: A newer version of the program wrote it.
    """
    version = check_file_header(content, SEGMENT_KIND, path)
    start = (base, _segment_checksum(log, base))
    if (
        len(content) < SEGMENT_HEADER_BYTES
        or SEGMENT_START.unpack_from(content, FILE_HEADER.size) != start
    ):
        raise corrupt("has a header that does not match its name", path)
    entries: list[bytes] = []
    offset = SEGMENT_HEADER_BYTES
    while offset + ENTRY_HEADER.size <= len(content):
        length, _ = ENTRY_HEADER.unpack_from(content, offset)
        end = offset + ENTRY_HEADER.size + length
        if end + ENTRY_TRAILER.size > len(content):
            break
        entry = content[offset + ENTRY_HEADER.size : end]
        checksum = crc32(entry, _entry_checksum(base + len(entries), length))
        if ENTRY_TRAILER.unpack_from(content, end) != (checksum, ENTRY_END):
            break
        entries.append(entry)
        offset = end + ENTRY_TRAILER.size
    return SegmentContents(version, entries)


def is_torn_write(tail: bytes, number: int) -> bool:
    """Returns whether the bytes after the last complete entry can be a torn write of entry `number`."""
    if len(tail) < ENTRY_HEADER.size:
        return True
    length, checksum = ENTRY_HEADER.unpack_from(tail)
    if checksum != _entry_checksum(number, length):
        return not any(tail[ENTRY_HEADER.size :])
    complete_bytes = ENTRY_OVERHEAD_BYTES + length
    return len(tail) < complete_bytes or (len(tail) == complete_bytes and tail[-1] == 0)


def check_file_header(content: bytes, kind: bytes, path: str) -> int:
    """Checks the header of a file of this kind; returns the version of its format.

    Raises:
        StoreCorruptError: It is not a file of this kind.
        StoreVersionError: A newer version of the program wrote it.
    """
    if (
        len(content) < FILE_HEADER.size
        or crc32(content[: FILE_HEADER.size - 4]) != FILE_HEADER.unpack_from(content)[3]
    ):
        raise corrupt("does not have the header of a store's file", path)
    found_kind, version, _, _ = FILE_HEADER.unpack_from(content)
    if found_kind != kind:
        raise corrupt("is a file of another kind", path)
    if version > FORMAT_VERSION:
        raise StoreVersionError(
            f"has format version {version}, this program supports up to {FORMAT_VERSION}",
            path,
        )
    return int(version)


def corrupt(problem: str, path: str) -> StoreCorruptError:
    """Returns the error for a corrupt file.

    For a file of a log, the advice names all files that have to be moved away together.
    """
    name, _, kind = os.path.basename(path).partition(".")
    if kind == "record":
        return StoreCorruptError(problem, path)
    advice = f"check the disk; then move {name}.cut and all {name}.*.log away: the log restarts at entry 1"
    return StoreCorruptError(problem, path, advice)


def _file_header(kind: bytes) -> bytes:
    checksum = crc32(kind + FORMAT_VERSION.to_bytes(2, "little") + bytes(2))
    return FILE_HEADER.pack(kind, FORMAT_VERSION, 0, checksum)


def _record_checksum(name: str, data: bytes) -> int:
    return crc32(data, crc32(name.encode()))


def _segment_checksum(log: str, base: int) -> int:
    return crc32(base.to_bytes(8, "little"), crc32(log.encode()))


def _cut_checksum(log: str, first: int, next_number: int) -> int:
    numbers = first.to_bytes(8, "little") + next_number.to_bytes(8, "little")
    return crc32(numbers, crc32(log.encode()))


def _entry_checksum(number: int, length: int) -> int:
    """Returns the checksum of an entry's number and length; if it matches, the length is valid."""
    return crc32(number.to_bytes(8, "little") + length.to_bytes(4, "little"))
