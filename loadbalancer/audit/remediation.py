"""The data that remediation works on: the node's local state, and the actions for the host."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.audit.status import VersionId


class RemediationKind(Enum):
    """The kinds of actions that the host performs. The values appear in the log."""

    POLL_DISCOVERY = "ask-own"
    REQUEST_FROM_AGENT = "ask-agent"
    REQUEST_FROM_PEER = "ask-peer"
    NOTIFY = "tell"  # notify a member that it is outdated
    QUARANTINE = "go-out"  # request approval, then call `Remediator.quarantine_decided`
    REJOIN = "come-in"


@dataclass(frozen=True)
class Remediation:
    """One action for the host.

    Attributes:
        kind: What to do.
        reason: Why, for operators.
        member: The member to ask or to notify; empty for other kinds.
        agent_index: Index of the agent to ask among the configured agents.
        target: The version that is to be obtained, or that the notified member lacks.
    """

    kind: RemediationKind
    reason: str = ""
    member: str = ""
    agent_index: int = 0
    target: VersionId | None = None


@dataclass
class LocalState:
    """What the host knows of this node.

    Attributes:
        list_version: The version from its own discovery.
        adopted: The version that it has adopted from peers or another agent.
        discovery_answered_at: When its own discovery last answered, in monotonic microseconds.
        hinted: Whether another node has notified it that it is outdated.
    """

    list_version: VersionId | None = None
    adopted: VersionId | None = None
    discovery_answered_at: int = 0
    hinted: bool = False
