"""Each line of the target and each lead of the issue, with its verdict and the figures that it hangs on.

The words stand here, the figures come from the slopes: `{name}` in a text is one of `values`.
"""

from __future__ import annotations

import math

from brackenladder.lab.scale.capacity import (
    BYTES,
    CORE,
    EPOCHS,
    FORCE,
    HOLD,
    MEMORY,
    RESTARTS,
    TARGET,
    Book,
    Budget,
)
from brackenladder.lab.scale.writing import number, percent, table

WORKED = "worked out"
NOT = "**not carried**"


def against(value: float, budget: Budget, how: str = WORKED) -> str:
    """The verdict on a line that is one figure."""
    if math.isnan(value):
        return "unknown"
    return f"carried ({how})" if value <= budget.limit else f"{NOT} ({how})"


def waiting(book: Book, scope: float) -> float:
    """The part of the calls, in %, that meet a tick and wait for longer than the budget of a hold: a call
    comes at any moment of a tick alike."""
    return sum(
        0.4 * (ms if math.isnan(ms) else max(0.0, ms - HOLD.limit)) for ms in book.ticks(scope).values()
    )


def values(book: Book) -> dict[str, str]:
    """The figures of the texts, at the target's size unless the name says otherwise."""
    n = TARGET
    rest, change, back = "records-rest", "records-change", "membership-return"
    words = book.at("records-newcomer", "received_bytes", n)
    bodies = book.median(change, "body_bytes", 400) / book.median(change, "bytes", 400)
    alone, bare = (book.median("process", f"{who}_resident_mb", 1) for who in ("all", "none"))
    found = {
        "judge": book.at("audit", "judge_least_ms", n, True),
        "tick": book.at("audit", "tick_least_ms", n, True),
        "busy": book.at("audit", "tick_ms", n),
        "audit": book.audit(n),
        "locality": book.locality(n),
        "talk": book.talk(n, n),
        "core": book.core(n, n),
        "waiting": waiting(book, n),
        "lists": book.at("server-list", "module_mb", n) + book.at("server-list", "holdings_mb", n),
        "line": book.at("server-list", "change_us", n, True),
        "read": book.at("server-list", "read_change_us", n, True),
        "digest": book.at("server-list", "holdings_change_us", n, True),
        "bytes": book.bytes(n, n),
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
        "told": book.told(n),
        "told1600": book.told(1600),
        "seen1600": book.median(change, "seconds", 1600),
        "newcomer": book.newcomer(n, n),
        "newcomer_words": words,
        "newcomers": book.newcomer(n, n) * RESTARTS / n,
        "region": words * 2 / 3,
        "cut_members": book.largest("world-region70", "members_agree_s")[1],
        "cut_words": book.largest("world-region70", "words_agree_s")[1],
        "sync": book.at("view", "sync_bytes", n),
        "moved": book.at("view", "change_least_ms", n, True),
        "lost": book.at(back, "lost_known_s", n),
        "back": book.at(back, "back_known_s", n),
        "moves": book.at(back, "back_changes_a_node", n),
        "seed": book.at(back, "seed_most_bytes_in_a_second", n),
        "views": book.views(n, n),
        "run": book.views(n, n) * n / 1000,
        "code": book.imports(),
        "memory": book.memory(n, n),
        "process": alone + book.views(n, n),
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
        "cut_size": f"{book.largest('world-region70', 'words_agree_s')[0]:,}",
        "epochs_a_day": f"{EPOCHS * 86_400:.0f}",
        "form": "not recorded" if fitted is None else fitted.form,
        "added": added_time(book),
    }


def added_time(book: Book) -> str:
    """What the runs of added time say, if there are any."""
    if "added-time" not in book.slopes:
        return "no file `added-time` yet"
    points = book.slopes["added-time"].points
    good = [p for p in points if not p.void]
    if not good:
        return f"all {len(points)} runs of `added-time` are void, so it is not known"
    node, control = (book.largest("added-time", f"{path}_added_p99_ms")[1] for path in ("node", "control"))
    return (
        f"{len(good)} of {len(points)} runs of `added-time` count: {number(node)} ms for 99 in 100,"
        f" {number(control)} with control on in a small fleet"
    )


def of_target(book: Book) -> str:
    """Each line of the target."""
    n = TARGET
    late = waiting(book, n)
    lists = book.at("server-list", "module_mb", n) + book.at("server-list", "holdings_mb", n)
    added = (
        "unknown" if math.isnan(late) else f"{NOT} ({WORKED})" if late > 1 else "unknown; control leaves room"
    )
    apart = "; not played here"
    if "world-region70" in book.slopes:
        apart = ". After 70 s apart {cut_size} members agree in {cut_members} s, their words in {cut_words} s"
    rows = [
        ("2,800 servers in 140 services", against(lists, MEMORY, "measured"),
         "a list of all 2,800 takes {lists} MB; a change of a line is read in {read} us, taken in {line} and"
         " told to the parts in {digest};"
         " a service's list is 20 (arithmetic)"),
        ("1.1 million calls a second", "unknown",
         "393 a node and second (arithmetic: over 2,800); what a call costs is not of these slopes: {added}"),
        ("up to 14 deep", "unknown",
         "14 times the added time on the mean (arithmetic); what the slowest of 14 adds is not measured"),
        ("0.48 ms added for 99 in 100", added,
         "{waiting} % of calls wait over 0.48 ms for a tick of the audit or the locality alone; {added}"),
        ("3 regions with 9 zones", against(book.locality(n), CORE, "measured, with nothing else on"),
         "9 of at most 24 zones; the locality's look at all reports takes {locality} % of a core"),
        ("1,500 changes a day, in force within 12 s", against(book.told(n), FORCE),
         "one in 58 s (arithmetic). A node hears of it from its own agent: in force at 2,800 agents, unknown."
         " Until all know that all have it: {told} s, as each sends {change} bytes at 64 KB/s (at 1,600:"
         " worked out {told1600}, seen {seen1600} s)"),
        ("at most 3.2 % of a core", against(book.core(n, n), CORE),
         "{core} %: audit {audit}, locality {locality}, records and membership {talk}"),
        ("at most 32 MB", against(book.memory(n, n), MEMORY),
         "{memory} MB: the parts' code {code}, the views {views}. The process has {process} MB in all, {bare}"
         " of them without any part: taken so, it is over at any size"),
        ("at most 3 KB a second", against(book.bytes(n, n), BYTES),
         "{bytes} bytes/s are wanted; records stop at 64,000, and then news is late"),
        ("25 machines set aside", "not used", "today's text has nothing for them; an elector is a node"),
        ("5 machines fail, 220 are restarted a day", "carried (worked out)",
         "one in 6.4 min (arithmetic); a newcomer takes {newcomer} bytes once, {newcomers} bytes/s a node"
         " on the mean; no word is renewed for who lives"),
        ("a rack (40) or a zone (311) is lost",
         against(book.at("membership-return", "lost_known_s", n), FORCE, "worked out, the membership alone"),
         "a ninth is held dead after {lost} s, alive after {back} s once it is back; {moves} changes at each"
         " other node, each of them {moved} ms of its loop"),
        ("regions apart for an hour", "unknown",
         "members are forgotten after 300 s, records dropped after 60 s: at the return a node of the smaller"
         " side fetches {region} bytes of words (arithmetic: two thirds of a newcomer's)" + apart),
    ]  # fmt: skip
    told = values(book)
    return table(["line of the target", "verdict", "by what"], [[a, b, c.format(**told)] for a, b, c in rows])


LEADS = [
    ("the audit's judgement takes 18 ms at 2,800, 7 % of a core", "confirmed; a tick is more", "`audit`",
     "judgement {judge} ms, tick {tick} ms, {audit} % of a core; the middle of its repeats {busy} ms"),
    ("records at rest send 1.55, 2.38, 2.53 KB/s at 100, 200, 400", "confirmed",
     "`records-rest-small`, `records-rest`",
     "{beats100} at 100, {beats200} at 200, {beats400} at 400, {beats} at 2,800 ({form}). Stale is told after"
     " 4 x 25 ms x 2,800 = 280 s (arithmetic)"),
    ("a change that all take up costs over 7 KB/s", "confirmed, and more", "`records-change`",
     "{change} bytes a node and change, {changes} bytes/s at 1,500 a day; {bodies} of them bodies (at 400)"),
    ("2,800 flat views: memory", "ruled out for one node, confirmed for a run", "`view`, `resident`",
     "{views} MB a node; {run} GB for 2,800 of them in one run (arithmetic)"),
    ("a newcomer's first exchange", "confirmed", "`view`, `records-newcomer`",
     "three seeds send {sync} bytes each, members {newcomer_words} bytes of records"),
    ("311 at once", "confirmed for the seed", "`membership-return`",
     "a seed that all ask sends {seed} bytes in its worst second; three would share that"),
    ("a region back after an hour", "open: 70 s of it played", "`world-region70`", "see the verdict above"),
    ("the coordinator tells every node every second", "confirmed", "`freeze`, `datagram`",
     "{news} datagrams/s, {news_bytes} bytes/s ({incident} with one incident open; with 32 open, 16 datagrams"
     " to each node: arithmetic), {coordinator} % of a core with the evidence, a hold of {news_hold} ms; a"
     " holder spends {holder} % of a core"),
    ("a process of 35 to 40 MB, one without parts of 15", "confirmed; the 15 are its own, not resident",
     "`process`",
     "all parts {alone} MB resident; none {bare}, of which {bare_own} its own; so the parts' code is {code}"),
    ("added time", "not of these recorders", "`added-time`, where there", "{added}; holds: see above"),
    ("found here: words renewed under load", "the largest; mended", "`records-renewal`, `records-renewed`",
     "each node wrote two words a minute though nothing changed: {renewals_before} bytes/s; now {renewals}"),
    ("found here: a change of who lives renewed all words", "worked out; mended", "`records-change`",
     "{epochs_a_day} a day: {epochs} bytes/s; now none"),
    ("found here: the coordinator's evidence", "confirmed; mended", "`locality-before`, `locality`",
     "{evidence_before} ms each second, as names were looked up in a list; now, in a set, {evidence} ms"),
]  # fmt: skip


def of_leads(book: Book) -> str:
    """Each lead of the issue, and those found on the way."""
    told = values(book)
    return table(
        ["lead", "verdict", "measured by", "figures"], [[*r[:3], r[3].format(**told)] for r in LEADS]
    )
