"""Resources that features share: channels on the membership's port, records, and the node's store.

The host tracks which feature uses which resource. It restarts a feature whose resource is replaced, and
closes the resources that a stopped feature has left open.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loadbalancer.node.features.feature import FeatureError
from loadbalancer.node.features.guarded_calls import error_line
from loadbalancer.node.features.registry import CORE_TABLES
from loadbalancer.records.interface import Records
from loadbalancer.stores.factory import open_store
from loadbalancer.stores.interface import Store, StoreError
from loadbalancer.stores.shared import SharedStore
from loadbalancer.transports.interface import DatagramReceiver, Transport

if TYPE_CHECKING:
    from loadbalancer.node.features.host import NodeFeatureHost

MEMBERSHIP_TABLE = "membership"
STORE_TABLE = "store"


@dataclass(frozen=True, slots=True)
class SentDatagrams:
    """Traffic that a feature has sent on its own channels.

    Attributes:
        count: Number of datagrams.
        size_bytes: Their total size in bytes.
    """

    count: int
    size_bytes: int


class FeatureResources:
    """Opens and closes the resources that the features of one node share.

    Attributes:
        host: The feature host of the node.
        dependencies: The tables of the resources that each feature uses, by the feature's table.
        channels: The open channels of each feature, by the feature's table.
    """

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host
        self.dependencies: dict[str, set[str]] = {}
        self.channels: dict[str, list[Transport]] = {}
        self._store: Store | None = None  # open while any feature uses it

    def channel(self, tag: int, received: DatagramReceiver) -> Transport:
        """Opens a channel for a feature; it is closed when the membership stops.

        Args:
            tag: Tag of the channel, 1 to 127.
            received: Called with each datagram and its source address.

        Raises:
            FeatureError: There is no membership.
        """
        members = self.host.members
        if members is None:
            raise FeatureError(
                "a channel to other nodes cannot be opened: there is no membership",
                MEMBERSHIP_TABLE,
            )
        self._record_dependency(MEMBERSHIP_TABLE)
        channel = members.mux.channel(tag, received)
        self.channels.setdefault(self._owner_of(tag), []).append(channel)
        return channel

    def _owner_of(self, tag: int) -> str:
        """Returns the table of the feature that is being started, else of the one with this tag."""
        starting = self.host.lifecycle.starting_table
        if starting:
            return starting
        for table, feature in self.host.features.items():
            if feature.tag == tag:
                return table
        return ""

    def records(self) -> Records:
        """Returns the replicated records, which become unusable when the membership stops.

        Raises:
            FeatureError: There is no membership.
        """
        members = self.host.members
        if members is None:
            raise FeatureError(
                "records of other nodes are not available: there is no membership",
                MEMBERSHIP_TABLE,
            )
        self._record_dependency(MEMBERSHIP_TABLE)
        return members.records()

    def store(self) -> Store:
        """Returns the node's store, which all features share; opens it at the first call.

        Raises:
            StoreError: The store cannot be opened, or another process has locked it.
        """
        self._record_dependency(STORE_TABLE)
        if self._store is None:
            table = self.host.operator_config().store
            options = table.store_config() if table is not None else None
            self._store = SharedStore(open_store(options, self.host.name))
        return self._store

    def _record_dependency(self, table: str) -> None:
        """Records that the calling feature uses a resource.

        The caller is known only while a feature is being started. Later, the resource is recorded for every
        running feature except the core features.
        """
        starting = self.host.lifecycle.starting_table
        for user in self.host.features:
            if user == starting or (not starting and user not in CORE_TABLES):
                self.dependencies.setdefault(user, set()).add(table)

    def dependents(self, tables: set[str]) -> set[str]:
        """Returns the tables of the features that use any of these resources."""
        return {user for user, used in self.dependencies.items() if used & tables}

    def release(self, table: str) -> list[Transport]:
        """Removes a feature that stops; returns its channels, which the caller closes once it has stopped."""
        self.dependencies.pop(table, None)
        return self.channels.pop(table, [])

    def close_unused_store(self) -> None:
        """Closes the store if no running feature uses it."""
        if self._store is None or self.dependents({STORE_TABLE}):
            return
        store, self._store = self._store, None
        try:
            store.close()
        except StoreError as error:
            self.host.line(f"store close failed reason={error_line(error)}")

    def sent(self) -> dict[str, SentDatagrams]:
        """Returns the traffic that features have sent on their own channels, by table."""
        sent_by_table = {}
        for table, channels in self.channels.items():
            counters = [channel.counters for channel in channels]
            sent_by_table[table] = SentDatagrams(
                sum(counter.sent for counter in counters),
                sum(counter.sent_bytes for counter in counters),
            )
        return sent_by_table
