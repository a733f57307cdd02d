"""What a run in virtual time and a run of real processes have in common.

The script of faults and the directory act on a stage: a clock, servers and nodes. The emulator is one, live
mode is another, so both are struck by the same faults and told of servers with the same delays.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from loadbalancer.lab.machine import Build, Machine
from loadbalancer.lab.measures import Measures
from loadbalancer.lab.rules import Ledger
from loadbalancer.lab.streams import Stream
from loadbalancer.lab.world import SECOND, TierWorld, World
from loadbalancer.policy.api import EndpointEntry, ListUpdateKind

if TYPE_CHECKING:
    from loadbalancer.lab.directory import Directory

# Where every run's clock starts: 0 means "long ago" to the module
EPOCH = 1_000_000_000


class Clock(Protocol):
    """Time in microseconds, and calls at a time."""

    @property
    def now(self) -> int: ...

    def at(self, time: int, call: Callable[..., None], *args: Any) -> None:
        """Calls `call(*args)` at `time`, or at once if that has passed."""

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Calls `call(*args)` so many microseconds from now."""


class StagedServer(Protocol):
    """A server that faults can strike."""

    id: int
    tier: int
    index: int
    zone: int
    cell: int
    build: Build
    machine: Machine
    silent: bool
    stopping: bool
    generation: int

    @property
    def reachable(self) -> bool: ...

    def die(self) -> None:
        """The process ends at once."""

    def begin(self) -> None:
        """A new process starts, cold."""

    def arm(self) -> None:
        """The machine's next event may have changed."""


class StagedNode(Protocol):
    """A node that can be told of servers, and killed."""

    index: int
    zone: int
    alive: bool
    generation: int
    version: int

    def take(self, entries: Sequence[EndpointEntry], kind: ListUpdateKind) -> None:
        """News of the list reaches the node."""

    def told(self) -> dict[str, float] | None:
        """The module's own figures, for plots; None where they cannot be had."""


class StagedTier(Protocol):
    """A tier of a stage."""

    world: TierWorld
    directory: Directory

    @property
    def servers(self) -> Sequence[StagedServer]: ...

    @property
    def nodes(self) -> Sequence[StagedNode]: ...


class Stage:
    """The parts that the script of faults and the directory rely on."""

    def __init__(self, world: World) -> None:
        s = world.scenario
        self.world = world
        self.epoch = EPOCH
        self.ledger = Ledger(EPOCH)
        self.measures = Measures()
        self.drain_grace = int(s.rules.drain_grace_ms * 1000)
        self.report_delay = 0
        self.zone_silent = [False] * len(s.zones)
        self.crossed: dict[
            tuple[int, int], int
        ] = {}  # attempts from other zones, by second and zone
        self.spent_work = 0.0
        self.noise = Stream(world.seed, "attempt work")
        self.calls_stream = Stream(world.seed, "calls")
        self.error_stream = Stream(world.seed, "errors")
        self.report_noise = Stream(world.seed, "report noise")
        self.discovery_stream = Stream(world.seed, "discovery")
        self.seeds = Stream(world.seed, "node seeds")
        self.pause_stream = Stream(world.seed, "pauses")

    def crosses(self, zone: int, other: int) -> None:
        """An attempt is made from one zone to another; one within a zone does not count."""
        if zone != other:
            place = ((self.clock.now - self.epoch) // SECOND, other)
            self.crossed[place] = self.crossed.get(place, 0) + 1

    @property
    def clock(self) -> Clock:
        raise NotImplementedError

    @property
    def staged(self) -> Sequence[StagedTier]:
        """The tiers, first to last."""
        raise NotImplementedError

    def stop_node(self, node: Any, down: int) -> None:
        """Kills a node of the first tier; it starts again after `down` microseconds, if that is not 0."""
        raise NotImplementedError

    def on_tick(self, time: int) -> int:
        """When a node handles what comes at `time`."""
        return time


@dataclass(frozen=True)
class ServerTally:
    """What one server did."""

    index: int
    kind: int
    zone: int
    speed: float
    cores: int
    busy: float  # core-microseconds
    requests: int
    rejected: int
    failed: int
    chokes: int


@dataclass(frozen=True)
class TierTally:
    """What a tier's servers did."""

    name: str
    kinds: tuple[str, ...]
    initial: int
    nodes: int
    servers: list[ServerTally]


@dataclass(frozen=True)
class Tally:
    """All that a run has counted, whatever it was played on."""

    world: World
    epoch: int
    measures: Measures
    ledger: Ledger
    tiers: list[TierTally]
    offered_work: float
    spent_work: float
    useful_work: float
    events: int = 0
    crossed: dict[tuple[int, int], int] = field(
        default_factory=dict
    )  # attempts from other zones
    hits: dict[int, list[int]] = field(
        default_factory=dict
    )  # by second: asked for with a key, found
    marks: list[dict[str, object]] = field(default_factory=list)


def tally_of(tier: TierWorld, nodes: int, servers: Sequence[Any]) -> TierTally:
    """A tier's tally from its servers."""
    return TierTally(
        tier.name,
        tier.kinds,
        tier.initial,
        nodes,
        [
            ServerTally(
                s.index,
                s.build.kind,
                s.zone,
                s.build.speed,
                s.build.cores,
                s.machine.busy,
                s.requests,
                s.rejected,
                s.failed,
                s.machine.chokes,
            )
            for s in servers
        ],
    )
