"""Requests to a limited endpoint over all hosts, simulated with faults."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from bench.accounts import model
from bench.accounts.charged_at_leader import ChargedAtLeader
from bench.accounts.loads import Load, random_load
from bench.accounts.model import PLAIN_COST, replay
from jujubeslip.accounts import ENDPOINT_BOUNDS, LimitBounds, RateLimit, endpoint_limit


@pytest.fixture(autouse=True)
def plain_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make all requests cost the same; the model counts PLAIN_COST for each."""
    monkeypatch.setattr(model, "STREAM_SHARE", 0.0)


def endpoint_load(seed: int) -> Load:
    """Return a load of requests to one endpoint, with faults drawn from the seed."""
    source = random.Random(f"endpoint/{seed}")
    limit = endpoint_limit(source.choice((0.5, 2.5, 20.0)))
    bounds = ENDPOINT_BOUNDS
    return replace(
        random_load(seed),
        hosts=source.choice((1, 7, 76, 195)),
        limit=RateLimit(limit.per_second * PLAIN_COST, limit.burst * PLAIN_COST),
        bounds=LimitBounds(
            bounds.window_seconds, bounds.overage, bounds.slack * PLAIN_COST
        ),
        demand_share=source.uniform(0.5, 8),
        spike_factor=1,
    )


class TestSumOverAllHosts:
    """Guards against more requests at an overloaded endpoint than its limit allows."""

    @pytest.mark.parametrize("seed", [*range(60), 600, 691, 1683])
    def test_keeps_the_bound(self, seed: int) -> None:
        load = endpoint_load(seed)
        outcome = replay(load, seed, ChargedAtLeader)
        most = outcome.worst_share * load.bounds.most(load.limit) / PLAIN_COST
        per_second = load.limit.per_second / PLAIN_COST
        assert most <= 1.5 * per_second * load.bounds.window_seconds + 5

    @pytest.mark.parametrize("hosts", [1, 7, 76])
    def test_uses_the_limit(self, hosts: int) -> None:
        load = replace(
            endpoint_load(0),
            hosts=hosts,
            limit=RateLimit(2.5 * PLAIN_COST, PLAIN_COST),
            without_leader=(),
            partitioned_share=0,
            demand_share=4,
            restarts_per_second=0,
        )
        outcome = replay(load, 1, ChargedAtLeader)
        ran = outcome.offered - outcome.refused
        assert ran > 0.85 * 2.5 * load.seconds
