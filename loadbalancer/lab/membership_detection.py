"""Time to detect a death, false suspicions and deaths, and bytes, measured in one emulated membership.

`measure` runs one script and returns the figures that docs/membership.md reports. Times are microseconds
unless a field says otherwise.
"""

from __future__ import annotations

import math
import random
import statistics
from dataclasses import dataclass, field

from loadbalancer.lab.membership import SECOND, STATES, World
from loadbalancer.lab.network import Net
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.membership.state import MemberChange


@dataclass(frozen=True)
class DetectionFigures:
    """Result of `measure`; times in seconds, rates per member-hour."""

    members: int
    loss: float
    detect_first: float  # after the kill, until the first member declares it dead
    detect_median: float  # until half of the members hold it dead
    detect_all: float  # until no live member holds it alive or suspected
    agree: float  # until all live members agree on everything
    false_suspicions: float
    false_deaths: float
    bytes_per_member: float  # bytes a second that each member sends, on the mean

    def row(self) -> str:
        """One line of a table."""
        return (
            f"{self.members:>6} {self.loss:>5.2f} {self.detect_first:>7.2f} {self.detect_median:>7.2f} "
            f"{self.detect_all:>7.2f} "
            f"{self.agree:>7.2f} {self.false_suspicions:>8.2f} {self.false_deaths:>7.2f} "
            f"{self.bytes_per_member:>8.0f}"
        )


SECONDS_PER_HOUR = 3600

HEADER = (
    f"{'size':>6} {'loss':>5} {'first':>7} {'median':>7} {'all':>7} {'agree':>7} {'suspect':>8} {'deaths':>7}"
    f" {'B/s':>8}"
)


class DetectionWatch:
    """Counts, change by change, what `measure` reports.

    Attributes:
        live: members that were not killed.
        alive_pairs: (observer, member), both live, where the observer holds the member alive.
        holding: observers that hold the victim alive or suspected.
        times: seconds from the kill until each observer held the victim dead.
        agree: seconds from the kill until all agreed.
    """

    def __init__(self) -> None:
        self.live: set[str] = set()
        self.victim = ""
        self.alive_pairs = 0
        self.holding: set[str] = set()
        self.agree = math.nan
        self.times: list[float] = []
        self.killed_us = 0
        self.suspicions = self.deaths = 0

    def on_change(self, observer: str, change: MemberChange) -> None:
        """Counts one change that an observer reports."""
        if (
            observer not in self.live
            or change.name == observer
            or change.new not in STATES
        ):
            return
        seconds = (change.time_us - self.killed_us) / SECOND
        if change.name == self.victim:
            if change.new in ("dead", "left") and observer in self.holding:
                self.holding.discard(observer)
                self.times.append(seconds)
        elif change.name in self.live:
            self.alive_pairs += (change.new == "alive") - (change.old == "alive")
            self.suspicions += change.new == "suspect"
            self.deaths += change.new == "dead"
        if self.victim and not self.holding and math.isnan(self.agree):
            size = len(self.live)
            if self.alive_pairs == size * (size - 1):
                self.agree = seconds

    def kill(self, victim: str, at_us: int) -> None:
        """Notes the kill of a member, in a world where all agree."""
        self.victim, self.killed_us = victim, at_us
        self.live.discard(victim)
        self.holding = set(self.live)
        self.alive_pairs = len(self.live) * (len(self.live) - 1)

    def figures(self, scenario: DetectionScenario, bytes_sent: int) -> DetectionFigures:
        """The figures at the end of the watch."""
        times = sorted(self.times)
        watch_s = scenario.watch_us / SECOND
        hours = len(self.live) * watch_s / SECONDS_PER_HOUR
        return DetectionFigures(
            members=scenario.size,
            loss=scenario.loss,
            detect_first=times[0] if times else math.nan,
            detect_median=times[len(times) // 2] if times else math.nan,
            detect_all=times[-1] if times and not self.holding else math.nan,
            agree=self.agree,
            false_suspicions=self.suspicions / hours,
            false_deaths=self.deaths / hours,
            bytes_per_member=bytes_sent / (watch_s + 1) / scenario.size,
        )


@dataclass(frozen=True)
class DetectionScenario:
    """What `measure` runs; times in microseconds.

    Attributes:
        loss: share of datagrams lost, from a second before the kill on.
        pauses: members paused once each, in the first half of the watch.
        warm_us: time to settle.
        watch_us: time watched after the kill.
        settled: the members know each other from the start.
    """

    size: int
    seed: int
    loss: float = 0.0
    pauses: int = 0
    pause_us: int = 3 * SECOND
    settings: SwimSettings = field(default_factory=SwimSettings)
    warm_us: int = 30 * SECOND
    watch_us: int = 60 * SECOND
    settled: bool = False


def measure(scenario: DetectionScenario) -> DetectionFigures:
    """Lets the members settle, kills one, pauses others, and counts what the rest conclude.

    False suspicions and deaths are of members never killed.

    Raises:
        RuntimeError: the members did not settle in time.
    """
    watch, net = DetectionWatch(), Net()
    world = World(
        scenario.size,
        scenario.settings,
        scenario.seed,
        net,
        scenario.settled,
        watch.on_change,
    )
    world.run(scenario.warm_us)
    if not scenario.settled and not world.agreed(set()):
        raise RuntimeError(
            f"{scenario.size} members, seed {scenario.seed}: not settled after"
            f" {scenario.warm_us / SECOND:g} s"
        )
    watch.live = set(world.nodes)
    net.loss = scenario.loss
    bytes_before = world.bytes
    kill_at = scenario.warm_us + SECOND
    victim = _schedule_pauses(world, scenario, kill_at)
    watch.kill(victim, kill_at)
    world.kill(victim, kill_at)
    world.run(kill_at + scenario.watch_us)
    world.collect()
    return watch.figures(scenario, world.bytes - bytes_before)


def _schedule_pauses(world: World, scenario: DetectionScenario, kill_at: int) -> str:
    """Draws the victim, and pauses others; returns the victim."""
    rng = random.Random(scenario.seed + 1)
    names = sorted(world.nodes)
    victim = rng.choice(names[1:])
    others = [name for name in names if name != victim]
    for name in rng.sample(others, min(scenario.pauses, scenario.size - 2)):
        delay_us = rng.randrange(scenario.watch_us // 2)
        world.pause(name, kill_at + delay_us, scenario.pause_us)
    return victim


def summary(figures: list[DetectionFigures]) -> str:
    """Median and worst of each figure over seeds, one line."""

    def pair(values: list[float]) -> str:
        good = [v for v in values if not math.isnan(v)]
        if not good:
            return "   -/-"
        return f"{statistics.median(good):.2f}/{max(good):.2f}" + (
            "" if len(good) == len(values) else "!"
        )

    return (
        f"size {figures[0].members} loss {figures[0].loss:.2f}:"
        f" first {pair([f.detect_first for f in figures])}"
        f" median {pair([f.detect_median for f in figures])}"
        f" all {pair([f.detect_all for f in figures])} agree {pair([f.agree for f in figures])}"
        f" suspicions/h {pair([f.false_suspicions for f in figures])}"
        f" deaths/h {pair([f.false_deaths for f in figures])}"
        f" B/s {pair([f.bytes_per_member for f in figures])}"
    )
