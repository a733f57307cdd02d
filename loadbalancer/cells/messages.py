"""Messages between reporters and collectors: MessagePack, at most 1,000 bytes each.

A summary has counts and versions but no times: each receiver computes its age by its own clock. A message
that cannot be decoded, is too large, has impossible counts, or is of another format or layout is rejected
with a reason. The fields of the summaries are published under their names by `/admin/cells`.
"""

from __future__ import annotations

from typing import Annotated, Final, NamedTuple, TypeVar

import msgspec
from msgspec import Meta

FORMAT_VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 1_000
MAX_FRONTIERS: Final = 8  # numberings in a summary; the most used ones are kept
MAX_NAMES: Final = 4  # members that a cell summary names
MAX_NAME_CHARS: Final = 64  # of members and numberings
MAX_GROUPS: Final = 3  # digests of a file in a summary; the most held ones are kept
MAX_COUNT: Final = 20_000  # members; also the bound of all other counts
MAX_NUMBER: Final = 1 << 62  # list numbers, incarnations and message counts

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Digest = Annotated[str, Meta(max_length=16)]
Origin = Annotated[str, Meta(max_length=64)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Seconds = Annotated[float, Meta(ge=0, le=1e9)]
# The number of members in each state, in the order of `HealthState`.
Standings = tuple[Count, Count, Count, Count, Count, Count]
DigestCounts = tuple[tuple[Digest, Count], ...]


class MessageOrder(NamedTuple):
    """The position of a message among those of its sender; later messages compare greater.

    Attributes:
        life: The sender's incarnation.
        sequence: The number of the message within the incarnation.
    """

    life: int
    sequence: int


class CellFrontier(msgspec.Struct, array_like=True, frozen=True):
    """The list version that a quorum of a cell holds under one numbering, by the reporter's audit.

    Attributes:
        origin: The numbering: the discovery that numbers the lists.
        number: The list number that the quorum holds.
        digest: The digest of the list; empty if no quorum holds the same content.
        holders: Members that hold this version.
        of: Members of which the quorum is a majority, at most the live ones. If a majority of the members
            that are not quarantined uses this numbering, all of them, including those that use another one
            or report nothing; else those that use it.
    """

    origin: Origin
    number: Number
    digest: Digest = ""
    holders: Count = 0
    of: Count = 0


class CellSummary(msgspec.Struct, array_like=True, frozen=True):
    """One reporter's summary of its cell.

    Attributes:
        form: The format version.
        layout: The digest of the layout.
        cell: The cell.
        speaker: The reporter's name.
        life: The reporter's incarnation.
        count: The number of the report within the incarnation.
        known: Members that have not left.
        live: Live members.
        heard: Live members whose status record the reporter has and that is not stale, including its own;
            all live members if the reporter has no audit.
        ready: Members that are ready, and neither quarantined nor requesting it.
        out: Members that are quarantined.
        standings: The number of members in each health state.
        fronts: The frontiers of the most used numberings.
        more_fronts: The number of frontiers that are left out.
        named: Some members that are behind, diverged or silent.
        settings: Digests of the settings, with the number of members that hold each.
        operation: Digests of the operator configuration, with the number of members that hold each.
    """

    form: int
    layout: Digest
    cell: Count
    speaker: Name
    life: Number
    count: Number
    known: Count = 0
    live: Count = 0
    heard: Count = 0
    ready: Count = 0
    out: Count = 0
    standings: Standings = (0, 0, 0, 0, 0, 0)
    fronts: tuple[CellFrontier, ...] = ()
    more_fronts: Count = 0
    named: tuple[Name, ...] = ()
    settings: DigestCounts = ()
    operation: DigestCounts = ()

    @property
    def order(self) -> MessageOrder:
        """The position of this summary among those of the reporter."""
        return MessageOrder(self.life, self.count)


class FleetFrontier(msgspec.Struct, array_like=True, frozen=True):
    """The list version that the cells hold of one numbering that more than one of them uses.

    Attributes:
        origin: The numbering: the discovery that numbers the lists.
        number: The highest list number that at least two cells hold or have passed.
        digest: The digest of the list; empty unless all cells that hold the number agree.
        holders: Members that hold the number or a higher one, in all cells whose reports are received.
        of: The sum of `CellFrontier.of` over the cells.
        cells: Cells that use the numbering.
        behind: Cells whose quorum holds a lower number.
        age_s: Seconds since the collector first received the number.
        in_force_s: Seconds from then until all members held it; None if some do not.
    """

    origin: Origin
    number: Number
    digest: Digest = ""
    holders: Count = 0
    of: Count = 0
    cells: Count = 0
    behind: Count = 0
    age_s: Seconds = 0.0
    in_force_s: Seconds | None = None


class FleetSummary(msgspec.Struct, array_like=True, frozen=True):
    """A collector's sum over the cells whose reports it receives.

    Attributes:
        form: The format version.
        layout: The digest of the layout.
        collector: The collector's name.
        life: The collector's incarnation.
        count: The number of the summary within the incarnation.
        cells: Cells that the collector knows.
        heard: Cells with a current report.
        odds: Cells whose reporters disagree.
        known: Members that have not left.
        live: Live members.
        ready: Members that are ready, and neither quarantined nor requesting it.
        out: Members that are quarantined.
        standings: The number of members in each health state.
        fronts: The frontiers of the most used numberings.
        unheard: Some of the cells whose reports are overdue.
        settings: Digests of the settings, with the number of members that hold each.
        operation: Digests of the operator configuration, with the number of members that hold each.
    """

    form: int
    layout: Digest
    collector: Name
    life: Number
    count: Number
    cells: Count = 0
    heard: Count = 0
    odds: Count = 0
    known: Count = 0
    live: Count = 0
    ready: Count = 0
    out: Count = 0
    standings: Standings = (0, 0, 0, 0, 0, 0)
    fronts: tuple[FleetFrontier, ...] = ()
    unheard: tuple[Count, ...] = ()
    settings: DigestCounts = ()
    operation: DigestCounts = ()

    @property
    def order(self) -> MessageOrder:
        """The position of this summary among those of the collector."""
        return MessageOrder(self.life, self.count)


class SummaryReport(msgspec.Struct, tag="told", array_like=True, frozen=True):
    """The message from a reporter to a collector.

    Attributes:
        summary: The reporter's summary of its cell.
    """

    summary: CellSummary


class FleetSummaryReply(msgspec.Struct, tag="answered", array_like=True, frozen=True):
    """The reply from a collector to a reporter.

    Attributes:
        sum: The collector's summary of the fleet.
    """

    sum: FleetSummary


Message = SummaryReport | FleetSummaryReply
Summary = TypeVar("Summary", CellSummary, FleetSummary)

MESSAGE_DECODER: Final = msgspec.msgpack.Decoder(Message)
_summary_decoder = msgspec.msgpack.Decoder(FleetSummary)
_encoder = msgspec.msgpack.Encoder()


class SummaryRejectedError(ValueError):
    """A message is rejected. Its text is the reason, under which rejections are counted and published."""


def encode(message: Message) -> bytes:
    """Returns the encoded message, of at most `MAX_MESSAGE_BYTES`.

    Until the message fits, the last entry of its longest list (in bytes) is dropped. Frontiers and digests
    are ordered by use, so that the least used ones are dropped first.
    """
    data = _encoder.encode(message)
    while len(data) > MAX_MESSAGE_BYTES:
        if isinstance(message, SummaryReport):
            message = SummaryReport(_without_one_entry(message.summary))
        else:
            message = FleetSummaryReply(_without_one_entry(message.sum))
        data = _encoder.encode(message)
    return data


def encode_fleet_summary(summary: FleetSummary) -> bytes:
    """Returns a fleet summary as the body of a record, shortened to `MAX_MESSAGE_BYTES` as by `encode`."""
    data = _encoder.encode(summary)
    while len(data) > MAX_MESSAGE_BYTES:
        summary = _without_one_entry(summary)
        data = _encoder.encode(summary)
    return data


def _without_one_entry(summary: Summary) -> Summary:
    """Returns the summary without the last entry of the longest of its lists."""
    sizes = {
        field: len(_encoder.encode(getattr(summary, field)))
        for field in ("fronts", "named", "unheard", "settings", "operation")
        if hasattr(summary, field)
    }
    longest = max(sizes, key=lambda field: sizes[field])
    shorter = getattr(summary, longest)[:-1]
    if isinstance(summary, CellSummary) and longest == "fronts":
        left_out = summary.more_fronts + 1
        return msgspec.structs.replace(summary, fronts=shorter, more_fronts=left_out)
    return msgspec.structs.replace(summary, **{longest: shorter})


def decode(data: bytes, layout: str) -> CellSummary | FleetSummary:
    """Returns the summary in a message.

    Args:
        data: The encoded message.
        layout: The digest of this node's layout.

    Raises:
        SummaryRejectedError: The message is too large or malformed, has impossible counts, or is of another
            format or layout.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise SummaryRejectedError("too large")
    try:
        message = MESSAGE_DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError):
        raise SummaryRejectedError("broken") from None
    summary = message.summary if isinstance(message, SummaryReport) else message.sum
    _validate(summary, layout)
    return summary


def decode_fleet_summary(body: bytes, layout: str) -> FleetSummary:
    """Returns the summary in the body of a record.

    Args:
        body: The record's body.
        layout: The digest of this node's layout.

    Raises:
        SummaryRejectedError: The record is malformed, or of another format or layout.
    """
    try:
        summary = _summary_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError):
        raise SummaryRejectedError("broken") from None
    _validate(summary, layout)
    return summary


def _validate(summary: CellSummary | FleetSummary, layout: str) -> None:
    """Rejects a decoded summary of another format or layout, or with impossible content."""
    if summary.form != FORMAT_VERSION:
        raise SummaryRejectedError("another form")
    if summary.layout != layout:
        raise SummaryRejectedError("another layout")
    groups = max(len(summary.settings), len(summary.operation))
    if len(summary.fronts) > MAX_FRONTIERS or groups > MAX_GROUPS:
        raise SummaryRejectedError("broken")
    if isinstance(summary, CellSummary) and not _is_consistent(summary):
        raise SummaryRejectedError("counts that cannot be")


def _is_consistent(summary: CellSummary) -> bool:
    """Returns whether no count exceeds its total, and no numbering occurs twice."""
    live = summary.live
    return (
        summary.heard <= live <= summary.known
        and summary.out <= live
        and summary.ready <= live
        and all(f.holders <= f.of <= live for f in summary.fronts)
        and len({f.origin for f in summary.fronts}) == len(summary.fronts)
    )


def most_held(holders: dict[str, int]) -> DigestCounts:
    """Returns the `MAX_GROUPS` digests that most members hold, with their numbers of holders."""
    ordered = sorted(holders.items(), key=lambda item: (-item[1], item[0]))
    return tuple(ordered[:MAX_GROUPS])
