"""Dissemination: member updates are piggybacked on the protocol's datagrams a bounded number of times."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from loadbalancer.membership.messages import (
    MAX_DATAGRAM_BYTES,
    NO_INCARNATION,
    PROTOCOL_VERSION,
    Ack,
    MembershipEnvelope,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    PingRequest,
    encode_bounded,
)
from loadbalancer.membership.settings import MAX_UPDATES_PER_DATAGRAM
from loadbalancer.membership.state import Address, Context, Member, SendDatagram


@dataclass
class QueuedUpdate:
    """One update, and on how many more datagrams it is to be sent."""

    update: MemberUpdate
    transmissions_left: int


class Dissemination:
    """Queues member updates and builds the datagrams that carry them.

    Args:
        context: State that all modules of this member share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._queue: dict[str, QueuedUpdate] = {}  # by the member's name

    def enqueue(self, update: MemberUpdate) -> None:
        """Queues an update for dissemination, replacing an earlier one about the same member."""
        size = len(self._context.table.members) + 2
        transmissions = self._context.settings.retransmit_ratio * math.ceil(
            math.log10(size)
        )
        self._queue[update.name] = QueuedUpdate(update, transmissions)

    def discard(self, name: str) -> None:
        """Removes the queued update about a member, if there is one."""
        self._queue.pop(name, None)

    def clear(self) -> None:
        """Removes all queued updates."""
        self._queue.clear()

    def datagram(
        self,
        address: Address,
        message: Ping | PingRequest | Ack | Nack,
        subject: Member | None = None,
    ) -> SendDatagram:
        """Builds a datagram with a message and the updates that fit, most transmissions left first.

        Args:
            address: The receiver.
            message: The message to send.
            subject: A member whose state the receiver must get in any case; its update precedes the others.
        """
        # Select only as many as could fit: when hundreds join, encoding all of them each time costs too much.
        queued = heapq.nlargest(
            MAX_UPDATES_PER_DATAGRAM,
            self._queue.values(),
            key=lambda entry: entry.transmissions_left,
        )
        first = [] if subject is None else [subject.update(self._context.local.name)]
        updates = [*first, *(entry.update for entry in queued)]
        data, count = encode_bounded(self.envelope(message), updates)
        for entry in queued[: max(0, count - len(first))]:
            entry.transmissions_left -= 1
            if entry.transmissions_left <= 0:
                del self._queue[entry.update.name]
        return self.send(address, data)

    def ping(self, target: Member, sequence: int) -> SendDatagram:
        """Builds a direct probe, which notifies a target that is not believed alive (the buddy system)."""
        is_alive = target.state == MemberState.ALIVE
        suspected = NO_INCARNATION if is_alive else target.incarnation
        return self.datagram(target.address, Ping(sequence, target.name, suspected))

    def envelope(self, message: Message) -> MembershipEnvelope:
        """Wraps a message of this member in an envelope without updates."""
        local = self._context.local
        return MembershipEnvelope(
            PROTOCOL_VERSION,
            self._context.settings.cluster,
            local.name,
            local.incarnation,
            message,
            [],
        )

    def send(self, address: Address, data: bytes) -> SendDatagram:
        """Returns the action that sends a datagram, and counts it as sent."""
        assert len(data) <= MAX_DATAGRAM_BYTES
        self._context.counters.sent += 1
        self._context.counters.sent_bytes += len(data)
        return SendDatagram(address, data)
