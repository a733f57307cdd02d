"""Feature `[audit]`: the ledger, the view of the fleet, and the remediation of a node that is outdated.

The package `loadbalancer.audit` makes the decisions. This module supplies the clock, the store's log, the
members' records, the channel to their audits and the calls to other discovery agents. It is imported only
where the operator configuration has the table `[audit]`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loadbalancer.audit import endpoint_transfer
from loadbalancer.audit.fleet_view import (
    OUTDATED_STATES,
    FleetView,
    HealthState,
    ReceivedStatus,
)
from loadbalancer.audit.ledger import Ledger
from loadbalancer.audit.ledger_entries import VersionKey
from loadbalancer.audit.status import VersionId
from loadbalancer.config.operator_config import (
    AuditTable,
    CellsTable,
    OperatorConfig,
)
from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.features import audit_page
from loadbalancer.node.features.audit_context import AuditContext, FleetEvaluator
from loadbalancer.node.features.audit_ledger import LedgerStore
from loadbalancer.node.features.audit_list_adoption import ListAdopter
from loadbalancer.node.features.audit_remediation import RemediationRunner
from loadbalancer.node.features.audit_status_exchange import (
    StatusReceiver,
    StatusReporter,
)
from loadbalancer.node.features.endpoint_lines import EndpointExchange
from loadbalancer.node.features.feature import (
    AttemptEnd,
    Change,
    Feature,
    FeatureHost,
    ListUpdate,
    Version,
    VersionSource,
)
from loadbalancer.records.interface import Records
from loadbalancer.transports.interface import Address

CHANNEL_TAG = 2  # tag of the channel to other nodes' audits
TICK_S = 0.25  # between two observations of the fleet
MEMBERSHIP_RETRY_S = 1.0  # between two attempts to open the records and the channel
# The pause between two writes of the ledger, in multiples of the last write's duration: writes take at most
# about 1/20 of the time.
WRITE_PAUSE_FACTOR = 20
# Minimum time between two recorded versions of the members.
MEMBERS_INTERVAL_US = 1_000_000
# Health states of a member whose start and end are logged.
LOGGED_STATES = OUTDATED_STATES | {HealthState.SILENT}


class AuditFeature(Feature):
    """`[audit]`: tracks which node acts on which version, and remediates this node if it is outdated.

    Attributes:
        host: The services of the node.
        context: The ledger, the fleet evaluator and other state that the audit's modules share.
        receiver: Reads the members' status records.
        reporter: Publishes this node's status record.
        endpoint_exchange: Sends and fetches endpoint lists.
        runner: Carries out remediations.
        records: The members' records; None without a membership.
        timer: Timer of the next observation.
        flush_timer: Timer of the next write of the ledger.
    """

    name = "audit"
    tag = CHANNEL_TAG
    needs_peers = False

    def __init__(self) -> None:
        # These are None until `start`.
        self.host: FeatureHost = None  # type: ignore[assignment]
        self.context: AuditContext = None  # type: ignore[assignment]
        self.receiver: StatusReceiver = None  # type: ignore[assignment]
        self.reporter: StatusReporter = None  # type: ignore[assignment]
        self.endpoint_exchange: EndpointExchange = None  # type: ignore[assignment]
        self.runner: RemediationRunner = None  # type: ignore[assignment]
        self.records: Records | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.flush_timer: asyncio.TimerHandle | None = None
        self._cells: CellsTable | None = None
        self._membership_retry_at_s = 0.0
        self._logged_states: dict[str, HealthState] = {}  # by member

    @property
    def ledger(self) -> Ledger:
        """The node's ledger; it is replaced once the store has been read."""
        return self.context.store.ledger

    @property
    def view(self) -> FleetView | None:
        """The last observation of the fleet; None before the first one."""
        return self.context.evaluator.view

    @property
    def list_version(self) -> VersionId | None:
        """The version of the endpoint list that this node's discovery has reported; None before that."""
        return self.context.endpoints.local.list_version

    # ---- start, reload and stop -----------------------------------------------------------------------

    def start(self, host: FeatureHost) -> None:
        """Starts the audit; the store and the membership may become available later."""
        self.host = host
        operator_config = host.operator_config()
        table, self._cells = _table(operator_config), operator_config.cells
        evaluator = FleetEvaluator(host, table)
        self.context = AuditContext(host, table, LedgerStore(host), evaluator)
        self.receiver = StatusReceiver(host)
        self.reporter = StatusReporter(self.context)
        self.endpoint_exchange = EndpointExchange(host, ListAdopter(self.context).adopt)
        self.runner = RemediationRunner(self.context, self.endpoint_exchange)
        self._open_membership()
        host.log_event(
            "audit started",
            incarnation=self.ledger.state.incarnation,
            log=self.context.store.log_name,
            **self.context.store.restored,
        )
        self.tick()
        self.flush()

    def reload(self, operator_config: OperatorConfig) -> None:
        """Applies a new operator configuration; remediations under way continue, unless `[cells]` changed."""
        previous_numbering = self.context.table.numbering
        if operator_config.cells != self._cells:
            self._leave_cell()
        self._cells = operator_config.cells
        self.context.table = _table(operator_config)
        self.context.evaluator.configure(self.context.table)
        version = self.reporter.versions.get(VersionSource.LIST)
        if self.context.table.numbering != previous_numbering and version is not None:
            self.on_version(version)

    def _leave_cell(self) -> None:
        """Discards what was observed, requested and voted in the previous cell.

        Called for any change of the table `[cells]`, as the node's cell may be another one. The audit
        continues as after a start: it evaluates no member and votes on no quarantine until it has observed
        the new cell.
        """
        if self.runner.quarantined:
            self.runner.rejoin("another cell")
        self.endpoint_exchange.cancel_fetch()
        self.context.evaluator.reset()
        self.receiver.forget()
        self.reporter.forget()  # the old cell's copy of the record has been withdrawn

    def stop(self, graceful: bool) -> None:
        """Stops the audit, and records the orderly end of this incarnation in the ledger."""
        for timer in (self.timer, self.flush_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.flush_timer = None
        self.context.stopped = True
        self.endpoint_exchange.stop()
        self.context.store.close()
        if self.runner.quarantined:
            self.host.set_quarantined(False, "the audit stops")
        state = self.ledger.state
        self.host.log_event(
            "audit stopped", entries=state.entries, chain_head=state.head.hex()[:16]
        )

    # ---- events of the node ---------------------------------------------------------------------------

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """Counts an attempt under the versions that were in force when it started."""
        self.context.store.ledger.count_attempt(end.outcome, end.started_at_us)

    def on_list_update(self, update: ListUpdate) -> None:
        """Records an answer of this node's discovery, even one without changes."""
        self.context.endpoints.on_list_update(update, self.host.now())

    def on_version(self, version: Version) -> None:
        """Records in the ledger that the node acts on a version from now on."""
        now = self.host.now()
        self.reporter.versions[version.source] = version
        origin = version.origin
        if version.source == VersionSource.LIST:
            origin = self.context.table.numbering or origin
            self.context.endpoints.on_version(
                VersionId(origin, version.number, version.digest)
            )
            self.endpoint_exchange.cancel_fetch()
        if version.source == VersionSource.MEMBERS and self._has_recent_members(now):
            return
        key = VersionKey(version.source.value, origin, version.number, version.digest)
        self.ledger.activate(key, now)

    def on_change_made(
        self, change: Change, scope: str, grant: tuple[int, int] | None
    ) -> None:
        """Records in the ledger that the node has made a change, and its fencing token."""
        self.ledger.record_action(change.value, scope, self.host.now(), grant)

    def _has_recent_members(self, now: int) -> bool:
        """Returns whether the last version of the members was recorded less than a second ago.

        Members change in bursts; only one version per second is recorded. Failure prevented: three hundred
        members that start together produce three hundred versions, and the ledger merges the entries of the
        endpoint list to make space for them.
        """
        last = self.ledger.state.in_force.get(VersionSource.MEMBERS.value)
        return last is not None and now - last.activated_at < MEMBERS_INTERVAL_US

    def flush(self) -> None:
        """Writes the ledger, and schedules the next write."""
        store = self.context.store
        store.flush()
        # Failure prevented: with a slow disk, requests wait longer for ledger writes than for servers.
        min_pause_s = WRITE_PAUSE_FACTOR * store.last_write_ms / 1000
        delay_s = max(self.context.table.flush_s, min_pause_s)
        self.flush_timer = self.host.loop.call_later(delay_s, self.flush)

    # ---- the fleet ------------------------------------------------------------------------------------

    def _open_membership(self) -> None:
        """Opens the records and the channel to other audits, once there is a membership."""
        self._membership_retry_at_s = self.host.loop.time() + MEMBERSHIP_RETRY_S
        try:
            self.records = self.host.records()
            if self.endpoint_exchange.channel is None:
                self.endpoint_exchange.channel = self.host.channel(
                    CHANNEL_TAG, self._on_datagram
                )
        except LoadBalancerError:
            self.records = None

    def tick(self) -> None:
        """Observes the fleet, carries out remediations, and publishes this node's changed status."""
        self.timer = self.host.loop.call_later(TICK_S, self.tick)
        if self.records is None:
            if self.host.loop.time() >= self._membership_retry_at_s:
                self._open_membership()
            if self.records is None:
                return
        now, evaluator = self.host.now(), self.context.evaluator
        live = self.host.cell_members()
        statuses = self.receive_statuses(self.records)
        view = evaluator.view = evaluator.observer.observe(now, live, statuses)
        local = self.context.endpoints.local
        for remediation in evaluator.remediator.update(now, view, local):
            self.runner.perform(remediation, now)
        if evaluator.remediator.catch_up.attempt is None:
            self.endpoint_exchange.cancel_fetch()
        self.endpoint_exchange.retry_missing_parts(now)
        self.log_health_changes(view)
        if view.settled:
            # Before that, others use the status of this node's previous incarnation.
            self.publish_status(now)

    def receive_statuses(self, records: Records) -> dict[str, ReceivedStatus]:
        """Returns the members' statuses by member, with this node's as it would publish it now.

        Args:
            records: The members' records.
        """
        statuses = self.receiver.receive(records)
        statuses[self.host.name] = ReceivedStatus(self.reporter.status())
        return statuses

    def publish_status(self, now: int) -> None:
        """Publishes this node's status, if it has changed (`now`: monotonic microseconds)."""
        assert self.records is not None
        self.reporter.publish(now, self.records)

    def log_health_changes(self, view: FleetView) -> None:
        """Logs each member that has become outdated or silent, or that has recovered from it.

        Args:
            view: The latest observation of the fleet.
        """
        states = self._logged_states
        for member, health in view.health.items():
            old, new = states.get(member, HealthState.UNKNOWN), health.state
            states[member] = new
            is_logged = old in LOGGED_STATES or new in LOGGED_STATES
            if old != new and is_logged and view.settled:
                self.host.log_event(
                    "audit health changed",
                    member=member,
                    old=old.value,
                    new=new.value,
                    reason=health.reason,
                )
        for member in states.keys() - view.health.keys():
            del states[member]

    def _on_datagram(self, data: bytes, source: Address) -> None:
        """Handles a datagram of another audit: a hint, a request for the endpoint list, or a part of it."""
        message = endpoint_transfer.decode(data)
        if isinstance(message, endpoint_transfer.OutdatedHint):
            self.runner.on_hint(message.target)
        elif isinstance(message, endpoint_transfer.PartRequest):
            endpoints = self.context.endpoints.endpoints
            self.endpoint_exchange.send_parts(
                message, source, self.list_version, endpoints
            )
        elif isinstance(message, endpoint_transfer.EndpointPart):
            self.endpoint_exchange.on_part(message)

    # ---- operators ------------------------------------------------------------------------------------

    def metrics(self) -> dict[str, Any]:
        """Returns the audit's table for `/admin/stats`."""
        return audit_page.metrics(self.context, self.endpoint_exchange.parts_sent)

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """Returns the page `/admin/audit`; it is healthy while the ledger can be written."""
        return {"/admin/audit": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether the ledger can be written, and the table of the ledger and the fleet."""
        table = audit_page.page(self.context, self.host.now())
        return not self.context.store.error, table


def _table(operator_config: OperatorConfig) -> AuditTable:
    """Returns the `[audit]` table; the feature runs only where the operator configuration has it."""
    assert operator_config.audit is not None
    return operator_config.audit
