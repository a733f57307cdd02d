"""The network of a swarm, in a process of its own: `python -m loadbalancer.lab.swarm.network`.

Apart from the harness, which reads all logs and would hold datagrams back while it does. The first line of
standard input has the rules, the seed and where each member's process listens; one line on standard output
names the fronts. The next line of input begins the rules' time; each turn of theirs is a line of output.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import msgspec
import uvloop

from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.fault.datagram_proxy import DatagramProxy
from loadbalancer.fault.datagram_rules import DatagramRule


def write(line: Any) -> None:
    print(json.dumps(line), flush=True)


async def serve(wish: dict[str, Any]) -> None:
    rules = msgspec.convert(wish["rules"], list[DatagramRule])
    proxy = DatagramProxy(DatagramPlan(rules, wish["seed"]), write)
    write(
        {
            name: await proxy.add(name, (host, port))
            for name, (host, port) in wish["members"].items()
        }
    )
    loop = asyncio.get_running_loop()
    if await loop.run_in_executor(None, sys.stdin.readline):
        proxy.start()
        await loop.run_in_executor(None, sys.stdin.read)  # until nobody needs it
    proxy.close()


if __name__ == "__main__":
    uvloop.run(serve(json.loads(sys.stdin.readline())))
