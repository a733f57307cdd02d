"""Feature `[freeze]`: runs the state machine of the change freeze, with its channel and its stored record.

The package `loadbalancer.freeze` makes the decisions. This module supplies the clock, one timer, the channel
on the membership's port, the store, the members' records and the operators' calls. It is imported only where
the operator configuration has the table `[freeze]`.

An elector's record is written in a separate thread. Messages that must not be sent before the record is
stored wait for the write; heartbeats and leases do not. If the store cannot be written, the elector is
removed; it starts again from the content of the store once that is available.
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

CHANNEL_TAG = 4  # tag of the channel to other nodes' freeze features
STORE_RETRY_S = 1.0  # between two attempts to start again after an error of the store
# Between two reviews of the channel, the evidence and this node's health.
REVIEW_INTERVAL_S = 1.0


class FreezeFeature(Feature):
    """`[freeze]`: asks the fleet's coordinator for approval of changes, and takes part in its election.

    Attributes:
        host: The services of the node.
        machine: The pure state machine of this node.
        table: The `[freeze]` table in force.
        rules: The rules of the state machine.
        evidence_rules: The rules for incidents that the coordinator opens from fault reports.
        witness: Collects this node's fault report.
        store: Writes the elector's record.
        evidence: Evaluates the members' fault reports; None while this node does not coordinate.
        channel: The channel to other nodes; None without a membership.
        records: The members' records; None without a membership.
        operator_calls: The calls of operators at this node.
        counters: The counters of this feature.
        node_changes: The node's own requests.
        store_error: The error of the store; empty if there is none.
        stopped: Whether the feature has stopped.
        inbox: Datagrams received since the machine last ran.
        run_scheduled: Whether `run_machine` is scheduled on the event loop.
        timer: Timer of the machine's next deadline.
        timer_due_at: Time at which `timer` is due, in monotonic microseconds.
        review_timer: Timer of the next review.
        endpoint_list: The version of the endpoint list that the node acts on.
        term: The coordinator's term that the node acts on.
    """

    name = "freeze"
    tag = CHANNEL_TAG
    needs_peers = True

    def __init__(self) -> None:
        # These are None until `start`.
        self.host: FeatureHost = None  # type: ignore[assignment]
        self.machine: FreezeNode = None  # type: ignore[assignment]
        self.table: FreezeTable = None  # type: ignore[assignment]
        self.rules: FreezeRules = None  # type: ignore[assignment]
        self.evidence_rules: EvidenceRules = None  # type: ignore[assignment]
        self.witness: FaultWitness = None  # type: ignore[assignment]
        self.store: ElectorStore = None  # type: ignore[assignment]
        self.evidence: EvidenceEvaluator | None = None
        self.channel: Transport | None = None
        self.records: Records | None = None
        self.operator_calls = OperatorCalls(self)
        self.counters = freeze_page.HostCounters()
        self.node_changes = NodeChanges(self, self.operator_calls, self.counters)
        self.store_error = ""
        self.stopped = False
        # Datagrams that arrive in one turn of the event loop are processed together.
        self.inbox: list[bytes] = []
        self.run_scheduled = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_at = 0
        self.review_timer: asyncio.TimerHandle | None = None
        self.endpoint_list = EndpointListVersion()
        self.term = 0

    # ---- lifecycle ------------------------------------------------------------------------------------

    def start(self, host: FeatureHost) -> None:
        """Starts the feature; the membership may become available later.

        Raises:
            LoadBalancerError: The store cannot be opened.
        """
        self.host = host
        self.node_changes.incarnation = f"{host.now() & 0xFFFFFFF:x}"
        self.store = ElectorStore(host, self.counters, self.on_stored, self.fail)
        self.apply_rules(host.operator_config())
        self.witness = FaultWitness(self.evidence_rules)
        self.start_machine(None)
        self.look()

    def apply_rules(self, operator_config: OperatorConfig) -> None:
        """Applies the rules of an operator configuration."""
        table = operator_config.freeze
        assert table is not None
        regions = {}
        if operator_config.membership is not None:
            regions = {
                zone: region
                for region, zones in operator_config.membership.regions.items()
                for zone in zones
            }
        self.table = table
        self.rules = table.rules(regions)
        self.evidence_rules = table.evidence_rules()

    def start_machine(self, previous: FreezeNode | None) -> None:
        """Creates the state machine from the content of the store.

        Args:
            previous: The machine that is replaced, whose requests continue; None at the start.
        """
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
        self.run_machine()

    def read_record(self) -> bytes | None:
        """Reads the elector's record; None if this node is no elector, or the record is missing or corrupt.

        Raises:
            LoadBalancerError: The store cannot be opened.
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
        """Stops the feature; if this node coordinates, its lease expires by itself."""
        self.stopped = True
        for timer in (self.timer, self.review_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.review_timer = None
        self.channel = None
        self.store.close()
        self.host.log_event("freeze stopped")

    def reload(self, operator_config: OperatorConfig) -> None:
        """Applies a new operator configuration.

        If the rules have changed, the machine starts again from the store. As after any start, an elector
        then votes for no candidate for the duration of a lease.
        """
        previous = self.rules
        self.apply_rules(operator_config)
        self.witness.rules = self.evidence_rules
        if self.rules != previous:
            self.start_machine(self.machine)

    def on_members_changed(self) -> None:
        """Updates the machine's list of live members, all of which are notified of incidents."""
        self.machine.set_members(self.host.live_members())

    def on_version(self, version: Version) -> None:
        """Records the versions of the members and of the endpoint list that the node acts on."""
        if version.source is VersionSource.MEMBERS:
            self.node_changes.members_digest = version.digest
        elif version.source is VersionSource.LIST:
            self.endpoint_list = EndpointListVersion(
                version.origin, version.number, version.digest
            )

    # ---- the machine ----------------------------------------------------------------------------------

    def received(self, data: bytes, source: Address) -> None:
        """Queues a datagram; all datagrams of one turn of the event loop are processed with one write."""
        self.inbox.append(data)
        if not self.run_scheduled:
            self.run_scheduled = True
            self.host.loop.call_soon(self.run_machine)

    def run_machine(self) -> None:
        """Runs the machine: processes the queued datagrams, and then the deadlines that are due."""
        self.run_scheduled = False
        if self.stopped:
            return
        inbox, self.inbox = self.inbox, []
        actions: list[Action] = []
        for data in inbox:
            actions += self.machine.receive_batched(self.host.now(), data)
        self.execute([*actions, *self.machine.tick(self.host.now())])

    def execute(self, actions: list[Action]) -> None:
        """Executes actions of the machine: stores and sends, reports events and outcomes, and sets the timer.

        Args:
            actions: The actions, in their order.
        """
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
        """Announces the coordinator's term as a version that the node acts on, if the term has advanced."""
        locator = self.machine.client.locator
        if locator.term > self.term:
            self.term = locator.term
            digest = blake2b(locator.coordinator.encode(), digest_size=8).hexdigest()
            self.host.announce_version(
                Version(VersionSource.TERM, "freeze", self.term, digest)
            )

    def on_stored(self, number: int, ready: list[Send]) -> None:
        """Called when a save has been written.

        Args:
            number: Number of the save.
            ready: The messages that waited for it.
        """
        self.execute([*ready, *self.machine.stored(self.host.now(), number)])

    def fail(self, error: LoadBalancerError) -> None:
        """Handles a store that cannot be written.

        The elector is removed immediately: it must not give a vote that a restart would make it forget.
        """
        self.store.abandon()
        self.machine.elector = self.machine.coordinator = None
        self.store_error = error.line()
        self.host.log_event("freeze store failed", **error.table())
        self.host.loop.call_later(STORE_RETRY_S, self.retry_start)

    def retry_start(self) -> None:
        """Tries to start the machine again after an error of the store."""
        if self.stopped:
            return
        try:
            self.start_machine(self.machine)
        except LoadBalancerError:
            self.host.loop.call_later(STORE_RETRY_S, self.retry_start)

    def send_message(self, send: Send) -> None:
        """Encodes and sends one message."""
        self.send(send.to, encode_datagram(self.host.name, send.message))

    def send(self, to: str, data: bytes) -> None:
        """Sends a datagram to a member; counts it as unsent if there is no channel or address."""
        address = self.host.member_address(to)
        if (
            self.channel is None
            or address is None
            or not self.channel.send(data, address)
        ):
            self.counters.unsent += 1

    def arm_timer(self) -> None:
        """Sets the timer to the machine's next deadline."""
        due_at = self.machine.next_deadline()
        if due_at is None or self.stopped:  # a callback may have stopped the feature
            return
        if self.timer is None or due_at < self.timer_due_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_due_at = due_at
            delay_s = max(0, due_at - self.host.now()) / 1e6
            self.timer = self.host.loop.call_later(delay_s, self.wake)

    def wake(self) -> None:
        """Runs the machine because the timer is due."""
        self.timer = None
        self.run_machine()

    # ---- periodic review, and evidence ----------------------------------------------------------------

    def look(self) -> None:
        """Reviews the channel, the evidence and whether this node is outdated, once per second."""
        self.review_timer = self.host.loop.call_later(REVIEW_INTERVAL_S, self.look)
        try:
            if self.channel is None:
                self.channel = self.host.channel(CHANNEL_TAG, self.received)
            self.records = self.records or self.host.records()
        except LoadBalancerError:
            return  # there is no membership yet
        if self.machine.elector is not None:
            self.machine.elector.vote_guard.disabled = self.is_outdated(self.records)
        if self.table.evidence:
            report = self.witness.report(self.host.now(), self.endpoint_list)
            self.records.put(RECORD_KIND, encode(report))
            self.evaluate_reports(self.records)

    def is_outdated(self, records: Records) -> bool:
        """Returns whether the audit finds this node outdated; False where no audit runs."""
        own = records.get(self.host.name, audit_status.KIND)
        status = audit_status.decode(own.body) if own is not None else None
        return status is not None and (
            status.step > 0
            or status.quarantine is not audit_status.QuarantineState.SERVING
        )

    def evaluate_reports(self, records: Records) -> None:
        """Evaluates the members' fault reports, if this node is the coordinator.

        Args:
            records: The members' records.
        """
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
        self.run_machine()

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """Records the outcome of an attempt for the fault report; cancelled attempts do not count."""
        if self.table.evidence and end.outcome != Outcome.CANCELLED:
            self.witness.record_attempt(
                end.server,
                succeeded=end.outcome == Outcome.OK,
                rejected=end.outcome == Outcome.REJECTED,
            )

    def on_list_update(self, update: ListUpdate) -> None:
        """Records the zone of each server in the endpoint list."""
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
        """Requests approval of a change from the coordinator; `then` is called within ten seconds."""
        self.node_changes.request(change, scope, then)

    def on_change_made(
        self, change: Change, scope: str, grant: tuple[int, int] | None
    ) -> None:
        """Gives back the grant of a change that the node has made."""
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
        """Returns the commands of operators, which any node accepts."""
        return self.operator_calls.by_path()

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """Returns the page `/admin/freeze`; it is healthy if a coordinator was in contact recently."""
        return {"/admin/freeze": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether the freeze is healthy, and its table: coordinator, incidents, changes, requests."""
        now = self.host.now()
        silence_s = freeze_page.silence_s(self.machine.client, now)
        max_silence_s = 2 * self.rules.election.lease_us / 1e6 + REVIEW_INTERVAL_S
        is_healthy = silence_s is not None and silence_s < max_silence_s
        return is_healthy, freeze_page.page(self.machine, now, self.store_error)

    def metrics(self) -> dict[str, Any]:
        """Returns the table of the freeze for `/admin/stats`."""
        return freeze_page.metrics(self.machine, self.counters)
