"""How long an endpoint that can't be reached is passed over."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding import _health
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.kernel import _deadlines
from tests.fakes.clock import Clock


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_deadlines, "steady_seconds", clock.steady_seconds)
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
