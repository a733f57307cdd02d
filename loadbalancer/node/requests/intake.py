"""Accepts clients' requests: checks each one, and hands it to the policy or rejects it."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.node.client.interface import ConnectionState
from loadbalancer.node.end_reasons import EndReason
from loadbalancer.node.requests.open_request import (
    NO_DEADLINE_US,
    OpenRequest,
    budget_us_of,
)
from loadbalancer.policy.api import Idempotency, Outcome, RequestClass
from loadbalancer.policy.call_id_rules import CallIdRule, call_id_rule
from loadbalancer.policy.upload_limit import admits_upload

if TYPE_CHECKING:
    from loadbalancer.node.client.connection import ClientConnection
    from loadbalancer.node.client.request import ClientRequest
    from loadbalancer.node.node import Node

READY_PATH = b"/ready"
MAX_BUDGET_DIGITS = 9  # of the X-Budget-Ms header
# Time after which the node may have capacity again for a client that it rejected.
OVERLOAD_RETRY_AFTER_US = 500_000
# Longest time between two calls of `body_unread`: what ends before the next one needs a call of its own.
UNREAD_CHECK_US = 250_000
METHODS_BY_IDEMPOTENCY = {
    Idempotency.IDEMPOTENT: b"GET",
    Idempotency.WITH_KEY: b"POST",
    Idempotency.NOT_IDEMPOTENT: b"POST",
}
# Microseconds in which a request may be retried; a class with a key has a window of its own.
IDEMPOTENCY_WINDOWS_US = {
    Idempotency.IDEMPOTENT: 1 << 62,
    Idempotency.NOT_IDEMPOTENT: 0,
}


class Rejection(NamedTuple):
    """Why a request is not accepted, with the response's status and header lines."""

    status: int
    headers: bytes = b""
    reason: EndReason = EndReason.INVALID_REQUEST


def retry_after_header(wait_us: int) -> bytes:
    """The Retry-After line; empty if `wait_us` is not positive."""
    return b"Retry-After: %.3f\r\n" % (wait_us / 1e6) if wait_us > 0 else b""


def path_of(message: ClientRequest) -> bytes:
    """The request target without its query."""
    return message.target.partition(b"?")[0]


def idempotency_window_us(request_class: RequestClass) -> int:
    """Microseconds after the start of the first attempt that may have run, in which another may start."""
    idempotency_kind = request_class.idempotency
    if idempotency_kind == Idempotency.WITH_KEY:
        return request_class.idempotency_window
    return IDEMPOTENCY_WINDOWS_US[idempotency_kind]


def check_request(
    message: ClientRequest, idempotency_kind: Idempotency, needs_tenant: bool
) -> Rejection | None:
    """Checks that a request has the method and the headers that its class requires.

    Args:
        message: The request.
        idempotency_kind: The idempotency of its request class.
        needs_tenant: Whether the settings name tenants, so that the request must name one.

    Returns:
        The rejection to answer with; None if the request may be accepted.
    """
    method = METHODS_BY_IDEMPOTENCY[idempotency_kind]
    if message.method != method:
        return Rejection(HTTPStatus.METHOD_NOT_ALLOWED, b"Allow: %b\r\n" % method)
    headers = message.headers
    budget_text = headers.get(b"x-budget-ms") or b""
    is_valid = (
        headers.get(b"x-call-id")
        and (
            idempotency_kind != Idempotency.WITH_KEY or headers.get(b"idempotency-key")
        )
        and (headers.get(b"x-caller") or not needs_tenant)
        and budget_text.isdigit()
        and len(budget_text) <= MAX_BUDGET_DIGITS
    )
    return None if is_valid else Rejection(HTTPStatus.BAD_REQUEST)


class RequestIntake:
    """Receives the requests of client connections (`RequestHandler`).

    Args:
        node: The node.
        tenants: The tenants' names, in the order of the settings.
    """

    def __init__(self, node: Node, tenants: Sequence[str]) -> None:
        self.node = node
        self.set_tenants(tenants)

    def set_tenants(self, names: Sequence[str]) -> None:
        """Replaces the tenants' names, in the order of the settings."""
        self.tenants = {name.encode(): number for number, name in enumerate(names)}

    # ---- called by client connections -----------------------------------------------------------------

    def request_received(
        self, client: ClientConnection, message: ClientRequest
    ) -> None:
        """Handles a client's request. An exception would close the connection without a response."""
        try:
            self.accept(client, message)
        except Exception as e:  # any failure must affect only this request
            self.node.log_lines.line(f"request failed reason={type(e).__name__}: {e}")
            client.send_response(HTTPStatus.INTERNAL_SERVER_ERROR)

    def body_received(self, client: ClientConnection) -> None:
        """Starts the time of a request whose streamed body is now complete, unless it runs already."""
        request = self.node.requests.by_client.get(client)
        if request is not None:
            self.node.requests.uploads_in_progress.discard(request.id)
        self.body_arrived(client)

    def body_arrived(self, client: ClientConnection) -> None:
        """Starts the time of a request whose streamed body is on this machine, read or not."""
        request = self.node.requests.by_client.get(client)
        if request is not None and not request.completed_at:
            self.start_time(request)

    def body_unread(self, client: ClientConnection, waited_s: float) -> None:
        """Ends a request whose last byte may have waited unread for as long as its client waits."""
        node = self.node
        request = node.requests.by_client.get(client)
        if request is None or client.stream.active:
            return
        remaining_us = node.deadline_guard.cap_budget(
            budget_us_of(request) - int(waited_s * 1e6)
        )
        if 0 < remaining_us <= UNREAD_CHECK_US:
            node.loop.call_later(remaining_us / 1e6, client.input.check_arrival)
        elif remaining_us <= 0:
            node.deadline_guard.cut_short(request, EndReason.BODY_UNREAD)

    def start_time(self, request: OpenRequest) -> None:
        """Sets the deadline of a request with a streamed body, whose last byte has arrived."""
        node, client = self.node, request.client
        assert client is not None
        waited_us = self.waited_us(request.message)
        remaining_us = max(
            0, node.deadline_guard.cap_budget(budget_us_of(request) - waited_us)
        )
        request.completed_at = node.now()
        request.deadline = request.completed_at + remaining_us
        if not client.stream.active:
            node.deadline_guard.start_timer(request, remaining_us)
            if request.attempt is not None:
                request.attempt.set_timeout(
                    min(remaining_us, request.attempt_timeout_us) / 1e6
                )
        node.post(node.balancer.request_complete, request.id, remaining_us)

    def capacity_exceeded(self, client: ClientConnection) -> None:
        """Rejects a request for which the node itself has no capacity; the policy is not involved.

        Where the settings allow it, the response says when to retry, because a client without that advice
        would retry immediately.
        """
        settings = self.node.settings
        wait_us = (
            min(OVERLOAD_RETRY_AFTER_US, settings.max_retry_after)
            if settings.retry_after
            else 0
        )
        rejection = Rejection(
            HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after_header(wait_us),
            EndReason.NO_CAPACITY,
        )
        message = client.open_request
        class_index = self.find_class(message) if message is not None else None
        if class_index is None:
            client.send_response(rejection.status, headers=rejection.headers)
        else:
            self.reject(client, class_index, rejection)

    def request_abandoned(self, client: ClientConnection) -> None:
        """Handles the end of an open request whose client needs no response from it any more.

        The client has disconnected, or its connection has rejected its further input.

        An attempt that still needs the client, to receive the rest of the request or to stream the response,
        cannot continue. One that waits for its connection has not been sent and would only hold its place
        among the attempts that wait for that server. Both are cancelled.
        """
        request = self.node.requests.by_client.get(client)
        if request is None:
            return
        if client.state is not ConnectionState.OPEN:
            self.node.reasons.refused(
                EndReason.CLIENT_GONE, 0, request.call_id, request.state()
            )
        attempt = request.attempt
        cannot_continue = (
            not request.message.complete
            or request.streaming
            or (attempt is not None and attempt.connection is None)
        )
        self.node.requests.release(request)
        self.node.post(self.node.balancer.client_disconnected, request.id)
        if attempt is not None and cannot_continue:
            attempt.stop(Outcome.CANCELLED)

    # ---- accepting a request --------------------------------------------------------------------------

    def accept(self, client: ClientConnection, message: ClientRequest) -> None:
        """Checks a request, and hands it to the policy or rejects it."""
        node = self.node
        now = node.now()
        class_index = self.find_class(message)
        if class_index is None:
            self.answer_unclassified(client, message)
            return
        idempotency_kind = node.settings.classes[class_index].idempotency
        rejection = check_request(message, idempotency_kind, bool(self.tenants))
        if rejection is not None:
            self.reject(client, class_index, rejection)
            return
        if not node.client_listener.admits(message):
            ending = Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, reason=EndReason.PROCESS_ENDS
            )
            self.reject(client, class_index, ending)
            return
        if self.is_full(message):
            self.capacity_exceeded(client)
            return
        rule = call_id_rule(node.settings.classes[class_index])
        rejection = self.check_call_id(message, rule)
        if rejection is not None:
            self.reject(client, class_index, rejection)
            return
        waited_us = self.waited_us(message) or int(client.input.waited_s(message) * 1e6)
        budget_us = int(message.headers[b"x-budget-ms"]) * 1000
        if 0 < budget_us <= waited_us:
            # The time budget starts when the request is received, not when its turn comes: the answer would
            # be late.
            late = Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, reason=EndReason.WAITED_TOO_LONG
            )
            self.reject(client, class_index, late)
            return
        remaining_us = node.deadline_guard.cap_budget(budget_us - waited_us)
        request = OpenRequest(
            node.requests.next_id(),
            client,
            message,
            class_index,
            node.settings.max_attempts,
            now + remaining_us,
            idempotency_window_us(node.settings.classes[class_index]),
        )
        request.call_id_rule = rule
        self.open(request, remaining_us)

    def is_full(self, message: ClientRequest) -> bool:
        """Whether the node has no capacity for one more request, or for one more upload in progress."""
        node = self.node
        if len(node.requests) >= node.settings.max_open_requests:
            return True
        uploads = len(node.requests.uploads_in_progress)
        return not message.complete and not admits_upload(
            uploads, node.pool.max_connections
        )

    def check_call_id(
        self, message: ClientRequest, rule: CallIdRule | None
    ) -> Rejection | None:
        """The rejection of a request whose id belongs to one that is open or that may have run."""
        if self.is_duplicate(message):
            reason = EndReason.DUPLICATE_CALL_ID
        elif rule is not None and self.node.call_ids.is_claimed(
            message.headers[b"x-call-id"]
        ):
            reason = EndReason.MAY_HAVE_RUN
        else:
            return None
        return Rejection(HTTPStatus.CONFLICT, reason=reason)

    def open(self, request: OpenRequest, remaining_us: int) -> None:
        """Hands an accepted request, which has `remaining_us` left, to the policy.

        A feature may do that in place of this method (`Node.on_request`).
        """
        node, message = self.node, request.message
        node.requests.add(request)
        complete = message.complete
        # Noticed while the request waited for its turn; its body is still unread.
        arrived = not complete and bool(message.completed_at)
        if complete:
            node.deadline_guard.start_timer(request, remaining_us)
        else:
            request.deadline = NO_DEADLINE_US  # set when the last byte is received
        if message.upload is not None:
            message.upload.on_consumed = lambda: node.post(
                node.balancer.not_replayable, request.id
            )
        repeat = message.headers.get(b"x-again") == b"1"
        # Without a name, or with one that the settings do not list, a request gets the number after the last
        # tenant's.
        tenant = self.tenants.get(
            message.headers.get(b"x-caller") or b"", len(self.tenants)
        )
        if node.on_request is None or not node.on_request(
            request, tenant, remaining_us, repeat, complete
        ):
            node.post(
                node.balancer.request,
                request.id,
                request.class_index,
                tenant,
                remaining_us,
                repeat,
                complete,
            )
        if arrived and request.client is not None:
            self.start_time(request)

    def find_class(self, message: ClientRequest) -> int | None:
        """The number of the class that a request's path names; None if there is no such class."""
        path = path_of(message)
        if path[:1] != b"/":
            return None
        return self.node.table.numbers.get(path[1:].partition(b"/")[0])

    def is_duplicate(self, message: ClientRequest) -> bool:
        """Whether a request with the same call id is open and its client still waits.

        Servers treat the second request with an id as an error. These errors, which no server has caused,
        would eject servers and lower the concurrency limit for all other clients.
        """
        earlier = self.node.requests.by_call_id.get(message.headers[b"x-call-id"])
        return (
            earlier is not None
            and earlier.client is not None
            and not earlier.client.check_hangup()
        )

    def waited_us(self, message: ClientRequest) -> int:
        """Microseconds that a request whose last byte has arrived has waited behind others."""
        if not message.completed_at:
            return 0
        return max(0, int((self.node.loop.time() - message.completed_at) * 1e6))

    def answer_unclassified(
        self, client: ClientConnection, message: ClientRequest
    ) -> None:
        """Answers a request of no class: the readiness page, or 404 for any other path."""
        if path_of(message) != READY_PATH:
            client.send_response(HTTPStatus.NOT_FOUND)
        elif message.method != b"GET":
            client.send_response(
                HTTPStatus.METHOD_NOT_ALLOWED, headers=b"Allow: GET\r\n"
            )
        elif self.node.ready():
            client.send_response(HTTPStatus.OK)
        else:
            client.send_response(HTTPStatus.SERVICE_UNAVAILABLE)

    def reject(
        self, client: ClientConnection, class_index: int, rejection: Rejection
    ) -> None:
        """Rejects a request without involving the policy, and counts its end."""
        class_name = self.node.table.names[class_index]
        message = client.open_request
        call_id = message.headers.get(b"x-call-id", b"") if message else b""
        self.node.reasons.refused(rejection.reason, rejection.status, call_id)
        self.node.metrics.request_ended(class_name, rejection.status)
        client.send_response(rejection.status, headers=rejection.headers)
