"""Simulations of few engines that are lost while leaders change."""

from __future__ import annotations

import statistics
from dataclasses import replace

import pytest

from bench.replay._patterns import (
    LOST_LEADERS_PATTERNS,
    random_pattern_with_lost_leader,
)
from jujubeslip.peers import EndpointRole
from tests.bench.test_few_engines import MINIMUM_WORTH, SEEDS, simulate

PATTERN_BY_NAME = {pattern.name: pattern for pattern in LOST_LEADERS_PATTERNS}
PATTERN_SEEDS = range(1, 25)
# Mean share of the worth of all requests that the random patterns earn.
MEAN_WORTH = 0.6
# An order takes a scan, a report request to the engine and the order itself.
ORDER_SECONDS = 2.0


class TestLossOfLeader:
    """Guards against a new leader that gives no orders for some seconds."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", PATTERN_BY_NAME)
    def test_earns_half_of_the_worth(self, name: str, seed: int) -> None:
        assert simulate(PATTERN_BY_NAME[name], seed).worth >= MINIMUM_WORTH

    def test_earns_half_and_the_mean_with_random_losses(self) -> None:
        worths = [
            simulate(random_pattern_with_lost_leader(seed), seed).worth
            for seed in PATTERN_SEEDS
        ]
        assert min(worths) >= MINIMUM_WORTH
        assert statistics.mean(worths) >= MEAN_WORTH

    @pytest.mark.parametrize("seed", SEEDS)
    def test_last_prefill_engine_is_replaced_by_the_next_leader(
        self, seed: int
    ) -> None:
        lost = "both readers leave before and one engine crashes after a leader is lost"
        pattern = replace(PATTERN_BY_NAME[lost], decode_engines=4)
        leads_at = pattern.leaders_lost[0].ends
        orders = simulate(pattern, seed).orders
        assert orders and orders[0][1] is EndpointRole.PREFILL
        assert orders[0][0] <= leads_at + ORDER_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_idle_prefill_engine_is_ordered_to_decode_by_the_next_leader(
        self, seed: int
    ) -> None:
        pattern = PATTERN_BY_NAME[
            "one that answers leaves before and one after a leader is lost"
        ]
        lost_at = pattern.losses[-1].at
        orders = simulate(pattern, seed).orders
        assert orders and orders[0][1] is EndpointRole.DECODE
        assert orders[0][0] <= lost_at + ORDER_SECONDS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_order_is_given_once_across_leaders(self, seed: int) -> None:
        pattern = PATTERN_BY_NAME["a leader is lost while its order is carried out"]
        orders = simulate(pattern, seed).orders
        assert [role for _, role in orders] == [EndpointRole.PREFILL]


class TestPrefillEnginesLeavingDuringRoleChanges:
    """Guards against seconds without a prefill engine while one could be ordered."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_are_replaced_immediately(self, seed: int) -> None:
        pattern = PATTERN_BY_NAME[
            "both readers leave while two engines change to answer"
        ]
        lost_at = pattern.losses[0].at
        orders = simulate(pattern, seed).orders
        prefill_orders = [at for at, role in orders if role is EndpointRole.PREFILL]
        assert prefill_orders and prefill_orders[0] <= lost_at + ORDER_SECONDS
