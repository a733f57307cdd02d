"""Datagrams of the membership protocol: bounded, versioned, encoded as MessagePack.

Every datagram is one `MembershipEnvelope`: the protocol version, the name of the cluster, the sender, one
message, and the piggybacked member updates. `decode` raises `MembershipDatagramError` for a datagram that is
too large, cannot be decoded or has a value out of range, and `MembershipForeignError` for one of another
cluster or protocol version; the caller counts and drops it.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import msgspec

from loadbalancer.errors import LoadBalancerError

PROTOCOL_VERSION = 1
# Below the usual path MTU, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1_400
MAX_NAME_CHARACTERS = 64  # of the name, host, zone or region of a member
MAX_INCARNATION = 1 << 53  # one above it must still be encoded
MAX_PORT = 65_535
NO_INCARNATION = -1  # in a ping: the sender does not suspect the target
NO_DIGEST = -1  # in a sync: the sender does not send its digest


class MemberState(enum.IntEnum):
    """State of a member as another one knows it. At the same incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    # Like DEAD, but the member itself announced that it leaves the cluster.
    LEFT = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of one member as disseminated by gossip; `source` is the member that reported it first."""

    name: str
    host: str
    port: int
    incarnation: int
    state: MemberState
    source: str
    zone: str = ""
    region: str = ""


class Ping(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Probe of `target`.

    `suspected_incarnation` is the incarnation at which the sender suspects the target, or `NO_INCARNATION` if
    it does not. By Lifeguard's buddy system a suspected target refutes at once.
    """

    sequence: int
    target: str
    suspected_incarnation: int = NO_INCARNATION


class PingRequest(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Request for an indirect probe: ping `target` at `host`:`port` and relay its answer."""

    sequence: int
    target: str
    host: str
    port: int


class Ack(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Answer of `target` to the ping `sequence`; `relayed` if it arrives through a third member."""

    sequence: int
    target: str
    relayed: bool = False


class Nack(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Answer of a relay that is itself healthy but got no ack from `target` in time (Lifeguard)."""

    sequence: int
    target: str


class Sync(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Anti-entropy exchange: a request for the receiver's member table, or, with `is_reply`, an answer.

    `digest` covers all members that are live for the sender; it is `NO_DIGEST` if the sender does not send
    one. A request that carries the receiver's own digest is answered without a table. The last datagram of an
    answer carries the digest of the member that answers. Members of earlier versions neither send nor read
    the digest: their request carries the complete table.
    """

    is_reply: bool = False
    digest: int = NO_DIGEST


Message = Ping | PingRequest | Ack | Nack | Sync


class MembershipEnvelope(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: the sender, its cluster and incarnation, one message, and piggybacked updates."""

    version: int
    cluster: str
    sender: str
    incarnation: int
    message: Message
    updates: list[MemberUpdate] = []


class MembershipDatagramError(LoadBalancerError, ValueError):
    """A datagram of the membership protocol is not well formed; counted as `malformed` and dropped."""

    code: ClassVar[str] = "WireError"
    remedy: ClassVar[str] = (
        "find out which other program sends to the membership's port, and give it another port"
    )


class MembershipForeignError(MembershipDatagramError):
    """A datagram belongs to another cluster or protocol version; counted as `foreign` and dropped."""

    code: ClassVar[str] = "WireForeign"
    remedy: ClassVar[str] = (
        "use the same `membership.cluster` and the same version of the program on all nodes of a fleet"
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MembershipEnvelope)


def encode(envelope: MembershipEnvelope) -> bytes:
    """Encodes one datagram without a limit on its size (see `encode_bounded`)."""
    return _encoder.encode(envelope)


def encode_bounded(
    envelope: MembershipEnvelope, updates: list[MemberUpdate]
) -> tuple[bytes, int]:
    """Encodes `envelope` with as many of the first `updates` as fit in `MAX_DATAGRAM_BYTES`.

    Args:
        envelope: The envelope; its own updates are replaced.
        updates: The updates to include, most important first.

    Returns:
        The datagram and the number of updates in it.
    """
    count = len(updates)
    data = encode(msgspec.structs.replace(envelope, updates=updates))
    while len(data) > MAX_DATAGRAM_BYTES and count > 0:
        # Updates have similar sizes: reduce the number in proportion first, then one at a time.
        count = min(count - 1, max(0, count * MAX_DATAGRAM_BYTES // len(data)))
        data = encode(msgspec.structs.replace(envelope, updates=updates[:count]))
    return data, count


def decode(data: bytes, cluster: str) -> MembershipEnvelope:
    """Decodes and validates one datagram.

    Args:
        data: The received bytes.
        cluster: Name of the receiver's cluster.

    Raises:
        MembershipForeignError: The datagram belongs to another cluster or protocol version.
        MembershipDatagramError: The datagram is too large, cannot be decoded or has a value out of range.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MembershipDatagramError(
            f"datagram has {len(data)} bytes, more than the maximum of {MAX_DATAGRAM_BYTES}"
        )
    try:
        envelope = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise MembershipDatagramError(f"malformed datagram: {error}") from None
    if envelope.version != PROTOCOL_VERSION:
        raise MembershipForeignError(
            f"protocol version {envelope.version} is not supported; this member supports {PROTOCOL_VERSION}"
        )
    if envelope.cluster != cluster:
        raise MembershipForeignError(
            f"the datagram belongs to another cluster, {envelope.cluster!r}"
        )
    _validate(envelope)
    return envelope


def _validate(envelope: MembershipEnvelope) -> None:
    names = [envelope.sender, *(update.name for update in envelope.updates)]
    if any(not name or len(name) > MAX_NAME_CHARACTERS for name in names):
        raise MembershipDatagramError(
            "the name of the sender or of a member in an update is empty or too long"
        )
    for update in envelope.updates:
        if not _in_range(update):
            raise MembershipDatagramError(
                f"update about member {update.name!r} has a value out of range"
            )
    if not 0 <= envelope.incarnation <= MAX_INCARNATION:
        raise MembershipDatagramError("the incarnation of the sender is out of range")
    message = envelope.message
    if isinstance(message, PingRequest) and (
        not 0 < message.port <= MAX_PORT or len(message.host) > MAX_NAME_CHARACTERS
    ):
        raise MembershipDatagramError("the address in a ping request is out of range")


def _in_range(update: MemberUpdate) -> bool:
    texts = (update.host, update.source, update.zone, update.region)
    return (
        0 < update.port <= MAX_PORT
        and 0 <= update.incarnation <= MAX_INCARNATION
        and max(map(len, texts)) <= MAX_NAME_CHARACTERS
    )
