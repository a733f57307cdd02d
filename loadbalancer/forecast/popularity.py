"""Estimates the request rates of all keys from a digest.

The most requested keys are known individually; the rates of the others are fitted to the sample
(`rate_mixture`). The total of requests that the sample implies is corrected by the real total, which is
known exactly. SHARDS-adj, a variant of the sampling in `key_sample`, does the same; here the regression
estimator of survey sampling takes the place of its addition to the first bucket.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import sqrt
from typing import NamedTuple

from loadbalancer.forecast.key_digest import KeyDigest
from loadbalancer.forecast.rate_mixture import KeyGroup, fit_mixture, group_by_count
from loadbalancer.forecast.rendezvous import POSITION_COUNT, shard_of
from loadbalancer.forecast.sliced_work import SlicedWork

MIN_TOP_COUNT = 6  # requests; a key with fewer is covered by the sample only
# Groups of sampled keys; each is left out once to estimate the error of the sample (jackknife).
JACKKNIFE_GROUPS = 4
MIN_KNOWN_KEYS = 50  # keys; with fewer, popularity counts as unknown
MIN_SAMPLE_CORRECTION = 0.1  # lower bound of the factor on a group's number of keys
# Square of the mean absolute deviation of a normal distribution, divided by its variance (2 / pi, rounded).
CHANCE_VARIANCE_RATIO = 0.64


class TopKey(NamedTuple):
    """One of the most requested keys.

    Attributes:
        shard: The key's shard.
        rate: Requests a second for the key.
    """

    shard: int
    rate: float


@dataclass(frozen=True)
class Popularity:
    """Request rates of keys over all nodes that reported, in requests a second.

    Attributes:
        rate: Rate of all keys together.
        top: The most requested keys.
        tail: All other keys of all shards, in groups of the same rate.
        sampled_keys: Number of sampled keys from which the tail was estimated.
        jackknife_tails: Estimates of the tail, each with another group of the sampled keys left out.
    """

    rate: float
    top: list[TopKey]
    tail: list[KeyGroup]
    sampled_keys: int
    jackknife_tails: list[list[KeyGroup]]

    @property
    def is_known(self) -> bool:
        """Whether enough keys were counted for an estimate."""
        return self.rate > 0 and (
            self.sampled_keys >= MIN_KNOWN_KEYS or len(self.top) >= MIN_KNOWN_KEYS
        )

    def per_shard(self, shard_count: int) -> Popularity:
        """Returns the same popularity with the tail of one shard instead of all shards."""
        return replace(
            self,
            tail=_tail_of_one_shard(self.tail, shard_count),
            jackknife_tails=[
                _tail_of_one_shard(tail, shard_count) for tail in self.jackknife_tails
            ],
        )


def _tail_of_one_shard(tail: list[KeyGroup], shard_count: int) -> list[KeyGroup]:
    """Returns the keys of one shard, as keys are spread evenly over the shards."""
    return [KeyGroup(keys / shard_count, rate) for keys, rate in tail]


@dataclass(frozen=True)
class _SampleScale:
    """The totals to which a sample is scaled.

    Attributes:
        requests: Number of requests for all keys that are not among the most requested.
        span_s: Duration over which requests were counted.
    """

    requests: float
    span_s: float

    def rates(self, groups: list[KeyGroup], sampled_fraction: float) -> list[KeyGroup]:
        """Scales sampled keys and their counts to all keys and their rates, so that the total is right.

        The sample is off mostly because it contains too many or too few of the rare keys with large counts.
        The numbers of keys are therefore corrected in proportion to their counts.

        Args:
            groups: Sampled keys by count.
            sampled_fraction: Fraction of all keys that is sampled.

        Returns:
            Groups of keys with their rates in requests a second.
        """
        if self.requests <= 0:
            return []
        if not groups:
            # Only the number of requests is known: each is taken as the only one for its key.
            return [KeyGroup(self.requests, 1 / self.span_s)]
        first_moment = sum(keys * count for keys, count in groups) / sampled_fraction
        second_moment = (
            sum(keys * count * count for keys, count in groups) / sampled_fraction
        )
        slope = (self.requests - first_moment) / second_moment
        scaled = [
            (
                keys / sampled_fraction * max(MIN_SAMPLE_CORRECTION, 1 + slope * count),
                count,
            )
            for keys, count in groups
        ]
        # MIN_SAMPLE_CORRECTION may have left a difference to the total.
        final_factor = self.requests / sum(keys * count for keys, count in scaled)
        return [
            KeyGroup(keys * final_factor, count / self.span_s) for keys, count in scaled
        ]


def estimate_popularity(digest: KeyDigest, shard_count: int) -> SlicedWork[Popularity]:
    """Estimates the request rates of all keys from a digest.

    Args:
        digest: The counts of all nodes that reported.
        shard_count: Number of shards.

    Returns:
        The popularity; one without requests or keys if the digest has none.
    """
    if not digest.requests or digest.threshold <= 0:
        return Popularity(0.0, [], [], 0, [])
    span_s = digest.span_us / 1e6
    top = {
        position: count
        for position, count in digest.top.items()
        if count >= MIN_TOP_COUNT
    }
    scale = _SampleScale(max(0.0, digest.requests - sum(top.values())), span_s)
    sampled_fraction = digest.threshold / POSITION_COUNT
    sampled = [pair for pair in digest.counts.items() if pair[0] not in top]
    yield
    tail = yield from fit_mixture([count for _, count in sampled])
    jackknife = yield from _jackknife_groups(sampled)
    jackknife_fraction = sampled_fraction * (1 - 1 / JACKKNIFE_GROUPS)
    return Popularity(
        rate=digest.requests / span_s,
        top=[
            TopKey(shard_of(position, shard_count), count / span_s)
            for position, count in sorted(top.items())
        ],
        tail=scale.rates(tail, sampled_fraction),
        sampled_keys=len(sampled),
        jackknife_tails=[
            scale.rates(groups, jackknife_fraction) for groups in jackknife
        ],
    )


def _jackknife_groups(
    sampled: list[tuple[int, int]],
) -> SlicedWork[list[list[KeyGroup]]]:
    """Returns the sample's keys grouped by count, once for each group of keys that is left out."""
    if not sampled:
        return []
    tails = []
    for group in range(JACKKNIFE_GROUPS):
        yield
        counts = [
            count for position, count in sampled if position % JACKKNIFE_GROUPS != group
        ]
        tails.append(group_by_count(counts))
    return tails


def popularity_drift(before: KeyDigest, after: KeyDigest) -> float:
    """Returns how far popularity has drifted between two digests of the same sample, from 0 to 1.

    This is the fraction of the requests for the most requested keys that moved to other keys, less the
    difference that chance alone causes.
    """
    positions = set(before.top) | set(after.top)
    if not positions or not before.requests or not after.requests:
        return 0.0
    difference = chance = total = 0.0
    for position in positions:
        fraction_before = (
            before.top.get(position, before.top_floor / 2) / before.requests
        )
        fraction_after = after.top.get(position, after.top_floor / 2) / after.requests
        difference += abs(fraction_before - fraction_after)
        total += fraction_before + fraction_after
        chance += sqrt(
            CHANCE_VARIANCE_RATIO
            * (fraction_before / before.requests + fraction_after / after.requests)
        )
    return max(0.0, min(1.0, (difference - chance) / total)) if total else 0.0
