"""Forecasts the cache hit ratio after a change of placement, before the change is made.

One formula (`server_keys`) covers the moment after a change, the minutes that follow, a server that starts
cold, and a change made shortly after another one. Only the request rates differ between these cases, so
none of them needs a separate heuristic.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from math import sqrt

from loadbalancer.forecast.forecast_result import (
    MODEL_ERROR,
    Forecast,
    ServerForecast,
    recovery_time,
    unknown_forecast,
)
from loadbalancer.forecast.placement_change import PlacementChange
from loadbalancer.forecast.server_model import ServerModel, server_keys
from loadbalancer.forecast.shard_traffic import ShardTraffic
from loadbalancer.forecast.sliced_work import SlicedWork
from loadbalancer.forecast.typical_server import sampling_error

# Times after the change at which hit ratios are computed, in characteristic times of the caches.
TIME_STEPS = (0.0, 1 / 256, 1 / 64, 1 / 16, 1 / 6, 1 / 3, 2 / 3, 1.2, 2.5)
# Lower bound of the characteristic time by which TIME_STEPS are scaled.
MIN_TIME_SCALE_S = 1e-3
# Half the width of the interval, in standard deviations.
MARGIN_DEVIATIONS = 2.0
# Error caused by drift, as a fraction of the hits on keys whose popularity drifts while the caches fill.
DRIFT_ERROR = 0.25
# Assumed error of the hit ratio for the requests of silent nodes, and of nodes that receive other keys.
OTHER_NODES_ERROR = 0.2
# Reported hits scale a forecast by between 1 - MAX_CORRECTION and 1 + MAX_CORRECTION.
MAX_CORRECTION = 0.25
# Fraction of the requests that silent nodes may send; above it the forecast is unknown.
MAX_SILENT_FRACTION = 0.5


def forecast(change: PlacementChange, shard_count: int) -> SlicedWork[Forecast]:
    """Forecasts the fleet's hit ratio over the time after a change of placement.

    Args:
        change: The placement before and after the change, and what is known of servers, keys and nodes.
        shard_count: Number of shards that both placements use.

    Returns:
        The forecast; an unknown one, with its reason, if the data is not sufficient.
    """
    reason = _reason_for_unknown(change)
    if reason:
        return unknown_forecast(reason)
    per_shard = replace(change, popularity=change.popularity.per_shard(shard_count))
    servers = yield from _evaluate_before(per_shard, shard_count)
    time_scale_s = 0.0
    for server in servers:
        time_scale_s += server.time_scale_s()
    time_scale_s = max(time_scale_s, MIN_TIME_SCALE_S)
    times_s = tuple(step * time_scale_s for step in TIME_STEPS)
    for server in servers:
        yield from server.evaluate_after(times_s)
    yield
    error = yield from sampling_error(per_shard, shard_count)
    return _FleetSummary(per_shard, times_s, servers, error).forecast()


def _reason_for_unknown(change: PlacementChange) -> str:
    """Returns why no forecast is possible; empty if one is possible."""
    if change.silent_fraction > MAX_SILENT_FRACTION:
        return (
            f"{change.silent_fraction:.0%} of the requests are sent by nodes that"
            " have not reported"
        )
    if not change.popularity.is_known:
        return "too few requests with keys have been counted"
    if all(server.cache.objects <= 0 for server in change.servers):
        return (
            "the size of the servers' caches is not known, and no answer reports hits"
        )
    return ""


def _evaluate_before(
    change: PlacementChange, shard_count: int
) -> SlicedWork[list[ServerModel]]:
    """Returns the models of all servers, with their keys and their hit ratio before the change."""
    scale = change.rate / change.popularity.rate
    shard_rates = _ShardRates(change, shard_count)
    servers = []
    for index, state in enumerate(change.servers):
        keys = server_keys(change, index, scale)
        yield
        server = ServerModel(
            state,
            keys,
            fraction_before=shard_rates.fraction(change.before, index),
            fraction_after=shard_rates.fraction(change.after, index),
        )
        yield from server.evaluate_before()
        servers.append(server)
    return servers


class _ShardRates:
    """Request rates of the shards, in requests a second.

    Attributes:
        shard_count: Number of shards.
        top: Rate of the most requested keys, by shard.
        tail: Rate of all other keys of one shard, the same for every shard.
        mean: Mean rate of a shard.
    """

    def __init__(self, change: PlacementChange, shard_count: int) -> None:
        self.shard_count = shard_count
        self.top = [0.0] * shard_count
        for shard, rate in change.popularity.top:
            self.top[shard] += rate
        self.tail = sum(keys * rate for keys, rate in change.popularity.tail)
        self.mean = self.tail + sum(self.top) / shard_count

    def fraction(self, traffic: ShardTraffic, server: int) -> float:
        """Returns the fraction of all requests that a server receives.

        Args:
            traffic: The placement's traffic.
            server: Index of the server.
        """
        rate = sum(
            shard_fraction * (self.tail + self.top[shard])
            for shard, shard_fraction in traffic.fractions[server].items()
        )
        return rate / (self.mean * self.shard_count)


class _FleetSummary:
    """Combines the servers' hit ratios into a forecast for the fleet.

    Args:
        change: The change that is forecast.
        times_s: Times of the forecast, in seconds after the change.
        servers: The servers' models, evaluated before and after the change.
        sampling_error: Standard error of a hit ratio that the size of the key sample causes.

    Attributes:
        hit_ratio_now: The fleet's hit ratio before the change, corrected by the reported one.
        correction_error: Absolute difference between the computed and the reported hit ratio.
        margin: Half the width of the interval about each hit ratio.
    """

    def __init__(
        self,
        change: PlacementChange,
        times_s: tuple[float, ...],
        servers: Sequence[ServerModel],
        sampling_error: float,
    ) -> None:
        self.change = change
        self.times_s = times_s
        self.servers = servers
        self.sampling_error = sampling_error
        self.hit_ratio_now = self._fleet_hit_ratio_now()
        self.correction_error = self._correct_by_reported()
        self.margin = self._interval_margin()

    def forecast(self) -> Forecast:
        """Returns the forecast for the fleet and for each server."""
        servers = self.servers
        hit_ratios = tuple(
            sum(server.fraction_after * server.hit_ratios[index] for server in servers)
            for index in range(len(self.times_s))
        )
        steady = sum(
            server.fraction_after * server.steady_hit_ratio for server in servers
        )
        lowest = min((*hit_ratios, steady))
        rate = self.change.rate
        by_server = tuple(self._server_forecast(server) for server in servers)
        return Forecast(
            times_s=self.times_s,
            hit_ratios=hit_ratios,
            hit_ratio_now=self.hit_ratio_now,
            steady_hit_ratio=steady,
            margin=self.margin,
            recovery_s=recovery_time(self.times_s, hit_ratios, steady),
            peak_load=max((0.0, *(server.peak_load for server in by_server))),
            peak_load_high=max((0.0, *map(self._highest_load, servers))),
            misses_now=rate * (1 - self.hit_ratio_now),
            peak_misses=rate * (1 - lowest),
            load_now=max((0.0, *map(self._load_now, servers))),
            tolerance_known=all(
                server.state.tolerable_misses > 0
                for server in servers
                if server.fraction_after > 0
            ),
            servers=by_server,
        )

    def _fleet_hit_ratio_now(self) -> float:
        return sum(
            server.fraction_before * server.hit_ratio_now for server in self.servers
        )

    def _correct_by_reported(self) -> float:
        """Scales all hit ratios towards the reported one; returns the difference before the correction."""
        reported = self.change.reported_hit_ratio
        if reported is None or not self.hit_ratio_now > 0:
            return 0.0
        correction_error = abs(reported - self.hit_ratio_now)
        factor = min(
            1 + MAX_CORRECTION, max(1 - MAX_CORRECTION, reported / self.hit_ratio_now)
        )
        for server in self.servers:
            server.correct(factor)
        self.hit_ratio_now = self._fleet_hit_ratio_now()
        return correction_error

    def _interval_margin(self) -> float:
        """Returns half the width of the interval.

        Independent errors are added in quadrature; the difference to the reported hit ratio is added to them.
        """
        change = self.change
        drifted = min(1.0, change.drift_per_s * self.times_s[-1])
        return (
            MARGIN_DEVIATIONS
            * sqrt(
                self.sampling_error**2
                + MODEL_ERROR**2
                + change.past_error**2
                + (drifted * self.hit_ratio_now * DRIFT_ERROR) ** 2
                + (change.silent_fraction * OTHER_NODES_ERROR) ** 2
                + (change.divergent_fraction * OTHER_NODES_ERROR) ** 2
            )
            + self.correction_error
        )

    def _server_forecast(self, server: ServerModel) -> ServerForecast:
        misses = (
            self.change.rate * server.fraction_after * (1 - server.lowest_hit_ratio())
        )
        return ServerForecast(
            fraction_before=server.fraction_before,
            fraction_after=server.fraction_after,
            hit_ratios=tuple(server.hit_ratios),
            hit_ratio_now=server.hit_ratio_now,
            steady_hit_ratio=server.steady_hit_ratio,
            peak_misses=misses,
            peak_load=_load_ratio(misses, server),
        )

    def _load_now(self, server: ServerModel) -> float:
        misses = self.change.rate * server.fraction_before * (1 - server.hit_ratio_now)
        return _load_ratio(misses, server)

    def _highest_load(self, server: ServerModel) -> float:
        lowest = max(0.0, server.lowest_hit_ratio() - self.margin)
        return _load_ratio(
            self.change.rate * server.fraction_after * (1 - lowest), server
        )


def _load_ratio(misses: float, server: ServerModel) -> float:
    """Returns misses a second divided by those that the server tolerates; 0 if that limit is not known."""
    tolerable = server.state.tolerable_misses
    return misses / tolerable if tolerable > 0 else 0.0
