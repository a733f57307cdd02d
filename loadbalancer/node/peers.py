"""Short messages between the nodes of a tier over UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

from loadbalancer.node.log import Log

MAX_MESSAGE_BYTES = 256
ALL_PEERS = -1  # stands for all peers in place of a peer's number

Address = tuple[str, int]


class PeerMessenger(asyncio.DatagramProtocol):
    """Sends messages to the tier's nodes by number, and delivers messages from them.

    Args:
        peers: Addresses of the tier's nodes, by number.
        all_peers: Address that reaches all of them; None if there is none.
        on_message: Called with the sender's number and the message.
        log: Receives dropped datagrams and messages.
    """

    def __init__(
        self,
        peers: Sequence[Address],
        all_peers: Address | None,
        on_message: Callable[[int, bytes], None],
        log: Log,
    ) -> None:
        self.set_addresses(peers, all_peers)
        self.on_message = on_message
        self.log = log
        self.transport: asyncio.DatagramTransport | None = None

    def set_addresses(
        self, peers: Sequence[Address], all_peers: Address | None
    ) -> None:
        """Sets the addresses of the tier's nodes, by number."""
        self.peers = peers
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.all_peers = all_peers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the opened socket, after which messages can be sent."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def send(self, peer: int, data: bytes) -> None:
        """Sends a message; without a socket or an address, or beyond MAX_MESSAGE_BYTES, it is dropped.

        Args:
            peer: Number of the peer; ALL_PEERS: all of them.
            data: The message.
        """
        address = self.address_of(peer)
        if self.transport is None or address is None or len(data) > MAX_MESSAGE_BYTES:
            self.log.line(f"peers message dropped peer={peer} bytes={len(data)}")
            return
        self.transport.sendto(data, address)

    def address_of(self, peer: int) -> Address | None:
        """Returns a peer's address; None if there is no such peer."""
        if peer < 0:
            return self.all_peers
        return self.peers[peer] if peer < len(self.peers) else None

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Delivers a message of a peer; other and oversized datagrams are dropped."""
        number = self.numbers.get((addr[0], addr[1]))
        if number is None or len(data) > MAX_MESSAGE_BYTES:
            self.log.line("peers datagram dropped reason=stray or oversized")
            return
        self.on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket."""
        self.log.line(f"peers socket failed reason={exc}")
