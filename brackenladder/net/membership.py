"""Hosts the membership decider (`brackenladder.membership.swim`) on a UDP socket: datagrams in and out,
the monotonic clock, one timer at the decider's next deadline, one JSON line a change of a member's state.

Used by `python -m brackenladder.net.membership` to run one member on its own, as the multi-process tests
do; the node does not start it (see docs/membership.md).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from typing import Any, cast

from brackenladder.membership.swim import Send, Swim, SwimSettings


def now() -> int:
    """Monotonic microseconds: durations only, so that a clock set by hand moves nothing."""
    return time.monotonic_ns() // 1_000


class Host(asyncio.DatagramProtocol):
    """Carries the decider's datagrams and timers; writes its changes as JSON lines to `out`."""

    def __init__(self, swim: Swim | None = None, out: Any = sys.stdout) -> None:
        self.swim, self.out = swim, out  # no decider until the socket's port is known
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if self.swim is None:
            return
        self.carry(self.swim.receive(now(), data, (str(addr[0]), int(addr[1]))))

    def error_received(self, exc: Exception) -> None:
        self.line({"event": "socket-error", "error": str(exc)})  # e.g. a port that refuses: the probe decides

    def carry(self, sends: list[Send]) -> None:
        assert self.swim is not None
        if self.transport is not None:
            for send in sends:
                self.transport.sendto(send.data, send.address)
        for change in self.swim.drain():
            self.line({"event": "member", **change.__dict__})
        self.arm()

    def arm(self) -> None:
        assert self.swim is not None
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.0, (self.swim.next_deadline() - now()) / 1e6)
        self.timer = asyncio.get_running_loop().call_later(delay, self.due)

    def due(self) -> None:
        self.timer = None
        assert self.swim is not None
        self.carry(self.swim.tick(now()))

    def line(self, record: dict[str, Any]) -> None:
        if self.out is None:
            return
        try:
            self.out.write(json.dumps(record, sort_keys=True) + "\n")
            self.out.flush()
        except OSError:
            self.out = None  # nobody reads any more (a closed pipe): the member goes on without its log


def address(text: str) -> tuple[str, int]:
    """HOST:PORT as given on the command line; `argparse` reports a bad one by its option."""
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 <= int(port) < 65_536:
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT with a port from 0 to 65535")
    return host or "127.0.0.1", int(port)


async def serve(name: str, listen: tuple[str, int], seeds: list[tuple[str, int]], seed: int) -> None:
    loop = asyncio.get_running_loop()
    host = Host()
    transport, _ = await loop.create_datagram_endpoint(lambda: host, local_addr=listen)
    bound = transport.get_extra_info("sockname")
    # The decider learns its own address, with a port the system may have chosen, before it speaks.
    swim = host.swim = Swim(name, (bound[0], bound[1]), SwimSettings(), seed=seed)
    host.line({"event": "listening", "name": name, "port": bound[1]})
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    host.carry(swim.join(now(), seeds))
    await stop.wait()
    host.carry(swim.leave(now()))  # graceful leave: the news rides on a few pings before the process ends
    await asyncio.sleep(0.05)


def main() -> None:
    parser = argparse.ArgumentParser(description="One member of the membership, on UDP, alone.")
    parser.add_argument("--name", required=True)
    parser.add_argument(
        "--listen", type=address, default=("127.0.0.1", 0), help="HOST:PORT; port 0 lets the system choose"
    )
    parser.add_argument(
        "--join", type=address, action="append", default=[], help="HOST:PORT of a seed; repeated"
    )
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    asyncio.run(serve(args.name, args.listen, args.join, args.seed))


if __name__ == "__main__":
    main()
