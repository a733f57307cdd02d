"""Election of the change-freeze coordinator: the state machine of one elector.

The algorithm is Raft (Ongaro, Ousterhout 2014) with its terms, persistent votes, pre-vote, and the rule that
a candidate must hold the newest state. The replicated state is small, so a version of the complete state
takes the place of Raft's log (`replicated_log`).

Lease: an elector that accepts a heartbeat votes for no other candidate for the duration of a lease, measured
by its own clock; `leadership` implements the leader's side. The leader reads its clock before every action,
so a process that was stopped for longer than its lease detects that the lease has ended before it acts.

Restart: leases are not stored, so every elector casts no vote for a complete lease after its start. An
elector whose store was lost first recovers the lost state from the other electors (`recovery`).

The state machine does no I/O: it takes messages and monotonic microseconds, and returns actions that the host
must execute in order. The host reports a completed `Save` by calling `stored`. A `Send` with `after_save`
waits for that save; other messages need not wait for the disk, because leases are not stored, and an
acknowledgement reports only what the store already holds.
"""

from __future__ import annotations

from enum import Enum

from loadbalancer.freeze.actions import Action, FreezeEvent, Save, Send
from loadbalancer.freeze.candidacy import Candidacy
from loadbalancer.freeze.elector_record import (
    RECORD_FORMAT,
    ElectorRecord,
    decode_record,
    encode_record,
)
from loadbalancer.freeze.heartbeat_acks import HeartbeatAcks
from loadbalancer.freeze.leadership import Leadership
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    MAX_COMMAND_BYTES,
    ElectionMessage,
    Heartbeat,
    HeartbeatAck,
    RecoveryRequest,
    RecoveryResponse,
    SnapshotPart,
    StateVersion,
    VoteRequest,
    VoteResponse,
)
from loadbalancer.freeze.random_source import RandomSource
from loadbalancer.freeze.recovery import NONCE_LIMIT, Recovery
from loadbalancer.freeze.replicated_log import ReplicatedLog, ReplicatedState
from loadbalancer.freeze.rules import ElectionRules
from loadbalancer.freeze.saves import SaveTracker
from loadbalancer.freeze.vote_guard import VoteGuard

TermMessage = VoteRequest | VoteResponse | Heartbeat | SnapshotPart | HeartbeatAck

# Stored in place of a candidate: the elector may have voted in this term, but lost the record of its vote.
UNKNOWN_VOTE = "-"


class Role(Enum):
    """Role of an elector in its term; the values are published on status pages."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "coordinator"


class Elector:
    """State machine of one elector; the actions that a method returns must be executed in order.

    Attributes:
        leader: Name of the leader of this term, as far as this elector knows; empty if it knows none.
        vote_guard: The restrictions on its votes; an elector that must not vote does not lead either.
        state_lost: Whether its store was lost and the content is not recovered yet.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - everything that an elector starts from
        self,
        name: str,
        rules: ElectionRules,
        state: ReplicatedState,
        seed: int,
        now: int,
        record: bytes | None,
    ) -> None:
        """Starts as a follower, from the stored record if there is one.

        Args:
            name: Name of this elector's node.
            rules: The rules of the election.
            state: The replicated state; must be empty.
            seed: Seed for the jitter of candidacies.
            now: Monotonic microseconds.
            record: The record stored under `elector_record.RECORD_NAME`; None if the store has none.

        Raises:
            FreezeRecordError: `record` is not an elector's record.
        """
        self.name, self.rules = name, rules
        self.others = tuple(elector for elector in rules.electors if elector != name)
        self.random = RandomSource(seed)
        self.now = now
        self.log = ReplicatedLog(state, INITIAL_VERSION)
        self.leadership = Leadership(rules, self.log)
        self.term = 0
        self.voted_for = ""
        self.role = Role.FOLLOWER
        self.leader = ""
        embargo_until = now + rules.lease_us
        self.vote_guard = VoteGuard(now, embargo_until)
        self.state_lost = record is None
        if record is not None:
            self._restore(decode_record(record))
        self.saves = SaveTracker(self.term, self.log.version)
        self.acks = HeartbeatAcks(self.log, self.saves)
        self.candidacy = Candidacy(rules, self.random, name, embargo_until)
        self.recovery = Recovery(rules, self.others, embargo_until)
        self.events: list[FreezeEvent] = []

    def _restore(self, record: ElectorRecord) -> None:
        self.term, self.voted_for = record.term, record.voted_for
        self.log.version = record.version
        self.vote_guard.minimum_version = record.minimum_version
        if record.state:
            self.log.state.restore(record.state)

    # ---- called by the host ---------------------------------------------------------------------------

    def receive(self, now: int, sender: str, message: ElectionMessage) -> list[Action]:
        """Handles a message of another elector, or any member's response to a recovery request."""
        self._advance_clock(now)
        if isinstance(message, RecoveryResponse):
            return self._on_recovery_response(sender, message)
        if sender not in self.others:
            return []
        if isinstance(message, RecoveryRequest):
            return [self._recovery_response(sender, message)]
        if self.state_lost:
            return []  # its votes and leases are lost, so none of its answers may count
        return self._dispatch(sender, message)

    def _dispatch(self, sender: str, message: TermMessage) -> list[Action]:
        if isinstance(message, VoteRequest):
            return self._on_vote_request(sender, message)
        if isinstance(message, VoteResponse):
            return self._on_vote_response(sender, message)
        if isinstance(message, HeartbeatAck):
            return self._on_heartbeat_ack(sender, message)
        return self._on_heartbeat(sender, message)

    def tick(self, now: int) -> list[Action]:
        """Executes what is due: heartbeats, candidacies and recovery requests."""
        self._advance_clock(now)
        if self.state_lost:
            return self._recover()
        if self.role is Role.LEADER:
            return [*self.leadership.heartbeat(self.now)]
        if self.role is not Role.FOLLOWER and self.now >= self.candidacy.next_at:
            self.role = Role.FOLLOWER
            self.candidacy.discard_votes()
        if self.role is Role.FOLLOWER:
            if self.now >= self.candidacy_due():
                return self._start_candidacy(Role.PRE_CANDIDATE)
            return []
        if self.now >= self.candidacy.retry_at:
            return self._request_votes()
        return []

    def stored(self, now: int, number: int) -> list[Action]:
        """Handles the host's report that the store holds save `number`, and thus all earlier ones."""
        self._advance_clock(now)
        self.saves.confirm(number)
        if self.role is Role.LEADER:
            self.leadership.commit(self.now, self.saves.stored.version)
            return []
        return [*self.acks.due_acks(self.term, self.leader)]

    def propose(self, now: int, command: bytes) -> StateVersion | None:
        """Appends a command to the leader's log; `flush` stores and sends it.

        Returns:
            The version that the command produces, which is committed once `committed_version` has reached
            it; None if this elector does not lead or the command exceeds `MAX_COMMAND_BYTES`.
        """
        self._advance_clock(now)
        if self.role is not Role.LEADER or len(command) > MAX_COMMAND_BYTES:
            return None
        return self.log.append(self.term, command)

    def flush(self, now: int) -> list[Action]:
        """Stores and sends all proposed commands with one write and one round of heartbeats."""
        self._advance_clock(now)
        if (
            self.role is not Role.LEADER
            or self.log.version == self.saves.latest_version
        ):
            return []
        return [self._save(), *self.leadership.replicate(self.now)]

    def next_deadline(self) -> int:
        """Returns the time at which `tick` should next be called, in monotonic microseconds."""
        if self.state_lost:
            return self.recovery.next_request_at
        if self.role is Role.LEADER:
            return self.leadership.next_deadline()
        if self.role is Role.FOLLOWER:
            return self.candidacy_due()
        return min(self.candidacy.next_at, self.candidacy.retry_at)

    def is_leading(self, now: int) -> bool:
        """Whether this elector leads now: it holds the lease and has committed the start of its term."""
        self.now = max(self.now, now)
        return (
            self.role is Role.LEADER
            and self.now < self.leadership.lease_until()
            and self.leadership.has_committed()
        )

    @property
    def committed_version(self) -> StateVersion:
        """The newest version that a majority is known to have stored."""
        return self.leadership.committed_version

    @property
    def version(self) -> StateVersion:
        """The version of the replicated state in memory."""
        return self.log.version

    def declare_reset(self, now: int) -> None:
        """Records an operator's declaration that the state of the other electors is lost for good.

        It has an effect only while this elector's own state is lost. Such electors resume without the
        others once a majority of electors has a declaration.
        """
        self._advance_clock(now)
        self.recovery.reset_declared = self.recovery.reset_declared or self.state_lost

    def set_other_members(self, names: tuple[str, ...]) -> None:
        """Sets the members that are not electors; recovery asks them for the highest term they know."""
        self.recovery.other_members = names

    def pop_events(self) -> list[FreezeEvent]:
        """Returns the events since the last call."""
        events, self.events = self.events, []
        return events

    # ---- time and the store ---------------------------------------------------------------------------

    def _advance_clock(self, now: int) -> None:
        """Runs first in every action: keeps time from going back, and steps down once the lease is over."""
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return
        if self.now >= self.leadership.lease_until():
            self._step_down("the lease was not renewed by a majority")
        elif self.vote_guard.disabled:
            self._step_down("a straggler does not coordinate")

    def candidacy_due(self) -> int:
        """Returns the earliest time at which a follower may start a candidacy, in microseconds."""
        return self.vote_guard.earliest_candidacy(self.candidacy.next_at)

    def _step_down(self, reason: str) -> None:
        if self.role is Role.LEADER:
            self.events.append(FreezeEvent("coordinator stopped", self.term, reason))
        self.role, self.leader = Role.FOLLOWER, ""
        self.leadership.end_term()
        self.candidacy.discard_votes()
        self.candidacy.postpone(self.now)

    def _save(self) -> Save:
        number = self.saves.register(self.term, self.log.version)
        record = ElectorRecord(
            RECORD_FORMAT,
            self.term,
            self.voted_for,
            self.log.version,
            self.vote_guard.minimum_version,
            self.log.state.snapshot(),
        )
        return Save(number, encode_record(record))

    def _adopt_term(self, term: int) -> list[Action]:
        """Moves to a higher term, in which this elector has not voted yet."""
        if term <= self.term:
            return []
        if self.role is not Role.FOLLOWER:
            self._step_down(f"term {term} has started")
        self.term, self.voted_for, self.leader = term, "", ""
        self.log.transfer = None
        return [self._save()]

    # ---- recovery of a lost store ---------------------------------------------------------------------

    def _recovery_response(self, sender: str, request: RecoveryRequest) -> Send:
        response = self.recovery.response_to(
            request,
            self.term,
            self.vote_guard.newest_known_version(self.log.version),
            state_lost=self.state_lost,
        )
        return Send(sender, response, self.saves.latest_unconfirmed())

    def _recover(self) -> list[Action]:
        """Asks the other nodes for their state, or resumes if `Recovery.may_resume` permits it."""
        recovery = self.recovery
        if self.now < recovery.next_request_at:
            return []
        if recovery.may_resume():
            return self._finish_recovery(
                "state reset",
                "all other electors have reported their state, or operators have declared it lost",
            )
        nonce = self.random.below(NONCE_LIMIT)
        return [*recovery.start_round(self.now, nonce)]

    def _on_recovery_response(
        self, sender: str, response: RecoveryResponse
    ) -> list[Action]:
        is_current = (
            self.state_lost
            and response.nonce == self.recovery.nonce
            and self.now >= self.vote_guard.embargo_until
        )
        if not is_current or not self.recovery.record_response(sender, response):
            return []
        return self._finish_recovery(
            "state recovered", "a majority of other electors has reported its state"
        )

    def _finish_recovery(self, event: str, reason: str) -> list[Action]:
        """Resumes voting, but only in terms after every term in which it may have voted."""
        self.state_lost = False
        self.term, self.voted_for = self.recovery.highest_term(), UNKNOWN_VOTE
        self.vote_guard.minimum_version = self.recovery.newest_version()
        self.candidacy.postpone_until(self.now)
        self.events.append(FreezeEvent(event, self.term, reason))
        return [self._save()]

    # ---- votes ----------------------------------------------------------------------------------------

    def _start_candidacy(self, role: Role) -> list[Action]:
        """Starts as a candidate, or as a pre-candidate that only asks whether it would be elected."""
        self.candidacy.postpone(self.now)
        if (
            self.vote_guard.disabled
            or self.log.version < self.vote_guard.minimum_version
        ):
            return []
        self.candidacy.start(self.now)
        self.role = role
        if role is Role.PRE_CANDIDATE:
            return self._request_votes()
        self.leader = ""
        self.term, self.voted_for = self.term + 1, self.name
        self.events.append(FreezeEvent("election started", self.term))
        return [self._save(), *self._request_votes()]

    def _request_votes(self) -> list[Action]:
        pre_vote = self.role is Role.PRE_CANDIDATE
        request = VoteRequest(
            self.term + 1 if pre_vote else self.term,
            self.candidacy.started_at,
            self.log.version,
            pre_vote,
        )
        after_save = 0 if pre_vote else self.saves.latest_unconfirmed()
        return [*self.candidacy.requests(self.now, request, after_save)]

    def _on_vote_request(self, sender: str, request: VoteRequest) -> list[Action]:
        may_vote = self.role is not Role.LEADER and self.vote_guard.may_vote_for(
            self.now, sender, self.leader
        )
        if not may_vote:
            # A higher term in the request is not adopted either; otherwise a node whose requests arrive but
            # that receives nothing would depose every leader.
            rejection = VoteResponse(
                self.term, request.sent_at, False, request.pre_vote
            )
            return [Send(sender, rejection)]
        if request.pre_vote:
            return [self._answer_pre_vote(sender, request)]
        actions = self._adopt_term(request.term)
        granted = (
            request.term == self.term
            and self.voted_for in ("", sender)
            and self._is_up_to_date(request)
        )
        if granted and not self.voted_for:
            self.voted_for = sender
            self.candidacy.postpone(self.now)
            actions = [self._save()]  # supersedes the save of the term
        response = VoteResponse(self.term, request.sent_at, granted, False)
        return [*actions, Send(sender, response, self.saves.latest_unconfirmed())]

    def _answer_pre_vote(self, sender: str, request: VoteRequest) -> Send:
        granted = request.term > self.term and self._is_up_to_date(request)
        term = request.term if granted else self.term
        return Send(sender, VoteResponse(term, request.sent_at, granted, True))

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return request.last_version >= self.vote_guard.newest_known_version(
            self.log.version
        )

    def _on_vote_response(self, sender: str, response: VoteResponse) -> list[Action]:
        if not response.granted:
            # Adopting the voter's term avoids a candidacy in a term that another elector has already used.
            # The lease that the voter granted stays valid.
            if self.role is Role.LEADER:
                return []
            return self._adopt_term(response.term)
        if not self._is_expected(response) or not self.candidacy.add_vote(sender):
            return []
        if response.pre_vote:
            return self._start_candidacy(Role.CANDIDATE)
        return self._become_leader()

    def _is_expected(self, response: VoteResponse) -> bool:
        role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        term = self.term + 1 if response.pre_vote else self.term
        return (self.role, term) == (
            role,
            response.term,
        ) and self.candidacy.accepts(self.now, response)

    def _become_leader(self) -> list[Action]:
        self.role, self.leader = Role.LEADER, self.name
        self.events.append(FreezeEvent("leader elected", self.term))
        self.leadership.start_term(self.now, self.term, self.others)
        return [self._save(), *self.leadership.heartbeat(self.now)]

    # ---- heartbeats -----------------------------------------------------------------------------------

    def _on_heartbeat_ack(self, sender: str, ack: HeartbeatAck) -> list[Action]:
        if ack.term > self.term:
            return self._adopt_term(ack.term)
        if self.role is not Role.LEADER or ack.term < self.term:
            return []
        if ack.sent_at > self.now:
            return []
        return [
            *self.leadership.record_ack(
                self.now, sender, ack, self.saves.stored.version
            )
        ]

    def _on_heartbeat(
        self, sender: str, heartbeat: Heartbeat | SnapshotPart
    ) -> list[Action]:
        if heartbeat.term < self.term:
            return [Send(sender, self.acks.rejection(self.term, heartbeat.sent_at))]
        actions = self._adopt_term(heartbeat.term)
        if self.role is not Role.FOLLOWER:
            self._step_down("another elector has been elected")
        self.leader = sender
        if heartbeat.lease_requested:
            lease_until = self.now + self.rules.lease_us
            self.vote_guard.lease_until = lease_until
            self.candidacy.postpone_until(lease_until)
        if isinstance(heartbeat, SnapshotPart):
            changed = self.log.apply_snapshot_part(heartbeat)
        else:
            changed = self.log.apply_commands(
                heartbeat.previous_version, heartbeat.commands
            )
        if changed:
            actions = [self._save()]  # supersedes the save of the term
        if changed or isinstance(heartbeat, Heartbeat):
            actions += self.acks.acknowledge(self.term, sender, heartbeat)
        return actions
