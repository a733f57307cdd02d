"""What features build on: channels on the membership's port, records, and the node's store.

The host notes which feature uses what, so that a feature is restarted when its base is another one, and
closes what a stopped feature has left open.
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
from loadbalancer.transports.interface import Received, Transport

if TYPE_CHECKING:
    from loadbalancer.node.features.host import NodeFeatureHost

MEMBERSHIP_TABLE = "membership"
STORE_TABLE = "store"


@dataclass(frozen=True, slots=True)
class SentDatagrams:
    """What a feature has sent on channels of its own.

    Attributes:
        count: Datagrams.
        size: Bytes.
    """

    count: int
    size: int


class FeatureResources:
    """Opens and closes what the features of one node share.

    Attributes:
        dependencies: By a feature's table, the tables of what it builds on.
        channels: By a feature's table, its open channels.
    """

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host
        self.dependencies: dict[str, set[str]] = {}
        self.channels: dict[str, list[Transport]] = {}
        self._store: Store | None = None  # while some feature uses it

    def channel(self, tag: int, received: Received) -> Transport:
        """Opens a channel for a feature; it ends with the membership.

        Raises:
            FeatureError: There is no membership.
        """
        members = self.host.members
        if members is None:
            raise FeatureError(
                "no channel to other nodes: there is no membership", MEMBERSHIP_TABLE
            )
        self._note_dependency(MEMBERSHIP_TABLE)
        channel = members.mux.channel(tag, received)
        self.channels.setdefault(self._owner_of(tag), []).append(channel)
        return channel

    def _owner_of(self, tag: int) -> str:
        """The table of the feature that starts just now, else of the one with this tag."""
        starting = self.host.lifecycle.starting_table
        if starting:
            return starting
        for table, feature in self.host.features.items():
            if feature.tag == tag:
                return table
        return ""

    def records(self) -> Records:
        """The replicated records; they end with the membership.

        Raises:
            FeatureError: There is no membership.
        """
        members = self.host.members
        if members is None:
            raise FeatureError(
                "no records of other nodes: there is no membership", MEMBERSHIP_TABLE
            )
        self._note_dependency(MEMBERSHIP_TABLE)
        return members.records()

    def store(self) -> Store:
        """The node's store, which all features share.

        Raises:
            StoreError: It cannot be opened, or another process has it.
        """
        self._note_dependency(STORE_TABLE)
        if self._store is None:
            table = self.host.operator_config().store
            options = table.store_config() if table is not None else None
            self._store = SharedStore(open_store(options, self.host.name))
        return self._store

    def _note_dependency(self, table: str) -> None:
        """Notes what a feature builds on.

        Which feature asks is known while one starts; later it may be any except the node's own.
        """
        starting = self.host.lifecycle.starting_table
        for user in self.host.features:
            if user == starting or (not starting and user not in CORE_TABLES):
                self.dependencies.setdefault(user, set()).add(table)

    def dependents(self, tables: set[str]) -> set[str]:
        """Tables of the features that build on any of these."""
        return {
            user for user, built_on in self.dependencies.items() if built_on & tables
        }

    def release(self, table: str) -> list[Transport]:
        """Forgets a feature that stops; returns its channels, which are to be closed once it has stopped."""
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
        """What features have sent on channels of their own, by table."""
        found = {}
        for table, channels in self.channels.items():
            counters = [channel.counters for channel in channels]
            found[table] = SentDatagrams(
                sum(counter.sent for counter in counters),
                sum(counter.sent_bytes for counter in counters),
            )
        return found
