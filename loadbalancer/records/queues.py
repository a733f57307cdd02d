"""Queues of outgoing work: entries to disseminate and records to fetch."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from loadbalancer.records.messages import VersionVectorEntry
from loadbalancer.records.rules import MAX_FETCH_ATTEMPTS, MAX_FETCH_SOURCES
from loadbalancer.records.state import Address, OwnerState, PendingFetch


class DisseminationQueue:
    """Owners whose entries are still to be sent, with the remaining transmissions of each, oldest first.

    Args:
        retransmissions: Number of pushes of an entry, and then of exchanges that carry it.

    Attributes:
        pushed: Owner keys of entries with new records, which are pushed.
        exchanged: Owner keys of entries that rose only by a heartbeat or have already been pushed; they are
            sent with exchanges.
    """

    def __init__(self, retransmissions: int) -> None:
        self.retransmissions = retransmissions
        self.pushed: dict[bytes, int] = {}
        self.exchanged: dict[bytes, int] = {}

    def add(self, key: bytes, *, has_new_records: bool) -> None:
        """Queues an owner whose entry has risen."""
        if has_new_records:
            self.pushed[key] = self.retransmissions
            self.exchanged.pop(key, None)
        elif key not in self.pushed:
            self.exchanged[key] = self.retransmissions

    def mark_pushed(self, keys: Iterable[bytes]) -> None:
        """Counts a push of some entries.

        After its last push an entry is sent with exchanges, to reach members that the pushes have missed.
        """
        for key in keys:
            transmissions_left = self.pushed.pop(key) - 1
            if transmissions_left > 0:
                self.pushed[key] = transmissions_left
            else:
                self.exchanged[key] = self.retransmissions

    def mark_exchanged(self, keys: Iterable[bytes]) -> None:
        """Counts an exchange that carried some entries."""
        for key in keys:
            transmissions_left = self.exchanged.pop(key) - 1
            if transmissions_left > 0:
                self.exchanged[key] = transmissions_left

    def clear(self) -> None:
        """Removes all queued entries."""
        self.pushed.clear()
        self.exchanged.clear()

    def discard(self, key: bytes) -> None:
        """Removes the entry of an owner."""
        self.pushed.pop(key, None)
        self.exchanged.pop(key, None)


class FetchQueue:
    """Fetches in progress, and the requests that result from the current event.

    Args:
        retry_us: Time in microseconds after which a request without a response goes to another source.
        jitter: Draws a random time around a given one, in microseconds.
        addresses: Addresses of the live members by name; the second request of a fetch goes to the owner.

    Attributes:
        pending: Owners with a fetch in progress, by key.
    """

    def __init__(
        self,
        retry_us: int,
        jitter: Callable[[int], int],
        addresses: Mapping[str, Address],
    ) -> None:
        self.retry_us = retry_us
        self.jitter = jitter
        self.addresses = addresses
        self.pending: dict[bytes, OwnerState] = {}
        self._requests: dict[Address, list[OwnerState]] = {}

    def on_entry_announced(
        self, owner: OwnerState, entry: VersionVectorEntry, source: Address, now_us: int
    ) -> None:
        """Starts or updates a fetch for an announced entry that is newer than the stored records."""
        fetch = owner.fetch
        if fetch is None or (
            entry > fetch.entry and entry.checksum != fetch.entry.checksum
        ):
            owner.fetch = PendingFetch(entry, [source])
            self.pending[owner.key] = owner
            self._request_next_source(owner, owner.fetch, now_us)
        elif entry.checksum == fetch.entry.checksum:
            fetch.entry = max(entry, fetch.entry)
            if source not in fetch.sources and len(fetch.sources) < MAX_FETCH_SOURCES:
                fetch.sources.append(source)

    def retry_due(self, now_us: int) -> None:
        """Sends the request of each fetch that had no response in time to its next source."""
        due_fetches = [
            (owner, owner.fetch)
            for owner in self.pending.values()
            if owner.fetch is not None and now_us >= owner.fetch.next_attempt_us
        ]
        for owner, fetch in due_fetches:
            self._request_next_source(owner, fetch, now_us)

    def _request_next_source(
        self, owner: OwnerState, fetch: PendingFetch, now_us: int
    ) -> None:
        """Requests the records from the next source, or gives up until the entry is announced again.

        The second request goes to the owner: it lists the known records, among which the owner may find some
        that it lost in a restart.
        """
        if fetch.attempts == MAX_FETCH_ATTEMPTS:
            owner.fetch = None
            del self.pending[owner.key]
            return
        fetch.next_attempt_us = now_us + self.jitter(self.retry_us)
        source = fetch.sources[fetch.attempts % len(fetch.sources)]
        if fetch.attempts == 1:
            source = self.addresses.get(owner.name, source)
        self.request(owner, source)
        fetch.attempts += 1

    def request(self, owner: OwnerState, source: Address) -> None:
        """Adds an owner to the request that is sent to a member after the current event."""
        self._requests.setdefault(source, []).append(owner)

    def is_requested(self, owner: OwnerState, source: Address) -> bool:
        """Whether the current event already requests the owner's records from a member."""
        return owner in self._requests.get(source, [])

    def take_requests(self) -> dict[Address, list[OwnerState]]:
        """Returns the owners to request by member address, and empties the queue."""
        requests, self._requests = self._requests, {}
        return requests

    def complete(self, owner: OwnerState, entry: VersionVectorEntry) -> None:
        """Ends the owner's fetch if the adopted entry is at least as new as the fetched one."""
        if owner.fetch is not None and owner.fetch.entry <= entry:
            owner.fetch = None
            self.pending.pop(owner.key, None)

    def deadlines(self) -> list[int]:
        """Returns the times of the next retries, in microseconds."""
        return [
            owner.fetch.next_attempt_us
            for owner in self.pending.values()
            if owner.fetch is not None
        ]

    def discard(self, key: bytes) -> None:
        """Removes the fetch of an owner."""
        self.pending.pop(key, None)
