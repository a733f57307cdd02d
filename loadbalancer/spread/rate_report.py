"""A node's report of its traffic: its request rate in coarse steps, and which servers it uses.

The rate is smoothed over `SMOOTHING_US` and reported in steps of an eighth of an octave (9 percent). A new
rate is reported only if it differs from the last report by more than one step, and by more than chance can
explain for the number of requests that were measured.

Pure: no I/O, no clock, no randomness.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import exp, log2, sqrt

KIND = "rate"  # kind of the records that carry a report
STEPS_PER_OCTAVE = 8
# Rate code of one request a second; code 0 stands for no requests.
ONE_PER_SECOND_CODE = 64
MAX_CODE = 255  # largest rate code that fits into the record
UNREPORTED_CODE = -1  # no rate has been reported yet
SMOOTHING_US = 10_000_000  # time constant over which the rate is smoothed
# No rate is reported before it has been measured for this time.
MIN_MEASURED_US = 2_000_000
# A change within this number of standard deviations is attributed to chance.
CHANCE_DEVIATIONS = 2.0
MAX_SIZE = 0xFFFF  # largest subset size, in servers, that fits into the record
BODY_FORMAT = struct.Struct(">BBHII")  # version, rate code, size, index, count
VERSION = 1  # format version of a record's body


@dataclass(frozen=True, slots=True)
class RateReport:
    """One node's request rate, and the parameters of its subset for `policy.subset.subset_slice`.

    Attributes:
        rate: Requests a second.
        size: Number of servers that the node wants in its subset.
        index: The node's ring position, from 0.
        count: Number of positions in the ring.

    Raises:
        ValueError: `index` is not in [0, count), `size` is below 1, or `rate` is negative.
    """

    rate: float
    size: int
    index: int
    count: int

    def __post_init__(self) -> None:
        if not 0 <= self.index < self.count or self.size < 1 or self.rate < 0:
            raise ValueError(
                "a rate report needs 0 <= index < count, size >= 1 and rate >= 0"
            )


def code_of(rate: float) -> int:
    """Returns the code of a rate: 1 to 255 for 1/235 to 15 million requests a second, 0 for less."""
    if not rate > 0:  # also false for NaN
        return 0
    code = round(ONE_PER_SECOND_CODE + STEPS_PER_OCTAVE * log2(rate))
    return max(0, min(MAX_CODE, code))


def rate_of(code: int) -> float:
    """Returns the rate that a code stands for, in requests a second."""
    return 2.0 ** ((code - ONE_PER_SECOND_CODE) / STEPS_PER_OCTAVE) if code else 0.0


def encode(code: int, size: int, index: int, count: int) -> bytes:
    """Encodes a record's body, of 12 bytes; a size above `MAX_SIZE` is reduced to it.

    Args:
        code: Rate code.
        size: Number of servers that the node wants in its subset.
        index: The node's ring position, from 0.
        count: Number of positions in the ring.
    """
    return BODY_FORMAT.pack(VERSION, code, min(size, MAX_SIZE), index, count)


def decode(body: bytes) -> RateReport:
    """Decodes a record's body.

    Raises:
        ValueError: The body has another length or version, or values that no report can have.
    """
    try:
        version, code, size, index, count = BODY_FORMAT.unpack(body)
    except struct.error as error:
        raise ValueError(str(error)) from None
    if version != VERSION:
        raise ValueError(f"unsupported version of a rate report: {version}")
    return RateReport(rate_of(code), size, index, count)


class RateMeter:
    """Measures this node's request rate. Times are monotonic microseconds.

    Attributes:
        started_at: When the measurement started.
        updated_at: Time of the last update.
        total: Number of requests until `updated_at`.
        mean: Smoothed requests a second, as if there had been no requests before the start.
        code: The last reported rate code; `UNREPORTED_CODE` before the first report.
    """

    def __init__(self, now: int, total: int) -> None:
        """Starts the measurement at the time `now`, after `total` requests."""
        self.started_at = self.updated_at = now
        self.total = total
        self.mean = 0.0
        self.code = UNREPORTED_CODE

    def update(self, now: int, total: int) -> int:
        """Updates the rate with the total number of requests until now.

        Args:
            now: Monotonic microseconds.
            total: Total number of requests so far.

        Returns:
            The rate code to report; `UNREPORTED_CODE` until `MIN_MEASURED_US` has passed.
        """
        elapsed_us = now - self.updated_at
        if elapsed_us > 0:
            gain = 1 - exp(-elapsed_us / SMOOTHING_US)
            self.mean += gain * (
                max(0, total - self.total) * 1e6 / elapsed_us - self.mean
            )
            self.updated_at, self.total = now, total
        measured_us = now - self.started_at
        if measured_us < MIN_MEASURED_US:
            return self.code
        rate = self.mean / (1 - exp(-measured_us / SMOOTHING_US))
        if self.code < 0 or self._has_changed(rate, measured_us):
            self.code = code_of(rate)
        return self.code

    def _has_changed(self, rate: float, measured_us: int) -> bool:
        """Returns whether a rate differs from the reported one by more than one step and more than chance."""
        reported_rate = rate_of(self.code) if self.code > 0 else 0.0
        # An exponential mean covers as many requests as a plain mean over twice its time constant.
        window_s = min(2 * SMOOTHING_US, measured_us) / 1e6
        chance_deviation = CHANCE_DEVIATIONS * sqrt(max(rate, reported_rate) / window_s)
        step = (2 ** (1 / STEPS_PER_OCTAVE) - 1) * reported_rate
        return abs(rate - reported_rate) > max(step, chance_deviation)
