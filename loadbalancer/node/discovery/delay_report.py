"""Reports to operators how late the discovery agent answers: log lines and metrics."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.node.discovery.answer_delay import (
    AnswerDelay,
    AnsweredCall,
    DelayEvent,
)
from loadbalancer.node.log import Log


@dataclass(frozen=True, slots=True)
class DiscoveryMetrics:
    """How the discovery agent answers, as `/admin/stats` publishes it.

    Attributes:
        slow: The agent answers late.
        silent: The agent does not answer.
        answer_delay_ms: How late the latest answer was.
        longest_answer_delay_ms: How late the latest answer of its present or last slow period was.
        slow_periods: Number of times that the agent has become slow.
        seconds_since_answer: Seconds since the latest answer, or since the start.
        calls: Requests to the agent.
        calls_abandoned: Requests that ended without an answer, so that newer ones got their slots.
        open_calls: Calls that are open now.
    """

    slow: bool = False
    silent: bool = False
    answer_delay_ms: int = 0
    longest_answer_delay_ms: int = 0
    slow_periods: int = 0
    seconds_since_answer: float = 0.0
    calls: int = 0
    calls_abandoned: int = 0
    open_calls: int = 0


class DelayReport:
    """Keeps the agent's delay, and logs each change of it once.

    Args:
        delay: The agent's delay.
        log: Receives a line when the agent becomes slow, quick or silent, and when it answers again.

    Attributes:
        calls: Requests to the agent.
        abandoned: Requests that ended without an answer, mostly because a newer one needed the slot.
    """

    def __init__(self, delay: AnswerDelay, log: Log) -> None:
        self.delay = delay
        self.log = log
        self.calls = 0
        self.abandoned = 0

    def record(self, call: AnsweredCall) -> None:
        """Records an answer."""
        silent_s = self.delay.silent_s(call.answered_at)
        slow_since = self.delay.slow_since
        for event in self.delay.record(call):
            if event is DelayEvent.BECAME_SLOW:
                self.log.line(f"discovery slow answer_delay_s={self.delay.last_s:.3f}")
            elif event is DelayEvent.BECAME_QUICK and slow_since is not None:
                self.log.line(
                    f"discovery quick again slow_for_s={call.answered_at - slow_since:.1f}"
                    f" longest_answer_delay_s={self.delay.longest_s:.3f}"
                )
            elif event is DelayEvent.RECOVERED:
                self.log.line(f"discovery answers again silent_for_s={silent_s:.1f}")

    def record_late_call(self, now: float) -> None:
        """Records that a call has no answer yet although it is due."""
        if self.delay.record_late_call(now):
            self.log.line(f"discovery silent for_s={self.delay.silent_s(now):.1f}")

    def metrics(self, now: float, open_calls: int) -> DiscoveryMetrics:
        """Returns the current metrics.

        Args:
            now: The time in seconds.
            open_calls: Number of open calls.
        """
        return DiscoveryMetrics(
            slow=self.delay.slow_since is not None,
            silent=self.delay.silent,
            answer_delay_ms=round(1000 * self.delay.last_s),
            longest_answer_delay_ms=round(1000 * self.delay.longest_s),
            slow_periods=self.delay.slow_periods,
            seconds_since_answer=round(self.delay.silent_s(now), 3),
            calls=self.calls,
            calls_abandoned=self.abandoned,
            open_calls=open_calls,
        )
