"""Holds the listed endpoints in the orders that all instances share.

Each kind of machine has a `RankedOrder` by shuffled endpoint numbers; where calls stay in their zone, each
kind has one order per zone. Neither a change nor a look-up of a few endpoints touches the others. Each
listed endpoint takes one `ListedEndpoint` and one entry of an order, about 170 bytes, and 60 bytes more for
each deduplication scope.

A full list may arrive in parts. Endpoints that a part names are listed at once. Endpoints that the complete
list leaves out become invalid when the last part is applied, and are removed afterwards by a sweep,
SWEEP_STEP endpoints at a time. This module uses no I/O, clock or randomness.
"""

from __future__ import annotations

from collections.abc import Iterator

from loadbalancer.policy.api import DeduplicationScope, EndpointEntry
from loadbalancer.policy.ranked_order import RankedOrder, shuffle

SWEEP_STEP = 100  # endpoints that one step of a sweep examines
ALL_ZONES = (
    -1
)  # replaces the zone's number in `EndpointList.orders` where zones are not separated


class ListedEndpoint:
    """The list entry of an endpoint that is ready.

    Attributes:
        id: The endpoint's number.
        cell: The number of its cell.
        zone: The number of its zone.
        kind: The number of its kind of machine.
        started_at: When its process started, in microseconds; 0 if long ago.
        generation: The generation of the list that named it last.
    """

    __slots__ = ("cell", "generation", "id", "kind", "started_at", "zone")

    def __init__(self, entry: EndpointEntry) -> None:
        """Copies the values of a received entry.

        Args:
            entry: An entry of a list update.
        """
        self.id = entry.endpoint
        self.cell = entry.cell
        self.zone = entry.zone
        self.kind = entry.kind
        self.started_at = entry.started_at
        self.generation = 0


class EndpointList:
    """All listed endpoints.

    Attributes:
        by_zone: Whether each zone has its own orders.
        scopes: The deduplication scopes in which endpoints can be looked up.
        endpoints: The valid endpoints and those that still await the sweep, by number.
        ready: The number of `endpoints` by zone, with those that still await the sweep.
        possibly_cold: Endpoints that may be cold: those with a start time, until they are found to be warm.
        orders: The orders by zone and kind of machine.
        scope_orders: The orders by deduplication scope and the number of the zone or cell.
        generation: The number of full lists that were started. Each endpoint keeps the value at which it was
            last named.
        valid_from: Endpoints of a lower generation were left out by a full list and are invalid.
        current_count: The number of endpoints of the present generation.
        stale_count: The number of invalid endpoints that still await the sweep.
        receiving: Whether further parts of a full list are expected.
        unswept: The numbers of the endpoints that the present sweep has yet to examine; None without a sweep.
    """

    def __init__(self, by_zone: bool, scopes: frozenset[DeduplicationScope]) -> None:
        """Creates an empty list; the arguments are described with the attributes."""
        self.by_zone = by_zone
        self.scopes = scopes
        self.endpoints: dict[int, ListedEndpoint] = {}
        self.ready: dict[int, int] = {}
        self.possibly_cold: dict[int, ListedEndpoint] = {}
        self.orders: dict[int, dict[int, RankedOrder[ListedEndpoint]]] = {}
        self.scope_orders: dict[
            tuple[DeduplicationScope, int], RankedOrder[ListedEndpoint]
        ] = {}
        self.generation = 0
        self.valid_from = 0
        self.current_count = 0
        self.stale_count = 0
        self.receiving = False
        self.unswept: Iterator[int] | None = None

    def __len__(self) -> int:
        return len(self.endpoints) - self.stale_count

    def get(self, endpoint: int) -> ListedEndpoint | None:
        """Returns a listed endpoint by its number, or None if it is not listed."""
        listed = self.endpoints.get(endpoint)
        if listed is None or listed.generation < self.valid_from:
            return None
        return listed

    # ---- changes ----

    def put(self, entry: EndpointEntry) -> ListedEndpoint:
        """Adds or updates a ready endpoint and returns its list entry.

        The endpoint's place in the orders changes only if its kind, zone or cell has changed.
        """
        listed = self.endpoints.get(entry.endpoint)
        if listed is not None and (listed.zone, listed.kind, listed.cell) != (
            entry.zone,
            entry.kind,
            entry.cell,
        ):
            self.remove(entry.endpoint)
            listed = None
        if listed is None:
            listed = self.add(entry)
        elif listed.generation != self.generation:
            self.stale_count -= listed.generation < self.valid_from
            self.current_count += 1
        listed.generation = self.generation
        listed.started_at = entry.started_at
        if entry.started_at > 0:
            self.possibly_cold[entry.endpoint] = listed
        return listed

    def add(self, entry: EndpointEntry) -> ListedEndpoint:
        """Adds a new endpoint to its orders and returns its list entry."""
        listed = self.endpoints[entry.endpoint] = ListedEndpoint(entry)
        key = shuffle(entry.endpoint, 0)
        for order in self.orders_of(listed):
            order.add(key, listed)
        self.current_count += 1
        self.ready[listed.zone] = self.ready.get(listed.zone, 0) + 1
        return listed

    def remove(self, endpoint: int) -> None:
        """Removes an endpoint that is gone or not ready. An endpoint that is not listed is ignored."""
        listed = self.endpoints.pop(endpoint, None)
        if listed is None:
            return
        self.current_count -= listed.generation == self.generation
        self.stale_count -= listed.generation < self.valid_from
        self.ready[listed.zone] -= 1
        if not self.ready[listed.zone]:
            del self.ready[listed.zone]
        self.possibly_cold.pop(endpoint, None)
        key = shuffle(endpoint, 0)
        for order in self.orders_of(listed):
            order.remove(key)
        self.drop_empty_orders(listed)

    def drop_empty_orders(self, listed: ListedEndpoint) -> None:
        """Drops the orders that the removal of an endpoint has left empty."""
        zone = listed.zone if self.by_zone else ALL_ZONES
        if not len(self.orders[zone][listed.kind]):
            del self.orders[zone][listed.kind]
            if not self.orders[zone]:
                del self.orders[zone]
        for scope_key in self.scope_keys(listed):
            if not len(self.scope_orders[scope_key]):
                del self.scope_orders[scope_key]

    def orders_of(self, listed: ListedEndpoint) -> list[RankedOrder[ListedEndpoint]]:
        """Returns the orders that an endpoint belongs to, and creates those that do not exist yet."""
        zone = listed.zone if self.by_zone else ALL_ZONES
        kinds = self.orders.setdefault(zone, {})
        if listed.kind not in kinds:
            kinds[listed.kind] = RankedOrder()
        return [
            kinds[listed.kind],
            *(
                self.scope_orders.setdefault(scope_key, RankedOrder())
                for scope_key in self.scope_keys(listed)
            ),
        ]

    def scope_keys(
        self, listed: ListedEndpoint
    ) -> list[tuple[DeduplicationScope, int]]:
        """Returns the keys of an endpoint's scope orders: the scope and the number of the zone or cell."""
        numbers = {
            DeduplicationScope.ALL: 0,
            DeduplicationScope.ZONE: listed.zone,
            DeduplicationScope.CELL: listed.cell,
        }
        return [(scope, numbers[scope]) for scope in sorted(self.scopes)]

    # ---- full lists ----

    def start_full_list(self) -> None:
        """Starts a full list."""
        self.generation += 1
        self.current_count = 0
        self.receiving = True

    def finish_full_list(self) -> bool:
        """Completes a full list; the endpoints that it left out become invalid.

        Returns:
            Whether a sweep is due.
        """
        self.receiving = False
        self.valid_from = self.generation
        self.stale_count = len(self.endpoints) - self.current_count
        self.unswept = iter(list(self.endpoints)) if self.stale_count else None
        return self.unswept is not None

    def sweep(self) -> bool:
        """Examines the next SWEEP_STEP endpoints and removes the invalid ones.

        Returns:
            Whether the sweep has to go on.
        """
        for _ in range(SWEEP_STEP):
            endpoint = next(self.unswept, None) if self.unswept is not None else None
            if endpoint is None:
                self.unswept = None
                return False
            listed = self.endpoints.get(endpoint)
            if listed is not None and listed.generation < self.valid_from:
                self.remove(endpoint)
        return True

    def rebuilt(
        self, by_zone: bool, scopes: frozenset[DeduplicationScope]
    ) -> EndpointList:
        """Returns a list of the same endpoints in other orders, as changed settings may require.

        The cost is one pass over all endpoints. The new list shares the endpoints with this one, which must
        not be used any more. The arguments are described with the attributes.
        """
        other = EndpointList(by_zone, scopes)
        other.generation, other.valid_from = self.generation, self.valid_from
        other.receiving, other.unswept = self.receiving, self.unswept
        other.current_count, other.stale_count = self.current_count, self.stale_count
        other.endpoints, other.ready, other.possibly_cold = (
            self.endpoints,
            self.ready,
            self.possibly_cold,
        )
        for endpoint, listed in self.endpoints.items():
            for order in other.orders_of(listed):
                order.add(shuffle(endpoint, 0), listed)
        return other

    # ---- look-ups ----

    def warm_capacity(
        self, now: int, slow_start_time: int, initial_share: float
    ) -> dict[int, float]:
        """Returns the capacity of each zone's endpoints in `ready`, counted in warm endpoints.

        Endpoints that are found to be warm are not examined again.

        Args:
            now: The time in microseconds.
            slow_start_time: The length of the slow start in microseconds.
            initial_share: The fraction of its capacity that an endpoint starts with.
        """
        warm: dict[int, float] = {
            zone: float(count) for zone, count in self.ready.items()
        }
        found_warm = []
        for endpoint, listed in self.possibly_cold.items():
            time_left = listed.started_at + slow_start_time - now
            if time_left <= 0:
                found_warm.append(endpoint)
            else:
                lacking = (1 - initial_share) * min(1.0, time_left / slow_start_time)
                warm[listed.zone] -= lacking
        for endpoint in found_warm:
            del self.possibly_cold[endpoint]
        return warm

    def valid(self, found: list[ListedEndpoint]) -> list[ListedEndpoint]:
        """Returns the given endpoints without those that a full list has left out."""
        if not self.stale_count:
            return found
        return [listed for listed in found if listed.generation >= self.valid_from]

    def in_scope(
        self,
        scope: DeduplicationScope,
        zone: int,
        cell: int,
        start_share: float,
        limit: int,
    ) -> list[ListedEndpoint]:
        """Returns endpoints that discard duplicates of a request that an endpoint of this zone and cell ran.

        Args:
            scope: The deduplication scope.
            zone: The zone of the endpoint that may have run the request.
            cell: The cell of that endpoint.
            start_share: Where in the order to start, as a fraction from 0 to below 1.
            limit: The largest number of endpoints to return.
        """
        order = self.scope_orders.get((scope, (0, zone, cell)[scope]))
        if order is None:
            return []
        return self.valid(order.window(int(start_share * len(order)), limit))
