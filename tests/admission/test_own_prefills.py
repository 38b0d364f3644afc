"""Tests of the prompts that a decode engine prefills itself."""

from __future__ import annotations

import pytest

from jujubeslip.admission._own_prefills import EVENT_SECONDS, OwnPrefills

# Of a prefill engine, in tokens a second.
PREFILL_SPEED = 40_000.0


def prefilled(prefills: OwnPrefills, at: float, seconds: float, tokens: int) -> float:
    """Record a prefill; return when it ended."""
    prefills.begin(at)
    prefills.measure(tokens, at + seconds)
    prefills.end(at + seconds)
    return at + seconds


class TestPauseOfTheAnswers:
    """Guards against prefills that together exceed the maximum gap of all answers."""

    def test_is_none_before_the_first_prefill(self) -> None:
        assert OwnPrefills().pause_seconds(5.0) == 0.0

    def test_lasts_until_the_next_event(self) -> None:
        prefills = OwnPrefills()
        ended_at = prefilled(prefills, 5.0, 0.1, 2000)
        assert prefills.pause_seconds(ended_at) == pytest.approx(0.1)
        assert prefills.pause_seconds(ended_at + EVENT_SECONDS) == 0.0

    def test_continues_if_another_prefill_begins_before_that(self) -> None:
        prefills = OwnPrefills()
        ended_at = prefilled(prefills, 5.0, 0.1, 2000)
        ended_at = prefilled(prefills, ended_at + EVENT_SECONDS / 2, 0.05, 1000)
        assert prefills.pause_seconds(ended_at) == pytest.approx(0.15)

    def test_begins_anew_after_an_event(self) -> None:
        prefills = OwnPrefills()
        ended_at = prefilled(prefills, 5.0, 0.1, 2000)
        ended_at = prefilled(prefills, ended_at + 2 * EVENT_SECONDS, 0.05, 1000)
        assert prefills.pause_seconds(ended_at) == pytest.approx(0.05)


class TestSpeed:
    """Guards against a leader that never learns how fast engines prefill.

    Only prefill engines were measured, so a leader without any assumed two thirds of
    the speed, and refused prompts of more than the usual length.
    """

    def test_follows_that_of_prefill_engines_before_the_first_prefill(self) -> None:
        assert OwnPrefills().tokens_per_second(PREFILL_SPEED) == 20_000

    def test_is_that_of_the_prefills(self) -> None:
        prefills = OwnPrefills()
        for at in range(40):
            prefilled(prefills, float(at), 0.1, 2800)
        assert prefills.tokens_per_second(PREFILL_SPEED) == pytest.approx(28_000, 0.01)

    def test_follows_an_engine_that_turns_five_times_slower(self) -> None:
        """Guards against prefills that never count since they are too slow."""
        prefills = OwnPrefills()
        for at in range(60):
            prefilled(prefills, float(at), 0.1 if at < 10 else 0.5, 2800)
        assert prefills.tokens_per_second(PREFILL_SPEED) == pytest.approx(5_600, 0.01)

    def test_ignores_a_request_that_failed_at_once(self) -> None:
        """Guards against a first failure after which no prompt is too long."""
        prefills = OwnPrefills()
        prefilled(prefills, 5.0, 0.004, 2800)
        assert prefills.tokens_per_second(PREFILL_SPEED) == 20_000

    def test_is_not_decided_by_one_late_report(self) -> None:
        prefills = OwnPrefills()
        prefilled(prefills, 5.0, 3.0, 2800)
        assert prefills.tokens_per_second(PREFILL_SPEED) >= 14_000
