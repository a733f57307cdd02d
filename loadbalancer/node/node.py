"""One node: runs a Balancer on sockets.

It connects the components that hold the state: the clients' listener, the open requests, the connections to
servers, the endpoint list and the features. It provides the clock and makes no decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from time import monotonic_ns, time_ns
from typing import TYPE_CHECKING, Any

from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.admin import AdminServer
from loadbalancer.node.client.listener import ClientListener
from loadbalancer.node.config import Config
from loadbalancer.node.discovery.client import DiscoveryClient
from loadbalancer.node.discovery.endpoint_list_codec import Listing
from loadbalancer.node.discovery.endpoint_registry import EndpointRegistry
from loadbalancer.node.effective_settings import effective_settings
from loadbalancer.node.end_reasons import (
    MAX_REASON_LINES_PER_S,
    EndReason,
    ReasonLog,
)
from loadbalancer.node.event_queue import EventQueue, PolicyEvent
from loadbalancer.node.lifecycle.process_share import ProcessShare
from loadbalancer.node.lifecycle.reload import (
    RELOADED_FIELDS,
    ClassTable,
    fields_for_restart,
)
from loadbalancer.node.listen import listening
from loadbalancer.node.log import MAX_LINES_PER_S, MAX_STRAY_LINES_PER_S, Log
from loadbalancer.node.memory_figures import measure_memory
from loadbalancer.node.metrics import Metrics
from loadbalancer.node.peers import PeerMessenger
from loadbalancer.node.requests.call_ids import CallIds
from loadbalancer.node.requests.deadline_guard import DeadlineGuard, drain_time_us
from loadbalancer.node.requests.forwarder import Forwarder
from loadbalancer.node.requests.intake import RequestIntake, retry_after_header
from loadbalancer.node.requests.open_request import OpenRequest, OpenRequests
from loadbalancer.node.upstream.health_check import start_health_check
from loadbalancer.node.upstream.pool import ConnectionPool
from loadbalancer.node.upstream.response import Response
from loadbalancer.policy.api import ListUpdateKind, Outcome, Settings
from loadbalancer.policy.balancer import Balancer

if TYPE_CHECKING:
    from loadbalancer.config.operator_config import OperatorConfig
    from loadbalancer.node.features.host import NodeFeatureHost
    from loadbalancer.node.features.membership_host import MembershipHost


class Node:
    """One node: implements `Actions` for its Balancer, and passes all events to it.

    Features (`node/features/`) use the node as well, and set some of the attributes below.

    Args:
        config: The platform's configuration.
        loop: The event loop.
        operation: The operators' configuration; None if there is none.

    Attributes:
        log_lines: The log.
        stray_lines: The log for events that any sender of invalid data can cause.
        clock_offset_ns: Unix time minus monotonic time at the start, in nanoseconds.
        settings: The settings in force, with the classes at their numbers.
        table: The request classes by name and number.
        metrics: The node's counters.
        post: Passes an event to the policy.
        control: The admin listener; None if there is none.
        process_share: This process's share of the node's limits.
        call_ids: The call ids that may not be forwarded again.
        feature_host: Runs the features; None until an operators' file is applied.
        on_ended: Called at the end of each attempt, if a feature listens.
        on_request: Passes a request to the policy in place of the node, if a feature knows the replicas of
            its shard; returns whether it did.
        ring: The ring position in force and the number of positions; None: those of the platform.
        least_members: Smallest subset that sharding requests, in servers.
        spread_members: Smallest subset that the even distribution of load requests, in servers.
        started: The policy has received its start event.
        balancer: The policy.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        operation: OperatorConfig | None = None,
    ) -> None:
        self.config = config
        self.loop = loop
        self.operation = operation
        self.log_lines = Log(config.name, MAX_LINES_PER_S)
        # A separate log, so that invalid data cannot use up the lines that report faults.
        self.stray_lines = Log(config.name, MAX_STRAY_LINES_PER_S)
        self.reasons = ReasonLog(Log(config.name, MAX_REASON_LINES_PER_S))
        self.clock_offset_ns = time_ns() - monotonic_ns()
        self.settings = config.settings
        self.table = ClassTable(config.classes, config.settings)
        self.metrics = Metrics()
        self.metrics.add_classes(config.classes)
        self.post = EventQueue(self.now, self.on_event_failed).post
        self.control: AdminServer | None = None
        self.process_share = ProcessShare(self)
        self.call_ids = CallIds(lambda: monotonic_ns() // 1000)
        self._make_request_path()
        self._make_discovery_and_peers()
        self.feature_host: NodeFeatureHost | None = None
        self.on_ended: (
            Callable[[OpenRequest, int, int, Outcome, Response | None], None] | None
        ) = None
        self.on_request: Callable[[OpenRequest, int, int, bool, bool], bool] | None = (
            None
        )
        self.ring: tuple[int, int] | None = None
        self.least_members = 0
        self.spread_members = 0
        self.started = False
        self.balancer = Balancer(config.settings, config.seed, self)

    def _make_request_path(self) -> None:
        """Creates the components that process requests."""
        config = self.config
        self.requests = OpenRequests(self.metrics, self.table, self.reasons)
        self.deadline_guard = DeadlineGuard(self)
        self.intake = RequestIntake(self, config.tenants)
        self.forwarder = Forwarder(self)
        upstream_connections = config.connections // 2
        self.client_listener = ClientListener(
            self.loop,
            config.connections - upstream_connections,
            config.most_held,
            self.intake,
            self.reasons,
        )
        self.pool = ConnectionPool(
            self.loop,
            upstream_connections,
            config.connect_timeout,
            config.idle_time,
            self.client_listener.budget,
        )
        self.endpoints = EndpointRegistry(self.pool, config.zones, config.kinds)

    def _make_discovery_and_peers(self) -> None:
        """Creates the clients of discovery and of the other nodes."""
        config = self.config
        version = config.known.version if config.known else None
        self.discovery = DiscoveryClient(
            self.loop, config.discovery, version, self.on_list, self.stray_lines
        )
        self.peers = PeerMessenger(
            config.peers, config.peers_all, self.on_peer_message, self.stray_lines
        )

    def now(self) -> int:
        """Returns the node's time in microseconds: Unix time at the start plus the monotonic time since.

        It never goes back.
        """
        return (self.clock_offset_ns + monotonic_ns()) // 1000

    # ---- start and shutdown --------------------------------------------------------------------------

    async def start(self) -> None:
        """Starts the features and the policy, and accepts clients.

        Raises:
            ListenError: An address cannot be bound.
        """
        await self._listen_to_others()
        self.reconcile_features()
        self.started = True
        self.post(self.balancer.start)
        if self.config.accept_fd is not None:
            self.process_share.start()
            registry = self.process_share.registry
            self.call_ids.share(registry.folder, registry.prefix)
        if self.config.known is not None:
            self.on_list(self.config.known)
        if not self.config.settings.list_must_be_polled:
            self.discovery.watch(True)
        inherited = self.config.accept_fd
        with listening(
            "listen", self.config.listen if inherited is None else inherited
        ):
            self.client_listener.start(self.config.listen, inherited)

    async def _listen_to_others(self) -> None:
        """Opens the sockets for the other nodes and for operators."""
        if self.config.settings.peers and self.config.peer_listen is not None:
            with listening("peer_listen", self.config.peer_listen):
                await self.loop.create_datagram_endpoint(
                    lambda: self.peers, local_addr=self.config.peer_listen
                )
        if self.config.control is not None:
            self.control = AdminServer(
                self.loop, {"/admin/health": self.health, "/admin/stats": self.figures}
            )
            with listening("control", self.config.control):
                await self.control.start(self.config.control)

    async def drain(self) -> None:
        """Answers the accepted requests within the time until SIGKILL, and stops."""
        if self.feature_host is not None:
            # If another process continues under this node's name, the node has not left the membership.
            self.feature_host.stop(graceful=self.process_share.leaves_node_empty())
        time_us = drain_time_us(max(c.deadline for c in self.config.settings.classes))
        self.deadline_guard.shorten_deadlines(self.now() + time_us)
        await self.client_listener.drain(self.loop.time() + time_us / 1e6)
        self.discovery.stop()
        if self.control is not None:
            self.control.close()
        self.process_share.stop()
        self.call_ids.stop(alone=not self.process_share.registry.siblings().count)
        failed_count = self.deadline_guard.failed_count
        if failed_count:
            self.log_lines.line(f"guard requests expired count={failed_count}")

    # ---- operators -----------------------------------------------------------------------------------

    def health(self) -> tuple[bool, dict[str, Any]]:
        """Returns whether clients are accepted (200, else 503), and the object of `/admin/health`."""
        accepting = self.ready() and self.client_listener.listen_socket is not None
        return accepting, {"taking": accepting}

    def figures(self) -> tuple[bool, dict[str, Any]]:
        """Returns True, since metrics are always available, and the object of `/admin/stats`."""
        values = self.metrics.figures(
            len(self.listed or ()),
            int(self.balancer.stats()["ejected"]),
            measure_memory(self.client_listener, self.requests),
            self.discovery.metrics(),
            self.reasons.counts,
        )
        if self.feature_host is not None:
            values |= self.feature_host.metrics()
        return True, values

    def ready(self) -> bool:
        """Returns whether clients may be routed to this node (`/ready`)."""
        excluded = self.client_listener.draining or (
            self.feature_host is not None and self.feature_host.quarantine_reason
        )
        return self.listed is not None and self.discovery.is_settled() and not excluded

    # ---- configuration -------------------------------------------------------------------------------

    def reload(self, config: Config, operation: OperatorConfig | None = None) -> None:
        """Applies a new configuration, as soon as no feature objects."""
        if self.feature_host is not None:
            self.feature_host.reload(config, operation)
        else:
            self.adopt(config, operation)

    def adopt(self, config: Config, operation: OperatorConfig | None) -> None:
        """Applies a new configuration now; connections, requests and all learned state stay.

        Changes that require a restart are named in the log. Open requests keep the settings under which they
        arrived: their classes keep their numbers, and the old `max_attempts` limits their attempts.
        """
        old = self.config
        in_use = {request.class_index for request in self.requests.values()}
        settings = replace(config.settings, zone=self.zone_of(config))
        settings = self.table.update(config.classes, settings, in_use)
        self.config = replace(
            old, **{name: getattr(config, name) for name in RELOADED_FIELDS}
        )
        self.metrics.add_classes(config.classes)
        self.metrics.reloaded()
        self.intake.set_tenants(config.tenants)
        self.pool.set_timeouts(config.connect_timeout, config.idle_time)
        self.apply_settings(settings)
        self.operation = operation
        self.reconcile_features()
        if pending := fields_for_restart(old, config):
            self.log_lines.line(f"reload restart required settings={','.join(pending)}")
        if config.discovery != old.discovery:
            self.discovery.move_to(config.discovery)
        self.peers.set_addresses(config.peers, config.peers_all)
        self.log_lines.line(
            f"reload applied discovery={config.discovery[0]}:{config.discovery[1]}"
        )

    def reject_reload(self, error: LoadBalancerError) -> None:
        """Counts and logs a new configuration that cannot be used; the old one stays in force."""
        self.metrics.reloaded(error)
        self.log_lines.line(
            f"reload rejected reason={error.line()}; the old configuration stays"
        )

    def apply_settings(self, settings: Settings) -> None:
        """Passes settings to the policy, adapted to this process and to the features."""
        self.settings = effective_settings(
            settings,
            self.process_share.siblings.count,
            self.ring,
            max(self.least_members, self.spread_members),
        )
        self.post(self.balancer.update_settings, self.settings)

    def zone_of(self, config: Config) -> int:
        """Returns the number of this node's zone among the numbers that this node uses for zones."""
        if config.settings.zone >= len(config.zones):
            return config.settings.zone
        return self.endpoints.zone_number(config.zones[config.settings.zone])

    # ---- features ------------------------------------------------------------------------------------

    def reconcile_features(self) -> None:
        """Starts, updates and stops features as the operators' file requests."""
        if self.feature_host is None and self.operation is not None:
            # Imported here because a node without an operators' file does not need the module.
            from loadbalancer.node.features.host import NodeFeatureHost

            self.feature_host = NodeFeatureHost(self)
        if self.feature_host is not None:
            self.feature_host.reconcile(self.operation)

    @property
    def members(self) -> MembershipHost | None:
        """This node's membership; None while it has none."""
        return self.feature_host.members if self.feature_host is not None else None

    @property
    def zones(self) -> dict[str, int]:
        """Numbers of the zones by name."""
        return self.endpoints.zones

    @property
    def listed(self) -> set[int] | None:
        """The endpoints in the list; None until a list is complete."""
        return self.endpoints.listed

    @property
    def named(self) -> set[int] | None:
        """The endpoints in the received parts of an incomplete full list; None if there is none."""
        return self.endpoints.named

    # ---- events --------------------------------------------------------------------------------------

    def on_event_failed(
        self, event: PolicyEvent, args: tuple[Any, ...], error: Exception
    ) -> None:
        """Logs an exception of the policy; answers 500 if the event was a request or an attempt's outcome."""
        self.log_lines.line(
            f"policy event failed event={event.__name__} reason={type(error).__name__}: {error}"
        )
        if event in (self.balancer.request, self.balancer.outcome):
            self.requests.answer(args[0], 500, reason=EndReason.POLICY_ERROR)

    def on_list(self, listing: Listing | None, more: bool = False) -> None:
        """Handles an update of the endpoint list.

        Args:
            listing: The update; None: a call to discovery had no usable answer.
            more: Whether more parts of a long list follow.
        """
        if listing is None:
            if self.config.settings.list_must_be_polled:
                self.post(self.balancer.update_endpoints, ListUpdateKind.FAILED, ())
            return
        if self.feature_host is not None:
            listing = self.feature_host.on_list_update(listing, more)
        self.take(listing, more)
        if self.feature_host is not None:
            self.feature_host.on_list_applied()

    def take(self, listing: Listing, more: bool = False) -> None:
        """Applies an update of the endpoint list, and passes it to the policy."""
        entries = self.endpoints.update(listing, more)
        self.post(
            self.balancer.update_endpoints,
            listing.kind,
            entries,
            *([True] if more else []),
        )

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """Passes a peer's message to the policy."""
        self.post(self.balancer.peer_message, peer, data)

    # ---- actions of the policy -----------------------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt, which may take `timeout` microseconds.

        One that may not be sent ends as NOT_SENT after this event.
        """
        self.forwarder.send(request, server, timeout)

    def cancel(self, request: int, attempt: int) -> None:
        """Cancels an attempt; its outcome follows after this event."""
        self.forwarder.cancel(request, attempt)

    def reject(self, request: int, retry_after: int) -> None:
        """Answers 503 and advises the client to retry after `retry_after` microseconds, if above 0."""
        self.requests.answer(
            request,
            503,
            headers=retry_after_header(retry_after),
            reason=EndReason.POLICY_REJECTED,
        )

    def fail(self, request: int) -> None:
        """Answers 502: the request was not served, and its effects are unknown."""
        self.requests.answer(request, 502, reason=EndReason.POLICY_FAILED)

    def check_health(self, server: int) -> None:
        """Requests a server's load report, or checks its health if there are no reports."""
        start_health_check(self, server)

    def set_timer(self, delay: int, token: int) -> None:
        """Passes `token` back to the policy after `delay` microseconds."""
        self.loop.call_later(max(0, delay) / 1e6, self.post, self.balancer.timer, token)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Sends a message to a peer, or to all of them (`ALL_PEERS`)."""
        self.peers.send(peer, data)

    def watch(self, on: bool) -> None:
        """Starts or stops the watch on the endpoint list."""
        self.discovery.watch(on)

    def fetch(self) -> None:
        """Requests the full endpoint list."""
        self.discovery.fetch()

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is not None:
            endpoint.close_idle()

    def log(self, text: str) -> None:
        """Writes a line to the log."""
        self.log_lines.line(text)
