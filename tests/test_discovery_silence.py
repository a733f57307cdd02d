"""Calls to discovery that fail in various ways, and the time until a change arrives after the recovery.

`Agent` breaks calls from a given one on, and never answers a broken call. Times are measured from the last
broken call, when the node has just started to wait, which is the worst case.
"""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
import sys
from contextlib import suppress

import pytest
from loopback import Bench, Client, Server, call, read_message, until
from program import Door, Program, free_port, reset

from loadbalancer.node.config import RESERVED_SOCKETS
from loadbalancer.node.discovery import call as call_module
from loadbalancer.node.discovery import propagation, startup_wait
from loadbalancer.node.discovery.answer_delay import (
    MAX_ANSWER_DELAY_S,
    MAX_PACED_DELAY_S,
    SILENCE_S,
)
from loadbalancer.node.discovery.call import ANSWER_TIMEOUT_S
from loadbalancer.node.discovery.call_retention import (
    MAX_CALLS,
    MAX_OLDEST_LIFETIME_S,
    RETAIN_INTERVAL_S,
    RETAINED_LIFETIME_S,
)
from loadbalancer.node.discovery.endpoint_list_codec import LongListing, decode
from loadbalancer.node.discovery.propagation import (
    AGENT_ANSWER_S,
    RETRY_INTERVAL_S,
    WATCH_WAIT_MS,
    propagation_bound_s,
    slow_propagation_bound_s,
)
from loadbalancer.policy.api import ListUpdateKind

WATCH_WAIT_S = WATCH_WAIT_MS / 1000
# Seconds within which a change must be applied: usually, and after a move to another address.
CHANGE_LIMIT_S, MOVE_LIMIT_S = 6.0, 4.0
STOP_SENDING_S = 0.4  # of these limits, to stop sending to a server
READY_LIMIT_S = 6.0  # from the start of a process, on the shortest days
SLACK_S = 1.0  # for a machine that is busy with other tests
MANY = 800  # servers in a long list


def answer(version, full, *servers, length=True, head=b""):
    body = json.dumps({"version": version, "full": full, "servers": servers}).encode()
    framing = b"Content-Length: %d\r\n" % len(body) if length else b""
    return b"HTTP/1.1 200 OK\r\n%b%b\r\n%b" % (framing, head, body)


class Agent:
    """A discovery agent that answers the first `first` calls, and breaks the others until `recover`."""

    def __init__(self, first=0, fault=None, version=41, servers=()):
        self.first, self.fault, self.version, self.servers = (
            first,
            fault,
            version,
            list(servers),
        )
        self.targets, self.writers, self.broken, self.connections = [], [], 0, 0
        self.changed, self.tasks = asyncio.Event(), set()
        self.port = free_port()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    def stop(self):
        """Refuses connections and resets open ones, like a process that has died."""
        self.server.close()
        for writer in self.writers:
            if not writer.is_closing():
                reset(writer)

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        with suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
        ):
            while True:
                request = await read_message(reader)
                self.targets.append(request.target)
                if self.fault is not None and len(self.targets) > self.first:
                    self.broken += 1
                    await self.fault(writer)
                else:
                    writer.write(await self.answer(request.target))
        writer.close()

    async def answer(self, target):
        _, _, query = target.partition("?")
        values = dict(pair.split("=") for pair in query.split("&") if pair)
        if "since" not in values:
            return answer(self.version, True, *self.servers)
        if int(values["since"]) == self.version:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), int(values["timeout_ms"]) / 1000
                )
        news = int(values["since"]) != self.version
        return answer(self.version, news, *(self.servers if news else ()))

    def recover(self, version, *servers):
        """Applies a change, and answers all new calls from now on."""
        self.fault, self.version, self.servers = None, version, list(servers)
        self.changed.set()
        self.changed = asyncio.Event()


async def silent(writer):
    pass


async def half_an_answer(writer):
    writer.write(answer(41, False)[:-9])


async def without_end(writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n{")


async def interim(writer):
    writer.write(b"HTTP/1.1 100 Continue\r\n")


async def byte_by_byte(writer):
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n" + b" " * 99:
        if writer.is_closing():
            return
        writer.write(bytes([byte]))
        await asyncio.sleep(0.1)


async def resets(writer):
    reset(writer)


async def closes(writer):
    writer.close()


def sends(data, end=None):
    async def fault(writer):
        writer.write(data)
        if end == "reset":
            await writer.drain()
            reset(writer)

    return fault


def body(text):
    return sends(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))


QUIET = {
    "silent": silent,
    "half an answer": half_an_answer,
    "no length, no end": without_end,
    "half a head": interim,
}
QUICK = {
    "reset": resets,
    "closed": closes,
    "garbage": sends(b"\0\xff\r\n\r\n"),
    "another status": sends(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
    "another protocol": sends(
        b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    ),
    "not JSON": body(b"<html>"),
    "changes with no version": body(b'{"full": false, "servers": []}'),
    "wrong types": body(b'{"version": "42", "full": 1, "servers": {}}'),
    "a bad line": body(b'{"version": 42, "full": true, "servers": [{"id": 1}]}'),
    "two answers": sends(answer(41, False) * 2),
    "no length, reset": sends(
        b'HTTP/1.1 200 OK\r\n\r\n{"version": 42, "full": true, "servers": [', "reset"
    ),
}
FAULTS = (
    QUIET
    | QUICK
    | {"by the byte": byte_by_byte, "refused": None, "never comes up": None}
)


async def down(agent, how):
    """Stops the agent so that connections are refused or never established; returns what restarts it."""
    agent.stop()
    await agent.server.wait_closed()
    held = []
    if how == "never comes up":
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", agent.port))
        listener.listen(0)
        held.append(listener)
        for _ in range(8):
            held.append(waiting := socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())

    async def back():
        for s in held:
            s.close()
        await agent.start()

    return back


async def time_to_list(name, mode, calls):
    """Returns the seconds from the recovery of discovery to the arrival of its list."""
    agent = Agent(1, FAULTS[name])
    bench = Bench(
        Server(), config={"discovery": f"127.0.0.1:{agent.port}"}, discovery=mode
    )
    await agent.start()
    node = (await bench.start()).node
    await (new := Server()).start()
    loop = asyncio.get_running_loop()
    if FAULTS[name] is None:
        agent.fault = silent
        await until(lambda: agent.broken == 1)
        back = await down(agent, name)
        failures = node.discovery.reader.failures
        await until(lambda: node.discovery.reader.failures >= failures + calls)
        await back()
    else:
        await until(lambda: agent.broken == calls)
    started_at = loop.time()
    agent.recover(42, new.entry("s1"))
    await until(lambda: node.discovery.reader.version == 42)
    time = loop.time() - started_at
    assert (await bench.once(call()))[0] == 200
    assert new.requests
    node.discovery.stop()
    agent.stop()
    return time


def limit(name, calls):
    """Returns the seconds of the bound that this fault can use."""
    wait = WATCH_WAIT_S if calls == 1 else 0.0  # the first broken call is a watch
    if name == "by the byte":
        return wait + ANSWER_TIMEOUT_S
    return (
        wait + SILENCE_S
        if name in QUIET
        else SILENCE_S
        if FAULTS[name] is None
        else RETRY_INTERVAL_S
    )


@pytest.mark.parametrize("name", FAULTS)
async def test_a_change_arrives_soon_after_discovery_recovers(name):
    """Failure prevented: pauses or timeouts grow with each failed call, and a change arrives too late after
    discovery has recovered.
    """
    outages = (1,) if name == "by the byte" else (1, 4)  # calls that break
    cases = [(mode, calls) for mode in ("push", "ask") for calls in outages]
    times = await asyncio.gather(*(time_to_list(name, *case) for case in cases))
    found = dict(zip(cases, times, strict=True))
    assert all(
        time < limit(name, calls) + SLACK_S for (_, calls), time in found.items()
    ), found


def test_the_bound_leaves_time_to_stop_sending():
    """The bound includes each time that a call can take, and does not grow with the number of failures."""
    assert propagation_bound_s() + STOP_SENDING_S < CHANGE_LIMIT_S
    assert propagation_bound_s(0.0) + STOP_SENDING_S < MOVE_LIMIT_S
    assert propagation_bound_s() - propagation_bound_s(0.0) == pytest.approx(
        WATCH_WAIT_S
    )
    for name in FAULTS:
        assert (
            limit(name, 1) + RETRY_INTERVAL_S + AGENT_ANSWER_S <= propagation_bound_s()
        )
        assert limit(
            name, 2
        ) + RETRY_INTERVAL_S + AGENT_ANSWER_S <= propagation_bound_s(0.0)


async def test_consecutive_failures_stay_within_the_bound():
    """A watch that arrives byte by byte until its timeout, then a reset: the worst case of the bound."""

    async def one_upon_another(writer):
        await (byte_by_byte if agent.broken == 1 else resets)(writer)

    agent = await Agent(1, one_upon_another).start()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    node = (await Bench(Server(), config=config, discovery="push").start()).node
    await until(lambda: agent.broken == 1)
    started_at = node.loop.time()
    await until(lambda: agent.broken == 2)
    agent.recover(42)
    await until(lambda: node.discovery.reader.version == 42)
    assert node.loop.time() - started_at < propagation_bound_s() + SLACK_S


async def test_the_number_of_calls_is_limited_and_a_late_answer_is_accepted():
    """Failure prevented: an outage uses up descriptors, or a late answer of an agent is never accepted.

    The answer ends the older calls and its own. The newer ones stay open: a slow agent has worked out this
    answer some time ago, and they bring what has changed since.
    """
    agent = await Agent().start()
    held = []

    async def hold(writer):
        held.append(writer)

    agent.fault = hold
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    node = (await Bench(Server(), config=config, discovery="push").start()).node
    await until(lambda: len(held) >= MAX_CALLS + 3)
    assert len(node.discovery.calls) <= MAX_CALLS
    assert len(node.discovery.calls) > 1
    heard = held[-2]  # the second newest
    heard.write(answer(42, True))
    await until(lambda: node.discovery.reader.version == 42)
    ends = [call.transport.get_extra_info("sockname") for call in node.discovery.calls]
    newer = held[held.index(heard) + 1 :]
    assert newer
    assert ends == [writer.get_extra_info("peername") for writer in newer]
    newer[-1].write(answer(42, False))
    await until(lambda: len(node.discovery.calls) == 1)
    ends = [call.transport.get_extra_info("sockname") for call in node.discovery.calls]
    assert ends == [newer[-1].get_extra_info("peername")]


async def test_the_number_of_calls_that_receive_bytes_is_limited(monkeypatch):
    """Failure prevented: endless lists, each followed by the next call, use up descriptors."""
    monkeypatch.setattr(call_module, "ANSWER_TIMEOUT_S", 0.1)
    monkeypatch.setattr(propagation, "ANSWER_TIMEOUT_S", 0.1)

    async def flood(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")
        while not writer.is_closing():
            writer.write(b" " * 20_000)
            await asyncio.sleep(0.02)

    agent = await Agent(0, flood).start()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    node = (await Bench(Server(), config=config, discovery="push").start()).node
    await until(lambda: agent.broken >= MAX_CALLS)
    started_at = node.loop.time()
    await until(lambda: node.loop.time() > started_at + 4 * SILENCE_S)
    assert len(node.discovery.calls) == MAX_CALLS


async def test_a_connection_that_is_closed_between_calls_is_replaced_without_delay():
    """Failure prevented: the agent closes idle connections, and a call lost with one is repeated late."""
    agent = await Agent().start()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    node = (await Bench(Server(), config=config, discovery="push").start()).node
    await until(lambda: len(agent.targets) == 2)  # the watch
    await asyncio.sleep(RETRY_INTERVAL_S)
    started_at = node.loop.time()
    agent.writers[0].close()
    await until(lambda: agent.connections == 2)
    assert node.loop.time() - started_at < RETRY_INTERVAL_S


@pytest.mark.parametrize("how", ["empty", "whole", "closes"])
async def test_an_agent_that_does_not_wait_is_called_with_pauses(how):
    """Failure prevented: the node spends its time on calls for a list that has not changed."""
    data = answer(
        41, how == "whole", head=b"Connection: close\r\n" if how == "closes" else b""
    )
    agent = await Agent(0, sends(data)).start()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    node = (await Bench(Server(), config=config, discovery="push").start()).node
    await until(lambda: agent.targets)
    started_at = node.loop.time()
    await until(lambda: len(agent.targets) >= 6)
    assert node.loop.time() - started_at > 1.5 * RETRY_INTERVAL_S


async def test_an_answer_without_a_length_ends_with_its_connection():
    async def send_list(writer):
        writer.write(answer(42, True, new.entry("s1"), length=False))
        writer.close()

    await (new := Server()).start()
    agent = await Agent(0, send_list).start()
    bench = await Bench(
        Server(), config={"discovery": f"127.0.0.1:{agent.port}"}
    ).start()
    await until(lambda: bench.node.discovery.reader.version == 42)
    assert (await bench.once(call()))[0] == 200
    assert new.requests


async def test_the_full_list_of_an_agent_with_new_version_numbers_is_applied():
    """Failure prevented: the agent is asked forever for changes since a version that it does not reach."""
    await (new := Server()).start()

    async def numbers(request, writer):
        return answer(3, "since" not in request.target, new.entry("s1"))

    agent = await Server(numbers).start()
    bench = await Bench(
        old := Server(), config={"discovery": f"127.0.0.1:{agent.port}"}
    ).start()
    await until(lambda: bench.node.discovery.reader.version == 3)
    assert (await bench.once(call()))[0] == 200
    assert new.requests
    assert not old.requests


async def test_a_silent_poll_is_ended_and_the_next_one_is_made():
    """Failure prevented: one poll that is never answered prevents all further ones."""
    writers = []

    async def hold(writer):
        writers.append(writer)

    agent = await Agent(1, hold).start()
    bench = await Bench(
        Server(), config={"discovery": f"127.0.0.1:{agent.port}"}
    ).start()
    discovery = bench.node.discovery
    await until(lambda: len(writers) == 1)
    watch = discovery.watch_call
    discovery.poll_if_due()
    discovery.poll_if_due()  # one at a time
    await until(lambda: len(writers) == 2 and discovery.poll_call is None)
    assert watch in discovery.calls
    discovery.poll_if_due()
    assert discovery.poll_call is not None
    await until(lambda: len(writers) >= 3)


@pytest.mark.parametrize("end", ["no news", "reset", "unreadable"])
async def test_a_poll_that_brought_news_continues_as_the_watch(end):
    """Failure prevented: the poll replaces the watch and is then ended as a poll, so that the node makes no
    further call, and uses draining servers until a listed one rejects a request again.
    """
    await (server := Server()).start()
    agent = await Agent(0, None, 41, [server.entry("s0")]).start()
    bench = await Bench(server, config={"discovery": f"127.0.0.1:{agent.port}"}).start()
    discovery = bench.node.discovery
    await until(
        lambda: any(
            target.endswith("since=41&timeout_ms=1000") for target in agent.targets
        )
    )
    agent.version, agent.servers = (
        42,
        [server.entry("s0"), server.entry("s1")],
    )  # the watch gets no answer
    discovery.poll_if_due()
    await until(
        lambda: (
            discovery.reader.version == 42
            and agent.targets[-1].endswith("since=42&timeout_ms=1000")
        )
    )
    assert discovery.poll_call is None
    assert [*discovery.calls] == [discovery.watch_call]
    if end == "no news":
        await until(lambda: sum("since=42" in target for target in agent.targets) >= 3)
    elif end == "reset":
        reset(agent.writers[-1])
    else:
        agent.writers[-1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{")
        await until(lambda: discovery.reader.dropped_answers)
    agent.recover(43, server.entry("s0", "draining"))
    await until(lambda: discovery.reader.version == 43)


# ---- answers out of order ----------------------------------------------------------------------------


@pytest.mark.parametrize("full", [True, False])
async def test_an_older_answer_does_not_undo_a_newer_one(full):
    """Failure prevented: the answers to a poll and the watch cross, and drained servers are restored."""
    await (old := Server()).start()
    writers = []

    async def hold(writer):
        writers.append(writer)

    agent = await Agent(1, hold).start()
    bench = await Bench(old, config={"discovery": f"127.0.0.1:{agent.port}"}).start()
    discovery = bench.node.discovery
    await until(lambda: len(writers) == 1)  # the watch
    discovery.fetch()
    await until(lambda: len(writers) == 2)
    writers[0].write(answer(43, False, old.entry("s0", "draining")))
    await until(lambda: len(writers) == 3)  # renewed
    writers[1].write(answer(42, full, old.entry("s0")))
    await until(lambda: len(discovery.calls) == 1)
    assert discovery.reader.version == 43
    assert (await bench.once(call()))[0] == 503
    assert not old.requests


# ---- moves -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("calls", [1, 4])
async def test_the_list_of_a_moved_discovery_arrives_within_its_bound(calls):
    """Failure prevented: the first calls at the new address are silent, and the limit of 4 s passes."""
    await (new := Server()).start()
    bench = await Bench(Server()).start()
    agent = await Agent(0, silent, 3, [new.entry("s1")]).start()
    bench.node.discovery.move_to(("127.0.0.1", agent.port))
    await until(lambda: agent.broken == calls)
    started_at = bench.node.loop.time()
    agent.recover(3, new.entry("s1"))
    await until(lambda: bench.node.discovery.reader.version == 3)
    assert (
        bench.node.loop.time() - started_at
        < SILENCE_S + SLACK_S
        < propagation_bound_s(0.0)
    )
    assert agent.targets[0] == "/v1/endpoints"


async def test_answers_of_the_old_address_are_ignored_after_a_move():
    """Failure prevented: an answer of the old address is applied as one of the new address."""
    writers = []

    async def hold(writer):
        writers.append(writer)

    await (new := Server()).start()
    before = await Agent(1, hold).start()
    bench = await Bench(
        old := Server(), config={"discovery": f"127.0.0.1:{before.port}"}
    ).start()
    discovery = bench.node.discovery
    await until(lambda: len(writers) == 1)
    discovery.fetch()
    discovery.poll_if_due()
    await until(lambda: len(writers) == 3)
    deliver, versions = discovery.reader.on_list, []

    def on_list(listing, more=False):
        deliver(listing, more)
        versions.extend([listing.version] if listing is not None else [])

    discovery.reader.on_list = on_list
    after = await Agent(0, None, 3, [new.entry("s1")]).start()
    for address in (
        9,
        before.port,
        after.port,
    ):  # several moves in a row, one of them back
        discovery.move_to(("127.0.0.1", address))
    for writer in writers:
        writer.write(answer(99, True, old.entry("s0")))
    await until(lambda: discovery.reader.version == 3)
    assert versions == [3]
    assert len(discovery.calls) == 1
    assert (await bench.once(call()))[0] == 200
    assert not old.requests


@pytest.mark.parametrize("length", [1, MANY])
@pytest.mark.parametrize("stage", ["checked", "delivered"])
async def test_a_move_while_a_long_list_is_read_leaves_only_the_new_list(stage, length):
    """Failure prevented: the remaining parts of the old address's list are delivered after the new list, and
    replace it; or the parts delivered before the move stay.
    """
    bench = await Bench(old := Server()).start()
    await (new := Server()).start()
    agent = await Agent(0, None, 3, [new.entry(f"n{i}") for i in range(length)]).start()
    node, deliver, parts, after = (
        bench.node,
        bench.node.discovery.reader.on_list,
        [],
        set(),
    )

    def on_list(listing, more=False):
        deliver(listing, more)
        if listing is not None and node.discovery.address[1] == agent.port:
            after.add(listing.version)
        if more:
            parts.append(listing)
            if len(parts) == 3 and stage == "delivered":
                node.discovery.move_to(("127.0.0.1", agent.port))

    node.discovery.reader.on_list = on_list
    entries = [old.entry(f"o{i}") for i in range(MANY)]
    text = json.dumps({"version": 99, "full": True, "servers": entries}).encode()
    node.discovery.reader.read(bytearray(text), lambda usable: None)
    if stage == "checked":
        await until(lambda: node.discovery.reader.lock.locked())
        node.discovery.move_to(("127.0.0.1", agent.port))
    await until(
        lambda: node.discovery.reader.version == 3 and not node.discovery.reader.tasks
    )
    assert after == {3}  # no part of the old list
    assert len(node.listed) == len(node.balancer.subset.endpoint_list) == length
    old.requests.clear()
    for _ in range(5):
        assert (await bench.once(call()))[0] == 200
    assert not old.requests
    assert not node.discovery.reader.partial_list


async def test_a_long_list_that_several_calls_bring_is_read_once():
    """Failure prevented: a slow agent sends the list once for each call, and each one is delivered."""
    writers = []

    async def hold(writer):
        writers.append(writer)

    await (new := Server()).start()
    agent = await Agent(0, hold).start()
    bench = await Bench(Server()).start()
    deliver, names = bench.node.discovery.reader.on_list, []

    def on_list(listing, more=False):
        deliver(listing, more)
        names.extend(line.id for line in listing.lines) if listing is not None else None

    bench.node.discovery.reader.on_list = on_list
    bench.node.discovery.move_to(("127.0.0.1", agent.port))
    await until(lambda: len(writers) == 3)
    for writer in writers:
        writer.write(answer(42, True, *(new.entry(f"n{i}") for i in range(MANY))))
    await until(
        lambda: len(bench.node.listed) == MANY and not bench.node.discovery.reader.tasks
    )
    assert len(names) == MANY


async def test_changes_are_applied_while_a_long_list_is_delivered():
    """Failure prevented: no watch is open until the last part of a long list is delivered."""
    bench = await Bench(Server()).start()
    await (new := Server()).start()
    parts, deliver = [], bench.node.discovery.reader.on_list

    def on_list(listing, more=False):
        deliver(listing, more)
        parts.append((listing.kind, more))
        if len(parts) == 3:
            bench.discovery.say(43, False, new.entry("n7", "draining"))

    bench.node.discovery.reader.on_list = on_list
    bench.discovery.say(42, True, *(new.entry(f"n{i}") for i in range(MANY)))
    await until(
        lambda: (
            bench.node.discovery.reader.version == 43
            and not bench.node.discovery.reader.tasks
        )
    )
    kinds = [kind for kind, _ in parts]
    assert ListUpdateKind.CHANGES in kinds[3:-1]
    assert kinds[-1] == ListUpdateKind.FULL
    assert len(bench.node.balancer.subset.endpoint_list) == MANY - 1


async def test_a_short_full_list_waits_for_a_long_one_that_is_delivered():
    """Failure prevented: it ends the long list, whose remaining parts are then taken for another list."""
    bench = await Bench(Server()).start()
    await (new := Server()).start()
    discovery, deliver, parts = (
        bench.node.discovery,
        bench.node.discovery.reader.on_list,
        [],
    )

    def on_list(listing, more=False):
        deliver(listing, more)
        parts.append(listing)
        if len(parts) == 3:
            last = json.dumps(
                {"version": 43, "full": True, "servers": [new.entry("s1")]}
            ).encode()
            discovery.reader.read(bytearray(last), lambda usable: None)

    discovery.reader.on_list = on_list
    entries = [new.entry(f"n{i}") for i in range(MANY)]
    text = json.dumps({"version": 42, "full": True, "servers": entries}).encode()
    discovery.reader.read(bytearray(text), lambda usable: None)
    await until(lambda: discovery.reader.version == 43 and not discovery.reader.tasks)
    assert len(bench.node.listed) == len(bench.node.balancer.subset.endpoint_list) == 1


async def test_no_call_is_made_after_the_stop():
    """Failure prevented: a timer that was set before the stop starts a call that is never ended."""
    bench = await Bench(Server()).start()
    discovery = bench.node.discovery
    discovery.stop()
    actions = (
        (discovery.watch, True),
        (discovery.move_to, discovery.address),
        (discovery.fetch,),
        (discovery.poll_if_due,),
    )
    for action, *arguments in actions:
        action(*arguments)
        assert not discovery.calls
        assert discovery.retry_timer is None


@pytest.mark.parametrize("version", [(1 << 53) + 1, 1_764_000_000_123_456_789, 41.0])
def test_a_version_is_decoded_exactly(version):
    """Failure prevented: a large version is rounded, and changes since one that never existed are missed."""
    text = json.dumps({"version": version, "full": True, "servers": []}).encode()
    long = LongListing(text)
    list(long.check(1))
    assert decode(text).version == long.version == int(version)


async def test_a_process_is_ready_once_a_long_list_is_complete():
    """Failure prevented: it is ready at the first part, and uses servers that later parts omit or drain."""
    await (new := Server()).start()
    bench = Bench(Server())
    entries = [new.entry(f"n{i}") for i in range(MANY)]
    bench.discovery.say(42, True, *entries)
    node, seen = (await bench.start()).node, []
    while not node.ready():
        seen.append(node.discovery.reader.version)
        await asyncio.sleep(0.001)
    assert 42 in seen
    assert len(node.listed) == MANY


def test_a_duplicate_server_and_a_duplicate_address_are_kept_as_sent():
    """Entries are kept as discovery sends them; equal addresses do not make servers the same."""
    line = {"id": "s0", "addr": "h:80", "state": "ready"}
    entries = [line, line | {"state": "draining"}, line | {"id": "s1", "started_ms": 5}]
    listing = decode(
        json.dumps({"version": 3, "full": True, "servers": entries}).encode()
    )
    assert [(x.id, x.state.name) for x in listing.lines] == [
        ("s0", "READY"),
        ("s0", "DRAINING"),
        ("s1", "READY"),
    ]


async def test_a_server_drains_although_another_one_has_its_address():
    bench = await Bench(config={"known": None}).start()
    await (server := Server()).start()
    lines = [
        server.entry("a"),
        server.entry("a", "draining"),
        server.entry("b", started_ms=5),
    ]
    bench.discovery.say(42, True, *lines)
    await until(lambda: bench.node.listed is not None)
    assert [e.ready for e in bench.node.pool.endpoints.values()].count(True) == 1
    assert (await bench.once(call()))[0] == 200
    bench.discovery.say(43, False, server.entry("b", "gone"))
    await until(lambda: bench.node.discovery.reader.version == 43)
    assert (await bench.once(call()))[0] == 503


# ---- the real program --------------------------------------------------------------------------------

SOCKETS = (
    96  # descriptors that the process may use, by its settings or by the system's limit
)
SPARE_SOCKETS = 4  # of those set aside, beside all calls to discovery


@pytest.mark.parametrize("by", ["the settings", "the system"])
async def test_idle_clients_leave_descriptors_to_discovery_servers_and_operators(
    by, tmp_path, monkeypatch
):
    """Failure prevented: idle clients use all descriptors while discovery is down, and after its recovery
    the node cannot open a connection to it, or to the servers that it names.
    """
    old, new = await Door().start(), await Server().start()
    agent = await Agent(0, silent).start()
    control = free_port()
    sockets = SOCKETS
    if by == "the system":  # the settings would allow more
        sockets = 1024
        (script := tmp_path / "python").write_text(
            f'#!/bin/sh\nulimit -n {SOCKETS}\nexec {sys.executable} "$@"\n'
        )
        script.chmod(0o700)
        monkeypatch.setattr(sys, "executable", str(script))
    config = {"limits": {"sockets": sockets}, "control": f"127.0.0.1:{control}"}
    program = Program(tmp_path, old.entry("s0"), config=config)
    program.discovery = agent
    await program.start(ready=False, discovery="push")
    idle = []
    try:
        await program.ready()  # although discovery is silent
        open_calls = sum(not writer.is_closing() for writer in agent.writers)
        assert open_calls <= MAX_CALLS
        descriptors = program.descriptors() - open_calls + MAX_CALLS + 2
        assert descriptors <= RESERVED_SOCKETS - SPARE_SOCKETS
        resource.prlimit(
            program.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS)
        )
        peak = 0
        for i in range(2 * SOCKETS):
            idle.append(await program.client())
            idle[-1].send(b"GET /ready HTTP/1.1\r\n\r\n" if i % 3 else b"")
            peak = max(peak, program.descriptors())
        broken = agent.broken
        await until(lambda: agent.broken >= broken + MAX_CALLS)
        started_at = asyncio.get_running_loop().time()
        agent.recover(42, new.entry("s1"))
        await until(lambda: "since=42&" in agent.targets[-1])  # the list is in hand
        assert asyncio.get_running_loop().time() - started_at < SILENCE_S + SLACK_S
        while True:  # a rejected client connects again
            client = await program.client()
            if (await client.ask(call()))[0] == 200:
                break
            client.writer.close()
        assert new.requests
        assert not old.taken
        operator = await Client(control).open()
        assert (await operator.ask(b"GET /admin/health HTTP/1.1\r\n\r\n"))[0] == 200
        assert max(peak, program.descriptors()) <= SOCKETS
    finally:
        for client in idle:
            client.writer.close()
        await program.stop()
        agent.stop()


async def test_a_move_by_sighup_while_the_old_address_is_silent(tmp_path):
    """After two SIGHUPs in a row, the second back to the first address, that address's list is in use."""
    await (old := Server()).start()
    await (new := Server()).start()
    first = await Agent(0, silent).start()
    second = await Agent(0, None, 3, [old.entry("s9")]).start()
    program = Program(tmp_path, old.entry("s0"))
    program.discovery = first
    await program.start(discovery="push")
    try:
        program.reload(discovery=f"127.0.0.1:{second.port}")
        await until(lambda: len(second.targets) >= 2)
        broken = first.broken
        program.reload(discovery=f"127.0.0.1:{first.port}")
        await until(lambda: first.broken > broken)
        started_at = asyncio.get_running_loop().time()
        first.recover(1, new.entry("s1"))
        await until(lambda: "since=1&" in first.targets[-1])  # the list is in hand
        assert (
            asyncio.get_running_loop().time() - started_at
            < SILENCE_S + SLACK_S
            < propagation_bound_s(0.0)
        )
        client = await program.client()
        old.requests.clear()
        assert (await client.ask(call()))[0] == 200
        assert new.requests
        assert not old.requests
        program.process.send_signal(signal.SIGTERM)
        client.writer.close()
        assert await program.exit() == 0
    finally:
        await program.stop()
        first.stop()
        second.stop()


def test_timeouts_are_consistent_with_the_bound():
    """The module's timeouts are consistent with the bound."""
    assert RETAINED_LIFETIME_S >= MAX_ANSWER_DELAY_S >= SILENCE_S
    places_s = (MAX_CALLS - 2) * RETAIN_INTERVAL_S
    assert places_s + SILENCE_S >= RETAINED_LIFETIME_S
    assert MAX_CALLS * (WATCH_WAIT_S + SILENCE_S) - WATCH_WAIT_S >= MAX_PACED_DELAY_S
    assert WATCH_WAIT_S + SILENCE_S <= RETAIN_INTERVAL_S
    assert slow_propagation_bound_s(MAX_ANSWER_DELAY_S) <= CHANGE_LIMIT_S
    assert MAX_OLDEST_LIFETIME_S >= MAX_PACED_DELAY_S
    assert MAX_PACED_DELAY_S >= MAX_ANSWER_DELAY_S
    assert startup_wait.STARTUP_WAIT_S < startup_wait.STARTUP_WAIT_CONNECTED_S
    assert startup_wait.STARTUP_WAIT_CONNECTED_S < startup_wait.STARTUP_WAIT_LIST_S
    assert startup_wait.STARTUP_WAIT_LIST_S < READY_LIMIT_S
