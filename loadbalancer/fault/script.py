"""Reads scripts of the fault tool: TOML files that are checked completely before anything runs."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import Any, ClassVar

import msgspec

from loadbalancer.errors import LoadBalancerError
from loadbalancer.fault.rules import (
    ConnectionFilter,
    FaultKind,
    FaultRule,
    FaultScript,
)


class ScriptError(LoadBalancerError):
    """A fault script that cannot be used; no part of it is run."""

    remedy: ClassVar[str] = (
        "correct the script at the place named; `fault --check` only checks the script"
    )


class ScriptUnreadableError(ScriptError):
    """A script that does not exist, or that this user may not read."""

    code: ClassVar[str] = "ScriptUnreadable"
    remedy: ClassVar[str] = (
        "name a script that exists and that you may read; scenarios/ holds some"
    )


class ScriptMalformedError(ScriptError):
    """A script that is not TOML."""

    code: ClassVar[str] = "ScriptMalformed"
    remedy: ClassVar[str] = (
        "fix the script at the line and column named; scripts are TOML files"
    )


class ScriptKeyError(ScriptError):
    """A table of a script has a key that it does not use, or lacks a key that it requires."""

    code: ClassVar[str] = "ScriptKey"
    remedy: ClassVar[str] = (
        "remove that key, or add it: docs/fault-tool.md lists the keys of each kind"
    )


class ScriptValueError(ScriptError):
    """A key of a script has a value of the wrong type or outside its range."""

    code: ClassVar[str] = "ScriptValue"
    remedy: ClassVar[str] = (
        "give that key a value as docs/fault-tool.md or docs/swarm.md describes it"
    )


@dataclass(frozen=True)
class KindKeys:
    """The keys of a rule that are specific to one kind of fault.

    Attributes:
        required: Keys that the kind requires.
        optional: Keys that the kind may have.
    """

    required: frozenset[str] = frozenset()
    optional: frozenset[str] = frozenset()


def kind_keys(required: Iterable[str] = (), optional: Iterable[str] = ()) -> KindKeys:
    """Creates the `KindKeys` of a kind of fault."""
    return KindKeys(frozenset(required), frozenset(optional))


# Keys specific to each kind of fault on connections.
KEYS_BY_KIND: dict[str, KindKeys] = {
    FaultKind.REFUSE: kind_keys(),
    FaultKind.DELAY: kind_keys({"ms"}),
    FaultKind.PACE: kind_keys({"bytes_per_s"}, {"length"}),
    FaultKind.SPLIT: kind_keys({"pieces"}, {"length", "ms"}),
    FaultKind.CORRUPT: kind_keys((), {"length", "header", "message", "mask"}),
    FaultKind.FREEZE: kind_keys((), {"ms", "both"}),
    FaultKind.CLOSE: kind_keys(),
    FaultKind.RESET: kind_keys(),
    FaultKind.HALF_CLOSE: kind_keys(),
}
ALL_KIND_KEYS = frozenset().union(
    *(keys.required | keys.optional for keys in KEYS_BY_KIND.values())
)
# Kinds of faults that can happen only once to a connection, so that `every_bytes` is not allowed.
ONCE_KINDS = (
    FaultKind.REFUSE,
    FaultKind.CLOSE,
    FaultKind.RESET,
    FaultKind.HALF_CLOSE,
)


def load_script(path: Path) -> FaultScript:
    """Reads and checks a script.

    Args:
        path: The script's file.

    Raises:
        ScriptError: The script cannot be used.
    """
    return parse_script(read_tables(path), str(path))


def read_tables(path: Path) -> dict[str, Any]:
    """Reads the tables of a script without checking their contents.

    Args:
        path: The script's file.

    Raises:
        ScriptUnreadableError: The file cannot be read.
        ScriptMalformedError: The file is not TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScriptUnreadableError(error.strerror or str(error), str(path)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScriptMalformedError(f"not TOML: {error}", str(path)) from None


def parse_script(table: dict[str, Any], where: str) -> FaultScript:
    """Creates a script from decoded TOML; its `[[datagram]]` tables are left to `parse_datagram_rules`.

    Args:
        table: The decoded contents of the file.
        where: File name of the script, for errors.

    Raises:
        ScriptError: The script cannot be used.
    """
    check_keys(table, ("seed", "rule", "datagram"), where, "")
    table = {key: value for key, value in table.items() if key != "datagram"}
    rules = table.get("rule", [])
    for index, rule in enumerate(rules if isinstance(rules, list) else ()):
        if isinstance(rule, dict):
            _check_rule_keys(rule, f"rule[{index}]", where)
    try:
        script = msgspec.convert(table, FaultScript)
    except msgspec.ValidationError as error:
        raise validation_error(error, where) from None
    for index, parsed in enumerate(script.rules):
        _check_rule_values(parsed, f"{where}: rule[{index}]")
    return script


def validation_error(
    error: msgspec.ValidationError, where: str, path: str = ""
) -> ScriptValueError:
    """Converts a validation error of msgspec to an error that names the key of the script.

    Args:
        error: The error of msgspec.
        where: File name of the script.
        path: Key path of the table that was converted, with a final dot; empty for the entire script.
    """
    reason, _, key = str(error).partition(" - at ")
    key = key.strip("`").removeprefix("$.") or "script"
    return ScriptValueError(reason, f"{where}: {path}{key}")


def check_keys(
    table: dict[str, Any], known: tuple[str, ...], where: str, path: str
) -> None:
    """Checks that a table has no unknown keys.

    Args:
        table: The table.
        known: All keys that it may have.
        where: File name of the script.
        path: Key path of the table, with a final dot; empty for the entire script.

    Raises:
        ScriptKeyError: The table has an unknown key.
    """
    for key in table:
        if key not in known:
            close_matches = get_close_matches(key, known, 1)
            hint = (
                f"did you mean {close_matches[0]}?"
                if close_matches
                else f"known are {', '.join(known)}"
            )
            raise ScriptKeyError(f"unknown key; {hint}", f"{where}: {path}{key}")


def check_required_keys(
    table: dict[str, Any], kind: str, required: frozenset[str], place: str
) -> None:
    """Checks that a rule has the keys that its kind requires.

    Args:
        table: The rule's table.
        kind: Kind of the rule.
        required: Keys that the kind requires.
        place: File name of the script and key path of the rule.

    Raises:
        ScriptKeyError: A required key is missing.
    """
    for key in sorted(required - table.keys()):
        raise ScriptKeyError(
            f"missing; a rule of kind {kind} needs it", f"{place}.{key}"
        )


def _check_rule_keys(rule: dict[str, Any], path: str, where: str) -> None:
    """Rejects unknown keys and keys that the rule's kind does not use.

    A key without effect would mislead: the rule would do less than its table states.
    """
    check_keys(rule, FaultRule.__struct_encode_fields__, where, path + ".")
    if isinstance(rule.get("connections"), dict):
        known = ConnectionFilter.__struct_encode_fields__
        check_keys(rule["connections"], known, where, path + ".connections.")
    kind = rule.get("kind")
    if kind not in KEYS_BY_KIND:
        close_matches = get_close_matches(str(kind), KEYS_BY_KIND, 1)
        hint = (
            f"did you mean {close_matches[0]}?"
            if close_matches
            else ", ".join(KEYS_BY_KIND)
        )
        raise ScriptValueError(f"{kind!r}; {hint}", f"{where}: {path}.kind")
    keys = KEYS_BY_KIND[kind]
    check_required_keys(rule, kind, keys.required, f"{where}: {path}")
    for key in sorted((rule.keys() & ALL_KIND_KEYS) - keys.required - keys.optional):
        raise ScriptKeyError(
            f"a rule of kind {kind} has no use for it", f"{where}: {path}.{key}"
        )


def _check_rule_values(rule: FaultRule, place: str) -> None:
    """Checks what the types of the keys cannot express."""
    if isinstance(rule.offset, list) and rule.offset[0] > rule.offset[1]:
        first, last = rule.offset
        reason = f"from {first} to {last}: the first must not exceed the second"
        raise ScriptValueError(reason, f"{place}.at")
    if isinstance(rule.pieces, list) and rule.pieces[0] > rule.pieces[1]:
        reason = "the first must not exceed the second"
        raise ScriptValueError(reason, f"{place}.pieces")
    _check_repetition(rule, place)
    if rule.kind == FaultKind.REFUSE and rule.offset != 0:
        raise ScriptValueError(
            "a refusal happens before the first byte; its offset must be 0",
            f"{place}.at",
        )
    if rule.occurrence > 1 and rule.header is None:
        reason = "selects an occurrence of a header; the key `header` is missing"
        raise ScriptKeyError(reason, f"{place}.message")
    connections = rule.connections
    if connections.last is not None and connections.last < connections.first:
        raise ScriptValueError(
            "is below first; the last connection must not be before the first",
            f"{place}.connections.last",
        )


def _check_repetition(rule: FaultRule, place: str) -> None:
    """Checks that repetition has a distance and is allowed for the rule's kind."""
    if rule.times > 1 and rule.every_bytes is None:
        reason = (
            "every_bytes says after how many bytes a fault is repeated; it is missing"
        )
        raise ScriptKeyError(reason, f"{place}.times")
    if rule.every_bytes is not None and rule.kind in ONCE_KINDS:
        reason = f"a {rule.kind} happens only once to a connection"
        raise ScriptKeyError(reason, f"{place}.every_bytes")
