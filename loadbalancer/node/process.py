"""A node's process: configuration, signals, start and shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

import uvloop

from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.config import Config, load
from loadbalancer.node.listen import ListenError
from loadbalancer.node.node import Node

if TYPE_CHECKING:
    from loadbalancer.config.operator_config import OperatorConfig


def load_operator_config(environ: Mapping[str, str]) -> OperatorConfig | None:
    """Loads the operators' file that LB_OPERATOR names; None if it is not set.

    Raises:
        OperatorConfigError: The file cannot be used.
    """
    path = environ.get("LB_OPERATOR")
    if not path:
        return None
    # Imported here because a node without an operators' file does not need the packages that read it.
    from loadbalancer.config.operator_config import OperatorConfigError, load

    try:
        return load(path, environ)
    except OperatorConfigError as error:
        raise error.within("LB_OPERATOR") from None


async def serve(config: Config, operator_config: OperatorConfig | None) -> None:
    """Runs the node until SIGTERM or SIGINT, then drains it. SIGHUP reloads the configuration.

    Args:
        config: The node's configuration.
        operator_config: The operators' configuration; None if there is none.

    Raises:
        ListenError: An address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)  # a second signal has no effect
    node = Node(config, loop, operator_config)

    def failed(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        node.log_lines.line(
            f"event loop failed reason={context.get('message')}: {context.get('exception')!r}"
        )

    def reload() -> None:
        try:
            operator_config = load_operator_config(os.environ)
            node.reload(load(os.environ, node.config), operator_config)
        except LoadBalancerError as error:
            node.reject_reload(error)

    loop.set_exception_handler(failed)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await node.start()
    # Delivers a SIGHUP that arrived during the start.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    # Objects made during the start live as long as the node, so the garbage collector need not examine them.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await node.drain()
    # Failure prevented: once the loop has ended, it handles no signals, and a signal that arrives before the
    # process exits would terminate it like a crash.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
    )


def run() -> int:
    """Runs a node.

    Returns:
        The exit status: 0 after a shutdown, 1 if an address cannot be bound, 2 if the configuration cannot be
        used.
    """
    try:
        config, operator_config = load(os.environ), load_operator_config(os.environ)
    except LoadBalancerError as error:
        print(f"loadbalancer: {error.line()}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, operator_config))
    except ListenError as error:
        print(f"loadbalancer: cannot listen: {error.line()}", file=sys.stderr)
        return 1
    return 0
