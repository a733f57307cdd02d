"""Commands that run a scenario with real processes on loopback: `live`, `fleet` and `load`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from loadbalancer.cli import tables
from loadbalancer.cli.exit import ExitStatus, exit_with_error
from loadbalancer.cli.lab.options import JSON, OUTPUT_FOLDER, SCENARIO, SEED, SET
from loadbalancer.cli.lab.runs import prepare, summary, write_results
from loadbalancer.cli.live_table import LiveTable
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab import results
from loadbalancer.lab.experiments import Run, Task

LIVE_MODULE = "live node"  # decision module of runs with real processes in results
# Fraction of sends that may be late. With more, the machine was too busy to send the load on time.
MAX_LATE_SEND_RATIO = 0.001


@click.command()
@SCENARIO
@SEED
@SET
@OUTPUT_FOLDER
@JSON
def live(
    scenario: Path,
    seed: int,
    changes: tuple[str, ...],
    output_folder: Path | None,
    as_json: bool,
) -> None:
    """Run SCENARIO with real node processes, stand-in servers and clients on loopback sockets."""
    import uvloop

    from loadbalancer.lab.live.play import run_live

    prepared = prepare(scenario, changes, str(seed))
    table, loaded = prepared.table, prepared.scenario
    live_table = LiveTable(loaded, not as_json)
    try:
        with live_table:
            tally, figures, verdicts, load_rows = uvloop.run(
                run_live(loaded, table, str(scenario), changes, seed, live_table.update)
            )
    except LoadBalancerError as error:
        exit_with_error(error)
    rows = results.lines(tally, figures, verdicts, LIVE_MODULE, results.version())
    task = Task(table, str(scenario), seed, changes, LIVE_MODULE)
    run = Run(task, rows, loaded.seconds, 0)
    write_results(output_folder, [run])
    if as_json:
        tables.print_json(
            {"scenario": loaded.name, "module": LIVE_MODULE, "runs": [summary(run)]}
        )
    else:
        tables.print_runs([run], with_speed=False)
        warn_of_late_sends(load_rows)
    sys.exit(ExitStatus.FAILED if run.failed_claims else ExitStatus.OK)


def warn_of_late_sends(load_rows: dict[str, Any]) -> None:
    """Prints a warning if too many requests were sent late for the figures to be trusted.

    Args:
        load_rows: Counts of the load generator.
    """
    late_sends = load_rows["late_sends"]
    if late_sends <= MAX_LATE_SEND_RATIO * load_rows["counts"]["tries"]:
        return
    latest_ms = load_rows["latest_send"] / 1000
    tables.console.print(
        f"{late_sends} sends were over 20 ms late, the latest {latest_ms:.0f} ms:"
        " this machine was too busy for the figures to be reliable"
    )


@click.command()
@SCENARIO
@SEED
@SET
@click.option("--nodes", is_flag=True, help="Start the node processes as well.")
def fleet(scenario: Path, seed: int, changes: tuple[str, ...], nodes: bool) -> None:
    """Run the stand-in servers of SCENARIO and their discovery until interrupted, without faults.

    Prints a line of JSON for each node, with its number, its configuration file and its address.
    """
    import uvloop

    from loadbalancer.lab.live.play import stand

    loaded = prepare(scenario, changes, str(seed)).scenario
    try:
        uvloop.run(
            stand(
                loaded,
                str(scenario),
                seed,
                nodes,
                lambda line: click.echo(json.dumps(line)),
            )
        )
    except LoadBalancerError as error:
        exit_with_error(error)


@click.command()
@SCENARIO
@SEED
@SET
@click.option(
    "--target", "targets", multiple=True, required=True, metavar="HOST:PORT[@ZONE]"
)
@JSON
def load(
    scenario: Path,
    seed: int,
    changes: tuple[str, ...],
    targets: tuple[str, ...],
    as_json: bool,
) -> None:
    """Send the requests of SCENARIO to running nodes, at the scheduled times (open loop)."""
    import uvloop

    from loadbalancer.lab.live.__main__ import target
    from loadbalancer.lab.live.load import Load
    from loadbalancer.lab.live.play import alone
    from loadbalancer.lab.world import build_world

    loaded = prepare(scenario, changes, str(seed)).scenario
    try:
        clients = Load(build_world(loaded, seed), [target(text) for text in targets])
    except LoadBalancerError as error:
        exit_with_error(error)
    uvloop.run(clients.play())
    figures = alone(clients)
    # Clients do not know what share of the requested priority weight the entire service has served.
    values = {
        name: figures.value(name) for name in tables.HEADLINES if name != "service"
    }
    if as_json:
        tables.print_json(values | {"rules": clients.ledger.counts})
    else:
        tables.print_figures(f"{loaded.name}, as seen by its clients", values)
