"""Checks of a scenario that no single table can make: references between tables, a fleet that exists."""

from __future__ import annotations

from difflib import get_close_matches

from loadbalancer.lab.claims import MetricError, check_metric
from loadbalancer.lab.scenario import Fault, Figure, Scenario, Tier
from loadbalancer.lab.scenario_errors import ScenarioNameError, ScenarioValueError


def check_name(name: str, names: list[str], where: str, what: str) -> None:
    """Checks that `name` is among `names`.

    Raises:
        ScenarioNameError: It is not; the nearest name stands in the line.
    """
    if name in names:
        return
    near = get_close_matches(name, names, 1)
    hint = (
        f"; did you mean {near[0]!r}?"
        if near
        else f"; known are {', '.join(names[:12]) or 'none'}"
    )
    raise ScenarioNameError(f"no {what} is called {name!r}{hint}", where)


def check_unique(names: list[str], where: str, what: str) -> None:
    """Checks that no name stands twice.

    Raises:
        ScenarioNameError: One does.
    """
    for name in names:
        if names.count(name) > 1:
            raise ScenarioNameError(f"two of the {what} are called {name!r}", where)


def check(scenario: Scenario, where: str) -> None:
    """Checks a scenario as a whole.

    Args:
        scenario: What was read.
        where: The file, which begins the place that an error names.

    Raises:
        ScenarioError: The first thing that is wrong.
    """
    _check_unique_names(scenario, where)
    for index, tier in enumerate(scenario.tier):
        _check_tier(scenario, tier, index, f"{where}: tier[{index}]")
    for index, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"{where}: fault[{index}]")
    if scenario.keys is not None:
        class_names = [each.name for each in scenario.classes]
        for index, name in enumerate(scenario.keys.classes):
            check_name(name, class_names, f"{where}: keys.classes[{index}]", "class")
    for index, claim in enumerate(scenario.claims):
        try:
            check_metric(claim.metric, scenario)
        except MetricError as error:
            raise error.within(f"{where}: claim[{index}].metric") from None


def _check_unique_names(scenario: Scenario, where: str) -> None:
    """No two zones, tiers, classes or tenants have one name."""
    zone_names = [zone.name for zone in scenario.zones]
    tier_names = [tier.name for tier in scenario.tier]
    class_names = [each.name for each in scenario.classes]
    tenant_names = [tenant.name for tenant in scenario.tenants]
    check_unique(zone_names, f"{where}: zone", "zones")
    check_unique(tier_names, f"{where}: tier", "tiers")
    check_unique(class_names, f"{where}: class", "classes")
    check_unique(tenant_names, f"{where}: tenant", "tenants")


def _check_tier(scenario: Scenario, tier: Tier, index: int, where: str) -> None:
    """A tier has servers of its kinds in the scenario's zones, and nodes where it needs them."""
    zone_names = [zone.name for zone in scenario.zones]
    kind_names = [kind.name for kind in tier.kind]
    check_unique(kind_names, f"{where}.kind", "kinds")
    if not tier.server and least(tier.servers) < 1:
        raise ScenarioValueError(
            "say how many `servers` it has, or name each `server`", where
        )
    for j, server in enumerate(tier.server):
        check_name(server.kind, kind_names, f"{where}.server[{j}].kind", "kind")
        if server.zone is not None:
            check_name(server.zone, zone_names, f"{where}.server[{j}].zone", "zone")
    if index == 0 and least(tier.nodes) < 1:
        raise ScenarioValueError("at least one node is needed", f"{where}.nodes")
    if index > 0 and tier.nodes != 0:
        raise ScenarioValueError(
            "below the first tier every server above has a node of its own",
            f"{where}.nodes",
        )


def _check_fault(scenario: Scenario, fault: Fault, where: str) -> None:
    """A fault names what the scenario has, and comes while it is played."""
    tier_names = [tier.name for tier in scenario.tier]
    if fault.tier is not None:
        check_name(fault.tier, tier_names, f"{where}.tier", "tier")
    if fault.zone is not None:
        zone_names = [zone.name for zone in scenario.zones]
        check_name(fault.zone, zone_names, f"{where}.zone", "zone")
    tier = scenario.tier[tier_names.index(fault.tier) if fault.tier else 0]
    if fault.machine is not None:
        kind_names = [kind.name for kind in tier.kind]
        check_name(fault.machine, kind_names, f"{where}.machine", "kind of machine")
    if fault.kind == "join" and tier.reserve == 0:
        raise ScenarioValueError(
            f"a join needs `reserve` servers in tier {tier.name!r}", where
        )
    if fault.at >= scenario.seconds:
        raise ScenarioValueError(
            f"the day is over after {scenario.seconds:g} seconds", f"{where}.at"
        )


def least(figure: Figure) -> float:
    """The smallest value that a figure can take."""
    return figure if isinstance(figure, (int, float)) else min(figure)
