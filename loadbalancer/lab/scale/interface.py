"""What the parts of the scale runs hand to each other: the cost of a node, and the file of a slope.

Runs write files under `benchmarks/slopes/`; the page's tables are worked out of these alone. A run whose
shared loops were late says so in `void` and gives no point, so that what measured the machine is no figure.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

NodeKind = Literal[
    "real", "hollow"
]  # a process of its own as `run` starts it, or one of many in a process


class NodeCost(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What one kind of node in one run used for control, over the watch: means by node, and the worst."""

    kind: NodeKind
    nodes: Annotated[int, Meta(ge=1)]
    core_percent: float  # processor time, of one core; a hollow node's is its share of its process
    memory_mb: float  # resident; a hollow node's is its share of its process
    bytes_per_s: float  # that a node sends, all parts
    bytes_by_part: dict[
        str, float
    ]  # the same by part: membership, records, audit, freeze, ...
    datagrams_per_s: float
    datagrams_by_part: dict[str, float]
    worst_bytes_per_s: float  # of the node that sends most
    # Of a shared loop's timers; None where nobody measures it
    loop_late_p99_ms: float | None = None
    loop_late_worst_ms: float | None = None


class Point(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One run at one size."""

    size: Annotated[
        int, Meta(ge=1)
    ]  # N: members, changes in a day, or whatever `Slopes.axis` says
    seed: int
    figures: dict[str, float]
    void: str = ""  # why this run is no figure; such a point is shown, and never fitted


class Slopes(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A file `benchmarks/slopes/NAME.json`: one command's runs over sizes and seeds."""

    form: Literal[1] = 1
    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]+$")]
    what: str  # one sentence: what was played
    command: str  # that plays it again, from the root of the project
    commit: str  # of the text that was measured
    date: Annotated[str, Meta(pattern=r"^\d{4}-\d\d-\d\d$")]
    machine: str  # cores, and what else ran on it at the time
    axis: str = "members"  # what `size` counts
    units: dict[str, str]  # by figure: ms, %, MB, bytes/s, ...
    points: list[Point]
