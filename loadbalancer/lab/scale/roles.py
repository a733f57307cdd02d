"""What hangs on a role or on the process: the freeze's coordinator and holder, a datagram, the server list,
and real processes with the parts on one by one.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from random import Random
from time import monotonic, process_time_ns, sleep
from typing import Any, ClassVar
from urllib.error import URLError
from urllib.parse import parse_qs, urlsplit
from urllib.request import urlopen

import uvloop

from loadbalancer.errors import LoadBalancerError
from loadbalancer.freeze.messages import INITIAL_VERSION, IncidentList, encode
from loadbalancer.lab.freeze import World as FreezeWorld
from loadbalancer.lab.ports import ReservedPorts
from loadbalancer.lab.scale.clocks import held, settled, timed
from loadbalancer.lab.scale.views import ZONES
from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing, decode
from loadbalancer.node.features.known_endpoints import KnownEndpoints
from loadbalancer.node.udp import Udp
from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    RequestClass,
    Settings,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.transports.mux import Mux

SECOND = 1_000_000
ROOT = Path(__file__).parents[3]


class NodeNotReady(LoadBalancerError):
    """A node that was started to be measured and did not become ready."""

    remedy: ClassVar[str] = (
        "start `python -m loadbalancer` with the same tables by hand and read what it says"
    )


# ---- the freeze -------------------------------------------------------------------------------------------


def freeze(size: int, seed: int) -> dict[str, float]:
    """Ten quiet seconds of N nodes with three electors, then five with an incident open: the coordinator's
    share, and a holder's.
    """
    world = FreezeWorld(size, seed)
    world.run_until(lambda: world.coordinator() is not None)
    world.run(world.now + 3 * SECOND)
    name = world.coordinator()
    assert name is not None
    machine = world.sites[name].machine
    assert machine is not None
    assert machine.coordinator is not None
    spent = datagrams = sent = longest = 0
    span = 10
    real_tick, real_datagram = machine.tick, machine.receive_datagram

    def clocked(call: Callable[..., Any]) -> Callable[..., Any]:
        """The decider, then the encoding of what it wants sent."""

        def play(*given: Any, **named: Any) -> Any:
            nonlocal spent, datagrams, sent, longest
            began = process_time_ns()
            actions = call(*given, **named)
            data = [encode(name, a.message) for a in actions if hasattr(a, "message")]
            took = process_time_ns() - began
            spent += took
            longest = max(longest, took)
            datagrams += len(data)
            sent += sum(map(len, data))
            return actions

        return play

    machine.tick, machine.receive_datagram = clocked(real_tick), clocked(real_datagram)  # type: ignore[method-assign]
    with settled():
        world.run(world.now + span * SECOND)
    quiet = (datagrams, sent, spent, longest)
    world.command(name, "call", "open", "incident")  # some words long: "a test"
    told = world.run_until(lambda: "incident" in world.in_force, 10 * SECOND)
    datagrams = sent = spent = longest = 0
    with settled():
        world.run(world.now + 5 * SECOND)
    open_bytes, open_longest = sent / 5, longest / 1e6
    datagrams, sent, spent, longest = quiet
    machine.tick, machine.receive_datagram = real_tick, real_datagram  # type: ignore[method-assign]
    if world.coordinator() != name or not told:
        raise RuntimeError(f"{size} nodes, seed {seed}: the coordinator changed")
    follower = world.sites[f"n{size - 1}"]
    holder = follower.machine
    assert holder is not None
    news = encode(
        name,
        IncidentList(
            machine.coordinator.elector.committed_version, INITIAL_VERSION, 0, 1, []
        ),
    )
    now = follower.local(world.now)
    with settled():
        took = timed(
            lambda: (holder.receive_datagram(now, news), holder.tick(now)), 200
        )
    return {
        "coordinator_datagrams_per_s": datagrams / span,
        "coordinator_bytes_per_s": sent / span,
        "coordinator_core_percent": spent / 1e9 / span * 100,
        "coordinator_hold_ms": longest / 1e6,
        "news_bytes": float(len(news)),
        "holder_core_percent": took.median / 10,
        "incident_bytes_per_s": open_bytes,
        "incident_hold_ms": open_longest,
    }


FREEZE_UNITS = {
    "coordinator_datagrams_per_s": "datagrams/s", "coordinator_bytes_per_s": "bytes/s",
    "coordinator_core_percent": "% of a core", "coordinator_hold_ms": "ms", "news_bytes": "bytes",
    "holder_core_percent": "% of a core", "incident_bytes_per_s": "bytes/s", "incident_hold_ms": "ms",
}  # fmt: skip


# ---- a datagram -------------------------------------------------------------------------------------------


def datagram(size: int, seed: int) -> dict[str, float]:
    """A datagram through the node's own transports over loopback, one a turn of the node's kind of loop; the
    waking of the loop and of one task is in `receive_us`.
    """
    count = 3_000

    async def play() -> tuple[float, float]:
        ends = [Mux(Udp(("127.0.0.1", 0)), "scale") for _ in range(2)]
        came = asyncio.Event()
        here = [await end.open(lambda data, source: came.set()) for end in ends]
        data = b"\x93" + Random(seed).randbytes(size - 1)
        sending, began = 0, process_time_ns()
        for _ in range(count):
            at = process_time_ns()
            ends[0].send(data, here[1])
            sending += process_time_ns() - at
            await asyncio.wait_for(came.wait(), 5)
            came.clear()
        total = process_time_ns() - began
        for end in ends:
            end.close()
        return sending / count / 1e3, (total - sending) / count / 1e3

    loop = uvloop.new_event_loop()
    try:
        send, receive = loop.run_until_complete(play())
    finally:
        loop.close()
    return {"send_us": send, "receive_us": receive, "both_us": send + receive}


DATAGRAM_UNITS = {"send_us": "us", "receive_us": "us", "both_us": "us"}


# ---- the list ---------------------------------------------------------------------------------------------

CLASSES = (
    RequestClass(
        Idempotency.IDEMPOTENT,
        latency_objective=500_000,
        deadline=2_000_000,
        priority_weight=1.0,
    ),
)


class Nobody:
    """A module's host that sends nothing."""

    def send(self, request: int, server: int, timeout: int) -> None: ...

    def set_timer(self, delay: int, token: int) -> None: ...

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: None


def list_cost(size: int, seed: int) -> dict[str, float]:
    """A list of N servers in the module and in what the parts keep of it."""
    rng = Random(seed)
    ids = rng.sample(range(1, 1 << 32), size)
    entries = [EndpointEntry(i, kind=i % 3) for i in ids]

    def module() -> Balancer:
        made = Balancer(
            Settings(classes=CLASSES, instances=100, index=7, max_attempts=3),
            1,
            Nobody(),
        )
        made.start(0)
        made.update_endpoints(0, ListUpdateKind.CACHED, entries)
        return made

    def line(i: int, state: EndpointState = EndpointState.READY) -> Line:
        return Line(f"svc{i % 140:03d}-s{i}", f"10.0.{i >> 8 & 255}.{i & 255}", 8080, ZONES[i % 9], "std", 0,
                    state, 1.0, 0)  # fmt: skip

    def known_endpoints() -> KnownEndpoints:
        made = KnownEndpoints()
        made.update(
            Listing(ListUpdateKind.FULL, 1, tuple(line(i) for i in ids)), "agent", False
        )
        return made

    balancer, in_module = held(module)
    kept, in_parts = held(known_endpoints)
    now = [1_000_000]

    def change() -> None:
        """One server drains and comes back."""
        i = rng.choice(ids)
        for state in (EndpointState.DRAINING, EndpointState.READY):
            now[0] += 1000
            balancer.update_endpoints(
                now[0],
                ListUpdateKind.CHANGES,
                [EndpointEntry(i, state, kind=i % 3, started_at=now[0])],
            )

    def noted() -> None:
        i = rng.choice(ids)
        for state in (EndpointState.DRAINING, EndpointState.READY):
            now[0] += 1000
            kept.update(
                Listing(ListUpdateKind.CHANGES, now[0], (line(i, state),)),
                "agent",
                False,
            )
            kept.digest()

    def body(some: list[int], whole: bool) -> bytes:
        """What an agent of discovery answers."""
        told = [{"id": line(i).id, "addr": f"{line(i).host}:8080", "state": "ready", "zone": line(i).zone}
                for i in some]  # fmt: skip
        return json.dumps({"version": 7, "full": whole, "servers": told}).encode()

    one, all_of_them = body(ids[:1], False), body(ids, True)
    with settled():
        read = timed(lambda: decode(one), 100)
        read_whole = timed(lambda: decode(all_of_them), 9)
        changed = timed(change, 100)
        digested = timed(noted, 100)
        whole = timed(
            lambda: balancer.update_endpoints(now[0], ListUpdateKind.FULL, entries), 9
        )
    return {
        "module_mb": in_module,
        "holdings_mb": in_parts,
        "change_us": changed.median * 500,
        "holdings_change_us": digested.median * 500,
        "whole_list_ms": whole.median,
        "read_change_us": read.median * 1e3,
        "read_whole_ms": read_whole.median,
        "whole_bytes": float(len(all_of_them)),
    }


LIST_UNITS = {
    "module_mb": "MB", "holdings_mb": "MB", "change_us": "us", "holdings_change_us": "us",
    "whole_list_ms": "ms",
    "read_change_us": "us",
    "read_whole_ms": "ms",
    "whole_bytes": "bytes",
}  # fmt: skip


# ---- processes --------------------------------------------------------------------------------------------

MEMBERSHIP = '[membership]\nlisten = "127.0.0.1:0"\n'
ZONED = "[zones]\n"
TABLES = {
    "none": "",
    "membership": MEMBERSHIP,
    "spread": MEMBERSHIP + "[spread]\n",
    "locality": MEMBERSHIP + ZONED + "[locality]\n",
    "audit": MEMBERSHIP + "[audit]\n",
    "freeze": MEMBERSHIP + '[freeze]\nelectors = ["n0", "n1", "n2"]\n',
    "storms": "[storms]\n",
    "all": MEMBERSHIP
    + ZONED
    + '[locality]\n[spread]\n[storms]\n[audit]\n[freeze]\nelectors = ["n0", "n1", "n2"]\n',
}


class Agent(BaseHTTPRequestHandler):
    """A discovery that has no news: a watch is held as long as it wishes."""

    def do_GET(self) -> None:
        sleep(
            int(parse_qs(urlsplit(self.path).query).get("timeout_ms", ["0"])[0]) / 1e3
        )
        body = b'{"version": 1, "full": false, "servers": []}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        with suppress(ConnectionError):  # the node has been ended
            self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


def configuration(port: int, discovery: int) -> dict[str, Any]:
    """A node's file with a service's twenty servers, which do not answer."""
    lines = [
        {
            "id": f"s{i}",
            "addr": f"127.0.0.1:{10_000 + i}",
            "state": "ready",
            "zone": ZONES[i % 9],
        }
        for i in range(20)
    ]
    view = {
        "name": "view",
        "effect": "free",
        "goal_time": 500_000,
        "hard_limit": 2_000_000,
        "worth": 1.0,
    }
    limits = {"max_attempts": 3, "cancel": True, "retry_after": True, "peers": True}
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1f",
        "zone": ZONES[0],
        "known": {"version": 1, "full": True, "servers": lines},
        "settings": {
            "classes": [view],
            "group_size": 1,
            "tick": 1000,
            "layers": ["front"],
            "policy_limits": limits,
            "rules": {
                "cold": 0,
                "start_capacity": 1.0,
                "fall_multiple": 0,
                "tip_after": 0,
            },
        },
    }


def memory_of(process: int) -> tuple[float, float]:
    """Megabytes resident, and of these its own."""
    lines = Path(f"/proc/{process}/smaps_rollup").read_text().splitlines()[1:]
    found = {x.split()[0].rstrip(":"): float(x.split()[1]) for x in lines}
    return found["Rss"] * 0.001024, (
        found["Private_Clean"] + found["Private_Dirty"]
    ) * 0.001024


def spent_by(process: int) -> float:
    """Seconds of processor time so far."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def one_process(
    tables: str, discovery: int, folder: Path, watch: float = 5.0
) -> tuple[float, float, float]:
    """A node with these tables: resident and own megabytes, and % of a core at rest."""
    with ReservedPorts() as reserved:
        return measure_process(tables, reserved.reserve(), discovery, folder, watch)


def measure_process(
    tables: str, port: int, discovery: int, folder: Path, watch: float
) -> tuple[float, float, float]:
    """Returns the same for a node that listens on this port. A NodeNotReady if it does not become ready."""
    (folder / "config.json").write_text(json.dumps(configuration(port, discovery)))
    kept = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    environ = {
        **kept,
        "LB_CONFIG": str(folder / "config.json"),
        "PYTHONPATH": str(ROOT),
        "TMPDIR": str(folder),
    }
    if tables:
        (folder / "operator.toml").write_text(tables)
        environ["LB_OPERATOR"] = str(folder / "operator.toml")
    command = [sys.executable, "-m", "loadbalancer"]
    process = subprocess.Popen(
        command, env=environ, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL
    )
    try:
        until = monotonic() + 60
        while True:
            with (
                suppress(URLError, OSError),
                urlopen(f"http://127.0.0.1:{port}/ready", timeout=5),
            ):
                break
            if monotonic() > until or process.poll() is not None:
                raise NodeNotReady(
                    "it did not become ready in 60 s", " ".join(tables.split())
                )
            sleep(0.02)
        sleep(2)
        before = spent_by(process.pid)
        sleep(watch)
        resident, own = memory_of(process.pid)
        return resident, own, (spent_by(process.pid) - before) / watch * 100
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
        process.wait()


def process(size: int, seed: int) -> dict[str, float]:
    """Each set of parts in a real process of its own, one after the other."""
    del size, seed  # one node; the seeds are repeats
    agent = ThreadingHTTPServer(("127.0.0.1", 0), Agent)
    agent.daemon_threads = True
    threading.Thread(target=agent.serve_forever, daemon=True).start()
    found: dict[str, float] = {}
    try:
        with tempfile.TemporaryDirectory() as folder:
            for name, tables in TABLES.items():
                resident, own, core = one_process(
                    tables, agent.server_port, Path(folder)
                )
                found |= {
                    f"{name}_resident_mb": resident,
                    f"{name}_own_mb": own,
                    f"{name}_core_percent": core,
                }
    finally:
        agent.shutdown()
        agent.server_close()
    return found


PROCESS_UNITS = {
    f"{name}_{what}": unit
    for name in TABLES
    for what, unit in (
        ("resident_mb", "MB"),
        ("own_mb", "MB"),
        ("core_percent", "% of a core"),
    )
}
