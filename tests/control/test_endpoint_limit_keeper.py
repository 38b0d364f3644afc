"""What the leader makes of the limits that hosts tell it of."""

from __future__ import annotations

import pytest

from jujubeslip.control import _endpoint_limit_keeper, _limit_keeper
from jujubeslip.control._endpoint_limit_keeper import EndpointLimitKeeper
from jujubeslip.notices import KEPT_SECONDS
from jujubeslip.peers import EndpointSpending
from tests.fakes.clock import Clock

START = "endpoint/1700000000000"


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for name in (
        _endpoint_limit_keeper.__name__,
        _limit_keeper.__name__,
        "jujubeslip.kernel._deadlines",
    ):
        monkeypatch.setattr(f"{name}.steady_seconds", clock.steady_seconds)
    return clock


@pytest.fixture
def keeper(clock: Clock) -> EndpointLimitKeeper:
    return EndpointLimitKeeper(lambda: 900.0)


def told(per_second: float, amount: float = 1.0, ago_ms: int = 0) -> EndpointSpending:
    return EndpointSpending(START, amount, per_second, ago_ms)


def taken(keeper: EndpointLimitKeeper, clock: Clock, per_second: float) -> int:
    """Return how many of 200 requests in ten seconds may be sent."""
    count = 0
    for _ in range(200):
        clock.now += 0.05
        count += keeper.charge(told(per_second)).wait_seconds == 0
    return count


class TestLimit:
    def test_holds_for_all_hosts_together(
        self, keeper: EndpointLimitKeeper, clock: Clock
    ) -> None:
        assert 25 <= taken(keeper, clock, 2.5) <= 27

    def test_follows_the_newest_answer(
        self, keeper: EndpointLimitKeeper, clock: Clock
    ) -> None:
        keeper.charge(told(5.0, ago_ms=100))
        assert keeper.charge(told(2.0, ago_ms=4000)).per_second == 5.0
        assert keeper.charge(told(2.0)).per_second == 2.0

    def test_is_lifted_for_hosts_that_heard_of_it_before(
        self, keeper: EndpointLimitKeeper, clock: Clock
    ) -> None:
        taken(keeper, clock, 2.5)
        clock.now += 1.0
        keeper.charge(told(0.0, amount=0.0))
        state = keeper.charge(told(2.5, ago_ms=500))
        assert (state.per_second, state.wait_seconds) == (0.0, 0.0)

    def test_is_forgotten_in_the_end(
        self, keeper: EndpointLimitKeeper, clock: Clock
    ) -> None:
        keeper.charge(told(2.5))
        clock.now += KEPT_SECONDS + 1
        keeper.forget_old()
        assert keeper.charge(told(9.0, ago_ms=int(KEPT_SECONDS * 1000))).per_second == 9
