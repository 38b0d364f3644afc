"""How full an engine's memory will get, from the answers that it is making.

An answer takes more memory with each event until it ends, and nobody knows when. What
is known is how long it may get at most, and what its client expects. An engine whose
memory runs out pushes out the newest answer, whose prompt has to be read again, while
all others wait.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from jujubeslip.admission._lengths import AnswerLengths, lengths_of
from jujubeslip.routes import EngineReport

# How many instants of the future are looked at, evenly up to the longest answer.
FORECAST_POINTS = 13


@dataclass(frozen=True)
class GrowingAnswer:
    """An answer that an engine is making, or is about to make."""

    memory_tokens: float
    """What its prompt and the answer so far take of the engine's memory."""
    events: int
    """Events made so far."""
    event_tokens: int
    """Tokens that one event adds."""
    lengths: AnswerLengths
    """How many events it may have in all."""


@dataclass(frozen=True)
class MemoryOptions:
    """How careful the forecast is."""

    margin: float
    """Share of the engine's memory that is left free."""
    caution: float
    """Standard deviations above the mean that have to fit."""


class ExpectedUse(NamedTuple):
    """The tokens that answers take together at one instant."""

    mean: float
    variance: float
    maximum: float
    """What they take if none of those ends that may still run."""

    def with_deviations(self, caution: float) -> float:
        """Return the tokens `caution` deviations above the mean.

        No more than all answers take: where nearly all still run, some deviations
        above the mean lie beyond that.
        """
        return min(self.maximum, self.mean + caution * math.sqrt(self.variance))


@dataclass(frozen=True)
class MemoryProfile:
    """What answers are expected to take together at each instant of the future."""

    answers: int
    longest: int
    """Events of the longest answer, over which the instants are spread."""
    points: tuple[ExpectedUse, ...]

    @property
    def used_now(self) -> float:
        """Return the tokens in use at the first instant."""
        return self.points[0].mean

    def peak(self, caution: float) -> float:
        """Return the tokens in use at the peak, `caution` deviations above the mean."""
        return max(expected.with_deviations(caution) for expected in self.points)

    def peak_with(
        self, other: MemoryProfile, caution: float, limit: float
    ) -> float | None:
        """Return the peak with further answers, whose instants are the same.

        None where it lies beyond the limit, at the first instant that shows so: in a
        burst nearly all engines are full.
        """
        peak = 0.0
        for point, added_point in zip(self.points, other.points, strict=True):
            mean, variance, maximum = point
            added_mean, added_variance, added_maximum = added_point
            tokens = mean + added_mean + caution * math.sqrt(variance + added_variance)
            if tokens > maximum + added_maximum:
                tokens = maximum + added_maximum
            if tokens > limit:
                return None
            if tokens > peak:
                peak = tokens
        return peak


def profile_of(answers: Sequence[GrowingAnswer], longest: int = 0) -> MemoryProfile:
    """Return how the memory of answers grows, which all go on at the same pace.

    The instants are spread over the longest of them, or over `longest` events if that
    is more.
    """
    longest = max([longest, *(answer.lengths.maximum for answer in answers)])
    step = max(1, longest // (FORECAST_POINTS - 1))
    points = range(0, longest + 1, step)
    sums = _Sums.of(len(points))
    for answer in answers:
        _add(answer, points, sums)
    return MemoryProfile(len(answers), longest, sums.expected())


def forecast_peak(answers: Sequence[GrowingAnswer], caution: float = 0.0) -> float:
    """Return the tokens in use at the peak, `caution` deviations above the mean."""
    return profile_of(answers).peak(caution)


def growth_of(
    report: EngineReport,
    prompt_tokens: int,
    event_tokens: int,
    maximum_events: int,
    options: MemoryOptions,
) -> int:
    """Return what an engine's answers will grow by, with one more, in tokens.

    For a host that knows the engine's report and nothing else.
    """
    lengths = lengths_of(maximum_events)
    answers = [
        GrowingAnswer(item.memory_tokens, item.events, event_tokens, lengths)
        for item in report.running
    ]
    answers.append(GrowingAnswer(prompt_tokens, 0, event_tokens, lengths))
    now = sum(answer.memory_tokens for answer in answers)
    peak = forecast_peak(answers, options.caution)
    margin = options.margin * report.capacity_tokens
    return max(1, int(peak - now + margin))


@dataclass(frozen=True)
class _Sums:
    """What answers take together at each instant, while they are added up."""

    means: list[float]
    variances: list[float]
    maximum: list[float]

    @classmethod
    def of(cls, points: int) -> _Sums:
        """Return the sums of no answers."""
        return cls([0.0] * points, [0.0] * points, [0.0] * points)

    def expected(self) -> tuple[ExpectedUse, ...]:
        """Return what is expected at each instant."""
        parts = zip(self.means, self.variances, self.maximum, strict=True)
        return tuple(ExpectedUse(*part) for part in parts)


def _add(answer: GrowingAnswer, points: range, sums: _Sums) -> None:
    """Add an answer's tokens at instants, in events ahead."""
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
