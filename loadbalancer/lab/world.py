"""One draw of a scenario: every range has a value, every server its speed, all from the run's seed."""

from __future__ import annotations

from dataclasses import dataclass, replace

from loadbalancer.lab.machine import Build
from loadbalancer.lab.scenario import Figure, Machine, Scenario, Tier
from loadbalancer.lab.streams import Stream
from loadbalancer.policy.api import (
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
    TenantSettings,
)

MS, SECOND = 1_000, 1_000_000
EFFECTS = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
GROUPS = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


class Draw:
    """Values of figures. Each figure has a stream of its own, by its place in the scenario."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def value(self, figure: Figure, *place: str | int) -> float:
        if isinstance(figure, (int, float)):
            return float(figure)
        return Stream(self.seed, "figure", *place).between(*figure)

    def us(self, figure: Figure, unit: int, *place: str | int) -> int:
        return int(self.value(figure, *place) * unit)


@dataclass(frozen=True)
class ClassWorld:
    """A request class with its values drawn; times in microseconds."""

    name: str
    settings: RequestClass
    share: float
    work: float
    dist: str
    cv: float
    noise: float


@dataclass(frozen=True)
class ReportWorld:
    """Load reports of a tier."""

    fields: tuple[str, ...]
    period: int
    delay: int
    noise: float


@dataclass(frozen=True)
class PauseWorld:
    """The pauses that a kind of machine has of its own."""

    every: int
    length: int
    grow: float


@dataclass(frozen=True)
class TierWorld:
    """A tier: its servers, its nodes, and what connections to it cost."""

    name: str
    builds: tuple[Build, ...]
    initial: int  # so many of them run from the start, the others are in reserve
    kinds: tuple[str, ...]
    pauses: tuple[PauseWorld, ...]  # by kind
    nodes: tuple[int, ...]  # the zone of each node; none below the first tier
    work: float
    calls: float
    report: ReportWorld | None
    handshake_rtts: float
    handshake_work: float
    idle: int
    connect_timeout: int


@dataclass(frozen=True)
class World:
    """All that a run plays with."""

    scenario: Scenario
    seed: int
    length: int
    classes: tuple[ClassWorld, ...]
    tiers: tuple[TierWorld, ...]
    rate: float  # first tries a second at factor 1
    capacity: float  # first tries a second that the narrowest tier can do, warm and undisturbed
    tick: int
    same: int
    cross: int
    client: int
    jitter: float
    front_notice: int
    retries: float
    try_share: float
    backoff: int
    honour: float
    impatient: float
    notice: int
    silent_notice: int
    add: int
    period: int
    spread: int
    start_spread: int

    def settings(self, tier: int, zone: int, index: int, instances: int) -> Settings:
        """What the module of one node is told."""
        s = self.scenario
        p, r = s.platform, s.rules
        report = self.tiers[tier].report
        return Settings(
            classes=tuple(c.settings for c in self.classes),
            tenants=tuple(TenantSettings(t.quota_rps) for t in s.tenants),
            tier=tier,
            tiers=len(self.tiers),
            zone=zone,
            instances=instances,
            index=index,
            tick_us=max(1, self.tick),
            max_attempts=p.max_attempts,
            cancel=p.cancel,
            hedged_requests=p.second_copies,
            retry_after=p.retry_after,
            max_retry_after=int(p.max_retry_after_ms * MS),
            max_open_requests=p.max_open,
            slow_start_time=int(r.cold_s * SECOND),
            slow_start_initial_share=r.start_capacity,
            overload_multiple=r.fall_multiple,
            overload_window=int(r.fall_ms * MS),
            answer_slack=int(r.answer_slack_ms * MS),
            cross_zone_cost=s.goal.cross_zone_price,
            report_fields=report.fields if report is not None else (),
        )


def build_world(s: Scenario, seed: int) -> World:
    """Draws a scenario's ranges and fleet. The same scenario and seed give the same world."""
    draw = Draw(seed)
    shares = [draw.value(c.share, "class", i, "share") for i, c in enumerate(s.classes)]
    classes = tuple(
        ClassWorld(
            name=c.name,
            settings=RequestClass(
                idempotency=EFFECTS[c.effect],
                latency_objective=int(c.aim_ms * MS),
                deadline=int(c.deadline_ms * MS),
                priority_weight=c.worth,
                late_priority_weight=c.late_worth,
                deduplication_scope=GROUPS[c.group],
                idempotency_window=int(c.window_ms * MS),
            ),
            share=shares[i] / sum(shares),
            work=draw.value(c.work_ms, "class", i, "work") * MS,
            dist=c.dist,
            cv=draw.value(c.cv, "class", i, "cv"),
            noise=draw.value(c.attempt_noise, "class", i, "noise"),
        )
        for i, c in enumerate(s.classes)
    )
    tiers = tuple(tier_world(s, t, i, draw, seed) for i, t in enumerate(s.tier))
    mean_work = sum(c.share * c.work for c in classes)
    capacity, calls = 0.0, 1.0
    for t in tiers:
        calls *= t.calls
        power = sum(b.cores * b.speed for b in t.builds[: t.initial])
        bears = power * SECOND / (mean_work * t.work * calls) if calls else 0.0
        capacity = min(capacity or bears, bears)
    if s.load.rps is not None:
        rate = draw.value(s.load.rps, "load", "rps")
    else:
        assert s.load.of_capacity is not None  # Load checks that one is given
        rate = draw.value(s.load.of_capacity, "load", "of_capacity") * capacity
    n, c, d, p = s.network, s.clients, s.discovery, s.platform
    return World(
        scenario=s,
        seed=seed,
        length=int(s.seconds * SECOND),
        classes=classes,
        tiers=tiers,
        rate=rate,
        capacity=capacity,
        tick=draw.us(p.tick_ms, MS, "platform", "tick"),
        same=draw.us(n.same_ms, MS, "network", "same"),
        cross=draw.us(n.cross_ms, MS, "network", "cross"),
        client=draw.us(n.client_ms, MS, "network", "client"),
        jitter=draw.value(n.jitter, "network", "jitter"),
        front_notice=draw.us(s.front.notice_s, SECOND, "front", "notice"),
        retries=draw.value(c.retries, "clients", "retries"),
        try_share=draw.value(c.try_share, "clients", "try_share"),
        backoff=draw.us(c.backoff_ms, MS, "clients", "backoff"),
        honour=draw.value(c.honour, "clients", "honour"),
        impatient=draw.value(c.impatient, "clients", "impatient"),
        notice=draw.us(d.notice_s, SECOND, "discovery", "notice"),
        silent_notice=draw.us(d.silent_notice_s, SECOND, "discovery", "silent"),
        add=draw.us(d.add_s, SECOND, "discovery", "add"),
        period=max(1, draw.us(d.period_ms, MS, "discovery", "period")),
        spread=draw.us(d.spread_ms, MS, "discovery", "spread"),
        start_spread=draw.us(p.start_spread_ms, MS, "platform", "start"),
    )


def tier_world(s: Scenario, t: Tier, index: int, draw: Draw, seed: int) -> TierWorld:
    """Draws one tier."""
    place = ("tier", index)
    zones = len(s.zones)
    models = [build_of(s, t, k, i, draw, place) for i, k in enumerate(t.kind)]
    speeds = Stream(seed, *place, "speeds")
    cells = max(1.0, draw.value(t.cell_size, *place, "cell"))
    names = [k.name for k in t.kind]
    builds: list[Build] = []
    if t.server:
        zone_names = [z.name for z in s.zones]
        for line in t.server:
            kind = names.index(line.kind)
            zone = zone_names.index(line.zone) if line.zone is not None else 0
            builds.append(
                replace(models[kind], speed=line.speed, zone=zone, cell=line.cell)
            )
        initial = len(builds)
        total = initial + t.reserve
    else:
        initial = max(1, round(draw.value(t.servers, *place, "servers")))
        total = initial + t.reserve
    shares = [
        draw.value(k.share, *place, "kind", i, "share") for i, k in enumerate(t.kind)
    ]
    dealt = [0.0] * len(shares)
    for i in range(len(builds), total):
        # Every kind is dealt out by its share, in turn, so that each zone has its part of each.
        for k, share in enumerate(shares):
            dealt[k] += share
        kind = max(range(len(shares)), key=lambda k: dealt[k])
        dealt[kind] -= sum(shares)
        machine = t.kind[kind]
        low, high = (
            (machine.speed, machine.speed)
            if isinstance(machine.speed, (int, float))
            else machine.speed
        )
        speed = speeds.between(low, high) * speeds.spread(
            draw.value(machine.speed_cv, *place, "kind", kind, "cv")
        )
        zone = (i // max(1, len(shares))) % zones if zones > 1 else 0
        builds.append(
            replace(models[kind], speed=speed, zone=zone, cell=int(i / cells))
        )
    nodes: list[int] = []
    if index == 0:
        count = max(1, round(draw.value(t.nodes, *place, "nodes")))
        nodes = [i % zones for i in range(count)]
    r = t.report
    return TierWorld(
        name=t.name,
        builds=tuple(builds),
        initial=initial,
        kinds=tuple(names),
        pauses=tuple(
            PauseWorld(
                every=draw.us(
                    k.pause_every_s, SECOND, *place, "kind", i, "pause_every"
                ),
                length=draw.us(k.pause_ms, MS, *place, "kind", i, "pause"),
                grow=draw.value(k.pause_grow, *place, "kind", i, "pause_grow"),
            )
            for i, k in enumerate(t.kind)
        ),
        nodes=tuple(nodes),
        work=draw.value(t.work, *place, "work"),
        calls=draw.value(t.calls, *place, "calls") if index else 1.0,
        report=None
        if r is None
        else ReportWorld(
            fields=tuple(r.fields),
            period=max(1, draw.us(r.period_ms, MS, *place, "report", "period")),
            delay=draw.us(r.delay_ms, MS, *place, "report", "delay"),
            noise=draw.value(r.noise, *place, "report", "noise"),
        ),
        handshake_rtts=draw.value(t.conn.handshake_rtts, *place, "conn", "rtts"),
        handshake_work=draw.value(t.conn.handshake_us, *place, "conn", "work"),
        idle=int(t.conn.idle_s * SECOND),
        connect_timeout=int(t.conn.connect_timeout_ms * MS),
    )


def build_of(
    s: Scenario,
    t: Tier,
    k: Machine,
    index: int,
    draw: Draw,
    place: tuple[str | int, ...],
) -> Build:
    """What all machines of a kind have in common."""
    here = (*place, "kind", index)
    choke = t.choke
    cores = k.cores
    return Build(
        cores=cores,
        slots=max(1, round(draw.value(k.slots_per_core, *here, "slots") * cores)),
        queue=round(draw.value(k.queue_per_core, *here, "queue") * cores),
        thrash=draw.value(k.thrash, *here, "thrash"),
        knee=max(1.0, draw.value(k.thrash_at, *here, "thrash_at") * cores),
        cold_from=min(1.0, draw.value(k.cold_from, *here, "cold_from")),
        cold_time=draw.us(k.cold_s, SECOND, *here, "cold"),
        cancels=k.cancel,
        error_rate=draw.value(k.error_rate, *here, "errors"),
        conn_cap=round(draw.value(t.conn.cap_per_core, *place, "conn", "cap") * cores),
        full_tax=draw.value(t.conn.full_tax, *place, "conn", "tax"),
        choke_at=draw.value(choke.at, *place, "choke", "at") if choke else 0.0,
        choke_over=draw.us(choke.over_s, SECOND, *place, "choke", "over")
        if choke
        else 0,
        choke_slower=draw.value(choke.slower, *place, "choke", "slower")
        if choke
        else 1.0,
        choke_below=draw.value(choke.below, *place, "choke", "below") if choke else 0.3,
        choke_rest=draw.us(choke.rest_s, SECOND, *place, "choke", "rest")
        if choke
        else 0,
        choke_most=draw.us(choke.most_s, SECOND, *place, "choke", "most")
        if choke
        else 0,
        fall_multiple=s.rules.fall_multiple,
        fall_time=int(s.rules.fall_ms * MS),
        kind=index,
    )
