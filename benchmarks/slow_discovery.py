"""What a discovery agent that answers late costs: the time to the list, calls to the agent, open calls.

    python benchmarks/slow_discovery.py [--delays 0 1 2 4] [--seconds 60] [--outage 8] [--rounds 3]

Runs the discovery client against a stand-in agent on loopback, in real time. For each delay: changes at
varying intervals, then outages in which the agent is silent and answers nothing that it was asked. Last, an
agent that stays silent. All agents run at the same time; the times are of this machine. Prints JSON lines.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
from contextlib import suppress
from random import Random
from typing import Any

from loadbalancer.node.discovery.client import DiscoveryClient
from loadbalancer.node.log import Log

HOST = "127.0.0.1"
MIN_INTERVAL_S, MAX_INTERVAL_S = 0.4, 3.0  # between changes
SETTLE_S = 12.0  # before the first change
LONGEST_WAIT_S = 30.0  # for a change


class Agent:
    """A stand-in for the agent, which works out an answer when it is due, and writes it `delay_s` later."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.version = 41
        self.silent = False
        self.changed = asyncio.Event()
        self.calls = 0
        self.open = 0
        self.most_open = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Starts to listen; returns the port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    def change(self) -> None:
        """Raises the version, and tells it to the calls that wait."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection."""
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        answers: set[asyncio.Task[None]] = set()
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self.calls += 1
                answer = asyncio.create_task(self.answer(target, writer))
                answers.add(answer)
                answer.add_done_callback(answers.discard)
        for answer in answers:
            answer.cancel()
        self.open -= 1
        writer.close()

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answers one request, unless the agent is silent when it comes or when it is due."""
        if self.silent:
            return
        pairs = target.partition("?")[2].split("&")
        query = dict(pair.split("=") for pair in pairs if pair)
        since = int(query.get("since", -1))
        if since == self.version:
            with suppress(TimeoutError):
                wait_s = int(query["timeout_ms"]) / 1000
                await asyncio.wait_for(self.changed.wait(), wait_s)
        table = {"version": self.version, "full": since < 0, "servers": []}
        body = json.dumps(table).encode()
        await asyncio.sleep(self.delay_s)
        if not self.silent:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)


class Trial:
    """The discovery client before one agent."""

    def __init__(self, delay_s: float, silent: bool) -> None:
        self.agent = Agent(delay_s)
        self.agent.silent = silent

    async def start(self) -> None:
        """Starts the agent and the client."""
        port = await self.agent.start()
        self.client = DiscoveryClient(
            asyncio.get_running_loop(),
            (HOST, port),
            41,
            lambda listing, more: None,
            Log("benchmark", 1),
        )
        self.client.watch(True)

    async def until_current(self) -> float:
        """Returns the seconds until the agent's version is in use, LONGEST_WAIT_S at most."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while self.client.reader.version != self.agent.version:
            if loop.time() > started_at + LONGEST_WAIT_S:
                break
            await asyncio.sleep(0.002)
        return loop.time() - started_at

    async def changes(self, seconds: float) -> dict[str, Any]:
        """Makes changes for a while; returns the times until they were in use, and calls a second."""
        random = Random(7)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SETTLE_S)
        self.agent.most_open = self.agent.open
        started_at, calls = loop.time(), self.agent.calls
        times = []
        while loop.time() < started_at + seconds:
            await asyncio.sleep(random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S))
            self.agent.change()
            times.append(await self.until_current())
        rate = (self.agent.calls - calls) / (loop.time() - started_at)
        return {
            "median_s": round(statistics.median(times), 2),
            "longest_s": round(max(times), 2),
            "changes": len(times),
            "calls_per_s": round(rate, 2),
            "most_open": self.agent.most_open,
        }

    async def outages(self, outage_s: float, rounds: int) -> list[float]:
        """Returns the seconds from the end of each outage until the list is current."""
        times = []
        for _ in range(rounds):
            self.agent.silent = True
            await asyncio.sleep(outage_s)
            self.agent.change()
            self.agent.silent = False
            times.append(round(await self.until_current(), 2))
            await asyncio.sleep(SETTLE_S)
        return times

    async def silence(self, seconds: float) -> dict[str, Any]:
        """Returns the calls a second to an agent that stays silent, and the most that were open."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SETTLE_S)
        started_at, calls = loop.time(), self.agent.calls
        await asyncio.sleep(seconds)
        rate = (self.agent.calls - calls) / (loop.time() - started_at)
        return {"calls_per_s": round(rate, 2), "most_open": self.agent.most_open}


async def measure(delay_s: float, options: argparse.Namespace) -> dict[str, Any]:
    """Measures one delay."""
    trial = Trial(delay_s, False)
    await trial.start()
    figures = await trial.changes(options.seconds)
    after_outage = await trial.outages(options.outage, options.rounds)
    trial.client.stop()
    return {"delay_s": delay_s, **figures, "after_outage_s": after_outage}


async def measure_silence(options: argparse.Namespace) -> dict[str, Any]:
    """Measures an agent that is silent."""
    trial = Trial(0.0, True)
    await trial.start()
    figures = await trial.silence(options.seconds)
    trial.client.stop()
    return {"silent": True, **figures}


async def measure_all(options: argparse.Namespace) -> None:
    """Measures all agents at the same time."""
    trials = [measure(delay_s, options) for delay_s in options.delays]
    for figures in await asyncio.gather(*trials, measure_silence(options)):
        print(json.dumps(figures), flush=True)


def main() -> None:
    """Reads the arguments and measures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--delays", type=float, nargs="+", default=[0.0, 1.0, 2.0, 4.0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--outage", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    asyncio.run(measure_all(parser.parse_args()))


if __name__ == "__main__":
    main()
