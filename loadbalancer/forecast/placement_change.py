"""The input of a forecast: a change of placement, and what is known of servers, keys and nodes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from loadbalancer.forecast.cache_model import ServerCache
from loadbalancer.forecast.popularity import Popularity
from loadbalancer.forecast.shard_traffic import ShardTraffic

NEVER_CHANGED = inf  # seconds since the previous change, if there was none


@dataclass(frozen=True)
class ServerState:
    """What is known of one server.

    Attributes:
        cache: The server's cache.
        age_s: Seconds since the cache was empty; infinite if it is not known.
        tolerable_misses: Misses a second that the server tolerates; 0 if that is not known.
    """

    cache: ServerCache
    age_s: float = inf
    tolerable_misses: float = 0.0


@dataclass(frozen=True)
class PlacementChange:
    """A change of placement, by the traffic that servers receive before and after it.

    Servers are in the same order in all fields.

    Attributes:
        servers: All servers that are used before or after the change.
        before: The traffic before the change.
        after: The traffic after the change.
        popularity: Request rates of keys, by the nodes that reported.
        earlier: The traffic before the previous change, if that change still has an effect.
        earlier_age_s: Seconds since the previous change.
        drift_per_s: Fraction of popularity that moves to other keys in a second.
        silent_fraction: Fraction of the requests that is sent by nodes that have not reported.
        divergent_fraction: Fraction of the requests by which the keys of single nodes differ from those of
            all nodes together.
        reported_hit_ratio: Hit ratio that answers reported before the change; None if none did.
        past_error: Root mean square error of past forecasts of the same kind of change.
        total_rate: Requests a second of all nodes including silent ones; None if only the nodes that reported
            are to be counted.
    """

    servers: Sequence[ServerState]
    before: ShardTraffic
    after: ShardTraffic
    popularity: Popularity
    earlier: ShardTraffic | None = None
    earlier_age_s: float = NEVER_CHANGED
    drift_per_s: float = 0.0
    silent_fraction: float = 0.0
    divergent_fraction: float = 0.0
    reported_hit_ratio: float | None = None
    past_error: float = 0.0
    total_rate: float | None = None

    @property
    def rate(self) -> float:
        """Requests a second of all nodes."""
        return self.popularity.rate if self.total_rate is None else self.total_rate
