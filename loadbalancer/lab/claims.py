"""Claims: a scenario's own bounds on its figures."""

from __future__ import annotations

import operator
from dataclasses import dataclass
from difflib import get_close_matches
from typing import TYPE_CHECKING, ClassVar

from loadbalancer.lab.rules import RULES
from loadbalancer.lab.scenario_errors import ScenarioError

if TYPE_CHECKING:
    from loadbalancer.lab.measures import Figures
    from loadbalancer.lab.scenario import Claim, Scenario

OPERATORS = {">=": operator.ge, "<=": operator.le, "==": operator.eq}


@dataclass(frozen=True)
class Verdict:
    """What came of one claim in one run."""

    metric: str
    op: str
    bound: float
    value: float
    holds: bool
    known_gap: str | None

    @property
    def broken(self) -> bool:
        """Whether it fails without the scenario having said so."""
        return not self.holds and self.known_gap is None


class MetricError(ScenarioError, ValueError):
    """A claim about a figure that no run reports, or over seconds that the day does not have."""

    remedy: ClassVar[str] = (
        "claim one of the figures of docs/lab.md, by rows also as NAME@FROM:TO in seconds"
    )


def names(s: Scenario) -> list[str]:
    """All metrics that a scenario can name, without `@A:B`."""
    from loadbalancer.lab.measures import BY_ROWS, WHOLE

    out = [*WHOLE, *BY_ROWS, *(f"rule.{r}" for r in RULES)]
    members = [f"class.{c.name}" for c in s.classes]
    members += [f"tenant.{t.name}" for t in s.tenants]
    members += [f"zone.{z.name}" for z in s.zones]
    out += [f"zone.{z.name}.crossed" for z in s.zones]
    return out + [f"{member}.{base}" for member in members for base in BY_ROWS]


def check_metric(metric: str, s: Scenario) -> None:
    """A MetricError that names the nearest metric if this one is not known or its span is not of this day."""
    base, at, span = metric.partition("@")
    known = names(s)
    if base not in known:
        near = get_close_matches(base, known, 1)
        hint = (
            f"did you mean {near[0]!r}?"
            if near
            else f"known are {', '.join(known[:12])} and others"
        )
        raise MetricError(f"unknown metric {metric!r}; {hint}")
    if not at:
        return
    from loadbalancer.lab.measures import BY_ROWS

    if base.rpartition(".")[2] not in (
        *BY_ROWS,
        "crossed",
        "hit_rate",
    ) or base.startswith("rule."):
        raise MetricError(f"{base!r} is of the whole day and takes no @A:B")
    start, colon, end = span.partition(":")
    try:
        first, last = float(start), float(end)
    except ValueError:
        raise MetricError(f"{metric!r}: write the seconds as @20:30") from None
    if not colon or not 0 <= first < last <= s.seconds:
        raise MetricError(f"{metric!r}: the day has the seconds 0 to {s.seconds:g}")


def judge(claims: list[Claim], figures: Figures) -> list[Verdict]:
    """Each claim against the run's figures."""
    out = []
    for claim in claims:
        value = figures.value(claim.metric)
        holds = bool(OPERATORS[claim.op](value, claim.bound))
        out.append(
            Verdict(claim.metric, claim.op, claim.bound, value, holds, claim.known_gap)
        )
    return out
