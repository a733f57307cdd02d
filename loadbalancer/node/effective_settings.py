"""The settings that the policy uses: the file's, adapted to this process and to the features."""

from __future__ import annotations

from dataclasses import replace

from loadbalancer.policy.api import Settings


def effective_settings(
    settings: Settings,
    sibling_count: int,
    ring: tuple[int, int] | None,
    min_subset_size: int,
) -> Settings:
    """Returns the file's settings, adapted to this process and to the features.

    Args:
        settings: The file's settings.
        sibling_count: Number of the node's other processes; each counts as an instance, and the limit on
            calls in flight (`max_open_requests`) is divided among all.
        ring: The ring position in force and the number of positions; None: those of the settings.
        min_subset_size: Smallest subset that a feature requests, in servers; 0: no request.
    """
    if sibling_count:
        max_open_requests = max(1, settings.max_open_requests // (1 + sibling_count))
        settings = replace(
            settings,
            instances=settings.instances + sibling_count,
            max_open_requests=max_open_requests,
        )
    if ring is not None:
        # Limits that all nodes must keep together use the larger count, since members that seem dead may only
        # be partitioned.
        settings = replace(
            settings,
            ring_position=ring,
            instances=max(settings.instances, ring[1]),
        )
    if min_subset_size:
        settings = replace(settings, min_subset_size=min_subset_size)
    return settings
