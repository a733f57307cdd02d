"""Tests the zone failover policy, the operator's configuration file, and a balancer with a fixed decision."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import Bench, Client, Discovery, Server, call, play
from loopback import settings as settings_table
from program import log_line
from support import SEC, balancer, end
from test_node import connected, free_port, node_table, spawn
from test_operation import ask

from loadbalancer.config.operator_config import (
    NO_TABLES,
    OperatorConfigError,
    build,
    load,
)
from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    ListUpdateKind,
    Outcome,
    ZoneDecision,
    ZoneObservation,
)
from loadbalancer.policy.excess_rejection import rejected_parts
from loadbalancer.policy.zone_failover import (
    MIN_OBSERVED_TIME_US,
    ZoneFailover,
    ZoneFailoverRules,
)

ROOT = Path(__file__).parent.parent
STEP = SEC // 10
A, B, C = 0, 1, 2


class ThreeZones:
    """Three zones of ten endpoints and two instances; one instance's policy decides ten times a second."""

    def __init__(
        self, rules: ZoneFailoverRules, own_zone: int = A, load: float = 100.0
    ) -> None:
        self.policy = ZoneFailover(rules, own_zone)
        self.own_zone, self.load = own_zone, load
        self.ready = {A: 10, B: 10, C: 10}
        self.warm: dict[int, float] = {}
        self.unhealthy_parts: dict[int, float] = {}
        self.healthy = self.may_reject = True
        self.now = 0

    def step(self) -> ZoneDecision:
        self.now += STEP
        requests = self.load * STEP / 1e6
        return self.policy.decide(
            self.now,
            ZoneObservation(
                ready={z: n for z, n in self.ready.items() if n},
                warm={
                    z: self.warm.get(z, float(n)) for z, n in self.ready.items() if n
                },
                unhealthy=self.unhealthy_parts,
                requests_by_class=(int(requests / 2), int(requests / 2)),
                attempts_by_zone={self.own_zone: int(requests)},
                cost_by_class=(1.0, 1.0),
                priority_weights=(1.0, 10.0),
                instances=6,
                healthy=self.healthy,
                may_reject=self.may_reject,
            ),
        )

    def run(self, seconds: float) -> ZoneDecision:
        for _ in range(int(seconds * SEC / STEP)):
            decision = self.step()
        return decision


def shares(decision: ZoneDecision) -> dict[int, float]:
    return {zone: round(share, 3) for zone, share in decision.shares}


def test_calls_stay_in_their_zone_while_it_has_capacity():
    site = ThreeZones(ZoneFailoverRules())
    assert (
        site.run(MIN_OBSERVED_TIME_US / SEC - 1).shares == ()
    )  # it only observes at first
    decision = site.run(10)
    assert shares(decision) == {A: 1.0, B: 0.0, C: 0.0}
    assert not any(decision.reject)


def test_lost_zone_spills_up_to_the_limit_and_rejects_lowest_value_first():
    """Two instances of B share the spill capacity of A and C: 0.2 of 25 calls/s for each of 20 endpoints."""
    site = ThreeZones(ZoneFailoverRules(spill_limit=0.2, server_rate=25.0), own_zone=B)
    site.run(40)
    site.ready[B] = 0
    decision = site.run(4)
    assert shares(decision)[B] == 0
    assert site.policy.spilled_share * site.policy.load * 2 == pytest.approx(
        0.2 * 25 * 20, rel=0.05
    )
    assert site.policy.rejected_share == pytest.approx(0.5, rel=0.06)
    low_value_rejected, high_value_rejected = decision.reject
    assert low_value_rejected == pytest.approx(1.0, abs=0.06)
    assert high_value_rejected < 0.06
    # Below the first tier nothing is rejected, and the other zones get no more calls either.
    site.may_reject = False
    decision = site.run(1)
    assert not any(decision.reject)
    assert shares(decision)[B] == pytest.approx(0.5, rel=0.06)


def test_spill_never_exceeds_free_capacity_of_other_zones():
    site = ThreeZones(ZoneFailoverRules(spill_limit=0.9, server_rate=25.0), own_zone=B)
    site.run(120)
    site.ready[B] = 0
    site.run(2)
    # Each endpoint there gets 20 of the 25 calls per second that it can take from its own zone.
    assert site.policy.spilled_share * site.policy.load * 2 == pytest.approx(
        5 * 20, rel=0.05
    )


def test_two_lost_zones_share_spill_capacity_without_messages():
    site = ThreeZones(ZoneFailoverRules(spill_limit=0.2, server_rate=25.0), own_zone=B)
    site.run(40)
    site.ready[B] = site.ready[C] = 0
    site.run(4)
    assert site.policy.spilled_share * site.policy.load * 2 == pytest.approx(
        0.2 * 25 * 10 / 2, rel=0.05
    )


@pytest.mark.parametrize("rate", [25.0, 0.0])
def test_no_spill_when_half_of_every_zone_is_lost(rate):
    """Failure prevented: the zones exchange their excess, and all calls pay the cost of crossing."""
    site = ThreeZones(ZoneFailoverRules(spill_limit=0.3, server_rate=rate), own_zone=B)
    site.run(40)
    site.ready = dict.fromkeys((A, B, C), 5)
    site.healthy = False
    site.run(10)
    assert site.policy.spilled_share == 0
    assert site.policy.rejected_share > 0.3


def test_near_zones_are_filled_before_far_ones():
    site = ThreeZones(
        ZoneFailoverRules(near=frozenset({C}), spill_limit=0.5, server_rate=40.0),
        own_zone=B,
        load=40.0,
    )
    site.run(40)
    site.ready[B] = 0
    decision = shares(site.run(2))
    assert decision[C] == 1.0
    assert decision.get(A, 0.0) == 0.0


def test_retries_of_rejected_calls_do_not_count_as_load_of_other_zones():
    """Failure prevented: clients retry rejected calls, the zone assumes that all zones are busier, and
    rejects more.
    """
    site = ThreeZones(ZoneFailoverRules(spill_limit=0.2, server_rate=25.0), own_zone=B)
    site.run(40)
    site.ready[B] = 0
    site.run(2)
    before = site.policy.spilled_share * site.policy.load
    site.load *= 3
    site.run(10)
    assert site.policy.spilled_share * site.policy.load == pytest.approx(
        before, rel=0.05
    )


def test_lost_zone_leaves_no_spill_between_the_others():
    """The lost zone's clients move to both other zones, so spilling between those two would not help."""
    site = ThreeZones(ZoneFailoverRules(spill_limit=0.3, server_rate=25.0), own_zone=A)
    site.run(40)
    site.ready[B] = 0
    site.load = 140.0
    site.healthy = False
    site.run(10)
    assert site.policy.spilled_share == 0
    assert site.policy.rejected_share == pytest.approx(1 - 125 / 140, abs=0.01)


def test_recovery_ramp_follows_warm_endpoints_and_doubles_with_each_loss():
    rules = ZoneFailoverRules(return_time=10 * SEC, server_rate=25.0)
    site = ThreeZones(rules, own_zone=A)
    site.run(40)
    times = []
    for _ in range(3):
        site.ready[B] = 0
        site.run(20)
        assert site.policy.zones[B].usable_endpoints == 0
        site.ready[B] = 10
        site.step()
        steps = 0
        while site.policy.zones[B].usable_endpoints < 10:
            before = site.policy.zones[B].usable_endpoints
            site.step()
            assert site.policy.zones[B].usable_endpoints >= before
            steps += 1
        times.append(steps * STEP / SEC)
    assert times == pytest.approx([10, 20, 40], abs=0.5)
    site.run(rules.calm_time / SEC)
    site.ready[B] = 0
    site.run(1)
    site.ready[B], site.warm[B] = 10, 2.5  # cold: no more than its endpoints can take
    site.run(9)
    assert site.policy.zones[B].usable_endpoints == 2.5
    assert site.policy.zones[B].loss_count == 1


def test_panic_starts_and_stops_at_different_shares():
    site = ThreeZones(ZoneFailoverRules(panic_below=0.5, panic_until=0.7))
    panics = []
    for unwell in (0.0, 0.45, 0.55, 0.45, 0.35, 0.25, 0.45):
        site.unhealthy_parts = dict.fromkeys((A, B, C), unwell)
        panics.append(site.step().panic)
    assert panics == [False, False, True, True, True, False, False]
    site.unhealthy_parts = {B: 1.0}  # one zone of three: it is avoided without a panic
    assert not site.step().panic
    assert site.policy.zones[B].usable_endpoints == 0


def test_new_policy_does_not_take_a_low_observed_rate_for_the_capacity():
    """Failure prevented: a node that starts in a zone of cold endpoints rejects nearly every call."""
    site = ThreeZones(ZoneFailoverRules(), own_zone=A, load=1.0)
    site.warm[A] = 2.0
    for _ in range(300):
        assert not any(site.step().reject)
    site.warm[A], site.load, site.healthy = 10.0, 100.0, False
    assert site.run(10).shares == ()


RATES = st.just(0.0) | st.floats(
    0.1, 100
)  # lower rates are unrealistic and get lost in rounding


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(RATES, st.floats(0.1, 10), st.floats(0, 10)), min_size=1, max_size=6
    ),
    st.floats(0, 1),
)
def test_rejected_calls_are_the_excess_of_lowest_value(classes, excess):
    rates, cost, weights = zip(*classes, strict=True)
    parts = rejected_parts(rates, cost, weights, excess)
    work = [r * c for r, c in zip(rates, cost, strict=True)]
    assert all(0 <= p <= 1 for p in parts)
    total = sum(p * w for p, w in zip(parts, work, strict=True))
    assert total == pytest.approx(excess * sum(work), rel=1e-6, abs=1e-6)
    value_per_cost = [w / c for w, c in zip(weights, cost, strict=True)]
    for i, p in enumerate(parts):
        for j, q in enumerate(parts):
            if value_per_cost[i] < value_per_cost[j] and work[i] > 0 and q > 1e-6:
                assert p == pytest.approx(1.0)


class FixedPolicy:
    """A zone policy with a fixed decision."""

    def __init__(self, decision: ZoneDecision) -> None:
        self.decision = decision
        self.observations: list[ZoneObservation] = []

    def decide(self, now: int, observation: ZoneObservation) -> ZoneDecision:
        self.observations.append(observation)
        return self.decision

    def metrics(self) -> dict[str, float]:
        return {"zone_spilled": 0.5}


def run_with_decision(decision: ZoneDecision, count: int = 400):
    entries = [EndpointEntry(i + 1, zone=i % 3) for i in range(30)]
    node, rec = balancer(entries, instances=6)
    policy = FixedPolicy(decision)
    node.update_zone_policy(0, policy)
    sent, rejected = {A: 0, B: 0, C: 0}, [0, 0, 0]
    for i in range(count):
        now = i * 20_000
        node.request(now, i, i % 3, 0, 3 * SEC, False)
        for action in rec.take("send", "reject"):
            if action[0] == "reject":
                rejected[i % 3] += 1
            else:
                sent[(action[2] - 1) % 3] += 1
                end(node, rec, now + 10_000, i, 0, action[2], Outcome.OK)
    return node, policy, sent, rejected


def test_balancer_sends_by_the_decision_and_rejects_by_class():
    node, policy, sent, rejected = run_with_decision(
        ZoneDecision(((A, 0.75), (B, 0.25)), (1.0, 0.0, 0.0))
    )
    total = sum(sent.values())
    assert sent[C] == 0
    assert 0.65 < sent[A] / total < 0.85
    assert rejected[0] > 120
    assert rejected[1] == rejected[2] == 0
    assert policy.observations[-1].ready == {A: 10, B: 10, C: 10}
    assert sum(policy.observations[-1].requests_by_class) >= 5
    assert node.stats()["zone_spilled"] == 0.5


def test_other_zones_take_calls_of_an_empty_zone_unless_calls_are_rejected():
    node, _, sent, rejected = run_with_decision(
        ZoneDecision(((A, 1.0), (B, 0.0), (C, 0.0)))
    )
    assert sent[A]
    assert not sent[B]
    assert not sum(rejected)
    node.update_endpoints(
        20 * SEC,
        ListUpdateKind.CHANGES,
        [EndpointEntry(i, EndpointState.DRAINING, zone=A) for i in range(1, 31, 3)],
    )
    node.context.actions.take()
    node.request(20 * SEC, 9000, 0, 0, 3 * SEC, False)
    ((name, _, server, _),) = node.context.actions.take("send", "reject")
    assert name == "send"
    assert (server - 1) % 3 == B
    node.zones.decision = ZoneDecision(((A, 1.0),), (0.0, 0.0, 0.0))
    node.request(20 * SEC + 1, 9001, 0, 0, 3 * SEC, False)
    assert node.context.actions.take("send", "reject")[0][0] == "reject"


def test_panic_avoids_no_endpoint():
    node, policy, _, _ = run_with_decision(ZoneDecision(((A, 1.0), (B, 0.0), (C, 0.0))))
    victim = node.subset.eligible_by_zone[A][0]
    node.outliers.eject(9 * SEC, victim, silent=False)
    assert victim.ejected
    policy.decision = ZoneDecision(((A, 1.0),), (), True)
    node.decide_zones(10 * SEC)
    assert not victim.ejected
    assert not node.outliers.ejected
    node.outliers.eject(10 * SEC, victim, silent=False)
    assert not victim.ejected
    node.update_zone_policy(11 * SEC, None)
    node.outliers.eject(11 * SEC, victim, silent=False)
    assert victim.ejected
    assert not node.spill.enabled


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("zons = 1", ["zons: unknown key", "did you mean zones?"]),
        (
            "[zones]\nspill_limit_percnt = 3",
            ["zones.spill_limit_percnt: unknown key", "spill_limit_percent"],
        ),
        (
            "[zones]\nspill_limit_percent = 130",
            ["zones.spill_limit_percent: ", "<= 100"],
        ),
        ("[zones]\nreturn_s = 'soon'", ["zones.return_s: expected"]),
        (
            "[zones]\npanic_below_percent = 90",
            ["zones.panic_until_percent", "panic must not end at a lower"],
        ),
        (
            "[zones]\nnear = { a = ['a'] }",
            ["zones.near.a: the list names the zone itself"],
        ),
        (
            "[zones]\nnear = { a = ['b', 'b'] }",
            ["zones.near.a: the list names a zone twice"],
        ),
        ("[zones", ["not TOML"]),
    ],
)
def test_unusable_file_is_reported_with_path_and_rule(text, words, tmp_path):
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(OperatorConfigError) as failed:
        load(str(path))
    assert all(word in str(failed.value) for word in [str(path), *words])
    assert "\n" not in str(failed.value)
    command = [sys.executable, "-m", "loadbalancer", "check", "--operator", str(path)]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 2
    assert words[0] in done.stderr
    assert done.stderr.count("\n") == 1


def test_delivered_file_enables_nothing_and_shows_every_key():
    text = (ROOT / "deploy" / "operator.toml").read_text()
    assert load(str(ROOT / "deploy" / "operator.toml")) == NO_TABLES
    import tomllib

    shown = tomllib.loads(
        "\n".join(
            line.removeprefix("# ")
            for line in text.splitlines()
            if line[:3] in ("# [",) or "=" in line
        )
    )
    found = build(shown, "shown").zones
    assert found is not None
    assert set(shown["zones"]) == set(found.__struct_fields__)
    numbers = {"a": 0, "b": 1}
    assert found.rules("a", numbers.__getitem__) == ZoneFailoverRules(
        near=frozenset({1})
    )


def test_running_node_applies_the_file_completely_or_not_at_all(tmp_path):
    """On SIGHUP a valid file enables zones, an invalid one changes nothing, an empty one disables them."""

    async def scene():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        port, control = free_port(), free_port()
        table = node_table(
            discovery.port, settings_table(), f"127.0.0.1:{port}", server.entry("s0")
        )
        file = tmp_path / "operator.toml"
        file.write_text("[zones]\nspill_limit_percent = 10\n")
        node = await spawn(
            tmp_path,
            table,
            {"LB_CONTROL": f"127.0.0.1:{control}", "LB_OPERATOR": str(file)},
        )
        await connected(client := Client(port))
        assert (await client.ask(call()))[0] == 200
        file.write_text("[zones]\nspill_limit_percent = 'all'\n")
        node.send_signal(signal.SIGHUP)
        line = await log_line(node)
        assert b"zones.spill_limit_percent: expected" in line
        assert b"the old configuration stays" in line
        file.write_text("")
        node.send_signal(signal.SIGHUP)
        assert b"reload applied discovery=" in await log_line(node)
        assert (await client.ask(call()))[0] == 200
        stats = (await ask(control, "/admin/stats"))[2]
        assert (stats["sighup_applied"], stats["sighup_rejected"]) == (1, 1)
        client.writer.close()
        node.terminate()
        assert await asyncio.wait_for(node.wait(), 20) == 0

    play(scene)


def test_learned_state_stays_when_the_rules_change():
    async def scene():
        bench = await Bench(Server()).start()
        node, zones = bench.node, build({"zones": {}}, "x")
        assert node.balancer.zones.policy is None
        assert not node.balancer.spill.enabled
        node.reload(node.config, zones)
        policy = node.balancer.zones.policy
        assert isinstance(policy, ZoneFailover)
        assert node.balancer.spill.enabled
        policy.proven_rate = 12.0
        node.reload(node.config, build({"zones": {"spill_limit_percent": 5}}, "x"))
        assert node.balancer.zones.policy is policy
        assert policy.rules.spill_limit == 0.05
        assert policy.endpoint_rate == 15.0
        assert (await bench.once(call()))[0] == 200
        node.reload(node.config, None)
        assert node.balancer.zones.policy is None
        assert not node.balancer.spill.enabled
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_returning_zone_waits_for_approval_unless_another_is_lost():
    site = ThreeZones(ZoneFailoverRules(return_time=4 * SEC, server_rate=25.0))
    site.run(40)
    site.policy.approval_required = True
    site.ready[B] = 2
    site.run(5)
    site.ready[B] = 10
    site.run(20)
    zones = site.policy.zones
    assert zones[B].lost
    assert zones[B].usable_endpoints == 2
    assert set(site.policy.awaiting_approval) == {B}
    site.policy.approved_returns.add(B)
    site.run(6)
    assert not zones[B].lost
    assert zones[B].usable_endpoints == 10
    assert not site.policy.awaiting_approval
    for lost in (
        B,
        C,
    ):  # C is lost while B waits: B takes over its calls and needs no approval
        site.ready[lost] = 0
        site.run(5)
        site.ready[B] = 10
    site.run(10)
    assert not zones[B].lost
    assert zones[C].lost
    assert not site.policy.awaiting_approval


def test_node_without_the_file_imports_none_of_its_modules():
    code = (
        "import sys, loadbalancer.node.process;"
        "names = ('operator_config', 'zone_failover', 'retry_storm', 'structlog');"
        "print([m for m in sys.modules if m.endswith(names)])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == "[]"
