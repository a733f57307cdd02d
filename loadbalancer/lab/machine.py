"""One modelled server, free of I/O: the emulator and the live fleet host the same one.

The host tells it what comes (`offer`, `resume`, `withdraw`, `release`) and asks at `due` what has finished
(`finished`). Times are integer microseconds of the host's clock, work is in microseconds of a yardstick core.

A server has cores, slots for requests in work and a waiting room. Those in work that want the processor
share the cores evenly; one that waits for the tier below keeps its slot and uses none. The sharing is kept
by virtual time: `progress` is the work that each running job has had since the server was new, so a job ends
when it reaches a mark that is known when it starts, whatever the speed is in between.

The speed is the cores' own, times warmth, times what each fault in force leaves, so that two faults at once
are two factors and the end of one leaves the other. Pauses are counted, for the same reason.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush
from math import exp, log
from typing import Any

NEVER = 1 << 62
WARM_STEPS = 100  # a cold server's speed is brought up to date so often on its way
# Of the budget of a cold server, for chance: arrivals are counted, not spread
CAPACITY_SLACK = 1.15


@dataclass(frozen=True)
class Build:
    """What a server is, drawn once. Times in microseconds."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 16
    queue: int = 480
    thrash: float = 0.0
    knee: float = 40.0  # requests held, from which on efficiency falls
    cold_from: float = 1.0
    cold_time: int = 0
    cancels: str = "queued"
    error_rate: float = 0.0
    conn_cap: int = 1600
    full_tax: float = 0.0
    choke_at: float = 0.0  # requests that wait for a core; 0 = it never chokes
    choke_over: int = 0
    choke_slower: float = 1.0
    choke_below: float = 0.3
    choke_rest: int = 0
    choke_most: int = 0
    fall_multiple: float = 0.0  # 0 = it never falls over
    fall_time: int = 0
    kind: int = 0
    zone: int = 0
    cell: int = 0


class Job:
    """One attempt at a server: its host's own data, and what is left to do."""

    __slots__ = ("mark", "owner", "state", "work")

    WAITING, RUNNING, AWAY, DONE = range(4)

    def __init__(self, owner: Any, work: float) -> None:
        self.owner = owner
        self.work = work  # of the present stretch
        self.state = Job.WAITING
        self.mark = 0.0  # progress at which the present stretch ends


class Machine:
    """A server that runs, drains, has fallen over or is down."""

    __slots__ = (
        "active",
        "build",
        "busy",
        "choked",
        "choked_since",
        "chokes",
        "cold_log",
        "cold_sum",
        "connections",
        "conns",
        "crowded",
        "done_work",
        "draining",
        "due",
        "errors",
        "factors",
        "fallen",
        "level",
        "next_step",
        "progress",
        "progress_at",
        "rate",
        "running",
        "seq",
        "slots_used",
        "spoils",
        "started",
        "stops",
        "up",
        "waiting",
        "warm",
        "warm_at",
    )  # fmt: skip

    def __init__(self, build: Build, now: int, cold: bool = False) -> None:
        self.build = build
        self.factors: dict[str, float] = {}
        self.errors: dict[str, float] = {}
        self.spoils: dict[str, tuple[str, float]] = {}
        self.stops = 0
        self.busy = 0.0  # core-microseconds in use so far
        self.done_work = 0.0
        self.chokes = 0
        self.up = True
        self.seq = 0
        self.reset(now, cold)

    def reset(self, now: int, cold: bool) -> None:
        """A new process: nothing in work, no connections, cold if it has just been started."""
        b = self.build
        self.running: list[
            tuple[float, int, Job]
        ] = []  # heap by mark; those not RUNNING any more are skipped
        self.waiting: deque[Job] = deque()
        self.slots_used = 0
        self.active = 0
        self.progress = 0.0
        self.progress_at = now
        self.started = now if cold else 0
        self.warm_at = now + b.cold_time if cold and b.cold_from < 1 else 0
        self.warm = b.cold_from if self.warm_at else 1.0
        self.next_step = now + b.cold_time // WARM_STEPS + 1 if self.warm_at else NEVER
        self.cold_log: deque[tuple[int, float, bool]] = deque()
        self.cold_sum = 0.0
        self.fallen = False
        self.draining = False
        self.conns = 0
        self.choked = False
        self.crowded = 0  # how long it has been crowded, less how long it has not
        self.choked_since = NEVER
        self.level = 1.0
        self.rate = 0.0
        self.due = NEVER
        self.pace()

    # ---- speed ---------------------------------------------------------------------------------------

    def capacity(self, now: int) -> float:
        """Yardstick work a microsecond that it could do now if nothing else disturbed it."""
        b = self.build
        return b.cores * b.speed * (self.warmth(now) if self.warm_at else 1.0)

    def warmth(self, now: int) -> float:
        b = self.build
        if now >= self.warm_at:
            return 1.0
        return b.cold_from + (1 - b.cold_from) * (now - self.started) / b.cold_time

    def pace(self) -> None:
        """Sets the work that each running job gets a microsecond, and when the first of them ends."""
        b = self.build
        n = self.active
        if n == 0 or self.stops or not self.up:
            self.rate = 0.0
            self.due = self.next_step if self.up else NEVER
            return
        rate = b.speed * self.warm
        if n > b.cores:
            rate *= b.cores / n
        held = self.slots_used + len(self.waiting)
        if b.thrash and held > b.knee:
            rate /= 1 + b.thrash * (held - b.knee) / b.knee
        if self.conns and b.full_tax:
            rate *= 1 - b.full_tax * min(1.0, self.conns / b.conn_cap)
        if self.choked:
            rate /= b.choke_slower
        for factor in self.factors.values():
            rate *= factor
        self.rate = rate
        running = self.running
        while running and running[0][2].state != Job.RUNNING:
            heappop(running)
        if running and rate > 0:
            end = self.progress_at + int((running[0][0] - self.progress) / rate) + 1
            self.due = end if end < self.next_step else self.next_step
        else:
            self.due = self.next_step

    def move(self, now: int) -> None:
        """Brings what has been done up to date."""
        span = now - self.progress_at
        if span > 0:
            if self.rate > 0:
                step = self.rate * span
                self.progress += step
                self.done_work += step * self.active
                n, cores = self.active, self.build.cores
                self.busy += span * (n if n < cores else cores)
            self.progress_at = now
            if self.build.choke_at:
                self.crowd(now, span)
        if now >= self.next_step:
            self.warm = self.warmth(now)
            self.next_step = (
                now + self.build.cold_time // WARM_STEPS + 1 if self.warm < 1 else NEVER
            )

    def crowd(self, now: int, span: int) -> None:
        """Chokes when crowded for long, recovers when mostly idle for long, or after the longest time.

        How busy it is while choked is smoothed such that full rest for `choke_rest` ends the choke, and a
        load that stays over `choke_below` of the cores never does.
        """
        b = self.build
        if not self.choked:
            crowded = self.active + len(self.waiting) - b.cores >= b.choke_at
            self.crowded = (
                self.crowded + span if crowded else max(0, self.crowded - span)
            )
            if self.crowded >= b.choke_over:
                self.choked = True
                self.chokes += 1
                self.choked_since = now
                self.level = 1.0
        else:
            keep = (
                exp(span / b.choke_rest * log(b.choke_below)) if b.choke_rest else 0.0
            )
            self.level = keep * self.level + (1 - keep) * min(
                1.0, self.active / b.cores
            )
            if self.level <= b.choke_below or now - self.choked_since >= b.choke_most:
                self.choked = False
                self.crowded = 0

    def set_factor(self, now: int, name: str, factor: float | None) -> None:
        """A fault leaves this part of the speed; None ends it. Other faults in force stay."""
        self.move(now)
        if factor is None:
            self.factors.pop(name, None)
        else:
            self.factors[name] = factor
        self.pace()

    def set_errors(self, name: str, share: float | None) -> None:
        """A fault fails this share of the requests at once; None ends it."""
        if share is None:
            self.errors.pop(name, None)
        else:
            self.errors[name] = share

    def fails_fast(self) -> float:
        """The share of requests that fail at once, of all such faults together."""
        well = 1 - self.build.error_rate
        for share in self.errors.values():
            well *= 1 - share
        return 1 - well

    def set_spoils(self, name: str, kind: str, share: float | None) -> None:
        """A fault spoils this share of the answers to what has run; None ends it."""
        if share is None:
            self.spoils.pop(name, None)
        else:
            self.spoils[name] = kind, share

    def spoilt(self, point: float) -> str:
        """The fault that an answer falls to, by a number drawn from [0, 1); empty if it goes out whole."""
        for kind, share in self.spoils.values():
            if point < share:
                return kind
            point -= share
        return ""

    def stop(self, now: int) -> None:
        """Stands still until as many `go` as `stop` have come."""
        self.move(now)
        self.stops += 1
        self.pace()

    def go(self, now: int) -> None:
        self.move(now)
        self.stops -= 1
        self.pace()

    # ---- requests ------------------------------------------------------------------------------------

    def offer(self, now: int, job: Job, informed: bool) -> bool:
        """A request's last byte has come: whether it is taken, into work or into the waiting room.

        `informed` says that its sender had been told of this server's start. A cold server that is sent
        more than it can bear falls over: `fallen` is then set, and the host ends its process.
        """
        self.move(now)
        b = self.build
        if self.warm_at > now and b.fall_multiple:
            self.load_cold(now, job.work, informed)
        if self.draining:
            return False
        if self.slots_used < b.slots:
            self.slots_used += 1
            self.run(job)
        elif len(self.waiting) < b.queue:
            job.state = Job.WAITING
            self.waiting.append(job)
        else:
            return False
        self.pace()
        return True

    def load_cold(self, now: int, work: float, informed: bool) -> None:
        """The budget of a cold server: all work of any window of `fall_time` against what it could do."""
        b = self.build
        self.cold_log.append((now, work, informed))
        self.cold_sum += work
        while self.cold_log[0][0] <= now - b.fall_time:
            self.cold_sum -= self.cold_log.popleft()[1]
        if (
            self.cold_sum
            > b.fall_multiple * self.capacity(now) * b.fall_time * CAPACITY_SLACK
        ):
            self.fallen = True

    def pushed(self) -> bool:
        """Of a server that has fallen over: whether two thirds of its load knew of its start."""
        knowing = sum(work for _, work, informed in self.cold_log if informed)
        return knowing * 3 >= self.cold_sum * 2

    def run(self, job: Job) -> None:
        job.state = Job.RUNNING
        job.mark = self.progress + job.work
        self.seq += 1
        self.active += 1
        heappush(self.running, (job.mark, self.seq, job))

    def finished(self, now: int) -> list[Job]:
        """The jobs whose present stretch has ended. Each keeps its slot until `release` or `resume`."""
        self.move(now)
        ended: list[Job] = []
        running = self.running
        while running:
            mark, _, job = running[0]
            if job.state != Job.RUNNING or job.mark != mark:
                heappop(running)
            elif mark <= self.progress + 1e-6:
                heappop(running)
                job.state = Job.AWAY
                self.active -= 1
                ended.append(job)
            else:
                break
        self.pace()
        return ended

    def resume(self, now: int, job: Job, work: float) -> None:
        """A job that kept its slot while it was away goes on."""
        self.move(now)
        job.work = work
        self.run(job)
        self.pace()

    def release(self, now: int, job: Job) -> None:
        """A job that is away ends: its slot goes to the first that waits."""
        self.move(now)
        job.state = Job.DONE
        self.slots_used -= 1
        self.fill()
        self.pace()

    def fill(self) -> None:
        while self.waiting and self.slots_used < self.build.slots:
            self.slots_used += 1
            self.run(self.waiting.popleft())

    def withdraw(self, now: int, job: Job) -> bool:
        """Nobody waits for the answer any more: whether the job stops here, by this server's own way."""
        how = self.build.cancels
        if job.state == Job.WAITING and how != "none":
            self.waiting.remove(job)
            job.state = Job.DONE
            return True
        if job.state == Job.RUNNING and how == "all":
            self.move(now)
            self.active -= 1
            job.state = Job.DONE
            self.slots_used -= 1
            self.fill()
            self.pace()
            return True
        if job.state == Job.AWAY and how == "all":
            self.release(now, job)
            return True
        return False

    def held(self) -> int:
        """Requests it holds, waiting ones included."""
        return self.slots_used + len(self.waiting)

    def end(self, now: int) -> tuple[list[Job], list[Job]]:
        """The process ends: the jobs that were running, and those that waited. Its host knows who is away."""
        self.move(now)
        running = [job for _, _, job in self.running if job.state == Job.RUNNING]
        waiting = list(self.waiting)
        for job in running + waiting:
            job.state = Job.DONE
        self.up = False
        self.running.clear()
        self.waiting.clear()
        self.active = self.slots_used = self.conns = 0
        self.pace()
        return running, waiting

    def begin(self, now: int) -> None:
        """A new process begins, cold."""
        self.up = True
        self.reset(now, cold=True)
