"""Runs policy instances for the simulator: reads batches of events on stdin, writes actions to stdout.

The module only translates between the wire protocol and the policy; it decides nothing itself. Times on the
wire are in microseconds, numbers are little-endian. A batch that cannot be parsed, or that has
invalid settings, ends the process with exit status 2 and one line on standard error.
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

# Header of a batch: number of events, length in bytes, and time in microseconds.
BATCH_HEADER = Struct("<IIQ")
REPLY_LENGTH = Struct("<I")  # bytes of actions that follow
# The length of a batch counts the 8 bytes of its time, which the header holds, and the events.
MIN_BATCH_BYTES = 8


def read_settings(text: bytes) -> Settings:
    """Parses the settings of a CREATE event.

    Args:
        text: The settings object, as JSON.

    Raises:
        FrameError: The text is not JSON.
        SettingsError: A value is missing or invalid; the error names its key.
    """
    try:
        settings = json.loads(text)
    except (ValueError, RecursionError) as e:
        raise FrameError(f"settings are not JSON: {e}") from None
    return parse_settings(settings)


class Host:
    """The policy instances of one process.

    Instances share nothing but the endpoint lists that the simulator sends once and refers to by number.
    Each event method parses one event from `body` at `offset`, which lies behind the event code, applies it,
    and returns the offset after it. `now` is the time of the batch in microseconds.

    Attributes:
        reply: Actions of the current batch, as they go out.
        instances: The running instances, by number.
        endpoint_lists: Endpoint lists received so far, by number.
    """

    def __init__(self) -> None:
        """Creates a host without instances."""
        self.reply = bytearray()
        self.instances: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, list[EndpointEntry]] = {}

    def handle_batch(self, count: int, body: bytes, now: int) -> bytes:
        """Processes one batch of events.

        Args:
            count: Number of events in the batch.
            body: The events, one after another.
            now: Time of the batch in microseconds.

        Returns:
            The resulting actions, after their length in bytes.

        Raises:
            FrameError: The body does not hold exactly `count` complete and valid events of known codes.
            SettingsError: The settings of a CREATE event are invalid.
        """
        self.reply.clear()
        offset = 0
        for index in range(count):
            try:
                code = body[offset]
                reader = EVENT_READERS[code]
            except IndexError:
                raise FrameError(
                    f"event {index}: batch ends early, before its event code"
                ) from None
            except KeyError:
                raise FrameError(
                    f"event {index} at byte {offset}: unknown event code {body[offset]}"
                ) from None
            try:
                offset = reader(self, now, body, offset + 1)
            except struct.error:
                raise FrameError(
                    f"event {index} at byte {offset}: event with code {code} is cut short"
                ) from None
        if offset != len(body):
            raise FrameError(
                f"{len(body) - offset} unexpected bytes after the last event of the batch"
            )
        return REPLY_LENGTH.pack(len(self.reply)) + self.reply

    def deliver(self, instance: int, event: str, *args: Any) -> None:
        """Calls an instance's event method; events for an instance that is not running are ignored.

        An exception in the policy removes the instance and is reported to the simulator as a fault action.

        Args:
            instance: Number of the instance.
            event: Name of the `Balancer` method to call.
            *args: Arguments of that method.
        """
        balancer = self.instances.get(instance)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as e:  # any failure of the policy is reported
            del self.instances[instance]
            WireActions(self.reply, instance).fault(f"{event}: {type(e).__name__}: {e}")

    def create(self, now: int, body: bytes, offset: int) -> int:
        """Creates and starts an instance with its settings and random seed."""
        instance, seed, size = CREATE.unpack_from(body, offset)
        offset += CREATE.size
        text = read_bytes(body, offset, size)
        balancer = Balancer(
            read_settings(text), seed, WireActions(self.reply, instance)
        )
        self.instances[instance] = balancer
        self.deliver(instance, "start", now)
        return offset + int(size)

    def endpoint_list(self, now: int, body: bytes, offset: int) -> int:
        """Stores a numbered endpoint list that later events refer to."""
        number, count = DIRECTORY.unpack_from(body, offset)
        offset += DIRECTORY.size
        raw = read_bytes(body, offset, count * ENTRY.size)
        self.endpoint_lists[number] = [
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
        """Delivers an endpoint list update, whose entries are given by the number of a stored list."""
        instance, kind, _, number = TARGETS.unpack_from(body, offset)
        if kind >= len(LIST_KINDS):
            raise FrameError(
                f"kinds of list updates are 0 to 3; unknown list kind {kind}"
            )
        list_kind = LIST_KINDS[kind]
        entries: list[EndpointEntry] = []
        if list_kind != ListUpdateKind.FAILED:
            if number not in self.endpoint_lists:
                raise FrameError(f"endpoint list {number} is used before it was sent")
            entries = self.endpoint_lists[number]
        self.deliver(instance, "update_endpoints", now, list_kind, entries)
        return offset + TARGETS.size

    def request(self, now: int, body: bytes, offset: int) -> int:
        """Delivers a client request."""
        instance, request, _, tenant, flags, time_left, _, class_index = (
            ACCEPT.unpack_from(body, offset)
        )
        self.deliver(
            instance,
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
        """Delivers the disconnect of a request's client."""
        instance, request = CLIENT_LEFT.unpack_from(body, offset)
        self.deliver(instance, "client_disconnected", now, request)
        return offset + CLIENT_LEFT.size

    def health_checked(self, now: int, body: bytes, offset: int) -> int:
        """Delivers the result of a health check, with the server's reported values."""
        instance, latency, status, server, count = CHECK_RESULT.unpack_from(
            body, offset
        )
        offset += CHECK_RESULT.size
        self.deliver(
            instance,
            "health_checked",
            now,
            server,
            status == OK_STATUS,
            latency,
            read_floats(body, offset, count),
        )
        return offset + 4 * int(count)

    def response_started(self, now: int, body: bytes, offset: int) -> int:
        """Delivers the start of the response to an attempt."""
        instance, request, attempt, server, latency = OPENED.unpack_from(body, offset)
        self.deliver(
            instance, "response_started", now, request, attempt, server, latency
        )
        return offset + OPENED.size

    def timer(self, now: int, body: bytes, offset: int) -> int:
        """Delivers an expired timer."""
        instance, token = WAKE.unpack_from(body, offset)
        self.deliver(instance, "timer", now, token)
        return offset + WAKE.size

    def stop(self, now: int, body: bytes, offset: int) -> int:
        """Removes an instance."""
        (instance,) = SHUTDOWN.unpack_from(body, offset)
        self.instances.pop(instance, None)
        return offset + SHUTDOWN.size

    def peer_message(self, now: int, body: bytes, offset: int) -> int:
        """Delivers a message from another instance."""
        instance, peer, size = PEER_DATA.unpack_from(body, offset)
        offset += PEER_DATA.size
        self.deliver(
            instance, "peer_message", now, peer, read_bytes(body, offset, size)
        )
        return offset + int(size)

    def outcome(self, now: int, body: bytes, offset: int) -> int:
        """Delivers the outcome of an attempt, with the values that the server reported, if any."""
        instance, request, attempt, latency, server, final, status, count = (
            VERDICT.unpack_from(body, offset)
        )
        offset += VERDICT.size
        self.deliver(
            instance,
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


# Event methods by the event code on the wire.
EVENT_READERS = {
    1: Host.endpoint_list,
    2: Host.timer,
    3: Host.request,
    4: Host.peer_message,
    5: Host.health_checked,
    6: Host.create,
    7: Host.list_update,
    8: Host.outcome,
    9: Host.stop,
    10: Host.response_started,
    11: Host.client_disconnected,
}


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """Reads exactly `size` bytes.

    Args:
        stream: The input.
        size: Number of bytes to read.
        what: What the bytes are, for the error.

    Raises:
        FrameError: The input ends before `size` bytes.
    """
    data = stream.read(size)
    if len(data) != size:
        raise FrameError(f"input ends after {len(data)} of {size} bytes", what)
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Processes batches and writes a reply to each until the input ends.

    Args:
        source: Batches of events.
        sink: Receives the replies; flushed after each one.

    Raises:
        LoadBalancerError: A batch is malformed; the error names its index.
    """
    host = Host()
    batch = 0
    while True:
        first_byte = source.read(1)
        if not first_byte:
            return
        where = f"batch {batch}"
        count, size, now = BATCH_HEADER.unpack(
            first_byte + read_exactly(source, BATCH_HEADER.size - 1, where + " header")
        )
        if size < MIN_BATCH_BYTES:
            raise FrameError(
                f"length {size} is too short; it must count the 8 bytes of the batch's time",
                f"{where} header",
            )
        body = read_exactly(source, size - MIN_BATCH_BYTES, where)
        try:
            reply = host.handle_batch(count, body, now)
        except LoadBalancerError as e:
            raise e.within(where) from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    """Serves standard input; returns exit status 2 for an error and 1 if the output has been closed."""
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
