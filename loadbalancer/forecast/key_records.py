"""Encodes key digests as records that the nodes of a fleet exchange.

A node's report consists of one record with its most requested keys and some records with its sample. Every
record starts with a header of the same layout. Key positions follow in ascending order, each encoded as the
difference to the previous one and followed by its count, both as integers of variable length.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum
from struct import Struct
from typing import NamedTuple

from loadbalancer.forecast.key_digest import KeyDigest
from loadbalancer.forecast.rendezvous import POSITION_COUNT

MAX_REPORTED_TOP_KEYS = 150  # in the record of the most requested keys
MAX_UINT32 = 0xFFFFFFFF
MAX_UINT16 = 0xFFFF
VARINT_PAYLOAD_BITS = 7  # bits of the number in each byte
VARINT_PAYLOAD_MASK = 127
VARINT_CONTINUES = 128  # flag of a byte that another one follows
VARINT_MAX_SHIFT = 63  # bits; a longer number is malformed
US_PER_MS = 1000

# The fields of `_Header`: form, span in milliseconds, requests, threshold - 1, floor of the most requested
# keys, hits, reported answers, subset size.
HEADER = Struct("<BIIIIIIH")


class RecordForm(IntEnum):
    """What a record contains; the value is its first byte."""

    TOP = 1  # the most requested keys
    SAMPLE = 2  # some of the sampled keys


class KeyRecordError(ValueError):
    """Bytes are not a valid key record, or the records do not belong to the same report."""


@dataclass(frozen=True)
class NodeKeyReport:
    """The decoded records of one node.

    Attributes:
        digest: The node's counts of requests by key.
        subset_size: Number of servers that the node wants in its subset.
    """

    digest: KeyDigest
    subset_size: int


class _Header(NamedTuple):
    """The header of a record, with its fields in the order of `HEADER`.

    Attributes:
        form: A value of `RecordForm`.
        span_ms: Duration over which requests were counted.
        requests: Number of requests for all keys.
        last_sampled: Highest sampled position, the threshold minus 1.
        top_floor: Upper bound of the count of keys that are not among the most requested.
        hits: Recent answers that came from a cache.
        reported_answers: Recent answers that reported whether they came from a cache.
        subset_size: Number of servers that the node wants in its subset.
    """

    form: int
    span_ms: int
    requests: int
    last_sampled: int
    top_floor: int
    hits: int
    reported_answers: int
    subset_size: int

    def encode(self) -> bytes:
        return HEADER.pack(*self)


def encode_report(
    digest: KeyDigest, subset_size: int, sample_records: int, max_bytes: int
) -> list[bytes]:
    """Encodes a digest as records: the most requested keys first, then the sample.

    Keys that do not fit are left out. Of the sample these are the keys with the highest positions, and the
    threshold falls to the first position left out. At most `MAX_REPORTED_TOP_KEYS` of the most requested keys
    are encoded, and the floor rises to the highest count left out.

    Args:
        digest: The node's counts.
        subset_size: Number of servers that the node wants in its subset.
        sample_records: Number of records for the sample.
        max_bytes: Maximum size of one record.
    """
    max_body_bytes = max_bytes - HEADER.size
    top = digest.truncated(0, MAX_REPORTED_TOP_KEYS)
    while True:
        top_body, encoded_count = _encode_counts(
            sorted(top.top.items()), max_body_bytes
        )
        if encoded_count == len(top.top):
            break
        top = top.truncated(0, encoded_count)
    threshold, sample_bodies = _encode_sample(digest, sample_records, max_body_bytes)
    top_header = _encode_header(
        RecordForm.TOP, digest, digest.threshold, top, subset_size
    )
    sample_header = _encode_header(
        RecordForm.SAMPLE, digest, threshold, top, subset_size
    )
    return [top_header + top_body, *(sample_header + body for body in sample_bodies)]


def _encode_sample(
    digest: KeyDigest, records: int, max_body_bytes: int
) -> tuple[int, list[bytes]]:
    """Returns the threshold below which all sampled keys were encoded, and the bodies of the records."""
    pairs = sorted(
        (position, count)
        for position, count in digest.counts.items()
        if position < digest.threshold
    )
    bodies = []
    for _ in range(records):
        body, encoded_count = _encode_counts(pairs, max_body_bytes)
        bodies.append(body)
        pairs = pairs[encoded_count:]
    return (pairs[0][0] if pairs else digest.threshold), bodies


def _encode_header(
    form: RecordForm,
    digest: KeyDigest,
    threshold: int,
    top: KeyDigest,
    subset_size: int,
) -> bytes:
    """Encodes the header of a record; values that exceed their field are limited to its maximum."""
    return _Header(
        form,
        min(digest.span_us // US_PER_MS, MAX_UINT32),
        min(digest.requests, MAX_UINT32),
        max(0, threshold - 1),
        min(top.top_floor, MAX_UINT32),
        min(digest.hits, MAX_UINT32),
        min(digest.reported_answers, MAX_UINT32),
        min(subset_size, MAX_UINT16),
    ).encode()


def _encode_counts(
    pairs: Iterable[tuple[int, int]], max_bytes: int
) -> tuple[bytes, int]:
    """Encodes pairs of position and count, in ascending order of positions, up to a size limit.

    Returns:
        The encoded bytes, and the number of pairs in them.
    """
    encoded = bytearray()
    previous = encoded_count = 0
    for position, count in pairs:
        pair = bytearray()
        _append_varint(position - previous, pair)
        _append_varint(count, pair)
        if len(encoded) + len(pair) > max_bytes:
            break
        encoded += pair
        previous = position
        encoded_count += 1
    return bytes(encoded), encoded_count


def _append_varint(number: int, encoded: bytearray) -> None:
    """Appends an integer of variable length, its lowest bits first."""
    while number > VARINT_PAYLOAD_MASK:
        encoded.append(number & VARINT_PAYLOAD_MASK | VARINT_CONTINUES)
        number >>= VARINT_PAYLOAD_BITS
    encoded.append(number)


class _VarintReader:
    """Reads integers of variable length from the body of a record.

    Attributes:
        body: The complete record.
        offset: Index of the next byte to read.
    """

    def __init__(self, body: bytes, offset: int) -> None:
        self.body = body
        self.offset = offset

    def has_more(self) -> bool:
        """Whether there are bytes left to read."""
        return self.offset < len(self.body)

    def read(self) -> int:
        """Reads one integer.

        Raises:
            KeyRecordError: The record ends within the integer, or the integer is too long.
        """
        number = shift = 0
        while True:
            if not self.has_more() or shift > VARINT_MAX_SHIFT:
                raise KeyRecordError(
                    "key record ends within an integer or contains one that is too long"
                )
            byte = self.body[self.offset]
            self.offset += 1
            number |= (byte & VARINT_PAYLOAD_MASK) << shift
            if byte < VARINT_CONTINUES:
                return number
            shift += VARINT_PAYLOAD_BITS


def decode_report(bodies: Sequence[bytes]) -> NodeKeyReport:
    """Decodes the records of one node's report.

    Args:
        bodies: The record of the most requested keys, followed by those of the sample.

    Raises:
        KeyRecordError: A record is malformed, or the records are of reports of different times, as happens
            while newer records of the same node are still on their way.
    """
    digest, subset_size = KeyDigest(), 0
    counts: dict[int, int] = {}
    top: dict[int, int] = {}
    for index, body in enumerate(bodies):
        header = _decode_header(body, RecordForm.SAMPLE if index else RecordForm.TOP)
        _check_same_report(index, header, digest)
        _decode_counts(body, header, counts if index else top)
        subset_size = header.subset_size
        digest = KeyDigest(
            span_us=max(1, header.span_ms * US_PER_MS),
            requests=header.requests,
            threshold=header.last_sampled + 1,
            counts=counts,
            top=top,
            top_floor=header.top_floor,
            hits=header.hits,
            reported_answers=header.reported_answers,
        )
    has_sample = len(bodies) > 1
    if not has_sample:
        digest = replace(digest, threshold=0, counts={}, top=top)
    return NodeKeyReport(digest, subset_size)


def _decode_header(body: bytes, form: RecordForm) -> _Header:
    """Decodes the header of a record that must have the given form.

    Raises:
        KeyRecordError: The record is too short or its header is invalid.
    """
    if len(body) < HEADER.size:
        raise KeyRecordError("key record is shorter than its header")
    header = _Header._make(HEADER.unpack_from(body))
    if header.form != form or header.hits > header.reported_answers:
        raise KeyRecordError(
            "key record has another form than expected, or more hits than answers"
        )
    return header


def _check_same_report(index: int, header: _Header, before: KeyDigest) -> None:
    """Checks that a record belongs to the same report as the one before it.

    All records of a report have the same number of requests, and those of the sample the same threshold.

    Raises:
        KeyRecordError: The record belongs to another report.
    """
    requests_differ = index > 0 and header.requests != before.requests
    threshold_differs = index > 1 and header.last_sampled + 1 != before.threshold
    if requests_differ or threshold_differs:
        raise KeyRecordError(
            "key records are of reports of different times: their numbers of requests"
            " or their thresholds differ"
        )


def _decode_counts(body: bytes, header: _Header, counts: dict[int, int]) -> None:
    """Decodes the counts of a record and adds them to a dictionary by position.

    Raises:
        KeyRecordError: A position or a count is out of range.
    """
    reader = _VarintReader(body, HEADER.size)
    position = 0
    while reader.has_more():
        position += reader.read()
        count = reader.read()
        if position >= POSITION_COUNT or count > header.requests + header.top_floor:
            raise KeyRecordError(
                "key record has a position that is out of range, or a count larger than"
                " its number of requests plus the floor"
            )
        counts[position] = count
