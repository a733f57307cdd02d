"""Actions that the state machines request from their host: save a record, send a message, log an event."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from loadbalancer.freeze.messages import FreezeMessage


@dataclass(frozen=True, slots=True)
class Save:
    """Store `data` as the elector's record, then call `stored(number)`; supersedes all earlier saves."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the node `to` once the save `after_save` is stored; 0 means at once."""

    to: str
    message: FreezeMessage
    after_save: int = 0


Action = Save | Send


@dataclass(frozen=True, slots=True)
class FreezeEvent:
    """An event for the log: its name, the elector's term, the reason and further fields."""

    name: str
    term: int
    reason: str = ""
    fields: dict[str, Any] = field(default_factory=dict)
