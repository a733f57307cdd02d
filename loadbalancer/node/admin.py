"""The admin listener for operators: pages (GET) and commands (POST).

Each connection carries one request. A page and a command may have the same path. A command's arguments are
in its query; a request body is discarded. The listener shares only the event loop with the clients' side: the
number of its connections is limited, their descriptors are set aside, and none may stay open for long.
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
# For the connections, the listener, and connections that are accepted and about to replace the oldest one
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 4
REQUEST_TIMEOUT_S = 2.0  # until the request must be complete
LINGER_S = 0.5  # from the response to the end of the connection
MAX_REQUEST_BYTES = 8192
MAX_ARGUMENTS = 32  # largest number of arguments of a command
BACKLOG = 64  # largest number of connections that wait to be accepted

Arguments = dict[str, str]
# Returns True for status 200 or False for 503, and the JSON object of the response.
Page = Callable[[], tuple[bool, dict[str, Any]]]
# Returns the HTTP status and the JSON object of the response.
Command = Callable[[Arguments], tuple[int, dict[str, Any]]]


class AdminConnection(asyncio.Protocol):
    """One connection of an operator.

    Args:
        server: The listener that accepted it.

    Attributes:
        target: The request's target, as received so far.
        size: Bytes of the request received so far.
        answered: The response has been sent.
        timer: Ends the wait for the request and, after the response, the connection.
    """

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the timeout for the request."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.server.loop.call_later(
            REQUEST_TIMEOUT_S, self.answer, HTTPStatus.REQUEST_TIMEOUT
        )
        self.server.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; bytes after the response are discarded."""
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
        """Appends to the request's target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answers the request.

        A LoadBalancerError in a page or command becomes a 409 response, any other exception a 500 response.
        """
        try:
            self.dispatch()
        except LoadBalancerError as error:
            self.answer(HTTPStatus.CONFLICT, json.dumps(error.table()).encode())
        except Exception as error:
            what = {"what": f"{type(error).__name__}: {error}"}
            self.answer(HTTPStatus.INTERNAL_SERVER_ERROR, json.dumps(what).encode())

    def dispatch(self) -> None:
        """Calls the page or command of the request's path and sends its result."""
        path, _, query = self.target.decode("latin-1").partition("?")
        page = self.server.pages.get(path)
        command = self.server.commands.get(path)
        method = self.parser.get_method()
        if page is None and command is None:
            self.answer(HTTPStatus.NOT_FOUND)
        elif method == b"GET" and page is not None:
            healthy, table = page()
            status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
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
        """Runs a command with the arguments of the query; 400 if they cannot be parsed."""
        arguments = parse_arguments(query)
        if arguments is None:
            status: int = HTTPStatus.BAD_REQUEST
            table: dict[str, Any] = {
                "what": "query: malformed, too many arguments, or an argument that appears twice"
            }
        else:
            status, table = command(arguments)
        self.answer(status, json.dumps(table).encode())

    def answer(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Sends the response, unless there is one, and closes the connection after LINGER_S.

        Args:
            status: HTTP status.
            body: JSON; may be empty.
            headers: Further headers, each with its line break.
        """
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
        """Cancels the timer and removes the closed connection from the listener."""
        if self.timer is not None:
            self.timer.cancel()
        self.server.remove(self)


def parse_arguments(query: str) -> Arguments | None:
    """Parses a query string.

    Returns:
        The arguments by name; None if the query is malformed, has more than MAX_ARGUMENTS arguments or names
        an argument twice.
    """
    if not query:
        return {}
    # Imported here because a node that receives no commands does not need the module.
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
    """The admin listener and its connections.

    Args:
        loop: The event loop.
        pages: Handlers of GET requests, by path.

    Attributes:
        commands: Handlers of POST requests, by path.
        connections: The open connections, the oldest first.
        server: The listening server, once it is started.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, pages: dict[str, Page]) -> None:
        self.loop = loop
        self.pages = pages
        self.commands: dict[str, Command] = {}
        self.connections: dict[AdminConnection, None] = {}
        self.server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Binds the address and starts to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server = await self.loop.create_server(
            lambda: AdminConnection(self), *address, backlog=BACKLOG
        )

    def set_page(self, path: str, page: Page | None) -> None:
        """Sets the handler of GET requests for a path; None removes it."""
        self.pages.pop(path, None)
        if page is not None:
            self.pages[path] = page

    def set_command(self, path: str, command: Command | None) -> None:
        """Sets the handler of POST requests for a path; None removes it."""
        self.commands.pop(path, None)
        if command is not None:
            self.commands[path] = command

    @property
    def port(self) -> int:
        """The bound port."""
        assert self.server is not None
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def add(self, connection: AdminConnection) -> None:
        """Adds a connection; beyond MAX_CONNECTIONS the oldest one is closed.

        This keeps connections that never complete a request from using up the limit.
        """
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            self.remove(oldest)
            oldest.transport.abort()

    def remove(self, connection: AdminConnection) -> None:
        """Removes a connection."""
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
