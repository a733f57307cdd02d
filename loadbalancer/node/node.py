"""One node: hosts a Balancer on sockets.

It joins the parts that hold the state: the clients' listener, the open requests, the connections to servers,
the endpoint list, the features. It owns the clock, and makes no decision.
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
from loadbalancer.node.event_queue import EventQueue, PolicyEvent
from loadbalancer.node.lifecycle.process_share import ProcessShare
from loadbalancer.node.lifecycle.reload import (
    RELOADED_FIELDS,
    ClassTable,
    fields_for_restart,
)
from loadbalancer.node.listen import listening
from loadbalancer.node.log import MAX_LINES_PER_S, MAX_STRAY_LINES_PER_S, Log
from loadbalancer.node.metrics import Metrics
from loadbalancer.node.peers import PeerMessenger
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
    """One node: implements `Actions` for its Balancer, and hands it all events.

    Features (`node/features/`) use it as well; what they set stands in the attributes below.

    Args:
        config: The platform's configuration.
        loop: The loop that it runs on.
        operation: The operators' configuration, if there is one.

    Attributes:
        settings: In force, with the classes at their numbers.
        table: The classes by name and number.
        feature_host: What runs the features, where there are some.
        on_ended: Told of each attempt's end, where a feature listens.
        on_request: Hands a request to the policy in the node's place, where a feature knows its shard's
            replicas; says whether it did.
        ring: The ring position that is in force, if not the platform's.
        least_members: Servers that a feature wants in the subset at the least.
        spread_members: The same, of the feature that evens out the load.
        started: The policy has been told of the start.
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
        # Apart, so that whoever sends garbage cannot use up the lines that tell of faults.
        self.stray_lines = Log(config.name, MAX_STRAY_LINES_PER_S)
        self.origin = time_ns() - monotonic_ns()
        self.settings = config.settings
        self.table = ClassTable(config.classes, config.settings)
        self.metrics = Metrics()
        self.metrics.add_classes(config.classes)
        self.post = EventQueue(self.now, self.on_event_failed).post
        self.control: AdminServer | None = None
        self.process_share = ProcessShare(self)
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
        """Makes what a request goes through."""
        config = self.config
        self.requests = OpenRequests(self.metrics, self.table)
        self.deadline_guard = DeadlineGuard(self)
        self.intake = RequestIntake(self, config.tenants)
        self.forwarder = Forwarder(self)
        upstream_connections = config.connections // 2
        self.client_listener = ClientListener(
            self.loop,
            config.connections - upstream_connections,
            config.most_held,
            self.intake,
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
        """Makes the clients of discovery and of the other nodes."""
        config = self.config
        version = config.known.version if config.known else None
        self.discovery = DiscoveryClient(
            self.loop, config.discovery, version, self.on_list, self.stray_lines
        )
        self.peers = PeerMessenger(
            config.peers, config.peers_all, self.on_peer_message, self.stray_lines
        )

    def now(self) -> int:
        """The node's clock: Unix microseconds at the start plus monotonic time since; never goes back."""
        return (self.origin + monotonic_ns()) // 1000

    # ---- start and end --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Begins to serve.

        Raises:
            ListenError: An address cannot be had.
        """
        await self._listen_to_others()
        self.reconcile_features()
        self.started = True
        self.post(self.balancer.start)
        if self.config.accept_fd is not None:
            self.process_share.start()
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
        """Listens to the other nodes and to operators."""
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
        """Answers what has been taken within the time until SIGKILL, and ends."""
        if self.feature_host is not None:
            # A process that takes over goes on under this node's name: then nobody has left.
            self.feature_host.stop(graceful=self.process_share.leaves_node_empty())
        time_us = drain_time_us(max(c.deadline for c in self.config.settings.classes))
        self.deadline_guard.shorten_deadlines(self.now() + time_us)
        await self.client_listener.drain(self.loop.time() + time_us / 1e6)
        self.discovery.stop()
        if self.control is not None:
            self.control.close()
        self.process_share.stop()
        failed_count = self.deadline_guard.failed_count
        if failed_count:
            self.log_lines.line(f"guard requests expired count={failed_count}")

    # ---- operators ------------------------------------------------------------------------------------

    def health(self) -> tuple[bool, dict[str, Any]]:
        """Whether clients are truly taken (200, else 503), and the page's table."""
        taking = self.ready() and self.client_listener.listen_socket is not None
        return taking, {"taking": taking}

    def figures(self) -> tuple[bool, dict[str, Any]]:
        """True, since there always are figures, and the table of `/admin/stats`."""
        found = self.metrics.figures(
            len(self.listed or ()), int(self.balancer.stats()["ejected"])
        )
        if self.feature_host is not None:
            found |= self.feature_host.metrics()
        return True, found

    def ready(self) -> bool:
        """Whether clients may be sent here (`/ready`)."""
        out = self.client_listener.draining or (
            self.feature_host is not None and self.feature_host.quarantine_reason
        )
        return self.listed is not None and self.discovery.is_settled() and not out

    # ---- configuration --------------------------------------------------------------------------------

    def reload(self, config: Config, operation: OperatorConfig | None = None) -> None:
        """Takes on a new configuration, as soon as no feature has anything against it."""
        if self.feature_host is not None:
            self.feature_host.reload(config, operation)
        else:
            self.adopt(config, operation)

    def adopt(self, config: Config, operation: OperatorConfig | None) -> None:
        """Takes on a new configuration now: connections, requests and all that was learned stay.

        What only a start can take on is named in the log. Requests that are open keep the settings they
        came under: their classes keep their numbers, and their attempts are counted against the old bound.
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
        if left := fields_for_restart(old, config):
            self.log_lines.line(f"reload restart required settings={','.join(left)}")
        if config.discovery != old.discovery:
            self.discovery.move_to(config.discovery)
        self.peers.set_addresses(config.peers, config.peers_all)
        self.log_lines.line(
            f"reload applied discovery={config.discovery[0]}:{config.discovery[1]}"
        )

    def reject_reload(self, why: LoadBalancerError) -> None:
        """A new file that cannot be used: all stays as it is."""
        self.metrics.reloaded(why)
        self.log_lines.line(
            f"reload rejected reason={why.line()}; the old configuration stays"
        )

    def apply_settings(self, settings: Settings) -> None:
        """Hands the policy other settings, adapted to this process and to what features ask for."""
        self.settings = effective_settings(
            settings,
            self.process_share.siblings.count,
            self.ring,
            max(self.least_members, self.spread_members),
        )
        self.post(self.balancer.update_settings, self.settings)

    def zone_of(self, config: Config) -> int:
        """This node's zone by the numbers that the servers' zones have here."""
        if config.settings.zone >= len(config.zones):
            return config.settings.zone
        return self.endpoints.zone_number(config.zones[config.settings.zone])

    # ---- features -------------------------------------------------------------------------------------

    def reconcile_features(self) -> None:
        """Starts, tells and ends the features that the operators' file asks for."""
        if self.feature_host is None and self.operation is not None:
            # Here, because a node without such a file needs none of it.
            from loadbalancer.node.features.host import NodeFeatureHost

            self.feature_host = NodeFeatureHost(self)
        if self.feature_host is not None:
            self.feature_host.reconcile(self.operation)

    @property
    def members(self) -> MembershipHost | None:
        """This node's part in the membership, while it has one."""
        return self.feature_host.members if self.feature_host is not None else None

    @property
    def zones(self) -> dict[str, int]:
        """Numbers of the zones by name."""
        return self.endpoints.zones

    @property
    def listed(self) -> set[int] | None:
        """The endpoints in the list, once there is one."""
        return self.endpoints.listed

    @property
    def named(self) -> set[int] | None:
        """While a long full list is being received, the endpoints in the parts so far; None otherwise."""
        return self.endpoints.named

    # ---- events ---------------------------------------------------------------------------------------

    def on_event_failed(
        self, event: PolicyEvent, args: tuple[Any, ...], error: Exception
    ) -> None:
        """The policy has raised at an event: a request that it was about is failed."""
        self.log_lines.line(
            f"policy event failed event={event.__name__} reason={type(error).__name__}: {error}"
        )
        if event in (self.balancer.request, self.balancer.outcome):
            self.requests.answer(args[0], 500)

    def on_list(self, listing: Listing | None, more: bool = False) -> None:
        """An update of the list, or a call for it that failed. Of a long list `more` is to come."""
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
        """Takes up an update of the list, and hands it to the policy."""
        entries = self.endpoints.update(listing, more)
        self.post(
            self.balancer.update_endpoints,
            listing.kind,
            entries,
            *([True] if more else []),
        )

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """A peer's message."""
        self.post(self.balancer.peer_message, peer, data)

    # ---- Actions --------------------------------------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt. What may not be sent ends as NOT_SENT, after this event."""
        self.forwarder.send(request, server, timeout)

    def cancel(self, request: int, attempt: int) -> None:
        """Gives an attempt up; its outcome follows after this event."""
        self.forwarder.cancel(request, attempt)

    def reject(self, request: int, retry_after: int) -> None:
        """Answers 503, with advice when to come back."""
        self.requests.answer(request, 503, headers=retry_after_header(retry_after))

    def fail(self, request: int) -> None:
        """Answers 502: nothing is promised."""
        self.requests.answer(request, 502)

    def check_health(self, server: int) -> None:
        """Asks a server for its load report, or whether it is well where there are no reports."""
        start_health_check(self, server)

    def set_timer(self, delay: int, token: int) -> None:
        """Hands `token` back after `delay` microseconds."""
        self.loop.call_later(max(0, delay) / 1e6, self.post, self.balancer.timer, token)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Sends a message to a peer, or to all."""
        self.peers.send(peer, data)

    def watch(self, on: bool) -> None:
        """Begins or ends the watch on the endpoint list."""
        self.discovery.watch(on)

    def fetch(self) -> None:
        """Asks for the full endpoint list."""
        self.discovery.fetch()

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is not None:
            endpoint.close_idle()

    def log(self, text: str) -> None:
        """Writes a line to the log."""
        self.log_lines.line(text)
