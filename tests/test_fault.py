"""The fault tool: what happens to each byte, and each kind of fault as seen on real sockets."""

import asyncio
import json
import signal
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import Bench, Server, call, play

from loadbalancer.fault.address import AddressError, parse_loopback
from loadbalancer.fault.control import ControlServer
from loadbalancer.fault.proxy import FaultProxy
from loadbalancer.fault.script import ScriptError, parse_script
from loadbalancer.fault.stream_injector import StreamInjector
from loadbalancer.fault.stream_steps import InjectedFault, SendBytes

HEAD = (
    b"GET /view HTTP/1.1\r\nHost: a\r\nX-Call-Id:  abc\r\nX-Note: x-call-id: no\r\n\r\n"
)


def script(*rules: dict, seed: int = 1):
    return parse_script({"seed": seed, "rule": list(rules)}, "test")


def feed_all(
    plan, pieces: list[bytes], direction="to_server"
) -> tuple[bytes, list[InjectedFault], bool]:
    """What a script makes of these reads: the bytes sent, the faults, and whether the direction ended."""
    injector = StreamInjector(plan, 1, direction)
    steps = injector.start()
    for piece in pieces:
        steps += injector.feed(piece)
    data = b"".join(s.data for s in steps if isinstance(s, SendBytes))
    return data, [s for s in steps if isinstance(s, InjectedFault)], injector.ended


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    """The data in pieces, split at these offsets (modulo its length)."""
    marks = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    return [data[a:b] for a, b in zip(marks, marks[1:], strict=False)]


RULES = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(
            ["garble", "delay", "pace", "split", "freeze", "cut", "half_close"]
        )
    },
    optional={"at": st.one_of(st.integers(0, 90), st.just([5, 60]))},
).map(
    lambda r: (
        {**r, "direction": "to_server"}
        | {
            "delay": {"ms": 1.0, "every_bytes": 7, "times": 3},
            "pace": {"bytes_per_s": 1e6, "length": 9},
        }.get(r["kind"], {})
        | {"split": {"pieces": [1, 5], "length": 30}, "garble": {"length": 3}}.get(
            r["kind"], {}
        )
    )
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(RULES, max_size=4),
    st.integers(0, 9),
    st.lists(st.integers(0, 200), max_size=9),
)
def test_faults_do_not_depend_on_how_the_bytes_are_split_into_reads(rules, seed, cuts):
    plan = script(
        *rules,
        {"kind": "garble", "direction": "to_server", "header": "X-Call-Id"},
        seed=seed,
    )
    expected = feed_all(plan, [HEAD])
    assert feed_all(plan, split_at(HEAD, cuts)) == expected
    assert feed_all(plan, [bytes([b]) for b in HEAD]) == expected


def test_a_corruption_changes_exactly_one_byte_of_the_named_header():
    rule = {"kind": "garble", "direction": "to_server", "header": "x-call-id"}
    for seed in range(20):
        data, injected, _ = feed_all(script(rule, seed=seed), [HEAD])
        (offset,) = [
            i for i, (a, b) in enumerate(zip(HEAD, data, strict=True)) if a != b
        ]
        assert (
            offset == HEAD.index(b"abc") == injected[0].offset
        )  # not the header whose value only mentions the name
    twice = feed_all(script(rule | {"message": 2}), [HEAD, HEAD])
    assert twice[1][0].offset == len(HEAD) + HEAD.index(b"abc")
    masked, _, _ = feed_all(
        script({"kind": "garble", "direction": "to_server", "at": 3, "mask": 32}),
        [HEAD],
    )
    assert masked[:5] == b"GET\x00/"


def test_rules_affect_the_connections_they_name_and_shares_follow_from_the_seed():
    rule = {
        "kind": "cut",
        "direction": "to_server",
        "at": 1,
        "connections": {"first": 2, "every": 3, "last": 9},
    }
    hit = [
        n
        for n in range(1, 13)
        if StreamInjector(script(rule), n, "to_server").armed_rules
    ]
    assert hit == [2, 5, 8]
    share = {"kind": "cut", "direction": "to_server", "connections": {"share": 0.3}}
    drawn = [
        n
        for n in range(1000)
        if StreamInjector(script(share, seed=4), n, "to_server").armed_rules
    ]
    assert 240 < len(drawn) < 360
    assert drawn == [
        n
        for n in range(1000)
        if StreamInjector(script(share, seed=4), n, "to_server").armed_rules
    ]
    assert drawn != [
        n
        for n in range(1000)
        if StreamInjector(script(share, seed=5), n, "to_server").armed_rules
    ]


@pytest.mark.parametrize(
    ("table", "message"),
    [
        ({"rules": []}, "rules: unknown key; did you mean rule?"),
        ({"rule": [{"kind": "delays"}]}, "rule[0].kind: 'delays'; did you mean delay?"),
        (
            {"rule": [{"kind": "delay"}]},
            "rule[0].ms: missing; a rule of kind delay needs it",
        ),
        (
            {"rule": [{"kind": "cut", "ms": 3}]},
            "rule[0].ms: a rule of kind cut has no use for it",
        ),
        (
            {"rule": [{"kind": "cut", "att": 3}]},
            "rule[0].att: unknown key; did you mean at?",
        ),
        ({"rule": [{"kind": "cut", "at": [9, 3]}]}, "rule[0].at: from 9 to 3"),
        ({"rule": [{"kind": "cut", "at": -1}]}, "rule[0].at"),
        ({"rule": [{"kind": "garble", "times": 2}]}, "rule[0].times: every_bytes says"),
        (
            {"rule": [{"kind": "cut", "connections": {"last": 0}}]},
            "rule[0].connections.last",
        ),
        (
            {"rule": [{"kind": "cut", "connections": {"first": 3, "last": 2}}]},
            "is below first",
        ),
        ({"seed": "x"}, "seed: Expected `int`"),
    ],
)
def test_an_invalid_script_is_rejected_with_the_place_and_the_rule(table, message):
    with pytest.raises(ScriptError) as e:
        parse_script(table, "s.toml")
    assert str(e.value).startswith("s.toml: ")
    assert message in str(e.value)


@pytest.mark.parametrize(
    "text", ["example.org:80", "10.0.0.1:80", "127.0.0.1", "127.0.0.1:99999", "::1"]
)
def test_only_loopback_addresses_are_accepted(text):
    assert parse_loopback("127.4.0.9:80") == ("127.4.0.9", 80)
    assert parse_loopback("[::1]:80") == (
        "::1",
        80,
    )
    with pytest.raises(AddressError):
        parse_loopback(text)


# ---- each kind, on real sockets ------------------------------------------------------------------------


@asynccontextmanager
async def proxy_to(serve, *rules: dict, seed: int = 1):
    """A proxy in front of a server whose connections `serve` handles; yields port, log and proxy."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    lines: list[str] = []
    proxy = FaultProxy(
        script(*rules, seed=seed), server.sockets[0].getsockname()[:2], lines.append
    )
    _, port = await proxy.start(("127.0.0.1", 0))
    try:
        yield port, lines, proxy
    finally:
        await proxy.stop()
        server.close()


async def echo(reader, writer) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(9999):
            writer.write(data)
        writer.write(b"end")
        writer.write_eof()


async def talk(port: int, data: bytes, eof: bool = True) -> tuple[bytes, str]:
    """The answer to these bytes, and how the connection ends: `eof` or `reset`."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if eof:
        writer.write_eof()
    got = b""
    try:
        while more := await asyncio.wait_for(reader.read(9999), 20):
            got += more
        return got, "eof"
    except ConnectionResetError:
        return got, "reset"
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("rule", "got"),
    [
        ({"kind": "delay", "ms": 5, "at": 2}, (b"abcdefend", "eof")),
        ({"kind": "pace", "bytes_per_s": 2000}, (b"abcdefend", "eof")),
        ({"kind": "split", "pieces": 1}, (b"abcdefend", "eof")),
        ({"kind": "freeze", "ms": 5, "at": 3, "both": True}, (b"abcdefend", "eof")),
        ({"kind": "garble", "at": 1, "mask": 1}, (b"accdefend", "eof")),
        ({"kind": "cut", "at": 4}, (b"abcd", "eof")),
        ({"kind": "half_close", "at": 4}, (b"abcd", "eof")),
        ({"kind": "refuse"}, (b"", "reset")),
    ],
)
def test_each_kind_as_seen_by_the_client(rule, got):
    async def scene():
        async with proxy_to(echo, rule) as (port, lines, _):
            assert await talk(port, b"abcdef", eof=rule["kind"] != "cut") == got
            (line,) = map(json.loads, lines)
            assert (line["connection"], line["fault"], line["rule"]) == (
                1,
                rule["kind"],
                0,
            )
            assert line["offset"] == rule.get("at", 0)
            assert "t" not in line

    play(scene)


def test_a_reset_reaches_both_ends():
    async def scene():
        ends: asyncio.Queue[str] = asyncio.Queue()

        async def serve(reader, writer):
            try:
                await reader.readexactly(9999)
            except ConnectionResetError:
                ends.put_nowait("reset")
            except asyncio.IncompleteReadError:
                ends.put_nowait("eof")

        async with proxy_to(
            serve, {"kind": "reset", "direction": "to_server", "at": 3}
        ) as (port, _, _):
            assert (await talk(port, b"abcdef", eof=False))[1] == "reset"
            assert await asyncio.wait_for(ends.get(), 20) == "reset"

    play(scene)


def test_after_a_half_close_the_other_direction_continues():
    async def scene():
        heard: asyncio.Queue[bytes] = asyncio.Queue()

        async def serve(reader, writer):
            heard.put_nowait(
                await reader.read()
            )  # up to the end of the stream that the tool causes
            for _ in range(50):
                writer.write(b"still here ")
                await asyncio.sleep(0)
            writer.close()

        rule = {"kind": "half_close", "direction": "to_server", "at": 3}
        async with proxy_to(serve, rule) as (port, _, proxy):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"abcdef")
            assert await asyncio.wait_for(heard.get(), 20) == b"abc"
            writer.write(
                b"x" * 100_000
            )  # dropped: these bytes neither arrive nor block
            await writer.drain()
            assert await asyncio.wait_for(reader.read(-1), 20) == b"still here " * 50
            writer.close()

    play(scene)


def test_an_end_without_a_fault_is_forwarded_in_one_direction_only():
    async def scene():
        async with proxy_to(echo) as (port, lines, _):
            assert await talk(port, b"abc") == (b"abcend", "eof")
            assert lines == []

    play(scene)


def test_split_bytes_arrive_separately():
    async def scene():
        reads: list[bytes] = []

        async def serve(reader, writer):
            while data := await reader.read(9999):
                reads.append(data)
            writer.close()

        rule = {"kind": "split", "direction": "to_server", "pieces": [1, 3], "ms": 3}
        async with proxy_to(serve, rule) as (port, _, _):
            assert await talk(port, HEAD) == (b"", "eof")
        assert b"".join(reads) == HEAD
        assert len(reads) > 10

    play(scene)


def test_the_same_script_gives_the_same_log_ten_times():
    rules = [
        {
            "kind": "garble",
            "direction": "to_server",
            "at": [0, 40],
            "connections": {"share": 0.5},
        },
        {"kind": "cut", "at": [1, 60], "connections": {"share": 0.4}},
        {"kind": "delay", "ms": 1, "every_bytes": 11, "times": 4},
        {"kind": "split", "direction": "to_server", "pieces": [1, 9]},
        {"kind": "refuse", "connections": {"first": 4, "every": 5}},
    ]

    async def once() -> list[str]:
        async with proxy_to(echo, *rules, seed=7) as (port, lines, _):
            for _ in range(20):
                await talk(port, HEAD)
            return sorted(
                lines,
                key=lambda line: (
                    json.loads(line)["connection"],
                    json.loads(line)["direction"],
                ),
            )

    async def scene():
        logs = [await once() for _ in range(10)]
        assert len(logs[0]) > 30
        assert all(log == logs[0] for log in logs)

    play(scene)


def test_commands_take_effect_while_the_proxy_runs():
    async def scene():
        async with proxy_to(echo) as (port, lines, proxy):
            control = ControlServer(proxy)
            await control.start(("127.0.0.1", 0))
            where = control.server.sockets[0].getsockname()[:2]
            reader, writer = await asyncio.open_connection(*where)

            async def do(**command):
                writer.write(json.dumps(command).encode() + b"\n")
                return json.loads(await asyncio.wait_for(reader.readline(), 20))

            back, out = await asyncio.open_connection("127.0.0.1", port)
            out.write(b"abc")
            assert await back.readexactly(3) == b"abc"
            rule = {"kind": "garble", "direction": "to_server", "mask": 1}
            assert await do(do="strike", connection=1, rule=rule) == {
                "ok": True,
                "connections": [1],
            }
            out.write(b"bb")
            assert await back.readexactly(2) == b"cb"
            assert (await do(do="strike", rule={"kind": "freeze", "both": True}))["ok"]
            out.write(b"zz")
            waiting = asyncio.create_task(back.readexactly(2))
            opened = (await do(do="list"))["open"]
            assert opened == [{"connection": 1, "to_server": 5, "to_client": 5}]
            assert not waiting.done()
            assert (await do(do="thaw"))["ok"]
            assert await asyncio.wait_for(waiting, 20) == b"zz"
            assert (await do(do="refuse", on=True))["ok"]
            assert (await talk(port, b"x"))[1] == "reset"
            assert (await do(do="clear"))["ok"]
            assert await talk(port, b"x") == (
                b"xend",
                "eof",
            )
            assert (await do(do="strike", connection=1, rule={"kind": "reset"}))["ok"]
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(back.readexactly(1), 20)
            assert "is not open" in (await do(do="thaw", connection=1))["error"]
            assert '"do" is one of' in (await do(do="explode"))["error"]
            assert (
                "did you mean"
                in (await do(do="strike", rule={"kind": "delays"}))["error"]
            )
            writer.write(b"nonsense\n")
            assert (
                "not JSON"
                in json.loads(await asyncio.wait_for(reader.readline(), 20))["error"]
            )
            assert (await do(do="script", script={"rule": [{"kind": "refuse"}]}))["ok"]
            assert (await talk(port, b"x"))[1] == "reset"
            assert [json.loads(line)["fault"] for line in lines] == [
                *("garble", "freeze", "refuse", "reset", "refuse")
            ]
            control.close()
            writer.close()

    play(scene)


def test_the_command_line_runs_a_script_and_reports_an_invalid_one(tmp_path: Path):
    (tmp_path / "s.toml").write_text('[[rule]]\nkind = "cut"\nat = 2\n')
    (tmp_path / "bad.toml").write_text('[[rule]]\nkind = "delay"\n')

    async def run(*args: str):
        return await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-m",
                "loadbalancer",
                "fault",
                "--listen",
                "127.0.0.1:0",
                *args,
            ),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def scene():
        bad = await run("--to", "127.0.0.1:1", "--script", str(tmp_path / "bad.toml"))
        _, error = await bad.communicate()
        assert bad.returncode == 2
        assert b"rule[0].ms: missing" in error
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        to = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        tool = await run(
            "--to",
            to,
            "--script",
            str(tmp_path / "s.toml"),
            "--control",
            str(tmp_path / "c"),
        )
        assert tool.stderr is not None
        assert tool.stdout is not None
        port = int((await tool.stderr.readline()).split(b",")[0].rpartition(b":")[2])
        assert await talk(port, b"abcdef", eof=False) == (b"ab", "eof")
        assert json.loads(await tool.stdout.readline())["fault"] == "cut"
        tool.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(tool.wait(), 20) == 0
        assert not (tmp_path / "c").exists()
        server.close()

    play(scene)


# ---- a node and the tool -------------------------------------------------------------------------------


@asynccontextmanager
async def node_with(server: Server, *rules: dict, before: bool = False):
    """A node with the tool between the node and its server, or in front of the node."""
    bench = await Bench(server).start()
    if before:
        proxy = FaultProxy(script(*rules), ("127.0.0.1", bench.port))
        _, bench.port = await proxy.start(("127.0.0.1", 0))
    else:
        (endpoint,) = bench.node.pool.endpoints.values()
        proxy = FaultProxy(script(*rules), (endpoint.host, endpoint.port))
        endpoint.host, endpoint.port = await proxy.start(("127.0.0.1", 0))
    try:
        yield bench, proxy
    finally:
        await proxy.stop()


@pytest.mark.parametrize(
    "rule",
    [
        {"kind": "split", "pieces": [1, 4]},
        {"kind": "split", "direction": "to_server", "pieces": [1, 4]},
        {"kind": "delay", "ms": 20, "at": 30},
        {"kind": "freeze", "ms": 30, "at": 17, "both": True},
        {"kind": "pace", "bytes_per_s": 20000},
        {"kind": "half_close", "at": 10_000},
    ],
)
def test_the_node_serves_through_faults_that_lose_nothing(rule):
    async def scene():
        async with node_with(server := Server(), rule) as (bench, _):
            client = await bench.client()
            for _ in range(3):
                status, _, body = await client.ask(call("invite", 9000))
                assert (status, body) == (200, b"ok")
            assert len(server.requests) == 3
            client.writer.close()

    play(scene)


@pytest.mark.parametrize(
    "rule",
    [
        {"kind": "garble", "at": 0},  # of the status line
        {"kind": "garble", "header": "content-length"},
        {"kind": "cut", "at": 25},
        {"kind": "reset", "at": 25},
        {"kind": "half_close", "at": 25},
        {"kind": "freeze", "at": 25},
    ],
)
def test_an_unsafe_request_with_a_broken_answer_fails_and_is_never_repeated(rule):
    async def scene():
        async with node_with(
            server := Server(), rule | {"connections": {"last": 1}}
        ) as (bench, _):
            client = await bench.client()
            status, _, _ = await client.ask(call("invite", 400))
            assert status != 200
            assert len(server.requests) == 1
            client.writer.close()

    play(scene)


def test_a_client_that_closes_one_direction_still_gets_its_answer_or_none():
    """A half-close after a complete request: the client may still read."""

    async def scene():
        request = call("invite", 5000)
        rule = {"kind": "half_close", "direction": "to_server", "at": len(request)}
        async with node_with(server := Server(), rule, before=True) as (bench, _):
            client = await bench.client()
            client.send(request)
            got = await asyncio.wait_for(client.reader.read(), 20)
            assert len(server.requests) <= 1
            assert got == b"" or got.startswith(b"HTTP/1.1 ")
            client.writer.close()

    play(scene)
