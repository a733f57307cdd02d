"""The interface between the node and its optional features: what a feature is told, and what the node offers.

A feature is off unless the operators' file has its table; then the feature host makes it from `registry.py`
and tells it of what happens. A feature decides nothing itself: it hosts a pure state machine. A further
feature changes no line of the node. Where `policy_limits.peers` is false, features that talk to other nodes
are not even imported.

Order of calls: `start`, then any of the others on the node's loop, then `stop` once. A feature that raises is
stopped and named in the log; the node goes on without it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, ClassVar, Protocol

from loadbalancer.errors import LoadBalancerError
from loadbalancer.freeze.changes import ALLOWED, Answer, Change
from loadbalancer.policy.api import ListUpdateKind, Outcome
from loadbalancer.records.interface import Records
from loadbalancer.stores.interface import Store
from loadbalancer.transports.interface import Address, DatagramReceiver, Transport

if TYPE_CHECKING:
    from loadbalancer.config.operator_config import OperatorConfig
    from loadbalancer.freeze.messages import StateVersion
    from loadbalancer.node.client.request import ClientRequest
    from loadbalancer.node.discovery.endpoint_list_codec import Line
    from loadbalancer.node.upstream.response import Response as Reply


__all__ = [
    "ALLOWED",
    "AdminPage",
    "Answer",
    "AttemptEnd",
    "Change",
    "Feature",
    "FeatureError",
    "FeatureHost",
    "ListUpdate",
    "OperatorCommand",
    "Version",
    "VersionSource",
]

# A page of the admin server: whether all is well, and its table.
AdminPage = Callable[[], tuple[bool, dict[str, Any]]]
# A command of the admin server: the query's values in, HTTP status and table out.
OperatorCommand = Callable[[dict[str, str]], tuple[int, dict[str, Any]]]


class FeatureError(LoadBalancerError):
    """A part wants what this node cannot offer; the part is stopped and the node serves on."""

    code: ClassVar[str] = "PartError"
    remedy: ClassVar[str] = (
        "give the operators' file the table that the part needs (the line names it), then send SIGHUP; or"
        " take the part's own table out"
    )


class VersionSource(Enum):
    """What a version is of; the values are published.

    Attributes:
        LIST: Discovery's endpoint list; the origin names the discovery, whose numbers count from its start.
        SETTINGS: The platform's file: count of reloads, digest of the content.
        OPERATION: The operators' file: the same.
        PROGRAM: This program.
        MEMBERS: The live members, as this node sees them.
        TERM: The term of the change-freeze coordinator.
    """

    LIST = "list"
    SETTINGS = "settings"
    OPERATION = "operation"
    PROGRAM = "program"
    MEMBERS = "members"
    TERM = "term"


@dataclass(frozen=True, slots=True)
class Version:
    """One version of something that a node acts on.

    Attributes:
        source: What it is a version of.
        origin: Where its numbers count: the discovery's address, a file's name.
        number: Its number there.
        digest: Of the content, 16 hex digits: two nodes with one number and two digests have diverged.
    """

    source: VersionSource
    origin: str
    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """An update of the endpoint list, as discovery sent it.

    Attributes:
        version: The version that it leads to.
        kind: Whether the lines are the whole list or changes.
        lines: The endpoints that it names.
        more: Whether further parts of a long list follow.
    """

    version: Version
    kind: ListUpdateKind
    lines: tuple[Line, ...]
    more: bool


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """One attempt that has ended.

    Attributes:
        server: The server's name in the endpoint list.
        class_name: Name of the request class.
        outcome: How it ended.
        started_at_us: When it began, in microseconds by `FeatureHost.now`.
        ended_at_us: When it ended, by the same clock.
        cache_hit: Whether the server answered from its cache; None where the response does not tell.
        shard_key: The request's shard key; None where shards are off.
    """

    server: str
    class_name: str
    outcome: Outcome
    started_at_us: int
    ended_at_us: int
    cache_hit: bool | None
    shard_key: bytes | None


class FeatureHost(Protocol):
    """What the node offers to its features.

    Attributes:
        name: The node's name.
        loop: The node's event loop.
    """

    name: str
    loop: asyncio.AbstractEventLoop

    def now(self) -> int:
        """Monotonic time in microseconds."""

    def wall_clock(self) -> int:
        """Unix time in microseconds: for people, never for decisions."""

    def seed(self) -> int:
        """Seed of a feature's own random source."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Writes one structured line (JSON) to the log, which is limited per second."""

    def operator_config(self) -> OperatorConfig:
        """The operator configuration in force."""

    def live_members(self) -> list[str]:
        """Names of the live members, this node included; this node alone without a membership."""

    def cell_members(self) -> list[str]:
        """Names of the live members whose records come here, this node included.

        Quorums over records go by them. Without `[cells]` they are all live members.
        """

    def member_address(self, name: str) -> Address | None:
        """Where a member receives datagrams; None if it is not known."""

    def channel(self, tag: int, received: DatagramReceiver) -> Transport:
        """Opens a transport to the same feature of other members, on the membership's port.

        Args:
            tag: 1 to 127, one for each feature.
            received: Called with each datagram.

        Raises:
            FeatureError: There is no membership.
        """

    def records(self) -> Records:
        """The records that are replicated among the members of `cell_members`.

        Raises:
            FeatureError: There is no membership.
        """

    def store(self) -> Store:
        """The node's store, as `[store]` configures it; in memory without that table.

        Raises:
            StoreError: It cannot be opened, or another process has it.
        """

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Asks all features whether a change may happen.

        Args:
            change: Its kind.
            scope: Empty for all, or `tier=`, `region=`, `zone=`, `server=`, `class=`, joined by commas.
                The node's name stands for its tier and zone: a change of this node alone.
            then: Called once, with the first rejection or an approval.
        """

    def announce_version(self, version: Version) -> None:
        """Tells all features of a version that this feature has the node act on, such as a term."""

    def fetch_endpoint_list(self) -> None:
        """Has this node poll its discovery at once, for the whole list."""

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None:
        """Applies endpoint lines that peers hold, in the safe direction.

        Draining and departed endpoints count at once, unknown ones are taken up as warming up. What this
        node's own discovery has sent is never undone.
        """

    def set_quarantined(self, out: bool, why: str) -> None:
        """Sets whether the node is quarantined: `/ready` says no, and what is taken is finished."""


class Feature:
    """Base of all features: does nothing. Features override what they need.

    What nobody overrides costs nothing: the host finds out by `overrides`.

    Attributes:
        name: The table in the operators' file, and the key of the figures.
        tag: The tag of its channel, if it has one.
        needs_peers: Whether it talks to other nodes.
        key_of: Finds a request's shard key; of one feature at most.
        hit_of: Finds whether a response came from a cache; of one feature at most.
    """

    name = ""
    tag = 0
    needs_peers = False
    key_of: Callable[[ClientRequest], bytes | None] | None = None
    hit_of: Callable[[Reply], bool | None] | None = None

    def start(self, host: FeatureHost) -> None:
        """Starts. The host stays the same until `stop`."""

    def stop(self, graceful: bool) -> None:
        """Stops; without `graceful` not one more datagram goes out."""

    def reload(self, operation: OperatorConfig) -> None:
        """The operator configuration has changed, and still has this feature's table."""

    def on_members_changed(self) -> None:
        """A member's state has changed."""

    def on_version(self, version: Version) -> None:
        """The node acts on this version from now on."""

    def on_list_update(self, update: ListUpdate) -> None:
        """Discovery has sent an update of the endpoint list; called before the first attempt under it."""

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """An attempt has ended. On the request path: it must take microseconds."""

    def on_change_requested(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Another feature or the node wants to make a change; `then` must be called once, now or later."""
        then(ALLOWED)

    def on_change_made(
        self, change: Change, scope: str, grant: StateVersion | None
    ) -> None:
        """The node has made a change of its own, under this fencing token where one was given."""

    def metrics(self) -> dict[str, Any] | None:
        """The feature's table for `/admin/stats`."""
        return None

    def pages(self) -> dict[str, AdminPage]:
        """Pages of the admin server, by path."""
        return {}

    def commands(self) -> dict[str, OperatorCommand]:
        """What operators may POST to the admin server, by path.

        A `LoadBalancerError` that a command raises is answered with 409 and the error's table.
        """
        return {}


def overrides(feature: Feature, method: str) -> bool:
    """Whether a feature's class overrides this method of `Feature`."""
    return getattr(type(feature), method) is not getattr(Feature, method)
