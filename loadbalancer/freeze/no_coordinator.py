"""Decides requests that no coordinator has answered in time, by the rule for their kind of change."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.freeze.messages import IncidentNotice
from loadbalancer.freeze.rules import NoCoordinatorRule


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a change proceeds without a grant, and the reason for operators."""

    proceeds: bool
    reason: str


def decide(
    rule: NoCoordinatorRule,
    silence_us: int,
    stopped_by: IncidentNotice | None,
    electors: tuple[str, ...],
) -> Decision:
    """Decides whether the change of one request proceeds.

    Args:
        rule: The rule for its kind of change.
        silence_us: Time since the last message of a coordinator, or since the client's start if there was
            none, in microseconds.
        stopped_by: A known open incident that stops the change; None if there is none.
        electors: Names of the electors.
    """
    if stopped_by is not None:
        return Decision(
            False,
            f"no coordinator answers, and incident {stopped_by.id} was open at the last contact",
        )
    proceed_after_us = rule.proceed_after_silence_us
    if proceed_after_us is not None and silence_us >= proceed_after_us:
        return Decision(
            True,
            f"no message of a coordinator for {silence_us / 1e6:.0f} s: proceeding without a grant",
        )
    return Decision(
        False,
        f"no coordinator has answered for {rule.answer_after_us / 1e6:g} s; a majority of"
        f" {', '.join(electors)} must run and reach each other",
    )
