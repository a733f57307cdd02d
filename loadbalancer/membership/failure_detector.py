"""Failure detector: direct and indirect probes (SWIM) with the local health multiplier (Lifeguard)."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from loadbalancer.membership.dissemination import Dissemination
from loadbalancer.membership.messages import Ack, Nack, Ping, PingRequest
from loadbalancer.membership.probe_round import ProbeRound
from loadbalancer.membership.state import (
    Address,
    Context,
    Member,
    SendDatagram,
    unless_alive,
)
from loadbalancer.membership.suspicion import Suspicion, SuspicionTable
from loadbalancer.membership.transitions import Transitions


@dataclass
class Probe:
    """The probe of the current period; times are in microseconds.

    Attributes:
        target: Name of the probed member.
        sequence: Sequence number of the ping.
        start_us: When the ping was sent.
        indirect_at_us: When indirect probes are requested.
        end_us: End of the period; without an ack until then the probe has failed.
        is_acked: Whether an ack has arrived, direct or relayed.
        is_indirect: Whether indirect probes were requested, even if there was no relay.
        relay_count: Number of members asked for an indirect probe.
        nacks: Names of the relays that reported that they got no ack.
    """

    target: str
    sequence: int
    start_us: int
    indirect_at_us: int
    end_us: int
    is_acked: bool = False
    is_indirect: bool = False
    relay_count: int = 0
    nacks: set[str] = field(default_factory=set)

    @property
    def due_us(self) -> int:
        """When the failure detector must next act on this probe."""
        return self.end_us if self.is_acked or self.is_indirect else self.indirect_at_us


@dataclass
class RelayedPing:
    """A ping that this member sent on behalf of another; a nack is sent at the deadline.

    Attributes:
        origin: Address of the member that requested the ping.
        origin_sequence: Sequence number that this member uses for its probe.
        target: Name of the pinged member.
        deadline_us: When the wait for an ack ends, in microseconds.
    """

    origin: Address
    origin_sequence: int
    target: str
    deadline_us: int


class FailureDetector:
    """Probes one member per period, serves the indirect probes of other members, and resolves suspicions.

    Args:
        context: State that all modules of this member share.
        dissemination: Builds the datagrams.
        probe_round: Selects the member to probe next.
        suspicions: The suspicions to check.
        transitions: Applies the results of the probes to the members.

    Attributes:
        next_probe_us: When the next period starts.
    """

    def __init__(
        self,
        context: Context,
        dissemination: Dissemination,
        probe_round: ProbeRound,
        suspicions: SuspicionTable,
        transitions: Transitions,
    ) -> None:
        self._context = context
        self._dissemination = dissemination
        self._probe_round = probe_round
        self._suspicions = suspicions
        self._transitions = transitions
        self._probe: Probe | None = None
        self._relays: dict[int, RelayedPing] = {}  # by the sequence number of the ping
        self.next_probe_us = 0

    def start(self) -> None:
        """Draws a random start of the first period, so that members do not probe in step."""
        interval_us = self._context.settings.probe_interval_us
        delay_us = self._context.random.randrange(interval_us)
        self.next_probe_us = self._context.now_us + delay_us

    def deadlines(self) -> Iterator[int]:
        """Yields the times at which `tick` has something to do, in microseconds."""
        yield self.next_probe_us
        if self._probe is not None:
            yield self._probe.due_us
        for suspicion in self._suspicions.by_name.values():
            yield suspicion.due_us
        for relay in self._relays.values():
            yield relay.deadline_us

    def tick(self) -> list[SendDatagram]:
        """Runs what is due: indirect probes, the end of a probe, the next probe, nacks and suspicions."""
        now_us = self._context.now_us
        actions: list[SendDatagram] = []
        probe = self._probe
        if probe is not None:
            is_waiting = not probe.is_acked and not probe.is_indirect
            if is_waiting and now_us >= probe.indirect_at_us:
                actions.extend(self._request_indirect_probes(probe))
            if now_us >= probe.end_us:
                self._end_probe(probe)
        if now_us >= self.next_probe_us:
            actions.extend(self._start_probe())
        actions.extend(self._expire_relays())
        actions.extend(self._check_suspicions())
        return actions

    def on_stall(self) -> None:
        """Handles a stall of this process: neither an ack of its probe nor a missing one can be trusted."""
        self._context.adjust_local_health(+1)
        self._probe = None
        self._suspicions.extend_after_stall()
        min_deadline_us = (
            self._context.now_us + self._context.settings.probe_interval_us
        )
        for relay in self._relays.values():
            relay.deadline_us = max(relay.deadline_us, min_deadline_us)

    def on_ping(
        self, message: Ping, sender: str, source: Address
    ) -> list[SendDatagram]:
        """Acknowledges a ping, and refutes if the ping reports this member as suspected."""
        local = self._context.local
        if message.target != local.name:
            # The ping is meant for another member at this address.
            self._context.counters.stale += 1
            return []
        if message.suspected_incarnation >= local.incarnation:
            reason = "a ping reported this member as suspected"
            self._transitions.refute(local.incarnation, sender, reason)
        subject = unless_alive(self._context.table.members.get(sender))
        ack = Ack(message.sequence, local.name)
        return [self._dissemination.datagram(source, ack, subject)]

    def on_ping_request(
        self, message: PingRequest, source: Address
    ) -> list[SendDatagram]:
        """Pings a target on behalf of another member."""
        sequence = self._context.next_sequence()
        deadline_us = self._context.now_us + self._context.settings.probe_timeout_us
        self._relays[sequence] = RelayedPing(
            source, message.sequence, message.target, deadline_us
        )
        subject = unless_alive(self._context.table.members.get(message.target))
        address = (message.host, message.port)
        ping = Ping(sequence, message.target)
        return [self._dissemination.datagram(address, ping, subject)]

    def on_ack(self, message: Ack) -> list[SendDatagram]:
        """Relays the ack of a ping sent for another member, or records the ack of this member's own probe."""
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            return self._relay_ack(relay, message)
        probe = self._probe
        if (
            probe is not None
            and probe.sequence == message.sequence
            and probe.target == message.target
        ):
            self._acknowledge(probe, message)
        elif not self._suspicions.is_own_ping(message.sequence):
            self._context.counters.stale += 1
        return []

    def on_nack(self, message: Nack, sender: str) -> None:
        """Records that a relay is reachable but got no ack from the target."""
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe.nacks.add(sender)

    def _start_probe(self) -> list[SendDatagram]:
        settings, now_us = self._context.settings, self._context.now_us
        scale = 1 + self._context.local_health
        self.next_probe_us = now_us + settings.probe_interval_us * scale
        target = self._probe_round.next_target()
        if target is None:
            self._probe = None
            return []
        sequence = self._context.next_sequence()
        self._probe = Probe(
            target.name,
            sequence,
            start_us=now_us,
            indirect_at_us=now_us + settings.probe_timeout_us * scale,
            end_us=self.next_probe_us,
        )
        return [self._dissemination.ping(target, sequence)]

    def _request_indirect_probes(self, probe: Probe) -> list[SendDatagram]:
        """Asks other members to ping the target, and pings it again in case one datagram was lost."""
        probe.is_indirect = True
        table = self._context.table
        target = table.members.get(probe.target)
        if target is None:  # removed in the meantime
            return []
        count = self._context.settings.indirect_probes
        relays = table.sample_alive(count, exclude=probe.target)
        probe.relay_count = len(relays)
        request = PingRequest(probe.sequence, target.name, target.host, target.port)
        subject = unless_alive(target)
        return [
            self._dissemination.ping(target, probe.sequence),
            *(
                self._dissemination.datagram(relay.address, request, subject)
                for relay in relays
            ),
        ]

    def _end_probe(self, probe: Probe) -> None:
        self._probe = None
        if probe.is_acked:
            self._context.adjust_local_health(-1)
            return
        # Lifeguard counts a failed probe against the local health of the prober, and more if relays were
        # asked and none sent even a nack. If one relay did, this member can receive and is not isolated, so
        # nothing is counted: half of all members may really have died at once.
        if not probe.nacks:
            self._context.adjust_local_health(+2 if probe.relay_count else +1)
        target = self._context.table.members.get(probe.target)
        if target is None or not target.is_live:
            return
        if target.last_received_us > probe.start_us:
            reason = "its datagrams arrive, but it does not answer"
            self._transitions.set_reach(target, "inbound", reason)
            return
        self._transitions.on_failed_probe(target, probe.start_us, probe.nacks)

    def _expire_relays(self) -> list[SendDatagram]:
        actions = []
        for sequence, relay in list(self._relays.items()):
            if self._context.now_us >= relay.deadline_us:
                del self._relays[sequence]
                nack = Nack(relay.origin_sequence, relay.target)
                actions.append(self._dissemination.datagram(relay.origin, nack))
        return actions

    def _relay_ack(self, relay: RelayedPing, message: Ack) -> list[SendDatagram]:
        if relay.target != message.target:
            self._context.counters.stale += 1
            return []
        ack = Ack(relay.origin_sequence, relay.target, relayed=True)
        target = self._context.table.members.get(relay.target)
        # The update about the target carries the target's incarnation to the origin.
        return [self._dissemination.datagram(relay.origin, ack, target)]

    def _acknowledge(self, probe: Probe, message: Ack) -> None:
        probe.is_acked = True
        target = self._context.table.members.get(message.target)
        if target is None:
            return
        if message.relayed:
            reason = "answered only through other members"
            self._transitions.set_reach(target, "indirect", reason)
        else:
            self._transitions.set_reach(target, "direct", "answered directly again")

    def _check_suspicions(self) -> list[SendDatagram]:
        actions: list[SendDatagram] = []
        members = self._context.table.members
        for name, suspicion in list(self._suspicions.by_name.items()):
            if suspicion.is_own:
                actions.extend(self._check_own_suspicion(members[name], suspicion))
            elif self._context.now_us >= min(suspicion.check_us, suspicion.deadline_us):
                self._schedule_own_probe(name, suspicion)
        return actions

    def _check_own_suspicion(
        self, member: Member, suspicion: Suspicion
    ) -> list[SendDatagram]:
        """Pings a suspect in each period until its deadline, and then declares it dead."""
        now_us = self._context.now_us
        if now_us >= suspicion.deadline_us:
            self._transitions.on_suspicion_timeout(member)
        elif now_us >= suspicion.next_ping_us:
            suspicion.next_ping_us = now_us + self._context.settings.probe_interval_us
            suspicion.sequence = self._context.next_sequence()
            return [self._dissemination.ping(member, suspicion.sequence)]
        return []

    def _schedule_own_probe(self, name: str, suspicion: Suspicion) -> None:
        """Schedules a probe of a member that only gossip suspects: no death is declared on reports alone."""
        self._probe_round.insert_next(name)
        suspicion.check_us = self._context.now_us + self._context.gossip_round_us
        suspicion.deadline_us = max(suspicion.deadline_us, suspicion.check_us)
