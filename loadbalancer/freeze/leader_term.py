"""The coordinator's volatile state: what it knows beside the replicated state, for one term only."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.freeze.messages import INITIAL_VERSION, StateVersion
from loadbalancer.freeze.state import Grant

NOT_SENT = 0  # time of a message that has not been sent


@dataclass(slots=True)
class QueuedRequest:
    """A request that has to wait; the queue keeps the order of first arrival.

    Attributes:
        grant: The grant that the request would get.
        requested_at: When the request last arrived, in microseconds.
    """

    grant: Grant
    requested_at: int


@dataclass(slots=True)
class PendingReply:
    """The reply to an operator's command, sent to `node` once `version` is committed."""

    node: str
    version: StateVersion
    text: str


@dataclass(slots=True)
class RevocationProgress:
    """Progress of a revocation, which is sent once `version` is committed and until it is acknowledged.

    Attributes:
        version: Version of the command that revokes the grant.
        sent_at: When the revocation was last sent, in microseconds; `NOT_SENT` if it was not.
    """

    version: StateVersion = INITIAL_VERSION
    sent_at: int = NOT_SENT


@dataclass
class LeaderTerm:
    """Volatile state of one coordinator term. Times are the coordinator's monotonic microseconds.

    Attributes:
        term: Number of the election term.
        granted_at: By grant id, the latest time at which the grant can have been issued.
        issued_at: By grant id, the time of issue, for grants issued in this term only.
        pending_grants: By grant id, the version of each grant that is not yet committed.
        pending_grant_ends: By grant id, the version of each end of a grant that is not yet committed.
        acknowledged_revocations: Ids of grants whose revocation was acknowledged.
        revocations: Progress of revocations, by grant id.
        pending_replies: Replies to operators' commands that are not yet sent, by command id.
        pending_in_force: By incident id, the version of each `MarkInForce` that is not yet committed.
        pending_openings: By incident id, the version of each `OpenIncident` that is not yet committed.
        queue: Requests that wait, by request id.
        incidents_version: Version of the last change to the incidents.
        notified_version: The `incidents_version` of the last notification to the members.
        next_notification_at: When the members are notified next, even without a change.
    """

    term: int
    granted_at: dict[str, int] = field(default_factory=dict)
    issued_at: dict[str, int] = field(default_factory=dict)
    pending_grants: dict[str, StateVersion] = field(default_factory=dict)
    pending_grant_ends: dict[str, StateVersion] = field(default_factory=dict)
    acknowledged_revocations: set[str] = field(default_factory=set)
    revocations: dict[str, RevocationProgress] = field(default_factory=dict)
    pending_replies: dict[str, PendingReply] = field(default_factory=dict)
    pending_in_force: dict[str, StateVersion] = field(default_factory=dict)
    pending_openings: dict[str, StateVersion] = field(default_factory=dict)
    queue: dict[str, QueuedRequest] = field(default_factory=dict)
    incidents_version: StateVersion = INITIAL_VERSION
    notified_version: StateVersion = INITIAL_VERSION
    next_notification_at: int = 0

    def drop_grant(self, grant_id: str) -> None:
        """Drops everything about a grant whose end is committed."""
        self.granted_at.pop(grant_id, None)
        self.issued_at.pop(grant_id, None)
        self.revocations.pop(grant_id, None)
        self.acknowledged_revocations.discard(grant_id)


def pop_committed(
    pending: dict[str, StateVersion], committed: StateVersion
) -> list[str]:
    """Removes the entries whose version is at most `committed`, and returns their keys."""
    keys = [key for key, version in pending.items() if version <= committed]
    for key in keys:
        del pending[key]
    return keys
