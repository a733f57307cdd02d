"""What a real and a hollow node of one run have used, beside each other."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import psutil

from loadbalancer.lab.scale.interface import NodeCost


@dataclass(frozen=True)
class Usage:
    """What all real nodes had used at one moment.

    Attributes:
        stats: Each node's `/admin/stats` by its name.
        cpu_s: Processor seconds by process id.
    """

    stats: dict[str, dict[str, Any]]
    cpu_s: dict[int, float]


@dataclass(frozen=True)
class Span:
    """Two moments and the seconds between them."""

    before: Usage
    after: Usage
    seconds: float


def sent_by_channel(stats: dict[str, Any]) -> dict[str, tuple[float, float]]:
    """Datagrams and bytes that a node has sent, by channel, from its `/admin/stats`."""
    membership = stats.get("membership", {})
    tables = {
        "membership": membership,
        "records": membership.get("records", {}),
    } | stats.get("channels", {})
    return {
        channel: (table["sent"], table["sent_bytes"])
        for channel, table in tables.items()
        if "sent_bytes" in table
    }


def real_cost(
    names: Sequence[str],
    span: Span,
    processes: Mapping[str, psutil.Process],
) -> NodeCost | None:
    """The mean cost of real nodes: processor and memory as the system has them.

    Args:
        names: Nodes that lived throughout; those without figures at either end are left out.
        span: What all nodes had used.
        processes: Processes by node.

    Returns:
        None where no node is left.
    """
    before, after = span.before, span.after
    names = [
        n for n in names if n in after.stats and n in before.stats and n in processes
    ]
    if not names:
        return None
    sums: dict[str, list[float]] = {}
    worst = core = memory = 0.0
    for name in names:
        sent_before, sent_bytes = sent_by_channel(before.stats[name]), 0.0
        for channel, (count, size) in sent_by_channel(after.stats[name]).items():
            count_before, size_before = sent_before.get(channel, (0, 0))
            entry = sums.setdefault(channel, [0.0, 0.0])
            entry[0] += count - count_before
            entry[1] += size - size_before
            sent_bytes += size - size_before
        worst = max(worst, sent_bytes / span.seconds)
        pid = processes[name].pid
        core += after.cpu_s.get(pid, 0.0) - before.cpu_s.get(pid, 0.0)
        memory += processes[name].memory_info().rss / 1e6
    node_seconds = span.seconds * len(names)
    return NodeCost(
        kind="real",
        nodes=len(names),
        core_percent=100 * core / node_seconds,
        memory_mb=memory / len(names),
        bytes_per_s=sum(size for _, size in sums.values()) / node_seconds,
        bytes_by_part={c: size / node_seconds for c, (_, size) in sums.items()},
        datagrams_per_s=sum(count for count, _ in sums.values()) / node_seconds,
        datagrams_by_part={c: count / node_seconds for c, (count, _) in sums.items()},
        worst_bytes_per_s=worst,
    )


def cost_figures(
    real: NodeCost | None, elector: NodeCost | None, hollow: NodeCost | None
) -> dict[str, float | None]:
    """Figures of a real node and an elector, and of a hollow node's part of a real one."""
    figures: dict[str, float | None] = {}
    if elector is not None:
        figures["elector_core_percent"] = elector.core_percent
        figures["elector_bytes_per_s"] = elector.bytes_per_s
        figures["coordinator_bytes_per_s"] = elector.worst_bytes_per_s
    if real is None:
        return figures
    figures["real_core_percent"] = real.core_percent
    figures["real_memory_mb"] = real.memory_mb
    figures["real_bytes_per_s"] = real.bytes_per_s
    if hollow is not None:
        figures["share_core"] = _ratio(hollow.core_percent, real.core_percent)
        figures["share_bytes"] = _ratio(hollow.bytes_per_s, real.bytes_per_s)
    return figures


def _ratio(part: float, total: float) -> float | None:
    return part / total if total else None
