"""Forecast accuracy by kind of change, and the rules for making a change by its forecast."""

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

PROPERTY_SETTINGS = settings(derandomize=True, max_examples=100, deadline=None)
US_PER_S = 1_000_000
FORECAST = Forecast(
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


def track_and_observe(
    accuracy: ForecastAccuracy,
    kind: str,
    hit_ratios: Sequence[float],
    started_at: int = 0,
    answers: int = 10_000,
) -> None:
    """Tracks FORECAST for a change and adds the hit ratios of the spans of ten seconds that follow it."""
    accuracy.track(started_at, kind, FORECAST)
    for i, hit_ratio in enumerate(hit_ratios):
        span_start = started_at + i * 10 * US_PER_S
        accuracy.observe(
            span_start, span_start + 10 * US_PER_S, int(hit_ratio * answers), answers
        )


RIGHT_HIT_RATIOS = (0.5, 0.65, 0.7, 0.7, 0.7, 0.7)
WRONG_HIT_RATIOS = (0.2, 0.3, 0.4, 0.7, 0.7, 0.7)


def test_an_inaccurate_kind_is_unknown_until_enough_forecasts_in_a_row_are_right() -> (
    None
):
    accuracy = ForecastAccuracy()
    assert accuracy.past_error("join") == UNPROVEN_ERROR
    assert accuracy.published("join", FORECAST) == FORECAST
    track_and_observe(accuracy, "join", WRONG_HIT_RATIOS)
    assert accuracy.published("join", FORECAST).unknown_reason
    assert accuracy.past_error("join") > 0.1
    # Another kind of change is not affected.
    assert accuracy.published("size", FORECAST) == FORECAST
    for attempt in range(RIGHT_TO_REGAIN_TRUST):
        assert accuracy.published("join", FORECAST).unknown_reason
        track_and_observe(
            accuracy, "join", RIGHT_HIT_RATIOS, (attempt + 1) * 1_000 * US_PER_S
        )
    assert accuracy.published("join", FORECAST) == FORECAST
    assert accuracy.figures()["kinds"]["join"] == {
        "judged": 3,
        "missed": 1,
        "error": pytest.approx(accuracy.past_error("join"), abs=1e-4),
        "believed": True,
    }


def test_one_right_forecast_after_a_wrong_one_is_not_enough() -> None:
    accuracy = ForecastAccuracy()
    track_and_observe(accuracy, "join", WRONG_HIT_RATIOS)
    track_and_observe(accuracy, "join", RIGHT_HIT_RATIOS, 1_000 * US_PER_S)
    track_and_observe(accuracy, "join", WRONG_HIT_RATIOS, 2_000 * US_PER_S)
    track_and_observe(accuracy, "join", RIGHT_HIT_RATIOS, 3_000 * US_PER_S)
    assert accuracy.published("join", FORECAST).unknown_reason


def test_without_reported_hits_no_forecast_is_evaluated() -> None:
    accuracy = ForecastAccuracy()
    track_and_observe(accuracy, "join", WRONG_HIT_RATIOS, answers=0)
    assert accuracy.is_trusted("join")
    assert accuracy.unevaluated == 1
    assert accuracy.past_error("join") == UNPROVEN_ERROR


def test_another_change_ends_the_tracking_of_the_previous_forecast() -> None:
    accuracy = ForecastAccuracy()
    track_and_observe(accuracy, "join", RIGHT_HIT_RATIOS[:2])
    accuracy.track(20 * US_PER_S, "size", FORECAST)
    assert [e.end for e in accuracy.recent] == ["overtaken"]
    assert accuracy.recent[0].inside
    # Later observations count for the second change only; they would have made the first forecast wrong.
    accuracy.observe(20 * US_PER_S, 30 * US_PER_S, 2_000, 10_000)
    assert accuracy.is_trusted("join")


def test_deviations_within_chance_do_not_make_a_forecast_wrong() -> None:
    accuracy = ForecastAccuracy()
    track_and_observe(
        accuracy,
        "join",
        [
            h + d
            for h, d in zip(RIGHT_HIT_RATIOS, (0.06, -0.06, 0, 0, 0, 0), strict=True)
        ],
        answers=250,
    )
    assert accuracy.is_trusted("join")


def test_accuracy_is_restored_after_a_restart_and_malformed_data_is_ignored() -> None:
    accuracy, restored = ForecastAccuracy(), ForecastAccuracy()
    track_and_observe(accuracy, "join", WRONG_HIT_RATIOS)
    restored.restore(accuracy.dump())
    assert restored.published("join", FORECAST).unknown_reason
    assert restored.dump() == accuracy.dump()
    for malformed in (
        None,
        [],
        {"x": 1},
        {"x": [1, 2]},
        {"x": [["a"], 1, 2, 3, 4]},
        {"x": [[9.0], 0, 0, 0, 0]},
    ):
        restored.restore(malformed)
    assert restored.dump() == accuracy.dump()


# ---- rules --------------------------------------------------------------------------------------------


def test_tolerable_misses_allow_a_change_at_once_and_more_take_steps_or_defer_it() -> (
    None
):
    rules = MigrationRules(max_load=1.0, max_steps=4)
    assert (
        plan_migration(rules, "join", replace(FORECAST, peak_load_high=0.9), 0).steps
        == 1
    )
    plan = plan_migration(rules, "join", FORECAST, 0)
    assert plan.steps == 4
    assert plan.pause_s == 15.0
    assert "2.50" in plan.reason
    assert (
        plan_migration(rules, "join", replace(FORECAST, peak_load_high=2.51), 0).steps
        == 0
    )
    assert plan_migration(rules, "join", replace(FORECAST, load_now=1.1), 0).steps == 0
    assert (
        plan_migration(
            rules, "join", replace(FORECAST, load_now=1.1), rules.max_deferral_s
        ).steps
        == 4
    )


UNKNOWN = [
    unknown_forecast("no data"),
    replace(FORECAST, tolerance_known=False, peak_load_high=0.0),
]


@PROPERTY_SETTINGS
@given(
    st.sampled_from(UNKNOWN),
    st.floats(0, 20),
    st.floats(0, 20),
    st.floats(0, 1_000),
    st.floats(0.1, 3),
    st.integers(1, 20),
)
def test_an_unknown_forecast_never_allows_more_than_a_known_one(
    unknown: Forecast,
    peak_load: float,
    now: float,
    deferred_s: float,
    max_load: float,
    max_steps: int,
) -> None:
    rules = MigrationRules(max_load=max_load, max_steps=max_steps)
    known_plan = plan_migration(
        rules,
        "join",
        replace(FORECAST, peak_load_high=max(peak_load, now), load_now=now),
        deferred_s,
    )
    unknown_plan = plan_migration(rules, "join", unknown, deferred_s)
    if known_plan.steps == 0:
        assert unknown_plan.steps == 0
    elif unknown_plan.steps:
        assert unknown_plan.steps >= known_plan.steps


@pytest.mark.parametrize("kind", sorted(URGENT))
def test_urgent_changes_are_never_deferred(kind: str) -> None:
    assert (
        plan_migration(MigrationRules(), kind, unknown_forecast("no data"), 0).steps
        == 1
    )
    assert (
        plan_migration(
            MigrationRules(), kind, replace(FORECAST, peak_load_high=100.0), 0
        ).steps
        == 1
    )


def test_steps_move_every_shard_once_and_none_back() -> None:
    steps = MigrationSchedule(4, 10.0, started_at=0)
    before: set[int] = set()
    for now in (0, 10 * US_PER_S, 20 * US_PER_S, 30 * US_PER_S):
        steps.advance(now)
        moved = {
            s for s in range(256) if shard_has_moved(s, steps.steps, steps.steps_done)
        }
        assert before < moved
        assert len(moved - before) > 32
        before = moved
    assert before == set(range(256))
    assert steps.next_step_at() is None


def test_a_step_waits_until_it_is_due_and_longer_if_it_is_postponed() -> None:
    steps = MigrationSchedule(3, 10.0, started_at=0)
    assert not steps.advance(10 * US_PER_S - 1)
    steps.postpone(10 * US_PER_S)
    assert not steps.advance(15 * US_PER_S)
    assert steps.advance(20 * US_PER_S)


def test_blended_traffic_keeps_the_old_placement_for_shards_that_have_not_moved() -> (
    None
):
    old, new = (
        ShardTraffic([dict.fromkeys(range(64), 1.0), {}], 1.0),
        ShardTraffic([{}, dict.fromkeys(range(64), 1.0)], 1.0),
    )
    blended = blend_traffic(old, new, 2, 1, 64)
    assert set(blended.fractions[0]) | set(blended.fractions[1]) == set(range(64))
    assert not set(blended.fractions[0]) & set(blended.fractions[1])
    assert blend_traffic(old, new, 2, 2, 64).fractions == new.fractions
    assert {node_turn(n, 4) for n in range(64)} == {0, 1, 2, 3}
