"""The datagram plan on any transport: the same rules as `datagram_proxy` applies to UDP.

`FaultyTransport` wraps one end; what its owner sends meets the plan's rules for that direction. Wrapped on
both sides, each direction is affected once.
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.transports.base import BaseTransport
from loadbalancer.transports.interface import Address, DatagramReceiver, Transport

CallLater = Callable[[float, Callable[[], object]], object]
"""A loop's `call_later`, or a schedule's."""


class FaultyTransport(BaseTransport):
    """A transport that loses, delays, duplicates and reorders as a plan says.

    Args:
        transport: What carries the datagrams.
        plan: The rules.
        name: This end's name in the plan.
        name_of: The others' names, by address.
        elapsed_s: Seconds since the plan's start.
        call_later: How to wait.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - a transport, its plan, and what time is
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
        """Opens it; returns its address."""
        self.check_unopened()
        return self.mark_open(received, await self.transport.open(self.deliver))

    def send(self, data: bytes, to: Address) -> bool:
        """Sends a datagram; the sender learns nothing of a loss or a delay.

        Returns:
            Whether it was accepted.
        """
        if not self.check_sendable(data):
            return False
        delays = self.plan.deliveries(self.name, self.name_of(to), self.elapsed_s())
        accepted = True
        for delay_s in delays:
            if delay_s > 0:
                self.call_later(delay_s, lambda: self._pass_on(bytes(data), to))
            else:
                accepted = self._pass_on(data, to)
        if not accepted:
            self.traffic.drop("unreachable")
            return False
        return self.count_sent(data)

    def _pass_on(self, data: bytes, to: Address) -> bool:
        return self.transport.address is not None and self.transport.send(data, to)

    def close(self) -> None:
        """Ends it; what is delayed is lost."""
        self.transport.close()
        self.mark_closed()
