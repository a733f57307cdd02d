"""Clients: each wish is asked for in one or more tries, and ends in one outcome.

Arrivals are drawn ahead, second by second, and do not wait for answers. A wish has its class's deadline over
all its tries; a try is given up after a part of it. Who retries follows the class: safe and keyed requests
after any end that is not an answer, the others only after a refusal or when no node was reached.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from loadbalancer.lab.nodes import NO_KEY, Call, Lineage, Node
from loadbalancer.lab.streams import Stream, generator, works
from loadbalancer.lab.world import SECOND, World
from loadbalancer.policy.api import DeduplicationScope, Idempotency

if TYPE_CHECKING:
    from loadbalancer.lab.emulator import Emulator
    from loadbalancer.lab.keys import Keys

IN_TIME, LATE, REFUSED, FAILED, LEFT, UNANSWERED = range(6)
# when, class, tenant, zone, work, leaves, when, key
Arrival = tuple[int, int, int, int, float, bool, float, int]
OUTCOMES = ("in time", "late", "refused", "failed", "left", "unanswered")


class Wish:
    """One client's wish, over all its tries."""

    __slots__ = (
        "attempts",
        "born",
        "call",
        "class_index",
        "key",
        "leaves_at",
        "lineage",
        "over",
        "tenant",
        "tries",
        "work",
        "zone",
    )

    def __init__(
        self,
        class_index: int,
        tenant: int,
        zone: int,
        work: float,
        born: int,
        key: int = NO_KEY,
    ) -> None:
        self.class_index = class_index
        self.tenant = tenant
        self.zone = zone
        self.work = work
        self.born = born
        self.tries = 0
        self.over = False
        self.call: Call | None = None
        self.lineage = Lineage()
        self.leaves_at = 0  # 0 = stays
        self.attempts = 0
        self.key = key


def busy_nodes(world: World) -> frozenset[int]:
    """The places of the nodes that get more of the traffic than others, whatever else is in the script."""
    front = world.scenario.front
    nodes = len(world.tiers[0].nodes)
    if not front.busy_part or front.busy_times == 1:
        return frozenset()
    return frozenset(
        Stream(world.seed, "busy").sample(nodes, max(1, round(front.busy_part * nodes)))
    )


class Front:
    """Spreads tries over the nodes of a client's zone; goes on sending to a dead one until it notices."""

    def __init__(self, emu: Emulator, zones: int) -> None:
        self.emu = emu
        self.known: list[list[Node]] = [[] for _ in range(zones)]
        self.all: list[Node] = []
        front = emu.world.scenario.front
        self.times = front.busy_times
        self.busy = busy_nodes(emu.world)

    def admit(self, node: Node) -> None:
        """A node has said that it is ready."""
        if node not in self.known[node.zone]:
            self.known[node.zone].append(node)
            self.all.append(node)

    def lost(self, node: Node, generation: int) -> None:
        """It is noticed that a node has died, unless it is back."""
        if (
            node.generation == generation
            and not node.alive
            and node in self.known[node.zone]
        ):
            self.known[node.zone].remove(node)
            self.all.remove(node)

    def pick(self, zone: int) -> Node | None:
        nodes = self.known[zone] or self.all
        if not nodes:
            return None
        stream = self.emu.front_stream
        node = nodes[stream.below(len(nodes))]
        while (
            self.busy
            and node.index not in self.busy
            and stream.random() * self.times >= 1
        ):
            node = nodes[stream.below(len(nodes))]
        return node


class Arrivals:
    """First tries, drawn second by second from the seed alone: the same ones whatever becomes of them."""

    def __init__(self, world: World) -> None:
        self.world = world
        s = world.scenario
        self.class_edges = np.cumsum([c.share for c in world.classes])
        zones = np.array([z.share for z in s.zones], dtype=float)
        self.zone_edges = np.cumsum(zones / zones.sum())
        self.surges = [f for f in s.faults if f.kind == "surge"]
        self.offered_work = 0.0
        tiers, calls = 0.0, 1.0
        for t in world.tiers:
            calls *= t.calls
            tiers += t.work * calls
        self.keys: Keys | None = None
        if s.keys is not None:
            from loadbalancer.lab.keys import Keys  # here: few scenarios have keys

            self.keys = Keys(world)
        self.work_factor = tiers  # server work for each unit of a wish's work

    def rates(self, at: float) -> np.ndarray:
        """First tries a second of each tenant at a second of the day."""
        s = self.world.scenario
        whole = self.world.rate * factor(s.load.shape, at)
        for f in self.surges:
            if f.at <= at < f.at + f.seconds:
                whole *= f.size
        if not s.tenants:
            return np.array([whole])
        shares = np.array([t.share for t in s.tenants])
        factors = np.array([factor(t.shape, at) for t in s.tenants])
        rates: np.ndarray = whole * shares / shares.sum() * factors
        return rates

    def second(self, second: int) -> list[Arrival]:
        """The arrivals of one second of the day, in order of time."""
        w = self.world
        span = min(SECOND, w.length - second * SECOND)
        if span <= 0:
            return []
        source = generator(w.seed, "arrivals", second)
        rates = self.rates(second + 0.5)
        count = int(source.poisson(rates.sum() * span / SECOND))
        if not count:
            return []
        times = np.sort(source.integers(0, span, count)) + second * SECOND
        classes = pick(self.class_edges, source.random(count))
        zones = pick(self.zone_edges, source.random(count))
        tenants = pick(np.cumsum(rates), source.random(count))
        work = np.zeros(count)
        for k, c in enumerate(w.classes):
            work = np.where(
                classes == k, works(source, c.dist, c.work, c.cv, count), work
            )
        leaves = source.random(count) < w.impatient
        moments = source.random(count)
        self.offered_work += float(work.sum()) * self.work_factor
        columns = (times, classes, tenants, zones, work, leaves, moments)
        keys = (
            self.keys.second(second, classes)
            if self.keys is not None
            else [NO_KEY] * count
        )
        return list(zip(*(c.tolist() for c in columns), keys, strict=True))


def pick(edges: np.ndarray, points: np.ndarray) -> np.ndarray:
    """Which part each point of [0, 1) falls into, parts being as large as the edges say."""
    found: np.ndarray = np.minimum(
        np.searchsorted(edges, points * edges[-1], "right"), len(edges) - 1
    )
    return found


class Clients:
    """All clients of the first tier."""

    def __init__(self, emu: Emulator) -> None:
        self.emu = emu
        w = emu.world
        s = w.scenario
        self.front = Front(emu, len(s.zones))
        self.retries = int(w.retries)
        self.mode = s.clients.backoff
        self.marks = s.clients.marks_retry
        self.second = 0
        self.arrivals = Arrivals(w)

    # ---- arrivals ------------------------------------------------------------------------------------

    def draw_second(self) -> None:
        """Sets the arrivals of the next second going."""
        kernel = self.emu.kernel
        rows = self.arrivals.second(self.second)
        self.second += 1
        if rows:
            kernel.at(self.emu.epoch + rows[0][0], self.arrive, rows, 0)
        if self.second * SECOND < self.emu.world.length:
            kernel.at(self.emu.epoch + self.second * SECOND, self.draw_second)

    def arrive(self, rows: list[Arrival], i: int) -> None:
        """The next client comes; the one after it is set going."""
        emu = self.emu
        at, class_index, tenant, zone, work, leaves, moment, key = rows[i]
        now = emu.epoch + at
        if i + 1 < len(rows):
            emu.kernel.at(emu.epoch + rows[i + 1][0], self.arrive, rows, i + 1)
        wish = Wish(class_index, tenant, zone, work, now, key)
        if leaves:
            wish.leaves_at = now + int(moment * emu.classes[class_index].deadline)
            emu.kernel.at(wish.leaves_at, self.leave, wish)
        self.ask(wish)

    # ---- a wish's life -------------------------------------------------------------------------------

    def ask(self, wish: Wish) -> None:
        """Makes the next try, unless time is up."""
        emu = self.emu
        now = emu.kernel.now
        if wish.over:
            return
        whole = emu.classes[wish.class_index].deadline
        end = min(wish.born + whole, now + int(whole * emu.world.try_share))
        if end <= now:
            self.end(wish, UNANSWERED, now)
            return
        wish.tries += 1
        node = self.front.pick(wish.zone)
        if node is None:
            emu.kernel.after(emu.client_delay(), self.unreached, wish, None, now)
            return
        emu.measures.tries += 1
        call = Call(
            emu.next_id(),
            node,
            self.try_of(wish),
            wish.class_index,
            wish.tenant,
            wish.work,
            end,
        )
        call.lineage = wish.lineage
        call.key = wish.key
        wish.call = call
        delay = emu.client_delay()
        if node.zone != wish.zone:
            delay += emu.delay(node.zone, wish.zone)
        if emu.zone_silent[node.zone]:
            emu.kernel.at(
                end, self.unreached, wish, call, now
            )  # nothing answers the connection
        elif not node.alive:
            emu.kernel.after(2 * delay, self.unreached, wish, call, now)
        else:
            emu.kernel.at(
                emu.on_tick(now + int(delay)),
                node.accept,
                call,
                self.marks and wish.tries > 1,
            )
            emu.kernel.at(end, self.give_up, wish, call)

    def try_of(self, wish: Wish) -> Try:
        return Try(self, wish)

    def answered(self, wish: Wish, call: Call, outcome: str, retry_after: int) -> None:
        """The final answer to a try has left its node."""
        emu = self.emu
        wish.attempts += call.attempts
        if wish.over or wish.call is not call:
            return
        now = emu.kernel.now
        at = now + int(emu.client_delay())
        if wish.leaves_at and wish.leaves_at <= at:
            return  # the client is gone before it comes
        if outcome == "served":
            if at <= call.deadline + emu.slack:
                wish.call = None
                c = emu.classes[wish.class_index]
                took = at - wish.born
                emu.useful_work += call.spent
                self.end(
                    wish,
                    IN_TIME
                    if took <= c.latency_objective
                    else LATE
                    if took <= c.deadline
                    else UNANSWERED,
                    at,
                )
            return
        wish.call = None
        if outcome == "cut":
            kind = FAILED
        elif outcome == "lost":
            kind = UNANSWERED
        else:
            kind = REFUSED if outcome == "refused" else FAILED
            emu.measures.refusals += outcome == "refused"
        self.again(wish, kind, at, retry_after, outcome == "refused")

    def unreached(self, wish: Wish, call: Call | None, since: int) -> None:
        """No node took the try."""
        if wish.over or (call is not None and wish.call is not call):
            return
        wish.call = None
        self.emu.measures.unreached += 1
        self.again(wish, UNANSWERED, self.emu.kernel.now, 0, True)

    def give_up(self, wish: Wish, call: Call) -> None:
        """The try's time is over and nothing has come."""
        if wish.over or wish.call is not call:
            return
        emu = self.emu
        wish.call = None
        now = emu.kernel.now
        if call.open:
            # The connection stays up for the slack, within which a last answer may still come.
            emu.kernel.after(emu.slack + emu.world.tick + 1, call.node.leave, call)
        self.again(wish, UNANSWERED, now, 0, False)

    def again(
        self, wish: Wish, kind: int, at: int, retry_after: int, harmless: bool
    ) -> None:
        """Another try where the class and the client's own count allow one; the end otherwise."""
        emu = self.emu
        c = emu.classes[wish.class_index]
        keyed = (
            c.idempotency == Idempotency.WITH_KEY
            and c.deduplication_scope == DeduplicationScope.ALL
            and at < wish.born + c.idempotency_window
        )
        if wish.tries > self.retries or not (
            harmless or c.idempotency == Idempotency.IDEMPOTENT or keyed
        ):
            self.end(wish, kind, at)
            return
        wait = 0.0
        if retry_after and emu.client_stream.random() < emu.world.honour:
            wait = float(retry_after)
        elif self.mode == "fixed":
            wait = emu.world.backoff
        elif self.mode == "exponential":
            wait = (
                emu.world.backoff
                * 2 ** (wish.tries - 1)
                * emu.client_stream.between(0.5, 1.5)
            )
        if at + wait >= wish.born + c.deadline:
            self.end(wish, kind, at)
            return
        emu.kernel.at(at + int(wait), self.ask, wish)

    def leave(self, wish: Wish) -> None:
        """An impatient client goes away."""
        if wish.over:
            return
        call, wish.call = wish.call, None
        self.end(wish, LEFT, self.emu.kernel.now)
        if call is not None and call.open:
            self.emu.kernel.after(self.emu.client_delay(), call.node.leave, call)

    def end(self, wish: Wish, outcome: int, at: int) -> None:
        wish.over = True
        self.emu.measures.ended(wish, outcome, at)


class Try:
    """A client's try, as its node's caller."""

    __slots__ = ("clients", "wish")

    def __init__(self, clients: Clients, wish: Wish) -> None:
        self.clients = clients
        self.wish = wish

    def answered(self, call: Call, outcome: str, retry_after: int) -> None:
        self.clients.answered(self.wish, call, outcome, retry_after)


def factor(shape: list[tuple[float, float]], at: float) -> float:
    """The factor at a second: straight lines between points, level before the first and after the last."""
    if not shape:
        return 1.0
    return float(np.interp(at, [p[0] for p in shape], [p[1] for p in shape]))
