"""Determines which version a quorum of the live members holds, and how each member compares to it.

Each node evaluates the fleet independently, from the members' statuses and the times at which it received
them by its own monotonic clock; it never reads another node's clock. Version numbers are compared only within
one origin (the numbering of one discovery); members of different origins are compared by the digests of
their lists.

The quorum is a majority of the live members that are not quarantined; for an origin that only some of them
use, it is a majority of those. Members without a status count as voters. In a partition each side evaluates
its own members and reports which side it is: `minority` if at most half of the known members are alive.

Pure: no I/O, no clock, no randomness.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.audit.comparison import (
    Comparison,
    EffectiveVersion,
    compare_content,
    effective_version,
)
from loadbalancer.audit.fleet_view import (
    OUTDATED_STATES,
    FleetView,
    Frontier,
    HealthState,
    MemberHealth,
    ReceivedStatus,
)
from loadbalancer.audit.frontier import (
    FrontierHistory,
    VersionNumber,
    find_frontiers,
)
from loadbalancer.audit.rules import FleetRules
from loadbalancer.audit.status import QuarantineState, StatusRecord

# Relapses that are counted; bounds the exponent of the factor of the dwell time.
MAX_RELAPSES = 16
US_PER_S = 1e6


@dataclass
class MemberHistory:
    """What this node remembers of one member.

    Times are this node's monotonic microseconds; 0 in a `..._since` field means that the condition does not
    hold.

    Attributes:
        last_alive: When the member was last observed alive.
        joined_at: When it was first observed alive after its last absence.
        state: Its health at the last observation.
        since: When that state began.
        reason: Why it has that state.
        differs_since: Since when its content has differed under the frontier's number.
        unconfirmed_since: Since when it has reported a version that no other member holds.
        current_since: Since when it has held the frontier.
        relapses: Consecutive relapses that each followed a recovery within `FleetRules.relapse_window_us`.
        recovered_at: When it last became current again; 0 if it never did.
        no_status_since: Since when its status has been missing or stale.
    """

    last_alive: int
    joined_at: int
    state: HealthState = HealthState.UNKNOWN
    since: int = 0
    reason: str = ""
    differs_since: int = 0
    unconfirmed_since: int = 0
    current_since: int = 0
    relapses: int = 0
    recovered_at: int = 0
    no_status_since: int = 0

    def restart_timers(self) -> None:
        """Resets timers that ran while this node was suspended: newer statuses may await processing."""
        self.differs_since = self.unconfirmed_since = 0
        self.no_status_since = self.current_since = 0


@dataclass(frozen=True)
class ObservationContext:
    """The data of one observation that every member is compared with.

    Attributes:
        now: Time of the observation in monotonic microseconds.
        statuses: Fresh statuses by member.
        frontiers: Frontiers by origin.
        reference: The frontier of the origin that a majority uses; None if there is none.
        reports: Number of members that report each version number.
    """

    now: int
    statuses: Mapping[str, StatusRecord]
    frontiers: Mapping[str, Frontier]
    reference: Frontier | None
    reports: Counter[VersionNumber]

    def target_of(self, status: StatusRecord) -> Frontier | None:
        """Returns the frontier that a member with this status should hold; None if its origin has none."""
        version = status.list_version
        if version is None:
            return self.reference
        return self.frontiers.get(version.origin)


class FleetObserver:
    """Evaluates the fleet from one node's point of view. `observe` is called a few times a second.

    Attributes:
        name: This node's name among the members.
        rules: Times and limits; may be replaced at any time.
        members: What is remembered of each known member, by name.
        frontier_histories: How the frontier of each origin has moved.
        last_observed: Time of the last observation in monotonic microseconds; 0 before the first.
        resumed_at: When observations started, or resumed after the last gap, in monotonic microseconds.
    """

    def __init__(self, name: str, rules: FleetRules | None = None) -> None:
        self.name = name
        self.rules = rules or FleetRules()
        self.members: dict[str, MemberHistory] = {}
        self.frontier_histories: dict[str, FrontierHistory] = {}
        self.last_observed = 0
        self.resumed_at = 0

    def observe(
        self, now: int, live: Sequence[str], statuses: Mapping[str, ReceivedStatus]
    ) -> FleetView:
        """Evaluates the health of all live members.

        Args:
            now: Monotonic microseconds.
            live: Names of the live members; this node's own name may be missing.
            statuses: The received statuses by member, including this node's own.

        Returns:
            The view of the fleet at this moment.
        """
        self.detect_gap(now)
        names = tuple(sorted({*live, self.name}))
        self.update_members(now, names)
        fresh = {
            name: statuses[name].status
            for name in names
            if name in statuses and not statuses[name].stale
        }
        voters = voters_of(names, fresh)
        quorum = len(voters) // 2 + 1
        frontiers = find_frontiers(voters, fresh, quorum)
        self.record_frontiers(now, frontiers, fresh)
        reference = reference_of(frontiers, quorum, len(voters))
        context = ObservationContext(
            now, fresh, frontiers, reference, count_reports(fresh)
        )
        health = {name: self.evaluate_member(name, context) for name in names}
        return FleetView(
            observed_at=now,
            live=names,
            known_members=frozenset(self.members),
            quorum=quorum,
            side=side_of(len(names), len(self.members)),
            settled=now - self.resumed_at >= self.rules.settle_us,
            frontiers=frontiers,
            reference=reference,
            health=health,
            statuses={name: statuses[name] for name in names if name in statuses},
        )

    # ---- member and frontier history ------------------------------------------------------------------

    def detect_gap(self, now: int) -> None:
        """Restarts the settling time at the first observation and after a gap between two."""
        if not self.last_observed or now - self.last_observed > self.rules.max_step_us:
            self.resumed_at = now
            for member in self.members.values():
                member.restart_timers()
        self.last_observed = now

    def update_members(self, now: int, names: Sequence[str]) -> None:
        """Updates the live members and forgets those that were last alive more than `forget_us` ago."""
        rules = self.rules
        for name in names:
            member = self.members.get(name)
            if member is None or now - member.last_alive > rules.forget_us:
                self.members[name] = MemberHistory(now, now, since=now)
                continue
            # While this node was suspended it observed no member, so no member counts as absent.
            was_absent = now - member.last_alive > rules.max_step_us
            if was_absent and self.resumed_at != now:
                member.joined_at = now
            member.last_alive = now
        self.members = {
            name: member
            for name, member in self.members.items()
            if now - member.last_alive <= rules.forget_us
        }

    def record_frontiers(
        self,
        now: int,
        frontiers: Mapping[str, Frontier],
        fresh: Mapping[str, StatusRecord],
    ) -> None:
        """Records changes of the frontiers and forgets origins that no member uses any more."""
        for origin, frontier in frontiers.items():
            history = self.frontier_histories.setdefault(origin, FrontierHistory())
            history.record(now, frontier.number)
        used = {
            status.list_version.origin
            for status in fresh.values()
            if status.list_version is not None
        }
        for origin in list(self.frontier_histories):
            if origin not in frontiers and origin not in used:
                del self.frontier_histories[origin]

    # ---- health of one member -------------------------------------------------------------------------

    def evaluate_member(self, name: str, context: ObservationContext) -> MemberHealth:
        """Compares a member with its target and returns its health, with hysteresis."""
        member, status = self.members[name], context.statuses.get(name)
        if status is None:
            return self.evaluate_without_status(member, context.now)
        member.no_status_since = 0
        now, target = context.now, context.target_of(status)
        comparison = self.compare(member, status, context)
        state = comparison.state
        if state == HealthState.CURRENT:
            member.current_since = member.current_since or now
            dwell_us = self.dwell_left(member, now)
            if dwell_us:
                reason = f"{comparison.reason} again, for less than {dwell_us / US_PER_S:g} s"
                unchanged = Comparison(member.state, reason)
                return record_health(member, now, unchanged, member.since, target)
        else:
            member.current_since = 0
            self.count_relapse(member, now, state)
            if state == HealthState.LAGGING and member.state in OUTDATED_STATES:
                state = HealthState.STRAGGLER  # it has not been current since
        result = Comparison(state, comparison.reason, comparison.behind_since)
        return record_health(
            member, now, result, comparison.behind_since or now, target
        )

    def evaluate_without_status(self, member: MemberHistory, now: int) -> MemberHealth:
        """Keeps a member's last state until its status has been missing for `silence_us`."""
        member.no_status_since = member.no_status_since or now
        member.current_since = 0
        if now - member.no_status_since >= self.rules.silence_us:
            silent = Comparison(
                HealthState.SILENT, "alive, but its status record is missing or stale"
            )
            return record_health(member, now, silent, member.no_status_since)
        unknown = member.state == HealthState.UNKNOWN
        reason = "no status record received yet" if unknown else member.reason
        return record_health(
            member, now, Comparison(member.state, reason), member.since
        )

    def dwell_left(self, member: MemberHistory, now: int) -> int:
        """Returns the dwell time of an outdated or silent member until the member has completed it, else 0.

        It is the full dwell time in microseconds, not the rest of it. Records the recovery of a member that
        has completed it.
        """
        if member.state not in OUTDATED_STATES | {HealthState.SILENT}:
            return 0
        factor = min(self.rules.max_dwell_factor, 1 << member.relapses)
        dwell_us = self.rules.dwell_us * factor
        if now - member.current_since < dwell_us:
            return dwell_us
        member.recovered_at = now
        return 0

    def count_relapse(
        self, member: MemberHistory, now: int, state: HealthState
    ) -> None:
        """Counts a relapse within `relapse_window_us` of a recovery; any other resets the count."""
        if state in OUTDATED_STATES and member.state not in OUTDATED_STATES:
            recent = (
                member.recovered_at
                and now - member.recovered_at < self.rules.relapse_window_us
            )
            member.relapses = min(member.relapses + 1, MAX_RELAPSES) if recent else 0

    def compare(
        self, member: MemberHistory, status: StatusRecord, context: ObservationContext
    ) -> Comparison:
        """Compares a member with its target, without hysteresis."""
        target = context.target_of(status)
        if target is None:
            return compare_content(status, context.reference)
        version = effective_version(status, target)
        if version.number < target.number:
            return self.compare_behind(member, version, target, context.now)
        if version.number > target.number:
            return self.compare_ahead(member, version, target, context)
        return self.compare_same_number(member, version, target, context.now)

    def compare_behind(
        self,
        member: MemberHistory,
        version: EffectiveVersion,
        target: Frontier,
        now: int,
    ) -> Comparison:
        """Compares a member that holds an older number than the frontier."""
        member.differs_since = member.unconfirmed_since = 0
        passed_at = self.frontier_histories[target.origin].passed_at(version.number)
        behind_since = max(passed_at or now, member.joined_at)
        overdue = now - max(behind_since, self.resumed_at) >= self.rules.lag_us
        state = HealthState.STRAGGLER if overdue else HealthState.LAGGING
        held = f"version {version.number}" if version.number >= 0 else "no list"
        reason = f"holds {held}, a quorum holds version {target.number}"
        return Comparison(state, reason, behind_since)

    def compare_ahead(
        self,
        member: MemberHistory,
        version: EffectiveVersion,
        target: Frontier,
        context: ObservationContext,
    ) -> Comparison:
        """Compares a member that holds a newer number than the frontier.

        It is current, unless for `unconfirmed_us` no other member has reported the number.
        """
        member.differs_since = 0
        number = version.number
        if context.reports[VersionNumber(target.origin, number)] > 1:
            member.unconfirmed_since = 0
        else:
            member.unconfirmed_since = member.unconfirmed_since or context.now
            if context.now - member.unconfirmed_since >= self.rules.unconfirmed_us:
                reason = f"reports version {number}, which no other member holds"
                return Comparison(HealthState.UNKNOWN, reason)
        reason = f"ahead of the frontier with version {number}"
        return Comparison(HealthState.CURRENT, reason)

    def compare_same_number(
        self,
        member: MemberHistory,
        version: EffectiveVersion,
        target: Frontier,
        now: int,
    ) -> Comparison:
        """Compares a member that holds the frontier's number, possibly with other content."""
        member.unconfirmed_since = 0
        number = version.number
        if target.digest and version.digest != target.digest:
            member.differs_since = since = member.differs_since or now
            if now - since >= self.rules.confirm_divergence_us:
                reason = (
                    f"holds {version.digest or 'no content'} as version {number},"
                    f" a quorum holds {target.digest}"
                )
                return Comparison(HealthState.DIVERGED, reason, since)
            diverged = member.state == HealthState.DIVERGED
            state = HealthState.DIVERGED if diverged else HealthState.LAGGING
            reason = f"holds other content as version {number}, not confirmed yet"
            return Comparison(state, reason, since)
        member.differs_since = 0
        if target.contested:
            reason = f"no quorum holds the same content as version {number}"
            return Comparison(HealthState.UNKNOWN, reason)
        reason = f"holds version {number}{version.source}"
        return Comparison(HealthState.CURRENT, reason)


def record_health(
    member: MemberHistory,
    now: int,
    result: Comparison,
    since: int,
    target: Frontier | None = None,
) -> MemberHealth:
    """Records the result of an evaluation in a member's history, and returns it as the member's health.

    Args:
        member: The history to update.
        now: Monotonic microseconds.
        result: The member's state and the reason for it.
        since: When an outdated or silent state began (monotonic microseconds). Other states begin `now`.
        target: The frontier that the member should hold.
    """
    if result.state != member.state:
        member.state = result.state
        backdated = result.state in OUTDATED_STATES | {HealthState.SILENT}
        member.since = since if backdated else now
    member.reason = result.reason
    return MemberHealth(
        result.state, result.reason, member.since, result.behind_since, target
    )


def voters_of(names: Sequence[str], fresh: Mapping[str, StatusRecord]) -> list[str]:
    """Returns the live members that are not quarantined, including those without a status."""
    return [
        name
        for name in names
        if name not in fresh or fresh[name].quarantine != QuarantineState.QUARANTINED
    ]


def reference_of(
    frontiers: Mapping[str, Frontier], quorum: int, voters: int
) -> Frontier | None:
    """Returns the frontier of the origin that a majority of all voters uses; None if there is none."""
    for frontier in frontiers.values():
        if frontier.quorum == quorum and frontier.voters == voters:
            return frontier
    return None


def count_reports(fresh: Mapping[str, StatusRecord]) -> Counter[VersionNumber]:
    """Counts the members that report each version number of each origin."""
    return Counter(
        number
        for status in fresh.values()
        for number in {
            VersionNumber(version.origin, version.number)
            for version in status.list_versions
        }
    )


def side_of(live: int, known: int) -> str:
    """Returns the side of a partition: "whole" if all known members are alive, "majority" or "minority"."""
    if live == known:
        return "whole"
    return "majority" if 2 * live > known else "minority"
