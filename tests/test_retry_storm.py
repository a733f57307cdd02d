"""Tests of the retry storm guard.

A storm is detected within a second, classes are admitted by their weights, repeats spend from a budget,
and no second storm follows.
"""

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

PRIORITY_WEIGHTS = (1.0, 3.0, 10.0)
MS = 1000


class ClientSimulation:
    """Simulates clients of three classes and the servers behind the guard.

    Each class sends 20 requests per second. The servers serve `capacity` requests per second, and reject
    those that would wait for more than 0.4 s. A client whose request is not served sends it again up to
    twice: with `heeds_probability` after the delay that it was given, else after 30 ms.
    """

    def __init__(
        self,
        marks_repeats: bool = True,
        heeds_probability: float = 0.0,
        seed: int = 1,
        **rules,
    ) -> None:
        self.guard = RetryStormGuard(RetryStormRules(**rules), PRIORITY_WEIGHTS, seed)
        self.rng = Random(seed)
        self.marks_repeats, self.heeds_probability = marks_repeats, heeds_probability
        self.now = 0
        self.capacity = 1e9
        self.backlog = 0.0
        self.returns: list[tuple[int, int, int]] = []
        # Time, class, repeat, admitted, served.
        self.log: list[tuple[int, int, bool, bool, bool]] = []

    def play(
        self, seconds: float, capacity: float
    ) -> list[tuple[int, int, bool, bool, bool]]:
        first_row = len(self.log)
        end = self.now + int(seconds * SEC)
        while self.now < end:
            self.now += 5 * MS
            self.backlog = max(0.0, self.backlog - capacity * 0.005)
            for class_index in range(3):
                if self.rng.random() < 0.1:
                    self.send_request(class_index, 0, capacity)
            due = [r for r in self.returns if r[0] <= self.now]
            self.returns = [r for r in self.returns if r[0] > self.now]
            for _, class_index, earlier_attempts in due:
                self.send_request(class_index, earlier_attempts, capacity)
        return self.log[first_row:]

    def send_request(
        self, class_index: int, earlier_attempts: int, capacity: float
    ) -> None:
        repeat = earlier_attempts > 0
        admitted = self.guard.admits(
            self.now, class_index, repeat and self.marks_repeats, 2 * SEC, 50 * MS
        )
        served = admitted and self.backlog < max(1.0, 0.4 * capacity) and capacity > 0
        self.log.append((self.now, class_index, repeat, admitted, served))
        if served:
            self.backlog += 1
            self.guard.record_end(self.now, class_index, True)
            return
        wait = self.guard.record_rejection(class_index, 2 * SEC, 20 * MS)
        assert 0 <= wait <= 2 * SEC
        if earlier_attempts < 2:
            heeds_retry_after = self.rng.random() < self.heeds_probability
            self.returns.append(
                (
                    self.now + (wait if heeds_retry_after else 30 * MS),
                    class_index,
                    earlier_attempts + 1,
                )
            )


def served_fraction(log, class_index: int | None = None, repeat: bool = False) -> float:
    rows = [
        r
        for r in log
        if (class_index is None or r[1] == class_index) and r[2] == repeat
    ]
    return sum(r[4] for r in rows) / len(rows)


@pytest.mark.parametrize("marks_repeats", [True, False])
def test_storm_is_detected_within_a_second_and_not_while_all_requests_are_served(
    marks_repeats,
):
    clients = ClientSimulation(marks_repeats)
    assert all(row[3] and row[4] for row in clients.play(20, 1e9))
    assert not clients.guard.active
    clients.play(1.0, 0)
    assert clients.guard.active
    assert clients.guard.storm_count == 1


@pytest.mark.parametrize("marks_repeats", [True, False])
def test_highest_class_is_served_and_most_admitted_requests_are_served(marks_repeats):
    clients = ClientSimulation(marks_repeats)
    clients.play(20, 1e9)
    clients.play(3, 0)
    # Servers are back, with capacity for 40 % of the first attempts.
    clients.play(2, 25)
    log = clients.play(10, 25)

    def served_requests_fraction(class_index: int) -> float:
        """Returns the fraction of a class's requests that are served, at the first attempt or a repeat."""
        return sum(r[4] for r in log if r[1] == class_index) / sum(
            r[1] == class_index and not r[2] for r in log
        )

    # Measured: 0.80 to 0.84 of the highest class and under 0.2 of the lowest; 0.42 of each class if all
    # requests were admitted alike.
    assert served_requests_fraction(2) >= 0.75
    assert served_requests_fraction(0) < 0.3
    admitted = [r for r in log if r[3]]
    assert sum(r[4] for r in admitted) > 0.6 * len(admitted)
    assert sum(r[4] for r in log) > 0.75 * 25 * 10  # The servers are kept busy.


@pytest.mark.parametrize(
    ("by_priority", "classes"), [(False, (0, 1, 2)), (True, (0, 1))]
)
def test_marked_repeats_stay_within_their_budget(by_priority, classes):
    """With `by_priority` the class with the highest weight is exempt."""
    clients = ClientSimulation(repeat_share=0.2, by_priority=by_priority)
    clients.play(20, 1e9)
    clients.play(3, 0)
    log = clients.play(10, 25)
    served = sum(r[4] for r in log)
    repeats = sum(r[3] for r in log if r[2] and r[1] in classes)
    assert repeats <= 0.2 * served + 0.2 * 60 + 1


@pytest.mark.parametrize("heeds_probability", [0.0, 0.5])
def test_after_a_storm_all_requests_are_served_without_a_second_storm(
    heeds_probability,
):
    clients = ClientSimulation(heeds_probability=heeds_probability)
    clients.play(20, 1e9)
    clients.play(10, 0)
    clients.play(8, 200)
    log = clients.play(RECOVERY_TIME_US / SEC + 10, 200)
    assert not clients.guard.active
    assert clients.guard.storm_count == 1
    assert (
        served_fraction(log) > 0.99 and served_fraction(log, repeat=True) >= 0
        if any(r[2] for r in log)
        else True
    )


def test_a_minimum_rate_is_admitted_while_nothing_is_served():
    """Guards against a node that admits no request and so never learns that its servers are back."""
    clients = ClientSimulation()
    clients.play(20, 1e9)
    clients.play(5, 0)
    log = clients.play(5, 0)
    assert 0.3 * MIN_RATE_PER_S * 5 < sum(r[3] for r in log) < 4 * MIN_RATE_PER_S * 5


def test_storm_of_one_class_does_not_affect_other_classes():
    clients = ClientSimulation()
    clients.play(20, 1e9)
    served: list[bool] = []
    # The clients of one class send 200 requests per second, whatever the answers.
    for i in range(4000):
        clients.now += 5 * MS
        if not clients.guard.admits(clients.now, 0, i > 20, 2 * SEC, MS) or i % 10:
            clients.guard.record_rejection(0, 2 * SEC, MS)
        else:
            clients.guard.record_end(clients.now, 0, True)
        if i % 10 == 0:
            served.append(clients.guard.admits(clients.now, 2, False, 2 * SEC, MS))
            clients.guard.record_end(clients.now, 2, True)
    assert clients.guard.active
    assert sum(served) > 0.99 * len(served)


def test_request_that_cannot_be_answered_in_time_is_not_admitted_during_a_storm():
    clients = ClientSimulation()
    clients.play(20, 1e9)
    assert clients.guard.admits(clients.now, 2, False, 10 * MS, 50 * MS)
    clients.play(3, 0)
    assert not clients.guard.admits(clients.now, 2, False, 10 * MS, 50 * MS)


def test_return_delays_spread_over_the_backlog_and_are_shorter_for_higher_weights():
    clients = ClientSimulation()
    clients.play(20, 1e9)
    clients.play(3, 0)
    low_class_delays = [
        clients.guard.record_rejection(0, 2 * SEC, 20 * MS) for _ in range(200)
    ]
    high_class_delays = [
        clients.guard.record_rejection(2, 2 * SEC, 20 * MS) for _ in range(200)
    ]
    assert max(low_class_delays) <= 2 * SEC
    assert max(low_class_delays) > 3 * min(low_class_delays)
    assert len(set(low_class_delays)) > 190
    assert sum(high_class_delays) < 0.5 * sum(low_class_delays)


def test_clock_that_stands_still_or_jumps_does_no_harm():
    clients = ClientSimulation()
    clients.play(20, 1e9)
    clients.play(3, 0)
    for now in (clients.now, clients.now - SEC, clients.now + 3600 * SEC):
        clients.guard.admits(now, 2, False, 2 * SEC, MS)
    clients.now += 3600 * SEC
    assert served_fraction(clients.play(20, 1e9)[-300:]) == 1.0
    assert not clients.guard.active


@settings(derandomize=True, max_examples=30, deadline=None)
@given(
    st.integers(0, 99),
    st.lists(st.tuples(st.sampled_from([0.3, 2.0]), st.sampled_from([0, 9, 60, 1e9]))),
)
def test_same_requests_get_the_same_decisions(seed, phases):
    one, other = ClientSimulation(seed=seed), ClientSimulation(seed=seed)
    for seconds, capacity in phases[:6]:
        assert one.play(seconds, capacity) == other.play(seconds, capacity)
    assert one.guard.metrics() == other.guard.metrics()


def test_after_an_outage_few_cold_members_share_the_traffic_of_many():
    """Guards against cold members that each get the former rate of one of ten members until all are warm."""
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
    # All are cold, at 0.53 to 0.58 of their capacity. They receive up to half of the rate that would make
    # them fail.
    assert 60 <= second(100) <= 1.5 * 58


def test_node_creates_a_guard_from_its_configuration_and_keeps_its_state():
    async def scenario():
        bench = await Bench(Server()).start()
        node = bench.node
        assert node.balancer.admission.retry_storm is None
        node.reload(node.config, build({"storms": {}}, "x"))
        guard = node.balancer.admission.retry_storm
        assert isinstance(guard, RetryStormGuard)
        assert guard.rules.repeat_share == 0.2
        assert (await bench.once(call()))[0] == 200
        assert guard.served.total == 1
        assert node.balancer.stats()["storm"] == 0
        node.reload(node.config, build({"storms": {"repeat_share_percent": 5}}, "x"))
        assert node.balancer.admission.retry_storm is guard
        assert guard.rules.repeat_share == 0.05
        # A rejection carries the delay that the guard sets, within the platform's maximum.
        guard.active, guard.rate = True, 1.0
        guard.admitted_fractions = [0.0] * len(guard.priority_weights)
        status, headers, _ = await bench.once(call())
        assert status == 503
        assert 0 < float(headers["retry-after"]) <= 2
        node.reload(node.config, None)
        assert node.balancer.admission.retry_storm is None
        assert (await bench.once(call()))[0] == 200

    play(scenario)


def test_unsafe_request_runs_once_even_during_a_storm():
    """The executions are counted at a server that runs each request and does not answer."""

    async def scenario():
        async def silent(request, writer):
            return None if request.target.startswith("/invite") else OK

        bench = await Bench(server := Server(silent)).start()
        bench.node.reload(bench.node.config, build({"storms": {}}, "x"))
        for _ in range(10):
            assert (await bench.once(call("invite", 60)))[0] in (502, 503, 504)
        names = [r.headers["x-call-id"] for r in server.requests]
        assert names
        assert len(names) == len(set(names))

    play(scenario)


def test_changed_weights_of_the_same_number_of_classes_are_applied():
    node, _ = balancer()
    guard = RetryStormGuard(
        RetryStormRules(), [c.priority_weight for c in node.context.settings.classes], 1
    )
    node.update_retry_storm_policy(0, guard)
    classes = [
        replace(c, priority_weight=i + 1.0)
        for i, c in enumerate(node.context.settings.classes)
    ]
    node.update_settings(1, replace(node.context.settings, classes=classes))
    assert guard.priority_weights == [1.0, 2.0, 3.0]
    assert guard.classes_by_weight == [2, 1, 0]
