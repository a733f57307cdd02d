"""Statistics for the policy's decisions: a percentile and a running mean."""

from __future__ import annotations

from math import ceil

# Number of samples that the initial value of a running mean counts for.
MEAN_PRIOR_SAMPLES = 3.0
# Weight of the newest sample in an average over one endpoint.
ENDPOINT_SMOOTHING = 0.1
# Weight of the newest sample in an average over the entire subset.
SUBSET_SMOOTHING = 0.02


def percentile(samples: list[float], fraction: float) -> float:
    """Returns the nearest-rank percentile of a non-empty list, which is sorted in place.

    Args:
        samples: The values; not empty.
        fraction: The percentile as a fraction, above 0 and up to 1.
    """
    samples.sort()
    return samples[ceil(len(samples) * fraction) - 1]


class RunningMean:
    """A running mean: the arithmetic mean of the first samples, and exponentially weighted later."""

    __slots__ = ("min_weight", "samples", "value")

    def __init__(self, value: float, prior_samples: float, min_weight: float) -> None:
        """Starts at `value`, as if `prior_samples` samples of that value had been added.

        Args:
            value: The initial value.
            prior_samples: Number of samples that the initial value counts for.
            min_weight: The weight of the newest sample once there are many samples.
        """
        self.value = value
        self.samples = prior_samples
        self.min_weight = min_weight

    def add(self, sample: float) -> None:
        """Adds one sample."""
        self.samples += 1
        self.value += max(self.min_weight, 1 / self.samples) * (sample - self.value)
