"""The state of an open request. Times are integer microseconds."""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.policy.api import Idempotency, Settings
from loadbalancer.policy.endpoint import Endpoint


class Request:
    """An open request. At most one of its attempts is in flight at a time.

    Attributes:
        id: The host's number of the request.
        settings: The settings in force when it arrived, which apply until it ends.
        class_index: Its class, by the index in the settings.
        idempotency: Whether it may be executed more than once.
        deadline: The time until which an answer has value, in microseconds.
        attempts: Number of attempts sent.
        pending_endpoint: The endpoint of the attempt in flight, if there is one.
        executed_by: The first endpoint that may have run it, if there is one.
        executed_at: When the attempt was sent to that endpoint, in microseconds.
        scope_ids: The numbers of the deduplication scopes of `executed_by` or, while that is None, of the
            last attempt's endpoint: 0 for all, its zone and its cell, indexed by `DeduplicationScope`.
        response_started: Whether the response to the client has started, so that no retry can follow.
        sent_at: When the last attempt was sent, in microseconds.
        time_left_when_complete: While its body is incomplete, the time in microseconds that will remain until
            its deadline when the body is complete; else 0.
        not_replayable: Whether part of its body is no longer available, so that it cannot be sent again.
        preferred_endpoints: Endpoints for its first attempt, as far as one of them has capacity.
    """

    __slots__ = (
        "attempts",
        "class_index",
        "deadline",
        "executed_at",
        "executed_by",
        "id",
        "idempotency",
        "not_replayable",
        "pending_endpoint",
        "preferred_endpoints",
        "response_started",
        "scope_ids",
        "sent_at",
        "settings",
        "time_left_when_complete",
    )

    def __init__(
        self,
        request: int,
        settings: Settings,
        class_index: int,
        idempotency: Idempotency,
        deadline: int,
    ) -> None:
        """Creates a request without an attempt. The attributes of the class describe the arguments."""
        self.id = request
        self.settings = settings
        self.class_index = class_index
        self.idempotency = idempotency
        self.deadline = deadline
        self.attempts = 0
        self.pending_endpoint: Endpoint | None = None
        self.executed_by: Endpoint | None = None
        self.executed_at = 0
        self.scope_ids = (0, 0, 0)
        self.response_started = False
        self.sent_at = 0
        self.time_left_when_complete = 0
        self.not_replayable = False
        self.preferred_endpoints: Sequence[int] = ()

    def due_at(self, now: int) -> int:
        """Returns the time until which an answer has value, in microseconds.

        While the body is incomplete, the request's time has not started to elapse.

        Args:
            now: The current time in microseconds.
        """
        if self.time_left_when_complete:
            return now + self.time_left_when_complete
        return self.deadline
