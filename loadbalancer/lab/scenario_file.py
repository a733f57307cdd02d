"""Reads scenario files: TOML, `extends`, changes of the command line, and the checks."""

from __future__ import annotations

import tomllib
from copy import deepcopy
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.lab.scenario import Scenario
from loadbalancer.lab.scenario_check import check
from loadbalancer.lab.scenario_errors import (
    ScenarioChangeError,
    ScenarioMalformedError,
    ScenarioUnreadableError,
    ScenarioValueError,
)


def parse(
    text: str, where: str = "scenario", changes: tuple[str, ...] = ()
) -> Scenario:
    """A Scenario from TOML text with `KEY.PATH=VALUE` changes laid over it; a ScenarioError otherwise."""
    return build(decode(text, where), where, changes)


def load(path: Path, changes: tuple[str, ...] = ()) -> Scenario:
    """Reads and checks a scenario file. A ScenarioError names the file and the key path."""
    return build(read_table(path), str(path), changes)


def decode(text: str, where: str) -> dict[str, Any]:
    """Plain tables of TOML text; a ScenarioMalformedError otherwise."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        raise ScenarioMalformedError(f"not TOML: {e}", where) from None


def read_table(path: Path, above: tuple[Path, ...] = ()) -> dict[str, Any]:
    """A scenario file as plain tables. `extends` names a file beside it whose keys hold unless given here.

    Tables are merged key by key, arrays are replaced whole.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as e:
        reason = (e.strerror or str(e)) if isinstance(e, OSError) else "not UTF-8 text"
        raise ScenarioUnreadableError(reason, str(path)) from None
    table = decode(text, str(path))
    base = table.pop("extends", None)
    if base is None:
        return table
    if not isinstance(base, str):
        raise ScenarioValueError(
            "write the name of a file beside this one", f"{path}: extends"
        )
    other = path.parent / base
    if other.resolve() in above or other.resolve() == path.resolve():
        raise ScenarioValueError(f"{base} leads back to this file", f"{path}: extends")
    return merged(read_table(other, (*above, path.resolve())), table)


def merged(under: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """The one table laid over the other."""
    out = dict(under)
    for key, value in over.items():
        if isinstance(value, dict) and isinstance(out.get(key), dict):
            out[key] = merged(out[key], value)
        else:
            out[key] = value
    return out


def build(table: dict[str, Any], where: str, changes: tuple[str, ...] = ()) -> Scenario:
    """A Scenario from plain tables with changes laid over them; a ScenarioError that names the key path."""
    table = deepcopy(table)
    for change in changes:
        lay_over(table, change)
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as e:
        text = str(e).replace("Object contains unknown field", "unknown key")
        reason, _, path = text.partition(" - at ")
        path = path.strip("`").removeprefix("$").lstrip(".") or "the file's top"
        raise ScenarioValueError(reason, f"{where}: {path}") from None
    check(scenario, where)
    return scenario


def lay_over(table: dict[str, Any], change: str) -> None:
    """Sets one key of a decoded file: `tier.0.servers=40`. The value is TOML; a bare word is text.

    Raises:
        ScenarioChangeError: The path does not lead to a key.
    """
    path, equals, text = change.partition("=")
    steps = path.strip().split(".")
    where = f"change {change!r}"
    if not equals or not all(steps):
        raise ScenarioChangeError(
            "write it as KEY.PATH=VALUE, such as load.rps=500", where
        )
    parent: Any = table
    for depth, step in enumerate(steps[:-1]):
        key = _key_in(parent, step, ".".join(steps[:depth]), where)
        if isinstance(parent, dict):
            parent.setdefault(key, {})
        parent = parent[key]
    last_key = _key_in(parent, steps[-1], ".".join(steps[:-1]), where)
    parent[last_key] = _parse_value(text.strip())


def _key_in(parent: Any, step: str, parent_path: str, where: str) -> Any:
    """The key, or the index in a list, that one step of a path means."""
    if isinstance(parent, dict):
        return step
    if not isinstance(parent, list):
        raise ScenarioChangeError(f"{parent_path} is a value, not a table", where)
    if not step.isdigit() or int(step) >= len(parent):
        raise ScenarioChangeError(
            f"{parent_path} has {len(parent)} entries, from 0 on", where
        )
    return int(step)


def _parse_value(text: str) -> Any:
    """A value as TOML has it, else the text itself."""
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text
