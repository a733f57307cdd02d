"""`[forecast]`: forecasts what a change of placement does to cache hits, and decides how the change is made.

`loadbalancer.forecast` decides; here are the clock and the node. This module answers for the feature host;
`cache_observer` counts, `key_reports` exchanges the counts with other nodes, `change_forecaster` gathers what
a forecast goes by and `forecast_queue` works it out on the node's loop.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, ClassVar

from loadbalancer.config.operator_config import ForecastTable, OperatorConfig
from loadbalancer.errors import LoadBalancerError
from loadbalancer.forecast.accuracy import MIN_SPAN_ANSWERS
from loadbalancer.forecast.forecast_result import Forecast
from loadbalancer.forecast.migration import (
    ChangeKind,
    MigrationPlan,
    MigrationSchedule,
    node_turn,
    plan_migration,
)
from loadbalancer.forecast.rendezvous import POSITION_COUNT
from loadbalancer.node.features.cache_observer import CacheObserver
from loadbalancer.node.features.change_forecaster import ChangeForecaster
from loadbalancer.node.features.core_feature import CoreFeature
from loadbalancer.node.features.feature import ALLOWED, Answer, AttemptEnd, Change
from loadbalancer.node.features.forecast_queue import ForecastQueue, ForecastReady
from loadbalancer.node.features.key_reports import KeyReports
from loadbalancer.node.features.shards import (
    SHARDS_SCOPE,
    MigrationPlanner,
    ShardsFeature,
)
from loadbalancer.node.numbering import number_of
from loadbalancer.node.upstream.response import Response as Reply
from loadbalancer.stores.interface import StoreError, StoreLockedError

TICK_S = 1.0
US_PER_S = 1e6
ACCURACY_RECORD = "forecast"  # in the store
TICKS_PER_SAVE = 30  # between two writes of it


class ForecastUnknownError(LoadBalancerError):
    """What a change of placement does cannot be forecast; by the rules it waits like the worst of them."""

    code: ClassVar[str] = "ForecastUnknown"
    remedy: ClassVar[str] = (
        "see /admin/forecast for what is missing: name [forecast] hit_header or entries, and"
        " server_misses_per_s; see that [membership] reaches the silent nodes; or set decide = false to let"
        " changes be made at once"
    )


class ForecastFeature(CoreFeature, MigrationPlanner):
    """The feature.

    Attributes:
        config: The operators' table in force.
        plans: By kind of change: since when it is wanted, and what is to be done.
        last: The last forecast, as it was given out.
    """

    name = "forecast"

    def on_start(self) -> None:
        """Starts to count; restores the accuracy of the forecasts before the restart."""
        self.config = self._table()
        now = self.node.now()
        self.observer = CacheObserver(_window_us(self.config), now)
        self.reports = KeyReports(self.host, self.observer.sample, self.config)
        self.forecaster = ChangeForecaster(
            self.host, self.observer, self.reports, self.config
        )
        self.accuracy = self.forecaster.accuracy
        self.queue = ForecastQueue(self.node, self._on_forecast)
        self.plans: dict[ChangeKind, tuple[int, MigrationPlan]] = {}
        self.last: Forecast | None = None
        self.ticks = 0
        self.timer: asyncio.TimerHandle | None = None
        self.restore_accuracy()
        self._apply_config()
        self.hit_of = self.is_hit
        self.tick()

    def _table(self) -> ForecastTable:
        table = self.host.operator_config().forecast
        assert table is not None
        return table

    def _apply_config(self) -> None:
        self.decides = self.config.decide
        self.rules = self.config.rules()
        self.node.pool.hit_header = self.config.hit_header.lower().encode()
        self.hit_value = self.config.hit_value.lower().encode()
        self.observer.sample.window_us = _window_us(self.config)
        self.reports.config = self.forecaster.config = self.config

    def reload(self, operation: OperatorConfig) -> None:
        """Takes the operators' table in force."""
        # The host's table is already the new one.
        self.config = self._table()
        self._apply_config()

    def stop(self, graceful: bool) -> None:
        """Ends; the accuracy is stored."""
        if self.timer is not None:
            self.timer.cancel()
        self.queue.stop()
        self.node.pool.hit_header = b""
        self.decides = False
        self.save_accuracy()

    # ---- what the node reports ------------------------------------------------------------------------

    def is_hit(self, answer: Reply) -> bool | None:
        """Whether an answer came from a cache; None if it does not say."""
        return answer.hit.lower().startswith(self.hit_value) if answer.hit else None

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """Counts an answer by its key."""
        self.observer.add(end)

    def tick(self) -> None:
        """Each second: judges forecasts, stores the accuracy, exchanges reports."""
        self.timer = self.node.loop.call_later(TICK_S, self.tick)
        now = self.node.now()
        self.observer.sample.roll(now)
        self._judge_forecasts(now)
        self.ticks += 1
        if self.ticks % TICKS_PER_SAVE == 0:
            self.save_accuracy()
        if self.reports.is_due():
            if not self.forecaster.ring_positions:
                self.forecaster.note_ring_positions()
            self.reports.send()

    def _judge_forecasts(self, now: int) -> None:
        observer = self.observer
        if observer.span_answers < MIN_SPAN_ANSWERS:
            return
        judged = self.accuracy.observe(
            observer.span_started_at, now, observer.span_hits, observer.span_answers
        )
        for tracked in judged:
            self.host.log_event("forecast accuracy evaluated", **tracked.table())
        observer.begin_span(now)

    # ---- forecasts ------------------------------------------------------------------------------------

    def request_forecast(
        self, kind: ChangeKind, new: frozenset[int], then: ForecastReady
    ) -> None:
        """Has a change to the listed servers forecast.

        Args:
            kind: What changes.
            new: Servers that were not there before.
            then: Called with the forecast as it is given out.
        """
        forecaster = self.forecaster
        self.queue.add(forecaster.forecast(kind, forecaster.entries(), new), then)

    def _on_forecast(self, forecast: Forecast, took_s: float) -> None:
        self.last = forecast
        self.host.log_event(
            "forecast result computed", took_s=round(took_s, 3), **summary(forecast)
        )

    def track(self, kind: ChangeKind) -> None:
        """A change is made: from now on the forecast of it is compared with what is observed."""
        forecast = self.forecaster.take_latest()
        if forecast is None or forecast.unknown_reason:
            return
        sample, now = self.observer.sample, self.node.now()
        offset = 0.0
        hit_ratio = sample.hit_ratio()
        if hit_ratio is not None and sum(sample.reported_answers) >= MIN_SPAN_ANSWERS:
            offset = hit_ratio - forecast.hit_ratio_now
        self.accuracy.track(now, kind, forecast, offset)
        self.observer.begin_span(now)

    # ---- decisions ------------------------------------------------------------------------------------

    def on_change_requested(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """A change of placement goes at once, in its turn, or waits; all others are allowed."""
        if change != Change.PLACEMENT or not self.decides:
            then(ALLOWED)
            return
        kind = _kind_of(scope)
        wanted_since, plan = self.plans.get(kind, (self.node.now(), None))
        if plan is not None and not plan.deferred:
            then(self._answer(kind, wanted_since, plan))
            return
        self.request_forecast(
            kind,
            frozenset(),
            lambda forecast: then(self._decide(kind, wanted_since, forecast)),
        )

    def _decide(
        self, kind: ChangeKind, wanted_since: int, forecast: Forecast
    ) -> Answer:
        plan = self.plan_change(kind, wanted_since, forecast)
        self.plans[kind] = wanted_since, plan
        if forecast.unknown_reason and plan.deferred:
            error = ForecastUnknownError(forecast.unknown_reason, kind.value)
            self.host.log_event("forecast change deferred", **error.table())
        return self._answer(kind, wanted_since, plan)

    def plan_change(
        self, kind: ChangeKind, wanted_since: int, forecast: Forecast
    ) -> MigrationPlan:
        """Decides by a forecast how a change is made.

        Args:
            kind: What changes.
            wanted_since: Since when it is wanted, by the node's clock (`Node.now`), in microseconds.
            forecast: What the change does.
        """
        deferred_s = (self.node.now() - wanted_since) / US_PER_S
        return plan_migration(self.rules, kind, forecast, deferred_s)

    def _answer(
        self, kind: ChangeKind, wanted_since: int, plan: MigrationPlan
    ) -> Answer:
        """Whether this node may make its part of the change now."""
        if plan.deferred:
            return Answer(False, f"forecast: {plan.reason}", plan.pause_s)
        if kind == ChangeKind.SUBSETS and plan.steps > 1:
            turn = node_turn(number_of(self.host.name), plan.steps)
            turn_at_s = wanted_since / US_PER_S + turn * plan.pause_s
            left_s = turn_at_s - self.node.now() / US_PER_S
            if left_s > 0:
                reason = f"forecast: {plan.reason}; this node's turn is {turn + 1} of {plan.steps}"
                return Answer(False, reason, left_s)
        return ALLOWED

    def on_change_made(
        self, change: Change, scope: str, grant: tuple[int, int] | None
    ) -> None:
        """A change has been made: from now on its forecast is tracked."""
        if change != Change.PLACEMENT:
            return
        kind = _kind_of(scope)
        self.track(kind)
        self.forecaster.note_ring_positions()
        if kind == ChangeKind.SUBSETS:
            self.plans.pop(kind, None)

    def take_plan(self, kind: ChangeKind) -> MigrationPlan | None:
        """How a change that was allowed is to be made, once."""
        planned = self.plans.pop(kind, None)
        return planned[1] if planned is not None else None

    def begin_join(self, new: frozenset[int]) -> MigrationSchedule:
        """Servers have joined: none of their shards move until it is decided how."""
        join = _PendingJoin(self, new)
        self.node.loop.call_soon(join.review)
        return join.schedule

    # ---- accuracy over restarts, and for operators ----------------------------------------------------

    def save_accuracy(self) -> None:
        """Stores the accuracy of past forecasts, if there is any."""
        table = self.accuracy.dump()
        if table:
            try:
                body = json.dumps(table).encode()
                self.host.store().replace(ACCURACY_RECORD, body)
            except StoreError as error:
                self.host.log_event("forecast accuracy save failed", **error.table())

    def restore_accuracy(self) -> None:
        """Takes on the accuracy that was stored.

        Raises:
            StoreLockedError: The process before this one has not ended yet; the feature starts later.
        """
        try:
            body = self.host.store().get(ACCURACY_RECORD)
            if body is not None:
                self.accuracy.restore(json.loads(body))
        except StoreLockedError:
            raise
        except StoreError as error:
            self.host.log_event("forecast accuracy unavailable", **error.table())
        except ValueError:
            self.host.log_event(
                "forecast accuracy corrupt",
                reason="it cannot be read; a new one begins",
            )

    def metrics(self) -> dict[str, Any]:
        """The feature's figures, by the published keys."""
        now, sample = self.node.now(), self.observer.sample
        hit_ratio = sample.hit_ratio()
        return {
            "decides": self.decides,
            "sampled": len(sample.current.counts),
            "part": sample.current.threshold / POSITION_COUNT,
            "requests": sample.current.requests,
            "hit_rate": round(hit_ratio, 4) if hit_ratio is not None else None,
            "last": summary(self.last) if self.last is not None else None,
            "plans": {
                kind.value: {
                    "waits_s": round((now - wanted_since) / US_PER_S, 1),
                    "steps": plan.steps,
                    "why": plan.reason,
                }
                for kind, (wanted_since, plan) in self.plans.items()
            },
            "account": self.accuracy.figures(),
        }

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """What was forecast lately and what came of it."""
        return {"/admin/forecast": self._page}

    def _page(self) -> tuple[bool, dict[str, Any]]:
        recent = [tracked.table() for tracked in self.accuracy.recent]
        return True, {**self.metrics(), "recent": recent}


class _PendingJoin:
    """Servers that have joined and have no shards yet: forecast again and again until they get them.

    Attributes:
        schedule: The steps in force.
    """

    def __init__(self, feature: ForecastFeature, new: frozenset[int]) -> None:
        self.feature, self.new = feature, new
        rules, now = feature.rules, feature.node.now()
        self.schedule = MigrationSchedule(
            rules.max_steps, rules.review_s, now, steps_done=0
        )
        self.joined_at = now

    def review(self) -> None:
        """Has the change forecast once more."""
        self.feature.request_forecast(ChangeKind.JOIN, self.new, self._decide)

    def _decide(self, forecast: Forecast) -> None:
        feature = self.feature
        plan = feature.plan_change(ChangeKind.JOIN, self.joined_at, forecast)
        shards = feature.host.features.get("shards")
        if not isinstance(shards, ShardsFeature):
            return
        schedule = shards.start_join(self.schedule, plan)
        if schedule is None:
            return
        self.schedule = schedule
        if plan.deferred:
            feature.node.loop.call_later(feature.rules.review_s, self.review)
        else:
            feature.track(ChangeKind.JOIN)


def _kind_of(scope: str) -> ChangeKind:
    return ChangeKind.SHARDS if scope.endswith(SHARDS_SCOPE) else ChangeKind.SUBSETS


def _window_us(config: ForecastTable) -> int:
    return int(config.window_s * US_PER_S)


def summary(forecast: Forecast) -> dict[str, Any]:
    """A forecast in a line, by the published keys."""
    if forecast.unknown_reason:
        return {"unknown": forecast.unknown_reason}
    return {
        "now": round(forecast.hit_ratio_now, 4),
        "lowest": round(forecast.lowest_hit_ratio, 4),
        "steady": round(forecast.steady_hit_ratio, 4),
        "half": round(forecast.margin, 4),
        "recovered_s": round(forecast.recovery_s, 1),
        "misses_now": round(forecast.misses_now, 1),
        "misses_most": round(forecast.peak_misses, 1),
        "worst": round(forecast.peak_load, 3),
        "worst_high": round(forecast.peak_load_high, 3),
    }
