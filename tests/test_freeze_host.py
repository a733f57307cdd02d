"""The change-freeze feature: several feature hosts, connected by channels in memory, with their stores."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from time import monotonic_ns
from typing import Any

import pytest

from loadbalancer.audit import status as audit_status
from loadbalancer.config.operator_config import (
    OperatorConfig,
    OperatorConfigConflictError,
    OperatorConfigError,
    build,
)
from loadbalancer.errors import LoadBalancerError
from loadbalancer.freeze.changes import Answer, Change
from loadbalancer.freeze.evidence import (
    EndpointListVersion,
    EvidenceEvaluator,
    EvidenceRules,
    FaultReport,
    FaultWitness,
    IncidentDecision,
    decode,
    encode,
)
from loadbalancer.node.features.feature import AttemptEnd, Version, VersionSource
from loadbalancer.node.features.freeze import FreezeFeature
from loadbalancer.policy.api import Outcome
from loadbalancer.records.interface import Record
from loadbalancer.stores.interface import StoreCorruptError, StoreFullError
from loadbalancer.stores.memory import MemoryStore
from loadbalancer.transports.interface import DatagramReceiver

TABLE = {
    "electors": ["n0", "n1", "n2"],
    "lease_s": 0.5,
    "begin_s": 0.2,
    "alone_s": {"settings": 0.5},
}


class Records:
    """One node's access to the records, which all nodes share."""

    def __init__(self, shared: dict[tuple[str, str], bytes], name: str) -> None:
        self.shared, self.name = shared, name

    def put(self, kind: str, body: bytes) -> None:
        self.shared[self.name, kind] = body

    def get(self, owner: str, kind: str) -> Record | None:
        body = self.shared.get((owner, kind))
        return Record(owner, kind, 1, body) if body is not None else None

    def of(self, kind: str) -> list[Record]:
        return [
            Record(o, k, 1, body) for (o, k), body in self.shared.items() if k == kind
        ]


class MemoryChannel:
    """One node's end of the network in memory."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name

    def send(self, data: bytes, to: tuple[str, int]) -> bool:
        received = self.fleet.receivers.get(to[0])
        if (
            received is not None
            and self.name not in self.fleet.isolated
            and to[0] not in self.fleet.isolated
        ):
            asyncio.get_running_loop().call_soon(received, data, (self.name, 1))
        return True


class Host:
    """The services of a node that the freeze feature uses."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name, self.loop = fleet, name, asyncio.get_running_loop()
        self.memory_store: Any = MemoryStore()
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.versions: list[Version] = []

    def now(self) -> int:
        return monotonic_ns() // 1000

    def seed(self) -> int:
        return hash(self.name)

    def log_event(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def operator_config(self) -> OperatorConfig:
        return self.fleet.operation

    def live_members(self) -> list[str]:
        return [*self.fleet.features, *self.fleet.other_cells]

    def cell_members(self) -> list[str]:
        return list(self.fleet.features)

    def member_address(self, name: str) -> tuple[str, int]:
        return name, 1

    def channel(self, tag: int, received: DatagramReceiver) -> Any:
        self.fleet.receivers[self.name] = received
        return MemoryChannel(self.fleet, self.name)

    def records(self) -> Any:
        return Records(self.fleet.shared_records, self.name)

    def store(self) -> Any:
        return self.memory_store

    def announce_version(self, version: Version) -> None:
        self.versions.append(version)


class Fleet:
    """Four nodes with freeze features; three of them are electors.

    Attributes:
        operation: The operator configuration of all nodes.
        receivers: The receiver of each node's channel.
        isolated: Names of nodes whose datagrams are dropped.
        shared_records: The records by owner and kind.
        hosts: The hosts by node.
        features: The features by node.
        other_cells: Names of live members of other cells, whose records are not received.
    """

    def __init__(self, **table: Any) -> None:
        self.operation = build({"membership": {}, "freeze": {**TABLE, **table}}, "test")
        self.receivers: dict[str, DatagramReceiver] = {}
        self.isolated: set[str] = set()
        self.shared_records: dict[tuple[str, str], bytes] = {}
        self.hosts: dict[str, Host] = {}
        self.features: dict[str, FreezeFeature] = {}
        self.other_cells: list[str] = []

    def start(self) -> None:
        for i in range(4):
            self.features[f"n{i}"] = FreezeFeature()
        for name, feature in self.features.items():
            self.hosts[name] = Host(self, name)
            feature.start(self.hosts[name])  # type: ignore[arg-type]

    def coordinator(self) -> str:
        now = monotonic_ns() // 1000
        found = (p.machine.elector for p in self.features.values())
        return next((e.name for e in found if e is not None and e.is_leading(now)), "")

    async def until(self, condition: Callable[[], Any], seconds: float = 10.0) -> Any:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.005)
        return condition()

    async def ask(self, name: str, change: Change, scope: str = "zone=a") -> Answer:
        """Requests a change at a node and returns the answer."""
        answers: list[Answer] = []
        self.features[name].on_change_requested(change, scope, answers.append)
        await self.until(lambda: answers)
        return answers[0]

    async def post(
        self, name: str, path: str, **values: str
    ) -> tuple[int, dict[str, Any]]:
        """Makes an operator's call and repeats it until its outcome is final."""
        while True:
            status, table = self.features[name].commands()[f"/admin/freeze/{path}"](
                values
            )
            if status != 202:
                return status, table
            await asyncio.sleep(0.02)


def run_scenario(scenario: Callable[[Fleet], Any], **table: Any) -> None:
    async def run() -> None:
        fleet = Fleet(**table)
        fleet.start()
        try:
            await fleet.until(fleet.coordinator)
            await scenario(fleet)
        finally:
            for feature in fleet.features.values():
                feature.stop(False)

    asyncio.run(run())


def test_a_change_waits_for_an_incident_opened_at_another_node_and_names_it() -> None:
    async def scenario(fleet: Fleet) -> None:
        assert (await fleet.ask("n3", Change.SETTINGS)).fencing_token is not None
        fleet.features["n3"].on_change_made(Change.SETTINGS, "zone=a", None)
        status, table = await fleet.post(
            "n1", "open", id="fire", scope="zone=a", why="drill", by="Ada"
        )
        assert (status, table["state"]) == (200, "go")
        answer = await fleet.ask("n3", Change.SETTINGS)
        assert not answer.allowed
        assert "fire (drill) by Ada" in answer.reason
        assert answer.retry_after_s > 0
        assert (await fleet.ask("n3", Change.SETTINGS, "zone=b")).allowed
        page = fleet.features["n3"].pages()["/admin/freeze"]()
        assert page[0]
        assert [i["id"] for i in page[1]["incidents"]] == ["fire"]
        status, table = await fleet.post(
            "n3", "request", id="mend", scope="zone=a", mends="fire"
        )
        assert status == 200
        assert table["token"]
        assert (await fleet.post("n2", "close", id="fire"))[0] == 200
        # The upgrade that resolves the incident is still active.
        assert not (await fleet.ask("n3", Change.PLACEMENT)).allowed
        assert (await fleet.post("n3", "done", id="mend"))[1]["state"] == "over"
        await fleet.until(lambda: not fleet.features["n3"].machine.client.finishing)
        assert (await fleet.ask("n3", Change.PLACEMENT)).allowed
        assert {v.source for v in fleet.hosts["n3"].versions} == {VersionSource.TERM}

    run_scenario(scenario)


def test_without_a_coordinator_a_reload_proceeds_after_a_time_and_a_quarantine_never() -> (
    None
):
    async def scenario(fleet: Fleet) -> None:
        fleet.isolated.add("n3")
        feature = fleet.features["n3"]
        rules = feature.rules.client.no_coordinator
        # Shorter time limits of the answers keep the test short.
        object.__setattr__(rules["settings"], "answer_after_us", 300_000)
        object.__setattr__(rules["shut-out"], "answer_after_us", 300_000)
        settings = await fleet.ask("n3", Change.SETTINGS)
        # The node may have had contact with a coordinator less than half a second ago.
        if not settings.allowed:
            settings = await fleet.ask("n3", Change.SETTINGS)
        assert settings.allowed
        assert settings.fencing_token is None
        assert "without a grant" in settings.reason
        answer = await fleet.ask("n3", Change.SHUT_OUT)
        assert not answer.allowed
        assert "n0, n1, n2 must run and reach each other" in answer.reason

    run_scenario(scenario)


def test_an_elector_whose_store_fails_makes_no_promise_that_it_could_not_store() -> (
    None
):
    async def scenario(fleet: Fleet) -> None:
        victim = fleet.coordinator()
        host = fleet.hosts[victim]
        good = host.memory_store.replace

        def full(name: str, data: bytes | None) -> None:
            raise StoreFullError("no space", "a test")

        host.memory_store.replace = full
        asking = asyncio.ensure_future(fleet.ask("n3", Change.UPGRADE))
        store_error = await fleet.until(
            lambda: fleet.features[victim].page()[1]["store"]
        )
        assert "no space" in store_error
        assert fleet.features[victim].machine.elector is None
        assert any(event == "freeze store failed" for event, _ in host.events)
        answer = await asking  # from the next coordinator, or without a grant
        assert answer.allowed == (answer.fencing_token is not None)
        await fleet.until(lambda: fleet.coordinator() not in ("", victim))
        host.memory_store.replace = good
        await fleet.until(lambda: not fleet.features[victim].store_error)
        assert fleet.features[victim].machine.elector is not None

    run_scenario(scenario)


def test_a_corrupt_record_counts_as_lost_state() -> None:
    async def scenario(fleet: Fleet) -> None:
        victim = next(n for n in ("n0", "n1", "n2") if n != fleet.coordinator())
        feature, host = fleet.features[victim], fleet.hosts[victim]
        feature.stop(False)

        def damaged(name: str) -> bytes:
            raise StoreCorruptError("flipped bits", name)

        host.memory_store.get = damaged
        fleet.features[victim] = restarted = FreezeFeature()
        restarted.start(host)  # type: ignore[arg-type]
        assert restarted.machine.elector is not None
        assert restarted.machine.elector.state_lost
        await fleet.until(
            lambda: (
                restarted.machine.elector is not None
                and not restarted.machine.elector.state_lost
            )
        )

    run_scenario(scenario)


def test_an_outdated_node_stops_coordinating_and_does_not_vote() -> None:
    async def scenario(fleet: Fleet) -> None:
        victim = fleet.coordinator()
        outdated_status = audit_status.StatusRecord(
            incarnation=1, ledger_entries=1, chain_head=b"", step=2
        )
        fleet.shared_records[victim, audit_status.KIND] = audit_status.encode(
            outdated_status
        )
        await fleet.until(lambda: fleet.coordinator() not in ("", victim))
        elector = fleet.features[victim].machine.elector
        assert elector is not None
        assert elector.vote_guard.disabled
        assert ("freeze coordinator stopped", "a straggler does not coordinate") in [
            (event, fields.get("reason"))
            for event, fields in fleet.hosts[victim].events
        ]
        del fleet.shared_records[victim, audit_status.KIND]
        await fleet.until(lambda: not elector.vote_guard.disabled)

    run_scenario(scenario)


@pytest.mark.parametrize("other_cells", [0, 40])
def test_a_fault_that_a_majority_reports_opens_an_incident(other_cells: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        # Failure prevented: with cells, the received reports are never those of a majority of the fleet.
        fleet.other_cells = [f"x{i}" for i in range(other_cells)]
        for feature in fleet.features.values():
            feature.witness.rules = replace(feature.witness.rules, window_us=1_000_000)
            feature.witness.window_ends_at = 0
            feature.witness.zones = {f"s{i}": "a" for i in range(4)}
        found: list[str] = []
        while not found:
            for feature in fleet.features.values():
                for i in range(4):
                    end = AttemptEnd(f"s{i}", "look", Outcome.TIMEOUT, 0, 1, None, None)
                    feature.on_attempt_end(end)
            await asyncio.sleep(0.05)
            found = [i.id for i in fleet.features["n3"].machine.client.open_incidents()]
        assert found == ["zone-a-fails"]

    run_scenario(scenario, evidence_hold_s=0.5)


def test_errors_of_malformed_calls_name_a_remedy() -> None:
    async def scenario(fleet: Fleet) -> None:
        calls = fleet.features["n0"].commands()
        for path, values in [
            ("open", {}),
            ("open", {"id": "x", "scope": "planet=earth"}),
            ("open", {"id": "x", "severity": "4"}),
            ("open", {"id": "\N{SNOWMAN}"}),
            ("request", {"id": "x", "kind": "party"}),
            ("request", {"id": "x", "life_s": "0"}),
            ("done", {"id": "never"}),
            ("begin", {"why": "x"}),
        ]:
            with pytest.raises(LoadBalancerError) as caught:
                calls[f"/admin/freeze/{path}"](values)
            assert caught.value.advice

    run_scenario(scenario)


def test_the_freeze_table_is_validated() -> None:
    for table in (
        {"electors": ["a", "b"]},
        {"electors": ["a", "b", "b"]},
        {"electors": ["a", "b", "c"], "alone_s": {"party": 1}},
        {"electors": ["a", "b", "c"], "alone_s": {"settings": 0}},
        {"electors": ["a", "b", "c"], "leese_s": 2},
    ):
        with pytest.raises(OperatorConfigError):
            build({"membership": {}, "freeze": table}, "test")
    with pytest.raises(OperatorConfigConflictError, match=r"\[membership\] is missing"):
        build({"freeze": TABLE}, "test")
    found = build(
        {"membership": {}, "freeze": {**TABLE, "never_alone": ["settings"]}}, "test"
    ).freeze
    assert found is not None
    assert (
        found.rules({}).client.no_coordinator["settings"].proceed_after_silence_us
        is None
    )


def fault_report(failing: int) -> FaultReport:
    return FaultReport({"a": failing, "b": 0}, 0)


def test_a_zone_that_a_majority_reports_as_failing_is_an_incident_until_the_quiet_period_ends() -> (
    None
):
    evidence, live = EvidenceEvaluator(EvidenceRules()), [f"n{i}" for i in range(5)]
    decisions: list[tuple[float, IncidentDecision]] = []

    def evaluate(seconds: float, failing: int) -> None:
        reports = {
            n: fault_report(10 if i < failing else 0) for i, n in enumerate(live[:4])
        }
        now = int(seconds * 1e6)
        decisions.extend((seconds, v) for v in evidence.evaluate(now, reports, live))

    for s in range(10):
        evaluate(1 + s, 1)  # a single node reports the fault
    assert decisions == []
    for s in range(60):  # the fault appears and disappears every two seconds
        evaluate(20 + s, 4 if s // 2 % 2 == 0 else 0)
    assert decisions == []  # the fault never lasts for the required time
    for s in range(200):
        evaluate(100 + s, 4 if s < 50 and s % 4 < 3 else 0)
    assert [(v.opens, v.incident_id, v.scope) for _, v in decisions] == [
        (True, "zone-a-fails", "zone=a"),
        (False, "zone-a-fails", "zone=a"),
    ]
    # 30 s after the last report, not at the first report without the fault.
    assert 178 <= decisions[1][0] <= 182


def test_evidence_of_a_minority_opens_and_closes_no_incident() -> None:
    evidence, live = EvidenceEvaluator(EvidenceRules()), [f"n{i}" for i in range(6)]
    for s in range(100):
        assert (
            evidence.evaluate(
                s * 1_000_000, {n: fault_report(10) for n in live[:3]}, live
            )
            == []
        )
    evidence.adopt(0, {"zone-a-fails": "zone=a"})
    assert (
        evidence.evaluate(200_000_000, {n: fault_report(0) for n in live[:3]}, live)
        == []
    )
    # The quiet period starts here.
    assert (
        evidence.evaluate(300_000_000, {n: fault_report(0) for n in live}, live) == []
    )
    found = evidence.evaluate(330_000_000, {n: fault_report(0) for n in live}, live)
    assert [v.opens for v in found] == [False]


def test_rejections_and_diverging_lists_are_evidence() -> None:
    live = [f"n{i}" for i in range(4)]
    for name, reports in {
        "servers-refuse": {n: FaultReport({}, 8) for n in live},
        "lists-diverge": {
            n: FaultReport({}, -1, EndpointListVersion("d", 7, "ab"[i % 2]))
            for i, n in enumerate(live)
        },
    }.items():
        evidence = EvidenceEvaluator(EvidenceRules())
        found = [
            v
            for s in range(5)
            for v in evidence.evaluate(s * 1_000_000 + 1, reports, live)
        ]
        assert [(v.opens, v.incident_id) for v in found] == [(True, name)]


def test_a_fault_report_summarizes_the_attempts_of_a_node() -> None:
    witness = FaultWitness(EvidenceRules())
    witness.zones = {"s0": "a", "s1": "a", "s2": "b"}
    witness.report(1, EndpointListVersion())
    for _ in range(20):
        witness.record_attempt("s0", succeeded=False, rejected=False)
        witness.record_attempt("s1", succeeded=True, rejected=False)
        witness.record_attempt("s2", succeeded=False, rejected=True)
    report = witness.report(10_000_000, EndpointListVersion("d", 3, "x"))
    assert report == FaultReport({"a": 5}, 3, EndpointListVersion("d", 3, "x"))
    assert decode(encode(report)) == report
    assert decode(b"\xc1") is None
