"""Real member processes on loopback, with kills and pauses between them (SIGKILL, SIGSTOP/SIGCONT)."""

from __future__ import annotations

import json
import os
import queue
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest


class Member:
    def __init__(self, name: str, join: list[int]) -> None:
        command = [
            sys.executable,
            "-m",
            "brackenladder.net.membership",
            "--name",
            name,
            "--seed",
            str(len(name)),
        ]
        for port in join:
            command += ["--join", f"127.0.0.1:{port}"]
        self.name = name
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.lines: queue.Queue[dict[str, Any]] = queue.Queue()
        self.seen: list[dict[str, Any]] = []
        threading.Thread(target=self.read, daemon=True).start()
        self.port = int(self.wait(lambda r: r["event"] == "listening", 10)["port"])

    def read(self) -> None:
        assert self.process.stdout is not None
        for text in self.process.stdout:
            self.lines.put(json.loads(text))

    def wait(self, condition: Any, seconds: float) -> dict[str, Any]:
        end = time.monotonic() + seconds
        for record in self.seen:
            if condition(record):
                return record
        while time.monotonic() < end:
            try:
                record = self.lines.get(timeout=max(0.01, end - time.monotonic()))
            except queue.Empty:
                break
            self.seen.append(record)
            if condition(record):
                return record
        raise AssertionError(f"{self.name}: nothing matched within {seconds} s")

    def drain(self) -> None:
        while not self.lines.empty():
            self.seen.append(self.lines.get())


@pytest.fixture
def world() -> Iterator[list[Member]]:
    first = Member("m0", [])
    members = [first, *(Member(f"m{i}", [first.port]) for i in range(1, 4))]
    try:
        yield members
    finally:
        for member in members:
            if member.process.poll() is None:
                os.kill(member.process.pid, signal.SIGCONT)
                member.process.kill()
            member.process.wait()


def knows_all(member: Member, names: set[str]) -> None:
    for name in names - {member.name}:
        member.wait(lambda r, n=name: r["event"] == "member" and r["name"] == n and r["new"] == "alive", 15)


def test_a_killed_process_is_declared_dead_by_all(world: list[Member]) -> None:
    names = {m.name for m in world}
    for member in world:
        knows_all(member, names)
    victim = world[3]
    victim.process.kill()
    for member in world[:3]:
        member.wait(lambda r: r["event"] == "member" and r["name"] == victim.name and r["new"] == "dead", 20)


def test_a_process_paused_for_three_seconds_is_not_declared_dead(world: list[Member]) -> None:
    names = {m.name for m in world}
    for member in world:
        knows_all(member, names)
    paused = world[2]
    os.kill(paused.process.pid, signal.SIGSTOP)
    time.sleep(3)
    os.kill(paused.process.pid, signal.SIGCONT)
    time.sleep(8)
    for member in world:
        member.drain()
        assert not [r for r in member.seen if r["event"] == "member" and r["new"] == "dead"], member.name
