"""Estimates the distribution of request rates behind the counts of a sample.

The counts of one window are misleading: of two keys with the same rate, one may have been requested four
times and the other never, and keys without requests are missing altogether. The rates are therefore fitted
as a mixture of zero-truncated Poisson distributions by expectation maximisation (nonparametric maximum
likelihood; Laird 1978).
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, log, sqrt
from typing import NamedTuple

from loadbalancer.forecast.sliced_work import SlicedWork

# Requests; larger counts are not fitted, as they are close enough to the expected count.
MAX_FITTED_COUNT = 40
EM_STEPS = 60  # iterations of expectation maximisation
SLICE_EM_STEPS = 8  # iterations in a slice
RATE_GRID_RATIO = 2**0.75  # ratio between neighbouring rates of the grid
MIN_MEAN = 0.1  # expected count of the lowest rate of the grid, in requests
# Distance of the grid's highest mean from the largest fitted count, in standard deviations of that count.
MEAN_MARGIN_DEVIATIONS = 2
MIN_EXPECTED_KEYS = 0.01  # expected keys; rates with fewer are left out
TINY_PROBABILITY = 1e-300  # lower bound of a divisor


class KeyGroup(NamedTuple):
    """Keys of about the same popularity.

    Attributes:
        keys: Number of keys, which may be fractional where it is estimated.
        rate: Requests for each key, per second unless a function states that it is per counted window.
    """

    keys: float
    rate: float


class _CountLikelihood(NamedTuple):
    """The likelihood of one observed count.

    Attributes:
        occurrences: Number of keys with this count.
        probabilities: Probability of the count under each mean, given that the count is not 0.
    """

    occurrences: int
    probabilities: list[float]


def group_by_count(counts: Sequence[int]) -> list[KeyGroup]:
    """Groups keys with counts of about the same size; their mean count is the rate in the window."""
    bins: dict[int, tuple[int, int]] = {}
    for count in counts:
        step = int(log(count) / log(RATE_GRID_RATIO) + 0.5)
        keys, total = bins.get(step, (0, 0))
        bins[step] = keys + 1, total + count
    return [
        KeyGroup(float(keys), total / keys) for _, (keys, total) in sorted(bins.items())
    ]


def fit_mixture(counts: Sequence[int]) -> SlicedWork[list[KeyGroup]]:
    """Estimates the number of keys by expected count, including keys that were never requested.

    Args:
        counts: Numbers of requests for the keys that were requested.

    Returns:
        Groups of keys with their expected counts in the window.
    """
    occurrences_by_count: dict[int, int] = {}
    large: list[int] = []
    for count in counts:
        if count <= MAX_FITTED_COUNT:
            occurrences_by_count[count] = occurrences_by_count.get(count, 0) + 1
        else:
            large.append(count)
    if not occurrences_by_count:
        return group_by_count(large)
    means = _mean_grid(max(occurrences_by_count))
    weights = yield from _maximise_likelihood(
        _likelihoods(occurrences_by_count, means), len(means)
    )
    key_count = sum(occurrences_by_count.values())
    fitted = [
        KeyGroup(key_count * weight / (1 - exp(-mean)), mean)
        for weight, mean in zip(weights, means, strict=True)
        if key_count * weight > MIN_EXPECTED_KEYS
    ]
    return fitted + group_by_count(large)


def _mean_grid(largest_count: int) -> list[float]:
    """Returns the means of the mixture's components, in geometric progression."""
    means = [MIN_MEAN]
    while means[-1] < largest_count + MEAN_MARGIN_DEVIATIONS * sqrt(largest_count):
        means.append(means[-1] * RATE_GRID_RATIO)
    return means


def _likelihoods(
    occurrences_by_count: dict[int, int], means: list[float]
) -> list[_CountLikelihood]:
    """Returns the likelihoods of the observed counts, in ascending order."""
    likelihoods = []
    for count, occurrences in sorted(occurrences_by_count.items()):
        log_factorial = sum(log(i) for i in range(1, count + 1))
        probabilities = [
            exp(count * log(mean) - mean - log_factorial) / (1 - exp(-mean))
            for mean in means
        ]
        likelihoods.append(_CountLikelihood(occurrences, probabilities))
    return likelihoods


def _maximise_likelihood(
    likelihoods: list[_CountLikelihood], components: int
) -> SlicedWork[list[float]]:
    """Finds the components' weights by expectation maximisation, starting with equal weights."""
    key_count = sum(likelihood.occurrences for likelihood in likelihoods)
    weights = [1 / components] * components
    for step in range(EM_STEPS):
        updated = [0.0] * components
        for occurrences, probabilities in likelihoods:
            joint = [w * p for w, p in zip(weights, probabilities, strict=True)]
            factor = occurrences / max(sum(joint), TINY_PROBABILITY)
            updated = [u + j * factor for u, j in zip(updated, joint, strict=True)]
        weights = [weight / key_count for weight in updated]
        if step % SLICE_EM_STEPS == SLICE_EM_STEPS - 1:
            yield
    return weights
