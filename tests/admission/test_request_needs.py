"""The expected need of requests, known before their answers have run."""

from __future__ import annotations

import pytest

from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._models import EngineNeed
from jujubeslip.admission._request_needs import (
    MAXIMUM_REQUESTS,
    MINIMUM_REQUESTS,
    RequestNeeds,
)
from tests.admission.test_engine_pool import (
    CAPACITY,
    EVENT_TOKENS,
    MAXIMUM_EVENTS,
    ask_now,
    pool_of,
)

PROMPT_TOKENS = 4000


class TestMeanNeed:
    """The mean need of the latest requests."""

    def needs_with(self, count: int, need: EngineNeed) -> RequestNeeds:
        needs = RequestNeeds()
        for _ in range(count):
            needs.note(need)
        return needs

    def test_is_unknown_after_a_few_requests(self) -> None:
        assert self.needs_with(MINIMUM_REQUESTS - 1, EngineNeed(0.1, 0.4)).mean is None

    def test_is_the_mean_of_all_requests(self) -> None:
        needs = self.needs_with(MINIMUM_REQUESTS, EngineNeed(0.1, 0.2))
        for _ in range(MINIMUM_REQUESTS):
            needs.note(EngineNeed(0.3, 0.6))
        mean = needs.mean
        assert mean is not None
        assert mean.prefill_seconds == pytest.approx(0.2)
        assert mean.decode_seconds == pytest.approx(0.4)

    def test_covers_only_the_latest_requests(self) -> None:
        needs = self.needs_with(MAXIMUM_REQUESTS, EngineNeed(0.1, 0.2))
        for _ in range(MAXIMUM_REQUESTS):
            needs.note(EngineNeed(0.3, 0.6))
        mean = needs.mean
        assert mean is not None
        assert mean.prefill_seconds == pytest.approx(0.3)


class TestNeedOfWaitingRequests:
    """The pool returns it as soon as a few requests have asked, granted or not."""

    def test_is_part_of_the_engine_use(self) -> None:
        pool = pool_of("engine")
        for number in range(MINIMUM_REQUESTS):
            assert pool.use.mean_need is None
            ask_now(pool, f"request-{number}")
        need = pool.use.mean_need
        assert need is not None
        # All lengths are equally likely; on average an answer holds half of its growth.
        events = (MAXIMUM_EVENTS + 1) / 2
        memory_share = (PROMPT_TOKENS + events * EVENT_TOKENS / 2) / CAPACITY
        expected_seconds = memory_share * events / 15
        assert need.decode_seconds == pytest.approx(expected_seconds, rel=0.1)
        assert need.prefill_seconds == pytest.approx(PROMPT_TOKENS / 40_000, rel=0.1)

    def test_counts_a_request_that_asks_again_once(self) -> None:
        pool = pool_of("engine")
        for attempt in range(1, MINIMUM_REQUESTS + 1):
            ask_now(pool, "request", attempt=attempt)
        assert pool.use.mean_need is None


class TestMeanLength:
    @pytest.mark.parametrize(("maximum", "mean"), [(1, 1.0), (9, 5.0), (160, 80.5)])
    def test_is_the_middle_where_each_length_is_equally_likely(
        self, maximum: int, mean: float
    ) -> None:
        assert lengths_of(maximum).mean == pytest.approx(mean)
