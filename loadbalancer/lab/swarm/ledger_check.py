"""The nodes' ledgers held against what the stand-in servers counted."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import Any

from loadbalancer.audit.ledger_entries import counts_by_name
from loadbalancer.audit.ledger_reader import read
from loadbalancer.config.operator_config import build
from loadbalancer.errors import LoadBalancerError
from loadbalancer.lab.swarm.audits import Held, matched
from loadbalancer.lab.swarm.nodes import NodeProcess
from loadbalancer.lab.swarm.observe import Life
from loadbalancer.lab.swarm.script import Swarm
from loadbalancer.stores.factory import open_store

KILL_LOSS_S = 1.0  # before a kill of which a ledger may know nothing

AskAuditPage = Callable[[NodeProcess], Awaitable[dict[str, Any] | None]]


@dataclass
class LedgerCount:
    """Attempts that came to a server, and how many of them a ledger has under the right version."""

    arrived: int = 0
    right: int = 0

    @property
    def ratio(self) -> float | None:
        """The right ones over all; None where none arrived."""
        return self.right / self.arrived if self.arrived else None


class LedgerCheck:
    """Compares the ledgers of one run.

    Args:
        swarm: The script.
        nodes: Real nodes by name.
        faults: The run's log, to which differences are added.
        ask_page: Fetches a node's audit page; None from a node that does not answer.
    """

    def __init__(
        self,
        swarm: Swarm,
        nodes: Mapping[str, NodeProcess],
        faults: list[dict[str, Any]],
        ask_page: AskAuditPage,
    ) -> None:
        self.swarm = swarm
        self.nodes = nodes
        self.faults = faults
        self.ask_page = ask_page
        self.alive = LedgerCount()
        self.killed = LedgerCount()

    async def figures(
        self,
        lives_by_node: Mapping[str, list[Life]],
        arrivals: Mapping[str, list[tuple[float, int]]],
    ) -> dict[str, float | None]:
        """The ratio of right attempts in ledgers of processes that live, and that were killed.

        Args:
            lives_by_node: The processes of each real node, in order.
            arrivals: By node the time and the server of each attempt that came to one.
        """
        for name, lives in lives_by_node.items():
            if any(life.how in ("leave", "upgrade") for life in lives):
                continue
            times = [at for at, _ in arrivals.get(name, ())]
            page = await self.ask_page(self.nodes[name])
            versions = (
                versions_of_page(page["ledger"])
                if page is not None
                else self.versions_in_store(name)
            )
            self._compare_node(name, lives, versions, times)
        return {
            "in_ledger": self.alive.ratio,
            "in_ledger_of_killed": self.killed.ratio,
        }

    def _compare_node(
        self, name: str, lives: list[Life], versions: list[Held], times: list[float]
    ) -> None:
        """Compares the parts of one node's ledger that killed processes and the last one wrote."""
        kills = [life.end for life in lives if life.end is not None]
        if not kills:
            self._compare(self.alive, name, versions, times, inf)
            return
        is_alive = lives[-1].end is None
        last_life = max((v.life for v in versions), default=0) if is_alive else inf
        before_kill = [at for at in times if at < kills[-1]]
        of_killed = [v for v in versions if v.life < last_life]
        self._compare(
            self.killed, name, of_killed, before_kill, kills[-1] - KILL_LOSS_S
        )
        if is_alive:
            of_last = [v for v in versions if v.life == last_life]
            self._compare(self.alive, name, of_last, times[len(before_kill) :], inf)

    def _compare(
        self,
        count: LedgerCount,
        name: str,
        versions: Sequence[Held],
        times: list[float],
        until: float,
    ) -> None:
        """Counts one part of a ledger; a difference is logged with all that is known of it."""
        arrived, right = matched(versions, times, until)
        if arrived != right:
            held = [
                (
                    round(version.taken, 3),
                    dict(version.attempts),
                    bisect_left(times, version.taken),
                )
                for version in versions
            ]
            self.faults.append(
                {
                    "fault": "ledger",
                    "nodes": [name],
                    "came": arrived,
                    "right": right,
                    "held": held,
                }
            )
        count.arrived += arrived
        count.right += right

    def versions_in_store(self, name: str) -> list[Held]:
        """The ledger that a killed node has left in its store; empty if it cannot be read."""
        table = build({"store": self.swarm.store or {}}, "script").store
        assert table is not None
        folder = replace(
            table.store_config(), path=str(self.nodes[name].folder / "store")
        )
        try:
            store = open_store(folder, name) if table.kind != "memory" else None
            if store is None:
                return []
            state = read(store.read("audit"), name).state
            store.close()
        except LoadBalancerError as error:
            self.faults.append(
                {
                    "at_s": 0.0,
                    "fault": "ledger of a killed node",
                    "nodes": [name],
                    "why": error.line(),
                }
            )
            return []
        return [
            Held(
                record.incarnation,
                record.activated_at / 1e6,
                counts_by_name(record.attempts),
            )
            for record in state.records
            if record.key.source == "list"
        ]


def versions_of_page(ledger: dict[str, Any]) -> list[Held]:
    """The list's versions of `/admin/audit`."""
    now_s = ledger["now_us"] / 1e6
    return [
        Held(
            row["life"],
            now_s - row["taken_s_ago"] if row["taken_s_ago"] is not None else 0.0,
            row["attempts"],
        )
        for row in ledger["versions"]
        if row["source"] == "list"
    ]
