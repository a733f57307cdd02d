"""Many real member processes on loopback: one is killed, the others' change lines tell when each saw it dead.

    .venv/bin/python benchmarks/membership_processes.py --members 100 [--pause 3]

Starts `--members` processes of `python -m brackenladder.net.membership`, all joined through the first, waits
until every one has seen every other alive, kills one with SIGKILL and, with `--pause S`, stops another for S
seconds; prints the time until the first and until the last live member declared the victim dead, false
deaths, and the time to converge at the start. Ends every process it started, by id. Not part of CI.
"""

from __future__ import annotations

import argparse
import json
import os
import selectors
import signal
import subprocess
import sys
import time


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", type=int, default=100)
    parser.add_argument("--pause", type=float, default=0.0)
    parser.add_argument("--watch", type=float, default=30.0)
    args = parser.parse_args()
    base = [sys.executable, "-m", "brackenladder.net.membership"]
    processes: list[subprocess.Popen[bytes]] = []
    chooser = selectors.DefaultSelector()
    alive: dict[str, set[str]] = {}
    dead_seen: dict[str, dict[str, float]] = {}

    def start(name: str, join: list[str]) -> subprocess.Popen[bytes]:
        command = [
            *base,
            "--name",
            name,
            "--seed",
            str(len(processes) + 1),
            *[a for j in join for a in ("--join", j)],
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, bufsize=0)
        processes.append(process)
        assert process.stdout is not None
        chooser.register(process.stdout.fileno(), selectors.EVENT_READ, name)
        partial[name] = b""
        return process

    def pump(seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for key, _ in chooser.select(timeout=0.05):
                chunk = os.read(key.fd, 65_536)  # raw reads: a buffered reader would hide lines from select
                if not chunk:
                    chooser.unregister(key.fd)
                    continue
                observer = key.data
                *lines, partial[observer] = (partial[observer] + chunk).split(b"\n")
                for line in lines:
                    take(observer, json.loads(line))

    def take(observer: str, record: dict[str, object]) -> None:
        if record["event"] == "listening":
            ports[observer] = int(str(record["port"]))
        elif record["event"] == "member" and record["new"] == "alive":
            alive.setdefault(observer, set()).add(str(record["name"]))
        elif record["event"] == "member" and record["new"] == "dead":
            dead_seen.setdefault(str(record["name"]), {})[observer] = time.monotonic()

    ports: dict[str, int] = {}
    partial: dict[str, bytes] = {}
    began = time.monotonic()
    try:
        start("m0", [])
        while "m0" not in ports:
            pump(0.1)
        for index in range(1, args.members):
            start(f"m{index}", [f"127.0.0.1:{ports['m0']}"])
        names = {f"m{i}" for i in range(args.members)}
        while time.monotonic() - began < 120:
            pump(0.5)
            if all(names - {n} <= alive.get(n, set()) for n in names):
                break
        converged = time.monotonic() - began
        victim, paused = processes[-1], processes[-2] if args.pause else None
        killed = time.monotonic()
        victim.kill()
        if paused is not None:
            os.kill(paused.pid, signal.SIGSTOP)
            pump(args.pause)
            os.kill(paused.pid, signal.SIGCONT)
        pump(args.watch - (time.monotonic() - killed))
        victim_name = f"m{args.members - 1}"
        seen = dead_seen.get(victim_name, {})
        times = sorted(t - killed for t in seen.values())
        false = sum(len(v) for k, v in dead_seen.items() if k != victim_name)
        print(
            f"members {args.members}: all alive to all after {converged:.1f} s; victim dead to "
            f"{len(seen)} of {args.members - 1}; first {times[0] if times else float('nan'):.2f} s, "
            f"last {times[-1] if times else float('nan'):.2f} s; false deaths {false}"
            + (f" (one member paused {args.pause} s)" if args.pause else "")
        )
    finally:
        for process in processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
            process.wait()


if __name__ == "__main__":
    main()
