"""How long an answer will get, as far as that can be known while it is made."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import lru_cache

# How far the client's own estimate is off, as the standard deviation of its logarithm.
# Measured over 5,900 answers: docs/design/admission.md.
ESTIMATE_DEVIATION = 0.5
# Estimates are rounded to this many events, so that few distributions are computed.
ESTIMATE_STEP = 5
# Distributions that are kept: an entry for each rounded estimate of a few services.
CACHED_DISTRIBUTIONS = 512


@dataclass(frozen=True)
class AnswerLengths:
    """The distribution of an answer's length, in events."""

    longer_than: tuple[float, ...]
    """Probability by number of events that the answer has more than these."""

    @property
    def maximum(self) -> int:
        """Return the events of the longest answer."""
        return len(self.longer_than) - 1

    @property
    def mean(self) -> float:
        """Return the events that it has in the mean."""
        return sum(self.longer_than)

    def running_probability(self, events: int, ahead: int) -> float:
        """Return how likely an answer of this many events has `ahead` further ones."""
        return next(iter(self.running_probabilities(events, (ahead,))), 0.0)

    def running_probabilities(
        self, events: int, points: Iterable[int]
    ) -> Iterator[float]:
        """Yield how likely an answer of this many events still runs at each instant.

        The instants are in events ahead and grow. Ends where no answer gets so long.
        """
        longer_than, maximum = self.longer_than, self.maximum
        now = longer_than[min(events, maximum - 1)]
        for ahead in points:
            if events + ahead >= maximum or now <= 0:
                return
            yield longer_than[events + ahead] / now


def lengths_of(maximum_events: int, expected_events: int = 0) -> AnswerLengths:
    """Return the distribution for an answer, with the client's estimate if it gave one.

    Without one, each length up to the longest is equally likely.
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
