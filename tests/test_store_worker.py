"""Calls on a store that run in a separate thread."""

import asyncio
from threading import Event

import pytest

from loadbalancer.stores.interface import StoreError, StoreFullError
from loadbalancer.stores.memory import MemoryStore
from loadbalancer.stores.worker import StoreOverloadedError, StoreWorker


class BlockingStore(MemoryStore):
    """Blocks in each append until the gate is set."""

    def __init__(self) -> None:
        super().__init__(10_000)
        self.gate = Event()

    def append(self, log: str, data: bytes) -> int:
        assert self.gate.wait(10)
        return super().append(log, data)


@pytest.fixture
async def worker():
    store, loop_errors = BlockingStore(), []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: loop_errors.append(context))
    store_worker = StoreWorker(store, loop, 5)
    yield store_worker
    store.gate.set()
    await asyncio.wait_for(store_worker.close(), 10)
    assert not store.is_open
    assert not loop_errors


async def test_calls_run_in_order_without_blocking_the_loop_and_errors_are_returned(
    worker,
):
    futures = [worker.append("a", data) for data in (b"1", bytes(20_000), b"2")]
    read = worker.read("a")
    futures[0].cancel()  # no longer awaited; the call runs all the same
    await asyncio.sleep(0)
    assert not read.done()
    worker.store.gate.set()
    assert await read == [(1, b"1"), (2, b"2")]
    assert await futures[2] == 2
    with pytest.raises(StoreFullError):
        await futures[1]
    with pytest.raises(StoreError):
        await worker.get("A")
    assert worker.pending_calls == 0


async def test_pending_calls_are_bounded_and_close_is_always_accepted(worker):
    futures = [worker.append("a", b"") for _ in range(5)]
    with pytest.raises(StoreOverloadedError):
        worker.names()
    closed = worker.close()
    with pytest.raises(StoreError, match="closed"):
        worker.names()
    assert not closed.done()
    worker.store.gate.set()
    await closed
    assert [await future for future in futures] == [1, 2, 3, 4, 5]


def test_a_closed_loop_loses_no_write():
    async def append_and_return():
        worker = StoreWorker(store, asyncio.get_running_loop())
        worker.append("a", b"1")
        worker.append("a", b"2")
        return worker

    store = BlockingStore()
    worker = asyncio.run(append_and_return())
    store.gate.set()
    worker._jobs.put(None)
    worker._thread.join(10)
    assert [data for _, data in store.read("a")] == [b"1", b"2"]
