"""`loadbalancer swarm`: runs many real nodes on loopback and injects faults between them."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from loadbalancer.cli import tables
from loadbalancer.cli.exit import ExitStatus, NotWritableError, exit_with_error
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.scale.slopes import load as load_slopes
from loadbalancer.lab.swarm.nodes import SwarmEnded, SwarmError
from loadbalancer.lab.swarm.play import play
from loadbalancer.lab.swarm.record import append
from loadbalancer.lab.swarm.result import Result
from loadbalancer.lab.swarm.script import FIGURES, Expect, Swarm, load


@click.group()
def swarm() -> None:
    """Start many real nodes on loopback and inject faults between them."""


@swarm.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0), help="Replaces the seed of the script.")
@click.option(
    "--nodes",
    type=click.IntRange(1),
    help="Replaces the number of nodes of the script.",
)
@click.option(
    "--hollow",
    type=click.IntRange(1),
    help="Replaces the number of hollow nodes of the script.",
)
@click.option(
    "--json",
    "out",
    type=click.Path(path_type=Path),
    help="File to write all figures and faults to, as JSON.",
)
@click.option(
    "--slopes",
    type=click.Path(path_type=Path),
    help="File benchmarks/slopes/NAME.json to which the costs of this run are added as a point.",
)
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    help="Directory that keeps the nodes' logs.",
)
def run(
    script: Path,
    seed: int | None,
    nodes: int | None,
    hollow: int | None,
    out: Path | None,
    slopes: Path | None,
    logs: Path | None,
) -> None:
    """Run a fault script against real nodes.

    Exit status: 0 if all expectations hold, 1 if not or if the run is void, 2 if the script cannot be run.
    """
    changes = {
        key: value
        for key, value in (("seed", seed), ("nodes", nodes))
        if value is not None
    }
    try:
        swarm_script = load(
            script, changes, {"count": hollow} if hollow is not None else None
        )
        if slopes is not None and slopes.exists():
            # Reports an invalid file before the run, which takes minutes.
            load_slopes(slopes)
    except LoadBalancerError as error:
        exit_with_error(error)
    result = play_script(script, swarm_script, logs)
    print_result(result)
    if slopes is not None:
        append_point(script, swarm_script, result, slopes)
    if out is not None:
        write_result(result, out)
    sys.exit(ExitStatus.OK if result.good else ExitStatus.FAILED)


def play_script(script: Path, swarm_script: Swarm, logs: Path | None) -> Result:
    """Runs a swarm; ends the command if that fails.

    Args:
        script: File of the script, for errors.
        swarm_script: The swarm that the script describes.
        logs: Directory that keeps the nodes' logs; None for a temporary one that is removed.
    """
    try:
        if logs is not None:
            make_folder(logs)
            return play_with_progress(swarm_script, logs)
        with tempfile.TemporaryDirectory(prefix="swarm-") as folder:
            return play_with_progress(swarm_script, Path(folder))
    except LoadBalancerError as error:
        exit_with_error(error.within(str(script)))
    except OSError as error:  # includes TimeoutError
        reason = error.strerror or str(error) or type(error).__name__
        exit_with_error(SwarmError(reason, str(script)))


def append_point(
    script: Path, swarm_script: Swarm, result: Result, slopes: Path
) -> None:
    """Adds the costs of a run to a slopes file as a point; ends the command if that fails.

    Args:
        script: File of the script that was run.
        swarm_script: The swarm that the script describes.
        result: Result of the run.
        slopes: The slopes file.
    """
    description = f"{script}: {swarm_script.world.nodes} real nodes and hollow ones, real time on loopback"
    command = f"loadbalancer swarm run {script} --hollow N --seed S --slopes {slopes}"
    try:
        append(result, description, command, slopes)
    except LoadBalancerError as error:
        exit_with_error(error)
    except (OSError, msgspec.ValidationError) as error:
        exit_with_error(NotWritableError(str(error), str(slopes)))


def write_result(result: Result, path: Path) -> None:
    """Writes all figures and faults as JSON; ends the command if the file cannot be written."""
    try:
        path.write_text(json.dumps(msgspec.to_builtins(result), indent=1) + "\n")
    except OSError as error:
        exit_with_error(NotWritableError(error.strerror or str(error), str(path)))


@swarm.command()
def figures() -> None:
    """List the figures and what each means."""
    for name, meaning in FIGURES.items():
        click.echo(f"{name:27} {meaning}")


def make_folder(folder: Path) -> None:
    """Creates a directory, and its parents, if it does not exist.

    Raises:
        NotWritableError: The directory cannot be created.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise NotWritableError(error.strerror or str(error), str(folder)) from None


def play_with_progress(swarm_script: Swarm, folder: Path) -> Result:
    """Runs a swarm and shows a progress bar.

    Args:
        swarm_script: The swarm.
        folder: Directory for the nodes' logs.

    Raises:
        SwarmEnded: A signal stopped the run.
    """
    with tables.progress_bar() as bar:
        progress_task = bar.add_task("starting", total=1)

        def show_progress(stage: str, elapsed_s: float, total_s: float) -> None:
            bar.update(
                progress_task,
                description=stage,
                completed=int(elapsed_s),
                total=max(1, int(total_s)),
            )

        async def play_until_signal() -> Result:
            # On SIGTERM the nodes must be stopped too, not left behind.
            task = asyncio.ensure_future(play(swarm_script, folder, show_progress))
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            return await task

        try:
            return asyncio.run(play_until_signal())
        except asyncio.CancelledError:
            raise SwarmEnded("stopped by a signal, with all its processes") from None


def print_result(result: Result) -> None:
    """Prints the figures that were measured, then whether the expectations hold."""
    hollow = f" and {result.hollow} hollow ones" if result.hollow else ""
    title = (
        f"{result.name or 'swarm'}: {result.nodes} nodes{hollow}, seed {result.seed}"
    )
    table = tables.plain_table(title, "figure", "value")
    for name in FIGURES:
        if result.figures.get(name) is not None:
            table.add_row(name, tables.format_number(result.figures[name]))
    tables.console.print(table)
    if result.void:
        tables.console.print(
            f"VOID: {result.void}; the figures of this run are not valid"
        )
    for expect, holds in result.claims:
        print_expectation(expect, holds, result.figures.get(expect.figure))


def print_expectation(expect: Expect, holds: bool, value: float | None) -> None:
    """Prints whether an expectation holds, with the figure's value and the expected bounds."""
    bounds = []
    if expect.at_most is not None:
        bounds.append(f"at most {expect.at_most:g}")
    if expect.at_least is not None:
        bounds.append(f"at least {expect.at_least:g}")
    verdict = "holds" if holds else "FAILS"
    tables.console.print(
        f"{verdict}: {expect.figure} {tables.format_number(value)}, expected {' and '.join(bounds)}"
    )
