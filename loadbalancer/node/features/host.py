"""The feature host: the interface that the node calls, and the services for features (`FeatureHost`).

Imported only where there is an operator configuration. It delegates to these modules:

    lifecycle           starts, reloads and stops features
    guarded_calls       keeps exceptions of a feature away from the node
    resources           channels, records and the store that features share
    node_events         passes endpoint list updates and ended attempts to features
    version_announcer   announces the versions that the node acts on
    change_approval     changes that features may defer
    feature_admin       pages, commands and metrics
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic_ns, time_ns
from typing import TYPE_CHECKING, Any, ParamSpec, TypeVar

from loadbalancer.config.operator_config import NO_TABLES, OperatorConfig
from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing
from loadbalancer.node.features.change_approval import ChangeApproval
from loadbalancer.node.features.feature import Answer, Change, Feature, Version
from loadbalancer.node.features.feature_admin import FeatureAdmin
from loadbalancer.node.features.guarded_calls import GuardedCalls
from loadbalancer.node.features.lifecycle import FeatureLifecycle
from loadbalancer.node.features.node_events import NodeEvents
from loadbalancer.node.features.resources import FeatureResources, SentDatagrams
from loadbalancer.node.features.version_announcer import VersionAnnouncer
from loadbalancer.node.lifecycle.reload import RELOADED_FIELDS
from loadbalancer.records.interface import Records
from loadbalancer.stores.interface import Store
from loadbalancer.transports.interface import Address, DatagramReceiver, Transport

if TYPE_CHECKING:
    from loadbalancer.node.config import Config
    from loadbalancer.node.features.membership_host import MembershipHost
    from loadbalancer.node.node import Node

NS_PER_US = 1_000
# Logged where a feature gives no reason for a quarantine.
DEFAULT_QUARANTINE_REASON = "requested by a feature without a reason"

P = ParamSpec("P")
R = TypeVar("R")


class NodeFeatureHost:
    """Runs the features of one node and implements `FeatureHost` for them.

    Attributes:
        node: The node that the host belongs to.
        name: The node's name.
        loop: The node's event loop.
        members: The membership, set by its feature while that runs; else None.
        ending: Whether the process is stopping: features need not undo what they have set up in the node.
        quarantine_reason: Why a feature has quarantined the node; empty while it is not quarantined.
        on_approvers_changed: Called when the set of features that approve changes may have changed.
        lifecycle: Starts, reloads and stops the features.
        calls: Calls features so that their exceptions do not reach the node.
        resources: Channels, records and the store that features share.
        events: Passes the node's events to the features.
        versions: Announces versions to the features.
        change_approval: Asks the features to approve changes.
        admin: Pages, commands and metrics of the features.
    """

    def __init__(self, node: Node) -> None:
        """Creates a host without any feature.

        Args:
            node: The node that the host belongs to.
        """
        self.node = node
        self.name = node.config.name
        self.loop = node.loop
        self.members: MembershipHost | None = None
        self.ending = False
        self.quarantine_reason = ""
        self.on_approvers_changed: Callable[[], None] | None = None
        self.lifecycle = FeatureLifecycle(self)
        self.calls = GuardedCalls(self.lifecycle.fail)
        self.resources = FeatureResources(self)
        self.events = NodeEvents(self)
        self.versions = VersionAnnouncer(self)
        self.change_approval = ChangeApproval(self)
        self.admin = FeatureAdmin(self)
        self._log: Any = None  # created at the first event

    # ---- called by the node ----------------------------------------------------------------------------

    def reconcile(self, operator_config: OperatorConfig | None) -> None:
        """Starts, reloads and stops features to match the operators' and the platform's configuration."""
        is_changed = operator_config != self.lifecycle.operator_config
        self.lifecycle.reconcile(operator_config)
        self.events.update_followers()
        self.versions.announce_settings(self.node.config)
        if is_changed:
            self.versions.announce_operator_config(operator_config)

    def reload(self, config: Config, operator_config: OperatorConfig | None) -> None:
        """Makes the node adopt a new configuration as soon as all features approve."""
        self.change_approval.apply_when_approved(
            "reload",
            self._reload_changes(config, operator_config),
            lambda: self.node.adopt(config, operator_config),
            self.scope(),
            meanwhile="the old configuration stays in force; a further SIGHUP replaces this reload",
        )

    def _reload_changes(
        self, config: Config, operator_config: OperatorConfig | None
    ) -> tuple[Change, ...]:
        """Returns the kinds of change that a reload makes and that features have to approve."""
        current = self.node.config
        if current.settings.peers and not config.settings.peers:
            return ()  # the new settings forbid the messages that an approval would need
        changes = []
        if any(
            getattr(config, name) != getattr(current, name) for name in RELOADED_FIELDS
        ):
            changes.append(Change.SETTINGS)
        if operator_config != self.lifecycle.operator_config:
            changes.append(Change.OPERATION)
        return tuple(changes)

    def stop(self, graceful: bool) -> None:
        """Stops all features at the end of the process; unless `graceful`, no further datagram is sent."""
        self.ending = True
        self.lifecycle.cancel_retry()
        self.change_approval.stop()
        self.lifecycle.stop_all(graceful)

    def on_list_update(self, listing: Listing, more: bool) -> Listing:
        """Handles an update before the node applies it; returns it with the lines from peers merged in.

        Args:
            listing: The update.
            more: Whether further parts of a long list follow.
        """
        return self.events.on_list_update(listing, more)

    def on_list_applied(self) -> None:
        """Called when the node has applied an update of the endpoint list."""
        self.events.on_list_applied()

    def on_members_changed(self) -> None:
        """Called when the state of a member has changed."""
        for feature in list(self.features.values()):
            self.run_guarded(feature, feature.on_members_changed)
        self.versions.announce_members()

    def metrics(self) -> dict[str, Any]:
        """Returns the features' tables for `/admin/stats`."""
        return self.admin.metrics()

    # ---- for the node's core features and the helper objects of this host ------------------------------

    @property
    def features(self) -> dict[str, Feature]:
        """The running features by table, in the order in which they were started."""
        return self.lifecycle.features

    @property
    def failed(self) -> set[str]:
        """Tables of the features that were stopped because of an error."""
        return self.lifecycle.failed

    def run_guarded(
        self, feature: Feature, callback: Callable[..., None], *args: Any
    ) -> None:
        """Calls a feature; if the callback raises, the feature is stopped and named in the log."""
        self.calls.run(feature, callback, *args)

    def guarded(
        self, feature: Feature, callback: Callable[P, R], fallback: R
    ) -> Callable[P, R]:
        """Wraps a feature's callback for the request path; if it raises, the feature is stopped.

        Args:
            feature: The feature that the callback belongs to.
            callback: The function to wrap.
            fallback: The result of a call in which the callback raises.
        """
        return self.calls.wrap(feature, callback, fallback)

    def fail(self, feature: Feature, reason: str) -> None:
        """Stops a feature because of an error; the next SIGHUP starts it again.

        Args:
            feature: The feature.
            reason: The error, for the log.
        """
        self.lifecycle.fail(feature, reason)

    def sent(self) -> dict[str, SentDatagrams]:
        """Returns the traffic that features have sent on their own channels, by table."""
        return self.resources.sent()

    def line(self, text: str) -> None:
        """Writes one line to the node's log."""
        self.node.log_lines.line(text)

    def zone(self) -> str:
        """Returns the name of this node's zone; empty if the zone has no name."""
        own = self.node.settings.zone
        for name, number in self.node.zones.items():
            if number == own:
                return name
        return ""

    def scope(self) -> str:
        """Returns the scope of a change of this node only: its tier, and its zone if that has a name."""
        tier, zone = f"tier={self.node.settings.tier}", self.zone()
        return f"{tier},zone={zone}" if zone else tier

    def discovery_origin(self) -> str:
        """Returns the discovery service that numbers the list versions, as `host:port`."""
        return "{}:{}".format(*self.node.discovery.address)

    def end_quarantine(self) -> None:
        """Makes the node ready again, if a feature has quarantined it."""
        if self.quarantine_reason:
            self.set_quarantined(False, "")

    # ---- offered to features (`FeatureHost`) -----------------------------------------------------------

    def now(self) -> int:
        """Returns the monotonic time in microseconds."""
        return monotonic_ns() // NS_PER_US

    def wall_clock(self) -> int:
        """Returns the Unix time in microseconds, for display only: decisions never depend on it."""
        return time_ns() // NS_PER_US

    def seed(self) -> int:
        """Returns the seed for a feature's own random number generator."""
        return self.node.config.seed

    def log_event(self, event: str, **fields: Any) -> None:
        """Writes one structured line to the log."""
        if self._log is None:
            # Imported here: a node whose features log no event does not need it.
            from loadbalancer.node.features.membership_host import json_logger

            self._log = json_logger(self.name)
        self._log.info(event, **fields)

    def operator_config(self) -> OperatorConfig:
        """Returns the operator configuration in force."""
        return self.lifecycle.operator_config or NO_TABLES

    def live_members(self) -> list[str]:
        """Returns the names of the live members, this node included; without a membership only this node."""
        names = self.members.live_names() if self.members is not None else []
        return names or [self.name]

    def cell_members(self) -> list[str]:
        """Returns the names of the live members whose records this node receives, this node included."""
        if self.members is None or self.members.layout is None:
            return self.live_members()
        return self.members.cell_names() or [self.name]

    def member_address(self, name: str) -> Address | None:
        """Returns the address at which a member receives datagrams; None if it is unknown."""
        swim = self.members.swim if self.members is not None else None
        member = swim.members.get(name) if swim is not None else None
        return (member.host, member.port) if member is not None else None

    def channel(self, tag: int, received: DatagramReceiver) -> Transport:
        """Opens a transport on the membership's port, which is closed when the membership stops.

        Args:
            tag: Tag of the channel, 1 to 127.
            received: Called with each datagram and its source address.

        Raises:
            FeatureError: There is no membership.
        """
        return self.resources.channel(tag, received)

    def records(self) -> Records:
        """Returns the replicated records, which become unusable when the membership stops.

        Raises:
            FeatureError: There is no membership.
        """
        return self.resources.records()

    def store(self) -> Store:
        """Returns the node's store.

        Raises:
            StoreError: The store cannot be opened, or another process has locked it.
        """
        return self.resources.store()

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Asks all features whether a change may be made; `then` is called once with the answer."""
        is_own_node = scope == self.name
        self.change_approval.request(
            change, self.scope() if is_own_node else scope, then
        )

    def announce_version(self, version: Version) -> None:
        """Notifies all features of a version that the node acts on, if it differs from the previous one."""
        self.versions.announce(version)

    def fetch_endpoint_list(self) -> None:
        """Makes this node poll its discovery immediately.

        It requests the complete list, since the content may differ under the same version number, and polls,
        since the watch itself may be what has failed.
        """
        self.node.discovery.fetch()
        self.node.discovery.poll_if_due()

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None:
        """Applies endpoint lines that peers hold, in the safe direction."""
        self.events.merge_peer_lines(lines)

    def set_quarantined(self, quarantined: bool, reason: str) -> None:
        """Sets whether the node is quarantined.

        A quarantined node finishes the calls that it has accepted and closes each client connection after its
        response, so that clients with persistent connections move to other nodes.

        Args:
            quarantined: Whether the quarantine starts or ends.
            reason: Why, for the log and `/ready`.
        """
        if quarantined == bool(self.quarantine_reason) or self.ending:
            return
        self.quarantine_reason = (
            (reason or DEFAULT_QUARANTINE_REASON) if quarantined else ""
        )
        self.line(
            f"readiness withdrawn reason={self.quarantine_reason}"
            if quarantined
            else "readiness restored"
        )
        listener = self.node.client_listener
        if not listener.draining:
            listener.closing_after_response = quarantined
