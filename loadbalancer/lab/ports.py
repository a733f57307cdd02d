"""Loopback TCP ports that are reserved for processes which listen on them later.

A port that is only looked up and not kept bound may be assigned again before its process listens on it: to
the next lookup, or as the local port of a connection. A reserved port stays bound until it is released.
"""

import socket
from types import TracebackType
from typing import Self

LOOPBACK = "127.0.0.1"


class ReservedPorts:
    """Ports that stay bound, so that the kernel assigns them to no other socket; a context manager.

    A process may still listen on a reserved port by its number if it sets SO_REUSEADDR, as asyncio and uvloop
    do, and may do so again after a restart.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self, host: str = LOOPBACK) -> int:
        """Reserves a free port of this IPv4 address.

        An OSError if the kernel has no free port, or the process no descriptor left.
        """
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets.append(reserved)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((host, 0))
        port: int = reserved.getsockname()[1]
        return port

    def reserve_many(self, count: int) -> list[int]:
        """Reserves `count` different ports of 127.0.0.1; errors as in `reserve`."""
        return [self.reserve() for _ in range(count)]

    def close(self) -> None:
        """Releases all ports; processes that listen on them are not affected."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()
