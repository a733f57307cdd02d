"""Writes the elector's record to the node's store, one write at a time, and holds back dependent messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from loadbalancer.errors import LoadBalancerError
from loadbalancer.freeze.actions import Save, Send
from loadbalancer.freeze.elector_record import RECORD_NAME
from loadbalancer.node.features.feature import FeatureHost
from loadbalancer.node.features.freeze_page import HostCounters
from loadbalancer.stores.interface import Store
from loadbalancer.stores.worker import StoreWorker

MICROSECONDS_PER_MS = 1000


class ElectorStore:
    """Writes saves in a separate thread, and holds back the messages that must not be sent before them.

    Attributes:
        host: The services of the node.
        counters: The counters of the feature.
        on_stored: Called with the number of a stored save and the messages that waited for it.
        on_error: Called when the store cannot be written.
        store: The node's store; None before `open`.
    """

    def __init__(
        self,
        host: FeatureHost,
        counters: HostCounters,
        on_stored: Callable[[int, list[Send]], None],
        on_error: Callable[[LoadBalancerError], None],
    ) -> None:
        """Prepares the object; `open` opens the store.

        Args:
            host: The services of the node.
            counters: The counters of the feature, which include writes.
            on_stored: Called with the number of the save that is stored and the messages that waited for it.
            on_error: Called when the store cannot be written.
        """
        self.host, self.counters = host, counters
        self.on_stored, self.on_error = on_stored, on_error
        self.store: Store | None = None
        self._worker: StoreWorker | None = None
        self._generation = 0  # results of writes of earlier generations are ignored
        self._writing: Save | None = None
        self._next: Save | None = None
        self._stored_number = 0
        self._held_back: list[Send] = []

    @property
    def durable(self) -> bool | None:
        """Whether the content of the store survives the process; None before `open`."""
        return self.store.durable if self.store is not None else None

    def abandon(self) -> None:
        """Discards pending writes and messages, because the store has failed."""
        self._generation += 1
        self._writing, self._next, self._held_back = None, None, []

    def restart(self) -> None:
        """Discards pending writes and messages, and restarts the numbering of saves for a new machine."""
        self.abandon()
        self._stored_number = 0

    def open(self) -> bytes | None:
        """Opens the store and returns the record; None if there is none.

        Raises:
            LoadBalancerError: The store cannot be opened.
            StoreCorruptError: The store is open, but the record cannot be read.
        """
        self.store = self.host.store()
        self._worker = self._worker or StoreWorker(self.store, self.host.loop)
        return self.store.get(RECORD_NAME)

    def close(self) -> None:
        """Detaches from the worker thread; the result of a write in progress is ignored."""
        self._generation += 1
        if self._worker is not None:
            self._worker.detach()

    def save(self, save: Save) -> None:
        """Schedules a save as the next write; it replaces a save that waits."""
        self._next = save

    def hold_back(self, send: Send) -> bool:
        """Holds a message back until its save is stored; returns False if it may be sent immediately."""
        if send.after_save <= self._stored_number:
            return False
        self._held_back.append(send)
        return True

    def write_next(self) -> None:
        """Starts the pending write, unless another one is in progress."""
        if self._next is None or self._writing is not None:
            return
        assert self._worker is not None
        self._writing, self._next = self._next, None
        try:
            future = self._worker.replace(RECORD_NAME, self._writing.data)
        except LoadBalancerError as error:
            self.on_error(error)
            return
        future.add_done_callback(
            partial(self._written, self._generation, self._writing, self.host.now())
        )

    def _written(
        self,
        generation: int,
        save: Save,
        started_at: int,
        future: asyncio.Future[None],
    ) -> None:
        error = future.exception()
        if generation != self._generation:
            return
        if isinstance(error, LoadBalancerError):
            self.on_error(error)
            return
        if error is not None:
            raise error
        duration_ms = (self.host.now() - started_at) / MICROSECONDS_PER_MS
        self.counters.writes += 1
        self.counters.slowest_write_ms = max(
            self.counters.slowest_write_ms, duration_ms
        )
        self._writing, self._stored_number = None, save.number
        ready = [send for send in self._held_back if send.after_save <= save.number]
        self._held_back = [
            send for send in self._held_back if send.after_save > save.number
        ]
        self.on_stored(save.number, ready)
