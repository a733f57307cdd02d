"""Cells: who belongs to which, what a cell tells, and what comes of the words of many."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenladder.cells.layout import MOST_CELLS, MOST_KEPT, Layout, jump

LOOK = settings(derandomize=True, max_examples=100, deadline=None)
NAMES = [f"s{i % 140}-{i // 140}" for i in range(2_800)]  # 140 services of 20


# ---- layout ------------------------------------------------------------------------------------------


def test_a_members_cell_is_the_same_for_all_and_stays_so_over_versions() -> None:
    # Two releases that place one name differently would judge by two quorums: these are fixed for good.
    assert [Layout(40).cell_of(n) for n in ("n0", "n1", "a", "")] == [26, 14, 11, 5]
    assert [jump(key, 10) for key in (0, 1, 0xDEADBEEF, (1 << 64) - 1)] == [0, 6, 5, 9]
    published = {(1, 1): 0, (42, 57): 43, (0xDEAD10CC, 666): 361, (256, 1024): 520}
    assert {args: jump(*args) for args in published} == published


@LOOK
@given(st.lists(st.text(), max_size=30), st.integers(1, 200), st.sampled_from(["", "-", "."]))
def test_cells_part_the_members(names: list[str], count: int, label: str) -> None:
    layout = Layout(count, label)
    cells = [layout.cell_of(n) for n in names]
    assert all(0 <= c < count for c in cells)
    assert sum(layout.sizes(names)) == len(names)
    for name, cell in zip(names, cells, strict=True):
        scope = layout.scope(name, names)
        assert name in scope
        assert scope == [n for n, c in zip(names, cells, strict=True) if c == cell]


def test_one_cell_holds_all() -> None:
    assert Layout(1).scope("n0", NAMES) == NAMES


def test_with_a_label_services_stay_whole() -> None:
    layout = Layout(40, "-")
    for service in range(140):
        assert len({layout.cell_of(f"s{service}-{i}") for i in range(20)}) == 1
    assert layout.label_of("cart-eu-17") == "cart-eu"
    assert layout.label_of("cart") == "cart"
    assert layout.label_of("-17") == "-17"  # nothing stands before it: not all such in one cell


def test_cells_are_even_by_name_and_a_zone_lost_leaves_each_its_majority() -> None:
    layout = Layout(40)
    sizes = layout.sizes(NAMES)
    assert min(sizes) >= 45
    assert max(sizes) <= 105
    for zone in range(9):
        left = layout.sizes(n for i, n in enumerate(NAMES) if i % 9 != zone)
        assert all(2 * a > b for a, b in zip(left, sizes, strict=True))


def test_one_more_cell_moves_few() -> None:
    moved = sum(Layout(40).cell_of(n) != Layout(41).cell_of(n) for n in NAMES)
    assert 0 < moved < 2 * len(NAMES) / 41
    assert all(Layout(41).cell_of(n) in (40, Layout(40).cell_of(n)) for n in NAMES)


def test_what_is_kept_at_hand_is_bounded() -> None:
    layout = Layout(7)
    first = layout.cell_of("a")
    for i in range(MOST_KEPT + 10):
        layout.cell_of(f"n{i}")
    assert len(layout.kept) <= MOST_KEPT
    assert layout.cell_of("a") == first


def test_layouts_that_differ_have_other_digests() -> None:
    digests = {Layout(c, s).digest for c in (1, 39, 40) for s in ("", "-", ".")}
    assert len(digests) == 9
    assert Layout(40, "-") == Layout(40, "-")
    assert Layout(40, "-") != Layout(40)


@pytest.mark.parametrize("count", [0, -1, MOST_CELLS + 1])
def test_a_count_out_of_range_is_refused(count: int) -> None:
    with pytest.raises(ValueError, match="cells"):
        Layout(count)
