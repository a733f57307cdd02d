"""The guarantees of `stores/interface.py`: single cases, and random calls against a model."""

import tempfile
from pathlib import Path

import pytest
from contracts.model import Model, contents
from contracts.stores import FAST_FOLDER, Kind, every_kind
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine as Rules
from hypothesis.stateful import invariant, precondition, rule, run_state_machine_as_test

from loadbalancer.stores.interface import StoreError, StoreFullError

MAX_BYTES = 1 << 20

# ---- single cases ------------------------------------------------------------------------------------


@every_kind
def test_missing_records_and_logs_read_as_empty(kind, folder):
    store = kind.open(folder, MAX_BYTES)
    assert store.get("a") is None
    assert list(store.read("a")) == []
    store.replace("a", None)
    store.cut("a", 7)
    assert store.names() == ([], [])
    assert store.size() == 0


CALLS = {"get": (), "replace": (b"",), "append": (b"",), "read": (), "cut": (1,)}


@every_kind
@pytest.mark.parametrize(
    "name", ["", "A", "a/b", "..", "a.b", "a" * 65, "a\n", "é", "a\0"]
)
def test_an_invalid_name_is_refused_by_every_call(kind, folder, name):
    store = kind.open(folder, MAX_BYTES)
    for method, rest in CALLS.items():
        with pytest.raises(StoreError):
            getattr(store, method)(name, *rest)
    assert store.names() == ([], [])


@every_kind
def test_data_that_is_not_bytes_is_refused_and_changes_nothing(kind, folder):
    store = kind.open(folder, MAX_BYTES)
    store.replace("vote", b"1")
    size = store.size()
    for call in (store.replace, store.append):
        with pytest.raises(TypeError):
            call("vote", "text")
    assert store.get("vote") == b"1"
    assert store.names() == (["vote"], [])
    assert store.size() == size
    assert store.append("log", b"") == 1


@every_kind
def test_calls_on_a_closed_store_raise(kind, folder):
    store = kind.open(folder, MAX_BYTES)
    store.append("log", b"1")
    store.close()
    store.close()
    calls = {method: ("log", *rest) for method, rest in CALLS.items()} | {
        "names": (),
        "size": (),
    }
    for method, arguments in calls.items():
        with pytest.raises(StoreError):
            getattr(store, method)(*arguments)


@every_kind
def test_a_full_store_keeps_its_contents_and_accepts_writes_once_space_is_freed(
    kind, folder
):
    store = kind.open(folder, MAX_BYTES)
    store.replace("vote", b"kept")
    numbers = []
    with pytest.raises(StoreFullError):
        while True:
            numbers.append(store.append("log", bytes(MAX_BYTES // 32)))
            assert store.size() <= MAX_BYTES
    assert 24 <= len(numbers) <= 32  # the bound leaves at least three quarters for data
    assert store.get("vote") == b"kept"
    assert [n for n, _ in store.read("log")] == numbers
    store.cut("log", numbers[len(numbers) // 2])
    assert store.append("log", b"x" * (MAX_BYTES // 32)) == len(numbers) + 1
    store.replace("vote", b"next")
    assert store.get("vote") == b"next"


# ---- against a model ---------------------------------------------------------------------------------

LOGS = st.sampled_from(["one", "two", "t-0_9"])
DATA = st.one_of(st.binary(max_size=40), st.integers(0, 9000).map(lambda n: b"\0" * n))


class StoreMachine(Rules):
    """Any calls in any order; after each call the store and the model have the same contents."""

    kind: Kind

    def __init__(self) -> None:
        super().__init__()
        self.folder = tempfile.TemporaryDirectory(dir=FAST_FOLDER)
        self.store = self.kind.open(Path(self.folder.name), MAX_BYTES)
        self.model = Model()

    def teardown(self) -> None:
        self.store.close()
        self.folder.cleanup()

    @rule(name=LOGS, data=st.none() | DATA)
    def replace(self, name, data):
        self.store.replace(name, data)
        self.model.replace(name, data)

    @rule(log=LOGS, data=DATA)
    def append(self, log, data):
        assert self.store.append(log, data) == self.model.append(log, data)

    @rule(log=LOGS, back=st.integers(-3, 6))
    def cut(self, log, back):
        for target in (self.store, self.model):
            target.cut(log, self.model.next.get(log, 1) - back)

    @rule(log=LOGS, back=st.integers(-2, 6))
    def read(self, log, back):
        since = self.model.next.get(log, 1) - back
        assert list(self.store.read(log, since)) == [
            entry for entry in self.model.logs.get(log, []) if entry[0] > since
        ]

    @rule(log=LOGS)
    def write_too_large(self, log):
        for call in (self.store.append, self.store.replace):
            with pytest.raises(StoreFullError):
                call(log, bytes(MAX_BYTES))

    @precondition(lambda self: self.kind.durable)
    @rule()
    def reopen(self):
        size = self.store.size()
        self.store.close()
        self.store = self.kind.open(Path(self.folder.name), MAX_BYTES)
        assert self.store.size() == size

    @invariant()
    def contents_match_the_model(self):
        assert contents(self.store) == self.model.contents()
        assert self.store.names() == (
            sorted(self.model.records),
            sorted(self.model.logs),
        )
        assert self.store.size() <= MAX_BYTES


@every_kind
def test_any_order_of_calls_matches_the_model(kind):
    machine = type("StoreMachineOfKind", (StoreMachine,), {"kind": kind})
    test_settings = settings(
        derandomize=True, deadline=None, max_examples=40, stateful_step_count=30
    )
    run_state_machine_as_test(machine, settings=test_settings)
