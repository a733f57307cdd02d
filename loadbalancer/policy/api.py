"""The interface of the policy: settings, endpoints, outcomes, actions and events.

Times are integers in microseconds, read from one monotonic clock that the host passes in as `now`.
This module names everything that a host needs to embed `loadbalancer.policy.balancer.Balancer`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from loadbalancer.policy.settings import (
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
    SettingsError,
    TenantSettings,
)

__all__ = [
    "NEVER_RAN",
    "Actions",
    "DeduplicationScope",
    "EndpointEntry",
    "EndpointState",
    "Events",
    "Idempotency",
    "ListUpdateKind",
    "Outcome",
    "RequestClass",
    "RetryStormPolicy",
    "Settings",
    "SettingsError",
    "TenantSettings",
    "ZoneDecision",
    "ZoneFailoverPolicy",
    "ZoneObservation",
]


class Outcome(IntEnum):
    """How an attempt ended. The first three outcomes prove that the endpoint did not run the request."""

    REJECTED = (
        0  # the endpoint refused it without running it: its queue is full, or it drains
    )
    CONNECT_FAILED = (
        1  # there was no connection, or the request was not sent completely
    )
    NOT_SENT = 2  # the host did not send it; says nothing about the endpoint's health
    OK = 3
    ERROR = 4  # an answer with an error
    TIMEOUT = 5
    RESET = 6  # the connection failed after the request was sent
    CANCELLED = 7  # the host stopped waiting for the answer
    UNKNOWN = 8  # an outcome that the host does not recognise: the request may have run


# Outcomes that prove that the endpoint did not run the request.
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class EndpointState(IntEnum):
    """The state of an endpoint in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(IntEnum):
    """The kind of an update of the endpoint list."""

    CHANGES = 0
    FULL = 1
    CACHED = 2  # a full list from before this instance started, which may be stale
    FAILED = 3  # a watch or fetch failed; the present list stays in use


@dataclass(frozen=True)
class EndpointEntry:
    """One entry of the endpoint list.

    Attributes:
        endpoint: The endpoint's number.
        state: The endpoint's state.
        cell: The number of its cell.
        zone: The number of its zone.
        kind: The number of its kind of machine.
        weight: Its weight, if the weights of the list can be compared.
        started_at: When its process last started, in microseconds; 0 if long ago.
    """

    endpoint: int
    state: EndpointState = EndpointState.READY
    cell: int = 0
    zone: int = 0
    kind: int = 0
    weight: float = 1.0
    started_at: int = 0


@dataclass(frozen=True)
class ZoneObservation:
    """What one instance observes of the zones. Counts cover the time since the last decision.

    Attributes:
        ready: The number of ready endpoints by zone, with those that a full list left out but no sweep has
            removed yet.
        warm: The capacity of the listed endpoints, counted in warm endpoints, by zone.
        unhealthy: The fraction of this instance's members that fail or are ejected, by zone.
        requests_by_class: Requests that arrived, by class.
        attempts_by_zone: Attempts that were sent, by zone.
        cost_by_class: The cost of a call by class, in any unit.
        priority_weights: The priority weights by class.
        instances: The number of instances that send to this tier.
        healthy: Whether latency is within its target and few calls are lost.
        may_reject: Whether load that exceeds the capacity of all zones may be rejected. Below the first tier
            it may not, and waits instead.
    """

    ready: Mapping[int, int]
    warm: Mapping[int, float]
    unhealthy: Mapping[int, float]
    requests_by_class: Sequence[int]
    attempts_by_zone: Mapping[int, int]
    cost_by_class: Sequence[float]
    priority_weights: Sequence[float]
    instances: int
    healthy: bool
    may_reject: bool = True


@dataclass(frozen=True)
class ZoneDecision:
    """How this instance's calls are divided between zones until the next decision.

    Attributes:
        shares: The zones in order of preference, each with its fraction of the calls that are not rejected.
            If empty, there is no preference.
        reject: The fraction of each class that is rejected at once because no zone has capacity for it. If
            empty, nothing is rejected.
        panic: Whether so few endpoints are healthy that none is avoided.
        rate: Calls per second that a warm endpoint of the own zone can take from one instance; 0 if unknown.
    """

    shares: tuple[tuple[int, float], ...]
    reject: tuple[float, ...] = ()
    panic: bool = False
    rate: float = 0.0


class ZoneFailoverPolicy(Protocol):
    """Decides how calls are divided between zones; see `loadbalancer.policy.zone_failover`."""

    def decide(self, now: int, observation: ZoneObservation) -> ZoneDecision:
        """Returns the decision that holds until the next call.

        Args:
            now: The time in microseconds.
            observation: What the instance has observed since the last decision.
        """

    def metrics(self) -> dict[str, float]:
        """Returns the policy's metrics for operators, by name."""


class RetryStormPolicy(Protocol):
    """Decides which requests are admitted while many clients retry; see `loadbalancer.policy.retry_storm`."""

    def update_classes(self, priority_weights: Sequence[float]) -> None:
        """Applies changed request classes.

        Args:
            priority_weights: The priority weights by class.
        """

    def admits(
        self, now: int, class_index: int, repeat: bool, time_left: int, needed: float
    ) -> bool:
        """Returns whether a request may proceed to the concurrency limit.

        Args:
            now: The time in microseconds.
            class_index: The request's class.
            repeat: Whether the client marked the request as a retry.
            time_left: The client's remaining time in microseconds.
            needed: The mean round-trip time of the request's class, in microseconds.
        """

    def record_end(self, now: int, class_index: int, served: bool) -> None:
        """Counts an admitted request that ends with the outcome of an attempt.

        Requests that end by `Actions.fail`, or whose client has disconnected, are not counted.

        Args:
            now: The time in microseconds.
            class_index: The request's class.
            served: Whether that outcome was OK; if not, the request failed.
        """

    def record_rejection(self, class_index: int, longest: int, base: int) -> int:
        """Counts a rejected request and computes when its client should retry.

        Args:
            class_index: The request's class.
            longest: The longest time after which the client may be asked to retry, in microseconds.
            base: The time to return outside a retry storm, in microseconds.

        Returns:
            The time after which the client should retry, in microseconds.
        """

    def metrics(self) -> dict[str, float]:
        """Returns the policy's metrics for operators, by name."""


class Actions(Protocol):
    """The actions that a Balancer requests from its host.

    An action takes effect at the `now` of the event that is being handled. Requests, attempts, endpoints
    and peers are identified by number.
    """

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt at an endpoint.

        Exactly one `outcome` event follows, within `timeout` microseconds.
        """

    def cancel(self, request: int, attempt: int) -> None:
        """Stops waiting for an attempt; its `outcome` event still follows."""

    def reject(self, request: int, retry_after: int) -> None:
        """Answers finally that the request was not served and may safely be retried.

        The client should wait for `retry_after` microseconds before it retries.
        """

    def fail(self, request: int) -> None:
        """Answers finally that the request failed; whether it had effects is unknown."""

    def check_health(self, server: int) -> None:
        """Checks the health of an endpoint; one `health_checked` event follows."""

    def set_timer(self, delay: int, token: int) -> None:
        """Requests a `timer` event with this token after `delay` microseconds; it cannot be cancelled."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Sends a short message to another instance of this tier, or to all if `peer` is -1."""

    def watch(self, on: bool) -> None:
        """Subscribes to changes of the endpoint list, or unsubscribes if `on` is false."""

    def fetch(self) -> None:
        """Requests the full endpoint list once."""

    def close(self, server: int) -> None:
        """Closes the idle connections to an endpoint."""

    def log(self, text: str) -> None:
        """Logs a change of state."""


class Events(Protocol):
    """The events that a host passes to a Balancer, which implements all of these methods.

    `now` is in microseconds and never decreases. `start` is the first event and occurs once. An endpoint list
    should follow before the first request, so that requests find endpoints.
    Actions are requested only while an event is being handled. An event about a request, attempt or endpoint
    that is no longer known is ignored.
    """

    def start(self, now: int) -> None:
        """The instance starts. If the endpoint list must be polled, it starts polling by `Actions.watch`."""

    def update_settings(self, now: int, settings: Settings) -> None:
        """The settings change for requests that arrive from now on; open requests keep their settings.

        An index that is in use does not change its meaning. While a request of a removed or changed class is
        open, that class keeps its index, with a weight of 0. A new class gets an index that no open request
        uses.
        """

    def update_zone_policy(
        self, now: int, zone_policy: ZoneFailoverPolicy | None
    ) -> None:
        """The zone policy changes, or is removed if None, from the next request on.

        What the balancer has learned stays.
        """

    def update_retry_storm_policy(
        self, now: int, retry_storm: RetryStormPolicy | None
    ) -> None:
        """The retry storm policy changes, or is removed if None, for requests that arrive from now on."""

    def update_weights(self, now: int, weights: Mapping[int, float] | None) -> None:
        """The weights of the draws change; a later call replaces all weights.

        Weights balance the load that other instances send unevenly. They affect only the random draws of
        endpoints: limits, slow start, ejection and slowness are unaffected. While there are weights, small
        differences in load between two drawn endpoints are ignored.

        Args:
            now: The time in microseconds.
            weights: By endpoint, the fraction of its draws that is accepted, above 0 up to 1; 1 for
                endpoints without an entry. None if the traffic of other instances is unknown.
        """

    def update_endpoints(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool = False,
    ) -> None:
        """An update of the endpoint list has arrived; updates arrive in the order of their versions.

        From now on no new call goes to an endpoint that is not ready or that a full list leaves out. A large
        full list may arrive in parts, one event each, with `more` true in all but the last one. Entries of a
        part count at once, and endpoints that the complete list leaves out are removed with the last part.
        Changes may arrive between the parts.

        Args:
            now: The time in microseconds.
            kind: The kind of the update.
            entries: The entries of the update; empty for a failed poll.
            more: Whether further parts of this full list follow.
        """

    def request(
        self,
        now: int,
        request: int,
        class_index: int,
        tenant: int,
        time_left: int,
        repeat: bool,
        complete: bool = True,
        preferred_endpoints: Sequence[int] = (),
    ) -> None:
        """A request with a new number has arrived. Exactly one final answer follows within `time_left`.

        The final answer is `reject`, `fail` or an outcome that is final. Requests of a class that is not in
        the settings are not retried, and a tenant that is not in the settings has no quota.

        Args:
            now: The time in microseconds.
            request: The request's number.
            class_index: The request's class.
            tenant: The request's tenant.
            time_left: How long the client waits, in microseconds.
            repeat: Whether the client marked the request as a retry.
            complete: Whether the entire request has arrived. If not, the endpoint starts to work on it only
                at the `request_complete` event that follows. `time_left`, and the timeout of an attempt that
                was sent before, count from that event.
            preferred_endpoints: Endpoints whose caches may hold the requested data. While one of them is a
                member and has capacity, the first attempt is drawn among them.
        """

    def request_complete(
        self, now: int, request: int, time_left: int | None = None
    ) -> None:
        """The entire request has arrived; its time counts from now on.

        Args:
            now: The current time in microseconds.
            request: The host's number of the request.
            time_left: The client's remaining time in microseconds, if some of it has passed unnoticed.
        """

    def not_replayable(self, now: int, request: int) -> None:
        """Part of the request is no longer buffered, so no further attempt can be sent."""

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """An attempt has ended. Exactly one such event follows each `send`, even after the request's end.

        If `final` is false and the request is open, an answer or a further attempt follows at once.

        Args:
            now: The time in microseconds.
            request: The request's number.
            attempt: The number of the attempt, from 0 for the first attempt of the request.
            server: The endpoint's number.
            outcome: How the attempt ended.
            latency: How long the attempt took, in microseconds.
            final: Whether the request needs no further answer, as after an answer that was passed on.
            report: The endpoint's load report, with the columns of `Settings.report_fields`, or empty.
        """

    def response_started(
        self, now: int, request: int, attempt: int, server: int, latency: int
    ) -> None:
        """An answer is being streamed; the request is bound to this attempt, whose outcome still follows.

        The endpoint's work counts as finished after `latency` microseconds, and no timeout applies any more.
        """

    def client_disconnected(self, now: int, request: int) -> None:
        """The client has disconnected, so the request needs no answer.

        The outcomes of its attempts in flight still follow.
        """

    def health_checked(
        self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None:
        """A health check that `check_health` requested has ended.

        Args:
            now: The time in microseconds.
            server: The endpoint's number.
            ok: Whether the endpoint is healthy.
            latency: How long the check took, in microseconds.
            report: The endpoint's load report, with the columns of `Settings.report_fields`, or empty.
        """

    def timer(self, now: int, token: int) -> None:
        """A timer is due; `token` is that of `set_timer`. Never occurs during the event that set it."""

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Another instance of this tier has sent a message by `send_to_peer`."""
