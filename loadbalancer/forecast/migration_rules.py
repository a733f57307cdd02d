"""The operators' rules for changes of placement.

They have a module of their own, so that reading the operators' file does not import the forecaster.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MigrationRules:
    """Limits on how a change of placement is made, from the operators' file.

    Attributes:
        max_load: Largest allowed ratio of a server's misses a second to those that it tolerates; 1.0 allows
            exactly the tolerated misses.
        max_steps: Largest number of steps into which a change is divided.
        min_pause_s: Shortest pause between two steps; within the limits, a pause lasts until caches have
            recovered.
        max_pause_s: Longest pause between two steps.
        review_s: Time after which a deferred change is evaluated again.
        max_deferral_s: Time after which a deferred change is made in `max_steps` steps, whatever the
            forecast.
    """

    max_load: float = 1.0
    max_steps: int = 16
    min_pause_s: float = 5.0
    max_pause_s: float = 60.0
    review_s: float = 5.0
    max_deferral_s: float = 300.0
