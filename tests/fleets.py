"""A fleet divided into cells, in virtual time: records over an emulated network, and each node's audit."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from loadbalancer.audit.fleet_observer import FleetObserver
from loadbalancer.audit.fleet_view import (
    OUTDATED_STATES,
    FleetView,
    HealthState,
    MemberHealth,
    ReceivedStatus,
)
from loadbalancer.audit.remediation import LocalState, RemediationKind
from loadbalancer.audit.remediator import Remediator
from loadbalancer.audit.rules import RemediationRules
from loadbalancer.audit.status import (
    KIND,
    QuarantineState,
    StatusRecord,
    VersionId,
    append_version,
    decode,
    encode,
)
from loadbalancer.cells.collector import Collector
from loadbalancer.cells.layout import Layout
from loadbalancer.cells.messages import (
    CellSummary,
    FleetSummary,
    MessageOrder,
    SummaryRejectedError,
    SummaryReport,
    decode_fleet_summary,
    encode_fleet_summary,
)
from loadbalancer.cells.messages import decode as read_message
from loadbalancer.cells.messages import encode as encode_message
from loadbalancer.cells.reporter import (
    CollectorReplies,
    DiscoveryPoller,
    collectors,
    is_worth_reporting,
    latest_record,
    reporters,
)
from loadbalancer.cells.rules import CellEvent
from loadbalancer.cells.summarize import CellMembers, summarize
from loadbalancer.lab.network import Net
from loadbalancer.lab.records import World

SECOND_US = 1_000_000
TICK_US = 250_000  # between two rounds of the audits
PERIOD_US = 2 * SECOND_US  # between two reports to collectors


def group_mark(layout: Layout | None) -> bytes:
    """Returns the mark of a cell's records, as `node/features/membership_host.py` computes it."""
    return layout.digest.encode() if layout is not None else b""


@dataclass
class AuditNode:
    """One node with its audit.

    Attributes:
        name: The node's name.
        observer: Its view of the other members.
        remediator: Its decisions on members that are behind.
        layout: The layout of the cells that it follows; None without cells.
        own: Its own state.
        lists: The list versions that it has received, as published.
        fleet_view: What the observer has found last.
        published: The body of the status record published last.
        agent: The state of its discovery agent: "healthy", "silent", or "lost": peers cannot help it either.
        updated_at_us: When it last accepted a list.
    """

    name: str
    observer: FleetObserver
    remediator: Remediator
    layout: Layout | None
    own: LocalState = field(default_factory=LocalState)
    lists: tuple[VersionId, ...] = ()
    fleet_view: FleetView | None = None
    published: bytes = b""
    agent: str = "healthy"
    updated_at_us: int = 0


class Fleet:
    """Nodes named `m0`, `m1` and so on, with audits and without clients.

    Args:
        size: The number of nodes.
        layout_of: Returns the layout that a node follows; None if it does not use cells.
        seed: The seed of all random numbers.
        loss: The fraction of datagrams that are lost.
        rules: The rules of remediation.
    """

    def __init__(
        self,
        size: int,
        layout_of: Callable[[str], Layout | None],
        seed: int = 1,
        loss: float = 0.0,
        rules: RemediationRules | None = None,
    ) -> None:
        self.random = Random(seed)
        self.net = Net(loss=loss)
        self.world = World(size, seed, self.net)
        self.layout_of = layout_of
        self.rules = rules or RemediationRules(
            quarantine_after_us=10 * SECOND_US, max_rounds=1
        )
        self.down: set[str] = set()
        self.sides: list[set[str]] = []  # of a partition; empty if there is none
        self.latest_version = VersionId("d", 1, "c1")
        self.audit_nodes: dict[str, AuditNode] = {}
        # Pairs of an observer and a member that it wrongly found behind.
        self.wrong_verdicts: set[tuple[str, str]] = set()
        # A member that has caught up may still be found behind for this time.
        self.grace_us = 5 * SECOND_US
        self.max_quarantined = 0
        self.quarantined: set[str] = set()
        self.cell_members: dict[str, list[str]] = {}  # live members of each node's cell
        self.decoded: dict[bytes, StatusRecord | None] = {}
        # Time, node, and the list that its agent will report.
        self.pending_updates: list[tuple[int, str, VersionId]] = []
        for name in self.world.nodes:
            self.start_audit(name)
        self.publish_list(1, within=0.0)
        self.update_members()

    @property
    def now(self) -> int:
        return self.world.now

    def start_audit(self, name: str) -> None:
        """Starts a node's audit without state."""
        self.audit_nodes[name] = AuditNode(
            name,
            FleetObserver(name),
            Remediator(name, self.rules, self.random.getrandbits(32)),
            self.layout_of(name),
        )
        self.world.nodes[name].table.change_group(
            self.now, group_mark(self.audit_nodes[name].layout)
        )

    # ---- events --------------------------------------------------------------------------------------

    def publish_list(
        self, number: int, within: float = 2.0, names: Iterable[str] | None = None
    ) -> None:
        """Publishes a new list; healthy agents report it after a random delay of at most `within` seconds."""
        version = VersionId("d", number, f"c{number}")
        if names is None:
            self.latest_version = version
        for name in sorted(names if names is not None else self.audit_nodes):
            if self.audit_nodes[name].agent == "healthy":
                self.pending_updates.append(
                    (
                        self.now + int(within * SECOND_US * self.random.random()),
                        name,
                        version,
                    )
                )

    def stop(self, names: Iterable[str]) -> None:
        """Stops the processes of nodes."""
        for name in names:
            self.world.stop(name)
            self.down.add(name)
        self.update_members()

    def start(self, names: Iterable[str]) -> None:
        """Starts or restarts nodes without state; healthy agents report the latest list at once."""
        for name in sorted(names):
            self.world.start(name)
            agent = self.audit_nodes[name].agent
            self.start_audit(name)
            self.audit_nodes[name].agent = agent
            self.down.discard(name)
            if agent == "healthy":
                self.pending_updates.append((self.now, name, self.latest_version))
        self.update_members()

    def change_layout(self, layout: Layout | None, names: Iterable[str]) -> None:
        """Switches nodes to another layout, as a node does at SIGHUP."""
        for name in names:
            audit_node, node = self.audit_nodes[name], self.world.nodes[name]
            self.world.post(node, node.table.change_group(self.now, group_mark(layout)))
            audit_node.published = b""
            audit_node.layout = layout
            audit_node.observer, audit_node.fleet_view = FleetObserver(name), None
            audit_node.remediator = Remediator(
                name, self.rules, self.random.getrandbits(32)
            )
        self.update_members()

    def partition(self, *sides: set[str]) -> None:
        """Partitions the network into sides; without sides it is joined again."""
        self.sides = [set(s) for s in sides]
        self.net.groups = [set(s) for s in sides] if sides else None
        self.update_members()

    def live(self, name: str) -> list[str]:
        """Returns the members that a node finds live."""
        side = next((s for s in self.sides if name in s), None)
        return [
            n
            for n in self.audit_nodes
            if n not in self.down and (side is None or n in side)
        ]

    def live_cell(self, name: str) -> list[str]:
        """Returns the live members of a node's cell, by its own layout."""
        layout = self.audit_nodes[name].layout
        return (
            self.live(name) if layout is None else layout.scope(name, self.live(name))
        )

    def update_members(self) -> None:
        """Reports the live members to all running nodes, as the membership does."""
        for name in self.audit_nodes:
            if name not in self.down:
                self.cell_members[name] = self.live_cell(name)
                self.world.tell(self.cell_members[name], to=[name])

    # ---- running --------------------------------------------------------------------------------------

    def run(self, seconds: float, on_tick: Callable[[], None] = lambda: None) -> None:
        """Runs all nodes for a time in virtual seconds; `on_tick` is called after each tick."""
        until = self.now + int(seconds * SECOND_US)
        while self.now < until:
            self.world.schedule.run(self.now + TICK_US)
            for update in [d for d in self.pending_updates if d[0] <= self.now]:
                self.pending_updates.remove(update)
                if update[1] not in self.down:
                    self.apply_list(self.audit_nodes[update[1]], update[2])
            for name, audit_node in self.audit_nodes.items():
                if name not in self.down:
                    self.tick(audit_node)
            self.quarantined = {
                n
                for n, s in self.audit_nodes.items()
                if s.remediator.quarantine.state == QuarantineState.QUARANTINED
            }
            self.max_quarantined = max(self.max_quarantined, len(self.quarantined))
            on_tick()

    def apply_list(self, audit_node: AuditNode, version: VersionId) -> None:
        """Applies a list that the node's own agent has reported."""
        audit_node.lists = append_version(audit_node.lists, version)
        audit_node.own = replace(
            audit_node.own,
            list_version=version,
            adopted=None,
            discovery_answered_at=self.now,
        )
        audit_node.updated_at_us = self.now

    def tick(self, audit_node: AuditNode) -> None:
        """Runs one round of a node's audit, and publishes its status record if that has changed."""
        now, table, cell = (
            self.now,
            self.world.nodes[audit_node.name].table,
            self.cell_members[audit_node.name],
        )
        statuses = {}
        for name in cell:
            record = table.get(name, KIND)
            if record is not None:
                if record.body not in self.decoded:
                    self.decoded[record.body] = decode(record.body)
                status = self.decoded[record.body]
                if status is not None:
                    statuses[name] = ReceivedStatus(status, record.stale)
        statuses[audit_node.name] = ReceivedStatus(self.status_record(audit_node))
        fleet_view = audit_node.fleet_view = audit_node.observer.observe(
            now, cell, statuses
        )
        for action in audit_node.remediator.update(now, fleet_view, audit_node.own):
            if (
                action.kind == RemediationKind.POLL_DISCOVERY
                and audit_node.agent == "healthy"
            ):
                self.pending_updates.append((now, audit_node.name, self.latest_version))
            elif (
                action.kind == RemediationKind.REQUEST_FROM_PEER
                and action.target == self.audit_nodes[action.member].own.list_version
            ):
                if audit_node.agent != "lost":
                    audit_node.own, audit_node.updated_at_us = (
                        replace(audit_node.own, adopted=action.target),
                        now,
                    )
            elif action.kind == RemediationKind.QUARANTINE:
                audit_node.remediator.quarantine_decided(now, True)
        body = encode(self.status_record(audit_node))
        if fleet_view.settled and body != audit_node.published:
            audit_node.published = body
            self.world.put(audit_node.name, KIND, body)
        for name, standing in fleet_view.health.items():
            if standing.state in OUTDATED_STATES and not self.is_outdated(
                name, standing
            ):
                self.wrong_verdicts.add((audit_node.name, name))

    def is_outdated(self, name: str, standing: MemberHealth) -> bool:
        """Returns whether a member that is found behind is behind, or was within the grace time."""
        member = self.audit_nodes[name]
        version = member.own.adopted or member.own.list_version
        number = standing.target.number if standing.target is not None else 0
        return (
            version is None
            or version.number < number
            or self.now - member.updated_at_us <= self.grace_us
        )

    def status_record(self, audit_node: AuditNode) -> StatusRecord:
        """Returns the status record that a node publishes."""
        own_remediator, known = (
            audit_node.remediator,
            audit_node.fleet_view.known_count if audit_node.fleet_view else 0,
        )
        has_request = own_remediator.quarantine.state != QuarantineState.SERVING
        return StatusRecord(
            list_versions=audit_node.lists,
            adopted=audit_node.own.adopted,
            known_members=known,
            step=own_remediator.step,
            quarantine=own_remediator.quarantine.state,
            slot=own_remediator.quarantine.slot,
            request_number=own_remediator.quarantine.request_number
            if has_request
            else 0,
            votes=own_remediator.ballots(),
        )

    # ---- observed state -------------------------------------------------------------------------------

    def fresh_senders(self, name: str) -> set[str]:
        """Returns the members of a node's cell whose status record it holds and that is not stale."""
        table = self.world.nodes[name].table
        return {
            r.owner
            for r in table.of(KIND)
            if not r.stale and r.owner in self.live_cell(name)
        }

    def states(self, name: str) -> dict[str, HealthState]:
        """Returns the health states that a node finds, by member."""
        fleet_view = self.audit_nodes[name].fleet_view
        return (
            {n: s.state for n, s in fleet_view.health.items()}
            if fleet_view is not None
            else {}
        )

    def all_current(self) -> bool:
        """Returns whether every running node finds all members of its cell current."""
        return all(
            set(self.states(n).values()) == {HealthState.CURRENT}
            for n in self.audit_nodes
            if n not in self.down
        )

    def sent_bytes(self) -> int:
        """Returns the bytes that all nodes have sent for records."""
        return sum(n.table.counters.sent_bytes for n in self.world.nodes.values())


class ReportingFleet(Fleet):
    """A fleet whose cells report to collectors over a lossy network, as `node/features/cells.py` does."""

    def __init__(
        self, size: int, layout: Layout, collector_names: Sequence[str], **options: Any
    ) -> None:
        self.layout, self.collector_names, self.regions = (
            layout,
            list(collector_names),
            {n: n[-1] for n in collector_names},
        )
        self.collectors: dict[str, Collector] = {}
        self.replies: dict[str, CollectorReplies] = {}
        self.pollers: dict[str, DiscoveryPoller] = {}
        self.published: dict[str, tuple[int, FleetSummary]] = {}
        self.poll_counts: Counter[str] = Counter()
        self.events: list[CellEvent] = []
        self.paused: set[str] = set()  # paused nodes, which neither send nor receive
        # Alters the summaries of a faulty reporter.
        self.alter_summary: Callable[[CellSummary], CellSummary] = lambda summary: (
            summary
        )
        self.period_count = 0
        self.report_bytes = 0  # bytes of all summaries sent to collectors
        super().__init__(size, lambda name: layout, **options)

    def delivers(self, source: str, target: str) -> bool:
        """Returns whether a datagram from one node arrives at another."""
        down = {source, target} & (self.down | self.paused)
        return not down and bool(self.net.fate(self.random, source, target))

    def run_period(self) -> None:
        """Runs one period of all nodes: collectors tick, reporters report, nodes may poll their discovery."""
        self.period_count += 1
        now = self.now
        for name in self.collector_names:
            if name in self.down:
                self.collectors.pop(name, None)
                continue
            collector = self.collectors.setdefault(
                name, Collector(name, self.layout, now // SECOND_US)
            )
            if name not in self.paused:
                self.events += collector.tick(now)
        for name in self.audit_nodes:
            if name in self.down | self.paused:
                continue
            cell = self.cell_members[name]
            if name in reporters(self.layout.cell_of(name), cell):
                self.report(name, cell)
            elif name in self.published:
                del self.published[name]
                self.world.put(name, "fleet", b"")
            known, audit_node = self.fleet_summary(name), self.audit_nodes[name]
            own_list = audit_node.own.list_version
            poller = self.pollers.setdefault(
                name, DiscoveryPoller(self.random.getrandbits(32))
            )
            fronts = known.fronts if known is not None else ()
            if poller.tick(
                now,
                (own_list.origin, own_list.number) if own_list is not None else None,
                fronts,
            ):
                self.poll_counts[name] += 1
                if audit_node.agent == "healthy":
                    self.pending_updates.append((now, name, self.latest_version))

    def report(self, name: str, cell: list[str]) -> None:
        """Reports a cell to the collectors, and publishes the summary that they agree on."""
        now = self.now
        order = (now // SECOND_US, self.period_count)
        known = len(self.layout.scope(name, self.audit_nodes))
        summary = self.alter_summary(
            summarize(
                self.layout,
                name,
                MessageOrder(*order),
                CellMembers(known, cell),
                self.audit_nodes[name].fleet_view,
            )
        )
        data = encode_message(SummaryReport(summary))
        replies = self.replies.setdefault(name, CollectorReplies(3 * PERIOD_US))
        for to in collectors(self.collector_names, self.live(name), self.regions):
            self.report_bytes += len(data)
            with suppress(SummaryRejectedError):
                if self.delivers(name, to):
                    received = read_message(data, self.layout.digest)
                    assert isinstance(received, CellSummary)
                    self.collectors[to].receive(now, received)
                    if self.delivers(to, name):
                        self.collectors[to].track_numberings(now)
                        replies.receive(now, self.collectors[to].fleet_summary(now))
        agreed_summary = replies.agreed(now)
        if agreed_summary is None and name in self.published:
            del self.published[name]
            self.world.put(name, "fleet", b"")
        elif agreed_summary is not None and is_worth_reporting(
            now, self.published.get(name), agreed_summary
        ):
            self.published[name] = (now, agreed_summary)
            self.world.put(name, "fleet", encode_fleet_summary(agreed_summary))

    def fleet_summary(self, name: str) -> FleetSummary | None:
        """Returns the fleet's summary as a node knows it; None if it knows none."""
        table = self.world.nodes[name].table
        records = (
            table.get(n, "fleet")
            for n in reporters(self.layout.cell_of(name), self.cell_members[name])
        )
        record = latest_record(r for r in records if r is not None)
        return (
            decode_fleet_summary(record.body, self.layout.digest)
            if record is not None
            else None
        )

    def run_periods(self, seconds: float) -> None:
        """Runs for a time in virtual seconds, with a period every two seconds."""
        for _ in range(int(seconds / 2)):
            self.run(2.0)
            self.run_period()

    def fleet_summaries(self) -> list[FleetSummary | None]:
        """Returns the fleet's summary as each running node knows it."""
        return [
            self.fleet_summary(n)
            for n in self.audit_nodes
            if n not in self.down | self.paused
        ]
