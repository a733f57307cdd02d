"""Tests cells on real nodes: the scope of records, the admin pages, and a layout that changes at a SIGHUP."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from loopback import Bench, Server, play, until
from test_audit import FAST_TABLE as FAST_AUDIT
from test_audit import NEXT_LIST, FakeNetwork, close, fleet
from test_members import get_admin, node_with

from loadbalancer.audit.fleet_view import HealthState
from loadbalancer.audit.status import KIND, QuarantineState
from loadbalancer.cells.layout import Layout
from loadbalancer.cells.messages import FleetSummaryReply, SummaryReport, encode
from loadbalancer.cells.reporter import reporters
from loadbalancer.cells.rules import CollectorRules
from loadbalancer.config.operator_config import (
    OperatorConfig,
    OperatorConfigConflictError,
    OperatorConfigError,
    build,
)
from loadbalancer.locality.agreed_zone_failover import AgreedZoneFailover
from loadbalancer.locality.messages import LoadReport
from loadbalancer.node.features.audit import AuditFeature
from loadbalancer.node.features.cells import CellsFeature
from loadbalancer.node.features.locality import LocalityFeature

NAMES = ["n2", "n3", "n4", "n5", "n6", "n8"]
TWO_CELLS = Layout(2)


def operator_config(
    seed: str = "", cells: dict[str, Any] | None = None, **tables: Any
) -> OperatorConfig:
    table: dict[str, Any] = {
        "membership": {"listen": "127.0.0.1:0", "seeds": [seed] if seed else []}
    }
    table |= {"audit": {"numbering": "d"}, **tables}
    if cells is not None:
        table["cells"] = cells
    return build(table, "operator.toml")


async def nodes(
    cells: dict[str, Any] | None, *names: str, **tables: Any
) -> tuple[list[Bench], str]:
    """Returns nodes that all see each other as live, and the first node's membership address."""
    first = await node_with(
        operator_config(cells=cells, **tables),
        peers=True,
        name=names[0],
        control="127.0.0.1:0",
    )
    members = first.node.members
    assert members is not None
    await until(lambda: members.swim is not None)
    assert members.swim is not None
    seed = "{}:{}".format(*members.swim.local.address)
    rest = [
        await node_with(
            operator_config(seed, cells, **tables),
            peers=True,
            name=n,
            control="127.0.0.1:0",
        )
        for n in names[1:]
    ]
    benches = [first, *rest]
    await until(
        lambda: all(
            len(b.node.feature_host.live_members()) == len(names) for b in benches
        )
    )
    return benches, seed


def audit_sources(bench: Bench) -> set[str]:
    """Returns the nodes whose audit records this node has received."""
    return {r.owner for r in bench.node.feature_host.records().of(KIND)}


def test_records_come_from_the_own_cell_and_the_membership_stays_whole() -> None:
    assert sorted(TWO_CELLS.sizes(NAMES)) == [2, 4]

    async def scene() -> None:
        benches, seed = await nodes({"count": 2}, *NAMES)
        for bench in benches:
            scope = set(TWO_CELLS.scope(bench.node.config.name, NAMES))
            assert set(bench.node.feature_host.cell_members()) == scope
            assert set(bench.node.feature_host.live_members()) == set(NAMES)
        await until(
            lambda: all(
                audit_sources(b) == set(TWO_CELLS.scope(b.node.config.name, NAMES))
                for b in benches
            )
        )
        audit = benches[0].node.feature_host.features["audit"]
        assert isinstance(audit, AuditFeature)
        await until(
            lambda: (
                audit.view is not None
                and set(audit.view.live) == set(audit_sources(benches[0]))
            )
        )
        remediator, ledger = audit.context.evaluator.remediator, audit.ledger
        for bench, s in zip(
            benches, ["", *[seed] * 5], strict=True
        ):  # one cell, at a SIGHUP
            bench.node.reload(bench.node.config, operator_config(s, {"count": 1}))
        assert (
            audit.context.evaluator.remediator is not remediator
        )  # in a changed group the earlier votes are void
        assert audit.ledger is ledger  # the ledger is continued
        await until(lambda: all(audit_sources(b) == set(NAMES) for b in benches))
        assert set(benches[0].node.feature_host.cell_members()) == set(NAMES)
        for bench, s in zip(benches, ["", *[seed] * 5], strict=True):
            bench.node.reload(bench.node.config, operator_config(s))
        assert benches[0].node.members is not None
        assert benches[0].node.members.layout is None

    play(scene)


def test_a_quarantined_node_rejoins_when_its_cell_changes_and_keeps_its_ledger() -> (
    None
):
    async def scene() -> None:
        audit_settings = {
            "out_after_s": 0.5,
            "out_share_percent": 25.0,
            "in_after_s": 30.0,
        }
        hosts = await fleet(FakeNetwork(), **audit_settings)
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
            host.feature.endpoint_exchange.channel = None  # no peer can send its list
        await until(lambda: behind.quarantined is True)
        request_number, entries = (
            behind.feature.context.evaluator.remediator.quarantine.request_number,
            behind.feature.ledger.state.entries,
        )
        changed = {
            "audit": FAST_AUDIT | audit_settings,
            "membership": {},
            "cells": {"count": 2},
        }
        behind.feature.reload(build(changed, "operator.toml"))
        assert behind.quarantined is False
        assert (
            behind.feature.context.evaluator.remediator.quarantine.state
            == QuarantineState.SERVING
        )
        assert (
            behind.feature.context.evaluator.remediator.quarantine.request_number
            != request_number
        )
        assert not behind.feature.context.evaluator.remediator.voter.votes
        assert behind.feature.ledger.state.actions[-1].what == "let-in"
        assert behind.feature.ledger.state.entries > entries
        await until(
            lambda: behind.feature.view is not None and behind.feature.view.settled
        )
        before = behind.feature.context.evaluator.observer
        behind.feature.reload(
            build(changed | {"audit": FAST_AUDIT | {"lag_s": 9.0}}, "operator.toml")
        )
        assert (
            behind.feature.context.evaluator.observer is before
        )  # the cells are the same, so the observations are kept
        await close(hosts)

    play(scene)


def test_nodes_with_and_without_cells_exchange_records_on_one_port() -> None:
    async def scene() -> None:
        benches, seed = await nodes(None, *NAMES)
        await until(lambda: all(audit_sources(b) == set(NAMES) for b in benches))
        half, rest = benches[::2], benches[1::2]
        for bench in half:
            bench.node.reload(
                bench.node.config,
                operator_config(seed if bench is not benches[0] else "", {"count": 2}),
            )
        server = await Server().start()
        for bench in benches:
            bench.discovery.say(60, True, server.entry("s0"))

        def nodes_with_new_list(bench: Bench) -> set[str]:
            """Returns the nodes that this node's audit sees with the new list."""
            audit = bench.node.feature_host.features["audit"]
            assert isinstance(audit, AuditFeature)
            statuses = audit.view.statuses if audit.view is not None else {}
            return {
                n
                for n, h in statuses.items()
                if h.status.list_version is not None
                and h.status.list_version.number == 60
            }

        await until(
            lambda: all(
                nodes_with_new_list(b)
                == set(TWO_CELLS.scope(b.node.config.name, NAMES))
                for b in half
            )
        )
        await until(lambda: all(nodes_with_new_list(b) == set(NAMES) for b in rest))
        for bench in benches:
            audit = bench.node.feature_host.features["audit"]
            assert isinstance(audit, AuditFeature)
            assert audit.view is not None
            assert not audit.view.members_in(HealthState.STRAGGLER)
            assert (
                audit.context.evaluator.remediator.quarantine.state
                == QuarantineState.SERVING
            )

    play(scene)


def test_the_load_of_zones_is_extrapolated_from_the_cell_to_the_fleet() -> None:
    """Without this, a cell's nodes would use a zone's capacity as if they were the entire fleet."""
    zones = {"zones": {"server_requests_per_s": 50.0}, "locality": {}}

    async def scene() -> None:
        tables = zones | {
            "membership": {"listen": "127.0.0.1:0", "regions": {"r": ["here"]}}
        }
        first = await node_with(
            build(tables | {"cells": {"count": 2}}, "f"), peers=True, name=NAMES[0]
        )
        members = first.node.members
        assert members is not None
        await until(lambda: members.swim is not None)
        assert members.swim is not None
        tables["membership"]["seeds"] = ["{}:{}".format(*members.swim.local.address)]
        more = build(tables | {"cells": {"count": 2}}, "f")
        rest = [await node_with(more, peers=True, name=n) for n in NAMES[1:]]
        policies = [b.node.balancer.zones.policy for b in [first, *rest]]
        cell_sizes = {
            b.node.config.name: len(TWO_CELLS.scope(b.node.config.name, NAMES))
            for b in [first, *rest]
        }

        def all_have_a_view() -> bool:
            return all(
                isinstance(policy, AgreedZoneFailover)
                and policy.view
                and policy.view.nodes == 6
                for policy in policies
            )

        await until(all_have_a_view)
        locality = first.node.feature_host.features["locality"]
        assert isinstance(locality, LocalityFeature)
        await until(
            lambda: (
                len(locality.agreement.received) == cell_sizes[NAMES[0]] < len(NAMES)
            )
        )
        assert not locality.agreement.minority
        policy = policies[0]
        assert isinstance(policy, AgreedZoneFailover)
        assert members.layout is not None
        for name, report in list(locality.agreement.received.items()):
            locality.agreement.received[name] = LoadReport("here", 10.0, report.zones)
        view = locality.view(policy, len(locality.agreement.received), members.census())
        assert view.load[first.node.zones["here"]] == pytest.approx(60.0)

    play(scene)


def test_a_member_that_dies_leaves_the_cell_at_once() -> None:
    async def scene() -> None:
        benches, _ = await nodes({"count": 2}, *NAMES)
        largest = max(NAMES, key=lambda n: (len(TWO_CELLS.scope(n, NAMES)), n))
        cell_members = TWO_CELLS.scope(largest, NAMES)
        by_name = {b.node.config.name: b for b in benches}
        await until(
            lambda: audit_sources(by_name[cell_members[0]]) == set(cell_members)
        )
        by_name[cell_members[1]].node.feature_host.stop(graceful=True)
        await until(
            lambda: (
                cell_members[1]
                not in by_name[cell_members[0]].node.feature_host.cell_members()
            )
        )
        assert set(by_name[cell_members[0]].node.feature_host.cell_members()) == set(
            cell_members
        ) - {cell_members[1]}

    play(scene)


# ---- cell summaries and the fleet's summary ----------------------------------------------------------------

THREE_CELLS = Layout(3)
THREE_CELL_NAMES = ["n2", "n3", "n5", "n7", "n8", "n10", "n12", "n13"]
COLLECTORS = ["n2", "n5"]
THREE_CELL_TABLE = {"count": 3, "collectors": COLLECTORS}
FAST_RULES = CollectorRules(period_us=150_000, overdue_periods=6)


@pytest.fixture
def fast_rules(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CellsFeature, "rules", FAST_RULES)


def cells_feature(bench: Bench) -> CellsFeature:
    found = bench.node.feature_host.features["cells"]
    assert isinstance(found, CellsFeature)
    return found


async def reporting_nodes(**tables: Any) -> tuple[list[Bench], str]:
    """Returns nodes in three cells, after the fleet's summary shows that all of them hold one list."""
    benches, seed = await nodes(THREE_CELL_TABLE, *THREE_CELL_NAMES, **tables)
    server = await Server().start()
    for bench in benches:
        bench.discovery.say(50, True, server.entry("s0"))
    await until(lambda: all(front_of(b) == (50, 0) for b in benches))
    return benches, seed


def front_of(bench: Bench) -> tuple[int, int] | None:
    """Returns the fleet's list number and the number of cells behind it, as a node knows them."""
    found = cells_feature(bench).fleet
    fronts = found[1].fronts if found is not None and found[1].heard == 3 else ()
    return (fronts[0].number, fronts[0].behind) if fronts else None


def test_every_node_knows_the_fleet_summary_and_a_list_that_is_in_force_everywhere(
    fast_rules: None,
) -> None:
    assert sorted(THREE_CELLS.sizes(THREE_CELL_NAMES)) == [2, 3, 3]

    async def scene() -> None:
        benches, _ = await reporting_nodes()
        await until(
            lambda: all(
                b.node.feature_host.features["cells"].page()[1]["fleet"]["live"] == 8
                for b in benches
            )
        )
        for bench in benches:
            bench.discovery.say(51, True)
        await until(lambda: all(front_of(b) == (51, 0) for b in benches))
        await until(
            lambda: all(
                p(b)["fleet"]["fronts"][0]["in_force_s"] is not None for b in benches
            )
        )
        status, page = await get_admin(benches[0].node, "/admin/cells")
        assert status == 200
        assert page["cells"] == 3
        assert page["collected"]["standings"]["current"] == 8
        for number, cell in (
            page["by_cell"].items()
        ):  # a node that reported before it knew all members may still be included
            cell_members = [
                n for n in THREE_CELL_NAMES if THREE_CELLS.cell_of(n) == int(number)
            ]
            assert set(reporters(int(number), cell_members)) <= set(cell["speakers"])
        assert set(page["members"]) == set(THREE_CELLS.scope("n2", THREE_CELL_NAMES))
        figures = (await get_admin(benches[1].node, "/admin/stats"))[1]["cells"]
        assert figures["fleet_heard"] == 3
        assert not figures["collects"]
        assert not figures["refused"]
        # A report has about 200 bytes; it is sent to each collector in each period.
        speaker = next(b for b in benches if cells_feature(b).counters.reports_sent)
        assert (
            cells_feature(speaker).counters.report_bytes_sent
            < 250 * cells_feature(speaker).counters.reports_sent
        )

    def p(bench: Bench) -> dict[str, Any]:
        return cells_feature(bench).page()[1]

    play(scene)


def test_cells_work_without_collectors_and_the_summary_returns_with_a_collector(
    fast_rules: None, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scene() -> None:
        benches, seed = await reporting_nodes()
        by_name = {b.node.config.name: b for b in benches}
        rest = [b for n, b in by_name.items() if n not in COLLECTORS]
        for name in COLLECTORS:
            by_name[name].node.feature_host.stop(graceful=True)
        await until(lambda: all(cells_feature(b).fleet is None for b in rest))
        assert (await get_admin(rest[0].node, "/admin/cells"))[0] == 503
        for bench in rest:  # the work within each cell continues
            bench.discovery.say(51, True)

        def frontier(bench: Bench) -> list[int]:
            audit = bench.node.feature_host.features["audit"]
            assert isinstance(audit, AuditFeature)
            return (
                [f.number for f in audit.view.frontiers.values()] if audit.view else []
            )

        await until(lambda: all(frontier(b) == [51] for b in rest))
        remaining = next(b for b in rest if b.node.members and b.node.members.swim)
        assert remaining.node.members is not None
        assert remaining.node.members.swim is not None
        seed = "{}:{}".format(*remaining.node.members.swim.local.address)
        back = await node_with(
            operator_config(seed, THREE_CELL_TABLE), peers=True, name="n5"
        )
        assert cells_feature(back).collector is not None
        await until(lambda: all(front_of(b) == (51, 0) for b in rest))

    play(scene)
    assert '"event": "cells started"' in capfd.readouterr().err


def test_a_cell_behind_other_cells_only_polls_its_own_discovery(
    fast_rules: None,
) -> None:
    async def scene() -> None:
        benches, _ = await reporting_nodes()
        cells = {
            c: [b for b in benches if THREE_CELLS.cell_of(b.node.config.name) == c]
            for c in range(3)
        }
        polls = [b.discovery.polls for b in cells[2]]
        for bench in [*cells[0], *cells[1]]:
            bench.discovery.say(51, True)
        await until(lambda: all(front_of(b) == (51, 1) for b in benches))
        await until(lambda: all(cells_feature(b).counters.polls for b in cells[2]))
        await until(
            lambda: all(
                b.discovery.polls > n for b, n in zip(cells[2], polls, strict=True)
            )
        )
        for bench in cells[2]:
            audit = bench.node.feature_host.features["audit"]
            assert isinstance(audit, AuditFeature)
            assert audit.list_version is not None
            assert audit.view is not None
            assert audit.list_version.number == 50
            assert audit.context.endpoints.local.adopted is None
            assert not audit.view.members_in(HealthState.STRAGGLER)
            bench.discovery.say(51, True)
        await until(lambda: all(front_of(b) == (51, 0) for b in benches))

    play(scene)


def test_invalid_messages_are_counted_and_logged_once_without_losing_valid_ones(
    fast_rules: None, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scene() -> None:
        benches, _ = await reporting_nodes()
        collector = cells_feature(benches[0])
        good = collector.summary()
        far = ("127.0.0.1", 9)
        other = msgspec.structs.replace(good, layout=Layout(4).digest)
        for data in (
            b"",
            b"\xc1",
            b"\x00" * 1_001,
            encode(SummaryReport(other)),
            encode(SummaryReport(good))[:-1],
        ) * 3:
            collector.receive(data, far)
        collector.receive(
            encode(
                SummaryReport(msgspec.structs.replace(good, cell=(good.cell + 1) % 3))
            ),
            far,
        )
        reporter = cells_feature(benches[1])
        reporter.receive(encode(SummaryReport(good)), far)
        impostor_summary = collector.fleet_summary(0)
        reporter.receive(
            encode(
                FleetSummaryReply(
                    msgspec.structs.replace(impostor_summary, collector="n3")
                )
            ),
            far,
        )
        assert collector.rejected == {
            "broken": 9, "too large": 3, "another layout": 3, "not the speaker's cell": 1
        }  # fmt: skip
        assert reporter.rejected == {"not a collector": 1, "not from a collector": 1}
        assert collector.collector is not None
        assert len(collector.collector.cells) == 3
        # Another process with this node's name has sent a later report, so the node's own reports are
        # rejected as old for a while.
        later = msgspec.structs.replace(good, life=good.life + 9)
        collector.receive(encode(SummaryReport(later)), far)
        collector.report(collector.host.now(), collector.host.records())
        assert collector.rejected["old"] == 1
        await until(lambda: all(front_of(b) == (50, 0) for b in benches))
        assert "cells" not in benches[0].node.feature_host.failed

    play(scene)
    lines = [
        x
        for x in capfd.readouterr().err.splitlines()
        if '"cells summary rejected"' in x
    ]
    assert len([x for x in lines if '"too large"' in x]) == 1
    assert all('"do": "give all nodes one [cells] table' in x for x in lines)


def test_no_reports_without_collectors_or_where_the_platform_forbids_peers(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scene() -> None:
        quiet = await node_with(
            operator_config(cells={"count": 3}),
            peers=True,
            name="n0",
            control="127.0.0.1:0",
        )
        assert cells_feature(quiet).timer is None
        assert cells_feature(quiet).channel is None
        assert (await get_admin(quiet.node, "/admin/cells"))[0] == 200
        off = await node_with(
            operator_config(cells=THREE_CELL_TABLE), peers=False, name="n2"
        )
        assert "cells" not in off.node.feature_host.features
        assert off.node.members is None

    play(scene)
    assert (
        "feature disabled name=cells reason=the platform's policy_limits.peers is false"
        in capfd.readouterr().err
    )


@pytest.mark.parametrize(
    ("table", "words"),
    [
        ({"cells": {"count": 2}}, "[membership] is missing"),
        ({"membership": {}, "cells": {}}, "count"),
        ({"membership": {}, "cells": {"count": 0}}, "cells.count"),
        ({"membership": {}, "cells": {"count": 4_097}}, "cells.count"),
        ({"membership": {}, "cells": {"count": 2, "label": "x" * 9}}, "cells.label"),
        (
            {"membership": {}, "cells": {"count": 2, "lable": "-"}},
            "did you mean label?",
        ),
        (
            {"membership": {}, "cells": {"count": 2, "collectors": ["a", "a"]}},
            "names a node twice",
        ),
        (
            {"membership": {}, "cells": {"count": 2, "collectors": [""]}},
            "cells.collectors",
        ),
    ],
)
def test_an_invalid_table_is_rejected_with_its_key(
    table: dict[str, Any], words: str
) -> None:
    with pytest.raises(OperatorConfigError) as failed:
        build(table, "operator.toml")
    assert words in failed.value.line()


def test_weights_need_all_members_rates() -> None:
    with pytest.raises(OperatorConfigConflictError, match="spread.weights"):
        build(
            {"membership": {}, "cells": {"count": 2}, "spread": {"weights": True}},
            "operator.toml",
        )
    build({"membership": {}, "cells": {"count": 2}, "spread": {}}, "operator.toml")


def test_without_cells_records_come_from_all_members() -> None:
    async def scene() -> None:
        benches, _ = await nodes(None, "n0", "n1", "n2")
        for bench in benches:
            assert (
                bench.node.feature_host.cell_members()
                == bench.node.feature_host.live_members()
            )
        await until(
            lambda: all(audit_sources(b) == {"n0", "n1", "n2"} for b in benches)
        )

    play(scene)


# Each node's record has the digest of its operator configuration. This is the digest that the release before
# cells computed for the table in the test below.
EXPECTED_DIGEST = "8a68ca2dcce8f57f"


def test_without_cells_the_file_digest_is_unchanged_and_nothing_is_imported() -> None:
    code = f"""
import sys
from loopback import play
from test_members import node_with
from loadbalancer.node.features.feature import VersionSource
from loadbalancer.config.operator_config import build
TABLE = {{"membership": {{"listen": "127.0.0.1:0", "seeds": []}}, "audit": {{"numbering": "d"}}}}
async def scene():
    bench = await node_with(build(TABLE, "operator.toml"), peers=True, name="n0")
    assert bench.node.feature_host.versions.in_force[VersionSource.OPERATION].digest == "{EXPECTED_DIGEST}"
    assert not [m for m in sys.modules if m.startswith("loadbalancer.cells")]
    print("passed")
play(scene)
"""
    paths = os.pathsep.join(
        str(p) for p in (Path(__file__).parent, Path(__file__).parent.parent)
    )
    environ = {**os.environ, "PYTHONPATH": paths}
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        env=environ,
        check=False,
    )
    assert done.stdout == "passed\n", done.stderr
