"""A server's response as the node uses it, and the interface that a large response is streamed to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.node.upstream.body_buffer import BodySource
from loadbalancer.policy.api import Outcome

STATUS_OK = 200
OVERLOAD_STATUSES = (503, 504)


@dataclass
class Response:
    """A server's response: complete, or the head of one that is streamed.

    Attributes:
        status: The status code.
        body: The body; empty if it is streamed.
        content_type: The value of the Content-Type header; empty without one.
        rejected: Whether the response is marked as rejected: the server has not run the request.
        load_report: The value of the X-Load-Report header; empty without one.
        length: Bytes of the body; None if the head does not declare it.
        hit: The value of the header that reports cache hits, if operators have configured one.
    """

    status: int
    body: bytes
    content_type: bytes
    rejected: bool
    load_report: bytes
    length: int | None = None
    hit: bytes = b""

    def outcome(self) -> Outcome:
        """The attempt's outcome.

        A 503 or 504 without the rejection mark may come from a tier behind the server, so the server may have
        run the request.
        """
        if self.status == STATUS_OK:
            return Outcome.OK
        if self.status in OVERLOAD_STATUSES and self.rejected:
            return Outcome.REJECTED
        return Outcome.ERROR


class ResponseSink(Protocol):
    """The receiver of a streamed response.

    Attributes:
        write_paused: Whether nothing more should be written for now.
    """

    write_paused: bool

    def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body."""


# Takes the head of a response and its source. Returns where to stream the response to; None if nowhere.
StreamStart = Callable[[Response, BodySource], ResponseSink | None]
