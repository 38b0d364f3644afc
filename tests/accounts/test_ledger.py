"""What is left of an account's limit at the leader, and what hosts spend of it."""

from __future__ import annotations

import pytest

from jujubeslip.accounts import (
    AccountLedger,
    AlonePool,
    HostSpending,
    LedgerAnswer,
    LimitBounds,
    RateLimit,
)
from jujubeslip.accounts._alone_pool import RESUMED_SECONDS

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

    def test_begins_a_lead_with_little(self) -> None:
        """The leader before may have let run all that there was."""
        limit = RateLimit(per_second=1000, burst=5000)
        ledger = AccountLedger(BOUNDS, began_at=10)
        assert ledger.charge("a", limit, 2100, 10).wait > 0
        assert ledger.charge("a", limit, 1900, 10).wait == 0

    def test_takes_what_was_spent_below_nothing(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        told = ledger.settle("a", LIMIT, 3000, 10)
        assert (told.wait, told.near_limit) == (2.0, True)
        assert ledger.charge("a", LIMIT, 1, 11.9).wait > 0
        assert ledger.settle("a", LIMIT, -3000, 12).wait == 0
        assert ledger.left("a", LIMIT, 12) == 1000

    def test_leaves_the_new_burst_of_a_limit_that_is_lowered(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.left("a", LIMIT, 10) == 1000
        assert ledger.left("a", RateLimit(100, 100), 10) == 100

    def test_keeps_back_the_rate_of_hosts_that_it_does_not_hear(self) -> None:
        """They may be cut off, and spend it together."""
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 1000, 10).wait == 0
        ledger.set_heard_share(0.6, 10)
        assert ledger.left("a", LIMIT, 11) == pytest.approx(600)
        ledger.set_heard_share(1.0, 11)
        assert ledger.left("a", LIMIT, 11.2) == pytest.approx(800)

    def test_lets_one_run_that_is_larger_than_the_burst(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 5000, 10).wait == 0
        assert ledger.charge("a", LIMIT, 1, 13.9).wait > 0

    def test_keeps_accounts_apart(self) -> None:
        ledger = AccountLedger(EXACT, began_at=0)
        assert ledger.charge("a", LIMIT, 1000, 10).wait == 0
        assert ledger.charge("b", LIMIT, 1000, 10).wait == 0


class TestHostSpending:
    def host(self) -> HostSpending:
        return HostSpending(BOUNDS, lambda: 4, began_at=0)

    def test_runs_small_requests_and_asks_beyond_its_part(self) -> None:
        host = self.host()
        assert not host.spend("a", 200, 9).asks_leader
        assert host.spend("a", 200, 9).asks_leader
        (told,) = host.take_untold()
        assert told.amount == 200
        assert host.spend("a", 200, 9).asks_leader
        host.confirm([told])
        assert not host.spend("a", 200, 9).asks_leader

    def test_tells_again_what_may_not_have_arrived(self) -> None:
        host = self.host()
        host.spend("a", 200, 9)
        told = host.take_untold()
        host.put_back(told)
        assert host.take_untold() == told

    def test_asks_each_time_near_the_limit_and_refuses_by_itself_meanwhile(
        self,
    ) -> None:
        host = self.host()
        host.take_answer("a", LedgerAnswer(0.5, True), 9)
        assert host.spend("a", 1, 9.2).wait > 0
        assert host.spend("a", 1, 9.6).asks_leader
        host.take_answer("a", LedgerAnswer(0.0, False), 10)
        assert not host.spend("a", 1, 10).asks_leader

    def test_small_request_runs_without_a_leader(self) -> None:
        host = self.host()
        assert host.spend_alone("a", 200, 9)
        assert not host.spend_alone("a", 200, 9)

    def test_part_grows_after_a_start(self) -> None:
        """Hosts that start at once each took themselves for the only one."""
        host = self.host()
        assert host.spend("a", 100, 2).asks_leader
        assert not host.spend("a", 100, 4).asks_leader
        assert not host.spend_alone("a", 100, 6)
        assert host.spend_alone("a", 100, 7)

    def test_parts_are_lent_to_one_pool_at_a_time(self) -> None:
        host = self.host()
        assert host.lend("c1", 9)
        assert host.lend("c1", 15)
        assert not host.lend("c2", 22)
        assert host.lend("c2", 23.1)

    def test_one_that_has_just_started_has_none_to_lend(self) -> None:
        """Its process before may have lent its parts to another pool."""
        host = self.host()
        assert not host.lend("c1", 7.9)
        assert host.lend("c1", 8.1)


class TestAlonePool:
    """Hosts that find no leader have a fraction of a stream each.

    By lot, one host in four ran a stream, whichever the client had asked: in a zone
    that was cut off, 42 of some 100 streams were refused.
    """

    def pool(self, hosts: int) -> AlonePool:
        pool = AlonePool(BOUNDS)
        for host in range(hosts):
            pool.join(str(host), 10)
        return pool

    def test_parts_add_up(self) -> None:
        # A part is a hundredth of a tenth of 9,000, and of an eighth of 8,000.
        pool = self.pool(50)
        assert pool.charge("a", LIMIT, 900, 100, 11)
        assert not pool.charge("a", LIMIT, 100, 100, 11)
        assert pool.charge("b", LIMIT, 900, 100, 11)

    def test_what_was_spent_stays_spent_for_a_window(self) -> None:
        pool, burst_only = self.pool(50), RateLimit(per_second=1e-6, burst=8000)
        assert pool.charge("a", burst_only, 900, 100, 11)
        for now in range(12, 30):
            for host in range(50):
                pool.join(str(host), now)
            assert pool.charge("a", burst_only, 900, 100, now) is (now in (20, 29))

    def test_rate_counts_once_the_leader_has_missed_the_hosts(self) -> None:
        """In a zone that is cut off for long, the parts alone served half of it."""
        pool = self.pool(50)
        assert pool.charge("a", LIMIT, 900, 100, 11)
        for now in range(11, 16):
            for host in range(50):
                pool.join(str(host), now)
        # Two and a half seconds of half of the rate.
        assert not pool.charge("a", LIMIT, 1350, 100, 16)
        assert pool.charge("a", LIMIT, 1250, 100, 16)

    def test_hosts_that_join_no_more_are_not_counted(self) -> None:
        assert not self.pool(50).charge("a", LIMIT, 900, 100, 13)


class TestHostThatFoundALeaderBetween:
    """Guards against a rate that counts twice, at a leader and in the pool."""

    def test_begins_its_part_of_the_rate_anew(self) -> None:
        bounds = LimitBounds(8.0, 0.0, 8.0)
        limit = RateLimit(10.0, 0.0)
        pool = AlonePool(bounds)
        for tenth in range(100):
            pool.join("host", tenth / 10)
        pool.join("host", 9.9 + RESUMED_SECONDS + 0.5)
        assert not pool.charge("account", limit, 20.0, 1, 11.5)
