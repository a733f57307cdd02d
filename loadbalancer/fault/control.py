"""Accepts commands to a running fault proxy on a Unix or loopback socket.

Each command is one JSON object on a line of its own, and so is each answer:

    {"do": "strike", "connection": 3, "rule": {"kind": "delay", "direction": "to_client", "ms": 50}}
    {"do": "thaw", "connection": 3}        {"do": "refuse", "on": true}        {"do": "list"}

A command without `connection` applies to all open connections. An answer is {"ok": true, ...}, or
{"error": "...", "do": "..."} with what is wrong, where, and how to correct it.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.fault.address import Address
from loadbalancer.fault.proxied_connection import ProxiedConnection
from loadbalancer.fault.proxy import FaultProxy
from loadbalancer.fault.rules import FaultRule, FaultScript
from loadbalancer.fault.script import parse_script

MAX_COMMAND_BYTES = 1 << 20  # limit of one line
COMMAND_SOURCE = "command"  # stands in errors where a script has its file name

JsonObject = dict[str, Any]


class CommandError(LoadBalancerError, ValueError):
    """A command to the fault tool that cannot be carried out."""

    remedy: ClassVar[str] = (
        "send the command as docs/fault-tool.md shows it, with all its keys"
    )


class CommandMalformedError(CommandError):
    """A line to the fault tool that is not JSON."""

    code: ClassVar[str] = "CommandMalformed"
    remedy: ClassVar[str] = "send one JSON object per line and end it with a line feed"


class ConnectionClosedError(CommandError):
    """A command for a connection that is not open at the fault tool."""

    code: ClassVar[str] = "ConnectionClosed"
    remedy: ClassVar[str] = (
        'ask with {"do": "list"} which connections are open, and name one of them'
    )


def decode_command(line: bytes) -> Any:
    """Decodes one line of the control socket.

    Raises:
        CommandMalformedError: The line is not JSON.
    """
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as error:
        raise CommandMalformedError(f"not JSON: {error}") from None


class ControlServer:
    """Accepts commands for a fault proxy.

    Attributes:
        proxy: The proxy that the commands act on.
        server: The listening server; None before `start`.
        commands: Handlers by the value of a command's `do`.
    """

    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self.server: asyncio.Server | None = None
        self.commands: dict[str, Callable[[JsonObject], JsonObject]] = {
            "strike": self._inject,
            "thaw": self._thaw,
            "refuse": self._refuse,
            "clear": self._clear,
            "script": self._replace_script,
            "list": self._list,
        }

    async def start(self, address: Path | Address) -> None:
        """Listens for commands.

        Args:
            address: Path of a Unix socket, or a loopback address.

        Raises:
            OSError: The socket cannot be opened at this address.
        """
        if isinstance(address, Path):
            self.server = await asyncio.start_unix_server(
                self._serve, address, limit=MAX_COMMAND_BYTES
            )
        else:
            self.server = await asyncio.start_server(
                self._serve, *address, limit=MAX_COMMAND_BYTES
            )

    def close(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                writer.write(json.dumps(self.answer(line)).encode() + b"\n")
                await writer.drain()
        except (ValueError, ConnectionError):
            pass  # the line exceeds MAX_COMMAND_BYTES, or the client has disconnected
        finally:
            writer.close()

    def answer(self, line: bytes) -> JsonObject:
        """Carries out the command on one line and returns the answer, which may be an error."""
        try:
            command = decode_command(line)
            if not isinstance(command, dict) or command.get("do") not in self.commands:
                raise CommandError(
                    f'unknown command: "do" is one of {", ".join(self.commands)}'
                )
            return {"ok": True} | self.commands[command["do"]](command)
        except LoadBalancerError as error:
            return {"error": str(error), "do": error.advice}

    def _connections(self, command: JsonObject) -> list[ProxiedConnection]:
        """Returns the connections that a command applies to.

        Raises:
            ConnectionClosedError: The command names a connection that is not open.
        """
        if "connection" not in command:
            return list(self.proxy.connections.values())
        number = command["connection"]
        connection = (
            self.proxy.connections.get(number) if isinstance(number, int) else None
        )
        if connection is None:
            raise ConnectionClosedError(
                "is not open; the command `list` returns those that are",
                f"connection {number!r}",
            )
        return [connection]

    # ---- commands -------------------------------------------------------------------------------------

    def _inject(self, command: JsonObject) -> JsonObject:
        """Injects a fault, at once or from the next byte on, as its kind requires."""
        rule = _parse_rule(command.get("rule"))
        connections = self._connections(command)
        for connection in connections:
            connection.inject(rule)
        return {"connections": [connection.number for connection in connections]}

    def _thaw(self, command: JsonObject) -> JsonObject:
        """Resumes frozen connections."""
        connections = self._connections(command)
        for connection in connections:
            connection.thaw()
        return {"connections": [connection.number for connection in connections]}

    def _refuse(self, command: JsonObject) -> JsonObject:
        """Refuses new connections, or accepts them again."""
        if not isinstance(command.get("on"), bool):
            raise CommandError('"on" must be true or false')
        self.proxy.refusing = command["on"]
        return {}

    def _clear(self, command: JsonObject) -> JsonObject:
        """Removes all rules and resumes what is frozen: on one connection, or on all open and future ones."""
        for connection in self._connections(command):
            connection.clear_rules()
        if "connection" not in command:
            self.proxy.script = FaultScript(seed=self.proxy.script.seed)
            self.proxy.refusing = False
        return {}

    def _replace_script(self, command: JsonObject) -> JsonObject:
        """Replaces the script for connections that are accepted from now on."""
        table = command.get("script")
        if not isinstance(table, dict):
            raise CommandError('"script" must be a table with "seed" and "rule"')
        self.proxy.replace_script(parse_script(table, COMMAND_SOURCE))
        return {}

    def _list(self, command: JsonObject) -> JsonObject:
        """Returns the open connections, with the number of bytes forwarded in each direction."""
        return {
            "taken": self.proxy.accepted,
            "faults": self.proxy.faults,
            "open": [
                {"connection": number}
                | {
                    direction.value: forwarded
                    for direction, forwarded in connection.forwarded_bytes.items()
                }
                for number, connection in sorted(self.proxy.connections.items())
            ],
        }


def _parse_rule(table: Any) -> FaultRule:
    """Parses the rule of a `strike` command."""
    if not isinstance(table, dict):
        raise CommandError('"rule" must be a table with the keys of a rule in a script')
    return parse_script({"rule": [table]}, COMMAND_SOURCE).rules[0]
