"""Clients that stop in the middle of a large body and stay."""

import asyncio

import pytest
from loopback import PATIENCE, Bench, Client, call, until
from test_bodies import ScriptedServer, pattern, read_body, upload_head

from loadbalancer.policy.upload_limit import admits_upload

SIZE = 900_000
SENT = 800_000  # so much that a slow but steady client would still have time
MAX_CONNECTIONS = 8  # to servers


async def serve(head, reader, writer):
    body = await read_body(head, reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def hang(head, reader, writer):
    await asyncio.sleep(3 * PATIENCE)


def part_of(framing: str) -> bytes:
    if framing == "length":
        return call("invite", budget=2_000, body=pattern(SIZE))[: SENT - SIZE]
    head = upload_head(b"Transfer-Encoding: chunked\r\n", budget=2_000)
    return head + b"%x\r\n%b\r\n" % (SENT, pattern(SENT))


async def stopped(bench: Bench, framing: str) -> Client:
    client = await bench.client()
    client.send(part_of(framing))
    return client


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("server", [serve, hang])
async def test_a_client_that_stops_in_a_large_body_gets_its_error_or_close(
    framing, server
):
    """Failure prevented: it keeps its place and its server's connection for the time of all that it sent."""
    bench = await Bench(ScriptedServer(server)).start()
    client = await stopped(bench, framing)
    assert (await client.receive())[0] in (408, 502, 503, 504)
    assert await client.ended()
    await until(lambda: not bench.node.requests)
    assert not bench.node.requests.uploads_in_progress
    assert bench.node.client_listener.held_bytes == 0


async def test_clients_that_stop_in_a_body_leave_connections_to_others():
    """Failure prevented: uploads that do not go on hold all connections, and every other call is refused."""
    bench = await Bench(ScriptedServer(serve)).start()
    bench.node.pool.max_connections = MAX_CONNECTIONS
    stayed = [await stopped(bench, "length") for _ in range(2 * MAX_CONNECTIONS)]
    requests = bench.node.requests
    await until(lambda: len(requests.uploads_in_progress) == MAX_CONNECTIONS // 2)
    client = await bench.client()
    for _ in range(MAX_CONNECTIONS):
        client.send(call("view"))
        assert (await client.receive())[0] == 200
    for each in stayed:
        assert (await each.receive())[0] in (408, 503)


def test_uploads_in_progress_may_hold_half_of_the_connections():
    assert admits_upload(49, 100)
    assert not admits_upload(50, 100)
    assert admits_upload(0, 1)
