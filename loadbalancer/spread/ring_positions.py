"""The position of a node among the live members, in the ring of nodes that share the servers.

Each node uses the servers of its own subset slice (`policy.subset`, a deterministic aperture). The slices
cover all servers evenly if each node knows its position and the number of positions. The platform configures
both once; nodes that die leave gaps, and the configured position may be missing, stale, or the same for two
nodes. Where nodes know each other (`membership`), the position follows from the sorted names of the live
members, which are the same on all nodes.

A change of the membership reaches the nodes within seconds, but not all of them at once. So a position is
adopted only once the members have been unchanged for `hold_us`, and each node adds a delay of its own: the
nodes do not all move their subsets at the same time.

Pure: no I/O, no clock, no randomness; the delay follows from the node's name.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from loadbalancer.policy.ranked_order import shuffle

# Members that never stop changing are adopted after this multiple of the node's delay.
MAX_DELAYS = 4
# A node that sees fewer members, itself included, has no ring position.
MIN_RING_MEMBERS = 2
_HASH_RANGE = 1 << 64  # number of values that `shuffle` may return


@dataclass(frozen=True)
class SpreadRules:
    """When a change of the live members is adopted.

    Attributes:
        hold_us: Microseconds for which the members must be unchanged.
        stagger_us: Upper bound in microseconds of the additional delay, which follows from the node's name.
    """

    hold_us: int = 2_000_000
    stagger_us: int = 3_000_000


@dataclass(frozen=True)
class RingPosition:
    """A node's position in the ring: `index`, from 0, of `count` positions."""

    index: int
    count: int


class RingPositionTracker:
    """Tracks the live members and this node's position among them. Times are monotonic microseconds.

    Attributes:
        name: The node's name among the members.
        rules: The times to wait.
        delay_us: Time for which the members must be unchanged before this node adopts them.
        seen_members: The live members of the last update, sorted.
        seen_since: When `seen_members` last changed.
        differs_since: When `seen_members` first differed from `adopted_members`; 0 if they are the same.
        adopted_members: The members that the present position is based on, sorted.
    """

    def __init__(self, name: str, name_hash: int, rules: SpreadRules) -> None:
        """Starts with no members.

        Args:
            name: The node's name among the members.
            name_hash: 64-bit hash of the name, from which the node's delay is derived.
            rules: The times to wait.
        """
        self.name = name
        self.rules = rules
        self.delay_us = rules.hold_us + shuffle(name_hash, 0) * rules.stagger_us // (
            _HASH_RANGE
        )
        self.seen_members: tuple[str, ...] = ()
        self.seen_since = 0
        self.differs_since = 0
        self.adopted_members: tuple[str, ...] = ()

    def update_members(self, now: int, live: Sequence[str]) -> None:
        """Records the live members, in any order, with or without this node.

        Args:
            now: Monotonic microseconds.
            live: Names of the live members.
        """
        seen = tuple(sorted({*live, self.name}))
        if seen == self.seen_members:
            return
        if self.seen_members == self.adopted_members:
            self.differs_since = now
        self.seen_members, self.seen_since = seen, now
        if seen == self.adopted_members:
            self.differs_since = 0

    def due_at(self) -> int | None:
        """Returns when the change is to be adopted; None if there is none."""
        if self.seen_members == self.adopted_members:
            return None
        return min(
            self.seen_since + self.delay_us,
            self.differs_since + MAX_DELAYS * self.delay_us,
        )

    def position(self, now: int) -> RingPosition | None:
        """Adopts a change that is due, and returns the position to use from now on.

        A node that sees no other member is isolated, or the first to start. It does not assume that the
        others are dead, which would make it use all servers; it uses the position that the platform
        configured.

        Args:
            now: Monotonic microseconds.

        Returns:
            The position; None if the one that the platform configured is to be used.
        """
        due_at = self.due_at()
        if due_at is not None and now >= due_at:
            self.adopted_members = self.seen_members
        if len(self.adopted_members) < MIN_RING_MEMBERS:
            return None
        return RingPosition(
            self.adopted_members.index(self.name), len(self.adopted_members)
        )
