"""An entry of the endpoint list that was received earlier never replaces one that was received later.

Answers of discovery are passed to the reader directly, so nothing here uses sockets.
"""

import asyncio
import json
from typing import Any, NamedTuple

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from loopback import PATIENCE, play, settings

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


def encode(version: int, full: bool, lines: list[dict[str, Any]]) -> bytearray:
    """The body of an answer."""
    table = {"version": version, "full": full, "servers": lines}
    return bytearray(json.dumps(table).encode())


def receive(
    node: Node,
    version: int,
    full: bool,
    lines: list[dict[str, Any]],
    answers_applied: int | None = None,
) -> None:
    """Passes an answer to the node's reader."""
    node.discovery.reader.read(
        encode(version, full, lines), lambda usable: None, answers_applied
    )


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


async def test_changes_during_the_delivery_of_long_changes_are_not_undone():
    """Failure prevented: servers that drain right after an outage of discovery get requests for good."""
    node = make_node()
    receive(node, 1, True, entries(20))
    await until_delivered(node)
    restarted = [entry(f"s{i}", started_ms=9) for i in range(20)]
    receive(node, 2, False, restarted)
    await until_version(node, 2)
    changed = [entry("s0", "draining"), entry("s18", "draining"), entry("s19", "gone")]
    receive(node, 3, False, changed)
    assert node.discovery.reader.tasks  # the long changes are still being delivered
    await until_delivered(node)
    newest = {line["id"]: line for line in [*restarted, *changed]}
    assert_list_is(node, list(newest.values()))


async def test_an_interrupted_delivery_of_long_changes_affects_no_later_list():
    """Failure prevented: what was recorded for one agent's answer replaces entries of another agent's."""
    node = make_node()
    receive(node, 1, True, entries(20))
    await until_delivered(node)
    receive(node, 2, False, [entry(f"s{i}", started_ms=9) for i in range(20)])
    await until_version(node, 2)
    receive(node, 3, False, [entry("s19", "draining")])
    node.discovery.reader.reset()
    receive(node, 1, True, entries(20))
    await until_delivered(node)
    assert_list_is(node, entries(20))


# ---- drawn sequences ---------------------------------------------------------------------------------

SERVERS = 16
CHANGE = st.tuples(
    st.sampled_from([f"s{i}" for i in range(SERVERS)]),
    st.sampled_from(["ready", "ready", "draining", "gone"]),
)
STEPS = st.one_of(
    st.tuples(st.just("change"), st.lists(CHANGE, min_size=1, max_size=SERVERS)),
    st.tuples(st.just("answer"), st.booleans()),
    st.tuples(st.just("call"), st.booleans()),
    st.tuples(st.just("late answer"), st.none()),
    st.tuples(st.just("run"), st.integers(1, 12)),
    st.tuples(st.just("move"), st.none()),
)
# Most of what was wrong needs short changes within the delivery of a longer answer.
CROSSING = st.tuples(
    st.tuples(st.just("change"), st.lists(CHANGE, min_size=8, max_size=SERVERS)),
    st.tuples(st.just("answer"), st.booleans()),
    st.tuples(st.just("run"), st.integers(1, 6)),
    st.tuples(st.just("change"), st.lists(CHANGE, min_size=1, max_size=3)),
    st.tuples(st.just("answer"), st.just(False)),
)
SEQUENCES = st.lists(
    st.one_of(STEPS.map(lambda step: (step,)), CROSSING), min_size=3, max_size=12
).map(lambda groups: [step for group in groups for step in group])


class Answer(NamedTuple):
    """An answer of discovery."""

    version: int
    full: bool
    lines: list[dict[str, Any]]


class Agent:
    """What a discovery agent knows: the newest entries, and which version changed each of them."""

    def __init__(self, version: int, lines: dict[str, dict[str, Any]]) -> None:
        self.version = version
        self.lines = dict(lines)
        self.changed_in = dict.fromkeys(lines, version)

    def change(self, changes: list[tuple[str, str]], started_ms: int) -> None:
        """Changes the state of servers; one that becomes ready has been restarted."""
        self.version += 1
        for name, state in changes:
            self.lines[name] = entry(name, state, started_ms)
            self.changed_in[name] = self.version

    def answer(self, since: int | None, full: bool) -> Answer:
        """The answer to a call: the full list, without servers that have left, or what has changed."""
        if full or since is None:
            lines = [line for line in self.lines.values() if line["state"] != "gone"]
            return Answer(self.version, True, lines)
        changed = [
            line for name, line in self.lines.items() if self.changed_in[name] > since
        ]
        return Answer(self.version, False, changed)


class Sequence:
    """Plays drawn steps against a node, and checks that what was received last holds.

    Attributes:
        left: Servers that an answer delivered at once has drained or removed; no older answer may bring them
            back.
        late: An answer to an earlier call, and the number of answers that had been applied at that call.
    """

    def __init__(self) -> None:
        self.node = make_node()
        self.reader = self.node.discovery.reader
        self.agent = Agent(40, {line["id"]: line for line in entries(SERVERS)})
        self.started_ms = 0
        self.left: set[int] = set()
        self.late: tuple[Answer, int] | None = None

    async def play(self, steps: list[tuple[str, Any]]) -> None:
        """Plays the steps, lets the agent answer once more, and compares the node with the agent."""
        for what, argument in steps:
            await self.step(what, argument)
            self.check()
        await self.answer(full=False)
        await until_delivered(self.node)
        self.check()
        assert_list_is(self.node, list(self.agent.lines.values()))

    async def step(self, what: str, argument: Any) -> None:
        if what == "change":
            self.started_ms += 1
            self.agent.change(argument, self.started_ms)
        elif what == "answer":
            await self.answer(argument)
        elif what == "call":
            answer = self.agent.answer(self.reader.version, argument)
            self.late = (answer, self.reader.answers_applied)
        elif what == "late answer" and self.late is not None:
            (answer, answers_applied), self.late = self.late, None
            self.pass_on(answer, answers_applied)
        elif what == "run":
            for _ in range(argument):
                await asyncio.sleep(0)
                self.check()
        elif what == "move":
            self.reader.reset()
            self.late = None  # calls to the other address have ended
            self.agent = Agent(self.agent.version // 2, self.agent.lines)

    async def answer(self, full: bool) -> None:
        """The agent answers a call, and the answer is adopted."""
        answer = self.agent.answer(self.reader.version, full)
        self.pass_on(answer, None)
        await until_version(self.node, answer.version)

    def pass_on(self, answer: Answer, answers_applied: int | None) -> None:
        """Passes an answer to the reader, and records which servers have left with it."""
        version = self.reader.version
        outdated = version is not None and answer.version < version
        if not outdated:
            self.left -= {
                number_of(line["id"])
                for line in answer.lines
                if line["state"] == "ready"
            }
        receive(self.node, *answer, answers_applied)
        if not outdated and not answer.full and not self.is_long(answer):
            self.left |= {
                number_of(line["id"])
                for line in answer.lines
                if line["state"] != "ready"
            }

    @staticmethod
    def is_long(answer: Answer) -> bool:
        """Whether the reader delivers an answer in parts."""
        return len(encode(*answer)) > LONG_ANSWER_BYTES

    def check(self) -> None:
        """Servers that have left may get no requests."""
        assert not self.left & ready_at_registry(self.node).keys()
        assert not self.left & ready_at_policy(self.node).keys()


@given(SEQUENCES)
@hypothesis_settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_the_entry_received_last_holds_whatever_answers_cross(steps):
    """Failure prevented: an arrangement of answers and moves in which an older entry replaces a newer one."""

    async def scene():
        await Sequence().play(steps)

    play(scene)
