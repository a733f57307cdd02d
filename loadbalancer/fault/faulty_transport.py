"""Applies a datagram plan to any transport, with the same rules that `datagram_proxy` applies to UDP.

`FaultyTransport` wraps one end and applies the plan's rules to the datagrams that its owner sends. With both
ends wrapped, each direction is affected once.
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.transports.base import BaseTransport
from loadbalancer.transports.interface import Address, DatagramReceiver, Transport

CallLater = Callable[[float, Callable[[], object]], object]
"""Calls a function after a delay in seconds: `call_later` of an event loop or of a virtual schedule."""


class FaultyTransport(BaseTransport):
    """A transport that loses, delays, duplicates and reorders datagrams as a plan decides.

    Args:
        transport: The transport that carries the datagrams.
        plan: The plan.
        name: Name of this end in the plan.
        name_of: Returns the name of the member at an address.
        elapsed_s: Returns the seconds since the start of the plan.
        call_later: Calls a function after a delay in seconds.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - a transport, its plan, and a clock
        self,
        transport: Transport,
        plan: DatagramPlan,
        name: str,
        name_of: Callable[[Address], str],
        elapsed_s: Callable[[], float],
        call_later: CallLater,
    ) -> None:
        super().__init__(transport.max_datagram_bytes)
        self.transport, self.plan = transport, plan
        self.name, self.name_of = name, name_of
        self.elapsed_s, self.call_later = elapsed_s, call_later

    async def open(self, received: DatagramReceiver) -> Address:
        """Opens the wrapped transport and returns its address.

        Args:
            received: Called with each datagram that arrives.
        """
        self.check_unopened()
        return self.mark_open(received, await self.transport.open(self.deliver))

    def send(self, data: bytes, to: Address) -> bool:
        """Sends a datagram, unless the plan drops it; the sender does not notice a loss or a delay.

        Args:
            data: The datagram.
            to: Address of the receiver.

        Returns:
            Whether the datagram was accepted.
        """
        if not self.check_sendable(data):
            return False
        delays = self.plan.deliveries(self.name, self.name_of(to), self.elapsed_s())
        accepted = True
        for delay_s in delays:
            if delay_s > 0:
                self.call_later(delay_s, lambda: self._forward(bytes(data), to))
            else:
                accepted = self._forward(data, to)
        if not accepted:
            self.traffic.drop("unreachable")
            return False
        return self.count_sent(data)

    def _forward(self, data: bytes, to: Address) -> bool:
        return self.transport.address is not None and self.transport.send(data, to)

    def close(self) -> None:
        """Closes the transport; delayed datagrams are lost."""
        self.transport.close()
        self.mark_closed()
