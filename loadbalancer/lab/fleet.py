"""Emulated servers: a `Machine` each, with a process that starts and dies, and calls to the tier below."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from loadbalancer.lab.machine import NEVER, Build, Job, Machine
from loadbalancer.lab.nodes import NO_KEY, Attempt, Call, Lineage, Node, same_group
from loadbalancer.policy.api import Idempotency, Outcome

if TYPE_CHECKING:
    from loadbalancer.lab.emulator import Emulator

FAST = 1_000  # microseconds that a quick error takes at the server
FAST_WORK = 200.0  # and its work

SAY_NOTHING = (
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
)  # outcomes without an answer to carry a report


class Server:
    """One server of the fleet."""

    __slots__ = (
        "armed",
        "away",
        "build",
        "cell",
        "emu",
        "failed",
        "generation",
        "id",
        "index",
        "listed",
        "machine",
        "next_sample",
        "node",
        "rejected",
        "requests",
        "samples",
        "silent",
        "stopping",
        "tier",
        "zone",
    )  # fmt: skip

    def __init__(
        self, emu: Emulator, id: int, tier: int, index: int, build: Build, up: bool
    ) -> None:
        self.emu = emu
        self.id = id
        self.tier = tier
        self.index = index
        self.zone = build.zone
        self.cell = build.cell
        self.build = build
        self.machine = Machine(build, emu.kernel.now)
        self.machine.up = up
        self.node: Node | None = None  # for its calls to the next tier
        self.armed = NEVER
        self.silent = False  # its machine says nothing at all
        self.stopping = False
        self.away: dict[Attempt, None] = {}
        self.samples: deque[tuple[int, int, int]] = deque()  # when, held, waiting
        self.next_sample = 0
        self.generation = 0
        self.requests = self.rejected = self.failed = 0

    @property
    def reachable(self) -> bool:
        return self.machine.up and not self.silent

    def connect(self) -> bool:
        """Opens a connection, if the machine answers and has room for one."""
        m = self.machine
        if self.silent or not m.up or m.conns >= m.build.conn_cap:
            return False
        m.conns += 1
        return True

    def disconnected(self, connections: int) -> None:
        m = self.machine
        m.conns = max(0, m.conns - connections)

    def arm(self) -> None:
        due = self.machine.due
        if due < self.armed:
            self.armed = due
            self.emu.kernel.at(due, self.wake, due)

    # ---- an attempt's way through --------------------------------------------------------------------

    def arrive(self, attempt: Attempt) -> None:
        """The last byte of a request has come."""
        emu, m = self.emu, self.machine
        if attempt.over:
            return  # its connection was closed before anything was read
        if not m.up:
            if not self.silent:
                self.answer(attempt, Outcome.CONNECT_FAILED)
            return
        if self.silent:
            return
        now = emu.kernel.now
        call = attempt.call
        self.requests += 1
        c = emu.world.classes[call.class_index]
        part = emu.tiers[self.tier].world.work
        work = call.work * part
        if c.noise > 0:
            work *= emu.noise.spread(c.noise)
        if self.tier < emu.deepest:
            attempt.left = emu.calls_stream.count(emu.tiers[self.tier + 1].world.calls)
            if attempt.left:
                work /= 2  # the other half follows the calls
        if emu.sharding is not None and call.key != NO_KEY and self.tier == 0:
            attempt.hit = emu.sharding.found(self, call.key)
            if attempt.hit:
                work *= emu.sharding.wish.hit_work
                attempt.left = 0  # what is kept needs nothing of the tiers below
        errors = m.errors or m.build.error_rate
        if errors and emu.error_stream.random() < m.fails_fast():
            self.failed += 1
            self.began(attempt)
            attempt.spent += FAST_WORK
            emu.spent_work += FAST_WORK
            emu.kernel.after(FAST, self.answer, attempt, Outcome.ERROR)
            return
        job = attempt.job = Job(attempt, work + attempt.extra)
        informed = call.node.started_at.get(self.id) == m.started
        taken = m.offer(now, job, informed)
        if m.fallen:
            self.fall(attempt)
            return
        if taken:
            if m.due < self.armed:
                self.arm()
        else:
            self.rejected += 1
            attempt.job = None
            self.answer(attempt, Outcome.REJECTED)

    def began(self, attempt: Attempt) -> None:
        """The request takes effect here. Counts what must not happen twice."""
        if attempt.ran:
            return
        attempt.ran = True
        call = attempt.call
        c = self.emu.classes[call.class_index]
        if c.idempotency == Idempotency.IDEMPOTENT:
            return
        lineage = call.lineage
        assert lineage is not None
        now = self.emu.kernel.now
        first = lineage.first_server
        if first is None:
            lineage.first_server, lineage.first_run = self, attempt.sent_at
            return
        remembered = (
            attempt.sent_at <= lineage.first_run + c.idempotency_window
        )  # what came later is the sender's doing
        if (
            c.idempotency == Idempotency.WITH_KEY
            and remembered
            and same_group(c.deduplication_scope, first, self)
        ):
            return  # discarded as a repeat
        lineage.runs += 1
        name = self.emu.world.classes[call.class_index].name
        self.emu.ledger.broken(
            now,
            "duplicate",
            f"request {call.id} of {name} ran again at server {self.id}",
        )

    def wake(self, due: int) -> None:
        if due != self.armed:
            return  # an earlier one has taken its place
        self.armed = NEVER
        now = self.emu.kernel.now
        m = self.machine
        emu_keys = self.emu.sharding
        for job in m.finished(now):
            attempt: Attempt = job.owner
            attempt.spent += job.work
            self.emu.spent_work += job.work
            self.began(attempt)
            if (
                emu_keys is not None
                and not attempt.hit
                and attempt.call.key != NO_KEY
                and self.tier == 0
            ):
                emu_keys.keep(self, attempt.call.key)
            if attempt.stage == 0 and attempt.left:
                attempt.stage = 1
                self.away[attempt] = None
                self.call_below(attempt)
            else:
                m.release(now, job)
                self.answer(attempt, Outcome.OK)
        self.arm()

    def call_below(self, attempt: Attempt) -> None:
        """Asks the next tier, through this server's own node."""
        emu = self.emu
        now = emu.kernel.now
        parent = attempt.call
        whole = emu.classes[parent.class_index].deadline
        deadline = (
            min(parent.deadline, now + whole) if emu.passes_deadline else now + whole
        )
        node = self.node
        assert node is not None
        call = Call(
            emu.next_id(),
            node,
            Below(self, attempt),
            parent.class_index,
            parent.tenant,
            parent.work,
            deadline,
        )
        call.lineage = Lineage()
        attempt.child = call
        attempt.left -= 1
        if deadline <= now or not node.alive:
            self.give_up(attempt)
            return
        node.accept(call, False)

    def below_answered(self, attempt: Attempt, outcome: str) -> None:
        """The call to the tier below has ended."""
        if attempt not in self.away:
            return
        if outcome != "served":
            self.give_up(attempt)
        elif attempt.left:
            self.call_below(attempt)
        else:
            del self.away[attempt]
            attempt.child = None
            attempt.stage = 2
            self.machine.resume(
                self.emu.kernel.now, attempt.job, attempt.job.work - attempt.extra
            )
            self.arm()

    def give_up(self, attempt: Attempt) -> None:
        del self.away[attempt]
        attempt.child = None
        self.failed += 1
        self.machine.release(self.emu.kernel.now, attempt.job)
        self.arm()
        self.answer(attempt, Outcome.ERROR)

    def answer(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends what came of an attempt back to its node."""
        emu = self.emu
        if attempt.over or self.silent:
            return
        if attempt.ran and self.machine.spoils:
            how = self.machine.spoilt(emu.error_stream.random())
            if how == "lost_answers":
                return  # it has run, and nobody hears of it
            if how == "resets":
                outcome = Outcome.RESET
        node = attempt.call.node
        report: tuple[float, ...] = ()
        if emu.tiers[self.tier].world.report is not None and outcome not in SAY_NOTHING:
            report = self.report()
        when = emu.on_tick(emu.kernel.now + int(emu.delay(self.zone, node.zone)))
        emu.kernel.at(when, node.outcome, attempt, outcome, report)

    def report(self) -> tuple[float, ...]:
        """The load report of this moment: sampled now and then, seen late, a little noisy."""
        emu = self.emu
        world = emu.tiers[self.tier].world.report
        assert world is not None
        now = emu.kernel.now
        samples = self.samples
        if now >= self.next_sample:
            samples.append((now, self.machine.held(), len(self.machine.waiting)))
            self.next_sample = now - now % world.period + world.period
        seen = now - world.delay - emu.report_delay
        while len(samples) > 1 and samples[1][0] <= seen:
            samples.popleft()
        at, held, waiting = samples[0]
        if at > seen:
            return ()
        values = {"inflight": held, "queue": waiting}
        noise = emu.report_noise
        return tuple(values[f] * noise.spread(world.noise) for f in world.fields)

    def withdraw(self, attempt: Attempt) -> None:
        """The node has closed the connection of an attempt."""
        job: Job | None = attempt.job
        if job is None or job.state == Job.DONE or self.silent:
            return
        now = self.emu.kernel.now
        m = self.machine
        state = job.state
        if m.withdraw(now, job):
            if state != Job.WAITING:
                self.began(attempt)
                if state == Job.RUNNING:
                    self.emu.spent_work += max(
                        0.0, job.work - max(0.0, job.mark - m.progress)
                    )
            if attempt in self.away:
                del self.away[attempt]
                if attempt.child is not None:
                    child, attempt.child = attempt.child, None
                    child.node.leave(child)
            self.arm()

    # ---- the process ---------------------------------------------------------------------------------

    def fall(self, last: Attempt) -> None:
        """It was pushed over: it falls and stays down."""
        emu, m = self.emu, self.machine
        text = f"server {self.id} of tier {emu.tiers[self.tier].world.name}"
        if m.pushed():
            emu.ledger.broken(emu.kernel.now, "pushed_over", text)
        emu.measures.fell += 1
        self.die(last)
        emu.tiers[self.tier].directory.ended(self, emu.world.notice)

    def die(self, last: Attempt | None = None) -> None:
        """The process ends at once: what it held is reset, new connections are refused."""
        emu, m = self.emu, self.machine
        now = emu.kernel.now
        running, waiting = m.end(now)
        began: list[Attempt] = [job.owner for job in running]
        began += self.away
        held = began + [job.owner for job in waiting]
        if last is not None and last not in held:
            held.append(last)
        for attempt in began:
            self.began(attempt)
        for attempt in held:
            self.answer(attempt, Outcome.RESET)
            if attempt.job is not None:
                attempt.job.state = Job.DONE
            if attempt.child is not None:
                attempt.child.open = False
                attempt.child = None
        self.away.clear()
        if emu.sharding is not None:
            emu.sharding.ended(self)
        self.generation += 1
        self.samples.clear()
        for node in emu.tiers[self.tier].nodes:
            node.pools.pop(self, None)
        if self.node is not None and self.node.alive:
            self.node.kill()

    def begin(self) -> None:
        """A new process starts, cold; discovery hears of it."""
        emu = self.emu
        if self.machine.up or self.machine.fallen:
            return
        self.machine.begin(emu.kernel.now)
        self.stopping = False
        self.armed = NEVER
        self.arm()
        if self.node is not None:
            self.node.start(emu.node_seed())
        emu.tiers[self.tier].directory.began(self)


class Below:
    """A job's call to the tier below, as its caller."""

    __slots__ = ("attempt", "server")

    def __init__(self, server: Server, attempt: Attempt) -> None:
        self.server = server
        self.attempt = attempt

    def answered(self, call: Call, outcome: str, retry_after: int) -> None:
        attempt = self.attempt
        if attempt.child is call or attempt in self.server.away:
            attempt.spent += call.spent
            # Never during the module's own call: the node may be asked again at once.
            self.server.emu.kernel.after(
                0, self.server.below_answered, attempt, outcome
            )
