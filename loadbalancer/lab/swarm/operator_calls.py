"""The calls that a script's operators make on nodes' control listeners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from time import monotonic, time
from urllib.parse import urlencode

from loadbalancer.lab.live.wire import Broken, Pool, Unreached
from loadbalancer.lab.swarm.freezes import FreezeObserver, OperatorCall
from loadbalancer.lab.swarm.nodes import NodeProcess
from loadbalancer.lab.swarm.script import Call, Swarm

RETRY_INTERVAL_S = 0.25
ATTEMPT_TIMEOUT_S = 2.0
FINAL_STATUSES = (200, 400, 404, 409)
ANY_NODE = "any"
COORDINATOR = "coordinator"


class Operators:
    """Makes the calls of one run, each until it is answered for good.

    Args:
        swarm: The script.
        nodes: Real nodes by name.
        freezes: Takes each call with what came of it, and knows the coordinator.
        alive_nodes: Names of the real nodes that live now.
        zero: When the watch began, monotonic seconds.
    """

    def __init__(
        self,
        swarm: Swarm,
        nodes: Mapping[str, NodeProcess],
        freezes: FreezeObserver,
        alive_nodes: Callable[[], list[str]],
        zero: float,
    ) -> None:
        self.swarm = swarm
        self.nodes = nodes
        self.freezes = freezes
        self.alive_nodes = alive_nodes
        self.zero = zero

    async def make(self, call: Call, index: int) -> None:
        """Makes one call of the script as often as it says."""
        random = Random(f"{self.swarm.world.seed}/call{index}")
        tasks = []
        for n in range(call.times):
            at = self.zero + call.at_s + n * call.every_s
            if at > monotonic():
                await asyncio.sleep(at - monotonic())
            values = {k: str(v).replace("{n}", str(n)) for k, v in call.values.items()}
            is_any = call.node == ANY_NODE
            node = random.choice(self.swarm.names) if is_any else call.node
            tasks.append(asyncio.ensure_future(self._make_once(call, node, values)))
        await asyncio.gather(*tasks)

    async def _make_once(self, call: Call, name: str, values: dict[str, str]) -> None:
        """One call. Instead of a node that is gone another is asked, as an operator would."""
        made = OperatorCall(time(), call.path, name)
        self.freezes.calls.append(made)
        query = f"POST /admin/{call.path}?{urlencode(values)} HTTP/1.1\r\nHost: node\r\n\r\n".encode()
        start = monotonic()
        until = min(start + call.patience_s, self.zero + self.swarm.world.watch_s)
        while monotonic() < until:
            made.node = self._node_to_ask(name, made.node)
            made.status = await self._attempt(made.node, query)
            if made.status in FINAL_STATUSES:
                made.duration_s = monotonic() - start
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _node_to_ask(self, name: str, last: str) -> str:
        alive = self.alive_nodes()
        if name == COORDINATOR:
            last = self.freezes.coordinator() or alive[0]
        return last if last in alive else alive[0]

    async def _attempt(self, node: str, query: bytes) -> int:
        """The status of the node's answer; 0 if there is none."""
        control = self.nodes[node].control
        if control is None:
            return 0
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                return (await Pool(control).ask(query)).status
        except (Unreached, Broken, TimeoutError):
            return 0
