"""The state that a ledger's entries add up to, whether they have just been written or are read back."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise

from loadbalancer.audit.ledger_entries import (
    GENESIS_HEAD,
    NO_ATTEMPTS,
    ActionTaken,
    AnyEntry,
    AttemptsCounted,
    Checkpoint,
    FoldedVersions,
    IncarnationEnded,
    IncarnationStarted,
    OutcomeCounts,
    SpanReference,
    VersionActivated,
    VersionAnnounced,
    VersionKey,
    VersionRecord,
    add_counts,
    next_head,
)

MAX_ACTIONS = 16  # latest actions that are kept for the admin page


@dataclass
class Span:
    """A period in which no version changed, with its attempts that are not written yet.

    Attributes:
        number: Its number in the ledger.
        since: When it started, in monotonic microseconds.
        records: The versions in force, one of each source.
        until: When it ended, in monotonic microseconds; 0 for the present span.
        first_attempt_at: When the first attempt in `attempts` started; 0 if there is none.
        last_attempt_at: When the last attempt in `attempts` started; 0 if there is none.
        attempts: Attempts that are not written yet, by outcome.
        dirty: Whether there are any such attempts.
    """

    number: int
    since: int
    records: list[VersionRecord]
    until: int = 0
    first_attempt_at: int = 0
    last_attempt_at: int = 0
    attempts: list[int] = field(default_factory=lambda: list(NO_ATTEMPTS))
    dirty: bool = False

    def reset_counts(self) -> None:
        """Clears the counts once they have been written."""
        self.first_attempt_at = self.last_attempt_at = 0
        self.attempts, self.dirty = list(NO_ATTEMPTS), False


@dataclass
class LedgerState:
    """The state of a ledger after its last entry.

    Attributes:
        node: The node's name; empty before the first incarnation.
        incarnation: The last incarnation; 0 before the first.
        closed: Whether the last incarnation stopped normally, or there was none.
        entries: Number of entries so far.
        head: The chain head.
        records: The version records, oldest first.
        folded: Totals of versions without a record, by source.
        spans: The spans by number, oldest first.
        in_force: The record of the version in force, by source.
        actions: The latest actions, oldest first.
    """

    node: str = ""
    incarnation: int = 0
    closed: bool = True
    entries: int = 0
    head: bytes = GENESIS_HEAD
    records: list[VersionRecord] = field(default_factory=list)
    folded: dict[str, FoldedVersions] = field(default_factory=dict)
    spans: dict[int, Span] = field(default_factory=dict)
    in_force: dict[str, VersionRecord] = field(default_factory=dict)
    actions: list[ActionTaken] = field(default_factory=list)

    def apply(self, entry: AnyEntry) -> None:
        """Applies one entry.

        Raises:
            KeyError, IndexError, ValueError: The entry contradicts those before it.
        """
        match entry:
            case IncarnationStarted():
                self.start_incarnation(entry)
            case VersionAnnounced():
                self.announce(entry)
            case VersionActivated():
                self.activate(entry)
            case AttemptsCounted():
                self.count_attempts(entry)
            case ActionTaken():
                self.actions = [*self.actions[-(MAX_ACTIONS - 1) :], entry]
            case IncarnationEnded():
                self.closed = True
            case Checkpoint():
                self.restore(entry)

    def start_incarnation(self, entry: IncarnationStarted) -> None:
        """Starts an incarnation, in which no version is in force yet."""
        self.node, self.incarnation = entry.node, entry.incarnation
        self.closed = False
        self.spans, self.in_force = {}, {}

    def announce(self, entry: VersionAnnounced) -> None:
        """Records the first announcement of a version; later ones are ignored."""
        record = self.record_of(entry.key)
        if not record.announced_at:
            record.announced_at, record.announced_by = entry.at, entry.by

    def activate(self, entry: VersionActivated) -> None:
        """Puts a version in force: closes the present span and starts another."""
        record = self.record_of(entry.key)
        record.activations += 1
        record.activated_at = record.activated_at or entry.at
        self.in_force[entry.key.source] = record
        for span in self.spans.values():
            span.until = span.until or entry.at
        records = list(self.in_force.values())
        self.spans[entry.span] = Span(entry.span, entry.at, records)

    def count_attempts(self, entry: AttemptsCounted) -> None:
        """Adds attempts to every version of their span."""
        for counted in entry.spans:
            first = counted.first_attempt_at
            for record in self.spans[counted.span].records:
                record.first_attempt_at = (
                    min(record.first_attempt_at, first)
                    if record.first_attempt_at
                    else first
                )
                record.last_attempt_at = max(
                    record.last_attempt_at, counted.last_attempt_at
                )
                record.attempts = add_counts(record.attempts, counted.attempts)

    def restore(self, entry: Checkpoint) -> None:
        """Restores the state from a checkpoint, which replaces all entries before it."""
        self.node, self.incarnation = entry.node, entry.incarnation
        self.closed = entry.closed
        self.records, self.folded = list(entry.records), dict(entry.folded)
        self.spans = {
            span.span: Span(
                span.span, span.since, [self.records[i] for i in span.record_indexes]
            )
            for span in entry.spans
        }
        spans = list(self.spans.values())
        for earlier, later in pairwise(spans):
            earlier.until = later.since
        current_records = spans[-1].records if spans else []
        self.in_force = {record.key.source: record for record in current_records}

    def record_of(self, key: VersionKey) -> VersionRecord:
        """Returns the present incarnation's record of a version, and creates it if there is none."""
        for record in reversed(self.records):
            if record.key == key and record.incarnation == self.incarnation:
                return record
        record = VersionRecord(self.incarnation, key)
        self.records.append(record)
        return record

    def advance_head(self, body: bytes) -> None:
        """Advances the chain head by one entry."""
        self.head = next_head(self.head, body)
        self.entries += 1

    def checkpoint(self) -> Checkpoint:
        """Returns a checkpoint of this state, which replaces all entries before it."""
        index = {id(record): i for i, record in enumerate(self.records)}
        spans = tuple(
            SpanReference(
                span.number,
                span.since,
                tuple(index[id(record)] for record in span.records),
            )
            for span in self.spans.values()
        )
        return Checkpoint(
            head=self.head,
            entries=self.entries,
            node=self.node,
            incarnation=self.incarnation,
            closed=self.closed,
            records=tuple(self.records),
            folded=self.folded,
            spans=spans,
        )

    def fold_oldest(self, max_records: int) -> None:
        """Moves the oldest records to the totals until at most `max_records` are left, if possible.

        Records that a span refers to are kept.
        """
        used = {id(record) for span in self.spans.values() for record in span.records}
        excess = len(self.records) - max_records
        kept = []
        for record in self.records:
            if excess > 0 and id(record) not in used:
                excess -= 1
                self.add_folded(record)
            else:
                kept.append(record)
        self.records = kept

    def add_folded(self, record: VersionRecord) -> None:
        """Adds a record to the totals of its source."""
        source = record.key.source
        versions, attempts = self.folded.get(source, FoldedVersions(0, NO_ATTEMPTS))
        self.folded[source] = FoldedVersions(
            versions + 1, add_counts(attempts, record.attempts)
        )

    def attempts(self, source: str = "list") -> OutcomeCounts:
        """Returns all attempts under the versions of a source, by outcome, over all incarnations."""
        total = self.folded.get(source, FoldedVersions(0, NO_ATTEMPTS)).attempts
        for record in self.records:
            if record.key.source == source:
                total = add_counts(total, record.attempts)
        return total
