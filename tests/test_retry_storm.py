"""The judge of storms: noticed within a second, worth first, repeats by a budget, no second wave."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import OK, Bench, Server, call, play
from support import SEC, balancer

from loadbalancer.config.operator_config import build
from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    ListUpdateKind,
    Outcome,
)
from loadbalancer.policy.retry_storm import (
    MIN_RATE_PER_S,
    RECOVERY_TIME_US,
    RetryStormGuard,
    RetryStormRules,
)

WORTH = (1.0, 3.0, 10.0)
MS = 1000


class Crowd:
    """Clients of three classes, 20 a second each, before servers that bear `bears` a second and refuse what
    would wait for more than 0.4 s.

    Who is turned away comes back after `pause`, up to twice; `heeds` of them wait for what they are told.
    """

    def __init__(
        self, marks: bool = True, heeds: float = 0.0, seed: int = 1, **rules
    ) -> None:
        self.judge = RetryStormGuard(RetryStormRules(**rules), WORTH, seed)
        self.chance = Random(seed)
        self.marks, self.heeds = marks, heeds
        self.now = 0
        self.bears = 1e9
        self.spent = 0.0
        self.returns: list[tuple[int, int, int]] = []
        self.log: list[
            tuple[int, int, bool, bool, bool]
        ] = []  # when, class, repeat, let in, served

    def play(
        self, seconds: float, bears: float
    ) -> list[tuple[int, int, bool, bool, bool]]:
        begin = len(self.log)
        end = self.now + int(seconds * SEC)
        while self.now < end:
            self.now += 5 * MS
            self.spent = max(0.0, self.spent - bears * 0.005)
            for klass in range(3):
                if self.chance.random() < 0.1:
                    self.ask(klass, 0, bears)
            due = [r for r in self.returns if r[0] <= self.now]
            self.returns = [r for r in self.returns if r[0] > self.now]
            for _, klass, tries in due:
                self.ask(klass, tries, bears)
        return self.log[begin:]

    def ask(self, klass: int, tries: int, bears: float) -> None:
        repeat = tries > 0
        let_in = self.judge.admits(
            self.now, klass, repeat and self.marks, 2 * SEC, 50 * MS
        )
        served = let_in and self.spent < max(1.0, 0.4 * bears) and bears > 0
        self.log.append((self.now, klass, repeat, let_in, served))
        if served:
            self.spent += 1
            self.judge.record_end(self.now, klass, True)
            return
        wait = self.judge.record_rejection(klass, 2 * SEC, 20 * MS)
        assert 0 <= wait <= 2 * SEC
        if tries < 2:
            heeds = self.chance.random() < self.heeds
            self.returns.append(
                (self.now + (wait if heeds else 30 * MS), klass, tries + 1)
            )


def share(log, klass: int | None = None, repeat: bool = False) -> float:
    rows = [r for r in log if (klass is None or r[1] == klass) and r[2] == repeat]
    return sum(r[4] for r in rows) / len(rows)


@pytest.mark.parametrize("marks", [True, False])
def test_a_storm_is_noticed_within_a_second_and_not_where_all_is_served(marks):
    crowd = Crowd(marks)
    assert all(row[3] and row[4] for row in crowd.play(20, 1e9))
    assert not crowd.judge.active
    crowd.play(1.0, 0)
    assert crowd.judge.active
    assert crowd.judge.storm_count == 1


@pytest.mark.parametrize("marks", [True, False])
def test_what_is_worth_most_is_served_and_what_is_let_in_is_mostly_served(marks):
    crowd = Crowd(marks)
    crowd.play(20, 1e9)
    crowd.play(3, 0)
    crowd.play(2, 25)  # servers are back, for four tenths of the first tries alone
    log = crowd.play(10, 25)

    def wishes(klass: int) -> float:
        """How many of a class's wishes are served, at the first try or a further one."""
        return sum(r[4] for r in log if r[1] == klass) / sum(
            r[1] == klass and not r[2] for r in log
        )

    # 0.80 to 0.84 of the first and under 0.2 of the last, measured; 0.42 of each if all were let in alike.
    assert wishes(2) >= 0.75
    assert wishes(0) < 0.3
    let_in = [r for r in log if r[3]]
    assert sum(r[4] for r in let_in) > 0.6 * len(let_in)
    assert sum(r[4] for r in log) > 0.75 * 25 * 10  # and the servers are kept busy


@pytest.mark.parametrize(
    ("by_priority", "classes"), [(False, (0, 1, 2)), (True, (0, 1))]
)
def test_marked_repeats_get_no_more_than_their_share_of_what_is_served(
    by_priority, classes
):
    """Where worth decides, what is worth most need not pay."""
    crowd = Crowd(repeat_share=0.2, by_priority=by_priority)
    crowd.play(20, 1e9)
    crowd.play(3, 0)
    log = crowd.play(10, 25)
    served = sum(r[4] for r in log)
    repeats = sum(r[3] for r in log if r[2] and r[1] in classes)
    assert repeats <= 0.2 * served + 0.2 * 60 + 1


@pytest.mark.parametrize("heeds", [0.0, 0.5])
def test_after_a_storm_all_are_served_again_without_a_second_wave(heeds):
    crowd = Crowd(heeds=heeds)
    crowd.play(20, 1e9)
    crowd.play(10, 0)
    crowd.play(8, 200)
    log = crowd.play(RECOVERY_TIME_US / SEC + 10, 200)
    assert not crowd.judge.active
    assert crowd.judge.storm_count == 1
    assert (
        share(log) > 0.99 and share(log, repeat=True) >= 0
        if any(r[2] for r in log)
        else True
    )


def test_somebody_is_let_in_while_nothing_is_served():
    """Failure prevented: a node that lets nobody in never learns that its servers are back."""
    crowd = Crowd()
    crowd.play(20, 1e9)
    crowd.play(5, 0)
    log = crowd.play(5, 0)
    assert 0.3 * MIN_RATE_PER_S * 5 < sum(r[3] for r in log) < 4 * MIN_RATE_PER_S * 5


def test_a_storm_of_one_class_leaves_the_others_alone():
    crowd = Crowd()
    crowd.play(20, 1e9)
    served: list[bool] = []
    for i in range(
        4000
    ):  # one class's clients ask 200 times a second, and again whatever they hear
        crowd.now += 5 * MS
        if not crowd.judge.admits(crowd.now, 0, i > 20, 2 * SEC, MS) or i % 10:
            crowd.judge.record_rejection(0, 2 * SEC, MS)
        else:
            crowd.judge.record_end(crowd.now, 0, True)
        if i % 10 == 0:
            served.append(crowd.judge.admits(crowd.now, 2, False, 2 * SEC, MS))
            crowd.judge.record_end(crowd.now, 2, True)
    assert crowd.judge.active
    assert sum(served) > 0.99 * len(served)


def test_what_cannot_be_answered_in_its_time_is_not_let_in_during_a_storm():
    crowd = Crowd()
    crowd.play(20, 1e9)
    assert crowd.judge.admits(crowd.now, 2, False, 10 * MS, 50 * MS)
    crowd.play(3, 0)
    assert not crowd.judge.admits(crowd.now, 2, False, 10 * MS, 50 * MS)


def test_advice_is_spread_over_what_the_backlog_needs_and_sooner_for_what_is_worth_more():
    crowd = Crowd()
    crowd.play(20, 1e9)
    crowd.play(3, 0)
    low = [crowd.judge.record_rejection(0, 2 * SEC, 20 * MS) for _ in range(200)]
    high = [crowd.judge.record_rejection(2, 2 * SEC, 20 * MS) for _ in range(200)]
    assert max(low) <= 2 * SEC
    assert max(low) > 3 * min(low)
    assert len(set(low)) > 190
    assert sum(high) < 0.5 * sum(low)


def test_clocks_that_stand_or_jump_ahead_do_no_harm():
    crowd = Crowd()
    crowd.play(20, 1e9)
    crowd.play(3, 0)
    for now in (crowd.now, crowd.now - SEC, crowd.now + 3600 * SEC):
        crowd.judge.admits(now, 2, False, 2 * SEC, MS)
    crowd.now += 3600 * SEC
    assert share(crowd.play(20, 1e9)[-300:]) == 1.0
    assert not crowd.judge.active


@settings(derandomize=True, max_examples=30, deadline=None)
@given(
    st.integers(0, 99),
    st.lists(st.tuples(st.sampled_from([0.3, 2.0]), st.sampled_from([0, 9, 60, 1e9]))),
)
def test_the_same_calls_get_the_same_answers(seed, course):
    one, other = Crowd(seed=seed), Crowd(seed=seed)
    for seconds, bears in course[:6]:
        assert one.play(seconds, bears) == other.play(seconds, bears)
    assert one.judge.metrics() == other.judge.metrics()


def test_after_an_outage_few_members_may_take_together_what_many_did():
    """Failure prevented: each of four cold members gets what one of ten got, until the last is warm."""
    cold = 20 * SEC
    entries = [EndpointEntry(i + 1) for i in range(16)]
    node, rec = balancer(
        entries, instances=4, slow_start_time=cold, slow_start_initial_share=0.5
    )
    now, open_ = 0, []

    def second(rate: int) -> int:
        nonlocal now
        sent = 0
        for _ in range(rate):
            now += SEC // rate
            node.request(now, now, 0, 0, 2 * SEC, False)
            for name, request, *rest in rec.take("send", "reject"):
                if name == "send":
                    open_.append((now + 60_000, request, rest[0]))
                    sent += 1
            while open_ and open_[0][0] <= now:
                _, request, server = open_.pop(0)
                node.outcome(now, request, 0, server, Outcome.OK, 60_000, True, ())
        return sent

    for _ in range(20):
        usual = second(100)
    assert usual == 100
    assert len(node.subset.members) > 8
    gone = [EndpointEntry(e.endpoint, state=EndpointState.GONE) for e in entries]
    node.update_endpoints(now, ListUpdateKind.CHANGES, gone)
    for _ in range(10):
        assert second(100) == 0
    node.update_endpoints(
        now,
        ListUpdateKind.CHANGES,
        [EndpointEntry(i + 1, started_at=now) for i in range(16)],
    )
    second(100)
    # All are cold, at 0.53 to 0.58 of what they can: they take up to half of what would push them over.
    assert 60 <= second(100) <= 1.5 * 58


def test_a_node_takes_a_judge_of_storms_from_the_file_and_keeps_what_it_learned():
    async def scene():
        bench = await Bench(Server()).start()
        node = bench.node
        assert node.balancer.admission.retry_storm is None
        node.reload(node.config, build({"storms": {}}, "x"))
        judge = node.balancer.admission.retry_storm
        assert isinstance(judge, RetryStormGuard)
        assert judge.rules.repeat_share == 0.2
        assert (await bench.once(call()))[0] == 200
        assert judge.served.total == 1
        assert node.balancer.stats()["storm"] == 0
        node.reload(node.config, build({"storms": {"repeat_share_percent": 5}}, "x"))
        assert node.balancer.admission.retry_storm is judge
        assert judge.rules.repeat_share == 0.05
        # A refusal carries the judge's advice, within what the platform allows.
        judge.active, judge.rate = True, 1.0
        judge.admitted_fractions = [0.0] * len(judge.priority_weights)
        status, headers, _ = await bench.once(call())
        assert status == 503
        assert 0 < float(headers["retry-after"]) <= 2
        node.reload(node.config, None)
        assert node.balancer.admission.retry_storm is None
        assert (await bench.once(call()))[0] == 200

    play(scene)


def test_an_unsafe_request_runs_once_whatever_the_storm():
    """Counted at the server, which runs each request and says nothing."""

    async def scene():
        async def silent(request, writer):
            return None if request.target.startswith("/invite") else OK

        bench = await Bench(server := Server(silent)).start()
        bench.node.reload(bench.node.config, build({"storms": {}}, "x"))
        for _ in range(10):
            assert (await bench.once(call("invite", 60)))[0] in (502, 503, 504)
        names = [r.headers["x-call-id"] for r in server.requests]
        assert names
        assert len(names) == len(set(names))

    play(scene)


def test_other_worths_of_the_same_number_of_classes_are_taken_on():
    node, _ = balancer()
    judge = RetryStormGuard(
        RetryStormRules(), [c.priority_weight for c in node.context.settings.classes], 1
    )
    node.update_retry_storm_policy(0, judge)
    classes = [
        replace(c, priority_weight=i + 1.0)
        for i, c in enumerate(node.context.settings.classes)
    ]
    node.update_settings(1, replace(node.context.settings, classes=classes))
    assert judge.priority_weights == [1.0, 2.0, 3.0]
    assert judge.classes_by_weight == [2, 1, 0]
