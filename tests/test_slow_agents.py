"""Discovery agents that answer late: the node's own at its start, and others that an outdated node asks."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import Any

import pytest
from loopback import Bench, Server, call, until

from loadbalancer.audit.status import VersionId
from loadbalancer.node.discovery.endpoint_list_codec import decode
from loadbalancer.node.discovery.startup_wait import (
    STARTUP_WAIT_CONNECTED_S,
    STARTUP_WAIT_S,
)
from loadbalancer.node.features import endpoint_lines
from loadbalancer.node.features.endpoint_lines import EndpointExchange
from loadbalancer.node.features.known_endpoints import KnownEndpoints

SLACK_S = 1.0  # for a machine that is busy with other tests
ORIGIN = "discovery:1"
BODY = b'{"version":42,"full":true,"servers":[{"id":"s0","addr":"127.0.0.1:9","state":"ready"}]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


def quorum_version() -> VersionId:
    known = KnownEndpoints()
    known.update(decode(BODY), ORIGIN, False)
    return VersionId(ORIGIN, 42, known.digest())


async def started_exchange(adopted: list[str]) -> EndpointExchange:
    loop = asyncio.get_running_loop()
    host: Any = SimpleNamespace(loop=loop, log_event=lambda *a, **k: None)

    def on_list(version: VersionId, lines: Any, sender: str, source: Any) -> None:
        adopted.append(sender)

    return EndpointExchange(host, on_list)


async def test_a_slow_agent_is_heard_although_the_next_one_is_asked_meanwhile() -> None:
    """Failure prevented: each request to an agent ends after 0.3 s, and a slow one is never heard."""

    async def slowly(request: Any, writer: Any) -> bytes:
        await asyncio.sleep(1.0)
        return ANSWER

    async def never(request: Any, writer: Any) -> None:
        return None

    slow, silent = await Server(slowly).start(), await Server(never).start()
    adopted: list[str] = []
    exchange = await started_exchange(adopted)
    version = quorum_version()
    exchange.fetch_from_agent(("127.0.0.1", slow.port), version)
    await until(lambda: len(slow.requests) == 1)
    exchange.fetch_from_agent(("127.0.0.1", silent.port), version)
    exchange.fetch_from_agent(("127.0.0.1", slow.port), version)  # the next round
    await until(lambda: adopted)
    assert adopted == [f"127.0.0.1:{slow.port}"]
    assert len(slow.requests) == 1
    exchange.stop()


async def test_a_silent_agent_is_given_up_and_asked_again(monkeypatch: Any) -> None:
    """Failure prevented: a call that is never answered keeps its descriptor, and prevents the next one."""
    monkeypatch.setattr(endpoint_lines, "AGENT_TIMEOUT_S", 0.5)

    async def never(request: Any, writer: Any) -> None:
        return None

    silent = await Server(never).start()
    exchange = await started_exchange([])
    version = quorum_version()
    for count in (1, 2):
        exchange.fetch_from_agent(("127.0.0.1", silent.port), version)
        await until(lambda count=count: len(silent.requests) == count)  # type: ignore[misc]
        await until(lambda: not exchange._agent_calls)
    agents = [await Server(never).start() for _ in range(2)]
    for agent in (silent, *agents):
        exchange.fetch_from_agent(("127.0.0.1", agent.port), version)
    exchange.fetch_from_agent(("127.0.0.1", 9), version)
    assert len(exchange._agent_calls) == endpoint_lines.MAX_AGENT_CALLS
    exchange.stop()
    assert not exchange._agent_calls


async def test_a_node_waits_at_its_start_for_a_slow_agent() -> None:
    """Failure prevented: a slow agent is taken for one that is down, and requests go to drained servers."""
    await (new := Server()).start()

    async def slowly(request: Any, writer: Any) -> bytes:
        await asyncio.sleep(1.6)
        body = json.dumps({"version": 42, "full": True, "servers": [new.entry("s1")]})
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        return head % len(body) + body.encode()

    agent = await Server(slowly).start()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    bench = await Bench(old := Server(), config=config, discovery="push").start()
    await until(bench.node.ready)
    assert bench.node.discovery.reader.version == 42
    assert (await bench.once(call()))[0] == 200
    assert new.requests
    assert not old.requests


@pytest.mark.parametrize("how", ["silent", "refused"])
async def test_a_node_whose_agent_is_down_starts_all_the_same(how: str) -> None:
    """Failure prevented: a node waits for an agent that is down for longer than a slow one needs."""

    async def never(request: Any, writer: Any) -> None:
        return None

    agent = await Server(never).start()
    if how == "refused":
        agent.server.close()
    config = {"discovery": f"127.0.0.1:{agent.port}"}
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    bench = await Bench(Server(), config=config, discovery="push").start()
    await until(bench.node.ready)
    limit_s = STARTUP_WAIT_S if how == "refused" else STARTUP_WAIT_CONNECTED_S
    assert limit_s <= loop.time() - started_at < limit_s + SLACK_S
    assert (await bench.once(call()))[0] == 200
