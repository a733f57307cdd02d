"""Hollow nodes: many in one process, each the real host of parts, and each a node to all faults."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import psutil
import pytest
from click.testing import CliRunner
from loopback import PATIENCE, Bench, play, until

from loadbalancer.config.operator_config import build
from loadbalancer.errors import LoadBalancerError
from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.fault.datagram_rules import DatagramRule
from loadbalancer.fault.script import ScriptError
from loadbalancer.lab.scale import slopes
from loadbalancer.lab.scale.interface import NodeCost
from loadbalancer.lab.swarm import hollows
from loadbalancer.lab.swarm import play as swarm_play
from loadbalancer.lab.swarm.agents import Agents
from loadbalancer.lab.swarm.hollow import BEAT, Lateness, Process
from loadbalancer.lab.swarm.hollows import (
    SwarmLate,
    SwarmOutgrown,
    SwarmTooLarge,
    check_fits,
    estimate_mb,
)
from loadbalancer.lab.swarm.nodes import ADDRESSES, PACKAGES, SETTINGS, own_host
from loadbalancer.lab.swarm.play import SwarmRun
from loadbalancer.lab.swarm.play import play as play_swarm
from loadbalancer.lab.swarm.record import append
from loadbalancer.lab.swarm.result import Result
from loadbalancer.lab.swarm.script import load, read
from loadbalancer.lab.swarm.shell import HollowNode, HollowUdp, NodeLoop, Wire
from loadbalancer.lab.swarm.wide import WidePlan
from loadbalancer.membership.messages import MemberState

Table = dict[str, Any]
SCRIPTS = PACKAGES / "scenarios" / "swarm"
SOON: Table = {
    "probe_ms": 100,
    "probe_timeout_ms": 50,
    "bear_pause_s": 2.0,
}  # a death after some 2.5 s


# ---- one process of them, on the test's loop ---------------------------------------------------------------


def wish(count: int, seeds: list[str], peers: bool = True, **tables: Any) -> Table:
    """What the harness tells a process: nodes h0, h1, ... in two zones."""
    limits = SETTINGS["policy_limits"] | {"peers": peers}
    agents = tables.pop("agents", None)
    return {
        "nodes": [
            {
                "name": f"h{i}",
                "index": i,
                "place": i,
                "zone": i % 2,
                "seed": f"{i + 1:x}",
            }
            | {"agent": agents.agents[f"h{i}"].address if agents is not None else None}
            for i in range(count)
        ],
        "config": {
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "known": agents.first() if agents is not None else None,
            "settings": SETTINGS
            | {
                "policy_limits": limits,
                "dcs": ["a", "b"],
                "group_size": count,
                "self_index": 0,
                "zone": 0,
            },
        },
        "operator": {"membership": {"seeds": seeds} | SOON} | tables,
        "fronts": {},
        "rules": [],
        "seed": 1,
        "host": own_host(next(ADDRESSES)),
        "watched": agents is not None,
    }


def at(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


@asynccontextmanager
async def fleet(count: int, seed: str = "", **tables: Any) -> AsyncIterator[Process]:
    """Hollow nodes that join at their first, or at somebody else."""
    process = Process(
        wish(count, [seed] if seed else [], **tables), asyncio.get_running_loop()
    )
    if not seed:
        membership = process.operation.membership
        assert membership is not None
        membership.seeds.append(at(process.addresses[0]))
    await process.start(process.names, 0.0)
    try:
        yield process
    finally:
        for node in list(process.nodes.values()):
            node.kill()


def view(node: HollowNode) -> dict[str, MemberState]:
    """Whom a node holds for what."""
    members = node.feature_host.members
    if members is None or members.swim is None:
        return {}
    return {m.name: m.state for m in members.swim.members.values()}


def held(process: Process, name: str, state: MemberState, but: str = "") -> bool:
    """Whether all nodes hold a member so."""
    return all(
        view(n).get(name) is state
        for n in process.nodes.values()
        if n.name not in (name, but)
    )


def all_alive(process: Process, *others: str) -> bool:
    names = {*process.nodes, *others}
    return all(
        {m for m, state in view(n).items() if state is MemberState.ALIVE}
        == names - {n.name}
        for n in process.nodes.values()
    )


def sent(node: HollowNode) -> int:
    assert node.udp is not None
    return node.udp.counters.sent


def test_hollow_nodes_and_a_real_one_hold_each_other_alive_and_tell_each_other_records() -> (
    None
):
    async def scene() -> None:
        bench = await Bench(policy_limits={"peers": True}).start()
        # A probe and a pause as of the hollow ones; the audit puts a record of each.
        table = {
            "membership": {"listen": "127.0.0.1:0", **SOON},
            "audit": {"numbering": "x"},
        }
        bench.node.operation = build(table, "operator.toml")
        bench.node.reconcile_features()
        real = bench.node.members
        assert real is not None
        await until(lambda: real.swim is not None)
        assert real.swim is not None
        async with fleet(
            5, at(real.swim.local.address), audit={"numbering": "x"}
        ) as process:
            await until(lambda: all_alive(process, "n0"))
            await until(lambda: set(real.live_names()) == {"n0", *process.names})
            records = real.records()
            await until(
                lambda: {r.owner for r in records.of("audit")} >= set(process.names)
            )
            node = process.nodes["h4"]
            await until(
                lambda: (
                    node.feature_host.members.records().get("n0", "audit") is not None
                )
            )
            assert {n.faults for n in process.nodes.values()} == {0}
            # The real one has each where it says that it lies, in the zone and region it tells.
            swim = real.swim
            assert [
                (swim.members[n].host, swim.members[n].port) for n in process.names
            ] == process.addresses
            assert [swim.members[n].zone for n in process.names] == [
                "a",
                "b",
                "a",
                "b",
                "a",
            ]
            # A killed one is dead to the real one, and nobody else is.
            process.end_node("h2", HollowNode.kill)
            await until(lambda: swim.members["h2"].state is MemberState.DEAD)
            await until(lambda: set(real.live_names()) == {"n0", *process.nodes})
        bench.node.feature_host.stop(False)

    play(scene)


def test_a_hollow_node_that_stands_still_leaves_its_neighbours_running() -> None:
    async def scene() -> None:
        async with fleet(6) as process:
            await until(lambda: all_alive(process))
            node, others = (
                process.nodes["h1"],
                [n for n in process.nodes.values() if n.name != "h1"],
            )
            await process.do({"do": "pause", "names": ["h1"]})
            before, theirs = sent(node), [sent(n) for n in others]
            assert node.udp is not None
            got = node.udp.counters.received
            await until(
                lambda: held(process, "h1", MemberState.SUSPECT)
            )  # it does not answer...
            await until(
                lambda: all(
                    sent(n) > t + 10 for n, t in zip(others, theirs, strict=True)
                )
            )
            assert (sent(node), node.udp.counters.received) == (
                before,
                got,
            )  # ...for it does nothing
            assert node.view.held  # its own timers have fallen due, and wait
            await process.do({"do": "resume", "names": ["h1"]})
            await until(
                lambda: sent(node) > before and node.udp.counters.received > got
            )
            await until(lambda: all_alive(process))
            assert {n.faults for n in process.nodes.values()} == {0}

    play(scene)


def test_a_killed_hollow_node_is_dead_to_all_and_nobody_else_is_and_it_comes_back_under_its_name() -> (
    None
):
    async def scene() -> None:
        async with fleet(6) as process:
            await until(lambda: all_alive(process))
            await process.begin(time.monotonic())
            address = process.addresses[3]
            process.end_node("h3", HollowNode.kill)
            await until(lambda: held(process, "h3", MemberState.SUSPECT))
            look = await process.look([n for n in process.names if n != "h3"])
            assert (
                look["wrong"] == 5
            )  # one that has gone is still suspected by all five
            await until(lambda: held(process, "h3", MemberState.DEAD))
            said = process.changes.told()["said"]
            assert sorted(said["h3"]["dead"][1]) == [
                0,
                1,
                2,
                4,
                5,
            ]  # each of the others, once
            assert not any(
                "dead" in states for name, states in said.items() if name != "h3"
            )
            assert await process.holds(["h3"]) == {"h3": []}
            look = await process.look([n for n in process.names if n != "h3"])
            assert look == {"least": 5, "most": 5, "wrong": 0, "nodes": 5}
            look = await process.look(process.names)
            assert look["wrong"] == 5  # were it alive, all five would be wrong
            await process.start(["h3"], 0.0)
            await until(lambda: all_alive(process))
            assert process.addresses[3] == address
            swim = process.nodes["h0"].feature_host.members.swim
            assert swim is not None
            assert swim.members["h3"].incarnation > 0
            assert (swim.members["h3"].host, swim.members["h3"].port) == address
            # One that leaves says so, and is not suspected.
            process.end_node("h5", HollowNode.leave)
            await until(lambda: held(process, "h5", MemberState.LEFT))

    play(scene)


class Ear:
    """A seed that only listens."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)

    def heard(self) -> bool:
        try:
            return bool(self.socket.recv(2_000))
        except BlockingIOError:
            return False


def test_a_hollow_node_sends_nothing_where_the_platform_refuses_the_talk() -> None:
    async def scene() -> None:
        quiet, control = Ear(), Ear()
        tables: Table = {"audit": {}, "freeze": {"electors": ["h0", "h1", "h2"]}}
        async with (
            fleet(3, at(quiet.socket.getsockname()), peers=False, **tables) as off,
            fleet(3, at(control.socket.getsockname()), **tables),
        ):
            await until(
                control.heard
            )  # one that may talk asks its seed again and again
            await until(control.heard)
            assert not quiet.heard()
            assert all(
                n.feature_host.members is None and n.udp is None
                for n in off.nodes.values()
            )
            assert all(
                set(n.feature_host.features) == {"audit"} for n in off.nodes.values()
            )  # its own ledger

    play(scene)


def test_hollow_nodes_take_the_list_from_their_agents_and_tell_when() -> None:
    async def scene() -> None:
        lines = [
            {
                "id": f"s{i}",
                "addr": f"127.0.0.1:{i + 1}",
                "state": "ready",
                "zone": "a",
                "kind": "std",
            }
            for i in range(3)
        ]
        agents = Agents([f"h{i}" for i in range(4)], lines, 1)
        await agents.start()
        async with fleet(4, agents=agents, audit={"numbering": "x"}) as process:
            await until(lambda: all_alive(process))
            assert all(n.listed == {"s0", "s1"} for n in process.nodes.values())
            agents.agents["h3"].turn("agent-silent")
            await process.do({"do": "pause", "names": ["h2"]})
            agents.change(["s0"], ["s1"], 1, False)
            await until(lambda: len(process.acted.get(2, ((), ()))[1]) >= 2)
            assert sorted(process.acted[2][1]) == [0, 1]
            assert process.nodes["h2"].listed == {"s0", "s1"}  # it stands still
            await process.do({"do": "resume", "names": ["h2"]})
            agents.agents["h3"].turn("")
            await until(
                lambda: all(n.listed == {"s0", "s2"} for n in process.nodes.values())
            )
            assert sorted(process.acted[2][1]) == [0, 1, 2, 3]
            assert {n.faults for n in process.nodes.values()} == {0}
        agents.close()

    play(scene)


# ---- the loop as one node sees it --------------------------------------------------------------------------


def test_what_falls_due_while_a_node_stands_still_waits_in_order_and_can_still_be_cancelled() -> (
    None
):
    async def scene() -> None:
        loop, told, failed = asyncio.get_running_loop(), [], []  # type: ignore[var-annotated]
        view = NodeLoop(loop, failed.append)

        async def task() -> None:
            await asyncio.sleep(0.001)
            assert asyncio.get_running_loop() is view
            told.append("slept")

        def begin() -> None:
            view.call_later(0.001, told.append, "first")
            second = view.call_later(0.002, told.append, "second")
            second.cancel()
            third = view.call_later(0.05, told.append, "third")
            view.call_later(0.003, third.cancel)
            view.create_task(task())
            view.run_in_executor(None, sum, (1, 2)).add_done_callback(
                lambda f: told.append(f.result())
            )
            view.call_later(0.005, int, "no number")

        view.run(begin)
        assert asyncio.get_running_loop() is loop
        view.pause()
        await asyncio.sleep(0.1)
        assert told == []
        view.resume()
        await until(lambda: len(told) == 3 and bool(failed))
        assert sorted(map(str, told)) == ["3", "first", "slept"]
        assert told.index("first") < told.index("slept")
        assert failed == [
            "ValueError: invalid literal for int() with base 10: 'no number'"
        ]
        view.call_later(0.0, told.append, "late")
        view.end()
        view.run(told.append, "too late")
        await asyncio.sleep(0.02)
        assert len(told) == 3

    play(scene)


def test_a_connection_of_a_node_that_stands_still_is_not_read() -> None:
    async def scene() -> None:
        heard: list[bytes] = []
        readers: list[asyncio.StreamReader] = []
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            readers.append(reader)
            writers.append(writer)

        class Ear(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                assert isinstance(asyncio.get_running_loop(), NodeLoop)
                heard.append(data)

            def connection_lost(self, exc: Exception | None) -> None:
                heard.append(b"end")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        view = NodeLoop(
            asyncio.get_running_loop(), lambda what: heard.append(what.encode())
        )
        port = server.sockets[0].getsockname()[1]

        async def connect() -> None:
            await view.create_connection(Ear, "127.0.0.1", port)

        view.run(view.create_task, connect())
        await until(lambda: bool(writers) and bool(view.transports))
        writers[0].write(b"one")
        await until(lambda: heard == [b"one"])
        view.pause()
        writers[0].write(b"two")
        await writers[0].drain()
        writers[0].close()
        await asyncio.sleep(0.05)
        assert heard == [b"one"]
        assert not view.held
        view.resume()
        await until(lambda: heard == [b"one", b"two", b"end"])
        # A connection that comes up for a node that has ended is reset, and the node hears nothing.
        view.run(view.create_task, connect())
        await asyncio.sleep(0)
        view.end()
        await until(lambda: len(writers) == 2)
        assert await readers[1].read() == b""
        assert heard == [b"one", b"two", b"end"]
        server.close()

    play(scene)


def test_a_loop_that_was_held_was_late_for_all_that_fell_due_meanwhile() -> None:
    async def scene() -> None:
        lateness = Lateness(asyncio.get_running_loop())
        lateness.begin()
        await asyncio.sleep(3 * BEAT)
        time.sleep(10 * BEAT)
        await asyncio.sleep(3 * BEAT)
        p99, worst = lateness.told()
        late = sorted(lateness.late)
        assert len(late) >= 14  # those of the hold are counted as well...
        assert late[-1] > 8 * BEAT
        assert late[-8] > BEAT
        assert worst == late[-1] * 1000
        assert 0 < p99 <= worst

    play(scene)


# ---- faults of datagrams -----------------------------------------------------------------------------------


async def exchange(
    *rules: DatagramRule,
) -> tuple[list[bytes], list[bytes], tuple[str, int], list[str]]:
    """What a real node behind a front gets of ten datagrams from a hollow one, and the other way."""
    wire, loop = Wire(), asyncio.get_running_loop()
    wire.plan, wire.zero = DatagramPlan(rules, 1), time.monotonic()
    real = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    real.bind(("127.0.0.1", 0))
    real.setblocking(False)
    front = ("127.0.0.2", 9)
    wire.fronts, wire.reals = {real.getsockname(): front}, {front: real.getsockname()}
    wire.names = {front: "n0"}
    process_like = NodeLoop(loop, lambda what: None)
    udp = HollowUdp(("127.0.0.1", 0), "h0", wire, process_like)

    class Node:
        name, view = "h0", process_like

    node: Any = Node()
    node.wire = wire
    end = HollowNode.faulty(node, udp)
    got: list[bytes] = []
    sources: set[tuple[str, int]] = set()
    here = await end.open(lambda data, source: (got.append(data), sources.add(source)))
    wire.names[here] = "h0"
    for i in range(10):
        assert end.send(b"out%d" % i, front)
        real.sendto(b"in%d" % i, here)
    real.sendto(b"last", here)
    with socket.socket(
        socket.AF_INET, socket.SOCK_DGRAM
    ) as other:  # of no real node: as it comes
        other.sendto(b"other", here)
        await until(lambda: b"other" in got)
    await asyncio.sleep(0.05)
    out = []
    while True:
        try:
            data, source = real.recvfrom(99)
        except BlockingIOError:
            break
        assert source == here
        out.append(data)
    sources.discard(other.getsockname() if other.fileno() >= 0 else ("", 0))
    real.close()
    end.close()
    return (
        out,
        [d for d in got if d.startswith(b"in")],
        front,
        sorted(str(s) for s in sources),
    )


def test_a_fault_between_a_hollow_and_a_real_node_strikes_each_direction_once() -> None:
    async def scene() -> None:
        out, back, front, sources = await exchange()
        assert out == [b"out%d" % i for i in range(10)]
        assert back == [b"in%d" % i for i in range(10)]
        assert str(front) in sources  # the hollow one sees the real one at its front
        out, back, *_ = await exchange(
            DatagramRule("duplicate", rate=1.0, delay_ms=1.0)
        )
        assert (len(out), len(back)) == (20, 20)  # struck twice would be forty
        out, back, *_ = await exchange(
            DatagramRule("cut", source=["n0"], target=["h0"])
        )
        assert (len(out), len(back)) == (10, 0)
        out, back, *_ = await exchange(
            DatagramRule("cut", source=["h0"], target=["n0"])
        )
        assert (len(out), len(back)) == (0, 10)
        out, back, *_ = await exchange(DatagramRule("partition", groups=[["h*"]]))
        assert (len(out), len(back)) == (0, 0)
        out, back, *_ = await exchange(DatagramRule("loss", rate=0.5, target=["n0"]))
        assert 0 < len(out) < 10
        assert len(back) == 10

    play(scene)


def test_the_plan_for_many_is_fixed_by_the_seed_and_keeps_to_the_rates() -> None:
    rules = [
        DatagramRule("loss", rate=0.3),
        DatagramRule("delay", delay_ms=5, jitter_ms=5, target=["b"]),
    ]

    def fates(seed: int, between: int) -> list[list[float]]:
        plan = WidePlan(rules, seed)
        found = []
        for _ in range(2_000):
            found.append(plan.deliveries("a", "b", 0.5))
            for _ in range(between):  # what passes elsewhere changes nothing here
                plan.deliveries("b", "a", 0.5)
        return found

    first = fates(7, 0)
    assert first == fates(7, 2) != fates(8, 0)
    assert 500 < sum(1 for f in first if not f) < 700
    late = [f[0] for f in first if f]
    assert min(late) >= 0.005
    assert max(late) <= 0.010
    assert len(set(late)) > 1_000


# ---- scripts -----------------------------------------------------------------------------------------------


def world(hollow: Table, **parts: Any) -> Table:
    return {"world": {"nodes": 3}, "hollow": hollow, **parts}


def test_each_node_stands_in_a_zone_region_rack_and_service_by_its_index() -> None:
    swarm = read(world({"count": 40, "racks": 2, "services": 7}), "s.toml")
    assert swarm.zone_names == [f"z{i}" for i in range(9)]
    assert swarm.regions == {
        "r0": ["z0", "z3", "z6"],
        "r1": ["z1", "z4", "z7"],
        "r2": ["z2", "z5", "z8"],
    }
    assert swarm.resolve(["@z4"]) == ["h4", "h13", "h22", "h31"]
    assert swarm.resolve(["@rack:z4/1"]) == ["h13", "h31"]
    assert swarm.resolve(["@service:5"]) == ["h5", "h12", "h19", "h26", "h33"]
    region = swarm.resolve(["@region:r1"])
    assert region[:2] == ["n1", "h1"]
    assert {int(n[1:]) % 9 % 3 for n in region} == {1}
    assert swarm.resolve(["h1?", "n0"]) == ["n0"] + [f"h{i}" for i in range(10, 20)]
    assert swarm.members["regions"] == swarm.regions


@pytest.mark.parametrize(
    ("table", "words"),
    [
        (world({"count": 0}), "hollow.count"),
        (
            world({"count": 9, "process": 2}),
            "hollow.process: unknown key; did you mean processes?",
        ),
        (world({"count": 2, "processes": 4}), "hollow.processes"),
        (world({"count": 9, "zones": 2}), "hollow.regions"),
        (world({"count": 9, "late_ms": -1}), "hollow.late_ms"),
        (
            world({"count": 9}) | {"world": {"nodes": 3, "zones": ["a", "b"]}},
            "world.zones",
        ),
        (
            world({"count": 9}, membership={"regions": {"r": ["a"]}}),
            "membership.regions",
        ),
        (
            world({"count": 9}, freeze={"electors": ["n0", "n1", "h2"]}),
            "freeze.electors",
        ),
        (world({"count": 9}, shards={}), "shards"),
        (world({"count": 9}, spread={"weights": True}), "spread.weights"),
        (world({"count": 9}, fault=[{"kind": "upgrade", "at_s": 1}]), "fault[0].nodes"),
        (
            world({"count": 9}, fault=[{"kind": "kill", "at_s": 1, "nodes": ["h9"]}]),
            "n0 to n2 and h0 to h8",
        ),
        (
            world(
                {"count": 9},
                fault=[{"kind": "kill", "at_s": 1, "nodes": ["@rack:z0/9"]}],
            ),
            "fault[0].nodes",
        ),
    ],
)
def test_a_wish_for_hollow_nodes_that_cannot_be_played_says_where_in_one_line(
    table: Table, words: str
) -> None:
    with pytest.raises(ScriptError, match="s.toml") as found:
        read(table, "s.toml")
    assert words in str(found.value)
    assert "\n" not in found.value.line()
    assert found.value.advice


def refused(table: Table) -> LoadBalancerError:
    with pytest.raises(SwarmTooLarge) as found:
        check_fits(read(table, "s.toml"))
    assert "\n" not in found.value.line()
    assert "would fit" in found.value.what
    return found.value


def test_too_large_a_wish_is_refused_with_what_would_fit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fits = int(
        refused(world({"count": 2_000, "memory_mb": 1_000}))
        .what.split("; ")[1]
        .split(" ")[0]
    )
    assert estimate_mb(3, fits, 4) <= 1_000 < estimate_mb(3, fits + 1, 4)
    check_fits(read(world({"count": fits, "memory_mb": 1_000}), "s.toml"))
    # However much is wished for, half of the machine is the most.
    half = psutil.virtual_memory().total / 2e6
    assert (
        f"where {half:.0f} MB"
        in refused(world({"count": 20_000, "memory_mb": 1e9})).what
    )
    many = world({"count": 9, "processes": 9}) | {"world": {"nodes": 300}}
    fits = int(refused(many).what.split("; ")[1].split(" ")[0])
    many["world"]["nodes"] = fits + 1
    refused(many)
    many["world"]["nodes"] = fits
    monkeypatch.setattr(hollows, "REAL_MB", 1.0)  # whatever memory this machine has
    check_fits(read(many, "s.toml"))


async def test_a_wish_that_does_not_fit_starts_nothing(tmp_path: Path) -> None:
    swarm = read(world({"count": 500, "memory_mb": 100}), "s.toml")
    run = SwarmRun(swarm, tmp_path, lambda words, at, of: None)
    with pytest.raises(SwarmTooLarge):
        await run.play()
    assert run.fleet.helpers == []
    assert run.fleet.nodes == {}
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize(
    ("bound", "kind", "words"),
    [
        ("bound_mb", SwarmOutgrown, "MB in use where 1 are the most"),
        ("longest_s", SwarmLate, "not over after"),
    ],
)
async def test_a_run_that_outgrows_its_bounds_is_ended_with_all_its_processes(
    bound: str,
    kind: type[LoadBalancerError],
    words: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    swarm = read(
        world({"count": 4, "processes": 1}) | {"world": {"nodes": 1, "watch_s": 60.0}},
        "s.toml",
    )
    run = SwarmRun(swarm, tmp_path, lambda words, at, of: None)
    if bound == "longest_s":
        monkeypatch.setattr(run, "longest_s", lambda: 3.0)
    else:
        monkeypatch.setattr(swarm_play, "bound_mb", lambda swarm: 1.0)
    with pytest.raises(kind) as found:
        await run.play()
    assert words in found.value.line()
    assert "\n" not in found.value.line()
    assert run.fleet.helpers
    assert all(p.returncode is not None for p in run.fleet.helpers)
    assert all(
        p.returncode is not None
        for node in run.fleet.nodes.values()
        for p in node.every
    )


async def test_a_process_that_does_not_answer_makes_the_run_void() -> None:
    process = await started()
    try:
        process.send_signal(signal.SIGSTOP)
        worker = hollows.Worker(process, ["h0"], {})
        worker.reading = asyncio.ensure_future(worker.read())
        with pytest.raises(hollows.SwarmHeld, match="VOID") as found:
            await worker.ask(9, {"do": "memory"}, 0.2)
        assert "'memory'" in found.value.line()
        process.send_signal(signal.SIGCONT)
        assert (await worker.ask(10, {"do": "memory"}, PATIENCE))[
            "rss_mb"
        ] > 0  # the late answer is nobody's
    finally:
        process.kill()
        await process.wait()


# ---- files of slopes ---------------------------------------------------------------------------------------


def run_of(hollow: int, seed: int, **changes: Any) -> Result:
    """A result as a run makes it."""
    cost = NodeCost(
        kind="hollow",
        nodes=hollow,
        core_percent=0.5,
        memory_mb=2.0,
        bytes_per_s=900.0,
        bytes_by_part={"membership": 300.0, "records": 600.0},
        datagrams_per_s=9.0,
        datagrams_by_part={"membership": 6.0, "records": 3.0},
        worst_bytes_per_s=1_000.0,
    )
    figures = {"settle_s": 4.0, "false_deaths": 0, "change_p99_s": None}
    result = Result("x", seed, 4, figures, [], [], hollow=hollow, costs=[cost])
    for key, value in changes.items():
        setattr(result, key, value)
    return result


def test_a_run_is_a_point_by_its_members_and_one_that_is_void_says_why(
    tmp_path: Path,
) -> None:
    path = tmp_path / "rest.json"
    append(run_of(60, 1), "what", "command", path)
    append(run_of(96, 1, void="a shared loop was late"), "what", "command", path)
    append(run_of(60, 2, figures={"settle_s": None}), "what", "command", path)
    found = slopes.load(path)
    points = {(p.size, p.seed): p for p in found.points}
    figures = points[64, 1].figures
    assert figures["hollow_core_percent"] == 0.5
    assert figures["hollow_records_bytes_per_s"] == 600.0
    assert figures["settle_s"] == 4.0
    assert "change_p99_s" not in figures
    assert found.units["hollow_memory_mb"] == "MB"
    assert found.units["hollow_records_bytes_per_s"] == "bytes/s"
    assert points[100, 1].void == "a shared loop was late"
    assert points[100, 1].figures == {}
    assert "never held each other" in points[64, 2].void
    assert points[64, 2].figures == {}
    again = run_of(60, 1)
    again.costs = []
    append(
        again, "what", "command", path
    )  # the same run once more takes the old one's place
    assert "hollow_core_percent" not in slopes.load(path).points[0].figures


def test_a_broken_file_of_slopes_stays_as_it_is(tmp_path: Path) -> None:
    path = tmp_path / "rest.json"
    path.write_text("{")
    with pytest.raises(slopes.SlopesUnreadable):
        append(run_of(60, 1), "what", "command", path)
    assert path.read_text() == "{"


def test_a_broken_file_of_slopes_is_told_before_the_run_and_not_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: minutes are played, the file is found broken then, and what `--json` was to keep is
    lost with the run.
    """
    from loadbalancer.cli import swarm as command

    monkeypatch.setattr(command, "play_with_progress", lambda *_: pytest.fail("played"))
    path = tmp_path / "rest.json"
    path.write_text("{")
    script = str(PACKAGES / "scenarios" / "swarm" / "scale.toml")
    done = CliRunner().invoke(command.swarm, ["run", script, "--slopes", str(path)])
    assert done.exit_code == 2
    assert "rest.json: no slopes" in done.stderr
    assert path.read_text() == "{"


# ---- processes ---------------------------------------------------------------------------------------------


async def started() -> asyncio.subprocess.Process:
    """A process of hollow nodes that runs."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "loadbalancer.lab.swarm.hollow"),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={"PYTHONPATH": str(PACKAGES)},
    )
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.write(json.dumps(wish(3, ["127.0.0.1:9"])).encode() + b"\n")
    assert list(json.loads(await process.stdout.readline())["addresses"]) == [
        "h0",
        "h1",
        "h2",
    ]
    process.stdin.write(
        b'{"do": "start", "names": ["h0", "h1"], "id": 1}\n{"do": "dance", "id": 2}\n'
    )
    answers = {}
    for _ in range(2):
        told = json.loads(await process.stdout.readline())
        answers[told["id"]] = told["answer"]
    assert answers == {1: {}, 2: {"error": "nothing to do by the name of 'dance'"}}
    return process


@pytest.mark.parametrize("how", ["SIGTERM", "SIGINT", "the end of its input"])
async def test_a_process_of_hollow_nodes_ends_all_of_them(how: str) -> None:
    process = await started()
    assert process.stdin is not None
    assert process.stderr is not None
    if how.startswith("SIG"):
        process.send_signal(signal.Signals[how])
    else:
        process.stdin.close()
    async with asyncio.timeout(PATIENCE):
        assert await process.wait() == 0
        assert await process.stderr.read() == b""


EACH: dict[str, Table] = {
    "faults": {
        "world": {"nodes": 2, "seeds": 2, "watch_s": 11.0},
        "hollow": {"count": 16, "processes": 2, "racks": 2},
        "membership": {"bear_pause_s": 2.5},
        "audit": {},
        "servers": {"count": 4, "spare": 1},
        "fault": [
            {"kind": "kill", "at_s": 0.5, "nodes": ["h3"]},
            {
                "kind": "pause",
                "at_s": 0.5,
                "nodes": ["h4", "h6", "h9", "h11"],
                "for_s": 1.0,
            },
            {"kind": "list", "at_s": 1.0, "drain": ["s0"], "add": 1},
            {"kind": "restart", "at_s": 1.0, "nodes": ["h8"], "for_s": 0.5},
        ],
        "datagram": [
            {"kind": "cut", "from": ["h5"], "to": ["n0"], "at_s": 1.0, "for_s": 4.0}
        ],
    },
    "held": {
        "world": {"nodes": 1, "watch_s": 3.0},
        "hollow": {"count": 4, "processes": 1, "late_ms": 0.0001},
        "expect": [{"figure": "false_deaths", "at_most": 0}],
    },
}


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Result]:
    async def every() -> dict[str, Result]:
        worlds = {n: read(t, n) for n, t in EACH.items()} | {
            "scale": load(SCRIPTS / "scale.toml")
        }
        played = (
            play_swarm(world, tmp_path_factory.mktemp("world"))
            for world in worlds.values()
        )
        return dict(zip(worlds, await asyncio.gather(*played), strict=True))

    return asyncio.run(every())


def figure(result: Result, name: str) -> float:
    value = result.figures[name]
    assert value is not None, f"{name} was not had: {result.figures}"
    return value


def test_faults_reach_hollow_nodes_in_one_fleet_with_real_ones(
    results: dict[str, Result],
) -> None:
    result = results["faults"]
    for wrong in (
        "undetected",
        "false_deaths",
        "cut_deaths",
        "disagreements",
        "change_missing",
    ):
        assert figure(result, wrong) == 0, wrong
    assert figure(result, "hollow_faults") == figure(result, "wrong_standings") == 0
    # Nobody may happen to probe one node in a pause of three periods; all four are not passed over.
    assert figure(result, "refuted") >= 1
    assert 0 < figure(result, "change_last_s") < 10
    kinds = [(line["kind"], line["fault"]) for line in result.faults]
    assert kinds.count(("pause", "ends")) == kinds.count(("cut", "ends")) == 1


def test_the_small_scale_run_holds_all_that_it_promises(
    results: dict[str, Result],
) -> None:
    result = results["scale"]
    assert (result.nodes, result.hollow) == (4, 60)
    assert len(result.claims) >= 5
    assert [e.figure for e, held in result.claims if not held] == []
    assert result.good
    kinds = {(line["kind"], line["fault"]) for line in result.faults}
    assert kinds >= {
        ("pause", "ends"),
        ("kill", "begins"),
        ("list", "begins"),
        ("partition", "ends"),
    }


@pytest.mark.parametrize(
    "path", sorted(SCRIPTS.glob("scale*.toml")), ids=lambda p: p.stem
)
def test_each_scale_script_can_be_read_and_fits_in(path: Path) -> None:
    swarm = load(path, {}, {"count": 60})
    check_fits(swarm)
    assert swarm.hollow is not None
    assert swarm.hollow.count == 60
    assert {"false_deaths", "disagreements", "hollow_faults"} <= {
        e.figure for e in swarm.expects
    }


def test_a_run_tells_what_a_real_and_a_hollow_node_cost(
    results: dict[str, Result],
) -> None:
    result = results["faults"]
    real, hollow = result.costs
    assert (real.kind, real.nodes, hollow.kind) == ("real", 2, "hollow")
    assert (
        hollow.nodes == 14
    )  # all but the one that was killed and the one that began anew
    for cost in result.costs:
        assert set(cost.bytes_by_part) >= {"membership", "records", "audit"}
        assert cost.bytes_per_s == pytest.approx(sum(cost.bytes_by_part.values()))
        assert cost.datagrams_per_s == pytest.approx(
            sum(cost.datagrams_by_part.values())
        )
        assert (
            0
            < cost.bytes_by_part["membership"]
            < cost.bytes_per_s
            <= cost.worst_bytes_per_s
        )
        assert cost.core_percent > 0
        assert cost.memory_mb > 0
    assert real.loop_late_p99_ms is None
    assert hollow.loop_late_p99_ms is not None
    assert figure(result, "share_bytes") == pytest.approx(
        hollow.bytes_per_s / real.bytes_per_s
    )
    assert figure(result, "hollow_bytes_per_s") == hollow.bytes_per_s


def test_a_run_whose_loops_were_late_is_void_and_tells_no_figure(
    results: dict[str, Result],
) -> None:
    result = results["held"]
    assert "late by" in result.void
    assert "hollow.late_ms (0.0001)" in result.void
    assert not result.good
    assert result.claims == []
    assert result.costs == []
    assert {k for k, v in result.figures.items() if v is not None} <= {
        "loop_late_p99_ms",
        "loop_late_worst_ms",
        "stolen_percent",
    }
    assert results["faults"].void == ""
