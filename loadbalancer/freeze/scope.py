"""Parses and formats scopes as operators write them, and checks whether two scopes overlap."""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.freeze.errors import FreezeScopeError
from loadbalancer.freeze.messages import Scope

# Published key -> field of `Scope`.
SCOPE_FIELDS = {
    "tier": "tier",
    "region": "region",
    "zone": "zone",
    "server": "server",
    "class": "request_class",
}
MAX_VALUE_LENGTH = 64  # characters


def parse_scope(text: str) -> Scope:
    """Parses a scope such as `zone=a,class=look`, or `*` for everything.

    Raises:
        FreezeScopeError: A part is not `key=value` with a known key and a value of 1 to 64 characters.
    """
    fields: dict[str, str] = {}
    for part in text.split(",") if text not in ("", "*") else ():
        key, separator, value = part.strip().partition("=")
        if (
            not separator
            or key not in SCOPE_FIELDS
            or not 0 < len(value) <= MAX_VALUE_LENGTH
        ):
            known = ", ".join(f"{known_key}=..." for known_key in SCOPE_FIELDS)
            raise FreezeScopeError(
                f"{part.strip()!r} is not part of a scope: a scope is * or some of {known}"
            )
        fields[SCOPE_FIELDS[key]] = value
    return Scope(**fields)


def format_scope(scope: Scope) -> str:
    """Formats a scope in the form that `parse_scope` reads."""
    parts = [
        f"{key}={getattr(scope, name)}"
        for key, name in SCOPE_FIELDS.items()
        if getattr(scope, name)
    ]
    return ",".join(parts) or "*"


def scopes_overlap(first: Scope, second: Scope, regions: Mapping[str, str]) -> bool:
    """Returns whether two scopes may have a server in common.

    Args:
        first: One scope.
        second: The other.
        regions: The region of each zone. A zone that is not listed may be in any region.
    """
    for name in ("tier", "zone", "server", "request_class"):
        first_value, second_value = getattr(first, name), getattr(second, name)
        if first_value and second_value and first_value != second_value:
            return False
    first_region = first.region or regions.get(first.zone, "")
    second_region = second.region or regions.get(second.zone, "")
    return not (first_region and second_region and first_region != second_region)
