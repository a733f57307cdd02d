"""Timing and rate limits of the anti-entropy protocol; docs/records.md has the measured figures."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.records.messages import (
    BUCKET_CHECKSUMS_LAYOUT,
    ENTRY_LAYOUT,
    MAX_DATAGRAM_BYTES,
)

# 20 bytes are reserved for the encoding around the entries and the bucket checksums.
MAX_ENTRIES_PER_DIGEST = (
    MAX_DATAGRAM_BYTES - 20 - BUCKET_CHECKSUMS_LAYOUT.size
) // ENTRY_LAYOUT.size
MAX_OVERDUE_ENTRIES = 10  # entries in a digest for owners whose heartbeat is overdue
MAX_BUCKETS_PER_REPLY = 8  # a bound, because updates in flight make many buckets differ
MAX_KINDS_PER_OWNER = 16
GROUP_KIND = "cell"  # kind of the record with the layout that its owner follows, if any
FULL_EXCHANGES_AFTER_JOIN = 2  # exchanges that request the entries of all owners
BURST_S = 2  # seconds of the byte rate that may be sent at once
MAX_FETCH_SOURCES = 3  # members that are asked in turn
MAX_FETCH_ATTEMPTS = 4  # requests until a fetch is given up


@dataclass(frozen=True)
class RecordRules:
    """Timing and rate limits; times are in microseconds, rates in bytes per second.

    Attributes:
        push_interval_us: Minimum time between two pushes of new entries.
        push_fanout: Number of members that receive each push.
        retransmissions: Number of pushes of an entry, and then of exchanges that carry it.
        exchange_interval_us: Time between two exchanges, each with one random member.
        heartbeat_us: Minimum time between two heartbeats of an owner.
        heartbeat_per_member_us: Time between two heartbeats for each member; it applies where it gives more
            than `heartbeat_us`.
        stale_after_heartbeats: Number of missed heartbeats after which an owner is stale.
        min_stale_us: Minimum silence before an owner is stale.
        fetch_retry_us: Time to wait for a response before another member is asked.
        drop_after_us: How long records of an owner that is not live are kept.
        withdraw_after_us: How long records of an earlier incarnation that this one does not write are kept.
        base_rate_bytes_per_s: Rate at which a node without peers may send.
        rate_per_member_bytes_per_s: Added to the rate for each peer.
        max_rate_bytes_per_s: Upper bound of the rate.
    """

    push_interval_us: int = 100_000
    push_fanout: int = 3
    retransmissions: int = 3
    exchange_interval_us: int = 500_000
    heartbeat_us: int = 4_000_000
    heartbeat_per_member_us: int = 25_000
    stale_after_heartbeats: int = 4
    min_stale_us: int = 15_000_000
    fetch_retry_us: int = 150_000
    drop_after_us: int = 60_000_000
    withdraw_after_us: int = 30_000_000
    base_rate_bytes_per_s: int = 8_000
    rate_per_member_bytes_per_s: int = 200
    max_rate_bytes_per_s: int = 64_000

    def heartbeat_interval_us(self, member_count: int) -> int:
        """Returns the time between two heartbeats of an owner in a fleet of this size, in microseconds."""
        return max(self.heartbeat_us, self.heartbeat_per_member_us * member_count)

    def stale_timeout_us(self, member_count: int) -> int:
        """Returns the silence after which an owner is stale in a fleet of this size, in microseconds."""
        missed_us = self.stale_after_heartbeats * self.heartbeat_interval_us(
            member_count
        )
        return max(self.min_stale_us, missed_us)

    def rate_limit_bytes_per_s(self, peer_count: int) -> int:
        """Returns the average rate at which a node with that many peers may send, in bytes per second."""
        rate = (
            self.base_rate_bytes_per_s + self.rate_per_member_bytes_per_s * peer_count
        )
        return min(self.max_rate_bytes_per_s, rate)
