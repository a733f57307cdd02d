"""Tests the features `[shards]` and `[forecast]` on a real node with servers on loopback."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from loopback import Bench, Client, Request, Server, call, play, until

from loadbalancer.config.operator_config import OperatorConfig, build
from loadbalancer.forecast.key_records import encode_report
from loadbalancer.forecast.key_sample import KeySample
from loadbalancer.forecast.migration import ChangeKind
from loadbalancer.forecast.rendezvous import POSITION_COUNT
from loadbalancer.node.discovery.endpoint_list_codec import Line
from loadbalancer.node.features.feature import (
    Answer,
    Change,
    ListUpdate,
    Version,
    VersionSource,
)
from loadbalancer.node.features.forecast import ForecastFeature
from loadbalancer.node.features.key_reports import record_kinds
from loadbalancer.node.features.shards import ShardsFeature
from loadbalancer.node.node import Node
from loadbalancer.node.numbering import number_of
from loadbalancer.policy.api import EndpointState, ListUpdateKind
from loadbalancer.records.interface import MAX_BODY_BYTES, Record

ROOT = Path(__file__).parent.parent
KEYS = {"view": "header x-item", "invite": "header x-item"}


class CachingServer(Server):
    """A server with an unbounded cache, which reports hits and misses in a header."""

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.keys: list[str] = []
        self.cached: set[str] = set()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bytes | None:
        key = request.headers.get("x-item", "")
        self.keys.append(key)
        result = b"HIT" if key in self.cached else b"MISS"
        self.cached.add(key)
        return (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Cache: %b from cache\r\n\r\nok"
            % result
        )


def operation(count: int = 64, homes: int = 1, **forecast_table: Any) -> OperatorConfig:
    shards = {"count": count, "homes": homes, "members": 8, "keys": KEYS}
    table: dict[str, Any] = {"shards": shards}
    if forecast_table:
        table["forecast"] = {"hit_header": "X-Cache", **forecast_table}
    return build(table, "operator.toml")


async def started(config: OperatorConfig | None, *servers: Server) -> Bench:
    bench = Bench(*servers, config={"control": "127.0.0.1:0"})
    original_init = Node.__init__
    try:
        Node.__init__ = lambda node, node_config, loop, _=None: original_init(
            node, node_config, loop, config
        )  # type: ignore[method-assign, assignment, misc]
        return await bench.start()
    finally:
        Node.__init__ = original_init  # type: ignore[method-assign]


def features(bench: Bench) -> tuple[ShardsFeature, ForecastFeature | None]:
    assert bench.node.feature_host is not None
    shards, forecast = (
        bench.node.feature_host.features.get(t) for t in ("shards", "forecast")
    )
    assert isinstance(shards, ShardsFeature)
    return shards, forecast if isinstance(forecast, ForecastFeature) else None


async def ask(
    bench: Bench, client: Client, number: int, class_name: str = "view"
) -> None:
    status, _, _ = await client.ask(call(class_name, extra=b"X-Item: k%d\r\n" % number))
    assert status == 200


def servers_by_key(servers: list[CachingServer]) -> dict[str, set[int]]:
    found: dict[str, set[int]] = {}
    for i, server in enumerate(servers):
        for key in server.keys:
            found.setdefault(key, set()).add(i)
    return found


def test_each_key_goes_to_its_replica_and_hits_are_counted() -> None:
    async def scene() -> None:
        servers = [CachingServer() for _ in range(4)]
        bench = await started(operation(decide=False), *servers)
        client = await bench.client()
        for n in [*range(40)] * 3:
            await ask(bench, client, n)
        assert all(len(at) == 1 for at in servers_by_key(servers).values())
        assert sum(bool(s.keys) for s in servers) == 4
        shards, forecast = features(bench)
        assert forecast is not None
        assert shards.metrics()["at_home"] == 120
        figures = forecast.metrics()
        assert figures["requests"] == 120
        assert figures["sampled"] == 40
        assert figures["hit_rate"] == pytest.approx(80 / 120, abs=1e-4)

    play(scene)


def test_servers_in_later_parts_of_the_first_list_do_not_count_as_joined() -> None:
    def list_update(
        number: int, kind: ListUpdateKind, more: bool, *names: str
    ) -> ListUpdate:
        lines = tuple(
            Line(n, "127.0.0.1", 9, "here", "std", 0, EndpointState.READY, 1.0, 0)
            for n in names
        )
        return ListUpdate(
            Version(VersionSource.LIST, "here", number, ""), kind, lines, more
        )

    async def scene() -> None:
        bench = await started(operation(), CachingServer())
        shards, _ = features(bench)
        shards.listed, shards.first_list_complete = set(), False
        shards.on_list_update(list_update(1, ListUpdateKind.FULL, True, "a", "b"))
        shards.on_list_update(list_update(1, ListUpdateKind.FULL, False, "c"))
        assert not shards.joined_at
        shards.on_list_update(list_update(2, ListUpdateKind.CHANGES, False, "a", "d"))
        assert set(shards.joined_at) == {number_of("d")}

    play(scene)


def test_a_class_that_is_not_safe_to_repeat_has_no_key(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scene() -> None:
        servers = [CachingServer() for _ in range(4)]
        bench = await started(operation(), *servers)
        client = await bench.client()
        for _ in range(30):
            await ask(bench, client, 1, "invite")
        assert len(servers_by_key(servers)["k1"]) > 1
        assert features(bench)[0].metrics()["at_home"] == 0

    play(scene)
    log = capfd.readouterr().err
    assert "ShardsUnsafe" in log
    assert "shards.keys.invite" in log


def test_a_new_number_of_shards_applies_at_once_where_the_forecast_does_not_decide() -> (
    None
):
    async def scene() -> None:
        bench = await started(operation(decide=False), CachingServer(), CachingServer())
        bench.node.reload(bench.node.config, operation(count=128, decide=False))
        await until(lambda: features(bench)[0].metrics()["count"] == 128)

    play(scene)


def test_an_unknown_forecast_defers_a_change_of_shards_until_the_longest_wait(
    capfd: pytest.CaptureFixture[str],
) -> None:
    rules = {
        "decide": True,
        "again_s": 0.05,
        "pause_s": 0.05,
        "longest_pause_s": 0.05,
        "most_steps": 4,
    }

    async def scene() -> None:
        bench = await started(
            operation(longest_wait_s=1.0, **rules),
            CachingServer(),
            CachingServer(),
            CachingServer(),
        )
        shards, forecast = features(bench)
        assert forecast is not None
        client = await bench.client()
        for n in range(20):
            await ask(bench, client, n)
        bench.node.reload(
            bench.node.config, operation(count=128, longest_wait_s=1.0, **rules)
        )
        await until(lambda: ChangeKind.SHARDS in forecast.plans)
        assert forecast.plans[ChangeKind.SHARDS][1].steps == 0
        assert shards.metrics()["count"] == 64
        assert bench.node.feature_host is not None
        assert bench.node.feature_host.change_approval.pending["shards"].reason
        await until(lambda: shards.metrics()["count"] == 128)
        assert shards.metrics()["steps"] is not None
        await until(lambda: not shards.router.is_migrating())

    play(scene)
    log = capfd.readouterr().err
    assert "ForecastUnknown" in log
    assert "too few requests" in log


def test_joining_servers_get_shards_in_steps_and_a_draining_one_loses_them_at_once() -> (
    None
):
    rules = {
        "decide": True,
        "again_s": 0.05,
        "pause_s": 0.2,
        "longest_pause_s": 0.2,
        "most_steps": 3,
    }

    async def scene() -> None:
        servers = [CachingServer() for _ in range(6)]
        bench = await started(operation(longest_wait_s=0.5, **rules), *servers[:4])
        shards, _ = features(bench)
        client = await bench.client()
        for n in range(40):
            await ask(bench, client, n)
        before = servers_by_key(servers)
        for joining in servers[4:]:
            await joining.start()
        lines = [s.entry(f"s{i}") for i, s in enumerate(servers)]
        lines[0]["state"] = "draining"
        bench.discovery.say(42, True, *lines)
        await until(lambda: len(bench.node.balancer.subset.members) == 5)
        key_counts = {i: len(s.keys) for i, s in enumerate(servers)}
        for n in range(40):
            await ask(bench, client, n)
        # The draining server loses its shards without delay. The other servers keep theirs, because the
        # forecast of the join is still unknown.
        assert len(servers[0].keys) == key_counts[0]
        moved = [
            n
            for n in range(40)
            if before[f"k{n}"] != {0} and f"k{n}" in servers[4].keys + servers[5].keys
        ]
        assert not moved
        await until(lambda: not shards.router.is_migrating())
        for n in range(40):
            await ask(bench, client, n)
        assert servers[4].keys
        assert servers[5].keys

    play(scene)


def test_reports_of_other_nodes_are_read_and_missing_ones_widen_the_forecast() -> None:
    class Table:
        """The records of other nodes, with the interface of the membership's records."""

        def __init__(self) -> None:
            self.lines: dict[tuple[str, str], Record] = {}

        def put(self, kind: str, body: bytes) -> None:
            self.lines["n0", kind] = Record("n0", kind, 1, body)

        def get(self, owner: str, kind: str) -> Record | None:
            return self.lines.get((owner, kind))

        def of(self, kind: str) -> list[Record]:
            return [r for (_, k), r in sorted(self.lines.items()) if k == kind]

    def put_report(table: Table, owner: str, base: int, version: int = 1) -> None:
        sample = KeySample(10**9, 0)
        for n in range(500):
            sample.add((base + n * 7_919_317) % POSITION_COUNT)
        for kind, body in zip(
            record_kinds(2),
            encode_report(sample.digest(1_000_000), 9, 2, MAX_BODY_BYTES),
            strict=True,
        ):
            table.lines[owner, kind] = Record(owner, kind, version, body)

    async def scene() -> None:
        bench = await started(
            operation(decide=True, entries=50, server_misses_per_s=1e6),
            CachingServer(),
            CachingServer(),
        )
        _, forecast = features(bench)
        assert forecast is not None
        table = Table()
        forecast.reports.records = table  # type: ignore[assignment]
        live = ["n0", "n1", "n2", "n3"]
        bench.node.feature_host.live_members = lambda: live  # type: ignore[method-assign, union-attr]
        for owner in ("n1", "n2", "n9"):  # n3 sends no report, n9 is dead
            put_report(table, owner, 5)
        reports = dict(forecast.reports.collect())
        assert set(reports) == {"n0", "n1", "n2"}
        assert reports["n1"].subset_size == 9
        table.lines["n1", "keys.0"] = Record("n1", "keys.0", 2, b"nonsense")
        assert (
            dict(forecast.reports.collect())["n1"].digest.requests == 500
        )  # the last report that could be decoded is kept
        answers: list[Answer] = []
        forecast.on_change_requested(Change.PLACEMENT, "tier=0", answers.append)
        await until(lambda: bool(answers))
        assert forecast.last is not None
        assert not forecast.last.unknown_reason
        assert answers[0].allowed
        assert forecast.last.margin > 0.08  # a quarter of the nodes sent no report
        del table.lines["n1", "keys"], table.lines["n2", "keys"]
        forecast.plans.clear()
        forecast.on_change_requested(Change.PLACEMENT, "tier=0", answers.append)
        await until(lambda: len(answers) == 2)
        assert not answers[1].allowed
        assert "not reported" in answers[1].reason
        # With cells only records of the own cell arrive; the fraction of reports missing in this cell is
        # taken for the entire fleet.
        many = [*live, *(f"x{i}" for i in range(40))]
        bench.node.feature_host.live_members = lambda: many  # type: ignore[method-assign, union-attr]
        bench.node.feature_host.cell_members = lambda: ["n0", "n1", "n2"]  # type: ignore[method-assign, union-attr]
        for owner in ("n1", "n2"):
            put_report(table, owner, 5, 3)
        forecast.plans.clear()
        forecast.on_change_requested(Change.PLACEMENT, "tier=0", answers.append)
        await until(lambda: len(answers) == 3)
        assert not forecast.last.unknown_reason
        assert answers[2].allowed

    play(scene)


def test_tolerable_misses_are_estimated_from_the_concurrency_limit() -> None:
    async def scene() -> None:
        bench = await started(
            operation(decide=True, entries=50), CachingServer(), CachingServer()
        )
        _, forecast = features(bench)
        assert forecast is not None
        own = 100.0
        forecast.observer.sample.current.requests = int(own * 10)
        forecast.observer.sample.current.started_at = bench.node.now() - 10_000_000
        assert (
            forecast.forecaster.tolerable_misses(own, 10, 0.5) == 0.0
        )  # no hits and misses have been timed yet
        for duration, mean_us in (
            (forecast.observer.hit_duration, 2_000.0),
            (forecast.observer.miss_duration, 20_000.0),
        ):
            duration.mean_us, duration.answers = mean_us, 100
        bench.node.balancer.limit.measuring = False
        bench.node.balancer.limit.limit = 30.0
        # 30 calls in flight at ten servers are three for each. Hits occupy 0.01 of them, and a miss takes
        # 0.02 s.
        assert forecast.forecaster.tolerable_misses(own, 10, 0.5) == pytest.approx(
            (3 - 0.01) / 0.02, rel=0.02
        )
        assert forecast.forecaster.tolerable_misses(2 * own, 10, 0.5) == pytest.approx(
            (6 - 0.02) / 0.02, rel=0.02
        )

    play(scene)


def test_the_accuracy_is_shown_and_stored(capfd: pytest.CaptureFixture[str]) -> None:
    async def scene() -> None:
        bench = await started(operation(decide=False), CachingServer())
        _, forecast = features(bench)
        assert forecast is not None
        assert bench.node.control is not None
        forecast.accuracy.restore({"place": [[0.3], True, 0, 1, 1]})
        client = await Client(bench.node.control.port).open()
        status, _, body = await client.ask(b"GET /admin/forecast HTTP/1.1\r\n\r\n")
        table = json.loads(body)
        assert status == 200
        assert table["account"]["kinds"]["place"]["believed"] is False
        forecast.save_accuracy()
        forecast.accuracy.kinds.clear()
        forecast.restore_accuracy()
        assert not forecast.accuracy.is_trusted("place")
        bench.node.reload(bench.node.config, None)
        assert bench.node.on_request is None
        assert bench.node.pool.hit_header == b""

    play(scene)


def test_shards_can_be_enabled_and_disabled_on_a_running_node() -> None:
    async def scene() -> None:
        bench = await started(build({}, "f"), CachingServer())
        client = await bench.client()
        await ask(bench, client, 1)
        assert bench.node.balancer.selector.preferred_taken == 0
        bench.node.reload(bench.node.config, operation())
        await ask(bench, client, 2)
        assert bench.node.balancer.selector.preferred_taken == 1
        assert bench.node.settings.min_subset_size > 0
        bench.node.reload(bench.node.config, build({}, "f"))
        await ask(bench, client, 3)
        assert bench.node.balancer.selector.preferred_taken == 1
        assert bench.node.settings.min_subset_size == 0

    play(scene)


def test_without_shards_their_modules_are_not_imported() -> None:
    code = (
        "import sys, loadbalancer.node.node, loadbalancer.node.features.host\n"
        "import loadbalancer.config.operator_config\n"
        "loadbalancer.config.operator_config.build({'zones': {}}, 'f')\n"
        "found = [m for m in sys.modules if m.startswith('loadbalancer.forecast.')]\n"
        "assert found == ['loadbalancer.forecast.migration_rules'], found\n"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
