"""Records slopes: `python -m loadbalancer.lab.scale.measure WHAT [--sizes 100,200,400,800] [--seeds 1,2,3]`.

Writes `benchmarks/slopes/WHAT.json`; `--add` keeps the points that lie there. Each run takes one core. `list`
tells what there is.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from time import monotonic
from typing import ClassVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.scale import slopes
from loadbalancer.lab.scale.interface import Point, Slopes

PLACE = "loadbalancer.lab.scale"
WIDE = "100,200,400,800,1600,2800"


class MeasureUnknown(LoadBalancerError):
    """A recording that there is not, or sizes and seeds that are no positive numbers."""

    remedy: ClassVar[str] = (
        "ask `python -m loadbalancer.lab.scale.measure list` for what there is, and its sizes"
    )


@dataclass(frozen=True)
class Recorder:
    """One thing to record: a function of size and seed, in a module of this package."""

    module: str
    function: str
    units: str
    what: str
    sizes: str = WIDE
    axis: str = "members"

    def load(self) -> tuple[Callable[[int, int], dict[str, float]], dict[str, str]]:
        module = import_module(f"{PLACE}.{self.module}")
        return getattr(module, self.function), getattr(module, self.units)


RECORDERS = {
    "audit": Recorder("views", "audit", "AUDIT_UNITS", "the audit's tick in a settled fleet of N"),
    "view": Recorder("views", "view", "VIEW_UNITS", "one node's views of N members, and one change of them"),
    "resident": Recorder(
        "views", "resident", "RESIDENT_UNITS", "one node's views of N members, in a process of its own"
    ),
    "locality": Recorder(
        "views", "locality", "LOCALITY_UNITS",
        "the look of the locality at N records, and the coordinator's evidence",
    ),
    "records-rest": Recorder(
        "gossip", "rest", "REST_UNITS", "records of a settled fleet at rest, emulated, no loss",
        "200,400,800,1600",
    ),
    "records-rest-small": Recorder(
        "gossip", "rest", "REST_UNITS", "records at rest in small fleets, whose beats are not thinned",
        "40,70,100,130,160",
    ),
    "records-change-small": Recorder(
        "gossip", "change", "CHANGE_UNITS", "a change that each of a small fleet takes up and tells",
        "40,70,100,130,160",
    ),
    "records-renewal-small": Recorder(
        "gossip", "renewal", "RENEWAL_UNITS", "each of a small fleet renews its audit record every 30 s",
        "40,70,100,130,160",
    ),
    "records-renewed": Recorder(
        "gossip", "renewed", "RENEWED_UNITS", "words renewed as often as the audit does it in a fleet of N",
        "40,70,100,160,400",
    ),
    "records-change": Recorder(
        "gossip", "change", "CHANGE_UNITS", "a change that each of N takes up and tells in its record",
        "100,200,400,800",
    ),
    "records-renewal": Recorder(
        "gossip", "renewal", "RENEWAL_UNITS", "each of N renews its audit record every 30 s, nothing else",
        "100,200,400,800",
    ),
    "records-newcomer": Recorder(
        "gossip", "newcomer", "NEWCOMER_UNITS", "one of N starts anew and fetches all records",
        "50,100,200,400,800",
    ),
    "membership-rest": Recorder(
        "gossip", "members_rest", "MEMBERS_REST_UNITS", "a settled membership of N at rest, emulated, no loss"
    ),
    "membership-return": Recorder(
        "gossip", "members_return", "MEMBERS_RETURN_UNITS",
        "a ninth of N members is lost, and starts anew within a second",
        "90,180,360,720",
    ),
    "freeze": Recorder(
        "roles", "freeze", "FREEZE_UNITS", "what the coordinator of the freeze does for N members each second"
    ),
    "collector": Recorder(
        "collector", "collector", "COLLECTOR_UNITS",
        "what a collector of N cells of 70 members does, two speakers each", "10,40,100,400", "cells",
    ),
    "census": Recorder(
        "collector", "census", "CENSUS_UNITS", "a node's count of its own cell among N members, cells of 70"
    ),
    "datagram": Recorder(
        "roles", "datagram", "DATAGRAM_UNITS",
        "a datagram of so many bytes over loopback: socket, loop and transport", "100,300,600,900,1200",
        "bytes",
    ),
    "server-list": Recorder(
        "roles", "server_list_cost", "LIST_UNITS",
        "a node's list of N servers: memory, a change, a whole list",
        "20,100,400,800,1600,2800", "servers",
    ),
    "process": Recorder(
        "roles", "process", "PROCESS_UNITS",
        "a real node alone on loopback: its process's memory and time by the parts that are on", "1", "nodes",
    ),
}  # fmt: skip


def numbers(text: str, what: str) -> list[int]:
    """A list of positive numbers by commas."""
    try:
        found = sorted({int(x) for x in text.split(",")})
    except ValueError:
        found = []
    if not found or found[0] < 1:
        raise MeasureUnknown(f"{text!r} is no list of positive numbers", what)
    return found


def record(
    name: str, sizes: list[int], seeds: list[int], folder: Path, add: bool, command: str
) -> Path:
    """Plays one recorder and writes its file."""
    recorder = RECORDERS[name]
    function, units = recorder.load()
    points: list[Point] = []
    for size in sizes:
        for seed in seeds:
            began = monotonic()
            figures = function(size, seed)
            points.append(Point(size=size, seed=seed, figures=figures))
            told = "  ".join(f"{k} {v:.4g}" for k, v in figures.items())
            print(
                f"{name} {size} seed {seed} ({monotonic() - began:.1f} s): {told}",
                flush=True,
            )
    found = Slopes(
        name=name,
        what=recorder.what,
        command=command,
        commit=slopes.commit(),
        date=slopes.today(),
        machine=slopes.machine(),
        axis=recorder.axis,
        units={u: w for u, w in units.items() if any(u in p.figures for p in points)},
        points=points,
    )
    path = folder / f"{name}.json"
    if add and path.exists():
        found = slopes.merged(slopes.load(path), found)
    return slopes.save(found, folder)


def main(arguments: list[str] | None = None) -> int:
    """The status."""
    ask = argparse.ArgumentParser(
        prog="loadbalancer.lab.scale.measure", description=__doc__
    )
    ask.add_argument("what", help="a recording, or `list`")
    ask.add_argument("--sizes", help="numbers by commas")
    ask.add_argument("--seeds", default="1,2,3")
    ask.add_argument("--folder", type=Path, default=slopes.FOLDER)
    ask.add_argument(
        "--add", action="store_true", help="keep the points of the file that is there"
    )
    wish = ask.parse_args(arguments)
    if wish.what == "list":
        for name, recorder in RECORDERS.items():
            print(f"{name:20} {recorder.what} (sizes {recorder.sizes})")
        return 0
    try:
        if wish.what not in RECORDERS:
            raise MeasureUnknown(f"{wish.what!r} is no recording")
        sizes = numbers(wish.sizes or RECORDERS[wish.what].sizes, "--sizes")
        seeds = numbers(wish.seeds, "--seeds")
        command = f"python -m loadbalancer.lab.scale.measure {wish.what}"
        command += (
            f" --sizes {','.join(map(str, sizes))} --seeds {','.join(map(str, seeds))}"
        )
        print(record(wish.what, sizes, seeds, wish.folder, wish.add, command))
    except LoadBalancerError as e:
        print(e.line(), file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
