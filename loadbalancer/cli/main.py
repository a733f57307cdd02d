"""`loadbalancer`: runs a node, checks its files, and has the commands of the lab, swarm and fault tool.

`cli/exit.py` defines the exit status of the commands.
"""

from __future__ import annotations

import os
import sys

import click

from loadbalancer import __version__
from loadbalancer.cli.exit import ExitStatus
from loadbalancer.cli.fault import fault
from loadbalancer.cli.lab.commands import lab
from loadbalancer.cli.swarm import swarm

# Tables of the operators' file that `check` lists when they are present.
CHECKED_TABLES = ("zones", "storms", "membership", "spread")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="loadbalancer")
def cli() -> None:
    """A load-balancing node for calls between services, and its lab.

    Without a command it runs a node, configured by LB_CONFIG.
    """


@cli.command()
@click.option(
    "--operator",
    type=click.Path(dir_okay=False),
    help="Operators' file; replaces LB_OPERATOR.",
)
def node(operator: str | None) -> None:
    """Run one node, configured by LB_CONFIG and the other LB_ variables."""
    if operator is not None:
        os.environ["LB_OPERATOR"] = operator
    from loadbalancer.node.entry_point import run_node

    sys.exit(run_node())


@cli.command()
@click.argument("config", type=click.Path(dir_okay=False), required=False)
@click.option(
    "--operator",
    type=click.Path(dir_okay=False),
    help="Operators' file to check, as named by LB_OPERATOR.",
)
def check(config: str | None, operator: str | None) -> None:
    """Check a node's configuration file, or the operators' file, and report the first error."""
    if operator is not None:
        check_operator_config(operator)
    if config is not None:
        check_config(config)
    elif operator is None:
        raise click.UsageError("name a configuration file, or --operator FILE")


def check_operator_config(path: str) -> None:
    """Checks the operators' file and prints the features that it enables.

    Ends the command if the file is invalid.

    Args:
        path: Path of the file.
    """
    from loadbalancer.config import operator_config

    try:
        config = operator_config.load(path)
    except operator_config.OperatorConfigError as error:
        click.echo(error.line(), err=True)
        sys.exit(ExitStatus.UNUSABLE)
    enabled = [name for name in CHECKED_TABLES if getattr(config, name) is not None]
    click.echo(f"{path}: valid. It enables: {', '.join(enabled) or 'nothing'}.")


def check_config(path: str) -> None:
    """Checks a node's configuration and prints a summary of it.

    Ends the command if the configuration is invalid.

    Args:
        path: Path of the file.
    """
    from loadbalancer.node.config import ConfigError, load

    try:
        config = load({"LB_CONFIG": path})
    except ConfigError as error:
        click.echo(error.line().removeprefix("LB_CONFIG: "), err=True)
        sys.exit(ExitStatus.UNUSABLE)
    host, port = config.listen
    server_count = len(config.known.lines) if config.known else 0
    click.echo(
        f"{path}: valid. Node {config.name} listens on {host}:{port}, has"
        f" {len(config.classes)} classes and knows {server_count} servers."
    )


cli.add_command(fault)
cli.add_command(lab)
cli.add_command(swarm)
