"""Many members on an emulated network in virtual time, all seeded.

`World` is the network and the schedule: loss, delay, one-way cuts, partitions, pauses, kills and restarts. It
runs the same state machine as the node hosts on UDP. `membership_detection`, `membership_rejoin` and
`membership_check` measure and check with it. Times are microseconds.
"""

from __future__ import annotations

import random
from collections.abc import (
    Callable,
    ItemsView,
    Iterator,
    MutableMapping,
    Sequence,
    ValuesView,
)
from copy import copy
from dataclasses import dataclass, field

from loadbalancer.lab.network import Net, Schedule
from loadbalancer.membership.messages import (
    MemberState,
)
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.membership.state import (
    DIGEST_MODULUS,
    Member,
    MemberChange,
    SendDatagram,
    fingerprint,
)
from loadbalancer.membership.swim import Swim

SECOND = 1_000_000
NOT_LIVE = (None, MemberState.DEAD, MemberState.LEFT)
STATES = frozenset(s.name.lower() for s in MemberState)


@dataclass
class Node:
    """One process of a member, its timer, and the datagrams that wait while it is paused."""

    name: str
    swim: Swim
    paused_until: int = 0
    down: bool = False
    armed: int | None = None  # when its one timer wakes it
    pending: list[tuple[int, bytes, tuple[str, int]]] = field(default_factory=list)


class SharedView(MutableMapping[str, Member]):
    """All members of a world that has settled, shared by all observers; what one learns is kept beside it."""

    def __init__(self, shared: dict[str, Member], but: str) -> None:
        self.shared, self.but = shared, but
        self._own: dict[str, Member] = {}
        self.gone = {
            but
        }  # of the shared ones: the observer itself, and whom it has forgotten
        self.added: set[str] = (
            set()
        )  # held in its own part alone: new, or come back after being forgotten

    def __getitem__(self, name: str) -> Member:
        found = self._own.get(name)
        if found is None:
            if name in self.gone:
                raise KeyError(name)
            found = self._own[name] = copy(self.shared[name])
        return found

    def __setitem__(self, name: str, member: Member) -> None:
        if name in self.gone or name not in self.shared:
            self.added.add(name)
        self._own[name] = member

    def __delitem__(self, name: str) -> None:
        self._own.pop(name, None)
        self.added.discard(name)
        if name in self.shared:
            self.gone.add(name)

    def __len__(self) -> int:
        return len(self.shared) - len(self.gone) + len(self.added)

    def __iter__(self) -> Iterator[str]:
        yield from (name for name in self.shared if name not in self.gone)
        yield from (name for name in self._own if name in self.added)

    def items(self) -> ItemsView[str, Member]:
        """All members, to be read only: what has not changed is not copied."""
        found = {
            n: self._own.get(n, m) for n, m in self.shared.items() if n not in self.gone
        }
        return (found | self._own).items()

    def values(self) -> ValuesView[Member]:
        """All members, the changed ones as this observer holds them."""
        return dict(self.items()).values()


class World(Schedule):
    """Members `m0` ... on ports 1 ... of one emulated host.

    They join within a second through `seeds`, which are ports, or, in a world that begins `settled`, all know
    each other from the start.
    """

    def __init__(
        self,
        size: int,
        settings: SwimSettings,
        seed: int,
        net: Net | None = None,
        settled: bool = False,
        on_change: Callable[[str, MemberChange], None] | None = None,
        seeds: Sequence[int] = (1,),
        zones: int = 0,
    ) -> None:
        super().__init__()
        self.zones = zones  # members are shared out over so many, three to a region; 0: none is told
        self.seeds = [("emu", port) for port in seeds]
        self.settings, self.net, self.random = (
            settings,
            net or Net(),
            random.Random(seed),
        )
        self.seed = seed
        self.nodes: dict[str, Node] = {}
        self.by_port: dict[int, str] = {}
        self.changes: list[
            tuple[str, MemberChange]
        ] = []  # (observer, change), unless somebody else hears them
        self.on_change = on_change or (
            lambda observer, change: self.changes.append((observer, change))
        )
        self.bytes = 0
        # Hears sender, receiver, bytes
        self.traffic: Callable[[str, str | None, int], None] | None = None
        if settled:
            self.settle(size)
            return
        for index in range(size):
            self.start(self.named(index), index + 1, at=self.random.randrange(SECOND))

    def named(self, index: int) -> str:
        """A member's name."""
        return f"m{index}"

    def settle(self, size: int) -> None:
        """All members at once, each with all others known."""
        shared = {
            (n := self.named(i)): Member(
                n, "emu", i + 1, 0, MemberState.ALIVE, 0, *self.place(i + 1)
            )
            for i in range(size)
        }
        names = list(shared)
        digest = sum(map(fingerprint, shared.values())) % DIGEST_MODULUS
        for member in shared.values():
            swim = self.member(member.name, member.port, 0)
            swim.table.replace_all(
                SharedView(shared, member.name), names, size - 1, digest
            )
            swim.join(0, self.seeds)
            every = self.settings.sync_interval_us * max(
                1, size // self.settings.sync_members
            )
            swim.anti_entropy.next_sync_us = self.random.randrange(every)
            self.wake(self.nodes[member.name])

    def place(self, port: int) -> tuple[str, str]:
        """The zone and region of the member on a port."""
        zone = port % self.zones if self.zones else 0
        return (f"zone-{zone}", f"region-{zone // 3}") if self.zones else ("", "")

    def member(self, name: str, port: int, incarnation: int) -> Swim:
        """Makes a process of a member, which knows nobody."""
        seed = self.random.getrandbits(32)
        zone, region = self.place(port)
        local = Member(name, "emu", port, incarnation, zone=zone, region=region)
        swim = Swim(local, self.settings, seed)
        if name in self.nodes:  # nothing of it listens at an earlier address any more
            self.by_port.pop(self.nodes[name].swim.local.address[1], None)
        self.nodes[name], self.by_port[port] = Node(name, swim), name
        return swim

    # Members.

    def start(self, name: str, port: int, at: int, incarnation: int = 0) -> None:
        """Starts a process at a time."""

        def begin() -> None:
            swim = self.member(name, port, incarnation)
            node = self.nodes[name]
            self.send(node, swim.join(self.now, self.seeds))
            self.wake(node)

        self.at(at, begin)

    def kill(self, name: str, at: int) -> None:
        """Ends a process at a time, without farewell."""

        def stop() -> None:
            self.nodes[name].down = True

        self.at(at, stop)

    def restart(self, name: str, at: int) -> None:
        """The process comes back under the same name and port, knowing nothing (incarnation 0)."""
        port = self.nodes[name].swim.local.address[1] if name in self.nodes else 0
        self.at(at, lambda: self.start(name, port, self.now))

    def pause(self, name: str, at: int, length: int) -> None:
        """As SIGSTOP then SIGCONT: nothing runs; what arrives waits in the socket buffer."""

        def freeze() -> None:
            self.nodes[name].paused_until = self.now + length
            self.at(self.now + length, lambda: self.thaw(self.nodes[name]))

        self.at(at, freeze)

    def thaw(self, node: Node) -> None:
        """It runs again: an event loop looks at its timers first, then at what has come meanwhile."""
        pending, node.pending = node.pending, []
        if self.now >= node.swim.next_deadline():
            self.send(node, node.swim.tick(self.now))
            self.report_changes(node)
        for _, data, source in pending:
            self.deliver(node, data, source)
        self.wake(node)

    def wake(self, node: Node) -> None:
        """Arms the one timer of a node, unless it wakes no later anyway."""
        deadline = max(node.swim.next_deadline(), self.now)
        if node.armed is None or deadline < node.armed:
            node.armed = deadline
            self.at(deadline, lambda: self.due(node, deadline))

    def due(self, node: Node, armed: int) -> None:
        """A timer fired."""
        if node.armed != armed:
            return  # an earlier one has been armed since
        node.armed = None
        if node.down or self.nodes.get(node.name) is not node or node.swim.has_left:
            return
        if self.now < node.paused_until:
            return  # thaw wakes it
        if self.now >= node.swim.next_deadline():
            self.send(node, node.swim.tick(self.now))
            self.report_changes(node)
        self.wake(node)

    def report_changes(self, node: Node) -> None:
        """Hands the changes of a process to `on_change`."""
        for change in node.swim.take_changes():
            self.on_change(node.name, change)

    # The network.

    def send(self, node: Node, sends: list[SendDatagram]) -> None:
        """Puts datagrams on the network."""
        for send in sends:
            self.bytes += len(send.data)
            target = self.by_port.get(send.address[1])
            if self.traffic is not None:
                self.traffic(node.name, target, len(send.data))
            if target is None:
                continue
            for late in self.net.fate(self.random, node.name, target):
                self.at(
                    self.now + late,
                    self.arrival(target, send.data, node.swim.local.address),
                )

    @property
    def groups(self) -> list[set[str]] | None:
        """Sides of a partition: nothing passes between members of no common group."""
        return self.net.groups

    @groups.setter
    def groups(self, groups: list[set[str]] | None) -> None:
        self.net.groups = groups

    def arrival(
        self, target: str, data: bytes, source: tuple[str, int]
    ) -> Callable[[], None]:
        """The event that a datagram arrives."""

        def arrive() -> None:
            node = self.nodes.get(target)
            if node is None or node.down:
                return
            if self.now < node.paused_until:
                node.pending.append((self.now, data, source))
                return
            self.deliver(node, data, source)
            self.wake(node)

        return arrive

    def deliver(self, node: Node, data: bytes, source: tuple[str, int]) -> None:
        """Hands a datagram to a process."""
        self.send(node, node.swim.receive(self.now, data, source))
        self.report_changes(node)

    # Views.

    def collect(self) -> None:
        """Reports the changes of all processes."""
        for node in self.nodes.values():
            self.report_changes(node)

    def state(self, observer: str, name: str) -> MemberState | None:
        """What one member holds of another; None: unknown."""
        member = self.nodes[observer].swim.members.get(name)
        return None if member is None else member.state

    def live(self) -> list[Node]:
        """Processes that were not killed."""
        return [n for n in self.nodes.values() if not n.down]

    def agreed(self, dead: set[str]) -> bool:
        """Every live member holds every other live member alive and every name in `dead` dead or gone."""
        live = self.live()
        names = {n.name for n in live}
        for node in live:
            known = node.swim.members
            for other in names - {node.name}:
                if other not in known or known[other].state != MemberState.ALIVE:
                    return False
            for gone in dead:
                if gone in known and known[gone].state <= MemberState.SUSPECT:
                    return False
        return True
