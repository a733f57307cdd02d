"""`loadbalancer fault`: a proxy between two loopback sockets that injects the faults of a script."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

import click

from loadbalancer.cli.exit import OptionError, exit_with_error
from loadbalancer.errors import LoadBalancerError
from loadbalancer.fault.address import Address, parse_loopback
from loadbalancer.fault.control import ControlServer
from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.fault.datagram_proxy import DatagramProxy
from loadbalancer.fault.datagram_rules import DatagramRule, parse_datagram_rules
from loadbalancer.fault.proxy import FaultProxy
from loadbalancer.fault.rules import FaultScript
from loadbalancer.fault.script import load_script, parse_script, read_tables
from loadbalancer.node.listen import ListenError, listening

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True)
class FaultOptions:
    """The options of the command.

    Attributes:
        listen: Address that clients connect to.
        target: Address of the server.
        members: Members that exchange datagrams, as NAME=FRONT,REAL.
        script: File of the fault script; None for no faults.
        seed: Replaces the seed of the script.
        control: Path of a Unix socket, or address, that accepts commands.
        log: Receives the log, one JSON line for each fault.
        times: Whether the lines carry the seconds since the start.
        check: Whether to check the script only.
    """

    listen: str | None
    target: str | None
    members: tuple[str, ...]
    script: Path | None
    seed: int | None
    control: str | None
    log: TextIO
    times: bool
    check: bool


@click.command()
@click.option(
    "--listen",
    metavar="ADDRESS",
    help="Address that clients connect to, such as 127.0.0.1:9000.",
)
@click.option("--to", "target", metavar="ADDRESS", help="Address of the server.")
@click.option(
    "--member",
    "members",
    multiple=True,
    metavar="NAME=FRONT,REAL",
    help="Proxy datagrams: others reach member NAME at FRONT, its process listens on REAL. Repeatable.",
)
@click.option(
    "--script",
    type=click.Path(path_type=Path),
    help="Fault script (TOML); without it no fault is injected.",
)
@click.option("--seed", type=click.IntRange(0), help="Replaces the seed of the script.")
@click.option(
    "--control",
    metavar="PATH|ADDRESS",
    help="Unix or loopback socket that accepts commands.",
)
@click.option(
    "--log",
    type=click.File("a", lazy=False),
    default="-",
    help="File to which each fault is appended as a JSON line; - is standard output.",
)
@click.option(
    "--times",
    is_flag=True,
    help="Add the seconds since the start to each line; the log then differs between runs.",
)
@click.option("--check", is_flag=True, help="Only check the script.")
def fault(**values: Any) -> None:
    """Delay, pace, cut, freeze, split and corrupt traffic between two loopback sockets.

    The same script injects the same faults at the same bytes of the same connections in every run. With
    --member, given once for each member, the [[datagram]] rules apply to the datagrams between the members.
    """
    options = FaultOptions(**values)
    try:
        if options.members:
            _proxy_datagrams(options)
        else:
            _proxy_connections(options)
    except ListenError as error:
        exit_with_error(error, "cannot listen: ")
    except LoadBalancerError as error:
        exit_with_error(error)


def _proxy_connections(options: FaultOptions) -> None:
    """Runs the proxy for connections between clients and a server."""
    if options.listen is None or options.target is None:
        raise OptionError(
            "both are required, unless --member is given for each member that sends datagrams",
            "--listen and --to",
        )
    script = FaultScript()
    if options.script is not None:
        script = load_script(options.script)
    listen, target = parse_loopback(options.listen), parse_loopback(options.target)
    control = None
    if options.control is not None:
        control = _control_address(options.control)
    if options.seed is not None:
        script = FaultScript(seed=options.seed, rules=script.rules)
    if options.check:
        _report_check(options, f"{len(script.rules)} rules", script.seed)
        return

    def write(line: str) -> None:
        options.log.write(line + "\n")
        options.log.flush()  # a reader of the log sees each fault as it happens

    proxy = FaultProxy(script, target, write, options.times)
    asyncio.run(_serve_connections(proxy, listen, control))


def _control_address(text: str) -> Path | Address:
    """Parses --control: a text with a slash or without a colon is a path."""
    if "/" in text or ":" not in text:
        return Path(text)
    return parse_loopback(text)


def _proxy_datagrams(options: FaultOptions) -> None:
    """Runs the proxy for datagrams between named members."""
    if options.listen or options.target or options.control:
        raise OptionError(
            "cannot be combined with --listen, --to and --control", "--member"
        )
    seed, rules = _load_datagram_rules(options.script)
    members = _parse_members(options.members)
    if options.seed is not None:
        seed = options.seed
    if options.check:
        _report_check(options, f"{len(rules)} rules for datagrams", seed)
        return

    def write(line: dict[str, Any]) -> None:
        options.log.write(json.dumps(line) + "\n")
        options.log.flush()

    proxy = DatagramProxy(DatagramPlan(rules, seed), write)
    asyncio.run(_serve_datagrams(proxy, members))


def _load_datagram_rules(script: Path | None) -> tuple[int, tuple[DatagramRule, ...]]:
    """Reads the seed of a script and its rules for datagrams."""
    tables = read_tables(script) if script is not None else {}
    seed = parse_script(tables, str(script)).seed
    return seed, parse_datagram_rules(tables.get("datagram", []), str(script))


def _parse_members(texts: tuple[str, ...]) -> Mapping[str, tuple[Address, Address]]:
    """Parses --member options.

    Returns:
        The proxy address and the process's address of each member, by name.
    """
    members: dict[str, tuple[Address, Address]] = {}
    for text in texts:
        name, equals, addresses = text.partition("=")
        proxy_address, comma, process_address = addresses.partition(",")
        if not (name and equals and comma) or name in members:
            raise OptionError(
                "must be NAME=FRONT,REAL, with a different name for each member",
                f"--member {text}",
            )
        members[name] = parse_loopback(proxy_address), parse_loopback(process_address)
    return members


def _report_check(options: FaultOptions, rules: str, seed: int) -> None:
    """Prints the result of --check."""
    click.echo(f"{options.script or 'no script'}: valid, {rules}, seed {seed}.")


def _stop_on_signal() -> asyncio.Event:
    """Returns an event that is set by SIGTERM and SIGINT."""
    stopped = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    return stopped


async def _serve_datagrams(
    proxy: DatagramProxy, members: Mapping[str, tuple[Address, Address]]
) -> None:
    """Runs the datagram proxy until a signal stops it."""
    stopped = _stop_on_signal()
    try:
        for name, (proxy_address, process_address) in members.items():
            with listening(f"--member {name}", proxy_address):
                host, port = await proxy.add(name, process_address, proxy_address)
            click.echo(f"fault: {name} is reached at {host}:{port}", err=True)
        proxy.start()
        await stopped.wait()
    finally:
        proxy.close()
    click.echo(
        f"fault: {proxy.forwarded} forwarded, {proxy.lost} lost,"
        f" {proxy.unknown_senders} from unknown senders",
        err=True,
    )


async def _serve_connections(
    proxy: FaultProxy, listen: Address, control_address: Path | Address | None
) -> None:
    """Runs the connection proxy, and its control socket if it has one, until a signal stops it."""
    stopped = _stop_on_signal()
    control = ControlServer(proxy)
    with listening("--listen", listen):
        host, port = await proxy.start(listen)
    try:
        if control_address is not None:
            shown_address = (
                str(control_address)
                if isinstance(control_address, Path)
                else control_address
            )
            with listening("--control", shown_address):
                await control.start(control_address)
        target_host, target_port = proxy.target
        click.echo(
            f"fault: listening on {host}:{port}, to {target_host}:{target_port}",
            err=True,
        )
        await stopped.wait()
    finally:
        control.close()
        await proxy.stop()
        if isinstance(control_address, Path):
            control_address.unlink(missing_ok=True)
    click.echo(f"fault: {proxy.accepted} connections, {proxy.faults} faults", err=True)
