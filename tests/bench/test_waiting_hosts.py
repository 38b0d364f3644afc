"""Simulations of hosts whose leader is lost while engines are full, in virtual time."""

from __future__ import annotations

import pytest

from bench.replay._hosts import (
    HOSTS_PATTERNS,
    HostsPattern,
    HostsSimulation,
    random_hosts_pattern,
)
from tests.bench.test_few_engines import MINIMUM_WORTH, SEEDS, default_options

PATTERN_BY_NAME = {hosts.pattern.name: hosts for hosts in HOSTS_PATTERNS}
DRAWN_SEEDS = range(24)


def lowest_worth(hosts: HostsPattern, seed: int) -> float:
    """Return the lowest share that the clients of a zone earn."""
    simulation = HostsSimulation(hosts, default_options(), seed)
    simulation.run()
    return simulation.lowest_worth


class TestZonesOfHostsWithoutALeader:
    """Guards against zones whose hosts lose to others that ask engines alone."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", PATTERN_BY_NAME)
    def test_earn_half_of_the_worth(self, name: str, seed: int) -> None:
        assert lowest_worth(PATTERN_BY_NAME[name], seed) >= MINIMUM_WORTH

    @pytest.mark.parametrize("seed", DRAWN_SEEDS)
    def test_earn_half_of_the_worth_with_any_losses(self, seed: int) -> None:
        assert lowest_worth(random_hosts_pattern(seed), seed) >= MINIMUM_WORTH
