"""A node's client of the coordinator: requests a grant before the node makes a change.

The node checks every grant before it acts on it: that no message of a newer coordinator has arrived, that the
fencing token is higher than every token that it has accepted or seen revoked in that scope, that the time
within which the change must start has not passed (the process may have been stopped, or the datagram
delayed), and that no incident that it knows of stops the change. An active change must stop as soon as the
node learns of such an incident, by revocation or by notification, and when its grant expires.

If no coordinator answers, a request is decided locally after a fixed time, by the rule for its kind of change
(`no_coordinator`).

This module does no I/O: it takes messages and monotonic microseconds, and returns messages to send and
outcomes (`FreezeClient.drain`).
"""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.freeze import no_coordinator
from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.client_state import (
    ActiveChange,
    PendingFinish,
    PendingRequest,
    RequestedChange,
    RequestOutcome,
)
from loadbalancer.freeze.fencing import FencingTokens
from loadbalancer.freeze.known_incidents import KnownIncidents
from loadbalancer.freeze.locator import CoordinatorLocator
from loadbalancer.freeze.messages import (
    ChangeDeferred,
    ChangeFinished,
    ChangeFinishedAck,
    CoordinatorMessage,
    FreezeMessage,
    GrantIssued,
    IncidentList,
    IncidentNotice,
    OperatorCommand,
    RedirectToLeader,
    Revocation,
    RevocationAck,
    StateVersion,
)
from loadbalancer.freeze.operator_commands import OperatorCommands
from loadbalancer.freeze.outcomes import Outcomes
from loadbalancer.freeze.request_id import parse_request_id
from loadbalancer.freeze.rules import ClientRules

MAX_PENDING = 256  # pending requests, and also unacknowledged returns of grants
MAX_BACKOFF_DOUBLINGS = 3  # the retry interval grows to eight times its initial value
# Repeats of a grant's return; if none is acknowledged, the grant expires on its own.
MAX_FINISH_ATTEMPTS = 20


class FreezeClient:
    """One node's requests, its grants, and the open incidents that it knows of.

    Attributes:
        name: Name of the node.
        rules: Intervals, timeouts and the electors.
        regions: The region of each zone.
        now: Latest time that a caller has passed, in monotonic microseconds.
        started_at: Time of the first call, in monotonic microseconds; 0 before it.
        pending: Requests without an outcome, by change id.
        active: Changes in progress under a grant, by change id.
        finishing: Grants whose return is not acknowledged, by message id.
        outcomes: Outcomes that `drain` returns, and recent final ones.
        incidents: Open incidents as the coordinator last reported them.
        locator: The known coordinator, and where to send the next message.
        fences: Highest fencing token accepted or seen revoked in each scope.
        commands: Operators' commands that have no reply.
    """

    def __init__(
        self, name: str, rules: ClientRules, regions: Mapping[str, str]
    ) -> None:
        self.name, self.rules, self.regions = name, rules, regions
        self.now = 0
        self.started_at = 0
        self.pending: dict[str, PendingRequest] = {}
        self.active: dict[str, ActiveChange] = {}
        self.finishing: dict[str, PendingFinish] = {}
        self.outcomes = Outcomes()
        self.incidents = KnownIncidents()
        self.locator = CoordinatorLocator(rules.electors)
        self.fences = FencingTokens()
        self.commands = OperatorCommands(
            self.locator, self.outcomes, rules.retry_interval_us
        )

    # ---- called by the host ---------------------------------------------------------------------------

    def set_rules(self, rules: ClientRules, regions: Mapping[str, str]) -> None:
        """Replaces the rules; pending requests and active changes continue under the new ones."""
        self.rules, self.regions = rules, regions
        self.locator.electors = rules.electors
        self.commands.retry_interval_us = rules.retry_interval_us

    def request(self, now: int, change: RequestedChange) -> list[Send]:
        """Requests a grant for a change.

        For the id of an active change, or of a request with a final outcome, that outcome is reported again;
        for the id of a pending request, nothing happens.
        """
        self._advance_clock(now)
        active = self.active.get(change.id)
        if active is not None:
            self.outcomes.allowed(change.id, active.token, active.token.term)
        elif not self.outcomes.repeat(change.id) and change.id not in self.pending:
            return self._start_request(change)
        return []

    def _start_request(self, change: RequestedChange) -> list[Send]:
        if len(self.pending) >= MAX_PENDING:
            reason = "this node has too many pending requests"
            retry_after_us = self.rules.coordinator.busy_retry_after_us
            self.outcomes.deferred(change.id, reason, retry_after_us)
            return []
        request = PendingRequest(change, self.now, self.now + change.wait_us)
        self.pending[change.id] = request
        return self._send_request(request)

    def finish(self, now: int, change_id: str, result: str) -> list[Send]:
        """Ends a change, completed or stopped after its revocation, and returns its grant."""
        self._advance_clock(now)
        active = self.active.pop(change_id, None)
        if active is None:
            self.pending.pop(change_id, None)
            return []
        self.outcomes.finished(change_id, result, active.token)
        return self._return_grant(active.message_id, active.token, result)

    def may_continue(self, now: int, change_id: str) -> bool:
        """Returns whether a change may continue; callers check before each of its steps.

        After a pause of the process the grant may have expired unnoticed.
        """
        active = self.active.get(change_id)
        return (
            active is not None
            and not active.revocation_reason
            and max(self.now, now) < active.expires_at
        )

    def command(
        self, now: int, command: OperatorCommand, timeout_us: int
    ) -> list[Send]:
        """Sends an operator's command; its outcome is ALLOWED or REJECTED."""
        self._advance_clock(now)
        if not self.commands.add(self.now, command, timeout_us):
            return []
        return self.tick(now)

    def tick(self, now: int) -> list[Send]:
        """Sends due retries, expires grants, and decides requests that no coordinator answers."""
        self._advance_clock(now)
        sends: list[Send] = []
        for active in list(self.active.values()):
            if self.now >= active.expires_at:
                sends += self._expire(active)
        for request in list(self.pending.values()):
            if self.now >= self._decide_locally_at(request):
                self._decide_locally(request)
            elif self.now >= request.due_at:
                sends += self._send_request(request)
        for message_id, finish in list(self.finishing.items()):
            if self.now >= finish.due_at:
                sends.append(self._repeat_finish(message_id, finish))
        return [*sends, *self.commands.tick(self.now)]

    def next_deadline(self) -> int | None:
        """Returns when `tick` is next due, in monotonic microseconds; None if nothing is pending."""
        times = [active.expires_at for active in self.active.values()]
        times += [
            min(request.due_at, self._decide_locally_at(request))
            for request in self.pending.values()
        ]
        times += [finish.due_at for finish in self.finishing.values()]
        times += self.commands.deadlines()
        return min(times, default=None)

    def drain(self) -> list[RequestOutcome]:
        """Returns the outcomes reported since the last call."""
        return self.outcomes.drain()

    def open_incidents(self) -> list[IncidentNotice]:
        """Returns the known open incidents, which stop changes at this node.

        It returns none once no message of a coordinator has arrived for `incident_lifetime_us`.
        """
        if self.now >= self.locator.last_contact_at + self.rules.incident_lifetime_us:
            return []
        return list(self.incidents.by_id.values())

    # ---- messages -------------------------------------------------------------------------------------

    def receive(self, now: int, sender: str, message: FreezeMessage) -> list[Send]:
        """Handles a message of a coordinator, or a redirect from a node that does not coordinate."""
        self._advance_clock(now)
        if isinstance(message, RedirectToLeader):
            return self._on_redirect(sender, message)
        if isinstance(message, ChangeFinishedAck):
            self._on_finished_ack(message)
        elif (
            isinstance(message, CoordinatorMessage)
            and sender in self.rules.electors
            and self._is_current(sender, message.as_of.term)
        ):
            return self._on_coordinator_message(sender, message)
        return []

    def _on_coordinator_message(
        self, sender: str, message: CoordinatorMessage
    ) -> list[Send]:
        if isinstance(message, GrantIssued):
            return self._on_grant(message)
        if isinstance(message, Revocation):
            return self._on_revocation(sender, message)
        if isinstance(message, ChangeDeferred):
            self._on_deferred(message)
        elif isinstance(message, IncidentList):
            self._on_incidents(message)
        else:
            self.commands.on_reply(message)
        return []

    def _is_current(self, sender: str, term: int) -> bool:
        """Records the sender as coordinator; returns False for a message of an earlier term.

        With a new term all pending requests become due at once.
        """
        if self.locator.is_stale(term):
            return False
        if term > self.locator.term:
            for request in self.pending.values():
                request.due_at, request.attempts = min(request.due_at, self.now), 0
        self.locator.record_contact(self.now, sender, term)
        return True

    def _on_redirect(self, sender: str, redirect: RedirectToLeader) -> list[Send]:
        if not self.locator.redirect(sender, redirect):
            return []
        return [
            send
            for request in self.pending.values()
            for send in self._send_request(request)
        ]

    def _on_finished_ack(self, ack: ChangeFinishedAck) -> None:
        finish = self.finishing.get(ack.id)
        if finish is not None and finish.message.token == ack.token:
            del self.finishing[ack.id]

    def _on_grant(self, grant: GrantIssued) -> list[Send]:
        request = self._request_by_message_id(grant.id)
        if request is None:
            if any(active.message_id == grant.id for active in self.active.values()):
                return []
            return self._return_grant(
                grant.id, grant.token, "the request is no longer pending"
            )
        request.answered_at, request.attempts = self.now, 0
        refusal = self._grant_refusal(request, grant)
        if refusal:
            sends = self._return_grant(request.message_id, grant.token, refusal)
            request.reissue(refusal, self.now)
            return sends
        self._activate(request, grant)
        return []

    def _grant_refusal(self, request: PendingRequest, grant: GrantIssued) -> str:
        """Returns why the change must not start under this grant; empty if it may."""
        change, sent_at = request.change, grant.request_sent_at
        start_within_us = self.rules.local_duration_us(
            self.rules.coordinator.begin_within_us
        )
        fence = self.fences.highest(change.scope)
        if not request.started_at <= sent_at <= self.now:
            return "it answers a request from before this node restarted"
        if self.now >= sent_at + start_within_us:
            return "it arrived too late for the change to start"
        if grant.token <= fence:
            return f"its token is not above the highest seen, ({fence.term}, {fence.log_index})"
        if self._stopping_incident(change) is not None:
            return "an incident has opened"
        return ""

    def _activate(self, request: PendingRequest, grant: GrantIssued) -> None:
        change = request.change
        del self.pending[change.id]
        self.fences.raise_to(change.scope, grant.token)
        expires_at = grant.request_sent_at + self.rules.local_duration_us(
            grant.duration_us
        )
        self.active[change.id] = ActiveChange(
            change, request.message_id, grant.token, expires_at
        )
        self.outcomes.allowed(change.id, grant.token, self.locator.term)

    def _on_deferred(self, deferred: ChangeDeferred) -> None:
        request = self._request_by_message_id(deferred.id)
        if request is None:
            return
        change_id = request.change.id
        request.answered_at, request.attempts = self.now, 0
        request.reason = deferred.reason
        request.due_at = self.now + deferred.retry_after_us
        if deferred.final:
            del self.pending[change_id]
            self.outcomes.rejected(change_id, deferred.reason)
        elif self.now >= request.wait_until:
            del self.pending[change_id]
            self.outcomes.deferred(change_id, deferred.reason, deferred.retry_after_us)

    def _on_revocation(self, sender: str, revocation: Revocation) -> list[Send]:
        ack = Send(sender, RevocationAck(revocation.id, revocation.token))
        active = self.active.get(parse_request_id(revocation.id).base)
        if active is not None and active.message_id == revocation.id:
            self._stop(active, revocation.reason)
            return [ack]
        request = self._request_by_message_id(revocation.id)
        if request is not None:
            # The grant has not arrived yet; without the fence, the change would start all the same.
            self.fences.raise_to(request.change.scope, revocation.token)
            retry_at = self.now + self.rules.coordinator.retry_after_us
            request.reissue(revocation.reason, retry_at)
        result = "stopped before it started"
        return [ack, *self._return_grant(revocation.id, revocation.token, result)]

    def _on_incidents(self, notification: IncidentList) -> None:
        notices = self.incidents.update(notification)
        for active in self.active.values():
            for notice in notices:
                if active.change.stopped_by(notice, self.regions):
                    self._stop(active, f"incident {notice.id}")
                    break

    # ---- sending --------------------------------------------------------------------------------------

    def _send_request(self, request: PendingRequest) -> list[Send]:
        request.attempts += 1
        doublings = min(request.attempts - 1, MAX_BACKOFF_DOUBLINGS)
        request.due_at = self.now + (self.rules.retry_interval_us << doublings)
        return [Send(self.locator.target(request.attempts), request.message(self.now))]

    def _repeat_finish(self, message_id: str, finish: PendingFinish) -> Send:
        finish.attempts += 1
        finish.due_at = self.now + self.rules.retry_interval_us
        if finish.attempts >= MAX_FINISH_ATTEMPTS:
            del self.finishing[message_id]
        return Send(self.locator.target(finish.attempts), finish.message)

    def _return_grant(
        self, message_id: str, token: StateVersion, result: str
    ) -> list[Send]:
        message = ChangeFinished(message_id, token, result)
        due_at = self.now + self.rules.retry_interval_us
        self.finishing[message_id] = PendingFinish(message, due_at)
        while len(self.finishing) > MAX_PENDING:
            del self.finishing[next(iter(self.finishing))]
        return [Send(self.locator.target(0), message)]

    # ---- stop and expiry of changes -------------------------------------------------------------------

    def _stop(self, active: ActiveChange, reason: str) -> None:
        """Reports that an active change must stop, unless that was reported before."""
        if not active.revocation_reason:
            active.revocation_reason = reason
            self.outcomes.revoked(active.change.id, reason, active.token)

    def _expire(self, active: ActiveChange) -> list[Send]:
        """Stops a change whose grant has expired; it may be requested again, but only under another id."""
        reason = "the grant has expired"
        del self.active[active.change.id]
        self._stop(active, reason)
        self.outcomes.finished(active.change.id, reason, active.token)
        return self._return_grant(active.message_id, active.token, reason)

    # ---- without a coordinator ------------------------------------------------------------------------

    def _decide_locally_at(self, request: PendingRequest) -> int:
        """Returns when a request is decided without a coordinator, in monotonic microseconds."""
        rule = self.rules.no_coordinator[request.change.kind.value]
        return max(request.started_at, request.answered_at) + rule.answer_after_us

    def _decide_locally(self, request: PendingRequest) -> None:
        change = request.change
        rule = self.rules.no_coordinator[change.kind.value]
        silence_us = self.now - max(self.locator.last_contact_at, self.started_at)
        decision = no_coordinator.decide(
            rule, silence_us, self._stopping_incident(change), self.rules.electors
        )
        del self.pending[change.id]
        if decision.proceeds:
            self.outcomes.allowed_without_grant(change.id, decision.reason)
        else:
            self.outcomes.deferred(change.id, decision.reason, rule.answer_after_us)

    def _stopping_incident(self, change: RequestedChange) -> IncidentNotice | None:
        for incident in self.open_incidents():
            if change.stopped_by(incident, self.regions):
                return incident
        return None

    # ---- small helpers --------------------------------------------------------------------------------

    def _advance_clock(self, now: int) -> None:
        """Updates the clock at the start of each call; it never goes back."""
        self.now = max(self.now, now)
        self.started_at = self.started_at or self.now

    def _request_by_message_id(self, message_id: str) -> PendingRequest | None:
        """Returns the pending request with this id in messages; None for an earlier issue of it."""
        request = self.pending.get(parse_request_id(message_id).base)
        if request is None or request.message_id != message_id:
            return None
        return request
