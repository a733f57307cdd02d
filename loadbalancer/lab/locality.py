"""The agreement on zones in the emulator: each first-tier node's part in it, and the records between them.

All live nodes receive a record one round after it was written; lost and late records are played by
`lab/records.py`. A node that dies is held live by the others for `DEATH_DETECTION_US`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from loadbalancer.locality.agreed_zone_failover import AgreedView, AgreedZoneFailover
from loadbalancer.locality.agreement import Members, ZoneAgreement
from loadbalancer.locality.evidence import EvidenceCollector
from loadbalancer.locality.messages import FULL_LEVEL, LoadReport, ZoneState
from loadbalancer.policy.api import Outcome
from loadbalancer.policy.zone_failover import ZoneFailoverRules

if TYPE_CHECKING:
    from loadbalancer.lab.emulator import Emulator
    from loadbalancer.lab.nodes import Attempt, Node

ROUND_INTERVAL_US = 250_000
DEATH_DETECTION_US = 5_000_000


class Member:
    """One node's part."""

    def __init__(
        self, name: str, judge: AgreedZoneFailover, agreement: ZoneAgreement
    ) -> None:
        self.name, self.judge, self.agreement = name, judge, agreement
        self.evidence = EvidenceCollector()
        self.report: LoadReport | None = None
        self.alive_at = 0


class Localities:
    """The parts of all nodes."""

    def __init__(self, emu: Emulator) -> None:
        self.emu = emu
        operator = emu.world.scenario.operator
        assert operator.locality is not None
        assert operator.zones is not None
        self.wish, self.rules = (
            operator.locality,
            operator.locality.rules(operator.zones),
        )
        self.names = [z.name for z in emu.world.scenario.zones]
        region = (
            operator.membership.region
            if operator.membership is not None
            else lambda zone: ""
        )
        self.regions = {i: region(name) for i, name in enumerate(self.names)}
        self.members: dict[int, Member] = {}  # by the node's index
        self.changes: list[
            tuple[int, int, str, ZoneState]
        ] = []  # when, node, zone, state
        emu.kernel.after(ROUND_INTERVAL_US, self.run_round)

    def judge(self, node: Node, rules: ZoneFailoverRules) -> AgreedZoneFailover:
        """A judge for a node that starts."""
        judge = AgreedZoneFailover(rules, node.zone)
        name = f"n{node.index}"
        self.members[node.index] = Member(name, judge, ZoneAgreement(name, self.rules))
        return judge

    def ended(self, node: Node, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt has ended."""
        member = self.members.get(node.index)
        if member is not None:
            objective_us = self.emu.classes[attempt.call.class_index].latency_objective
            late = self.emu.kernel.now - attempt.sent_at > objective_us
            zone = self.names[attempt.server.zone]
            member.evidence.record_attempt(zone, outcome, late=late)

    def run_round(self) -> None:
        """All live nodes take a turn with the reports of the round before."""
        emu = self.emu
        emu.kernel.after(ROUND_INTERVAL_US, self.run_round)
        now, nodes = emu.kernel.now, emu.tiers[0].nodes
        for node in nodes:
            if node.alive and node.index in self.members:
                self.members[node.index].alive_at = now
        known = {m.name for m in self.members.values()}
        live = {
            m.name
            for m in self.members.values()
            if now - m.alive_at < DEATH_DETECTION_US
        }
        reports = {
            member.name: member.report
            for member in self.members.values()
            if member.report is not None and member.name in live
        }
        for node in nodes:
            member = self.members.get(node.index)
            if member is not None and node.alive:
                self.turn(now, node, member, reports, Members(known, live))

    def turn(
        self,
        now: int,
        node: Node,
        member: Member,
        reports: Mapping[str, LoadReport],
        members: Members,
    ) -> None:
        """One node reports, decides and hands its view to its judge."""
        judge, agreement = member.judge, member.agreement
        live = {*members.live, member.name}
        unwell = {
            self.names[zone]: part for zone, part in judge.observed_unhealthy.items()
        }
        seen = member.evidence.report(now, unwell, judge.load)
        own = LoadReport(self.names[node.zone], member.evidence.load, seen)
        others = {name: r for name, r in reports.items() if name != member.name}
        member.report, changes = agreement.tick(
            now, own, others, Members(members.known, live)
        )
        at = now - self.emu.epoch
        self.changes += [(at, node.index, c.zone, c.new) for c in changes]
        judge.view = self.view(agreement, len(members.known))

    def view(self, agreement: ZoneAgreement, nodes: int) -> AgreedView:
        """Returns the agreed state in the judge's numbers."""
        load = agreement.load_by_zone()
        outside = None
        if agreement.minority:
            outside = {
                number: agreement.load_outside(name)
                for number, name in enumerate(self.names)
            }
        return AgreedView(
            health={
                number: agreement.zones[name].applied_level / FULL_LEVEL
                for number, name in enumerate(self.names)
                if name in agreement.zones
            },
            load={n: load.get(name, 0.0) for n, name in enumerate(self.names)},
            regions=self.regions,
            nodes=nodes,
            load_outside=outside,
            trial_ratio=self.wish.trial_percent / 100,
        )
