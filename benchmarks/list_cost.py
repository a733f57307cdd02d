"""What a changed line of the server list, a whole list and a request cost the module, by size of the fleet.

    python -m benchmarks.list_cost [--sizes 100,1000,10000,50000,100000] [--json]

Medians of wall time for one event, one instance, no host behind it. Changes take out and put back one server
at a time, as a rolling deploy does; half of them are of members of this copy's subset, half are not.
"""

from __future__ import annotations

import argparse
import json
import tracemalloc
from random import Random
from statistics import median
from time import perf_counter

from brackenladder.balance import Balancer
from brackenladder.interface import ClassSettings, Effect, ListKind, Outcome, ServerEntry, Settings, State

CHANGES = 20
REQUESTS = 2000
CLASSES = (ClassSettings(Effect.SAFE, aim=500_000, deadline=2_000_000, worth=1.0),)


class Host:
    """Takes down where a request was sent, and nothing else."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, int]] = []

    def send(self, request: int, server: int, timeout: int) -> None:
        self.sent.append((request, server))

    def __getattr__(self, name: str):  # the other actions change nothing here
        return lambda *args: None


def timed(call, *args) -> float:
    began = perf_counter()
    call(*args)
    return (perf_counter() - began) * 1e6


def measure(servers: int) -> dict[str, float]:
    """Microseconds for one event, and bytes for each listed server."""
    rng = Random(servers)
    ids = rng.sample(range(1, 1 << 32), servers)
    host = Host()
    entries = [ServerEntry(i, kind=i % 3) for i in ids]
    tracemalloc.start()
    node = Balancer(Settings(classes=CLASSES, instances=100, index=7, max_attempts=3), 1, host)
    node.start(0)
    before = tracemalloc.get_traced_memory()[0]
    node.server_list(0, ListKind.CACHED, entries)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    now = 1_000_000
    requests = []
    for request in range(REQUESTS):
        now += 500
        began = perf_counter()
        node.request(now, request, 0, 0, 2_000_000, False)
        if host.sent:
            _, server = host.sent.pop()
            node.outcome(now + 400, request, 0, server, Outcome.OK, 20_000, True, ())
        requests.append((perf_counter() - began) * 1e6)
    changes = []
    for i in range(CHANGES):
        member = i % 2 == 0 and bool(node.members)
        id = rng.choice(node.members).id if member else rng.choice(ids)
        for state in (State.DRAINING, State.READY):
            now += 1000
            entry = ServerEntry(id, state, kind=id % 3, ready_at=now if state == State.READY else 0)
            changes.append(timed(node.server_list, now, ListKind.CHANGES, [entry]))
    full = timed(node.server_list, now + 1000, ListKind.FULL, entries)
    return {
        "servers": servers,
        "change_us": median(changes),
        "change_most_us": max(changes),
        "full_ms": full / 1000,
        "request_us": median(requests),
        "bytes_a_server": held / servers,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="100,1000,10000,50000,100000")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    rows = [measure(int(size)) for size in arguments.sizes.split(",")]
    if arguments.json:
        print(json.dumps(rows))
        return
    print(" servers  change us   most us   full ms  request us  bytes/server")
    for r in rows:
        print(
            f"{r['servers']:>8} {r['change_us']:>10.0f} {r['change_most_us']:>9.0f} {r['full_ms']:>9.1f}"
            f" {r['request_us']:>11.1f} {r['bytes_a_server']:>13.0f}"
        )


if __name__ == "__main__":
    main()
