"""Simulates a disk with a volatile cache.

It records a store's file operations, and computes the files that would be found if the process were killed or
power were lost at any byte of them.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from random import Random

from loadbalancer.stores.files import Files

SECTOR_BYTES = 512


class Inode:
    def __init__(self) -> None:
        self.data = bytearray()  # as a reader sees it
        self.durable = b""  # as of the last fsync


class State:
    """The names and files after some events, as readers see them and as they are on the disk."""

    def __init__(self, events: Iterable[tuple] = ()) -> None:
        self.names: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.pending: list[
            dict[str, Inode | None]
        ] = []  # changes of names since the last fsync of the folder
        for event in events:
            play(self, event)

    def change(self, names: dict[str, Inode | None]) -> None:
        self.pending.append(names)
        apply_names(self.names, names)

    def after_failure(self, mode: str, rng: Random) -> dict[str, bytes]:
        """Returns the files found after a failure.

        The mode is "kill", or for a loss of power the share of the cache that was on the disk: "none" or
        "some".
        """
        if mode == "kill":
            return {name: bytes(inode.data) for name, inode in self.names.items()}
        names = dict(self.durable)
        for change in self.pending:
            if mode == "some" and rng.random() < 0.5:
                apply_names(names, change)
        return {
            file_name: partly_written(inode, rng) if mode == "some" else inode.durable
            for file_name, inode in names.items()
        }


def apply_names(names: dict[str, Inode], change: dict[str, Inode | None]) -> None:
    for name, inode in change.items():
        if inode is None:
            names.pop(name, None)
        else:
            names[name] = inode


def partly_written(inode: Inode, rng: Random) -> bytes:
    """Returns a file of which a random part of the unsynced data is on the disk.

    The new length may be on the disk without the data, which then reads as zeros.
    """
    data, synced_size = bytes(inode.data), len(inode.durable)
    case = rng.random()
    if case < 0.3:
        return inode.durable
    if case < 0.6 or not data.startswith(inode.durable):  # the latter: it was truncated
        return data
    kept = rng.randint(synced_size, len(data))
    if rng.random() < 0.5:
        return data[:kept]
    kept = max(synced_size, kept // SECTOR_BYTES * SECTOR_BYTES)
    return data[:kept] + bytes(len(data) - kept)


class RecordingFiles(Files):
    """Performs the operations of `Files` and records them as events."""

    def __init__(self) -> None:
        self.events: list[tuple] = []
        self.open_files: dict[int, str] = {}

    def open(self, path: str, flags: int) -> int:
        descriptor = super().open(path, flags)
        name = os.path.basename(path)
        self.open_files[descriptor] = "" if flags & os.O_DIRECTORY else name
        if flags & os.O_CREAT:
            self.events.append(("create", name))
        return descriptor

    def write(self, descriptor: int, data: bytes) -> None:
        super().write(descriptor, data)
        self.events.append(("write", self.open_files[descriptor], bytes(data)))

    def sync(self, descriptor: int) -> None:
        self.events.append(("sync", self.open_files[descriptor]))

    def truncate(self, descriptor: int, size: int) -> None:
        super().truncate(descriptor, size)
        self.events.append(("truncate", self.open_files[descriptor], size))

    def rename(self, old: str, new: str) -> None:
        super().rename(old, new)
        self.events.append(("rename", os.path.basename(old), os.path.basename(new)))

    def unlink(self, path: str) -> None:
        super().unlink(path)
        self.events.append(("unlink", os.path.basename(path)))


def play(state: State, event: tuple, part: int | None = None) -> None:
    """Applies an event to the state.

    With a `part`, only the first `part` bytes of a write are applied, and any other event is not.
    """
    kind, name, *rest = event
    if kind == "write":
        state.names[name].data += rest[0][:part]
    elif part is not None:
        return
    elif kind == "create":
        if name in state.names:
            state.names[name].data.clear()
        else:
            state.change({name: Inode()})
    elif kind == "sync" and name:
        state.names[name].durable = bytes(state.names[name].data)
    elif kind == "sync":
        state.durable = dict(state.names)
        state.pending.clear()
    elif kind == "truncate":
        del state.names[name].data[rest[0] :]
    elif kind == "rename":
        state.change({rest[0]: state.names[name], name: None})
    elif kind == "unlink":
        state.change({name: None})
