"""Tests `RankedOrder` against a sorted list, and the windows of it that instances use."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.policy.ranked_order import RankedOrder, shuffle

# Small numbers, and numbers that differ only in their high bits, so that some keys share long prefixes.
KEYS = st.one_of(
    st.integers(0, 63),
    st.integers(0, 2**64 - 1),
    st.integers(0, 63).map(lambda k: k << 58),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.booleans(), KEYS), max_size=60),
    KEYS,
    st.integers(0, 80),
    st.integers(0, 80),
)
def test_matches_sorted_list(
    steps: list[tuple[bool, int]], probe: int, start: int, count: int
) -> None:
    order: RankedOrder[str] = RankedOrder()
    expected_items: dict[int, str] = {}
    for is_add, key in steps:
        if is_add == (key in expected_items):
            with pytest.raises(KeyError):
                order.add(key, "twice") if is_add else order.remove(key)
        elif is_add:
            expected_items[key] = str(key)
            order.add(key, str(key))
        else:
            assert order.remove(key) == expected_items.pop(key)
        assert len(order) == len(expected_items)
    keys = sorted(expected_items)
    assert (probe in order) == (probe in expected_items)
    assert order.rank(probe) == sum(k < probe for k in keys)
    expected = (
        [
            expected_items[keys[(start + i) % len(keys)]]
            for i in range(min(count, len(keys)))
        ]
        if keys
        else []
    )
    assert order.window(start, count) == expected


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.sets(KEYS, max_size=40),
    st.sets(KEYS, max_size=20),
    st.randoms(use_true_random=False),
)
def test_shape_depends_only_on_keys(keys: set[int], others: set[int], rng) -> None:
    sorted_order: RankedOrder[int] = RankedOrder()
    for key in sorted(keys):
        sorted_order.add(key, key)
    shuffled_order: RankedOrder[int] = RankedOrder()
    shuffled_keys = list(keys | others)
    rng.shuffle(shuffled_keys)
    for key in shuffled_keys:
        shuffled_order.add(key, key)
    for key in others - keys:
        shuffled_order.remove(key)
    assert shape(sorted_order, sorted_order.root) == shape(
        shuffled_order, shuffled_order.root
    )
    # Indexes are reused: there are no more of them than items at one time.
    assert len(shuffled_order.items) <= len(keys | others)
    assert len(shuffled_order.counts) - len(shuffled_order.free_nodes) == len(
        sorted_order.counts
    )


def shape(order: RankedOrder, node: int):
    if node >= 0:
        return (
            order.counts[node],
            shape(order, order.sides[0][node]),
            shape(order, order.sides[1][node]),
        )
    return order.items[~node] if order.size(node) else None


def depth(order: RankedOrder, node: int) -> int:
    return 1 + max(depth(order, side[node]) for side in order.sides) if node >= 0 else 0


def test_paths_are_short_with_50_000_endpoints() -> None:
    order: RankedOrder[int] = RankedOrder()
    for endpoint in range(50_000):  # consecutive numbers, the least random ones
        order.add(shuffle(endpoint, 0), endpoint)
    assert len(order) == 50_000
    assert depth(order, order.root) <= 48
    # With windows that start evenly spaced by rank, coverage differs by at most one.
    instances, width = 1000, 120
    coverage = Counter(
        s
        for c in range(instances)
        for s in order.window(c * len(order) // instances, width)
    )
    assert len(coverage) == 50_000
    assert set(coverage.values()) <= {2, 3}


def test_change_moves_at_most_one_other_member() -> None:
    order: RankedOrder[int] = RankedOrder()
    for endpoint in range(500):
        order.add(shuffle(endpoint, 0), endpoint)
    instances, width = 60, 24

    def members() -> list[set[int]]:
        return [
            set(order.window(c * len(order) // instances, width))
            for c in range(instances)
        ]

    before = members()
    for endpoint in range(0, 500, 7):
        order.remove(shuffle(endpoint, 0))
        after = members()
        assert (
            max(len(a - b - {endpoint}) for a, b in zip(before, after, strict=True))
            <= 1
        )
        before = after
        order.add(shuffle(endpoint + 1000, 0), endpoint + 1000)
        after = members()
        assert max(len(a - b) for a, b in zip(before, after, strict=True)) <= 2
        before = after
