"""Reports of cells, collectors' summaries of the fleet, and how nodes use them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest
from fleets import ReportingFleet
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.audit.fleet_observer import FleetObserver
from loadbalancer.audit.fleet_view import FleetView, HealthState, ReceivedStatus
from loadbalancer.audit.status import QuarantineState, StatusRecord, VersionId
from loadbalancer.cells.collector import Collector
from loadbalancer.cells.layout import Layout
from loadbalancer.cells.messages import (
    FORMAT_VERSION,
    MAX_FRONTIERS,
    MAX_MESSAGE_BYTES,
    CellFrontier,
    CellSummary,
    FleetFrontier,
    FleetSummary,
    FleetSummaryReply,
    MessageOrder,
    SummaryRejectedError,
    SummaryReport,
    decode,
    decode_fleet_summary,
    encode,
    encode_fleet_summary,
)
from loadbalancer.cells.numbering import MAX_NUMBERINGS
from loadbalancer.cells.reporter import (
    MAX_POLL_INTERVAL_US,
    MIN_POLL_INTERVAL_US,
    REFRESH_INTERVAL_US,
    CollectorReplies,
    DiscoveryPoller,
    collectors,
    is_worth_reporting,
    reporters,
)
from loadbalancer.cells.rules import CellEvent
from loadbalancer.cells.summarize import CellMembers, summarize

PROPERTY_SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)
SECOND_US = 1_000_000
PERIOD_US = 2 * SECOND_US
LAYOUT = Layout(4)
NAMES = [f"n{i}" for i in range(80)]
CELLS = {c: [n for n in NAMES if LAYOUT.cell_of(n) == c] for c in range(4)}


def summary(
    cell: int = 0, index: int = 0, count: int = 1, number: int = 7, **changed: Any
) -> CellSummary:
    """Returns the summary of a healthy cell of twenty members by the member at `index`."""
    front = CellFrontier("prod", number, f"d{number}", changed.pop("holders", 20), 20)
    fields = {
        "known": 20,
        "live": 20,
        "heard": 20,
        "ready": 20,
        "fronts": (front,),
        "life": 1,
    } | changed
    return CellSummary(
        FORMAT_VERSION,
        LAYOUT.digest,
        cell,
        CELLS[cell][index],
        fields.pop("life"),
        count,
        **fields,
    )


class CollectorRun:
    """A collector that receives two reporters' reports of each cell each period; tests may change these."""

    def __init__(self) -> None:
        self.now = SECOND_US
        self.collector = Collector("c0", LAYOUT, 1)
        self.events: list[CellEvent] = []
        self.count = 0
        self.make_summary: Callable[[int, int, int], CellSummary | None] = (
            lambda cell, index, count: summary(cell, index, count)
        )

    def run(self, periods: int) -> FleetSummary:
        """Runs a number of periods, and returns the fleet summary after them."""
        for _ in range(periods):
            self.now += PERIOD_US
            self.count += 1
            for cell in range(4):
                for index in (0, 1):
                    report = self.make_summary(cell, index, self.count)
                    if report is not None:
                        self.collector.receive(self.now, report)
            self.events += self.collector.tick(self.now)
        return self.collector.fleet_summary(self.now)

    def logged(self) -> list[tuple[str, int]]:
        """Returns the names and cells of all events so far."""
        return [(e.event_name, e.cell) for e in self.events]


# ---- collecting --------------------------------------------------------------------------------------


def test_the_fleet_summary_counts_each_cell_once() -> None:
    collector_run = CollectorRun()
    total = collector_run.run(2)
    assert (total.cells, total.heard, total.live, total.ready, total.out) == (
        4,
        4,
        80,
        80,
        0,
    )
    (front,) = total.fronts
    assert (front.origin, front.number, front.digest) == ("prod", 7, "d7")
    assert (front.holders, front.of, front.cells, front.behind) == (80, 80, 4, 0)
    assert front.in_force_s == 0.0
    assert not collector_run.events


def test_a_change_is_in_force_once_the_last_member_of_the_last_cell_holds_it() -> None:
    collector_run = CollectorRun()
    collector_run.run(2)
    changed_at = {
        0: 2,
        1: 3,
        2: 4,
        3: 9,
    }  # the period in index each cell's quorum holds it

    def make_summary(cell: int, index: int, count: int) -> CellSummary:
        held = count >= 2 + changed_at[cell]
        holders = 20 if count >= 3 + changed_at[cell] else 15
        return summary(
            cell, index, count, 8 if held else 7, holders=holders if held else 20
        )

    collector_run.make_summary = make_summary
    (front,) = collector_run.run(6).fronts
    assert (front.number, front.behind, front.in_force_s) == (8, 1, None)
    assert collector_run.logged() == [("cells list outdated", 3)]
    (front,) = collector_run.run(8).fronts
    assert (front.behind, front.holders) == (0, 80)
    # From the second cell's report until the last member of the last cell holds the list.
    assert front.in_force_s == pytest.approx(14.0)
    assert collector_run.logged() == [
        ("cells list outdated", 3),
        ("cells list current", 3),
    ]


def test_a_cell_that_claims_number_1e9_changes_nothing_even_if_it_reports_first() -> (
    None
):
    for reports_first in (True, False):
        collector_run = CollectorRun()
        unchanged = collector_run.make_summary

        def with_false_number(cell: int, index: int, count: int) -> CellSummary:
            return summary(cell, index, count, 10**9 if cell == 2 else 7)

        def false_cell_only(cell: int, index: int, count: int) -> CellSummary | None:
            return with_false_number(cell, index, count) if cell == 2 else None

        collector_run.make_summary = false_cell_only if reports_first else unchanged
        collector_run.run(3)
        collector_run.make_summary = with_false_number
        assert collector_run.run(1).fronts[0].number == 7
        (front,) = collector_run.run(10).fronts
        assert (front.number, front.behind) == (7, 0)
        assert "cells list outdated" not in {name for name, _ in collector_run.logged()}


def test_a_cells_summary_is_overdue_after_three_periods_until_it_resumes() -> None:
    collector_run = CollectorRun()
    collector_run.run(3)
    unchanged = collector_run.make_summary
    collector_run.make_summary = lambda cell, index, count: (
        None if cell == 1 else unchanged(cell, index, count)
    )
    total = collector_run.run(3)
    assert total.heard == 4  # the last summary is still used
    total = collector_run.run(2)
    assert (total.cells, total.heard, total.live, total.unheard) == (4, 3, 60, (1,))
    collector_run.make_summary = unchanged
    assert collector_run.run(1).heard == 4
    assert collector_run.logged() == [
        ("cells summary overdue", 1),
        ("cells summary resumed", 1),
    ]


def test_a_reporter_that_is_paused_or_killed_leaves_the_other() -> None:
    collector_run = CollectorRun()
    unchanged = collector_run.make_summary
    collector_run.run(2)
    collector_run.make_summary = lambda cell, index, count: (
        unchanged(cell, index, count) if index else None
    )
    total = collector_run.run(10)
    assert (total.heard, total.live) == (4, 80)
    assert not collector_run.events
    assert all(
        len(cell.reporters) == 2 for cell in collector_run.collector.cells.values()
    )
    collector_run.run(30)
    assert all(
        len(cell.reporters) == 1 for cell in collector_run.collector.cells.values()
    )


def test_the_reporter_that_receives_most_is_used_and_inconsistent_ones_are_logged() -> (
    None
):
    collector_run = CollectorRun()
    collector_run.run(2)

    def make_summary(
        cell: int, index: int, count: int
    ) -> (
        CellSummary
    ):  # cut off in one direction: it receives the records of two members
        if cell == 3 and index == 0:
            return summary(cell, index, count, 6, heard=2, live=20, ready=2)
        return summary(cell, index, count, 7)

    collector_run.make_summary = make_summary
    total = collector_run.run(6)
    assert total.ready == 80
    assert total.fronts[0].behind == 0
    assert total.odds == 1
    assert collector_run.logged() == [("cells summaries inconsistent", 3)]
    collector_run.make_summary = summary
    assert collector_run.run(1).odds == 0
    assert collector_run.logged()[-1] == ("cells summaries consistent", 3)


def test_a_later_summary_of_a_reporter_that_receives_fewer_members_is_not_preferred() -> (
    None
):
    collector = Collector("c0", LAYOUT, 1)
    collector.receive(0, summary(0, 0, number=7))
    collector.receive(SECOND_US, summary(0, 1, number=9, heard=2, ready=2))
    assert collector.preferred_summaries(SECOND_US)[0].fronts[0].number == 7
    collector.receive(2 * SECOND_US, summary(0, 1, 2, number=9))
    # Both receive records of as many members now: the later summary is used.
    assert collector.preferred_summaries(2 * SECOND_US)[0].fronts[0].number == 9


def test_a_number_is_kept_while_a_cell_that_held_it_is_briefly_missing() -> None:
    collector_run = CollectorRun()
    collector_run.run(2)
    collector_run.make_summary = lambda cell, index, count: summary(
        cell, index, count, 8 if cell < 2 else 7
    )
    assert collector_run.run(3).fronts[0].number == 8
    collector_run.make_summary = lambda cell, index, count: summary(
        cell, index, count, 8 if cell < 1 else 7
    )
    (front,) = collector_run.run(2).fronts
    assert (front.number, front.behind) == (8, 3)
    (front,) = collector_run.run(3).fronts
    assert (front.number, front.behind) == (7, 0)


def test_two_contents_under_one_number_are_inconsistent() -> None:
    collector_run = CollectorRun()

    def make_summary(cell: int, index: int, count: int) -> CellSummary:
        report = summary(cell, index, count)
        if cell == 0 and index == 1:
            return msgspec.structs.replace(
                report, fronts=(CellFrontier("prod", 7, "other", 20, 20),)
            )
        return report

    collector_run.make_summary = make_summary
    assert collector_run.run(5).odds == 1
    assert "two contents of 7" in collector_run.events[0].detail


def test_reporters_that_differ_only_while_a_change_spreads_are_not_inconsistent() -> (
    None
):
    collector_run = CollectorRun()
    collector_run.make_summary = lambda cell, index, count: summary(
        cell, index, count, count // 3 + (index and count % 3 == 2)
    )
    collector_run.run(30)
    assert "cells summaries inconsistent" not in {
        name for name, _ in collector_run.logged()
    }


def test_a_lost_zone_makes_no_cells_summary_overdue() -> None:
    collector_run = CollectorRun()
    collector_run.make_summary = lambda cell, index, count: summary(
        cell, index, count, live=18, heard=18, ready=18, holders=18
    )
    total = collector_run.run(3)
    assert (total.known, total.live, total.heard) == (80, 72, 4)


def test_numbers_that_restart_are_accepted_after_a_while() -> None:
    collector_run = CollectorRun()
    collector_run.run(3)
    collector_run.make_summary = lambda cell, index, count: summary(
        cell, index, count, 1
    )
    collector_run.run(1)
    (front,) = collector_run.run(4).fronts
    assert front.number == 1


def test_old_and_foreign_summaries_are_rejected_and_a_new_incarnation_is_accepted() -> (
    None
):
    collector = Collector("c0", LAYOUT, 1)
    collector.receive(0, summary(0, 0, count=5, life=2))
    for rejected, reason in (
        (summary(0, 0, count=5, life=2), "old"),
        (summary(0, 0, count=9, life=1), "old"),
        (msgspec.structs.replace(summary(0), cell=1), "cell"),
    ):
        with pytest.raises(SummaryRejectedError, match=reason):
            collector.receive(SECOND_US, rejected)
    collector.receive(SECOND_US, summary(0, 0, count=1, life=3))
    # A reporter with an earlier incarnation (its clock was set) is rejected for three periods only.
    collector.receive(SECOND_US + 4 * PERIOD_US, summary(0, 0, count=1, life=1))


def test_a_restarted_collector_recovers_its_state_within_a_period() -> None:
    collector_run = CollectorRun()
    collector_run.run(5)
    collector_run.collector = Collector("c0", LAYOUT, 2)
    total = collector_run.run(1)
    assert (total.heard, total.live, total.fronts[0].number) == (4, 80, 7)


def test_a_collectors_state_is_bounded_for_any_reporters() -> None:
    collector = Collector("c0", LAYOUT, 1)
    for at in range(300):
        for cell in range(4):
            report = summary(cell, at % len(CELLS[cell]), count=at)
            fronts = tuple(
                CellFrontier(f"o{at}-{i}", at, "", 1, 20) for i in range(MAX_FRONTIERS)
            )
            collector.receive(
                at * SECOND_US, msgspec.structs.replace(report, fronts=fronts)
            )
        collector.tick(at * SECOND_US)
        assert (
            len(encode(FleetSummaryReply(collector.fleet_summary(at * SECOND_US))))
            <= MAX_MESSAGE_BYTES
        )
    assert len(collector.cells) == 4
    assert all(len(c.reporters) <= 4 for c in collector.cells.values())
    assert len(collector.numberings.progress) <= 64


def test_the_number_of_tracked_numberings_is_bounded() -> None:
    layout = Layout(40)
    collector = Collector("c0", layout, 1)
    names = {layout.cell_of(f"m{i}"): f"m{i}" for i in range(2_000)}
    for cell, name in names.items():
        fronts = tuple(
            CellFrontier(f"o{cell // 2}-{i}", 1, "", 1, 1) for i in range(MAX_FRONTIERS)
        )
        report = CellSummary(
            FORMAT_VERSION,
            layout.digest,
            cell,
            name,
            1,
            1,
            known=1,
            live=1,
            heard=1,
            fronts=fronts,
        )
        collector.receive(0, report)
    collector.tick(0)
    assert len(collector.numberings.progress) == MAX_NUMBERINGS
    total = collector.fleet_summary(0)
    assert len(total.fronts) == MAX_FRONTIERS
    assert len(encode(FleetSummaryReply(total))) <= MAX_MESSAGE_BYTES


# ---- encoding and decoding ------------------------------------------------------------------------------


def test_summaries_survive_encoding_and_never_exceed_their_size() -> None:
    report = summary(1, number=9)
    assert decode(encode(SummaryReport(report)), LAYOUT.digest) == report
    total = CollectorRun().run(3)
    assert decode(encode(FleetSummaryReply(total)), LAYOUT.digest) == total
    assert decode_fleet_summary(encode_fleet_summary(total), LAYOUT.digest) == total
    fronts = tuple(
        CellFrontier("o" * 60 + str(i), (1 << 61) + i, "f" * 16, 20, 20)
        for i in range(MAX_FRONTIERS)
    )
    large = msgspec.structs.replace(
        report, fronts=fronts, named=tuple("n" * 60 + str(i) for i in range(4)),
        settings=tuple((str(i) * 16, 9) for i in range(3)),
    )  # fmt: skip
    data = encode(SummaryReport(large))
    assert len(data) <= MAX_MESSAGE_BYTES
    decoded = decode(data, LAYOUT.digest)
    assert isinstance(decoded, CellSummary)
    assert decoded.more_fronts == MAX_FRONTIERS - len(decoded.fronts) > 0


def test_usual_reports_take_less_than_a_kilobyte_a_second() -> None:
    # Failure prevented: the reports use up what the records leave of 3 KB/s.
    report = summary(
        1, number=10**9, standings=(20, 1, 1, 0, 0, 0), named=("cart-17", "cart-18")
    )
    report = msgspec.structs.replace(
        report, settings=(("0" * 16, 20),), operation=(("0" * 16, 20),)
    )
    assert len(encode(SummaryReport(report))) < 200
    # For messages of the largest size; usual ones are a fifth of that.
    assert 3 * MAX_MESSAGE_BYTES / (PERIOD_US / SECOND_US) <= 1_500


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({"form": 2}, "another form"),
        ({"layout": "x"}, "another layout"),
        ({"heard": 21}, "cannot be"),
        ({"live": 30}, "cannot be"),
        ({"out": 21}, "cannot be"),
        ({"ready": 21}, "cannot be"),
        ({"fronts": (CellFrontier("prod", 1, "", 5, 4),)}, "cannot be"),
        ({"fronts": (CellFrontier("prod", 1, "", 5, 21),)}, "cannot be"),
        ({"fronts": (CellFrontier("prod", 1), CellFrontier("prod", 2))}, "cannot be"),
        ({"fronts": tuple(CellFrontier(f"o{i}", 1) for i in range(9))}, "broken"),
        ({"settings": tuple((f"{i}", 1) for i in range(4))}, "broken"),
        ({"live": 30_000, "known": 30_000}, "broken"),
        ({"cell": -1}, "broken"),
        ({"fronts": (CellFrontier("prod", -1),)}, "broken"),
        ({"speaker": ""}, "broken"),
    ],
)
def test_an_impossible_summary_is_rejected(
    changed: dict[str, Any], reason: str
) -> None:
    data = msgspec.msgpack.encode(
        SummaryReport(msgspec.structs.replace(summary(), **changed))
    )
    with pytest.raises(SummaryRejectedError, match=reason):
        decode(data, LAYOUT.digest)


def test_a_message_that_is_too_large_is_rejected() -> None:
    with pytest.raises(SummaryRejectedError, match="too large"):
        decode(b"\x00" * (MAX_MESSAGE_BYTES + 1), LAYOUT.digest)


@PROPERTY_SETTINGS
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_without_another_error(data: bytes) -> None:
    for decoder in (decode, decode_fleet_summary):
        with pytest.raises(SummaryRejectedError):
            decoder(data, LAYOUT.digest)


@PROPERTY_SETTINGS
@given(st.data())
def test_a_corrupted_summary_is_accepted_or_rejected_without_another_error(
    data: st.DataObject,
) -> None:
    message = bytearray(encode(SummaryReport(summary())))
    for _ in range(data.draw(st.integers(1, 4))):
        message[data.draw(st.integers(0, len(message) - 1))] = data.draw(
            st.integers(0, 255)
        )
    collector = Collector("c0", LAYOUT, 1)
    try:
        received = decode(bytes(message), LAYOUT.digest)
        if isinstance(received, CellSummary):
            collector.receive(0, received)
    except SummaryRejectedError:
        return
    collector.tick(0)
    assert (
        len(encode(FleetSummaryReply(collector.fleet_summary(0)))) <= MAX_MESSAGE_BYTES
    )


# ---- reporters and collectors----------------------------------------------------------------------------


def test_all_members_select_the_same_reporters_and_few_change() -> None:
    first = reporters(0, CELLS[0])
    assert len(first) == 2
    assert reporters(0, reversed(CELLS[0])) == first
    assert reporters(0, [n for n in CELLS[0] if n != first[0]])[0] == first[1]
    assert reporters(0, ["a"]) == ["a"]
    assert reporters(0, []) == []


def test_collectors_are_live_and_in_as_many_regions_as_possible() -> None:
    named = [f"c{i}" for i in range(25)]
    regions = {n: "abc"[i % 3] for i, n in enumerate(named)}
    selected = collectors(named, named, regions)
    assert len(selected) == 3
    assert {regions[n] for n in selected} == set("abc")
    first = collectors(named, named, {})  # the first three, whatever their regions
    skewed = {n: "a" if n in first else "b" for n in named}
    assert {skewed[n] for n in collectors(named, named, skewed)} == {"a", "b"}
    reachable = [n for n in named if regions[n] == "a"]  # two regions are cut off
    assert len(collectors(named, reachable, regions)) == 3
    assert set(collectors(named, reachable, regions)) <= set(reachable)
    assert collectors(named, [], regions) == []
    assert collectors(["c0", "c0"], ["c0"], {}) == ["c0"]
    others = [n for n in named if n != selected[0]]
    assert set(selected[1:]) <= set(collectors(named, others, regions))


# ---- replies --------------------------------------------------------------------------------------------


def reply(name: str, number: int = 7, count: int = 1, **changed: Any) -> FleetSummary:
    front = FleetFrontier("prod", number, f"d{number}", 80, 80, 4)
    fields = {"cells": 4, "heard": 4, "live": 80, "fronts": (front,)} | changed
    return FleetSummary(FORMAT_VERSION, LAYOUT.digest, name, 1, count, **fields)


def test_a_number_is_accepted_only_if_a_second_collector_has_it() -> None:
    replies = CollectorReplies(3 * PERIOD_US)
    assert replies.agreed(0) is None
    replies.receive(0, reply("c0", 10**9, heard=5, live=90))
    agreed_summary = replies.agreed(0)
    assert agreed_summary is not None
    assert agreed_summary.fronts[0].number == 10**9
    replies.receive(0, reply("c1", 7))
    replies.receive(0, reply("c2", 8))
    agreed_summary = replies.agreed(0)
    assert agreed_summary is not None
    assert agreed_summary.fronts[0].number == 8
    assert replies.agreed(3 * PERIOD_US + 1) is None  # no collector replies any more


def test_a_numbering_that_only_one_collector_reports_is_left_out() -> None:
    replies = CollectorReplies(3 * PERIOD_US)
    replies.receive(0, reply("c0", heard=9))
    replies.receive(0, reply("c1", fronts=()))
    agreed_summary = replies.agreed(0)
    assert agreed_summary is not None
    assert agreed_summary.heard == 9
    assert agreed_summary.fronts == ()


def test_an_older_reply_is_rejected_while_the_newer_one_is_fresh() -> None:
    replies = CollectorReplies(3 * PERIOD_US)
    replies.receive(0, reply("c0", count=5))
    with pytest.raises(SummaryRejectedError, match="old"):
        replies.receive(SECOND_US, reply("c0", count=4))
    replies.receive(4 * PERIOD_US, reply("c0", count=4))


def test_urgent_changes_of_the_fleet_summary_are_written_at_once_and_others_rarely() -> (
    None
):
    old = reply("c0")
    assert is_worth_reporting(0, None, old)
    assert not is_worth_reporting(REFRESH_INTERVAL_US, (0, old), reply("c1", count=9))
    assert is_worth_reporting(1, (0, old), reply("c0", 8))
    assert is_worth_reporting(1, (0, old), reply("c0", unheard=(2,)))
    assert is_worth_reporting(1, (0, old), reply("c0", heard=3))
    assert is_worth_reporting(1, (0, old), reply("c0", out=1))
    assert is_worth_reporting(1, (0, old), reply("c0", live=70))
    assert not is_worth_reporting(
        REFRESH_INTERVAL_US - 1, (0, old), reply("c0", live=78)
    )
    assert is_worth_reporting(REFRESH_INTERVAL_US, (0, old), reply("c0", live=78))


def test_a_node_behind_other_cells_polls_its_own_discovery_rarely() -> None:
    poller = DiscoveryPoller(1)
    fronts = (FleetFrontier("prod", 10**9), FleetFrontier("other", 5))
    polled_at = [
        at
        for at in range(0, 600 * SECOND_US, SECOND_US // 4)
        if poller.tick(at, ("prod", 7), fronts)
    ]
    assert 2 * SECOND_US <= polled_at[0] <= 4.25 * SECOND_US
    gaps = [b - a for a, b in zip(polled_at, polled_at[1:], strict=False)]
    assert all(MIN_POLL_INTERVAL_US <= g <= 1.6 * MAX_POLL_INTERVAL_US for g in gaps)
    assert len(polled_at) < 20
    assert not any(
        poller.tick(700 * SECOND_US + i, ("prod", 10**9), fronts) for i in range(10)
    )
    assert not poller.tick(800 * SECOND_US, None, fronts)
    assert not poller.tick(800 * SECOND_US, ("elsewhere", 1), fronts)


def test_nodes_that_are_behind_together_do_not_poll_together() -> None:
    first = []
    for seed in range(100):
        poller = DiscoveryPoller(Random(seed).getrandbits(32))
        first.append(
            next(
                a
                for a in range(0, 10 * SECOND_US, 1000)
                if poller.tick(a, ("p", 1), (FleetFrontier("p", 2),))
            )
        )
    assert max(first) - min(first) > 1.5 * SECOND_US


# ---- a cell's summary, from the audit's view -----------------------------------------------------------


def observed(statuses: dict[str, ReceivedStatus], times: int = 20) -> FleetView:
    """Returns an audit's view after a number of observations, each a quarter of a second after the last."""
    observer = FleetObserver(CELLS[0][0])
    return [
        observer.observe(SECOND_US + i * SECOND_US // 4, CELLS[0], statuses)
        for i in range(times)
    ][-1]


def list_versions(number: int, origin: str = "prod") -> tuple[VersionId, ...]:
    return (VersionId(origin, number, f"d{number}"),)


def summary_of(fleet_view: FleetView | None, live: list[str] = CELLS[0]) -> CellSummary:
    """Returns the summary of a view, after it has survived encoding."""
    result = summarize(
        LAYOUT,
        CELLS[0][0],
        MessageOrder(1, 1),
        CellMembers(len(CELLS[0]), live),
        fleet_view,
    )
    assert decode(encode(SummaryReport(result)), LAYOUT.digest) == result
    return result


def test_a_summary_counts_reporting_ready_quarantined_and_current_members() -> None:
    names, size = CELLS[0], len(CELLS[0])
    statuses = {
        n: ReceivedStatus(
            StatusRecord(
                list_versions=list_versions(7),
                settings=(1, "s"),
                operator_config=(1, "o"),
            )
        )
        for n in names
    }
    statuses[names[1]] = ReceivedStatus(
        StatusRecord(list_versions=list_versions(7)), stale=True
    )
    statuses[names[2]] = ReceivedStatus(
        StatusRecord(
            list_versions=list_versions(7),
            quarantine=QuarantineState.QUARANTINED,
            settings=(2, "t"),
            operator_config=(1, "o"),
        )
    )
    statuses[names[3]] = ReceivedStatus(
        StatusRecord(
            list_versions=list_versions(6), settings=(1, "s"), operator_config=(1, "o")
        )
    )
    statuses[names[4]] = ReceivedStatus(
        StatusRecord(
            list_versions=list_versions(6),
            adopted=list_versions(7)[0],
            ready=False,
            operator_config=(1, "o"),
        )
    )
    cell_summary = summary_of(observed(statuses, 60))
    assert (cell_summary.known, cell_summary.live, cell_summary.heard) == (
        size,
        size,
        size - 1,
    )
    assert (cell_summary.ready, cell_summary.out) == (size - 3, 1)
    counts = dict(zip(HealthState, cell_summary.standings, strict=True))
    assert counts[HealthState.CURRENT] == size - 2
    assert counts[HealthState.STRAGGLER] == counts[HealthState.SILENT] == 1
    assert cell_summary.named == (
        names[3],
        names[1],
    )  # members that are behind come first
    (front,) = cell_summary.fronts
    # The quarantined member is not counted in the quorum; the silent one is, and holds no list.
    assert (front.number, front.digest, front.of) == (7, "d7", size - 1)
    assert front.holders == size - 3
    assert dict(cell_summary.settings) == {"s": size - 3, "t": 1, "": 1}
    assert dict(cell_summary.operation) == {"o": size - 1}


def test_a_reporter_that_has_just_started_or_has_no_audit_reports_no_lists() -> None:
    statuses = {
        n: ReceivedStatus(StatusRecord(list_versions=list_versions(7)))
        for n in CELLS[0]
    }
    assert summary_of(observed(statuses, 1)).fronts == ()
    assert summary_of(observed(statuses)).fronts != ()
    cell_summary = summary_of(None)
    assert (cell_summary.live, cell_summary.heard, cell_summary.fronts) == (
        len(CELLS[0]),
        len(CELLS[0]),
        (),
    )


def test_a_summary_leaves_out_impossible_numbers_and_cuts_long_origins() -> None:
    statuses = {
        n: ReceivedStatus(
            StatusRecord(list_versions=list_versions(1 + i, f"o{i // 2:02}"))
        )
        for i, n in enumerate(CELLS[0])
    }
    for n in CELLS[0][:12]:
        statuses[n] = ReceivedStatus(
            StatusRecord(list_versions=list_versions(1 << 63, "huge"))
        )
    cell_summary = summary_of(observed(statuses))
    assert cell_summary.fronts == ()  # an impossible number is not reported
    long_origins = {
        n: ReceivedStatus(StatusRecord(list_versions=list_versions(1, "x" * 900)))
        for n in CELLS[0]
    }
    assert summary_of(observed(long_origins)).fronts[0].origin == "x" * 64


def test_counts_stay_consistent_while_members_join_and_leave() -> None:
    statuses = {
        n: ReceivedStatus(StatusRecord(list_versions=list_versions(7)))
        for n in CELLS[0]
    }
    fleet_view = observed(statuses)
    for live in (CELLS[0][:1], CELLS[0][:3], [*CELLS[0], "new"]):
        cell_summary = summary_of(fleet_view, live)
        assert (
            cell_summary.heard <= cell_summary.live == len(live) <= cell_summary.known
        )


# ---- a fleet that reports, in virtual time -------------------------------------------------------------

# Their regions follow from the last digit.
COLLECTOR_NAMES = [f"m{i}" for i in (3, 14, 25, 36, 47, 58)]


def reporting_fleet(**options: Any) -> ReportingFleet:
    """Returns a fleet of 60 nodes in 4 cells that has run for 20 s."""
    fleet = ReportingFleet(60, Layout(4), COLLECTOR_NAMES, loss=0.05, **options)
    fleet.run_periods(20)
    return fleet


def known_to_nodes(fleet: ReportingFleet) -> set[tuple[int, int, int, int]]:
    """Returns what nodes know: reporting cells, live members, list number, cells behind."""
    known = set()
    for total in fleet.fleet_summaries():
        assert total is not None
        fronts = total.fronts[0] if total.fronts else FleetFrontier("", 0)
        known.add((total.heard, total.live, fronts.number, fronts.behind))
    return known


def test_all_nodes_learn_within_seconds_that_a_change_is_in_force_everywhere() -> None:
    fleet = reporting_fleet()
    assert known_to_nodes(fleet) == {(4, 60, 1, 0)}
    fleet.publish_list(2, within=3.0)
    fleet.run_periods(12)
    for total in fleet.fleet_summaries():
        assert total is not None
        assert total.fronts[0].number == 2
        assert total.fronts[0].in_force_s is not None
        assert total.fronts[0].in_force_s <= 8
    # Nodes whose own discovery reports in time do not poll it.
    assert not fleet.poll_counts
    # Under 1 KB/s for each reporter: two in each of four cells, over 32 s.
    assert fleet.report_bytes / 8 / 32 < 1_000


def test_loss_and_return_of_a_zone_make_no_cells_summary_overdue() -> None:
    fleet = reporting_fleet()
    # Reporters and a collector are among them.
    lost = [n for n in fleet.audit_nodes if int(n[1:]) % 9 == 3]
    fleet.stop(lost)
    fleet.run_periods(10)
    fleet.events.clear()
    fleet.run_periods(10)
    assert known_to_nodes(fleet) == {(4, 60 - len(lost), 1, 0)}
    fleet.start(lost)
    fleet.run_periods(20)
    assert known_to_nodes(fleet) == {(4, 60, 1, 0)}
    assert not [e for e in fleet.events if e.event_name == "cells summary overdue"]
    assert not fleet.wrong_verdicts
    assert fleet.max_quarantined == 0


def test_loss_and_return_of_all_collectors() -> None:
    fleet = reporting_fleet()
    fleet.stop(COLLECTOR_NAMES)
    fleet.run_periods(10)
    assert set(fleet.fleet_summaries()) == {None}
    fleet.publish_list(2)
    fleet.run_periods(10)
    assert fleet.all_current()  # the cells still work
    fleet.start(COLLECTOR_NAMES)
    fleet.run_periods(10)
    assert known_to_nodes(fleet) == {(4, 60, 2, 0)}


def test_partitioned_regions_have_their_own_summaries_and_merge() -> None:
    fleet = reporting_fleet()
    # Some members of each cell, and two of the collectors.
    one_side = {n for n in fleet.audit_nodes if int(n[1:]) % 3 == 1}
    fleet.partition(one_side, set(fleet.audit_nodes) - one_side)
    fleet.run_periods(16)
    fleet.publish_list(2, names=set(fleet.audit_nodes) - one_side)
    fleet.latest_version = VersionId("d", 2, "c2")
    fleet.run_periods(16)
    for name in fleet.audit_nodes:
        total = fleet.fleet_summary(name)
        assert total is not None
        assert total.heard == 4
        assert total.live == (len(one_side) if name in one_side else 60 - len(one_side))
        assert total.fronts[0].number == (1 if name in one_side else 2)
    before = fleet.report_bytes
    fleet.run_periods(10)
    at_rest, before = fleet.report_bytes - before, fleet.report_bytes
    fleet.partition()
    fleet.run_periods(20)
    assert known_to_nodes(fleet) == {(4, 60, 2, 0)}
    assert fleet.report_bytes - before < 2.5 * at_rest  # over twice the time: no burst
    assert fleet.max_quarantined == 0


def test_a_paused_reporter_resumes_without_harm() -> None:
    fleet = reporting_fleet()
    first = reporters(0, [n for n in fleet.audit_nodes if fleet.layout.cell_of(n) == 0])
    fleet.paused = {first[0]}
    fleet.run_periods(12)
    fleet.publish_list(2)
    fleet.run_periods(12)
    assert known_to_nodes(fleet) == {(4, 60, 2, 0)}
    fleet.paused = set()
    fleet.run_periods(12)
    assert known_to_nodes(fleet) == {(4, 60, 2, 0)}
    assert not fleet.wrong_verdicts


def test_a_false_reporter_of_a_cell_causes_no_action() -> None:
    fleet = reporting_fleet()
    false_reporter = reporters(
        2, [n for n in fleet.audit_nodes if fleet.layout.cell_of(n) == 2]
    )[0]

    def falsify(report: CellSummary) -> CellSummary:
        if report.speaker != false_reporter:
            return report
        frontier = CellFrontier("d", 10**9, "ffff", report.live, report.live)
        return msgspec.structs.replace(
            report, fronts=(frontier,), ready=0, count=report.count + 10**6
        )

    fleet.alter_summary = falsify
    fleet.run_periods(20)
    assert {(heard, number) for heard, _, number, _ in known_to_nodes(fleet)} == {
        (4, 1)
    }
    assert ("cells summaries inconsistent", 2) in {
        (e.event_name, e.cell) for e in fleet.events
    }
    assert not fleet.poll_counts
    assert fleet.max_quarantined == 0
    assert fleet.all_current()


def test_a_false_collector_is_outvoted_and_as_the_sole_one_causes_only_rare_polls() -> (
    None
):
    fleet = reporting_fleet()
    false_collector = COLLECTOR_NAMES[0]
    original = Collector.fleet_summary

    def falsified(self: Collector, now: int) -> FleetSummary:
        total = original(self, now)
        if self.name == false_collector:
            fronts = tuple(
                msgspec.structs.replace(f, number=10**9) for f in total.fronts
            )
            return msgspec.structs.replace(total, fronts=fronts, live=99, heard=4)
        return total

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Collector, "fleet_summary", falsified)
        fleet.run_periods(16)
        assert not fleet.poll_counts
        fleet.stop(COLLECTOR_NAMES[1:])
        fleet.run_periods(60)
        assert all(
            total is not None and total.fronts[0].number == 10**9
            for total in fleet.fleet_summaries()
        )
        assert 0 < max(fleet.poll_counts.values()) <= 6
        assert all(
            audit_node.own.list_version == fleet.latest_version
            for n, audit_node in fleet.audit_nodes.items()
            if n not in fleet.down
        )
        assert fleet.max_quarantined == 0
        assert fleet.all_current()
