"""Tests the subset of an instance: its members, evenness and stability, and full lists in parts."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from support import BASE, SEC, Recorder, balancer

from loadbalancer.policy.api import (
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Outcome,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoint_list import ALL_ZONES, SWEEP_STEP, EndpointList
from loadbalancer.policy.endpoint_table import MAX_FORMER_MEMBERS
from loadbalancer.policy.ranked_order import shuffle
from loadbalancer.policy.subset import (
    SUBSET_BOUND,
    SUBSET_LEAST,
    SUBSET_MOST,
    subset_slice,
)

ENTRY_FIELDS = st.lists(
    st.tuples(st.integers(1, 40), st.integers(0, 3), st.integers(0, 2), st.booleans()),
    max_size=60,
)


def entries_of(fields) -> list[EndpointEntry]:
    return [
        EndpointEntry(
            endpoint,
            EndpointState.READY if ready else EndpointState.DRAINING,
            cell=kind,
            zone=zone,
            kind=kind,
        )
        for endpoint, kind, zone, ready in fields
    ]


def expected_slice(
    endpoints: dict[int, EndpointEntry], index: int, instance_count: int, size: int
) -> list[int]:
    """Returns the expected slice of an instance, computed by sorting all endpoints."""
    total = len(endpoints)
    kinds: dict[int, list[int]] = {}
    for endpoint in sorted(endpoints, key=lambda s: shuffle(s, 0)):
        kinds.setdefault(endpoints[endpoint].kind, []).append(endpoint)
    positions = [
        ((i + shuffle(kind, 0) / 2**64) / len(same_kind), endpoint)
        for kind, same_kind in kinds.items()
        for i, endpoint in enumerate(same_kind)
    ]
    order = [endpoint for _, endpoint in sorted(positions)]
    start, size = index % instance_count * total // instance_count, min(size, total)
    end = start + size
    if extends_to_whole_parts(total, instance_count, size):
        parts = next(
            k for k in range(instance_count + 1) if k * total >= size * instance_count
        )
        end = (index % instance_count + parts) * total // instance_count
    return [order[i % total] for i in range(start, end)]


def extends_to_whole_parts(total: int, instance_count: int, size: int) -> bool:
    """Returns whether slices end at whole parts, so that all endpoints lie in equally many slices."""
    return total <= max(SUBSET_LEAST, size // 2) * instance_count


def apply_entries(
    endpoint_list: EndpointList,
    expected: dict[int, EndpointEntry],
    entries: list[EndpointEntry],
) -> None:
    for entry in entries:
        if entry.state == EndpointState.READY:
            expected[entry.endpoint] = entry
            endpoint_list.put(entry)
        else:
            expected.pop(entry.endpoint, None)
            endpoint_list.remove(entry.endpoint)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    ENTRY_FIELDS,
    st.lists(ENTRY_FIELDS, max_size=3),
    ENTRY_FIELDS,
    st.integers(1, 9),
    st.integers(1, 30),
)
def test_slice_matches_sorted_list(first, full_list_parts, later, instance_count, size):
    """Applies changes, then a full list in parts with its sweep, then further changes."""
    endpoint_list, expected = (
        EndpointList(False, frozenset({DeduplicationScope.CELL})),
        {},
    )
    apply_entries(endpoint_list, expected, entries_of(first))
    if full_list_parts:
        named: dict[int, EndpointEntry] = {}
        endpoint_list.start_full_list()
        for part in full_list_parts:
            apply_entries(endpoint_list, named, entries_of(part))
        expected = named
        if endpoint_list.finish_full_list():
            while endpoint_list.sweep():
                pass
    apply_entries(endpoint_list, expected, entries_of(later))
    assert len(endpoint_list) == len(expected) == len(endpoint_list.endpoints)
    assert endpoint_list.stale_count == 0
    for endpoint in range(1, 41):
        assert (endpoint_list.get(endpoint) is not None) == (endpoint in expected)
    if expected:
        for index in range(instance_count):
            found = sorted(
                s.id
                for s in subset_slice(
                    endpoint_list,
                    endpoint_list.orders[ALL_ZONES],
                    index,
                    instance_count,
                    size,
                )
            )
            assert found == sorted(
                expected_slice(expected, index, instance_count, size)
            )
        cell = next(iter(expected.values())).cell
        in_scope = {
            s.id
            for s in endpoint_list.in_scope(DeduplicationScope.CELL, 0, cell, 0.5, 100)
        }
        assert in_scope == {e.endpoint for e in expected.values() if e.cell == cell}
    for endpoint in list(expected):
        endpoint_list.remove(endpoint)
    assert not endpoint_list.orders
    assert not endpoint_list.scope_orders
    assert len(endpoint_list) == 0


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(30, 400), st.integers(2, 40), st.integers(1, 4), st.integers(0, 2**32)
)
def test_subsets_are_even_and_stable(total, instance_count, kinds, seed):
    """Coverage differs by at most one between endpoints, and not at all where parts are small.

    Apart from the changed endpoint, a change moves at most one member of each kind, and one more at the end
    of a slice.
    """
    rng = Random(seed)
    endpoint_list = EndpointList(False, frozenset())
    for endpoint in rng.sample(range(1 << 40), total):
        endpoint_list.put(EndpointEntry(endpoint, kind=endpoint % kinds))
    size = min(total, 24)

    def subsets() -> list[set[int]]:
        return [
            {
                s.id
                for s in subset_slice(
                    endpoint_list,
                    endpoint_list.orders[ALL_ZONES],
                    c,
                    instance_count,
                    size,
                )
            }
            for c in range(instance_count)
        ]

    before = subsets()
    for change in range(6):
        endpoint = (
            rng.choice(list(endpoint_list.endpoints))
            if change % 2
            else rng.randrange(1 << 41)
        )
        if change % 2:
            endpoint_list.remove(endpoint)
        else:
            endpoint_list.put(EndpointEntry(endpoint, kind=endpoint % kinds))
        after = subsets()
        coverage = Counter(s for members in after for s in members)
        counts = [coverage.get(s, 0) for s in endpoint_list.endpoints]
        remaining = len(endpoint_list)
        equal_parts = extends_to_whole_parts(
            remaining, instance_count, min(size, remaining)
        )
        assert max(counts) - min(counts) <= (0 if equal_parts else 1)
        longest = min(size, remaining) + (
            max(SUBSET_LEAST, size // 2) + 1 if equal_parts else 0
        )
        assert all(
            len(a - b) <= 1 + kinds + equal_parts
            and min(size, remaining) <= len(a) <= longest
            for a, b in zip(after, before, strict=True)
        )
        before = after


def test_rolling_deploys_reach_every_endpoint_and_state_stays_bounded():
    """Each of 3000 endpoints drains and returns; the instance keeps state of members and a few more only."""
    node, rec = balancer(
        [EndpointEntry(i) for i in range(1, 3001)], instances=100, index=40
    )
    now, last_request = SEC, 0
    for first in range(1, 3001, 50):
        for state in (EndpointState.DRAINING, EndpointState.READY):
            now += 1000
            started = now if state == EndpointState.READY else 0
            batch = [
                EndpointEntry(i, state, started_at=started)
                for i in range(first, first + 50)
            ]
            node.update_endpoints(now, ListUpdateKind.CHANGES, batch)
            gone = {e.endpoint for e in batch if e.state != EndpointState.READY}
            assert not gone & {m.id for m in node.subset.members}
            last_request += 1
            node.request(now, last_request, 0, 0, 2 * SEC, False)
            for _, request, endpoint, _ in rec.take("send"):
                assert endpoint not in gone
                node.outcome(now + 500, request, 0, endpoint, Outcome.OK, 500, True, ())
    assert len(node.subset.endpoint_list) == 3000
    assert len(node.subset.members) == 30
    assert len(node.table.endpoints) <= SUBSET_BOUND + MAX_FORMER_MEMBERS


def test_retries_outside_the_subset_leave_bounded_state():
    """Failure prevented: each keyed retry adds endpoints of its cell to the table, and none is dropped."""
    entries = [EndpointEntry(i, cell=i % 100) for i in range(1, 3001)]
    node, rec = balancer(entries, instances=100)  # 30 members
    repeats = 0
    for i in range(400):
        now = SEC + i * SEC // 2
        node.retries.tokens = 3.0  # as if most calls succeeded
        node.outliers.failure_rate = 0.9  # so high that no endpoint is ejected
        node.request(now, i, 1, 0, 3 * SEC, False)
        ((_, _, first, _),) = rec.take("send")
        node.outcome(now + 1000, i, 0, first, Outcome.ERROR, 1000, False, ())
        for _, _, second, _ in rec.take("send"):
            repeats += 1
            assert second != first
            assert (second - first) % 100 == 0
            node.outcome(now + 2000, i, 1, second, Outcome.OK, 1000, True, ())
        assert len(node.table.endpoints) <= SUBSET_BOUND + MAX_FORMER_MEMBERS + 24
    assert repeats > 30
    assert node.limit.in_flight == 0


def test_full_list_in_parts_replaces_every_endpoint():
    """The new list names no old endpoint. Old endpoints serve until the last part and never after it."""
    old, new = range(1, 4001), range(10_001, 14_001)
    node, rec = balancer([EndpointEntry(i) for i in old], instances=200, index=7)
    parts = [[EndpointEntry(i) for i in new[k : k + 500]] for k in range(0, 4000, 500)]
    request = 0

    def sent_to(now: int) -> int:
        nonlocal request
        request += 1
        node.request(now, request, 0, 0, 2 * SEC, False)
        ((_, _, endpoint, _),) = rec.take("send")
        node.outcome(now + 400, request, 0, endpoint, Outcome.OK, 20_000, True, ())
        return endpoint

    for i, part in enumerate(parts):
        more = i + 1 < len(parts)
        node.update_endpoints(SEC + i * 1000, ListUpdateKind.FULL, part, more)
        timers = rec.take("set_timer")
        assert len(node.subset.members) >= 4
        for turn in range(20):
            endpoint = sent_to(SEC + i * 1000 + turn)
            assert more or endpoint in new
    steps = 0
    while timers:  # the sweep continues between other events
        ((_, _, token),) = timers
        steps += 1
        node.timer(2 * SEC + steps * 1000, token)
        timers = rec.take("set_timer")
        assert all(sent_to(2 * SEC + steps * 1000 + turn) in new for turn in range(5))
    assert steps >= 4000 // SWEEP_STEP
    assert (
        len(node.subset.endpoint_list)
        == len(node.subset.endpoint_list.endpoints)
        == 4000
    )
    assert len(node.subset.members) in (
        SUBSET_MOST,
        4000 // node.context.settings.instances,
    )


def test_full_list_in_parts_may_follow_another_before_its_sweep():
    node, rec = balancer([EndpointEntry(i) for i in range(1, 2001)], instances=50)
    node.update_endpoints(
        SEC, ListUpdateKind.FULL, [EndpointEntry(i) for i in range(1501, 2001)]
    )
    (timer,) = rec.take("set_timer")
    node.update_endpoints(
        SEC,
        ListUpdateKind.CHANGES,
        [EndpointEntry(5), EndpointEntry(1600, EndpointState.GONE)],
    )
    node.update_endpoints(
        SEC, ListUpdateKind.FULL, [EndpointEntry(i) for i in range(1501, 1701)], True
    )
    node.update_endpoints(
        SEC, ListUpdateKind.FULL, [EndpointEntry(i) for i in range(1701, 1801)]
    )
    timers = [timer, *rec.take("set_timer")]
    for _ in range(50):
        for _, _, token in timers:
            node.timer(2 * SEC, token)
        timers = rec.take("set_timer")
    assert set(node.subset.endpoint_list.endpoints) == set(range(1501, 1801))
    assert {m.id for m in node.subset.members} <= set(range(1501, 1801))


def test_changed_settings_rebuild_the_orders():
    """New settings separate zones and add a class whose retries stay within a cell."""
    keyed = BASE.classes[1].__class__(
        Idempotency.WITH_KEY,
        latency_objective=SEC,
        deadline=3 * SEC,
        priority_weight=1,
        deduplication_scope=DeduplicationScope.ZONE,
        idempotency_window=2 * SEC,
    )
    node, _rec = balancer(
        [EndpointEntry(i, zone=i % 3) for i in range(1, 61)],
        instances=10,
        classes=(keyed,),
    )
    changed = BASE.__class__(
        **{**BASE.__dict__, "cross_zone_cost": 0.05, "instances": 10}
    )
    node.update_settings(SEC, changed)
    assert len(node.subset.endpoint_list) == 60
    assert {m.zone for m in node.subset.members} == {0, 1, 2}
    assert node.subset.endpoint_list.scopes == {
        DeduplicationScope.ZONE,
        DeduplicationScope.CELL,
    }
    node.update_endpoints(
        SEC,
        ListUpdateKind.CHANGES,
        [EndpointEntry(i, EndpointState.GONE) for i in range(1, 61)],
    )
    assert not node.subset.endpoint_list.orders
    assert not node.subset.endpoint_list.scope_orders
    assert not node.subset.members


def test_same_events_lead_to_same_members():
    def play() -> list[list[int]]:
        rec = Recorder()
        node = Balancer(BASE, 3, rec)  # type: ignore[arg-type]
        node.start(0)
        rng, members_by_step = Random(5), []
        for step in range(200):
            entries = [
                EndpointEntry(
                    rng.randrange(300),
                    EndpointState(rng.randrange(3)),
                    kind=rng.randrange(3),
                )
                for _ in range(9)
            ]
            kind = ListUpdateKind.FULL if step % 40 == 39 else ListUpdateKind.CHANGES
            node.update_endpoints(step, kind, entries)
            members_by_step.append([m.id for m in node.subset.members])
        return members_by_step

    assert play() == play()
