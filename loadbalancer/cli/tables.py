"""Prints tables of figures and shows progress bars on a terminal."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import click
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.progress import (
    BarColumn,
    MofNCompleteColumn,
    Progress,
    TextColumn,
    TimeElapsedColumn,
    TimeRemainingColumn,
)
from rich.table import Table

from loadbalancer.lab.experiments import Run
from loadbalancer.lab.stats import Difference

console = Console(highlight=False)
error_console = Console(stderr=True, highlight=False)
# Figures of a run that tables show, in this order.
HEADLINES = (
    "service",
    "in_time",
    "worst_window",
    "served",
    "refused",
    "failed",
    "unanswered",
    "p50_ms",
    "p99_ms",
    "tries",
)
MAX_SEED_COLUMNS = 6  # for more seeds the table has mean, minimum and maximum
# Decimal places by the absolute value from which they apply; smaller values have 4.
DECIMALS = ((1000, 0), (10, 1))
MAX_NOTES = 5  # notes on broken rules printed for each run
# Rules whose violations are counted in every run.
RULE_NAMES = ("lost", "duplicate", "drain", "pushed_over", "illegal", "crash")


def progress_bar() -> Progress:
    """Creates a progress bar on standard error; it is not shown if that is no terminal."""
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        TimeRemainingColumn(),
        console=error_console,
        transient=True,
        disable=not error_console.is_terminal,
    )


def plain_table(title: str, first: str, *others: str) -> Table:
    """Creates a table with a column of names and columns of numbers, none of which is wrapped.

    Args:
        title: Title of the table.
        first: Header of the column of names.
        *others: Headers of the columns of numbers.
    """
    table = Table(title=title, title_justify="left", box=SIMPLE_HEAD, pad_edge=False)
    table.add_column(first, no_wrap=True)
    for name in others:
        table.add_column(name, justify="right", no_wrap=True)
    return table


def format_number(value: Any) -> str:
    """Formats a figure for people: fewer decimals for larger values, `never` for None."""
    if value is None:
        return "never"
    if not isinstance(value, float):
        return str(value)
    for least, decimals in DECIMALS:
        if abs(value) >= least:
            return f"{value:.{decimals}f}"
    return f"{value:.4f}"


def print_json(document: Any) -> None:
    """Prints a document as JSON on one line."""
    click.echo(json.dumps(document))


def print_runs(runs: Iterable[Run], with_speed: bool = True) -> None:
    """Prints a table of runs of one scenario, then failed claims, known gaps and broken rules.

    Args:
        runs: The runs, which differ in their seeds.
        with_speed: Whether to show the events simulated per second of real time.
    """
    runs = list(runs)
    first = runs[0].rows[0]
    title = f"{first['scenario']}: {first['title']}"
    if len(runs) > MAX_SEED_COLUMNS:
        console.print(_statistics_table(title, runs))
    else:
        console.print(_seeds_table(title, runs, with_speed))
    for run in runs:
        _print_claims(run)
        _print_broken_rules(run)


def _statistics_table(title: str, runs: list[Run]) -> Table:
    """Returns a table with mean, minimum and maximum over many runs."""
    table = plain_table(title, "seed", "mean", "minimum", "maximum")
    for name in HEADLINES:
        values = [float(run.summary[name]) for run in runs]
        statistics = (sum(values) / len(values), min(values), max(values))
        table.add_row(name, *map(format_number, statistics))
    broken = sum(run.rules[name] for run in runs for name in RULE_NAMES)
    table.add_row("rules broken", str(broken or "none"))
    return table


def _seeds_table(title: str, runs: list[Run], with_speed: bool) -> Table:
    """Returns a table with a column for each of a few runs."""
    table = plain_table(title, "seed", *(str(run.task.seed) for run in runs))
    for name in HEADLINES:
        table.add_row(name, *(format_number(float(run.summary[name])) for run in runs))
    broken = [
        ", ".join(f"{name} {run.rules[name]}" for name in RULE_NAMES if run.rules[name])
        for run in runs
    ]
    table.add_row("rules broken", *(text or "none" for text in broken))
    held_counts = [sum(claim["holds"] for claim in run.claims) for run in runs]
    table.add_row(
        "claims held",
        *(
            f"{count} of {len(run.claims)}"
            for count, run in zip(held_counts, runs, strict=True)
        ),
    )
    if with_speed:
        speeds = (f"{run.events / max(run.wall, 1e-9):,.0f}" for run in runs)
        table.add_row("events/s", *speeds)
    return table


def _print_claims(run: Run) -> None:
    """Prints failed claims, known gaps, and claims that hold although they are marked as known gaps."""
    for claim in run.claims:
        subject = f"seed {run.task.seed}: claim {claim['metric']} {claim['op']} {claim['bound']:g}"
        value = format_number(claim["value"])
        is_known_gap = claim["known_gap"] is not None
        if not claim["holds"]:
            verdict = "known gap" if is_known_gap else "FAILS"
            reason = f" ({claim['known_gap']})" if claim["known_gap"] else ""
            _print_line(f"{subject} {verdict}: it is {value}{reason}")
        elif is_known_gap:
            _print_line(
                f"{subject} holds at {value}, though it is marked as a known gap"
            )


def _print_broken_rules(run: Run) -> None:
    """Prints the first `MAX_NOTES` notes on broken rules."""
    for note in run.rules["notes"][:MAX_NOTES]:
        at_s = note["us"] / 1e6
        _print_line(
            f"seed {run.task.seed}: {at_s:.3f} s: {note['rule']}: {note['what']}"
        )


def _print_line(text: str) -> None:
    """Prints a line as it is, without wrapping."""
    console.print(text, soft_wrap=True, markup=False)


def print_comparison(rows: list[Difference], a: str, b: str) -> None:
    """Prints paired differences between two sides, and whether each is more than noise.

    Args:
        rows: The differences, one for each figure.
        a: Name of side a.
        b: Name of side b.
    """
    title = f"a: {a}   b: {b}   {rows[0].pairs} seeds, 95% bootstrap interval"
    table = plain_table(title, "figure", "a", "b", "b - a", "interval", "")
    for row in rows:
        interval = f"{row.low:+.4g} to {row.high:+.4g}"
        is_shown = row.verdict != "no difference shown"
        table.add_row(
            row.name,
            format_number(row.a),
            format_number(row.b),
            f"{row.mean:+.4g}",
            interval,
            row.verdict if is_shown else "not shown",
        )
    console.print(table)


def print_sweep(key: str, rows: list[tuple[str, list[Run]]]) -> None:
    """Prints mean figures over the seeds, with a column for each value of a parameter.

    Args:
        key: Key of the parameter.
        rows: Each value with its runs.
    """
    table = plain_table(
        f"{key}, means over {len(rows[0][1])} seeds", key, *(value for value, _ in rows)
    )
    for name in HEADLINES:
        table.add_row(
            name,
            *(
                format_number(
                    sum(r.summary[name] for r in value_runs) / len(value_runs)
                )
                for _, value_runs in rows
            ),
        )
    broken = [
        sum(r.rules[n] for r in value_runs for n in RULE_NAMES)
        for _, value_runs in rows
    ]
    table.add_row("rules broken", *(str(n or "none") for n in broken))
    console.print(table)


def print_figures(title: str, values: dict[str, float]) -> None:
    """Prints figures by name, one in each row."""
    table = plain_table(title, "figure", "")
    for name, value in values.items():
        table.add_row(name, format_number(value))
    console.print(table)
