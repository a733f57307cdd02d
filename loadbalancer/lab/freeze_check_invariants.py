"""The invariants of `freeze_check`, on the events of a step and on what nodes do at one time.

One leader a term, and one at a time; no two conflicting changes are made at one time; what was granted is
known to every later coordinator until it has ended; nothing begins that an incident in force stops.
"""

from __future__ import annotations

import pickle
from dataclasses import replace

from loadbalancer.freeze.actions import FreezeEvent
from loadbalancer.freeze.conflicts import changes_conflict
from loadbalancer.freeze.coordinator_context import RequestCounters
from loadbalancer.freeze.machine import DatagramCounters, FreezeNode
from loadbalancer.freeze.state import Grant
from loadbalancer.lab.freeze_check_state import WorldState


def load_node(data: bytes) -> FreezeNode:
    """A node from its pickle."""
    machine: FreezeNode = pickle.loads(data)
    return machine


def is_leading(machine: FreezeNode, now: int) -> bool:
    """Whether a node leads at a time of its own clock."""
    return machine.elector is not None and machine.elector.is_leading(now)


def active_changes(machine: FreezeNode, now: int) -> list[Grant]:
    """The changes that a node makes at this moment."""
    client = machine.client
    return [
        active.change.as_grant()
        for active in client.active.values()
        if client.may_continue(now, active.change.id)
    ]


def any_conflict(changes: list[Grant], others: list[Grant]) -> bool:
    """Whether any two changes of two nodes conflict."""
    return any(
        changes_conflict(change, other, {}) for change in changes for other in others
    )


def observe(
    state: WorldState,
    node: int,
    machine: FreezeNode,
    event: FreezeEvent,
    violations: list[str],
) -> WorldState:
    """Takes an event into the state, and checks the invariants on it."""
    if event.name == "leader elected":
        if any(term == event.term for term, _ in state.elected):
            violations.append(f"two are elected in term {event.term}")
        return replace(state, elected=state.elected | {(event.term, node)})
    if event.name == "coordinator started" and machine.coordinator is not None:
        known = machine.coordinator.state
        forgotten = [
            grant_id
            for grant_id in state.granted
            if grant_id not in known.grants and grant_id not in known.ended
        ]
        if forgotten:
            violations.append(
                f"n{node} coordinates in term {event.term} and has forgotten {forgotten}"
            )
    elif event.name == "grant issued":
        return replace(state, granted=state.granted | {event.fields["id"]})
    elif event.name == "incident enforced":
        return replace(state, in_force=True)
    return state


def forget_counts(machine: FreezeNode) -> None:
    """What was counted, and results kept for repeated requests, tell no states apart."""
    machine.counters = DatagramCounters()
    machine.client.locator.stale_messages = 0
    machine.client.outcomes.results = {}
    if machine.coordinator is not None:
        machine.coordinator.context.counters = RequestCounters()
