"""The status record: the versions that a node acts on, as it reports them to the other nodes.

It is the body of a record of kind "audit". It carries no times, since clocks may differ by minutes. Fields
that change all the time (the ledger's chain head) are sent at long intervals only, so that a fleet without
changes sends few records.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

import msgspec

KIND = "audit"  # kind of the records that carry a status
FORMAT_VERSION = 1
MAX_BODY_BYTES = 1_000
MAX_LIST_VERSIONS = 4  # list versions in a status: the present one and those before it
# Shortest interval at which an otherwise unchanged status is sent again.
RENEWAL_US = 30_000_000
# That interval is at least this time multiplied by the number of nodes that receive the status.
RENEWAL_PER_LISTENER_US = 2_000_000


class VersionId(NamedTuple):
    """A version of the endpoint list.

    Attributes:
        origin: The discovery whose numbering the version belongs to.
        number: The version number within that origin.
        digest: Digest of the list's content.
    """

    origin: str
    number: int
    digest: str


class FileVersion(NamedTuple):
    """A version of a configuration file.

    Attributes:
        reloads: Number of reloads that the node had applied when the content last changed.
        digest: Digest of the file's content.
    """

    reloads: int
    digest: str


class Ballot(NamedTuple):
    """A vote that the request with `request_number` may use a quarantine slot."""

    slot: int
    request_number: int


class QuarantineState(IntEnum):
    """Whether the audit lets the node serve clients."""

    SERVING = 0
    REQUESTED = 1  # the node still serves, and waits for votes
    QUARANTINED = 2

    @property
    def label(self) -> str:
        """The name of the state in metrics and on admin pages."""
        return ("in", "asking", "out")[self]


class StatusRecord(msgspec.Struct, array_like=True, frozen=True):
    """One node's status. The fields are encoded as an array, in this order.

    Attributes:
        format_version: Version of this format.
        incarnation: The node's incarnation by its ledger.
        ledger_entries: Number of entries in its ledger.
        chain_head: The first bytes of its ledger's chain head; the other nodes are its witnesses.
        list_versions: The last list versions from its own discovery, newest last.
        adopted: A version that it has adopted from other nodes since; None if there is none.
        settings: Version of its settings.
        operator_config: Version of its operators' file.
        program: Version of its program.
        membership_epoch: Version of its view of the members.
        known_members: Number of members that it knows, including those that died recently.
        term: The coordinator term that it knows.
        ready: Whether it accepts clients at all.
        step: Its catch-up step, a value of `CatchUpStep`; `FAILED` once all steps have been tried.
        quarantine: Its quarantine state.
        slot: The quarantine slot that it requests or occupies.
        request_number: The number of that request.
        votes: Its votes on the requests of other nodes.
    """

    format_version: int = FORMAT_VERSION
    incarnation: int = 0
    ledger_entries: int = 0
    chain_head: bytes = b""
    list_versions: tuple[VersionId, ...] = ()
    adopted: VersionId | None = None
    settings: FileVersion = FileVersion(0, "")
    operator_config: FileVersion = FileVersion(0, "")
    program: str = ""
    membership_epoch: int = 0
    known_members: int = 0
    term: int = 0
    ready: bool = True
    step: int = 0
    quarantine: QuarantineState = QuarantineState.SERVING
    slot: int = 0
    request_number: int = 0
    votes: tuple[Ballot, ...] = ()

    @property
    def list_version(self) -> VersionId | None:
        """The newest version from the node's own discovery; None if it has none."""
        return self.list_versions[-1] if self.list_versions else None


DECODER = msgspec.msgpack.Decoder(StatusRecord)


def encode(status: StatusRecord) -> bytes:
    """Encodes a status in at most `MAX_BODY_BYTES`, dropping the oldest list versions if necessary.

    The newest list version is always kept, even if the body is longer then.
    """
    data = msgspec.msgpack.encode(status)
    while len(data) > MAX_BODY_BYTES and len(status.list_versions) > 1:
        status = msgspec.structs.replace(status, list_versions=status.list_versions[1:])
        data = msgspec.msgpack.encode(status)
    return data


def decode(body: bytes) -> StatusRecord | None:
    """Decodes a status; returns None if it cannot be read or has another format version."""
    try:
        status = DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return status if status.format_version == FORMAT_VERSION else None


def renewal_interval_us(listeners: int) -> int:
    """Returns the microseconds after which a status is sent again if only its chain head has changed.

    Each renewal costs each listener some 500 bytes. An interval that grows with the number of listeners
    bounds the total that one member receives, whatever the size of the fleet
    (`benchmarks/slopes/records-renewal-small.json`).

    Args:
        listeners: Number of nodes that receive the status.
    """
    return max(RENEWAL_US, RENEWAL_PER_LISTENER_US * listeners)


def append_version(
    versions: tuple[VersionId, ...], new: VersionId
) -> tuple[VersionId, ...]:
    """Returns the list versions to report once `new` is in force.

    Another origin or a lower number starts a new numbering: all earlier versions are dropped.
    """
    if versions and versions[-1] == new:
        return versions
    if versions and (
        versions[-1].origin != new.origin or versions[-1].number > new.number
    ):
        return (new,)
    return (*versions[-(MAX_LIST_VERSIONS - 1) :], new)


def stable_hash(*values: object) -> int:
    """Returns a 32-bit hash of the values that is the same on all nodes."""
    text = "\0".join(str(value) for value in values)
    digest = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=4).digest()
    return int.from_bytes(digest, "big")
