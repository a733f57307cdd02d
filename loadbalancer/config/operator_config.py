"""The operators' configuration file: optional features beyond the platform's settings, as TOML.

Every table and the file itself are optional. `deploy/operator.toml` shows every key with its default. A file
is applied completely or not at all; an unknown key is an error that names the key's path. A node that names
no such file does not import this module.
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

from loadbalancer.config.platform_settings import locate_error
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
MAX_PORT = 65_535


class OperatorConfigError(LoadBalancerError):
    """An operators' file that cannot be used; no part of it is applied."""

    code: ClassVar[str] = "OperationError"
    remedy: ClassVar[str] = (
        "run `loadbalancer check --operator FILE` and correct what it names"
    )


class OperatorConfigUnreadableError(OperatorConfigError):
    """The operators' file does not exist, or the node's user may not read it."""

    code: ClassVar[str] = "OperationUnreadable"
    remedy: ClassVar[str] = (
        "let LB_OPERATOR name a file that the node's user may read, or leave it unset"
    )


class OperatorConfigSyntaxError(OperatorConfigError):
    """The operators' file is not TOML."""

    code: ClassVar[str] = "OperationMalformed"
    remedy: ClassVar[str] = (
        "fix the operators' file at the line and column named; its format is TOML"
    )


class OperatorConfigUnknownKeyError(OperatorConfigError):
    """The operators' file has a key or table that this version of the program does not know."""

    code: ClassVar[str] = "OperationUnknownKey"
    remedy: ClassVar[str] = (
        "correct the key's spelling, or remove the key; deploy/operator.toml shows all keys"
    )


class OperatorConfigValueError(OperatorConfigError):
    """A key of the operators' file has a value of the wrong type or outside its range."""

    code: ClassVar[str] = "OperationValue"
    remedy: ClassVar[str] = (
        "give the key a value of the type and range described in deploy/operator.toml"
    )


class OperatorConfigConflictError(OperatorConfigError):
    """Two keys or tables of the operators' file contradict each other."""

    code: ClassVar[str] = "OperationConflict"
    remedy: ClassVar[str] = (
        "change one of the named keys so that they agree, or remove one of them"
    )


class OperatorConfigAddressError(OperatorConfigError):
    """An address in the operators' file or in LB_MEMBERSHIP_* that other nodes cannot send to."""

    code: ClassVar[str] = "OperationAddress"
    remedy: ClassVar[str] = (
        "write a numeric IP:PORT at which other nodes reach this node; host names are not resolved"
    )


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the file's tables: unknown keys are errors."""


class Zones(Table, frozen=True):
    """`[zones]`: where calls go when the node's own zone cannot take them; enabled by its presence.

    Attributes:
        near: For each zone, the zones that are tried before all others.
        spill_limit_percent: Fraction of a zone's capacity that calls from all other zones may use together.
        panic_below_percent: Below this fraction of healthy servers, no server is avoided.
        panic_until_percent: Panic ends once this fraction of the servers is healthy.
        return_s: Seconds over which a zone gets its calls back after its first loss; doubled with each
            further loss, up to a maximum.
        calm_s: Seconds without a loss of the zone after which its earlier losses are forgotten.
        server_requests_per_s: Calls per second that one warm server can take; 0: learned from the calls that
            servers handled without overload.
    """

    near: dict[str, list[str]] = msgspec.field(default_factory=dict)
    spill_limit_percent: Percent = 25.0
    panic_below_percent: Percent = 50.0
    panic_until_percent: Percent = 70.0
    return_s: Seconds = 10.0
    calm_s: Seconds = 120.0
    server_requests_per_s: Annotated[float, Meta(ge=0)] = 0.0

    def rules(
        self, own_zone: str, zone_number: Callable[[str], int]
    ) -> ZoneFailoverRules:
        """Returns the failover rules of a node.

        Args:
            own_zone: Name of the node's zone.
            zone_number: Returns the number that the node uses for a zone's name.
        """
        return ZoneFailoverRules(
            near=frozenset(zone_number(name) for name in self.near.get(own_zone, ())),
            spill_limit=self.spill_limit_percent / 100,
            panic_below=self.panic_below_percent / 100,
            panic_until=self.panic_until_percent / 100,
            return_time=int(self.return_s * 1e6),
            calm_time=int(self.calm_s * 1e6),
            server_rate=self.server_requests_per_s,
        )


class LocalityTable(Table, frozen=True):
    """`[locality]`: nodes agree on the state of each zone and region; enabled by its presence.

    It requires `[zones]` and `[membership]`, whose `regions` names the zones of each region.

    Attributes:
        zone_requests_per_s: Planned capacity of each zone in calls per second; learned for other zones.
        zone_spill_percent: Fraction of a zone's capacity that other zones may use; `spill_limit_percent` of
            `[zones]` for zones that are not listed.
        fails_percent: A node finds a zone failing when this fraction of its calls there is lost.
        hold_s: Seconds for which most nodes must find a zone failing.
        quiet_s: Seconds for which they must no longer find so before the zone returns; doubled with each
            relapse.
        trial_percent: Fraction of a failed zone's own calls that still go there, to detect its recovery.
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
        """Returns the thresholds and times by which nodes agree on a zone's state.

        Args:
            zones: The `[zones]` table, which has the times of a zone's return.
        """
        # Imported here because a node without `[locality]` does not need the module.
        from loadbalancer.locality.rules import RETURN_LEVELS, AgreementRules

        return AgreementRules(
            failing_ratio=self.fails_percent / 100,
            worsening_dwell_us=int(self.hold_s * 1e6),
            return_dwell_us=int(self.quiet_s * 1e6),
            return_step_us=int(zones.return_s * 1e6) // len(RETURN_LEVELS),
            relapse_memory_us=int(zones.calm_s * 1e6),
        )


class Storms(Table, frozen=True):
    """`[storms]`: admission while many clients return at once; enabled by its presence.

    Attributes:
        repeat_share_percent: Fraction of the served requests that may be repeated requests.
        by_worth: Admit new requests of higher priority weight first; if false, only repeated requests are
            held back.
    """

    repeat_share_percent: Percent = 20.0
    by_worth: bool = True

    def rules(self) -> RetryStormRules:
        """Returns the rules of the retry storm policy."""
        return RetryStormRules(
            repeat_share=self.repeat_share_percent / 100, by_priority=self.by_worth
        )


class Membership(Table, frozen=True):
    """`[membership]`: nodes detect which other nodes are alive; enabled by its presence.

    It is off where the platform forbids messages between nodes (`policy_limits.peers` is false).

    Attributes:
        listen: UDP address, IP:PORT; LB_MEMBERSHIP_LISTEN overrides it.
        advertise: Address at which other nodes reach this one; empty: `listen`. LB_MEMBERSHIP_ADVERTISE
            overrides it.
        seeds: Addresses of a few nodes that a starting node asks for all others.
        cluster: Name of the cluster; messages of nodes with another name are dropped.
        regions: The zones of each region.
        probe_ms: Milliseconds between two probes that a node sends.
        probe_timeout_ms: Milliseconds without an answer after which other nodes are asked to probe.
        bear_pause_s: A node that pauses for fewer seconds than this is not declared dead.
        relays: Number of nodes that are asked to probe on behalf of this one.
        sync_s: Seconds between two full exchanges with one other node in a fleet of up to 64; longer in a
            larger one.
        dead_keep_s: Seconds for which dead members are remembered.
    """

    listen: str = "127.0.0.1:7946"
    advertise: str = ""
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
        """Returns the settings of the membership protocol, with times in microseconds."""
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
        """Returns the name of the region that contains a zone; empty if the file names none."""
        return next(
            (region for region, zones in self.regions.items() if zone in zones), ""
        )

    def addresses(self) -> tuple[Address, Address, tuple[Address, ...]]:
        """Returns the listening address, the advertised address and the seeds.

        A port of 0 in the advertised address stands for the port that is bound.

        Raises:
            OperatorConfigAddressError: An address is malformed, or the advertised one is a wildcard.
        """
        listen = parse_address(self.listen, "membership.listen")
        advertised = (
            parse_address(self.advertise, "membership.advertise")
            if self.advertise
            else listen
        )
        if advertised[0] in ("0.0.0.0", "::"):
            raise OperatorConfigAddressError(
                f"other nodes cannot reach the wildcard address {advertised[0]};"
                " set an address of this node that they can reach",
                "membership.advertise",
            )
        seeds = tuple(
            parse_address(seed, f"membership.seeds[{i}]")
            for i, seed in enumerate(self.seeds)
        )
        return listen, advertised, seeds


class CellsTable(Table, frozen=True):
    """`[cells]`: records are spread and evaluated within cells of the fleet; enabled by its presence.

    This keeps their cost from growing with the fleet (docs/cells.md). It requires `[membership]`, and all
    nodes must have the same table.

    Attributes:
        count: Number of cells; there is no default.
        label: Separator, such as "-": a cell holds complete services, by the node's name up to its last
            separator. Empty: a cell is a sample of all nodes.
        collectors: Names of the nodes that sum up the reports of all cells; empty: cells report to no node.
    """

    count: Annotated[int, Meta(ge=1, le=4_096)]
    label: Annotated[str, Meta(max_length=8)] = ""
    collectors: Annotated[
        list[Annotated[str, Meta(min_length=1, max_length=64)]], Meta(max_length=64)
    ] = []

    def layout(self) -> Layout:
        """Returns the assignment of members to cells."""
        # Imported here because a node without `[cells]` does not need the module.
        from loadbalancer.cells.layout import Layout

        return Layout(self.count, self.label)


class SpreadTable(Table, frozen=True):
    """`[spread]`: servers are distributed among the live members; enabled by its presence.

    It requires `[membership]`, with one cluster for each tier.

    Attributes:
        hold_s: Seconds for which the members must be unchanged before ring positions move.
        apart_s: Each node waits up to this many further seconds, so that not all nodes move at once.
        weights: Members report their request rates and choose servers so that all servers get the same load.
    """

    hold_s: Seconds = 2.0
    apart_s: Annotated[float, Meta(ge=0, le=600)] = 3.0
    weights: bool = False

    def rules(self) -> SpreadRules:
        """Returns the rules for ring positions, with times in microseconds."""
        return SpreadRules(
            hold_us=int(self.hold_s * 1e6), stagger_us=int(self.apart_s * 1e6)
        )


class StoreTable(Table, frozen=True):
    """`[store]`: where features keep state across restarts; without the table they keep it in memory.

    Attributes:
        kind: "memory", "directory" (files) or "sqlite".
        path: Folder in which each node has a folder of its own; empty: under $TMPDIR, which does not survive
            a restart of the machine. LB_STORE_PATH overrides it.
        most_mb: Size limit in MiB; a full store refuses to grow and keeps what it holds.
        lasting: Whether the path survives a restart of the machine; None: true if a path is given. If false,
            the path is empty after a restart, as $TMPDIR is.
    """

    kind: StoreKind = "memory"
    path: str = ""
    most_mb: Annotated[float, Meta(ge=0.0625, le=4096)] = 16.0
    lasting: bool | None = None

    def store_config(self) -> StoreConfig:
        """Returns the store that a node opens.

        Raises:
            OperatorConfigConflictError: A durable store has no durable place, or one in memory
                has a path.
        """
        if self.lasting and (self.kind == "memory" or not self.path):
            raise OperatorConfigConflictError(
                "a store in memory or under $TMPDIR does not survive a restart; set store.kind and store.path"
                ", or leave out store.lasting",
                "store.lasting",
            )
        if self.kind == "memory" and self.path:
            raise OperatorConfigConflictError(
                'a store of kind "memory" has no path; set another store.kind, or leave out store.path',
                "store.path",
            )
        lasting = bool(self.path) if self.lasting is None else self.lasting
        return StoreConfig(self.kind, self.path, int(self.most_mb * (1 << 20)), lasting)


class AuditTable(Table, frozen=True):
    """`[audit]`: records which node acts on which version; enabled by its presence.

    It also brings outdated nodes up to date (docs/audit.md). Without `[membership]` the node keeps its own
    ledger and has no information about other nodes.

    Attributes:
        numbering: Name of the discovery service whose version numbers the agents report, where each node has
            its own agent; empty: the agent's address. It has to change when discovery moves.
        agents: Addresses of further agents that an outdated node asks.
        from_peers: Whether an outdated node accepts from its peers the version that a quorum holds, after its
            own and the further agents have not helped.
        flush_s: Seconds between two writes of the ledger, longer while writes are slow; a kill loses no more
            than the entries since the last write.
        lag_s: A node that is behind the quorum's version for this many seconds is a straggler.
        silence_s: Seconds since the last answer of its own discovery agent for which an outdated node waits
            for this agent before it asks others.
        hold_s: A straggler counts as current after it has held the frontier for this many seconds.
        out_after_s: A node that remediation has not helped may be quarantined after this many seconds behind.
        out_share_percent: Largest fraction of the known nodes in quarantine at a time; 0: quarantine is off.
        in_after_s: A quarantined node rejoins after it has held the frontier for this many seconds.
        ready_least: No node is quarantined if fewer ready nodes than this number would be left.
        ready_share_percent: The same limit as a fraction of the live nodes.
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

    def agent_addresses(self) -> tuple[Address, ...]:
        """Returns the addresses of the agents that a straggler asks besides its own.

        Raises:
            OperatorConfigAddressError: An address is malformed.
        """
        return tuple(
            parse_address(agent, f"audit.agents[{i}]")
            for i, agent in enumerate(self.agents)
        )


class FreezeTable(Table, frozen=True):
    """`[freeze]`: an elected coordinator grants changes, and stops them during an incident (docs/freeze.md).

    It is enabled by its presence and requires `[membership]`; all nodes must have the same table.

    Attributes:
        electors: Names of the 3, 5 or 7 nodes that elect the coordinator; a majority of them has to run.
        lease_s: Length of a lease in seconds; a lost coordinator is replaced after about this time.
        drift_percent: Two clocks may run apart by up to twice this rate.
        begin_s: A change has to begin within this many seconds of its request, or be requested again; at most
            one lease.
        most_life_s: Longest duration of a grant in seconds.
        keep_incidents_s: Seconds for which an incident stays in force at a node that receives nothing from a
            coordinator.
        alone_s: By kind of change, the seconds without a coordinator after which it proceeds without a grant.
        never_alone: Kinds of change that never proceed without a grant.
        evidence: Whether reports of most nodes open incidents.
        zone_fails_percent: A zone fails, as evidence, if at least this fraction of its servers fails.
        refused_percent: Servers are overloaded, as evidence, if they reject at least this fraction of
            attempts.
        evidence_hold_s: Seconds for which the evidence has to last before an incident is opened.
        evidence_quiet_s: Seconds without the evidence after which the incident is closed.
        evidence_severity: Severity of such an incident, 1 to 3.
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
        """Returns the rules of electors, coordinator and clients.

        Args:
            regions: The region of each zone.

        Raises:
            OperatorConfigValueError: The electors, a kind of change or a time is invalid.
            OperatorConfigConflictError: `begin_s` is longer than `lease_s`.
        """
        # Imported here because a node without `[freeze]` does not need the module.
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
                "the list must name 3, 5 or 7 different nodes", "freeze.electors"
            )
        if self.begin_s > self.lease_s:
            raise OperatorConfigConflictError(
                "the time must not exceed freeze.lease_s: a granted change has to begin within one lease",
                "freeze.begin_s",
            )
        us_per_s = 1_000_000
        electors = tuple(self.electors)
        no_coordinator = dict(DEFAULT_NO_COORDINATOR_RULES)
        for key, kinds in (
            ("alone_s", self.alone_s),
            ("never_alone", self.never_alone),
        ):
            for kind in kinds:
                if kind not in no_coordinator:
                    raise OperatorConfigValueError(
                        f"unknown kind of change; known are {', '.join(no_coordinator)}",
                        f"freeze.{key}.{kind}",
                    )
                # TOML allows nan and inf, which cannot be converted to whole microseconds.
                if (
                    key == "alone_s"
                    and not 1 / us_per_s <= self.alone_s[kind] <= 86_400
                ):
                    raise OperatorConfigValueError(
                        "the time in seconds must be above 0 and at most 86400",
                        f"freeze.alone_s.{kind}",
                    )
                silence_us = (
                    int(self.alone_s[kind] * us_per_s) if key == "alone_s" else None
                )
                no_coordinator[kind] = replace(
                    no_coordinator[kind], proceed_after_silence_us=silence_us
                )
        coordinator_rules = CoordinatorRules(
            begin_within_us=int(self.begin_s * us_per_s),
            max_duration_us=int(self.most_life_s * us_per_s),
        )
        drift = self.drift_percent / 100
        client_rules = ClientRules(
            electors,
            coordinator_rules,
            drift,
            incident_lifetime_us=int(self.keep_incidents_s * us_per_s),
            no_coordinator=no_coordinator,
        )
        return FreezeRules(
            ElectionRules(electors, int(self.lease_s * us_per_s), drift),
            client_rules,
            regions,
        )

    def evidence_rules(self) -> EvidenceRules:
        """Returns the rules by which reports of nodes open an incident, with times in microseconds."""
        from loadbalancer.freeze.evidence import EvidenceRules

        return EvidenceRules(
            zone_failure_ratio=self.zone_fails_percent / 100,
            rejection_ratio=self.refused_percent / 100,
            confirm_us=int(self.evidence_hold_s * 1e6),
            clear_us=int(self.evidence_quiet_s * 1e6),
            severity=self.evidence_severity,
        )


class ShardsTable(Table, frozen=True):
    """`[shards]`: requests for a key go first to the servers that hold its shard; enabled by its presence.

    Attributes:
        count: Number of shards that keys are distributed over; the same in all nodes.
        homes: Number of servers in a node's subset that hold a shard.
        members: Smallest size of a node's subset, as far as there are enough servers.
        keys: By class, the part of a request that is its key: `path 2` or `header x-item`.
    """

    count: Annotated[int, Meta(ge=1, le=16_384)] = 1_024
    homes: Annotated[int, Meta(ge=1, le=8)] = 2
    members: Annotated[int, Meta(ge=1, le=128)] = 16
    keys: dict[str, str] = msgspec.field(default_factory=dict)

    def key_locations(self) -> dict[str, tuple[int, bytes]]:
        """Returns where the key of each class stands in a request.

        Returns:
            By class, the number of the path segment, counted from 1, and an empty name; or 0 and the header's
            name in lower case.

        Raises:
            OperatorConfigValueError: A value of `keys` is neither a path segment nor a header.
        """
        locations = {}
        for name, text in self.keys.items():
            kind, _, selector = text.strip().partition(" ")
            selector = selector.strip()
            if (
                kind == "path"
                and selector.isascii()
                and selector.isdigit()
                and 0 < int(selector) < 100
            ):
                locations[name] = int(selector), b""
            elif (
                kind == "header"
                and selector.isascii()
                and selector.replace("-", "").isalnum()
            ):
                locations[name] = 0, selector.lower().encode()
            else:
                raise OperatorConfigValueError(
                    f"{text!r} is not the location of a key;"
                    " write `path N` with N from 1 to 99, or `header NAME`",
                    f"shards.keys.{name}",
                )
        return locations


class ForecastTable(Table, frozen=True):
    """`[forecast]`: predicts how a change of placement affects cache hits; enabled by its presence.

    It requires `[shards]`. Nodes exchange their samples where `[membership]` is on (docs/forecast.md).

    Attributes:
        hit_header: Response header by which servers report cache hits; empty: they do not report them.
        hit_value: Value of that header for a hit, or the beginning of it.
        entries: Objects that a server's cache holds; 0: derived from the reported hits.
        ttl_s: Seconds after which a cached object is fetched again; 0: never.
        cacheable_percent: Fraction of the responses that may be cached.
        server_misses_per_s: Misses per second that a server can take; 0: learned from the concurrency limit
            and the duration of misses.
        window_s: Seconds over which keys are counted; the previous window of the same length counts as well.
        records: Number of records of 1,000 bytes in which a node publishes its sample; one has the top keys.
        decide: Whether changes of placement are made in steps or deferred by the rules below.
        misses_percent: Misses that a change may cause, relative to what a server can take.
        most_steps: Largest number of steps of a change.
        pause_s: Shortest pause between two steps in seconds; it lasts until caches have recovered.
        longest_pause_s: Longest pause between two steps in seconds.
        again_s: Seconds after which a deferred change is evaluated again.
        longest_wait_s: Seconds after which a deferred change is made in the largest number of steps,
            whatever the forecast.
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
        """Returns the rules by which changes of placement are made or deferred, with times in seconds."""
        return MigrationRules(
            max_load=self.misses_percent / 100,
            max_steps=self.most_steps,
            min_pause_s=self.pause_s,
            max_pause_s=max(self.pause_s, self.longest_pause_s),
            review_s=self.again_s,
            max_deferral_s=self.longest_wait_s,
        )


class OperatorConfig(Table, frozen=True):
    """The complete operators' file; a table that is absent is None and its feature is off."""

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
# By table, the keys that an environment variable LB_<TABLE>_<KEY> overrides if the file has the table.
OVERRIDABLE_KEYS = {"membership": ("listen", "advertise"), "store": ("path",)}


def load(path: str, environ: Mapping[str, str] | None = None) -> OperatorConfig:
    """Reads an operators' file.

    Several nodes of a machine can share one file: `LB_MEMBERSHIP_LISTEN`, `LB_MEMBERSHIP_ADVERTISE` and
    `LB_STORE_PATH` override its values, where it has the table.

    Args:
        path: Path of the file.
        environ: The environment; None: nothing is overridden.

    Raises:
        OperatorConfigError: The file cannot be used; the error names the file and the key.
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
    """Validates decoded TOML and converts it to an operator configuration.

    Args:
        table: The complete file.
        where: The file's name, for error messages.

    Raises:
        OperatorConfigError: A key is unknown or has an invalid value, or two keys contradict each other.
    """
    check_keys(table, OperatorConfig, where, "")
    for name, form in TABLES.items():
        if isinstance(table.get(name), dict):
            check_keys(table[name], form, where, f"{name}.")
    try:
        config = msgspec.convert(table, OperatorConfig)
    except msgspec.ValidationError as error:
        key, what = locate_error(error)
        raise OperatorConfigValueError(what, key).within(where) from None
    try:
        for check in CHECKS:
            check(config)
    except OperatorConfigError as error:
        raise error.within(where) from None
    return config


def check_keys(table: dict[str, Any], form: type[Table], where: str, path: str) -> None:
    """Checks that a table has only known keys.

    Args:
        table: The decoded table.
        form: The type that declares the known keys.
        where: The file's name, for error messages.
        path: The table's path with a final period; empty for the file itself.

    Raises:
        OperatorConfigUnknownKeyError: A key is unknown; the error suggests the most similar known key.
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
    """Checks the rules of `[membership]` that involve several keys.

    Raises:
        OperatorConfigError: A rule is broken, or `[spread]` stands without `[membership]`.
    """
    membership = config.membership
    if membership is None:
        if config.spread is not None:
            raise OperatorConfigConflictError(
                "[spread] distributes servers among the members, but [membership] is missing",
                "spread",
            )
        return
    membership.addresses()
    if membership.probe_timeout_ms >= membership.probe_ms:
        raise OperatorConfigConflictError(
            f"{membership.probe_timeout_ms:g} is not below probe_ms ({membership.probe_ms:g});"
            " other nodes are asked to probe between the two times",
            "membership.probe_timeout_ms",
        )
    zones = [zone for zones in membership.regions.values() for zone in zones]
    duplicate = next((zone for zone in zones if zones.count(zone) > 1), None)
    if duplicate is not None:
        raise OperatorConfigConflictError(
            f"zone {duplicate} is listed more than once; a zone belongs to one region",
            "membership.regions",
        )


def check_cells(config: OperatorConfig) -> None:
    """Checks that `[cells]` has the tables and values it requires.

    Raises:
        OperatorConfigError: `[membership]` is missing, a collector is listed twice, or `spread.weights` is
            true.
    """
    if config.cells is None:
        return
    if config.membership is None:
        raise OperatorConfigConflictError(
            "[cells] divides the members into cells, but [membership] is missing",
            "cells",
        )
    collectors = config.cells.collectors
    if len(set(collectors)) < len(collectors):
        raise OperatorConfigValueError(
            "the list names a node twice; each collector is named once",
            "cells.collectors",
        )
    if config.spread is not None and config.spread.weights:
        raise OperatorConfigConflictError(
            "weights require the rates of all members, but with [cells] a node receives only those of its own"
            " cell; set spread.weights to false or remove [cells]",
            "spread.weights",
        )


def check_store(config: OperatorConfig) -> None:
    """Checks `[store]`.

    Raises:
        OperatorConfigConflictError: Its keys contradict each other (`StoreTable.store_config`).
    """
    if config.store is not None:
        config.store.store_config()


def check_audit(config: OperatorConfig) -> None:
    """Checks the addresses of `[audit]`.

    Raises:
        OperatorConfigAddressError: An agent's address is malformed.
    """
    if config.audit is not None:
        config.audit.agent_addresses()


def check_freeze(config: OperatorConfig) -> None:
    """Checks `[freeze]`.

    Raises:
        OperatorConfigError: `[membership]` is missing, or a value is invalid (`FreezeTable.rules`).
    """
    if config.freeze is None:
        return
    if config.membership is None:
        raise OperatorConfigConflictError(
            "[freeze] requires the list of members, but [membership] is missing",
            "freeze",
        )
    config.freeze.rules({})


def check_shards(config: OperatorConfig) -> None:
    """Checks `[shards]` and that `[forecast]` does not stand without it.

    Raises:
        OperatorConfigError: The location of a key is invalid, or `[shards]` is missing.
    """
    if config.shards is not None:
        config.shards.key_locations()
    elif config.forecast is not None:
        raise OperatorConfigConflictError(
            "[forecast] predicts the cache hits of shards, but [shards] is missing",
            "forecast",
        )


def check_zones(config: OperatorConfig) -> None:
    """Checks the rules of `[zones]` that involve several values.

    Raises:
        OperatorConfigError: The bounds of panic contradict each other, or a list of near zones names the zone
            itself or another one twice.
    """
    zones = config.zones
    if zones is None:
        return
    if zones.panic_until_percent < zones.panic_below_percent:
        raise OperatorConfigConflictError(
            f"{zones.panic_until_percent:g} is below panic_below_percent"
            f" ({zones.panic_below_percent:g}); panic must not end at a lower percentage than it begins",
            "zones.panic_until_percent",
        )
    for zone, near in zones.near.items():
        if zone in near:
            raise OperatorConfigValueError(
                "the list names the zone itself; leave it out, since a node's own zone always comes first",
                f"zones.near.{zone}",
            )
        if len(set(near)) < len(near):
            raise OperatorConfigValueError(
                "the list names a zone twice; each zone is named once",
                f"zones.near.{zone}",
            )


def check_locality(config: OperatorConfig) -> None:
    """Checks `[locality]` against the zones and their regions.

    Raises:
        OperatorConfigConflictError: A required table is missing, a zone belongs to no region, or a near zone
            belongs to another region.
    """
    locality = config.locality
    if locality is None:
        return
    if config.membership is None or config.zones is None:
        missing_table = "[membership]" if config.membership is None else "[zones]"
        raise OperatorConfigConflictError(
            f"[locality] requires [membership] and [zones], but {missing_table} is missing",
            "locality",
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
                    "the zone is in no region of membership.regions",
                    f"locality.{key}.{zone}",
                )
    for zone, near in config.zones.near.items():
        for other in near:
            if region_of.get(zone) != region_of.get(other):
                raise OperatorConfigConflictError(
                    f"{other} is in another region by membership.regions;"
                    " zones of the same region always come first",
                    f"zones.near.{zone}",
                )


# Run in this order; only the first failure is reported.
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


def parse_address(text: str, key: str) -> Address:
    """Parses `IP:PORT`. The IP must be numeric, since a name would have to be resolved for each datagram.

    Args:
        text: The address.
        key: Path of the key in the file, for error messages.

    Raises:
        OperatorConfigAddressError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ip_address(host)
    except ValueError:
        host = ""
    is_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not host or not is_port:
        raise OperatorConfigAddressError(
            f"{text!r} is not an address of the form IP:PORT, such as 10.0.0.1:7946",
            key,
        )
    return host, int(port)
