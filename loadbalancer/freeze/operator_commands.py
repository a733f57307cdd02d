"""Sends operators' commands to the coordinator and repeats them until a reply or a timeout."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.client_state import RequestState
from loadbalancer.freeze.locator import CoordinatorLocator
from loadbalancer.freeze.messages import OperatorCommand, OperatorCommandReply
from loadbalancer.freeze.outcomes import Outcomes

MAX_PENDING_COMMANDS = 256


@dataclass(slots=True)
class PendingCommand:
    """A command without a reply. Times are the node's monotonic microseconds.

    Attributes:
        message: The command.
        give_up_at: When it is reported as rejected if there is no reply.
        due_at: When it is next sent.
        attempts: Number of messages sent.
    """

    message: OperatorCommand
    give_up_at: int
    due_at: int
    attempts: int = 0


class OperatorCommands:
    """The pending operators' commands of one node; their outcome is ALLOWED or REJECTED.

    Attributes:
        locator: Selects the node to send a command to.
        outcomes: Where outcomes are reported.
        retry_interval_us: Time between two attempts in microseconds.
        pending: Commands without a reply, by id.
    """

    def __init__(
        self, locator: CoordinatorLocator, outcomes: Outcomes, retry_interval_us: int
    ) -> None:
        self.locator, self.outcomes = locator, outcomes
        self.retry_interval_us = retry_interval_us
        self.pending: dict[str, PendingCommand] = {}

    def add(self, now: int, command: OperatorCommand, timeout_us: int) -> bool:
        """Adds a command, to be sent at the next `tick`.

        Args:
            now: Current time in monotonic microseconds.
            command: The command.
            timeout_us: Time in microseconds to wait for a reply.

        Returns:
            False if the command is already known, or is rejected because too many are pending.
        """
        if command.id in self.outcomes.results or command.id in self.pending:
            return False
        if len(self.pending) >= MAX_PENDING_COMMANDS:
            reason = "this node has too many pending commands"
            self.outcomes.rejected(command.id, reason)
            return False
        self.pending[command.id] = PendingCommand(command, now + timeout_us, now)
        return True

    def tick(self, now: int) -> list[Send]:
        """Returns the commands to send now, and rejects those whose timeout has passed."""
        sends: list[Send] = []
        for command_id, command in list(self.pending.items()):
            if now >= command.give_up_at:
                del self.pending[command_id]
                reason = "no coordinator has answered; see docs/freeze.md"
                self.outcomes.rejected(command_id, reason)
            elif now >= command.due_at:
                command.attempts += 1
                command.due_at = now + self.retry_interval_us
                target = self.locator.target(command.attempts)
                sends.append(Send(target, command.message))
        return sends

    def deadlines(self) -> list[int]:
        """Returns when each pending command is next sent, in monotonic microseconds."""
        return [command.due_at for command in self.pending.values()]

    def on_reply(self, reply: OperatorCommandReply) -> None:
        """Reports the outcome of a pending command; a reply to any other command is ignored."""
        if self.pending.pop(reply.id, None) is not None:
            state = RequestState.ALLOWED if reply.accepted else RequestState.REJECTED
            self.outcomes.command_answered(
                reply.id, state, reply.text, self.locator.term
            )
