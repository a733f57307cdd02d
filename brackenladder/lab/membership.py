"""Many members of `membership.swim` on an emulated network in virtual time: loss, delay, one-way cuts,
partitions, pauses, kills and restarts, all seeded. The same code as the node hosts on UDP.

`World` is the network and the schedule; `measure` plays one script and returns the figures that
docs/membership.md reports: time to detect a death (by the first member, and by all), false suspicions and
false deaths per member-hour, time until all agree, bytes a second per member. Times are microseconds.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

from brackenladder.membership.swim import Change, Send, Swim, SwimSettings
from brackenladder.membership.wire import State

SECOND = 1_000_000
GONE = (None, State.DEAD, State.LEFT)


@dataclass
class Net:
    """What the network does to a datagram from one member to another."""

    loss: float = 0.0  # part of datagrams lost
    delay: int = 500  # microseconds, each way
    jitter: int = 500  # up to so much more, uniformly: datagrams may come out of order
    duplicate: float = 0.0  # part of datagrams delivered twice
    cut: set[tuple[str, str]] = field(default_factory=set)  # (from, to): nothing passes that way


@dataclass
class Node:
    name: str
    swim: Swim
    paused_until: int = 0
    down: bool = False
    held: list[tuple[int, bytes, tuple[str, int]]] = field(default_factory=list)


class World:
    """Members `m0` ... on ports 1 ... of one emulated host, joined through `m0`."""

    def __init__(self, size: int, settings: SwimSettings, seed: int, net: Net | None = None) -> None:
        self.settings, self.net, self.random = settings, net or Net(), random.Random(seed)
        self.seed = seed
        self.now = 0
        self.events: list[tuple[int, int, str, Callable[[], None]]] = []
        self.order = 0
        self.nodes: dict[str, Node] = {}
        self.by_port: dict[int, str] = {}
        self.changes: list[tuple[str, Change]] = []  # (observer, change)
        self.bytes = 0
        self.groups: list[set[str]] | None = None
        for index in range(size):
            self.start(f"m{index}", index + 1, at=self.random.randrange(SECOND))

    # The schedule.

    def at(self, time: int, what: Callable[[], None], key: str = "") -> None:
        self.order += 1
        heapq.heappush(self.events, (time, self.order, key, what))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            time, _, _, what = heapq.heappop(self.events)
            self.now = max(self.now, time)
            what()
        self.now = until

    # Members.

    def start(self, name: str, port: int, at: int, incarnation: int = 0) -> None:
        def begin() -> None:
            swim = Swim(
                name,
                ("emu", port),
                self.settings,
                seed=self.random.getrandbits(32),
                incarnation=incarnation,
            )
            node = Node(name, swim)
            self.nodes[name], self.by_port[port] = node, name
            self.send(node, swim.join(self.now, [("emu", 1)]))
            self.wake(node)

        self.at(at, begin)

    def kill(self, name: str, at: int) -> None:
        def stop() -> None:
            self.nodes[name].down = True

        self.at(at, stop)

    def restart(self, name: str, at: int) -> None:
        """The process comes back under the same name and port, knowing nothing (incarnation 0)."""
        port = self.nodes[name].swim.address[1] if name in self.nodes else 0
        self.at(at, lambda: self.start(name, port, self.now))

    def pause(self, name: str, at: int, length: int) -> None:
        """As SIGSTOP then SIGCONT: nothing runs; what arrives waits in the socket buffer."""

        def freeze() -> None:
            self.nodes[name].paused_until = self.now + length
            self.at(self.now + length, lambda: self.thaw(self.nodes[name]))

        self.at(at, freeze)

    def thaw(self, node: Node) -> None:
        held, node.held = node.held, []
        for _, data, source in held:
            self.deliver(node, data, source)
        self.wake(node)

    def wake(self, node: Node) -> None:
        swim = node.swim
        deadline = max(swim.next_deadline(), self.now)

        def due() -> None:
            if node.down or self.nodes.get(node.name) is not node or swim.left:
                return
            if self.now < node.paused_until:
                return  # thaw wakes it
            if self.now >= swim.next_deadline():
                self.send(node, swim.tick(self.now))
            self.wake(node)

        self.at(deadline, due, node.name)

    # The network.

    def send(self, node: Node, sends: list[Send]) -> None:
        for send in sends:
            self.bytes += len(send.data)
            target = self.by_port.get(send.address[1])
            if target is None or self.random.random() < self.net.loss:
                continue
            if (node.name, target) in self.net.cut or self.split(node.name, target):
                continue
            copies = 2 if self.random.random() < self.net.duplicate else 1
            for _ in range(copies):
                delay = self.net.delay + self.random.randrange(self.net.jitter + 1)
                self.at(self.now + delay, self.arrival(target, send.data, node.swim.address))

    def split(self, a: str, b: str) -> bool:
        if self.groups is None:
            return False
        return not any(a in group and b in group for group in self.groups)

    def arrival(self, target: str, data: bytes, source: tuple[str, int]) -> Callable[[], None]:
        def arrive() -> None:
            node = self.nodes.get(target)
            if node is None or node.down:
                return
            if self.now < node.paused_until:
                node.held.append((self.now, data, source))
                return
            self.deliver(node, data, source)
            self.wake(node)

        return arrive

    def deliver(self, node: Node, data: bytes, source: tuple[str, int]) -> None:
        before = node.swim
        self.send(node, before.receive(self.now, data, source))
        self.changes.extend((node.name, c) for c in before.drain())

    # Views.

    def collect(self) -> None:
        for name, node in self.nodes.items():
            self.changes.extend((name, c) for c in node.swim.drain())

    def state(self, observer: str, name: str) -> State | None:
        member = self.nodes[observer].swim.members.get(name)
        return None if member is None else member.state

    def live(self) -> list[Node]:
        return [n for n in self.nodes.values() if not n.down]

    def agreed(self, dead: set[str]) -> bool:
        """Every live member holds every other live member alive and every name in `dead` dead or gone."""
        live = self.live()
        names = {n.name for n in live}
        for node in live:
            known = node.swim.members
            for other in names - {node.name}:
                if other not in known or known[other].state != State.ALIVE:
                    return False
            for gone in dead:
                if gone in known and known[gone].state <= State.SUSPECT:
                    return False
        return True


@dataclass(frozen=True)
class Figures:
    """What one play of `measure` shows; times in seconds, rates per member-hour."""

    members: int
    loss: float
    detect_first: float  # after the kill, until the first member declares it dead
    detect_all: float  # until no live member holds it alive or suspected (to a tenth of a second)
    agree: float  # until all live members agree on everything
    false_suspicions: float
    false_deaths: float
    bytes_per_member: float  # bytes a second that each member sends, on the mean

    def row(self) -> str:
        return (
            f"{self.members:>6} {self.loss:>5.2f} {self.detect_first:>7.2f} {self.detect_all:>7.2f} "
            f"{self.agree:>7.2f} {self.false_suspicions:>8.2f} {self.false_deaths:>7.2f} "
            f"{self.bytes_per_member:>8.0f}"
        )


HEADER = (
    f"{'size':>6} {'loss':>5} {'first':>7} {'all':>7} {'agree':>7} {'suspect':>8} {'deaths':>7} {'B/s':>8}"
)


def measure(
    size: int,
    seed: int,
    loss: float = 0.0,
    pauses: int = 0,
    pause_length: int = 3 * SECOND,
    settings: SwimSettings | None = None,
    warm: int = 30 * SECOND,
    watch: int = 60 * SECOND,
) -> Figures:
    """Starts `size` members, lets them settle for `warm`, kills one and pauses `pauses` others for
    `pause_length` each, then watches for `watch`. False suspicions and deaths are of members never killed."""
    world = World(size, settings or SwimSettings(), seed, Net(loss=loss))
    world.run(warm)
    world.collect()
    world.changes.clear()
    bytes_before = world.bytes
    rng = random.Random(seed + 1)
    names = sorted(world.nodes)
    victim = rng.choice(names[1:])
    kill_at = warm + SECOND
    world.kill(victim, kill_at)
    for name in rng.sample([n for n in names if n != victim], min(pauses, size - 2)):
        world.pause(name, warm + rng.randrange(watch // 2), pause_length)
    end = warm + watch
    agree_at: float = float("nan")
    gone_at: float = float("nan")
    step = SECOND // 10
    time = kill_at
    while time < end:
        time += step
        world.run(time)
        if agree_at != agree_at and world.agreed({victim}):
            agree_at = (time - kill_at) / SECOND
        if gone_at != gone_at and all(world.state(n.name, victim) in GONE for n in world.live()):
            gone_at = (time - kill_at) / SECOND
    world.collect()
    deaths = [(obs, c) for obs, c in world.changes if c.name == victim and c.new == "dead"]
    live = {n.name for n in world.live()}
    deaths_by = {obs: c.time for obs, c in deaths if obs in live}
    first = (min(deaths_by.values()) - kill_at) / SECOND if deaths_by else float("nan")
    hours = len(live) * (watch / SECOND) / 3600
    wrong = [c for obs, c in world.changes if c.name != victim and c.name != obs]
    suspicions = sum(1 for c in wrong if c.new == "suspect")
    false_deaths = sum(1 for c in wrong if c.new == "dead")
    per_member = (world.bytes - bytes_before) / (watch / SECOND) / size
    return Figures(size, loss, first, gone_at, agree_at, suspicions / hours, false_deaths / hours, per_member)


def summary(figures: list[Figures]) -> str:
    """Median and worst of each figure over seeds, one line."""

    def pair(values: list[float]) -> str:
        good = [v for v in values if v == v]
        if not good:
            return "   -/-"
        return f"{statistics.median(good):.2f}/{max(good):.2f}" + ("" if len(good) == len(values) else "!")

    return (
        f"size {figures[0].members} loss {figures[0].loss:.2f}:"
        f" first {pair([f.detect_first for f in figures])}"
        f" all {pair([f.detect_all for f in figures])} agree {pair([f.agree for f in figures])}"
        f" suspicions/h {pair([f.false_suspicions for f in figures])}"
        f" deaths/h {pair([f.false_deaths for f in figures])}"
        f" B/s {pair([f.bytes_per_member for f in figures])}"
    )
