"""Determines the version that a member acts on, and compares its content with the majority's."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.audit.fleet_view import Frontier, HealthState
from loadbalancer.audit.status import StatusRecord

NO_LIST = -1  # version number of a member that holds no list


@dataclass(frozen=True)
class Comparison:
    """The result of comparing a member with its target.

    Attributes:
        state: The member's state.
        reason: Why it has that state, for operators.
        behind_since: When the frontier passed the member, or since when its content has differed
            (monotonic microseconds); 0 if neither applies.
    """

    state: HealthState
    reason: str
    behind_since: int = 0


@dataclass(frozen=True)
class EffectiveVersion:
    """The version that a member holds, from its own discovery or from its peers.

    Attributes:
        number: The version number; `NO_LIST` if it holds no list.
        digest: Digest of the content; empty if it holds no list.
        source: Suffix for the reason text if the version comes from peers, else empty.
    """

    number: int
    digest: str
    source: str


def effective_version(status: StatusRecord, target: Frontier) -> EffectiveVersion:
    """Returns the version that a member holds: its own discovery's, or its peers' if that is newer.

    The adopted version also counts if it is the target itself and the discovery's version, of other content,
    has the same number.
    """
    discovered, adopted = status.list_version, status.adopted
    number = discovered.number if discovered is not None else NO_LIST
    if adopted is not None and adopted.origin == target.origin:
        is_target = adopted == target.version and number <= target.number
        if adopted.number > number or is_target:
            return EffectiveVersion(
                adopted.number, adopted.digest, ", received from peers"
            )
    return EffectiveVersion(
        number, discovered.digest if discovered is not None else "", ""
    )


def compare_content(status: StatusRecord, reference: Frontier | None) -> Comparison:
    """Compares a member whose origin has no frontier, or that has no list, with the majority's content.

    Args:
        status: The member's status.
        reference: The frontier of the origin that a majority uses; None if there is none.
    """
    discovered, adopted = status.list_version, status.adopted
    if discovered is None:
        reason = "holds no list, and no quorum holds one"
        return Comparison(HealthState.UNKNOWN, reason)
    if reference is not None and discovered.digest == reference.digest:
        reason = f"holds the content that the quorum holds from {reference.origin}"
        return Comparison(HealthState.CURRENT, reason)
    if (
        reference is not None
        and adopted is not None
        and adopted.digest == reference.digest
    ):
        reason = "holds the quorum's content, received from peers"
        return Comparison(HealthState.CURRENT, reason)
    reason = f"too few members use origin {discovered.origin} for a comparison"
    return Comparison(HealthState.UNKNOWN, reason)
