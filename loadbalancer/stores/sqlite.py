"""A store in an SQLite file (standard library), in WAL mode with an fsync for each change.

While the store is open, SQLite's own lock on the file excludes other processes; it is released when the
process exits. Each row has a checksum of its name, number and data. A missing row is detected because the
file also stores the range of numbers of each log and the number of records and logs. The file's
`user_version` holds the version of the format twice.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from zlib import crc32

from loadbalancer.stores.common import (
    DEFAULT_MAX_BYTES,
    ITEM_OVERHEAD_BYTES,
    check_name,
    closed_error,
    full_error,
)
from loadbalancer.stores.files import make_folder, store_errors
from loadbalancer.stores.interface import (
    StoreCorruptError,
    StoreError,
    StoreFullError,
    StoreLockedError,
    StoreVersionError,
)
from loadbalancer.stores.sqlite_wal import PAGE_BYTES, count_lost_commits

FORMAT_VERSION = 1
FILE_NAME = "store.db"
ENTRIES_PER_QUERY = 256
VERSION_MASK = 0xFFFF  # one of the two copies of the version in `user_version`
# `sum` is the checksum of a row (`row_checksum`); `counts` has the numbers of records and logs.
TABLES = (
    "CREATE TABLE records (name TEXT PRIMARY KEY, data BLOB, sum INTEGER) WITHOUT ROWID",
    "CREATE TABLE logs (name TEXT PRIMARY KEY, first INTEGER, next INTEGER, sum INTEGER) WITHOUT ROWID",
    "CREATE TABLE entries (log TEXT, number INTEGER, data BLOB, sum INTEGER, PRIMARY KEY (log, number))"
    " WITHOUT ROWID",
    "CREATE TABLE counts (records INTEGER, logs INTEGER)",
    "INSERT INTO counts VALUES (0, 0)",
)
ERRORS_BY_CODE = {
    sqlite3.SQLITE_FULL: StoreFullError,
    sqlite3.SQLITE_BUSY: StoreLockedError,
    sqlite3.SQLITE_LOCKED: StoreLockedError,
    sqlite3.SQLITE_ERROR: StoreCorruptError,  # the queries are correct, so the tables must be damaged
    sqlite3.SQLITE_CORRUPT: StoreCorruptError,
    sqlite3.SQLITE_NOTADB: StoreCorruptError,
    sqlite3.SQLITE_FORMAT: StoreCorruptError,
}


@dataclass(slots=True)
class LogState:
    """The range of a log's entry numbers: from `first` up to, but not including, `next`."""

    first: int = 1
    next: int = 1


class SqliteStore:
    """Keeps records and logs in the file `store.db`.

    Args:
        path: Folder of the file; it is created if it does not exist.
        max_bytes: Bound of the stored data in bytes.
        durable: Whether the folder survives a restart of the machine, as configured by the operator.

    Raises:
        StoreLockedError: Another process has the store open.
        StoreError: The file cannot be opened, is corrupt, or has a newer format.
    """

    def __init__(
        self, path: str, max_bytes: int = DEFAULT_MAX_BYTES, durable: bool = True
    ) -> None:
        self.where = os.path.join(path, FILE_NAME)
        self.max_bytes = max_bytes
        self.durable = durable
        self._used_bytes = 0
        self._record_sizes: dict[str, int] = {}  # bytes of each record's data
        self._logs: dict[str, LogState] = {}
        self.db: sqlite3.Connection | None = None
        with store_errors(path):
            make_folder(path)
        try:
            with store_errors(self.where):
                lost = count_lost_commits(f"{self.where}-wal")
            if lost > 1:  # a single one may be the torn write of a loss of power
                raise self._corrupt(
                    f"{lost} changes in {FILE_NAME}-wal follow bytes that differ from what was written"
                )
            with self._store_errors():
                # Calls may come from a worker's thread, but only from one thread at a time.
                self.db = sqlite3.connect(
                    self.where, timeout=0, isolation_level=None, check_same_thread=False
                )
                self._open(self.db)
        except BaseException:
            self.close()
            raise

    def _open(self, db: sqlite3.Connection) -> None:
        """Locks the file, creates missing tables, and checks the format and the contents."""
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        db.execute(f"PRAGMA page_size = {PAGE_BYTES}")
        (version,) = db.execute("PRAGMA user_version").fetchone()
        is_fresh = db.execute("SELECT count(*) FROM sqlite_schema").fetchone() == (0,)
        if version != (0 if is_fresh else user_version(version & VERSION_MASK)):
            raise self._corrupt(f"has an invalid user_version of {version}")
        if version & VERSION_MASK > FORMAT_VERSION:
            raise StoreVersionError(
                f"has format version {version & VERSION_MASK}, this program supports up to {FORMAT_VERSION}",
                self.where,
            )
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        if version != user_version(FORMAT_VERSION):
            with self._transaction() as connection:
                for statement in TABLES if is_fresh else ():
                    connection.execute(statement)
                connection.execute(
                    f"PRAGMA user_version = {user_version(FORMAT_VERSION)}"
                )
        self._load_index(db)

    def _load_index(self, db: sqlite3.Connection) -> None:
        """Checks all rows except those of entries, and counts the bytes in use."""
        result = db.execute("PRAGMA integrity_check(1)").fetchone()
        if result != ("ok",):
            raise self._corrupt(str(result[0]).lower())
        for name, data, checksum in db.execute("SELECT name, data, sum FROM records"):
            self._record_sizes[name] = len(self._verified(data, checksum, name))
        for name, first, next_number, checksum in db.execute("SELECT * FROM logs"):
            self._verified(b"", checksum, name, first, next_number)
            self._logs[name] = LogState(first, next_number)
        counts = (len(self._record_sizes), len(self._logs))
        if db.execute("SELECT * FROM counts").fetchall() != [counts]:
            raise self._corrupt("records or logs are missing")
        count, size = db.execute(
            "SELECT count(*), total(length(data)) FROM entries"
        ).fetchone()
        self._used_bytes = sum(self._record_sizes.values()) + int(size)
        self._used_bytes += ITEM_OVERHEAD_BYTES * (
            count + len(self._record_sizes) + len(self._logs)
        )

    def get(self, name: str) -> bytes | None:
        """Returns the bytes of a record; None if it does not exist."""
        if self._checked_name(name) not in self._record_sizes:
            return None
        with self._store_errors() as db:
            row = db.execute(
                "SELECT data, sum FROM records WHERE name = ?", (name,)
            ).fetchone()
        if row is None:
            raise self._corrupt(f"record {name} is missing")
        data, checksum = row
        return self._verified(data, checksum, name)

    def replace(self, name: str, data: bytes | None) -> None:
        """Replaces a record; None removes it."""
        exists = self._checked_name(name) in self._record_sizes
        if data is None and not exists:
            return
        old_bytes = ITEM_OVERHEAD_BYTES + self._record_sizes[name] if exists else 0
        new_bytes = ITEM_OVERHEAD_BYTES + len(data) if data is not None else 0
        self._check_capacity(new_bytes - old_bytes)
        with self._transaction() as db:
            if data is None:
                db.execute("DELETE FROM records WHERE name = ?", (name,))
            else:
                db.execute(
                    "REPLACE INTO records VALUES (?, ?, ?)",
                    (name, data, row_checksum(data, name)),
                )
            if data is None or not exists:
                db.execute(
                    "UPDATE counts SET records = records + ?",
                    (1 if data is not None else -1,),
                )
        self._used_bytes += new_bytes - old_bytes
        if data is None:
            del self._record_sizes[name]
        else:
            self._record_sizes[name] = len(data)

    def append(self, log: str, data: bytes) -> int:
        """Appends an entry to a log; returns its number."""
        is_new = self._checked_name(log) not in self._logs
        added_bytes = (
            ITEM_OVERHEAD_BYTES + len(data) + (ITEM_OVERHEAD_BYTES if is_new else 0)
        )
        self._check_capacity(added_bytes)
        state = self._logs.get(log) or LogState()
        number = state.next
        with self._transaction() as db:
            if is_new:
                db.execute("UPDATE counts SET logs = logs + 1")
            checksum = row_checksum(data, log, number)
            db.execute(
                "INSERT INTO entries VALUES (?, ?, ?, ?)", (log, number, data, checksum)
            )
            self._write_log(db, log, LogState(state.first, number + 1))
        self._logs[log] = LogState(state.first, number + 1)
        self._used_bytes += added_bytes
        return number

    def _write_log(self, db: sqlite3.Connection, name: str, log: LogState) -> None:
        checksum = row_checksum(b"", name, log.first, log.next)
        db.execute(
            "REPLACE INTO logs VALUES (?, ?, ?, ?)",
            (name, log.first, log.next, checksum),
        )

    def read(self, log: str, since: int = 0) -> Iterator[tuple[int, bytes]]:
        """Iterates over the entries after number `since`, oldest first.

        The iterator must be used up before the log changes again.
        """
        state = self._logs.get(self._checked_name(log)) or LogState()
        return self._entries(log, max(since + 1, state.first), state.next)

    def _entries(self, log: str, start: int, end: int) -> Iterator[tuple[int, bytes]]:
        while start < end:
            with self._store_errors() as db:
                rows = db.execute(
                    "SELECT number, data, sum FROM entries WHERE log = ? AND number >= ? AND number < ?"
                    " ORDER BY number LIMIT ?",
                    (log, start, end, ENTRIES_PER_QUERY),
                ).fetchall()
            for number, data, checksum in rows or [(0, b"", 0)]:
                if number != start:
                    raise self._corrupt(f"entry {start} of log {log} is missing")
                yield number, self._verified(data, checksum, log, number)
                start += 1

    def cut(self, log: str, before: int) -> None:
        """Drops the entries below number `before`; the other entries keep their numbers.

        The file does not shrink; its free space is reused.
        """
        state = self._logs.get(self._checked_name(log))
        if state is None or min(before, state.next) <= state.first:
            return
        remaining = LogState(min(before, state.next), state.next)
        with self._transaction() as db:
            (size,) = db.execute(
                "SELECT total(length(data)) FROM entries WHERE log = ? AND number < ?",
                (log, remaining.first),
            ).fetchone()
            dropped = db.execute(
                "DELETE FROM entries WHERE log = ? AND number < ?",
                (log, remaining.first),
            ).rowcount
            self._write_log(db, log, remaining)
        self._logs[log] = remaining
        self._used_bytes -= int(size) + ITEM_OVERHEAD_BYTES * dropped

    def names(self) -> tuple[list[str], list[str]]:
        """Returns the sorted names of the records, and those of the logs."""
        self._checked_name("any")
        return sorted(self._record_sizes), sorted(self._logs)

    def size(self) -> int:
        """Returns the bytes of data, with a fixed overhead for each record, entry and log."""
        self._checked_name("any")
        return self._used_bytes

    def close(self) -> None:
        """Closes the store and releases its lock, so that another process can open it."""
        if self.db is not None:
            # Anything that cannot be cleaned up now is cleaned up when the file is next opened.
            with suppress(sqlite3.Error):
                self.db.close()
            self.db = None

    def _checked_name(self, name: str) -> str:
        """Returns the name if it is valid and the store is open; raises StoreError otherwise."""
        if self.db is None:
            raise closed_error(self.where)
        return check_name(name, self.where)

    def _check_capacity(self, additional_bytes: int) -> None:
        """Raises StoreFullError if `additional_bytes` more would exceed the store's bound."""
        if (
            additional_bytes > 0
            and self._used_bytes + additional_bytes > self.max_bytes
        ):
            raise full_error(
                self._used_bytes + additional_bytes, self.max_bytes, self.where
            )

    def _verified(
        self, data: object, checksum: object, name: str, *numbers: int
    ) -> bytes:
        """Returns a row's data; raises StoreCorruptError if it differs from what was written."""
        if (
            not isinstance(data, bytes)
            or row_checksum(data, name, *numbers) != checksum
        ):
            raise self._corrupt(
                f"the checksum of {name} {' '.join(map(str, numbers))} is wrong"
            )
        return data

    def _corrupt(self, problem: str) -> StoreCorruptError:
        """Returns the error for a corrupt file.

        The advice names the files to move away together: a write-ahead log beside any other file is corrupt.
        """
        advice = (
            f"check the disk; then move {FILE_NAME} and {FILE_NAME}-wal away together:"
            " the store then starts empty"
        )
        return StoreCorruptError(problem, self.where, advice)

    @contextmanager
    def _store_errors(self) -> Iterator[sqlite3.Connection]:
        """Converts SQLite's errors to StoreError."""
        try:
            yield self.db  # type: ignore[misc]
        except (sqlite3.Error, UnicodeError, OverflowError) as error:
            code = getattr(error, "sqlite_errorcode", sqlite3.SQLITE_ERROR) & 0xFF
            kind = ERRORS_BY_CODE.get(code, StoreError)
            raise (
                self._corrupt(str(error))
                if kind is StoreCorruptError
                else kind(str(error), self.where)
            ) from error

    @contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        """Runs one transaction, which is on the disk when the block ends, or is rolled back."""
        with self._store_errors() as db:
            db.execute("BEGIN IMMEDIATE")
            try:
                yield db
                db.execute("COMMIT")
            except BaseException:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                raise


def user_version(version: int) -> int:
    """Returns the version of the format twice, so that a flipped bit is not taken for a newer version."""
    return version << 16 | version


def row_checksum(data: bytes, name: str, *numbers: int) -> int:
    """Returns the checksum of a row, which covers its name and numbers so that it is valid only for them."""
    return crc32(data, crc32(" ".join((name, *map(str, numbers))).encode()))
