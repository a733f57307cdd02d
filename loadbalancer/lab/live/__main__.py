"""The load's process: a folder with the scenario, a seed, the nodes. Its rows go to the folder at the end."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import ClassVar

import uvloop

from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.live.load import Load, Target
from loadbalancer.lab.scenario_file import build
from loadbalancer.lab.world import build_world


class TargetError(LoadBalancerError, ValueError):
    """An address for the lab's load that is not written as one, or not of this machine."""

    remedy: ClassVar[str] = (
        "write --target 127.0.0.1:PORT, with @ZONE after it if the node's zone matters"
    )


def target(text: str) -> Target:
    """`host:port` or `host:port@zone`; a TargetError for anything else."""
    address, _, zone = text.partition("@")
    host, colon, port = address.rpartition(":")
    if not (colon and host and port.isdigit() and (not zone or zone.isdigit())):
        raise TargetError("write it as host:port or host:port@zone", f"target {text!r}")
    if not (host.startswith("127.") or host in ("localhost", "[::1]", "::1")):
        raise TargetError(
            "the lab sends to loopback addresses only", f"target {text!r}"
        )
    return Target(host.strip("[]"), int(port), int(zone or 0))


def main() -> int:
    folder = Path(sys.argv[1])
    told = json.loads((folder / "scenario.json").read_text())
    scenario = build(told["table"], "scenario", tuple(told["changes"]))
    load = Load(
        build_world(scenario, int(sys.argv[2])), [target(t) for t in sys.argv[3:]]
    )
    print("ready", flush=True)
    sys.stdin.readline()
    uvloop.run(load.play(lambda counts: print(json.dumps(counts), flush=True)))
    (folder / "rows.json").write_text(json.dumps(load.rows()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
