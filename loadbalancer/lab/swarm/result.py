"""What a run of a swarm has shown."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from loadbalancer.lab.scale.interface import NodeCost
from loadbalancer.lab.swarm.script import Expect


@dataclass
class Result:
    """One run.

    Attributes:
        name: The script's name.
        seed: The seed that was played.
        nodes: Real nodes.
        figures: Figures by name; None for one that the run could not show.
        claims: Each expectation of the script, and whether it held.
        faults: One entry for each beginning or end of a fault, in order.
        servers: What each stand-in server had done, by second.
        load: Requests by how they ended.
        hollow: Hollow nodes, beside the real ones.
        costs: What a real and a hollow node have used.
        void: Why this run measured the machine and says nothing of nodes; empty if it does.
    """

    name: str
    seed: int
    nodes: int
    figures: dict[str, float | None]
    claims: list[tuple[Expect, bool]]
    faults: list[dict[str, Any]]
    servers: list[dict[str, Any]] = field(default_factory=list)
    load: dict[str, Any] = field(default_factory=dict)
    hollow: int = 0
    costs: list[NodeCost] = field(default_factory=list)
    void: str = ""

    @property
    def good(self) -> bool:
        """Whether the run counts and all expectations held."""
        return not self.void and all(holds for _, holds in self.claims)
