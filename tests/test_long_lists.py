"""Lists of thousands of servers, which a node reads and applies in parts while it serves requests."""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import Bench, Server, call, until

from loadbalancer.node.discovery.client import DiscoveryClient
from loadbalancer.node.discovery.endpoint_list_codec import (
    ListError,
    Listing,
    LongListing,
    decode,
    iterate_members,
)
from loadbalancer.node.discovery.endpoint_list_reader import EndpointListReader
from loadbalancer.node.log import Log
from loadbalancer.policy.api import ListUpdateKind

MANY = 2500


def many(server: Server, name: str, count: int = MANY):
    """Returns `count` entries with different names and the address of one server."""
    return [server.entry(f"{name}{i}") for i in range(count)]


async def test_requests_are_served_while_a_long_list_is_applied_and_only_to_listed_servers():
    bench = await Bench(old := Server()).start()
    await (new := Server()).start()
    bench.discovery.say(42, True, *many(new, "n"))
    client, served = await bench.client(), 0
    while bench.node.listed is None or len(bench.node.listed) < MANY:
        assert (await client.ask(call()))[0] == 200
        served += 1
    seen = len(old.requests)
    for _ in range(20):
        assert (await client.ask(call()))[0] == 200
    assert served > 10
    assert len(old.requests) == seen
    assert len(bench.node.balancer.subset.endpoint_list) == MANY
    # The watch continues with the next changes.
    bench.discovery.say(43, False, new.entry("n7", "gone"))
    await until(lambda: len(bench.node.listed) == MANY - 1)
    assert len(bench.node.pool.endpoints) == MANY - 1


@pytest.mark.parametrize("fault", ["cut short", "a bad line", "no version", "not JSON"])
async def test_an_invalid_long_list_changes_nothing(fault, capsys):
    bench = await Bench(old := Server()).start()
    await (new := Server()).start()
    lines = many(new, "n")
    table = {"full": True, "servers": lines, "version": 42}
    if fault == "a bad line":
        lines[-1]["addr"] = "nowhere"
    if fault == "no version":
        del table["version"]
    body = json.dumps(table).encode()
    bench.discovery.raw(
        body[:-20]
        if fault == "cut short"
        else b"#" + body
        if fault == "not JSON"
        else body
    )
    await until(
        lambda: len(bench.discovery.requests) == 2
    )  # the watch makes its next call
    assert len(bench.node.balancer.subset.endpoint_list) == 1
    assert bench.node.discovery.reader.version == 41
    assert (await bench.once(call()))[0] == 200
    assert old.requests
    assert not new.requests
    assert "discovery response dropped reason=" in capsys.readouterr().err


async def test_a_server_that_drains_while_a_long_list_is_applied_gets_no_requests():
    """Failure prevented: a part of a list that is older than a change restores a drained server."""
    bench = await Bench(Server()).start()
    await (new := Server()).start()
    await (leaving := Server()).start()
    lines = [*many(new, "n"), leaving.entry("leaves")]
    node = bench.node
    deliver, parts = node.discovery.reader.on_list, []

    def on_list(listing, more=False):
        deliver(listing, more)
        if listing is not None and more:
            parts.append(len(listing.lines))
            if len(parts) == 3:  # in the middle
                entries = json.dumps(
                    {
                        "version": 43,
                        "full": False,
                        "servers": [leaving.entry("leaves", "draining")],
                    }
                )
                node.discovery.reader.read(
                    bytearray(entries.encode()), lambda usable: None
                )

    node.discovery.reader.on_list = on_list
    bench.discovery.say(42, True, *lines)
    await until(lambda: node.listed is not None and len(node.listed) > MANY)
    client = await bench.client()
    for _ in range(200):
        assert (await client.ask(call()))[0] == 200
    assert not leaving.requests
    assert len(node.balancer.subset.endpoint_list) == MANY
    assert len(parts) > 20


async def test_a_full_list_that_became_outdated_while_it_was_read_is_ignored():
    bench = await Bench(server := Server()).start()
    node, answers = bench.node, []
    old = {"version": 42, "full": True, "servers": many(server, "n")}
    new = {"version": 43, "full": False, "servers": [server.entry("late")]}
    node.discovery.reader.read(bytearray(json.dumps(old).encode()), answers.append)
    node.discovery.reader.read(bytearray(json.dumps(new).encode()), answers.append)
    await until(lambda: len(answers) == 2)
    assert answers == [True, True]
    assert node.discovery.reader.version == 43
    assert len(node.balancer.subset.endpoint_list) == 2


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=2), inner, max_size=3)
    ),
    max_leaves=6,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.dictionaries(st.text(max_size=3), VALUES, max_size=4),
    st.sampled_from([None, 1]),
    st.data(),
)
def test_members_are_the_same_as_those_of_json_loads(table, indent, data):
    text = json.dumps(table, indent=indent)
    expected = [
        (key, entry)
        for key, value in table.items()
        for entry in (value if isinstance(value, list) else [value])
    ]
    assert list(iterate_members(text)) == expected
    cut = data.draw(st.integers(0, len(text) - 1))
    with pytest.raises(ValueError):
        list(iterate_members(text[:cut]))


def test_parts_contain_all_entries_in_order():
    server = Server()
    server.port = 9
    listing = LongListing(
        json.dumps(
            {"servers": many(server, "n", 120), "full": True, "version": 3}
        ).encode()
    )
    steps = sum(1 for _ in listing.check(50))
    parts = list(listing.parts(50))
    assert steps == 2
    assert [len(part.lines) for part in parts] == [50, 50, 20]
    assert [line.id for part in parts for line in part.lines] == [
        f"n{i}" for i in range(120)
    ]
    assert {(part.kind, part.version) for part in parts} == {(ListUpdateKind.FULL, 3)}


def read_answer(reader: EndpointListReader, body: bytes) -> Listing | None:
    """Reads an answer and adopts its version; None if the answer cannot be used."""
    listing = reader.decode_short(bytearray(body))
    if listing is None:
        return None
    news = reader.advance_version(listing, reader.answers_applied)
    return None if news is None else listing


def test_unreadable_answers_are_logged_once_and_counted(capsys):
    async def scene():
        delivered = []
        watch = DiscoveryClient(
            asyncio.get_running_loop(),
            ("127.0.0.1", 9),
            41,
            lambda *a: delivered.append(a),
            Log("n0", 100),
        )
        for _ in range(30):  # retries
            assert read_answer(watch.reader, b"<html>") is None
        assert watch.reader.dropped_answers == 30
        assert watch.reader.version == 41
        assert not delivered
        assert (
            read_answer(watch.reader, b'{"version": 42, "full": true, "servers": []}')
            is not None
        )
        assert watch.reader.dropped_answers == 0

    asyncio.run(scene())
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert "discovery response dropped reason=" in lines[0]
    assert "discovery response readable dropped_before=30" in lines[1]


GOOD = {"id": "s0", "addr": "[::1]:80", "state": "ready"}
LENIENT = {
    "bare": (GOOD, "s0 ::1 80 READY 1.0"),
    "null is absent": (
        GOOD | dict.fromkeys(("zone", "kind", "cell", "weight", "started_ms")),
        "s0 ::1 80 READY 1.0",
    ),
    "unknown keys": (
        GOOD | {"weight": 2, "later": {"a": [1, None]}},
        "s0 ::1 80 READY 2.0",
    ),
    "unknown state": (GOOD | {"state": "resting"}, "s0 ::1 80 DRAINING 1.0"),
    "half a surrogate pair": (GOOD | {"id": "\ud800"}, "\ud800 ::1 80 READY 1.0"),
    "NaN under an ignored key": (GOOD | {"later": float("nan")}, "s0 ::1 80 READY 1.0"),
    "no state": ({"id": "s0", "addr": "h:80"}, "list.servers[1].state: missing"),
    "null state": (GOOD | {"state": None}, "list.servers[1].state: expected"),
    "a port of 0": (GOOD | {"addr": "h:0"}, "list.servers[1].addr: not an address"),
    "a weight that is true": (
        GOOD | {"weight": True},
        "list.servers[1].weight: expected",
    ),
    "a weight of NaN": (
        GOOD | {"weight": float("nan")},
        "list.servers[1].weight: expected",
    ),
    "an entry that is a string": ("s0", "list.servers[1]: expected"),
}


@pytest.mark.parametrize("case", LENIENT)
def test_short_and_long_lists_are_validated_by_the_same_rules(case):
    line, words = LENIENT[case]
    body = json.dumps(
        {"version": 3, "full": None, "servers": [GOOD, line], "more": 1}
    ).encode()

    def whole():
        return decode(body)

    def slices():
        long = LongListing(body)
        for _ in long.check(1):
            pass
        (only,) = long.parts(9)
        return only

    for read in (whole, slices):
        if words.startswith("list."):
            with pytest.raises(ListError) as e:
                read()
            assert str(e.value).startswith(words)
            continue
        found = read()
        assert (found.version, found.kind) == (3, ListUpdateKind.CHANGES)
        x = found.lines[1]
        assert f"{x.id} {x.host} {x.port} {x.state.name} {x.weight}" == words


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{", b"\xff", b'{"servers":[]}', b'{"version":true,"servers":[]}'],
)
def test_an_answer_that_is_not_a_list_raises_a_list_error(body):
    with pytest.raises(ListError, match="^list"):
        decode(body)
