"""What requests are expected to take of engines, before answers have shown it."""

from __future__ import annotations

import pytest

from jujubeslip.admission._lengths import lengths_of
from jujubeslip.admission._models import EngineNeed
from jujubeslip.admission._request_needs import (
    MAXIMUM_REQUESTS,
    MINIMUM_REQUESTS,
    RequestNeeds,
)
from tests.admission.test_pool import (
    CAPACITY,
    EVENT_TOKENS,
    MAXIMUM_EVENTS,
    ask_now,
    pool_of,
)

PROMPT_TOKENS = 4000


class TestUsualNeed:
    """What a request takes in the mean, from those that came lately."""

    def noted(self, count: int, need: EngineNeed) -> RequestNeeds:
        needs = RequestNeeds()
        for _ in range(count):
            needs.note(need)
        return needs

    def test_is_not_known_from_a_few(self) -> None:
        assert self.noted(MINIMUM_REQUESTS - 1, EngineNeed(0.1, 0.4)).mean is None

    def test_is_the_mean(self) -> None:
        needs = self.noted(MINIMUM_REQUESTS, EngineNeed(0.1, 0.2))
        for _ in range(MINIMUM_REQUESTS):
            needs.note(EngineNeed(0.3, 0.6))
        mean = needs.mean
        assert mean is not None
        assert mean.reading_seconds == pytest.approx(0.2)
        assert mean.answering_seconds == pytest.approx(0.4)

    def test_is_that_of_the_latest(self) -> None:
        needs = self.noted(MAXIMUM_REQUESTS, EngineNeed(0.1, 0.2))
        for _ in range(MAXIMUM_REQUESTS):
            needs.note(EngineNeed(0.3, 0.6))
        mean = needs.mean
        assert mean is not None
        assert mean.reading_seconds == pytest.approx(0.3)


class TestNeedsOfRequestsThatAsk:
    """A pool tells them as soon as a few requests have asked, granted or not."""

    def test_are_told_with_the_use_of_engines(self) -> None:
        pool = pool_of("engine")
        for number in range(MINIMUM_REQUESTS):
            assert pool.use.usual_need is None
            ask_now(pool, f"request-{number}")
        need = pool.use.usual_need
        assert need is not None
        # Each length is equally likely, and answers hold half of their growth.
        events = (MAXIMUM_EVENTS + 1) / 2
        held = (PROMPT_TOKENS + events * EVENT_TOKENS / 2) / CAPACITY
        at_fifteen_events_a_second = held * events / 15
        assert need.answering_seconds == pytest.approx(
            at_fifteen_events_a_second, rel=0.1
        )
        assert need.reading_seconds == pytest.approx(PROMPT_TOKENS / 40_000, rel=0.1)

    def test_count_a_request_that_asks_again_once(self) -> None:
        pool = pool_of("engine")
        for attempt in range(1, MINIMUM_REQUESTS + 1):
            ask_now(pool, "request", attempt=attempt)
        assert pool.use.usual_need is None


class TestMeanLength:
    @pytest.mark.parametrize(("maximum", "mean"), [(1, 1.0), (9, 5.0), (160, 80.5)])
    def test_is_the_middle_where_each_length_is_equally_likely(
        self, maximum: int, mean: float
    ) -> None:
        assert lengths_of(maximum).mean == pytest.approx(mean)
