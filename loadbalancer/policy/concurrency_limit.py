"""Adaptive concurrency limit: how many calls one instance may have in flight over its entire subset.

This is a gradient controller, modelled on Envoy's adaptive concurrency filter. It measures the lowest
round-trip time (min RTT) with few calls in flight. At the end of each sampling window it then scales the
limit by the ratio of the target round-trip time to the measured one. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt
from random import Random

from loadbalancer.policy.api import Settings
from loadbalancer.policy.statistics import percentile

WINDOW_US = 100_000  # Minimum length of a sampling window.
WINDOW_FULL_SAMPLES = 80  # Samples that close a window of the minimum length.
WINDOW_STRETCH_FACTOR = 10  # Multiple of WINDOW_US that closes it with fewer samples.
WINDOW_FULL_WEIGHT_SAMPLES = 8  # With fewer, the limit changes proportionally less.
SAMPLE_PERCENTILE = 0.9  # A fraction; of the samples of a window or a measurement.
MIN_GRADIENT, MAX_GRADIENT = 0.5, 2.0  # Bounds of a window's factor on the limit.

# Calls per member: the limit during a measurement and, over all instances together, the floor.
MIN_LIMIT = 3
MEASUREMENT_INTERVAL_US = 60_000_000  # Between two measurements of the min RTT.
INTERVAL_JITTER_RATIO = 0.1  # Largest random extension of the interval, as a fraction.
MEASUREMENT_CALLS = 50  # A measurement with fewer waits beyond its minimum time.
WINDOWS_AT_FLOOR = 5  # Consecutive windows at the floor that start a measurement.

# The target round trip exceeds the min RTT by at least this fraction of it, within MAX_TARGET_RATIO.
BUFFER_RATIO = 0.25
ALLOWANCE_RATIO = 0.5  # Fraction of the latency objective that a round trip may use up.
MAX_TARGET_RATIO = 0.75  # Upper bound of the target, as a fraction of the objective.

OVERLOAD_FAILURE_RATIO = 0.15  # Above this fraction, lost calls count as overload.
LOSS_TOLERATED_RATIO = 0.05  # Lost fraction above which fewer calls are kept in flight.

IN_FLIGHT_SMOOTHING_US = 1_000_000  # Longest averaging period of the calls in flight.
USUAL_SMOOTHING_US = 3_000_000  # Smoothing period of the usual calls in flight.
RAMP_ROUND_TRIPS = 2  # Smoothing period after a start instead, in mean round trips.
USUAL_LOST_FADE_US = 12_000_000  # Slowest fade to 0 of the usual number under loss.
USUAL_LATE_FADE_US = 4_000_000  # Its fade while latency is above the target.
# Fraction of the last good usual number that remains where calls are late but not lost.
USUAL_LATE_FLOOR_RATIO = 0.5
MAX_USUAL_RATIO = 2.0  # Upper bound of the limit, as a multiple of the usual number.


def round_trip_allowances(settings: Settings) -> list[int]:
    """Returns, by class, the round-trip time that this tier may use up, in microseconds.

    It is a fraction of the class's latency objective, which is less the further down the tier is.
    """
    allowed_fraction = (
        ALLOWANCE_RATIO * (settings.tiers - settings.tier) / settings.tiers
    )
    return [
        max(1, int(request_class.latency_objective * allowed_fraction))
        for request_class in settings.classes
    ]


class ConcurrencyLimit:
    """Limits this instance's calls in flight by the measured latency.

    A sample is evaluated relative to its class's target round trip, so a shift in the mix of classes does
    not look like overload. The target is `min_rtt * (1 + BUFFER_RATIO)`, or the class's allowance if that
    is higher, because an answer within the latency objective has its full value. The target never exceeds
    MAX_TARGET_RATIO of the latency objective.
    """

    def __init__(
        self, allowances: Sequence[int], max_in_flight: int, rng: Random, now: int
    ) -> None:
        """Starts with a measurement of the min RTT.

        Args:
            allowances: By class, the round-trip time that may be used up, in microseconds.
            max_in_flight: Upper bound of the calls in flight, whatever latency is measured.
            rng: Source of the random jitter between measurements.
            now: The current time in microseconds.
        """
        self.allowances = allowances
        self.min_rtt = [0.0] * len(allowances)
        self.target_rtt = [float(allowance) for allowance in allowances]
        self.floor = self.measurement_limit = self.limit = float(MIN_LIMIT)
        self.warm_members = self.instances_per_endpoint = self.sharing_instances = 1.0
        self.max_in_flight = max_in_flight
        self.in_flight = self.in_flight_sum = self.latency_sum = 0
        # The smoothed calls in flight are what the limit is compared with.
        self.smoothed_in_flight, self.smoothed_at = 0.0, now
        # Every window since the start was within the target, with at least half of the limit in flight.
        self.ramping = True
        self.lost_ratio = 0.0  # Smoothed fraction of calls that ended unanswered.
        # Smoothed calls in flight while latency is within the target.
        self.usual_in_flight = 0.0
        self.last_good_in_flight = 0.0  # The same at the last window within the target.
        self.samples: list[float] = []
        self.answered_samples: list[float] = []
        self.window_start = now
        # Round trips of the last window relative to the target, and the resulting factor.
        self.sample_rtt_ratio, self.gradient = 0.0, 1.0
        self.windows_at_floor = 0
        self.rng, self.measurements = rng, 0
        self.next_measurement = now
        self.capacity = 0.0  # Of the fleet, as a number of warm endpoints.
        self.start_measurement(now)

    # ---- settings and endpoints ----

    def update_classes(
        self, allowances: Sequence[int], unchanged: Sequence[bool], max_in_flight: int
    ) -> None:
        """Applies changed request classes; the limit stays as it is.

        Args:
            allowances: By class, the round-trip time that may be used up, in microseconds.
            unchanged: By class, whether its index still stands for the same class.
            max_in_flight: Upper bound of the calls in flight, whatever latency is measured.
        """
        for index, (allowance, is_unchanged) in enumerate(
            zip(allowances, unchanged, strict=True)
        ):
            if not is_unchanged:  # The slice replaces a class, or appends a new one.
                self.min_rtt[index : index + 1] = [0.0]
                self.target_rtt[index : index + 1] = [float(allowance)]
                self.measured_rtts[index : index + 1] = [[]]
        self.allowances, self.max_in_flight = allowances, max_in_flight

    def resize(self, warm_members: float, instances_per_endpoint: float) -> None:
        """Adapts the bounds and the limit to a changed subset.

        Args:
            warm_members: The subset's size as a number of warm endpoints.
            instances_per_endpoint: The mean number of instances that share an endpoint.
        """
        self.warm_members = warm_members
        self.instances_per_endpoint = instances_per_endpoint
        self.update_shared_bounds()
        has_min_rtt = self.measurements > 0
        self.limit = max(
            self.limit, self.floor if has_min_rtt else 2 * self.measurement_limit
        )

    def rescale(self, capacity: float) -> None:
        """Scales the limit and the usual numbers with the capacity of the entire endpoint list.

        If most of the fleet is replaced at once, the few warm endpoints would be overloaded and slow long
        before a window shows it.

        Args:
            capacity: The capacity of all listed endpoints, as a number of warm endpoints.
        """
        # At least 1: an empty list may be an error, and the limit must recover when endpoints return.
        capacity = max(1.0, capacity)
        ratio = capacity / self.capacity if self.capacity else 1.0
        self.capacity = capacity
        self.limit *= ratio
        self.usual_in_flight *= ratio
        self.last_good_in_flight *= ratio

    def update_shared_bounds(self) -> None:
        """Recomputes the floor and the measurement limit from the number of instances per endpoint.

        The more calls this instance has in flight itself, the fewer instances count as sharing. The floor
        is divided among all instances. Where each instance has hardly a call in flight, the headroom is
        divided among them too, and the measurement limit is divided by the square root of their number,
        because an idle member can take one more call without queueing.
        """
        self.sharing_instances = max(
            1.0, self.instances_per_endpoint / (1 + self.usual_in_flight)
        )
        self.floor = (
            MIN_LIMIT * self.warm_members / max(1.0, self.instances_per_endpoint)
        )
        self.measurement_limit = max(
            float(MIN_LIMIT),
            MIN_LIMIT * self.warm_members / sqrt(self.sharing_instances),
        )

    # ---- admission ----

    def headroom(self) -> float:
        """Returns this instance's headroom, in calls.

        It is the square root of the limits of all sharing instances together, divided among them.
        """
        return sqrt(self.limit / self.sharing_instances)

    def count_calls(self, now: int, change: int = 0) -> None:
        """Counts calls that start or end and updates the smoothed number of calls in flight.

        The limit is compared with the smoothed number. For an instance that has its endpoints to itself
        this is the number of calls in flight. Where many instances share the endpoints it is the mean over
        up to IN_FLIGHT_SMOOTHING_US: an instance with less than one call in flight on average has two at
        times by chance alone, and rejecting the second one would relieve no endpoint.

        Args:
            now: The current time in microseconds.
            change: Number of calls that start; negative for calls that end.
        """
        smoothing_us = (
            IN_FLIGHT_SMOOTHING_US
            * (1 - 1 / self.sharing_instances)
            * min(1.0, (MIN_LIMIT / self.limit) ** 2)
        )
        weight = (now - self.smoothed_at) / smoothing_us if smoothing_us > 0 else 1.0
        self.smoothed_in_flight += min(1.0, weight) * (
            self.in_flight - self.smoothed_in_flight
        )
        self.smoothed_at = now
        self.in_flight += change
        if smoothing_us == 0:
            self.smoothed_in_flight = float(self.in_flight)

    def admits(self, now: int, reserved_headrooms: float) -> bool:
        """Whether a call may start now.

        Args:
            now: The current time in microseconds.
            reserved_headrooms: Multiple of the headroom that is left free below the limit for other calls.
        """
        self.count_calls(now)
        reserved = reserved_headrooms * self.headroom()
        allowed = self.measurement_allowed() if self.measuring else self.limit
        if self.measuring:
            # With few members the headroom exceeds the measurement limit. Classes of lower priority would
            # be rejected with nothing in flight, and the measurement would never end if only they arrived.
            reserved = min(reserved, allowed / 2)
        return self.smoothed_in_flight + reserved < allowed

    def allowed(self) -> float:
        """Returns the limit in force, in calls: a lower one may apply during a measurement."""
        return self.measurement_allowed() if self.measuring else self.limit

    def measurement_allowed(self) -> float:
        """Returns the limit during a measurement of the min RTT, in calls."""
        return min(self.limit, self.measurement_limit)

    # ---- samples ----

    def sample(
        self, now: int, class_index: int, latency: int, answered: bool = True
    ) -> None:
        """Adds the latency of a call to the measurement or to the current window.

        Args:
            now: The current time in microseconds.
            class_index: The call's request class.
            latency: The call's round-trip time, or its timeout if it timed out, in microseconds.
            answered: Whether the call was answered.
        """
        if self.measuring:
            self.measured_rtts[class_index].append(latency)
            self.calls_to_measure -= 1
            # A measurement that ended as soon as it had enough answers would sample only the short calls.
            grace = (
                0
                if self.calls_to_measure <= 0
                else 2 * WINDOW_US * WINDOW_STRETCH_FACTOR
            )
            if now >= self.measuring_until + grace:
                self.end_measurement(now)
            return
        self.samples.append(latency / self.target_rtt[class_index])
        if answered:
            self.answered_samples.append(self.samples[-1])
        self.in_flight_sum += self.in_flight
        self.latency_sum += latency
        self.close_window(now)

    def count_failure(self, now: int, class_index: int) -> None:
        """Counts a failed call while many calls of the subset fail.

        It counts as twice the target round trip, which means overload. It is no sample of the min RTT.

        Args:
            now: The current time in microseconds.
            class_index: The call's request class.
        """
        if not self.measuring:
            latency = int(2 * self.target_rtt[class_index])
            self.sample(now, class_index, latency, False)
        elif now >= self.measuring_until:
            self.end_measurement(now)

    # ---- measurement of the min RTT ----

    def start_measurement(self, now: int) -> None:
        """Starts a measurement of the min RTT, with few calls in flight."""
        self.measuring = True
        self.measured_rtts: list[list[float]] = [[] for _ in self.allowances]
        self.calls_to_measure = MEASUREMENT_CALLS
        self.measuring_until = now + WINDOW_US * WINDOW_STRETCH_FACTOR
        self.windows_at_floor = 0

    def end_measurement(self, now: int) -> None:
        """Ends the measurement, and sets the min RTT and the target of each class with enough samples."""
        for index, samples in enumerate(self.measured_rtts):
            if len(samples) >= MIN_LIMIT:
                self.set_min_rtt(index, percentile(samples, SAMPLE_PERCENTILE))
        self.measuring = False
        self.measurements += 1
        jitter = 1 + INTERVAL_JITTER_RATIO * self.rng.random()
        self.next_measurement = now + int(MEASUREMENT_INTERVAL_US * jitter)
        self.samples, self.answered_samples = [], []
        self.in_flight_sum = self.latency_sum = 0
        self.window_start = now

    def set_min_rtt(self, class_index: int, min_rtt: float) -> None:
        """Sets a class's min RTT and target, in microseconds.

        The target is bounded because a min RTT that was measured under load would let queues grow until
        answers exceed the latency objective.
        """
        allowance = self.allowances[class_index]
        max_target = MAX_TARGET_RATIO / ALLOWANCE_RATIO * allowance
        self.min_rtt[class_index] = min_rtt
        self.target_rtt[class_index] = min(
            max(min_rtt * (1 + BUFFER_RATIO), allowance), max_target
        )

    # ---- windows ----

    def close_window(self, now: int) -> None:
        """Closes the window if it is long enough and holds enough samples, and adapts the limit.

        WINDOWS_AT_FLOOR such windows at the floor, or the end of the interval, start a measurement.
        """
        age = now - self.window_start
        count = len(self.samples)
        if age < WINDOW_US or count == 0:
            return
        if count < WINDOW_FULL_SAMPLES and age < WINDOW_US * WINDOW_STRETCH_FACTOR:
            return
        self.sample_rtt_ratio = self.window_rtt_ratio()
        self.samples, self.answered_samples = [], []
        self.window_start = now
        inverse = 1.0 / max(self.sample_rtt_ratio, 1e-9)
        self.gradient = min(MAX_GRADIENT, max(MIN_GRADIENT, inverse))
        limit = self.gradient * self.limit + self.headroom()
        # With little traffic the percentile of a window depends on a single call and could halve the limit.
        sample_weight = min(1.0, count / WINDOW_FULL_WEIGHT_SAMPLES)
        limit = self.limit + sample_weight * (limit - self.limit)
        self.update_usual(age, count)
        self.update_shared_bounds()
        limit = min(limit, self.upper_bound(), self.max_in_flight)
        self.fade_usual(age, count)
        self.limit = max(limit, self.lower_bound())
        # Only windows at the floor count. In any overload the limit falls to the usual number, and a
        # measurement every few seconds would make a busy instance reject nearly everything.
        at_floor = self.limit <= self.floor
        self.windows_at_floor = self.windows_at_floor + 1 if at_floor else 0
        if self.windows_at_floor >= WINDOWS_AT_FLOOR or now >= self.next_measurement:
            self.start_measurement(now)

    def window_rtt_ratio(self) -> float:
        """Returns the percentile of the window's round trips, relative to the target.

        A few calls that time out on a silent or broken connection do not indicate load, yet they determine
        the percentile. While such calls are few and the answered calls are within the target, only the
        answered calls count.
        """
        count = len(self.samples)
        ratio = percentile(self.samples, SAMPLE_PERCENTILE)
        if count - len(self.answered_samples) <= OVERLOAD_FAILURE_RATIO * count:
            answered = percentile(self.answered_samples, SAMPLE_PERCENTILE)
            if answered <= 1:
                return answered
        return ratio

    def update_usual(self, age: int, count: int) -> None:
        """Updates the usual number of calls in flight while latency is within the target.

        The usual number starts at 0. Until the first window that is above the target, or in which the calls
        in flight stay below half of the limit, it follows within RAMP_ROUND_TRIPS. Otherwise an instance that
        starts with full traffic would reject half of it.

        Args:
            age: Length of the window in microseconds.
            count: Number of samples in the window.
        """
        mean_in_flight = self.in_flight_sum / count
        smoothing_us = USUAL_SMOOTHING_US
        if self.sample_rtt_ratio > 1:
            self.ramping = False
        elif self.ramping:
            smoothing_us = min(
                smoothing_us, int(RAMP_ROUND_TRIPS * self.latency_sum / count)
            )
            self.ramping = mean_in_flight >= 0.5 * self.limit
        self.in_flight_sum = self.latency_sum = 0
        near_limit = mean_in_flight >= 0.8 * self.limit
        if self.sample_rtt_ratio <= 1 and (
            mean_in_flight > self.usual_in_flight or not near_limit
        ):
            weight = min(1.0, age / max(smoothing_us, 1))
            self.usual_in_flight += weight * (mean_in_flight - self.usual_in_flight)

    def upper_bound(self) -> float:
        """Returns the upper bound of the limit, in calls.

        Latency says nothing about a limit that calls never reach: in quiet times the limit would grow
        without bound, and a burst would not be limited at all. So the limit stays near twice the usual
        number. The measurement limit is a bound only until the first measurement has ended: one instance
        may fill its members without harm, but many instances that each did so would overload them.
        """
        return max(
            self.floor if self.measurements else self.measurement_limit,
            MAX_USUAL_RATIO * self.usual_in_flight + MIN_LIMIT,
        )

    def lower_bound(self) -> float:
        """Returns the lower bound of the limit, in calls.

        It is the usual number, which fades while latency is above the target and is reduced further where
        too many calls are lost. When the entire fleet is slow at once, no lower limit makes it faster, and
        the gradient alone would lower the limit until the fleet serves hardly any call.
        """
        answered_factor = (
            (1 - self.lost_ratio) ** 2 if self.exceeds_tolerated_loss() else 1.0
        )
        return max(self.floor, self.usual_in_flight * answered_factor)

    def exceeds_tolerated_loss(self) -> bool:
        """Whether the fraction of calls that end without an answer is above LOSS_TOLERATED_RATIO."""
        return self.lost_ratio > LOSS_TOLERATED_RATIO

    def fade_usual(self, age: int, count: int) -> None:
        """Reduces the usual number while latency is above the target, to relieve overloaded endpoints.

        At their previous number of calls they would stay overloaded and slow. Where calls are late but not
        lost, half of the last good number remains, and a window with few samples counts in proportion. Where
        too many are lost, the usual number fades at least as fast as over USUAL_LOST_FADE_US.

        Args:
            age: Length of the window in microseconds.
            count: Number of samples in the window.
        """
        if self.sample_rtt_ratio <= 1:
            self.last_good_in_flight = self.usual_in_flight
            return
        sample_weight = min(1.0, count / WINDOW_FULL_SAMPLES)
        late_fraction = min(1.0, age / USUAL_LATE_FADE_US * sample_weight)
        lost_fraction = (
            min(1.0, age / USUAL_LOST_FADE_US) if self.exceeds_tolerated_loss() else 0.0
        )
        minimum = 0.0
        if lost_fraction == 0:
            minimum = min(
                self.usual_in_flight, USUAL_LATE_FLOOR_RATIO * self.last_good_in_flight
            )
        faded = self.usual_in_flight * (1 - max(late_fraction, lost_fraction))
        self.usual_in_flight = max(minimum, faded)
