"""Stand-ins for the cases of the review: one node with the deploy file's `run`, discovery, servers, a record.

Only the standard library is used. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from time import monotonic, time
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000  # microseconds
SECOND = 1_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110  # a case that takes longer is ended, and could not run
PR_SET_PDEATHSIG = (
    1  # of prctl: the signal that a process gets when its parent has ended
)
# All processes that the case has started
STARTED: list[subprocess.Popen[bytes]] = []


def trouble() -> bool:
    """Whether the case plays its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """A port that was free a moment ago."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def start_process(command: list[str], **options: Any) -> subprocess.Popen[bytes]:
    """Starts a process that is killed at the end of the case, also if the case itself is killed."""
    prctl = ctypes.CDLL(None).prctl

    def die_with_parent() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGKILL)

    # The case has one thread, so that code may run between fork and exec.
    process = subprocess.Popen(command, preexec_fn=die_with_parent, **options)  # noqa: PLW1509
    STARTED.append(process)
    return process


def end_processes() -> None:
    """Kills all processes that the case has started and that still run, stopped ones too."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()


def end_case(number: int, frame: object) -> None:
    """Ends the case at a signal from outside, or at the end of its time."""
    sys.exit(COULD_NOT_RUN)


class CaseError(Exception):
    """The case could not run as meant."""


class Record:
    """The lines of `record.txt`, each with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.start = monotonic()
        self.path = folder / "record.txt"
        self.file = self.path.open("w", encoding="utf-8")

    def at(self) -> float:
        return monotonic() - self.start

    def line(self, text: str) -> None:
        self.file.write(f"{self.at():9.4f} {text}\n")
        self.file.flush()


def request_class(name: str, effect: str, aim: int, limit: int, **more: Any) -> dict:
    """A class as the settings have it; times in microseconds."""
    table = {
        "name": name,
        "effect": effect,
        "group": "all",
        "goal_time": aim,
        "hard_limit": limit,
        "late_value": 0.2,
        "stream": False,
        "window": 7_500_000,
        "worth": 1.0,
    }
    return table | more


# The classes of the site rimouski-main
CLASSES = [
    request_class("latest-reading", "free", 500 * MS, 1_200 * MS),
    request_class("series-query", "free", 750 * MS, 2_000 * MS, worth=3.0),
    request_class("alert-send", "single_shot", 750 * MS, 2_000 * MS, worth=10.0),
    request_class("batch-upload", "guarded", 2_000 * MS, 5_000 * MS, worth=2.0),
]


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form and with the figures of the users' pages."""
    table: dict[str, Any] = {
        "callers": {"marks_retry": False},
        "classes": CLASSES,
        "dcs": ["rimouski"],
        "discovery": "push",
        "domain_type": "chain",
        "extra": {"passes_deadline": True},
        "group_size": 1,
        "kinds": ["std"],
        "layers": ["front-api"],
        "over_share_worth": 0.1,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 30 * SECOND,
            "connect_timeout": 100 * MS,
            "max_attempts": 5,
            "max_open": 36_391,
            "max_retry_after": 2 * SECOND,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "report": {"columns": ["concurrent", "depth"], "how": "inline"},
        "rules": {
            "answer_slack": 8_000,
            "ask_within": 10 * SECOND,
            "cold": 22 * SECOND,
            "fall_multiple": 3.0,
            "start_capacity": 0.12,
            "stop_sending_within": 400 * MS,
            "tip_after": 3 * SECOND,
        },
        "self_index": 0,
        "tenants": [],
        "tick": 2_000,
        "tier": 0,
        "weights": "off",
        "worth_by": "request",
        "zone": 0,
    }
    return table | changes


def server_line(
    name: str, addr: str, state: str = "ready", zone: str = "rimouski"
) -> dict[str, Any]:
    """An entry of discovery's list; the server started long ago."""
    return {
        "id": name,
        "addr": addr,
        "zone": zone,
        "kind": "std",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class NodeProcess:
    """A node: the command `run` of the deploy file, in a process of its own."""

    def __init__(self, record: Record, folder: Path, table: dict[str, Any]) -> None:
        self.record = record
        self.folder = folder
        self.table = table
        self.config = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        host, _, port = table["listen"].rpartition(":")
        self.address = (host, int(port))

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.config.write_text(json.dumps(self.table))
        temporary = self.folder / f"tmp-{monotonic():.6f}"
        temporary.mkdir()
        environ = {
            key: value for key, value in os.environ.items() if key[:3] != "LB_"
        } | {
            "LB_NAME": self.table["name"],
            "LB_LISTEN": self.table["listen"],
            "LB_DISCOVERY": self.table["discovery"],
            "LB_CONFIG": str(self.config),
            "TMPDIR": str(temporary),
        }
        log = (self.folder / "node.log").open("ab")
        self.started_at = monotonic()
        self.process = start_process(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.line(f"node started pid={self.process.pid}")

    async def ready(self, limit_s: float = 30.0) -> None:
        """Waits until `/ready` answers 200."""
        until = monotonic() + limit_s
        while monotonic() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CaseError("the node ended before it was ready")
            with suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = await asyncio.wait_for(self.ask_ready(), 2.0)
                if status == 200:
                    self.record.line("node ready")
                    return
            await asyncio.sleep(0.01)
        raise CaseError("the node did not get ready")

    async def ask_ready(self) -> int:
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1])
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.record.line(f"node signal={number.name}")

    def end(self) -> None:
        """Ends the node with SIGKILL, as the platform may at any time; the case is over then."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def check_running(self) -> None:
        """Notes a node that ended by itself.

        Raises:
            CaseError: The node has ended.
        """
        if self.process is not None and self.process.poll() is not None:
            raise CaseError(f"the node ended with status {self.process.returncode}")


def node_table(
    name: str, agent: Agent, given: dict[str, Any], **limits: int
) -> dict[str, Any]:
    """A node's configuration file; the node listens at a free port and knows the agent's list."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{agent.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024} | limits,
        "known": json.loads(agent.listing(None)),
        "settings": given,
    }


class ServerProcess:
    """A server in a process of its own, so that a case can stop and continue it."""

    def __init__(self, record: Record, name: str, options: dict[str, Any]) -> None:
        self.record = record
        self.name = name
        file = ROOT / "review" / "server.py"
        self.process = start_process(
            [sys.executable, str(file), json.dumps(options)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.address = self.process.stdout.readline().decode().strip()
        record.line(f"server {name} started pid={self.process.pid} {self.address}")

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)
        self.record.line(f"server {self.name} signal={number.name}")

    def end(self) -> None:
        """Ends the server, and records what it has run."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        assert self.process.stdout is not None
        for line in self.process.stdout.read().decode().splitlines():
            at, _, what = line.partition(" ")
            self.record.line(
                f"server {self.name} {what} at={float(at) - self.record.start:.4f}"
            )
        self.process.stdout.close()


class Agent:
    """Discovery's agent: the list, and watches that wait for a newer version."""

    def __init__(self, record: Record, lines: list[dict[str, Any]]) -> None:
        self.record = record
        self.version = 1
        self.lines = {line["id"]: line for line in lines}
        self.changed_at = {line["id"]: 1 for line in lines}
        self.changed = asyncio.Event()
        self.answer_delay_s = 0.0
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def change(self, line: dict[str, Any]) -> None:
        self.version += 1
        self.lines[line["id"]] = line
        self.changed_at[line["id"]] = self.version
        self.record.line(
            f"discovery version={self.version} server={line['id']} state={line['state']}"
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, since: int | None) -> bytes:
        full = since is None or since > self.version
        lines = [
            line
            for name, line in self.lines.items()
            if full or self.changed_at[name] > (since or 0)
        ]
        if full:
            lines = [line for line in lines if line["state"] != "gone"]
        table = {"version": self.version, "full": full, "servers": lines}
        return json.dumps(table).encode()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, _, query = head.split(b" ", 2)[1].decode().partition("?")
                values = dict(pair.split("=") for pair in query.split("&") if pair)
                since = int(values["since"]) if "since" in values else None
                wait_s = int(values.get("timeout_ms", 0)) / 1000
                if since is not None and since >= self.version and wait_s:
                    with suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait_s)
                body = self.listing(since)
                if self.answer_delay_s:
                    await asyncio.sleep(self.answer_delay_s)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
                self.record.line(f"discovery answered since={since} bytes={len(body)}")
        writer.close()


class ServerRequest:
    """A request as a server has received it."""

    def __init__(self, head: bytes, body: bytes, at: float) -> None:
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        pairs = (line.partition(":")[::2] for line in lines)
        self.headers = {name.strip().lower(): value.strip() for name, value in pairs}
        self.body = body
        self.at = at
        self.call_id = self.headers.get("x-call-id", "")


async def read_request(reader: asyncio.StreamReader) -> ServerRequest:
    """Reads one request with a body that has a length or comes in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    at = monotonic()
    request = ServerRequest(head, b"", at)
    length = request.headers.get("content-length")
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        request.body = b"".join(pieces)
    elif length:
        request.body = await reader.readexactly(int(length))
    return request


def ok(body: bytes, *headers: str) -> bytes:
    """A whole 200 answer with a load report."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Length: {len(body)}",
        "X-Load-Report: inflight=1,queue=0",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[
    [ServerRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def listen(handler: Handler, host: str = "127.0.0.1") -> str:
    """Starts a server in this process that passes each request to `handler`; returns its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await handler(await read_request(reader), reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, host, 0, limit=1 << 20)
    return f"{host}:{server.sockets[0].getsockname()[1]}"


async def delay_proxy(target: str, delay_s: float) -> str:
    """A network path to `target`: all bytes arrive in order, `delay_s` later in each direction."""
    host, _, port = target.rpartition(":")

    async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def receive() -> None:
            data = b"-"
            while data:
                try:
                    data = await reader.read(65_536)
                except OSError:
                    data = b""
                queue.put_nowait((monotonic() + delay_s, data))

        task = asyncio.create_task(receive())
        with suppress(OSError):
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - monotonic()))
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        task.cancel()
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(carry(reader, far_writer), carry(far_reader, writer))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class Answer:
    """What a client got: `status` 0 if the connection ended without a whole answer."""

    def __init__(self, status: int, body: bytes, at: float) -> None:
        self.status, self.body, self.at = status, body, at
        self.close = False  # whether it says that the connection ends with it


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer with a length or in chunks."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            if status >= 200:
                break
        lines = head.decode("latin-1").split("\r\n")[1:]
        pairs = (line.partition(":")[::2] for line in lines)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        answer = Answer(status, body, monotonic())
        answer.close = headers.get("connection", "").lower() == "close"
        return answer
    except (OSError, asyncio.IncompleteReadError):
        return Answer(0, b"", monotonic())


def compose(
    name: str, call_id: str, budget_ms: int, body: bytes | None = None, key: str = ""
) -> bytes:
    """A client's request: GET without a body, else POST."""
    lines = [
        f"{'GET' if body is None else 'POST'} /{name}/x HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call_id}",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def play(case: Callable[[Record, Path], Awaitable[int]], file: str) -> None:
    """Runs a case, ends what it left running, and exits with its verdict."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    work = Path(tempfile.mkdtemp(prefix="review-"))
    seed = os.environ.get("SEED", "1")
    random.seed(seed)
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_case)
    signal.alarm(TIME_LIMIT_S)
    record.line(f"trouble={int(trouble())} seed={seed} time={time():.3f}")
    # A connection that is still open at the end of a case is no matter for the terminal.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    verdict = COULD_NOT_RUN
    try:
        verdict = asyncio.run(case(record, work))
    except CaseError as error:
        record.line(f"could not run: {error}")
    except Exception as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
    except SystemExit:
        record.line(
            f"could not run: ended by a signal, or not done within {TIME_LIMIT_S} s"
        )
    finally:
        end_processes()
        shutil.rmtree(work, ignore_errors=True)
    record.line(f"exit={verdict}")
    sys.exit(verdict)
