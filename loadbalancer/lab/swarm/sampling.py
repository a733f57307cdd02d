"""Looks at the processes of a run and at its servers while it goes on."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Iterable
from time import monotonic
from typing import Any

import psutil

from loadbalancer.lab.live.wire import Broken, Pool, Unreached
from loadbalancer.lab.swarm.helper_processes import read_answer
from loadbalancer.lab.swarm.nodes import NodeProcess

SAMPLE_INTERVAL_S = 1.0
MEMORY_CHECK_INTERVAL_S = 1.0  # of a run with hollow nodes
PAGE_TIMEOUT_S = 5.0
SERVERS_TIMEOUT_S = 10.0


async def fetch_page(node: NodeProcess, page: str = "stats") -> dict[str, Any] | None:
    """An admin page of a node, as an operator gets it; None from one that does not answer."""
    process = node.process
    if node.control is None or process is None or process.returncode is not None:
        return None
    query = f"GET /admin/{page} HTTP/1.1\r\nHost: node\r\n\r\n".encode()
    try:
        async with asyncio.timeout(PAGE_TIMEOUT_S):
            answer = await Pool(node.control).ask(query)
    except (Unreached, Broken, TimeoutError):
        return None
    return dict(json.loads(answer.body))


def cpu_seconds(processes: Iterable[psutil.Process]) -> dict[int, float]:
    """Processor seconds that each process has used, by its id; without those that have ended."""
    found = {}
    for process in processes:
        try:
            times = process.cpu_times()
        except psutil.Error:
            continue
        found[process.pid] = times.user + times.system
    return found


def memory_mb(pids: Iterable[int]) -> float:
    """Resident memory of this process and of others together, without those that have ended."""
    used = 0.0
    for pid in (os.getpid(), *pids):
        try:
            used += psutil.Process(pid).memory_info().rss / 1e6
        except psutil.Error:
            continue
    return used


class Sampler:
    """Looks at the servers and the nodes' processes from time to time.

    Args:
        servers: The process of the stand-in servers.
        servers_lock: One conversation with it at a time.
        processes: Processes of the nodes that live now.
        zero: When the watch began, monotonic seconds.

    Attributes:
        looks: What each server had done, look by look.
        max_memory_mb: Of one node.
        max_descriptors: Of one node.
        is_over: Set from outside at the watch's end; `run` ends after its look.
    """

    def __init__(
        self,
        servers: asyncio.subprocess.Process,
        servers_lock: asyncio.Lock,
        processes: Callable[[], dict[str, psutil.Process]],
        zero: float,
    ) -> None:
        self.servers = servers
        self.servers_lock = servers_lock
        self.processes = processes
        self.zero = zero
        self.looks: list[dict[str, Any]] = []
        self.max_memory_mb = 0.0
        self.max_descriptors = 0.0
        self.is_over = False

    async def run(self) -> None:
        """Looks until `is_over` is set."""
        while not self.is_over:
            await self.look_at_servers()
            self.look_at_processes()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def look_at_processes(self) -> None:
        """Takes the greatest memory and number of descriptors of a node."""
        for process in self.processes().values():
            try:
                memory = process.memory_info().rss / 1e6
                self.max_memory_mb = max(self.max_memory_mb, memory)
                self.max_descriptors = max(self.max_descriptors, process.num_fds())
            except psutil.Error:
                continue  # ended between two looks

    async def look_at_servers(self) -> None:
        """Takes what each server has done until now."""
        assert self.servers.stdin is not None
        async with self.servers_lock:
            self.servers.stdin.write(b"look\n")
            answer = await read_answer(self.servers, SERVERS_TIMEOUT_S)
        twice = answer.pop()["twice"]
        look = {
            key: [server[key] for server in answer]
            for key in ("requests", "turned_away", "peak", "keyed", "hits")
        }
        at_s = round(monotonic() - self.zero, 3)
        self.looks.append({"at_s": at_s, "twice": twice, **look})
