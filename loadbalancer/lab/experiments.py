"""Experiments: many runs of a scenario, in as many processes as there are workers, and what they add up to.

The order of results is that of the tasks, whichever process ends first, and each run is a process of its own
or this one: nothing passes between runs, so the number of workers changes no byte.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from io import BytesIO
from pathlib import Path
from typing import Any, ClassVar

import loadbalancer
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab import worker
from loadbalancer.lab.scenario_errors import ScenarioError
from loadbalancer.lab.stats import Difference, paired

PACKAGES = Path(loadbalancer.__file__).parent.parent
COMPARED = (
    "service",
    "in_time",
    "worst_window",
    "worst_class",
    "refused",
    "failed",
    "p50_ms",
    "p99_ms",
    "tries",
    "waste",
)


class ExperimentError(LoadBalancerError):
    """A run that could not be made; the others are not made either."""

    remedy: ClassVar[str] = (
        "play that scenario with that seed alone, with --workers 1, to see more of it"
    )


class RevisionUnknown(ExperimentError):
    """A side of a comparison that is neither a folder nor a revision."""

    remedy: ClassVar[str] = (
        "give --a or --b a checkout's folder, or a revision that `git rev-parse` knows"
    )


class SeedsError(LoadBalancerError, ValueError):
    """Seeds on the command line that are no list of numbers."""

    remedy: ClassVar[str] = (
        "write --seeds as 3, 1-10 or 1,4,7-9: whole numbers from 0 on"
    )


class ValuesError(LoadBalancerError, ValueError):
    """Values of a sweep that are neither a list nor a span."""

    remedy: ClassVar[str] = (
        "write the values as 1,2,4 or as FROM:TO:STEP with a step over 0: 0.5:1.5:0.25"
    )


@dataclass(frozen=True)
class Task:
    """One run to make."""

    table: dict[str, Any]  # of the scenario, as it was decoded
    where: str
    seed: int
    changes: tuple[str, ...] = ()
    module: str = "loadbalancer"
    root: str | None = None  # another checkout to take the program from

    def wire(self) -> dict[str, Any]:
        return {
            "table": self.table,
            "where": self.where,
            "seed": self.seed,
            "changes": list(self.changes),
            "module": self.module,
            "root": self.root,
        }


@dataclass
class Run:
    """One run that was made."""

    task: Task
    rows: list[dict[str, Any]]
    wall: float
    events: int
    claims: list[dict[str, Any]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.claims = [row for row in self.rows if row["type"] == "claim"]

    @property
    def summary(self) -> dict[str, Any]:
        return self.rows[-1]

    @property
    def rules(self) -> dict[str, Any]:
        return next(row for row in self.rows if row["type"] == "rules")

    @property
    def failed_claims(self) -> list[dict[str, Any]]:
        """Claims that do not hold and are not declared as known gaps."""
        return [c for c in self.claims if not c["holds"] and c["known_gap"] is None]


def apart(task: Task) -> dict[str, Any]:
    """Makes a run in a process of its own."""
    paths = [str(PACKAGES)] + [p for p in (os.environ.get("PYTHONPATH"),) if p]
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer.lab.worker"],
        input=json.dumps(task.wire()).encode(),
        capture_output=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
    )
    try:
        answer: dict[str, Any] = json.loads(done.stdout)
    except ValueError:
        words = done.stderr.decode(errors="replace").strip().splitlines()
        answer = {
            "error": f"the worker ended with status {done.returncode}: {words[-1] if words else 'no word'}"
        }
    return answer


def make(
    tasks: list[Task],
    workers: int = 1,
    done: Callable[[Run], None] | None = None,
    progress: Callable[[float, float], None] | None = None,
) -> list[Run]:
    """Makes runs, `workers` at a time, in the order of the tasks. An ExperimentError ends it."""

    def one(task: Task) -> Run:
        if workers == 1 and task.root is None:
            try:
                answer = worker.play({**task.wire(), "progress": progress})
            except ScenarioError as e:
                raise ExperimentError(e.what, e.where, e.advice) from None
        else:
            answer = apart(task)
        if "error" in answer:
            raise ExperimentError(
                answer["error"], f"{task.where}, seed {task.seed}", answer.get("do", "")
            )
        run = Run(task, answer["rows"], answer["wall"], answer["events"])
        if done is not None:
            done(run)
        return run

    if workers == 1:
        return [one(task) for task in tasks]
    with ThreadPoolExecutor(workers) as pool:
        return list(pool.map(one, tasks))


def read_seeds(text: str) -> list[int]:
    """`3`, `1-10` or `1,4,7-9`; a SeedsError for anything else."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise SeedsError("write 3, 1-10 or 1,4,7-9", f"seeds {text!r}")
        seeds += range(int(first), int(last if dash else first) + 1)
    if not seeds:
        raise SeedsError("none", f"seeds {text!r}")
    return seeds


def read_values(text: str) -> list[str]:
    """`a,b,c` as it stands, or `FROM:TO:STEP` in numbers; a ValuesError for anything else."""
    if text.count(":") != 2:
        values = [v.strip() for v in text.split(",") if v.strip()]
        if not values:
            raise ValuesError("none", f"values {text!r}")
        return values
    try:
        first, last, step = (float(v) for v in text.split(":"))
    except ValueError:
        raise ValuesError("write 0.5:1.5:0.25 or 1,2,4", f"values {text!r}") from None
    if step <= 0 or last < first:
        raise ValuesError(
            "the step must be over 0, and the end not before the start",
            f"values {text!r}",
        )
    return [
        f"{first + i * step:g}" for i in range(int((last - first) / step + 1e-9) + 1)
    ]


@contextmanager
def checkout(origin: str | None) -> Iterator[str | None]:
    """A folder with the program as it is at `origin`: a checkout, or a revision of this repository."""
    if origin is None:
        yield None
        return
    if Path(origin).is_dir():
        yield str(Path(origin).resolve())
        return
    made = subprocess.run(
        ["git", "archive", origin, "loadbalancer"], cwd=PACKAGES, capture_output=True
    )
    if made.returncode:
        reason = made.stderr.decode(errors="replace").strip().splitlines()
        raise RevisionUnknown(
            f"neither a folder nor a revision: {reason[-1] if reason else 'git failed'}",
            origin,
        )
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=BytesIO(made.stdout)) as archive:
            archive.extractall(folder, filter="data")
        yield folder


def differences(a: list[Run], b: list[Run]) -> list[Difference]:
    """Each figure of the summary, pair by pair of equal seeds."""
    return [
        paired(name, [r.summary[name] for r in a], [r.summary[name] for r in b])
        for name in COMPARED
        if name in a[0].summary
    ]
