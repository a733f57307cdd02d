"""An emulated network in virtual time: a schedule, and what the network does to datagrams, all seeded.

`lab/membership.py` plays members on it; `Network` offers the same as ends of a transport, so that any part
that talks through `transports.interface` can be played by hundreds without a socket. Times are microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.transports.base import BaseTransport
from loadbalancer.transports.interface import (
    MAX_DATAGRAM_BYTES,
    Address,
    DatagramReceiver,
    TransportError,
)

# Datagrams that wait for an end that stands still; what comes then is lost
WAITING = 1_000


class Schedule:
    """Calls at virtual times, in the order of their times, then in which they were asked for."""

    def __init__(self) -> None:
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], object]]] = []
        self.order = 0

    def at(self, time: int, what: Callable[[], object]) -> None:
        self.order += 1
        heapq.heappush(self.events, (time, self.order, what))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            time, _, what = heapq.heappop(self.events)
            self.now = max(self.now, time)
            what()
        self.now = until


@dataclass
class Net:
    """What the network does to a datagram from one member to another."""

    loss: float = 0.0  # part of datagrams lost
    delay: int = 500  # microseconds, each way
    jitter: int = 500  # up to so much more, uniformly: datagrams may come out of order
    duplicate: float = 0.0  # part of datagrams delivered twice
    cut: set[tuple[str, str]] = field(
        default_factory=set
    )  # (from, to): nothing passes that way
    # A partition: nothing passes between members of no common group
    groups: list[set[str]] | None = None

    def fate(self, draw: random.Random, source: str, target: str) -> list[int]:
        """After how many microseconds each copy of a datagram arrives; none if it is lost."""
        if draw.random() < self.loss or (source, target) in self.cut:
            return []
        if self.groups is not None and not any(
            source in g and target in g for g in self.groups
        ):
            return []
        copies = 2 if draw.random() < self.duplicate else 1
        return [self.delay + draw.randrange(self.jitter + 1) for _ in range(copies)]


class Network:
    """Joins the ends that it makes, on one schedule."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        net: Net | None = None,
        waiting: int = WAITING,
    ) -> None:
        self.schedule, self.net, self.waiting = schedule, net or Net(), waiting
        self.random = random.Random(seed)
        self.ends: dict[Address, Emulated] = {}
        self.made = 0

    def end(
        self, name: str = "", port: int = 0, largest: int = MAX_DATAGRAM_BYTES
    ) -> Emulated:
        """An end that is not open yet; port 0 is one of its own. The network's faults know it by its name."""
        self.made += 1
        return Emulated(
            self, name or f"e{self.made}", ("emu", port or self.made), largest
        )

    def carry(self, source: Emulated, here: Address, data: bytes, to: Address) -> bool:
        target = self.ends.get(to)
        if target is None:
            return False
        for late in self.net.fate(self.random, source.name, target.name):
            self.schedule.at(self.schedule.now + late, lambda: target.came(data, here))
        return True


class Emulated(BaseTransport):
    """One end of the emulated network. While it stands still, like a stopped process, what comes waits."""

    def __init__(
        self, network: Network, name: str, wish: Address, largest: int
    ) -> None:
        super().__init__(largest)
        self.network, self.name, self.wish = network, name, wish
        self.stands = False
        self.held: list[tuple[bytes, Address]] = []

    async def open(self, received: DatagramReceiver) -> Address:
        return self.listen(received)

    def listen(self, received: DatagramReceiver) -> Address:
        """`open` for callers without an event loop."""
        self.check_unopened()
        if self.wish in self.network.ends:
            raise TransportError(
                "another end has this address", "{}:{}".format(*self.wish)
            )
        self.network.ends[self.wish] = self
        return self.mark_open(received, self.wish)

    def send(self, data: bytes, to: Address) -> bool:
        if not self.check_sendable(data):
            return False
        assert self.local_address is not None
        if not self.network.carry(self, self.local_address, bytes(data), to):
            self.traffic.drop("unreachable")
            return False
        return self.count_sent(data)

    def came(self, data: bytes, source: Address) -> None:
        if not self.stands:
            self.deliver(data, source)
        elif len(self.held) >= self.network.waiting:
            self.traffic.drop("full")
        else:
            self.held.append((data, source))

    def stand(self, still: bool) -> None:
        """Stops reading, or goes on."""
        self.stands = still
        if not still:
            held, self.held = self.held, []
            for data, source in held:
                self.deliver(data, source)

    def close(self) -> None:
        if self.local_address is not None:
            del self.network.ends[self.local_address]
        self.mark_closed()
