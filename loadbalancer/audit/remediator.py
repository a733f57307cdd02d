"""One node's decisions about itself and about other outdated members.

Combines catching up, the quarantine request, votes and notifications. `Remediator.update` is called after
each observation of the fleet and returns actions for the host. Pure: no I/O, no clock; the random source is
seeded.
"""

from __future__ import annotations

from random import Random

from loadbalancer.audit.catch_up import CatchUp, CatchUpStep
from loadbalancer.audit.fleet_view import FleetView
from loadbalancer.audit.quarantine import Quarantine, Voter
from loadbalancer.audit.remediation import LocalState, Remediation, RemediationKind
from loadbalancer.audit.rules import RemediationRules
from loadbalancer.audit.status import Ballot, stable_hash

NOTIFIERS = 2  # members that notify an outdated one
# Notifications that are remembered; beyond them the oldest are dropped.
MAX_NOTIFICATIONS = 1_000
RETAINED_NOTIFICATIONS = 500  # notifications that remain after that


class Remediator:
    """One node's remediation. `update` is called after each observation.

    Attributes:
        name: This node's name among the members.
        rules: Times and limits; replaced by `update_rules`.
        catch_up: How this node catches up.
        quarantine: This node's own quarantine.
        voter: This node's votes on the requests of others.
        started_at: Time of the first update in monotonic microseconds; 0 before it.
        unsettled: Whether the last observation was not settled.
        notified: When a member was first found to be behind a version number, by the member and the number,
            in monotonic microseconds; also if other members notify it.
    """

    def __init__(self, name: str, rules: RemediationRules, seed: int) -> None:
        self.name = name
        self.rules = rules
        random = Random(seed)  # shared: the order of draws is part of a seeded run
        self.catch_up = CatchUp(name, rules, random)
        self.quarantine = Quarantine(name, rules, random)
        self.voter = Voter(name, rules)
        self.started_at = 0
        self.unsettled = False
        self.notified: dict[tuple[str, int], int] = {}

    def update_rules(self, rules: RemediationRules) -> None:
        """Replaces the rules; attempts, requests and votes in progress continue."""
        self.rules = self.catch_up.rules = rules
        self.quarantine.rules = self.voter.rules = rules

    def update(self, now: int, view: FleetView, local: LocalState) -> list[Remediation]:
        """Returns the actions for the host.

        Args:
            now: Monotonic microseconds.
            view: The latest observation of the fleet.
            local: What the host knows of this node.
        """
        self.started_at = self.started_at or now
        actions: list[Remediation] = []
        if not view.settled and not self.unsettled:
            reason = "started or was suspended: may have missed an update"
            actions.append(Remediation(RemediationKind.POLL_DISCOVERY, reason))
        self.unsettled = not view.settled
        actions += self.catch_up.update(now, view.health[self.name], local)
        actions += self.quarantine.update(now, view, self.catch_up.failed)
        self.voter.update(now, self.started_at, view, self.quarantine.state)
        actions += self.notify_outdated(now, view)
        return actions

    def quarantine_decided(self, now: int, approved: bool) -> None:
        """Passes the host's answer to `RemediationKind.QUARANTINE` on to the quarantine."""
        self.quarantine.apply_decision(now, approved)

    @property
    def step(self) -> CatchUpStep:
        """The step of catching up, as the status record carries it."""
        return self.catch_up.step

    @property
    def discovery_deadline(self) -> int:
        """Until when (monotonic microseconds) the own discovery was last waited for; 0 if it never was."""
        return self.catch_up.discovery_deadline

    def ballots(self) -> tuple[Ballot, ...]:
        """Returns the votes as the status record carries them."""
        return self.voter.ballots()

    def notify_outdated(self, now: int, view: FleetView) -> list[Remediation]:
        """Notifies the members that are behind, each once per version.

        `NOTIFIERS` holders of the version do so, chosen by hash, so that all members choose the same ones.
        """
        if not view.settled or view.health[self.name].behind_since:
            return []
        actions: list[Remediation] = []
        for name, health in view.health.items():
            target = health.target
            if name == self.name or not health.behind_since or target is None:
                continue
            if (name, target.number) in self.notified:
                continue
            if now - health.behind_since < self.rules.poll_after_us:
                continue
            self.notified[(name, target.number)] = now
            if self.name in notifiers(name, target.holders):
                kind = RemediationKind.NOTIFY
                actions.append(
                    Remediation(kind, health.reason, name, target=target.version)
                )
        if len(self.notified) > MAX_NOTIFICATIONS:
            self.notified = dict(list(self.notified.items())[-RETAINED_NOTIFICATIONS:])
        return actions


def notifiers(member: str, holders: tuple[str, ...]) -> list[str]:
    """Returns the holders that notify a member."""
    return sorted(holders, key=lambda holder: stable_hash("tell", holder, member))[
        :NOTIFIERS
    ]
