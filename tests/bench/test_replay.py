"""Simulations of the grant decisions at peak load, in virtual time."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import pytest

from bench.replay._patterns import PATTERNS
from bench.replay._simulation import DecisionOptions, Outcome, Simulation
from jujubeslip.admission import MemoryOptions, WaitingOptions, _unservable_waits
from jujubeslip.kernel import ControlSettings

PATTERN_BY_NAME = {pattern.name: pattern for pattern in PATTERNS}
SEEDS = range(1, 5)

DEFAULT_MEMORY = MemoryOptions(
    ControlSettings.memory_margin, ControlSettings.memory_caution
)
# Requests wait for a prefill engine permanently, or for 0.3 s at most.
WAIT_FOR_PREFILL_ENGINE = WaitingOptions(prefill_wait_seconds=60.0)
PREFILL_ON_DECODE_ENGINE = WaitingOptions(prefill_wait_seconds=0.3)


def outcomes(name: str, options: DecisionOptions) -> list[Outcome]:
    return [Simulation(PATTERN_BY_NAME[name], options, seed).run() for seed in SEEDS]


def worth(results: Iterable[Outcome]) -> float:
    return statistics.mean(outcome.worth for outcome in results)


class TestPrefillEngineLostInABurst:
    """One of two prefill engines is lost while the request rate is doubled.

    Guards against refusals while decode engines have free capacity: the other prefill
    engine prefills half of the incoming prompts, so every third request was refused or
    late.
    """

    def test_costs_less_if_decode_engines_prefill_too(self) -> None:
        waiting = outcomes(
            "a reader lost in a burst", DecisionOptions(waiting=WAIT_FOR_PREFILL_ENGINE)
        )
        on_decode_engines = outcomes(
            "a reader lost in a burst",
            DecisionOptions(waiting=PREFILL_ON_DECODE_ENGINE),
        )
        assert worth(on_decode_engines) > worth(waiting) + 0.03
        lost = sum(item.unserved for item in waiting)
        assert sum(item.unserved for item in on_decode_engines) < lost / 2

    def test_does_not_stall_other_answers(self) -> None:
        """With both prefill engines, almost no prompt waits for 0.3 s."""
        waiting = outcomes(
            "three bursts", DecisionOptions(waiting=WAIT_FOR_PREFILL_ENGINE)
        )
        on_decode_engines = outcomes(
            "three bursts", DecisionOptions(waiting=PREFILL_ON_DECODE_ENGINE)
        )
        assert worth(on_decode_engines) > worth(waiting) - 0.01


class TestBurstsAtFullEngines:
    """Three bursts demand more memory than the engines have.

    The memory use of an engine is a forecast. If the safety margin is larger than its
    usual deviation, capacity for some answers is never used.
    """

    @staticmethod
    def simulate(safety_deviations: float) -> list[Outcome]:
        memory = MemoryOptions(margin=0.05, safety_deviations=safety_deviations)
        return outcomes(
            "engines lost in a burst", DecisionOptions(memory, PREFILL_ON_DECODE_ENGINE)
        )

    def test_serve_more_with_a_smaller_safety_margin(self) -> None:
        careful, usual = (
            self.simulate(2.5),
            self.simulate(DEFAULT_MEMORY.safety_deviations),
        )
        assert worth(usual) > worth(careful)

    def test_evict_hardly_any_answer(self) -> None:
        usual = self.simulate(DEFAULT_MEMORY.safety_deviations)
        evicted = sum(item.evicted for item in usual)
        assert evicted <= 0.01 * sum(item.requested for item in usual)


class TestSlightlyTooLongForecasts:
    """Half of the refusals in a burst are immediate, with a forecast near the limit.

    Guards against refusing requests that can wait for 0.65 s because of forecasts of
    0.65 to 0.8 s. Many requests ahead of them in the queue were refused as well, so
    the capacity that the forecast had counted for those stayed free.
    """

    @pytest.mark.parametrize(
        "name", ["engines lost in a burst", "both lost in a burst"]
    )
    def test_do_not_cause_refusals(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        options = DecisionOptions(DEFAULT_MEMORY, PREFILL_ON_DECODE_ENGINE)
        monkeypatch.setattr(_unservable_waits, "CERTAIN_TIMES", 1.0)
        before = outcomes(name, options)
        monkeypatch.undo()
        now = outcomes(name, options)
        assert worth(now) > worth(before) + 0.005
        assert sum(item.late for item in now) < sum(item.late for item in before)
