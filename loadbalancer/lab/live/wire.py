"""HTTP/1.1 on loopback for stand-ins: a client with pooled connections, and a server's side of one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

CONNECT_TIME = 1.0  # seconds


class Unreached(Exception):
    """No connection came up: nothing was asked. The lab counts it; nobody reads it."""


class Broken(Exception):
    """The connection ended before a whole answer had come. The lab counts it; nobody reads it."""


@dataclass
class Answer:
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Connection(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self, idle: Callable[[Connection], None]) -> None:
        self.idle = idle
        self.transport: asyncio.Transport | None = None
        self.waiting: asyncio.Future[Answer] | None = None
        self.used = 0
        self.heard = False
        self.reset = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, data: bytes) -> asyncio.Future[Answer]:
        """Sends a request; the future has its answer, or Broken."""
        assert self.transport is not None
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.heard = False
        self.used += 1
        self.waiting = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.waiting

    def data_received(self, data: bytes) -> None:
        if self.waiting is None:
            self.close()
            return
        self.heard = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        waiting, self.waiting = self.waiting, None
        keep = self.parser.should_keep_alive()
        if waiting is not None and not waiting.done():
            waiting.set_result(
                Answer(self.parser.get_status_code(), self.headers, self.body)
            )
        if keep:
            self.idle(self)
        else:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.reset = isinstance(exc, ConnectionResetError)
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(Broken())
        self.waiting = None

    def close(self) -> None:
        """Hangs up at once; what is awaited ends as Broken."""
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """Connections to one address, kept while they are idle."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.free: list[Connection] = []

    async def connection(self) -> Connection:
        """One that is idle, or a new one; Unreached if none comes up."""
        while self.free:
            connection = self.free.pop()
            if (
                connection.transport is not None
                and not connection.transport.is_closing()
            ):
                return connection
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIME):
                _, made = await loop.create_connection(
                    lambda: Connection(self.free.append), *self.address
                )
        except (OSError, TimeoutError):
            raise Unreached from None
        return made

    async def ask(self, data: bytes, repeatable: bool = True) -> Answer:
        """Sends a request and waits for its answer; Unreached or Broken otherwise.

        On a kept connection that ends before a byte of an answer, the request goes out once more on a new
        one: the other side has closed it while nothing was asked. One that must not run twice does so only
        after a reset, which says that the other side had not read it; an orderly end says nothing.
        """
        connection = await self.connection()
        reused = connection.used > 0
        try:
            return await self.hear(connection, data)
        except Broken:
            if not reused or connection.heard or not (repeatable or connection.reset):
                raise
        self.drop()
        return await self.hear(await self.connection(), data)

    async def hear(self, connection: Connection, data: bytes) -> Answer:
        try:
            return await connection.ask(data)
        except asyncio.CancelledError:
            connection.close()  # whoever waited has gone away
            raise

    def drop(self) -> None:
        """Hangs up on all that are idle."""
        for connection in self.free:
            connection.close()
        self.free.clear()


class Incoming(asyncio.Protocol):
    """A server's side of a connection. `asked` gets each request whole; answers go out with `answer`."""

    def __init__(
        self,
        asked: Callable[[Incoming, str, bytes, dict[bytes, bytes], bytes], None],
        opened: Callable[[Incoming], None],
        closed: Callable[[Incoming], None],
    ) -> None:
        self.asked = asked
        self.opened = opened
        self.closed = closed
        self.transport: asyncio.Transport | None = None
        self.requests = 0
        self.deaf = False  # its machine says nothing: what comes is not heard
        self.begin()

    def begin(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        url, headers, body = self.url, self.headers, self.body
        self.url, self.headers, self.body = b"", {}, b""
        self.requests += 1
        self.asked(self, method, url, headers, body)

    def answer(self, status: bytes, body: bytes, *lines: bytes) -> None:
        """Sends a whole answer, if the connection is still there."""
        if self.transport is None or self.deaf:
            return
        head = b"".join(line + b"\r\n" for line in lines)
        self.transport.write(
            b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (status, len(body), head, body)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closed(self)

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()
