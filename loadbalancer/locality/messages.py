"""The record by which a node reports its evidence on each zone, and the zone states that it holds."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

KIND = "zones"  # the kind of the record
FULL_LEVEL = 8  # a level is the number of eighths of a zone that are in use
UNOBSERVED = -1  # replaces the lost quarters where a node has too few attempts


class ZoneState(IntEnum):
    """The agreed state of a zone, or of a region."""

    HEALTHY = 0
    DEGRADED = 1
    FAILED = 2
    RETURNING = 3


class ZoneStatus(NamedTuple):
    """An agreed state with its level; encoded as an array of two.

    Attributes:
        state: A `ZoneState`; a plain integer if another node has reported it.
        level: Eighths of the zone that are in use.
    """

    state: int
    level: int


class ZoneReport(msgspec.Struct, array_like=True, frozen=True):
    """A node's evidence on one zone, and the state that it holds for it.

    Attributes:
        lost_quarters: The ratio of the node's attempts there that failed, or of the zone's endpoints that are
            ejected, whichever is larger, in quarters; `UNOBSERVED` if the node has too few attempts and no
            endpoint is ejected.
        slow_quarters: The ratio of the node's attempts there that were late or rejected, in quarters.
        epoch: Changes of the agreed state, as the node counts them.
        state: The state that the node holds.
        level: The level that the node holds, in eighths.
        proposal: The status that the node proposes; None if it proposes no change.
    """

    lost_quarters: int = UNOBSERVED
    slow_quarters: int = 0
    epoch: int = 0
    state: int = ZoneState.HEALTHY.value
    level: int = FULL_LEVEL
    proposal: ZoneStatus | None = None

    @property
    def status(self) -> ZoneStatus:
        """The status that the node holds."""
        return ZoneStatus(self.state, self.level)


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """The content of a node's record.

    Attributes:
        zone: The node's own zone.
        load: Calls a second that the node receives.
        zones: The report on each zone, by the zone's name.
    """

    zone: str = ""
    load: float = 0.0
    zones: dict[str, ZoneReport] = {}


def encode(report: LoadReport) -> bytes:
    """Returns a report as the body of a record."""
    return msgspec.msgpack.encode(report)


def decode(body: bytes) -> LoadReport | None:
    """Returns the report in a record's body; None if it is malformed."""
    try:
        return msgspec.msgpack.decode(body, type=LoadReport)
    except msgspec.DecodeError:
        return None
