"""Computes weights, from the nodes' request rates, by which nodes select servers so that all get equal load.

Each node sends its rate to the servers of its subset, and each server should receive an equal share. This is
a matrix scaling problem (rows: the nodes' rates; columns: the servers' shares; zero outside of the subsets).
It is solved iteratively with one factor per server, the same for all nodes: each sweep multiplies the factor
by the server's target load over its expected load. A node selects its members by their factors. All nodes
that hold the same records compute the same factors, so none needs to know another's weights.

A node draws two members at a time and selects one of them, so in a small subset a member with a large factor
gets less than its factor's share; the sweeps account for that.

Pure: no I/O, no clock, no randomness. The generators yield between slices of the work, so that the caller can
pause there.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import ceil, exp, log

from loadbalancer.forecast.subsets import subset_size
from loadbalancer.policy.endpoint_list import EndpointList
from loadbalancer.policy.subset import SUBSET_BOUND, Kinds, subset_slice
from loadbalancer.spread.rate_report import RateReport

# Bounds of a server's factor, applied after the factors have been scaled to a geometric mean of 1.
MIN_FACTOR, MAX_FACTOR = 0.25, 4.0
MAX_SWEEPS = 40  # sweeps after which the factors are used as they are
# Sweeps end once the load of every server is within this ratio of its target.
TOLERANCE_RATIO = 0.01
SLICE_MEMBERS = 2_000  # members visited between two yields
ROW_COST_MEMBERS = 20  # cost of creating a row, in visited members
MEAN_NODE_MEMBERS = 4.0  # subset size, in servers, of a node with the mean rate
# Fraction of the distance to the target, in octaves, that one step covers.
STEP_RATIO = 0.25
CONVERGED_RATIO = 0.01  # a factor within this ratio of its target is set to the target
MIN_REPORTED_RATIO = 0.5  # no weights if a smaller fraction of the members has reported
MIN_REPORTS = 2  # no weights with fewer reports


@dataclass(frozen=True, slots=True)
class SubsetRow:
    """The total rate of all nodes that have the same subset.

    Attributes:
        members: Columns of the subset's servers, from 0.
        rate: Requests a second of these nodes together.
    """

    members: tuple[int, ...]
    rate: float


def min_subset_size(rate: float, mean_rate: float, nodes: int, servers: int) -> int:
    """Returns the minimum number of servers that a node should use, by its rate and the mean of all nodes.

    A node with the mean rate uses `MEAN_NODE_MEMBERS` servers, times the number of servers per node if there
    are more servers than nodes. A node with a lower rate uses proportionally fewer, and one with a higher
    rate uses more by the square of its rate, so that it adds no more to the variance of the servers' load
    than any other node.

    A busy node's traffic is thus divided over enough servers that none of them gets more from this node alone
    than the other nodes' weights can compensate for.

    Args:
        rate: The node's requests a second.
        mean_rate: Mean requests a second of all nodes.
        nodes: Number of nodes that share the servers.
        servers: Number of servers.
    """
    if rate <= 0 or mean_rate <= 0:
        return 0
    relative_rate = rate / mean_rate
    return min(
        SUBSET_BOUND,
        servers,
        ceil(
            MEAN_NODE_MEMBERS
            * max(1.0, servers / nodes)
            * max(relative_rate, relative_rate**2)
        ),
    )


def completed_reports(
    live: Sequence[str], reports: Mapping[str, RateReport], default_size: int
) -> list[RateReport] | None:
    """Returns one report for each live member; None if too few members have reported.

    A member that has not reported is assumed to have the mean rate, `default_size` servers, and its position
    in the sorted names.

    Args:
        live: Names of the live members.
        reports: The received reports by member.
        default_size: Subset size of members that have not reported, in servers.
    """
    known = [reports[name] for name in live if name in reports]
    if len(known) < MIN_REPORTED_RATIO * len(live) or len(known) < MIN_REPORTS:
        return None
    mean_rate = sum(report.rate for report in known) / len(known)
    return [
        reports[name]
        if name in reports
        else RateReport(mean_rate, default_size, position, len(live))
        for position, name in enumerate(sorted(live))
    ]


def subset_rows(
    endpoint_list: EndpointList, zone: int | None, reports: Sequence[RateReport]
) -> Iterator[tuple[list[int], list[SubsetRow]]]:
    """Computes the servers of a zone (None: of all zones) and the nodes' subsets of them.

    Nodes with the same subset share a row, so the number of rows is bounded by the servers, not by the nodes.

    Yields:
        Two empty lists while the work continues; finally the ids of the servers in the order of the columns,
        and the rows.
    """
    zone_orders = [
        kinds
        for order_zone, kinds in sorted(endpoint_list.orders.items())
        if zone is None or order_zone == zone
    ]
    ids = _server_ids(endpoint_list, zone_orders)
    columns = {server: column for column, server in enumerate(ids)}
    members_of: dict[tuple[int, int, int], tuple[int, ...]] = {}
    rates: dict[tuple[int, ...], float] = {}
    visited = 0
    for report in reports:
        key = (report.index, report.count, report.size)
        if key not in members_of:
            members = _subset_columns(endpoint_list, zone_orders, report, columns)
            members_of[key] = members
            visited += ROW_COST_MEMBERS + len(members)
        rates[members_of[key]] = rates.get(members_of[key], 0.0) + report.rate
        if visited >= SLICE_MEMBERS:
            visited = 0
            yield [], []
    yield (
        ids,
        [
            SubsetRow(members, rate)
            for members, rate in rates.items()
            if members and rate > 0
        ],
    )


def _server_ids(endpoint_list: EndpointList, zone_orders: Sequence[Kinds]) -> list[int]:
    """Returns the ids of the valid servers of these zones, in the order of the columns."""
    return [
        listed.id
        for kinds in zone_orders
        for order in kinds.values()
        for listed in endpoint_list.valid(order.window(0, len(order)))
    ]


def _subset_columns(
    endpoint_list: EndpointList,
    zone_orders: Sequence[Kinds],
    report: RateReport,
    columns: Mapping[int, int],
) -> tuple[int, ...]:
    """Returns the columns of the servers that a node with this report uses."""
    members: list[int] = []
    for kinds in zone_orders:
        size = subset_size(
            sum(map(len, kinds.values())), report.count, report.size, report.size
        )
        selected = subset_slice(endpoint_list, kinds, report.index, report.count, size)
        members += (columns[listed.id] for listed in selected if listed.id in columns)
    return tuple(members)


def expected_loads(
    factors: Sequence[float], rows: Sequence[SubsetRow]
) -> Iterator[list[float] | None]:
    """Computes the load of each server if all nodes draw two members by these factors and select one of them.

    Yields:
        None while the work continues; finally the requests a second of each server.
    """
    loads = [0.0] * len(factors)
    visited = 0
    for row in rows:
        members = row.members
        if len(members) == 1:
            loads[members[0]] += row.rate
        else:
            member_factors = [factors[member] for member in members]
            total = sum(member_factors)
            # A member is drawn with the probability factor / total * (1 + sum of the other members' odds),
            # and is selected in half of these cases.
            odds = [factor / (total - factor) for factor in member_factors]
            odds_sum, scale = 1 + sum(odds), row.rate / (2 * total)
            for member, factor, own_odds in zip(
                members, member_factors, odds, strict=True
            ):
                loads[member] += scale * factor * (odds_sum - own_odds)
        visited += len(members)
        if visited >= SLICE_MEMBERS:
            visited = 0
            yield None
    yield loads


def fitted_factors(
    count: int, rows: Sequence[SubsetRow]
) -> Iterator[list[float] | None]:
    """Computes the factors of `count` servers.

    Yields:
        None while the work continues; finally the factors in the order of the columns.
    """
    factors = [1.0] * count
    total_rate = sum(row.rate for row in rows)
    if count == 0 or total_rate <= 0:
        yield factors
        return
    target_load = total_rate / count
    for _ in range(MAX_SWEEPS):
        loads: list[float] | None = None
        for loads in expected_loads(factors, rows):
            if loads is None:
                yield None
        assert loads is not None
        if max(loads) <= target_load * (1 + TOLERANCE_RATIO) and min(
            loads
        ) >= target_load * (1 - TOLERANCE_RATIO):
            break
        scaled = [
            factor * target_load / load if load > 0 else factor
            for factor, load in zip(factors, loads, strict=True)
        ]
        geometric_mean = exp(sum(map(log, scaled)) / count)
        factors = [
            min(MAX_FACTOR, max(MIN_FACTOR, factor / geometric_mean))
            for factor in scaled
        ]
    yield factors


def factors_by_server(
    endpoint_list: EndpointList, zone: int | None, reports: Sequence[RateReport]
) -> Iterator[dict[int, float] | None]:
    """Computes the factors by server id for these reports, in slices of some tenths of a millisecond.

    Args:
        endpoint_list: The servers.
        zone: The zone whose servers are used; None for all zones.
        reports: One report for each node.

    Yields:
        None while the work continues; finally the factors.
    """
    ids: list[int] = []
    rows: list[SubsetRow] = []
    for step in subset_rows(endpoint_list, zone, reports):
        ids, rows = step
        yield None
    for factors in fitted_factors(len(ids), rows):
        yield None if factors is None else dict(zip(ids, factors, strict=True))


def next_factors(
    current: Mapping[int, float], target: Mapping[int, float]
) -> dict[int, float]:
    """Returns the factors one step closer to their targets. Servers without an entry have a factor of 1.

    One step covers only a fraction of the distance, so new targets never move the traffic of all nodes at
    once.
    """
    factors = {}
    for server in current.keys() | target.keys():
        old, new = current.get(server, 1.0), target.get(server, 1.0)
        if abs(new / old - 1) > CONVERGED_RATIO:
            new = old * (new / old) ** STEP_RATIO
        if new != 1.0:
            factors[server] = new
    return factors


def relative_weights(
    factors: Mapping[int, float], members: Sequence[int]
) -> dict[int, float]:
    """Returns the selection weights of members relative to the largest factor; only those below 1."""
    largest = max((factors.get(member, 1.0) for member in members), default=1.0)
    weights = {member: factors.get(member, 1.0) / largest for member in members}
    return {member: weight for member, weight in weights.items() if weight < 1.0}
