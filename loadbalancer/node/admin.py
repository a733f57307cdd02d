"""The operators' listener: pages to read (GET) and commands that change something (POST).

One request per connection. A page's path may be a command's as well. The arguments of a command stand in its
query; a body is thrown away. The listener shares nothing with the clients' side but the event loop: its
connections are few, their descriptors are set aside, and none of them may stay for long.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

import httptools

from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.client.request import REASON_PHRASES

MAX_CONNECTIONS = 16
# Set aside: those of the connections, the listener's, and those accepted to be told apart.
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 4
REQUEST_TIMEOUT_S = 2.0  # for a request to come completely
LINGER_S = 0.5  # in which the answer may be read
MAX_REQUEST_BYTES = 8192
MAX_ARGUMENTS = 32  # in a command's query
BACKLOG = 64

Arguments = dict[str, str]
Page = Callable[[], tuple[bool, dict[str, Any]]]  # whether all is well, and the table
Command = Callable[[Arguments], tuple[int, dict[str, Any]]]  # status and table


class AdminConnection(asyncio.Protocol):
    """One operator's connection."""

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0  # bytes of the request until now
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins the time for the request."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.server.loop.call_later(
            REQUEST_TIMEOUT_S, self.answer, HTTPStatus.REQUEST_TIMEOUT
        )
        self.server.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses what has come; what follows an answer is read and thrown away."""
        if self.answered:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(HTTPStatus.BAD_REQUEST)
        if self.size > MAX_REQUEST_BYTES:
            self.answer(HTTPStatus.BAD_REQUEST)

    def on_url(self, url: bytes) -> None:
        """Gathers the request's target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answers the request. One page's failure does not end the listener."""
        try:
            self.dispatch()
        except LoadBalancerError as error:
            self.answer(HTTPStatus.CONFLICT, json.dumps(error.table()).encode())
        except Exception as error:
            what = {"what": f"{type(error).__name__}: {error}"}
            self.answer(HTTPStatus.INTERNAL_SERVER_ERROR, json.dumps(what).encode())

    def dispatch(self) -> None:
        """Finds the page or the command and answers with what it gives."""
        path, _, query = self.target.decode("latin-1").partition("?")
        page = self.server.pages.get(path)
        command = self.server.commands.get(path)
        method = self.parser.get_method()
        if page is None and command is None:
            self.answer(HTTPStatus.NOT_FOUND)
        elif method == b"GET" and page is not None:
            ok, table = page()
            status = HTTPStatus.OK if ok else HTTPStatus.SERVICE_UNAVAILABLE
            self.answer(status, json.dumps(table).encode())
        elif method == b"POST" and command is not None:
            self.run(command, query)
        else:
            methods = ((b"GET", page), (b"POST", command))
            allowed = [name for name, handler in methods if handler is not None]
            self.answer(
                HTTPStatus.METHOD_NOT_ALLOWED,
                headers=b"Allow: %b\r\n" % b", ".join(allowed),
            )

    def run(self, command: Command, query: str) -> None:
        """Runs a command with the arguments of the query."""
        arguments = parse_arguments(query)
        if arguments is None:
            status: int = HTTPStatus.BAD_REQUEST
            table: dict[str, Any] = {"what": "query: unreadable"}
        else:
            status, table = command(arguments)
        self.answer(status, json.dumps(table).encode())

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
        reason = REASON_PHRASES.get(status, b"Answered")
        self.transport.write(head % (status, reason, headers, len(body)) + body)
        self.transport.write_eof()
        self.timer = self.server.loop.call_later(LINGER_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, from either side."""
        if self.timer is not None:
            self.timer.cancel()
        self.server.remove(self)


def parse_arguments(query: str) -> Arguments | None:
    """A query's arguments by name; None for one that cannot be read, or names one twice."""
    if not query:
        return {}
    # Here: a node to which nobody posts does not need it.
    from urllib.parse import parse_qsl

    try:
        pairs = parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=True,
            errors="strict",
            max_num_fields=MAX_ARGUMENTS,
        )
    except ValueError:
        return None
    arguments = dict(pairs)
    return arguments if len(arguments) == len(pairs) else None


class AdminServer:
    """The listener and its connections.

    Args:
        loop: The loop that it runs on.
        pages: What answers a GET, by path.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, pages: dict[str, Page]) -> None:
        self.loop = loop
        self.pages = pages
        self.commands: dict[str, Command] = {}
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Binds and listens.

        Raises:
            OSError: The address cannot be had.
        """
        self.server = await self.loop.create_server(
            lambda: AdminConnection(self), *address, backlog=BACKLOG
        )

    def set_page(self, path: str, page: Page | None) -> None:
        """Answers GET of a path from now on, or no longer (None)."""
        self.pages.pop(path, None)
        if page is not None:
            self.pages[path] = page

    def set_command(self, path: str, command: Command | None) -> None:
        """Takes POST to a path from now on, or no longer (None)."""
        self.commands.pop(path, None)
        if command is not None:
            self.commands[path] = command

    @property
    def port(self) -> int:
        """The port that is bound."""
        assert self.server is not None
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def add(self, connection: AdminConnection) -> None:
        """Takes a connection; beyond the bound the oldest makes way.

        So connections that finish no request cannot take all places.
        """
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            self.remove(oldest)
            oldest.transport.abort()

    def remove(self, connection: AdminConnection) -> None:
        """Forgets a connection."""
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Ends the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
