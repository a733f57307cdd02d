"""How a client's connection ends, over loopback: who has gone, what is owed then, and what is never sent on.

Crossings that code alone can order are forced: the client is a plain socket that acts in the middle of a turn
of the node's event loop, in a hook at the very step that it crosses.
"""

import asyncio
import select
import socket
import struct

import pytest
from loopback import OK, PATIENCE, Bench, Client, Server, call, settings, until

from loadbalancer.node.client import connection as connection_module
from loadbalancer.node.client import hangup_watch, linger, request_reader
from loadbalancer.node.client import listener as listener_module
from loadbalancer.node.client.client_socket import set_socket_option
from loadbalancer.node.client.connection import ClientConnection
from loadbalancer.node.client.interface import ConnectionState
from loadbalancer.node.upstream.attempt import Attempt
from loadbalancer.node.upstream.connection import UpstreamConnection

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets
BACK = {
    "layers": ["front", "back"],
    "tier": 1,
}  # its callers are servers: at the limit a call waits
READY = b"GET /ready HTTP/1.1\r\nHost: app\r\n\r\n"


def close(client: socket.socket) -> None:
    client.close()


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


WAYS = (close, reset, half_close)


def plain(bench: Bench) -> socket.socket:
    """A client in the middle of the loop's turn: what it does, the node sees afterwards."""
    client = socket.create_connection(("127.0.0.1", bench.port))
    client.settimeout(PATIENCE)
    return client


async def taken(bench: Bench, client: socket.socket):
    """The node's side of a plain client, once it reads from it."""

    def found():
        name = client.getsockname()
        made = [
            c for c in bench.node.client_listener.connections if c.transport is not None
        ]
        return [c for c in made if c.transport.get_extra_info("peername") == name]

    await until(lambda: len(found()) == 1)
    return found()[0]


async def quiet(bench: Bench, turns: int = 20) -> None:
    """Lets the loop run far enough that an attempt that had begun would have reached its server."""
    for _ in range(turns):
        await asyncio.sleep(0.001)


async def warm(bench: Bench, *servers: Server) -> None:
    """Leaves an idle connection to each server, so that the next attempt is written at once."""
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


# ---- client left -------------------------------------------------------------------------------------


@pytest.mark.parametrize("end", WAYS)
@pytest.mark.parametrize("requests", [1, 8])
async def test_who_sends_and_goes_at_once_has_nothing_sent_on(end, requests):
    bench = await Bench(server := Server()).start()
    await warm(bench, server)
    client = plain(bench)
    caller = await taken(bench, client)
    client.sendall(b"".join(call("invite") for _ in range(requests)))
    end(
        client
    )  # in the same turn: the bytes are read first, the end stands behind them
    await until(lambda: caller not in bench.node.client_listener.connections)
    await quiet(bench)
    assert not server.requests
    assert nothing_left(bench)
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.parametrize("end", WAYS)
async def test_a_queued_request_whose_client_goes_as_its_turn_comes_is_not_sent_on(end):
    bench = await Bench(server := Server(), **BACK).start()
    await warm(bench, server)
    balancer = bench.node.balancer
    balancer.limit.admits = lambda now, spare: False  # at the limit
    client = plain(bench)
    client.sendall(call())
    await until(lambda: len(balancer.queue.waiting) == 1)
    end(client)
    balancer.limit.admits = lambda now, spare: (
        True
    )  # its turn comes before the loop sees the end
    bench.node.post(balancer.dispatcher.serve_queue)
    await until(lambda: nothing_left(bench))
    await quiet(bench)
    assert not server.requests
    assert bench.node.client_listener.held_bytes == 0


@pytest.mark.parametrize("end", WAYS)
async def test_a_retry_is_not_begun_for_a_client_that_goes_as_the_attempt_fails(
    end, monkeypatch
):
    async def turned_away(request, writer):
        return b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

    bench = await Bench(*(servers := [Server() for _ in range(3)])).start()
    await warm(bench, *servers)
    for server in servers:
        server.handle = turned_away
    client = plain(bench)
    on_attempt_done = bench.node.forwarder.on_attempt_done

    def goes_first(*args):
        if client.fileno() >= 0:
            end(client)
        on_attempt_done(*args)

    monkeypatch.setattr(bench.node.forwarder, "on_attempt_done", goes_first)
    client.sendall(call())
    await until(lambda: any(s.requests for s in servers))
    await until(lambda: nothing_left(bench))
    await quiet(bench)
    assert sum(len(s.requests) for s in servers) == 1


@pytest.mark.parametrize("end", WAYS)
async def test_a_late_connection_is_not_written_to_for_a_client_that_goes_as_it_comes_up(
    end, monkeypatch
):
    bench = await Bench(server := Server()).start()
    client = plain(bench)
    send_on = Attempt.send_on

    def goes_first(self, connection):
        end(client)
        send_on(self, connection)

    monkeypatch.setattr(Attempt, "send_on", goes_first)
    client.sendall(call("invite"))
    await until(lambda: server.connections == 1)
    await until(lambda: nothing_left(bench))
    await quiet(bench)
    assert not server.requests


@pytest.mark.parametrize("cancel", [True, False])
async def test_an_attempt_that_waits_for_a_connection_ends_with_its_client(
    cancel, monkeypatch
):
    """Also where the settings do not let the module cancel: nothing has begun that could go on."""
    bench = await Bench(server := Server(), policy_limits={"cancel": cancel}).start()
    waits, connect = asyncio.Event(), UpstreamConnection.connect

    async def late(self):
        await waits.wait()
        await connect(self)

    monkeypatch.setattr(UpstreamConnection, "connect", late)
    client = plain(bench)
    client.sendall(call())
    await until(
        lambda: any(r.attempt is not None for r in bench.node.requests.values())
    )
    close(client)
    await until(lambda: nothing_left(bench))  # the place at the server too
    waits.set()
    await quiet(bench)
    assert not server.requests


LONG = call("invite", body=b"x" * 300_000)[:70_000]  # the begin of one whose body flows


@pytest.mark.parametrize("end", WAYS)
@pytest.mark.parametrize("held_up", ["a large body", "requests sent ahead"])
async def test_a_client_that_goes_while_it_is_not_read_from_leaves_the_queue_at_once(
    end, held_up
):
    """Failure prevented: with reading paused the loop cannot see the end; the request is sent on later."""
    bench = await Bench(server := Server(), **BACK).start()
    balancer = bench.node.balancer
    balancer.limit.admits = lambda now, spare: False  # at the limit
    client = plain(bench)
    caller = await taken(bench, client)
    if held_up == "a large body":
        client.sendall(LONG)
    else:
        client.sendall(call("invite"))
        await until(lambda: len(balancer.queue.waiting) == 1)
        client.sendall(b"".join(call("invite") for _ in range(9)))
    await until(lambda: caller.read_paused and len(balancer.queue.waiting) == 1)
    ahead = bench.node.loop.time()
    end(client)
    await until(lambda: not bench.node.requests.by_client)
    # In every order of the looks: one is due within so long, whatever else the machine does meanwhile.
    assert hangup_watch.CHECK_INTERVAL_S < 0.1
    assert bench.node.loop.time() - ahead < PATIENCE / 4
    balancer.limit.admits = lambda now, spare: True
    bench.node.post(balancer.dispatcher.serve_queue)
    await until(
        lambda: (
            nothing_left(bench) and caller not in bench.node.client_listener.connections
        )
    )
    await quiet(bench)
    assert not server.requests
    assert bench.node.client_listener.held_bytes == 0
    assert not bench.node.client_listener.hangup_watch.connections


async def test_the_module_hears_once_that_a_client_has_left():
    bench = await Bench(server := Server(), **BACK).start()
    balancer, heard = bench.node.balancer, []
    client_disconnected = balancer.client_disconnected
    balancer.client_disconnected = lambda now, request: (
        heard.append(request),
        client_disconnected(now, request),
    )
    balancer.limit.admits = lambda now, spare: False  # at the limit
    client = plain(bench)
    caller = await taken(bench, client)
    client.sendall(call())
    await until(lambda: len(balancer.queue.waiting) == 1)
    close(client)
    assert caller.check_hangup()
    assert caller.check_hangup()
    await until(lambda: caller not in bench.node.client_listener.connections)
    assert len(heard) == 1
    assert not server.requests


@pytest.mark.parametrize(("window", "runs"), [(10_000_000, 2), (30_000, 1)])
async def test_a_repeat_whose_window_closes_as_its_connection_comes_up_is_not_written(
    window, runs, monkeypatch
):
    """Failure prevented: it is decided in time, waits for its connection, and the request runs twice."""

    async def fails(request, writer):
        return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

    servers = [Server(fails) for _ in range(3)]
    table = settings()
    table["classes"][2] |= {"group": "all", "window": window}
    bench = await Bench(*servers, classes=table["classes"]).start()
    connect = UpstreamConnection.connect

    async def late(self):
        ran = [r.first_run_at for r in bench.node.requests.values() if r.first_run_at]
        await until(lambda: not ran or bench.node.now() > ran[0] + 30_000)
        await connect(self)

    monkeypatch.setattr(UpstreamConnection, "connect", late)
    bench.node.balancer.retries.tokens = 1.0
    status, _, _ = await bench.once(call("offer"))
    assert status == 502
    assert sum(len(s.requests) for s in servers) == runs


# ---- an orderly close --------------------------------------------------------------------------------


def by_drain(bench: Bench, caller: ClientConnection, monkeypatch) -> None:
    monkeypatch.setattr(listener_module, "REUSE_PERIOD_S", 0.0)
    monkeypatch.setattr(listener_module, "SETTLE_TIME_S", 0.0)
    bench.ending = asyncio.create_task(bench.node.drain())


def by_sweep(bench: Bench, caller: ClientConnection, monkeypatch) -> None:
    caller.reader.request_count = (
        0  # as one that has never asked, a long time after it came
    )
    caller.reader.started_at -= 60.0
    bench.node.client_listener.close_slow()


def by_make_room(bench: Bench, caller: ClientConnection, monkeypatch) -> None:
    bench.node.client_listener.evict_idle()


CLOSES = (by_drain, by_sweep, by_make_room)


async def resting(bench: Bench) -> tuple[socket.socket, ClientConnection]:
    """A client with one answer behind it, which it has not read yet."""
    client = plain(bench)
    client.sendall(READY)
    caller = await taken(bench, client)
    await until(
        lambda: caller.reader.request_count == 1 and caller.open_request is None
    )
    return client, caller


def ended(client: socket.socket) -> bool:
    """Whether the node's end has come."""
    poll = select.poll()
    poll.register(client, select.POLLRDHUP)
    return bool(poll.poll(0))


def unblocked(client: socket.socket) -> socket.socket:
    """Ready for the event loop's calls."""
    client.setblocking(False)
    return client


async def rest_of(client: socket.socket) -> bytes:
    """All that comes up to the end; a reset raises."""
    unblocked(client)
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(PATIENCE):
        while piece := await loop.sock_recv(client, 65536):
            data += piece
    return data


@pytest.mark.parametrize("close_idle", CLOSES)
async def test_bytes_that_come_between_the_look_and_the_close_reset_nothing(
    close_idle, monkeypatch
):
    """The client gets the answer that was on its way and our end, which tells it to send once more."""
    bench = await Bench(server := Server()).start()
    client, caller = await resting(bench)
    unread, failures = ClientConnection.has_unread, []

    def crossed(self):
        found = unread(self)
        if self is caller and not found and caller.state is ConnectionState.OPEN:
            client.sendall(call("invite"))
        return found

    data_received = ClientConnection.data_received

    def read(self, data):
        if not ended(client):
            failures.append(data)  # what is read before our end is out has been taken
        data_received(self, data)

    monkeypatch.setattr(ClientConnection, "has_unread", crossed)
    monkeypatch.setattr(ClientConnection, "data_received", read)
    close_idle(bench, caller, monkeypatch)
    answer = await rest_of(client)
    assert answer.count(b"HTTP/1.1 ") == 1
    assert answer.endswith(b"\r\n\r\n")
    client.close()
    await until(lambda: caller not in bench.node.client_listener.connections)
    await quiet(bench)
    assert not server.requests
    assert bench.node.client_listener.held_bytes == 0
    assert not failures


@pytest.mark.parametrize("close_idle", CLOSES)
async def test_what_comes_after_our_end_is_read_and_not_sent_on(
    close_idle, monkeypatch
):
    bench = await Bench(server := Server()).start()
    client, caller = await resting(bench)
    close_idle(bench, caller, monkeypatch)
    assert (await rest_of(client)).count(b"HTTP/1.1 ") == 1
    read, data_received = [], ClientConnection.data_received
    monkeypatch.setattr(
        ClientConnection,
        "data_received",
        lambda self, data: (read.append(data), data_received(self, data)),
    )
    for n in range(3):
        client.send(call("invite"))  # a reset would fail the next one
        await until(lambda n=n: len(read) > n)
    assert caller.state is ConnectionState.LINGERING
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    client.close()
    await until(lambda: caller not in bench.node.client_listener.connections)
    await quiet(bench)
    assert not server.requests


async def test_a_request_that_has_come_before_the_look_is_served():
    bench = await Bench(server := Server()).start()
    client, caller = await resting(bench)
    client.sendall(call("invite"))
    bench.node.client_listener.evict_idle()
    caller.reader.request_count, caller.reader.started_at = (
        0,
        caller.reader.started_at - 60.0,
    )
    bench.node.client_listener.close_slow()
    await until(lambda: len(server.requests) == 1)
    assert caller.state is ConnectionState.OPEN
    client.close()


async def test_clients_that_never_close_their_side_keep_out_nobody_and_hold_up_no_end(
    monkeypatch,
):
    monkeypatch.setattr(listener_module, "EVICTION_GRACE_S", 0.0)
    # No connection is aborted for having lingered long.
    monkeypatch.setattr(linger, "LINGER_S", 600.0)
    monkeypatch.setattr(connection_module, "LINGER_S", 600.0)
    bench = await Bench(server := Server(), config={"limits": {"sockets": 48}}).start()
    callers = bench.node.client_listener
    table, crowd, lingered = callers.capacity + callers.overflow_capacity, [], 0
    for _ in range(4 * table):
        crowd.append(plain(bench))
        await taken(bench, crowd[-1])
        lingered = max(lingered, len(callers.lingering))
        assert len(callers.connections) <= table
    assert lingered
    client = (
        await bench.client()
    )  # one that asks finds its place, and is not cut short for the next ones
    assert (await client.ask(call()))[0] == 200
    assert len(server.requests) == 1
    for _ in range(table):
        crowd.append(plain(bench))
        await taken(bench, crowd[-1])
    assert (await client.ask(call()))[0] == 200
    monkeypatch.setattr(listener_module, "REUSE_PERIOD_S", 0.0)
    monkeypatch.setattr(listener_module, "ACCEPT_PERIOD_S", 0.0)
    await asyncio.wait_for(callers.drain(bench.node.loop.time() + 0.3), PATIENCE)
    assert not callers.connections
    for end in crowd:
        end.close()


# ---- behind the end ----------------------------------------------------------------------------------

WHOLE = call(
    "invite", body=b"x" * 300_000
)  # large enough to be handed on with its head


@pytest.mark.parametrize(
    "first",
    [
        b"GET /view HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",  # answered 400 while it is read
        b"POST /nowhere HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",  # answered 404 before its body
    ],
)
async def test_what_stands_behind_the_last_answer_in_the_same_bytes_is_not_sent_on(
    first,
):
    """Failure prevented: our side is shut already, and the request has run with nobody to answer to."""
    bench = await Bench(server := Server()).start()
    client = await bench.client()
    client.send(
        first + (b"x" * 70_000 if b"nowhere" in first else b"") + WHOLE + call("invite")
    )
    assert (await client.receive())[0] in (400, 404)
    assert await client.ended()
    client.writer.close()
    await until(lambda: not bench.node.client_listener.connections)
    assert bench.node.requests.last_id == 0
    assert not server.connections
    assert bench.node.client_listener.held_bytes == 0


async def test_requests_that_have_come_whole_before_the_end_are_answered_and_no_further_one(
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
    )  # who sends ever more does not hold up the end
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
async def test_of_requests_sent_ahead_those_behind_the_last_one_are_not_sent_on(last):
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


async def test_the_time_of_a_request_sent_ahead_runs_from_its_last_byte():
    async def hangs(request, writer):
        return None

    bench = await Bench(server := Server(hangs)).start()
    client = await bench.client()
    client.send(call("invite", 100) + call("invite", 100) + call("invite", 60_000))
    assert [(await client.receive())[0] for _ in range(2)] == [502, 503]
    await until(lambda: len(server.requests) == 2)
    assert 59_000 < int(server.requests[1].headers["x-budget-ms"]) < 60_000
    client.writer.close()


# ---- answers that are still on their way -------------------------------------------------------------


async def flowing(bench: Bench, request: bytes) -> Client:
    """A client that has got the begin of an answer of 300,000 bytes."""
    client = await bench.client()
    client.send(request)
    assert b" 200 " in await asyncio.wait_for(
        client.reader.readuntil(b"\r\n\r\n"), PATIENCE
    )
    assert await client.reader.readexactly(100_000) == b"y" * 100_000
    return client


def long_answer(more: asyncio.Event, length: bytes = b"Content-Length: 300000\r\n"):
    async def serve(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (length, b"y" * 100_000))
        await more.wait()
        return b"y" * 200_000

    return Server(serve)


async def test_noise_behind_a_request_does_not_land_in_its_answer():
    """Failure prevented: the 400 is written into the body of the answer that flows, and passes for it."""
    bench = await Bench(long_answer(more := asyncio.Event())).start()
    client = await flowing(bench, call("invite"))
    client.send(b"nonsense\r\n\r\n")
    await until(
        lambda: all(c.reader.ended for c in bench.node.client_listener.connections)
    )
    more.set()
    assert await asyncio.wait_for(client.reader.read(), PATIENCE) == b"y" * 200_000
    client.writer.close()


async def test_a_request_that_turns_out_spoilt_under_its_answer_resets_it():
    async def early(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"y" * 100_000
        )
        await asyncio.Event().wait()  # it reads no further, and keeps its side

    bench = await Bench(Server(early)).start()
    begun = call("invite")[:-2].replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    client = await flowing(
        bench, begun + b"\r\n" + b"11000\r\n" + b"x" * 0x11000 + b"\r\n"
    )
    client.send(b"nonsense\r\n")
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(client.reader.read(), PATIENCE)
    await until(
        lambda: nothing_left(bench) and bench.node.client_listener.held_bytes == 0
    )


async def test_an_answer_without_a_length_does_not_look_whole_to_who_ends_its_sending():
    """Failure prevented: what was written of it is flushed, and our orderly end delimits it."""
    chunked = b"Transfer-Encoding: chunked\r\n"
    bench = await Bench(server := long_answer(asyncio.Event(), chunked)).start()

    async def serve(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\n%b\r\n186a0\r\n%b\r\n" % (chunked, b"y" * 100_000)
        )
        await asyncio.Event().wait()

    server.handle = serve
    client = await flowing(bench, call("invite").replace(b"HTTP/1.1", b"HTTP/1.0"))
    client.writer.write_eof()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(client.reader.read(), PATIENCE)
    await until(lambda: nothing_left(bench))


async def held_up(bench: Bench) -> tuple[socket.socket, ClientConnection]:
    """A client that does not read, so that part of its answer of 60,000 bytes stays in the write buffer."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", bench.port))
    caller = await taken(bench, client)
    set_socket_option(caller.fileno(), socket.SO_SNDBUF, 4096)
    client.sendall(call("invite"))
    await until(
        lambda: (
            caller.reader.request_count == 1
            and caller.open_request is None
            and caller.has_unsent()
        )
    )
    return client, caller


HELD = b"z" * 60_000


async def large(request, writer):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(HELD), HELD)


async def test_an_answer_that_is_still_in_the_buffer_reaches_who_ends_its_sending_then():
    bench = await Bench(Server(large)).start()
    client, caller = await held_up(bench)
    half_close(client)
    await until(lambda: caller.state is ConnectionState.HALF_CLOSED)
    assert (await rest_of(client)).endswith(b"\r\n\r\n" + HELD)
    client.close()


async def test_an_answer_that_is_still_in_the_buffer_is_not_cut_as_the_node_ends(
    monkeypatch,
):
    """Failure prevented: a client that reads slowly loses at the exit what it had time to read."""
    monkeypatch.setattr(listener_module, "REUSE_PERIOD_S", 0.0)
    monkeypatch.setattr(listener_module, "ACCEPT_PERIOD_S", 0.0)
    bench = await Bench(Server(large)).start()
    client, caller = await held_up(bench)
    ends = bench.node.loop.time() + 0.1
    drain = asyncio.create_task(bench.node.client_listener.drain(ends))
    await until(
        lambda: bench.node.loop.time() > ends + 0.3
    )  # the time of those that only linger is over
    assert caller.state is ConnectionState.LINGERING
    assert not drain.done()
    assert (await rest_of(client)).endswith(b"\r\n\r\n" + HELD)
    client.close()
    await asyncio.wait_for(drain, PATIENCE)


async def test_small_writes_go_out_at_once_on_both_sides():
    """Failure prevented: what the kernel holds back for company goes with a reset."""
    bench = await Bench(server := Server()).start()
    client = plain(bench)
    caller = await taken(bench, client)
    client.sendall(call())
    await until(lambda: len(server.requests) == 1 and caller.open_request is None)
    (endpoint,) = bench.node.pool.endpoints.values()
    for transport in (caller.transport, endpoint.idle[0].transport):
        number = transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=socket.dup(number)) as s:
            assert s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1
    client.close()


# ---- floods ------------------------------------------------------------------------------------------


async def test_who_brings_a_request_is_not_refused_for_a_crowd_that_says_nothing():
    """Failure prevented: those that came beyond the budget stand idle, and whoever comes next is refused."""
    bench = await Bench(server := Server(), config={"limits": {"sockets": 48}}).start()
    callers = bench.node.client_listener
    crowd = []
    while (
        callers.served_count() < callers.capacity
    ):  # clients that have asked once, and rest
        crowd.append((await resting(bench))[0])
    for caller in callers.connections:
        caller.reader.request_count = 2
    make_room, callers.evict_idle = callers.evict_idle, lambda within=False: None
    while (
        len(callers.over_capacity) < callers.overflow_capacity - 1
    ):  # and such as never asked, that came when it was full
        crowd.append(plain(bench))
        await taken(bench, crowd[-1])
    callers.evict_idle = make_room
    client = await bench.client()
    assert (await client.ask(call("invite")))[0] == 200
    assert len(server.requests) == 1
    for end in crowd:
        end.close()


async def test_a_crowd_that_connects_at_once_and_asks_a_moment_later_gets_an_answer_each(
    monkeypatch,
):
    """Failure prevented: each one that comes closes one that came before it and has not asked yet."""
    monkeypatch.setattr(
        listener_module, "EVICTION_GRACE_S", 60.0
    )  # however slow the machine
    bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
    callers, crowd = bench.node.client_listener, []
    for count in (
        callers.capacity,
        callers.capacity + callers.overflow_capacity,
    ):  # in two turns
        crowd += [plain(bench) for _ in range(count - len(crowd))]
        await until(
            lambda count=count: (
                sum(c.transport is not None for c in callers.connections) == count
            )
        )
    for client in crowd:
        client.sendall(call())
    loop = asyncio.get_running_loop()
    for client in crowd:
        answer = await asyncio.wait_for(loop.sock_recv(unblocked(client), 99), PATIENCE)
        assert answer[9:12] in (b"200", b"503")
        client.close()


@pytest.mark.parametrize("end", WAYS)
async def test_what_a_client_has_sent_that_is_gone_is_not_even_parsed(end):
    """Failure prevented: a flood of such clients costs a second of parsing, in which nobody is answered."""
    bench = await Bench(Server()).start()
    client = plain(bench)
    caller = await taken(bench, client)
    client.sendall(READY * 800)
    end(client)
    await until(lambda: caller not in bench.node.client_listener.connections)
    assert caller.reader.request_count == 0


async def test_what_a_client_sends_ahead_waits_in_the_kernel_and_is_answered_in_its_turn():
    bench = await Bench(Server()).start()
    client = await bench.client()
    client.send(READY * 800)
    await until(lambda: bool(bench.node.client_listener.connections))
    (caller,) = bench.node.client_listener.connections
    for _ in range(800):
        assert (await client.receive())[0] in (200, 503)
        assert (
            len(caller.pipelined)
            <= connection_module.MAX_PIPELINED_REQUESTS
            + request_reader.PARSE_SLICE_BYTES // len(READY)
        )
    client.writer.close()


@pytest.mark.parametrize(
    "junk",
    [
        call("invite")[:-2] + b"X-Fill: " + b"x" * 30_000,  # heads that never end
        b"nonsense " * 4000,
        b"POST /invite HTTP/1.1\r\nContent-Length: 0\r\n\r\n" * 600,  # without an id
        b"GET /ready HTTP/1.1\r\n\r\n" * 1000,
    ],
)
async def test_a_flood_of_clients_that_send_much_and_go_leaves_the_others_served(junk):
    """Clients that send 30 kB at once and go, while others ask all the time; nothing of it is kept."""
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


async def test_a_request_that_waits_its_turn_as_the_node_ends_gets_its_answer(
    monkeypatch,
):
    """Failure prevented: between two answers nothing is open, and the connection passes for a resting one."""
    bench = await Bench(server := Server()).start()
    after_answer, ticks = ClientConnection.after_response, []

    def then_drain(self, message, close):
        after_answer(self, message, close)
        if not ticks:  # the next one is handed on in the next turn only
            ticks.append(bench.node.client_listener.drain(0.0))
            ticks[0].send(None)  # up to its first sleep, all time being over

    monkeypatch.setattr(ClientConnection, "after_response", then_drain)
    client = await bench.client()
    client.send(call("invite") + call("invite"))
    assert [(await client.receive())[0] for _ in range(2)] == [200, 200]
    ticks[0].close()
    client.writer.close()
    assert len(server.requests) == 2
