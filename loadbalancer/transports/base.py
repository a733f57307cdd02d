"""Base class of the transports: counters, the size limit, and the states unopened, open and closed."""

from __future__ import annotations

from loadbalancer.transports.interface import (
    MAX_DATAGRAM_BYTES,
    Address,
    Counters,
    DatagramReceiver,
    TransportError,
)


class BaseTransport:
    """Base of the implementations. Datagrams that arrive while it is not open are dropped and counted.

    Attributes:
        max_datagram_bytes: Maximum size of a datagram in bytes.
        traffic: Counters of this transport.
        local_address: Address at which others reach it; None unless it is open.
        receiver: Called with each datagram received; None unless it is open.
        is_closed: Whether it has been closed.
    """

    def __init__(self, max_datagram_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        self.max_datagram_bytes = max_datagram_bytes
        self.traffic = Counters()
        self.local_address: Address | None = None
        self.receiver: DatagramReceiver | None = None
        self.is_closed = False

    @property
    def counters(self) -> Counters:
        """Counters of the datagrams sent, received and dropped so far."""
        return self.traffic

    @property
    def address(self) -> Address | None:
        """Address at which others reach the transport; None unless it is open."""
        return self.local_address

    def check_unopened(self) -> None:
        """Raises TransportError if the transport is open or has been closed."""
        if self.local_address is not None or self.is_closed:
            raise TransportError(
                "this transport has already been opened or closed",
                remedy="report it as a fault of the program: a feature must open a new transport",
            )

    def mark_open(self, receiver: DatagramReceiver, address: Address) -> Address:
        """Starts to deliver datagrams to `receiver`; returns the address."""
        self.receiver, self.local_address = receiver, address
        return address

    def mark_closed(self) -> None:
        """Stops the delivery of datagrams."""
        self.is_closed, self.local_address, self.receiver = True, None, None

    def check_sendable(self, data: bytes) -> bool:
        """Returns whether a datagram may be sent; otherwise counts it as dropped."""
        reason = ""
        if self.local_address is None:
            reason = "closed"
        elif not data:
            # Not all networks carry empty datagrams, so no transport does.
            reason = "empty"
        elif len(data) > self.max_datagram_bytes:
            reason = "too large"
        if reason:
            self.traffic.drop(reason)
        return not reason

    def count_sent(self, data: bytes) -> bool:
        """Counts a datagram as sent; returns True as the result of `send`."""
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)
        return True

    def deliver(self, data: bytes, source: Address) -> None:
        """Passes a datagram from the network to the receiver, or counts it as dropped."""
        if self.local_address is None or self.receiver is None:
            self.traffic.drop("closed")
        elif len(data) > self.max_datagram_bytes:
            # Only other programs send such datagrams.
            self.traffic.drop("too large")
        else:
            self.traffic.received += 1
            self.traffic.received_bytes += len(data)
            self.receiver(data, source)
