"""The limits of client accounts on the control host that leads."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.accounts import LimitBounds, RateLimit
from jujubeslip.control._account_keeper import AccountKeeper
from jujubeslip.peers import AccountSpending

LIMIT = RateLimit(per_second=0.001, burst=500.0)
COST = 100.0


@pytest.fixture
def keeper() -> AccountKeeper:
    accounts: Any = SimpleNamespace(by_name={"a": SimpleNamespace(limit=LIMIT)})
    bounds = LimitBounds(window_seconds=4.0, overage=0.0, slack=4000.0)
    return AccountKeeper(bounds, lambda: accounts, lambda: 0.0)


def left(keeper: AccountKeeper) -> float:
    return keeper.uses()[0].left


class TestChargeThatIsSentAgain:
    """Guards against accounts that pay twice where the leader's answer was late."""

    def test_counts_once(self, keeper: AccountKeeper) -> None:
        spending = AccountSpending("a", COST, "charge-1")
        assert keeper.charge(spending).wait_seconds == 0
        before = left(keeper)
        assert keeper.charge(spending).wait_seconds == 0
        assert left(keeper) == pytest.approx(before, abs=1.0)

    def test_counts_each_time_without_an_id(self, keeper: AccountKeeper) -> None:
        keeper.charge(AccountSpending("a", COST))
        before = left(keeper)
        keeper.charge(AccountSpending("a", COST))
        assert left(keeper) == pytest.approx(before - COST, abs=1.0)
