"""The registry of features, with the tables of the operator configuration that switch them on.

A feature's module is imported only where its table is present and the platform allows what it needs; this
module imports none of them. To add a feature, add an entry to `FEATURES` and a table to
`config/operator_config.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.config.operator_config import OperatorConfig
    from loadbalancer.node.features.feature import Feature

PACKAGE = "loadbalancer.node.features"
# Tables of the core features (see `core_feature.py`), which never quarantine the node.
CORE_TABLES = ("membership", "spread", "zones", "storms")


@dataclass(frozen=True)
class FeatureEntry:
    """One feature that operators may switch on.

    Attributes:
        table: The table of the operator configuration that switches the feature on.
        location: `module:class`; the class is instantiated without arguments.
        needs_peers: Whether it communicates with other nodes; it is off where `policy_limits.peers` is false.
        required_table: The table of a feature that must be started before it; empty if there is none.
        restart_on_change: Whether it is restarted, instead of reloaded, when its table changes.
    """

    table: str
    location: str
    needs_peers: bool = False
    required_table: str = ""
    restart_on_change: bool = False

    def is_configured(self, operator_config: OperatorConfig | None) -> bool:
        """Returns whether the operator configuration has the feature's table."""
        return getattr(operator_config, self.table, None) is not None

    def create(self) -> Feature:
        """Imports the feature's module and returns a new instance; errors of the import propagate."""
        module, _, name = self.location.partition(":")
        feature: Feature = getattr(import_module(module), name)()
        return feature


# In the order in which they are started; they are stopped in the reverse order.
FEATURES: list[FeatureEntry] = [
    FeatureEntry(
        "membership",
        f"{PACKAGE}.membership:MembershipFeature",
        needs_peers=True,
        restart_on_change=True,
    ),
    # The membership confines records to their cell; this feature reports the cell to the collectors.
    FeatureEntry(
        "cells",
        f"{PACKAGE}.cells:CellsFeature",
        needs_peers=True,
        required_table="membership",
        restart_on_change=True,
    ),
    FeatureEntry(
        "spread", f"{PACKAGE}.membership:SpreadFeature", required_table="membership"
    ),
    FeatureEntry("zones", f"{PACKAGE}.traffic_policies:ZonesFeature"),
    FeatureEntry(
        "locality",
        f"{PACKAGE}.locality:LocalityFeature",
        needs_peers=True,
        required_table="membership",
    ),
    FeatureEntry("storms", f"{PACKAGE}.traffic_policies:StormsFeature"),
    FeatureEntry("audit", f"{PACKAGE}.audit:AuditFeature"),
    FeatureEntry("shards", f"{PACKAGE}.shards:ShardsFeature"),
    FeatureEntry(
        "forecast", f"{PACKAGE}.forecast:ForecastFeature", required_table="shards"
    ),
    # Last: it uses the versions and the status records that the other features publish.
    FeatureEntry(
        "freeze",
        f"{PACKAGE}.freeze:FreezeFeature",
        needs_peers=True,
        required_table="membership",
    ),
]
