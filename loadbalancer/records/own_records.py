"""The records that this node owns, and how their versions rise above those of earlier incarnations.

After a restart a node knows nothing of the records that its earlier incarnation wrote, while other members
still store them. It raises its counter and versions above theirs, so that its own records win.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.records.interface import MAX_BODY_BYTES
from loadbalancer.records.messages import (
    MAX_COUNTER,
    MAX_KIND_CHARS,
    KnownRecord,
    VersionVectorEntry,
)
from loadbalancer.records.queues import DisseminationQueue, FetchQueue
from loadbalancer.records.rules import MAX_KINDS_PER_OWNER
from loadbalancer.records.state import Address, Counters, ReplicaSet, StoredRecord


class OwnRecords:
    """Writes this node's records and announces them.

    Args:
        replicas: Stores the records.
        queue: Disseminates this node's entry when it has risen.
        fetches: Requests records of an earlier incarnation from members that store them.
        counters: Counts the entries of earlier incarnations.
        withdraw_after_us: Time in microseconds after which records of an earlier incarnation that have not
            been written again are withdrawn.
    """

    def __init__(
        self,
        replicas: ReplicaSet,
        queue: DisseminationQueue,
        fetches: FetchQueue,
        counters: Counters,
        withdraw_after_us: int,
    ) -> None:
        self.replicas = replicas
        self.owner = replicas.own
        self.queue = queue
        self.fetches = fetches
        self.counters = counters
        self.withdraw_after_us = withdraw_after_us
        self.written_kinds: set[str] = set()  # by this incarnation
        self.withdraw_at_us: dict[str, int] = {}  # by kind of an earlier incarnation

    def put(self, kind: str, body: bytes, now_us: int) -> bool:
        """Writes a record; an empty body withdraws it.

        Args:
            kind: The kind of the record, 1 to `MAX_KIND_CHARS` characters.
            body: The content, at most `MAX_BODY_BYTES`.
            now_us: The current time in microseconds.

        Returns:
            Whether the record has changed.

        Raises:
            ValueError: The body or the kind is out of bounds, or there are too many kinds.
        """
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(
                f"record body has {len(body)} bytes, more than the maximum of {MAX_BODY_BYTES}"
            )
        if not 0 < len(kind) <= MAX_KIND_CHARS:
            raise ValueError(
                f"record kind has {len(kind)} characters; it must have 1 to {MAX_KIND_CHARS}"
            )
        stored = self.owner.records.get(kind)
        if stored is None and len(self.owner.records) >= MAX_KINDS_PER_OWNER:
            raise ValueError(
                f"a node cannot have more than {MAX_KINDS_PER_OWNER} kinds of records"
            )
        self.written_kinds.add(kind)
        self.withdraw_at_us.pop(kind, None)
        if stored is not None and stored.body == body:
            return False
        self._write(kind, body, stored.version if stored is not None else 0, now_us)
        return True

    def withdraw_all(self, now_us: int) -> None:
        """Withdraws all records of this node."""
        for kind, stored in self.owner.records.items():
            if stored.body:
                self._write(kind, b"", stored.version, now_us)

    def withdraw_expired(self, now_us: int) -> None:
        """Withdraws records of an earlier incarnation that this one has not written again in time."""
        for kind in [k for k, at_us in self.withdraw_at_us.items() if now_us >= at_us]:
            del self.withdraw_at_us[kind]
            self._write(kind, b"", self.owner.records[kind].version, now_us)

    def heartbeat(self) -> None:
        """Raises the counter of this node's entry without new records."""
        self._announce(has_new_records=False)

    def on_entry_announced(self, entry: VersionVectorEntry, source: Address) -> None:
        """Handles a newer entry of this node from a member; it must be of an earlier incarnation."""
        self.counters.earlier_incarnations += 1
        self._announce(has_new_records=True, previous_counter=entry.counter)
        if entry.checksum != self.owner.records_checksum:
            self.fetches.request(self.owner, source)

    def on_record_received(self, kind: str, record: StoredRecord, now_us: int) -> None:
        """Handles a record of this node that a member has sent back.

        If it wins over a record that this incarnation has written with another body, this node's record is
        written again with a higher version. Otherwise it is stored, and is withdrawn later unless this
        incarnation writes the kind.
        """
        stored = self.owner.records.get(kind)
        if not record.supersedes(stored):
            return
        is_written = kind in self.written_kinds
        if stored is not None and is_written and stored.body != record.body:
            self._write(kind, stored.body, record.version, now_us)
            return
        if not is_written and record.body:
            self.withdraw_at_us[kind] = now_us + self.withdraw_after_us
        self.replicas.store(self.owner, kind, record)
        self._announce(has_new_records=True)

    def on_records_requested(
        self, known: Sequence[KnownRecord], source: Address, now_us: int
    ) -> None:
        """Handles a request for this node's records, which lists those that the requester has.

        These may be of an earlier incarnation and win over this node's records. The response that would have
        shown this can be lost, and no member announces their entry again once this node's counter is above
        it.

        Args:
            known: The records that the requester has.
            source: Address of the requester.
            now_us: The current time in microseconds.
        """
        for known_record in known:
            stored = self.owner.records.get(known_record.kind)
            if known_record.version > MAX_COUNTER:
                continue
            if stored is not None:
                if known_record.version < stored.version:
                    continue
                if (known_record.version, known_record.checksum) == (
                    stored.version,
                    stored.checksum,
                ):
                    continue
                if known_record.kind in self.written_kinds:
                    self._write(
                        known_record.kind, stored.body, known_record.version, now_us
                    )
                    continue
            if not self.fetches.is_requested(self.owner, source):
                self.fetches.request(self.owner, source)

    def _write(
        self, kind: str, body: bytes, previous_version: int, now_us: int
    ) -> None:
        record = StoredRecord(min(previous_version + 1, MAX_COUNTER), body, now_us)
        self.replicas.store(self.owner, kind, record)
        self._announce(has_new_records=True)

    def _announce(self, *, has_new_records: bool, previous_counter: int = 0) -> None:
        """Raises the counter of this node's entry, also above a given one, and queues the entry."""
        counter = min(max(self.owner.entry.counter, previous_counter) + 1, MAX_COUNTER)
        self.owner.advance(VersionVectorEntry(counter, self.owner.records_checksum))
        self.queue.add(self.owner.key, has_new_records=has_new_records)
