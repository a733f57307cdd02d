"""The leader's side of the election: its lease, heartbeats to the electors, and commits.

The leader's lease starts when it *sent* the heartbeats that a majority has answered. It is shorter than the
lease that the electors granted by the maximum drift between two clocks, so the leader knows that its lease
has ended before the first elector may vote again. An answer counts, for the lease and for commits, only if
its heartbeat was sent within the lease: an elector that has since lost its store must not be counted with
versions that it had stored before.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    MAX_SNAPSHOT_PARTS,
    SNAPSHOT_PART_BYTES,
    Heartbeat,
    HeartbeatAck,
    ReplicatedCommand,
    SnapshotPart,
    StateVersion,
)
from loadbalancer.freeze.replicated_log import ReplicatedLog
from loadbalancer.freeze.rules import ElectionRules

MAX_HEARTBEAT_COMMAND_BYTES = 1_000  # total size of the commands in one heartbeat
COMMAND_OVERHEAD_BYTES = 24  # allowance for a command's version and encoding
MAX_HEARTBEATS_IN_FLIGHT = 8  # unanswered heartbeats with commands, per elector
NEVER = -1  # time of an event that has not happened


@dataclass(slots=True)
class PeerProgress:
    """Progress of another elector in the leader's current term.

    Times are microseconds of the leader's clock, or `NEVER`.

    Attributes:
        stored_version: Version in the elector's store; None until its first answer.
        applied_version: Version in the elector's memory; None until its first answer.
        leased_at: When the latest heartbeat that was answered with a lease was sent.
        answered_at: When the latest answered heartbeat was sent, with or without a lease.
        commands_sent_at: When the commands that are still unanswered were sent; `NEVER` if there are none.
        heartbeat_sent_at: When the latest heartbeat was sent.
    """

    stored_version: StateVersion | None = None
    applied_version: StateVersion | None = None
    leased_at: int = NEVER
    answered_at: int = NEVER
    commands_sent_at: int = NEVER
    heartbeat_sent_at: int = NEVER


class Leadership:
    """One elector's terms as leader; `elector.Elector` decides when they start and end.

    Times are monotonic microseconds of this elector's clock.

    Attributes:
        elected_at: When the current term started.
        peers: Progress of the other electors, by name; empty while this elector does not lead.
        term_start_version: Version of the empty command that starts the term.
        committed_version: The newest version that a majority is known to have stored; `INITIAL_VERSION` from
            the start of a term until this holds for `term_start_version` or a later version.
    """

    def __init__(self, rules: ElectionRules, log: ReplicatedLog) -> None:
        self.rules, self.log = rules, log
        self.term = 0
        self.elected_at = 0
        self.peers: dict[str, PeerProgress] = {}
        self.term_start_version = INITIAL_VERSION
        self.committed_version = INITIAL_VERSION

    def start_term(self, now: int, term: int, others: tuple[str, ...]) -> None:
        """Starts a term as leader at time `now`, with an empty command.

        A state of an earlier term counts as committed only once a version of this term is (Raft 5.4.2).
        """
        self.term, self.elected_at = term, now
        self.peers = {name: PeerProgress() for name in others}
        self.committed_version = INITIAL_VERSION
        self.log.start_term()
        self.term_start_version = self.log.append(term, b"")

    def end_term(self) -> None:
        """Ends the term as leader."""
        self.peers = {}

    def lease_until(self) -> int:
        """Returns when the lease ends; a new leader has the duration of one lease to obtain its first."""
        leased = sorted((peer.leased_at for peer in self.peers.values()), reverse=True)
        # The leader and the first `majority - 1` of these others form a majority.
        renewed_at = max(leased[self.rules.majority - 2], self.elected_at)
        return renewed_at + self.rules.leader_lease_us

    def has_committed(self) -> bool:
        """Whether a majority has stored the version that started the term."""
        return self.committed_version >= self.term_start_version > INITIAL_VERSION

    def next_deadline(self) -> int:
        """Returns when the next heartbeat is due or the lease ends, whichever is first."""
        deadlines = [
            peer.commands_sent_at + self.rules.resend_interval_us
            if peer.commands_sent_at != NEVER
            else peer.heartbeat_sent_at + self.rules.heartbeat_interval_us
            for peer in self.peers.values()
        ]
        return min(self.lease_until(), *deadlines)

    # ---- heartbeats -----------------------------------------------------------------------------------

    def heartbeat(self, now: int) -> list[Send]:
        """Returns the heartbeats that are due now."""
        sends: list[Send] = []
        for name, peer in self.peers.items():
            if (
                peer.commands_sent_at != NEVER
                and now >= peer.commands_sent_at + self.rules.resend_interval_us
            ):
                peer.commands_sent_at = NEVER
            if (
                peer.heartbeat_sent_at == NEVER
                or now >= peer.heartbeat_sent_at + self.rules.heartbeat_interval_us
                or self._needs_commands(peer)
            ):
                sends += self._heartbeats_to(now, name, peer)
        return sends

    def replicate(self, now: int) -> list[Send]:
        """Returns commands for the electors that lag behind and have no unanswered ones."""
        return [
            send
            for name, peer in self.peers.items()
            if self._needs_commands(peer)
            for send in self._heartbeats_to(now, name, peer)
        ]

    def _needs_commands(self, peer: PeerProgress) -> bool:
        return peer.commands_sent_at == NEVER and self._lags(peer)

    def _lags(self, peer: PeerProgress) -> bool:
        return (
            peer.applied_version is not None
            and peer.applied_version != self.log.version
        )

    def _requests_lease(self, now: int) -> bool:
        """Whether a majority has answered within `answer_timeout_us`.

        A leader whose heartbeats arrive but whose answers are lost would otherwise keep the electors from
        electing another leader.
        """
        answered = sorted(
            (peer.answered_at for peer in self.peers.values()), reverse=True
        )
        last_answered_at = max(answered[self.rules.majority - 2], self.elected_at)
        return now < last_answered_at + self.rules.answer_timeout_us

    def _heartbeats_to(self, now: int, name: str, peer: PeerProgress) -> list[Send]:
        peer.heartbeat_sent_at = now
        if peer.applied_version is None or not self._lags(peer):
            heartbeat = Heartbeat(
                self.term, now, self.log.version, [], self._requests_lease(now)
            )
            return [Send(name, heartbeat)]
        peer.commands_sent_at = now
        entries = self.log.entries_from(peer.applied_version)
        if entries:
            commands = [entry.command for entry in entries]
            heartbeats = self._batch_commands(now, peer.applied_version, commands)
            return [Send(name, heartbeat) for heartbeat in heartbeats]
        return [Send(name, part) for part in self._snapshot_parts(now)]

    def _batch_commands(
        self,
        now: int,
        previous_version: StateVersion,
        commands: list[ReplicatedCommand],
    ) -> list[Heartbeat]:
        """Packs commands into consecutive heartbeats, at most as many as may be in flight."""
        lease_requested = self._requests_lease(now)
        heartbeats: list[Heartbeat] = []
        batch: list[ReplicatedCommand] = []
        batch_bytes = 0

        def close_batch() -> None:
            heartbeats.append(
                Heartbeat(self.term, now, previous_version, batch, lease_requested)
            )

        for command in commands:
            command_bytes = len(command.data) + COMMAND_OVERHEAD_BYTES
            if batch and batch_bytes + command_bytes > MAX_HEARTBEAT_COMMAND_BYTES:
                close_batch()
                if len(heartbeats) == MAX_HEARTBEATS_IN_FLIGHT:
                    return heartbeats
                previous_version, batch, batch_bytes = batch[-1].version, [], 0
            batch.append(command)
            batch_bytes += command_bytes
        close_batch()
        return heartbeats

    def _snapshot_parts(self, now: int) -> list[SnapshotPart]:
        version, data = self.log.snapshot()
        count = max(1, -(-len(data) // SNAPSHOT_PART_BYTES))
        if count > MAX_SNAPSHOT_PARTS:
            return []  # not reached: the limits of the state keep a snapshot far smaller
        lease_requested = self._requests_lease(now)
        return [
            SnapshotPart(
                self.term,
                now,
                version,
                index,
                count,
                data[index * SNAPSHOT_PART_BYTES : (index + 1) * SNAPSHOT_PART_BYTES],
                lease_requested,
            )
            for index in range(count)
        ]

    # ---- answers --------------------------------------------------------------------------------------

    def record_ack(
        self, now: int, sender: str, ack: HeartbeatAck, own_stored_version: StateVersion
    ) -> list[Send]:
        """Records an elector's answer in this term; returns the commands that can be sent next."""
        peer = self.peers[sender]
        if ack.lease_granted:
            peer.leased_at = max(peer.leased_at, ack.sent_at)
        if ack.sent_at >= peer.answered_at:
            peer.answered_at = ack.sent_at
            peer.applied_version = ack.applied_version
            peer.stored_version = ack.stored_version
            if ack.sent_at >= peer.commands_sent_at:
                peer.commands_sent_at = NEVER
        self.commit(now, own_stored_version)
        return self.replicate(now)

    def commit(self, now: int, own_stored_version: StateVersion) -> None:
        """Commits the newest version that a majority has stored.

        Only answers to heartbeats sent within the lease count.
        """
        lease_us = self.rules.leader_lease_us
        versions = [
            peer.stored_version
            for peer in self.peers.values()
            if peer.stored_version is not None and peer.leased_at + lease_us > now
        ]
        versions = sorted([own_stored_version, *versions], reverse=True)
        if len(versions) < self.rules.majority:
            return
        majority_version = versions[self.rules.majority - 1]
        if majority_version >= self.term_start_version:
            self.committed_version = max(self.committed_version, majority_version)
