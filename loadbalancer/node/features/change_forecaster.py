"""Gathers the inputs of a forecast from this node and from the other nodes' reports, and computes it.

The computation is divided into slices. Each input is read only when the computation needs it, so that it is
as recent as possible.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from loadbalancer.config.operator_config import ForecastTable
from loadbalancer.forecast.accuracy import ForecastAccuracy
from loadbalancer.forecast.cache_model import ServerCache
from loadbalancer.forecast.fleet_keys import FleetKeys, RingPosition, merge_reports
from loadbalancer.forecast.forecast_result import Forecast, unknown_forecast
from loadbalancer.forecast.forecaster import forecast
from loadbalancer.forecast.key_digest import KeyDigest
from loadbalancer.forecast.key_records import NodeKeyReport
from loadbalancer.forecast.migration import ChangeKind
from loadbalancer.forecast.placement_change import PlacementChange, ServerState
from loadbalancer.forecast.popularity import (
    Popularity,
    estimate_popularity,
    popularity_drift,
)
from loadbalancer.forecast.rendezvous import DrawTable
from loadbalancer.forecast.shard_traffic import ShardTraffic, refine_shards
from loadbalancer.forecast.sliced_work import SlicedWork
from loadbalancer.forecast.subsets import (
    PlacementParameters,
    fleet_traffic,
)
from loadbalancer.forecast.typical_server import fitted_capacity
from loadbalancer.node.features.cache_observer import CacheObserver
from loadbalancer.node.features.host import NodeFeatureHost
from loadbalancer.node.features.key_reports import KeyReports
from loadbalancer.node.features.shards import ShardsFeature
from loadbalancer.policy.api import EndpointEntry

US_PER_S = 1e6


class ChangeForecaster:
    """Forecasts the effect of placement changes for one node.

    Attributes:
        config: The table `[forecast]` in force.
        accuracy: The accuracy of past forecasts.
        ring_positions: Ring positions by node name, as last stored: at the first report, and whenever this
            node has made a placement change.
        latest: The last forecast that was computed, including one withheld for low accuracy.
    """

    def __init__(
        self,
        host: NodeFeatureHost,
        observer: CacheObserver,
        reports: KeyReports,
        config: ForecastTable,
    ) -> None:
        self.host, self.node = host, host.node
        self.observer, self.reports, self.config = observer, reports, config
        self.accuracy = ForecastAccuracy()
        self.ring_positions: dict[str, RingPosition] = {}
        self.latest: Forecast | None = None
        # The last forecast's digest, for the drift, and when it was taken, in microseconds of `Node.now`.
        self._last_digest: KeyDigest | None = None
        self._last_digest_at = self.node.now()

    def note_ring_positions(self) -> None:
        """Stores the ring positions that the currently live nodes have."""
        live = sorted(self.host.live_members())
        self.ring_positions = {
            name: (index, len(live)) for index, name in enumerate(live)
        }

    def take_latest(self) -> Forecast | None:
        """Returns and clears the last forecast that was computed."""
        latest, self.latest = self.latest, None
        return latest

    def entries(self) -> list[EndpointEntry]:
        """Returns the servers that are listed as ready."""
        endpoint_list = self.node.balancer.subset.endpoint_list
        listed = [
            known
            for endpoint in list(endpoint_list.endpoints)
            if (known := endpoint_list.get(endpoint)) is not None
        ]
        return [
            EndpointEntry(
                endpoint.id,
                cell=endpoint.cell,
                zone=endpoint.zone,
                kind=endpoint.kind,
                started_at=endpoint.started_at,
            )
            for endpoint in listed
        ]

    def forecast(
        self, kind: ChangeKind, entries: Sequence[EndpointEntry], new: frozenset[int]
    ) -> SlicedWork[Forecast]:
        """Forecasts a change.

        Args:
            kind: The kind of change.
            entries: All servers after the change.
            new: Numbers of the servers that the change adds.

        Returns:
            The computation in slices; its result is the forecast, which is unknown if an input is missing.
        """
        reports: dict[str, NodeKeyReport] = {}
        for owner, report in self.reports.collect():
            reports[owner] = report
            yield
        live = sorted(self.host.live_members())
        fleet = yield from merge_reports(reports)
        traffic = yield from self._traffic(kind, entries, new, (live, fleet))
        if traffic is None:
            return unknown_forecast(
                "the new number of shards is not a multiple of the old one"
            )
        before, after, shard_count = traffic
        popularity = yield from estimate_popularity(fleet.digest, shard_count)
        capacity = self._cache_objects(fleet, popularity, before, shard_count)
        yield
        now = self.node.now()
        servers = self._servers(entries, new, fleet, capacity, now)
        change = PlacementChange(
            servers,
            before,
            after,
            popularity,
            drift_per_s=self._drift(fleet.digest, now),
            silent_fraction=self._silent_fraction(reports),
            divergent_fraction=fleet.divergent_fraction,
            reported_hit_ratio=fleet.digest.hit_ratio,
            past_error=self.accuracy.past_error(kind),
            total_rate=fleet.total_rate(len(live)),
        )
        self.latest = yield from forecast(change, shard_count)
        return self.accuracy.published(kind, self.latest)

    def _traffic(
        self,
        kind: ChangeKind,
        entries: Sequence[EndpointEntry],
        new: frozenset[int],
        nodes: tuple[list[str], FleetKeys],
    ) -> SlicedWork[tuple[ShardTraffic, ShardTraffic, int] | None]:
        """Computes each shard's traffic before and after the change.

        Args:
            kind: The kind of change.
            entries: All servers after the change.
            new: Numbers of the servers that the change adds.
            nodes: The names of the live nodes, sorted, and their merged key reports.

        Returns:
            The traffic before and after, and the number of shards after the change, by which both are
            divided; None if this number is not a multiple of the number before.
        """
        live, fleet = nodes
        own_size = self.node.balancer.subset.size
        nodes_after = fleet.nodes(live, {}, own_size)
        nodes_before = fleet.nodes(live, self.ring_positions, own_size)
        placement_before, placement_after = self._placements(kind)
        kept = [entry for entry in entries if entry.endpoint not in new]
        before = yield from fleet_traffic(
            entries, kept, nodes_before, placement_before, self._by_zone()
        )
        after = yield from fleet_traffic(
            entries, entries, nodes_after, placement_after, self._by_zone()
        )
        coarse, fine = (
            placement_before.table.shard_count,
            placement_after.table.shard_count,
        )
        if fine % coarse:
            return None
        if fine != coarse:
            before = refine_shards(before, coarse, fine)
        return before, after, fine

    def _by_zone(self) -> bool:
        """Returns whether requests are kept within their zone."""
        return self.node.balancer.spill.enabled

    def _placements(
        self, kind: ChangeKind
    ) -> tuple[PlacementParameters, PlacementParameters]:
        """Returns how shards are placed before and after the change."""
        shards = self.host.features.get("shards")
        assert isinstance(shards, ShardsFeature)
        target = shards.router.target
        placement_before = PlacementParameters(target.table, target.replica_count)
        if kind != ChangeKind.SHARDS:
            return placement_before, placement_before
        table = DrawTable(shards.config.count)
        return placement_before, PlacementParameters(table, shards.config.homes)

    def _cache_objects(
        self,
        fleet: FleetKeys,
        popularity: Popularity,
        before: ShardTraffic,
        shard_count: int,
    ) -> float:
        """Returns the number of objects that a server's cache holds.

        It is taken from the configuration, or else estimated from the reported hit ratio.
        """
        hit_ratio = fleet.digest.hit_ratio
        if self.config.entries > 0 or hit_ratio is None:
            return self.config.entries
        return fitted_capacity(popularity, before, hit_ratio, shard_count)

    def _servers(
        self,
        entries: Sequence[EndpointEntry],
        new: frozenset[int],
        fleet: FleetKeys,
        capacity: float,
        now: int,
    ) -> list[ServerState]:
        """Returns the state of all servers; the caches of new servers are empty."""
        cache = ServerCache(
            capacity, self.config.ttl_s, self.config.cacheable_percent / 100
        )
        kept = sum(entry.endpoint not in new for entry in entries)
        tolerable = self.config.server_misses_per_s or self.tolerable_misses(
            fleet.rate, kept, fleet.digest.hit_ratio
        )
        return [
            ServerState(
                cache,
                0.0 if entry.endpoint in new else _age_s(entry, now),
                tolerable,
            )
            for entry in entries
        ]

    def tolerable_misses(
        self, rate: float, servers: int, hit_ratio: float | None
    ) -> float:
        """Estimates the misses per second that a server tolerates, from the concurrency limit.

        Args:
            rate: Requests per second of all nodes.
            servers: Number of servers that share these requests.
            hit_ratio: The fleet's hit ratio; None if no response reported hits or misses.

        Returns:
            Misses per second and server; 0 if unknown.
        """
        own_rate = self.observer.rate(self.node.now())
        if own_rate <= 0:
            return 0.0
        fleet_limit = self.node.balancer.limit.allowed() * rate / own_rate
        return self.observer.tolerable_misses(fleet_limit, rate, servers, hit_ratio)

    def _silent_fraction(self, reports: dict[str, NodeKeyReport]) -> float:
        """Returns the fraction of nodes without a report, as an estimate of their fraction of the requests.

        All cells are assumed to be like this one.
        """
        cell_size = len(self.host.cell_members())
        return max(0.0, 1 - len(reports) / cell_size)

    def _drift(self, digest: KeyDigest, now: int) -> float:
        """Returns the fraction of popularity that shifts per second, measured since the last forecast."""
        last, last_at = self._last_digest, self._last_digest_at
        self._last_digest, self._last_digest_at = digest, now
        if last is None:
            return 0.0
        elapsed_s = max(1.0, (now - last_at) / US_PER_S)
        return popularity_drift(last, digest) / elapsed_s


def _age_s(entry: EndpointEntry, now: int) -> float:
    """Returns the seconds since a server started with an empty cache; infinity if unknown."""
    if 0 < entry.started_at <= now:
        return (now - entry.started_at) / US_PER_S
    return inf
