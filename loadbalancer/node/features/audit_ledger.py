"""Keeps the audit's ledger in the node's store: restores it at the start, and writes it in batches.

A write blocks the event loop, at most once every `flush_s`; the metrics show the last and the longest
duration.
"""

from __future__ import annotations

from collections import deque
from time import perf_counter
from typing import Any

from loadbalancer.audit.ledger import Ledger, LedgerBatch
from loadbalancer.audit.ledger_entries import LedgerError
from loadbalancer.audit.ledger_reader import LedgerReading, read
from loadbalancer.audit.ledger_state import LedgerState
from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.features.feature import FeatureHost
from loadbalancer.stores.interface import Store, StoreError

LOG_NAME = "audit"  # log of the first chain; the logs of later chains append a number
STORE_RETRY_S = 1.0  # between two attempts to open the store
MAX_PENDING_BATCHES = 64  # at this number of batches, one checkpoint replaces them
MAX_LOGS = 3  # logs that are kept, including those of broken chains, for inspection
# Keys of the ledger's table with times in microseconds; `LedgerStore.table` shows them as seconds ago.
PAGE_TIMES = ("told_us", "taken_us", "first_us", "last_us")


class LedgerStore:
    """The ledger, and the log of the node's store that contains it.

    Attributes:
        host: The services of the node.
        ledger: The ledger; it is replaced once the store has been read.
        store: The node's store; None while it is not available.
        log_name: Name of the log in the store.
        restored: What the store contained, for the log line at the start and the page. Keys are published.
        pending: Batches that have not been written yet.
        error: The error of the store, for operators; empty if there is none.
        last_write_ms: Duration of the last write in milliseconds.
        longest_write_ms: Duration of the longest write in milliseconds.
    """

    def __init__(self, host: FeatureHost) -> None:
        self.host = host
        self.ledger = Ledger()
        self.store: Store | None = None
        self.log_name = LOG_NAME
        self.restored: dict[str, Any] = {}
        self.pending: deque[LedgerBatch] = deque()
        self.error = ""
        self.last_write_ms = self.longest_write_ms = 0.0
        self._retry_at_s = 0.0
        self.ledger.start_incarnation(host.name, host.now(), host.wall_clock())
        self.open()

    def open(self) -> None:
        """Opens the log, and continues the ledger from the log's end with all that was counted meanwhile.

        If the store is not available, `flush` tries again: in an upgrade the previous process keeps it locked
        until it exits.
        """
        try:
            store = self.host.store()
            reading = self._read_newest_log(store)
        except LoadBalancerError as error:
            if self.error != error.line():
                self.error = error.line()
                self.host.log_event("audit store unavailable", **error.table())
            self._retry_at_s = self.host.loop.time() + STORE_RETRY_S
            return
        self.store, self.error = store, ""
        state = reading.state
        if state.incarnation:
            self.restored = {
                "lives": state.incarnation,
                "entries": state.entries,
                "killed": not state.closed,
            }
            if reading.gaps:
                self.restored["gaps"] = reading.gaps
            self.ledger = self.ledger.continue_from(state)

    def flush(self) -> None:
        """Writes the entries since the last call; a killed process loses only what was not flushed."""
        if self.store is None and self.host.loop.time() >= self._retry_at_s:
            self.open()
        self.write()

    def write(self) -> None:
        """Appends all batches to the log; those that the store rejects stay pending."""
        if self.store is None:
            return  # the ledger keeps the entries; counts are sums and take no more space
        if len(self.pending) >= MAX_PENDING_BATCHES:
            self.pending.clear()
            self.pending.append(LedgerBatch(self.ledger.checkpoint(), True))
        else:
            self.pending.extend(self.ledger.flush(self.host.now()))
        started_at = perf_counter()
        try:
            self._append_pending(self.store)
            self.error = ""
        except StoreError as error:
            if self.error != error.line():
                self.error = error.line()
                self.host.log_event(
                    "audit ledger write failed",
                    pending_batches=len(self.pending),
                    **error.table(),
                )
        self.last_write_ms = (perf_counter() - started_at) * 1000
        self.longest_write_ms = max(self.longest_write_ms, self.last_write_ms)

    def close(self) -> None:
        """Records the orderly end of this incarnation, and writes the ledger."""
        self.ledger.end_incarnation(self.host.now())
        self.write()

    def _append_pending(self, store: Store) -> None:
        while self.pending:
            batch = self.pending[0]
            number = store.append(self.log_name, batch.data)
            self.pending.popleft()
            if batch.is_checkpoint:
                store.cut(self.log_name, number)

    # ---- broken chains --------------------------------------------------------------------------------

    def _read_newest_log(self, store: Store) -> LedgerReading:
        """Reads the newest log; if its chain is broken, keeps it unchanged and starts the next log.

        Failure prevented: a node appends to a broken chain and thereby hides the break.
        """
        logs = sorted(
            name
            for name in store.names()[1]
            if name == LOG_NAME or name.startswith(f"{LOG_NAME}-")
        )
        self.log_name = logs[-1] if logs else LOG_NAME
        try:
            return read(store.read(self.log_name), self.host.name, self.log_name)
        except (LedgerError, StoreError) as error:
            self.host.log_event("audit ledger corrupt", **error.table())
            number = int(self.log_name.partition("-")[2] or "1") + 1
            self.log_name = f"{LOG_NAME}-{number:04}"
            if not isinstance(error, StoreError):
                _drop_oldest(store, logs)
            self.restored = {"broken": error.line()}
            return LedgerReading(LedgerState())

    # ---- operators ------------------------------------------------------------------------------------

    def metrics(self) -> dict[str, Any]:
        """Returns the ledger's table for `/admin/stats`. Keys are published."""
        return {
            "life": self.ledger.state.incarnation,
            "entries": self.ledger.state.entries,
            "unsaved": self.ledger.unsaved_attempts,
            "waiting_batches": len(self.pending),
            "write_ms": round(self.last_write_ms, 3),
            "worst_write_ms": round(self.longest_write_ms, 3),
            "store": self._durability(),
            "wrong": self.error,
        }

    def _durability(self) -> str:
        if self.store is None:
            return "none"
        return "lasting" if self.store.durable else "not lasting"

    def table(self) -> dict[str, Any]:
        """Returns the ledger's table for operators, with times as seconds ago.

        Times of earlier incarnations are None: the monotonic clock of this process cannot express them.
        """
        table, now = self.ledger.table(), self.host.now()
        for row in table["versions"]:
            is_current = row["life"] == table["life"]
            for key in PAGE_TIMES:
                at = row.pop(key)
                age_s = round((now - at) / 1e6, 3) if at and is_current else None
                row[key.replace("_us", "_s_ago")] = age_s
        return table | {
            "now_us": now,
            "log": self.log_name,
            "restored": self.restored,
            "wrong": self.error,
        }


def _drop_oldest(store: Store, logs: list[str]) -> None:
    """Empties the oldest logs, so that `MAX_LOGS` remain, including the one that is about to start."""
    for name in logs[: -(MAX_LOGS - 1)]:
        last = max((number for number, _ in store.read(name)), default=0)
        if last:
            store.cut(name, last + 1)
