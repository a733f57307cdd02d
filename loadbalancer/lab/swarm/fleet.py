"""The processes of a swarm, and what observers know of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path
from time import monotonic
from typing import Any

import psutil

from loadbalancer.lab.swarm.agents import Agents
from loadbalancer.lab.swarm.audits import AuditObserver
from loadbalancer.lab.swarm.freezes import FreezeObserver
from loadbalancer.lab.swarm.helper_processes import start_helper
from loadbalancer.lab.swarm.hollows import Hollows
from loadbalancer.lab.swarm.localities import ZoneObserver
from loadbalancer.lab.swarm.nodes import NodeProcess
from loadbalancer.lab.swarm.observe import Observer
from loadbalancer.lab.swarm.run_setup import Setup
from loadbalancer.lab.swarm.script import Swarm

CONCURRENT_STARTS = 16  # of processes
AGREEMENT_CHECK_INTERVAL_S = 0.25
ONE_LIFE = 1  # processes of a node that lived throughout

Progress = Callable[[str, float, float], None]  # what is going on, how far, of how much


class SwarmFleet:
    """All processes of one run: nodes, hollow nodes, servers, agents and the network between nodes.

    Args:
        swarm: The script.
        folder: Gets the nodes' files and logs.
        progress: Is told what is going on.

    Attributes:
        nodes: Real nodes by name.
        hollows: The hollow nodes, if the script has any.
        helpers: Processes that are no nodes.
        observer: Follows what nodes hold of each other.
        servers_lock: One conversation with the servers' process at a time.
    """

    def __init__(self, swarm: Swarm, folder: Path, progress: Progress) -> None:
        self.swarm = swarm
        self.folder = folder
        self.progress = progress
        self.nodes: dict[str, NodeProcess] = {}
        self.helpers: list[asyncio.subprocess.Process] = []
        self.hollows = (
            Hollows(swarm, self.start_helper) if swarm.hollow is not None else None
        )
        self.observer = Observer(swarm.names, swarm.datagrams, swarm.hollow_names)
        self.audits = AuditObserver(swarm.names)
        self.freezes = FreezeObserver(swarm.members.get("regions", {}))
        self.localities = ZoneObserver(swarm)
        self.servers_lock = asyncio.Lock()
        self.agents: Agents | None = None
        self.servers: asyncio.subprocess.Process
        self.network: asyncio.subprocess.Process

    async def start_helper(
        self, module: str, order: dict[str, Any]
    ) -> asyncio.subprocess.Process:
        """Starts a process of the surroundings, which ends with the run."""
        process = await start_helper(module, order)
        self.helpers.append(process)
        return process

    async def set_up(self) -> None:
        """Servers, discovery, the network, and the nodes' files; nothing runs as a node yet."""
        setup = Setup(self.swarm, self.nodes, self.start_helper)
        self.servers, addresses = await setup.servers()
        self.agents = await setup.agents(addresses)
        for name in self.swarm.names:
            self.nodes[name] = NodeProcess(name, self.folder, self.on_log_line)
        self.network = await setup.network()
        await setup.configure(self.agents, self.hollows)

    def on_log_line(self, name: str, record: dict[str, Any], at: float) -> None:
        """A line of a node's log."""
        self.observer.line(name, record, at)
        self.audits.line(name, record, at)
        self.freezes.line(name, record)
        self.localities.line(name, record, at)

    async def start_node(self, name: str) -> None:
        """Starts a real node and waits until it is ready."""
        node = self.nodes[name]
        self.observer.started(name, monotonic())
        await node.start()
        await node.ready()

    async def end(self) -> None:
        """Ends what was started, and only that."""
        for process in self.helpers:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(
            *(process.wait() for process in self.helpers),
            *(node.end() for node in self.nodes.values()),
        )
        if self.hollows is not None:
            await self.hollows.end()
        if self.agents is not None:
            self.agents.close()

    async def settle(self) -> float | None:
        """Starts all; seconds until all hold each other alive, None if they do not in time."""
        start = monotonic()
        await self.start_nodes()
        if self.hollows is not None:
            self.progress("starting hollow nodes", 0, 1)
            for name in self.swarm.hollow_names:
                self.observer.started(name, monotonic())
            await self.hollows.start()
        settle_s = self.swarm.world.settle_s
        limit = monotonic() + settle_s
        while await self.count_disagreements():
            if monotonic() > limit:
                return None
            self.progress("settling", settle_s - (limit - monotonic()), settle_s)
            await asyncio.sleep(AGREEMENT_CHECK_INTERVAL_S)
        return monotonic() - start

    async def start_nodes(self) -> None:
        """Starts the real nodes, some at a time."""
        slots = asyncio.Semaphore(CONCURRENT_STARTS)
        started = 0

        async def start_one(name: str) -> None:
            nonlocal started
            async with slots:
                await self.start_node(name)
            started += 1
            self.progress("starting", started, len(self.nodes))

        await asyncio.gather(*(start_one(name) for name in self.nodes))

    async def count_disagreements(self) -> int:
        """Pairs (node, other) where the node's view of the other is wrong."""
        wrong = self.observer.disagreements()
        if self.hollows is not None:
            wrong += await self.hollows.look(self.observer.living())
        return wrong

    def alive_nodes(self) -> list[str]:
        """Real nodes that live."""
        return [name for name in self.observer.living() if name in self.nodes]

    def processes(self) -> dict[str, psutil.Process]:
        """Processes of the real nodes that live."""
        found = {}
        for name in self.alive_nodes():
            process = self.nodes[name].process
            if process is not None and process.returncode is None:
                found[name] = psutil.Process(process.pid)
        return found

    def lived_throughout(self, names: Sequence[str]) -> list[str]:
        """Nodes of which one process has lived from the start on."""
        return [n for n in names if len(self.observer.lives[n]) == ONE_LIFE]
