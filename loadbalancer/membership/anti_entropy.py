"""Anti-entropy: exchanges of complete member tables, which repair what gossip has missed.

A member periodically asks another whether both have the same live members. If their digests are equal, the
exchange costs two small datagrams. Otherwise the reply is the complete table, and the requester sends its own
table in return if the two still differ.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from loadbalancer.membership.dissemination import Dissemination
from loadbalancer.membership.messages import (
    NO_DIGEST,
    MemberUpdate,
    Sync,
    encode_bounded,
)
from loadbalancer.membership.settings import (
    GOSSIP_DELAY_PER_MEMBER_US,
    MAX_UPDATES_PER_DATAGRAM,
    SYNC_BURST_DATAGRAMS,
    SYNC_DATAGRAM_COST_US,
    SYNC_PERIODS,
    SYNC_REPLY_WINDOW_US,
)
from loadbalancer.membership.state import Address, Context, Member, SendDatagram


@dataclass(frozen=True)
class PendingComparison:
    """A reply of which more datagrams may still arrive, and whose digest is to be compared later.

    Attributes:
        address: The member that replied.
        digest: Digest of that member's table.
        due_us: When the digests are compared.
    """

    address: Address
    digest: int
    due_us: int


class AntiEntropy:
    """Decides when this member exchanges tables, with which member, and what it sends.

    Args:
        context: State that all modules of this member share.
        dissemination: Builds the datagrams.

    Attributes:
        next_sync_us: When the next periodic request is due.
    """

    def __init__(self, context: Context, dissemination: Dissemination) -> None:
        self._context = context
        self._dissemination = dissemination
        self.next_sync_us = context.settings.sync_interval_us
        # Time from the next sync to the one after it; doubles while tables differ.
        self._interval_us = 0
        self._comparison: PendingComparison | None = None
        # Whether this member knew no others when it sent its last request.
        self._requested_without_members = True
        # Time until which the tables sent so far use up the budget; it may be ahead of now by the burst.
        self._budget_spent_until_us = 0

    def schedule_after_join(self) -> None:
        """Schedules an early sync, so that members that joined at the same time discover each other."""
        self.next_sync_us = self._context.now_us + self._short_interval_us()

    def schedule_after_arrival(self) -> None:
        """Schedules an early sync after a member joined or recovered: if many do, gossip misses some."""
        now_us = self._context.now_us
        self._interval_us = delay_us = self._gossip_delay_us()
        if self.next_sync_us > now_us + 2 * delay_us:
            jitter_us = self._context.random.randrange(delay_us)
            self.next_sync_us = now_us + delay_us + jitter_us

    def tick(self, seeds: Sequence[Address]) -> list[SendDatagram]:
        """Compares digests after a reply, and sends the periodic request, when these are due."""
        now_us = self._context.now_us
        actions: list[SendDatagram] = []
        comparison = self._comparison
        if comparison is not None and now_us >= comparison.due_us:
            self._comparison = None
            actions.extend(self._compare(comparison))
        if now_us >= self.next_sync_us:
            actions.extend(self._periodic_sync(seeds))
        return actions

    def request(self, address: Address) -> SendDatagram:
        """Requests the table of the member at an address, which may be unknown.

        The request lists only this member: an address at which no member answers must not cost a complete
        table each time.
        """
        table = self._context.table
        self._requested_without_members = not table.members
        message = Sync(is_reply=False, digest=table.digest)
        return self._send_members(address, [table.local], message)[0]

    def on_sync(self, message: Sync, source: Address) -> list[SendDatagram]:
        """Replies to a request, or stores the digest in the last datagram of a reply for comparison."""
        if not message.is_reply:
            return self._reply(source, message.digest)
        if message.digest != NO_DIGEST:
            due_us = self._context.now_us + SYNC_REPLY_WINDOW_US
            self._comparison = PendingComparison(source, message.digest, due_us)
        return []

    def send_table(self, address: Address, message: Sync) -> list[SendDatagram]:
        """Sends the complete member table in as many datagrams as it needs."""
        table = self._context.table
        members = [table.local, *table.sorted_members()]
        return self._send_members(address, members, message)

    def _periodic_sync(self, seeds: Sequence[Address]) -> list[SendDatagram]:
        """Requests the table of one live member, or of all seeds if no member is alive."""
        now_us = self._context.now_us
        alive = self._context.table.sample_alive(1)
        if not alive:
            self.next_sync_us = now_us + self._short_interval_us()
            return [self.request(seed) for seed in seeds]
        backoff_us = max(2 * self._interval_us, self._gossip_delay_us())
        self._interval_us = min(self._full_interval_us(), backoff_us)
        self.next_sync_us = now_us + self._interval_us
        return [self.request(alive[0].address)]

    def _reply(self, address: Address, digest: int) -> list[SendDatagram]:
        """Replies with the complete table, or with the digest alone if both digests are equal.

        If many members ask at once, those beyond the budget receive as many members as fit in one datagram,
        and request the table from one of these.
        """
        table = self._context.table
        if digest == table.digest:
            reply = Sync(is_reply=True, digest=digest)
            return self._send_members(address, [table.local], reply)
        if not self._has_budget():
            sample = table.sample_alive(MAX_UPDATES_PER_DATAGRAM)
            updates = self._updates([table.local, *sample])
            envelope = self._dissemination.envelope(Sync(is_reply=True))
            data, _ = encode_bounded(envelope, updates)
            return [self._dissemination.send(address, data)]
        reply = Sync(is_reply=True, digest=table.digest)
        return self._charge_budget(self.send_table(address, reply))

    def _compare(self, comparison: PendingComparison) -> list[SendDatagram]:
        """Sends this member's table to the member that replied if the tables still differ after the reply.

        The table carries no digest, which ends the exchange.
        """
        if comparison.digest == self._context.table.digest:
            self._interval_us = self._full_interval_us()
            self.next_sync_us = self._context.now_us + self._interval_us
            return []
        # A member that knew no others when it sent the request has nothing to add.
        if self._requested_without_members or not self._has_budget():
            return []
        return self._charge_budget(
            self.send_table(comparison.address, Sync(is_reply=True))
        )

    def _send_members(
        self, address: Address, members: list[Member], message: Sync
    ) -> list[SendDatagram]:
        """Sends members in as many datagrams as they need; only the last one carries the digest."""
        updates = self._updates(members)
        actions: list[SendDatagram] = []
        while True:
            batch = updates[:MAX_UPDATES_PER_DATAGRAM]
            data, count = encode_bounded(self._dissemination.envelope(message), batch)
            # If this is not the last datagram, encode it again without the digest.
            if message.digest != NO_DIGEST and count < len(updates):
                without_digest = Sync(message.is_reply)
                data, count = encode_bounded(
                    self._dissemination.envelope(without_digest), batch[:count]
                )
            actions.append(self._dissemination.send(address, data))
            updates = updates[max(1, count) :]
            # Only the first datagram is a request, so that it gets one reply and not one per datagram.
            message = Sync(is_reply=True, digest=message.digest)
            if not updates:
                return actions

    def _updates(self, members: list[Member]) -> list[MemberUpdate]:
        source = self._context.local.name
        return [member.update(source) for member in members]

    def _has_budget(self) -> bool:
        burst_us = SYNC_BURST_DATAGRAMS * SYNC_DATAGRAM_COST_US
        return self._budget_spent_until_us <= self._context.now_us + burst_us

    def _charge_budget(self, actions: list[SendDatagram]) -> list[SendDatagram]:
        start_us = max(self._context.now_us, self._budget_spent_until_us)
        self._budget_spent_until_us = start_us + len(actions) * SYNC_DATAGRAM_COST_US
        return actions

    def _short_interval_us(self) -> int:
        return SYNC_PERIODS * self._context.settings.probe_interval_us

    def _gossip_delay_us(self) -> int:
        """Time in which gossip should have delivered an update; grows with the number of live members."""
        delay_us = self._context.table.live_count * GOSSIP_DELAY_PER_MEMBER_US
        return self._short_interval_us() + delay_us

    def _full_interval_us(self) -> int:
        """Time between two syncs while tables agree, in microseconds."""
        settings = self._context.settings
        scale = self._context.table.live_count // settings.sync_members
        return settings.sync_interval_us * max(1, scale)
