"""Hosts the change freeze: the pure machine on a channel of the membership's port, its record in the store.

`loadbalancer.freeze` decides; here are the clock, one timer, the channel, the store, the members' records and
operators' calls. Imported only where the operator configuration has `[freeze]`.

An elector's record is written in a thread of its own, and what must not be sent before waits for it;
heartbeats and leases do not. A store that cannot be written takes the elector out: it begins anew from what
the store holds once it can be had again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from loadbalancer.audit import status as audit_status
from loadbalancer.config.operator_config import FreezeTable, OperatorConfig
from loadbalancer.errors import LoadBalancerError
from loadbalancer.freeze.actions import Action, FreezeEvent, Save, Send
from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.errors import FreezeRecordError
from loadbalancer.freeze.evidence import (
    RECORD_KIND,
    EndpointListVersion,
    EvidenceEvaluator,
    EvidenceRules,
    FaultReport,
    FaultWitness,
    decode,
    encode,
)
from loadbalancer.freeze.machine import FreezeNode
from loadbalancer.freeze.messages import encode as encode_datagram
from loadbalancer.freeze.rules import FreezeRules
from loadbalancer.freeze.scope import format_scope
from loadbalancer.node.features import freeze_page
from loadbalancer.node.features.feature import (
    AttemptEnd,
    Feature,
    FeatureHost,
    ListUpdate,
    Version,
    VersionSource,
)
from loadbalancer.node.features.freeze_calls import CallResult, OperatorCalls
from loadbalancer.node.features.freeze_changes import AnswerCallback, NodeChanges
from loadbalancer.node.features.freeze_store import ElectorStore
from loadbalancer.policy.api import EndpointState, Outcome
from loadbalancer.records.interface import Records
from loadbalancer.stores.interface import StoreCorruptError
from loadbalancer.transports.interface import Address, Transport

CHANNEL_TAG = 4
STORE_RETRY_S = 1.0
REVIEW_INTERVAL_S = 1.0  # of the channel, the evidence and this node's health


class FreezeFeature(Feature):
    """The feature."""

    name = "freeze"
    tag = CHANNEL_TAG
    needs_peers = True

    def __init__(self) -> None:
        # From `start` on:
        self.host: FeatureHost = None  # type: ignore[assignment]
        self.machine: FreezeNode = None  # type: ignore[assignment]
        self.table: FreezeTable = None  # type: ignore[assignment]
        self.rules: FreezeRules = None  # type: ignore[assignment]
        self.evidence_rules: EvidenceRules = None  # type: ignore[assignment]
        self.witness: FaultWitness = None  # type: ignore[assignment]
        self.store: ElectorStore = None  # type: ignore[assignment]
        self.evidence: EvidenceEvaluator | None = None  # while this node coordinates
        self.channel: Transport | None = None
        self.records: Records | None = None
        self.operator_calls = OperatorCalls(self)
        self.counters = freeze_page.HostCounters()
        self.node_changes = NodeChanges(self, self.operator_calls, self.counters)
        self.store_error = ""
        self.stopped = False
        # Datagrams of one turn of the event loop are taken together.
        self.inbox: list[bytes] = []
        self.work_scheduled = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_at = 0
        self.review_timer: asyncio.TimerHandle | None = None
        # Versions that the node acts on.
        self.endpoint_list = EndpointListVersion()
        self.term = 0

    # ---- lifecycle ------------------------------------------------------------------------------------

    def start(self, host: FeatureHost) -> None:
        """Begins; the channel and the store may come later."""
        self.host = host
        self.node_changes.incarnation = f"{host.now() & 0xFFFFFFF:x}"
        self.store = ElectorStore(host, self.counters, self.on_stored, self.fail)
        self.take_rules(host.operator_config())
        self.witness = FaultWitness(self.evidence_rules)
        self.begin(None)
        self.look()

    def take_rules(self, operation: OperatorConfig) -> None:
        """Takes the rules from the operator configuration."""
        table = operation.freeze
        assert table is not None
        regions = {}
        if operation.membership is not None:
            regions = {
                zone: region
                for region, zones in operation.membership.regions.items()
                for zone in zones
            }
        self.table = table
        self.rules = table.rules(regions)
        self.evidence_rules = table.evidence_rules()

    def begin(self, previous: FreezeNode | None) -> None:
        """Begins a machine from what the store holds; requests under way continue."""
        record = self.read_record()
        now = self.host.now()
        seed = self.host.seed() ^ self.host.now()
        try:
            self.machine = FreezeNode(self.host.name, self.rules, seed, now, record)
        except FreezeRecordError as error:
            self.host.log_event("freeze elector record unusable", **error.table())
            self.machine = FreezeNode(self.host.name, self.rules, seed, now, None)
        if previous is not None:
            self.machine.client = previous.client
            self.machine.client.set_rules(self.rules.client, self.rules.regions)
        self.store_error = ""
        elector = self.machine.elector
        self.host.log_event(
            "freeze started",
            electors=list(self.rules.election.electors),
            elector=elector is not None,
            term=elector.term if elector is not None else 0,
            lost=elector.state_lost if elector is not None else None,
            lasting=self.store.durable,
        )
        self.on_members_changed()
        self.work()

    def read_record(self) -> bytes | None:
        """Reads an elector's record; None where there is none or it is damaged.

        Raises:
            LoadBalancerError: The store cannot be had.
        """
        self.store.restart()
        if self.host.name not in self.rules.election.electors:
            return None
        try:
            return self.store.open()
        except StoreCorruptError as error:
            self.host.log_event("freeze elector record unusable", **error.table())
            return None

    def stop(self, graceful: bool) -> None:
        """Ends; a coordinator's lease runs out by itself."""
        self.stopped = True
        for timer in (self.timer, self.review_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.review_timer = None
        self.channel = None
        self.store.close()
        self.host.log_event("freeze stopped")

    def reload(self, operation: OperatorConfig) -> None:
        """Takes a new operator configuration.

        With other rules an elector begins anew from its store, and votes for nobody for a lease, as after any
        start.
        """
        previous = self.rules
        self.take_rules(operation)
        self.witness.rules = self.evidence_rules
        if self.rules != previous:
            self.begin(self.machine)

    def on_members_changed(self) -> None:
        """All live members are notified of incidents."""
        self.machine.set_members(self.host.live_members())

    def on_version(self, version: Version) -> None:
        """The node acts on another version of something."""
        if version.source is VersionSource.MEMBERS:
            self.node_changes.members_digest = version.digest
        elif version.source is VersionSource.LIST:
            self.endpoint_list = EndpointListVersion(
                version.origin, version.number, version.digest
            )

    # ---- the machine ----------------------------------------------------------------------------------

    def received(self, data: bytes, source: Address) -> None:
        """A datagram; all of one turn of the event loop are taken together, with one write."""
        self.inbox.append(data)
        if not self.work_scheduled:
            self.work_scheduled = True
            self.host.loop.call_soon(self.work)

    def work(self) -> None:
        """Takes what has come, and does what is due."""
        self.work_scheduled = False
        if self.stopped:
            return
        inbox, self.inbox = self.inbox, []
        actions: list[Action] = []
        for data in inbox:
            actions += self.machine.receive_batched(self.host.now(), data)
        self.do([*actions, *self.machine.tick(self.host.now())])

    def do(self, actions: list[Action]) -> None:
        """Stores and sends, reports what has happened, and arms the timer."""
        for action in actions:
            if isinstance(action, Save):
                self.store.save(action)
            elif not self.store.hold_back(action):
                self.send_message(action)
        self.store.write_next()
        events, outcomes = self.machine.drain()
        for event in events:
            self.log_event(event)
        for outcome in outcomes:
            self.node_changes.report(outcome)
        self.announce_term()
        self.arm_timer()

    def announce_term(self) -> None:
        """Tells the node that it acts on another coordinator's term."""
        locator = self.machine.client.locator
        if locator.term > self.term:
            self.term = locator.term
            digest = blake2b(locator.coordinator.encode(), digest_size=8).hexdigest()
            self.host.announce_version(
                Version(VersionSource.TERM, "freeze", self.term, digest)
            )

    def on_stored(self, number: int, ready: list[Send]) -> None:
        """The store holds a save; `ready` has waited for it."""
        self.do([*ready, *self.machine.stored(self.host.now(), number)])

    def fail(self, error: LoadBalancerError) -> None:
        """The store cannot be written.

        The elector goes at once: it must give no vote that it would not remember after a restart.
        """
        self.store.abandon()
        self.machine.elector = self.machine.coordinator = None
        self.store_error = error.line()
        self.host.log_event("freeze store failed", **error.table())
        self.host.loop.call_later(STORE_RETRY_S, self.begin_again)

    def begin_again(self) -> None:
        """The store may be well again."""
        if self.stopped:
            return
        try:
            self.begin(self.machine)
        except LoadBalancerError:
            self.host.loop.call_later(STORE_RETRY_S, self.begin_again)

    def send_message(self, send: Send) -> None:
        """Encodes and sends one message."""
        self.send(send.to, encode_datagram(self.host.name, send.message))

    def send(self, to: str, data: bytes) -> None:
        """Sends a datagram to a member, if it can be reached."""
        address = self.host.member_address(to)
        if (
            self.channel is None
            or address is None
            or not self.channel.send(data, address)
        ):
            self.counters.unsent += 1

    def arm_timer(self) -> None:
        """One timer, for what is due next."""
        due_at = self.machine.next_deadline()
        if due_at is None or self.stopped:  # an answer may have stopped the feature
            return
        if self.timer is None or due_at < self.timer_due_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_due_at = due_at
            delay_s = max(0, due_at - self.host.now()) / 1e6
            self.timer = self.host.loop.call_later(delay_s, self.wake)

    def wake(self) -> None:
        """The timer is due."""
        self.timer = None
        self.work()

    # ---- periodic review, and evidence ----------------------------------------------------------------

    def look(self) -> None:
        """Reviews each second the channel, the evidence, and whether this node is behind the others."""
        self.review_timer = self.host.loop.call_later(REVIEW_INTERVAL_S, self.look)
        try:
            if self.channel is None:
                self.channel = self.host.channel(CHANNEL_TAG, self.received)
            self.records = self.records or self.host.records()
        except LoadBalancerError:
            return  # there is no membership yet
        if self.machine.elector is not None:
            self.machine.elector.vote_guard.disabled = self.is_behind(self.records)
        if self.table.evidence:
            report = self.witness.report(self.host.now(), self.endpoint_list)
            self.records.put(RECORD_KIND, encode(report))
            self.judge(self.records)

    def is_behind(self, records: Records) -> bool:
        """Whether the audit finds this node behind the others; without an audit none is."""
        own = records.get(self.host.name, audit_status.KIND)
        status = audit_status.decode(own.body) if own is not None else None
        return status is not None and (
            status.step > 0
            or status.quarantine is not audit_status.QuarantineState.SERVING
        )

    def judge(self, records: Records) -> None:
        """The coordinator puts the members' reports together."""
        coordinator, now = self.machine.coordinator, self.host.now()
        if coordinator is None or coordinator.current_term(now) is None:
            self.evidence = None
            return
        if self.evidence is None:
            self.evidence = EvidenceEvaluator(self.evidence_rules)
            open_scopes = {
                incident.id: format_scope(incident.scope)
                for incident in coordinator.state.incidents.values()
                if incident.opened_by == RECORD_KIND
            }
            self.evidence.adopt(now, open_scopes)
        self.evidence.rules = self.evidence_rules
        reports: dict[str, FaultReport] = {}
        for record in records.of(RECORD_KIND):
            report = decode(record.body) if not record.stale else None
            if report is not None:
                reports[record.owner] = report
        for verdict in self.evidence.evaluate(now, reports, self.host.cell_members()):
            coordinator.on_verdict(now, verdict, self.evidence_rules.severity)
        self.work()

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """An attempt, for the evidence."""
        if self.table.evidence and end.outcome != Outcome.CANCELLED:
            self.witness.record_attempt(
                end.server,
                succeeded=end.outcome == Outcome.OK,
                rejected=end.outcome == Outcome.REJECTED,
            )

    def on_list_update(self, update: ListUpdate) -> None:
        """Takes the zone of each server from the endpoint list."""
        zones = self.witness.zones
        for line in update.lines:
            if line.state == EndpointState.GONE:
                zones.pop(line.id, None)
            else:
                zones[line.id] = line.zone

    # ---- changes of the node's own --------------------------------------------------------------------

    def on_change_requested(
        self, change: Change, scope: str, then: AnswerCallback
    ) -> None:
        """The node, or a feature, wants to change something; answered in ten seconds at most."""
        self.node_changes.request(change, scope, then)

    def on_change_made(
        self, change: Change, scope: str, grant: tuple[int, int] | None
    ) -> None:
        """The node has made the change: its grant is given back."""
        self.node_changes.finish(change, scope)

    def log_event(self, event: FreezeEvent) -> None:
        """Logs an event of the machine."""
        self.host.log_event(
            f"freeze {event.name}",
            term=event.term,
            reason=event.reason,
            **event.fields,
        )

    # ---- operators ------------------------------------------------------------------------------------

    def commands(self) -> dict[str, Callable[[dict[str, str]], CallResult]]:
        """What operators may do, at any node."""
        return self.operator_calls.by_path()

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """`/admin/freeze`: well while a coordinator has been heard lately."""
        return {"/admin/freeze": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """Who coordinates, what is open, what is being changed and what waits."""
        now = self.host.now()
        silence_s = freeze_page.silence_s(self.machine.client, now)
        patience_s = 2 * self.rules.election.lease_us / 1e6 + REVIEW_INTERVAL_S
        is_well = silence_s is not None and silence_s < patience_s
        return is_well, freeze_page.page(self.machine, now, self.store_error)

    def metrics(self) -> dict[str, Any]:
        """Counts for the node's figures."""
        return freeze_page.figures(self.machine, self.counters)
