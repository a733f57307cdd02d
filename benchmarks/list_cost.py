"""What a changed line of the server list, a whole list and a request cost the module, by size of the fleet.

    python -m benchmarks.list_cost [--sizes 100,1000,10000,50000,100000] [--json] [--claim]

Medians of wall time for one event, one instance, no host behind it. Changes take out and put back one server
at a time, as a rolling deploy does; half of them are of members of this copy's subset, half are not.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
import tracemalloc
from random import Random
from statistics import median
from time import perf_counter

from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Outcome,
    RequestClass,
    Settings,
)
from loadbalancer.policy.balancer import Balancer

CHANGES = 200
PART = 100  # servers in one part of a whole list, as the node takes it
REQUESTS = 2000
CLASSES = (
    RequestClass(
        Idempotency.IDEMPOTENT,
        latency_objective=500_000,
        deadline=2_000_000,
        priority_weight=1.0,
    ),
)


class Host:
    """Takes down where a request was sent, and nothing else."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, int]] = []
        self.timers: list[int] = []

    def send(self, request: int, server: int, timeout: int) -> None:
        self.sent.append((request, server))

    def set_timer(self, delay: int, token: int) -> None:
        self.timers.append(token)

    def __getattr__(self, name: str):  # the other actions change nothing here
        return lambda *args: None


def timed(call, *args) -> float:
    began = perf_counter()
    call(*args)
    return (perf_counter() - began) * 1e6


def renamed(parts: list[list[EndpointEntry]]) -> list[list[EndpointEntry]]:
    """A list of as many servers, none of which is in the one before."""
    return [
        [EndpointEntry(e.endpoint + (1 << 33), kind=e.kind) for e in part]
        for part in parts
    ]


def measure(servers: int) -> dict[str, float]:
    """Microseconds for one event, and bytes for each listed server."""
    rng = Random(servers)
    ids = rng.sample(range(1, 1 << 32), servers)
    host = Host()
    entries = [EndpointEntry(i, kind=i % 3) for i in ids]
    tracemalloc.start()
    node = Balancer(
        Settings(classes=CLASSES, instances=100, index=7, max_attempts=3), 1, host
    )
    node.start(0)
    before = tracemalloc.get_traced_memory()[0]
    node.update_endpoints(0, ListUpdateKind.CACHED, entries)
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
    lists: dict[str, tuple[float, float]] = {}
    changes = []
    for i in range(CHANGES):
        member = i % 2 == 0 and bool(node.subset.members)
        id = rng.choice(node.subset.members).id if member else rng.choice(ids)
        for state in (EndpointState.DRAINING, EndpointState.READY):
            now += 1000
            entry = EndpointEntry(
                id,
                state,
                kind=id % 3,
                started_at=now if state == EndpointState.READY else 0,
            )
            changes.append(
                timed(node.update_endpoints, now, ListUpdateKind.CHANGES, [entry])
            )
    parts = [entries[i : i + PART] for i in range(0, servers, PART)]
    others = renamed(parts)
    gc.collect()
    gc.freeze()  # as the node does after its start: what the benchmark holds itself is not walked through
    for kind, whole in (("same", parts), ("other", others)):
        events = []
        for i, part in enumerate(whole):
            events.append(
                timed(
                    node.update_endpoints,
                    now,
                    ListUpdateKind.FULL,
                    part,
                    i + 1 < len(whole),
                )
            )
        while host.timers:
            events.append(timed(node.timer, now, host.timers.pop()))
        lists[kind] = (sum(events), max(events))
    return {
        "servers": servers,
        "change_us": median(changes),
        "change_most_us": max(changes),
        "full_ms": lists["same"][0] / 1000,
        "part_most_ms": lists["same"][1] / 1000,
        "renamed_ms": lists["other"][0] / 1000,
        "renamed_part_most_ms": lists["other"][1] / 1000,
        "request_us": median(requests),
        "bytes_a_server": held / servers,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="100,1000,10000,50000,100000")
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--claim",
        action="store_true",
        help="exit 1 if a change at 50,000 costs over 3 times one at 1,000",
    )
    arguments = parser.parse_args()
    rows = [measure(int(size)) for size in arguments.sizes.split(",")]
    if arguments.json:
        print(json.dumps(rows))
    else:
        print("          one change      whole list, same   whole list, renamed")
        print(
            " servers  us    most us   ms   most/part ms  ms   most/part ms   request us  bytes/server"
        )
        for r in rows:
            print(
                f"{r['servers']:>8} {r['change_us']:>5.0f} {r['change_most_us']:>7.0f}"
                f" {r['full_ms']:>7.1f} {r['part_most_ms']:>9.2f}"
                f" {r['renamed_ms']:>9.1f} {r['renamed_part_most_ms']:>9.2f}"
                f" {r['request_us']:>12.1f} {r['bytes_a_server']:>12.0f}"
            )
    if arguments.claim:
        cost = {r["servers"]: r["change_us"] for r in rows}
        ratio = cost[50_000] / cost[1_000]
        print(
            f"a change at 50,000 servers costs {ratio:.2f} times one at 1,000 (at most 3)"
        )
        sys.exit(ratio > 3)


if __name__ == "__main__":
    main()
