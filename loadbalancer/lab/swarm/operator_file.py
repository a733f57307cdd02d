"""The operators' file of a swarm's nodes."""

from __future__ import annotations

import json
from typing import Any


def operator_file(tables: dict[str, dict[str, Any]]) -> str:
    """The file's text."""
    return "".join(_table(name, table) for name, table in tables.items())


def _table(name: str, table: dict[str, Any]) -> str:
    lines = [f"[{name}]", *(f"{key} = {_value(v)}" for key, v in table.items())]
    return "\n".join(lines) + "\n"


def _value(value: Any) -> str:
    """A value as TOML has it: a table in one line, anything else as JSON writes it."""
    if not isinstance(value, dict):
        return json.dumps(value)
    pairs = (f"{json.dumps(k)} = {json.dumps(v)}" for k, v in value.items())
    return "{" + ", ".join(pairs) + "}"
