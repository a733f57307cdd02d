"""The features' part of the admin server: their pages, commands and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loadbalancer.node.features.feature import Feature
from loadbalancer.node.features.guarded_calls import error_line

if TYPE_CHECKING:
    from loadbalancer.node.features.host import NodeFeatureHost


class FeatureAdmin:
    """Publishes the features' pages, commands and metrics to operators."""

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host

    def publish(self, feature: Feature) -> None:
        """Registers a feature's pages and commands with the admin server, if the node has one."""
        server = self.host.node.control
        if server is None:
            return
        for path, page in feature.pages().items():
            server.set_page(path, page)
        for path, command in feature.commands().items():
            server.set_command(path, command)

    def withdraw(self, feature: Feature) -> None:
        """Removes a feature's pages and commands from the admin server."""
        server = self.host.node.control
        if server is None:
            return
        for path in feature.pages():
            server.set_page(path, None)
        for path in feature.commands():
            server.set_command(path, None)

    def metrics(self) -> dict[str, Any]:
        """Returns the tables for `/admin/stats`: those of the features, and those of the host.

        A feature whose `metrics` raises is stopped and left out.
        """
        tables: dict[str, Any] = {}
        for table, feature in list(self.host.features.items()):
            try:
                feature_table = feature.metrics()
            except Exception as error:
                self.host.fail(feature, error_line(error))
                continue
            if feature_table is not None:
                tables[table] = feature_table
        sent = self.host.sent()
        if sent:
            tables["channels"] = {
                table: {"sent": datagrams.count, "sent_bytes": datagrams.size_bytes}
                for table, datagrams in sent.items()
            }
        if self.host.change_approval.pending:
            tables["waiting"] = self.host.change_approval.table()
        if self.host.failed:
            tables["stopped_parts"] = sorted(self.host.failed)
        return tables
