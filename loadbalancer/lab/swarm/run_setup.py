"""What a swarm needs before its nodes start: servers, agents, the network between nodes, the nodes' files."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from loadbalancer.lab.swarm import cold
from loadbalancer.lab.swarm.agents import Agents
from loadbalancer.lab.swarm.helper_processes import read_answer
from loadbalancer.lab.swarm.hollows import Hollows
from loadbalancer.lab.swarm.nodes import SETTINGS, NodeProcess
from loadbalancer.lab.swarm.operator_file import operator_file
from loadbalancer.lab.swarm.script import Swarm

HELPER_START_S = 30.0  # in which a helper process has to say that it is there
MAX_NODE_MEMORY_MB = 128
MAX_NODE_SOCKETS = 512

StartHelper = Callable[
    [str, dict[str, Any]], Awaitable[asyncio.subprocess.Process]
]  # by module and order


class Setup:
    """Makes the surroundings of one run.

    Args:
        swarm: The script.
        nodes: Real nodes by name, which have no process yet.
        start_helper: Starts a helper process, which ends with the run.
    """

    def __init__(
        self,
        swarm: Swarm,
        nodes: dict[str, NodeProcess],
        start_helper: StartHelper,
    ) -> None:
        self.swarm = swarm
        self.nodes = nodes
        self.start_helper = start_helper

    async def servers(self) -> tuple[asyncio.subprocess.Process, list[str]]:
        """The process of the stand-in servers, and their addresses."""
        servers = self.swarm.servers
        order = {
            "count": servers.count + servers.spare,
            "slots": servers.slots,
            "service_ms": servers.service_ms,
            "entries": servers.entries,
            "hit_ms": servers.hit_ms,
        }
        process = await self.start_helper("servers", order)
        return process, await read_answer(process, HELPER_START_S)

    async def agents(self, addresses: list[str]) -> Agents:
        """Discovery: an agent for each node, all with one list."""
        zones = self.swarm.zone_names
        lines = [
            {
                "id": f"s{i}",
                "addr": address,
                "state": "ready",
                "zone": zones[i % len(zones)],
                "kind": "std",
            }
            for i, address in enumerate(addresses)
        ]
        agents = Agents(self.swarm.names, lines, self.swarm.servers.spare)
        await agents.start()
        return agents

    async def network(self) -> asyncio.subprocess.Process:
        """The process between the members, which drops and delays datagrams; nodes learn their addresses."""
        swarm = self.swarm
        order = {
            "seed": swarm.world.seed,
            "rules": msgspec.to_builtins(swarm.datagrams),
            "members": {name: node.members for name, node in self.nodes.items()},
        }
        process = await self.start_helper("network", order)
        fronts = await read_answer(process, HELPER_START_S)
        for name, front in fronts.items():
            self.nodes[name].front = (front[0], front[1])
        return process

    async def configure(self, agents: Agents, hollows: Hollows | None) -> None:
        """Writes the nodes' files, and builds the hollow nodes' processes."""
        tables = self._operator_tables()
        shared = self._shared_config(agents)
        self._configure_nodes(agents, shared, operator_file(tables))
        if hollows is None:
            return
        unused = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
        settings = shared["settings"] | {"zone": 0} | self.swarm.place(0)
        fronts = {name: (node.front, node.members) for name, node in self.nodes.items()}
        await hollows.build(
            shared | unused | {"settings": settings},
            tables,
            fronts,
            agents.first()["servers"],
            read_answer,
        )

    def _operator_tables(self) -> dict[str, dict[str, Any]]:
        """Tables of the operators' file."""
        swarm = self.swarm
        seed_names = swarm.names[: swarm.world.seeds]
        seeds = ["{}:{}".format(*self.nodes[name].front) for name in seed_names]
        tables: dict[str, dict[str, Any]] = {
            "membership": {"seeds": seeds} | swarm.members
        }
        for name, table in swarm.tables.items():
            defaults = {"numbering": "swarm"} if name == "audit" else {}
            tables[name] = defaults | table
        return tables

    def _shared_config(self, agents: Agents) -> dict[str, Any]:
        """What all nodes' configurations have in common."""
        swarm = self.swarm
        settings = {**SETTINGS, "dcs": swarm.zone_names}
        if swarm.servers.cold_s:
            settings["rules"] = cold.rules(swarm.servers.cold_s)
        return {
            "limits": {"memory_mb": MAX_NODE_MEMORY_MB, "sockets": MAX_NODE_SOCKETS},
            "known": agents.first(),
            "settings": settings,
        }

    def _configure_nodes(
        self, agents: Agents, shared: dict[str, Any], operator: str
    ) -> None:
        """Writes each real node's configuration."""
        swarm = self.swarm
        upgraded = {
            name
            for fault, names in zip(swarm.faults, swarm.struck(), strict=True)
            if fault.kind == "upgrade"
            for name in names
        }
        for index, (name, node) in enumerate(self.nodes.items()):
            if name in upgraded:
                node.accept()
            zone = {"zone": index % len(swarm.zone_names)}
            config = shared | {
                "name": name,
                "listen": "{}:{}".format(*node.clients),
                "control": "127.0.0.1:0",
                "discovery": "{}:{}".format(*agents.agents[name].address),
                "seed": f"{swarm.world.seed * 1000 + index:x}",
                "settings": shared["settings"] | zone | swarm.place(index),
            }
            node.configure(config, operator)
