"""A model of the expected contents of a store, and random calls."""

from __future__ import annotations

from random import Random

from loadbalancer.stores.interface import Store

Call = tuple[str, str, object]  # method, name, argument


class Model:
    """The simplest implementation of a store."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.logs: dict[str, list[tuple[int, bytes]]] = {}
        self.next: dict[str, int] = {}

    def replace(self, name: str, data: bytes | None) -> None:
        self.records.pop(name, None)
        if data is not None:
            self.records[name] = data

    def append(self, log: str, data: bytes) -> int:
        number = self.next.get(log, 1)
        self.next[log] = number + 1
        self.logs.setdefault(log, []).append((number, data))
        return number

    def cut(self, log: str, before: int) -> None:
        if log in self.logs:
            self.logs[log] = [entry for entry in self.logs[log] if entry[0] >= before]

    def contents(self) -> dict:
        return {"records": self.records, "logs": self.logs}

    def after(self, call: Call) -> Model:
        """Returns a copy of the model after one more call."""
        successor = Model()
        successor.records, successor.next = dict(self.records), dict(self.next)
        successor.logs = {log: list(entries) for log, entries in self.logs.items()}
        apply(successor, call)
        return successor


def apply(store: Store | Model, call: Call) -> object:
    method, name, argument = call
    return getattr(store, method)(name, argument)


def contents(store: Store) -> dict:
    """Returns all records and log entries of a store."""
    records, logs = store.names()
    return {
        "records": {name: store.get(name) for name in records},
        "logs": {log: list(store.read(log)) for log in logs},
    }


def random_calls(
    seed: int, count: int, max_data_bytes: int = 3000
) -> tuple[list[Call], list[Model]]:
    """Returns random calls, and the model before the first and after each of them."""
    rng = Random(seed)
    calls: list[Call] = []
    models = [Model()]
    for _ in range(count):
        log = rng.choice(["a", "ledger_2"])
        data = rng.randbytes(rng.choice([0, 1, 30, 600, max_data_bytes])) + bytes(
            rng.choice([0, 0, 700])
        )
        record = rng.choice(["vote", "a"])
        cut = ("cut", log, models[-1].next.get(log, 1) - rng.randrange(12))
        append = ("append", log, data)
        calls.append(
            rng.choice(
                [("replace", record, data), append, append, cut, ("replace", "a", None)]
            )
        )
        models.append(models[-1].after(calls[-1]))
    return calls, models


def assert_holds_one_of(store: Store, models: list[Model]) -> None:
    """Asserts that the contents match one of the models and that numbers continue; closes the store."""
    held = contents(store)
    model = next((m for m in models if m.contents() == held), None)
    assert model is not None, (summary(held), [summary(m.contents()) for m in models])
    for log, number in model.next.items():
        assert store.append(log, b"after") == number
        model = model.after(("append", log, b"after"))
    assert contents(store) == model.contents()
    assert store.size() <= store.max_bytes  # type: ignore[attr-defined]
    store.close()


def summary(held: dict) -> dict:
    return {
        "records": {name: len(data) for name, data in held["records"].items()},
        "logs": {
            log: [(number, len(data)) for number, data in entries]
            for log, entries in held["logs"].items()
        },
    }
