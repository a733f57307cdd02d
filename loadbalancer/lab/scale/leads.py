"""The leads of the issue on size, each with its verdict and the figures that it hangs on.

The words stand here, the figures come from the slopes: `{name}` in a lead is one of `lead_figures`.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.lab.scale.added_time_summary import added_time
from loadbalancer.lab.scale.capacity import EPOCHS, TARGET, Book
from loadbalancer.lab.scale.writing import number, percent, table

HEAD = ["lead", "verdict", "measured by", "figures"]


@dataclass(frozen=True)
class Lead:
    """A lead of the issue.

    Attributes:
        text: What was supposed.
        verdict: What came of it.
        measured_by: Files of slopes that show it.
        figures: Text with the names of `lead_figures` in braces.
    """

    text: str
    verdict: str
    measured_by: str
    figures: str


def lead_figures(book: Book) -> dict[str, str]:
    """The figures of the leads, at the target's size unless the name says otherwise."""
    n = TARGET
    rest, change, back = "records-rest", "records-change", "membership-return"
    words = book.at("records-newcomer", "received_bytes", n)
    bodies = book.median(change, "body_bytes", 400) / book.median(change, "bytes", 400)
    alone, bare = (
        book.median("process", f"{who}_resident_mb", 1) for who in ("all", "none")
    )
    found = {
        "judge": book.at("audit", "judge_least_ms", n, True),
        "tick": book.at("audit", "tick_least_ms", n, True),
        "busy": book.at("audit", "tick_ms", n),
        "audit": book.audit(n),
        "beats100": book.beats(100),
        "beats200": book.median(rest, "bytes_per_s", 200),
        "beats400": book.median(rest, "bytes_per_s", 400),
        "beats": book.beats(n),
        "renewals": book.renewals(n),
        "changes": book.changes(n),
        "epochs": book.epochs_before(n),
        "renewals_before": book.renewals_before(n),
        "evidence_before": book.at("locality-before", "evidence_ms", n, True),
        "change": book.change(n),
        "newcomer_words": words,
        "sync": book.at("view", "sync_bytes", n),
        "seed": book.at(back, "seed_most_bytes_in_a_second", n),
        "views": book.views(n, n),
        "run": book.views(n, n) * n / 1000,
        "code": book.imports(),
        "alone": alone,
        "bare": bare,
        "bare_own": book.median("process", "none_own_mb", 1),
        "news": book.at("freeze", "coordinator_datagrams_per_s", n),
        "news_bytes": book.coordinator_bytes(n),
        "incident": book.at("freeze", "incident_bytes_per_s", n),
        "coordinator": book.coordinator_core(n),
        "news_hold": book.coordinator_hold(n),
        "holder": book.at("freeze", "holder_core_percent", n, True),
        "evidence": book.at("locality", "evidence_ms", n, True),
    }
    fitted = book.fit(rest, "bytes_per_s")
    return {k: number(v) for k, v in found.items()} | {
        "bodies": percent(bodies),
        "epochs_a_day": f"{EPOCHS * 86_400:.0f}",
        "form": "not recorded" if fitted is None else fitted.form,
        "added": added_time(book),
    }


LEADS = [
    Lead(
        "the audit's judgement takes 18 ms at 2,800, 7 % of a core",
        "confirmed; a tick is more",
        "`audit`",
        "judgement {judge} ms, tick {tick} ms, {audit} % of a core; the middle of its repeats {busy} ms",
    ),
    Lead(
        "records at rest send 1.55, 2.38, 2.53 KB/s at 100, 200, 400",
        "confirmed",
        "`records-rest-small`, `records-rest`",
        "{beats100} at 100, {beats200} at 200, {beats400} at 400, {beats} at 2,800 ({form}). Stale"
        " is told after"
        " 4 x 25 ms x 2,800 = 280 s (arithmetic)",
    ),
    Lead(
        "a change that all take up costs over 7 KB/s",
        "confirmed, and more",
        "`records-change`",
        "{change} bytes a node and change, {changes} bytes/s at 1,500 a day; {bodies} of them"
        " bodies (at 400)",
    ),
    Lead(
        "2,800 flat views: memory",
        "ruled out for one node, confirmed for a run",
        "`view`, `resident`",
        "{views} MB a node; {run} GB for 2,800 of them in one run (arithmetic)",
    ),
    Lead(
        "a newcomer's first exchange",
        "confirmed",
        "`view`, `records-newcomer`",
        "three seeds send {sync} bytes each, members {newcomer_words} bytes of records",
    ),
    Lead(
        "311 at once",
        "confirmed for the seed",
        "`membership-return`",
        "a seed that all ask sends {seed} bytes in its worst second; three would share that",
    ),
    Lead(
        "a region back after an hour",
        "the membership: mended; with records at 2,800: open",
        "`docs/membership.md`, `world-region*`",
        "see the verdict above",
    ),
    Lead(
        "the coordinator tells every node every second",
        "confirmed",
        "`freeze`, `datagram`",
        "{news} datagrams/s, {news_bytes} bytes/s ({incident} with one incident open; with 32 open,"
        " 16 datagrams"
        " to each node: arithmetic), {coordinator} % of a core with the evidence, a hold of {news_hold} ms; a"
        " holder spends {holder} % of a core",
    ),
    Lead(
        "a process of 35 to 40 MB, one without parts of 15",
        "confirmed; the 15 are its own, not resident",
        "`process`",
        "all parts {alone} MB resident; none {bare}, of which {bare_own} its own; so the parts'"
        " code is {code}",
    ),
    Lead(
        "added time",
        "a method: done; at 393 a second kept on four of seven points: the core's speed decides",
        "`added-time`",
        "{added}; holds: see above;"
        " `docs/added-time.md` has the method and where the time goes",
    ),
    Lead(
        "found here: words renewed under load",
        "the largest; mended",
        "`records-renewal`, `records-renewed`",
        "each node wrote two words a minute though nothing changed: {renewals_before} bytes/s; now"
        " {renewals}",
    ),
    Lead(
        "found here: a change of who lives renewed all words",
        "worked out; mended",
        "`records-change`",
        "{epochs_a_day} a day: {epochs} bytes/s; now none",
    ),
    Lead(
        "found here: the coordinator's evidence",
        "confirmed; mended",
        "`locality-before`, `locality`",
        "{evidence_before} ms each second, as names were looked up in a list; now, in a set, {evidence} ms",
    ),
]


def leads_table(book: Book) -> str:
    """Each lead of the issue, and those found on the way."""
    figures = lead_figures(book)
    rows = [
        [lead.text, lead.verdict, lead.measured_by, lead.figures.format(**figures)]
        for lead in LEADS
    ]
    return table(HEAD, rows)
