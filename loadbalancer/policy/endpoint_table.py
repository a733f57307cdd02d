"""Keeps the state of known endpoints: members, former members, and endpoints with a call in flight."""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.endpoint_list import EndpointList, ListedEndpoint
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.statistics import (
    MEAN_PRIOR_SAMPLES,
    SUBSET_SMOOTHING,
    RunningMean,
)

MAX_FORMER_MEMBERS = 64  # former members whose state is kept


class EndpointTable:
    """Holds the state of known endpoints, and the attempts that do not count as calls in flight.

    Attributes:
        slow_start: Starts the slow start of restarted endpoints.
        outliers: Readmits endpoints that restart or leave the list.
        reports: The queue lengths that endpoints report.
        endpoints: The state of each known endpoint, by its number.
        kinds: The latency of each kind of machine, by the kind's number.
        weights: The weights of the draws, by the endpoint's number; 1 for endpoints without an entry.
        off_limit_attempts: By request, the endpoint of an attempt that does not count as a call in flight,
            because its body is incomplete or its answer is being streamed to the client.
    """

    def __init__(self, slow_start: SlowStart, outliers: OutlierDetector) -> None:
        """Creates an empty table; the arguments are described with the attributes."""
        self.slow_start = slow_start
        self.outliers = outliers
        self.reports = slow_start.reports
        self.endpoints: dict[int, Endpoint] = {}
        self.kinds: dict[int, RunningMean] = {}
        self.weights: Mapping[int, float] = {}
        self.off_limit_attempts: dict[int, Endpoint] = {}

    def get_or_create(self, now: int, listed: ListedEndpoint) -> Endpoint:
        """Returns the state of a listed endpoint, and creates it for a new one.

        A new endpoint, unless it is cold, is assumed to hold as many requests as endpoints usually hold, or
        as members hold on average now if that is more. Otherwise an instance that adds unknown members would
        send all its calls to them.

        Args:
            now: The time in microseconds.
            listed: The endpoint's list entry.
        """
        endpoint = self.endpoints.get(listed.id)
        if endpoint is None:
            kind_latency = self.kinds.setdefault(
                listed.kind, RunningMean(1.0, MEAN_PRIOR_SAMPLES, SUBSET_SMOOTHING)
            )
            endpoint = self.endpoints[listed.id] = Endpoint(
                listed.id,
                listed.kind,
                kind_latency,
                listed.cell,
                listed.zone,
                listed.started_at,
            )
            endpoint.weight = self.weights.get(listed.id, 1.0)
            self.update(now, endpoint, listed)
            if endpoint.warming_until == 0:
                endpoint.reported_queue = max(
                    self.reports.usual_queue, self.reports.mean_of_members
                )
        return endpoint

    def update(self, now: int, endpoint: Endpoint, listed: ListedEndpoint) -> None:
        """Updates the state of a known endpoint from its list entry.

        A new start time means that the process was restarted: the learned state is then reset.
        """
        if endpoint.started_at != listed.started_at:
            if endpoint.ejected:
                self.outliers.readmit(endpoint)
            endpoint.restart(listed.started_at)
        endpoint.listed = True
        endpoint.cell, endpoint.zone = listed.cell, listed.zone
        self.slow_start.start_warming(now, endpoint, listed.started_at)

    def unlist(self, endpoint: Endpoint) -> None:
        """Marks an endpoint as draining or gone, so it gets no new calls."""
        endpoint.listed = False
        if endpoint.ejected:
            self.outliers.readmit(endpoint)
        endpoint.is_member = False

    def unlist_missing(self, endpoint_list: EndpointList) -> None:
        """Unlists every known endpoint that is not in the list."""
        for endpoint in self.endpoints.values():
            if endpoint_list.get(endpoint.id) is None:
                self.unlist(endpoint)

    def forget_idle(self) -> None:
        """Drops the state of idle endpoints, except for a number of listed ones.

        Of the idle endpoints, the last MAX_FORMER_MEMBERS that were added stay, as far as they are listed. An
        endpoint with a call in flight stays, including a call that does not count as one, because the call's
        outcome has to be counted and shows whether the request may have run.
        """
        off_limit = {endpoint.id for endpoint in self.off_limit_attempts.values()}
        idle = [
            endpoint
            for endpoint in self.endpoints.values()
            if not (
                endpoint.is_member or endpoint.in_flight or endpoint.id in off_limit
            )
        ]
        for index, endpoint in enumerate(idle):
            if index < len(idle) - MAX_FORMER_MEMBERS or not endpoint.listed:
                del self.endpoints[endpoint.id]

    def update_weights(self, weights: Mapping[int, float] | None) -> None:
        """Replaces the weights of the draws by endpoint number; 1 for endpoints without an entry."""
        self.weights = weights or {}
        for endpoint in self.endpoints.values():
            endpoint.weight = self.weights.get(endpoint.id, 1.0)
