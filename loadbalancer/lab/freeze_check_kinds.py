"""The machines that `freeze_check` checks: as they are, or with one fault put in on purpose.

Clocks run apart by the full drift that the rules allow, and periods are coarse, so that a lease is a few
steps. A node's whole state is its pickle; rules are pickled by name, so their constants stand in this module.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from loadbalancer.freeze.actions import Action, Send
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.messages import VoteRequest
from loadbalancer.freeze.replicated_log import ReplicatedState
from loadbalancer.freeze.rules import (
    ClientRules,
    CoordinatorRules,
    ElectionRules,
    FreezeRules,
)

LEASE_US = 1_000
DRIFT_RATIO = 0.2


class CoarseElectionRules(ElectionRules):
    """Few heartbeats in a lease, so that time passes in few steps."""

    @property
    def heartbeat_interval_us(self) -> int:
        """As in the base, but longer."""
        return self.lease_us * 3 // 10

    @property
    def answer_timeout_us(self) -> int:
        """As in the base, but longer."""
        return self.lease_us * 4 // 10

    @property
    def resend_interval_us(self) -> int:
        """As in the base, but longer."""
        return self.lease_us

    def __reduce__(self) -> str:
        return f"ELECTION_{len(self.electors)}"


class NoMarginElectionRules(CoarseElectionRules):
    """Fault: the leader counts on the whole lease, as if all clocks ran alike."""

    @property
    def leader_lease_us(self) -> int:
        """The whole lease."""
        return self.lease_us

    def __reduce__(self) -> str:
        return f"NO_MARGIN_{len(self.electors)}"


class CoarseCoordinatorRules(CoordinatorRules):
    """Pickled by name."""

    def __reduce__(self) -> str:
        return "COORDINATOR"


class CoarseClientRules(ClientRules):
    """Pickled by name."""

    def __reduce__(self) -> str:
        return f"CLIENT_{len(self.electors)}"


def _names(count: int) -> tuple[str, ...]:
    return tuple(f"n{index}" for index in range(count))


ELECTION_3, ELECTION_5 = (
    CoarseElectionRules(_names(count), LEASE_US, DRIFT_RATIO) for count in (3, 5)
)
NO_MARGIN_3, NO_MARGIN_5 = (
    NoMarginElectionRules(_names(count), LEASE_US, DRIFT_RATIO) for count in (3, 5)
)
COORDINATOR = CoarseCoordinatorRules(
    begin_within_us=400,
    max_duration_us=10_000,
    notify_interval_us=5_000,
    revocation_interval_us=2_000,
    retry_after_us=2_000,
    busy_retry_after_us=2_000,
    queue_timeout_us=5_000,
)
CLIENT_3, CLIENT_5 = (
    CoarseClientRules(_names(count), COORDINATOR, DRIFT_RATIO, retry_interval_us=4_000)
    for count in (3, 5)
)


class ForgetfulVoter(Elector):
    """Fault: a vote is given before it is in the store."""

    def _on_vote_request(self, sender: str, request: VoteRequest) -> list[Action]:
        actions = super()._on_vote_request(sender, request)
        self.saves.confirm_all()
        return [
            replace(action, after_save=0)
            for action in actions
            if isinstance(action, Send)
        ]


class HastyVoter(Elector):
    """Fault: an elector that has lost its store takes part at once."""

    def __init__(  # noqa: PLR0913, PLR0917 - as in the base
        self,
        name: str,
        rules: ElectionRules,
        state: ReplicatedState,
        seed: int,
        now: int,
        record: bytes | None,
    ) -> None:
        super().__init__(name, rules, state, seed, now, record)
        if record is None:
            self.state_lost, self.vote_guard.embargo_until = False, now


@dataclass(frozen=True)
class MachineKind:
    """The elector's class, and the name of its rules in this module."""

    elector_type: type[Elector] = Elector
    election_rules: str = "ELECTION"

    def rules(self, electors: int) -> FreezeRules:
        """The rules for 3 or 5 electors."""
        return FreezeRules(
            globals()[f"{self.election_rules}_{electors}"],
            globals()[f"CLIENT_{electors}"],
        )


CORRECT = MachineKind()
MUTANTS = {
    "a vote is given before it is stored": MachineKind(ForgetfulVoter),
    "the lease has no margin for drift": MachineKind(election_rules="NO_MARGIN"),
    "an elector without its store votes at once": MachineKind(HastyVoter),
}
