"""Restrictions on an elector's votes: leases that it granted, and the newest state that it knows of."""

from __future__ import annotations

from loadbalancer.freeze.messages import INITIAL_VERSION, StateVersion


class VoteGuard:
    """The restrictions on one elector's votes. Times are monotonic microseconds.

    Attributes:
        lease_until: Until then, the elector votes only for the leader to which it granted a lease.
        embargo_until: Until then, the elector casts no vote, because leases that an earlier process granted
            are not stored.
        disabled: Set by the host while its node is behind the others; the elector then casts no vote.
        minimum_version: The elector votes for no candidate with an older state than this one, which it
            learned of during recovery.
    """

    def __init__(self, now: int, embargo_until: int) -> None:
        self.lease_until = now
        self.embargo_until = embargo_until
        self.disabled = False
        self.minimum_version = INITIAL_VERSION

    def may_vote_for(self, now: int, candidate: str, leader: str) -> bool:
        """Whether the elector may vote for `candidate`, where `leader` is the last known leader."""
        if self.disabled or now < self.embargo_until:
            return False
        return now >= self.lease_until or candidate == leader

    def earliest_candidacy(self, next_at: int) -> int:
        """Returns the earliest time at which a follower may start a candidacy that is due at `next_at`."""
        return max(next_at, self.lease_until, self.embargo_until)

    def newest_known_version(self, version: StateVersion) -> StateVersion:
        """Returns the newest version known to an elector whose own state has `version`."""
        return max(version, self.minimum_version)
