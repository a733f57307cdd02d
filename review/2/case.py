"""Case 2: bodies that come in small chunks take the node over its memory limit, and it is killed."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from pathlib import Path
from time import monotonic

from stand import (
    BROKEN,
    HELD,
    Agent,
    CaseError,
    NodeProcess,
    Record,
    ServerRequest,
    listen,
    node_table,
    ok,
    play,
    read_answer,
    server_line,
    settings,
    trouble,
)

SERVERS = 4
WORK_S = (0.097, 0.17)  # of batch-upload
MEMORY_MB = 96  # DAYS: 32 to 192 MB
SOCKETS = 512  # DAYS: 256 to 1,024 descriptors
CLIENTS = 150  # DAYS: clients hold a third of the descriptors at most for requests
BODY_BYTES = 64_000  # PROTOCOL: bodies hold at most 64 KiB
CHUNK = b"2\r\nzz\r\n"  # a piece of two bytes
BUDGET_MS = 3_000  # 60% of the 5 s of batch-upload
PATIENCE_S = 10.0
PLATFORM_CHECK_S = 0.01
KIB_PER_MB = 1_024


class Platform:
    """Kills the node when it holds more memory than its limit."""

    def __init__(self, record: Record, node: NodeProcess) -> None:
        self.record, self.node = record, node
        self.peak_kib = 0
        self.killed = False

    def memory_kib(self) -> int:
        """The node's own memory: without the files and libraries that it shares with others."""
        assert self.node.process is not None
        status = Path(f"/proc/{self.node.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
        return 0  # the process has ended

    async def watch(self) -> None:
        while not self.killed:
            with suppress(OSError):
                self.peak_kib = max(self.peak_kib, self.memory_kib())
            if self.peak_kib > MEMORY_MB * KIB_PER_MB:
                self.killed = True
                self.record.line(
                    f"platform kills the node: {self.peak_kib / KIB_PER_MB:.1f} MB of {MEMORY_MB}"
                )
                self.node.end()
            await asyncio.sleep(PLATFORM_CHECK_S)


def encode(call_id: str) -> bytes:
    """A complete request; its body comes in chunks of two bytes, or in one if there is no trouble."""
    lines = [
        "POST /batch-upload/x HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call_id}",
        f"X-Budget-Ms: {BUDGET_MS}",
        f"Idempotency-Key: k{call_id}",
    ]
    lines.append("Transfer-Encoding: chunked")
    if trouble():
        body = CHUNK * (BODY_BYTES // 2) + b"0\r\n\r\n"
    else:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (BODY_BYTES, b"z" * BODY_BYTES)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def client(record: Record, number: int, address: tuple[str, int]) -> int:
    """Sends one request and reads its answer; returns the status, 0 without an answer."""
    call_id = f"{number:016x}"
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    start = monotonic()
    writer.write(encode(call_id))
    record.line(f"client sends call={call_id}")
    status = 0
    with suppress(asyncio.TimeoutError):
        status = (await asyncio.wait_for(read_answer(reader), PATIENCE_S)).status
    record.line(
        f"client got call={call_id} status={status} after={monotonic() - start:.3f}"
    )
    writer.close()
    return status


async def case(record: Record, work: Path) -> int:
    runs = 0

    async def serve(
        request: ServerRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal runs
        runs += 1
        record.line(f"server runs call={request.call_id} bytes={len(request.body)}")
        await asyncio.sleep(random.uniform(*WORK_S))
        writer.write(ok(request.call_id.encode()))

    lines = [
        server_line(f"s-{number}", await listen(serve)) for number in range(SERVERS)
    ]
    agent = Agent(record, lines)
    await agent.start()
    table = node_table("n0", agent, settings(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    node = NodeProcess(record, work, table)
    platform = Platform(record, node)
    try:
        node.start()
        await node.ready()
        resting_kib = platform.memory_kib()
        if not resting_kib:
            raise CaseError("the system does not tell the node's memory")
        watch = asyncio.create_task(platform.watch())
        statuses = await asyncio.gather(
            *(client(record, number, node.address) for number in range(CLIENTS))
        )
        watch.cancel()
        if not platform.killed:
            node.check_running()
    finally:
        with suppress(OSError):
            node.end()
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.line(
        f"sum sent={CLIENTS} answers={counts} runs={runs} killed={int(platform.killed)}"
        f" memory_mb: limit={MEMORY_MB} at_rest={resting_kib / KIB_PER_MB:.1f}"
        f" peak={platform.peak_kib / KIB_PER_MB:.1f}"
    )
    return BROKEN if platform.killed else HELD


if __name__ == "__main__":
    play(case, __file__)
