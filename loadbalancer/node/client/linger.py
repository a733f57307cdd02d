"""Limits how long a connection stays open after one of its sides has been closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.node.client.interface import ConnectionState
from loadbalancer.node.end_reasons import EndReason

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection

LINGER_S = 1.0  # time for the client to read the last response while it still sends
LINGER_STREAM_S = 10.0  # the same for requests or responses that are too large to finish within LINGER_S


def start_linger(connection: ClientConnection, limit_s: float) -> None:
    """Aborts the connection after about `limit_s` seconds, or earlier once it is inactive.

    `check_linger` decides, every LINGER_S seconds; it allows more time while written bytes are unsent.
    """
    listener = connection.listener
    listener.over_capacity.discard(connection)
    listener.lingering[connection] = None
    listener.loop.call_later(
        LINGER_S, check_linger, connection, listener.loop.time() + limit_s
    )


def check_linger(connection: ClientConnection, until: float) -> None:
    """Aborts a connection once the client has read its response and sends no more, or its time is up.

    Args:
        connection: The connection.
        until: The loop time in seconds at which the connection is aborted. Activity extends it while
            written bytes are still unsent.
    """
    if connection.state is ConnectionState.CLOSED:
        return
    loop = connection.listener.loop
    now = loop.time()
    active_at = connection.last_active_at
    unsent = connection.has_unsent()
    if unsent:
        until = max(until, active_at + LINGER_STREAM_S)
    if now < until and (unsent or now - active_at < LINGER_S):
        loop.call_later(LINGER_S, check_linger, connection, until)
    else:
        connection.listener.reasons.closed(EndReason.LINGER_ENDED)
        connection.transport.abort()
