"""Injects the faults of a script into a running swarm."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import monotonic, time
from typing import Any

from loadbalancer.lab.swarm.agents import Agents
from loadbalancer.lab.swarm.audits import AuditObserver
from loadbalancer.lab.swarm.freezes import FreezeObserver
from loadbalancer.lab.swarm.hollows import Hollows
from loadbalancer.lab.swarm.localities import ZoneObserver
from loadbalancer.lab.swarm.nodes import END_TIME, NodeProcess
from loadbalancer.lab.swarm.observe import Observer
from loadbalancer.lab.swarm.script import Fault, Swarm

WRITE_WAIT_S = 2.0  # that a kill waits for a write
UPGRADE_OVERLAP_S = 1.0  # in which both processes of an upgrade serve


@dataclass
class Targets:
    """What faults act on, and who has to know of them."""

    nodes: dict[str, NodeProcess]
    hollows: Hollows | None
    agents: Agents
    servers: asyncio.subprocess.Process
    servers_lock: asyncio.Lock  # one conversation with the servers' process at a time
    observer: Observer
    audits: AuditObserver
    freezes: FreezeObserver
    localities: ZoneObserver
    start_node: Callable[[str], Awaitable[None]]  # by name, until it is ready
    alive_nodes: Callable[[], list[str]]


class FaultInjector:
    """The faults of one run.

    Args:
        swarm: The script.
        targets: What they act on.
        log: Gets one entry at each beginning and end of a fault.
        zero: When the watch began, monotonic seconds; faults count from then.

    Attributes:
        last_fault_at: When a fault last began or ended, monotonic seconds; `zero` before the first.
    """

    def __init__(
        self, swarm: Swarm, targets: Targets, log: list[dict[str, Any]], zero: float
    ) -> None:
        self.swarm = swarm
        self.targets = targets
        self.log = log
        self.zero = zero
        self.last_fault_at = zero

    async def inject(self, fault: Fault, index: int, names: list[str]) -> None:
        """Waits for a fault's time and injects it, to its end.

        Args:
            fault: The fault.
            index: Its place in the script.
            names: Nodes that it concerns.
        """
        await self._sleep_until(self.zero + fault.at_s)
        if fault.coordinator:
            coordinator = self.targets.freezes.coordinator()
            alive = self.targets.alive_nodes()
            names = [name for name in [coordinator] if name in alive]
        writing = await self._wait_for_writes(names) if fault.writing else {}
        self._log(fault, index, names, "begins")
        self.log[-1] |= writing
        if fault.kind == "list":
            await self._change_lists(fault, index, names)
            return
        if await self._act(fault, names):
            self._log(fault, index, names, "ends")

    def _log(self, fault: Fault, index: int, names: list[str], what: str) -> None:
        """One entry of the log: a fault `begins` or `ends`."""
        self.log.append(
            {
                "at_s": round(monotonic() - self.zero, 3),
                "fault": what,
                "kind": fault.kind,
                "rule": index,
                "nodes": names,
            }
        )
        self.last_fault_at = monotonic()

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - monotonic()))

    async def _act(self, fault: Fault, names: list[str]) -> bool:
        """Injects a fault of any kind but `list`; whether it has an end."""
        real = [self.targets.nodes[n] for n in names if n in self.targets.nodes]
        hollow = [n for n in names if n not in self.targets.nodes]
        if fault.kind.startswith("zone-"):
            await self._break_zones(fault, names)
        elif fault.kind.startswith("agent-"):
            return await self._break_agents(fault, names)
        elif fault.kind == "pause":
            await self._pause(fault, names, real, hollow)
        elif fault.kind == "upgrade":
            await asyncio.gather(*(self._upgrade(node) for node in real))
        else:
            await self._end_processes(fault, real, hollow)
            if fault.kind != "restart":
                return False
            await self._start_again(fault, real, hollow)
        return True

    # ---- lists and agents -----------------------------------------------------------------------------

    async def _change_lists(self, fault: Fault, index: int, names: list[str]) -> None:
        """Changes the endpoint list as often as the fault says; its beginning is logged already."""
        self._change_list(fault)
        for turn in range(1, fault.times):
            await self._sleep_until(self.zero + fault.at_s + turn * fault.every_s)
            self._log(fault, index, names, "begins")
            self._change_list(fault)

    def _change_list(self, fault: Fault) -> None:
        """The list has its next version."""
        agents, hollows = self.targets.agents, self.targets.hollows
        change = agents.change(fault.drain, fault.gone, fault.add, fault.halves)
        self.log[-1] |= change
        if hollows is not None:
            hollows.listed(agents.lists[-1], change["version"], not fault.halves)
        self.targets.audits.listed(
            change["version"], monotonic(), fault.halves, [*fault.drain, *fault.gone]
        )

    async def _break_agents(self, fault: Fault, names: list[str]) -> bool:
        """Agents of some nodes break; whether they recover."""
        self._set_agent_mode(names, fault.kind)
        if not fault.for_s:
            return False
        await asyncio.sleep(fault.for_s)
        self._set_agent_mode(names, "")
        return True

    def _set_agent_mode(self, names: list[str], mode: str) -> None:
        """Agents of some nodes break, or with an empty mode recover."""
        agents, hollows = self.targets.agents.agents, self.targets.hollows
        for name in names:
            if name in agents:
                agents[name].turn(mode)
                self.targets.audits.agent(name, monotonic(), mode)
        if hollows is not None:
            hollows.turn(names, mode)

    async def _break_zones(self, fault: Fault, names: list[str]) -> None:
        """Servers of some zones fail for the calls of some nodes, as often as the fault says."""
        swarm, targets = self.swarm, self.targets
        zones, count = swarm.zone_names, swarm.servers.count + swarm.servers.spare
        servers = [i for i in range(count) if zones[i % len(zones)] in fault.zones]
        nodes = None if set(names) >= set(swarm.names) else names
        steps = ((fault.kind.removeprefix("zone-"), fault.for_s), ("", 0.0))
        for turn in range(fault.times):
            await self._sleep_until(self.zero + fault.at_s + turn * fault.every_s)
            for kind, duration_s in steps:
                order = {
                    "servers": servers,
                    "fault": kind,
                    "nodes": nodes,
                    "extra": fault.slow_ms / 1000,
                }
                assert targets.servers.stdin is not None
                async with targets.servers_lock:
                    targets.servers.stdin.write(json.dumps(order).encode() + b"\n")
                targets.localities.fault(fault.zones, monotonic(), bool(kind), turn > 0)
                await asyncio.sleep(duration_s)

    # ---- processes ------------------------------------------------------------------------------------

    async def _wait_for_writes(self, names: list[str]) -> dict[str, Any]:
        """Waits for a write of each node; an entry for the log that names those that were at it."""
        targets = self.targets
        found = await asyncio.gather(*(self._writes(targets.nodes[n]) for n in names))
        return {
            "writing": [name for name, one in zip(names, found, strict=True) if one]
        }

    async def _writes(self, node: NodeProcess) -> bool:
        """Waits until a file stands half written in the node's store; False if none does in time."""
        until = monotonic() + WRITE_WAIT_S
        while monotonic() < until:
            if any((node.folder / "store").rglob("*.tmp")):
                return True
            await asyncio.sleep(0)
        return False

    async def _pause(
        self,
        fault: Fault,
        names: list[str],
        real: list[NodeProcess],
        hollow: list[str],
    ) -> None:
        """Stops processes for a while."""
        targets = self.targets
        for name in names:
            targets.observer.paused(name, monotonic(), fault.for_s)
        for node in real:
            node.signal(signal.SIGSTOP)
            targets.freezes.stopped(node.name, time(), killed=False)
        await self._tell_hollow(hollow, "pause")
        await asyncio.sleep(fault.for_s)
        for node in real:
            node.signal(signal.SIGCONT)
        await self._tell_hollow(hollow, "resume")

    async def _end_processes(
        self, fault: Fault, real: list[NodeProcess], hollow: list[str]
    ) -> None:
        """Ends processes: in order for `leave`, at once otherwise."""
        targets, in_order = self.targets, fault.kind == "leave"
        for node in real:
            node.signal(signal.SIGTERM if in_order else signal.SIGKILL)
            targets.observer.ended(node.name, monotonic(), fault.kind)
            targets.freezes.stopped(node.name, time(), killed=True)
        await self._tell_hollow(hollow, "leave" if in_order else "kill")
        for name in hollow:
            targets.observer.ended(name, monotonic(), fault.kind)

    async def _start_again(
        self, fault: Fault, real: list[NodeProcess], hollow: list[str]
    ) -> None:
        """Starts processes that were killed for a restart, without their stores if the fault says so."""
        targets = self.targets
        if fault.lose:
            for node in real:
                shutil.rmtree(node.folder / "store", ignore_errors=True)
        await asyncio.sleep(fault.for_s)
        for name in hollow:
            targets.observer.started(name, monotonic())
        await asyncio.gather(
            self._tell_hollow(hollow, "start"),
            *(targets.start_node(node.name) for node in real),
        )

    async def _upgrade(self, node: NodeProcess) -> None:
        """A second process starts on the inherited socket; then the first gets its SIGTERM."""
        observer = self.targets.observer
        old = node.process
        assert old is not None
        await node.start()
        # Both serve; the first one has the member's address still.
        await asyncio.sleep(UPGRADE_OVERLAP_S)
        old.send_signal(signal.SIGTERM)
        observer.ended(node.name, monotonic(), "upgrade")
        observer.started(node.name, monotonic())
        await node.ready()
        await asyncio.wait_for(old.wait(), END_TIME)

    async def _tell_hollow(self, names: list[str], order: str) -> None:
        """Has something done to hollow nodes."""
        if names:
            assert self.targets.hollows is not None
            await self.targets.hollows.to(names, order)
