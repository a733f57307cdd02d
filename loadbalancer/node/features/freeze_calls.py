"""The calls by which operators control the change freeze at any node; a repeated call returns the outcome."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

from loadbalancer.freeze.actions import Action
from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.client_state import (
    RequestedChange,
    RequestOutcome,
    RequestState,
)
from loadbalancer.freeze.errors import FreezeError
from loadbalancer.freeze.machine import FreezeNode
from loadbalancer.freeze.messages import OperatorCommand
from loadbalancer.freeze.request_id import RETRY_SEPARATOR
from loadbalancer.freeze.rules import FreezeRules
from loadbalancer.freeze.scope import parse_scope
from loadbalancer.node.features.feature import FeatureHost

COMMAND_TIMEOUT_US = 30_000_000  # within which a command must reach a coordinator
MAX_TEXT_LENGTH = 160  # in characters, of reasons and other free text
MAX_NAME_LENGTH = 64  # in characters, of ids and names
MAX_REMEMBERED = 256  # outcomes that are kept for repeated calls
DEFAULT_DURATION_S = 60  # default duration of an operator's change
MAX_WAIT_S = 3600  # maximum time that an operator's request may wait
DEFAULT_SEVERITY, MIN_SEVERITY, MAX_SEVERITY = 2, 1, 3  # severity of an incident
US_PER_S = 1_000_000
NOT_ANSWERED = "no coordinator has answered yet"

# HTTP status of the response for each state of a request or command.
STATUS_BY_STATE = {
    RequestState.ALLOWED: HTTPStatus.OK,
    RequestState.FINISHED: HTTPStatus.OK,
    RequestState.PENDING: HTTPStatus.ACCEPTED,
    RequestState.REVOKED: HTTPStatus.CONFLICT,
    RequestState.REJECTED: HTTPStatus.CONFLICT,
    RequestState.DEFERRED: HTTPStatus.SERVICE_UNAVAILABLE,
}

# HTTP status and table of the response to a call.
CallResult = tuple[int, dict[str, Any]]


class FreezeHost(Protocol):
    """The part of `FreezeFeature` that operators' calls and the node's requests use.

    Attributes:
        host: The services of the node.
        machine: The pure state machine of this node.
        rules: The rules of the state machine.
    """

    host: FeatureHost
    machine: FreezeNode
    rules: FreezeRules

    def execute(self, actions: list[Action]) -> None:
        """Executes actions of the machine."""


class OperatorCalls:
    """Operators' requests and commands at this node, with their latest outcomes.

    Attributes:
        feature: The feature that executes the actions of the state machine.
        outcomes: The latest outcome of each request and command, by id.
    """

    def __init__(self, feature: FreezeHost) -> None:
        self.feature = feature
        self.outcomes: dict[str, RequestOutcome] = {}
        self._requests: set[str] = set()  # ids of requests; other ids are commands
        # By id, the earliest time of the next request, in monotonic microseconds.
        self._retry_at: dict[str, int] = {}

    def by_path(self) -> dict[str, Callable[[dict[str, str]], CallResult]]:
        """Returns the calls by path of the admin server."""
        return {
            "/admin/freeze/open": lambda values: self._incident("open", values),
            "/admin/freeze/close": lambda values: self._incident("close", values),
            "/admin/freeze/request": self._request,
            "/admin/freeze/done": self._done,
            "/admin/freeze/begin": self._declare_reset,
        }

    def is_request(self, request_id: str) -> bool:
        """Returns whether an operator made this request at this node."""
        return request_id in self._requests

    def record(self, outcome: RequestOutcome) -> None:
        """Stores the latest outcome of an operator's request or command; ignores other requests."""
        if outcome.id not in self._requests and outcome.id not in self.outcomes:
            return
        self.outcomes[outcome.id] = outcome
        now = self.feature.host.now()
        self._retry_at[outcome.id] = now + outcome.retry_after_us
        while len(self.outcomes) > MAX_REMEMBERED:
            oldest = next(iter(self.outcomes))
            del self.outcomes[oldest]
            self._requests.discard(oldest)
            self._retry_at.pop(oldest, None)

    # ---- the calls ------------------------------------------------------------------------------------

    def _incident(self, action: str, values: dict[str, str]) -> CallResult:
        incident_id = text_value(values, "id")
        command_id = text_value(
            values, "call", f"{action}.{incident_id}"[:MAX_NAME_LENGTH]
        )
        command = OperatorCommand(
            command_id,
            action,
            incident_id,
            parse_scope(values.get("scope", "*")),
            number_value(
                values, "severity", DEFAULT_SEVERITY, MIN_SEVERITY, MAX_SEVERITY
            ),
            text_value(values, "why", "no reason given"),
            text_value(values, "by", "operator"),
        )
        known = self.outcomes.get(command_id)
        if known is not None and known.state is not RequestState.PENDING:
            # The outcome is returned once; the same call afterwards is a new command.
            del self.outcomes[command_id]
            return self._result(command_id, known)
        if known is None:
            self._mark_pending(command_id)
            machine = self.feature.machine
            machine.client.outcomes.results.pop(command_id, None)
            now = self.feature.host.now()
            self.feature.execute(machine.command(now, command, COMMAND_TIMEOUT_US))
        return self._result(command_id, self.outcomes[command_id])

    def _request(self, values: dict[str, str]) -> CallResult:
        """Requests a change that an operator wants to make, such as an upgrade."""
        change = self._requested_change(values)
        known = self.outcomes.get(change.id)
        now = self.feature.host.now()
        if known is None or (
            known.state is RequestState.DEFERRED
            and now >= self._retry_at.get(change.id, 0)
        ):
            self._requests.add(change.id)
            self._mark_pending(change.id)
            self.feature.execute(self.feature.machine.request(now, change))
        return self._result(change.id, self.outcomes[change.id])

    def _requested_change(self, values: dict[str, str]) -> RequestedChange:
        request_id = text_value(values, "id")
        kinds = {kind.value: kind for kind in Change}
        kind = kinds.get(values.get("kind", Change.UPGRADE.value))
        if kind is None:
            raise FreezeError(f"must be one of {', '.join(kinds)}", "kind")
        scope = parse_scope(values.get("scope", "*"))
        max_s = self.feature.rules.client.coordinator.max_duration_us // US_PER_S
        default_s = min(DEFAULT_DURATION_S, max_s)
        duration_s = number_value(values, "life_s", default_s, 1, max_s)
        wait_s = number_value(values, "wait_s", 0, 0, MAX_WAIT_S)
        return RequestedChange(
            request_id,
            kind,
            scope,
            duration_s * US_PER_S,
            text_value(values, "reason", "") if "reason" in values else "",
            text_value(values, "mends", "") if "mends" in values else "",
            wait_us=wait_s * US_PER_S,
        )

    def _done(self, values: dict[str, str]) -> CallResult:
        """Finishes an operator's change that has been made or is no longer wanted."""
        request_id = text_value(values, "id")
        if request_id not in self.outcomes:
            raise FreezeError(
                "no request with this id was made at this node; send the call to the node that made it",
                "id",
            )
        now = self.feature.host.now()
        self.feature.execute(self.feature.machine.finish(now, request_id, "made"))
        if self.outcomes[request_id].state in (
            RequestState.PENDING,
            RequestState.DEFERRED,
        ):
            self.outcomes[request_id] = RequestOutcome(
                request_id, RequestState.FINISHED, "no longer wanted"
            )
        return self._result(request_id, self.outcomes[request_id])

    def _declare_reset(self, values: dict[str, str]) -> CallResult:
        """Declares, for an operator, that the state of the other electors is lost for good."""
        elector = self.feature.machine.elector
        if elector is None or not elector.state_lost:
            raise FreezeError(
                "this node is not an elector that has lost its store", "begin"
            )
        reason = text_value(values, "why")
        self.feature.host.log_event("freeze reset declared", reason=reason)
        now = self.feature.host.now()
        self.feature.execute(self.feature.machine.declare_reset(now))
        state = (
            "reset declared; a majority of electors that lost their stores can resume"
        )
        return HTTPStatus.ACCEPTED.value, {"state": state, "why": reason}

    def _mark_pending(self, request_id: str) -> None:
        self.outcomes[request_id] = RequestOutcome(
            request_id, RequestState.PENDING, NOT_ANSWERED
        )

    def _result(self, request_id: str, outcome: RequestOutcome) -> CallResult:
        pending = self.feature.machine.client.pending.get(request_id)
        return STATUS_BY_STATE[outcome.state].value, {
            "id": request_id,
            "state": outcome.state.value,
            "why": pending.reason if pending is not None else outcome.reason,
            "again_s": outcome.retry_after_us / 1e6,
            "token": outcome.token,
        }


def text_value(values: dict[str, str], key: str, default: str | None = None) -> str:
    """Returns a text parameter of a call, in printable ASCII, so that its length in a datagram is known.

    Args:
        values: The parameters of the call.
        key: Name of the parameter.
        default: The value if the parameter is missing; None if it is required.

    Raises:
        FreezeError: The value is missing, empty, too long or has other characters.
    """
    value = values.get(key, default)
    name_keys = ("id", "call", "by", "mends")
    max_length = MAX_NAME_LENGTH if key in name_keys else MAX_TEXT_LENGTH
    if value is None:
        raise FreezeError("the parameter is missing", key)
    if (
        not value.isascii()
        or not value.isprintable()
        or RETRY_SEPARATOR in value
        or not 0 < len(value) <= max_length
    ):
        raise FreezeError(
            f"must have 1 to {max_length} printable ASCII characters without ~", key
        )
    return value


def number_value(
    values: dict[str, str], key: str, default: int, min_value: int, max_value: int
) -> int:
    """Returns an integer parameter of a call.

    Args:
        values: The parameters of the call.
        key: Name of the parameter.
        default: The value if the parameter is missing.
        min_value: The smallest value that is accepted.
        max_value: The largest value that is accepted.

    Raises:
        FreezeError: The value is not an integer in this range.
    """
    text = values.get(key, str(default))
    if (
        not text.isascii()
        or not text.isdigit()
        or not min_value <= int(text) <= max_value
    ):
        raise FreezeError(f"must be an integer from {min_value} to {max_value}", key)
    return int(text)
