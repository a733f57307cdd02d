"""Verifies a ledger's log and restores the ledger's state from it. Pure: the log is passed in as bytes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from loadbalancer.audit.ledger_entries import (
    BATCH_DECODER,
    ENTRY_DECODER,
    FORMAT_VERSION,
    AnyEntry,
    Batch,
    Checkpoint,
    ForeignLedgerError,
    LedgerChainError,
)
from loadbalancer.audit.ledger_state import LedgerState


@dataclass
class LedgerReading:
    """The result of reading a log.

    Attributes:
        state: The state after the last entry.
        gaps: Descriptions of the gaps in the log, where the store did not accept some batches.
    """

    state: LedgerState
    gaps: list[str] = field(default_factory=list)


@dataclass
class DecodedBatch:
    """A batch with its decoded entries. `where` names its log and number for error messages."""

    batch: Batch
    entries: list[AnyEntry]
    where: str


def read(
    log: Iterable[tuple[int, bytes]], node: str, log_name: str = "audit"
) -> LedgerReading:
    """Verifies a log and restores the state that its entries add up to.

    A checkpoint that does not follow the entries before it is reported as a gap, not as a broken chain: it
    replaces batches that the store did not accept. At the start of the log it is not even a gap, since the
    batches before a checkpoint may be removed.

    Args:
        log: The batches with their numbers, oldest first.
        node: The name of the node whose ledger this must be.
        log_name: The name of the log for error messages.

    Returns:
        The state, and the gaps in the log.

    Raises:
        LedgerChainError: The chain is broken; the error names the log and the batch.
        ForeignLedgerError: The chain belongs to another node or to a newer version of the program.
    """
    reading = LedgerReading(LedgerState())
    started = False
    for number, data in log:
        decoded = decode_batch(data, f"log {log_name}, batch {number}")
        gap = check_continuity(decoded, reading.state)
        if gap and started:
            reading.gaps.append(gap)
        started = True
        apply_batch(decoded, reading.state)
        owner = reading.state.node
        if owner and owner != node:
            raise ForeignLedgerError(
                f"of node {owner!r}, not of {node!r}", decoded.where
            )
    return reading


def decode_batch(data: bytes, where: str) -> DecodedBatch:
    """Decodes a batch and its entries.

    Raises:
        LedgerChainError: The batch cannot be decoded.
        ForeignLedgerError: The batch has another format version.
    """
    try:
        batch = BATCH_DECODER.decode(data)
        entries = [ENTRY_DECODER.decode(body) for body in batch.bodies]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise LedgerChainError(f"cannot be decoded: {error}", where) from None
    if batch.format_version != FORMAT_VERSION:
        raise ForeignLedgerError(
            f"has format version {batch.format_version}, expected {FORMAT_VERSION}",
            where,
        )
    return DecodedBatch(batch, entries, where)


def check_continuity(decoded: DecodedBatch, state: LedgerState) -> str:
    """Checks that a batch follows the entries before it, or starts with a checkpoint that replaces them.

    A checkpoint moves the chain head and the entry number of `state` to its own.

    Returns:
        A description of the gap before a checkpoint; empty if there is none.

    Raises:
        LedgerChainError: The batch does not follow the entries before it.
    """
    batch, where = decoded.batch, decoded.where
    first = decoded.entries[0] if decoded.entries else None
    if (
        isinstance(first, Checkpoint)
        and first.head == batch.head_before
        and first.entries == batch.first_entry - 1
    ):
        gap = batch.head_before != state.head
        state.head, state.entries = batch.head_before, batch.first_entry - 1
        message = (
            f"{where}: a checkpoint replaces entries that are missing from the log"
        )
        return message if gap else ""
    if batch.head_before != state.head or batch.first_entry != state.entries + 1:
        raise LedgerChainError(
            f"entry {batch.first_entry} does not follow entry {state.entries}, the last one before it",
            where,
        )
    return ""


def apply_batch(decoded: DecodedBatch, state: LedgerState) -> None:
    """Applies a batch's entries and verifies the chain head after them.

    Raises:
        LedgerChainError: An entry contradicts those before it, or the chain head differs.
    """
    batch, where = decoded.batch, decoded.where
    for entry, body in zip(decoded.entries, batch.bodies, strict=True):
        try:
            state.apply(entry)
        except (KeyError, IndexError, ValueError) as error:
            raise LedgerChainError(
                f"entry {state.entries + 1} contradicts the entries before it: {error!r}",
                where,
            ) from None
        state.advance_head(body)
    if state.head != batch.head_after:
        raise LedgerChainError(
            f"entries {batch.first_entry} to {state.entries} do not match the chain head after them",
            where,
        )
