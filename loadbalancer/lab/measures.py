"""What a run counts, and the figures made of it. All of it is seen from clients and servers.

One row is kept for each wish; everything else is worked out from the rows when the day is over. Once a second
the servers' load and the nodes' limits are sampled for the plots; the limits are the only figures here that
are the module's own word, and no claim rests on them.
"""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING, Any

import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from loadbalancer.lab.clients import (
    FAILED,
    IN_TIME,
    LATE,
    LEFT,
    OUTCOMES,
    REFUSED,
    UNANSWERED,
)
from loadbalancer.lab.rules import RULES
from loadbalancer.lab.world import SECOND

if TYPE_CHECKING:
    from loadbalancer.lab.clients import Wish
    from loadbalancer.lab.stage import Stage, Tally

HIGHEST = 60 * SECOND  # of the histograms
DIGITS = 3
NAMED_SERVERS = 200  # larger tiers are told by their quantiles
RECOVERED = 0.95  # of the worth in time, in each of ...
RECOVERED_FOR = 3  # ... so many seconds in a row


class Measures:
    """Rows and samples of one run."""

    def __init__(self) -> None:
        self.born = array("q")
        self.took = array("q")
        self.class_index = array("H")
        self.tenant = array("H")
        self.zone = array("H")
        self.outcome = array("B")
        self.tried = array("B")
        self.attempts = array("B")
        self.tries = self.refusals = self.unreached = self.fell = self.logged = 0
        self.samples: list[dict[str, Any]] = []
        self.last_busy: list[list[float]] = []

    def ended(self, wish: Wish, outcome: int, at: int) -> None:
        """A wish has ended."""
        self.born.append(wish.born)
        self.took.append(at - wish.born)
        self.class_index.append(wish.class_index)
        self.tenant.append(wish.tenant)
        self.zone.append(wish.zone)
        self.outcome.append(outcome)
        self.tried.append(min(wish.tries, 255))
        self.attempts.append(min(wish.attempts, 255))

    def sample(self, stage: Stage) -> None:
        """A second is over."""
        tiers = []
        for i, tier in enumerate(stage.staged):
            if len(self.last_busy) <= i:
                self.last_busy.append([0.0] * len(tier.servers))
            before = self.last_busy[i]
            used = []
            for j, server in enumerate(tier.servers):
                m = server.machine
                m.move(stage.clock.now)
                m.pace()
                server.arm()
                used.append((m.busy - before[j]) / (m.build.cores * SECOND))
                before[j] = m.busy
            up = [u for u, s in zip(used, tier.servers, strict=True) if s.machine.up]
            limit = flight = 0.0
            for node in tier.nodes:
                stats = node.told() if node.alive else None
                if stats is not None:
                    limit += stats["concurrency_limit"]
                    flight += stats["in_flight"]
            row: dict[str, Any] = {
                "up": len(up),
                "choked": sum(s.machine.choked for s in tier.servers),
                "limit": round(limit, 3),
                "in_flight": round(flight, 3),
                "use": [
                    round(float(q), 4) for q in np.quantile(up, (0, 0.25, 0.5, 0.75, 1))
                ]
                if up
                else [],
            }
            if len(used) <= 64:
                row["servers"] = [round(u, 3) for u in used]
            tiers.append(row)
        self.samples.append({"second": len(self.samples), "tiers": tiers})


class Figures:
    """A finished run's figures, by name. `docs/lab.md` lists the names."""

    def __init__(self, tally: Tally) -> None:
        self.tally = tally
        w = tally.world
        s = w.scenario
        m = tally.measures
        # By time of arrival, so that rows do not hang on which of two wishes ended first.
        born = np.asarray(m.born, dtype=np.int64)
        order = np.argsort(born, kind="stable")
        self.at = (born[order] - tally.epoch) / SECOND
        self.took = np.asarray(m.took, dtype=np.int64)[order]
        self.class_index = np.asarray(m.class_index, dtype=np.int64)[order]
        self.tenant = np.asarray(m.tenant, dtype=np.int64)[order]
        self.zone = np.asarray(m.zone, dtype=np.int64)[order]
        self.outcome = np.asarray(m.outcome, dtype=np.int64)[order]
        self.tried = np.asarray(m.tried, dtype=np.int64)[order]
        self.attempts = np.asarray(m.attempts, dtype=np.int64)[order]
        worth = np.array([c.settings.priority_weight for c in w.classes])
        late = np.array([c.settings.late_priority_weight for c in w.classes])
        self.asked: np.ndarray = (
            worth[self.class_index] if len(self.class_index) else np.zeros(0)
        )
        part = np.where(
            self.outcome == IN_TIME,
            1.0,
            np.where(self.outcome == LATE, late[self.class_index], 0.0),
        )
        self.won = self.asked * part
        self.counted = self.at >= s.warm_s

    # ---- parts ---------------------------------------------------------------------------------------

    def in_time(self, rows: np.ndarray) -> float:
        """Worth answered over worth asked for; 1 where nothing was asked."""
        asked = float(self.asked[rows].sum())
        return float(self.won[rows].sum()) / asked if asked else 1.0

    def worst_window(self) -> float:
        """The worst stretch of the scenario's window, by seconds."""
        s = self.tally.world.scenario
        seconds = self.at.astype(np.int64)
        last = int(np.ceil(s.seconds))
        asked = np.bincount(seconds[self.counted], self.asked[self.counted], last)
        won = np.bincount(seconds[self.counted], self.won[self.counted], last)
        width = min(last, max(1, round(s.window_s)))
        ones = np.ones(width)
        asked_in, won_in = (
            np.convolve(asked, ones, "valid"),
            np.convolve(won, ones, "valid"),
        )
        first = int(np.ceil(s.warm_s))
        parts = [
            w / a
            for a, w in zip(asked_in[first:], won_in[first:], strict=True)
            if a > 0
        ]
        return float(min(parts, default=1.0))

    def worst_class(self) -> float:
        rows = [
            self.counted & (self.class_index == k)
            for k in range(len(self.tally.world.classes))
        ]
        return min(self.in_time(r) for r in rows)

    def late_fails(self) -> float:
        """Worth that ended unserved after its aim had passed, over the worth asked for."""
        aims = np.array(
            [c.settings.latency_objective for c in self.tally.world.classes]
        )
        unserved = self.counted & (self.outcome >= REFUSED) & (self.outcome != LEFT)
        late = unserved & (self.took > aims[self.class_index])
        asked = float(self.asked[self.counted].sum())
        return float(self.asked[late].sum()) / asked if asked else 0.0

    def waste(self) -> float:
        """Server work for answers that no client got, over the work asked for."""
        offered = self.tally.offered_work
        return (
            max(0.0, self.tally.spent_work - self.tally.useful_work) / offered
            if offered
            else 0.0
        )

    def choked(self) -> float:
        """The share of servers that were overdriven at some time."""
        servers = [s for t in self.tally.tiers for s in t.servers]
        return sum(s.chokes > 0 for s in servers) / len(servers)

    def service(self) -> float:
        """The goal's mix of the whole day, the worst window and the worst class, less what is taken off."""
        g = self.tally.world.scenario.goal
        mix = (
            g.whole * self.in_time(self.counted)
            + g.worst_window * self.worst_window()
            + g.worst_class * self.worst_class()
        )
        return (
            mix
            - g.waste_price * self.waste()
            - g.late_fail_price * self.late_fails()
            - g.choke_price * self.choked()
        )

    def recovery(self) -> float:
        """Seconds from the end of the last fault until worth in time is back to stay; inf if never."""
        s = self.tally.world.scenario
        end = max((f.at + f.seconds for f in s.faults), default=0.0)
        seconds = self.at.astype(np.int64)
        run = 0
        for second in range(int(np.ceil(end)), int(s.seconds)):
            rows = seconds == second
            run = run + 1 if self.in_time(rows) >= RECOVERED else 0
            if run == RECOVERED_FOR:
                return max(0.0, second + 1 - RECOVERED_FOR - end)
        return float("inf")

    def percentile(self, share: float) -> float:
        """Milliseconds within which this share of the served wishes had its answer."""
        served = self.took[self.counted & (self.outcome <= LATE)]
        return float(np.quantile(served, share)) / 1000 if len(served) else 0.0

    def evenness(self) -> float:
        """How much busier than the mean the busiest server of the first tier was."""
        span = max(1, self.tally.world.length)
        first = self.tally.tiers[0]
        used = [s.busy / (s.cores * span) for s in first.servers[: first.initial]]
        mean = sum(used) / len(used)
        return max(used) / mean if mean else 1.0

    def crossed(self, zone: int, first: float, last: float) -> float:
        """Attempts from nodes of other zones, as a part of what a zone's servers can do when all are well."""
        world = self.tally.world
        tier = world.tiers[0]
        work = sum(c.share * c.work for c in world.classes) * tier.work
        bears = (
            sum(
                b.cores * b.speed for b in tier.builds[: tier.initial] if b.zone == zone
            )
            * SECOND
            / work
        )
        came = sum(
            n
            for (at, z), n in self.tally.crossed.items()
            if z == zone and first <= at < last
        )
        return came / max(last - first, 1e-9) / bears if bears else 0.0

    def hit_rate(self, first: float, last: float) -> float:
        """The part of the requests with a key that found it, over some seconds of the day."""
        lines = [
            line for second, line in self.tally.hits.items() if first <= second < last
        ]
        asked = sum(line[0] for line in lines)
        return sum(line[1] for line in lines) / asked if asked else 0.0

    def late_peak(self) -> float:
        """The largest part of a second's wishes that were not served in time."""
        seconds = self.at.astype(np.int64)
        parts = [
            1 - self.share(rows, IN_TIME)
            for second in range(int(self.tally.world.scenario.seconds))
            if (rows := (seconds == second) & self.counted).sum() >= 50
        ]
        return max(parts, default=0.0)

    def value(self, name: str) -> float:
        """A figure by its name; a ValueError for one that is not known. `@A:B` keeps seconds A to B."""
        base, at, span = name.partition("@")
        rows = self.counted
        if at:
            start, _, end = span.partition(":")
            rows = (self.at >= float(start)) & (self.at < float(end))
        s = self.tally.world.scenario
        members = {
            "class": [x.name for x in s.classes],
            "tenant": [x.name for x in s.tenants],
            "zone": [x.name for x in s.zones],
        }
        group, dot, rest = base.partition(".")
        if base == "hit_rate":
            first, last = (
                (float(x) for x in span.split(":")) if at else (s.warm_s, s.seconds)
            )
            return self.hit_rate(first, last)
        if group == "zone" and base.endswith(".crossed"):
            first, last = (
                (float(x) for x in span.split(":")) if at else (s.warm_s, s.seconds)
            )
            return self.crossed(
                [z.name for z in s.zones].index(rest.removesuffix(".crossed")),
                first,
                last,
            )
        if group == "rule" and rest in RULES:
            return float(self.tally.ledger.counts[rest])
        if group in members and dot:
            label, _, base = rest.rpartition(".")
            place = members[group].index(label)
            rows = rows & (
                {"class": self.class_index, "tenant": self.tenant, "zone": self.zone}[
                    group
                ]
                == place
            )
        if base in BY_ROWS:
            return float(BY_ROWS[base](self, rows))
        return float(WHOLE[base](self))

    def share(self, rows: np.ndarray, *outcomes: int) -> float:
        count = int(rows.sum())
        return (
            float(np.isin(self.outcome[rows], outcomes).sum()) / count if count else 0.0
        )

    # ---- results -------------------------------------------------------------------------------------

    def summary(self) -> dict[str, float]:
        """The figures that every run reports."""
        names = [
            "service", "in_time", "worst_window", "worst_class", "asked", "served", "refused", "failed",
            "unanswered", "p50_ms", "p90_ms", "p99_ms", "attempts", "tries", "waste", "late_fails", "choked",
            "fell", "evenness",
        ]  # fmt: skip
        return {name: round(self.value(name), 6) for name in names}

    def windows(self) -> list[dict[str, Any]]:
        """One row for each second: what was asked for, what came of it, and how long it took."""
        out = []
        seconds = self.at.astype(np.int64)
        for second in range(int(np.ceil(self.tally.world.scenario.seconds))):
            rows = seconds == second
            took = self.took[rows & (self.outcome <= LATE)]
            quantiles = (
                np.quantile(took, (0.5, 0.9, 0.99)) / 1000 if len(took) else (0, 0, 0)
            )
            out.append(
                {
                    "second": second,
                    "asked": int(rows.sum()),
                    "worth": round(float(self.asked[rows].sum()), 3),
                    "won": round(float(self.won[rows].sum()), 3),
                    "outcomes": np.bincount(
                        self.outcome[rows], minlength=len(OUTCOMES)
                    ).tolist(),
                    "tries": int(self.tried[rows].sum()),
                    "ms": [round(float(q), 2) for q in quantiles],
                }
            )
        return out

    def histograms(self) -> dict[str, str]:
        """Latency of what was served, by class: HdrHistograms in microseconds, in their own encoding."""
        out = {}
        for k, c in enumerate(self.tally.world.classes):
            histogram = HdrHistogram(1, HIGHEST, DIGITS)
            took = self.took[
                self.counted & (self.class_index == k) & (self.outcome <= LATE)
            ]
            values, counts = np.unique(took, return_counts=True)
            for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                histogram.record_value(max(1, value), count)
            out[c.name] = histogram.encode().decode()
        return out

    def servers(self) -> list[dict[str, Any]]:
        """What each server did; large tiers by quantiles."""
        world = self.tally.world
        out: list[dict[str, Any]] = []
        for tier in self.tally.tiers:
            rows = [
                {
                    "server": s.index,
                    "kind": tier.kinds[s.kind],
                    "zone": world.scenario.zones[s.zone].name,
                    "speed": round(s.speed, 4),
                    "use": round(s.busy / (s.cores * world.length), 4),
                    "requests": s.requests,
                    "rejected": s.rejected,
                    "failed": s.failed,
                    "chokes": s.chokes,
                }
                for s in tier.servers
            ]
            entry: dict[str, Any] = {"tier": tier.name, "count": len(rows)}
            for key in ("use", "requests", "rejected", "failed"):
                quantiles = np.quantile(
                    [float(r[key]) for r in rows],  # type: ignore[arg-type]
                    (0, 0.1, 0.5, 0.9, 1),
                )
                entry[key] = [round(float(q), 4) for q in quantiles]
            if len(rows) <= NAMED_SERVERS:
                entry["servers"] = rows
            out.append(entry)
        return out


def counted(figures: Figures, rows: np.ndarray) -> float:
    return float(rows.sum())


BY_ROWS: dict[str, Any] = {
    "in_time": lambda f, rows: f.in_time(rows),
    "asked": counted,
    "served": lambda f, rows: f.share(rows, IN_TIME, LATE),
    "late": lambda f, rows: f.share(rows, LATE),
    "refused": lambda f, rows: f.share(rows, REFUSED),
    "failed": lambda f, rows: f.share(rows, FAILED),
    "unanswered": lambda f, rows: f.share(rows, UNANSWERED),
    "left": lambda f, rows: f.share(rows, LEFT),
    "tries": lambda f, rows: float(f.tried[rows].mean()) if rows.any() else 0.0,
    "attempts": lambda f, rows: float(f.attempts[rows].mean()) if rows.any() else 0.0,
}
WHOLE: dict[str, Any] = {
    "service": Figures.service,
    "worst_window": Figures.worst_window,
    "worst_class": Figures.worst_class,
    "waste": Figures.waste,
    "late_fails": Figures.late_fails,
    "choked": Figures.choked,
    "recovery_s": Figures.recovery,
    "evenness": Figures.evenness,
    "fell": lambda f: float(f.tally.measures.fell),
    "rules": lambda f: float(f.tally.ledger.total()),
    "late_peak": Figures.late_peak,
    "hit_rate": lambda f: f.value("hit_rate"),
    "p50_ms": lambda f: f.percentile(0.5),
    "p90_ms": lambda f: f.percentile(0.9),
    "p99_ms": lambda f: f.percentile(0.99),
}
