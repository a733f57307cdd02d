"""A whole live run: the fleet in this process, nodes and load in processes of their own."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, ClassVar

import msgspec

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.claims import Verdict, judge
from loadbalancer.lab.live.fleet import Fleet, LiveNode, too_large
from loadbalancer.lab.live.load import Load, take_rows
from loadbalancer.lab.live.wire import Broken, Pool, Unreached
from loadbalancer.lab.measures import Figures
from loadbalancer.lab.ports import ReservedPorts
from loadbalancer.lab.scenario import Scenario
from loadbalancer.lab.scenario_errors import ScenarioTooLargeError
from loadbalancer.lab.stage import Tally
from loadbalancer.lab.world import SECOND, build_world

READY_TIME = 15.0  # seconds for a node's process to say that it is ready
PACKAGES = Path(__file__).parents[3]
Told = Callable[[Fleet, float, dict[str, int]], None]


class LiveError(LoadBalancerError):
    """A live run whose load did not play to its end."""

    remedy: ClassVar[str] = (
        "free cores and memory, or make the scenario smaller with --set"
    )


class NodeEnded(LiveError):
    """A node of a live run that ended while it started."""

    remedy: ClassVar[str] = (
        "remove the reason that the node gave; `lab fleet` shows the file it reads"
    )


class Runner:
    """Starts and ends node processes. Only what it started itself is ever ended."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.reserved = ReservedPorts()
        self.started: list[asyncio.subprocess.Process] = []
        self.early_ends: list[str] = []

    async def start(self, node: LiveNode) -> None:
        """Starts a node's process and waits until it takes requests."""
        path = self.configure(node)
        node.generation += 1
        generation = node.generation
        log = (self.folder / f"node-{node.number}.log").open("ab")
        scratch = self.folder / f"tmp-{node.number}-{generation}"
        scratch.mkdir(exist_ok=True)
        kept = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        paths = [str(PACKAGES)] + [p for p in (os.environ.get("PYTHONPATH"),) if p]
        environment = {
            **kept,
            "LB_CONFIG": str(path),
            "TMPDIR": str(scratch),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        operator = self.operator_file(node)
        if operator is not None:
            environment["LB_OPERATOR"] = str(operator)
        with log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "loadbalancer",
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started.append(process)
        node.process = process
        node.alive = True
        async with asyncio.timeout(READY_TIME):
            while not await self.ready(node):
                if process.returncode is not None:
                    if node.process is process:
                        words = (
                            (self.folder / f"node-{node.number}.log")
                            .read_text()
                            .strip()
                            .splitlines()
                        )
                        raise NodeEnded(
                            f"ended at once: {words[-1] if words else ''}",
                            f"node {node.number}",
                        )
                    return  # killed while it started
                await asyncio.sleep(0.02)
        node.fleet.tiers[node.tier].directory.catch_up(node)

    def operator_file(self, node: LiveNode) -> Path | None:
        """Writes the scenario's part for operators as their file; None if it has none."""
        operator = node.fleet.world.scenario.operator
        lines: list[str] = []
        for name, table in (("zones", operator.zones), ("storms", operator.storms)):
            if table is None:
                continue
            lines.append(f"[{name}]")
            for key, value in msgspec.to_builtins(table).items():
                if isinstance(value, dict):
                    pairs = ", ".join(
                        f"{json.dumps(k)} = {json.dumps(v)}" for k, v in value.items()
                    )
                    lines.append(f"{key} = {{ {pairs} }}")
                else:
                    lines.append(f"{key} = {json.dumps(value)}")
        if not lines:
            return None
        path = self.folder / "operator.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def configure(self, node: LiveNode) -> Path:
        """Writes a node's configuration, with the same reserved port at every start."""
        if node.listen[1] == 0:
            node.listen = node.host, self.reserved.reserve(node.host)
            node.pool = Pool(node.listen)
        path = self.folder / f"node-{node.number}.json"
        path.write_text(json.dumps(node.configuration()))
        return path

    async def ready(self, node: LiveNode) -> bool:
        try:
            answer = await node.pool.ask(b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n")
        except (Unreached, Broken):
            return False
        return answer.status == 200

    async def end(self) -> None:
        """Ends all processes that are left."""
        for process in self.started:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in self.started:
            await process.wait()
        self.reserved.close()


async def run_live(
    scenario: Scenario,
    table: dict[str, Any],
    where: str,
    changes: tuple[str, ...],
    seed: int,
    told: Told | None,
) -> tuple[Tally, Figures, list[Verdict], dict[str, Any]]:
    """Plays a scenario with real processes; the same figures as a run in virtual time, and the load's own."""
    world = build_world(scenario, seed)
    problem = too_large(world)
    if problem is not None:
        raise ScenarioTooLargeError(problem, where)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with tempfile.TemporaryDirectory(prefix="lab-") as name:
        folder = Path(name)
        fleet = Fleet(world, folder)
        runner = Runner(folder)
        fleet.runner = runner.start
        try:
            await fleet.open()
            nodes = [
                n
                for t in fleet.tiers
                for n in t.nodes
                if n.owner is None or n.owner.machine.up
            ]
            await asyncio.gather(*(runner.start(node) for node in nodes))
            (folder / "scenario.json").write_text(
                json.dumps({"table": table, "changes": changes})
            )
            command = [
                sys.executable,
                "-m",
                "loadbalancer.lab.live",
                str(folder),
                str(seed),
            ]
            for node in fleet.tiers[0].nodes:
                command.append(f"{node.listen[0]}:{node.listen[1]}@{node.zone}")
            load = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                env={**os.environ, "PYTHONPATH": str(PACKAGES)},
            )
            runner.started.append(load)
            assert load.stdin is not None
            assert load.stdout is not None
            async with asyncio.timeout(READY_TIME):
                if await load.stdout.readline() != b"ready\n":
                    raise LiveError("the load's process did not start")
            fleet.begin()
            load.stdin.write(b"go\n")
            await load.stdin.drain()
            answer = asyncio.ensure_future(load.wait())
            counts: dict[str, int] = {}
            fleet.spawn(follow(load.stdout, counts))
            longest = max(c.settings.deadline for c in world.classes) / SECOND
            until = fleet.clock.now + world.length + int((2 * longest + 10) * SECOND)
            while not answer.done():
                if fleet.clock.now > until:
                    raise LiveError("the load did not end in time")
                await asyncio.wait([answer], timeout=0.5)
                watch(runner, fleet)
                if told is not None:
                    told(fleet, (fleet.clock.now - fleet.epoch) / SECOND, counts)
            if answer.result():
                raise LiveError(f"the load ended with status {answer.result()}")
            rows = json.loads((folder / "rows.json").read_text())
        finally:
            await fleet.close()
            await runner.end()
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        take_rows(fleet.measures, rows, fleet.epoch)
        for rule, count in rows["ledger"]["counts"].items():
            fleet.ledger.counts[rule] += count
        for at, rule, text in rows["ledger"]["notes"]:
            fleet.ledger.notes.append((at, rule, text))
        tally = fleet.tally(fleet.measures, rows["offered_work"], rows["useful_work"])
        figures = Figures(tally)
        return tally, figures, judge(scenario.claims, figures), rows


async def follow(stream: asyncio.StreamReader, counts: dict[str, int]) -> None:
    """Takes the load's counts as it tells them."""
    while line := await stream.readline():
        counts.update(json.loads(line))


async def stand(
    scenario: Scenario,
    where: str,
    seed: int,
    nodes: bool,
    say: Callable[[dict[str, Any]], None],
) -> None:
    """Runs a scenario's servers and agents, and its nodes if wished, until SIGINT or SIGTERM."""
    world = build_world(scenario, seed)
    problem = too_large(world)
    if problem is not None:
        raise ScenarioTooLargeError(problem, where)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    with tempfile.TemporaryDirectory(prefix="lab-") as name:
        fleet = Fleet(world, Path(name))
        runner = Runner(fleet.folder)
        try:
            await fleet.open()
            for node in [n for t in fleet.tiers for n in t.nodes]:
                if nodes:
                    await runner.start(node)
                else:
                    runner.configure(node)
                tier = fleet.tiers[node.tier].world.name
                say(
                    {
                        "node": node.number,
                        "tier": tier,
                        "config": str(fleet.folder / f"node-{node.number}.json"),
                        "listen": f"{node.listen[0]}:{node.listen[1]}",
                        "runs": nodes,
                    }
                )
            await stop.wait()
        finally:
            await fleet.close()
            await runner.end()


def alone(load: Load) -> Figures:
    """What the clients alone can tell."""
    tally = Tally(
        load.world,
        0,
        load.measures,
        load.ledger,
        [],
        load.arrivals.offered_work,
        0.0,
        0.0,
    )
    return Figures(tally)


def watch(runner: Runner, fleet: Fleet) -> None:
    """A node whose process has ended by itself has crashed."""
    for tier in fleet.tiers:
        for node in tier.nodes:
            process = node.process
            if process is not None and process.returncode is not None:
                node.process = None
                node.alive = False
                fleet.ledger.broken(
                    fleet.clock.now,
                    "crash",
                    f"node {node.number}: status {process.returncode}",
                )
