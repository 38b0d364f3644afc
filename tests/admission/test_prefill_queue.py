"""The remaining work of a prefill engine."""

from __future__ import annotations

import pytest

from jujubeslip.admission import _prefill_queue
from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._models import USABLE_SECONDS, GrantRequest
from jujubeslip.admission._prefill_candidates import mean_speed
from jujubeslip.admission._prefill_queue import INITIAL_TOKENS_PER_SECOND, PrefillQueue
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport
from tests.fakes.clock import Clock
from tests.fakes.engines import engine


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_prefill_queue, "steady_seconds", clock.steady_seconds)
    return clock


def prompt(request_id: str, tokens: int) -> GrantRequest:
    return GrantRequest(
        request_id,
        1,
        tokens,
        65,
        lengths_of(130),
        64,
        Deadline.after(1),
        Deadline.after(1),
        False,
    )


class TestRemainingSeconds:
    def test_follows_the_measured_prefill_speed(self, clock: Clock) -> None:
        queue = PrefillQueue(engine("reader"))
        for number in range(60):
            queue.add(prompt(str(number), 5000))
            clock.now += 0.5
            queue.note_prefilled(str(number), 1)
        queue.add(prompt("next", 5000))
        assert 0.4 < queue.seconds_left < 0.55

    def test_is_accurate_for_prompts_that_end_together(self, clock: Clock) -> None:
        """Guards against overestimating the speed if prompts are prefilled together.

        Two concurrent prompts end at the same time. The second one seems to take no
        time, and the engine would be assigned far more than it can prefill.
        """
        queue = PrefillQueue(engine("reader"))
        for number in range(60):
            queue.add(prompt(f"{number}-a", 5000))
            queue.add(prompt(f"{number}-b", 5000))
            clock.now += 1.0
            queue.note_prefilled(f"{number}-a", 1)
            queue.note_prefilled(f"{number}-b", 1)
        queue.add(prompt("next", 5000))
        assert 0.35 < queue.seconds_left < 0.55

    def test_decreases_while_the_engine_prefills(self, clock: Clock) -> None:
        queue = PrefillQueue(engine("reader"))
        queue.take_report(_report())
        assert queue.accepts_more
        queue.add(prompt("a", 20_000))
        assert not queue.accepts_more
        clock.now += 0.45
        assert queue.accepts_more

    def test_excludes_prompts_of_lost_hosts(self, clock: Clock) -> None:
        queue = PrefillQueue(engine("reader"))
        queue.add(prompt("a", 1_000_000))
        clock.now += 4
        assert not queue.accepts_more
        queue.take_report(_report())
        assert queue.accepts_more


class TestPrefillEngineThatNeverReports:
    def test_is_usable_for_a_limited_time_only(self, clock: Clock) -> None:
        queue = PrefillQueue(engine("reader"))
        assert queue.usable and not queue.accepts_more
        clock.now += USABLE_SECONDS
        assert not queue.usable


def _report() -> _prefill_queue.EngineReport:
    return _prefill_queue.EngineReport(100_000, 0, 0, (), is_prefill_engine=True)

    def test_of_an_engine_that_turned_slow_is_not_zero(self, clock: Clock) -> None:
        """Guards against giving each next prompt to the engine that takes longest."""
        queue = reporting_queue(clock)
        queue.add(prompt("slow", 4000))
        clock.now += 0.35
        assert queue.seconds_left > 0.2
        queue.add(prompt("next", 4000))
        clock.now += 0.1
        assert queue.seconds_left > 0.2
        assert not queue.accepts_more

    def test_of_one_overdue_prompt_does_not_keep_an_engine_idle(
        self, clock: Clock
    ) -> None:
        """Guards against idle engines while a host is late to tell of a prompt."""
        queue = reporting_queue(clock)
        queue.add(prompt("late", 4000))
        clock.now += 0.35
        assert queue.accepts_more

    def test_of_a_prompt_whose_note_is_lost_is_zero(self, clock: Clock) -> None:
        queue = reporting_queue(clock)
        queue.add(prompt("lost", 4000))
        clock.now += 0.8
        assert queue.accepts_more


class TestSpeed:
    def test_ignores_a_note_of_a_prompt_that_was_not_prefilled(
        self, clock: Clock
    ) -> None:
        """Guards against one host whose notes come too early."""
        queue = PrefillQueue(engine("reader"))
        for number in range(20):
            queue.add(prompt(str(number), 4000))
            clock.now += 0.001
            queue.note_prefilled(str(number), 1)
        assert queue.speed == INITIAL_TOKENS_PER_SECOND
        assert queue.measured_at is None

    def test_one_late_note_changes_it_little(self, clock: Clock) -> None:
        queue = reporting_queue(clock)
        queue.add(prompt("late", 4000))
        clock.now += 2.5
        queue.note_prefilled("late", 1)
        assert queue.speed > 0.8 * INITIAL_TOKENS_PER_SECOND

    def test_of_a_slow_engine_is_seen_within_two_seconds(self, clock: Clock) -> None:
        queue = reporting_queue(clock)
        for number in range(4):
            queue.add(prompt(str(number), 4000))
            clock.now += 0.5
            queue.note_prefilled(str(number), 1)
        assert queue.speed < 0.6 * INITIAL_TOKENS_PER_SECOND


class TestMeanSpeed:
    def test_does_not_depend_on_which_engine_reported_last(self, clock: Clock) -> None:
        """Guards against demand that jumps with each report of uneven engines."""
        queues = [queue_with_speed(clock, speed) for speed in (30_000, 30_000, 70_000)]
        assert 30_000 < mean_speed(queues, 1.0) < 70_000
        assert mean_speed(queues, 1.0) == pytest.approx(mean_speed(queues[::-1], 1.0))

    def test_counts_engines_by_their_work(self, clock: Clock) -> None:
        idle = queue_with_speed(clock, 30_000)
        clock.now += 60
        busy = queue_with_speed(clock, 70_000)
        assert mean_speed([idle, busy], 1.0) == pytest.approx(busy.speed, rel=0.01)

    def test_is_unknown_without_a_measurement(self, clock: Clock) -> None:
        assert mean_speed([], 41_000.0) == 41_000.0
        assert mean_speed([PrefillQueue(engine("reader"))], 41_000.0) == 41_000.0


def reporting_queue(clock: Clock) -> PrefillQueue:
    queue = PrefillQueue(engine("reader"))
    queue.take_report(EngineReport(1, 0, 0, (), is_prefill_engine=True))
    return queue


def queue_with_speed(clock: Clock, tokens_per_second: float) -> PrefillQueue:
    """Return a queue after ten seconds of prompts at this speed."""
    queue = PrefillQueue(engine("reader"))
    for number in range(100):
        queue.add(prompt(str(number), int(tokens_per_second / 10)))
        clock.now += 0.1
        queue.note_prefilled(str(number), 1)
    return queue
