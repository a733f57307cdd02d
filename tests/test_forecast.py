"""Shard placement, the key sample and the cache model, checked for many keys and fleets."""

from __future__ import annotations

from collections import Counter
from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.forecast.cache_model import (
    ServerCache,
    object_capacity,
    ttl_hit_factor,
)
from loadbalancer.forecast.forecaster import forecast
from loadbalancer.forecast.key_digest import KeyDigest, join_windows, merge
from loadbalancer.forecast.key_records import decode_report, encode_report
from loadbalancer.forecast.key_sample import MAX_SAMPLED_KEYS, KeySample
from loadbalancer.forecast.placement_change import PlacementChange, ServerState
from loadbalancer.forecast.popularity import (
    Popularity,
    estimate_popularity,
    popularity_drift,
)
from loadbalancer.forecast.rendezvous import (
    POSITION_COUNT,
    DrawTable,
    ShardPlacement,
    key_position,
    shard_of,
)
from loadbalancer.forecast.shard_traffic import NodeSubset, shard_traffic
from loadbalancer.forecast.sliced_work import run_to_end
from loadbalancer.records.interface import MAX_BODY_BYTES

PROPERTY_SETTINGS = settings(derandomize=True, max_examples=60, deadline=None)


# ---- placement ----------------------------------------------------------------------------------------


def replicas_by_shard(
    names: list[str], replica_count: int = 2, shards: int = 512
) -> dict[int, set[str]]:
    placed = ShardPlacement(DrawTable(shards), replica_count)
    placed.update((n, 1.0) for n in names)
    return {s: {names[i] for i in placed.replicas_of(s)} for s in range(shards)}


def test_a_change_of_members_moves_a_shard_only_to_or_from_the_changed_one() -> None:
    names = [f"s{i}" for i in range(24)]
    before, after = replicas_by_shard(names), replicas_by_shard(names[:-1])
    moved = [s for s in before if names[-1] in before[s]]
    assert all(before[s] == after[s] for s in before if s not in moved)
    assert all(len(before[s] & after[s]) == 1 for s in moved)
    assert 0.5 < len(moved) / (512 * 2 / 24) < 1.6


def test_nodes_with_overlapping_subsets_agree_on_replicas_that_both_have() -> None:
    names = [f"s{i}" for i in range(36)]
    one, other = replicas_by_shard(names[:24], 1), replicas_by_shard(names[12:], 1)
    both = set(names[12:24])
    agreed = [s for s in one if one[s] <= both and other[s] <= both]
    assert agreed
    assert all(one[s] == other[s] for s in agreed)


def test_a_weight_of_two_gets_about_twice_as_many_shards() -> None:
    placed = ShardPlacement(DrawTable(4096), 1)
    placed.update((f"s{i}", 2.0 if i < 5 else 1.0) for i in range(20))
    got = Counter(placed.replicas_of(s)[0] for s in range(4096))
    heavy, light = (
        sum(got[i] for i in range(5)) / 5,
        sum(got[i] for i in range(5, 20)) / 15,
    )
    assert 1.7 < heavy / light < 2.3


@PROPERTY_SETTINGS
@given(
    st.integers(1, 30),
    st.integers(1, 12),
    st.integers(1, 4),
    st.randoms(use_true_random=False),
)
def test_traffic_fractions_match_the_placements_of_all_nodes(
    servers: int, nodes: int, replica_count: int, random: Random
) -> None:
    table = DrawTable(16)
    weights = random.choice(((1.0,), (1.0, 2.0)))
    members = [(f"s{i}", random.choice(weights)) for i in range(servers)]
    subsets = [
        NodeSubset(
            tuple(random.sample(range(servers), random.randint(1, servers))),
            2.0 ** random.randint(0, 5),
        )
        for _ in range(nodes)
    ]
    found = run_to_end(shard_traffic(table, members, subsets, replica_count))
    total = sum(s.rate for s in subsets)
    for shard in range(16):
        expected: Counter[int] = Counter()
        for subset in subsets:
            placed = ShardPlacement(table, replica_count)
            placed.update(members[m] for m in subset.members)
            own = placed.replicas_of(shard)
            for i in own:
                expected[subset.members[i]] += subset.rate / total / len(own)
        for server in range(servers):
            assert found.fractions[server].get(shard, 0.0) == pytest.approx(
                expected[server]
            )


# ---- the sample ---------------------------------------------------------------------------------------


def zipf(keys: int, alpha: float, count: int, seed: int) -> list[int]:
    random = Random(seed)
    weights = [1 / (i + 1) ** alpha for i in range(keys)]
    names = [key_position(b"/item/%d" % i) for i in range(keys)]
    return random.choices(names, weights, k=count)


def digest_of(keys: list[int], most: int = 64) -> KeyDigest:
    sample = KeySample(10**9, 0, most)
    for key in keys:
        sample.add(key)
    return sample.digest(1_000_000)


@PROPERTY_SETTINGS
@given(
    st.lists(st.lists(st.integers(0, 60), max_size=150), min_size=1, max_size=5),
    st.randoms(),
)
def test_merging_in_any_order_gives_the_same(
    parts: list[list[int]], random: Random
) -> None:
    digests = [
        digest_of([n * (POSITION_COUNT // 61) for n in part], 8) for part in parts
    ]
    shuffled = list(digests)
    random.shuffle(shuffled)
    assert merge(digests) == merge(shuffled)
    # The merged sample is the one that a single node would have counted from all requests.
    together = merge(digests)
    whole = Counter(n * (POSITION_COUNT // 61) for part in parts for n in part)
    assert together.counts == {p: n for p, n in whole.items() if p < together.threshold}


def test_keys_in_the_sample_were_counted_from_their_first_request() -> None:
    keys = zipf(20_000, 0.8, 60_000, 3)
    digest = digest_of(keys, 200)
    whole = Counter(keys)
    assert 150 <= len(digest.counts) <= 200
    assert all(whole[p] == n for p, n in digest.counts.items())
    assert {p for p in whole if p < digest.threshold} == set(digest.counts)


def test_counts_of_the_most_requested_keys_are_nearly_exact() -> None:
    keys = zipf(50_000, 0.9, 100_000, 4)
    digest, whole = digest_of(keys), Counter(keys)
    for key, n in whole.most_common(100):
        assert n <= digest.top[key] <= 1.1 * n + 10
    assert all(
        n <= digest.top_floor for key, n in whole.items() if key not in digest.top
    )


def test_old_windows_are_dropped() -> None:
    sample = KeySample(1_000, 0, 100)
    for now, base in ((0, 0), (1_000, 10_000), (2_000, 20_000)):
        sample.roll(now)
        for i in range(500):
            sample.add((base + i) << 16)
    digest = sample.digest(3_000)
    assert digest.span_us == 2_000
    assert digest.requests == 1_000
    assert all(p >= 10_000 << 16 for p in digest.top)


def test_memory_of_a_sample_is_limited_for_any_number_of_keys() -> None:
    import tracemalloc

    tracemalloc.start()
    sample = KeySample(1, 0)
    for turn in range(2):
        sample.roll(turn * 10)
        for i in range(60_000):
            sample.add((i * 0x9E3779B1 + turn) % POSITION_COUNT)
    assert tracemalloc.get_traced_memory()[0] < 1_000_000
    tracemalloc.stop()
    assert len(sample.current.counts) <= MAX_SAMPLED_KEYS


@PROPERTY_SETTINGS
@given(st.integers(0, 3_000), st.integers(1, 3), st.integers(0, 9))
def test_records_decode_to_the_encoded_counts_and_fit_their_size(
    keys: int, sample_records: int, seed: int
) -> None:
    random = Random(seed)
    digest = digest_of([random.randrange(POSITION_COUNT) for _ in range(keys)], 2_000)
    bodies = encode_report(digest, 24, sample_records, MAX_BODY_BYTES)
    assert len(bodies) == sample_records + 1
    assert all(len(b) <= MAX_BODY_BYTES for b in bodies)
    decoded = decode_report(bodies)
    assert decoded.subset_size == 24
    assert decoded.digest.counts == {
        p: n for p, n in digest.counts.items() if p < decoded.digest.threshold
    }
    assert all(digest.top[p] == n for p, n in decoded.digest.top.items())
    assert all(
        n <= decoded.digest.top_floor
        for p, n in digest.top.items()
        if p not in decoded.digest.top
    )


@PROPERTY_SETTINGS
@given(st.lists(st.binary(max_size=60), max_size=3))
def test_malformed_records_are_rejected(bodies: list[bytes]) -> None:
    try:
        decode_report(bodies)
    except ValueError:
        return
    assert all(len(b) >= 27 for b in bodies)


def test_records_of_different_times_are_not_merged() -> None:
    old = encode_report(
        digest_of(list(range(0, 1 << 20, 1 << 10))), 4, 1, MAX_BODY_BYTES
    )
    new = encode_report(
        digest_of(list(range(0, 1 << 21, 1 << 10))), 4, 1, MAX_BODY_BYTES
    )
    with pytest.raises(ValueError, match="different times"):
        decode_report([new[0], old[1]])


def test_popularity_of_a_short_window_includes_keys_without_requests() -> None:
    """Of 20,000 keys, each requested twice on average, a seventh is not requested in the window at all."""
    found = []
    # One window alone has a standard deviation of 4 percent with any hash, so four are averaged.
    for seed in range(5, 9):
        random = Random(seed)
        keys = [key_position(b"k%d" % random.randrange(20_000)) for _ in range(40_000)]
        popularity = run_to_end(estimate_popularity(digest_of(keys, 1_000), 64))
        found.append(
            (sum(n for n, _ in popularity.tail) + len(popularity.top)) / 20_000
        )
        calls = sum(n * r for n, r in popularity.tail) + sum(
            r for _, r in popularity.top
        )
        assert calls == pytest.approx(40_000)
    assert 0.92 < sum(found) / len(found) < 1.08


def test_drift_is_distinguished_from_chance() -> None:
    keys = zipf(5_000, 0.9, 40_000, 6)
    same, other = digest_of(keys[:20_000]), digest_of(keys[20_000:])
    shifted = digest_of([k ^ 0x5A5A5A5A for k in keys[20_000:]])
    assert popularity_drift(same, other) < 0.1
    assert popularity_drift(same, shifted) > 0.7
    assert join_windows([same, other]).requests == 40_000


def test_nodes_with_different_keys_are_distinguished_from_those_with_the_same() -> None:
    keys = zipf(2_000, 0.9, 30_000, 9)
    one, same = digest_of(keys[:15_000]), digest_of(keys[15_000:])
    other = digest_of([k ^ 0x5A5A5A5A for k in keys[15_000:]])
    assert popularity_drift(merge([one, same]), one) < 0.05
    assert popularity_drift(merge([one, other]), one) > 0.3


# ---- the model ----------------------------------------------------------------------------------------

SHARDS = 64


def fleet_subsets(servers: int, without: int = 0) -> list[NodeSubset]:
    members = tuple(range(servers - without))
    return [NodeSubset(members, 100.0)]


def placement_change(
    count: int = 10, cache_objects: float = 200.0, without: int = 0, **more: object
) -> PlacementChange:
    table = DrawTable(SHARDS)
    names = [(f"s{i}", 1.0) for i in range(count)]
    before = run_to_end(shard_traffic(table, names, fleet_subsets(count), 2))
    after = run_to_end(shard_traffic(table, names, fleet_subsets(count, without), 2))
    keys = zipf(20_000, 0.9, 50_000, 7)
    estimate = run_to_end(estimate_popularity(digest_of(keys, 2_000), SHARDS))
    given = {
        "servers": [ServerState(ServerCache(cache_objects), tolerable_misses=5_000.0)]
        * count,
        "before": before,
    }
    return PlacementChange(**{**given, "after": after, "popularity": estimate, **more})  # type: ignore[arg-type]


def lru_hit_ratio(keys: list[int], cache_objects: int) -> float:
    from cachetools import LRUCache

    cache: LRUCache[int, bool] = LRUCache(cache_objects)
    hits = 0
    for i, key in enumerate(keys):
        if i >= len(keys) // 2:
            hits += key in cache
        cache[key] = cache.get(key, True)
    return hits / (len(keys) - len(keys) // 2)


def test_one_server_without_a_change_agrees_with_a_real_lru() -> None:
    table = DrawTable(SHARDS)
    traffic = run_to_end(shard_traffic(table, [("s", 1.0)], fleet_subsets(1), 1))
    keys = zipf(20_000, 0.9, 120_000, 8)
    popularity = run_to_end(
        estimate_popularity(digest_of(keys[60_000:], 2_000), SHARDS)
    )
    for cache_objects in (100, 1_000, 5_000):
        found = run_to_end(
            forecast(
                PlacementChange(
                    [ServerState(ServerCache(cache_objects))],
                    traffic,
                    traffic,
                    popularity,
                ),
                SHARDS,
            )
        )
        assert found.hit_ratio_now == found.steady_hit_ratio == found.hit_ratios[0]
        assert abs(found.hit_ratio_now - lru_hit_ratio(keys, cache_objects)) < 0.02


def test_a_cold_server_has_no_hits_at_first_and_warms_up() -> None:
    change = placement_change(without=2)
    cold = [
        ServerState(
            s.cache, age_s=0.0 if i >= 8 else inf, tolerable_misses=s.tolerable_misses
        )
        for i, s in enumerate(change.servers)
    ]
    joins = PlacementChange(cold, change.after, change.before, change.popularity)
    found = run_to_end(forecast(joins, SHARDS))
    joined, unchanged = found.servers[9], found.servers[0]
    assert joined.hit_ratios[0] == 0.0
    assert joined.fraction_before == 0.0
    assert list(joined.hit_ratios) == sorted(joined.hit_ratios)
    assert joined.hit_ratios[-1] == pytest.approx(joined.steady_hit_ratio, abs=0.02)
    assert unchanged.hit_ratios[0] > 0.9 * unchanged.hit_ratio_now
    assert found.lowest_hit_ratio < found.hit_ratio_now - 0.03
    assert found.recovery_s > 0
    assert found.peak_misses > found.misses_now


def test_peak_load_is_relative_to_the_misses_that_servers_tolerate() -> None:
    found = run_to_end(forecast(placement_change(without=5), SHARDS))
    less_tolerant = placement_change(without=5)
    less_tolerant = PlacementChange(
        [
            ServerState(s.cache, tolerable_misses=s.tolerable_misses / 10)
            for s in less_tolerant.servers
        ],
        less_tolerant.before,
        less_tolerant.after,
        less_tolerant.popularity,
    )
    assert run_to_end(forecast(less_tolerant, SHARDS)).peak_load == pytest.approx(
        10 * found.peak_load
    )
    assert found.peak_load_high > found.peak_load


def test_a_recent_earlier_change_lowers_the_hit_ratio() -> None:
    """Half of the servers left a millisecond ago; their keys are not cached elsewhere when another leaves."""
    table = DrawTable(SHARDS)
    names = [(f"s{i}", 1.0) for i in range(10)]
    all_ten, five, four = (
        run_to_end(shard_traffic(table, names, fleet_subsets(10, n), 2))
        for n in (0, 5, 6)
    )
    change = placement_change()
    after_long = run_to_end(
        forecast(PlacementChange(change.servers, five, four, change.popularity), SHARDS)
    )
    at_once = run_to_end(
        forecast(
            PlacementChange(
                change.servers,
                five,
                four,
                change.popularity,
                earlier=all_ten,
                earlier_age_s=0.001,
            ),
            SHARDS,
        )
    )
    assert at_once.hit_ratios[0] < after_long.hit_ratios[0] - 0.05
    assert at_once.steady_hit_ratio == pytest.approx(
        after_long.steady_hit_ratio, abs=1e-3
    )


def test_a_time_to_live_and_object_sizes_limit_hits() -> None:
    plain = run_to_end(forecast(placement_change(cache_objects=1e6), SHARDS))
    short = run_to_end(
        forecast(
            placement_change(servers=[ServerState(ServerCache(1e6, 0.05))] * 10), SHARDS
        )
    )
    assert short.hit_ratio_now < plain.hit_ratio_now - 0.2
    # Without evictions the hit ratio is rate * ttl / (1 + rate * ttl).
    assert ttl_hit_factor(2.0, 1e9, 3.0) == pytest.approx(6 / 7)
    all_objects, admitted = object_capacity(1e6, 1e3)
    assert (all_objects, admitted) == (1e3, 1.0)
    small_objects, admitted_small = object_capacity(1e6, 1e3, 2.0, 1e3)
    assert small_objects > all_objects
    assert 0.6 < admitted_small < 0.9


@pytest.mark.parametrize(
    ("more", "expected_reason"),
    [
        ({"popularity": Popularity(0.0, [], [], 0, [])}, "too few"),
        ({"silent_fraction": 0.6}, "not reported"),
        ({"servers": [ServerState(ServerCache(0.0))] * 10}, "size"),
    ],
)
def test_a_forecast_without_sufficient_data_is_unknown(
    more: dict[str, object], expected_reason: str
) -> None:
    found = run_to_end(forecast(placement_change(**more), SHARDS))
    assert expected_reason in found.unknown_reason
    assert found.peak_load_high == inf


def test_the_interval_widens_with_uncertainty() -> None:
    plain = run_to_end(forecast(placement_change(without=2), SHARDS))
    for more in (
        {"drift_per_s": 10.0},
        {"silent_fraction": 0.25},
        {"divergent_fraction": 0.3},
        {"past_error": 0.1},
        {"reported_hit_ratio": plain.hit_ratio_now - 0.2},
    ):
        assert (
            run_to_end(forecast(placement_change(without=2, **more), SHARDS)).margin
            > plain.margin + 0.05
        ), more


def test_shard_of_every_key_is_the_same_in_all_nodes() -> None:
    # Nodes of two versions would disagree on shards if this value changed.
    assert key_position(b"/item/1") == 0x71516BA8
    assert {shard_of(key_position(b"%d" % i), 16) for i in range(500)} == set(range(16))
