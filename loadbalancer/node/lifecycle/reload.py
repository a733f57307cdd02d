"""Configuration reload: which fields a running node can apply, and the numbers of its request classes."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import fields, replace
from typing import TYPE_CHECKING

from loadbalancer.policy.api import RequestClass, Settings

if TYPE_CHECKING:
    from loadbalancer.node.config import Config

# Fields of `Config` that a running node applies at a reload
RELOADED_FIELDS = (
    "discovery",
    "filed_discovery",
    "filed",
    "peers",
    "peers_all",
    "settings",
    "classes",
    "tenants",
    "zones",
    "kinds",
    "connect_timeout",
    "idle_time",
    "inline_reports",
    "report_names",
)
# Fields of `Config` that are used only at a start
START_FIELDS = ("known", "seed")


def fields_for_restart(old: Config, new: Config) -> list[str]:
    """Returns the names of the changed fields that only a restart can apply.

    Args:
        old: The configuration in force.
        new: The new configuration.
    """
    return [
        field.name
        for field in fields(new)
        if field.name not in (*RELOADED_FIELDS, *START_FIELDS)
        and getattr(new, field.name) != getattr(old, field.name)
    ]


class ClassTable:
    """The request classes by name and by number.

    A number keeps its meaning while a request of its class is open.

    Args:
        names: Names of the classes, in the order of the settings.
        settings: The settings that define the classes.

    Attributes:
        names: Names of the classes by number; an unused number keeps its last name.
        numbers: Numbers of the served classes by encoded name.
        settings: The settings in force, with the classes at their numbers.
    """

    def __init__(self, names: Collection[str], settings: Settings) -> None:
        self.names = list(names)
        self.numbers = {name.encode(): number for number, name in enumerate(names)}
        self.settings = settings

    def update(
        self, names: Collection[str], settings: Settings, in_use: Collection[int]
    ) -> Settings:
        """Replaces the classes.

        Args:
            names: Names of the new classes, in the order of the new settings.
            settings: The new settings.
            in_use: Numbers of the classes of open requests.

        Returns:
            The new settings, with the classes at their numbers; classes that are no longer served have a
            priority weight of 0.
        """
        classes = list(self.settings.classes)
        numbers: dict[bytes, int] = {}
        added: list[tuple[str, RequestClass]] = []
        for name, request_class in zip(names, settings.classes, strict=True):
            number = self.numbers.get(name.encode())
            if number is not None and classes[number] == request_class:
                numbers[name.encode()] = number
            else:
                added.append((name, request_class))
        taken = {*numbers.values(), *in_use}
        free = [number for number in range(len(classes)) if number not in taken]
        for name, request_class in added:
            if free:
                number = free.pop(0)
                classes[number] = request_class
                self.names[number] = name
            else:
                number = len(classes)
                classes.append(request_class)
                self.names.append(name)
            numbers[name.encode()] = number
        served = set(numbers.values())
        self.numbers = numbers
        self.settings = replace(
            settings,
            classes=tuple(
                request_class
                if number in served
                else replace(request_class, priority_weight=0.0)
                for number, request_class in enumerate(classes)
            ),
        )
        return self.settings
