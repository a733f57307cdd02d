"""Decides whether a change of placement is made at once, in steps, or is deferred.

The decision depends on the operators' rules and on the forecast at the unfavourable end of its interval; an
unknown forecast counts as the worst case. Drains, departures, ejected and failed servers and the failover
away from a zone need no decision; if one is requested all the same, they are made at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import ceil, inf

from loadbalancer.forecast.forecast_result import Forecast
from loadbalancer.forecast.migration_rules import MigrationRules
from loadbalancer.forecast.shard_traffic import ShardTraffic
from loadbalancer.policy.ranked_order import shuffle

# Salts of `shuffle`. They must be the same in all nodes, and differ from each other and from 0, which the
# policy uses to order endpoints (policy/endpoint_list.py, policy/subset.py) and to stagger nodes.
NODE_TURN_SALT = 5
SHARD_STEP_SALT = 6
US_PER_S = 1e6


class ChangeKind(StrEnum):
    """Kinds of changes of placement; the values are published and stored."""

    JOIN = "join"  # servers join
    SUBSETS = "place"  # nodes' ring positions change, and with them their subsets
    SHARDS = "shards"  # the number of shards or of replicas changes
    DRAIN = "drain"  # servers are drained
    LEAVE = "leave"  # servers leave
    FAILED = "failed"  # servers have failed
    ZONE_OUT = "zone_out"  # requests fail over away from a zone


URGENT = frozenset(
    (ChangeKind.DRAIN, ChangeKind.LEAVE, ChangeKind.FAILED, ChangeKind.ZONE_OUT)
)


@dataclass(frozen=True)
class MigrationPlan:
    """How a change of placement is to be made.

    Attributes:
        steps: Number of steps; 1 if the change is made at once, 0 if it is deferred.
        pause_s: Seconds between two steps; for a deferred change, until it is evaluated again.
        reason: The reason for steps or a deferral, for operators; empty if the change is made at once.
    """

    steps: int
    pause_s: float = 0.0
    reason: str = ""

    @property
    def deferred(self) -> bool:
        """Whether the change is not made now."""
        return not self.steps


AT_ONCE = MigrationPlan(1)


def plan_migration(
    rules: MigrationRules, kind: str, forecast: Forecast, deferred_s: float
) -> MigrationPlan:
    """Decides how a change is made.

    If caches recover between the steps, the increase of the load of misses over the present one shrinks in
    proportion to the number of steps.

    Args:
        rules: The operators' rules.
        kind: A value of `ChangeKind`, or another kind that is not urgent.
        forecast: The forecast for making the change at once.
        deferred_s: Seconds for which the change has been deferred already.
    """
    if kind in URGENT:
        return AT_ONCE
    known = not forecast.unknown_reason and forecast.tolerance_known
    load = forecast.peak_load_high if known else inf
    if load <= rules.max_load:
        return AT_ONCE
    pause_s = min(rules.max_pause_s, max(rules.min_pause_s, forecast.recovery_s))
    reason = _reason(rules, forecast, load)
    if load < inf and forecast.load_now < rules.max_load:
        steps = ceil((load - forecast.load_now) / (rules.max_load - forecast.load_now))
        if steps <= rules.max_steps:
            return MigrationPlan(steps, pause_s, reason)
    if deferred_s >= rules.max_deferral_s:
        reason = f"{reason}; deferred for {deferred_s:.0f} s, the longest allowed"
        return MigrationPlan(rules.max_steps, pause_s, reason)
    return MigrationPlan(0, rules.review_s, reason)


def _reason(rules: MigrationRules, forecast: Forecast, load: float) -> str:
    """Returns why a change is not made at once, for operators."""
    if load < inf:
        return (
            f"expected misses are up to {load:.2f} of those that a server tolerates,"
            f" {rules.max_load:.2f} allowed"
        )
    return forecast.unknown_reason or "the misses that servers tolerate are not known"


def node_turn(number: int, steps: int) -> int:
    """Returns the step, from 0, in which a node makes its own part of a change.

    Nodes are distributed evenly over the steps by their numbers.
    """
    return shuffle(number, NODE_TURN_SALT) % steps


def shard_has_moved(shard: int, steps: int, steps_done: int) -> bool:
    """Returns whether a shard has moved after a number of steps; the same shards move in all nodes.

    Args:
        shard: The shard.
        steps: Number of steps of the change.
        steps_done: Number of completed steps.
    """
    return shuffle(shard, SHARD_STEP_SALT) % steps < steps_done


def blend_traffic(
    before: ShardTraffic,
    after: ShardTraffic,
    steps: int,
    steps_done: int,
    shard_count: int,
) -> ShardTraffic:
    """Returns the traffic after a number of steps of a change.

    Args:
        before: The traffic before the change.
        after: The traffic after the last step.
        steps: Number of steps of the change.
        steps_done: Number of completed steps.
        shard_count: Number of shards in both placements.
    """
    has_moved = [
        shard_has_moved(shard, steps, steps_done) for shard in range(shard_count)
    ]
    fractions: list[dict[int, float]] = []
    for old, new in zip(before.fractions, after.fractions, strict=True):
        by_shard = {
            shard: fraction for shard, fraction in old.items() if not has_moved[shard]
        }
        by_shard.update(
            (shard, fraction) for shard, fraction in new.items() if has_moved[shard]
        )
        fractions.append(by_shard)
    added_replicas = (after.mean_replicas - before.mean_replicas) * steps_done / steps
    return ShardTraffic(fractions, before.mean_replicas + added_replicas)


@dataclass
class MigrationSchedule:
    """The schedule of one change that is made in steps.

    Times are readings of the node's clock (`Node.now`), in microseconds.

    Attributes:
        steps: Number of steps.
        pause_s: Seconds between two steps.
        started_at: Time of the first step; later than the real one if steps were postponed.
        steps_done: Number of completed steps; 0 if the change is deferred.
    """

    steps: int
    pause_s: float
    started_at: int
    steps_done: int = 1

    def next_step_at(self) -> int | None:
        """Returns the time at which the next step is due; None if all steps are done.

        Must not be called on a deferred schedule (`steps_done` 0): its first step would seem due at once.
        """
        if self.steps_done >= self.steps:
            return None
        return self.started_at + int(self.steps_done * self.pause_s * US_PER_S)

    def advance(self, now: int) -> bool:
        """Advances to the next step if it is due.

        Must not be called on a deferred schedule (`steps_done` 0), as it would start the change.

        Args:
            now: The current time.

        Returns:
            Whether the next step was due.
        """
        due_at = self.next_step_at()
        if due_at is None or now < due_at:
            return False
        self.steps_done += 1
        return True

    def postpone(self, now: int) -> None:
        """Delays the next step by one pause from now on, because caches have not recovered yet."""
        self.started_at = now - int((self.steps_done - 1) * self.pause_s * US_PER_S)
