"""The datagrams of the anti-entropy protocol: bounded, versioned, MessagePack by msgspec.

A `Digest` announces the latest version vector entries of owners, a `RecordRequest` asks for missing records,
and a `RecordResponse` carries them. `decode` rejects datagrams that cannot be decoded, have another protocol
version or contain a value out of range; the caller counts and drops them.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterator, Sequence
from hashlib import blake2b
from typing import ClassVar, TypeVar

import msgspec

from loadbalancer.errors import LoadBalancerError
from loadbalancer.records.interface import MAX_BODY_BYTES

PROTOCOL_VERSION = 1
MAX_COUNTER = 1 << 47  # highest counter or version; one above it must still encode
MAX_DATAGRAM_BYTES = (
    1_300  # what a shared transport leaves of 1,400 bytes, with a margin
)
FRAME_BYTES = 32  # reserved for the encoding around the content of a message
OWNER_KEY_BYTES = 6  # the key stands for an owner's name of up to 64 characters
MAX_OWNER_NAME_CHARS = 64
MAX_KIND_CHARS = 32
BUCKET_COUNT = 32  # buckets of owners, each with one checksum in an exchange
ENTRY_LAYOUT = struct.Struct(">6sHII")  # owner key, counter (48 bits), checksum
BUCKET_CHECKSUMS_LAYOUT = struct.Struct(f">{BUCKET_COUNT}I")

Part = TypeVar("Part")


class VersionVectorEntry(msgspec.Struct, frozen=True, order=True):
    """The state of one owner's records in short form; the higher entry is the newer one.

    Attributes:
        counter: Rises with each announcement of the owner.
        checksum: Checksum over all records of the owner, 32 bits.
    """

    counter: int = 0
    checksum: int = 0


class DigestReply(enum.IntEnum):
    """The digest that the sender of a digest requests in return."""

    NONE = 0
    NEWER = 1  # the receiver's newer entries of the owners that the digest lists
    ALL = 2  # as NEWER, and the entries of all owners that the digest does not list


class Digest(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Packed version vector entries and, in an exchange, a checksum for each bucket of owners.

    Attributes:
        entries: Packed entries, see `pack_entry`.
        reply: The digest requested in return.
        bucket_checksums: Packed by `BUCKET_CHECKSUMS_LAYOUT`, or empty. The receiver replies with its entries
            of buckets that differ.
    """

    entries: bytes
    reply: DigestReply = DigestReply.NONE
    bucket_checksums: bytes = b""


class KnownRecord(msgspec.Struct, array_like=True, frozen=True):
    """Version and body checksum of a record that the requester already has, so that it is not sent again."""

    kind: str
    version: int
    checksum: int


class OwnerRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests the newer records of one owner and lists those that the requester already has."""

    owner_key: bytes
    known: list[KnownRecord] = []


class RecordRequest(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Asks for the newer records of some owners."""

    owners: list[OwnerRequest]


class RecordUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One version of a record; an empty body withdraws it."""

    owner: str
    kind: str
    version: int
    body: bytes


class RecordResponse(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Records, and the packed entries of their owners as stored by the sender."""

    entries: bytes
    records: list[RecordUpdate]


class ResponsePart(msgspec.Struct, array_like=True, frozen=True):
    """One record of a response; the packed entry of its owner goes with the owner's last record."""

    entry: bytes
    record: RecordUpdate


Message = Digest | RecordRequest | RecordResponse


class RecordsEnvelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its protocol version; the content of one datagram."""

    version: int
    message: Message


class MalformedRecordsDatagramError(LoadBalancerError, ValueError):
    """A datagram of the records protocol is not well formed; counted as `malformed` and dropped."""

    code: ClassVar[str] = "RecordsMalformed"
    remedy: ClassVar[str] = (
        "run the same version of the program on all nodes of the fleet; if they already do,"
        " find out which other program sends to the port"
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecordsEnvelope)


def encode(message: Message) -> bytes:
    """Returns the datagram that carries a message."""
    return _encoder.encode(RecordsEnvelope(PROTOCOL_VERSION, message))


def decode(data: bytes) -> Message:
    """Returns the message in a datagram.

    Raises:
        MalformedRecordsDatagramError: The datagram is not well formed.
    """
    try:
        envelope = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedRecordsDatagramError(f"malformed datagram: {error}") from None
    if envelope.version != PROTOCOL_VERSION:
        raise MalformedRecordsDatagramError(
            f"protocol version {envelope.version} is not supported; this member supports {PROTOCOL_VERSION}"
        )
    message = envelope.message
    if isinstance(message, Digest):
        _check_entries(message.entries)
        if len(message.bucket_checksums) not in (0, BUCKET_CHECKSUMS_LAYOUT.size):
            raise MalformedRecordsDatagramError(
                f"the number of bucket checksums in a digest is not {BUCKET_COUNT}"
            )
    elif isinstance(message, RecordRequest):
        if any(len(owner.owner_key) != OWNER_KEY_BYTES for owner in message.owners):
            raise MalformedRecordsDatagramError(
                f"a record request has an owner key that is not {OWNER_KEY_BYTES} bytes long"
            )
    else:
        _check_entries(message.entries)
        for update in message.records:
            _check_update(update)
    return message


def _check_entries(packed_entries: bytes) -> None:
    if len(packed_entries) % ENTRY_LAYOUT.size:
        raise MalformedRecordsDatagramError(
            "packed entries are truncated: their length is not a multiple of the entry size"
        )


def _check_update(update: RecordUpdate) -> None:
    if (
        not 0 < len(update.owner) <= MAX_OWNER_NAME_CHARS
        or not 0 < len(update.kind) <= MAX_KIND_CHARS
    ):
        raise MalformedRecordsDatagramError(
            "a record has an owner name or a kind that is empty or too long"
        )
    if not 0 < update.version <= MAX_COUNTER or len(update.body) > MAX_BODY_BYTES:
        raise MalformedRecordsDatagramError(
            f"a record of owner {update.owner!r} has a version or a body size out of range"
        )


def pack_entry(owner_key: bytes, entry: VersionVectorEntry) -> bytes:
    """Packs an owner's key and entry into 16 bytes."""
    high, low = entry.counter >> 32, entry.counter & 0xFFFFFFFF
    return ENTRY_LAYOUT.pack(owner_key, high, low, entry.checksum)


def split_entries(packed_entries: bytes) -> Iterator[bytes]:
    """Yields the packed entries one by one, still packed: a caller can compare them without unpacking."""
    size = ENTRY_LAYOUT.size
    return (
        packed_entries[start : start + size]
        for start in range(0, len(packed_entries), size)
    )


def unpack_entry(packed_entry: bytes) -> VersionVectorEntry:
    """Unpacks an entry from 16 bytes; a counter out of range becomes 0, which no owner announces."""
    _, high, low, checksum = ENTRY_LAYOUT.unpack(packed_entry)
    counter = high << 32 | low
    return VersionVectorEntry(counter if counter <= MAX_COUNTER else 0, checksum)


def owner_key(owner: str) -> bytes:
    """Returns the short key that stands for an owner's name in digests and requests."""
    name = owner.encode(errors="surrogatepass")
    return blake2b(name, digest_size=OWNER_KEY_BYTES).digest()


def checksum(data: bytes) -> int:
    """Returns a checksum of 32 bits over some bytes."""
    return int.from_bytes(blake2b(data, digest_size=4).digest(), "big")


def batches(parts: Sequence[Part]) -> Iterator[list[Part]]:
    """Splits the parts of a message into lists that each fit in one datagram, in their order."""
    batch: list[Part] = []
    remaining_bytes = MAX_DATAGRAM_BYTES - FRAME_BYTES
    for part in parts:
        size = len(_encoder.encode(part))
        if batch and size > remaining_bytes:
            yield batch
            batch, remaining_bytes = [], MAX_DATAGRAM_BYTES - FRAME_BYTES
        batch.append(part)
        remaining_bytes -= size
    if batch:
        yield batch
