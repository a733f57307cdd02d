"""Records and membership of whole fleets on the emulated network: bytes, datagrams, processor time.

Processor time is that of the deciders alone (`receive`, `tick`), by `process_time` around each call; what a
datagram costs in the socket, the transport and the loop is a figure of its own (`roles.datagram`). Bytes are
those of the records and of the membership; UDP and IP add 28 to a datagram, a shared port 5.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from time import process_time_ns

from loadbalancer.audit.status import renewal_interval_us
from loadbalancer.lab.membership import Node as MemberNode
from loadbalancer.lab.membership import World as MemberWorld
from loadbalancer.lab.network import Net
from loadbalancer.lab.records import Node, World
from loadbalancer.lab.scale.views import name_of, word_of
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.records.messages import (
    Digest,
    RecordRequest,
    RecordResponse,
    decode,
)
from loadbalancer.records.outbox import SendDatagram
from loadbalancer.records.rules import RecordRules
from loadbalancer.records.state import StoredRecord, bucket_of
from loadbalancer.transports.interface import Address

SECOND = 1_000_000
KIND = "audit"


class Records(World):
    """A settled fleet: each member holds one record of each, beats are spread over their time. Names are as
    long as an installation's, since some of the bytes are theirs.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        net: Net | None = None,
        rules: RecordRules | None = None,
    ) -> None:
        super().__init__(size, seed, net, rules)
        self.rng = Random(seed + 2)
        self.spent = 0  # nanoseconds of processor time
        self.split: Counter[str] = Counter()  # bytes by kind of message
        self.datagrams = 0
        self.came: Counter[str] = Counter()  # bytes received, by node
        self.watched = False
        tables = [n.table for n in self.nodes.values()]
        entries = {}
        for table in tables:
            body = word_of(self.rng, 100)
            table.put(0, KIND, body)
            entries[table.name] = StoredRecord(1, body, 0)
        buckets = [0] * 32
        for table in tables:
            own = table.replicas.own
            buckets[bucket_of(own.key)] ^= own.bucket_contribution
        for table in tables:
            for other in tables:
                if other is not table:
                    owner = table.replicas.owners[other.name]
                    owner.records = {KIND: entries[other.name]}
                    owner.records_checksum = other.replicas.own.records_checksum
                    owner.advance(other.replicas.own.entry)
            table.replicas.bucket_checksums = list(buckets)
            table.queue.pushed.clear()
            table.full_exchanges_left = 0
            table.next_heartbeat_us = self.rng.randrange(table.heartbeat_us)
            self.wake(self.nodes[table.name])
        assert self.agreed()

    def start(self, name: str) -> Node:
        return super().start(name_of(int(name[1:])) if name.startswith("m") else name)

    def received(self, node: Node, data: bytes, source: Address) -> None:
        if self.watched:
            self.came[node.name] += len(data)
        began = process_time_ns()
        sends = node.table.receive(self.now, data, source)
        self.spent += process_time_ns() - began
        self.post(node, sends)
        self.taken(node)
        self.wake(node)

    def due(self, node: Node, armed: int) -> None:
        if node.armed == armed and node.end.address is not None:
            node.armed = None
            began = process_time_ns()
            sends = node.table.tick(self.now)
            self.spent += process_time_ns() - began
            self.post(node, sends)
            self.wake(node)

    def post(self, node: Node, sends: list[SendDatagram]) -> None:
        if self.watched:
            for send in sends:
                message = decode(send.data)
                kind = "have"
                if isinstance(message, Digest):
                    kind = "exchange" if message.bucket_checksums else "heads"
                elif isinstance(message, RecordRequest):
                    kind = "want"
                else:
                    assert isinstance(message, RecordResponse)
                self.split[kind] += len(send.data)
                self.datagrams += 1
        super().post(node, sends)

    def watch(self) -> None:
        """From now on bytes and times count."""
        self.watched, self.spent, self.datagrams = True, 0, 0
        self.split.clear()
        self.came.clear()


def beat_of(size: int) -> float:
    """Seconds between two words of a member of a fleet of so many."""
    return RecordRules().heartbeat_interval_us(size) / SECOND


def rest(size: int, seed: int) -> dict[str, float]:
    """At rest: nobody writes anything."""
    world = Records(size, seed)
    world.run(1.5 * beat_of(size))
    world.watch()
    span = max(10.0, beat_of(size))
    world.run(span)
    each = size * span
    total = sum(world.split.values())
    return {
        "bytes_per_s": total / each,
        **{
            f"{k}_bytes_per_s": world.split[k] / each
            for k in ("exchange", "heads", "want", "have")
        },
        "datagrams_per_s": world.datagrams / each,
        "core_percent": world.spent / 1e9 / each * 100,
    }


REST_UNITS = {
    "bytes_per_s": "bytes/s", "exchange_bytes_per_s": "bytes/s", "heads_bytes_per_s": "bytes/s",
    "want_bytes_per_s": "bytes/s", "have_bytes_per_s": "bytes/s", "datagrams_per_s": "datagrams/s",
    "core_percent": "% of a core",
}  # fmt: skip


def change(size: int, seed: int) -> dict[str, float]:
    """A change that all take up: each writes its word within two seconds, and each fetches all others'."""
    world = Records(size, seed)
    world.run(5)
    world.watch()
    began, most = world.now, 0.0
    writes = sorted((world.rng.randrange(2 * SECOND), name) for name in world.nodes)
    while (writes or not world.agreed()) and world.now < began + 120 * SECOND:
        before = {n: node.table.counters.sent_bytes for n, node in world.nodes.items()}
        for _ in range(10):
            while writes and writes[0][0] <= world.now - began:
                world.put(writes.pop(0)[1], KIND, word_of(world.rng, 101))
            world.run(0.1)
            if not writes and world.agreed():
                break
        most = max(
            most,
            *(n.table.counters.sent_bytes - before[m] for m, n in world.nodes.items()),
        )
    if not world.agreed():
        raise RuntimeError(f"{size} members, seed {seed}: not agreed after 120 s")
    world.run(3)
    total = sum(world.split.values())
    taken = sum(n.table.counters.updates for n in world.nodes.values()) / size
    return {
        "bytes": total / size,
        "body_bytes": world.split["have"] / size,
        "bytes_a_body": total / size / size,
        "datagrams": world.datagrams / size,
        "seconds": (world.now - began) / SECOND - 3,
        "most_bytes_in_a_second": most,
        "processor_ms": world.spent / 1e6 / size,
        "taken": taken,
    }


CHANGE_UNITS = {
    "bytes": "bytes", "body_bytes": "bytes", "bytes_a_body": "bytes", "datagrams": "datagrams",
    "seconds": "s", "most_bytes_in_a_second": "bytes", "processor_ms": "ms", "taken": "records",
}  # fmt: skip


def renewal(size: int, seed: int) -> dict[str, float]:
    """Nothing changes, but the ledger's head does: each writes its word every 30 s, spread over the time, as
    the audit did in any fleet before `renew_after`.
    """
    every = 30.0
    world = Records(size, seed)
    names = list(world.nodes)
    world.rng.shuffle(names)
    span = max(15.0, min(30.0, 12_000 / size))
    settle = 4.0
    world.watch()
    began = world.now
    for i, name in enumerate(names * 2):
        at = began + int(i * every / size * SECOND)
        if at > began + int((span + settle) * SECOND):
            break
        world.schedule.at(
            at,
            lambda name=name: world.put(  # type: ignore[misc]
                name, KIND, word_of(world.rng, 100)
            ),
        )
    world.run(settle)
    world.watch()
    world.run(span)
    each = size * span
    return {
        "bytes_per_s": sum(world.split.values()) / each,
        "have_bytes_per_s": world.split["have"] / each,
        "heads_bytes_per_s": (world.split["heads"] + world.split["exchange"]) / each,
        "datagrams_per_s": world.datagrams / each,
        "core_percent": world.spent / 1e9 / each * 100,
    }


RENEWAL_UNITS = {
    "bytes_per_s": "bytes/s", "have_bytes_per_s": "bytes/s", "heads_bytes_per_s": "bytes/s",
    "datagrams_per_s": "datagrams/s", "core_percent": "% of a core",
}  # fmt: skip


def renewed(size: int, seed: int) -> dict[str, float]:
    """The same as often as the audit does it in a fleet of so many (`audit.word.renew_after`): what it costs
    beyond the rest, which is watched first.
    """
    every = renewal_interval_us(size)
    world = Records(size, seed)
    names = list(world.nodes)
    world.rng.shuffle(names)
    world.run(1.5 * beat_of(size))
    span = max(40.0, 2 * beat_of(size))
    watched = []
    for writing in (False, True):
        if writing:
            for i in range(int((span + 3) * SECOND * size / every)):
                at, name = world.now + int(i * every / size), names[i % size]
                world.schedule.at(
                    at,
                    lambda name=name: world.put(  # type: ignore[misc]
                        name, KIND, word_of(world.rng, 100)
                    ),
                )
            world.run(3)
        world.watch()
        world.run(span)
        each = size * span
        watched.append(
            (
                sum(world.split.values()) / each,
                world.datagrams / each,
                world.spent / 1e9 / each * 100,
            )
        )
    rest, busy = watched
    return {
        "extra_bytes_per_s": busy[0] - rest[0],
        "extra_datagrams_per_s": busy[1] - rest[1],
        "core_percent": busy[2],
        "datagrams_per_s": busy[1],
        "bytes_per_s": busy[0],
    }


RENEWED_UNITS = {
    "extra_bytes_per_s": "bytes/s", "extra_datagrams_per_s": "datagrams/s", "core_percent": "% of a core",
    "datagrams_per_s": "datagrams/s", "bytes_per_s": "bytes/s",
}  # fmt: skip


def newcomer(size: int, seed: int) -> dict[str, float]:
    """One member starts anew with empty hands in a settled fleet: until it holds all records."""
    world = Records(size, seed)
    world.run(3)
    world.watch()
    began = world.now
    spent = world.spent
    name = name_of(0)
    world.start(name)
    world.tell(world.nodes, [name])
    world.put(name, KIND, word_of(world.rng, 100))
    fresh = world.nodes[name].table

    def whole() -> bool:
        return sum(bool(o.records) for o in fresh.replicas.owners.values()) == size

    while not whole() and world.now < began + 120 * SECOND:
        world.run(0.1)
    if not whole():
        raise RuntimeError(
            f"{size} members, seed {seed}: a newcomer has not all after 120 s"
        )
    return {
        "received_bytes": float(world.came[name]),
        "sent_bytes": float(fresh.counters.sent_bytes),
        "seconds": (world.now - began) / SECOND,
        "processor_ms_of_all": (world.spent - spent) / 1e6,
    }


NEWCOMER_UNITS = {
    "received_bytes": "bytes", "sent_bytes": "bytes", "seconds": "s", "processor_ms_of_all": "ms",
}  # fmt: skip


class Members(MemberWorld):
    """A settled membership; processor time by node."""

    spent = 0

    def named(self, index: int) -> str:
        """As long as an installation's."""
        return name_of(index)

    def deliver(self, node: MemberNode, data: bytes, source: tuple[str, int]) -> None:
        began = process_time_ns()
        sends = node.swim.receive(self.now, data, source)
        self.count(node, process_time_ns() - began)
        self.send(node, sends)
        self.report_changes(node)

    def due(self, node: MemberNode, armed: int) -> None:
        if node.armed != armed:
            return
        node.armed = None
        if node.down or self.nodes.get(node.name) is not node or node.swim.has_left:
            return
        if self.now < node.paused_until:
            return
        if self.now >= node.swim.next_deadline():
            began = process_time_ns()
            sends = node.swim.tick(self.now)
            self.count(node, process_time_ns() - began)
            self.send(node, sends)
            self.report_changes(node)
        self.wake(node)

    def count(self, node: MemberNode, spent: int) -> None:
        self.spent += spent

    def figures(self) -> tuple[int, int, int]:
        """Bytes and datagrams that have been sent, by all, and nanoseconds spent."""
        counters = [n.swim.counters for n in self.nodes.values()]
        return (
            sum(c.sent_bytes for c in counters),
            sum(c.sent for c in counters),
            self.spent,
        )


def members_rest(size: int, seed: int) -> dict[str, float]:
    """The membership at rest."""
    world = Members(
        size,
        SwimSettings(),
        seed,
        settled=True,
        on_change=lambda observer, change: None,
    )
    world.run(5 * SECOND)
    before = world.figures()
    span = 20
    world.run((5 + span) * SECOND)
    sent, datagrams, spent = (
        b - a for a, b in zip(before, world.figures(), strict=True)
    )
    each = size * span
    return {
        "bytes_per_s": sent / each,
        "datagrams_per_s": datagrams / each,
        "core_percent": spent / 1e9 / each * 100,
    }


MEMBERS_REST_UNITS = {
    "bytes_per_s": "bytes/s", "datagrams_per_s": "datagrams/s", "core_percent": "% of a core",
}  # fmt: skip


def members_return(size: int, seed: int) -> dict[str, float]:
    """A ninth of the fleet (a zone) is lost at once, held dead by all, and starts anew within a second,
    knowing nothing; all of it asks the one seed.
    """
    changes: Counter[str] = Counter()

    def heard(observer: str, change: object) -> None:
        changes[observer] += 1

    world = Members(size, SwimSettings(), seed, settled=True, on_change=heard)
    world.run(5 * SECOND)
    rng = Random(seed + 1)
    asked, *names = world.nodes  # the first one is the seed
    back = rng.sample(names, max(1, size // 9))
    others = [n for n in names if n not in set(back)]
    for name in back:
        world.kill(name, world.now)

    def span(
        seconds: int, done: Callable[[], bool]
    ) -> tuple[float, int, int, float, float]:
        """When it was done, the most bytes in a second of the seed and of another, bytes and ms of one."""
        began, spent, finished, most, most_seed = world.now, world.spent, 0.0, 0, 0
        last = before = {
            n: world.nodes[n].swim.counters.sent_bytes for n in (*others, asked)
        }
        changes.clear()
        for second in range(1, seconds + 1):
            world.run(began + second * SECOND)
            now = {n: world.nodes[n].swim.counters.sent_bytes for n in before}
            gone = {n: now[n] - last[n] for n in now}
            most_seed = max(most_seed, gone.pop(asked))
            most, last = max(most, *gone.values()), now
            if not finished and done():
                finished = float(second)
        sent = sum(last[n] - before[n] for n in others) / len(others)
        return (
            finished or seconds + 1.0,
            most_seed,
            most,
            sent,
            (world.spent - spent) / 1e6 / size,
        )

    witness = world.nodes[others[0]].swim
    lost, *_, lost_ms = span(
        30, lambda: witness.table.live_count <= size - 1 - len(back)
    )
    lost_changes = sum(changes[n] for n in others) / len(others)
    for name in back:
        world.restart(name, world.now + rng.randrange(SECOND))
    done, most_seed, most, sent, ms = span(
        30,
        lambda: all(
            world.nodes[n].swim.table.live_count == size - 1 for n in (*back, *others)
        ),
    )
    return {
        "lost_known_s": lost,
        "lost_changes_a_node": lost_changes,
        "lost_processor_ms": lost_ms,
        "back_known_s": done,
        "back_changes_a_node": sum(changes[n] for n in others) / len(others),
        "back_processor_ms": ms,
        "seed_most_bytes_in_a_second": float(most_seed),
        "other_most_bytes_in_a_second": float(most),
        "other_bytes_in_30_s": sent,
    }


MEMBERS_RETURN_UNITS = {
    "lost_known_s": "s", "lost_changes_a_node": "changes", "lost_processor_ms": "ms", "back_known_s": "s",
    "back_changes_a_node": "changes", "back_processor_ms": "ms", "seed_most_bytes_in_a_second": "bytes",
    "other_most_bytes_in_a_second": "bytes", "other_bytes_in_30_s": "bytes",
}  # fmt: skip
