"""Tests of the balancer: the rules for each kind of idempotency, and the failures that it handles."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from support import BASE, KEYED, SAFE, SEC, UNSAFE, ask, balancer, end

from loadbalancer.policy import subset
from loadbalancer.policy.api import (
    NEVER_RAN,
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Outcome,
    RequestClass,
    Settings,
    TenantSettings,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.slow_start import OVERLOAD_FRACTION, WARM_RATE_SMOOTHING_US

MAY_HAVE_RUN = [o for o in Outcome if o not in NEVER_RAN and o != Outcome.OK]


@pytest.fixture
def wide_subset(monkeypatch):
    """Makes all endpoints of a small list members."""
    monkeypatch.setattr(subset, "SUBSET_LEAST", 24)


def test_request_at_the_limit_is_rejected_at_once_with_retry_after():
    node, rec = balancer(1)
    limit = int(node.limit.allowed())
    answers = [ask(node, rec, 0, i)[0] for i in range(limit + 1)]
    assert answers == ["send"] * limit + ["reject"]
    node.request(0, 99, 0, 0, 3 * SEC, False)
    ((_, request, retry_after),) = rec.take()
    assert request == 99
    assert 0 < retry_after <= 2 * SEC
    assert node.stats()["rq_blocked"] == 2


@pytest.mark.parametrize("outcome", sorted(NEVER_RAN))
@pytest.mark.parametrize("klass", [0, 1, 2])
def test_attempt_that_never_ran_is_retried(outcome, klass):
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1, klass)
    ((action, *_),) = end(node, rec, 1000, 1, 0, server, outcome)
    assert action == "send"


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_unsafe_request_fails_once_it_may_have_run(outcome):
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1, 2)
    assert end(node, rec, 1000, 1, 0, server, outcome) == [("fail", 1)]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_safe_request_is_retried_then_rejected_at_the_maximum_of_attempts(outcome):
    node, rec = balancer(max_attempts=2)
    _, _, server, _ = ask(node, rec, 0, 1, 0)
    ((action, _, other, _),) = end(node, rec, 1000, 1, 0, server, outcome)
    assert action == "send"
    ((action, *_),) = end(node, rec, 2000, 1, 1, other, outcome)
    assert action == "reject"


def test_keyed_repeats_stay_in_the_scope_and_the_idempotency_window():
    for group, field in (
        (DeduplicationScope.CELL, "cell"),
        (DeduplicationScope.ZONE, "zone"),
    ):
        entries = [EndpointEntry(i + 1, **{field: i % 2}) for i in range(8)]
        klass = RequestClass(
            Idempotency.WITH_KEY,
            latency_objective=SEC,
            deadline=9 * SEC,
            priority_weight=1,
            late_priority_weight=0.5,
            deduplication_scope=group,
            idempotency_window=SEC,
        )
        for seed in range(10):
            node, rec = balancer(entries, seed=seed, classes=(klass,))
            _, _, server, _ = ask(node, rec, 0, 1)
            ((action, _, other, _),) = end(node, rec, 1000, 1, 0, server, Outcome.ERROR)
            assert action == "send"
            assert other % 2 == server % 2
            assert other != server
            assert end(node, rec, SEC + 1, 1, 1, other, Outcome.ERROR) == [("fail", 1)]


def test_keyed_request_fails_if_its_scope_has_no_other_endpoint():
    node, rec = balancer([EndpointEntry(1, cell=1), EndpointEntry(2, cell=2)])
    _, _, server, _ = ask(node, rec, 0, 1, 1)
    assert end(node, rec, 1000, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_retries_are_limited_by_a_budget():
    """Retries multiply through tiers, so a subset that fails every call gets few further attempts."""
    node, rec = balancer(4)
    sends = 0
    for i in range(100):
        todo = [ask(node, rec, i * 1000, i)]
        attempt = 0
        while todo and todo[0][0] == "send":
            sends += 1
            todo = end(node, rec, i * 1000 + 500, i, attempt, todo[0][2], Outcome.ERROR)
            attempt += 1
    assert 100 < sends <= 100 + 100 * 0.1 + 4


def test_timeout_at_the_deadline_gets_the_final_answer():
    for klass, answer in ((0, "reject"), (1, "fail"), (2, "fail")):
        node, rec = balancer()
        _, _, server, timeout = ask(node, rec, 0, 1, klass)
        assert timeout == 3 * SEC
        ((action, *_),) = end(
            node, rec, timeout, 1, 0, server, Outcome.TIMEOUT, timeout
        )
        assert action == answer
        assert not node.requests


def test_class_without_late_value_does_not_wait_beyond_its_latency_objective():
    """Work on an answer that has lost its value is wasted."""
    klass = RequestClass(
        Idempotency.IDEMPOTENT,
        latency_objective=SEC,
        deadline=3 * SEC,
        priority_weight=1,
    )
    node, rec = balancer(classes=(klass,))
    assert ask(node, rec, 0, 1)[3] < SEC


def test_request_without_an_eligible_endpoint_is_rejected_at_once():
    for klass in (0, 1, 2):
        node, rec = balancer(0)
        assert ask(node, rec, 0, 1, klass)[0] == "reject"


def test_no_new_call_goes_to_a_draining_or_gone_endpoint():
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        node, rec = balancer(4)
        node.update_endpoints(10, ListUpdateKind.CHANGES, [EndpointEntry(2, state)])
        rec.take()
        servers = set()
        for i in range(5):
            servers.add(ask(node, rec, 20, i, 2)[2])
        for i in range(100, 160):
            server = ask(node, rec, i, i, 2)[2]
            servers.add(server)
            end(node, rec, i, i, 0, server, Outcome.OK)
        assert servers == {1, 3, 4}


def test_full_list_removes_endpoints_that_it_does_not_name():
    node, _rec = balancer(4)
    node.update_endpoints(
        10,
        ListUpdateKind.FULL,
        [EndpointEntry(1), EndpointEntry(1, zone=3), EndpointEntry(4)],
    )
    assert sorted(m.id for m in node.subset.members) == [1, 4]
    assert node.table.endpoints[1].zone == 3
    node.update_endpoints(10, ListUpdateKind.FAILED, [])
    assert len(node.subset.members) == 2


def test_drained_endpoint_that_fails_gets_no_trial():
    """A drained endpoint whose last calls fail would get a trial if it were ejected after its removal."""
    node, rec = balancer(4)
    held = []
    for i in range(12):
        _, request, server, _ = ask(node, rec, 0, i, 2)
        held.append((request, server))
    drained = max(range(1, 5), key=[server for _, server in held].count)
    node.update_endpoints(
        1, ListUpdateKind.CHANGES, [EndpointEntry(drained, EndpointState.DRAINING)]
    )
    for request, server in held:
        end(
            node,
            rec,
            2,
            request,
            0,
            server,
            Outcome.ERROR if server == drained else Outcome.OK,
        )
    assert sum(server == drained for _, server in held) >= 3
    assert node.outliers.ejected == []
    for i in range(100, 200):
        _, _, server, _ = ask(node, rec, i * SEC, i)
        assert server != drained
        end(node, rec, i * SEC, i, 0, server, Outcome.OK)


def test_subset_is_bounded_and_refilled():
    node, _rec = balancer(60, instances=10)
    size = len(node.subset.members)
    assert size < 60
    first = node.subset.members[0].id
    node.update_endpoints(
        1, ListUpdateKind.CHANGES, [EndpointEntry(first, EndpointState.GONE)]
    )
    assert len(node.subset.members) == size
    assert first not in {m.id for m in node.subset.members}


def test_every_endpoint_is_in_a_subset_if_instances_are_few():
    """Subsets that start four endpoints apart would leave most of a large fleet idle."""
    for servers, instances, bound in (
        (900, 10, 91),
        (60, 12, 24),
        (2000, 10, 128),
    ):
        subsets_by_endpoint: dict[int, int] = {}
        for index in range(instances):
            node, _ = balancer(servers, instances=instances, index=index)
            assert len(node.subset.members) <= bound
            for m in node.subset.members:
                subsets_by_endpoint[m.id] = subsets_by_endpoint.get(m.id, 0) + 1
        if servers == 900:
            assert len(subsets_by_endpoint) == servers
            assert max(subsets_by_endpoint.values()) <= 2
        assert (
            max(subsets_by_endpoint.values()) - min(subsets_by_endpoint.values()) <= 2
        )


def test_member_that_fails_quickly_is_ejected_and_tried_again():
    """A member with quick errors has few calls in flight and would be chosen every time."""
    node, rec = balancer(6)
    now, bad = 0, 0
    for i in range(300):
        now += 20_000
        action = ask(node, rec, now, i, 2)
        bad += action[2] == 3
        end(
            node,
            rec,
            now + 100,
            i,
            0,
            action[2],
            Outcome.ERROR if action[2] == 3 else Outcome.OK,
            250_000,
        )
    assert bad < 15
    before = node.table.endpoints[3].ended_calls
    for i in range(300, 900):
        now += 20_000
        action = ask(node, rec, now, i, 0)
        end(node, rec, now + 100, i, 0, action[2], Outcome.OK, 250_000)
        if i % 100 == 99:
            now += 10 * SEC
    assert not node.table.endpoints[3].ejected
    assert node.table.endpoints[3].ended_calls > before


def test_silent_member_is_ejected_and_its_calls_leave_the_limit():
    """Calls to a silent member must not use up the limit for all other members."""
    node, rec = balancer(6)
    now, out = 0, []
    for i in range(600):
        now += 20_000
        action = ask(node, rec, now, i)
        if action[0] == "send" and action[2] != 3:
            out.append((i, action[2]))
        if len(out) > 6:
            end(node, rec, now, out[0][0], 0, out[0][1], Outcome.OK, 200_000)
            del out[0]
    assert node.table.endpoints[3].ejected
    assert node.table.endpoints[3].silent
    assert node.limit.in_flight == 6


def test_cold_endpoint_receives_no_more_than_its_share():
    """A restarted endpoint looks idle and would receive so many calls that it fails."""
    node, rec = balancer(4)
    now, cold = 0, 0
    for i in range(400):
        now += 10_000
        if i == 200:
            node.update_endpoints(
                now, ListUpdateKind.CHANGES, [EndpointEntry(2, started_at=now)]
            )
            rec.take()
        action = ask(node, rec, now, i)
        cold += i >= 200 and action[2] == 2
        end(node, rec, now, i, 0, action[2], Outcome.OK, 250_000)
    # Two seconds at up to 0.4 + 0.6 x 0.5 of a warm member's 25 to 33 calls per second.
    assert 5 <= cold <= 40


def test_lower_tier_queues_at_the_limit_instead_of_rejecting():
    """A rejection below the first tier wastes the work already done in the tiers above."""
    node, rec = balancer(1, tier=1, tiers=2)
    sent = []
    for i in range(4):
        node.request(0, i, 0, 0, 3 * SEC, False)
        sent += rec.take("send", "reject")
    assert [a[0] for a in sent] == ["send"] * 3
    ((action, request, *_),) = end(node, rec, 1000, 0, 0, 1, Outcome.OK)
    assert (action, request) == ("send", 3)
    node.request(2000, 9, 0, 0, 3 * SEC, False)
    ((_, delay, token),) = rec.take()
    node.timer(2000 + delay, token)
    assert rec.take()[0][:2] == ("reject", 9)


def tenants_served(shed: float, sent: tuple[int, ...]) -> list[float]:
    """Returns the fractions served of tenants with a quota of 10 requests per second each.

    Each tenant sends the multiple of its quota that `sent` gives.
    """
    tenants = tuple(TenantSettings(quota=10 * 50) for _ in sent)
    node, rec = balancer(8, tenants=tenants, instances=50)
    served = [0] * len(sent)
    for i in range(600):
        node.admission.shed_probability = shed
        for tenant, count in enumerate(sent):
            for j in range(count):
                request = i * 1000 + tenant * 100 + j
                node.request(i * 100_000, request, 0, tenant, 3 * SEC, False)
                (action,) = rec.take("send", "reject")
                if action[0] == "send":
                    served[tenant] += 1
                    end(
                        node,
                        rec,
                        i * 100_000,
                        request,
                        0,
                        action[2],
                        Outcome.OK,
                        10_000,
                    )
    return [n / (600 * count) for n, count in zip(served, sent, strict=True)]


def test_tenant_far_over_its_quota_is_shed_under_load():
    """One tenant's excess uses up the servers for the others although no instance reaches its limit."""
    greedy, *others = tenants_served(1.0, (3, 1, 1))
    assert greedy < 0.45
    assert min(others) > 0.95
    assert min(tenants_served(0.0, (3, 1, 1))) > 0.95


def test_instance_with_much_more_traffic_than_others_sheds_no_tenant_for_it():
    """With equal parts of the quotas, all tenants of a node that clients prefer would be over quota."""
    assert min(tenants_served(1.0, (9, 10, 9))) > 0.85


def test_class_of_lower_priority_leaves_headroom():
    rich = RequestClass(
        Idempotency.NOT_IDEMPOTENT,
        latency_objective=SEC,
        deadline=3 * SEC,
        priority_weight=10,
    )
    node, rec = balancer(8, classes=(SAFE, rich))
    answers = [ask(node, rec, 0, i)[0] for i in range(23)]
    assert answers[-1] == "reject"
    assert ask(node, rec, 0, 99, 1)[0] == "send"


def test_request_of_a_disconnected_client_is_cancelled_and_gets_no_answer():
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1)
    node.client_disconnected(10, 1)
    assert rec.take() == [("cancel", 1, 0)]
    assert end(node, rec, 20, 1, 0, server, Outcome.CANCELLED) == []
    assert node.limit.in_flight == 0
    node, rec = balancer(cancel=False)
    ask(node, rec, 0, 1)
    node.client_disconnected(10, 1)
    assert rec.take() == []


def test_started_response_is_never_retried():
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1)
    node.response_started(10, 1, 0, server, 10)
    assert end(node, rec, 20, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_unexpected_events_are_ignored():
    node, rec = balancer()
    node.client_disconnected(0, 5)
    node.outcome(0, 5, 0, 77, Outcome.OK, 1, True, ())
    node.response_started(0, 5, 0, 1, 1)
    node.timer(0, 123)
    node.timer(0, 2 << 56 | 5)
    node.health_checked(0, 1, True, 5, ())
    node.peer_message(0, 1, b"x")
    _, _, server, _ = ask(node, rec, 0, 1)
    end(node, rec, 1, 1, 0, server, Outcome.OK)
    assert end(node, rec, 2, 1, 0, server, Outcome.OK) == []
    assert node.limit.in_flight == 0


def test_polled_list_is_watched_and_polled_again_with_backoff():
    node, rec = balancer(list_must_be_polled=True, list_poll_interval=10 * SEC)
    node.start(0)
    assert rec.take("watch") == [("watch", True)]
    delays = []
    for _ in range(6):
        node.update_endpoints(0, ListUpdateKind.FAILED, [])
        ((_, delay, token),) = rec.take("set_timer")
        delays.append(delay)
        node.timer(delay, token)
        assert rec.take("watch") == [("watch", True)]
    assert max(delays) < 5 * SEC
    assert delays[-1] > delays[0]


@pytest.mark.parametrize(
    ("field", "key"),
    [
        ("classes", "classes"),
        ("instances", "instances"),
        ("max_attempts", "max_attempts"),
        ("tick_us", "tick"),
        ("slow_start_initial_share", "cold_share"),
        ("tier", "tier"),
    ],
)
def test_impossible_settings_name_their_key(field, key):
    values = {f: getattr(BASE, f) for f in BASE.__dataclass_fields__}
    values[field] = () if field == "classes" else -1
    with pytest.raises(ValueError, match=key):
        Settings(**values)
    with pytest.raises(ValueError, match="aim"):
        Settings(
            classes=(
                RequestClass(
                    Idempotency.IDEMPOTENT,
                    latency_objective=0,
                    deadline=1,
                    priority_weight=1,
                ),
            )
        )


def test_support_classes_cover_each_effect():
    assert [c.idempotency for c in (SAFE, KEYED, UNSAFE)] == list(Idempotency)


def play_calls(
    node,
    rec,
    steps: int,
    failing: float,
    now: int = 0,
    gap: int = 10_000,
    bad: Outcome = Outcome.RESET,
) -> tuple[int, float]:
    """Plays calls of 100 ms, up to ten in flight, of which the fraction `failing` fails at random.

    Returns:
        The time at the end and the lowest limit in between.
    """
    rng = Random(7)
    out: list = []
    minimum = node.limit.limit
    for _ in range(steps):
        now += gap
        action = ask(node, rec, now, now, 2)
        if action[0] == "send":
            out.append(action)
        if len(out) > 10 or (action[0] != "send" and out):
            _, request, server, _ = out.pop(0)
            outcome = bad if rng.random() < failing else Outcome.OK
            end(node, rec, now, request, 0, server, outcome, 100_000)
        minimum = min(minimum, node.limit.limit)
    return now, minimum


def test_failure_of_a_tenth_of_the_calls_is_no_overload():
    """Guards against faulty answers from all endpoints alike that halve the limit again and again.

    If calls are few, two failures among a dozen calls of a window determine its p90.
    """
    node, rec = balancer(6, instances=6)
    now, _ = play_calls(node, rec, 1500, 0.0)
    limit = node.limit.limit
    _, minimum = play_calls(node, rec, 1400, 0.1, now, 70_000)
    assert minimum > 0.9 * limit


def test_failures_of_the_entire_subset_lower_the_limit():
    """When a tier below has lost endpoints, most calls fail; without samples the limit would not fall."""
    node, rec = balancer(6, instances=6)
    now, _ = play_calls(node, rec, 1500, 0.0)
    usual = node.limit.usual_in_flight
    assert usual > 8
    assert node.limit.allowed() > 12
    play_calls(node, rec, 1500, 1.0, now)
    assert node.limit.floor < usual
    assert node.limit.limit < 0.6 * usual


def test_refused_connections_do_not_lower_the_limit_for_other_endpoints():
    """A zone has failed: a third of the calls reach no server, and the others are as quick as before."""
    node, rec = balancer(6, instances=6)
    now, _ = play_calls(node, rec, 1500, 0.0)
    limit = node.limit.limit
    _, minimum = play_calls(node, rec, 1500, 0.33, now, bad=Outcome.CONNECT_FAILED)
    assert minimum > 0.9 * limit
    assert node.limit.lost_ratio == 0


def test_member_that_has_just_become_slow_is_chosen_less_before_its_calls_end():
    """Its averages are still good, but its calls have been in flight for longer than the mean."""
    node, _rec = balancer(2)
    slow, quick = node.subset.members
    slow.in_flight, slow.last_progress_at = 1, 0
    quick.in_flight, quick.last_progress_at = 2, 900_000
    assert slow.load(300_000, 250_000.0) < quick.load(1_000_000, 250_000.0)
    assert slow.load(1_000_000, 250_000.0) > quick.load(1_000_000, 250_000.0)


@pytest.mark.usefixtures("wide_subset")
def test_calls_stay_in_their_zone_only_if_crossing_is_costly():
    """If crossing is cheap only calls in flight decide; staying in a zone would overload its servers."""
    entries = [EndpointEntry(i + 1, zone=i % 2) for i in range(12)]

    def local_fraction(cost: float) -> float:
        node, rec = balancer(entries, cross_zone_cost=cost)
        now = near = 0
        for i in range(400):
            now += 20_000
            server = ask(node, rec, now, i)[2]
            near += server % 2
            end(node, rec, now, i, 0, server, Outcome.OK, 250_000)
        return near / 400

    assert local_fraction(0.04) > 0.7
    assert 0.35 < local_fraction(0.005) < 0.65


def test_overloaded_zone_spills():
    """Guards against one zone's servers being overloaded while another's are idle."""
    entries = [EndpointEntry(i + 1, zone=i % 2) for i in range(12)]
    node, rec = balancer(entries, cross_zone_cost=0.04)
    now, far = 0, 0
    for i in range(2000):
        now += 10_000
        server = ask(node, rec, now, i, 2)[2]
        far += i >= 1000 and server % 2 == 0
        overloaded = i >= 500 and server % 2 == 1
        end(
            node, rec, now, i, 0, server, Outcome.OK, 800_000 if overloaded else 200_000
        )
    assert node.spill.share > 0.5
    assert far > 300


@pytest.mark.parametrize(("nodes", "minimum"), [(1, 5 / 6), (3, 0.5), (6, 0.0)])
def test_node_spills_the_traffic_that_exceeds_its_zone_s_part(nodes, minimum):
    """Guards against a zone's only server receiving all calls of the only node in its zone."""
    entries = [EndpointEntry(i + 1, zone=min(i, 1)) for i in range(6)]
    node, rec = balancer(entries, cross_zone_cost=0.04, instances=nodes)
    assert node.spill.share == pytest.approx(minimum)
    now = far = 0
    for i in range(600):
        now += 20_000
        server = ask(node, rec, now, i)[2]
        far += server != 1
        end(node, rec, now, i, 0, server, Outcome.OK, 250_000)
    assert far / 600 >= minimum * 5 / 6 - 0.05
    assert node.spill.share >= minimum


def test_slow_member_is_chosen_less_often():
    """If an instance has hardly any calls in flight, their number does not reveal a slow machine."""
    node, rec = balancer(4)
    now, hits = 0, 0
    for i in range(400):
        now += 400_000
        server = ask(node, rec, now, i)[2]
        hits += server == 1
        end(
            node,
            rec,
            now,
            i,
            0,
            server,
            Outcome.OK,
            300_000 if server == 1 else 100_000,
        )
    assert hits < 60


def test_failing_member_is_chosen_less_before_it_is_ejected():
    node, _rec = balancer(4)
    node.table.endpoints[1].failure_rate = 0.25
    node.table.endpoints[1].last_progress_at = 0
    assert node.table.endpoints[1].load(0, 100_000.0) == pytest.approx(
        3 * node.table.endpoints[2].load(0, 100_000.0)
    )


def test_slow_member_gives_no_sample_for_the_limit():
    node, rec = balancer(4)
    node.limit.end_measurement(0)
    node.table.endpoints[1].own_latency.value = 3.0
    counts = []
    for i, server in enumerate((1, 2)):
        while ask(node, rec, 1000, 100 * server + i, 2)[2] != server:
            i += 1
        end(node, rec, 1000, 100 * server + i, 0, server, Outcome.OK, 100_000)
        counts.append(len(node.limit.samples))
    assert counts == [0, 1]


def test_ejected_endpoint_does_not_count_as_capacity_of_its_zone():
    """Guards against overload of a zone's second server after the first is ejected, beside an idle zone."""
    entries = [EndpointEntry(i, zone=i % 2) for i in range(1, 5)]
    node, _rec = balancer(entries, cross_zone_cost=0.04, instances=2)
    assert node.spill.share == 0
    near = node.subset.local[0]
    node.outliers.eject(0, near, silent=False)
    assert node.spill.share == pytest.approx(1 / 3)
    node.outliers.readmit(near)
    assert node.spill.floor == 0


def test_shrinking_list_leaves_at_most_a_third_ejected():
    """Guards against a single member that receives all calls because all others are ejected."""
    node, _rec = balancer(4)
    node.outliers.eject(0, node.table.endpoints[1], silent=False)
    node.update_endpoints(1, ListUpdateKind.FULL, [EndpointEntry(i) for i in (1, 2, 3)])
    assert [srv.id for srv in node.outliers.ejected] == [1]
    node.update_endpoints(2, ListUpdateKind.FULL, [EndpointEntry(i) for i in (1, 2)])
    assert node.outliers.ejected == []
    assert len(node.subset.eligible) == 2


@pytest.mark.usefixtures("wide_subset")
def test_at_most_a_third_of_the_members_is_ejected():
    node, _rec = balancer(9)
    for server in range(1, 10):
        node.outliers.eject(0, node.table.endpoints[server], silent=False)
    assert len(node.outliers.ejected) == 3


def test_restarted_endpoint_starts_with_a_clean_record():
    node, _rec = balancer(4)
    node.outliers.eject(0, node.table.endpoints[1], silent=False)
    node.table.endpoints[1].own_latency.value = 5.0
    node.update_endpoints(
        SEC, ListUpdateKind.CHANGES, [EndpointEntry(1, started_at=SEC - 1)]
    )
    assert not node.table.endpoints[1].ejected
    assert node.table.endpoints[1].own_latency.value == 1.0
    assert node.table.endpoints[1].warming_until == SEC - 1 + 4 * SEC


def test_bucket_of_a_cold_endpoint_holds_no_full_call_at_its_start():
    """A call saved up before the start would add to those of every other node.

    Each instance starts with a random fraction of a call, so that not all send their first call at once.
    """
    parts = []
    for seed in range(200):
        node, _rec = balancer(2, seed=seed)
        node.slow_start.warm_rate = 10.0
        node.update_endpoints(
            SEC, ListUpdateKind.CHANGES, [EndpointEntry(1, started_at=SEC)]
        )
        cold = node.table.endpoints[1]
        parts.append(cold.tokens)
        assert not node.slow_start.may_send(SEC, cold, urgent=False)
        assert [
            node.slow_start.may_send(SEC + 500_000, cold, urgent=False)
            for _ in range(3)
        ] == [
            True,
            False,
            False,
        ]
    assert min(parts) >= 0
    assert max(parts) < 1
    assert 0.4 < sum(parts) / len(parts) < 0.6
    assert all(sum(i <= 4 * part < i + 1 for part in parts) >= 15 for i in range(4))


def test_trial_has_a_short_timeout_and_never_uses_an_unsafe_request():
    node, rec = balancer(4)
    node.outliers.eject(0, node.table.endpoints[1], silent=True)
    assert ask(node, rec, 5 * SEC, 1, klass=2)[2] != 1
    action = ask(node, rec, 5 * SEC, 2, klass=0, left=3 * SEC)
    assert action[2] == 1
    assert action[3] < 3 * SEC


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.NOT_SENT])
def test_trial_without_a_result_is_followed_by_another(outcome):
    """Guards against an endpoint that stays ejected because the client of its trial disconnected."""
    node, rec = balancer(4)
    node.outliers.eject(0, node.table.endpoints[1], silent=True)
    assert ask(node, rec, 5 * SEC, 1)[2] == 1
    node.client_disconnected(5 * SEC, 1)
    end(node, rec, 5 * SEC, 1, 0, 1, outcome)
    assert ask(node, rec, 10 * SEC, 2)[2] == 1


def test_estimate_of_an_unused_zone_approaches_the_best_ratio_of_the_own_zone():
    entries = [EndpointEntry(i + 1, zone=i % 2) for i in range(12)]
    node, _rec = balancer(entries, cross_zone_cost=0.04, instances=12)
    node.spill.remote_ratio, node.spill.best_ratio, node.spill.local_ratio = (
        5.0,
        0.2,
        0.6,
    )
    for i in range(1, 60):
        node.calls.close_window(i * 100_000)
    assert node.spill.remote_ratio < 3.0
    assert node.spill.share > 0


@pytest.mark.usefixtures("wide_subset")
def test_warm_member_serves_if_all_chosen_members_are_cold():
    entries = [EndpointEntry(i + 1, started_at=SEC) for i in range(11)] + [
        EndpointEntry(12)
    ]
    node, rec = balancer(entries)
    assert {ask(node, rec, SEC + 1000 * i, i)[2] for i in range(15)} == {12}


def balancers_of_instances(count: int, servers: int, **changes) -> list[Balancer]:
    return [
        balancer(servers, seed=i, instances=count, index=i, **changes)[0]
        for i in range(count)
    ]


def test_every_endpoint_is_in_equally_many_subsets():
    """Independently drawn subsets would put some endpoints into many subsets and some into few."""
    belongs = Counter(
        m.id for node in balancers_of_instances(70, 60) for m in node.subset.members
    )
    assert len(belongs) == 60
    assert max(belongs.values()) - min(belongs.values()) <= 1


def test_list_change_moves_few_members_and_new_endpoints_join_subsets():
    """Guards against full subsets that admit no new endpoint and leave the machines of a grown fleet idle."""
    nodes = balancers_of_instances(70, 60)
    before = [{m.id for m in node.subset.members} for node in nodes]
    for node in nodes:
        node.update_endpoints(1, ListUpdateKind.CHANGES, [EndpointEntry(61)])
    after = [{m.id for m in node.subset.members} for node in nodes]
    assert sum(61 in members for members in after) >= 4
    assert sum(len(a - b) for a, b in zip(after, before, strict=True)) < 2 * 70


def test_subset_widens_with_the_calls_in_flight():
    """Guards against a node that suddenly gets much of all traffic and sends it to a few endpoints."""
    node, rec = balancer(60, instances=300)
    small = len(node.subset.members)
    # With 60 endpoints and 300 instances this is ten calls of each instance.
    node.reports.mean_of_members = 50.0
    for i, (flight, most) in enumerate(((4.0, 8), (18.0, 43), (200.0, 60))):
        node.subset.mean_in_flight = flight
        ask(node, rec, i, i)
        assert small < 12
        assert 0.8 * most <= len(node.subset.members) <= most
    node, rec = balancer(60, instances=300)  # No endpoint reports its queue.
    node.subset.mean_in_flight = 200.0
    ask(node, rec, 0, 1)
    assert len(node.subset.members) == 24


def test_subset_does_not_widen_if_all_instances_have_more_calls_in_flight():
    """Guards against a shortage in which wider subsets send every endpoint a call of even more instances."""
    node, rec = balancer(60, instances=20, report_fields=("inflight",))
    # The second time all endpoints hold four times as much.
    for flight, held in (
        (12.5, 4.0),
        (50.0, 16.0),
    ):
        node.subset.mean_in_flight, node.reports.mean_of_members = flight, held
        ask(node, rec, 0, int(flight))
        assert 23 <= len(node.subset.members) <= 25


@pytest.mark.usefixtures("wide_subset")
def test_endpoint_starts_with_the_latency_of_its_kind():
    """At one call per second an instance would take a minute to detect each slow machine by itself."""
    node, rec = balancer([EndpointEntry(i + 1, kind=i % 2) for i in range(8)])
    now = 0
    for i in range(60):
        now += SEC // 4
        server = ask(node, rec, now, i)[2]
        end(
            node,
            rec,
            now,
            i,
            0,
            server,
            Outcome.OK,
            300_000 if server % 2 == 0 else 100_000,
        )
    node.update_endpoints(
        now,
        ListUpdateKind.CHANGES,
        [EndpointEntry(9, kind=0), EndpointEntry(10, kind=1)],
    )
    assert node.table.endpoints[10].load(now, 1e6) > 1.5 * node.table.endpoints[9].load(
        now, 1e6
    )


def test_keyed_repeat_reaches_its_scope_outside_the_subset():
    entries = [EndpointEntry(i + 1, cell=i % 30) for i in range(60)]
    node, rec = balancer(entries, instances=50)
    first = ask(node, rec, 0, 1, 1)[2]
    (action,) = end(node, rec, 10_000, 1, 0, first, Outcome.ERROR)
    assert action[0] == "send"
    assert action[2] != first
    assert (action[2] - first) % 30 == 0


@pytest.mark.usefixtures("wide_subset")
def test_slow_members_receive_little_of_the_traffic():
    """Among few members two slow ones are often chosen together, which would keep them overloaded."""
    node, rec = balancer(4)
    now, slow = 0, 0
    for i in range(600):
        now += 200_000
        server = ask(node, rec, now, i)[2]
        slow += i >= 100 and server <= 2
        end(
            node,
            rec,
            now,
            i,
            0,
            server,
            Outcome.OK,
            800_000 if server <= 2 else 100_000,
        )
    assert slow < 500 / 10


def test_kinds_are_spread_evenly_over_the_subsets():
    # A quarter is of kind 1.
    entries = [EndpointEntry(i + 1, kind=i % 4 // 3) for i in range(64)]
    for index in range(32):
        node, _ = balancer(entries, instances=32, index=index)
        assert sum(
            node.table.endpoints[m.id].kind_id == 1 for m in node.subset.members
        ) in (1, 2)


def test_request_of_an_unknown_class_is_never_repeated():
    """Guards against treating it as the last class of the settings, which may be idempotent."""
    node, rec = balancer(classes=(UNSAFE, SAFE))
    server = ask(node, rec, 0, 1, klass=9)[2]
    assert [a[0] for a in end(node, rec, 10_000, 1, 0, server, Outcome.ERROR)] == [
        "fail"
    ]


def test_outcome_of_a_closed_request_is_ignored():
    node, rec = balancer()
    server = ask(node, rec, 0, 1)[2]
    end(node, rec, 10_000, 1, 0, server, Outcome.OK)
    node.client_disconnected(11_000, 1)
    assert end(node, rec, 12_000, 1, 0, server, Outcome.ERROR) == []
    assert node.limit.in_flight == 0


def test_new_settings_keep_the_limit_and_open_requests_keep_the_old_settings():
    node, rec = balancer(4, max_attempts=2)
    for i in range(40):
        kind, *rest = ask(node, rec, i * 10_000, i, klass=0)
        if kind == "send":
            end(node, rec, i * 10_000 + 5_000, i, 0, rest[1], Outcome.OK, 5_000)
    assert ask(node, rec, SEC, 100, klass=0)[0] == "send"
    (server,) = [r.pending_endpoint.id for r in node.requests.values()]
    before = node.limit.limit, node.latency.mean_rtt[0], node.latency.mean_rtt[2]
    # Index 1 stands for another class from now on.
    classes = (
        SAFE,
        replace(UNSAFE, priority_weight=3),
        UNSAFE,
        KEYED,
    )
    new = replace(node.context.settings, classes=classes, max_attempts=1, instances=2)
    node.update_settings(SEC, new)
    assert (
        node.limit.limit,
        node.latency.mean_rtt[0],
        node.latency.mean_rtt[2],
    ) == before
    assert (
        len(node.latency.mean_rtt)
        == len(node.priority.rank)
        == len(node.limit.target_rtt)
        == 4
    )
    # The open request may have two attempts; a new one may have one.
    (action,) = end(node, rec, SEC + 1000, 100, 0, server, Outcome.CONNECT_FAILED)
    assert action[0] == "send"
    kind, _, server, _ = ask(node, rec, SEC + 2000, 101, klass=3)
    assert kind == "send"
    (action,) = end(node, rec, SEC + 3000, 101, 0, server, Outcome.CONNECT_FAILED)
    assert action[0] == "reject"


def test_open_request_of_a_removed_class_is_never_sent_twice():
    node, rec = balancer(4)
    kind, _, server, _ = ask(node, rec, 0, 1, klass=2)
    node.update_settings(
        1000,
        replace(
            node.context.settings,
            classes=(SAFE, KEYED, replace(SAFE, priority_weight=0)),
        ),
    )
    (action,) = end(node, rec, 2000, 1, 0, server, Outcome.RESET)
    assert kind == "send"
    assert action[0] == "fail"


def test_limit_falls_with_endpoints_that_are_replaced_by_cold_ones():
    node, _rec = balancer(10, seed=3)
    limit = node.limit
    limit.end_measurement(SEC)
    limit.limit, limit.usual_in_flight = 60.0, 4.0
    gone = [EndpointEntry(i, state=EndpointState.GONE) for i in range(1, 7)]
    cold = [EndpointEntry(i, started_at=2 * SEC) for i in range(11, 17)]
    node.update_endpoints(2 * SEC, ListUpdateKind.CHANGES, gone + cold)
    capacity_ratio = (4 + 6 * BASE.slow_start_initial_share) / 10
    assert (limit.limit, limit.usual_in_flight) == pytest.approx(
        (60.0 * capacity_ratio, 4.0 * capacity_ratio)
    )
    now = 2 * SEC + BASE.slow_start_time
    # They have warmed up: the limit returns to its value without new samples.
    node.subset.update_capacity(now)
    assert (limit.limit, limit.usual_in_flight) == pytest.approx((60.0, 4.0))


def test_cold_members_keep_their_rate_while_warm_ones_are_overloaded():
    node, _rec = balancer(
        [EndpointEntry(1), EndpointEntry(2, started_at=10 * SEC)], seed=2
    )
    node.slow_start.warm_rate, node.slow_start.learned_for = (
        30.0,
        WARM_RATE_SMOOTHING_US,
    )
    node.limit.sample_rtt_ratio = 2.0
    node.calls.window_closed_at = node.outliers.next_trial_at = 10 * SEC
    for sent in (1, 40):
        # An overloaded endpoint answers one call per second, and receives 40; neither is its capacity. The
        # fullest windows of many instances add up to twice that capacity.
        node.slow_start.sent_to_warm = sent
        node.calls.close_window(11 * SEC)
        assert node.slow_start.warm_rate == 30.0
    node.limit.sample_rtt_ratio, node.slow_start.sent_to_warm = 1.0, 40
    node.calls.close_window(12 * SEC)
    assert node.slow_start.warm_rate > 30.0
    node.limit.sample_rtt_ratio = 2.0
    cold = node.table.endpoints[2]
    cold.tokens, cold.tokens_at = 0.0, 12 * SEC
    rate = (
        node.slow_start.warm_rate
        * BASE.overload_multiple
        * OVERLOAD_FRACTION
        * (0.4 + 0.6 * 2 / 4)
    )
    assert not node.slow_start.may_send(
        12 * SEC + int(0.99e6 / rate), cold, urgent=False
    )
    assert node.slow_start.may_send(12 * SEC + int(1.01e6 / rate), cold, urgent=False)


def call_with_load_report(
    node: Balancer, rec, now: int, request: int, held: float, latency: int = 10_000
) -> int:
    """Plays a call whose answer reports the endpoint's queue, and returns the endpoint."""
    server = ask(node, rec, now, request)[2]
    node.outcome(now + latency, request, 0, server, Outcome.OK, latency, True, (held,))
    rec.take()
    return server


@pytest.mark.parametrize(("instances", "most"), [(40, 1), (1, 3)])
def test_many_instances_each_send_one_call_to_an_endpoint_that_reports_overload(
    instances: int, most: int
):
    node, rec = balancer(4, instances=instances, report_fields=("inflight",))
    node.limit.end_measurement(0)
    node.limit.limit = 100.0
    for i in range(8):
        call_with_load_report(node, rec, 20_000 * i, i, 2)
    for srv in node.table.endpoints.values():
        srv.reported_queue = 2.0 if srv.id == 4 else 9.0
    for i in range(100, 120):
        ask(node, rec, SEC, i)
    overloaded = [srv.in_flight for srv in node.table.endpoints.values() if srv.id != 4]
    assert max(overloaded) <= most if instances > 1 else max(overloaded) >= most
    node.table.endpoints[4].reported_queue = 9.0
    for held, is_late, overloaded in (
        (5.0, False, False),
        (5.0, True, True),
        (2.0, True, False),
    ):
        node.table.endpoints[1].reported_queue, node.limit.sample_rtt_ratio = (
            held,
            2.0 if is_late else 0.5,
        )
        assert node.reports.overloaded(node.table.endpoints[1], urgent=False) is (
            overloaded and instances > 1
        )
    node.table.endpoints[1].reported_queue = 9.0
    # No endpoint may receive more, so the request is rejected at once.
    if instances > 1:
        assert ask(node, rec, SEC, 200)[0] == "reject"


def test_highest_class_is_rejected_less_than_others_if_all_endpoints_are_overloaded():
    """Guards against rejecting all classes alike although half of the total value is in one of them."""
    classes = (replace(UNSAFE, priority_weight=10), SAFE)
    node, rec = balancer(4, instances=40, report_fields=("inflight",), classes=classes)
    node.limit.end_measurement(0)
    node.limit.limit = 100.0
    for klass, held, answer in (
        (1, 5.0, "reject"),
        (0, 5.0, "send"),
        (0, 7.0, "reject"),
        (1, 2.0, "send"),
    ):
        for srv in node.table.endpoints.values():
            srv.reported_queue, srv.in_flight = held, 1
        node.limit.sample_rtt_ratio = 0.95  # No answer is late yet.
        assert ask(node, rec, 0, klass * 100 + int(held), klass)[0] == answer
    alike, rec = balancer(
        4, instances=40, report_fields=("inflight",), classes=(SAFE, SAFE)
    )
    alike.limit.end_measurement(0)
    alike.limit.limit, alike.limit.sample_rtt_ratio = 100.0, 0.95
    for srv in alike.table.endpoints.values():
        srv.reported_queue, srv.in_flight = 5.0, 1
    # No class has a higher weight than the others.
    assert ask(alike, rec, 0, 1)[0] == "reject"


def test_cold_members_receive_more_while_all_are_overloaded_and_calls_are_not_late():
    """Guards against overloaded warm members while cold ones receive no more than in quiet times."""
    entries = [
        EndpointEntry(1),
        EndpointEntry(2, started_at=10 * SEC),
        EndpointEntry(3),
    ]
    node, _rec = balancer(entries, instances=40, report_fields=("inflight",))
    node.slow_start.warm_rate, node.limit.sample_rtt_ratio, cold = (
        10.0,
        0.9,
        node.table.endpoints[2],
    )
    rate = node.slow_start.warm_rate * (0.4 + 0.6 * 2 / 4)

    def wait(held):
        node.reports.mean_of_members = held
        cold.tokens, cold.tokens_at, delay = 0.0, 12 * SEC, 0
        while not node.slow_start.may_send(12 * SEC, cold, urgent=False):
            delay += 1000
            cold.tokens, cold.tokens_at = 0.0, 12 * SEC - delay
        return delay / SEC

    assert wait(3.0) == pytest.approx(1 / rate, rel=0.01)
    assert wait(6.0) == pytest.approx(
        1 / (rate * BASE.overload_multiple * OVERLOAD_FRACTION), rel=0.01
    )


def test_calls_sent_since_a_report_count_in_the_queue():
    """Guards against a busy instance that sends 40 calls to the one endpoint whose last report showed two."""
    node, rec = balancer(4, instances=40, report_fields=("inflight",))
    node.limit.end_measurement(0)
    node.limit.limit = 100.0
    for i in range(12):
        call_with_load_report(node, rec, 20_000 * i, i, 2)
    for srv in node.table.endpoints.values():
        srv.reported_queue = 2.0 if srv.id == 4 else 9.0
    sent = [ask(node, rec, SEC, i) for i in range(100, 120)]
    idle = node.table.endpoints[4]
    assert [action for action, *_ in sent].count("send") < 20
    assert idle.in_flight == 5
    assert idle.reported_queue == 7.0
    request = next(
        r for _, r, server, _ in (a for a in sent if a[0] == "send") if server == 4
    )
    node.outcome(SEC + 1000, request, 0, 4, Outcome.OK, 1000, True, (1.0,))
    # The report is older than the four calls in flight.
    assert idle.reported_queue == 4.0
    node.outcome(SEC + 1000, 999, 0, 4, Outcome.OK, 1000, True, ())
    assert idle.reported_queue == 3.0


def test_warm_endpoints_may_hold_more_than_usual_while_others_are_cold_and_calls_are_quick():
    """If half of the endpoints are cold, warm ones hold more than usual, which is not yet overload."""
    entries = [EndpointEntry(i + 1, started_at=i % 2) for i in range(8)]
    node, _ = balancer(entries, instances=40, report_fields=("inflight",))
    assert node.limit.capacity < 0.8 * len(node.subset.endpoint_list)
    warm = next(srv for srv in node.subset.members if srv.warming_until == 0)
    warm.in_flight, warm.reported_queue, node.limit.sample_rtt_ratio = 1, 5.0, 0.5
    assert not node.reports.overloaded(warm, urgent=False)
    # A queue of 5 is 1.67 times the usual queue.
    for late, overloaded in (
        (0.6, False),
        (0.9, True),
        (1.5, True),
    ):
        node.limit.sample_rtt_ratio = late
        assert node.reports.overloaded(warm, urgent=False) is overloaded


def test_instance_with_many_calls_in_flight_has_a_member_for_each():
    """An overloaded member gets one call per instance; with 24 members every further call was rejected."""
    node, rec = balancer(200, instances=40, report_fields=("inflight",))
    node.limit.end_measurement(0)
    node.limit.limit = 1000.0
    node.limit.sample_rtt_ratio = 1.5
    for i in range(1500):
        for srv in node.subset.members:
            srv.reported_queue = 9.0
        node.reports.mean_of_members = 2.0  # Ten calls of each instance.
        ask(node, rec, 1000 * i, i)
    assert 100 < len(node.subset.members) <= subset.SUBSET_BOUND
    assert node.limit.in_flight > 90


def test_new_member_starts_with_the_mean_queue_unless_it_is_cold():
    """Guards against seven calls to each of 20 members that join while all others are overloaded."""
    node, rec = balancer(8, instances=40, report_fields=("inflight",))
    for i in range(8):
        call_with_load_report(node, rec, 20_000 * i, i, 9)
    for srv in node.subset.members:
        srv.reported_queue = 9.0
    node.subset.mean_in_flight = 40.0
    node.calls.close_window(SEC)
    joined = [EndpointEntry(i, started_at=(SEC - 1) * (i > 20)) for i in range(9, 33)]
    node.update_endpoints(SEC, ListUpdateKind.CHANGES, joined)
    new = [srv for srv in node.subset.members if srv.id > 8]
    assert len(new) >= 20
    assert all(srv.reported_queue == (0.0 if srv.id > 20 else 9.0) for srv in new)


def test_usual_queue_is_learned_while_calls_are_quick():
    node, rec = balancer(4, instances=40, report_fields=("queue", "inflight"))
    assert node.reports.column == 1
    node.reports.column = 0
    for i in range(3000):  # Large servers hold 40 each, and answer quickly.
        node.limit.sample_rtt_ratio = 0.3
        call_with_load_report(node, rec, 20_000 * i, i, 40)
    assert node.reports.usual_queue > 35
    before = node.reports.usual_queue
    node.limit.sample_rtt_ratio = 0.9
    node.limit.samples.clear()
    node.limit.window_start = 10**12
    call_with_load_report(node, rec, 10**9, 5000, 400)
    assert node.reports.usual_queue == before


def test_second_list_change_within_a_window_updates_the_capacity_too():
    node, _ = balancer(10)
    node.update_endpoints(
        SEC, ListUpdateKind.CHANGES, [EndpointEntry(1, state=EndpointState.GONE)]
    )
    assert node.limit.capacity == 9.0
    node.update_endpoints(
        SEC + 10_000,
        ListUpdateKind.CHANGES,
        [EndpointEntry(i, state=EndpointState.GONE) for i in range(2, 7)],
    )
    node.calls.close_window(SEC + 200_000)
    assert node.limit.capacity == 4.0


@pytest.mark.parametrize("late", [False, True])
def test_all_instances_together_keep_a_cold_endpoint_below_the_rate_at_which_it_fails(
    late,
):
    """Guards against instances that each send few calls to a restarted endpoint, but too many together.

    The bound is N + 3 sqrt(N) + 3 calls in the overload window, where N is the number that the settings allow
    by then.
    """
    # Calls per second of a warm endpoint; one burst every 10 ms.
    instances, servers, rate, gap = (
        24,
        24,
        12,
        10_000,
    )
    rng = Random(7)
    changes = {
        "slow_start_initial_share": 0.12,
        "slow_start_time": 22 * SEC,
        "overload_window": 3 * SEC,
        "instances": instances,
    }
    nodes = [
        balancer(servers, seed=i, ring_position=(i, instances), **changes)
        for i in range(instances)
    ]
    rules = nodes[0][0].context.settings
    # Calls in flight: time, instance, request, endpoint.
    due: list[tuple[int, int, int, int]] = []
    cold, sent, last_request = set(range(1, 9)), Counter(), Counter()
    times: dict[int, list[int]] = {server: [] for server in cold}
    restarted_at, until = 8 * SEC, 18 * SEC
    for now in range(0, until, gap):
        if now == restarted_at:
            for node, _ in nodes:
                node.update_endpoints(
                    now,
                    ListUpdateKind.CHANGES,
                    [EndpointEntry(server, started_at=now) for server in cold],
                )
        for at, instance, request, server in [call for call in due if call[0] <= now]:
            end(
                *nodes[instance],
                now,
                request,
                0,
                server,
                Outcome.OK,
                at and 20_000 + 2 * SEC * (late and now > restarted_at),
            )
        due = [call for call in due if call[0] > now]
        for _ in range(servers * rate * gap // SEC + (rng.random() < 0.88)):
            instance = rng.randrange(instances)
            last_request[instance] += 1
            action = ask(*nodes[instance], now, last_request[instance], klass=0)
            if action[0] == "send":
                sent[action[2]] += 1
                due.append((now + 20_000, instance, last_request[instance], action[2]))
                if now >= restarted_at and action[2] in cold:
                    times[action[2]].append(now)
    for sent_times in times.values():
        assert sent_times  # Each endpoint gets calls.
        for start in range(
            restarted_at, until - rules.overload_window, rules.overload_window // 10
        ):
            count = sum(
                start <= at < start + rules.overload_window for at in sent_times
            )
            warmth = (
                rules.slow_start_initial_share
                + (1 - rules.slow_start_initial_share)
                * (start - restarted_at)
                / rules.slow_start_time
            )
            allowed = (
                rules.overload_multiple * warmth * rate * rules.overload_window / SEC
            )
            assert count <= allowed + 3 * allowed**0.5 + 3
