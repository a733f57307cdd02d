"""Which requests a node accepts after SIGTERM, so that SIGKILL cuts off none that it still owed."""

import asyncio
import signal
from contextlib import suppress
from dataclasses import dataclass
from time import monotonic

import pytest
from loopback import OK, PATIENCE, Bench, Client, Server, call, play, until
from program import Program
from test_bodies import ScriptedServer
from test_shutdown import MAX_LATE_S, classes, kill_after

from loadbalancer.node.client import drain as drain_module

# What SIGKILL finds unanswered is excused if the request came in this time after SIGTERM (0.7 s, and 50 ms).
EXCUSED_S = 0.75
PIECE = b"x" * 10_000
PIECES = 15
PIECE_INTERVAL_S = 0.2
CLIENTS = 9
CLIENT_INTERVAL_S = 0.3
LONGEST_DEADLINE_S = 3.0


@dataclass
class SentRequest:
    """A request of a test's client: when it was sent, and what came back."""

    sent_at: float
    begun: bool = False
    whole: bool = False


async def write_in_pieces(head, reader, writer) -> None:
    """A response with a length, written slowly."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * len(PIECE))
    )
    for _ in range(PIECES):
        writer.write(PIECE)
        await asyncio.sleep(PIECE_INTERVAL_S)


async def write_in_chunks(head, reader, writer) -> None:
    """A chunked response, written slowly."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(PIECES):
        writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
        await asyncio.sleep(PIECE_INTERVAL_S)
    writer.write(b"0\r\n\r\n")


async def write_with_a_gap(head, reader, writer) -> None:
    """A response whose server writes nothing for a while in its middle."""
    half = PIECES // 2 * PIECE
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(half)))
    writer.write(half)
    await asyncio.sleep(1.5)
    writer.write(half)


async def read_response(client: Client, request: SentRequest) -> bool:
    """Reads a response in either framing; returns whether the connection may be used again."""
    head = await client.reader.readuntil(b"\r\n\r\n")
    request.begun = head.startswith(b"HTTP/1.1 200 ")
    if b"chunked" in head.lower():
        while size := int(await client.reader.readuntil(b"\r\n"), 16):
            await client.reader.readexactly(size + 2)
        await client.reader.readuntil(b"\r\n")
    else:
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        await client.reader.readexactly(length)
    request.whole = True
    return b"connection: close" not in head.lower()


async def use_connection(client: Client, sent: list[SentRequest]) -> None:
    """Sends one request after the other for as long as the connection stays open."""
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        reusable = True
        while reusable:
            client.send(call("view", 1200))
            sent.append(SentRequest(monotonic()))
            reusable = await read_response(client, sent[-1])
            await asyncio.sleep(0.05)
    client.writer.close()


def test_no_response_to_a_request_sent_late_after_sigterm_is_cut_off_by_sigkill(
    tmp_path,
):
    """Failure prevented: requests are accepted seconds after SIGTERM, and SIGKILL cuts off the responses."""

    async def scene():
        writers = (write_in_pieces, write_in_chunks, write_with_a_gap)
        servers = [await ScriptedServer(write).start() for write in writers]
        entries = [server.entry(f"s{i}") for i, server in enumerate(servers)]
        program = await Program(tmp_path, *entries).start(
            classes=classes(LONGEST_DEADLINE_S)
        )
        sent: list[SentRequest] = []
        clients = []
        try:
            for _ in range(CLIENTS):
                client = await program.client()
                clients.append(asyncio.create_task(use_connection(client, sent)))
                await asyncio.sleep(CLIENT_INTERVAL_S)
            term_at = monotonic()
            program.term()
            with suppress(TimeoutError):
                async with asyncio.timeout(kill_after(LONGEST_DEADLINE_S)):
                    await program.process.wait()
            if program.process.returncode is None:
                program.process.send_signal(signal.SIGKILL)
            await asyncio.wait_for(asyncio.gather(*clients), PATIENCE)
        finally:
            await program.stop()
        assert any(request.whole for request in sent)
        cut_off = [
            round(request.sent_at - term_at, 2)
            for request in sent
            if request.begun
            and not request.whole
            and request.sent_at > term_at + EXCUSED_S
        ]
        assert not cut_off

    play(scene)


@pytest.fixture
def short_periods(monkeypatch):
    """The periods of a drain, shorter."""
    monkeypatch.setattr(drain_module, "ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr(drain_module, "REUSE_PERIOD_S", 0.05)
    monkeypatch.setattr(drain_module, "REQUEST_PERIOD_S", 0.1)


@pytest.mark.parametrize("arrived", ["half of the head", "half of an upload"])
async def test_a_request_that_is_incomplete_when_a_drain_accepts_no_more_is_rejected(
    short_periods, arrived
):
    """Failure prevented: a request that becomes complete late in a drain is forwarded, and cut off."""
    bench = await Bench(server := Server()).start()
    client = await bench.client()
    data = call("offer", 15000, body=b"x" * 300_000)
    part = data[: data.index(b"\r\n\r\n") - 10]
    if arrived == "half of an upload":
        part = data[:-100]
    client.send(part)
    await until(
        lambda: any(c.reader.incoming for c in bench.node.client_listener.connections)
    )
    drain = asyncio.create_task(bench.node.drain())
    status, headers, _ = await client.receive()
    assert (status, headers["connection"]) == (503, "close")
    client.send(data[len(part) :])
    assert await client.ended()
    client.writer.close()
    await asyncio.wait_for(drain, PATIENCE)
    assert not server.requests


async def test_an_upload_that_a_drain_rejects_may_be_sent_to_its_end(short_periods):
    """Failure prevented: a client that reads once it has sent everything gets a reset, not its answer."""
    bench = await Bench(server := Server()).start()
    client = await bench.client()
    data = call("offer", 15000, body=b"x" * 300_000)
    client.send(data[:200_000])
    listener = bench.node.client_listener
    await until(lambda: any(c.reader.incoming for c in listener.connections))
    drain = asyncio.create_task(bench.node.drain())
    await until(lambda: bool(listener.lingering))
    for position in range(200_000, 300_000, 4_000):
        client.send(data[position : position + 4_000])
        await client.writer.drain()
        await asyncio.sleep(0.1)  # 2.5 s in all, longer than a finished client is given
    status, headers, _ = await client.receive()
    assert (status, headers["connection"]) == (503, "close")
    client.writer.close()
    await asyncio.wait_for(drain, PATIENCE)
    assert not server.requests


async def test_a_request_that_is_read_after_a_drain_accepts_no_more_is_not_forwarded(
    short_periods,
):
    """Failure prevented: a request behind a long response starts when there is no time left to answer it."""
    release = asyncio.Event()

    async def held(request, writer):
        await release.wait()
        return OK

    bench = await Bench(server := Server(held)).start()
    client = await bench.client()
    client.send(call("invite"))
    await until(lambda: len(server.requests) == 1)
    drain = asyncio.create_task(bench.node.drain())
    listener = bench.node.client_listener
    await until(lambda: bench.node.loop.time() > listener.last_request_at)
    client.send(call("invite"))
    await until(lambda: any(c.pipelined for c in listener.connections))
    release.set()
    answers = [await client.receive() for _ in range(2)]
    assert [status for status, _, _ in answers] == [200, 503]
    assert answers[1][1]["connection"] == "close"
    assert len(server.requests) == 1
    client.writer.close()
    await asyncio.wait_for(drain, PATIENCE)


async def test_idle_connections_of_a_process_that_is_replaced_close_at_once():
    """Failure prevented: the old process of an upgrade accepts requests for two seconds after SIGTERM."""
    bench = await Bench(Server()).start()
    client = await bench.client()
    assert (await client.ask(call()))[0] == 200
    bench.node.client_listener.is_shared = True
    started_at = monotonic()
    drain = asyncio.create_task(bench.node.drain())
    assert await client.ended()
    assert monotonic() - started_at < EXCUSED_S + MAX_LATE_S / 2
    client.writer.close()
    await asyncio.wait_for(drain, PATIENCE)


@pytest.mark.parametrize("killed", [True, False])
def test_a_partial_response_that_only_the_end_of_its_connection_delimits_is_reset_by_a_kill(
    tmp_path, killed
):
    """Failure prevented: the process is killed, and a part of a response looks like all of it."""
    body = b"x" * 200_000
    rest = asyncio.Event()

    async def write_without_length(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[:100_000])
        await rest.wait()
        writer.write(body[100_000:])
        writer.close()

    async def scene():
        server = await ScriptedServer(write_without_length).start()
        program = await Program(tmp_path, server.entry("s0")).start()
        try:
            client = await program.client()
            client.send(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head
            assert b"content-length" not in head.lower()
            await client.reader.readexactly(100_000)
            if killed:
                program.process.kill()
                with pytest.raises(ConnectionResetError):
                    await asyncio.wait_for(client.reader.read(), PATIENCE)
            else:
                rest.set()
                assert await client.reader.readexactly(100_000) == body[100_000:]
                assert await client.ended()
            client.writer.close()
        finally:
            rest.set()
            await program.stop()

    play(scene)
