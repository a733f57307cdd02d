"""Where a node's time goes: how long each of its callbacks holds the loop, with a fleet of N members at hand.

The node is the ordinary one, started in this process by the ordinary `serve`; only its loop is one that takes
the time of the callbacks, and some methods are wrapped to do the same. What it knows of the fleet it is told
over its own UDP port by a stand-in, which speaks for N members with the project's own deciders: it answers
pings and pings, tells beats and writes words as often as so many would. So the node's state, and what comes
in each second, are those of a large fleet, without its processes.

Roles: `python -m loadbalancer.lab.scale.added_within node OUT [TRIAL]` (environment as `run` has it; SIGUSR1
begins the watch, SIGUSR2 plays what is rare and writes OUT) and `... fleet N PORT NODE_PORT WORDS_A_SECOND`.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from time import monotonic_ns, perf_counter, thread_time
from types import MethodType
from typing import Any, cast

import msgspec
import numpy as np
import uvloop

from loadbalancer.audit import status as audit_status
from loadbalancer.audit.fleet_observer import FleetObserver
from loadbalancer.audit.remediator import Remediator
from loadbalancer.config.operator_config import Membership
from loadbalancer.freeze.evidence import RECORD_KIND as EVIDENCE
from loadbalancer.freeze.evidence import (
    EndpointListVersion,
    EvidenceEvaluator,
    EvidenceRules,
    FaultReport,
)
from loadbalancer.freeze.evidence import decode as read_report
from loadbalancer.freeze.evidence import encode as write_report
from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    IncidentList,
    StateVersion,
)
from loadbalancer.freeze.messages import encode as freeze_datagram
from loadbalancer.membership.messages import (
    PROTOCOL_VERSION,
    Ack,
    MembershipDatagramError,
    MembershipEnvelope,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    Sync,
    decode,
    encode,
    encode_bounded,
)
from loadbalancer.node import process
from loadbalancer.node.client.connection import ClientConnection
from loadbalancer.node.config import load
from loadbalancer.node.features.audit import AuditFeature
from loadbalancer.node.features.freeze import FreezeFeature
from loadbalancer.node.features.host import NodeFeatureHost
from loadbalancer.node.node import Node
from loadbalancer.node.upstream.connection import UpstreamConnection
from loadbalancer.records.messages import (
    BUCKET_CHECKSUMS_LAYOUT,
    Digest,
    DigestReply,
    VersionVectorEntry,
)
from loadbalancer.records.messages import encode as records_datagram
from loadbalancer.records.rules import RecordRules
from loadbalancer.records.state import StoredRecord
from loadbalancer.records.table import RecordTable
from loadbalancer.transports.mux import CLUSTER_HASH_BYTES, Mux

CLUSTER = Membership().cluster
TARGET_MS = 0.48  # added to a call for 99 in 100, by the fleet ahead
OUTER = (
    "timer",
    "datagram",
    "soon",
    "call",
)  # what the loop calls; the rest lies within these
ALL = "all of the loop"
TAGS = {0: "membership", 1: "records", 2: "audit", 3: "keys", 4: "freeze"}
TIMES = 10  # that what is rare is played
PROBE = 0.35  # seconds between two pings that a member gets, on the mean
FAST = 0.004  # the same while the fleet empties a newcomer's queue of news
TRIALS = ("freeze", "threshold", "both")
TRIED = (20_000, 20, 50)  # thresholds of the collector, instead of 700, 10, 10
PACE = 20  # datagrams of an exchange in one go, and...
PACE_S = 0.01  # ...until the next: a socket's buffer holds no more


# ---- the node, watched ---------------------------------------------------------------------------------


class Holds:
    """How long what has held the loop, by name: processor time, so that what others do to the machine is not
    in it. On a core of its own the loop stands still for just so long.
    """

    def __init__(self) -> None:
        self.rows: dict[str, list[float]] = {}
        self.began = perf_counter()

    def note(self, name: str, seconds: float) -> None:
        self.rows.setdefault(name, []).append(seconds)

    def reset(self) -> None:
        """The watch begins."""
        self.rows.clear()
        self.began = perf_counter()

    def table(self) -> dict[str, dict[str, float]]:
        """By name: see `row_of`; and under ALL what the loop itself calls, together."""
        seconds = perf_counter() - self.began
        whole = [
            t
            for name, times in self.rows.items()
            if name.startswith(OUTER)
            for t in times
        ]
        found = {
            name: row_of(times, seconds) for name, times in sorted(self.rows.items())
        }
        return found | ({ALL: row_of(whole, seconds)} if whole else {})

    def timed(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def watched(*args: Any, **named: Any) -> Any:
            began = thread_time()
            try:
                return call(*args, **named)
            finally:
                self.note(name, thread_time() - began)

        return watched

    def wrap(self, owner: type, method: str, name: str) -> None:
        """Has a class's method take its time from now on."""
        setattr(owner, method, self.timed(name, getattr(owner, method)))


def row_of(seconds: list[float], watched: float) -> dict[str, float]:
    """One name's figures: how often a second, ms of the middle one, of 99 in 100 and of the longest, and the
    calls in a hundred that come while it has the loop and wait for its end for longer than the target.

    Calls come at random, so their share is that of the time: of a hold of h ms, h less the target's.
    """
    ms = 1000 * np.array(seconds)
    return {
        "per_s": round(len(seconds) / watched, 3) if watched > 0 else 0.0,
        "p50_ms": round(float(np.quantile(ms, 0.5)), 4),
        "p99_ms": round(float(np.quantile(ms, 0.99, method="higher")), 4),
        "longest_ms": round(float(ms.max()), 4),
        "core_percent": round(float(ms.sum()) / watched / 10, 4)
        if watched > 0
        else 0.0,
        "over_percent": round(
            float(np.maximum(0, ms - TARGET_MS).sum()) / watched / 10, 4
        )
        if watched > 0
        else 0.0,
    }


# Names of callbacks in the recorded measurements, where the code has renamed them since.
RECORDED_NAMES = {
    "MembershipHost._on_timer": "Members.due",
    "AuditFeature.tick": "Audit.tick",
    "AuditFeature.flush": "Audit.flush",
    "FreezeFeature.look": "FreezePart.look",
    "RecordsHost.on_timer": "Spreading.due",
    "ConnectionPool.sweep": "Pool.sweep",
    "check_linger": "ClientConnection.check_linger",
    "Attempt.expire": "Exchange.expire",
    "Attempt.check_stalled": "Exchange.watch",
    "Attempt.withdraw": "Exchange.withdraw",
    "DeadlineGuard.expire": "Node.expire",
    "DeadlineGuard.cut_short": "Node.cut_short",
    "ProcessShare.check_siblings": "Node.check_siblings",
}


def named(callback: Callable[..., Any]) -> str:
    """What a callback is called, for people and in results."""
    if isinstance(callback, MethodType):
        name = f"{type(callback.__self__).__name__}.{callback.__name__}"
        return RECORDED_NAMES.get(name, name)
    name = str(getattr(callback, "__qualname__", type(callback).__name__))
    return RECORDED_NAMES.get(name, name)


HOLDS = Holds()


class WatchedLoop(uvloop.Loop):
    """The ordinary loop; what it is told to call later takes its time."""

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        name = f"timer {self.name_of(callback, args)}"
        return super().call_later(
            delay, HOLDS.timed(name, callback), *args, context=context
        )

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        name = f"soon {named(callback)}"
        return super().call_soon(HOLDS.timed(name, callback), *args, context=context)

    @staticmethod
    def name_of(callback: Any, args: tuple[Any, ...]) -> str:
        """A timer that posts an event is named for the event."""
        if getattr(callback, "__name__", "") == "post" and args:
            return named(args[0])
        return named(callback)


class Kept(Node):
    """The node, where it can be found."""

    made: Kept | None = None

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        Kept.made = self


def collected(phase: str, about: dict[str, int]) -> None:
    """The collector stops all else."""
    global collecting
    if phase == "start":
        collecting = thread_time()
    else:
        HOLDS.note(
            f"collector generation {about['generation']}", thread_time() - collecting
        )


collecting = 0.0


def wrap_all() -> None:
    """Takes the time of what the loop calls without a timer, and of the steps within the long ones."""
    route = Mux.route

    def routed(self: Mux, data: bytes, source: Any) -> None:
        tag = data[0] if data else 0
        began = thread_time()
        route(self, data, source)
        HOLDS.note(f"datagram {TAGS.get(tag, TAGS[0])}", thread_time() - began)

    Mux.route = routed  # type: ignore[method-assign]
    HOLDS.wrap(ClientConnection, "buffer_updated", "call: from the client")
    HOLDS.wrap(UpstreamConnection, "buffer_updated", "call: from the server")
    HOLDS.wrap(
        NodeFeatureHost, "on_members_changed", "within: all told of a member's change"
    )
    HOLDS.wrap(AuditFeature, "receive_statuses", "within audit: words read")
    HOLDS.wrap(FleetObserver, "observe", "within audit: the fleet judged")
    HOLDS.wrap(Remediator, "update", "within audit: what to do about itself")
    HOLDS.wrap(AuditFeature, "log_health_changes", "within audit: changes of standing")
    HOLDS.wrap(AuditFeature, "publish_status", "within audit: own word")
    gc.callbacks.append(collected)


def play_rare(node: Node) -> None:
    """What happens seldom, each a few times, so that its hold is known: by the parts' own calls."""
    parts = node.feature_host
    members = parts.members if parts is not None else None
    if (
        parts is None
        or members is None
        or members.swim is None
        or members.records_host is None
    ):
        return
    swim, table, now = members.swim, members.records_host.table, process_now()
    audit, freeze = parts.features.get("audit"), parts.features.get("freeze")
    source = next(iter(table.addresses.values()), ("127.0.0.1", 1))
    records_host = members.records_host
    for _ in range(TIMES):
        timed = HOLDS.timed
        timed("rare: a full exchange of members is sent", swim.anti_entropy.send_table)(
            source, Sync(is_reply=True)
        )
        timed("rare: a member has changed, all parts told", parts.on_members_changed)()
        timed(
            "rare: a member has changed, records told", records_host.set_live_members
        )(members.addresses())
        table.outbox.tokens = 1e9
        ask_all = records_datagram(Digest(b"", DigestReply.ALL))
        timed("rare: a newcomer asks for all heads", table.receive)(
            now, ask_all, source
        )
        table.outbox.tokens = 1e9
        others = records_datagram(
            Digest(b"", DigestReply.NONE, BUCKET_CHECKSUMS_LAYOUT.pack(*[1] * 32))
        )
        timed("rare: all records differ", table.receive)(now, others, source)
        if isinstance(audit, AuditFeature):
            audit.receiver.forget()
            timed("rare: every word is new, one judgement", audit.tick)()
            if audit.timer is not None:
                audit.timer.cancel()
        if isinstance(freeze, FreezeFeature):
            rare_freeze(freeze, parts, table, now)
        timed("rare: whole collection", gc.collect)()
    if isinstance(audit, AuditFeature):
        audit.tick()


def rare_freeze(
    freeze: FreezeFeature, parts: NodeFeatureHost, table: RecordTable, now: int
) -> None:
    """What only the coordinator does each second: tell all members, and put their reports together."""
    live, name = parts.live_members(), parts.name
    news = IncidentList(StateVersion(1, 1), INITIAL_VERSION, 0, 1, [])

    def tell() -> None:
        for to in live:
            if to != name:
                freeze.send(to, freeze_datagram(name, news))

    def judge() -> None:
        reports: dict[str, FaultReport] = {}
        for record in table.of(EVIDENCE):
            report = read_report(record.body)
            if report is not None:
                reports[record.owner] = report
        EvidenceEvaluator(EvidenceRules()).evaluate(now, reports, parts.live_members())

    HOLDS.timed("rare: the coordinator tells all members", tell)()
    HOLDS.timed("rare: the coordinator judges all reports", judge)()


def process_now() -> int:
    """Monotonic microseconds."""
    return monotonic_ns() // 1000


def begin(trial: str) -> None:
    """The watch begins, with what is tried instead of the ordinary course of the collector."""
    if trial in ("freeze", "both"):
        gc.collect()
        gc.freeze()  # the fleet is known by now: it lives as long as the node
    if trial in ("threshold", "both"):
        gc.set_threshold(*TRIED)
    HOLDS.reset()


async def watch(out: Path, trial: str) -> None:
    """The node, until SIGTERM; at SIGUSR2 what was seen."""
    loop = asyncio.get_running_loop()

    def rare() -> None:
        seen = HOLDS.table()  # what was forced is no part of what was watched
        HOLDS.rows.clear()
        if Kept.made is not None:
            play_rare(Kept.made)
        forced = {
            n: row_of(t, 0.0) for n, t in HOLDS.rows.items() if n.startswith("rare")
        }
        coming = out.with_suffix(".coming")
        coming.write_text(json.dumps(seen | forced))
        coming.rename(out)

    loop.add_signal_handler(signal.SIGUSR1, begin, trial)
    loop.add_signal_handler(signal.SIGUSR2, rare)
    await process.serve(load(os.environ), process.load_operator_config(os.environ))


def run_node(out: str, trial: str = "") -> None:
    vars(process)["Node"] = Kept
    wrap_all()
    with asyncio.Runner(loop_factory=WatchedLoop) as runner:
        runner.run(watch(Path(out), trial))


# ---- the fleet -----------------------------------------------------------------------------------------


class Fleet(asyncio.DatagramProtocol):
    """Speaks for all members but one, from one socket, to that one."""

    def __init__(
        self, size: int, here: tuple[str, int], node: tuple[str, int], words: float
    ) -> None:
        self.names = [f"m{i:05}" for i in range(1, size)]
        self.here, self.node, self.words = here, node, words
        self.random = random.Random(size)
        self.node_name = ""
        self.empty = 0  # answers in a row without news: the node's queue is empty
        self.seq = 0
        self.turn = 0  # whose word comes next
        self.mark = Mux(cast(Any, _Nothing()), CLUSTER).cluster_hash
        rules = RecordRules(
            base_rate_bytes_per_s=4_000_000, max_rate_bytes_per_s=4_000_000
        )  # a fleet's budgets together
        self.table = RecordTable(self.names[0], size, rules, now_us=process_now())
        self.base: audit_status.StatusRecord | None = None
        self.told_at = 0.0
        self.pending: list[bytes] = []
        self.settled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.loop = asyncio.get_running_loop()
        self.ping()
        self.records()
        self.beat()
        self.pour()

    # ---- membership -----------------------------------------------------------------------------------

    def say(self, sender: str, message: Any) -> None:
        self.transport.sendto(
            encode(MembershipEnvelope(PROTOCOL_VERSION, CLUSTER, sender, 0, message)),
            self.node,
        )

    def ping(self) -> None:
        """As often as a member of a fleet is asked; faster while a newcomer has news that others know."""
        if not self.settled and self.empty > 20 and self.base is not None:
            self.settled = True
            print("settled", flush=True)
        self.loop.call_later(
            self.random.expovariate(1 / PROBE) if self.settled else FAST, self.ping
        )
        if self.node_name:
            self.seq += 1
            self.say(self.random.choice(self.names), Ping(self.seq, self.node_name))

    def pour(self) -> None:
        """What is long goes in pieces."""
        self.loop.call_later(PACE_S, self.pour)
        batch, self.pending = self.pending[:PACE], self.pending[PACE:]
        for data in batch:
            self.transport.sendto(data, self.node)

    def sync(self) -> None:
        """All members, as an answer to a join."""
        items = [
            MemberUpdate(n, *self.here, 0, MemberState.ALIVE, n) for n in self.names
        ]
        while items:
            data, count = encode_bounded(
                MembershipEnvelope(
                    PROTOCOL_VERSION, CLUSTER, self.names[0], 0, Sync(True)
                ),
                items,
            )
            self.pending.append(data)
            items = items[max(1, count) :]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if data and 0 < data[0] < 128:
            if data[0] == 1 and data[1 : 1 + CLUSTER_HASH_BYTES] == self.mark:
                self.post(
                    self.table.receive(
                        process_now(), data[1 + CLUSTER_HASH_BYTES :], self.node
                    )
                )
            return
        try:
            envelope = decode(data, CLUSTER)
        except MembershipDatagramError:
            return
        message = envelope.message
        if not self.node_name:
            self.node_name = envelope.sender
            self.table.set_live_members(
                process_now(), dict.fromkeys([*self.names, self.node_name], self.node)
            )
        if isinstance(message, Ping):
            self.say(message.target, Ack(message.sequence, message.target))
        elif isinstance(message, PingRequest):
            self.say(message.target, Ack(message.sequence, message.target, True))
        elif isinstance(message, Ack):
            self.empty = 0 if envelope.updates else self.empty + 1
        elif (
            isinstance(message, Sync)
            and not message.is_reply
            and self.loop.time() - self.told_at > 5
        ):
            self.told_at = self.loop.time()
            self.sync()

    # ---- records --------------------------------------------------------------------------------------

    def post(self, sends: list[Any]) -> None:
        for send in sends:
            self.transport.sendto(bytes((1,)) + self.mark + send.data, self.node)

    def records(self) -> None:
        """The table's own course: two exchanges a second reach a member, and news as it goes round."""
        self.loop.call_later(0.02, self.records)
        now = process_now()
        if now >= self.table.next_deadline():
            self.post(self.table.tick(now))
        if self.base is None and self.node_name:
            mine = self.table.get(self.node_name, audit_status.KIND)
            self.base = audit_status.decode(mine.body) if mine is not None else None
            if self.base is not None and self.base.list_versions:
                for name in self.names:
                    self.write(name, news=False)
            else:
                self.base = None

    def write(self, name: str, news: bool) -> None:
        """A member's word: that of the node, with its own head."""
        assert self.base is not None
        owner = self.table.replicas.owners[name]
        head = self.random.randbytes(8)
        said = msgspec.structs.replace(
            self.base, chain_head=head, ledger_entries=self.random.randrange(1, 99_999)
        )
        held = owner.records.get(audit_status.KIND)
        version = held.version + 1 if held is not None else 1
        now = process_now()
        self.table.replicas.store(
            owner,
            audit_status.KIND,
            StoredRecord(version, audit_status.encode(said), now),
        )
        if held is None:
            report = FaultReport(
                rejected_tenths=0,
                endpoint_list=EndpointListVersion(*self.base.list_versions[-1]),
            )
            self.table.replicas.store(
                owner, EVIDENCE, StoredRecord(1, write_report(report), now)
            )
        self.rise(name, news)

    def rise(self, name: str, news: bool) -> None:
        owner = self.table.replicas.owners[name]
        entry = VersionVectorEntry(owner.entry.counter + 1, owner.records_checksum)
        owner.advance(entry)
        owner.advanced_at_us = process_now()
        self.table.queue.add(owner.key, has_new_records=news)

    def beat(self) -> None:
        """Members' counts rise as often as the rule for so many says; words come at the rate asked for."""
        every = self.table.heartbeat_us / 1e6
        beats = len(self.names) / every
        rate = max(beats, self.words) if self.base is not None else 0.0
        self.loop.call_later(1 / rate if rate else 0.1, self.beat)
        if self.base is not None:
            self.turn += 1
            name = self.names[self.turn % len(self.names)]
            if self.random.random() < self.words / max(rate, 1e-9):
                self.write(name, news=True)
            else:
                self.rise(name, news=False)


class _Nothing:
    """In a mux's place of a transport, for its mark alone."""

    max_datagram_bytes = 1400


async def run_fleet(size: int, port: int, node_port: int, words: float) -> None:
    here, node = ("127.0.0.1", port), ("127.0.0.1", node_port)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: Fleet(size, here, node, words), local_addr=here
    )
    print(json.dumps([port]), flush=True)
    gc.collect()
    gc.freeze()
    await asyncio.Event().wait()


def role(arguments: list[str]) -> int:
    """One of the processes."""
    name, *rest = arguments
    if name == "node":
        run_node(*rest)
    else:
        uvloop.run(run_fleet(int(rest[0]), int(rest[1]), int(rest[2]), float(rest[3])))
    return 0


if __name__ == "__main__":
    sys.exit(role(sys.argv[1:]))
