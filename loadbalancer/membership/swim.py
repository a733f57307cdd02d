"""SWIM membership with Lifeguard, as a pure state machine: datagrams and times in, datagrams out.

The protocol is SWIM (Das, Gupta, Motivala, 2002). In each period a member pings the next member of a shuffled
round. Without an answer within the probe timeout it requests indirect probes from other members. Without any
answer by the end of the period the target is suspected, and a suspicion that is not refuted in time becomes a
death. A member refutes with a higher incarnation. Updates are piggybacked on the datagrams, each a bounded
number of times. Lifeguard (Dadgar, Phillips, Currey, 2018) adds:

* local health: a member that misses answers, or has to refute, lengthens its own periods and timeouts, so
  that a slow member does not accuse others;
* suspicion timeouts that start long and shrink as independent members confirm the suspicion;
* the buddy system: a ping to a suspected member carries the suspicion, and the member refutes at once.

Two rules are not part of these protocols; they make it unlikely that a pause or loss becomes a death. First,
a relay that got no answer sends a nack, which counts as a confirmation, since the relay has probed the target
itself. Second, no member declares a death on reports alone: a member whose own probe failed pings the suspect
again in each period, while one that knows the suspicion only by gossip waits for one gossip round, or less if
others confirm the suspicion, and then probes the suspect itself.

If datagrams are lost in one direction only, both members stay alive, since indirect probes pass. The member
that reaches another only through other members reports it with `reach == "indirect"`. A member that cannot be
reached in any way, but whose datagrams arrive, is alive with `reach == "inbound"`: then it is this member's
datagrams that are lost.

The module contains no I/O, clock or unseeded randomness. The host passes monotonic times in microseconds (a
clock that goes backwards counts as standing still) and datagrams with their source, and calls `tick` at
`next_deadline()`. Every call returns the datagrams to send; `take_changes` returns the changes of members.
"""

from __future__ import annotations

from collections.abc import MutableMapping, Sequence

from msgspec.structs import replace

from loadbalancer.membership.anti_entropy import AntiEntropy
from loadbalancer.membership.dissemination import Dissemination
from loadbalancer.membership.failure_detector import FailureDetector
from loadbalancer.membership.messages import (
    Ack,
    MembershipDatagramError,
    MembershipEnvelope,
    MembershipForeignError,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    Sync,
    decode,
)
from loadbalancer.membership.probe_round import ProbeRound
from loadbalancer.membership.rejoin import PartitionRecovery
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.membership.state import (
    Address,
    Context,
    Counters,
    Member,
    MemberChange,
    MemberTable,
    SendDatagram,
)
from loadbalancer.membership.suspicion import SuspicionTable
from loadbalancer.membership.transitions import Transitions


class Swim:
    """The state machine of one member; the docstring of the module describes it. Times are microseconds.

    Args:
        local: The local member, with its name, address, zone and region.
        settings: The cluster's settings.
        seed: Seed of the random number generator.

    Attributes:
        has_left: Whether the member has left the cluster; it then does nothing more.
    """

    def __init__(self, local: Member, settings: SwimSettings, seed: int) -> None:
        self.context = Context(local, settings, seed)
        self.dissemination = Dissemination(self.context)
        self.anti_entropy = AntiEntropy(self.context, self.dissemination)
        self.suspicions = SuspicionTable(self.context)
        probe_round = ProbeRound(self.context)
        self.transitions = Transitions(
            self.context,
            self.dissemination,
            probe_round,
            self.suspicions,
            self.anti_entropy,
        )
        self.detector = FailureDetector(
            self.context,
            self.dissemination,
            probe_round,
            self.suspicions,
            self.transitions,
        )
        self.recovery = PartitionRecovery(
            self.context, self.dissemination, self.anti_entropy
        )
        self.has_left = False
        # The deadline last returned to the host; 0 for none.
        self._announced_deadline_us = 0

    @property
    def settings(self) -> SwimSettings:
        """The cluster's settings."""
        return self.context.settings

    @property
    def local(self) -> Member:
        """The local member."""
        return self.context.local

    @property
    def table(self) -> MemberTable:
        """The table of the other members."""
        return self.context.table

    @property
    def members(self) -> MutableMapping[str, Member]:
        """The known members except the local one, by name."""
        return self.context.table.members

    @property
    def counters(self) -> Counters:
        """Totals of datagrams sent, received and dropped."""
        return self.context.counters

    @property
    def digest(self) -> int:
        """Digest of all live members, including the local one."""
        return self.context.table.digest

    # Events.

    def join(self, now_us: int, seeds: Sequence[Address]) -> list[SendDatagram]:
        """Starts the protocol and requests the member table from each seed.

        Args:
            now_us: The current time.
            seeds: Addresses of known members; this member's own address is ignored.

        Returns:
            The datagrams to send.
        """
        self._advance(now_us)
        self.recovery.set_seeds(seeds)
        self.detector.start()
        self.anti_entropy.schedule_after_join()
        return [self.anti_entropy.request(seed) for seed in self.recovery.seeds]

    def leave(self, now_us: int) -> list[SendDatagram]:
        """Announces with pings to a few members that this member leaves; it does nothing more afterwards."""
        self._advance(now_us)
        local = self.context.local
        local.incarnation += 1
        local.state = MemberState.LEFT
        self.dissemination.enqueue(local.update(local.name))
        count = 2 * self.settings.indirect_probes + 1
        actions = []
        for member in self.table.sample_alive(count):
            ping = Ping(self.context.next_sequence(), member.name)
            actions.append(self.dissemination.datagram(member.address, ping))
        self.has_left = True
        return actions

    def tick(self, now_us: int) -> list[SendDatagram]:
        """Runs what is due: probes, suspicions, syncs and the search for lost members."""
        self._advance(now_us)
        if self.has_left:
            return []
        actions = self.detector.tick()
        actions.extend(self.anti_entropy.tick(self.recovery.seeds))
        actions.extend(self.recovery.tick())
        return actions

    def receive(self, now_us: int, data: bytes, source: Address) -> list[SendDatagram]:
        """Handles one datagram; malformed, foreign and stale ones are counted and dropped."""
        self._advance(now_us)
        if self.has_left:
            return []
        envelope = self._decode(data)
        if envelope is None:
            return []
        self.counters.received += 1
        self.recovery.on_sender(envelope.sender, source)
        if envelope.sender == self.local.name:
            # An echo of its own datagram, or another process with this member's name.
            self.counters.stale += 1
            return []
        self.transitions.on_datagram(envelope, source)
        self._apply_updates(envelope)
        actions = self._dispatch(envelope, source)
        actions.extend(self.recovery.on_datagram(envelope, source))
        return actions

    # Queries.

    def next_deadline(self) -> int:
        """Returns when `tick` is to be called next, in microseconds; never a time in the past."""
        deadline_us = min(
            self.anti_entropy.next_sync_us,
            self.recovery.next_dead_probe_us,
            *self.detector.deadlines(),
        )
        # A confirmation may set the deadline of a suspicion in the past: this is not a stall of the host.
        self._announced_deadline_us = max(self.context.now_us, deadline_us)
        return self._announced_deadline_us

    def take_changes(self) -> list[MemberChange]:
        """Returns the changes of members since the last call, oldest first."""
        changes, self.context.changes = self.context.changes, []
        return changes

    def sorted_members(self) -> list[Member]:
        """Returns all known members except the local one, sorted by name."""
        return self.table.sorted_members()

    def live_members(self) -> list[Member]:
        """Returns the local member first, then all that are alive or merely suspected, sorted by name."""
        return [
            self.local,
            *(member for member in self.sorted_members() if member.is_live),
        ]

    def _advance(self, now_us: int) -> None:
        """Advances the time; a host that wakes far too late has stalled and may have unread datagrams."""
        context = self.context
        context.now_us = max(context.now_us, now_us)
        late_us = context.now_us - self._announced_deadline_us
        if self._announced_deadline_us and late_us > context.settings.probe_interval_us:
            self.detector.on_stall()
        self._announced_deadline_us = 0

    def _decode(self, data: bytes) -> MembershipEnvelope | None:
        try:
            return decode(data, self.settings.cluster)
        except MembershipForeignError:
            self.counters.foreign += 1
        except MembershipDatagramError:
            self.counters.malformed += 1
        return None

    def _apply_updates(self, envelope: MembershipEnvelope) -> None:
        """Applies the updates of a datagram in their order.

        A death in a sync, or one that may have been observed from the other side of a partition, counts as a
        suspicion here, so that the member is probed first. Such a death of an unknown member is ignored.
        """
        is_sync = isinstance(envelope.message, Sync)
        for update in envelope.updates:
            if update.state != MemberState.DEAD or not (
                is_sync or self.recovery.may_be_across_partition(update.source)
            ):
                self.transitions.on_update(update)
            elif update.name in self.members or update.name == self.local.name:
                suspected = replace(update, state=MemberState.SUSPECT)
                self.transitions.on_update(suspected)

    def _dispatch(
        self, envelope: MembershipEnvelope, source: Address
    ) -> list[SendDatagram]:
        match envelope.message:
            case Ping() as message:
                return self.detector.on_ping(message, envelope.sender, source)
            case PingRequest() as message:
                return self.detector.on_ping_request(message, source)
            case Ack() as message:
                return self.detector.on_ack(message)
            case Nack() as message:
                self.detector.on_nack(message, envelope.sender)
                return []
            case Sync() as message:
                return self.anti_entropy.on_sync(message, source)
