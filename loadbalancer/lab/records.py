"""Replicated records of many members on the emulated network in virtual time; the code that the node hosts.

`World` is members that know each other from the start. `measure_propagation`, `measure_burst` and
`measure_partition_recovery` run one experiment each and return the figures that docs/records.md reports;
`run_random_faults` checks convergence after random faults. Times are microseconds, figures in seconds.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from loadbalancer.lab.network import Emulated, Net, Network, Schedule
from loadbalancer.records.outbox import SendDatagram
from loadbalancer.records.rules import RecordRules
from loadbalancer.records.state import StoredRecord
from loadbalancer.records.table import RecordTable
from loadbalancer.transports.interface import Address

SECOND = 1_000_000
KIND = "state"  # the record that the experiments write
SETTLE_S = 20  # until all members hold the first records


@dataclass
class Node:
    """One member: its transport and its table."""

    name: str
    end: Emulated
    table: RecordTable
    armed: int | None = None  # when its one timer wakes it


class World:
    """Members `m0` ... that all hold each other live until `tell` says otherwise."""

    def __init__(
        self,
        size: int,
        seed: int,
        net: Net | None = None,
        rules: RecordRules | None = None,
    ) -> None:
        self.schedule, self.rules = Schedule(), rules
        self.random = random.Random(seed)
        self.net = net or Net()
        self.network = Network(self.schedule, seed + 1, self.net)
        self.nodes: dict[str, Node] = {}
        # Called after each datagram that a member has received.
        self.taken: Callable[[Node], None] = lambda node: None
        for number in range(size):
            self.start(f"m{number}")
        self.tell(self.nodes)

    @property
    def now(self) -> int:
        """Virtual time in microseconds."""
        return self.schedule.now

    def start(self, name: str) -> Node:
        """Starts a process that knows nothing, in place of one that ran under its name."""
        before = self.nodes.get(name)
        if before is not None:
            before.end.close()
        port = before.end.wish[1] if before is not None else 0
        end = self.network.end(name, port=port)
        table = RecordTable(name, self.random.getrandbits(32), self.rules, self.now)
        node = self.nodes[name] = Node(name, end, table)
        end.listen(lambda data, source: self.received(node, data, source))
        return node

    def stop(self, name: str) -> None:
        """Kills a member's process."""
        self.nodes[name].end.close()

    def tell(self, live: Iterable[str], to: Iterable[str] | None = None) -> None:
        """The membership of `to` (all) now holds these live."""
        addresses: dict[str, Address] = {
            name: self.nodes[name].end.wish for name in live
        }
        for name in to if to is not None else list(self.nodes):
            self.nodes[name].table.set_live_members(self.now, addresses)
            self.wake(self.nodes[name])

    def put(self, name: str, kind: str, body: bytes) -> None:
        """Lets a member write a record."""
        self.nodes[name].table.put(self.now, kind, body)
        self.wake(self.nodes[name])

    def put_everywhere(self, draw: random.Random, body_bytes: int) -> None:
        """Lets each member write a random record."""
        for name in self.nodes:
            self.put(name, KIND, draw.randbytes(body_bytes))

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.schedule.run(self.now + int(seconds * SECOND))

    def received(self, node: Node, data: bytes, source: Address) -> None:
        """A datagram reaches a member."""
        self.post(node, node.table.receive(self.now, data, source))
        self.taken(node)
        self.wake(node)

    def post(self, node: Node, sends: list[SendDatagram]) -> None:
        """Sends a member's datagrams."""
        for send in sends:
            node.end.send(send.data, send.address)

    def wake(self, node: Node) -> None:
        """Sets a member's timer to its next deadline."""
        due = node.table.next_deadline()
        if node.armed is None or due < node.armed:
            node.armed = due
            self.schedule.at(due, lambda: self.due(node, due))

    def due(self, node: Node, armed: int) -> None:
        """A member's timer has expired; only the one set last counts."""
        if node.armed == armed and node.end.address is not None:
            node.armed = None
            self.post(node, node.table.tick(self.now))
            self.wake(node)

    def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether all of them hold the same records of each other."""
        among = sorted(names if names is not None else self.nodes)
        own_checksums = {
            name: self.nodes[name].table.replicas.own.records_checksum for name in among
        }
        return all(self._holds(self.nodes[name].table, own_checksums) for name in among)

    @staticmethod
    def _holds(table: RecordTable, checksums: dict[str, int]) -> bool:
        owners = table.replicas.owners
        return all(
            name in owners and owners[name].records_checksum == checksum
            for name, checksum in checksums.items()
        )

    def sent(self) -> int:
        """Bytes that all members have sent."""
        return sum(node.table.counters.sent_bytes for node in self.nodes.values())


def stored_records(node: Node, owner: str) -> dict[str, StoredRecord]:
    """Returns what a member holds of an owner, by kind."""
    found = node.table.replicas.owners.get(owner)
    return found.records if found is not None else {}


def quantile(values: list[float], part: float) -> float:
    """Returns a quantile of unsorted values."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


@dataclass(frozen=True)
class Propagation:
    """Times until all members held a new record, and what each member sends at rest.

    Attributes:
        p50: Median, in seconds.
        p99: 99th percentile, in seconds.
        worst: The longest, in seconds.
        at_rest: Bytes a second of each member without new records.
        missing: Records that not all members held in the end.
    """

    p50: float
    p99: float
    worst: float
    at_rest: float
    missing: int


@dataclass
class _OpenRecord:
    """A new record that some members do not hold yet."""

    owner: str
    version: int
    began_us: int
    lacking: set[str] = field(default_factory=set)


class _PropagationWatch:
    """Notes when all members hold each new record."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.open: list[_OpenRecord] = []
        self.times_s: list[float] = []
        world.taken = self.taken

    def written(self, owner: str) -> None:
        """An owner has written its record."""
        own = self.world.nodes[owner].table.replicas.own
        others = set(self.world.nodes) - {owner}
        version = own.records[KIND].version
        self.open.append(_OpenRecord(owner, version, self.world.now, others))

    def taken(self, node: Node) -> None:
        """A member has received a datagram."""
        for record in list(self.open):
            if node.name not in record.lacking:
                continue
            stored = stored_records(node, record.owner).get(KIND)
            if stored is None or stored.version < record.version:
                continue
            record.lacking.discard(node.name)
            if not record.lacking:
                self.open.remove(record)
                self.times_s.append((self.world.now - record.began_us) / SECOND)


def measure_propagation(
    size: int, seed: int, loss: float = 0.0, count: int = 100
) -> Propagation:
    """All members have a record each; then random members write `count` new ones, two each second.

    Args:
        size: Members.
        seed: Of the world and the draws.
        loss: Fraction of datagrams that are lost.
        count: New records.
    """
    world = World(size, seed, Net(loss=loss))
    draw = random.Random(seed + 2)
    world.put_everywhere(draw, 200)
    world.run(SETTLE_S)
    before = world.sent()
    world.run(10)
    at_rest = (world.sent() - before) / 10 / size
    watch = _PropagationWatch(world)
    for _ in range(count):
        owner = draw.choice(list(world.nodes))
        world.put(owner, KIND, draw.randbytes(200))
        watch.written(owner)
        world.run(0.5)
    world.run(10.0)
    times = watch.times_s
    return Propagation(
        quantile(times, 0.5),
        quantile(times, 0.99),
        max(times),
        at_rest,
        len(watch.open),
    )


@dataclass(frozen=True)
class Burst:
    """What it takes when all members write at once.

    Attributes:
        agreed_s: Seconds until all hold all records.
        max_bytes_per_s: The most that one member sent in any second.
    """

    agreed_s: float
    max_bytes_per_s: float


def measure_burst(size: int, seed: int, loss: float = 0.0) -> Burst:
    """All members write a record at once.

    Args:
        size: Members.
        seed: Of the world and the draws.
        loss: Fraction of datagrams that are lost.
    """
    world = World(size, seed, Net(loss=loss))
    draw = random.Random(seed + 2)
    world.put_everywhere(draw, 200)
    world.run(SETTLE_S)
    world.put_everywhere(draw, 200)
    began, most = world.now, 0.0
    while not world.agreed() and world.now < began + 60 * SECOND:
        before = {
            name: node.table.counters.sent_bytes for name, node in world.nodes.items()
        }
        for _ in range(10):
            world.run(0.1)
            if world.agreed():
                break
        for name, node in world.nodes.items():
            most = max(most, node.table.counters.sent_bytes - before[name])
    return Burst((world.now - began) / SECOND, most)


def measure_partition_recovery(
    size: int, seed: int, loss: float = 0.0, *, live_again_s: float | None = None
) -> float:
    """Two thirds and a third are partitioned for 10 s; all write on both sides.

    Args:
        size: Members.
        seed: Of the world and the draws.
        loss: Fraction of datagrams that are lost.
        live_again_s: If given, each side holds the other dead from 5 s into the partition until so long after
            its end.

    Returns:
        Seconds from the end of the partition until all agree.
    """
    world = World(size, seed, Net(loss=loss))
    draw = random.Random(seed + 2)
    names = list(world.nodes)
    sides = [set(names[: size * 2 // 3]), set(names[size * 2 // 3 :])]
    world.put_everywhere(draw, 200)
    world.run(SETTLE_S)
    world.net.groups = sides
    world.run(5)
    if live_again_s is not None:
        for side in sides:
            world.tell(side, side)
    world.put_everywhere(draw, 200)
    world.run(5)
    world.net.groups = None
    began = world.now
    if live_again_s is not None:
        world.run(live_again_s)
        world.tell(names)
    while not world.agreed() and world.now < began + 120 * SECOND:
        world.run(0.05)
    return (world.now - began) / SECOND


class _RandomFaults:
    """Draws writes, restarts, stops and network faults, and plays them in a world."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.size = self.draw.choice([3, 5, 8, 12])
        rules = RecordRules(
            drop_after_us=self.draw.choice([3, 20]) * SECOND,
            withdraw_after_us=self.draw.choice([2, 30]) * SECOND,
        )
        self.world = World(self.size, seed, Net(), rules)
        self.names = list(self.world.nodes)
        self.down: set[str] = set()
        # One of these is drawn for each event; the first three write.
        self.events: tuple[Callable[[str], None], ...] = (
            self.write,
            self.write,
            self.write,
            self.restart_and_write,
            self.cut_links,
            self.partition,
            self.lose_and_repeat,
            self.delay,
            self.stop,
            self.report_wrong_members,
        )

    def play_event(self) -> None:
        """Plays one random event and lets a random time pass."""
        name = self.draw.choice(self.names)
        self.events[self.draw.randrange(len(self.events))](name)
        self.world.run(self.draw.choice([0, 0.01, 0.1, 0.5, 3]))

    def write(self, name: str) -> None:
        """A member that runs writes a record."""
        if name not in self.down:
            kind = self.draw.choice("xyz")
            body = self.draw.choice([b"", b"1", b"2", b"3", b"4"])
            self.world.put(name, kind, body)

    def restart(self, name: str) -> None:
        """A member starts anew, and its membership is right."""
        self.world.start(name)
        self.down.discard(name)
        live = [other for other in self.names if other not in self.down]
        self.world.tell(live, [name])

    def restart_and_write(self, name: str) -> None:
        """A member starts anew and writes at once."""
        self.restart(name)
        self.world.put(name, "x", self.draw.choice([b"1", b"new"]))

    def cut_links(self, name: str) -> None:
        """Some links carry nothing, each in one direction."""
        self.world.net.cut = {
            (self.draw.choice(self.names), self.draw.choice(self.names))
            for _ in range(self.draw.randrange(6))
        }

    def partition(self, name: str) -> None:
        """A partition begins, perhaps with members on both sides, or ends."""
        parts = [
            set(self.names[: self.draw.randrange(1, self.size)]),
            set(self.names[self.draw.randrange(self.size) :]),
        ]
        self.world.net.groups = self.draw.choice([None, parts])

    def lose_and_repeat(self, name: str) -> None:
        """Other fractions of datagrams are lost and repeated."""
        self.world.net.loss = self.draw.choice([0, 0.1, 0.5])
        self.world.net.duplicate = self.draw.choice([0, 0.3])

    def delay(self, name: str) -> None:
        """Datagrams are late by other times."""
        self.world.net.jitter = self.draw.choice([0, 500, 300_000, 2_000_000])

    def stop(self, name: str) -> None:
        """A member's process is killed."""
        self.world.stop(name)
        self.down.add(name)

    def report_wrong_members(self, name: str) -> None:
        """The membership of one member holds a random set live."""
        live = self.draw.sample(self.names, self.draw.randrange(1, self.size + 1))
        self.world.tell(live, [self.draw.choice(self.names)])

    def repair(self) -> None:
        """Ends all faults, and lets each member write its last record."""
        net = self.world.net
        net.loss, net.duplicate, net.jitter = 0, 0, 500
        net.groups, net.cut = None, set()
        for name in sorted(self.down):
            self.restart(name)
        self.world.tell(self.names)
        self.world.run(2)
        for name in self.names:
            self.world.put(name, "x", last_body(name))

    def violations(self) -> list[str]:
        """Returns what is wrong with the members' tables."""
        wrong = [] if self.world.agreed() else ["not all hold the same"]
        for name in self.names:
            table = self.world.nodes[name].table
            for owner in self.names:
                found = table.get(owner, "x")
                if found is None or found.body != last_body(owner) or found.stale:
                    wrong.append(f"{name} holds {found} of {owner}")
        return wrong


def last_body(name: str) -> bytes:
    """Returns the record that a member writes after the random faults."""
    return f"the end of {name}".encode()


def run_random_faults(seed: int) -> list[str]:
    """Plays up to 40 random events, then 27 s without faults.

    The events are writes, restarts, stops, cut links, partitions, lost, late and repeated datagrams, and
    wrong views of which members are live.

    Returns:
        What is wrong after it; empty if all members hold the last record of each.
    """
    faults = _RandomFaults(seed)
    for _ in range(faults.draw.randrange(5, 40)):
        faults.play_event()
    faults.repair()
    faults.world.run(25)
    return faults.violations()


def main() -> None:
    """Prints the tables of docs/records.md."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--members", type=int, nargs="*", default=[50, 200])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    parser.add_argument("--loss", type=float, nargs="*", default=[0.0, 0.05])
    options = parser.parse_args()
    for size in options.members:
        for loss in options.loss:
            for seed in options.seeds:
                print(experiment_line(size, seed, loss), flush=True)


def experiment_line(size: int, seed: int, loss: float) -> str:
    """Runs all experiments and returns their figures as a line."""
    new = measure_propagation(size, seed, loss)
    burst = measure_burst(size, seed, loss)
    recovery_s = measure_partition_recovery(size, seed, loss)
    told_s = measure_partition_recovery(size, seed, loss, live_again_s=4.0)
    return (
        f"{size} members, loss {loss:.2f}, seed {seed}: all hold a record p50 {new.p50:.2f}"
        f" p99 {new.p99:.2f} worst {new.worst:.2f} s, {new.missing} not;"
        f" at rest {new.at_rest:.0f} B/s; all at once {burst.agreed_s:.1f} s,"
        f" most {burst.max_bytes_per_s:.0f} B/s; heal {recovery_s:.2f}, told {told_s:.2f} s"
    )


if __name__ == "__main__":
    main()
