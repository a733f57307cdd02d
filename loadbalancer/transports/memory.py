"""Transports within one process, connected by a network object; for tests and several nodes in a process.

Delivery is deterministic, in the order of sending. It takes place in `deliver_pending`, which is called by
the user or scheduled with an event loop's `call_soon`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.transports.base import BaseTransport
from loadbalancer.transports.interface import (
    MAX_DATAGRAM_BYTES,
    Address,
    DatagramReceiver,
    TransportError,
)

# For one transport, like the buffer of a socket; further datagrams are dropped
MAX_PENDING_DATAGRAMS = 1_000


@dataclass(frozen=True, slots=True)
class QueuedDatagram:
    """A datagram that is not delivered yet."""

    target: MemoryTransport
    data: bytes
    source: Address


class MemoryNetwork:
    """Connects the transports that it creates.

    Attributes:
        call_soon: `call_soon` of an event loop; if None, the caller must call `deliver_pending`.
        max_pending: Maximum number of datagrams queued for one transport.
        transports: Open transports by address.
    """

    def __init__(
        self,
        call_soon: Callable[[Callable[[], object]], object] | None = None,
        max_pending: int = MAX_PENDING_DATAGRAMS,
    ) -> None:
        self.call_soon = call_soon
        self.max_pending = max_pending
        self.transports: dict[Address, MemoryTransport] = {}
        self._queue: deque[QueuedDatagram] = deque()
        self._is_scheduled = False  # the loop will call `deliver_pending`
        self._transport_count = 0

    def create_transport(
        self,
        host: str = "memory",
        port: int = 0,
        max_datagram_bytes: int = MAX_DATAGRAM_BYTES,
    ) -> MemoryTransport:
        """Creates a transport that is not open yet; with port 0 it gets an unused port."""
        self._transport_count += 1
        return MemoryTransport(
            self, (host, port or self._transport_count), max_datagram_bytes
        )

    def enqueue(self, data: bytes, source: Address, to: Address) -> bool:
        """Queues a datagram; returns False if no open transport has the address."""
        target = self.transports.get(to)
        if target is None:
            return False
        if target.pending >= self.max_pending:
            target.traffic.drop("full")
            return True  # as on a real network, the sender is not notified
        target.pending += 1
        self._queue.append(QueuedDatagram(target, bytes(data), source))
        self._schedule()
        return True

    def deliver_pending(self) -> int:
        """Delivers the datagrams queued before the call; returns their number."""
        self._is_scheduled = False
        count = len(self._queue)
        try:
            for _ in range(count):
                datagram = self._queue.popleft()
                datagram.target.pending -= 1
                datagram.target.deliver(datagram.data, datagram.source)
        finally:
            # If a receiver raises, the remaining datagrams stay queued; with `call_soon` they are scheduled.
            self._schedule()
        return count

    def _schedule(self) -> None:
        if self.call_soon is not None and self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self.call_soon(self.deliver_pending)


class MemoryTransport(BaseTransport):
    """One transport of a `MemoryNetwork`."""

    def __init__(
        self, network: MemoryNetwork, address: Address, max_datagram_bytes: int
    ) -> None:
        super().__init__(max_datagram_bytes)
        self._network = network
        self._requested_address = address
        self.pending = 0  # datagrams queued for this transport

    async def open(self, receiver: DatagramReceiver) -> Address:
        """Starts to receive; raises TransportError if another transport has the address."""
        self.check_unopened()
        if self._requested_address in self._network.transports:
            raise TransportError(
                "another transport has this address",
                "{}:{}".format(*self._requested_address),
            )
        self._network.transports[self._requested_address] = self
        return self.mark_open(receiver, self._requested_address)

    def send(self, data: bytes, to: Address) -> bool:
        """Queues a datagram; returns False if it was dropped, and counted."""
        if not self.check_sendable(data):
            return False
        assert self.local_address is not None
        if not self._network.enqueue(data, self.local_address, to):
            self.traffic.drop("unreachable")
            return False
        return self.count_sent(data)

    def close(self) -> None:
        """Closes the transport; nothing more is received."""
        if self.local_address is not None:
            del self._network.transports[self.local_address]
        self.mark_closed()
