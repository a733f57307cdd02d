"""Merges the key reports of all nodes and fills in averages for nodes that have not reported."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.forecast.key_digest import KeyDigest, merge_in_slices
from loadbalancer.forecast.key_records import NodeKeyReport
from loadbalancer.forecast.popularity import popularity_drift
from loadbalancer.forecast.sliced_work import SlicedWork
from loadbalancer.forecast.subsets import NodeInfo

RingPosition = tuple[int, int]
"""A node's index among the nodes, from 0, and the number of nodes."""


@dataclass(frozen=True)
class FleetKeys:
    """The key reports of the fleet's nodes and their sum.

    Attributes:
        reports: Reports by node.
        digest: The merged counts of all nodes that reported.
        divergent_fraction: Fraction of the requests by which the keys of single nodes differ from those of
            all nodes together.
    """

    reports: Mapping[str, NodeKeyReport]
    digest: KeyDigest
    divergent_fraction: float

    @property
    def rate(self) -> float:
        """Requests a second of the nodes that reported."""
        return sum(report.digest.rate for report in self.reports.values())

    @property
    def mean_rate(self) -> float:
        """Mean requests a second of a node that reported."""
        return self.rate / max(1, len(self.reports))

    def total_rate(self, nodes: int) -> float:
        """Returns the requests a second of a number of nodes; silent ones count as average nodes."""
        return self.rate + self.mean_rate * (nodes - len(self.reports))

    def nodes(
        self,
        names: Sequence[str],
        ring_positions: Mapping[str, RingPosition],
        own_size: int,
    ) -> list[NodeInfo]:
        """Returns what is known of the nodes; silent ones count as average nodes.

        Args:
            names: The live nodes, in the order of their ring positions.
            ring_positions: Positions of nodes that differ from those by `names`.
            own_size: Number of servers that this node wants in its subset; assumed for nodes that do not
                report theirs.
        """
        mean_rate, infos = self.mean_rate, []
        for index, name in enumerate(names):
            report = self.reports.get(name)
            size, rate = own_size, mean_rate
            if report is not None:
                size, rate = report.subset_size or own_size, report.digest.rate
            position, count = ring_positions.get(name, (index, len(names)))
            infos.append(NodeInfo(position, count, size, rate))
        return infos


def merge_reports(reports: Mapping[str, NodeKeyReport]) -> SlicedWork[FleetKeys]:
    """Merges the nodes' reports.

    Args:
        reports: Reports by node.
    """
    digest = yield from merge_in_slices([report.digest for report in reports.values()])
    divergent_fraction = 0.0
    for report in reports.values():
        divergent_fraction += (
            popularity_drift(digest, report.digest)
            * report.digest.requests
            / max(1, digest.requests)
        )
        yield
    return FleetKeys(reports, digest, divergent_fraction)
