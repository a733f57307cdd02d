"""The fleet observer and the remediator: catch-up and quarantine on an emulated status exchange."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

import pytest

from loadbalancer.audit.fleet_observer import FleetObserver
from loadbalancer.audit.fleet_view import FleetView, HealthState, ReceivedStatus
from loadbalancer.audit.frontier import find_frontier
from loadbalancer.audit.remediation import LocalState, Remediation, RemediationKind
from loadbalancer.audit.remediator import Remediator
from loadbalancer.audit.rules import RemediationRules
from loadbalancer.audit.status import (
    QuarantineState,
    StatusRecord,
    VersionId,
    append_version,
    decode,
    encode,
)

SECOND = 1_000_000
TICK = 250_000


@dataclass
class Node:
    """One node: its observer and remediator, its lists, and the statuses it has received."""

    name: str
    observer: FleetObserver
    remediator: Remediator
    clock_offset: int
    local: LocalState = field(default_factory=LocalState)
    list_versions: tuple[VersionId, ...] = ()
    statuses: dict[str, StatusRecord] = field(default_factory=dict)
    view: FleetView | None = None
    actions: list[tuple[int, Remediation]] = field(default_factory=list)
    sent: StatusRecord | None = None


class World:
    """Nodes that exchange statuses in virtual time, each with a clock offset of its own.

    A status arrives after a random delay of less than `max_delay_us`.
    """

    def __init__(
        self, count: int, seed: int = 1, max_delay_us: int = 800_000, **rules: float
    ) -> None:
        self.random = Random(seed)
        self.max_delay_us = max_delay_us
        self.now = SECOND
        self.rules = replace(RemediationRules(quarantine_after_us=15 * SECOND), **rules)  # type: ignore[arg-type]
        self.nodes = {f"n{i}": self.node(f"n{i}") for i in range(count)}
        self.in_transit: dict[tuple[str, str], tuple[int, StatusRecord]] = {}
        self.dead: set[str] = set()
        self.paused: set[str] = set()
        self.side: dict[str, int] = {}  # nodes of different sides are partitioned
        self.agents: dict[str, str] = {}  # "silent" or "old"; all others work
        self.published: dict[str, VersionId] = {}  # the current version by origin
        self.peers_respond = True  # whether peers answer requests
        self.max_quarantined = 0
        self.publish(VersionId("d", 1, "c1"))

    def node(self, name: str) -> Node:
        offset = self.random.randrange(10**12)
        return Node(
            name,
            FleetObserver(name),
            Remediator(name, self.rules, self.random.getrandbits(32)),
            offset,
        )

    def publish(self, held: VersionId, *names: str) -> None:
        """Discovery publishes a version to all nodes whose agent works, or only to the named ones."""
        if not names:
            self.published[held.origin] = held
        for name in names or [n for n in self.nodes if n not in self.agents]:
            node = self.nodes[name]
            node.list_versions = append_version(node.list_versions, held)
            node.local = replace(
                node.local,
                list_version=held,
                discovery_answered_at=self.now + node.clock_offset,
            )

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += TICK
            for way, (at, status) in list(self.in_transit.items()):
                if at <= self.now and way[1] not in self.paused:
                    del self.in_transit[way]
                    self.nodes[way[1]].statuses[way[0]] = status
            for name, node in self.nodes.items():
                if name not in self.dead | self.paused:
                    self.tick(node)
            quarantined = [
                n
                for n in self.nodes.values()
                if n.remediator.quarantine.state == QuarantineState.QUARANTINED
            ]
            self.max_quarantined = max(self.max_quarantined, len(quarantined))

    def tick(self, node: Node) -> None:
        now = self.now + node.clock_offset
        live = [
            n
            for n in self.nodes
            if n not in self.dead and self.side.get(n) == self.side.get(node.name)
        ]
        node.statuses[node.name] = self.status(node)
        node.view = node.observer.observe(
            now, live, {n: ReceivedStatus(w) for n, w in node.statuses.items()}
        )
        for action in node.remediator.update(now, node.view, node.local):
            node.actions.append((self.now, action))
            self.perform(node, action, now)
        status = self.status(node)
        if status != node.sent:
            node.sent = status
            body = encode(status)
            assert len(body) <= 1_000
            for to in live:
                at = self.now + self.random.randrange(self.max_delay_us)
                self.in_transit[node.name, to] = (at, decode(body) or status)

    def status(self, node: Node) -> StatusRecord:
        remediator, known = node.remediator, node.view.known_count if node.view else 0
        return StatusRecord(
            list_versions=node.list_versions,
            adopted=node.local.adopted,
            known_members=known,
            step=remediator.step,
            quarantine=remediator.quarantine.state,
            slot=remediator.quarantine.slot,
            request_number=remediator.quarantine.request_number,
            votes=remediator.ballots(),
        )

    def perform(self, node: Node, action: Remediation, now: int) -> None:
        agent = self.agents.get(node.name)
        if action.kind == RemediationKind.POLL_DISCOVERY and agent == "old":
            node.local = replace(node.local, discovery_answered_at=now)
        elif action.kind == RemediationKind.POLL_DISCOVERY and agent is None:
            version = self.published.get(
                node.list_versions[-1].origin if node.list_versions else "d"
            )
            if version is not None:
                self.publish(version, node.name)
        elif action.kind == RemediationKind.REQUEST_FROM_PEER and self.peers_respond:
            held = self.nodes[action.member].list_versions[-1]
            if action.target == held:
                node.local = replace(node.local, adopted=held)
        elif action.kind == RemediationKind.QUARANTINE:
            node.remediator.quarantine_decided(now, True)

    def observed_states(self, name: str) -> set[HealthState]:
        """The states in which all other live nodes observe one node."""
        return {
            n.view.health[name].state
            for n in self.nodes.values()
            if n.name not in self.dead | {name} and n.view and name in n.view.health
        }

    def quarantined(self) -> list[str]:
        return [
            n.name
            for n in self.nodes.values()
            if n.remediator.quarantine.state == QuarantineState.QUARANTINED
        ]

    def action_times(self, name: str, kind: RemediationKind) -> list[float]:
        return [
            at / SECOND
            for at, action in self.nodes[name].actions
            if action.kind == kind
        ]


def settled_world(count: int, **more: float) -> World:
    world = World(count, **more)  # type: ignore[arg-type]
    world.run(12)
    for name in world.nodes:
        assert world.observed_states(name) == {HealthState.CURRENT}
    return world


def test_a_node_with_a_silent_agent_is_detected_by_all_and_catches_up_from_peers() -> (
    None
):
    world = settled_world(8)
    world.publish(VersionId("d", 1, "c1"), "n3")  # the agent's last answer
    world.agents["n3"] = "silent"
    silent = world.now
    world.run(2)
    world.publish(VersionId("d", 2, "c2"))
    moved = world.now
    world.run(4.5)
    assert world.observed_states("n3") == {HealthState.STRAGGLER}
    assert world.observed_states("n4") == {HealthState.CURRENT}
    world.run(10)
    node = world.nodes["n3"]
    assert node.local.adopted == VersionId("d", 2, "c2")
    asked = world.action_times("n3", RemediationKind.REQUEST_FROM_PEER)[0] * SECOND
    assert asked - max(silent + 6 * SECOND, moved + 2.5 * SECOND) <= 2 * SECOND
    assert asked >= silent + 5.7 * SECOND  # not before its own silence deadline
    assert world.observed_states("n3") == {HealthState.CURRENT}
    assert world.max_quarantined == 0
    # It knows now that its discovery is silent: for the next change it does not wait for it again.
    world.publish(VersionId("d", 3, "c3"))
    moved = world.now
    world.run(3)
    assert node.local.adopted == VersionId("d", 3, "c3")


def test_an_agent_that_keeps_sending_an_old_version_is_bypassed() -> None:
    world = settled_world(6)
    world.agents["n2"] = "old"
    world.publish(VersionId("d", 2, "c2"))
    world.run(8)
    assert world.action_times(
        "n2", RemediationKind.POLL_DISCOVERY
    )  # its own discovery first
    assert world.nodes["n2"].local.adopted == VersionId("d", 2, "c2")
    assert world.nodes["n2"].local.list_version == VersionId(
        "d", 1, "c1"
    )  # its own discovery's version is kept
    world.publish(VersionId("d", 3, "c3"))  # the discovery is not waited for again
    world.run(2.5)
    assert world.nodes["n2"].local.adopted == VersionId("d", 3, "c3")


def test_other_agents_are_asked_before_peers() -> None:
    world = World(5, agents=2)
    world.run(12)
    world.agents["n1"] = "silent"
    world.publish(VersionId("d", 2, "c2"))
    world.run(20)
    agents, peers = (
        world.action_times("n1", RemediationKind.REQUEST_FROM_AGENT),
        world.action_times("n1", RemediationKind.REQUEST_FROM_PEER),
    )
    assert len(agents) == 2
    assert max(agents) < peers[0]


def test_a_single_member_with_version_one_billion_does_not_move_the_frontier() -> None:
    world = settled_world(5)
    world.publish(VersionId("d", 10**9, "x"), "n4")
    world.run(20)
    for node in world.nodes.values():
        assert node.view is not None
        assert node.view.frontiers["d"].number == 1
    assert world.observed_states("n4") == {HealthState.UNKNOWN}
    assert {world.observed_states(n).pop() for n in ("n0", "n1", "n2", "n3")} == {
        HealthState.CURRENT
    }
    assert not [
        d
        for n in world.nodes.values()
        for d in world.action_times(n.name, RemediationKind.REQUEST_FROM_PEER)
    ]


def test_an_unconfirmed_version_does_not_support_lower_versions_of_others() -> None:
    held = {
        "a": (VersionId("d", 4, "c4"), VersionId("d", 5, "c5")),
        "b": (VersionId("d", 4, "c4"),),
        "c": (VersionId("d", 4, "c4"), VersionId("d", 10**9, "x")),
    }
    statuses = {n: StatusRecord(list_versions=lists) for n, lists in held.items()}
    frontier = find_frontier("d", statuses, 2, 3)
    assert frontier is not None
    assert (
        frontier.number,
        frontier.digest,
        frontier.support,
    ) == (4, "c4", 3)


def test_a_list_with_two_contents_is_contested_and_no_node_is_quarantined() -> None:
    world = settled_world(8, max_quarantined_ratio=0.5)
    world.publish(VersionId("d", 2, "left"), *(f"n{i}" for i in range(4)))
    world.publish(VersionId("d", 2, "right"), *(f"n{i}" for i in range(4, 8)))
    world.run(60)
    assert {s for n in world.nodes for s in world.observed_states(n)} == {
        HealthState.UNKNOWN
    }
    assert all(n.view and n.view.frontiers["d"].contested for n in world.nodes.values())
    assert world.max_quarantined == 0


def test_a_member_with_other_content_under_the_same_number_has_diverged() -> None:
    world = settled_world(7)
    world.publish(VersionId("d", 2, "good"), *(f"n{i}" for i in range(6)))
    world.publish(VersionId("d", 2, "bad"), "n6")
    world.agents["n6"] = "old"
    world.run(3)
    assert world.observed_states("n6") == {HealthState.DIVERGED}
    world.run(12)
    assert world.nodes["n6"].local.adopted == VersionId("d", 2, "good")
    assert world.observed_states("n6") == {HealthState.CURRENT}


def test_a_new_discovery_origin_on_half_of_the_nodes_makes_no_stragglers() -> None:
    world = settled_world(8, max_quarantined_ratio=0.5)
    world.publish(VersionId("d", 900, "c2"), *(f"n{i}" for i in range(4)))
    world.publish(VersionId("elsewhere", 3, "c2"), *(f"n{i}" for i in range(4, 8)))
    world.run(40)
    assert {s for n in world.nodes for s in world.observed_states(n)} == {
        HealthState.CURRENT
    }
    world.agents["n7"] = "silent"
    world.publish(
        VersionId("elsewhere", 4, "c3"), "n4", "n5", "n6"
    )  # each origin has a frontier of its own
    world.run(4.5)
    assert HealthState.STRAGGLER in world.observed_states("n7")
    assert world.observed_states("n0") == {HealthState.CURRENT}


def test_a_suspended_node_polls_at_once_and_reports_no_stragglers_until_it_has_settled() -> (
    None
):
    world = settled_world(5)
    world.paused.add("n2")
    world.run(2)
    world.published["d"] = VersionId("d", 2, "c2")
    world.publish(world.published["d"], "n0", "n1", "n3", "n4")
    world.run(3)
    world.paused.clear()
    woke = world.now / SECOND
    world.run(0.5)
    assert [
        at
        for at in world.action_times("n2", RemediationKind.POLL_DISCOVERY)
        if at >= woke
    ][0] - woke < 0.5
    view = world.nodes["n2"].view
    assert view is not None
    assert not view.settled
    assert not view.members_in(HealthState.STRAGGLER)
    world.run(5)
    assert world.observed_states("n2") == {HealthState.CURRENT}


def test_a_flapping_straggler_dwells_longer_each_time_and_is_never_quarantined() -> (
    None
):
    world = settled_world(10)
    recovery_s = []
    for number in range(2, 9):
        world.agents["n5"] = "old"
        world.peers_respond = False
        world.publish(VersionId("d", number, f"c{number}"))
        world.run(4)
        del world.agents["n5"]
        world.publish(VersionId("d", number, f"c{number}"), "n5")
        back = world.now
        while world.observed_states("n5") != {HealthState.CURRENT}:
            world.run(0.25)
        recovery_s.append((world.now - back) / SECOND)
    assert recovery_s[0] < 4
    assert recovery_s[3] > 2 * recovery_s[0]
    assert max(recovery_s) < 20
    assert world.max_quarantined == 0


def test_the_quarantine_limit_holds_while_a_third_of_the_nodes_is_outdated() -> None:
    # No agent and no peer lets them catch up. Two of twelve may be quarantined, never more.
    for seed in range(2):
        world = World(12, seed, max_quarantined_ratio=0.2)
        world.run(12)
        for name in ("n1", "n4", "n7", "n9"):
            world.agents[name] = "silent"
        world.peers_respond = False
        world.publish(VersionId("d", 2, "c2"))
        world.run(60)
        assert world.max_quarantined == 2, f"seed {seed}"
        assert set(world.quarantined()) <= {"n1", "n4", "n7", "n9"}
        world.peers_respond = True  # they rejoin once they hold the frontier
        world.run(60)
        assert not world.quarantined()


def test_the_quarantine_limit_holds_with_slow_statuses_and_through_a_partition() -> (
    None
):
    for seed in range(2):
        world = World(
            15, seed, max_delay_us=4 * SECOND, max_quarantined_ratio=0.14
        )  # two of fifteen nodes
        world.run(20)
        for name in ("n0", "n3", "n6", "n9", "n12"):
            world.agents[name] = "silent"
        world.peers_respond = False
        world.publish(VersionId("d", 2, "c2"))
        world.run(30)
        world.side = {f"n{i}": 1 for i in range(6)}
        world.run(60)
        minority = set(world.side) & set(world.quarantined())
        assert not minority, f"seed {seed}: a minority quarantined {minority}"
        world.side = {}
        world.run(60)
        assert world.max_quarantined <= 2, f"seed {seed}"


def test_a_quarantined_node_in_another_partition_still_occupies_its_slot() -> None:
    world = World(14, max_quarantined_ratio=0.1, no_majority_us=600 * SECOND)
    world.run(12)
    world.agents = dict.fromkeys(("n1", "n2"), "silent")
    world.peers_respond = False
    world.publish(VersionId("d", 2, "c2"))
    world.run(45)
    assert len(world.quarantined()) == 1
    world.side = dict.fromkeys((world.quarantined()[0], "n11", "n12", "n13"), 1)
    world.run(60)
    assert (
        len(world.quarantined()) == 1 == world.max_quarantined
    )  # no status reports that it has rejoined


def test_no_node_is_quarantined_before_all_catch_up_steps_were_tried() -> None:
    world = World(10, max_quarantined_ratio=0.2, max_rounds=1_000)
    world.run(12)
    world.agents = {"n1": "silent"}
    world.peers_respond = False
    world.publish(VersionId("d", 2, "c2"))
    world.run(60)
    assert world.max_quarantined == 0
    assert world.observed_states("n1") == {HealthState.STRAGGLER}


def test_a_minority_evaluates_its_own_side_and_quarantines_no_node() -> None:
    world = settled_world(9, max_quarantined_ratio=0.5)
    world.side = dict.fromkeys(("n0", "n1", "n2"), 1)
    world.run(1)
    world.agents = dict.fromkeys(("n2", "n8"), "silent")
    world.peers_respond = False
    world.publish(VersionId("d", 2, "c2"))
    world.run(60)
    small, large = world.nodes["n0"].view, world.nodes["n5"].view
    assert small is not None
    assert (small.side, small.quorum) == ("minority", 2)
    assert small.health["n2"].state == HealthState.STRAGGLER
    assert large is not None
    assert (large.side, large.quorum) == (
        "majority",
        3,
    )
    assert world.quarantined() == ["n8"]


def test_too_few_ready_nodes_prevent_quarantine_and_end_it() -> None:
    world = World(8, max_quarantined_ratio=0.25, min_ready=7)
    world.run(12)
    world.agents = dict.fromkeys(("n1", "n2"), "silent")
    world.peers_respond = False
    world.publish(VersionId("d", 2, "c2"))
    world.run(60)
    assert (
        len(world.quarantined()) == 1 == world.max_quarantined
    )  # the ratio alone would allow two
    assert max(len(n.remediator.voter.votes) for n in world.nodes.values()) == 1
    world.dead.add("n7")
    world.run(3)
    assert not world.quarantined()


def test_a_bad_list_that_all_members_hold_quarantines_no_node() -> None:
    world = settled_world(10, max_quarantined_ratio=0.5)
    world.publish(VersionId("d", 2, "empty"))
    world.run(60)
    assert {s for n in world.nodes for s in world.observed_states(n)} == {
        HealthState.CURRENT
    }
    assert world.max_quarantined == 0


def test_an_outdated_majority_does_not_quarantine_members_that_are_ahead() -> None:
    world = settled_world(10, max_quarantined_ratio=0.5)
    for i in range(7):
        world.agents[f"n{i}"] = "silent"
    world.publish(VersionId("d", 2, "c2"))
    world.run(60)
    assert world.max_quarantined == 0
    assert HealthState.STRAGGLER not in world.observed_states(
        "n8"
    ) | world.observed_states("n9")


def test_a_member_without_a_status_is_silent_and_counts_in_the_quorum() -> None:
    world = settled_world(5)
    world.nodes["n9"] = replace(world.node("n9"), list_versions=())
    world.paused.add("n9")
    world.run(15)
    assert world.observed_states("n9") == {HealthState.SILENT}
    view = world.nodes["n0"].view
    assert view is not None
    assert view.quorum == 4


def test_a_restarted_numbering_of_an_origin_makes_no_stragglers() -> None:
    world = settled_world(5)
    world.publish(VersionId("d", 70, "c70"))
    world.run(3)
    world.published["d"] = VersionId("d", 1, "c1")
    world.publish(VersionId("d", 1, "c1"), "n0", "n1", "n2")
    world.run(3)
    assert world.observed_states("n4") == {
        HealthState.CURRENT
    }  # ahead, until it receives the new numbering
    world.publish(VersionId("d", 1, "c1"), "n3", "n4")
    world.run(3)
    assert {s for n in world.nodes for s in world.observed_states(n)} == {
        HealthState.CURRENT
    }
    world.agents["n4"] = "silent"
    world.publish(VersionId("d", 2, "c2"))
    world.run(1)
    assert HealthState.STRAGGLER not in world.observed_states(
        "n4"
    )  # the old numbering's frontier passed 1 long ago, which does not count


@pytest.mark.parametrize(
    "body",
    [b"", b"\xc1", b"\x93\x01", encode(StatusRecord(format_version=9)), b"x" * 999],
)
def test_a_status_that_cannot_be_read_decodes_to_none(body: bytes) -> None:
    assert decode(body) is None
