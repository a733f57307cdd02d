"""Suspicions: how much time a suspected member has to refute before it is declared dead (Lifeguard)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from loadbalancer.membership.state import Context

MIN_CLUSTER_SIZE = 10  # smaller clusters use the timeouts of a cluster of this size


@dataclass
class Suspicion:
    """The suspicion of one member.

    Attributes:
        start_us: When the time to refute started.
        confirmers: Names of members that suspect it because of their own probes.
        is_own: Whether this member's own probe failed; if not, the suspicion is known only by gossip.
        deadline_us: When the suspect of an own suspicion is declared dead.
        check_us: When a suspect that is known only by gossip is probed, unless `deadline_us` is earlier.
        next_ping_us: When the suspect of an own suspicion is pinged again, once in each probe period.
        sequence: Sequence number of that ping.
        not_before_us: Lower bound of the deadline.
        is_extended: Whether the deadline was extended because a partition may have healed; done only once.
    """

    start_us: int
    confirmers: set[str] = field(default_factory=set)
    is_own: bool = False
    deadline_us: int = 0
    check_us: int = 0
    next_ping_us: int = 0
    sequence: int = 0
    not_before_us: int = 0
    is_extended: bool = False

    @property
    def due_us(self) -> int:
        """When the failure detector must next check this suspicion."""
        return min(
            self.deadline_us, self.next_ping_us if self.is_own else self.check_us
        )


class SuspicionTable:
    """All suspicions that this member knows.

    Args:
        context: State that all modules of this member share.

    Attributes:
        by_name: Suspicions by the name of the suspect.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.by_name: dict[str, Suspicion] = {}

    def start(self, name: str) -> Suspicion:
        """Starts a suspicion; it counts as known by gossip until this member's own probe fails."""
        now_us = self._context.now_us
        suspicion = self.by_name[name] = Suspicion(now_us)
        suspicion.check_us = now_us + self._context.gossip_round_us
        return suspicion

    def clear(self, name: str) -> None:
        """Ends the suspicion of a member, if there is one."""
        self.by_name.pop(name, None)

    def is_own_ping(self, sequence: int) -> bool:
        """Whether a ping with this sequence number was sent to a suspect."""
        return any(entry.sequence == sequence for entry in self.by_name.values())

    def set_deadline(self, suspicion: Suspicion) -> None:
        """Sets the deadline according to the confirmations so far."""
        timeout_us = self.timeout_us(len(suspicion.confirmers) - 1)
        suspicion.deadline_us = max(
            suspicion.start_us + timeout_us, suspicion.not_before_us
        )

    def restart(self, suspicion: Suspicion) -> None:
        """Restarts the time to refute."""
        suspicion.start_us = self._context.now_us
        timeout_us = self.timeout_us(len(suspicion.confirmers) - 1)
        suspicion.deadline_us = suspicion.start_us + timeout_us

    def timeout_us(self, confirmations: int) -> int:
        """Time to refute; shrinks from maximum to minimum, on a log scale, with independent confirmations."""
        settings, table = self._context.settings, self._context.table
        size = max(MIN_CLUSTER_SIZE, len(table.members) + 1)
        periods = settings.min_suspicion_periods * math.log10(size)
        shortest = max(
            int(periods * settings.probe_interval_us), settings.pause_tolerance_us
        )
        longest = settings.max_suspicion_ratio * shortest
        # In a small cluster fewer members can confirm: confirmations of all of them are enough.
        max_confirmations = max(1, min(settings.indirect_probes, table.live_count - 1))
        confirmed = min(confirmations, max_confirmations)
        ratio = math.log(confirmed + 1) / math.log(max_confirmations + 1)
        return max(shortest, int(longest - (longest - shortest) * ratio))

    def extend_after_stall(self) -> None:
        """Extends deadlines for refutations that arrived while this process stalled and are still unread."""
        min_deadline_us = (
            self._context.now_us + self._context.settings.probe_interval_us
        )
        for suspicion in self.by_name.values():
            suspicion.deadline_us = max(suspicion.deadline_us, min_deadline_us)

    def extend_after_recovery(self) -> None:
        """Extends deadlines by one more ping: a dead member sent a datagram, so a partition may have healed.

        Each suspicion is extended only once, so that no death is delayed forever.
        """
        settings = self._context.settings
        min_deadline_us = (
            self._context.now_us
            + settings.probe_interval_us
            + settings.probe_timeout_us
        )
        for suspicion in self.by_name.values():
            if suspicion.deadline_us < min_deadline_us and not suspicion.is_extended:
                suspicion.deadline_us = suspicion.not_before_us = min_deadline_us
                suspicion.is_extended = True
