"""What the cases from 6 on share: stand-ins for discovery, servers and clients, and the node's process.

Everything uses loopback addresses, the real clock and Python's standard library alone.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


PR_SET_PDEATHSIG = 1


def die_with_parent() -> None:
    """Called in a new process: it is killed when the case ends, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class NotRunError(Exception):
    """The case could not run."""


def now() -> float:
    """Seconds of the clock that all processes of the machine share."""
    return time.monotonic()


class Record:
    """Writes `record.txt`: one line for each event, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.start = now()
        self.file = (folder / "record.txt").open("w")

    def line(self, text: str, echo: bool = False) -> None:
        stamp = f"{now() - self.start:9.4f} {text}"
        self.file.write(stamp + "\n")
        if echo:
            print(stamp, flush=True)


# ---- HTTP ---------------------------------------------------------------------------------------------


@dataclass
class Message:
    """A request or a response as it was read."""

    first: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float
    last_byte_at: float = 0.0

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], float] | None:
    """The first line, the headers and the time of the first byte; None at the end of the connection."""
    first = await reader.read(1)
    if not first:
        return None
    at = now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers, at


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], to_end: bool
) -> bytes:
    """The body, by its length, its chunks or, for a response, the end of the connection."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


async def read_message(
    reader: asyncio.StreamReader, to_end: bool = False
) -> Message | None:
    head = await read_head(reader)
    if head is None:
        return None
    first, headers, at = head
    body = await read_body(reader, headers, to_end)
    return Message(first, headers, body, at, now())


def response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---- discovery ----------------------------------------------------------------------------------------


class Agent:
    """Stand-in for the discovery agent: full lists, watches, and silence while discovery is down.

    Attributes:
        entries: What the agent has, by id; an entry that is gone stays, with that state.
        changed_in: The version in which an entry changed last.
        told_at: By id and state, when that was first written to the node.
        silent: While true, calls get no answer.
        calls: Each call: time, `since` or None.
    """

    def __init__(self, record: Record, indent: int | None = None) -> None:
        self.record = record
        self.indent = indent
        self.version = 1
        self.entries: dict[str, dict[str, object]] = {}
        self.changed_in: dict[str, int] = {}
        self.told_at: dict[tuple[str, str], float] = {}
        self.silent = False
        self.delay_s = 0.0  # each answer is written this late
        self.news = asyncio.Event()
        self.calls: list[tuple[float, int | None]] = []
        self.on_call: Callable[[int | None], None] = lambda since: None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def change(self, entries: list[dict[str, object]]) -> None:
        """The agent is sent new entries, as one version."""
        self.version += 1
        for entry in entries:
            self.entries[str(entry["id"])] = entry
            self.changed_in[str(entry["id"])] = self.version
        self.wake()

    def wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    def full(self) -> dict[str, object]:
        listed = [e for e in self.entries.values() if e["state"] != "gone"]
        return {"version": self.version, "full": True, "servers": listed}

    def answer(self, since: int | None) -> dict[str, object]:
        if since is None or since > self.version:
            return self.full()
        changed = [
            entry
            for name, entry in self.entries.items()
            if self.changed_in.get(name, 0) > since
        ]
        return {"version": self.version, "full": False, "servers": changed}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, OSError):
            while (message := await read_message(reader)) is not None:
                await self.answer_call(message, writer)
        writer.close()

    async def answer_call(self, message: Message, writer: asyncio.StreamWriter) -> None:
        target = message.first.split()[1]
        query = dict(
            pair.split("=", 1)
            for pair in target.partition("?")[2].split("&")
            if "=" in pair
        )
        since = int(query["since"]) if "since" in query else None
        wait_s = float(query.get("timeout_ms", "0")) / 1000
        self.calls.append((now(), since))
        self.on_call(since)
        until = now() + wait_s
        while self.silent or (
            since is not None and since == self.version and now() < until
        ):
            news = self.news
            left = None if self.silent else max(0.0, until - now())
            with suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), left)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        table = self.answer(since)
        body = json.dumps(table, indent=self.indent).encode()
        writer.write(response(200, body, {"Content-Type": "application/json"}))
        await writer.drain()
        at = now()
        servers = table["servers"]
        assert isinstance(servers, list)
        for entry in servers:
            self.told_at.setdefault((entry["id"], entry["state"]), at)
        if table["full"]:
            for name, entry in self.entries.items():
                if entry["state"] == "gone":
                    self.told_at.setdefault((name, "gone"), at)
        if servers:
            self.record.line(
                f"discovery told version={table['version']} full={table['full']}"
                f" entries={len(servers)} bytes={len(body)} since={since}"
            )


# ---- servers ------------------------------------------------------------------------------------------


@dataclass
class Arrival:
    """A request that reached a server completely."""

    server: str
    call_id: str
    path: str
    at: float
    first_byte_at: float
    message: Message


class Server:
    """Stand-in for one server. `work` returns the response's bytes, or None to close without one."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self.fleet = fleet
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=128)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state: str = "ready", started_ms: int = 0) -> dict[str, object]:
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "rimouski",
            "kind": "front-std",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }

    def restart(self) -> None:
        """Its process dies and starts anew at once: what was open is reset."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError, OSError):
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.first.split()
                arrival = Arrival(
                    self.name,
                    message.headers.get("x-call-id", ""),
                    f"{method} {target}",
                    message.last_byte_at,
                    message.first_byte_at,
                    message,
                )
                self.fleet.arrived(arrival)
                if self.fleet.write is not None:
                    await self.fleet.write(arrival, writer)
                    continue
                data = await self.fleet.work(arrival)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


class Fleet:
    """All servers, and what reached them."""

    def __init__(self, record: Record, work_s: float = 0.03) -> None:
        self.record = record
        self.work_s = work_s
        self.servers: dict[str, Server] = {}
        self.arrivals: list[Arrival] = []
        self.held = 0
        self.work: Callable[[Arrival], Awaitable[bytes | None]] = self.serve_normally
        # Writes the answer itself, where that is set.
        self.write: (
            Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]] | None
        ) = None

    async def add(self, count: int, prefix: str = "s") -> list[Server]:
        added = []
        for _ in range(count):
            server = Server(f"{prefix}-{len(self.servers):08x}", self)
            await server.start()
            self.servers[server.name] = server
            added.append(server)
        return added

    def arrived(self, arrival: Arrival) -> None:
        self.arrivals.append(arrival)
        self.record.line(
            f"ran server={arrival.server} id={arrival.call_id} {arrival.path}"
        )

    async def serve_normally(self, arrival: Arrival) -> bytes | None:
        self.held += 1
        await asyncio.sleep(self.work_s)
        self.held -= 1
        return answer_for(arrival)


def answer_for(arrival: Arrival) -> bytes:
    """The answer that the server made for this request."""
    body = f"answer to {arrival.call_id}\n".encode()
    return response(200, body, {"X-Load-Report": "inflight=1,queue=0"})


# ---- clients ------------------------------------------------------------------------------------------


@dataclass
class Answer:
    """What a client got for a request: a status, or 0 and why there is none."""

    call_id: str
    cls: str
    sent_at: float
    at: float
    status: int
    body: bytes = b""
    why: str = ""
    headers: dict[str, str] = field(default_factory=dict)


def request_bytes(
    cls: str, call_id: str, budget_ms: int, body: bytes | None, key: str = ""
) -> bytes:
    """A request in the form that its class wants: GET without a body, or POST."""
    method = "GET" if body is None else "POST"
    lines = [
        f"{method} /{cls} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call_id}",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Clients:
    """Clients that keep connections and open more when all are busy."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: list[Answer] = []
        self.count = 0
        self.tasks: set[asyncio.Task[object]] = set()

    def next_id(self) -> str:
        self.count += 1
        return f"{self.count:016x}"

    async def ask(
        self, cls: str, budget_ms: int, body: bytes | None = None, key: str = ""
    ) -> Answer:
        call_id = self.next_id()
        data = request_bytes(cls, call_id, budget_ms, body, key)
        sent_at = now()
        answer = Answer(call_id, cls, sent_at, 0.0, 0, why="no answer in time")
        with suppress(TimeoutError):
            async with asyncio.timeout(budget_ms / 1000 + 0.6):
                await self.exchange(data, answer)
        answer.at = answer.at or now()
        self.answers.append(answer)
        self.record.line(
            f"answered id={call_id} class={cls} status={answer.status}"
            f" after={answer.at - sent_at:.4f} {answer.why}"
        )
        return answer

    async def exchange(self, data: bytes, answer: Answer) -> None:
        for attempt in (0, 1):
            fresh = attempt or not self.idle
            try:
                pair = (
                    await asyncio.open_connection(HOST, self.port)
                    if fresh
                    else self.idle.pop()
                )
            except OSError as error:
                answer.why = f"not connected: {error}"
                return
            reader, writer = pair
            try:
                writer.write(data)
                message = await read_message(reader, to_end=True)
            except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
                message = None
                answer.why = f"broken: {type(error).__name__}"
            except asyncio.CancelledError:
                writer.close()
                raise
            if message is None:
                writer.close()
                if fresh:
                    answer.why = answer.why or "closed without an answer"
                    return
                continue  # the close crossed the request
            answer.at, answer.status = message.last_byte_at, message.status
            answer.body, answer.headers, answer.why = message.body, message.headers, ""
            if message.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append(pair)
            return

    async def load(self, rate: float, until: float, cls: str, budget_ms: int) -> None:
        """Sends requests of a class that is safe to repeat, evenly, whatever their answers are."""
        due = now()
        while due < until:
            await asyncio.sleep(max(0.0, due - now()))
            self.start(self.ask(cls, budget_ms))
            due += 1 / rate
        if self.tasks:
            await asyncio.wait(self.tasks)

    def start(self, coroutine: Awaitable[object]) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(coroutine)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


# ---- the node -----------------------------------------------------------------------------------------


GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """A free port below those that the system gives to clients, at each call another one."""
    for step in range(1000):
        port = 20_000 + (os.getpid() * 41 + step) % 12_000
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            GIVEN_PORTS.add(port)
            return port
    raise NotRunError("no free port")


CLASSES = [
    {"effect": "free", "goal_time": 500000, "group": "all", "hard_limit": 1200000,
     "late_value": 0.2, "name": "latest-reading", "stream": False, "window": 5000000, "worth": 1.0},
    {"effect": "free", "goal_time": 750000, "group": "all", "hard_limit": 2000000,
     "late_value": 0.25, "name": "series-query", "stream": False, "window": 5000000, "worth": 3.0},
    {"effect": "single_shot", "goal_time": 750000, "group": "all", "hard_limit": 2000000,
     "late_value": 0.2, "name": "alert-send", "stream": False, "window": 5000000, "worth": 10.0},
    {"effect": "guarded", "goal_time": 2000000, "group": "all", "hard_limit": 5000000,
     "late_value": 0.25, "name": "batch-upload", "stream": False, "window": 7500000, "worth": 2.0},
]  # fmt: skip


def settings(**changes: object) -> dict[str, object]:
    """The settings of a small deployment, as on the page of the wire."""
    table: dict[str, object] = {
        "callers": {"marks_retry": False},
        "classes": CLASSES,
        "dcs": ["rimouski"],
        "deductions": {"cross_zone": 0.0, "waste": 0.02, "late_fail": 0.15},
        "discovery": "push",
        "domain_type": "chain",
        "extra": {"passes_deadline": False},
        "goal": {"whole": 0.7, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.1},
        "group_size": 2,
        "kinds": ["front-fast", "front-std", "front-old"],
        "layers": ["front-api", "data-core"],
        "over_share_worth": 0.1,
        "policy_limits": {
            "cancel": True, "conn_idle": 30000000, "connect_timeout": 100000,
            "cpu_us_per_request": 0.0, "cpu_us_per_s": 800000, "max_attempts": 5,
            "max_open": 36391, "max_retry_after": 2000000, "peers": False,
            "probing": False, "retry_after": True, "second_copies": True,
            "streams_per_conn": 1,
        },
        "report": {"columns": ["concurrent", "depth"], "how": "inline"},
        "rules": {
            "answer_slack": 8000, "ask_within": 10000000, "cold": 22000000,
            "fall_multiple": 3.0, "start_capacity": 0.12, "stop_sending_within": 400000,
            "tip_after": 3000000,
        },
        "self_index": 0, "tenants": [], "tick": 2000, "tier": 0, "weights": "off",
        "worth_by": "request", "zone": 0,
    }  # fmt: skip
    table.update(changes)
    return table


class Node:
    """One real node, started with the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path, config: dict[str, object]) -> None:
        self.record = record
        self.folder = folder
        self.config = config
        self.path = folder / "config.json"
        self.process: asyncio.subprocess.Process | None = None
        self.port = int(str(config["listen"]).rpartition(":")[2])

    def write_config(self) -> None:
        """Replaces the file as a whole."""
        draft = self.folder / "config.new"
        draft.write_text(json.dumps(self.config))
        draft.rename(self.path)

    async def start(
        self, env: dict[str, str] | None = None, pass_fds: tuple[int, ...] = ()
    ) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        self.log = (self.folder / "node.log").open("ab")
        environ = {
            **{k: v for k, v in os.environ.items() if not k.startswith("LB_")},
            "LB_NAME": str(self.config["name"]),
            "LB_LISTEN": str(self.config["listen"]),
            "LB_DISCOVERY": str(self.config["discovery"]),
            "LB_CONFIG": str(self.path),
            "TMPDIR": str(temporary),
            **(env or {}),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environ,
            stdout=self.log, stderr=self.log, pass_fds=pass_fds, preexec_fn=die_with_parent,
        )  # fmt: skip
        self.record.line(f"node started pid={self.process.pid}", echo=True)

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        until = now() + limit_s
        while now() < until:
            if self.process is not None and self.process.returncode is not None:
                raise NotRunError(f"the node ended with {self.process.returncode}")
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and message.status == 200:
                    self.record.line("node ready", echo=True)
                    return
            await asyncio.sleep(0.05)
        raise NotRunError("the node is not ready")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.line(f"signal {number.name} to the node", echo=True)
        self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def run_case(
    folder: Path, case: Callable[[Record, Path], Awaitable[int]], limit_s: float = 110.0
) -> None:
    """Runs a case within its time, and exits with its status."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 4096:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))
    record = Record(folder)
    record.line(f"trouble={int(TROUBLE)}", echo=True)

    async def limited(temporary: str) -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await case(record, Path(temporary))
        except asyncio.CancelledError:
            record.line("not run: ended by a signal", echo=True)
        except TimeoutError:
            record.line("not run: out of time", echo=True)
        except Exception as error:  # a fault of the script is no verdict
            record.line(f"not run: {type(error).__name__}: {error}", echo=True)
        return NOT_RUN

    with tempfile.TemporaryDirectory() as temporary:
        status = asyncio.run(limited(temporary))
    record.line(f"status={status}", echo=True)
    record.file.close()
    sys.stdout.flush()
    os._exit(status)  # what is still open belongs to no loop any more
