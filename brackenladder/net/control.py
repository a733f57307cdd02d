"""The operators' listener: `/admin/health` and `/admin/stats`, one call per connection.

It shares nothing with the clients' side but the event loop: its callers are few, their descriptors are set
aside, and none of them may stay for long.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

import httptools

from brackenladder.net.callers import REASONS

MOST = 16  # callers at a time
DESCRIPTORS = MOST + 4  # set aside: theirs, the listener's, and those accepted to be told apart
READ_TIME = 2.0  # seconds for a call to come whole
LINGER = 0.5  # seconds in which the caller may read its answer
LARGEST = 8192  # bytes of a call
BACKLOG = 64


class Call(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, owner: Control) -> None:
        self.owner = owner
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.owner.loop.call_later(READ_TIME, self.answer, 408)
        self.owner.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:  # one call per connection: what follows is read and thrown away
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400)
        if self.size > LARGEST:
            self.answer(400)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        path = self.target.partition(b"?")[0].decode("latin-1")
        serve = self.owner.calls.get(path)
        if serve is None:
            self.answer(404)
        elif self.parser.get_method() != b"GET":
            self.answer(405, headers=b"Allow: GET\r\n")
        else:
            ok, table = serve()
            self.answer(200 if ok else 503, json.dumps(table).encode())

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """The one answer; then our end is closed, and the connection soon after."""
        if self.answered or self.transport.is_closing():
            return
        self.answered = True
        if self.timer is not None:
            self.timer.cancel()
        if body:
            headers += b"Content-Type: application/json\r\n"
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\nConnection: close\r\n\r\n"
        self.transport.write(head % (status, REASONS[status], headers, len(body)) + body)
        self.transport.write_eof()
        self.timer = self.owner.loop.call_later(LINGER, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.owner.left(self)


Serve = Callable[[], tuple[bool, dict[str, Any]]]


class Control:
    """The listener and its callers; `calls` maps a path to what answers it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: dict[str, Serve]) -> None:
        self.loop = loop
        self.calls = calls
        self.callers: dict[Call, None] = {}  # in the order of their coming
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Binds and listens. An OSError if the address cannot be had."""
        self.server = await self.loop.create_server(lambda: Call(self), *address, backlog=BACKLOG)

    def serve(self, path: str, answer: Serve | None) -> None:
        """Answers a path from now on, or no longer."""
        self.calls.pop(path, None)
        if answer is not None:
            self.calls[path] = answer

    @property
    def port(self) -> int:
        assert self.server is not None
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def joined(self, call: Call) -> None:
        """Takes a caller; beyond the bound the one that came first makes way.

        Failure prevented: callers that finish no call take all places, and the next waits for their time.
        """
        self.callers[call] = None
        if len(self.callers) > MOST:
            oldest = next(iter(self.callers))
            self.left(oldest)
            oldest.transport.abort()

    def left(self, call: Call) -> None:
        """Forgets a caller."""
        self.callers.pop(call, None)

    def close(self) -> None:
        """Ends the listener and all calls."""
        if self.server is not None:
            self.server.close()
        for call in list(self.callers):
            call.transport.abort()
