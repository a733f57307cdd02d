"""Kinds of change that need a grant, and the answer to a request for one.

This module has data types only. Features other than the change freeze itself import them from
`node/features/feature.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.freeze.messages import StateVersion


class Change(Enum):
    """Kinds of change that need a grant of the coordinator.

    Actions that are not listed never wait for a grant: drains, departures of nodes, ejections, failover away
    from a failed zone, rejections, and the shutdown on SIGTERM.
    """

    SETTINGS = "settings"  # reload of the platform settings
    OPERATION = "operation"  # reload of the operator configuration
    UPGRADE = "upgrade"  # upgrade of servers or nodes
    PLACEMENT = "placement"  # change of the servers or shards that a node uses
    ZONE_RETURN = "zone-return"  # return of traffic to a zone that had failed
    BRING_UP = "bring-up"  # catch-up of a node that is behind the others
    SHUT_OUT = "shut-out"  # quarantine of a node


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request for a change.

    Attributes:
        allowed: Whether the change may start now.
        reason: Why it may not start, what it waits for, and what an operator can do.
        retry_after_s: Seconds after which a new request may succeed.
        fencing_token: Term and log index of the grant; None for a change without a grant.
    """

    allowed: bool
    reason: str = ""
    retry_after_s: float = 0.0
    fencing_token: StateVersion | None = None


ALLOWED = Answer(allowed=True)
