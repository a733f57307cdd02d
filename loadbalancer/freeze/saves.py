"""Tracks the term and version in an elector's store, and the saves that are under way."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.freeze.messages import StateVersion


class SavedVersion(NamedTuple):
    """Term and version that one save writes to the store."""

    term: int
    version: StateVersion


class SaveTracker:
    """Numbers the saves of one elector, and tracks which of them are stored.

    Attributes:
        count: Number of the latest save.
        stored: Term and version that the store is known to hold.
        latest_version: The version in the latest save, stored or not.
    """

    def __init__(self, term: int, version: StateVersion) -> None:
        self.count = 0
        self.stored = SavedVersion(term, version)
        self.latest_version = version
        self._unconfirmed: dict[int, SavedVersion] = {}

    def register(self, term: int, version: StateVersion) -> int:
        """Registers a new save and returns its number."""
        self.count += 1
        self.latest_version = version
        self._unconfirmed[self.count] = SavedVersion(term, version)
        return self.count

    def confirm(self, number: int) -> None:
        """Records that the store holds save `number`, and thus all earlier ones."""
        for confirmed in [save for save in self._unconfirmed if save <= number]:
            self.stored = self._unconfirmed.pop(confirmed)

    def confirm_all(self) -> None:
        """Records that all saves are stored."""
        self.confirm(self.count)

    def latest_unconfirmed(self) -> int:
        """Returns the number of the latest save if any save is not stored yet, else 0."""
        return self.count if self._unconfirmed else 0
