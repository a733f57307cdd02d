"""How client connections end, over loopback: what happens to open requests, responses and further input.

Orders of events that depend on the event loop are forced: the client is a plain socket that acts within an
iteration of the node's event loop, from a hook at the step in question.
"""

import asyncio
import select
import socket
import struct

import pytest
from loopback import OK, PATIENCE, Bench, Client, Server, call, settings, until

from loadbalancer.node.client import connection as connection_module
from loadbalancer.node.client import drain as drain_module
from loadbalancer.node.client import hangup_watch, linger, request_reader
from loadbalancer.node.client import input as client_input
from loadbalancer.node.client import listener as listener_module
from loadbalancer.node.client.client_socket import set_socket_option
from loadbalancer.node.client.connection import ClientConnection
from loadbalancer.node.client.interface import ConnectionState
from loadbalancer.node.upstream.attempt import Attempt
from loadbalancer.node.upstream.connection import UpstreamConnection

RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, with 0 s: a close resets the connection
BACK_TIER = {
    "layers": ["front", "back"],
    "tier": 1,
}  # the clients are servers: at the concurrency limit, a request is queued
READY = b"GET /ready HTTP/1.1\r\nHost: app\r\n\r\n"


def close(client: socket.socket) -> None:
    client.close()


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


WAYS_TO_LEAVE = (close, reset, half_close)


def plain_client(bench: Bench) -> socket.socket:
    """A client whose actions the node sees only after the current iteration of the event loop."""
    client = socket.create_connection(("127.0.0.1", bench.port))
    client.settimeout(PATIENCE)
    return client


async def node_side(bench: Bench, client: socket.socket):
    """The node's side of a plain client's connection, once it is attached."""

    def found():
        name = client.getsockname()
        made = [
            c for c in bench.node.client_listener.connections if c.transport is not None
        ]
        return [c for c in made if c.transport.get_extra_info("peername") == name]

    await until(lambda: len(found()) == 1)
    return found()[0]


async def run_loop(bench: Bench, turns: int = 20) -> None:
    """Runs the event loop long enough for a started attempt to reach its server."""
    for _ in range(turns):
        await asyncio.sleep(0.001)


async def warm_up(bench: Bench, *servers: Server) -> None:
    """Leaves an idle connection to each server, so that the next attempt is written immediately."""
    while not all(server.requests for server in servers):
        assert (await bench.once(call()))[0] == 200
    await until(lambda: not bench.node.client_listener.connections)
    for server in servers:
        server.requests.clear()


def nothing_left(bench: Bench) -> bool:
    balancer = bench.node.balancer
    return not (
        bench.node.requests
        or bench.node.requests.by_client
        or balancer.requests
        or balancer.limit.in_flight
    )


# ---- the client leaves -------------------------------------------------------------------------------


@pytest.mark.parametrize("end", WAYS_TO_LEAVE)
@pytest.mark.parametrize("requests", [1, 8])
async def test_requests_of_a_client_that_leaves_immediately_are_not_forwarded(
    end, requests
):
    bench = await Bench(server := Server()).start()
    await warm_up(bench, server)
    client = plain_client(bench)
    connection = await node_side(bench, client)
    client.sendall(b"".join(call("invite") for _ in range(requests)))
    end(
        client
    )  # in the same iteration: the bytes are read first, the end of stream follows them
    await until(lambda: connection not in bench.node.client_listener.connections)
    await run_loop(bench)
    assert not server.requests
    assert nothing_left(bench)
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.parametrize("end", WAYS_TO_LEAVE)
async def test_a_queued_request_is_not_forwarded_if_its_client_leaves_as_it_is_dequeued(
    end,
):
    bench = await Bench(server := Server(), **BACK_TIER).start()
    await warm_up(bench, server)
    balancer = bench.node.balancer
    balancer.limit.admits = lambda now, spare: False  # at the concurrency limit
    client = plain_client(bench)
    client.sendall(call())
    await until(lambda: len(balancer.queue.waiting) == 1)
    end(client)
    balancer.limit.admits = lambda now, spare: (
        True
    )  # it is dequeued before the event loop sees the end of stream
    bench.node.post(balancer.dispatcher.serve_queue)
    await until(lambda: nothing_left(bench))
    await run_loop(bench)
    assert not server.requests
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.parametrize("end", WAYS_TO_LEAVE)
async def test_a_retry_is_not_started_if_the_client_leaves_as_the_attempt_fails(
    end, monkeypatch
):
    async def reject(request, writer):
        return b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

    bench = await Bench(*(servers := [Server() for _ in range(3)])).start()
    await warm_up(bench, *servers)
    for server in servers:
        server.handle = reject
    client = plain_client(bench)
    on_attempt_done = bench.node.forwarder.on_attempt_done

    def leave_first(*args):
        if client.fileno() >= 0:
            end(client)
        on_attempt_done(*args)

    monkeypatch.setattr(bench.node.forwarder, "on_attempt_done", leave_first)
    client.sendall(call())
    await until(lambda: any(s.requests for s in servers))
    await until(lambda: nothing_left(bench))
    await run_loop(bench)
    assert sum(len(s.requests) for s in servers) == 1


@pytest.mark.parametrize("end", WAYS_TO_LEAVE)
async def test_nothing_is_written_if_the_client_leaves_as_the_connection_is_established(
    end, monkeypatch
):
    bench = await Bench(server := Server()).start()
    client = plain_client(bench)
    send_on = Attempt.send_on

    def leave_first(self, connection):
        end(client)
        send_on(self, connection)

    monkeypatch.setattr(Attempt, "send_on", leave_first)
    client.sendall(call("invite"))
    await until(lambda: server.connections == 1)
    await until(lambda: nothing_left(bench))
    await run_loop(bench)
    assert not server.requests


@pytest.mark.parametrize("cancel", [True, False])
async def test_an_attempt_that_waits_for_a_connection_ends_with_its_client(
    cancel, monkeypatch
):
    """Also where the settings forbid the policy to cancel: nothing has started that could continue."""
    bench = await Bench(server := Server(), policy_limits={"cancel": cancel}).start()
    waits, connect = asyncio.Event(), UpstreamConnection.connect

    async def connect_late(self):
        await waits.wait()
        await connect(self)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_late)
    client = plain_client(bench)
    client.sendall(call())
    await until(
        lambda: any(r.attempt is not None for r in bench.node.requests.values())
    )
    close(client)
    await until(lambda: nothing_left(bench))  # including the count at the endpoint
    waits.set()
    await run_loop(bench)
    assert not server.requests


# An incomplete request whose body is streamed.
INCOMPLETE_UPLOAD = call("invite", body=b"x" * 300_000)[:70_000]


@pytest.mark.parametrize("end", WAYS_TO_LEAVE)
@pytest.mark.parametrize("paused_by", ["an upload", "pipelined requests"])
async def test_a_client_that_leaves_while_reading_is_paused_is_removed_from_the_queue(
    end, paused_by
):
    """Failure prevented: the loop cannot see the end while reading is paused, and forwards the request."""
    bench = await Bench(server := Server(), **BACK_TIER).start()
    balancer = bench.node.balancer
    balancer.limit.admits = lambda now, spare: False  # at the concurrency limit
    client = plain_client(bench)
    connection = await node_side(bench, client)
    if paused_by == "an upload":
        client.sendall(INCOMPLETE_UPLOAD)
    else:
        client.sendall(call("invite"))
        await until(lambda: len(balancer.queue.waiting) == 1)
        client.sendall(b"".join(call("invite") for _ in range(9)))
    await until(lambda: connection.input.paused and len(balancer.queue.waiting) == 1)
    ahead = bench.node.loop.time()
    end(client)
    await until(lambda: not bench.node.requests.by_client)
    # The next check is due within this interval, whatever the order of the checks and however slow the host.
    assert hangup_watch.CHECK_INTERVAL_S < 0.1
    assert bench.node.loop.time() - ahead < PATIENCE / 4
    balancer.limit.admits = lambda now, spare: True
    bench.node.post(balancer.dispatcher.serve_queue)
    await until(
        lambda: (
            nothing_left(bench)
            and connection not in bench.node.client_listener.connections
        )
    )
    await run_loop(bench)
    assert not server.requests
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.client_listener.hangup_watch.connections


async def test_the_policy_is_notified_once_that_a_client_has_left():
    bench = await Bench(server := Server(), **BACK_TIER).start()
    balancer, notified = bench.node.balancer, []
    client_disconnected = balancer.client_disconnected
    balancer.client_disconnected = lambda now, request: (
        notified.append(request),
        client_disconnected(now, request),
    )
    balancer.limit.admits = lambda now, spare: False  # at the concurrency limit
    client = plain_client(bench)
    connection = await node_side(bench, client)
    client.sendall(call())
    await until(lambda: len(balancer.queue.waiting) == 1)
    close(client)
    assert connection.check_hangup()
    assert connection.check_hangup()
    await until(lambda: connection not in bench.node.client_listener.connections)
    assert len(notified) == 1
    assert not server.requests


@pytest.mark.parametrize(("window", "runs"), [(10_000_000, 2), (30_000, 1)])
async def test_a_retry_is_not_written_if_its_window_closes_while_connecting(
    window, runs, monkeypatch
):
    """Failure prevented: a retry is decided in time, waits for its connection, and the request runs twice."""

    async def fails(request, writer):
        return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

    servers = [Server(fails) for _ in range(3)]
    table = settings()
    table["classes"][2] |= {"group": "all", "window": window}
    bench = await Bench(*servers, classes=table["classes"]).start()
    connect = UpstreamConnection.connect

    async def connect_late(self):
        ran = [r.first_run_at for r in bench.node.requests.values() if r.first_run_at]
        await until(lambda: not ran or bench.node.now() > ran[0] + 30_000)
        await connect(self)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_late)
    bench.node.balancer.retries.tokens = 1.0
    status, _, _ = await bench.once(call("offer"))
    assert status == 502
    assert sum(len(s.requests) for s in servers) == runs


# ---- closing idle connections ------------------------------------------------------------------------


def by_drain(bench: Bench, connection: ClientConnection, monkeypatch) -> None:
    monkeypatch.setattr(drain_module, "REUSE_PERIOD_S", 0.0)
    monkeypatch.setattr(drain_module, "SETTLE_TIME_S", 0.0)
    bench.ending = asyncio.create_task(bench.node.drain())


def by_timeout_check(bench: Bench, connection: ClientConnection, monkeypatch) -> None:
    # Like a connection that never sent a request, long after the accept.
    connection.reader.request_count = 0
    connection.reader.started_at -= 60.0
    bench.node.client_listener.close_slow()


def by_eviction(bench: Bench, connection: ClientConnection, monkeypatch) -> None:
    bench.node.client_listener.evict_idle()


WAYS_TO_CLOSE = (by_drain, by_timeout_check, by_eviction)


async def idle_client(bench: Bench) -> tuple[socket.socket, ClientConnection]:
    """A client with one response, which it has not read yet, and no open request."""
    client = plain_client(bench)
    client.sendall(READY)
    connection = await node_side(bench, client)
    await until(
        lambda: connection.reader.request_count == 1 and connection.open_request is None
    )
    return client, connection


def node_has_closed(client: socket.socket) -> bool:
    """Whether the node has closed its side."""
    poll = select.poll()
    poll.register(client, select.POLLRDHUP)
    return bool(poll.poll(0))


def non_blocking(client: socket.socket) -> socket.socket:
    """Makes the socket non-blocking, for calls of the event loop."""
    client.setblocking(False)
    return client


async def read_to_end(client: socket.socket) -> bytes:
    """Reads everything up to the end of stream; a reset raises."""
    non_blocking(client)
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(PATIENCE):
        while piece := await loop.sock_recv(client, 65536):
            data += piece
    return data


@pytest.mark.parametrize("close_idle", WAYS_TO_CLOSE)
async def test_bytes_that_arrive_between_the_idle_check_and_the_close_cause_no_reset(
    close_idle, monkeypatch
):
    """The client gets the response that was in transit and the end of stream, so that it may retry."""
    bench = await Bench(server := Server()).start()
    client, connection = await idle_client(bench)
    has_unread, failures = ClientConnection.has_unread, []

    def send_after_check(self):
        found = has_unread(self)
        if (
            self is connection
            and not found
            and connection.state is ConnectionState.OPEN
        ):
            client.sendall(call("invite"))
        return found

    data_received = ClientConnection.data_received

    def read(self, data):
        if not node_has_closed(client):
            failures.append(
                data
            )  # input read before the node closes its side is accepted
        data_received(self, data)

    monkeypatch.setattr(ClientConnection, "has_unread", send_after_check)
    monkeypatch.setattr(ClientConnection, "data_received", read)
    close_idle(bench, connection, monkeypatch)
    answer = await read_to_end(client)
    assert answer.count(b"HTTP/1.1 ") == 1
    assert answer.endswith(b"\r\n\r\n")
    client.close()
    await until(lambda: connection not in bench.node.client_listener.connections)
    await run_loop(bench)
    assert not server.requests
    assert bench.node.client_listener.held_bytes == 0
    assert not failures


@pytest.mark.parametrize("close_idle", WAYS_TO_CLOSE)
async def test_bytes_received_after_the_close_are_discarded(close_idle, monkeypatch):
    bench = await Bench(server := Server()).start()
    client, connection = await idle_client(bench)
    close_idle(bench, connection, monkeypatch)
    assert (await read_to_end(client)).count(b"HTTP/1.1 ") == 1
    read, data_received = [], ClientConnection.data_received
    monkeypatch.setattr(
        ClientConnection,
        "data_received",
        lambda self, data: (read.append(data), data_received(self, data)),
    )
    for n in range(3):
        client.send(call("invite"))  # would fail after a reset by the previous one
        await until(lambda n=n: len(read) > n)
    assert connection.state is ConnectionState.LINGERING
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    client.close()
    await until(lambda: connection not in bench.node.client_listener.connections)
    await run_loop(bench)
    assert not server.requests


async def test_a_request_received_before_the_idle_check_is_served():
    bench = await Bench(server := Server()).start()
    client, connection = await idle_client(bench)
    client.sendall(call("invite"))
    bench.node.client_listener.evict_idle()
    connection.reader.request_count, connection.reader.started_at = (
        0,
        connection.reader.started_at - 60.0,
    )
    bench.node.client_listener.close_slow()
    await until(lambda: len(server.requests) == 1)
    assert connection.state is ConnectionState.OPEN
    client.close()


async def test_clients_that_never_close_their_side_block_neither_new_clients_nor_the_drain(
    monkeypatch,
):
    monkeypatch.setattr(listener_module, "EVICTION_GRACE_S", 0.0)
    # No connection is aborted for lingering too long.
    monkeypatch.setattr(linger, "LINGER_S", 600.0)
    monkeypatch.setattr(connection_module, "LINGER_S", 600.0)
    bench = await Bench(server := Server(), config={"limits": {"sockets": 48}}).start()
    listener = bench.node.client_listener
    table, clients, lingered = listener.capacity + listener.overflow_capacity, [], 0
    for _ in range(4 * table):
        clients.append(plain_client(bench))
        await node_side(bench, clients[-1])
        lingered = max(lingered, len(listener.lingering))
        assert len(listener.connections) <= table
    assert lingered
    # A client with a request is served, and is not evicted for the connections that follow.
    client = await bench.client()
    assert (await client.ask(call()))[0] == 200
    assert len(server.requests) == 1
    for _ in range(table):
        clients.append(plain_client(bench))
        await node_side(bench, clients[-1])
    assert (await client.ask(call()))[0] == 200
    monkeypatch.setattr(drain_module, "REUSE_PERIOD_S", 0.0)
    monkeypatch.setattr(drain_module, "ACCEPT_PERIOD_S", 0.0)
    await asyncio.wait_for(listener.drain(bench.node.loop.time() + 0.3), PATIENCE)
    assert not listener.connections
    for end in clients:
        end.close()


# ---- input behind the last request -------------------------------------------------------------------

COMPLETE_UPLOAD = call(
    "invite", body=b"x" * 300_000
)  # large enough to be dispatched with its head


@pytest.mark.parametrize(
    "first",
    [
        b"GET /view HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",  # answered 400 while it is parsed
        b"POST /nowhere HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",  # answered 404 before its body
    ],
)
async def test_bytes_behind_the_last_response_are_not_forwarded(
    first,
):
    """Failure prevented: the node has closed its side, and a request runs that cannot be answered."""
    bench = await Bench(server := Server()).start()
    client = await bench.client()
    client.send(
        first
        + (b"x" * 70_000 if b"nowhere" in first else b"")
        + COMPLETE_UPLOAD
        + call("invite")
    )
    assert (await client.receive())[0] in (400, 404)
    assert await client.ended()
    client.writer.close()
    await until(lambda: not bench.node.client_listener.connections)
    assert bench.node.requests.last_id == 0
    assert not server.connections
    assert bench.node.client_listener.held_bytes == 0


async def test_only_requests_received_completely_before_the_close_are_answered(
    monkeypatch,
):
    turns, read, data_received = (
        asyncio.Semaphore(0),
        [],
        ClientConnection.data_received,
    )
    monkeypatch.setattr(
        ClientConnection,
        "data_received",
        lambda self, data: (data_received(self, data), read.append(data)),
    )

    async def waits(request, writer):
        await turns.acquire()
        return OK

    bench = await Bench(server := Server(waits)).start()
    client = await bench.client()
    client.send(call("invite") + call("invite") + call("invite") + call("invite")[:-9])
    await until(lambda: len(server.requests) == 1 and len(read) == 1)
    bench.node.client_listener.closing_after_response = True
    turns.release()
    assert "connection" not in (await client.receive())[1]
    client.send(
        call("invite")[-9:] + call("invite")
    )  # a client that keeps sending does not delay the close
    await until(lambda: len(read) == 2)
    turns.release()
    assert "connection" not in (await client.receive())[1]
    turns.release()
    status, headers, _ = await client.receive()
    assert status == 200
    assert headers["connection"] == "close"
    assert await client.ended()
    client.writer.close()
    await until(
        lambda: nothing_left(bench) and not bench.node.client_listener.connections
    )
    assert len(server.requests) == 3
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.parametrize(
    "last", [b"Connection: close\r\n", b"Connection: upgrade\r\nUpgrade: h2c\r\n"]
)
async def test_pipelined_requests_behind_the_last_one_are_not_forwarded(last):
    bench = await Bench(server := Server()).start()
    client = await bench.client()
    client.send(call("invite") + call("invite", extra=last) + call("invite"))
    assert [(await client.receive())[0] for _ in range(2)] == [
        200,
        200,
    ]
    assert await client.ended()
    client.writer.close()
    await until(
        lambda: nothing_left(bench) and not bench.node.client_listener.connections
    )
    assert len(server.requests) == 2


async def test_the_deadline_of_a_pipelined_request_runs_from_its_last_byte():
    async def hangs(request, writer):
        return None

    bench = await Bench(server := Server(hangs)).start()
    client = await bench.client()
    client.send(call("invite", 100) + call("invite", 100) + call("invite", 60_000))
    assert [(await client.receive())[0] for _ in range(2)] == [502, 503]
    await until(lambda: len(server.requests) == 2)
    assert 59_000 < int(server.requests[1].headers["x-budget-ms"]) < 60_000
    client.writer.close()


# ---- responses that are still being sent -------------------------------------------------------------


async def streaming_client(bench: Bench, request: bytes) -> Client:
    """A client that has received the beginning of a response of 300,000 bytes."""
    client = await bench.client()
    client.send(request)
    assert b" 200 " in await asyncio.wait_for(
        client.reader.readuntil(b"\r\n\r\n"), PATIENCE
    )
    assert await client.reader.readexactly(100_000) == b"y" * 100_000
    return client


def long_response(more: asyncio.Event, length: bytes = b"Content-Length: 300000\r\n"):
    async def serve(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (length, b"y" * 100_000))
        await more.wait()
        return b"y" * 200_000

    return Server(serve)


async def test_invalid_bytes_behind_a_request_do_not_corrupt_its_response():
    """Failure prevented: the 400 is written into the streamed body, where it looks like body bytes."""
    bench = await Bench(long_response(more := asyncio.Event())).start()
    client = await streaming_client(bench, call("invite"))
    client.send(b"nonsense\r\n\r\n")
    await until(
        lambda: all(c.reader.ended for c in bench.node.client_listener.connections)
    )
    more.set()
    assert await asyncio.wait_for(client.reader.read(), PATIENCE) == b"y" * 200_000
    client.writer.close()


async def test_an_upload_that_becomes_invalid_resets_its_streamed_response():
    async def early(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"y" * 100_000
        )
        await asyncio.Event().wait()  # reads no further, and keeps its side open

    bench = await Bench(Server(early)).start()
    incomplete = call("invite")[:-2].replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    client = await streaming_client(
        bench, incomplete + b"\r\n" + b"11000\r\n" + b"x" * 0x11000 + b"\r\n"
    )
    client.send(b"nonsense\r\n")
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(client.reader.read(), PATIENCE)
    await until(
        lambda: nothing_left(bench) and bench.node.client_listener.held_bytes == 0
    )


async def test_a_partial_response_without_a_length_is_reset_after_a_half_close():
    """Failure prevented: the written part is flushed, and an orderly close makes it look complete."""
    chunked = b"Transfer-Encoding: chunked\r\n"
    bench = await Bench(server := long_response(asyncio.Event(), chunked)).start()

    async def serve(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\n%b\r\n186a0\r\n%b\r\n" % (chunked, b"y" * 100_000)
        )
        await asyncio.Event().wait()

    server.handle = serve
    client = await streaming_client(
        bench, call("invite").replace(b"HTTP/1.1", b"HTTP/1.0")
    )
    client.writer.write_eof()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(client.reader.read(), PATIENCE)
    await until(lambda: nothing_left(bench))


async def slow_client(bench: Bench) -> tuple[socket.socket, ClientConnection]:
    """A client that does not read, so that part of its 60,000-byte response stays in the write buffer."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", bench.port))
    connection = await node_side(bench, client)
    set_socket_option(connection.fileno(), socket.SO_SNDBUF, 4096)
    client.sendall(call("invite"))
    await until(
        lambda: (
            connection.reader.request_count == 1
            and connection.open_request is None
            and connection.has_unsent()
        )
    )
    return client, connection


BUFFERED_BODY = b"z" * 60_000


async def large(request, writer):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(BUFFERED_BODY),
        BUFFERED_BODY,
    )


async def test_a_buffered_response_reaches_a_client_that_half_closes():
    bench = await Bench(Server(large)).start()
    client, connection = await slow_client(bench)
    half_close(client)
    await until(lambda: connection.state is ConnectionState.HALF_CLOSED)
    assert (await read_to_end(client)).endswith(b"\r\n\r\n" + BUFFERED_BODY)
    client.close()


async def test_a_buffered_response_is_not_cut_off_by_the_drain(
    monkeypatch,
):
    """Failure prevented: a client that reads slowly loses, at the exit, bytes that it had time to read."""
    monkeypatch.setattr(drain_module, "REUSE_PERIOD_S", 0.0)
    monkeypatch.setattr(drain_module, "ACCEPT_PERIOD_S", 0.0)
    bench = await Bench(Server(large)).start()
    client, connection = await slow_client(bench)
    ends = bench.node.loop.time() + 0.1
    drain = asyncio.create_task(bench.node.client_listener.drain(ends))
    await until(
        lambda: bench.node.loop.time() > ends + 0.3
    )  # lingering connections without unsent bytes would be aborted by now
    assert connection.state is ConnectionState.LINGERING
    assert not drain.done()
    assert (await read_to_end(client)).endswith(b"\r\n\r\n" + BUFFERED_BODY)
    client.close()
    await asyncio.wait_for(drain, PATIENCE)


async def test_small_writes_are_sent_immediately_on_both_sides():
    """Failure prevented: bytes that the kernel delays to coalesce them are lost with a reset."""
    bench = await Bench(server := Server()).start()
    client = plain_client(bench)
    connection = await node_side(bench, client)
    client.sendall(call())
    await until(lambda: len(server.requests) == 1 and connection.open_request is None)
    (endpoint,) = bench.node.pool.endpoints.values()
    for transport in (connection.transport, endpoint.idle[0].transport):
        number = transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=socket.dup(number)) as s:
            assert s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1
    client.close()


# ---- bursts and floods -------------------------------------------------------------------------------


async def test_a_request_is_not_rejected_because_of_idle_connections():
    """Failure prevented: connections beyond the capacity stay idle, and the next client is rejected."""
    bench = await Bench(server := Server(), config={"limits": {"sockets": 48}}).start()
    listener = bench.node.client_listener
    clients = []
    while (
        listener.served_count() < listener.capacity
    ):  # clients that have sent a request, and are idle
        clients.append((await idle_client(bench))[0])
    for connection in listener.connections:
        connection.reader.request_count = 2
    evict_idle, listener.evict_idle = listener.evict_idle, lambda within=False: None
    while (
        len(listener.over_capacity) < listener.overflow_capacity - 1
    ):  # and clients that never sent one, accepted beyond the capacity
        clients.append(plain_client(bench))
        await node_side(bench, clients[-1])
    listener.evict_idle = evict_idle
    client = await bench.client()
    assert (await client.ask(call("invite")))[0] == 200
    assert len(server.requests) == 1
    for end in clients:
        end.close()


async def test_clients_that_connect_together_and_send_later_are_all_answered(
    monkeypatch,
):
    """Failure prevented: each new connection evicts an earlier one that has not sent its request yet."""
    monkeypatch.setattr(
        listener_module, "EVICTION_GRACE_S", 60.0
    )  # however slow the host
    bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
    listener, clients = bench.node.client_listener, []
    for count in (
        listener.capacity,
        listener.capacity + listener.overflow_capacity,
    ):  # in two iterations of the event loop
        clients += [plain_client(bench) for _ in range(count - len(clients))]
        await until(
            lambda count=count: (
                sum(c.transport is not None for c in listener.connections) == count
            )
        )
    for client in clients:
        client.sendall(call())
    loop = asyncio.get_running_loop()
    for client in clients:
        answer = await asyncio.wait_for(
            loop.sock_recv(non_blocking(client), 99), PATIENCE
        )
        assert answer[9:12] in (b"200", b"503")
        client.close()


@pytest.mark.parametrize("end", WAYS_TO_LEAVE)
async def test_input_of_a_client_that_has_left_is_not_parsed(end):
    """Failure prevented: a flood of such clients costs a second of parsing, with no client answered."""
    bench = await Bench(Server()).start()
    client = plain_client(bench)
    connection = await node_side(bench, client)
    client.sendall(READY * 800)
    end(client)
    await until(lambda: connection not in bench.node.client_listener.connections)
    assert connection.reader.request_count == 0


async def test_pipelined_requests_wait_in_the_kernel_and_are_answered_in_order():
    bench = await Bench(Server()).start()
    client = await bench.client()
    client.send(READY * 800)
    await until(lambda: bool(bench.node.client_listener.connections))
    (connection,) = bench.node.client_listener.connections
    for _ in range(800):
        assert (await client.receive())[0] in (200, 503)
        assert (
            len(connection.pipelined)
            <= client_input.MAX_PIPELINED_REQUESTS
            + request_reader.HEAD_SLICE_BYTES // len(READY)
        )
    client.writer.close()


@pytest.mark.parametrize(
    "junk",
    [
        call("invite")[:-2] + b"X-Fill: " + b"x" * 30_000,  # incomplete heads
        b"nonsense " * 4000,
        b"POST /invite HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        * 600,  # without a call id
        b"GET /ready HTTP/1.1\r\n\r\n" * 1000,
    ],
)
async def test_a_flood_of_clients_that_send_much_and_leave_does_not_affect_the_others(
    junk,
):
    """Clients send 30 kB at once and leave, while others send requests continuously; nothing is kept."""
    bench = await Bench(server := Server(), config={"limits": {"sockets": 256}}).start()
    over, served = asyncio.Event(), 0

    async def flood():
        for n in range(60):
            bad = await bench.client()
            bad.send(junk)
            (bad.writer.transport.abort if n % 2 else bad.writer.close)()

    async def good():
        nonlocal served
        client = await bench.client()
        while not over.is_set():
            assert (await client.ask(call("invite")))[0] == 200
            served += 1
        client.writer.close()

    others = [asyncio.create_task(good()) for _ in range(3)]
    await asyncio.gather(*(flood() for _ in range(4)))
    over.set()
    await asyncio.gather(*others)
    await until(lambda: not bench.node.client_listener.connections)
    assert served >= 3
    assert len(server.requests) == served
    assert bench.node.requests.last_id == served
    assert bench.node.client_listener.held_bytes == 0
    assert nothing_left(bench)


async def test_a_pipelined_request_is_answered_during_a_drain(
    monkeypatch,
):
    """Failure prevented: between two responses no request is open, and the connection looks idle."""
    bench = await Bench(server := Server()).start()
    after_answer, ticks = ClientConnection.after_response, []

    def then_drain(self, message, close):
        after_answer(self, message, close)
        if not ticks:  # the next request is dispatched in the next iteration
            ticks.append(bench.node.client_listener.drain(0.0))
            ticks[0].send(None)  # runs to its first sleep, with all periods over

    monkeypatch.setattr(ClientConnection, "after_response", then_drain)
    client = await bench.client()
    client.send(call("invite") + call("invite"))
    assert [(await client.receive())[0] for _ in range(2)] == [200, 200]
    ticks[0].close()
    client.writer.close()
    assert len(server.requests) == 2
