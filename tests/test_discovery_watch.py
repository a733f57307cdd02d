"""The discovery watch under generated sequences of calls and answers, in virtual time: it never ends."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_loop import AgentConnection, Loop

from loadbalancer.node.discovery import client as client_module
from loadbalancer.node.discovery.call import DiscoveryCall
from loadbalancer.node.discovery.call_retention import MAX_CALLS
from loadbalancer.node.discovery.client import DiscoveryClient
from loadbalancer.node.discovery.propagation import (
    AGENT_ANSWER_S,
    WATCH_WAIT_MS,
    propagation_bound_s,
)

SERVER = {"id": "s0", "addr": "127.0.0.1:9", "state": "ready"}
QUIET_S = 2.5  # seconds without changes, in which the watch is renewed
ANSWER_KINDS = (
    "right",
    "right",
    "closing",
    "whole",
    "old",
    "unreadable",
    "refused",
    "half",
)


class Connection(AgentConnection):
    """A connection whose answers the sequence chooses."""

    def send_answer(self, how: str) -> None:
        """Sends an answer of a kind of ANSWER_KINDS; "right" has the agent's present list."""
        newest = self.agent.version
        table = {
            "version": newest,
            "full": self.since < 0,
            "servers": [SERVER] if self.since != newest else [],
        }
        if how in ("whole", "old"):
            table = {
                "version": newest - (how == "old"),
                "full": True,
                "servers": [SERVER],
            }
        body = b"{" if how == "unreadable" else json.dumps(table).encode()
        status = b"503 Not Now" if how == "refused" else b"200 OK"
        head = b"Connection: close\r\n" if how == "closing" else b""
        data = b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
            status,
            head,
            len(body),
            body,
        )
        if how == "half":
            data = data[:-5]
        else:
            self.agent.unanswered.remove(self)
        self.call.data_received(data)


class Agent:
    """An agent that answers as the sequence says; once it is `healthy`, it answers all new calls."""

    def __init__(self) -> None:
        self.version = 41
        self.down = self.healthy = False
        self.unanswered: list[Connection] = []
        self.loop = Loop(self)

    def connect(self, call: DiscoveryCall) -> None:
        call.connection_made(Connection(self, call))  # type: ignore[arg-type]

    def on_closed(self, connection: Connection) -> None:
        if connection in self.unanswered:
            self.unanswered.remove(connection)

    def on_request(self, connection: Connection) -> None:
        self.unanswered.append(connection)
        if self.healthy:
            self.loop.call_later(AGENT_ANSWER_S / 2, self.answer, connection, False)

    def answer(self, connection: Connection, waited: bool) -> None:
        if not connection.open or connection not in self.unanswered:
            return
        wait = connection.wait_s
        if connection.since == self.version and wait and not waited:
            self.loop.call_later(
                wait - AGENT_ANSWER_S / 2, self.answer, connection, True
            )
        else:
            connection.send_answer("right")


class Log:
    def line(self, text: str) -> None:
        pass


event = st.one_of(
    st.tuples(st.just("run"), st.sampled_from((0.01, 0.05, 0.2, 0.4, 1.1, 2.0))),
    st.tuples(st.just("answer"), st.integers(0, 5), st.sampled_from(ANSWER_KINDS)),
    st.tuples(st.just("answer"), st.integers(0, 5), st.sampled_from(ANSWER_KINDS)),
    st.tuples(st.just("reset"), st.integers(0, 5)),
    st.tuples(st.just("down"), st.booleans()),
    st.tuples(st.sampled_from(("change", "change", "doubt", "doubt", "fetch"))),
)


def play(events: list[tuple[Any, ...]]) -> None:
    """Runs a sequence; then the agent is healthy, and each further change must arrive within the bound."""
    agent = Agent()
    loop = agent.loop
    discovery = DiscoveryClient(
        loop, ("127.0.0.1", 1), 41, lambda listing, more: None, Log()
    )  # type: ignore[arg-type]
    discovery.watch(True)
    for what, *arguments in events:
        if what == "run":
            loop.run(arguments[0])
        elif what == "answer" and agent.unanswered:
            agent.unanswered[arguments[0] % len(agent.unanswered)].send_answer(
                arguments[1]
            )
        elif what == "reset" and agent.unanswered:
            agent.unanswered[arguments[0] % len(agent.unanswered)].reset()
        elif what == "down":
            agent.down = arguments[0]
        elif what == "change":
            agent.version += 1
        elif what == "doubt":
            discovery.poll_if_due()
        elif what == "fetch":
            discovery.fetch()
        assert len(discovery.calls) <= MAX_CALLS + 2
    agent.down, agent.healthy = False, True
    for quiet_s in (0.0, QUIET_S, QUIET_S):
        loop.run(quiet_s)
        agent.version += 1
        started_at = loop.time()
        loop.run(10.0, lambda: discovery.reader.version == agent.version)
        assert discovery.reader.version == agent.version, (
            "the change did not arrive: the client makes no calls"
        )
        assert (
            loop.time() - started_at <= propagation_bound_s(WATCH_WAIT_MS / 1000) + 1e-6
        )
        assert len(discovery.calls) <= MAX_CALLS + 2


@settings(derandomize=True, max_examples=600, deadline=None)
@given(st.lists(event, max_size=25), st.floats(0, 1))
def test_the_watch_recovers_from_any_sequence_of_answers(
    events: list[tuple[Any, ...]], draw: float
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "random", lambda: draw)
        play(events)


@pytest.mark.parametrize("how", sorted({*ANSWER_KINDS}))
def test_a_poll_that_brought_news_continues_as_the_watch(how: str) -> None:
    """Failure prevented: the poll becomes the watch, and its next answer ends it as a poll."""
    play([("run", 0.01), ("answer", 0, "right"), ("change",), ("doubt",), ("run", 0.01)]
         + [("answer", 1, "right"), ("answer", 0, how)])  # fmt: skip
