"""Collects the outcomes of a node's requests and commands, and keeps the recent final ones."""

from __future__ import annotations

from loadbalancer.freeze.client_state import RequestOutcome, RequestState
from loadbalancer.freeze.messages import StateVersion

MAX_RESULTS = 256  # final outcomes that are kept to answer repeated requests


class Outcomes:
    """Outcomes that are not reported yet, and recent final outcomes by id (`results`)."""

    def __init__(self) -> None:
        self.results: dict[str, RequestOutcome] = {}
        self._unreported: list[RequestOutcome] = []

    def drain(self) -> list[RequestOutcome]:
        """Returns the outcomes added since the last call."""
        unreported, self._unreported = self._unreported, []
        return unreported

    def allowed(self, change_id: str, token: StateVersion, term: int) -> None:
        """Reports that the change may start under a grant."""
        self._report(
            RequestOutcome(change_id, RequestState.ALLOWED, token=token, term=term)
        )

    def allowed_without_grant(self, change_id: str, reason: str) -> None:
        """Reports that the change may start although no coordinator answers."""
        self._report(RequestOutcome(change_id, RequestState.ALLOWED, reason))

    def deferred(self, change_id: str, reason: str, retry_after_us: int) -> None:
        """Reports that the change must wait."""
        self._report(
            RequestOutcome(change_id, RequestState.DEFERRED, reason, retry_after_us)
        )

    def revoked(self, change_id: str, reason: str, token: StateVersion) -> None:
        """Reports that the change must stop."""
        self._report(
            RequestOutcome(change_id, RequestState.REVOKED, reason, token=token)
        )

    def rejected(self, request_id: str, reason: str) -> None:
        """Reports that the request or command has finally failed."""
        self._report_final(RequestOutcome(request_id, RequestState.REJECTED, reason))

    def finished(self, change_id: str, reason: str, token: StateVersion) -> None:
        """Reports that the change has ended."""
        self._report_final(
            RequestOutcome(change_id, RequestState.FINISHED, reason, token=token)
        )

    def command_answered(
        self, command_id: str, state: RequestState, text: str, term: int
    ) -> None:
        """Reports the reply of the coordinator of `term` to an operator's command."""
        self._report_final(RequestOutcome(command_id, state, text, term=term))

    def repeat(self, request_id: str) -> bool:
        """Reports the final outcome of a request again; returns whether there is one."""
        result = self.results.get(request_id)
        if result is None:
            return False
        self._report(result)
        return True

    def _report(self, outcome: RequestOutcome) -> None:
        self._unreported.append(outcome)

    def _report_final(self, outcome: RequestOutcome) -> None:
        self.results[outcome.id] = outcome
        if len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]
        self._report(outcome)
