"""Settings of the membership protocol and its fixed constants."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.membership.messages import MAX_DATAGRAM_BYTES

# The cluster of a node whose settings name none. Nodes of all versions must agree on it: never change it.
DEFAULT_CLUSTER = "brackenladder"

# No update encodes in fewer than 16 bytes.
MAX_UPDATES_PER_DATAGRAM = MAX_DATAGRAM_BYTES // 16

# Probe periods until the next sync after a join, while no member is alive, or with a dead sender; also the
# constant part of the time in which gossip should have delivered an update.
SYNC_PERIODS = 5
DEAD_PROBE_PERIODS = 5  # probe periods between two probes of dead members
FORGET_INTERVAL_US = 10_000_000  # between two removals of members that have stayed dead
# Added to the time in which gossip should have delivered an update, for each live member.
GOSSIP_DELAY_PER_MEMBER_US = 5_000

# Budgets that all members of one side of a partition share: each member draws whether it acts. A round is
# the time between two probes of dead members (DEAD_PROBE_PERIODS).
REJOIN_INTERVAL_US = 1_000_000  # between two sync requests to lost seeds and addresses
DEAD_PROBES_PER_ROUND = 8  # probes of each dead member in each round
# Minimum probes by each member in a round: it may be the only one that considers some member dead.
MIN_DEAD_PROBES_PER_MEMBER = 0.125
REJOIN_SYNCS_PER_ROUND = 64  # sync requests to members marked dead that send datagrams

# Budget of the datagrams with member tables that one member sends: a burst, then one per cost interval.
SYNC_BURST_DATAGRAMS = 64
SYNC_DATAGRAM_COST_US = 62_500
# Time in which all datagrams of a reply should arrive, in any order.
SYNC_REPLY_WINDOW_US = 20_000

# Addresses of removed members are kept to rejoin after a partition: at most 16, for 4 hours.
MAX_FORGOTTEN_ADDRESSES = 16
FORGOTTEN_ADDRESS_RETENTION_US = 4 * 3_600_000_000


@dataclass(frozen=True)
class SwimSettings:
    """Settings of one cluster; docs/membership.md explains the defaults, with their measured figures.

    Attributes:
        cluster: Name that all members share; datagrams of other clusters are dropped.
        probe_interval_us: Period of the failure detector, which sends one probe in each period.
        probe_timeout_us: Time for a direct answer, after which indirect probes are requested.
        indirect_probes: Number of members that are asked for an indirect probe, and the number of
            confirmations that shortens a suspicion to its minimum.
        pause_tolerance_us: Minimum time of a suspicion, so that a process paused for less is not declared
            dead.
        min_suspicion_periods: Minimum time of a suspicion in probe periods, times log10(members) for at least
            10 members.
        max_suspicion_ratio: Time of an unconfirmed suspicion as a multiple of the minimum.
        retransmit_ratio: Number of datagrams that carry an update, times log10(members + 1), rounded up.
        max_local_health: Local health at which periods and timeouts are stretched most (Lifeguard).
        sync_interval_us: Time between two table exchanges of one member while tables agree.
        sync_members: In clusters above this size the interval grows in proportion to the size, so that the
            bytes that one member sends do not.
        dead_retention_us: Time for which a dead member is remembered, so that a healed partition rejoins.
        max_members: Maximum number of known members; reports about further, unknown members are dropped.

    Raises:
        ValueError: A value is out of the range in which the protocol works.
    """

    cluster: str = DEFAULT_CLUSTER
    probe_interval_us: int = 350_000
    probe_timeout_us: int = 150_000
    indirect_probes: int = 3
    pause_tolerance_us: int = 3_300_000
    min_suspicion_periods: int = 2
    max_suspicion_ratio: int = 4
    retransmit_ratio: int = 4
    max_local_health: int = 8
    sync_interval_us: int = 30_000_000
    sync_members: int = 64
    dead_retention_us: int = 300_000_000
    max_members: int = 10_000

    def __post_init__(self) -> None:
        if not 0 < self.probe_timeout_us < self.probe_interval_us:
            raise ValueError(
                "membership: probe_timeout_us must be positive and below probe_interval_us"
            )
        if (
            self.indirect_probes < 0
            or self.retransmit_ratio < 1
            or self.max_local_health < 0
        ):
            raise ValueError(
                "membership: indirect_probes and max_local_health must not be negative,"
                " and retransmit_ratio must be at least 1"
            )
        if not 0 < self.min_suspicion_periods <= self.max_suspicion_ratio:
            raise ValueError(
                "membership: min_suspicion_periods must be positive and at most max_suspicion_ratio"
            )
