"""How full an engine will get, from the answers that it is making."""

from __future__ import annotations

from jujubeslip.forwarding._memory_forecast import (
    AnswerLimits,
    forecast_peak,
    room_needed,
)
from jujubeslip.routes import EngineReport, RunningAnswer

LIMITS = AnswerLimits(event_tokens=65, maximum_events=130)


def report(*running: RunningAnswer) -> EngineReport:
    used = sum(answer.memory_tokens for answer in running)
    return EngineReport(100_000, used, 0, running)


class TestPeak:
    def test_young_answers_need_more_than_they_have(self) -> None:
        young = [RunningAnswer(5000, 0)] * 10
        peak, now = forecast_peak(young, LIMITS)
        assert now == 50_000
        assert peak > 53_000

    def test_answers_near_their_end_need_no_more(self) -> None:
        old = [RunningAnswer(13_000, 128)] * 5
        assert forecast_peak(old, LIMITS) == (65_000.0, 65_000.0)


class TestRoom:
    def test_is_more_than_the_prompt_among_young_answers(self) -> None:
        """A burst lets ten answers in at once; each fits, and all grow together.

        Room for their prompts alone would push the newest out a second later.
        """
        alone = room_needed(report(), 5000, LIMITS)
        among = room_needed(report(*[RunningAnswer(5000, 2)] * 10), 5000, LIMITS)
        assert among > alone > 5000

    def test_is_less_among_old_answers(self) -> None:
        young = room_needed(report(*[RunningAnswer(5000, 2)] * 10), 5000, LIMITS)
        old = room_needed(report(*[RunningAnswer(12_000, 110)] * 10), 5000, LIMITS)
        assert old < young
