"""Tests the calls of many processes together to cold servers, with balancers only and in virtual time.

The model has servers with a number of slots and a service time that is longer while they are cold, Poisson
arrivals, and a number of balancers that have their own seeds and share no state. The calls that arrive at a
cold server in a window are compared with N, the number that the settings allow in `overload_window`
(`overload_multiple` x present capacity x window), and with N + 2 sqrt(N) + 2.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from math import sqrt
from random import Random
from typing import Any

import pytest
from support import SAFE, SEC, Recorder

from loadbalancer.lab.swarm import cold
from loadbalancer.policy.api import (
    EndpointEntry,
    EndpointState,
    ListUpdateKind,
    Outcome,
    Settings,
)
from loadbalancer.policy.balancer import Balancer


class Machine:
    """A server that serves `slots` calls at a time; a call of mean work takes `service` seconds when warm."""

    def __init__(self, slots: int, service: float) -> None:
        self.slots, self.service, self.started = slots, service, -(10**12)
        self.capacity = slots / service  # calls of mean work per second
        # When each slot becomes free, in seconds.
        self.busy: list[float] = [0.0] * slots
        # When each call that the server holds ends, in seconds.
        self.call_ends: list[float] = []
        self.arrivals: list[tuple[int, float]] = []


class Fleet:
    """Balancers of several processes and their servers; `at` schedules events and `play` runs them."""

    def __init__(
        self,
        processes: int,
        servers: int,
        rate: float,  # calls per second over all processes
        service: float = 0.02,  # time of a call of mean work, in seconds
        slots: int = 2,
        seed: int = 1,
        weights: list[float] | None = None,  # of the processes in the traffic
        works: tuple[float, ...] = (1.0,),  # by class, with equal probabilities; mean 1
        rules: dict[str, Any] | None = None,
        configured_processes: int | None = None,  # number of processes in the settings
        speeds: tuple[float, ...] = (1.0,),  # by kind of machine, in turn
    ) -> None:
        self.rng = Random(seed)
        self.rate, self.works, self.burst = rate, works, 1.0
        count = configured_processes or processes
        aim = max(SEC // 2, int(10 * service * SEC))
        klass = replace(SAFE, latency_objective=aim, deadline=3 * aim)
        self.settings = Settings(
            classes=(klass,) * len(works),
            max_attempts=3,
            cancel=True,
            slow_start_time=22 * SEC,
            slow_start_initial_share=0.12,
            overload_multiple=3.0,
            overload_window=3 * SEC,
            report_fields=("inflight",),
            instances=count,
        )
        self.settings = replace(self.settings, **(rules or {}))
        self.weights = weights or [1.0] * processes
        self.entries = [
            EndpointEntry(i, kind=i % len(speeds)) for i in range(1, servers + 1)
        ]
        self.machines = {
            e.endpoint: Machine(slots, service / speeds[e.kind]) for e in self.entries
        }
        self.nodes: list[tuple[Balancer, Recorder]] = []
        self.now, self.last, self.sent, self.rejected = 0, 0, 0, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.attempts: dict[tuple[int, int], tuple[int, int]] = {}
        self.count = count
        for i in range(processes):
            self.nodes.append(self.process(i))
        self.arrive()

    def process(self, i: int) -> tuple[Balancer, Recorder]:
        recorder = Recorder()
        index = i % self.count
        node = Balancer(
            replace(self.settings, index=index), self.rng.getrandbits(60), recorder
        )
        node.start(self.now)
        node.update_endpoints(self.now, ListUpdateKind.CACHED, self.entries)
        recorder.take()
        return node, recorder

    def restart_process(self, i: int) -> None:
        """Kills and restarts process i; its open requests are lost."""
        self.nodes[i] = self.process(i)

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.last += 1
        heapq.heappush(self.events, (int(when * SEC), self.last, what))

    def arrive(self) -> None:
        gap = self.rng.expovariate(self.rate * self.burst)
        self.at(self.now / SEC + gap, self.send_request)

    def send_request(self) -> None:
        self.arrive()
        (i,) = self.rng.choices(range(len(self.weights)), self.weights)
        klass = self.rng.randrange(len(self.works))
        self.last += 1
        request = self.last
        left = self.settings.classes[0].deadline
        self.nodes[i][0].request(self.now, request, klass, 0, left, False)
        self.handle_actions(i, klass)

    def handle_actions(self, i: int, klass: int) -> None:
        node = self.nodes[i]
        for name, *args in node[1].take():
            if name == "send":
                self.serve(i, klass, *args)
            elif name in ("reject", "fail"):
                self.rejected += 1
            elif name == "set_timer":
                self.at(
                    (self.now + args[0]) / SEC,
                    lambda t=args[1]: self.fire_timer(node, i, t),
                )

    def fire_timer(self, node: Any, i: int, token: int) -> None:
        if self.nodes[i] is node:
            node[0].timer(self.now, token)
            self.handle_actions(i, 0)

    def serve(
        self, i: int, klass: int, request: int, server: int, timeout: int
    ) -> None:
        m, now, node = self.machines[server], self.now / SEC, self.nodes[i]
        self.sent += 1
        m.arrivals.append((self.now, self.works[klass]))
        while m.call_ends and m.call_ends[0] <= now:
            heapq.heappop(m.call_ends)
        held = len(m.call_ends) + 1
        work = (
            self.works[klass]
            * m.service
            * self.rng.expovariate(1.0)
            / self.warmth(m, self.now)
        )
        begin = max(now, heapq.heappop(m.busy))
        ends = begin + work
        heapq.heappush(m.busy, ends if ends < now + timeout / SEC else begin)
        heapq.heappush(m.call_ends, min(ends, now + timeout / SEC))
        late = ends >= now + timeout / SEC
        outcome = Outcome.TIMEOUT if late else Outcome.OK
        ends = min(ends, now + timeout / SEC)
        attempt = node[0].requests[request].attempts - 1
        took = int((ends - now) * SEC)

        def ended() -> None:
            if self.nodes[i] is node:
                node[0].outcome(
                    self.now,
                    request,
                    attempt,
                    server,
                    outcome,
                    took,
                    outcome == Outcome.OK,
                    (held - 1,),
                )
                self.handle_actions(i, klass)

        self.at(ends, ended)

    def warmth(self, m: Machine, now: float) -> float:
        s = self.settings
        return min(
            1.0,
            s.slow_start_initial_share
            + (1 - s.slow_start_initial_share) * (now - m.started) / s.slow_start_time,
        )

    def restart(
        self, servers: list[int], spread: float = 0.0, notify_delay: float = 0.0
    ) -> None:
        """Restarts servers; processes are notified after `notify_delay` plus up to `spread` seconds."""
        entries = [replace(self.entries[n - 1], started_at=self.now) for n in servers]
        for n in servers:
            m = self.machines[n]
            m.started, m.arrivals, m.call_ends, m.busy = (
                self.now,
                [],
                [],
                [0.0] * m.slots,
            )
            m.busy = [self.now / SEC] * m.slots
            self.entries[n - 1] = entries[servers.index(n)]
        for i in range(len(self.nodes)):
            when = self.now / SEC + notify_delay + spread * self.rng.random()

            def notify(i: int = i) -> None:
                self.nodes[i][0].update_endpoints(
                    self.now, ListUpdateKind.CHANGES, entries
                )
                self.handle_actions(i, 0)

            if spread or notify_delay:
                self.at(when, notify)
            else:
                notify()

    def play(self, until: float) -> Fleet:
        while self.events and self.events[0][0] <= until * SEC:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = int(until * SEC)
        return self

    def lose(self, servers: list[int]) -> None:
        """Removes servers and notifies all processes at once."""
        for i, (node, _) in enumerate(self.nodes):
            entries = [
                replace(self.entries[n - 1], state=EndpointState.GONE) for n in servers
            ]
            node.update_endpoints(self.now, ListUpdateKind.CHANGES, entries)
            self.handle_actions(i, 0)

    def worst(self, servers: list[int]) -> tuple[float, float, float]:
        """Returns arrivals relative to N: the worst window by N + 2 sqrt(N) + 2, and by N, and the mean."""
        s, parts, most, mean = self.settings, 0.0, 0.0, []
        for n in servers:
            m = self.machines[n]
            first, total, queue = 0, 0.0, m.arrivals
            for at, work in queue:
                total += work
                while queue[first][0] <= at - s.overload_window:
                    total -= queue[first][1]
                    first += 1
                if at >= m.started + s.slow_start_time:
                    break
                begin = max(m.started, at - s.overload_window)
                allowed = (
                    s.overload_multiple
                    * self.warmth(m, (begin + at) / 2)
                    * m.capacity
                    * s.overload_window
                    / SEC
                )
                parts = max(parts, total / (allowed + 2 * sqrt(allowed) + 2))
                most = max(most, total / allowed)
            end = min(self.now, m.started + s.slow_start_time)
            span = (end - m.started) / s.slow_start_time
            area = (
                (
                    s.slow_start_initial_share * span
                    + (1 - s.slow_start_initial_share) * span * span / 2
                )
                * s.slow_start_time
                / SEC
            )
            mean.append(
                sum(w for at, w in queue if at < end)
                / (s.overload_multiple * m.capacity * area)
            )
        return parts, most, sum(mean) / len(mean)


KINDS = (1.6, 0.95, 0.55)  # speeds of different kinds of machines
WORKS = (0.5, 1.05, 1.05, 0.5, 1.05, 1.9, 0.5, 1.05, 0.5, 1.9)
RAMP = {"slow_start_time": 12 * SEC}
AT = 9  # when servers restart, in seconds
EVERY = list(range(1, 21))


def mass(processes: int, seed: int, load: float, **more: Any) -> Fleet:
    """Twenty servers with a mean capacity of 20 calls of mean work per second, at a fraction of it."""
    return Fleet(
        processes, 20, 400 * load, service=0.1, seed=seed, **({"rules": RAMP} | more)
    )


def alone(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """One of the servers restarts; one process has ten times the traffic of the others."""
    fleet = mass(processes, seed, 0.7, weights=[10.0] + [1.0] * (processes - 1))
    fleet.at(AT, lambda: fleet.restart([1]))
    return fleet, [1]


def half(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """Half of the servers restart, processes are notified within 2 s, and traffic triples for 3 s.

    Machines and classes differ.
    """
    fleet = mass(processes, seed, 0.7, speeds=KINDS, works=WORKS)
    fleet.at(AT, lambda: fleet.restart(EVERY[:10], spread=2.0))
    for when, burst in ((AT + 3, 3.0), (AT + 6, 1.0)):
        fleet.at(when, lambda burst=burst: setattr(fleet, "burst", burst))
    return fleet, EVERY[:10]


def every(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """All servers restart at once after a time of late calls."""
    fleet = mass(processes, seed, 1.1, speeds=KINDS, works=WORKS)
    fleet.at(AT, lambda: fleet.restart(EVERY))
    return fleet, EVERY


def steps(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """Servers restart in steps, some twice, and half of the processes restart with a stale process count."""
    fleet = mass(
        processes, seed, 0.8, configured_processes=50 - processes, speeds=KINDS
    )
    for i in range(12):
        fleet.at(AT + 0.5 * i, lambda i=i: fleet.restart([1 + i % 9]))
    for i in range(0, processes, 2):
        fleet.at(AT + 0.2 * i, lambda i=i: fleet.restart_process(i))
    return fleet, EVERY[:9]


def outage(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """All servers are gone for 4 s and three different ones return, each shared by more processes."""
    fleet = mass(processes, seed, 0.9, speeds=KINDS, works=WORKS, rules={})
    fleet.at(AT - 4, lambda: fleet.lose(EVERY))
    fleet.at(AT, lambda: fleet.restart(EVERY[:3]))
    return fleet, EVERY[:3]


def small(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """N is about 1 at the start, which is less than one call for each process."""
    fleet = Fleet(processes, 20, 14, service=2.0, seed=seed, speeds=KINDS)
    fleet.at(15, lambda: fleet.restart(EVERY[:10]))
    return fleet, EVERY[:10]


def long(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """The window is 10 s long, and every token bucket fills in a time of little traffic."""
    fleet = mass(processes, seed, 0.8, rules=RAMP | {"overload_window": 10 * SEC})
    fleet.at(AT, lambda: fleet.restart(EVERY[:10]))
    for when, burst in ((AT + 1, 0.05), (AT + 4, 1.0)):
        fleet.at(when, lambda burst=burst: setattr(fleet, "burst", burst))
    return fleet, EVERY[:10]


def narrow(processes: int, seed: int) -> tuple[Fleet, list[int]]:
    """1.5 times the capacity overloads a server, and machines differ."""
    fleet = mass(
        processes,
        seed,
        0.9,
        speeds=KINDS,
        works=WORKS,
        rules=RAMP | {"overload_multiple": 1.5},
    )
    fleet.at(AT, lambda: fleet.restart(EVERY[:10]))
    return fleet, EVERY[:10]


CASES = (alone, half, every, steps, outage, small, long, narrow)


def played(
    case: Callable[[int, int], tuple[Fleet, list[int]]], processes: int, seed: int
) -> tuple[Any, ...]:
    fleet, servers = case(processes, seed)
    fleet.play(AT + 13 if case is not small else 38)
    return (*fleet.worst(servers), fleet)


@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_all_processes_together_keep_cold_servers_within_budget(case, processes):
    bound, _, mean, _ = played(case, processes, 2)
    assert bound <= 1
    assert mean > 0.03  # cold servers do get calls


@pytest.mark.parametrize("load", [0.9, 1.3])
def test_learned_rates_of_all_processes_add_up_to_server_capacity(load):
    """Failure prevented: the busiest windows of thirty processes add up to twice a server's capacity."""
    fleet = Fleet(30, 20, 400 * load, service=0.1)
    fleet.at(15, lambda: fleet.restart(EVERY[:14]))
    fleet.play(27)
    together = sum(
        node.slow_start.warm_rate * len(node.subset.members) / 20
        for node, _ in fleet.nodes
    )
    assert 0.6 * 20 < together < 1.5 * 20


def test_swarm_metric_counts_the_worst_window_of_all_processes():
    n = cold.budget(3.0, 10.0, 2.0)
    assert n == pytest.approx(3.0 * (0.12 + 0.88 * 0.15) * 2.0 * 3.0)
    arrivals = {
        "n0": [(99.0, 5), (101.0, 5), (103.5, 5), (120.0, 5)],
        "n1": [(101.0, 5), (102.9, 5), (101.0, 4)],
    }
    found = cold.figures(arrivals, {5: 100.0, 7: 100.0}, 10.0, 2.0)
    assert (
        found["cold_calls"] == 4
    )  # not before the start, not once warm, and not at a server that did not start
    windows = [
        (calls, cold.budget(age, 10.0, 2.0))
        for calls, age in ((2, 1.0), (3, 2.9), (4, 3.5))
    ]
    assert found["cold_of_n"] == pytest.approx(max(calls / n for calls, n in windows))
    assert found["cold_of_bound"] == pytest.approx(
        max(calls / (n + 2 * sqrt(n) + 2) for calls, n in windows)
    )
    assert cold.figures(arrivals, {7: 100.0}, 10.0, 2.0) == {}


if __name__ == "__main__":
    print(
        "case, processes: of N + 2 sqrt(N) + 2, of N in any window; of N over the ramp (most of five seeds)"
    )
    for case in CASES:
        for processes in (20, 30):
            found = [played(case, processes, seed)[:3] for seed in range(1, 6)]
            most = [max(column) for column in zip(*found, strict=True)]
            print(
                f"{case.__name__}, {processes}: {most[0]:.2f}, {most[1]:.2f}; {most[2]:.2f}",
                flush=True,
            )
