"""Simulations of few engines, some of which are lost, in virtual time."""

from __future__ import annotations

import pytest

from bench.replay._patterns import (
    FEW_ENGINES_PATTERNS,
    Pattern,
    random_pattern,
    random_pattern_with_any_losses,
)
from bench.replay._simulation import DecisionOptions, Outcome, Simulation
from jujubeslip.admission import MemoryOptions, WaitingOptions
from jujubeslip.kernel import ControlSettings

PATTERN_BY_NAME = {pattern.name: pattern for pattern in FEW_ENGINES_PATTERNS}
# Share of the worth of all requests that each simulation earns.
MINIMUM_WORTH = 0.5
SEEDS = (1, 2, 3)
# Seeds whose patterns lose two engines permanently, at least one a decode engine.
PATTERN_SEEDS = (7, 9, 11, 13, 32, 39, 46)
ANY_LOSSES_SEEDS = range(72)


def default_options() -> DecisionOptions:
    """Return the options of a control host with default settings."""
    return DecisionOptions(
        MemoryOptions(ControlSettings.memory_margin, ControlSettings.memory_caution),
        WaitingOptions(
            ControlSettings.passed_ms / 1000, ControlSettings.reader_wait_ms / 1000
        ),
    )


def simulate(pattern: Pattern, seed: int) -> Outcome:
    return Simulation(pattern, default_options(), seed).run()


class TestLossOfFewEngines:
    """Guards against idle prefill engines while there are too few decode engines."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", PATTERN_BY_NAME)
    def test_earns_half_of_the_worth(self, name: str, seed: int) -> None:
        assert simulate(PATTERN_BY_NAME[name], seed).worth >= MINIMUM_WORTH

    @pytest.mark.parametrize("seed", PATTERN_SEEDS)
    def test_earns_half_of_the_worth_with_random_losses(self, seed: int) -> None:
        assert simulate(random_pattern(seed), seed).worth >= MINIMUM_WORTH


class TestLossOfAnyEngines:
    """Guards against prompts that nobody serves while decode engines have memory."""

    @pytest.mark.parametrize("seed", ANY_LOSSES_SEEDS)
    def test_earns_half_of_the_worth(self, seed: int) -> None:
        assert simulate(random_pattern_with_any_losses(seed), seed).worth >= (
            MINIMUM_WORTH
        )
