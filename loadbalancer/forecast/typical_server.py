"""Models a server that is typical of all servers together, while no placement changes.

The model is used to fit the size of caches to the hit ratio that answers report, and to estimate the error
of a hit ratio that the size of the key sample causes.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import frexp, inf, sqrt
from typing import NamedTuple

from loadbalancer.forecast.placement_change import NEVER_CHANGED, PlacementChange
from loadbalancer.forecast.popularity import Popularity, TopKey
from loadbalancer.forecast.rate_mixture import KeyGroup
from loadbalancer.forecast.server_keys import ALWAYS_S, ServerKeys, dot_product
from loadbalancer.forecast.shard_traffic import ShardTraffic
from loadbalancer.forecast.sliced_work import SlicedWork

MAX_SERVERS_EXAMINED = 100  # upper bound of the servers whose fractions are averaged
MIN_JACKKNIFE_TAILS = 2  # estimates of the tail that a standard error needs
# Standard error assumed for a hit ratio where it cannot be estimated.
UNKNOWN_SAMPLING_ERROR = 0.1
SQRT_HALF = 0.7071  # divides an octave of mantissas (0.5 to 1) into halves
# Lower end of the search for the characteristic time, in seconds.
SHORTEST_TIME_S = 1e-6
BISECTIONS = 60  # iterations of the search for the characteristic time
FIRST_GUESS_S = 1.0  # start value of the search for the characteristic time, in seconds


class ShardFractions(NamedTuple):
    """Shards of which a server receives about the same fraction of requests.

    Attributes:
        shards: Mean number of such shards on a server.
        fraction: Mean fraction of such a shard's requests that the server receives.
    """

    shards: float
    fraction: float


def sampling_error(change: PlacementChange, shard_count: int) -> SlicedWork[float]:
    """Estimates the standard error of a hit ratio that the size of the key sample causes, by the jackknife.

    Args:
        change: The change, with the popularity of one shard (`Popularity.per_shard`).
        shard_count: Number of shards.
    """
    caches = [
        server.cache
        for server, by_shard in zip(change.servers, change.after.fractions, strict=True)
        if by_shard
    ]
    tails = change.popularity.jackknife_tails
    if len(tails) < MIN_JACKKNIFE_TAILS or not caches:
        return UNKNOWN_SAMPLING_ERROR
    capacity = sum(cache.objects for cache in caches) / len(caches)
    yield
    fractions = _typical_fractions(change.after)
    yield
    hit_ratios = []
    for tail in tails:
        keys = _typical_keys(tail, change.popularity.top, fractions, shard_count)
        window_s = keys.characteristic_time(capacity, ALWAYS_S, FIRST_GUESS_S)
        hit_ratios.append(keys.hit_ratio(ALWAYS_S, window_s))
        yield
    mean, count = sum(hit_ratios) / len(hit_ratios), len(hit_ratios)
    return sqrt((count - 1) / count * sum((ratio - mean) ** 2 for ratio in hit_ratios))


def fitted_capacity(
    popularity: Popularity, traffic: ShardTraffic, hit_ratio: float, shard_count: int
) -> float:
    """Returns how many objects a cache must hold to reach a hit ratio.

    All servers are assumed to be alike and no placement to change. The hit ratio that answers report thus
    yields the size of caches where operators do not configure it.

    Args:
        popularity: Request rates of keys, by the nodes that reported.
        traffic: The present traffic of the servers.
        hit_ratio: The hit ratio to reach.
        shard_count: Number of shards.

    Returns:
        The number of objects; 0 if popularity or traffic is not known.
    """
    if not popularity.is_known or not any(traffic.fractions):
        return 0.0
    keys = _typical_keys(
        popularity.per_shard(shard_count).tail,
        popularity.top,
        _typical_fractions(traffic),
        shard_count,
    )
    low, high = SHORTEST_TIME_S, ALWAYS_S
    for _ in range(BISECTIONS):
        window_s = sqrt(low * high)
        if keys.hit_ratio(ALWAYS_S, window_s) < hit_ratio:
            low = window_s
        else:
            high = window_s
    return sum(keys.count) - dot_product(keys.count, keys.absent(ALWAYS_S, low))


def _typical_fractions(traffic: ShardTraffic) -> list[ShardFractions]:
    """Returns the fractions of shards that a server receives on average, grouped by octave."""
    used_servers = [by_shard for by_shard in traffic.fractions if by_shard]
    used_servers = used_servers[:: len(used_servers) // MAX_SERVERS_EXAMINED + 1]
    groups: dict[int, list[float]] = {}
    for by_shard in used_servers:
        for fraction in by_shard.values():
            _, octave = frexp(fraction)
            group = groups.setdefault(octave, [0.0, 0.0])
            group[0] += 1
            group[1] += fraction
    return [
        ShardFractions(shards / len(used_servers), total / shards)
        for shards, total in groups.values()
    ]


def _typical_keys(
    tail: Sequence[KeyGroup],
    top: Sequence[TopKey],
    fractions: Sequence[ShardFractions],
    shard_count: int,
) -> ServerKeys:
    """Returns the keys of the typical server.

    Args:
        tail: All other keys of one shard, in groups of the same rate.
        top: The most requested keys of all shards.
        fractions: The fractions of shards that the server receives.
        shard_count: Number of shards.
    """
    groups: dict[int, list[float]] = {}
    for key in top:
        group = groups.setdefault(_half_octave(key.rate), [0.0, 0.0])
        group[0] += 1
        group[1] += key.rate
    per_shard = [*tail]
    for count, total in groups.values():
        per_shard.append(KeyGroup(count / shard_count, total / count))
    keys = ServerKeys(NEVER_CHANGED, inf)
    for shards, fraction in fractions:
        for count, rate in per_shard:
            keys.add(count * shards, 0.0, 0.0, rate * fraction)
    return keys


def _half_octave(rate: float) -> int:
    """Returns the number of the half octave in which a rate lies."""
    mantissa, exponent = frexp(rate)
    return 2 * exponent + (mantissa > SQRT_HALF)
