"""How long an event takes at an engine with a number of answers; uses no clock.

Answers the load of engines whose steps grow with each answer: one with few answers
seems fast and one with many seems slow, although both are alike.
"""

from __future__ import annotations

from dataclasses import dataclass

# Weight of the earlier observations at each new one: some hundred observations count.
KEPT_WEIGHT = 1 - 1 / 512
# Growth of an event's time with each answer, as a share of its time with one answer,
# that is assumed until engines with different numbers of answers have been observed.
INITIAL_GROWTH = 0.03
# Variance of the number of answers that counts as much as the assumed growth.
PRIOR_VARIANCE = 1.0
# Observations after which the curve is known: two seconds of two engines.
KNOWN_AFTER = 16


@dataclass(frozen=True)
class _Line:
    """Seconds of an event by the answers of its engine."""

    at_none: float
    growth: float


class StepCurve:
    """Estimates the time of an event at the median engine, by its answers.

    A line that is fitted to decayed sums of observations.
    """

    def __init__(self) -> None:
        self._count = 0
        self._weight = 0.0
        self._answers = 0.0
        self._answers_squared = 0.0
        self._seconds = 0.0
        self._answers_seconds = 0.0
        self._fitted: _Line | None = None

    @property
    def is_known(self) -> bool:
        """Return whether enough was observed."""
        return self._count >= KNOWN_AFTER

    @property
    def mean_seconds(self) -> float:
        """Return the time of an event at the mean number of answers."""
        return self._seconds / self._weight if self._weight else 0.0

    def observe(self, answers: int, seconds: float) -> None:
        """Note the time of an event, as it would be at the median engine."""
        self._fitted = None
        self._count += 1
        self._weight = KEPT_WEIGHT * self._weight + 1
        self._answers = KEPT_WEIGHT * self._answers + answers
        self._answers_squared = KEPT_WEIGHT * self._answers_squared + answers * answers
        self._seconds = KEPT_WEIGHT * self._seconds + seconds
        self._answers_seconds = KEPT_WEIGHT * self._answers_seconds + answers * seconds

    def seconds_with(self, answers: int) -> float:
        """Return the time of an event at an engine with this many answers."""
        if not self._weight:
            return 0.0
        if self._fitted is None:
            self._fitted = self._fit()
        return self._fitted.at_none + self._fitted.growth * answers

    def _fit(self) -> _Line:
        mean_answers = self._answers / self._weight
        growth = self._growth(mean_answers)
        return _Line(self.mean_seconds - growth * mean_answers, growth)

    def _growth(self, mean_answers: float) -> float:
        """Return the growth with each answer, between none and the whole of the time.

        A line through zero answers must not be negative there.
        """
        variance = self._answers_squared / self._weight - mean_answers**2
        covariance = (
            self._answers_seconds / self._weight - mean_answers * self.mean_seconds
        )
        assumed = (
            INITIAL_GROWTH * self.mean_seconds / (1 + INITIAL_GROWTH * mean_answers)
        )
        fitted = (covariance + PRIOR_VARIANCE * assumed) / (variance + PRIOR_VARIANCE)
        steepest = self.mean_seconds / (1 + mean_answers)
        return min(steepest, max(0.0, fitted))
