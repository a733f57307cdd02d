"""The node's host of its features: what the node calls, and what features are offered (`FeatureHost`).

Imported only where there is an operators' file. The work is done by its parts:

    lifecycle           starts, reloads and stops features
    guarded_calls       keeps errors of a feature from the node
    resources           channels, records and the store that features share
    node_events         endpoint lists and ends of attempts, passed on to features
    version_announcer   versions that the node acts on
    change_approval     changes that features may hold up
    feature_admin       pages, commands and figures
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
# In the log line where a feature gives no reason.
DEFAULT_QUARANTINE_REASON = "a part's word"

P = ParamSpec("P")
R = TypeVar("R")


class NodeFeatureHost:
    """The features of one node, and their `FeatureHost`.

    Attributes:
        name: The node's name.
        members: The membership, set by its feature while it runs.
        ending: The process ends: what features have set up may stay.
        quarantine_reason: Why `/ready` says no at a feature's request; empty while it does not.
        on_approvers_changed: Called when other features than before may have a say in changes.
    """

    def __init__(self, node: Node) -> None:
        """Makes a host without a feature.

        Args:
            node: The node that it belongs to.
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
        self._log: Any = None  # made for the first event

    # ---- called by the node ----------------------------------------------------------------------------

    def reconcile(self, operator_config: OperatorConfig | None) -> None:
        """Starts, reloads and stops features, as the operators configure and the platform allows."""
        is_changed = operator_config != self.lifecycle.operator_config
        self.lifecycle.reconcile(operator_config)
        self.events.update_followers()
        self.versions.announce_settings(self.node.config)
        if is_changed:
            self.versions.announce_operator_config(operator_config)

    def reload(self, config: Config, operator_config: OperatorConfig | None) -> None:
        """Has the node adopt other files as soon as no feature has anything against it."""
        self.change_approval.apply_when_approved(
            "reload",
            self._reload_changes(config, operator_config),
            lambda: self.node.adopt(config, operator_config),
            self.scope(),
            stays="the old configuration stays, a further SIGHUP takes this one's place",
        )

    def _reload_changes(
        self, config: Config, operator_config: OperatorConfig | None
    ) -> tuple[Change, ...]:
        """The kinds of change that a reload makes and that features may hold up."""
        current = self.node.config
        if current.settings.peers and not config.settings.peers:
            return ()  # the platform forbids the messages by which it would be agreed
        changes = []
        if any(
            getattr(config, name) != getattr(current, name) for name in RELOADED_FIELDS
        ):
            changes.append(Change.SETTINGS)
        if operator_config != self.lifecycle.operator_config:
            changes.append(Change.OPERATION)
        return tuple(changes)

    def stop(self, graceful: bool) -> None:
        """The process ends; without `graceful` not one more datagram goes out."""
        self.ending = True
        self.lifecycle.cancel_retry()
        self.change_approval.stop()
        self.lifecycle.stop_all(graceful)

    def on_list_update(self, listing: Listing, more: bool) -> Listing:
        """An update that discovery has sent, before the node takes it up; returns it with peers' lines."""
        return self.events.on_list_update(listing, more)

    def on_list_applied(self) -> None:
        """The node has taken up an update of the endpoint list."""
        self.events.on_list_applied()

    def on_members_changed(self) -> None:
        """A member's state has changed."""
        for feature in list(self.features.values()):
            self.run_guarded(feature, feature.on_members_changed)
        self.versions.announce_members()

    def metrics(self) -> dict[str, Any]:
        """The features' tables for `/admin/stats`."""
        return self.admin.metrics()

    # ---- for the node's own features and the parts of this host ----------------------------------------

    @property
    def features(self) -> dict[str, Feature]:
        """The running features by table, in the order of their start."""
        return self.lifecycle.features

    @property
    def failed(self) -> set[str]:
        """Tables of the features that were stopped for an error."""
        return self.lifecycle.failed

    def run_guarded(
        self, feature: Feature, callback: Callable[..., None], *args: Any
    ) -> None:
        """Calls a feature; one that raises is stopped and named in the log."""
        self.calls.run(feature, callback, *args)

    def guarded(
        self, feature: Feature, callback: Callable[P, R], fallback: R
    ) -> Callable[P, R]:
        """A feature's callback for the request path; one that raises stops the feature.

        Args:
            feature: Whose callback it is.
            callback: What is to be called.
            fallback: The result if it raises.
        """
        return self.calls.wrap(feature, callback, fallback)

    def fail(self, feature: Feature, reason: str) -> None:
        """Stops a feature for an error; the next SIGHUP starts it again."""
        self.lifecycle.fail(feature, reason)

    def sent(self) -> dict[str, SentDatagrams]:
        """What features have sent on channels of their own, by table."""
        return self.resources.sent()

    def line(self, text: str) -> None:
        """Writes one line to the node's log."""
        self.node.log_lines.line(text)

    def zone(self) -> str:
        """The name of this node's zone; empty if it has none."""
        own = self.node.settings.zone
        for name, number in self.node.zones.items():
            if number == own:
                return name
        return ""

    def scope(self) -> str:
        """The scope of a change of this node alone: its tier, and its zone if that has a name."""
        tier, zone = f"tier={self.node.settings.tier}", self.zone()
        return f"{tier},zone={zone}" if zone else tier

    def discovery_origin(self) -> str:
        """The discovery whose list versions count, `host:port`."""
        return "{}:{}".format(*self.node.discovery.address)

    def end_quarantine(self) -> None:
        """Lets the node be ready again, if a feature has quarantined it."""
        if self.quarantine_reason:
            self.set_quarantined(False, "")

    # ---- offered to features (`FeatureHost`) -----------------------------------------------------------

    def now(self) -> int:
        """Monotonic time in microseconds."""
        return monotonic_ns() // NS_PER_US

    def wall_clock(self) -> int:
        """Unix time in microseconds: for people, never for decisions."""
        return time_ns() // NS_PER_US

    def seed(self) -> int:
        """Seed of a feature's own random source."""
        return self.node.config.seed

    def log_event(self, event: str, **fields: Any) -> None:
        """Writes one structured line to the log."""
        if self._log is None:
            # Imported here: a node whose features log nothing does not need it.
            from loadbalancer.node.features.membership_host import json_logger

            self._log = json_logger(self.name)
        self._log.info(event, **fields)

    def operator_config(self) -> OperatorConfig:
        """The operator configuration in force."""
        return self.lifecycle.operator_config or NO_TABLES

    def live_members(self) -> list[str]:
        """Names of the live members, this node included; this node alone without a membership."""
        names = self.members.live_names() if self.members is not None else []
        return names or [self.name]

    def cell_members(self) -> list[str]:
        """Names of the live members whose records come here, this node included."""
        if self.members is None or self.members.layout is None:
            return self.live_members()
        return self.members.cell_names() or [self.name]

    def member_address(self, name: str) -> Address | None:
        """Where a member receives datagrams; None if it is not known."""
        swim = self.members.swim if self.members is not None else None
        member = swim.members.get(name) if swim is not None else None
        return (member.host, member.port) if member is not None else None

    def channel(self, tag: int, received: DatagramReceiver) -> Transport:
        """Opens a transport on the membership's port, which ends with the membership.

        Raises:
            FeatureError: There is no membership.
        """
        return self.resources.channel(tag, received)

    def records(self) -> Records:
        """The replicated records, which end with the membership.

        Raises:
            FeatureError: There is no membership.
        """
        return self.resources.records()

    def store(self) -> Store:
        """The node's store.

        Raises:
            StoreError: It cannot be opened, or another process has it.
        """
        return self.resources.store()

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Asks all features whether a change may happen; `then` is called once."""
        own_scope = scope == self.name
        self.change_approval.request(change, self.scope() if own_scope else scope, then)

    def announce_version(self, version: Version) -> None:
        """Tells all features of a version that the node acts on, if it is another one than before."""
        self.versions.announce(version)

    def fetch_endpoint_list(self) -> None:
        """Has this node poll its discovery at once.

        It asks for the whole list, since the content may differ under one number, and for a poll, since the
        watch may be the fault.
        """
        self.node.discovery.fetch()
        self.node.discovery.poll_if_due()

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None:
        """Applies endpoint lines that peers hold, in the safe direction."""
        self.events.merge_peer_lines(lines)

    def set_quarantined(self, out: bool, why: str) -> None:
        """Sets whether the node is quarantined.

        What is taken is finished, and no connection outlives its response, so that clients which keep one go
        elsewhere.
        """
        if out == bool(self.quarantine_reason) or self.ending:
            return
        self.quarantine_reason = (why or DEFAULT_QUARANTINE_REASON) if out else ""
        self.line(
            f"readiness withdrawn reason={self.quarantine_reason}"
            if out
            else "readiness restored"
        )
        listener = self.node.client_listener
        if not listener.draining:
            listener.closing_after_response = out
