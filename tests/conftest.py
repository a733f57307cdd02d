"""What holds for tests that are coroutines: the event loop the node runs on, and a bound on their time."""

import asyncio
import functools
import inspect

import uvloop
from loopback import PATIENCE


def pytest_asyncio_loop_factories():
    return {"uvloop": uvloop.new_event_loop}


def pytest_itemcollected(item):
    """Failure prevented: a test that waits for what never comes holds up the whole run."""
    test = getattr(item, "obj", None)
    if not inspect.iscoroutinefunction(test):
        return

    @functools.wraps(test)
    async def limited(*args, **kwargs):
        async with asyncio.timeout(3 * PATIENCE):
            await test(*args, **kwargs)

    item.obj = limited
