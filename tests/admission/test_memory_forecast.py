"""The forecast of an engine's memory use, from the answers that it is decoding."""

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
NO_MARGIN = MemoryOptions(margin=0.0, safety_deviations=0.0)
WITH_MARGIN = MemoryOptions(margin=0.05, safety_deviations=1.0)


def report(*running: RunningAnswer) -> EngineReport:
    used = sum(answer.memory_tokens for answer in running)
    return EngineReport(100_000, used, 0, running)


def growing_answer(tokens: int, events: int, expected_events: int = 0) -> GrowingAnswer:
    lengths = lengths_of(MAXIMUM_EVENTS, expected_events)
    return GrowingAnswer(tokens, events, EVENT_TOKENS, lengths)


def growth(of: EngineReport, options: MemoryOptions) -> int:
    return growth_of(of, 5000, EVENT_TOKENS, MAXIMUM_EVENTS, options)


class TestPeak:
    def test_young_answers_need_more_than_they_have(self) -> None:
        assert forecast_peak([growing_answer(5000, 0)] * 10) > 53_000

    def test_answers_near_their_end_need_no_more(self) -> None:
        assert forecast_peak([growing_answer(13_000, 128)] * 5) == 65_000

    def test_answers_that_are_expected_to_be_long_need_more(self) -> None:
        short = forecast_peak([growing_answer(5000, 0, expected_events=20)] * 10)
        unknown = forecast_peak([growing_answer(5000, 0)] * 10)
        long = forecast_peak([growing_answer(5000, 0, expected_events=120)] * 10)
        assert long > max(short, unknown) + 10_000

    def test_is_at_most_what_all_answers_use(self) -> None:
        """Guards against reserving memory that no answer could ever use."""
        lengths = lengths_of(1000)
        answers = [GrowingAnswer(5000, 0, 1, lengths) for _ in range(10)]
        assert forecast_peak(answers, safety_deviations=3.0) <= 10 * 6000

    def test_no_answers_need_nothing(self) -> None:
        assert forecast_peak([]) == 0


class TestAnswerLengths:
    def test_without_an_estimate_are_equally_likely(self) -> None:
        lengths = lengths_of(100)
        assert lengths.running_probability(0, 50) == 0.5
        assert lengths.running_probability(50, 25) == 0.5

    def test_end_at_the_maximum(self) -> None:
        assert lengths_of(100, 400).running_probability(20, 80) == 0
        assert lengths_of(100).running_probability(500, 1) == 0

    def test_may_exceed_the_estimate_further(self) -> None:
        """Estimates are often far off: an answer may go on long after its estimate."""
        assert lengths_of(130, 20).running_probability(60, 5) > 0.3


class TestGrowth:
    def test_is_larger_beside_young_answers(self) -> None:
        """Guards against reserving memory for the prompts only.

        In a burst, ten answers begin at once. Each of them fits, but all grow together,
        and the newest would be evicted a second later.
        """
        on_idle_engine = growth(report(), NO_MARGIN)
        beside_young_answers = growth(report(*[RunningAnswer(5000, 2)] * 10), NO_MARGIN)
        assert beside_young_answers > on_idle_engine > 0

    def test_is_smaller_beside_old_answers(self) -> None:
        young = growth(report(*[RunningAnswer(5000, 2)] * 10), NO_MARGIN)
        old = growth(report(*[RunningAnswer(12_000, 110)] * 10), NO_MARGIN)
        assert old < young

    def test_margin_covers_answers_that_get_long(self) -> None:
        """Guards against evicting the newest answer if a dozen answers all get long."""
        busy_engine = report(*[RunningAnswer(7000, 40)] * 12)
        without_margin = growth(busy_engine, NO_MARGIN)
        assert growth(busy_engine, WITH_MARGIN) > without_margin + 5000
