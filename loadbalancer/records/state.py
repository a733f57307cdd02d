"""The state of the replicated records: stored records, owners, the replica set and the counters."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from loadbalancer.records.messages import (
    BUCKET_COUNT,
    KnownRecord,
    OwnerRequest,
    RecordUpdate,
    ResponsePart,
    VersionVectorEntry,
    checksum,
    owner_key,
    pack_entry,
)

Address = tuple[str, int]


@dataclass
class Counters:
    """Totals since the start of the process.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes of these datagrams.
        received: Well-formed datagrams received.
        malformed: Malformed datagrams, which were dropped.
        unknown_owners: Received entries, requests and records of owners that are not known.
        rate_limited: Datagrams that the byte budget did not allow.
        updates: Received records that were newer than the stored ones.
        requested: Owners whose records were requested.
        earlier_incarnations: Received entries of this node that were newer than its own, which it therefore
            announced in an earlier incarnation.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    malformed: int = 0
    unknown_owners: int = 0
    rate_limited: int = 0
    updates: int = 0
    requested: int = 0
    earlier_incarnations: int = 0

    def as_metrics(self) -> dict[str, int]:
        """Returns the totals by the metric names under which they are published."""
        return {
            "sent": self.sent,
            "sent_bytes": self.sent_bytes,
            "received": self.received,
            "malformed": self.malformed,
            "unknown": self.unknown_owners,
            "held_back": self.rate_limited,
            "taken": self.updates,
            "asked": self.requested,
            "own_found": self.earlier_incarnations,
        }


@dataclass
class StoredRecord:
    """One version of a record in the replica set.

    Attributes:
        version: The version that the owner gave it.
        body: The content; empty if the owner has withdrawn the record.
        received_at_us: When this node received it, in monotonic microseconds.
        digest: Hash of the body; decides between two bodies of the same version.
    """

    version: int
    body: bytes
    received_at_us: int
    digest: bytes = b""

    def __post_init__(self) -> None:
        self.digest = blake2b(self.body, digest_size=16).digest()

    def supersedes(self, other: StoredRecord | None) -> bool:
        """Whether this record wins over another; the order is total, so that replicas converge."""
        return other is None or (self.version, self.digest) > (
            other.version,
            other.digest,
        )

    @property
    def checksum(self) -> int:
        """The first 32 bits of the digest."""
        return int.from_bytes(self.digest[:4], "big")

    def is_missing(self, known: KnownRecord | None) -> bool:
        """Whether a requester that has the given record, or none, needs this one."""
        if known is None or self.version > known.version:
            return True
        return self.version == known.version and self.checksum != known.checksum


@dataclass
class PendingFetch:
    """An owner's newer entry whose records are being fetched.

    Attributes:
        entry: The entry with which the stored records do not agree yet.
        sources: Addresses of members that announced it, which are asked in turn.
        attempts: Number of requests sent so far.
        next_attempt_us: When the next source is asked, in monotonic microseconds.
    """

    entry: VersionVectorEntry
    sources: list[Address]
    attempts: int = 0
    next_attempt_us: int = 0


@dataclass
class OwnerState:
    """The records of one owner as stored on this node.

    Attributes:
        name: The owner's name.
        key: The short key of the name.
        entry: The highest entry that agrees with the stored records.
        packed_entry: The same entry as it is sent, see `pack_entry`.
        records: Stored records by kind.
        advanced_at_us: When the entry last rose, in monotonic microseconds; not kept for this node itself.
        dead_since_us: When the owner stopped being live; None while it is live.
        records_checksum: Checksum over all stored records, 32 bits.
        fetch: The fetch in progress, if any.
    """

    name: str
    key: bytes
    entry: VersionVectorEntry = field(default_factory=VersionVectorEntry)
    packed_entry: bytes = b""
    records: dict[str, StoredRecord] = field(default_factory=dict)
    advanced_at_us: int = 0
    dead_since_us: int | None = None
    records_checksum: int = 0
    fetch: PendingFetch | None = None

    def advance(self, entry: VersionVectorEntry) -> None:
        """Replaces the entry by a newer one that agrees with the stored records."""
        self.entry, self.packed_entry = entry, pack_entry(self.key, entry)

    def store(self, kind: str, record: StoredRecord) -> None:
        """Replaces the record of a kind and updates the checksum over all records."""
        self.records[kind] = record
        parts = (
            f"{stored_kind}\0{stored.version}\0".encode() + stored.digest
            for stored_kind, stored in sorted(self.records.items())
        )
        self.records_checksum = checksum(b"".join(parts))

    @property
    def bucket_contribution(self) -> int:
        """The owner's share of the checksum of its bucket.

        It is 0 without records, because nodes differ for a while in which members they know.
        """
        if not self.records:
            return 0
        return checksum(self.key + self.records_checksum.to_bytes(4, "big"))

    def missing_records(self) -> OwnerRequest:
        """Returns the request for records that are newer than the stored ones."""
        known = [
            KnownRecord(kind, record.version, record.checksum)
            for kind, record in sorted(self.records.items())
        ]
        return OwnerRequest(self.key, known)

    def response_to(self, known: Iterable[KnownRecord]) -> list[ResponsePart]:
        """Returns the records that a requester lacks; the last one also carries the owner's entry."""
        known_by_kind = {record.kind: record for record in known}
        updates = [
            RecordUpdate(self.name, kind, record.version, record.body)
            for kind, record in sorted(self.records.items())
            if record.is_missing(known_by_kind.get(kind))
        ]
        parts = [ResponsePart(b"", update) for update in updates]
        if parts:
            parts[-1] = ResponsePart(self.packed_entry, updates[-1])
        return parts


class ReplicaSet:
    """All owners that this node knows, with the bucket checksums over their records.

    Args:
        name: Name of this node, which is an owner itself.

    Attributes:
        own: The state of this node as an owner.
        owners: All owners by name.
        by_key: All owners by key.
        bucket_checksums: One checksum for each bucket of owners.
    """

    def __init__(self, name: str) -> None:
        self.own = OwnerState(name, owner_key(name))
        self.own.advance(VersionVectorEntry(1, 0))
        self.owners: dict[str, OwnerState] = {name: self.own}
        self.by_key: dict[bytes, OwnerState] = {self.own.key: self.own}
        self.bucket_checksums = [0] * BUCKET_COUNT

    def add(self, name: str, now_us: int) -> None:
        """Adds an owner without records; a name whose key is already in use is ignored."""
        key = owner_key(name)
        if key in self.by_key:
            return
        owner = OwnerState(name, key, advanced_at_us=now_us)
        owner.advance(VersionVectorEntry())
        self.owners[name] = self.by_key[key] = owner

    def store(self, owner: OwnerState, kind: str, record: StoredRecord) -> None:
        """Replaces an owner's record and updates the checksum of its bucket."""
        old_contribution = owner.bucket_contribution
        owner.store(kind, record)
        change = old_contribution ^ owner.bucket_contribution
        self.bucket_checksums[bucket_of(owner.key)] ^= change

    def silent_owners(self, since_us: int) -> list[bytes]:
        """Returns the keys of live owners that have records and whose entry has not risen since a time."""
        return [
            owner.key
            for owner in self.owners.values()
            if owner.dead_since_us is None
            and owner.records
            and owner.advanced_at_us < since_us
        ]

    def drop(self, owner: OwnerState) -> None:
        """Removes an owner and its records."""
        del self.owners[owner.name], self.by_key[owner.key]
        self.bucket_checksums[bucket_of(owner.key)] ^= owner.bucket_contribution


def bucket_of(key: bytes) -> int:
    """Returns the number of the bucket to which an owner's key belongs."""
    return key[0] % BUCKET_COUNT
