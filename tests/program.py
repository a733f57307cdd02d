"""The real program as a separate process, with peers that a test scripts byte by byte.

Peers act at a given byte or event, never by sleeping. `Peer` gives a test the far end of a connection, and
`Program` starts, signals and stops the node. `loopback.Bench` runs a node in the test's own event loop
instead.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from loopback import PATIENCE, Client, Discovery, settings

# Second words of lines that may come at any time; "log lines omitted" follows many of them.
REASON_LINES = (b"refused", b"closed", b"retried", b"log")
HELD: list[socket.socket] = []
RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, with 0 s: a close resets the connection


def node_table(
    discovery: int, given: dict, listen: str = "127.0.0.1:0", *servers: dict
) -> dict:
    known = {"version": 1, "full": True, "servers": list(servers)}
    table = {
        "name": "n0",
        "listen": listen,
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1f",
    }
    return table | {"limits": {"sockets": 256}, "known": known, "settings": given}


def free_port() -> int:
    """A port reserved for this test: the bound socket keeps other tests off, but a node may listen there."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    HELD.append(s)
    return s.getsockname()[1]


async def connected(client: Client) -> None:
    """Connects as soon as the node listens."""
    while True:
        try:
            await client.open()
            return
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


async def spawn(
    tmp_path, table: dict, environ: dict | None = None, fd: int | None = None
) -> asyncio.subprocess.Process:
    """Starts a node as a separate process, which inherits `fd` as its listening socket for clients."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(table))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loadbalancer",
        env=os.environ | {"LB_CONFIG": str(file)} | (environ or {}),
        stderr=asyncio.subprocess.PIPE,
        pass_fds=() if fd is None else (fd,),
    )


async def log_line(process: asyncio.subprocess.Process) -> bytes:
    """The next line of a node's log that tells no reason of a refusal, a close or a retry."""
    while line := await asyncio.wait_for(process.stderr.readline(), PATIENCE):
        if line.split(b" ")[1] not in REASON_LINES:
            break
    return line


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, discarding bytes that it still holds."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET
    )
    writer.transport.abort()


class Peer:
    """The far end of one connection that the program made, controlled by a test."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    async def read_until(self, mark: bytes) -> bytes:
        """Reads up to and including the mark."""
        return await asyncio.wait_for(self.reader.readuntil(mark), PATIENCE)

    async def read_exactly(self, count: int) -> bytes:
        return await asyncio.wait_for(self.reader.readexactly(count), PATIENCE)

    async def ended(self) -> bytes:
        """Reads until the program closes the connection; a reset counts as the end."""
        with suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), PATIENCE)
        return b""

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def half_close(self) -> None:
        """Closes the sending side; receiving continues."""
        self.writer.write_eof()

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        reset(self.writer)


class Door:
    """A listener without behaviour of its own: a test controls each connection as a `Peer`."""

    async def start(self) -> Door:
        self.peers: asyncio.Queue[Peer] = asyncio.Queue()
        self.taken = 0
        self.server = await asyncio.start_server(self.take, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.taken += 1
        self.peers.put_nowait(Peer(reader, writer))

    async def peer(self) -> Peer:
        """Waits for the next connection."""
        return await asyncio.wait_for(self.peers.get(), PATIENCE)

    def entry(self, name: str, state: str = "ready", **changes: Any) -> dict[str, Any]:
        """Its entry in the endpoint list."""
        line = {
            "id": name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "here",
            "kind": "std",
            "cell": 0,
        }
        return line | {"state": state, "weight": 1.0, "started_ms": 0} | changes


class Program:
    """One real node process, with `entries` as its known endpoint list."""

    def __init__(
        self,
        folder: Path,
        *entries: dict[str, Any],
        config: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.entries = entries
        self.config = config or {}
        self.discovery = Discovery()

    async def start(self, ready: bool = True, **changes: Any) -> Program:
        """Starts the process, and waits until it is ready if `ready` is set."""
        if not hasattr(self.discovery, "port"):
            await self.discovery.start()
        self.port = free_port()
        self.table = node_table(
            self.discovery.port,
            settings(**changes),
            f"127.0.0.1:{self.port}",
            *self.entries,
        )
        self.table |= self.config
        self.process = await spawn(self.folder, self.table)
        if ready:
            await self.ready()
        return self

    async def ready(self) -> None:
        """Waits until `/ready` answers 200."""
        while True:
            await connected(client := Client(self.port))
            status, _, _ = await client.ask(
                b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"
            )
            client.writer.close()
            if status == 200:
                return
            await asyncio.sleep(0.01)

    async def client(self) -> Client:
        return await Client(self.port).open()

    def term(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def reload(self, **changes: Any) -> None:
        """Rewrites the configuration file with these changes, and sends SIGHUP."""
        self.table |= changes
        (self.folder / "config.json").write_text(json.dumps(self.table))
        self.process.send_signal(signal.SIGHUP)

    async def exit(self) -> int:
        """Waits for the process to exit, and returns its status."""
        return await asyncio.wait_for(self.process.wait(), PATIENCE)

    async def stop(self) -> None:
        """Kills the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def descriptors(self) -> int:
        """Number of file descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
