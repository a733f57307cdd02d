"""Requests for keys in the emulator: which are asked for, what servers keep, and how placements change.

Servers keep answers in a real LRU each (cachetools); a hit takes a part of the work. Where the operators'
file has `[shards]`, nodes send a key to its homes. How a change of placement is made, at once, in fixed steps
or as the forecast says, is decided once for all nodes: in a fleet they go by the same records, and so agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
from cachetools import LRUCache

from loadbalancer.forecast.cache_model import ServerCache
from loadbalancer.forecast.forecast_result import Forecast
from loadbalancer.forecast.forecaster import forecast
from loadbalancer.forecast.key_sample import KeySample
from loadbalancer.forecast.migration import (
    MigrationPlan,
    MigrationSchedule,
    plan_migration,
)
from loadbalancer.forecast.migration_rules import MigrationRules
from loadbalancer.forecast.placement_change import PlacementChange, ServerState
from loadbalancer.forecast.popularity import estimate_popularity
from loadbalancer.forecast.rendezvous import POSITION_COUNT, DrawTable
from loadbalancer.forecast.shard_router import ShardRouter
from loadbalancer.forecast.shard_traffic import (
    ShardTraffic,
    refine_shards,
    shard_traffic,
)
from loadbalancer.forecast.sliced_work import run_to_end
from loadbalancer.forecast.subsets import NodeInfo, node_subsets
from loadbalancer.lab.streams import generator
from loadbalancer.lab.world import SECOND
from loadbalancer.policy.api import EndpointEntry, EndpointState

if TYPE_CHECKING:
    from loadbalancer.lab.emulator import Emulator
    from loadbalancer.lab.fleet import Server
    from loadbalancer.lab.nodes import Call, Node
    from loadbalancer.lab.world import World

NO_KEY = -1
SAMPLED = 8_192  # keys of the sample: of all nodes together here
WINDOW = 10 * SECOND


class Keys:
    """Draws the keys of each second's arrivals, from streams of their own."""

    def __init__(self, world: World) -> None:
        wish = world.scenario.keys
        assert wish is not None
        self.wish, self.world = wish, world
        source = generator(world.seed, "keys")
        self.positions = source.choice(
            POSITION_COUNT, wish.count, replace=False
        ).astype(np.int64)
        weights = 1 / np.arange(1, wish.count + 1) ** wish.alpha
        self.weights = np.cumsum(weights / weights.sum())
        self.rank = source.permutation(wish.count)
        named = [
            c.name in wish.classes if wish.classes else c.settings.idempotency == 0
            for c in world.classes
        ]
        self.keyed = np.array(named)

    def second(self, second: int, classes: np.ndarray) -> list[int]:
        """The keys of a second's arrivals, by their classes; NO_KEY for those without."""
        wish, count = self.wish, len(classes)
        source = generator(self.world.seed, "keys", second)
        if wish.drift:
            one, other = source.integers(
                0, wish.count, (2, int(wish.drift * wish.count))
            )
            self.rank[one], self.rank[other] = self.rank[other], self.rank[one]
        if wish.shift_at and second == int(wish.shift_at):
            self.rank = source.permutation(wish.count)
        ranks = np.minimum(
            np.searchsorted(self.weights, source.random(count)), wish.count - 1
        )
        out = self.positions[self.rank[ranks]]
        for first, until, part in wish.scans:
            rows = source.random(count) < part
            if first <= second < until:
                out = np.where(rows, source.integers(0, POSITION_COUNT, count), out)
        for first, until, part in wish.flashes:
            rows = source.random(count) < part
            if first <= second < until:
                out = np.where(rows, self.positions[0], out)
        return np.where(self.keyed[classes], out, NO_KEY).tolist()  # type: ignore[no-any-return]


class Sharding:
    """All nodes' placement and all servers' caches of the first tier."""

    def __init__(self, emu: Emulator) -> None:
        wish = emu.world.scenario.keys
        assert wish is not None
        self.emu, self.wish = emu, wish
        self.shards = emu.world.scenario.operator.shards
        ruled = emu.world.scenario.operator.forecast
        self.rules = ruled.rules() if ruled is not None else MigrationRules()
        self.table = DrawTable(self.shards.count if self.shards else 1, 20_000)
        self.homes = self.shards.homes if self.shards else 1
        self.placers: dict[Node, ShardRouter] = {}
        self.seen: dict[Node, object] = {}  # the members as the placer knows them
        self.caches: dict[Server, LRUCache[int, float]] = {}
        self.since: dict[Server, int] = {}  # since when a cache is filled
        self.sample = KeySample(WINDOW, emu.epoch, SAMPLED)
        self.hits: dict[int, list[int]] = {}  # by second: asked for with a key, found
        self.made: list[tuple[float, str, MigrationPlan, Forecast | None]] = []
        self.steps: MigrationSchedule | None = None
        self.began = 0  # when a change was first to be made that still waits
        self.names: frozenset[int] = frozenset()  # servers that the placement goes by
        self.rate = 0.0

    # ---- servers -------------------------------------------------------------------------------------

    def found(self, server: Server, key: int) -> bool:
        """Whether a server has a key; one that it has not it will have once the answer is made."""
        now = self.emu.kernel.now
        cache = self.caches.get(server)
        if cache is None:
            cache = self.caches[server] = LRUCache(self.wish.entries)
            self.since[server] = now
        hit = cache.get(key, 0.0) > now
        line = self.hits.setdefault((now - self.emu.epoch) // SECOND, [0, 0])
        line[0] += 1
        line[1] += hit
        self.sample.add_cache_result(hit)
        return hit

    def keep(self, server: Server, key: int) -> None:
        """An answer has been made."""
        cache = self.caches.get(server)
        if cache is not None and key not in cache:
            ttl = self.wish.ttl_s
            cache[key] = self.emu.kernel.now + ttl * SECOND if ttl else float("inf")

    def ended(self, server: Server) -> None:
        """A process has ended: its cache is gone."""
        self.caches.pop(server, None)

    # ---- nodes ---------------------------------------------------------------------------------------

    def homes_of(self, node: Node, call: Call) -> tuple[int, ...]:
        """The servers that a request goes to first."""
        self.sample.add(call.key)
        if self.shards is None:
            return ()
        balancer = node.balancer
        drawn = balancer.subset.listed_members
        placer = self.placers.get(node)
        if placer is None:
            placer = self.placers[node] = ShardRouter(self.table, self.homes)
        if self.seen.get(node) is not drawn or placer.target.table is not self.table:
            self.seen[node] = drawn
            fresh = frozenset(listed.id for listed in drawn) - self.names
            if fresh and self.names:
                self.change("join", self.names | fresh)
            placer.update(
                [(str(listed.id), 1.0) for listed in drawn],
                self.steps if placer.members else None,
                self.table,
                self.homes,
            )
        return tuple(
            balancer.subset.listed_members[i].id for i in placer.replicas_of(call.key)
        )

    def each_second(self) -> None:
        """Rolls the sample; from the first second on the servers in use are known."""
        now = self.emu.kernel.now
        self.sample.roll(now)
        if (
            not self.names
            or now - self.emu.epoch <= self.emu.world.scenario.warm_s * SECOND
        ):
            self.names = frozenset(e.endpoint for e in self.listed())
        if self.steps is not None:
            if self.steps.steps_done == 0:
                self.again()
            elif not self.steps.advance(now) and self.steps.next_step_at() is None:
                self.steps = None

    def listed(self) -> list[EndpointEntry]:
        """The servers that are ready, by the list."""
        directory = self.emu.tiers[0].directory
        return [
            e
            for e in directory.as_of(len(directory.rounds))
            if e.state == EndpointState.READY
        ]

    # ---- changes -------------------------------------------------------------------------------------

    def replace(self, factor: float) -> None:
        """Operators change the number of shards: `factor` times as many."""
        before = self.side(self.listed())
        table = DrawTable(round(self.table.shard_count * factor), 20_000)
        self.table, old = table, self.table
        after = self.side(self.listed())
        finer = refine_shards(before, old.shard_count, table.shard_count)
        self.decide("shards", finer, after, self.listed())

    def change(self, kind: str, names: frozenset[int]) -> None:
        """Servers have come that no placement goes by yet."""
        entries = self.listed()
        old, self.names = self.names, names | frozenset(e.endpoint for e in entries)
        after = self.side(entries)
        kept = [e for e in entries if e.endpoint in old]
        partly = self.side(kept)
        places = {e.endpoint: i for i, e in enumerate(kept)}
        parts = [
            partly.fractions[places[e.endpoint]] if e.endpoint in places else {}
            for e in entries
        ]
        self.decide(kind, ShardTraffic(parts, partly.mean_replicas), after, entries)

    def side(self, entries: list[EndpointEntry]) -> ShardTraffic:
        tier = self.emu.tiers[0]
        alive = [n for n in tier.nodes if n.alive and n.balancer is not None]
        rate = 1.0 / max(1, len(alive))
        nodes = [
            NodeInfo(n.index, len(tier.nodes), n.balancer.subset.size, rate)
            for n in alive
        ]
        return run_to_end(
            shard_traffic(
                self.table,
                [(str(e.endpoint), 1.0) for e in entries],
                run_to_end(node_subsets(entries, nodes)),
                self.homes,
            )
        )

    def decide(
        self,
        kind: str,
        before: ShardTraffic,
        after: ShardTraffic,
        entries: list[EndpointEntry],
    ) -> None:
        """How the change is to be made, by the scenario's way."""
        self.pending = (kind, before, after, entries)
        self.began = self.emu.kernel.now
        self.again()

    def again(self) -> None:
        """Decides on the change that is to be made, or looks again at one that waits."""
        kind, before, after, entries = self.pending
        now = self.emu.kernel.now
        way, found = self.wish.moves, None
        if way == "at_once":
            chosen = MigrationPlan(1)
        elif way == "steps":
            chosen = MigrationPlan(self.wish.fixed_steps, self.wish.fixed_pause_s)
        else:
            found = self.foresee(before, after, entries)
            chosen = plan_migration(
                self.rules, kind, found, (now - self.began) / SECOND
            )
        self.made.append(((now - self.emu.epoch) / SECOND, kind, chosen, found))
        if chosen.steps == 1:
            self.steps = None
        elif chosen.steps:
            self.steps = self.shared(
                MigrationSchedule(chosen.steps, chosen.pause_s, now)
            )
        elif self.steps is None or self.steps.steps_done:
            self.steps = MigrationSchedule(
                self.rules.max_steps, chosen.pause_s, now, steps_done=0
            )

    def shared(self, steps: MigrationSchedule) -> MigrationSchedule:
        """The same steps for all nodes, also for those that wait by the ones before."""
        for placer in self.placers.values():
            if placer.schedule is not None and placer.schedule is self.steps:
                placer.schedule = steps
        return steps

    def foresee(
        self, before: ShardTraffic, after: ShardTraffic, entries: list[EndpointEntry]
    ) -> Forecast:
        now = self.emu.kernel.now
        digest = self.sample.digest(now, SAMPLED)
        by_id = self.emu.tiers[0].by_id
        wish = self.wish
        servers = []
        for e in entries:
            since = self.since.get(by_id[e.endpoint])
            age = (now - since) / SECOND if since is not None else 0.0
            servers.append(
                ServerState(
                    ServerCache(float(wish.entries), wish.ttl_s), age, wish.bears
                )
            )
        shard_count = self.table.shard_count
        found = run_to_end(estimate_popularity(digest, shard_count))
        change = PlacementChange(
            servers,
            before,
            after,
            found,
            reported_hit_ratio=digest.hit_ratio,
            past_error=0.01,
        )
        return run_to_end(forecast(change, shard_count))
