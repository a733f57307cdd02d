"""Counts of requests by key, of one node's windows or merged over several nodes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import nlargest, nsmallest

from loadbalancer.forecast.rendezvous import POSITION_COUNT
from loadbalancer.forecast.sliced_work import SlicedWork, run_to_end

# Most requested keys that are kept of a window. Up to twice as many are counted before the keys with lower
# counts are dropped.
MAX_TOP_KEYS = 256
SLICE_DIGESTS = 8  # digests merged in a slice


@dataclass(frozen=True)
class KeyDigest:
    """Counts of requests by key, of one node or of several together. Rates are counts over `span_us`.

    Attributes:
        span_us: Duration over which requests were counted, in microseconds.
        requests: Number of requests for all keys.
        threshold: Position below which all requested keys are in `counts`.
        counts: Requests for the sampled keys, by position.
        top: Requests for the most requested keys, by position.
        top_floor: Upper bound of the requests for a key that is not in `top`.
        hits: Recent answers that came from a cache.
        reported_answers: Recent answers that reported whether they came from a cache.
    """

    span_us: int = 1
    requests: int = 0
    threshold: int = POSITION_COUNT
    counts: dict[int, int] = field(default_factory=dict)
    top: dict[int, int] = field(default_factory=dict)
    top_floor: int = 0
    hits: int = 0
    reported_answers: int = 0

    @property
    def rate(self) -> float:
        """Requests a second for all keys."""
        return self.requests / self.span_us * 1e6

    @property
    def hit_ratio(self) -> float | None:
        """The recent cache hit ratio; None if no answer reported."""
        if not self.reported_answers:
            return None
        return self.hits / self.reported_answers

    def truncated(self, max_sampled: int, max_top: int = MAX_TOP_KEYS) -> KeyDigest:
        """Returns the same digest with fewer keys.

        Args:
            max_sampled: Number of sampled keys to keep, those with the lowest positions.
            max_top: Number of most requested keys to keep, those with the highest counts.
        """
        threshold, counts = self._truncated_sample(max_sampled)
        top_floor, top = self._truncated_top(max_top)
        return KeyDigest(
            span_us=self.span_us,
            requests=self.requests,
            threshold=threshold,
            counts=counts,
            top=top,
            top_floor=top_floor,
            hits=self.hits,
            reported_answers=self.reported_answers,
        )

    def _truncated_sample(self, max_sampled: int) -> tuple[int, dict[int, int]]:
        """Returns threshold and counts; the threshold falls to the first position left out."""
        if len(self.counts) <= max_sampled:
            return self.threshold, self.counts
        kept = nsmallest(max_sampled + 1, self.counts)
        threshold = kept.pop()
        return threshold, {position: self.counts[position] for position in kept}

    def _truncated_top(self, max_top: int) -> tuple[int, dict[int, int]]:
        """Returns floor and counts; the floor rises to the highest count left out."""
        if len(self.top) <= max_top:
            return self.top_floor, self.top
        ranked = nlargest(
            max_top + 1, self.top.items(), key=lambda pair: (pair[1], pair[0])
        )
        _, count = ranked.pop()
        return max(self.top_floor, count), dict(ranked)


def join_windows(digests: Sequence[KeyDigest]) -> KeyDigest:
    """Joins digests of one node over consecutive spans into one of the total span."""
    joined = merge(digests)
    return KeyDigest(
        span_us=sum(digest.span_us for digest in digests),
        requests=joined.requests,
        threshold=joined.threshold,
        counts=joined.counts,
        top=joined.top,
        top_floor=joined.top_floor,
        hits=joined.hits,
        reported_answers=joined.reported_answers,
    )


def merge(digests: Iterable[KeyDigest]) -> KeyDigest:
    """Merges digests of several nodes over one span, as `merge_in_slices` does, without a pause."""
    return run_to_end(merge_in_slices(digests))


def merge_in_slices(digests: Iterable[KeyDigest]) -> SlicedWork[KeyDigest]:
    """Merges digests of several nodes over one span; the result does not depend on their order.

    The lowest threshold applies to all digests. If a key is not among the most requested ones of a digest, it
    was requested there between 0 times and the digest's floor, so half of the floor is added. A key is
    covered by the sample only if the digests that have it among the most requested ones account for less
    than half of the requests.
    """
    digests = list(digests)
    hits = sum(digest.hits for digest in digests)
    reported_answers = sum(digest.reported_answers for digest in digests)
    digests = [digest for digest in digests if digest.requests]
    if not digests:
        return KeyDigest()
    merger = _Merger(min(digest.threshold for digest in digests))
    for index, digest in enumerate(digests):
        merger.add(digest)
        if index % SLICE_DIGESTS == SLICE_DIGESTS - 1:
            yield
    return KeyDigest(
        span_us=sum(digest.span_us for digest in digests) // len(digests),
        requests=merger.requests,
        threshold=merger.threshold,
        counts=merger.counts,
        top=merger.top_keys(),
        top_floor=merger.floors,
        hits=hits,
        reported_answers=reported_answers,
    )


class _Merger:
    """Sums of digests.

    Attributes:
        threshold: Positions below it are added to `counts`.
        requests: Number of requests for all keys.
        floors: Sum of the digests' floors.
        counts: Requests for the sampled keys, by position.
        top: Requests for the most requested keys, by position.
        top_floors: Sum of the floors of the digests that have a key in `top`, by position.
        top_requests: Sum of the requests of the digests that have a key in `top`, by position.
    """

    def __init__(self, threshold: int) -> None:
        self.threshold = threshold
        self.requests = 0
        self.floors = 0
        self.counts: dict[int, int] = {}
        self.top: dict[int, int] = {}
        self.top_floors: dict[int, int] = {}
        self.top_requests: dict[int, int] = {}

    def add(self, digest: KeyDigest) -> None:
        """Adds a digest."""
        self.requests += digest.requests
        self.floors += digest.top_floor
        counts, threshold = self.counts, self.threshold
        for position, count in digest.counts.items():
            if position < threshold:
                counts[position] = counts.get(position, 0) + count
        top, floors, requests = self.top, self.top_floors, self.top_requests
        for position, count in digest.top.items():
            top[position] = top.get(position, 0) + count
            floors[position] = floors.get(position, 0) + digest.top_floor
            requests[position] = requests.get(position, 0) + digest.requests

    def top_keys(self) -> dict[int, int]:
        """Returns estimated counts of the keys in `top` of digests with at least half of the requests."""
        return {
            position: count + (self.floors - self.top_floors[position]) // 2
            for position, count in self.top.items()
            if 2 * self.top_requests[position] >= self.requests
        }
