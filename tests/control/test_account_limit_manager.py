"""Tests of client account limits, as the leading control host keeps them."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.accounts import LimitBounds, RateLimit
from jujubeslip.control._account_limit_manager import AccountLimitManager
from jujubeslip.peers import AccountSpending

LIMIT = RateLimit(per_second=0.001, burst=500.0)
COST = 100.0


@pytest.fixture
def manager() -> AccountLimitManager:
    accounts: Any = SimpleNamespace(by_name={"a": SimpleNamespace(limit=LIMIT)})
    bounds = LimitBounds(window_seconds=4.0, overage=0.0, slack=4000.0)
    return AccountLimitManager(bounds, lambda: accounts, lambda: 0.0)


def left(manager: AccountLimitManager) -> float:
    return manager.uses()[0].left


class TestRepeatedCharge:
    """Guards against charging an account twice when the leader's reply is late."""

    def test_counts_once(self, manager: AccountLimitManager) -> None:
        spending = AccountSpending("a", COST, "charge-1")
        assert manager.charge(spending).wait_seconds == 0
        before = left(manager)
        assert manager.charge(spending).wait_seconds == 0
        assert left(manager) == pytest.approx(before, abs=1.0)

    def test_counts_each_time_without_an_id(self, manager: AccountLimitManager) -> None:
        manager.charge(AccountSpending("a", COST))
        before = left(manager)
        manager.charge(AccountSpending("a", COST))
        assert left(manager) == pytest.approx(before - COST, abs=1.0)
