"""The same core behaviour under different settings, and no name of any deployment in the program."""

from __future__ import annotations

import asyncio
import re
import struct
import tomllib
from collections.abc import Iterator
from pathlib import Path
from token import STRING
from tokenize import tokenize
from typing import Any

import pytest
from loopback import OK, Bench, LoopWatch, Server, play, settings, until
from program import reset
from test_simulator import accept, create, members

from loadbalancer.node.config import read
from loadbalancer.simulator import Host

ROOT = Path(__file__).parent.parent
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
MS = 1000  # microseconds
SAFE, KEYED, UNSAFE = "free", "guarded", "single_shot"


def request_class(name: str, effect: str, deadline: int, **more: Any) -> dict[str, Any]:
    """Returns a request class; `deadline` is in milliseconds."""
    times = {
        "goal_time": deadline * MS,
        "hard_limit": deadline * MS,
        "late_value": 0.3,
        "worth": 1.0,
    }
    return {"name": name, "effect": effect, "group": "all", "window": 0} | times | more


def limits(**changes: Any) -> dict[str, Any]:
    return {"probing": False, "peers": False, "connect_timeout": 2_000 * MS} | changes


# One class that may not run twice, with no permissions; the usual three classes; many classes with long times
# and an unknown effect; a later tier.
SITES: dict[str, dict[str, Any]] = {
    "one-class": {
        "classes": [request_class("fare", UNSAFE, 300)],
        "discovery": "push",
        "policy_limits": limits(max_attempts=1, cancel=False, retry_after=False),
        "report": {"how": "none", "columns": []},
        "tenants": None,
        "tick": 1000,
    },
    "three-classes": {
        "classes": [
            request_class("Look.up", SAFE, 2000, worth=0.5),
            request_class(
                "reserve", KEYED, 1500, group="cell", window=200 * MS, worth=3.0
            ),
            request_class("pay_now", UNSAFE, 1000, worth=20.0, late_value=0.0),
        ],
        "discovery": "ask",
        "policy_limits": limits(
            max_attempts=2, cancel=True, retry_after=True, max_retry_after=70 * MS
        ),
        "report": {"how": "on_probe", "columns": ["depth"]},
        "tenants": [{"name": "north", "quota_rps": 5000.0}, {"name": "south"}],
        "dcs": ["z9"],
    },
    "eight-classes": {
        "classes": [
            *(request_class(f"r{i}", SAFE, 20_000 - i) for i in range(4)),
            request_class("k-short", KEYED, 20_000, group="zone", window=MS),
            request_class("k-long", KEYED, 20_000, group="zone", window=60_000 * MS),
            request_class("u", UNSAFE, 300, worth=900.0),
            request_class("new", "brand_new", 20_000),
        ],
        "discovery": "push",
        "policy_limits": limits(
            max_attempts=6,
            cancel=True,
            retry_after=True,
            max_retry_after=9_000 * MS,
            second_copies=True,
        ),
        "report": {"how": "inline", "columns": ["concurrent", "odd"]},
        "tenants": None,
        "deductions": {"cross_zone": 0.0},
    },
    "later-tier": {
        "classes": [
            request_class("put", KEYED, 900, window=800 * MS),
            request_class("get", SAFE, 900),
        ],
        "discovery": "ask",
        "layers": ["edge", "mid", "back"],
        "tier": 1,
        "group_size": 7,
        "self_index": 3,
        "policy_limits": limits(
            max_attempts=4, cancel=False, retry_after=True, max_retry_after=500 * MS
        ),
        "report": {"how": "none", "columns": []},
        "tenants": None,
    },
}
CASES = [(site, c["name"]) for site, given in SITES.items() for c in given["classes"]]
each = pytest.mark.parametrize(("site", "name"), CASES)


def klass(site: str, name: str) -> dict[str, Any]:
    return next(c for c in SITES[site]["classes"] if c["name"] == name)


def request(site: str, name: str, budget: int = 250, number: bytes = b"9b1f") -> bytes:
    """Returns a request of a class, in the form that the class's effect requires."""
    effect = klass(site, name)["effect"]
    lines = [b"X-Call-Id: %b" % number, b"X-Budget-Ms: %d" % budget, b"Host: app"]
    body = b""
    if SITES[site]["tenants"]:
        lines.append(b"X-Caller: north")
    if effect == KEYED:
        lines.append(b"Idempotency-Key: 77aa")
    if effect != SAFE:
        body = b"\0\xff body"
        lines.append(b"Content-Length: %d" % len(body))
    head = b"%b /%b/x?y=1 HTTP/1.1" % (
        b"GET" if effect == SAFE else b"POST",
        name.encode(),
    )
    return b"\r\n".join([head, *lines]) + b"\r\n\r\n" + body


async def bench_of(site: str, *servers: Server) -> Bench:
    bench = await Bench(*servers, **SITES[site]).start()
    await until(lambda: bool(bench.node.listed))
    return bench


class LocatedServer(Server):
    """A server in a given cell and zone."""

    def __init__(self, handle: Any, cell: int, zone: str) -> None:
        super().__init__(handle)
        self.location = {"cell": cell, "zone": zone}

    def entry(self, name: str, state: str = "ready", **changes: Any) -> dict[str, Any]:
        return super().entry(name, state, **self.location, **changes)


@each
def test_a_request_is_served_unchanged(site: str, name: str) -> None:
    async def scene() -> None:
        bench = await bench_of(site, server := Server())
        status, _, body = await bench.once(request(site, name))
        assert (status, body) == (200, b"ok")
        (got,) = server.requests
        sent = request(site, name)
        assert (
            f"{got.method} {got.target} HTTP/1.1".encode() == sent.partition(b"\r\n")[0]
        )
        assert got.body == sent.partition(b"\r\n\r\n")[2]
        assert got.headers["x-call-id"] == "9b1f"
        assert got.headers.get("idempotency-key") == (
            "77aa" if klass(site, name)["effect"] == KEYED else None
        )
        assert bench.node.metrics.outstanding == 0
        assert bench.node.client_listener.budget.held_bytes == 0

    play(scene)


@each
def test_a_request_that_may_have_run_is_sent_again_only_as_its_class_allows(
    site: str, name: str
) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        runs: list[tuple[float, LocatedServer]] = []

        def at(n: int) -> LocatedServer:
            async def run(request: Any, writer: asyncio.StreamWriter) -> None:
                runs.append((loop.time(), server))
                await asyncio.sleep(0.01)  # longer than the shortest idempotency window
                reset(writer)

            server = LocatedServer(run, n % 2, "here" if n % 2 else "there")
            return server

        bench = await bench_of(site, *(at(n) for n in range(4)))
        c, most = klass(site, name), SITES[site]["policy_limits"]["max_attempts"]
        status, _, _ = await bench.once(
            request(site, name, budget=int(c["hard_limit"] / MS))
        )
        assert 1 <= len(runs) <= most
        assert status not in (200, 429, 503) or (c["effect"] == SAFE and status == 503)
        if c["effect"] == KEYED and c["window"] > 10 * MS:
            assert 1 < len(runs) <= most
            assert runs[-1][0] - runs[0][0] <= c["window"] / 1e6
            if c["group"] != "all":
                assert all(server.location == runs[0][1].location for _, server in runs)
        elif c["effect"] != SAFE:
            assert len(runs) == 1
        elif most > 1:
            assert len(runs) > 1

    play(scene)


@each
def test_a_request_that_all_servers_reject_gets_retry_advice_only_where_permitted(
    site: str, name: str
) -> None:
    async def scene() -> None:
        async def reject(request: Any, writer: asyncio.StreamWriter) -> bytes:
            return FULL

        bench = await bench_of(site, *(Server(reject) for _ in range(3)))
        status, headers, _ = await bench.once(request(site, name))
        given = SITES[site]["policy_limits"]
        assert status == 503
        assert 1 <= sum(len(s.requests) for s in bench.servers) <= given["max_attempts"]
        if given["retry_after"]:
            assert 0 < float(headers["retry-after"]) <= given["max_retry_after"] / 1e6
        else:
            assert "retry-after" not in headers

    play(scene)


@each
def test_a_hung_server_costs_no_more_than_the_budget_and_no_second_run(
    site: str, name: str
) -> None:
    async def scene() -> None:
        async def hang(request: Any, writer: asyncio.StreamWriter) -> None:
            return None

        bench = await bench_of(site, *(Server(hang) for _ in range(2)))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with LoopWatch() as watch:
            status, _, _ = await bench.once(request(site, name, budget=120))
        assert status not in (200, 429)
        assert loop.time() - started_at < 0.12 + 0.5
        # Garbage collection or a busy machine may pause the process for the request's entire time between
        # the start of the guard and that of the attempt. Then the guard is due first, and rightly answers.
        failed_count = bench.node.deadline_guard.failed_count
        assert failed_count == 0 or watch.longest_hold_s >= 0.12
        runs = sum(len(s.requests) for s in bench.servers)
        assert runs == 1 or klass(site, name)["effect"] in (SAFE, KEYED)

    play(scene)


@pytest.mark.parametrize("site", SITES)
def test_a_disconnected_client_s_attempt_is_cancelled_only_where_permitted(
    site: str,
) -> None:
    async def scene() -> None:
        name = SITES[site]["classes"][0]["name"]
        asked, go_on = asyncio.Event(), asyncio.Event()

        async def late(request: Any, writer: asyncio.StreamWriter) -> bytes:
            asked.set()
            await go_on.wait()
            return OK

        bench = await bench_of(site, server := Server(late))
        client = await bench.client()
        client.send(request(site, name))
        await asked.wait()
        client.writer.close()
        await until(lambda: bench.node.metrics.outstanding == 0)
        if SITES[site]["policy_limits"]["cancel"]:
            await until(
                lambda: (
                    server.writers[0].transport.is_closing()
                    or server.closed == 1
                    or bool(go_on.set())
                )
            )
            await until(lambda: server.closed == 1)
        else:
            go_on.set()
            assert (await bench.once(request(site, name, number=b"second")))[0] == 200
            assert (
                server.connections == 1
            )  # the first answer arrived, and the connection was reused
        await until(lambda: not bench.node.requests)

    play(scene)


@pytest.mark.parametrize("site", SITES)
def test_a_draining_server_gets_no_requests(site: str) -> None:
    async def scene() -> None:
        name = SITES[site]["classes"][0]["name"]
        bench = await bench_of(site, leaving := Server(), staying := Server())
        bench.discovery.say(50, False, leaving.entry("s0", "draining"))
        await until(lambda: bench.node.discovery.reader.version == 50)
        for n in range(6):
            assert (await bench.once(request(site, name, number=b"n%d" % n)))[0] == 200
        assert not leaving.requests
        assert len(staying.requests) == 6

    play(scene)


@pytest.mark.parametrize(
    ("old", "new"), zip(SITES, [*list(SITES)[1:], next(iter(SITES))], strict=True)
)
def test_a_reload_replaces_one_site_s_settings_by_another_s(old: str, new: str) -> None:
    """Open requests keep their class; names of classes that are no longer served are unknown."""

    async def scene() -> None:
        go_on = asyncio.Event()

        async def late(request: Any, writer: asyncio.StreamWriter) -> bytes:
            if request.headers["x-call-id"] == "open":
                await go_on.wait()
            return OK

        bench = await bench_of(old, server := Server(late))
        client = await bench.client()
        before, after = (
            SITES[old]["classes"][0]["name"],
            SITES[new]["classes"][0]["name"],
        )
        client.send(request(old, before, budget=5000, number=b"open"))
        await until(lambda: len(server.requests) == 1)
        node = bench.node
        table = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{bench.discovery.port}",
            "limits": {"sockets": 1024},
            "settings": settings(**SITES[new]),
        }
        node.reload(read(table))
        for c in SITES[new]["classes"]:
            assert (
                await bench.once(request(new, c["name"], number=c["name"].encode()))
            )[0] == 200
        assert (await bench.once(request(old, before)))[0] == (
            404 if before != after else 200
        )
        go_on.set()
        assert (await client.receive())[0] == 200
        assert node.metrics.results[before]["succeeded"] >= 1
        assert node.metrics.outstanding == 0

    play(scene)


@pytest.mark.parametrize("site", SITES)
def test_the_simulator_respects_the_effects_as_well(site: str) -> None:
    """After a server's error, an unsafe request fails, and only safe and keyed ones are sent again."""
    env = settings(**SITES[site])
    columns = len((env["report"] or {}).get("columns", ()))
    for number, c in enumerate(env["classes"]):
        host = Host()
        host.handle_batch(3, create(env) + members(servers=(11, 12, 13)), 0)
        reply = host.handle_batch(1, accept(klass=number, left=250_000), 1000)
        if reply[:1] != b"\x41":
            assert reply[4:5] == b"\x41", reply
        server = struct.unpack_from("<I", reply, 15)[0]
        error = (
            struct.pack("<BHQBIIBHB", 8, 3, 1, 0, 900, server, 0, 502, columns)
            + b"\0\0\0\0" * columns
        )
        reply = host.handle_batch(1, error, 1900)
        again = reply[4:5] == b"\x41"
        assert not again or c["effect"] in (SAFE, KEYED)
        assert again or reply[4:5] in (
            b"\x42",
            b"\x43",
        )  # rejected or failed immediately
        assert reply[4:5] != b"\x42" or c["effect"] == SAFE


# ---- no deployment in the program -------------------------------------------------------------------------

# Names of the users' sites, which are not in the repository; the project's own are read from `deploy/sites`.
USERS = [
    *(
        "rimouski",
        "rimouski-main",
        "latest-reading",
        "series-query",
        "alert-send",
        "batch-upload",
    ),
    *(
        "front-api",
        "data-core",
        "front-fast",
        "front-std",
        "front-old",
        "core-fast",
        "core-std",
    ),
    *(
        "amman",
        "amman-main",
        "amman-dc",
        "job-search",
        "cv-update",
        "paid-posting",
        "apply",
        "gateway",
    ),
    *(
        "board-api",
        "gw-fast",
        "gw-slow",
        "api-fast",
        "api-slow",
        "rec-fast",
        "rec-slow",
        "records",
    ),
]
# Names of deployments that the program uses as well, with another meaning.
WORDS = {"records", "ledger", "front", "counter", "book"}


def names_of(table: dict[str, Any]) -> Iterator[str]:
    """Iterates over the site, zones, tiers, kinds, classes and tenants of a settings file."""
    yield table["name"]
    yield from table.get("net", {}).get("zones", ())
    for tier in table.get("tier", ()):
        yield tier["name"]
        yield from (kind["name"] for kind in tier.get("kind", ()))
    for what in ("class", "tenant"):
        yield from (entry["name"] for entry in table.get(what, ()) if "name" in entry)


def test_no_deployment_is_named_in_the_program_or_the_deploy_files() -> None:
    """Failure prevented: a limit, a cost or an effect depends on the name that a class has at one customer.

    Names are searched as complete words in the entire text, including comments. A name that could be an
    ordinary word is searched only in string constants of the code. `scenarios/` is left out: the lab's own
    settings have such names, and no node reads them.
    """
    known = set(USERS)
    sites = sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))
    for file in sites:
        known |= set(names_of(tomllib.loads(file.read_text())))
    assert sites
    assert len(known) > len(USERS)
    plain = {name for name in known if name.isalpha()} - WORDS
    joined = re.compile(
        rf"(?<![\w-])({'|'.join(map(re.escape, sorted(known - plain - WORDS)))})(?![\w-])"
    )
    files = [
        *(ROOT / "loadbalancer").rglob("*.py"),
        ROOT / "deploy/balancer.toml",
        ROOT / "deploy/operator.toml",
    ]
    assert len(files) > 50
    found = []
    for file in files:
        text = file.read_text()
        found += [f"{file.relative_to(ROOT)}: {name}" for name in joined.findall(text)]
        if file.suffix == ".toml":
            constants = set(re.findall(r"\w+", text))
        else:
            with file.open("rb") as lines:
                tokens = [
                    t.string for t in tokenize(lines.readline) if t.type == STRING
                ]
            constants = {token.lstrip("rbfuRBFU").strip("\"'") for token in tokens}
        found += [
            f"{file.relative_to(ROOT)}: {name}"
            for name in plain & {c.strip("/ ") for c in constants}
        ]
    assert not found
