"""From the settled swarm to the last figure: load, faults, calls, agreement, figures."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from time import monotonic, time
from typing import Any

from loadbalancer.lab.scale.interface import NodeCost
from loadbalancer.lab.swarm import cold
from loadbalancer.lab.swarm.fault_injection import FaultInjector, Targets
from loadbalancer.lab.swarm.fleet import (
    AGREEMENT_CHECK_INTERVAL_S,
    Progress,
    SwarmFleet,
)
from loadbalancer.lab.swarm.helper_processes import read_answer
from loadbalancer.lab.swarm.ledger_check import LedgerCheck
from loadbalancer.lab.swarm.node_costs import Span, Usage, cost_figures, real_cost
from loadbalancer.lab.swarm.nodes import NodeProcess
from loadbalancer.lab.swarm.operator_calls import Operators
from loadbalancer.lab.swarm.run_figures import forecast_figures
from loadbalancer.lab.swarm.sampling import Sampler, cpu_seconds, fetch_page
from loadbalancer.lab.swarm.script import Swarm

LEDGER_WAIT_S = 1.5  # after the load until all attempts have ended and are written
PROGRESS_INTERVAL_S = 0.5
HELPER_TIMEOUT_S = 30.0  # for what a helper process counted
UNEVEN_NODE = 10  # one node in so many may get more than the others


class Watch:
    """The watched part of one run.

    Args:
        swarm: The script.
        fleet: Its processes, settled.
        faults: The run's log, to which faults are added.
        progress: Is told what is going on.

    Attributes:
        zero: When the watch began, monotonic seconds.
        looks: What each server had done, look by look.
        costs: What a real and a hollow node have used.
        void: Why the run says nothing of nodes; empty if it does.
    """

    def __init__(
        self,
        swarm: Swarm,
        fleet: SwarmFleet,
        faults: list[dict[str, Any]],
        progress: Progress,
    ) -> None:
        self.swarm = swarm
        self.fleet = fleet
        self.faults = faults
        self.progress = progress
        self.tasks: set[asyncio.Task[Any]] = set()
        self.looks: list[dict[str, Any]] = []
        self.costs: list[NodeCost] = []
        self.void = ""
        self.zero = 0.0

    async def run(self) -> dict[str, Any]:
        """From the settled world to the last figure."""
        await asyncio.sleep(self.swarm.world.rest_s)
        before = await self.usage()
        await self.begin_watch()
        load = await self.start_load()
        sampler = Sampler(
            self.fleet.servers, self.fleet.servers_lock, self.fleet.processes, self.zero
        )
        self.looks = sampler.looks
        await sampler.look_at_servers()
        self.spawn(sampler.run())
        injector = await self.inject_faults(sampler)
        await sampler.look_at_servers()
        watched_s = monotonic() - self.zero
        span = Span(before, await self.usage(), watched_s)
        hollow_figures = await self.hollow_costs(span)
        agreed_s = await self.agreement_s(injector.last_fault_at)
        figures: dict[str, Any] = (
            self.fleet.observer.figures(monotonic()) | hollow_figures
        )
        figures |= self.usage_figures(span, sampler, agreed_s)
        missed: dict[str, Any] = {}
        if load is not None:
            missed = await self.add_load_figures(load, figures)
        self.add_hollow_figures(figures)
        await self.add_feature_figures(figures, watched_s)
        if load is not None:
            await self.add_arrival_figures(figures, missed, watched_s)
        return figures

    async def usage(self) -> Usage:
        """What the real nodes have used until now."""
        names = self.fleet.alive_nodes()
        pages = await asyncio.gather(*(fetch_page(self.fleet.nodes[n]) for n in names))
        stats = {
            n: page for n, page in zip(names, pages, strict=True) if page is not None
        }
        return Usage(stats, cpu_seconds(self.fleet.processes().values()))

    async def begin_watch(self) -> None:
        """Starts the clock by which faults and datagram rules count."""
        self.fleet.observer.zero = self.zero = monotonic()
        assert self.fleet.network.stdin is not None
        self.fleet.network.stdin.write(b"begin\n")
        if self.fleet.hollows is not None:
            await self.fleet.hollows.begin(self.zero)
        self.spawn(self.follow_network())

    async def follow_network(self) -> None:
        """Logs the beginning and end of each datagram rule."""
        assert self.fleet.network.stdout is not None
        async for line in self.fleet.network.stdout:
            self.faults.append(json.loads(line))

    async def start_load(self) -> asyncio.subprocess.Process | None:
        """Clients before all nodes; None if the script has no load."""
        load = self.swarm.load
        if load is None:
            return None
        nodes = [
            (*node.clients, load.uneven if i % UNEVEN_NODE == 0 else 1.0, name)
            for i, (name, node) in enumerate(self.fleet.nodes.items())
        ]
        order = {
            "nodes": nodes,
            "rate": load.requests_per_s,
            "seconds": self.swarm.world.watch_s,
            "sends": load.sends_percent / 100,
            "seed": self.swarm.world.seed,
            "keys": (load.keys, load.alpha),
        }
        return await self.fleet.start_helper("load", order)

    async def inject_faults(self, sampler: Sampler) -> FaultInjector:
        """Injects all faults and makes all calls, and waits for the end of the watch."""
        swarm, targets = self.swarm, self.targets()
        injector = FaultInjector(swarm, targets, self.faults, self.zero)
        operators = Operators(
            swarm,
            self.fleet.nodes,
            self.fleet.freezes,
            self.fleet.alive_nodes,
            self.zero,
        )
        tasks = [
            asyncio.ensure_future(injector.inject(fault, i, names))
            for i, (fault, names) in enumerate(
                zip(swarm.faults, swarm.struck(), strict=True)
            )
        ]
        tasks += [
            asyncio.ensure_future(operators.make(call, i))
            for i, call in enumerate(swarm.calls)
        ]
        end = self.zero + swarm.world.watch_s
        try:
            while monotonic() < end:
                self.progress("watching", monotonic() - self.zero, swarm.world.watch_s)
                rest = max(0.01, end - monotonic())
                await asyncio.sleep(min(PROGRESS_INTERVAL_S, rest))
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            sampler.is_over = True
        return injector

    def targets(self) -> Targets:
        """What faults act on."""
        assert self.fleet.agents is not None
        return Targets(
            nodes=self.fleet.nodes,
            hollows=self.fleet.hollows,
            agents=self.fleet.agents,
            servers=self.fleet.servers,
            servers_lock=self.fleet.servers_lock,
            observer=self.fleet.observer,
            audits=self.fleet.audits,
            freezes=self.fleet.freezes,
            localities=self.fleet.localities,
            start_node=self.fleet.start_node,
            alive_nodes=self.fleet.alive_nodes,
        )

    async def agreement_s(self, last_fault_at: float) -> float | None:
        """Seconds from the last fault's end until all agree; None if they do not in time after the watch."""
        rule_ends = [
            self.zero + rule.start_s + rule.duration_s
            for rule in self.swarm.datagrams
            if rule.duration_s is not None
        ]
        last = max([last_fault_at, *rule_ends])
        agreed = await self.wait_for_agreement()
        if self.fleet.hollows is not None:
            await self.take_hollow_changes()
            if agreed:
                changed = max(
                    (t["last"] for t in self.fleet.hollows.reports), default=last
                )
                changed = max(
                    [changed, *(x.at for x in self.fleet.observer.changes[-1:])]
                )
                return max(0.0, changed - last)
        if not agreed:
            return None
        changes = (x.at for x in self.fleet.observer.changes if x.at > last)
        return max(0.0, max(changes, default=last) - last)

    async def wait_for_agreement(self) -> bool:
        """Whether all agree within the time that the script allows."""
        agree_s = self.swarm.world.agree_s
        limit = monotonic() + agree_s
        agreed = True
        while agreed and await self.fleet.count_disagreements():
            agreed = monotonic() <= limit
            self.progress("agreeing", agree_s - (limit - monotonic()), agree_s)
            await asyncio.sleep(AGREEMENT_CHECK_INTERVAL_S)
        return agreed

    async def take_hollow_changes(self) -> None:
        """Hands the observer what the hollow nodes have logged of members."""
        assert self.fleet.hollows is not None
        observer = self.fleet.observer
        observer.hollow_changes = await self.fleet.hollows.fetch_member_changes()
        if left_out := sum(t["left_out"] for t in self.fleet.hollows.reports):
            reason = f"{left_out} changes of members were more than a process keeps"
            self.void = self.void or reason
        observer.refuted += sum(t["refuted"] for t in self.fleet.hollows.reports)
        for kind in observer.reach_counts:
            observer.reach_counts[kind] += sum(
                t["reach"][kind] for t in self.fleet.hollows.reports
            )
        ended = [
            name
            for name, lives in observer.lives.items()
            if lives and lives[-1].end is not None
        ]
        observer.holders = await self.fleet.hollows.holders(ended)

    async def hollow_costs(self, span: Span) -> dict[str, float | None]:
        """What a hollow and a real node of the same run have used, beside each other."""
        if self.fleet.hollows is None:
            return {}
        hollow, figures, self.void = await self.fleet.hollows.costs()
        # Electors do what no hollow node does: hollow nodes are compared with real ones that are none.
        names = self.swarm.names
        freeze = self.swarm.freeze or {}
        electors = [n for n in freeze.get("electors", ()) if n in names]
        others = [n for n in names if n not in electors] or names
        processes = self.fleet.processes()
        real = real_cost(self.fleet.lived_throughout(others), span, processes)
        elector = real_cost(self.fleet.lived_throughout(electors), span, processes)
        self.costs = [cost for cost in (real, hollow) if cost is not None]
        return figures | cost_figures(real, elector, hollow)

    def usage_figures(
        self, span: Span, sampler: Sampler, agreed_s: float | None
    ) -> dict[str, float | None]:
        """What a real node has used on the mean, and at the most."""
        before, after = span.before, span.after
        sent = [
            (
                after.stats[n]["membership"]["sent_bytes"]
                - before.stats[n]["membership"]["sent_bytes"]
            )
            / span.seconds
            for n in self.fleet.lived_throughout([*after.stats])
            if n in before.stats
        ]
        cores = [
            (after.cpu_s[pid] - before.cpu_s[pid]) / span.seconds
            for pid in after.cpu_s
            if pid in before.cpu_s
        ]
        return {
            "agree_s": agreed_s,
            "bytes_per_s": sum(sent) / len(sent) if sent else None,
            "memory_mb": sampler.max_memory_mb or None,
            "descriptors": sampler.max_descriptors or None,
            "cpu_percent": 100 * sum(cores) / len(cores) if cores else None,
        }

    async def add_load_figures(
        self, load: asyncio.subprocess.Process, figures: dict[str, Any]
    ) -> Any:
        """Adds how the clients' requests ended; returns those that were missed."""
        counts = await read_answer(load, HELPER_TIMEOUT_S)
        missed = counts.pop("missed")
        figures |= {"load": counts, "failed": counts["failed"]}
        figures["served"] = counts["served"] / max(1, counts["asked"])
        return missed

    def add_hollow_figures(self, figures: dict[str, Any]) -> None:
        """Adds what the hollow nodes that lived throughout and were not paused have logged."""
        if self.fleet.hollows is None:
            return
        lives = self.fleet.observer.lives
        alive = [
            name
            for name in self.fleet.lived_throughout(self.swarm.hollow_names)
            if lives[name][0].end is None
        ]
        figures |= self.fleet.hollows.figures_of_reports(
            [n for n in alive if not lives[n][0].pauses]
        )
        figures["disagreements"] += self.fleet.hollows.disagreement_count

    async def add_feature_figures(
        self, figures: dict[str, Any], watched_s: float
    ) -> None:
        """Adds the figures of forecast, freeze and audit, where they are on."""
        swarm, observer = self.swarm, self.fleet.observer
        if swarm.forecast is not None:
            nodes = self.fleet.nodes.values()
            pages = await asyncio.gather(*(fetch_page(n, "forecast") for n in nodes))
            figures |= forecast_figures([page for page in pages if page is not None])
        if swarm.freeze is not None:
            begin = self.zero + time() - monotonic()  # by the wall clock
            figures |= self.fleet.freezes.figures(begin, begin + watched_s)
        if swarm.audit is not None:
            figures |= self.fleet.audits.figures(
                observer.lives, observer.apart, self.zero, self.zero + watched_s
            )

    async def add_arrival_figures(
        self, figures: dict[str, Any], missed: Any, watched_s: float
    ) -> None:
        """Adds what follows from the attempts that came to the servers."""
        swarm = self.swarm
        await asyncio.sleep(LEDGER_WAIT_S if swarm.audit is not None else 0.0)
        assert self.fleet.servers.stdin is not None
        # A look that is still out would take this answer.
        async with self.fleet.servers_lock:
            self.fleet.servers.stdin.write(b"arrivals\n")
            arrivals = await read_answer(self.fleet.servers, HELPER_TIMEOUT_S)
        figures["to_drained"] = self.fleet.audits.to_drained(arrivals)
        if swarm.servers.cold_s and self.fleet.agents is not None:
            started = {
                int(name[1:]): at for name, at in self.fleet.agents.began.items()
            }
            capacity = swarm.servers.slots / swarm.servers.service_ms * 1000
            figures |= cold.figures(arrivals, started, swarm.servers.cold_s, capacity)
        end = self.zero + watched_s
        figures |= self.fleet.localities.figures(arrivals, missed, self.zero, end)
        if swarm.audit is not None:
            check = LedgerCheck(swarm, self.fleet.nodes, self.faults, fetch_audit_page)
            figures |= await check.figures(self.fleet.observer.lives, arrivals)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs something beside the rest until the run ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Stops what runs beside the watch."""
        for task in list(self.tasks):
            task.cancel()


async def fetch_audit_page(node: NodeProcess) -> dict[str, Any] | None:
    """A node's `/admin/audit`."""
    return await fetch_page(node, "audit")
