"""Tracks one zone's endpoints: how many are usable, whether the zone is lost, and its recovery ramp.

A zone that returns gets the load that its warm endpoints can take, and no more than its recovery ramp
allows. The ramp is longer the more often the zone has been lost. This module uses no I/O, clock or
randomness. Times are in microseconds.
"""

from __future__ import annotations

# A zone with less than this fraction of its usual endpoints usable is short.
SHORT_RATIO = 0.9
# A zone with less than this fraction of its usual endpoints listed is lost.
LOST_RATIO = 0.5
# A zone was resized when its number of listed endpoints changes by more than this fraction.
RESIZED_RATIO = 0.1
# Time constant with which the usual size of a zone that has become smaller fades.
SIZE_MEMORY_US = 600_000_000
# Largest number of times that the recovery ramp is doubled; it doubles with each loss after the first.
MAX_RAMP_DOUBLINGS = 4


class Zone:
    """The endpoints of one zone as seen by one instance.

    Attributes:
        usual_endpoints: The number of listed endpoints in the usual state; it fades after a decrease.
        usable_endpoints: The number of endpoints that may be used now, counted in warm ones.
        settled_size: The number of listed endpoints when it last changed by more than RESIZED_RATIO.
        resized_at: The time of that change in microseconds; None before the first one.
        lost: Whether the zone has lost most of its endpoints.
        loss_count: How often the zone was lost since the last time without losses (`calm_time`).
        lost_at: The time of the last loss, in microseconds.
        recovering_since: The time of the zone's return in microseconds; None outside a recovery ramp.
    """

    __slots__ = (
        "loss_count",
        "lost",
        "lost_at",
        "recovering_since",
        "resized_at",
        "settled_size",
        "usable_endpoints",
        "usual_endpoints",
    )

    def __init__(self) -> None:
        """Creates a zone without known endpoints."""
        self.usual_endpoints = 0.0
        self.usable_endpoints = 0.0
        self.settled_size = 0
        self.resized_at: int | None = None
        self.lost = False
        self.loss_count = 0
        self.lost_at = 0
        self.recovering_since: int | None = None

    @property
    def is_short(self) -> bool:
        """Whether fewer than SHORT_RATIO of the zone's usual endpoints are usable."""
        return self.usable_endpoints < SHORT_RATIO * self.usual_endpoints

    def has_most(self, listed: int) -> bool:
        """Returns whether this number of listed endpoints is at least LOST_RATIO of the usual number."""
        return listed >= LOST_RATIO * self.usual_endpoints

    def observe_size(self, now: int, listed: int) -> None:
        """Records when the number of listed endpoints changed; the first list does not count as a change.

        Args:
            now: The time in microseconds.
            listed: The number of listed endpoints.
        """
        if abs(listed - self.settled_size) > RESIZED_RATIO * self.settled_size:
            self.resized_at = now if self.usual_endpoints else None
            self.settled_size = listed

    def mark_lost(self, now: int, calm_time: int) -> None:
        """Marks the zone as lost.

        Args:
            now: The time in microseconds.
            calm_time: The time without a loss, in microseconds, after which earlier losses no longer count.
        """
        if now - self.lost_at > calm_time:
            self.loss_count = 0
        self.lost = True
        self.lost_at = now
        self.recovering_since = None
        self.loss_count += 1

    def start_recovery(self, now: int) -> None:
        """Marks the zone as returned and starts its recovery ramp."""
        self.lost = False
        self.recovering_since = now

    def update_endpoints(
        self, now: int, elapsed: int, listed: int, warm: float, ramp_time: int
    ) -> None:
        """Updates the numbers of usual and usable endpoints.

        A zone that is lost and returns every few seconds fails calls each time. From its second loss on,
        therefore, none of its endpoints is usable while it is lost, and the ramp after its return is longer.

        Args:
            now: The time in microseconds.
            elapsed: The time since the last update, in microseconds.
            listed: The number of listed endpoints.
            warm: The number of listed endpoints, counted in warm ones; outside a panic, only healthy ones.
            ramp_time: The length of the recovery ramp after a first loss, in microseconds.
        """
        faded = self.usual_endpoints * max(0.0, 1 - elapsed / SIZE_MEMORY_US)
        self.usual_endpoints = max(float(listed), faded)
        self.usable_endpoints = warm
        if self.recovering_since is None and not (self.lost and self.loss_count > 1):
            return
        ramp_time <<= min(self.loss_count - 1, MAX_RAMP_DOUBLINGS)
        progress = 0.0
        if self.recovering_since is not None:
            progress = (now - self.recovering_since) / ramp_time
        if progress >= 1:
            self.recovering_since = None
        else:
            self.usable_endpoints = min(warm, self.usual_endpoints * progress)
