"""What a node costs before its first request: the time until it is ready, its CPU and its memory.

    python -m benchmarks.start_cost [--turns 15] [--servers 100] [--python PATH] [--json]

Starts one node after the other as `run` does, with a list of so many servers in its file, waits until /ready
says yes, and reads the kernel's figures of the process. Medians. `--python` names another interpreter, such
as that of an environment with the node's own packages only: some of them import more where more is there.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from statistics import median
from time import perf_counter, sleep
from typing import Any
from urllib.error import URLError
from urllib.parse import parse_qs, urlsplit
from urllib.request import urlopen

ROOT = Path(__file__).parent.parent
READY_TIME = 60.0  # seconds


class Agent(BaseHTTPRequestHandler):
    """Discovery that has no news: a watch is held as long as it wishes."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        sleep(
            int(parse_qs(urlsplit(self.path).query).get("timeout_ms", ["0"])[0]) / 1e3
        )
        body = b'{"version": 1, "full": false, "servers": []}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        with suppress(ConnectionError):  # the node has been ended
            self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


def configuration(port: int, servers: int, discovery: int) -> dict[str, Any]:
    """A node's file whose servers do not answer: nothing but the start is measured."""
    lines = [
        {"id": f"s{i}", "addr": f"127.0.0.1:{10_000 + i}", "state": "ready"}
        for i in range(servers)
    ]
    view = {
        "name": "view",
        "effect": "free",
        "goal_time": 500_000,
        "hard_limit": 2_000_000,
        "worth": 1.0,
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1f",
        "known": {"version": 1, "full": True, "servers": lines},
        "settings": {
            "classes": [view],
            "group_size": 1,
            "tick": 1000,
            "layers": ["front"],
            "policy_limits": {"max_attempts": 3, "cancel": True, "retry_after": True},
            "rules": {
                "cold": 0,
                "start_capacity": 1.0,
                "fall_multiple": 0,
                "tip_after": 0,
            },
        },
    }


def turn(python: str, servers: int, discovery: int, folder: Path) -> dict[str, float]:
    """One start: wall and CPU milliseconds until it is ready, and kilobytes of memory then."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    (folder / "config.json").write_text(
        json.dumps(configuration(port, servers, discovery))
    )
    environ = {
        **os.environ,
        "LB_CONFIG": str(folder / "config.json"),
        "PYTHONPATH": str(ROOT),
    }
    began = perf_counter()
    process = subprocess.Popen(
        [python, "-m", "loadbalancer"], env=environ, stderr=subprocess.DEVNULL
    )
    try:
        while perf_counter() - began < READY_TIME:
            try:
                with urlopen(f"http://127.0.0.1:{port}/ready", timeout=5):
                    break
            except (URLError, OSError):
                sleep(0.001)
        else:
            raise SystemExit("the node did not become ready")
        wall = (perf_counter() - began) * 1e3
        memory = {
            line.split()[0].rstrip(":"): float(line.split()[1])
            for line in Path(f"/proc/{process.pid}/smaps_rollup")
            .read_text()
            .splitlines()[1:]
        }
        cpu = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e6
    finally:
        process.kill()
        process.wait()
    own = memory["Private_Clean"] + memory["Private_Dirty"]
    return {"wall_ms": wall, "cpu_ms": cpu, "rss_kb": memory["Rss"], "own_kb": own}


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--turns", type=int, default=15)
    parser.add_argument("--servers", type=int, default=100)
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    agent = ThreadingHTTPServer(("127.0.0.1", 0), Agent)
    agent.daemon_threads = True
    threading.Thread(target=agent.serve_forever, daemon=True).start()
    with tempfile.TemporaryDirectory() as name:
        port = agent.server_port
        turns = [
            turn(given.python, given.servers, port, Path(name))
            for _ in range(given.turns)
        ]
    found = {key: round(median(t[key] for t in turns), 1) for key in turns[0]}
    print(
        json.dumps(found)
        if given.json
        else "  ".join(f"{k} {v:g}" for k, v in found.items())
    )


if __name__ == "__main__":
    main()
