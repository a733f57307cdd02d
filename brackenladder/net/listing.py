"""Discovery's form of the server list, read and checked."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from json.decoder import WHITESPACE  # type: ignore[attr-defined]  # json's own pattern for what it skips
from typing import Any, ClassVar

from brackenladder.errors import BrackenladderError
from brackenladder.interface import ListKind, State
from brackenladder.settings import Fields

DECODER = json.JSONDecoder()
STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class ListError(BrackenladderError, ValueError):
    """A server list with a line or a head that cannot be used; the list in hand stays whole."""

    remedy: ClassVar[str] = "mend that entry where discovery has it from; the list in hand holds until then"


class ListMalformed(ListError):
    """An answer of discovery that is no server list at all."""

    remedy: ClassVar[str] = "check that an agent listens at the address of discovery, and what it answers"


@dataclass(frozen=True, slots=True)
class Line:
    """One server as discovery names it."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: State
    weight: float
    started: int  # microseconds of Unix time; 0 = long ago


@dataclass(frozen=True)
class Listing:
    """A list or its changes, with the version they lead to."""

    kind: ListKind
    version: int
    lines: tuple[Line, ...]


def decode(body: bytes | bytearray) -> Listing:
    """The Listing in an answer's body; a ListError for anything else."""
    try:
        return read_listing(json.loads(body))
    except ListError:
        raise
    except (ValueError, RecursionError) as e:
        raise ListMalformed(f"not JSON: {e}", "list") from None


def read_listing(table: object, kind: ListKind | None = None) -> Listing:
    """A Listing from decoded JSON, of the `kind` it states itself if none is given.

    Failure prevented: skipping one bad line of a full list would remove a server that runs. Anything
    wrong is a ListError for the whole list, and the list in hand stays.
    """
    if not isinstance(table, dict):
        raise ListMalformed("not an object", "list")
    fields = Fields(table, "list.", ListError)
    if kind is None:
        kind = ListKind.FULL if fields.flag("full") else ListKind.CHANGES
    lines = tuple(read_line(line) for line in fields.tables("servers"))
    return Listing(kind, fields.whole("version"), lines)


def read_line(line: Fields) -> Line:
    """One server. A state that is not known counts as draining: nothing new goes there."""
    host, _, port = line.text("addr").rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise line.bad("addr")
    return Line(
        id=line.text("id"),
        host=host.strip("[]"),
        port=int(port),
        zone=line.text("zone", ""),
        kind=line.text("kind", ""),
        cell=line.whole("cell", 0),
        state=STATES.get(line.text("state"), State.DRAINING),
        weight=line.number("weight", 1.0),
        started=line.whole("started_ms", 0) * 1000,
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
        self.kind = ListKind.CHANGES
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
            read_line(
                Fields(value if isinstance(value, dict) else {}, f"list.servers[{self.count}].", ListError)
            )
            self.count += 1
            if self.count % size == 0:
                yield
        listing = read_listing(head)
        self.kind, self.version = listing.kind, listing.version

    def parts(self, size: int) -> Iterator[Listing]:
        """The list as listings of `size` lines, in order; at least one."""
        lines = (
            read_line(Fields(v, "list.servers.", ListError))
            for key, v in members_of(self.text)
            if key == "servers"
        )
        for _ in range(max(1, -(-self.count // size))):
            yield Listing(self.kind, self.version, tuple(islice(lines, size)))
