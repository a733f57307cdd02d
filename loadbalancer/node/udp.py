"""Datagrams by UDP, on the node's loop."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from loadbalancer.transports.base import BaseTransport
from loadbalancer.transports.interface import (
    MAX_DATAGRAM_BYTES,
    Address,
    Counters,
    DatagramReceiver,
    TransportError,
)

MAX_BUFFERED_BYTES = 1 << 20  # that the socket would not take and the loop keeps
MAX_PORT = 65_535
# Linux: nine counters of a socket's memory, 32 bits each, of which one counts datagrams dropped when its
# receive buffer was full.
SO_MEMINFO = 55
MEMINFO_BYTES = 36
MEMINFO_DROPS_OFFSET = 4 * 8


class Udp(BaseTransport, asyncio.DatagramProtocol):
    """One socket. Only numeric addresses are sent to: no name is ever looked up on the node's loop."""

    def __init__(self, listen: Address, largest: int = MAX_DATAGRAM_BYTES) -> None:
        super().__init__(largest)
        self.listen = listen
        self.transport: Any = None  # an asyncio.DatagramTransport
        self._send_errors = 0  # reported by the socket
        self._receive_drops = 0  # datagrams that found the socket's buffer full

    async def open(self, received: DatagramReceiver) -> Address:
        """Binds the socket; a TransportError if the address cannot be had."""
        self.check_unopened()
        where = "{}:{}".format(*self.listen)
        try:
            made, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, local_addr=self.listen
            )
        except OSError as error:
            raise TransportError(str(error), where) from error
        if self.is_closed:
            made.close()
            raise TransportError("closed while it was being opened", where)
        self.transport = made
        return self.mark_open(received, made.get_extra_info("sockname")[:2])

    @property
    def counters(self) -> Counters:
        """What went through so far."""
        self._count_receive_drops()
        return self.traffic

    def _count_receive_drops(self) -> None:
        """Adds the datagrams that the system dropped while the loop did not read."""
        bound = (
            None if self.transport is None else self.transport.get_extra_info("socket")
        )
        if bound is None:
            return
        try:
            memory = bound.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO_BYTES)
            (drops,) = struct.unpack_from("=I", memory, MEMINFO_DROPS_OFFSET)
        except (OSError, struct.error):  # this system does not count them
            return
        if drops > self._receive_drops:
            dropped = self.traffic.dropped
            more = drops - self._receive_drops
            dropped["full"] = dropped.get("full", 0) + more
            self._receive_drops = drops

    def send(self, data: bytes, to: Address) -> bool:
        """Sends at once, or buffers; False if the datagram was dropped, and counted."""
        if not self.check_sendable(data):
            return False
        if self.transport.get_write_buffer_size() + len(data) > MAX_BUFFERED_BYTES:
            self.traffic.drop("full")
            return False
        errors_before = self._send_errors
        try:
            if not 0 < to[1] <= MAX_PORT:  # uvloop would send to the port modulo 65,536
                raise ValueError("no port")
            self.transport.sendto(data, to)
        except (OSError, ValueError, OverflowError, TypeError):
            # Gossip may hold addresses that no socket can send to.
            self._send_errors += 1
        if self._send_errors != errors_before:
            self.traffic.drop("unreachable")
            return False
        return self.count_sent(data)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self._count_receive_drops()
            self.transport.close()
            self.transport = None
        self.mark_closed()

    # ---- what the loop calls ---------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A datagram arrived."""
        self.deliver(data, (str(addr[0]), int(addr[1])))

    def error_received(self, exc: Exception) -> None:
        """A port refused a datagram, as a killed process's does: the probes find that out."""
        self._send_errors += 1
