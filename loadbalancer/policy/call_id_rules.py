"""Whether a request may be forwarded whose call id has been used before, and how long ids are remembered.

Every request has an id of its own. One that comes again, from a client that left or through another process
of the node, names a request that a server may have run already.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.policy.api import DeduplicationScope, Idempotency, RequestClass

# An id is remembered for this many deadlines of its class after its first attempt, and for its window.
REMEMBERED_DEADLINES = 10


@dataclass(frozen=True, slots=True)
class CallIdRule:
    """How the ids of a class are treated. Times are in microseconds, from the start of the first attempt.

    Attributes:
        remembered_us: Time for which an id is remembered.
        repeatable_us: Time in which a request with the same id may be forwarded again; 0 for never.
    """

    remembered_us: int
    repeatable_us: int


def call_id_rule(request_class: RequestClass) -> CallIdRule | None:
    """How the call ids of a class are treated; None if its requests may be repeated at any time.

    A keyed request may be repeated within its window, where all servers share what they have run. Where only
    the servers of one zone or cell do, the first server's is not known for an id that comes again.
    """
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return None
    remembered_us = REMEMBERED_DEADLINES * request_class.deadline
    if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        return CallIdRule(remembered_us, 0)
    window_us = request_class.idempotency_window
    shared_by_all = request_class.deduplication_scope == DeduplicationScope.ALL
    return CallIdRule(remembered_us + window_us, window_us if shared_by_all else 0)
