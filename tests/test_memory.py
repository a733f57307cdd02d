"""Memory of a real node under input that would take many times its size if it were kept as it arrives."""

import asyncio
from contextlib import asynccontextmanager, suppress
from time import monotonic

import aiohttp
import pytest
from loopback import OK, PATIENCE, Bench, Client, Discovery, Server, call, until
from loopback import settings as settings_table
from program import connected, free_port, node_table, spawn
from test_bodies import ScriptedServer, read_body, upload_head

from loadbalancer.node.client.input import MAX_PIPELINED_REQUESTS
from loadbalancer.node.client.request_reader import HEAD_SLICE_BYTES

MEMORY_MB = 32  # the limit at which the platform ends the node
SOCKETS = 512
CLIENTS = 150
STREAMS = 100
QUIET_S = 0.5  # memory that has not risen for this time is at its peak
SMALL_CHUNK = b"2\r\nzz\r\n"
SHORT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def body_of_small_chunks(size: int) -> bytes:
    """The start of a chunked body, without the last chunk."""
    return SMALL_CHUNK * (size // 2)


# What each client sends at once. The server answers none of it.
FORMS = {
    # Failure prevented: an object for each chunk of a body that is held.
    "held bodies": lambda: upload_head(CHUNKED) + body_of_small_chunks(64_000),
    # Failure prevented: the same for a body that is streamed, and waits for its server.
    "streamed bodies": lambda: upload_head(CHUNKED) + body_of_small_chunks(200_000),
    # Failure prevented: the parser's copy of a trailer counts for nobody.
    "trailers": lambda: (
        upload_head(CHUNKED) + SMALL_CHUNK + b"0\r\nX-T: " + b"t" * 500_000
    ),
    # Failure prevented: the objects of short requests that wait behind an open one.
    "waiting requests": lambda: call() + SHORT_REQUEST * 450,
    "requests behind a body": lambda: (
        call("invite", body=b"zz") + SHORT_REQUEST * 3_400
    ),
}


class WatchedNode:
    """A real node, with the highest memory that was seen of it."""

    def __init__(self, process, port: int, control: int) -> None:
        self.process, self.port, self.control = process, port, control
        self.peak_mb = 0.0
        self.peak_at = monotonic()

    def look(self) -> None:
        """Reads the memory of the process alone, without files and libraries."""
        with open(f"/proc/{self.process.pid}/status") as status:
            kib = next(
                int(line.split()[1]) for line in status if line[:8] == "RssAnon:"
            )
        if kib / 1024 > self.peak_mb:
            self.peak_mb, self.peak_at = kib / 1024, monotonic()

    async def watch(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(0.01)

    async def settled(self) -> None:
        """Waits until the memory has not risen for a while."""
        await until(lambda: monotonic() - self.peak_at > QUIET_S)

    async def figures(self) -> dict[str, int]:
        url = f"http://127.0.0.1:{self.control}/admin/stats"
        async with aiohttp.request("GET", url) as answer:
            return (await answer.json(content_type=None))["memory"]

    async def released(self) -> None:
        """Waits until nothing counts as held any more."""
        while (await self.figures())["counted_bytes"]:
            await asyncio.sleep(0.02)


@asynccontextmanager
async def watched_node(tmp_path, server):
    await server.start()
    await (discovery := Discovery()).start()
    port, control = free_port(), free_port()
    table = node_table(
        discovery.port, settings_table(), f"127.0.0.1:{port}", server.entry("s0")
    )
    table["limits"] = {"sockets": SOCKETS, "memory_mb": MEMORY_MB}
    table["control"] = f"127.0.0.1:{control}"
    node = WatchedNode(await spawn(tmp_path, table), port, control)
    try:
        await connected(Client(port))
        watching = asyncio.create_task(node.watch())
        yield node
        watching.cancel()
    finally:
        if node.process.returncode is None:
            node.process.kill()
            await node.process.wait()


async def never(head, reader, writer):
    """Reads nothing of a body, and never answers."""
    await asyncio.sleep(3 * PATIENCE)


@pytest.mark.parametrize("form", FORMS)
async def test_input_of_any_form_stays_within_the_memory_limit(form, tmp_path):
    async with watched_node(tmp_path, ScriptedServer(never)) as node:
        clients = [await Client(node.port).open() for _ in range(CLIENTS)]
        for client in clients:
            client.send(FORMS[form]())
        await node.settled()
        assert node.peak_mb < MEMORY_MB
        for client in clients:
            client.writer.transport.abort()
        await node.released()
        assert node.process.returncode is None


async def test_answers_that_clients_do_not_read_stay_within_the_memory_limit(tmp_path):
    """Failure prevented: each small chunk of an answer waits as a write of its own."""
    body = body_of_small_chunks(1_000_000)

    async def serve(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n" + body)
        await asyncio.sleep(3 * PATIENCE)

    async with watched_node(tmp_path, ScriptedServer(serve)) as node:
        streams = []
        while len(streams) < STREAMS:
            # With this limit the client's side stops reading after the head.
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", node.port, limit=1024
            )
            writer.write(call())
            status = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            streams.append(writer) if status == b"200" else writer.close()
        await node.settled()
        assert node.peak_mb < MEMORY_MB
        for writer in streams:
            writer.transport.abort()
        await node.released()
        assert node.process.returncode is None


async def test_bodies_in_small_chunks_are_forwarded_whole_in_both_directions():
    """A held and a streamed body each way; the server gets each as few chunks as it arrived in reads."""
    writes = []

    async def echo(head, reader, writer):
        body = await read_body(head, reader)
        writes.append(len(body))
        answer = b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n"
        writer.write(answer + SMALL_CHUNK * (len(body) // 2) + b"0\r\n\r\n")

    bench = await Bench(ScriptedServer(echo)).start()
    for size in (40_000, 64_000, 200_000):
        client = await bench.client()
        client.send(upload_head(CHUNKED) + body_of_small_chunks(size) + b"0\r\n\r\n")
        head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), PATIENCE)
        assert head.startswith(b"HTTP/1.1 200")
        got = await asyncio.wait_for(read_body(head, client.reader), PATIENCE)
        assert got == b"z" * size
    assert writes == [40_000, 64_000, 200_000]
    assert bench.node.client_listener.held_bytes == 0


async def test_a_head_counts_before_it_is_complete():
    """Failure prevented: many clients that stop in the middle of a head hold memory that nobody counts."""
    bench = await Bench(server := Server()).start()
    listener = bench.node.client_listener
    client = await bench.client()
    client.send(call()[:-2] + b"X-Fill: " + b"x" * 20_000)
    await until(lambda: listener.held_bytes > 20_000)
    listener.max_held_bytes = 30_000
    status, headers, _ = await bench.once(call()[:-2] + b"X-Fill: " + b"x" * 20_000)
    assert status == 503
    assert float(headers["retry-after"]) > 0
    client.writer.transport.abort()
    await until(lambda: not listener.held_bytes)
    assert (await bench.once(call()))[0] == 200
    assert len(server.requests) == 1


async def test_an_incomplete_body_over_the_budget_is_rejected_with_advice():
    """Failure prevented: bodies that never end fill the memory, since only complete ones are refused."""
    bench = await Bench(server := Server()).start()
    listener = bench.node.client_listener
    listener.max_held_bytes = 30_000
    client = await bench.client()
    client.send(upload_head(CHUNKED) + body_of_small_chunks(40_000))
    status, headers, _ = await client.receive()
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert await client.ended()
    assert not server.requests
    await until(lambda: not listener.held_bytes)


def holding_server() -> tuple[Server, asyncio.Event]:
    """A server that answers nothing until the event is set."""
    release = asyncio.Event()

    async def held(request, writer):
        await release.wait()
        return OK

    return Server(held), release


async def test_the_rest_of_a_read_waits_unparsed_and_is_answered_in_order():
    """Failure prevented: hundreds of requests of one read become objects at once, or some are lost."""
    server, release = holding_server()
    bench = await Bench(server).start()
    listener = bench.node.client_listener
    client = await bench.client()
    names = [b"%04x" % number for number in range(40)]
    client.send(b"".join(call("invite", name=name) for name in names))
    await until(lambda: len(server.requests) == 1)
    (connection,) = listener.connections
    assert connection.input.unparsed
    most = MAX_PIPELINED_REQUESTS + HEAD_SLICE_BYTES // len(
        call("invite", name=b"0000")
    )
    assert len(connection.pipelined) <= most
    release.set()
    for _ in names:
        assert (await client.receive())[0] == 200
    assert [
        request.headers["x-call-id"].encode() for request in server.requests
    ] == names
    assert not connection.input.unparsed
    assert listener.held_bytes == 0


async def test_requests_in_the_rest_of_a_read_are_answered_during_a_drain():
    """Failure prevented: what was read before the connection's end was announced is dropped unparsed."""
    server, release = holding_server()
    bench = await Bench(server).start()
    client = await bench.client()
    client.send(b"".join(call("invite") for _ in range(30)))
    await until(lambda: len(server.requests) == 1)
    (connection,) = bench.node.client_listener.connections
    assert connection.input.unparsed
    bench.node.client_listener.closing_after_response = True
    release.set()
    for _ in range(30):
        assert (await client.receive())[0] == 200
    assert await client.ended()
    assert len(server.requests) == 30


async def test_unreadable_bytes_in_the_rest_of_a_read_end_the_connection():
    """What follows cannot be told apart from a request, as where it is parsed at once."""
    server, release = holding_server()
    bench = await Bench(server).start()
    client = await bench.client()
    client.send(b"".join(call("invite") for _ in range(20)) + b"nonsense\r\n\r\n")
    await until(lambda: len(server.requests) == 1)
    release.set()
    statuses = []
    with suppress(asyncio.IncompleteReadError):
        while True:
            statuses.append((await client.receive())[0])
    assert statuses == [200] * (len(statuses) - 1) + [400]
    await until(lambda: not bench.node.requests)
    assert bench.node.client_listener.held_bytes == 0


async def test_a_body_is_dropped_when_its_client_leaves_before_the_answer():
    """Failure prevented: clients that leave in turn fill the memory while their attempts go on, uncounted."""
    bench = await Bench(
        ScriptedServer(never), policy_limits={"cancel": False, "second_copies": False}
    ).start()
    client = await bench.client()
    client.send(call("invite", body=b"x" * 60_000))
    await until(lambda: bool(bench.servers[0].heads))
    client.writer.transport.abort()
    await until(lambda: not bench.node.requests.by_client)
    (request,) = bench.node.requests.values()
    assert request.attempt is not None
    assert not request.message.body
    assert bench.node.client_listener.held_bytes == 0
