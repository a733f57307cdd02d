"""How an outdated node obtains the current list: from its own discovery, other agents, then peers.

A step starts once the one before has timed out. Each round of all steps starts after a random jitter, and the
backoff between rounds grows. The node decides on its own; a hint from another node only brings the first step
forward.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from loadbalancer.audit.fleet_view import Frontier, MemberHealth
from loadbalancer.audit.remediation import LocalState, Remediation, RemediationKind
from loadbalancer.audit.rules import RemediationRules
from loadbalancer.audit.status import VersionId

BASE_BACKOFF_US = 1_000_000  # doubled for each completed round
MAX_BACKOFF_DOUBLINGS = 10


class CatchUpStep(IntEnum):
    """The steps of catching up, in order. The values are sent in the status record."""

    DISCOVERY = 0
    WAIT_FOR_DISCOVERY = 1
    AGENTS = 2
    PEERS = 3
    FAILED = 4  # all steps have been tried `max_rounds` times


@dataclass
class CatchUpAttempt:
    """The progress of catching up to one target. Times are monotonic microseconds.

    Attributes:
        target: The version to obtain.
        behind_since: Since when the node has been behind it.
        step: The present step.
        next_action_at: When the next action of that step is due.
        round_number: Number of completed rounds of all steps.
        requests_sent: Number of requests to agents or peers in the present step.
        queried_peers: Peers that have been asked in this round.
    """

    target: VersionId
    behind_since: int
    step: CatchUpStep = CatchUpStep.DISCOVERY
    next_action_at: int = 0
    round_number: int = 0
    requests_sent: int = 0
    queried_peers: set[str] = field(default_factory=set)


class CatchUp:
    """Brings one node back to the frontier. `update` is called after each observation.

    Attributes:
        name: This node's name among the members.
        rules: Times and limits; may be replaced at any time.
        random: Source of the jitter and of the choice of peers.
        attempt: The attempt in progress; None if the node is not behind.
        discovery_deadline: Until when the node waits for its own discovery, in monotonic microseconds.
        discovery_outdated: Whether peers or agents had a target that the node's own discovery did not have.
        last_discovery_version: The last version from the node's own discovery.
    """

    def __init__(self, name: str, rules: RemediationRules, random: Random) -> None:
        self.name = name
        self.rules = rules
        self.random = random
        self.attempt: CatchUpAttempt | None = None
        self.discovery_deadline = 0
        self.discovery_outdated = False
        self.last_discovery_version: VersionId | None = None

    @property
    def step(self) -> CatchUpStep:
        """The step to report in the status: quarantine may be requested only after `FAILED`."""
        if self.attempt is None:
            return CatchUpStep.DISCOVERY
        return CatchUpStep.FAILED if self.failed else self.attempt.step

    @property
    def failed(self) -> bool:
        """Whether all steps have been tried `max_rounds` times; further rounds follow all the same."""
        return (
            self.attempt is not None
            and self.attempt.round_number >= self.rules.max_rounds
        )

    def update(
        self, now: int, health: MemberHealth, local: LocalState
    ) -> list[Remediation]:
        """Returns the actions that are due.

        Args:
            now: Monotonic microseconds.
            health: This node's own health in the latest observation.
            local: What the host knows of this node.
        """
        if local.list_version != self.last_discovery_version:
            self.last_discovery_version = local.list_version
            self.discovery_outdated = False
        target = health.target
        if not health.behind_since or target is None:
            self.finish(local)
            return []
        attempt = self.attempt_for(target, health)
        self.discovery_deadline = self.deadline(attempt, local)
        return self.advance(attempt, now, health.reason, target, local)

    def finish(self, local: LocalState) -> None:
        """Ends the attempt in progress: the node is no longer known to be behind.

        If it now holds the target from peers or an agent, its own discovery counts as outdated.
        """
        attempt = self.attempt
        if (
            attempt is not None
            and local.adopted is not None
            and local.adopted == attempt.target
        ):
            self.discovery_outdated = True
        self.attempt = None

    def attempt_for(self, target: Frontier, health: MemberHealth) -> CatchUpAttempt:
        """Returns the attempt for this target; another number or origin starts a new one."""
        attempt = self.attempt
        if attempt is None or attempt.target[:2] != (target.origin, target.number):
            attempt = self.attempt = CatchUpAttempt(target.version, health.behind_since)
            attempt.next_action_at = (
                health.behind_since + self.rules.poll_after_us + self.jitter()
            )
        attempt.target = target.version
        return attempt

    def advance(
        self,
        attempt: CatchUpAttempt,
        now: int,
        reason: str,
        target: Frontier,
        local: LocalState,
    ) -> list[Remediation]:
        """Performs the steps that are due, in order; several may be due at once."""
        actions: list[Remediation] = []
        if local.hinted and attempt.step == CatchUpStep.DISCOVERY:
            attempt.next_action_at = min(attempt.next_action_at, now)
        if attempt.step == CatchUpStep.DISCOVERY and now >= attempt.next_action_at:
            kind = RemediationKind.POLL_DISCOVERY
            actions.append(Remediation(kind, reason, target=attempt.target))
            attempt.step = CatchUpStep.WAIT_FOR_DISCOVERY
        waiting = attempt.step == CatchUpStep.WAIT_FOR_DISCOVERY
        if waiting and now >= self.discovery_deadline:
            attempt.step = CatchUpStep.AGENTS
            attempt.requests_sent, attempt.next_action_at = 0, now
        if attempt.step == CatchUpStep.AGENTS and now >= attempt.next_action_at:
            actions += self.request_from_agent(attempt, now, reason)
        if attempt.step == CatchUpStep.PEERS and now >= attempt.next_action_at:
            actions += self.request_from_peer(attempt, now, reason, target)
        return actions

    def request_from_agent(
        self, attempt: CatchUpAttempt, now: int, reason: str
    ) -> list[Remediation]:
        """Requests the list from the next configured agent; after the last one, turns to the peers."""
        index = attempt.requests_sent
        if index >= self.rules.agents:
            attempt.step, attempt.requests_sent = CatchUpStep.PEERS, 0
            return []
        attempt.requests_sent += 1
        attempt.next_action_at = now + self.rules.agent_timeout_us
        return [
            Remediation(
                RemediationKind.REQUEST_FROM_AGENT,
                reason,
                agent_index=index,
                target=attempt.target,
            )
        ]

    def request_from_peer(
        self, attempt: CatchUpAttempt, now: int, reason: str, target: Frontier
    ) -> list[Remediation]:
        """Requests the list from a peer that holds it; after the last one, schedules a new round."""
        peer = self.choose_peer(attempt, target)
        if peer and attempt.requests_sent < self.rules.peers:
            attempt.queried_peers.add(peer)
            attempt.requests_sent += 1
            attempt.next_action_at = now + self.rules.peer_timeout_us
            kind = RemediationKind.REQUEST_FROM_PEER
            return [Remediation(kind, reason, peer, target=attempt.target)]
        attempt.round_number += 1
        attempt.step, attempt.queried_peers = CatchUpStep.DISCOVERY, set()
        doublings = min(attempt.round_number, MAX_BACKOFF_DOUBLINGS)
        backoff = min(self.rules.max_backoff_us, BASE_BACKOFF_US << doublings)
        attempt.next_action_at = now + backoff + self.jitter()
        return []

    def deadline(self, attempt: CatchUpAttempt, local: LocalState) -> int:
        """Returns the time (monotonic microseconds) until which the own discovery is waited for."""
        rules = self.rules
        if self.discovery_outdated:
            # It is still polled, but agents and peers are asked without waiting for it.
            return attempt.behind_since + rules.poll_after_us
        lag_deadline = attempt.behind_since + rules.lag_us
        if local.discovery_answered_at >= attempt.behind_since:
            return lag_deadline  # it answers, but with an older version than the other members hold
        return max(lag_deadline, local.discovery_answered_at + rules.silence_us)

    def choose_peer(self, attempt: CatchUpAttempt, target: Frontier) -> str:
        """Returns a random peer that holds the target and has not been asked in this round.

        Empty if there is none, or if no quorum holds the same content.
        """
        if not target.digest:
            return ""
        remaining = [
            name
            for name in target.holders
            if name != self.name and name not in attempt.queried_peers
        ]
        return self.random.choice(remaining) if remaining else ""

    def jitter(self) -> int:
        """Returns random microseconds, so that nodes do not all send requests at the same time."""
        return int(self.random.random() * self.rules.jitter_us)
