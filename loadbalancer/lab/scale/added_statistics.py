"""Statistics of the turns that paths play at the same arrivals: quantiles and their differences."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Times = NDArray[np.float64]
TARGET_MS = 0.48  # added to a call for 99 in 100, by the fleet ahead
LEAD = 0.015  # seconds of a turn that are played and not counted: its caches are the others' until then
DRAWS = 500  # of the bootstrap
DIRECT_BOUND = TARGET_MS  # ms of the direct path's p99 beyond service time: as large as what is looked for
TIMER_GRAIN = 1.5  # ms by which an answer after a stated time may come late: the loop's timers are coarse
# Ms in a turn that a process may wait for its core; a worse turn is left out
WAIT_BOUND = 0.2
LATE_MOST = 0.25  # ms by which the load may be late with one call of a turn; the same
# Share of a path's turns that must be left: of fewer, the short ones are left
KEPT_BOUND = 0.25
LATE_BOUND = 0.2  # ms of the load's own lateness, p99
BAD_BOUND = 0.001  # share of calls that may be refused, lost, or without a connection
LEAST_TAIL = 10  # calls beyond the quantile without which it is none
QUANTILES = (0.5, 0.9, 0.99)
DIRECT, RELAY, NODE, CONTROL = "direct", "relay", "node", "control"
FLEET = "fleet"  # a node with control on, and a stand-in for the other members of a large fleet
PATHS = (DIRECT, RELAY, NODE, CONTROL, FLEET)


@dataclass(frozen=True)
class Turn:
    """One path's turn at one block. Calls stand in the order in which they were due."""

    block: int
    path: str
    latency: Times  # ms from the moment a call was due to its answer's last byte; NaN: none came
    late: Times  # ms by which the load was late to send it; NaN: it had no connection
    refused: int = 0  # answers but 200
    cpu: float = 0.0  # seconds of processor time that the path's process used...
    seconds: float = 0.0  # ...in so long
    waited: float = 0.0  # ms that one of the processes (load, path, servers) was left without a core
    stolen: float = 0.0  # ms, by 10, that the machine's host took from the cores of load, path and servers

    @property
    def disturbed(self) -> bool:
        """Whether others had the cores, or the load's, for longer than a figure bears."""
        late = self.late[~np.isnan(self.late)]
        return self.waited > WAIT_BOUND or (
            bool(late.size) and float(late.max()) > LATE_MOST
        )


@dataclass(frozen=True)
class Interval:
    """A figure, and 95 in 100 of what the bootstrap gave."""

    value: float
    low: float
    high: float


def arrivals(
    rate: float, seconds: float, seed: int, block: int, lead: float = LEAD
) -> Times:
    """When the calls of a block are due, in seconds; those below 0 are its lead. The same for each path."""
    random = np.random.default_rng((seed, block, round(rate * 1000)))
    span = lead + seconds
    most = int(rate * span + 10 * math.sqrt(rate * span) + 10)
    due = np.cumsum(random.exponential(1 / rate, most)) - lead
    return due[due < seconds]


def turns_of(paths: Sequence[str], seed: int, block: int) -> list[str]:
    """In which order the paths play a block."""
    return [
        paths[i] for i in np.random.default_rng((seed, block)).permutation(len(paths))
    ]


def undisturbed(turns: Sequence[Turn]) -> list[Turn]:
    """The turns without the disturbed ones.

    The system's own count tells what others do to the machine, not the latencies, so that no turn is left out
    for what the path did.
    """
    return [t for t in turns if not t.disturbed]


def by_block(turns: Sequence[Turn], path: str) -> dict[int, Times]:
    """A path's latencies by block; calls without an answer count as if they had taken for ever."""
    return {
        t.block: np.where(np.isnan(t.latency), np.inf, t.latency)
        for t in turns
        if t.path == path
    }


def quantile(values: Times, q: float) -> float:
    """The value that q of all do not exceed: one of them, as nothing lies between a call and a lost one."""
    return float(np.quantile(values, q, method="higher")) if values.size else math.nan


def difference(
    one: Mapping[int, Times],
    other: Mapping[int, Times],
    q: float,
    seed: int,
    draws: int = DRAWS,
) -> Interval:
    """One path's quantile less the other's, with its interval.

    A block is drawn for both at once; of one in which a turn was left out, the other path's counts all the
    same.
    """
    blocks = sorted(one.keys() | other.keys())
    if not one or not other:
        return Interval(math.nan, math.nan, math.nan)

    def over(chosen: Sequence[int]) -> float:
        of_one = quantile(
            np.concatenate([np.empty(0), *(one[b] for b in chosen if b in one)]), q
        )
        of_other = quantile(
            np.concatenate([np.empty(0), *(other[b] for b in chosen if b in other)]), q
        )
        return (
            of_one - of_other
            if math.isfinite(of_one) and math.isfinite(of_other)
            else math.inf
        )

    random = np.random.default_rng(seed)
    drawn = [
        over([blocks[i] for i in random.integers(len(blocks), size=len(blocks))])
        for _ in range(draws)
    ]
    low, high = (
        np.quantile(drawn, (0.025, 0.975), method="nearest")
        if draws
        else (math.nan, math.nan)
    )
    return Interval(over(blocks), float(low), float(high))


def pairs(one: Mapping[int, Times], other: Mapping[int, Times], q: float) -> float:
    """The quantile of each call's own difference: the same call, due at the same moment, on both paths.

    It holds the noise of both, so that it is no less than what is added.
    """
    blocks = sorted(one.keys() & other.keys())
    found = [one[b] - other[b] for b in blocks if one[b].size == other[b].size]
    return quantile(np.concatenate(found), q) if found else math.nan


def core_percent(turns: Sequence[Turn], path: str) -> float:
    """Processor time of a path's process in its own turns, of one core."""
    seconds = sum(t.seconds for t in turns if t.path == path)
    return (
        100 * sum(t.cpu for t in turns if t.path == path) / seconds if seconds else 0.0
    )


def figures_of(
    played: Sequence[Turn], paths: Sequence[str], seed: int
) -> dict[str, float]:
    """A point's figures, times in ms: of the turns that nobody disturbed, and beside them of all."""
    turns = undisturbed(played)
    everything = {path: by_block(played, path) for path in paths}
    latency = {path: by_block(turns, path) for path in paths}
    found: dict[str, float] = {"blocks": float(len({t.block for t in played}))}
    for path in paths:
        whole = np.concatenate([np.empty(0), *latency[path].values()])
        for q in QUANTILES:
            found[f"{path}_p{round(q * 100)}_ms"] = quantile(whole, q)
        found[f"{path}_blocks"] = float(len(latency[path]))
        found[f"{path}_calls"] = float(whole.size)
        found[f"{path}_kept_rate"] = kept_rate(everything[path], latency[path])
        if path == DIRECT:
            continue
        found[f"{path}_core_percent"] = core_percent(turns, path)
        for q in QUANTILES:
            added = difference(latency[path], latency[DIRECT], q, seed)
            put(found, f"{path}_added_p{round(q * 100)}_ms", added)
        found[f"{path}_pairs_p99_ms"] = pairs(latency[path], latency[DIRECT], 0.99)
        put(
            found,
            f"{path}_all_p99_ms",
            difference(everything[path], everything[DIRECT], 0.99, seed),
        )
    if NODE in paths:
        for path in paths:
            if path not in (DIRECT, RELAY, NODE):
                put(
                    found,
                    f"{path}_over_node_p99_ms",
                    difference(latency[path], latency[NODE], 0.99, seed),
                )
    late = np.concatenate([np.empty(0), *(t.late[~np.isnan(t.late)] for t in turns)])
    found["late_p99_ms"] = quantile(late, 0.99)
    found["stolen_percent"] = stolen_percent(played)
    found["bad_share"] = bad_share(played)
    return {name: round(value, 5) for name, value in found.items()}


def stolen_percent(turns: Sequence[Turn]) -> float:
    """Percent of the turns' time that the machine's host took from the cores.

    Those of the load, the path and the servers count together, as of one core: a call meets any of them.
    """
    seconds = sum(t.seconds for t in turns)
    return sum(t.stolen for t in turns) / 10 / seconds if seconds else 0.0


def kept_rate(played: Mapping[int, Times], kept: Mapping[int, Times]) -> float:
    """Calls in a turn that is kept, by those in any: well below 1, only the easy turns are left."""
    if not kept:
        return math.nan
    of_kept, of_all = (sum(v.size for v in x.values()) / len(x) for x in (kept, played))
    return of_kept / of_all if of_all else math.nan


def put(found: dict[str, float], name: str, interval: Interval) -> None:
    """Adds a figure and the ends of its interval."""
    found[name] = interval.value
    found[f"{name}_low"], found[f"{name}_high"] = interval.low, interval.high


def bad_share(turns: Sequence[Turn]) -> float:
    """Of all calls, those that were refused, got no answer, or found no connection."""
    bad = sum(
        t.refused + int(np.isnan(t.latency).sum()) + int(np.isnan(t.late).sum())
        for t in turns
    )
    return bad / max(1, sum(t.latency.size for t in turns))


def void(figures: Mapping[str, float], service_ms: float) -> str:
    """Why these figures are none; empty if they are some."""
    direct = figures["direct_p99_ms"] - service_ms
    bound = DIRECT_BOUND * figures.get("depth", 1) + (
        TIMER_GRAIN if service_ms else 0.0
    )
    for path in PATHS:
        calls = figures.get(f"{path}_calls")
        if (
            calls is not None
            and figures[f"{path}_blocks"] < KEPT_BOUND * figures["blocks"]
        ):
            return (
                f"{path}: others disturbed all but {figures[f'{path}_blocks']:.0f} of"
                f" {figures['blocks']:.0f} turns; play on a quieter machine"
            )
        if calls is not None and calls * (1 - max(QUANTILES)) < LEAST_TAIL:
            return (
                f"{path}: {calls:.0f} calls in turns that others left alone: fewer than {LEAST_TAIL} lie"
                " beyond the p99; play for longer"
            )
    if not direct <= bound:  # so that no number is no pass
        return f"the direct path's own p99 is {direct:.2f} ms beyond the service time, over {bound:g} ms"
    if not figures["late_p99_ms"] <= LATE_BOUND:
        return f"the load itself was late by {figures['late_p99_ms']:.2f} ms at p99, over {LATE_BOUND:g} ms"
    if not figures["bad_share"] <= BAD_BOUND:
        return f"{100 * figures['bad_share']:.2f} % of calls were refused, lost or without a connection"
    return ""
