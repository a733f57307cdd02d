"""One member's replica of the records: handles events of the host and messages of other members.

The docstring of the package describes the protocol.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from loadbalancer.records.interface import Record
from loadbalancer.records.messages import (
    BUCKET_CHECKSUMS_LAYOUT,
    OWNER_KEY_BYTES,
    Digest,
    DigestReply,
    MalformedRecordsDatagramError,
    RecordRequest,
    RecordResponse,
    RecordUpdate,
    ResponsePart,
    VersionVectorEntry,
    batches,
    decode,
    split_entries,
    unpack_entry,
)
from loadbalancer.records.outbox import Outbox, SendDatagram
from loadbalancer.records.own_records import OwnRecords
from loadbalancer.records.queues import DisseminationQueue, FetchQueue
from loadbalancer.records.rules import (
    FULL_EXCHANGES_AFTER_JOIN,
    GROUP_KIND,
    MAX_BUCKETS_PER_REPLY,
    MAX_ENTRIES_PER_DIGEST,
    MAX_KINDS_PER_OWNER,
    MAX_OVERDUE_ENTRIES,
    RecordRules,
)
from loadbalancer.records.state import (
    Address,
    Counters,
    OwnerState,
    ReplicaSet,
    StoredRecord,
    bucket_of,
)


class RecordTable:
    """One member's replica of all records; times are monotonic microseconds.

    Args:
        name: This member's name.
        seed: Seed of the random number generator, in combination with the name.
        rules: Timing and rate limits.
        now_us: The current time.

    Attributes:
        peers: Names of the live members without this one, sorted.
        addresses: Addresses of the peers by name.
        full_exchanges_left: Exchanges that are still to request the entries of all owners.
        layout_digest: Digest of the layout that selects the members; empty if all members are in one group.
    """

    def __init__(
        self, name: str, seed: int, rules: RecordRules | None = None, now_us: int = 0
    ) -> None:
        self.name, self.rules = name, rules or RecordRules()
        self.random = random.Random(f"{seed}/{name}")
        self.now_us = now_us
        self.replicas = ReplicaSet(name)
        self.peers: list[str] = []
        self.addresses: dict[str, Address] = {}
        self.counters = Counters()
        self.outbox = Outbox(self.rate_bytes_per_s, self.counters)
        self.queue = DisseminationQueue(self.rules.retransmissions)
        self.fetches = FetchQueue(
            self.rules.fetch_retry_us, self._jitter, self.addresses
        )
        self.own = OwnRecords(
            self.replicas,
            self.queue,
            self.fetches,
            self.counters,
            self.rules.withdraw_after_us,
        )
        self.full_exchanges_left = 0
        self.next_push_us = self.next_exchange_us = now_us
        self.next_heartbeat_us = now_us + self.heartbeat_us
        self.next_drop_us = now_us + self.rules.drop_after_us
        self.layout_digest = b""

    def put(self, now_us: int, kind: str, body: bytes) -> bool:
        """Writes this node's own record of a kind; an empty body withdraws it.

        Args:
            now_us: The current time.
            kind: The kind of the record.
            body: The content.

        Returns:
            Whether the record has changed.

        Raises:
            ValueError: The body or the kind is out of bounds, or there are too many kinds.
        """
        self.advance_clock(now_us)
        return self.own.put(kind, body, self.now_us)

    def change_group(self, now_us: int, layout_digest: bytes) -> list[SendDatagram]:
        """Prepares for a change of the members to those that another layout selects.

        This node's records are withdrawn from the previous members, and some of these are notified at once.
        With a layout, records of owners that follow another one are not returned: updates of such an owner
        reach this node rarely, through the few nodes that still count it as a member, so decisions about it
        would be based on old records.

        Args:
            now_us: The current time.
            layout_digest: Common to all nodes that follow the layout; empty if all members are in one group.

        Returns:
            The datagrams to send.
        """
        self.advance_clock(now_us)
        self.own.withdraw_all(self.now_us)
        self.next_push_us = self.now_us
        self._push()
        self.layout_digest = layout_digest
        if layout_digest or GROUP_KIND in self.replicas.own.records:
            self.put(now_us, GROUP_KIND, layout_digest)
        return self.outbox.take()

    def get(self, owner_name: str, kind: str) -> Record | None:
        """Returns one record; None if it is unknown, withdrawn or of an owner with another layout."""
        owner = self.replicas.owners.get(owner_name)
        stored = owner.records.get(kind) if owner is not None else None
        if owner is None or stored is None or not stored.body:
            return None
        if self.layout_digest and owner is not self.replicas.own:
            layout_record = owner.records.get(GROUP_KIND)
            if (
                layout_record is not None
                and layout_record.body
                and layout_record.body != self.layout_digest
            ):
                return None
        return Record(
            owner_name,
            kind,
            stored.version,
            stored.body,
            stored.received_at_us,
            self.is_stale(owner),
        )

    def of(self, kind: str) -> list[Record]:
        """Returns all records of a kind, sorted by owner."""
        records = (self.get(owner, kind) for owner in sorted(self.replicas.owners))
        return [record for record in records if record is not None]

    def is_stale(self, owner: OwnerState) -> bool:
        """Whether an owner has been silent for over `stale_after_us`; this node itself is never stale."""
        silent_us = self.now_us - owner.advanced_at_us
        return owner is not self.replicas.own and silent_us > self.stale_after_us

    @property
    def heartbeat_us(self) -> int:
        """Microseconds between two heartbeats of an owner."""
        return self.rules.heartbeat_interval_us(len(self.peers) + 1)

    @property
    def stale_after_us(self) -> int:
        """Microseconds of silence after which an owner is stale."""
        return self.rules.stale_timeout_us(len(self.peers) + 1)

    @property
    def rate_bytes_per_s(self) -> int:
        """Average rate at which this node may send, in bytes per second."""
        return self.rules.rate_limit_bytes_per_s(len(self.peers))

    # ---- events --------------------------------------------------------------------------------------------

    def advance_clock(self, now_us: int) -> None:
        """Advances the time and refills the byte budget; a time before the current one counts as the same."""
        elapsed_us = max(0, now_us - self.now_us)
        self.now_us += elapsed_us
        self.outbox.refill(elapsed_us, self.rate_bytes_per_s)

    def set_live_members(self, now_us: int, live: Mapping[str, Address]) -> None:
        """Replaces the set of live members after a change of the membership.

        Args:
            now_us: The current time.
            live: Addresses of the live members by name; this node itself may be among them.
        """
        self.advance_clock(now_us)
        if not self.peers:  # this node has just joined, or was isolated
            self.full_exchanges_left = FULL_EXCHANGES_AFTER_JOIN
        peers = {name: address for name, address in live.items() if name != self.name}
        self.addresses.clear()
        self.addresses.update(peers)
        self.peers = sorted(peers)
        for name in self.peers:
            owner = self.replicas.owners.get(name)
            if owner is None:
                self.replicas.add(name, self.now_us)
            else:
                owner.dead_since_us = None
        for name, owner in self.replicas.owners.items():
            is_peer = owner is self.replicas.own or name in peers
            if not is_peer and owner.dead_since_us is None:
                owner.dead_since_us = self.now_us

    def tick(self, now_us: int) -> list[SendDatagram]:
        """Runs everything that is due and returns the datagrams to send."""
        self.advance_clock(now_us)
        if self.now_us >= self.next_drop_us:
            self._drop_dead_owners()
        if self.now_us >= self.next_heartbeat_us:
            self.next_heartbeat_us = self.now_us + self._jitter(self.heartbeat_us)
            self.own.heartbeat()
        self.own.withdraw_expired(self.now_us)
        self.fetches.retry_due(self.now_us)
        if self.peers and self.now_us >= self.next_exchange_us:
            interval_us = self._jitter(self.rules.exchange_interval_us)
            self.next_exchange_us = self.now_us + interval_us
            self._exchange()
        if self.now_us >= self.next_push_us:
            self._push()
        self._send_requests()
        return self.outbox.take()

    def receive(self, now_us: int, data: bytes, source: Address) -> list[SendDatagram]:
        """Handles a datagram from a member and returns the datagrams to send."""
        self.advance_clock(now_us)
        try:
            message = decode(data)
        except MalformedRecordsDatagramError:
            self.counters.malformed += 1
            return []
        self.counters.received += 1
        if isinstance(message, Digest):
            self._on_digest(message, source)
        elif isinstance(message, RecordRequest):
            self._on_request(message, source)
        else:
            self._on_response(message)
        self._send_requests()
        return self.outbox.take()

    def next_deadline(self) -> int:
        """Returns the latest time for the next call of `tick`, in microseconds."""
        times = [self.next_heartbeat_us, self.next_drop_us]
        times += self.own.withdraw_at_us.values()
        if self.peers:
            times.append(self.next_exchange_us)
            if self.queue.pushed:
                times.append(self.next_push_us)
        times += self.fetches.deadlines()
        return max(self.now_us, min(times))

    # ---- messages ------------------------------------------------------------------------------------------

    def _on_digest(self, digest: Digest, source: Address) -> None:
        # Owners whose stored entry is newer than the sender's.
        newer_keys: list[bytes] = []
        named_keys: set[bytes] = set()
        for packed_entry in split_entries(digest.entries):
            key = packed_entry[:OWNER_KEY_BYTES]
            named_keys.add(key)
            owner = self.replicas.by_key.get(key)
            if owner is None:
                self.counters.unknown_owners += 1
            elif packed_entry != owner.packed_entry:
                entry = unpack_entry(packed_entry)
                if entry < owner.entry:
                    newer_keys.append(key)
                else:
                    self._on_newer_entry(owner, entry, source)
        if digest.reply == DigestReply.ALL:
            newer_keys += [key for key in self.replicas.by_key if key not in named_keys]
        if digest.reply != DigestReply.NONE:
            self._send_digests(newer_keys, DigestReply.NONE, source)
        if digest.bucket_checksums:
            self._answer_buckets(digest.bucket_checksums, source)

    def _on_newer_entry(
        self, owner: OwnerState, entry: VersionVectorEntry, source: Address
    ) -> None:
        if entry > owner.entry and owner is self.replicas.own:
            self.own.on_entry_announced(entry, source)
        elif entry.checksum == owner.records_checksum:
            self._adopt(owner, entry)
        else:
            self.fetches.on_entry_announced(owner, entry, source, self.now_us)

    def _answer_buckets(self, packed_checksums: bytes, source: Address) -> None:
        """Sends the entries of some of the buckets whose checksums differ."""
        peer_checksums = BUCKET_CHECKSUMS_LAYOUT.unpack(packed_checksums)
        differing_buckets = [
            bucket
            for bucket, own_checksum in enumerate(self.replicas.bucket_checksums)
            if own_checksum != peer_checksums[bucket]
        ]
        count = min(MAX_BUCKETS_PER_REPLY, len(differing_buckets))
        chosen_buckets = set(self.random.sample(differing_buckets, count))
        keys = [key for key in self.replicas.by_key if bucket_of(key) in chosen_buckets]
        self._send_digests(keys, DigestReply.NEWER, source)

    def _on_request(self, request: RecordRequest, source: Address) -> None:
        parts: list[ResponsePart] = []
        for owner_request in request.owners:
            owner = self.replicas.by_key.get(owner_request.owner_key)
            if owner is None:
                self.counters.unknown_owners += 1
                continue
            if owner is self.replicas.own:
                self.own.on_records_requested(owner_request.known, source, self.now_us)
            parts += owner.response_to(owner_request.known)
        for batch in batches(parts):
            entries = b"".join([part.entry for part in batch])
            records = [part.record for part in batch]
            self.outbox.enqueue(RecordResponse(entries, records), source)

    def _on_response(self, response: RecordResponse) -> None:
        for update in response.records:
            self._on_update(update)
        for packed_entry in split_entries(response.entries):
            owner = self.replicas.by_key.get(packed_entry[:OWNER_KEY_BYTES])
            entry = unpack_entry(packed_entry)
            if owner is None or owner is self.replicas.own or entry <= owner.entry:
                continue
            if entry.checksum == owner.records_checksum:
                self._adopt(owner, entry)

    def _on_update(self, update: RecordUpdate) -> None:
        owner = self.replicas.owners.get(update.owner)
        record = StoredRecord(update.version, update.body, self.now_us)
        if owner is None:
            self.counters.unknown_owners += 1
        elif owner is self.replicas.own:
            self.own.on_record_received(update.kind, record, self.now_us)
        elif record.supersedes(owner.records.get(update.kind)) and (
            update.kind in owner.records or len(owner.records) < MAX_KINDS_PER_OWNER
        ):
            self.replicas.store(owner, update.kind, record)
            self.counters.updates += 1
            fetch = owner.fetch
            if fetch is not None and fetch.entry.checksum == owner.records_checksum:
                self._adopt(owner, fetch.entry)

    def _adopt(self, owner: OwnerState, entry: VersionVectorEntry) -> None:
        """Adopts an entry that agrees with the stored records, and disseminates it."""
        has_new_records = entry.checksum != owner.entry.checksum
        owner.advance(entry)
        owner.advanced_at_us = self.now_us
        self.fetches.complete(owner, entry)
        self.queue.add(owner.key, has_new_records=has_new_records)

    # ---- dissemination -------------------------------------------------------------------------------------

    def _push(self) -> None:
        """Sends entries with new records to a few random members."""
        if not self.queue.pushed or not self.peers:
            return
        self.next_push_us = self.now_us + self._jitter(self.rules.push_interval_us)
        keys = list(self.queue.pushed)[:MAX_ENTRIES_PER_DIGEST]
        digest = Digest(self._packed_entries(keys))
        count = min(self.rules.push_fanout, len(self.peers))
        targets = self.random.sample(self.peers, count)
        enqueued = [
            self.outbox.enqueue(digest, self.addresses[name]) for name in targets
        ]
        if any(enqueued):  # otherwise the budget is exhausted: retry later
            self.queue.mark_pushed(keys)

    def _exchange(self) -> None:
        """Sends one random member the latest heartbeats, some overdue entries and all bucket checksums."""
        heartbeats = list(self.queue.exchanged)
        heartbeats = heartbeats[: MAX_ENTRIES_PER_DIGEST - MAX_OVERDUE_ENTRIES]
        overdue = self.replicas.silent_owners(self.now_us - self.heartbeat_us * 3 // 2)
        count = min(MAX_OVERDUE_ENTRIES, len(overdue))
        keys = dict.fromkeys([*heartbeats, *self.random.sample(overdue, count)])
        reply = DigestReply.ALL if self.full_exchanges_left else DigestReply.NEWER
        target = self.random.choice(self.peers)
        checksums = BUCKET_CHECKSUMS_LAYOUT.pack(*self.replicas.bucket_checksums)
        digest = Digest(self._packed_entries(keys), reply, checksums)
        if self.outbox.enqueue(digest, self.addresses[target]):
            self.full_exchanges_left = max(0, self.full_exchanges_left - 1)
            self.queue.mark_exchanged(heartbeats)

    def _send_digests(
        self, keys: list[bytes], reply: DigestReply, target: Address
    ) -> None:
        for start in range(0, len(keys), MAX_ENTRIES_PER_DIGEST):
            entries = self._packed_entries(keys[start : start + MAX_ENTRIES_PER_DIGEST])
            self.outbox.enqueue(Digest(entries, reply), target)

    def _send_requests(self) -> None:
        """Sends the requests that result from the current event, combined for each member."""
        for target, owners in self.fetches.take_requests().items():
            for batch in batches([owner.missing_records() for owner in owners]):
                if self.outbox.enqueue(RecordRequest(batch), target):
                    self.counters.requested += len(batch)

    def _packed_entries(self, keys: Iterable[bytes]) -> bytes:
        return b"".join([self.replicas.by_key[key].packed_entry for key in keys])

    def _drop_dead_owners(self) -> None:
        self.next_drop_us = self.now_us + self.rules.drop_after_us // 10
        for owner in list(self.replicas.owners.values()):
            dead_since_us = owner.dead_since_us
            if dead_since_us is None:
                continue
            if self.now_us - dead_since_us > self.rules.drop_after_us:
                self.replicas.drop(owner)
                self.queue.discard(owner.key)
                self.fetches.discard(owner.key)

    def _jitter(self, time_us: int) -> int:
        """Draws a time from 3/4 to 5/4 of the given one, so that members do not act in step."""
        return time_us * 3 // 4 + self.random.randrange(max(1, time_us // 2))
