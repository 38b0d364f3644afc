"""Few engines, of which some are lost, replayed in virtual time."""

from __future__ import annotations

import pytest

from bench.replay._patterns import FEW_ENGINES_PATTERNS, Pattern, drawn_pattern
from bench.replay._play import Outcome, Play, Ways
from jujubeslip.admission import MemoryOptions, WaitingOptions
from jujubeslip.kernel import ControlSettings

PATTERN_BY_NAME = {pattern.name: pattern for pattern in FEW_ENGINES_PATTERNS}
# Share of what callers are owed that is earned in each play.
LEAST_WORTH = 0.5
SEEDS = (1, 2, 3)
# Draws that take two engines for good, at least one of which answers.
DRAWS = (7, 9, 11, 13, 32, 39, 46)


def by_default() -> Ways:
    """Return the ways to decide of a control host without settings of its own."""
    return Ways(
        MemoryOptions(ControlSettings.memory_margin, ControlSettings.memory_caution),
        WaitingOptions(
            ControlSettings.passed_ms / 1000, ControlSettings.reader_wait_ms / 1000
        ),
    )


def played(pattern: Pattern, seed: int) -> Outcome:
    return Play(pattern, by_default(), seed).run()


class TestFewEnginesOfWhichSomeAreLost:
    """Guards against readers that stay idle beside too few engines that answer."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("name", PATTERN_BY_NAME)
    def test_earn_half_of_what_is_owed(self, name: str, seed: int) -> None:
        assert played(PATTERN_BY_NAME[name], seed).worth >= LEAST_WORTH

    @pytest.mark.parametrize("seed", DRAWS)
    def test_earn_half_whatever_is_drawn(self, seed: int) -> None:
        assert played(drawn_pattern(seed), seed).worth >= LEAST_WORTH
