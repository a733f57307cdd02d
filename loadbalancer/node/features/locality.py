"""Feature `[locality]`: exchanges zone reports in the members' records and passes the agreed state on.

The decisions are made in `loadbalancer.locality`; this module provides the clock, the timer, the records and
the mapping between zone names and numbers. The agreed state goes to the zone failover policy, which belongs
to the zone feature (`node/features/traffic_policies.py`) and decides on this node's observations alone while
it has no agreed view. The module is imported only where the operator configuration has `[locality]`.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loadbalancer.config.operator_config import OperatorConfig
from loadbalancer.locality.agreed_zone_failover import AgreedView, AgreedZoneFailover
from loadbalancer.locality.agreement import (
    FIRST_RETURN_STEP,
    AgreedZone,
    Members,
    StateChange,
    ZoneAgreement,
    region_state,
)
from loadbalancer.locality.evidence import EvidenceCollector
from loadbalancer.locality.messages import (
    FULL_LEVEL,
    KIND,
    LoadReport,
    ZoneState,
    decode,
    encode,
)
from loadbalancer.membership.messages import MemberState
from loadbalancer.node.features.core_feature import CoreFeature
from loadbalancer.node.features.feature import AttemptEnd, FeatureError, ListUpdate
from loadbalancer.policy.api import EndpointState
from loadbalancer.records.interface import Records

if TYPE_CHECKING:
    from loadbalancer.cells.member_count import MemberCount

ROUND_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class DecodedReport:
    """A decoded record, cached until its body changes.

    Attributes:
        body: The record's body.
        report: The report in it; None if the body is malformed.
    """

    body: bytes
    report: LoadReport | None


class LocalityFeature(CoreFeature):
    """Takes part in the nodes' agreement on the state of zones, and applies the agreed state.

    Attributes:
        agreement: The agreed state of each zone, as this node knows it.
        evidence: This node's own observations of the zones.
        changes: Changes of a zone's agreed state since the start.
    """

    name = "locality"
    needs_peers = True

    def on_start(self) -> None:
        """Reads the configuration and runs the first round."""
        self.timer: asyncio.TimerHandle | None = None
        self.records: Records | None = None
        self.evidence = EvidenceCollector()
        self.zone_of: dict[str, str] = {}  # zone by endpoint name
        self.objectives_us: dict[str, int] = {}  # latency objective by class name
        self.table: object = None  # the class table that `objectives_us` was read from
        self.regions: dict[str, ZoneState] = {}  # state by region, as last logged
        self.changes = 0
        self.decoded: dict[str, DecodedReport] = {}  # by the record's owner
        self._apply_config(self.host.operator_config())
        self.run_round()

    def _apply_config(self, operation: OperatorConfig) -> None:
        """Reads the operator configuration and creates an agreement with its rules."""
        config, zones, membership = (
            operation.locality,
            operation.zones,
            operation.membership,
        )
        assert config is not None
        assert zones is not None
        assert membership is not None
        self.config, self.membership = config, membership
        rules = config.rules(zones)
        self.agreement = ZoneAgreement(self.host.name, rules)

    def reload(self, operation: OperatorConfig) -> None:
        """Applies a new operator configuration; the agreed state of the zones is kept."""
        before = self.agreement
        self._apply_config(operation)
        self.agreement.zones = before.zones
        self.agreement.loads = before.loads
        self.agreement.last_round_us = before.last_round_us

    def stop(self, graceful: bool) -> None:
        """Stops the rounds; the failover policy decides on this node's observations alone again."""
        if self.timer is not None:
            self.timer.cancel()
        policy = self.node.balancer.zones.policy
        if isinstance(policy, AgreedZoneFailover) and not self.host.ending:
            policy.view = None

    # ---- events from the node -------------------------------------------------------------------------

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """Adds a finished attempt to the evidence; it is late if it missed its class's latency objective."""
        if self.table is not self.node.table:
            self.table = self.node.table
            classes = zip(
                self.node.table.names, self.node.settings.classes, strict=False
            )
            self.objectives_us = {name: c.latency_objective for name, c in classes}
        late = end.ended_at_us - end.started_at_us > self.objectives_us.get(
            end.class_name, end.ended_at_us
        )
        zone = self.zone_of.get(end.server, "")
        self.evidence.record_attempt(zone, end.outcome, late=late)

    def on_list_update(self, update: ListUpdate) -> None:
        """Updates the map from endpoints to zones."""
        for line in update.lines:
            if line.state == EndpointState.GONE:
                self.zone_of.pop(line.id, None)
            else:
                self.zone_of[line.id] = line.zone

    # ---- the agreed state -----------------------------------------------------------------------------

    def run_round(self) -> None:
        """Publishes this node's report and applies the agreed state; runs every `ROUND_INTERVAL_S`."""
        self.timer = self.node.loop.call_later(ROUND_INTERVAL_S, self.run_round)
        policy = self.node.balancer.zones.policy
        members = self.host.members
        if not isinstance(policy, AgreedZoneFailover) or members is None:
            return
        if self.records is None:
            try:
                self.records = self.host.records()
            except FeatureError:
                return  # the membership has not started yet
        own = self.own_report(policy)
        reports = self.received_reports(self.records)
        census = members.census() if members.layout is not None else None
        known: Collection[str]
        if census is None:
            known = {m.name for m in members.view() if m.state != MemberState.LEFT}
        else:
            known = census.known
        report, changes = self.agreement.tick(
            self.host.now(),
            own,
            reports,
            Members(known, set(self.host.cell_members())),
            self.zones_awaiting_approval(policy),
        )
        for change in changes:
            self.log_change(change)
        self.records.put(KIND, encode(report))
        policy.view = self.view(policy, len(known), census)

    def own_report(self, policy: AgreedZoneFailover) -> LoadReport:
        """Returns this node's report: its zone, its load and its evidence on every zone."""
        names = {number: name for name, number in self.node.zones.items()}
        unhealthy = {
            names[zone]: ratio
            for zone, ratio in policy.observed_unhealthy.items()
            if zone in names
        }
        seen = self.evidence.report(self.host.now(), unhealthy, policy.load)
        return LoadReport(self.host.zone(), self.evidence.load, seen)

    def received_reports(self, records: Records) -> dict[str, LoadReport]:
        """Returns the reports in the members' records that are not stale; each record is decoded once."""
        reports = {}
        for record in records.of(KIND):
            decoded = self.decoded.get(record.owner)
            if decoded is None or decoded.body is not record.body:
                decoded = DecodedReport(record.body, decode(record.body))
                self.decoded[record.owner] = decoded
            if decoded.report is not None and not record.stale:
                reports[record.owner] = decoded.report
        if len(self.decoded) > 2 * len(reports) + 16:
            self.decoded.clear()  # bounds the cache, which still holds members that have left
        return reports

    def zones_awaiting_approval(self, policy: AgreedZoneFailover) -> set[str]:
        """Returns the zones whose return waits for approval.

        A zone returns without approval if another zone has failed and is not about to return, because its
        capacity is needed.
        """
        awaiting = set()
        for name, zone in self.agreement.zones.items():
            number = self.node.zones.get(name)
            tracked_zone = policy.zones.get(number) if number is not None else None
            if number is None or tracked_zone is None or tracked_zone.lost:
                continue  # the policy itself handles a zone without endpoints
            is_due = zone.state == ZoneState.FAILED and zone.due == FIRST_RETURN_STEP
            is_held = (
                is_due
                and policy.approval_required
                and number not in policy.approved_returns
            )
            if is_held and not self._has_other_failed_zone(zone):
                policy.awaiting_approval.setdefault(
                    number, tracked_zone.usable_endpoints
                )
                awaiting.add(name)
            else:
                policy.awaiting_approval.pop(number, None)
                if not is_due:
                    policy.approved_returns.discard(number)
        return awaiting

    def _has_other_failed_zone(self, zone: AgreedZone) -> bool:
        """Returns whether another zone has failed and is not about to return."""
        return any(
            other.state == ZoneState.FAILED and other.due is None
            for other in self.agreement.zones.values()
            if other is not zone
        )

    def view(
        self, policy: AgreedZoneFailover, nodes: int, census: MemberCount | None
    ) -> AgreedView:
        """Returns the agreed state, keyed by the zone numbers that the policy uses.

        With cells, the load of zones is extrapolated from the cell's nodes to the complete fleet, and the
        capacity of a zone is divided among the nodes of the fleet.

        Args:
            policy: The failover policy that the view is for.
            nodes: Number of known members, used without cells.
            census: The members counted by cells; None without cells.
        """
        agreement, numbers = self.agreement, self.node.zones
        load = agreement.load_by_zone()
        by_number = {name: number for name, number in numbers.items() if name}
        outside = None
        if agreement.minority:
            outside = {
                number: agreement.load_outside(name)
                for name, number in by_number.items()
            }
        if census is not None:
            reporters = Counter(report.zone for report in agreement.received.values())
            load = census.extrapolate(load, reporters)
            if outside is not None:
                outside = {
                    n: calls * census.fleet_ratio for n, calls in outside.items()
                }
            nodes = census.fleet
        capacities = self.config.zone_requests_per_s
        spills = self.config.zone_spill_percent
        return AgreedView(
            health={
                number: agreement.zones[name].applied_level / FULL_LEVEL
                for name, number in by_number.items()
                if name in agreement.zones
            },
            load={number: load.get(name, 0.0) for name, number in by_number.items()},
            regions={n: self.membership.region(name) for name, n in by_number.items()},
            nodes=nodes,
            load_outside=outside,
            capacity={numbers[z]: r for z, r in capacities.items() if z in numbers},
            spill={numbers[z]: p / 100 for z, p in spills.items() if z in numbers},
            trial_ratio=self.config.trial_percent / 100,
        )

    def log_change(self, change: StateChange) -> None:
        """Logs a change of a zone's agreed state, and changes of regions that result from it."""
        self.changes += 1
        self.host.log_event(
            "locality zone changed",
            zone=change.zone,
            old=change.old.name.lower(),
            new=change.new.name.lower(),
            in_use=change.level / FULL_LEVEL,
            epoch=change.epoch,
            reason=change.reason,
        )
        for region, state in self.region_states().items():
            old = self.regions.get(region, ZoneState.HEALTHY)
            if state != old:
                self.regions[region] = state
                self.host.log_event(
                    "locality region changed",
                    region=region,
                    old=old.name.lower(),
                    new=state.name.lower(),
                )

    def region_states(self) -> dict[str, ZoneState]:
        """Returns the state of each region that has a zone."""
        zones = self.agreement.zones
        found = {}
        for region, names in self.membership.regions.items():
            known = [zones[name] for name in names if name in zones]
            if known:
                found[region] = region_state(known)
        return found

    # ---- for operators --------------------------------------------------------------------------------

    def metrics(self) -> dict[str, Any]:
        """Returns the table `locality` of `/admin/stats`."""
        zones = self.agreement.zones.values()
        return {
            "changes": self.changes,
            "heard": len(self.agreement.received),
            "minority": self.agreement.minority,
            "not_healthy": sum(zone.state != ZoneState.HEALTHY for zone in zones),
        }

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """Returns `/admin/zones`: healthy while all zones are, and reports of most nodes arrive."""
        return {"/admin/zones": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """Returns each zone's agreed state, its age in seconds, and the reports of it by node."""
        agreement, policy = self.agreement, self.node.balancer.zones.policy
        zones = sorted(agreement.zones.items())
        regions = self.region_states()
        table = {
            "zone": self.host.zone(),
            "heard": len(agreement.received),
            "minority": agreement.minority,
            "panic": isinstance(policy, AgreedZoneFailover) and policy.panic,
            "regions": {name: state.name.lower() for name, state in regions.items()},
            "zones": {name: self._zone_row(name, zone) for name, zone in zones},
        }
        is_healthy = not agreement.minority and all(
            zone.state == ZoneState.HEALTHY for _, zone in zones
        )
        return is_healthy, table

    def _zone_row(self, name: str, zone: AgreedZone) -> dict[str, Any]:
        reports = {
            node: report.zones[name]
            for node, report in sorted(self.agreement.received.items())
            if name in report.zones
        }
        due = None
        if zone.due:
            due = [ZoneState(zone.due.state).name.lower(), zone.due.level / FULL_LEVEL]
        return {
            "region": self.membership.region(name) or None,
            "state": zone.state.name.lower(),
            "in_use": round(zone.applied_level / FULL_LEVEL, 3),
            "level": zone.level / FULL_LEVEL,
            "epoch": zone.epoch,
            "since_s_ago": round((self.host.now() - zone.since_us) / 1e6, 1),
            "relapses": zone.relapses,
            "due": due,
            "seen_by": {
                node: {
                    "lost_quarters": report.lost_quarters,
                    "slow_quarters": report.slow_quarters,
                }
                for node, report in reports.items()
                if report.lost_quarters >= 0
            },
            "held_by_others": sum(
                report.status == zone.status
                for node, report in reports.items()
                if node != self.agreement.name
            ),
        }
