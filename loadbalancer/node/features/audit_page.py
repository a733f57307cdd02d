"""The tables of the audit for `/admin/audit` and `/admin/stats`. Keys are published."""

from __future__ import annotations

from collections import Counter
from typing import Any

from loadbalancer.audit.fleet_view import FleetView, Frontier, HealthState
from loadbalancer.audit.quarantine import min_ready, slot_count
from loadbalancer.audit.status import StatusRecord
from loadbalancer.node.features.audit_context import US_PER_S, AuditContext


def metrics(context: AuditContext, parts_sent: int) -> dict[str, Any]:
    """Returns the audit's table for `/admin/stats`.

    Args:
        context: State of the audit.
        parts_sent: Number of parts of the endpoint list that were sent to other nodes.
    """
    remediator, view = context.evaluator.remediator, context.evaluator.view
    table: dict[str, Any] = {
        **context.store.metrics(),
        "service": remediator.quarantine.state.label,
        "step": remediator.step,
        **context.counters.table(),
        "handed_over": parts_sent,
    }
    if view is not None:
        table["standings"] = {
            state.value: len(view.members_in(state)) for state in HealthState
        }
        table["side"] = view.side
    return table


def page(context: AuditContext, now: int) -> dict[str, Any]:
    """Returns the table of `/admin/audit`: the ledger and the view of the fleet, with times as seconds ago.

    Args:
        context: State of the audit.
        now: Monotonic microseconds.
    """
    table: dict[str, Any] = {"ledger": context.store.table()}
    view = context.evaluator.view
    if view is not None:
        table["fleet"] = _fleet_table(view, now)
        table["self"] = _local_table(context, view, now)
    return table


def _fleet_table(view: FleetView, now: int) -> dict[str, Any]:
    statuses = [received.status for received in view.statuses.values()]
    return {
        "side": view.side,
        "awake": view.settled,
        "live": len(view.live),
        "known": view.known_count,
        "quorum": view.quorum,
        "frontiers": [_frontier_row(frontier) for frontier in view.frontiers.values()],
        "members": [_member_row(name, view, now) for name in sorted(view.health)],
        "settings": dict(Counter(status.settings.digest for status in statuses)),
        "operation": dict(
            Counter(status.operator_config.digest for status in statuses)
        ),
        "program": dict(Counter(status.program for status in statuses)),
    }


def _frontier_row(frontier: Frontier) -> dict[str, Any]:
    return {
        "origin": frontier.origin,
        "number": frontier.number,
        "digest": frontier.digest,
        "holders": len(frontier.holders),
        "support": frontier.support,
        "quorum": frontier.quorum,
        "of": frontier.voters,
        "contested": frontier.contested,
    }


def _member_row(name: str, view: FleetView, now: int) -> dict[str, Any]:
    health, received = view.health[name], view.statuses.get(name)
    row: dict[str, Any] = {
        "name": name,
        "state": health.state.value,
        "why": health.reason,
        "since_s": _age_s(health.since, now),
    }
    return row if received is None else row | _status_columns(received.status)


def _status_columns(status: StatusRecord) -> dict[str, Any]:
    version, adopted = status.list_version, status.adopted
    return {
        "list": list(version) if version is not None else None,
        "taken": list(adopted) if adopted is not None else None,
        "service": status.quarantine.label,
        "life": status.incarnation,
        "entries": status.ledger_entries,
        "head": status.chain_head.hex(),
        "settings": status.settings.digest,
        "operation": status.operator_config.digest,
        "program": status.program,
        "term": status.term,
    }


def _local_table(context: AuditContext, view: FleetView, now: int) -> dict[str, Any]:
    remediator, local = context.evaluator.remediator, context.endpoints.local
    answered_at, adopted = local.discovery_answered_at, local.adopted
    return {
        "service": remediator.quarantine.state.label,
        "step": remediator.step,
        "clock_s": context.evaluator.deadline_age_s(now),
        "answered_s": _age_s(answered_at, now) if answered_at else None,
        "taken": adopted._asdict() if adopted is not None else None,
        "votes": {
            slot: request.member for slot, request in remediator.voter.votes.items()
        },
        "may_be_out": slot_count(remediator.rules, view),
        "floor": min_ready(remediator.rules, view),
        **context.counters.table(),
    }


def _age_s(at: int, now: int) -> float:
    return round((now - at) / US_PER_S, 3)
