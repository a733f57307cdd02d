"""Large bodies in every framing, over loopback: streaming, memory limits, and ends of connections."""

import asyncio
import os
import socket
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import OK, PATIENCE, Bench, Client, Discovery, Server, call, until
from loopback import settings as settings_table
from program import connected, free_port, node_table, spawn
from support import SEC, ask, balancer
from test_node import FULL, always

from loadbalancer.node.memory_budget import READ_BUFFER_BYTES_AT_LIMIT, MemoryBudget
from loadbalancer.node.upstream import attempt as attempt_module
from loadbalancer.node.upstream.body_buffer import (
    MAX_BODY_BYTES,
    MAX_HELD_BODY_BYTES,
    Upload,
)
from loadbalancer.policy.api import Outcome

MB = 1 << 20


class ScriptedServer:
    """A server that reads each head, and then lets a test handle the connection."""

    def __init__(self, serve) -> None:
        self.serve = serve
        self.heads: list[bytes] = []
        self.ends = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve_connection, "127.0.0.1", 0, limit=4096
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    entry = Server.entry

    async def serve_connection(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self.serve(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ends += 1
        finally:
            writer.close()


async def read_chunks(reader) -> bytes:
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readuntil(b"\r\n") == b"\r\n"
    return bytes(body)


async def read_body(head: bytes, reader) -> bytes:
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        return await read_chunks(reader)
    if b"content-length: " not in lower:
        return b""
    return await reader.readexactly(
        int(lower.split(b"content-length: ")[1].split(b"\r\n")[0])
    )


async def receive(client: Client) -> tuple[bytes, bytes]:
    """Reads a response's head and body, in any framing."""
    head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE)
    return head, await asyncio.wait_for(read_body(head, client.reader), PATIENCE)


def chunked_call(body: bytes, sizes: list[int], extra: bytes = b"") -> bytes:
    """An upload in chunks whose sizes repeat in order, with chunk extensions and a trailer."""
    data = call("invite", extra=b"Transfer-Encoding: chunked\r\n" + extra)
    data = data.replace(b"Content-Length: 0\r\n", b"")
    at = index = 0
    while at < len(body):
        piece = body[at : at + sizes[index % len(sizes)]]
        data += b'%x;ext="a b"\r\n%b\r\n' % (len(piece), piece)
        at += len(piece)
        index += 1
    return data + b"0\r\nX-Trailer: 1\r\n\r\n"


def upload_head(lines: bytes, **more) -> bytes:
    """The head of an upload with this framing, without its body."""
    return call("invite", extra=lines, **more).replace(b"Content-Length: 0\r\n", b"")


def pattern(size: int) -> bytes:
    return (bytes(range(251)) * (size // 251 + 1))[:size]


def echo():
    """A handler that reads a request in any framing, and returns its body with a length."""

    async def serve(head, reader, writer):
        body = await read_body(head, reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: %d\r\n\r\n"
            % len(body)
        )
        for at in range(0, len(body), 100_000):
            writer.write(body[at : at + 100_000])
            await writer.drain()

    return serve


# ---- framings ----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "size", [0, 1, MAX_HELD_BODY_BYTES, MAX_HELD_BODY_BYTES + 1, 3 * MB]
)
@pytest.mark.parametrize("chunks", [False, True])
async def test_a_body_of_any_size_is_forwarded_unchanged_in_both_directions(
    size, chunks
):
    bench = await Bench(server := ScriptedServer(echo())).start()
    body = pattern(size)
    client = await bench.client()
    for _ in range(2):  # both connections serve another request afterwards
        client.send(
            chunked_call(body, [70_000, 1, 9000])
            if chunks
            else call("invite", body=body)
        )
        head, got = await receive(client)
        assert head.startswith(b"HTTP/1.1 200 OK")
        assert got == body
        assert b"Content-Type: a/b" in head
    assert len(server.heads) == 2
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.requests
    assert not bench.node.balancer.table.off_limit_attempts
    assert bench.node.metrics.forwards == 2
    assert bench.node.metrics.outstanding == 0


@settings(derandomize=True, deadline=None, max_examples=15)
@given(
    cuts=st.lists(st.integers(1, 5000), min_size=1, max_size=20),
    sizes=st.lists(st.integers(1, 40_000), min_size=1, max_size=4),
    size=st.sampled_from([0, 5, 3000, MAX_HELD_BODY_BYTES + 7, 150_000]),
)
async def test_bodies_may_be_split_anywhere_on_both_sides(cuts, sizes, size):
    """The request arrives in pieces; the response has chunks of its own, written in pieces too."""
    body = pattern(size)

    def pieces(data: bytes) -> list[bytes]:
        found, at, index = [], 0, 0
        while at < len(data):
            step = cuts[index % len(cuts)] if index < 40 else 30_000
            found.append(data[at : at + step])
            at += step
            index += 1
        return found

    async def serve(head, reader, writer):
        got = await read_body(head, reader)
        data = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
        data += b"Transfer-Encoding: chunked\r\n\r\n"
        for at in range(0, len(got), sizes[0]):
            piece = got[at : at + sizes[0]]
            data += b"%X;a=b\r\n%b\r\n" % (len(piece), piece)
        for piece in pieces(data + b"0\r\nX-T: 1\r\n\r\n"):
            writer.write(piece)
            await asyncio.sleep(0)

    bench = await Bench(ScriptedServer(serve)).start()
    client = await bench.client()
    for piece in pieces(chunked_call(body, sizes)):
        client.send(piece)
        await asyncio.sleep(0)
    head, got = await receive(client)
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert got == body
    assert bench.node.client_listener.held_bytes == 0


async def test_a_response_delimited_by_the_end_of_the_connection_is_complete():
    for size in (0, 10, 300_000):
        body = pattern(size)

        async def serve(head, reader, writer, body=body):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            await writer.drain()
            writer.write_eof()
            await reader.read()
            raise ConnectionResetError

        bench = await Bench(ScriptedServer(serve)).start()
        client = await bench.client()
        client.send(call())
        head, got = await receive(client)
        assert head.startswith(b"HTTP/1.1 200")
        assert got == body
        assert bench.node.metrics.results["view"]["succeeded"] == 1


async def test_an_http_1_0_client_gets_a_large_response_delimited_by_the_close():
    body = pattern(300_000)

    async def serve(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))

    bench = await Bench(ScriptedServer(serve)).start()
    client = await bench.client()
    client.send(call().replace(b"HTTP/1.1", b"HTTP/1.0"))
    head = await client.reader.readuntil(b"\r\n\r\n")
    assert b"chunked" not in head
    assert b"Connection: close" in head
    assert await asyncio.wait_for(client.reader.read(), PATIENCE) == body


@pytest.mark.parametrize("size", [3, 200_000])
async def test_100_continue_is_sent_unless_the_head_is_rejected(size):
    bench = await Bench(ScriptedServer(echo())).start()
    body = pattern(size)
    data = call("invite", extra=b"Expect: 100-continue\r\n", body=body)
    head = data[: data.index(b"\r\n\r\n") + 4]
    client = await bench.client()
    client.send(head)
    assert await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE) == (
        b"HTTP/1.1 100 Continue\r\n\r\n"
    )
    client.send(body)
    assert (await receive(client))[1] == body
    client = await bench.client()
    client.send(
        call(
            "invite", extra=b"Expect: 100-continue\r\nContent-Length: 99999999\r\n"
        ).replace(b"Content-Length: 0\r\n", b"")
    )
    assert (await client.receive())[0] == 413


async def test_white_space_around_a_header_value_is_removed():
    bench = await Bench(server := Server()).start()
    data = call("invite", 9000, name=b"9b1f").replace(
        b"X-Budget-Ms: 9000", b"X-BUDGET-MS:\t 9000 \t"
    )
    assert (await bench.once(data.replace(b"9b1f", b"9b1f  ")))[0] == 200
    assert server.requests[0].headers["x-call-id"] == "9b1f"


async def test_no_body_is_awaited_after_a_status_without_one():
    bench = await Bench(
        Server(always(b"HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n"))
    ).start()
    assert (await bench.once(call("invite")))[0] == 502
    assert (await bench.once(call().replace(b"GET", b"HEAD")))[0] == 405


# ---- size limits and memory --------------------------------------------------------------------------


async def test_a_body_over_the_limit_is_rejected_in_every_framing():
    bench = await Bench(server := ScriptedServer(echo())).start()
    client = await bench.client()
    client.send(upload_head(b"Transfer-Encoding: chunked\r\n"))
    piece = b"%x\r\n%b\r\n" % (MB, bytes(MB))

    async def pour():
        for _ in range(MAX_BODY_BYTES // MB + 1):
            client.send(piece)
            await client.writer.drain()

    pouring = asyncio.create_task(pour())
    assert (await client.receive())[0] == 413
    await asyncio.wait([pouring], timeout=PATIENCE)
    await until(lambda: server.ends == 1)  # it never received a complete request
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.requests


def test_reads_are_smaller_while_the_budget_is_exhausted():
    budget = MemoryBudget(100_000)
    assert len(budget.next_read_buffer()) == MAX_HELD_BODY_BYTES
    budget.held_bytes = 50_000
    assert len(budget.next_read_buffer()) == READ_BUFFER_BYTES_AT_LIMIT


def test_upload_bytes_count_as_held_until_the_kernel_accepts_them():
    class Source:
        paused = False

        def pause(self):
            self.paused = True

        def resume(self):
            self.paused = False

    budget, source, consumptions = MemoryBudget(1000), Source(), []
    upload = Upload(budget, source, None)
    upload.on_consumed = lambda: consumptions.append(1)
    upload.append(b"abc")
    upload.append(b"de")
    upload.forward()  # no writer is set yet
    assert source.paused
    assert budget.held_bytes == 5
    assert not upload.consumed
    assert upload.take() == b"abcde"  # what has arrived goes out together
    assert upload.consumed
    assert budget.held_bytes == 5
    upload.append(b"fg")
    assert budget.held_bytes == 7
    upload.mark_sent()
    assert budget.held_bytes == 2
    assert consumptions == [1]
    upload.release()
    assert budget.held_bytes == 0


async def test_slow_transfers_of_32_mb_stay_within_the_memory_limit(tmp_path):
    """Several at a time: together they exceed the memory limit by far, and neither side reads for a while."""
    uploads, size = 6, 32 * MB
    go = asyncio.Event()

    async def serve(head, reader, writer):
        await go.wait()  # nothing is read here until then
        left = size
        while left:
            left -= len(await reader.read(min(left, 1 << 18)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // MB):
            writer.write(bytes(MB))
            await writer.drain()

    await (server := ScriptedServer(serve)).start()
    await (discovery := Discovery()).start()
    port = free_port()
    table = node_table(
        discovery.port, settings_table(), f"127.0.0.1:{port}", server.entry("s0")
    )
    limits = {"sockets": 256, "memory_mb": 64}
    node = await spawn(tmp_path, table | {"limits": limits})
    await connected(Client(port))
    peak = 0

    def resident() -> int:
        with open(f"/proc/{node.pid}/statm") as f:
            return int(f.read().split()[1]) * os.sysconf("SC_PAGESIZE")

    async def one():
        client = await Client(port).open()
        client.send(upload_head(b"Content-Length: %d\r\n" % size))

        async def pour():
            for _ in range(size // MB):
                client.send(bytes(MB))
                await client.writer.drain()

        pouring = asyncio.create_task(pour())
        head = await asyncio.wait_for(
            client.reader.readuntil(b"\r\n\r\n"), 3 * PATIENCE
        )
        status = head.split()[1]
        await pouring
        await go.wait()
        got = 0
        while got < size and status == b"200":
            await asyncio.sleep(0)
            got += len(await client.reader.read(1 << 16))
        return status

    async def watch():
        nonlocal peak
        while True:
            peak = max(peak, resident())
            await asyncio.sleep(0.01)

    base = resident()
    watching = asyncio.create_task(watch())
    asking = [asyncio.create_task(one()) for _ in range(uploads)]
    await until(lambda: len(server.heads) >= 2)
    go.set()
    statuses = await asyncio.gather(*asking)
    watching.cancel()
    assert statuses.count(b"200") >= 2
    assert set(statuses) <= {b"200", b"503"}
    assert peak - base < 24 * MB
    node.terminate()
    assert await asyncio.wait_for(node.wait(), 20) == 0


# ---- ends of connections -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 500000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n30d40\r\n"],
)
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_a_response_whose_server_fails_is_visibly_truncated(framing, version):
    head_received = asyncio.Event()

    async def serve(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + pattern(200_000))
        await writer.drain()
        await head_received.wait()
        raise ConnectionResetError

    bench = await Bench(server := ScriptedServer(serve), ScriptedServer(serve)).start()
    client = await bench.client()
    client.send(call().replace(b"HTTP/1.1", version))
    await client.reader.readuntil(b"\r\n\r\n")
    head_received.set()
    with pytest.raises(ConnectionResetError):
        while await asyncio.wait_for(client.reader.read(65536), PATIENCE):
            pass
    sent = sum(len(s.heads) for s in bench.servers)
    assert sent == 1
    assert server is not None
    assert bench.node.metrics.results["view"]["aborted"] == 1
    assert bench.node.metrics.outstanding == 0
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.requests
    assert not bench.node.balancer.table.off_limit_attempts


@pytest.mark.parametrize("size", [500, 500_000])
async def test_a_server_failure_before_the_response_is_streamed_allows_a_retry(
    size,
):
    async def die(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nabc")
        await writer.drain()
        raise ConnectionResetError

    async def serve(head, reader, writer):
        if sum(len(s.heads) for s in bench.servers) == 1:
            await die(head, reader, writer)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + pattern(size)
        )

    bench = await Bench(ScriptedServer(serve), ScriptedServer(serve)).start()
    client = await bench.client()
    client.send(call())
    assert (await receive(client))[1] == pattern(size)


async def test_an_upload_whose_server_is_unreachable_goes_to_another():
    bench = await Bench(ScriptedServer(echo()), config={"known": None}).start()
    gone = bench.servers[0].entry("gone", addr=f"127.0.0.1:{free_port()}")
    good = bench.servers[0].entry("good")
    bench.discovery.say(1, True, gone, good)
    await until(lambda: bench.node.listed is not None)
    body = pattern(200_000)
    for _ in range(8):
        client = await bench.client()
        client.send(call("invite", body=body))
        assert (await receive(client))[1] == body


async def test_an_upload_rejected_midway_is_rejected_without_a_retry():
    """Its first part is not held any more, so it is not retried; it never ran, so the client may retry."""

    async def refuse(head, reader, writer):
        await reader.read(1000)
        writer.write(FULL)
        await writer.drain()

    bench = await Bench(ScriptedServer(refuse), ScriptedServer(refuse)).start()
    client = await bench.client()
    client.send(upload_head(b"Content-Length: 900000\r\n"))
    client.send(pattern(300_000))
    status, headers, _ = await client.receive()
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert headers["connection"] == "close"
    assert sum(len(s.heads) for s in bench.servers) == 1
    assert await client.ended()
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.requests
    assert bench.node.metrics.forwards == 0


async def test_an_upload_whose_client_leaves_ends_its_attempt():
    bench = await Bench(
        server := ScriptedServer(echo()), policy_limits={"cancel": False}
    ).start()
    client = await bench.client()
    client.send(upload_head(b"Content-Length: 900000\r\n"))
    client.send(pattern(300_000))
    await until(lambda: len(server.heads) == 1)
    client.writer.transport.abort()
    await until(lambda: server.ends == 1)
    await until(lambda: not bench.node.requests)
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.balancer.table.off_limit_attempts


async def test_a_streamed_response_ends_if_its_client_leaves_or_stalls(
    monkeypatch,
):
    monkeypatch.setattr(attempt_module, "BODY_STALL_TIMEOUT_S", 0.2)

    async def serve(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
        for _ in range(MAX_BODY_BYTES // MB):
            writer.write(bytes(MB))
            await writer.drain()

    bench = await Bench(server := ScriptedServer(serve)).start()
    for leaves in (True, False):
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", bench.port))
            client.sendall(call())
            await until(lambda: bool(bench.node.balancer.table.off_limit_attempts))
            if leaves:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                client.close()
            await until(lambda: not bench.node.requests)
    await until(lambda: server.ends == 2)
    assert bench.node.client_listener.held_bytes == 0


async def test_an_upload_behind_an_open_request_waits_for_its_turn():
    release = asyncio.Event()

    async def serve(head, reader, writer):
        body = await read_body(head, reader)
        await release.wait()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )

    bench = await Bench(server := ScriptedServer(serve)).start()
    client = await bench.client()
    client.send(
        call() + call("invite", body=pattern(900_000)) + call("invite", body=b"last")
    )
    await until(
        lambda: (
            any(c.input.paused for c in bench.node.client_listener.connections)
            and bool(server.heads)
        )
    )
    assert len(server.heads) == 1
    release.set()
    assert (await receive(client))[1] == b""
    assert (await receive(client))[1] == pattern(900_000)
    assert (await receive(client))[1] == b"last"
    assert bench.node.client_listener.held_bytes == 0


async def test_the_deadline_of_a_slow_upload_runs_from_its_last_byte():
    bench = await Bench(server := ScriptedServer(echo())).start()
    client = await bench.client()
    body = pattern(200_000)
    data = call("invite", budget=1000, body=body)
    client.send(data[:-100_000])
    await until(lambda: len(server.heads) == 1)
    (request,) = bench.node.requests.values()
    assert request.guard_timer is None
    assert not bench.node.balancer.limit.in_flight
    client.send(data[-100_000:])
    assert (await receive(client))[1] == body


def test_the_policy_counts_an_upload_once_complete_and_a_stream_until_its_first_byte():
    node, rec = balancer()
    node.request(0, 1, 2, 0, 2 * SEC, False, complete=False)
    ((_, _, server, timeout),) = rec.take("send")
    assert timeout == 2 * SEC
    assert node.limit.in_flight == 0
    node.request_complete(10 * SEC, 1)  # ten seconds later, when the deadline starts
    assert node.limit.in_flight == 1
    node.response_started(10 * SEC + 50_000, 1, 0, server, 50_000)
    assert node.limit.in_flight == 0
    assert node.table.endpoints[server].in_flight == 0
    node.outcome(90 * SEC, 1, 0, server, Outcome.OK, 80 * SEC, True, ())
    assert node.table.endpoints[server].in_flight == 0
    assert not node.requests
    assert not node.table.off_limit_attempts
    # An upload that cannot be resent is rejected if it never ran, and an abandoned one is forgotten.
    node.request(91 * SEC, 2, 2, 0, 2 * SEC, False, complete=False)
    ((_, _, server, _),) = rec.take("send")
    node.not_replayable(91 * SEC, 2)
    node.outcome(91 * SEC, 2, 0, server, Outcome.CONNECT_FAILED, 10, False, ())
    assert [c[0] for c in rec.take("send", "reject", "fail")] == ["reject"]
    node.request(92 * SEC, 3, 2, 0, 2 * SEC, False, complete=False)
    ((_, _, server, _),) = rec.take("send")
    node.client_disconnected(92 * SEC, 3)
    node.outcome(92 * SEC, 3, 0, server, Outcome.CANCELLED, 10, True, ())
    assert node.table.endpoints[server].in_flight == 0 == node.limit.in_flight
    assert not node.table.off_limit_attempts
    assert ask(node, rec, 93 * SEC, 4)[0] == "send"


async def test_a_draining_node_finishes_a_streamed_response():
    release = asyncio.Event()

    async def serve(head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + pattern(100_000)
        )
        await release.wait()
        writer.write(pattern(300_000)[100_000:])

    bench = await Bench(ScriptedServer(serve)).start()
    client = await bench.client()
    client.send(call())
    head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE)
    end = asyncio.create_task(bench.node.drain())
    await until(lambda: bench.node.client_listener.draining)
    release.set()
    assert await client.reader.readexactly(300_000) == pattern(300_000)
    assert b"200" in head
    client.writer.close()
    await end


async def test_a_small_response_is_streamed_if_the_budget_does_not_allow_holding_it():
    bench = await Bench(Server(always(OK))).start()
    bench.node.client_listener.max_held_bytes = 0
    client = await bench.client()
    client.send(call())
    status = (await client.reader.readuntil(b"\r\n\r\n")).split()[1]
    assert status in (b"200", b"503")
    assert bench.node.client_listener.held_bytes == 0
