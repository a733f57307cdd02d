"""Hosts the membership protocol on a UDP socket, and shows its state to operators.

The state machine in `loadbalancer.membership.swim` makes the decisions. This module provides the socket, one
timer for the next deadline, the monotonic clock (so that setting the wall clock has no effect) and the log
lines of changes. The socket is shared: other features open their own channels on `mux`. The module is
imported only where the operator configuration has `[membership]` and the platform lets nodes communicate with
each other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from time import monotonic_ns
from typing import TYPE_CHECKING, Any

import structlog

from loadbalancer.membership.messages import MemberState
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.membership.state import Member, MemberChange, SendDatagram
from loadbalancer.membership.swim import Swim
from loadbalancer.node.log import Log
from loadbalancer.node.udp import Udp
from loadbalancer.transports.interface import Address, TransportError
from loadbalancer.transports.mux import Mux

if TYPE_CHECKING:
    from loadbalancer.cells.layout import Layout
    from loadbalancer.cells.member_count import MemberCount
    from loadbalancer.node.features.records import RecordsHost

# A node that starts in a fleet of 300 others logs 300 member changes at once.
MAX_LOG_LINES_PER_S = 1000
BIND_RETRY_S = 0.2  # wait between two attempts to bind the socket
# An older census is counted again, even if no member has changed.
CENSUS_MAX_AGE_US = 10_000_000
US_PER_S = 1e6


def monotonic_us() -> int:
    """Returns the monotonic time in microseconds."""
    return monotonic_ns() // 1_000


class JsonLog(Log):
    """Writes JSON lines to standard error, with a rate limit like the rest of the node's log."""

    def frame(self, text: str) -> str:
        """Returns a JSON line unchanged, and the notice that lines were omitted as a JSON line."""
        if text.startswith("{"):
            return text
        return f'{{"event": "log lines omitted", "node": "{self.name}"}}'

    info = warning = Log.line  # structlog calls these with the rendered line


def json_logger(name: str) -> Any:
    """Returns a logger that writes JSON lines, each with the node's name in the key `node`."""
    return structlog.wrap_logger(
        JsonLog(name, MAX_LOG_LINES_PER_S),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(0),
        node=name,
    )


@dataclass(frozen=True)
class HostOptions:
    """How a node takes part in the membership.

    Attributes:
        local: This node as a member; port 0 stands for the port that is bound.
        settings: Settings of the membership protocol.
        listen: Address that the socket is bound to.
        seeds: Addresses of the members to join through.
        seed: Seed of the protocol's random numbers.
        start_fields: Additional fields of the log line "membership started".
    """

    local: Member
    settings: SwimSettings
    listen: Address
    seeds: tuple[Address, ...]
    seed: int
    start_fields: dict[str, Any] = field(default_factory=dict)


class MembershipHost:
    """Runs the membership protocol for one node.

    Attributes:
        options: How the node takes part.
        on_change: Called after the state of a member has changed.
        swim: The protocol's state machine; None while the socket is not bound.
        mux: Divides the socket into channels for the features.
        records_host: The hosted records; None until a feature uses them.
        unsent: Number of datagrams that the socket could not send.
        layout: The layout of cells; if set, records come only from members of this node's cell.
    """

    def __init__(
        self, options: HostOptions, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self.options = options
        self.on_change = on_change
        self.log = json_logger(options.local.name)
        self.swim: Swim | None = None
        self.udp = Udp(options.listen)
        self.mux = Mux(self.udp, options.settings.cluster)
        self.records_host: RecordsHost | None = None
        self.unsent = 0
        self.layout: Layout | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = 0
        self._binding: asyncio.Task[None] | None = None
        # Time of the count in monotonic microseconds, and its result.
        self._census: tuple[int, MemberCount] | None = None

    # ---- start and stop ------------------------------------------------------------------------------

    def start(self) -> None:
        """Joins the cluster as soon as the address can be bound.

        During an upgrade the previous process holds the port until its SIGTERM. If another program holds the
        port, this is logged once and binding is retried while the node serves requests.
        """
        self._binding = asyncio.get_running_loop().create_task(self._bind_and_join())

    async def _bind_and_join(self) -> None:
        bound = await self._bind()
        self.log.info(
            "membership started",
            listen="{}:{}".format(*bound),
            **self.options.start_fields,
        )
        local = replace(self.options.local, port=self.options.local.port or bound[1])
        self.swim = Swim(local, self.options.settings, self.options.seed)
        self._census = None
        self._perform(self.swim.join(monotonic_us(), self.options.seeds))

    async def _bind(self) -> Address:
        """Opens the socket, retrying until it succeeds, and returns the bound address."""
        is_logged = False
        while True:
            try:
                return await self.mux.open(self._on_datagram)
            except TransportError as error:
                if not is_logged:
                    listen = "{}:{}".format(*self.options.listen)
                    self.log.warning(
                        "membership start deferred",
                        listen=listen,
                        reason=error.what,
                        do=error.advice,
                    )
                is_logged = True
            await asyncio.sleep(BIND_RETRY_S)

    def stop(self, graceful: bool) -> None:
        """Stops the protocol and closes the socket.

        Args:
            graceful: Whether to leave the cluster. Otherwise no further datagram is sent, because another
                process of this node continues under its name, or the platform has forbidden communication
                between nodes.
        """
        if self._binding is not None:
            self._binding.cancel()
        if self._timer is not None:
            self._timer.cancel()
        swim, self.swim, self._census = self.swim, None, None
        if swim is not None and graceful:
            self._send(swim.leave(monotonic_us()))
        if self.records_host is not None:
            self.records_host.stop()
        self.mux.close()
        self.log.info("membership stopped", farewell=graceful)

    # ---- the socket and the timer --------------------------------------------------------------------

    def _on_datagram(self, data: bytes, source: Address) -> None:
        if self.swim is not None:
            self._perform(self.swim.receive(monotonic_us(), data, source))

    def _on_timer(self) -> None:
        self._timer = None
        if self.swim is not None:
            now_us = monotonic_us()
            is_due = now_us >= self.swim.next_deadline()
            self._perform(self.swim.tick(monotonic_us()) if is_due else [])

    def _send(self, actions: list[SendDatagram]) -> None:
        for action in actions:
            # Gossip may contain addresses that cannot be sent to.
            self.unsent += not self.mux.send(action.data, action.address)

    def _perform(self, actions: list[SendDatagram]) -> None:
        """Sends datagrams, logs changes, and sets the timer for the next deadline."""
        if self.swim is None:
            return
        self._send(actions)
        changes = self.swim.take_changes()
        for change in changes:
            self._log_change(change)
        self._schedule(self.swim.next_deadline())
        if changes:
            self._census = None
            if self.records_host is not None:
                self.records_host.set_live_members(self.addresses())
            self.on_change()

    def _schedule(self, deadline_us: int) -> None:
        """Sets the timer, unless an earlier one is pending, which sets the next timer when it fires."""
        if self._timer is not None and deadline_us >= self._timer_us:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = deadline_us
        delay_s = max(0, deadline_us - monotonic_us()) / US_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _log_change(self, change: MemberChange) -> None:
        self.log.info(
            "membership member changed",
            name=change.name,
            old=change.old,
            new=change.new,
            incarnation=change.incarnation,
            source=change.source,
            reason=change.reason,
        )

    # ---- records and cells ---------------------------------------------------------------------------

    def records(self) -> RecordsHost:
        """Returns the hosted records; the first call creates them."""
        if self.records_host is None:
            from loadbalancer.node.features.records import RecordsHost

            local, seed = self.options.local, self.options.seed
            self.records_host = RecordsHost(local.name, seed, self.mux.channel)
            if self.layout is not None:
                self.records_host.change_group(self.layout.digest.encode())
            self.records_host.set_live_members(self.addresses())
        return self.records_host

    def addresses(self) -> dict[str, Address]:
        """Returns the addresses by name of the live members of this node's cell, including this node.

        Without a layout these are all live members.
        """
        if self.swim is None:
            return {}
        if self.layout is not None:
            members, local = self.swim.members, self.swim.local
            names = self.census().cell
            return {name: members.get(name, local).address for name in names}
        return {member.name: member.address for member in self.swim.live_members()}

    def set_layout(self, layout: Layout | None) -> None:
        """Sets the layout of cells: records then come only from members of this node's cell.

        With None they come from all members.
        """
        if layout == self.layout:
            return
        self.layout, self._census = layout, None
        if self.records_host is not None:
            self.records_host.change_group(
                layout.digest.encode() if layout is not None else b""
            )
            self.records_host.set_live_members(self.addresses())

    def cell_names(self) -> list[str]:
        """Returns the names of the live members of this node's cell.

        Raises:
            ValueError: No layout is set.
        """
        return list(self.census().cell)

    def census(self) -> MemberCount:
        """Returns the members counted by cells; the count is not older than `CENSUS_MAX_AGE_US`.

        Raises:
            ValueError: No layout is set.
        """
        from loadbalancer.cells.member_count import MemberRow, count_members

        if self.layout is None:
            raise ValueError(
                "cannot count the members by cells: the member has no layout of cells"
            )
        now_us = monotonic_us()
        if self._census is None or now_us - self._census[0] > CENSUS_MAX_AGE_US:
            known = (
                []
                if self.swim is None
                else [self.swim.local, *self.swim.members.values()]
            )
            rows = (
                MemberRow(m.name, m.zone, m.is_live, m.state == MemberState.LEFT)
                for m in known
            )
            census = count_members(self.layout, self.options.local.name, rows)
            self._census = (now_us, census)
        return self._census[1]

    # ---- for operators -------------------------------------------------------------------------------

    def live_names(self) -> list[str]:
        """Returns the names of all members that are alive or only suspected, including this node."""
        if self.swim is None:
            return []
        return [member.name for member in self.swim.live_members()]

    def view(self) -> list[Member]:
        """Returns this node, followed by all known members sorted by name."""
        if self.swim is None:
            return []
        return [self.swim.local, *self.swim.sorted_members()]

    def table(self) -> tuple[bool, dict[str, Any]]:
        """Returns the page `/admin/membership`: whether the node has joined, and all members.

        Ages are in seconds.
        """
        now_us = monotonic_us()
        view = self.view()
        rows = [self._row(member, now_us) for member in view]
        if rows:
            # This node's information on itself is always current.
            rows[0]["age_s"] = 0.0
        return self.swim is not None, {"members": rows, **self.metrics()}

    def _row(self, member: Member, now_us: int) -> dict[str, Any]:
        since_us = member.state_since_us
        known_us = max(member.last_received_us, since_us)
        return {
            "name": member.name,
            "address": f"{member.host}:{member.port}",
            "zone": member.zone,
            "region": member.region,
            "state": member.state.name.lower(),
            "incarnation": member.incarnation,
            "reach": member.reach,
            "since_s": _seconds(now_us - since_us) if since_us else None,
            "age_s": _seconds(now_us - known_us),
        }

    def metrics(self) -> dict[str, Any]:
        """Returns the table `membership` of the node's metrics."""
        counts = dict.fromkeys((state.name.lower() for state in MemberState), 0)
        for member in self.view():
            counts[member.state.name.lower()] += 1
        if self.swim is None:
            return {"joined": False, "states": counts, "unsent": self.unsent}
        shared = {
            reason: number
            for reason, number in self.mux.counters.dropped.items()
            if reason in ("foreign", "unknown tag")
        }
        records = (
            {}
            if self.records_host is None
            else {"records": self.records_host.metrics()}
        )
        return {
            "joined": True,
            "states": counts,
            "health": self.swim.context.local_health,
            "incarnation": self.swim.local.incarnation,
            "unsent": self.unsent,
            "dropped": {**self.udp.counters.dropped, **shared},
            **self.swim.counters.__dict__,
            **records,
        }


def _seconds(duration_us: int) -> float:
    return round(duration_us / US_PER_S, 3)
