"""The subset of a copy: against a plain sort, its evenness and stability, and lists that come in parts."""

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

LINES = st.lists(
    st.tuples(st.integers(1, 40), st.integers(0, 3), st.integers(0, 2), st.booleans()),
    max_size=60,
)


def entries_of(lines) -> list[EndpointEntry]:
    return [
        EndpointEntry(
            server,
            EndpointState.READY if ready else EndpointState.DRAINING,
            cell=kind,
            zone=zone,
            kind=kind,
        )
        for server, kind, zone, ready in lines
    ]


def sorted_stretch(
    servers: dict[int, EndpointEntry], index: int, copies: int, size: int
) -> list[int]:
    """The same by a sort of all servers: what the design says, with nothing clever."""
    n = len(servers)
    kinds: dict[int, list[int]] = {}
    for server in sorted(servers, key=lambda s: shuffle(s, 0)):
        kinds.setdefault(servers[server].kind, []).append(server)
    places = [
        ((i + shuffle(kind, 0) / 2**64) / len(alike), server)
        for kind, alike in kinds.items()
        for i, server in enumerate(alike)
    ]
    order = [server for _, server in sorted(places)]
    start, size = index % copies * n // copies, min(size, n)
    end = start + size
    if whole_parts(n, copies, size):
        parts = next(k for k in range(copies + 1) if k * n >= size * copies)
        end = (index % copies + parts) * n // copies
    return [order[i % n] for i in range(start, end)]


def whole_parts(n: int, copies: int, size: int) -> bool:
    """Whether a stretch is made longer by less than a part, so that all servers lie in as many stretches."""
    return n <= max(SUBSET_LEAST, size // 2) * copies


def take(
    roster: EndpointList, held: dict[int, EndpointEntry], entries: list[EndpointEntry]
) -> None:
    for entry in entries:
        if entry.state == EndpointState.READY:
            held[entry.endpoint] = entry
            roster.put(entry)
        else:
            held.pop(entry.endpoint, None)
            roster.remove(entry.endpoint)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(LINES, st.lists(LINES, max_size=3), LINES, st.integers(1, 9), st.integers(1, 30))
def test_a_stretch_is_that_of_a_sorted_list(first, whole, later, copies, size):
    """Changes, then whole lists in parts, then changes while what was left out is still being swept."""
    roster, held = EndpointList(False, frozenset({DeduplicationScope.CELL})), {}
    take(roster, held, entries_of(first))
    if whole:
        named: dict[int, EndpointEntry] = {}
        roster.begin()
        for part in whole:
            take(roster, named, entries_of(part))
        held = named
        if roster.end():
            while roster.sweep():
                pass
    take(roster, held, entries_of(later))
    assert len(roster) == len(held) == len(roster.endpoints)
    assert roster.stale_count == 0
    for server in range(1, 41):
        assert (roster.get(server) is not None) == (server in held)
    if held:
        for index in range(copies):
            found = sorted(
                s.id
                for s in subset_slice(
                    roster, roster.orders[ALL_ZONES], index, copies, size
                )
            )
            assert found == sorted(sorted_stretch(held, index, copies, size))
        cell = next(iter(held.values())).cell
        alike = {
            s.id for s in roster.in_scope(DeduplicationScope.CELL, 0, cell, 0.5, 100)
        }
        assert alike == {e.endpoint for e in held.values() if e.cell == cell}
    for server in list(held):
        roster.remove(server)
    assert not roster.orders
    assert not roster.scope_orders
    assert len(roster) == 0


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(30, 400), st.integers(2, 40), st.integers(1, 4), st.integers(0, 2**32)
)
def test_subsets_are_even_and_stable(n, copies, kinds, seed):
    """Coverage to within one for all servers, the same for all where parts are small; a change moves one
    member of a kind, and one more at an end, beside the changed one.
    """
    rng = Random(seed)
    roster = EndpointList(False, frozenset())
    for server in rng.sample(range(1 << 40), n):
        roster.put(EndpointEntry(server, kind=server % kinds))
    size = min(n, 24)

    def subsets() -> list[set[int]]:
        return [
            {
                s.id
                for s in subset_slice(roster, roster.orders[ALL_ZONES], c, copies, size)
            }
            for c in range(copies)
        ]

    before = subsets()
    for change in range(6):
        server = (
            rng.choice(list(roster.endpoints)) if change % 2 else rng.randrange(1 << 41)
        )
        if change % 2:
            roster.remove(server)
        else:
            roster.put(EndpointEntry(server, kind=server % kinds))
        after = subsets()
        cover = Counter(s for members in after for s in members)
        counts = [cover.get(s, 0) for s in roster.endpoints]
        left = len(roster)
        even = whole_parts(left, copies, min(size, left))
        assert max(counts) - min(counts) <= (0 if even else 1)
        longest = min(size, left) + (max(SUBSET_LEAST, size // 2) + 1 if even else 0)
        assert all(
            len(a - b) <= 1 + kinds + even and min(size, left) <= len(a) <= longest
            for a, b in zip(after, before, strict=True)
        )
        before = after


def test_rolling_deploys_reach_every_server_and_a_copy_s_state_stays_bounded():
    """Thousands of servers, each taken out and put back: what a copy knows is of members and a few more."""
    node, rec = balancer(
        [EndpointEntry(i) for i in range(1, 3001)], instances=100, index=40
    )
    now, taken = SEC, 0
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
            taken += 1
            node.request(now, taken, 0, 0, 2 * SEC, False)
            for _, request, server, _ in rec.take("send"):
                assert server not in gone
                node.outcome(now + 500, request, 0, server, Outcome.OK, 500, True, ())
    assert len(node.subset.endpoint_list) == 3000
    assert len(node.subset.members) == 30
    assert len(node.table.endpoints) <= SUBSET_BOUND + MAX_FORMER_MEMBERS


def test_repeats_outside_the_subset_leave_little_behind():
    """Failure prevented: each keyed repeat gets to know servers of its cell, and none is ever forgotten."""
    entries = [EndpointEntry(i, cell=i % 100) for i in range(1, 3001)]
    node, rec = balancer(entries, instances=100)  # 30 members
    repeats = 0
    for i in range(400):
        now = SEC + i * SEC // 2
        node.retries.tokens = 3.0  # as if most calls went well
        node.outliers.failure_rate = 0.9  # ...and nobody is ejected
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


def test_a_whole_list_in_parts_replaces_every_server():
    """The hardest list: no name stays. Old ones serve until the last part and never after it."""
    old, new = range(1, 4001), range(10_001, 14_001)
    node, rec = balancer([EndpointEntry(i) for i in old], instances=200, index=7)
    parts = [[EndpointEntry(i) for i in new[k : k + 500]] for k in range(0, 4000, 500)]
    request = 0

    def sent_to(now: int) -> int:
        nonlocal request
        request += 1
        node.request(now, request, 0, 0, 2 * SEC, False)
        ((_, _, server, _),) = rec.take("send")
        node.outcome(now + 400, request, 0, server, Outcome.OK, 20_000, True, ())
        return server

    for i, part in enumerate(parts):
        more = i + 1 < len(parts)
        node.update_endpoints(SEC + i * 1000, ListUpdateKind.FULL, part, more)
        timers = rec.take("set_timer")
        assert len(node.subset.members) >= 4
        for turn in range(20):
            server = sent_to(SEC + i * 1000 + turn)
            assert more or server in new
    steps = 0
    while timers:  # the sweep goes on between other events
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


def test_a_whole_list_in_parts_may_be_followed_by_another_before_its_sweep():
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


def test_a_change_of_what_counts_lays_the_servers_out_anew():
    """Zones begin to count with new settings, and a class with repeats within a cell."""
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


def test_the_same_events_lead_to_the_same_members():
    def play() -> list[list[int]]:
        rec = Recorder()
        node = Balancer(BASE, 3, rec)  # type: ignore[arg-type]
        node.start(0)
        rng, told = Random(5), []
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
            told.append([m.id for m in node.subset.members])
        return told

    assert play() == play()
