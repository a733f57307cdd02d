"""Estimates how late the discovery agent answers, from its answers alone. Pure: no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# An answer is late if it is not complete this time after the agent's waiting time (`wait_s`) has ended.
SILENCE_S = 0.3
# Longest delay of an answer with which a change arrives within its limit; docs/on-call.md names it.
MAX_ANSWER_DELAY_S = 4.4
# At the pace of a slow agent, calls do not stay open for later answers than this.
MAX_PACED_DELAY_S = 5.0
SLOW_CONFIRM_S = 1.0  # only late answers for this time: the agent is reported as slow
QUICK_CONFIRM_S = 5.0  # no late answer for this time: it is reported as quick again
SILENT_CONFIRM_S = 6.5  # no answer at all for this time: it is reported as silent
OVERDUE_FACTOR = 2.0  # a slow agent's next answer may take so many times its last delay


class DelayEvent(Enum):
    """What an operator should know about the agent's answers."""

    BECAME_SLOW = "became slow"
    BECAME_QUICK = "became quick"
    FELL_SILENT = "fell silent"
    RECOVERED = "recovered"


@dataclass(frozen=True, slots=True)
class AnsweredCall:
    """A call that has been answered.

    Attributes:
        started_at: Time of the request in seconds.
        wait_s: Seconds that the agent was allowed to wait for a change.
        answered_at: Time of the answer's last byte in seconds.
        has_changes: Whether the answer changed the version of the list.
    """

    started_at: float
    wait_s: float
    answered_at: float
    has_changes: bool

    def delay_s(self) -> float | None:
        """Returns how late the answer was in seconds, at least; None if that cannot be known.

        An agent that has changes answers at some moment within the time that it may wait.
        """
        elapsed_s = self.answered_at - self.started_at
        after_wait_s = max(0.0, elapsed_s - self.wait_s)
        if self.has_changes and SILENCE_S < elapsed_s <= self.wait_s + SILENCE_S:
            return None
        return after_wait_s


class AnswerDelay:
    """Keeps the delay of the agent's latest answer, and detects when it becomes slow, quick or silent.

    Times are seconds of one clock, which the caller reads.

    Args:
        now: Time of the first call.

    Attributes:
        last_s: Delay of the latest answer in seconds.
        longest_s: Longest delay since the agent became slow, or since the start.
        slow_since: Time since which the agent has been reported as slow; None if it is not.
        silent: The agent has been reported as silent.
        slow_periods: Number of times that the agent has become slow.
    """

    def __init__(self, now: float) -> None:
        self.last_s = 0.0
        self.longest_s = 0.0
        self.slow_since: float | None = None
        self.silent = False
        self.slow_periods = 0
        self._answered_at = now
        self._first_late_at: float | None = None
        self._last_late_at = now
        self._last_wait_s = 0.0

    def is_slow(self, now: float) -> bool:
        """Returns whether the next answer is expected late, so that calls are made at a slow agent's pace.

        This ends once that answer is overdue: the agent may have gone down, and has to be called often enough
        to notice its return.
        """
        if not SILENCE_S < self.last_s <= MAX_PACED_DELAY_S:
            return False
        expected_s = self._last_wait_s + SILENCE_S + OVERDUE_FACTOR * self.last_s
        return now < self._answered_at + expected_s

    def restart(self, now: float) -> None:
        """Forgets the delay; called when another agent is called from now on."""
        self.last_s = self.longest_s = 0.0
        self.slow_since = self._first_late_at = None
        self.silent = False
        self._answered_at = self._last_late_at = now

    def record(self, call: AnsweredCall) -> list[DelayEvent]:
        """Records an answer; returns what has changed with it."""
        events = []
        if self.silent:
            self.silent = False
            events.append(DelayEvent.RECOVERED)
        self._answered_at, self._last_wait_s = call.answered_at, call.wait_s
        delay_s = call.delay_s()
        if delay_s is None:
            return events
        self.last_s = delay_s
        if delay_s > SILENCE_S:
            events += self._record_late(call.answered_at)
        else:
            events += self._record_quick(call.answered_at)
        return events

    def _record_late(self, now: float) -> list[DelayEvent]:
        """Records a late answer. A single one may have been held back during an outage, so it is no proof."""
        if self._first_late_at is None:
            self._first_late_at = now
            if self.slow_since is None:
                self.longest_s = 0.0
        self._last_late_at = now
        self.longest_s = max(self.longest_s, self.last_s)
        if self.slow_since is not None or now < self._first_late_at + SLOW_CONFIRM_S:
            return []
        self.slow_since = self._first_late_at
        self.slow_periods += 1
        return [DelayEvent.BECAME_SLOW]

    def _record_quick(self, now: float) -> list[DelayEvent]:
        """Records an answer in time."""
        self._first_late_at = None
        if self.slow_since is None or now < self._last_late_at + QUICK_CONFIRM_S:
            return []
        self.slow_since = None
        return [DelayEvent.BECAME_QUICK]

    def record_late_call(self, now: float) -> list[DelayEvent]:
        """Records that a call has no answer yet although it is due; returns what has changed with it."""
        if self.silent or self.silent_s(now) < SILENT_CONFIRM_S:
            return []
        self.silent = True
        return [DelayEvent.FELL_SILENT]

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the latest answer."""
        return now - self._answered_at
