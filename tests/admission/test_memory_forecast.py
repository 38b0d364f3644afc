"""How full an engine will get, from the answers that it is making."""

from __future__ import annotations

from jujubeslip.admission import (
    GrowingAnswer,
    MemoryOptions,
    forecast_peak,
    growth_of,
    lengths_of,
)
from jujubeslip.routes import EngineReport, RunningAnswer

EVENT_TOKENS, MAXIMUM_EVENTS = 65, 130
PLAIN = MemoryOptions(margin=0.0, caution=0.0)
CAREFUL = MemoryOptions(margin=0.05, caution=1.0)


def report(*running: RunningAnswer) -> EngineReport:
    used = sum(answer.memory_tokens for answer in running)
    return EngineReport(100_000, used, 0, running)


def growing(tokens: int, events: int, expected_events: int = 0) -> GrowingAnswer:
    lengths = lengths_of(MAXIMUM_EVENTS, expected_events)
    return GrowingAnswer(tokens, events, EVENT_TOKENS, lengths)


def growth(of: EngineReport, options: MemoryOptions) -> int:
    return growth_of(of, 5000, EVENT_TOKENS, MAXIMUM_EVENTS, options)


class TestPeak:
    def test_young_answers_need_more_than_they_have(self) -> None:
        assert forecast_peak([growing(5000, 0)] * 10) > 53_000

    def test_answers_near_their_end_need_no_more(self) -> None:
        assert forecast_peak([growing(13_000, 128)] * 5) == 65_000

    def test_answers_that_are_expected_to_be_long_need_more(self) -> None:
        short = forecast_peak([growing(5000, 0, expected_events=20)] * 10)
        unknown = forecast_peak([growing(5000, 0)] * 10)
        long = forecast_peak([growing(5000, 0, expected_events=120)] * 10)
        assert long > max(short, unknown) + 10_000

    def test_is_no_more_than_all_answers_take(self) -> None:
        """Guards against room left free that no answer could ever use."""
        lengths = lengths_of(1000)
        answers = [GrowingAnswer(5000, 0, 1, lengths) for _ in range(10)]
        assert forecast_peak(answers, caution=3.0) <= 10 * 6000

    def test_no_answers_need_nothing(self) -> None:
        assert forecast_peak([]) == 0


class TestLengths:
    def test_without_an_estimate_are_equally_likely(self) -> None:
        lengths = lengths_of(100)
        assert lengths.running_probability(0, 50) == 0.5
        assert lengths.running_probability(50, 25) == 0.5

    def test_end_at_the_longest(self) -> None:
        assert lengths_of(100, 400).running_probability(20, 80) == 0
        assert lengths_of(100).running_probability(500, 1) == 0

    def test_that_outlast_the_estimate_still_may_go_on(self) -> None:
        """An estimate is often far off: an answer beyond it does not end at once."""
        assert lengths_of(130, 20).running_probability(60, 5) > 0.3


class TestGrowth:
    def test_is_more_among_young_answers(self) -> None:
        """A burst lets ten answers in at once; each fits, and all grow together.

        Room for their prompts alone would push the newest out a second later.
        """
        alone = growth(report(), PLAIN)
        among = growth(report(*[RunningAnswer(5000, 2)] * 10), PLAIN)
        assert among > alone > 0

    def test_is_less_among_old_answers(self) -> None:
        young = growth(report(*[RunningAnswer(5000, 2)] * 10), PLAIN)
        old = growth(report(*[RunningAnswer(12_000, 110)] * 10), PLAIN)
        assert old < young

    def test_careful_forecast_leaves_room_for_answers_that_get_long(self) -> None:
        """A dozen answers that all happen to get long would push the newest out."""
        busy = report(*[RunningAnswer(7000, 40)] * 12)
        plain = growth(busy, PLAIN)
        assert growth(busy, CAREFUL) > plain + 5000
