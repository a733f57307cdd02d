"""The replicated state of the change freeze: open incidents, current grants, and ids of ended grants.

The same commands in the same order give the same state at every elector. The state holds durations but no
times, because the monotonic clocks of two machines cannot be compared: a new coordinator treats each grant
that it inherits as issued at its own election, so that none expires too early.

Incidents, grants and commands are stored and sent as arrays, so the order of their fields is the format.
"""

from __future__ import annotations

import msgspec

from loadbalancer.freeze.errors import FreezeRecordError
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    IncidentNotice,
    Scope,
    StateVersion,
)

MAX_INCIDENTS = 32  # open at the same time
MAX_GRANTS = 512  # not ended at the same time
MAX_ENDED_IDS = 512  # ids of ended grants that are kept, to recognize repeated requests
MAX_IDS_PER_COMMAND = 8  # grant ids in one command
MAX_NOTICE_REASON_CHARS = 80  # longest reason in an `IncidentNotice`


class Incident(msgspec.Struct, array_like=True, frozen=True):
    """One open incident.

    Attributes:
        opened_by: Name of an operator, or "evidence".
        opened_version: Version of the command that opened it.
        in_force: Whether no change that the incident stops can start any more.
    """

    id: str
    scope: Scope
    severity: int
    reason: str
    opened_by: str
    opened_version: StateVersion
    in_force: bool = False

    def notice(self) -> IncidentNotice:
        """Returns the incident in the form in which members are notified of it."""
        reason = self.reason[:MAX_NOTICE_REASON_CHARS]
        return IncidentNotice(self.id, self.scope, self.severity, reason)


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """Permission for one change at one node.

    Attributes:
        id: Id of the request.
        node: Name of the node that makes the change.
        duration_us: Longest duration of the change. The node counts it from `request_sent_at`, the
            coordinator from the issue of the grant.
        request_sent_at: When the request was sent, in microseconds of the node's clock.
        emergency_reason: If not empty, the change is an emergency, which incidents do not stop.
        resolves_incident: Id of the incident that the change is meant to resolve; empty if none.
        plan: Changes of the same plan do not conflict with each other; empty if none.
        token: Fencing token: the version of the command that issued the grant.
        revocation_reason: If not empty, the grant is revoked and the change must stop.
    """

    id: str
    node: str
    kind: str
    scope: Scope
    duration_us: int
    request_sent_at: int
    emergency_reason: str = ""
    resolves_incident: str = ""
    plan: str = ""
    token: StateVersion = INITIAL_VERSION
    revocation_reason: str = ""


class OpenIncident(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Opens an incident; its `opened_version` becomes that of this command."""

    incident: Incident


class MarkInForce(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Marks an incident as in force: no change that it stops can start any more."""

    id: str


class CloseIncident(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Closes an incident."""

    id: str


class IssueGrant(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Issues a grant; its token becomes the version of this command."""

    grant: Grant


class EndGrants(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Ends grants that were returned by their nodes or have expired."""

    ids: list[str]


class RevokeGrants(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """Revokes grants; they stay in the state until they end."""

    ids: list[str]
    reason: str


StateCommand = (
    OpenIncident | MarkInForce | CloseIncident | IssueGrant | EndGrants | RevokeGrants
)


class _Snapshot(msgspec.Struct, array_like=True, frozen=True):
    incidents: list[Incident]
    grants: list[Grant]
    ended: list[str]


_encode = msgspec.msgpack.Encoder().encode
_command_decoder = msgspec.msgpack.Decoder(StateCommand)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


def encode_command(command: StateCommand) -> bytes:
    """Encodes a command for replication."""
    return _encode(command)


class FreezeState:
    """The replicated state of the change freeze; implements `replicated_log.ReplicatedState`.

    Attributes:
        incidents: Open incidents, by id.
        grants: Current grants, by request id; revoked ones stay until they end.
        ended: Ids of ended grants, in the order in which they ended.
    """

    def __init__(self) -> None:
        self.incidents: dict[str, Incident] = {}
        self.grants: dict[str, Grant] = {}
        self.ended: dict[str, None] = {}

    def apply(self, version: StateVersion, data: bytes) -> None:
        """Applies a command that produces `version`; skips one that only newer programs know."""
        try:
            command = _command_decoder.decode(data)
        except msgspec.DecodeError:
            return
        if isinstance(command, OpenIncident):
            self.incidents[command.incident.id] = msgspec.structs.replace(
                command.incident, opened_version=version
            )
        elif isinstance(command, MarkInForce):
            self._mark_in_force(command.id)
        elif isinstance(command, CloseIncident):
            self.incidents.pop(command.id, None)
        elif isinstance(command, IssueGrant):
            self.grants[command.grant.id] = msgspec.structs.replace(
                command.grant, token=version
            )
        elif isinstance(command, RevokeGrants):
            self._revoke(command.ids, command.reason)
        else:
            self._end(command.ids)

    def _mark_in_force(self, incident_id: str) -> None:
        incident = self.incidents.get(incident_id)
        if incident is not None:
            self.incidents[incident_id] = msgspec.structs.replace(
                incident, in_force=True
            )

    def _revoke(self, ids: list[str], reason: str) -> None:
        for grant_id in ids:
            grant = self.grants.get(grant_id)
            if grant is not None:
                self.grants[grant_id] = msgspec.structs.replace(
                    grant, revocation_reason=reason
                )

    def _end(self, ids: list[str]) -> None:
        for grant_id in ids:
            if self.grants.pop(grant_id, None) is not None:
                self.ended[grant_id] = None
        while len(self.ended) > MAX_ENDED_IDS:
            del self.ended[next(iter(self.ended))]

    def snapshot(self) -> bytes:
        """Returns the encoded complete state."""
        return _encode(
            _Snapshot(
                [*self.incidents.values()], [*self.grants.values()], [*self.ended]
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned.

        Raises:
            FreezeRecordError: `data` is not a snapshot of this state.
        """
        try:
            snapshot = _snapshot_decoder.decode(data)
        except msgspec.DecodeError as error:
            raise FreezeRecordError(
                f"not a snapshot of the change freeze: {error}"
            ) from None
        self.incidents = {incident.id: incident for incident in snapshot.incidents}
        self.grants = {grant.id: grant for grant in snapshot.grants}
        self.ended = dict.fromkeys(snapshot.ended)
