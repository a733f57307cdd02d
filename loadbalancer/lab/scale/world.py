"""Plays scenes of a whole fleet's control in virtual time, and writes what a node of it costs as `Slopes`.

    python -m loadbalancer.lab.scale.world rest --sizes 50 100 200 --seeds 1 2 3 --out FILE

`world_fleet.py` has the fleet, docs/scale-worlds.md what is played and how far to believe it.
"""

from __future__ import annotations

import argparse
import gc
import os
import random
import re
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from time import process_time
from typing import NoReturn

import msgspec

from loadbalancer.audit.fleet_view import OUTDATED_STATES, HealthState
from loadbalancer.cells.layout import Layout
from loadbalancer.lab.network import Net
from loadbalancer.lab.scale.interface import Point, Slopes
from loadbalancer.lab.scale.world_fleet import PARTS, SECOND, Fleet, Scope
from loadbalancer.records.rules import RecordRules

STEP = 0.05  # seconds between two looks at whether something holds: how exact the times are
Figures = dict[str, float]
Check = Callable[[], bool]


@dataclass(frozen=True, kw_only=True)
class Wish:
    """What a play is of. A ValueError for what cannot be played."""

    size: int
    seed: int
    cells: int = 0  # 0: flat
    loss: float = 0.0  # part of all datagrams
    observers: int = 16
    swim: bool = True  # False: the membership is handed in

    def __post_init__(self) -> None:
        if not 10 <= self.size <= 10_000:
            raise ValueError(f"{self.size} members: 10 to 10,000")
        if not 0 <= self.loss < 1:
            raise ValueError(f"loss of {self.loss:g}: a part from 0 to below 1")
        if not 0 <= self.cells <= self.size // 3:
            raise ValueError(
                f"{self.cells} cells of {self.size} members: at most one for three members"
            )
        if self.observers < 1:
            raise ValueError("at least one observer")

    def scope(self) -> Scope | None:
        if not self.cells:
            return None
        return Layout(self.cells).cell_of

    def needs_swim(self) -> None:
        """A ValueError where the membership is handed in."""
        if not self.swim:
            raise ValueError(
                "this scene is of the membership too: it cannot be handed in"
            )

    @property
    def beat(self) -> float:
        """Seconds between two beats of an owner in the flat fleet, of 400 members at most; all is timed by
        it, so that the events of a flat fleet and of one in cells come at the same moments.
        """
        return RecordRules().heartbeat_interval_us(min(self.size, 400)) / SECOND

    def draw(self) -> random.Random:
        return random.Random(f"scene/{self.seed}")

    def fleet(self, witness: bool = False, more: int = 0) -> Fleet:
        return Fleet(
            self.size, self.seed, Net(loss=self.loss), self.scope(), self.observers, self.swim, witness,
            self.size + more,
        )  # fmt: skip


class Meter:
    """Runs a fleet and counts what each member sends, second by second, and when something first holds."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.began = fleet.now
        self.first = self.read()
        self.last = self.first
        self.worst_second = 0  # bytes that one member sent in any second
        self.worst_received = 0  # the same of what came to it
        self.times: dict[str, float] = {}
        self.checks: dict[str, Check] = {}
        self.always: list[Callable[[], object]] = []  # called at each look
        self.spent = dict(fleet.spent)
        self.judged = fleet.judged
        fleet.longest = dict.fromkeys(fleet.longest, 0)

    def read(self) -> list[tuple[int, ...]]:
        return [
            (*m.bytes, *m.datagrams, sum(m.received))
            for m in self.fleet.members.values()
        ]

    @property
    def seconds(self) -> float:
        return (self.fleet.now - self.began) / SECOND

    def run(self, seconds: float, enough: bool = False) -> None:
        """Runs for so long; with `enough`, only until all checks have held and a second is full."""
        for step in range(round(seconds / STEP)):
            self.fleet.run(STEP)
            for look in self.always:
                look()
            for name in [
                n for n, check in self.checks.items() if n not in self.times and check()
            ]:
                self.times[name] = round(self.seconds, 2)
            if (step + 1) % round(1 / STEP) == 0:
                self.sample()
                if enough and len(self.times) == len(self.checks):
                    return

    def sample(self) -> None:
        read = self.read()
        for now, then in zip(read, self.last, strict=True):
            self.worst_second = max(
                self.worst_second, now[0] + now[1] - then[0] - then[1]
            )
            self.worst_received = max(self.worst_received, now[4] - then[4])
        self.last = read

    def sent(self) -> list[tuple[int, int]]:
        """Bytes by member since the beginning: membership, records."""
        return [
            (n[0] - f[0], n[1] - f[1])
            for n, f in zip(self.read(), self.first, strict=True)
        ]

    def figures(self) -> Figures:
        read, many, seconds = self.read(), len(self.fleet.members), self.seconds
        sums = [
            [n - f for n, f in zip(now, first, strict=True)]
            for now, first in zip(read, self.first, strict=True)
        ]
        mean = [sum(s[i] for s in sums) / many / seconds for i in range(4)]
        found = {
            "bytes_per_s": mean[0] + mean[1],
            "worst_bytes_per_s": max(s[0] + s[1] for s in sums) / seconds,
            "datagrams_per_s": mean[2] + mean[3],
            "worst_second_bytes": self.worst_second,
            "worst_second_received_bytes": self.worst_received,
        }
        for i, part in enumerate(PARTS):
            found[f"{part}_bytes_per_s"] = mean[i]
            found[f"{part}_worst_bytes_per_s"] = max(s[i] for s in sums) / seconds
            found[f"{part}_datagrams_per_s"] = mean[2 + i]
            spent = self.fleet.spent[part] - self.spent[part]
            found[f"{part}_processor_us_per_s"] = spent / 1e3 / many / seconds
            found[f"{part}_longest_processor_ms"] = self.fleet.longest[part] / 1e6
        judged = self.fleet.judged - self.judged
        if judged:
            for name, part in (("judgement", "judging"), ("hearing", "hearing")):
                found[f"{name}_ms"] = (
                    (self.fleet.spent[part] - self.spent[part]) / judged / 1e6
                )
                found[f"{name}_longest_ms"] = self.fleet.longest[part] / 1e6
        found["false_deaths"] = self.fleet.false_deaths
        found["unfinished"] = len(self.checks) - len(
            self.times
        )  # what did not come to hold in time
        return found | self.times


def rested(wish: Wish, fleet: Fleet, least: float = 10.0) -> Figures:
    """What the fleet sends at rest, over `least` seconds or more, once beats go round evenly."""
    fleet.run(max(5.0, 1.5 * wish.beat))
    meter = Meter(fleet)
    meter.run(max(least, 2 * wish.beat))
    return meter.figures()


# ---- scenes --------------------------------------------------------------------------------------------


def rest(wish: Wish) -> Figures:
    """Nothing happens, and nobody has anything to tell but that it lives."""
    return rested(wish, wish.fleet(), 30.0)


def busy(wish: Wish) -> Figures:
    """No change, but calls pass: every ledger grows, and each member tells its head every 30 s."""
    fleet = wish.fleet(witness=True)
    fleet.run(max(30.0, 1.5 * wish.beat))
    meter = Meter(fleet)
    meter.run(max(30.0, 2 * wish.beat))
    return meter.figures()


class Wrongly:
    """Counts whom an observer holds for a straggler or diverged who is not: pairs, once each."""

    def __init__(self, fleet: Fleet, but: str = "") -> None:
        self.fleet, self.but = fleet, but
        self.pairs: set[tuple[str, str]] = set()

    def look(self) -> None:
        for name in self.fleet.observers:
            picture = self.fleet.members[name].process.picture
            for of, standing in picture.health.items() if picture is not None else ():
                if standing.state in OUTDATED_STATES and of != self.but:
                    self.pairs.add((name, of))


def straggling(wish: Wish, fleet: Fleet) -> tuple[str, Check]:
    """A straggler, and whether all observers, drawn in its cell, hold it for one."""
    draw = wish.draw()
    straggler = draw.choice(list(fleet.members))
    cell = [
        m.place.name
        for m in fleet.cells[fleet.members[straggler].cell]
        if m.place.name != straggler
    ]
    fleet.observe(draw.sample(cell, min(wish.observers, len(cell))))

    def known() -> bool:
        pictures = [fleet.members[n].process.picture for n in fleet.observers]
        return all(
            p is not None
            and straggler in p.health
            and p.health[straggler].state == HealthState.STRAGGLER
            for p in pictures
        )

    return straggler, known


def changes(wish: Wish, moments: Sequence[float], over: float) -> Figures:
    """New versions at moments, each taken up within a second by all but one, which keeps the first."""
    fleet = wish.fleet()
    straggler, known = straggling(wish, fleet)
    wrongly = Wrongly(fleet, straggler)
    before = rested(wish, fleet)
    meter = Meter(fleet)
    meter.always.append(wrongly.look)
    meter.checks["straggler_known_s"] = known
    began = fleet.now
    for moment in moments:
        meter.run(round((moment - meter.seconds) / STEP) * STEP)
        version = fleet.change(but=straggler)
    last = (fleet.now - began) / SECOND
    meter.checks["all_hold_s"] = lambda: fleet.words_agree(version, straggler)
    meter.run(over - last)
    meter.run(60.0, enough=True)
    found = meter.figures()
    if "all_hold_s" in found:
        found["all_hold_s"] -= last
    rest_ = before["records_bytes_per_s"] * meter.seconds
    records = [r for _, r in meter.sent()]
    found["change_bytes"] = (sum(records) / len(records) - rest_) / len(moments)
    found["worst_change_bytes"] = (max(records) - rest_) / len(moments)
    found["wrongly_straggler"] = len(wrongly.pairs)
    return found | {
        f"rest_{k}": before[k] for k in ("bytes_per_s", "records_bytes_per_s")
    }


def change(wish: Wish) -> Figures:
    """One change of the list that all but one take up within a second; 15 s."""
    return changes(wish, [0.0], 15.0)


def changes20(wish: Wish) -> Figures:
    """20 changes at drawn moments of a minute."""
    draw = wish.draw()
    return changes(wish, sorted(draw.uniform(0, 60) for _ in range(20)), 60.0)


def overlap(wish: Wish) -> Figures:
    """A change half a second after an earlier one; 15 s. Times count from the later one."""
    return changes(wish, [0.0, 0.5], 15.0)


def faults(wish: Wish, victims: Sequence[str], fleet: Fleet, down: float) -> Figures:
    """All of these are killed at once and start anew at once, so long after, knowing nothing."""
    before = rested(wish, fleet)
    wrongly = Wrongly(fleet)
    lost = Meter(fleet)
    lost.always.append(wrongly.look)
    for name in victims:
        fleet.stop(name)
    if down > 5:
        lost.checks["dead_known_s"] = fleet.members_agree
    lost.run(down)
    back = Meter(fleet)
    back.always.append(wrongly.look)
    back.checks = {
        "members_agree_s": fleet.members_agree,
        "words_agree_s": fleet.words_agree,
    }
    for name in victims:
        fleet.start(name)
    back.run(30.0)
    back.run(120.0, enough=True)
    found = back.figures()
    found["unfinished"] += len(lost.checks) - len(lost.times)
    found |= lost.times | {
        f"lost_{k}": v for k, v in lost.figures().items() if k in SHORT
    }
    found |= {f"rest_{k}": v for k, v in before.items() if k in SHORT}
    return found | {"victims": len(victims), "wrongly_straggler": len(wrongly.pairs)}


def restart10(wish: Wish) -> Figures:
    """10 in a hundred, drawn, are killed at once and start anew a second later."""
    fleet = wish.fleet()
    return faults(
        wish, wish.draw().sample(list(fleet.members), wish.size // 10), fleet, 1.0
    )


def place_lost(wish: Wish, kind: str, down: float) -> Figures:
    fleet = wish.fleet()
    places = {n: getattr(m.place, kind) for n, m in fleet.members.items()}
    drawn = wish.draw().choice(sorted(set(places.values())))
    return faults(
        wish, [n for n, place in places.items() if place == drawn], fleet, down
    )


def rack(wish: Wish) -> Figures:
    """A rack, about a seventieth of all, is lost for 30 s and comes back at once."""
    return place_lost(wish, "rack", 30.0)


def zone(wish: Wish) -> Figures:
    """A zone, a ninth of all, is lost for 30 s and comes back at once."""
    return place_lost(wish, "zone", 30.0)


def region(wish: Wish, apart: float) -> Figures:
    """A region is cut off for so long; the list changes on its side, and then on the other. Once they are
    joined again, all take up the latest within a second.
    """
    fleet = wish.fleet()
    before = rested(wish, fleet)
    regions = {n: m.place.region for n, m in fleet.members.items()}
    drawn = wish.draw().choice(sorted(set(regions.values())))
    sides = [
        {n for n, r in regions.items() if (r == drawn) is inside}
        for inside in (True, False)
    ]
    cut = Meter(fleet)
    fleet.net.groups = sides
    fleet.parted = lambda one, other: (one in sides[0]) is not (other in sides[0])
    cut.checks["dead_known_s"] = lambda: all(
        m.process.lost == sides[n not in sides[0]] ^ set(fleet.members)
        for n, m in fleet.members.items()
    )
    cut.run(20.0)
    fleet.change(only=sides[0])
    cut.run(20.0)
    fleet.change(only=sides[1])
    cut.run(apart - 40.0)
    across = 2 * len(sides[0]) * len(sides[1])
    held = sum(
        len(sides[n in sides[0]] - m.process.lost) for n, m in fleet.members.items()
    )
    fleet.net.groups, fleet.parted = None, lambda one, other: False
    during = fleet.false_deaths
    back = Meter(fleet)
    version = fleet.change()
    back.checks = {
        "members_agree_s": fleet.members_agree,
        "words_agree_s": lambda: fleet.words_agree(version) and fleet.members_agree(),
    }
    back.run(30.0)
    back.run(90.0, enough=True)
    found = back.figures()
    found["unfinished"] += len(cut.checks) - len(cut.times)
    found["false_deaths_apart"] = during
    found["false_deaths"] -= during
    found["cut_held_live_share"] = (
        held / across
    )  # of the pairs across the cut, at its end
    pairs = len(fleet.members) * (len(fleet.members) - 1)
    found["apart_share"] = (
        sum(len(m.process.lost) for m in fleet.running()) / pairs
    )  # at the end
    found |= cut.times | {f"cut_{k}": v for k, v in cut.figures().items() if k in SHORT}
    return found | {f"rest_{k}": v for k, v in before.items() if k in SHORT}


def region70(wish: Wish) -> Figures:
    """A region, a third of all, is cut off for 70 s, with changes on both sides, and joined again."""
    return region(wish, 70.0)


def region400(wish: Wish) -> Figures:
    """A region, a third of all, is cut off for 400 s, with changes on both sides, and joined again."""
    return region(wish, 400.0)


def region3600(wish: Wish) -> Figures:
    """A region, a third of all, is cut off for an hour, with changes on both sides, and joined again."""
    return region(wish, 3_600.0)


def newcomer(wish: Wish) -> Figures:
    """One that nobody knows starts, and asks the seeds."""
    fleet = wish.fleet(more=1)
    before = rested(wish, fleet)
    name = list(fleet.members)[-1]
    member = fleet.members[name]
    meter = Meter(fleet)
    fleet.start(name)
    meter.checks = {
        "sees_all_s": lambda: not member.process.lost,
        "seen_by_all_s": fleet.members_agree,
        "words_agree_s": fleet.words_agree,
    }
    meter.run(30.0)
    found = meter.figures()
    found["newcomer_sent_bytes"], found["newcomer_received_bytes"] = (
        sum(member.bytes),
        sum(member.received),
    )
    return found | {f"rest_{k}": v for k, v in before.items() if k in SHORT}


HANDED = frozenset(
    ("rest", "busy", "change", "changes20", "overlap")
)  # do without the membership, too
SHORT = (
    "bytes_per_s",
    "worst_bytes_per_s",
    "worst_second_bytes",
    "records_bytes_per_s",
)
SCENES: dict[str, Callable[[Wish], Figures]] = {
    s.__name__: s
    for s in (
        rest,
        busy,
        change,
        changes20,
        overlap,
        restart10,
        rack,
        zone,
        region70,
        region400,
        region3600,
        newcomer,
    )  # fmt: skip
}


def unit(figure: str) -> str:
    for end, found in (
        ("us_per_s", "us of a core a second"),
        ("bytes_per_s", "bytes/s"),
        ("datagrams_per_s", "1/s"),
        ("bytes", "bytes"),
        ("_ms", "ms"),
        ("_s", "s"),
        ("_share", "part"),
    ):
        if figure.endswith(end):
            return found
    return "count"


def play(scene: str, wish: Wish) -> Figures:
    """One scene; how much processor time the play took is among its figures. The collector of cycles rests
    meanwhile: it would be the larger part of a large fleet's play.
    """
    if scene not in HANDED:
        wish.needs_swim()
    gc.collect()
    gc.disable()
    began = process_time()
    try:
        figures = SCENES[scene](wish)
    finally:
        gc.enable()
    figures = {name: round(value, 6) for name, value in figures.items()}
    return figures | {
        "cells": wish.cells,
        "play_processor_s": round(process_time() - began, 1),
    }


class Parser(argparse.ArgumentParser):
    """Bad arguments are one line."""

    def error(self, message: str) -> NoReturn:
        self.exit(2, f"{self.prog}: {message}\n")


def commit() -> str:
    here = Path(__file__).parent
    git = ["git", "-C", str(here)]
    try:
        name = subprocess.run(
            [*git, "rev-parse", "--short=12", "HEAD"],
            capture_output=True,
            text=True,
            check=True,
        )
        changed = subprocess.run(
            [*git, "status", "--porcelain", "--", "*.py"],
            capture_output=True,
            text=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return name.stdout.strip() + (" and changes" if changed.stdout.strip() else "")


def main(arguments: Sequence[str] | None = None) -> None:
    """Plays, prints a line for each play, and writes the file anew after each."""
    arguments = sys.argv[1:] if arguments is None else arguments
    ask = Parser(prog="world", description=__doc__)
    ask.add_argument("scene", choices=sorted(SCENES))
    ask.add_argument("--sizes", type=int, nargs="+", required=True)
    ask.add_argument("--seeds", type=int, nargs="+", required=True)
    ask.add_argument("--cells", type=int, default=0, help="so many cells; 0: flat")
    ask.add_argument(
        "--cell-size",
        type=int,
        default=0,
        help="cells of about so many members, in place of --cells",
    )
    ask.add_argument("--loss", type=float, default=0.0)
    ask.add_argument("--observers", type=int, default=16)
    ask.add_argument(
        "--no-swim", action="store_true", help="the membership is handed in"
    )
    ask.add_argument("--out", type=Path)
    wish = ask.parse_args(arguments)
    if wish.cells and wish.cell_size:
        ask.error("--cells and --cell-size: one of them")
    if wish.out is not None and not wish.out.parent.is_dir():
        ask.error(f"--out {wish.out}: there is no such folder")
    if wish.out is not None and not re.fullmatch(r"[a-z0-9-]+\.json", wish.out.name):
        ask.error(
            f"--out {wish.out}: name the file by small letters, digits and -, and .json"
        )
    if wish.cell_size < 0:
        ask.error("--cell-size: at least 1")
    plays = []
    for size in wish.sizes:
        cells = max(1, round(size / wish.cell_size)) if wish.cell_size else wish.cells
        for seed in wish.seeds:
            try:
                plays.append(
                    Wish(
                        size=size, seed=seed, cells=cells, loss=wish.loss, observers=wish.observers,
                        swim=not wish.no_swim,
                    )
                )  # fmt: skip
                if wish.scene not in HANDED:
                    plays[-1].needs_swim()
            except ValueError as error:
                ask.error(str(error))
    scene = SCENES[wish.scene]
    what = " ".join((scene.__doc__ or "").split())
    if wish.cells:
        what += f" {wish.cells} cells."
    elif wish.cell_size:
        what += f" Cells of about {wish.cell_size} members."
    what += f" Virtual time; {wish.observers} observers judge; {wish.loss:.0%} loss"
    what += "; the membership is handed in." if wish.no_swim else "."
    name = f"world-{wish.scene}".lower() if wish.out is None else wish.out.stem
    machine = (
        f"{os.cpu_count()} cores, one used; load {os.getloadavg()[0]:.0f} at the start"
    )
    made = commit()
    points: list[Point] = []
    for one in plays:
        figures = play(wish.scene, one)
        points.append(Point(size=one.size, seed=one.seed, figures=figures))
        print(
            f"{wish.scene} {one.size} seed {one.seed}:",
            *(f"{k} {v:g}" for k, v in figures.items()),
            flush=True,
        )
        slopes = Slopes(
            name=name, what=what, command=f"python -m loadbalancer.lab.scale.world {' '.join(arguments)}",
            commit=made, date=datetime.now(UTC).strftime("%Y-%m-%d"), machine=machine,
            units={f: unit(f) for p in points for f in p.figures}, points=points,
        )  # fmt: skip
        if wish.out is not None:
            wish.out.write_bytes(
                msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n"
            )


if __name__ == "__main__":
    main()
