"""Retry budgets: what one host may spend of a bound that all hosts share."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding import _retry_budgets
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets

OPTIONS = BudgetOptions(ratio=0.2, window_seconds=10.0, allowance=54.0)


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    current_time = [1000.0]
    monkeypatch.setattr(_retry_budgets, "steady_seconds", lambda: current_time[0])
    return current_time


def spend(budgets: RetryBudgets) -> int:
    """Return the number of retries left, and spend them."""
    count = 0
    while budgets.spend("service"):
        count += 1
    return count


class TestBudget:
    """Guards against retries that overload a service which loses answers.

    Seven hosts retry independently. Together they must stay below the bound in any ten
    seconds, or the failing service gets even more work.
    """

    def test_sum_over_hosts_keeps_the_bound(self, now: list[float]) -> None:
        hosts = [RetryBudgets(OPTIONS, lambda: 7) for _ in range(7)]
        now[0] += OPTIONS.window_seconds
        for host in hosts:
            for _ in range(20):
                host.note_request("service")
        assert sum(spend(host) for host in hosts) <= 0.2 * 7 * 20 + 54

    def test_restarted_host_spends_less(self, now: list[float]) -> None:
        """It may have spent its share just before it was killed."""
        fresh, old = (RetryBudgets(OPTIONS, lambda: 7) for _ in range(2))
        first = spend(fresh)
        now[0] += 2 * OPTIONS.window_seconds
        assert first < spend(old)

    def test_retries_that_were_sent_count_whether_one_was_left_or_not(
        self, now: list[float]
    ) -> None:
        budgets = RetryBudgets(OPTIONS, lambda: 7)
        for _ in range(50):
            budgets.charge("service")
        assert spend(budgets) == 0

    def test_retries_are_restored_after_the_window(self, now: list[float]) -> None:
        budgets = RetryBudgets(OPTIONS, lambda: 7)
        spend(budgets)
        now[0] += OPTIONS.window_seconds + 0.1
        assert spend(budgets) > 0
