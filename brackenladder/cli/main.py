"""`brackenladder`: the commands. Status 0: as wished; 1: it ran and something failed; 2: not readable."""

from __future__ import annotations

import sys

import click

from brackenladder import __version__
from brackenladder.cli.lab import lab


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="brackenladder")
def cli() -> None:
    """A load-balancing node for services that call services, and its lab.

    Without a command it is the node, as LB_CONFIG says.
    """


@cli.command()
def node() -> None:
    """Run one node, configured by LB_CONFIG and the other LB_ variables."""
    from brackenladder.__main__ import run_node

    sys.exit(run_node())


@cli.command()
@click.argument("config", type=click.Path(dir_okay=False))
def check(config: str) -> None:
    """Read a node's configuration file and say what is wrong with it."""
    from brackenladder.net.config import ConfigError, load

    try:
        found = load({"LB_CONFIG": config})
    except ConfigError as e:
        click.echo(f"{config}: {str(e).removeprefix('LB_CONFIG: ')}", err=True)
        sys.exit(2)
    servers = len(found.known.lines) if found.known else 0
    click.echo(
        f"{config}: good. Node {found.name} listens on {found.listen[0]}:{found.listen[1]}, has"
        f" {len(found.classes)} classes and knows {servers} servers."
    )


cli.add_command(lab)
