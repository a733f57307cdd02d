"""Feature `[cells]`: this node's summary of its cell, a collector's summary of the fleet, and their reports.

`loadbalancer.cells` decides; the clock, one timer, the channel and the records are here. That records come
from the own cell alone is done by `node/features/membership_host.py`, and goes on if this feature fails.
Imported only where the operator configuration has `[cells]`; without `collectors` it reports to nobody.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, cast

from loadbalancer.audit.fleet_view import FleetView
from loadbalancer.cells.collector import Collector
from loadbalancer.cells.messages import (
    CellSummary,
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
from loadbalancer.cells.reporter import (
    CollectorReplies,
    DiscoveryPoller,
    ListNumber,
    TimedSummary,
    collectors,
    is_worth_reporting,
    latest_record,
    reporters,
)
from loadbalancer.cells.rules import CollectorRules
from loadbalancer.cells.summarize import CellMembers, summarize
from loadbalancer.membership.messages import MemberState
from loadbalancer.node.features.cells_page import (
    CellsCounters,
    age_s,
    cell_table,
    summary_table,
)
from loadbalancer.node.features.core_feature import CoreFeature
from loadbalancer.node.features.feature import AdminPage
from loadbalancer.records.interface import Records
from loadbalancer.transports.interface import Address, Transport

if TYPE_CHECKING:
    from loadbalancer.node.features.audit import AuditFeature

CHANNEL_TAG = 8
KIND = "fleet"  # of the record that brings a cell the fleet's summary
SUMMARY_CACHE_US = 500_000  # a collector replies with the same summary for so long
LOG_INTERVAL_US = 60_000_000  # between two lines on messages rejected for one reason
JITTER_BASE_RATIO, JITTER_SPAN_RATIO = 0.75, 0.5  # of the period
SEED_BITS = 32
MAX_ORIGIN_CHARS = 64
US_PER_S = 1_000_000
UNKNOWN_ADDRESS: Address = ("", 0)


@dataclass(frozen=True, slots=True)
class RecordVersion:
    """The record that the fleet's summary was read from."""

    owner: str
    version: int


class CellsFeature(CoreFeature):
    """`[cells]`: the reports of cells, and the summary of the fleet.

    Attributes:
        cell: This node's cell.
        collector: This node's collector; None if it is none.
        fleet: The fleet's summary as known here.
        rejected: Messages that were dropped, by reason.
    """

    name = "cells"
    tag = CHANNEL_TAG
    needs_peers = True
    rules = CollectorRules()

    def on_start(self) -> None:
        """Starts the periods."""
        host = self.host
        config = host.operator_config().cells
        membership = host.operator_config().membership
        assert config is not None
        assert membership is not None
        self.config, self.membership, self.layout = config, membership, config.layout()
        self.cell = self.layout.cell_of(host.name)
        self.incarnation = host.wall_clock() // US_PER_S
        self.report_count = 0
        self.random = Random(host.seed() ^ host.now())
        self.poller = DiscoveryPoller(self.random.getrandbits(SEED_BITS))
        max_age_us = self.rules.overdue_periods * self.rules.period_us
        self.replies = CollectorReplies(max_age_us)
        self.collector: Collector | None = None
        if host.name in config.collectors:
            self.collector = Collector(
                host.name, self.layout, self.incarnation, self.rules
            )
        self.collected: TimedSummary | None = None  # the collector's last summary
        self.reported: TimedSummary | None = None  # what this reporter's record says
        self.fleet: TimedSummary | None = None
        self.fleet_record: RecordVersion | None = None
        self.live: list[str] = []  # the cell's live members ...
        self.reporters_of_live: list[str] = []  # ... and the reporters among them
        self.counters = CellsCounters()
        self.rejected = Counter[str]()
        self.logged_at: dict[str, int] = {}  # by reason of a rejection
        self.channel: Transport | None = None
        self.records: Records | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._open()

    def _open(self) -> None:
        """Opens the channel and the records, and begins the periods, if there are collectors to report to."""
        self.host.log_event(
            "cells started",
            cell=self.cell,
            cells=self.config.count,
            layout=self.layout.digest,
            collector=self.collector is not None,
        )
        if self.config.collectors:
            # Both end with the membership, and this feature with them.
            self.channel = self.host.channel(CHANNEL_TAG, self.received)
            self.records = self.host.records()
            self.schedule()

    def stop(self, graceful: bool) -> None:
        """Ends the periods and withdraws this node's record."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        is_reporting = self.reported is not None and not self.host.ending
        if is_reporting and self.records is not None:
            self.records.put(KIND, b"")
        self.host.log_event("cells stopped", cell=self.cell)

    def schedule(self) -> None:
        """Sets the timer to the next period, with jitter."""
        jitter = JITTER_BASE_RATIO + JITTER_SPAN_RATIO * self.random.random()
        delay_s = self.rules.period_us / 1e6 * jitter
        self.timer = self.node.loop.call_later(delay_s, self.on_timer)

    def on_timer(self) -> None:
        """Runs a period, in which a failure ends this feature alone."""
        self.schedule()
        self.host.run_guarded(self, self.run_period)

    def run_period(self) -> None:
        """Reports, collects, and takes what the collectors agree on."""
        if self.records is None:
            return
        now = self.host.now()
        if self.collector is not None:
            for event in self.collector.tick(now):
                self.host.log_event(
                    event.event_name, cell=event.cell, reason=event.detail
                )
        if self.host.name in self.reporters():
            self.report(now, self.records)
        elif self.reported is not None:
            self.reported = None
            self.records.put(KIND, b"")
        self.read_fleet_summary(now, self.records)
        fronts = self.fleet.summary.fronts if self.fleet is not None else ()
        if self.poller.tick(now, self.own_list(), fronts):
            self.counters.polls += 1
            self.host.log_event(
                "cells list refresh requested",
                reason="other cells hold a later list than this node",
                list=self.own_list(),
            )
            self.host.fetch_endpoint_list()

    # ---- the cell's summary ---------------------------------------------------------------------------

    def reporters(self) -> list[str]:
        """Returns who reports for this cell."""
        live = self.host.cell_members()
        if live != self.live:
            self.live, self.reporters_of_live = live, reporters(self.cell, live)
        return self.reporters_of_live

    def collectors(self) -> list[str]:
        """Returns whom reporters report to now."""
        swim = self.host.members.swim if self.host.members is not None else None
        if swim is None:
            return []
        live = {}
        for name in self.config.collectors:
            is_own = name == self.host.name
            member = swim.local if is_own else swim.members.get(name)
            if member is not None and member.state <= MemberState.SUSPECT:
                live[name] = member
        regions = {
            name: self.membership.region(member.zone) for name, member in live.items()
        }
        return collectors(self.config.collectors, live, regions)

    def report(self, now: int, records: Records) -> None:
        """Reports to the collectors, and to the cell what they agree on."""
        self.report_count += 1
        summary = self.summary()
        data = encode(SummaryReport(summary))
        for name in self.collectors():
            if name == self.host.name:
                self._report_to_itself(now, summary)
            else:
                self._send_report(name, data)
        self._publish_agreed_summary(now, records)

    def _report_to_itself(self, now: int, summary: CellSummary) -> None:
        """Takes this node's own summary as a collector, and its reply as a reporter."""
        try:
            self.collect(now, summary)
            self.replies.receive(now, self.fleet_summary(now))
        except SummaryRejectedError as error:
            # Another process under this node's name has reported more.
            self.reject(now, str(error), self._address(self.host.name))

    def _send_report(self, collector: str, data: bytes) -> None:
        address = self.host.member_address(collector)
        if address is None or self.channel is None:
            return
        if self.channel.send(data, address):
            self.counters.reports_sent += 1
            self.counters.report_bytes_sent += len(data)

    def _publish_agreed_summary(self, now: int, records: Records) -> None:
        """Writes what the collectors agree on into this reporter's record, for the cell."""
        agreed = self.replies.agreed(now)
        if agreed is None and self.reported is not None:
            self.reported = None
            records.put(KIND, b"")
        elif agreed is not None and is_worth_reporting(now, self.reported, agreed):
            self.reported = TimedSummary(now, agreed)
            records.put(KIND, encode_fleet_summary(agreed))

    def _address(self, member: str) -> Address:
        return self.host.member_address(member) or UNKNOWN_ADDRESS

    def summary(self) -> CellSummary:
        """Returns this node's summary of its cell."""
        members, known = self.host.members, 0
        if members is not None and members.layout is not None:
            known = len(members.census().known)
        order = MessageOrder(self.incarnation, self.report_count)
        return summarize(
            self.layout,
            self.host.name,
            order,
            CellMembers(known, self.host.cell_members()),
            self.picture(),
        )

    def picture(self) -> FleetView | None:
        """Returns the audit's last judgement, if there is an audit."""
        audit = self.host.features.get("audit")
        return cast("AuditFeature", audit).view if audit is not None else None

    def own_list(self) -> ListNumber | None:
        """Returns the number of the list that the own discovery has reported."""
        audit = self.host.features.get("audit")
        held = cast("AuditFeature", audit).list_version if audit is not None else None
        return (
            ListNumber(held.origin[:MAX_ORIGIN_CHARS], held.number)
            if held is not None
            else None
        )

    # ---- what others say ------------------------------------------------------------------------------

    def received(self, data: bytes, source: Address) -> None:
        """Handles a report to this collector, or a reply to this reporter."""
        now = self.host.now()
        try:
            summary = decode(data, self.layout.digest)
            if isinstance(summary, CellSummary):
                self.collect(now, summary)
                self._send_reply(now, source)
            elif summary.collector not in self.config.collectors:
                raise SummaryRejectedError("not from a collector")
            else:
                self.replies.receive(now, summary)
        except SummaryRejectedError as error:
            self.reject(now, str(error), source)

    def _send_reply(self, now: int, reporter: Address) -> None:
        reply = encode(FleetSummaryReply(self.fleet_summary(now)))
        if self.channel is not None and self.channel.send(reply, reporter):
            self.counters.replies_sent += 1
            self.counters.reply_bytes_sent += len(reply)

    def collect(self, now: int, summary: CellSummary) -> None:
        """Takes a report as a collector.

        Raises:
            SummaryRejectedError: This node is no collector, or the report is not to be believed.
        """
        if self.collector is None:
            raise SummaryRejectedError("not a collector")
        self.collector.receive(now, summary)
        self.counters.reports_received += 1

    def fleet_summary(self, now: int) -> FleetSummary:
        """Returns this collector's summary, computed anew after `SUMMARY_CACHE_US`."""
        assert self.collector is not None
        if self.collected is None or now - self.collected.at_us >= SUMMARY_CACHE_US:
            self.collector.track_numberings(now)
            summary = self.collector.fleet_summary(now)
            self.collected = TimedSummary(now, summary)
        return self.collected.summary

    def reject(self, now: int, why: str, source: Address) -> None:
        """Counts a message that is dropped, with one log line a minute for each reason."""
        self.rejected[why] += 1
        last = self.logged_at.get(why)
        if last is None or now - last >= LOG_INTERVAL_US:
            self.logged_at[why] = now
            self.host.log_event(
                "cells summary rejected", reason=why, source="{}:{}".format(*source),
                count=self.rejected[why],
                do="give all nodes one [cells] table and one release; while these change it passes by itself",
            )  # fmt: skip

    def read_fleet_summary(self, now: int, records: Records) -> None:
        """Takes the fleet's summary from the records of this cell's reporters."""
        found = (records.get(name, KIND) for name in self.reporters())
        record = latest_record(record for record in found if record is not None)
        if record is None:
            self.fleet = self.fleet_record = None
            return
        version = RecordVersion(record.owner, record.version)
        if version == self.fleet_record:
            return
        self.fleet_record = version
        self.fleet = None
        try:
            summary = decode_fleet_summary(record.body, self.layout.digest)
            self.fleet = TimedSummary(record.received_at_us, summary)
        except SummaryRejectedError as error:
            self.reject(now, str(error), self._address(record.owner))

    # ---- for operators --------------------------------------------------------------------------------

    def metrics(self) -> dict[str, Any]:
        """The table `cells` of `/admin/stats`."""
        return {
            "cell": self.cell,
            "members": len(self.host.cell_members()),
            "speaks": self.host.name in self.reporters(),
            "collects": self.collector is not None,
            "fleet_heard": self.fleet.summary.heard if self.fleet is not None else None,
            **self.counters.metrics(),
            "refused": dict(self.rejected),
        }

    def pages(self) -> dict[str, AdminPage]:
        """`/admin/cells`: well while the fleet's summary is known and no cell is unheard."""
        return {"/admin/cells": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """This cell, the fleet's summary, and at a collector each cell; ages in seconds."""
        now = self.host.now()
        table: dict[str, Any] = {
            "cell": self.cell,
            "cells": self.config.count,
            "label": self.config.label,
            "layout": self.layout.digest,
            "members": sorted(self.host.cell_members()),
            "speakers": self.reporters(),
            "collectors": self.collectors(),
            "fleet": None,
        }
        if self.fleet is not None:
            told_s = age_s(self.fleet.at_us, now)
            table["fleet"] = {**summary_table(self.fleet.summary), "told_s": told_s}
        if self.collector is not None:
            table["collected"] = summary_table(self.fleet_summary(now))
            table["by_cell"] = {
                str(number): cell_table(cell, now)
                for number, cell in sorted(self.collector.cells.items())
            }
        return self._is_well(), table

    def _is_well(self) -> bool:
        is_whole = self.fleet is not None and not self.fleet.summary.unheard
        return is_whole or not self.config.collectors
