"""The tables of the page on added time, from recorded figures."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from itertools import pairwise
from pathlib import Path

import msgspec
import numpy as np

from loadbalancer.lab.scale.added_statistics import DIRECT, PATHS
from loadbalancer.lab.scale.interface import Slopes

PARTS = {  # what holds the loop, as the page calls it
    "audit: judgement": "timer Audit.tick",
    "of it: members' words read": "within audit: words read",
    "of it: the fleet judged": "within audit: the fleet judged",
    "audit: ledger written": "timer Audit.flush",
    "membership: timer": "timer Members.due",
    "membership: datagram": "datagram membership",
    "records: timer": "timer Spreading.due",
    "records: datagram": "datagram records",
    "freeze: look": "timer FreezePart.look",
    "clients' connections: sweep": "timer Callers.sweep",
    "servers' connections: sweep": "timer Pool.sweep",
    "discovery (nobody answers here)": "timer Discovery.ask",
    "collector, youngest": "collector generation 0",
    "collector, middle": "collector generation 1",
    "collector, all": "collector generation 2",
    "a call, from the client": "call: from the client",
    "a call, from the server": "call: from the server",
    "rare: full exchange of members sent": "rare: a full exchange of members is sent",
    "rare: a member changed, parts told": "rare: a member has changed, all parts told",
    "rare: a member changed, records told": "rare: a member has changed, records told",
    "rare: newcomer asks for all heads": "rare: a newcomer asks for all heads",
    "rare: judgement with all words new": "rare: every word is new, one judgement",
    "coordinator: tells all, each second": "rare: the coordinator tells all members",
    "coordinator: judges reports, each second": "rare: the coordinator judges all reports",
}
WHOLE = "all of the loop"


def interval(f: Mapping[str, float], name: str) -> str:
    """A figure with its interval, for the page."""
    if name not in f:
        return "-"
    low, high = (f.get(f"{name}_{end}") for end in ("low", "high"))
    ends = [f"{end:.2f}" if end is not None else "open" for end in (low, high)]
    return f"{f[name]:.2f} ({ends[0]} to {ends[1]})"


def table_of_added(slopes: Slopes) -> str:
    """What paths add, one line a path and point."""
    sized = slopes.axis != "calls a second"
    heads = [
        "calls/s",
        "service",
        "seed",
        "path",
        "p50",
        "p99",
        "p99 of all turns",
        "turns kept",
    ]
    heads += ["stolen", "yard", ""]
    heads = [slopes.axis, *heads] if sized else heads
    rows = []
    ordered = sorted(
        slopes.points,
        key=lambda x: (
            x.size if sized else 0,
            x.figures["rate"],
            x.figures["service_ms"],
            x.seed,
        ),
    )
    for point in ordered:
        f, verdict = point.figures, "void" if point.void else "usable"
        of = [f"{f['rate']:g}", f"{f['service_ms']:g} ms", str(point.seed)]
        of = [str(point.size), *of] if sized else of
        yarded = f"{f['yard_ms']:.1f} ms" if "yard_ms" in f else "not taken"
        stolen = (
            f"{f['stolen_percent']:.2f} %" if "stolen_percent" in f else "not counted"
        )
        direct = [
            f"{f[name]:.2f}" if name in f else "-"
            for name in ("direct_p50_ms", "direct_p99_ms")
        ]
        rows.append(
            [
                *of,
                "direct itself",
                *direct,
                "",
                kept(f, DIRECT),
                stolen,
                yarded,
                verdict,
            ]
        )
        for path in PATHS[1:]:
            if f"{path}_blocks" in f:
                names = [
                    f"{path}_added_p50_ms",
                    f"{path}_added_p99_ms",
                    f"{path}_all_p99_ms",
                ]
                rows.append(
                    [
                        *of,
                        path,
                        *(interval(f, name) for name in names),
                        kept(f, path),
                        "",
                        "",
                        verdict,
                    ]
                )
    return markdown(heads, rows)


def kept(f: Mapping[str, float], path: str) -> str:
    """How many of a path's turns nobody disturbed."""
    return f"{f.get(f'{path}_blocks', 0):.0f} of {f['blocks']:.0f}"


def table_of_parts(slopes: Slopes) -> str:
    """What holds the loop, by the number of members.

    In ms, the median over seeds of the middle hold, and the longest of all; last the calls in a hundred that
    wait for a hold for longer than the target.
    """
    sizes = sorted({p.size for p in slopes.points})

    def found(size: int, figure: str) -> list[float]:
        return [
            p.figures[figure]
            for p in slopes.points
            if p.size == size and figure in p.figures
        ]

    rows = []
    for name, key in PARTS.items():
        row = [name]
        for size in sizes:
            middle, longest = (
                found(size, f"{key}: p50_ms"),
                found(size, f"{key}: longest_ms"),
            )
            row.append(
                f"{np.median(middle):.2f}, {max(longest):.2f}" if middle else "-"
            )
        rows.append(row)
    for name, key in (
        ("in 100 calls, the judgement alone", PARTS["audit: judgement"]),
        ("all", WHOLE),
    ):
        over = [found(size, f"{key}: over_percent") for size in sizes]
        rows.append(
            [
                f"**{name}**",
                *(f"{min(x):.2f} to {max(x):.2f}" if x else "-" for x in over),
            ]
        )
    table = markdown(["ms: middle, longest", *map(str, sizes)], rows)
    by_seed = [
        used_up(slopes, seed) for seed in sorted({p.seed for p in slopes.points})
    ]
    reached = [n for n in by_seed if n is not None]
    if not reached:
        return table
    return f"{table}\n\nOne call in 100 is used up at {min(reached):.0f} to {max(reached):.0f} members."


def used_up(slopes: Slopes, seed: int) -> float | None:
    """The number of members from which holds alone make one call in a hundred wait longer than the target.

    It lies on a straight line between the sizes that were played; None if that is not reached.
    """
    points = sorted(
        (p.size, p.figures.get(f"{WHOLE}: over_percent"))
        for p in slopes.points
        if p.seed == seed
    )
    known = [(size, over) for size, over in points if over is not None]
    for (size, over), (larger, more) in pairwise(known):
        if over <= 1 < more:
            return size + (larger - size) * (1 - over) / (more - over)
    return None


def markdown(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A table for a page."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def table_of(path: Path) -> str:
    """The page's table of a file."""
    slopes = msgspec.json.decode(path.read_bytes(), type=Slopes)
    watched = any(f"{WHOLE}: over_percent" in point.figures for point in slopes.points)
    return table_of_parts(slopes) if watched else table_of_added(slopes)
