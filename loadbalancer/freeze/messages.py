"""Messages of the change freeze, encoded as MessagePack by msgspec, versioned and bounded in size.

Every datagram holds one `FreezeDatagram`: the protocol version, the sender and one message. The transport
checks that the sender belongs to the cluster. A datagram that is malformed, too large or has a value out of
range raises a `FreezeMessageError`.

The structs are encoded as arrays, so the order and types of the fields are part of the wire format and their
names are not. Times are microseconds of the monotonic clock of the node that sent the message; an answer
repeats the time of the message that it answers, which is by the clock of that message's sender.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from loadbalancer.freeze.errors import FreezeMessageError
from loadbalancer.transports.interface import MAX_DATAGRAM_BYTES

PROTOCOL_VERSION = 1
MAX_COMMAND_BYTES = 900  # a replicated command must fit into one datagram
SNAPSHOT_PART_BYTES = 1_100  # snapshot data in one datagram
MAX_SNAPSHOT_PARTS = 400
MAX_INCIDENT_LIST_PARTS = 64

Number = Annotated[int, Meta(ge=0, le=1 << 53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
OptionalName = Annotated[str, Meta(max_length=64)]
Text = Annotated[str, Meta(max_length=160)]
Severity = Annotated[int, Meta(ge=1, le=3)]


class StateVersion(NamedTuple):
    """A version of the replicated state: the term and index of its last log entry, as in Raft.

    The newer of two versions is the larger. Only one leader creates a version, and only once, so equal
    versions mean equal states. The version after a grant's log entry is the grant's fencing token.
    """

    term: Number
    log_index: Number


INITIAL_VERSION = StateVersion(0, 0)


class ReplicatedCommand(NamedTuple):
    """One command and the version of the state after it; empty data leaves the state unchanged."""

    version: StateVersion
    data: bytes


# ---- election and replication, between electors -------------------------------------------------------


class VoteRequest(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """A candidate requests a vote in `term`; a pre-vote only asks whether it would be granted."""

    term: Number
    sent_at: Number  # the candidate's clock; returned in the response
    last_version: StateVersion
    pre_vote: bool


class VoteResponse(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """The answer to a `VoteRequest`; `term` is the voter's own if that is higher."""

    term: Number
    sent_at: Number
    granted: bool
    pre_vote: bool


class Heartbeat(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """The leader renews its lease and replicates the commands that follow `previous_version`."""

    term: Number
    sent_at: Number
    previous_version: StateVersion
    commands: list[ReplicatedCommand] = []
    lease_requested: bool = True


class SnapshotPart(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """One part of a snapshot, for an elector whose missing commands the leader no longer has."""

    term: Number
    sent_at: Number
    version: StateVersion
    index: Annotated[int, Meta(ge=0, lt=MAX_SNAPSHOT_PARTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_SNAPSHOT_PARTS)]
    data: bytes
    lease_requested: bool = True


class HeartbeatAck(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """An elector's answer to a `Heartbeat` or `SnapshotPart`.

    Attributes:
        term: The elector's term.
        sent_at: That of the message answered, by the leader's clock.
        stored_version: Version in the elector's store.
        applied_version: Version in the elector's memory, whose write may not be complete.
        lease_granted: Whether the elector votes for no other candidate for a lease. The elector counts it
            from the arrival of the message, the leader from `sent_at`.
    """

    term: Number
    sent_at: Number
    stored_version: StateVersion
    applied_version: StateVersion
    lease_granted: bool = True


class RecoveryRequest(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """An elector that lost its store asks the others for their state; the nonce excludes old answers."""

    nonce: Number


class RecoveryResponse(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """The answer to a `RecoveryRequest`.

    Attributes:
        nonce: That of the request.
        term: The sender's term; from a member that is not an elector, the highest term in a message of a
            coordinator that it has received.
        version: The newest version of the state that the sender knows of; `INITIAL_VERSION` from a member
            that is not an elector.
        state_lost: Whether the sender has lost its own store; also true from a member that is not an elector.
        reset_declared: Whether an operator has declared at the sender that the replicated state is lost.
    """

    nonce: Number
    term: Number
    version: StateVersion
    state_lost: bool
    reset_declared: bool


# ---- requests for changes -----------------------------------------------------------------------------


class Scope(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The part of the system that a change or an incident affects; an empty field means all."""

    tier: OptionalName = ""
    region: OptionalName = ""
    zone: OptionalName = ""
    server: OptionalName = ""
    request_class: OptionalName = ""


class ChangeRequest(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """A node requests a change; each retry has the same `id`.

    Attributes:
        id: Id of the request; see `request_id`.
        kind: Kind of change, a value of `Change`.
        scope: What the change affects.
        duration_us: Maximum duration of the change in microseconds.
        sent_at: When this message was sent, by the node's clock.
        emergency_reason: Nonempty for an emergency, which no incident stops and which preempts conflicting
            changes.
        resolves_incident: Id of the incident that the change is to resolve, which does not stop it.
        plan: Id of a plan; changes of the same plan do not conflict with each other.
        keep_queued: Whether the node will ask again, so that its place in the queue is kept.
    """

    id: Name
    kind: Name
    scope: Scope
    duration_us: Number
    sent_at: Number
    emergency_reason: Text = ""
    resolves_incident: OptionalName = ""
    plan: OptionalName = ""
    keep_queued: bool = False


class GrantIssued(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """The change may start under this fencing token.

    `request_sent_at` is the `sent_at` of the request that is granted.
    """

    id: Name
    token: StateVersion
    as_of: StateVersion  # the coordinator's committed version
    request_sent_at: Number
    duration_us: Number


class ChangeDeferred(msgspec.Struct, tag=12, array_like=True, frozen=True):
    """The change may not start now; if `final`, no request under this id will be granted."""

    id: Name
    as_of: StateVersion
    reason: Text
    retry_after_us: Number
    final: bool = False


class RedirectToLeader(msgspec.Struct, tag=13, array_like=True, frozen=True):
    """A node that is not the coordinator names the leader; empty if it knows of no other node that leads."""

    leader: OptionalName
    term: Number


class ChangeFinished(msgspec.Struct, tag=14, array_like=True, frozen=True):
    """The change has ended and its grant is returned; repeated until acknowledged."""

    id: Name
    token: StateVersion
    result: Text


class ChangeFinishedAck(msgspec.Struct, tag=15, array_like=True, frozen=True):
    """Acknowledges a `ChangeFinished` once a majority has stored it."""

    id: Name
    token: StateVersion


class Revocation(msgspec.Struct, tag=16, array_like=True, frozen=True):
    """A granted change must stop at once; repeated until acknowledged or the grant has expired."""

    id: Name
    token: StateVersion
    as_of: StateVersion
    reason: Text


class RevocationAck(msgspec.Struct, tag=17, array_like=True, frozen=True):
    """The change has been stopped, or will not start."""

    id: Name
    token: StateVersion


# ---- incidents ----------------------------------------------------------------------------------------


class OperatorCommand(msgspec.Struct, tag=18, array_like=True, frozen=True):
    """An operator opens or closes an incident at any node; `action` is "open" or "close"."""

    id: Name
    action: Name
    incident_id: Name
    scope: Scope
    severity: Severity
    reason: Text
    operator: Name


class OperatorCommandReply(msgspec.Struct, tag=19, array_like=True, frozen=True):
    """The answer to an `OperatorCommand`, once a majority has stored its effect."""

    id: Name
    as_of: StateVersion
    accepted: bool
    text: Text


class IncidentNotice(msgspec.Struct, array_like=True, frozen=True):
    """An incident in the notification to the members."""

    id: Name
    scope: Scope
    severity: Severity
    reason: Annotated[str, Meta(max_length=80)]


class IncidentList(msgspec.Struct, tag=20, array_like=True, frozen=True):
    """Notifies a member of all open incidents, when they change and periodically.

    A list that exceeds one datagram is sent in `count` parts, of which this is part `index`.
    `changed_version` is the version of the state in which the incidents last changed.
    """

    as_of: StateVersion
    changed_version: StateVersion
    index: Annotated[int, Meta(ge=0, le=MAX_INCIDENT_LIST_PARTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_INCIDENT_LIST_PARTS)]
    incidents: list[IncidentNotice]


ElectionMessage = (
    VoteRequest
    | VoteResponse
    | Heartbeat
    | SnapshotPart
    | HeartbeatAck
    | RecoveryRequest
    | RecoveryResponse
)
RequestMessage = ChangeRequest | ChangeFinished | OperatorCommand | RevocationAck
CoordinatorMessage = (
    GrantIssued | ChangeDeferred | Revocation | IncidentList | OperatorCommandReply
)
FreezeMessage = (
    ElectionMessage
    | RequestMessage
    | CoordinatorMessage
    | RedirectToLeader
    | ChangeFinishedAck
)


class FreezeDatagram(msgspec.Struct, array_like=True, frozen=True):
    """The content of one datagram."""

    version: int
    sender: Name
    message: FreezeMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FreezeDatagram)


def encode(sender: str, message: FreezeMessage) -> bytes:
    """Encodes a message as one datagram."""
    return _encoder.encode(FreezeDatagram(PROTOCOL_VERSION, sender, message))


def decode(data: bytes) -> FreezeDatagram:
    """Decodes one datagram.

    Raises:
        FreezeMessageError: It is malformed, too large, of another protocol version, or has a value that is
            out of range.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise FreezeMessageError(
            f"datagram of {len(data)} bytes exceeds the maximum of {MAX_DATAGRAM_BYTES}"
        )
    try:
        datagram = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise FreezeMessageError(f"malformed datagram: {error}") from None
    if datagram.version != PROTOCOL_VERSION:
        raise FreezeMessageError(
            f"datagram of protocol version {datagram.version}; this node supports {PROTOCOL_VERSION}"
        )
    return datagram
