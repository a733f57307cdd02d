"""The fault injection proxy: accepts connections and forwards each over a new connection to the server.

Only loopback addresses are used: this is a tool for tests. Each fault is logged as one JSON line, in the
order in which faults happen; without a clock nothing in a line depends on time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from time import monotonic

from loadbalancer.fault.address import Address
from loadbalancer.fault.proxied_connection import (
    LINGER_RESET,
    ProxiedConnection,
    address_family,
)
from loadbalancer.fault.rules import Direction, FaultKind, FaultScript
from loadbalancer.fault.stream_injector import refusing_rule
from loadbalancer.fault.stream_steps import COMMAND_RULE, InjectedFault

BACKLOG = 256  # connections that wait to be accepted
MAX_CONNECTIONS = 4000  # open at the same time; further ones are reset
ACCEPT_RETRY_S = 0.01  # pause after an accept that failed
STOP_TIMEOUT_S = 5  # how long `stop` waits for connections to end


class FaultProxy:
    """Listens for clients, forwards their connections with faults, and logs the faults.

    Attributes:
        script: The rules for connections that are accepted from now on.
        target: Address of the server.
        write: Called with each line of the log.
        started_at: Monotonic time of the start in seconds; None if lines carry no time.
        connections: The open connections by number.
        accepted: Number of connections accepted under the current script, which is the last one's number.
        faults: Number of faults injected so far.
        refusing: Whether a command has made the proxy refuse new connections.
    """

    def __init__(
        self,
        script: FaultScript,
        target: Address,
        write: Callable[[str], None] = lambda line: None,
        clock: bool = False,
    ) -> None:
        """Prepares the proxy; `start` listens.

        Args:
            script: The rules.
            target: Address of the server.
            write: Called with each line of the log.
            clock: Whether lines carry the seconds since the start.
        """
        self.script = script
        self.target = target
        self.write = write
        self.started_at = monotonic() if clock else None
        self.connections: dict[int, ProxiedConnection] = {}
        self.accepted = 0
        self.faults = 0
        self.refusing = False
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._accept_task: asyncio.Task[None] | None = None

    async def start(self, listen: Address) -> Address:
        """Starts to listen.

        Args:
            listen: The address; with port 0 the system chooses a port.

        Returns:
            The address, with the port that is in use.

        Raises:
            OSError: The address cannot be opened.
        """
        listener = socket.socket(address_family(listen), socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(listen)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        loop = asyncio.get_running_loop()
        self._accept_task = loop.create_task(self._accept(listener))
        address: Address = listener.getsockname()[:2]
        return address

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                client, _ = await loop.sock_accept(listener)
            except OSError:  # out of descriptors, or the client has disconnected
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            client.setblocking(False)
            self.accepted += 1
            if not self._refuse(client):
                self._forward(client)

    def _refuse(self, client: socket.socket) -> bool:
        """Resets an accepted connection if it is to be refused; returns whether it was."""
        rule = refusing_rule(self.script, self.accepted)
        is_full = len(self.connections) >= MAX_CONNECTIONS
        if rule is None and not self.refusing and not is_full:
            return False
        self.log(
            InjectedFault(
                self.accepted,
                Direction.TO_CLIENT,
                0,
                FaultKind.REFUSE,
                COMMAND_RULE if rule is None else rule,
            )
        )
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        client.close()
        return True

    def _forward(self, client: socket.socket) -> None:
        """Starts to forward an accepted connection over a new connection to the server."""
        connection = ProxiedConnection(
            self.accepted, client, self.script, self.log, self._remove
        )
        self.connections[self.accepted] = connection
        task = asyncio.get_running_loop().create_task(connection.run(self.target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _remove(self, number: int) -> None:
        self.connections.pop(number, None)

    def log(self, fault: InjectedFault) -> None:
        """Counts an injected fault and writes its line."""
        self.faults += 1
        elapsed_s = None if self.started_at is None else monotonic() - self.started_at
        self.write(fault.log_line(elapsed_s))

    def replace_script(self, script: FaultScript) -> None:
        """Replaces the script for connections accepted from now on, which are numbered from 1 again."""
        self.script = script
        self.accepted = 0

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._accept_task is not None:
            self._accept_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._accept_task
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections.values()):
            connection.end(FaultKind.CLOSE)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_TIMEOUT_S)
        await asyncio.sleep(0)
