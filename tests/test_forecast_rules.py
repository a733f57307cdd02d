"""The account that a forecaster is held to, and the rules that go by what it says."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.forecast.accuracy import (
    RIGHT_TO_REGAIN_TRUST,
    UNPROVEN_ERROR,
    ForecastAccuracy,
)
from loadbalancer.forecast.forecast_result import Forecast, unknown_forecast
from loadbalancer.forecast.migration import (
    URGENT,
    MigrationSchedule,
    blend_traffic,
    node_turn,
    plan_migration,
    shard_has_moved,
)
from loadbalancer.forecast.migration_rules import MigrationRules
from loadbalancer.forecast.shard_traffic import ShardTraffic

LOOK = settings(derandomize=True, max_examples=100, deadline=None)
S = 1_000_000
DIP = Forecast(
    times_s=(0.0, 10.0, 20.0, 40.0),
    hit_ratios=(0.4, 0.6, 0.7, 0.7),
    hit_ratio_now=0.7,
    steady_hit_ratio=0.7,
    margin=0.05,
    recovery_s=15.0,
    peak_load=2.4,
    peak_load_high=2.5,
    misses_now=300.0,
    peak_misses=600.0,
    load_now=0.5,
    tolerance_known=True,
)


def watched(
    account: ForecastAccuracy,
    kind: str,
    hits: Sequence[float],
    begin: int = 0,
    told: int = 10_000,
) -> None:
    """A change of which DIP was forecast, and the hit rates seen in spans of ten seconds after it."""
    account.track(begin, kind, DIP)
    for i, hit in enumerate(hits):
        first = begin + i * 10 * S
        account.observe(first, first + 10 * S, int(hit * told), told)


RIGHT = (0.5, 0.65, 0.7, 0.7, 0.7, 0.7)
WRONG = (0.2, 0.3, 0.4, 0.7, 0.7, 0.7)


def test_a_forecaster_that_was_off_says_unknown_until_it_is_good_again() -> None:
    account = ForecastAccuracy()
    assert account.past_error("join") == UNPROVEN_ERROR
    assert account.published("join", DIP) == DIP
    watched(account, "join", WRONG)
    assert account.published("join", DIP).unknown_reason
    assert account.past_error("join") > 0.1
    assert account.published("size", DIP) == DIP  # of another kind nothing is said
    for turn_ in range(RIGHT_TO_REGAIN_TRUST):
        assert account.published("join", DIP).unknown_reason
        watched(account, "join", RIGHT, (turn_ + 1) * 1_000 * S)
    assert account.published("join", DIP) == DIP
    assert account.figures()["kinds"]["join"] == {
        "judged": 3,
        "missed": 1,
        "error": pytest.approx(account.past_error("join"), abs=1e-4),
        "believed": True,
    }


def test_one_right_forecast_after_a_wrong_one_is_not_enough() -> None:
    account = ForecastAccuracy()
    watched(account, "join", WRONG)
    watched(account, "join", RIGHT, 1_000 * S)
    watched(account, "join", WRONG, 2_000 * S)
    watched(account, "join", RIGHT, 3_000 * S)
    assert account.published("join", DIP).unknown_reason


def test_where_no_answer_tells_of_hits_nothing_is_judged() -> None:
    account = ForecastAccuracy()
    watched(account, "join", WRONG, told=0)
    assert account.is_trusted("join")
    assert account.unevaluated == 1
    assert account.past_error("join") == UNPROVEN_ERROR


def test_a_change_upon_a_change_ends_the_watch_of_the_first() -> None:
    account = ForecastAccuracy()
    watched(account, "join", RIGHT[:2])
    account.track(20 * S, "size", DIP)
    assert [e.end for e in account.recent] == ["overtaken"]
    assert account.recent[0].inside
    # What is seen from now on is of the second: the first would have been wrong by it.
    account.observe(20 * S, 30 * S, 2_000, 10_000)
    assert account.is_trusted("join")


def test_chance_alone_makes_no_forecast_wrong() -> None:
    account = ForecastAccuracy()
    watched(
        account,
        "join",
        [h + d for h, d in zip(RIGHT, (0.06, -0.06, 0, 0, 0, 0), strict=True)],
        told=250,
    )
    assert account.is_trusted("join")


def test_the_account_outlasts_a_restart_and_bears_nonsense() -> None:
    account, other = ForecastAccuracy(), ForecastAccuracy()
    watched(account, "join", WRONG)
    other.restore(account.dump())
    assert other.published("join", DIP).unknown_reason
    assert other.dump() == account.dump()
    for nonsense in (
        None,
        [],
        {"x": 1},
        {"x": [1, 2]},
        {"x": [["a"], 1, 2, 3, 4]},
        {"x": [[9.0], 0, 0, 0, 0]},
    ):
        other.restore(nonsense)
    assert other.dump() == account.dump()


# ---- rules --------------------------------------------------------------------------------------------


def test_what_servers_bear_goes_at_once_and_more_goes_in_steps_or_waits() -> None:
    rules = MigrationRules(max_load=1.0, max_steps=4)
    assert plan_migration(rules, "join", replace(DIP, peak_load_high=0.9), 0).steps == 1
    stepped = plan_migration(rules, "join", DIP, 0)
    assert stepped.steps == 4
    assert stepped.pause_s == 15.0
    assert "2.50" in stepped.reason
    assert (
        plan_migration(rules, "join", replace(DIP, peak_load_high=2.51), 0).steps == 0
    )
    assert plan_migration(rules, "join", replace(DIP, load_now=1.1), 0).steps == 0
    assert (
        plan_migration(
            rules, "join", replace(DIP, load_now=1.1), rules.max_deferral_s
        ).steps
        == 4
    )


UNKNOWN = [
    unknown_forecast("nobody knows"),
    replace(DIP, tolerance_known=False, peak_load_high=0.0),
]


@LOOK
@given(
    st.sampled_from(UNKNOWN),
    st.floats(0, 20),
    st.floats(0, 20),
    st.floats(0, 1_000),
    st.floats(0.1, 3),
    st.integers(1, 20),
)
def test_an_unknown_never_lets_through_what_a_number_would_have_stopped(
    nobody: Forecast, worst: float, now: float, waited: float, allowed: float, most: int
) -> None:
    rules = MigrationRules(max_load=allowed, max_steps=most)
    number = plan_migration(
        rules,
        "join",
        replace(DIP, peak_load_high=max(worst, now), load_now=now),
        waited,
    )
    blind = plan_migration(rules, "join", nobody, waited)
    if number.steps == 0:
        assert blind.steps == 0
    elif blind.steps:
        assert blind.steps >= number.steps


@pytest.mark.parametrize("kind", sorted(URGENT))
def test_drains_departures_and_failures_never_wait(kind: str) -> None:
    assert (
        plan_migration(
            MigrationRules(), kind, unknown_forecast("nobody knows"), 0
        ).steps
        == 1
    )
    assert (
        plan_migration(
            MigrationRules(), kind, replace(DIP, peak_load_high=100.0), 0
        ).steps
        == 1
    )


def test_steps_move_every_shard_once_and_none_back() -> None:
    steps = MigrationSchedule(4, 10.0, started_at=0)
    before: set[int] = set()
    for now in (0, 10 * S, 20 * S, 30 * S):
        steps.advance(now)
        there = {
            s for s in range(256) if shard_has_moved(s, steps.steps, steps.steps_done)
        }
        assert before < there
        assert len(there - before) > 32
        before = there
    assert before == set(range(256))
    assert steps.next_step_at() is None


def test_a_step_waits_until_it_is_due_and_longer_where_it_is_halted() -> None:
    steps = MigrationSchedule(3, 10.0, started_at=0)
    assert not steps.advance(10 * S - 1)
    steps.postpone(10 * S)
    assert not steps.advance(15 * S)
    assert steps.advance(20 * S)


def test_a_blend_is_the_old_placement_for_the_shards_that_have_not_moved() -> None:
    old, new = (
        ShardTraffic([dict.fromkeys(range(64), 1.0), {}], 1.0),
        ShardTraffic([{}, dict.fromkeys(range(64), 1.0)], 1.0),
    )
    half = blend_traffic(old, new, 2, 1, 64)
    assert set(half.fractions[0]) | set(half.fractions[1]) == set(range(64))
    assert not set(half.fractions[0]) & set(half.fractions[1])
    assert blend_traffic(old, new, 2, 2, 64).fractions == new.fractions
    assert {node_turn(n, 4) for n in range(64)} == {0, 1, 2, 3}
