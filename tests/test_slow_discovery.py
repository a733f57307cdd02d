"""An agent that answers late: each change is in use in time, and the agent gets no crowd of calls.

In virtual time, with a stand-in for the connections.
"""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from virtual_loop import AgentConnection, Loop

from loadbalancer.node.discovery import client as client_module
from loadbalancer.node.discovery.answer_delay import (
    MAX_ANSWER_DELAY_S,
    MAX_PACED_DELAY_S,
    SILENCE_S,
)
from loadbalancer.node.discovery.call import DiscoveryCall
from loadbalancer.node.discovery.call_retention import (
    MAX_CALLS,
    MAX_OLDEST_LIFETIME_S,
    RETAIN_INTERVAL_S,
    RETAINED_LIFETIME_S,
)
from loadbalancer.node.discovery.client import DiscoveryClient
from loadbalancer.node.discovery.propagation import (
    RETRY_INTERVAL_S,
    WATCH_WAIT_MS,
    slow_propagation_bound_s,
)

SERVER = {"id": "s0", "addr": "127.0.0.1:9", "state": "ready"}
CHANGE_LIMIT_S = 6.0  # from when the agent had a change and could be reached
LOST_INTERVAL_S = 9.0  # at least, between two calls that fall silent
PIECES = 8  # of an answer that arrives slowly
TOLERANCE_S = 1e-6


class Agent:
    """An agent that writes each answer late.

    Attributes:
        delays: The seconds by which its answers are late, one after the other.
        early: An answer holds what the agent had before the delay, not after it.
        in_pieces: An answer arrives in pieces during the delay.
        answers_held: What was asked during an outage is answered after it.
        silent: The agent does not answer and learns nothing.
        told: Time and version of each change.
        reachable_at: When the agent could be reached last after a disturbance.
    """

    def __init__(self, delays: list[float], early: bool, in_pieces: bool) -> None:
        self.delays = delays
        self.early = early
        self.in_pieces = in_pieces
        self.answers_held = False
        self.silent = self.down = False
        self.lose_next = False
        self.version = 41
        self.connections: set[AgentConnection] = set()
        self.waiting: list[AgentConnection] = []
        self.held: list[AgentConnection] = []
        self.request_times: list[float] = []
        self.most_open = 0
        self.reachable_at = 0.0
        self.lost_at = -LOST_INTERVAL_S
        self.loop = Loop(self)

    def connect(self, call: DiscoveryCall) -> None:
        connection = AgentConnection(self, call)
        self.connections.add(connection)
        self.most_open = max(self.most_open, len(self.connections))
        call.connection_made(connection)  # type: ignore[arg-type]

    def on_closed(self, connection: AgentConnection) -> None:
        self.connections.discard(connection)

    def on_request(self, connection: AgentConnection) -> None:
        self.request_times.append(self.loop.time())
        if self.silent:
            self.held.append(connection)
            return
        if self.lose_next:
            self.lose_next = False
            self.reachable_at = self.lost_at = self.loop.time()
            return
        if connection.since == self.version and connection.wait_s:
            self.waiting.append(connection)
            number = connection.requests
            self.loop.call_later(connection.wait_s, self.end_wait, connection, number)
        else:
            self.answer_late(connection)

    def end_wait(self, connection: AgentConnection, number: int) -> None:
        if connection in self.waiting and connection.requests == number:
            self.waiting.remove(connection)
            self.answer_late(connection)

    def answer_late(self, connection: AgentConnection) -> None:
        """Answers after the next delay, unless the connection or the agent has gone by then."""
        delay_s = self.delays[len(self.request_times) % len(self.delays)]
        data = self.data(connection) if self.early else None
        number = connection.requests

        def write(part: int, parts: int) -> None:
            if not connection.open or connection.requests != number:
                return
            if self.silent:
                if connection not in self.held:
                    self.held.append(connection)
                return
            whole = data if data is not None else self.data(connection)
            step = -(-len(whole) // parts)
            connection.call.data_received(whole[part * step : (part + 1) * step])

        if self.in_pieces and self.early:
            for part in range(PIECES):
                at = delay_s * (part + 1) / PIECES
                self.loop.call_later(at, write, part, PIECES)
        else:
            self.loop.call_later(delay_s, write, 0, 1)

    def data(self, connection: AgentConnection) -> bytes:
        news = connection.since != self.version
        table = {
            "version": self.version,
            "full": connection.since < 0,
            "servers": [SERVER] if news else [],
        }
        body = json.dumps(table).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def change(self) -> None:
        """Gives the agent a change, which it tells to the calls that wait."""
        self.version += 1
        waiting, self.waiting = self.waiting, []
        for connection in waiting:
            self.answer_late(connection)

    def fall_silent(self) -> None:
        self.silent = True
        self.held += self.waiting
        self.waiting = []

    def recover(self) -> None:
        self.silent = self.down = False
        self.reachable_at = self.loop.time()
        held, self.held = self.held, []
        for connection in held:
            if self.answers_held and connection.open:
                self.answer_late(connection)

    def break_connections(self) -> None:
        self.reachable_at = self.loop.time()
        self.waiting, self.held = [], []
        for connection in list(self.connections):
            connection.reset()


class Log:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def line(self, text: str) -> None:
        self.lines.append(text)


class Play:
    """A discovery client before an agent, with a check of each change."""

    def __init__(self, agent: Agent, version: int | None = 41) -> None:
        self.agent = agent
        self.loop = agent.loop
        self.log = Log()
        self.discovery = DiscoveryClient(
            self.loop,  # type: ignore[arg-type]
            ("127.0.0.1", 1),
            version,
            lambda listing, more: None,
            self.log,  # type: ignore[arg-type]
        )
        self.discovery.watch(True)
        self.times: list[float] = []  # from each change to the list in use
        self.pending_changes = 0

    def change(self) -> None:
        """Makes a change; the agent has it now, or once it is no longer silent."""
        if self.agent.silent or self.agent.down:
            self.pending_changes += 1
            return
        self.agent.change()
        self.check(self.agent.version, self.loop.time())

    def recover(self) -> None:
        """Ends an outage; what changed in the meantime counts from now on."""
        if not (self.agent.silent or self.agent.down):
            return
        self.agent.version += self.pending_changes
        self.pending_changes = 0
        self.agent.recover()
        self.check(self.agent.version, self.loop.time())

    def check(self, version: int, had_at: float) -> None:
        """Checks at the limit that a version is in use, and that it came in time."""
        reachable_at = max(had_at, self.agent.reachable_at)
        due_at = reachable_at + CHANGE_LIMIT_S + TOLERANCE_S
        if self.agent.silent or self.agent.down:
            due_at = self.loop.time() + CHANGE_LIMIT_S
        if self.loop.time() < due_at:
            self.loop.call_later(due_at - self.loop.time(), self.check, version, had_at)
            return
        in_use = self.discovery.reader.version
        assert in_use is not None
        assert in_use >= version, f"not in use {due_at - had_at:.1f} s after the change"

    def time_to_list(self) -> float:
        """Makes a change; returns the seconds until it is in use."""
        started_at = self.loop.time()
        self.change()
        version = self.agent.version
        self.loop.run(30.0, lambda: self.discovery.reader.version == version)
        assert self.discovery.reader.version == version
        return self.loop.time() - started_at


delay = st.one_of(
    st.sampled_from((0.0, 0.1, 1.0, 1.6, 2.0, 3.0, MAX_ANSWER_DELAY_S)),
    st.floats(0.0, MAX_ANSWER_DELAY_S),
)
event = st.tuples(
    st.sampled_from((0.02, 0.3, 0.9, 1.3, 2.2, 4.0, 7.0)),
    st.sampled_from(
        (
            *("change", "change", "change", "poll", "fetch"),
            *("lose", "break", "silent", "down", "recover", "recover"),
        )
    ),
)


def play_events(play: Play, events: list[tuple[float, str]]) -> None:
    agent = play.agent
    for gap_s, what in events:
        if what == "change":
            play.change()
        elif what == "poll":
            play.discovery.poll_if_due()
        elif what == "fetch":
            play.discovery.fetch()
        elif what == "lose" and play.loop.time() >= agent.lost_at + LOST_INTERVAL_S:
            agent.lose_next = True
        elif what == "break":
            agent.break_connections()
        elif what == "silent":
            agent.fall_silent()
        elif what == "down":
            agent.fall_silent()
            agent.break_connections()
            agent.down = True
        elif what == "recover":
            play.recover()
        play.loop.run(gap_s)
        assert len(play.discovery.calls) <= MAX_CALLS + 2
    play.recover()
    for _ in range(3):
        play.change()
        play.loop.run(2 * CHANGE_LIMIT_S)


# An outage of an agent that was slow before it, whose calls take all places when it returns
SLOW_OUTAGE = {
    "delays": [MAX_ANSWER_DELAY_S],
    "early": False,
    "in_pieces": False,
    "answers_held": False,
    "known": False,
    "events": [(7.0, "change"), (0.3, "silent"), (4.0, "change")],
    "draw": 0.0,
}
# Answers in pieces, some of which arrive for late calls and some for the newest ones
UNEVEN_PIECES = {
    "delays": [1.6, MAX_ANSWER_DELAY_S, 1.6, 3.0, 1.6],
    "early": True,
    "in_pieces": True,
    "answers_held": False,
    "known": True,
    "events": [],
    "draw": 0.0,
}


@example(**SLOW_OUTAGE)
@example(**UNEVEN_PIECES)
@settings(derandomize=True, max_examples=600, deadline=None)
@given(
    delays=st.lists(delay, min_size=1, max_size=6),
    early=st.booleans(),
    in_pieces=st.booleans(),
    answers_held=st.booleans(),
    known=st.booleans(),
    events=st.lists(event, max_size=30),
    draw=st.floats(0, 1),
)
def test_each_change_is_in_use_in_time_however_late_answers_are(
    delays: list[float],
    early: bool,
    in_pieces: bool,
    answers_held: bool,
    known: bool,
    events: list[tuple[float, str]],
    draw: float,
) -> None:
    """Failure prevented: calls end before a slow agent has answered them, and no change is ever heard."""
    agent = Agent(delays, early, in_pieces)
    agent.answers_held = answers_held
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "random", lambda: draw)
        play_events(Play(agent, 41 if known else None), events)


@pytest.mark.parametrize("early", [False, True])
@pytest.mark.parametrize("delay_s", [0.5, 1.0, 1.6, 2.0, 3.0, MAX_ANSWER_DELAY_S])
def test_a_slow_agent_gets_no_more_calls_than_a_quick_one(
    delay_s: float, early: bool
) -> None:
    """Failure prevented: an agent that is slow because it is crowded gets more calls, and becomes slower."""
    agent = Agent([delay_s], early, False)
    play = Play(agent)
    play.loop.run(10.0)
    begun = len(agent.request_times)
    abandoned = play.discovery.metrics().calls_abandoned
    play.loop.run(60.0)
    assert len(agent.request_times) - begun <= 60 / (WATCH_WAIT_MS / 1000)
    assert play.discovery.metrics().calls_abandoned == abandoned
    times = [play.time_to_list() for _ in range(20) if play.loop.run(0.37) is None]  # type: ignore[func-returns-value]
    assert max(times) <= slow_propagation_bound_s(delay_s)
    assert agent.most_open <= MAX_CALLS


def test_a_quick_agent_gets_one_call_at_a_time() -> None:
    agent = Agent([0.01], True, False)
    play = Play(agent)
    play.loop.run(30.0)
    assert agent.most_open == 1
    assert len(agent.request_times) <= 32
    assert max(play.time_to_list() for _ in range(5)) <= 0.01 + TOLERANCE_S


@pytest.mark.parametrize("answers_held", [False, True])
@pytest.mark.parametrize("outage_s", [2.0, 8.0, 60.0])
@pytest.mark.parametrize("how", ["silent", "down"])
@pytest.mark.parametrize("slow_before", [False, True])
def test_an_agent_that_was_down_is_heard_soon(
    slow_before: bool, how: str, outage_s: float, answers_held: bool
) -> None:
    """Failure prevented: calls that wait for a slow agent keep new ones from an agent that has come back."""
    agent = Agent([2.0 if slow_before else 0.0], False, False)
    agent.answers_held = answers_held
    play = Play(agent)
    play.loop.run(12.0)
    agent.fall_silent()
    if how == "down":
        agent.break_connections()
        agent.down = True
    agent.delays = [0.0]
    play.loop.run(outage_s)
    play.change()
    play.recover()
    returned_at = play.loop.time()
    play.loop.run(9.0, lambda: play.discovery.reader.version == agent.version)
    slowest_s = SILENCE_S if outage_s >= 8.0 or not slow_before else 1.3
    assert play.loop.time() - returned_at <= slowest_s + TOLERANCE_S
    if how == "down":
        assert play.loop.time() - returned_at <= RETRY_INTERVAL_S + TOLERANCE_S


@pytest.mark.parametrize("early", [False, True])
@pytest.mark.parametrize("delay_s", [4.6, RETAINED_LIFETIME_S - SILENCE_S / 10])
def test_an_agent_slightly_beyond_the_limit_is_heard_with_each_call(
    delay_s: float, early: bool
) -> None:
    """Failure prevented: all calls end shortly before their answers, and changes come only seconds later."""
    agent = Agent([0.0], early, False)
    play = Play(agent)
    play.loop.run(3.0)
    agent.delays = [delay_s]
    for gap_s in (2.0, 0.4, 0.7, 1.1, 3.0, 0.2):
        play.loop.run(gap_s)
        started_at, version = play.loop.time(), agent.version + 1
        agent.change()
        play.loop.run(30.0, lambda: play.discovery.reader.version >= version)  # type: ignore[operator]  # noqa: B023
        assert play.loop.time() - started_at <= slow_propagation_bound_s(delay_s)


@pytest.mark.parametrize("delay_s", [6.0, 12.0, MAX_OLDEST_LIFETIME_S / 2])
def test_an_agent_that_is_slower_than_the_limit_is_heard_late(delay_s: float) -> None:
    """Failure prevented: all calls have one lifetime, and an agent that needs longer is never heard."""
    play = Play(agent := Agent([delay_s], True, False))
    play.loop.run(10.0)
    agent.change()
    version = agent.version
    play.loop.run(
        4 * MAX_OLDEST_LIFETIME_S, lambda: play.discovery.reader.version == version
    )
    assert play.discovery.reader.version == version


def test_an_agent_that_restarts_while_it_is_slow_is_heard() -> None:
    """Failure prevented: with several calls open, lower versions are always taken for outdated answers."""
    play = Play(agent := Agent([2.0], False, False))
    play.loop.run(10.0)
    agent.version = 3
    agent.break_connections()
    play.loop.run(2 * CHANGE_LIMIT_S, lambda: play.discovery.reader.version == 3)
    assert play.discovery.reader.version == 3


def test_a_late_fetch_is_answered() -> None:
    """Failure prevented: a fetch ends before a slow agent has answered it."""
    play = Play(agent := Agent([MAX_ANSWER_DELAY_S], False, False))
    play.loop.run(12.0)
    play.discovery.fetch()
    fetch = play.discovery.fetch_call
    play.discovery.fetch()  # one at a time
    assert play.discovery.fetch_call is fetch
    answers: list[Any] = []
    original = play.discovery.on_fetch_answer
    assert fetch is not None
    fetch.on_answer = lambda call, body: (answers.append(body), original(call, body))
    play.loop.run(MAX_ANSWER_DELAY_S + TOLERANCE_S)
    assert answers
    assert answers[0] is not None
    assert play.discovery.fetch_call is None
    agent.fall_silent()
    play.discovery.fetch()
    play.loop.run(MAX_PACED_DELAY_S + SILENCE_S)
    assert play.discovery.fetch_call is None


def test_operators_see_when_discovery_becomes_slow_and_quick() -> None:
    agent = Agent([0.0], False, False)
    play = Play(agent)
    play.loop.run(10.0)
    assert not play.discovery.metrics().slow
    agent.delays = [2.0]
    play.loop.run(60.0)
    metrics = play.discovery.metrics()
    assert metrics.slow
    assert metrics.slow_periods == 1
    assert metrics.answer_delay_ms == metrics.longest_answer_delay_ms == 2000
    assert play.log.lines == ["discovery slow answer_delay_s=2.000"]
    agent.delays = [0.0]
    play.loop.run(20.0)
    metrics = play.discovery.metrics()
    assert not metrics.slow
    assert metrics.answer_delay_ms == 0
    (line,) = play.log.lines[1:]
    assert line.startswith("discovery quick again slow_for_s=")
    assert line.endswith("longest_answer_delay_s=2.000")


@pytest.mark.parametrize("answers_held", [False, True])
def test_operators_see_an_outage_but_no_slowness(answers_held: bool) -> None:
    """Failure prevented: what an agent held back while it was down is taken for a slow agent's answers."""
    agent = Agent([0.0], False, False)
    agent.answers_held = answers_held
    play = Play(agent)
    play.loop.run(3.0)
    agent.fall_silent()
    play.loop.run(20.0)
    assert play.discovery.metrics().silent
    play.recover()
    play.loop.run(20.0)
    metrics = play.discovery.metrics()
    assert not metrics.silent
    assert not metrics.slow_periods
    assert [line.split(" ")[1] for line in play.log.lines] == ["silent", "answers"]


def test_each_move_starts_with_calls_to_the_new_agent() -> None:
    """Failure prevented: moves in quick succession leave calls or delays of the old agents behind."""
    play = Play(agent := Agent([MAX_ANSWER_DELAY_S], False, False))
    play.loop.run(12.0)
    for port in (2, 3, 2):
        play.discovery.move_to(("127.0.0.1", port))
        play.loop.run(0.2)
        assert len(play.discovery.calls) == 1
    moved_at = play.loop.time() - 0.2
    agent.version = 7
    play.loop.run(9.0, lambda: play.discovery.reader.version == 7)
    assert play.loop.time() - moved_at <= MAX_ANSWER_DELAY_S + TOLERANCE_S


def test_retained_calls_start_at_even_intervals() -> None:
    """The calls that stay open before an agent that is silent, by their age."""
    play = Play(agent := Agent([0.0], False, False))
    play.loop.run(0.5)
    agent.fall_silent()
    for _ in range(100):
        play.loop.run(SILENCE_S)
        calls = sorted(play.discovery.calls, key=lambda call: call.started_at)
        assert len(calls) <= MAX_CALLS
        starts = [call.started_at for call in calls] + [play.loop.time()]
        gaps = [later - earlier for earlier, later in pairwise(starts)]
        # The oldest call stays open beyond the interval.
        assert all(gap_s <= RETAIN_INTERVAL_S + TOLERANCE_S for gap_s in gaps[1:])
