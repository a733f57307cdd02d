"""Computes forecasts on the node's event loop, one after the other, in slices of a few milliseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from loadbalancer.forecast.forecast_result import Forecast, unknown_forecast
from loadbalancer.forecast.sliced_work import SlicedWork
from loadbalancer.node.node import Node

SLICE_US = 2_000  # after this time a slice ends
SLICE_PAUSE_S = 0.002  # pause between two slices
US_PER_S = 1e6

# Called with a forecast that has been computed.
ForecastReady = Callable[[Forecast], None]


class _Job(NamedTuple):
    """A forecast to compute, and the callback that receives it."""

    work: SlicedWork[Forecast]
    then: ForecastReady


class ForecastQueue:
    """A first-in, first-out queue of forecasts to compute.

    Args:
        node: The node whose event loop is used.
        on_done: Called with each forecast and the seconds spent on its slices, before its own callback.
    """

    def __init__(self, node: Node, on_done: Callable[[Forecast, float], None]) -> None:
        self.node, self.on_done = node, on_done
        self._jobs: list[_Job] = []
        self._handle: asyncio.Handle | None = None
        self._spent_s = 0.0  # time spent on the first job

    def add(self, work: SlicedWork[Forecast], then: ForecastReady) -> None:
        """Adds a forecast to the queue; `then` is called with the result."""
        self._jobs.append(_Job(work, then))
        if self._handle is None:
            self._handle = self.node.loop.call_soon(self._slice)

    def stop(self) -> None:
        """Stops the queue: the remaining forecasts are not computed, and no callback is called."""
        if self._handle is not None:
            self._handle.cancel()

    def _slice(self) -> None:
        self._handle = None
        if not self._jobs:
            return
        job = self._jobs[0]
        started_at = self.node.now()
        forecast = self._advance(job.work, started_at)
        self._spent_s += (self.node.now() - started_at) / US_PER_S
        if forecast is not None:
            self._jobs.pop(0)
            spent_s, self._spent_s = self._spent_s, 0.0
            self.on_done(forecast, spent_s)
            job.then(forecast)
        if self._jobs and self._handle is None:
            self._handle = self.node.loop.call_later(SLICE_PAUSE_S, self._slice)

    def _advance(self, work: SlicedWork[Forecast], started_at: int) -> Forecast | None:
        """Computes one slice; returns the forecast once it is complete."""
        try:
            while self.node.now() - started_at < SLICE_US:
                next(work)
        except StopIteration as stop:
            forecast: Forecast = stop.value
            return forecast
        except Exception as e:
            # A failed computation must not block the queue; its result is an unknown forecast.
            return unknown_forecast(f"{type(e).__name__}: {e}")
        return None
