"""The format of a ledger's log: entries, batches and their hash chain.

Structs are encoded as arrays, in the order of their fields.

Entries are chained by BLAKE2b: reading detects an entry that was changed, removed, inserted or moved, and
where. (xxhash is faster and detects flipped bits as well, but whoever can write the file can forge an entry
with any given xxhash.) Whoever rewrites the complete chain changes its head, which the node has reported to
the others in its status. Entries that are missing at the end of the log are no error, since a killed process
leaves such a log.

Times are microseconds of the node's monotonic clock, which restarts with each incarnation; 0 means not yet.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import ClassVar, NamedTuple

import msgspec

from loadbalancer.errors import LoadBalancerError
from loadbalancer.policy.api import Outcome

FORMAT_VERSION = 1  # format version of a batch
HASH_BYTES = 32  # size of a chain head
GENESIS_HEAD = bytes(HASH_BYTES)  # the chain head before the first entry
NO_ATTEMPTS = (0,) * len(Outcome)  # outcome counts without any attempt

# Number of attempts by outcome, in the order of `Outcome`.
OutcomeCounts = tuple[int, ...]


class LedgerError(LoadBalancerError):
    """A ledger that cannot be read."""

    remedy: ClassVar[str] = (
        "move the log `audit` out of the node's store and start it; it starts a new chain"
    )


class LedgerChainError(LedgerError):
    """The chain is broken: entries were changed, removed, inserted or moved after they were written."""

    code: ClassVar[str] = "LedgerBroken"
    remedy: ClassVar[str] = (
        "keep a copy of the node's store and compare the heads that other nodes show at /admin/audit; check "
        "the disk and who can write there. The node continues with a new chain in a separate log"
    )


class ForeignLedgerError(LedgerError):
    """The chain was written by another node or by a newer version of the program."""

    code: ClassVar[str] = "LedgerForeign"
    remedy: ClassVar[str] = (
        "give each node a store of its own; after a downgrade move the log `audit` away"
    )


class VersionKey(NamedTuple):
    """A version of a source.

    Attributes:
        source: The value of a `VersionSource` of the feature interface.
        origin: The numbering that the number belongs to.
        number: The version number within that origin.
        digest: Digest of the content.
    """

    source: str
    origin: str
    number: int
    digest: str


class VersionRecord(msgspec.Struct, array_like=True):
    """What is known of a version in one incarnation of the node.

    Attributes:
        incarnation: The incarnation.
        key: The version.
        announced_at: When the node first learned of it.
        announced_by: "own", or the first member that reported it.
        activated_at: When it was first activated.
        activations: How often it was activated.
        first_attempt_at: When the first attempt under it started.
        last_attempt_at: When the last attempt under it started.
        attempts: Attempts under it, by outcome.
    """

    incarnation: int
    key: VersionKey
    announced_at: int = 0
    announced_by: str = ""
    activated_at: int = 0
    activations: int = 0
    first_attempt_at: int = 0
    last_attempt_at: int = 0
    attempts: OutcomeCounts = NO_ATTEMPTS


class FoldedVersions(NamedTuple):
    """Totals of a source's versions that have no record of their own any more."""

    versions: int
    attempts: OutcomeCounts


class SpanCounts(NamedTuple):
    """Attempts in one span since the last entry of this kind; `span` is the span's number."""

    span: int
    first_attempt_at: int
    last_attempt_at: int
    attempts: OutcomeCounts


class SpanReference(NamedTuple):
    """A span in a checkpoint.

    Attributes:
        span: Its number.
        since: When it started.
        record_indexes: Indexes of its versions in `Checkpoint.records`.
    """

    span: int
    since: int
    record_indexes: tuple[int, ...]


class Entry(msgspec.Struct, array_like=True, tag_field="t"):
    """Base of all entries of the chain."""


class IncarnationStarted(Entry, tag="begin"):
    """An incarnation of the node has started. `wall` is Unix time in microseconds, for display only."""

    incarnation: int
    node: str
    at: int
    wall: int
    note: str = ""


class VersionAnnounced(Entry, tag="told"):
    """The node has learned of a version for the first time, from `by`."""

    key: VersionKey
    by: str
    at: int


class VersionActivated(Entry, tag="taken"):
    """A version is in force from now on; the span with the number `span` starts."""

    key: VersionKey
    at: int
    span: int


class AttemptsCounted(Entry, tag="sums"):
    """Attempts by span since the last entry of this kind."""

    spans: tuple[SpanCounts, ...]


class ActionTaken(Entry, tag="act"):
    """An action of the node that concerns its versions or a member, and its grant (term, number) if any."""

    what: str
    why: str
    at: int
    grant: tuple[int, int] | None = None


class IncarnationEnded(Entry, tag="end"):
    """An incarnation has stopped normally: no entry is missing."""

    at: int


class Checkpoint(Entry, tag="checkpoint"):
    """The complete state after the entries before it, which may be dropped.

    Attributes:
        head: The chain head before the checkpoint.
        entries: Number of entries before the checkpoint.
        node: The node's name.
        incarnation: The present incarnation.
        closed: Whether that incarnation has stopped normally.
        records: The version records.
        folded: Totals of versions without a record, by source.
        spans: The spans, oldest first.
    """

    head: bytes
    entries: int
    node: str
    incarnation: int
    closed: bool
    records: tuple[VersionRecord, ...]
    folded: dict[str, FoldedVersions]
    spans: tuple[SpanReference, ...]


class Batch(msgspec.Struct, array_like=True):
    """Entries that are appended to the log together: all of them or none.

    Attributes:
        format_version: Version of this format.
        first_entry: Number of the first entry; the entries of a chain are numbered from 1.
        head_before: The chain head before the first entry.
        bodies: The encoded entries.
        head_after: The chain head after the last entry.
    """

    format_version: int
    first_entry: int
    head_before: bytes
    bodies: tuple[bytes, ...]
    head_after: bytes


AnyEntry = (
    IncarnationStarted
    | VersionAnnounced
    | VersionActivated
    | AttemptsCounted
    | ActionTaken
    | IncarnationEnded
    | Checkpoint
)
ENTRY_DECODER: msgspec.msgpack.Decoder[AnyEntry] = msgspec.msgpack.Decoder(AnyEntry)
BATCH_DECODER: msgspec.msgpack.Decoder[Batch] = msgspec.msgpack.Decoder(Batch)
encode = msgspec.msgpack.Encoder().encode


def next_head(head: bytes, body: bytes) -> bytes:
    """Returns the chain head after an entry with this body."""
    return blake2b(head + body, digest_size=HASH_BYTES).digest()


def add_counts(left: OutcomeCounts, right: Iterable[int]) -> OutcomeCounts:
    """Returns the sums of two counts by outcome."""
    return tuple(a + b for a, b in zip(left, right, strict=True))


def counts_by_name(counts: Iterable[int]) -> dict[str, int]:
    """Returns the counts that are not 0, by the outcomes' names in lower case."""
    return {
        outcome.name.lower(): count
        for outcome, count in zip(Outcome, counts, strict=True)
        if count
    }
