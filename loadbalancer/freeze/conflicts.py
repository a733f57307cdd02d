"""Rules on which changes conflict with each other, and which changes an incident stops."""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.freeze.changes import Change
from loadbalancer.freeze.messages import IncidentNotice
from loadbalancer.freeze.scope import scopes_overlap
from loadbalancer.freeze.state import Grant, Incident

# Pairs of kinds that must not take place at the same time in overlapping scopes. Reloads on several nodes do
# not conflict, because each node reads its own file. Two simultaneous changes of placement or program would
# make it impossible to tell which of them caused a fault. Nodes are not shut out during an upgrade, because
# the upgrade takes servers or nodes out of service as well.
CONFLICTING_KINDS = frozenset(
    frozenset(kind.value for kind in pair)
    for pair in (
        (Change.UPGRADE, Change.UPGRADE),
        (Change.UPGRADE, Change.PLACEMENT),
        (Change.UPGRADE, Change.ZONE_RETURN),
        (Change.UPGRADE, Change.SETTINGS),
        (Change.UPGRADE, Change.OPERATION),
        (Change.UPGRADE, Change.SHUT_OUT),
        (Change.PLACEMENT, Change.PLACEMENT),
        (Change.PLACEMENT, Change.ZONE_RETURN),
        (Change.PLACEMENT, Change.SHUT_OUT),
    )
)


def _conflicts_with(kind: str) -> frozenset[str]:
    """Returns the kinds that conflict with `kind`; `kind` is one of them only if it is paired with itself."""
    conflicting: set[str] = set()
    for pair in CONFLICTING_KINDS:
        if kind in pair:
            conflicting |= pair - {kind} or pair
    return frozenset(conflicting)


CONFLICTS_BY_KIND = {kind.value: _conflicts_with(kind.value) for kind in Change}

# The catch-up of a node that is behind is never stopped, because it can only improve the node's state.
_STOPPED_BY_MINOR = (Change.UPGRADE, Change.PLACEMENT)
_STOPPED_BY_MAJOR = (
    *_STOPPED_BY_MINOR,
    Change.SETTINGS,
    Change.OPERATION,
    Change.SHUT_OUT,
)
_STOPPED_BY_CRITICAL = (*_STOPPED_BY_MAJOR, Change.ZONE_RETURN)
STOPPED_KINDS_BY_SEVERITY = {
    1: frozenset(kind.value for kind in _STOPPED_BY_MINOR),
    2: frozenset(kind.value for kind in _STOPPED_BY_MAJOR),
    3: frozenset(kind.value for kind in _STOPPED_BY_CRITICAL),
}


def changes_conflict(first: Grant, second: Grant, regions: Mapping[str, str]) -> bool:
    """Returns whether two changes must not happen at the same time.

    Args:
        first: One change, as a grant.
        second: The other.
        regions: The region of each zone.
    """
    if first.id == second.id or (first.plan and first.plan == second.plan):
        return False
    kinds = frozenset((first.kind, second.kind))
    return kinds in CONFLICTING_KINDS and scopes_overlap(
        first.scope, second.scope, regions
    )


def incident_stops(
    incident: Incident | IncidentNotice, grant: Grant, regions: Mapping[str, str]
) -> bool:
    """Returns whether an incident stops a change.

    It never stops an emergency, nor the change that is to resolve it.

    Args:
        incident: An open incident.
        grant: The change, as a grant.
        regions: The region of each zone.
    """
    if grant.emergency_reason or grant.resolves_incident == incident.id:
        return False
    stopped = STOPPED_KINDS_BY_SEVERITY[incident.severity]
    return grant.kind in stopped and scopes_overlap(
        incident.scope, grant.scope, regions
    )
