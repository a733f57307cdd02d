"""Discovery's form of the server list, read and checked."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from json.decoder import WHITESPACE  # type: ignore[attr-defined]  # json's own pattern for what it skips
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

# Exact, however large: a version that is rounded asks for what is newer than one that there was not.
Version = int | Number
DECODER = json.JSONDecoder()
STATES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.GONE,
}


class ListError(LoadBalancerError, ValueError):
    """A server list with a line or a head that cannot be used; the list in hand stays whole."""

    remedy: ClassVar[str] = (
        "mend that entry where discovery has it from; the list in hand holds until then"
    )


class ListMalformed(ListError):
    """An answer of discovery that is no server list at all."""

    remedy: ClassVar[str] = (
        "check that an agent listens at the address of discovery, and what it answers"
    )


@dataclass(frozen=True, slots=True)
class Line:
    """One server as discovery names it."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started: int  # microseconds of Unix time; 0 = long ago


@dataclass(frozen=True)
class Listing:
    """A list or its changes, with the version they lead to."""

    kind: ListUpdateKind
    version: int
    lines: tuple[Line, ...]


class Entry(Form, frozen=True):
    """A server's line as discovery writes it."""

    id: str
    addr: str
    state: str
    zone: str | None = None
    kind: str | None = None
    cell: Number | None = None
    weight: Number | None = None
    started_ms: Number | None = None


class Table(Form, frozen=True):
    """A whole answer."""

    version: Version
    servers: list[Entry]
    full: bool | None = None


TABLES = msgspec.json.Decoder(Table)


def decode(body: bytes | bytearray) -> Listing:
    """The Listing in an answer's body; a ListError for anything else."""
    try:
        return listing_of(TABLES.decode(body))
    except msgspec.ValidationError as e:
        raise wrong(e) from None
    except (msgspec.DecodeError, RecursionError):
        pass
    # Rare: a name that is half of a pair, NaN where nobody looks. Read as ever, since it is lawful here.
    try:
        return read_listing(json.loads(body))
    except ListError:
        raise
    except (ValueError, RecursionError) as e:
        raise ListMalformed(f"not JSON: {e}", "list") from None


def wrong(error: msgspec.ValidationError, path: str = "list") -> ListError:
    """Msgspec's words as an error of ours; `path` is that of the table that was read."""
    key, what = locate_error(error)
    return ListError(what, f"{path}.{key}") if key else ListMalformed(what, path)


def read_listing(table: object, kind: ListUpdateKind | None = None) -> Listing:
    """A Listing from decoded JSON, of the `kind` it states itself if none is value_or_default.

    Failure prevented: skipping one bad line of a full list would remove a server that runs. Anything
    wrong is a ListError for the whole list, and the list in hand stays.
    """
    try:
        return listing_of(msgspec.convert(table, Table), kind)
    except msgspec.ValidationError as e:
        raise wrong(e) from None


def listing_of(table: Table, kind: ListUpdateKind | None = None) -> Listing:
    """The Listing in an answer that has the form of one."""
    if kind is None:
        kind = ListUpdateKind.FULL if table.full else ListUpdateKind.CHANGES
    return Listing(
        kind,
        int(table.version),
        tuple(line_of(e, i) for i, e in enumerate(table.servers)),
    )


def read_line(value: object, number: int) -> Line:
    """One server from decoded JSON; a ListError that names its place in the list."""
    try:
        return line_of(msgspec.convert(value, Entry), number)
    except msgspec.ValidationError as e:
        raise wrong(e, f"list.servers[{number}]") from None


def line_of(entry: Entry, number: int) -> Line:
    """One server. A state that is not known counts as draining: nothing new goes there."""
    host, _, port = entry.addr.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ListError(
            "not an address of the form host:port", f"list.servers[{number}].addr"
        )
    return Line(
        id=entry.id,
        host=host.strip("[]"),
        port=int(port),
        zone=entry.zone or "",
        kind=entry.kind or "",
        cell=int(entry.cell or 0),
        state=STATES.get(entry.state, EndpointState.DRAINING),
        weight=value_or_default(entry.weight, 1.0),
        started=int(entry.started_ms or 0) * 1000,
    )


def members_of(text: str) -> Iterator[tuple[str, Any]]:
    """The members of a JSON object one after the other, each with its key; of an array each of its entries.

    So much of a long text is decoded at a time. A ListMalformed where it is not an object, or ends early.
    """

    def skip(place: int) -> int:
        return int(WHITESPACE.match(text, place).end())

    def expect(place: int, signs: str) -> str:
        sign = text[place : place + 1]
        if not sign or sign not in signs:
            raise ListMalformed(f"expected one of {signs} at character {place}", "list")
        return sign

    place = skip(0)
    expect(place, "{")
    place = skip(place + 1)
    sign = "}" if text[place : place + 1] == "}" else ","
    while sign == ",":
        expect(place, '"')
        key, place = DECODER.raw_decode(text, place)
        place = skip(place)
        expect(place, ":")
        place = skip(place + 1)
        if text[place : place + 1] != "[":
            value, place = DECODER.raw_decode(text, place)
            yield key, value
        else:
            place = skip(place + 1)
            mark = "]" if text[place : place + 1] == "]" else ","
            while mark == ",":
                value, place = DECODER.raw_decode(text, place)
                yield key, value
                place = skip(place)
                mark = expect(place, ",]")
                place = skip(place + 1) if mark == "," else place
            place += 1
        place = skip(place)
        sign = expect(place, ",}")
        place = skip(place + 1)
    if place < len(text) and sign != "}":
        raise ListMalformed(f"more text at character {place}", "list")


class LongListing:
    """A list that is too long to be read in one go. `check` reads all of it, `parts` hands it out.

    Failure prevented: while a list of tens of thousands is decoded and checked, no request is served; and
    all its lines together are several times as large as its text. It is read twice, a part at a time.
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
        """Reads the whole list, `size` lines for each step. A ListError at anything that is wrong."""
        try:
            yield from self.steps(size)
        except ListError:
            raise
        except (ValueError, RecursionError) as e:
            raise ListMalformed(f"not JSON: {e}", "list") from None

    def steps(self, size: int) -> Iterator[None]:
        head: dict[str, Any] = {"servers": []}
        for key, value in members_of(self.text):
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
        """The list as listings of `size` lines, in order; at least one."""
        entries = (value for key, value in members_of(self.text) if key == "servers")
        lines = (read_line(value, number) for number, value in enumerate(entries))
        for _ in range(max(1, -(-self.count // size))):
            yield Listing(self.kind, self.version, tuple(islice(lines, size)))
