"""The endpoints of which something is known: members, former members, and those with a call out."""

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

FORMER_MEMBERS_MOST = 64  # what was learned of so many former members is kept


class EndpointTable:
    """Endpoints by number, and the attempts that count in no endpoint's calls in flight.

    Attributes:
        endpoints: What is known of each endpoint, by its number.
        off_limit_attempts: By request, where an attempt is out that takes no place: its body is
            incomplete, or its answer flows to the client.
    """

    def __init__(self, slow_start: SlowStart, outliers: OutlierDetector) -> None:
        """Starts empty."""
        self.slow_start = slow_start
        self.outliers = outliers
        self.reports = slow_start.reports
        self.endpoints: dict[int, Endpoint] = {}
        self.kinds: dict[int, RunningMean] = {}
        self.weights: Mapping[int, float] = {}
        self.off_limit_attempts: dict[int, Endpoint] = {}

    def learn_of(self, now: int, listed: ListedEndpoint) -> Endpoint:
        """What is known of a listed endpoint, from now on at the least.

        A new one is taken to hold what endpoints hold on average, or an instance that takes in members of
        which it knows nothing would send all it has to them.
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
        """Takes in what the list says of an endpoint of which something is known."""
        if endpoint.started_at != listed.started_at:
            if endpoint.ejected:
                self.outliers.readmit(endpoint)
            endpoint.restart(listed.started_at)
        endpoint.listed = True
        endpoint.cell, endpoint.zone = listed.cell, listed.zone
        self.slow_start.start_warming(now, endpoint, listed.started_at)

    def unlist(self, endpoint: Endpoint) -> None:
        """The endpoint drains or is gone: nothing new goes to it from now on."""
        endpoint.listed = False
        if endpoint.ejected:
            self.outliers.readmit(endpoint)
        endpoint.is_member = False

    def unlist_missing(self, endpoint_list: EndpointList) -> None:
        """Unlists every endpoint that the list lacks."""
        for endpoint in self.endpoints.values():
            if endpoint_list.get(endpoint.id) is None:
                self.unlist(endpoint)

    def forget_idle(self) -> None:
        """Drops what is known of endpoints that are gone, and of all but the latest former members.

        An endpoint with a call out stays, also where that call takes no place: what became of it must be
        counted, and tells whether a request may have run.
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
            if index < len(idle) - FORMER_MEMBERS_MOST or not endpoint.listed:
                del self.endpoints[endpoint.id]

    def update_weights(self, weights: Mapping[int, float] | None) -> None:
        """Takes the weights of draws by endpoint; 1 for those that are not named."""
        self.weights = weights or {}
        for endpoint in self.endpoints.values():
            endpoint.weight = self.weights.get(endpoint.id, 1.0)
