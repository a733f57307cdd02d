"""The interface between the node and its optional features: the events they receive, the services they use.

A feature is off unless the operator configuration has its table. The feature host creates it from the entry
in `registry.py` and passes the node's events to it. A feature makes no decisions itself: it runs a pure state
machine. Adding a feature needs no change to the node. Where the platform's settings have
`policy_limits.peers` false, features that communicate with other nodes are not even imported.

Order of calls: `start`, then any of the other methods on the node's event loop, then `stop` once. A feature
that raises an exception is stopped and named in the log; the node continues without it.
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

# A page of the admin server: returns whether the feature is healthy, and the page's table.
AdminPage = Callable[[], tuple[bool, dict[str, Any]]]
# A command of the admin server: maps the values of the query string to an HTTP status and a table.
OperatorCommand = Callable[[dict[str, str]], tuple[int, dict[str, Any]]]


class FeatureError(LoadBalancerError):
    """A feature needs something that this node does not have; it is stopped, and the node keeps serving."""

    code: ClassVar[str] = "PartError"
    remedy: ClassVar[str] = (
        "add the table that the feature needs (this message names it) to the operators' file, then send"
        " SIGHUP; or remove the feature's own table"
    )


class VersionSource(Enum):
    """The kind of state that a version identifies. The values are published.

    Attributes:
        LIST: The endpoint list from discovery. The origin names the discovery service, which numbers its
            versions from its own start.
        SETTINGS: The platform's settings file: number of reloads, digest of the content.
        OPERATION: The operator configuration: number of reloads, digest of the content.
        PROGRAM: The version of this program.
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
    """One version of a list, file or other state that a node acts on.

    Attributes:
        source: The kind of state.
        origin: Who assigns the number: the address of discovery, the name of a file.
        number: The version number that the origin assigned.
        digest: Digest of the content, 16 hex digits. Two nodes with the same number and different digests
            have diverged.
    """

    source: VersionSource
    origin: str
    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """An update of the endpoint list, as discovery sent it.

    Attributes:
        version: The version of the list after this update.
        kind: Whether the lines are the complete list or only changes.
        lines: The endpoints in the update.
        more: Whether further parts of a long list follow.
    """

    version: Version
    kind: ListUpdateKind
    lines: tuple[Line, ...]
    more: bool


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """One completed attempt at a request.

    Attributes:
        server: The server's name in the endpoint list.
        class_name: Name of the request class.
        outcome: Result of the attempt.
        started_at_us: Start time in microseconds, on the clock of `FeatureHost.now`.
        ended_at_us: End time in microseconds, on the same clock.
        cache_hit: Whether the server answered from its cache; None where the response does not show it.
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
    """The services that the node offers to its features.

    Attributes:
        name: The node's name.
        loop: The node's event loop.
    """

    name: str
    loop: asyncio.AbstractEventLoop

    def now(self) -> int:
        """Returns the monotonic time in microseconds."""

    def wall_clock(self) -> int:
        """Returns the Unix time in microseconds, for display only: decisions never depend on it."""

    def seed(self) -> int:
        """Returns the seed for a feature's own random number generator."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Writes one structured line (JSON) to the log, whose rate of lines per second is limited."""

    def operator_config(self) -> OperatorConfig:
        """Returns the operator configuration in force."""

    def live_members(self) -> list[str]:
        """Returns the names of the live members, this node included; without a membership only this node."""

    def cell_members(self) -> list[str]:
        """Returns the names of the live members whose records this node receives, this node included.

        Quorums over records count these members. Without `[cells]` they are all live members.
        """

    def member_address(self, name: str) -> Address | None:
        """Returns the address at which a member receives datagrams; None if it is unknown."""

    def channel(self, tag: int, received: DatagramReceiver) -> Transport:
        """Opens a transport to the same feature of other members, on the membership's port.

        Args:
            tag: Tag of the channel, 1 to 127; each feature has its own.
            received: Called with each datagram and its source address.

        Raises:
            FeatureError: There is no membership.
        """

    def records(self) -> Records:
        """Returns the records that are replicated among the members of `cell_members`.

        Raises:
            FeatureError: There is no membership.
        """

    def store(self) -> Store:
        """Returns the node's store, as `[store]` configures it; an in-memory store without that table.

        Raises:
            StoreError: The store cannot be opened, or another process has locked it.
        """

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Asks all features whether a change may be made.

        Args:
            change: Kind of the change.
            scope: What the change affects: empty for everything, or `tier=`, `region=`, `zone=`, `server=`,
                `class=`, joined by commas. The node's own name is also accepted, for a change that affects
                this node only; it stands for the node's tier and zone.
            then: Called once, with the first rejection, or with an approval if no feature rejects.
        """

    def announce_version(self, version: Version) -> None:
        """Notifies all features of a version that this feature makes the node act on, such as a term."""

    def fetch_endpoint_list(self) -> None:
        """Makes this node poll its discovery immediately, for the complete list."""

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None:
        """Applies endpoint lines that peers hold, in the safe direction.

        Draining and departed endpoints take effect at once; unknown endpoints are added and go through slow
        start. Nothing that this node's own discovery has sent is ever undone.
        """

    def set_quarantined(self, quarantined: bool, reason: str) -> None:
        """Sets whether the node is quarantined: `/ready` reports unready, and accepted calls are finished.

        Args:
            quarantined: Whether the quarantine starts or ends.
            reason: Why, for the log and `/ready`.
        """


class Feature:
    """Base class of all features, whose methods do nothing. Features override the methods they need.

    A method that no feature overrides costs nothing: the host checks with `overrides` before it calls.

    Attributes:
        name: The feature's table in the operator configuration, and its key in the metrics.
        tag: The tag of its channel; 0 if it has none.
        needs_peers: Whether it communicates with other nodes.
        key_of: Returns a request's shard key; at most one feature sets it.
        hit_of: Returns whether a response came from a cache; at most one feature sets it.
    """

    name = ""
    tag = 0
    needs_peers = False
    key_of: Callable[[ClientRequest], bytes | None] | None = None
    hit_of: Callable[[Reply], bool | None] | None = None

    def start(self, host: FeatureHost) -> None:
        """Starts the feature. The host stays the same until `stop`."""

    def stop(self, graceful: bool) -> None:
        """Stops the feature; unless `graceful` is set, it must not send any further datagram."""

    def reload(self, operator_config: OperatorConfig) -> None:
        """Called when the operator configuration has changed and still has this feature's table."""

    def on_members_changed(self) -> None:
        """Called when the state of a member has changed."""

    def on_version(self, version: Version) -> None:
        """Called when the node starts to act on a version."""

    def on_list_update(self, update: ListUpdate) -> None:
        """Called for each endpoint list update from discovery, before the first attempt that uses it."""

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """Called when an attempt has ended, on the request path: it must return within microseconds."""

    def on_change_requested(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Called when the node or another feature asks for approval of a change.

        Args:
            change: Kind of the change.
            scope: What it affects, as in `FeatureHost.request_change`.
            then: Must be called exactly once with the answer, immediately or later.
        """
        then(ALLOWED)

    def on_change_made(
        self, change: Change, scope: str, grant: StateVersion | None
    ) -> None:
        """Called when the node has made one of its own changes.

        Args:
            change: Kind of the change.
            scope: What it affects.
            grant: The fencing token under which it was approved; None if none was granted.
        """

    def metrics(self) -> dict[str, Any] | None:
        """Returns the feature's table for `/admin/stats`; None if it has none."""
        return None

    def pages(self) -> dict[str, AdminPage]:
        """Returns the feature's pages for the admin server, by path."""
        return {}

    def commands(self) -> dict[str, OperatorCommand]:
        """Returns the commands that operators may POST to the admin server, by path.

        If a command raises a `LoadBalancerError`, the response is 409 with the error's table.
        """
        return {}


def overrides(feature: Feature, method: str) -> bool:
    """Returns whether a feature's class overrides this method of `Feature`."""
    return getattr(type(feature), method) is not getattr(Feature, method)
