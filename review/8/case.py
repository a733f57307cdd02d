"""A planned restart, while answers are long and servers write them slowly."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import (
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Agent,
    Arrival,
    Fleet,
    Node,
    NotRunError,
    Record,
    free_port,
    now,
    read_head,
    request_bytes,
    run_case,
    settings,
)

SERVERS = 10
CLIENTS = 12
BUDGET_MS = 1200
PIECE, EVERY_S = 16_384, 0.25  # 64 kB a second
ANSWER_BYTES = 18 * PIECE  # 288 KiB, whole after 4.3 s
# SIGKILL: the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
KILL_S = 3.0 + 0.7
EXCUSED_S = 0.7 + 0.05


@dataclass
class Asked:
    call_id: str
    taken_at: float
    status: int = 0
    got: int = 0
    whole: bool = False
    ended_at: float = 0.0


async def slowly(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """A 200 with a length, in pieces."""
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
    for _ in range(ANSWER_BYTES // PIECE):
        writer.write(b"x" * PIECE)
        await writer.drain()
        await asyncio.sleep(EVERY_S)


async def case(record: Record, folder: Path) -> int:
    fleet = Fleet(record)
    fleet.write = slowly
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
    asked: list[Asked] = []
    over = asyncio.Event()

    async def client(number: int) -> None:
        """Uses its connection for one request after the other, for as long as it stays open."""
        while not over.is_set():
            if term_at:
                return  # nobody connects anew after SIGTERM
            try:
                reader, writer = await asyncio.open_connection(HOST, node.port)
            except OSError:
                return  # the node no longer listens; the front has noticed
            try:
                while not over.is_set():
                    request = Asked(f"{number:04x}{len(asked):012x}", 0.0)
                    writer.write(
                        request_bytes(
                            "latest-reading", request.call_id, BUDGET_MS, None
                        )
                    )
                    await writer.drain()
                    request.taken_at = now()
                    asked.append(request)
                    if not await read_answer(reader, request):
                        break
                    await asyncio.sleep(0.1)
            except (OSError, asyncio.IncompleteReadError):
                pass
            writer.close()

    async def read_answer(reader: asyncio.StreamReader, request: Asked) -> bool:
        """Reads the answer; returns whether the connection may be used again."""
        try:
            head = await read_head(reader)
            if head is None:
                return False
            first, headers, _ = head
            request.status = int(first.split()[1])
            left = int(headers.get("content-length", "0"))
            while left:
                part = await reader.read(min(left, 65_536))
                if not part:
                    return False
                left -= len(part)
                request.got += len(part)
            request.whole = True
            return headers.get("connection", "").lower() != "close"
        finally:
            request.ended_at = now()
            record.line(
                f"answered id={request.call_id} status={request.status} bytes={request.got}"
                f" whole={int(request.whole)} after={request.ended_at - request.taken_at:.3f}"
            )

    term_at = 0.0
    killed_at = 0.0
    try:
        await node.start()
        await node.wait_ready()
        tasks = []
        for number in range(CLIENTS):
            tasks.append(asyncio.ensure_future(client(number)))
            await asyncio.sleep(0.35)  # so that requests end at different times
        await asyncio.sleep(6.0)
        assert node.process is not None
        if TROUBLE:
            node.send_signal(signal.SIGTERM)
            term_at = now()
            try:
                async with asyncio.timeout(KILL_S):
                    await node.process.wait()
                record.line(f"the node ended with {node.process.returncode}", echo=True)
            except TimeoutError:
                node.send_signal(signal.SIGKILL)
                killed_at = now()
        else:
            await asyncio.sleep(KILL_S)
        over.set()
        await asyncio.wait(tasks, timeout=15.0)
    finally:
        await node.end()
    whole = sum(request.whole for request in asked)
    record.line(f"requests={len(asked)} whole={whole}", echo=True)
    if not whole:
        raise NotRunError("no answer came whole")
    lost = [
        request
        for request in asked
        if request.status == 200  # the node had taken it and begun its answer
        and not request.whole
        and (not TROUBLE or term_at + EXCUSED_S < request.taken_at < killed_at)
    ]
    for request in lost:
        record.line(
            f"LOST id={request.call_id} sent {request.taken_at - term_at:.3f} s after SIGTERM,"
            f" status={request.status} bytes={request.got} of {ANSWER_BYTES}",
            echo=True,
        )
    return BROKEN if lost else HELD


run_case(Path(__file__).resolve().parent, case)
