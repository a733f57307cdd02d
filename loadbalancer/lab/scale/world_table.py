"""Works the tables of docs/scale-worlds.md out of `benchmarks/slopes/world-*.json`.

python -m loadbalancer.lab.scale.world_table
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from loadbalancer.lab.scale.interface import Point, Slopes

FILES = Path("benchmarks/slopes")
REST = {  # column: figure
    "bytes/s": "bytes_per_s",
    "worst member": "worst_bytes_per_s",
    "membership, bytes/s": "membership_bytes_per_s",
    "records, bytes/s": "records_bytes_per_s",
    "datagrams/s": "datagrams_per_s",
    "membership, us/s": "membership_processor_us_per_s",
    "records, us/s": "records_processor_us_per_s",
    "gather + judge, ms": "",
    "longest call, ms: membership": "membership_longest_processor_ms",
    "records": "records_longest_processor_ms",
}
CHANGE = {
    "bytes a change": "change_bytes",
    "worst member": "worst_change_bytes",
    "bytes/s meanwhile": "bytes_per_s",
    "worst second": "worst_second_bytes",
    "all hold all, s": "all_hold_s",
    "straggler known, s": "straggler_known_s",
    "wrongly straggler": "wrongly_straggler",
    "not in time": "unfinished",
}
FAULT = {
    "dead known, s": "dead_known_s",
    "worst second while gone": "lost_worst_second_bytes",
    "members agree, s": "members_agree_s",
    "words agree, s": "words_agree_s",
    "worst second at the return": "worst_second_bytes",
    "longest call of the membership, ms": "membership_longest_processor_ms",
    "false deaths": "false_deaths",
    "not in time": "unfinished",
}
REGION = {
    "dead known, s": "dead_known_s",
    "part of pairs held live at the end of the cut": "cut_held_live_share",
    "worst second apart": "cut_worst_second_bytes",
    "members agree, s": "members_agree_s",
    "words agree, s": "words_agree_s",
    "worst second at the return": "worst_second_bytes",
    "false deaths": "false_deaths",
    "pairs apart at the end": "apart_share",
    "not in time": "unfinished",
}
NEWCOMER = {
    "sees all, s": "sees_all_s",
    "seen by all, s": "seen_by_all_s",
    "words agree, s": "words_agree_s",
    "it sends, bytes": "newcomer_sent_bytes",
    "it receives, bytes": "newcomer_received_bytes",
    "worst second of any": "worst_second_bytes",
    "records bytes/s of all, 30 s": "records_bytes_per_s",
}
TABLES: dict[str, tuple[str, dict[str, str]]] = {
    "rest": ("At rest", REST),
    "busy": ("Calls pass, and every ledger's head is told each 30 s", REST),
    "change": ("One change", CHANGE),
    "overlap": ("A change half a second after another", CHANGE),
    "changes20": ("20 changes in a minute", CHANGE),
    "restart10": ("10 in a hundred killed, and started anew a second later", FAULT),
    "rack": ("A rack lost for 30 s", FAULT),
    "zone": ("A zone lost for 30 s", FAULT),
    "region70": ("A region cut off for 70 s", REGION),
    "region400": ("A region cut off for 400 s", REGION),
    "region3600": ("A region cut off for an hour", REGION),
    "newcomer": ("A newcomer", NEWCOMER),
}


def number(value: float) -> str:
    """Three figures or so."""
    if value == round(value) and abs(value) < 1_000:
        return f"{value:.0f}"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def cell(points: Iterable[Point], figure: str) -> str:
    """The mean of the seeds, and the least and the most where they differ; how many have none."""
    every = [p.figures for p in points]
    if not figure:
        every = [
            f | {"": f["hearing_ms"] + f["judgement_ms"]}
            for f in every
            if "judgement_ms" in f
        ]
    values = [f[figure] for f in every if figure in f]
    if not values:
        return (
            "never"
            if figure.endswith("_s") and any(f.get("unfinished") for f in every)
            else "-"
        )
    least, most = number(min(values)), number(max(values))
    found = number(sum(values) / len(values))
    if least != most:
        found += f" ({least} to {most})"
    return found + (
        f", {len(every) - len(values)} never" if len(values) < len(every) else ""
    )


def table(files: dict[str, Slopes], columns: dict[str, str]) -> list[str]:
    """Rows by size, flat and in cells together; `files` by what their names say more, as `loss`."""
    head = ["members", "cells", "seeds", *columns]
    rows = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    found: list[tuple[int, str, list[Point]]] = []
    for name, slopes in files.items():
        for size in sorted({p.size for p in slopes.points}):
            found.append((size, name, [p for p in slopes.points if p.size == size]))
    for size, more, points in sorted(found, key=lambda f: (f[0], f[1])):
        cells = {f"{p.figures['cells']:.0f}" for p in points}
        seeds = " ".join(str(p.seed) for p in points)
        kind = "flat" if cells == {"0"} else " ".join(sorted(cells))
        more = more.replace("cells", "").strip("- ")
        row = [f"{size:,}", f"{kind}, {more}" if more else kind, seeds]
        rows.append(
            "| "
            + " | ".join([*row, *(cell(points, f) for f in columns.values())])
            + " |"
        )
    return rows


def page(folder: Path = FILES) -> str:
    """All tables, with the file and the commit of each."""
    lines: list[str] = []
    for scene, (title, columns) in TABLES.items():
        paths = [
            *folder.glob(f"world-{scene}.json"),
            *sorted(folder.glob(f"world-{scene}-*.json")),
        ]
        files = {
            p.stem: msgspec.json.decode(p.read_bytes(), type=Slopes) for p in paths
        }
        if not files:
            continue
        made = "; ".join(
            f"`{name}.json` at {slopes.commit}" for name, slopes in files.items()
        )
        named = {
            name.removeprefix(f"world-{scene}").strip("-"): slopes
            for name, slopes in files.items()
        }
        lines += [f"**{title}** ({made})", "", *table(named, columns), ""]
    return "\n".join(lines)


if __name__ == "__main__":
    print(page(), end="")
