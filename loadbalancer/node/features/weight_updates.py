"""Reports this node's request rate, reads the rates of other nodes, and sets the weights of `[spread]`.

The decisions are made in `loadbalancer.spread`; this module provides the clock, the records and the node's
event loop, on which weights are computed in slices of half a millisecond. Each node updates about once a
second, with jitter, so that the nodes do not update at the same time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

from loadbalancer.node.features.feature import Feature
from loadbalancer.node.features.host import NodeFeatureHost
from loadbalancer.policy.subset import SUBSET_LEAST, SUBSET_MOST
from loadbalancer.records.interface import Records
from loadbalancer.spread import weights as spread_weights
from loadbalancer.spread.rate_report import (
    KIND,
    RateMeter,
    RateReport,
    decode,
    encode,
)

UPDATE_INTERVAL_S = 1.0  # mean time between two updates
# The time between two updates lies between 0.75 and 1.25 times the mean.
JITTER_BASE_RATIO, JITTER_SPAN_RATIO = 0.75, 0.5
SLICE_US = 500  # elapsed time after which a slice of a computation ends
SLICE_PAUSE_S = 0.002  # pause between two slices
REST_RATIO = 100  # pause between two computations, as a multiple of the time that the last one took
# The least size is reduced once the required one is below this fraction of it.
NARROWING_RATIO = 0.6


@dataclass(frozen=True, slots=True)
class ComputationInputs:
    """The inputs of a computation of target factors; a new computation starts only if one has changed.

    Attributes:
        zone: The zone whose servers are shared; None if the servers of all zones are shared.
        reports: The rate reports, one for each live member.
        valid_from: The generation of the endpoint list.
        endpoints_hash: Hash of the numbers of the listed endpoints.
    """

    zone: int | None
    reports: list[RateReport]
    valid_from: int
    endpoints_hash: int


class WeightUpdates:
    """Exchanges rate reports and keeps this node's weights current while `[spread] weights` is on.

    Attributes:
        reports: The last rate report of each member.
        factors: The factors in force, by server number.
        target_factors: The factors that `factors` approaches, by server number; empty for equal factors.
        weights: The weights last passed to the balancer; None if there are none.
    """

    def __init__(self, feature: Feature, host: NodeFeatureHost) -> None:
        """Starts the updates.

        Args:
            feature: The feature that the host runs the updates for; a failure stops this feature.
            host: The node's feature host.
        """
        self.feature, self.host, self.node = feature, host, host.node
        node = self.node
        self.random = Random(node.config.seed + 1)
        self.rate_meter = RateMeter(node.now(), node.metrics.forwards)
        self.records: Records | None = None
        self.versions: dict[str, int] = {}  # versions of the records read, by owner
        self.reports: dict[str, RateReport] = {}
        self.factors: dict[int, float] = {}
        self.target_factors: dict[int, float] = {}
        self.inputs: ComputationInputs | None = None  # inputs of the last computation
        self.computation: Iterator[dict[int, float] | None] | None = None
        self.last_computation_us = self.spent_us = 0
        # Earliest start of the next computation, by the node's clock (`Node.now`) in microseconds.
        self.rest_until = 0
        self.weights: dict[int, float] | None = None
        self.timer = node.loop.call_later(
            UPDATE_INTERVAL_S * self.random.random(), self._on_timer
        )
        self.slice_timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Stops the updates and removes their effect on weights and on the subset's size."""
        for handle in (self.timer, self.slice_timer):
            if handle is not None:
                handle.cancel()
        if not self.host.ending:
            if self.records is not None:
                self.records.put(KIND, b"")
            self.node.post(self.node.balancer.update_weights, None)
            self._set_least_members(0)

    def _on_timer(self) -> None:
        self.timer = self.node.loop.call_later(
            UPDATE_INTERVAL_S
            * (JITTER_BASE_RATIO + JITTER_SPAN_RATIO * self.random.random()),
            self._on_timer,
        )
        self.host.run_guarded(self.feature, self.update)

    def update(self) -> None:
        """Reports the rate, reads the other members' reports, and moves the weights towards their targets."""
        node, now = self.node, self.node.now()
        rate_code = self.rate_meter.update(now, node.metrics.forwards)
        members = self.host.members
        if members is None:
            return
        # Read each time, because the membership may have been restarted since the last update.
        self.records = members.records()
        index, count = node.settings.position
        if rate_code >= 0:
            body = encode(rate_code, self._subset_size(), index % count, count)
            self.records.put(KIND, body)
        live, zone = self._sharing_members()
        reports = (
            spread_weights.completed_reports(live, self.reports, SUBSET_LEAST)
            if self._read_reports(self.records, live)
            else None
        )
        if reports is None:
            # The node is partitioned or has just started: the factors return to equal ones. The subset is
            # not narrowed, as a wider subset does no harm.
            self.target_factors, self.inputs, self.computation = {}, None, None
        else:
            self._update_targets(now, zone, reports)
        self.factors = spread_weights.next_factors(self.factors, self.target_factors)
        subset_ids = [member.id for member in node.balancer.subset.members]
        self._set_weights(spread_weights.relative_weights(self.factors, subset_ids))

    def _subset_size(self) -> int:
        """Returns the size to report for the subset.

        The minimum size applies if the list has more than `SUBSET_MOST` endpoints for each instance.
        """
        balancer, settings = self.node.balancer, self.node.settings
        least = max(1, settings.min_subset_size)
        return (
            least
            if len(balancer.subset.endpoint_list) > SUBSET_MOST * settings.position[1]
            else max(least, balancer.subset.size)
        )

    def _sharing_members(self) -> tuple[list[str], int | None]:
        """Returns the live members that share servers with this node, and the zone that they share.

        While requests are not kept within their zone these are all live members and None.
        """
        live, members = self.host.live_members(), self.host.members
        if not self.node.balancer.spill.enabled or members is None:
            return live, None
        zones = {member.name: member.zone for member in members.view()}
        own_zone = self.host.zone()
        same_zone = [name for name in live if zones.get(name, own_zone) == own_zone]
        return same_zone, self.node.settings.zone

    def _read_reports(self, records: Records, live: list[str]) -> bool:
        """Reads new reports of live members; returns whether enough members have a fresh report."""
        live_names, gone, fresh = set(live), set(self.versions), 0
        for record in records.of(KIND):
            if record.owner not in live_names:
                continue
            gone.discard(record.owner)
            if self.versions.get(record.owner) != record.version:
                self.versions[record.owner] = record.version
                try:
                    self.reports[record.owner] = decode(record.body)
                except ValueError:  # sent by another release; the mean rate is assumed
                    self.reports.pop(record.owner, None)
            fresh += not record.stale and record.owner in self.reports
        # A member that is no longer live, or has withdrawn its report, selects without weights; its rate
        # is assumed to be the mean.
        for owner in gone:
            del self.versions[owner]
            self.reports.pop(owner, None)
        return fresh >= spread_weights.MIN_REPORTED_RATIO * len(live)

    def _update_targets(
        self, now: int, zone: int | None, reports: list[RateReport]
    ) -> None:
        """Sets the subset's least size, and starts a computation if any input has changed."""
        endpoint_list = self.node.balancer.subset.endpoint_list
        servers = (
            len(endpoint_list) if zone is None else endpoint_list.ready.get(zone, 0)
        )
        own = self.reports.get(self.host.name)
        mean = sum(report.rate for report in reports) / len(reports)
        least = (
            spread_weights.min_subset_size(own.rate, mean, len(reports), servers)
            if own is not None
            else 0
        )
        in_force = self.node.spread_members
        if not NARROWING_RATIO * in_force <= least <= in_force:
            self._set_least_members(least)
        endpoints_hash = hash(tuple(endpoint_list.endpoints))
        inputs = ComputationInputs(
            zone, reports, endpoint_list.valid_from, endpoints_hash
        )
        if (
            inputs != self.inputs
            and now >= self.rest_until
            and self.slice_timer is None
        ):
            self.inputs, self.spent_us = inputs, 0
            self.computation = spread_weights.factors_by_server(
                endpoint_list, zone, reports
            )
            self.slice_timer = self.node.loop.call_later(0, self._on_slice_timer)

    def _on_slice_timer(self) -> None:
        self.slice_timer = None
        self.host.run_guarded(self.feature, self._compute_slice)

    def _compute_slice(self) -> None:
        """Computes for `SLICE_US`; applies the target factors once they are complete."""
        started_at = now = self.node.now()
        factors = None
        while (
            self.computation is not None
            and factors is None
            and now - started_at < SLICE_US
        ):
            factors = next(self.computation)
            now = self.node.now()
        self.spent_us += now - started_at
        if factors is not None:
            self.target_factors, self.computation = factors, None
            self.last_computation_us = self.spent_us
            self.rest_until = now + REST_RATIO * self.last_computation_us
        elif self.computation is not None:
            self.slice_timer = self.node.loop.call_later(
                SLICE_PAUSE_S, self._on_slice_timer
            )

    def _set_weights(self, weights: dict[int, float]) -> None:
        """Passes the weights to the balancer if they have changed."""
        if weights != self.weights:
            self.weights = weights
            self.node.post(self.node.balancer.update_weights, weights)

    def _set_least_members(self, least: int) -> None:
        """Sets the least size of the node's subset, in servers."""
        if least != self.node.spread_members:
            self.node.spread_members = least
            self.node.apply_settings(self.node.table.settings)

    def metrics(self) -> dict[str, Any]:
        """Returns the rate, reports, members and weights, under their published names."""
        own, weights = self.reports.get(self.host.name), (self.weights or {}).values()
        targets = self.target_factors.values()
        return {
            "rate": round(own.rate, 2) if own is not None else None,
            "told": len(self.reports),
            "members": len(self.node.balancer.subset.members),
            "least_members": self.node.spread_members,
            "least_weight": round(min(weights, default=1.0), 3),
            "lowest": round(min(targets, default=1.0), 3),
            "highest": round(max(targets, default=1.0), 3),
            "took_ms": self.last_computation_us / 1000,
        }
