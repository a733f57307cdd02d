"""The states of the worlds that `freeze_check` explores, and the steps between them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple, TypeVar

Item = TypeVar("Item")


class StepKind(StrEnum):
    """What can happen next."""

    ARRIVAL = "arrives"
    DUPLICATE_ARRIVAL = "arrives twice"
    LOSS = "is lost"
    WRITTEN = "written"
    TIMER = "timer"
    TIME = "time"
    RESUME = "wakes"
    KILL = "killed"
    KILL_LOSING_STORE = "killed, store lost"
    PAUSE = "stands still"
    REQUEST = "asks"
    INCIDENT = "incident"


class Step(NamedTuple):
    """One step; `target` is a datagram's index, a time or a node, as the kind says."""

    kind: StepKind
    target: int


class Datagram(NamedTuple):
    """A datagram under way, between nodes by number."""

    sender: int
    receiver: int
    data: bytes


class PendingWrite(NamedTuple):
    """A save that is on its way to the store, and the datagrams that wait for it."""

    number: int
    record: bytes
    parked: tuple[Datagram, ...]


@dataclass(frozen=True)
class Budget:
    """How often each fault may still happen.

    Attributes:
        kills: Kills with the store kept.
        store_losses: Kills with the store lost.
        pauses: Pauses of a process.
        duplicates: Datagrams that arrive twice.
        requesters: Nodes that request a change; all of these conflict.
        incident: Whether an operator may open an incident.
    """

    kills: int = 1
    store_losses: int = 1
    pauses: int = 1
    duplicates: int = 1
    requesters: tuple[int, ...] = ()
    incident: bool = False


@dataclass(frozen=True)
class WorldState:
    """One state. All parts are values: equal states are found by equality.

    Attributes:
        time: True time in microseconds.
        nodes: The pickle of each node.
        stores: The record in each store.
        network: Datagrams under way, sorted.
        budget: The faults that may still happen.
        paused: Nodes that are paused.
        elected: Term and node of each leader so far.
        granted: Ids of grants that were announced.
        writes: By node, the write under way.
        in_force: Whether the incident is in force.
        restarts: Processes started since the beginning.
    """

    time: int
    nodes: tuple[bytes, ...]
    stores: tuple[bytes | None, ...]
    network: tuple[Datagram, ...]
    budget: Budget
    paused: frozenset[int] = frozenset()
    elected: frozenset[tuple[int, int]] = frozenset()
    granted: frozenset[str] = frozenset()
    writes: tuple[PendingWrite | None, ...] = ()
    in_force: bool = False
    restarts: int = 0

    def with_node(self, node: int, data: bytes) -> WorldState:
        """The same, with another state of a node."""
        return replace(self, nodes=replaced(self.nodes, node, data))

    def with_store(self, node: int, record: bytes | None) -> WorldState:
        """The same, with another record in a store, and no write under way."""
        return replace(self, stores=replaced(self.stores, node, record)).with_write(
            node, None
        )

    def with_write(self, node: int, write: PendingWrite | None) -> WorldState:
        """The same, with another write under way."""
        return replace(self, writes=replaced(self.writes, node, write))

    def without_datagram(self, index: int) -> WorldState:
        """The same, without a datagram."""
        network = self.network[:index] + self.network[index + 1 :]
        return replace(self, network=network)


def replaced(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    """The same items with another one at `index`."""
    return (*items[:index], item, *items[index + 1 :])


class PlayResult(NamedTuple):
    """The state after a step, and the invariants that do not hold in it."""

    state: WorldState
    violations: list[str]


class SearchResult(NamedTuple):
    """What a search found: violations of the first bad state, the steps to it, and how many were seen."""

    violations: list[str]
    path: list[Step]
    seen: int


class RandomRun(NamedTuple):
    """One random run: violations if any, its steps, and its last state."""

    violations: list[str]
    path: list[Step]
    state: WorldState
