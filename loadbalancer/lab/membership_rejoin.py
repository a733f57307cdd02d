"""Rejoin after a partition, and the load of many members that join at once, measured on the emulated network.

`measure_rejoin` cuts one side off, or kills its processes, and brings it back at once: time until all agree,
and the worst second's bytes. `join_storm` measures what many joins cost one seed.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import process_time

from loadbalancer.lab.membership import SECOND, World
from loadbalancer.lab.network import Net
from loadbalancer.membership.messages import (
    PROTOCOL_VERSION,
    MembershipEnvelope,
    MemberState,
    MemberUpdate,
    Sync,
    encode,
)
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.membership.state import Member
from loadbalancer.membership.swim import Swim

REST_US = 30 * SECOND  # before the cut
MINUTE_US = 60 * SECOND
AFTERMATH_US = 15 * SECOND  # watched after all agree


@dataclass(frozen=True)
class RejoinFigures:
    """Result of `measure_rejoin`: seconds, counts, and bytes of datagrams without their headers."""

    members: int
    cut_off: int
    apart: float  # seconds
    agree: float  # from the heal until all live members hold each other alive; nan: not while watched
    half: float  # from the heal until half of the pairs across the cut hold each other alive
    deaths: int  # declared after the heal, of members that live
    rest: float  # bytes a member and second, sent, before the cut
    apart_rest: float  # the same in the last minute of the cut
    sent: int  # the most that one member sent in a second after the heal
    received: int  # the most that came to one member in a second after the heal
    seed_sent: int  # the same of the busiest seed
    seed_received: int
    mean: int  # the most that members sent in a second after the heal, on the mean

    def row(self) -> str:
        """One line of a table."""
        return (
            f"{self.members:>5} {self.cut_off:>5} {self.apart:>6g}"
            f" agree {self.agree:>6.2f} half {self.half:>6.2f}"
            f" deaths {self.deaths:>4} rest {self.rest:>5.0f} apart {self.apart_rest:>5.0f}"
            f" worst second: sent {self.sent:>7} received {self.received:>7} seed sent {self.seed_sent:>7}"
            f" received {self.seed_received:>7} mean {self.mean:>6}"
        )


class Traffic:
    """Bytes by second and member."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sent: dict[tuple[int, str], int] = {}
        self.received: dict[tuple[int, str], int] = {}
        world.traffic = self.on_datagram

    def on_datagram(self, source: str, target: str | None, size: int) -> None:
        """Counts one datagram; what a cut swallows is sent and not received."""
        key = (self.world.now // SECOND, source)
        self.sent[key] = self.sent.get(key, 0) + size
        groups = self.world.groups  # what a cut swallows comes to nobody
        if target is not None and (
            groups is None or any(source in g and target in g for g in groups)
        ):
            key = (self.world.now // SECOND, target)
            self.received[key] = self.received.get(key, 0) + size

    def worst(
        self, side: dict[tuple[int, str], int], names: Sequence[str] | None = None
    ) -> int:
        """The most of one member in one second."""
        return max(
            (n for (_, name), n in side.items() if names is None or name in names),
            default=0,
        )

    def mean(self) -> int:
        """The most of all members in one second, by member."""
        by: dict[int, int] = {}
        for (second, _), size in self.sent.items():
            by[second] = by.get(second, 0) + size
        return max(by.values(), default=0) // len(self.world.nodes)


@dataclass(frozen=True)
class RejoinScenario:
    """What `measure_rejoin` runs; times in microseconds.

    Attributes:
        cut_off: number of members on the far side, the last of all.
        apart_us: for how long they are cut off.
        seeds: ports of the seeds.
        watch_us: at most so long the world is watched after the heal.
        restarted: the far side is killed instead, and comes back knowing nothing.
        zones: over so many zones the members are spread.
    """

    size: int
    seed: int
    cut_off: int
    apart_us: int
    seeds: Sequence[int] = (1,)
    settings: SwimSettings = field(default_factory=SwimSettings)
    watch_us: int = 60 * SECOND
    net: Net | None = None
    restarted: bool = False
    zones: int = 0


class RejoinRun:
    """One run of a scenario, stage by stage."""

    def __init__(self, scenario: RejoinScenario) -> None:
        self.scenario = scenario
        self.world = World(
            scenario.size,
            scenario.settings,
            scenario.seed,
            scenario.net,
            settled=True,
            seeds=scenario.seeds,
            zones=scenario.zones,
        )
        names = list(self.world.nodes)
        self.far = set(names[scenario.size - scenario.cut_off :])
        self.near = set(names) - self.far
        self.half = self.agree = math.nan

    def run(self) -> RejoinFigures:
        """Cuts, heals, watches, and returns the figures."""
        scenario, world = self.scenario, self.world
        world.run(REST_US)
        rest = world.bytes / (REST_US // SECOND) / scenario.size
        apart_rest = self._stay_apart()
        self._heal()
        traffic = Traffic(world)
        self._watch()
        world.collect()
        seeds = [world.by_port[p] for p in scenario.seeds if p in world.by_port]
        return RejoinFigures(
            members=scenario.size,
            cut_off=scenario.cut_off,
            apart=scenario.apart_us / SECOND,
            agree=self.agree,
            half=self.half,
            deaths=sum(change.new == "dead" for _, change in world.changes),
            rest=rest,
            apart_rest=apart_rest,
            sent=traffic.worst(traffic.sent),
            received=traffic.worst(traffic.received),
            seed_sent=traffic.worst(traffic.sent, seeds),
            seed_received=traffic.worst(traffic.received, seeds),
            mean=traffic.mean(),
        )

    def _stay_apart(self) -> float:
        """Cuts the far side off; returns the bytes a member and second in the last minute of the cut."""
        scenario, world = self.scenario, self.world
        if scenario.restarted:
            for name in self.far:
                world.kill(name, world.now)
        else:
            world.groups = [self.near, self.far]
        start = world.now
        world.run(start + max(0, scenario.apart_us - MINUTE_US))
        before = world.bytes
        world.run(start + scenario.apart_us)
        seconds = min(scenario.apart_us, MINUTE_US) / SECOND
        members = len(self.near) if scenario.restarted else scenario.size
        return (world.bytes - before) / seconds / members

    def _heal(self) -> None:
        world = self.world
        world.collect()
        world.changes.clear()
        world.groups = None
        if self.scenario.restarted:
            for name in self.far:
                world.restart(name, world.now)

    def _watch(self) -> None:
        """Watches until all agree, and some time more, or as long as the scenario says."""
        world, heal = self.world, self.world.now
        while world.now < heal + self.scenario.watch_us:
            world.run(world.now + SECOND // 4)
            if math.isnan(self.half) and self._half_is_alive():
                self.half = (world.now - heal) / SECOND
            if world.agreed(set()):
                self.agree = (world.now - heal) / SECOND
                world.run(world.now + AFTERMATH_US)
                break

    def _half_is_alive(self) -> bool:
        """Whether half of the pairs across the cut hold each other alive."""
        across = sum(
            self.world.state(observer, member) == MemberState.ALIVE
            for one, other in ((self.near, self.far), (self.far, self.near))
            for observer in one
            for member in other
        )
        return across >= len(self.near) * len(self.far)


def measure_rejoin(scenario: RejoinScenario) -> RejoinFigures:
    """Cuts one side of a settled world off, heals, and measures until all members agree."""
    return RejoinRun(scenario).run()


@dataclass(frozen=True)
class JoinStorm:
    """What a crowd of processes that begin at once costs the one seed that they all ask."""

    datagrams: int  # that the seed sent
    sent: int  # bytes of these
    least: int  # members that the one which got fewest then knew
    processor: float  # seconds of processor time that the seed took


def join_storm(
    known: int, askers: int, within: int = SECOND, settings: SwimSettings | None = None
) -> JoinStorm:
    """Measures what one seed with `known` live members answers to `askers` new ones.

    They ask evenly over `within` microseconds. No network is emulated: the seed's part alone.
    """
    swim = settings or SwimSettings()
    seed = Swim(Member("seed", "10.0.0.1", 7946), swim, seed=1)
    seed.join(0, [])
    items = [
        MemberUpdate(
            f"node-{i:04d}",
            f"10.1.{i // 250}.{i % 250}",
            7946,
            0,
            MemberState.ALIVE,
            "x",
            "zone-1",
            "north",
        )
        for i in range(known)
    ]
    for i in range(0, known, 20):
        datagram = MembershipEnvelope(
            PROTOCOL_VERSION,
            swim.cluster,
            "node-0000",
            0,
            Sync(True),
            items[i : i + 20],
        )
        seed.receive(1, encode(datagram), ("10.1.0.0", 7946))
    datagrams = sent = 0
    processor = 0.0
    least = known
    for i in range(askers):
        address, now = (
            (f"10.2.{i // 250}.{i % 250}", 7946),
            2 * SECOND + i * within // askers,
        )
        local = Member(f"back-{i:04d}", *address, zone="zone-2", region="south")
        asker = Swim(local, swim, seed=i)
        (ask,) = asker.join(now, [seed.local.address])
        began = process_time()
        answers = seed.receive(now, ask.data, address)
        processor += process_time() - began
        datagrams += len(answers)
        sent += sum(len(a.data) for a in answers)
        for answer in answers:
            asker.receive(now, answer.data, seed.local.address)
        least = min(least, len(asker.members))
    return JoinStorm(datagrams, sent, least, processor)
