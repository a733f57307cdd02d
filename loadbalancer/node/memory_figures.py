"""What the memory of the process consists of, as operators see it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.listener import ClientListener
    from loadbalancer.node.client.request import ClientRequest
    from loadbalancer.node.requests.open_request import OpenRequest, OpenRequests

STATUS_FILE = "/proc/self/status"
RESIDENT_FIELD = "RssAnon:"  # memory of this process alone, without files and libraries
BYTES_PER_KIB = 1024


@dataclass(frozen=True, slots=True)
class MemoryFigures:
    """The memory of the process and what is held for requests and responses.

    Attributes:
        resident_bytes: Resident memory of the process, without files and shared libraries; 0 where the
            system does not tell.
        counted_bytes: Bytes that count against the memory budget.
        limit_bytes: Bytes that the memory budget allows.
        requests: Requests in memory: incomplete, queued behind others, and open.
        body_parts: Separate objects that hold parts of bodies.
        unsent_bytes: Bytes written to clients that the system has not accepted yet.
    """

    resident_bytes: int = 0
    counted_bytes: int = 0
    limit_bytes: int = 0
    requests: int = 0
    body_parts: int = 0
    unsent_bytes: int = 0


def measure_memory(listener: ClientListener, requests: OpenRequests) -> MemoryFigures:
    """Measures the memory. The cost depends on the number of connections, not on what they hold.

    Args:
        listener: The client connections and the budget.
        requests: The open requests.
    """
    held = [
        request
        for connection in listener.connections
        for request in requests_of(connection)
    ]
    unsent_bytes = sum(
        connection.transport.get_write_buffer_size()
        for connection in listener.connections
        if connection.transport is not None
    )
    return MemoryFigures(
        resident_bytes=resident_bytes(),
        counted_bytes=listener.held_bytes,
        limit_bytes=listener.max_held_bytes,
        requests=len(held),
        body_parts=sum(body_parts(request) for request in held)
        + sum(response_parts(request) for request in requests.values()),
        unsent_bytes=unsent_bytes,
    )


def requests_of(connection: ClientConnection) -> list[ClientRequest]:
    """The requests that a connection holds."""
    found = list(connection.pipelined)
    found += [
        request
        for request in {connection.open_request, connection.reader.incoming}
        if request is not None
    ]
    return found


def body_parts(request: ClientRequest) -> int:
    """Separate objects that hold the request's body."""
    waiting_parts = request.upload is not None and bool(request.upload.waiting)
    return bool(request.body) + waiting_parts


def response_parts(request: OpenRequest) -> int:
    """Separate objects that hold the body of the response to a request."""
    if request.attempt is None or request.attempt.connection is None:
        return 0
    return int(bool(request.attempt.connection.response_reader.body))


def resident_bytes() -> int:
    """Resident memory of this process, without files and shared libraries; 0 if the system does not tell."""
    try:
        with open(STATUS_FILE, encoding="ascii", errors="replace") as status:
            lines = status.readlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith(RESIDENT_FIELD):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
