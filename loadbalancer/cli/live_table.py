"""A table on standard error that shows the progress of a live run."""

from __future__ import annotations

from rich.console import Group
from rich.live import Live
from rich.table import Table

from loadbalancer.cli.tables import error_console
from loadbalancer.lab.scenario import Scenario
from loadbalancer.lab.stage import Stage

REFRESHES_PER_S = 4
TIER_COLUMNS = (
    "tier",
    "servers up",
    "overloaded",
    "nodes up",
    "in flight",
    "utilization, median server",
)


class LiveTable:
    """Context manager that shows the state of a live run; prints nothing if standard error is no terminal.

    Attributes:
        scenario: The scenario that is run.
        live: The table; None if nothing is shown.
    """

    def __init__(self, scenario: Scenario, enabled: bool) -> None:
        """Prepares the table; it is shown inside the `with` block.

        Args:
            scenario: The scenario that is run.
            enabled: Whether to show the table.
        """
        self.scenario = scenario
        self.live = (
            Live(
                console=error_console,
                refresh_per_second=REFRESHES_PER_S,
                transient=True,
            )
            if enabled and error_console.is_terminal
            else None
        )

    def __enter__(self) -> LiveTable:
        if self.live is not None:
            self.live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self.live is not None:
            self.live.stop()

    def update(self, stage: Stage, elapsed_s: float, counts: dict[str, int]) -> None:
        """Shows the state of the fleet and the outcomes of the clients' requests.

        Args:
            stage: The fleet.
            elapsed_s: Seconds since the start of the scenario.
            counts: Number of requests by outcome.
        """
        if self.live is None:
            return
        requests = Table(title="requests so far", title_justify="left")
        for name in counts:
            requests.add_column(name, justify="right")
        requests.add_row(*(f"{value:,}" for value in counts.values()))
        self.live.update(Group(self._tiers(stage, elapsed_s), requests))

    def _tiers(self, stage: Stage, elapsed_s: float) -> Table:
        """Returns a table with one row for each tier."""
        title = (
            f"{self.scenario.name}: second {elapsed_s:.0f} of {self.scenario.seconds:g}"
        )
        table = Table(title=title)
        for name in TIER_COLUMNS:
            table.add_column(name, justify="right" if name != "tier" else "left")
        for tier in stage.staged:
            up = [server for server in tier.servers if server.machine.up]
            utilizations = sorted(
                min(1.0, server.machine.active / server.machine.build.cores)
                for server in up
            )
            table.add_row(
                tier.world.name,
                f"{len(up)} of {len(tier.servers)}",
                str(sum(server.machine.choked for server in up)),
                f"{sum(node.alive for node in tier.nodes)} of {len(tier.nodes)}",
                str(sum(server.machine.held() for server in up)),
                f"{utilizations[len(utilizations) // 2]:.2f}" if utilizations else "-",
            )
        active_faults = [
            fault.kind
            for fault in self.scenario.faults
            if fault.at <= elapsed_s < fault.at + max(fault.seconds, 1)
        ]
        table.caption = "faults now: " + (", ".join(active_faults) or "none")
        return table
