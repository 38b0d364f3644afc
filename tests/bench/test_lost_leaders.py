"""Few engines that are lost while leaders change, replayed in virtual time."""

from __future__ import annotations

import statistics

import pytest

from bench.replay._patterns import (
    LOST_LEADERS_PATTERNS,
    drawn_pattern_with_lost_leader,
)
from jujubeslip.peers import EndpointRole
from tests.bench.test_few_engines import LEAST_WORTH, SEEDS, played

PATTERN_BY_NAME = {pattern.name: pattern for pattern in LOST_LEADERS_PATTERNS}
DRAWS = range(1, 25)
# Share of what callers are owed that is earned in the mean of all draws.
MEAN_WORTH = 0.6
# An order takes a look, a question to the engine and the order itself.
ORDER_SECONDS = 2.0


class TestFewEnginesWhoseLeaderIsLost:
    """Guards against seconds in which a new leader orders no engine."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", PATTERN_BY_NAME)
    def test_earn_half_of_what_is_owed(self, name: str, seed: int) -> None:
        assert played(PATTERN_BY_NAME[name], seed).worth >= LEAST_WORTH

    def test_earn_half_and_the_mean_whatever_is_drawn(self) -> None:
        worths = [
            played(drawn_pattern_with_lost_leader(seed), seed).worth for seed in DRAWS
        ]
        assert min(worths) >= LEAST_WORTH
        assert statistics.mean(worths) >= MEAN_WORTH

    @pytest.mark.parametrize("seed", SEEDS)
    def test_last_reader_is_replaced_by_the_next_leader(self, seed: int) -> None:
        pattern = PATTERN_BY_NAME[
            "both readers leave before and one engine crashes after a leader is lost"
        ]
        leads_at = pattern.leaders_lost[0].ends
        orders = played(pattern, seed).orders
        assert orders and orders[0][1] is EndpointRole.PREFILL
        assert orders[0][0] <= leads_at + ORDER_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_idle_reader_is_ordered_to_answer_by_the_next_leader(
        self, seed: int
    ) -> None:
        pattern = PATTERN_BY_NAME[
            "one that answers leaves before and one after a leader is lost"
        ]
        lost_at = pattern.losses[-1].at
        orders = played(pattern, seed).orders
        assert orders and orders[0][1] is EndpointRole.DECODE
        assert orders[0][0] <= lost_at + ORDER_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_order_that_is_carried_out_is_given_once(self, seed: int) -> None:
        pattern = PATTERN_BY_NAME["a leader is lost while its order is carried out"]
        orders = played(pattern, seed).orders
        assert [role for _, role in orders] == [EndpointRole.PREFILL]


class TestReadersThatLeaveWhileEnginesChangeToAnswer:
    """Guards against seconds without a reader beside an engine that can be ordered."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_are_replaced_at_once(self, seed: int) -> None:
        pattern = PATTERN_BY_NAME[
            "both readers leave while two engines change to answer"
        ]
        lost_at = pattern.losses[0].at
        orders = played(pattern, seed).orders
        to_read = [at for at, role in orders if role is EndpointRole.PREFILL]
        assert to_read and to_read[0] <= lost_at + ORDER_SECONDS
