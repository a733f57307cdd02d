"""This process's share of the node's limits during an upgrade, while the node has several processes."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from loadbalancer.node.config import MIN_CONNECTIONS
from loadbalancer.node.lifecycle.upgrade import (
    NO_SIBLINGS,
    SIBLING_CHECK_INTERVAL_S,
    ProcessRegistry,
    SiblingProcesses,
)

if TYPE_CHECKING:
    from loadbalancer.node.node import Node


def descriptor_share(total: int, siblings: SiblingProcesses) -> int:
    """Returns the number of the node's descriptors that this process may use.

    Two processes that each used the node's limits would exceed them together. This process may use all
    descriptors that a draining sibling no longer holds, since that one accepts no new clients. If the
    siblings hold more than their share, it may use only what they leave.

    Args:
        total: Number of the node's descriptors, including those that are set aside.
        siblings: The node's other processes.
    """
    process_count = 1 + siblings.count
    share = total // process_count
    if process_count > 1 and (
        siblings.draining or siblings.descriptors > total - share
    ):
        share = total - siblings.descriptors
    return share


class ProcessShare:
    """Detects other processes of this node, and limits this one to its share while there are any.

    Args:
        node: The node that this process runs.

    Attributes:
        registry: The files by which the processes detect each other.
        siblings: The other processes, as of the last check.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.registry = ProcessRegistry(node.config.name, os.environ.get("TMPDIR"))
        self.siblings = NO_SIBLINGS

    def start(self) -> None:
        """Registers this process and starts the periodic check for others."""
        self.registry.register()
        self.check_siblings()

    def stop(self) -> None:
        """Removes this process from the registry."""
        self.registry.unregister()

    def leaves_node_empty(self) -> bool:
        """Returns whether no process of this node keeps running after this one ends."""
        siblings = self.registry.siblings()
        return siblings.count == 0 or siblings.draining

    def check_siblings(self) -> None:
        """Checks for other processes and adapts this process's share.

        It also publishes this process's use of descriptors, and schedules the next check.
        """
        node = self.node
        siblings = self.registry.siblings()
        if siblings != self.siblings:
            changed = siblings.count != self.siblings.count
            if changed:
                node.log_lines.line(f"upgrade siblings changed count={siblings.count}")
            self.siblings = siblings
            self.apply()
            if changed:
                node.apply_settings(node.table.settings)
        # Descriptors that are not available to a sibling: those in use and those set aside.
        used = (
            node.config.reserved
            + len(node.client_listener.connections)
            + node.pool.open_count
        )
        self.registry.publish(used, node.client_listener.draining)
        node.loop.call_later(SIBLING_CHECK_INTERVAL_S, self.check_siblings)

    def apply(self) -> None:
        """Applies this process's share of the node's descriptors and memory."""
        node = self.node
        total = node.config.connections + node.config.reserved
        share = descriptor_share(total, self.siblings)
        connections = max(MIN_CONNECTIONS, share - node.config.reserved)
        node.pool.max_connections = connections // 2
        node.client_listener.resize(
            connections - node.pool.max_connections,
            node.config.most_held // (1 + self.siblings.count),
        )
