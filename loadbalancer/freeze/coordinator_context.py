"""What the coordinator's components share: elector, replicated state, rules, counters and events."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from loadbalancer.freeze.actions import FreezeEvent, Send
from loadbalancer.freeze.elector import Elector
from loadbalancer.freeze.messages import RedirectToLeader, StateVersion
from loadbalancer.freeze.rules import CoordinatorRules
from loadbalancer.freeze.scope import format_scope
from loadbalancer.freeze.state import FreezeState, Grant, StateCommand, encode_command


@dataclass
class RequestCounters:
    """Counters of answers to requests since the start; published under the attribute names.

    Attributes:
        asked: Requests received.
        granted: Grants sent for the first time.
        refused: Requests deferred because of an incident or a conflicting change.
        busy: Requests deferred because too many were made at once.
        halted: Grants whose revocation was proposed.
    """

    asked: int = 0
    granted: int = 0
    refused: int = 0
    busy: int = 0
    halted: int = 0


class CoordinatorContext:
    """State and helpers that the components of one coordinator share.

    Attributes:
        regions: Region of each zone.
        events: Events that the host has not collected yet.
    """

    def __init__(
        self,
        elector: Elector,
        state: FreezeState,
        rules: CoordinatorRules,
        regions: Mapping[str, str],
    ) -> None:
        self.elector, self.state = elector, state
        self.rules, self.regions = rules, regions
        self.counters = RequestCounters()
        self.events: list[FreezeEvent] = []

    @property
    def committed(self) -> StateVersion:
        """The newest version that a majority is known to have stored."""
        return self.elector.committed_version

    def propose(self, command: StateCommand) -> StateVersion | None:
        """Proposes a command; returns its version, or None if it is too large or this node does not lead."""
        return self.elector.propose(self.elector.now, encode_command(command))

    def log_event(self, event_name: str, reason: str = "", **fields: Any) -> None:
        """Queues an event for the log."""
        self.events.append(FreezeEvent(event_name, self.elector.term, reason, fields))

    def log_grant(self, event_name: str, grant: Grant, reason: str = "") -> None:
        """Queues an event about a grant."""
        self.log_event(
            event_name,
            reason,
            id=grant.id,
            change=grant.kind,
            scope=format_scope(grant.scope),
            to=grant.node,
            token=grant.token,
        )

    def redirect(self, node: str) -> Send:
        """Returns a message that redirects a node to the leader.

        The name in it is empty if no other node is known to lead.
        """
        leader = self.elector.leader
        known_leader = "" if leader == self.elector.name else leader
        return Send(node, RedirectToLeader(known_leader, self.elector.term))
