"""Why requests are refused, failed or retried, and why connections are closed: counters and log lines."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from loadbalancer.node.log import Log

# Reasons that any client can cause share these lines, so that they cannot use up the lines of faults.
MAX_REASON_LINES_PER_S = 20
MAX_CALL_ID_CHARS = 64  # of a client's call id in a log line


class EndReason(StrEnum):
    """Why a request ended without being served, or a connection was closed before its client closed it."""

    # Requests
    POLICY_REJECTED = "policy-rejected"
    POLICY_FAILED = "policy-failed"
    POLICY_ERROR = "policy-error"
    DEADLINE_GUARD = "deadline-guard"
    PROCESS_ENDS = "process-ends"
    BODY_UNREAD = "body-unread"
    RESPONSE_BROKEN = "response-broken"
    DUPLICATE_CALL_ID = "duplicate-call-id"
    MAY_HAVE_RUN = "may-have-run"
    WAITED_TOO_LONG = "waited-too-long"
    INVALID_REQUEST = "invalid-request"
    NO_CAPACITY = "no-capacity"
    UNREADABLE = "unreadable"
    TOO_LARGE = "too-large"
    REQUEST_TIMEOUT = "request-timeout"
    CLIENT_GONE = "client-gone"
    # Connections
    EVICTED = "evicted"
    IDLE = "idle"
    DRAINING = "draining"
    LINGER_ENDED = "linger-ended"


class ReasonLog:
    """Counts the reasons, and writes a line for each event as far as the log's limit allows.

    Args:
        log: Where the lines are written; None: the reasons are only counted.

    Attributes:
        counts: Number of events by kind and reason, such as "refused no-capacity".
    """

    def __init__(self, log: Log | None = None) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()

    def refused(
        self, reason: EndReason, status: int, call_id: bytes = b"", state: str = ""
    ) -> None:
        """Records the final answer to a request that was not served.

        Args:
            reason: Why it was not served.
            status: The HTTP status of the answer; 0: there was none.
            call_id: The client's id of the request, if it could be read.
            state: What else is known of the request, as `name=value` pairs.
        """
        self._record(
            "refused", reason, f"status={status} call={printable(call_id)} {state}"
        )

    def closed(self, reason: EndReason, state: str = "") -> None:
        """Records a client connection that this node closed between requests, or aborted."""
        self._record("closed", reason, state)

    def retried(self, outcome: str, call_id: bytes, attempt: int) -> None:
        """Records an attempt that follows a failed one.

        Args:
            outcome: How the attempt before it ended.
            call_id: The client's id of the request.
            attempt: The number of the attempt that starts; the first is 1.
        """
        self._record("retried", outcome, f"call={printable(call_id)} attempt={attempt}")

    def _record(self, kind: str, reason: str, state: str) -> None:
        self.counts[f"{kind} {reason}"] += 1
        if self.log is not None:
            self.log.line(f"{kind} reason={reason} {state}".rstrip())


def printable(call_id: bytes) -> str:
    """A client's call id as it may stand in a log line: ASCII without spaces, shortened; "-" without one."""
    text = call_id[:MAX_CALL_ID_CHARS].decode("ascii", "backslashreplace")
    return "".join(c if c.isprintable() and c != " " else "?" for c in text) or "-"
