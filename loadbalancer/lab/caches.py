"""Caches alone: keys, nodes that place them, servers with a real LRU each; no queues, no time-outs.

What the forecast says of hits is set against what really happens, at a hundredth of the emulator's cost. Each
node samples what it sends and tells it in records as large as the real ones; the forecast knows nothing else.
All that is drawn follows from the run's seed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Literal

import numpy as np
from cachetools import LRUCache

from loadbalancer.forecast.cache_model import ServerCache
from loadbalancer.forecast.forecast_result import Forecast
from loadbalancer.forecast.forecaster import forecast
from loadbalancer.forecast.key_digest import KeyDigest, merge
from loadbalancer.forecast.key_records import decode_report, encode_report
from loadbalancer.forecast.key_sample import KeySample
from loadbalancer.forecast.placement_change import PlacementChange, ServerState
from loadbalancer.forecast.popularity import estimate_popularity, popularity_drift
from loadbalancer.forecast.rendezvous import DrawTable, ShardPlacement
from loadbalancer.forecast.shard_traffic import NodeSubset, ShardTraffic, shard_traffic
from loadbalancer.forecast.sliced_work import run_to_end
from loadbalancer.forecast.subsets import NodeInfo, node_subsets
from loadbalancer.lab.streams import generator
from loadbalancer.policy.api import EndpointEntry
from loadbalancer.records.interface import MAX_BODY_BYTES

Kind = Literal[
    "join", "leave", "size", "nodes", "zone_lost", "zone_back", "homes", "weights"
]
KINDS: tuple[Kind, ...] = (
    "join",
    "leave",
    "size",
    "nodes",
    "zone_lost",
    "zone_back",
    "homes",
    "weights",
)
TAILS = 2  # records of the sample that a node tells
SECOND = 1_000_000


@dataclass(frozen=True)
class Site:
    """What is played. Times in seconds."""

    seed: int
    servers: int = 100
    nodes: int = 200
    zones: int = 3
    busy: float = 0.1  # such a part of the nodes gets...
    busy_times: float = 5.0  # ...so many times as many requests as the others
    size: int = 24  # of a subset
    homes: int = 2
    shards: int = 1024
    keys: int = 200_000
    alpha: float = 0.9  # of the Zipf distribution
    rate: float = 20_000.0
    entries: int = 1_500  # of a cache
    ttl: float = 0.0
    drift: float = 0.0  # part of the keys that change places with others each second
    # from, until, part of the requests: for keys that nobody asks for again
    scan: tuple[float, float, float] = (0.0, 0.0, 0.0)
    flash: tuple[float, float, float] = (
        0.0,
        0.0,
        0.0,
    )  # from, until, part of the requests: one key
    shift: float = 0.0  # at this second all keys' popularity is dealt out anew
    unlike: float = 0.0  # part of each node's requests that is for keys of its own
    silent: float = 0.0  # part of the nodes that tell nothing
    told: bool = True  # answers tell whether they were hits
    window: float = 20.0  # of the sample
    warm: float = 45.0  # until the first change
    apart: float = 45.0  # between the changes, and after the last
    changes: tuple[Kind, ...] = ("leave", "join")


@dataclass
class Placed:
    """The fleet at a time."""

    entries: list[EndpointEntry]
    nodes: list[NodeInfo]
    homes: int
    subsets: list[NodeSubset] = field(default_factory=list)
    table: np.ndarray = field(
        default_factory=lambda: np.zeros(0)
    )  # [node, shard, home]: server


@dataclass
class Told:
    """One change: what was forecast, and what came of it."""

    kind: Kind
    at: float
    forecast: Forecast
    moved: float  # part of the requests that go to servers that did not get them before
    before: ShardTraffic = field(repr=False)
    after: ShardTraffic = field(repr=False)


class Caches:
    """One run."""

    def __init__(self, site: Site) -> None:
        self.site = s = site
        self.source = generator(s.seed, "caches")
        self.scores = DrawTable(s.shards, 10_000)
        self.positions = self.source.choice(1 << 32, s.keys, replace=False).astype(
            np.int64
        )
        weights = 1 / np.arange(1, s.keys + 1) ** s.alpha
        self.weights = np.cumsum(weights / weights.sum())
        self.rank = self.source.permutation(s.keys)  # which key stands at which rank
        rates = np.where(
            np.arange(s.nodes) % max(1, round(1 / s.busy)) == 0, s.busy_times, 1.0
        )
        self.rates = rates / rates.sum() * s.rate
        ids = [int(i) for i in self.source.choice(1 << 31, s.servers, replace=False)]
        self.all = [EndpointEntry(i, zone=n % s.zones) for n, i in enumerate(ids)]
        self.place = {e.endpoint: n for n, e in enumerate(self.all)}
        self.caches: list[LRUCache[int, float]] = [
            LRUCache(s.entries) for _ in self.all
        ]
        self.began = [0.0] * s.servers  # when each cache was empty last
        self.now = self.placed(
            Placed(list(self.all), self.nodes_of(range(s.nodes), s.size), s.homes)
        )
        first = s.changes[0]
        if first in ("join", "zone_back"):  # what joins later is not there yet
            self.now = self.placed(
                replace(self.now, entries=self.without(first, self.all))
            )
        self.earlier: tuple[ShardTraffic, float] | None = None
        self.samples = [KeySample(int(s.window * SECOND), 0) for _ in range(s.nodes)]
        length = int(s.warm + s.apart * len(s.changes))
        self.hits = np.zeros((length, s.servers))
        self.asked = np.zeros((length, s.servers))
        self.told: list[Told] = []
        self.digests: list[KeyDigest] = []
        self.fresh = s.keys  # the next key of a scan

    # ---- the fleet -----------------------------------------------------------------------------------

    def nodes_of(self, alive: Sequence[int], size: int) -> list[NodeInfo]:
        """The nodes that live; requests of the dead go to all others alike."""
        rest = self.site.rate - self.rates[list(alive)].sum()
        count = len(alive)
        return [
            NodeInfo(i, count, size, float(self.rates[n] + rest / count))
            for i, n in enumerate(alive)
        ]

    def without(self, kind: Kind, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        if kind == "zone_back" or kind == "zone_lost":
            return [e for e in entries if e.zone != 0]
        return entries[: -max(1, len(entries) // 8)]

    def placed(self, p: Placed) -> Placed:
        """Works out who sends what where."""
        p.subsets = run_to_end(node_subsets(p.entries, p.nodes))
        index = [self.place[e.endpoint] for e in p.entries]
        p.table = np.zeros((len(p.nodes), self.site.shards, p.homes), dtype=np.int32)
        known: dict[tuple[int, ...], np.ndarray] = {}
        for n, subset in enumerate(p.subsets):
            members = tuple(sorted(subset.members))
            if members not in known:
                homes = ShardPlacement(self.scores, p.homes)
                homes.update(
                    (str(p.entries[m].endpoint), p.entries[m].weight) for m in members
                )
                known[members] = np.array(
                    [
                        [index[members[i]] for i in homes.replicas_of(s)]
                        for s in range(self.site.shards)
                    ]
                )
            p.table[n] = known[members]
        return p

    def shares(self, p: Placed) -> ShardTraffic:
        """The same as the forecast sees it, with all servers that there ever are in their places."""
        index = [self.place[e.endpoint] for e in p.entries]
        found = run_to_end(
            shard_traffic(
                self.scores,
                [(str(e.endpoint), e.weight) for e in p.entries],
                p.subsets,
                p.homes,
            )
        )
        parts: list[dict[int, float]] = [{} for _ in self.all]
        for place, part in zip(index, found.fractions, strict=True):
            parts[place] = part
        return ShardTraffic(parts, found.mean_replicas)

    def changed(self, kind: Kind) -> Placed:
        """The fleet after a change."""
        now, s = self.now, self.site
        if kind in ("join", "zone_back"):
            return self.placed(replace(now, entries=list(self.all)))
        if kind in ("leave", "zone_lost"):
            return self.placed(replace(now, entries=self.without(kind, now.entries)))
        if kind == "size":
            nodes = [replace(n, subset_size=2 * s.size) for n in now.nodes]
            return self.placed(replace(now, nodes=nodes))
        if kind == "nodes":
            alive = [n for n in range(s.nodes) if n % 9 != 4]
            return self.placed(replace(now, nodes=self.nodes_of(alive, s.size)))
        if kind == "homes":
            return self.placed(replace(now, homes=now.homes + 1))
        heavier = [
            replace(e, weight=2.0) if n % 5 == 0 else e
            for n, e in enumerate(now.entries)
        ]
        return self.placed(replace(now, entries=heavier))

    # ---- the forecast --------------------------------------------------------------------------------

    def digest(self, at: float) -> tuple[KeyDigest, float, float]:
        """What the nodes' records say together, the part of the requests that nobody tells of, and the part
        by which nodes' keys differ.
        """
        s = self.site
        found, silent = [], 0.0
        for n in range(len(self.now.nodes)):
            if (n * 7919) % s.nodes < s.silent * s.nodes:
                silent += self.now.nodes[n].rate / s.rate
                continue
            own = self.samples[n].digest(int(at * SECOND))
            found.append(
                decode_report(encode_report(own, s.size, TAILS, MAX_BODY_BYTES)).digest
            )
        together = merge(found)
        unlike = sum(
            popularity_drift(together, one) * one.requests for one in found
        ) / max(1, together.requests)
        return together, silent, unlike

    def foresee(self, kind: Kind, at: float, after: Placed) -> Told:
        """Forecasts a change from what the records say alone."""
        s = self.site
        digest, silent, unlike = self.digest(at)
        before_shares, after_shares = self.shares(self.now), self.shares(after)
        joining = {e.endpoint for e in after.entries} - {
            e.endpoint for e in self.now.entries
        }
        servers = [
            ServerState(
                ServerCache(float(s.entries), s.ttl),
                0.0 if e.endpoint in joining else at - self.began[n],
            )
            for n, e in enumerate(self.all)
        ]
        change = PlacementChange(
            servers,
            before_shares,
            after_shares,
            run_to_end(estimate_popularity(digest, s.shards)),
            earlier=self.earlier[0] if self.earlier else None,
            earlier_age_s=at - self.earlier[1] if self.earlier else np.inf,
            drift_per_s=popularity_drift(self.digests[-1], digest) / s.window
            if self.digests
            else 0.0,
            silent_fraction=silent,
            divergent_fraction=unlike,
            reported_hit_ratio=digest.hit_ratio,
            total_rate=s.rate,
        )
        gone = sum(
            max(0.0, part - before.get(shard, 0.0))
            for before, one in zip(
                before_shares.fractions, after_shares.fractions, strict=True
            )
            for shard, part in one.items()
        )
        return Told(
            kind,
            at,
            run_to_end(forecast(change, s.shards)),
            gone / s.shards,
            before_shares,
            after_shares,
        )

    def change(self, kind: Kind, at: float) -> None:
        after = self.changed(kind)
        told = self.foresee(kind, at, after)
        self.told.append(told)
        before = {e.endpoint for e in self.now.entries}
        for e in after.entries:
            if e.endpoint not in before:
                n = self.place[e.endpoint]
                self.caches[n].clear()
                self.began[n] = at
        self.earlier = told.before, at
        self.now = after

    # ---- the run -------------------------------------------------------------------------------------

    def keys(self, second: int, count: int) -> np.ndarray:
        """The positions of the keys asked for in a second."""
        s = self.site
        if s.drift:
            swapped = self.source.integers(0, s.keys, (2, int(s.drift * s.keys)))
            self.rank[swapped[0]], self.rank[swapped[1]] = (
                self.rank[swapped[1]],
                self.rank[swapped[0]],
            )
        if s.shift and second == int(s.shift):
            self.rank = self.source.permutation(s.keys)
        ranks = np.minimum(
            np.searchsorted(self.weights, self.source.random(count)), s.keys - 1
        )
        out = self.positions[self.rank[ranks]]
        for (start, end, part), scan in ((s.scan, True), (s.flash, False)):
            if start <= second < end:
                rows = self.source.random(count) < part
                if scan:
                    out[rows] = self.source.integers(0, 1 << 32, int(rows.sum()))
                else:
                    out[rows] = self.positions[0]
        return out

    def play(self) -> None:
        """Plays all seconds, with the changes at their times."""
        s = self.site
        for second in range(len(self.hits)):
            since = second - s.warm
            if since >= 0 and since % s.apart == 0:
                self.change(s.changes[int(since // s.apart)], float(second))
            self.second(second)
            if since % s.apart == s.apart - int(s.window):
                self.digests = [
                    self.digest(float(second + 1))[0]
                ]  # what the drift is seen against

    def second(self, second: int) -> None:
        s, p = self.site, self.now
        count = int(self.source.poisson(s.rate))
        keys = self.keys(second, count)
        rates = np.cumsum([n.rate for n in p.nodes])
        nodes = np.minimum(
            np.searchsorted(rates, self.source.random(count) * rates[-1]),
            len(p.nodes) - 1,
        )
        if s.unlike:
            own = self.source.random(count) < s.unlike
            keys = np.where(own, (keys + nodes * 0x9E3779B1) % (1 << 32), keys)
        pick = self.source.integers(0, p.homes, count)
        servers = p.table[nodes, keys % s.shards, pick]
        hit = np.zeros(count, dtype=bool)
        caches, samples, ttl = self.caches, self.samples, s.ttl
        end = s.ttl and second + s.ttl
        for i, (key, server, node) in enumerate(
            zip(keys.tolist(), servers.tolist(), nodes.tolist(), strict=True)
        ):
            cache = caches[server]
            samples[node].add(key)
            if key in cache and (not ttl or cache[key] > second):
                cache[key]  # moves it to the front
                hit[i] = True
            else:
                cache[key] = end
            if s.told:
                samples[node].add_cache_result(bool(hit[i]))
        for sample in samples:
            sample.roll((second + 1) * SECOND)
        self.asked[second] = np.bincount(servers, minlength=len(self.all))
        self.hits[second] = np.bincount(servers[hit], minlength=len(self.all))

    # ---- what came of it -----------------------------------------------------------------------------

    def actual(self, first: float, until: float) -> float:
        """The fleet's hit rate over some seconds."""
        rows = slice(int(first), int(until))
        return float(self.hits[rows].sum() / self.asked[rows].sum())

    def recovered(self, at: float) -> float:
        """Seconds after a change until a fifth of the largest gap to the end is left, over three seconds."""
        s = self.site
        rows = slice(int(at), int(at + s.apart))
        rates = self.hits[rows].sum(axis=1) / self.asked[rows].sum(axis=1)
        gaps = rates[-15:].mean() - rates
        left = 0.2 * gaps.max()
        for i in range(len(gaps) - 3):
            if gaps[i : i + 3].mean() <= left:
                return float(i) + (0.5 if i else 0.0)
        return float(len(gaps))
