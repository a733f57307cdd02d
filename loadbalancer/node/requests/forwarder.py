"""Forwards open requests to servers as the policy decides, and reports each attempt's outcome to it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from loadbalancer.node.end_reasons import EndReason
from loadbalancer.node.requests.open_request import budget_us_of
from loadbalancer.node.requests.request_head import encode_request
from loadbalancer.node.upstream.attempt import Attempt
from loadbalancer.node.upstream.load_report import parse_load_report
from loadbalancer.policy.api import NEVER_RAN, Outcome

if TYPE_CHECKING:
    from loadbalancer.node.client.response_stream import ResponseStream
    from loadbalancer.node.node import Node
    from loadbalancer.node.requests.open_request import OpenRequest
    from loadbalancer.node.upstream.body_buffer import BodySource
    from loadbalancer.node.upstream.endpoint import UpstreamEndpoint
    from loadbalancer.node.upstream.response import Response


def content_type_header(response: Response) -> bytes:
    """The Content-Type line for the client; empty if the response has none."""
    content_type = response.content_type
    return b"Content-Type: %b\r\n" % content_type if content_type else b""


def may_forward(
    request: OpenRequest, endpoint: UpstreamEndpoint | None, index: int
) -> bool:
    """Whether an attempt may start; `index` is the number of earlier attempts of the request."""
    upload = request.message.upload
    return (
        request.client is not None
        and request.attempt is None
        and index < request.max_attempts
        and endpoint is not None
        and endpoint.ready
        and not (upload is not None and upload.consumed)
    )


class ForwardedAttempt:
    """An attempt of an open request, with the callbacks that the upstream side calls.

    Args:
        forwarder: The forwarder that started the attempt.
        request: The request.
        index: Number of earlier attempts of the request.
        server: The endpoint number of the server.

    Attributes:
        index: Number of earlier attempts of the request.
        server: The endpoint number of the server.
        started_at: When the attempt started, in microseconds of the node's clock.
        has_waited: Whether the attempt has been started and `Attempt.start` has returned: if the request is
            encoded only then, the attempt has waited for its connection.
    """

    __slots__ = (
        "forwarder",
        "has_waited",
        "index",
        "node",
        "request",
        "server",
        "started_at",
    )

    def __init__(
        self, forwarder: Forwarder, request: OpenRequest, index: int, server: int
    ) -> None:
        self.forwarder = forwarder
        self.node = forwarder.node
        self.request = request
        self.index = index
        self.server = server
        self.started_at = self.node.now()
        self.has_waited = False

    def remaining_us(self) -> int:
        """Microseconds that are left for the attempt; its full timeout while the request is incomplete."""
        request = self.request
        if not request.has_arrived():
            return self.remaining_us_unread()
        ends_at = (
            request.earliest_server_start_at(self.started_at)
            + request.attempt_timeout_us
        )
        return min(ends_at, request.deadline) - self.node.now()

    def remaining_us_unread(self) -> int:
        """Microseconds that are left at least, while the last byte of the request has not been read."""
        request = self.request
        if request.client is None:
            return request.attempt_timeout_us
        waited_us = int(request.client.input.waited_s(request.message) * 1e6)
        return min(request.attempt_timeout_us, budget_us_of(request) - waited_us)

    def compose(self) -> bytes | None:
        """Encodes the request just before it is written; None if it may no longer be written."""
        request = self.request
        if self.has_waited and request.client is not None:
            request.client.check_hangup()
        first_run_at = request.first_run_at
        if (
            first_run_at
            and self.node.now() >= first_run_at + request.idempotency_window_us
        ):
            # The window has closed while the connection was established: the request could run twice.
            return None
        remaining_us = self.remaining_us()
        if request.client is None or remaining_us <= 0 or not self.claim_call_id():
            return None
        return encode_request(request.message, remaining_us // 1000)

    def claim_call_id(self) -> bool:
        """Whether no other request with this id may have run; answers 409 if one may have."""
        request = self.request
        if request.call_id_rule is None or request.claim is not None:
            return True
        call_ids = self.node.call_ids
        request.claim = call_ids.claim(request.call_id, request.call_id_rule)
        if request.claim is not None:
            return True
        self.node.requests.answer(
            request.id, HTTPStatus.CONFLICT, reason=EndReason.MAY_HAVE_RUN
        )
        return False

    def release_call_id(self) -> None:
        """Takes the claim on the call id back, unless an attempt may have run."""
        request = self.request
        if request.claim is not None and not request.first_run_at:
            self.node.call_ids.release(request.claim)
            request.claim = None

    def stream(self, response: Response, source: BodySource) -> ResponseStream | None:
        """Starts to stream a large response to the client; None if the client has gone.

        From the first byte on, the request is bound to this attempt and has no deadline.
        """
        request = self.request
        client = request.client
        if client is None or client.transport.is_closing():
            return None
        if request.guard_timer is not None:
            request.guard_timer.cancel()
        request.streaming = True
        client.start_response(content_type_header(response), response.length, source)
        self.node.post(
            self.node.balancer.response_started,
            request.id,
            self.index,
            self.server,
            self.latency_us(),
        )
        return client.stream

    def latency_us(self) -> int:
        """Microseconds since the server could start to process the request."""
        server_start_at = self.request.earliest_server_start_at(self.started_at)
        return max(0, self.node.now() - server_start_at)

    def done(self, outcome: Outcome, response: Response | None) -> None:
        """Called when the attempt has ended."""
        self.forwarder.on_attempt_done(self, outcome, response)


class Forwarder:
    """Starts and cancels attempts, and handles their outcomes."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def send(self, request_id: int, server: int, timeout_us: int) -> None:
        """Starts the request's next attempt.

        An attempt that may not be sent ends as NOT_SENT, after the current event.

        Args:
            request_id: The request's number at this node.
            server: The endpoint number of the server.
            timeout_us: Microseconds for the attempt.
        """
        node = self.node
        request = node.requests.by_id.get(request_id)
        if request is not None and request.client is not None:
            request.client.check_hangup()
        endpoint = node.pool.endpoints.get(server)
        index = 0
        if request is not None:
            index = request.attempt_count
            request.attempt_count += 1
        if (
            request is None
            or endpoint is None
            or not may_forward(request, endpoint, index)
        ):
            node.post(
                node.balancer.outcome,
                request_id,
                index,
                server,
                Outcome.NOT_SENT,
                0,
                False,
                (),
            )
            return
        request.attempt_timeout_us = timeout_us
        if index and request.last_outcome is not None:
            node.reasons.retried(request.last_outcome.name, request.call_id, index + 1)
        self.start(ForwardedAttempt(self, request, index, server), endpoint)

    def start(self, forwarded: ForwardedAttempt, endpoint: UpstreamEndpoint) -> None:
        """Starts an attempt, which may end before this method returns."""
        request = forwarded.request
        attempt = Attempt(
            self.node.pool,
            endpoint,
            forwarded.compose,
            forwarded.done,
            self.node.metrics.attempt_forwarded,
            forwarded.stream,
            request.message.upload,
        )
        request.attempt = attempt
        arrived = request.has_arrived()
        attempt.start(max(0, forwarded.remaining_us()) / 1e6 if arrived else None)
        forwarded.has_waited = True

    def cancel(self, request_id: int, index: int) -> None:
        """Cancels an attempt; its outcome is reported after the current event."""
        request = self.node.requests.by_id.get(request_id)
        if (
            request is not None
            and request.attempt is not None
            and index == request.attempt_count - 1
        ):
            request.attempt.stop(Outcome.CANCELLED)

    def on_attempt_done(
        self, forwarded: ForwardedAttempt, outcome: Outcome, response: Response | None
    ) -> None:
        """Handles an attempt's end: first answers the client, then reports the outcome to the policy."""
        node, request = self.node, forwarded.request
        request.attempt = None
        request.last_outcome = outcome
        if outcome not in NEVER_RAN and not request.first_run_at:
            request.first_run_at = forwarded.started_at
        forwarded.release_call_id()
        load_report: tuple[float, ...] = ()
        if response is not None:
            if node.config.inline_reports:
                load_report = parse_load_report(
                    response.load_report, node.config.report_names
                )
            if outcome == Outcome.OK and not request.streaming:
                self.send_held_response(request, response)
        if node.on_ended is not None:
            node.on_ended(
                request, forwarded.server, forwarded.started_at, outcome, response
            )
        if request.streaming and request.client is not None:
            if outcome == Outcome.OK:
                node.requests.answer(request.id, HTTPStatus.OK)
            else:
                node.requests.answer(
                    request.id,
                    HTTPStatus.BAD_GATEWAY,
                    reason=EndReason.RESPONSE_BROKEN,
                )
        self.report(forwarded, outcome, load_report)

    def send_held_response(self, request: OpenRequest, response: Response) -> None:
        """Answers the client with a response that was held in memory."""
        if request.client is not None:
            self.node.requests.answer(
                request.id,
                HTTPStatus.OK,
                response.body,
                content_type_header(response),
            )

    def report(
        self,
        forwarded: ForwardedAttempt,
        outcome: Outcome,
        load_report: tuple[float, ...],
    ) -> None:
        """Reports an attempt's outcome to the policy, and whether the request has ended with it.

        If a listed server rejected the attempt or could not be reached, the agent is asked whether the
        endpoint list has changed.
        """
        node, request = self.node, forwarded.request
        final = request.client is None
        if final:
            node.requests.by_id.pop(request.id, None)
        endpoint = node.pool.endpoints.get(forwarded.server)
        if (
            outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED)
            and endpoint is not None
            and endpoint.ready
        ):
            node.discovery.poll_if_due()
        node.post(
            node.balancer.outcome,
            request.id,
            forwarded.index,
            forwarded.server,
            outcome,
            forwarded.latency_us(),
            final,
            load_report,
        )
