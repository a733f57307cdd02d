"""The ledger: attribution of attempts to versions, the hash chain, checkpoints and restarts."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.audit.ledger import Ledger
from loadbalancer.audit.ledger_entries import (
    ForeignLedgerError,
    LedgerChainError,
    LedgerError,
    VersionKey,
)
from loadbalancer.audit.ledger_reader import read
from loadbalancer.audit.rules import LedgerRules
from loadbalancer.policy.api import Outcome

OK, TIMEOUT = Outcome.OK, Outcome.TIMEOUT


def key(number: int, source: str = "list", digest: str = "d") -> VersionKey:
    return VersionKey(source, "agent", number, f"{digest}{number}")


class Store:
    """The log of a store, as a list of numbered batches."""

    def __init__(self) -> None:
        self.log: list[tuple[int, bytes]] = []
        self.last = 0

    def append_batches(self, ledger: Ledger, now: int) -> None:
        for data, is_checkpoint in ledger.flush(now):
            self.last += 1
            self.log.append((self.last, data))
            if is_checkpoint:
                self.log = self.log[-1:]


def build_ledger(
    rules: LedgerRules | None = None, rounds: int = 6
) -> tuple[Ledger, Store]:
    ledger, store = Ledger(rules), Store()
    ledger.start_incarnation("n0", 1, 10**15)
    ledger.activate(key(1, "settings"), 2)
    for i in range(1, rounds + 1):
        ledger.activate(key(i), 1_000 * i)
        for j in range(i):
            ledger.count_attempt(OK, 1_000 * i + j)
        store.append_batches(ledger, 1_000 * i + 500)
    return ledger, store


def test_an_attempt_counts_under_the_version_in_force_when_it_started() -> None:
    ledger = Ledger()
    ledger.start_incarnation("n0", 1, 0)
    ledger.activate(key(7, "settings"), 5)
    ledger.activate(key(1), 10)
    ledger.count_attempt(OK, 12)
    ledger.activate(key(2), 20)
    ledger.count_attempt(TIMEOUT, 15)  # started under version 1, ends under version 2
    ledger.count_attempt(OK, 21)
    ledger.write_counts()
    rows = {(r.key.source, r.key.number): r for r in ledger.state.records}
    first, second, settings_row = rows["list", 1], rows["list", 2], rows["settings", 7]
    assert (
        first.attempts[OK],
        first.attempts[TIMEOUT],
        first.first_attempt_at,
        first.last_attempt_at,
    ) == (
        1,
        1,
        12,
        15,
    )
    assert (second.attempts[OK], second.attempts[TIMEOUT], second.first_attempt_at) == (
        1,
        0,
        21,
    )
    assert sum(settings_row.attempts) == 3  # each attempt counts once per source


def test_reading_a_log_restores_the_state_that_was_written() -> None:
    ledger, store = build_ledger()
    reading = read(store.log, "n0")
    assert (reading.state.head, reading.state.entries) == (
        ledger.state.head,
        ledger.state.entries,
    )
    assert reading.state.records == ledger.state.records
    assert not reading.state.closed  # as after the process was killed
    ledger.end_incarnation(9_000)
    store.append_batches(ledger, 9_000)
    assert read(store.log, "n0").state.closed


def test_a_killed_process_loses_only_entries_after_the_last_batch() -> None:
    ledger, store = build_ledger(rounds=4)
    for cut in range(len(store.log) + 1):
        assert sum(read(store.log[:cut], "n0").state.attempts()) == sum(
            range(1, cut + 1)
        )
    ledger.count_attempt(OK, 4_700)
    assert ledger.unsaved_attempts == 1  # would be lost if the process were killed now


@pytest.mark.parametrize("damage", ["removed", "moved", "duplicated"])
def test_a_broken_chain_is_detected_and_the_error_names_the_batch(damage: str) -> None:
    _, store = build_ledger()
    log = list(store.log)
    if damage == "removed":
        del log[2]
    elif damage == "moved":
        log[2], log[3] = (3, log[3][1]), (4, log[2][1])
    else:
        log[3] = (4, log[2][1])
    with pytest.raises(
        LedgerChainError, match="batch 4" if damage != "moved" else "batch 3"
    ) as error:
        read(log, "n0")
    assert error.value.where
    assert error.value.advice


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.data())
def test_any_changed_byte_is_detected(data: st.DataObject) -> None:
    _, store = build_ledger(rounds=3)
    batch = data.draw(st.integers(0, len(store.log) - 1))
    number, body = store.log[batch]
    at = data.draw(st.integers(0, len(body) - 1))
    change = data.draw(st.integers(1, 255))
    store.log[batch] = (number, body[:at] + bytes([body[at] ^ change]) + body[at + 1 :])
    with pytest.raises(LedgerError, match=f"batch {number}"):
        read(store.log, "n0")


def test_checkpoints_bound_the_log_and_lose_no_attempt() -> None:
    rules = LedgerRules(max_versions=5, checkpoint_entries=20, span_retention_us=2_000)
    ledger, store = build_ledger(rules, rounds=200)
    assert len(store.log) < 20
    assert len(ledger.state.records) <= 5 + 20
    reading = read(store.log, "n0")
    assert not reading.gaps
    assert reading.state.head == ledger.state.head
    assert (
        sum(reading.state.attempts())
        == sum(range(1, 201))
        == sum(reading.state.attempts("settings"))
    )
    assert reading.state.folded["list"][0] > 100


def test_a_checkpoint_that_does_not_follow_the_log_is_reported_as_a_gap() -> None:
    ledger, store = build_ledger(LedgerRules(checkpoint_entries=10))
    ledger.count_attempt(OK, 6_600)
    ledger.flush(6_700)  # the store does not accept this batch
    ledger.count_attempt(OK, 6_800)
    store.log.append((store.last + 1, ledger.checkpoint()))
    reading = read(store.log, "n0")
    assert len(reading.gaps) == 1
    assert f"batch {store.last + 1}" in reading.gaps[0]
    assert sum(reading.state.attempts()) == 21 + 2


def test_a_restart_continues_the_chain_with_a_new_incarnation() -> None:
    ledger, store = build_ledger()
    before = read(store.log, "n0").state
    restarted = Ledger(state=before)
    restarted.start_incarnation(
        "n0", 7, 10**15, min_incarnation=4
    )  # other nodes have seen incarnation 4: the store is outdated
    restarted.activate(key(6), 10)
    restarted.count_attempt(OK, 11)
    store.append_batches(restarted, 20)
    state = read(store.log, "n0").state
    assert state.incarnation == 5
    assert [
        (r.incarnation, sum(r.attempts)) for r in state.records if r.key == key(6)
    ] == [
        (1, 6),
        (5, 1),
    ]
    with pytest.raises(ForeignLedgerError, match="of node 'n0', not of 'n1'"):
        read(store.log, "n1")


def test_attempts_whose_span_was_dropped_are_still_counted() -> None:
    ledger = Ledger(LedgerRules(max_spans=4))
    ledger.start_incarnation("n0", 1, 0)
    for i in range(1, 20):
        ledger.activate(key(i), 10 * i)
        ledger.flush(10 * i)
    ledger.count_attempt(OK, 12)
    ledger.write_counts()
    assert sum(ledger.state.attempts()) == 1
    assert ledger.uncovered_attempts == 1
