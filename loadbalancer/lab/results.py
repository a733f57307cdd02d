"""Results as JSON Lines: one line that says what was played, then what came of it, without any wall time."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Any, ClassVar

import msgspec

import loadbalancer
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.claims import Verdict
from loadbalancer.lab.clients import OUTCOMES
from loadbalancer.lab.measures import Figures
from loadbalancer.lab.stage import Tally

FORMAT = 1
RESULTS = "results.jsonl"
ABOVE = ("lab", "cli")  # packages that are no part of what is measured


def digest(folder: Path, leave_out: tuple[str, ...] = ()) -> str:
    """Of the sources under a folder: equal texts have equal digests."""
    state = blake2b(digest_size=6)
    for path in sorted(folder.rglob("*.py")):
        relative = path.relative_to(folder)
        if relative.parts[0] not in leave_out:
            state.update(
                relative.as_posix().encode() + b"\x00" + path.read_bytes() + b"\x00"
            )
    return state.hexdigest()


def version(root: Path | None = None) -> dict[str, str]:
    """What a result names as its origin: the release, and digests of the program and of the lab."""
    here = Path(loadbalancer.__file__).parent
    return {
        "version": loadbalancer.__version__,
        "program": digest((root / "loadbalancer") if root else here, ABOVE),
        "lab": digest(here / "lab"),
    }


def lines(
    tally: Tally,
    figures: Figures,
    verdicts: list[Verdict],
    module: str,
    origin: dict[str, str],
) -> list[dict[str, Any]]:
    """A run as rows: `run`, `fault`, `window`, `sample`, `tier`, `histogram`, `rule`, `claim`, `summary`."""
    world = tally.world
    s = world.scenario
    text = msgspec.json.encode(s, order="sorted")
    who = {"scenario": s.name, "seed": world.seed}
    out: list[dict[str, Any]] = [
        {
            "type": "run",
            "format": FORMAT,
            **who,
            "title": s.title,
            "scenario_digest": blake2b(text, digest_size=6).hexdigest(),
            "module": module,
            **origin,
            "seconds": s.seconds,
            "rate": round(world.rate, 3),
            "capacity": round(world.capacity, 3),
            "servers": [len(t.servers) for t in tally.tiers],
            "nodes": [t.nodes for t in tally.tiers],
            "events": tally.events,
            "outcomes": list(OUTCOMES),
            "classes": [c.name for c in s.classes],
            "tiers": [t.name for t in s.tier],
        }
    ]
    out += [{"type": "fault", **mark} for mark in tally.marks]
    out += [{"type": "window", **row} for row in figures.windows()]
    out += [{"type": "sample", **row} for row in tally.measures.samples]
    out += [{"type": "tier", **row} for row in figures.servers()]
    out += [
        {"type": "histogram", "class": k, "hdr": v}
        for k, v in figures.histograms().items()
    ]
    kept = figures.counted
    for group, members in (
        ("class", s.classes),
        ("tenant", s.tenants),
        ("zone", s.zones),
    ):
        for member in members:
            names = ("in_time", "asked", "served", "refused", "failed")
            values = {
                n: round(figures.value(f"{group}.{member.name}.{n}"), 6) for n in names
            }
            out.append({"type": "group", "group": group, "name": member.name, **values})
    counts = figures.attempts[kept]
    histogram = (
        [int((counts == n).sum()) for n in range(int(counts.max()) + 1)]
        if len(counts)
        else []
    )
    out.append({"type": "attempts", "counts": histogram})
    out.append(
        {
            "type": "rules",
            **tally.ledger.counts,
            "notes": [
                {"us": at, "rule": rule, "what": text}
                for at, rule, text in tally.ledger.notes
            ],
        }
    )
    out += [
        {
            "type": "claim",
            "metric": v.metric,
            "op": v.op,
            "bound": v.bound,
            "value": None if v.value == float("inf") else round(v.value, 6),
            "holds": v.holds,
            "known_gap": v.known_gap,
        }
        for v in verdicts
    ]
    out.append({"type": "summary", **who, **figures.summary()})
    return out


class ResultsError(LoadBalancerError, ValueError):
    """A file of results that is not there, or that `lab run --out` did not write so."""

    remedy: ClassVar[str] = (
        "name a folder that `lab run --out FOLDER` has filled, or fill it anew"
    )


def write(path: Path, rows: list[dict[str, Any]]) -> None:
    """Writes rows as JSON Lines."""
    with path.open("wb") as file:
        for row in rows:
            file.write(msgspec.json.encode(row) + b"\n")


def read(path: Path) -> list[dict[str, Any]]:
    """Reads JSON Lines back; a ResultsError names the line that is wrong."""
    try:
        text = path.read_bytes()
    except OSError as e:
        raise ResultsError(e.strerror or str(e), str(path)) from None
    rows = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            row = msgspec.json.decode(line)
        except msgspec.DecodeError as e:
            raise ResultsError(f"not JSON: {e}", f"{path}: line {number}") from None
        if not isinstance(row, dict) or "type" not in row:
            raise ResultsError("not a row of results", f"{path}: line {number}")
        rows.append(row)
    return rows
