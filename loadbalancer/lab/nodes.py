"""Emulated nodes: each hosts a real `Balancer`, carries out its actions and tells it what comes of them.

What the host promises the module is what a real node does: every attempt gets exactly one outcome, never
during the call that asked for it; a time-out is clipped to the request's own; an attempt that cannot be made
is `NOT_SENT`. What the module does that no host can carry out is booked as `illegal`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from loadbalancer.policy.api import (
    NEVER_RAN,
    DeduplicationScope,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Outcome,
)
from loadbalancer.policy.retry_storm import RetryStormGuard
from loadbalancer.policy.zone_failover import ZoneFailover

if TYPE_CHECKING:
    from loadbalancer.lab.emulator import Emulator
    from loadbalancer.lab.fleet import Server

NO_KEY = -1  # of a request that asks for none
TIMER_MOST = 4_260_000_000  # longer timers are cut to this, as on the simulator's wire


class Caller(Protocol):
    """Whoever asked: a client's try, or a job of the tier above."""

    def answered(self, call: Call, outcome: str, retry_after: int) -> None:
        """The final answer has left the node: `served`, `refused`, `failed`, `lost` or `cut`."""


class Call:
    """A request at a node: one final answer is owed while it is open."""

    __slots__ = (
        "attempts",
        "caller",
        "class_index",
        "deadline",
        "id",
        "key",
        "lineage",
        "node",
        "open",
        "out",
        "ran_at",
        "ran_on",
        "runs",
        "spent",
        "tenant",
        "work",
    )  # fmt: skip

    def __init__(
        self,
        id: int,
        node: Node,
        caller: Caller,
        class_index: int,
        tenant: int,
        work: float,
        deadline: int,
    ) -> None:
        self.id = id
        self.node = node
        self.caller = caller
        self.class_index = class_index
        self.tenant = tenant
        self.work = work  # of the client's request, at all tiers together
        self.deadline = deadline
        self.open = True
        self.attempts = 0
        self.out: list[Attempt] = []
        self.ran_at = -1  # when the first attempt that may have run was sent
        self.ran_on: Server | None = None
        self.lineage: Lineage | None = None
        self.spent = 0.0  # work at all tiers that went into the answer
        self.key = NO_KEY


class Lineage:
    """One wish of a client over all its tries, or one call of a server: what must not take effect twice."""

    __slots__ = ("first_run", "first_server", "runs")

    def __init__(self) -> None:
        self.runs = 0
        self.first_run = 0
        self.first_server: Server | None = None


class Attempt:
    """One attempt of a call at a server."""

    __slots__ = (
        "call",
        "child",
        "extra",
        "hit",
        "job",
        "left",
        "number",
        "over",
        "ran",
        "sent_at",
        "server",
        "spent",
        "stage",
    )

    def __init__(self, call: Call, number: int, server: Server, now: int) -> None:
        self.call = call
        self.number = number
        self.server = server
        self.sent_at = now
        self.over = False  # its outcome has been told
        self.job: Any = None
        self.stage = 0
        self.left = 0  # calls to the tier below that are still to be made
        self.spent = 0.0  # work that servers have put into it
        self.extra = 0.0
        self.child: Call | None = None
        self.ran = False
        self.hit = False  # the server had what was asked for


class Node:
    """One node. `generation` rises with each start, so that what belongs to a dead one is told apart."""

    __slots__ = (
        "alive",
        "balancer",
        "calls",
        "emu",
        "generation",
        "index",
        "owner",
        "pools",
        "ready",
        "sent",
        "started_at",
        "stopped_at",
        "tier",
        "version",
        "zone",
    )  # fmt: skip

    def __init__(
        self, emu: Emulator, index: int, tier: int, zone: int, owner: Server | None
    ) -> None:
        self.emu = emu
        self.index = index
        self.tier = tier
        self.zone = zone
        self.owner = owner
        self.alive = False
        self.balancer: Any = None
        self.calls: dict[int, Call] = {}
        self.pools: dict[Server, deque[int]] = {}
        self.generation = 0
        self.version = 0  # of the list that it holds
        self.stopped_at: dict[
            int, int
        ] = {}  # when it was told that a server is not to be used
        self.started_at: dict[int, int] = {}  # the start of a server, as it was told
        self.ready = False
        self.sent = 0

    # ---- life ----------------------------------------------------------------------------------------

    def start(self, seed: int) -> None:
        """A new process: the module knows its settings and the list last held, nothing else."""
        emu = self.emu
        self.generation += 1
        self.alive = True
        self.calls = {}
        self.pools = {}
        settings = emu.world.settings(
            self.tier, self.zone, self.index, len(emu.tiers[self.tier].nodes)
        )
        if (
            emu.sharding is not None
            and emu.sharding.shards is not None
            and self.tier == 0
        ):
            settings = replace(settings, min_subset_size=emu.sharding.shards.members)
        self.balancer = emu.module(settings, seed, self)
        now = emu.kernel.now
        self.guard("start", now)
        zones = emu.world.scenario.operator.zones
        if zones is not None and hasattr(self.balancer, "update_zone_policy"):
            names = [z.name for z in emu.world.scenario.zones]
            rules = zones.rules(names[self.zone], names.index)
            common = emu.localities if self.tier == 0 else None
            judge = (
                common.judge(self, rules)
                if common is not None
                else ZoneFailover(rules, self.zone)
            )
            self.guard("update_zone_policy", now, judge)
        storms = emu.world.scenario.operator.storms
        if (
            storms is not None
            and self.tier == 0
            and hasattr(self.balancer, "update_retry_storm_policy")
        ):
            worth = [c.priority_weight for c in settings.classes]
            self.guard(
                "update_retry_storm_policy",
                now,
                RetryStormGuard(storms.rules(), worth, seed, now),
            )
        directory = emu.tiers[self.tier].directory
        self.take(directory.as_of(self.version), ListUpdateKind.CACHED)
        directory.catch_up(self)
        self.ready = True

    def kill(self) -> list[Call]:
        """The process dies: its requests, which nobody answers any more. What it sent is cut off."""
        emu = self.emu
        self.alive = self.ready = False
        self.balancer = None
        held = [c for c in self.calls.values() if c.open]
        for call in held:
            call.open = False
            for attempt in list(call.out):
                attempt.over = True
                emu.kernel.after(
                    emu.delay(self.zone, attempt.server.zone),
                    attempt.server.withdraw,
                    attempt,
                )
            call.out.clear()
        for server, pool in self.pools.items():
            server.disconnected(len(pool))
        self.pools = {}
        self.calls = {}
        return held

    def guard(self, event: str, *args: Any) -> None:
        """Tells the module of an event. An exception in it ends the node, as it would end a process."""
        try:
            getattr(self.balancer, event)(*args)
        except (
            Exception
        ) as e:  # whatever it is: it is the module's crash, and the run's finding
            emu = self.emu
            emu.ledger.broken(
                emu.kernel.now,
                "crash",
                f"node {self.index} tier {self.tier}: {event}: {type(e).__name__}: {e}",
            )
            if self.alive:
                emu.stop_node(self, down=1_000_000)

    def take(self, entries: Sequence[Any], kind: ListUpdateKind) -> None:
        """News of the list. What it says not to use counts as told from here on."""
        now = self.emu.kernel.now
        stopped = self.stopped_at
        for entry in entries:
            if entry.state == EndpointState.READY:
                stopped.pop(entry.endpoint, None)
            else:
                stopped.setdefault(entry.endpoint, now)
            if entry.started_at:
                self.started_at[entry.endpoint] = entry.started_at
        self.guard("update_endpoints", now, kind, entries)

    def told(self) -> dict[str, float] | None:
        """The module's own figures."""
        stats = getattr(self.balancer, "stats", None)
        return stats() if stats is not None else None

    # ---- requests ------------------------------------------------------------------------------------

    def accept(self, call: Call, repeat: bool) -> None:
        """A request's last byte has come."""
        emu = self.emu
        now = emu.kernel.now
        if not self.alive:
            emu.kernel.after(emu.client_delay(), call.caller.answered, call, "cut", 0)
            return
        call.node = self
        self.calls[call.id] = call
        slack = emu.slack
        emu.kernel.at(
            call.deadline + slack + emu.world.tick, self.expire, call, self.generation
        )
        left = call.deadline - now
        if len(self.calls) > emu.max_open:
            self.finish(call, "refused", 0)
            return
        told = (now, call.id, call.class_index, call.tenant, max(1, left), repeat)
        if emu.sharding is not None and call.key != NO_KEY and self.tier == 0:
            homes = emu.sharding.homes_of(self, call)
            # Not every module knows of preferred endpoints.
            if homes and hasattr(self.balancer, "selector"):
                self.guard("request", *told, True, homes)
                return
        self.guard("request", *told)

    def expire(self, call: Call, generation: int) -> None:
        """The request's time and the slack are over: it is lost if a living node still owes an answer."""
        if not call.open or generation != self.generation or not self.alive:
            return
        emu = self.emu
        emu.ledger.broken(
            emu.kernel.now,
            "lost",
            f"request {call.id} of {emu.world.classes[call.class_index].name}, node {self.index}",
        )
        self.finish(call, "lost", 0)
        self.guard("client_disconnected", emu.kernel.now, call.id)

    def leave(self, call: Call) -> None:
        """The one who asked has gone away."""
        if call.open and self.alive and call.id in self.calls:
            call.open = False
            self.forget(call)
            self.guard("client_disconnected", self.emu.kernel.now, call.id)

    def finish(self, call: Call, outcome: str, retry_after: int) -> None:
        call.open = False
        self.forget(call)
        call.caller.answered(call, outcome, retry_after)

    def forget(self, call: Call) -> None:
        if not call.out:
            self.calls.pop(call.id, None)

    # ---- actions: what the module asks for -----------------------------------------------------------

    def send(self, request: int, server: int, timeout: int) -> None:
        emu = self.emu
        now = emu.kernel.now
        call = self.calls.get(request)
        target = emu.tiers[self.tier].by_id.get(server)
        if call is None or target is None:
            what = "request" if call is None else "server"
            emu.ledger.broken(
                now, "illegal", f"send of request {request} to {server}: no such {what}"
            )
            return
        number = call.attempts
        call.attempts += 1
        attempt = Attempt(call, number, target, now)
        if not call.open:
            emu.ledger.broken(
                now, "illegal", f"send of request {request}, which is over"
            )
        if not call.open or number >= emu.max_attempts or now >= call.deadline:
            call.out.append(attempt)
            emu.kernel.after(0, self.outcome, attempt, Outcome.NOT_SENT, ())
            return
        told = self.stopped_at.get(server)
        if told is not None and now > told + emu.drain_grace:
            emu.ledger.broken(
                now,
                "drain",
                f"request {request} to server {server}, {(now - told) // 1000} ms late",
            )
        self.check_repeat(call, target, now)
        self.sent += 1
        call.out.append(attempt)
        timeout = min(timeout if timeout > 0 else 1 << 40, call.deadline - now)
        emu.kernel.after(timeout, self.time_out, attempt)
        self.dispatch(attempt)

    def check_repeat(self, call: Call, target: Server, now: int) -> None:
        """Whether what was promised of the class's effect allows a further send."""
        emu = self.emu
        if call.out and not emu.second_copies:
            emu.ledger.broken(
                now,
                "duplicate",
                f"request {call.id}: a second copy, which is not allowed here",
            )
        c = emu.classes[call.class_index]
        if c.idempotency == Idempotency.IDEMPOTENT:
            return
        first, sent_at = call.ran_on, call.ran_at
        for attempt in call.out:  # what is out may have run as well
            if first is None or attempt.sent_at < sent_at:
                first, sent_at = attempt.server, attempt.sent_at
        if first is None:
            return
        if c.idempotency == Idempotency.NOT_IDEMPOTENT:
            emu.ledger.broken(
                now,
                "duplicate",
                f"request {call.id}: sent again though it may have run",
            )
        elif now > sent_at + c.idempotency_window or not same_group(
            c.deduplication_scope, first, target
        ):
            emu.ledger.broken(
                now,
                "duplicate",
                f"request {call.id}: repeat outside its group or window",
            )

    def dispatch(self, attempt: Attempt) -> None:
        """Puts an attempt on a connection: one that is idle, or a new one."""
        emu, server = self.emu, attempt.server
        now = emu.kernel.now
        if self.tier == 0:
            emu.crosses(self.zone, server.zone)
        delay = emu.delay(self.zone, server.zone)
        pool = self.pools.get(server)
        if pool is None:
            pool = self.pools[server] = deque()
        tier = emu.tiers[self.tier].world
        while pool and pool[0] <= now - tier.idle:
            pool.popleft()
            server.disconnected(1)
        if pool and (server.machine.up or server.silent):
            pool.pop()
        elif not server.machine.up and not server.silent:
            emu.kernel.after(
                2 * delay, self.outcome, attempt, Outcome.CONNECT_FAILED, ()
            )
            return
        elif not server.connect():
            emu.kernel.after(
                tier.connect_timeout, self.outcome, attempt, Outcome.CONNECT_FAILED, ()
            )
            return
        else:
            attempt.extra = tier.handshake_work
            delay += 2 * tier.handshake_rtts * delay
        emu.kernel.after(delay, server.arrive, attempt)

    def cancel(self, request: int, attempt: int) -> None:
        emu = self.emu
        call = self.calls.get(request)
        if call is None:
            return
        for out in call.out:
            if out.number == attempt:
                emu.kernel.after(
                    emu.delay(self.zone, out.server.zone), out.server.withdraw, out
                )
                emu.kernel.after(0, self.outcome, out, Outcome.CANCELLED, ())

    def reject(self, request: int, retry_after: int) -> None:
        call = self.calls.get(request)
        if call is None or not call.open:
            return
        emu = self.emu
        c = emu.classes[call.class_index]
        may_have = call.ran_on is not None or bool(call.out)
        if may_have and (
            c.idempotency == Idempotency.NOT_IDEMPOTENT
            or (
                c.idempotency == Idempotency.WITH_KEY
                and c.deduplication_scope != DeduplicationScope.ALL
            )
        ):
            emu.ledger.broken(
                emu.kernel.now,
                "duplicate",
                f"request {request}: refused as harmless though it may have run",
            )
        self.finish(call, "refused", retry_after)

    def fail(self, request: int) -> None:
        call = self.calls.get(request)
        if call is not None and call.open:
            self.finish(call, "failed", 0)

    def check_health(self, server: int) -> None:
        self.emu.ledger.broken(
            self.emu.kernel.now, "illegal", "probe: not allowed here"
        )

    def set_timer(self, delay: int, token: int) -> None:
        emu = self.emu
        due = emu.kernel.now + min(max(delay, 0), TIMER_MOST)
        emu.kernel.at(emu.on_tick(due), self.timer, token, self.generation)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        self.emu.ledger.broken(self.emu.kernel.now, "illegal", "tell: not allowed here")

    def watch(self, on: bool) -> None:
        """The list is pushed in the lab: a watch changes nothing."""

    def fetch(self) -> None:
        self.emu.tiers[self.tier].directory.catch_up(self)

    def close(self, server: int) -> None:
        target = self.emu.tiers[self.tier].by_id.get(server)
        pool = self.pools.pop(target, None) if target is not None else None
        if target is not None and pool:
            target.disconnected(len(pool))

    def log(self, text: str) -> None:
        self.emu.measures.logged += 1

    # ---- what comes of them --------------------------------------------------------------------------

    def timer(self, token: int, generation: int) -> None:
        if self.alive and generation == self.generation:
            self.guard("timer", self.emu.kernel.now, token)

    def time_out(self, attempt: Attempt) -> None:
        if attempt.over or not self.alive:
            return
        emu, server = self.emu, attempt.server
        emu.kernel.after(emu.delay(self.zone, server.zone), server.withdraw, attempt)
        self.outcome(attempt, Outcome.TIMEOUT, ())

    def outcome(
        self, attempt: Attempt, outcome: Outcome, report: Sequence[float]
    ) -> None:
        """An attempt's one outcome reaches the node."""
        if attempt.over:
            return
        attempt.over = True
        emu, call = self.emu, attempt.call
        now = emu.kernel.now
        if emu.localities is not None and self.tier == 0 and self.alive:
            emu.localities.ended(self, attempt, outcome)
        call.out.remove(attempt)
        if outcome == Outcome.OK or (
            outcome in NEVER_RAN and outcome != Outcome.CONNECT_FAILED
        ):
            if outcome != Outcome.NOT_SENT:
                self.idle(attempt.server, now)
        elif outcome == Outcome.ERROR:
            self.idle(attempt.server, now)
        elif outcome != Outcome.CONNECT_FAILED:
            attempt.server.disconnected(1)
        if outcome not in NEVER_RAN and (
            call.ran_on is None or attempt.sent_at < call.ran_at
        ):
            call.ran_on, call.ran_at = attempt.server, attempt.sent_at
        final = True
        if call.open:
            if outcome == Outcome.OK:
                call.open = False
                self.forget(call)
                call.spent = attempt.spent
                call.caller.answered(call, "served", 0)
            else:
                final = False
        elif not call.out:
            self.calls.pop(call.id, None)
        if self.alive:
            self.guard(
                "outcome",
                now,
                call.id,
                attempt.number,
                attempt.server.id,
                outcome,
                now - attempt.sent_at,
                final,
                report,
            )

    def idle(self, server: Server, now: int) -> None:
        pool = self.pools.get(server)
        if pool is not None and server.reachable:
            pool.append(now)


def same_group(group: DeduplicationScope, a: Server, b: Server) -> bool:
    """Whether the second server would discard a repeat of what the first one may have run."""
    if group == DeduplicationScope.ALL:
        return True
    return (
        a.zone == b.zone
        if group == DeduplicationScope.ZONE
        else a.cell == b.cell and a.zone == b.zone
    )
