"""Forecast of an engine's memory use, from the answers that it is decoding.

An answer takes more memory with each event until it ends. Its final length is unknown;
known are its maximum length and the length that its client expects. An engine whose
memory runs out evicts the newest answer, whose prompt has to be prefilled again, while
all other answers wait.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from jujubeslip.admission._answer_lengths import AnswerLengths, lengths_of
from jujubeslip.routes import EngineReport

# Number of points of a forecast, which are spread evenly up to the longest answer.
FORECAST_POINTS = 13


@dataclass(frozen=True)
class GrowingAnswer:
    """An answer that an engine is decoding or about to decode."""

    memory_tokens: float
    """Memory used by its prompt and its events so far, in tokens."""
    events: int
    """Events decoded so far."""
    event_tokens: int
    """Tokens that one event adds."""
    lengths: AnswerLengths
    """Distribution of its final number of events."""


@dataclass(frozen=True)
class MemoryOptions:
    """Safety margins of the forecast."""

    margin: float
    """Share of the engine's memory that is left free."""
    safety_deviations: float
    """Standard deviations above the expected memory use that have to fit."""


class ExpectedUse(NamedTuple):
    """The tokens that answers use together at one point of the forecast."""

    mean: float
    variance: float
    maximum: float
    """Tokens in use if every answer that may still run does so."""

    def with_deviations(self, safety_deviations: float) -> float:
        """Return the mean use in tokens plus `safety_deviations` standard deviations.

        The result is limited to what all answers use together: if nearly all of them
        still run, the mean plus some deviations would exceed that.
        """
        return min(
            self.maximum, self.mean + safety_deviations * math.sqrt(self.variance)
        )


@dataclass(frozen=True)
class MemoryProfile:
    """The expected joint memory use of answers at each point of the forecast."""

    answers: int
    longest: int
    """Events of the longest answer, over which the points are spread."""
    points: tuple[ExpectedUse, ...]

    @property
    def used_now(self) -> float:
        """Return the expected tokens in use at the first point, which is now."""
        return self.points[0].mean

    def peak(self, safety_deviations: float) -> float:
        """Return the peak use in tokens, with `safety_deviations` as safety margin."""
        return max(
            expected.with_deviations(safety_deviations) for expected in self.points
        )

    def peak_with(
        self, other: MemoryProfile, safety_deviations: float, limit: float
    ) -> float | None:
        """Return the joint peak with other answers, whose points are the same.

        Return None as soon as a point exceeds the limit, without evaluating the others:
        in a burst nearly all engines are full.
        """
        peak = 0.0
        for point, added_point in zip(self.points, other.points, strict=True):
            mean, variance, maximum = point
            added_mean, added_variance, added_maximum = added_point
            tokens = (
                mean
                + added_mean
                + safety_deviations * math.sqrt(variance + added_variance)
            )
            if tokens > maximum + added_maximum:
                tokens = maximum + added_maximum
            if tokens > limit:
                return None
            if tokens > peak:
                peak = tokens
        return peak


def profile_of(answers: Sequence[GrowingAnswer], longest: int = 0) -> MemoryProfile:
    """Return the forecast for answers that all grow at the same event rate.

    The points are spread over the longest answer, or over `longest` events if that is
    more.
    """
    longest = max([longest, *(answer.lengths.maximum for answer in answers)])
    step = max(1, longest // (FORECAST_POINTS - 1))
    points = range(0, longest + 1, step)
    sums = _Sums.of(len(points))
    for answer in answers:
        _add(answer, points, sums)
    return MemoryProfile(len(answers), longest, sums.expected())


def forecast_peak(
    answers: Sequence[GrowingAnswer], safety_deviations: float = 0.0
) -> float:
    """Return the peak use in tokens, with `safety_deviations` as safety margin."""
    return profile_of(answers).peak(safety_deviations)


def growth_of(
    report: EngineReport,
    prompt_tokens: int,
    event_tokens: int,
    maximum_events: int,
    options: MemoryOptions,
) -> int:
    """Return by how many tokens an engine's answers will grow with one more request.

    For a host that knows only the engine's report.
    """
    lengths = lengths_of(maximum_events)
    answers = [
        GrowingAnswer(item.memory_tokens, item.events, event_tokens, lengths)
        for item in report.running
    ]
    answers.append(GrowingAnswer(prompt_tokens, 0, event_tokens, lengths))
    now = sum(answer.memory_tokens for answer in answers)
    peak = forecast_peak(answers, options.safety_deviations)
    margin = options.margin * report.capacity_tokens
    return max(1, int(peak - now + margin))


@dataclass(frozen=True)
class _Sums:
    """Accumulates the joint memory use of answers at each point."""

    means: list[float]
    variances: list[float]
    maximum: list[float]

    @classmethod
    def of(cls, points: int) -> _Sums:
        """Return the sums over no answers."""
        return cls([0.0] * points, [0.0] * points, [0.0] * points)

    def expected(self) -> tuple[ExpectedUse, ...]:
        """Return the expected use at each point."""
        parts = zip(self.means, self.variances, self.maximum, strict=True)
        return tuple(ExpectedUse(*part) for part in parts)


def _add(answer: GrowingAnswer, points: range, sums: _Sums) -> None:
    """Add an answer's tokens at each point; points are counted in events ahead."""
    running_probabilities = answer.lengths.running_probabilities(answer.events, points)
    tokens = answer.memory_tokens
    tokens_per_step = answer.event_tokens * points.step
    for index, running_probability in enumerate(running_probabilities):
        sums.means[index] += running_probability * tokens
        sums.variances[index] += (
            running_probability * (1 - running_probability) * tokens * tokens
        )
        sums.maximum[index] += tokens
        tokens += tokens_per_step
