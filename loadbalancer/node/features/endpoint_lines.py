"""Exchange of endpoint lists: from peers' audits, part by part, or from another agent of discovery.

Nothing is used that does not have the digest which a quorum holds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.audit import endpoint_transfer
from loadbalancer.audit.endpoint_transfer import (
    EndpointPart,
    EndpointRow,
    PartCollector,
    PartRequest,
)
from loadbalancer.audit.status import VersionId
from loadbalancer.node.discovery.call import DiscoveryCall
from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing, LongListing
from loadbalancer.node.features.feature import FeatureHost
from loadbalancer.node.features.known_endpoints import KnownEndpoints
from loadbalancer.policy.api import EndpointState, ListUpdateKind
from loadbalancer.transports.interface import Address, Transport

SEND_RATE_BYTES_PER_S = 256_000  # to all outdated peers together
SEND_BURST_BYTES = SEND_RATE_BYTES_PER_S / 4
MAX_AGENT_RESPONSE_BYTES = 1 << 20
AGENT_PART_LINES = 50  # of an agent's response, read in one go
PART_RETRY_US = 150_000  # after which parts that have not come are requested again
US_PER_S = 1e6
LIST_PATH = "/v1/endpoints"


class ListSource(StrEnum):
    """Who sent a list; the values are published."""

    PEER = "by_peers"
    AGENT = "by_agent"


# The version, its lines, the member's name or the agent's address, and which of the two it is.
OnList = Callable[[VersionId, list[Line], str, ListSource], None]


@dataclass(frozen=True, slots=True)
class SplitList:
    """An endpoint list in parts that fit into datagrams; an empty list is one empty part."""

    version: VersionId
    parts: list[tuple[EndpointRow, ...]]


@dataclass(slots=True)
class SendBudget:
    """Bytes that may be sent, refilled at `SEND_RATE_BYTES_PER_S` up to `SEND_BURST_BYTES`."""

    available: float = 0.0
    as_of_us: int = 0

    def refill(self, now_us: int) -> None:
        """Adds what has become available since the last call."""
        elapsed_us = now_us - self.as_of_us
        refilled = self.available + elapsed_us * SEND_RATE_BYTES_PER_S / US_PER_S
        self.available = min(SEND_BURST_BYTES, refilled)
        self.as_of_us = now_us


class EndpointExchange:
    """Fetches endpoint lists from peers and agents, and sends this node's own to peers.

    Attributes:
        channel: To the audits of other nodes, once there is one.
        parts_sent: Parts sent to peers so far.
    """

    def __init__(self, host: FeatureHost, on_list: OnList) -> None:
        """Begins with nothing to fetch.

        Args:
            host: The feature's host.
            on_list: Called with each list that has the right digest.
        """
        self.host = host
        self.channel: Transport | None = None
        self.parts_sent = 0
        self._on_list = on_list
        self._collector: PartCollector | None = (
            None  # while a list is fetched from peers
        )
        self._peer = ""
        self._requested_at_us = 0
        self._requested_parts: tuple[int, ...] = ()
        self._call: DiscoveryCall | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._split: SplitList | None = None
        self._budget = SendBudget()

    def stop(self) -> None:
        """Nothing more is fetched or sent."""
        if self._call is not None:
            self._call.end()
        for task in self._tasks:
            task.cancel()
        if self.channel is not None:
            self.channel.close()

    def cancel_fetch(self) -> None:
        """The list that is being fetched from peers is not wanted any more."""
        self._collector = None

    # ---- from peers -----------------------------------------------------------------------------------

    def fetch_from_peer(self, peer: str, version: VersionId) -> None:
        """Requests from a peer what is still missing of a version."""
        if self._collector is None or self._collector.target != version:
            self._collector = PartCollector(version)
        self._peer = peer
        self._request_parts(self.host.now())

    def on_part(self, message: EndpointPart) -> None:
        """A peer has sent a part."""
        collector = self._collector
        if collector is None:
            return
        if collector.add(message):
            self._collector = None
            lines = [line_of(row) for row in collector.rows()]
            self._check(collector.target, lines, self._peer, ListSource.PEER)
        elif collector.part_count and not set(self._requested_parts) & set(
            collector.missing()
        ):
            self._request_parts(self.host.now())

    def _request_parts(self, now_us: int) -> None:
        """Requests missing parts from the present peer."""
        address = self.host.member_address(self._peer)
        if self._collector is None or address is None or self.channel is None:
            return
        self._requested_parts = self._collector.missing()
        self._requested_at_us = now_us
        request = PartRequest(self._collector.target, self._requested_parts)
        self.channel.send(endpoint_transfer.encode(request), address)

    def retry_missing_parts(self, now_us: int) -> None:
        """Requests again parts that were lost."""
        is_due = now_us - self._requested_at_us >= PART_RETRY_US
        if self._collector is not None and is_due:
            self._request_parts(now_us)

    # ---- to peers -------------------------------------------------------------------------------------

    def send_parts(
        self,
        request: PartRequest,
        peer: Address,
        own_version: VersionId | None,
        own_lines: dict[str, Line],
    ) -> None:
        """Sends parts of the list as this node's own discovery sent it, within the byte budget.

        Args:
            request: What the peer lacks.
            peer: Where it receives datagrams.
            own_version: The version of the own list; no other one is sent.
            own_lines: The lines of the own list, by the endpoints' names.
        """
        is_sendable = len(own_lines) <= endpoint_transfer.MAX_ENDPOINTS
        if request.target != own_version or not is_sendable or self.channel is None:
            return
        now_us = self.host.now()
        parts = self._own_parts(
            request.target, own_lines, self.channel.max_datagram_bytes
        )
        self._budget.refill(now_us)
        for index in request.parts[: endpoint_transfer.WINDOW_PARTS]:
            if not 0 <= index < len(parts) or self._budget.available <= 0:
                continue
            part = EndpointPart(request.target, index, len(parts), parts[index])
            data = endpoint_transfer.encode(part)
            self._budget.available -= len(data)
            self.parts_sent += 1
            self.channel.send(data, peer)

    def _own_parts(
        self, version: VersionId, lines: dict[str, Line], max_bytes: int
    ) -> list[tuple[EndpointRow, ...]]:
        """The own list in parts, split once for each version."""
        if self._split is None or self._split.version != version:
            rows = (row_of(line) for line in lines.values())
            parts = endpoint_transfer.split_rows(rows, max_bytes)
            self._split = SplitList(version, parts or [()])
        return self._split.parts

    # ---- from another agent ---------------------------------------------------------------------------

    def fetch_from_agent(self, agent: Address, version: VersionId) -> None:
        """Fetches the list of another agent; it counts only if it is the content that a quorum holds."""
        if self._call is not None:
            self._call.end()

        def on_answer(call: DiscoveryCall, body: bytearray | None) -> None:
            call.end()
            if body is None or len(body) > MAX_AGENT_RESPONSE_BYTES:
                return
            if not version.digest:
                return
            task = self.host.loop.create_task(
                self._read_agent(bytes(body), version, agent)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        # A call that is late is given up: a further agent can be asked.
        self._call = DiscoveryCall(self.host.loop, agent, on_answer, DiscoveryCall.fail)
        self._call.request(LIST_PATH, 0.0)

    async def _read_agent(
        self, body: bytes, version: VersionId, agent: Address
    ) -> None:
        """Reads an agent's list in parts, so that requests are served in between."""
        lines: list[Line] = []
        try:
            listing = LongListing(body)
            for _ in listing.check(AGENT_PART_LINES):
                await asyncio.sleep(0)
            for part in listing.parts(AGENT_PART_LINES):
                lines += part.lines
                await asyncio.sleep(0)
        except (ValueError, RecursionError) as error:
            self.host.log_event(
                "audit agent response malformed",
                agent="{}:{}".format(*agent),
                reason=str(error),
            )
            return
        self._check(version, lines, "{}:{}".format(*agent), ListSource.AGENT)

    def _check(
        self, version: VersionId, lines: list[Line], sender: str, source: ListSource
    ) -> None:
        """Passes a list on if its content is what a quorum holds."""
        known = KnownEndpoints()
        listing = Listing(ListUpdateKind.FULL, version.number, tuple(lines))
        known.update(listing, version.origin, False)
        if known.digest() == version.digest:
            self._on_list(version, lines, sender, source)
        else:
            self.host.log_event(
                "audit endpoints rejected",
                source=sender,
                reason=f"their digest is not {version.digest}",
            )


def row_of(line: Line) -> EndpointRow:
    """A line as peers send it to each other."""
    return EndpointRow(
        line.id,
        line.host,
        line.port,
        line.zone,
        line.kind,
        line.cell,
        line.state.name,
        line.weight,
        line.started,
    )


def line_of(row: EndpointRow) -> Line:
    """A peer's row as a line; an unknown state counts as draining, as in discovery's own lists."""
    state = EndpointState.__members__.get(row.state, EndpointState.DRAINING)
    return Line(
        row.id,
        row.host,
        row.port,
        row.zone,
        row.kind,
        row.cell,
        state,
        row.weight,
        row.started,
    )
