"""Functions shared by commands that run a scenario: read it, run tasks, and write the results."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loadbalancer.cli import tables
from loadbalancer.cli.exit import NotWritableError, exit_with_error
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab import results
from loadbalancer.lab.experiments import Run, Task, make, read_seeds
from loadbalancer.lab.modules import find
from loadbalancer.lab.scenario import Scenario
from loadbalancer.lab.scenario_file import build, read_table

DEFAULT_MODULE = "loadbalancer"
TIMING_FILE = "timing.json"  # durations of runs, beside the results


@dataclass(frozen=True)
class PreparedScenario:
    """A scenario that has been read and checked, but not run yet.

    Attributes:
        path: The scenario's file as given by the user.
        table: The decoded file, without the changes.
        scenario: The scenario with the changes applied.
        seeds: Seeds to run.
        changes: Changes of the scenario, as `KEY=VALUE`.
        module: Name of the decision module to run.
    """

    path: Path
    table: dict[str, Any]
    scenario: Scenario
    seeds: list[int]
    changes: tuple[str, ...]
    module: str

    def task(self, seed: int, root: str | None = None) -> Task:
        """Returns the task that runs this scenario with a seed.

        Args:
            seed: The seed.
            root: Another checkout whose program runs the task; None for this one.
        """
        return Task(self.table, str(self.path), seed, self.changes, self.module, root)


def prepare(
    path: Path,
    changes: tuple[str, ...],
    seeds: str,
    module: str = DEFAULT_MODULE,
) -> PreparedScenario:
    """Reads a scenario and checks its changes, seeds and module; ends the command if one is invalid.

    Args:
        path: The scenario's file.
        changes: Changes of the scenario, as `KEY=VALUE`.
        seeds: Seeds as on the command line, such as `1-10`.
        module: Name of the decision module to run.
    """
    try:
        table = read_table(path)
        scenario = build(table, str(path), changes)
        seed_numbers = read_seeds(seeds)
        find(module)
    except LoadBalancerError as error:
        exit_with_error(error)
    return PreparedScenario(path, table, scenario, seed_numbers, changes, module)


def play(tasks: list[Task], workers: int, description: str) -> list[Run]:
    """Runs tasks and shows a progress bar; ends the command if a run fails.

    The progress of a single task is shown in seconds of the scenario, otherwise in completed tasks.

    Args:
        tasks: The tasks.
        workers: Number of processes that run them.
        description: Text beside the progress bar.
    """
    with tables.progress_bar() as bar:
        is_single = workers == 1 and len(tasks) == 1
        progress_task = bar.add_task(
            description, total=None if is_single else len(tasks)
        )

        def show_seconds(elapsed_s: float, total_s: float) -> None:
            bar.update(progress_task, completed=int(elapsed_s), total=int(total_s))

        try:
            return make(
                tasks,
                workers,
                lambda _: bar.advance(progress_task, 0 if is_single else 1),
                show_seconds if is_single else None,
            )
        except LoadBalancerError as error:
            exit_with_error(error)


def write_results(folder: Path | None, runs: list[Run]) -> None:
    """Writes the rows of runs, and their durations to a separate file, as these differ between runs.

    Ends the command if a file cannot be written.

    Args:
        folder: The directory; None to write nothing.
        runs: The runs.
    """
    if folder is None:
        return
    try:
        folder.mkdir(parents=True, exist_ok=True)
        results.write(
            folder / results.RESULTS, [row for run in runs for row in run.rows]
        )
        times = [
            {"seed": run.task.seed, "wall_s": round(run.wall, 3), "events": run.events}
            for run in runs
        ]
        (folder / TIMING_FILE).write_text(json.dumps(times, indent=1) + "\n")
    except OSError as error:
        exit_with_error(NotWritableError(error.strerror or str(error), str(folder)))


def summary(run: Run) -> dict[str, Any]:
    """Returns a run as `--json` prints it."""
    counts = {k: v for k, v in run.rules.items() if k not in ("type", "notes")}
    return {
        "seed": run.task.seed,
        "summary": {
            k: v
            for k, v in run.summary.items()
            if k not in ("type", "scenario", "seed")
        },
        "rules": counts,
        "claims": run.claims,
        "ok": not run.failed_claims,
    }


def print_runs(name: str, module: str, runs: list[Run], as_json: bool) -> None:
    """Prints the runs of one scenario, as JSON or as tables.

    Args:
        name: Name of the scenario.
        module: Name of the decision module that ran it.
        runs: The runs.
        as_json: Whether to print JSON.
    """
    if as_json:
        document = {
            "scenario": name,
            "module": module,
            "runs": [summary(run) for run in runs],
        }
        tables.print_json(document)
    else:
        tables.print_runs(runs)
