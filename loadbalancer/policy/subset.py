"""Selects the subset of the listed endpoints that this instance uses.

All instances of a tier share one order of the endpoints, and each uses a slice of it, whose size grows with
the instance's calls in flight. The slices start evenly spaced, so while they are equally long, the numbers of
instances that use any two endpoints differ by at most one, without messages between instances. A new endpoint
gets its share of the calls as soon as it is listed. A change of the list changes at most one member of a
slice for each kind of machine, besides the changed endpoint. Where calls stay in their zone, each zone has
its own order, and the sizes apply to each zone.
"""

from __future__ import annotations

from math import ceil, inf

from loadbalancer.policy.concurrency_limit import WINDOW_US
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.endpoint_list import EndpointList, ListedEndpoint
from loadbalancer.policy.queue_reports import QueueReports
from loadbalancer.policy.ranked_order import RankedOrder, merged_counts, shuffle
from loadbalancer.policy.zone_routing import ZoneRouting
from loadbalancer.policy.zone_spill import ZoneSpill

# Smallest target size, in members: that of an instance with hardly any call in flight.
SUBSET_LEAST = 4
# Largest number of members of an instance that has at most its fair share of the traffic.
SUBSET_MOST = 24
# Largest number of members of an instance with several times its fair share, or where instances are few.
SUBSET_BOUND = 128
# Members for each call in flight, between the smallest and the largest target size.
MEMBERS_PER_CALL = 2
# Weight of the newest sample in the mean number of calls in flight.
IN_FLIGHT_SMOOTHING = 0.05
# The members are selected again when the target size leaves this range, relative to the present size.
SHRINK_RATIO, GROWTH_RATIO = 0.5, 1.25
# Endpoints that may be cold, for each window by which the next capacity update is postponed.
COLD_CHECKS_PER_WINDOW = 1000

Kinds = dict[int, RankedOrder[ListedEndpoint]]


def subset_slice(
    endpoint_list: EndpointList, kinds: Kinds, index: int, instances: int, size: int
) -> list[ListedEndpoint]:
    """Returns one instance's slice of a zone's endpoints.

    The slice is taken from an order over which the endpoints of each kind of machine are spread evenly.
    Otherwise an instance's few members could by chance all be of a slow kind.

    Args:
        endpoint_list: The list, which says which endpoints of an order are still valid.
        kinds: The zone's orders, by kind of machine.
        index: The position of the instance among those that share the endpoints.
        instances: The number of instances that share the endpoints.
        size: The number of endpoints to select.

    Returns:
        The valid endpoints of the slice. There may be more or fewer of them than `size`.
    """
    orders = [order for _, order in sorted(kinds.items())]
    shifts = [shuffle(kind, 0) / 2**64 for kind in sorted(kinds)]
    total = sum(len(order) for order in orders)
    size, index = min(size, total), index % instances
    start = index * total // instances
    before = merged_counts(orders, shifts, total, start)
    while True:
        end = slice_end(total, index, instances, size)
        wraps = end > total
        until = merged_counts(orders, shifts, total, end - total if wraps else end)
        found: list[ListedEndpoint] = []
        for order, first, last in zip(orders, before, until, strict=True):
            found += order.window(first, last - first + (len(order) if wraps else 0))
        found = endpoint_list.valid(found)
        if len(found) >= min(size, SUBSET_LEAST) or size == total:
            return found
        # Most endpoints of this slice were left out of the last full list and await the sweep.
        size = min(2 * size, total)


def slice_end(total: int, index: int, instances: int, size: int) -> int:
    """Returns the rank after the last endpoint of a slice.

    An instance's part is the stretch from its start to the next instance's start. Where the slice would not
    become much longer, it is extended to the end of a part. Otherwise some endpoints would lie in one slice
    more than others and get correspondingly more calls.

    Args:
        total: The number of endpoints in the order.
        index: The position of the instance.
        instances: The number of instances that share the endpoints.
        size: The number of endpoints to select.
    """
    if total <= max(SUBSET_LEAST, size // 2) * instances:
        return (index - -size * instances // total) * total // instances
    return index * total // instances + size


class Subset:
    """Holds the members of the subset, grouped by zone, and updates the capacity of the concurrency limit.

    Attributes:
        endpoint_list: The listed endpoints.
        limit: The concurrency limit of this instance.
        reports: The queue lengths that endpoints report.
        zones: The decisions of the zone policy.
        spill: The share of calls that leave the zone where no zone policy decides.
        members: The members of the subset.
        listed_members: The list entries of the members.
        eligible: The members that are not ejected and may be drawn.
        eligible_by_zone: The eligible members by zone.
        local: The eligible members of the own zone.
        size: The target size at the last selection of members.
        mean_in_flight: The smoothed number of calls in flight.
        next_capacity_update: When the capacity is next summed up, in microseconds.
    """

    def __init__(
        self,
        endpoint_list: EndpointList,
        reports: QueueReports,
        zones: ZoneRouting,
        spill: ZoneSpill,
    ) -> None:
        """Starts with no members; the arguments are described with the attributes."""
        self.context = zones.context
        self.endpoint_list = endpoint_list
        self.limit = reports.limit
        self.reports = reports
        self.zones = zones
        self.spill = spill
        self.members: list[Endpoint] = []
        self.listed_members: list[ListedEndpoint] = []
        self.eligible: list[Endpoint] = []
        self.eligible_by_zone: dict[int, list[Endpoint]] = {}
        self.local: list[Endpoint] = []
        self.size = SUBSET_LEAST
        self.mean_in_flight = 0.0
        self.next_capacity_update = 0

    # ---- size ----

    def sample_in_flight(self) -> bool:
        """Samples the calls in flight and returns whether the members need to be selected again.

        Without this an instance that suddenly gets a large part of the traffic would overload its few
        members.
        """
        in_flight = self.limit.in_flight
        self.mean_in_flight += IN_FLIGHT_SMOOTHING * (in_flight - self.mean_in_flight)
        target = self.target_size()
        return not self.size * SHRINK_RATIO <= target <= self.size * GROWTH_RATIO

    def target_size(self) -> int:
        """Returns the number of members that suits the calls in flight.

        An instance with several times its fair share of the traffic may have more than SUBSET_MOST members.
        Otherwise it would have one call at each overloaded member and reject the rest. Not every instance
        may widen its subset during a shortage, because each instance may send one call even to an overloaded
        member, and endpoints would then get more such calls.
        SUBSET_LEAST keeps an idle instance from depending on very few endpoints, half of which may be cold.
        """
        settings = self.context.settings
        reported = self.reports.mean_of_members * len(self.endpoint_list)
        mean_of_instances = reported / settings.instances or inf
        multiple = max(1.0, self.mean_in_flight / mean_of_instances)
        max_size = min(SUBSET_BOUND, int(SUBSET_MOST * multiple))
        wanted_size = max(SUBSET_LEAST, ceil(MEMBERS_PER_CALL * self.mean_in_flight))
        return max(settings.min_subset_size, min(max_size, wanted_size))

    def size_of(self, kinds: Kinds) -> int:
        """Returns how many of a zone's endpoints this instance uses.

        An instance's part is the number of endpoints per instance. Where instances are few, each uses its
        entire part of the order, up to SUBSET_BOUND, or most of a large fleet would be idle. Otherwise too,
        no instance uses less than its part: a sole instance that has just started would overload four of ten
        endpoints and reject what the six others could take. A zone with few endpoints is used completely.

        Args:
            kinds: The zone's orders, by kind of machine.
        """
        total = sum(map(len, kinds.values()))
        settings = self.context.settings
        part = ceil(total / settings.position[1])
        if part > SUBSET_MOST:
            return min(SUBSET_BOUND, max(part, settings.min_subset_size))
        return total if total < 2 * SUBSET_LEAST else max(self.size, part)

    # ---- members ----

    def select_slices(self) -> list[ListedEndpoint]:
        """Returns this instance's slices of all zones, each with its own size.

        A single subset over all zones could have one member, or none, in the zone that calls should stay in.
        """
        self.size = self.target_size()
        return [
            listed
            for _, kinds in sorted(self.endpoint_list.orders.items())
            for listed in subset_slice(
                self.endpoint_list,
                kinds,
                *self.context.settings.position,
                self.size_of(kinds),
            )
        ]

    def is_current(self, listed: list[ListedEndpoint]) -> bool:
        """Returns whether these endpoints are the members already.

        This is so after most changes of a large fleet's list.
        """
        return listed == self.listed_members and all(
            member.is_member for member in self.members
        )

    def replace_members(
        self, listed: list[ListedEndpoint], members: list[Endpoint]
    ) -> None:
        """Replaces the members. The caller calls `regroup` afterwards.

        Args:
            listed: The list entries of the new members.
            members: The new members, in the same order.
        """
        for member in self.members:
            member.is_member = False
        self.listed_members, self.members = listed, members
        for member in members:
            member.is_member = True

    def regroup(self) -> None:
        """Regroups the eligible members by zone, after an ejection, a readmission or a change of members.

        Calls at an ejected member do not count against the concurrency limit. Otherwise calls that hang at a
        silent member would use up the limit for all others.
        """
        self.eligible = []
        for member in self.members:
            outside = member.ejected
            if not outside:
                self.eligible.append(member)
            if outside != member.outside_limit:
                change = -member.in_flight if outside else member.in_flight
                self.limit.in_flight += change
                member.outside_limit = outside
        by_zone: dict[int, list[Endpoint]] = {}
        for member in self.eligible:
            by_zone.setdefault(member.zone, []).append(member)
        self.eligible_by_zone = by_zone
        self.local = by_zone.get(self.context.settings.zone, [])
        if self.spill.enabled and self.eligible and not self.zones.decision.shares:
            self.spill.update_floor(len(self.local), len(self.eligible))

    # ---- capacity ----

    def update_capacity(self, now: int) -> None:
        """Updates the concurrency limit with the capacity of all endpoints and of the members.

        The capacity is counted in warm endpoints; a cold endpoint counts as the fraction that it can take
        so far. The sum visits every endpoint that may be cold, so it is updated less often the more of them
        there are. The members are assumed to be as warm as all endpoints, and all instances to have as many
        members as this one.

        Args:
            now: The time in microseconds.
        """
        settings = self.context.settings
        total = max(1, len(self.endpoint_list))
        if now >= self.next_capacity_update:
            possibly_cold = len(self.endpoint_list.possibly_cold)
            self.next_capacity_update = (
                now + WINDOW_US + WINDOW_US * possibly_cold // COLD_CHECKS_PER_WINDOW
            )
            warm = self.endpoint_list.warm_capacity(
                now, settings.slow_start_time, settings.slow_start_initial_share
            )
            self.limit.rescale(sum(warm.values()))
        warm_members = len(self.members) * min(1.0, self.limit.capacity / total)
        self.limit.resize(warm_members, settings.instances * len(self.members) / total)
