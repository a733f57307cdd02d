"""The fault tool's plan for thousands of members: the same rules, without a state for each pair of them.

`DatagramPlan` keeps a random source of some kilobytes for each directed pair and rule. Here the n-th datagram
of a pair draws from a hash of the seed, the rule, the pair and n: as fixed by the seed, and one number a
pair.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.fault.datagram_rules import DatagramRule

SCALE = 1 << 64


class WidePlan(DatagramPlan):
    """What becomes of each datagram."""

    def __init__(self, rules: Sequence[DatagramRule], seed: int) -> None:
        super().__init__(rules, seed)
        self.counts: dict[tuple[int, str, str], int] = {}  # numbers drawn so far

    def draw(self, rule: int, source: str, target: str) -> float:
        """The pair's next random number for a rule, from 0 to 1."""
        n = self.counts[rule, source, target] = (
            self.counts.get((rule, source, target), 0) + 1
        )
        text = f"{self.seed}/{rule}/{source}>{target}/{n}"
        return (
            int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
            / SCALE
        )
