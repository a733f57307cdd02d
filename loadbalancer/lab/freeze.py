"""Many `FreezeNode`s on an emulated network in virtual time: the same code as the node hosts.

Clocks drift, stores take time and may be lost, processes are paused and killed, datagrams are lost, delayed
and cut off in one direction: all seeded. `World.violations` gathers what must never happen (`freeze_safety`).
Times are microseconds of true time, except where a node's own clock is named.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from loadbalancer.freeze.actions import Action, Save, Send
from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.client_state import (
    RequestedChange,
    RequestOutcome,
    RequestState,
)
from loadbalancer.freeze.machine import FreezeNode
from loadbalancer.freeze.messages import OperatorCommand, encode
from loadbalancer.freeze.rules import (
    ClientRules,
    CoordinatorRules,
    ElectionRules,
    FreezeRules,
)
from loadbalancer.freeze.scope import parse_scope
from loadbalancer.freeze.state import Grant, Incident
from loadbalancer.lab.freeze_safety import ObservedChange, SafetyMonitor

SECOND = 1_000_000
DEFAULT_DURATION_US = 10 * SECOND
MAX_DATAGRAM_BYTES = 1_400
MAX_CLOCK_OFFSET_US = 10**12


def rules_of(
    electors: Iterable[str], lease_us: int = 2 * SECOND, drift_ratio: float = 0.01
) -> FreezeRules:
    """The rules of a small world; zones a and b lie in the north, c in the south."""
    names = tuple(electors)
    regions = {"a": "north", "b": "north", "c": "south"}
    return FreezeRules(
        ElectionRules(names, lease_us, drift_ratio),
        ClientRules(names, CoordinatorRules(), drift_ratio),
        regions,
    )


@dataclass
class Network:
    """What happens to datagrams: ratios of loss and duplication, delays in microseconds."""

    loss: float = 0.0
    delay: int = 500
    jitter: int = 500
    duplicate: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)  # (from, to)
    slow: dict[tuple[str, str], int] = field(default_factory=dict)  # further delay


@dataclass
class Site:
    """One node: its machine (None while it is down), its clock and its store."""

    name: str
    clock_rate: float
    clock_offset: int
    machine: FreezeNode | None = None
    record: bytes | None = None
    parked: list[Send] = field(default_factory=list)  # until their save is stored
    saving: Save | None = None  # on its way to the store
    next_save: Save | None = None
    stored_number: int = 0
    incarnation: int = 0
    paused_until: int = 0
    inbox: list[tuple[str, bytes]] = field(default_factory=list)  # while paused
    timer_at: int | None = None

    def local(self, now: int) -> int:
        """The node's clock at a true time."""
        return self.clock_offset + int(now * self.clock_rate)

    def true(self, local: int) -> int:
        """The true time at which the node's clock has reached `local`."""
        return -int(-(local - self.clock_offset) // self.clock_rate) + 1

    def is_leading(self, now: int) -> bool:
        """Whether this node's elector leads."""
        if self.machine is None or self.machine.elector is None:
            return False
        return self.machine.elector.is_leading(self.local(now))


class World:
    """Nodes n0, n1 and so on; the first so many are the electors.

    Attributes:
        now: True time.
        log: Time, node, name, term and text of each event.
        outcomes: By request, when each outcome was reported.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        electors: int = 3,
        rules: FreezeRules | None = None,
        write: int = 2_000,
    ) -> None:
        """Starts all nodes; `write` is how long a store takes for a record, in microseconds."""
        names = [f"n{index}" for index in range(nodes)]
        self.rules = rules or rules_of(names[:electors])
        self.network = Network()
        self.random = Random(seed)
        self.write = write
        self.now = 0
        self.safety = SafetyMonitor(self.rules.regions)
        self.log: list[tuple[int, str, str, int, str]] = []
        self.outcomes: dict[str, list[tuple[int, RequestOutcome]]] = {}
        self._requested: dict[str, Grant] = {}
        self._schedule: list[tuple[int, int, Callable[[], None]]] = []
        self._schedule_count = 0
        drift = self.rules.election.drift_ratio
        self.sites = {
            name: Site(
                name,
                1 + self.random.uniform(-drift, drift),
                self.random.randrange(MAX_CLOCK_OFFSET_US),
            )
            for name in names
        }
        for name in names:
            self.start(name)

    @property
    def violations(self) -> list[str]:
        """What must never happen, and did."""
        return self.safety.violations

    @property
    def changes(self) -> dict[str, ObservedChange]:
        """Changes begun under a grant, by request."""
        return self.safety.changes

    @property
    def elected(self) -> dict[int, str]:
        """By term, who was elected."""
        return self.safety.elected

    @property
    def in_force(self) -> dict[str, int]:
        """By incident, since when it is in force."""
        return self.safety.in_force

    # ---- the schedule ---------------------------------------------------------------------------------

    def at(self, time: int, callback: Callable[[], None]) -> None:
        """Schedules a callback; those of one time run in the order in which they were scheduled."""
        self._schedule_count += 1
        heapq.heappush(self._schedule, (time, self._schedule_count, callback))

    def run(self, until: int) -> None:
        """Runs up to a time."""
        while self._schedule and self._schedule[0][0] <= until:
            time, _, callback = heapq.heappop(self._schedule)
            self.now = max(self.now, time)
            callback()
        self.now = max(self.now, until)

    def run_until(
        self, condition: Callable[[], bool], timeout_us: int = 30 * SECOND
    ) -> bool:
        """Runs until a condition holds, or for so long; returns whether it holds."""
        end = self.now + timeout_us
        while not condition():
            if not self._schedule or self._schedule[0][0] > end:
                return False
            self.run(self._schedule[0][0])
        return True

    # ---- processes ------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a node from its store."""
        site = self.sites[name]
        site.incarnation += 1
        site.parked, site.saving, site.next_save, site.stored_number = [], None, None, 0
        site.timer_at, site.paused_until, site.inbox = None, 0, []
        seed = self.random.getrandbits(64)
        site.machine = FreezeNode(
            name, self.rules, seed, site.local(self.now), site.record
        )
        site.machine.set_members(list(self.sites))
        self.advance(site, [])

    def kill(self, name: str, *, lose_store: bool = False) -> None:
        """As SIGKILL: what waits for the store or the network is gone; with `lose_store` the store too."""
        site = self.sites[name]
        site.machine = None
        site.parked, site.next_save = [], None
        if lose_store:
            site.record = None
        self.safety.on_kill(self.now, name)

    def pause(self, name: str, length_us: int) -> None:
        """As SIGSTOP, then SIGCONT."""
        self.sites[name].paused_until = self.now + length_us
        self.at(self.now + length_us, partial(self._resume, name))

    def _resume(self, name: str) -> None:
        site = self.sites[name]
        inbox, site.inbox = site.inbox, []
        for sender, data in inbox:
            self._arrive(sender, name, data)
        self.advance(site, [])

    def advance(self, site: Site, actions: list[Action]) -> None:
        """Executes what a machine answered, observes it, and arms its timer."""
        machine = site.machine
        if machine is None or self.now < site.paused_until:
            return
        due_at = machine.next_deadline()
        if due_at is not None and site.local(self.now) >= due_at:
            actions = [*actions, *machine.tick(site.local(self.now))]
        self._execute(site, actions)
        self._observe(site, machine)
        due_at = machine.next_deadline()
        if due_at is not None:
            self._arm_timer(site, max(self.now + 1, site.true(due_at)))

    def _arm_timer(self, site: Site, time: int) -> None:
        if site.timer_at is None or time < site.timer_at or site.timer_at <= self.now:
            site.timer_at = time
            self.at(time, partial(self._on_timer, site, site.incarnation, time))

    def _on_timer(self, site: Site, incarnation: int, time: int) -> None:
        if site.incarnation == incarnation and site.timer_at == time:
            site.timer_at = None
            self.advance(site, [])

    def _execute(self, site: Site, actions: list[Action]) -> None:
        """Sends what need not wait for the store; a write takes its time."""
        for action in actions:
            if isinstance(action, Save):
                site.next_save = action
            elif action.after_save <= site.stored_number:
                self._send(site.name, action)
            else:
                site.parked.append(action)
        if site.next_save is not None and site.saving is None:
            site.saving, site.next_save = site.next_save, None
            self.at(
                self.now + self.write,
                partial(self._on_saved, site, site.incarnation, site.saving),
            )

    def _on_saved(self, site: Site, incarnation: int, save: Save) -> None:
        if site.incarnation != incarnation or site.machine is None:
            return
        site.record = save.data  # the disk does not pause with the process
        if self.now < site.paused_until:
            self.at(site.paused_until, partial(self._on_saved, site, incarnation, save))
            return
        site.saving, site.stored_number = None, save.number
        ready = [send for send in site.parked if send.after_save <= save.number]
        site.parked = [send for send in site.parked if send.after_save > save.number]
        stored = site.machine.stored(site.local(self.now), save.number)
        self.advance(site, [*ready, *stored])

    # ---- the network ----------------------------------------------------------------------------------

    def _send(self, sender: str, send: Send) -> None:
        data = encode(sender, send.message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.violations.append(f"a datagram of {len(data)} bytes: {send.message}")
        if send.to not in self.sites or (sender, send.to) in self.network.cut:
            return
        if self.random.random() < self.network.loss:
            return
        copies = 2 if self.random.random() < self.network.duplicate else 1
        for _ in range(copies):
            jitter = self.random.randrange(self.network.jitter + 1)
            further = self.network.slow.get((sender, send.to), 0)
            arrives_at = self.now + further + self.network.delay + jitter
            self.at(arrives_at, partial(self._arrive, sender, send.to, data))

    def _arrive(self, sender: str, to: str, data: bytes) -> None:
        site = self.sites[to]
        if site.machine is None:
            return
        if self.now < site.paused_until:
            site.inbox.append((sender, data))
            return
        actions = site.machine.receive_datagram(site.local(self.now), data)
        self.advance(site, actions)

    def partition(self, *groups: Iterable[str]) -> None:
        """Cuts all between the groups, both ways."""
        group_of = {name: index for index, group in enumerate(groups) for name in group}
        self.network.cut |= {
            (sender, receiver)
            for sender in group_of
            for receiver in group_of
            if group_of[sender] != group_of[receiver]
        }

    # ---- requests -------------------------------------------------------------------------------------

    def request(
        self,
        node: str,
        request_id: str,
        kind: Change = Change.UPGRADE,
        scope: str = "*",
        duration_us: int = DEFAULT_DURATION_US,
        emergency_reason: str = "",
        resolves_incident: str = "",
        wait_us: int = 0,
    ) -> None:
        """A node requests a change (see `RequestedChange`)."""
        site = self.sites[node]
        if site.machine is None:
            return
        change = RequestedChange(
            request_id,
            kind,
            parse_scope(scope),
            duration_us,
            emergency_reason,
            resolves_incident,
            wait_us=wait_us,
        )
        self._requested[request_id] = Grant(
            request_id,
            node,
            kind.value,
            change.scope,
            duration_us,
            0,
            emergency_reason,
            resolves_incident,
        )
        self.advance(site, site.machine.request(site.local(self.now), change))

    def finish(self, node: str, request_id: str) -> None:
        """A node has made its change."""
        site = self.sites[node]
        if site.machine is not None:
            self.safety.on_end(self.now, request_id)
            now = site.local(self.now)
            self.advance(site, site.machine.finish(now, request_id, "made"))

    def command(
        self,
        node: str,
        command_id: str,
        action: str,
        incident_id: str,
        scope: str = "*",
        severity: int = 2,
        timeout_us: int = 20 * SECOND,
    ) -> None:
        """An operator opens or closes an incident at a node."""
        site = self.sites[node]
        if site.machine is None:
            return
        command = OperatorCommand(
            command_id,
            action,
            incident_id,
            parse_scope(scope),
            severity,
            "a test",
            "operator",
        )
        now = site.local(self.now)
        self.advance(site, site.machine.command(now, command, timeout_us))

    # ---- observation ----------------------------------------------------------------------------------

    def states(self, request_id: str) -> list[RequestState]:
        """The states that were reported of a request so far."""
        return [outcome.state for _, outcome in self.outcomes.get(request_id, [])]

    def coordinator(self) -> str | None:
        """Who coordinates at this moment."""
        leaders = self._leaders()
        return leaders[0] if leaders else None

    def _leaders(self) -> list[str]:
        return [site.name for site in self.sites.values() if site.is_leading(self.now)]

    def incident(self, incident_id: str) -> Incident | None:
        """An open incident, as any elector has it."""
        for site in self.sites.values():
            if site.machine is not None and site.machine.coordinator is not None:
                incidents = site.machine.coordinator.state.incidents
                if incident_id in incidents:
                    return incidents[incident_id]
        return None

    def _observe(self, site: Site, machine: FreezeNode) -> None:
        events, outcomes = machine.drain()
        coordinator = machine.coordinator
        state = coordinator.state if coordinator is not None else None
        for event in events:
            text = f"{event.fields.get('id', '')} {event.reason}"
            self.log.append((self.now, site.name, event.name, event.term, text))
            self.safety.on_event(self.now, site.name, event, state)
        for outcome in outcomes:
            self._observe_outcome(outcome)
        if machine.elector is not None:
            self.safety.on_leaders(self._leaders())

    def _observe_outcome(self, outcome: RequestOutcome) -> None:
        self.outcomes.setdefault(outcome.id, []).append((self.now, outcome))
        if outcome.state is RequestState.ALLOWED and outcome.id in self._requested:
            grant = self._requested[outcome.id]
            self.safety.on_begin(self.now, grant, outcome, self._active_changes())
        elif outcome.state in (RequestState.REVOKED, RequestState.FINISHED):
            self.safety.on_end(self.now, outcome.id)

    def _active_changes(self) -> set[str]:
        return {
            change_id
            for change_id, change in self.changes.items()
            if change.ended_at is None and self._may_continue(change)
        }

    def _may_continue(self, change: ObservedChange) -> bool:
        """Whether a change may still do anything.

        A paused process does nothing, and looks at its clock before anything else when it resumes.
        """
        site = self.sites[change.grant.node]
        if site.machine is None or self.now >= site.paused_until:
            return True
        now = site.local(self.now)
        return site.machine.client.may_continue(now, change.grant.id)
