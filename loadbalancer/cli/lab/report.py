"""`loadbalancer lab report`: renders results as one HTML page."""

from __future__ import annotations

from pathlib import Path

import click

from loadbalancer.cli.exit import NotWritableError, exit_with_error
from loadbalancer.lab import results


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.option(
    "--out",
    "output_file",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File to write; default: FOLDER/report.html.",
)
def report(folder: Path, output_file: Path | None) -> None:
    """Render the results in FOLDER as one HTML file."""
    from loadbalancer.lab.report import page

    target = output_file or folder / "report.html"
    try:
        text = page(results.read(folder / results.RESULTS))
    except results.ResultsError as error:
        exit_with_error(
            error if error.where else error.within(str(folder / results.RESULTS))
        )
    try:
        target.write_text(text)
    except OSError as error:
        exit_with_error(NotWritableError(error.strerror or str(error), str(target)))
    click.echo(str(target))
