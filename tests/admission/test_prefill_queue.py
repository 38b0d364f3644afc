"""The remaining work of a prefill engine."""

from __future__ import annotations

import pytest

from jujubeslip.admission import _prefill_queue
from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._models import USABLE_SECONDS, GrantRequest
from jujubeslip.admission._prefill_queue import PrefillQueue
from jujubeslip.kernel import Deadline
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
