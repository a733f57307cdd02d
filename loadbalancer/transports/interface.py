"""The interface of datagram transports, and the guarantees of every implementation.

A datagram arrives complete or not at all; datagrams may be duplicated or reordered. The sender is not
notified of their delivery. All calls must be made on one thread. The receiver is called on the same thread,
and never during a call of `send`. `tests/contracts/test_transports.py` checks these guarantees for every
implementation.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar, Protocol

from loadbalancer.errors import LoadBalancerError

Address = tuple[str, int]  # host and port
DatagramReceiver = Callable[[bytes, Address], None]  # called with data and source

MAX_DATAGRAM_BYTES = (
    1_400  # fits into one packet, without fragmentation, on any network in use
)


class TransportError(LoadBalancerError):
    """The address of a transport cannot be used, or the transport is opened twice or after its close."""

    remedy: ClassVar[str] = (
        "check `listen` in the operator configuration: the address must be one of this machine's, and no"
        " other program may use its port (`ss -lunp` lists them); the node tries again until it succeeds"
    )


@dataclass
class Counters:
    """Counters of one transport.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes of these.
        received: Datagrams received.
        received_bytes: Bytes of these.
        dropped: Datagrams dropped by reason: "empty", "too large", "closed", "unreachable" and "full", with a
            `Mux` also "foreign" and "unknown tag".
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: dict[str, int] = field(default_factory=dict)

    def drop(self, reason: str) -> None:
        """Counts one dropped datagram."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1


class Transport(Protocol):
    """Sends and receives datagrams at one address.

    Attributes:
        max_datagram_bytes: Maximum size of a datagram in bytes. A larger datagram is dropped and counted,
            never truncated; an empty one is dropped as well.
    """

    max_datagram_bytes: int

    @property
    def counters(self) -> Counters:
        """Counters of the datagrams sent, received and dropped so far."""

    @property
    def address(self) -> Address | None:
        """Address at which others reach this transport; None before it is open and once it is closed."""

    async def open(self, receiver: DatagramReceiver) -> Address:
        """Starts to receive datagrams; returns the address.

        Once open or closed, a transport cannot be opened again.

        Args:
            receiver: Called with each datagram and the address of its sender.

        Raises:
            TransportError: The address cannot be used; the call may be repeated.
        """

    def send(self, data: bytes, to: Address) -> bool:
        """Sends a datagram without waiting; never raises.

        Returns:
            False if the datagram was dropped here, and counted.
        """

    def close(self) -> None:
        """Closes the transport: nothing more is received; datagrams already sent may still arrive.

        A second call does nothing.
        """
