"""Opens the store that the operator configuration selects; imports only the module of that store."""

from __future__ import annotations

import os
from dataclasses import dataclass
from hashlib import sha256
from typing import Literal
from urllib.parse import quote

from loadbalancer.stores.common import DEFAULT_MAX_BYTES
from loadbalancer.stores.interface import Store
from loadbalancer.stores.memory import MemoryStore

# Folder under $TMPDIR of stores without a configured path. It must not change: existing data lies there.
DEFAULT_FOLDER = "brackenladder-stores"

# Long names of nodes are truncated and distinguished by a digest. These must not change for the same reason.
MAX_FOLDER_CHARACTERS = 128
PREFIX_CHARACTERS = 100
DIGEST_CHARACTERS = 16

StoreKind = Literal["memory", "directory", "sqlite"]


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Configuration of a node's store.

    Attributes:
        kind: Which implementation is used.
        path: The folder that has a folder for each node; empty for one under $TMPDIR, or under
            /tmp if that is not set.
        max_bytes: Bound of the store in bytes.
        durable: Whether the folder survives a restart of the machine.
    """

    kind: StoreKind = "memory"
    path: str = ""
    max_bytes: int = DEFAULT_MAX_BYTES
    durable: bool = False


def open_store(config: StoreConfig | None, name: str) -> Store:
    """Opens the store of the node `name` in its own folder; without a configuration, a store in memory.

    Raises:
        StoreLockedError: Another process has it open; during an upgrade, that is the previous process.
        StoreError: It cannot be opened.
    """
    if config is None or config.kind == "memory":
        return MemoryStore(config.max_bytes if config else DEFAULT_MAX_BYTES)
    if config.kind == "directory":
        from loadbalancer.stores.directory import DirectoryStore

        return DirectoryStore(
            node_folder(config, name), config.max_bytes, config.durable
        )
    from loadbalancer.stores.sqlite import SqliteStore

    return SqliteStore(node_folder(config, name), config.max_bytes, config.durable)


def node_folder(config: StoreConfig, name: str) -> str:
    """Returns the folder of a node's files, which is inside the configured path and unique for any name."""
    folder = "node-" + quote(name, safe="")
    if len(folder) > MAX_FOLDER_CHARACTERS:
        digest = sha256(name.encode()).hexdigest()[:DIGEST_CHARACTERS]
        folder = folder[:PREFIX_CHARACTERS] + "-" + digest
    default = os.path.join(os.environ.get("TMPDIR", "/tmp"), DEFAULT_FOLDER)
    return os.path.join(config.path or default, folder)
