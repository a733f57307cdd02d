"""The change freeze at one node: its client and, if the node is an elector, its elector and coordinator.

The state machine does no I/O: it takes datagrams and monotonic microseconds, and returns `Save` and `Send`
actions that the host must execute in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loadbalancer.freeze.actions import Action, FreezeEvent, Save, Send
from loadbalancer.freeze.client import FreezeClient
from loadbalancer.freeze.client_state import RequestedChange, RequestOutcome
from loadbalancer.freeze.coordinator import Coordinator
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.errors import FreezeMessageError
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    ChangeFinished,
    ChangeRequest,
    ElectionMessage,
    FreezeDatagram,
    FreezeMessage,
    OperatorCommand,
    RecoveryRequest,
    RecoveryResponse,
    RedirectToLeader,
    RequestMessage,
    decode,
)
from loadbalancer.freeze.rules import FreezeRules
from loadbalancer.freeze.state import FreezeState

# Far above the rounds that any exchange of a node with itself takes.
MAX_SELF_DELIVERY_ROUNDS = 10_000


@dataclass
class DatagramCounters:
    """Counters of dropped datagrams; published under the attribute names.

    Attributes:
        malformed: Datagrams that could not be decoded.
        foreign: Datagrams that carry this node's own name as their sender.
    """

    malformed: int = 0
    foreign: int = 0


class FreezeNode:
    """The state machine of the change freeze at one node.

    Attributes:
        client: Requests this node's changes from the coordinator.
        elector: None if the node is not an elector, or if its store cannot be written.
        coordinator: None in the same cases as `elector`.
    """

    def __init__(
        self,
        name: str,
        rules: FreezeRules,
        seed: int,
        now: int,
        record: bytes | None,
        elector_type: type[Elector] = Elector,
    ) -> None:
        """Starts from the record in the store.

        Args:
            name: The node's name.
            rules: The rules, which must be the same at all nodes.
            seed: Seed for the jitter of candidacies.
            now: Monotonic microseconds.
            record: An elector's stored record (`elector_record.RECORD_NAME`); None if there is none.
            elector_type: Class of the elector; checks replace it by faulty ones.

        Raises:
            FreezeRecordError: `record` is not an elector's record.
        """
        self.name, self.rules = name, rules
        self.client = FreezeClient(name, rules.client, rules.regions)
        self.elector: Elector | None = None
        self.coordinator: Coordinator | None = None
        if name in rules.election.electors:
            state = FreezeState()
            self.elector = elector_type(name, rules.election, state, seed, now, record)
            self.coordinator = Coordinator(
                self.elector, state, rules.client.coordinator, rules.regions
            )
        self.counters = DatagramCounters()

    # ---- called by the host ---------------------------------------------------------------------------

    def set_members(self, names: Sequence[str]) -> None:
        """Sets the names of the live members; the coordinator notifies them of incidents."""
        if self.elector is not None and self.coordinator is not None:
            self.coordinator.members = names
            electors = self.rules.election.electors
            self.elector.set_other_members(
                tuple(name for name in names if name not in electors)
            )

    def receive_datagram(self, now: int, data: bytes) -> list[Action]:
        """Handles one datagram and runs the coordinator; a malformed datagram is counted and dropped."""
        datagram = self._decode(data)
        if datagram is None:
            return []
        return self.receive(now, datagram.sender, datagram.message)

    def receive_batched(self, now: int, data: bytes) -> list[Action]:
        """Handles one datagram of a batch; the host must call `tick` after the last one.

        The commands that result from the batch are then stored with one write and sent in one round.
        """
        datagram = self._decode(data)
        if datagram is None:
            return []
        actions = self._dispatch(now, datagram.sender, datagram.message)
        return self._deliver_to_self(now, actions)

    def receive(self, now: int, sender: str, message: FreezeMessage) -> list[Action]:
        """Handles one decoded message and runs the coordinator."""
        return self._run_coordinator(now, self._dispatch(now, sender, message))

    def tick(self, now: int) -> list[Action]:
        """Executes what is due at the elector, the client and the coordinator."""
        actions: list[Action] = []
        if self.elector is not None:
            actions += self.elector.tick(now)
        return self._run_coordinator(now, [*actions, *self.client.tick(now)])

    def stored(self, now: int, number: int) -> list[Action]:
        """Handles the host's report that the store holds the `Save` of this number."""
        actions = self.elector.stored(now, number) if self.elector is not None else []
        return self._run_coordinator(now, actions)

    def request(self, now: int, change: RequestedChange) -> list[Action]:
        """Requests a change at this node; see `FreezeClient.request`."""
        return self._run_coordinator(now, self.client.request(now, change))

    def finish(self, now: int, change_id: str, result: str) -> list[Action]:
        """Reports that a change at this node has ended; see `FreezeClient.finish`."""
        return self._run_coordinator(now, self.client.finish(now, change_id, result))

    def command(
        self, now: int, command: OperatorCommand, timeout_us: int
    ) -> list[Action]:
        """Sends an operator's command from this node; see `FreezeClient.command`."""
        return self._run_coordinator(now, self.client.command(now, command, timeout_us))

    def declare_reset(self, now: int) -> list[Action]:
        """Records an operator's declaration that the state is lost; see `Elector.declare_reset`."""
        if self.elector is not None:
            self.elector.declare_reset(now)
        return self._run_coordinator(now, [])

    def next_deadline(self) -> int | None:
        """Returns when `tick` should next be called, in monotonic microseconds; None if nothing is due."""
        deadlines = [self.client.next_deadline()]
        if self.elector is not None and self.coordinator is not None:
            deadlines += [
                self.elector.next_deadline(),
                self.coordinator.next_deadline(),
            ]
        return min(
            (deadline for deadline in deadlines if deadline is not None), default=None
        )

    def drain(self) -> tuple[list[FreezeEvent], list[RequestOutcome]]:
        """Returns the events to log, and the outcomes of this node's requests, since the last call."""
        events: list[FreezeEvent] = []
        if self.elector is not None and self.coordinator is not None:
            events = [*self.elector.pop_events(), *self.coordinator.pop_events()]
        return events, self.client.drain()

    # ---- messages -------------------------------------------------------------------------------------

    def _decode(self, data: bytes) -> FreezeDatagram | None:
        try:
            datagram = decode(data)
        except FreezeMessageError:
            self.counters.malformed += 1
            return None
        if datagram.sender == self.name:
            self.counters.foreign += 1
            return None
        return datagram

    def _dispatch(
        self, now: int, sender: str, message: FreezeMessage
    ) -> Sequence[Action]:
        if isinstance(message, ElectionMessage):
            return self._dispatch_election(now, sender, message)
        if isinstance(message, RequestMessage):
            return self._dispatch_request(now, sender, message)
        return self.client.receive(now, sender, message)

    def _dispatch_election(
        self, now: int, sender: str, message: ElectionMessage
    ) -> Sequence[Action]:
        if self.elector is not None:
            return self.elector.receive(now, sender, message)
        if not isinstance(message, RecoveryRequest):
            return []
        if sender not in self.rules.election.electors:
            return []
        # A member that is not an elector may know a term of which all electors have lost the record.
        response = RecoveryResponse(
            message.nonce,
            self.client.locator.term,
            INITIAL_VERSION,
            state_lost=True,
            reset_declared=False,
        )
        return [Send(sender, response)]

    def _dispatch_request(
        self, now: int, sender: str, message: RequestMessage
    ) -> Sequence[Action]:
        coordinator = self.coordinator
        if coordinator is None:
            known_coordinator = self.client.locator.coordinator
            leader = known_coordinator if known_coordinator != self.name else ""
            return [Send(sender, RedirectToLeader(leader, self.client.locator.term))]
        if isinstance(message, ChangeRequest):
            return coordinator.on_change_request(now, sender, message)
        if isinstance(message, ChangeFinished):
            return coordinator.on_change_finished(now, sender, message)
        if isinstance(message, OperatorCommand):
            return coordinator.on_operator_command(now, sender, message)
        return coordinator.on_revocation_ack(now, sender, message)

    # ---- actions --------------------------------------------------------------------------------------

    def _run_coordinator(self, now: int, actions: Iterable[Action]) -> list[Action]:
        """Runs the coordinator and flushes its commands until neither yields any more actions.

        Returns:
            The actions for the host, including those of `actions` that are not messages to this node.
        """
        outgoing = self._deliver_to_self(now, actions)
        if self.elector is None or self.coordinator is None:
            return outgoing
        for _ in range(MAX_SELF_DELIVERY_ROUNDS):
            further_actions = [*self.coordinator.tick(now), *self.elector.flush(now)]
            if not further_actions:
                break
            outgoing += self._deliver_to_self(now, further_actions)
        return outgoing

    def _deliver_to_self(self, now: int, actions: Iterable[Action]) -> list[Action]:
        """Handles this node's messages to itself at once; returns all other actions."""
        outgoing: list[Action] = []
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            if isinstance(action, Save) or action.to != self.name:
                outgoing.append(action)
            else:
                pending.extend(self._dispatch(now, self.name, action.message))
        return outgoing
