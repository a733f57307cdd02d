"""What a node's decisions and care cost: its requests a second on one core against a bare relay's.

The relay is as fast as a proxy of this kind can be here: the same event loop and HTTP parser, pooled
connections, no decisions, no limits, no time-outs. Both forward the same requests from the same clients to
the same servers, on the same core, by turns in one run, so that the machine's mood meets both alike.

Roles run in processes of their own: `python -m loadbalancer.lab.overhead ROLE ...`.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from time import monotonic, sleep
from typing import ClassVar, cast

import httptools
import uvloop

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.ports import ReservedPorts

PACKAGES = Path(__file__).parents[2]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SERVERS = 2  # of each of the two processes of servers
ASKERS = 3  # processes of clients: one alone is slower than the relay
READY_TIME = 15.0
WARM_UP = 1.0  # seconds before a turn is counted


@dataclass(frozen=True)
class Turn:
    """One turn of one of the two."""

    answers: int
    refused: int
    seconds: float
    cpu: float  # seconds of the proxy's own process

    @property
    def rate(self) -> float:
        return self.answers / self.seconds

    @property
    def per_cpu(self) -> float:
        """Answers for each second of processor time."""
        return self.answers / self.cpu if self.cpu > 0 else 0.0


@dataclass(frozen=True)
class Overhead:
    """All turns, and the ratios of the pairs."""

    node: list[Turn]
    relay: list[Turn]

    @property
    def ratios(self) -> list[float]:
        return [n.rate / r.rate for n, r in zip(self.node, self.relay, strict=True)]

    def summary(self) -> dict[str, float]:
        """Medians, and the spread of the ratio."""
        relay = median(
            t.per_cpu for t in self.relay
        )  # 0 where turns are too short for the clock of its time
        return {
            "node_rps": median(t.rate for t in self.node),
            "relay_rps": median(t.rate for t in self.relay),
            "ratio": median(self.ratios),
            "ratio_least": min(self.ratios),
            "ratio_most": max(self.ratios),
            "ratio_per_cpu": median(t.per_cpu for t in self.node) / relay
            if relay
            else 0.0,
            "node_cpu": median(t.cpu / t.seconds for t in self.node),
            "relay_cpu": median(t.cpu / t.seconds for t in self.relay),
            "refused": float(sum(t.refused for t in self.node)),
        }


# ---- roles ---------------------------------------------------------------------------------------------


class Stub(asyncio.Protocol):
    """A server that answers each request at once. Requests have no body, so a blank line ends one."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(OK * data.count(b"\r\n\r\n"))


class Upstream(asyncio.Protocol):
    """The relay's connection to a server."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.client: Downstream | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        lines = b"".join(b"%b: %b\r\n" % pair for pair in self.headers)
        client, self.client = self.client, None
        if client is not None and not client.transport.is_closing():
            client.transport.write(
                b"HTTP/1.1 %d OK\r\n%b\r\n%b"
                % (self.parser.get_status_code(), lines, self.body)
            )
        self.headers, self.body = [], b""
        self.parser = httptools.HttpResponseParser(self)
        self.relay.free.append(self)


class Downstream(asyncio.Protocol):
    """A client's connection to the relay."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.url = b""

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_message_complete(self) -> None:
        lines = b"".join(b"%b: %b\r\n" % pair for pair in self.headers)
        data = b"%b %b HTTP/1.1\r\n%b\r\n" % (self.parser.get_method(), self.url, lines)
        self.headers, self.url = [], b""
        self.relay.send(self, data)


class Relay:
    """Forwards each request on any idle connection to the servers, dealt out in turn when opened."""

    def __init__(self, servers: list[tuple[str, int]]) -> None:
        self.servers = servers
        self.opened = 0
        self.free: list[Upstream] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, client: Downstream, data: bytes) -> None:
        if self.free:
            self.write(self.free.pop(), client, data)
            return
        task = asyncio.get_running_loop().create_task(self.open(client, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, client: Downstream, data: bytes) -> None:
        address = self.servers[self.opened % len(self.servers)]
        self.opened += 1
        _, upstream = await asyncio.get_running_loop().create_connection(
            lambda: Upstream(self), *address
        )
        self.write(upstream, client, data)

    def write(self, upstream: Upstream, client: Downstream, data: bytes) -> None:
        upstream.client = client
        upstream.transport.write(data)


class Asker(asyncio.Protocol):
    """A client that asks again as soon as it is answered."""

    made = 0

    def __init__(self, count: list[int]) -> None:
        self.count = count  # answers, refusals
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        Asker.made += 1
        self.transport.write(
            b"GET /look HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %x%08x\r\nX-Budget-Ms: 5000\r\n\r\n"
            % (os.getpid(), Asker.made)
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, blank, body = self.buffer.partition(b"\r\n\r\n")
        if not blank:
            return
        size = (
            head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0].strip()
        )
        if len(body) < int(size or 0):
            return
        self.count[0 if head[9:12] == b"200" else 1] += 1
        self.buffer = b""
        self.ask()


async def serve_stub(port_told: Callable[[list[int]], None]) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Stub, "127.0.0.1", 0) for _ in range(SERVERS)]
    port_told([s.sockets[0].getsockname()[1] for s in servers])
    await asyncio.Event().wait()


async def serve_relay(ports: list[int], port_told: Callable[[list[int]], None]) -> None:
    loop = asyncio.get_running_loop()
    relay = Relay([("127.0.0.1", p) for p in ports])
    server = await loop.create_server(lambda: Downstream(relay), "127.0.0.1", 0)
    port_told([server.sockets[0].getsockname()[1]])
    await asyncio.Event().wait()


async def ask_for(port: int, connections: int, seconds: float) -> dict[str, float]:
    """Asks for so long, after a warm-up, and counts."""
    loop = asyncio.get_running_loop()
    count = [0, 0]
    for _ in range(connections):
        await loop.create_connection(lambda: Asker(count), "127.0.0.1", port)
    await asyncio.sleep(WARM_UP)
    before, began = list(count), monotonic()
    print("counting", flush=True)
    await asyncio.sleep(seconds)
    return {
        "answers": count[0] - before[0],
        "refused": count[1] - before[1],
        "seconds": monotonic() - began,
    }


def role(arguments: list[str]) -> int:
    """One of the processes."""

    def told(ports: list[int]) -> None:
        print(json.dumps(ports), flush=True)

    name, *rest = arguments
    if name == "stub":
        uvloop.run(serve_stub(told))
    elif name == "relay":
        uvloop.run(serve_relay([int(p) for p in rest], told))
    else:
        print(
            json.dumps(uvloop.run(ask_for(int(rest[0]), int(rest[1]), float(rest[2])))),
            flush=True,
        )
    return 0


# ---- the measurement -----------------------------------------------------------------------------------


@contextmanager
def started(
    arguments: list[str], cores: list[int], environment: dict[str, str] | None = None
) -> Iterator[subprocess.Popen[str]]:
    """A process of this program on these cores; it is ended when the block is left."""
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL
        if environment
        else None,  # the node's log is not what is looked at here
        text=True,
        env={**os.environ, "PYTHONPATH": str(PACKAGES), **(environment or {})},
    )
    os.sched_setaffinity(process.pid, cores)
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


class MeasureError(LoadBalancerError, OSError):
    """A measurement one of whose processes ended or never listened."""

    remedy: ClassVar[str] = (
        "leave at least three cores and 500 free ports to the measurement, and repeat it"
    )


def words(process: subprocess.Popen[str]) -> str:
    """The next line that a role says; a MeasureError if it has ended instead."""
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise MeasureError(
            f"a process of the measurement ended with status {process.wait()}"
        )
    return line


def ports_of(process: subprocess.Popen[str]) -> list[int]:
    """The ports that a role has told."""
    ports: list[int] = json.loads(words(process))
    return ports


def cpu_of(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def node_table(ports: list[int], listen: int, discovery: int) -> dict[str, object]:
    """The configuration of the node that is measured: one safe class, servers that are warm."""
    servers = [
        {"id": f"s{i}", "addr": f"127.0.0.1:{p}", "state": "ready"}
        for i, p in enumerate(ports)
    ]
    return {
        "name": "overhead",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1f",
        "limits": {"memory_mb": 256, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": {
            "classes": [
                {
                    "name": "look",
                    "effect": "free",
                    "goal_time": 2_000_000,
                    "hard_limit": 5_000_000,
                    "worth": 1.0,
                }
            ],
            "group_size": 1,
            "tick": 1000,
            "layers": ["front"],
            "policy_limits": {"max_attempts": 3, "cancel": True, "retry_after": True},
            "rules": {
                "cold": 0,
                "start_capacity": 1.0,
                "fall_multiple": 0,
                "tip_after": 0,
            },
        },
    }


def wait_for(port: int, process: subprocess.Popen[str]) -> None:
    """Waits until something listens there."""
    end = monotonic() + READY_TIME
    while monotonic() < end:
        with socket.socket() as s:
            if s.connect_ex(("127.0.0.1", port)) == 0:
                return
        if process.poll() is not None:
            break
        sleep(0.05)
    raise MeasureError(f"nothing listens on port {port}")


def one_turn(
    port: int,
    proxy: subprocess.Popen[str],
    connections: int,
    seconds: float,
    cores: list[int],
) -> Turn:
    """Lets clients ask one of the two for so long."""
    share = max(1, connections // ASKERS)
    ask = [
        "-m",
        "loadbalancer.lab.overhead",
        "ask",
        str(port),
        str(share),
        str(seconds),
    ]
    with ExitStack() as stack:
        askers = [stack.enter_context(started(ask, cores)) for _ in range(ASKERS)]
        for asker in askers:
            words(asker)  # it counts from now on
        before, began = cpu_of(proxy.pid), monotonic()
        told = [json.loads(words(asker)) for asker in askers]
        used = (cpu_of(proxy.pid) - before) / (monotonic() - began)
    lasted = sum(t["seconds"] for t in told) / ASKERS
    return Turn(
        sum(int(t["answers"]) for t in told),
        sum(int(t["refused"]) for t in told),
        lasted,
        used * lasted,
    )


def measure(
    rounds: int,
    seconds: float,
    connections: int,
    told: Callable[[int, Turn, Turn], None] | None = None,
) -> Overhead:
    """Measures node and relay by turns; which of them begins changes from round to round."""
    cores = sorted(os.sched_getaffinity(0))
    proxy_core = [cores[-1]]
    stub_cores = cores[-3:-1] or cores
    asker_cores = cores[:-3] or cores
    stub = ["-m", "loadbalancer.lab.overhead", "stub"]
    nodes: list[Turn] = []
    relays: list[Turn] = []
    with (
        tempfile.TemporaryDirectory(prefix="lab-") as folder,
        ReservedPorts() as reserved,
        started(stub, stub_cores) as first,
        started(stub, stub_cores) as second,
    ):
        ports = ports_of(first) + ports_of(second)
        listen, discovery = reserved.reserve_many(2)
        config = Path(folder) / "node.json"
        config.write_text(json.dumps(node_table(ports, listen, discovery)))
        relay_arguments = ["-m", "loadbalancer.lab.overhead", "relay", *map(str, ports)]
        environment = {"LB_CONFIG": str(config), "TMPDIR": folder}
        with (
            started(relay_arguments, proxy_core) as relay,
            started(["-m", "loadbalancer"], proxy_core, environment) as node,
        ):
            (relay_port,) = ports_of(relay)
            wait_for(listen, node)
            for i in range(rounds):
                pair = [(listen, node, nodes), (relay_port, relay, relays)]
                for port, process, turns in pair if i % 2 == 0 else reversed(pair):
                    turns.append(
                        one_turn(port, process, connections, seconds, asker_cores)
                    )
                if told is not None:
                    told(i, nodes[-1], relays[-1])
    return Overhead(nodes, relays)


if __name__ == "__main__":
    sys.exit(role(sys.argv[1:]))
