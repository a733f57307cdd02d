"""Fault injection rules for datagrams between named members, as `[[datagram]]` tables of scripts define them.

Rules lose, duplicate and reorder a fraction of the datagrams, delay them, cut one direction, or partition
groups of members from each other. Each rule is active from `at_s` on, for `for_s` seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from fnmatch import fnmatchcase
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from loadbalancer.fault.rules import MAX_RULES, ScriptTable
from loadbalancer.fault.script import (
    KindKeys,
    ScriptValueError,
    check_keys,
    check_required_keys,
    kind_keys,
    validation_error,
)

NamePatterns = list[str]
Rate = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[float, Meta(ge=0, le=60_000)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
WILDCARDS = frozenset("*?[")  # a name with one of these characters is a pattern
NO_GROUP = -1  # group of the members that a partition does not name


class DatagramFaultKind(StrEnum):
    """What happens to datagrams; the values are used in scripts and in the log."""

    LOSS = "loss"
    DELAY = "delay"
    DUPLICATE = "duplicate"
    REORDER = "reorder"
    CUT = "cut"
    PARTITION = "partition"


# Keys of each kind of rule, beside the common ones.
DATAGRAM_KINDS: dict[str, KindKeys] = {
    DatagramFaultKind.LOSS: kind_keys({"rate"}, {"from", "to"}),
    DatagramFaultKind.DELAY: kind_keys({"ms"}, {"from", "to", "jitter_ms"}),
    DatagramFaultKind.DUPLICATE: kind_keys({"rate"}, {"from", "to", "ms"}),
    DatagramFaultKind.REORDER: kind_keys({"rate", "ms"}, {"from", "to"}),
    DatagramFaultKind.CUT: kind_keys((), {"from", "to", "both"}),
    DatagramFaultKind.PARTITION: kind_keys({"groups"}),
}
# Keys that rules of every kind may have.
COMMON_KEYS = ("kind", "at_s", "for_s", "name")


class DatagramRule(
    ScriptTable,
    frozen=True,
    rename={
        "source": "from",
        "target": "to",
        "delay_ms": "ms",
        "both_directions": "both",
        "start_s": "at_s",
        "duration_s": "for_s",
    },
):
    """A fault that affects datagrams from `source` to `target`. Member names are patterns; `*` matches all.

    Attributes:
        kind: What happens to the datagrams.
        source: Name patterns of the senders.
        target: Name patterns of the receivers.
        groups: Groups of a partition, as lists of name patterns; members in no group form one more group.
        rate: Fraction of the datagrams that is affected, from 0 to 1.
        delay_ms: Delay in milliseconds.
        jitter_ms: Upper bound in milliseconds of a random delay that is drawn for each datagram and added.
        both_directions: Whether a cut also affects datagrams from `target` to `source`.
        start_s: When the rule becomes active, in seconds since the start.
        duration_s: For how many seconds it is active; None for until the end.
        name: Name of the rule in the log.
    """

    kind: DatagramFaultKind
    source: NamePatterns = msgspec.field(default_factory=lambda: ["*"])
    target: NamePatterns = msgspec.field(default_factory=lambda: ["*"])
    groups: list[NamePatterns] = msgspec.field(default_factory=list)
    rate: Rate = 1.0
    delay_ms: Milliseconds = 0.0
    jitter_ms: Milliseconds = 0.0
    both_directions: bool = False
    start_s: Seconds = 0.0
    duration_s: Seconds | None = None
    name: str = ""

    def is_active(self, elapsed_s: float) -> bool:
        """Returns whether the rule is active `elapsed_s` seconds after the start."""
        if elapsed_s < self.start_s:
            return False
        return self.duration_s is None or elapsed_s < self.start_s + self.duration_s

    def affects(self, source: str, target: str) -> bool:
        """Returns whether the rule may affect datagrams from member `source` to member `target`."""
        if self.kind == DatagramFaultKind.PARTITION:
            return self.group_of(source) != self.group_of(target)
        if matches_any(source, self.source) and matches_any(target, self.target):
            return True
        return (
            self.both_directions
            and matches_any(target, self.source)
            and matches_any(source, self.target)
        )

    def group_of(self, name: str) -> int:
        """Returns the index of a member's group in a partition; `NO_GROUP` if it is in none."""
        return next(
            (
                index
                for index, patterns in enumerate(self.groups)
                if matches_any(name, patterns)
            ),
            NO_GROUP,
        )


def matches_any(name: str, patterns: Sequence[str]) -> bool:
    """Returns whether a name matches one of the patterns."""
    return name in patterns or any(
        fnmatchcase(name, pattern) for pattern in patterns if WILDCARDS & set(pattern)
    )


def parse_datagram_rules(tables: Any, where: str) -> tuple[DatagramRule, ...]:
    """Parses the `[[datagram]]` tables of a script.

    Args:
        tables: The decoded tables.
        where: File name of the script, for errors.

    Raises:
        ScriptError: A table is invalid; the error names the first key that is wrong.
    """
    if not isinstance(tables, list) or len(tables) > MAX_RULES:
        raise ScriptValueError(
            f"must be a list of at most {MAX_RULES} tables ([[datagram]])",
            f"{where}: datagram",
        )
    return tuple(
        _parse_rule(table, f"datagram[{index}]", where)
        for index, table in enumerate(tables)
    )


def _parse_rule(table: Any, path: str, where: str) -> DatagramRule:
    """Parses one table; `path` is its key path in the script."""
    place = f"{where}: {path}"
    kind = table.get("kind") if isinstance(table, dict) else None
    if kind not in DATAGRAM_KINDS:
        kinds = ", ".join(DatagramFaultKind)
        raise ScriptValueError(
            f"{kind!r} is not a kind of datagram rule; known are {kinds}",
            f"{place}.kind",
        )
    keys = DATAGRAM_KINDS[kind]
    known = (*COMMON_KEYS, *sorted(keys.required | keys.optional))
    check_keys(table, known, where, path + ".")
    check_required_keys(table, kind, keys.required, place)
    try:
        rule = msgspec.convert(table, DatagramRule)
    except msgspec.ValidationError as error:
        raise validation_error(error, where, f"{path}.") from None
    if rule.kind == DatagramFaultKind.PARTITION and not rule.groups:
        raise ScriptValueError(
            "a partition needs at least one list of names", f"{place}.groups"
        )
    return rule
