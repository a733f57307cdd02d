"""The data of one observation of the fleet: the frontiers of versions and each member's health."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from loadbalancer.audit.status import StatusRecord, VersionId


class HealthState(Enum):
    """A member's health. The values appear in metrics and on admin pages."""

    CURRENT = "current"
    # Behind the frontier for less than `FleetRules.lag_us`, or with other content under the frontier's number
    # for less than `FleetRules.confirm_divergence_us`.
    LAGGING = "lagging"
    # Behind the frontier for longer, or behind again without having been current since.
    STRAGGLER = "straggler"
    DIVERGED = "diverged"  # holds other content under the frontier's number
    # Alive, but its status has been missing or stale for `FleetRules.silence_us`.
    SILENT = "silent"
    UNKNOWN = "unknown"  # cannot be compared


OUTDATED_STATES = frozenset((HealthState.STRAGGLER, HealthState.DIVERGED))


@dataclass(frozen=True)
class ReceivedStatus:
    """The last status that this node has received from a member, and whether it is stale."""

    status: StatusRecord
    stale: bool = False


@dataclass(frozen=True)
class Frontier:
    """The highest version of an origin that a quorum supports: each of its members holds or has passed it.

    Attributes:
        origin: The origin.
        number: The version number.
        digest: Digest of the content; empty if no quorum holds the same content under this number.
        holders: Members that hold the most frequent content of this number at present, sorted.
        support: Number of members that support the number by the rule of the module `frontier`.
        quorum: Number of members that make a quorum.
        voters: Number of members of which the quorum is a majority.
        contested: Whether members hold different contents under this number, none of them a quorum.
    """

    origin: str
    number: int
    digest: str
    holders: tuple[str, ...]
    support: int
    quorum: int
    voters: int
    contested: bool = False

    @property
    def version(self) -> VersionId:
        """The frontier as a version."""
        return VersionId(self.origin, self.number, self.digest)


@dataclass(frozen=True)
class MemberHealth:
    """One member's health. Times are this node's monotonic microseconds.

    Attributes:
        state: The member's state.
        reason: Why it has that state, for operators.
        since: When that state began.
        behind_since: When the frontier passed the member, or since when its content has differed; 0 if
            neither applies.
        target: The frontier that the member should hold; None if it cannot be compared.
    """

    state: HealthState
    reason: str
    since: int
    behind_since: int = 0
    target: Frontier | None = None


@dataclass(frozen=True)
class FleetView:
    """One observation of the fleet by one node.

    Attributes:
        observed_at: Time of the observation in monotonic microseconds.
        live: Names of the live members, sorted.
        known_members: The live members, and those that were alive within `FleetRules.forget_us`.
        quorum: Majority of the live members that are not quarantined.
        side: This node's side of a partition, by the known members: "whole", "majority" or "minority".
        settled: False for `FleetRules.settle_us` after the start or a gap: the node takes no part in
            decisions.
        frontiers: Frontiers by origin.
        reference: The frontier of the origin that a majority uses; None if there is none.
        health: Health by member.
        statuses: The last received statuses by member.
    """

    observed_at: int
    live: tuple[str, ...]
    known_members: frozenset[str]
    quorum: int
    side: str
    settled: bool
    frontiers: Mapping[str, Frontier]
    reference: Frontier | None
    health: Mapping[str, MemberHealth]
    statuses: Mapping[str, ReceivedStatus]

    @property
    def known_count(self) -> int:
        """Number of known members."""
        return len(self.known_members)

    def members_in(self, state: HealthState) -> list[str]:
        """Returns the names of the members in a state, sorted."""
        return sorted(
            name for name, health in self.health.items() if health.state == state
        )
