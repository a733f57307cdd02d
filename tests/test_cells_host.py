"""Cells on real nodes: whose records come, what operators see, and a layout that changes at a SIGHUP."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from loopback import Bench, play, until
from test_members import node_with

from brackenladder.audit.word import KIND
from brackenladder.cells.layout import Layout
from brackenladder.locality.evidence import Report
from brackenladder.locality.judge import CommonJudge
from brackenladder.net.audit import Audit
from brackenladder.net.locality import LocalityPart
from brackenladder.operation import Operation, OperationConflict, OperationError, build

NAMES = ["n2", "n3", "n4", "n5", "n6", "n8"]
TWO = Layout(2)


def wish(seed: str = "", cells: dict[str, Any] | None = None, **tables: Any) -> Operation:
    table: dict[str, Any] = {"membership": {"listen": "127.0.0.1:0", "seeds": [seed] if seed else []}}
    table |= {"audit": {"numbering": "d"}, **tables}
    if cells is not None:
        table["cells"] = cells
    return build(table, "operator.toml")


async def nodes(cells: dict[str, Any] | None, *names: str, **tables: Any) -> tuple[list[Bench], str]:
    """Nodes that know each other, and the first one's address."""
    first = await node_with(wish(cells=cells, **tables), peers=True, name=names[0])
    members = first.node.members
    assert members is not None
    await until(lambda: members.swim is not None)
    assert members.swim is not None
    seed = "{}:{}".format(*members.swim.address)
    rest = [await node_with(wish(seed, cells, **tables), peers=True, name=n) for n in names[1:]]
    benches = [first, *rest]
    await until(lambda: all(len(b.node.parts.live()) == len(names) for b in benches))
    return benches, seed


def heard(bench: Bench) -> set[str]:
    """Whose audit it hears."""
    return {r.owner for r in bench.node.parts.records().of(KIND)}


def test_records_come_from_the_own_cell_and_the_membership_stays_whole() -> None:
    assert sorted(TWO.sizes(NAMES)) == [2, 4]

    async def scene() -> None:
        benches, seed = await nodes({"count": 2}, *NAMES)
        for bench in benches:
            scope = set(TWO.scope(bench.node.config.name, NAMES))
            assert set(bench.node.parts.cell()) == scope
            assert set(bench.node.parts.live()) == set(NAMES)
        await until(lambda: all(heard(b) == set(TWO.scope(b.node.config.name, NAMES)) for b in benches))
        audit = benches[0].node.parts.parts["audit"]
        assert isinstance(audit, Audit)
        await until(lambda: audit.picture is not None and set(audit.picture.live) == set(heard(benches[0])))
        mender, ledger = audit.mender, audit.ledger
        for bench, s in zip(benches, ["", *[seed] * 5], strict=True):  # one cell, at a SIGHUP
            bench.node.reload(bench.node.config, wish(s, {"count": 1}))
        assert audit.mender is not mender  # among others than before it knows no votes...
        assert audit.ledger is ledger  # ...and its ledger goes on
        await until(lambda: all(heard(b) == set(NAMES) for b in benches))
        assert set(benches[0].node.parts.cell()) == set(NAMES)
        for bench, s in zip(benches, ["", *[seed] * 5], strict=True):
            bench.node.reload(bench.node.config, wish(s))
        assert benches[0].node.members is not None and benches[0].node.members.layout is None

    play(scene)


def test_what_is_asked_of_zones_is_made_up_to_the_fleets() -> None:
    """Failure prevented: a cell's nodes take the room of a zone as if they were the whole fleet's."""
    zones = {"zones": {"server_requests_per_s": 50.0}, "locality": {}}

    async def scene() -> None:
        tables = zones | {"membership": {"listen": "127.0.0.1:0", "regions": {"r": ["here"]}}}
        first = await node_with(build(tables | {"cells": {"count": 2}}, "f"), peers=True, name=NAMES[0])
        members = first.node.members
        assert members is not None
        await until(lambda: members.swim is not None)
        assert members.swim is not None
        tables["membership"]["seeds"] = ["{}:{}".format(*members.swim.address)]
        more = build(tables | {"cells": {"count": 2}}, "f")
        rest = [await node_with(more, peers=True, name=n) for n in NAMES[1:]]
        judges = [b.node.balancer.judge for b in [first, *rest]]
        near = {b.node.config.name: len(TWO.scope(b.node.config.name, NAMES)) for b in [first, *rest]}

        def whole() -> bool:
            return all(isinstance(j, CommonJudge) and j.common and j.common.nodes == 6 for j in judges)

        await until(whole)
        part = first.node.parts.parts["locality"]
        assert isinstance(part, LocalityPart)
        await until(lambda: len(part.common.heard) == near[NAMES[0]] < len(NAMES))
        assert not part.common.minority
        judge = judges[0]
        assert isinstance(judge, CommonJudge) and members.layout is not None
        for name, report in list(part.common.heard.items()):
            part.common.heard[name] = Report("here", 10.0, report.zones)
        view = part.view(judge, len(part.common.heard), members.census())
        assert view.asked[first.node.zones["here"]] == pytest.approx(60.0)

    play(scene)


def test_a_member_that_dies_leaves_the_cell_at_once() -> None:
    async def scene() -> None:
        benches, _ = await nodes({"count": 2}, *NAMES)
        largest = max(NAMES, key=lambda n: (len(TWO.scope(n, NAMES)), n))
        near = TWO.scope(largest, NAMES)
        by_name = {b.node.config.name: b for b in benches}
        await until(lambda: heard(by_name[near[0]]) == set(near))
        by_name[near[1]].node.parts.stop(farewell=True)
        await until(lambda: near[1] not in by_name[near[0]].node.parts.cell())
        assert set(by_name[near[0]].node.parts.cell()) == set(near) - {near[1]}

    play(scene)


@pytest.mark.parametrize(
    ("table", "words"),
    [
        ({"cells": {"count": 2}}, "[membership] is missing"),
        ({"membership": {}, "cells": {}}, "count"),
        ({"membership": {}, "cells": {"count": 0}}, "cells.count"),
        ({"membership": {}, "cells": {"count": 4_097}}, "cells.count"),
        ({"membership": {}, "cells": {"count": 2, "label": "x" * 9}}, "cells.label"),
        ({"membership": {}, "cells": {"count": 2, "lable": "-"}}, "did you mean label?"),
    ],
)
def test_a_table_that_cannot_be_had_is_refused_with_its_key(table: dict[str, Any], words: str) -> None:
    with pytest.raises(OperationError) as failed:
        build(table, "operator.toml")
    assert words in failed.value.line()


def test_weights_need_all_members_rates() -> None:
    with pytest.raises(OperationConflict, match="spread.weights"):
        build({"membership": {}, "cells": {"count": 2}, "spread": {"weights": True}}, "operator.toml")
    build({"membership": {}, "cells": {"count": 2}, "spread": {}}, "operator.toml")


def test_without_cells_all_is_as_before() -> None:
    async def scene() -> None:
        benches, _ = await nodes(None, "n0", "n1", "n2")
        for bench in benches:
            assert bench.node.parts.cell() == bench.node.parts.live()
        await until(lambda: all(heard(b) == {"n0", "n1", "n2"} for b in benches))

    play(scene)


# Each node's record has the digest of its operators' file: so it was in the release before cells.
BEFORE = "8a68ca2dcce8f57f"


def test_without_cells_the_files_digest_is_as_before_and_nothing_is_imported() -> None:
    code = f"""
import sys
from loopback import play
from test_members import node_with
from brackenladder.net.parts import Source
from brackenladder.operation import build
TABLE = {{"membership": {{"listen": "127.0.0.1:0", "seeds": []}}, "audit": {{"numbering": "d"}}}}
async def scene():
    bench = await node_with(build(TABLE, "operator.toml"), peers=True, name="n0")
    assert bench.node.parts.versions[Source.OPERATION].digest == "{BEFORE}"
    assert not [m for m in sys.modules if m.startswith("brackenladder.cells")]
    print("well")
play(scene)
"""
    paths = os.pathsep.join(str(p) for p in (Path(__file__).parent, Path(__file__).parent.parent))
    environ = {**os.environ, "PYTHONPATH": paths}
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, env=environ, check=False
    )
    assert done.stdout == "well\n", done.stderr
