"""Transfers endpoint lists: fetches them from peers' audits in parts or from another discovery agent.

A fetched list is used only if its digest is the one that a quorum holds.
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

# Total rate at which parts are sent to all outdated peers.
SEND_RATE_BYTES_PER_S = 256_000
SEND_BURST_BYTES = SEND_RATE_BYTES_PER_S / 4
MAX_AGENT_RESPONSE_BYTES = 1 << 20
# Lines of an agent's response that are read without yielding to the event loop.
AGENT_PART_LINES = 50
PART_RETRY_US = 150_000  # wait before parts that have not arrived are requested again
MAX_AGENT_CALLS = 3  # open calls to other discovery agents
AGENT_TIMEOUT_S = 5.0  # for the answer of another discovery agent, which may be slow
US_PER_S = 1e6
LIST_PATH = "/v1/endpoints"


class ListSource(StrEnum):
    """The kind of sender of a list; the values are published."""

    PEER = "by_peers"
    AGENT = "by_agent"


# Called with the version, its lines, the sender (a member's name or an agent's address) and its kind.
OnList = Callable[[VersionId, list[Line], str, ListSource], None]


@dataclass(frozen=True, slots=True)
class SplitList:
    """An endpoint list in parts that fit into datagrams.

    Attributes:
        version: The list's version.
        parts: The rows of each part; an empty list is one empty part.
    """

    version: VersionId
    parts: list[tuple[EndpointRow, ...]]


@dataclass(frozen=True, slots=True)
class AgentCall:
    """An open call to another discovery agent.

    Attributes:
        call: The call.
        version: The version that it is to bring.
    """

    call: DiscoveryCall
    version: VersionId


@dataclass(slots=True)
class SendBudget:
    """A token bucket of bytes, refilled at `SEND_RATE_BYTES_PER_S` up to `SEND_BURST_BYTES`.

    Attributes:
        available: Bytes that may be sent now.
        as_of_us: Time of the last refill, in microseconds.
    """

    available: float = 0.0
    as_of_us: int = 0

    def refill(self, now_us: int) -> None:
        """Adds the bytes that have become available since the last call."""
        elapsed_us = now_us - self.as_of_us
        refilled = self.available + elapsed_us * SEND_RATE_BYTES_PER_S / US_PER_S
        self.available = min(SEND_BURST_BYTES, refilled)
        self.as_of_us = now_us


class EndpointExchange:
    """Fetches endpoint lists from peers and agents, and sends this node's own to peers.

    Attributes:
        channel: The channel to the audits of other nodes; None until it is open.
        parts_sent: Number of parts sent to peers so far.
    """

    def __init__(self, host: FeatureHost, on_list: OnList) -> None:
        """Creates an exchange without any transfer.

        Args:
            host: The feature's host.
            on_list: Called with each fetched list whose digest is the expected one.
        """
        self.host = host
        self.channel: Transport | None = None
        self.parts_sent = 0
        self._on_list = on_list
        # Collects the list that is being fetched from peers; None if there is none.
        self._collector: PartCollector | None = None
        self._peer = ""
        self._requested_at_us = 0
        self._requested_parts: tuple[int, ...] = ()
        # The open calls to other agents, the oldest first.
        self._agent_calls: dict[Address, AgentCall] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._split: SplitList | None = None
        self._budget = SendBudget()

    def stop(self) -> None:
        """Cancels all transfers and closes the channel."""
        for agent in list(self._agent_calls):
            self._end_agent_call(agent)
        for task in self._tasks:
            task.cancel()
        if self.channel is not None:
            self.channel.close()

    def cancel_fetch(self) -> None:
        """Cancels the fetch from peers, if there is one."""
        self._collector = None

    # ---- lists from peers -----------------------------------------------------------------------------

    def fetch_from_peer(self, peer: str, version: VersionId) -> None:
        """Requests the missing parts of a version from a peer."""
        if self._collector is None or self._collector.target != version:
            self._collector = PartCollector(version)
        self._peer = peer
        self._request_parts(self.host.now())

    def on_part(self, message: EndpointPart) -> None:
        """Handles a part from a peer; passes the list on, or requests further parts if it is incomplete."""
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
        """Requests missing parts from the current peer."""
        address = self.host.member_address(self._peer)
        if self._collector is None or address is None or self.channel is None:
            return
        self._requested_parts = self._collector.missing()
        self._requested_at_us = now_us
        request = PartRequest(self._collector.target, self._requested_parts)
        self.channel.send(endpoint_transfer.encode(request), address)

    def retry_missing_parts(self, now_us: int) -> None:
        """Requests missing parts again, if the last request is older than `PART_RETRY_US`."""
        is_due = now_us - self._requested_at_us >= PART_RETRY_US
        if self._collector is not None and is_due:
            self._request_parts(now_us)

    # ---- this node's list to peers --------------------------------------------------------------------

    def send_parts(
        self,
        request: PartRequest,
        peer: Address,
        own_version: VersionId | None,
        own_lines: dict[str, Line],
    ) -> None:
        """Sends parts of the list as this node's own discovery sent it, within the byte budget.

        Args:
            request: The version and the parts that the peer requests.
            peer: The peer's address.
            own_version: The version of this node's own list; other versions are not sent.
            own_lines: The lines of the own list, by endpoint name.
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
        """Returns the parts of the own list, which is split once for each version."""
        if self._split is None or self._split.version != version:
            rows = (row_of(line) for line in lines.values())
            parts = endpoint_transfer.split_rows(rows, max_bytes)
            self._split = SplitList(version, parts or [()])
        return self._split.parts

    # ---- lists from another agent ---------------------------------------------------------------------

    def fetch_from_agent(self, agent: Address, version: VersionId) -> None:
        """Fetches the list of another discovery agent.

        The list is used only if its content is the one that a quorum holds. Calls to other agents stay open,
        as these may be slow, and an open call for the same version is not repeated.

        Args:
            agent: The agent's address.
            version: The version that a quorum holds.
        """
        open_call = self._agent_calls.get(agent)
        if open_call is not None and open_call.version == version:
            return
        self._end_agent_call(agent)
        if len(self._agent_calls) >= MAX_AGENT_CALLS:
            self._end_agent_call(next(iter(self._agent_calls)))

        def on_response(call: DiscoveryCall, body: bytearray | None) -> None:
            self._end_agent_call(agent)
            if body is None or len(body) > MAX_AGENT_RESPONSE_BYTES:
                return
            if not version.digest:
                return
            task = self.host.loop.create_task(
                self._read_agent(bytes(body), version, agent)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        call = DiscoveryCall(
            self.host.loop, agent, on_response, timeout_s=AGENT_TIMEOUT_S
        )
        self._agent_calls[agent] = AgentCall(call, version)
        call.request(LIST_PATH, 0.0)

    def _end_agent_call(self, agent: Address) -> None:
        """Ends the call to another agent, if there is one."""
        open_call = self._agent_calls.pop(agent, None)
        if open_call is not None:
            open_call.call.end()

    async def _read_agent(
        self, body: bytes, version: VersionId, agent: Address
    ) -> None:
        """Reads an agent's list in parts, so that the event loop serves requests in between."""
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
        """Passes a list to `on_list` if it has the digest that a quorum holds; otherwise logs a rejection."""
        known = KnownEndpoints()
        listing = Listing(ListUpdateKind.FULL, version.number, tuple(lines))
        known.update(listing, version.origin, False)
        if known.digest() == version.digest:
            self._on_list(version, lines, sender, source)
        else:
            self.host.log_event(
                "audit endpoints rejected",
                source=sender,
                reason=f"the list does not have the digest that a quorum holds, {version.digest}",
            )


def row_of(line: Line) -> EndpointRow:
    """Returns a line as the row that is sent to peers."""
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
    """Returns a row from a peer as a line; an unknown state becomes draining, as in lists from discovery."""
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
