"""Tests of ends: queued requests, the idempotency window, and endpoints that drain during an upload."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support import KEYED, SEC, Recorder, ask, balancer, end

from loadbalancer.policy.api import (
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    ListUpdateKind,
    Outcome,
)
from loadbalancer.policy.balancer import Balancer

MS = 1_000


def instance_at_limit(**changes) -> tuple[Balancer, Recorder, list[tuple]]:
    """Returns an instance below the first tier whose limit is reached, and its calls in flight."""
    node, rec = balancer(2, tier=1, tiers=2, **changes)
    node.limit.limit = node.limit.measurement_limit = 2.0
    node.subset.update_capacity = lambda now: None  # The limit stays as it is.
    out = [ask(node, rec, 0, request) for request in (1, 2)]
    assert [action[0] for action in out] == ["send", "send"]
    return node, rec, out


def enqueue_request(
    node: Balancer, rec: Recorder, now: int, request: int, left: int = 3 * SEC
) -> int:
    """Queues a request and returns the token of its timer."""
    node.request(now, request, 0, 0, left, False)
    ((name, _, token),) = rec.take()
    assert name == "set_timer"
    return token


def test_queued_request_whose_client_disconnects_frees_its_place_at_once_and_is_never_sent():
    node, rec, out = instance_at_limit()
    for request in (3, 4):
        enqueue_request(node, rec, MS, request)
    # The queue is as long as the limit.
    assert ask(node, rec, 2 * MS, 5)[0] == "reject"
    node.client_disconnected(3 * MS, 3)
    assert rec.take() == []
    assert len(node.queue.waiting) == 1
    enqueue_request(node, rec, 4 * MS, 6)
    assert [
        action[1] for action in end(node, rec, 5 * MS, 1, 0, out[0][2], Outcome.OK)
    ] == [4]
    assert [
        action[1] for action in end(node, rec, 6 * MS, 2, 0, out[1][2], Outcome.OK)
    ] == [6]


def test_queued_request_whose_wait_ends_is_rejected_and_frees_its_place():
    node, rec, out = instance_at_limit()
    short = enqueue_request(node, rec, MS, 3, left=SEC)
    enqueue_request(node, rec, MS, 4)
    node.timer(501 * MS, short)
    assert [action[:2] for action in rec.take()] == [("reject", 3)]
    assert len(node.queue.waiting) == 1
    enqueue_request(node, rec, 502 * MS, 5)
    assert [
        action[1] for action in end(node, rec, 503 * MS, 1, 0, out[0][2], Outcome.OK)
    ] == [4]
    node.timer(504 * MS, short)  # Timers cannot be cancelled.
    assert rec.take() == []


def test_queued_request_is_sent_by_the_endpoint_list_in_force_then():
    node, rec, out = instance_at_limit()
    enqueue_request(node, rec, MS, 3)
    other = 3 - out[0][2]
    node.update_endpoints(
        2 * MS,
        ListUpdateKind.CHANGES,
        [EndpointEntry(out[0][2], EndpointState.DRAINING)],
    )
    assert end(node, rec, 3 * MS, 1, 0, out[0][2], Outcome.OK)[0][:3] == (
        "send",
        3,
        other,
    )


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.OK]
)
def test_endpoint_removed_during_an_upload_is_tracked_until_the_call_ends(
    outcome,
):
    """Guards against an outcome that is not recorded because the endpoint is no longer listed.

    An unsafe request would then run twice, and a call started there would count as in flight forever.
    """
    node, rec = balancer(4)
    node.request(0, 1, 2, 0, 3 * SEC, False, complete=False)
    (sent,) = rec.take("send")
    node.update_endpoints(
        MS, ListUpdateKind.CHANGES, [EndpointEntry(sent[2], EndpointState.DRAINING)]
    )
    node.table.forget_idle()
    # An error arrives before the body is complete.
    body_complete = outcome != Outcome.ERROR
    if body_complete:
        node.request_complete(2 * MS, 1)
        assert node.limit.in_flight == 1
    node.outcome(3 * MS, 1, 0, sent[2], outcome, MS, outcome == Outcome.OK, ())
    assert rec.take("send", "reject", "fail") == (
        [] if outcome == Outcome.OK else [("fail", 1)]
    )
    assert node.limit.in_flight == 0
    assert not node.table.off_limit_attempts
    node.table.forget_idle()
    assert sent[2] not in node.table.endpoints


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_repeat_goes_to_the_deduplication_scope_of_its_first_attempt(scope):
    """Guards against a repeat in the scope to which the endpoint has moved, where it is no duplicate."""
    keyed = replace(KEYED, deduplication_scope=scope)
    entries = [EndpointEntry(i, cell=i % 2, zone=i % 2) for i in range(1, 9)]
    node, rec = balancer(entries, classes=(keyed,))
    _, _, first, _ = ask(node, rec, 0, 1)
    moved = EndpointEntry(first, cell=1 - first % 2, zone=1 - first % 2)
    node.update_endpoints(MS, ListUpdateKind.CHANGES, [moved])
    for attempt in range(1, 4):
        ((name, _, server, _),) = end(
            node, rec, 10 * MS, 1, attempt - 1, first, Outcome.ERROR
        )
        assert name == "send"
        assert server % 2 == first % 2
        first = server


@pytest.mark.parametrize("window", [50 * MS, 300 * MS, 2 * SEC, 10 * SEC])
@pytest.mark.parametrize("scope", list(DeduplicationScope))
def test_idempotency_window_starts_with_the_first_attempt_that_may_have_run(
    window, scope
):
    """Tests the edges of the window, which starts when that attempt is sent."""
    keyed = replace(
        KEYED,
        deduplication_scope=scope,
        idempotency_window=window,
        latency_objective=30 * SEC,
        deadline=60 * SEC,
    )
    for offset, is_repeated in ((-1, True), (0, False), (1, False)):
        node, rec = balancer(6, classes=(keyed,), max_attempts=5)
        node.latency.mean_rtt[0] = 1.0
        _, _, server, _ = ask(node, rec, 0, 1, left=60 * SEC)
        # The first attempt is rejected: it never ran, so the window has not started.
        ((_, _, server, _),) = end(node, rec, 5 * MS, 1, 0, server, Outcome.REJECTED)
        # The second attempt may have run and fails after half a window. The third is rejected at the edge.
        executed_at = 5 * MS
        ((_, _, server, _),) = end(
            node, rec, executed_at + window // 2, 1, 1, server, Outcome.ERROR
        )
        ((name, *_),) = end(
            node, rec, executed_at + window + offset, 1, 2, server, Outcome.REJECTED
        )
        assert name == ("send" if is_repeated else "fail")


def test_latency_objective_of_one_microsecond_is_valid():
    """Guards against an allowance of 0 for a tier, with which the first answer fails."""
    node, rec = balancer(
        2, classes=(replace(KEYED, latency_objective=1, deadline=SEC),)
    )
    _, _, server, _ = ask(node, rec, 0, 1)
    assert end(node, rec, MS, 1, 0, server, Outcome.OK) == []
    assert node.limit.in_flight == 0
