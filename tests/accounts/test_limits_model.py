"""The sum of an account's limit over all hosts, replayed with faults."""

from __future__ import annotations

import pytest

from bench.accounts.measure import BOUNDS, LIMIT_BY_SIZE, loads
from bench.accounts.model import (
    WAYS,
    ChargedAtLeader,
    Load,
    Span,
    random_load,
    replay,
)
from jujubeslip.accounts import LimitBounds, RateLimit

SEEDS = range(12)


def wrong_percent(load: Load) -> float:
    """Return how many of 100 requests are refused that one counter would let run."""
    outcomes = [replay(load, seed, ChargedAtLeader) for seed in SEEDS]
    wrong = sum(item.wrong for item in outcomes)
    return 100 * wrong / sum(item.offered for item in outcomes)


class TestSumOverAllHosts:
    """One account sends many times its usual, at one host or at all.

    Its answers would take the engines from all others. Meanwhile the leader is lost and
    another one knows nothing of what ran, a part of the hosts is cut off, answers are
    lost, and hosts start anew with what they had not told.
    """

    @pytest.mark.parametrize("seed", [*range(60), 1721])
    def test_keeps_the_bound(self, seed: int) -> None:
        assert replay(random_load(seed), seed, ChargedAtLeader).worst_share <= 1

    def test_is_passed_where_shares_follow_the_demand(self) -> None:
        """An account that was quiet gets its whole limit at each of 65 hosts."""
        load = loads(65, LIMIT_BY_SIZE["large"])["surge to 11 limits"]
        assert replay(load, 0, WAYS["shares by demand"]).worst_share > 1
        assert replay(load, 0, ChargedAtLeader).worst_share <= 1


class TestAccountWithinItsLimit:
    """An account far below its limit is refused, since no host has enough for it.

    A stream counts thousands of tokens, and an even part of the limit is some hundred:
    one in six requests was refused.
    """

    @pytest.mark.parametrize("hosts", [7, 65, 195])
    @pytest.mark.parametrize("size", LIMIT_BY_SIZE)
    def test_is_hardly_ever_refused(self, size: str, hosts: int) -> None:
        by_name = loads(hosts, LIMIT_BY_SIZE[size])
        assert wrong_percent(by_name["0.55 of the limit"]) < 1
        assert wrong_percent(by_name["0.9 of the limit"]) < 1
        assert wrong_percent(by_name["at the limit"]) < 5
        assert wrong_percent(by_name["0.9, most at one host"]) < 1

    def test_is_refused_with_even_parts(self) -> None:
        load = loads(65, LIMIT_BY_SIZE["small"])["0.55 of the limit"]
        outcome = replay(load, 0, WAYS["even parts"])
        assert outcome.wrong > outcome.offered / 10

    def test_is_hardly_refused_while_a_leader_is_elected(self) -> None:
        load = loads(65, LIMIT_BY_SIZE["small"])["0.55, leader lost"]
        assert wrong_percent(load) < 5


class TestSlackOfNothing:
    """The operator allows nothing beyond the limit: each request is asked for."""

    def test_keeps_the_limit_itself(self) -> None:
        exact = LimitBounds(8, 0, 0)
        limit = RateLimit(29_000, 29_000)
        load = Load(65, limit, exact, 20, usual=2, without_leader=(Span(8, 9),))
        assert replay(load, 1, ChargedAtLeader).worst_share <= 1
        assert BOUNDS.most(limit) > exact.most(limit)
