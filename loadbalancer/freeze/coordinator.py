"""The coordinator on the elected leader: answers requests for changes, and opens and closes incidents.

No decision is sent to a node before a majority of electors has stored it.

What the coordinator knows beside the replicated state is volatile (`leader_term`): a new coordinator starts
from the replicated state only. No change whose grant it inherits can still start: the previous coordinator
held a lease after the request was sent, and `begin_within_us` is at most a lease. So a new coordinator may
issue grants at once, and no change granted by its predecessor can start alongside its own.

The coordinator does no I/O: it takes messages and monotonic microseconds, and returns messages to send.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loadbalancer.freeze.actions import FreezeEvent, Send
from loadbalancer.freeze.coordinator_context import CoordinatorContext, RequestCounters
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.evidence import IncidentDecision
from loadbalancer.freeze.grants import Grants
from loadbalancer.freeze.incidents import Incidents
from loadbalancer.freeze.leader_term import LeaderTerm, pop_committed
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
    """One node's coordinator, paired with its elector; idle while the elector does not lead.

    Attributes:
        members: Names of all nodes to notify of incidents, including this one.
        term: Its volatile state in the current term; None while it does not coordinate.
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
        """Counters of the answers to requests."""
        return self.context.counters

    def pop_events(self) -> list[FreezeEvent]:
        """Returns the events since the last call."""
        events, self.context.events = self.context.events, []
        return events

    # ---- time -----------------------------------------------------------------------------------------

    def current_term(self, now: int) -> LeaderTerm | None:
        """Returns the state of the current term if this node coordinates at time `now`, else None."""
        if not self.elector.is_leading(now):
            self.term = None
            return None
        if self.term is None or self.term.term != self.elector.term:
            self.term = self._start_term(now)
        return self.term

    def _start_term(self, now: int) -> LeaderTerm:
        term = LeaderTerm(
            self.elector.term,
            # Inherited grants count as issued now, the latest time that is possible.
            granted_at=dict.fromkeys(self.state.grants, now),
            incidents_version=self.elector.leadership.term_start_version,
        )
        self.context.log_event(
            "coordinator started",
            f"{len(self.state.incidents)} incidents, {len(self.state.grants)} grants",
        )
        return term

    def tick(self, now: int) -> list[Send]:
        """Executes what is due: expiry, revocations, incidents that come into force, notifications."""
        term = self.current_term(now)
        if term is None:
            return []
        self.grants.expire(term, now)
        self.incidents.revoke_stopped_grants(term)
        self.incidents.mark_in_force(term, now)
        self._drop_abandoned_requests(term, now)
        return [
            *self._announce_committed(term),
            *self.revocations.due_messages(term, now),
            *self.incidents.notifications(term, now, self.members),
        ]

    def next_deadline(self) -> int | None:
        """Returns when `tick` should next be called; None if this node does not coordinate."""
        term, now = self.term, self.elector.now
        if term is None:
            return None
        # A notification that waits for a commit is sent by the tick that follows the electors' answers.
        awaits_commit = term.incidents_version > self.elector.committed_version
        next_check_at = now + self.rules.notify_interval_us
        deadlines = [next_check_at if awaits_commit else term.next_notification_at]
        deadlines += [
            term.granted_at[grant_id] + grant.duration_us
            for grant_id, grant in self.state.grants.items()
            if grant_id in term.granted_at
        ]
        deadlines += self.revocations.next_deadlines(term)
        deadlines += self.incidents.next_deadlines(term, now)
        return max(now, min(deadlines))

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
        """Returns the messages and logs the events that newly committed commands lead to."""
        committed = self.elector.committed_version
        committed_grants = pop_committed(term.pending_grants, committed)
        sends = self.grants.announce_committed(term, committed_grants)
        sends += self.incidents.pop_committed_replies(term)
        for grant_id in pop_committed(term.pending_grant_ends, committed):
            term.drop_grant(grant_id)
        for incident_id in pop_committed(term.pending_in_force, committed):
            self.context.log_event("incident enforced", id=incident_id)
        for incident_id in pop_committed(term.pending_openings, committed):
            self.context.log_event(
                "incident committed", "a majority has stored it", id=incident_id
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
        """Handles a node's return of its grant."""
        term = self.current_term(now)
        if term is None:
            return []
        return self.grants.on_finished(term, sender, finished)

    def on_revocation_ack(
        self, now: int, sender: str, ack: RevocationAck
    ) -> list[Send]:
        """Handles a node's report that it has stopped a change whose grant was revoked."""
        term = self.current_term(now)
        if term is not None:
            self.revocations.on_ack(term, sender, ack)
        return []

    def on_operator_command(
        self, now: int, sender: str, command: OperatorCommand
    ) -> list[Send]:
        """Handles an operator's command to open or close an incident."""
        term = self.current_term(now)
        if term is None:
            return [self.context.redirect(sender)]
        return self.incidents.on_command(term, sender, command)

    def on_verdict(self, now: int, verdict: IncidentDecision, severity: int) -> None:
        """Opens or closes an incident by evidence; members are notified by a later `tick`."""
        term = self.current_term(now)
        if term is not None:
            self.incidents.apply_verdict(term, verdict, severity)
