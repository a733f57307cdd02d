"""Where searches of `freeze_check` begin: plain courses up to the moments at which it matters who holds what.

n0 has the slow clock, and is elected first; n1 votes for it, while n2 hears nothing.
"""

from __future__ import annotations

from dataclasses import replace

from loadbalancer.lab.freeze_check import FreezeCheck
from loadbalancer.lab.freeze_check_invariants import load_node
from loadbalancer.lab.freeze_check_kinds import LEASE_US
from loadbalancer.lab.freeze_check_state import Budget, Step, StepKind, WorldState

TWO_LEADERS = 2


def roots(check: FreezeCheck, budget: Budget) -> dict[str, WorldState]:
    """The roots by what holds in them; faults after them are bounded by `budget`."""

    def n0_leads(state: WorldState) -> bool:
        elector = load_node(state.nodes[0]).elector
        return elector is not None and elector.is_leading(check.local(0, state.time))

    def n0_led_long(state: WorldState) -> bool:
        return check.local(0, state.time) > 2 * LEASE_US

    def fresh(state: WorldState) -> WorldState:
        return replace(state, network=(), budget=budget, paused=frozenset())

    start = check.begin(budget)
    n2_deaf = replace(start, paused=frozenset((2,)))
    elected = check.follow(n2_deaf, lambda state: bool(state.elected))
    leading = check.follow(check.follow(n2_deaf, n0_leads), n0_led_long)
    n1_free = check.until_candidacy(fresh(leading), 1)
    return {
        "nobody is elected": start,
        "n0 is elected, its beats are lost": fresh(elected),
        "the voter was killed since, and may vote again": replace(
            _voter_killed(check, elected), budget=budget
        ),
        "n0 coordinates": fresh(leading),
        "n0 coordinates, and n1 may be elected": n1_free,
        "n0 has coordinated, and n1 is elected": _second_leader(check, n1_free),
        "n0 has given a grant that n2 does not hold": fresh(
            _granted(check, leading, budget)
        ),
    }


def _voter_killed(check: FreezeCheck, elected: WorldState) -> WorldState:
    one_kill = replace(elected, budget=Budget(kills=1))
    killed, _ = check.play(one_kill, Step(StepKind.KILL, 1))
    alone = replace(killed, network=(), paused=frozenset((0,)))
    return check.until_candidacy(check.until_candidacy(alone, 1), 2)


def _second_leader(check: FreezeCheck, n1_free: WorldState) -> WorldState:
    n0_paused = replace(n1_free, paused=frozenset((0,)))
    second = check.follow(n0_paused, lambda state: len(state.elected) >= TWO_LEADERS)
    between_others = tuple(
        datagram
        for datagram in second.network
        if 0 not in (datagram.sender, datagram.receiver)
    )
    return replace(second, network=between_others, paused=frozenset())


def _granted(check: FreezeCheck, leading: WorldState, budget: Budget) -> WorldState:
    may_request = replace(leading, budget=replace(budget, requesters=(1,)))
    requested, _ = check.play(may_request, Step(StepKind.REQUEST, 1))
    return check.follow(requested, lambda state: bool(state.granted))
