"""How full an engine's memory will get, from the answers that it is making.

An answer takes more memory with each event until it ends, and nobody knows when. What
is known is how long it may get at most. An engine whose memory runs out pushes out the
newest answer, whose prompt has to be read again, while all others wait.
"""

from __future__ import annotations

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


def forecast_peak(
    running: Sequence[RunningAnswer], limits: AnswerLimits
) -> tuple[float, float]:
    """Return the tokens in use at the expected peak, and those in use now.

    Each answer's end is taken to be equally likely at each event up to the longest;
    all answers of an engine go on at the same pace.
    """
    now = float(sum(answer.memory_tokens for answer in running))
    step = max(1, limits.maximum_events // (INSTANTS - 1))
    peak = now
    for ahead in range(step, limits.maximum_events + 1, step):
        expected = sum(_expected(answer, ahead, limits) for answer in running)
        peak = max(peak, expected)
    return peak, now


def room_needed(report: EngineReport, prompt_tokens: int, limits: AnswerLimits) -> int:
    """Return the tokens that must be free now for one more answer."""
    candidate = RunningAnswer(prompt_tokens, 0)
    peak, now = forecast_peak((*report.running, candidate), limits)
    return prompt_tokens + int(peak - now)


def _expected(answer: RunningAnswer, ahead: int, limits: AnswerLimits) -> float:
    """Return the expected tokens of an answer this many events ahead."""
    left = limits.maximum_events - answer.events
    if ahead >= left:
        return 0.0
    grown = answer.memory_tokens + ahead * limits.event_tokens
    return grown * (left - ahead) / left
