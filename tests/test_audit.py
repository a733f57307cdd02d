"""The audit feature: several nodes on one event loop, with fake records, channels and discoveries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from time import monotonic_ns
from typing import Any, cast

import pytest
from loopback import play, until

from loadbalancer.audit import status as audit_status
from loadbalancer.audit.ledger import Ledger
from loadbalancer.config.operator_config import (
    OperatorConfig,
    OperatorConfigError,
    build,
)
from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing
from loadbalancer.node.features.audit import AuditFeature
from loadbalancer.node.features.feature import (
    ALLOWED,
    Answer,
    AttemptEnd,
    Change,
    FeatureError,
    FeatureHost,
    ListUpdate,
    Version,
    VersionSource,
)
from loadbalancer.node.features.known_endpoints import KnownEndpoints
from loadbalancer.policy.api import EndpointState, ListUpdateKind, Outcome
from loadbalancer.records.interface import Record
from loadbalancer.stores.interface import Store, StoreFullError, StoreLockedError
from loadbalancer.stores.memory import MemoryStore

FAST_TABLE = {
    "numbering": "d",
    "lag_s": 0.3,
    "silence_s": 0.4,
    "hold_s": 0.2,
    "flush_s": 0.05,
}


def line(name: str, state: EndpointState = EndpointState.READY) -> Line:
    return Line(name, "10.0.0.1", 80, "a", "std", 0, state, 1.0, 0)


class FakeNetwork:
    """What the nodes share: records that arrive without delay, and channels."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], Record] = {}
        self.hosts: dict[str, FakeHost] = {}


class FakeHost:
    """The feature host of one node; also acts as its records, its channel and its discovery."""

    max_datagram_bytes = 1_300

    def __init__(
        self,
        network: FakeNetwork,
        name: str,
        audit_table: dict[str, Any],
        store: Store | None = None,
    ) -> None:
        self.network, self.name = network, name
        self.loop = asyncio.get_running_loop()
        self.config = build({"audit": audit_table}, "operator.toml")
        self.stored: Store = store or MemoryStore()
        self.logged: list[dict[str, Any]] = []
        self.merged_lines: list[Line] = []
        self.change_answer: Answer = ALLOWED
        self.has_no_membership = False
        self.is_store_locked = False
        self.fetch_count = 0
        self.quarantined: bool | None = None
        self.received: Callable[[bytes, tuple[str, int]], None] = lambda data, source: (
            None
        )
        network.hosts[name] = self
        self.feature = AuditFeature()

    def now(self) -> int:
        return monotonic_ns() // 1000

    def wall_clock(self) -> int:
        return 10**15

    def seed(self) -> int:
        return 7

    def log_event(self, event: str, **fields: Any) -> None:
        self.logged.append({"event": event, **fields})

    def operator_config(self) -> OperatorConfig:
        return self.config

    def live_members(self) -> list[str]:
        return list(self.network.hosts)

    def cell_members(self) -> list[str]:
        return self.live_members()

    def member_address(self, name: str) -> tuple[str, int]:
        return name, 1

    def channel(
        self, tag: int, received: Callable[[bytes, tuple[str, int]], None]
    ) -> FakeHost:
        self.received = received
        return self

    def send(self, data: bytes, to: tuple[str, int]) -> bool:
        assert len(data) <= self.max_datagram_bytes
        if to[0] in self.network.hosts:
            self.loop.call_soon(
                self.network.hosts[to[0]].received, data, (self.name, 1)
            )
        return True

    def close(self) -> None: ...

    def records(self) -> FakeHost:
        if self.has_no_membership:
            raise FeatureError("there is no membership")
        return self

    def put(self, kind: str, body: bytes) -> None:
        old = self.get(self.name, kind)
        version = old.version + 1 if old is not None else 1
        self.network.records[self.name, kind] = Record(self.name, kind, version, body)

    def get(self, owner: str, kind: str) -> Record | None:
        return self.network.records.get((owner, kind))

    def of(self, kind: str) -> list[Record]:
        return [r for (_, k), r in self.network.records.items() if k == kind]

    def store(self) -> Store:
        if self.is_store_locked:
            raise StoreLockedError("another process holds it")
        return self.stored

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        then(self.change_answer)

    def fetch_endpoint_list(self) -> None:
        self.fetch_count += 1

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None:
        self.merged_lines += lines

    def set_quarantined(self, quarantined: bool, reason: str) -> None:
        self.quarantined = quarantined

    # ---- used by the tests ----------------------------------------------------------------------------

    def start(self) -> FakeHost:
        self.feature.start(cast(FeatureHost, self))
        observer = self.feature.context.evaluator.observer
        observer.rules = replace(observer.rules, settle_us=200_000)
        return self

    def receive_list(self, number: int, lines: list[Line], more: bool = False) -> None:
        """Lets the node receive a complete list, or its first lines if `more` are to come."""
        endpoints = KnownEndpoints()
        endpoints.update(
            Listing(ListUpdateKind.FULL, number, tuple(lines)), "here", False
        )
        version = Version(
            VersionSource.LIST,
            f"agent of {self.name}",
            number,
            "" if more else endpoints.digest(),
        )
        self.feature.on_list_update(
            ListUpdate(version, ListUpdateKind.FULL, tuple(lines), more)
        )
        if not more:
            self.feature.on_version(version)

    def attempts(self, count: int) -> None:
        for _ in range(count):
            self.feature.on_attempt_end(
                AttemptEnd("s", "c", Outcome.OK, self.now(), self.now(), None, None)
            )

    def events(self, name: str) -> list[dict[str, Any]]:
        return [e for e in self.logged if e["event"] == name]

    def health_of(self, name: str) -> str:
        view = self.feature.view
        return view.health[name].state.value if view and name in view.health else ""


LIST = [line(f"s{i}") for i in range(40)]
NEXT_LIST = [
    line("s0", EndpointState.DRAINING),
    *LIST[3:],
    line("new"),
]  # without s1 and s2


async def fleet(network: FakeNetwork, count: int = 4, **table: Any) -> list[FakeHost]:
    hosts = [
        FakeHost(network, f"n{i}", FAST_TABLE | table).start() for i in range(count)
    ]
    for host in hosts:
        host.receive_list(1, LIST)
    await until(lambda: all(h.feature.view and h.feature.view.settled for h in hosts))
    await until(
        lambda: all(h.health_of(o.name) == "current" for h in hosts for o in hosts)
    )
    return hosts


async def close(hosts: list[FakeHost]) -> None:
    for host in hosts:
        host.feature.stop(True)


def test_a_node_with_a_silent_discovery_adopts_the_quorums_list_from_peers() -> None:
    async def run() -> None:
        hosts = await fleet(FakeNetwork())
        behind = hosts[3]
        behind.attempts(3)
        fetches_before = behind.fetch_count
        for host in hosts[:3]:
            host.receive_list(2, NEXT_LIST)
        await until(lambda: hosts[0].health_of("n3") == "lagging")
        await until(lambda: behind.feature.context.endpoints.local.adopted is not None)
        assert behind.fetch_count > fetches_before  # its own discovery first
        merged = {one.id: one.state for one in behind.merged_lines}
        assert merged == {
            "s0": EndpointState.DRAINING,
            "s1": EndpointState.GONE,
            "s2": EndpointState.GONE,
            "new": EndpointState.READY,
        }
        assert (
            behind.merged_lines[-1].id == "new"
        )  # drains and removals before new endpoints
        behind.attempts(2)
        rows = {
            r["number"]: r
            for r in behind.feature.page()[1]["ledger"]["versions"]
            if r["source"] == "list"
        }
        assert (rows[1]["attempts"], rows[2]["attempts"]) == ({"ok": 3}, {"ok": 2})
        assert rows[2]["told_by"] in ("n0", "n1", "n2")
        await until(lambda: hosts[0].health_of("n3") == "current")
        assert behind.events("audit catch-up finished")[0]["after_deadline_s"] < 2
        assert not behind.quarantined
        await close(hosts)

    play(run)


def test_new_servers_wait_for_a_grant_and_drains_do_not() -> None:
    async def run() -> None:
        hosts = await fleet(FakeNetwork())
        behind = hosts[3]
        behind.change_answer = Answer(False, "an incident is open", 1.0)
        for host in hosts[:3]:
            host.receive_list(2, NEXT_LIST)
        await until(lambda: bool(behind.events("audit remediation deferred")))
        assert {one.id for one in behind.merged_lines} == {"s0", "s1", "s2"}
        assert behind.feature.context.endpoints.local.adopted is None
        behind.feature.on_change_made(Change.SETTINGS, "", (3, 8))
        assert behind.feature.ledger.state.actions[-1].grant == (3, 8)
        behind.change_answer = Answer(True, fencing_token=(3, 9))
        await until(lambda: behind.feature.context.endpoints.local.adopted is not None)
        assert behind.merged_lines[-1].id == "new"
        assert behind.feature.ledger.state.actions[-1].grant == (3, 9)
        await close(hosts)

    play(run)


def test_endpoints_that_differ_from_the_quorums_list_are_rejected() -> None:
    async def run() -> None:
        hosts = await fleet(FakeNetwork())
        for host in hosts[:3]:
            host.receive_list(2, NEXT_LIST)
            host.feature.context.endpoints.endpoints["s9"] = line(
                "s9", EndpointState.DRAINING
            )  # the peers send other content than the quorum holds
        await until(lambda: bool(hosts[3].events("audit endpoints rejected")))
        assert not hosts[3].merged_lines
        await close(hosts)

    play(run)


def test_a_straggler_that_cannot_catch_up_is_quarantined_until_it_holds_the_frontier() -> (
    None
):
    async def run() -> None:
        table = {"out_after_s": 0.5, "out_share_percent": 25.0, "in_after_s": 0.3}
        hosts = await fleet(FakeNetwork(), **table)
        for host in hosts:
            host.feature.context.evaluator.remediator.update_rules(
                replace(
                    host.feature.context.evaluator.remediator.rules,
                    vote_embargo_us=0,
                    min_request_age_us=300_000,
                    max_rounds=1,
                )
            )
        behind = hosts[3]
        for host in hosts[:3]:
            host.receive_list(2, NEXT_LIST)
            host.feature.endpoint_exchange.channel = None  # no peer sends the list
        await until(lambda: behind.quarantined is True)
        assert [h.quarantined for h in hosts[:3]] == [None, None, None]
        assert behind.feature.ledger.state.actions[-1].what == "shut-out"
        behind.receive_list(2, NEXT_LIST)
        await until(lambda: behind.quarantined is False)
        await close(hosts)

    play(run)


def test_a_restart_continues_the_stored_ledger_and_logs_how_the_last_incarnation_ended() -> (
    None
):
    async def run() -> None:
        network, store = FakeNetwork(), MemoryStore()
        first = FakeHost(network, "n0", FAST_TABLE, store).start()
        first.receive_list(5, LIST)
        first.attempts(4)
        await until(
            lambda: (
                first.feature.ledger.unsaved_attempts == 0
                and bool(first.feature.ledger.state.records)
            )
        )
        first.attempts(1)
        first.feature.timer = first.feature.flush_timer = (
            None  # killed: no entry for the stop
        )
        second = FakeHost(network, "n0", FAST_TABLE, store).start()
        started = second.events("audit started")[0]
        assert (started["incarnation"], started["killed"]) == (2, True)
        second.receive_list(5, LIST)
        second.attempts(2)
        second.feature.stop(True)
        third = FakeHost(network, "n0", FAST_TABLE, store).start()
        assert third.events("audit started")[0]["killed"] is False
        assert (
            sum(third.feature.ledger.state.attempts()) == 4 + 2
        )  # the fifth was lost when the process was killed
        third.feature.stop(True)

    play(run)


def test_an_outdated_store_does_not_reuse_an_incarnation_that_others_have_seen() -> (
    None
):
    async def run() -> None:
        network = FakeNetwork()
        hosts = [FakeHost(network, f"n{i}", FAST_TABLE).start() for i in range(3)]
        hosts[0].receive_list(5, LIST)
        await until(lambda: ("n0", "audit") in network.records)
        again = FakeHost(
            network, "n0", FAST_TABLE, MemoryStore()
        ).start()  # with the same name and an empty store
        again.receive_list(5, LIST)
        await until(lambda: again.feature.ledger.state.incarnation == 2)
        assert again.events("audit incarnation advanced")
        await close([again, *hosts])

    play(run)


def test_a_corrupt_ledger_is_logged_and_kept_and_the_node_starts_another() -> None:
    async def run() -> None:
        store = MemoryStore()
        ledger = Ledger()
        ledger.start_incarnation("n0", 1, 1)
        for data, _ in ledger.flush(2):
            store.append("audit", data[:-1] + bytes([data[-1] ^ 1]))
        host = FakeHost(FakeNetwork(), "n0", FAST_TABLE, store).start()
        event = host.events("audit ledger corrupt")[0]
        assert event["error"] == "LedgerBroken"
        assert "batch 1" in event["where"]
        assert event["do"]
        host.receive_list(5, LIST)
        host.feature.stop(True)
        assert store.names()[1] == ["audit", "audit-0002"]
        assert len(list(store.read("audit"))) == 1  # unchanged
        again = FakeHost(FakeNetwork(), "n0", FAST_TABLE, store).start()
        assert again.feature.ledger.state.incarnation == 2
        assert not again.events("audit ledger corrupt")
        again.feature.stop(True)

    play(run)


def test_entries_made_before_the_store_is_available_are_kept_in_order() -> None:
    async def run() -> None:
        network, store = FakeNetwork(), MemoryStore()
        first = FakeHost(network, "n0", FAST_TABLE, store).start()
        first.receive_list(1, LIST)
        first.attempts(1)
        first.feature.stop(True)
        second = FakeHost(network, "n0", FAST_TABLE, store)
        second.is_store_locked = True  # the previous process holds it, as in an upgrade
        second.start()
        second.receive_list(1, LIST)
        second.attempts(5)
        second.receive_list(2, NEXT_LIST)
        second.attempts(7)
        second.is_store_locked = False
        await until(lambda: second.feature.context.store.store is not None)
        second.attempts(1)
        second.feature.stop(True)
        third = FakeHost(network, "n0", FAST_TABLE, store).start()
        rows = [
            (r.incarnation, r.key.number, sum(r.attempts))
            for r in third.feature.ledger.state.records
        ]
        assert [r for r in rows if r[2]] == [(1, 1, 1), (2, 1, 5), (2, 2, 8)]
        third.feature.stop(True)

    play(run)


def test_a_full_store_loses_no_attempt_once_it_has_free_space() -> None:
    class Full(MemoryStore):
        full = False

        def append(self, log: str, data: bytes) -> int:
            if self.full:
                raise StoreFullError("no free space")
            return super().append(log, data)

    async def run() -> None:
        store = Full()
        host = FakeHost(FakeNetwork(), "n0", FAST_TABLE, store).start()
        host.receive_list(1, LIST)
        store.full = True
        for number in range(2, 90):
            host.receive_list(number, LIST)
            host.attempts(1)
            host.feature.context.store.write()
        assert host.events("audit ledger write failed")
        assert host.feature.page()[0] is False
        store.full = False
        host.feature.context.store.write()
        assert host.feature.page()[0] is True
        host.feature.stop(True)
        again = FakeHost(FakeNetwork(), "n0", FAST_TABLE, store).start()
        assert sum(again.feature.ledger.state.attempts()) == 88
        again.feature.stop(True)

    play(run)


def test_without_a_membership_the_node_keeps_its_own_ledger() -> None:
    async def run() -> None:
        host = FakeHost(FakeNetwork(), "n0", FAST_TABLE)
        host.has_no_membership = True
        host.start()
        host.receive_list(1, LIST)
        host.attempts(2)
        healthy, page = host.feature.page()
        assert healthy
        assert "fleet" not in page
        assert page["ledger"]["versions"][0]["attempts"] == {"ok": 2}
        host.feature.stop(True)

    play(run)


def test_an_incomplete_list_is_not_a_version_yet() -> None:
    async def run() -> None:
        host = FakeHost(FakeNetwork(), "n0", FAST_TABLE).start()
        host.receive_list(1, LIST[:20], more=True)
        assert host.feature.context.endpoints.local.list_version is None
        assert not host.feature.context.endpoints.endpoints
        host.receive_list(1, LIST[20:])
        assert len(host.feature.context.endpoints.endpoints) == 40
        host.feature.stop(True)

    play(run)


@pytest.mark.parametrize(
    ("table", "message"),
    [
        (
            {"agents": ["discovery:8500"]},
            "audit.agents.0.: 'discovery:8500' is not an address",
        ),
        ({"lag": 1}, "audit.lag: unknown key; did you mean lag_s?"),
        ({"out_share_percent": 101}, "audit.out_share_percent"),
    ],
)
def test_an_invalid_table_names_the_key(table: dict[str, Any], message: str) -> None:
    with pytest.raises(OperatorConfigError, match=message):
        build({"audit": table}, "operator.toml")


def test_membership_changes_do_not_republish_statuses() -> None:
    """Failure prevented: the death of one node makes thousands publish a status and fetch all others."""

    async def run() -> None:
        hosts = await fleet(FakeNetwork(), 3)
        await asyncio.sleep(
            0.6
        )  # changes by the first observations have been published by now
        before = {h.name: h.get(h.name, audit_status.KIND) for h in hosts}
        entries = hosts[0].feature.ledger.state.entries
        for number in range(1, 5):
            for host in hosts:
                host.feature.on_version(
                    Version(VersionSource.MEMBERS, host.name, number, f"{number:016x}")
                )
            await asyncio.sleep(0.3)
        assert (
            hosts[0].feature.ledger.state.entries > entries
        )  # its own ledger records them
        assert {h.name: h.get(h.name, audit_status.KIND) for h in hosts} == before
        await close(hosts)

    play(run)


def test_the_chain_head_and_the_membership_epoch_are_republished_at_intervals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(audit_status, "RENEWAL_US", 500_000)
    monkeypatch.setattr(audit_status, "RENEWAL_PER_LISTENER_US", 0)

    async def run() -> None:
        hosts = await fleet(FakeNetwork(), 3)
        hosts[0].feature.on_version(Version(VersionSource.MEMBERS, "n0", 7, "e" * 16))

        def received_status() -> audit_status.StatusRecord | None:
            record = hosts[1].get("n0", audit_status.KIND)
            return audit_status.decode(record.body) if record is not None else None

        await until(
            lambda: (
                (w := received_status()) is not None
                and w.membership_epoch == 7
                and w.ledger_entries > 1
            )
        )
        await close(hosts)

    play(run)


def test_the_renewal_interval_of_statuses_grows_with_the_number_of_listeners() -> None:
    assert [
        audit_status.renewal_interval_us(n) / 1e6 for n in (1, 15, 40, 70, 2_800)
    ] == [
        30,
        30,
        80,
        140,
        5_600,
    ]
    # Each node receives n statuses in an interval that grows with n: no higher rate in a large fleet.
    assert all(
        1e6 * n / audit_status.renewal_interval_us(n) <= 0.5 for n in range(1, 10_000)
    )
