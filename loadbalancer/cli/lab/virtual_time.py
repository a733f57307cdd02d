"""Commands that run a scenario in virtual time: `run`, `compare` and `sweep`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from loadbalancer.cli import tables
from loadbalancer.cli.exit import ExitStatus, OptionError, exit_with_error
from loadbalancer.cli.lab.options import (
    JSON,
    MODULE,
    OUTPUT_FOLDER,
    SCENARIO,
    SEEDS,
    SET,
    WORKERS,
)
from loadbalancer.cli.lab.runs import (
    DEFAULT_MODULE,
    PreparedScenario,
    play,
    prepare,
    print_runs,
    summary,
    write_results,
)
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.experiments import Run, checkout, differences, read_values


@click.command()
@SCENARIO
@SEEDS
@SET
@WORKERS
@MODULE
@OUTPUT_FOLDER
@JSON
def run(
    scenario: Path,
    seeds: str,
    changes: tuple[str, ...],
    workers: int,
    module: str,
    output_folder: Path | None,
    as_json: bool,
) -> None:
    """Run SCENARIO in virtual time and check its claims."""
    prepared = prepare(scenario, changes, seeds, module)
    name = prepared.scenario.name
    runs = play([prepared.task(seed) for seed in prepared.seeds], workers, name)
    write_results(output_folder, runs)
    print_runs(name, module, runs, as_json)
    failed = any(run.failed_claims for run in runs)
    sys.exit(ExitStatus.FAILED if failed else ExitStatus.OK)


@click.command()
@SCENARIO
@click.option("--seeds", default="1-10", show_default=True)
@WORKERS
@click.option(
    "--a", "a_root", help="Checkout or revision of side a; default: this one."
)
@click.option(
    "--b", "b_root", help="Checkout or revision of side b; default: this one."
)
@click.option(
    "--set-a",
    "a_changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="Change a value of the scenario of side a. Repeatable.",
)
@click.option("--set-b", "b_changes", multiple=True, metavar="KEY=VALUE")
@click.option("--module-a", default=DEFAULT_MODULE, show_default=True)
@click.option("--module-b", default=DEFAULT_MODULE, show_default=True)
@SET
@click.option("--json", "as_json", is_flag=True, help="Print the differences as JSON.")
@click.option(
    "--out",
    "output_folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Directory for the rows of both sides.",
)
def compare(
    scenario: Path,
    seeds: str,
    workers: int,
    a_root: str | None,
    b_root: str | None,
    a_changes: tuple[str, ...],
    b_changes: tuple[str, ...],
    module_a: str,
    module_b: str,
    changes: tuple[str, ...],
    as_json: bool,
    output_folder: Path | None,
) -> None:
    """Run SCENARIO on two sides with the same seeds and report which differences are more than noise."""
    side_a = prepare(scenario, changes + a_changes, seeds, module_a)
    side_b = prepare(scenario, changes + b_changes, seeds, module_b)
    runs_a, runs_b = play_pairs(side_a, a_root, side_b, b_root, workers)
    if output_folder is not None:
        write_results(output_folder / "a", runs_a)
        write_results(output_folder / "b", runs_b)
    rows = differences(runs_a, runs_b)
    if as_json:
        fields = ("name", "a", "b", "mean", "low", "high", "pairs", "verdict")
        tables.print_json(
            [{field: getattr(row, field) for field in fields} for row in rows]
        )
    else:
        tables.print_comparison(
            rows, side_name(side_a, a_root), side_name(side_b, b_root)
        )


def play_pairs(
    side_a: PreparedScenario,
    a_root: str | None,
    side_b: PreparedScenario,
    b_root: str | None,
    workers: int,
) -> tuple[list[Run], list[Run]]:
    """Runs both sides alternately, seed by seed, each in its checkout; ends the command if a run fails.

    Args:
        side_a: Scenario of side a.
        a_root: Checkout or revision of side a; None for this one.
        side_b: Scenario of side b.
        b_root: Checkout or revision of side b; None for this one.
        workers: Number of processes.

    Returns:
        The runs of side a and those of side b, in the order of the seeds.
    """
    try:
        with checkout(a_root) as a, checkout(b_root) as b:
            tasks = [
                side.task(seed, root)
                for seed in side_a.seeds
                for side, root in ((side_a, a), (side_b, b))
            ]
            runs = play(tasks, workers, "compare")
    except LoadBalancerError as error:
        exit_with_error(error)
    return runs[0::2], runs[1::2]


def side_name(side: PreparedScenario, root: str | None) -> str:
    """Returns the name of a side in the title of a comparison."""
    module = [side.module] if side.module != DEFAULT_MODULE else []
    return " ".join([root or "here", *module, *side.changes])


@click.command()
@SCENARIO
@click.option(
    "--over",
    required=True,
    metavar="KEY=VALUES",
    help="Parameter and its values: load.of_capacity=0.5:1.5:0.25 or =1,2,4.",
)
@click.option("--seeds", default="1-3", show_default=True)
@click.option(
    "--workers",
    type=click.IntRange(1, 64),
    help="Number of processes; default: one for each core.",
)
@MODULE
@SET
@OUTPUT_FOLDER
@click.option("--json", "as_json", is_flag=True)
def sweep(
    scenario: Path,
    over: str,
    seeds: str,
    workers: int | None,
    module: str,
    changes: tuple[str, ...],
    output_folder: Path | None,
    as_json: bool,
) -> None:
    """Run SCENARIO with each value of a parameter."""
    key, values = read_parameter(over)
    prepared = [
        prepare(scenario, (*changes, f"{key}={value}"), seeds, module)
        for value in values
    ]
    tasks = [side.task(seed) for side in prepared for seed in side.seeds]
    runs = play(tasks, workers or len(os.sched_getaffinity(0)), key)
    write_results(output_folder, runs)
    per_value = len(prepared[0].seeds)
    rows = [
        (value, runs[i * per_value : (i + 1) * per_value])
        for i, value in enumerate(values)
    ]
    if as_json:
        tables.print_json(
            [
                {"value": v, "runs": [summary(run) for run in value_runs]}
                for v, value_runs in rows
            ]
        )
    else:
        tables.print_sweep(key, rows)


def read_parameter(over: str) -> tuple[str, list[str]]:
    """Returns the key and the values of `--over`; ends the command if they are invalid."""
    key, equals, values_text = over.partition("=")
    try:
        if not equals:
            raise OptionError("must be KEY=VALUES", f"--over {over!r}")
        return key, read_values(values_text)
    except LoadBalancerError as error:
        exit_with_error(error)
