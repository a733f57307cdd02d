"""What a path adds to a call: the arithmetic on data with known answers, void runs, and a short real run."""

from __future__ import annotations

import asyncio
import math
import os
import threading
from collections.abc import Iterator
from pathlib import Path
from time import perf_counter_ns

import msgspec
import numpy as np
import pytest
import uvloop

from loadbalancer.lab.scale import added, added_page, added_statistics
from loadbalancer.lab.scale.added import (
    Connection,
    Load,
    Plan,
    Target,
    keep,
    main,
    numbers,
)
from loadbalancer.lab.scale.added_page import used_up
from loadbalancer.lab.scale.added_statistics import (
    Interval,
    Times,
    Turn,
    arrivals,
    bad_share,
    by_block,
    difference,
    figures_of,
    pairs,
    quantile,
    turns_of,
    undisturbed,
    void,
)
from loadbalancer.lab.scale.added_within import (
    ALL,
    TARGET_MS,
    TRIALS,
    Holds,
    named,
    row_of,
)
from loadbalancer.lab.scale.interface import Point, Slopes
from loadbalancer.lab.steal import Stolen, stolen_ms

PATHS = ("direct", "relay", "node")
ROOT = Path(__file__).parent.parent


def turn(block: int, path: str, latency: list[float] | Times, **others: float) -> Turn:
    """One that went well, but for what is said."""
    values = np.array(latency, float)
    late = np.full(values.size, others.pop("late", 0.0))
    return Turn(block, path, values, late, int(others.pop("refused", 0)), **others)


# ---- arrivals and turns --------------------------------------------------------------------------------


def test_arrivals_are_the_same_for_each_path_and_others_in_each_block() -> None:
    one = arrivals(393, 2, 7, 3)
    assert np.array_equal(one, arrivals(393, 2, 7, 3))
    assert not np.array_equal(one[:50], arrivals(393, 2, 7, 4)[:50])
    assert not np.array_equal(one[:50], arrivals(393, 2, 8, 3)[:50])
    assert (np.diff(one) > 0).all()
    assert one[0] >= -added_statistics.LEAD
    assert one[-1] < 2


def test_arrivals_are_a_poisson_process_at_the_rate() -> None:
    gaps = np.concatenate([np.diff(arrivals(393, 1, 1, block)) for block in range(200)])
    assert abs(gaps.mean() * 393 - 1) < 0.02
    assert abs(gaps.std() * 393 - 1) < 0.02  # an exponential's deviation is its mean
    counts = [int((arrivals(393, 1, 1, block) >= 0).sum()) for block in range(400)]
    assert abs(np.mean(counts) - 393) < 5
    assert 0.8 < np.var(counts) / np.mean(counts) < 1.2


def test_each_path_has_each_place_in_the_order_alike() -> None:
    orders = [turns_of(PATHS, 1, block) for block in range(300)]
    assert all(sorted(order) == sorted(PATHS) for order in orders)
    assert orders == [turns_of(PATHS, 1, block) for block in range(300)]
    for path in PATHS:
        for place in range(3):
            assert 60 < sum(order[place] == path for order in orders) < 140


# ---- quantiles, differences, intervals -----------------------------------------------------------------


def test_a_quantile_is_one_of_the_values() -> None:
    assert quantile(np.arange(1, 101, dtype=float), 0.99) == 100
    assert quantile(np.arange(1, 102, dtype=float), 0.99) == 100
    assert quantile(np.arange(1, 102, dtype=float), 0.5) == 51
    assert math.isnan(quantile(np.empty(0), 0.5))
    lost = np.array([1.0] * 989 + [np.inf] * 11)
    assert quantile(lost, 0.99) == np.inf
    assert quantile(lost, 0.98) == 1.0


def blocks(
    seed: int, count: int = 40, size: int = 100, shift: float = 0.0
) -> dict[int, Times]:
    random = np.random.default_rng(seed)
    return {b: random.exponential(0.1, size) + shift for b in range(count)}


def test_a_constant_that_is_added_is_found_exactly() -> None:
    direct = blocks(1)
    node = {b: values + 0.3 for b, values in direct.items()}
    for q in (0.5, 0.9, 0.99):
        found = difference(node, direct, q, 5)
        assert found.value == pytest.approx(0.3)
        assert found.low == pytest.approx(0.3)
        assert found.high == pytest.approx(0.3)
        assert pairs(node, direct, q) == pytest.approx(0.3)
    assert difference(node, direct, 0.99, 5) == difference(node, direct, 0.99, 5)


def test_what_is_added_to_a_few_calls_only_shows_in_the_tail_only() -> None:
    direct = {b: np.full(100, 0.1) for b in range(20)}
    node = {b: np.concatenate([np.full(98, 0.2), np.full(2, 5.0)]) for b in range(20)}
    assert difference(node, direct, 0.5, 1).value == pytest.approx(0.1)
    assert difference(node, direct, 0.99, 1).value == pytest.approx(4.9)
    assert pairs(node, direct, 0.97) == pytest.approx(0.1)


def test_the_interval_holds_the_truth_as_often_as_it_says() -> None:
    """Two paths of one distribution, 0.48 apart, drawn 60 times: 95 in 100 intervals would hold it."""
    held = 0
    for seed in range(60):
        found = difference(
            blocks(2 * seed, shift=0.48), blocks(2 * seed + 1), 0.9, seed, 200
        )
        assert found.low <= found.value <= found.high
        held += found.low <= 0.48 <= found.high
    assert held >= 50


def test_blocks_that_differ_as_a_whole_widen_the_interval() -> None:
    """Failure prevented: calls of one stall are counted as so many witnesses of it."""
    direct = {b: np.full(100, 0.1) for b in range(40)}
    spread = {b: np.concatenate([np.full(96, 0.2), np.full(4, 1.0)]) for b in range(40)}
    bunched = {b: np.full(100, 1.0 if b == 0 else 0.2) for b in range(40)}
    assert difference(spread, direct, 0.98, 1) == Interval(*[pytest.approx(0.9)] * 3)
    found = difference(bunched, direct, 0.98, 1)
    assert found.value == pytest.approx(0.9)
    assert found.low == pytest.approx(0.1)
    assert found.high == pytest.approx(0.9)


def test_a_turn_that_was_left_out_takes_no_other_with_it() -> None:
    direct, node = (
        {0: np.full(9, 1.0), 1: np.full(9, 1.0)},
        {1: np.full(9, 3.0), 2: np.full(9, 3.0)},
    )
    assert difference(node, direct, 0.5, 1).value == 2.0
    assert pairs(node, direct, 0.5) == 2.0  # of block 1 alone
    assert math.isnan(pairs({0: np.ones(3)}, {1: np.ones(3)}, 0.5))
    assert math.isnan(difference({}, direct, 0.5, 1).value)
    # Where hardly a block has both, draws without one of the two are no small figures: the interval is open.
    assert (
        difference({2: np.full(9, 3.0)}, {0: np.full(9, 1.0)}, 0.5, 1).high == math.inf
    )


def test_lost_calls_make_the_tail_endless_and_no_number() -> None:
    turns = [
        turn(0, "node", [0.2] * 95 + [math.nan] * 5),
        turn(0, "direct", [0.1] * 100),
    ]
    node, direct = by_block(turns, "node"), by_block(turns, "direct")
    assert difference(node, direct, 0.99, 1).value == math.inf
    assert difference(node, direct, 0.9, 1).value == pytest.approx(0.1)
    assert bad_share(turns) == pytest.approx(5 / 200)


# ---- disturbed turns, void runs ------------------------------------------------------------------------


def test_a_turn_is_left_out_for_what_others_did_and_not_for_its_latencies() -> None:
    slow = turn(0, "node", [900.0] * 10)
    waited = turn(1, "node", [0.1] * 10, waited=2 * added_statistics.WAIT_BOUND)
    late = turn(2, "node", [0.1] * 10, late=2 * added_statistics.LATE_MOST)
    unsent = Turn(3, "node", np.full(2, np.nan), np.full(2, np.nan))
    assert undisturbed([slow, waited, late, unsent]) == [slow, unsent]


def test_what_the_host_takes_is_told_of_the_cores_that_are_used_and_of_the_time_of_turns() -> (
    None
):
    """Failure prevented: a core that the machine's host takes away is told as what the path adds."""
    counts = (
        "cpu  9 0 9 9 9 0 0 300 0 0\ncpu0 1 0 1 1 1 0 0 7 0 0\ncpu1 1 0 1 1 1 0 0 20 0 0\n"
        "cpu11 1 0 1 1 1 0 0 270 0 0\nintr 5 8\n\nctxt 9\n"
    )
    assert stolen_ms({0, 1}, counts) == 27 * 1000 / os.sysconf("SC_CLK_TCK")
    assert stolen_ms({11}, counts) == 270 * 1000 / os.sysconf("SC_CLK_TCK")
    assert stolen_ms({2}, counts) == stolen_ms({0}, "cpu0 1 2\n") == 0.0
    assert 0.0 <= Stolen().percent() <= 100.0
    turns = [
        turn(b, path, [0.1] * 9, stolen=10.0, seconds=0.5)
        for b in range(4)
        for path in PATHS
    ]
    assert added_statistics.stolen_percent(turns) == pytest.approx(2.0)
    assert added_statistics.stolen_percent([]) == 0.0
    assert figures_of(turns, PATHS, 1)["stolen_percent"] == pytest.approx(2.0)


def played(count: int = 40, node: float = 0.3, **node_turn: float) -> list[Turn]:
    """Calls of 0.1 ms direct, of 0.2 by the relay."""
    found = []
    for b in range(count):
        found += [turn(b, "direct", [0.1] * 100), turn(b, "relay", [0.2] * 100)]
        found.append(turn(b, "node", [0.1 + node] * 100, **node_turn))
    return found


def test_a_points_figures() -> None:
    figures = figures_of(played(cpu=0.05, seconds=0.5), PATHS, 1)
    assert figures["direct_p99_ms"] == 0.1
    assert figures["node_p50_ms"] == 0.4
    assert figures["node_added_p99_ms"] == figures["node_added_p99_ms_low"] == 0.3
    assert figures["relay_added_p99_ms"] == 0.1
    assert figures["node_all_p99_ms"] == 0.3
    assert figures["node_core_percent"] == 10.0
    assert figures["node_blocks"] == figures["blocks"] == 40
    assert figures["node_calls"] == 4000
    assert void(figures, 0) == ""


def test_a_disturbed_turn_is_in_the_figure_of_all_turns_alone() -> None:
    turns = played()
    turns.append(turn(40, "direct", [0.1] * 100))
    turns.append(turn(40, "node", [9.0] * 100, waited=50.0))
    figures = figures_of(turns, PATHS, 1)
    assert figures["node_added_p99_ms"] == 0.3
    assert figures["node_blocks"] == 40
    assert figures["blocks"] == 41
    assert figures["node_all_p99_ms"] == pytest.approx(8.9)


def test_easy_turns_that_alone_are_kept_show_in_their_rate() -> None:
    turns = [turn(b, "direct", [0.1] * 10) for b in range(8)]
    turns += [
        turn(b, "node", [0.2] * (5 if b < 4 else 15), waited=0.0 if b < 4 else 9.0)
        for b in range(8)
    ]
    figures = figures_of(turns, ("direct", "node"), 1)
    assert figures["direct_kept_rate"] == 1.0
    assert figures["node_kept_rate"] == 0.5


GOOD = {
    "direct_p99_ms": 0.2,
    "late_p99_ms": 0.01,
    "bad_share": 0.0,
    "blocks": 40.0,
    "direct_calls": 4000.0,
    "direct_blocks": 40.0,
    "node_blocks": 40.0,
    "node_calls": 4000.0,
}


@pytest.mark.parametrize(
    ("changed", "service", "why"),
    [
        ({}, 0, ""),
        ({"direct_p99_ms": 0.6}, 0, "direct path's own p99 is 0.60"),
        ({"direct_p99_ms": 4.9}, 4, ""),
        ({"direct_p99_ms": 6.6, "depth": 14.0}, 0, ""),
        ({"direct_p99_ms": 6.8, "depth": 14.0}, 0, "direct path's own p99 is 6.80 ms"),
        ({"direct_p99_ms": 6.1}, 4, "direct path's own p99 is 2.10 ms beyond"),
        ({"direct_p99_ms": math.inf}, 0, "direct path's own p99"),
        ({"direct_p99_ms": math.nan}, 0, "direct path's own p99"),
        ({"late_p99_ms": 0.3}, 0, "the load itself was late by 0.30"),
        ({"late_p99_ms": math.nan}, 0, "the load itself was late"),
        ({"bad_share": 0.002}, 0, "0.20 % of calls were refused"),
        ({"direct_calls": 900.0}, 0, "direct: 900 calls in turns"),
        ({"node_calls": 900.0}, 0, "node: 900 calls in turns that others left alone"),
        ({"node_blocks": 9.0}, 0, "node: others disturbed all but 9 of 40 turns"),
        (
            {"node_calls": 0.0, "node_blocks": 0.0, "direct_p99_ms": math.nan},
            0,
            "node: others disturbed all",
        ),
    ],
)
def test_a_run_is_void_when_its_own_yardstick_is_bent(
    changed: dict[str, float], service: float, why: str
) -> None:
    found = void(GOOD | changed, service)
    assert found == "" if not why else why in found


def test_a_run_that_was_disturbed_all_the_time_is_void_and_no_error() -> None:
    turns = [turn(t.block, t.path, t.latency, waited=9.0) for t in played()]
    figures = added.finite(figures_of(turns, PATHS, 1) | {"x": math.inf})
    assert "x" not in figures
    assert "all but 0 of 40 turns" in void(figures_of(turns, PATHS, 1), 0)
    assert "VOID" in added.line(Point(size=393, seed=1, figures=figures, void="others"))


# ---- bad input -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("arguments", "says"),
    [
        (["--rate", "0"], "--rate"),
        (["--rate", "fast"], "fast"),
        (["--rate", "1e9"], "--rate"),
        (["--rate", "nan"], "--rate"),
        (["--seeds", "x"], "x"),
        (["--seeds", "3-1"], "--seeds"),
        (["--seconds", "0.1"], "--seconds"),
        (["--seconds", "nan"], "--seconds"),
        (["--block", "99"], "--block"),
        (["--service-ms", "-1"], "--service-ms"),
        (["--warm", "nan"], "--warm"),
        (["--paths", "node,relay"], "--paths"),
        (["--paths", "direct"], "--paths"),
        (["--paths", "direct,node,node"], "--paths"),
        (["--paths", "direct,magic"], "--paths"),
        (["--members", "1"], "--members"),
        (["--fleet", "100"], "--fleet"),
        (["--paths", "direct,fleet"], "--fleet"),
        (["--paths", "direct,fleet", "--fleet", "7", "--seeds", "1"], "--fleet"),
        (["--paths", "direct,fleet", "--fleet", "8"], "--fleet"),
        (["--watch"], "--watch"),
        (
            [
                "--paths",
                "direct,fleet",
                "--fleet",
                "8",
                "--seeds",
                "1",
                "--trial",
                "off",
            ],
            "--trial",
        ),
        (["--words", "-1"], "--words"),
        (["--depth", "0"], "--depth"),
        (["--depth", "15"], "--depth"),
        (["--depth", "2"], "--depth"),
    ],
)
def test_a_bad_argument_gets_one_line(
    arguments: list[str], says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    told = capsys.readouterr().err
    assert says in told
    assert told.count("\n") == 1


@pytest.mark.parametrize("text", ["", "{", '{"name": "other"}', "[]"])
def test_a_file_that_is_no_slopes_is_refused_before_anything_is_played(
    text: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(added, "measure", lambda *_: pytest.fail("played"))
    path = tmp_path / "added-time.json"
    path.write_text(text)
    assert main(["--out", str(path)]) == 2
    told = capsys.readouterr().err
    assert str(path) in told
    assert told.count("\n") == 1
    assert path.read_text() == text


def test_runs_are_added_to_a_file_and_another_file_stays_as_it_is(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "added-time.json"
    monkeypatch.setattr("sys.argv", ["added", "--rate", "393", "--out", str(path)])
    point = Point(
        size=393, seed=1, figures={"node_added_p99_ms": 0.4, "node_core_percent": 7.0}
    )
    keep(path, "added-time", "what", "calls a second", [point])
    keep(
        path,
        "added-time",
        "what",
        "calls a second",
        [msgspec.structs.replace(point, seed=2, void="late")],
    )
    slopes = msgspec.json.decode(path.read_bytes(), type=Slopes)
    assert [(p.seed, p.void) for p in slopes.points] == [(1, ""), (2, "late")]
    said = "python -m loadbalancer.lab.scale.added --rate 393 --out benchmarks/slopes/added-time.json"
    assert slopes.command == said  # once, and without this machine's paths
    assert slopes.units == {
        "node_added_p99_ms": "ms",
        "node_core_percent": "% of a core",
    }
    before = path.read_bytes()
    with pytest.raises(ValueError, match="over calls a second"):
        keep(path, "added-time", "what", "members", [point])
    assert path.read_bytes() == before


def test_numbers() -> None:
    assert numbers("1-3") == (1, 2, 3)
    assert numbers("4,7-8") == (4, 7, 8)


# ---- the page ------------------------------------------------------------------------------------------


def slopes_of(points: list[Point], axis: str) -> Slopes:
    return Slopes(
        name="added-time",
        what="",
        command="",
        commit="",
        date="2026-12-02",
        machine="",
        axis=axis,
        units={},
        points=points,
    )


def test_the_size_at_which_one_call_in_a_hundred_is_used_up() -> None:
    def fleet(size: int, over: float, seed: int = 1) -> Point:
        figures = {
            "all of the loop: over_percent": over,
            "timer Audit.tick: p50_ms": size / 100,
        }
        return Point(
            size=size,
            seed=seed,
            figures=figures | {"timer Audit.tick: longest_ms": size / 50},
        )

    slopes = slopes_of(
        [fleet(1000, 2.5), fleet(100, 0.25), fleet(400, 1.0), fleet(100, 0.1, 2)],
        "members",
    )
    assert used_up(slopes, 1) == 400
    assert used_up(slopes, 2) is None
    steep = slopes_of([fleet(100, 0.5), fleet(300, 1.5)], "members")
    assert used_up(steep, 1) == 200
    table = added_page.table_of_parts(steep)
    assert "| audit: judgement | 1.00, 2.00 | 3.00, 6.00 |" in table
    assert table.endswith("One call in 100 is used up at 200 to 200 members.")


def test_the_table_shows_void_points_as_void() -> None:
    figures = figures_of(played(), PATHS, 1) | {
        "rate": 393.0,
        "service_ms": 0.0,
        "yard_ms": 7.46,
    }
    table = added_page.table_of_added(
        slopes_of(
            [
                Point(
                    size=393,
                    seed=2,
                    figures={"rate": 393.0, "service_ms": 0.0, "blocks": 9.0},
                    void="late",
                ),
                Point(size=393, seed=1, figures=figures),
            ],
            "calls a second",
        )
    )
    direct, relay, node, last = table.splitlines()[2:]
    assert "| direct itself | 0.10 | 0.10 |" in direct
    assert "| relay | 0.10 (0.10 to 0.10) |" in relay
    assert "| node | 0.30 (0.30 to 0.30) |" in node
    assert node.endswith("| 40 of 40 |  |  | usable |")
    assert direct.endswith("| 40 of 40 | 0.00 % | 7.5 ms | usable |")
    assert last.endswith(
        "| direct itself | - | - |  | 0 of 9 | not counted | not taken | void |"
    )


def test_a_table_of_latencies_in_a_fleet_names_its_members(tmp_path: Path) -> None:
    figures = figures_of(played(), PATHS, 1) | {"rate": 393.0, "service_ms": 0.0}
    slopes = slopes_of([Point(size=2800, seed=1, figures=figures)], "members")
    path = tmp_path / "added-time-fleet.json"
    path.write_bytes(msgspec.json.encode(slopes))
    heads, _, direct, *_ = added_page.table_of(path).splitlines()
    assert heads.startswith("| members | calls/s |")
    assert direct.startswith("| 2800 | 393 |")


def test_the_page_has_the_tables_of_the_files() -> None:
    page = (ROOT / "docs" / "added-time.md").read_text()
    files = sorted((ROOT / "benchmarks" / "slopes").glob("added-time*.json"))
    trials = [
        file for file in files if "-trial-" in file.name
    ]  # these are told, and make no table
    assert all(added_page.table_of(file) for file in trials)
    assert len(files) > len(trials)
    for file in [file for file in files if file not in trials]:
        assert added_page.table_of(file) in page, (
            f"docs/added-time.md differs from {file.name}: write it anew"
        )


# ---- the load ------------------------------------------------------------------------------------------


@pytest.fixture
def stalling() -> Iterator[tuple[int, list[int]]]:
    """A server that answers nothing while a stall lasts: its port, and when its stall ended."""
    told: list[int] = []
    ended: list[int] = []
    up, down = threading.Event(), asyncio.Event()
    loop = uvloop.new_event_loop()

    class Held(added.Server):
        asked = 0
        held: list[Held] = []

        def data_received(self, data: bytes) -> None:
            Held.asked += 1
            if ended or Held.asked < 20:
                super().data_received(data)
                return
            Held.held.append(self)
            if len(Held.held) == 1:
                loop.call_later(0.3, self.release)

        def release(self) -> None:
            ended.append(perf_counter_ns())
            for held in Held.held:
                held.transport.write(added.OK)

    async def serve() -> None:
        server = await loop.create_server(lambda: Held(0.0), "127.0.0.1", 0)
        told.append(server.sockets[0].getsockname()[1])
        up.set()
        await down.wait()
        server.close()

    thread = threading.Thread(target=loop.run_until_complete, args=(serve(),))
    thread.start()
    up.wait()
    yield told[0], ended
    loop.call_soon_threadsafe(down.set)
    thread.join()
    loop.close()


def test_calls_due_in_a_stall_wait_from_the_moment_they_were_due(
    stalling: tuple[int, list[int]],
) -> None:
    """Failure prevented: a load that waits for answers asks nothing in a stall: one call counts for it."""
    port, ended = stalling
    load = Load(Plan([Target("direct", [port])], 0, 200, 1, 1, connections=4))
    due = arrivals(200, 1.0, 1, 0, lead=0.0)
    before = perf_counter_ns()
    found = load.turn("direct", 0, due)
    assert not np.isnan(found.latency).any()
    assert found.refused == 0
    start = before + 2_000_000 - due[0] * 1e9  # the turn begins no earlier
    stalled = (due * 1e9 + start < ended[0] - 100e6) & (np.arange(due.size) >= 20)
    assert stalled.sum() >= 10
    # Each of these was due 100 ms or more before the stall's end, whenever it could be sent.
    assert (found.latency[stalled] >= 95).all()
    assert (
        np.isnan(found.late).sum() >= 5
    )  # four connections: the others waited for one


def test_a_connection_that_the_other_side_closes_is_renewed(
    stalling: tuple[int, list[int]],
) -> None:
    connection = Connection(stalling[0])
    first = connection.socket
    connection.renew()
    assert first.fileno() == -1
    assert connection.fileno() >= 0
    connection.socket.close()
    assert not connection.send(b"x")


# ---- all of it -----------------------------------------------------------------------------------------


def test_a_short_run_of_real_processes_writes_its_points(tmp_path: Path) -> None:
    path = tmp_path / "added-time.json"
    short = ["--seconds", "1", "--warm", "0.2", "--seeds", "5", "--out", str(path)]
    assert main(["--rate", "100", *short]) == 0
    slopes = msgspec.json.decode(path.read_bytes(), type=Slopes)
    (point,) = slopes.points
    assert (point.size, point.seed, slopes.axis) == (100, 5, "calls a second")
    assert point.void  # a second has too few calls for a p99, whatever the machine does
    assert point.figures["blocks"] == 40
    assert point.figures["bad_share"] < 1
    assert point.figures["yard_ms"] > 0
    assert point.figures["stolen_percent"] >= 0
    assert slopes.command.startswith("python -m loadbalancer.lab.scale.added")


def test_a_short_run_of_a_chain_goes_through_all_its_nodes(tmp_path: Path) -> None:
    path = tmp_path / "added-time-chain.json"
    short = [
        "--seconds",
        "1",
        "--block",
        "0.5",
        "--warm",
        "0.2",
        "--seeds",
        "5",
        "--out",
        str(path),
    ]
    assert main(["--depth", "3", "--rate", "20", "--paths", "direct,node", *short]) == 0
    slopes = msgspec.json.decode(path.read_bytes(), type=Slopes)
    (point,) = slopes.points
    assert (point.size, slopes.axis) == (3, "nodes deep")
    assert point.figures["depth"] == 3
    assert point.figures["rate"] == 20
    assert point.figures["bad_share"] < 1
    assert point.void
    assert "node_core_percent" not in point.figures  # not counted is no nought
    assert "| nodes deep | calls/s |" in added_page.table_of(path)


def test_the_services_of_a_chain_answer_with_what_is_below_them() -> None:
    """A service that calls a service that calls a server; the answer is the server's."""

    async def play() -> bytes:
        server = await asyncio.get_running_loop().create_server(
            lambda: added.Server(0.0), "127.0.0.1", 0
        )
        opened, port = [server], server.sockets[0].getsockname()[1]
        for _ in range(2):
            opened += await added.listen_chain([added.Chain([0], [port])])
            port = opened[-1].sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /look HTTP/1.1\r\nHost: lab\r\n\r\n")
        answer = await reader.readuntil(b"ok")
        writer.close()
        for listening in opened:
            listening.close()
        return answer

    assert uvloop.run(play()).startswith(b"HTTP/1.1 200 OK\r\n")


def test_a_short_run_in_a_fleet_tells_what_held_the_loop(tmp_path: Path) -> None:
    path = tmp_path / "added-time-parts.json"
    fleet = ["--paths", "direct,fleet", "--fleet", "8", "--watch", "--words", "5"]
    short = ["--seconds", "1", "--warm", "0.2", "--seeds", "5", "--out", str(path)]
    assert main([*fleet, "--rate", "50", *short]) == 0
    slopes = msgspec.json.decode(path.read_bytes(), type=Slopes)
    (point,) = slopes.points
    assert (point.size, slopes.axis) == (8, "members")
    for name in (
        "timer Audit.tick",
        "within audit: the fleet judged",
        "timer FreezePart.look",
        "timer Spreading.due",
        "datagram membership",
        "datagram records",
        "call: from the client",
        "rare: the coordinator tells all members",
        "rare: every word is new, one judgement",
        "rare: whole collection",
    ):
        assert point.figures[f"{name}: longest_ms"] > 0, name


# ---- what holds the loop -------------------------------------------------------------------------------


def test_holds_are_told_by_the_second_and_by_the_longest() -> None:
    row = row_of([0.001] * 98 + [0.002, 0.050], 10.0)
    assert row["per_s"] == 10
    assert row["p50_ms"] == 1
    assert row["longest_ms"] == 50
    assert row["p99_ms"] == 50
    assert row["core_percent"] == pytest.approx(1.5)  # 150 ms of 10 s
    assert row_of([0.001], 0.0)["per_s"] == 0


def test_the_calls_that_wait_for_longer_than_the_target_are_the_share_of_the_time_that_is_left() -> (
    None
):
    """4 holds of 22.48 ms a second: 4 * 22 ms in which a call that comes waits for more than 0.48 ms."""
    assert row_of([0.02248] * 40, 10.0)["over_percent"] == pytest.approx(8.8)
    assert row_of([0.00048] * 4000, 10.0)["over_percent"] == 0
    random = np.random.default_rng(1)
    begins, hold = (
        np.arange(0, 100, 0.25),
        0.005,
    )  # four a second for 100 s, played against calls at random
    calls = random.uniform(0, 100, 200_000)
    waits = np.maximum(
        0, begins[np.searchsorted(begins, calls, "right") - 1] + hold - calls
    )
    share = 100 * float((waits > 0.00048).mean())
    assert row_of([hold] * begins.size, 100.0)["over_percent"] == pytest.approx(
        share, rel=0.05
    )


def test_what_lies_within_another_is_not_counted_twice() -> None:
    holds = Holds()
    holds.note("timer Audit.tick", 0.010)
    holds.note("within audit: the fleet judged", 0.008)
    holds.note("collector generation 2", 0.005)
    holds.note("datagram records", 0.002)
    table = holds.table()
    assert table[ALL]["longest_ms"] == 10
    assert table[ALL]["core_percent"] == pytest.approx(
        table["timer Audit.tick"]["core_percent"]
        + table["datagram records"]["core_percent"],
        rel=0.01,
    )


def test_what_raises_is_timed_and_still_raises() -> None:
    holds = Holds()

    class Part:
        def tick(self) -> None:
            raise KeyError("gone")

    holds.wrap(Part, "tick", "its tick")
    with pytest.raises(KeyError, match="gone"):
        Part().tick()
    assert list(holds.table()) == ["its tick"]
    holds.reset()
    assert holds.table() == {}


def test_both_modules_mean_the_same_target_and_trials() -> None:
    assert (added_statistics.TARGET_MS, added.TRIALS) == (TARGET_MS, TRIALS)


def test_callbacks_are_named_for_people() -> None:
    class Part:
        def tick(self) -> None: ...

    assert named(Part().tick) == "Part.tick"
    assert named(test_numbers) == "test_numbers"
