"""Decides when an outdated node stops serving clients, and bounds the number of such nodes by voting.

No coordinator is involved. The number of quarantine slots is the configured ratio of the known members. A
node that has failed to catch up requests a slot in its status. Each up-to-date member votes, in its own
status, for at most one request per slot. A request may be used once a majority of the known members has voted
for it. Any two majorities for one slot have a member in common, so no two nodes are ever quarantined in the
same slot, and a minority can quarantine no node.

A vote is withdrawn only once the requester's own status no longer contains the request, or the requester has
been forgotten; a withdrawn request is never used again. A member that has just started, or was suspended,
does not vote, so it cannot vote twice; it only restores votes for members that are quarantined already.

A quarantined node rejoins when it has held the frontier for `RemediationRules.rejoin_after_us`, when there
has been no majority to compare it with for `RemediationRules.no_majority_us`, or at once when too few other
members are ready.

Pure: no I/O, no clock; the random source is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from loadbalancer.audit.catch_up import CatchUpStep
from loadbalancer.audit.fleet_view import (
    OUTDATED_STATES,
    FleetView,
    HealthState,
    ReceivedStatus,
)
from loadbalancer.audit.remediation import Remediation, RemediationKind
from loadbalancer.audit.rules import RemediationRules
from loadbalancer.audit.status import Ballot, QuarantineState, StatusRecord, stable_hash

MAX_SLOTS = 32  # upper bound, whatever the size of the fleet
RANDOM_BITS = 24  # random high bits of the request count, so that requests of two incarnations differ
COUNTER_BITS = 8  # low bits of the request count, for the requests of one incarnation
# Added, so that a ratio that amounts to exactly n members yields n slots.
RATIO_TOLERANCE = 1e-9
# Added before truncation to round up; a float error below 1e-6 does not add a member.
ROUND_UP_OFFSET = 0.999999


class QuarantineRequest(NamedTuple):
    """A request of a member to be quarantined, identified by its number."""

    member: str
    number: int


class RequestedSlot(NamedTuple):
    """The slot that a request is for, and the state of the requester."""

    slot: int
    state: QuarantineState


def slot_count(rules: RemediationRules, view: FleetView) -> int:
    """Returns the number of members that may be quarantined at the same time."""
    slots = int(rules.max_quarantined_ratio * view.known_count + RATIO_TOLERANCE)
    return min(MAX_SLOTS, slots)


def min_ready(rules: RemediationRules, view: FleetView) -> int:
    """Returns the number of members that must stay ready."""
    return max(
        rules.min_ready, int(rules.min_ready_ratio * len(view.live) + ROUND_UP_OFFSET)
    )


def count_ready(view: FleetView) -> int:
    """Counts the members that accept clients and neither are quarantined nor request it."""
    fresh = (
        received.status for received in view.statuses.values() if not received.stale
    )
    return sum(
        1
        for status in fresh
        if status.ready and status.quarantine == QuarantineState.SERVING
    )


def enough_ready(rules: RemediationRules, view: FleetView) -> bool:
    """Returns whether at least `min_ready` members are ready."""
    return count_ready(view) >= min_ready(rules, view)


class Quarantine:
    """The state machine of this node's own quarantine: serving, requested, quarantined.

    Times are monotonic microseconds.

    Attributes:
        name: This node's name among the members.
        rules: Times and limits; may be replaced at any time.
        random: Source of the request numbers and of the delay between two requests.
        state: Whether the node is serving, has requested quarantine, or is quarantined.
        slot: The quarantine slot that the last request is for.
        request_number: The number of the last request; 0 before the first.
        request_count: Counts the requests, from a random start in each incarnation.
        since: When the present state began.
        next_request_at: When the next request may be made.
        approval_pending: Whether the host has been asked to approve the quarantine and has not answered yet.
        current_since: While quarantined: since when the node has held the frontier; 0 if it does not.
        no_majority_since: While quarantined: since when there has been no majority to compare the node with;
            0 if there is one.
    """

    def __init__(self, name: str, rules: RemediationRules, random: Random) -> None:
        self.name = name
        self.rules = rules
        self.random = random
        self.state = QuarantineState.SERVING
        self.slot = self.request_number = 0
        self.request_count = random.getrandbits(RANDOM_BITS) << COUNTER_BITS
        self.since = 0
        self.next_request_at = 0
        self.approval_pending = False
        self.current_since = 0
        self.no_majority_since = 0

    def update(
        self, now: int, view: FleetView, catch_up_failed: bool
    ) -> list[Remediation]:
        """Makes the transition that is due.

        Args:
            now: Monotonic microseconds.
            view: The latest observation of the fleet.
            catch_up_failed: Whether all steps of catching up have been tried `max_rounds` times.

        Returns:
            The actions that the host has to perform.
        """
        if self.state == QuarantineState.QUARANTINED:
            return self.check_rejoin(now, view)
        health = view.health[self.name]
        failed = (
            health.state in OUTDATED_STATES
            and catch_up_failed
            and now - health.since >= self.rules.quarantine_after_us
        )
        if self.state == QuarantineState.SERVING:
            if failed:
                self.request_slot(now, view)
            return []
        return self.check_votes(now, view, failed, health.reason)

    def request_slot(self, now: int, view: FleetView) -> None:
        """Transition from serving to requested: requests a slot that seems to be free."""
        slots = slot_count(self.rules, view)
        may_request = view.settled and view.side != "minority"
        if not slots or not may_request or now < self.next_request_at:
            return
        self.request_count += 1
        self.request_number = stable_hash(self.name, self.request_count)
        self.since = now
        occupied = {
            received.status.slot
            for received in view.statuses.values()
            if received.status.quarantine != QuarantineState.SERVING
        }
        free = [slot for slot in range(slots) if slot not in occupied]
        free = free or list(range(slots))
        index = stable_hash("slot", self.name, self.request_count) % len(free)
        self.slot = free[index]
        self.state = QuarantineState.REQUESTED

    def check_votes(
        self, now: int, view: FleetView, failed: bool, reason: str
    ) -> list[Remediation]:
        """In state requested: asks the host for approval once a majority has voted for the request."""
        expired = now - self.since >= self.rules.request_timeout_us
        if not failed or (expired and not self.approval_pending):
            self.withdraw(now)
            return []
        if self.approval_pending or not view.settled:
            return []
        votes = self.count_votes(view)
        # The largest count that any member reports: one that has just joined may know only a few others.
        reported = (
            received.status.known_members for received in view.statuses.values()
        )
        known = max([view.known_count, *reported])
        if 2 * votes > known and enough_ready(self.rules, view):
            self.approval_pending = True
            approval_reason = f"{reason}; {votes} of {known} members agree"
            return [Remediation(RemediationKind.QUARANTINE, approval_reason)]
        return []

    def count_votes(self, view: FleetView) -> int:
        """Counts the votes for this node's request in the fresh statuses of serving members."""
        ballot = Ballot(self.slot, self.request_number)
        return sum(
            1
            for name, received in view.statuses.items()
            if name != self.name
            and not received.stale
            and received.status.quarantine == QuarantineState.SERVING
            and ballot in received.status.votes
        )

    def apply_decision(self, now: int, approved: bool) -> None:
        """Transition from requested to quarantined, or back to serving: the host's decision.

        Args:
            now: Monotonic microseconds.
            approved: The host's answer to `RemediationKind.QUARANTINE`.
        """
        self.approval_pending = False
        if not approved:
            self.withdraw(now)
        elif self.state == QuarantineState.REQUESTED:
            self.state, self.since = QuarantineState.QUARANTINED, now
            self.current_since = self.no_majority_since = 0

    def withdraw(self, now: int) -> None:
        """Returns to serving. The request is never used again; another one may be made later.

        The next request is delayed by 0.5 to 1.5 times the request timeout, at random.
        """
        self.state, self.since = QuarantineState.SERVING, now
        self.approval_pending = False
        timeout = self.rules.request_timeout_us
        self.next_request_at = now + timeout // 2 + int(self.random.random() * timeout)

    def check_rejoin(self, now: int, view: FleetView) -> list[Remediation]:
        """In state quarantined: rejoins once the node is current, cannot be compared, or is needed."""
        # An isolated node sees a fleet of one, which always holds its own frontier: that does not count.
        has_majority = view.side != "minority" and bool(view.frontiers)
        current = view.health[self.name].state == HealthState.CURRENT and has_majority
        self.current_since = (self.current_since or now) if current else 0
        self.no_majority_since = 0 if has_majority else (self.no_majority_since or now)
        reason = self.rejoin_reason(now, view)
        if not reason:
            return []
        self.withdraw(now)
        return [Remediation(RemediationKind.REJOIN, reason)]

    def rejoin_reason(self, now: int, view: FleetView) -> str:
        """Returns why the node rejoins now; empty if it stays quarantined."""
        rules = self.rules
        if self.current_since and now - self.current_since >= rules.rejoin_after_us:
            return "holds the frontier again"
        if (
            self.no_majority_since
            and now - self.no_majority_since >= rules.no_majority_us
        ):
            return "no majority to compare it with"
        if view.settled and not enough_ready(rules, view):
            return f"only {count_ready(view)} other members are ready"
        return ""


class Voter:
    """This node's votes on the quarantine requests of the other members.

    Attributes:
        name: This node's name among the members.
        rules: Times and limits; may be replaced at any time.
        votes: The request that this node votes for, by slot.
        first_seen: When each open request was first seen, in monotonic microseconds.
    """

    def __init__(self, name: str, rules: RemediationRules) -> None:
        self.name = name
        self.rules = rules
        self.votes: dict[int, QuarantineRequest] = {}
        self.first_seen: dict[QuarantineRequest, int] = {}

    def update(
        self, now: int, started_at: int, view: FleetView, state: QuarantineState
    ) -> None:
        """Withdraws votes, restores those for members that are quarantined already, and casts new ones.

        Args:
            now: Monotonic microseconds.
            started_at: When this node made its first observation.
            view: The latest observation of the fleet.
            state: This node's own quarantine state.
        """
        requests = self.open_requests(view)
        self.first_seen = {
            request: self.first_seen.get(request, now) for request in requests
        }
        self.withdraw_votes(view)
        for request, requested in requests.items():
            if requested.state == QuarantineState.QUARANTINED:
                # A member loses its votes when it restarts; here it restores them.
                self.votes.setdefault(requested.slot, request)
        health_state = view.health[self.name].state
        may_vote = (
            view.settled
            and state == QuarantineState.SERVING
            and health_state == HealthState.CURRENT
        )
        if may_vote and now - started_at >= self.rules.vote_embargo_us:
            self.cast_votes(now, view, requests)

    def open_requests(self, view: FleetView) -> dict[QuarantineRequest, RequestedSlot]:
        """Returns the requests of the other members that are requested or in use."""
        return {
            QuarantineRequest(name, received.status.request_number): RequestedSlot(
                received.status.slot, received.status.quarantine
            )
            for name, received in view.statuses.items()
            if received.status.quarantine != QuarantineState.SERVING
            and name != self.name
        }

    def withdraw_votes(self, view: FleetView) -> None:
        """Withdraws votes for requests that were withdrawn or whose members have been forgotten.

        A member that is only unreachable may still be quarantined, so the vote for it stays.
        """
        for slot, request in list(self.votes.items()):
            received = view.statuses.get(request.member)
            is_withdrawn = received is not None and has_withdrawn(
                received.status, request, slot
            )
            if is_withdrawn or request.member not in view.known_members:
                del self.votes[slot]

    def cast_votes(
        self,
        now: int,
        view: FleetView,
        requests: dict[QuarantineRequest, RequestedSlot],
    ) -> None:
        """Votes, in each slot without a vote, for the request with the lowest hash, so that members agree."""
        if not enough_ready(self.rules, view):
            return
        slots = slot_count(self.rules, view)
        candidates: dict[int, list[QuarantineRequest]] = {}
        for request, requested in requests.items():
            if requested.slot < slots and self.supports(now, view, request, requested):
                candidates.setdefault(requested.slot, []).append(request)
        for slot, contenders in sorted(candidates.items()):
            if slot not in self.votes:
                self.votes[slot] = first_by_hash(slot, contenders)

    def supports(
        self,
        now: int,
        view: FleetView,
        request: QuarantineRequest,
        requested: RequestedSlot,
    ) -> bool:
        """Returns whether this node also finds the requester outdated after all its catch-up steps.

        The requester has to be outdated for half of `quarantine_after_us` at least in this node's view.
        """
        health = view.health.get(request.member)
        received: ReceivedStatus = view.statuses[request.member]
        return (
            requested.state == QuarantineState.REQUESTED
            and not received.stale
            and received.status.step >= CatchUpStep.FAILED
            and now - self.first_seen[request] >= self.rules.min_request_age_us
            and health is not None
            and health.state in OUTDATED_STATES
            and 2 * (now - health.since) >= self.rules.quarantine_after_us
        )

    def ballots(self) -> tuple[Ballot, ...]:
        """Returns the votes as the status record carries them."""
        return tuple(
            sorted(Ballot(slot, request.number) for slot, request in self.votes.items())
        )


def has_withdrawn(status: StatusRecord, request: QuarantineRequest, slot: int) -> bool:
    """Returns whether the requester's own status no longer contains the request."""
    return (
        status.request_number != request.number
        or status.slot != slot
        or status.quarantine == QuarantineState.SERVING
    )


def first_by_hash(
    slot: int, requests: Iterable[QuarantineRequest]
) -> QuarantineRequest:
    """Returns the request with the lowest hash, which is the same on all members."""
    return min(
        requests,
        key=lambda request: (stable_hash("vote", slot, request.member), request),
    )
