"""Exchanges key reports with other nodes, as replicated records of the membership."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

from loadbalancer.config.operator_config import ForecastTable
from loadbalancer.errors import LoadBalancerError
from loadbalancer.forecast.key_records import (
    KeyRecordError,
    NodeKeyReport,
    decode_report,
    encode_report,
)
from loadbalancer.forecast.key_sample import KeySample
from loadbalancer.node.features.host import NodeFeatureHost
from loadbalancer.records.interface import MAX_BODY_BYTES, Records

REPORTS_PER_WINDOW = 4  # reports sent during one window of the key sample
# Minimum time between two reports; three of them reach all nodes within this time.
MIN_REPORT_INTERVAL_S = 2.5
# Wait before the records are requested again if there is no membership.
RECORDS_RETRY_S = 1.0
TOP_KIND = "keys"  # kind of the record with the most requested keys


def record_kinds(sample_records: int) -> list[str]:
    """Returns the kinds of a report's records.

    The first record holds the most requested keys, the others hold the parts of the sample.

    Args:
        sample_records: Number of records that the sample is divided into.
    """
    return [TOP_KIND, *(f"{TOP_KIND}.{index}" for index in range(sample_records))]


class KeyReports:
    """Sends this node's key report and reads the reports of other nodes.

    Attributes:
        config: The table `[forecast]` in force.
        records: The membership's records; None until they are available.
        received: The versions of the records last read, and the report in them, by owner.
    """

    def __init__(
        self, host: NodeFeatureHost, sample: KeySample, config: ForecastTable
    ) -> None:
        self.host, self.node, self.sample = host, host.node, sample
        self.config = config
        self.records: Records | None = None
        self.received: dict[str, tuple[tuple[int, ...], NodeKeyReport | None]] = {}
        self._records_retry_at = self._report_at = 0.0  # event loop time, in seconds

    def is_due(self) -> bool:
        """Returns whether to send a report now; requests the records if they are not available yet."""
        now = self.node.loop.time()
        if self.records is None and now >= self._records_retry_at:
            self._records_retry_at = now + RECORDS_RETRY_S
            try:
                self.records = self.host.records()
            except LoadBalancerError:
                return False
        return self.records is not None and now >= self._report_at

    def send(self) -> None:
        """Sends this node's report."""
        assert self.records is not None
        interval_s = max(
            MIN_REPORT_INTERVAL_S, self.config.window_s / REPORTS_PER_WINDOW
        )
        self._report_at = self.node.loop.time() + interval_s
        kinds = record_kinds(self.config.records)
        for kind, body in zip(kinds, self._encode(), strict=True):
            self.records.put(kind, body)

    def collect(self) -> Iterator[tuple[str, NodeKeyReport]]:
        """Yields the name and the report of each live node, starting with this node."""
        own = self.host.name
        yield own, decode_report(self._encode())
        live = set(self.host.live_members())
        for owner in self.received.keys() - live:
            del self.received[owner]
        kinds = record_kinds(self.config.records)
        if self.records is None:
            return
        for record in self.records.of(TOP_KIND):
            if record.owner == own or record.owner not in live or record.stale:
                continue
            report = self._read(self.records, record.owner, kinds)
            if report is not None:
                yield record.owner, report

    def _encode(self) -> list[bytes]:
        return encode_report(
            self.sample.digest(self.node.now()),
            self.node.balancer.subset.size,
            self.config.records,
            MAX_BODY_BYTES,
        )

    def _read(
        self, records: Records, owner: str, kinds: list[str]
    ) -> NodeKeyReport | None:
        """Returns a node's last report that could be decoded; None if there is none."""
        parts = [records.get(owner, kind) for kind in kinds]
        versions = tuple(part.version if part is not None else 0 for part in parts)
        known = self.received.get(owner)
        if known is not None and known[0] == versions:
            return known[1]
        report = known[1] if known is not None else None
        with suppress(KeyRecordError):  # some records may not have arrived yet
            report = decode_report([part.body for part in parts if part is not None])
        self.received[owner] = versions, report
        return report
