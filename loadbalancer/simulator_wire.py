"""The simulator's wire protocol: layouts of events and actions, and an encoder for one instance's actions.

Numbers are little-endian, times are in microseconds. The layouts keep the names that the simulator's protocol
gives them; each is mapped to the policy's term where it is read (`simulator.py`) or written (`WireActions`).
"""

from __future__ import annotations

import struct
from struct import Struct
from typing import ClassVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.policy.api import EndpointState, ListUpdateKind, Outcome

# Layouts of events, without the leading event code.
CREATE = Struct("<HQI")
DIRECTORY = Struct("<II")
ENTRY = Struct("<IHQHfBH")
TARGETS = Struct("<HBII")
ACCEPT = Struct("<HQQHBIIH")
CLIENT_LEFT = Struct("<HQ")
CHECK_RESULT = Struct("<HIHIB")
OPENED = Struct("<HQBII")
WAKE = Struct("<HQ")
SHUTDOWN = Struct("<H")
PEER_DATA = Struct("<HHH")
VERDICT = Struct("<HQBIIBHB")

# Layouts of actions, with the leading action code.
RELAY = Struct("<BHQII")
BOUNCE = Struct("<BHQI")
END_FAILED = Struct("<BHQ")
WITHDRAW = Struct("<BHQB")
NOTIFY_ME = Struct("<BHIQ")
PROBE = Struct("<BHI")
RELEASE = Struct("<BHI")
NOTIFY = Struct("<BHHH")
JOURNAL_LINE = Struct("<BHH")
BAIL_OUT = Struct("<BHH")
LISTEN = Struct("<BHB")
QUERY_ALL = Struct("<BH")

# Action codes.
RELAY_CODE, BOUNCE_CODE, END_FAILED_CODE, WITHDRAW_CODE = 65, 66, 67, 68
NOTIFY_ME_CODE, PROBE_CODE, RELEASE_CODE, NOTIFY_CODE = 69, 70, 71, 72
JOURNAL_LINE_CODE, BAIL_OUT_CODE, LISTEN_CODE, QUERY_ALL_CODE = 73, 74, 75, 76

OK_STATUS = 200  # status of a successful health check or attempt
# Outcomes of attempts by their status on the wire; any other status is an unknown outcome.
OUTCOMES = {
    OK_STATUS: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}
# Kinds of endpoint list updates; the index is the kind on the wire.
LIST_KINDS = (
    ListUpdateKind.CHANGES,
    ListUpdateKind.FULL,
    ListUpdateKind.CACHED,
    ListUpdateKind.FAILED,
)
# Endpoint states by their number on the wire; any other number counts as draining.
STATES = {0: EndpointState.GONE, 1: EndpointState.READY, 2: EndpointState.DRAINING}
REPEAT_FLAG = (
    2  # bit in the flags of a request (ACCEPT): the client marked it as a retry
)
MAX_TIMER_US = 4_260_000_000  # longer timers are shortened to this
MAX_U32 = 0xFFFFFFFF
MAX_TEXT_BYTES = 0xFFFF  # limit of log lines and fault texts; the rest is cut off
ALL_PEERS = 0xFFFF  # receiver of a message to all peers


class FrameError(LoadBalancerError):
    """Simulator input that is not a valid frame, or that holds an event the protocol does not define."""

    remedy: ClassVar[str] = (
        "check that the simulator uses this version of the wire protocol and was not stopped early"
    )


class WireActions:
    """Encodes one instance's actions into the reply to a batch; implements `api.Actions`."""

    __slots__ = ("instance", "reply")

    def __init__(self, reply: bytearray, instance: int) -> None:
        """Creates an encoder that appends an instance's actions to a reply.

        Args:
            reply: The reply to the current batch, to which actions are appended.
            instance: Number of the instance.
        """
        self.reply = reply
        self.instance = instance

    def send(self, request: int, server: int, timeout: int) -> None:
        """See `api.Actions`."""
        self.reply += RELAY.pack(
            RELAY_CODE, self.instance, request, server, min(max(timeout, 1), MAX_U32)
        )

    def cancel(self, request: int, attempt: int) -> None:
        """See `api.Actions`."""
        self.reply += WITHDRAW.pack(WITHDRAW_CODE, self.instance, request, attempt)

    def reject(self, request: int, retry_after: int) -> None:
        """See `api.Actions`."""
        self.reply += BOUNCE.pack(
            BOUNCE_CODE, self.instance, request, min(max(retry_after, 0), MAX_U32)
        )

    def fail(self, request: int) -> None:
        """See `api.Actions`."""
        self.reply += END_FAILED.pack(END_FAILED_CODE, self.instance, request)

    def check_health(self, server: int) -> None:
        """See `api.Actions`."""
        self.reply += PROBE.pack(PROBE_CODE, self.instance, server)

    def set_timer(self, delay: int, token: int) -> None:
        """See `api.Actions`."""
        self.reply += NOTIFY_ME.pack(
            NOTIFY_ME_CODE, self.instance, min(max(delay, 0), MAX_TIMER_US), token
        )

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """See `api.Actions`."""
        self.reply += (
            NOTIFY.pack(
                NOTIFY_CODE, self.instance, ALL_PEERS if peer < 0 else peer, len(data)
            )
            + data
        )

    def watch(self, on: bool) -> None:
        """See `api.Actions`."""
        self.reply += LISTEN.pack(LISTEN_CODE, self.instance, on)

    def fetch(self) -> None:
        """See `api.Actions`."""
        self.reply += QUERY_ALL.pack(QUERY_ALL_CODE, self.instance)

    def close(self, server: int) -> None:
        """See `api.Actions`."""
        self.reply += RELEASE.pack(RELEASE_CODE, self.instance, server)

    def log(self, text: str) -> None:
        """See `api.Actions`."""
        data = text.encode()[:MAX_TEXT_BYTES]
        self.reply += (
            JOURNAL_LINE.pack(JOURNAL_LINE_CODE, self.instance, len(data)) + data
        )

    def fault(self, text: str) -> None:
        """Reports that the policy of this instance has failed.

        Args:
            text: What failed; cut off after `MAX_TEXT_BYTES` bytes.
        """
        data = text.encode()[:MAX_TEXT_BYTES]
        self.reply += BAIL_OUT.pack(BAIL_OUT_CODE, self.instance, len(data)) + data


# Layouts of 0 to 255 32-bit floats, by their number.
FLOAT_LAYOUTS = [Struct(f"<{count}f") for count in range(256)]


def read_bytes(body: bytes, offset: int, size: int) -> bytes:
    """Returns `size` bytes of a batch's body, starting at `offset`.

    Raises:
        struct.error: The body ends before `offset + size`.
    """
    if offset + size > len(body):
        raise struct.error("body is cut short")
    return body[offset : offset + size]


def read_floats(body: bytes, offset: int, count: int) -> tuple[float, ...]:
    """Returns `count` 32-bit floats of a batch's body, starting at `offset`.

    Raises:
        struct.error: The body ends before the last of them.
    """
    return FLOAT_LAYOUTS[count].unpack_from(body, offset)
