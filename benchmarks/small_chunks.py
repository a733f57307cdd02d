"""What a message of 64,000 bytes costs a node by the size of its chunks, in requests and in answers.

    python -m benchmarks.small_chunks [--messages 100] [--json]

One client sends one message after the other through a real node to a stub in this process. The kernel's
figures of the node's process give its user and system time for each message.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.start_cost import configuration

ROOT = Path(__file__).parent.parent
BODY_BYTES = 64_000
CHUNK_SIZES = (1, 2, 16, 1_024, 64_000)
WARM_UP_MESSAGES = 5
READY_TIMEOUT_S = 30.0
MESSAGE_TIMEOUT_S = 30.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Cost(NamedTuple):
    """Processor time of the node for each message, in microseconds."""

    direction: str
    chunk_bytes: int
    user_us: float
    system_us: float


def chunked(chunk_bytes: int) -> bytes:
    """A body in chunks of one size, but for the last."""
    whole, rest = divmod(BODY_BYTES, chunk_bytes)
    data = b"%x\r\n%b\r\n" % (chunk_bytes, b"z" * chunk_bytes) * whole
    if rest:
        data += b"%x\r\n%b\r\n" % (rest, b"z" * rest)
    return data + b"0\r\n\r\n"


async def read_body(head: bytes, reader: asyncio.StreamReader) -> int:
    """Reads a body in any framing; returns its size in bytes."""
    lower = head.lower()
    if b"transfer-encoding: chunked" not in lower:
        length = lower.partition(b"content-length:")[2].partition(b"\r\n")[0]
        return len(await reader.readexactly(int(length or 0)))
    total = 0
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        total += len(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return total


class Stub:
    """A server; a request for `/look/N` is answered with a body in chunks of N bytes."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await read_body(head, reader)
                method, target, _ = head.split(b" ", 2)
                if method == b"GET":
                    size = int(target.rpartition(b"/")[2])
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    )
                    writer.write(chunked(size))
                else:
                    writer.write(OK)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            writer.close()


async def listen(serve: Any) -> int:
    """Starts a server on a free port; returns the port."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A discovery agent that has no news."""
    with suppress(asyncio.CancelledError):  # the benchmark has ended
        await reader.read()


@contextmanager
def running_node(table: dict[str, Any]) -> Iterator[subprocess.Popen[bytes]]:
    """A node in a process of its own, which is ended with the block."""
    with tempfile.TemporaryDirectory(prefix="chunks-") as folder:
        file = Path(folder) / "node.json"
        file.write_text(json.dumps(table))
        environment = os.environ | {"LB_CONFIG": str(file), "TMPDIR": folder}
        node = subprocess.Popen(
            [sys.executable, "-m", "loadbalancer"], cwd=ROOT, env=environment
        )
        try:
            yield node
        finally:
            node.kill()
            node.wait()


def node_file(port: int, server: int, discovery: int) -> dict[str, Any]:
    """The node's file: a class that may be repeated, and one that may not, which takes bodies."""
    table = configuration(port, 1, discovery)
    table["known"]["servers"][0]["addr"] = f"127.0.0.1:{server}"
    (look,) = table["settings"]["classes"]
    store = look | {"name": "store", "effect": "single_shot"}
    table["settings"]["classes"] = [look | {"name": "look"}, store]
    return table


def times_us(pid: int) -> tuple[float, float]:
    """User and system time that a process has used, in microseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    tick_us = 1e6 / os.sysconf("SC_CLK_TCK")
    return int(fields[11]) * tick_us, int(fields[12]) * tick_us


class Client:
    """Sends messages over one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.sent = 0

    async def ask(self, direction: str, chunk_bytes: int, body: bytes) -> bool:
        """Sends one message; returns whether it was served whole."""
        self.sent += 1
        ids = b"X-Call-Id: %x\r\nX-Budget-Ms: 2000\r\n" % self.sent
        if direction == "request":
            head = b"POST /store/x HTTP/1.1\r\nHost: lab\r\n%bTransfer-Encoding: chunked\r\n\r\n"
        else:
            head = b"GET /look/%d HTTP/1.1\r\nHost: lab\r\n" % chunk_bytes + b"%b\r\n"
        self.writer.write(head % ids + body)
        await self.writer.drain()
        answer = await self.reader.readuntil(b"\r\n\r\n")
        size = await read_body(answer, self.reader)
        expected = len(b"ok") if direction == "request" else BODY_BYTES
        return answer.split(b" ", 2)[1] == b"200" and size == expected


async def connected(port: int) -> Client:
    """A client, as soon as the node listens and serves."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                client = Client(*await asyncio.open_connection("127.0.0.1", port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            if await client.ask("answer", BODY_BYTES, b""):
                return client
            client.writer.close()


async def measure(messages: int) -> list[Cost]:
    """Measures each direction and chunk size in turn, over one connection."""
    server, discovery = await listen(Stub().serve), await listen(silent)
    port = free_port()
    costs = []
    with running_node(node_file(port, server, discovery)) as node:
        client = await connected(port)
        for direction in ("request", "answer"):
            for chunk_bytes in CHUNK_SIZES:
                body = chunked(chunk_bytes) if direction == "request" else b""
                for number in range(WARM_UP_MESSAGES + messages):
                    if number == WARM_UP_MESSAGES:
                        before = times_us(node.pid)
                    async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                        if not await client.ask(direction, chunk_bytes, body):
                            raise SystemExit(
                                f"a message was not served: {direction}, chunks of {chunk_bytes} bytes"
                            )
                after = times_us(node.pid)
                user, system = (
                    (late - early) / messages
                    for late, early in zip(after, before, strict=True)
                )
                costs.append(Cost(direction, chunk_bytes, user, system))
    return costs


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--messages", type=int, default=100)
    parser.add_argument("--json", action="store_true")
    wish = parser.parse_args()
    costs = asyncio.run(measure(wish.messages))
    if wish.json:
        print(json.dumps([cost._asdict() for cost in costs]))
        return
    print("direction  chunk bytes  user us  system us")
    for cost in costs:
        print(
            f"{cost.direction:9}  {cost.chunk_bytes:11}  {cost.user_us:7.0f}  {cost.system_us:9.0f}"
        )


if __name__ == "__main__":
    main()
