"""Decides which open call to the discovery agent ends when a new one needs its slot. Pure: no I/O, no clock.

While the agent does not answer, it may be down, or it may be slow. If it was down, it has to be called often,
so that its return is noticed. If it is slow, calls have to stay open until it answers. A limited number of
calls serves both: most of them are retained, and the others are replaced by each new call.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from loadbalancer.node.discovery.answer_delay import SILENCE_S

# Largest number of open calls of the watch; their descriptors are set aside.
MAX_CALLS = 5
# Interval between the starts of retained calls, a multiple of SILENCE_S
RETAIN_INTERVAL_S = 5 * SILENCE_S
# Seconds beyond its wait for which a retained call stays open: long enough for MAX_ANSWER_DELAY_S. All slots
# but two are for retained calls, and a new one of them takes the slot of an unretained call at first.
RETAINED_LIFETIME_S = (MAX_CALLS - 2) * RETAIN_INTERVAL_S + SILENCE_S
# Time without an answer after which the oldest call is retained for longer
RETAIN_OLDEST_AFTER_S = 10.0
FIRST_OLDEST_LIFETIME_S = 10.0
TOLERANCE_S = 1e-6  # of times that are calculated
MAX_OLDEST_LIFETIME_S = 60.0  # an agent that needs longer for each answer is not heard


class OpenCall(Protocol):
    """What a decision needs to know of a call."""

    started_at: float
    wait_s: float
    retained: bool

    def is_receiving(self, now: float) -> bool:
        """Returns whether its answer is arriving at an acceptable rate."""
        ...


def oldest_first(calls: Sequence[OpenCall]) -> list[OpenCall]:
    """Returns calls in the order of their start."""
    return sorted(calls, key=lambda call: call.started_at)


def is_next_retained(calls: Sequence[OpenCall], now: float) -> bool:
    """Returns whether a call that starts now is to be retained.

    Args:
        calls: The open calls.
        now: The time in seconds.
    """
    retained = [call for call in oldest_first(calls) if call.retained]
    if not retained:
        return True
    newest = retained[-1]
    # The calls are SILENCE_S apart, or slightly more.
    return newest.wait_s > 0 or (
        now - newest.started_at >= RETAIN_INTERVAL_S - SILENCE_S / 2
    )


class CallRetention:
    """Selects the calls that end, and how long the oldest one may stay open.

    A retained call ends after RETAINED_LIFETIME_S. Only if there has been no answer for long, the oldest
    one stays open, each time for twice as long: an agent that is slower is heard through it.

    Attributes:
        oldest_lifetime_s: Seconds from the start of the oldest call after which it ends.
    """

    def __init__(self) -> None:
        self.oldest_lifetime_s = FIRST_OLDEST_LIFETIME_S

    def reset(self) -> None:
        """Called after a usable answer."""
        self.oldest_lifetime_s = FIRST_OLDEST_LIFETIME_S

    def index_to_end(
        self, calls: Sequence[OpenCall], now: float, paced: bool, unanswered_s: float
    ) -> int | None:
        """Returns the index of the call whose slot a new one takes; None if all of them receive answers.

        Args:
            calls: The open calls, which take up all slots.
            now: The time in seconds.
            paced: Whether the agent answers late, but reliably: all calls get the same time.
            unanswered_s: Seconds since the agent's latest answer.
        """
        waiting = [call for call in oldest_first(calls) if not call.is_receiving(now)]
        if not waiting:
            return None
        retain_oldest = not paced and unanswered_s >= RETAIN_OLDEST_AFTER_S
        if retain_oldest and now - waiting[0].started_at >= self.oldest_lifetime_s:
            doubled_s = 2 * self.oldest_lifetime_s
            self.oldest_lifetime_s = min(doubled_s, MAX_OLDEST_LIFETIME_S)
            return calls.index(waiting[0])
        return calls.index(select_call(waiting, now, paced, retain_oldest))


def select_call(
    waiting: list[OpenCall], now: float, paced: bool, retain_oldest: bool
) -> OpenCall:
    """Selects one of the calls that receive nothing, which are given in the order of their start.

    The oldest one ends before a retained call that may still be answered in time.
    """
    candidates = waiting[1:] if retain_oldest else waiting
    expired = [
        call
        for call in candidates
        if now - call.started_at - call.wait_s >= RETAINED_LIFETIME_S - TOLERANCE_S
    ]
    replaceable = [call for call in candidates if not call.retained]
    if paced:
        expired = []
    return (expired or replaceable or waiting)[0]
