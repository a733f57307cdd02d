"""The state that all rules of one policy instance share."""

from __future__ import annotations

from random import Random

from loadbalancer.policy.api import Actions, Settings


class PolicyContext:
    """The settings in force, the seeded random number generator, and the host's actions.

    All rules draw from the same generator, so the same seed and events lead to the same decisions.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        """Starts with the first settings.

        Args:
            settings: The settings in force; `Balancer.update_settings` replaces them.
            seed: Seed of all random numbers.
            actions: The actions of the host.
        """
        self.settings = settings
        self.rng = Random(seed)
        self.actions = actions
