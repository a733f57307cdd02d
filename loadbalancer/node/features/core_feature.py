"""Base class of the core features: membership, weight spreading, zone failover and retry storms.

Unlike other features, core features access the node directly, not only through their host. Each runs one
state machine, and its module is imported only where the operator configuration has its table.
"""

from __future__ import annotations

from loadbalancer.node.features.feature import Feature, FeatureHost
from loadbalancer.node.features.host import NodeFeatureHost
from loadbalancer.node.node import Node


class CoreFeature(Feature):
    """A feature with access to the node.

    Attributes:
        host: The node's feature host; set by `start`.
        node: The node; set by `start`.
    """

    host: NodeFeatureHost
    node: Node

    def start(self, host: FeatureHost) -> None:
        """Stores the host and its node, then calls `on_start`."""
        assert isinstance(host, NodeFeatureHost)
        self.host, self.node = host, host.node
        self.on_start()

    def on_start(self) -> None:
        """Starts the feature; `host` and `node` are set. Subclasses override it."""
