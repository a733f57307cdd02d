"""The operators' file: what an installation wants beyond the platform's settings. All of it may be absent.

`deploy/operator.toml` shows every key with its default. A file is taken whole or not at all; keys that are
not known are refused, with the path of what is wrong. Imported only where a file is named.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from dataclasses import replace
from difflib import get_close_matches
from ipaddress import ip_address
from typing import TYPE_CHECKING, Annotated, Any, ClassVar

import msgspec
from msgspec import Meta

from loadbalancer.config.platform_settings import located
from loadbalancer.errors import LoadBalancerError
from loadbalancer.forecast.migration_rules import MigrationRules
from loadbalancer.membership.settings import DEFAULT_CLUSTER, SwimSettings
from loadbalancer.policy.retry_storm import RetryStormRules
from loadbalancer.policy.zone_failover import ZoneFailoverRules
from loadbalancer.spread.ring_positions import SpreadRules
from loadbalancer.stores.factory import StoreConfig, StoreKind

if TYPE_CHECKING:
    from loadbalancer.cells.layout import Layout
    from loadbalancer.freeze.evidence import EvidenceRules
    from loadbalancer.freeze.rules import FreezeRules
    from loadbalancer.locality.rules import AgreementRules

Percent = Annotated[float, Meta(ge=0, le=100)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Address = tuple[str, int]
LARGEST_PORT = 65_535


class OperatorConfigError(LoadBalancerError):
    """An operators' file that cannot be used; nothing of it is taken."""

    code: ClassVar[str] = "OperationError"
    remedy: ClassVar[str] = (
        "run `loadbalancer check --operator FILE` and correct what it names"
    )


class OperatorConfigUnreadableError(OperatorConfigError):
    """The operators' file is not there, or not for this user to read."""

    code: ClassVar[str] = "OperationUnreadable"
    remedy: ClassVar[str] = (
        "let LB_OPERATOR name a file that the node's user may read, or leave it unset"
    )


class OperatorConfigSyntaxError(OperatorConfigError):
    """The operators' file is not TOML."""

    code: ClassVar[str] = "OperationMalformed"
    remedy: ClassVar[str] = (
        "mend the operators' file at the line and column named; the form is TOML"
    )


class OperatorConfigUnknownKeyError(OperatorConfigError):
    """A key or table that this version of the program does not have."""

    code: ClassVar[str] = "OperationUnknownKey"
    remedy: ClassVar[str] = (
        "correct the key's spelling, or take it out; deploy/operator.toml shows all keys"
    )


class OperatorConfigValueError(OperatorConfigError):
    """A key of the operators' file has a value of another kind, or out of its range."""

    code: ClassVar[str] = "OperationValue"
    remedy: ClassVar[str] = (
        "give the key a value in the range that deploy/operator.toml shows beside it"
    )


class OperatorConfigConflictError(OperatorConfigError):
    """Two keys of the operators' file that contradict each other."""

    code: ClassVar[str] = "OperationConflict"
    remedy: ClassVar[str] = (
        "change one of the keys named so that both can hold, or take one out"
    )


class OperatorConfigAddressError(OperatorConfigError):
    """An address of the operators' file, or of LB_MEMBERSHIP_*, that other nodes could not send to."""

    code: ClassVar[str] = "OperationAddress"
    remedy: ClassVar[str] = (
        "write IP:PORT in numbers, as others reach this node; a name is not looked up"
    )


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One table of the file."""


class Zones(Table, frozen=True):
    """`[zones]`: where calls go when the own zone cannot bear them. Its presence switches it on."""

    near: dict[str, list[str]] = msgspec.field(default_factory=dict)
    spill_limit_percent: Percent = 25.0
    panic_below_percent: Percent = 50.0
    panic_until_percent: Percent = 70.0
    return_s: Seconds = 10.0
    calm_s: Seconds = 120.0
    server_requests_per_s: Annotated[float, Meta(ge=0)] = 0.0

    def rules(self, here: str, number: Callable[[str], int]) -> ZoneFailoverRules:
        """The rules for a node of zone `here`, with the zones' names as numbers."""
        return ZoneFailoverRules(
            near=frozenset(number(name) for name in self.near.get(here, ())),
            spill_limit=self.spill_limit_percent / 100,
            panic_below=self.panic_below_percent / 100,
            panic_until=self.panic_until_percent / 100,
            return_time=int(self.return_s * 1e6),
            calm_time=int(self.calm_s * 1e6),
            server_rate=self.server_requests_per_s,
        )


class LocalityTable(Table, frozen=True):
    """`[locality]`: the state of zones and regions is held in common. Its presence switches it on, where
    `[zones]` and `[membership]` are on.
    """

    zone_requests_per_s: dict[str, Annotated[float, Meta(gt=0)]] = msgspec.field(
        default_factory=dict
    )
    zone_spill_percent: dict[str, Percent] = msgspec.field(default_factory=dict)
    fails_percent: Annotated[float, Meta(ge=1, le=100)] = 50.0
    hold_s: Annotated[float, Meta(ge=0, le=60)] = 0.5
    quiet_s: Seconds = 3.0
    trial_percent: Annotated[float, Meta(ge=0, le=50)] = 5.0

    def rules(self, zones: Zones) -> AgreementRules:
        """The thresholds and times of the agreement on zones."""
        # Here: a node without `[locality]` does not need it.
        from loadbalancer.locality.rules import RETURN_LEVELS, AgreementRules

        return AgreementRules(
            failing_ratio=self.fails_percent / 100,
            worsening_dwell_us=int(self.hold_s * 1e6),
            return_dwell_us=int(self.quiet_s * 1e6),
            return_step_us=int(zones.return_s * 1e6) // len(RETURN_LEVELS),
            relapse_memory_us=int(zones.calm_s * 1e6),
        )


class Storms(Table, frozen=True):
    """`[storms]`: who is let in while clients return at once. Its presence switches it on."""

    repeat_share_percent: Percent = 20.0
    by_worth: bool = True

    def rules(self) -> RetryStormRules:
        return RetryStormRules(
            repeat_share=self.repeat_share_percent / 100, by_priority=self.by_worth
        )


class Membership(Table, frozen=True):
    """`[membership]`: nodes that know of each other. Its presence switches it on, where the platform lets
    nodes talk to each other (`policy_limits.peers`).
    """

    listen: str = "127.0.0.1:7946"
    advertise: str = ""  # where others reach this node, if not where it listens
    seeds: list[str] = msgspec.field(default_factory=list)
    cluster: Annotated[str, Meta(min_length=1, max_length=64)] = DEFAULT_CLUSTER
    regions: dict[str, list[str]] = msgspec.field(default_factory=dict)
    probe_ms: Annotated[float, Meta(ge=20, le=60_000)] = 350.0
    probe_timeout_ms: Annotated[float, Meta(ge=5, le=30_000)] = 150.0
    bear_pause_s: Annotated[float, Meta(ge=0, le=600)] = 3.3
    relays: Annotated[int, Meta(ge=0, le=10)] = 3
    sync_s: Annotated[float, Meta(ge=0.1, le=86_400)] = 30.0
    dead_keep_s: Seconds = 300.0

    def settings(self) -> SwimSettings:
        """The decider's settings."""
        return SwimSettings(
            cluster=self.cluster,
            probe_interval_us=int(self.probe_ms * 1000),
            probe_timeout_us=int(self.probe_timeout_ms * 1000),
            indirect_probes=self.relays,
            pause_tolerance_us=int(self.bear_pause_s * 1e6),
            sync_interval_us=int(self.sync_s * 1e6),
            dead_retention_us=int(self.dead_keep_s * 1e6),
        )

    def region(self, zone: str) -> str:
        """The region that a zone lies in; none if the file does not say."""
        return next(
            (region for region, zones in self.regions.items() if zone in zones), ""
        )

    def addresses(self) -> tuple[Address, Address, tuple[Address, ...]]:
        """Where it listens, what others are told (port 0: the one that is bound), and the seeds."""
        listen = address(self.listen, "membership.listen")
        told = (
            address(self.advertise, "membership.advertise")
            if self.advertise
            else listen
        )
        if told[0] in ("0.0.0.0", "::"):
            raise OperatorConfigAddressError(
                f"others cannot reach {told[0]}; say this node's address",
                "membership.advertise",
            )
        seeds = tuple(
            address(s, f"membership.seeds[{i}]") for i, s in enumerate(self.seeds)
        )
        return listen, told, seeds


class CellsTable(Table, frozen=True):
    """`[cells]`: records go round and are judged within cells of the fleet (docs/cells.md). Its presence
    switches it on, where `[membership]` is on. All nodes must have the same.
    """

    count: Annotated[int, Meta(ge=1, le=4_096)]
    label: Annotated[str, Meta(max_length=8)] = ""
    collectors: Annotated[
        list[Annotated[str, Meta(min_length=1, max_length=64)]], Meta(max_length=64)
    ] = []

    def layout(self) -> Layout:
        """Which member belongs to which cell."""
        from loadbalancer.cells.layout import (
            Layout,
        )  # a node without it does not need it

        return Layout(self.count, self.label)


class SpreadTable(Table, frozen=True):
    """`[spread]`: servers are shared out among the members that live. Its presence switches it on, where
    `[membership]` is on.
    """

    hold_s: Seconds = 2.0
    apart_s: Annotated[float, Meta(ge=0, le=600)] = 3.0
    # Members tell their rates, and draw servers so that all get the same
    weights: bool = False

    def rules(self) -> SpreadRules:
        return SpreadRules(
            hold_us=int(self.hold_s * 1e6), stagger_us=int(self.apart_s * 1e6)
        )


class StoreTable(Table, frozen=True):
    """`[store]`: where parts keep state across restarts. Without it they have it in memory."""

    kind: StoreKind = "memory"
    path: str = ""  # a folder in which each node has its own; empty: under $TMPDIR, which does not last
    most_mb: Annotated[float, Meta(ge=0.0625, le=4096)] = 16.0
    # False: the path is empty after a restart, as $TMPDIR is
    lasting: bool | None = None

    def wish(self) -> StoreConfig:
        """What a node opens; an OperatorConfigError for a store that cannot last as it should."""
        if self.lasting and (self.kind == "memory" or not self.path):
            raise OperatorConfigConflictError(
                "memory and $TMPDIR do not last; give a kind and a path, or leave it out",
                "store.lasting",
            )
        if self.kind == "memory" and self.path:
            raise OperatorConfigConflictError(
                'kind "memory" has no path; say another kind, or leave it out',
                "store.path",
            )
        lasting = bool(self.path) if self.lasting is None else self.lasting
        return StoreConfig(self.kind, self.path, int(self.most_mb * (1 << 20)), lasting)


class AuditTable(Table, frozen=True):
    """`[audit]`: which node acts on which version. Its presence switches it on; without `[membership]` the
    node keeps its own ledger and knows nothing of the others.
    """

    numbering: str = ""
    agents: list[str] = msgspec.field(default_factory=list)
    from_peers: bool = True
    flush_s: Annotated[float, Meta(ge=0.05, le=60)] = 0.5
    lag_s: Seconds = 2.5
    silence_s: Seconds = 6.0
    hold_s: Seconds = 2.0
    out_after_s: Seconds = 30.0
    out_share_percent: Percent = 10.0
    in_after_s: Seconds = 10.0
    ready_least: Annotated[int, Meta(ge=1)] = 1
    ready_share_percent: Percent = 50.0

    def others(self) -> tuple[Address, ...]:
        """The agents that a straggler asks beside its own."""
        return tuple(
            address(a, f"audit.agents[{i}]") for i, a in enumerate(self.agents)
        )


class FreezeTable(Table, frozen=True):
    """`[freeze]`: who may change what during an incident (docs/freeze.md). Its presence switches it on, where
    `[membership]` is on. All nodes must have the same.
    """

    electors: list[Annotated[str, Meta(min_length=1, max_length=64)]]
    lease_s: Annotated[float, Meta(ge=0.2, le=60)] = 2.0
    drift_percent: Annotated[float, Meta(ge=0, le=10)] = 1.0
    begin_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    most_life_s: Seconds = 3600.0
    keep_incidents_s: Seconds = 600.0
    alone_s: dict[str, float] = msgspec.field(default_factory=dict)
    never_alone: list[str] = msgspec.field(default_factory=list)
    evidence: bool = True
    zone_fails_percent: Percent = 50.0
    refused_percent: Percent = 50.0
    evidence_hold_s: Seconds = 2.0
    evidence_quiet_s: Seconds = 30.0
    evidence_severity: Annotated[int, Meta(ge=1, le=3)] = 2

    def rules(self, regions: Mapping[str, str]) -> FreezeRules:
        """What the deciders go by; `regions` has each zone's."""
        # Here: a node without such a wish does not need the deciders.
        from loadbalancer.freeze.rules import (
            DEFAULT_NO_COORDINATOR_RULES,
            ClientRules,
            CoordinatorRules,
            ElectionRules,
            FreezeRules,
        )

        if len(self.electors) not in (3, 5, 7) or len(set(self.electors)) < len(
            self.electors
        ):
            raise OperatorConfigValueError(
                "names 3, 5 or 7 nodes, each once", "freeze.electors"
            )
        if self.begin_s > self.lease_s:
            raise OperatorConfigConflictError(
                "is longer than lease_s; a grant begins within a lease",
                "freeze.begin_s",
            )
        us = 1_000_000
        names = tuple(self.electors)
        alone = dict(DEFAULT_NO_COORDINATOR_RULES)
        for key, kinds in (
            ("alone_s", self.alone_s),
            ("never_alone", self.never_alone),
        ):
            for kind in kinds:
                if kind not in alone:
                    raise OperatorConfigValueError(
                        f"one of {', '.join(alone)}", f"freeze.{key}.{kind}"
                    )
                # TOML has nan and inf, which no whole number of microseconds is.
                if key == "alone_s" and not 1 / us <= self.alone_s[kind] <= 86_400:
                    raise OperatorConfigValueError(
                        "seconds, above 0 and up to 86400", f"freeze.alone_s.{kind}"
                    )
                most = int(self.alone_s[kind] * us) if key == "alone_s" else None
                alone[kind] = replace(alone[kind], proceed_after_silence_us=most)
        shared = CoordinatorRules(
            begin_within_us=int(self.begin_s * us),
            max_duration_us=int(self.most_life_s * us),
        )
        drift = self.drift_percent / 100
        client = ClientRules(
            names,
            shared,
            drift,
            incident_lifetime_us=int(self.keep_incidents_s * us),
            no_coordinator=alone,
        )
        return FreezeRules(
            ElectionRules(names, int(self.lease_s * us), drift), client, regions
        )

    def evidence_rules(self) -> EvidenceRules:
        """When what nodes report makes an incident."""
        from loadbalancer.freeze.evidence import EvidenceRules

        return EvidenceRules(
            zone_failure_ratio=self.zone_fails_percent / 100,
            rejection_ratio=self.refused_percent / 100,
            confirm_us=int(self.evidence_hold_s * 1e6),
            clear_us=int(self.evidence_quiet_s * 1e6),
            severity=self.evidence_severity,
        )


class ShardsTable(Table, frozen=True):
    """`[shards]`: requests for a key go to its homes first. Its presence switches it on.
    `keys` says by class which part of a request is its key: `path 2` or `header x-item`.
    """

    count: Annotated[int, Meta(ge=1, le=16_384)] = 1_024
    homes: Annotated[int, Meta(ge=1, le=8)] = 2
    members: Annotated[int, Meta(ge=1, le=128)] = 16
    keys: dict[str, str] = msgspec.field(default_factory=dict)

    def places(self) -> dict[str, tuple[int, bytes]]:
        """By class the part of the path, from 1 on, or 0 and the header's name in lower case."""
        found = {}
        for name, text in self.keys.items():
            kind, _, which = text.strip().partition(" ")
            which = which.strip()
            if (
                kind == "path"
                and which.isascii()
                and which.isdigit()
                and 0 < int(which) < 100
            ):
                found[name] = int(which), b""
            elif (
                kind == "header"
                and which.isascii()
                and which.replace("-", "").isalnum()
            ):
                found[name] = 0, which.lower().encode()
            else:
                raise OperatorConfigValueError(
                    f"{text!r} names no part of a request; write `path 2` or `header x-item`",
                    f"shards.keys.{name}",
                )
        return found


class ForecastTable(Table, frozen=True):
    """`[forecast]`: what a change of placement does to cache hits. Its presence switches it on, where
    `[shards]` is on; `decide` lets it hold changes up.
    """

    hit_header: str = ""
    hit_value: str = "hit"
    entries: Annotated[float, Meta(ge=0)] = 0.0
    ttl_s: Annotated[float, Meta(ge=0)] = 0.0
    cacheable_percent: Percent = 100.0
    server_misses_per_s: Annotated[float, Meta(ge=0)] = 0.0
    window_s: Annotated[float, Meta(ge=1, le=3_600)] = 60.0
    records: Annotated[int, Meta(ge=1, le=8)] = 2
    decide: bool = False
    misses_percent: Annotated[float, Meta(gt=0, le=1_000)] = 100.0
    most_steps: Annotated[int, Meta(ge=1, le=64)] = 16
    pause_s: Seconds = 5.0
    longest_pause_s: Seconds = 60.0
    again_s: Seconds = 5.0
    longest_wait_s: Annotated[float, Meta(ge=0, le=86_400)] = 300.0

    def rules(self) -> MigrationRules:
        """How changes are made."""
        return MigrationRules(
            max_load=self.misses_percent / 100,
            max_steps=self.most_steps,
            min_pause_s=self.pause_s,
            max_pause_s=max(self.pause_s, self.longest_pause_s),
            review_s=self.again_s,
            max_deferral_s=self.longest_wait_s,
        )


class OperatorConfig(Table, frozen=True):
    """The whole file."""

    zones: Zones | None = None
    locality: LocalityTable | None = None
    storms: Storms | None = None
    membership: Membership | None = None
    cells: CellsTable | None = None
    spread: SpreadTable | None = None
    store: StoreTable | None = None
    audit: AuditTable | None = None
    freeze: FreezeTable | None = None
    shards: ShardsTable | None = None
    forecast: ForecastTable | None = None


NO_TABLES = OperatorConfig()
TABLES: dict[str, type[Table]] = {
    "zones": Zones,
    "locality": LocalityTable,
    "storms": Storms,
    "membership": Membership,
    "cells": CellsTable,
    "spread": SpreadTable,
    "store": StoreTable,
    "audit": AuditTable,
    "freeze": FreezeTable,
    "shards": ShardsTable,
    "forecast": ForecastTable,
}
# Keys that a variable LB_TABLE_KEY of the environment overrides, by table.
OVERRIDABLE_KEYS = {"membership": ("listen", "advertise"), "store": ("path",)}


def load(path: str, environ: Mapping[str, str] | None = None) -> OperatorConfig:
    """Reads an operator configuration file.

    One file serves many nodes of a machine: `LB_MEMBERSHIP_LISTEN`, `LB_MEMBERSHIP_ADVERTISE` and
    `LB_STORE_PATH` of `environ` override what it says.

    Raises:
        OperatorConfigError: The file cannot be used; names the file and the key.
    """
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except OSError as error:
        raise OperatorConfigUnreadableError(
            error.strerror or str(error), path
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise OperatorConfigSyntaxError(f"not TOML: {error}", path) from None
    for name, keys in OVERRIDABLE_KEYS.items():
        for key in keys if isinstance(table.get(name), dict) else ():
            override = (environ or {}).get(f"LB_{name}_{key}".upper())
            if override:
                table[name][key] = override
    return build(table, path)


def build(table: dict[str, Any], where: str) -> OperatorConfig:
    """Checks decoded TOML and makes an operator configuration of it.

    Args:
        table: The whole file.
        where: The file's name, for errors.

    Raises:
        OperatorConfigError: A key is unknown or has an impossible value, or two keys contradict.
    """
    check_keys(table, OperatorConfig, where, "")
    for name, form in TABLES.items():
        if isinstance(table.get(name), dict):
            check_keys(table[name], form, where, f"{name}.")
    try:
        config = msgspec.convert(table, OperatorConfig)
    except msgspec.ValidationError as error:
        key, what = located(error)
        raise OperatorConfigValueError(what, key).within(where) from None
    try:
        for check in CHECKS:
            check(config)
    except OperatorConfigError as error:
        raise error.within(where) from None
    return config


def check_keys(table: dict[str, Any], form: type[Table], where: str, path: str) -> None:
    """Raises an OperatorConfigUnknownKeyError for the first key that the form lacks.

    It names the nearest key that the form has.
    """
    for key in table:
        if key not in form.__struct_fields__:
            near = get_close_matches(key, form.__struct_fields__, 1)
            hint = (
                f"did you mean {near[0]}?"
                if near
                else f"known are {', '.join(form.__struct_fields__)}"
            )
            raise OperatorConfigUnknownKeyError(
                f"unknown key; {hint}", f"{where}: {path}{key}"
            )


def check_membership(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError for what the form of a key of `[membership]` cannot say."""
    membership = config.membership
    if membership is None:
        if config.spread is not None:
            raise OperatorConfigConflictError(
                "goes by the members that live; [membership] is missing", "spread"
            )
        return
    membership.addresses()
    if membership.probe_timeout_ms >= membership.probe_ms:
        raise OperatorConfigConflictError(
            f"{membership.probe_timeout_ms:g} is not below probe_ms ({membership.probe_ms:g});"
            " others are asked between the two",
            "membership.probe_timeout_ms",
        )
    zones = [zone for zones in membership.regions.values() for zone in zones]
    twice = next((zone for zone in zones if zones.count(zone) > 1), None)
    if twice is not None:
        raise OperatorConfigConflictError(
            f"zone {twice} stands twice; it lies in one region", "membership.regions"
        )


def check_cells(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError where there can be no cells."""
    if config.cells is None:
        return
    if config.membership is None:
        raise OperatorConfigConflictError(
            "parts the members; [membership] is missing", "cells"
        )
    collectors = config.cells.collectors
    if len(set(collectors)) < len(collectors):
        raise OperatorConfigValueError("names a node twice", "cells.collectors")
    if config.spread is not None and config.spread.weights:
        raise OperatorConfigConflictError(
            "needs the rates of all members, of which [cells] lets only the own cell's come; set it to false"
            " or take [cells] out",
            "spread.weights",
        )


def check_store(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError for a store that cannot last as it should."""
    if config.store is not None:
        config.store.wish()


def check_audit(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError for an agent's address that is none."""
    if config.audit is not None:
        config.audit.others()


def check_freeze(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError where there can be no change freeze."""
    if config.freeze is None:
        return
    if config.membership is None:
        raise OperatorConfigConflictError(
            "goes by the members; [membership] is missing", "freeze"
        )
    config.freeze.rules({})


def check_shards(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError for keys of shards that are none, or a forecast without shards."""
    if config.shards is not None:
        config.shards.places()
    elif config.forecast is not None:
        raise OperatorConfigConflictError(
            "tells of shards; [shards] is missing", "forecast"
        )


def check_zones(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError for bounds that contradict, or a zone near to itself."""
    zones = config.zones
    if zones is None:
        return
    if zones.panic_until_percent < zones.panic_below_percent:
        raise OperatorConfigConflictError(
            f"{zones.panic_until_percent:g} is below panic_below_percent"
            f" ({zones.panic_below_percent:g}); panic ends no lower than it begins",
            "zones.panic_until_percent",
        )
    for zone, near in zones.near.items():
        if zone in near:
            raise OperatorConfigValueError(
                "names itself; leave it out, it comes first", f"zones.near.{zone}"
            )
        if len(set(near)) < len(near):
            raise OperatorConfigValueError("names a zone twice", f"zones.near.{zone}")


def check_locality(config: OperatorConfig) -> None:
    """Raises an OperatorConfigError where zones, their regions and their capacities contradict."""
    locality = config.locality
    if locality is None:
        return
    if config.membership is None or config.zones is None:
        lacks = "[membership]" if config.membership is None else "[zones]"
        raise OperatorConfigConflictError(
            f"is held in common by zones' judges; {lacks} is missing", "locality"
        )
    region_of = {
        zone: region
        for region, zones in config.membership.regions.items()
        for zone in zones
    }
    for key, by_zone in (
        ("zone_requests_per_s", locality.zone_requests_per_s),
        ("zone_spill_percent", locality.zone_spill_percent),
    ):
        for zone in by_zone:
            if region_of and zone not in region_of:
                raise OperatorConfigConflictError(
                    "is in no region of membership.regions", f"locality.{key}.{zone}"
                )
    for zone, near in config.zones.near.items():
        for other in near:
            if region_of.get(zone) != region_of.get(other):
                raise OperatorConfigConflictError(
                    f"{other} lies in another region by membership.regions; a region's own zones come first",
                    f"zones.near.{zone}",
                )


# In this order: the first that fails is the one that is shown.
CHECKS: tuple[Callable[[OperatorConfig], None], ...] = (
    check_membership,
    check_cells,
    check_store,
    check_audit,
    check_freeze,
    check_shards,
    check_zones,
    check_locality,
)


def address(text: str, what: str) -> Address:
    """Reads `host:port`, the host as a number: a name would have to be looked up at each datagram.

    Raises:
        OperatorConfigAddressError: It is none; names `what`.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ip_address(host)
    except ValueError:
        host = ""
    is_port = port.isascii() and port.isdigit() and int(port) <= LARGEST_PORT
    if not host or not is_port:
        raise OperatorConfigAddressError(
            f"{text!r} is not an address such as 10.0.0.1:7946", what
        )
    return host, int(port)
