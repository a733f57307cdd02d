"""Bounds for when unread bytes were written, from observations alone."""

import pytest

from loadbalancer.node.client.arrival import OPEN_TIME_S, ArrivalBounds


def begun(at: float = 10.0) -> ArrivalBounds:
    bounds = ArrivalBounds()
    bounds.begin(at)
    return bounds


def test_bytes_beyond_an_observation_were_written_after_it():
    bounds = begun()
    bounds.observe(11.0, 1_000, 500, window_open=True, reading=False)
    assert bounds.bound_at(1_500) == 10.0
    assert bounds.bound_at(1_501) == 11.0
    bounds.observe(12.0, 1_000, 800, window_open=True, reading=False)
    assert bounds.bound_at(1_800) == 11.0
    assert bounds.bound_at(1_801) == 12.0


def test_a_later_look_at_the_same_bytes_moves_the_bound_of_those_beyond():
    bounds = begun()
    for at in (11.0, 12.0, 13.0):
        bounds.observe(at, 1_000, 500, window_open=True, reading=False)
    assert bounds.bound_at(1_500) == 10.0
    assert bounds.bound_at(1_501) == 13.0


def test_what_has_been_processed_moves_the_bound_of_the_next_byte():
    bounds = begun()
    bounds.observe(11.0, 1_000, 500, window_open=True, reading=False)
    bounds.advance(1_499)
    assert bounds.since == 10.0
    bounds.advance(1_500)
    assert bounds.since == 11.0


def test_behind_a_full_window_nothing_tells_when_bytes_were_written():
    """Failure prevented: bytes that wait on the client's side count as written when they come."""
    bounds = begun()
    bounds.observe(11.0, 1_000, 90_000, window_open=False, reading=False)
    bounds.observe(12.0, 91_000, 0, window_open=True, reading=True)
    assert bounds.since == 10.0
    bounds.observe(12.0 + OPEN_TIME_S / 2, 99_000, 0, window_open=True, reading=True)
    assert bounds.bound_at(99_001) == 10.0


def test_a_window_that_stays_open_shows_that_the_clients_side_is_empty():
    bounds = begun()
    bounds.observe(11.0, 1_000, 90_000, window_open=False, reading=False)
    bounds.observe(12.0, 91_000, 0, window_open=True, reading=True)
    bounds.observe(12.1, 92_000, 0, window_open=True, reading=True)
    assert bounds.since is None
    bounds.begin(13.0)
    assert bounds.since == 13.0


def test_a_window_that_fills_again_starts_the_wait_anew():
    bounds = begun()
    for at in (11.0, 11.1, 11.2, 11.3):
        bounds.observe(at, 1_000, 90_000, window_open=False, reading=False)
        bounds.observe(at + 0.04, 50_000, 9, window_open=True, reading=True)
    assert bounds.bound_at(1 << 40) == 10.0


@pytest.mark.parametrize("reading", [True, False])
def test_an_empty_socket_ends_the_wait_only_while_reading(reading):
    bounds = begun()
    bounds.observe(11.0, 1_000, 0, window_open=True, reading=reading)
    assert bounds.since == (None if reading else 11.0)
