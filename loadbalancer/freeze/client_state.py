"""State that a node keeps of its requests, of its changes under a grant, and of their outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.conflicts import incident_stops
from loadbalancer.freeze.messages import (
    ChangeFinished,
    ChangeRequest,
    IncidentNotice,
    Scope,
    StateVersion,
)
from loadbalancer.freeze.request_id import format_request_id
from loadbalancer.freeze.state import Grant


class RequestState(StrEnum):
    """State of a request or command. The values are published."""

    PENDING = "asked"
    ALLOWED = "go"
    DEFERRED = "wait"  # may be requested again later
    REJECTED = "no"  # final
    REVOKED = "halt"  # the change must stop
    FINISHED = "over"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a request or command.

    Attributes:
        id: Id that the node gave the request or command.
        state: Its state.
        reason: Explanation for operators.
        retry_after_us: Time in microseconds after which to request again, if deferred.
        token: The grant's fencing token; None without a grant.
        term: Term of the coordinator that decided; 0 if none did.
    """

    id: str
    state: RequestState
    reason: str = ""
    retry_after_us: int = 0
    token: StateVersion | None = None
    term: int = 0


@dataclass(frozen=True, slots=True)
class RequestedChange:
    """A change that the node wants to make.

    Attributes:
        id: Unique among the changes of all nodes.
        kind: Kind of change.
        scope: The tier, region, zone, server or class that it affects.
        duration_us: Maximum duration in microseconds.
        emergency_reason: Nonempty for an emergency, which no incident stops.
        resolves_incident: Id of the incident that the change is to resolve.
        plan: Id of a plan; changes of the same plan do not conflict with each other.
        wait_us: Time in microseconds for which a deferred request is repeated before the deferral is
            reported.
    """

    id: str
    kind: Change
    scope: Scope
    duration_us: int
    emergency_reason: str = ""
    resolves_incident: str = ""
    plan: str = ""
    wait_us: int = 0

    def stopped_by(self, incident: IncidentNotice, regions: Mapping[str, str]) -> bool:
        """Returns whether an incident stops this change; `regions` has the region of each zone."""
        return incident_stops(incident, self.as_grant(), regions)

    def as_grant(self) -> Grant:
        """Returns the change in the form of a grant, for `incident_stops`."""
        return Grant(
            self.id,
            "",
            self.kind.value,
            self.scope,
            0,
            0,
            self.emergency_reason,
            self.resolves_incident,
            self.plan,
        )


@dataclass(slots=True)
class PendingRequest:
    """A request without an outcome. Times are the node's monotonic microseconds.

    Attributes:
        change: The change that is requested.
        started_at: When it was first requested.
        wait_until: Until this time, a deferral is not reported; the request is repeated instead.
        due_at: When it is next sent.
        attempts: Number of messages sent since the last answer.
        reissues: How often it was requested again because its grant could not be used and was returned.
        reason: Why it has no grant yet.
        answered_at: When a coordinator last answered; 0 if none has.
    """

    change: RequestedChange
    started_at: int
    wait_until: int
    due_at: int = 0
    attempts: int = 0
    reissues: int = 0
    reason: str = "no coordinator has answered yet"
    answered_at: int = 0

    @property
    def message_id(self) -> str:
        """The id that the request has in messages."""
        return format_request_id(self.change.id, self.reissues)

    def message(self, now: int) -> ChangeRequest:
        """Returns the message that requests the change, as of `now`."""
        change = self.change
        return ChangeRequest(
            id=self.message_id,
            kind=change.kind.value,
            scope=change.scope,
            duration_us=change.duration_us,
            sent_at=now,
            emergency_reason=change.emergency_reason,
            resolves_incident=change.resolves_incident,
            plan=change.plan,
            keep_queued=now < self.wait_until,
        )

    def reissue(self, reason: str, due_at: int) -> None:
        """Requests the change again at `due_at`, under the next message id."""
        self.reissues += 1
        self.reason, self.due_at = reason, due_at


@dataclass(slots=True)
class ActiveChange:
    """A change in progress under a grant.

    Attributes:
        change: The change.
        message_id: Id of its request in messages.
        token: Fencing token of the grant.
        expires_at: When the grant expires, in the node's monotonic microseconds.
        revocation_reason: Why the change must stop; empty if it may continue.
    """

    change: RequestedChange
    message_id: str
    token: StateVersion
    expires_at: int
    revocation_reason: str = ""


@dataclass(slots=True)
class PendingFinish:
    """The return of a grant that is not acknowledged yet.

    Attributes:
        message: The message that returns the grant.
        due_at: When it is next sent, in the node's monotonic microseconds.
        attempts: Number of messages sent again.
    """

    message: ChangeFinished
    due_at: int
    attempts: int = 0
