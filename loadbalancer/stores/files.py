"""File operations of the directory store; its tests replace them to inject faults."""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from loadbalancer.stores.interface import StoreError, StoreFullError, StoreLockedError

NO_SPACE_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class Files:
    """File operations by calls of the operating system. Each may raise an OSError."""

    def open(self, path: str, flags: int) -> int:
        """Opens a file, which only the node's user can access; returns its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Writes all of `data`."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def sync(self, descriptor: int) -> None:
        """Waits until the bytes of a file, or the names in a folder, are on the disk."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncates a file to `size` bytes."""
        os.ftruncate(descriptor, size)

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically, replacing a file of the new name."""
        os.rename(old, new)

    def unlink(self, path: str) -> None:
        """Removes a file."""
        os.unlink(path)


@contextmanager
def store_errors(where: str) -> Iterator[None]:
    """Converts an OSError to a StoreError, or to a StoreFullError if the disk is full.

    Args:
        where: Path that the error names if the OSError has none.
    """
    try:
        yield
    except OSError as error:
        kind = StoreFullError if error.errno in NO_SPACE_ERRNOS else StoreError
        problem = (error.strerror or str(error)).lower()
        raise kind(problem, error.filename or where) from error


def make_folder(path: str) -> None:
    """Creates a folder and its parents; an fsync after each makes it survive a loss of power."""
    if not os.path.isdir(path):
        parent = os.path.dirname(os.path.abspath(path))
        make_folder(parent)
        with suppress(FileExistsError):
            os.mkdir(path, 0o700)
        descriptor = os.open(parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def lock_file(path: str) -> int:
    """Creates and locks a file; returns its descriptor. The lock is released when the process exits.

    Raises:
        StoreLockedError: Another process holds the lock.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise StoreLockedError("another process has the store open", path) from None
    except OSError:
        os.close(descriptor)
        raise
    return descriptor
