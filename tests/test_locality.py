"""The agreed state of zones among simulated nodes in virtual time, and the operators' settings for it."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from loopback import Server, call, play
from support import SEC
from test_parts import asked, bench_with, until

from loadbalancer.config.operator_config import (
    OperatorConfigConflictError,
    OperatorConfigValueError,
    build,
)
from loadbalancer.locality.agreed_zone_failover import AgreedView, AgreedZoneFailover
from loadbalancer.locality.agreement import Members, StateChange, ZoneAgreement
from loadbalancer.locality.evidence import EvidenceCollector
from loadbalancer.locality.messages import (
    LoadReport,
    ZoneReport,
    ZoneState,
    decode,
    encode,
)
from loadbalancer.locality.quota import ZoneCapacity, plan_quotas
from loadbalancer.locality.rules import AgreementRules
from loadbalancer.policy.api import Outcome, ZoneObservation
from loadbalancer.policy.zone_failover import ZoneFailover, ZoneFailoverRules

ROUND_US = SEC // 4  # between two rounds of the agreement
ZONES = {"a": "north", "b": "north", "c": "south"}
NUMBERS = {"a": 0, "b": 1, "c": 2}
SERVERS, RATE = 10, 25.0  # servers in a zone; calls a second that each can take
ZONE_CAPACITY = SERVERS * RATE  # calls a second
# By time in seconds, node and zone: the fractions of attempts that are lost and slow.
Faults = Callable[[float, str, str], tuple[float, float]]
# By time in seconds, sender and receiver: whether messages arrive.
Links = Callable[[float, str, str], bool]


class Node:
    """One node with its policy, evidence and agreement; load in calls a second."""

    def __init__(self, name: str, zone: str, load: float) -> None:
        self.name, self.zone, self.load = name, zone, load
        self.policy = AgreedZoneFailover(
            ZoneFailoverRules(server_rate=RATE, spill_limit=0.4), NUMBERS[zone]
        )
        self.agreement = ZoneAgreement(name, AgreementRules())
        self.evidence = EvidenceCollector()
        self.body = b""
        self.shares: dict[str, float] = {}
        self.rejected = 0.0
        self.carry: dict[tuple[str, str], float] = {}
        self.changes: list[tuple[float, StateChange]] = []


class World:
    """Nodes of three zones in two regions; records arrive one round later, where the nodes are linked."""

    def __init__(self, nodes_per_zone: int = 4, utilization: float = 0.6) -> None:
        self.nodes = [
            Node(f"{z}{i}", z, utilization * ZONE_CAPACITY / nodes_per_zone)
            for z in ZONES
            for i in range(nodes_per_zone)
        ]
        self.now = 0
        self.faults: Faults = lambda at, node, zone: (0.0, 0.0)
        self.linked: Links = lambda at, sender, receiver: True
        self.held_back: set[str] = set()
        self.run(3)

    @property
    def at(self) -> float:
        return self.now / SEC

    def run(self, seconds: float) -> None:
        """Runs rounds for a time in virtual seconds."""
        for _ in range(int(seconds * SEC / ROUND_US)):
            self.now += ROUND_US
            reports = {n.name: report for n in self.nodes if (report := decode(n.body))}
            for node in self.nodes:
                self.run_node(node, reports)

    def run_node(self, node: Node, reports: dict[str, LoadReport]) -> None:
        """One node decides, plays its attempts and takes part in the agreement."""
        observation = ZoneObservation(
            ready=dict.fromkeys(NUMBERS.values(), SERVERS),
            warm=dict.fromkeys(NUMBERS.values(), float(SERVERS)),
            unhealthy={},
            requests_by_class=(round(node.load * ROUND_US / SEC),),
            attempts_by_zone={},
            cost_by_class=(1.0,),
            priority_weights=(1.0,),
            instances=1,  # as the spread reports to an isolated node
            healthy=True,
        )
        decision = node.policy.decide(self.now, observation)
        names = {v: k for k, v in NUMBERS.items()}
        served = 1 - sum(decision.reject)
        node.rejected = 1 - served
        node.shares = {names[z]: s * served for z, s in decision.shares} or {
            node.zone: 1.0
        }
        for zone, share in node.shares.items():
            self.record_attempts(node, zone, share * node.load * ROUND_US / SEC)
        live = {
            n.name
            for n in self.nodes
            if n is node or self.linked(self.at, n.name, node.name)
        }
        received = {n: reports[n] for n in live if n != node.name and n in reports}
        evidence = node.evidence.report(self.now, {}, node.load)
        own = LoadReport(node.zone, node.load, evidence)
        known = {n.name for n in self.nodes}
        report, changes = node.agreement.tick(
            self.now, own, received, Members(known, live), self.held_back
        )
        node.body = encode(report)
        node.changes += [(self.at, c) for c in changes]
        agreement = node.agreement
        node.policy.view = AgreedView(
            health={
                n: agreement.zones[z].applied_level / 8
                for z, n in NUMBERS.items()
                if z in agreement.zones
            },
            load={NUMBERS[z]: r for z, r in agreement.load_by_zone().items()},
            regions={n: ZONES[z] for z, n in NUMBERS.items()},
            nodes=len(self.nodes),
            load_outside={n: agreement.load_outside(z) for z, n in NUMBERS.items()}
            if agreement.minority
            else None,
        )

    def record_attempts(self, node: Node, zone: str, calls: float) -> None:
        """Records attempts with the faults of the moment; fractions of attempts are carried over."""
        lost, slow = self.faults(self.at, node.name, zone)
        for kind, fraction in (
            ("lost", lost),
            ("slow", slow),
            ("healthy", 1 - lost - slow),
        ):
            carry = node.carry.get((zone, kind), 0.0) + fraction * calls
            for _ in range(int(carry)):
                outcome = Outcome.TIMEOUT if kind == "lost" else Outcome.OK
                node.evidence.record_attempt(zone, outcome, late=kind == "slow")
            node.carry[zone, kind] = carry - int(carry)

    def states(self, zone: str) -> set[ZoneState]:
        """Returns the states of a zone that the nodes hold."""
        return {n.agreement.zones[zone].state for n in self.nodes}

    def until(self, zone: str, state: ZoneState, max_s: float) -> float:
        """Runs until all nodes hold a state of a zone, and returns the seconds that took."""
        started = self.at
        while self.states(zone) != {state}:
            assert self.at - started < max_s, (self.at, zone, self.states(zone))
            self.run(ROUND_US / SEC)
        return self.at - started

    def spilled_into(self, zone: str) -> float:
        """Returns the calls a second sent to a zone from other zones, as a fraction of its capacity."""
        return (
            sum(n.load * n.shares.get(zone, 0.0) for n in self.nodes if n.zone != zone)
            / ZONE_CAPACITY
        )

    def local_ratio(self) -> float:
        """Returns the fraction of all calls that stay in the zone of their node."""
        loads = sum(n.load for n in self.nodes)
        return sum(n.load * n.shares.get(n.zone, 0.0) for n in self.nodes) / loads


def lose_zone(
    zone: str, since: float, until: float = 1e9, fraction: float = 1.0
) -> Faults:
    """Returns the faults of a zone that loses a fraction of its attempts between two times in seconds."""
    return lambda at, node, z: (
        fraction if z == zone and since <= at < until else 0.0,
        0.0,
    )


def test_while_all_zones_are_healthy_calls_stay_local_and_records_do_not_change():
    world = World()
    before = [n.body for n in world.nodes]
    world.run(10)
    assert world.local_ratio() == 1
    assert [n.body for n in world.nodes] == before
    assert not any(n.changes for n in world.nodes)


def test_a_zone_lost_for_six_seconds_fails_for_all_nodes_and_returns_in_steps():
    world = World()
    world.faults = lose_zone("a", world.at, world.at + 6)
    assert world.until("a", ZoneState.FAILED, 3) <= 3
    failed_at = [
        next(at for at, c in n.changes if c.new == ZoneState.FAILED)
        for n in world.nodes
    ]
    assert max(failed_at) - min(failed_at) <= 1.0
    world.run(1)
    load_of_a = {
        z: sum(n.load * n.shares.get(z, 0) for n in world.nodes if n.zone == "a")
        / ZONE_CAPACITY
        for z in ZONES
    }
    assert load_of_a["a"] == pytest.approx(0.05 * 0.6, rel=0.1)  # trial calls
    assert load_of_a["b"] == pytest.approx(
        0.4 * 0.95, rel=0.1
    )  # all spare capacity of its region
    assert load_of_a["c"] == pytest.approx(
        0.2 * 0.95, rel=0.1
    )  # the other region takes only the rest
    world.until("a", ZoneState.RETURNING, 15)
    steps = []
    while world.states("a") != {ZoneState.HEALTHY}:
        world.run(ROUND_US / SEC)
        levels = {n.agreement.zones["a"].level for n in world.nodes}
        assert max(levels) - min(levels) <= 2  # all nodes make a step within two rounds
        steps += [x for x in levels if not steps or x > steps[-1]]
        assert world.at < 60
    assert [s for s in (1, 2, 4, 6, 8) if s in steps] == [1, 2, 4, 6, 8]
    world.run(15)
    assert world.local_ratio() == pytest.approx(1.0)


def test_a_return_that_is_held_back_waits_and_a_failover_does_not():
    world = World()
    world.faults, world.held_back = (
        lose_zone("a", world.at, world.at + 3),
        {"a", "b", "c"},
    )
    world.until("a", ZoneState.FAILED, 3)
    world.run(12)
    assert world.states("a") == {ZoneState.FAILED}
    world.held_back = set()
    world.until("a", ZoneState.RETURNING, 2)


def test_one_nodes_report_changes_nothing():
    world = World()
    world.faults = lambda at, node, zone: (1.0 if node == "a0" else 0.0, 0.0)
    world.run(20)
    assert not any(n.changes for n in world.nodes)


def test_a_zone_slow_for_half_of_its_nodes_is_degraded_alike_for_all():
    world = World()
    world.faults = lambda at, node, zone: (
        0.0,
        1.0 if zone == "a" and node in ("a0", "a1") else 0.0,
    )
    world.run(6)
    assert world.states("a") == {ZoneState.DEGRADED}
    shares = {n.shares["a"] for n in world.nodes if n.zone == "a"}
    assert len(shares) == 1
    assert 0.5 < shares.pop() <= 1.0
    world.faults = lambda at, node, zone: (
        1.0 if zone == "a" and node in ("a0", "a1", "a2") else 0.0,
        0.0,
    )
    assert world.until("a", ZoneState.FAILED, 4)


def test_a_link_failure_that_only_other_zones_observe_does_not_fail_a_zone_for_its_own_nodes():
    world = World()
    world.faults = lambda at, node, zone: (
        1.0 if zone == "a" or (zone == "b" and node[0] == "a") else 0.0,
        0.0,
    )
    world.until(
        "a", ZoneState.FAILED, 3
    )  # a is lost; b is healthy, but unreachable from a
    world.run(8)
    assert world.states("b") == {ZoneState.HEALTHY}
    assert all(n.shares["b"] == pytest.approx(1) for n in world.nodes if n.zone == "b")


def test_a_lost_region_spills_to_the_other_within_the_spill_limit():
    world = World()
    since = world.at
    world.faults = lambda at, node, zone: (
        float(zone in "ab" and since <= at < since + 20),
        0.0,
    )
    world.until("a", ZoneState.FAILED, 3)
    world.until("b", ZoneState.FAILED, 3)
    world.run(2)
    assert world.spilled_into("c") <= 0.4 + 1e-6
    assert world.spilled_into("c") > 0.3
    assert all(n.rejected > 0.5 for n in world.nodes if n.zone in "ab")
    assert all(n.rejected == 0 for n in world.nodes if n.zone == "c")
    world.run(120)
    assert world.local_ratio() == pytest.approx(1.0)


def test_a_flapping_zone_does_not_make_the_fleet_oscillate():
    world = World()
    started = world.at
    world.faults = lambda at, node, zone: (
        float(zone == "a" and int((at - started) / 2) % 2 == 0),
        0.0,
    )
    world.run(60)
    assert max(len(n.changes) for n in world.nodes) <= 4
    assert world.states("a") == {ZoneState.FAILED}


def test_a_zone_that_is_slow_under_load_does_not_complete_its_return():
    world = World()
    world.faults = lose_zone("a", world.at)
    world.until("a", ZoneState.FAILED, 3)
    world.faults = lambda at, node, zone: (
        0.0,
        0.9
        if zone == "a"
        and sum(n.shares.get("a", 0) for n in world.nodes if n.zone == "a") > 2.0
        else 0.0,
    )
    world.run(60)
    assert world.states("a") <= {ZoneState.RETURNING, ZoneState.DEGRADED}
    assert all(n.agreement.zones["a"].level <= 6 for n in world.nodes)
    world.faults = lambda at, node, zone: (0.0, 0.0)
    world.run(110)
    assert world.states("a") == {ZoneState.HEALTHY}


def test_an_isolated_node_uses_only_its_fraction_of_spare_capacity_and_merges_without_a_jump():
    world = World()
    started = world.at
    world.linked = lambda at, sender, receiver: (
        at > started + 20 or "a0" not in (sender, receiver)
    )
    world.faults = lambda at, node, zone: (float(node == "a0" and zone == "a"), 0.0)
    world.run(10)
    isolated = world.nodes[0]
    assert isolated.agreement.minority
    assert isolated.agreement.zones["a"].state == ZoneState.FAILED
    assert not any(n.agreement.minority or n.changes for n in world.nodes[1:])
    for zone in "bc":  # an eighth of the spill limit of 0.4
        assert isolated.load * isolated.shares[zone] / ZONE_CAPACITY <= 0.4 / 8 + 1e-6
    world.faults = lambda at, node, zone: (0.0, 0.0)
    world.run(10)
    before, jumps = isolated.shares.get("a", 0.0), []
    for _ in range(60):
        world.run(ROUND_US / SEC)
        jumps.append(abs(isolated.shares.get("a", 0.0) - before))
        before = isolated.shares.get("a", 0.0)
    assert max(jumps) <= 0.15
    assert before == pytest.approx(1.0)
    assert isolated.agreement.zones["a"].state == ZoneState.HEALTHY


@pytest.mark.parametrize("side_size", [2, 5, 6])
def test_two_sides_of_a_partition_spill_no_more_than_the_stated_bound(
    side_size: int,
):
    """Both sides lose zone a and observe it.

    Together they spill into each other zone at most the spill limit times (1 + the smaller side's fraction of
    the nodes).
    """
    world = World()
    started = world.at
    side = {
        n.name: i % 12 < side_size
        for i, n in enumerate(sorted(world.nodes, key=lambda n: n.name[::-1]))
    }
    world.linked = lambda at, sender, receiver: (
        side[sender] == side[receiver] or at > started + 30
    )
    world.faults = lambda at, node, zone: (float(zone == "a" and at > started + 2), 0.0)
    for _ in range(100):
        world.run(ROUND_US / SEC)
        for zone in "bc":
            assert (
                world.spilled_into(zone)
                <= 0.4 * (1 + (side_size / 12 if side_size < 6 else 0)) + 1e-6
            )
    assert world.states("a") <= {ZoneState.FAILED, ZoneState.RETURNING}
    assert world.spilled_into("b") > 0.1
    world.run(60)
    assert (
        len(
            {
                (n.agreement.zones["a"].state, n.agreement.zones["a"].level)
                for n in world.nodes
            }
        )
        == 1
    )


def test_nodes_that_lose_the_membership_during_a_failover_keep_spilling_within_their_fractions():
    world = World()
    world.faults = lose_zone("a", world.at)
    world.until("a", ZoneState.FAILED, 3)
    world.linked = lambda at, sender, receiver: False
    world.run(20)
    assert all(n.agreement.minority for n in world.nodes)
    assert world.states("a") <= {
        ZoneState.FAILED,
        ZoneState.RETURNING,
        ZoneState.HEALTHY,
    }
    assert all(
        n.agreement.zones["a"].state != ZoneState.HEALTHY
        for n in world.nodes
        if n.zone == "a"
    )
    assert world.spilled_into("b") <= 0.4 + 1e-6
    assert world.spilled_into("c") <= 0.4 + 1e-6
    assert world.spilled_into("b") > 0.15


def test_without_an_agreed_state_the_policy_decides_exactly_as_its_base_class():
    base, agreed = (
        ZoneFailover(ZoneFailoverRules(server_rate=RATE), 0),
        AgreedZoneFailover(ZoneFailoverRules(server_rate=RATE), 0),
    )
    for i in range(300):
        observation = ZoneObservation(
            ready={0: 10 if i < 150 else 3, 1: 10, 2: 9},
            warm={0: 10.0 if i < 150 else 3.0, 1: 10.0, 2: 9.0},
            unhealthy={1: 0.2 if i % 7 else 0.9},
            requests_by_class=(20 + i % 5, 3),
            attempts_by_zone={0: 20},
            cost_by_class=(1.0, 2.0),
            priority_weights=(1.0, 10.0),
            instances=6,
            healthy=bool(i % 11),
        )
        assert repr(base.decide(i * SEC // 10, observation)) == repr(
            agreed.decide(i * SEC // 10, observation)
        )
    assert base.metrics() == agreed.metrics()
    assert base.spilled_share > 0


def test_without_a_stated_rate_a_failed_zone_spills_to_the_limit_and_does_not_lower_the_learned_rate():
    policy = AgreedZoneFailover(ZoneFailoverRules(spill_limit=0.2), 0)
    for i in range(400):
        failed = i > 300
        policy.view = AgreedView(
            {0: 0.0 if failed else 1.0}, dict.fromkeys(range(3), 200.0), {}, nodes=6
        )
        ready = {0: 10, 1: 10, 2: 10}
        warm = {z: float(n) for z, n in ready.items()}
        sent = {0: 10} if not failed else {0: 1}
        decision = policy.decide(
            i * SEC // 10,
            ZoneObservation(
                ready, warm, {}, (10,), sent, (1.0,), (1.0,), 6, not failed
            ),
        )
    # Each server has taken 20 calls a second, and 25 are tried. Two nodes spill to a fifth of 20 servers.
    assert policy.spilled_share * 200 == pytest.approx(0.2 * 25 * 20, rel=0.05)
    assert decision.reject[0] == pytest.approx(0.5, abs=0.05)


def test_a_plan_stays_within_spare_capacity_and_fills_the_own_region_first():
    zones = {
        0: ZoneCapacity("north", 100, 0.5, 60, 0.4),
        1: ZoneCapacity("north", 100, 1.0, 60, 0.1),
        2: ZoneCapacity("south", 100, 1.0, 70, 0.4),
    }
    rates = plan_quotas(zones)
    assert rates[0][0] == pytest.approx(42)  # 1.4 times the half that is healthy
    assert rates[0][1] == pytest.approx(10)
    assert rates[0][2] == pytest.approx(8)
    assert rates[1] == {1: 60}
    assert rates[2] == {2: 70}


def test_a_malformed_record_is_ignored():
    assert decode(b"\xff") is None
    assert decode(encode(LoadReport("a", 1.0, {"a": ZoneReport(1, 2)}))) is not None


@pytest.mark.parametrize(
    ("table", "error", "text"),
    [
        (
            {"locality": {}, "zones": {}},
            OperatorConfigConflictError,
            "[membership] is missing",
        ),
        (
            {"locality": {}, "membership": {}},
            OperatorConfigConflictError,
            "[zones] is missing",
        ),
        (
            {"locality": {"zone_spill_percent": {"d": 5}}},
            OperatorConfigConflictError,
            "in no region",
        ),
        (
            {"locality": {"zone_requests_per_s": {"d": 5}}},
            OperatorConfigConflictError,
            "in no region",
        ),
        (
            {"locality": {"zone_spill_percent": {"a": 500}}},
            OperatorConfigValueError,
            "<= 100",
        ),
        (
            {"locality": {}, "zones": {"near": {"a": ["c"]}}},
            OperatorConfigConflictError,
            "another region",
        ),
    ],
)
def test_contradictions_in_the_operator_configuration_are_reported(table, error, text):
    regions = {"regions": {"north": ["a", "b"], "south": ["c"]}}
    config = (
        {"zones": {}, "membership": regions} | table
        if len(table["locality"]) or "near" in str(table)
        else table
    )
    with pytest.raises(error) as raised:
        build(config, "operator.toml")
    assert text in str(raised.value)
    assert raised.value.remedy


def test_a_node_follows_the_agreed_state_while_it_is_configured(
    capfd: pytest.CaptureFixture[str],
):
    zones = {"zones": {"server_requests_per_s": 50.0}}
    with_locality = zones | {
        "membership": {"listen": "127.0.0.1:0", "regions": {"r": ["here"]}},
        "locality": {},
    }

    async def scenario():
        bench = await bench_with(build(with_locality, "operator.toml"), Server())
        node = bench.node
        for _ in range(8):
            assert (await bench.once(call()))[0] == 200
        policy = node.balancer.zones.policy
        assert type(policy) is AgreedZoneFailover
        await until(
            lambda: (
                policy.view is not None
                and node.feature_host.features["locality"].agreement.zones
            )
        )
        status, page = await asked(node, "GET /admin/zones")
        assert status == 200
        assert page["regions"] == {"r": "healthy"}
        assert page["zones"]["here"]["state"] == "healthy"
        assert page["heard"] == 1
        feature = node.feature_host.features["locality"]
        for _ in range(50):
            feature.evidence.record_attempt("here", Outcome.RESET, late=False)
        await until(lambda: feature.agreement.zones["here"].state == ZoneState.FAILED)
        status, page = await asked(node, "GET /admin/zones")
        assert status == 503
        assert page["zones"]["here"]["seen_by"][node.config.name]["lost_quarters"] >= 3
        assert (await asked(node, "GET /admin/stats"))[1]["locality"][
            "not_healthy"
        ] == 1
        node.reload(node.config, build(zones, "operator.toml"))
        assert type(node.balancer.zones.policy) is ZoneFailover
        assert "locality" not in node.feature_host.features
        assert (await bench.once(call()))[0] == 200

    play(scenario)
    assert '"event": "locality zone changed"' in capfd.readouterr().err
