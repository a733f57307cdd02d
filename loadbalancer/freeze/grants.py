"""Requests for changes, and the grants that answer them.

A request that can be granted is answered with the grant as soon as a majority of electors has stored it. Any
other request is answered at once with the reason why it is rejected or has to wait, and the time after which
to retry. Requests carry ids, so retries are idempotent.
"""

from __future__ import annotations

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.conflicts import (
    CONFLICTS_BY_KIND,
    changes_conflict,
    incident_stops,
)
from loadbalancer.freeze.coordinator_context import CoordinatorContext
from loadbalancer.freeze.leader_term import LeaderTerm, QueuedRequest
from loadbalancer.freeze.messages import (
    ChangeDeferred,
    ChangeFinished,
    ChangeFinishedAck,
    ChangeRequest,
    GrantIssued,
    StateVersion,
)
from loadbalancer.freeze.request_id import parse_request_id
from loadbalancer.freeze.revocations import Revocations
from loadbalancer.freeze.scope import format_scope
from loadbalancer.freeze.state import (
    MAX_GRANTS,
    MAX_IDS_PER_COMMAND,
    EndGrants,
    Grant,
    IssueGrant,
)

KNOWN_KINDS = frozenset(kind.value for kind in Change)
MAX_REASON_CHARS = 160  # longest reason in a message; the limit of `messages.Text`
MAX_INCIDENT_REASON_CHARS = (
    60  # longest quotation of an incident's reason in another text
)


class Grants:
    """Decides on requests for changes, and issues, announces and ends the coordinator's grants."""

    def __init__(self, context: CoordinatorContext, revocations: Revocations) -> None:
        self.context, self.revocations = context, revocations

    # ---- requests -------------------------------------------------------------------------------------

    def on_request(
        self, term: LeaderTerm, now: int, sender: str, request: ChangeRequest
    ) -> list[Send]:
        """Rejects or defers a request, or proposes its grant, which is sent once it is committed."""
        self.context.counters.asked += 1
        existing = self.context.state.grants.get(request.id)
        if existing is not None:
            return self._answer_existing(term, sender, request, existing)
        rejection_reason = self._rejection_reason(request)
        if rejection_reason:
            return [self._reject(sender, request, rejection_reason)]
        if self._is_busy(term):
            self.context.counters.busy += 1
            reason = "too many changes are requested at once"
            retry_after_us = self.context.rules.busy_retry_after_us
            return [self._defer(sender, request, reason, retry_after_us)]
        self._end_superseded(term, sender, request.id)
        grant = _grant_from_request(sender, request)
        conflict_reason = self._conflict_reason(term, grant)
        if conflict_reason:
            self._enqueue(term, now, request, grant)
            retry_after_us = self.context.rules.retry_after_us
            return [self._defer(sender, request, conflict_reason, retry_after_us)]
        return self._issue(term, now, sender, request, grant)

    def _answer_existing(
        self, term: LeaderTerm, sender: str, request: ChangeRequest, grant: Grant
    ) -> list[Send]:
        if grant.node != sender:
            return [
                self._reject(
                    sender, request, "this request id is already in use by another node"
                )
            ]
        if grant.revocation_reason:
            return [self.revocations.revocation_message(grant)]
        if request.id in term.pending_grants:
            return []
        return [self.grant_message(grant)]

    def _rejection_reason(self, request: ChangeRequest) -> str:
        """Returns why a request can never be granted; empty if it can."""
        if request.id in self.context.state.ended:
            return "this change has ended; request it under another id"
        max_duration_us = self.context.rules.max_duration_us
        if (
            request.kind not in KNOWN_KINDS
            or not 0 < request.duration_us <= max_duration_us
        ):
            return "unknown kind of change, or a duration that is not positive or exceeds the limit"
        return ""

    def _is_busy(self, term: LeaderTerm) -> bool:
        return (
            len(term.pending_grants) >= self.context.rules.max_pending_grants
            or len(self.context.state.grants) >= MAX_GRANTS
        )

    def _end_superseded(self, term: LeaderTerm, sender: str, request_id: str) -> None:
        """Ends the change's earlier grants at this node.

        The node has returned them, and now requests the same change again under a later retry id.
        """
        requested = parse_request_id(request_id)
        if not requested.retry:
            return
        superseded = []
        for grant in self.context.state.grants.values():
            granted = parse_request_id(grant.id)
            if (
                grant.node == sender
                and granted.base == requested.base
                and granted.retry < requested.retry
            ):
                superseded.append(grant.id)
        self.propose_end(term, superseded)

    def _enqueue(
        self, term: LeaderTerm, now: int, request: ChangeRequest, grant: Grant
    ) -> None:
        self.context.counters.refused += 1
        if not request.keep_queued:
            term.queue.pop(request.id, None)
        elif (
            request.id in term.queue
            or len(term.queue) < self.context.rules.max_queued_requests
        ):
            term.queue[request.id] = QueuedRequest(grant, now)

    def _issue(
        self,
        term: LeaderTerm,
        now: int,
        sender: str,
        request: ChangeRequest,
        grant: Grant,
    ) -> list[Send]:
        version = self.context.propose(IssueGrant(grant))
        if version is None:
            return [
                self._reject(
                    sender,
                    request,
                    "this request is too large to replicate; shorten its texts",
                )
            ]
        term.queue.pop(grant.id, None)
        term.pending_grants[grant.id] = version
        term.granted_at[grant.id] = term.issued_at[grant.id] = now
        if grant.emergency_reason:
            self.context.log_grant("emergency declared", grant, grant.emergency_reason)
        return []

    def _reject(self, node: str, request: ChangeRequest, reason: str) -> Send:
        return Send(
            node,
            ChangeDeferred(
                request.id,
                self.context.committed,
                reason,
                self.context.rules.retry_after_us,
                final=True,
            ),
        )

    def _defer(
        self, node: str, request: ChangeRequest, reason: str, retry_after_us: int
    ) -> Send:
        return Send(
            node,
            ChangeDeferred(
                request.id,
                self.context.committed,
                reason[:MAX_REASON_CHARS],
                retry_after_us,
            ),
        )

    # ---- conflicts ------------------------------------------------------------------------------------

    def _conflict_reason(self, term: LeaderTerm, grant: Grant) -> str:
        """Returns why a change may not start now, and what it waits for; empty if it may."""
        for incident in self.context.state.incidents.values():
            if incident_stops(incident, grant, self.context.regions):
                reason = incident.reason[:MAX_INCIDENT_REASON_CHARS]
                return f"incident {incident.id} ({reason}) by {incident.opened_by}: wait until it is closed"
        conflicting_grants = [
            other
            for other in self.context.state.grants.values()
            if self._conflicts(grant, other)
        ]
        if conflicting_grants:
            if grant.emergency_reason:
                # An emergency revokes the grants that it conflicts with, and is granted once they have ended.
                to_revoke = [
                    blocker.id
                    for blocker in conflicting_grants
                    if not blocker.revocation_reason
                ]
                self.revocations.revoke(term, to_revoke, f"emergency {grant.id}")
            return self._wait_reason(term, conflicting_grants[0])
        if grant.emergency_reason:
            return ""
        return self._queue_wait_reason(term, grant)

    def _conflicts(self, grant: Grant, other: Grant) -> bool:
        kinds = CONFLICTS_BY_KIND.get(grant.kind, frozenset())
        return other.kind in kinds and changes_conflict(
            grant, other, self.context.regions
        )

    def _wait_reason(self, term: LeaderTerm, blocker: Grant) -> str:
        expires_at = term.granted_at[blocker.id] + blocker.duration_us
        remaining_s = (expires_at - self.context.elector.now) / 1e6
        scope = format_scope(blocker.scope)
        return f"{blocker.kind} {scope} on {blocker.node} ({blocker.id}): at most {remaining_s:.0f} s"

    def _queue_wait_reason(self, term: LeaderTerm, grant: Grant) -> str:
        """Returns which conflicting request is ahead in the queue; empty if there is none.

        The queue is in the order of first arrival.
        """
        for request_id, queued in term.queue.items():
            if request_id == grant.id:
                return ""
            if self._conflicts(grant, queued.grant):
                other = queued.grant
                return f"{other.kind} on {other.node} ({request_id}): it was requested earlier"
        return ""

    # ---- grants ---------------------------------------------------------------------------------------

    def announce_committed(self, term: LeaderTerm, grant_ids: list[str]) -> list[Send]:
        """Returns newly committed grants as messages to their nodes; skips those revoked meanwhile."""
        sends = []
        for grant_id in grant_ids:
            grant = self.context.state.grants.get(grant_id)
            if grant is not None and not grant.revocation_reason:
                self.context.counters.granted += 1
                self.context.log_grant("grant issued", grant)
                sends.append(self.grant_message(grant))
        return sends

    def grant_message(self, grant: Grant) -> Send:
        """Returns the message that announces a grant to its node."""
        return Send(
            grant.node,
            GrantIssued(
                grant.id,
                grant.token,
                self.context.committed,
                grant.request_sent_at,
                grant.duration_us,
            ),
        )

    def on_finished(
        self, term: LeaderTerm, sender: str, finished: ChangeFinished
    ) -> list[Send]:
        """Handles a node's return of its grant; acknowledged once the grant's end is committed."""
        grant = self.context.state.grants.get(finished.id)
        if grant is not None and (grant.node, grant.token) == (sender, finished.token):
            self.context.log_grant("grant finished", grant, finished.result)
            self.propose_end(term, [finished.id])
        if finished.id in term.pending_grant_ends:
            return []
        return [Send(sender, ChangeFinishedAck(finished.id, finished.token))]

    def expire(self, term: LeaderTerm, now: int) -> None:
        """Ends the grants whose duration has passed."""
        expired = [
            grant
            for grant in self.context.state.grants.values()
            if now >= term.granted_at[grant.id] + grant.duration_us
        ]
        for grant in expired:
            self.context.log_grant("grant expired", grant)
        self.propose_end(term, [grant.id for grant in expired])

    def propose_end(self, term: LeaderTerm, grant_ids: list[str]) -> None:
        """Proposes to end grants, in commands of at most `MAX_IDS_PER_COMMAND` ids."""
        for start in range(0, len(grant_ids), MAX_IDS_PER_COMMAND):
            batch = grant_ids[start : start + MAX_IDS_PER_COMMAND]
            version: StateVersion | None = self.context.propose(EndGrants(batch))
            if version is not None:
                term.pending_grant_ends |= dict.fromkeys(batch, version)


def _grant_from_request(node: str, request: ChangeRequest) -> Grant:
    return Grant(
        request.id,
        node,
        request.kind,
        request.scope,
        request.duration_us,
        request.sent_at,
        request.emergency_reason,
        request.resolves_incident,
        request.plan,
    )
