"""`loadbalancer lab overhead`: compares the throughput of a node with that of a bare relay."""

from __future__ import annotations

import click

from loadbalancer.cli import tables
from loadbalancer.cli.exit import exit_with_error
from loadbalancer.lab.overhead import MeasureError, measure


@click.command()
@click.option(
    "--rounds",
    type=click.IntRange(1, 100),
    default=5,
    show_default=True,
    help="Pairs of measurements: one of the node, one of the relay.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0.2, 60),
    default=3.0,
    show_default=True,
    help="Duration of each measurement.",
)
@click.option(
    "--connections", type=click.IntRange(1, 500), default=32, show_default=True
)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
def overhead(rounds: int, seconds: float, connections: int, as_json: bool) -> None:
    """Compare the requests per second of a node and of a bare relay, each on one core, in turn."""
    with tables.progress_bar() as bar:
        progress_task = bar.add_task("overhead", total=rounds)
        try:
            measured = measure(
                rounds, seconds, connections, lambda *_: bar.advance(progress_task)
            )
        except MeasureError as error:
            exit_with_error(error.within("overhead"))
        except OSError as error:
            exit_with_error(MeasureError(error.strerror or str(error), "overhead"))
    summary = measured.summary()
    if as_json:
        tables.print_json(summary | {"ratios": measured.ratios})
    else:
        tables.print_figures(
            f"{rounds} pairs of {seconds:g} s, {connections} connections, one core each",
            summary,
        )
