"""Counts one node's requests by key, for a sample of keys and for the most requested keys.

The sample uses spatially hashed sampling with a fixed size (SHARDS, Waldspurger et al., FAST 2015): a key is
sampled if its position lies below a threshold, which falls when the sample is full. All nodes therefore
sample the same keys, and their counts can be added. In addition, the most requested keys are counted by a
count-min sketch (Cormode and Muthukrishnan 2005, with conservative update). A few keys receive a large
fraction of all requests; by the sample alone, each of them would either count a hundredfold or be missing.

There are two windows, the one that is being filled and the previous one, so that counts follow a drift and
always cover one complete window. The count of a sampled key is complete: within a window the threshold only
falls, so that a key that remains in the sample has been counted from the start of the window.
"""

from __future__ import annotations

from array import array
from heapq import heappop, heappush, nlargest

from loadbalancer.forecast.key_digest import MAX_TOP_KEYS, KeyDigest, join_windows
from loadbalancer.forecast.rendezvous import POSITION_COUNT

MAX_SAMPLED_KEYS = 2_048  # sampled keys of one window
# Periods per window for counting hits; the hit ratio covers the latest two of them.
HIT_PERIODS_PER_WINDOW = 5
# Bits of a position that index a row of the sketch; its two rows use different bits.
SKETCH_BITS = 13
SKETCH_MASK = (1 << SKETCH_BITS) - 1
SKETCH_COUNTER_BYTES = 4  # size of a counter of the sketch


class SampleWindow:
    """Counts of one window.

    Attributes:
        started_at: Start of the window by the node's clock (`Node.now`), in microseconds.
        requests: Number of requests for all keys.
        threshold: Keys at positions below it are sampled.
        counts: Requests for the sampled keys, by position.
        heap: Heap of the sampled positions, negated so that the highest position comes first.
        rows: The two rows of counters of the count-min sketch.
        top: Requests for the most requested keys, by position.
        top_floor: Upper bound of the requests for a key that is not in `top`.
    """

    __slots__ = (
        "counts",
        "heap",
        "requests",
        "rows",
        "started_at",
        "threshold",
        "top",
        "top_floor",
    )

    def __init__(self, started_at: int, threshold: int) -> None:
        self.started_at = started_at
        self.requests = 0
        self.threshold = threshold
        self.counts: dict[int, int] = {}
        self.heap: list[int] = []
        self.rows = (_empty_sketch_row(), _empty_sketch_row())
        self.top: dict[int, int] = {}
        self.top_floor = 0

    def prune_top(self) -> None:
        """Keeps only the most requested keys and raises the floor, which bounds the counts of the others."""
        kept = nlargest(
            MAX_TOP_KEYS, self.top.items(), key=lambda pair: (pair[1], pair[0])
        )
        self.top_floor = max(self.top_floor, kept[-1][1])
        self.top = dict(kept)


def _empty_sketch_row() -> array[int]:
    return array("I", bytes(SKETCH_COUNTER_BYTES << SKETCH_BITS))


class KeySample:
    """One node's counts of requests by key.

    Times are readings of the node's clock (`Node.now`), in microseconds. Memory is limited to 2 windows of
    MAX_SAMPLED_KEYS and 2 * MAX_TOP_KEYS keys, about 0.7 MB, whatever the number of keys.

    Attributes:
        window_us: Duration of a window.
        max_sampled: Largest number of sampled keys in a window.
        current: The window that is being filled.
        previous: The window before it, if there was one.
        hits: Answers that came from a cache, in the previous period and in the current one.
        reported_answers: Answers that reported whether they came from a cache, in the same two periods.
    """

    def __init__(
        self, window_us: int, now: int, max_sampled: int = MAX_SAMPLED_KEYS
    ) -> None:
        self.window_us = window_us
        self.max_sampled = max_sampled
        self.current = SampleWindow(now, POSITION_COUNT)
        self.previous: SampleWindow | None = None
        self._hit_period_at = now
        self.hits = [0, 0]
        self.reported_answers = [0, 0]

    def roll(self, now: int) -> bool:
        """Starts a new window or a new period for hits when the current one is over.

        To be called about once a second.

        Returns:
            Whether a new window was started.
        """
        if now - self._hit_period_at >= self.window_us // HIT_PERIODS_PER_WINDOW:
            self._hit_period_at = now
            self.hits = [self.hits[1], 0]
            self.reported_answers = [self.reported_answers[1], 0]
        if now - self.current.started_at < self.window_us:
            return False
        # The new threshold follows from the last window's keys and leaves capacity for half as many more, so
        # that it seldom has to fall.
        sampled_count = max(1, len(self.current.counts))
        threshold = min(
            POSITION_COUNT,
            self.current.threshold * max(1, self.max_sampled * 2 // 3) // sampled_count,
        )
        self.previous = self.current
        self.current = SampleWindow(now, max(1, threshold))
        return True

    def add(self, position: int) -> None:
        """Counts a request for the key at a position. Called on the request path."""
        window = self.current
        window.requests += 1
        if position < window.threshold:
            counts = window.counts
            if position in counts:
                counts[position] += 1
            else:
                counts[position] = 1
                heappush(window.heap, -position)
                if len(counts) > self.max_sampled:
                    window.threshold = -heappop(window.heap)
                    del counts[window.threshold]
        first_row, second_row = window.rows
        i, j = position & SKETCH_MASK, position >> SKETCH_BITS & SKETCH_MASK
        first_count, second_count = first_row[i], second_row[j]
        # The count is never too low; it is too high if other keys share both counters.
        count = (first_count if first_count < second_count else second_count) + 1
        if first_count < count:
            first_row[i] = count
        if second_count < count:
            second_row[j] = count
        if count > window.top_floor:
            window.top[position] = count
            if len(window.top) >= 2 * MAX_TOP_KEYS:
                window.prune_top()

    def add_cache_result(self, hit: bool) -> None:
        """Counts an answer that reported whether it came from a cache."""
        self.reported_answers[1] += 1
        self.hits[1] += hit

    def hit_ratio(self) -> float | None:
        """Returns the recent cache hit ratio; None if no answer reported one."""
        answers = sum(self.reported_answers)
        return sum(self.hits) / answers if answers else None

    def digest(self, now: int, max_sampled: int = MAX_SAMPLED_KEYS) -> KeyDigest:
        """Returns the counts of both windows.

        Args:
            now: The current time.
            max_sampled: Largest number of sampled keys to include.
        """
        digests = []
        if self.previous is not None:
            digests.append(self._digest_previous(self.previous))
        digests.append(self._digest_current(now))
        return join_windows(digests).truncated(max_sampled)

    def _digest_current(self, now: int) -> KeyDigest:
        window = self.current
        return KeyDigest(
            span_us=max(1, now - window.started_at),
            requests=window.requests,
            threshold=window.threshold,
            counts=window.counts,
            top=window.top,
            top_floor=window.top_floor,
            hits=sum(self.hits),
            reported_answers=sum(self.reported_answers),
        )

    def _digest_previous(self, window: SampleWindow) -> KeyDigest:
        return KeyDigest(
            span_us=max(1, self.current.started_at - window.started_at),
            requests=window.requests,
            threshold=window.threshold,
            counts=window.counts,
            top=window.top,
            top_floor=window.top_floor,
        )
