"""How late discovery answers, as operators see it."""

from __future__ import annotations

import pytest

from loadbalancer.node.discovery.answer_delay import (
    QUICK_CONFIRM_S,
    SILENT_CONFIRM_S,
    SLOW_CONFIRM_S,
    AnswerDelay,
    AnsweredCall,
    DelayEvent,
)


@pytest.mark.parametrize(
    ("wait_s", "elapsed_s", "has_changes", "delay_s"),
    [
        (0.0, 2.0, True, 2.0),
        (0.0, 0.1, False, 0.1),
        (1.0, 3.0, False, 2.0),
        (1.0, 0.1, False, 0.0),  # an agent that does not wait
        (1.0, 0.2, True, 0.0),
        (1.0, 0.9, True, None),  # the change may have come at any time
        (1.0, 1.2, True, None),
        (1.0, 2.5, True, 1.5),  # at least
    ],
)
def test_the_delay_is_what_an_answer_took_beyond_its_wait(
    wait_s: float, elapsed_s: float, has_changes: bool, delay_s: float | None
) -> None:
    call = AnsweredCall(10.0, wait_s, 10.0 + elapsed_s, has_changes)
    assert call.delay_s() == pytest.approx(delay_s)


def answer(delay: AnswerDelay, at: float, delay_s: float) -> list[DelayEvent]:
    return delay.record(AnsweredCall(at - delay_s, 0.0, at, False))


def test_each_change_is_reported_once() -> None:
    delay = AnswerDelay(0.0)
    assert answer(delay, 1.0, 0.0) == []
    assert answer(delay, 3.0, 2.0) == []  # a single one may have been held back
    assert answer(delay, 3.0 + SLOW_CONFIRM_S, 1.0) == [DelayEvent.BECAME_SLOW]
    assert answer(delay, 6.0, 3.0) == []
    assert answer(delay, 7.0, 0.0) == []
    assert delay.slow_since == 3.0
    assert answer(delay, 6.0 + QUICK_CONFIRM_S, 0.0) == [DelayEvent.BECAME_QUICK]
    assert delay.slow_since is None
    assert delay.longest_s == 3.0
    assert delay.slow_periods == 1


def test_late_answers_with_quick_ones_between_them_are_no_slowness() -> None:
    """Failure prevented: the line is written for each single late answer."""
    delay = AnswerDelay(0.0)
    events = [
        event
        for second in range(40)
        for event in answer(delay, float(second), 2.0 * (second % 2))
    ]
    assert events == []


def test_silence_is_reported_once_and_ends_with_an_answer() -> None:
    delay = AnswerDelay(0.0)
    assert delay.record_late_call(SILENT_CONFIRM_S - 0.1) == []
    assert delay.record_late_call(SILENT_CONFIRM_S) == [DelayEvent.FELL_SILENT]
    assert delay.record_late_call(SILENT_CONFIRM_S + 1.0) == []
    assert answer(delay, 8.0, 0.0) == [DelayEvent.RECOVERED]
    delay.restart(9.0)
    assert delay.record_late_call(9.0 + SILENT_CONFIRM_S - 0.1) == []
