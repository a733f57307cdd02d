"""This process's part of the node's limits while another process takes over from it, or it from one."""

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
    """The part of the node's descriptors that this process may use.

    Two processes that each go by the node's limits would be over them together. All that an ending sibling
    does not hold any more may be used, since it takes nothing new.

    Args:
        total: The node's descriptors, those that are set aside included.
        siblings: The node's other processes.
    """
    shares = 1 + siblings.count
    part = total // shares
    if shares > 1 and (siblings.draining or siblings.descriptors > total - part):
        part = total - siblings.descriptors
    return part


class ProcessShare:
    """Looks for other processes of this node, and keeps to a part of its limits while there are some.

    Attributes:
        registry: Where the processes find each other.
        siblings: The others, as of the last look.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.registry = ProcessRegistry(node.config.name, os.environ.get("TMPDIR"))
        self.siblings = NO_SIBLINGS

    def start(self) -> None:
        """Makes this process known, and looks for others from now on."""
        self.registry.register()
        self.check_siblings()

    def stop(self) -> None:
        """This process ends."""
        self.registry.unregister()

    def leaves_node_empty(self) -> bool:
        """Whether nobody goes on under this node's name when this process ends."""
        siblings = self.registry.siblings()
        return siblings.count == 0 or siblings.draining

    def check_siblings(self) -> None:
        """Looks for the others and tells them what this process uses; comes again by itself."""
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
        # Descriptors that a sibling cannot have: those in use, and those set aside.
        used = (
            node.config.reserved
            + len(node.client_listener.connections)
            + node.pool.open_count
        )
        self.registry.publish(used, node.client_listener.draining)
        node.loop.call_later(SIBLING_CHECK_INTERVAL_S, self.check_siblings)

    def apply(self) -> None:
        """Sets this process's part of the node's descriptors and memory."""
        node = self.node
        total = node.config.connections + node.config.reserved
        share = descriptor_share(total, self.siblings)
        connections = max(MIN_CONNECTIONS, share - node.config.reserved)
        node.pool.max_connections = connections // 2
        node.client_listener.resize(
            connections - node.pool.max_connections,
            node.config.most_held // (1 + self.siblings.count),
        )
