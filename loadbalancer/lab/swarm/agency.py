"""Agents of discovery for hollow nodes, in their own process: `python -m loadbalancer.lab.swarm.agency`.

Each node has an agent with an address of its own, as real nodes have (`agents.py`), apart from the harness,
which would answer them late. The first line of standard input has the nodes' names and the list; one line on
standard output names the addresses. Each further line of input is the next version of the list, in its two
halves, or turns agents.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import uvloop

from loadbalancer.lab.swarm.agents import Agents


async def serve(wish: dict[str, Any]) -> None:
    agents = Agents(wish["names"], wish["servers"], 0)
    await agents.start()
    print(
        json.dumps({name: agent.address for name, agent in agents.agents.items()}),
        flush=True,
    )
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(
        None, sys.stdin.readline
    ):  # until nobody needs them
        told = json.loads(line)
        if "list" in told:
            agents.lists.append((told["list"][0], told["list"][1]))
            for agent in agents.agents.values():
                agent.news()
        for name in told.get("turn", ()):
            agents.agents[name].turn(told["mode"])
    agents.close()


if __name__ == "__main__":
    uvloop.run(serve(json.loads(sys.stdin.readline())))
