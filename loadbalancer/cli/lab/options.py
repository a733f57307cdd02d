"""Options that several commands of `loadbalancer lab` share."""

from __future__ import annotations

from pathlib import Path

import click

SET = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="Change a value of the scenario, such as load.rps=500. Repeatable.",
)
SEEDS = click.option(
    "--seed",
    "--seeds",
    "seeds",
    default="1",
    show_default=True,
    help="Seeds to run: 3, 1-10 or 1,4,7-9.",
)
WORKERS = click.option(
    "--workers",
    type=click.IntRange(1, 64),
    default=1,
    show_default=True,
    help="Number of processes.",
)
MODULE = click.option(
    "--module",
    default="loadbalancer",
    show_default=True,
    help="Decision module to run.",
)
SCENARIO = click.argument("scenario", type=click.Path(path_type=Path))
SEED = click.option("--seed", type=int, default=1, show_default=True)
OUTPUT_FOLDER = click.option(
    "--out",
    "output_folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Directory for results.jsonl.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print a summary as JSON.")
