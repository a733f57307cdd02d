"""What each figure that the design leaves open is worth: half of it and twice it, in two scenarios.

    python -m benchmarks.figures [--seeds 1-4] [--workers 6] [--scenarios trouble,overload] [NAME ...]

Prints, for each numeric constant of the policy, the mean difference in `service` from the figure in
force, over the same seeds, with the larger of the two standard errors. A figure may matter elsewhere than
in these scenarios.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules
from statistics import mean, stdev
from types import ModuleType

from loadbalancer import policy
from loadbalancer.lab.emulator import Emulator
from loadbalancer.lab.experiments import read_seeds
from loadbalancer.lab.scenario_file import load
from loadbalancer.lab.world import build_world

MODULES = [
    import_module(f"loadbalancer.policy.{info.name}")
    for info in iter_modules(policy.__path__)
]
FIXED = (
    "WINDOW_US",
    "SAMPLE_PERCENTILE",
    "MIN_LIMIT",
    "MEASUREMENT_INTERVAL_US",
    "INTERVAL_JITTER_RATIO",
    "MEASUREMENT_CALLS",
    "US_PER_SECOND",
    "TOKEN_BITS",
    "KEY_BITS",
    "KEY_MASK",
    "MIN_NODE_ITEMS",
    "NO_NODE",
    "ALL_ZONES",
)


def names() -> list[str]:
    """The constants of the policy, but for the source's own and those that are no figure."""
    found = {
        name: None
        for module in MODULES
        for name, value in vars(module).items()
        if name.isupper()
        and isinstance(value, (int, float))
        and not name.startswith("TIMER")
        and name not in FIXED
    }
    return list(found)


def holders(name: str) -> list[ModuleType]:
    """The modules that have a constant, of their own or imported."""
    return [module for module in MODULES if name in vars(module)]


def play(job: tuple[str, float, str, int]) -> float:
    """One run's `service` with a figure multiplied."""
    name, factor, scenario, seed = job
    old = getattr(holders(name)[0], name)
    for module in holders(name):
        setattr(module, name, type(old)(old * factor))
    try:
        emulator = Emulator(
            build_world(load(Path("scenarios") / f"{scenario}.toml"), seed)
        )
        emulator.play()
        return emulator.figures().value("service")
    finally:
        for module in holders(name):
            setattr(module, name, old)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", default="1-4")
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--scenarios", default="trouble,overload")
    arguments = parser.parse_args()
    seeds, scenarios = read_seeds(arguments.seeds), arguments.scenarios.split(",")
    wanted = arguments.names or names()
    jobs = [("WINDOW_US", 1.0, s, seed) for s in scenarios for seed in seeds]
    jobs += [
        (n, f, s, seed)
        for n in wanted
        for f in (0.5, 2.0)
        for s in scenarios
        for seed in seeds
    ]
    with ProcessPoolExecutor(arguments.workers) as pool:
        found = dict(zip(jobs, pool.map(play, jobs), strict=True))
    print(
        "figure           in force  "
        + "  ".join(f"{s} x0.5, x2, error" for s in scenarios)
    )
    for name in wanted:
        cells = []
        for s in scenarios:
            moved = [
                [
                    found[name, f, s, seed] - found["WINDOW_US", 1.0, s, seed]
                    for seed in seeds
                ]
                for f in (0.5, 2.0)
            ]
            error = (
                max(stdev(m) / len(m) ** 0.5 for m in moved) if len(seeds) > 1 else 0.0
            )
            cells.append(f"{mean(moved[0]):+.4f} {mean(moved[1]):+.4f} {error:.4f}")
        print(
            f"{name:<16} {getattr(holders(name)[0], name)!s:>9}  " + "   ".join(cells),
            flush=True,
        )


if __name__ == "__main__":
    main()
