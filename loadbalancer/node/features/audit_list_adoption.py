"""Adopts an endpoint list from an agent or a peer, once a quorum of the members holds its content."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.audit.ledger_entries import VersionKey
from loadbalancer.audit.status import VersionId
from loadbalancer.node.discovery.endpoint_list_codec import Line
from loadbalancer.node.features.audit_context import (
    US_PER_S,
    AuditContext,
    CatchUpMethod,
)
from loadbalancer.node.features.audit_endpoints import ListDifference
from loadbalancer.node.features.feature import Answer, Change, VersionSource


@dataclass(frozen=True)
class OfferedList:
    """A list that an agent or a peer has sent.

    Attributes:
        target: The version that the remediator wants to reach.
        source: Name or address of the sender.
        method: The kind of sender.
        difference: The changes that lead from this node's list to the offered one.
        received_at: Time of receipt in monotonic microseconds.
        deadline: Time until which this node's own discovery was awaited, in monotonic microseconds.
    """

    target: VersionId
    source: str
    method: CatchUpMethod
    difference: ListDifference
    received_at: int
    deadline: int


class ListAdopter:
    """Applies lists from others: departures and drains immediately, new endpoints once that is approved.

    Attributes:
        context: State that the modules of the audit share.
    """

    def __init__(self, context: AuditContext) -> None:
        self.context = context
        self._approval_pending = False

    def adopt(
        self, target: VersionId, lines: list[Line], source: str, method: str
    ) -> None:
        """Adopts the content of a list, if the remediator still wants to reach its version.

        Args:
            target: The version of the list; the digest of `lines` equals that of the version.
            lines: The content.
            source: Name or address of the sender.
            method: The kind of sender; a value of `CatchUpMethod`.
        """
        context = self.context
        attempt = context.evaluator.remediator.catch_up.attempt
        if attempt is None or attempt.target != target or not target.digest:
            return
        offered = OfferedList(
            target,
            source,
            CatchUpMethod(method),
            context.endpoints.difference(lines),
            context.host.now(),
            context.evaluator.remediator.discovery_deadline,
        )
        difference = offered.difference
        if difference.removed or difference.draining:
            self._merge(difference.removed + difference.draining)
        if not self._approval_pending:
            self._approval_pending = True
            context.host.request_change(
                Change.BRING_UP,
                context.host.name,
                lambda answer: self._on_answer(offered, answer),
            )

    def _on_answer(self, offered: OfferedList, answer: Answer) -> None:
        self._approval_pending = False
        context = self.context
        if context.stopped or context.endpoints.local.adopted == offered.target:
            return
        if not answer.allowed:
            context.host.log_event(
                "audit remediation deferred", kind="catch-up", reason=answer.reason
            )
            return
        if offered.difference.added:
            self._merge(offered.difference.added)
        adopted_at = context.host.now()
        context.endpoints.local.adopted = offered.target
        context.counters.count_catch_up(offered.method)
        self._record(offered, answer, adopted_at)

    def _record(self, offered: OfferedList, answer: Answer, adopted_at: int) -> None:
        context, difference = self.context, offered.difference
        removed, draining = len(difference.removed), len(difference.draining)
        added = len(difference.added)
        key = VersionKey(VersionSource.LIST.value, *offered.target)
        ledger = context.store.ledger
        ledger.announce(key, offered.source, offered.received_at)
        ledger.record_action(
            "brought-up",
            f"{removed} gone, {draining} drain, {added} new",
            adopted_at,
            answer.fencing_token,
        )
        ledger.activate(key, adopted_at)
        context.host.log_event(
            "audit catch-up finished",
            source=offered.source,
            method=offered.method.value,
            origin=offered.target.origin,
            number=offered.target.number,
            removed=removed,
            draining=draining,
            added=added,
            after_deadline_s=round((adopted_at - offered.deadline) / US_PER_S, 3),
        )

    def _merge(self, lines: list[Line]) -> None:
        self.context.endpoints.add_adopted(lines)
        self.context.host.merge_endpoint_lines(tuple(lines))
