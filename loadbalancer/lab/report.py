"""A run's results as one HTML file that needs nothing else: tables, and plots as SVG inside it."""

from __future__ import annotations

from collections.abc import Iterable
from html import escape
from io import StringIO
from typing import Any

import matplotlib

from loadbalancer.lab.results import ResultsError

matplotlib.use("svg")
import matplotlib.pyplot as plt
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from matplotlib.axes import Axes

Rows = list[dict[str, Any]]
COLOURS = {
    "in time": "#2f7d4f",
    "late": "#c9a227",
    "refused": "#7a8fa6",
    "failed": "#b03a2e",
    "left": "#b9b4a8",
    "unanswered": "#6d2f6b",
}
FAULT = "#b03a2e"
PERCENTILES = (50, 75, 90, 95, 99, 99.9, 99.99)
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2733; max-width: 1060px; margin: 2em auto;
  padding: 0 1em }
h1 { font-size: 1.5em; margin-bottom: 0 } h2 { font-size: 1.15em; margin-top: 2.2em }
p.sub { color: #5a6673; margin-top: .2em } table { border-collapse: collapse; margin: .8em 0 }
td, th { padding: .25em .9em .25em 0; text-align: right; border-bottom: 1px solid #e3e7eb }
td:first-child, th:first-child { text-align: left } .bad { color: #b03a2e; font-weight: 600 }
.good { color: #2f7d4f } .gap { color: #8a6d00 } svg { max-width: 100%; height: auto }
details { margin: .6em 0 } code { font-size: .92em }
"""


def runs_of(rows: Rows) -> list[Rows]:
    """The rows of each run; a ResultsError if they begin in the middle of one."""
    out: list[Rows] = []
    for row in rows:
        if row["type"] == "run":
            out.append([])
        if not out:
            raise ResultsError("the first row is not that of a run")
        out[-1].append(row)
    return out


def of(rows: Rows, kind: str) -> Rows:
    return [row for row in rows if row["type"] == kind]


def figure(
    width: float = 10, height: float = 2.6, panels: int = 1
) -> tuple[Any, list[Axes]]:
    fig, axes = plt.subplots(
        panels, 1, figsize=(width, height * panels), sharex=True, squeeze=False
    )
    flat = [axes[i][0] for i in range(panels)]
    for axis in flat:
        axis.spines[["top", "right"]].set_visible(False)
        axis.grid(axis="y", color="#e3e7eb", linewidth=0.8)
        axis.set_axisbelow(True)
    return fig, flat


def legend(axis: Axes) -> None:
    """Above the axes at the right, clear of the curves and of the faults' names at the left."""
    axis.legend(
        fontsize=7,
        ncols=6,
        frameon=False,
        loc="lower right",
        bbox_to_anchor=(1.0, 0.98),
    )


def svg(fig: Any) -> str:
    """The figure as an SVG element; the same figure gives the same bytes."""
    fig.tight_layout()
    text = StringIO()
    with plt.rc_context({"svg.hashsalt": "lab", "svg.fonttype": "path"}):
        fig.savefig(text, format="svg", metadata={"Date": None, "Creator": None})
    plt.close(fig)
    body = text.getvalue()
    return body[body.index("<svg") :]


def marks(axes: Iterable[Axes], faults: Rows, label: bool = True) -> None:
    """The faults on the time axis: a band for those that last, a line for the others."""
    for i, axis in enumerate(axes):
        for n, fault in enumerate(faults):
            if fault["seconds"]:
                axis.axvspan(
                    fault["at"],
                    fault["at"] + fault["seconds"],
                    color=FAULT,
                    alpha=0.07,
                    lw=0,
                )
            axis.axvline(fault["at"], color=FAULT, lw=0.8, ls=":")
            if label and i == 0:
                axis.annotate(
                    f"{fault['kind']} ({fault['hit']})",
                    (fault["at"], 1.0 + 0.10 * (n % 3)),
                    xycoords=("data", "axes fraction"),
                    fontsize=7,
                    color=FAULT,
                    annotation_clip=False,
                )


def worth_plot(rows: Rows) -> str:
    """What came of the wishes of each second, and the worth in time."""
    windows, faults = of(rows, "window"), of(rows, "fault")
    names = rows[0]["outcomes"]
    seconds = [w["second"] for w in windows]
    fig, (top, below) = figure(panels=2)
    base = [0.0] * len(windows)
    for i, name in enumerate(names):
        counts = [float(w["outcomes"][i]) for w in windows]
        if not any(counts):
            continue
        top.bar(
            seconds,
            counts,
            bottom=base,
            width=1.0,
            align="edge",
            color=COLOURS.get(name),
            label=name,
            lw=0,
        )
        base = [b + c for b, c in zip(base, counts, strict=True)]
    top.set_ylabel("wishes a second")
    legend(top)
    ratio = [w["won"] / w["worth"] if w["worth"] else 1.0 for w in windows]
    below.step(seconds, ratio, where="post", color="#2f7d4f")
    below.set_ylim(0, 1.03)
    below.set_ylabel("worth in time")
    below.set_xlabel("second of the day")
    marks((top, below), faults)
    return svg(fig)


def latency_plots(rows: Rows) -> str:
    """Latency over the day, and by percentile for each class from the histograms."""
    windows, faults = of(rows, "window"), of(rows, "fault")
    fig, (axis,) = figure()
    for i, (name, colour) in enumerate(
        (("p50", "#9fb4c8"), ("p90", "#4f7394"), ("p99", "#1d3b57"))
    ):
        axis.step(
            [w["second"] for w in windows],
            [w["ms"][i] or float("nan") for w in windows],
            where="post",
            color=colour,
            label=name,
        )
    axis.set_yscale("log")
    axis.set_ylabel("ms, when served")
    axis.set_xlabel("second of the day")
    legend(axis)
    marks((axis,), faults)
    return svg(fig)


def latency_table(rows: Rows) -> str:
    """Percentiles of each class from its HdrHistogram."""
    head = "".join(f"<th>p{p:g}</th>" for p in PERCENTILES)
    lines = []
    for row in of(rows, "histogram"):
        histogram = HdrHistogram.decode(row["hdr"].encode())
        cells = "".join(
            f"<td>{histogram.get_value_at_percentile(p) / 1000:,.1f}</td>"
            for p in PERCENTILES
        )
        lines.append(
            f"<tr><td>{escape(row['class'])}</td><td>{histogram.get_total_count():,}</td>{cells}</tr>"
        )
    return (
        f"<table><tr><th>class</th><th>served</th>{head}</tr>{''.join(lines)}</table>"
    )


def limits_plot(rows: Rows) -> str:
    """The nodes' limits against their calls in flight, tier by tier. These are the module's own words."""
    samples, faults, names = of(rows, "sample"), of(rows, "fault"), rows[0]["tiers"]
    fig, axes = figure(panels=len(names), height=2.2)
    for i, (axis, name) in enumerate(zip(axes, names, strict=True)):
        seconds = [s["second"] for s in samples]
        axis.plot(
            seconds,
            [s["tiers"][i]["limit"] for s in samples],
            color="#4f7394",
            label="limit, all nodes",
        )
        axis.plot(
            seconds,
            [s["tiers"][i]["in_flight"] for s in samples],
            color="#c9771e",
            label="calls in flight",
        )
        axis.set_ylabel(name)
        axis.set_ylim(bottom=0)
        legend(axis)
    axes[-1].set_xlabel("second of the day")
    marks(axes, faults)
    return svg(fig)


def load_plot(rows: Rows) -> str:
    """How busy the servers are: one line each where they are few, the spread where they are many."""
    samples, faults, names = of(rows, "sample"), of(rows, "fault"), rows[0]["tiers"]
    fig, axes = figure(panels=len(names), height=2.2)
    for i, (axis, name) in enumerate(zip(axes, names, strict=True)):
        kept = [s for s in samples if s["tiers"][i]["use"]]
        seconds = [s["second"] for s in kept]
        uses = [s["tiers"][i]["use"] for s in kept]
        if kept:
            axis.fill_between(
                seconds,
                [u[0] for u in uses],
                [u[4] for u in uses],
                color="#dbe4ec",
                label="least to most",
            )
            axis.fill_between(
                seconds,
                [u[1] for u in uses],
                [u[3] for u in uses],
                color="#a9c0d3",
                label="middle half",
            )
            axis.plot(seconds, [u[2] for u in uses], color="#1d3b57", label="median")
        axis.set_ylim(0, 1.03)
        axis.set_ylabel(f"{name}: busy")
        legend(axis)
    axes[-1].set_xlabel("second of the day")
    marks(axes, faults)
    return svg(fig)


def servers_plot(rows: Rows) -> str:
    """How busy each server was over the whole day, by kind."""
    tiers = [t for t in of(rows, "tier") if "servers" in t]
    if not tiers:
        return "<p>Too many servers to name each; see the quantiles in the table.</p>"
    fig, axes = plt.subplots(1, len(tiers), figsize=(10, 2.6), squeeze=False)
    for axis, tier in zip(axes[0], tiers, strict=True):
        axis.spines[["top", "right"]].set_visible(False)
        kinds = sorted({s["kind"] for s in tier["servers"]})
        ordered = sorted(
            tier["servers"], key=lambda s: (s["kind"], s["speed"], s["server"])
        )
        for k, kind in enumerate(kinds):
            places = [i for i, s in enumerate(ordered) if s["kind"] == kind]
            axis.bar(
                places, [ordered[i]["use"] for i in places], color=f"C{k}", label=kind
            )
        axis.set_title(tier["tier"], fontsize=9)
        axis.set_ylim(0, 1.05)
        axis.legend(fontsize=7, frameon=False)
    return svg(fig)


def attempts_plot(rows: Rows) -> str:
    """How many attempts wishes took, over all tries."""
    counts = next(row["counts"] for row in of(rows, "attempts"))
    fig, (axis,) = figure(width=6, height=2.2)
    axis.bar(range(len(counts)), counts, color="#4f7394")
    axis.set_yscale("log")
    axis.set_xlabel("attempts of a wish")
    axis.set_ylabel("wishes")
    axis.set_xticks(range(len(counts)))
    return svg(fig)


def table(head: list[str], lines: Iterable[Iterable[object]]) -> str:
    top = "".join(f"<th>{escape(h)}</th>" for h in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{cell}</td>" for cell in line) + "</tr>"
        for line in lines
    )
    return f"<table><tr>{top}</tr>{body}</table>"


def number(value: Any) -> str:
    if value is None:
        return "never"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def claims_table(rows: Rows) -> str:
    claims = of(rows, "claim")
    if not claims:
        return "<p>The scenario makes no claims.</p>"
    lines = []
    for c in claims:
        word, style = ("holds", "good") if c["holds"] else ("fails", "bad")
        if not c["holds"] and c["known_gap"] is not None:
            word, style = f"known gap: {escape(c['known_gap'])}", "gap"
        lines.append(
            [
                f"<code>{escape(c['metric'])} {escape(c['op'])} {c['bound']:g}</code>",
                number(c["value"]),
                f'<span class="{style}">{word}</span>',
            ]  # fmt: skip
        )
    return table(["claim", "value", ""], lines)


def rules_table(rows: Rows) -> str:
    rules = next(row for row in of(rows, "rules"))
    names = [k for k in rules if k not in ("type", "notes")]
    cells = [
        f'<span class="{"bad" if rules[n] else "good"}">{rules[n]}</span>'
        for n in names
    ]
    out = table([n.replace("_", " ") for n in names], [cells])
    if rules["notes"]:
        notes = "".join(
            f"<li>{n['us'] / 1e6:.3f} s: {escape(n['rule'])}: {escape(n['what'])}</li>"
            for n in rules["notes"]
        )
        out += f"<details><summary>The first cases</summary><ul>{notes}</ul></details>"
    return out


def one_run(rows: Rows) -> str:
    """One run's part of the page."""
    first, summary = rows[0], rows[-1]
    faults = of(rows, "fault")
    keys = [k for k in summary if k not in ("type", "scenario", "seed")]
    half = -(-len(keys) // 2)
    pairs = [
        [a, number(summary[a]), *((b, number(summary[b])) if b else ("", ""))]
        for a, b in zip(keys[:half], [*keys[half:], None][:half], strict=True)
    ]
    parts = [
        f"<h2>Seed {first['seed']}</h2>",
        table(["figure", "", "figure", ""], pairs),
        "<h3>Claims</h3>", claims_table(rows),
        "<h3>Rules, counted from the servers' and clients' side</h3>", rules_table(rows),
    ]  # fmt: skip
    if faults:
        parts += [
            "<h3>Faults</h3>",
            table(
                ["kind", "at, s", "for, s", "struck", "size"],
                [
                    [
                        escape(f["kind"]),
                        f"{f['at']:g}",
                        f"{f['seconds']:g}",
                        f["hit"],
                        f"{f['size']:g}",
                    ]
                    for f in faults
                ],
            ),
        ]
    parts += ["<h3>What came of the wishes</h3>", worth_plot(rows)]
    parts += ["<h3>Latency</h3>", latency_plots(rows), latency_table(rows)]
    samples = of(rows, "sample")
    if any(t["limit"] for s in samples for t in s["tiers"]):
        parts += [
            "<h3>Limits and calls in flight, as the nodes tell them</h3>",
            limits_plot(rows),
        ]
    if samples:
        parts += ["<h3>Load by server</h3>", load_plot(rows)]
    parts += [servers_plot(rows), tier_table(rows)]
    parts += ["<h3>Attempts</h3>", attempts_plot(rows)]
    parts += ["<h3>By class, team and zone</h3>", group_table(rows)]
    return "\n".join(parts)


def tier_table(rows: Rows) -> str:
    head = ["tier", "servers", "least busy", "p10", "median", "p90", "busiest"]
    return table(
        head,
        [
            [escape(t["tier"]), t["count"], *(f"{u:.3f}" for u in t["use"])]
            for t in of(rows, "tier")
        ],
    )


def group_table(rows: Rows) -> str:
    head = ["", "asked", "in time", "served", "refused", "failed"]
    return table(
        head,
        [
            [escape(f"{g['group']} {g['name']}"), f"{g['asked']:,.0f}"]
            + [f"{g[k]:.4f}" for k in ("in_time", "served", "refused", "failed")]
            for g in of(rows, "group")
        ],
    )


def page(rows: Rows) -> str:
    """The whole page, for one run or several."""
    runs = runs_of(rows)
    if not runs:
        raise ResultsError("no run in it")
    first = runs[0][0]
    head = (
        f"<h1>{escape(first['scenario'])}: {escape(first['title'])}</h1>"
        f'<p class="sub">{first["seconds"]:g} seconds, {first["rate"]:,.0f} wishes a second of'
        f" {first['capacity']:,.0f} that the fleet can do, servers {first['servers']},"
        f" nodes {first['nodes']};"
        f" module {escape(first['module'])}, version {escape(first['version'])},"
        f" program {first['program']}, lab {first['lab']}, scenario {first['scenario_digest']}</p>"
    )
    body = "\n".join(one_run(run) for run in runs)
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{escape(first['scenario'])}</title>"
        f"<style>{STYLE}</style></head><body>{head}{body}</body></html>\n"
    )
