"""Builds a reporter's summary of its cell from its own audit's view of the cell. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from loadbalancer.audit.fleet_view import (
    OUTDATED_STATES,
    FleetView,
    Frontier,
    HealthState,
    ReceivedStatus,
)
from loadbalancer.audit.status import QuarantineState
from loadbalancer.cells.layout import Layout
from loadbalancer.cells.messages import (
    FORMAT_VERSION,
    MAX_FRONTIERS,
    MAX_NAME_CHARS,
    MAX_NAMES,
    MAX_NUMBER,
    CellFrontier,
    CellSummary,
    MessageOrder,
    Standings,
    most_held,
)

HEALTH_STATES = tuple(HealthState)  # the order of `CellSummary.standings`
DIGEST_CHARS = 16  # digests are cut to this length


@dataclass(frozen=True, slots=True)
class CellMembers:
    """The members of a cell.

    Attributes:
        known: The number of members that have not left.
        live: The names of the live members.
    """

    known: int
    live: Sequence[str]


def summarize(
    layout: Layout,
    reporter: str,
    order: MessageOrder,
    members: CellMembers,
    fleet_view: FleetView | None,
) -> CellSummary:
    """Returns a reporter's summary of its cell.

    Only live members are counted, so that no count exceeds the number of live members.

    Args:
        layout: The layout of the cells.
        reporter: This node's name.
        order: The position of this summary among those of the node.
        members: The cell's members.
        fleet_view: The audit's latest view of the cell; None without an audit. In that case all live members
            count as `heard`, and the counts by state stay 0.
    """
    live = members.live
    summary = CellSummary(
        FORMAT_VERSION,
        layout.digest,
        layout.cell_of(reporter),
        reporter[:MAX_NAME_CHARS],
        order.life,
        order.sequence,
        known=max(members.known, len(live)),
        live=len(live),
        heard=len(live),
    )
    if fleet_view is None:
        return summary
    return _with_fleet_view(summary, live, fleet_view)


def _with_fleet_view(
    summary: CellSummary, live: Sequence[str], fleet_view: FleetView
) -> CellSummary:
    """Returns the summary with the counts and frontiers from the audit's view."""
    received = _fresh_statuses(live, fleet_view)
    statuses = [entry.status for entry in received.values()]
    states = {
        name: standing.state
        for name in live
        if (standing := fleet_view.health.get(name)) is not None
    }
    fronts = _frontiers(received, len(live), fleet_view)
    return msgspec.structs.replace(
        summary,
        heard=len(received),
        ready=sum(
            status.ready and status.quarantine == QuarantineState.SERVING
            for status in statuses
        ),
        out=sum(
            status.quarantine == QuarantineState.QUARANTINED for status in statuses
        ),
        standings=_standings(states),
        fronts=tuple(fronts[:MAX_FRONTIERS]),
        more_fronts=len(fronts[MAX_FRONTIERS:]),
        named=_named_members(states),
        settings=most_held(
            Counter(status.settings[1][:DIGEST_CHARS] for status in statuses)
        ),
        operation=most_held(
            Counter(status.operator_config[1][:DIGEST_CHARS] for status in statuses)
        ),
    )


def _fresh_statuses(
    live: Sequence[str], fleet_view: FleetView
) -> dict[str, ReceivedStatus]:
    """Returns the status records of live members that are not stale, by member."""
    return {
        name: received
        for name in live
        if (received := fleet_view.statuses.get(name)) is not None
        and not received.stale
    }


def _standings(states: Mapping[str, HealthState]) -> Standings:
    """Returns the number of members in each health state."""
    counts = Counter(states.values())
    first, second, third, fourth, fifth, sixth = (
        counts[state] for state in HEALTH_STATES
    )
    return first, second, third, fourth, fifth, sixth


def _named_members(states: Mapping[str, HealthState]) -> tuple[str, ...]:
    """Returns the names of some members that are behind or diverged, then of silent ones."""
    outdated = [name for name, state in states.items() if state in OUTDATED_STATES]
    silent = [name for name, state in states.items() if state == HealthState.SILENT]
    return tuple(name[:MAX_NAME_CHARS] for name in [*outdated, *silent][:MAX_NAMES])


def _frontiers(
    received: Mapping[str, ReceivedStatus], live: int, fleet_view: FleetView
) -> list[CellFrontier]:
    """Returns the audit's frontiers, the most used first; none until the audit's view has settled."""
    if not fleet_view.settled:
        return []
    ordered = sorted(
        fleet_view.frontiers.values(),
        key=lambda frontier: (-frontier.voters, frontier.origin),
    )
    return [
        cell_frontier(frontier, received, live)
        for frontier in ordered
        if 0 <= frontier.number <= MAX_NUMBER
    ]


def cell_frontier(
    frontier: Frontier, received: Mapping[str, ReceivedStatus], live: int
) -> CellFrontier:
    """Returns a frontier of the audit with the number of members that hold it.

    Quarantined members are not counted, because they do not vote on the frontier.

    Args:
        frontier: The audit's frontier.
        received: The status records of the cell's live members, by member.
        live: The number of live members.
    """
    voters = (
        entry.status
        for entry in received.values()
        if entry.status.quarantine != QuarantineState.QUARANTINED
    )
    holders = sum(
        frontier.version in (status.list_version, status.adopted) for status in voters
    )
    users = min(frontier.voters, live)
    return CellFrontier(
        frontier.origin[:MAX_NAME_CHARS],
        frontier.number,
        frontier.digest[:DIGEST_CHARS],
        min(holders, users),
        users,
    )
