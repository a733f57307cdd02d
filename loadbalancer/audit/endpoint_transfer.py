"""Transfers the endpoints of a list from peers to an outdated node, in parts that fit into a datagram.

All nodes sort the endpoints by name and split them in the same way, so the parts of one version may come from
several peers. The received list is checked against the digest that a quorum holds before any of it is used. A
lost part is requested again; the sender keeps no state. Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from loadbalancer.audit.status import VersionId

WINDOW_PARTS = 16  # parts that are requested at a time
MAX_ENDPOINTS = 5_000  # a longer list is not sent to peers
# Bytes of a datagram that are reserved for everything but the endpoints.
OVERHEAD_BYTES = 200


class EndpointRow(NamedTuple):
    """One endpoint as discovery reported it. The fields are encoded as an array, in this order.

    Attributes:
        id: The endpoint's name.
        host: Host of its address.
        port: Port of its address.
        zone: Name of its zone; may be empty.
        kind: Name of its kind; may be empty.
        cell: Number of its cell.
        state: Name of its state.
        weight: Its weight.
        started: Unix time of its start in microseconds; 0 if long ago.
    """

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started: int


class TransferMessage(msgspec.Struct, array_like=True, tag_field="t"):
    """Base of the messages between the audits of two nodes; `target` is the version they refer to."""

    target: VersionId


class OutdatedHint(TransferMessage, tag="hint"):
    """Notifies the receiver that it is behind the target."""


class PartRequest(TransferMessage, tag="ask"):
    """Requests parts of the target by their indexes."""

    parts: tuple[int, ...] = ()


class EndpointPart(TransferMessage, tag="part"):
    """One part of the target: `index` of `part_count`, from 0."""

    index: int = 0
    part_count: int = 1
    rows: tuple[EndpointRow, ...] = ()


AnyTransferMessage = OutdatedHint | PartRequest | EndpointPart
DECODER: msgspec.msgpack.Decoder[AnyTransferMessage] = msgspec.msgpack.Decoder(
    AnyTransferMessage
)
encode = msgspec.msgpack.Encoder().encode


def decode(data: bytes) -> AnyTransferMessage | None:
    """Decodes a message; returns None if it cannot be read."""
    try:
        return DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def split_rows(
    rows: Iterable[EndpointRow], max_datagram_bytes: int
) -> list[tuple[EndpointRow, ...]]:
    """Splits rows into parts that fit into a datagram, in an order that is the same on all nodes.

    No part is empty. A row that exceeds the limit on its own becomes a part of its own.

    Args:
        rows: The endpoints, in any order.
        max_datagram_bytes: Largest size of a datagram in bytes.
    """
    max_part_bytes = max_datagram_bytes - OVERHEAD_BYTES
    parts: list[tuple[EndpointRow, ...]] = []
    part: list[EndpointRow] = []
    part_bytes = 0
    for row in sorted(rows):
        row_bytes = len(encode(row))
        if part and part_bytes + row_bytes > max_part_bytes:
            parts.append(tuple(part))
            part, part_bytes = [], 0
        part.append(row)
        part_bytes += row_bytes
    if part:
        parts.append(tuple(part))
    return parts


class PartCollector:
    """Collects the parts of one version, from one peer or several.

    Attributes:
        target: The version.
        part_count: The number of its parts; 0 until a part has been received.
        parts: The received parts by index.
    """

    def __init__(self, target: VersionId) -> None:
        self.target = target
        self.part_count = 0
        self.parts: dict[int, tuple[EndpointRow, ...]] = {}

    def add(self, part: EndpointPart) -> bool:
        """Adds a part. A part with another `part_count` restarts the collection.

        A part of another version, or with an index or count out of range, is ignored.

        Returns:
            Whether all parts have been received.
        """
        # No part is empty, so there are no more parts than endpoints.
        valid = 0 <= part.index < part.part_count <= MAX_ENDPOINTS
        if part.target != self.target or not valid:
            return False
        if part.part_count != self.part_count:
            self.part_count, self.parts = part.part_count, {}
        self.parts[part.index] = part.rows
        return len(self.parts) == self.part_count

    def missing(self) -> tuple[int, ...]:
        """Returns the indexes of the parts to request next, at most `WINDOW_PARTS`."""
        if not self.part_count:
            return tuple(range(WINDOW_PARTS))
        missing = (i for i in range(self.part_count) if i not in self.parts)
        return tuple(missing)[:WINDOW_PARTS]

    def rows(self) -> list[EndpointRow]:
        """Returns all rows received so far, in the order of the parts."""
        return [row for index in sorted(self.parts) for row in self.parts[index]]
