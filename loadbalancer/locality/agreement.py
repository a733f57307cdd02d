"""The state of each zone that the nodes agree on: healthy, degraded, failed or returning.

Each node combines the reports of the live members and decides which change is due (`_due_change`): a zone
fails when a majority of the nodes that observe it report it as failing; only its own nodes are counted where
two of them observe it. The node proposes the change in its own report, and makes it once more than half of
the reporting nodes propose it or have made it. So a single node's report changes nothing, and a return
advances when most nodes are ready, not by each node's clock. The sides of a partition decide on their own and
adopt the larger side's state afterwards; the fraction of a zone that is in use still grows slowly, so that
the sides merge without a jump in load.

Pure: no I/O, times in microseconds from outside.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from loadbalancer.locality.messages import (
    FULL_LEVEL,
    UNOBSERVED,
    LoadReport,
    ZoneReport,
    ZoneState,
    ZoneStatus,
)
from loadbalancer.locality.rules import (
    DEGRADED_HEALTHY_RATIO,
    MAX_DIVERGENCE_US,
    MAX_RELAPSE_DOUBLINGS,
    MIN_RETURN_HEALTHY_RATIO,
    QUARTERS,
    RETURN_LEVELS,
    AgreementRules,
)

HEALTHY = ZoneStatus(ZoneState.HEALTHY, FULL_LEVEL)
FAILED = ZoneStatus(ZoneState.FAILED, 0)
FIRST_RETURN_STEP = ZoneStatus(ZoneState.RETURNING, RETURN_LEVELS[0])


@dataclass(frozen=True, slots=True)
class Members:
    """The members of the fleet, by name, as the membership reports them.

    Attributes:
        known: All members that have not left, including dead ones.
        live: The live members.
    """

    known: Collection[str]
    live: Collection[str]


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a zone's agreed state at this node.

    Attributes:
        zone: The zone.
        old: The state before.
        new: The state from now on.
        level: The new level, in eighths.
        epoch: Changes of the zone so far, including this one.
        reason: The reason, as text for the log.
    """

    zone: str
    old: ZoneState
    new: ZoneState
    level: int
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True)
class DueChange:
    """The change that the evidence calls for.

    Attributes:
        status: The new status; None if no change is due.
        dwell_us: How long the change must be due before it is proposed, in microseconds.
    """

    status: ZoneStatus | None
    dwell_us: int = 0


@dataclass(slots=True)
class AgreedZone:
    """The state of one zone as this node holds it; times in microseconds.

    Attributes:
        name: The zone.
        epoch: Changes so far.
        state: The agreed state.
        level: Eighths of the zone that may be in use.
        applied_level: Eighths that are in use; falls with `level` at once, and grows to it slowly, by a
            quarter of the zone in each `AgreementRules.return_step_us`.
        since_us: When the state was adopted.
        worsened_at_us: When the zone last changed for the worse; None if it never has.
        relapses: Changes for the worse that each followed soon on another one.
        due: The status that the evidence calls for; None if no change is due.
        due_since_us: Since when `due` has been the same.
        proposal: The due status, once it has been due for its dwell time.
        diverging_since_us: Since when most others have held another status; 0 if they do not.
        observer_count: Nodes that observe the zone.
        failing_count: Observers that report the zone as failing.
        impaired_count: Observers that report any fraction of the zone as lost or slow.
        healthy_ratio: The ratio of healthy attempts, averaged over all observers; a slow one counts half.
    """

    name: str
    epoch: int = 0
    state: ZoneState = ZoneState.HEALTHY
    level: int = FULL_LEVEL
    applied_level: float = FULL_LEVEL
    since_us: int = 0
    worsened_at_us: int | None = None
    relapses: int = 0
    due: ZoneStatus | None = None
    due_since_us: int = 0
    proposal: ZoneStatus | None = None
    diverging_since_us: int = 0
    observer_count: int = 0
    failing_count: int = 0
    impaired_count: int = 0
    healthy_ratio: float = 1.0

    @property
    def status(self) -> ZoneStatus:
        """The state and level."""
        return ZoneStatus(int(self.state), self.level)

    def evaluate(self, reports: Collection[ZoneReport], failing_ratio: float) -> None:
        """Combines the reports of the nodes whose evidence counts.

        Args:
            reports: Their reports on this zone.
            failing_ratio: The ratio of lost attempts from which a node reports the zone as failing.
        """
        self.observer_count = len(reports)
        failing_quarters = QUARTERS * failing_ratio
        self.failing_count = sum(r.lost_quarters >= failing_quarters for r in reports)
        self.impaired_count = sum(
            r.lost_quarters + r.slow_quarters > 0 for r in reports
        )
        unhealthy = sum(
            min(1.0, (r.lost_quarters + r.slow_quarters / 2) / QUARTERS)
            for r in reports
        )
        self.healthy_ratio = 1 - unhealthy / len(reports) if reports else 1.0


@dataclass
class ZoneAgreement:
    """One node's side of the agreement on all zones.

    Attributes:
        name: This node's name.
        rules: Thresholds and times.
        zones: The agreed state by zone.
        loads: The last report of each known node, by node; its zone and load are used.
        minority: Whether this node reaches no more than half of the known nodes.
        received: The reports of the last round, by node; this node's own is one of them.
        last_round_us: Time of the last round, in microseconds.
    """

    name: str
    rules: AgreementRules
    zones: dict[str, AgreedZone] = field(default_factory=dict)
    loads: dict[str, LoadReport] = field(default_factory=dict)
    minority: bool = False
    received: dict[str, LoadReport] = field(default_factory=dict)
    last_round_us: int = 0

    def tick(
        self,
        now: int,
        own: LoadReport,
        reports: Mapping[str, LoadReport],
        members: Members,
        held_back: Collection[str] = (),
    ) -> tuple[LoadReport, list[StateChange]]:
        """Runs a round: evaluates all reports, and makes the changes that a majority supports.

        Args:
            now: The present time, in microseconds.
            own: This node's evidence.
            reports: The reports of other nodes, by node; those of members that are not live are ignored.
            members: The known and the live members.
            held_back: Failed zones that must not start to return yet.

        Returns:
            The report that this node sends from now on, and the changes made.
        """
        elapsed, self.last_round_us = (
            now - self.last_round_us if self.last_round_us else 0,
            now,
        )
        self.received = {name: r for name, r in reports.items() if name in members.live}
        self.received[self.name] = own
        self.loads.update(self.received)
        for name in self.loads.keys() - set(members.known) - {self.name}:
            del self.loads[name]
        known, live = len(members.known), len(members.live)
        self.minority = known > 1 and 2 * live <= known
        names = {name for report in self.received.values() for name in report.zones}
        changes: list[StateChange] = []
        for name in sorted(names | self.zones.keys()):
            zone = self.zones.get(name)
            if zone is None:
                zone = self.zones[name] = AgreedZone(name, since_us=now)
            zone.evaluate(self._counting_reports(name), self.rules.failing_ratio)
            self._propose(now, zone, held_back=name in held_back)
            change = self._apply_majority(now, zone)
            if change is not None:
                changes.append(change)
            rise = elapsed * FULL_LEVEL / (4 * self.rules.return_step_us)
            zone.applied_level = min(float(zone.level), zone.applied_level + rise)
        return self._report(own), changes

    def _report(self, own: LoadReport) -> LoadReport:
        """Returns this node's report: its evidence, the states that it holds, and its proposals."""
        zones = {}
        for name, zone in self.zones.items():
            evidence = own.zones.get(name, ZoneReport())
            zones[name] = ZoneReport(
                evidence.lost_quarters,
                evidence.slow_quarters,
                zone.epoch,
                zone.state,
                zone.level,
                zone.proposal,
            )
        return LoadReport(own.zone, own.load, zones)

    # ---- which change is due ------------------------------------------------------------------------------

    def _counting_reports(self, name: str) -> list[ZoneReport]:
        """Returns the reports of a zone's own nodes where two of them observe it, else of all observers.

        Otherwise a link failure that only other zones observe would fail a zone for its own nodes, which can
        still reach it.
        """
        observed: list[ZoneReport] = []
        local: list[ZoneReport] = []
        for node_report in self.received.values():
            report = node_report.zones.get(name)
            if report is None or report.lost_quarters == UNOBSERVED:
                continue
            observed.append(report)
            if node_report.zone == name:
                local.append(report)
        return local if len(local) > 1 else observed

    def _due_change(self, zone: AgreedZone) -> DueChange:
        """Returns the change that the evidence calls for, and its dwell time."""
        quorum = 1 if self.minority else min(2, len(self.received))
        has_quorum = zone.observer_count >= quorum
        if has_quorum and 2 * zone.failing_count > zone.observer_count:
            is_failed = zone.state == ZoneState.FAILED
            return DueChange(
                None if is_failed else FAILED, self.rules.worsening_dwell_us
            )
        impaired = (
            zone.impaired_count >= quorum
            and 3 * zone.impaired_count > zone.observer_count
            and zone.healthy_ratio < DEGRADED_HEALTHY_RATIO
        )
        dwell_us = self.rules.return_dwell_us << min(
            zone.relapses, MAX_RELAPSE_DOUBLINGS
        )
        if zone.state == ZoneState.FAILED:
            return DueChange(FIRST_RETURN_STEP, dwell_us)
        if zone.state == ZoneState.RETURNING:
            return self._due_return_step(zone, impaired=impaired)
        # A degraded zone keeps 2, 4 or 6 eighths, by its healthy ratio.
        level = max(2, min(6, 2 * round(4 * zone.healthy_ratio)))
        if impaired and level < zone.level:
            return DueChange(
                ZoneStatus(ZoneState.DEGRADED, level), self.rules.worsening_dwell_us
            )
        if zone.state == ZoneState.DEGRADED and (not impaired or level > zone.level):
            improved = ZoneStatus(ZoneState.DEGRADED, zone.level + 2)
            return DueChange(
                improved if improved.level < FULL_LEVEL else HEALTHY, dwell_us
            )
        return DueChange(None)

    def _due_return_step(self, zone: AgreedZone, *, impaired: bool) -> DueChange:
        """Returns the next step of a return: up while the zone is not impaired.

        While it is impaired, the step is down if its healthy ratio is below `MIN_RETURN_HEALTHY_RATIO`; else
        no step is due.
        """
        if impaired:
            lower = [level for level in RETURN_LEVELS if level < zone.level]
            if zone.healthy_ratio >= MIN_RETURN_HEALTHY_RATIO:
                return DueChange(None)
            step_back = ZoneStatus(ZoneState.RETURNING, lower[-1]) if lower else None
            return DueChange(step_back, self.rules.worsening_dwell_us)
        higher = [level for level in RETURN_LEVELS if level > zone.level]
        doublings = min(max(0, zone.relapses - 1), MAX_RELAPSE_DOUBLINGS)
        step_up = ZoneStatus(ZoneState.RETURNING, higher[0]) if higher else HEALTHY
        return DueChange(step_up, self.rules.return_step_us << doublings)

    def _propose(self, now: int, zone: AgreedZone, *, held_back: bool) -> None:
        """Proposes the due change, once it has been due for its dwell time."""
        change = self._due_change(zone)
        if change.status != zone.due:
            zone.due, zone.due_since_us = change.status, now
        ready = now - zone.due_since_us >= change.dwell_us
        begins_return = zone.state == ZoneState.FAILED and zone.due == FIRST_RETURN_STEP
        if begins_return and held_back:
            ready = False
        zone.proposal = zone.due if ready else None

    # ---- making a change --------------------------------------------------------------------------------

    def _apply_majority(self, now: int, zone: AgreedZone) -> StateChange | None:
        """Makes the change that a majority supports, or adopts the status that most nodes hold.

        Returns the change made; None if there is none.
        """
        others = [
            report.zones[zone.name]
            for node, report in self.received.items()
            if node != self.name and zone.name in report.zones
        ]
        if self._has_majority(zone, others):
            reason = (
                f"{zone.failing_count} of {zone.observer_count} observing nodes report it as failing,"
                f" {zone.impaired_count} as impaired"
            )
            assert zone.proposal is not None
            return self._set_status(now, zone, zone.proposal, others, reason)
        status_counts = Counter(report.status for report in others)
        status_counts[zone.status] += 1
        # Of statuses that equally many nodes hold, the one with the lowest level is the best.
        best, best_count = max(
            status_counts.items(), key=lambda item: (item[1], -item[0][1], item[0])
        )
        if best == zone.status:
            zone.diverging_since_us = 0
            same_epochs = (
                report.epoch for report in others if report.status == zone.status
            )
            zone.epoch = max([zone.epoch, *same_epochs])
            return None
        zone.diverging_since_us = zone.diverging_since_us or now
        node_count = len(self.received)
        best_is_newer = all(r.epoch > zone.epoch for r in others if r.status == best)
        if (
            2 * best_count > node_count and best_is_newer
        ) or now - zone.diverging_since_us >= MAX_DIVERGENCE_US:
            reason = f"status held by {best_count} of {node_count} nodes"
            return self._set_status(now, zone, best, others, reason)
        return None

    def _has_majority(self, zone: AgreedZone, others: Collection[ZoneReport]) -> bool:
        """Returns whether more than half of the nodes propose or hold the status that this node proposes."""
        if zone.proposal is None:
            return False
        supporters = 1 + sum(
            zone.proposal in (report.proposal, report.status) for report in others
        )
        return 2 * supporters > len(self.received)

    def _set_status(
        self,
        now: int,
        zone: AgreedZone,
        status: ZoneStatus,
        others: Collection[ZoneReport],
        reason: str,
    ) -> StateChange:
        """Sets another status of a zone, and returns the change."""
        old, old_level = zone.state, zone.level
        newer_epochs = [
            report.epoch
            for report in others
            if report.status == status and report.epoch > zone.epoch
        ]
        if newer_epochs:
            zone.epoch = max(newer_epochs)
        else:
            zone.epoch = max([zone.epoch, *(report.epoch for report in others)]) + 1
        zone.state, zone.level, zone.since_us = (
            ZoneState(status.state),
            status.level,
            now,
        )
        zone.due = zone.proposal = None
        zone.diverging_since_us = 0
        if zone.level < old_level:
            self._count_relapse(now, zone)
        return StateChange(zone.name, old, zone.state, zone.level, zone.epoch, reason)

    def _count_relapse(self, now: int, zone: AgreedZone) -> None:
        """Counts a change for the worse as a relapse if it follows soon on another one."""
        if (
            zone.worsened_at_us is None
            or now - zone.worsened_at_us > self.rules.relapse_memory_us
        ):
            zone.relapses = 0
        else:
            zone.relapses += 1
        zone.worsened_at_us = now

    # ---- loads ---------------------------------------------------------------------------------------------

    def load_outside(self, zone_name: str) -> float:
        """Returns the calls a second that all known nodes of other zones receive, by their last reports."""
        return sum(
            report.load for report in self.loads.values() if report.zone != zone_name
        )

    def load_by_zone(self) -> dict[str, float]:
        """Returns the calls a second by zone that the reporting nodes receive."""
        loads: dict[str, float] = {}
        for report in self.received.values():
            loads[report.zone] = loads.get(report.zone, 0.0) + report.load
        return loads


def region_state(zones: Collection[AgreedZone]) -> ZoneState:
    """Returns a region's state from those of its zones.

    It is failed only if all zones have failed; else returning if any zone returns, degraded if any zone is
    not healthy, and healthy otherwise.
    """
    states = {zone.state for zone in zones}
    if states == {ZoneState.FAILED}:
        return ZoneState.FAILED
    if ZoneState.RETURNING in states:
        return ZoneState.RETURNING
    if states - {ZoneState.HEALTHY}:
        return ZoneState.DEGRADED
    return ZoneState.HEALTHY
