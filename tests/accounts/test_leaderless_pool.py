"""Loans of hosts' shares to pools: moves, restarts, messages that are handled late."""

from __future__ import annotations

import math

import pytest

from jujubeslip.accounts import LeaderlessPool, LimitBounds, Loan, RateLimit

WINDOW = 8.0
# Without a base share, so that only rates count.
RATE_ONLY = LimitBounds(WINDOW, 0.0, 0.0)
LIMIT = RateLimit(per_second=1000.0, burst=0.0)
HOSTS = 10
NOW = 100.0
Spans = list[tuple[float, float]]


def pool_of(spans: Spans, began_at: float = -math.inf) -> LeaderlessPool:
    return LeaderlessPool(RATE_ONLY, lambda: spans, began_at)


def join_all(pool: LeaderlessPool, now: float, lent: float, loan_id: int = 1) -> None:
    for host in range(HOSTS):
        pool.join(str(host), now, Loan(loan_id, lent, False), HOSTS)


def left(pool: LeaderlessPool, now: float) -> float:
    """Return what the pool allows of the limit, by asking for far too much."""
    return pool.charge("a", LIMIT, 1e9, HOSTS, now).left


class TestRatesOfHostsWithoutALeader:
    """Guards against refusals although nobody else can grant the rate.

    While the control hosts were split for 4 s, rates counted only after 3.5 s, and a
    third of all requests was refused.
    """

    def test_count_as_soon_as_no_lease_can_be_valid(self) -> None:
        pool = pool_of([(NOW - 1, NOW)])
        join_all(pool, NOW, lent=2.0)
        assert left(pool, NOW) == pytest.approx(1000)

    def test_do_not_count_while_a_leader_may_grant_them(self) -> None:
        pool = pool_of([])
        join_all(pool, NOW, lent=3.4)
        assert left(pool, NOW) == 0

    def test_count_once_a_leader_must_have_missed_the_hosts(self) -> None:
        pool = pool_of([])
        join_all(pool, NOW, lent=4.5)
        assert left(pool, NOW) == pytest.approx(1000)

    def test_count_once_for_both_reasons(self) -> None:
        pool = pool_of([(NOW - 4, NOW)])
        join_all(pool, NOW, lent=5.0)
        assert left(pool, NOW) == pytest.approx(4000)

    def test_wait_is_the_time_until_enough_is_free(self) -> None:
        pool = pool_of([(NOW - 1, NOW)])
        join_all(pool, NOW, lent=1.0)
        answer = pool.charge("a", LIMIT, 1500, HOSTS, NOW)
        assert not answer.may_run
        assert answer.wait == pytest.approx(0.5)

    def test_wait_is_unknown_while_a_leader_may_grant(self) -> None:
        pool = pool_of([])
        join_all(pool, NOW, lent=1.0)
        assert pool.charge("a", LIMIT, 1500, HOSTS, NOW).wait == math.inf


class TestHostThatMovesToAnotherPool:
    """Guards against a share that is spent at two control hosts."""

    def test_rate_counts_in_one_pool_at_a_time(self) -> None:
        spans = [(NOW, NOW + 4)]
        former, next_pool = pool_of(spans), pool_of(spans)
        join_all(former, NOW + 2, lent=2.0, loan_id=1)
        join_all(next_pool, NOW + 4, lent=2.0, loan_id=2)
        together = left(former, NOW + 4) + left(next_pool, NOW + 4)
        assert together == pytest.approx(4000)

    def test_message_that_is_handled_late_adds_nothing(self) -> None:
        """A control host that stood still goes on with messages from before."""
        pool = pool_of([(NOW - 2, NOW + 6)])
        join_all(pool, NOW, lent=2.0)
        before = left(pool, NOW)
        join_all(pool, NOW + 3, lent=1.9)
        join_all(pool, NOW + 3, lent=2.0)
        assert left(pool, NOW + 3) == pytest.approx(before)

    def test_return_adds_to_what_was_lent_before(self) -> None:
        pool = pool_of([(NOW - 1, NOW + 4)])
        join_all(pool, NOW, lent=1.0, loan_id=1)
        join_all(pool, NOW + 4, lent=0.5, loan_id=3)
        assert left(pool, NOW + 4) == pytest.approx(1500)

    def test_message_of_an_earlier_loan_is_ignored(self) -> None:
        pool = pool_of([(NOW - 1, NOW + 4)])
        join_all(pool, NOW + 1, lent=0.5, loan_id=3)
        join_all(pool, NOW + 1, lent=2.0, loan_id=1)
        assert left(pool, NOW + 1) == pytest.approx(500)

    def test_base_share_stays_in_the_former_pool(self) -> None:
        bounds = LimitBounds(WINDOW, 0.0, 8000.0)
        pool = LeaderlessPool(bounds)
        pool.join("0", NOW, Loan(2, 1.0, has_base=False), 1)
        assert not pool.charge("a", LIMIT, 1, 1, NOW).may_run
        pool.join("0", NOW, Loan(2, 1.5, has_base=True), 1)
        assert pool.charge("a", LIMIT, 1000, 1, NOW).may_run


class TestPoolThatHasJustStarted:
    """Guards against charges that a previous process of the host has forgotten."""

    def test_counts_rates_from_its_begin_on(self) -> None:
        pool = pool_of([(NOW - 4, NOW)], began_at=NOW - 1)
        join_all(pool, NOW, lent=4.0)
        assert left(pool, NOW) == pytest.approx(1000)

    def test_counts_other_shares_after_a_window(self) -> None:
        bounds = LimitBounds(WINDOW, 0.0, 8000.0)
        pool = LeaderlessPool(bounds, began_at=NOW)
        for now, may_run in ((NOW + 1, False), (NOW + WINDOW, True)):
            pool.join("0", now, Loan(1, 0.0), 1)
            assert pool.charge("a", LIMIT, 1000, 1, now).may_run is may_run


class TestNumberOfHosts:
    """Guards against a host that knows few others and takes their shares, too."""

    def test_is_the_largest_that_a_member_knows(self) -> None:
        pool = pool_of([(NOW - 1, NOW)])
        join_all(pool, NOW, lent=1.0)
        assert pool.charge("a", LIMIT, 1001, 1, NOW).may_run is False


class TestPriorities:
    """Guards against a pool that is used up by requests of lower priority."""

    def test_part_is_kept_for_the_highest(self) -> None:
        pool = LeaderlessPool(LimitBounds(WINDOW, 0.0, 8000.0))
        pool.join("0", NOW, Loan(1, 0.0), 1)
        assert not pool.charge("a", LIMIT, 800, 1, NOW, priority=1).may_run
        assert pool.charge("a", LIMIT, 700, 1, NOW, priority=1).may_run
        assert not pool.charge("a", LIMIT, 100, 1, NOW, priority=1).may_run
        assert pool.charge("a", LIMIT, 300, 1, NOW, priority=0).may_run


class TestRatesThatWereNotSpent:
    """Guards against a burst of a pool beside that of a leader in the same window."""

    def test_do_not_add_up(self) -> None:
        spans = [(NOW, NOW + 6)]
        pool = LeaderlessPool(LimitBounds(WINDOW, 0.0, 8000.0), lambda: spans)
        pool.join("0", NOW + 6, Loan(1, 6.0), 1)
        # The share of the slack, and none of the 6,000 of the rate.
        assert pool.charge("a", LIMIT, 900, 1, NOW + 6).may_run
        assert not pool.charge("a", LIMIT, 200, 1, NOW + 6).may_run
        spans[0] = (NOW, NOW + 6.5)
        pool.join("0", NOW + 6.5, Loan(1, 6.5), 1)
        assert pool.charge("a", LIMIT, 500, 1, NOW + 6.5).may_run
        assert not pool.charge("a", LIMIT, 200, 1, NOW + 6.5).may_run

    def test_add_up_for_limits_of_endpoints(self) -> None:
        """Deployments without accounts are served as they were."""
        bounds = LimitBounds(WINDOW, 0.0, 8000.0)
        pool = LeaderlessPool(bounds, rates_add_up=True)
        for tenth in range(65):
            pool.join("0", NOW + tenth / 10)
        assert pool.charge("a", LIMIT, 2000, 1, NOW + 6.5).may_run
        assert pool.charge("a", LIMIT, 1900, 1, NOW + 6.5).may_run

    def test_one_request_may_be_larger_than_the_share_of_the_slack(self) -> None:
        """Streams cost more than the shares of a zone's hosts."""
        spans = [(NOW, NOW + 6)]
        pool = LeaderlessPool(LimitBounds(WINDOW, 0.0, 8000.0), lambda: spans)
        pool.join("0", NOW + 6, Loan(1, 6.0), 1)
        assert not pool.charge("a", LIMIT, 8000, 1, NOW + 6).may_run
        assert pool.charge("a", LIMIT, 5000, 1, NOW + 6).may_run
        refused = pool.charge("a", LIMIT, 1000, 1, NOW + 6)
        assert not refused.may_run
        assert refused.wait == pytest.approx(5.0)
