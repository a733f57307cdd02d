"""The interface through which a node's features use the records that are replicated among the members.

A record maps (owner, kind) to (version, body). A node writes only its own records. Versions only rise, also
across restarts: a node that receives a newer version of its own record from an earlier incarnation continues
above that version. Merging is commutative, associative and idempotent, so loss, reordering and duplication of
datagrams do no harm. Records of members that have been dead for longer than `RecordRules.drop_after_us` are
dropped; records whose owner has been silent for longer than the stale timeout are marked stale.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

MAX_BODY_BYTES = 1_000  # a record must fit in one datagram


@dataclass(frozen=True, slots=True)
class Record:
    """One version of a record.

    Attributes:
        owner: Name of the member that wrote it.
        kind: The subject of the record, such as "audit" or "evidence"; at most 32 characters.
        version: Number of the version; rises with each write of the owner.
        body: The content, at most `MAX_BODY_BYTES`.
        received_at_us: When this node received this version, in monotonic microseconds.
        stale: Whether the owner has sent no heartbeat for longer than the stale timeout.
    """

    owner: str
    kind: str
    version: int
    body: bytes
    received_at_us: int = 0
    stale: bool = False


class Records(Protocol):
    """The replicated records as stored on one node."""

    def put(self, kind: str, body: bytes) -> None:
        """Writes this node's own record of a kind; an unchanged body does not create a new version.

        Args:
            kind: The kind of the record, 1 to 32 characters.
            body: The content, at most `MAX_BODY_BYTES`; an empty body withdraws the record.

        Raises:
            ValueError: The body is larger than `MAX_BODY_BYTES`, the length of the kind is out of bounds,
                or the node has too many kinds of records.
        """

    def get(self, owner: str, kind: str) -> Record | None:
        """Returns the record of an owner and kind, or None if it is not known."""

    def of(self, kind: str) -> Sequence[Record]:
        """Returns all records of a kind, sorted by owner."""
