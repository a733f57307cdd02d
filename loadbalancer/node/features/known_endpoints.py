"""Tracks the endpoint list that this node's own discovery sent, and merges lines from peers into it.

The list is tracked while a feature follows versions, list updates or attempts. It maps endpoint numbers to
names, computes a digest of the complete list (nodes with the same content compute the same digest), and holds
the lines that were merged from peers. Lines from peers are accepted in the safe direction only: an endpoint
starts to drain or departs, or an endpoint that this node has never listed is added as warming up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing
from loadbalancer.node.numbering import number_of
from loadbalancer.policy.api import EndpointState, ListUpdateKind

# Limit on departed endpoints, and on lines from peers that wait for the end of a full list; the oldest
# are dropped first.
MAX_REMEMBERED = 20_000
DIGEST_BYTES = 8
DIGEST_MASK = (1 << 64) - 1
# A line from a peer can only move an endpoint to a state of higher rank.
SAFE_ORDER = {
    EndpointState.READY: 0,
    EndpointState.DRAINING: 1,
    EndpointState.GONE: 2,
}


def line_digest(line: Line) -> int:
    """Returns the 64-bit digest of one line; the list's digest is the sum over its lines.

    The address is left out, because a node behind a relay receives a different one.
    """
    content = (
        line.id,
        line.zone,
        line.kind,
        line.cell,
        line.state.name,
        line.weight,
        line.started,
    )
    data = repr(content).encode(errors="surrogatepass")
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")


@dataclass(slots=True)
class KnownEndpoint:
    """The tracked properties of a listed endpoint.

    Attributes:
        digest: The digest of its line, 64 bits.
        state: Its state according to this node's own discovery.
        started: Start time of its process, in microseconds of Unix time.
    """

    digest: int
    state: EndpointState
    started: int


class KnownEndpoints:
    """The endpoint list of this node's own discovery, keyed by endpoint number.

    Attributes:
        origin: Address of the discovery that sent the list, `host:port`.
        version: Version number that this discovery gave the list.
        names: Endpoint names by number, including up to `MAX_REMEMBERED` departed endpoints.
    """

    def __init__(self, midway: bool = False) -> None:
        """Creates an empty list.

        Args:
            midway: Whether discovery is in the middle of sending a full list, whose first part was missed.
        """
        self.origin = ""
        self.version = 0
        self.names: dict[int, str] = {}
        self._midway = midway
        # Whether a full list was received, so that an endpoint that is not listed is known to be unknown.
        self._is_complete = False
        self._listed: dict[int, KnownEndpoint] = {}
        self._digest_sum = 0  # a sum, so that the order of the lines does not matter
        self._departed: dict[int, None] = {}  # in order of departure
        # Endpoints that the full list in transfer has named so far; None if there is no transfer.
        self._named: set[int] | None = None
        # Endpoints that incremental changes named during the transfer.
        self._newer: set[int] = set()
        # Lines from peers. They hold until the own discovery sends a version above `_merged_at_version`.
        self._merged: dict[int, Line] = {}
        self._merged_at_version = 0
        # Lines from peers that wait for the end of a full list.
        self._deferred: tuple[Line, ...] = ()

    def digest(self) -> str:
        """Returns the digest of the current list, 16 hex digits; empty while the list is incomplete."""
        is_complete = self._is_complete and self._named is None
        return f"{self._digest_sum:016x}" if is_complete else ""

    @property
    def is_receiving(self) -> bool:
        """Whether a full list is in transfer and further parts of it follow."""
        return self._named is not None

    # ---- updates from the own discovery ----------------------------------------------------------------

    def update(self, listing: Listing, origin: str, more: bool) -> None:
        """Applies an update from the own discovery.

        Args:
            listing: The update.
            origin: Address of the discovery that sent it, `host:port`.
            more: Whether further parts of a long list follow.
        """
        self.origin, self.version = origin, listing.version
        is_changes = listing.kind == ListUpdateKind.CHANGES
        is_full = not is_changes and not self._midway
        # Prevents the second half of a full list from passing as the complete list, which would make the
        # endpoints of the first half unknown.
        self._midway = self._midway and (is_changes or more)
        if is_full and self._named is None:
            self._named, self._newer = set(), set()
        for line in listing.lines:
            self._update_line(line, is_full=is_full)
        if is_full and not more:
            self._finish_full_list()

    def _update_line(self, line: Line, *, is_full: bool) -> None:
        number = number_of(line.id)
        if self._named is not None:
            if not is_full:
                self._newer.add(number)
            elif number in self._newer:
                return
            else:
                self._named.add(number)
        self._put(number, line)

    def _finish_full_list(self) -> None:
        """Removes endpoints that neither the full list nor a change during its transfer has named."""
        if self._named is None:
            return
        for number in self._listed.keys() - self._named - self._newer:
            self._remove(number)
        self._named, self._is_complete = None, True

    def _put(self, number: int, line: Line) -> None:
        if line.state == EndpointState.GONE:
            self._remove(number)
            return
        self.names[number] = line.id
        digest = line_digest(line)
        last = self._listed.get(number)
        last_digest = last.digest if last is not None else 0
        self._digest_sum = (self._digest_sum + digest - last_digest) & DIGEST_MASK
        self._listed[number] = KnownEndpoint(digest, line.state, line.started)
        self._departed.pop(number, None)

    def _remove(self, number: int) -> None:
        """Marks an endpoint as departed; its name is kept for attempts that are still in flight."""
        last = self._listed.pop(number, None)
        if last is not None:
            self._digest_sum = (self._digest_sum - last.digest) & DIGEST_MASK
        self._departed.pop(number, None)
        self._departed[number] = None
        if len(self._departed) > MAX_REMEMBERED:
            oldest = next(iter(self._departed))
            del self._departed[oldest]
            self.names.pop(oldest, None)

    def amend(self, listing: Listing, origin: str, more: bool) -> Listing:
        """Returns an update of the own discovery with the lines from peers that are still valid merged in.

        Without this, an agent that keeps repeating an old list would undo every drain that peers reported.
        The lines from peers are discarded when the own discovery sends a newer version, or when this node
        changes to another discovery.

        Args:
            listing: The update, before it is passed to `update`.
            origin: Address of the discovery that sent it, `host:port`.
            more: Whether further parts of a long list follow.
        """
        if not self._merged:
            return listing
        if origin != self.origin or listing.version > self._merged_at_version:
            self._merged.clear()
            return listing
        numbers = [number_of(line.id) for line in listing.lines]
        lines = [
            self._merged.get(number, line)
            for number, line in zip(numbers, listing.lines, strict=True)
        ]
        if listing.kind != ListUpdateKind.CHANGES and not more:
            named = set(numbers) | (self._named or set())
            lines += [
                line for number, line in self._merged.items() if number not in named
            ]
        return replace(listing, lines=tuple(lines))

    # ---- lines from peers ------------------------------------------------------------------------------

    def merge(self, lines: Iterable[Line], origin: str, now: int) -> tuple[Line, ...]:
        """Merges lines from peers into the list.

        Args:
            lines: Lines of the peers' lists.
            origin: Address of the discovery that this node uses, `host:port`.
            now: Unix time in microseconds.

        Returns:
            The lines that the node has to apply: drains, departures, and endpoints that were never listed
            before, with `now` as their start time. Empty while the own discovery is sending a full list;
            the lines are deferred until its end.
        """
        if self._named is not None:
            self._deferred = (*self._deferred, *lines)[-MAX_REMEMBERED:]
            return ()
        applied = []
        for line in lines:
            number = number_of(line.id)
            accepted = self._accept(number, line, origin, now)
            if accepted is None:
                continue
            # A drain of an endpoint that is not listed is only remembered, so that a peer with an older
            # list cannot add the endpoint as ready.
            is_applied = (
                self._state(number) is not None
                or accepted.state == EndpointState.READY
                or not self._is_complete
            )
            if not self._merged:
                self._merged_at_version = self.version
            self._merged[number] = accepted
            if is_applied:
                applied.append(accepted)
        return tuple(applied)

    def _state(self, number: int) -> EndpointState | None:
        """Returns an endpoint's state, from peers if they reported one; None if it is not listed."""
        merged = self._merged.get(number)
        if merged is not None:
            return merged.state
        listed = self._listed.get(number)
        return listed.state if listed is not None else None

    def _accept(self, number: int, line: Line, origin: str, now: int) -> Line | None:
        """Returns a peer's line as it is to be merged; None if it is not in the safe direction."""
        state = self._state(number)
        if line.state == EndpointState.READY:
            is_unknown = state is None and number not in self._departed
            if not is_unknown or not self._is_complete or origin != self.origin:
                # A known endpoint, in any state, is left to the own discovery.
                return None
            self.names[number] = line.id
            return replace(line, started=now)
        if state is not None and SAFE_ORDER[line.state] <= SAFE_ORDER[state]:
            return None
        listed = self._listed.get(number)
        if listed is not None and line.started < listed.started:
            return None  # the line describes an earlier process of this endpoint
        return line

    def take_deferred_lines(self) -> tuple[Line, ...]:
        """Returns and clears the lines from peers that waited for the end of a full list.

        Empty while the list is still in transfer.
        """
        if self._named is not None:
            return ()
        deferred, self._deferred = self._deferred, ()
        return deferred
