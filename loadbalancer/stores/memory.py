"""A store in memory, for nodes without a configured folder and for tests."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from loadbalancer.stores.common import (
    DEFAULT_MAX_BYTES,
    ITEM_OVERHEAD_BYTES,
    check_name,
    closed_error,
    full_error,
)


@dataclass(slots=True)
class LogState:
    """The entries of one log; `first` is the number of the oldest."""

    first: int = 1
    entries: list[bytes] = field(default_factory=list)


class MemoryStore:
    """Keeps records and logs in memory, at most `max_bytes`; they are lost when the process exits."""

    durable = False

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.where = "the store in memory"
        self._records: dict[str, bytes] = {}
        self._logs: dict[str, LogState] = {}
        self._used_bytes = 0
        self.is_open = True

    def get(self, name: str) -> bytes | None:
        """Returns the bytes of a record; None if it does not exist."""
        return self._records.get(self._checked_name(name))

    def replace(self, name: str, data: bytes | None) -> None:
        """Replaces a record; None removes it."""
        old = self._records.get(self._checked_name(name))
        old_bytes = ITEM_OVERHEAD_BYTES + len(old) if old is not None else 0
        if data is None:
            self._records.pop(name, None)
            self._used_bytes -= old_bytes
        else:
            data = bytes(data)
            self._reserve(ITEM_OVERHEAD_BYTES + len(data) - old_bytes)
            self._records[name] = data

    def append(self, log: str, data: bytes) -> int:
        """Appends an entry to a log; returns its number."""
        state = self._logs.get(self._checked_name(log))
        data = bytes(data)
        self._reserve(
            ITEM_OVERHEAD_BYTES + len(data) + (0 if state else ITEM_OVERHEAD_BYTES)
        )
        if state is None:
            state = self._logs[log] = LogState()
        state.entries.append(data)
        return state.first + len(state.entries) - 1

    def read(self, log: str, since: int = 0) -> Iterator[tuple[int, bytes]]:
        """Iterates over the entries after number `since`, oldest first, as of the time of the call."""
        state = self._logs.get(self._checked_name(log)) or LogState()
        start = max(since + 1, state.first)
        return enumerate(state.entries[start - state.first :], start)

    def cut(self, log: str, before: int) -> None:
        """Drops the entries below number `before`; the other entries keep their numbers."""
        state = self._logs.get(self._checked_name(log))
        if state is None or before <= state.first:
            return
        dropped = state.entries[: before - state.first]
        del state.entries[: len(dropped)]
        state.first += len(dropped)
        self._used_bytes -= sum(map(len, dropped)) + ITEM_OVERHEAD_BYTES * len(dropped)

    def names(self) -> tuple[list[str], list[str]]:
        """Returns the sorted names of the records, and those of the logs."""
        self._checked_name("any")
        return sorted(self._records), sorted(self._logs)

    def size(self) -> int:
        """Returns the bytes in use, with a fixed overhead for each record, entry and log."""
        self._checked_name("any")
        return self._used_bytes

    def close(self) -> None:
        """Closes the store; its contents are lost."""
        self.is_open = False
        self._records.clear()
        self._logs.clear()

    def _checked_name(self, name: str) -> str:
        """Returns the name if it is valid and the store is open; raises StoreError otherwise."""
        if not self.is_open:
            raise closed_error(self.where)
        return check_name(name, self.where)

    def _reserve(self, additional_bytes: int) -> None:
        """Adds to the bytes in use; raises StoreFullError if that would exceed the store's bound."""
        if (
            self._used_bytes + additional_bytes > self.max_bytes
            and additional_bytes > 0
        ):
            raise full_error(
                self._used_bytes + additional_bytes, self.max_bytes, self.where
            )
        self._used_bytes += additional_bytes
