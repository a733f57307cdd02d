"""Feature `[cells]`: summarizes this node's cell, collects summaries of the fleet, and exchanges them.

The decisions are made in `loadbalancer.cells`; this module provides the clock, one timer, the channel and the
records. The restriction of records to a node's own cell is implemented in `node/features/membership_host.py`
and stays in force if this feature fails. The module is imported only where the operator configuration has
`[cells]`; without `collectors` in that table no reports are sent.
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
KIND = "fleet"  # kind of the record in which a reporter publishes the fleet's summary to its cell
SUMMARY_CACHE_US = 500_000  # how long a collector reuses a summary that it has computed
# Minimum time between two log lines with the same rejection reason.
LOG_INTERVAL_US = 60_000_000
# Each period lasts between 0.75 and 1.25 times `CollectorRules.period_us`.
JITTER_BASE_RATIO, JITTER_SPAN_RATIO = 0.75, 0.5
SEED_BITS = 32  # size of the discovery poller's random seed
MAX_ORIGIN_CHARS = 64  # a longer name of a discovery is truncated
US_PER_S = 1_000_000
UNKNOWN_ADDRESS: Address = ("", 0)


@dataclass(frozen=True, slots=True)
class RecordVersion:
    """Identifies the record that the fleet's summary was read from.

    Attributes:
        owner: The reporter that published the record.
        version: The record's version.
    """

    owner: str
    version: int


class CellsFeature(CoreFeature):
    """Sends the summary of this node's cell to the collectors and receives the summary of the fleet.

    Attributes:
        cell: Number of this node's cell.
        collector: This node's collector state; None if the node is not a collector.
        fleet: The fleet's summary with its time of receipt; None while it is unknown.
        rejected: Numbers of rejected messages, by reason.
    """

    name = "cells"
    tag = CHANNEL_TAG
    needs_peers = True
    rules = CollectorRules()

    def on_start(self) -> None:
        """Reads the configuration and starts the periodic reports."""
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
        self.published: TimedSummary | None = None  # content of this reporter's record
        self.fleet: TimedSummary | None = None
        self.fleet_record: RecordVersion | None = None
        self.live_members: list[str] = []  # live members of this cell
        self.live_reporters: list[str] = []  # the reporters among `live_members`
        self.counters = CellsCounters()
        self.rejected = Counter[str]()
        self.logged_at: dict[str, int] = {}  # last log time by rejection reason
        self.channel: Transport | None = None
        self.records: Records | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._open()

    def _open(self) -> None:
        """Opens the channel and the records, and starts the periods, if any collectors are configured."""
        self.host.log_event(
            "cells started",
            cell=self.cell,
            cells=self.config.count,
            layout=self.layout.digest,
            collector=self.collector is not None,
        )
        if self.config.collectors:
            # Both are closed with the membership, and this feature is stopped with it.
            self.channel = self.host.channel(CHANNEL_TAG, self.receive)
            self.records = self.host.records()
            self.schedule()

    def stop(self, graceful: bool) -> None:
        """Stops the periodic reports; withdraws this node's record, unless the process is stopping."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        is_reporting = self.published is not None and not self.host.ending
        if is_reporting and self.records is not None:
            self.records.put(KIND, b"")
        self.host.log_event("cells stopped", cell=self.cell)

    def schedule(self) -> None:
        """Sets the timer for the next period, with jitter."""
        jitter = JITTER_BASE_RATIO + JITTER_SPAN_RATIO * self.random.random()
        delay_s = self.rules.period_us / 1e6 * jitter
        self.timer = self.node.loop.call_later(delay_s, self.on_timer)

    def on_timer(self) -> None:
        """Runs a period; an exception in it stops only this feature."""
        self.schedule()
        self.host.run_guarded(self, self.run_period)

    def run_period(self) -> None:
        """Updates the collector, reports for the cell, reads the fleet's summary, polls discovery if due."""
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
        elif self.published is not None:
            self.published = None
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
        """Returns the names of the members that report for this cell."""
        live = self.host.cell_members()
        if live != self.live_members:
            self.live_members, self.live_reporters = live, reporters(self.cell, live)
        return self.live_reporters

    def collectors(self) -> list[str]:
        """Returns the names of the collectors that reporters currently send to."""
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
        """Sends the cell's summary to the collectors, and publishes their agreed summary to the cell."""
        self.report_count += 1
        summary = self.summary()
        data = encode(SummaryReport(summary))
        for name in self.collectors():
            if name == self.host.name:
                self._report_to_own_collector(now, summary)
            else:
                self._send_report(name, data)
        self._publish_agreed_summary(now, records)

    def _report_to_own_collector(self, now: int, summary: CellSummary) -> None:
        """Passes the summary to this node's own collector, and the reply to this node as a reporter."""
        try:
            self.collect(now, summary)
            self.replies.receive(now, self.fleet_summary(now))
        except SummaryRejectedError as error:
            # Another process with this node's name has sent a later report.
            self.reject(now, str(error), self._address(self.host.name))

    def _send_report(self, collector: str, data: bytes) -> None:
        address = self.host.member_address(collector)
        if address is None or self.channel is None:
            return
        if self.channel.send(data, address):
            self.counters.reports_sent += 1
            self.counters.report_bytes_sent += len(data)

    def _publish_agreed_summary(self, now: int, records: Records) -> None:
        """Publishes the summary that the collectors agree on to the cell, in this reporter's record."""
        agreed = self.replies.agreed(now)
        if agreed is None and self.published is not None:
            self.published = None
            records.put(KIND, b"")
        elif agreed is not None and is_worth_reporting(now, self.published, agreed):
            self.published = TimedSummary(now, agreed)
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
            self.audit_view(),
        )

    def audit_view(self) -> FleetView | None:
        """Returns the audit's last view of the fleet; None without an audit or before its first view."""
        audit = self.host.features.get("audit")
        return cast("AuditFeature", audit).view if audit is not None else None

    def own_list(self) -> ListNumber | None:
        """Returns the number of the endpoint list that the own discovery has sent; None if unknown."""
        audit = self.host.features.get("audit")
        held = cast("AuditFeature", audit).list_version if audit is not None else None
        return (
            ListNumber(held.origin[:MAX_ORIGIN_CHARS], held.number)
            if held is not None
            else None
        )

    # ---- messages from other nodes --------------------------------------------------------------------

    def receive(self, data: bytes, source: Address) -> None:
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
        """Passes a report to this node's collector.

        Raises:
            SummaryRejectedError: This node is not a collector, or the collector rejects the report.
        """
        if self.collector is None:
            raise SummaryRejectedError("not a collector")
        self.collector.receive(now, summary)
        self.counters.reports_received += 1

    def fleet_summary(self, now: int) -> FleetSummary:
        """Returns this collector's summary, computed again after `SUMMARY_CACHE_US`."""
        assert self.collector is not None
        if self.collected is None or now - self.collected.at_us >= SUMMARY_CACHE_US:
            self.collector.track_numberings(now)
            summary = self.collector.fleet_summary(now)
            self.collected = TimedSummary(now, summary)
        return self.collected.summary

    def reject(self, now: int, reason: str, source: Address) -> None:
        """Counts a rejected message, and logs each rejection reason at most once a minute."""
        self.rejected[reason] += 1
        last = self.logged_at.get(reason)
        if last is None or now - last >= LOG_INTERVAL_US:
            self.logged_at[reason] = now
            self.host.log_event(
                "cells summary rejected", reason=reason, source="{}:{}".format(*source),
                count=self.rejected[reason],
                do="give all nodes one [cells] table and one release; during a rollout this ends by itself",
            )  # fmt: skip

    def read_fleet_summary(self, now: int, records: Records) -> None:
        """Reads the fleet's summary from the latest record of this cell's reporters."""
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
        """Returns the table `cells` of `/admin/stats`."""
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
        """Returns `/admin/cells`: healthy while the fleet's summary is known and no cell is unreachable.

        Without configured collectors it is always healthy.
        """
        return {"/admin/cells": self.page}

    def page(self) -> tuple[bool, dict[str, Any]]:
        """Returns this cell, the fleet's summary and, on a collector, every cell; ages in seconds."""
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
            age = age_s(self.fleet.at_us, now)
            table["fleet"] = {**summary_table(self.fleet.summary), "told_s": age}
        if self.collector is not None:
            table["collected"] = summary_table(self.fleet_summary(now))
            table["by_cell"] = {
                str(number): cell_table(cell, now)
                for number, cell in sorted(self.collector.cells.items())
            }
        return self._is_healthy(), table

    def _is_healthy(self) -> bool:
        is_complete = self.fleet is not None and not self.fleet.summary.unheard
        return is_complete or not self.config.collectors
