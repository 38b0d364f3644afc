"""The distribution of the final length of an answer that is still being decoded."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import lru_cache

# Error of the client's own estimate, as the standard deviation of its logarithm over
# 5,900 answers; see docs/design/admission.md.
ESTIMATE_DEVIATION = 0.5
# Estimates are rounded to multiples of this many events, so that few distributions are
# computed.
ESTIMATE_STEP = 5
# Size of the cache of distributions: an entry for each rounded estimate of a few
# services.
CACHED_DISTRIBUTIONS = 512


@dataclass(frozen=True)
class AnswerLengths:
    """The distribution of an answer's length, in events."""

    longer_than: tuple[float, ...]
    """Probability that the answer has more than n events, by n."""

    @property
    def maximum(self) -> int:
        """Return the maximum number of events."""
        return len(self.longer_than) - 1

    @property
    def mean(self) -> float:
        """Return the mean number of events."""
        return sum(self.longer_than)

    def running_probability(self, events: int, ahead: int) -> float:
        """Return how likely an answer of this many events lasts beyond `ahead` more."""
        return next(iter(self.running_probabilities(events, (ahead,))), 0.0)

    def running_probabilities(
        self, events: int, points: Iterable[int]
    ) -> Iterator[float]:
        """Yield how likely an answer of this many events still runs at each point.

        The points are counted in events ahead, in ascending order. The iteration ends
        at the point that exceeds the maximum length.
        """
        longer_than, maximum = self.longer_than, self.maximum
        now = longer_than[min(events, maximum - 1)]
        for ahead in points:
            if events + ahead >= maximum or now <= 0:
                return
            yield longer_than[events + ahead] / now


def lengths_of(maximum_events: int, expected_events: int = 0) -> AnswerLengths:
    """Return the distribution for an answer, using the client's estimate if given.

    Without an estimate, all lengths up to the maximum are equally likely.
    """
    rounded = ESTIMATE_STEP * round(expected_events / ESTIMATE_STEP)
    if expected_events > 0:
        rounded = max(ESTIMATE_STEP, rounded)
    return _lengths(max(1, maximum_events), rounded)


@lru_cache(maxsize=CACHED_DISTRIBUTIONS)
def _lengths(maximum_events: int, expected_events: int) -> AnswerLengths:
    weights = [
        _weight(length, expected_events) for length in range(1, maximum_events + 1)
    ]
    left = total = sum(weights)
    longer_than = [1.0]
    for weight in weights:
        left -= weight
        longer_than.append(max(0.0, left / total))
    longer_than[-1] = 0.0
    return AnswerLengths(tuple(longer_than))


def _weight(length: int, expected_events: int) -> float:
    if not expected_events:
        return 1.0
    deviation = math.log(expected_events / length) / ESTIMATE_DEVIATION
    return math.exp(-deviation * deviation / 2)
