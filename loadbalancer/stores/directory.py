"""A store in a folder of files that stays intact if the process is killed or power is lost at any moment.

    NAME.record      a record: written to NAME.tmp, fsync, renamed, fsync of the folder
    NAME.N.log       a segment of a log: its entries from number N (20 digits) on, each appended with an fsync
    NAME.cut         cut mark of a log: number of its first entry, and the number after its last entry
    NAME.tmp         left over from a kill; removed when the store is next opened
    lock             locked while a process has the store open

`directory_format` defines the content of the files. Files of an older format are read but never appended to.
An append that was interrupted by a kill is dropped when the store is opened; any other content that differs
from what was written raises `StoreCorruptError`.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

from loadbalancer.stores.common import (
    DEFAULT_MAX_BYTES,
    check_name,
    closed_error,
    full_error,
)
from loadbalancer.stores.directory_format import (
    FILE_HEADER,
    FORMAT_VERSION,
    RECORD_KIND,
    RECORD_OVERHEAD_BYTES,
    SEGMENT_HEADER_BYTES,
    SEGMENT_KIND,
    check_file_header,
    corrupt,
    decode_cut_mark,
    decode_record,
    decode_segment,
    encode_cut_mark,
    encode_entry,
    encode_record,
    encode_segment_header,
    is_torn_write,
)
from loadbalancer.stores.files import Files, lock_file, make_folder, store_errors
from loadbalancer.stores.interface import StoreCorruptError

MAX_SEGMENT_BYTES = 1 << 20  # a log then continues in a new segment
MIN_SEGMENT_BYTES = 4096  # limit of a segment if the store's bound is small
# Segments that a log alone fills before the store reaches its bound, if that is at least MIN_SEGMENTS times
# MIN_SEGMENT_BYTES and no entry exceeds a segment; a cut frees only complete segments
MIN_SEGMENTS = 16
FILE_NAME = re.compile(r"([a-z0-9_-]{1,64})\.(?:(record|cut|tmp)|([0-9]{20})\.log)")


@dataclass(slots=True)
class Segment:
    """One file of a log.

    Attributes:
        base: Number of its first entry.
        path: Path of the file.
        size: Bytes of the file.
        count: Number of its entries.
        version: Version of its format.
    """

    base: int
    path: str
    size: int = SEGMENT_HEADER_BYTES
    count: int = 0
    version: int = FORMAT_VERSION


@dataclass(slots=True)
class LogState:
    """State of one log.

    Attributes:
        first: Number of the first entry that is kept.
        next: Number of the next entry.
        cut_size: Bytes of its .cut file.
        segments: Its segments, oldest first.
        descriptor: Descriptor of the last segment, open for appending; -1 if not open.
        is_dirty: Whether a failed append may have left bytes after the last entry.
        stray_path: Path of a segment that a failed append may have left; empty if none.
        error: Why the log cannot be used; None if it can.
    """

    first: int = 1
    next: int = 1
    cut_size: int = 0
    segments: list[Segment] = field(default_factory=list)
    descriptor: int = -1
    is_dirty: bool = False
    stray_path: str = ""
    error: StoreCorruptError | None = None


class DirectoryStore:
    """Keeps records and logs in a folder of files.

    Args:
        path: The folder; it is created if it does not exist.
        max_bytes: Bound of the store in bytes.
        durable: Whether the folder survives a restart of the machine, as configured by the operator.
        files: File operations; tests inject faults here.

    Raises:
        StoreLockedError: Another process has the store open.
        StoreError: The folder cannot be created, read or written.
    """

    def __init__(
        self,
        path: str,
        max_bytes: int = DEFAULT_MAX_BYTES,
        durable: bool = True,
        files: Files | None = None,
    ) -> None:
        self.path = path
        self.max_bytes = max_bytes
        self.durable = durable
        self._files = files or Files()
        self._segment_bytes = max(
            MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, max_bytes // MIN_SEGMENTS)
        )
        self._used_bytes = 0
        self._record_sizes: dict[str, int] = {}  # bytes of each record's file
        self._logs: dict[str, LogState] = {}
        self._lock_descriptor = self._folder_descriptor = -1
        with store_errors(path):
            make_folder(path)
            self._lock_descriptor = lock_file(os.path.join(path, "lock"))
        try:
            with store_errors(path):
                self._folder_descriptor = self._files.open(
                    path, os.O_RDONLY | os.O_DIRECTORY
                )
                self._recover()
        except BaseException:
            self.close()
            raise

    # ---- records -------------------------------------------------------------------------------------

    def get(self, name: str) -> bytes | None:
        """Returns the bytes of a record; None if it does not exist."""
        if self._checked_name(name) not in self._record_sizes:
            return None
        path = self._path_of(f"{name}.record")
        return decode_record(name, self._read_file(path), path)

    def replace(self, name: str, data: bytes | None) -> None:
        """Replaces a record; None removes it.

        If only the final fsync of the folder fails, the call raises although the new record may already be in
        place.
        """
        old_size = self._record_sizes.get(self._checked_name(name), 0)
        path = self._path_of(f"{name}.record")
        if data is not None:
            size = RECORD_OVERHEAD_BYTES + len(data)
            self._check_capacity(size - old_size)
            self._write_file(name, path, encode_record(name, data))
            self._record_sizes[name] = size
            self._used_bytes += size - old_size
        elif name in self._record_sizes:
            with store_errors(path):
                self._files.unlink(path)
            self._used_bytes -= self._record_sizes.pop(name)
        else:
            return
        with store_errors(self.path):
            self._files.sync(self._folder_descriptor)

    def _write_file(self, name: str, path: str, content: bytes) -> None:
        """Writes a complete temporary file, then renames it to `path`."""
        temporary_path = self._path_of(f"{name}.tmp")
        with store_errors(path):
            try:
                descriptor = self._files.open(
                    temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC
                )
                try:
                    self._files.write(descriptor, content)
                    self._files.sync(descriptor)
                finally:
                    os.close(descriptor)
                self._files.rename(temporary_path, path)
            except OSError:
                with suppress(OSError):
                    self._files.unlink(temporary_path)
                raise

    # ---- logs ----------------------------------------------------------------------------------------

    def append(self, log: str, data: bytes) -> int:
        """Appends an entry to a log; returns its number."""
        state = self._logs.get(self._checked_name(log)) or LogState()
        if state.error is not None:
            raise state.error
        number = state.next
        entry = encode_entry(number, data)
        last = state.segments[-1] if state.segments else None
        if last is not None and (
            last.version != FORMAT_VERSION
            or last.size + len(entry) > self._segment_bytes
        ):
            last = None
        self._check_capacity(len(entry) + (0 if last else SEGMENT_HEADER_BYTES))
        with store_errors(self.path):
            self._remove_failed_append(state)
            if last is None:
                self._start_segment(log, state, entry)
            else:
                self._extend_segment(state, last, entry)
        self._logs[log] = state
        state.segments[-1].count += 1
        state.next += 1
        return number

    def _start_segment(self, log: str, state: LogState, entry: bytes) -> None:
        """Writes the next entry to a new segment."""
        path = self._path_of(f"{log}.{state.next:020}.log")
        content = encode_segment_header(log, state.next) + entry
        descriptor = -1
        try:
            descriptor = self._files.open(
                path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
            )
            self._files.write(descriptor, content)
            self._files.sync(descriptor)
            self._files.sync(self._folder_descriptor)
        except OSError:
            if descriptor >= 0:
                os.close(descriptor)
            state.stray_path = path
            with suppress(OSError):
                self._remove_failed_append(state)
            raise
        if state.descriptor >= 0:
            os.close(state.descriptor)
        state.descriptor = descriptor
        state.segments.append(Segment(state.next, path, len(content)))
        self._used_bytes += len(content)

    def _extend_segment(self, state: LogState, last: Segment, entry: bytes) -> None:
        """Appends the next entry to the last segment; a failed append is removed again."""
        if state.descriptor < 0:
            state.descriptor = self._files.open(last.path, os.O_WRONLY | os.O_APPEND)
        state.is_dirty = True
        try:
            self._files.write(state.descriptor, entry)
            self._files.sync(state.descriptor)
        except OSError:
            with suppress(OSError):
                self._remove_failed_append(state)
            raise
        state.is_dirty = False
        last.size += len(entry)
        self._used_bytes += len(entry)

    def _remove_failed_append(self, state: LogState) -> None:
        """Removes what a failed append has left, before the next append.

        The next entry may fit into the previous segment; a stray segment would then have an entry of the same
        number.
        """
        if state.stray_path:
            with suppress(FileNotFoundError):
                self._files.unlink(state.stray_path)
            self._files.sync(self._folder_descriptor)
            state.stray_path = ""
        if state.is_dirty:
            self._files.truncate(state.descriptor, state.segments[-1].size)
            self._files.sync(state.descriptor)
            state.is_dirty = False

    def read(self, log: str, since: int = 0) -> Iterator[tuple[int, bytes]]:
        """Iterates over the entries after number `since`, oldest first.

        The iterator must be used up before the log changes again.
        """
        state = self._logs.get(self._checked_name(log)) or LogState()
        if state.error is not None:
            raise state.error
        return self._entries(log, state, max(since + 1, state.first))

    def _entries(
        self, log: str, state: LogState, first: int
    ) -> Iterator[tuple[int, bytes]]:
        for segment in list(state.segments):
            if segment.base + segment.count <= first:
                continue
            content = self._read_file(segment.path)[: segment.size]
            entries = self._decode(log, segment, content)
            if len(entries) != segment.count:
                problem = (
                    f"has {len(entries)} complete entries instead of {segment.count}"
                )
                raise corrupt(problem, segment.path)
            for number, data in enumerate(entries, segment.base):
                if number >= first:
                    yield number, data

    def cut(self, log: str, before: int) -> None:
        """Drops the entries below number `before`; the other entries keep their numbers.

        Only complete segments are freed; a log alone fills at least 16 of them before the bound is reached,
        if the bound is at least 64 KiB and no entry exceeds a segment.
        """
        state = self._logs.get(self._checked_name(log))
        if state is None or min(before, state.next) <= state.first:
            return
        if state.error is not None:
            raise state.error
        before = min(before, state.next)
        mark = encode_cut_mark(log, before, state.next)
        self._write_file(log, self._path_of(f"{log}.cut"), mark)
        self._used_bytes += len(mark) - state.cut_size
        state.first, state.cut_size = before, len(mark)
        with store_errors(self.path):
            # Before segments are removed: otherwise a loss of power could restore the old mark without them.
            self._files.sync(self._folder_descriptor)
        self._drop_segments(state)

    def _drop_segments(self, state: LogState) -> None:
        """Removes the segments below the cut mark.

        A segment that reappears after a loss of power, or cannot be removed now, is removed when the store is
        next opened.
        """
        while (
            state.segments
            and state.segments[0].base + state.segments[0].count <= state.first
        ):
            dropped = state.segments.pop(0)
            if not state.segments and state.descriptor >= 0:
                os.close(state.descriptor)
                state.descriptor, state.is_dirty = -1, False
            self._used_bytes -= dropped.size
            self._remove_files([dropped])

    def _remove_files(self, segments: list[Segment]) -> None:
        for segment in segments:
            with suppress(OSError):
                self._files.unlink(segment.path)

    # ---- the store -----------------------------------------------------------------------------------

    def names(self) -> tuple[list[str], list[str]]:
        """Returns the sorted names of the records, and those of the logs."""
        self._checked_name("any")
        return sorted(self._record_sizes), sorted(self._logs)

    def size(self) -> int:
        """Returns the bytes of the files of all records and logs."""
        self._checked_name("any")
        return self._used_bytes

    def close(self) -> None:
        """Closes the store and releases its lock, so that another process can open it."""
        descriptors = (state.descriptor for state in self._logs.values())
        for descriptor in (
            *descriptors,
            self._folder_descriptor,
            self._lock_descriptor,
        ):
            if descriptor >= 0:
                os.close(descriptor)
        self._logs.clear()
        self._record_sizes.clear()
        self._folder_descriptor = self._lock_descriptor = -1

    # ---- recovery on open ----------------------------------------------------------------------------

    def _recover(self) -> None:
        """Loads the index from the files in the folder, and cleans up after an interrupted write.

        A newer format is refused. Corruption raises only when the affected record or log is used, so that all
        others stay usable.
        """
        marks: dict[str, bytes] = {}
        bases: dict[str, list[int]] = {}
        for file_name in sorted(os.listdir(self.path)):
            match = FILE_NAME.fullmatch(file_name)
            if match is None:
                continue
            path = self._path_of(file_name)
            name, kind, base = match.groups()
            if kind == "tmp":
                self._files.unlink(path)
            elif kind == "record":
                with suppress(StoreCorruptError):
                    header = self._read_file(path, FILE_HEADER.size)
                    check_file_header(header, RECORD_KIND, path)
                self._record_sizes[name] = os.stat(path).st_size
            elif kind == "cut":
                marks[name] = self._read_file(path)
            else:
                bases.setdefault(name, []).append(int(base))
        for name in marks.keys() | bases.keys():
            self._recover_log(name, marks.get(name), bases.get(name, []))
        self._used_bytes = sum(self._record_sizes.values())
        for state in self._logs.values():
            segments = sum(segment.size for segment in state.segments)
            self._used_bytes += state.cut_size + segments

    def _recover_log(self, log: str, mark: bytes | None, bases: list[int]) -> None:
        state = LogState(cut_size=len(mark or b""))
        state.segments = [
            Segment(base, self._path_of(f"{log}.{base:020}.log")) for base in bases
        ]
        for segment in state.segments:
            segment.size = os.stat(segment.path).st_size
        try:
            self._check_log(log, state, mark)
        except StoreCorruptError as error:
            state.error = error
        if state.next > 1 or state.error is not None:
            self._logs[log] = state

    def _check_log(self, log: str, state: LogState, mark: bytes | None) -> None:
        """Removes segments that were cut or have no complete entry; a gap in the numbers is corruption."""
        if mark is not None:
            path = self._path_of(f"{log}.cut")
            state.first, state.next = decode_cut_mark(log, mark, path)
            if state.first == state.next:
                # All entries were cut; any of the segments may have reappeared after a loss of power.
                dropped = [s for s in state.segments if s.base < state.first]
                state.segments = state.segments[len(dropped) :]
                self._remove_files(dropped)
        for segment, successor in zip(state.segments, state.segments[1:], strict=False):
            segment.count = successor.base - segment.base
        while state.segments:
            last = state.segments[-1]
            self._recover_last_segment(log, last)
            if last.count:
                break
            self._files.unlink(state.segments.pop().path)
        self._check_numbers(log, state)
        for segment in state.segments:
            header = self._read_file(segment.path, FILE_HEADER.size)
            check_file_header(header, SEGMENT_KIND, segment.path)
        self._drop_segments(state)

    def _check_numbers(self, log: str, state: LogState) -> None:
        """Sets the number of the next entry; the segments must cover all numbers of the cut mark."""
        next_number = state.next
        if state.segments:
            state.next = state.segments[-1].base + state.segments[-1].count
        first = state.segments[0].base if state.segments else state.next
        if state.next < next_number or first > state.first:
            raise corrupt(
                f"has entries {first} to {state.next - 1}"
                f" but should have {state.first} to {next_number - 1} at least",
                self._path_of(f"{log}.*.log"),
            )

    def _recover_last_segment(self, log: str, last: Segment) -> None:
        """Counts the entries of the last segment, and drops an interrupted append.

        Raises:
            StoreCorruptError: The bytes after the last complete entry are not an interrupted append.
        """
        content = self._read_file(last.path)
        if len(content) < SEGMENT_HEADER_BYTES or not any(content):
            last.count = 0
            return
        segment = decode_segment(log, last.base, content, last.path)
        last.version, last.count = segment.version, len(segment.entries)
        size = segment.size
        tail = content[size:]
        if not tail:
            return
        if not is_torn_write(tail, last.base + last.count):
            raise corrupt(
                f"the bytes from offset {size} on differ from what was written",
                last.path,
            )
        descriptor = self._files.open(last.path, os.O_WRONLY)
        try:
            self._files.truncate(descriptor, size)
            self._files.sync(descriptor)
        finally:
            os.close(descriptor)
        last.size = size

    def _decode(self, log: str, segment: Segment, content: bytes) -> list[bytes]:
        decoded = decode_segment(log, segment.base, content, segment.path)
        segment.version = decoded.version
        return decoded.entries

    def _checked_name(self, name: str) -> str:
        """Returns the name if it is valid and the store is open; raises StoreError otherwise."""
        if self._lock_descriptor < 0:
            raise closed_error(self.path)
        return check_name(name, self.path)

    def _check_capacity(self, additional_bytes: int) -> None:
        """Raises StoreFullError if `additional_bytes` more would exceed the store's bound."""
        if (
            additional_bytes > 0
            and self._used_bytes + additional_bytes > self.max_bytes
        ):
            raise full_error(
                self._used_bytes + additional_bytes, self.max_bytes, self.path
            )

    def _path_of(self, name: str) -> str:
        return os.path.join(self.path, name)

    def _read_file(self, path: str, max_bytes: int = -1) -> bytes:
        """Reads a file, or only its first `max_bytes` if that is not negative."""
        with store_errors(path), open(path, "rb") as file:
            return file.read(max_bytes)
