"""The leader's ledger, the spending of hosts, and their pool without a leader."""

from __future__ import annotations

import pytest

from jujubeslip.accounts import (
    AccountLedger,
    HostSpending,
    LeaderlessPool,
    LedgerAnswer,
    LimitBounds,
    Loan,
    RateLimit,
)
from jujubeslip.accounts._pool_members import REJOIN_SECONDS

LIMIT = RateLimit(per_second=1000, burst=1000)
EXACT = LimitBounds(8, 0, 0)
BOUNDS = LimitBounds(8, 0.1, 8000)


class TestLedger:
    def test_refuses_with_the_time_until_enough_is_free(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 800, 10).wait == 0
        refused = ledger.charge("a", LIMIT, 800, 10)
        assert refused.wait == pytest.approx(0.6)
        assert refused.near_limit
        assert ledger.charge("a", LIMIT, 800, 10.61).wait == 0

    def test_new_leader_starts_with_a_low_level(self) -> None:
        """The previous leader may have admitted the whole limit."""
        limit = RateLimit(per_second=1000, burst=5000)
        ledger = AccountLedger(BOUNDS, began_at=10)
        assert ledger.charge("a", limit, 2100, 10).wait > 0
        assert ledger.charge("a", limit, 1900, 10).wait == 0

    def test_reported_spending_takes_level_below_zero(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        reported = ledger.settle("a", LIMIT, 3000, 10)
        assert (reported.wait, reported.near_limit) == (2.0, True)
        assert ledger.charge("a", LIMIT, 1, 11.9).wait > 0
        assert ledger.settle("a", LIMIT, -3000, 12).wait == 0
        assert ledger.left("a", LIMIT, 12) == 1000

    def test_lowered_limit_leaves_its_new_burst(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.left("a", LIMIT, 10) == 1000
        assert ledger.left("a", RateLimit(100, 100), 10) == 100

    def test_withholds_rate_of_hosts_not_heard_from(self) -> None:
        """Partitioned hosts may spend their rate together, beside the ledger."""
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 1000, 10).wait == 0
        ledger.set_heard_share(0.6, 10)
        assert ledger.left("a", LIMIT, 11) == pytest.approx(600)
        ledger.set_heard_share(1.0, 11)
        assert ledger.left("a", LIMIT, 11.2) == pytest.approx(800)

    def test_admits_one_request_larger_than_the_burst(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 5000, 10).wait == 0
        assert ledger.charge("a", LIMIT, 1, 13.9).wait > 0

    def test_keeps_accounts_apart(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 1000, 10).wait == 0
        assert ledger.charge("b", LIMIT, 1000, 10).wait == 0


def has_base(loan: Loan | None) -> bool:
    return loan is not None and loan.has_base


class TestHostSpending:
    def host(self) -> HostSpending:
        return HostSpending(BOUNDS, lambda: 4, began_at=0)

    def test_admits_small_requests_and_asks_beyond_its_bound(self) -> None:
        host = self.host()
        assert not host.spend("a", 200, 9).asks_leader
        assert host.spend("a", 200, 9).asks_leader
        (reported,) = host.take_unreported()
        assert reported.amount == 200
        assert host.spend("a", 200, 9).asks_leader
        host.confirm([reported])
        assert not host.spend("a", 200, 9).asks_leader

    def test_reports_again_what_may_be_lost(self) -> None:
        host = self.host()
        host.spend("a", 200, 9)
        reported = host.take_unreported()
        host.mark_unconfirmed(reported)
        assert host.take_unreported() == reported

    def test_asks_each_time_near_the_limit_and_refuses_until_retry_time(
        self,
    ) -> None:
        host = self.host()
        host.apply_answer("a", LedgerAnswer(0.5, True), 9)
        assert host.spend("a", 1, 9.2).wait > 0
        assert host.spend("a", 1, 9.6).asks_leader
        host.apply_answer("a", LedgerAnswer(0.0, False), 10)
        assert not host.spend("a", 1, 10).asks_leader

    def test_small_request_runs_without_a_leader(self) -> None:
        host = self.host()
        assert host.spend_without_leader("a", 200, 9)
        assert not host.spend_without_leader("a", 200, 9)

    def test_bound_grows_after_a_start(self) -> None:
        """Hosts that start at the same time each count themselves as the only one."""
        host = self.host()
        assert host.spend("a", 100, 2).asks_leader
        assert not host.spend("a", 100, 4).asks_leader
        assert not host.spend_without_leader("a", 100, 6)
        assert host.spend_without_leader("a", 100, 7)

    def test_shares_are_lent_to_one_pool_at_a_time(self) -> None:
        host = self.host()
        assert has_base(host.lend("c1", 9))
        assert has_base(host.lend("c1", 15))
        assert not has_base(host.lend("c2", 22))
        assert has_base(host.lend("c2", 23.1))

    def test_share_of_the_rate_may_move_at_once(self) -> None:
        """Guards against hosts that lend nothing after their pool's host is lost."""
        host = self.host()
        host.lend("c1", 9)
        first, moved = host.lend("c1", 11), host.lend("c2", 12)
        assert first and moved
        assert first.lent_seconds == 2 and moved.lent_seconds == 0
        assert moved.loan_id > first.loan_id

    def test_loan_ends_when_the_host_finds_a_leader(self) -> None:
        host = self.host()
        host.lend("c1", 9)
        host.end_loan()
        again = host.lend("c1", 12)
        assert again and again.lent_seconds == 0

    def test_newly_started_host_has_no_shares_to_lend(self) -> None:
        """The host's previous process may have lent its shares to another pool."""
        host = self.host()
        assert host.lend("c1", 7.9) is None
        assert has_base(host.lend("c1", 8.1))


class TestLeaderlessPool:
    """Guards against streams refused since each leaderless host has a fraction of one.

    Without a pool, one host in four was drawn to run a stream, whichever host the
    client called: in a partitioned zone, 42 of some 100 streams were refused.
    """

    def pool(self, hosts: int) -> LeaderlessPool:
        pool = LeaderlessPool(BOUNDS)
        for host in range(hosts):
            pool.join(str(host), 10)
        return pool

    def test_shares_add_up(self) -> None:
        # A share is a hundredth of a tenth of 9,000 plus an eighth of 8,000.
        pool = self.pool(50)
        assert pool.charge("a", LIMIT, 900, 100, 11).may_run
        assert not pool.charge("a", LIMIT, 100, 100, 11).may_run
        assert pool.charge("b", LIMIT, 900, 100, 11).may_run

    def test_charges_count_for_a_window(self) -> None:
        pool, burst_only = self.pool(50), RateLimit(per_second=1e-6, burst=8000)
        assert pool.charge("a", burst_only, 900, 100, 11).may_run
        for now in range(12, 30):
            for host in range(50):
                pool.join(str(host), now)
            may_run = pool.charge("a", burst_only, 900, 100, now).may_run
            assert may_run is (now in (20, 29))

    def test_rate_counts_once_the_leader_withholds_it(self) -> None:
        """In a long partition, a zone's shares without rate served half of its load."""
        pool = self.pool(50)
        assert pool.charge("a", LIMIT, 900, 100, 11).may_run
        for now in range(11, 16):
            for host in range(50):
                pool.join(str(host), now)
        # Two and a half seconds at half of the rate.
        assert not pool.charge("a", LIMIT, 1350, 100, 16).may_run
        assert pool.charge("a", LIMIT, 1250, 100, 16).may_run

    def test_hosts_that_stopped_joining_are_not_counted(self) -> None:
        assert not self.pool(50).charge("a", LIMIT, 900, 100, 13).may_run


class TestHostWithALeaderInBetween:
    """Guards against a rate that counts twice, at the leader and in the pool."""

    def test_its_rate_share_starts_again(self) -> None:
        bounds = LimitBounds(8.0, 0.0, 8.0)
        limit = RateLimit(10.0, 0.0)
        pool = LeaderlessPool(bounds)
        for tenth in range(100):
            pool.join("host", tenth / 10)
        pool.join("host", 9.9 + REJOIN_SECONDS + 0.5)
        assert not pool.charge("account", limit, 20.0, 1, 11.5).may_run
