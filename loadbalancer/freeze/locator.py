"""Tracks which node is the coordinator, and selects the target of the next message."""

from __future__ import annotations

from loadbalancer.freeze.messages import RedirectToLeader

ELECTOR_EVERY_ATTEMPTS = 3  # each third attempt goes to an elector


class CoordinatorLocator:
    """The coordinator as a node last knew it.

    Attributes:
        electors: Names of the electors.
        coordinator: Name of the coordinator; empty if unknown.
        term: The highest term in a message of a coordinator.
        last_contact_at: When a coordinator's message last arrived, in monotonic microseconds; 0 if none has.
        stale_messages: Number of messages dropped because their coordinator's term was over.
        elector_turn: Number of messages addressed to electors in turn.
    """

    def __init__(self, electors: tuple[str, ...]) -> None:
        self.electors = electors
        self.coordinator = ""
        self.term = 0
        self.last_contact_at = 0
        self.stale_messages = 0
        self.elector_turn = 0

    def is_stale(self, term: int) -> bool:
        """Returns whether a message is from a coordinator whose term is over, and counts it if so."""
        if term >= self.term:
            return False
        self.stale_messages += 1
        return True

    def record_contact(self, now: int, coordinator: str, term: int) -> None:
        """Records a message from the coordinator of the current or a later term."""
        self.term, self.coordinator, self.last_contact_at = term, coordinator, now

    def redirect(self, sender: str, redirect: RedirectToLeader) -> bool:
        """Applies a node's redirect; returns whether it names another coordinator than the known one."""
        if redirect.term < self.term:
            return False
        if redirect.leader in ("", sender, self.coordinator):
            return False
        self.coordinator = redirect.leader
        return True

    def target(self, attempt: int) -> str:
        """Selects the node to send an attempt to.

        That is the coordinator if it is known. Each third attempt, and every attempt while the coordinator is
        unknown, goes to the electors in turn.

        Args:
            attempt: Number of the attempt, from 1; 0 for a message that is sent for the first time.
        """
        if self.coordinator and (attempt == 0 or attempt % ELECTOR_EVERY_ATTEMPTS):
            return self.coordinator
        self.elector_turn += 1
        return self.electors[self.elector_turn % len(self.electors)]
