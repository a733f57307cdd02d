"""Decodes and validates the endpoint list in discovery's JSON format."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from json.decoder import WHITESPACE  # type: ignore[attr-defined]  # the whitespace that json skips
from typing import Any, ClassVar

import msgspec

from loadbalancer.config.platform_settings import (
    Form,
    Number,
    locate_error,
    value_or_default,
)
from loadbalancer.errors import LoadBalancerError
from loadbalancer.policy.api import EndpointState, ListUpdateKind

# Integers of any size stay exact: a rounded version would request the changes since one that never existed.
Version = int | Number
JSON_DECODER = json.JSONDecoder()
STATE_BY_NAME = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.GONE,
}


class ListError(LoadBalancerError, ValueError):
    """An endpoint list has an invalid entry or header; the list in use stays unchanged."""

    remedy: ClassVar[str] = (
        "fix that entry at the source of discovery's data; the list in use stays in force until then"
    )


class ListMalformed(ListError):
    """An answer of discovery is not an endpoint list."""

    remedy: ClassVar[str] = (
        "check that a discovery agent listens at the configured address, and what it answers"
    )


@dataclass(frozen=True, slots=True)
class Line:
    """One entry of the endpoint list.

    Attributes:
        id: The server's name.
        host: Host of its address.
        port: Port of its address.
        zone: Name of its zone; may be empty.
        kind: Name of its kind of machine; may be empty.
        cell: Number of its cell.
        state: Whether it accepts calls.
        weight: Its weight; 1 if discovery sends none.
        started: Unix time of its start in microseconds; 0: long ago.
    """

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started: int


@dataclass(frozen=True)
class Listing:
    """A full endpoint list, a part of one, or changes to one.

    Attributes:
        kind: Whether it is a full list or changes.
        version: Version of the list after the update.
        lines: The entries.
    """

    kind: ListUpdateKind
    version: int
    lines: tuple[Line, ...]


class Entry(Form, frozen=True):
    """An entry of the list as discovery sends it; `Line` describes the keys.

    Two keys differ from it: `addr` is host:port, and `started_ms` is `Line.started` in milliseconds.
    """

    id: str
    addr: str
    state: str
    zone: str | None = None
    kind: str | None = None
    cell: Number | None = None
    weight: Number | None = None
    started_ms: Number | None = None


class Table(Form, frozen=True):
    """An answer of discovery: the list's version, its entries and whether it is a full list."""

    version: Version
    servers: list[Entry]
    full: bool | None = None


TABLE_DECODER = msgspec.json.Decoder(Table)


def decode(body: bytes | bytearray) -> Listing:
    """Decodes an answer's body.

    Raises:
        ListError: The body is not a valid list.
    """
    try:
        return build_listing(TABLE_DECODER.decode(body))
    except msgspec.ValidationError as e:
        raise to_list_error(e) from None
    except (msgspec.DecodeError, RecursionError):
        pass
    # Rarely, a body has half of a surrogate pair in a name, or NaN under an ignored key. Python's json
    # accepts both, and so does this function.
    try:
        return read_listing(json.loads(body))
    except ListError:
        raise
    except (ValueError, RecursionError) as e:
        raise ListMalformed(f"not JSON: {e}", "list") from None


def to_list_error(error: msgspec.ValidationError, path: str = "list") -> ListError:
    """Converts a msgspec error to a ListError.

    Args:
        error: The error.
        path: Path of the value that was converted.
    """
    key, what = locate_error(error)
    return ListError(what, f"{path}.{key}") if key else ListMalformed(what, path)


def read_listing(table: object, kind: ListUpdateKind | None = None) -> Listing:
    """Converts decoded JSON to a list.

    Failure prevented: skipping one invalid entry of a full list would remove a running server. Any fault
    rejects the entire list, and the list in use stays.

    Args:
        table: The decoded JSON.
        kind: Kind of the list; None: the kind that it states itself.

    Raises:
        ListError: The list is invalid.
    """
    try:
        return build_listing(msgspec.convert(table, Table), kind)
    except msgspec.ValidationError as e:
        raise to_list_error(e) from None


def build_listing(table: Table, kind: ListUpdateKind | None = None) -> Listing:
    """Converts an answer whose types have been checked to a list.

    Raises:
        ListError: An address is invalid.
    """
    if kind is None:
        kind = ListUpdateKind.FULL if table.full else ListUpdateKind.CHANGES
    return Listing(
        kind,
        int(table.version),
        tuple(build_line(e, i) for i, e in enumerate(table.servers)),
    )


def read_line(value: object, number: int) -> Line:
    """Converts one entry of decoded JSON.

    Raises:
        ListError: The entry is invalid; the error names its position in the list.
    """
    try:
        return build_line(msgspec.convert(value, Entry), number)
    except msgspec.ValidationError as e:
        raise to_list_error(e, f"list.servers[{number}]") from None


def build_line(entry: Entry, number: int) -> Line:
    """Converts one entry. An unknown state counts as draining, so the server gets no new calls.

    Raises:
        ListError: The address is invalid.
    """
    host, _, port = entry.addr.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ListError(
            "not an address of the form host:port with a port from 1 to 65535",
            f"list.servers[{number}].addr",
        )
    return Line(
        id=entry.id,
        host=host.strip("[]"),
        port=int(port),
        zone=entry.zone or "",
        kind=entry.kind or "",
        cell=int(entry.cell or 0),
        state=STATE_BY_NAME.get(entry.state, EndpointState.DRAINING),
        weight=value_or_default(entry.weight, 1.0),
        started=int(entry.started_ms or 0) * 1000,
    )


def iterate_members(text: str) -> Iterator[tuple[str, Any]]:
    """Iterates over a JSON object's keys and values; a value that is an array yields each of its entries.

    Only one value of a long text is decoded at a time.

    Raises:
        ListMalformed: The text is not a JSON object, or it is truncated.
        ValueError: A value is not JSON.
    """

    def skip(position: int) -> int:
        return int(WHITESPACE.match(text, position).end())

    def expect(position: int, expected: str) -> str:
        character = text[position : position + 1]
        if not character or character not in expected:
            raise ListMalformed(
                f"expected one of {expected} at character {position}", "list"
            )
        return character

    position = skip(0)
    expect(position, "{")
    position = skip(position + 1)
    character = "}" if text[position : position + 1] == "}" else ","
    while character == ",":
        expect(position, '"')
        key, position = JSON_DECODER.raw_decode(text, position)
        position = skip(position)
        expect(position, ":")
        position = skip(position + 1)
        if text[position : position + 1] != "[":
            value, position = JSON_DECODER.raw_decode(text, position)
            yield key, value
        else:
            position = skip(position + 1)
            separator = "]" if text[position : position + 1] == "]" else ","
            while separator == ",":
                value, position = JSON_DECODER.raw_decode(text, position)
                yield key, value
                position = skip(position)
                separator = expect(position, ",]")
                position = skip(position + 1) if separator == "," else position
            position += 1
        position = skip(position)
        character = expect(position, ",}")
        position = skip(position + 1)
    if position < len(text) and character != "}":
        raise ListMalformed(
            f"unexpected text after the list at character {position}", "list"
        )


class LongListing:
    """A list that is too long to be decoded at once; `check` validates all of it, `parts` returns it.

    Failure prevented: while a list of tens of thousands of servers is decoded and validated, no request is
    served; and all its decoded entries together are several times as large as its text. The text is therefore
    read twice, one part at a time.

    Args:
        body: The answer's body.

    Attributes:
        text: The decoded body.
        kind: Whether it is a full list or changes; valid after `check`.
        version: The list's version; valid after `check`.
        count: Number of entries; valid after `check`.

    Raises:
        ListMalformed: The body is not UTF-8.
    """

    def __init__(self, body: bytes | bytearray) -> None:
        try:
            self.text = body.decode()
        except UnicodeDecodeError as e:
            raise ListMalformed(str(e), "list") from None
        self.kind = ListUpdateKind.CHANGES
        self.version = 0
        self.count = 0

    def check(self, size: int) -> Iterator[None]:
        """Validates the entire list, `size` entries per step.

        Raises:
            ListError: The list is invalid.
        """
        try:
            yield from self.steps(size)
        except ListError:
            raise
        except (ValueError, RecursionError) as e:
            raise ListMalformed(f"not JSON: {e}", "list") from None

    def steps(self, size: int) -> Iterator[None]:
        """Validates the list like `check`, but passes on the errors of the JSON decoder."""
        head: dict[str, Any] = {"servers": []}
        for key, value in iterate_members(self.text):
            if key != "servers":
                head[key] = value
                continue
            read_line(value, self.count)
            self.count += 1
            if self.count % size == 0:
                yield
        listing = read_listing(head)
        self.kind, self.version = listing.kind, listing.version

    def parts(self, size: int) -> Iterator[Listing]:
        """Iterates over the list in parts of `size` entries, in order; there is at least one part."""
        entries = (
            value for key, value in iterate_members(self.text) if key == "servers"
        )
        lines = (read_line(value, number) for number, value in enumerate(entries))
        for _ in range(max(1, -(-self.count // size))):
            yield Listing(self.kind, self.version, tuple(islice(lines, size)))
