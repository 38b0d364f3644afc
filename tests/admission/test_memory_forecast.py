"""How full an engine will get, from the answers that it is making."""

from __future__ import annotations

from jujubeslip.forwarding._memory_forecast import (
    AnswerLimits,
    MemoryOptions,
    forecast_peak,
    growth_of,
)
from jujubeslip.routes import EngineReport, RunningAnswer

LIMITS = AnswerLimits(event_tokens=65, maximum_events=130)
PLAIN = MemoryOptions(margin=0.0, caution=0.0)
CAREFUL = MemoryOptions(margin=0.05, caution=1.0)


def report(*running: RunningAnswer) -> EngineReport:
    used = sum(answer.memory_tokens for answer in running)
    return EngineReport(100_000, used, 0, running)


class TestPeak:
    def test_young_answers_need_more_than_they_have(self) -> None:
        young = [RunningAnswer(5000, 0)] * 10
        assert forecast_peak(young, LIMITS) > 53_000

    def test_answers_near_their_end_need_no_more(self) -> None:
        old = [RunningAnswer(13_000, 128)] * 5
        assert forecast_peak(old, LIMITS) == 65_000


class TestGrowth:
    def test_is_more_among_young_answers(self) -> None:
        """A burst lets ten answers in at once; each fits, and all grow together.

        Room for their prompts alone would push the newest out a second later.
        """
        alone = growth_of(report(), 5000, LIMITS, PLAIN)
        among = growth_of(report(*[RunningAnswer(5000, 2)] * 10), 5000, LIMITS, PLAIN)
        assert among > alone > 0

    def test_is_less_among_old_answers(self) -> None:
        young = growth_of(report(*[RunningAnswer(5000, 2)] * 10), 5000, LIMITS, PLAIN)
        old = growth_of(report(*[RunningAnswer(12_000, 110)] * 10), 5000, LIMITS, PLAIN)
        assert old < young

    def test_careful_forecast_leaves_room_for_answers_that_get_long(self) -> None:
        """A dozen answers that all happen to get long would push the newest out."""
        busy = report(*[RunningAnswer(7000, 40)] * 12)
        plain = growth_of(busy, 5000, LIMITS, PLAIN)
        assert growth_of(busy, 5000, LIMITS, CAREFUL) > plain + 5000
