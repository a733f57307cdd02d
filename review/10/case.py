"""Two new configurations in quick succession move discovery twice, and servers drain soon after."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import (
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Agent,
    Clients,
    Fleet,
    Node,
    NotRunError,
    Record,
    free_port,
    now,
    run_case,
    settings,
)

SERVERS = 1500
RATE = 150.0
GRACE_S = 0.4 + 0.05
SLACK_S = 0.15


async def case(record: Record, folder: Path) -> int:
    fleet = Fleet(record, work_s=0.03)
    servers = await fleet.add(SERVERS)
    agents = []
    for version in (41, 141, 241):
        agent = Agent(record)
        agent.version = version
        agent.entries = {server.name: server.entry() for server in servers}
        await agent.start()
        agents.append(agent)
    first, second, third = agents
    config = {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": first.address,
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": first.full(),
        "settings": settings(group_size=2),
    }
    node = Node(record, folder, config)

    def move(agent: Agent) -> None:
        node.config = {**config, "discovery": agent.address}
        node.write_config()
        node.send_signal(signal.SIGHUP)

    try:
        await node.start()
        await node.wait_ready()
        clients = Clients(record, node.port)
        load = asyncio.ensure_future(
            clients.load(RATE, now() + 25.0, "latest-reading", 1200)
        )
        await asyncio.sleep(3.0)
        followed = {agent: asyncio.Event() for agent in agents}
        for agent in agents:
            agent.on_call = lambda since, agent=agent: (
                followed[agent].set() if since is not None else None
            )
        move(second)
        await followed[second].wait()
        if not TROUBLE:
            await asyncio.sleep(3.0)
        move(third)
        moved_at = now()
        await followed[third].wait()
        drained = [server for i, server in enumerate(servers) if i % 4 == 3]
        record.line(f"{len(drained)} servers drain in steps", echo=True)
        for start in range(0, len(drained), 25):
            third.change([s.entry("draining") for s in drained[start : start + 25]])
            await asyncio.sleep(0.01)
        await load
        if node.process is None or node.process.returncode is not None:
            raise NotRunError("the node has ended")
    finally:
        await node.end()
    late = []
    for arrival in fleet.arrivals:
        told_at = third.told_at.get((arrival.server, "draining"))
        if told_at is None:
            continue
        due = max(told_at, moved_at + 4.0) + GRACE_S + SLACK_S
        if arrival.first_byte_at > due:
            late.append((arrival, arrival.first_byte_at - told_at))
    served = sum(answer.status == 200 for answer in clients.answers)
    told = sum((s.name, "draining") in third.told_at for s in drained)
    record.line(
        f"requests={len(clients.answers)} served={served} told_drains={told}", echo=True
    )
    if late:
        named = {arrival.server for arrival, _ in late}
        record.line(
            f"{len(late)} requests to {len(named)} draining servers, the last"
            f" {max(after for _, after in late):.3f} s after the node was told",
            echo=True,
        )
    return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, case)
