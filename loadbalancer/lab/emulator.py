"""The emulator: puts a drawn world together, plays it, and hands over what was counted."""

from __future__ import annotations

import gc
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from loadbalancer.lab.claims import Verdict, judge
from loadbalancer.lab.clients import Clients
from loadbalancer.lab.directory import Directory
from loadbalancer.lab.faults import Script
from loadbalancer.lab.fleet import Server
from loadbalancer.lab.kernel import Kernel
from loadbalancer.lab.measures import Figures
from loadbalancer.lab.nodes import Node
from loadbalancer.lab.scenario import Scenario
from loadbalancer.lab.stage import Clock, Stage, StagedTier, Tally, tally_of
from loadbalancer.lab.streams import Stream
from loadbalancer.lab.world import SECOND, TierWorld, World, build_world
from loadbalancer.policy.api import Actions, Settings
from loadbalancer.policy.balancer import Balancer

if TYPE_CHECKING:
    from loadbalancer.lab.keys import Sharding
    from loadbalancer.lab.locality import Localities

Module = Callable[[Settings, int, Actions], Any]
Progress = Callable[[float, float], None]


class Tier:
    """A tier of servers, the nodes before it, and its list."""

    def __init__(self, world: TierWorld) -> None:
        self.world = world
        self.servers: list[Server] = []
        self.nodes: list[Node] = []
        self.by_id: dict[int, Server] = {}
        self.directory: Directory


class Emulator(Stage):
    """One run. `play` plays it to the end, `figures` and `judge` tell what came of it."""

    def __init__(self, world: World, module: Module = Balancer) -> None:
        super().__init__(world)
        self.module = module
        s = world.scenario
        self.kernel = Kernel()
        self.classes = [c.settings for c in world.classes]
        self.deepest = len(world.tiers) - 1
        self.passes_deadline = s.passes_deadline
        self.slack = int(s.rules.answer_slack_ms * 1000)
        self.max_attempts = s.platform.max_attempts
        self.max_open = s.platform.max_open
        self.second_copies = s.platform.second_copies
        self.ids = 0
        self.sharding: Sharding | None = None
        if s.keys is not None:
            from loadbalancer.lab.keys import Sharding  # here: few scenarios have keys

            self.sharding = Sharding(self)
        self.localities: Localities | None = None
        if s.operator.locality is not None and s.operator.zones is not None:
            from loadbalancer.lab.locality import (
                Localities,
            )  # here: few scenarios have it

            self.localities = Localities(self)
        self.useful_work = 0.0
        self.events = 0
        seed = world.seed
        self.net = Stream(seed, "network")
        self.front_stream = Stream(seed, "front")
        self.client_stream = Stream(seed, "clients")
        self.jitter = world.jitter
        self.tick = world.tick
        self.tiers: list[Tier] = []
        self.build_fleet()
        self.clients = Clients(self)
        self.script = Script(self)

    # ---- the start -----------------------------------------------------------------------------------

    def build_fleet(self) -> None:
        ids = Stream(self.world.seed, "ids")
        for i, tier_world in enumerate(self.world.tiers):
            tier = Tier(tier_world)
            for j, build in enumerate(tier_world.builds):
                id = 1 + ids.below((1 << 32) - 2)
                while id in tier.by_id:
                    id = 1 + ids.below((1 << 32) - 2)
                server = Server(self, id, i, j, build, up=j < tier_world.initial)
                tier.servers.append(server)
                tier.by_id[id] = server
            tier.directory = Directory(self, i)
            tier.directory.open(tier.servers)
            self.tiers.append(tier)
        first = self.tiers[0]
        first.nodes = [
            Node(self, i, 0, zone, None) for i, zone in enumerate(first.world.nodes)
        ]
        for above, below in zip(self.tiers, self.tiers[1:], strict=False):
            for server in above.servers:
                server.node = Node(
                    self, server.index, server.tier + 1, server.zone, server
                )
                below.nodes.append(server.node)

    def start(self) -> None:
        """Servers run and are warm; nodes start within their spread, clients come from the first moment."""
        fixed = self.world.scenario.platform.starts_ms
        for i, tier in enumerate(self.tiers):
            spread = Stream(self.world.seed, "node starts", i)
            for node in tier.nodes:
                if node.owner is None:
                    delay = spread.random() * self.world.start_spread
                    if node.index < len(fixed):
                        delay = fixed[node.index] * 1000
                    self.kernel.after(delay, self.start_node, node)
                elif node.owner.machine.up:
                    node.start(self.node_seed())
            for server in tier.servers:
                self.arm_pause(server)
        self.kernel.at(self.epoch, self.clients.draw_second)
        self.kernel.at(self.epoch + SECOND, self.each_second)
        self.script.arm()

    def start_node(self, node: Node) -> None:
        node.start(self.node_seed())
        if node.alive:
            self.clients.front.admit(node)

    def stop_node(self, node: Node, down: int) -> None:
        """Kills a node of the first tier; it starts again after `down`, if that is not 0."""
        held = node.kill()
        for call in held:
            if node.owner is None:
                self.kernel.after(
                    self.client_delay(), call.caller.answered, call, "cut", 0
                )
            else:
                call.caller.answered(call, "cut", 0)
        if node.owner is None:
            self.kernel.after(
                self.world.front_notice, self.clients.front.lost, node, node.generation
            )
        if down:
            self.kernel.after(down, self.back, node, node.generation)

    def back(self, node: Node, generation: int) -> None:
        if node.generation != generation or node.alive:
            return
        if node.owner is None:
            self.start_node(node)
        elif node.owner.machine.up:
            node.start(self.node_seed())

    @property
    def clock(self) -> Clock:
        return self.kernel

    @property
    def staged(self) -> Sequence[StagedTier]:
        return self.tiers

    # ---- small things that all parts use -------------------------------------------------------------

    def next_id(self) -> int:
        self.ids += 1
        return self.ids

    def node_seed(self) -> int:
        return self.seeds.below(1 << 52)

    def delay(self, zone: int, other: int) -> float:
        """One way between two machines of these zones."""
        mean = self.world.same if zone == other else self.world.cross
        return mean * (1 + self.jitter * abs(self.net.normal()))

    def client_delay(self) -> float:
        return self.world.client * (1 + self.jitter * abs(self.net.normal()))

    def on_tick(self, time: int) -> int:
        """When a node handles what comes at `time`."""
        tick = self.tick
        return -(-time // tick) * tick if tick else time

    def arm_pause(self, server: Server) -> None:
        """The next of the pauses that this kind of machine has of its own."""
        pause = self.tiers[server.tier].world.pauses[server.build.kind]
        if pause.every > 0 and pause.length > 0:
            self.kernel.after(
                self.pause_stream.exponential(pause.every), self.pause, server
            )

    def pause(self, server: Server) -> None:
        pause = self.tiers[server.tier].world.pauses[server.build.kind]
        m = server.machine
        busy = min(1.0, m.active / m.build.cores)
        self.script.stand(server, int(pause.length * (1 + pause.grow * busy)))
        self.arm_pause(server)

    def each_second(self) -> None:
        self.measures.sample(self)
        if self.sharding is not None:
            self.sharding.each_second()
        if self.kernel.now < self.epoch + self.world.length:
            self.kernel.after(SECOND, self.each_second)

    # ---- the run -------------------------------------------------------------------------------------

    def play(self, progress: Progress | None = None) -> None:
        """Plays the day and then on until all that is owed has ended."""
        threshold = gc.get_threshold()
        self.start()
        gc.collect()
        gc.freeze()  # the fleet lives as long as the run
        gc.set_threshold(200_000, 20, 100)
        try:
            end = self.epoch + self.world.length
            at = self.epoch
            while at < end:
                at = min(end, at + SECOND)
                self.events += self.kernel.run(at)
                if progress is not None:
                    progress((at - self.epoch) / SECOND, self.world.length / SECOND)
            longest = max(c.deadline for c in self.classes)
            self.events += self.kernel.run(end + 2 * longest + SECOND)
        finally:
            gc.unfreeze()
            gc.set_threshold(*threshold)

    def figures(self) -> Figures:
        return Figures(self.tally())

    def tally(self) -> Tally:
        """What has been counted so far."""
        return Tally(
            world=self.world,
            epoch=self.epoch,
            measures=self.measures,
            ledger=self.ledger,
            tiers=[tally_of(t.world, len(t.nodes), t.servers) for t in self.tiers],
            offered_work=self.clients.arrivals.offered_work,
            spent_work=self.spent_work,
            useful_work=self.useful_work,
            events=self.events,
            marks=self.script.marks,
            crossed=self.crossed,
            hits=self.sharding.hits if self.sharding is not None else {},
        )


def run(
    scenario: Scenario,
    seed: int,
    module: Module = Balancer,
    progress: Progress | None = None,
) -> tuple[Emulator, Figures, list[Verdict]]:
    """Plays a scenario under a seed and judges its claims."""
    emulator = Emulator(build_world(scenario, seed), module)
    emulator.play(progress)
    figures = emulator.figures()
    return emulator, figures, judge(scenario.claims, figures)
