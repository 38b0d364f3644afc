"""Second sends in a replay of slow endpoints, and of a service at its capacity."""

from __future__ import annotations

from dataclasses import replace

import pytest

from bench.second_sends.replay import (
    OFF,
    ON,
    Load,
    Outcome,
    Replay,
    at_capacity,
    slow_endpoints,
)

SEEDS = (0, 1, 2)


def outcomes(load: Load, options: object) -> list[Outcome]:
    return [
        Replay(slow_endpoints(seed, load), options, seed).run()  # type: ignore[arg-type]
        for seed in SEEDS
    ]


class TestSlowEndpoints:
    """A few of four endpoints are slow at a time, and the others have room."""

    def test_fewer_answers_are_slow(self) -> None:
        load = Load(30.1, 75.0)
        before, after = outcomes(load, OFF), outcomes(load, ON)

        def late(found: list[Outcome]) -> float:
            return sum(1 - item.in_time() for item in found)

        def slowest(found: list[Outcome], share: float) -> float:
            return sum(item.percentile_ms(share) for item in found)

        assert late(after) < 0.8 * late(before)
        assert slowest(after, 0.99) < slowest(before, 0.99)
        assert slowest(after, 0.5) < 1.02 * slowest(before, 0.5)
        assert all(0 < item.extra_share <= ON.share for item in after)


class TestServiceAtItsCapacity:
    """Guards against second sends that take the room of other callers' requests."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_gets_hardly_any_second_send(self, seed: int) -> None:
        load = replace(at_capacity(1.2), seconds=30.0)
        outcome = Replay(load, ON, seed).run()
        assert outcome.refused > 0.1 * outcome.requests
        assert outcome.extra_share < 0.001
