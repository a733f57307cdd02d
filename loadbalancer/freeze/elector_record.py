"""The record that an elector keeps in its node's store, and its encoding."""

from __future__ import annotations

import msgspec

from loadbalancer.freeze.errors import FreezeRecordError
from loadbalancer.freeze.messages import StateVersion

RECORD_NAME = "freeze-elector"  # key in the store
RECORD_FORMAT = 1  # version of the encoding


class ElectorRecord(msgspec.Struct, array_like=True, frozen=True):
    """The part of an elector's state that must survive a restart.

    It is stored as an array, so the order of the fields is part of the format.

    Attributes:
        format: `RECORD_FORMAT` of the program that wrote it.
        voted_for: The candidate that got this elector's vote in `term`; empty if none did.
        version: Version of the replicated state in `state`.
        minimum_version: See `VoteGuard.minimum_version`.
        state: A snapshot of the replicated state.
    """

    format: int
    term: int
    voted_for: str
    version: StateVersion
    minimum_version: StateVersion
    state: bytes


def encode_record(record: ElectorRecord) -> bytes:
    """Returns the bytes to store."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> ElectorRecord:
    """Reads a stored record.

    Raises:
        FreezeRecordError: `data` is not an elector's record, or has another format.
    """
    try:
        record = msgspec.msgpack.decode(data, type=ElectorRecord)
    except msgspec.DecodeError as error:
        raise FreezeRecordError(
            f"not an elector's record: {error}", RECORD_NAME
        ) from None
    if record.format != RECORD_FORMAT:
        raise FreezeRecordError(
            f"record format {record.format} is not supported; this program reads format {RECORD_FORMAT}",
            RECORD_NAME,
        )
    return record
