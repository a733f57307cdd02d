"""Requests for changes that the node or one of its features wants to make, and all outcomes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loadbalancer.freeze.changes import Answer, Change
from loadbalancer.freeze.client_state import (
    RequestedChange,
    RequestOutcome,
    RequestState,
)
from loadbalancer.freeze.errors import FreezeError
from loadbalancer.freeze.messages import Scope
from loadbalancer.freeze.scope import format_scope, parse_scope
from loadbalancer.node.features.freeze_calls import FreezeHost, OperatorCalls
from loadbalancer.node.features.freeze_page import HostCounters

DEFAULT_RETRY_AFTER_S = 1.0  # used where the outcome of a request names no delay
MAX_REMEMBERED = 256  # requests that are remembered so that each is logged once
NODE_ID_LENGTH = 32  # characters of the node's name in the id of a request
# Maximum duration of the node's own changes, in microseconds; most finish earlier and return their grant.
MAX_DURATION_US = {
    Change.SETTINGS: 10_000_000,
    Change.OPERATION: 10_000_000,
    Change.UPGRADE: 60_000_000,
    Change.PLACEMENT: 15_000_000,
    Change.ZONE_RETURN: 30_000_000,
    Change.BRING_UP: 30_000_000,
    Change.SHUT_OUT: 30_000_000,
}

AnswerCallback = Callable[[Answer], None]
ChangeKey = tuple[Change, str]  # kind and scope of a change


class NodeChanges:
    """The node's own requests, and the log of all outcomes.

    Attributes:
        feature: The feature that executes the actions of the state machine.
        operator_calls: The calls of operators, which receive the outcomes of their requests.
        counters: The counters of the feature.
        incarnation: Part of each request id, which distinguishes this process from earlier ones.
        members_digest: Digest of the members; changes of placement with the same digest belong to one plan.
    """

    def __init__(
        self, feature: FreezeHost, operator_calls: OperatorCalls, counters: HostCounters
    ) -> None:
        self.feature = feature
        self.operator_calls, self.counters = operator_calls, counters
        self.incarnation = ""
        self.members_digest = ""
        self._callbacks: dict[str, list[AnswerCallback]] = {}  # by request
        self._requests: dict[ChangeKey, str] = {}  # ids of requests
        self._request_count = 0
        self._logged_starts: dict[str, None] = {}  # ids of started changes
        self._logged_reasons: dict[str, str] = {}  # by request

    def request(self, change: Change, scope: str, callback: AnswerCallback) -> None:
        """Requests a change; a repeated request for a pending change receives the same answer.

        Args:
            change: Kind of the change.
            scope: What it affects.
            callback: Called with the answer.
        """
        request_id = self._requests.get((change, scope))
        if request_id is not None and request_id in self._callbacks:
            self._callbacks[request_id].append(callback)
            return
        machine = self.feature.machine
        if request_id is None or request_id not in machine.client.active:
            request_id = self._requests[change, scope] = self._new_id(change)
        self._callbacks[request_id] = [callback]
        is_planned = change is Change.PLACEMENT and bool(self.members_digest)
        max_duration_us = self.feature.rules.client.coordinator.max_duration_us
        requested = RequestedChange(
            request_id,
            change,
            _parse_scope_or_all(scope),
            min(MAX_DURATION_US[change], max_duration_us),
            plan=f"place-{self.members_digest}" if is_planned else "",
        )
        self.feature.execute(machine.request(self.feature.host.now(), requested))

    def _new_id(self, change: Change) -> str:
        """Returns an id for a request that is unique among all nodes and their incarnations."""
        self._request_count += 1
        node = self.feature.host.name[:NODE_ID_LENGTH]
        return f"{node}.{change.value}.{self.incarnation}.{self._request_count}"

    def finish(self, change: Change, scope: str) -> None:
        """Gives back the grant of a change that the node has made."""
        request_id = self._requests.pop((change, scope), None)
        if request_id is not None:
            now = self.feature.host.now()
            self.feature.execute(self.feature.machine.finish(now, request_id, "made"))

    # ---- outcomes -------------------------------------------------------------------------------------

    def report(self, outcome: RequestOutcome) -> None:
        """Logs an outcome and calls the callbacks of its request; operators repeat their call instead."""
        self._log(outcome)
        self.operator_calls.record(outcome)
        answer = Answer(
            outcome.state is RequestState.ALLOWED,
            outcome.reason,
            outcome.retry_after_us / 1e6 or DEFAULT_RETRY_AFTER_S,
            outcome.token,
        )
        for callback in self._callbacks.pop(outcome.id, []):
            callback(answer)

    def _log(self, outcome: RequestOutcome) -> None:
        fields: dict[str, Any] = {
            "id": outcome.id,
            "token": outcome.token,
            "coordinator_term": outcome.term,
            "reason": outcome.reason,
        }
        host = self.feature.host
        if outcome.state is RequestState.ALLOWED:
            self._log_start(outcome, fields)
        elif outcome.state is RequestState.REVOKED:
            self.counters.revoked += 1
            host.log_event("freeze change revoked", **fields)
        elif outcome.state is RequestState.FINISHED:
            host.log_event("freeze change finished", **fields)
            self._forget(outcome.id)
        elif self._logged_reasons.get(outcome.id) != outcome.reason:
            _remember(self._logged_reasons, outcome.id, outcome.reason)
            is_final = outcome.state is RequestState.REJECTED
            host.log_event(
                "freeze change rejected" if is_final else "freeze change deferred",
                retry_after_s=outcome.retry_after_us / 1e6,
                **fields,
            )

    def _forget(self, finished_id: str) -> None:
        self._requests = {
            key: request_id
            for key, request_id in self._requests.items()
            if request_id != finished_id
        }

    def _log_start(self, outcome: RequestOutcome, fields: dict[str, Any]) -> None:
        """Counts and logs the start of a change once; an operator's command is not a change."""
        is_change = outcome.id in self._callbacks or self.operator_calls.is_request(
            outcome.id
        )
        if not is_change or outcome.id in self._logged_starts:
            return
        _remember(self._logged_starts, outcome.id, None)
        self.counters.started += 1
        self.counters.without_grant += outcome.token is None
        active = self.feature.machine.client.active.get(outcome.id)
        if active is not None:
            remaining_s = (active.expires_at - self.feature.host.now()) / 1e6
            fields |= {
                "change": active.change.kind.value,
                "scope": format_scope(active.change.scope),
                "emergency_reason": active.change.emergency_reason,
                "resolves_incident": active.change.resolves_incident,
                "plan": active.change.plan,
                "duration_s": round(remaining_s, 3),
            }
        self.feature.host.log_event("freeze change started", **fields)


def _parse_scope_or_all(text: str) -> Scope:
    """Returns the scope that `text` describes; the scope of everything if it cannot be parsed."""
    try:
        return parse_scope(text)
    except FreezeError:
        return Scope()


def _remember(entries: dict[str, Any], key: str, value: Any) -> None:
    """Adds an entry, and removes the oldest if there are more than `MAX_REMEMBERED`."""
    entries[key] = value
    if len(entries) > MAX_REMEMBERED:
        del entries[next(iter(entries))]
