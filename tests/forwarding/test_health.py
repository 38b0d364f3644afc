"""How long an endpoint that can't be reached is passed over."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding import _health
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.kernel import _deadlines
from tests.fakes.clock import Clock

# In which what was seen of failures counts half as much.
HALF_LIFE_SECONDS = 5.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_deadlines, "steady_seconds", clock.steady_seconds)
    monkeypatch.setattr(_health, "steady_seconds", clock.steady_seconds, raising=False)
    return clock


class TestPause:
    def test_of_requests_that_fail_together_is_short(self, clock: Clock) -> None:
        """A link fails for a moment while a dozen requests are on their way.

        Each counted by itself, they would keep the endpoint out for eight seconds,
        and the only engine that reads prompts would be missed by all of them.
        """
        health = EndpointHealth()
        for _ in range(12):
            health.note_unreachable("engine")
        assert health.is_paused("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS + 0.01
        assert not health.is_paused("engine")

    def test_grows_with_each_failure_after_it(self, clock: Clock) -> None:
        health = EndpointHealth()
        health.note_unreachable("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS + 0.01
        health.note_unreachable("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS + 0.01
        assert health.is_paused("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS
        assert not health.is_paused("engine")


class TestShareOfFailures:
    def test_fades_without_answers(self, clock: Clock) -> None:
        """One question to an engine times out, and its neighbour gets all requests.

        The share of failures fell with the engine's answers alone, and it was given
        nothing to answer: for 29 s all 313 requests went to the other one.
        """
        health = EndpointHealth()
        for _ in range(5):
            health.note_failure("engine")
        before = health.failure_share("engine")
        clock.now += HALF_LIFE_SECONDS
        assert health.failure_share("engine") == pytest.approx(before / 2)
        clock.now += 20 * HALF_LIFE_SECONDS
        assert health.failure_share("engine") < 0.001

    def test_grows_from_what_is_left_of_it(self, clock: Clock) -> None:
        health = EndpointHealth()
        health.note_failure("engine")
        clock.now += 20 * HALF_LIFE_SECONDS
        health.note_failure("engine")
        once = _health.FAILURE_WEIGHT
        assert health.failure_share("engine") == pytest.approx(once, rel=0.01)
