"""The steps that a stream injector returns for the bytes of one direction of a connection."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.fault.rules import Direction, FaultKind

COMMAND_RULE = -1  # index of the rule of a fault that a command caused
TIME_DIGITS = 6  # decimal places of the seconds in the log


@dataclass(frozen=True)
class SendBytes:
    """Forwards bytes in one write.

    Attributes:
        data: The bytes.
    """

    data: bytes


@dataclass(frozen=True)
class Pause:
    """Forwards nothing in this direction for some time.

    Attributes:
        seconds: Duration of the pause.
    """

    seconds: float


@dataclass(frozen=True)
class Freeze:
    """Stops reading and writing for some time.

    Attributes:
        seconds: Duration of the freeze; `FOREVER_S` for until a command resumes the connection.
        both_directions: Whether the other direction of the connection is frozen too.
    """

    seconds: float
    both_directions: bool


@dataclass(frozen=True)
class EndConnection:
    """Ends the connection.

    Attributes:
        kind: `CLOSE` (both directions, in order), `RESET`, or `HALF_CLOSE` (this direction only).
    """

    kind: FaultKind


@dataclass(frozen=True)
class InjectedFault:
    """A fault that is injected; it is written as one line of the log.

    Attributes:
        connection: Number of the connection.
        direction: The direction that is affected.
        offset: Offset of the first byte that is affected.
        kind: What happens.
        rule: Index of the rule in the script; `COMMAND_RULE` for the rule of a command.
        detail: Further keys and values of the line.
    """

    connection: int
    direction: Direction
    offset: int
    kind: FaultKind
    rule: int
    detail: dict[str, Any] = field(default_factory=dict)

    def log_line(self, elapsed_s: float | None) -> str:
        """Returns the fault as one JSON line, by its published keys.

        Args:
            elapsed_s: Seconds since the start of the tool; None for a line in which nothing depends on time.
        """
        table: dict[str, Any] = {
            "connection": self.connection,
            "direction": self.direction.value,
            "offset": self.offset,
            "fault": self.kind.value,
            "rule": self.rule,
            **self.detail,
        }
        if elapsed_s is not None:
            table["t"] = round(elapsed_s, TIME_DIGITS)
        return json.dumps(table)


Step = SendBytes | Pause | Freeze | EndConnection | InjectedFault


def merge_writes(steps: list[Step]) -> list[Step]:
    """Merges successive writes into one."""
    merged: list[Step] = []
    for step in steps:
        last = merged[-1] if merged else None
        if isinstance(step, SendBytes) and isinstance(last, SendBytes):
            merged[-1] = SendBytes(last.data + step.data)
        else:
            merged.append(step)
    return merged
