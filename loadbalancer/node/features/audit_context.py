"""State that the modules of the audit share: the ledger, the fleet evaluator, the endpoints, the counters."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from enum import StrEnum

from loadbalancer.audit.fleet_observer import FleetObserver
from loadbalancer.audit.fleet_view import FleetView
from loadbalancer.audit.remediator import Remediator
from loadbalancer.audit.rules import FleetRules, RemediationRules
from loadbalancer.config.operator_config import AuditTable
from loadbalancer.node.features.audit_endpoints import AuditedEndpoints
from loadbalancer.node.features.audit_ledger import LedgerStore
from loadbalancer.node.features.feature import FeatureHost

US_PER_S = 1_000_000
MAX_PEERS_ASKED = 3  # in one round of a catch-up


class CatchUpMethod(StrEnum):
    """The kind of source from which a list was adopted. The values are published."""

    AGENT = "by_agent"
    PEERS = "by_peers"


@dataclass
class AuditCounters:
    """Counters of the audit, in the order of the published table.

    Attributes:
        own_discovery_asked: Additional requests to this node's own discovery.
        agents_asked: Requests to the discovery agents that operators configure.
        peers_asked: Requests to peers.
        notified: Hints sent to outdated members.
        caught_up: Lists adopted from agents or peers.
        by_agent: Lists adopted from another agent.
        by_peers: Lists adopted from peers.
        quarantined: Quarantines of this node that started.
        rejoined: Quarantines of this node that ended.
        rejected: Quarantines of this node that were not approved.
    """

    own_discovery_asked: int = 0
    agents_asked: int = 0
    peers_asked: int = 0
    notified: int = 0
    caught_up: int = 0
    by_agent: int = 0
    by_peers: int = 0
    quarantined: int = 0
    rejoined: int = 0
    rejected: int = 0

    def count_catch_up(self, method: CatchUpMethod) -> None:
        """Counts an adopted list (`method`: the kind of its source)."""
        self.caught_up += 1
        if method is CatchUpMethod.AGENT:
            self.by_agent += 1
        else:
            self.by_peers += 1

    def table(self) -> dict[str, int]:
        """Returns the counters by their published names."""
        return {
            PUBLISHED_COUNTERS.get(name, name): count
            for name, count in asdict(self).items()
        }


# Published names of the counters that are published under another name than the attribute's.
PUBLISHED_COUNTERS = {
    "own_discovery_asked": "asked_own",
    "agents_asked": "asked_agents",
    "peers_asked": "asked_peers",
    "notified": "told",
    "caught_up": "brought_up",
    "quarantined": "shut_out",
    "rejoined": "let_in",
    "rejected": "refused",
}


class FleetEvaluator:
    """The two pure state machines of the audit, the fleet observer and the remediator, with their rules.

    Attributes:
        host: The services of the node.
        observer: Evaluates the health of the members from their status records.
        remediator: Decides which remediations this node carries out.
        view: The last observation; None until the first one, and after `reset`.
    """

    def __init__(self, host: FeatureHost, table: AuditTable) -> None:
        self.host = host
        self.view: FleetView | None = None
        self.observer: FleetObserver
        self.remediator: Remediator
        self.configure(table)

    def configure(self, table: AuditTable) -> None:
        """Applies the operators' rules; before the first observation, creates both machines again."""
        fleet, remediation = fleet_rules(table), remediation_rules(table)
        if self.view is None:
            seed = self.host.seed() ^ self.host.now()
            self.observer = FleetObserver(self.host.name, fleet)
            self.remediator = Remediator(self.host.name, remediation, seed)
        self.observer.rules = fleet
        self.remediator.update_rules(remediation)

    def reset(self) -> None:
        """Discards the view of the fleet; the next `configure` creates both machines again."""
        self.view = None

    def deadline_age_s(self, now: int) -> float | None:
        """Returns the seconds since the end of the wait for this node's own discovery.

        The result is negative before that time, and None if there has been no such wait.

        Args:
            now: Monotonic microseconds.
        """
        deadline = self.remediator.discovery_deadline
        return round((now - deadline) / US_PER_S, 3) if deadline else None


@dataclass
class AuditContext:
    """State that the modules of the audit share.

    Attributes:
        host: The services of the node.
        table: The `[audit]` table in force.
        store: The ledger and its log.
        evaluator: The fleet observer and the remediator.
        endpoints: The endpoint list as this node knows it.
        counters: The counters of the audit.
        stopped: Whether the feature has stopped; late answers are then ignored.
    """

    host: FeatureHost
    table: AuditTable
    store: LedgerStore
    evaluator: FleetEvaluator
    endpoints: AuditedEndpoints = field(default_factory=AuditedEndpoints)
    counters: AuditCounters = field(default_factory=AuditCounters)
    stopped: bool = False


def fleet_rules(table: AuditTable) -> FleetRules:
    """Returns the rules of the fleet observer that a table configures."""
    return FleetRules(
        lag_us=int(table.lag_s * US_PER_S), dwell_us=int(table.hold_s * US_PER_S)
    )


def remediation_rules(table: AuditTable) -> RemediationRules:
    """Returns the rules of the remediator that a table configures."""
    return RemediationRules(
        lag_us=int(table.lag_s * US_PER_S),
        silence_us=int(table.silence_s * US_PER_S),
        agents=len(table.agents),
        peers=MAX_PEERS_ASKED if table.from_peers else 0,
        quarantine_after_us=int(table.out_after_s * US_PER_S),
        max_quarantined_ratio=table.out_share_percent / 100,
        rejoin_after_us=int(table.in_after_s * US_PER_S),
        min_ready=table.ready_least,
        min_ready_ratio=table.ready_share_percent / 100,
    )
