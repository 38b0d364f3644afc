"""How this host measures the answer times of endpoint starts."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding import _answer_times
from jujubeslip.forwarding._answer_times import NOT_MEASURED, AnswerTimes
from tests.fakes.clock import Clock

USUAL = 0.022
SLOW = 0.11


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def times(clock: Clock) -> AnswerTimes:
    """Return the times of a start that has answered ten requests as usual."""
    times = AnswerTimes(clock.steady_seconds)
    times.note_service("a", "service")
    for _ in range(10):
        answer(times, clock, USUAL)
    return times


def answer(times: AnswerTimes, clock: Clock, seconds: float) -> None:
    """Let a request be answered after this time, and a pause of 0.7 s follow."""
    with times.measure("a"):
        clock.now += seconds
    clock.now += 0.7


def expected(times: AnswerTimes) -> float:
    seconds = times.expected_seconds("a")
    assert seconds is not None
    return seconds


class TestSingleSlowAnswer:
    """Guards against leaving an endpoint for the one slow answer in a hundred."""

    def test_moves_nothing_for_long(self, times: AnswerTimes, clock: Clock) -> None:
        answer(times, clock, SLOW)
        assert expected(times) < _answer_times.COMPARED_ANSWERS * USUAL / 2

    def test_wrong_measurement_moves_nothing(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        answer(times, clock, 0.0)
        assert expected(times) <= USUAL
        assert times.usual_times("service").median == pytest.approx(USUAL, rel=0.1)

    def test_clock_that_went_back_is_ignored(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        answer(times, clock, -5.0)
        clock.now += 5
        assert expected(times) <= USUAL


class TestSlowEndpoint:
    """Guards against requests for an endpoint that is slow for some seconds."""

    def test_two_slow_answers_show_it(self, times: AnswerTimes, clock: Clock) -> None:
        answer(times, clock, SLOW)
        answer(times, clock, SLOW)
        assert expected(times) > 3 * USUAL

    def test_open_call_shows_it_before_it_ends(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        with times.measure("a"):
            clock.now += SLOW
            assert expected(times) >= SLOW

    def test_call_that_was_given_up_counts(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        for _ in range(2):
            with pytest.raises(TimeoutError), times.measure("a"):
                clock.now += SLOW
                raise TimeoutError
        assert expected(times) >= SLOW * 0.9

    def test_refusal_does_not_make_it_look_fast(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        for _ in range(5):
            with pytest.raises(ConnectionError), times.measure("a"):
                clock.now += 0.001
                raise ConnectionError
        assert expected(times) == pytest.approx(USUAL, rel=0.4)

    def test_two_usual_answers_show_that_it_is_well(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        for seconds in (SLOW, SLOW, SLOW, USUAL, USUAL):
            answer(times, clock, seconds)
        assert expected(times) < 2 * USUAL

    def test_time_decays_without_answers(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        for _ in range(3):
            answer(times, clock, SLOW)
        clock.now += 3 * _answer_times.HALF_LIFE_SECONDS
        assert expected(times) < USUAL


class TestBounds:
    """Guards against memory that grows with each start that ever was."""

    def test_oldest_starts_are_forgotten(self, clock: Clock) -> None:
        times = AnswerTimes(clock.steady_seconds)
        for number in range(_answer_times.MAXIMUM_STARTS + 10):
            clock.now += 1
            times.note_service(str(number), f"service-{number}")
            with times.measure(str(number)):
                clock.now += USUAL
        assert times.expected_seconds("9") is None
        assert times.expected_seconds("10") is not None
        assert times.usual_times("service-9") == NOT_MEASURED

    def test_calls_of_engines_are_not_measured(self, clock: Clock) -> None:
        times = AnswerTimes(clock.steady_seconds)
        with times.measure("engine"):
            clock.now += 20
        assert times.expected_seconds("engine") is None

    def test_usual_time_follows_slowly(self, times: AnswerTimes, clock: Clock) -> None:
        for _ in range(8):
            answer(times, clock, SLOW)
        assert times.usual_times("service").median < 1.5 * USUAL
        assert times.usual_times("service").slow_from < 0.8 * SLOW


class TestUsualTimes:
    """Guards against a service whose requests differ being taken for a slow one."""

    def test_time_of_every_fourth_request_is_not_slow(self, clock: Clock) -> None:
        times = AnswerTimes(clock.steady_seconds)
        times.note_service("a", "service")
        for number in range(400):
            answer(times, clock, SLOW if number % 4 == 0 else USUAL)
        assert times.usual_times("service").slow_from > 0.9 * SLOW

    def test_first_answers_of_a_slow_endpoint_are_soon_outweighed(
        self, clock: Clock
    ) -> None:
        times = AnswerTimes(clock.steady_seconds)
        times.note_service("a", "service")
        for seconds in [SLOW] * 2 + [USUAL] * 8:
            answer(times, clock, seconds)
        assert times.usual_times("service").median < 1.5 * USUAL


class TestForgetting:
    def test_times_of_lost_links_are_forgotten(
        self, times: AnswerTimes, clock: Clock
    ) -> None:
        answer(times, clock, 5.0)
        answer(times, clock, 5.0)
        times.forget()
        assert times.expected_seconds("a") is None
