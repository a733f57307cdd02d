"""The node's endpoints, as updates of the endpoint list change them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.node.numbering import number_of
from loadbalancer.node.upstream.endpoint import UpstreamEndpoint
from loadbalancer.policy.api import EndpointEntry, EndpointState, ListUpdateKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing
    from loadbalancer.node.upstream.pool import ConnectionPool


class EndpointRegistry:
    """Maps the list's names to numbers, and keeps the pool's endpoints in line with the list.

    A full list may arrive in parts, with changes between them.

    Args:
        pool: The connection pool, which holds the endpoints by number.
        zones: The zones' names, in the order of the settings.
        kinds: The kinds' names, in the order of the settings.

    Attributes:
        zones: Numbers of the zones by name; a new name in the list gets the next number.
        kinds: Numbers of the kinds by name; likewise.
        listed: The endpoints in the list; None until a list is complete.
        received: The endpoints in the list so far, also while the first list is incomplete.
        named: The endpoints in the received parts of an incomplete full list; None if there is none.
        superseded: Endpoints that changes have updated since the first of these parts; the changes are newer.
        retired: Endpoints that have left and may still have attempts in flight.
    """

    def __init__(
        self, pool: ConnectionPool, zones: Sequence[str], kinds: Sequence[str]
    ) -> None:
        self.pool = pool
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.listed: set[int] | None = None
        self.received: set[int] = set()
        self.named: set[int] | None = None
        self.superseded: set[int] = set()
        self.retired: set[int] = set()

    def zone_number(self, name: str) -> int:
        """Returns the number that this node uses for a zone."""
        return self.zones.setdefault(name, len(self.zones))

    def update(self, listing: Listing, more: bool) -> list[EndpointEntry]:
        """Applies an update of the list.

        Args:
            listing: The update.
            more: Whether more parts of a long list follow.

        Returns:
            The entries for the policy.
        """
        # If a server is listed twice, its last entry applies.
        latest = {number_of(line.id): line for line in listing.lines}
        is_full = listing.kind != ListUpdateKind.CHANGES
        if is_full:
            self._merge_full(latest)
        elif self.named is not None:
            self.superseded.update(latest)
        for number, line in latest.items():
            self._apply_line(number, line)
        for number, line in latest.items():
            if line.state == EndpointState.GONE:
                self.received.discard(number)
            else:
                self.received.add(number)
        if is_full and not more:
            self._retire_unlisted()
        if not more:
            self.listed = self.received
        self._forget_retired()
        return [self._entry(number, line) for number, line in latest.items()]

    def _merge_full(self, latest: dict[int, Line]) -> None:
        """Records which endpoints a full list or a part of it names, and drops entries older than changes."""
        if self.named is None:
            self.named, self.superseded = set(), set()
        for number in self.superseded & latest.keys():
            del latest[number]
        self.named.update(latest)

    def _retire_unlisted(self) -> None:
        """Retires the endpoints that a complete full list does not name."""
        if self.named is None:
            return
        for number in self.pool.endpoints.keys() - self.named - self.superseded:
            self.retire(number)
        self.received &= self.named | self.superseded
        self.named = None

    def retire(self, number: int) -> None:
        """Stops new attempts to an endpoint; attempts in flight may finish."""
        endpoint = self.pool.endpoints.get(number)
        if endpoint is not None:
            endpoint.retire()
            self.retired.add(number)

    def _forget_retired(self) -> None:
        """Removes retired endpoints without attempts in flight; called at each update."""
        for number in list(self.retired):
            endpoint = self.pool.endpoints.get(number)
            if endpoint is None or endpoint.ready:
                self.retired.discard(number)
            elif not endpoint.active_attempts:
                self.retired.discard(number)
                del self.pool.endpoints[number]

    def _apply_line(self, number: int, line: Line) -> None:
        """Applies an entry's address and state; connections to a server's previous process are not reused."""
        if line.state != EndpointState.READY:
            self.retire(number)
            return
        endpoint = self.pool.endpoints.get(number)
        address = (line.host, line.port, line.started)
        if (
            endpoint is not None
            and (endpoint.host, endpoint.port, endpoint.started) != address
        ):
            endpoint.retire()
            endpoint = None
        if endpoint is None:
            endpoint = self.pool.endpoints[number] = UpstreamEndpoint(*address)
        endpoint.ready = True

    def _entry(self, number: int, line: Line) -> EndpointEntry:
        return EndpointEntry(
            number,
            line.state,
            line.cell,
            self.zone_number(line.zone),
            self.kinds.setdefault(line.kind, len(self.kinds)),
            line.weight,
            line.started,
        )
