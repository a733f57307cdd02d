"""A UDP transport on the node's event loop."""

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

MAX_BUFFERED_BYTES = 1 << 20  # limit of the loop's buffer for unsent datagrams
MAX_PORT = 65_535
# A Linux socket option that returns nine 32-bit counters of the socket's memory. One of them counts the
# datagrams that were dropped because its receive buffer was full.
SO_MEMINFO = 55
MEMINFO_BYTES = 36
MEMINFO_DROPS_OFFSET = 4 * 8


class Udp(BaseTransport, asyncio.DatagramProtocol):
    """One UDP socket. Destinations must be numeric: names are never resolved on the node's loop.

    Args:
        listen: Host and port to bind.
        largest: Size limit of a datagram in bytes.
    """

    def __init__(self, listen: Address, largest: int = MAX_DATAGRAM_BYTES) -> None:
        super().__init__(largest)
        self.listen = listen
        self.transport: Any = None  # an asyncio.DatagramTransport
        self._send_errors = 0  # errors that the socket has raised or reported
        self._receive_drops = 0  # datagrams dropped because the receive buffer was full

    async def open(self, received: DatagramReceiver) -> Address:
        """Binds the socket and returns its address.

        Args:
            received: Called with each datagram.

        Raises:
            TransportError: The address cannot be bound, or the transport was closed in the meantime.
        """
        self.check_unopened()
        location = "{}:{}".format(*self.listen)
        try:
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, local_addr=self.listen
            )
        except OSError as error:
            raise TransportError(str(error), location) from error
        if self.is_closed:
            transport.close()
            raise TransportError(
                "the transport was closed while it was being opened", location
            )
        self.transport = transport
        return self.mark_open(received, transport.get_extra_info("sockname")[:2])

    @property
    def counters(self) -> Counters:
        """The counters of sent, received and dropped datagrams."""
        self._count_receive_drops()
        return self.traffic

    def _count_receive_drops(self) -> None:
        """Adds the datagrams that the system dropped because the loop did not read them in time."""
        udp_socket = (
            None if self.transport is None else self.transport.get_extra_info("socket")
        )
        if udp_socket is None:
            return
        try:
            memory = udp_socket.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO_BYTES)
            (drops,) = struct.unpack_from("=I", memory, MEMINFO_DROPS_OFFSET)
        except (OSError, struct.error):  # the system has no such counter
            return
        if drops > self._receive_drops:
            dropped = self.traffic.dropped
            new_drops = drops - self._receive_drops
            dropped["full"] = dropped.get("full", 0) + new_drops
            self._receive_drops = drops

    def send(self, data: bytes, to: Address) -> bool:
        """Sends a datagram or buffers it.

        Returns:
            Whether it was accepted; a dropped datagram is counted.
        """
        if not self.check_sendable(data):
            return False
        if self.transport.get_write_buffer_size() + len(data) > MAX_BUFFERED_BYTES:
            self.traffic.drop("full")
            return False
        errors_before = self._send_errors
        try:
            if not 0 < to[1] <= MAX_PORT:  # uvloop would send to the port modulo 65,536
                raise ValueError("the port is not in the range 1 to 65535")
            self.transport.sendto(data, to)
        except (OSError, ValueError, OverflowError, TypeError):
            # Gossip may contain addresses to which no socket can send.
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

    # ---- callbacks of the loop -------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Delivers a received datagram."""
        self.deliver(data, (str(addr[0]), int(addr[1])))

    def error_received(self, exc: Exception) -> None:
        """Counts a refused datagram, as after a process was killed; probes detect the dead member."""
        self._send_errors += 1
