"""The list of servers, as late as discovery is.

What happens to a server is noticed after a time, gathered until the next round, and reaches each node at its
own moment after that. A node that starts anew has the list that it held when it died and is brought up to
date like any other. Only what has been delivered to a node counts as told.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from loadbalancer.policy.api import EndpointEntry, EndpointState, ListUpdateKind

if TYPE_CHECKING:
    from loadbalancer.lab.stage import Stage, StagedNode, StagedServer


class Directory:
    """One tier's list: what stood at the start, and the rounds of changes since."""

    def __init__(self, stage: Stage, tier: int) -> None:
        self.stage = stage
        self.tier = tier
        self.first: dict[int, EndpointEntry] = {}
        self.rounds: list[
            list[EndpointEntry]
        ] = []  # the changes that lead to version 1, 2, ...
        self.pending: dict[int, EndpointEntry] = {}
        self.armed = False
        self.down_until = 0

    def open(self, servers: Sequence[StagedServer]) -> None:
        """The list of the servers that run from the start."""
        self.first = {
            s.id: self.entry(s, EndpointState.READY, 0) for s in servers if s.machine.up
        }

    def entry(
        self, server: StagedServer, state: EndpointState, ready_at: int
    ) -> EndpointEntry:
        return EndpointEntry(
            server.id,
            state,
            cell=server.cell,
            zone=server.zone,
            kind=server.build.kind,
            started_at=ready_at,
        )

    # ---- what happens to servers ---------------------------------------------------------------------

    def began(self, server: StagedServer) -> None:
        """A process has started."""
        self.note(server, EndpointState.READY, self.stage.world.add)

    def drains(self, server: StagedServer) -> None:
        """A process says that it wants nothing new: its own word, heard with the next round."""
        self.note(server, EndpointState.DRAINING, 0)

    def ended(self, server: StagedServer, notice: int) -> None:
        """A process has ended, or its machine is silent; noticed so much later."""
        self.note(server, EndpointState.GONE, notice)

    def note(self, server: StagedServer, state: EndpointState, delay: int) -> None:
        entry = self.entry(server, state, server.machine.started)
        self.stage.clock.after(delay, self.noticed, server, entry, server.generation)

    def noticed(
        self, server: StagedServer, entry: EndpointEntry, generation: int
    ) -> None:
        """It has been noticed; it counts unless the server has gone through another life since."""
        if entry.state == EndpointState.READY and (
            generation != server.generation or not server.reachable
        ):
            return
        if entry.state == EndpointState.GONE and server.reachable:
            return  # it is back already; its new start is noticed by itself
        self.pending[server.id] = entry
        if not self.armed:
            self.armed = True
            now = self.stage.clock.now
            period = self.stage.world.period
            self.stage.clock.at(
                max(now - now % period + period, self.down_until), self.publish
            )

    def publish(self) -> None:
        """A round of changes goes out to all nodes."""
        stage = self.stage
        if stage.clock.now < self.down_until:
            stage.clock.at(self.down_until, self.publish)
            return
        self.armed = False
        if not self.pending:
            return
        self.rounds.append(list(self.pending.values()))
        self.pending = {}
        for node in stage.staged[self.tier].nodes:
            self.catch_up(node)

    # ---- what nodes hold -----------------------------------------------------------------------------

    def as_of(self, version: int) -> list[EndpointEntry]:
        """The whole list at a version."""
        held = dict(self.first)
        for changes in self.rounds[:version]:
            for entry in changes:
                if entry.state == EndpointState.GONE:
                    held.pop(entry.endpoint, None)
                else:
                    held[entry.endpoint] = entry
        return list(held.values())

    def catch_up(self, node: StagedNode) -> None:
        """What a node lacks reaches it soon."""
        stage = self.stage
        if node.version < len(self.rounds):
            delay = stage.discovery_stream.random() * stage.world.spread
            stage.clock.at(
                stage.on_tick(stage.clock.now + int(delay)),
                self.deliver,
                node,
                node.generation,
            )

    def deliver(self, node: StagedNode, generation: int) -> None:
        if (
            not node.alive
            or generation != node.generation
            or node.version == len(self.rounds)
        ):
            return
        latest: dict[int, EndpointEntry] = {}
        for changes in self.rounds[node.version :]:
            for entry in changes:
                latest[entry.endpoint] = entry
        node.version = len(self.rounds)
        node.take(list(latest.values()), ListUpdateKind.CHANGES)
