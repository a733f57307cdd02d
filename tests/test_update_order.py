"""An entry of the endpoint list that was received earlier never replaces one that was received later.

Answers of discovery are passed to the reader directly, so nothing here uses sockets.
"""

import asyncio
import json
from typing import Any

import pytest
from loopback import PATIENCE, settings

from loadbalancer.node.config import read
from loadbalancer.node.discovery import endpoint_list_reader
from loadbalancer.node.node import Node
from loadbalancer.node.numbering import number_of

PART_SERVERS = 2
LONG_ANSWER_BYTES = 700  # about five entries


@pytest.fixture(autouse=True)
def short_parts(monkeypatch):
    """Answers of a few entries are long ones, and are read in parts."""
    monkeypatch.setattr(endpoint_list_reader, "PART_SERVERS", PART_SERVERS)
    monkeypatch.setattr(endpoint_list_reader, "LONG_ANSWER_BYTES", LONG_ANSWER_BYTES)


def make_node() -> Node:
    """A node that is not started: nothing listens, and discovery is not asked."""
    table = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "limits": {"sockets": 256},
        "settings": settings(),
    }
    node = Node(read(table), asyncio.get_running_loop())
    node.post(node.balancer.start)
    return node


def entry(name: str, state: str = "ready", started_ms: int = 0) -> dict[str, Any]:
    """An entry of an answer; each server has an address of its own."""
    port = 1000 + int(name[1:])
    line = {"id": name, "addr": f"127.0.0.1:{port}", "zone": "here", "kind": "std"}
    return line | {"cell": 0, "state": state, "weight": 1.0, "started_ms": started_ms}


def entries(count: int, state: str = "ready") -> list[dict[str, Any]]:
    """Entries of the first `count` servers."""
    return [entry(f"s{i}", state) for i in range(count)]


def receive(node: Node, version: int, full: bool, lines: list[dict[str, Any]]) -> None:
    """Passes an answer to the node's reader."""
    body = json.dumps({"version": version, "full": full, "servers": lines})
    node.discovery.reader.read(bytearray(body.encode()), lambda usable: None)


async def until_version(node: Node, version: int) -> None:
    """Waits until an answer has been adopted; its first part is delivered in the same step."""
    async with asyncio.timeout(PATIENCE):
        while node.discovery.reader.version != version:
            await asyncio.sleep(0)


async def until_delivered(node: Node) -> None:
    """Waits until all answers have been delivered."""
    async with asyncio.timeout(PATIENCE):
        while node.discovery.reader.tasks:
            await asyncio.sleep(0)


def ready_at_registry(node: Node) -> dict[int, int]:
    """The servers that requests may be sent to, with their start times in microseconds."""
    return {
        number: endpoint.started
        for number, endpoint in node.pool.endpoints.items()
        if endpoint.ready
    }


def ready_at_policy(node: Node) -> dict[int, int]:
    """The servers that the policy may choose, with their start times in microseconds."""
    endpoint_list = node.balancer.subset.endpoint_list
    return {
        number: listed.started_at
        for number in endpoint_list.endpoints
        if (listed := endpoint_list.get(number)) is not None
    }


def expected(lines: dict[str, dict[str, Any]]) -> dict[int, int]:
    """What both should hold for the newest entries, by the server's name."""
    return {
        number_of(name): line["started_ms"] * 1000
        for name, line in lines.items()
        if line["state"] == "ready"
    }


def assert_list_is(node: Node, lines: list[dict[str, Any]]) -> None:
    """Checks that the registry and the policy hold these entries."""
    ready = expected({line["id"]: line for line in lines})
    assert ready_at_registry(node) == ready
    assert ready_at_policy(node) == ready


async def interrupt_a_delivery(node: Node) -> None:
    """Moves to another address while a full list is delivered."""
    receive(node, 90, True, entries(20))
    await until_version(node, 90)
    assert node.discovery.reader.partial_list
    node.discovery.reader.reset()


@pytest.mark.parametrize("passes", [0, 1], ids=["first delivery", "second delivery"])
async def test_changes_during_the_delivery_of_a_list_after_an_interrupted_one_are_not_undone(
    passes,
):
    """Failure prevented: servers that drain after two moves in quick succession get requests for good."""
    node = make_node()
    await interrupt_a_delivery(node)
    ends = []
    deliver = node.discovery.reader.on_list
    node.discovery.reader.on_list = lambda listing, more: (
        deliver(listing, more),
        ends.append(more),
    )
    receive(node, 7, True, entries(20))
    await until_version(node, 7)
    async with asyncio.timeout(PATIENCE):
        while ends.count(False) < passes:
            await asyncio.sleep(0)
    changed = [
        entry("s0", "draining"),
        entry("s1", started_ms=5),
        entry("s2", "gone"),
        entry("s18", "draining"),
        entry("s19", "gone"),
        entry("s30"),
        entry("s31", "draining"),
    ]
    for version, line in enumerate(changed, 8):
        receive(node, version, False, [line])
    await until_delivered(node)
    assert ends.count(False) == 2 + len(changed)
    newest = {line["id"]: line for line in [*entries(20), *changed]}
    assert_list_is(node, list(newest.values()))
    # A later list is not affected by what was recorded during that delivery.
    receive(node, 20, True, entries(20))
    await until_delivered(node)
    assert_list_is(node, entries(20))
