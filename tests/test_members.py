"""The node's part in the membership: on where operators wish it and the platform allows it, off otherwise."""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import replace
from typing import Any

import pytest
from loopback import Bench, Client, play, until

from loadbalancer.config.operator_config import (
    OperatorConfig,
    OperatorConfigError,
    build,
)
from loadbalancer.node.config import Config
from loadbalancer.node.node import Node


def wish(*seeds: str, **keys: Any) -> OperatorConfig:
    table = {
        "listen": "127.0.0.1:0",
        "seeds": list(seeds),
        "regions": {"north": ["here"]},
    } | keys
    return build({"membership": table}, "operator.toml")


class Ear:
    """A seed that only listens."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"

    def heard(self) -> int:
        count = 0
        try:
            while self.socket.recv(2_000):
                count += 1
        except BlockingIOError:
            return count
        return count


async def node_with(operation: OperatorConfig, peers: bool, **config: Any) -> Bench:
    """A node that was started with an operators' file."""
    bench = await Bench(policy_limits={"peers": peers}, config=config).start()
    bench.node.operation = operation
    bench.node.reconcile_features()
    return bench


def with_peers(config: Config, allowed: bool) -> Config:
    return replace(config, settings=replace(config.settings, peers=allowed))


def test_not_one_datagram_where_the_platform_refuses_the_talk(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scene() -> None:
        ear, control = Ear(), Ear()
        off = await node_with(wish(ear.address), peers=False)
        on = await node_with(wish(control.address), peers=True)
        assert off.node.members is None
        heard = 0

        def more() -> bool:
            nonlocal heard
            heard += control.heard()
            return heard >= 3

        await until(more)  # a node that may talk asks its seed again and again
        assert ear.heard() == 0
        assert on.node.members is not None

    play(scene)
    assert (
        "feature disabled name=membership reason=the platform's policy_limits.peers is false"
        in capfd.readouterr().err
    )


def test_a_reload_ends_the_talk_at_once_and_begins_it_again() -> None:
    async def scene() -> None:
        ear = Ear()
        bench = await node_with(wish(ear.address), peers=True)
        node = bench.node
        await until(lambda: ear.heard() > 0)
        node.reload(with_peers(node.config, False), node.operation)
        assert node.members is None
        ear.heard()
        await asyncio.sleep(2.5)  # seeds are asked every 1.75 s
        assert ear.heard() == 0
        node.reload(with_peers(node.config, True), node.operation)
        await until(lambda: ear.heard() > 0)

    play(scene)


async def asked(node: Node, path: str) -> tuple[int, Any]:
    assert node.control is not None
    client = await Client(node.control.port).open()
    status, _, body = await client.ask(f"GET {path} HTTP/1.1\r\n\r\n".encode())
    return status, json.loads(body) if body else None


def test_operators_see_who_lives_where_and_how_old_that_is() -> None:
    async def scene() -> None:
        one = await node_with(wish(), peers=True, name="n1", control="127.0.0.1:0")
        await until(
            lambda: one.node.members is not None and one.node.members.swim is not None
        )
        assert one.node.members is not None
        assert one.node.members.swim is not None
        seed = "{}:{}".format(*one.node.members.swim.local.address)
        two = await node_with(wish(seed), peers=True, name="n2", control="127.0.0.1:0")
        await until(
            lambda: one.node.members is not None and len(one.node.members.view()) == 2
        )
        status, table = await asked(one.node, "/admin/membership")
        assert status == 200
        other = table["members"][1]
        assert (other["name"], other["state"], other["zone"], other["region"]) == (
            "n2", "alive", "here", "north",
        )  # fmt: skip
        assert 0 <= other["age_s"] < 60
        status, figures = await asked(two.node, "/admin/stats")
        assert figures["membership"]["states"]["alive"] == 2
        plain = await Bench(config={"control": "127.0.0.1:0"}).start()
        assert (await asked(plain.node, "/admin/membership"))[0] == 404
        assert "membership" not in (await asked(plain.node, "/admin/stats"))[1]

    play(scene)


def test_a_port_that_is_taken_is_waited_for_while_the_node_serves() -> None:
    async def scene() -> None:
        ear = Ear()
        bench = await node_with(wish(listen=ear.address), peers=True)
        await asyncio.sleep(0.5)
        members = bench.node.members
        assert members is not None
        assert members.swim is None
        ear.socket.close()
        await until(lambda: members.swim is not None)

    play(scene)


@pytest.mark.parametrize(
    ("table", "words"),
    [
        ({"listen": "here:1"}, "membership.listen: 'here:1' is not an address"),
        (
            {"listen": "0.0.0.0:1"},
            "membership.advertise: other nodes cannot reach the wildcard address 0.0.0.0",
        ),
        ({"seeds": ["10.0.0.1"]}, "membership.seeds[0]"),
        ({"probe_ms": 100.0}, "membership.probe_timeout_ms: 150 is not below probe_ms"),
        (
            {"regions": {"n": ["a"], "s": ["a"]}},
            "membership.regions: zone a is listed more than once",
        ),
        ({"probe": 1}, "membership.probe: unknown key; did you mean probe_ms?"),
    ],
)
def test_a_wish_that_cannot_be_had_is_refused_with_its_key(
    table: dict[str, Any], words: str
) -> None:
    with pytest.raises(OperatorConfigError, match="operator.toml: ") as found:
        build({"membership": table}, "operator.toml")
    assert words in str(found.value)
