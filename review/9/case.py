"""Discovery is slow: each answer comes seconds late. Servers drain meanwhile."""

from __future__ import annotations

import asyncio
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

SERVERS = 12
RATE = 100.0
DELAY_S = 2.0  # of each answer
TOLD_S = 6.0  # a change counts as told at the latest then
GRACE_S = 0.4 + 0.05


async def case(record: Record, folder: Path) -> int:
    fleet = Fleet(record, work_s=0.03)
    servers = await fleet.add(SERVERS)
    agent = Agent(record)
    agent.version = 41
    agent.entries = {server.name: server.entry() for server in servers}
    await agent.start()
    config = {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": agent.address,
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": agent.full(),
        "settings": settings(group_size=2),
    }
    node = Node(record, folder, config)
    try:
        await node.start()
        await node.wait_ready()
        clients = Clients(record, node.port)
        load = asyncio.ensure_future(
            clients.load(RATE, now() + 30.0, "latest-reading", 1200)
        )
        await asyncio.sleep(3.0)
        if TROUBLE:
            record.line(f"discovery answers {DELAY_S} s late", echo=True)
            agent.delay_s = DELAY_S
        await asyncio.sleep(2.0)
        drained = servers[::4]
        agent.change([server.entry("draining") for server in drained])
        had_at = now()
        record.line(f"{len(drained)} servers begin to drain", echo=True)
        await load
        if node.process is None or node.process.returncode is not None:
            raise NotRunError("the node has ended")
    finally:
        await node.end()
    names = {server.name for server in drained}
    late = [
        arrival
        for arrival in fleet.arrivals
        if arrival.server in names and arrival.first_byte_at > had_at + TOLD_S + GRACE_S
    ]
    served = sum(answer.status == 200 for answer in clients.answers)
    record.line(
        f"requests={len(clients.answers)} served={served} calls={len(agent.calls)}",
        echo=True,
    )
    if not served:
        raise NotRunError("nothing was served")
    if late:
        record.line(
            f"{len(late)} requests to draining servers, the last"
            f" {late[-1].first_byte_at - had_at:.3f} s after discovery had the drain",
            echo=True,
        )
    return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, case)
