"""Model check of the change freeze in small worlds.

The correct implementation must pass, and each fault that is injected on purpose must be found.
"""

from __future__ import annotations

import pytest

from loadbalancer.lab.freeze_check import FreezeCheck
from loadbalancer.lab.freeze_check_kinds import CORRECT, MUTANTS
from loadbalancer.lab.freeze_check_roots import roots
from loadbalancer.lab.freeze_check_state import Budget

# One kind of fault each: with all kinds at once, there are too many worlds to search in every test run.
SINGLE_FAULT_BUDGETS = {
    "only reordering, loss and time": Budget(0, 0, 0, 0),
    "a kill that keeps the store": Budget(1, 0, 0, 0),
    "a kill that loses the store": Budget(0, 1, 0, 0),
    "a pause": Budget(0, 0, 1, 0),
    "a datagram twice": Budget(0, 0, 0, 1),
    "two changes and an incident": Budget(0, 0, 0, 0, (1, 2), True),
}
ALL_FAULTS = Budget(1, 1, 1, 1, (1, 2), True)
FAULT_SETUPS = {  # for each injected fault, the budget and the root of a search that finds it
    "a vote is given before it is stored": (
        Budget(0, 0, 0, 0),
        "the voter was killed since, and may vote again",
    ),
    "the lease has no margin for drift": (
        Budget(0, 0, 0, 0),
        "n0 has coordinated, and n1 is elected",
    ),
    "an elector without its store votes at once": (
        Budget(0, 1, 0, 0),
        "n0 has given a grant that n2 does not hold",
    ),
}


@pytest.mark.parametrize("name", SINGLE_FAULT_BUDGETS)
def test_search_of_small_worlds_finds_no_violation(name: str) -> None:
    check = FreezeCheck(CORRECT)
    seen = 0
    for root in roots(check, SINGLE_FAULT_BUDGETS[name]).values():
        violations, path, count = check.search(root, 4)
        assert (violations, path) == ([], [])
        seen += count
    assert seen > 200


@pytest.mark.parametrize("name", MUTANTS)
def test_search_finds_each_injected_fault_and_passes_without_it(
    name: str,
) -> None:
    budget, root = FAULT_SETUPS[name]
    found = {}
    for kind in (MUTANTS[name], CORRECT):
        check = FreezeCheck(kind)
        found[kind], _, _ = check.search(roots(check, budget)[root], 8)
    assert found[MUTANTS[name]] != []
    assert found[CORRECT] == []


@pytest.mark.parametrize("electors", [3, 5])
def test_random_runs_find_no_violation(electors: int) -> None:
    check = FreezeCheck(CORRECT, electors)
    terms = granted = 0
    for seed in range(30):
        violations, path, final_state = check.draw(
            check.begin(ALL_FAULTS, seed % electors), seed, 300
        )
        assert violations == [], path
        terms, granted = (
            terms + len(final_state.elected),
            granted + len(final_state.granted),
        )
    assert terms > 50
    assert granted > 5
