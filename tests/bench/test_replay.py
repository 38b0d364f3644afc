"""The decisions at the worst load, replayed in virtual time."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import pytest

from bench.replay._patterns import PATTERNS
from bench.replay._play import Outcome, Play, Ways
from jujubeslip.admission import MemoryOptions, WaitingOptions, _unservable_waits
from jujubeslip.kernel import ControlSettings

PATTERN_BY_NAME = {pattern.name: pattern for pattern in PATTERNS}
SEEDS = range(1, 5)

DEFAULT_MEMORY = MemoryOptions(
    ControlSettings.memory_margin, ControlSettings.memory_caution
)
# A reader that is waited for for good, and a third of a second at most.
WAITS = WaitingOptions(prefill_wait_seconds=60.0)
READS_BESIDE = WaitingOptions(prefill_wait_seconds=0.3)


def outcomes(name: str, ways: Ways) -> list[Outcome]:
    return [Play(PATTERN_BY_NAME[name], ways, seed).run() for seed in SEEDS]


def worth(played: Iterable[Outcome]) -> float:
    return statistics.mean(outcome.worth for outcome in played)


class TestReaderLostInABurst:
    """One of two readers is lost as twice the usual requests come.

    Engines that answer had room, and every third request was refused or late for want
    of a reader: what the other one reads in a second is half of what came.
    """

    def test_costs_less_where_answering_engines_read_beside(self) -> None:
        waits = outcomes("a reader lost in a burst", Ways(waiting=WAITS))
        beside = outcomes("a reader lost in a burst", Ways(waiting=READS_BESIDE))
        assert worth(beside) > worth(waits) + 0.03
        lost = sum(item.unserved for item in waits)
        assert sum(item.unserved for item in beside) < lost / 2

    def test_costs_others_no_pause(self) -> None:
        """With both readers there, nearly no prompt waits for so long."""
        waits = outcomes("three bursts", Ways(waiting=WAITS))
        beside = outcomes("three bursts", Ways(waiting=READS_BESIDE))
        assert worth(beside) > worth(waits) - 0.01


class TestBurstsAtFullEngines:
    """Three bursts ask for more than the engines' memory holds.

    How full an engine's memory gets is a forecast. Left free for more than its usual
    deviation, room for some of the answers is never used.
    """

    @staticmethod
    def played(safety_deviations: float) -> list[Outcome]:
        memory = MemoryOptions(margin=0.05, safety_deviations=safety_deviations)
        return outcomes("engines lost in a burst", Ways(memory, READS_BESIDE))

    def test_serve_more_with_less_left_free(self) -> None:
        careful, usual = self.played(2.5), self.played(DEFAULT_MEMORY.safety_deviations)
        assert worth(usual) > worth(careful)

    def test_push_hardly_any_answer_out(self) -> None:
        usual = self.played(DEFAULT_MEMORY.safety_deviations)
        pushed_out = sum(item.pushed_out for item in usual)
        assert pushed_out <= 0.01 * sum(item.asked for item in usual)


class TestForecastsThatAreALittleTooLong:
    """Half of the refusals in a burst come at once, with a forecast near the limit.

    Requests could wait for 0.65 s, and were refused for forecasts of 0.65 to 0.8 s. Of
    those that stood before them many were refused as well, and their room stayed free.
    """

    @pytest.mark.parametrize(
        "name", ["engines lost in a burst", "both lost in a burst"]
    )
    def test_are_no_reason_to_refuse(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        ways = Ways(DEFAULT_MEMORY, READS_BESIDE)
        monkeypatch.setattr(_unservable_waits, "CERTAIN_TIMES", 1.0)
        before = outcomes(name, ways)
        monkeypatch.undo()
        now = outcomes(name, ways)
        assert worth(now) > worth(before) + 0.005
        assert sum(item.late for item in now) < sum(item.late for item in before)
