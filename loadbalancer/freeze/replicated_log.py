"""The replicated state of one elector with its version, recent commands, and snapshot transfers.

Each version (term, index) is created only once, by one leader, so equal versions mean equal states. To update
another elector, a leader sends the commands between that elector's version and its own, or the complete state
in parts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    ReplicatedCommand,
    SnapshotPart,
    StateVersion,
)

MAX_LOG_COMMANDS = 512  # an elector that lags further behind receives a snapshot


class ReplicatedState(Protocol):
    """A deterministic state: the same commands in the same order give the same state everywhere."""

    def apply(self, version: StateVersion, data: bytes) -> None:
        """Applies a command that produces `version`; must not raise."""

    def snapshot(self) -> bytes:
        """Returns the encoded complete state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""


class LogEntry(NamedTuple):
    """A command, and the version to which it applies."""

    previous_version: StateVersion
    command: ReplicatedCommand


class Snapshot(NamedTuple):
    """The encoded complete state at a version."""

    version: StateVersion
    data: bytes


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being received in parts, from the leader of `term`."""

    term: int
    version: StateVersion
    parts: dict[int, bytes] = field(default_factory=dict)


class ReplicatedLog:
    """The replicated state with its version and recent commands.

    Attributes:
        state: The replicated state, at `version`.
        entries: At the leader, the recent commands, oldest first.
        transfer: At a follower, the snapshot that is being received; None if there is none.
    """

    def __init__(self, state: ReplicatedState, version: StateVersion) -> None:
        self.state = state
        self.version = version
        self.entries: deque[LogEntry] = deque(maxlen=MAX_LOG_COMMANDS)
        self.transfer: SnapshotTransfer | None = None
        self._snapshot = Snapshot(INITIAL_VERSION, b"")

    # ---- at the leader --------------------------------------------------------------------------------

    def start_term(self) -> None:
        """Discards the commands and the snapshot of an earlier term as leader."""
        self.entries.clear()
        self._snapshot = Snapshot(INITIAL_VERSION, b"")

    def append(self, term: int, data: bytes) -> StateVersion:
        """Applies and logs a command at the leader; empty data changes only the version."""
        previous = self.version
        self.version = StateVersion(term, previous.log_index + 1)
        if data:
            self.state.apply(self.version, data)
        self.entries.append(LogEntry(previous, ReplicatedCommand(self.version, data)))
        return self.version

    def entries_from(self, version: StateVersion) -> list[LogEntry]:
        """Returns the commands after `version`; none if the log does not reach back to it."""
        entries = list(self.entries)
        for index, entry in enumerate(entries):
            if entry.previous_version == version:
                return entries[index:]
        return []

    def snapshot(self) -> Snapshot:
        """Returns a snapshot from which the logged commands lead to the current version.

        A snapshot is reused while the log reaches back to it. Otherwise, while commands keep arriving, an
        elector that misses one part would never receive all parts of one version.
        """
        version = self._snapshot.version
        if version != self.version and not self.entries_from(version):
            self._snapshot = Snapshot(self.version, self.state.snapshot())
        return self._snapshot

    # ---- at a follower --------------------------------------------------------------------------------

    def apply_commands(
        self, previous_version: StateVersion, commands: Sequence[ReplicatedCommand]
    ) -> bool:
        """Applies the commands that continue from the current version; returns whether there were any."""
        previous, changed = previous_version, False
        for command in commands:
            if previous == self.version and command.version > self.version:
                if command.data:
                    self.state.apply(command.version, command.data)
                self.version, changed = command.version, True
            previous = command.version
        return changed

    def apply_snapshot_part(self, part: SnapshotPart) -> bool:
        """Stores one part of a snapshot; the last one replaces the state.

        Returns:
            Whether the state was replaced.
        """
        if part.version <= self.version:
            return False
        transfer = self.transfer
        if transfer is None or (transfer.term, transfer.version) != (
            part.term,
            part.version,
        ):
            transfer = self.transfer = SnapshotTransfer(part.term, part.version)
        transfer.parts[part.index] = part.data
        if len(transfer.parts) < part.count:
            return False
        self.state.restore(
            b"".join(transfer.parts[index] for index in sorted(transfer.parts))
        )
        self.version, self.transfer = part.version, None
        return True
