"""Revocation of grants: proposed, sent once committed, and repeated until acknowledged."""

from __future__ import annotations

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.coordinator_context import CoordinatorContext
from loadbalancer.freeze.leader_term import LeaderTerm, RevocationProgress
from loadbalancer.freeze.messages import Revocation, RevocationAck
from loadbalancer.freeze.state import MAX_IDS_PER_COMMAND, Grant, RevokeGrants


class Revocations:
    """Proposes, sends and tracks the coordinator's revocations."""

    def __init__(self, context: CoordinatorContext) -> None:
        self.context = context

    def revoke(self, term: LeaderTerm, grant_ids: list[str], reason: str) -> None:
        """Proposes to revoke grants, in commands of at most `MAX_IDS_PER_COMMAND` ids."""
        for start in range(0, len(grant_ids), MAX_IDS_PER_COMMAND):
            batch = grant_ids[start : start + MAX_IDS_PER_COMMAND]
            version = self.context.propose(RevokeGrants(batch, reason))
            if version is None:
                continue
            for grant_id in batch:
                term.revocations[grant_id] = RevocationProgress(version)
            self.context.counters.halted += len(batch)

    def due_messages(self, term: LeaderTerm, now: int) -> list[Send]:
        """Returns the committed revocations that are due to be sent for the first time or again."""
        sends: list[Send] = []
        interval_us = self.context.rules.revocation_interval_us
        for grant in self.context.state.grants.values():
            if not grant.revocation_reason or grant.id in term.acknowledged_revocations:
                continue
            # A revocation by an earlier coordinator has no progress yet: it is committed, and due at once.
            progress = term.revocations.get(grant.id) or RevocationProgress()
            if (
                progress.version <= self.context.committed
                and now >= progress.sent_at + interval_us
            ):
                term.revocations[grant.id] = RevocationProgress(progress.version, now)
                sends.append(self.revocation_message(grant))
        return sends

    def next_deadlines(self, term: LeaderTerm) -> list[int]:
        """Returns the times at which unacknowledged revocations are due to be sent."""
        return [
            progress.sent_at + self.context.rules.revocation_interval_us
            for grant_id, progress in term.revocations.items()
            if grant_id in self.context.state.grants
            and grant_id not in term.acknowledged_revocations
            and progress.version <= self.context.committed
        ]

    def revocation_message(self, grant: Grant) -> Send:
        """Returns the message that revokes a grant at its node."""
        return Send(
            grant.node,
            Revocation(
                grant.id, grant.token, self.context.committed, grant.revocation_reason
            ),
        )

    def on_ack(self, term: LeaderTerm, sender: str, ack: RevocationAck) -> None:
        """Handles a node's report that it has stopped the change, or will not start it."""
        grant = self.context.state.grants.get(ack.id)
        if grant is not None and (grant.node, grant.token) == (sender, ack.token):
            term.acknowledged_revocations.add(ack.id)
