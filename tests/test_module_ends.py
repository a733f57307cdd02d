"""What the module owes as something ends: the queue, the window of repeats, drains under an upload."""

from __future__ import annotations

from support import SEC, Recorder, ask, balancer, end

from brackenladder.balance import Balancer
from brackenladder.interface import ListKind, Outcome, ServerEntry, State

MS = 1_000


def full(**changes) -> tuple[Balancer, Recorder, list[tuple]]:
    """A copy below the first tier whose limit is reached, and the calls that are out."""
    node, rec = balancer(2, tier=1, tiers=2, **changes)
    node.controller.limit = node.controller.pass_limit = 2.0
    node.weigh = lambda now: None  # the limit stays as it is
    out = [ask(node, rec, 0, request) for request in (1, 2)]
    assert [action[0] for action in out] == ["send", "send"]
    return node, rec, out


def queue(node: Balancer, rec: Recorder, now: int, request: int, left: int = 3 * SEC) -> int:
    """Puts a request into the queue; returns the token of its timer."""
    node.request(now, request, 0, 0, left, False)
    ((name, _, token),) = rec.take()
    assert name == "set_timer"
    return token


def test_a_queued_request_whose_client_left_frees_its_place_at_once_and_is_never_sent():
    node, rec, out = full()
    for request in (3, 4):
        queue(node, rec, MS, request)
    assert ask(node, rec, 2 * MS, 5)[0] == "refuse"  # the queue is as long as the limit
    node.client_left(3 * MS, 3)
    assert rec.take() == [] and len(node.waiting) == 1
    queue(node, rec, 4 * MS, 6)
    assert [action[1] for action in end(node, rec, 5 * MS, 1, 0, out[0][2], Outcome.OK)] == [4]
    assert [action[1] for action in end(node, rec, 6 * MS, 2, 0, out[1][2], Outcome.OK)] == [6]


def test_a_queued_request_whose_time_is_over_is_answered_then_and_frees_its_place():
    node, rec, out = full()
    short = queue(node, rec, MS, 3, left=SEC)
    queue(node, rec, MS, 4)
    node.timer(501 * MS, short)
    assert [action[:2] for action in rec.take()] == [("refuse", 3)]
    assert len(node.waiting) == 1
    queue(node, rec, 502 * MS, 5)
    assert [action[1] for action in end(node, rec, 503 * MS, 1, 0, out[0][2], Outcome.OK)] == [4]
    node.timer(504 * MS, short)  # timers cannot be withdrawn
    assert rec.take() == []


def test_what_waits_in_the_queue_is_sent_by_the_list_that_holds_then():
    node, rec, out = full()
    queue(node, rec, MS, 3)
    other = 3 - out[0][2]
    node.server_list(2 * MS, ListKind.CHANGES, [ServerEntry(out[0][2], State.DRAINING)])
    assert end(node, rec, 3 * MS, 1, 0, out[0][2], Outcome.OK)[0][:3] == ("send", 3, other)
