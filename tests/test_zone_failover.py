"""The judge of zones by itself, the operators' file, and the module under a verdict."""

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
    LEARN_TIME_US,
    ZoneFailover,
    ZoneFailoverRules,
)

ROOT = Path(__file__).parent.parent
STEP = SEC // 10
A, B, C = 0, 1, 2


class Site:
    """Three zones of ten servers and two copies each; one copy's judge is asked ten times a second."""

    def __init__(
        self, rules: ZoneFailoverRules, here: int = A, load: float = 100.0
    ) -> None:
        self.judge = ZoneFailover(rules, here)
        self.here, self.load = here, load
        self.ready = {A: 10, B: 10, C: 10}
        self.warm: dict[int, float] = {}
        self.unwell: dict[int, float] = {}
        self.well = self.refuses = True
        self.now = 0

    def step(self) -> ZoneDecision:
        self.now += STEP
        asked = self.load * STEP / 1e6
        return self.judge.decide(
            self.now,
            ZoneObservation(
                ready={z: n for z, n in self.ready.items() if n},
                warm={
                    z: self.warm.get(z, float(n)) for z, n in self.ready.items() if n
                },
                unhealthy=self.unwell,
                requests_by_class=(int(asked / 2), int(asked / 2)),
                attempts_by_zone={self.here: int(asked)},
                cost_by_class=(1.0, 1.0),
                priority_weights=(1.0, 10.0),
                instances=6,
                healthy=self.well,
                may_reject=self.refuses,
            ),
        )

    def run(self, seconds: float) -> ZoneDecision:
        for _ in range(int(seconds * SEC / STEP)):
            verdict = self.step()
        return verdict


def shares(verdict: ZoneDecision) -> dict[int, float]:
    return {zone: round(share, 3) for zone, share in verdict.shares}


def test_calls_stay_in_their_zone_while_it_bears_them():
    site = Site(ZoneFailoverRules())
    assert site.run(LEARN_TIME_US / SEC - 1).shares == ()  # it has only looked on
    verdict = site.run(10)
    assert shares(verdict) == {A: 1.0, B: 0.0, C: 0.0}
    assert not any(verdict.reject)


def test_a_lost_zone_spills_up_to_the_limit_and_refuses_the_rest_worth_least_first():
    """Two copies of B share what is free in A and C: 0.2 of 25 calls a second for each of 20 servers."""
    site = Site(ZoneFailoverRules(spill_limit=0.2, server_rate=25.0), here=B)
    site.run(40)
    site.ready[B] = 0
    verdict = site.run(4)
    assert shares(verdict)[B] == 0
    assert site.judge.spilled_share * site.judge.load * 2 == pytest.approx(
        0.2 * 25 * 20, rel=0.05
    )
    assert site.judge.rejected_share == pytest.approx(0.5, rel=0.06)
    worthless, worthy = verdict.reject
    assert worthless == pytest.approx(1.0, abs=0.06)
    assert worthy < 0.06
    # Below the first tier nothing is refused, and no more goes to the others either.
    site.refuses = False
    verdict = site.run(1)
    assert not any(verdict.reject)
    assert shares(verdict)[B] == pytest.approx(0.5, rel=0.06)


def test_the_limit_never_takes_more_than_the_other_zones_have_free():
    site = Site(ZoneFailoverRules(spill_limit=0.9, server_rate=25.0), here=B)
    site.run(120)
    site.ready[B] = 0
    site.run(2)
    # Each server there has 20 of its 25 calls a second already.
    assert site.judge.spilled_share * site.judge.load * 2 == pytest.approx(
        5 * 20, rel=0.05
    )


def test_two_lost_zones_share_the_room_that_is_left_without_a_word():
    site = Site(ZoneFailoverRules(spill_limit=0.2, server_rate=25.0), here=B)
    site.run(40)
    site.ready[B] = site.ready[C] = 0
    site.run(4)
    assert site.judge.spilled_share * site.judge.load * 2 == pytest.approx(
        0.2 * 25 * 10 / 2, rel=0.05
    )


@pytest.mark.parametrize("rate", [25.0, 0.0])
def test_with_half_of_every_zone_lost_none_sends_to_the_others(rate):
    """Failure prevented: each hands the others what they hand it, and all pay for the crossing."""
    site = Site(ZoneFailoverRules(spill_limit=0.3, server_rate=rate), here=B)
    site.run(40)
    site.ready = dict.fromkeys((A, B, C), 5)
    site.well = False
    site.run(10)
    assert site.judge.spilled_share == 0
    assert site.judge.rejected_share > 0.3


def test_near_zones_are_filled_before_far_ones():
    site = Site(
        ZoneFailoverRules(near=frozenset({C}), spill_limit=0.5, server_rate=40.0),
        here=B,
        load=40.0,
    )
    site.run(40)
    site.ready[B] = 0
    verdict = shares(site.run(2))
    assert verdict[C] == 1.0
    assert verdict.get(A, 0.0) == 0.0


def test_repeats_of_what_is_refused_are_not_taken_for_load_elsewhere():
    """Failure prevented: clients come again for what was refused, the zone thinks all zones busier, and
    refuses more.
    """
    site = Site(ZoneFailoverRules(spill_limit=0.2, server_rate=25.0), here=B)
    site.run(40)
    site.ready[B] = 0
    site.run(2)
    before = site.judge.spilled_share * site.judge.load
    site.load *= 3
    site.run(10)
    assert site.judge.spilled_share * site.judge.load == pytest.approx(before, rel=0.05)


def test_a_whole_zone_that_is_lost_leaves_no_room_for_spill_between_the_others():
    """Its clients come here as they come to the third zone; passing them on to each other helps nobody."""
    site = Site(ZoneFailoverRules(spill_limit=0.3, server_rate=25.0), here=A)
    site.run(40)
    site.ready[B] = 0
    site.load = 140.0
    site.well = False
    site.run(10)
    assert site.judge.spilled_share == 0
    assert site.judge.rejected_share == pytest.approx(1 - 125 / 140, abs=0.01)


def test_the_way_back_follows_warmth_and_doubles_with_each_loss():
    rules = ZoneFailoverRules(return_time=10 * SEC, server_rate=25.0)
    site = Site(rules, here=A)
    site.run(40)
    times = []
    for _ in range(3):
        site.ready[B] = 0
        site.run(20)
        assert site.judge.zones[B].usable_endpoints == 0
        site.ready[B] = 10
        site.step()
        steps = 0
        while site.judge.zones[B].usable_endpoints < 10:
            before = site.judge.zones[B].usable_endpoints
            site.step()
            assert site.judge.zones[B].usable_endpoints >= before
            steps += 1
        times.append(steps * STEP / SEC)
    assert times == pytest.approx([10, 20, 40], abs=0.5)
    site.run(rules.calm_time / SEC)
    site.ready[B] = 0
    site.run(1)
    site.ready[B], site.warm[B] = 10, 2.5  # cold: not more than its servers bear
    site.run(9)
    assert site.judge.zones[B].usable_endpoints == 2.5
    assert site.judge.zones[B].loss_count == 1


def test_panic_begins_and_ends_at_different_shares():
    site = Site(ZoneFailoverRules(panic_below=0.5, panic_until=0.7))
    told = []
    for unwell in (0.0, 0.45, 0.55, 0.45, 0.35, 0.25, 0.45):
        site.unwell = dict.fromkeys((A, B, C), unwell)
        told.append(site.step().panic)
    assert told == [False, False, True, True, True, False, False]
    site.unwell = {B: 1.0}  # one zone of three: it is avoided, no panic
    assert not site.step().panic
    assert site.judge.zones[B].usable_endpoints == 0


def test_a_new_judge_does_not_take_the_little_it_has_seen_for_all_there_is():
    """Failure prevented: a node that starts into a zone of cold servers refuses nearly everything."""
    site = Site(ZoneFailoverRules(), here=A, load=1.0)
    site.warm[A] = 2.0
    for _ in range(300):
        assert not any(site.step().reject)
    site.warm[A], site.load, site.well = 10.0, 100.0, False
    assert site.run(10).shares == ()


RATES = st.just(0.0) | st.floats(
    0.1, 100
)  # less is nobody's traffic, and lost in rounding


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(RATES, st.floats(0.1, 10), st.floats(0, 10)), min_size=1, max_size=6
    ),
    st.floats(0, 1),
)
def test_what_is_refused_is_the_excess_and_worth_least(classes, excess):
    rates, cost, worth = zip(*classes, strict=True)
    parts = rejected_parts(rates, cost, worth, excess)
    work = [r * c for r, c in zip(rates, cost, strict=True)]
    assert all(0 <= p <= 1 for p in parts)
    total = sum(p * w for p, w in zip(parts, work, strict=True))
    assert total == pytest.approx(excess * sum(work), rel=1e-6, abs=1e-6)
    density = [w / c for w, c in zip(worth, cost, strict=True)]
    for i, p in enumerate(parts):
        for j, q in enumerate(parts):
            if density[i] < density[j] and work[i] > 0 and q > 1e-6:
                assert p == pytest.approx(1.0)


class Fixed:
    """A judge that always says the same."""

    def __init__(self, verdict: ZoneDecision) -> None:
        self.verdict = verdict
        self.states: list[ZoneObservation] = []

    def decide(self, now: int, state: ZoneObservation) -> ZoneDecision:
        self.states.append(state)
        return self.verdict

    def metrics(self) -> dict[str, float]:
        return {"zone_spilled": 0.5}


def judged(verdict: ZoneDecision, count: int = 400):
    entries = [EndpointEntry(i + 1, zone=i % 3) for i in range(30)]
    node, rec = balancer(entries, instances=6)
    judge = Fixed(verdict)
    node.update_zone_policy(0, judge)
    sent, refused_now = {A: 0, B: 0, C: 0}, [0, 0, 0]
    for i in range(count):
        now = i * 20_000
        node.request(now, i, i % 3, 0, 3 * SEC, False)
        for action in rec.take("send", "reject"):
            if action[0] == "reject":
                refused_now[i % 3] += 1
            else:
                sent[(action[2] - 1) % 3] += 1
                end(node, rec, now + 10_000, i, 0, action[2], Outcome.OK)
    return node, judge, sent, refused_now


def test_the_module_sends_by_the_verdict_and_refuses_by_class():
    node, judge, sent, gone = judged(
        ZoneDecision(((A, 0.75), (B, 0.25)), (1.0, 0.0, 0.0))
    )
    total = sum(sent.values())
    assert sent[C] == 0
    assert 0.65 < sent[A] / total < 0.85
    assert gone[0] > 120
    assert gone[1] == gone[2] == 0
    assert judge.states[-1].ready == {A: 10, B: 10, C: 10}
    assert sum(judge.states[-1].requests_by_class) >= 5
    assert node.stats()["zone_spilled"] == 0.5


def test_without_anyone_in_the_first_zone_the_others_take_calls_unless_they_are_limited():
    node, _, sent, gone = judged(ZoneDecision(((A, 1.0), (B, 0.0), (C, 0.0))))
    assert sent[A]
    assert not sent[B]
    assert not sum(gone)
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


def test_in_panic_nobody_is_avoided():
    node, judge, _, _ = judged(ZoneDecision(((A, 1.0), (B, 0.0), (C, 0.0))))
    victim = node.subset.eligible_by_zone[A][0]
    node.outliers.eject(9 * SEC, victim, silent=False)
    assert victim.ejected
    judge.verdict = ZoneDecision(((A, 1.0),), (), True)
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
def test_a_file_that_cannot_be_used_says_where_and_what(text, words, tmp_path):
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


def test_the_file_as_delivered_switches_nothing_on_and_shows_every_key():
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


def test_a_running_node_takes_the_file_whole_or_not_at_all(tmp_path):
    """SIGHUP: a good file switches zones on, a broken one changes nothing, an empty one switches them off."""

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
        line = await node.stderr.readline()
        assert b"zones.spill_limit_percent: expected" in line
        assert b"the old configuration stays" in line
        file.write_text("")
        node.send_signal(signal.SIGHUP)
        assert b"reload applied discovery=" in await node.stderr.readline()
        assert (await client.ask(call()))[0] == 200
        figures = (await ask(control, "/admin/stats"))[2]
        assert (figures["sighup_applied"], figures["sighup_rejected"]) == (1, 1)
        client.writer.close()
        node.terminate()
        assert await asyncio.wait_for(node.wait(), 20) == 0

    play(scene)


def test_what_was_learned_stays_when_the_rules_change():
    async def scene():
        bench = await Bench(Server()).start()
        node, zones = bench.node, build({"zones": {}}, "x")
        assert node.balancer.zones.policy is None
        assert not node.balancer.spill.enabled
        node.reload(node.config, zones)
        judge = node.balancer.zones.policy
        assert isinstance(judge, ZoneFailover)
        assert node.balancer.spill.enabled
        judge.proven_rate = 12.0
        node.reload(node.config, build({"zones": {"spill_limit_percent": 5}}, "x"))
        assert node.balancer.zones.policy is judge
        assert judge.rules.spill_limit == 0.05
        assert judge.endpoint_rate == 15.0
        assert (await bench.once(call()))[0] == 200
        node.reload(node.config, None)
        assert node.balancer.zones.policy is None
        assert not node.balancer.spill.enabled
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_a_zone_that_comes_back_waits_to_be_let_unless_another_is_lost():
    site = Site(ZoneFailoverRules(return_time=4 * SEC, server_rate=25.0))
    site.run(40)
    site.judge.approval_required = True
    site.ready[B] = 2
    site.run(5)
    site.ready[B] = 10
    site.run(20)
    zones = site.judge.zones
    assert zones[B].lost
    assert zones[B].usable_endpoints == 2
    assert set(site.judge.awaiting_approval) == {B}
    site.judge.approved_returns.add(B)
    site.run(6)
    assert not zones[B].lost
    assert zones[B].usable_endpoints == 10
    assert not site.judge.awaiting_approval
    for lost in (
        B,
        C,
    ):  # C goes while B waits: what takes over its calls waits for nobody
        site.ready[lost] = 0
        site.run(5)
        site.ready[B] = 10
    site.run(10)
    assert not zones[B].lost
    assert zones[C].lost
    assert not site.judge.awaiting_approval


def test_a_node_without_the_file_imports_nothing_of_it():
    code = (
        "import sys, loadbalancer.node.process;"
        "print([m for m in sys.modules if m.endswith(('operation', 'zones', 'storms', 'structlog'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == "[]"
