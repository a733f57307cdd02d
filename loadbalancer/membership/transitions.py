"""Transitions of members' states: which report about a member overrides what is known about it.

The order is that of SWIM. A higher incarnation wins. At the same incarnation left and dead win over suspect,
and suspect wins over alive. Only the member itself raises its incarnation: to refute a report that it is
suspected, dead or at another address, and to leave.
"""

from __future__ import annotations

from msgspec.structs import replace

from loadbalancer.membership.anti_entropy import AntiEntropy
from loadbalancer.membership.dissemination import Dissemination
from loadbalancer.membership.messages import (
    MembershipEnvelope,
    MemberState,
    MemberUpdate,
)
from loadbalancer.membership.probe_round import ProbeRound
from loadbalancer.membership.state import Address, Context, Member
from loadbalancer.membership.suspicion import SuspicionTable


class Transitions:
    """Changes the states of members and updates the other modules accordingly.

    Args:
        context: State that all modules of this member share.
        dissemination: Disseminates the changes.
        probe_round: Probes members that have joined or recovered.
        suspicions: The suspicions to start, confirm and end.
        anti_entropy: Schedules a sync after members have joined or recovered.
    """

    def __init__(
        self,
        context: Context,
        dissemination: Dissemination,
        probe_round: ProbeRound,
        suspicions: SuspicionTable,
        anti_entropy: AntiEntropy,
    ) -> None:
        self._context = context
        self._dissemination = dissemination
        self._probe_round = probe_round
        self._suspicions = suspicions
        self._anti_entropy = anti_entropy

    # Events.

    def on_datagram(self, envelope: MembershipEnvelope, source: Address) -> None:
        """Handles the sender of a datagram: an unknown one is added as alive at its source address."""
        now_us, members = self._context.now_us, self._context.table.members
        known = members.get(envelope.sender)
        if known is None:
            if len(members) < self._context.settings.max_members:
                self._add(_update_from_sender(envelope, source))
            return
        known.last_received_us = now_us
        is_newer = envelope.incarnation > known.incarnation
        if is_newer and known.state != MemberState.LEFT:
            # Each datagram carries its sender's incarnation: a refutation that gossip lost still arrives.
            refutation = replace(
                known.update(envelope.sender),
                incarnation=envelope.incarnation,
                state=MemberState.ALIVE,
            )
            self.on_update(refutation)

    def on_update(self, update: MemberUpdate) -> None:
        """Handles a member update that arrived by gossip or in a sync."""
        if update.name == self._context.local.name:
            self._on_update_about_local(update)
            return
        member = self._context.table.members.get(update.name)
        if member is None:
            self._on_update_about_unknown(update)
            return
        if update.zone and not member.zone and update.incarnation == member.incarnation:
            self._complete_zone(member, update)
        if update.state == MemberState.ALIVE:
            self._on_alive(member, update)
        elif update.state == MemberState.SUSPECT:
            self._on_suspect(member, update)
        else:
            self._on_dead_or_left(member, update)

    def on_failed_probe(
        self, member: Member, probe_start_us: int, nacks: set[str]
    ) -> None:
        """Handles a failed probe of this member; relays that sent a nack confirm the suspicion.

        Args:
            member: The target of the probe.
            probe_start_us: When the probe started.
            nacks: Names of the relays that sent a nack.
        """
        reason = "no answer to a ping, direct or indirect"
        source = self._context.local.name
        suspicion = self._suspicions.by_name.get(member.name)
        if member.state != MemberState.SUSPECT or suspicion is None:
            self.set_state(
                member, MemberState.SUSPECT, member.incarnation, source, reason
            )
            suspicion = self._suspicions.start(member.name)
        old_count = len(suspicion.confirmers)
        suspicion.confirmers.add(source)
        # Each relay that sent a nack has probed the target itself, without an answer.
        suspicion.confirmers |= nacks
        if not suspicion.is_own:
            settings, now_us = self._context.settings, self._context.now_us
            suspicion.is_own = True
            start_us = max(probe_start_us, now_us - settings.probe_interval_us)
            suspicion.start_us = min(suspicion.start_us, start_us)
            suspicion.next_ping_us = now_us
            # Confirmations of other members may put the deadline in the past. One more ping is sent first,
            # because this probe may have started while the network was partitioned.
            suspicion.not_before_us = max(
                suspicion.not_before_us, now_us + settings.probe_timeout_us
            )
        self._suspicions.set_deadline(suspicion)
        if len(suspicion.confirmers) > old_count:
            self._dissemination.enqueue(member.update(source))

    def on_suspicion_timeout(self, member: Member) -> None:
        """Handles a suspicion that was not refuted in time."""
        suspicion = self._suspicions.by_name[member.name]
        if member.last_received_us > suspicion.start_us:
            # It is live but cannot receive the suspicion: it is not dead, but this member cannot reach it.
            self._suspicions.restart(suspicion)
            self.set_reach(
                member, "inbound", "its datagrams arrive, but it does not answer"
            )
            return
        source = self._context.local.name
        self.set_state(
            member,
            MemberState.DEAD,
            member.incarnation,
            source,
            "suspicion not refuted in time",
        )
        self._dissemination.enqueue(member.update(source))

    def refute(self, incarnation: int, source: str, reason: str) -> None:
        """Raises this member's incarnation above the one at which it was reported suspected or dead.

        Args:
            incarnation: The reported incarnation.
            source: Name of the member that reported it.
            reason: The report, as a text for operators.
        """
        local = self._context.local
        local.incarnation = max(local.incarnation, incarnation) + 1
        self._context.counters.refuted += 1
        # Being suspected means that this member's datagrams do not reach others in time, so it slows down
        # (Lifeguard).
        self._context.adjust_local_health(+1)
        self._context.record_change(
            local, "suspected", "alive", source, f"refuted: {reason}"
        )
        self._dissemination.enqueue(local.update(local.name))

    # Transitions.

    def set_reach(self, member: Member, reach: str, reason: str) -> None:
        """Sets whether a member is reached directly, indirectly or not at all, see `Member`."""
        if reach != member.reach:
            source = self._context.local.name
            self._context.record_change(member, member.reach, reach, source, reason)
            member.reach = reach

    def set_state(
        self,
        member: Member,
        state: MemberState,
        incarnation: int,
        source: str,
        reason: str,
    ) -> None:
        """Sets the state and incarnation of a member and updates everything that depends on them."""
        old_state = member.state
        member.incarnation = incarnation
        if state == old_state:
            return
        member.state, member.state_since_us = state, self._context.now_us
        if state == MemberState.ALIVE:
            self._on_recovery(member, old_state)
        self._context.table.count_transition(member, old_state)
        if state != MemberState.SUSPECT:
            self._suspicions.clear(member.name)
        was_live = old_state <= MemberState.SUSPECT
        if (
            state == MemberState.ALIVE
            and not was_live
            and member.name not in self._probe_round
        ):
            self._probe_round.insert(member.name)
        self._context.record_change(
            member, old_state.name.lower(), state.name.lower(), source, reason
        )

    def suspect(
        self, member: Member, incarnation: int, source: str, reason: str
    ) -> None:
        """Records that `source` suspects a member, as a new suspicion or as one more confirmation."""
        suspicion = self._suspicions.by_name.get(member.name)
        if (
            member.state != MemberState.SUSPECT
            or incarnation != member.incarnation
            or suspicion is None
        ):
            self.set_state(member, MemberState.SUSPECT, incarnation, source, reason)
            suspicion = self._suspicions.start(member.name)
        if source not in suspicion.confirmers:
            suspicion.confirmers.add(source)
            self._suspicions.set_deadline(suspicion)
            self._dissemination.enqueue(member.update(source))

    def _on_recovery(self, member: Member, old_state: MemberState) -> None:
        """Handles a member that becomes alive; called before the table counts it as live."""
        if old_state in (MemberState.SUSPECT, MemberState.DEAD):
            member.recovered_us = self._context.now_us
        if old_state == MemberState.DEAD:
            self._anti_entropy.schedule_after_arrival()
            self._suspicions.extend_after_recovery()

    def _add(self, update: MemberUpdate) -> Member:
        """Adds an unknown member as alive and disseminates it."""
        member = Member(
            update.name,
            update.host,
            update.port,
            update.incarnation,
            MemberState.ALIVE,
            self._context.now_us,
            update.zone,
            update.region,
        )
        self._context.table.insert(member)
        self._probe_round.insert(member.name)
        self._anti_entropy.schedule_after_arrival()
        reason = "it sent a datagram" if update.source == update.name else "gossip"
        self._context.record_change(member, "unknown", "alive", update.source, reason)
        self._dissemination.enqueue(member.update(self._context.local.name))
        return member

    def _complete_zone(self, member: Member, update: MemberUpdate) -> None:
        """Sets the zone and region of a member that was added without them."""
        relocated = replace(update, host=member.host, port=member.port)
        self._context.table.relocate(member, relocated)
        if member.state == MemberState.ALIVE:
            # This replaces an update without a zone that may still be queued.
            self._dissemination.enqueue(member.update(self._context.local.name))

    def _on_update_about_local(self, update: MemberUpdate) -> None:
        local = self._context.local
        is_contradiction = (
            update.state != MemberState.ALIVE or update.incarnation > local.incarnation
        )
        if is_contradiction and update.incarnation >= local.incarnation:
            reason = f"{update.source} reported {update.state.name.lower()}"
            self.refute(update.incarnation, update.source, reason)
        elif (
            update.incarnation == local.incarnation
            and (update.host, update.port) != local.address
        ):
            # Left over from an earlier process of this node, or sent about a second node with its name.
            self._context.counters.conflicts += 1
            reason = f"known at {update.host}:{update.port}"
            self.refute(update.incarnation, update.source, reason)

    def _on_update_about_unknown(self, update: MemberUpdate) -> None:
        is_gone = update.state > MemberState.SUSPECT
        is_full = len(self._context.table.members) >= self._context.settings.max_members
        if is_gone or is_full:
            return
        member = self._add(update)
        if update.state == MemberState.SUSPECT:
            self.suspect(member, update.incarnation, update.source, "gossip")

    def _on_alive(self, member: Member, update: MemberUpdate) -> None:
        if update.incarnation > member.incarnation:
            self._context.table.relocate(member, update)
            self.set_state(
                member,
                MemberState.ALIVE,
                update.incarnation,
                update.source,
                "higher incarnation",
            )
            self._dissemination.enqueue(update)
        elif (
            update.source == update.name
            and update.incarnation == member.incarnation
            and (update.host, update.port) != member.address
        ):
            # Its incarnation arrived first, in one of its own datagrams, which do not state an address.
            self._context.table.relocate(member, update)
            self._dissemination.enqueue(update)
        else:
            self._context.counters.stale += 1

    def _on_suspect(self, member: Member, update: MemberUpdate) -> None:
        if not member.is_live or update.incarnation < member.incarnation:
            self._context.counters.stale += 1
        else:
            self.suspect(member, update.incarnation, update.source, "gossip")

    def _on_dead_or_left(self, member: Member, update: MemberUpdate) -> None:
        if update.incarnation < member.incarnation or not member.is_live:
            self._context.counters.stale += 1
            return
        reason = "left" if update.state == MemberState.LEFT else "declared dead"
        self.set_state(member, update.state, update.incarnation, update.source, reason)
        self._dissemination.enqueue(update)


def _update_from_sender(envelope: MembershipEnvelope, source: Address) -> MemberUpdate:
    """Returns an update that describes the unknown sender of a datagram as alive at its source address."""
    return MemberUpdate(
        envelope.sender,
        source[0],
        source[1],
        envelope.incarnation,
        MemberState.ALIVE,
        envelope.sender,
    )
