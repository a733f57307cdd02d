"""Which servers each node uses, and so what each server gets, worked out for the whole fleet.

Every node follows the same rule: it takes its slice of one order of the servers
(`policy.subset.subset_slice`), by its ring position and its subset's size, both of which the others know.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from loadbalancer.forecast.rendezvous import DrawTable
from loadbalancer.forecast.shard_traffic import NodeSubset, ShardTraffic, shard_traffic
from loadbalancer.forecast.sliced_work import SlicedWork
from loadbalancer.policy.api import EndpointEntry
from loadbalancer.policy.endpoint_list import EndpointList
from loadbalancer.policy.subset import (
    SUBSET_BOUND,
    SUBSET_LEAST,
    SUBSET_MOST,
    subset_slice,
)

SLICE_ENTRIES = 100  # endpoints listed in a slice
SLICE_SUBSETS = 16  # different subsets found in a slice


@dataclass(frozen=True)
class NodeInfo:
    """What is known of one node.

    Attributes:
        index: Its ring position: its index among the nodes, from 0.
        count: How many nodes there are.
        subset_size: Servers that it wants in its subset.
        rate: Requests with keys that it sends a second.
    """

    index: int
    count: int
    subset_size: int
    rate: float


@dataclass(frozen=True)
class PlacementParameters:
    """How all nodes place shards.

    Attributes:
        table: The servers' draws, by shard.
        replica_count: Replicas of a shard among the members of a node.
    """

    table: DrawTable
    replica_count: int


def node_subsets(
    entries: Sequence[EndpointEntry], nodes: Sequence[NodeInfo], by_zone: bool = False
) -> SlicedWork[list[NodeSubset]]:
    """Each node's subset, by the indices of its servers in `entries`.

    Args:
        entries: The ready endpoints.
        nodes: All nodes.
        by_zone: Whether a node takes a slice of each zone instead of one of all endpoints.
    """
    endpoint_list = EndpointList(by_zone, frozenset())
    endpoint_list.start_full_list()
    for number, entry in enumerate(entries):
        endpoint_list.put(entry)
        if number % SLICE_ENTRIES == SLICE_ENTRIES - 1:
            yield
    endpoint_list.finish_full_list()
    entry_index = {entry.endpoint: index for index, entry in enumerate(entries)}
    known: dict[tuple[int, int, int], tuple[int, ...]] = {}
    subsets = []
    for node in nodes:
        key = (node.index, node.count, node.subset_size)
        if key not in known:
            known[key] = _members(endpoint_list, entry_index, node)
            if len(known) % SLICE_SUBSETS == 0:
                yield
        subsets.append(NodeSubset(known[key], node.rate))
    return subsets


def _members(
    endpoint_list: EndpointList, entry_index: dict[int, int], node: NodeInfo
) -> tuple[int, ...]:
    members: list[int] = []
    for _, kinds in sorted(endpoint_list.orders.items()):
        total = sum(map(len, kinds.values()))
        size = subset_size(total, node.count, node.subset_size)
        listed = subset_slice(endpoint_list, kinds, node.index, node.count, size)
        members += (entry_index[endpoint.id] for endpoint in listed)
    return tuple(members)


def subset_size(servers: int, nodes: int, wanted: int, least: int = 0) -> int:
    """How many servers a node uses: as many as it wants, or as it has to.

    The rule is that of `policy.subset.Subset.size_of`.

    Args:
        servers: How many there are.
        nodes: How many nodes share them.
        wanted: How many the node wants.
        least: Lower bound where servers are many more than nodes.
    """
    fair_part = -(-servers // max(1, nodes))
    if fair_part > SUBSET_MOST:
        return min(SUBSET_BOUND, max(fair_part, least))
    return servers if servers < 2 * SUBSET_LEAST else max(wanted, fair_part)


def fleet_traffic(
    entries: Sequence[EndpointEntry],
    used: Sequence[EndpointEntry],
    nodes: Sequence[NodeInfo],
    placement: PlacementParameters,
    by_zone: bool,
) -> SlicedWork[ShardTraffic]:
    """Who gets what part of each shard's requests.

    Args:
        entries: All servers, in the order of the result.
        used: Those of them that get requests.
        nodes: All nodes.
        placement: How shards are placed.
        by_zone: As `node_subsets` has it.
    """
    subsets = yield from node_subsets(used, nodes, by_zone)
    members = [(str(entry.endpoint), entry.weight) for entry in used]
    traffic = yield from shard_traffic(
        placement.table, members, subsets, placement.replica_count
    )
    entry_index = {entry.endpoint: index for index, entry in enumerate(used)}
    fractions = [
        traffic.fractions[entry_index[entry.endpoint]]
        if entry.endpoint in entry_index
        else {}
        for entry in entries
    ]
    return ShardTraffic(fractions, traffic.mean_replicas)
