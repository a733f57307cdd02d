"""Incidents at the coordinator: opened and closed by operators or by evidence, enforced, and published.

From the moment at which an incident is open, no change that it stops is granted. It is *in force* once no
such change that was granted before can start any more: each has ended, has acknowledged its revocation, or is
past the time within which it must start (which its node counts from its request).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.conflicts import incident_stops
from loadbalancer.freeze.coordinator_context import CoordinatorContext
from loadbalancer.freeze.evidence import RECORD_KIND as BY_EVIDENCE
from loadbalancer.freeze.evidence import IncidentDecision
from loadbalancer.freeze.leader_term import LeaderTerm, PendingReply
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    IncidentList,
    OperatorCommand,
    OperatorCommandReply,
    StateVersion,
)
from loadbalancer.freeze.revocations import Revocations
from loadbalancer.freeze.scope import format_scope, parse_scope
from loadbalancer.freeze.state import (
    MAX_INCIDENTS,
    CloseIncident,
    Grant,
    Incident,
    MarkInForce,
    OpenIncident,
)

INCIDENTS_PER_MESSAGE = 2  # so that a message fits in one datagram
MAX_REASON_CHARS = 160  # longest reason or reply; the limit of `messages.Text`


class CommandResult(NamedTuple):
    """Result of an operator's command.

    Attributes:
        accepted: Whether the command was accepted.
        text: The reply to the operator.
        version: The reply is sent once this version is committed; None if the command changed nothing.
    """

    accepted: bool
    text: str
    version: StateVersion | None = None


class Incidents:
    """Opens, closes, enforces and publishes the coordinator's incidents."""

    def __init__(self, context: CoordinatorContext, revocations: Revocations) -> None:
        self.context, self.revocations = context, revocations

    # ---- opening and closing --------------------------------------------------------------------------

    def on_command(
        self, term: LeaderTerm, sender: str, command: OperatorCommand
    ) -> list[Send]:
        """Executes an operator's command; the reply is sent once its change is committed."""
        if command.id in term.pending_replies:
            return []
        if command.action == "open":
            result = self._open_by_command(term, command)
        elif command.action == "close":
            result = self._close_by_command(term, command)
        else:
            result = CommandResult(
                False, f"{command.action!r} is not an action: use open or close"
            )
        version, text = result.version, result.text[:MAX_REASON_CHARS]
        already_in_effect = version is None and result.accepted
        if already_in_effect and term.incidents_version > self.context.committed:
            version = term.incidents_version
        if version is None:
            return [self._reply(sender, command.id, result.accepted, text)]
        term.pending_replies[command.id] = PendingReply(sender, version, text)
        return []

    def _open_by_command(
        self, term: LeaderTerm, command: OperatorCommand
    ) -> CommandResult:
        return self.open(
            term,
            Incident(
                command.incident_id,
                command.scope,
                command.severity,
                command.reason,
                command.operator,
                INITIAL_VERSION,
            ),
        )

    def _close_by_command(
        self, term: LeaderTerm, command: OperatorCommand
    ) -> CommandResult:
        incident_id = command.incident_id
        if incident_id not in self.context.state.incidents:
            return CommandResult(True, f"incident {incident_id} is not open")
        version = self.close(term, incident_id, command.operator)
        text = f"incident {incident_id} is closed"
        return CommandResult(version is not None, text, version)

    def _reply(self, node: str, command_id: str, accepted: bool, text: str) -> Send:
        reply = OperatorCommandReply(command_id, self.context.committed, accepted, text)
        return Send(node, reply)

    def pop_committed_replies(self, term: LeaderTerm) -> list[Send]:
        """Removes and returns the replies to commands whose changes are committed."""
        ready = {
            command_id: reply
            for command_id, reply in term.pending_replies.items()
            if reply.version <= self.context.committed
        }
        for command_id in ready:
            del term.pending_replies[command_id]
        return [
            self._reply(reply.node, command_id, True, reply.text)
            for command_id, reply in ready.items()
        ]

    def apply_verdict(
        self, term: LeaderTerm, verdict: IncidentDecision, severity: int
    ) -> None:
        """Opens or closes an incident, as the members' reports (`evidence`) require."""
        if verdict.opens:
            scope = parse_scope(verdict.scope)
            reason = verdict.reason[:MAX_REASON_CHARS]
            incident = Incident(
                verdict.incident_id,
                scope,
                severity,
                reason,
                BY_EVIDENCE,
                INITIAL_VERSION,
            )
            self.open(term, incident)
        elif verdict.incident_id in self.context.state.incidents:
            self.close(term, verdict.incident_id, BY_EVIDENCE)

    def open(self, term: LeaderTerm, incident: Incident) -> CommandResult:
        """Proposes to open an incident, and revokes the grants that it stops."""
        incidents = self.context.state.incidents
        existing = incidents.get(incident.id)
        if existing is not None:
            term_number, index = existing.opened_version
            text = (
                f"incident {incident.id} has been open since ({term_number}, {index})"
            )
            return CommandResult(True, text)
        if len(incidents) >= MAX_INCIDENTS:
            text = f"{MAX_INCIDENTS} incidents are open; close one first"
            return CommandResult(False, text)
        version = self.context.propose(OpenIncident(incident))
        if version is None:
            return CommandResult(
                False, "the incident is too large to replicate; shorten its reason"
            )
        term.incidents_version = term.pending_openings[incident.id] = version
        self.context.log_event(
            "incident opened",
            incident.reason,
            id=incident.id,
            scope=format_scope(incident.scope),
            severity=incident.severity,
            by=incident.opened_by,
        )
        self.revoke_stopped_grants(term)
        return CommandResult(True, f"incident {incident.id} is open", version)

    def close(
        self, term: LeaderTerm, incident_id: str, closed_by: str
    ) -> StateVersion | None:
        """Closes an incident; returns the version to wait for, or None if it could not be proposed."""
        version = self.context.propose(CloseIncident(incident_id))
        if version is not None:
            term.incidents_version = version
            term.pending_in_force.pop(incident_id, None)
            term.pending_openings.pop(incident_id, None)
            self.context.log_event("incident closed", id=incident_id, by=closed_by)
        return version

    # ---- enforcement ----------------------------------------------------------------------------------

    def revoke_stopped_grants(self, term: LeaderTerm) -> None:
        """Revokes the grants that any open incident stops."""
        for incident in self.context.state.incidents.values():
            grant_ids = [
                grant.id
                for grant in self.context.state.grants.values()
                if not grant.revocation_reason
                and incident_stops(incident, grant, self.context.regions)
            ]
            self.revocations.revoke(term, grant_ids, f"incident {incident.id}")

    def mark_in_force(self, term: LeaderTerm, now: int) -> None:
        """Proposes `MarkInForce` for each incident whose stopped changes can no longer start."""
        for incident in list(self.context.state.incidents.values()):
            if incident.in_force or incident.id in term.pending_in_force:
                continue
            may_start = any(
                incident_stops(incident, grant, self.context.regions)
                and self._may_start(term, now, grant)
                for grant in self.context.state.grants.values()
            )
            if may_start:
                continue
            version = self.context.propose(MarkInForce(incident.id))
            if version is not None:
                term.pending_in_force[incident.id] = version

    def _may_start(self, term: LeaderTerm, now: int, grant: Grant) -> bool:
        """Whether a granted change may still start; one of an earlier term cannot (see `coordinator`)."""
        if grant.id in term.acknowledged_revocations or grant.id not in term.issued_at:
            return False
        begin_within_us = self.context.rules.begin_within_us
        return now < term.issued_at[grant.id] + begin_within_us

    def next_deadlines(self, term: LeaderTerm, now: int) -> list[int]:
        """Returns the times at which an incident may come into force."""
        not_in_force_count = sum(
            not incident.in_force for incident in self.context.state.incidents.values()
        )
        if len(term.pending_in_force) >= not_in_force_count:
            return []
        begin_within_us = self.context.rules.begin_within_us
        return [
            issued_at + begin_within_us
            for issued_at in term.issued_at.values()
            if issued_at + begin_within_us > now
        ]

    # ---- notification ---------------------------------------------------------------------------------

    def notifications(
        self, term: LeaderTerm, now: int, members: Sequence[str]
    ) -> list[Send]:
        """Returns all open incidents for every member, if they have changed or the interval has passed."""
        if term.incidents_version > self.context.committed:
            return []
        changed = term.notified_version != term.incidents_version
        if not changed and now < term.next_notification_at:
            return []
        term.notified_version = term.incidents_version
        term.next_notification_at = now + self.context.rules.notify_interval_us
        messages = self._incident_lists(term)
        return [Send(name, message) for name in members for message in messages]

    def _incident_lists(self, term: LeaderTerm) -> list[IncidentList]:
        notices = [
            incident.notice() for incident in self.context.state.incidents.values()
        ]
        count = max(1, -(-len(notices) // INCIDENTS_PER_MESSAGE))
        return [
            IncidentList(
                self.context.committed,
                term.incidents_version,
                index,
                count,
                notices[
                    index * INCIDENTS_PER_MESSAGE : (index + 1) * INCIDENTS_PER_MESSAGE
                ],
            )
            for index in range(count)
        ]
