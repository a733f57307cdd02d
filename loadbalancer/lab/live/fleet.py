"""The modelled servers behind real listeners, and discovery's agents.

Every node reaches every server at an address of that node's own in 127.0.0.0/8, so a server knows which node
a request comes from: late sends and pushed servers are counted by node, as in virtual time. The machines, the
script of faults and the directory are those of the emulator; only the clock is the wall's.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path
from time import monotonic, time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from loadbalancer.lab.directory import Directory
from loadbalancer.lab.faults import Script
from loadbalancer.lab.live.wire import Answer, Broken, Incoming, Pool, Unreached
from loadbalancer.lab.machine import NEVER, Build, Job, Machine
from loadbalancer.lab.measures import Measures
from loadbalancer.lab.stage import EPOCH, Clock, Stage, StagedTier, Tally, tally_of
from loadbalancer.lab.streams import Stream
from loadbalancer.lab.world import SECOND, TierWorld, World
from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
)

SOCKET_SLACK = 50_000  # microseconds that each limit of the rules grows by on sockets
FAST = 0.001
FAST_WORK = 200.0
LARGEST_NODES, LARGEST_SERVERS, LARGEST_RATE = 40, 80, 3000  # of a live run
WORDS = {
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
    EndpointState.GONE: "gone",
}
EFFECT_WORDS = {
    Idempotency.IDEMPOTENT: "free",
    Idempotency.WITH_KEY: "guarded",
    Idempotency.NOT_IDEMPOTENT: "single_shot",
}


class LoopClock:
    """The event loop's time on the lab's scale."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.zero = monotonic()
        self.unix = time()

    @property
    def now(self) -> int:
        return EPOCH + int((monotonic() - self.zero) * SECOND)

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        self.after(when - self.now, call, *args)

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.loop.call_later(max(0.0, delay / SECOND), call, *args)

    def unix_ms(self, at: int) -> int:
        """Wall time of a moment on this clock, in milliseconds."""
        return int((self.unix + (at - EPOCH) / SECOND) * 1000)


class Attempt:
    """A request at a server."""

    __slots__ = (
        "began",
        "class_index",
        "connection",
        "job",
        "left",
        "node",
        "over",
        "server",
        "spent",
        "stage",
        "task",
        "tenant",
        "until",
        "whole",
        "wish",
        "work",
    )  # fmt: skip

    def __init__(
        self, connection: Incoming, node: LiveNode, server: LiveServer
    ) -> None:
        self.connection = connection
        self.node = node
        self.server = server
        self.wish = ""
        self.class_index = 0
        self.tenant = ""
        self.whole = 0.0  # work of the wish, at all tiers together
        self.work = 0.0  # of a stretch here
        self.until = 0
        self.job: Job | None = None
        self.left = 0
        self.stage = 0
        self.task: asyncio.Task[None] | None = None
        self.spent = 0.0
        self.over = False
        self.began = False


class LiveServer:
    """One modelled server with a listener for each node before it."""

    def __init__(
        self, fleet: Fleet, id: int, tier: int, index: int, build: Build, up: bool
    ) -> None:
        self.fleet = fleet
        self.id = id
        self.tier = tier
        self.index = index
        self.build = build
        self.zone = build.zone
        self.cell = build.cell
        self.machine = Machine(build, fleet.clock.now)
        self.machine.up = up
        self.silent = False
        self.stopping = False
        self.generation = 0
        self.node: LiveNode | None = None  # for its calls to the next tier
        self.addresses: dict[int, tuple[str, int]] = {}  # by the number of the node
        self.listeners: list[asyncio.Server] = []
        self.connections: dict[Incoming, Attempt | None] = {}
        self.away: dict[Attempt, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.armed = NEVER
        self.samples: deque[tuple[int, int, int]] = deque()
        self.next_sample = 0
        self.requests = self.rejected = self.failed = 0

    @property
    def reachable(self) -> bool:
        return self.machine.up and not self.silent

    # ---- listeners -----------------------------------------------------------------------------------

    async def listen(self) -> None:
        """Opens a listener at each node's address; the same ports at every start."""
        loop = asyncio.get_running_loop()
        for node in self.fleet.tiers[self.tier].nodes:
            host, port = self.addresses.get(node.number, (node.host, 0))
            listener = await loop.create_server(
                lambda node=node: Incoming(  # type: ignore[misc]
                    lambda c, m, u, h, b: self.asked(node, c, u, h),
                    self.opened,
                    self.closed,
                ),
                host,
                port,
                reuse_address=True,
                backlog=256,
            )
            self.addresses[node.number] = listener.sockets[0].getsockname()[:2]
            self.listeners.append(listener)

    def opened(self, connection: Incoming) -> None:
        m = self.machine
        if not m.up or m.conns >= m.build.conn_cap:
            connection.abort()
            return
        connection.deaf = self.silent
        m.conns += 1
        self.connections[connection] = None

    def closed(self, connection: Incoming) -> None:
        """A node has hung up; an attempt on it is withdrawn."""
        if connection not in self.connections:
            return
        attempt = self.connections.pop(connection)
        m = self.machine
        m.conns = max(0, m.conns - 1)
        if attempt is not None and not attempt.over:
            self.withdraw(attempt)

    # ---- requests ------------------------------------------------------------------------------------

    def asked(
        self,
        node: LiveNode,
        connection: Incoming,
        url: bytes,
        headers: dict[bytes, bytes],
    ) -> None:
        """A node's request has come whole."""
        fleet, m = self.fleet, self.machine
        if self.silent or not m.up:
            return
        now = fleet.clock.now
        self.requests += 1
        if self.tier == 0:
            fleet.crosses(node.zone, self.zone)
        told = node.stopped_at.get(self.id)
        grace = fleet.drain_grace + SOCKET_SLACK
        if told is not None and now > told + grace:
            fleet.ledger.broken(
                now, "drain", f"server {self.id}, {(now - told) // 1000} ms late"
            )
        attempt = Attempt(connection, node, self)
        if b"x-call-id" not in headers or not self.read(attempt, url, headers, now):
            connection.answer(b"404 Not Found", b"")
            return
        self.connections[connection] = attempt
        work = attempt.whole * fleet.world.tiers[self.tier].work
        noise = fleet.world.classes[attempt.class_index].noise
        if noise > 0:
            work *= fleet.noise.spread(noise)
        if self.tier < len(fleet.tiers) - 1:
            attempt.left = fleet.calls_stream.count(
                fleet.world.tiers[self.tier + 1].calls
            )
            if attempt.left:
                work /= 2
        if (
            m.errors or m.build.error_rate
        ) and fleet.error_stream.random() < m.fails_fast():
            self.failed += 1
            self.begin_effect(attempt)
            attempt.spent += FAST_WORK
            fleet.spent_work += FAST_WORK
            asyncio.get_running_loop().call_later(
                FAST, self.answer, attempt, b"500 Internal Server Error"
            )
            return
        extra = (
            fleet.world.tiers[self.tier].handshake_work
            if connection.requests == 1
            else 0.0
        )
        job = attempt.job = Job(attempt, work + extra)
        attempt.work = work  # of the stretch that follows the calls
        taken = m.offer(now, job, node.started_at.get(self.id) == m.started)
        if m.fallen:
            if m.pushed():
                fleet.ledger.broken(now, "pushed_over", f"server {self.id}")
            fleet.measures.fell += 1
            self.die()
            fleet.tiers[self.tier].directory.ended(self, fleet.world.notice)
            return
        if not taken:
            self.rejected += 1
            self.answer(attempt, b"503 Service Unavailable", b"X-Rejected: 1")
        self.arm()

    def read(
        self, attempt: Attempt, url: bytes, headers: dict[bytes, bytes], now: int
    ) -> bool:
        """What the request says: class in the path, wish and work in the query. Whether it can be used."""
        parts = urlsplit(url.decode("latin-1"))
        query = parse_qs(parts.query)
        try:
            attempt.class_index = self.fleet.class_names.index(parts.path.strip("/"))
            attempt.wish = query["wish"][0]
            attempt.whole = float(query["work"][0])
            attempt.until = now + int(headers.get(b"x-budget-ms", b"0")) * 1000
        except (KeyError, ValueError):
            return False
        attempt.tenant = headers.get(b"x-caller", b"").decode("latin-1")
        return True

    def begin_effect(self, attempt: Attempt) -> None:
        """The request takes effect: an unsafe one must do so once."""
        if attempt.began:
            return
        attempt.began = True
        fleet = self.fleet
        c = fleet.world.classes[attempt.class_index]
        if c.settings.idempotency != Idempotency.NOT_IDEMPOTENT:
            return
        seen = fleet.effects[self.tier]
        if attempt.wish in seen:
            fleet.ledger.broken(
                fleet.clock.now,
                "duplicate",
                f"wish {attempt.wish} of {c.name} ran again at server {self.id}",
            )
        seen.add(attempt.wish)

    def arm(self) -> None:
        """Sets the timer for what the machine does next."""
        due = self.machine.due
        if due == self.armed and self.timer is not None:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.armed = due
        if due < NEVER:
            delay = max(0.0, (due - self.fleet.clock.now) / SECOND)
            self.timer = asyncio.get_running_loop().call_later(delay, self.wake)

    def wake(self) -> None:
        self.timer = None
        now = self.fleet.clock.now
        for job in self.machine.finished(now):
            attempt: Attempt = job.owner
            attempt.spent += job.work
            self.fleet.spent_work += job.work
            self.begin_effect(attempt)
            if attempt.stage == 0 and attempt.left:
                attempt.stage = 1
                self.away[attempt] = None
                attempt.task = asyncio.get_running_loop().create_task(
                    self.below(attempt)
                )
            else:
                self.machine.release(now, job)
                self.answer(attempt, b"200 OK")
        self.arm()

    async def below(self, attempt: Attempt) -> None:
        """Calls the next tier, one call after another, through this server's own node."""
        fleet = self.fleet
        c = fleet.world.classes[attempt.class_index]
        assert self.node is not None
        good = True
        for _ in range(attempt.left):
            left = c.settings.deadline
            if fleet.world.scenario.passes_deadline:
                left = min(left, attempt.until - fleet.clock.now)
            if left <= 0:
                good = False
                break
            fleet.made += 1
            name = f"{fleet.made:016x}"
            data = request_bytes(
                c.name,
                c.settings.idempotency,
                name,
                f"{attempt.wish}.{name}",
                attempt.whole,
                left,
                attempt.tenant,
            )
            try:
                async with asyncio.timeout(left / SECOND + 0.1):
                    answer: Answer = await self.node.pool.ask(
                        data, c.settings.idempotency != Idempotency.NOT_IDEMPOTENT
                    )
            except (Unreached, Broken, TimeoutError):
                good = False
                break
            if answer.status != 200:
                good = False
                break
            attempt.spent += float(answer.body.rpartition(b" ")[2])
        if attempt not in self.away:
            return
        del self.away[attempt]
        now = fleet.clock.now
        assert attempt.job is not None
        if good:
            attempt.stage = 2
            self.machine.resume(now, attempt.job, attempt.work)
        else:
            self.failed += 1
            self.machine.release(now, attempt.job)
            self.answer(attempt, b"500 Internal Server Error")
        self.arm()

    def answer(self, attempt: Attempt, status: bytes, *lines: bytes) -> None:
        """Answers, and is then free for the connection's next request."""
        if attempt.over:
            return
        attempt.over = True
        connection = attempt.connection
        if connection in self.connections:
            self.connections[connection] = None
        if attempt.began and self.machine.spoils:
            how = self.machine.spoilt(self.fleet.error_stream.random())
            if how == "resets" and connection.transport is not None:
                connection.transport.abort()
            if how:
                return
        report = self.report()
        body = b"%b %d" % (attempt.wish.encode(), int(attempt.spent))
        connection.answer(
            status, body, *lines, *((b"X-Load-Report: " + report,) if report else ())
        )

    def report(self) -> bytes:
        """The load report of this moment, sampled now and then, seen late, a little noisy."""
        fleet = self.fleet
        world = fleet.world.tiers[self.tier].report
        if world is None:
            return b""
        now = fleet.clock.now
        if now >= self.next_sample:
            self.samples.append((now, self.machine.held(), len(self.machine.waiting)))
            self.next_sample = now - now % world.period + world.period
        seen = now - world.delay - fleet.report_delay
        while len(self.samples) > 1 and self.samples[1][0] <= seen:
            self.samples.popleft()
        at, held, waiting = self.samples[0]
        if at > seen:
            return b""
        values = {"inflight": held, "queue": waiting}
        return b",".join(
            b"%b=%d"
            % (f.encode(), round(values[f] * fleet.report_noise.spread(world.noise)))
            for f in world.fields
        )

    def withdraw(self, attempt: Attempt) -> None:
        attempt.over = True
        job = attempt.job
        if job is None or job.state == Job.DONE:
            return
        state = job.state
        now = self.fleet.clock.now
        if self.machine.withdraw(now, job):
            if state != Job.WAITING:
                self.begin_effect(attempt)
                if state == Job.RUNNING:
                    left = max(0.0, job.mark - self.machine.progress)
                    self.fleet.spent_work += max(0.0, job.work - left)
            if self.away.pop(attempt, self) is None and attempt.task is not None:
                attempt.task.cancel()
            self.arm()

    # ---- the process ---------------------------------------------------------------------------------

    def die(self) -> None:
        """The process ends: listeners close, connections are reset."""
        now = self.fleet.clock.now
        running, _ = self.machine.end(now)
        for attempt in [job.owner for job in running] + list(self.away):
            self.begin_effect(attempt)
            attempt.over = True
            if attempt.task is not None:
                attempt.task.cancel()
        self.away.clear()
        self.generation += 1
        self.samples.clear()
        self.next_sample = 0
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        connections, self.connections = self.connections, {}
        for connection in connections:
            if not self.silent:
                connection.abort()
        self.arm()
        if self.node is not None:
            self.node.kill()

    def begin(self) -> None:
        """A new process: its listeners open, and discovery hears of it once they have."""
        if self.machine.up or self.machine.fallen:
            return
        self.machine.begin(self.fleet.clock.now)
        self.stopping = False
        self.fleet.spawn(self.come_up())

    async def come_up(self) -> None:
        await self.listen()
        self.arm()
        if self.node is not None:
            await self.node.start()
        self.fleet.tiers[self.tier].directory.began(self)


class LiveNode:
    """A node as the fleet knows it: its agent of discovery, its configuration, its process."""

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        index: int,
        tier: int,
        zone: int,
        owner: LiveServer | None,
    ) -> None:
        self.fleet = fleet
        self.number = number  # among all nodes
        self.index = index  # in its tier
        self.tier = tier
        self.zone = zone
        self.owner = owner
        self.host = f"127.{64 + number // 250}.{number % 250}.1"
        self.listen: tuple[str, int] = (self.host, 0)
        self.pool = Pool(self.listen)
        self.alive = False
        self.generation = 0
        self.version = 0
        self.log: list[
            tuple[int, list[EndpointEntry]]
        ] = []  # what its agent has been sent, by version
        self.stopped_at: dict[int, int] = {}
        self.started_at: dict[int, int] = {}
        self.pending: list[
            tuple[Incoming, int]
        ] = []  # watches, and from which version on
        self.agent: asyncio.Server | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.used = 0  # versions that the agent has handed out

    async def open(self) -> None:
        """Starts the agent."""
        loop = asyncio.get_running_loop()
        self.agent = await loop.create_server(
            lambda: Incoming(self.asked, lambda c: None, self.hung_up), self.host, 0
        )

    @property
    def agent_address(self) -> tuple[str, int]:
        assert self.agent is not None
        host, port = self.agent.sockets[0].getsockname()[:2]
        return host, port

    # ---- the agent of discovery ----------------------------------------------------------------------

    def take(self, entries: Sequence[EndpointEntry], kind: ListUpdateKind) -> None:
        """News reach the agent: they count as told from here on."""
        now = self.fleet.clock.now
        for entry in entries:
            if entry.state == EndpointState.READY:
                self.stopped_at.pop(entry.endpoint, None)
            else:
                self.stopped_at.setdefault(entry.endpoint, now)
            if entry.started_at:
                self.started_at[entry.endpoint] = entry.started_at
        self.used += 1
        self.log.append((self.used, list(entries)))
        pending, self.pending = self.pending, []
        for connection, since in pending:
            self.tell(connection, since)

    def hung_up(self, connection: Incoming) -> None:
        self.pending = [(c, v) for c, v in self.pending if c is not connection]

    def asked(
        self,
        connection: Incoming,
        method: str,
        url: bytes,
        headers: dict[bytes, bytes],
        body: bytes,
    ) -> None:
        parts = urlsplit(url.decode("latin-1"))
        if parts.path != "/v1/endpoints":
            connection.answer(b"404 Not Found", b"")
            return
        query = parse_qs(parts.query)
        if "since" not in query:
            self.reply(
                connection,
                True,
                self.fleet.tiers[self.tier].directory.as_of(self.version),
            )
            return
        since = int(query["since"][0])
        if since < self.used:
            self.tell(connection, since)
            return
        wait = min(60_000, int(query.get("timeout_ms", ["0"])[0])) / 1000
        self.pending.append((connection, since))
        asyncio.get_running_loop().call_later(wait, self.waited, connection)

    def waited(self, connection: Incoming) -> None:
        """A watch's time is over: it is answered without news."""
        for held, since in self.pending:
            if held is connection:
                self.hung_up(connection)
                self.tell(connection, since)
                return

    def tell(self, connection: Incoming, since: int) -> None:
        latest: dict[int, EndpointEntry] = {}
        for version, entries in self.log:
            if version > since:
                latest.update((e.endpoint, e) for e in entries)
        self.reply(connection, False, list(latest.values()))

    def reply(
        self, connection: Incoming, full: bool, entries: list[EndpointEntry]
    ) -> None:
        body = json.dumps(self.listing(full, entries)).encode()
        connection.answer(b"200 OK", body, b"Content-Type: application/json")

    def listing(self, full: bool, entries: list[EndpointEntry]) -> dict[str, Any]:
        """Discovery's form of a list, with this node's own addresses."""
        fleet = self.fleet
        tier = fleet.tiers[self.tier]
        s = fleet.world.scenario
        lines = []
        for e in entries:
            host, port = tier.by_id[e.endpoint].addresses[self.number]
            lines.append(
                {
                    "id": f"s-{e.endpoint:08x}",
                    "addr": f"{host}:{port}",
                    "zone": s.zones[e.zone].name,
                    "kind": tier.world.kinds[e.kind],
                    "cell": e.cell,
                    "state": WORDS[e.state],
                    "weight": 1.0,
                    "started_ms": fleet.clock.unix_ms(e.started_at)
                    if e.started_at
                    else 0,
                }
            )
        return {"version": self.used, "full": full, "servers": lines}

    # ---- the process ---------------------------------------------------------------------------------

    def told(self) -> dict[str, float] | None:
        return None  # the process does not tell them

    def configuration(self) -> dict[str, Any]:
        """What a node's process is told."""
        fleet = self.fleet
        tier = fleet.tiers[self.tier]
        return {
            "name": f"{tier.world.name}-{self.index}",
            "listen": f"{self.listen[0]}:{self.listen[1]}",
            "discovery": "{}:{}".format(*self.agent_address),
            "seed": f"{fleet.seeds.below(1 << 52):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.listing(True, tier.directory.as_of(self.version)),
            "settings": settings_table(
                fleet.world, self.tier, self.zone, self.index, len(tier.nodes)
            ),
        }

    async def start(self) -> None:
        """Starts the process, if this fleet runs nodes itself, and waits until it is ready."""
        await self.fleet.start_node(self)

    def kill(self) -> None:
        """The process dies at once."""
        if not self.alive:
            return
        self.alive = False
        process, self.process = self.process, None
        self.pool.drop()
        if process is not None and process.returncode is None:
            process.kill()


class LiveTier:
    """A tier of live servers."""

    def __init__(self, world: TierWorld) -> None:
        self.world = world
        self.servers: list[LiveServer] = []
        self.nodes: list[LiveNode] = []
        self.by_id: dict[int, LiveServer] = {}
        self.directory: Directory


class Fleet(Stage):
    """All servers of a scenario, live. Node processes are started by a runner that `play` sets."""

    def __init__(self, world: World, folder: Path) -> None:
        super().__init__(world)
        self.folder = folder
        self.wall = LoopClock()
        self.class_names = [c.name for c in world.classes]
        self.effects: list[set[str]] = [set() for _ in world.tiers]
        self.made = 1 << 40  # ids of calls between tiers
        self.tasks: set[asyncio.Task[None]] = set()
        self.tiers: list[LiveTier] = []
        self.runner: Callable[[LiveNode], Any] | None = None
        self.script = Script(self)
        self.build()

    @property
    def clock(self) -> LoopClock:
        return self.wall

    @property
    def staged(self) -> Sequence[StagedTier]:
        return self.tiers

    def build(self) -> None:
        ids = Stream(self.world.seed, "ids")
        number = 0
        for i, world in enumerate(self.world.tiers):
            tier = LiveTier(world)
            for j, build in enumerate(world.builds):
                id = 1 + ids.below((1 << 32) - 2)
                while id in tier.by_id:
                    id = 1 + ids.below((1 << 32) - 2)
                server = LiveServer(self, id, i, j, build, up=j < world.initial)
                tier.servers.append(server)
                tier.by_id[id] = server
            tier.directory = Directory(self, i)
            tier.directory.open(tier.servers)
            self.tiers.append(tier)
        for j, zone in enumerate(self.world.tiers[0].nodes):
            self.tiers[0].nodes.append(LiveNode(self, number, j, 0, zone, None))
            number += 1
        for above, below in zip(self.tiers, self.tiers[1:], strict=False):
            for server in above.servers:
                server.node = LiveNode(
                    self, number, server.index, server.tier + 1, server.zone, server
                )
                below.nodes.append(server.node)
                number += 1

    async def open(self) -> None:
        """Agents and listeners come up; nothing strikes yet."""
        for tier in self.tiers:
            for node in tier.nodes:
                await node.open()
        for tier in self.tiers:
            for server in tier.servers:
                await server.listen()
                if (
                    not server.machine.up
                ):  # in reserve: it has its ports and is not there yet
                    for listener in server.listeners:
                        listener.close()
                    server.listeners.clear()
                self.arm_pause(server)

    def begin(self) -> None:
        """The day begins now: the script of faults counts from here."""
        self.epoch = self.clock.now
        self.ledger.epoch = self.epoch
        self.script.arm()
        self.each_second()

    def each_second(self) -> None:
        self.measures.sample(self)
        if self.clock.now < self.epoch + self.world.length:
            self.clock.after(SECOND, self.each_second)

    def arm_pause(self, server: LiveServer) -> None:
        pause = self.tiers[server.tier].world.pauses[server.build.kind]
        if pause.every > 0 and pause.length > 0:
            self.clock.after(
                self.pause_stream.exponential(pause.every), self.pause, server
            )

    def pause(self, server: LiveServer) -> None:
        pause = self.tiers[server.tier].world.pauses[server.build.kind]
        busy = min(1.0, server.machine.active / server.build.cores)
        self.script.stand(server, int(pause.length * (1 + pause.grow * busy)))
        self.arm_pause(server)

    def spawn(self, work: Any) -> None:
        """Runs a coroutine beside the rest; an exception in it is printed by the loop, not lost."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start_node(self, node: LiveNode) -> None:
        if self.runner is not None:
            await self.runner(node)

    def stop_node(self, node: Any, down: int) -> None:
        node.kill()
        if down:
            self.clock.after(down, lambda: self.spawn(node.start()))

    async def close(self) -> None:
        """Ends what this fleet has started."""
        for task in list(self.tasks):
            task.cancel()
        for tier in self.tiers:
            for node in tier.nodes:
                node.kill()
                if node.agent is not None:
                    node.agent.close()
            for server in tier.servers:
                for listener in server.listeners:
                    listener.close()
                for connection in list(server.connections):
                    connection.abort()

    def tally(self, measures: Measures, offered: float, useful: float) -> Tally:
        """The servers' counts with the clients' own."""
        return Tally(
            world=self.world,
            epoch=self.epoch,
            measures=measures,
            ledger=self.ledger,
            tiers=[tally_of(t.world, len(t.nodes), t.servers) for t in self.tiers],
            offered_work=offered,
            spent_work=self.spent_work,
            useful_work=useful,
            marks=self.script.marks,
            crossed=self.crossed,
        )


def request_bytes(
    class_name: str,
    effect: Idempotency,
    name: str,
    wish: str,
    work: float,
    left: int,
    tenant: str,
    again: bool = False,
) -> bytes:
    """A request to a node: the class in the path, what the stand-ins need in the query."""
    method = "GET" if effect == Idempotency.IDEMPOTENT else "POST"
    lines = [
        f"{method} /{class_name}?wish={wish}&work={work:.1f} HTTP/1.1",
        "Host: lab",
        f"X-Call-Id: {name}",
        f"X-Budget-Ms: {max(1, left // 1000)}",
    ]
    if effect == Idempotency.WITH_KEY:
        lines.append(f"Idempotency-Key: {wish}")
    if tenant:
        lines.append(f"X-Caller: {tenant}")
    if again:
        lines.append("X-Again: 1")
    if effect != Idempotency.IDEMPOTENT:
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def settings_table(
    world: World, tier: int, zone: int, index: int, instances: int
) -> dict[str, Any]:
    """A node's settings in the form that its configuration has."""
    s = world.scenario
    p, r = s.platform, s.rules
    groups = ("all", "zone", "cell")
    report = world.tiers[tier].report
    columns = {"inflight": "concurrent", "queue": "depth"}
    return {
        "classes": [
            {
                "name": c.name,
                "effect": EFFECT_WORDS[c.settings.idempotency],
                "group": groups[c.settings.deduplication_scope],
                "goal_time": c.settings.latency_objective,
                "hard_limit": c.settings.deadline,
                "late_value": c.settings.late_priority_weight,
                "window": c.settings.idempotency_window,
                "worth": c.settings.priority_weight,
            }
            for c in world.classes
        ],
        "tenants": [{"name": t.name, "quota_rps": t.quota_rps} for t in s.tenants],
        "callers": {"marks_retry": s.clients.marks_retry},
        "dcs": [z.name for z in s.zones],
        "kinds": list(world.tiers[tier].kinds),
        "layers": [t.name for t in s.tier],
        "tier": tier,
        "zone": zone,
        "group_size": instances,
        "self_index": index,
        "tick": max(1000, world.tick),
        "discovery": "push",
        "deductions": {"cross_zone": s.goal.cross_zone_price},
        "policy_limits": {
            "cancel": p.cancel,
            "conn_idle": world.tiers[tier].idle,
            "connect_timeout": world.tiers[tier].connect_timeout,
            "max_attempts": p.max_attempts,
            "max_open": p.max_open,
            "max_retry_after": int(p.max_retry_after_ms * 1000),
            "retry_after": p.retry_after,
            "second_copies": p.second_copies,
        },
        "report": {
            "columns": [columns[f] for f in report.fields] if report else [],
            "how": "inline" if report else "off",
        },
        "rules": {
            "cold": int(r.cold_s * SECOND),
            "start_capacity": r.start_capacity,
            "fall_multiple": r.fall_multiple,
            "tip_after": int(r.fall_ms * 1000),
            "answer_slack": int(r.answer_slack_ms * 1000),
            "stop_sending_within": int(r.drain_grace_ms * 1000),
        },
    }


def too_large(world: World) -> str | None:
    """Why a scenario is not for live mode; None if it is."""
    nodes = len(world.tiers[0].nodes) + sum(len(t.builds) for t in world.tiers[:-1])
    servers = sum(len(t.builds) for t in world.tiers)
    if nodes > LARGEST_NODES:
        return f"{nodes} nodes; live mode starts at most {LARGEST_NODES} processes"
    if servers > LARGEST_SERVERS:
        return f"{servers} servers; live mode runs at most {LARGEST_SERVERS}"
    if world.rate > LARGEST_RATE:
        return f"{world.rate:.0f} requests a second; live mode sends at most {LARGEST_RATE}"
    return None


_: type[Clock] = LoopClock
