"""Loads in which priorities and accounts compete for engines, in virtual time."""

from __future__ import annotations

import statistics
from functools import lru_cache

import pytest

from bench.shares._loads import LOADS, Load
from bench.shares._simulation import (
    HIGHER,
    LOWER,
    POLICIES,
    Policy,
    Result,
    Simulation,
)

SEEDS = (1, 2)
LOAD_BY_NAME = {load.name: load for load in LOADS}
BY_TARGET, STRICT, PARTS, SHARE, BOTH, _ = POLICIES
SCARCE = (
    "two priorities at 1.5 times the memory",
    "two priorities at 2 times the memory",
)
SURGES = (
    "one account at 7 times its usual for 10 s",
    "three accounts at 7 times their usual for 10 s",
)
FAULTS = (
    "a surge that begins with the loss of a fifth of the engines",
    "a new leader in the middle of a surge",
)


@lru_cache
def results(load: Load, policy: Policy) -> tuple[Result, ...]:
    return tuple(Simulation(load, policy, seed).run() for seed in SEEDS)


def in_time(name: str, policy: Policy, priority: int) -> float:
    found = results(LOAD_BY_NAME[name], policy)
    return statistics.mean(item.in_time(priority) for item in found)


def worth(name: str, policy: Policy) -> float:
    return statistics.mean(item.worth for item in results(LOAD_BY_NAME[name], policy))


class TestTwoPriorities:
    """Guards against lower priorities that take engines from the highest one."""

    @pytest.mark.parametrize("name", SCARCE)
    def test_higher_one_is_served_better_than_by_target_alone(self, name: str) -> None:
        assert in_time(name, SHARE, HIGHER) > in_time(name, BY_TARGET, HIGHER)
        assert worth(name, SHARE) > worth(name, BY_TARGET)

    @pytest.mark.parametrize("name", SCARCE)
    def test_lower_one_keeps_more_than_with_strict_priorities(self, name: str) -> None:
        assert in_time(name, SHARE, LOWER) > in_time(name, STRICT, LOWER)

    @pytest.mark.parametrize("name", [*SCARCE, *SURGES, *FAULTS])
    def test_lower_one_is_never_starved(self, name: str) -> None:
        assert in_time(name, BOTH, LOWER) >= in_time(name, BOTH, HIGHER) / 2


class TestAccounts:
    """Guards against accounts whose requests are refused with those of a surge."""

    def steady(self, name: str, policy: Policy) -> float:
        load = LOAD_BY_NAME[name]
        found = results(load, policy)
        return statistics.mean(item.in_time_of(load.steady) for item in found)

    def test_others_are_served_better_while_three_surge(self) -> None:
        name = SURGES[1]
        assert self.steady(name, PARTS) > self.steady(name, BY_TARGET)

    @pytest.mark.parametrize("name", [*SURGES, *FAULTS])
    def test_no_account_is_served_less_than_a_quarter_as_often(self, name: str) -> None:
        for item in results(LOAD_BY_NAME[name], BOTH):
            assert item.account_shares[0] >= item.in_time_of(range(16)) / 4


class TestUsualDemand:
    """Guards against an order that costs something while nothing is scarce."""

    @pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
    def test_is_served_as_by_target_alone(self, policy: Policy) -> None:
        name = "usual demand"
        assert worth(name, policy) >= worth(name, BY_TARGET) - 0.01
