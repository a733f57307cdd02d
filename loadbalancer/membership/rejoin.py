"""Rejoin after a partition: dead members are probed, and lost addresses are asked for a sync.

A lost address is that of a seed that is not live, or of a dead member that has been removed.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.membership.anti_entropy import AntiEntropy
from loadbalancer.membership.dissemination import Dissemination
from loadbalancer.membership.messages import MembershipEnvelope, MemberState, Sync
from loadbalancer.membership.settings import (
    DEAD_PROBE_PERIODS,
    DEAD_PROBES_PER_ROUND,
    FORGET_INTERVAL_US,
    FORGOTTEN_ADDRESS_RETENTION_US,
    MAX_FORGOTTEN_ADDRESSES,
    MIN_DEAD_PROBES_PER_MEMBER,
    REJOIN_INTERVAL_US,
    REJOIN_SYNCS_PER_ROUND,
    SYNC_PERIODS,
)
from loadbalancer.membership.state import Address, Context, Member, SendDatagram


class PartitionRecovery:
    """Searches for members on the other side of a partition, and removes those that stay dead.

    Args:
        context: State that all modules of this member share.
        dissemination: Builds the probes.
        anti_entropy: Builds the sync requests.

    Attributes:
        seeds: Addresses of the seeds without this member's own.
        forgotten: Addresses of some of the removed members, with the time in microseconds until which they
            are tried.
        next_dead_probe_us: When dead members and lost addresses are tried next.
        next_forget_us: When members that have stayed dead are removed next.
    """

    def __init__(
        self, context: Context, dissemination: Dissemination, anti_entropy: AntiEntropy
    ) -> None:
        self._context = context
        self._dissemination = dissemination
        self._anti_entropy = anti_entropy
        self.seeds: list[Address] = []
        # Name of the last sender by seed address.
        self._seed_names: dict[Address, str] = {}
        self.forgotten: dict[Address, int] = {}
        self.next_dead_probe_us = 0
        self.next_forget_us = 0
        self._next_rejoin_sync_us = 0

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Sets the seeds; this member's own address is excluded."""
        local = tuple(self._context.local.address)
        self.seeds = [
            (seed[0], seed[1]) for seed in dict.fromkeys(seeds) if tuple(seed) != local
        ]

    def tick(self) -> list[SendDatagram]:
        """Probes dead members, tries lost addresses and removes expired members, each when it is due."""
        now_us = self._context.now_us
        actions: list[SendDatagram] = []
        if now_us >= self.next_dead_probe_us:
            actions.extend(self._probe_dead_member())
            actions.extend(self._request_from_lost_address())
        if now_us >= self.next_forget_us:
            self.next_forget_us = now_us + FORGET_INTERVAL_US
            self._forget_dead_members()
        return actions

    def on_sender(self, sender: str, source: Address) -> None:
        """Records which member sends from a seed's address."""
        if source in self.seeds:
            self._seed_names[source] = sender

    def on_datagram(
        self, envelope: MembershipEnvelope, source: Address
    ) -> list[SendDatagram]:
        """Requests a sync from a member that is marked dead but sends datagrams, as after a partition.

        Each side then notifies those of its own members that the other side has marked dead, and these
        refute: one exchange rejoins both sides. The rate of the requests is limited.
        """
        context = self._context
        # The sender is unknown if the table has already reached max_members.
        member = context.table.members.get(envelope.sender)
        if (
            member is None
            or member.state != MemberState.DEAD
            or context.now_us < self._next_rejoin_sync_us
        ):
            return []
        # A sync leads to an exchange of tables anyway. For other datagrams, all members of a side share one
        # budget of requests.
        is_sync = isinstance(envelope.message, Sync)
        if is_sync or not self._draw_turn(
            REJOIN_SYNCS_PER_ROUND, context.table.live_count
        ):
            return []
        pause_us = SYNC_PERIODS * context.settings.probe_interval_us
        self._next_rejoin_sync_us = context.now_us + pause_us
        return [self._anti_entropy.request(source)]

    def may_be_across_partition(self, source: str) -> bool:
        """Whether a death that `source` declared may have been observed from the other side of a partition.

        This is the case if `source` is unknown, suspected or dead here, or was suspected or dead less than
        one gossip round ago.
        """
        context = self._context
        if source == context.local.name:
            return False
        member = context.table.members.get(source)
        if member is None or member.state != MemberState.ALIVE:
            return True
        if not member.recovered_us:
            return False
        return context.now_us - member.recovered_us < context.gossip_round_us

    def _draw_turn(self, budget: float, member_count: int) -> bool:
        """Draws whether this member acts, where `member_count` members share the budget of one round."""
        return self._context.random.random() * member_count < budget

    def _probe_dead_member(self) -> list[SendDatagram]:
        """Pings one dead member: if it is live after all, it refutes, and both sides exchange tables."""
        context, table = self._context, self._context.table
        period_us = context.settings.probe_interval_us
        self.next_dead_probe_us = context.now_us + DEAD_PROBE_PERIODS * period_us
        if len(table.members) == table.live_count:
            return []
        dead = [m for m in table.members.values() if m.state == MemberState.DEAD]
        # A machine that rejoins would be flooded if all members pinged its processes each time.
        share = DEAD_PROBES_PER_ROUND * len(dead) / (table.live_count + 1)
        probability = max(share, MIN_DEAD_PROBES_PER_MEMBER)
        if not dead or context.random.random() >= probability:
            return []
        target = context.random.choice(dead)
        return [self._dissemination.ping(target, context.next_sequence())]

    def _request_from_lost_address(self) -> list[SendDatagram]:
        """Requests a sync from a seed that is not live, or from the address of a removed member.

        This rejoins the sides of a partition that has lasted longer than dead members are remembered. All
        members of a side together send one request per `REJOIN_INTERVAL_US`.
        """
        if not (self.seeds or self.forgotten):
            return []
        context = self._context
        round_us = DEAD_PROBE_PERIODS * context.settings.probe_interval_us
        members = context.table.live_count + 1
        if context.random.random() * members * REJOIN_INTERVAL_US >= round_us:
            return []
        lost_seeds = self._lost_seeds()
        kinds = [kind for kind in (lost_seeds, list(self.forgotten)) if kind]
        if not kinds:
            return []
        address = context.random.choice(context.random.choice(kinds))
        return [self._anti_entropy.request(address)]

    def _lost_seeds(self) -> list[Address]:
        """Returns the seeds at whose address no member is live.

        It also drops the addresses in `forgotten` that have expired or are live again.
        """
        context, table = self._context, self._context.table
        self.forgotten = {
            address: until_us
            for address, until_us in self.forgotten.items()
            if until_us > context.now_us
        }
        live = {m.address for m in table.members.values() if m.is_live}
        live.add(context.local.address)
        for address in live & self.forgotten.keys():
            del self.forgotten[address]
        return [
            seed
            for seed in self.seeds
            if seed not in live and not table.is_live(self._seed_names.get(seed, ""))
        ]

    def _forget_dead_members(self) -> None:
        """Removes members whose retention time is over, and keeps some addresses of the dead ones."""
        context = self._context
        oldest_us = context.now_us - context.settings.dead_retention_us
        expired = [
            member
            for member in context.table.members.values()
            if not member.is_live and member.state_since_us < oldest_us
        ]
        if not expired:
            return
        self._keep_addresses(expired)
        names = [member.name for member in expired]
        context.table.remove(names)
        for name in names:
            self._dissemination.discard(name)

    def _keep_addresses(self, expired: list[Member]) -> None:
        dead = [m.address for m in expired if m.state == MemberState.DEAD]
        if not dead:
            return
        until_us = self._context.now_us + FORGOTTEN_ADDRESS_RETENTION_US
        self.forgotten |= dict.fromkeys(dead, until_us)
        # A random sample regardless of the time of death, so that members keep different addresses.
        count = min(MAX_FORGOTTEN_ADDRESSES, len(self.forgotten))
        sample = self._context.random.sample(sorted(self.forgotten), count)
        self.forgotten = {address: self.forgotten[address] for address in sample}
