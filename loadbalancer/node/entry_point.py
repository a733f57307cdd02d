"""Entry point of a node's process; imports no slow modules before SIGHUP is blocked."""

from __future__ import annotations

import signal


def run_node() -> int:
    """Runs one node until it ends.

    By default, a SIGHUP that arrives before the node handles it would terminate the process. It
    is therefore blocked first, and the node's modules are imported after that.

    Returns:
        The exit status of the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from loadbalancer.node.process import run

    return run()
