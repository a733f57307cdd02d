"""Hosts policy instances on the simulator's wire: batches of events on standard input, actions on output.

It decides nothing. Times on the wire are microseconds, numbers are little-endian. A frame that cannot be
read ends the process with status 2 and one line on standard error.
"""

from __future__ import annotations

import json
import struct
import sys
from struct import Struct
from typing import Any, BinaryIO

from loadbalancer.config.platform_settings import parse_settings
from loadbalancer.errors import LoadBalancerError
from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    ListUpdateKind,
    Outcome,
    Settings,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.simulator_wire import (
    ACCEPT,
    CHECK_RESULT,
    CLIENT_LEFT,
    CREATE,
    DIRECTORY,
    ENTRY,
    LIST_KINDS,
    OK_STATUS,
    OPENED,
    OUTCOMES,
    PEER_DATA,
    REPEAT_FLAG,
    SHUTDOWN,
    STATES,
    TARGETS,
    VERDICT,
    WAKE,
    FrameError,
    WireActions,
    read_bytes,
    read_floats,
)

# Frames: the header of a batch, and the length of its reply.
HEADER = Struct("<IIQ")
LENGTH = Struct("<I")
LEAST_LENGTH = 8  # of a batch, whose length counts its clock


def read_settings(text: bytes) -> Settings:
    """The settings of a CREATE event. A missing or impossible value is a SettingsError that names the key."""
    try:
        env = json.loads(text)
    except (ValueError, RecursionError) as e:
        raise FrameError(f"settings are not JSON: {e}") from None
    return parse_settings(env)


class Host:
    """The instances of one process. Nothing passes between them but the numbered lists of the wire."""

    def __init__(self) -> None:
        """Starts without an instance."""
        self.out = bytearray()
        self.nodes: dict[int, Balancer] = {}
        self.lists: dict[int, list[EndpointEntry]] = {}

    def batch(self, count: int, body: bytes, now: int) -> bytes:
        """Handles one batch and returns the framed reply."""
        self.out.clear()
        offset = 0
        for record in range(count):
            try:
                code = body[offset]
                reader = READERS[code]
            except IndexError:
                raise FrameError(f"record {record}: batch ends early") from None
            except KeyError:
                raise FrameError(
                    f"record {record} at byte {offset}: unknown event code {body[offset]}"
                ) from None
            try:
                offset = reader(self, now, body, offset + 1)
            except struct.error:
                raise FrameError(
                    f"record {record} at byte {offset}: event {code} is cut short"
                ) from None
        if offset != len(body):
            raise FrameError(f"{len(body) - offset} bytes after the last record")
        return LENGTH.pack(len(self.out)) + self.out

    def deliver(self, node: int, event: str, *args: Any) -> None:
        """Passes an event on; an exception in the policy becomes the wire's fault action."""
        balancer = self.nodes.get(node)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as e:  # the wire wants any failure of the policy reported
            del self.nodes[node]
            WireActions(self.out, node).fault(f"{event}: {type(e).__name__}: {e}")

    def create(self, now: int, body: bytes, offset: int) -> int:
        """An instance begins, with settings and a seed."""
        node, seed, size = CREATE.unpack_from(body, offset)
        offset += CREATE.size
        text = read_bytes(body, offset, size)
        balancer = Balancer(read_settings(text), seed, WireActions(self.out, node))
        self.nodes[node] = balancer
        self.deliver(node, "start", now)
        return offset + int(size)

    def endpoint_list(self, now: int, body: bytes, offset: int) -> int:
        """A numbered list of endpoints, for later events."""
        number, count = DIRECTORY.unpack_from(body, offset)
        offset += DIRECTORY.size
        raw = read_bytes(body, offset, count * ENTRY.size)
        self.lists[number] = [
            EndpointEntry(
                server,
                STATES.get(state, EndpointState.DRAINING),
                cell,
                zone,
                kind,
                weight,
                ready_at,
            )
            for server, cell, ready_at, zone, weight, state, kind in ENTRY.iter_unpack(
                raw
            )
        ]
        return offset + int(count) * ENTRY.size

    def list_update(self, now: int, body: bytes, offset: int) -> int:
        """An update of the endpoint list, by the number of a list."""
        node, kind, _, number = TARGETS.unpack_from(body, offset)
        if kind >= len(LIST_KINDS):
            raise FrameError(f"unknown list kind {kind}")
        list_kind = LIST_KINDS[kind]
        entries: list[EndpointEntry] = []
        if list_kind != ListUpdateKind.FAILED:
            if number not in self.lists:
                raise FrameError(f"list {number} was never sent")
            entries = self.lists[number]
        self.deliver(node, "update_endpoints", now, list_kind, entries)
        return offset + TARGETS.size

    def request(self, now: int, body: bytes, offset: int) -> int:
        """A request."""
        node, request, _, tenant, flags, time_left, _, class_index = ACCEPT.unpack_from(
            body, offset
        )
        self.deliver(
            node,
            "request",
            now,
            request,
            class_index,
            tenant,
            time_left,
            bool(flags & REPEAT_FLAG),
        )
        return offset + ACCEPT.size

    def client_disconnected(self, now: int, body: bytes, offset: int) -> int:
        """A request's client has gone."""
        node, request = CLIENT_LEFT.unpack_from(body, offset)
        self.deliver(node, "client_disconnected", now, request)
        return offset + CLIENT_LEFT.size

    def health_checked(self, now: int, body: bytes, offset: int) -> int:
        """The answer to a health check."""
        node, latency, status, server, count = CHECK_RESULT.unpack_from(body, offset)
        offset += CHECK_RESULT.size
        self.deliver(
            node,
            "health_checked",
            now,
            server,
            status == OK_STATUS,
            latency,
            read_floats(body, offset, count),
        )
        return offset + 4 * int(count)

    def response_started(self, now: int, body: bytes, offset: int) -> int:
        """An answer has begun."""
        node, request, attempt, server, latency = OPENED.unpack_from(body, offset)
        self.deliver(node, "response_started", now, request, attempt, server, latency)
        return offset + OPENED.size

    def timer(self, now: int, body: bytes, offset: int) -> int:
        """A timer is due."""
        node, token = WAKE.unpack_from(body, offset)
        self.deliver(node, "timer", now, token)
        return offset + WAKE.size

    def end(self, now: int, body: bytes, offset: int) -> int:
        """An instance ends."""
        (node,) = SHUTDOWN.unpack_from(body, offset)
        self.nodes.pop(node, None)
        return offset + SHUTDOWN.size

    def peer_message(self, now: int, body: bytes, offset: int) -> int:
        """A message from another instance."""
        node, peer, size = PEER_DATA.unpack_from(body, offset)
        offset += PEER_DATA.size
        self.deliver(node, "peer_message", now, peer, read_bytes(body, offset, size))
        return offset + int(size)

    def outcome(self, now: int, body: bytes, offset: int) -> int:
        """The outcome of an attempt."""
        node, request, attempt, latency, server, final, status, count = (
            VERDICT.unpack_from(body, offset)
        )
        offset += VERDICT.size
        self.deliver(
            node,
            "outcome",
            now,
            request,
            attempt,
            server,
            OUTCOMES.get(status, Outcome.UNKNOWN),
            latency,
            bool(final),
            read_floats(body, offset, count) if count else (),
        )
        return offset + 4 * int(count)


READERS = {
    1: Host.endpoint_list,
    2: Host.timer,
    3: Host.request,
    4: Host.peer_message,
    5: Host.health_checked,
    6: Host.create,
    7: Host.list_update,
    8: Host.outcome,
    9: Host.end,
    10: Host.response_started,
    11: Host.client_disconnected,
}


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """So many bytes of the input.

    Raises:
        FrameError: The input ends before; `what` was being read.
    """
    data = stream.read(size)
    if len(data) != size:
        raise FrameError(f"input ends after {len(data)} of {size} bytes", what)
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    host = Host()
    batch = 0
    while True:
        first = source.read(1)
        if not first:
            return
        where = f"batch {batch}"
        count, size, now = HEADER.unpack(
            first + read_exactly(source, HEADER.size - 1, where + " header")
        )
        if size < LEAST_LENGTH:
            raise FrameError(f"length {size} is too short", f"{where} header")
        body = read_exactly(source, size - LEAST_LENGTH, where)
        try:
            reply = host.batch(count, body, now)
        except LoadBalancerError as e:
            raise e.within(where) from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    """Serves standard input; the exit status is 2 for an error, 1 if nobody reads the output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except LoadBalancerError as e:
        print(f"loadbalancer: {e.line()}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
