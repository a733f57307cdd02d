"""Figures of a run from what servers, forecasts and the machine have shown. No I/O."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import Any

MIN_SEEN = 2  # figures after a change, with which its forecast is judged
MIN_LOOKS = 2  # at the servers, between which something can be counted


def machine_figures(figures: dict[str, Any]) -> dict[str, Any]:
    """Of a run's figures those that tell of the machine, and so stand also where the run is void."""
    return {
        k: v
        for k, v in figures.items()
        if k.startswith("loop_late") or k == "stolen_percent"
    }


def forecast_figures(pages: list[dict[str, Any]]) -> dict[str, float | None]:
    """Figures of what the nodes forecast and have judged since."""
    judged = [
        entry
        for page in pages
        for entry in page["recent"]
        if len(entry["seen"]) >= MIN_SEEN
    ]
    return {
        "forecasts": len(judged),
        "forecast_error": _mean([entry["error"] for entry in judged]),
        "forecast_inside": _mean([entry["inside"] for entry in judged]),
    }


def _mean(values: list[float]) -> float | None:
    """The mean; None of nothing."""
    return statistics.fmean(values) if values else None


def server_figures(looks: list[dict[str, Any]]) -> dict[str, float | None]:
    """Figures of the stand-in servers, from what each had done at each look.

    Those with `tail_` in their name are of the last third of the run.
    """
    if len(looks) < MIN_LOOKS:
        return {}
    last = looks[-1]
    third = next(look for look in looks if look["at_s"] >= last["at_s"] * 2 / 3)
    third = third if third is not last else looks[-2]
    run = _request_shares(looks[0], last)
    tail = _request_shares(third, last)
    total = sum(last["requests"])
    keyed = sum(last["keyed"]) - sum(third["keyed"])
    hits = sum(last["hits"]) - sum(third["hits"])
    tail_peaks = [max(x["peak"]) for x in looks if x["at_s"] > third["at_s"]]
    return {
        "hit_rate": hits / keyed if keyed else None,
        "duplicates": last["twice"],
        "server_max_over_mean": run.max_over_mean,
        "servers_idle": run.idle,
        "tail_max_over_mean": tail.max_over_mean,
        "tail_variation": tail.variation,
        "tail_idle": tail.idle,
        "peak_held": max(max(look["peak"]) for look in looks[1:]),
        "tail_peak_held": max(tail_peaks),
        "turned_away": sum(last["turned_away"]) / total if total else None,
    }


@dataclass(frozen=True)
class RequestShares:
    """How evenly requests went to the servers; None where there were none.

    Attributes:
        max_over_mean: Requests of the busiest server over the mean.
        variation: Standard deviation over the mean.
        idle: Servers without a request.
    """

    max_over_mean: float | None
    variation: float | None
    idle: float | None


def _request_shares(since: dict[str, Any], last: dict[str, Any]) -> RequestShares:
    """The shares between two looks."""
    pairs = zip(since["requests"], last["requests"], strict=True)
    counts = [after - before for before, after in pairs]
    mean = statistics.fmean(counts)
    if not mean:
        return RequestShares(None, None, None)
    return RequestShares(
        max(counts) / mean,
        statistics.pstdev(counts) / mean,
        float(counts.count(0)),
    )
