"""Discovery comes back with many changes at once, and servers begin to drain right after."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from random import Random

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

SEED = 6
SERVERS = 1000
RATE = 150.0
OUTAGE_S = 8.0
RELEASE_S, STEP = 7.0, 20  # six in ten servers are restarted within this time
DRAIN_STEP, DRAIN_EVERY_S = 50, 0.02  # then a quarter of the servers begin to drain
GRACE_S = 0.4 + 0.05
SLACK_S = 0.15


async def case(record: Record, folder: Path) -> int:
    fleet = Fleet(record, work_s=0.03)
    servers = await fleet.add(SERVERS)
    agent = Agent(record)
    agent.version = 41
    for server in servers:
        agent.entries[server.name] = server.entry()
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
            clients.load(RATE, now() + 35.0, "latest-reading", 1200)
        )
        await asyncio.sleep(3.0)
        restarted = servers[: SERVERS * 6 // 10]
        drained = Random(SEED).sample(servers, SERVERS // 4)
        if TROUBLE:
            record.line("discovery is down", echo=True)
            agent.silent = True
        back_at = now() + OUTAGE_S
        held_back = []
        for first in range(0, len(restarted), STEP):
            started = int(time.time() * 1000)
            for server in restarted[first : first + STEP]:
                server.restart()
            entries = [
                server.entry(started_ms=started)
                for server in restarted[first : first + STEP]
            ]
            if TROUBLE:
                held_back += entries
            else:
                agent.change(entries)
            await asyncio.sleep(RELEASE_S * STEP / len(restarted))
        await asyncio.sleep(max(0.0, back_at - now()))
        if TROUBLE:
            agent.change(held_back)
            agent.silent = False
            agent.wake()
            record.line("discovery is back", echo=True)
        record.line(f"{len(drained)} servers begin to drain", echo=True)
        for first in range(0, len(drained), DRAIN_STEP):
            await asyncio.sleep(DRAIN_EVERY_S)
            agent.change(
                [s.entry("draining") for s in drained[first : first + DRAIN_STEP]]
            )
        await load
        if node.process is None or node.process.returncode is not None:
            raise NotRunError("the node has ended")
    finally:
        await node.end()
    late = []
    for arrival in fleet.arrivals:
        told_at = agent.told_at.get((arrival.server, "draining"))
        if told_at is not None and arrival.first_byte_at > told_at + GRACE_S + SLACK_S:
            late.append((arrival, arrival.first_byte_at - told_at))
    served = sum(answer.status == 200 for answer in clients.answers)
    told = sum((s.name, "draining") in agent.told_at for s in drained)
    record.line(
        f"requests={len(clients.answers)} served={served} told_drains={told}", echo=True
    )
    for arrival, after in late[:20]:
        record.line(
            f"BROKEN sent to draining server={arrival.server} {after:.3f} s after it was told"
        )
    if late:
        named = {arrival.server for arrival, _ in late}
        record.line(
            f"{len(late)} requests to {len(named)} draining servers, the last"
            f" {max(after for _, after in late):.3f} s after the node was told",
            echo=True,
        )
    if not served or told < len(drained):
        raise NotRunError("nothing was served, or the drains were not told")
    return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, case)
