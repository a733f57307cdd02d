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

END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True)
class FaultOptions:
    """The options of the command, by their names there."""

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
    "--listen", metavar="ADDRESS", help="Where clients connect: 127.0.0.1:9000."
)
@click.option("--to", "target", metavar="ADDRESS", help="Where they are passed on to.")
@click.option(
    "--member",
    "members",
    multiple=True,
    metavar="NAME=FRONT,REAL",
    help="Datagrams, in place of connections: others reach NAME at FRONT, its process listens at REAL.",
)
@click.option(
    "--script",
    type=click.Path(path_type=Path),
    help="What is done to the bytes; nothing without.",
)
@click.option("--seed", type=click.IntRange(0), help="In place of the script's own.")
@click.option(
    "--control", metavar="PATH|ADDRESS", help="A Unix or loopback socket for commands."
)
@click.option(
    "--log",
    type=click.File("a", lazy=False),
    default="-",
    help="A JSON line for each fault.",
)
@click.option(
    "--times",
    is_flag=True,
    help="Lines carry the seconds since the start; they then differ by run.",
)
@click.option(
    "--check", is_flag=True, help="Only read the script and say what is wrong with it."
)
def fault(**values: Any) -> None:
    """Delay, pace, cut, freeze, split and garble what passes between two loopback sockets.

    The same script gives the same faults at the same bytes of the same connections in each run. With
    --member, given for each of several, the [[datagram]] rules hold for what they send each other.
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
    """Between clients and a server."""
    if options.listen is None or options.target is None:
        raise OptionError(
            "needed, or --member for each of several that send datagrams",
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
        options.log.flush()  # whoever reads along sees each fault as it happens

    proxy = FaultProxy(script, target, write, options.times)
    asyncio.run(_serve_connections(proxy, listen, control))


def _control_address(text: str) -> Path | Address:
    if "/" in text or ":" not in text:
        return Path(text)
    return parse_loopback(text)


def _proxy_datagrams(options: FaultOptions) -> None:
    """Between named members."""
    if options.listen or options.target or options.control:
        raise OptionError("goes without --listen, --to and --control", "--member")
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
    """A script's seed and its rules for datagrams."""
    tables = read_tables(script) if script is not None else {}
    seed = parse_script(tables, str(script)).seed
    return seed, parse_datagram_rules(tables.get("datagram", []), str(script))


def _parse_members(texts: tuple[str, ...]) -> Mapping[str, tuple[Address, Address]]:
    """By member: its front, and where its process listens."""
    members: dict[str, tuple[Address, Address]] = {}
    for text in texts:
        name, equals, addresses = text.partition("=")
        front, comma, real = addresses.partition(",")
        if not (name and equals and comma) or name in members:
            raise OptionError(
                "write it as NAME=FRONT,REAL, each name once", f"--member {text}"
            )
        members[name] = parse_loopback(front), parse_loopback(real)
    return members


def _report_check(options: FaultOptions, rules: str, seed: int) -> None:
    click.echo(f"{options.script or 'no script'}: good, {rules}, seed {seed}.")


def _ended_by_signal() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    ended = asyncio.Event()
    for number in END_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    return ended


async def _serve_datagrams(
    proxy: DatagramProxy, members: Mapping[str, tuple[Address, Address]]
) -> None:
    """Runs until a signal ends it."""
    ended = _ended_by_signal()
    try:
        for name, (front, real) in members.items():
            with listening(f"--member {name}", front):
                host, port = await proxy.add(name, real, front)
            click.echo(f"fault: {name} is reached at {host}:{port}", err=True)
        proxy.start()
        await ended.wait()
    finally:
        proxy.close()
    click.echo(
        f"fault: {proxy.forwarded} passed on, {proxy.lost} lost, {proxy.unknown_senders} strays",
        err=True,
    )


async def _serve_connections(
    proxy: FaultProxy, listen: Address, control_at: Path | Address | None
) -> None:
    """Runs until a signal ends it."""
    ended = _ended_by_signal()
    control = ControlServer(proxy)
    with listening("--listen", listen):
        host, port = await proxy.start(listen)
    try:
        if control_at is not None:
            place = str(control_at) if isinstance(control_at, Path) else control_at
            with listening("--control", place):
                await control.start(control_at)
        target_host, target_port = proxy.target
        click.echo(
            f"fault: listening on {host}:{port}, to {target_host}:{target_port}",
            err=True,
        )
        await ended.wait()
    finally:
        control.close()
        await proxy.stop()
        if isinstance(control_at, Path):
            control_at.unlink(missing_ok=True)
    click.echo(f"fault: {proxy.accepted} connections, {proxy.faults} faults", err=True)
