"""An HTTP connection to the discovery agent that carries one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from loadbalancer.node.discovery.answer_delay import SILENCE_S
from loadbalancer.node.discovery.call_retention import MAX_OLDEST_LIFETIME_S

# A call is also late if its answer is incomplete after this time, even if it arrives at a good rate.
ANSWER_TIMEOUT_S = 2.0
# An answer that arrives byte by byte gets this share of the time, which is as long as SILENCE_S.
SLOW_BODY_SHARE = 0.15
MIN_LATE_BYTES_PER_S = 200_000  # rate at which a late answer has to arrive
MAX_ANSWER_BYTES = 20 << 20  # enough for a list of 100,000 servers


class DiscoveryCall(asyncio.Protocol):
    """An HTTP connection to the discovery agent that carries one call at a time.

    Args:
        loop: The event loop.
        address: Host and port of the discovery agent.
        on_answer: Called with the body of each answer, and once with None when the connection ends.
        on_late: Called every SILENCE_S seconds while the call is late.
        timeout_s: Seconds after the agent's waiting time at which a call without an answer fails. A long list
            gets the time for its size in addition.

    Attributes:
        ended: The call and its connection have ended.
        closed_by_answer: The last answer closed the connection; a further call opens a new one.
        late: The call in progress is late.
        retained: The call keeps its slot when another one needs a slot (`CallRetention`).
        started_at: Loop time of the call's start in seconds.
        answered_at: Loop time of the latest answer in seconds.
        first_byte_at: Loop time of the first byte of the answer in progress; None before it.
        wait_s: Seconds that the agent may wait before it answers.
        since_version: Version of the endpoint list in use when the call was made.
        answers_applied: Number of answers that the client had applied when the call was made.
        transport: The connection; None while there is none.
        timer: The next check for silence, or the client's next request on this connection if it is delayed.
        task: The task that opens the connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_answer: Callable[[DiscoveryCall, bytearray | None], None],
        on_late: Callable[[DiscoveryCall], None] = lambda call: None,
        timeout_s: float = MAX_OLDEST_LIFETIME_S,
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_answer = on_answer
        self.on_late = on_late
        self.timeout_s = timeout_s
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.closed_by_answer = False
        self.headers_complete = self.has_length = self.complete = self.late = False
        self.started_at = self.wait_s = self.answered_at = 0.0
        self.retained = False
        self.first_byte_at: float | None = None
        self.body = bytearray()
        self.since_version: int | None = None
        self.answers_applied = 0
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def request(self, path: str, wait_s: float) -> None:
        """Sends a GET request for `path`.

        Args:
            path: Path and query of the request.
            wait_s: Seconds that the agent may wait before it answers; silence counts only after them.
        """
        host = f"{self.address[0]}:{self.address[1]}"
        self.request_bytes = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.headers_complete = self.has_length = self.complete = self.late = False
        self.started_at, self.wait_s = self.loop.time(), wait_s
        self.wait_ends_at = self.last_byte_at = self.started_at + wait_s
        self.first_byte_at = None
        self.schedule_check(wait_s + SILENCE_S)
        if self.transport is not None:
            self.transport.write(self.request_bytes)
        else:
            self.task = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Opens the connection; `connection_made` then sends the request."""
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self.fail()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request, unless the call has ended in the meantime."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.close_connection()
        else:
            self.transport.write(self.request_bytes)

    def schedule_check(self, delay_s: float) -> None:
        """Schedules the check for silence in `delay_s` seconds."""
        self.cancel_timer()
        self.timer = self.loop.call_later(delay_s, self.check_silence)

    def cancel_timer(self) -> None:
        """Cancels the scheduled check for silence."""
        if self.timer is not None:
            self.timer.cancel()

    def check_silence(self) -> None:
        """Detects that the call is late, and ends it at its timeout."""
        now = self.loop.time()
        late_at = min(self.last_byte_at + SILENCE_S, self.answer_timeout_at())
        timeout_s = self.timeout_s + len(self.body) / MIN_LATE_BYTES_PER_S
        if not self.late and now < late_at:
            self.schedule_check(late_at - now)
        elif now >= self.wait_ends_at + timeout_s:
            self.fail()
        else:
            self.late = True
            self.schedule_check(SILENCE_S)
            self.on_late(self)

    def answer_timeout_at(self) -> float:
        """Returns the loop time from which an answer that is still arriving is late."""
        size_s = len(self.body) / MIN_LATE_BYTES_PER_S
        slow_body_s = ANSWER_TIMEOUT_S * SLOW_BODY_SHARE + size_s
        return self.wait_ends_at + min(ANSWER_TIMEOUT_S, slow_body_s)

    def is_receiving(self, now: float) -> bool:
        """Returns whether an answer is arriving at MIN_LATE_BYTES_PER_S or faster, as a long list does."""
        if self.first_byte_at is None or now >= self.last_byte_at + SILENCE_S:
            return False
        size_s = len(self.body) / MIN_LATE_BYTES_PER_S
        return now <= self.first_byte_at + size_s

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; bytes after a complete answer end the call."""
        if self.ended:
            return
        self.last_byte_at = self.loop.time()
        if self.first_byte_at is None:
            self.first_byte_at = self.last_byte_at
        unrequested = self.complete
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail()
            return
        if unrequested or len(self.body) > MAX_ANSWER_BYTES:
            self.fail()
        elif self.complete:
            self.finish(self.keep_alive)

    def eof_received(self) -> None:
        """Completes an answer without a length: it ends when the agent closes the connection regularly."""
        unfinished = self.headers_complete and not self.complete and not self.ended
        if unfinished and not self.has_length:
            self.complete = True
            self.finish(False)

    def finish(self, keep_alive: bool) -> None:
        """Delivers a complete answer; a status other than 200 ends the call."""
        self.cancel_timer()  # the time to read the list does not count as silence
        self.answered_at = self.loop.time()
        if self.parser.get_status_code() != HTTPStatus.OK:
            self.fail()
            return
        if not keep_alive:
            self.closed_by_answer = True
            self.close_connection()
        self.on_answer(self, self.body)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records whether the answer's headers determine where its body ends."""
        self.has_length = self.has_length or name.lower() in (
            b"content-length",
            b"transfer-encoding",
        )

    def on_headers_complete(self) -> None:
        """Records that the headers have been received."""
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Appends to the body, up to the first piece that exceeds MAX_ANSWER_BYTES."""
        if len(self.body) <= MAX_ANSWER_BYTES:
            self.body += body

    def on_message_complete(self) -> None:
        """Records that the answer is complete and whether the connection stays open."""
        self.complete = True
        # Only available here, because the parser is reset afterwards.
        self.keep_alive = self.parser.should_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call after the agent has closed the connection or the connection has broken."""
        if self.transport is not None:
            self.transport = None
            self.fail()

    def close_connection(self) -> None:
        """Closes the connection; the next call opens a new one."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def fail(self) -> None:
        """Ends the call and reports that it has no answer."""
        if not self.ended:
            self.end()
            self.on_answer(self, None)

    def end(self) -> None:
        """Ends the call and closes its connection; no callback follows."""
        self.ended = True
        self.cancel_timer()
        if self.task is not None:
            self.task.cancel()
        self.close_connection()
