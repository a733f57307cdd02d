"""Mean round-trip time of each request class over the entire subset, in microseconds."""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.policy.statistics import (
    MEAN_PRIOR_SAMPLES,
    SUBSET_SMOOTHING,
    RunningMean,
)


class ClassLatency:
    """The mean round-trip time of each class.

    Until it is measured it is half of the time that a round trip may use up.

    Attributes:
        mean_rtt: Mean round-trip times by class, in microseconds.
    """

    def __init__(self, allowances: Sequence[int]) -> None:
        """Starts from the allowances.

        Args:
            allowances: By class, the round-trip time that may be used up, in microseconds.
        """
        self.mean_rtt = [allowance / 2 for allowance in allowances]
        self.running_means = [
            RunningMean(mean, MEAN_PRIOR_SAMPLES, SUBSET_SMOOTHING)
            for mean in self.mean_rtt
        ]

    def update_classes(
        self, allowances: Sequence[int], unchanged: Sequence[bool]
    ) -> None:
        """Applies changed classes; unchanged ones keep their measured mean.

        Args:
            allowances: By class, the round-trip time that may be used up, in microseconds.
            unchanged: By class, whether its index still stands for the same class.
        """
        for index, (allowance, is_unchanged) in enumerate(
            zip(allowances, unchanged, strict=True)
        ):
            if not is_unchanged:  # The slice replaces a class, or appends a new one.
                mean = allowance / 2
                running_mean = RunningMean(mean, MEAN_PRIOR_SAMPLES, SUBSET_SMOOTHING)
                self.running_means[index : index + 1] = [running_mean]
                self.mean_rtt[index : index + 1] = [mean]

    def add(self, class_index: int, latency: int) -> None:
        """Adds one round trip, in microseconds, to the mean of its class."""
        running_mean = self.running_means[class_index]
        running_mean.add(latency)
        self.mean_rtt[class_index] = running_mean.value
