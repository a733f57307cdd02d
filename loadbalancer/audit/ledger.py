"""One node's ledger: when each version was announced and activated, and the attempts made under it.

A node acts on one version of each source at a time: the endpoint list, the settings, the operators' file, the
program, the members, the term. The time between two changes is a span; an attempt belongs to the span in
which it started, and so to one version of each source. Counting an attempt costs a few comparisons and
additions; the counts are written as entries later.

The log is bounded: after `LedgerRules.checkpoint_entries` entries or `LedgerRules.checkpoint_bytes` bytes, a
checkpoint is written that contains the chain head, the totals and the spans, and all entries before it may be
dropped. This neither loses an attempt nor counts one twice. Beyond `LedgerRules.max_versions`, the oldest
versions that no span refers to are combined into totals by source.

Pure: no I/O, no clock. `Ledger` writes, `ledger_reader.read` verifies and restores.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from loadbalancer.audit.ledger_entries import (
    ENTRY_DECODER,
    FORMAT_VERSION,
    ActionTaken,
    AnyEntry,
    AttemptsCounted,
    Batch,
    IncarnationEnded,
    IncarnationStarted,
    SpanCounts,
    VersionActivated,
    VersionAnnounced,
    VersionKey,
    VersionRecord,
    counts_by_name,
    encode,
)
from loadbalancer.audit.ledger_state import LedgerState, Span
from loadbalancer.audit.rules import LedgerRules

HEAD_DIGITS = 16  # hexadecimal digits of the chain head that are shown to operators


class LedgerBatch(NamedTuple):
    """A batch to append to the log.

    Attributes:
        data: The encoded batch.
        is_checkpoint: Whether all earlier batches may be removed once this one is appended.
    """

    data: bytes
    is_checkpoint: bool


class Ledger:
    """The writing side of a node's own ledger. Times are the node's monotonic microseconds.

    Attributes:
        rules: Limits of the memory and of the log.
        state: What the entries so far add up to.
        pending_bodies: Encoded entries that are not in a batch yet.
        head_before: The chain head before the next batch.
        entries_since_checkpoint: Number of entries since the last checkpoint.
        bytes_since_checkpoint: Size of those entries.
        last_span: Number of the last span; 0 if there is none.
        span: The present span; None before the first activation of the incarnation.
        uncovered_attempts: Number of attempts that ended before the first span, which count for no version,
            or that started before the oldest span that is kept, which count in that one.
        unsaved_attempts: Number of attempts in spans since the last `flush`, which would be lost if the
            process were killed now.
    """

    def __init__(
        self, rules: LedgerRules | None = None, state: LedgerState | None = None
    ) -> None:
        self.rules = rules or LedgerRules()
        self.state = state or LedgerState()
        self.pending_bodies: list[bytes] = []
        self.head_before = self.state.head
        self.entries_since_checkpoint = self.bytes_since_checkpoint = 0
        self.last_span = max(self.state.spans, default=0)
        self.span: Span | None = None
        self.uncovered_attempts = 0
        self.unsaved_attempts = 0

    # ---- events ---------------------------------------------------------------------------------------

    def start_incarnation(
        self,
        node: str,
        now: int,
        wall: int,
        note: str = "",
        min_incarnation: int = 0,
    ) -> None:
        """Starts an incarnation, whose number is higher than all before.

        Args:
            node: The node's name.
            now: Monotonic microseconds.
            wall: Unix time in microseconds, for display only.
            note: Free text for operators.
            min_incarnation: The highest incarnation of this node that other nodes have seen; the new number
                is higher than this one too.
        """
        self.span = None
        number = max(self.state.incarnation, min_incarnation) + 1
        self.write(IncarnationStarted(number, node, now, wall, note))

    def announce(self, key: VersionKey, by: str, now: int) -> None:
        """Records that a version was announced; only the first announcement in an incarnation counts.

        Args:
            key: The version.
            by: "own", or the name of the member that reported it.
            now: Monotonic microseconds.
        """
        already_announced = any(
            record.key == key
            and record.incarnation == self.state.incarnation
            and record.announced_at
            for record in self.state.records
        )
        if not already_announced:
            self.write(VersionAnnounced(key, by, now))

    def activate(self, key: VersionKey, now: int) -> None:
        """Records that a version is in force from now on; does nothing if it already is."""
        current = self.state.in_force.get(key.source)
        if current is not None and current.key == key:
            return
        self.announce(key, "own", now)
        self.write_counts()  # the attempts so far belong to the spans before this one
        self.last_span += 1
        self.write(VersionActivated(key, now, self.last_span))
        self.span = self.state.spans[self.last_span]

    def count_attempt(self, outcome: int, started_at: int) -> None:
        """Counts an attempt that has ended, in the span in which it started.

        Args:
            outcome: Its `Outcome`.
            started_at: When it started, in monotonic microseconds.
        """
        span = self.span
        if span is None:
            self.uncovered_attempts += 1
            return
        if started_at < span.since:
            span = self.span_at(started_at)
        span.attempts[outcome] += 1
        span.last_attempt_at = max(span.last_attempt_at, started_at)
        if not span.first_attempt_at or started_at < span.first_attempt_at:
            span.first_attempt_at = started_at
        span.dirty = True
        self.unsaved_attempts += 1

    def span_at(self, moment: int) -> Span:
        """Returns the span that contains a moment.

        If none does, counts an uncovered attempt and returns the oldest span that is kept.
        """
        for span in reversed(self.state.spans.values()):
            if span.since <= moment:
                return span
        self.uncovered_attempts += 1
        return next(iter(self.state.spans.values()))

    def record_action(
        self, what: str, why: str, now: int, grant: tuple[int, int] | None = None
    ) -> None:
        """Records an action of the node that concerns its versions.

        Args:
            what: The kind of action.
            why: The reason, for operators.
            now: Monotonic microseconds.
            grant: The fencing token (term, number) of the grant for it; None if it needed no grant.
        """
        self.write(ActionTaken(what, why, now, grant))

    def end_incarnation(self, now: int) -> None:
        """Records that the process stops normally."""
        self.write_counts()
        self.write(IncarnationEnded(now))

    def continue_from(self, state: LedgerState) -> Ledger:
        """Returns a ledger that continues from `state` and contains all entries of this one.

        For a state that could be read only after this ledger had been started. May be called only before the
        first batch of this ledger.
        """
        self.write_counts()
        continued = Ledger(self.rules, state)
        span_offset = continued.last_span
        for body in self.pending_bodies:
            continued.replay(ENTRY_DECODER.decode(body), span_offset)
        continued.last_span = self.last_span + span_offset
        if self.span is not None:
            continued.span = continued.state.spans.get(continued.last_span)
        continued.uncovered_attempts = self.uncovered_attempts
        continued.unsaved_attempts = self.unsaved_attempts
        return continued

    def replay(self, entry: AnyEntry, span_offset: int) -> None:
        """Writes an entry of another ledger, with `span_offset` added to its span numbers."""
        match entry:
            case IncarnationStarted():
                self.start_incarnation(entry.node, entry.at, entry.wall, entry.note)
            case VersionActivated():
                self.write(
                    msgspec.structs.replace(entry, span=entry.span + span_offset)
                )
            case AttemptsCounted():
                spans = (
                    span._replace(span=span.span + span_offset) for span in entry.spans
                )
                self.write(AttemptsCounted(tuple(spans)))
            case _:
                self.write(entry)

    # ---- writing --------------------------------------------------------------------------------------

    def write(self, entry: AnyEntry) -> None:
        """Applies an entry to the state and appends it to the chain."""
        body = encode(entry)
        self.state.apply(entry)
        self.state.advance_head(body)
        self.pending_bodies.append(body)
        self.entries_since_checkpoint += 1
        self.bytes_since_checkpoint += len(body)

    def write_counts(self) -> None:
        """Writes an entry for the attempts that were counted since the last such entry."""
        dirty = [span for span in self.state.spans.values() if span.dirty]
        if not dirty:
            return
        counted = tuple(
            SpanCounts(
                span.number,
                span.first_attempt_at,
                span.last_attempt_at,
                tuple(span.attempts),
            )
            for span in dirty
        )
        self.write(AttemptsCounted(counted))
        for span in dirty:
            span.reset_counts()

    def flush(self, now: int) -> list[LedgerBatch]:
        """Returns the batches to append to the log, oldest first, and drops expired spans.

        Args:
            now: Monotonic microseconds.
        """
        self.write_counts()
        self.unsaved_attempts = 0
        batches = [LedgerBatch(self.next_batch(), False)] if self.pending_bodies else []
        self.drop_expired_spans(now)
        rules = self.rules
        if (
            self.entries_since_checkpoint >= rules.checkpoint_entries
            or self.bytes_since_checkpoint >= rules.checkpoint_bytes
        ):
            batches.append(LedgerBatch(self.checkpoint(), True))
        return batches

    def checkpoint(self) -> bytes:
        """Returns a batch that replaces all before it, including entries that are not in a batch yet."""
        self.write_counts()
        if self.pending_bodies:
            self.next_batch()
        self.state.fold_oldest(self.rules.max_versions)
        self.head_before = self.state.head
        body = encode(self.state.checkpoint())
        self.state.advance_head(body)
        self.pending_bodies.append(body)
        self.entries_since_checkpoint = self.bytes_since_checkpoint = 0
        return self.next_batch()

    def next_batch(self) -> bytes:
        """Returns one batch of all entries that are not in a batch yet."""
        state = self.state
        batch = Batch(
            format_version=FORMAT_VERSION,
            first_entry=state.entries - len(self.pending_bodies) + 1,
            head_before=self.head_before,
            bodies=tuple(self.pending_bodies),
            head_after=state.head,
        )
        self.pending_bodies, self.head_before = [], state.head
        return encode(batch)

    def drop_expired_spans(self, now: int) -> None:
        """Drops spans after their retention time, and beyond `max_spans` the oldest.

        The present span, and spans with counts that are not written yet, are kept.
        """
        spans = self.state.spans
        for number, span in list(spans.items()):
            if span is self.span or span.dirty:
                continue
            expired = span.until and span.until + self.rules.span_retention_us < now
            if expired or len(spans) > self.rules.max_spans:
                del spans[number]

    # ---- admin page -----------------------------------------------------------------------------------

    def table(self) -> dict[str, Any]:
        """Returns the ledger by its published keys, with all versions, newest first.

        Times are monotonic microseconds; the caller turns them into ages.
        """
        self.write_counts()
        state = self.state
        return {
            "life": state.incarnation,
            "entries": state.entries,
            "head": state.head.hex()[:HEAD_DIGITS],
            "unsaved": self.unsaved_attempts,
            "early": self.uncovered_attempts,
            "folded": {
                source: {
                    "versions": folded.versions,
                    "attempts": counts_by_name(folded.attempts),
                }
                for source, folded in state.folded.items()
            },
            "versions": [self.table_row(record) for record in reversed(state.records)],
            "acts": [msgspec.to_builtins(action)[1:] for action in state.actions],
        }

    def table_row(self, record: VersionRecord) -> dict[str, Any]:
        """Returns one version by its published keys."""
        in_force = self.state.in_force.values()
        return {
            **record.key._asdict(),
            "life": record.incarnation,
            "in_force": any(record is other for other in in_force),
            "told_us": record.announced_at,
            "told_by": record.announced_by,
            "taken_us": record.activated_at,
            "times": record.activations,
            "first_us": record.first_attempt_at,
            "last_us": record.last_attempt_at,
            "attempts": counts_by_name(record.attempts),
        }
