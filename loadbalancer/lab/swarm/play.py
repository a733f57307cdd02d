"""Plays a swarm: starts the processes, lets them settle, watches them, and ends them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from loadbalancer.lab.swarm.fleet import CONCURRENT_STARTS, Progress, SwarmFleet
from loadbalancer.lab.swarm.hollows import (
    SwarmLate,
    SwarmOutgrown,
    bound_mb,
    check_fits,
)
from loadbalancer.lab.swarm.nodes import START_TIMEOUT_S
from loadbalancer.lab.swarm.result import Result
from loadbalancer.lab.swarm.run_figures import machine_figures, server_figures
from loadbalancer.lab.swarm.sampling import MEMORY_CHECK_INTERVAL_S, memory_mb
from loadbalancer.lab.swarm.script import Swarm
from loadbalancer.lab.swarm.watch import Watch

END_MARGIN_S = 120.0  # of a run with hollow nodes
# Hollow nodes may take so many times as long to start as `start_per_s` says.
HOLLOW_START_FACTOR = 3


class SwarmRun:
    """One run of one script.

    Args:
        swarm: The script.
        folder: Gets the nodes' files and logs.
        progress: Is told what is going on.
    """

    def __init__(self, swarm: Swarm, folder: Path, progress: Progress) -> None:
        self.swarm = swarm
        self.fleet = SwarmFleet(swarm, folder, progress)
        self.faults: list[dict[str, Any]] = []  # the log
        self.watch = Watch(swarm, self.fleet, self.faults, progress)
        self.outgrown = ""  # why it was ended for its memory

    async def play(self) -> Result:
        """Runs the script, within the bounds of time and memory for hollow nodes.

        Raises:
            SwarmError: The surroundings cannot be had, or hollow nodes do not fit in.
        """
        check_fits(self.swarm)
        if self.swarm.hollow is None:
            return await self.play_unbounded()
        task = asyncio.ensure_future(self.play_unbounded())
        memory_check = asyncio.ensure_future(self.check_memory(task))
        longest_s = self.longest_s()
        timer = asyncio.timeout(longest_s)
        try:
            async with timer:
                return await task
        except TimeoutError:
            if not timer.expired():
                raise  # of something within
            raise SwarmLate(f"not over after {longest_s:.0f} s") from None
        except asyncio.CancelledError:
            if self.outgrown:
                raise SwarmOutgrown(self.outgrown) from None
            raise
        finally:
            memory_check.cancel()

    def longest_s(self) -> float:
        """Seconds that a run with hollow nodes may take at the most."""
        swarm = self.swarm
        assert swarm.hollow is not None
        world = swarm.world
        starts = (
            START_TIMEOUT_S * (1 + world.nodes / CONCURRENT_STARTS)
            + HOLLOW_START_FACTOR * swarm.hollow.count / swarm.hollow.start_per_s
        )
        ends = max((fault.at_s + fault.for_s for fault in swarm.faults), default=0.0)
        return (
            starts
            + world.settle_s
            + world.rest_s
            + max(world.watch_s, ends)
            + world.agree_s
            + END_MARGIN_S
        )

    async def check_memory(self, run: asyncio.Task[Any]) -> None:
        """Ends a run with hollow nodes that comes to use more memory than it may."""
        bound = bound_mb(self.swarm)
        while True:
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
            processes = [*self.fleet.helpers]
            processes += [
                node.process for node in self.fleet.nodes.values() if node.process
            ]
            used = memory_mb(p.pid for p in processes if p.returncode is None)
            if used > bound:
                self.outgrown = f"{used:.0f} MB in use where {bound:.0f} are the most"
                run.cancel()
                return

    async def play_unbounded(self) -> Result:
        """Runs the script, from the first process to the last figure, without those bounds."""
        try:
            await self.fleet.set_up()
            settled_s = await self.fleet.settle()
            if settled_s is not None:
                figures = await self.watch.run()
            else:
                figures = await self.unsettled_figures()
            figures["settle_s"] = settled_s
            load = figures.pop("load", None)
            figures |= server_figures(self.watch.looks)
            return self.result(figures, load or {})
        finally:
            self.watch.stop()
            await self.fleet.end()

    def result(self, figures: dict[str, Any], load: dict[str, Any]) -> Result:
        """The figures with what was expected of them; those of the machine alone if the run is void."""
        swarm = self.swarm
        if self.watch.void:
            figures = machine_figures(figures)
        claims = [
            (expect, expect.holds(figures.get(expect.figure)))
            for expect in swarm.expects
            if not self.watch.void
        ]
        return Result(
            swarm.name,
            swarm.world.seed,
            swarm.world.nodes,
            figures,
            claims,
            self.faults,
            self.watch.looks,
            load,
            hollow=len(swarm.hollow_names),
            costs=self.watch.costs if not self.watch.void else [],
            void=self.watch.void,
        )

    async def unsettled_figures(self) -> dict[str, Any]:
        """Figures of a world that never settled; void if that may be the machine's doing."""
        if self.fleet.hollows is None:
            return {}
        _, figures, late = await self.fleet.hollows.costs()
        if late:
            settle_s = self.swarm.world.settle_s
            self.watch.void = f"the nodes did not settle in {settle_s:g} s, and {late}"
        return machine_figures(figures) | {
            "disagreements": self.fleet.observer.disagreements()
            + self.fleet.hollows.disagreement_count
        }


def _no_progress(stage: str, at: float, of: float) -> None:
    """Progress that nobody sees."""


async def play(swarm: Swarm, folder: Path, progress: Progress = _no_progress) -> Result:
    """Plays a swarm; its nodes' logs go to `folder`."""
    return await SwarmRun(swarm, folder, progress).play()
