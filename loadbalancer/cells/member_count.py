"""Counts the members of this node's cell and of the fleet; run once for each change of the membership.

A feature that receives only its cell's records but needs the sum over the fleet treats the cell as a sample,
zone by zone: it multiplies the sum of what the reporting nodes of a zone report by the zone's live nodes, and
divides it by the number of the reporting nodes. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.cells.layout import Layout


class MemberRow(NamedTuple):
    """A member as the membership knows it.

    Attributes:
        name: Its name.
        zone: Its zone.
        is_live: Whether it is live; a suspected member still is.
        has_left: Whether it has left the fleet.
    """

    name: str
    zone: str
    is_live: bool
    has_left: bool


@dataclass(frozen=True)
class MemberCount:
    """The members of the own cell, and the size of the fleet.

    Attributes:
        cell: Names of the live members of the own cell, in the order of the rows.
        known: Names of the own cell's members that have not left, including dead ones.
        zones: The number of live members of the entire fleet, by zone.
        fleet: The number of members of the entire fleet that have not left, including dead ones.
    """

    cell: tuple[str, ...]
    known: frozenset[str]
    zones: Mapping[str, int]
    fleet: int

    def extrapolate(
        self, rates: Mapping[str, float], node_counts: Mapping[str, int]
    ) -> dict[str, float]:
        """Returns the rates of the entire fleet by zone, extrapolated from the reporting nodes.

        Args:
            rates: The sum of the rates of the reporting nodes, by zone.
            node_counts: The number of reporting nodes, by zone. Nodes of a zone without one count with the
                mean rate of all reporting nodes.
        """
        total = sum(node_counts.values())
        mean = sum(rates.values()) / total if total else 0.0
        fleet_rates = dict(rates)
        for zone, live in self.zones.items():
            reporting = node_counts.get(zone, 0)
            if reporting:
                fleet_rates[zone] = rates.get(zone, 0.0) * max(1.0, live / reporting)
            else:
                fleet_rates[zone] = mean * live
        return fleet_rates

    @property
    def fleet_ratio(self) -> float:
        """The fleet's known members divided by those of the own cell; at least 1."""
        return max(1.0, self.fleet / len(self.known)) if self.known else 1.0


def count_members(
    layout: Layout, own_name: str, rows: Iterable[MemberRow]
) -> MemberCount:
    """Counts the members of the own cell and of the fleet.

    Args:
        layout: The layout of the cells.
        own_name: This node's name.
        rows: All known members, this node included.
    """
    cell_of, own_cell = layout.cell_of, layout.cell_of(own_name)
    cell, known = [], []
    zones: dict[str, int] = {}
    fleet = 0
    for name, zone, is_live, has_left in rows:
        in_own_cell = cell_of(name) == own_cell
        if is_live:
            zones[zone] = zones.get(zone, 0) + 1
            if in_own_cell:
                cell.append(name)
        if not has_left:
            fleet += 1
            if in_own_cell:
                known.append(name)
    return MemberCount(tuple(cell), frozenset(known), zones, fleet)
