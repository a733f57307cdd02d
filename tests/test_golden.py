"""What earlier nodes sent, stored and showed is still read, and still written the same (tests/golden)."""

import asyncio
import json
import re
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import msgspec.inspect
import pytest
from loopback import Server, call, settings
from program import Program, free_port, node_table, spawn

from loadbalancer.audit import endpoint_transfer as audit_lines
from loadbalancer.audit import ledger_entries as audit_ledger
from loadbalancer.audit import status as audit_status
from loadbalancer.cells import messages as cell_messages
from loadbalancer.config import operator_config, platform_settings
from loadbalancer.forecast import key_records
from loadbalancer.freeze import elector_record as freeze_record
from loadbalancer.freeze import evidence as freeze_evidence
from loadbalancer.freeze import messages as freeze_messages
from loadbalancer.freeze import state as freeze_state
from loadbalancer.lab import scenario
from loadbalancer.locality import messages as locality_messages
from loadbalancer.membership import messages as membership_messages
from loadbalancer.node import config as node_config
from loadbalancer.node.discovery import endpoint_list_codec
from loadbalancer.node.features import known_endpoints
from loadbalancer.node.lifecycle import upgrade
from loadbalancer.node.numbering import number_of
from loadbalancer.policy.api import EndpointState
from loadbalancer.records import messages as record_messages
from loadbalancer.spread import rate_report
from loadbalancer.stores.directory import DirectoryStore
from loadbalancer.stores.sqlite import SqliteStore
from loadbalancer.transports.memory import MemoryNetwork, MemoryTransport
from loadbalancer.transports.mux import Mux

ROOT = Path(__file__).parent.parent
GOLDEN = ROOT / "tests" / "golden"
WIRE: dict[str, dict[str, str]] = json.loads((GOLDEN / "wire.json").read_text())
KEYS: dict[str, Any] = json.loads((GOLDEN / "keys.json").read_text())
CLUSTER = "brackenladder"
LAYOUT = "00ff"  # of the cells in the samples
STORE_BYTES = 1 << 20  # the bound of the recorded stores

Codec = Callable[[bytes], bytes]
msgpack_encode = msgspec.msgpack.encode


def again(type_: Any) -> Codec:
    """Decodes bytes as a type of the present text and encodes the outcome."""
    decoder = msgspec.msgpack.Decoder(type_)
    return lambda data: msgpack_encode(decoder.decode(data))


def freeze_datagram(data: bytes) -> bytes:
    envelope = freeze_messages.decode(data)
    return freeze_messages.encode(envelope.sender, envelope.message)


def cells_datagram(data: bytes) -> bytes:
    cell_messages.decode(data, LAYOUT)
    message = cell_messages.MESSAGE_DECODER.decode(data)
    return cell_messages.encode(message)


def freeze_snapshot(data: bytes) -> bytes:
    state = freeze_state.FreezeState()
    state.restore(data)
    return state.snapshot()


def spread_record(data: bytes) -> bytes:
    told = rate_report.decode(data)
    code = rate_report.code_of(told.rate)
    return rate_report.encode(code, told.size, told.index, told.count)


def of_record(decode: Callable[[bytes], Any], encode: Callable[[Any], bytes]) -> Codec:
    """A codec of a record's body, whose decoder gives None for what it cannot read."""

    def codec(data: bytes) -> bytes:
        content = decode(data)
        assert content is not None
        return encode(content)

    return codec


CODECS: dict[str, Codec] = {
    "membership": lambda data: membership_messages.encode(
        membership_messages.decode(data, CLUSTER)
    ),
    "records": lambda data: record_messages.encode(record_messages.decode(data)),
    "audit record": of_record(audit_status.decode, audit_status.encode),
    "audit lines": of_record(audit_lines.decode, audit_lines.encode),
    "ledger entry": lambda data: audit_ledger.encode(
        audit_ledger.ENTRY_DECODER.decode(data)
    ),
    "ledger batch": lambda data: audit_ledger.encode(
        audit_ledger.BATCH_DECODER.decode(data)
    ),
    "freeze": freeze_datagram,
    "freeze command": again(freeze_state.StateCommand),
    "freeze snapshot": freeze_snapshot,
    "freeze elector record": again(freeze_record.ElectorRecord),
    "freeze evidence record": of_record(freeze_evidence.decode, freeze_evidence.encode),
    "locality record": of_record(locality_messages.decode, locality_messages.encode),
    "cells": cells_datagram,
    "cells record": lambda data: cell_messages.encode_fleet_summary(
        cell_messages.decode_fleet_summary(data, LAYOUT)
    ),
    "spread record": spread_record,
}
SAMPLES = [(family, label) for family in CODECS for label in WIRE[family]]


def sample(family: str, label: str) -> bytes:
    return bytes.fromhex(WIRE[family][label])


@pytest.mark.parametrize(("family", "label"), SAMPLES)
def test_a_recorded_message_decodes_and_encodes_to_the_same_bytes(family, label):
    data = sample(family, label)
    assert CODECS[family](data) == data


def test_every_recorded_family_is_checked():
    assert set(WIRE) == {*CODECS, "forecast records", "transport"}
    assert len(SAMPLES) >= 50


def test_recorded_forecast_records_are_read_and_written_the_same():
    bodies = [bytes.fromhex(text) for text in WIRE["forecast records"].values()]
    report = key_records.decode_report(bodies)
    assert (
        key_records.encode_report(report.digest, report.subset_size, 1, 1000) == bodies
    )


def test_the_mark_of_a_cluster_on_a_shared_port_is_as_recorded():
    mux = Mux(MemoryTransport(MemoryNetwork(), ("n0", 1), 1_400), CLUSTER)
    assert mux.cluster_hash.hex() == WIRE["transport"]["cluster mark"]


def fill(store: Any) -> None:
    """The operations that the recorded stores have seen."""
    store.replace("freeze-elector", sample("freeze elector record", "stored"))
    store.replace("forecast", b'{"zone-return": [[0.1, 0.25], false, 2, 3, 1]}')
    store.replace("gone", b"x")
    store.replace("gone", None)
    for i in range(5):
        store.append("audit", sample("ledger batch", "batch") + bytes([i]))
    store.cut("audit", 3)
    store.append("other", b"entry")


def content_of(store: Any) -> dict[str, Any]:
    records, logs = store.names()
    return {name: store.get(name) for name in records} | {
        name: list(store.read(name)) for name in logs
    }


@pytest.mark.parametrize(
    ("name", "kind"), [("directory", DirectoryStore), ("sqlite", SqliteStore)]
)
def test_a_recorded_store_is_read_whole_and_goes_on(name, kind, tmp_path):
    shutil.copytree(GOLDEN / name, tmp_path / "old")
    old = kind(str(tmp_path / "old"), STORE_BYTES, True)
    new = kind(str(tmp_path / "new"), STORE_BYTES, True)
    fill(new)
    assert content_of(old) == content_of(new)
    assert old.append("audit", b"more") == new.append("audit", b"more") == 6
    old.close()
    new.close()


def test_the_directory_store_writes_the_recorded_files(tmp_path):
    store = DirectoryStore(str(tmp_path / "new"), STORE_BYTES, True)
    fill(store)
    store.close()
    recorded = {p.name: p.read_bytes() for p in (GOLDEN / "directory").iterdir()}
    written = {p.name: p.read_bytes() for p in (tmp_path / "new").iterdir()}
    written.pop("lock")
    assert written == recorded


def key_paths(type_: Any) -> list[str]:
    """The key paths that a type accepts; `?` marks those that may be left out."""
    found: list[str] = []
    inspect = msgspec.inspect

    def walk(info: Any, at: str) -> None:
        if isinstance(info, inspect.StructType):
            for field in info.fields:
                path = f"{at}.{field.encode_name}".lstrip(".")
                found.append(path + ("" if field.required else "?"))
                walk(field.type, path)
        elif isinstance(info, inspect.UnionType):
            for one in info.types:
                walk(one, at)
        elif isinstance(
            info, inspect.ListType | inspect.SetType | inspect.VarTupleType
        ):
            walk(info.item_type, at + "[]")
        elif isinstance(info, inspect.DictType):
            walk(info.value_type, at + "{}")

    walk(inspect.type_info(type_), "")
    return sorted(found)


@pytest.mark.parametrize(
    ("file", "type_"),
    [
        ("operator file", operator_config.OperatorConfig),
        ("platform settings", platform_settings.SettingsForm),
        ("node configuration", node_config.File),
        ("endpoint list", endpoint_list_codec.Table),
        ("scenario", scenario.Scenario),
    ],
)
def test_the_keys_of_the_users_files_are_as_recorded(file, type_):
    assert len(KEYS[file]) >= 10
    assert key_paths(type_) == KEYS[file]


def test_digests_that_nodes_compare_are_as_recorded():
    line = endpoint_list_codec.Line(
        "s1", "10.0.0.9", 8000, "a", "std", 2, EndpointState.READY, 1.5, 1700000
    )
    assert {
        "endpoint line": known_endpoints.line_digest(line),
        "endpoint number": number_of("s1"),
        "record owner": record_messages.owner_key("n1").hex(),
        "record check": record_messages.checksum(b"body"),
        "audit mixed": audit_status.stable_hash("tell", "n1", 3),
    } == KEYS["digests"]


def test_the_file_of_an_upgrade_is_as_recorded(tmp_path):
    registry = upgrade.ProcessRegistry("n0", str(tmp_path))
    registry.register()
    registry.publish(12, True)
    (file,) = tmp_path.iterdir()
    assert file.name.startswith(KEYS["handover"]["prefix"])
    assert file.name.endswith(KEYS["handover"]["suffix"])
    assert file.read_bytes().hex() == KEYS["handover"]["content"]
    registry.unregister()


OPERATOR = """
[zones]
[locality]
[storms]
[membership]
listen = "127.0.0.1:{port}"
regions = {{ north = ["here"] }}
[cells]
count = 1
collectors = ["n0"]
[spread]
[store]
kind = "directory"
path = "{path}"
[audit]
[freeze]
electors = ["n0", "n1", "n2"]
[shards]
keys = {{ view = "path 2" }}
[forecast]
"""
PAGES = {
    "plain": ("health", "stats"),
    "all features": (
        *("health", "stats", "membership", "audit", "freeze", "zones", "cells"),
        "forecast",
    ),
}


def shown(value: Any, at: str = "") -> set[str]:
    """The key paths of a JSON value, digests as keys left out."""
    if isinstance(value, dict):
        found = {
            path
            for key in value
            for path in shown(value[key], f"{at}.{key}".lstrip("."))
        }
        return found or {at + "{}"}
    if isinstance(value, list):
        return {path for item in value for path in shown(item, at + "[]")} or {
            at + "[]"
        }
    return {re.sub(r"[0-9a-f]{16}", "<digest>", at)}


@pytest.mark.parametrize("features", ["plain", "all features"])
async def test_the_pages_for_operators_have_the_recorded_keys(features, tmp_path):
    server = await Server().start()
    control = free_port()
    program = Program(tmp_path, server.entry("s0"))
    await program.discovery.start()
    program.port = free_port()
    listen = f"127.0.0.1:{program.port}"
    table = node_table(
        program.discovery.port, settings(), listen, server.entry("s0")
    ) | {"control": f"127.0.0.1:{control}", "zone": "here"}
    environ = {"TMPDIR": str(tmp_path)}
    if features != "plain":
        file = tmp_path / "operator.toml"
        file.write_text(OPERATOR.format(port=free_port(), path=tmp_path / "stores"))
        environ["LB_OPERATOR"] = str(file)
    program.process = await spawn(tmp_path, table, environ)
    try:
        await program.ready()
        client = await program.client()
        assert (await client.ask(call("view")))[0] == 200
        golden = json.loads((GOLDEN / "admin.json").read_text())
        for page in PAGES[features]:
            recorded = golden[f"{features}: /admin/{page}"]
            await shows(control, page, recorded["always"], recorded["at times"])
        program.term()
        assert await program.exit() == 0
    finally:
        await program.stop()


async def shows(port: int, page: str, always: list[str], at_times: list[str]) -> None:
    """Waits until a page shows the recorded keys: some come with the first news."""
    found: set[str] = set()
    for _ in range(100):
        async with aiohttp.request(
            "GET", f"http://127.0.0.1:{port}/admin/{page}"
        ) as answer:
            text = await answer.text()
            found = {f"status {answer.status}", *shown(json.loads(text))}
        if set(always) <= found <= {*always, *at_times}:
            return
        await asyncio.sleep(0.1)
    assert sorted(found - set(at_times)) == always


PROGRAM_NAMES = ("module", "version", "program", "lab")  # what names the program itself


def rows_of(path: Path) -> list[dict[str, Any]]:
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        {key: value for key, value in row.items() if key not in PROGRAM_NAMES}
        if row["type"] == "run"
        else row
        for row in rows
    ]


@pytest.mark.parametrize(
    ("name", "seconds"), [("calm", "seconds=6"), ("retry-storm", "seconds=40")]
)
def test_a_scenario_gives_the_recorded_results(name, seconds, tmp_path):
    command = [sys.executable, "-m", "loadbalancer", "lab", "run"]
    command += [f"scenarios/{name}.toml", "--seed", "5", "--set", seconds]
    done = subprocess.run(
        [*command, "--out", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
        check=False,
    )
    assert (tmp_path / "results.jsonl").exists(), done.stderr
    recorded = rows_of(GOLDEN / f"results-{name}.jsonl")
    assert rows_of(tmp_path / "results.jsonl") == recorded
