"""Recent answer times of each route, as a histogram whose counts decay.

It answers loads whose answer times change within a minute, on hosts that see less than
one request of a route a second: old answers lose their weight gradually, so that few
answers are enough for a percentile.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Collection
from dataclasses import dataclass, field

# Times up to this one share the first bucket, in seconds.
FIRST_BUCKET_SECONDS = 0.001
# Ratio of the bounds of a bucket: the largest error of a percentile.
BUCKET_RATIO = 1.1
# Times beyond the last bucket, over three minutes, are counted in it.
BUCKETS = 128
# Time in which an answer's weight halves, in seconds.
HALF_LIFE_SECONDS = 30.0
# Weight of the answers from which on a percentile is known.
MINIMUM_WEIGHT = 8.0
MEDIAN = 0.5


@dataclass
class _Histogram:
    weights: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    total: float = 0.0
    decayed_at: float = -math.inf

    def decay(self, now: float) -> None:
        elapsed = now - self.decayed_at
        if elapsed <= 0:
            return
        factor = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self.weights = [weight * factor for weight in self.weights]
        self.total *= factor
        self.decayed_at = now

    def add(self, seconds: float) -> None:
        self.weights[_bucket_of(seconds)] += 1.0
        self.total += 1.0

    def percentile(self, share: float) -> float:
        """Return the upper bound of the bucket that this share of answers reaches."""
        rest = share * self.total
        for number, weight in enumerate(self.weights):
            rest -= weight
            if weight and rest <= 0:
                return _upper_bound(number)
        return _upper_bound(BUCKETS - 1)


class AnswerTimes:
    """Answer times by route name; thread-safe, bounded by the routes in force."""

    def __init__(self) -> None:
        self._histogram_by_route: dict[str, _Histogram] = {}
        self._lock = threading.Lock()

    def note(self, route_name: str, seconds: float, now: float) -> None:
        """Record how long an answer took, or how long it was waited for in vain."""
        with self._lock:
            histogram = self._histogram_by_route.setdefault(route_name, _Histogram())
            histogram.decay(now)
            histogram.add(seconds)

    def percentile(self, route_name: str, share: float, now: float) -> float | None:
        """Return the time within which this share of answers came, None if unknown."""
        with self._lock:
            histogram = self._histogram_by_route.get(route_name)
            if histogram is None:
                return None
            histogram.decay(now)
            if histogram.total < MINIMUM_WEIGHT:
                return None
            return histogram.percentile(share)

    def median(self, route_name: str, now: float) -> float | None:
        """Return the time within which half of the answers came, None if unknown."""
        return self.percentile(route_name, MEDIAN, now)

    @property
    def route_names(self) -> set[str]:
        """Return the names of the routes with recorded answers."""
        with self._lock:
            return set(self._histogram_by_route)

    def keep_routes(self, route_names: Collection[str]) -> None:
        """Forget the routes that are not among these."""
        with self._lock:
            for name in self._histogram_by_route.keys() - set(route_names):
                del self._histogram_by_route[name]


def _bucket_of(seconds: float) -> int:
    if seconds <= FIRST_BUCKET_SECONDS:
        return 0
    number = math.ceil(math.log(seconds / FIRST_BUCKET_SECONDS, BUCKET_RATIO))
    return min(BUCKETS - 1, number)


def _upper_bound(number: int) -> float:
    return float(FIRST_BUCKET_SECONDS * BUCKET_RATIO**number)
