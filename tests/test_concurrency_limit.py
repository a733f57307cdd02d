"""Tests of the gradient controller against windows computed by hand."""

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


def create_controller(
    allowance: int = 100_000, members: int = 5, **state
) -> ConcurrencyLimit:
    limit_controller = ConcurrencyLimit([allowance], 1000, Random(1), 0)
    limit_controller.resize(members, 1)
    limit_controller.last_good_in_flight = float(state.get("usual_in_flight", 0.0))
    for name, value in state.items():
        setattr(limit_controller, name, value)
    return limit_controller


def run_measurement(limit_controller: ConcurrencyLimit, rtt: int, now: int) -> None:
    """Adds answers of one latency until the measurement ends, the last one at its end time."""
    for _ in range(limit_controller.calls_to_measure):
        limit_controller.sample(now, 0, rtt)
    limit_controller.sample(limit_controller.measuring_until, 0, rtt)
    assert not limit_controller.measuring


def controller_after_measurement(
    rtt: int = 100_000, allowance: int = 100_000, **state
) -> ConcurrencyLimit:
    limit_controller = create_controller(allowance)
    run_measurement(limit_controller, rtt, 1000)
    limit_controller.window_start = 1000
    limit_controller.last_good_in_flight = float(state.get("usual_in_flight", 0.0))
    for name, value in state.items():
        setattr(limit_controller, name, value)
    return limit_controller


def fill_window(
    limit_controller: ConcurrencyLimit,
    latency: int,
    start: int = 1000,
    samples: int = WINDOW_FULL_SAMPLES,
) -> None:
    for i in range(samples):
        limit_controller.sample(start + (i + 1) * WINDOW_US // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_starts_with_a_measurement_at_its_low_limit():
    limit_controller = create_controller(members=5)
    assert limit_controller.measuring
    assert limit_controller.allowed() == 5 * MIN_LIMIT
    assert create_controller(members=1).allowed() == MIN_LIMIT


def test_measurement_sets_min_rtt_to_the_p90_of_its_calls():
    limit_controller = create_controller(members=5)
    calls = limit_controller.calls_to_measure
    assert calls <= MEASUREMENT_CALLS
    for i in range(calls):
        limit_controller.sample(
            limit_controller.measuring_until if i == calls - 1 else 1000,
            0,
            1000 * (i + 1),
        )
    assert not limit_controller.measuring
    assert limit_controller.min_rtt[0] == 1000 * (calls * 9 // 10)


def test_measurement_waits_for_long_calls():
    """A measurement that ends at its last answer samples only the short calls, so min_rtt is too low."""
    limit_controller = create_controller(members=5)
    for _ in range(200):
        limit_controller.sample(limit_controller.measuring_until - 1, 0, 1000)
    assert limit_controller.measuring


def test_measurement_ends_by_time_when_calls_are_few():
    limit_controller = create_controller()
    limit_controller.sample(10, 0, 500)
    limit_controller.sample(20, 0, 700)
    limit_controller.sample(
        limit_controller.measuring_until + 3 * 10 * WINDOW_US, 0, 600
    )
    assert not limit_controller.measuring
    assert limit_controller.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # With min RTT 100 ms, buffer 25 % and window p90 250 ms, the gradient is 0.5 and the limit is
    # 0.5 x 36 + 6 = 24.
    limit_controller = controller_after_measurement(
        limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    fill_window(limit_controller, 250_000)
    assert limit_controller.gradient == pytest.approx(0.5)
    assert limit_controller.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # The p90 of 125 ms is the min RTT plus the buffer: the gradient is 1 and the limit is 36 + 6.
    limit_controller = controller_after_measurement(
        limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    fill_window(limit_controller, 125_000)
    assert limit_controller.limit == pytest.approx(42.0)


def test_limit_stays_near_twice_the_calls_in_flight():
    limit_controller = controller_after_measurement(
        limit=100.0, in_flight=10, usual_in_flight=10.0
    )
    fill_window(limit_controller, 125_000)
    assert limit_controller.limit == pytest.approx(2 * 10 + MIN_LIMIT)


def test_instances_that_share_endpoints_share_floor_and_headroom():
    """With a floor of three calls per instance, hundreds of instances keep every endpoint overloaded."""
    limit_controller = controller_after_measurement(limit=4.0)
    limit_controller.resize(4, 36.0)
    assert limit_controller.floor == pytest.approx(4 * MIN_LIMIT / 36)
    assert limit_controller.headroom() == pytest.approx(2 / 6)
    limit_controller.resize(4, 9.0)
    assert limit_controller.measurement_limit == 4 * MIN_LIMIT / 3


def test_an_instance_with_many_calls_in_flight_shares_less():
    """With a shared headroom the limits of a few busy instances grow too slowly."""
    limit_controller = controller_after_measurement(limit=16.0, usual_in_flight=8.0)
    limit_controller.resize(4, 9.0)
    assert limit_controller.sharing_instances == 1
    assert limit_controller.headroom() == 4.0
    assert limit_controller.measurement_limit == 4 * MIN_LIMIT


def test_small_shared_limit_is_compared_with_the_mean_of_calls_in_flight():
    """Two calls at once by chance are no overload if half a call is in flight on average."""
    limit_controller = controller_after_measurement(limit=1.5, in_flight=0)
    limit_controller.resize(4, 1000.0)
    for i in range(40):  # Two calls at once for 100 ms of each 400 ms: a mean of 0.5.
        limit_controller.count_calls(i * 400_000, 2)
        assert limit_controller.admits(i * 400_000 + 50_000, 0)
        limit_controller.count_calls(i * 400_000 + 100_000, -2)
    limit_controller.count_calls(20_000_000, 2)
    assert not limit_controller.admits(23_000_000, 0)
    exclusive = controller_after_measurement(limit=1.5, in_flight=0)
    exclusive.count_calls(0, 2)
    # It shares no endpoint, so the calls in flight count, as in Envoy.
    assert not exclusive.admits(50_000, 0)


def test_window_with_few_samples_moves_the_limit_in_proportion():
    """At one call per second the percentile of a window depends on one call and could halve the limit."""
    limit_controller = controller_after_measurement(
        limit=16.0, in_flight=16, usual_in_flight=8.0
    )
    limit_controller.sample(1000 + 10 * WINDOW_US, 0, 250_000)
    full = 0.5 * 16 + 4
    assert limit_controller.limit == pytest.approx(16 + (full - 16) / 8)


def test_target_reaches_the_allowance_of_the_latency_objective():
    # The target is 500 ms: a p90 of 400 ms does not lower the limit.
    limit_controller = controller_after_measurement(
        allowance=500_000, limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    fill_window(limit_controller, 400_000)
    assert limit_controller.gradient == pytest.approx(1.25)


def test_empty_window_changes_nothing_and_one_with_few_samples_stays_open():
    limit_controller = controller_after_measurement(
        limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    limit_controller.close_window(50 * WINDOW_US)
    assert limit_controller.limit == 36.0
    limit_controller.sample(WINDOW_US // 2, 0, 250_000)
    assert limit_controller.limit == 36.0
    limit_controller.sample(1000 + 10 * WINDOW_US, 0, 250_000)
    assert limit_controller.limit == pytest.approx(36 + (24 - 36) * 2 / 8)


def test_five_windows_at_the_floor_start_a_measurement():
    limit_controller = controller_after_measurement(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if limit_controller.measuring:
            break
        fill_window(limit_controller, 1_000_000, start)
        start += WINDOW_US
    assert limit_controller.measuring
    assert limit_controller.limit == limit_controller.floor


def test_windows_bounded_by_the_usual_calls_start_no_measurement():
    """Any overload lowers the limit over seconds to half of the usual calls, and no further.

    If such windows started a measurement, the instance would reject nearly everything every few seconds.
    """
    limit_controller = controller_after_measurement(
        limit=50.0, in_flight=40, usual_in_flight=40.0
    )
    limits = []
    for i in range(200):
        fill_window(limit_controller, 1_000_000, 1000 + i * WINDOW_US)
        limits.append(limit_controller.limit)
        assert not limit_controller.measuring
    assert limits[5] > 30
    assert limits[-1] == pytest.approx(20.0)
    # The lower limit has helped: the usual number is now that of the calls in flight.
    fill_window(limit_controller, 50_000, 1000 + 200 * WINDOW_US)
    assert limit_controller.limit > 20
    assert limit_controller.last_good_in_flight == limit_controller.usual_in_flight


def test_measurement_recurs_after_a_jittered_interval_and_keeps_the_limit():
    limit_controller = controller_after_measurement(
        limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    assert 60_000_000 <= limit_controller.next_measurement - 1000 <= 66_000_000
    fill_window(limit_controller, 125_000, limit_controller.next_measurement)
    assert limit_controller.measuring
    assert limit_controller.allowed() == 5 * MIN_LIMIT
    run_measurement(limit_controller, 100_000, limit_controller.next_measurement + 1)
    # The window was closed with one sample.
    assert limit_controller.allowed() == pytest.approx(36 + (42 - 36) / 8)


def test_classes_count_relative_to_their_own_min_rtt():
    limit_controller = ConcurrencyLimit([10_000, 100_000], 1000, Random(1), 0)
    limit_controller.resize(5, 1)
    for i in range(limit_controller.calls_to_measure + 1):
        limit_controller.sample(
            1000
            if limit_controller.calls_to_measure > 0
            else limit_controller.measuring_until,
            i % 2,
            100_000 if i % 2 else 10_000,
        )
    assert not limit_controller.measuring
    limit_controller.window_start = 1000
    limit_controller.limit, limit_controller.in_flight = 36.0, 30
    for i in range(WINDOW_FULL_SAMPLES):
        limit_controller.sample(1000 + WINDOW_US, i % 2, 125_000 if i % 2 else 12_500)
    assert limit_controller.gradient == pytest.approx(1.0)


def test_limit_keeps_half_of_the_calls_in_flight_while_latency_was_good():
    """When the entire fleet is slow, the gradient alone would make it reject nearly all calls."""
    limit_controller = controller_after_measurement(
        limit=36.0, in_flight=30, usual_in_flight=20.0
    )
    start = 1000
    for _ in range(300):
        fill_window(limit_controller, 125_000, start)
        start += WINDOW_US
        limit_controller.in_flight = 30
    assert limit_controller.usual_in_flight > 28
    for _ in range(40):
        if limit_controller.measuring:
            run_measurement(limit_controller, 300_000, start)
            start = limit_controller.measuring_until
        fill_window(limit_controller, 300_000, start)
        start += WINDOW_US
    assert limit_controller.limit == pytest.approx(
        max(limit_controller.floor, limit_controller.usual_in_flight), rel=1e-3
    )
    assert limit_controller.usual_in_flight > 14


def test_min_rtt_measured_under_load_does_not_let_queues_exceed_the_latency_objective():
    limit_controller = controller_after_measurement(rtt=900_000, allowance=500_000)
    assert limit_controller.target_rtt[0] == 750_000


def test_after_a_start_usual_number_follows_within_two_round_trips_until_a_window_above_target():
    """An instance that starts with full traffic would reject half of it for seconds."""
    limit_controller = controller_after_measurement(
        allowance=200_000, limit=100.0, in_flight=80
    )
    # A window of 100 ms against round trips of 100 ms: the number moves half of the way.
    fill_window(limit_controller, 100_000)
    assert limit_controller.usual_in_flight == pytest.approx(40.0)
    fill_window(limit_controller, 300_000, start=1000 + WINDOW_US)
    limit_controller.in_flight = 80
    # From here on it is smoothed over 3 s.
    fill_window(limit_controller, 100_000, start=1000 + 2 * WINDOW_US)
    late = 40 * (1 - 1 / 40)
    assert limit_controller.usual_in_flight == pytest.approx(
        late + (80 - late) / 30, rel=0.01
    )


def test_ramp_ends_when_calls_stay_far_below_the_limit():
    limit_controller = controller_after_measurement(
        allowance=200_000, limit=100.0, in_flight=20
    )
    fill_window(limit_controller, 100_000)
    assert not limit_controller.ramping
    assert limit_controller.usual_in_flight == pytest.approx(10.0)


@pytest.mark.parametrize(("lost", "low", "high"), [(0.0, 19.9, 20.1), (0.2, 0.0, 10.0)])
def test_usual_number_fades_while_calls_are_late_and_further_while_they_are_lost(
    lost, low, high
):
    """Endpoints that slow down under overload must be relieved, also after a ramp that went too far."""
    limit_controller = controller_after_measurement(
        limit=40.0, in_flight=39, usual_in_flight=40.0, lost_ratio=lost
    )
    fill_window(limit_controller, 1_000_000)
    assert limit_controller.usual_in_flight == pytest.approx(40 * (1 - 1 / 40))
    for i in range(1, 200):
        fill_window(limit_controller, 1_000_000, 1000 + i * WINDOW_US)
    assert low <= limit_controller.usual_in_flight <= high


def test_lower_bound_falls_with_the_fraction_of_answered_calls():
    """When tiers below lose endpoints, the previous number of calls is suddenly far too high."""
    limit_controller = controller_after_measurement(
        limit=40.0, in_flight=39, usual_in_flight=40.0, lost_ratio=0.5
    )
    fill_window(limit_controller, 1_000_000)
    assert limit_controller.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_usual_number_is_not_lowered_while_calls_are_near_the_limit():
    limit_controller = controller_after_measurement(
        limit=20.0, in_flight=19, usual_in_flight=50.0
    )
    fill_window(limit_controller, 50_000)
    assert limit_controller.usual_in_flight == 50.0
    limit_controller.in_flight = 2
    fill_window(limit_controller, 50_000, start=1000 + WINDOW_US)
    assert limit_controller.usual_in_flight < 50.0


def test_one_sample_does_not_make_a_window():
    limit_controller = controller_after_measurement(
        limit=20.0, in_flight=5, usual_in_flight=15.0
    )
    limit_controller.sample(1000 + WINDOW_US, 0, 10_000_000)
    assert limit_controller.limit == 20.0
    assert len(limit_controller.samples) == 1


def test_limit_and_usual_numbers_scale_with_the_capacity_of_the_list():
    limit_controller = controller_after_measurement(limit=20.0, usual_in_flight=8.0)
    limit_controller.rescale(10.0)
    # The first capacity is no change.
    assert (
        limit_controller.limit,
        limit_controller.usual_in_flight,
        limit_controller.last_good_in_flight,
    ) == (
        20.0,
        8.0,
        8.0,
    )
    limit_controller.rescale(5.0)
    assert (
        limit_controller.limit,
        limit_controller.usual_in_flight,
        limit_controller.last_good_in_flight,
    ) == (
        10.0,
        4.0,
        4.0,
    )
    limit_controller.rescale(0.0)  # An empty list.
    limit_controller.rescale(10.0)
    assert (
        limit_controller.limit,
        limit_controller.usual_in_flight,
        limit_controller.last_good_in_flight,
    ) == pytest.approx((20.0, 8.0, 8.0))


def test_many_instances_do_not_each_fill_their_members_after_the_first_measurement():
    limit_controller = controller_after_measurement(usual_in_flight=3.0)
    limit_controller.resize(10, 7.0)
    # Each of seven instances would hold this number of calls.
    assert limit_controller.measurement_limit > 2 * 3 + MIN_LIMIT
    assert limit_controller.upper_bound() == 2 * 3 + MIN_LIMIT


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
def test_timeouts_are_overload_only_if_many_calls_are_lost_or_answered_ones_are_late(
    latency, lost, falls
):
    """Guards against a limit that falls to its floor because one call in ten has a silent connection."""
    limit_controller = controller_after_measurement(
        allowance=100_000, limit=20.0, usual_in_flight=10.0
    )
    assert limit_controller.target_rtt[0] >= 100_000
    for i in range(WINDOW_FULL_SAMPLES):
        served = i >= lost
        limit_controller.in_flight = 20
        limit_controller.sample(
            1000 + (i + 1) * WINDOW_US // WINDOW_FULL_SAMPLES,
            0,
            latency if served else 200_000,
            served,
        )
    assert limit_controller.window_start > 1000
    assert (limit_controller.limit < 20.0) == falls


@pytest.mark.parametrize(
    ("members", "limit", "reserved_headrooms"),
    [(1, 12.0, 1), (1, 12.0, 3), (3, 100.0, 1), (3, 100.0, 2), (3, 100.0, 3)],
)
def test_calls_that_reserve_headroom_are_admitted_while_nothing_is_in_flight(
    members, limit, reserved_headrooms
):
    """Guards against a measurement that never ends because it rejects all calls that reserve headroom."""
    limit_controller = create_controller(members=members, limit=limit)
    limit_controller.start_measurement(0)
    limit_controller.limit = limit
    assert limit_controller.admits(0, reserved_headrooms)
    while limit_controller.admits(0, reserved_headrooms):
        limit_controller.count_calls(0, 1)
    assert limit_controller.admits(0, 0)  # Some slots are left.
