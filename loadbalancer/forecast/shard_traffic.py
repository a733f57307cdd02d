"""Computes the fraction of each shard's requests that each server receives from the entire fleet.

The placements of all nodes are computed together. A set of nodes is one integer with a bit for each node.
For each shard, the servers are visited in the order of their scores, the best first. Each becomes a replica
for the nodes that have it in their subset and still lack a replica.
"""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from math import log

from loadbalancer.forecast.rendezvous import DrawTable, Member, weighted_score
from loadbalancer.forecast.sliced_work import SlicedWork

SLICE_SHARDS = 8  # shards placed in a slice
SLICE_ROWS = 100  # servers whose draws are looked up in a slice
SLICE_SERVERS = 50  # servers whose fractions are scaled in a slice
# Rate classes per doubling of the rate; nodes in one class are assumed to send at the same rate.
RATE_STEPS_PER_OCTAVE = 2

NodeSet = int
"""A set of nodes, as an integer with a bit for each node."""


@dataclass(frozen=True)
class NodeSubset:
    """One node's subset and request rate.

    Attributes:
        members: Indexes of the servers in the node's subset.
        rate: Requests with keys that the node sends, in requests a second.
    """

    members: tuple[int, ...]
    rate: float


@dataclass(frozen=True)
class ShardTraffic:
    """Which server receives which fraction of each shard's requests.

    Attributes:
        fractions: For each server, the fraction of a shard's requests that it receives, by shard.
        mean_replicas: Mean number of servers that receive requests of a shard.
    """

    fractions: list[dict[int, float]]
    mean_replicas: float


@dataclass(frozen=True)
class _RateClass:
    """Nodes of about the same request rate.

    Attributes:
        nodes: The nodes in the class.
        weight: Fraction of all requests that each of them sends.
    """

    nodes: NodeSet
    weight: float


class ShardTrafficCalculator:
    """Computes the traffic that results from all nodes' placements.

    Args:
        table: The servers' draws.
        servers: Names and weights of the servers; subsets refer to them by index.
        nodes: The nodes' subsets and rates.
        replica_count: Replicas of a shard among the members of a node's subset.

    Attributes:
        fractions: The result, as in `ShardTraffic`; before the final scaling, sums over all replicas.
        nodes_of_server: The nodes that have each server in their subset.
        nodes_by_replicas: The nodes by the number of replicas of a shard that they use.
        rate_classes: The nodes by request rate.
        assignments: Number of pairs of a shard and a server that receives requests of it.
        rows: The servers' draws by shard, in the order of `servers`.
    """

    def __init__(
        self,
        table: DrawTable,
        servers: Sequence[Member],
        nodes: Sequence[NodeSubset],
        replica_count: int,
    ) -> None:
        self.table = table
        self.servers = servers
        self.replica_count = replica_count
        self.fractions: list[dict[int, float]] = [{} for _ in servers]
        self.nodes_of_server: list[NodeSet] = [0] * len(servers)
        self.nodes_by_replicas: dict[int, NodeSet] = {}
        self.rate_classes = self._classify(nodes)
        self.assignments = 0
        equal_weights = len({weight for _, weight in servers}) <= 1
        self._ranking = self._by_draw if equal_weights else self._by_score
        self.rows: list[array[int]] = []

    def calculate(self) -> SlicedWork[ShardTraffic]:
        """Computes the traffic in slices."""
        for index, (name, _) in enumerate(self.servers):
            self.table.row(name)
            if index % SLICE_ROWS == SLICE_ROWS - 1:
                yield
        self.rows = [self.table.row(name) for name, _ in self.servers]
        for shard in range(self.table.shard_count):
            self._place(shard)
            if shard % SLICE_SHARDS == SLICE_SHARDS - 1:
                yield
        for replicas, nodes in self.nodes_by_replicas.items():
            if replicas < self.replica_count:
                self._raise_fractions(nodes, replicas)
        for index, by_shard in enumerate(self.fractions):
            for shard in by_shard:
                by_shard[shard] /= self.replica_count
            if index % SLICE_SERVERS == SLICE_SERVERS - 1:
                yield
        return ShardTraffic(self.fractions, self.assignments / self.table.shard_count)

    def _classify(self, nodes: Sequence[NodeSubset]) -> list[_RateClass]:
        """Fills `nodes_of_server` and `nodes_by_replicas`; returns the nodes by request rate."""
        total_rate = sum(node.rate for node in nodes)
        classes: dict[int, tuple[NodeSet, float, int]] = {}
        for bit, node in enumerate(nodes):
            if node.rate <= 0 or not node.members:
                continue
            for member in node.members:
                self.nodes_of_server[member] |= 1 << bit
            step = int(RATE_STEPS_PER_OCTAVE * log(node.rate, 2) // 1)
            members, rate, count = classes.get(step, (0, 0.0, 0))
            classes[step] = (members | 1 << bit, rate + node.rate, count + 1)
            replicas = min(self.replica_count, len(node.members))
            earlier_nodes = self.nodes_by_replicas.get(replicas, 0)
            self.nodes_by_replicas[replicas] = earlier_nodes | 1 << bit
        return [
            _RateClass(members, rate / count / total_rate)
            for members, rate, count in classes.values()
        ]

    def _by_draw(self, shard: int) -> list[int]:
        """Ranks the servers for a shard by their draws, which suffice where all weights are equal."""
        draws = [row[shard] for row in self.rows]
        return sorted(range(len(draws)), key=draws.__getitem__)

    def _by_score(self, shard: int) -> list[int]:
        """Ranks the servers for a shard by their weighted scores."""
        scores = [
            weighted_score(row[shard], self.servers[index][1])
            for index, row in enumerate(self.rows)
        ]
        return sorted(range(len(scores)), key=scores.__getitem__)

    def _place(self, shard: int) -> None:
        """Assigns a shard's requests to its best servers until no node lacks a replica."""
        # lacking[k] holds the nodes that still lack k replicas.
        lacking: list[NodeSet] = [0] * (self.replica_count + 1)
        lacking_any: NodeSet = 0
        for replicas, nodes in self.nodes_by_replicas.items():
            lacking[replicas] |= nodes
            lacking_any |= nodes
        for server in self._ranking(shard):
            served_nodes = self.nodes_of_server[server] & lacking_any
            if not served_nodes:
                continue
            for missing in range(1, self.replica_count + 1):
                newly_served = lacking[missing] & served_nodes
                lacking[missing] ^= newly_served
                lacking[missing - 1] |= newly_served
            lacking_any &= ~lacking[0]
            self.fractions[server][shard] = self._weight_of(served_nodes)
            self.assignments += 1
            if not lacking_any:
                break

    def _weight_of(self, nodes: NodeSet) -> float:
        """Returns the fraction of all requests that a set of nodes sends."""
        weight = 0.0
        for rate_class in self.rate_classes:
            weight += rate_class.weight * (nodes & rate_class.nodes).bit_count()
        return weight

    def _raise_fractions(self, nodes: NodeSet, replicas: int) -> None:
        """Corrects the fractions for nodes that have fewer members than a shard has replicas.

        All members of such a node hold every shard, so each of them receives more than 1 / `replica_count` of
        the node's requests.

        Args:
            nodes: The nodes with the same number of replicas.
            replicas: Number of replicas that these nodes use, less than `replica_count`.
        """
        for server, by_shard in enumerate(self.fractions):
            extra = sum(
                rate_class.weight
                * (self.nodes_of_server[server] & nodes & rate_class.nodes).bit_count()
                for rate_class in self.rate_classes
            )
            if extra:
                for shard in by_shard:
                    by_shard[shard] += extra * (self.replica_count / replicas - 1)


def shard_traffic(
    table: DrawTable,
    servers: Sequence[Member],
    nodes: Sequence[NodeSubset],
    replica_count: int,
) -> SlicedWork[ShardTraffic]:
    """Computes the traffic that results from all nodes' placements.

    Args:
        table: The servers' draws.
        servers: Names and weights of the servers; subsets refer to them by index.
        nodes: The nodes' subsets and rates.
        replica_count: Replicas of a shard among the members of a node's subset.
    """
    return ShardTrafficCalculator(table, servers, nodes, replica_count).calculate()


def refine_shards(
    traffic: ShardTraffic, old_count: int, new_count: int
) -> ShardTraffic:
    """Converts traffic to a larger number of shards without changing the placement.

    Args:
        traffic: The traffic for the old number of shards.
        old_count: The old number of shards.
        new_count: The new number of shards, a multiple of the old one.
    """
    fractions = [
        {
            shard: by_shard[shard % old_count]
            for shard in range(new_count)
            if shard % old_count in by_shard
        }
        for by_shard in traffic.fractions
    ]
    return ShardTraffic(fractions, traffic.mean_replicas)
