"""Percentiles of recent answer times by route."""

from __future__ import annotations

import pytest

from jujubeslip.hedging import AnswerTimes
from jujubeslip.hedging._answer_times import BUCKET_RATIO, BUCKETS, MINIMUM_WEIGHT

NOW = 1000.0


def times_of(*seconds: float) -> AnswerTimes:
    times = AnswerTimes()
    for item in seconds:
        times.note("route", item, NOW)
    return times


class TestPercentile:
    @pytest.mark.parametrize("share, seconds", [(0.5, 0.05), (0.95, 0.095)])
    def test_is_exact_to_a_bucket(self, share: float, seconds: float) -> None:
        times = times_of(*(number / 1000 for number in range(1, 101)))
        found = times.percentile("route", share, NOW)
        assert found is not None
        assert seconds <= found <= seconds * BUCKET_RATIO

    def test_is_unknown_with_few_answers(self) -> None:
        times = times_of(*[0.02] * (int(MINIMUM_WEIGHT) - 1))
        assert times.percentile("route", 0.95, NOW) is None
        assert times.percentile("other", 0.95, NOW) is None

    def test_is_unknown_again_without_new_answers(self) -> None:
        times = times_of(*[0.02] * 20)
        assert times.percentile("route", 0.95, NOW) is not None
        assert times.percentile("route", 0.95, NOW + 60) is None

    def test_follows_a_change_within_a_minute(self) -> None:
        times = times_of(*[0.02] * 60)
        for number in range(60):
            times.note("route", 0.2, NOW + number)
        median = times.median("route", NOW + 60)
        assert median is not None and median > 0.1

    @pytest.mark.parametrize("seconds", [-1.0, 0.0, 1e-9, 1e9])
    def test_of_absurd_times_is_a_time_within_bounds(self, seconds: float) -> None:
        found = times_of(*[seconds] * 20).percentile("route", 0.95, NOW)
        assert found is not None and 0 < found < 300

    def test_survives_a_clock_that_jumps_back(self) -> None:
        times = times_of(*[0.02] * 20)
        times.note("route", 0.02, NOW - 500)
        assert times.percentile("route", 0.95, NOW) is not None


class TestMemory:
    """Guards against memory that grows with each change of the configuration."""

    def test_is_bounded_by_the_routes_in_force(self) -> None:
        times = AnswerTimes()
        for number in range(500):
            times.note(f"route-{number}", 0.02, NOW)
            times.keep_routes({f"route-{number}"})
        assert times.route_names == {"route-499"}
        (histogram,) = times._histogram_by_route.values()
        assert len(histogram.weights) == BUCKETS
