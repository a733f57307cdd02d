"""Models one server's cache hit ratio before a change of placement and over the time after it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import frexp, inf

from loadbalancer.forecast.cache_model import ttl_hit_factor
from loadbalancer.forecast.forecast_result import HORIZON_S
from loadbalancer.forecast.placement_change import (
    NEVER_CHANGED,
    PlacementChange,
    ServerState,
)
from loadbalancer.forecast.server_keys import ALWAYS_S, ServerKeys
from loadbalancer.forecast.sliced_work import SlicedWork

# Shards are grouped by the server's fraction of their requests, in octaves (powers of two). The largest
# octave and the OCTAVES - 1 octaves below it each have a group; all smaller fractions share one group.
OCTAVES = 3
# Octave of a shard of which the server receives no requests; below every real one.
NO_REQUESTS_OCTAVE = -1000
# Start value of the search for the characteristic time before the change, in seconds.
FIRST_GUESS_S = 1.0


@dataclass
class _ShardGroup:
    """Shards of which a server receives about the same fraction of requests in each of three periods.

    The three fractions are sums over the shards of the group.

    Attributes:
        shards: Number of shards in the group.
        earlier: Sum of the fractions before the previous change.
        before: Sum of the fractions between the previous change and this one.
        after: Sum of the fractions after this change.
    """

    shards: float = 0.0
    earlier: float = 0.0
    before: float = 0.0
    after: float = 0.0


def server_keys(change: PlacementChange, server: int, scale: float) -> ServerKeys:
    """Returns the keys of one server with their request rates.

    The most requested keys are known individually and added one by one. All other keys are spread evenly
    over the shards, in groups of about the same rate. Shards of which the server receives about the same
    fraction of requests are added together.

    Args:
        change: The change, with the popularity of one shard (`Popularity.per_shard`).
        server: Index of the server.
        scale: Request rate of all nodes divided by that of the nodes that reported.
    """
    keys = ServerKeys(change.earlier_age_s, change.servers[server].age_s)
    before = change.before.fractions[server]
    after = change.after.fractions[server]
    earlier = before if change.earlier is None else change.earlier.fractions[server]
    shards = set(before) | set(after) | set(earlier)
    for group in _shard_groups(shards, earlier, before, after):
        count = group.shards
        earlier_fraction = group.earlier / count * scale
        before_fraction = group.before / count * scale
        after_fraction = group.after / count * scale
        for tail_keys, rate in change.popularity.tail:
            keys.add(
                tail_keys * count,
                rate * earlier_fraction,
                rate * before_fraction,
                rate * after_fraction,
            )
    for shard, rate in change.popularity.top:
        if shard in shards:
            scaled = rate * scale
            keys.add(
                1.0,
                scaled * earlier.get(shard, 0.0),
                scaled * before.get(shard, 0.0),
                scaled * after.get(shard, 0.0),
            )
    return keys


def _shard_groups(
    shards: set[int],
    earlier: dict[int, float],
    before: dict[int, float],
    after: dict[int, float],
) -> list[_ShardGroup]:
    """Groups a server's shards by the octaves of the fractions of their requests that it receives."""
    largest_octave = max(
        (
            frexp(max(fractions.values()))[1]
            for fractions in (before, after)
            if fractions
        ),
        default=0,
    )
    # Shards with fractions far below the largest one contribute few requests.
    lowest_octave = largest_octave - OCTAVES
    groups: dict[tuple[int, int, int], _ShardGroup] = {}
    for shard in shards:
        earlier_fraction, before_fraction, after_fraction = (
            earlier.get(shard, 0.0),
            before.get(shard, 0.0),
            after.get(shard, 0.0),
        )
        key = (
            _octave(earlier_fraction, lowest_octave),
            _octave(before_fraction, lowest_octave),
            _octave(after_fraction, lowest_octave),
        )
        group = groups.setdefault(key, _ShardGroup())
        group.shards += 1
        group.earlier += earlier_fraction
        group.before += before_fraction
        group.after += after_fraction
    return list(groups.values())


def _octave(fraction: float, lowest_octave: int) -> int:
    """Returns the octave of a fraction; fractions below the lowest octave count as part of it."""
    return max(lowest_octave, frexp(fraction)[1]) if fraction else NO_REQUESTS_OCTAVE


@dataclass
class ServerModel:
    """One server's cache before, during and long after a change of placement.

    Call `evaluate_before`, then `evaluate_after`; they fill in the attributes from `hit_ratio_now` on.

    Attributes:
        state: What is known of the server and its cache.
        keys: The keys that the server receives requests for.
        fraction_before: Fraction of all requests that the server receives before the change.
        fraction_after: Fraction of all requests that the server receives after the change.
        hit_ratio_now: Hit ratio before the change.
        time_now_s: The cache's characteristic time before the change.
        steady_time_s: The cache's characteristic time long after the change; may be infinite.
        hit_ratios: Hit ratios after the change, one for each of the forecast's times.
        steady_hit_ratio: Hit ratio long after the change.
    """

    state: ServerState
    keys: ServerKeys
    fraction_before: float
    fraction_after: float
    hit_ratio_now: float = 0.0
    time_now_s: float = 0.0
    steady_time_s: float = inf
    hit_ratios: list[float] = field(default_factory=list)
    steady_hit_ratio: float = 0.0

    def evaluate_before(self) -> SlicedWork[None]:
        """Computes the hit ratio before the change, and the characteristic times before and long after it."""
        cache, unchanged = self.state.cache, self.keys.unchanged()
        self.time_now_s = unchanged.characteristic_time(
            cache.objects, 0.0, FIRST_GUESS_S
        )
        yield
        factors = None
        if cache.ttl_s:
            factors = [
                ttl_hit_factor(rate, self.time_now_s, cache.ttl_s)
                for rate in self.keys.rate_before
            ]
        self.hit_ratio_now = (
            unchanged.hit_ratio(0.0, self.time_now_s, factors)
            * cache.cacheable_fraction
        )
        self.steady_time_s = self.keys.characteristic_time(
            cache.objects, ALWAYS_S, self.time_now_s
        )
        yield

    def time_scale_s(self) -> float:
        """Returns the characteristic time after the change, weighted by the server's fraction of requests."""
        if self.fraction_after <= 0:
            return 0.0
        return self.fraction_after * min(self.steady_time_s, HORIZON_S)

    def evaluate_after(self, times_s: tuple[float, ...]) -> SlicedWork[None]:
        """Computes the hit ratios after the change and long after it.

        Args:
            times_s: Times to evaluate, in seconds after the change.
        """
        if self.fraction_after <= 0 or self._is_steady():
            self.hit_ratios = [self.hit_ratio_now] * len(times_s)
            self.steady_hit_ratio = self.hit_ratio_now
            return
        cache, keys = self.state.cache, self.keys
        factors = _TtlFactors(self) if cache.ttl_s else None
        window_s = self.time_now_s
        for elapsed_s in times_s:
            current_factors = factors.at(elapsed_s) if factors is not None else None
            window_s = keys.characteristic_time(cache.objects, elapsed_s, window_s)
            self.hit_ratios.append(
                keys.hit_ratio(elapsed_s, window_s, current_factors)
                * cache.cacheable_fraction
            )
            yield
        steady_factors = factors.new if factors is not None else None
        self.steady_hit_ratio = (
            keys.hit_ratio(ALWAYS_S, self.steady_time_s, steady_factors)
            * cache.cacheable_fraction
        )

    def correct(self, factor: float) -> None:
        """Multiplies all hit ratios by a factor and limits them to 1."""
        self.hit_ratio_now = min(1.0, self.hit_ratio_now * factor)
        self.hit_ratios = [min(1.0, ratio * factor) for ratio in self.hit_ratios]
        self.steady_hit_ratio = min(1.0, self.steady_hit_ratio * factor)

    def lowest_hit_ratio(self) -> float:
        """Returns the lowest hit ratio after the change."""
        return min((*self.hit_ratios, self.steady_hit_ratio))

    def _is_steady(self) -> bool:
        """Whether the rates stay the same and no earlier change or cold cache has an effect."""
        return (
            self.keys.rate_before == self.keys.rate_after
            and self.state.age_s == inf
            and self.keys.since_earlier_s == NEVER_CHANGED
        )


class _TtlFactors:
    """Hit factors of a time to live (`ttl_hit_factor`), by group of keys, before and after the change.

    Attributes:
        ttl_s: The time to live in seconds.
        old: Factors before the change.
        new: Factors long after the change.
    """

    def __init__(self, server: ServerModel) -> None:
        self.ttl_s = server.state.cache.ttl_s
        self.old = [
            ttl_hit_factor(rate, server.time_now_s, self.ttl_s)
            for rate in server.keys.rate_before
        ]
        self.new = [
            ttl_hit_factor(rate, server.steady_time_s, self.ttl_s)
            for rate in server.keys.rate_after
        ]

    def at(self, elapsed_s: float) -> list[float]:
        """Returns the factors at a time after the change, interpolated over one time to live."""
        progress = min(1.0, elapsed_s / self.ttl_s)
        return [
            old + (new - old) * progress
            for old, new in zip(self.old, self.new, strict=True)
        ]
