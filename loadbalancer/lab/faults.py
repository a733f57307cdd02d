"""The script of faults: each line of it strikes what it names and lets go again.

A fault marks what it does by its own place in the script, so that two of them on one server do not undo each
other. Whom it strikes is drawn from a stream of its own.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from loadbalancer.lab.directory import Directory
from loadbalancer.lab.scenario import Fault
from loadbalancer.lab.stage import Stage, StagedServer
from loadbalancer.lab.streams import Stream
from loadbalancer.lab.world import SECOND

DRAIN_TIME = (
    3 * SECOND
)  # an orderly end: so long from the drain to the end of the process


class Script:
    """Plays a scenario's faults."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.marks: list[dict[str, object]] = []

    def arm(self) -> None:
        """Sets all of them going at their times."""
        for i, fault in enumerate(self.stage.world.scenario.faults):
            self.stage.clock.at(
                self.stage.epoch + int(fault.at * SECOND), self.strike, i, fault
            )

    def strike(self, index: int, f: Fault) -> None:
        stage = self.stage
        stream = Stream(stage.world.seed, "fault", index)
        name = f"fault{index}"
        end = stage.clock.now + int(f.seconds * SECOND)
        hit = getattr(self, f.kind)(f, name, stream, end)
        self.marks.append(
            {
                "kind": f.kind,
                "at": f.at,
                "seconds": f.seconds,
                "hit": hit,
                "size": f.size,
            }
        )

    # ---- whom ----------------------------------------------------------------------------------------

    def tier_of(self, f: Fault) -> int:
        names = [t.name for t in self.stage.world.scenario.tier]
        return names.index(f.tier) if f.tier else 0

    def zone_of(self, f: Fault) -> int | None:
        names = [z.name for z in self.stage.world.scenario.zones]
        return names.index(f.zone) if f.zone else None

    def servers(self, f: Fault, stream: Stream, up: bool = True) -> list[StagedServer]:
        """The servers that a fault names: all that fit, or a draw of them."""
        tier = self.stage.staged[self.tier_of(f)]
        zone = self.zone_of(f)
        fit = [
            s
            for s in tier.servers
            if s.machine.up == up
            and not (not up and s.machine.fallen)
            and (zone is None or s.zone == zone)
            and (f.machine is None or tier.world.kinds[s.build.kind] == f.machine)
        ]
        return [fit[i] for i in self.places(f, len(fit), stream)]

    def places(self, f: Fault, among: int, stream: Stream) -> list[int]:
        if f.pick is not None:
            return [i for i in f.pick if i < among]
        if f.part is not None:
            return (
                stream.sample(among, max(1, round(f.part * among)))
                if among and f.part > 0
                else []
            )
        if f.count is not None:
            return stream.sample(among, f.count) if among else []
        return list(range(among))

    # ---- servers that do badly -----------------------------------------------------------------------

    def fast_errors(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.machine.set_errors(name, f.size)
            self.stage.clock.at(end, server.machine.set_errors, name, None)
        return len(hit)

    def lost_answers(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.machine.set_spoils(name, f.kind, f.size)
            self.stage.clock.at(end, server.machine.set_spoils, name, f.kind, None)
        return len(hit)

    resets = lost_answers

    def slow(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            self.factor(server, name, 1 / f.size)
            self.stage.clock.at(end, self.factor, server, name, None)
        return len(hit)

    def neighbour(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            first = self.stage.clock.now + int(stream.random() * f.every_s * SECOND)
            self.stage.clock.at(first, self.turn, server, f, name, stream, end, True)
        return len(hit)

    def turn(
        self,
        server: StagedServer,
        f: Fault,
        name: str,
        stream: Stream,
        end: int,
        on: bool,
    ) -> None:
        """A neighbour starts or stops, by turns."""
        now = self.stage.clock.now
        self.factor(server, name, 1 - f.size if on and now < end else None)
        if now < end:
            span = int(f.every_s * SECOND * stream.between(0.5, 1.5))
            self.stage.clock.at(
                min(end, now + span), self.turn, server, f, name, stream, end, not on
            )

    def factor(self, server: StagedServer, name: str, factor: float | None) -> None:
        server.machine.set_factor(self.stage.clock.now, name, factor)
        server.arm()

    def freeze(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            self.stand(server, end - self.stage.clock.now)
        return len(hit)

    def pauses(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            first = self.stage.clock.now + int(stream.random() * f.every_s * SECOND)
            self.stage.clock.at(first, self.pause, server, f, stream, end)
        return len(hit)

    def pause(self, server: StagedServer, f: Fault, stream: Stream, end: int) -> None:
        now = self.stage.clock.now
        if now < end:
            self.stand(server, int(f.size * 1000))
            self.stage.clock.after(
                f.every_s * SECOND * stream.between(0.5, 1.5),
                self.pause,
                server,
                f,
                stream,
                end,
            )

    def stand(self, server: StagedServer, span: int) -> None:
        """Stands still for so long."""
        server.machine.stop(self.stage.clock.now)
        self.stage.clock.after(span, self.go, server)

    def go(self, server: StagedServer) -> None:
        server.machine.go(self.stage.clock.now)
        server.arm()

    # ---- servers that come and go --------------------------------------------------------------------

    def crash(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.die()
            self.directory(server).ended(server, self.stage.world.notice)
            if f.seconds:
                self.stage.clock.at(end, server.begin)
        return len(hit)

    def vanish(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.silent = True
            self.directory(server).ended(server, self.stage.world.silent_notice)
            if f.seconds:
                self.stage.clock.at(end, self.return_of, server)
        return len(hit)

    def return_of(self, server: StagedServer) -> None:
        """A machine that was cut off is back; its process has run on, its connections are gone."""
        server.die()
        server.silent = False
        server.begin()

    def leave(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            self.drain(server, end if f.seconds else 0)
        return len(hit)

    def drain(self, server: StagedServer, back: int) -> None:
        """An orderly end, and a new start at `back` if that is not 0."""
        if not server.machine.up or server.stopping:
            return
        server.stopping = True
        self.directory(server).drains(server)
        self.stage.clock.after(DRAIN_TIME, self.end_of, server, back)

    def end_of(self, server: StagedServer, back: int) -> None:
        if server.machine.up:
            server.die()
            self.directory(server).ended(server, self.stage.world.notice)
        if back:
            self.stage.clock.at(back, server.begin)

    def restart(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        self.in_batches(f, len(hit), lambda i: self.restart_one(hit[i], f))
        return len(hit)

    def restart_one(self, server: StagedServer, f: Fault) -> None:
        self.drain(server, self.stage.clock.now + DRAIN_TIME + int(f.down_s * SECOND))

    def join(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream, up=False)
        span = end - self.stage.clock.now
        for i, server in enumerate(hit):
            self.stage.clock.after(span * i / len(hit), server.begin)
        return len(hit)

    def directory(self, server: StagedServer) -> Directory:
        return self.stage.staged[server.tier].directory

    # ---- nodes, zones and the rest -------------------------------------------------------------------

    def node_restart(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        zone = self.zone_of(f)
        fit = [
            n
            for n in self.stage.staged[0].nodes
            if n.alive and (zone is None or n.zone == zone)
        ]
        hit = [fit[i] for i in self.places(f, len(fit), stream)]
        self.in_batches(
            f, len(hit), lambda i: self.stage.stop_node(hit[i], int(f.down_s * SECOND))
        )
        return len(hit)

    def in_batches(self, f: Fault, count: int, act: Callable[[int], None]) -> None:
        """Acts on `count` of them, a batch at a time, spread evenly over the fault's time."""
        size = max(1, round(f.batch * count))
        rounds = -(-count // size)
        for i in range(count):
            delay = f.seconds * SECOND * (i // size) / rounds
            self.stage.clock.after(delay, act, i)

    def zone_loss(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        """Power is off: processes die and machines say nothing; then `part` of them start again, cold."""
        stage = self.stage
        zone = self.zone_of(f)
        assert zone is not None  # Fault demands one
        if f.rounds > 1:
            again = msgspec.structs.replace(f, rounds=f.rounds - 1)
            length = int(f.seconds * SECOND)
            stage.clock.after(
                2 * length, self.lose_again, again, name, stream, end + 2 * length
            )
        hit = 0
        if f.nodes:
            stage.zone_silent[zone] = True
            for node in stage.staged[0].nodes:
                if node.zone == zone and node.alive:
                    stage.stop_node(node, end - stage.clock.now)
        for tier in stage.staged:
            lost = [s for s in tier.servers if s.zone == zone and s.machine.up]
            hit += len(lost)
            for server in lost:
                server.silent = True
                server.die()
                tier.directory.ended(server, stage.world.silent_notice)
            part = 1.0 if f.part is None else f.part
            for i in stream.sample(len(lost), round(part * len(lost))):
                stage.clock.at(end, self.power_on, lost[i])
        stage.clock.at(end, self.zone_back, zone)
        return hit

    def lose_again(self, f: Fault, name: str, stream: Stream, end: int) -> None:
        self.zone_loss(f, name, stream, end)

    def power_on(self, server: StagedServer) -> None:
        if not server.silent:
            return
        server.silent = False
        server.begin()

    def zone_back(self, zone: int) -> None:
        self.stage.zone_silent[zone] = False

    def report_late(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        self.shift_reports(int(f.size * SECOND))
        self.stage.clock.at(end, self.shift_reports, -int(f.size * SECOND))
        return len(self.stage.staged[0].servers)

    def shift_reports(self, by: int) -> None:
        self.stage.report_delay += by

    def discovery_down(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        for tier in self.stage.staged:
            tier.directory.down_until = max(tier.directory.down_until, end)
        return len(self.stage.staged)

    def surge(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        return 1  # the arrivals are drawn with it

    def shards(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        """Operators change the number of shards, in all nodes."""
        sharding = getattr(self.stage, "sharding", None)
        if sharding is not None:
            sharding.replace(f.size)
        return 0
