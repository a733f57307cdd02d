"""A connection through the proxy: two sockets, and for each direction a stream injector and a task."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress

from loadbalancer.fault.address import Address
from loadbalancer.fault.rules import (
    DIRECTIONS,
    FOREVER_S,
    Direction,
    FaultKind,
    FaultRule,
    FaultScript,
)
from loadbalancer.fault.stream_injector import StreamInjector
from loadbalancer.fault.stream_steps import (
    COMMAND_RULE,
    EndConnection,
    Freeze,
    InjectedFault,
    Pause,
    SendBytes,
    Step,
)

READ_BYTES = 65_536  # maximum of one read
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends a reset
# Commands with these kinds of faults take effect at once, all others with the next byte.
IMMEDIATE_KINDS = (
    FaultKind.CLOSE,
    FaultKind.RESET,
    FaultKind.HALF_CLOSE,
    FaultKind.FREEZE,
    FaultKind.REFUSE,
)


def address_family(address: Address) -> socket.AddressFamily:
    """Returns the family of an IP address: IPv6 or IPv4."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class ProxiedConnection:
    """A connection from a client through the proxy to the server.

    Attributes:
        number: Number of the connection, from 1, in the order in which connections are accepted.
        client: Socket to the client.
        server: Socket to the server; None until `run` creates it.
        injectors: Decide what happens to the bytes, by direction.
        running: Events that are set unless the direction is frozen.
        forwarded_bytes: Number of bytes forwarded so far, by direction.
        tasks: The tasks that forward the two directions.
        is_open: Whether neither the client, the server nor a fault has ended the connection yet.
    """

    def __init__(
        self,
        number: int,
        client: socket.socket,
        script: FaultScript,
        on_fault: Callable[[InjectedFault], None],
        on_closed: Callable[[int], None],
    ) -> None:
        """Prepares the connection; `run` does the work.

        Args:
            number: Number of the connection.
            client: The accepted, non-blocking socket.
            script: The rules that apply to the connection.
            on_fault: Called with each fault that is injected.
            on_closed: Called with the connection's number once both sockets are closed.
        """
        self.number = number
        self.client = client
        self.server: socket.socket | None = None
        self.on_fault, self.on_closed = on_fault, on_closed
        self.injectors = {
            direction: StreamInjector(script, number, direction)
            for direction in DIRECTIONS
        }
        self.running = {direction: asyncio.Event() for direction in DIRECTIONS}
        self.thaw()
        self.forwarded_bytes: dict[Direction, int] = dict.fromkeys(DIRECTIONS, 0)
        self.tasks: list[asyncio.Task[None]] = []
        self.is_open = True

    async def run(self, target: Address) -> None:
        """Connects to the server at `target` and forwards bytes until both directions have ended."""
        loop = asyncio.get_running_loop()
        server = socket.socket(address_family(target), socket.SOCK_STREAM)
        server.setblocking(False)
        self.server = server
        try:
            await loop.sock_connect(server, target)
        except OSError:
            # Tells the client that the server cannot be reached.
            self.end(FaultKind.RESET)
            return
        for sock in (self.client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tasks = [
            loop.create_task(self._pump(Direction.TO_SERVER, self.client, server)),
            loop.create_task(self._pump(Direction.TO_CLIENT, server, self.client)),
        ]
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks)
        self.end(FaultKind.CLOSE)

    async def _pump(
        self, direction: Direction, source: socket.socket, sink: socket.socket
    ) -> None:
        """Forwards the bytes of one direction until its source or a fault ends it."""
        injector = self.injectors[direction]
        try:
            await self._perform(direction, injector.start(), sink)
            while self.is_open:
                data = await self._read(direction, source)
                if not data:
                    break
                if injector.ended:
                    continue  # later bytes are dropped; the other direction continues
                await self._perform(direction, injector.feed(data), sink)
            if self.is_open and not injector.ended:
                sink.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            self.end(FaultKind.RESET)
        except OSError:
            self.end(FaultKind.CLOSE)

    async def _read(self, direction: Direction, source: socket.socket) -> bytes:
        await self.running[direction].wait()
        data = await asyncio.get_running_loop().sock_recv(source, READ_BYTES)
        await self.running[direction].wait()
        return data

    async def _perform(
        self, direction: Direction, steps: Sequence[Step], sink: socket.socket
    ) -> None:
        """Performs steps in order, until the connection has ended."""
        for step in steps:
            if not self.is_open:
                return
            if isinstance(step, InjectedFault):
                self.on_fault(step)
            elif isinstance(step, SendBytes):
                await self._send(direction, step.data, sink)
            elif isinstance(step, Pause):
                await asyncio.sleep(step.seconds)
            elif isinstance(step, Freeze):
                frozen = DIRECTIONS if step.both_directions else (direction,)
                self.freeze(frozen, step.seconds)
                await self.running[direction].wait()
            elif isinstance(step, EndConnection):
                if step.kind == FaultKind.HALF_CLOSE:
                    sink.shutdown(socket.SHUT_WR)
                else:
                    self.end(step.kind)

    async def _send(
        self, direction: Direction, data: bytes, sink: socket.socket
    ) -> None:
        await self.running[direction].wait()
        await asyncio.get_running_loop().sock_sendall(sink, data)
        self.forwarded_bytes[direction] += len(data)

    # ---- called by commands and steps -----------------------------------------------------------------

    def freeze(self, directions: tuple[Direction, ...], seconds: float) -> None:
        """Stops reading and writing in some directions.

        Args:
            directions: The directions to freeze.
            seconds: Duration of the freeze; `FOREVER_S` for until `thaw` is called.
        """
        for direction in directions:
            self.running[direction].clear()
        if seconds != FOREVER_S:
            asyncio.get_running_loop().call_later(seconds, self.thaw, directions)

    def thaw(self, directions: tuple[Direction, ...] = DIRECTIONS) -> None:
        """Resumes frozen directions; by default both."""
        for direction in directions:
            self.running[direction].set()

    def inject(self, rule: FaultRule) -> None:
        """Injects the fault of a command: at once for `IMMEDIATE_KINDS`, otherwise with the next byte."""
        if rule.kind not in IMMEDIATE_KINDS:
            self.injectors[rule.direction].add_rule(rule)
            return
        kind = FaultKind.RESET if rule.kind == FaultKind.REFUSE else rule.kind
        offset = self.injectors[rule.direction].offset
        self.on_fault(
            InjectedFault(self.number, rule.direction, offset, kind, COMMAND_RULE)
        )
        if kind == FaultKind.FREEZE:
            frozen = DIRECTIONS if rule.both_directions else (rule.direction,)
            self.freeze(frozen, rule.freeze_s())
        elif kind == FaultKind.HALF_CLOSE:
            self._half_close(rule.direction)
        else:
            self.end(kind)

    def clear_rules(self) -> None:
        """Removes all rules and resumes frozen directions."""
        for injector in self.injectors.values():
            injector.clear_rules()
        self.thaw()

    def _half_close(self, direction: Direction) -> None:
        """Ends one direction of the connection at once; the other one continues."""
        self.injectors[direction].ended = True
        sink = self.server if direction == Direction.TO_SERVER else self.client
        with suppress(OSError):
            if sink is not None:
                sink.shutdown(socket.SHUT_WR)

    # ---- shutdown -------------------------------------------------------------------------------------

    def end(self, kind: FaultKind) -> None:
        """Ends the connection, if it is open: with resets for `RESET`, in order for any other kind."""
        if not self.is_open:
            return
        self.is_open = False
        for sock in (self.client, self.server):
            if sock is not None:
                with suppress(OSError):
                    _end_socket(sock, kind)
        self.thaw()
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()
        # Closes in the loop's next iteration: while a task still waits on a socket, its descriptor must not
        # be reused for another one.
        asyncio.get_running_loop().call_soon(self._close_sockets)

    def _close_sockets(self) -> None:
        loop = asyncio.get_running_loop()
        for sock in (self.client, self.server):
            if sock is not None and sock.fileno() >= 0:
                loop.remove_reader(sock)
                loop.remove_writer(sock)
                sock.close()
        self.on_closed(self.number)


def _end_socket(sock: socket.socket, kind: FaultKind) -> None:
    """Prepares a socket for its close, with a reset or in order."""
    if kind == FaultKind.RESET:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        return
    sock.shutdown(socket.SHUT_WR)
    # Unread bytes would make the close send a reset.
    while sock.recv(READ_BYTES):
        pass
