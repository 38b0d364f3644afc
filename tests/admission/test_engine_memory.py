"""What is believed of an engine between its reports."""

from __future__ import annotations

import pytest

from bench.replay._clock import VirtualClock
from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._lengths import lengths_of
from jujubeslip.admission._models import Admitted, Applicant, Grant
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine

CAPACITY, PROMPT_TOKENS, EVENT_TOKENS, MAXIMUM_EVENTS = 100_000, 5_000, 65, 130
PACE, REPORT_SECONDS, SECONDS = 15.0, 0.25, 20.0
# A new answer comes this often, and is told to have begun at once.
EVERY_SECONDS = 0.5


class PlayedEngine:
    """Makes an answer of the longest length every half second, at an even pace."""

    def __init__(self, lag: float, clock: VirtualClock) -> None:
        self.memory = EngineMemory(engine("engine"))
        self._lag, self._clock = lag, clock
        self._begun_at_by_id: dict[str, float] = {}

    def play(self) -> None:
        """Report until the end of the span."""
        ends = self._clock.now + SECONDS
        next_at = self._clock.now
        while self._clock.now < ends:
            if self._clock.now >= next_at:
                self._begin(f"request-{len(self._begun_at_by_id)}")
                next_at += EVERY_SECONDS
            self.memory.take_report(self._report())
            self._clock.now += REPORT_SECONDS

    def used(self, at: float) -> float:
        """Return the tokens in use at an instant."""
        return sum(item.memory_tokens for item in self._running(at))

    def believed(self) -> float:
        """Return the tokens that are believed to be in use now."""
        answers = self.memory.answers(_applicant("asks"))
        return sum(answer.memory_tokens for answer in answers)

    def _begin(self, request_id: str) -> None:
        applicant = _applicant(request_id)
        grant = Grant(self.memory.endpoint, 0.5, 0, reader=engine("reader"))
        self.memory.admit(Admitted(applicant, grant, self._clock.now))
        self.memory.note_read(request_id, 1)
        self._begun_at_by_id[request_id] = self._clock.now

    def _running(self, at: float) -> list[RunningAnswer]:
        running = []
        for request_id, begun_at in self._begun_at_by_id.items():
            events = int(PACE * (at - begun_at))
            if at >= begun_at and events < MAXIMUM_EVENTS:
                tokens = PROMPT_TOKENS + events * EVENT_TOKENS
                running.append(RunningAnswer(tokens, events, request_id))
            elif events >= MAXIMUM_EVENTS:
                self.memory.end(request_id, 1)
        return running

    def _report(self) -> EngineReport:
        running = tuple(self._running(self._clock.now - self._lag))
        used = sum(item.memory_tokens for item in running)
        return EngineReport(CAPACITY, used, 0, running)


def _applicant(request_id: str) -> Applicant:
    return Applicant(
        request_id,
        1,
        PROMPT_TOKENS,
        EVENT_TOKENS,
        lengths_of(MAXIMUM_EVENTS, MAXIMUM_EVENTS),
        64,
        Deadline.after(0.9),
        Deadline.after(30),
        reads_itself=False,
    )


class TestReportsThatTellAnEarlierState:
    """Guards against memory that answers have taken since the state of a report."""

    @pytest.mark.parametrize("lag", [0.1, 0.5, 0.9, 1.2])
    def test_their_age_is_learned_from_answers(self, lag: float) -> None:
        with VirtualClock() as clock:
            played = PlayedEngine(lag, clock)
            played.play()
            assert played.memory.report_lag == pytest.approx(lag, abs=0.1)

    @pytest.mark.parametrize("lag", [0.1, 0.5, 0.9, 1.2])
    def test_what_is_believed_is_what_is_used(self, lag: float) -> None:
        with VirtualClock() as clock:
            played = PlayedEngine(lag, clock)
            played.play()
            used = played.used(clock.now - REPORT_SECONDS)
            assert played.believed() == pytest.approx(used, rel=0.03)
