"""The script of faults: each line of it strikes what it names and lets go again.

A fault marks what it does by its own place in the script, so that two of them on one server do not undo each
other. Whom it strikes is drawn from a stream of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from brackenladder.lab.directory import Directory
from brackenladder.lab.fleet import Server
from brackenladder.lab.scenario import Fault
from brackenladder.lab.streams import Stream
from brackenladder.lab.world import SECOND

if TYPE_CHECKING:
    from brackenladder.lab.emulator import Emulator

DRAIN_TIME = 3 * SECOND  # an orderly end: so long from the drain to the end of the process


class Script:
    """Plays a scenario's faults."""

    def __init__(self, emu: Emulator) -> None:
        self.emu = emu
        self.marks: list[dict[str, object]] = []

    def arm(self) -> None:
        """Sets all of them going at their times."""
        for i, fault in enumerate(self.emu.world.scenario.faults):
            self.emu.kernel.at(self.emu.epoch + int(fault.at * SECOND), self.strike, i, fault)

    def strike(self, index: int, f: Fault) -> None:
        emu = self.emu
        stream = Stream(emu.world.seed, "fault", index)
        name = f"fault{index}"
        end = emu.kernel.now + int(f.seconds * SECOND)
        hit = getattr(self, f.kind)(f, name, stream, end)
        self.marks.append({"kind": f.kind, "at": f.at, "seconds": f.seconds, "hit": hit, "size": f.size})

    # ---- whom ----------------------------------------------------------------------------------------

    def tier_of(self, f: Fault) -> int:
        names = [t.name for t in self.emu.world.scenario.tier]
        return names.index(f.tier) if f.tier else 0

    def zone_of(self, f: Fault) -> int | None:
        names = [z.name for z in self.emu.world.scenario.zones]
        return names.index(f.zone) if f.zone else None

    def servers(self, f: Fault, stream: Stream, up: bool = True) -> list[Server]:
        """The servers that a fault names: all that fit, or a draw of them."""
        tier = self.emu.tiers[self.tier_of(f)]
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
            return stream.sample(among, max(1, round(f.part * among))) if among and f.part > 0 else []
        if f.count is not None:
            return stream.sample(among, f.count) if among else []
        return list(range(among))

    # ---- servers that do badly -----------------------------------------------------------------------

    def fast_errors(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.machine.set_errors(name, f.size)
            self.emu.kernel.at(end, server.machine.set_errors, name, None)
        return len(hit)

    def slow(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            self.factor(server, name, 1 / f.size)
            self.emu.kernel.at(end, self.factor, server, name, None)
        return len(hit)

    def neighbour(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            first = self.emu.kernel.now + int(stream.random() * f.every_s * SECOND)
            self.emu.kernel.at(first, self.turn, server, f, name, stream, end, True)
        return len(hit)

    def turn(self, server: Server, f: Fault, name: str, stream: Stream, end: int, on: bool) -> None:
        """A neighbour starts or stops, by turns."""
        now = self.emu.kernel.now
        self.factor(server, name, 1 - f.size if on and now < end else None)
        if now < end:
            span = int(f.every_s * SECOND * stream.between(0.5, 1.5))
            self.emu.kernel.at(min(end, now + span), self.turn, server, f, name, stream, end, not on)

    def factor(self, server: Server, name: str, factor: float | None) -> None:
        server.machine.set_factor(self.emu.kernel.now, name, factor)
        server.arm()

    def freeze(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            self.stand(server, end - self.emu.kernel.now)
        return len(hit)

    def pauses(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            first = self.emu.kernel.now + int(stream.random() * f.every_s * SECOND)
            self.emu.kernel.at(first, self.pause, server, f, stream, end)
        return len(hit)

    def pause(self, server: Server, f: Fault, stream: Stream, end: int) -> None:
        now = self.emu.kernel.now
        if now < end:
            self.stand(server, int(f.size * 1000))
            self.emu.kernel.after(
                f.every_s * SECOND * stream.between(0.5, 1.5), self.pause, server, f, stream, end
            )

    def stand(self, server: Server, span: int) -> None:
        """Stands still for so long."""
        server.machine.stop(self.emu.kernel.now)
        self.emu.kernel.after(span, self.go, server)

    def go(self, server: Server) -> None:
        server.machine.go(self.emu.kernel.now)
        server.arm()

    # ---- servers that come and go --------------------------------------------------------------------

    def crash(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.die()
            self.directory(server).ended(server, self.emu.world.notice)
            if f.seconds:
                self.emu.kernel.at(end, server.begin)
        return len(hit)

    def vanish(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            server.silent = True
            self.directory(server).ended(server, self.emu.world.silent_notice)
            if f.seconds:
                self.emu.kernel.at(end, self.return_of, server)
        return len(hit)

    def return_of(self, server: Server) -> None:
        """A machine that was cut off is back; its process has run on, its connections are gone."""
        server.die()
        server.silent = False
        server.begin()

    def leave(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        for server in hit:
            self.drain(server, end if f.seconds else 0)
        return len(hit)

    def drain(self, server: Server, back: int) -> None:
        """An orderly end, and a new start at `back` if that is not 0."""
        if not server.machine.up or server.stopping:
            return
        server.stopping = True
        self.directory(server).drains(server)
        self.emu.kernel.after(DRAIN_TIME, self.end_of, server, back)

    def end_of(self, server: Server, back: int) -> None:
        if server.machine.up:
            server.die()
            self.directory(server).ended(server, self.emu.world.notice)
        if back:
            self.emu.kernel.at(back, server.begin)

    def restart(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream)
        self.in_batches(f, len(hit), lambda i: self.restart_one(hit[i], f))
        return len(hit)

    def restart_one(self, server: Server, f: Fault) -> None:
        self.drain(server, self.emu.kernel.now + DRAIN_TIME + int(f.down_s * SECOND))

    def join(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        hit = self.servers(f, stream, up=False)
        span = end - self.emu.kernel.now
        for i, server in enumerate(hit):
            self.emu.kernel.after(span * i / len(hit), server.begin)
        return len(hit)

    def directory(self, server: Server) -> Directory:
        return self.emu.tiers[server.tier].directory

    # ---- nodes, zones and the rest -------------------------------------------------------------------

    def node_restart(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        zone = self.zone_of(f)
        fit = [n for n in self.emu.tiers[0].nodes if n.alive and (zone is None or n.zone == zone)]
        hit = [fit[i] for i in self.places(f, len(fit), stream)]
        self.in_batches(f, len(hit), lambda i: self.emu.stop_node(hit[i], int(f.down_s * SECOND)))
        return len(hit)

    def in_batches(self, f: Fault, count: int, act: Callable[[int], None]) -> None:
        """Acts on `count` of them, a batch at a time, spread evenly over the fault's time."""
        size = max(1, round(f.batch * count))
        rounds = -(-count // size)
        for i in range(count):
            delay = f.seconds * SECOND * (i // size) / rounds
            self.emu.kernel.after(delay, act, i)

    def zone_loss(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        """Power is off: processes die and machines say nothing; then `part` of them start again, cold."""
        emu = self.emu
        zone = self.zone_of(f)
        assert zone is not None  # Fault demands one
        emu.zone_silent[zone] = True
        hit = 0
        for node in emu.tiers[0].nodes:
            if node.zone == zone and node.alive:
                emu.stop_node(node, end - emu.kernel.now)
        for tier in emu.tiers:
            lost = [s for s in tier.servers if s.zone == zone and s.machine.up]
            hit += len(lost)
            for server in lost:
                server.silent = True
                server.die()
                tier.directory.ended(server, emu.world.silent_notice)
            part = 1.0 if f.part is None else f.part
            for i in stream.sample(len(lost), round(part * len(lost))):
                emu.kernel.at(end, self.power_on, lost[i])
        emu.kernel.at(end, self.zone_back, zone)
        return hit

    def power_on(self, server: Server) -> None:
        server.silent = False
        server.begin()

    def zone_back(self, zone: int) -> None:
        self.emu.zone_silent[zone] = False

    def report_late(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        self.shift_reports(int(f.size * SECOND))
        self.emu.kernel.at(end, self.shift_reports, -int(f.size * SECOND))
        return len(self.emu.tiers[0].servers)

    def shift_reports(self, by: int) -> None:
        self.emu.report_delay += by

    def discovery_down(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        for tier in self.emu.tiers:
            tier.directory.down_until = max(tier.directory.down_until, end)
        return len(self.emu.tiers)

    def surge(self, f: Fault, name: str, stream: Stream, end: int) -> int:
        self.emu.clients.surge[name] = f.size
        self.emu.kernel.at(end, self.calm, name)
        return 1

    def calm(self, name: str) -> None:
        del self.emu.clients.surge[name]
