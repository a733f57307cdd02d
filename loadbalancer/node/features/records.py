"""Hosts the replicated records (`loadbalancer.records`) on a channel of the membership's port.

The host is created when the first feature requests the records, and stopped with the membership. The record
table makes the decisions; this module provides the channel, one timer for the table's next deadline and the
monotonic clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from time import monotonic_ns
from typing import Any

from loadbalancer.records.interface import Record
from loadbalancer.records.outbox import SendDatagram
from loadbalancer.records.table import RecordTable
from loadbalancer.transports.interface import Address, DatagramReceiver, Transport

CHANNEL_TAG = 1


def monotonic_us() -> int:
    """Returns the monotonic time in microseconds."""
    return monotonic_ns() // 1_000


class RecordsHost:
    """One node's replicated records; features use them through `records.interface.Records`.

    Args:
        name: This member's name.
        seed: Seed of the table's random numbers.
        channel: Opens a channel on the membership's port, given its tag and its receiver.
    """

    def __init__(
        self,
        name: str,
        seed: int,
        channel: Callable[[int, DatagramReceiver], Transport],
    ) -> None:
        self.table = RecordTable(name, seed, now_us=monotonic_us())
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_us = 0
        self.channel = channel(CHANNEL_TAG, self.receive)

    def put(self, kind: str, body: bytes) -> None:
        """Writes this node's own record of a kind; an empty body withdraws it.

        Raises:
            ValueError: The body or the kind exceeds its limits, or the node has too many kinds.
        """
        if self.table.put(monotonic_us(), kind, body):
            self._send([])

    def get(self, owner: str, kind: str) -> Record | None:
        """Returns an owner's record of a kind; None if it is not known."""
        return self.table.get(owner, kind)

    def of(self, kind: str) -> Sequence[Record]:
        """Returns all records of a kind, sorted by owner."""
        return self.table.of(kind)

    def set_live_members(self, live: Mapping[str, Address]) -> None:
        """Applies a change of the membership; `live` holds the addresses of the live members by name."""
        self.table.set_live_members(monotonic_us(), live)
        self._send([])

    def change_group(self, mark: bytes) -> None:
        """Changes the group of members that records come from; see `RecordTable.change_group`.

        Args:
            mark: Identifies the layout that determines the group.
        """
        self._send(self.table.change_group(monotonic_us(), mark))

    def stop(self) -> None:
        """Stops the timer and closes the channel; no further datagrams are sent."""
        if self.timer is not None:
            self.timer.cancel()
        self.channel.close()

    def metrics(self) -> dict[str, Any]:
        """Returns the table `records` of the membership's metrics."""
        table, owners = self.table, self.table.replicas.owners
        return {
            "owners": len(owners),
            "held": sum(len(owner.records) for owner in owners.values()),
            "stale": sum(
                bool(owner.records) and table.is_stale(owner)
                for owner in owners.values()
            ),
            "stale_after_s": table.stale_after_us / 1e6,
            "lost": dict(self.channel.counters.dropped),
            **table.counters.as_metrics(),
        }

    def receive(self, data: bytes, source: Address) -> None:
        """Handles a datagram of the channel."""
        self._send(self.table.receive(monotonic_us(), data, source))

    def _send(self, sends: list[SendDatagram]) -> None:
        """Sends the datagrams of an event, and sets the timer to the next deadline."""
        for send in sends:
            self.channel.send(send.data, send.address)
        deadline_us = self.table.next_deadline()
        if self.timer is not None and deadline_us >= self.timer_due_us:
            return  # the timer fires earlier and is set again then
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due_us = deadline_us
        delay_s = max(0, deadline_us - monotonic_us()) / 1e6
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.on_timer)

    def on_timer(self) -> None:
        """Ticks the table if its deadline has passed, and sets the next timer."""
        self.timer = None
        now_us = monotonic_us()
        is_due = now_us >= self.table.next_deadline()
        self._send(self.table.tick(now_us) if is_due else [])
