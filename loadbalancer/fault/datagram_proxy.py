"""A proxy for members that send each other datagrams on loopback: each member is reached at a proxy address.

Members are given each other's proxy addresses. A datagram that arrives at the receiver's proxy address is
forwarded from the sender's proxy address, so that each member sees the others at one address whatever the
faults; the plan decides whether and when it is delivered. The option `--member NAME=FRONT,REAL` calls the
proxy address FRONT, and the address of the member's process REAL.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from time import monotonic
from typing import Any

from loadbalancer.fault.address import Address
from loadbalancer.fault.datagram_plan import DatagramPlan, RuleTransition

# Receive buffer of the socket at a proxy address. A member that was stopped for seconds may send a burst of
# answers once it resumes.
RECEIVE_BUFFER_BYTES = 1 << 20
BEFORE_START_S = -1.0  # elapsed time of the plan until `start`, when no rule is active
ANY_PROXY_ADDRESS: Address = ("127.0.0.1", 0)  # the system chooses the port

WriteLine = Callable[[dict[str, Any]], None]  # writes one line of the log


@dataclass
class ProxiedMember:
    """A member behind the proxy.

    Attributes:
        name: Name of the member in the plan.
        process_address: Address that its process listens on.
        transport: Socket at its proxy address; None until it is open.
        proxy_address: Address at which the other members reach it.
    """

    name: str
    process_address: Address
    transport: asyncio.DatagramTransport | None = None
    proxy_address: Address = ("", 0)


class _ProxyProtocol(asyncio.DatagramProtocol):
    """Protocol of the socket at one member's proxy address."""

    def __init__(self, proxy: DatagramProxy, member: ProxiedMember) -> None:
        self.proxy, self.member = proxy, member

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.proxy.receive(self.member, data, (str(addr[0]), int(addr[1])))

    def error_received(self, exc: Exception) -> None:
        """Ignores the error: a stopped process refuses datagrams, and a network reports that to no sender."""


class DatagramProxy:
    """Forwards datagrams between the proxy addresses of all members, as the plan decides.

    Attributes:
        plan: The plan that decides about each datagram.
        write: Called with each line of the log.
        members: The members by name.
        forwarded: Number of datagrams forwarded.
        lost: Number of datagrams that the plan dropped.
        unknown_senders: Number of datagrams dropped because no member sent them: the receiver would have no
            proxy address to answer to.
    """

    def __init__(self, plan: DatagramPlan, write: WriteLine) -> None:
        self.plan = plan
        self.write = write
        self.members: dict[str, ProxiedMember] = {}
        self.forwarded = self.lost = self.unknown_senders = 0
        self._member_at: dict[Address, ProxiedMember] = {}
        self._started_at: float | None = None
        self._timers: set[asyncio.TimerHandle] = set()

    async def add(
        self,
        name: str,
        process_address: Address,
        proxy_address: Address = ANY_PROXY_ADDRESS,
    ) -> Address:
        """Opens a proxy address for a member.

        Args:
            name: Name of the member in the plan.
            process_address: Address that its process listens on.
            proxy_address: Address at which the other members reach it; with port 0 the system chooses a port.

        Returns:
            The proxy address, with the port that the system chose for port 0.

        Raises:
            OSError: The proxy address cannot be opened.
        """
        member = ProxiedMember(name, process_address)
        self.members[name] = self._member_at[process_address] = member
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _ProxyProtocol(self, member), local_addr=proxy_address
        )
        member.transport = transport
        proxy_socket = transport.get_extra_info("socket")
        if proxy_socket is not None:
            proxy_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        member.proxy_address = transport.get_extra_info("sockname")[:2]
        return member.proxy_address

    def start(self) -> None:
        """Starts the clock of the plan; each start and stop of a rule is logged as one line."""
        self._started_at = monotonic()
        for transition in self.plan.transitions():
            self._call_later(transition.at_s, partial(self._log, transition))

    def _log(self, transition: RuleTransition) -> None:
        self.write(self.plan.log_line(transition))

    def _call_later(self, delay_s: float, call: Callable[[], object]) -> None:
        def run() -> None:
            self._timers.discard(timer)
            call()

        timer = asyncio.get_running_loop().call_later(delay_s, run)
        self._timers.add(timer)

    def _elapsed_s(self) -> float:
        if self._started_at is None:
            return BEFORE_START_S
        return monotonic() - self._started_at

    def receive(self, target: ProxiedMember, data: bytes, source: Address) -> None:
        """Handles a datagram that arrived at a member's proxy address.

        Args:
            target: The member to which it was sent.
            data: The datagram.
            source: Address that it came from.
        """
        sender = self._member_at.get(source)
        if sender is None:
            self.unknown_senders += 1
            return
        delays = self.plan.deliveries(sender.name, target.name, self._elapsed_s())
        self.lost += not delays
        for delay_s in delays:
            if delay_s > 0:
                self._call_later(delay_s, partial(self._forward, sender, target, data))
            else:
                self._forward(sender, target, data)

    def _forward(
        self, sender: ProxiedMember, target: ProxiedMember, data: bytes
    ) -> None:
        if sender.transport is not None and not sender.transport.is_closing():
            sender.transport.sendto(data, target.process_address)
            self.forwarded += 1

    def close(self) -> None:
        """Closes all proxy addresses; delayed datagrams are lost."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        for member in self.members.values():
            if member.transport is not None:
                member.transport.close()
