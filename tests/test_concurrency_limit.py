"""The gradient controller against windows computed by hand."""

from math import sqrt
from random import Random

import pytest

from loadbalancer.policy.concurrency_limit import (
    MEASUREMENT_CALLS,
    MIN_LIMIT,
    WINDOW_FULL_SAMPLES,
    WINDOW_US,
    ConcurrencyLimit,
)
from loadbalancer.policy.statistics import percentile


def controller(allowance: int = 100_000, members: int = 5, **state) -> ConcurrencyLimit:
    adaptive = ConcurrencyLimit([allowance], 1000, Random(1), 0)
    adaptive.resize(members, 1)
    adaptive.last_good_in_flight = float(state.get("usual_in_flight", 0.0))
    for name, value in state.items():
        setattr(adaptive, name, value)
    return adaptive


def run_pass(adaptive: ConcurrencyLimit, rtt: int, now: int) -> None:
    """Answers of one latency until the pass is over, the last of them at its time."""
    for _ in range(adaptive.calls_to_measure):
        adaptive.sample(now, 0, rtt)
    adaptive.sample(adaptive.measuring_until, 0, rtt)
    assert not adaptive.measuring


def after_pass(
    rtt: int = 100_000, allowance: int = 100_000, **state
) -> ConcurrencyLimit:
    adaptive = controller(allowance)
    run_pass(adaptive, rtt, 1000)
    adaptive.window_start = 1000
    adaptive.last_good_in_flight = float(state.get("usual_in_flight", 0.0))
    for name, value in state.items():
        setattr(adaptive, name, value)
    return adaptive


def fill(
    adaptive: ConcurrencyLimit,
    latency: int,
    start: int = 1000,
    samples: int = WINDOW_FULL_SAMPLES,
) -> None:
    for i in range(samples):
        adaptive.sample(start + (i + 1) * WINDOW_US // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_starts_with_a_pass_at_its_low_limit():
    adaptive = controller(members=5)
    assert adaptive.measuring
    assert adaptive.allowed() == 5 * MIN_LIMIT
    assert controller(members=1).allowed() == MIN_LIMIT


def test_pass_sets_min_rtt_to_the_p90_of_its_calls():
    adaptive = controller(members=5)
    calls = adaptive.calls_to_measure
    assert calls <= MEASUREMENT_CALLS
    for i in range(calls):
        adaptive.sample(
            adaptive.measuring_until if i == calls - 1 else 1000, 0, 1000 * (i + 1)
        )
    assert not adaptive.measuring
    assert adaptive.min_rtt[0] == 1000 * (calls * 9 // 10)


def test_a_pass_waits_for_long_calls():
    """Ended at its last answer a pass has seen short calls only, and min_rtt comes out too low."""
    adaptive = controller(members=5)
    for _ in range(200):
        adaptive.sample(adaptive.measuring_until - 1, 0, 1000)
    assert adaptive.measuring


def test_pass_ends_by_time_when_calls_are_few():
    adaptive = controller()
    adaptive.sample(10, 0, 500)
    adaptive.sample(20, 0, 700)
    adaptive.sample(adaptive.measuring_until + 3 * 10 * WINDOW_US, 0, 600)
    assert not adaptive.measuring
    assert adaptive.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # min_rtt 100 ms, buffer 25%, window p90 250 ms: gradient 0.5, limit 0.5 x 36 + 6 = 24
    adaptive = after_pass(limit=36.0, in_flight=30, usual_in_flight=20.0)
    fill(adaptive, 250_000)
    assert adaptive.gradient == pytest.approx(0.5)
    assert adaptive.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # p90 of 125 ms = min_rtt + B: gradient 1, limit 36 + 6
    adaptive = after_pass(limit=36.0, in_flight=30, usual_in_flight=20.0)
    fill(adaptive, 125_000)
    assert adaptive.limit == pytest.approx(42.0)


def test_limit_does_not_outgrow_what_is_in_flight():
    adaptive = after_pass(limit=100.0, in_flight=10, usual_in_flight=10.0)
    fill(adaptive, 125_000)
    assert adaptive.limit == pytest.approx(2 * 10 + MIN_LIMIT)


def test_copies_that_share_servers_share_floor_and_headroom():
    """A floor of three calls a copy lets hundreds of copies keep every server crowded."""
    adaptive = after_pass(limit=4.0)
    adaptive.resize(4, 36.0)
    assert adaptive.floor == pytest.approx(4 * MIN_LIMIT / 36)
    assert adaptive.headroom() == pytest.approx(2 / 6)
    adaptive.resize(4, 9.0)
    assert adaptive.measurement_limit == 4 * MIN_LIMIT / 3


def test_a_copy_that_carries_many_calls_shares_less():
    """Some busy copies on one fleet each feel the crowding; a shared headroom let them grow too slowly."""
    adaptive = after_pass(limit=16.0, usual_in_flight=8.0)
    adaptive.resize(4, 9.0)
    assert adaptive.sharing_instances == 1
    assert adaptive.headroom() == 4.0
    assert adaptive.measurement_limit == 4 * MIN_LIMIT


def test_a_small_shared_limit_is_set_against_the_mean_of_calls_in_flight():
    """Two calls at once by chance are no overload where half a call is in flight on average."""
    adaptive = after_pass(limit=1.5, in_flight=0)
    adaptive.resize(4, 1000.0)
    for i in range(40):  # two calls at once for 100 ms of each 400 ms: a mean of a half
        adaptive.count_calls(i * 400_000, 2)
        assert adaptive.admits(i * 400_000 + 50_000, 0)
        adaptive.count_calls(i * 400_000 + 100_000, -2)
    adaptive.count_calls(20_000_000, 2)
    assert not adaptive.admits(23_000_000, 0)
    alone = after_pass(limit=1.5, in_flight=0)
    alone.count_calls(0, 2)
    assert not alone.admits(50_000, 0)  # its servers are its own: the source's rule


def test_a_thin_window_moves_the_limit_by_its_part():
    """At a call a second a window's percentile is one call's luck, and would halve the limit."""
    adaptive = after_pass(limit=16.0, in_flight=16, usual_in_flight=8.0)
    adaptive.sample(1000 + 10 * WINDOW_US, 0, 250_000)
    full = 0.5 * 16 + 4
    assert adaptive.limit == pytest.approx(16 + (full - 16) / 8)


def test_buffer_reaches_to_the_part_of_the_aim():
    # min_rtt + B = 500 ms: a p90 of 400 ms does not shrink the limit
    adaptive = after_pass(
        allowance=500_000, limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    fill(adaptive, 400_000)
    assert adaptive.gradient == pytest.approx(1.25)


def test_empty_window_changes_nothing_and_a_thin_one_waits():
    adaptive = after_pass(limit=36.0, in_flight=30, usual_in_flight=20.0)
    adaptive.close_window(50 * WINDOW_US)
    assert adaptive.limit == 36.0
    adaptive.sample(WINDOW_US // 2, 0, 250_000)
    assert adaptive.limit == 36.0
    adaptive.sample(1000 + 10 * WINDOW_US, 0, 250_000)
    assert adaptive.limit == pytest.approx(36 + (24 - 36) * 2 / 8)


def test_five_windows_at_the_floor_start_a_pass():
    adaptive = after_pass(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if adaptive.measuring:
            break
        fill(adaptive, 1_000_000, start)
        start += WINDOW_US
    assert adaptive.measuring
    assert adaptive.limit == adaptive.floor


def test_windows_held_up_by_the_usual_calls_start_no_pass():
    """Any overload brings the limit down to a half of the usual calls, over seconds, and no further; a pass
    each few seconds would close the copy.
    """
    adaptive = after_pass(limit=50.0, in_flight=40, usual_in_flight=40.0)
    limits = []
    for i in range(200):
        fill(adaptive, 1_000_000, 1000 + i * WINDOW_US)
        limits.append(adaptive.limit)
        assert not adaptive.measuring
    assert limits[5] > 30
    assert limits[-1] == pytest.approx(20.0)
    fill(
        adaptive, 50_000, 1000 + 200 * WINDOW_US
    )  # it was of use: the usual is what is carried now
    assert adaptive.limit > 20
    assert adaptive.last_good_in_flight == adaptive.usual_in_flight


def test_pass_recurs_after_a_jittered_interval_and_keeps_the_limit():
    adaptive = after_pass(limit=36.0, in_flight=30, usual_in_flight=20.0)
    assert 60_000_000 <= adaptive.next_measurement - 1000 <= 66_000_000
    fill(adaptive, 125_000, adaptive.next_measurement)
    assert adaptive.measuring
    assert adaptive.allowed() == 5 * MIN_LIMIT
    run_pass(adaptive, 100_000, adaptive.next_measurement + 1)
    assert adaptive.allowed() == pytest.approx(
        36 + (42 - 36) / 8
    )  # closed by one sample


def test_classes_count_relative_to_their_own_min_rtt():
    adaptive = ConcurrencyLimit([10_000, 100_000], 1000, Random(1), 0)
    adaptive.resize(5, 1)
    for i in range(adaptive.calls_to_measure + 1):
        adaptive.sample(
            1000 if adaptive.calls_to_measure > 0 else adaptive.measuring_until,
            i % 2,
            100_000 if i % 2 else 10_000,
        )
    assert not adaptive.measuring
    adaptive.window_start = 1000
    adaptive.limit, adaptive.in_flight = 36.0, 30
    for i in range(WINDOW_FULL_SAMPLES):
        adaptive.sample(1000 + WINDOW_US, i % 2, 125_000 if i % 2 else 12_500)
    assert adaptive.gradient == pytest.approx(1.0)


def test_limit_keeps_half_of_what_was_carried_while_latency_was_good():
    """Shared slowness: the gradient alone would close the fleet."""
    adaptive = after_pass(limit=36.0, in_flight=30, usual_in_flight=20.0)
    start = 1000
    for _ in range(300):
        fill(adaptive, 125_000, start)
        start += WINDOW_US
        adaptive.in_flight = 30
    assert adaptive.usual_in_flight > 28
    for _ in range(40):
        if adaptive.measuring:
            run_pass(adaptive, 300_000, start)
            start = adaptive.measuring_until
        fill(adaptive, 300_000, start)
        start += WINDOW_US
    assert adaptive.limit == pytest.approx(
        max(adaptive.floor, adaptive.usual_in_flight), rel=1e-3
    )
    assert adaptive.usual_in_flight > 14


def test_a_min_rtt_measured_under_load_does_not_let_queues_grow_past_the_aim():
    adaptive = after_pass(rtt=900_000, allowance=500_000)
    assert adaptive.target_rtt[0] == 750_000


def test_after_a_start_usual_follows_within_two_round_trips_until_a_window_above_target():
    """A copy started into full traffic would refuse half of it for seconds."""
    adaptive = after_pass(allowance=200_000, limit=100.0, in_flight=80)
    fill(
        adaptive, 100_000
    )  # a window of 100 ms against round-trips of 100 ms: half the way
    assert adaptive.usual_in_flight == pytest.approx(40.0)
    fill(adaptive, 300_000, start=1000 + WINDOW_US)
    adaptive.in_flight = 80
    fill(adaptive, 100_000, start=1000 + 2 * WINDOW_US)  # from here over 3 s
    late = 40 * (1 - 1 / 40)
    assert adaptive.usual_in_flight == pytest.approx(late + (80 - late) / 30, rel=0.01)


def test_the_quick_start_ends_when_the_limit_does_not_bind():
    adaptive = after_pass(allowance=200_000, limit=100.0, in_flight=20)
    fill(adaptive, 100_000)
    assert not adaptive.ramping
    assert adaptive.usual_in_flight == pytest.approx(10.0)


@pytest.mark.parametrize(("lost", "low", "high"), [(0.0, 19.9, 20.1), (0.2, 0.0, 10.0)])
def test_usual_is_given_up_while_calls_are_late_and_more_of_it_while_they_are_lost(
    lost, low, high
):
    """Servers that slow down when crowded need rest, also from a start that went too far."""
    adaptive = after_pass(
        limit=40.0, in_flight=39, usual_in_flight=40.0, lost_ratio=lost
    )
    fill(adaptive, 1_000_000)
    assert adaptive.usual_in_flight == pytest.approx(40 * (1 - 1 / 40))
    for i in range(1, 200):
        fill(adaptive, 1_000_000, 1000 + i * WINDOW_US)
    assert low <= adaptive.usual_in_flight <= high


def test_the_floor_falls_with_the_share_of_calls_that_succeed():
    """With servers lost below, what was carried before is far too much from one moment to the next."""
    adaptive = after_pass(
        limit=40.0, in_flight=39, usual_in_flight=40.0, lost_ratio=0.5
    )
    fill(adaptive, 1_000_000)
    assert adaptive.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_usual_is_not_lowered_while_the_limit_binds():
    adaptive = after_pass(limit=20.0, in_flight=19, usual_in_flight=50.0)
    fill(adaptive, 50_000)
    assert adaptive.usual_in_flight == 50.0
    adaptive.in_flight = 2
    fill(adaptive, 50_000, start=1000 + WINDOW_US)
    assert adaptive.usual_in_flight < 50.0


def test_one_sample_does_not_make_a_window():
    adaptive = after_pass(limit=20.0, in_flight=5, usual_in_flight=15.0)
    adaptive.sample(1000 + WINDOW_US, 0, 10_000_000)
    assert adaptive.limit == 20.0
    assert len(adaptive.samples) == 1


def test_what_was_learned_moves_with_what_the_servers_are_good_for():
    adaptive = after_pass(limit=20.0, usual_in_flight=8.0)
    adaptive.rescale(10.0)
    assert (adaptive.limit, adaptive.usual_in_flight, adaptive.last_good_in_flight) == (
        20.0,
        8.0,
        8.0,
    )  # the first figure says nothing of a change
    adaptive.rescale(5.0)
    assert (adaptive.limit, adaptive.usual_in_flight, adaptive.last_good_in_flight) == (
        10.0,
        4.0,
        4.0,
    )
    adaptive.rescale(0.0)  # an empty list
    adaptive.rescale(10.0)
    assert (
        adaptive.limit,
        adaptive.usual_in_flight,
        adaptive.last_good_in_flight,
    ) == pytest.approx((20.0, 8.0, 8.0))


def test_after_the_first_pass_many_copies_do_not_each_fill_their_members():
    adaptive = after_pass(usual_in_flight=3.0)
    adaptive.resize(10, 7.0)
    assert (
        adaptive.measurement_limit > 2 * 3 + MIN_LIMIT
    )  # seven copies would hold as many calls each
    assert adaptive.upper_bound() == 2 * 3 + MIN_LIMIT


@pytest.mark.parametrize(
    ("latency", "lost", "falls"),
    [
        (40_000, 8, False),
        (40_000, 12, False),
        (40_000, 13, True),
        (180_000, 12, True),
        (180_000, 0, True),
    ],
)
def test_time_outs_are_overload_only_where_many_calls_are_lost_or_the_answered_ones_are_late(
    latency, lost, falls
):
    """Failure prevented: one call in ten meets a silent connection, and the limit falls to its floor."""
    adaptive = after_pass(allowance=100_000, limit=20.0, usual_in_flight=10.0)
    assert adaptive.target_rtt[0] >= 100_000
    for i in range(WINDOW_FULL_SAMPLES):
        served = i >= lost
        adaptive.in_flight = 20
        adaptive.sample(
            1000 + (i + 1) * WINDOW_US // WINDOW_FULL_SAMPLES,
            0,
            latency if served else 200_000,
            served,
        )
    assert adaptive.window_start > 1000
    assert (adaptive.limit < 20.0) == falls


@pytest.mark.parametrize(
    ("members", "limit", "spare"),
    [(1, 12.0, 1), (1, 12.0, 3), (3, 100.0, 1), (3, 100.0, 2), (3, 100.0, 3)],
)
def test_what_leaves_slots_for_others_is_let_in_while_nothing_is_in_flight(
    members, limit, spare
):
    """Failure prevented: only such calls come, a pass lets none of them in, and it never ends."""
    adaptive = controller(members=members, limit=limit)
    adaptive.start_measurement(0)
    adaptive.limit = limit
    assert adaptive.admits(0, spare)
    while adaptive.admits(0, spare):
        adaptive.count_calls(0, 1)
    assert adaptive.admits(0, 0)  # and leaves some
