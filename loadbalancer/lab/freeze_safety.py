"""What must never happen in a world of freeze nodes.

Two coordinators in one term or at one time; two conflicting changes at one time; a change begun after an
incident that stops it was in force; a grant that was announced and is unknown to a later coordinator.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.freeze.actions import FreezeEvent
from loadbalancer.freeze.client_state import RequestOutcome
from loadbalancer.freeze.conflicts import changes_conflict, incident_stops
from loadbalancer.freeze.state import FreezeState, Grant, Incident


@dataclass
class ObservedChange:
    """A change that a node has begun; times are true microseconds."""

    grant: Grant
    begun_at: int
    ended_at: int | None = None


class SafetyMonitor:
    """Gathers violations.

    Attributes:
        violations: What went wrong, in words.
        changes: Changes begun under a grant, by request.
        elected: By term, who was elected.
        in_force: By incident, since when it is in force.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self.regions = regions
        self.violations: list[str] = []
        self.changes: dict[str, ObservedChange] = {}
        self.elected: dict[int, str] = {}
        self.in_force: dict[str, int] = {}
        self._stopping: dict[str, Incident] = {}  # incidents in force
        self._announced: dict[str, None] = {}  # ids of grants, in order

    def on_event(
        self, now: int, node: str, event: FreezeEvent, state: FreezeState | None
    ) -> None:
        """An event at a node; `state` is the replicated state of an elector."""
        if event.name == "leader elected":
            other = self.elected.setdefault(event.term, node)
            if other != node:
                self.violations.append(
                    f"{other} and {node} are both elected in term {event.term}"
                )
        elif event.name == "grant issued":
            self._announced[event.fields["id"]] = None
        elif event.name == "incident closed":
            self.in_force.pop(event.fields["id"], None)
            self._stopping.pop(event.fields["id"], None)
        elif state is not None and event.name == "coordinator started":
            self._check_grants(node, state)
        elif state is not None and event.name == "incident enforced":
            incident = state.incidents.get(event.fields["id"])
            if incident is not None:  # else it has been closed since
                self.in_force[incident.id], self._stopping[incident.id] = now, incident

    def _check_grants(self, node: str, state: FreezeState) -> None:
        for grant_id in self._announced:
            if grant_id not in state.grants and grant_id not in state.ended:
                self.violations.append(
                    f"{node} coordinates, and does not know of grant {grant_id}"
                )

    def on_leaders(self, names: list[str]) -> None:
        """Who leads at this moment."""
        if len(names) > 1:
            self.violations.append(f"{names} coordinate at one time")

    def on_begin(
        self, now: int, grant: Grant, outcome: RequestOutcome, active: set[str]
    ) -> None:
        """A node begins a change; `active` has the ids of changes that may still do anything."""
        if outcome.token is None or outcome.id in self.changes:
            return  # without a coordinator; or reported again
        for change_id, other in self.changes.items():
            if change_id in active and changes_conflict(
                other.grant, grant, self.regions
            ):
                self.violations.append(f"{grant.id} begins beside {other.grant.id}")
        for incident in self._stopping.values():
            if incident_stops(incident, grant, self.regions):
                self.violations.append(
                    f"{grant.id} begins after incident {incident.id} was in force"
                )
        self.changes[outcome.id] = ObservedChange(grant, now)

    def on_end(self, now: int, change_id: str) -> None:
        """A change has ended, or was told to stop."""
        change = self.changes.get(change_id)
        if change is not None and change.ended_at is None:
            change.ended_at = now

    def on_kill(self, now: int, node: str) -> None:
        """A node's process is gone, and its changes with it."""
        for change_id, change in self.changes.items():
            if change.grant.node == node:
                self.on_end(now, change_id)
