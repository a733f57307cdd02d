"""Limits the requests whose body is still being received, each of which holds a connection to a server.

Their number depends on their clients alone: a client that stops in the middle of a body keeps its connection.
Without a limit, such clients could use up the connections that all other requests need.
"""

from __future__ import annotations

# Part of the connections to servers that uploads in progress may hold.
UPLOAD_CONNECTION_DIVISOR = 2


def admits_upload(uploads_in_progress: int, max_connections: int) -> bool:
    """Whether one more request may be forwarded while its body is still being received.

    Args:
        uploads_in_progress: Open requests whose body is incomplete.
        max_connections: Connections to servers that may be open at a time.
    """
    return uploads_in_progress < max(1, max_connections // UPLOAD_CONNECTION_DIVISOR)
