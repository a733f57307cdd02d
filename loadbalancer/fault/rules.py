"""Fault injection rules for connections, as scripts define them (`docs/fault-tool.md` shows each key).

A rule names the connections that it affects, the direction, and the byte from which it applies. Connections
are numbered from 1 in the order in which they are accepted, and bytes from 0 in each direction. Both are the
same in every run with the same clients, independent of timing.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_RULES = 1000  # limit for each kind of table in a script
MAX_OFFSET = 1 << 40  # bytes
FOREVER_S = 0.0  # duration of a freeze that lasts until the connection ends or a command resumes it
MS_PER_S = 1000

Offset = Annotated[int, Meta(ge=0, le=MAX_OFFSET)]
Number = Annotated[int, Meta(ge=1)]
# Ranges are lists of two numbers: msgspec 0.23 corrupts memory on a union of a bounded number with a tuple of
# bounded numbers.
OffsetRange = Annotated[list[Offset], Meta(min_length=2, max_length=2)]
SizeRange = Annotated[list[Number], Meta(min_length=2, max_length=2)]


class FaultKind(StrEnum):
    """What happens to a connection; the values are used in scripts and in the log."""

    REFUSE = "refuse"
    DELAY = "delay"
    PACE = "pace"
    SPLIT = "split"
    CORRUPT = "garble"
    FREEZE = "freeze"
    CLOSE = "cut"
    RESET = "reset"
    HALF_CLOSE = "half_close"


class Direction(StrEnum):
    """A direction of a connection; the values are used in scripts and in the log."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


DIRECTIONS = tuple(Direction)


class ScriptTable(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of the tables of a script; unknown keys are rejected."""


class ConnectionFilter(ScriptTable, frozen=True):
    """Selects connections of a rule: every `every`-th one from `first` to `last`, or a share of these.

    Attributes:
        first: Number of the first connection.
        last: Number of the last connection; None for no limit.
        every: Difference between the numbers of successive connections.
        share: Fraction of these connections that is affected, above 0 and up to 1, chosen at random.
    """

    first: Number = 1
    last: Number | None = None
    every: Number = 1
    share: Annotated[float, Meta(gt=0, le=1)] = 1.0

    def matches(self, connection: int, draw: float) -> bool:
        """Returns whether a connection is selected.

        Args:
            connection: Number of the connection.
            draw: Random number, from 0 to 1, of this connection for the rule.
        """
        if connection < self.first:
            return False
        if self.last is not None and connection > self.last:
            return False
        return (connection - self.first) % self.every == 0 and draw < self.share


class FaultRule(
    ScriptTable,
    frozen=True,
    rename={
        "offset": "at",
        "duration_ms": "ms",
        "occurrence": "message",
        "both_directions": "both",
    },
):
    """A fault on connections. Offsets and lengths are bytes of one direction of one connection.

    Attributes:
        kind: What happens.
        direction: The direction that is affected.
        offset: Byte from which the fault happens; for a range, the offset is drawn from it.
        every_bytes: Number of bytes after which the fault happens again; None if it does not.
        times: How many times the fault happens in all.
        connections: The connections that are affected.
        name: Name of the rule in the log.
        duration_ms: Duration of a delay, of a freeze, or of the pause between two pieces of a split, in
            milliseconds.
        bytes_per_s: Rate of a pace.
        length: Number of bytes that are paced, split or corrupted.
        pieces: Number of bytes in each piece of a split; for a range, each is drawn from it.
        header: Name of the header at the first byte of whose value a corruption starts.
        occurrence: Which occurrence of the header is meant, from 1.
        mask: Bits that a corruption flips in each byte; drawn for each byte if absent.
        both_directions: Whether a freeze also stops the other direction.
    """

    kind: FaultKind
    direction: Direction = Direction.TO_CLIENT
    offset: Offset | OffsetRange = 0
    every_bytes: Annotated[int, Meta(ge=1)] | None = None
    times: Number = 1
    connections: ConnectionFilter = ConnectionFilter()
    name: str = ""
    duration_ms: Annotated[float, Meta(ge=0, le=3_600_000)] | None = None
    bytes_per_s: Annotated[float, Meta(gt=0)] | None = None
    length: Annotated[int, Meta(ge=1)] | None = None
    pieces: Number | SizeRange | None = None
    header: Annotated[str, Meta(min_length=1, max_length=200)] | None = None
    occurrence: Number = 1
    mask: Annotated[int, Meta(ge=1, le=255)] | None = None
    both_directions: bool = False

    def duration_s(self) -> float:
        """Returns the duration in seconds; 0 if the rule has none."""
        return (self.duration_ms or 0.0) / MS_PER_S

    def freeze_s(self) -> float:
        """Returns the duration of a freeze in seconds; `FOREVER_S` if the rule has none."""
        return FOREVER_S if self.duration_ms is None else self.duration_ms / MS_PER_S


class FaultScript(ScriptTable, frozen=True):
    """The rules of a script for connections.

    Attributes:
        seed: Seed of all random numbers.
        rules: The rules, in the order of the script.
    """

    seed: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)] = 1
    rules: Annotated[tuple[FaultRule, ...], Meta(max_length=MAX_RULES)] = msgspec.field(
        default=(), name="rule"
    )
