"""Hosts the agreement on zones: reports out and in by the members' records, a view to the zone judge.

`loadbalancer.locality` decides; the clock, the timer, the records and the names are here. The judge belongs
to the feature of the zones (`node/features/traffic_policies.py`) and goes by itself while there is no view.
Imported only where the operator configuration has `[locality]`.
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
    """A record's body with the report in it; None if it is not well formed."""

    body: bytes
    report: LoadReport | None


class LocalityFeature(CoreFeature):
    """`[locality]`: the state of zones that the nodes agree on."""

    name = "locality"
    needs_peers = True

    def on_start(self) -> None:
        """Starts the rounds."""
        self.timer: asyncio.TimerHandle | None = None
        self.records: Records | None = None
        self.evidence = EvidenceCollector()
        self.zone_of: dict[str, str] = {}  # by endpoint
        self.objectives_us: dict[str, int] = {}  # latency objectives by class
        self.table: object = None  # the class table that the objectives are of
        self.regions: dict[str, ZoneState] = {}  # as last logged
        self.changes = 0
        self.decoded: dict[str, DecodedReport] = {}  # by owner
        self.take(self.host.operator_config())
        self.run_round()

    def take(self, operation: OperatorConfig) -> None:
        """Reads the operator configuration and starts an agreement by its rules."""
        wish, zones, membership = (
            operation.locality,
            operation.zones,
            operation.membership,
        )
        assert wish is not None
        assert zones is not None
        assert membership is not None
        self.wish, self.membership = wish, membership
        rules = wish.rules(zones)
        self.agreement = ZoneAgreement(self.host.name, rules)

    def reload(self, operation: OperatorConfig) -> None:
        """Takes over a new operator configuration; what is agreed stays."""
        before = self.agreement
        self.take(operation)
        self.agreement.zones = before.zones
        self.agreement.loads = before.loads
        self.agreement.last_round_us = before.last_round_us

    def stop(self, graceful: bool) -> None:
        """Ends; the judge goes by itself again."""
        if self.timer is not None:
            self.timer.cancel()
        judge = self.node.balancer.zones.policy
        if isinstance(judge, AgreedZoneFailover) and not self.host.ending:
            judge.view = None

    # ---- what the node tells --------------------------------------------------------------------------

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """An attempt, for the evidence."""
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
        """In which zone each server lies."""
        for line in update.lines:
            if line.state == EndpointState.GONE:
                self.zone_of.pop(line.id, None)
            else:
                self.zone_of[line.id] = line.zone

    # ---- the common state -----------------------------------------------------------------------------

    def run_round(self) -> None:
        """Reports what this node sees, and follows what is agreed."""
        self.timer = self.node.loop.call_later(ROUND_INTERVAL_S, self.run_round)
        judge = self.node.balancer.zones.policy
        members = self.host.members
        if not isinstance(judge, AgreedZoneFailover) or members is None:
            return
        if self.records is None:
            try:
                self.records = self.host.records()
            except FeatureError:
                return  # there is no membership yet
        own = self.own_report(judge)
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
            self.held_back(judge),
        )
        for change in changes:
            self.log_change(change)
        self.records.put(KIND, encode(report))
        judge.view = self.view(judge, len(known), census)

    def own_report(self, judge: AgreedZoneFailover) -> LoadReport:
        """This node's evidence."""
        names = {number: name for name, number in self.node.zones.items()}
        unwell = {
            names[zone]: part
            for zone, part in judge.observed_unhealthy.items()
            if zone in names
        }
        seen = self.evidence.report(self.host.now(), unwell, judge.load)
        return LoadReport(self.host.zone(), self.evidence.load, seen)

    def received_reports(self, records: Records) -> dict[str, LoadReport]:
        """The reports of all members that are not stale; each record is decoded once."""
        reports = {}
        for record in records.of(KIND):
            decoded = self.decoded.get(record.owner)
            if decoded is None or decoded.body is not record.body:
                decoded = DecodedReport(record.body, decode(record.body))
                self.decoded[record.owner] = decoded
            if decoded.report is not None and not record.stale:
                reports[record.owner] = decoded.report
        if len(self.decoded) > 2 * len(reports) + 16:
            self.decoded.clear()  # of members that have gone
        return reports

    def held_back(self, judge: AgreedZoneFailover) -> set[str]:
        """Zones whose return waits for its approval; one that another zone needs waits for nobody."""
        waiting = set()
        for name, zone in self.agreement.zones.items():
            number = self.node.zones.get(name)
            judged = judge.zones.get(number) if number is not None else None
            if number is None or judged is None or judged.lost:
                continue  # the judge itself sees to a zone whose endpoints have gone
            is_due = zone.state == ZoneState.FAILED and zone.due == FIRST_RETURN_STEP
            is_held = (
                is_due
                and judge.approval_required
                and number not in judge.approved_returns
            )
            if is_held and not self._has_other_failed_zone(zone):
                judge.awaiting_approval.setdefault(number, judged.usable_endpoints)
                waiting.add(name)
            else:
                judge.awaiting_approval.pop(number, None)
                if not is_due:
                    judge.approved_returns.discard(number)
        return waiting

    def _has_other_failed_zone(self, zone: AgreedZone) -> bool:
        """Whether another zone has failed and is not about to return."""
        return any(
            other.state == ZoneState.FAILED and other.due is None
            for other in self.agreement.zones.values()
            if other is not zone
        )

    def view(
        self, judge: AgreedZoneFailover, nodes: int, census: MemberCount | None
    ) -> AgreedView:
        """Returns the agreed state in the judge's numbers.

        With cells the load of zones is extrapolated from the cell's nodes to the whole fleet, and the nodes
        that divide the capacity are the fleet's.
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
            heard = Counter(report.zone for report in agreement.received.values())
            load = census.extrapolate(load, heard)
            if outside is not None:
                outside = {
                    n: calls * census.fleet_ratio for n, calls in outside.items()
                }
            nodes = census.fleet
        capacities = self.wish.zone_requests_per_s
        spills = self.wish.zone_spill_percent
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
            trial_ratio=self.wish.trial_percent / 100,
        )

    def log_change(self, change: StateChange) -> None:
        """Logs a change of a zone, and of its region with it."""
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
        """In `/admin/stats`, under `locality`."""
        zones = self.agreement.zones.values()
        return {
            "changes": self.changes,
            "heard": len(self.agreement.received),
            "minority": self.agreement.minority,
            "not_healthy": sum(zone.state != ZoneState.HEALTHY for zone in zones),
        }

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """`/admin/zones`: well while all zones are healthy and most nodes are heard."""
        return {"/admin/zones": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """Each zone's agreed state, who sees what of it, and since when, in seconds ago."""
        agreement, judge = self.agreement, self.node.balancer.zones.policy
        zones = sorted(agreement.zones.items())
        regions = self.region_states()
        table = {
            "zone": self.host.zone(),
            "heard": len(agreement.received),
            "minority": agreement.minority,
            "panic": isinstance(judge, AgreedZoneFailover) and judge.panic,
            "regions": {name: state.name.lower() for name, state in regions.items()},
            "zones": {name: self._zone_row(name, zone) for name, zone in zones},
        }
        is_well = not agreement.minority and all(
            zone.state == ZoneState.HEALTHY for _, zone in zones
        )
        return is_well, table

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
