"""The hosted audit: parts of several nodes on one loop, with the test's records, channels and discoveries."""

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

QUICK = {
    "numbering": "d",
    "lag_s": 0.3,
    "silence_s": 0.4,
    "hold_s": 0.2,
    "flush_s": 0.05,
}


def line(name: str, state: EndpointState = EndpointState.READY) -> Line:
    return Line(name, "10.0.0.1", 80, "a", "std", 0, state, 1.0, 0)


class Net:
    """What the nodes share: records that arrive at once, and channels."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, str], Record] = {}
        self.hosts: dict[str, FakeHost] = {}


class FakeHost:
    """One node's host; `self` is the records, the channel and the discovery at the same time."""

    max_datagram_bytes = 1_300

    def __init__(
        self, net: Net, name: str, wish: dict[str, Any], store: Store | None = None
    ) -> None:
        self.net, self.name = net, name
        self.loop = asyncio.get_running_loop()
        self.wish = build({"audit": wish}, "operator.toml")
        self.kept: Store = store or MemoryStore()
        self.said: list[dict[str, Any]] = []
        self.merged: list[Line] = []
        self.answer: Answer = ALLOWED
        self.alone = False
        self.held = False
        self.asked = 0
        self.out: bool | None = None
        self.received: Callable[[bytes, tuple[str, int]], None] = lambda data, source: (
            None
        )
        net.hosts[name] = self
        self.part = AuditFeature()

    def now(self) -> int:
        return monotonic_ns() // 1000

    def wall_clock(self) -> int:
        return 10**15

    def seed(self) -> int:
        return 7

    def log_event(self, event: str, **fields: Any) -> None:
        self.said.append({"event": event, **fields})

    def operator_config(self) -> OperatorConfig:
        return self.wish

    def live_members(self) -> list[str]:
        return list(self.net.hosts)

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
        if to[0] in self.net.hosts:
            self.loop.call_soon(self.net.hosts[to[0]].received, data, (self.name, 1))
        return True

    def close(self) -> None: ...

    def records(self) -> FakeHost:
        if self.alone:
            raise FeatureError("there is no membership")
        return self

    def put(self, kind: str, body: bytes) -> None:
        old = self.get(self.name, kind)
        version = old.version + 1 if old is not None else 1
        self.net.records[self.name, kind] = Record(self.name, kind, version, body)

    def get(self, owner: str, kind: str) -> Record | None:
        return self.net.records.get((owner, kind))

    def of(self, kind: str) -> list[Record]:
        return [r for (_, k), r in self.net.records.items() if k == kind]

    def store(self) -> Store:
        if self.held:
            raise StoreLockedError("another process has it")
        return self.kept

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        then(self.answer)

    def fetch_endpoint_list(self) -> None:
        self.asked += 1

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None:
        self.merged += lines

    def set_quarantined(self, out: bool, why: str) -> None:
        self.out = out

    # ---- the test's side ------------------------------------------------------------------------------

    def start(self) -> FakeHost:
        self.part.start(cast(FeatureHost, self))
        observer = self.part.context.judge.observer
        observer.rules = replace(observer.rules, settle_us=200_000)
        return self

    def told(self, number: int, lines: list[Line], more: bool = False) -> None:
        """Its discovery tells a whole list."""
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
        self.part.on_list_update(
            ListUpdate(version, ListUpdateKind.FULL, tuple(lines), more)
        )
        if not more:
            self.part.on_version(version)

    def attempts(self, count: int) -> None:
        for _ in range(count):
            self.part.on_attempt_end(
                AttemptEnd("s", "c", Outcome.OK, self.now(), self.now(), None, None)
            )

    def events(self, name: str) -> list[dict[str, Any]]:
        return [e for e in self.said if e["event"] == name]

    def standing(self, name: str) -> str:
        picture = self.part.view
        return (
            picture.health[name].state.value
            if picture and name in picture.health
            else ""
        )


LIST = [line(f"s{i}") for i in range(40)]
NEXT = [
    line("s0", EndpointState.DRAINING),
    *LIST[3:],
    line("new"),
]  # s1 and s2 have gone


async def fleet(net: Net, count: int = 4, **wish: Any) -> list[FakeHost]:
    hosts = [FakeHost(net, f"n{i}", QUICK | wish).start() for i in range(count)]
    for host in hosts:
        host.told(1, LIST)
    await until(lambda: all(h.part.view and h.part.view.settled for h in hosts))
    await until(
        lambda: all(h.standing(o.name) == "current" for h in hosts for o in hosts)
    )
    return hosts


async def close(hosts: list[FakeHost]) -> None:
    for host in hosts:
        host.part.stop(True)


def test_a_node_whose_discovery_is_silent_takes_what_a_quorum_holds_from_its_peers() -> (
    None
):
    async def scene() -> None:
        hosts = await fleet(Net())
        behind = hosts[3]
        behind.attempts(3)
        asked = behind.asked
        for host in hosts[:3]:
            host.told(2, NEXT)
        await until(lambda: hosts[0].standing("n3") == "lagging")
        await until(lambda: behind.part.context.endpoints.local.adopted is not None)
        assert behind.asked > asked  # first its own discovery
        merged = {one.id: one.state for one in behind.merged}
        assert merged == {
            "s0": EndpointState.DRAINING,
            "s1": EndpointState.GONE,
            "s2": EndpointState.GONE,
            "new": EndpointState.READY,
        }
        assert behind.merged[-1].id == "new"  # the safe direction first
        behind.attempts(2)
        rows = {
            r["number"]: r
            for r in behind.part.page()[1]["ledger"]["versions"]
            if r["source"] == "list"
        }
        assert (rows[1]["attempts"], rows[2]["attempts"]) == ({"ok": 3}, {"ok": 2})
        assert rows[2]["told_by"] in ("n0", "n1", "n2")
        await until(lambda: hosts[0].standing("n3") == "current")
        assert behind.events("audit catch-up finished")[0]["after_deadline_s"] < 2
        assert not behind.out
        await close(hosts)

    play(scene)


def test_new_servers_wait_for_a_grant_and_drains_do_not() -> None:
    async def scene() -> None:
        hosts = await fleet(Net())
        behind = hosts[3]
        behind.answer = Answer(False, "an incident is open", 1.0)
        for host in hosts[:3]:
            host.told(2, NEXT)
        await until(lambda: bool(behind.events("audit remediation deferred")))
        assert {one.id for one in behind.merged} == {"s0", "s1", "s2"}
        assert behind.part.context.endpoints.local.adopted is None
        behind.part.on_change_made(Change.SETTINGS, "", (3, 8))
        assert behind.part.ledger.state.actions[-1].grant == (3, 8)
        behind.answer = Answer(True, fencing_token=(3, 9))
        await until(lambda: behind.part.context.endpoints.local.adopted is not None)
        assert behind.merged[-1].id == "new"
        assert behind.part.ledger.state.actions[-1].grant == (3, 9)
        await close(hosts)

    play(scene)


def test_lines_that_are_not_what_a_quorum_holds_are_refused() -> None:
    async def scene() -> None:
        hosts = await fleet(Net())
        for host in hosts[:3]:
            host.told(2, NEXT)
            host.part.context.endpoints.endpoints["s9"] = line(
                "s9", EndpointState.DRAINING
            )  # what they hand over has gone bad
        await until(lambda: bool(hosts[3].events("audit endpoints rejected")))
        assert not hosts[3].merged
        await close(hosts)

    play(scene)


def test_a_straggler_that_nothing_helps_says_not_ready_until_it_holds_the_frontier_again() -> (
    None
):
    async def scene() -> None:
        wish = {"out_after_s": 0.5, "out_share_percent": 25.0, "in_after_s": 0.3}
        hosts = await fleet(Net(), **wish)
        for host in hosts:
            host.part.context.judge.remediator.update_rules(
                replace(
                    host.part.context.judge.remediator.rules,
                    vote_embargo_us=0,
                    min_request_age_us=300_000,
                    max_rounds=1,
                )
            )
        behind = hosts[3]
        for host in hosts[:3]:
            host.told(2, NEXT)
            host.part.endpoint_exchange.channel = None  # nobody hands over anything
        await until(lambda: behind.out is True)
        assert [h.out for h in hosts[:3]] == [None, None, None]
        assert behind.part.ledger.state.actions[-1].what == "shut-out"
        behind.told(2, NEXT)
        await until(lambda: behind.out is False)
        await close(hosts)

    play(scene)


def test_a_restart_goes_on_with_the_ledger_of_its_store_and_says_how_the_last_life_ended() -> (
    None
):
    async def scene() -> None:
        net, store = Net(), MemoryStore()
        first = FakeHost(net, "n0", QUICK, store).start()
        first.told(5, LIST)
        first.attempts(4)
        await until(
            lambda: (
                first.part.ledger.unsaved_attempts == 0
                and bool(first.part.ledger.state.records)
            )
        )
        first.attempts(1)
        first.part.timer = first.part.flush_timer = None  # killed: no word of an end
        second = FakeHost(net, "n0", QUICK, store).start()
        begun = second.events("audit started")[0]
        assert (begun["incarnation"], begun["killed"]) == (2, True)
        second.told(5, LIST)
        second.attempts(2)
        second.part.stop(True)
        third = FakeHost(net, "n0", QUICK, store).start()
        assert third.events("audit started")[0]["killed"] is False
        assert (
            sum(third.part.ledger.state.attempts()) == 4 + 2
        )  # the fifth went with the kill
        third.part.stop(True)

    play(scene)


def test_an_old_store_does_not_take_back_a_life_that_others_have_seen() -> None:
    async def scene() -> None:
        net = Net()
        hosts = [FakeHost(net, f"n{i}", QUICK).start() for i in range(3)]
        hosts[0].told(5, LIST)
        await until(lambda: ("n0", "audit") in net.records)
        again = FakeHost(
            net, "n0", QUICK, MemoryStore()
        ).start()  # under its name, with nothing kept
        again.told(5, LIST)
        await until(lambda: again.part.ledger.state.incarnation == 2)
        assert again.events("audit incarnation advanced")
        await close([again, *hosts])

    play(scene)


def test_a_broken_ledger_is_said_and_left_and_the_node_goes_on_with_another() -> None:
    async def scene() -> None:
        store = MemoryStore()
        ledger = Ledger()
        ledger.start_incarnation("n0", 1, 1)
        for data, _ in ledger.flush(2):
            store.append("audit", data[:-1] + bytes([data[-1] ^ 1]))
        host = FakeHost(Net(), "n0", QUICK, store).start()
        said = host.events("audit ledger corrupt")[0]
        assert said["error"] == "LedgerBroken"
        assert "batch 1" in said["where"]
        assert said["do"]
        host.told(5, LIST)
        host.part.stop(True)
        assert store.names()[1] == ["audit", "audit-0002"]
        assert len(list(store.read("audit"))) == 1  # as it was
        again = FakeHost(Net(), "n0", QUICK, store).start()
        assert again.part.ledger.state.incarnation == 2
        assert not again.events("audit ledger corrupt")
        again.part.stop(True)

    play(scene)


def test_what_happens_before_the_store_can_be_had_is_kept_in_order() -> None:
    async def scene() -> None:
        net, store = Net(), MemoryStore()
        first = FakeHost(net, "n0", QUICK, store).start()
        first.told(1, LIST)
        first.attempts(1)
        first.part.stop(True)
        second = FakeHost(net, "n0", QUICK, store)
        second.held = True  # the process before this one has it, as in an upgrade
        second.start()
        second.told(1, LIST)
        second.attempts(5)
        second.told(2, NEXT)
        second.attempts(7)
        second.held = False
        await until(lambda: second.part.context.store.store is not None)
        second.attempts(1)
        second.part.stop(True)
        third = FakeHost(net, "n0", QUICK, store).start()
        rows = [
            (r.incarnation, r.key.number, sum(r.attempts))
            for r in third.part.ledger.state.records
        ]
        assert [r for r in rows if r[2]] == [(1, 1, 1), (2, 1, 5), (2, 2, 8)]
        third.part.stop(True)

    play(scene)


def test_a_store_that_is_full_costs_no_attempt_once_there_is_room() -> None:
    class Full(MemoryStore):
        full = False

        def append(self, log: str, data: bytes) -> int:
            if self.full:
                raise StoreFullError("no room")
            return super().append(log, data)

    async def scene() -> None:
        store = Full()
        host = FakeHost(Net(), "n0", QUICK, store).start()
        host.told(1, LIST)
        store.full = True
        for number in range(2, 90):
            host.told(number, LIST)
            host.attempts(1)
            host.part.context.store.write()
        assert host.events("audit ledger write failed")
        assert host.part.page()[0] is False
        store.full = False
        host.part.context.store.write()
        assert host.part.page()[0] is True
        host.part.stop(True)
        again = FakeHost(Net(), "n0", QUICK, store).start()
        assert sum(again.part.ledger.state.attempts()) == 88
        again.part.stop(True)

    play(scene)


def test_without_a_membership_the_node_keeps_its_own_ledger() -> None:
    async def scene() -> None:
        host = FakeHost(Net(), "n0", QUICK)
        host.alone = True
        host.start()
        host.told(1, LIST)
        host.attempts(2)
        well, page = host.part.page()
        assert well
        assert "fleet" not in page
        assert page["ledger"]["versions"][0]["attempts"] == {"ok": 2}
        host.part.stop(True)

    play(scene)


def test_a_list_of_which_more_is_to_come_is_no_version_yet() -> None:
    async def scene() -> None:
        host = FakeHost(Net(), "n0", QUICK).start()
        host.told(1, LIST[:20], more=True)
        assert host.part.context.endpoints.local.list_version is None
        assert not host.part.context.endpoints.endpoints
        host.told(1, LIST[20:])
        assert len(host.part.context.endpoints.endpoints) == 40
        host.part.stop(True)

    play(scene)


@pytest.mark.parametrize(
    ("wish", "words"),
    [
        (
            {"agents": ["discovery:8500"]},
            "audit.agents.0.: 'discovery:8500' is not an address",
        ),
        ({"lag": 1}, "audit.lag: unknown key; did you mean lag_s?"),
        ({"out_share_percent": 101}, "audit.out_share_percent"),
    ],
)
def test_a_table_that_cannot_be_used_says_where(
    wish: dict[str, Any], words: str
) -> None:
    with pytest.raises(OperatorConfigError, match=words):
        build({"audit": wish}, "operator.toml")


def test_members_that_come_and_go_have_nobody_write_its_word_anew() -> None:
    """Failure prevented: one node that dies anywhere makes each of thousands write, and each fetch all."""

    async def scene() -> None:
        hosts = await fleet(Net(), 3)
        await asyncio.sleep(
            0.6
        )  # what the first judgements have changed is told by now
        before = {h.name: h.get(h.name, audit_status.KIND) for h in hosts}
        entries = hosts[0].part.ledger.state.entries
        for number in range(1, 5):
            for host in hosts:
                host.part.on_version(
                    Version(VersionSource.MEMBERS, host.name, number, f"{number:016x}")
                )
            await asyncio.sleep(0.3)
        assert hosts[0].part.ledger.state.entries > entries  # its own ledger has them
        assert {h.name: h.get(h.name, audit_status.KIND) for h in hosts} == before
        await close(hosts)

    play(scene)


def test_the_head_and_the_members_epoch_are_told_anew_now_and_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(audit_status, "RENEWAL_US", 500_000)
    monkeypatch.setattr(audit_status, "RENEWAL_PER_LISTENER_US", 0)

    async def scene() -> None:
        hosts = await fleet(Net(), 3)
        hosts[0].part.on_version(Version(VersionSource.MEMBERS, "n0", 7, "e" * 16))

        def heard() -> audit_status.StatusRecord | None:
            record = hosts[1].get("n0", audit_status.KIND)
            return audit_status.decode(record.body) if record is not None else None

        await until(
            lambda: (
                (w := heard()) is not None
                and w.membership_epoch == 7
                and w.ledger_entries > 1
            )
        )
        await close(hosts)

    play(scene)


def test_words_are_renewed_the_more_seldom_the_more_hear_them() -> None:
    assert [
        audit_status.renewal_interval_us(n) / 1e6 for n in (1, 15, 40, 70, 2_800)
    ] == [
        30,
        30,
        80,
        140,
        5_600,
    ]
    # Each hears n words in a time that grows with n: no more of them in a large fleet than in a small one.
    assert all(
        1e6 * n / audit_status.renewal_interval_us(n) <= 0.5 for n in range(1, 10_000)
    )
