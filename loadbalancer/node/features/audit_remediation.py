"""Carries out remediations: requests for endpoint lists, hints to members, quarantine and rejoin."""

from __future__ import annotations

from loadbalancer.audit import endpoint_transfer
from loadbalancer.audit.remediation import Remediation, RemediationKind
from loadbalancer.audit.status import QuarantineState, VersionId
from loadbalancer.node.features.audit_context import AuditContext
from loadbalancer.node.features.endpoint_lines import EndpointExchange
from loadbalancer.node.features.feature import Answer, Change

# Minimum time between two requests to discovery that hints cause.
HINT_INTERVAL_US = 1_000_000


class RemediationRunner:
    """Carries out remediations, and handles hints of other nodes.

    Attributes:
        context: State that the modules of the audit share.
        endpoint_exchange: Fetches endpoint lists from agents and peers.
        quarantined: Whether the audit has quarantined this node.
    """

    def __init__(
        self, context: AuditContext, endpoint_exchange: EndpointExchange
    ) -> None:
        self.context = context
        self.endpoint_exchange = endpoint_exchange
        self.quarantined = False
        self._last_hint_at = 0

    def perform(self, remediation: Remediation, now: int) -> None:
        """Carries out one remediation (`now` in monotonic microseconds)."""
        if remediation.kind is RemediationKind.NOTIFY:
            self._notify(remediation)
            return
        self.context.host.log_event(
            "audit remediation started",
            kind=remediation.kind.value,
            reason=remediation.reason,
            member=remediation.member,
            after_deadline_s=self.context.evaluator.deadline_age_s(now),
        )
        if remediation.kind is RemediationKind.QUARANTINE:
            self._request_quarantine(remediation.reason)
        elif remediation.kind is RemediationKind.REJOIN:
            self.rejoin(remediation.reason)
        else:
            self._request_list(remediation)

    def on_hint(self, target: VersionId) -> None:
        """Handles a hint that this node is outdated: asks its discovery immediately, at most once a second.

        Args:
            target: The version that the sender of the hint knows.
        """
        local, now = self.context.endpoints.local, self.context.host.now()
        own = local.list_version
        is_behind = (
            own is not None
            and own.origin == target.origin
            and own.number < target.number
        )
        if not is_behind or now - self._last_hint_at < HINT_INTERVAL_US:
            return
        self._last_hint_at = now
        local.hinted = True
        if self.context.evaluator.remediator.catch_up.attempt is None:
            # The node has not detected this itself: messages to it may be lost.
            self.context.counters.own_discovery_asked += 1
            self.context.host.fetch_endpoint_list()

    # ---- requests to others ---------------------------------------------------------------------------

    def _notify(self, remediation: Remediation) -> None:
        address = self.context.host.member_address(remediation.member)
        channel, target = self.endpoint_exchange.channel, remediation.target
        if address is None or channel is None or target is None:
            return
        self.context.counters.notified += 1
        hint = endpoint_transfer.encode(endpoint_transfer.OutdatedHint(target))
        channel.send(hint, address)

    def _request_list(self, remediation: Remediation) -> None:
        counters, target = self.context.counters, remediation.target
        if remediation.kind is RemediationKind.POLL_DISCOVERY:
            counters.own_discovery_asked += 1
            self.context.endpoints.local.hinted = False
            self.context.host.fetch_endpoint_list()
        elif target is None:
            return
        elif remediation.kind is RemediationKind.REQUEST_FROM_AGENT:
            counters.agents_asked += 1
            agent = self.context.table.agent_addresses()[remediation.agent_index]
            self.endpoint_exchange.fetch_from_agent(agent, target)
        elif remediation.kind is RemediationKind.REQUEST_FROM_PEER:
            counters.peers_asked += 1
            self.endpoint_exchange.fetch_from_peer(remediation.member, target)

    # ---- quarantine -----------------------------------------------------------------------------------

    def _request_quarantine(self, reason: str) -> None:
        host = self.context.host
        host.request_change(
            Change.SHUT_OUT,
            host.name,
            lambda answer: self._on_quarantine_answer(answer, reason),
        )

    def _on_quarantine_answer(self, answer: Answer, reason: str) -> None:
        context, now = self.context, self.context.host.now()
        remediator = context.evaluator.remediator
        if context.stopped or remediator.quarantine.state != QuarantineState.REQUESTED:
            return
        if not answer.allowed:
            context.counters.rejected += 1
            context.host.log_event(
                "audit remediation deferred", kind="quarantine", reason=answer.reason
            )
        remediator.quarantine_decided(now, answer.allowed)
        if answer.allowed:
            self._quarantine(answer, reason, now)

    def _quarantine(self, answer: Answer, reason: str, now: int) -> None:
        context, token = self.context, answer.fencing_token
        context.counters.quarantined += 1
        self.quarantined = True
        context.store.ledger.record_action("shut-out", reason, now, token)
        context.host.log_event(
            "audit quarantine started",
            reason=reason,
            slot=context.evaluator.remediator.quarantine.slot,
            grant=token,
        )
        context.host.set_quarantined(True, f"audit: {reason}")

    def rejoin(self, reason: str) -> None:
        """Ends the quarantine; `reason` goes to the log and the ledger."""
        context = self.context
        context.counters.rejoined += 1
        self.quarantined = False
        context.store.ledger.record_action("let-in", reason, context.host.now())
        context.host.log_event("audit quarantine ended", reason=reason)
        context.host.set_quarantined(False, reason)
