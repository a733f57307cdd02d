"""The clients of a live run: arrivals at their own times, whatever the nodes do (open loop).

A wish's time runs from when it was due, not from when this process got to it: a node that stalls, and a
client that is late because of it, show in the percentiles. Tries, retries and patience follow the scenario as
in virtual time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Any

from loadbalancer.lab.clients import (
    FAILED,
    IN_TIME,
    LATE,
    LEFT,
    OUTCOMES,
    REFUSED,
    UNANSWERED,
    Arrival,
    Arrivals,
    Wish,
    busy_nodes,
)
from loadbalancer.lab.live.fleet import SOCKET_SLACK, request_bytes
from loadbalancer.lab.live.wire import Answer, Broken, Pool, Unreached
from loadbalancer.lab.measures import Measures
from loadbalancer.lab.rules import Ledger
from loadbalancer.lab.streams import Stream
from loadbalancer.lab.world import SECOND, World
from loadbalancer.policy.api import DeduplicationScope, Idempotency

LATE_SEND = 20_000  # microseconds: a send later than this after it was due is counted
RECHECK = 0.1  # seconds between two looks at a node that was dead


@dataclass(frozen=True)
class Target:
    """A node to send to."""

    host: str
    port: int
    zone: int = 0


class Door:
    """A node as the clients' front knows it."""

    def __init__(self, target: Target) -> None:
        self.zone = target.zone
        self.pool = Pool((target.host, target.port))
        self.open = True
        self.failing_since: float | None = None


class Load:
    """Sends a scenario's wishes to nodes and counts what comes back."""

    def __init__(self, world: World, targets: list[Target]) -> None:
        self.world = world
        self.doors = [Door(t) for t in targets]
        self.busy = {self.doors[i] for i in busy_nodes(world) if i < len(self.doors)}
        self.measures = Measures()
        self.ledger = Ledger(0)
        self.arrivals = Arrivals(world)
        self.front = Stream(world.seed, "front")
        self.stream = Stream(world.seed, "clients")
        self.classes = [c.settings for c in world.classes]
        self.retries = int(world.retries)
        self.useful_work = 0.0
        self.ids = 0
        self.late_sends = 0
        self.latest_send = 0
        self.zero = 0.0
        self.out: set[asyncio.Task[None]] = set()

    def now(self) -> int:
        """Microseconds since the day began."""
        return int((monotonic() - self.zero) * SECOND)

    async def play(self, told: Callable[[dict[str, int]], None] | None = None) -> None:
        """Plays the whole day and waits until every wish has ended; `told` hears the counts each second."""
        loop = asyncio.get_running_loop()
        self.zero = monotonic()
        start = loop.time()
        seconds = -(-self.world.length // SECOND)
        for second in range(seconds):
            rows = self.arrivals.second(
                second
            )  # drawn a second ahead of the first of them
            wait = start + second - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            for row in rows:
                loop.call_at(start + row[0] / SECOND, self.arrive, row)
            if told is not None:
                told(self.counts())
        await asyncio.sleep(max(0.0, start + self.world.length / SECOND - loop.time()))
        while self.out:
            await asyncio.wait(self.out)

    def arrive(self, row: Arrival) -> None:
        # Stand-in processes keep no answers yet
        at, class_index, tenant, zone, work, leaves, moment, _ = row
        behind = self.now() - at
        self.latest_send = max(self.latest_send, behind)
        self.late_sends += behind > LATE_SEND
        wish = Wish(class_index, tenant, zone, work, at)
        if leaves:
            wish.leaves_at = at + max(
                1, int(moment * self.classes[class_index].deadline)
            )
        task = asyncio.get_running_loop().create_task(self.serve(wish))
        self.out.add(task)
        task.add_done_callback(self.out.discard)

    async def serve(self, wish: Wish) -> None:
        """One wish, over all its tries, until it ends or its client leaves."""
        if not wish.leaves_at:
            await self.tries(wish)
            return
        try:
            async with asyncio.timeout((wish.leaves_at - self.now()) / SECOND):
                await self.tries(wish)
        except TimeoutError:
            self.end(wish, LEFT)

    async def tries(self, wish: Wish) -> None:
        c = self.classes[wish.class_index]
        mark = ""
        self.ids += 1
        name = f"w{self.ids:x}"
        while True:
            now = self.now()
            end = min(
                wish.born + c.deadline, now + int(c.deadline * self.world.try_share)
            )
            if end <= now:
                self.end(wish, UNANSWERED)
                return
            wish.tries += 1
            door = self.pick(wish.zone)
            if door is None:
                kind, harmless, wait = UNANSWERED, True, 0.0
            else:
                self.measures.tries += 1
                kind, harmless, wait = await self.one(wish, door, name, mark, end)
            if kind in (IN_TIME, LATE):
                took = self.now() - wish.born
                self.end(
                    wish,
                    IN_TIME
                    if took <= c.latency_objective
                    else LATE
                    if took <= c.deadline
                    else UNANSWERED,
                )
                return
            keyed = (
                c.idempotency == Idempotency.WITH_KEY
                and c.deduplication_scope == DeduplicationScope.ALL
                and self.now() < wish.born + c.idempotency_window
            )
            if wish.tries > self.retries or not (
                harmless or c.idempotency == Idempotency.IDEMPOTENT or keyed
            ):
                self.end(wish, kind)
                return
            clients = self.world.scenario.clients
            if not (wait and self.stream.random() < self.world.honour):
                wait = 0.0
                if clients.backoff == "fixed":
                    wait = self.world.backoff / SECOND
                elif clients.backoff == "exponential":
                    wait = (
                        self.world.backoff
                        / SECOND
                        * 2 ** (wish.tries - 1)
                        * self.stream.between(0.5, 1.5)
                    )
            if self.now() + wait * SECOND >= wish.born + c.deadline:
                self.end(wish, kind)
                return
            mark = "1" if clients.marks_retry else ""
            if wait > 0:
                await asyncio.sleep(wait)

    async def one(
        self, wish: Wish, door: Door, name: str, mark: str, end: int
    ) -> tuple[int, bool, float]:
        """One try: how it ended, whether trying again is harmless, and how long to stay away."""
        c = self.classes[wish.class_index]
        s = self.world.scenario
        tenant = s.tenants[wish.tenant].name if s.tenants else ""
        self.ids += 1
        left = end - self.now()
        data = request_bytes(
            s.classes[wish.class_index].name,
            c.idempotency,
            f"{self.ids:016x}",
            name,
            wish.work,
            left,
            tenant,
            bool(mark),
        )
        try:
            async with asyncio.timeout((left + SOCKET_SLACK) / SECOND):
                answer: Answer = await door.pool.ask(
                    data, c.idempotency != Idempotency.NOT_IDEMPOTENT
                )
        except Unreached:
            self.failing(door)
            self.measures.unreached += 1
            return UNANSWERED, True, 0.0
        except Broken:
            self.failing(door)
            return FAILED, False, 0.0
        except TimeoutError:
            if door.open and door.failing_since is None:
                self.ledger.broken(
                    self.now(), "lost", f"{name} of {s.classes[wish.class_index].name}"
                )
            return UNANSWERED, False, 0.0
        if answer.status == 200:
            said = answer.body.split(b" ")
            if said[0].decode("latin-1") != name:
                self.ledger.broken(
                    self.now(),
                    "illegal",
                    f"{name}: the answer is not that of its server",
                )
            self.useful_work += float(said[1]) if len(said) > 1 else 0.0
            return IN_TIME, True, 0.0
        if answer.status in (429, 503):
            self.measures.refusals += 1
            try:
                wait = float(answer.headers.get(b"retry-after", b"0"))
            except ValueError:
                wait = 0.0
            return REFUSED, True, wait
        return FAILED, False, 0.0

    def end(self, wish: Wish, outcome: int) -> None:
        if not wish.over:
            wish.over = True
            self.measures.ended(wish, outcome, self.now())

    # ---- the front -----------------------------------------------------------------------------------

    def pick(self, zone: int) -> Door | None:
        near = [d for d in self.doors if d.open and d.zone == zone]
        doors = near or [d for d in self.doors if d.open]
        if not doors:
            return None
        door, times = (
            doors[self.front.below(len(doors))],
            self.world.scenario.front.busy_times,
        )
        while self.busy and door not in self.busy and self.front.random() * times >= 1:
            door = doors[self.front.below(len(doors))]
        return door

    def failing(self, door: Door) -> None:
        """A try has not got through: a dead node is noticed some time later, and asked until it is back."""
        if door.failing_since is None:
            door.failing_since = monotonic()
            task = asyncio.get_running_loop().create_task(self.recheck(door))
            self.out.add(task)
            task.add_done_callback(self.out.discard)

    async def recheck(self, door: Door) -> None:
        notice = self.world.front_notice / SECOND
        end = self.zero + self.world.length / SECOND
        while monotonic() < end:
            ready = False
            try:
                async with asyncio.timeout(1.0):
                    answer = await door.pool.ask(
                        b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n"
                    )
                    ready = answer.status == 200
            except (Unreached, Broken, TimeoutError):
                pass
            assert door.failing_since is not None
            if ready:
                break
            if monotonic() - door.failing_since >= notice:
                door.open = False
            await asyncio.sleep(RECHECK)
        door.failing_since = None
        door.open = True

    # ---- what is handed over -------------------------------------------------------------------------

    def counts(self) -> dict[str, int]:
        """How many wishes have ended in each way so far, and the latency of the newest that were served."""
        m = self.measures
        ended = dict.fromkeys(OUTCOMES, 0)
        for outcome in m.outcome:
            ended[OUTCOMES[outcome]] += 1
        newest = sorted(
            t for t, o in zip(m.took[-500:], m.outcome[-500:], strict=True) if o <= LATE
        )
        ended["p50_ms"] = newest[len(newest) // 2] // 1000 if newest else 0
        ended["p99_ms"] = newest[len(newest) * 99 // 100] // 1000 if newest else 0
        return ended

    def rows(self) -> dict[str, Any]:
        """All that was counted, for the process that adds up."""
        m = self.measures
        columns = (
            "born",
            "took",
            "class_index",
            "tenant",
            "zone",
            "outcome",
            "tried",
            "attempts",
        )
        return {
            "columns": {name: getattr(m, name).tolist() for name in columns},
            "counts": {
                "tries": m.tries,
                "refusals": m.refusals,
                "unreached": m.unreached,
            },
            "ledger": {"counts": self.ledger.counts, "notes": self.ledger.notes},
            "offered_work": self.arrivals.offered_work,
            "useful_work": self.useful_work,
            "late_sends": self.late_sends,
            "latest_send": self.latest_send,
        }


def take_rows(measures: Measures, rows: dict[str, Any], epoch: int) -> None:
    """Puts a load's rows into measures whose clock starts at `epoch`."""
    for name, values in rows["columns"].items():
        column = getattr(measures, name)
        column.extend(v + epoch for v in values) if name == "born" else column.extend(
            values
        )
    for name, value in rows["counts"].items():
        setattr(measures, name, getattr(measures, name) + value)
