"""Feature `[forecast]`: forecasts how a placement change affects cache hits, and decides how it is made.

The decisions are made in `loadbalancer.forecast`; these modules provide the clock and access to the node.
This module implements the feature, `cache_observer` counts requests and hits, `key_reports` exchanges the
counts with other nodes, `change_forecaster` gathers the inputs of a forecast and `forecast_queue` computes it
on the node's event loop.
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

TICK_S = 1.0  # time between two ticks
US_PER_S = 1e6
# Name of the store's record with the accuracy of past forecasts.
ACCURACY_RECORD = "forecast"
TICKS_PER_SAVE = 30  # ticks between two writes of this record


class ForecastUnknownError(LoadBalancerError):
    """The effect of a placement change cannot be forecast; the change is treated like the worst case."""

    code: ClassVar[str] = "ForecastUnknown"
    remedy: ClassVar[str] = (
        "see /admin/forecast for what is missing: set [forecast] hit_header or entries, and"
        " server_misses_per_s; check that [membership] reaches the silent nodes; or set decide = false to"
        " apply changes at once"
    )


class ForecastFeature(CoreFeature, MigrationPlanner):
    """Forecasts placement changes, and plans them so that servers are not overloaded with cache misses.

    Attributes:
        config: The table `[forecast]` in force.
        plans: By kind of change: the time of the request, by the node's clock in microseconds, and the plan.
        last: The last forecast, as it was published.
    """

    name = "forecast"

    def on_start(self) -> None:
        """Restores the accuracy of forecasts before the restart, and starts to count requests."""
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
        """Applies the new operator configuration."""
        # The host already provides the new table.
        self.config = self._table()
        self._apply_config()

    def stop(self, graceful: bool) -> None:
        """Stops the feature and stores the accuracy of forecasts."""
        if self.timer is not None:
            self.timer.cancel()
        self.queue.stop()
        self.node.pool.hit_header = b""
        self.decides = False
        self.save_accuracy()

    # ---- events from the node -------------------------------------------------------------------------

    def is_hit(self, response: Reply) -> bool | None:
        """Returns whether a response came from a cache; None if the response does not report it."""
        return response.hit.lower().startswith(self.hit_value) if response.hit else None

    def on_attempt_end(self, end: AttemptEnd) -> None:
        """Counts a finished attempt by its key."""
        self.observer.add(end)

    def tick(self) -> None:
        """Evaluates forecasts, stores their accuracy and sends a report if due; runs every `TICK_S`."""
        self.timer = self.node.loop.call_later(TICK_S, self.tick)
        now = self.node.now()
        self.observer.sample.roll(now)
        self._evaluate_forecasts(now)
        self.ticks += 1
        if self.ticks % TICKS_PER_SAVE == 0:
            self.save_accuracy()
        if self.reports.is_due():
            if not self.forecaster.ring_positions:
                self.forecaster.note_ring_positions()
            self.reports.send()

    def _evaluate_forecasts(self, now: int) -> None:
        """Compares the tracked forecast with the hits of the current span."""
        observer = self.observer
        if observer.span_answers < MIN_SPAN_ANSWERS:
            return
        evaluated = self.accuracy.observe(
            observer.span_started_at, now, observer.span_hits, observer.span_answers
        )
        for tracked in evaluated:
            self.host.log_event("forecast accuracy evaluated", **tracked.table())
        observer.start_span(now)

    # ---- forecasts ------------------------------------------------------------------------------------

    def request_forecast(
        self, kind: ChangeKind, new: frozenset[int], then: ForecastReady
    ) -> None:
        """Queues the forecast of a change, for the servers that are currently listed.

        Args:
            kind: The kind of change.
            new: Numbers of the servers that the change adds.
            then: Called with the forecast as it is published.
        """
        forecaster = self.forecaster
        self.queue.add(forecaster.forecast(kind, forecaster.entries(), new), then)

    def _on_forecast(self, forecast: Forecast, took_s: float) -> None:
        self.last = forecast
        self.host.log_event(
            "forecast result computed", took_s=round(took_s, 3), **summary(forecast)
        )

    def track(self, kind: ChangeKind) -> None:
        """Starts to compare the forecast of a change that is being made with the observed hits."""
        forecast = self.forecaster.take_latest()
        if forecast is None or forecast.unknown_reason:
            return
        sample, now = self.observer.sample, self.node.now()
        offset = 0.0
        hit_ratio = sample.hit_ratio()
        if hit_ratio is not None and sum(sample.reported_answers) >= MIN_SPAN_ANSWERS:
            offset = hit_ratio - forecast.hit_ratio_now
        self.accuracy.track(now, kind, forecast, offset)
        self.observer.start_span(now)

    # ---- decisions ------------------------------------------------------------------------------------

    def on_change_requested(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        """Decides whether a placement change is made at once, in turn or later; allows all other changes."""
        if change != Change.PLACEMENT or not self.decides:
            then(ALLOWED)
            return
        kind = _kind_of(scope)
        requested_at, plan = self.plans.get(kind, (self.node.now(), None))
        if plan is not None and not plan.deferred:
            then(self._answer(kind, requested_at, plan))
            return
        self.request_forecast(
            kind,
            frozenset(),
            lambda forecast: then(self._decide(kind, requested_at, forecast)),
        )

    def _decide(
        self, kind: ChangeKind, requested_at: int, forecast: Forecast
    ) -> Answer:
        plan = self.plan_change(kind, requested_at, forecast)
        self.plans[kind] = requested_at, plan
        if forecast.unknown_reason and plan.deferred:
            error = ForecastUnknownError(forecast.unknown_reason, kind.value)
            self.host.log_event("forecast change deferred", **error.table())
        return self._answer(kind, requested_at, plan)

    def plan_change(
        self, kind: ChangeKind, requested_at: int, forecast: Forecast
    ) -> MigrationPlan:
        """Decides from a forecast how a change is made.

        Args:
            kind: The kind of change.
            requested_at: When the change was requested, by the node's clock (`Node.now`), in microseconds.
            forecast: The forecast of the change.
        """
        deferred_s = (self.node.now() - requested_at) / US_PER_S
        return plan_migration(self.rules, kind, forecast, deferred_s)

    def _answer(
        self, kind: ChangeKind, requested_at: int, plan: MigrationPlan
    ) -> Answer:
        """Returns whether this node may make its part of the change now, or when to ask again."""
        if plan.deferred:
            return Answer(False, f"forecast: {plan.reason}", plan.pause_s)
        if kind == ChangeKind.SUBSETS and plan.steps > 1:
            turn = node_turn(number_of(self.host.name), plan.steps)
            turn_at_s = requested_at / US_PER_S + turn * plan.pause_s
            left_s = turn_at_s - self.node.now() / US_PER_S
            if left_s > 0:
                reason = f"forecast: {plan.reason}; this node's turn is {turn + 1} of {plan.steps}"
                return Answer(False, reason, left_s)
        return ALLOWED

    def on_change_made(
        self, change: Change, scope: str, grant: tuple[int, int] | None
    ) -> None:
        """Starts to track the forecast of a placement change that has been made."""
        if change != Change.PLACEMENT:
            return
        kind = _kind_of(scope)
        self.track(kind)
        self.forecaster.note_ring_positions()
        if kind == ChangeKind.SUBSETS:
            self.plans.pop(kind, None)

    def take_plan(self, kind: ChangeKind) -> MigrationPlan | None:
        """Returns and clears the plan of a change that was allowed; None if there is none."""
        planned = self.plans.pop(kind, None)
        return planned[1] if planned is not None else None

    def start_pending_join(self, new: frozenset[int]) -> MigrationSchedule:
        """Handles servers that have joined: no shards move to them until the forecast has been made."""
        join = _PendingJoin(self, new)
        self.node.loop.call_soon(join.review)
        return join.schedule

    # ---- stored accuracy, and admin pages -------------------------------------------------------------

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
        """Loads the stored accuracy of past forecasts.

        Raises:
            StoreLockedError: The previous process of this node still holds the store; the feature starts
                later.
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
                reason="the stored accuracy cannot be decoded; starting with an empty one",
            )

    def metrics(self) -> dict[str, Any]:
        """Returns the feature's metrics under their published names."""
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
                    "waits_s": round((now - requested_at) / US_PER_S, 1),
                    "steps": plan.steps,
                    "why": plan.reason,
                }
                for kind, (requested_at, plan) in self.plans.items()
            },
            "account": self.accuracy.figures(),
        }

    def pages(self) -> dict[str, Callable[[], tuple[bool, dict[str, Any]]]]:
        """Returns `/admin/forecast`: the recent forecasts, and how they compare with the observed hits."""
        return {"/admin/forecast": self._page}

    def _page(self) -> tuple[bool, dict[str, Any]]:
        recent = [tracked.table() for tracked in self.accuracy.recent]
        return True, {**self.metrics(), "recent": recent}


class _PendingJoin:
    """Servers that have joined and have no shards yet.

    Their change is forecast repeatedly, every `review_s` seconds, until it may start.

    Attributes:
        schedule: The schedule in force.
        joined_at: When the servers joined, by the node's clock in microseconds.
    """

    def __init__(self, feature: ForecastFeature, new: frozenset[int]) -> None:
        self.feature, self.new = feature, new
        rules, now = feature.rules, feature.node.now()
        self.schedule = MigrationSchedule(
            rules.max_steps, rules.review_s, now, steps_done=0
        )
        self.joined_at = now

    def review(self) -> None:
        """Requests another forecast of the change."""
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
    """Returns a forecast's main figures under their published names."""
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
