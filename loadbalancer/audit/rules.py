"""Limits and time constants of the audit. Times are in microseconds; ratios range from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class FleetRules:
    """When a member counts as lagging, diverged or silent.

    Attributes:
        lag_us: A member that is behind the frontier for this time is a straggler.
        dwell_us: Time for which an outdated or silent member must hold the frontier before it counts as
            current again.
        relapse_window_us: A relapse within this time after a recovery doubles the dwell time.
        max_dwell_factor: Upper bound of the factor by which relapses multiply the dwell time.
        confirm_divergence_us: A member whose content differs under the frontier's number for this time has
            diverged.
        unconfirmed_us: A member that reports, for this time, a version ahead of the frontier that no other
            member reports has an unknown state.
        silence_us: A member that is alive without a fresh status for this time is silent.
        forget_us: A member that is not alive is forgotten after this time.
        max_step_us: A longer interval between two observations means that this node was suspended. A member
            that was not alive for longer than this time counts as having joined again.
        settle_us: Time after the start or after such a gap in which this node takes no part in decisions.
    """

    lag_us: int = 2_500_000
    dwell_us: int = 2_000_000
    relapse_window_us: int = 60_000_000
    max_dwell_factor: int = 8
    confirm_divergence_us: int = 1_000_000
    unconfirmed_us: int = 10_000_000
    silence_us: int = 10_000_000
    forget_us: int = 300_000_000
    max_step_us: int = 1_500_000
    settle_us: int = 2_000_000


@dataclass(frozen=True)
class RemediationRules:
    """From whom an outdated node requests the current list, and when it may be quarantined.

    Attributes:
        poll_after_us: A node that is behind for this time polls its own discovery.
        lag_us: Time behind the frontier after which a discovery that answers with an older version is no
            longer waited for.
        silence_us: Time since the last answer after which a discovery that does not answer is no longer
            waited for.
        agents: Number of other discovery agents that operators have configured.
        agent_timeout_us: Timeout of a request to one of these agents.
        peers: Number of peers that are asked in one round.
        peer_timeout_us: Timeout of a request to a peer.
        jitter_us: Upper bound of the random delay before a round.
        max_backoff_us: Upper bound of the backoff between two rounds, without the jitter.
        max_rounds: Catching up has failed after this number of rounds of all steps.
        quarantine_after_us: Time for which a node must be outdated before it requests quarantine.
        max_quarantined_ratio: Fraction of the known members that may be quarantined; 0 disables quarantine.
        request_timeout_us: Time in which a quarantine request must find its majority of votes.
        min_request_age_us: Time for which a member must have known a request before it votes for it.
        vote_embargo_us: Time after its start in which a member does not vote.
        rejoin_after_us: Time for which a quarantined node must hold the frontier before it rejoins.
        no_majority_us: A quarantined node rejoins after this time without a majority to compare it with.
        min_ready: Number of members that must stay ready.
        min_ready_ratio: Fraction of the live members that must stay ready.
    """

    poll_after_us: int = 500_000
    lag_us: int = 2_500_000
    silence_us: int = 6_000_000
    agents: int = 0
    agent_timeout_us: int = 700_000
    peers: int = 3
    peer_timeout_us: int = 400_000
    jitter_us: int = 300_000
    max_backoff_us: int = 30_000_000
    max_rounds: int = 3
    quarantine_after_us: int = 30_000_000
    max_quarantined_ratio: float = 0.10
    request_timeout_us: int = 10_000_000
    min_request_age_us: int = 2_000_000
    vote_embargo_us: int = 10_000_000
    rejoin_after_us: int = 10_000_000
    no_majority_us: int = 5_000_000
    min_ready: int = 1
    min_ready_ratio: float = 0.5


@dataclass(frozen=True)
class LedgerRules:
    """Limits of a ledger's memory and of its log.

    Attributes:
        max_versions: Number of version records to keep, over all sources and incarnations.
        max_spans: Number of spans to keep.
        span_retention_us: Time for which a closed span is kept for attempts that end late.
        checkpoint_entries: Number of entries after which a checkpoint is written.
        checkpoint_bytes: Size in bytes of the entries after which a checkpoint is written.
    """

    max_versions: int = 128
    max_spans: int = 256
    span_retention_us: int = 120_000_000
    checkpoint_entries: int = 2_048
    checkpoint_bytes: int = 256 << 10
