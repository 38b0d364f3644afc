"""Further sends: what one host may spend of a bound that all hosts share."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding import _budget
from jujubeslip.forwarding._budget import BudgetOptions, RetryBudgets

OPTIONS = BudgetOptions(ratio=0.2, window_seconds=10.0, allowance=54.0)


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    instant = [1000.0]
    monkeypatch.setattr(_budget, "steady_seconds", lambda: instant[0])
    return instant


def spend(budgets: RetryBudgets) -> int:
    """Return how many further sends are left, and spend them."""
    count = 0
    while budgets.take("service"):
        count += 1
    return count


class TestBudget:
    """Workers lose answers, and seven hosts send requests again, each on its own.

    Together they must stay below the bound in any ten seconds, or the service that is
    in trouble gets more work than it had.
    """

    def test_sum_over_hosts_keeps_the_bound(self, now: list[float]) -> None:
        hosts = [RetryBudgets(OPTIONS, lambda: 7) for _ in range(7)]
        now[0] += OPTIONS.window_seconds
        for host in hosts:
            for _ in range(20):
                host.note_request("service")
        assert sum(spend(host) for host in hosts) <= 0.2 * 7 * 20 + 54

    def test_host_that_started_anew_spends_less(self, now: list[float]) -> None:
        """It may have spent its share just before it was killed."""
        fresh, old = (RetryBudgets(OPTIONS, lambda: 7) for _ in range(2))
        first = spend(fresh)
        now[0] += 2 * OPTIONS.window_seconds
        assert first < spend(old)

    def test_sends_that_happened_count_whether_one_was_left_or_not(
        self, now: list[float]
    ) -> None:
        budgets = RetryBudgets(OPTIONS, lambda: 7)
        for _ in range(50):
            budgets.charge("service")
        assert spend(budgets) == 0

    def test_sends_are_given_back_after_the_window(self, now: list[float]) -> None:
        budgets = RetryBudgets(OPTIONS, lambda: 7)
        spend(budgets)
        now[0] += OPTIONS.window_seconds + 0.1
        assert spend(budgets) > 0
