"""What a swarm's nodes log of the change freeze, made into figures. No I/O.

All lines carry the machine's wall clock, which orders what different processes say; the harness reports kills
and pauses by the same clock. Times are seconds of it. Names of events and figures are published.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime
from typing import Any, NamedTuple

from loadbalancer.errors import LoadBalancerError
from loadbalancer.freeze.conflicts import changes_conflict, incident_stops
from loadbalancer.freeze.messages import IncidentNotice
from loadbalancer.freeze.scope import parse_scope
from loadbalancer.freeze.state import Grant
from loadbalancer.lab.swarm.observe import percentile

EVENT_PREFIX = "freeze "
END_OF_TIME = float("inf")


@dataclass
class ObservedChange:
    """A change that a node has begun; `term` is that of the coordinator that granted it."""

    grant: Grant
    begun_at: float
    term: int
    ended_at: float


@dataclass
class ObservedIncident:
    """One incident: when a majority held it, when it came into force, and when it was closed."""

    notice: IncidentNotice
    held_at: float | None = None
    in_force_at: float | None = None
    closed_at: float = END_OF_TIME


@dataclass
class OperatorCall:
    """One operator's call, repeated until it is answered."""

    called_at: float
    path: str
    node: str
    status: int = 0
    duration_s: float | None = None


class Coordination(NamedTuple):
    """A node becomes the coordinator of a term."""

    at: float
    node: str
    term: int


class FreezeObserver:
    """Follows what the nodes log."""

    def __init__(self, regions: Mapping[str, list[str]]) -> None:
        self.regions = {
            zone: region for region, zones in regions.items() for zone in zones
        }
        self.changes: dict[tuple[str, str], ObservedChange] = {}  # by node and request
        self.begun_without_grant = 0
        self.incidents: list[ObservedIncident] = []
        self.coordinations: list[Coordination] = []
        # When a coordinator ended, by its own word or the harness's.
        self.coordinator_ends: list[float] = []
        self.coordinator_kills: list[float] = []
        self.calls: list[OperatorCall] = []

    # ---- what happens ---------------------------------------------------------------------------------

    def line(self, node: str, record: dict[str, Any]) -> None:
        """Takes a line that a node has logged."""
        event = str(record.get("event", ""))
        if not event.startswith(EVENT_PREFIX):
            return
        at = datetime.fromisoformat(record["timestamp"]).timestamp()
        name = event.removeprefix(EVENT_PREFIX)
        if name == "coordinator started":
            self.coordinations.append(Coordination(at, node, int(record["term"])))
        elif name == "coordinator stopped":
            # A process that resumes after a pause may log its end late.
            if node == self.coordinator(at):
                self.coordinator_ends.append(at)
        elif name == "change started":
            self._change_begins(node, record, at)
        elif name in ("change revoked", "change finished"):
            change = self.changes.get((node, str(record["id"])))
            if change is not None:
                change.ended_at = min(change.ended_at, at)
        elif name == "incident opened":
            scope = parse_scope(record["scope"])
            notice = IncidentNotice(record["id"], scope, record["severity"], "")
            self.incidents.append(ObservedIncident(notice))
        elif name.startswith("incident "):
            self._incident_changes(name, record["id"], at)

    def _incident_changes(self, name: str, incident_id: str, at: float) -> None:
        for incident in reversed(self.incidents):
            if incident.notice.id == incident_id:
                break
        else:
            return
        if name == "incident committed":
            incident.held_at = incident.held_at or at
        elif name == "incident enforced":
            incident.in_force_at = incident.in_force_at or at
        elif name == "incident closed":
            incident.closed_at = min(incident.closed_at, at)

    def _change_begins(self, node: str, record: dict[str, Any], at: float) -> None:
        if record.get("token") is None:
            self.begun_without_grant += 1
            return
        try:
            scope = parse_scope(record["scope"])
        except LoadBalancerError:
            return
        request_id = str(record["id"])
        grant = Grant(
            f"{node}/{request_id}",
            node,
            record["change"],
            scope,
            duration_us=0,
            request_sent_at=0,
            emergency_reason=record["emergency_reason"],
            resolves_incident=record["resolves_incident"],
            plan=record.get("plan", ""),
        )
        expires_at = at + float(record["duration_s"])
        term = int(record["coordinator_term"])
        self.changes[node, request_id] = ObservedChange(grant, at, term, expires_at)

    def coordinator(self, before: float = END_OF_TIME) -> str | None:
        """Who coordinated last before a moment, as far as the nodes have logged."""
        latest = max(
            (
                (start.at, start.node)
                for start in self.coordinations
                if start.at < before
            ),
            default=None,
        )
        return latest[1] if latest is not None else None

    def stopped(self, node: str, at: float, killed: bool) -> None:
        """The harness has killed or paused a process."""
        if killed:
            for (owner, _), change in self.changes.items():
                if owner == node:
                    change.ended_at = min(change.ended_at, at)
        if node == self.coordinator():
            self.coordinator_ends.append(at)
            if killed:
                self.coordinator_kills.append(at)

    # ---- figures --------------------------------------------------------------------------------------

    def _gaps(self, ends: list[float], since: float, until: float) -> list[float]:
        """Times without a coordinator; one that is open at `until` counts as long as it has lasted."""
        return [self._gap(end) or until - end for end in ends if since <= end < until]

    def _gap(self, end: float) -> float | None:
        return min(
            (start.at - end for start in self.coordinations if start.at > end),
            default=None,
        )

    def figures(self, since: float, until: float) -> dict[str, float | None]:
        """The figures of the time from `since` to `until`."""
        after_kill = self._gaps(self.coordinator_kills, since, until)
        gaps = self._gaps(self.coordinator_ends, since, until)
        changes = sorted(self.changes.values(), key=lambda change: change.begun_at)
        begun = [
            change.begun_at for change in changes if since <= change.begun_at < until
        ]
        answered = [
            call.duration_s for call in self.calls if call.duration_s is not None
        ]
        in_force = sum(incident.in_force_at is not None for incident in self.incidents)
        return {
            "coordinator_s": max(after_kill, default=None),
            "coordinator_p99_s": percentile(after_kill, 0.99),
            "coordinator_gap_s": max(gaps, default=None),
            "coordinators_mixed": _granted_in_older_terms(changes),
            "begun_held": self._begun_against(changes, lambda one: one.held_at),
            "begun_frozen": self._begun_against(changes, lambda one: one.in_force_at),
            "begun_beside": self._begun_beside(changes),
            "changes_begun": len(begun),
            "changes_alone": self.begun_without_grant,
            "changes_per_s": _most_in_one_second(begun),
            "incidents_frozen": in_force,
            "calls_unanswered": len(self.calls) - len(answered),
            "call_s": max(answered, default=None),
        }

    def _begun_beside(self, changes: list[ObservedChange]) -> int:
        """Pairs of conflicting changes, the later of which began before the earlier had ended."""
        return sum(
            later.begun_at < earlier.ended_at
            and changes_conflict(earlier.grant, later.grant, self.regions)
            for index, earlier in enumerate(changes)
            for later in changes[index + 1 :]
        )

    def _begun_against(
        self,
        changes: list[ObservedChange],
        since: Callable[[ObservedIncident], float | None],
    ) -> int:
        """Changes begun while an incident that stops them was open, counted from `since` of it."""
        count = 0
        for incident in self.incidents:
            started_at = since(incident)
            if started_at is not None:
                count += sum(
                    started_at < change.begun_at < incident.closed_at
                    and incident_stops(incident.notice, change.grant, self.regions)
                    for change in changes
                )
        return count


def _granted_in_older_terms(changes: list[ObservedChange]) -> int:
    """Changes begun after one that a later coordinator had granted."""
    count = newest = 0
    for change in changes:
        count += change.term < newest
        newest = max(newest, change.term)
    return count


def _most_in_one_second(times: list[float]) -> int:
    return max(
        (sum(start <= time < start + 1 for time in times) for start in times),
        default=0,
    )
