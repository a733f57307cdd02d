"""The command group `loadbalancer lab`."""

from __future__ import annotations

import click

from loadbalancer.cli.lab.live import fleet, live, load
from loadbalancer.cli.lab.overhead import overhead
from loadbalancer.cli.lab.report import report
from loadbalancer.cli.lab.virtual_time import compare, run, sweep


@click.group()
def lab() -> None:
    """Run scenarios: the real decisions against modelled or real servers."""


for command in (run, compare, sweep, report, live, fleet, load, overhead):
    lab.add_command(command)
