"""Processes of a run that are no nodes: servers, network, load and hollow nodes."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import Any

from loadbalancer.lab.swarm.nodes import PACKAGES, SwarmError

MAX_LINE_BYTES = 1 << 27  # that a helper process writes at a time


async def start_helper(
    module: str, order: dict[str, Any]
) -> asyncio.subprocess.Process:
    """Starts a module of this package as a process and hands it its order as a line of JSON."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"loadbalancer.lab.swarm.{module}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
        env={**os.environ, "PYTHONPATH": str(PACKAGES)},
    )
    assert process.stdin is not None
    process.stdin.write(json.dumps(order).encode() + b"\n")
    await process.stdin.drain()
    return process


async def read_answer(process: asyncio.subprocess.Process, timeout_s: float) -> Any:
    """The next line of JSON that a helper process writes.

    Raises:
        SwarmError: It has ended.
        TimeoutError: It writes none in time.
    """
    assert process.stdout is not None
    async with asyncio.timeout(timeout_s):
        line = await process.stdout.readline()
    if not line:
        raise SwarmError("a helper process ended before it had said anything")
    return json.loads(line)
