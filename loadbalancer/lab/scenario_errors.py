"""What can be wrong with a scenario."""

from __future__ import annotations

from typing import ClassVar

from loadbalancer.errors import LoadBalancerError


class ScenarioError(LoadBalancerError):
    """A scenario that cannot be played."""

    remedy: ClassVar[str] = (
        "correct the scenario where the line says; docs/lab.md shows its tables"
    )


class ScenarioUnreadableError(ScenarioError):
    """A scenario, or one that it extends, that is not there, not for this user to read, or no text."""

    code: ClassVar[str] = "ScenarioUnreadable"
    remedy: ClassVar[str] = (
        "name a scenario that exists and that you may read, such as scenarios/demo.toml"
    )


class ScenarioMalformedError(ScenarioError):
    """A scenario that is not TOML."""

    code: ClassVar[str] = "ScenarioMalformed"
    remedy: ClassVar[str] = (
        "mend the scenario at the line and column named; the form is TOML"
    )


class ScenarioValueError(ScenarioError):
    """A key of a scenario that is unknown, missing, of another kind, out of its range, or against another."""

    code: ClassVar[str] = "ScenarioValue"
    remedy: ClassVar[str] = (
        "correct that key of the scenario: docs/lab.md says what it means and may be"
    )


class ScenarioNameError(ScenarioError):
    """A scenario that refers to what it does not have, or gives two things one name."""

    code: ClassVar[str] = "ScenarioName"
    remedy: ClassVar[str] = (
        "write the name as the table has it that defines it, and each name once"
    )


class ScenarioChangeError(ScenarioError):
    """A change on the command line that fits no key of the scenario."""

    code: ClassVar[str] = "ScenarioChange"
    remedy: ClassVar[str] = (
        "write --set KEY.PATH=VALUE with a path of the scenario; lists count from 0"
    )


class ScenarioTooLargeError(ScenarioError):
    """A scenario that is too large for real processes on one machine."""

    code: ClassVar[str] = "ScenarioTooLarge"
    remedy: ClassVar[str] = (
        "play it with `loadbalancer lab run`, or make it smaller with --set"
    )
