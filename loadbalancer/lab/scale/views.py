"""One node's views of a fleet of N: its membership, its records, its audit, its locality, the coordinator's
evidence. No network: what stands in a settled fleet is put in, then what the node does by itself is timed.
"""

from __future__ import annotations

import asyncio
import gc
import os
import subprocess
import sys
from collections.abc import Callable, Collection
from pathlib import Path
from random import Random
from typing import Any, cast

from loadbalancer.audit.status import KIND as AUDIT
from loadbalancer.audit.status import FileVersion, StatusRecord, VersionId
from loadbalancer.audit.status import encode as encode_word
from loadbalancer.config.operator_config import OperatorConfig, build
from loadbalancer.freeze.evidence import RECORD_KIND as EVIDENCE
from loadbalancer.freeze.evidence import (
    EndpointListVersion,
    EvidenceEvaluator,
    EvidenceRules,
    FaultReport,
)
from loadbalancer.freeze.evidence import decode as decode_report
from loadbalancer.freeze.evidence import encode as encode_report
from loadbalancer.lab.scale.clocks import held, settled, timed
from loadbalancer.locality import messages as zones
from loadbalancer.locality.agreement import Members, ZoneAgreement
from loadbalancer.locality.rules import AgreementRules
from loadbalancer.membership.messages import MemberState, Sync
from loadbalancer.membership.settings import SwimSettings
from loadbalancer.membership.state import Member
from loadbalancer.membership.swim import Swim
from loadbalancer.node.discovery.endpoint_list_codec import Line
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
from loadbalancer.policy.api import EndpointState, ListUpdateKind, Outcome
from loadbalancer.records.interface import Record
from loadbalancer.records.messages import VersionVectorEntry
from loadbalancer.records.state import StoredRecord, bucket_of
from loadbalancer.records.table import RecordTable
from loadbalancer.stores.interface import Store
from loadbalancer.stores.memory import MemoryStore

SECOND = 1_000_000
ROOT = Path(__file__).parents[3]
SERVICES = 140
ZONES = tuple(f"z{i}" for i in range(9))
REGIONS = tuple(f"r{i}" for i in range(3))
ORIGIN = "10.0.0.9:8500"  # whose numbers the list has


def name_of(index: int) -> str:
    """A node's name as an installation might give it; names sort otherwise than they were dealt."""
    return f"svc{index % SERVICES:03d}-n{index:05d}"


def membership(size: int, seed: int) -> Swim:
    """A node's view of `size` members, told by another's full exchange, as a newcomer gets it."""
    rng = Random(seed)
    other = Swim(Member(name_of(size - 1), "10.0.0.1", 7946), SwimSettings(), seed)
    for i in range(size - 1):
        host = f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}"
        name = name_of(i)
        zone = rng.randrange(len(ZONES))
        other.members[name] = Member(
            name,
            host,
            7946,
            rng.randrange(3),
            MemberState.ALIVE,
            0,
            ZONES[zone],
            REGIONS[zone // 3],
        )
    me = Swim(Member(name_of(0), "10.0.0.0", 7946), SwimSettings(), seed + 1)
    me.join(1, [])
    for send in other.anti_entropy.send_table(("10.0.0.0", 7946), Sync()):
        me.receive(2, send.data, ("10.0.0.1", 7946))
    me.take_changes()
    me.dissemination.clear()
    assert len(me.members) == size - 1
    return me


def word_of(rng: Random, number: int) -> bytes:
    """The word of a node of a settled fleet: the last four versions of one discovery's list."""
    lists = tuple(VersionId(ORIGIN, n, f"{n * 0x9E3779B97F4A7C15 % (1 << 64):016x}") for n in
                  range(number - 3, number + 1))  # fmt: skip
    return encode_word(
        StatusRecord(
            incarnation=rng.randrange(1, 5),
            ledger_entries=rng.randrange(10_000),
            chain_head=rng.randbytes(8),
            list_versions=lists,
            settings=FileVersion(1, "5a1b7c3d9e2f4a60"),
            operator_config=FileVersion(1, "0f3e5d7c9b1a2846"),
            program="0.1.0",
            membership_epoch=rng.randrange(1_000),
            known_members=2_800,
            ready=True,
        )
    )


def evidence_of(number: int) -> bytes:
    """The same node's report on its attempts: a service's servers lie in a few zones."""
    lists = EndpointListVersion(ORIGIN, number, "0123456789abcdef")
    return encode_report(FaultReport({"z0": 0, "z4": 0, "z8": 0}, 0, lists))


def zones_of(rng: Random) -> bytes:
    """The same node's report on the zones."""
    words = {z: zones.ZoneReport(0, 0, 0, 0, 8) for z in ZONES[:9]}
    return zones.encode(
        zones.LoadReport(rng.choice(ZONES), float(rng.randrange(300, 500)), words)
    )


def fill(
    table: RecordTable, names: list[str], bodies: Callable[[str], dict[str, bytes]]
) -> None:
    """Puts into a table what a settled fleet holds."""
    table.set_live_members(table.now_us, dict.fromkeys(names, ("10.0.0.1", 7946)))
    for name in names:
        if name != table.name:
            owner = table.replicas.owners[name]
            for kind, body in bodies(name).items():
                owner.store(kind, StoredRecord(1, body, table.now_us))
            owner.advance(VersionVectorEntry(7, owner.records_checksum))
            bucket = bucket_of(owner.key)
            table.replicas.bucket_checksums[bucket] ^= owner.bucket_contribution


class Plain:
    """A host without a node: one loop that does not run, a clock that is set, records in a table."""

    def __init__(
        self, swim: Swim, table: RecordTable, operation: OperatorConfig
    ) -> None:
        self.name = swim.local.name
        self.swim, self.table, self.wish = swim, table, operation
        self.loop = asyncio.new_event_loop()
        self.clock = 1_000 * SECOND
        self.kept: Store = MemoryStore()
        self.said = 0

    def now(self) -> int:
        return self.clock

    def wall_clock(self) -> int:
        return 10**15

    def seed(self) -> int:
        return 7

    def log_event(self, event: str, **fields: Any) -> None:
        self.said += 1

    def operator_config(self) -> OperatorConfig:
        return self.wish

    def live_members(self) -> list[str]:
        return [m.name for m in self.swim.live_members()]

    def cell_members(self) -> list[str]:
        return self.live_members()

    def member_address(self, name: str) -> tuple[str, int] | None:
        member = self.swim.members.get(name)
        return (member.host, member.port) if member is not None else None

    def channel(self, tag: int, received: object) -> Any:
        raise FeatureError("there is no network")

    def records(self) -> Plain:
        return self

    def put(self, kind: str, body: bytes) -> None:
        self.table.put(self.table.now_us, kind, body)

    def get(self, owner: str, kind: str) -> Record | None:
        return self.table.get(owner, kind)

    def of(self, kind: str) -> list[Record]:
        return self.table.of(kind)

    def store(self) -> Store:
        return self.kept

    def request_change(
        self, change: Change, scope: str, then: Callable[[Answer], None]
    ) -> None:
        then(ALLOWED)

    def announce_version(self, version: Version) -> None: ...

    def fetch_endpoint_list(self) -> None: ...

    def merge_endpoint_lines(self, lines: tuple[Line, ...]) -> None: ...

    def set_quarantined(self, quarantined: bool, reason: str) -> None: ...


def audit(size: int, seed: int) -> dict[str, float]:
    """The audit's tick, four a second: whole, its judgement alone, and after a change of all words."""
    rng = Random(seed)
    swim = membership(size, seed)
    names = [swim.local.name, *swim.members]
    table = RecordTable(swim.local.name, seed, now_us=1_000 * SECOND)
    fill(table, names, lambda name: {AUDIT: word_of(rng, 100)})
    host = Plain(swim, table, build({"audit": {"numbering": ORIGIN}}, "operator.toml"))
    part = AuditFeature()

    def begin() -> AuditFeature:
        part.start(cast(FeatureHost, host))
        # No channel: a node's audit sends only to who is behind, and here nobody is.
        part.records = cast(Any, host)
        lines = tuple(
            Line(f"s{i}", "10.0.0.1", 80, "z0", "std", 0, EndpointState.READY, 1.0, 0)
            for i in range(20)
        )
        digest = f"{100 * 0x9E3779B97F4A7C15 % (1 << 64):016x}"
        version = Version(VersionSource.LIST, ORIGIN, 100, digest)
        part.on_list_update(ListUpdate(version, ListUpdateKind.FULL, lines, False))
        part.on_version(version)
        for _ in range(12):
            step()
        return part

    def step() -> None:
        host.clock += 250_000
        table.advance_clock(host.clock)
        for owner in table.replicas.owners.values():
            owner.advanced_at_us = host.clock
        tick()

    def tick() -> None:
        part.tick()
        assert part.timer is not None
        part.timer.cancel()

    _, memory = held(begin)
    picture = part.view
    assert picture is not None
    assert len(picture.health) == size
    assert all(s.state.value == "current" for s in picture.health.values()), (
        "the fleet is not settled"
    )
    words_a_minute = {}
    if size <= 400:  # that it renews its word without any change hangs on no size
        before = table.replicas.own.records[AUDIT].version
        for turn in range(240):
            for _ in range(98):  # 393 calls a second
                part.on_attempt_end(
                    AttemptEnd(
                        "s1", "c", Outcome.OK, host.clock, host.clock, None, None
                    )
                )
            if turn % 2:
                part.flush()
                assert part.flush_timer is not None
                part.flush_timer.cancel()
            step()
        words_a_minute["own_words_a_minute"] = float(
            table.replicas.own.records[AUDIT].version - before
        )
    live, words = host.live_members(), part.receive_statuses(cast(Any, host))
    times = max(9, min(60, 20_000 // size))

    def judge() -> None:
        host.clock += 250_000
        part.context.evaluator.observer.observe(host.clock, live, words)

    def ticked() -> None:
        host.clock += 250_000
        tick()

    def turned() -> None:
        """All words are of a new version, as after a change that all have taken up."""
        part.receiver.forget()
        ticked()

    with settled():
        judged = timed(judge, times)
        whole = timed(ticked, times)
        after = timed(turned, max(5, times // 4))
        alive = timed(host.live_members, times)
        heard = timed(lambda: part.receive_statuses(cast(Any, host)), times)
    part.stop(graceful=False)
    host.loop.close()
    return {
        "judge_ms": judged.median,
        "judge_least_ms": judged.least,
        "live_ms": alive.median,
        "hear_ms": heard.median,
        "tick_ms": whole.median,
        "tick_least_ms": whole.least,
        "tick_changed_ms": after.median,
        "core_percent": whole.median * 4 / 10,
        "memory_mb": memory,
        **words_a_minute,
    }


AUDIT_UNITS = {
    "judge_ms": "ms", "judge_least_ms": "ms", "live_ms": "ms", "hear_ms": "ms", "tick_ms": "ms",
    "tick_least_ms": "ms", "tick_changed_ms": "ms", "core_percent": "% of a core", "memory_mb": "MB",
    "own_words_a_minute": "records",
}  # fmt: skip


def view(size: int, seed: int) -> dict[str, float]:
    """What a view of N holds in memory, and what one change of it costs."""
    rng = Random(seed)
    swim, of_members = held(lambda: membership(size, seed))
    names = [swim.local.name, *swim.members]
    table = RecordTable(swim.local.name, seed, now_us=SECOND)
    _, of_heads = held(
        lambda: table.set_live_members(SECOND, dict.fromkeys(names, ("10.0.0.1", 7946)))
    )

    def words() -> None:
        fill(table, names, lambda name: {AUDIT: word_of(rng, 100)})

    _, of_words = held(words)

    def others() -> None:
        for name in names:
            if name != table.name:
                owner = table.replicas.owners[name]
                owner.store(EVIDENCE, StoredRecord(1, evidence_of(100), table.now_us))
                owner.store(zones.KIND, StoredRecord(1, zones_of(rng), table.now_us))

    _, of_others = held(others)

    def change() -> None:
        """As `MembershipHost` and the feature host do it for each change of a member's state."""
        table.set_live_members(
            table.now_us, {m.name: (m.host, m.port) for m in swim.live_members()}
        )
        sorted([m.name for m in swim.live_members()])

    times = max(9, min(60, 20_000 // size))
    syncs = swim.anti_entropy.send_table(("10.0.0.1", 7946), Sync(is_reply=True))
    with settled():
        changed = timed(change, times)
        syncing = timed(
            lambda: swim.anti_entropy.send_table(
                ("10.0.0.1", 7946), Sync(is_reply=True)
            ),
            max(5, times // 4),
        )
    return {
        "membership_mb": of_members,
        "heads_mb": of_heads,
        "audit_records_mb": of_words,
        "other_records_mb": of_others,
        "change_ms": changed.median,
        "change_least_ms": changed.least,
        "sync_ms": syncing.median,
        "sync_bytes": float(sum(len(s.data) for s in syncs)),
        "sync_datagrams": float(len(syncs)),
        "word_bytes": float(len(word_of(rng, 100))),
    }


VIEW_UNITS = {
    "membership_mb": "MB", "heads_mb": "MB", "audit_records_mb": "MB", "other_records_mb": "MB",
    "change_ms": "ms", "change_least_ms": "ms", "sync_ms": "ms", "sync_bytes": "bytes",
    "sync_datagrams": "datagrams", "word_bytes": "bytes",
}  # fmt: skip


class Looking:
    """What the part of the locality does four times a second, as `LocalityFeature.run_round` does it."""

    def __init__(self, swim: Swim, table: RecordTable, mine: zones.LoadReport) -> None:
        self.swim, self.table, self.mine = swim, table, mine
        self.agreement = ZoneAgreement(swim.local.name, AgreementRules())
        self.decoded: dict[str, tuple[bytes, zones.LoadReport | None]] = {}
        self.clock = 1_000 * SECOND

    def look(self) -> None:
        self.clock += 250_000
        reports = {}
        for record in self.table.of(zones.KIND):
            kept = self.decoded.get(record.owner)
            if kept is None or kept[0] is not record.body:
                kept = self.decoded[record.owner] = (
                    record.body,
                    zones.decode(record.body),
                )
            if kept[1] is not None and not record.stale:
                reports[record.owner] = kept[1]
        known = {
            m.name
            for m in [self.swim.local, *self.swim.sorted_members()]
            if m.state != MemberState.LEFT
        }
        live = {m.name for m in self.swim.live_members()}
        self.agreement.tick(self.clock, self.mine, reports, Members(known, live))


def locality(size: int, seed: int) -> dict[str, float]:
    """What the part of the locality does four times a second, and the coordinator's evidence each second."""
    rng = Random(seed)
    swim = membership(size, seed)
    names = [swim.local.name, *swim.members]
    table = RecordTable(swim.local.name, seed, now_us=1_000 * SECOND)
    fill(
        table, names, lambda n: {zones.KIND: zones_of(rng), EVIDENCE: evidence_of(100)}
    )
    mine = zones.decode(zones_of(rng))
    assert mine is not None
    looking, memory = held(lambda: Looking(swim, table, mine))
    _, seen = held(looking.look)
    clock = [2_000 * SECOND]
    evidence = EvidenceEvaluator(EvidenceRules())

    def judge(names: Callable[[list[str]], Collection[str]]) -> None:
        """As `FreezeFeature.evaluate_reports` does it at the coordinator, who hands on a list of names."""
        clock[0] += 1_000_000
        reports = {}
        for record in table.of(EVIDENCE):
            report = decode_report(record.body) if not record.stale else None
            if report is not None:
                reports[record.owner] = report
        evidence.evaluate(
            clock[0], reports, names([m.name for m in swim.live_members()])
        )

    times = max(9, min(60, 20_000 // size))
    with settled():
        looked = timed(looking.look, times)
        judged = timed(lambda: judge(list), times)
        in_a_set = timed(lambda: judge(frozenset), times)
    return {
        "look_ms": looked.median,
        "look_least_ms": looked.least,
        "look_core_percent": looked.median * 4 / 10,
        "memory_mb": memory + seen,
        "evidence_ms": judged.median,
        "evidence_core_percent": judged.median / 10,
        "evidence_of_a_set_ms": in_a_set.median,
    }


LOCALITY_UNITS = {
    "memory_mb": "MB", "look_ms": "ms", "look_least_ms": "ms", "look_core_percent": "% of a core",
    "evidence_ms": "ms", "evidence_core_percent": "% of a core", "evidence_of_a_set_ms": "ms",
}  # fmt: skip


def everything(size: int, seed: int) -> tuple[Swim, RecordTable, AuditFeature, Looking]:
    """What one node holds of a settled fleet of N, with all parts that keep records on."""
    rng = Random(seed)
    swim = membership(size, seed)
    table = RecordTable(swim.local.name, seed, now_us=1_000 * SECOND)
    fill(
        table,
        [swim.local.name, *swim.members],
        lambda name: {
            AUDIT: word_of(rng, 100),
            EVIDENCE: evidence_of(100),
            zones.KIND: zones_of(rng),
        },
    )
    host = Plain(swim, table, build({"audit": {"numbering": ORIGIN}}, "operator.toml"))
    part = AuditFeature()
    part.start(cast(FeatureHost, host))
    part.records = cast(Any, host)
    for _ in range(12):
        host.clock += 250_000
        part.tick()
        assert part.timer is not None
        part.timer.cancel()
    mine = zones.decode(zones_of(rng))
    assert mine is not None
    looking = Looking(swim, table, mine)
    looking.look()
    return swim, table, part, looking


def resident(size: int, seed: int) -> dict[str, float]:
    """The same in a process of its own: what it adds to its resident memory, and to one full collection."""
    code = f"from loadbalancer.lab.scale.views import weigh; weigh({size}, {seed})"
    told = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    return {"resident_mb": float(told[0]), "collect_ms": float(told[1])}


def weigh(size: int, seed: int) -> None:
    """Prints both figures of `resident`, for the process that it starts."""

    def pages() -> float:
        return (
            int(Path("/proc/self/statm").read_text().split()[1])
            * os.sysconf("SC_PAGE_SIZE")
            / 1e6
        )

    everything(10, seed)  # all is imported, and has run once
    with settled():
        before = pages()
        kept = everything(size, seed)
        after = pages()
        print(after - before, timed(gc.collect, 15).least)
        del kept


RESIDENT_UNITS = {"resident_mb": "MB", "collect_ms": "ms"}
