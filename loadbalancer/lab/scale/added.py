"""What a node adds to a call: the same arrivals played direct, through a bare relay and through nodes.

    python -m loadbalancer.lab.scale.added --rate 393 --seconds 20 --seeds 1-3 --out added-time.json

* An open loop: calls start at the moments of a Poisson process, drawn by the seed, whether or not earlier
  ones were answered, and a call's time runs from the moment at which it was due. So a stall of the path, or
  of the load, is in the figure of each call that was due in it (no coordinated omission).
* Paired: time goes in blocks of 25 ms. A block's arrivals are the same on each path; the
  paths play it one after the other, in an order drawn anew for each block, so that the machine's mood meets
  all alike.
* What is told is the difference of the paths' quantiles, with an interval by bootstrap over blocks: a block
  is drawn for all paths at once, and whole, since calls of one block do not stand apart from each other.
* Others use the machine too. The system counts how long each process could run and had no core. A turn in
  which that, or the load's lateness with a call, is over its bound is left out. The same figures over all
  turns stand beside.
* A virtual machine's host may take a core away for a while, which no process's own count shows: the kernel
  counts it by core (`steal` in `/proc/stat`, by 10 ms). Its share of the turns' time stands with each point.
* How fast a core is changes too, with what its host does on the other half of it: before and after a point a
  process on the path's core does a fixed piece of work (`yard_ms`, processor time). Points compare by it.
* `--depth 14` plays a chain: each of 14 nodes forwards to a service that calls the next node. The direct path
  is the same chain of services without nodes. All stand on the cores of one machine, so each node is asked at
  a rate at which its core is as busy as one node's would be: a chain's cores are shared.
* A run is void, and says why, if its own yardstick is bent: too few blocks are left, or the direct path's
  p99, the load's own lateness, or the share of calls that were refused, lost or had no connection is over
  its bound.

`... added table FILE` prints a file as the page `docs/added-time.md` has it. Roles run in processes of their
own, one core each: `... added load PLAN OUT`, `... added servers SERVICE_MS`, `... added chain TABLE`.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import math
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from time import monotonic, perf_counter_ns, process_time_ns, sleep
from typing import Any, cast
from urllib.request import urlopen

import msgspec
import numpy as np
import uvloop

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.overhead import (
    OK,
    READY_TIME,
    SERVERS,
    Downstream,
    MeasureError,
    Relay,
    node_table,
    ports_of,
    started,
    wait_for,
    words,
)
from loadbalancer.lab.ports import ReservedPorts
from loadbalancer.lab.scale.added_page import PARTS, WHOLE, table_of
from loadbalancer.lab.scale.added_statistics import (
    CONTROL,
    DIRECT,
    FLEET,
    NODE,
    PATHS,
    RELAY,
    TARGET_MS,
    Times,
    Turn,
    arrivals,
    figures_of,
    turns_of,
    void,
)
from loadbalancer.lab.scale.interface import Point, Slopes
from loadbalancer.lab.steal import stolen_ms

DEPTH = 14  # calls below each other, at most
BLOCK = 0.025  # seconds of arrivals that each path plays in turn
CONNECTIONS = 32  # of the load to each path
WARM_UP = 2.0  # seconds that each path is played, uncounted, before the first block
SPIN_NS = 120_000  # before a call is due the load asks the clock without rest: sleeps end late
DRAIN_NS = 1_000_000_000  # a call without an answer for so long is lost
FLEET_TIME = 120.0  # seconds in which a node has to know a whole fleet
SETTLE = 4.0  # seconds that nodes with control have to find each other
TRIALS = ("freeze", "threshold", "both")  # as `added_within` has them
YARD = 100_000  # steps of the fixed piece of work
MEMBERS = 3  # real nodes beside the one with control


# ---- the servers ---------------------------------------------------------------------------------------


class Server(asyncio.Protocol):
    """Answers each request at once, or after a stated time. Requests have no body: a blank line ends one."""

    def __init__(self, service: float) -> None:
        self.service = service

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        answers = OK * data.count(b"\r\n\r\n")
        if self.service:
            asyncio.get_running_loop().call_later(
                self.service, self.transport.write, answers
            )
        else:
            self.transport.write(answers)


class Chain(msgspec.Struct, frozen=True):
    """A service in the middle of a chain: where it listens, and what it calls for each request."""

    listen: list[int]
    calls: list[int]


async def listen_chain(chains: Sequence[Chain]) -> list[asyncio.Server]:
    """Services that answer with what the service, or node, below them says."""
    loop = asyncio.get_running_loop()
    found = []
    for chain in chains:
        relay = Relay([("127.0.0.1", port) for port in chain.calls])
        for port in chain.listen:
            found.append(
                await loop.create_server(partial(Downstream, relay), "127.0.0.1", port)
            )
    return found


async def serve_chain(chains: Sequence[Chain]) -> None:
    await listen_chain(chains)
    print("[]", flush=True)
    gc.collect()
    gc.freeze()
    await asyncio.Event().wait()


async def serve(service: float) -> None:
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(lambda: Server(service), "127.0.0.1", 0)
        for _ in range(2 * SERVERS)
    ]
    print(json.dumps([s.sockets[0].getsockname()[1] for s in servers]), flush=True)
    gc.collect()
    gc.freeze()
    await asyncio.Event().wait()


# ---- the load ------------------------------------------------------------------------------------------


class Target(msgspec.Struct, frozen=True):
    """A path as the load knows it."""

    path: str
    ports: list[int]  # connections are dealt out to these in turn
    pid: int = 0  # whose processor time is read; 0: nobody's
    cores: list[int] = []  # that the path's own processes stand on


class Plan(msgspec.Struct, frozen=True):
    """What the load plays."""

    targets: list[Target]
    servers: int  # their process
    rate: float
    seed: int
    blocks: int
    block_s: float = BLOCK
    warm_s: float = WARM_UP
    connections: int = CONNECTIONS
    cores: list[int] = []  # of load and servers
    # The path's processes share cores, and wait for each other by right
    chain: bool = False


class Wire(msgspec.Struct, array_like=True):
    """A `Turn` on its way from the load."""

    block: int
    path: str
    latency: list[float]
    late: list[float]
    refused: int
    cpu: float
    seconds: float
    waited: float
    stolen: float

    def turn(self) -> Turn:
        return Turn(
            self.block, self.path, np.array(self.latency), np.array(self.late), self.refused, self.cpu,
            self.seconds, self.waited, self.stolen,
        )  # fmt: skip


class Connection:
    """One connection kept alive, with one call at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.call = -1
        self.open()

    def open(self) -> None:
        self.socket = socket.create_connection(("127.0.0.1", self.port), READY_TIME)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.buffer = b""

    def fileno(self) -> int:
        return self.socket.fileno()

    def send(self, data: bytes) -> bool:
        try:
            return self.socket.send(data) == len(data)
        except OSError:
            return False

    def status(self) -> int | None:
        """Of the answer, once it is whole; 0 if there will be none."""
        try:
            data = self.socket.recv(65536)
        except BlockingIOError:
            return None
        except OSError:
            return 0
        if not data:
            return 0
        self.buffer += data
        head, blank, body = self.buffer.partition(b"\r\n\r\n")
        if not blank:
            return None
        size = (
            head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0].strip()
        )
        if len(body) < int(size or 0):
            return None
        self.buffer = b""
        return int(head[9:12])

    def renew(self) -> None:
        self.socket.close()
        self.open()


class Load:
    """Plays blocks on paths, from one thread that waits for nothing but the clock and answers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.free = {
            t.path: deque(
                Connection(t.ports[i % len(t.ports)]) for i in range(plan.connections)
            )
            for t in plan.targets
        }
        self.pids = {t.path: t.pid for t in plan.targets}
        self.cores = {t.path: {*plan.cores, *t.cores} for t in plan.targets}
        self.asked = 0

    def request(self) -> bytes:
        self.asked += 1
        return (
            b"GET /look HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %x-%x\r\nX-Budget-Ms: 5000\r\n\r\n"
            % (
                os.getpid(),
                self.asked,
            )
        )

    def turn(self, path: str, block: int, due: Times) -> Turn:
        """One path's turn at one block."""
        free, clock, number = self.free[path], perf_counter_ns, len(due)
        at = (due * 1e9).astype(np.int64)
        latency, late = np.full(number, np.nan), np.full(number, np.nan)
        busy: list[Connection] = []
        waiting: deque[int] = deque()  # calls that are due and have no connection
        refused = i = 0
        others = () if self.plan.chain else (self.pids[path], self.plan.servers)
        watched = [p for p in (*others, os.getpid()) if p]
        taken = stolen_ms(self.cores[path])
        before, began = [scheduled(p) for p in watched], clock()
        start = began - int(at[0] if number else 0) + 2_000_000
        moments = [int(a) + start for a in at]
        end = (moments[-1] if moments else began) + DRAIN_NS

        def send(call: int, connection: Connection) -> None:
            connection.call = call
            if not connection.send(self.request()):
                connection.renew()
                connection.send(self.request())
            busy.append(connection)

        while i < number or busy or waiting:
            now = clock()
            while i < number and now >= moments[i]:
                if free:
                    late[i] = (now - moments[i]) / 1e6
                    send(i, free.popleft())
                else:
                    waiting.append(i)
                i += 1
                now = clock()
            if now >= end:
                break
            gap = (moments[i] if i < number else end) - now - SPIN_NS
            ready, _, _ = select.select(busy, (), (), max(0, gap) / 1e9)
            for connection in ready:
                status = connection.status()
                if status is None:
                    continue
                if status:
                    latency[connection.call] = (
                        clock() - moments[connection.call]
                    ) / 1e6
                    refused += status != 200
                else:
                    connection.renew()
                busy.remove(connection)
                if waiting:
                    send(waiting.popleft(), connection)
                else:
                    free.append(connection)
        seconds = (clock() - began) / 1e9
        after = [scheduled(p) for p in watched]
        cpu = (
            (after[0][0] - before[0][0]) / 1e9
            if self.pids[path] and not self.plan.chain
            else 0.0
        )
        waited = max(a[1] - b[1] for a, b in zip(after, before, strict=True)) / 1e6
        taken = stolen_ms(self.cores[path]) - taken
        for connection in busy:  # their calls are lost
            connection.renew()
            free.append(connection)
        counted = due >= 0
        return Turn(
            block,
            path,
            latency[counted],
            late[counted],
            refused,
            cpu,
            seconds,
            waited,
            taken,
        )

    def play(self) -> Iterator[Turn]:
        """All of the plan."""
        plan, paths = self.plan, [t.path for t in self.plan.targets]
        for path in paths:
            self.turn(path, -1, arrivals(plan.rate, plan.warm_s, plan.seed, 1 << 20))
        gc.collect()
        gc.freeze()
        gc.disable()
        for block in range(plan.blocks):
            due = arrivals(plan.rate, plan.block_s, plan.seed, block)
            for path in turns_of(paths, plan.seed, block):
                yield self.turn(path, block, due)


def scheduled(pid: int) -> tuple[int, int]:
    """Nanoseconds for which a process has run, and for which it could have and had no core; 0 where the
    system does not count.
    """
    try:
        ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
        return int(ran), int(waited)
    except (OSError, ValueError):
        return 0, 0


def play_load(plan: str, out: str) -> None:
    """The load's process."""
    load = Load(msgspec.json.decode(Path(plan).read_bytes(), type=Plan))
    turns = [
        Wire(
            t.block,
            t.path,
            t.latency.tolist(),
            t.late.tolist(),
            t.refused,
            t.cpu,
            t.seconds,
            t.waited,
            t.stolen,
        )  # fmt: skip
        for t in load.play()
    ]
    Path(out).write_bytes(msgspec.msgpack.encode(turns))
    print("played", flush=True)


def yard() -> float:
    """Milliseconds of processor time that a fixed piece of work takes on this core: the middle of nine."""

    def once() -> float:
        began, x = process_time_ns(), 0
        for i in range(YARD):
            x += i * i % 7
        return (process_time_ns() - began) / 1e6

    return float(np.median([once() for _ in range(9)]))


# ---- a run ---------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Wish:
    """What is to be measured."""

    rates: tuple[float, ...]
    seeds: tuple[int, ...]
    seconds: float  # that each path is played at each rate
    service_ms: float = 0.0
    paths: tuple[str, ...] = (DIRECT, RELAY, NODE)
    members: int = MEMBERS
    block_s: float = BLOCK
    fleet: int = 0  # members, with the node itself
    # A second that the fleet's members write anew; 0: a fleet at rest
    words: float = 0.0
    trial: str = ""  # what is tried instead of the node's ordinary collector, while it is watched
    watch: bool = False  # take the time of the callbacks of the node in the fleet
    warm_s: float = WARM_UP
    depth: int = 1  # nodes in a chain, one below the other

    def check(self) -> str:
        """What is wrong with it; empty if nothing is."""
        if not self.rates or any(not 1 <= r <= 5000 for r in self.rates):
            return "--rate: from 1 to 5000 calls a second, by commas"
        if not self.seeds or any(s < 0 for s in self.seeds):
            return "--seeds: numbers such as 1-3 or 1,4,7"
        if not 1 <= self.seconds <= 600:
            return "--seconds: from 1 to 600 for each path at each rate"
        if not 0.02 <= self.block_s <= self.seconds:
            return "--block: from 0.02 s to --seconds"
        if not 0.1 <= self.warm_s <= 60:
            return "--warm: from 0.1 to 60 s"
        if not 0 <= self.service_ms <= 1000:
            return "--service-ms: from 0 to 1000"
        if DIRECT not in self.paths or len(self.paths) < 2:
            return "--paths: direct, and at least one to hold against it"
        unknown = [p for p in self.paths if p not in PATHS]
        if unknown or len(set(self.paths)) < len(self.paths):
            return f"--paths: each once, of {', '.join(PATHS)}"
        if not 2 <= self.members <= 12:
            return "--members: from 2 to 12 real nodes beside the one with control"
        if (FLEET in self.paths) != bool(self.fleet) or (
            self.fleet and not 8 <= self.fleet <= 10_000
        ):
            return "--fleet: from 8 to 10000 members, where --paths has fleet, and only there"
        if (self.watch and not self.fleet) or (
            self.fleet and len(self.rates) * len(self.seeds) > 1
        ):
            return "--fleet: one rate and one seed in a run; --watch: the node in the fleet only"
        if self.trial and self.trial not in TRIALS:
            return f"--trial: one of {', '.join(TRIALS)}"
        if not 1 <= self.depth <= DEPTH:
            return f"--depth: from 1 to {DEPTH} nodes below each other"
        if self.depth > 1 and set(self.paths) != {DIRECT, NODE}:
            return f"--depth: with --paths {DIRECT},{NODE}; a chain has no other path"
        if not 0 <= self.words <= 1000:
            return "--words: from 0 to 1000 a second"
        return ""


def quiet_cores(wanted: int) -> list[int]:
    """The cores with the least to do in a fifth of a second; all of them where there are too few."""

    def busy() -> dict[int, int]:
        found = {}
        for line in Path("/proc/stat").read_text().splitlines():
            name, *counts = line.split()
            if name.startswith("cpu") and name != "cpu":
                found[int(name[3:])] = (
                    sum(map(int, counts)) - int(counts[3]) - int(counts[4])
                )
        return found

    allowed = os.sched_getaffinity(0)
    before = busy()
    sleep(0.2)
    after = busy()
    by_use = sorted(allowed, key=lambda c: (after.get(c, 0) - before.get(c, 0), c))
    return [by_use[i % len(by_use)] for i in range(wanted)]


def operators_file(listen: int, seeds: Sequence[int], electors: Sequence[str]) -> str:
    """Control on: membership, records, audit and freeze."""
    return (
        f'[membership]\nlisten = "127.0.0.1:{listen}"\n'
        f"seeds = {json.dumps([f'127.0.0.1:{s}' for s in seeds])}\n"
        '[audit]\nnumbering = "lab"\n'
        f"[freeze]\nelectors = {json.dumps(list(electors))}\n"
    )


def with_peers(table: dict[str, Any], name: str) -> dict[str, Any]:
    """A node's configuration that allows the talk between nodes."""
    settings = table["settings"]
    limits = settings["policy_limits"] | {"peers": True}
    return table | {"name": name, "settings": settings | {"policy_limits": limits}}


class Stage:
    """The processes of a run. One core each: the load, the servers, relay and node, the node with control."""

    def __init__(self, wish: Wish, stack: ExitStack) -> None:
        self.wish, self.stack = wish, stack
        self.reserved = stack.enter_context(ReservedPorts())
        self.folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="lab-"))
        )
        wanted = 3 + (CONTROL in wish.paths) + (FLEET in wish.paths)
        self.load_core, self.servers_core, self.proxy_core, *rest = quiet_cores(wanted)
        self.control_core = rest[0] if rest else self.proxy_core
        self.fleet_core = rest[-1] if rest else self.proxy_core
        mine = {self.load_core, self.servers_core, self.proxy_core, *rest}
        self.others = sorted(os.sched_getaffinity(0) - mine) or sorted(
            os.sched_getaffinity(0)
        )
        self.servers = self.start(["servers", str(wish.service_ms)], self.servers_core)
        self.ports = ports_of(self.servers)
        self.watched: subprocess.Popen[str] | None = None
        if wish.depth > 1:
            self.targets = self.in_chain(wish.depth)
            return
        self.targets = [Target(DIRECT, self.ports)]
        if RELAY in wish.paths:
            arguments = [
                "-m",
                "loadbalancer.lab.overhead",
                "relay",
                *map(str, self.ports),
            ]
            relay = stack.enter_context(started(arguments, [self.proxy_core]))
            self.targets.append(
                Target(RELAY, ports_of(relay), relay.pid, [self.proxy_core])
            )
        if NODE in wish.paths:
            port, process = self.node(NODE, [self.proxy_core], None)
            self.targets.append(Target(NODE, [port], process.pid, [self.proxy_core]))
        if CONTROL in wish.paths:
            self.with_control()
        if FLEET in wish.paths:
            self.in_fleet()

    def start(self, arguments: list[str], core: int) -> subprocess.Popen[str]:
        return self.stack.enter_context(
            started(["-m", "loadbalancer.lab.scale.added", *arguments], [core])
        )

    def node(
        self,
        name: str,
        cores: list[int],
        operators: str | None,
        control: int = 0,
        program: Sequence[str] = ("-m", "loadbalancer"),
        listen: int = 0,
        servers: Sequence[int] = (),
    ) -> tuple[int, subprocess.Popen[str]]:
        """A real node, and where it listens."""
        listen = listen or self.reserved.reserve()
        discovery = self.reserved.reserve()
        table = node_table(list(servers) or self.ports, listen, discovery)
        environment = {
            "LB_CONFIG": str(self.folder / f"{name}.json"),
            "TMPDIR": str(self.folder),
        }
        if operators is not None:
            table = with_peers(table, name)
            environment["LB_OPERATOR"] = str(self.folder / f"{name}.toml")
            Path(environment["LB_OPERATOR"]).write_text(operators)
        if control:
            environment["LB_CONTROL"] = f"127.0.0.1:{control}"
        Path(environment["LB_CONFIG"]).write_text(json.dumps(table))
        process = self.stack.enter_context(started(list(program), cores, environment))
        wait_for(listen, process)
        return listen, process

    def in_chain(self, depth: int) -> list[Target]:
        """So many nodes below each other, with a service between each two, and the services without nodes.

        The services between share two cores, the nodes those that nobody else has.
        """
        reserve = self.reserved.reserve_many
        between = [reserve(2 * SERVERS) for _ in range(depth - 1)]
        alone = [reserve(2 * SERVERS) for _ in range(depth - 1)]
        nodes = reserve(depth)
        chains = [Chain(listen, [nodes[i + 1]]) for i, listen in enumerate(between)]
        chains += [
            Chain(listen, below)
            for listen, below in zip(alone, [*alone[1:], self.ports], strict=True)
        ]
        cores = [self.proxy_core, self.others[0]]
        rest = self.others[1:] or self.others
        for i, core in enumerate(
            cores
        ):  # neighbours of a chain stand on two cores by turns
            table = msgspec.json.encode(chains[i::2]).decode()
            ports_of(self.start(["chain", table], core))
        for i in range(depth - 1, -1, -1):
            below = between[i] if i < depth - 1 else self.ports
            self.node(
                f"{NODE}{i}",
                [rest[i % len(rest)]],
                None,
                listen=nodes[i],
                servers=below,
            )
        return [
            Target(DIRECT, alone[0], 0, cores),
            Target(NODE, [nodes[0]], 0, [*cores, *rest]),
        ]

    def with_control(self) -> None:
        """A node with control on, and real members of its fleet on the cores that nobody else here has."""
        ports = self.reserved.reserve_many(self.wish.members + 1)
        names = [CONTROL, *(f"member{i}" for i in range(1, self.wish.members + 1))]
        electors = names[:3]
        for i in range(len(names) - 1, -1, -1):
            text = operators_file(
                ports[i], [p for p in ports[:2] if p != ports[i]], electors
            )
            listen, process = self.node(
                names[i], [self.control_core] if i == 0 else self.others, text
            )
        self.targets.append(Target(CONTROL, [listen], process.pid, [self.control_core]))
        sleep(SETTLE)

    def in_fleet(self) -> None:
        """A node with control on that knows a large fleet, which one process stands in for."""
        here, there, control = self.reserved.reserve_many(3)
        size, within = self.wish.fleet, "loadbalancer.lab.scale.added_within"
        arguments = [
            "-m",
            within,
            "fleet",
            str(size),
            str(there),
            str(here),
            str(self.wish.words),
        ]
        fleet = self.stack.enter_context(started(arguments, self.others))
        words(fleet)
        text = operators_file(here, [there], [f"m{i:05}" for i in range(1, 4)])
        watched = ("-m", within, "node", str(self.folder / "holds"), self.wish.trial)
        program = watched if self.wish.watch else ("-m", "loadbalancer")
        listen, process = self.node(FLEET, [self.fleet_core], text, control, program)
        end = monotonic() + FLEET_TIME
        while not knows(control, size):
            if (
                process.poll() is not None
                or fleet.poll() is not None
                or monotonic() > end
            ):
                raise MeasureError(
                    f"the node did not come to know {size} members in {FLEET_TIME:g} s"
                )
            sleep(0.5)
        assert fleet.stdout is not None
        ready, _, _ = select.select(
            [fleet.stdout.fileno()], (), (), max(0.0, end - monotonic())
        )
        if not ready:
            raise MeasureError(
                f"the node had still news of {size} members to tell after {FLEET_TIME:g} s"
            )
        words(fleet)
        self.targets.append(Target(FLEET, [listen], process.pid, [self.fleet_core]))
        self.watched = process if self.wish.watch else None

    def holds(self) -> dict[str, dict[str, float]]:
        """What has held the loop of the node that is watched, since `play` began, and what is rare."""
        assert self.watched is not None
        out = self.folder / "holds"
        self.watched.send_signal(signal.SIGUSR2)
        end = monotonic() + READY_TIME * 4
        while not out.exists():
            if self.watched.poll() is not None or monotonic() > end:
                raise MeasureError(
                    "the node that is watched did not tell what held its loop"
                )
            sleep(0.1)
        found: dict[str, dict[str, float]] = json.loads(out.read_text())
        return found

    def yard(self) -> float:
        """How fast the core of relay and node is just now."""
        return float(words(self.start(["yard"], self.proxy_core)))

    def play(self, rate: float, seed: int) -> list[Turn]:
        """One point's turns."""
        if self.watched is not None:
            self.watched.send_signal(signal.SIGUSR1)
        blocks = max(1, round(self.wish.seconds / self.wish.block_s))
        chosen = [t for t in self.targets if t.path in self.wish.paths]
        plan = Plan(
            chosen, self.servers.pid, rate, seed, blocks, self.wish.block_s, self.wish.warm_s,
            cores=[self.load_core, self.servers_core], chain=self.wish.depth > 1,
        )  # fmt: skip
        (self.folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        out = self.folder / "turns"
        load = self.start(
            ["load", str(self.folder / "plan.json"), str(out)], self.load_core
        )
        words(load)
        load.wait()
        return [
            w.turn() for w in msgspec.msgpack.decode(out.read_bytes(), type=list[Wire])
        ]


def knows(control: int, size: int) -> bool:
    """Whether a node has all members and their records, by its own figures."""
    try:
        with urlopen(f"http://127.0.0.1:{control}/admin/stats", timeout=5) as answer:
            table = json.load(answer)["membership"]
    except (OSError, ValueError, KeyError):
        return False
    held = table.get("records", {}).get("held", 0)
    return bool(table["states"]["alive"] >= size - 1 and held >= 2 * (size - 1))


def measure(wish: Wish, told: Callable[[Point], None] | None = None) -> list[Point]:
    """All points of a run. A MeasureError if one of its processes ends or never listens."""
    points = []
    with ExitStack() as stack:
        stage = Stage(wish, stack)
        for seed in wish.seeds:
            for rate in wish.rates:
                before, yards = os.getloadavg()[0], [stage.yard()]
                turns = stage.play(rate, seed)
                yards.append(stage.yard())
                if (
                    wish.watch
                ):  # what is watched is slower: its holds are told, and no latency
                    figures, why = flat(stage.holds()), ""
                else:
                    figures = figures_of(turns, wish.paths, seed) | {
                        "depth": float(wish.depth)
                    }
                    if wish.depth > 1:  # of a chain's many processes it is not counted
                        del figures[f"{NODE}_core_percent"]
                    why = void(figures, wish.service_ms)
                figures["service_ms"], figures["others_load"] = (
                    wish.service_ms,
                    round(before, 2),
                )
                figures["rate"], figures["words_per_s"] = rate, wish.words
                figures["yard_ms"] = round(sum(yards) / 2, 3)
                if wish.trial:
                    figures[f"trial of {wish.trial}"] = 1.0
                size = wish.fleet or (wish.depth if wish.depth > 1 else round(rate))
                point = Point(size=size, seed=seed, figures=finite(figures), void=why)
                points.append(point)
                if told is not None:
                    told(point)
    return points


def flat(holds: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """A table of holds as figures."""
    return {
        f"{name}: {figure}": value
        for name, row in holds.items()
        for figure, value in row.items()
    }


def finite(figures: dict[str, float]) -> dict[str, float]:
    """Without those that are no numbers, as where calls were lost: such a point is void."""
    return {name: value for name, value in figures.items() if math.isfinite(value)}


# ---- the command ---------------------------------------------------------------------------------------


def numbers(text: str) -> tuple[int, ...]:
    """`1-3` or `1,4,7`."""
    found: list[int] = []
    for part in text.split(","):
        low, dash, high = part.partition("-")
        found += range(int(low), int(high) + 1) if dash else [int(low)]
    return tuple(found)


def commit() -> str:
    """The text that is measured; `-changed` if it differs from what was committed."""
    root = Path(__file__).parents[3]
    try:
        told = subprocess.run(
            ["git", "describe", "--always", "--dirty=-changed"],
            cwd=root,
            capture_output=True,
            text=True,
        )
    except OSError:
        return "unknown"
    return told.stdout.strip() or "unknown"


def keep(out: Path, name: str, what: str, axis: str, points: list[Point]) -> None:
    """Writes a file of slopes, or adds to the one that is there. A ValueError if that is another's."""
    named = f"benchmarks/slopes/{out.name}"  # where the file ends up, wherever this run writes it
    words_of = [named if word == str(out) else word for word in sys.argv[1:]]
    command = " ".join(["python -m loadbalancer.lab.scale.added", *words_of])
    machine = f"{os.cpu_count()} cores, shared; load average {os.getloadavg()[0]:.1f} at the end"
    if out.exists():
        old = msgspec.json.decode(out.read_bytes(), type=Slopes)
        if (old.name, old.axis) != (name, axis):
            raise ValueError(f"holds {old.name} over {old.axis}")
        points = [*old.points, *points]
        command = (
            old.command
            if command in old.command.split(" && ")
            else f"{old.command} && {command}"
        )
        machine = old.machine if machine in old.machine else f"{old.machine}; {machine}"
        what = old.what
    units = {
        figure: "ms" if figure.endswith(("_ms", "_low", "_high")) else "% of a core"
        for point in points
        for figure in point.figures
        if figure.endswith(("_ms", "_low", "_high", "_percent"))
    }
    slopes = Slopes(
        name=name, what=what, command=command, commit=commit(), date=datetime.now(UTC).date().isoformat(),
        machine=machine, axis=axis, units=units, points=points,
    )  # fmt: skip
    out.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n")


def line(point: Point) -> str:
    """A point for people."""
    f = point.figures
    if f"{WHOLE}: over_percent" in f:
        judged, over = PARTS["audit: judgement"], f[f"{WHOLE}: over_percent"]
        middle, longest = (f.get(f"{judged}: {x}_ms", 0.0) for x in ("p50", "longest"))
        return (
            f"{point.size} members, seed {point.seed}: the audit's judgement holds the loop for"
            f" {middle:.2f} ms, at most {longest:.2f}; {over:.2f} in 100 calls wait for a hold for over"
            f" {TARGET_MS} ms"
        )
    parts = [f"{f.get('rate', point.size):g} calls/s, seed {point.seed}"]
    parts.append(f"direct p99 {f.get('direct_p99_ms', math.inf):.3f} ms")
    for path in PATHS[1:]:
        if f"{path}_added_p99_ms" in f:
            low, high = (
                f.get(f"{path}_added_p99_ms_{end}", math.inf) for end in ("low", "high")
            )
            parts.append(
                f"{path} adds p50 {f[f'{path}_added_p50_ms']:.3f}, p99 {f[f'{path}_added_p99_ms']:.3f}"
                f" ({low:.3f} to {high:.3f}; all turns {f.get(f'{path}_all_p99_ms', math.inf):.3f}),"
                f" {f[f'{path}_blocks']:.0f} of {f['blocks']:.0f} blocks,"
                f" {f.get(f'{path}_core_percent', math.nan):.1f} % of a core"
            )
    parts.append(f"yard {f.get('yard_ms', math.nan):.2f} ms")
    parts.append(
        f"late p99 {f.get('late_p99_ms', math.inf):.3f}, stolen {f.get('stolen_percent', 0.0):.2f} %"
    )
    return "; ".join(parts) + (f"; VOID: {point.void}" if point.void else "")


def parser() -> argparse.ArgumentParser:
    found = argparse.ArgumentParser(
        "loadbalancer.lab.scale.added",
        description="What a node adds to a call, against going direct.",
    )
    found.add_argument(
        "--rate", "--rates", default="393", help="calls a second, by commas"
    )
    found.add_argument(
        "--seconds", type=float, default=20.0, help="for each path at each rate"
    )
    found.add_argument("--seeds", default="1-3")
    found.add_argument(
        "--service-ms",
        type=float,
        default=0.0,
        help="after which servers answer; 0: at once",
    )
    found.add_argument("--paths", default=f"{DIRECT},{RELAY},{NODE}")
    found.add_argument(
        "--members",
        type=int,
        default=MEMBERS,
        help="real nodes beside the one with control",
    )
    found.add_argument(
        "--block", type=float, default=BLOCK, help="seconds of a path's turn"
    )
    found.add_argument(
        "--warm",
        type=float,
        default=WARM_UP,
        help="seconds that a path is played before",
    )
    found.add_argument(
        "--fleet",
        type=int,
        default=0,
        help="members that the node on the path fleet knows",
    )
    found.add_argument(
        "--words", type=float, default=0.0, help="that the fleet writes anew a second"
    )
    found.add_argument(
        "--trial", default="", help=f"of the collector: {', '.join(TRIALS)}; watched"
    )
    found.add_argument(
        "--watch",
        action="store_true",
        help="what holds that node's loop, and for how long",
    )
    found.add_argument(
        "--depth", type=int, default=1, help="nodes in a chain, one below the other"
    )
    found.add_argument("--out", help="a file of slopes; what it holds stays")
    return found


def main(arguments: list[str]) -> int:
    """Status 0: measured, void or not; 2: it could not be."""
    given = parser().parse_args(arguments)
    try:
        wish = Wish(
            tuple(float(r) for r in given.rate.split(",")),
            numbers(given.seeds),
            given.seconds,
            given.service_ms,
            tuple(given.paths.split(",")),
            given.members,
            given.block,
            given.fleet,
            given.words,
            given.trial,
            given.watch or bool(given.trial),
            given.warm,
            given.depth,
        )
        wrong = wish.check()
    except ValueError as e:
        wrong = str(e)
    if wrong:
        print(f"added: {wrong}", file=sys.stderr)
        return 2
    out = Path(given.out) if given.out else None
    what, axis = (WATCHED, "members") if wish.watch else (WHAT, axis_of(wish))

    def told(point: Point) -> None:
        print(line(point), flush=True)
        if out is not None:  # at once: a run that is cut off keeps what it has
            keep(out, out.stem, what, axis, [point])

    try:
        if out is not None and out.exists():
            msgspec.json.decode(out.read_bytes(), type=Slopes)
        measure(wish, told)
    except LoadBalancerError as e:
        print(f"added: {e.line()}", file=sys.stderr)
        return 2
    except (msgspec.DecodeError, ValueError, OSError) as e:
        print(
            f"added: {out}: not a file of slopes to add to: {e}; name another",
            file=sys.stderr,
        )
        return 2
    return 0


def axis_of(wish: Wish) -> str:
    """What a point's size is."""
    return (
        "members"
        if wish.fleet
        else "nodes deep"
        if wish.depth > 1
        else "calls a second"
    )


def print_tables(files: Sequence[str]) -> int:
    """The page's tables, of files of slopes."""
    for name in files:
        try:
            print(table_of(Path(name)))
        except (OSError, msgspec.DecodeError, KeyError) as e:
            print(
                f"added: {name}: not a file of slopes of added time: {e}; name another",
                file=sys.stderr,
            )
            return 2
    return 0


WHAT = (
    "What a path adds to a call: the same Poisson arrivals played direct, through a bare relay and through"
    " nodes, by turns in blocks; differences of quantiles, intervals by bootstrap over blocks"
)


WATCHED = (
    "What holds the loop of a node with control on that knows so many members, at rest, under 393 calls a"
    " second: processor time of its callbacks; one process stands in for the other members"
)


def role(arguments: list[str]) -> int:
    """The command, or one of its processes."""
    if arguments[:1] == ["load"]:
        play_load(*arguments[1:])
    elif arguments[:1] == ["yard"]:
        print(yard(), flush=True)
    elif arguments[:1] == ["chain"]:
        uvloop.run(serve_chain(msgspec.json.decode(arguments[1], type=list[Chain])))
    elif arguments[:1] == ["servers"]:
        uvloop.run(serve(float(arguments[1]) / 1000))
    elif arguments[:1] == ["table"]:
        return print_tables(arguments[1:])
    else:
        return main(arguments)
    return 0


if __name__ == "__main__":
    sys.exit(role(sys.argv[1:]))
