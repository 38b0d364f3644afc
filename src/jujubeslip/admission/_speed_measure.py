"""The speed of one start of an engine, from what it is observed to do.

Answers the load of engines that differ in speed, are slowed for parts of a second, or
turn several times slower for seconds. A long average tells lasting differences from
short ones; a short average replaces it once the engine has clearly changed. Uses no
clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Time constants of the two averages, in seconds of observed work. The long one spans
# several brief slowdowns; the short one shows a change within a second or two.
LONG_AVERAGE_SECONDS = 5.0
SHORT_AVERAGE_SECONDS = 1.0
# The short average replaces the long one if it is this many times slower or faster. An
# engine that is slowed to two fifths for 0.6 s stays within both factors. The long one
# itself rises soon after a recovery, which leaves a smaller difference.
SLOWED_FACTOR, RECOVERED_FACTOR = 2.0, 1.5
# Time for which a new start counts as having run at the usual speed, in seconds, so
# that a slowdown in its first moments does not decide; and after how much observed time
# its speed is known.
ASSUMED_SECONDS, KNOWN_AFTER_SECONDS = 0.5, 0.5
# Observed time after which a brief slowdown no longer dominates the speed, in seconds.
SETTLED_AFTER_SECONDS = 3.0
# An observation that is this many times as fast as expected is a reporter's error.
IMPLAUSIBLE_FACTOR = 10.0
# Longest time that one observation counts for, in seconds: one slow answer, or one
# reporter that was paused, does not hide what the engine did before.
MAXIMUM_OBSERVED_SECONDS = 2.0


@dataclass(frozen=True)
class EngineSpeed:
    """The measured speed of an engine, relative to others of its service."""

    factor: float
    """Speed as a multiple of the median engine's; 1 if it is unknown."""
    measured_at: float | None = None
    """Time of the last observation, by the steady clock; None if it is unknown."""

    def age(self, now: float) -> float:
        """Return how old the measurement is in seconds; infinite if it is unknown."""
        return (
            math.inf if self.measured_at is None else max(0.0, now - self.measured_at)
        )


UNKNOWN_SPEED = EngineSpeed(1.0)


@dataclass
class _DecayedRatio:
    """Expected over observed seconds, as sums that decay with the observed time."""

    time_constant: float
    expected: float = ASSUMED_SECONDS
    observed: float = ASSUMED_SECONDS

    def add(self, expected: float, observed: float) -> None:
        kept = math.exp(-observed / self.time_constant)
        self.expected = kept * self.expected + expected
        self.observed = kept * self.observed + observed

    @property
    def ratio(self) -> float:
        return self.expected / self.observed

    def copy_ratio_of(self, other: _DecayedRatio) -> None:
        self.expected, self.observed = other.expected, other.observed


class SpeedMeasure:
    """Measures the speed of one start of an engine."""

    def __init__(self) -> None:
        self.measured_at: float | None = None
        """Time of the last observation, by the steady clock; None before any."""
        self._observed_seconds = 0.0
        self._long = _DecayedRatio(LONG_AVERAGE_SECONDS)
        self._short = _DecayedRatio(SHORT_AVERAGE_SECONDS)

    @property
    def is_known(self) -> bool:
        """Return whether the engine was observed for long enough."""
        return self._observed_seconds >= KNOWN_AFTER_SECONDS

    @property
    def is_settled(self) -> bool:
        """Return whether a difference to other engines is more than a brief one."""
        return self._observed_seconds >= SETTLED_AFTER_SECONDS

    @property
    def ratio(self) -> float:
        """Return the expected over the observed time of its work; 1 while unknown."""
        return self._long.ratio if self.is_known else 1.0

    def observe(self, expected: float, observed: float, now: float) -> bool:
        """Note that work took `observed` seconds where `expected` were usual.

        Returns whether the observation was plausible; others are ignored.
        """
        if not (0 < expected < math.inf and 0 < observed < math.inf):
            return False
        if expected > IMPLAUSIBLE_FACTOR * observed * max(1.0, self.ratio):
            return False
        if self.measured_at is not None and now < self.measured_at:
            return False
        if observed > MAXIMUM_OBSERVED_SECONDS:
            expected *= MAXIMUM_OBSERVED_SECONDS / observed
            observed = MAXIMUM_OBSERVED_SECONDS
        self.measured_at = now
        self._observed_seconds += observed
        self._long.add(expected, observed)
        self._short.add(expected, observed)
        change = self._short.ratio / self._long.ratio
        if not 1 / SLOWED_FACTOR < change < RECOVERED_FACTOR:
            self._long.copy_ratio_of(self._short)
        return True
