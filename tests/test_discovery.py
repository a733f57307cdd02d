"""Updates that a discovery agent has but does not deliver: silent calls, outdated lists, the start."""

import asyncio
import json
import time

import pytest
from loopback import Bench, Server, call, empty_answer, until
from test_node import FULL as REJECTED
from test_node import always

# Seconds within which an update that a silent call missed must arrive; the bound is 6, or 4 after a move.
MAX_DELAY_S = 4.0


def full_list(version, *servers, indent=None):
    body = json.dumps(
        {"version": version, "full": True, "servers": servers}, indent=indent
    ).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def silent(first, last):
    """Returns an agent that answers the first `first` calls, then only from connection number `last` on."""

    async def handle(request, writer):
        agent.targets.append((len(agent.writers), request.target))
        if len(agent.targets) <= first:
            return empty_answer(41)
        return agent.news if len(agent.writers) >= last else None

    agent = Server(handle)
    agent.targets, agent.news = [], b""
    return agent


@pytest.mark.parametrize(("first", "last"), [(1, 2), (0, 2), (1, 3)])
async def test_an_update_that_a_silent_watch_missed_arrives_within_the_bound(
    first, last
):
    """Failure prevented: the wait grows with the fleet, and nodes use an outdated list for 20 s."""
    agent = await silent(first, last).start()
    await (new := Server()).start()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    bench = await Bench(
        Server(), config=config, group_size=200, discovery="push"
    ).start()
    agent.news = full_list(42, new.entry("s1"))
    await until(lambda: len(agent.targets) == first + 1)  # the call that stays silent
    silent_since = time.monotonic()
    await until(lambda: bench.node.discovery.reader.version == 42)
    assert time.monotonic() - silent_since < MAX_DELAY_S
    # Calls on new connections do not wait at the agent, so a second silence is detected soon.
    firsts = dict(reversed(agent.targets))
    assert len(firsts) == last
    assert all("timeout_ms=0" in target for target in firsts.values())
    assert (await bench.once(call()))[0] == 200
    assert new.requests


async def test_a_silent_call_after_a_move_is_replaced_in_time():
    """Failure prevented: the full list may be silent for 6 s, but it must be applied 4 s after SIGHUP."""
    bench = await Bench(Server()).start()
    agent = await silent(0, 2).start()
    await (new := Server()).start()
    agent.news = full_list(3, new.entry("s1"))
    started_at = time.monotonic()
    bench.node.discovery.move_to(("127.0.0.1", agent.port))
    await until(lambda: bench.node.discovery.reader.version == 3)
    assert time.monotonic() - started_at < MAX_DELAY_S
    assert [target for _, target in agent.targets[:2]] == ["/v1/endpoints"] * 2


@pytest.mark.parametrize("rate", ["steady", "by the byte"])
async def test_silence_is_measured_from_the_last_byte_with_a_limit(rate, monkeypatch):
    """Failure prevented: a large list over a slow line never arrives, or one call lasts forever."""
    # Pieces arrive every tenth of a second, in total for longer than the tolerated silence.
    answer_time = 0.5 if rate == "by the byte" else 20.0
    for module in ("call", "propagation"):
        place = f"loadbalancer.node.discovery.{module}"
        monkeypatch.setattr(f"{place}.SILENCE_S", 1.0)
        monkeypatch.setattr(f"{place}.ANSWER_TIMEOUT_S", answer_time)
    await (new := Server()).start()

    async def slowly(request, writer):
        answer = full_list(42, new.entry("s1"), indent=4)
        if len(agent.writers) == 2:
            return answer
        step = 1 if rate == "by the byte" else len(answer) // 16
        for start in range(0, len(answer), step):
            if not writer.is_closing():
                writer.write(answer[start : start + step])
                await asyncio.sleep(0.1)

    agent = await Server(slowly).start()
    config = {"discovery": f"127.0.0.1:{agent.port}", "known": None}
    bench = await Bench(config=config, discovery="push").start()
    await until(lambda: bench.node.discovery.reader.version == 42)
    assert len(agent.writers) == (1 if rate == "steady" else 2)


@pytest.mark.parametrize("how", ["turned away", "refused"])
async def test_calls_that_a_listed_server_rejects_trigger_a_poll_of_the_list(
    how,
):
    """Failure prevented: the watch is silent, and each request is sent to servers that have drained."""
    await (new := Server()).start()
    polls, news = [], []

    async def handle(request, writer):
        if not request.target.endswith("timeout_ms=0"):
            return None  # the watch
        polls.append(request)
        return news[0] if news else empty_answer(41)

    agent = await Server(handle).start()
    bench = Bench(
        old := Server(always(REJECTED)),
        config={"discovery": f"127.0.0.1:{agent.port}"},
    )
    await bench.start()
    discovery = bench.node.discovery
    await until(
        lambda: (
            agent.requests and not agent.requests[-1].target.endswith("timeout_ms=0")
        )
    )
    watch = discovery.watch_call
    watch.cancel_timer()  # its silence is not detected
    if how == "refused":
        old.server.close()
    assert len(polls) == 1
    assert (await bench.once(call()))[0] == 503
    await until(lambda: len(polls) == 2 and discovery.poll_call is None)
    assert discovery.watch_call is watch  # the watch continues without news
    news.append(full_list(42, new.entry("s1")))
    while discovery.reader.version != 42:
        await bench.once(call())
    await until(
        lambda: discovery.watch_call not in (watch, None)
    )  # the watch should have reported the change
    assert (await bench.once(call()))[0] == 200
    assert new.requests
    assert len(polls) <= 6  # fewer than one per call


async def test_a_process_is_ready_once_it_has_its_agent_s_list():
    """Failure prevented: the first requests go to servers that drained before the process started."""
    await (new := Server()).start()
    for answers in (True, False):
        bench = Bench(Server())
        bench.discovery.silent = True
        node = (await bench.start()).node
        assert not node.ready()
        if answers:
            bench.discovery.say(42, True, new.entry("s1"))
        # A node without a reachable agent uses the list from its configuration file.
        await until(node.ready)
        assert node.discovery.reader.version == (42 if answers else 41)


async def test_only_the_first_empty_answer_after_a_failure_is_delivered():
    """Failure prevented: each second, every node of a fleet recomputes its subset without need."""
    bench = await Bench(Server(), discovery="push").start()
    discovery, delivered = bench.node.discovery, []
    await until(lambda: len(bench.discovery.requests) == 1)
    discovery.reader.on_list = lambda listing, more: delivered.append(listing)
    bench.discovery.raw(b'{"version": 41, "full": false, "servers": []}')
    await until(lambda: len(bench.discovery.requests) == 2)
    assert not delivered
    discovery.reader.failures = 1
    bench.discovery.raw(b'{"version": 41, "full": false, "servers": []}')
    await until(lambda: len(bench.discovery.requests) == 3)
    assert len(delivered) == 1
    assert discovery.reader.failures == 0


@pytest.mark.parametrize("lines", [1, 800])
async def test_an_indented_list_is_read_like_any_other(lines):
    """Failure prevented: an indented list, long or short, is dropped, and no server is known."""
    bench = await Bench(config={"known": None}).start()
    await (server := Server()).start()
    entries = [server.entry(f"s{i}") for i in range(lines)]
    bench.discovery.answers.put_nowait(full_list(42, *entries, indent="\t \r\n"))
    await until(
        lambda: bench.node.listed is not None and len(bench.node.listed) == lines
    )
    assert (await bench.once(call()))[0] == 200
