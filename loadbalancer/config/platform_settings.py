"""Converts the platform's settings object to the policy's `Settings`.

The object is part of the simulator's first message and of a node's configuration file. Times in it are in
microseconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from loadbalancer.policy.api import (
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
    SettingsError,
    TenantSettings,
)

# By the class's "effect": whether a request may be executed more than once.
IDEMPOTENCY_BY_EFFECT = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
# By the class's "group": the endpoints that discard duplicates of a request with a key.
SCOPE_BY_GROUP = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
# The policy's name of a load report's value, by the platform's name for it.
REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


# Integers and fractions that the platform writes; true, NaN and values beyond 1e300 are errors.
Number = Annotated[float, Meta(gt=-1e300, lt=1e300)]
# An entry of a list that is accepted with any simple type
Scalar = str | int | float | bool | None


class Form(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Base of the JSON objects that the platform writes.

    Unknown keys are ignored. An optional key may be null, which means the same as its absence.
    """


def locate_error(error: msgspec.ValidationError) -> tuple[str, str]:
    """Splits a msgspec error into a key's path and a message, such as `classes[0].worth` and `missing`.

    The path is empty if the error concerns the outermost value.
    """
    what, separator, path = str(error).rpartition(" - at `")
    what, path = (
        (what, path.rstrip("`").removeprefix("$")) if separator else (str(error), "")
    )
    missing_key = what.removeprefix("Object missing required field ")
    if missing_key != what:
        path, what = f"{path}.{missing_key.strip('`')}", "Missing"
    return path.lstrip("."), what[0].lower() + what[1:]


def value_or_default(value: float | None, default: float) -> float:
    """Returns a number, or `default` if it is absent or null."""
    return default if value is None else value


class ClassForm(Form, frozen=True, kw_only=True):
    """An entry of `classes`: a request class.

    Attributes:
        effect: Whether requests may be repeated (`IDEMPOTENCY_BY_EFFECT`).
        goal_time: Latency objective in microseconds.
        hard_limit: Deadline in microseconds, over all attempts.
        worth: Priority weight of an answer within the latency objective.
        late_value: Fraction of the priority weight that a later answer within the deadline has; absent: 0.
        group: Endpoints that discard duplicates of a request with a key (`SCOPE_BY_GROUP`); absent: all.
        window: Idempotency window: microseconds for which a request with a key is remembered.
        stream: Whether responses are streams.
    """

    effect: str
    goal_time: Number
    hard_limit: Number
    worth: Number
    late_value: Number | None = None
    group: str | None = None
    window: Number | None = None
    stream: bool | None = None


class TenantForm(Form, frozen=True, kw_only=True):
    """An entry of `tenants`: a team whose clients send requests.

    Attributes:
        quota_rps: Requests per second over all instances; absent or 0: no quota.
    """

    quota_rps: Number | None = None


class LimitsForm(Form, frozen=True, kw_only=True):
    """`policy_limits`: what the platform permits a node to do.

    Attributes:
        max_attempts: Largest number of attempts for a request.
        cancel: Whether attempts may be cancelled.
        probing: Whether the node may send health checks.
        peers: Whether nodes may send messages to each other.
        second_copies: Whether hedged requests are permitted.
        retry_after: Whether a rejection may advise when to retry.
        max_retry_after: Longest such time in microseconds.
        max_open: Largest number of calls in flight; absent: 20,000.
    """

    max_attempts: Number
    cancel: bool | None = None
    probing: bool | None = None
    peers: bool | None = None
    second_copies: bool | None = None
    retry_after: bool | None = None
    max_retry_after: Number | None = None
    max_open: Number | None = None


class RulesForm(Form, frozen=True, kw_only=True):
    """`rules`: how servers behave under load.

    Attributes:
        cold: Microseconds after its start at which a server is warm.
        start_capacity: Fraction of its capacity that a server has at least when it starts.
        fall_multiple: A server that is sent more than this multiple of its present capacity is overloaded.
        tip_after: Microseconds of such overload after which it fails.
        ask_within: Longest time between two polls of the endpoint list in microseconds.
        answer_slack: Microseconds by which an answer may be noticed late.
    """

    cold: Number
    start_capacity: Number
    fall_multiple: Number
    tip_after: Number
    ask_within: Number | None = None
    answer_slack: Number | None = None


class DeductionsForm(Form, frozen=True, kw_only=True):
    """`deductions`: costs that the platform deducts from a response's value.

    Attributes:
        cross_zone: Cost of a call to another zone as a fraction of the request's value; absent: 0.
    """

    cross_zone: Number | None = None


class ReportForm(Form, frozen=True, kw_only=True):
    """`report`: the load reports of servers.

    Attributes:
        columns: The platform's names of a report's values, in their order (`REPORT_FIELDS`).
    """

    columns: tuple[Scalar, ...] | None = None


class SettingsForm(Form, frozen=True, kw_only=True):
    """The settings object.

    Attributes:
        classes: The request classes; their positions are the class numbers.
        group_size: Number of instances that send to the tier, this one included.
        tick: Least time between two batches of events in microseconds.
        policy_limits: What the platform permits a node to do.
        rules: How servers behave under load.
        tenants: The tenants; their positions are the tenant numbers.
        tier: Number of the tier that this node sends to.
        layers: The tiers; only their count is used.
        zone: Number of this node's zone.
        self_index: Number of this node among the instances.
        discovery: "ask" if the endpoint list has to be polled.
        weights: "off" or absent if the endpoint list has no weights.
        deductions: Costs that the platform deducts from a response's value.
        over_share_worth: Value of a request over its tenant's quota, as a fraction of its regular value;
            absent: 1.
        report: The load reports of servers.
    """

    classes: tuple[ClassForm, ...]
    group_size: Number
    tick: Number
    policy_limits: LimitsForm
    rules: RulesForm
    tenants: tuple[TenantForm, ...] | None = None
    tier: Number | None = None
    layers: tuple[Scalar, ...] | None = None
    zone: Number | None = None
    self_index: Number | None = None
    discovery: str | None = None
    weights: str | None = None
    deductions: DeductionsForm | None = None
    over_share_worth: Number | None = None
    report: ReportForm | None = None


def parse_settings(table: object) -> Settings:
    """Converts decoded JSON to the policy's settings.

    Raises:
        SettingsError: A value is missing or invalid; the error names the key.
    """
    try:
        return build_settings(msgspec.convert(table, SettingsForm))
    except msgspec.ValidationError as e:
        key, what = locate_error(e)
        if not key:
            raise SettingsError(
                "not an object; a JSON object is required", "settings"
            ) from None
        raise SettingsError(what, f"settings.{key}") from None


def build_settings(form: SettingsForm) -> Settings:
    """Converts a settings object whose types have been checked to the policy's settings.

    Raises:
        SettingsError: A value is invalid.
    """
    limits, rules = form.policy_limits, form.rules
    return Settings(
        classes=tuple(build_request_class(entry) for entry in form.classes),
        tenants=tuple(
            TenantSettings(quota=t.quota_rps or 0.0) for t in form.tenants or ()
        ),
        tier=int(form.tier or 0),
        tiers=max(1, len(form.layers or ())),
        zone=int(form.zone or 0),
        instances=int(form.group_size),
        index=int(form.self_index or 0),
        tick_us=int(form.tick),
        max_attempts=int(limits.max_attempts),
        cancel=bool(limits.cancel),
        health_checks=bool(limits.probing),
        peers=bool(limits.peers),
        hedged_requests=bool(limits.second_copies),
        retry_after=bool(limits.retry_after),
        max_retry_after=int(limits.max_retry_after or 0),
        max_open_requests=int(value_or_default(limits.max_open, 20000)),
        list_must_be_polled=form.discovery == "ask",
        list_poll_interval=int(rules.ask_within or 0),
        list_weights=form.weights not in (None, "off"),
        slow_start_time=int(rules.cold),
        slow_start_initial_share=rules.start_capacity,
        overload_multiple=rules.fall_multiple,
        overload_window=int(rules.tip_after),
        answer_slack=int(rules.answer_slack or 0),
        cross_zone_cost=(form.deductions.cross_zone if form.deductions else None)
        or 0.0,
        over_quota_weight=value_or_default(form.over_share_worth, 1.0),
        report_fields=tuple(
            report_field_name(value)
            for value in (form.report.columns if form.report else None) or ()
        ),
    )


def report_field_name(value: Scalar) -> str:
    """Returns the policy's name of a load report's value; the platform's name where both are the same."""
    return REPORT_FIELDS.get(str(value), str(value))


def build_request_class(form: ClassForm) -> RequestClass:
    """Converts a class. An unknown effect or group gets the most restrictive meaning."""
    return RequestClass(
        idempotency=IDEMPOTENCY_BY_EFFECT.get(form.effect, Idempotency.NOT_IDEMPOTENT),
        latency_objective=int(form.goal_time),
        deadline=int(form.hard_limit),
        priority_weight=form.worth,
        late_priority_weight=form.late_value or 0.0,
        deduplication_scope=SCOPE_BY_GROUP.get(
            "all" if form.group is None else form.group, DeduplicationScope.CELL
        ),
        idempotency_window=int(form.window or 0),
        stream=bool(form.stream),
    )
