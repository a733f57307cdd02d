"""Computes which servers each node of the fleet uses, and the traffic that each server receives.

Every node follows the same rule: its subset is a slice of one order of the servers
(`policy.subset.subset_slice`). The slice follows from the node's ring position and the size of its subset,
both of which the other nodes know.
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

SLICE_ENTRIES = 100  # endpoints added to the list in a slice
SLICE_SUBSETS = 16  # different subsets computed in a slice


@dataclass(frozen=True)
class NodeInfo:
    """What is known of one node.

    Attributes:
        index: The node's ring position: its index among the nodes, from 0.
        count: Number of nodes.
        subset_size: Number of servers that the node wants in its subset.
        rate: Requests with keys that the node sends, in requests a second.
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
        replica_count: Replicas of a shard among the members of a node's subset.
    """

    table: DrawTable
    replica_count: int


def node_subsets(
    entries: Sequence[EndpointEntry], nodes: Sequence[NodeInfo], by_zone: bool = False
) -> SlicedWork[list[NodeSubset]]:
    """Computes each node's subset, as the indexes of its servers in `entries`.

    Args:
        entries: The ready endpoints.
        nodes: All nodes.
        by_zone: Whether a subset consists of a slice of each zone instead of one slice of all endpoints.
    """
    endpoint_list = EndpointList(by_zone, frozenset())
    endpoint_list.start_full_list()
    for number, entry in enumerate(entries):
        endpoint_list.put(entry)
        if number % SLICE_ENTRIES == SLICE_ENTRIES - 1:
            yield
    endpoint_list.finish_full_list()
    entry_index = {entry.endpoint: index for index, entry in enumerate(entries)}
    members_by_key: dict[tuple[int, int, int], tuple[int, ...]] = {}
    subsets = []
    for node in nodes:
        key = (node.index, node.count, node.subset_size)
        if key not in members_by_key:
            members_by_key[key] = _members(endpoint_list, entry_index, node)
            if len(members_by_key) % SLICE_SUBSETS == 0:
                yield
        subsets.append(NodeSubset(members_by_key[key], node.rate))
    return subsets


def _members(
    endpoint_list: EndpointList, entry_index: dict[int, int], node: NodeInfo
) -> tuple[int, ...]:
    """Returns the indexes of the servers in one node's subset."""
    members: list[int] = []
    for _, kinds in sorted(endpoint_list.orders.items()):
        total = sum(map(len, kinds.values()))
        size = subset_size(total, node.count, node.subset_size)
        listed = subset_slice(endpoint_list, kinds, node.index, node.count, size)
        members += (entry_index[endpoint.id] for endpoint in listed)
    return tuple(members)


def subset_size(servers: int, nodes: int, wanted: int, least: int = 0) -> int:
    """Returns how many servers a node uses: the number that it wants, or more so that all servers are used.

    The rule is that of `policy.subset.Subset.size_of`.

    Args:
        servers: Number of servers.
        nodes: Number of nodes that share them.
        wanted: Number of servers that the node wants.
        least: Lower bound where there are many more servers than nodes.
    """
    fair_share = -(-servers // max(1, nodes))
    if fair_share > SUBSET_MOST:
        return min(SUBSET_BOUND, max(fair_share, least))
    return servers if servers < 2 * SUBSET_LEAST else max(wanted, fair_share)


def fleet_traffic(
    entries: Sequence[EndpointEntry],
    used: Sequence[EndpointEntry],
    nodes: Sequence[NodeInfo],
    placement: PlacementParameters,
    by_zone: bool,
) -> SlicedWork[ShardTraffic]:
    """Computes which server receives which fraction of each shard's requests.

    Args:
        entries: All servers, in the order of the result.
        used: Those of them that receive requests.
        nodes: All nodes.
        placement: How shards are placed.
        by_zone: As in `node_subsets`.
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
