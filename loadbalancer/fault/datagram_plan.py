"""Decides what happens to each datagram between named members; does no I/O.

Each rule draws its own random numbers for each directed pair of members: the n-th datagram of a pair that a
rule applies to is treated the same in every run with the same seed.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple

from loadbalancer.fault.datagram_rules import (
    NO_GROUP,
    DatagramFaultKind,
    DatagramRule,
    matches_any,
)

MS_PER_S = 1000
IMMEDIATELY_S = 0.0  # delay of a datagram that no rule delays


class RulePhase(StrEnum):
    """Whether a rule starts or stops being active; the values are written to the log."""

    BEGINS = "begins"
    ENDS = "ends"


class RuleTransition(NamedTuple):
    """The time at which a rule starts or stops being active.

    Attributes:
        at_s: Seconds since the start of the plan.
        rule: Index of the rule.
        phase: Whether it starts or stops.
    """

    at_s: float
    rule: int
    phase: RulePhase


class MemberRole(NamedTuple):
    """How a rule refers to a member.

    Attributes:
        is_source: Whether it is one of the rule's senders.
        is_target: Whether it is one of the rule's receivers.
        group: Index of its group in a partition; `NO_GROUP` for other kinds and for members in no group.
    """

    is_source: bool
    is_target: bool
    group: int


class DatagramPlan:
    """Applies rules to datagrams, one after another.

    Attributes:
        rules: The rules, in the order of the script.
        seed: Seed of all random numbers.
        affected: Number of datagrams that each rule has affected so far, by the rule's index.
    """

    def __init__(self, rules: Sequence[DatagramRule], seed: int) -> None:
        self.rules = tuple(rules)
        self.seed = seed
        self.affected = [0] * len(self.rules)
        self._randoms: dict[tuple[int, str, str], Random] = {}
        self._roles: dict[str, tuple[MemberRole, ...]] = {}

    def draw(self, rule: int, source: str, target: str) -> float:
        """Draws the next random number, from 0 to 1, of a rule for a pair of members.

        Args:
            rule: Index of the rule.
            source: Name of the sender.
            target: Name of the receiver.
        """
        key = (rule, source, target)
        generator = self._randoms.get(key)
        if generator is None:
            generator = Random(f"{self.seed}/{rule}/{source}>{target}")
            self._randoms[key] = generator
        return generator.random()

    def deliveries(self, source: str, target: str, elapsed_s: float) -> list[float]:
        """Decides whether and when a datagram is delivered.

        Args:
            source: Name of the sender.
            target: Name of the receiver.
            elapsed_s: Seconds since the start of the plan.

        Returns:
            The delay of each copy in seconds; empty if the datagram is lost.
        """
        delays_s = [IMMEDIATELY_S]
        source_roles, target_roles = self._roles_of(source), self._roles_of(target)
        for index, rule in enumerate(self.rules):
            if rule.is_active(elapsed_s) and _affects(
                rule, source_roles[index], target_roles[index]
            ):
                delays_s = self._apply(index, (source, target), delays_s)
                if not delays_s:
                    break
        return delays_s

    def _apply(
        self, index: int, pair: tuple[str, str], delays_s: list[float]
    ) -> list[float]:
        """Returns the delays of a datagram's copies, in seconds, after one rule is applied to them."""
        rule = self.rules[index]
        delay_s = rule.delay_ms / MS_PER_S
        if rule.kind in (DatagramFaultKind.CUT, DatagramFaultKind.PARTITION):
            delays_s = []
        elif rule.kind == DatagramFaultKind.DELAY:
            jitter_ms = rule.jitter_ms * self.draw(index, *pair)
            delay_s = (rule.delay_ms + jitter_ms) / MS_PER_S
            delays_s = [copy_delay_s + delay_s for copy_delay_s in delays_s]
        elif self.draw(index, *pair) >= rule.rate:
            return delays_s
        elif rule.kind == DatagramFaultKind.LOSS:
            delays_s = []
        elif rule.kind == DatagramFaultKind.DUPLICATE:
            delays_s = [*delays_s, delays_s[0] + delay_s]
        else:  # REORDER: delayed, so that later datagrams overtake it
            delays_s = [copy_delay_s + delay_s for copy_delay_s in delays_s]
        self.affected[index] += 1
        return delays_s

    def _roles_of(self, name: str) -> tuple[MemberRole, ...]:
        """Returns a member's role in each rule.

        Roles are cached by member, not by pair: there may be millions of pairs.
        """
        roles = self._roles.get(name)
        if roles is None:
            roles = tuple(_role(rule, name) for rule in self.rules)
            self._roles[name] = roles
        return roles

    def transitions(self) -> list[RuleTransition]:
        """Returns when rules start and stop being active, in order of time."""
        timeline = [
            RuleTransition(rule.start_s, index, RulePhase.BEGINS)
            for index, rule in enumerate(self.rules)
        ]
        timeline += [
            RuleTransition(rule.start_s + rule.duration_s, index, RulePhase.ENDS)
            for index, rule in enumerate(self.rules)
            if rule.duration_s is not None
        ]
        return sorted(timeline)

    def log_line(self, transition: RuleTransition) -> dict[str, Any]:
        """Returns a line of the log, by its published keys.

        When a rule stops, the line has the number of datagrams that it has affected.
        """
        at_s, index, phase = transition
        rule = self.rules[index]
        line: dict[str, Any] = {
            "at_s": at_s,
            "rule": index,
            "kind": str(rule.kind),
            "fault": phase.value,
        }
        if rule.name:
            line["name"] = rule.name
        if phase == RulePhase.ENDS:
            line["struck"] = self.affected[index]
        return line


def _role(rule: DatagramRule, name: str) -> MemberRole:
    """Returns the role of a member in a rule."""
    if rule.kind == DatagramFaultKind.PARTITION:
        return MemberRole(False, False, rule.group_of(name))
    return MemberRole(
        matches_any(name, rule.source), matches_any(name, rule.target), NO_GROUP
    )


def _affects(rule: DatagramRule, source: MemberRole, target: MemberRole) -> bool:
    """Returns whether a rule applies to datagrams from one member to another, by their roles."""
    return (
        source.group != target.group
        or (source.is_source and target.is_target)
        or (rule.both_directions and source.is_target and target.is_source)
    )
