"""What holds for all tests: the loop the node runs on, a bound on a coroutine's time, and the known red."""

import asyncio
import functools
import inspect

import uvloop
from known_red import (  # noqa: F401  (hooks)
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_terminal_summary,
)
from loopback import PATIENCE, end_all


def pytest_asyncio_loop_factories():
    return {"uvloop": uvloop.new_event_loop}


def pytest_itemcollected(item):
    """Failure prevented: a test that waits for what never comes holds up the whole run."""
    test = getattr(item, "obj", None)
    if not inspect.iscoroutinefunction(test):
        return

    @functools.wraps(test)
    async def limited(*args, **kwargs):
        try:
            async with asyncio.timeout(3 * PATIENCE):
                await test(*args, **kwargs)
        finally:
            end_all()
            # Failure prevented: what the peers still wait for is collected after the loop has closed, in the
            # middle of whatever runs then.
            rest = asyncio.all_tasks() - {asyncio.current_task()}
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)

    item.obj = limited
