"""Acknowledgements of heartbeats by a follower.

A heartbeat is acknowledged once its term is stored, which grants the lease, and again once all of its
commands are stored, which lets the leader commit.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.messages import Heartbeat, HeartbeatAck, SnapshotPart
from loadbalancer.freeze.replicated_log import ReplicatedLog
from loadbalancer.freeze.saves import SaveTracker


@dataclass(frozen=True, slots=True)
class PendingAck:
    """The latest heartbeat, whose content is not completely stored yet."""

    leader: str
    sent_at: int
    lease_granted: bool


class HeartbeatAcks:
    """Decides when one follower acknowledges heartbeats.

    Attributes:
        pending: The latest heartbeat that is not completely acknowledged; None if there is none.
    """

    def __init__(self, log: ReplicatedLog, saves: SaveTracker) -> None:
        self.log, self.saves = log, saves
        self.pending: PendingAck | None = None

    def acknowledge(
        self, term: int, leader: str, heartbeat: Heartbeat | SnapshotPart
    ) -> list[Send]:
        """Acknowledges a heartbeat of this term now if its term is stored, else by a later `due_acks`."""
        self.pending = PendingAck(leader, heartbeat.sent_at, heartbeat.lease_requested)
        return self.due_acks(term, leader)

    def due_acks(self, term: int, leader: str) -> list[Send]:
        """Returns the pending acknowledgement to the leader of this term, if it can be sent by now."""
        pending = self.pending
        if pending is None or pending.leader != leader:
            return []
        if self.saves.stored.term != term:
            return []
        if self.saves.stored.version == self.log.version:
            self.pending = None
        ack = self._ack(term, pending.sent_at, pending.lease_granted)
        return [Send(leader, ack)]

    def rejection(self, term: int, sent_at: int) -> HeartbeatAck:
        """Returns the answer to a heartbeat of an earlier term."""
        return self._ack(term, sent_at, False)

    def _ack(self, term: int, sent_at: int, lease_granted: bool) -> HeartbeatAck:
        return HeartbeatAck(
            term, sent_at, self.saves.stored.version, self.log.version, lease_granted
        )
