"""How full an engine's memory will get, from the answers that it is making.

An answer takes more memory with each event until it ends, and nobody knows when. What
is known is how long it may get at most. An engine whose memory runs out pushes out the
newest answer, whose prompt has to be read again, while all others wait.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from jujubeslip.routes import EngineReport, RunningAnswer

# How many instants of the future are looked at, evenly up to the longest answer.
INSTANTS = 13


@dataclass(frozen=True)
class AnswerLimits:
    """How an answer may grow."""

    event_tokens: int
    """Tokens that one event adds."""
    maximum_events: int
    """Events of the longest answer."""


@dataclass(frozen=True)
class MemoryOptions:
    """How careful the forecast is."""

    margin: float
    """Share of the engine's memory that is left free."""
    caution: float
    """Standard deviations above the mean that have to fit."""


def forecast_peak(
    running: Sequence[RunningAnswer], limits: AnswerLimits, caution: float = 0.0
) -> float:
    """Return the tokens in use at the peak, `caution` deviations above the mean.

    Each answer's end is taken to be equally likely at each event up to the longest;
    all answers of an engine go on at the same pace.
    """
    step = max(1, limits.maximum_events // (INSTANTS - 1))
    instants = range(0, limits.maximum_events + 1, step)
    return max(_tokens_at(running, ahead, limits, caution) for ahead in instants)


def growth_of(
    report: EngineReport,
    prompt_tokens: int,
    limits: AnswerLimits,
    options: MemoryOptions,
) -> int:
    """Return what an engine's answers will grow by, with one more, in tokens."""
    candidate = RunningAnswer(prompt_tokens, 0)
    running = (*report.running, candidate)
    now = sum(answer.memory_tokens for answer in running)
    peak = forecast_peak(running, limits, options.caution)
    margin = options.margin * report.capacity_tokens
    return max(1, int(peak - now + margin))


def _tokens_at(
    running: Sequence[RunningAnswer], ahead: int, limits: AnswerLimits, caution: float
) -> float:
    """Return the tokens in use this many events ahead."""
    mean = variance = 0.0
    for answer in running:
        left = max(1, limits.maximum_events - answer.events)
        runs_still = max(0.0, (left - ahead) / left)
        grown = answer.memory_tokens + ahead * limits.event_tokens
        mean += runs_still * grown
        variance += runs_still * (1 - runs_still) * grown**2
    return mean + caution * math.sqrt(variance)
