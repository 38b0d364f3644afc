"""How long unreachable endpoints are skipped, and how failure shares decay."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding import _health
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.kernel import _deadlines
from tests.fakes.clock import Clock

# Half-life of the failure share.
HALF_LIFE_SECONDS = 5.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_deadlines, "steady_seconds", clock.steady_seconds)
    monkeypatch.setattr(_health, "steady_seconds", clock.steady_seconds, raising=False)
    return clock


class TestPause:
    def test_is_short_if_requests_fail_at_the_same_time(self, clock: Clock) -> None:
        """A link fails for a moment while a dozen requests are in transit.

        If each of them counted, the endpoint would be skipped for eight seconds, even
        if it is the only prefill engine.
        """
        health = EndpointHealth()
        for _ in range(12):
            health.note_unreachable("engine")
        assert health.is_paused("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS + 0.01
        assert not health.is_paused("engine")

    def test_grows_with_each_later_failure(self, clock: Clock) -> None:
        health = EndpointHealth()
        health.note_unreachable("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS + 0.01
        health.note_unreachable("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS + 0.01
        assert health.is_paused("engine")
        clock.now += _health.FIRST_PAUSE_SECONDS
        assert not health.is_paused("engine")


class TestFailureShare:
    def test_decays_without_answers(self, clock: Clock) -> None:
        """Guards against an engine that gets no requests after a single failure.

        One question to an engine timed out. Its failure share fell only with further
        answers, and it got no requests to answer: for 29 s all 313 requests went to the
        other engine.
        """
        health = EndpointHealth()
        for _ in range(5):
            health.note_failure("engine")
        before = health.failure_share("engine")
        clock.now += HALF_LIFE_SECONDS
        assert health.failure_share("engine") == pytest.approx(before / 2)
        clock.now += 20 * HALF_LIFE_SECONDS
        assert health.failure_share("engine") < 0.001

    def test_grows_from_its_decayed_value(self, clock: Clock) -> None:
        health = EndpointHealth()
        health.note_failure("engine")
        clock.now += 20 * HALF_LIFE_SECONDS
        health.note_failure("engine")
        once = _health.FAILURE_WEIGHT
        assert health.failure_share("engine") == pytest.approx(once, rel=0.01)
