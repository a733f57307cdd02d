"""Runs the calls on a store in a separate thread, so that no fsync blocks the node's event loop.

Calls run one at a time in the order of submission, whether or not they are awaited. Each returns a future of
the event loop. A host that must not act before a write is durable awaits the future; any other host need not,
but should check the future for an error.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Thread
from typing import Any, ClassVar, TypeVar

from loadbalancer.stores.common import closed_error
from loadbalancer.stores.interface import Store, StoreError

T = TypeVar("T")
MAX_PENDING_CALLS = 1000  # submitted, without a result yet


class StoreOverloadedError(StoreError):
    """A call is refused because too many calls on the store are pending."""

    code: ClassVar[str] = "StoreBusy"
    remedy: ClassVar[str] = (
        "check the disk that the store is on: its writes take much longer than they should"
    )


@dataclass(frozen=True, slots=True)
class Job:
    """A call for the thread, and the future for its result."""

    future: asyncio.Future[Any]
    call: Callable[[], Any]


class StoreWorker:
    """Offers the calls of a store as futures.

    All methods are called on the event loop's thread. Unless the store is a `SharedStore`, nothing else may
    use it from then on. The thread is a daemon thread, so that a disk that hangs does not delay the exit of
    the process on SIGTERM.

    Attributes:
        store: The store.
        durable: Whether its contents survive a restart of the machine.
        pending_calls: Number of calls submitted that have no result yet.
    """

    def __init__(
        self,
        store: Store,
        loop: asyncio.AbstractEventLoop,
        max_pending_calls: int = MAX_PENDING_CALLS,
    ) -> None:
        self.store = store
        self._loop = loop
        self._max_pending_calls = max_pending_calls
        self.durable = store.durable
        self.pending_calls = 0
        self._closing: asyncio.Future[None] | None = None
        self._jobs: SimpleQueue[Job | None] = SimpleQueue()
        self._thread = Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def get(self, name: str) -> asyncio.Future[bytes | None]:
        """Reads a record; the result is its bytes, or None if it does not exist."""
        return self._submit(lambda: self.store.get(name))

    def replace(self, name: str, data: bytes | None) -> asyncio.Future[None]:
        """Replaces a record; None removes it."""
        return self._submit(lambda: self.store.replace(name, data))

    def append(self, log: str, data: bytes) -> asyncio.Future[int]:
        """Appends an entry to a log; the result is its number."""
        return self._submit(lambda: self.store.append(log, data))

    def read(self, log: str, since: int = 0) -> asyncio.Future[list[tuple[int, bytes]]]:
        """Reads the entries after number `since`, oldest first, with their numbers."""
        return self._submit(lambda: list(self.store.read(log, since)))

    def cut(self, log: str, before: int) -> asyncio.Future[None]:
        """Drops the entries below number `before`."""
        return self._submit(lambda: self.store.cut(log, before))

    def names(self) -> asyncio.Future[tuple[list[str], list[str]]]:
        """Reads the sorted names of the records, and those of the logs."""
        return self._submit(self.store.names)

    def size(self) -> asyncio.Future[int]:
        """Reads the bytes in use that count towards the store's bound."""
        return self._submit(self.store.size)

    def close(self) -> asyncio.Future[None]:
        """Closes the store after the pending calls; no more calls are accepted.

        A second call has no effect and returns the same future.
        """
        if self._closing is None:
            self._max_pending_calls += (
                1  # closing is accepted even if the maximum is reached
            )
            self._closing = self._submit(self.store.close)
            self._jobs.put(None)
        return self._closing

    def detach(self) -> None:
        """Ends the thread after the pending calls, but leaves the store open for its owner."""
        if self._closing is None:
            self._closing = self._loop.create_future()
            self._closing.set_result(None)
            self._jobs.put(None)

    def _submit(self, call: Callable[[], T]) -> asyncio.Future[T]:
        """Queues a call; raises StoreOverloadedError if too many are pending."""
        if self._closing is not None:
            raise closed_error("the store's worker")
        if self.pending_calls >= self._max_pending_calls:
            raise StoreOverloadedError(
                f"{self.pending_calls} calls are pending, the maximum",
                "the store's worker",
            )
        self.pending_calls += 1
        future: asyncio.Future[T] = self._loop.create_future()
        self._jobs.put(Job(future, call))
        return future

    def _run(self) -> None:
        """Runs the calls in their order; this is the thread's target."""
        while (job := self._jobs.get()) is not None:
            result: Any = None
            error: Exception | None = None
            try:
                result = job.call()
            except Exception as raised:
                error = raised
            # The event loop may be closed by now; the call has been made in any case.
            with suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self._finish, job.future, result, error)

    def _finish(
        self, future: asyncio.Future[Any], result: Any, error: Exception | None
    ) -> None:
        self.pending_calls -= 1
        if future.done():  # cancelled by the caller
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
