"""Decides which client connections are evicted first, and which requests have exceeded their time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection

# From a request's first byte, or from the accept for the first request, until the request is complete. Only a
# body may take longer, within the two limits below.
REQUEST_TIMEOUT_S = 2.5
# From the end of the head, a body may take BODY_START_TIMEOUT_S, plus the time that its bytes received so far
# need at MIN_BODY_BYTES_PER_S.
BODY_START_TIMEOUT_S = 1.0
MIN_BODY_BYTES_PER_S = 40_000
# A client that sends nothing of a streamed body for this time, although it can, has stopped.
UPLOAD_STALL_TIMEOUT_S = 2.25
# An incomplete request that receives nothing for this time counts as stalled.
STALL_TIMEOUT_S = 1.0

# Ranks for `eviction_rank`; connections with the lowest rank are evicted first.
# Ranks of connections without an incomplete request, by the number of requests so far; the last rank also
# applies to more requests.
RANKS_BY_REQUEST_COUNT = (0, 2, 3)
RANK_STALLED = 1
RANK_RECEIVING = 4


def is_idle(connection: ClientConnection) -> bool:
    """Whether no request is open, incomplete, queued or pending on the socket, and input has not ended."""
    reader = connection.reader
    if (
        connection.open_request is not None
        or reader.incoming is not None
        or connection.pipelined
        or reader.ended
    ):
        return False
    return not connection.has_unread()


def is_fully_answered(connection: ClientConnection) -> bool:
    """Whether no response is owed. Queued requests are owed none while the client does not read."""
    return connection.open_request is None and (
        not connection.pipelined or connection.stream.write_paused
    )


def may_be_evicted(connection: ClientConnection, inactive_since: float) -> bool:
    """Whether a connection owes no response and may be closed to free capacity.

    Args:
        connection: The connection.
        inactive_since: Loop time in seconds. A connection that has sent no complete request yet, or whose
            next request is incomplete, may be evicted only if it was last active before then.
    """
    reader = connection.reader
    if connection.open_request or connection.pipelined or reader.ended:
        return False
    if connection.transport is None:
        return False
    idle = bool(reader.request_count) and reader.incoming is None
    return idle or connection.last_active_at < inactive_since


def eviction_rank(connection: ClientConnection, now: float) -> tuple[int, float]:
    """The order in which connections are evicted, lowest first.

    First come connections that never sent a request, then those whose request has stalled, those that sent
    one request, and those that are idle after several; last, those whose request is still being received.
    Within a rank, the connection that has been inactive longest comes first. Incomplete requests from a
    burst of clients must not occupy the connection table for seconds each. Idle connections must not be
    evicted as fast as clients open new ones: while a node drains and accepts no new connections, a client
    whose connection has been evicted cannot open another one to it.
    """
    reader, active_at = connection.reader, connection.last_active_at
    if reader.incoming is not None:
        stalled = active_at < now - STALL_TIMEOUT_S
        return (RANK_STALLED if stalled else RANK_RECEIVING), active_at
    request_count = min(reader.request_count, len(RANKS_BY_REQUEST_COUNT) - 1)
    return RANKS_BY_REQUEST_COUNT[request_count], active_at


def is_upload_stalled(connection: ClientConnection, now: float) -> bool:
    """Whether the client has stopped in the middle of a streamed body.

    A body without a length whose unread bytes may be its last has not stopped.
    """
    request = connection.reader.incoming
    if request is None or request.upload is None or connection.reader.ended:
        return False
    if request.completed_at or connection.input.may_be_complete(request):
        return False
    return now - connection.input.progress_at > UPLOAD_STALL_TIMEOUT_S


def is_request_overdue(connection: ClientConnection, now: float) -> bool:
    """Whether a request should have been received completely by now.

    Also true for an idle connection whose last request started, or which was accepted, more than
    REQUEST_TIMEOUT_S ago; the caller distinguishes the two.
    """
    reader = connection.reader
    if connection.pipelined or reader.ended or connection.input.paused:
        return False
    if now - reader.started_at <= REQUEST_TIMEOUT_S:
        return False
    if (
        connection.open_request is not None
        and connection.open_request is not reader.incoming
    ):
        return False
    body_deadline = reader.headers_complete_at + BODY_START_TIMEOUT_S
    body_deadline += reader.body_bytes / MIN_BODY_BYTES_PER_S
    return not (reader.is_in_body() and now <= body_deadline)
