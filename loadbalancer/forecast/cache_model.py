"""Models a server's cache: how many objects it holds, and how a time to live reduces its hits.

`server_keys` explains and computes the characteristic time of a cache.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import erf, exp, inf, log, sqrt
from typing import NamedTuple

# Expected requests in the characteristic time above which a key is assumed to stay until it expires.
CERTAIN_REQUESTS = 30
MAX_EXPONENT = 50.0  # upper bound of the argument of an exponential function
TINY_FRACTION = 1e-9  # lower bound of a divisor
TINY_TIME_S = 1e-12  # lower bound of a divisor in seconds


@dataclass(frozen=True)
class ServerCache:
    """The properties of a server's cache.

    Attributes:
        objects: Number of objects that the cache holds; `object_capacity` converts from bytes.
        ttl_s: Seconds after which an object expires and is fetched again; 0 if objects do not expire.
        cacheable_fraction: Fraction of the requests whose answers may be cached.
    """

    objects: float
    ttl_s: float = 0.0
    cacheable_fraction: float = 1.0


class ObjectCapacity(NamedTuple):
    """A cache's size in objects.

    Attributes:
        objects: Number of objects that the cache holds.
        admitted_fraction: Fraction of the objects that are small enough to be cached.
    """

    objects: float
    admitted_fraction: float


def object_capacity(
    size: float, mean: float, variation: float = 0.0, largest: float = inf
) -> ObjectCapacity:
    """Returns how many objects a cache holds.

    Object sizes are assumed to be distributed lognormally and independently of popularity.

    Args:
        size: Size of the cache in bytes.
        mean: Mean size of an object in bytes.
        variation: Coefficient of variation of the object size.
        largest: Size in bytes above which objects are not cached.
    """
    if variation <= 0:
        if mean <= largest:
            return ObjectCapacity(size / mean, 1.0)
        return ObjectCapacity(0.0, 0.0)
    if largest == inf:
        return ObjectCapacity(size / mean, 1.0)
    variance = log(1 + variation * variation)
    z_score = (log(largest / mean) + variance / 2) / sqrt(variance)
    admitted = _normal_cdf(z_score)
    admitted_mean = (
        mean * _normal_cdf(z_score - sqrt(variance)) / max(admitted, TINY_FRACTION)
    )
    return ObjectCapacity(size / admitted_mean, admitted)


def _normal_cdf(value: float) -> float:
    """Returns the cumulative distribution function of the standard normal distribution."""
    return (1 + erf(value / sqrt(2))) / 2


def ttl_hit_factor(rate: float, characteristic_time_s: float, ttl_s: float) -> float:
    """Returns the ratio of a key's hits with a time to live to its hits without one.

    A key is fetched, hit until it is evicted, and fetched again. Without a time to live it stays in the cache
    for (exp(rate theta) - 1) / rate on average, where theta is the characteristic time, and for at least
    theta. The part of its stay beyond theta is assumed to be distributed exponentially.

    Args:
        rate: Requests a second for the key.
        characteristic_time_s: Characteristic time of the cache in seconds; may be infinite.
        ttl_s: The time to live in seconds.
    """
    if rate <= 0:
        return 1.0
    theta = characteristic_time_s
    expected = rate * theta
    if expected > CERTAIN_REQUESTS or theta == inf:
        stay_s, without_ttl = ttl_s, 1.0
    else:
        mean_stay_s = (exp(expected) - 1) / rate
        without_ttl = 1 - exp(-expected)
        stay_s = _stay_with_ttl(mean_stay_s, theta, ttl_s)
    hits = rate * stay_s
    return min(1.0, hits / (1 + hits) / without_ttl) if without_ttl > 0 else 1.0


def _stay_with_ttl(mean_stay_s: float, theta: float, ttl_s: float) -> float:
    """Returns the mean time in seconds that a key stays in the cache, limited by a time to live."""
    if ttl_s <= theta:
        return ttl_s
    beyond_theta_s = max(mean_stay_s - theta, TINY_TIME_S)
    return theta + beyond_theta_s * (
        1 - exp(-min(MAX_EXPONENT, (ttl_s - theta) / beyond_theta_s))
    )
