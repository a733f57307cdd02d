"""Takes updates of the endpoint list in, and the members of the subset anew."""

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

# The first backoff is this part of the longest silence allowed...
BACKOFF_BASE_DIVISOR = 20
BACKOFF_MOST_DIVISOR = 4  # ...and no later one is more than this part of it
BACKOFF_DOUBLINGS = 3
BACKOFF_JITTER_LEAST = 0.5  # a backoff is drawn between this and 1.5 times its length


def scopes_of(settings: Settings) -> frozenset[DeduplicationScope]:
    """The scopes in which requests with a key are repeated."""
    return frozenset(
        each.deduplication_scope
        for each in settings.classes
        if each.idempotency == Idempotency.WITH_KEY
    )


class ListUpdates:
    """Keeps the list, what is known of its endpoints, and the subset in step."""

    def __init__(
        self, subset: Subset, table: EndpointTable, outliers: OutlierDetector
    ) -> None:
        """Starts with an empty list."""
        self.context = subset.context
        self.subset = subset
        self.table = table
        self.outliers = outliers
        self.failed_polls = 0  # since the last list

    def poll_backoff(self) -> int:
        """Counts a failed poll; when to poll again, in microseconds, with jitter.

        The backoff doubles with each failure and stays well inside the longest silence allowed.
        """
        self.failed_polls += 1
        settings = self.context.settings
        longest = settings.list_poll_interval
        base = max(settings.tick_us, longest // BACKOFF_BASE_DIVISOR)
        doubled = base << min(self.failed_polls - 1, BACKOFF_DOUBLINGS)
        delay = min(doubled, max(base, longest // BACKOFF_MOST_DIVISOR))
        return int(delay * (BACKOFF_JITTER_LEAST + self.context.rng.random()))

    def update(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool,
    ) -> bool:
        """Takes in an update that carries entries; see `api.Events.update_endpoints`.

        Returns:
            Whether endpoints that a full list left out are to be swept out.
        """
        if kind != ListUpdateKind.CACHED:
            self.failed_polls = 0
        endpoint_list = self.subset.endpoint_list
        if kind != ListUpdateKind.CHANGES and not endpoint_list.receiving:
            endpoint_list.begin()
        # Of an endpoint that is named twice the last entry holds.
        for entry in {entry.endpoint: entry for entry in entries}.values():
            self.update_endpoint(now, entry)
        if kind == ListUpdateKind.CHANGES or more:
            return False
        unswept = endpoint_list.end()
        self.table.unlist_missing(endpoint_list)
        return unswept

    def update_endpoint(self, now: int, entry: EndpointEntry) -> None:
        """Takes in one entry."""
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
        """Lays the list out anew, if the settings need other orders of it."""
        endpoint_list = self.subset.endpoint_list
        scopes = scopes_of(self.context.settings) | endpoint_list.scopes
        by_zone = self.subset.spill.enabled
        if endpoint_list.by_zone != by_zone or endpoint_list.scopes != scopes:
            self.subset.endpoint_list = endpoint_list.rebuilt(by_zone, scopes)

    def refill(self, now: int) -> None:
        """Takes the members anew from the list."""
        listed = self.subset.select_slices()
        if self.subset.is_current(listed):
            self.subset.update_capacity(now)
            return
        members = [self.table.learn_of(now, each) for each in listed]
        self.subset.replace_members(listed, members)
        self.outliers.adapt_to_members()
        self.table.forget_idle()
        self.subset.update_capacity(now)
        self.subset.regroup()
