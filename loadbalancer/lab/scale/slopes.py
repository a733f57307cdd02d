"""Reads and writes the files of slopes, strictly: what a page is worked out of must not be half a file."""

from __future__ import annotations

import math
import os
import subprocess
from datetime import UTC, datetime
from pathlib import Path
from typing import ClassVar

import msgspec

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.scale.interface import Point, Slopes

ROOT = Path(__file__).parents[3]
FOLDER = ROOT / "benchmarks" / "slopes"
DECODER = msgspec.json.Decoder(Slopes)


class SlopesUnreadable(LoadBalancerError):
    """A file of slopes that is missing, is no JSON, or has not the form of one."""

    remedy: ClassVar[str] = (
        "play the command that the file names again, or take the file back from the commit that wrote it"
    )


def load(path: Path) -> Slopes:
    """The slopes in a file. A `SlopesUnreadable` in one line for anything else than a whole, sound file."""
    try:
        data = path.read_bytes()
    except OSError as e:
        raise SlopesUnreadable(e.strerror or "cannot be read", path.name) from None
    try:
        slopes = DECODER.decode(data)
    except msgspec.MsgspecError as e:
        raise SlopesUnreadable(
            f"no slopes: {' '.join(str(e).split())}", path.name
        ) from None
    except UnicodeDecodeError:
        raise SlopesUnreadable("no slopes: it is not UTF-8", path.name) from None
    check(slopes, path.name)
    if slopes.name != path.stem:
        raise SlopesUnreadable(f"it says that it is {slopes.name!r}", path.name)
    return slopes


def check(slopes: Slopes, where: str) -> None:
    """What the form alone does not say: figures are numbers, and no run is told twice. In real time the same
    seed may be played again, with other figures. A figure without a unit is a bare number.
    """
    if not slopes.points:
        raise SlopesUnreadable("it has no point", where)
    for i, point in enumerate(slopes.points):
        here = f"{where}: size {point.size}, seed {point.seed}"
        if point in slopes.points[:i]:
            raise SlopesUnreadable("this run is told twice", here)
        for name, value in point.figures.items():
            if not math.isfinite(value):
                raise SlopesUnreadable(f"figure {name!r} is no finite number", here)


def save(slopes: Slopes, folder: Path = FOLDER) -> Path:
    """Writes a file whole or not at all, points by size and seed; tells where."""
    check(slopes, slopes.name)
    points = sorted(slopes.points, key=lambda p: (p.size, p.seed))
    rounded = [
        msgspec.structs.replace(
            p, figures={k: float(f"{v:.6g}") for k, v in p.figures.items()}
        )
        for p in points
    ]
    data = msgspec.json.format(
        msgspec.json.encode(msgspec.structs.replace(slopes, points=rounded)), indent=1
    )
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{slopes.name}.json"
    draft = path.with_suffix(f".{os.getpid()}.part")
    draft.write_bytes(data + b"\n")
    draft.replace(path)
    return path


def every(folder: Path = FOLDER) -> dict[str, Slopes]:
    """All files of slopes of a folder, by name."""
    return {path.stem: load(path) for path in sorted(folder.glob("*.json"))}


def commit() -> str:
    """The commit of the text that runs, with a plus where the tree has other changes."""
    try:
        head = subprocess.run(
            ["git", "rev-parse", "--short=10", "HEAD"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        changed = subprocess.run(
            ["git", "status", "--porcelain", "--untracked-files=no", "--", "loadbalancer"],
            cwd=ROOT, capture_output=True, text=True, check=True,
        ).stdout  # fmt: skip
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return head + ("+" if changed.strip() else "")


def machine() -> str:
    """Cores, and how busy they are."""
    return f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f} over the last minute"


def today() -> str:
    return datetime.now(UTC).date().isoformat()


def merged(old: Slopes, new: Slopes) -> Slopes:
    """A file with the points of a further run; a point of the same size and seed takes the old one's place.

    The command, date, commit and machine are the new run's.
    """
    fresh = {(p.size, p.seed) for p in new.points}
    kept: list[Point] = [p for p in old.points if (p.size, p.seed) not in fresh]
    return msgspec.structs.replace(
        new, units={**old.units, **new.units}, points=[*kept, *new.points]
    )
