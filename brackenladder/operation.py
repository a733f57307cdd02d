"""The operators' file: what an installation wants beyond the platform's settings. All of it may be absent.

`deploy/operator.toml` shows every key with its default. A file is taken whole or not at all; keys that are
not known are refused, with the path of what is wrong. Imported only where a file is named.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from difflib import get_close_matches
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from brackenladder.storms import StormRules
from brackenladder.zones import ZoneRules

Percent = Annotated[float, Meta(ge=0, le=100)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class OperationError(Exception):
    """A file that cannot be used; the text says where it is wrong and what to do, in one line."""


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One table of the file."""


class Zones(Table, frozen=True):
    """`[zones]`: where calls go when the own zone cannot bear them. Its presence switches it on."""

    near: dict[str, list[str]] = msgspec.field(default_factory=dict)
    spill_limit_percent: Percent = 25.0
    panic_below_percent: Percent = 50.0
    panic_until_percent: Percent = 70.0
    return_s: Seconds = 10.0
    calm_s: Seconds = 120.0
    server_requests_per_s: Annotated[float, Meta(ge=0)] = 0.0

    def rules(self, here: str, number: Callable[[str], int]) -> ZoneRules:
        """The rules for a node of zone `here`, with the zones' names as numbers."""
        return ZoneRules(
            near=frozenset(number(name) for name in self.near.get(here, ())),
            spill_limit=self.spill_limit_percent / 100,
            panic_below=self.panic_below_percent / 100,
            panic_until=self.panic_until_percent / 100,
            return_time=int(self.return_s * 1e6),
            calm_time=int(self.calm_s * 1e6),
            server_rate=self.server_requests_per_s,
        )


class Storms(Table, frozen=True):
    """`[storms]`: who is let in while clients return at once. Its presence switches it on."""

    repeat_share_percent: Percent = 20.0
    by_worth: bool = True

    def rules(self) -> StormRules:
        return StormRules(repeat_share=self.repeat_share_percent / 100, by_worth=self.by_worth)


class Operation(Table, frozen=True):
    """The whole file."""

    zones: Zones | None = None
    storms: Storms | None = None


NOTHING = Operation()


def load(path: str) -> Operation:
    """Reads a file; an OperationError names the file and the key."""
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except OSError as e:
        raise OperationError(f"{path}: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise OperationError(f"{path}: not TOML: {e}") from None
    return build(table, path)


def build(table: dict[str, Any], where: str) -> Operation:
    """An Operation from decoded TOML; an OperationError otherwise."""
    unknown(table, Operation, where, "")
    if isinstance(table.get("zones"), dict):
        unknown(table["zones"], Zones, where, "zones.")
    if isinstance(table.get("storms"), dict):
        unknown(table["storms"], Storms, where, "storms.")
    try:
        found = msgspec.convert(table, Operation)
    except msgspec.ValidationError as e:
        raise OperationError(f"{where}: {plain(str(e))}") from None
    zones = found.zones
    if zones is not None:
        if zones.panic_until_percent < zones.panic_below_percent:
            raise OperationError(
                f"{where}: zones.panic_until_percent: {zones.panic_until_percent:g} is below"
                f" panic_below_percent ({zones.panic_below_percent:g}); panic ends no lower than it begins"
            )
        for zone, near in zones.near.items():
            if zone in near:
                raise OperationError(
                    f"{where}: zones.near.{zone}: names itself; leave it out, it comes first"
                )
            if len(set(near)) < len(near):
                raise OperationError(f"{where}: zones.near.{zone}: names a zone twice")
    return found


def unknown(table: dict[str, Any], form: type[Table], where: str, path: str) -> None:
    """An OperationError for the first key that the form lacks, with the nearest that it has."""
    for key in table:
        if key not in form.__struct_fields__:
            near = get_close_matches(key, form.__struct_fields__, 1)
            hint = f"did you mean {near[0]}?" if near else f"known are {', '.join(form.__struct_fields__)}"
            raise OperationError(f"{where}: {path}{key}: unknown key; {hint}")


def plain(text: str) -> str:
    """msgspec's words, with the path first: `zones.return_s: expected ...`."""
    what, mark, path = text.rpartition(" - at `")
    return f"{path.rstrip('`').removeprefix('$.')}: {what[0].lower()}{what[1:]}" if mark else text
