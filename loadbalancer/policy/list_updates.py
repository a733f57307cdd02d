"""Applies updates of the endpoint list and selects the members of the subset again."""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.policy.api import (
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Settings,
)
from loadbalancer.policy.endpoint_table import EndpointTable
from loadbalancer.policy.outlier_detection import OutlierDetector
from loadbalancer.policy.subset import Subset

# The first backoff is the poll interval divided by this value.
BACKOFF_BASE_DIVISOR = 20
# The longest backoff, before jitter, is the poll interval divided by this value.
BACKOFF_MAX_DIVISOR = 4
# Largest number of times that the first backoff is doubled.
BACKOFF_DOUBLINGS = 3
# A backoff is multiplied by a random factor between this value and 1.5.
BACKOFF_JITTER_MIN = 0.5


def scopes_of(settings: Settings) -> frozenset[DeduplicationScope]:
    """Returns the deduplication scopes in which keyed requests are retried."""
    return frozenset(
        each.deduplication_scope
        for each in settings.classes
        if each.idempotency == Idempotency.WITH_KEY
    )


class ListUpdates:
    """Keeps the endpoint list, the table of known endpoints and the subset consistent.

    Attributes:
        subset: The subset, which also holds the endpoint list.
        table: The state of known endpoints.
        outliers: The ejected members.
        failed_polls: Failed polls since the last update other than a cached list.
    """

    def __init__(
        self, subset: Subset, table: EndpointTable, outliers: OutlierDetector
    ) -> None:
        """Starts without a failed poll; the arguments are described with the attributes."""
        self.context = subset.context
        self.subset = subset
        self.table = table
        self.outliers = outliers
        self.failed_polls = 0

    def poll_backoff(self) -> int:
        """Counts a failed poll and returns the delay of the next one in microseconds, with jitter.

        The backoff doubles with each failure and stays well below the poll interval, which is the longest
        time allowed between two polls.
        """
        self.failed_polls += 1
        settings = self.context.settings
        longest = settings.list_poll_interval
        base = max(settings.tick_us, longest // BACKOFF_BASE_DIVISOR)
        doubled = base << min(self.failed_polls - 1, BACKOFF_DOUBLINGS)
        delay = min(doubled, max(base, longest // BACKOFF_MAX_DIVISOR))
        return int(delay * (BACKOFF_JITTER_MIN + self.context.rng.random()))

    def update(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool,
    ) -> bool:
        """Applies an update that carries entries; see `api.Events.update_endpoints`.

        Args:
            now: The time in microseconds.
            kind: The kind of the update; not a failed poll.
            entries: The entries of the update.
            more: Whether further parts of this full list follow.

        Returns:
            Whether a sweep has to remove endpoints that a full list left out.
        """
        if kind != ListUpdateKind.CACHED:
            self.failed_polls = 0
        endpoint_list = self.subset.endpoint_list
        if kind != ListUpdateKind.CHANGES and not endpoint_list.receiving:
            endpoint_list.start_full_list()
        # If an endpoint is named twice, the last entry counts.
        for entry in {entry.endpoint: entry for entry in entries}.values():
            self.update_endpoint(now, entry)
        if kind == ListUpdateKind.CHANGES or more:
            return False
        sweep_due = endpoint_list.finish_full_list()
        self.table.unlist_missing(endpoint_list)
        return sweep_due

    def update_endpoint(self, now: int, entry: EndpointEntry) -> None:
        """Applies one entry of an update."""
        known = self.table.endpoints.get(entry.endpoint)
        if entry.state != EndpointState.READY:
            self.subset.endpoint_list.remove(entry.endpoint)
            if known is not None:
                self.table.unlist(known)
            return
        listed = self.subset.endpoint_list.put(entry)
        if known is not None:
            self.table.update(now, known, listed)

    def rebuild(self) -> None:
        """Rebuilds the orders of the list if changed settings require other ones."""
        endpoint_list = self.subset.endpoint_list
        scopes = scopes_of(self.context.settings) | endpoint_list.scopes
        by_zone = self.subset.spill.enabled
        if endpoint_list.by_zone != by_zone or endpoint_list.scopes != scopes:
            self.subset.endpoint_list = endpoint_list.rebuilt(by_zone, scopes)

    def refill(self, now: int) -> None:
        """Selects the members again from the list and updates the capacity."""
        listed = self.subset.select_slices()
        if self.subset.is_current(listed):
            self.subset.update_capacity(now)
            return
        members = [self.table.get_or_create(now, each) for each in listed]
        self.subset.replace_members(listed, members)
        self.outliers.adapt_to_members()
        self.table.forget_idle()
        self.subset.update_capacity(now)
        self.subset.regroup()
