"""Code shared by all stores: the check of names, the default bound, and errors of closed and full stores."""

from __future__ import annotations

import re

from loadbalancer.stores.interface import StoreError, StoreFullError

DEFAULT_MAX_BYTES = 16 << 20  # bound of a store if none is configured
# Bytes that count towards the bound for each record, entry and log, in addition to its data, in memory and
# SQLite stores; a directory store counts the bytes of its files.
ITEM_OVERHEAD_BYTES = 64

NAME_PATTERN = re.compile(r"[a-z0-9_-]{1,64}")


def check_name(name: str, where: str) -> str:
    """Returns the name of a record or log if it is valid.

    The check keeps names that are paths from reaching the file system.

    Raises:
        StoreError: The name is not 1 to 64 of a-z, 0-9, '-' and '_'.
    """
    if not NAME_PATTERN.fullmatch(name):
        raise StoreError(
            f"{name!r:.100} is not a valid name of a record or log",
            where,
            "report it as a fault of the program: names are 1 to 64 characters of a-z 0-9 - _",
        )
    return name


def closed_error(where: str) -> StoreError:
    """Returns the error of a call after `close`."""
    return StoreError(
        "the store is closed",
        where,
        "report it as a fault of the program: the store was used after the node had stopped",
    )


def full_error(wanted_bytes: int, max_bytes: int, where: str) -> StoreFullError:
    """Returns the error of a write that would bring the bytes in use to `wanted_bytes`."""
    return StoreFullError(
        f"{wanted_bytes} bytes in all would exceed the store's bound of {max_bytes}",
        where,
    )
