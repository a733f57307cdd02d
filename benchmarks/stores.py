"""What a store's calls cost on the disk under a folder.

    python -m benchmarks.stores FOLDER [--entries 10000] [--size 300]

For each kind: replaces of one record and appends to one log, each call on its own, then the bytes on the disk
and the time to open the store and to read the log again. `fsync` appends the same bytes to a plain file and
syncs it: the floor on this disk.
"""

from __future__ import annotations

import argparse
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from statistics import quantiles
from time import perf_counter

from loadbalancer.stores.factory import StoreConfig, StoreKind, open_store

KINDS: tuple[StoreKind, ...] = ("memory", "directory", "sqlite")


def timed(call: Callable[[], object], times: int) -> str:
    """Microseconds at p50, p99 and worst."""
    took = []
    for _ in range(times):
        began = perf_counter()
        call()
        took.append((perf_counter() - began) * 1e6)
    cuts = quantiles(took, n=100)
    return f"{cuts[49]:8.0f} {cuts[98]:8.0f} {max(took):8.0f}"


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("folder")
    parser.add_argument("--entries", type=int, default=10_000)
    parser.add_argument("--size", type=int, default=300)
    wish = parser.parse_args()
    data = os.urandom(wish.size)
    print(
        "us: p50, p99, worst           replace                     append    bytes      open ms  read ms"
    )
    with tempfile.TemporaryDirectory(dir=wish.folder) as folder:
        with open(Path(folder, "plain"), "ab", 0) as file:

            def plain() -> None:
                file.write(data)
                os.fsync(file.fileno())

            print(f"{'fsync':10} {'':26} {timed(plain, 1000)}", flush=True)
        for kind in KINDS:
            lasts = kind != "memory"
            place = StoreConfig(
                kind, folder if lasts else "", max_bytes=64 << 20, durable=lasts
            )
            store = open_store(place, kind)
            replaces = timed(lambda store=store: store.replace("vote", data), 1000)  # type: ignore[misc]
            appends = timed(lambda store=store: store.append("log", data), wish.entries)  # type: ignore[misc]
            files = [
                path
                for path in Path(folder, f"node-{kind}").rglob("*")
                if path.is_file()
            ]
            size = sum(path.stat().st_size for path in files)
            if lasts:
                store.close()
                began = perf_counter()
                store = open_store(place, kind)
            else:
                began = perf_counter()
            opened = perf_counter()
            count = sum(1 for _ in store.read("log"))
            read = perf_counter()
            assert count == wish.entries
            print(
                f"{kind:10} {replaces} {appends} {size or store.size():10}"
                f" {(opened - began) * 1000:9.1f} {(read - opened) * 1000:8.1f}",
                flush=True,
            )
            store.close()


if __name__ == "__main__":
    main()
