"""Rules of the change freeze: electors, leases, timeouts and limits.

All nodes must have the same rules. Durations are in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from loadbalancer.freeze.changes import Change

ELECTOR_COUNTS = (3, 5, 7)  # allowed numbers of electors
MAX_DRIFT_RATIO = 0.5  # exclusive


@dataclass(frozen=True)
class ElectionRules:
    """The electors, and the leader's lease.

    Attributes:
        electors: Names of the nodes that elect the coordinator.
        lease_us: Duration of the lease that an elector grants to the leader, in microseconds.
        drift_ratio: Largest relative error of the rate of a node's clock, as a fraction of true time.

    Raises:
        ValueError: The number of electors is not in `ELECTOR_COUNTS`, or a value is out of range.
    """

    electors: tuple[str, ...]
    lease_us: int = 2_000_000
    drift_ratio: float = 0.01

    def __post_init__(self) -> None:
        distinct = len(set(self.electors)) == len(self.electors)
        if len(self.electors) not in ELECTOR_COUNTS or not distinct:
            raise ValueError("freeze: electors must be 3, 5 or 7 different nodes")
        if not 0 <= self.drift_ratio < MAX_DRIFT_RATIO or self.lease_us <= 0:
            raise ValueError(
                "freeze: lease must be positive, and drift ratio at least 0 and below 0.5"
            )

    @property
    def majority(self) -> int:
        """Number of electors that form a majority."""
        return len(self.electors) // 2 + 1

    @property
    def leader_lease_us(self) -> int:
        """Duration of a granted lease that the leader can rely on, measured by its own clock."""
        return int(self.lease_us * (1 - self.drift_ratio) / (1 + self.drift_ratio))

    @property
    def heartbeat_interval_us(self) -> int:
        """Time between two heartbeats to the same elector."""
        return max(1, self.lease_us // 8)

    @property
    def answer_timeout_us(self) -> int:
        """Time without answers of a majority after which a leader requests no more leases."""
        return self.leader_lease_us * 3 // 8

    @property
    def resend_interval_us(self) -> int:
        """Time after which an unanswered heartbeat with commands, or vote request, is sent again."""
        return max(1, self.lease_us // 20)

    @property
    def candidacy_jitter_us(self) -> int:
        """Largest random delay before a candidacy, and the least duration of one.

        It is also the interval of recovery requests.
        """
        return max(1, self.lease_us // 4)


@dataclass(frozen=True)
class CoordinatorRules:
    """Timeouts and limits of the coordinator, in microseconds.

    Attributes:
        begin_within_us: Time after the sending of a request within which its change must start; at most a
            lease.
        max_duration_us: Longest duration of a change.
        notify_interval_us: Interval at which members are notified of the open incidents.
        revocation_interval_us: Interval at which a revocation is repeated until it is acknowledged.
        retry_after_us: Delay after which a node repeats a deferred request.
        busy_retry_after_us: The same for requests that were deferred because too many were made at once.
        queue_timeout_us: Time after which a queued request that is not repeated loses its place.
        max_pending_grants: Limit of grants that are not committed yet.
        max_queued_requests: Limit of the queue, which keeps waiting requests in order of arrival.
    """

    begin_within_us: int = 1_000_000
    max_duration_us: int = 3_600_000_000
    notify_interval_us: int = 1_000_000
    revocation_interval_us: int = 200_000
    retry_after_us: int = 2_000_000
    busy_retry_after_us: int = 500_000
    queue_timeout_us: int = 5_000_000
    max_pending_grants: int = 256
    max_queued_requests: int = 256


@dataclass(frozen=True)
class NoCoordinatorRule:
    """How requests for one kind of change are answered while no coordinator answers.

    Attributes:
        answer_after_us: Delay after which the node answers the request itself.
        proceed_after_silence_us: Time since the last message of any coordinator after which the change
            proceeds without a grant, also counted from the client's start; None if it never does.
    """

    answer_after_us: int
    proceed_after_silence_us: int | None


# Reloads are deliberate actions of a person on this machine, and may be needed to repair the electors
# themselves; the catch-up of a node that is behind can only improve its state. Changes that move traffic
# wait longer. Changes that remove nodes or servers always wait for a coordinator, even in an emergency.
DEFAULT_NO_COORDINATOR_RULES = {
    Change.SETTINGS.value: NoCoordinatorRule(8_000_000, 8_000_000),
    Change.OPERATION.value: NoCoordinatorRule(8_000_000, 8_000_000),
    Change.BRING_UP.value: NoCoordinatorRule(5_000_000, 5_000_000),
    Change.PLACEMENT.value: NoCoordinatorRule(5_000_000, 60_000_000),
    Change.ZONE_RETURN.value: NoCoordinatorRule(8_000_000, 120_000_000),
    Change.SHUT_OUT.value: NoCoordinatorRule(5_000_000, None),
    Change.UPGRADE.value: NoCoordinatorRule(8_000_000, None),
}


def _default_no_coordinator_rules() -> Mapping[str, NoCoordinatorRule]:
    return dict(DEFAULT_NO_COORDINATOR_RULES)


@dataclass(frozen=True)
class ClientRules:
    """How a node requests changes.

    Attributes:
        electors: Names of the electors, one of which is the coordinator.
        coordinator: The coordinator's rules.
        drift_ratio: As in `ElectionRules`.
        retry_interval_us: Time to wait for the first answer to a request; it doubles with each retry, up to
            eight times its first value. Returns of grants and operators' commands are repeated at this
            interval.
        incident_lifetime_us: Time since the last message of any coordinator for which a known incident stays
            in effect.
        no_coordinator: By kind of change, the rule that applies while no coordinator answers.
    """

    electors: tuple[str, ...]
    coordinator: CoordinatorRules = field(default_factory=CoordinatorRules)
    drift_ratio: float = 0.01
    retry_interval_us: int = 250_000
    incident_lifetime_us: int = 600_000_000
    no_coordinator: Mapping[str, NoCoordinatorRule] = field(
        default_factory=_default_no_coordinator_rules
    )

    def local_duration_us(self, duration_us: int) -> int:
        """Returns a duration for this node's clock that ends no later than the coordinator's `duration_us`.

        It is shorter by the maximum drift between the two clocks.
        """
        return int(duration_us * (1 - self.drift_ratio) / (1 + self.drift_ratio))


@dataclass(frozen=True)
class FreezeRules:
    """All rules of the change freeze.

    Attributes:
        regions: Region of each zone, by zone name.
    """

    election: ElectionRules
    client: ClientRules
    regions: Mapping[str, str] = field(default_factory=dict)
