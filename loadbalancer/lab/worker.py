"""One run in a process of its own: a task as JSON on standard input, its rows on standard output.

The program that is measured may come from another checkout (`root`): its modules are then looked for there
first, while the lab stays this one. So both sides of a comparison are played by the same emulator.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, ClassVar

import loadbalancer
from loadbalancer.errors import LoadBalancerError


class CheckoutError(LoadBalancerError, ValueError):
    """A folder to take the program from that does not hold it."""

    remedy: ClassVar[str] = (
        "name the top folder of a checkout, the one that holds loadbalancer/"
    )


def take_from(root: Path) -> None:
    """From here on, what is imported of the program comes from this checkout."""
    package = root / "loadbalancer"
    if not (package / "policy" / "balancer.py").is_file():
        raise CheckoutError(
            "no checkout of the project: loadbalancer/policy/balancer.py is missing",
            str(root),
        )
    loadbalancer.__path__.insert(0, str(package))


def play(task: dict[str, Any]) -> dict[str, Any]:
    """Plays a task: `table` and `where` of the scenario, `changes`, `seed`, `module`, `root`."""
    root = Path(task["root"]) if task.get("root") else None
    if root is not None:
        take_from(root)
    from time import perf_counter

    from loadbalancer.lab import emulator, results
    from loadbalancer.lab.modules import find
    from loadbalancer.lab.scenario_file import build

    scenario = build(task["table"], task["where"], tuple(task["changes"]))
    began = perf_counter()
    run, figures, verdicts = emulator.run(
        scenario, task["seed"], find(task["module"]), task.get("progress")
    )
    rows = results.lines(
        run.tally(), figures, verdicts, task["module"], results.version(root)
    )
    return {"rows": rows, "wall": perf_counter() - began, "events": run.events}


def main() -> int:
    task = json.load(sys.stdin)
    try:
        answer = play(task)
    except (
        Exception
    ) as e:  # the parent shows it: whatever went wrong, went wrong with this task
        answer = {"error": f"{type(e).__name__}: {e}", "do": getattr(e, "advice", "")}
    sys.stdout.write(json.dumps(answer))
    return 0


if __name__ == "__main__":
    sys.exit(main())
