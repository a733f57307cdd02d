"""The membership feature of a node: on if operators configure it and the platform allows it."""

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


def operator_config(*seeds: str, **keys: Any) -> OperatorConfig:
    table = {
        "listen": "127.0.0.1:0",
        "seeds": list(seeds),
        "regions": {"north": ["here"]},
    } | keys
    return build({"membership": table}, "operator.toml")


class SilentSeed:
    """A seed that counts the datagrams it receives and never answers."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"

    def received(self) -> int:
        """Returns the number of datagrams since the last call."""
        count = 0
        try:
            while self.socket.recv(2_000):
                count += 1
        except BlockingIOError:
            return count
        return count


async def node_with(operation: OperatorConfig, peers: bool, **config: Any) -> Bench:
    """Starts a node with an operators' file; `peers` is the platform's limit for peer traffic."""
    bench = await Bench(policy_limits={"peers": peers}, config=config).start()
    bench.node.operation = operation
    bench.node.reconcile_features()
    return bench


def with_peers(config: Config, allowed: bool) -> Config:
    return replace(config, settings=replace(config.settings, peers=allowed))


def test_a_node_sends_no_datagram_if_the_platform_forbids_peer_traffic(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scene() -> None:
        seed, control_seed = SilentSeed(), SilentSeed()
        off = await node_with(operator_config(seed.address), peers=False)
        on = await node_with(operator_config(control_seed.address), peers=True)
        assert off.node.members is None
        received = 0

        def received_several() -> bool:
            nonlocal received
            received += control_seed.received()
            return received >= 3

        await until(received_several)  # an allowed node asks its seed periodically
        assert seed.received() == 0
        assert on.node.members is not None

    play(scene)
    assert (
        "feature disabled name=membership reason=the platform's policy_limits.peers is false"
        in capfd.readouterr().err
    )


def test_a_reload_stops_the_membership_at_once_and_starts_it_again() -> None:
    async def scene() -> None:
        seed = SilentSeed()
        bench = await node_with(operator_config(seed.address), peers=True)
        node = bench.node
        await until(lambda: seed.received() > 0)
        node.reload(with_peers(node.config, False), node.operation)
        assert node.members is None
        seed.received()
        await asyncio.sleep(2.5)  # seeds are asked every 1.75 s
        assert seed.received() == 0
        node.reload(with_peers(node.config, True), node.operation)
        await until(lambda: seed.received() > 0)

    play(scene)


async def get_admin(node: Node, path: str) -> tuple[int, Any]:
    assert node.control is not None
    client = await Client(node.control.port).open()
    status, _, body = await client.ask(f"GET {path} HTTP/1.1\r\n\r\n".encode())
    return status, json.loads(body) if body else None


def test_operators_see_each_members_state_place_and_the_age_of_that_information() -> (
    None
):
    async def scene() -> None:
        one = await node_with(
            operator_config(), peers=True, name="n1", control="127.0.0.1:0"
        )
        await until(
            lambda: one.node.members is not None and one.node.members.swim is not None
        )
        assert one.node.members is not None
        assert one.node.members.swim is not None
        seed = "{}:{}".format(*one.node.members.swim.local.address)
        two = await node_with(
            operator_config(seed), peers=True, name="n2", control="127.0.0.1:0"
        )
        await until(
            lambda: one.node.members is not None and len(one.node.members.view()) == 2
        )
        status, table = await get_admin(one.node, "/admin/membership")
        assert status == 200
        other = table["members"][1]
        assert (other["name"], other["state"], other["zone"], other["region"]) == (
            "n2", "alive", "here", "north",
        )  # fmt: skip
        assert 0 <= other["age_s"] < 60
        status, figures = await get_admin(two.node, "/admin/stats")
        assert figures["membership"]["states"]["alive"] == 2
        without = await Bench(config={"control": "127.0.0.1:0"}).start()
        assert (await get_admin(without.node, "/admin/membership"))[0] == 404
        assert "membership" not in (await get_admin(without.node, "/admin/stats"))[1]

    play(scene)


def test_a_node_serves_while_it_waits_for_a_membership_port_that_is_in_use() -> None:
    async def scene() -> None:
        other = SilentSeed()
        bench = await node_with(operator_config(listen=other.address), peers=True)
        await asyncio.sleep(0.5)
        members = bench.node.members
        assert members is not None
        assert members.swim is None
        other.socket.close()
        await until(lambda: members.swim is not None)

    play(scene)


@pytest.mark.parametrize(
    ("table", "message"),
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
def test_an_invalid_membership_table_is_rejected_with_its_key(
    table: dict[str, Any], message: str
) -> None:
    with pytest.raises(OperatorConfigError, match="operator.toml: ") as error:
        build({"membership": table}, "operator.toml")
    assert message in str(error.value)
