"""Tests of endpoint limits, as the leading control host keeps them."""

from __future__ import annotations

import pytest

from jujubeslip.control import _endpoint_limit_manager, _limit_manager
from jujubeslip.control._endpoint_limit_manager import EndpointLimitManager
from jujubeslip.notices import KEPT_SECONDS
from jujubeslip.peers import EndpointSpending
from tests.fakes.clock import Clock

START = "endpoint/1700000000000"


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for name in (
        _endpoint_limit_manager.__name__,
        _limit_manager.__name__,
        "jujubeslip.kernel._deadlines",
    ):
        monkeypatch.setattr(f"{name}.steady_seconds", clock.steady_seconds)
    return clock


@pytest.fixture
def manager(clock: Clock) -> EndpointLimitManager:
    return EndpointLimitManager(lambda: 900.0)


def spending(
    per_second: float, amount: float = 1.0, ago_ms: int = 0
) -> EndpointSpending:
    return EndpointSpending(START, amount, per_second, ago_ms)


def count_sent(manager: EndpointLimitManager, clock: Clock, per_second: float) -> int:
    """Return how many of 200 requests in ten seconds may be sent."""
    count = 0
    for _ in range(200):
        clock.now += 0.05
        count += manager.charge(spending(per_second)).wait_seconds == 0
    return count


class TestLimit:
    def test_holds_for_all_hosts_together(
        self, manager: EndpointLimitManager, clock: Clock
    ) -> None:
        assert 25 <= count_sent(manager, clock, 2.5) <= 27

    def test_follows_the_newest_answer(
        self, manager: EndpointLimitManager, clock: Clock
    ) -> None:
        manager.charge(spending(5.0, ago_ms=100))
        assert manager.charge(spending(2.0, ago_ms=4000)).per_second == 5.0
        assert manager.charge(spending(2.0)).per_second == 2.0

    def test_is_lifted_for_hosts_with_an_older_report(
        self, manager: EndpointLimitManager, clock: Clock
    ) -> None:
        count_sent(manager, clock, 2.5)
        clock.now += 1.0
        manager.charge(spending(0.0, amount=0.0))
        state = manager.charge(spending(2.5, ago_ms=500))
        assert (state.per_second, state.wait_seconds) == (0.0, 0.0)

    def test_is_removed_when_no_longer_reported(
        self, manager: EndpointLimitManager, clock: Clock
    ) -> None:
        manager.charge(spending(2.5))
        clock.now += KEPT_SECONDS + 1
        manager.forget_old()
        assert (
            manager.charge(spending(9.0, ago_ms=int(KEPT_SECONDS * 1000))).per_second
            == 9
        )
