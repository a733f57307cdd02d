"""The coordinator beside the elected leader: answers requests for changes, and opens and closes incidents.

Nothing is told to a node before a majority of electors holds it.

What it knows beside the replicated state is volatile (`leader_term`): a new coordinator starts with the state
alone. No grant that it inherits can still be begun: its issuer held a lease after the request was sent, and
`begin_within_us` is at most a lease. So a new coordinator may grant at once, and no grant of the one before
begins beside its own.

Pure: messages and monotonic microseconds in, messages to send out.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loadbalancer.freeze.actions import FreezeEvent, Send
from loadbalancer.freeze.coordinator_context import CoordinatorContext, RequestCounters
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.evidence import IncidentDecision
from loadbalancer.freeze.grants import Grants
from loadbalancer.freeze.incidents import Incidents
from loadbalancer.freeze.leader_term import LeaderTerm, take_committed
from loadbalancer.freeze.messages import (
    ChangeFinished,
    ChangeRequest,
    OperatorCommand,
    RevocationAck,
)
from loadbalancer.freeze.revocations import Revocations
from loadbalancer.freeze.rules import CoordinatorRules
from loadbalancer.freeze.state import FreezeState


class Coordinator:
    """One node's coordinator, beside its elector; idle while that does not lead.

    Attributes:
        members: All nodes to notify of incidents, this one too.
        term: What it knows in its present term; None while it does not coordinate.
    """

    def __init__(
        self,
        elector: Elector,
        state: FreezeState,
        rules: CoordinatorRules,
        regions: Mapping[str, str],
    ) -> None:
        self.elector, self.state, self.rules = elector, state, rules
        self.context = CoordinatorContext(elector, state, rules, regions)
        self.revocations = Revocations(self.context)
        self.grants = Grants(self.context, self.revocations)
        self.incidents = Incidents(self.context, self.revocations)
        self.members: Sequence[str] = ()
        self.term: LeaderTerm | None = None

    @property
    def counters(self) -> RequestCounters:
        """Answers to requests."""
        return self.context.counters

    def drain(self) -> list[FreezeEvent]:
        """Returns the events since the last call."""
        events, self.context.events = self.context.events, []
        return events

    # ---- time -----------------------------------------------------------------------------------------

    def current_term(self, now: int) -> LeaderTerm | None:
        """The present term, if this node coordinates at this moment."""
        if not self.elector.is_leading(now):
            self.term = None
            return None
        if self.term is None or self.term.term != self.elector.term:
            self.term = self._begin_term(now)
        return self.term

    def _begin_term(self, now: int) -> LeaderTerm:
        term = LeaderTerm(
            self.elector.term,
            # Inherited grants count as issued as late as they can have been.
            granted_at=dict.fromkeys(self.state.grants, now),
            incidents_version=self.elector.leadership.term_start_version,
        )
        self.context.log_event(
            "coordinator started",
            f"{len(self.state.incidents)} incidents, {len(self.state.grants)} grants",
        )
        return term

    def tick(self, now: int) -> list[Send]:
        """Does what is due: expiry, revocations, incidents that come into force, notifications."""
        term = self.current_term(now)
        if term is None:
            return []
        self.grants.expire(term, now)
        self.incidents.revoke_stopped(term)
        self.incidents.mark_in_force(term, now)
        self._drop_abandoned_requests(term, now)
        return [
            *self._announce_committed(term),
            *self.revocations.due_messages(term, now),
            *self.incidents.notifications(term, now, self.members),
        ]

    def next_deadline(self) -> int | None:
        """When `tick` should next be called; None where this node does not coordinate."""
        term, now = self.term, self.elector.now
        if term is None:
            return None
        # Notifications that wait for a majority are looked at when its answers come.
        waits = term.incidents_version > self.elector.committed_version
        soon = now + self.rules.notify_interval_us
        times = [soon if waits else term.next_notification_at]
        times += [
            term.granted_at[grant_id] + grant.duration_us
            for grant_id, grant in self.state.grants.items()
            if grant_id in term.granted_at
        ]
        times += self.revocations.next_deadlines(term)
        times += self.incidents.next_deadlines(term, now)
        return max(now, min(times))

    def _drop_abandoned_requests(self, term: LeaderTerm, now: int) -> None:
        timeout_us = self.rules.queue_timeout_us
        abandoned = [
            request_id
            for request_id, queued in term.queue.items()
            if now >= queued.requested_at + timeout_us
        ]
        for request_id in abandoned:
            del term.queue[request_id]

    def _announce_committed(self, term: LeaderTerm) -> list[Send]:
        """Tells those concerned what a majority has come to hold."""
        committed = self.elector.committed_version
        granted = take_committed(term.pending_grants, committed)
        sends = self.grants.announce_committed(term, granted)
        sends += self.incidents.replies_committed(term)
        for grant_id in take_committed(term.ending_grants, committed):
            term.forget_grant(grant_id)
        for incident_id in take_committed(term.entering_force, committed):
            self.context.log_event("incident enforced", id=incident_id)
        for incident_id in take_committed(term.opening, committed):
            self.context.log_event(
                "incident committed", "a majority holds it", id=incident_id
            )
        return sends

    # ---- messages -------------------------------------------------------------------------------------

    def on_change_request(
        self, now: int, sender: str, request: ChangeRequest
    ) -> list[Send]:
        """Answers a node's request for a change."""
        term = self.current_term(now)
        if term is None:
            return [self.context.redirect(sender)]
        return self.grants.on_request(term, now, sender, request)

    def on_change_finished(
        self, now: int, sender: str, finished: ChangeFinished
    ) -> list[Send]:
        """A node gives a grant back."""
        term = self.current_term(now)
        if term is None:
            return []
        return self.grants.on_finished(term, sender, finished)

    def on_revocation_ack(
        self, now: int, sender: str, ack: RevocationAck
    ) -> list[Send]:
        """A node has stopped a change whose grant was revoked."""
        term = self.current_term(now)
        if term is not None:
            self.revocations.on_ack(term, sender, ack)
        return []

    def on_operator_command(
        self, now: int, sender: str, command: OperatorCommand
    ) -> list[Send]:
        """An operator opens or closes an incident."""
        term = self.current_term(now)
        if term is None:
            return [self.context.redirect(sender)]
        return self.incidents.on_command(term, sender, command)

    def on_verdict(self, now: int, verdict: IncidentDecision, severity: int) -> None:
        """Opens or closes an incident by evidence; sent at the next `tick`."""
        term = self.current_term(now)
        if term is not None:
            self.incidents.apply_verdict(term, verdict, severity)
