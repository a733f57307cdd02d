"""The time of a request whose body is on the node's machine while its server does not take it."""

import asyncio
import socket

import pytest
from loopback import PATIENCE, Bench, Client, call, until
from test_bodies import ScriptedServer, pattern, read_body, upload_head

from loadbalancer.node.upstream import attempt as attempt_module
from loadbalancer.node.upstream.connection import UpstreamConnection

SIZE = 300_000
SOCKET_BUFFER_BYTES = 4_096  # towards the servers
CLIENT_BUFFER_BYTES = 212_992  # of the node's side of a client's connection
BUDGET_MS = 600
NEVER_S = 3 * PATIENCE
# Of a server that takes a little again and again: a body of SLOW_SIZE outlasts the test, while no pause of
# the node's reading is as long as SLOW_BUDGET_MS.
SLOW_SIZE = 900_000
SLOW_READ_BYTES = 1_024
SLOW_READ_PAUSE_S = 0.03
SLOW_BUDGET_MS = 3_000
FRAMINGS = ["length", "chunks"]


def framed(framing: str, body: bytes, budget: int) -> bytes:
    if framing == "length":
        return call("invite", budget=budget, body=body)
    head = upload_head(b"Transfer-Encoding: chunked\r\n", budget=budget)
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


@pytest.fixture
def _small_buffers(monkeypatch):
    """Servers take little that they do not read, and a stalled body alone ends nothing within the test."""
    connection_made = UpstreamConnection.connection_made

    def limited(self, transport):
        upstream = transport.get_extra_info("socket")
        upstream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        connection_made(self, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", limited)
    monkeypatch.setattr(attempt_module, "BODY_STALL_TIMEOUT_S", NEVER_S)


async def started(serve, **changes) -> Bench:
    bench = await Bench(server := ScriptedServer(serve), **changes).start()
    (listening,) = server.server.sockets
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    bench.node.client_listener.listen_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES
    )
    return bench


async def hang(head, reader, writer):
    await asyncio.sleep(NEVER_S)


async def take_slowly(head, reader, writer):
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
    )
    reader._limit = SLOW_READ_BYTES
    while await reader.read(SLOW_READ_BYTES):
        await asyncio.sleep(SLOW_READ_PAUSE_S)


async def sent_whole(bench: Bench, data: bytes) -> Client:
    """A client whose request has left it, although the node has stopped reading."""
    client = await bench.client()
    client.writer.transport.set_write_buffer_limits(high=0)
    client.send(data)
    await asyncio.wait_for(client.writer.drain(), PATIENCE)
    (connection,) = bench.node.client_listener.connections
    assert connection.input.paused
    assert connection.reader.incoming is not None
    return client


@pytest.mark.usefixtures("_small_buffers")
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_that_its_server_does_not_take_is_answered_in_its_time(framing):
    """Failure prevented: the client waits until the body counts as stalled, long after its time."""
    bench = await started(hang)
    client = await sent_whole(bench, framed(framing, pattern(SIZE), BUDGET_MS))
    assert (await client.receive())[0] in (503, 504)
    assert await client.ended()
    await until(lambda: not bench.node.requests)
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.usefixtures("_small_buffers")
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_that_its_server_does_not_take_is_answered_during_a_drain(framing):
    """Failure prevented: a request that was taken is open until the process is killed."""
    bench = await started(hang)
    client = await sent_whole(bench, framed(framing, pattern(SIZE), 15_000))
    draining = asyncio.create_task(bench.node.drain())
    assert (await client.receive())[0] in (503, 504)
    client.writer.close()
    await asyncio.wait_for(draining, PATIENCE)
    assert not bench.node.requests


@pytest.mark.usefixtures("_small_buffers")
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_whose_server_takes_it_late_is_still_served(framing):
    take = asyncio.Event()

    async def serve(head, reader, writer):
        await take.wait()
        body = await read_body(head, reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )

    bench = await started(serve)
    client = await sent_whole(bench, framed(framing, pattern(SIZE), 15_000))
    (connection,) = bench.node.client_listener.connections
    if framing == "length":
        await until(lambda: bool(connection.reader.incoming.completed_at))
        (request,) = bench.node.requests.values()
        assert request.guard_timer is not None
        arrived_at = request.completed_at
    take.set()
    if framing == "length":
        await until(lambda: request.message.complete)
        assert request.completed_at == arrived_at  # its time does not begin anew
    status, _, body = await client.receive()
    assert (status, body) == (200, pattern(SIZE))
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.usefixtures("_small_buffers")
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_whose_server_takes_a_little_again_and_again_is_answered_in_its_time(
    framing,
):
    """Failure prevented: the time of a body begins anew whenever its reading continues."""
    bench = await started(take_slowly)
    data = framed(framing, pattern(SLOW_SIZE), SLOW_BUDGET_MS)
    client = await sent_whole(bench, data)
    assert (await client.receive())[0] in (502, 503, 504)
    assert await client.ended()
    await until(lambda: not bench.node.requests)
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.usefixtures("_small_buffers")
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_whose_client_is_slower_than_its_server_is_served_whole(framing):
    """Failure prevented: a body that is still being sent is given up for a pause of its server."""

    async def serve(head, reader, writer):
        body = await read_body(head, reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )

    bench = await started(serve)
    client = await bench.client()
    data = framed(framing, pattern(SIZE), BUDGET_MS)
    for start in range(0, len(data), 4_000):
        client.send(data[start : start + 4_000])
        await asyncio.sleep(4 * BUDGET_MS / 1000 / (len(data) / 4_000))
    assert (await client.receive())[0] == 200


@pytest.mark.usefixtures("_small_buffers")
async def test_a_body_that_has_not_arrived_whole_has_no_deadline():
    """Failure prevented: a client that still sends is refused, since its server has paused for a moment."""
    bench = await started(hang)
    data = framed("length", pattern(SIZE), BUDGET_MS)
    client = await sent_whole(bench, data[:-1])
    (connection,) = bench.node.client_listener.connections
    for _ in range(3):
        connection.input.check_arrival()
    (request,) = bench.node.requests.values()
    assert not request.completed_at
    assert request.guard_timer is None
    client.send(data[-1:])
    assert (await client.receive())[0] in (503, 504)


@pytest.mark.usefixtures("_small_buffers")
async def test_the_time_of_a_body_runs_while_it_waits_behind_a_request():
    """Failure prevented: an upload that has waited behind another request gets its whole time again."""
    release = asyncio.Event()

    async def serve(head, reader, writer):
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    bench = await started(serve)
    data = call() + framed("length", pattern(SIZE), BUDGET_MS)
    client = await sent_whole(bench, data)
    (connection,) = bench.node.client_listener.connections
    await until(lambda: bool(connection.reader.incoming.completed_at))
    waited_since = connection.reader.incoming.completed_at
    await until(lambda: bench.node.loop.time() - waited_since > BUDGET_MS / 1000)
    release.set()
    assert (await client.receive())[0] == 200
    assert (await client.receive())[0] == 503
    assert len(bench.servers[0].heads) == 1
