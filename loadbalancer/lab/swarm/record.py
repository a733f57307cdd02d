"""Appends what a run with hollow nodes cost to a file of slopes: one run is one point, by its members."""

from __future__ import annotations

from pathlib import Path

from loadbalancer.lab.scale import slopes
from loadbalancer.lab.scale.interface import NodeCost, Point, Slopes
from loadbalancer.lab.swarm.result import Result

COST_UNITS = {
    "core_percent": "% of a core",
    "memory_mb": "MB",
    "bytes_per_s": "bytes/s",
    "datagrams_per_s": "datagrams/s",
    "worst_bytes_per_s": "bytes/s",
}
# Figures of the run itself that a page may want beside the costs.
RUN_UNITS = {
    "settle_s": "s",
    "loop_late_p99_ms": "ms",
    "loop_late_worst_ms": "ms",
    "stolen_percent": "% of all cores",
    "share_core": "of a real node's",
    "share_bytes": "of a real node's",
    "hollow_dropped": "datagrams",
    "false_deaths": "pairs",
    "detect_first_s": "s",
    "detect_p99_s": "s",
    "detect_all_s": "s",
    "agree_s": "s",
    "change_p99_s": "s",
    "change_last_s": "s",
    "change_missing": "pairs",
    "elector_core_percent": "% of a core",
    "elector_bytes_per_s": "bytes/s",
    "coordinator_bytes_per_s": "bytes/s",
}


def of_cost(cost: NodeCost) -> dict[str, float]:
    """A cost's figures, by kind of node; bytes by part as well."""
    found = {f"{cost.kind}_{name}": float(getattr(cost, name)) for name in COST_UNITS}
    return found | {
        f"{cost.kind}_{part}_bytes_per_s": size
        for part, size in cost.bytes_by_part.items()
    }


def point(result: Result) -> Point:
    """The run as a point; of one that is void, or never settled, why, and no figure."""
    size, void = result.nodes + result.hollow, result.void
    if not void and result.figures.get("settle_s") is None:
        void = "the nodes never held each other all alive"
    figures: dict[str, float] = {}
    if not void:
        for cost in result.costs:
            figures |= of_cost(cost)
        for name in RUN_UNITS:
            value = result.figures.get(name)
            if value is not None:
                figures[name] = float(value)
    return Point(size=size, seed=result.seed, figures=figures, void=void)


def unit(name: str) -> str:
    """A figure's unit."""
    if name in RUN_UNITS:
        return RUN_UNITS[name]
    kind, _, rest = name.partition("_")
    return COST_UNITS.get(rest, COST_UNITS["bytes_per_s"])


def append(result: Result, what: str, command: str, path: Path) -> None:
    """Puts a run into a file of slopes; one of the same size and seed takes the old one's place. A
    SlopesUnreadable if the file is there and broken: then it stays as it is.
    """
    made = point(result)
    name = path.name.removesuffix(".json")
    new = Slopes(
        name=name,
        what=what,
        command=command,
        commit=slopes.commit(),
        date=slopes.today(),
        machine=slopes.machine(),
        units={figure: unit(figure) for figure in made.figures},
        points=[made],
    )
    if path.exists():
        old = slopes.load(path)
        new = slopes.merged(old, new)
        new.units.update(
            {
                figure: old.units[figure]
                for figure in old.units.keys() - new.units.keys()
            }
        )
    slopes.save(new, path.parent)
