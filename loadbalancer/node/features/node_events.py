"""Passes events of the node to its features: updates of the endpoint list, and ended attempts.

Events that no feature follows cost next to nothing: the node has a callback for attempts only while some
feature overrides `on_attempt_end`, and without followers an update of the list is returned unchanged.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing
from loadbalancer.node.features.feature import (
    AttemptEnd,
    Feature,
    ListUpdate,
    Version,
    VersionSource,
    overrides,
)
from loadbalancer.node.features.guarded_calls import error_line
from loadbalancer.node.features.known_endpoints import KnownEndpoints
from loadbalancer.policy.api import ListUpdateKind, Outcome

if TYPE_CHECKING:
    from loadbalancer.node.client.request import ClientRequest
    from loadbalancer.node.features.host import NodeFeatureHost
    from loadbalancer.node.requests.open_request import OpenRequest
    from loadbalancer.node.upstream.response import Response as Reply

NS_PER_US = 1_000


class NodeEvents:
    """Passes the node's events to its features.

    A follower is a feature that overrides `on_version`, `on_list_update` or `on_attempt_end`.

    Attributes:
        host: The feature host of the node.
        node: The node.
        has_followers: Whether any running feature is a follower.
        known_endpoints: The endpoint list as discovery and peers sent it; kept while there are followers.
        attempt_features: The features that override `on_attempt_end`.
        key_of: Returns a request's shard key; None if no feature provides it.
        hit_of: Returns whether a response came from a cache; None if no feature provides it.
    """

    def __init__(self, host: NodeFeatureHost) -> None:
        self.host = host
        self.node = host.node
        self.has_followers = False
        self.known_endpoints = KnownEndpoints()
        self.attempt_features: list[Feature] = []
        self.key_of: Callable[[ClientRequest], bytes | None] | None = None
        self.hit_of: Callable[[Reply], bool | None] | None = None
        # Difference between the node's clock and that of the features, in microseconds.
        self._clock_offset_us = host.node.clock_offset_ns // NS_PER_US

    def update_followers(self) -> None:
        """Determines which of the running features follow which events, and connects them to the node."""
        if self.host.lifecycle.is_reconciling:
            return
        running = list(self.host.features.values())
        self.attempt_features = [
            feature for feature in running if overrides(feature, "on_attempt_end")
        ]
        had_followers = self.has_followers
        self.has_followers = any(
            overrides(feature, method)
            for feature in running
            for method in ("on_version", "on_list_update", "on_attempt_end")
        )
        self._find_request_callbacks(running)
        if self.host.on_approvers_changed is not None:
            self.host.on_approvers_changed()
        self.node.on_ended = self.on_attempt_end if self.attempt_features else None
        if self.has_followers and not had_followers:
            self._begin_following()

    def _find_request_callbacks(self, running: list[Feature]) -> None:
        self.key_of = self.hit_of = None
        for feature in running:
            if self.key_of is None and feature.key_of is not None:
                self.key_of = self.host.guarded(feature, feature.key_of, None)
            if self.hit_of is None and feature.hit_of is not None:
                self.hit_of = self.host.guarded(feature, feature.hit_of, None)

    def _begin_following(self) -> None:
        """Announces the versions and requests the endpoint list again: no feature has received them."""
        self.known_endpoints = KnownEndpoints(midway=self.node.named is not None)
        self.host.versions.restart()
        if self.node.listed is not None or self.node.named is not None:
            self.host.fetch_endpoint_list()

    # ---- the endpoint list -----------------------------------------------------------------------------

    def on_list_update(self, listing: Listing, more: bool) -> Listing:
        """Handles an update from discovery before the node applies it.

        Args:
            listing: The update.
            more: Whether further parts of a long list follow.

        Returns:
            The update, with the lines from peers merged in where they are still valid.
        """
        if not self.has_followers:
            return listing
        origin = self.host.discovery_origin()
        amended = self.known_endpoints.amend(listing, origin, more)
        self.known_endpoints.update(listing, origin, more)
        digest = self.known_endpoints.digest()
        version = Version(VersionSource.LIST, origin, listing.version, digest)
        update = ListUpdate(version, listing.kind, listing.lines, more)
        for feature in list(self.host.features.values()):
            self.host.run_guarded(feature, feature.on_list_update, update)
        if version.digest:
            self.host.announce_version(version)
        return amended

    def on_list_applied(self) -> None:
        """Called when the node has applied an update; merges peers' lines that were deferred until then."""
        deferred = self.known_endpoints.take_deferred_lines()
        if deferred:
            self.merge_peer_lines(deferred)

    def merge_peer_lines(self, lines: tuple[Line, ...]) -> None:
        """Applies endpoint lines that peers hold, in the safe direction."""
        origin, now = self.host.discovery_origin(), self.node.now()
        safe = self.known_endpoints.merge(lines, origin, now)
        if safe:
            version = self.known_endpoints.version
            self.node.take(Listing(ListUpdateKind.CHANGES, version, safe), False)

    # ---- attempts --------------------------------------------------------------------------------------

    def on_attempt_end(
        self,
        request: OpenRequest,
        server: int,
        started_at_us: int,
        outcome: Outcome,
        answer: Reply | None,
    ) -> None:
        """Passes an ended attempt to the features that follow attempts; this is on the request path.

        Args:
            request: The request that the attempt belongs to.
            server: Number of the server.
            started_at_us: Start of the attempt, in microseconds on the node's clock.
            outcome: Result of the attempt.
            answer: The server's response; None if there is none.
        """
        ended_at_us = self.host.now()
        cache_hit = shard_key = None
        if self.hit_of is not None and answer is not None:
            cache_hit = self.hit_of(answer)
        if self.key_of is not None:
            shard_key = self.key_of(request.message)
        end = AttemptEnd(
            self.known_endpoints.names.get(server) or f"#{server:016x}",
            self.node.table.names[request.class_index],
            outcome,
            started_at_us - self._clock_offset_us,
            ended_at_us,
            cache_hit,
            shard_key,
        )
        for feature in self.attempt_features:
            try:
                feature.on_attempt_end(end)
            except Exception as error:
                self.host.fail(feature, error_line(error))
