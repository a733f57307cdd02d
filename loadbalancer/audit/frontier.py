"""The frontier of versions: the highest version of an origin that a quorum holds.

A member supports each version that its status lists: the one that it holds and the last ones before it. It
supports a version that its status does not list only if the status lists a higher one that a second member
lists as well; so a single member that reports version 10^9 does not move the frontier.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.audit.fleet_view import Frontier
from loadbalancer.audit.status import StatusRecord, VersionId

MAX_MOVES = 64  # moves of a frontier that are remembered
# Fewest members for a frontier of an origin that less than a quorum uses.
MIN_PARTIAL_GROUP = 3


class Move(NamedTuple):
    """A frontier has reached `number` at the time `at` (monotonic microseconds)."""

    at: int
    number: int


@dataclass
class FrontierHistory:
    """The last moves of a frontier, oldest first."""

    moves: list[Move] = field(default_factory=list)

    def record(self, now: int, number: int) -> None:
        """Records the frontier's present number; a lower number than before starts a new numbering."""
        if self.moves and number < self.moves[-1].number:
            self.moves.clear()
        if not self.moves or number > self.moves[-1].number:
            self.moves = [*self.moves[-(MAX_MOVES - 1) :], Move(now, number)]

    def passed_at(self, number: int) -> int:
        """Returns when the frontier passed a number (monotonic microseconds); 0 if it has not."""
        return next((move.at for move in self.moves if move.number > number), 0)


def find_frontiers(
    voters: Sequence[str], statuses: Mapping[str, StatusRecord], quorum: int
) -> dict[str, Frontier]:
    """Returns the frontiers by origin; an origin that too few members use has none.

    Args:
        voters: Live members that are not quarantined, including those without a status.
        statuses: Fresh statuses by member.
        quorum: Majority of the voters.
    """
    groups: dict[str, dict[str, StatusRecord]] = {}
    for name in voters:
        status = statuses.get(name)
        if status is not None and status.list_version is not None:
            groups.setdefault(status.list_version.origin, {})[name] = status
    frontiers = {}
    for origin, group in groups.items():
        if len(group) >= quorum:
            frontier = find_frontier(origin, group, quorum, len(voters))
        elif len(group) >= MIN_PARTIAL_GROUP:
            frontier = find_frontier(origin, group, len(group) // 2 + 1, len(group))
        else:
            continue
        if frontier is not None:
            frontiers[origin] = frontier
    return frontiers


def find_frontier(
    origin: str, group: Mapping[str, StatusRecord], quorum: int, voters: int
) -> Frontier | None:
    """Returns the highest version that `quorum` members support; None if there is none.

    Args:
        origin: The origin.
        group: Statuses of the members that use this origin.
        quorum: Number of members that must support the version.
        voters: Number of members of which the quorum is a majority.
    """
    versions = {
        name: [version for version in status.list_versions if version.origin == origin]
        for name, status in group.items()
    }
    holders = holders_by_number(versions)
    confirmed = {
        name: max(
            (
                version.number
                for version in reported
                if len(holders[version.number]) > 1
            ),
            default=-1,
        )
        for name, reported in versions.items()
    }
    for number in sorted(holders, reverse=True):
        support = sum(
            1
            for name in versions
            if name in holders[number] or confirmed[name] > number
        )
        if support >= quorum:
            return frontier_at(
                VersionNumber(origin, number), versions, support, quorum, voters
            )
    return None


class VersionNumber(NamedTuple):
    """A version number of an origin, regardless of the content."""

    origin: str
    number: int


def holders_by_number(
    versions: Mapping[str, Sequence[VersionId]],
) -> dict[int, set[str]]:
    """Returns the members whose statuses list each number."""
    holders: dict[int, set[str]] = {}
    for name, reported in versions.items():
        for version in reported:
            holders.setdefault(version.number, set()).add(name)
    return holders


def frontier_at(
    version: VersionNumber,
    versions: Mapping[str, Sequence[VersionId]],
    support: int,
    quorum: int,
    voters: int,
) -> Frontier:
    """Returns the frontier at a number, with the digest of the content that a quorum holds, if any."""
    digests = Counter(
        digest
        for reported in versions.values()
        for digest in {
            held.digest for held in reported if held.number == version.number
        }
    )
    digest, count = digests.most_common(1)[0]
    agreed = count >= quorum
    most_common = VersionId(version.origin, version.number, digest)
    holders = sorted(
        name for name, reported in versions.items() if reported[-1] == most_common
    )
    return Frontier(
        version.origin,
        version.number,
        digest if agreed else "",
        tuple(holders),
        support,
        quorum,
        voters,
        contested=not agreed and len(digests) > 1,
    )
