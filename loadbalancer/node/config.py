"""Reads and validates a node's configuration: the environment and the configuration file."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, ClassVar

import msgspec

from loadbalancer.config.platform_settings import (
    ClassForm,
    Form,
    LimitsForm,
    Number,
    ReportForm,
    Scalar,
    SettingsForm,
    TenantForm,
    build_settings,
    locate_error,
    report_field_name,
    value_or_default,
)
from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.admin import RESERVED_DESCRIPTORS as ADMIN_DESCRIPTORS
from loadbalancer.node.discovery.endpoint_list_codec import (
    ListError,
    Listing,
    read_listing,
)
from loadbalancer.policy.api import ListUpdateKind, Settings, SettingsError

Address = tuple[str, int]

# Descriptors set aside for the event loop, the listener, UDP, discovery and the standard streams
RESERVED_SOCKETS = 32
REQUEST_MEMORY_DIVISOR = 8  # clients' requests may use an eighth of the memory
MIN_CONNECTIONS = 8  # descriptors for the connections of clients and servers together
# Keys that a new file may omit at a reload although the file in force has them
OPTIONAL_KEYS = frozenset(
    (
        "known",
        "seed",
        "peers",
        "peers_all",
        "peer_listen",
        "aim_stretch",
        "extra",
        "tenants",
    )
)


class ConfigError(LoadBalancerError):
    """The node cannot use its configuration; the message is one line."""

    remedy: ClassVar[str] = (
        "run `loadbalancer check FILE` on the node's configuration file and correct it"
    )


class ConfigNotNamedError(ConfigError):
    """The environment names no configuration file."""

    code: ClassVar[str] = "ConfigUnset"
    remedy: ClassVar[str] = (
        "set LB_CONFIG in the node's environment to the path of its configuration file"
    )


class ConfigUnreadableError(ConfigError):
    """The configuration file does not exist, or the node's user may not read it."""

    code: ClassVar[str] = "ConfigUnreadable"
    remedy: ClassVar[str] = (
        "let LB_CONFIG name a file that exists and that the node's user may read"
    )


class ConfigSyntaxError(ConfigError):
    """The configuration file is not a JSON object."""

    code: ClassVar[str] = "ConfigMalformed"
    remedy: ClassVar[str] = (
        "write the complete file as one JSON object; replace it by renaming, never in place"
    )


class ConfigKeyMissingError(ConfigError):
    """A required key is missing: the file was truncated, or its writer stopped early."""

    code: ClassVar[str] = "ConfigMissing"
    remedy: ClassVar[str] = (
        "add the named key again, with the value that it had in the previous file"
    )


class ConfigValueError(ConfigError):
    """A key of the configuration file has a value of the wrong type or outside its range."""

    code: ClassVar[str] = "ConfigValue"
    remedy: ClassVar[str] = (
        "correct the key's value in the configuration file, then start the node or send SIGHUP"
    )


class ConfigAddressError(ConfigError):
    """An address in the configuration file or the environment is not of the form HOST:PORT."""

    code: ClassVar[str] = "ConfigAddress"
    remedy: ClassVar[str] = (
        "write the named address as HOST:PORT with a port from 0 to 65535, such as 127.0.0.1:8080"
    )


class ConfigDescriptorError(ConfigError):
    """LB_ACCEPT_FD is not the number of a file descriptor."""

    code: ClassVar[str] = "ConfigDescriptor"
    remedy: ClassVar[str] = (
        "set LB_ACCEPT_FD to the descriptor number of the socket that the platform passes on"
    )


@dataclass(frozen=True)
class Config:
    """One node's configuration.

    Attributes:
        name: The node's name.
        listen: Address for clients.
        discovery: Address of the discovery agent.
        control: Address of the admin listener for operators; None if there is none.
        accept_fd: Descriptor of the clients' listening socket, if the platform passes it on.
        filed_discovery: The discovery address as the file has it; the environment may override it.
        filed: The file's contents without `known`, which is used only at a start.
        seed: Seed of the policy's random numbers.
        connections: Descriptors that clients and servers may use together.
        reserved: Descriptors set aside for everything else.
        most_held: Bytes of clients' requests that may be in memory.
        peer_listen: UDP address for messages from the other nodes of the tier; None if there is none.
        peers: Addresses of the tier's nodes, by number.
        peers_all: Address that reaches all nodes of the tier; None if there is none.
        known: The endpoint list at the start; None if the file has none.
        settings: The policy's settings.
        classes: Names of the request classes, by number.
        tenants: Names of the tenants, by number.
        zones: Names of the zones, by number.
        kinds: Names of the kinds of servers, by number.
        connect_timeout: Seconds within which a connection to a server must be open.
        idle_time: Seconds after which a server closes an idle connection.
        inline_reports: Whether load reports come with the responses.
        report_names: For each value of a load report the platform's name and the policy's.
    """

    name: str
    listen: Address
    discovery: Address
    control: Address | None
    accept_fd: int | None
    filed_discovery: object
    filed: dict[str, Any]
    seed: int
    connections: int
    reserved: int
    most_held: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: Listing | None
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: float
    idle_time: float
    inline_reports: bool
    report_names: tuple[tuple[str, str], ...]


def read_address(text: object, key: str) -> Address:
    """Parses `host:port`.

    Args:
        text: The value from the file.
        key: Path of the value's key, for error messages.

    Raises:
        ConfigAddressError: The value is not such an address.
    """
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536:
            return host, int(port)
    raise ConfigAddressError(
        "not an address of the form host:port with a port from 0 to 65535", key
    )


def load(environ: Mapping[str, str], last: Config | None = None) -> Config:
    """Reads the file that `LB_CONFIG` names.

    `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONTROL` override its values. At a reload the environment
    is still that of the start. A discovery address that has changed in the file is applied; one that has not
    changed leaves the address in force.

    Args:
        environ: The environment.
        last: The configuration in force; None at the start.

    Raises:
        ConfigError: The configuration cannot be used. No other type is raised.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigNotNamedError("LB_CONFIG is not set")
    try:
        return load_file(path, environ, last)
    except (SettingsError, ListError) as error:
        raise ConfigValueError(error.what, error.where).within(
            f"LB_CONFIG: {path}"
        ) from None
    # JSON can encode half of a surrogate pair, in text and where a number is expected.
    except UnicodeError:
        raise ConfigValueError(
            "a text contains an incomplete surrogate pair, which is not valid Unicode",
            f"LB_CONFIG: {path}",
        ) from None
    except ConfigDescriptorError:
        raise
    except ConfigError as error:
        raise error.within(f"LB_CONFIG: {path}") from None


def load_file(path: str, environ: Mapping[str, str], last: Config | None) -> Config:
    """Reads the file at `path` as `load` does; its errors name the key but not the file.

    Raises:
        ConfigError, SettingsError, ListError or UnicodeError: The configuration cannot be used.
    """
    try:
        with open(path, "rb") as file:
            table = json.loads(file.read())
    except OSError as error:
        raise ConfigUnreadableError(error.strerror or str(error)) from None
    except (ValueError, RecursionError):
        raise ConfigSyntaxError("not JSON; the file must be one JSON object") from None
    if not isinstance(table, dict):
        raise ConfigSyntaxError("not an object; the file must be one JSON object")
    filed = table.get("discovery")
    reloadable = {key: value for key, value in table.items() if key != "known"}
    if last is not None:
        missing_key = find_missing_key(reloadable, last.filed)
        if missing_key is not None:
            raise ConfigKeyMissingError(
                f"{missing_key} is missing, but the configuration in force has it"
            )
    for key in ("name", "listen", "discovery", "control"):
        table[key] = environ.get(f"LB_{key.upper()}") or table.get(key)
        if table[key] is None:
            del table[key]
    if last is not None and filed:
        unchanged = filed == last.filed_discovery
        table["discovery"] = (
            f"{last.discovery[0]}:{last.discovery[1]}" if unchanged else filed
        )
    descriptor = environ.get("LB_ACCEPT_FD")
    if descriptor and not (descriptor.isascii() and descriptor.isdigit()):
        raise ConfigDescriptorError(
            "not a descriptor: the value must be a decimal number", "LB_ACCEPT_FD"
        )
    accept_fd = int(descriptor) if descriptor else None
    return replace(
        read(table), filed_discovery=filed, filed=reloadable, accept_fd=accept_fd
    )


def find_missing_key(new: Any, old: Any, where: str = "") -> str | None:
    """Finds a key that the file in force has and the new file lacks.

    Failure prevented: a truncated file is accepted, and its missing keys fall back to defaults. Each entry of
    a list must have the keys that all entries of the old list have.

    Args:
        new: The new value.
        old: The value in force.
        where: Path of the value with a final period; empty for the file itself.

    Returns:
        The path of the first missing key; None if there is none.
    """
    if isinstance(old, dict):
        if not isinstance(new, dict):
            return where.rstrip(".") or "all"
        for key, value in old.items():
            if key in OPTIONAL_KEYS:
                continue
            if key not in new:
                return f"{where}{key}"
            missing_key = find_missing_key(new[key], value, f"{where}{key}.")
            if missing_key is not None:
                return missing_key
    elif (
        isinstance(old, list)
        and isinstance(new, list)
        and old
        and all(isinstance(item, dict) for item in old)
    ):
        common_keys = {key: None for key in old[0] if all(key in item for item in old)}
        for entry in new:
            missing_key = find_missing_key(entry, common_keys, where)
            if missing_key is not None:
                return missing_key
    return None


class NamedClass(ClassForm, frozen=True, kw_only=True):
    """An entry of `classes`, with the name that clients send."""

    name: str


class NamedTenant(TenantForm, frozen=True, kw_only=True):
    """An entry of `tenants`, with the name that clients send."""

    name: str


class NodeLimits(LimitsForm, frozen=True, kw_only=True):
    """`policy_limits`, with the times in microseconds that only a node on sockets needs."""

    connect_timeout: Number | None = None
    conn_idle: Number | None = None


class NodeReport(ReportForm, frozen=True, kw_only=True):
    """`report`, with the way in which servers send it (`how`)."""

    how: str | None = None


class NodeSettings(SettingsForm, frozen=True, kw_only=True):
    """The settings object, with the keys that only a node on sockets needs.

    `dcs` names the zones, and `kinds` the kinds of servers, by number.
    """

    classes: tuple[NamedClass, ...]
    tenants: tuple[NamedTenant, ...] | None = None
    policy_limits: NodeLimits
    report: NodeReport | None = None
    dcs: tuple[Scalar, ...] | None = None
    kinds: tuple[Scalar, ...] | None = None


class Limits(Form, frozen=True, kw_only=True):
    """`limits`: file descriptors (`sockets`) and MiB of memory that the process may use."""

    sockets: Number | None = None
    memory_mb: Number | None = None


class File(Form, frozen=True, kw_only=True):
    """The configuration file; `Config` describes its keys, and `Limits` those of `limits`."""

    name: str
    listen: str
    discovery: str
    settings: NodeSettings
    seed: str = "0"  # hexadecimal
    # Optional addresses: null, false and "" all mean that there is none
    control: Any = None
    limits: Limits | None = None
    peer_listen: Any = None
    peers: tuple[Scalar, ...] | None = None
    peers_all: Any = None
    known: Any = None


def read(table: dict[str, Any]) -> Config:
    """Validates the decoded file and converts it to a configuration.

    Raises:
        SettingsError: A value of the settings is missing or invalid.
        ListError: The endpoint list is invalid.
        ConfigError: Another key is missing or invalid.
        UnicodeError: A name contains an incomplete surrogate pair.
    """
    try:
        file = msgspec.convert(table, File)
    except msgspec.ValidationError as error:
        key, what = locate_error(error)
        error_type = SettingsError if key.startswith("settings") else ConfigValueError
        raise (
            ConfigKeyMissingError
            if what == "missing" and error_type is ConfigValueError
            else error_type
        )(what, key) from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigValueError("not a hexadecimal number, such as 1f", "seed") from None
    limits = file.limits or Limits()
    sockets, memory = (
        int(value_or_default(limits.sockets, 1024)),
        int(value_or_default(limits.memory_mb, 128)),
    )
    reserved = RESERVED_SOCKETS + (ADMIN_DESCRIPTORS if file.control else 0)
    if sockets < reserved + MIN_CONNECTIONS:
        raise ConfigValueError(
            f"at least {reserved + MIN_CONNECTIONS} file descriptors are required",
            "limits.sockets",
        )
    # Failure prevented: if the file allows more descriptors than the system, idle clients use them all, and
    # none is left for discovery, servers and operators.
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptor_limit != resource.RLIM_INFINITY:
        sockets = max(reserved + MIN_CONNECTIONS, min(sockets, descriptor_limit))
    settings = file.settings
    policy, report = settings.policy_limits, settings.report or NodeReport()
    classes = tuple(c.name for c in settings.classes)
    "".join(
        (file.name, *classes, *(t.name for t in settings.tenants or ()))
    ).encode()  # checks that all names can be sent as bytes
    if len(set(classes)) < len(classes):
        raise ConfigValueError(
            "two classes have the same name; names must be unique", "settings.classes"
        )
    return Config(
        name=file.name,
        listen=read_address(file.listen, "listen"),
        discovery=read_address(file.discovery, "discovery"),
        filed_discovery=file.discovery,
        filed={},
        seed=seed,
        control=read_address(file.control, "control") if file.control else None,
        accept_fd=None,
        connections=sockets - reserved,
        reserved=reserved,
        most_held=(memory << 20) // REQUEST_MEMORY_DIVISOR,
        peer_listen=read_address(file.peer_listen, "peer_listen")
        if file.peer_listen
        else None,
        peers=tuple(read_address(p, "peers") for p in file.peers or ()),
        peers_all=read_address(file.peers_all, "peers_all") if file.peers_all else None,
        known=read_listing(file.known, ListUpdateKind.CACHED) if file.known else None,
        settings=build_settings(settings),
        classes=classes,
        tenants=tuple(t.name for t in settings.tenants or ()),
        zones=tuple(str(z) for z in settings.dcs or ()),
        kinds=tuple(str(k) for k in settings.kinds or ()),
        connect_timeout=int(value_or_default(policy.connect_timeout, 250_000)) / 1e6,
        idle_time=int(value_or_default(policy.conn_idle, 15_000_000)) / 1e6,
        inline_reports=report.how == "inline",
        report_names=tuple(
            (str(c), report_field_name(c)) for c in report.columns or ()
        ),
    )
