"""The two stores that write files, stopped at random bytes of their writes."""

import errno
import shutil
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from contracts.disk import Inode, RecordingFiles, State, play
from contracts.model import Model, apply, assert_holds_one_of, contents, random_calls

from loadbalancer.stores.directory import DirectoryStore
from loadbalancer.stores.interface import StoreCorruptError, StoreError, StoreFullError
from loadbalancer.stores.sqlite import SqliteStore

MAX_BYTES = 1 << 16


def write_folder(folder: Path, files: dict[str, bytes]) -> None:
    """Replaces the contents of the folder with these files."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)


def files_after_failure(
    state: State, event: tuple, mode: str, rng: Random
) -> dict[str, bytes]:
    """Returns the files found after a failure within this event, which the state does not include yet."""
    if event[0] != "write":
        return state.after_failure(mode, rng)
    inode = state.names[event[1]]
    size_before = len(inode.data)
    play(state, event, rng.randint(0, len(event[2])))
    found = state.after_failure(mode, rng)
    del inode.data[size_before:]
    return found


@pytest.mark.parametrize("mode", ["kill", "none", "some"])
def test_a_directory_store_survives_a_stop_at_any_byte_and_another_during_recovery(
    mode, folder
):
    calls, models = random_calls(11, 150)
    files = RecordingFiles()
    ends = []
    store = DirectoryStore(str(folder / "first"), MAX_BYTES, files=files)
    for number, call in enumerate(calls):
        if number % 40 == 39:
            store.close()
            store = DirectoryStore(str(folder / "first"), MAX_BYTES, files=files)
        apply(store, call)
        ends.append(len(files.events))
    store.close()
    rng = Random(12)
    points = sorted(rng.randrange(len(files.events)) for _ in range(1000))
    state, applied, recovery_stops = State(), 0, 0
    for point in points:
        for event in files.events[applied:point]:
            play(state, event)
        applied = point
        done = sum(end <= point for end in ends)
        write_folder(
            folder / "again", files_after_failure(state, files.events[point], mode, rng)
        )
        if rng.random() < 0.3:
            recovery_stops += stop_during_recovery(folder / "again", mode, rng)
        store = DirectoryStore(str(folder / "again"), MAX_BYTES)
        assert not list((folder / "again").glob("*.tmp"))
        assert_holds_one_of(store, models[done : done + 2])
    assert recovery_stops > 3


def stop_during_recovery(folder: Path, mode: str, rng: Random) -> bool:
    """Opens the store after a stop, and stops the recovery at a random byte of its writes as well.

    Returns:
        False if the recovery wrote nothing.
    """
    state = State()
    for path in folder.iterdir():
        inode = Inode()
        inode.data[:] = inode.durable = path.read_bytes()
        state.names[path.name] = state.durable[path.name] = inode
    files = RecordingFiles()
    DirectoryStore(str(folder), MAX_BYTES, files=files).close()
    if not files.events:
        return False
    point = rng.randrange(len(files.events))
    for event in files.events[:point]:
        play(state, event)
    write_folder(folder, files_after_failure(state, files.events[point], mode, rng))
    return True


class FailingFiles(RecordingFiles):
    """Fails `times` operations from number `at` on with an errno; a write fails after a part of it."""

    def __init__(self, at: int, times: int, error_number: int, rng: Random) -> None:
        super().__init__()
        self.at, self.times, self.error_number, self.rng = at, times, error_number, rng
        self.count = 0

    def fails(self) -> bool:
        self.count += 1
        return self.at <= self.count < self.at + self.times

    def write(self, fd, data):
        if self.fails():
            super().write(fd, data[: self.rng.randrange(len(data))])
            raise OSError(self.error_number, "injected")
        super().write(fd, data)

    def sync(self, fd):
        if self.error_number == errno.EIO and self.fails():
            raise OSError(self.error_number, "injected")
        super().sync(fd)


def failing_operation(call: str) -> Callable:
    """Returns the operation, which fails before it does anything if it is due to fail."""

    def operation(self, *arguments):
        if self.error_number != errno.EIO and self.fails():
            raise OSError(self.error_number, "injected")
        return getattr(RecordingFiles, call)(self, *arguments)

    return operation


for name in ("open", "truncate", "rename", "unlink"):
    setattr(FailingFiles, name, failing_operation(name))


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_directory_store_on_a_failing_disk_holds_the_state_before_or_after_a_call(
    error_number, folder
):
    """After a failed fsync either state is possible; after any other error it is the state before the call.

    This also holds if power is lost afterwards.
    """
    rng = Random(13)
    failed = 0
    for run in range(200):
        calls, models = random_calls(run, 25)
        path = str(folder / str(run))
        files = FailingFiles(
            rng.randrange(1, 120), rng.randint(1, 5), error_number, rng
        )
        try:
            store = DirectoryStore(path, MAX_BYTES, files=files)
        except StoreError:
            continue
        model, checks = models[0], 0
        for call in calls:
            after = model.after(call)
            try:
                apply(store, call)
                model = after
            except StoreError as e:
                failed += 1
                assert isinstance(e, StoreFullError) == (error_number == errno.ENOSPC)
                if files.times == 1:
                    assert not list((folder / str(run)).glob("*.tmp"))
                held = contents(store)
                if error_number == errno.EIO and held == after.contents():
                    model = after
                assert held == model.contents()
                checks = 4
            if checks and error_number != errno.EIO:
                checks -= 1
                write_folder(
                    folder / "lost", State(files.events).after_failure("some", rng)
                )
                assert_holds_one_of(
                    DirectoryStore(str(folder / "lost"), MAX_BYTES), [model]
                )
        store.close()
        assert_holds_one_of(DirectoryStore(path, MAX_BYTES), [model])
    assert failed > 50


def test_a_segment_that_could_not_be_created_does_not_reappear_after_a_loss_of_power(
    folder,
):
    rng = Random(17)
    files = FailingFiles(1_000, 1, errno.EIO, rng)
    store = DirectoryStore(str(folder / "first"), MAX_BYTES, files=files)
    model = Model()
    for size in (1000, 10):
        data = bytes(size)
        assert store.append("a", data) == model.append("a", data)
        files.at = files.count + 2  # the write succeeds, the fsync fails
        with pytest.raises(StoreError):
            store.append("a", bytes(3500))
    assert store.append("a", b"fits") == model.append("a", b"fits")
    state = State(files.events)
    for _ in range(100):
        write_folder(folder / "lost", state.after_failure("some", rng))
        assert_holds_one_of(DirectoryStore(str(folder / "lost"), MAX_BYTES), [model])


def test_an_sqlite_store_survives_a_stop_at_any_byte_of_its_wal(folder):
    calls, models = random_calls(14, 20, 1500)
    store = SqliteStore(str(folder / "first"), MAX_BYTES)
    file, log = folder / "first" / "store.db", folder / "first" / "store.db-wal"
    database = file.read_bytes()
    ends = [log.stat().st_size]
    for call in calls:
        apply(store, call)
        ends.append(log.stat().st_size)
    assert file.read_bytes() == database  # all later writes are in the write-ahead log
    written = log.read_bytes()
    store.close()
    rng = Random(15)
    distinct = [
        m
        for m, after in zip(models, models[1:], strict=False)
        if m.contents() != after.contents()
    ]
    for _ in range(
        150
    ):  # a flipped bit is corruption, except in the last change or two, which may be torn
        flipped = bytearray(written)
        flipped[rng.randrange(len(written))] ^= 1 << rng.randrange(8)
        write_folder(
            folder / "again", {"store.db": database, "store.db-wal": bytes(flipped)}
        )
        try:
            assert_holds_one_of(
                SqliteStore(str(folder / "again"), MAX_BYTES),
                [*distinct[-2:], models[-1]],
            )
        except StoreCorruptError as e:
            assert "wal" in e.advice
    for _ in range(1000):
        point = rng.randrange(len(written))
        done = max(sum(end <= point for end in ends) - 1, 0)
        zero_bytes = min(
            rng.choice([0, 0, 512, 4096]), len(written) - point
        )  # zeros: the new length is on the disk, the data is not
        write_folder(
            folder / "again",
            {"store.db": database, "store.db-wal": written[:point] + bytes(zero_bytes)},
        )
        assert_holds_one_of(
            SqliteStore(str(folder / "again"), MAX_BYTES), models[done : done + 2]
        )


def test_a_directory_store_whose_log_lacks_a_part_is_corrupt(folder):
    store = DirectoryStore(str(folder), MAX_BYTES)
    for _ in range(12):
        store.append("a", bytes(2000))
    store.cut("a", 4)
    store.close()
    segments = sorted(folder.glob("a.0*.log"))
    assert len(segments) > 3
    for path in (*segments, folder / "a.cut"):
        data = path.read_bytes()
        for remaining in (data[: len(data) // 2], b""):
            if path != segments[-1]:
                path.write_bytes(remaining) if remaining else path.unlink()
                store = DirectoryStore(str(folder), MAX_BYTES)
                store.replace("other", b"usable")
                with pytest.raises(StoreCorruptError, match="a.*"):
                    list(store.read("a"))
                store.close()
                path.write_bytes(data)
    assert [n for n, _ in DirectoryStore(str(folder), MAX_BYTES).read("a")] == list(
        range(4, 13)
    )


@pytest.mark.parametrize(
    "change",
    [
        "DELETE FROM entries WHERE number = 7",
        "DELETE FROM records WHERE name = 'vote'",
        "UPDATE entries SET number = number + 1000 WHERE number = 12",
        "UPDATE logs SET next = next - 1",
        "UPDATE records SET name = 'other'",
    ],
)
def test_an_sqlite_store_that_lacks_a_row_is_corrupt(change, folder):
    store = SqliteStore(str(folder), MAX_BYTES)
    store.replace("vote", b"1")
    for _ in range(12):
        store.append("a", b"2")
    assert store.db is not None
    assert store.db.execute("PRAGMA synchronous").fetchone() == (
        2,
    )  # FULL; a test that kills the process cannot show the fsync
    store.db.execute(change)
    store.close()
    with pytest.raises(StoreCorruptError):
        list(SqliteStore(str(folder), MAX_BYTES).read("a"))


def test_an_sqlite_store_with_inconsistent_pages_is_detected_on_open(folder):
    store = SqliteStore(str(folder), MAX_BYTES)
    for _ in range(30):
        store.append("a", bytes(1000))
    store.cut("a", 31)
    store.close()
    file = folder / "store.db"
    data = bytearray(file.read_bytes())
    assert data[36:40] > bytes(4)  # the number of free pages in the header
    data[36:40] = bytes(4)
    file.write_bytes(data)
    with pytest.raises(StoreCorruptError):
        SqliteStore(str(folder), MAX_BYTES)


def test_an_sqlite_store_without_free_space_is_full_until_space_is_freed(folder):
    store = SqliteStore(str(folder), MAX_BYTES)
    assert store.db is not None
    store.replace("vote", b"1")
    (pages,) = store.db.execute("PRAGMA page_count").fetchone()
    store.db.execute(f"PRAGMA max_page_count = {pages}")
    for call in (store.replace, store.append):
        with pytest.raises(StoreFullError):
            call("vote", bytes(20_000))
    assert contents(store) == {"records": {"vote": b"1"}, "logs": {}}
    store.db.execute("PRAGMA max_page_count = 1000")
    assert store.append("a", bytes(20_000)) == 1
