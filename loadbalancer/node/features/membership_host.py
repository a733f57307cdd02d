"""Hosts the membership protocol on a UDP socket, and shows operators what it knows.

Imported only where the operators' file has `[membership]` and the platform lets nodes talk to each other. The
state machine (`loadbalancer.membership.swim`) decides; here are the socket, one timer at its next deadline,
the monotonic clock (a clock that is set by hand moves nothing) and the log lines of changes. The socket is
shared: other features take channels of their own from `mux`.
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

# A node that starts among 300 others writes 300 lines of changes.
MAX_LOG_LINES_PER_S = 1000
BIND_RETRY_S = 0.2
# Then members are counted again, whether or not one changed
CENSUS_MAX_AGE_US = 10_000_000
US_PER_S = 1e6


def monotonic_us() -> int:
    """Monotonic time in microseconds."""
    return monotonic_ns() // 1_000


class JsonLog(Log):
    """JSON lines on standard error, limited per second like all of the node's log."""

    def frame(self, text: str) -> str:
        """The line itself; a JSON line for the notice that lines were omitted."""
        if text.startswith("{"):
            return text
        return f'{{"event": "log lines omitted", "node": "{self.name}"}}'

    info = warning = Log.line  # what structlog calls with a finished line


def json_logger(name: str) -> Any:
    """A logger of JSON lines that all name the node."""
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
        local: what the node says of itself; its port may be 0, for the port that is bound.
        listen: address of the socket.
        seeds: addresses of members to join through.
        seed: of the protocol's random draws.
        start_fields: further fields of the log line "membership started".
    """

    local: Member
    settings: SwimSettings
    listen: Address
    seeds: tuple[Address, ...]
    seed: int
    start_fields: dict[str, Any] = field(default_factory=dict)


class MembershipHost:
    """One node's part in the membership.

    `on_change` is called whenever the state of a member has changed.
    """

    def __init__(
        self, options: HostOptions, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self.options = options
        self.on_change = on_change
        self.log = json_logger(options.local.name)
        self.swim: Swim | None = None  # once there is a socket
        self.udp = Udp(options.listen)
        self.mux = Mux(self.udp, options.settings.cluster)
        # Once a feature has asked for records
        self.records_host: RecordsHost | None = None
        self.unsent = 0  # datagrams that no socket would take
        # Records come from the own cell alone, if set
        self.layout: Layout | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = 0
        self._binding: asyncio.Task[None] | None = None
        # With the time of the count
        self._census: tuple[int, MemberCount] | None = None

    # ---- start and stop ------------------------------------------------------------------------------

    def start(self) -> None:
        """Joins as soon as the address can be bound.

        In an upgrade the process before this one holds the port until its SIGTERM. A port that another
        program holds is logged once and tried again, while the node serves.
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
        """Opens the socket, however often it has to be tried; the address that is bound."""
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
        """Ends this process's part; with `graceful` it leaves the cluster.

        Without it not one more datagram goes out: another process of this node continues under its name, or
        the platform has forbidden nodes to talk.
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
            # Gossip may hold addresses that no socket can send to.
            self.unsent += not self.mux.send(action.data, action.address)

    def _perform(self, actions: list[SendDatagram]) -> None:
        """Sends datagrams, logs changes, and sets the timer for what comes next."""
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
        """Sets the timer; a later deadline is found when the earlier timer fires."""
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

    # ---- what builds on it ---------------------------------------------------------------------------

    def records(self) -> RecordsHost:
        """The records that spread among the members, from the first call on."""
        if self.records_host is None:
            from loadbalancer.node.features.records import RecordsHost

            local, seed = self.options.local, self.options.seed
            self.records_host = RecordsHost(local.name, seed, self.mux.channel)
            if self.layout is not None:
                self.records_host.change_group(self.layout.digest.encode())
            self.records_host.set_live_members(self.addresses())
        return self.records_host

    def addresses(self) -> dict[str, Address]:
        """Addresses of the live members of the own cell, this node included; of all without a layout."""
        if self.swim is None:
            return {}
        if self.layout is not None:
            members, local = self.swim.members, self.swim.local
            names = self.census().cell
            return {name: members.get(name, local).address for name in names}
        return {member.name: member.address for member in self.swim.live_members()}

    def set_layout(self, layout: Layout | None) -> None:
        """From now on records come from the own cell of this layout; None: from all members."""
        if layout == self.layout:
            return
        self.layout, self._census = layout, None
        if self.records_host is not None:
            self.records_host.change_group(
                layout.digest.encode() if layout is not None else b""
            )
            self.records_host.set_live_members(self.addresses())

    def cell_names(self) -> list[str]:
        """Names of the live members of the own cell.

        Raises:
            ValueError: there is no layout.
        """
        return list(self.census().cell)

    def census(self) -> MemberCount:
        """The members counted by cells, not older than `CENSUS_MAX_AGE_US`.

        Raises:
            ValueError: there is no layout.
        """
        from loadbalancer.cells.member_count import MemberRow, count_members

        if self.layout is None:
            raise ValueError("there are no cells")
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

    # ---- operators -----------------------------------------------------------------------------------

    def live_names(self) -> list[str]:
        """Names of all that are alive or merely suspected, this node included."""
        if self.swim is None:
            return []
        return [member.name for member in self.swim.live_members()]

    def view(self) -> list[Member]:
        """This node, then all known members by name."""
        if self.swim is None:
            return []
        return [self.swim.local, *self.swim.sorted_members()]

    def table(self) -> tuple[bool, dict[str, Any]]:
        """The page /admin/membership: whether it has joined, and all members with ages in seconds."""
        now_us = monotonic_us()
        view = self.view()
        rows = [self._row(member, now_us) for member in view]
        if rows:
            rows[0]["age_s"] = 0.0  # this node's knowledge of itself
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
        """Counts for the node's metrics."""
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
