"""The share of second sends, and the bound on these and retries together."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from jujubeslip.forwarding import _retry_budgets
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets
from jujubeslip.hedging import RecentSends, SecondSendBudget

HOSTS = 77
SHARE, RATIO, ALLOWANCE, WINDOW_SECONDS = 0.05, 0.2, 194.0, 10.0
ROOM = RecentSends(requests=0, repeats=0, maximum_repeats=100.0)


def spend_all(budget: SecondSendBudget, recent: RecentSends = ROOM) -> int:
    count = 0
    while budget.spend("service", recent):
        count += 1
    return count


class TestShare:
    def test_is_earned_by_requests(self) -> None:
        budget = SecondSendBudget(SHARE)
        for number in range(100):
            recent = RecentSends(number + 1, 0, 100.0)
            budget.note_request("service", recent)
        assert spend_all(budget) == 5
        assert not budget.spend("other", ROOM)

    def test_of_a_host_with_few_requests_adds_up(self) -> None:
        budget = SecondSendBudget(SHARE)
        for _ in range(21):
            budget.note_request("service", RecentSends(1, 0, 100.0))
        assert spend_all(budget) == 1

    def test_does_not_add_up_over_a_quiet_time(self) -> None:
        """Otherwise a burst of second sends would follow, far above the share."""
        budget = SecondSendBudget(SHARE)
        for _ in range(1000):
            budget.note_request("service", RecentSends(10, 0, 100.0))
        assert spend_all(budget) == 1

    def test_is_nothing_without_requests(self) -> None:
        assert spend_all(SecondSendBudget(SHARE)) == 0

    def test_is_not_spent_beyond_the_bound_on_repeats(self) -> None:
        budget = SecondSendBudget(SHARE)
        for number in range(100):
            budget.note_request("service", RecentSends(number, 0, 100.0))
        assert spend_all(budget, RecentSends(100, 20, 20.5)) == 0

    def test_of_a_service_that_is_gone_is_forgotten(self) -> None:
        budget = SecondSendBudget(1.0)
        budget.note_request("service", ROOM)
        budget.keep_services({"other"})
        assert not budget.spend("service", ROOM)


class _Hosts:
    """Hosts that repeat as much as they may, and count when."""

    def __init__(self, now: list[float]) -> None:
        self._now = now
        options = BudgetOptions(RATIO, WINDOW_SECONDS, ALLOWANCE, SHARE)
        self.budgets = [RetryBudgets(options, lambda: HOSTS) for _ in range(HOSTS)]
        self._seconds = [SecondSendBudget(SHARE) for _ in range(HOSTS)]
        self.requests_at: list[float] = []
        self.seconds_at: list[float] = []
        self.retries_at: list[float] = []

    def request(self, number: int) -> None:
        budgets = self.budgets[number]
        budgets.note_request("service")
        recent = budgets.recent_sends("service")
        self._seconds[number].note_request("service", recent)
        self.requests_at.append(self._now[0])

    def send_second(self, number: int) -> None:
        budgets = self.budgets[number]
        if self._seconds[number].spend("service", budgets.recent_sends("service")):
            budgets.note_second_send("service")
            self.seconds_at.append(self._now[0])

    def retry(self, number: int) -> None:
        if self.budgets[number].spend("service"):
            self.retries_at.append(self._now[0])

    def excess(self) -> float:
        """Return the largest excess of repeats over the bound, in any window."""
        repeats = sorted(self.seconds_at + self.retries_at)
        return max(
            _count(repeats, begin) - RATIO * self._requests_for(begin) - ALLOWANCE
            for begin in repeats
        )

    def _requests_for(self, begin: float) -> int:
        return max(
            _count(self.requests_at, begin - back)
            for back in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )


def _count(times: list[float], begin: float) -> int:
    return sum(begin <= item < begin + WINDOW_SECONDS for item in times)


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[float]]:
    current_time = [1000.0]
    monkeypatch.setattr(_retry_budgets, "steady_seconds", lambda: current_time[0])
    yield current_time


class TestSumOverHosts:
    """Guards against second sends and retries that together overload a service.

    All hosts send as many of both as they may, after a time in which they needed none.
    """

    @pytest.mark.parametrize("rate", [20.0, 105.0, 400.0])
    @pytest.mark.parametrize("seconds_first", [True, False])
    def test_keeps_the_bound_on_repeats(
        self, now: list[float], rate: float, seconds_first: bool
    ) -> None:
        draw = random.Random(7)
        hosts = _Hosts(now)
        for step in range(600):
            now[0] += 0.1
            for _ in range(int(rate / 10)):
                hosts.request(draw.randrange(HOSTS))
            if step < 400:
                continue
            for number in range(HOSTS):
                actions = [hosts.send_second, hosts.retry]
                for act in actions if seconds_first else reversed(actions):
                    act(number)
        assert hosts.retries_at
        # Retries that come first may use up the bound on both.
        assert hosts.seconds_at or not seconds_first
        assert hosts.excess() <= 0

    def test_keeps_the_share_while_each_request_is_slow(self, now: list[float]) -> None:
        draw = random.Random(8)
        hosts = _Hosts(now)
        for _ in range(1200):
            now[0] += 0.1
            for _ in range(10):
                number = draw.randrange(HOSTS)
                hosts.request(number)
                hosts.send_second(number)
        assert len(hosts.seconds_at) <= SHARE * len(hosts.requests_at)
        assert len(hosts.seconds_at) >= 0.8 * SHARE * len(hosts.requests_at)


class TestRetries:
    """Guards against second sends that take the retries of failed requests."""

    @staticmethod
    def count_retries(budgets: RetryBudgets) -> int:
        count = 0
        while budgets.spend("service"):
            count += 1
        return count

    def test_keep_what_the_settings_leave_them(self, now: list[float]) -> None:
        options = BudgetOptions(RATIO, WINDOW_SECONDS, 0.0, SHARE)
        budgets = RetryBudgets(options, lambda: 1)
        for _ in range(100):
            budgets.note_request("service")
        for _ in range(50):
            budgets.note_second_send("service")
        without = RetryBudgets(BudgetOptions(RATIO - SHARE, 10.0, 0.0), lambda: 1)
        for _ in range(100):
            without.note_request("service")
        assert self.count_retries(budgets) == self.count_retries(without) == 12

    def test_may_use_the_share_that_second_sends_leave(self, now: list[float]) -> None:
        budgets = RetryBudgets(BudgetOptions(RATIO, 10.0, 0.0, SHARE), lambda: 1)
        without = RetryBudgets(BudgetOptions(RATIO, 10.0, 0.0), lambda: 1)
        for _ in range(100):
            budgets.note_request("service")
            without.note_request("service")
        assert self.count_retries(budgets) == self.count_retries(without) == 16
