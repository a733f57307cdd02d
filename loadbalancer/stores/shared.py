"""A store that several threads can use: a lock admits one call at a time.

A feature that must not block the event loop during a write uses a `StoreWorker`; other features call the
store on the event loop. The lock prevents simultaneous changes of the store's index.
"""

from __future__ import annotations

from collections.abc import Iterator
from threading import Lock

from loadbalancer.stores.interface import Store


class SharedStore:
    """Wraps a store; a call on the event loop waits until a call in progress on another thread has ended."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.durable = store.durable
        self._lock = Lock()

    def get(self, name: str) -> bytes | None:
        """Returns the bytes of a record; None if it does not exist."""
        with self._lock:
            return self._store.get(name)

    def replace(self, name: str, data: bytes | None) -> None:
        """Replaces a record; None removes it."""
        with self._lock:
            self._store.replace(name, data)

    def append(self, log: str, data: bytes) -> int:
        """Appends an entry to a log; returns its number."""
        with self._lock:
            return self._store.append(log, data)

    def read(self, log: str, since: int = 0) -> Iterator[tuple[int, bytes]]:
        """Returns the entries after number `since`, oldest first; the call reads them all."""
        with self._lock:
            return iter(list(self._store.read(log, since)))

    def cut(self, log: str, before: int) -> None:
        """Drops the entries below number `before`."""
        with self._lock:
            self._store.cut(log, before)

    def names(self) -> tuple[list[str], list[str]]:
        """Returns the sorted names of the records, and those of the logs."""
        with self._lock:
            return self._store.names()

    def size(self) -> int:
        """Returns the bytes in use that count towards the store's bound."""
        with self._lock:
            return self._store.size()

    def close(self) -> None:
        """Closes the wrapped store."""
        with self._lock:
            self._store.close()
