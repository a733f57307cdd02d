"""Approval of changes by features: approvers are asked in turn, and the node's own changes wait for them.

An approver is a feature that overrides `on_change_requested`. Without approvers a change is made immediately,
as if this module did not exist. Actions that keep the service within its rules never need approval: drains,
departures of endpoints, ejection, failover, rejections, SIGTERM.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from loadbalancer.node.features.feature import Answer, Change, Feature, overrides

if TYPE_CHECKING:
    from loadbalancer.freeze.messages import StateVersion
    from loadbalancer.node.features.host import NodeFeatureHost

ANSWER_TIMEOUT_S = 15.0  # for the answer of one feature
# A feature is stopped as failed after this number of consecutive requests without an answer.
MAX_TIMEOUTS = 3
# A deferred change is requested again after the delay that the answer names, clamped to these bounds.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 60.0
# The delay named to the requester where a feature has not answered or still waits for its store.
RETRY_AFTER_NO_ANSWER_S = 1.0
US_PER_S = 1e6


class ApprovalRound:
    """One request for approval, which asks one approver after another; the first rejection is the answer."""

    def __init__(
        self,
        owner: ChangeApproval,
        change: Change,
        scope: str,
        approvers: list[Feature],
        then: Callable[[Answer], None],
    ) -> None:
        """Prepares a round; `ask_next` starts it.

        Args:
            owner: The node's change approval.
            change: Kind of the change.
            scope: What the change affects.
            approvers: The features to ask, in this order.
            then: Called once with the answer.
        """
        self.owner = owner
        self.change = change
        self.scope = scope
        self.remaining = approvers
        self.current: Feature | None = None  # the feature whose answer is awaited
        self._then = then
        # Number of the current question; answers to earlier ones are ignored.
        self._turn = 0
        self._timer: asyncio.TimerHandle | None = None
        # The last fencing token that an approver granted.
        self._token: StateVersion | None = None

    def ask_next(self) -> None:
        """Asks the next feature, or finishes with an approval if all have been asked."""
        if not self.remaining:
            self._finish(Answer(True, fencing_token=self._token))
            return
        host = self.owner.host
        feature = self.current = self.remaining.pop(0)
        turn = self._turn
        self._timer = host.loop.call_later(ANSWER_TIMEOUT_S, self._on_timeout, turn)
        host.run_guarded(
            feature,
            feature.on_change_requested,
            self.change,
            self.scope,
            lambda answer: self._on_answer(turn, answer),
        )

    def remove(self, feature: Feature) -> None:
        """Removes a feature that has stopped; if its answer is awaited, it counts as an approval."""
        if feature in self.remaining:
            self.remaining.remove(feature)
        if self.current is feature:
            self._on_answer(self._turn, Answer(True))

    def cancel(self) -> None:
        """Cancels the timeout and ignores any further answer to the current question."""
        self._turn += 1
        if self._timer is not None:
            self._timer.cancel()

    def _on_answer(self, turn: int, answer: Answer) -> None:
        """Handles a feature's answer; a repeated or late answer has no effect."""
        if turn != self._turn or self.current is None:
            return
        self.cancel()
        self.owner.timeouts.pop(self.current, None)
        self.current = None
        if not answer.allowed:
            self._finish(answer)
            return
        self._token = answer.fencing_token or self._token
        self.ask_next()

    def _on_timeout(self, turn: int) -> None:
        """Handles a feature that has not answered in time.

        Failure prevented: a feature that never answers defers every change for ever, including the reload of
        the configuration that would switch the feature off.
        """
        feature = self.current
        if turn != self._turn or feature is None:
            return
        count = self.owner.timeouts.get(feature, 0) + 1
        if count >= MAX_TIMEOUTS:
            reason = f"it has not answered {count} requests in a row within {ANSWER_TIMEOUT_S:g} s each"
            self.owner.host.fail(feature, reason)
            return
        reason = f"{feature.name or type(feature).__name__} has not answered in time"
        self._on_answer(turn, Answer(False, reason, RETRY_AFTER_NO_ANSWER_S))
        self.owner.timeouts[feature] = count

    def _finish(self, answer: Answer) -> None:
        self.owner.rounds.discard(self)
        try:
            self._then(answer)
        except Exception as error:
            line = f"change callback failed change={self.change.value} reason={type(error).__name__}: {error}"
            self.owner.host.line(line)


@dataclass
class PendingChange:
    """One of the node's own changes that waits for approval.

    Attributes:
        subject: What the change is about, for the log; a new change replaces a pending one with its subject.
        changes: The kinds of change, each of which needs approval.
        scope: What the change affects.
        apply: Makes the change.
        meanwhile: What holds until the change is made, for the log.
        since_us: When the change was requested first, in monotonic microseconds.
        reason: Why it was deferred last; empty if it was not.
        tokens: The fencing tokens of the kinds that are approved so far, in the order of `changes`.
        timer: Timer of the next request for approval.
    """

    subject: str
    changes: tuple[Change, ...]
    scope: str
    apply: Callable[[], None]
    meanwhile: str
    since_us: int
    reason: str = ""
    tokens: list[StateVersion | None] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Cancels the next request for approval."""
        if self.timer is not None:
            self.timer.cancel()

    def table(self, now_us: int) -> dict[str, Any]:
        """Returns the row of this change on the metrics page (`now_us`: monotonic microseconds)."""
        return {
            "change": self.subject,
            "kinds": [change.value for change in self.changes],
            "scope": self.scope,
            "waits_s": round((now_us - self.since_us) / US_PER_S, 1),
            "why": self.reason,
        }


class ChangeApproval:
    """Approval of changes at one node.

    Attributes:
        host: The feature host of the node.
        rounds: The requests that wait for answers of features.
        pending: The node's own changes that wait for approval, by subject.
        timeouts: Number of consecutive requests that a feature has not answered.
    """

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host
        self.rounds: set[ApprovalRound] = set()
        self.pending: dict[str, PendingChange] = {}
        self.timeouts: dict[Feature, int] = {}

    def request(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Asks all approvers.

        Args:
            change: Kind of the change.
            scope: What the change affects.
            then: Called once, with the first rejection, or with an approval if no feature rejects.
        """
        waiting = self.host.lifecycle.waiting_approver()
        if waiting:
            reason = f"feature {waiting} waits for its store; the log names the store's error"
            then(Answer(False, reason, RETRY_AFTER_NO_ANSWER_S))
            return
        approval_round = ApprovalRound(self, change, scope, self.approvers(), then)
        self.rounds.add(approval_round)
        approval_round.ask_next()

    def approvers(self) -> list[Feature]:
        """Returns the running features whose approval changes need."""
        return [
            feature
            for feature in self.host.features.values()
            if overrides(feature, "on_change_requested")
        ]

    def remove_feature(self, feature: Feature) -> None:
        """Removes a feature that has stopped from all rounds; they continue without it."""
        self.timeouts.pop(feature, None)
        for approval_round in list(self.rounds):
            approval_round.remove(feature)

    def apply_when_approved(
        self,
        subject: str,
        changes: tuple[Change, ...],
        apply: Callable[[], None],
        scope: str = "",
        meanwhile: str = "the current state stays in force",
    ) -> None:
        """Makes one of the node's own changes once all approve, instead of a pending one of the same subject.

        Failure prevented: a change requested an hour ago is made after the one that should replace it.

        Args:
            subject: What the change is about, for the log.
            changes: The kinds of change, each of which needs approval.
            apply: Makes the change.
            scope: What the change affects.
            meanwhile: What holds until the change is made, for the log.
        """
        self.withdraw(subject)
        pending = PendingChange(
            subject, changes, scope, apply, meanwhile, self.host.now()
        )
        self.pending[subject] = pending
        self._continue(pending)

    def withdraw(self, subject: str) -> None:
        """Drops a pending change that is not wanted any more."""
        pending = self.pending.pop(subject, None)
        if pending is None:
            return
        pending.cancel_timer()
        if pending.reason:
            self.host.line(f"{subject} withdrawn")

    def _continue(self, pending: PendingChange) -> None:
        """Requests approval of the next kind of a change, or makes the change if all kinds are approved."""
        pending.timer = None
        if self.pending.get(pending.subject) is not pending:
            return
        if len(pending.tokens) == len(pending.changes):
            self._apply(pending)
            return
        self.request(
            pending.changes[len(pending.tokens)],
            pending.scope,
            lambda answer: self._on_answer(pending, answer),
        )

    def _apply(self, pending: PendingChange) -> None:
        del self.pending[pending.subject]
        if pending.reason:
            waited_s = (self.host.now() - pending.since_us) / US_PER_S
            self.host.line(f"{pending.subject} resumed after_s={waited_s:.1f}")
        pending.apply()
        for change, token in zip(pending.changes, pending.tokens, strict=True):
            for feature in list(self.host.features.values()):
                self.host.run_guarded(
                    feature, feature.on_change_made, change, pending.scope, token
                )

    def _on_answer(self, pending: PendingChange, answer: Answer) -> None:
        if self.pending.get(pending.subject) is not pending:
            return  # a newer change of the same subject has replaced it
        if answer.allowed:
            pending.tokens.append(answer.fencing_token)
            self._continue(pending)
            return
        pending.tokens.clear()  # earlier grants may have expired by the next request
        if answer.reason != pending.reason:
            pending.reason = answer.reason
            line = f"{pending.subject} deferred reason={answer.reason}; {pending.meanwhile}"
            self.host.line(line)
        delay_s = min(MAX_RETRY_S, max(MIN_RETRY_S, answer.retry_after_s))
        pending.timer = self.host.loop.call_later(delay_s, self._continue, pending)

    def table(self) -> list[dict[str, Any]]:
        """Returns one row for each pending change, for the metrics page."""
        now_us = self.host.now()
        return [pending.table(now_us) for pending in self.pending.values()]

    def stop(self) -> None:
        """Cancels all requests and pending changes, because the process ends."""
        for pending in self.pending.values():
            pending.cancel_timer()
        for approval_round in self.rounds:
            approval_round.cancel()
        self.pending.clear()
        self.rounds.clear()
