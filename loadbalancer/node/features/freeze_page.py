"""The tables of the change freeze for `/admin/freeze` and `/admin/stats`. Keys are published."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from loadbalancer.freeze.client import FreezeClient
from loadbalancer.freeze.client_state import ActiveChange, PendingRequest
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.machine import FreezeNode
from loadbalancer.freeze.messages import IncidentNotice
from loadbalancer.freeze.scope import format_scope
from loadbalancer.freeze.state import FreezeState, Grant, Incident


@dataclass
class HostCounters:
    """Counters of the freeze feature.

    Attributes:
        started: Changes that have started.
        without_grant: Changes that started without a grant, because no coordinator could be reached.
        revoked: Changes whose grant was revoked.
        unsent: Datagrams that could not be sent.
        writes: Writes of the elector's record.
        slowest_write_ms: Duration of the slowest write, in milliseconds.
    """

    started: int = 0
    without_grant: int = 0
    revoked: int = 0
    unsent: int = 0
    writes: int = 0
    slowest_write_ms: float = 0.0


def silence_s(client: FreezeClient, now: int) -> float | None:
    """Returns the seconds since the last contact with a coordinator; None if there was none.

    Args:
        client: The client of the change freeze.
        now: Monotonic microseconds.
    """
    return (
        (now - client.locator.last_contact_at) / 1e6
        if client.locator.last_contact_at
        else None
    )


def page(machine: FreezeNode, now: int, store_error: str) -> dict[str, Any]:
    """Returns the table of `/admin/freeze`: coordinator, open incidents, active changes, pending requests.

    Args:
        machine: The state machine of this node.
        now: Monotonic microseconds.
        store_error: The error of the store; empty if there is none.
    """
    client, silence = machine.client, silence_s(machine.client, now)
    table: dict[str, Any] = {
        "coordinator": client.locator.coordinator or None,
        "term": client.locator.term,
        "heard_s": round(silence, 3) if silence is not None else None,
        "incidents": [_notice(notice) for notice in client.open_incidents()],
        "changes": [_active(active, now) for active in client.active.values()],
        "waiting": [_pending(request, now) for request in client.pending.values()],
        "store": store_error or None,
    }
    elector, coordinator = machine.elector, machine.coordinator
    if elector is not None and coordinator is not None:
        table["elector"] = _elector(elector, now)
        if elector.is_leading(now):
            table["state"] = _state(coordinator.state)
    return table


def _notice(notice: IncidentNotice) -> dict[str, Any]:
    return {
        "id": notice.id,
        "scope": format_scope(notice.scope),
        "severity": notice.severity,
        "why": notice.reason,
    }


def _active(active: ActiveChange, now: int) -> dict[str, Any]:
    return {
        "id": active.change.id,
        "kind": active.change.kind.value,
        "scope": format_scope(active.change.scope),
        "token": active.token,
        "left_s": round((active.expires_at - now) / 1e6, 1),
        "halted": active.revocation_reason,
        "reason": active.change.emergency_reason,
    }


def _pending(request: PendingRequest, now: int) -> dict[str, Any]:
    return {
        "id": request.change.id,
        "kind": request.change.kind.value,
        "scope": format_scope(request.change.scope),
        "why": request.reason,
        "waits_s": round((now - request.started_at) / 1e6, 1),
    }


def _elector(elector: Elector, now: int) -> dict[str, Any]:
    lease_us = max(0, elector.vote_guard.lease_until - now)
    embargo_us = max(0, elector.vote_guard.embargo_until - now)
    return {
        "role": elector.role.value,
        "term": elector.term,
        "held": elector.version,
        "voted": elector.voted_for,
        "lost": elector.state_lost,
        "barred": elector.vote_guard.disabled,
        "promise_s": round(lease_us / 1e6, 3),
        "abstains_s": round(embargo_us / 1e6, 3),
    }


def _state(state: FreezeState) -> dict[str, Any]:
    return {
        "incidents": [_incident(incident) for incident in state.incidents.values()],
        "grants": [_grant(grant) for grant in state.grants.values()],
    }


def _incident(incident: Incident) -> dict[str, Any]:
    return {
        "id": incident.id,
        "scope": format_scope(incident.scope),
        "severity": incident.severity,
        "why": incident.reason,
        "by": incident.opened_by,
        "in_force": incident.in_force,
    }


def _grant(grant: Grant) -> dict[str, Any]:
    return {
        "id": grant.id,
        "node": grant.node,
        "kind": grant.kind,
        "scope": format_scope(grant.scope),
        "token": grant.token,
        "halted": grant.revocation_reason,
        "reason": grant.emergency_reason,
        "mends": grant.resolves_incident,
    }


def metrics(machine: FreezeNode, counters: HostCounters) -> dict[str, Any]:
    """Returns the table of the freeze for `/admin/stats`.

    Args:
        machine: The state machine of this node.
        counters: The counters of the feature.
    """
    client, elector, coordinator = (
        machine.client,
        machine.elector,
        machine.coordinator,
    )
    table: dict[str, Any] = {
        "coordinator": client.locator.coordinator,
        "term": client.locator.term,
        "incidents": len(client.open_incidents()),
        "changes": len(client.active),
        "waiting": len(client.pending),
        "begun": counters.started,
        "alone": counters.without_grant,
        "halted": counters.revoked,
        "stale_words": client.locator.stale_messages,
        "unsent": counters.unsent,
        "writes": counters.writes,
        "worst_write_ms": round(counters.slowest_write_ms, 3),
        **asdict(machine.counters),
    }
    if elector is not None and coordinator is not None:
        table |= {
            "role": elector.role.value,
            "lost": elector.state_lost,
            "answered": asdict(coordinator.counters),
        }
    return table
