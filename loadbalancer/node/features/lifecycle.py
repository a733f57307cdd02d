"""Starts, reloads and stops features to match the operator configuration and the platform's limits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loadbalancer.config.operator_config import OperatorConfig
from loadbalancer.node.features import registry
from loadbalancer.node.features.feature import Feature, overrides
from loadbalancer.node.features.guarded_calls import error_line
from loadbalancer.node.features.registry import CORE_TABLES, FeatureEntry
from loadbalancer.node.features.resources import STORE_TABLE
from loadbalancer.stores.interface import StoreError

if TYPE_CHECKING:
    from loadbalancer.node.features.host import NodeFeatureHost

# Between two attempts to start the features that wait for the store.
STORE_RETRY_S = 0.5
# A feature that waits for the store defers changes for at most this time; an upgrade is over by then.
STORE_WAIT_LIMIT_US = 120_000_000


@dataclass(frozen=True, slots=True)
class WaitingFeature:
    """A feature that cannot start until the store can be opened.

    Attributes:
        since_us: Start of the wait, in monotonic microseconds.
        is_approver: Whether changes need its approval.
    """

    since_us: int
    is_approver: bool


class FeatureLifecycle:
    """Controls which features of one node run.

    Attributes:
        host: The feature host of the node.
        features: The running features by table, in the order in which they were started.
        failed: Tables of the features that were stopped because of an error.
        operator_config: The operator configuration in force; None if the node has none.
        is_reconciling: Whether `reconcile` is starting and stopping features.
        starting_table: The table of the feature that is being started; empty at other times.
    """

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host
        self.features: dict[str, Feature] = {}
        self.failed: set[str] = set()
        self.operator_config: OperatorConfig | None = None
        self.is_reconciling = False
        self.starting_table = ""
        self._waiting: dict[str, WaitingFeature] = {}  # by table
        self._retry_timer: asyncio.TimerHandle | None = None

    # ---- the operator configuration --------------------------------------------------------------------

    def reconcile(self, operator_config: OperatorConfig | None) -> None:
        """Starts, reloads and stops features to match a configuration, which may be the current one."""
        peers_allowed = self.host.node.config.settings.peers
        previous, self.operator_config = self.operator_config, operator_config
        available = self._available_entries(peers_allowed)
        tables = {entry.table for entry in available} - self._outdated_tables(previous)
        self.failed &= {
            entry.table
            for entry in registry.FEATURES
            if entry.is_configured(operator_config)
        }
        self._waiting = {
            table: waiting
            for table, waiting in self._waiting.items()
            if table in tables
        }
        # Followers (see `NodeEvents`) are updated once, after all restarts: otherwise the host would drop the
        # versions and the endpoint list that it knows whenever the last follower is restarted.
        self.is_reconciling = True
        for table in reversed(list(self.features)):
            if table not in tables:
                self.stop_feature(table, graceful=peers_allowed)
        self._start_or_reload(available, is_changed=operator_config != previous)
        self.is_reconciling = False

    def _start_or_reload(
        self, entries: list[FeatureEntry], *, is_changed: bool
    ) -> None:
        for entry in entries:
            feature = self.features.get(entry.table)
            if feature is None:
                self._start_feature(entry)
            elif is_changed and self.operator_config is not None:
                self.host.run_guarded(feature, feature.reload, self.operator_config)

    def _available_entries(self, peers_allowed: bool) -> list[FeatureEntry]:
        """Returns the entries of the features that are configured and whose requirements are met."""
        available: list[FeatureEntry] = []
        for entry in registry.FEATURES:
            if not entry.is_configured(self.operator_config):
                continue
            available_tables = {other.table for other in available}
            if self._has_requirements(entry, peers_allowed, available_tables):
                available.append(entry)
        return available

    def _has_requirements(
        self, entry: FeatureEntry, peers_allowed: bool, available_tables: set[str]
    ) -> bool:
        """Returns whether the requirements of a feature are met; if not, logs why."""
        if entry.needs_peers and not peers_allowed:
            self.host.line(
                f"feature disabled name={entry.table} reason=the platform's policy_limits.peers is false"
            )
            return False
        required = entry.required_table
        if not required or required in available_tables:
            return True
        # If the required feature is configured but not available, the log already has a line about it.
        if getattr(self.operator_config, required, None) is None:
            self.host.line(
                f"feature disabled name={entry.table} reason=it needs [{required}], which is off"
            )
        return False

    def _outdated_tables(self, previous: OperatorConfig | None) -> set[str]:
        """Returns the tables of the features that have to be restarted.

        These are the features with `restart_on_change` whose table has changed or which do not run, and the
        features that depend on the membership's port or the store, where that is replaced.
        """
        restarting = {
            entry.table for entry in registry.FEATURES if entry.restart_on_change
        }
        outdated = {
            table
            for table in restarting | {STORE_TABLE}
            if getattr(self.operator_config, table, None)
            != getattr(previous, table, None)
        }
        outdated |= restarting - self.features.keys()
        return outdated | self.host.resources.dependents(outdated)

    # ---- start -----------------------------------------------------------------------------------------

    def _start_feature(self, entry: FeatureEntry) -> None:
        try:
            feature = entry.create()
        except (
            Exception
        ) as error:  # the node keeps serving, even if a module cannot be imported
            self.failed.add(entry.table)
            self.host.line(
                f"feature start failed name={entry.table} reason={error_line(error)}"
            )
            return
        self.failed.discard(entry.table)
        self.features[entry.table] = feature
        self.starting_table = entry.table
        try:
            feature.start(self.host)
        except StoreError as error:
            self._wait_for_store(entry.table, feature, error)
        except Exception as error:
            self.fail(feature, error_line(error))
        finally:
            self.starting_table = ""
        if self.features.get(entry.table) is feature:
            self._waiting.pop(entry.table, None)
            self._introduce(feature)

    def _introduce(self, feature: Feature) -> None:
        """Publishes a feature's pages and commands, and notifies it of the versions in force."""
        self.host.run_guarded(feature, self.host.admin.publish, feature)
        for version in self.host.versions.in_force.values():
            self.host.run_guarded(feature, feature.on_version, version)
        if overrides(feature, "on_list_update") and self.host.node.listed is not None:
            self.host.fetch_endpoint_list()  # it has not received the list in force

    def _wait_for_store(self, table: str, feature: Feature, error: StoreError) -> None:
        """Schedules another start of a feature whose store is not available; the node serves meanwhile.

        In an upgrade the previous process keeps the store locked until its SIGTERM.
        """
        if table not in self._waiting:
            self.host.line(f"feature start deferred name={table} reason={error.line()}")
            is_approver = overrides(feature, "on_change_requested")
            self._waiting[table] = WaitingFeature(self.host.now(), is_approver)
        self.stop_feature(table, graceful=False)
        if self._retry_timer is None:
            self._retry_timer = self.host.loop.call_later(
                STORE_RETRY_S, self._on_retry_timer
            )

    def _on_retry_timer(self) -> None:
        self._retry_timer = None
        for entry in registry.FEATURES:
            if entry.table in self._waiting:
                self._start_feature(entry)
        self.host.events.update_followers()

    def waiting_approver(self) -> str:
        """Returns the table of an approver that waits for the store; empty if there is none.

        Failure prevented: in an upgrade the new process of an elector makes changes that the change freeze
        defers. A feature is reported for at most `STORE_WAIT_LIMIT_US` after it began to wait.
        """
        since_us = self.host.now() - STORE_WAIT_LIMIT_US
        for table, waiting in self._waiting.items():
            if waiting.is_approver and waiting.since_us > since_us:
                return table
        return ""

    # ---- stop ------------------------------------------------------------------------------------------

    def stop_feature(self, table: str, graceful: bool) -> None:
        """Stops a feature, if it runs, and closes the channels and the store that it used.

        Args:
            table: The table of the feature.
            graceful: Whether the feature may still send datagrams.
        """
        feature = self.features.pop(table, None)
        if feature is None:
            return
        channels = self.host.resources.release(table)
        if table not in CORE_TABLES:
            # Failure prevented: the feature that quarantined the node fails, and the quarantine never ends.
            self.host.end_quarantine()
        self.host.change_approval.remove_feature(feature)
        try:
            self.host.admin.withdraw(feature)
        except Exception as error:
            self.host.line(
                f"feature stop failed name={table} reason={error_line(error)}"
            )
        try:
            feature.stop(graceful)
        except Exception as error:
            self.host.line(
                f"feature stop failed name={table} reason={error_line(error)}"
            )
        for channel in channels:
            channel.close()
        self.host.resources.close_unused_store()
        self.host.events.update_followers()

    def fail(self, feature: Feature, reason: str) -> None:
        """Stops a feature because of an error; the next SIGHUP starts it again."""
        for table, running in self.features.items():
            if running is feature:
                self.failed.add(table)
                self.host.line(
                    f"feature stopped name={table} reason={reason};"
                    " the node continues without it, SIGHUP starts it again"
                )
                self.stop_feature(table, graceful=False)
                return

    def cancel_retry(self) -> None:
        """Cancels the next attempt to open the store, because the process ends."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def stop_all(self, graceful: bool) -> None:
        """Stops all features, in the reverse order of their start."""
        for table in reversed(list(self.features)):
            self.stop_feature(table, graceful)
