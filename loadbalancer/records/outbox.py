"""Rate limit for outgoing datagrams: a token bucket that counts bytes."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.records.messages import Message, encode
from loadbalancer.records.rules import BURST_S
from loadbalancer.records.state import Address, Counters


@dataclass(frozen=True)
class SendDatagram:
    """Action for the host: send one datagram.

    Attributes:
        address: The receiver.
        data: The encoded message.
    """

    address: Address
    data: bytes


class Outbox:
    """Queues outgoing datagrams as far as the byte budget allows.

    Args:
        rate_bytes_per_s: Initial rate of the budget; the bucket starts full.
        counters: Counts the datagrams that are sent or rejected by the limit.

    Attributes:
        tokens: Bytes that may be sent now.
    """

    def __init__(self, rate_bytes_per_s: int, counters: Counters) -> None:
        self.tokens = float(BURST_S * rate_bytes_per_s)
        self.counters = counters
        self._queued: list[SendDatagram] = []

    def refill(self, elapsed_us: int, rate_bytes_per_s: int) -> None:
        """Adds the bytes earned in the elapsed time, up to `BURST_S` seconds of the rate."""
        refill_bytes = rate_bytes_per_s * elapsed_us / 1e6
        self.tokens = min(BURST_S * rate_bytes_per_s, self.tokens + refill_bytes)

    def enqueue(self, message: Message, address: Address) -> bool:
        """Queues a message for an address and returns True, or returns False if the budget is exhausted."""
        data = encode(message)
        if len(data) > self.tokens:
            self.counters.rate_limited += 1
            return False
        self.tokens -= len(data)
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)
        self._queued.append(SendDatagram(address, data))
        return True

    def take(self) -> list[SendDatagram]:
        """Returns the queued datagrams in order, and empties the queue."""
        datagrams, self._queued = self._queued, []
        return datagrams
