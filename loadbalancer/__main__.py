"""Entry point of `python -m loadbalancer`: runs a node or a command of the command line.

Without arguments, or with `node`, it runs one node and imports only the packages that a node needs.
"""

from __future__ import annotations

import os
import sys

from loadbalancer.node.entry_point import run_node

EXIT_USAGE = 2


def main() -> int:
    """Runs a node or, with any other arguments, the command line.

    The command line needs packages that are not installed with a node.

    Returns:
        The exit status; 2 if a package of the command line is missing.
    """
    match sys.argv[1:]:
        case [] | ["node"]:
            return run_node()
        case ["--operator", path]:
            os.environ["LB_OPERATOR"] = path
            return run_node()
    try:
        from loadbalancer.cli.main import cli
    except ModuleNotFoundError as error:
        print(
            f"loadbalancer: the command line needs {error.name}, run pip install -r requirements-lab.txt",
            file=sys.stderr,
        )
        return EXIT_USAGE
    cli(prog_name="loadbalancer")
    return 0


if __name__ == "__main__":
    sys.exit(main())
