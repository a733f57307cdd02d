"""Lets the processes of one node detect each other during a process upgrade.

In a process upgrade two processes of one node accept from one inherited socket and must keep within the
limits of one node together. Each holds a locked file in `$TMPDIR`. The lock, not the file, shows that its
process is alive: the file of a killed process is removed by the first process that finds it.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from contextlib import suppress
from dataclasses import dataclass
from hashlib import blake2b

REGISTER_ATTEMPTS = (
    4  # largest number of attempts to create and lock this process's file
)
SIBLING_CHECK_INTERVAL_S = 0.2
FILE_SUFFIX = ".node"
FILE_BYTES = 64  # size of a process's file; unused bytes are spaces
NAME_DIGEST_BYTES = 6  # length of the digest of the node's name in file names
NO_FILE = -1  # stands for a missing file descriptor


@dataclass(frozen=True)
class SiblingProcesses:
    """The other live processes of this node.

    Attributes:
        count: Number of the processes.
        descriptors: Number of descriptors that they use together.
        draining: Whether all of them are draining.
    """

    count: int = 0
    descriptors: int = 0
    draining: bool = False


NO_SIBLINGS = SiblingProcesses()


class ProcessRegistry:
    """Publishes this process's state in a locked file, and reads the files of the node's other processes.

    No method raises an OSError: without a usable file, the node continues as if it had a single process.

    Args:
        node_name: The node's name.
        folder: Folder of the files; None: the processes cannot detect each other.

    Attributes:
        prefix: Beginning of the names of this node's files.
        path: Path of this process's file; empty until it is created.
        file: Descriptor of this process's file, or NO_FILE.
        published: The content that was written last.
    """

    def __init__(self, node_name: str, folder: str | None) -> None:
        self.folder = os.path.abspath(folder) if folder else None
        digest = blake2b(node_name.encode(), digest_size=NAME_DIGEST_BYTES)
        self.prefix = f"{digest.hexdigest()}-"
        self.path = ""
        self.file = NO_FILE
        self.published = b""

    def register(self) -> None:
        """Creates and locks this process's file."""
        if self.folder is None:
            return
        for _ in range(REGISTER_ATTEMPTS):
            try:
                self.file, self.path = tempfile.mkstemp(
                    FILE_SUFFIX, self.prefix, self.folder
                )
                fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                if os.path.exists(self.path):
                    return
            except OSError:
                pass
            # Another process took the file for a dead process's and removed it before it was locked, or the
            # file could not be created.
            self.unregister()

    def publish(self, descriptors: int, draining: bool) -> None:
        """Writes this process's state for the other processes.

        Args:
            descriptors: Number of descriptors that are not available to other processes.
            draining: Whether this process is draining.
        """
        text = b"%d %d\n" % (descriptors, draining)
        if self.file >= 0 and text != self.published:
            self.published = text
            with suppress(OSError):
                os.pwrite(self.file, text.ljust(FILE_BYTES), 0)

    def siblings(self) -> SiblingProcesses:
        """Returns the state of the node's other live processes, and removes files of dead ones."""
        if self.folder is None:
            return NO_SIBLINGS
        count = descriptors = 0
        draining = True
        try:
            names = sorted(os.listdir(self.folder))
        except OSError:
            return NO_SIBLINGS
        for name in names:
            path = os.path.join(self.folder, name)
            if not self.is_file_of_node(name) or path == self.path:
                continue
            state = self.read(path)
            if state is not None:
                count += 1
                descriptors += state[0]
                draining = draining and state[1]
        if not count:
            return NO_SIBLINGS
        return SiblingProcesses(count, descriptors, draining)

    def is_file_of_node(self, name: str) -> bool:
        """Returns whether a file name belongs to a process of this node."""
        return name.startswith(self.prefix) and name.endswith(FILE_SUFFIX)

    def read(self, path: str) -> tuple[int, bool] | None:
        """Reads the descriptors and the draining state of a live process.

        Returns:
            The number of descriptors and whether the process is draining; None for a dead process, whose file
            is removed.
        """
        try:
            file = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:  # locked, so its process is alive
            with suppress(OSError, ValueError):
                descriptors, draining = os.pread(file, FILE_BYTES, 0).split()
                return int(descriptors), draining == b"1"
            return 0, False
        else:
            with suppress(OSError):
                os.unlink(path)
            return None
        finally:
            os.close(file)

    def unregister(self) -> None:
        """Removes this process's file."""
        if self.file >= 0:
            with suppress(OSError):
                os.unlink(self.path)
            os.close(self.file)
            self.file = NO_FILE
