"""The estimated memory use of an engine between its reports."""

from __future__ import annotations

import pytest

from bench.replay._clock import VirtualClock
from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._models import Grant, GrantedRequest, GrantRequest
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine

CAPACITY, PROMPT_TOKENS, EVENT_TOKENS, MAXIMUM_EVENTS = 100_000, 5_000, 65, 130
EVENT_RATE, REPORT_SECONDS, SECONDS = 15.0, 0.25, 20.0
# Interval between new answers, each of which begins as soon as it is granted.
EVERY_SECONDS = 0.5


class SimulatedEngine:
    """Begins an answer of maximum length every half second, at a fixed event rate."""

    def __init__(self, lag: float, clock: VirtualClock) -> None:
        self.memory = EngineMemory(engine("engine"))
        self._lag, self._clock = lag, clock
        self._decode_start_by_id: dict[str, float] = {}

    def run(self) -> None:
        """Report until the simulated time is over."""
        ends = self._clock.now + SECONDS
        next_at = self._clock.now
        while self._clock.now < ends:
            if self._clock.now >= next_at:
                self._begin(f"request-{len(self._decode_start_by_id)}")
                next_at += EVERY_SECONDS
            self.memory.take_report(self._report())
            self._clock.now += REPORT_SECONDS

    def used_tokens(self, at: float) -> float:
        """Return the tokens in use at a time."""
        return sum(item.memory_tokens for item in self._running(at))

    def estimated_tokens(self) -> float:
        """Return the estimated tokens in use now."""
        answers = self.memory.answers(_applicant("asks"))
        return sum(answer.memory_tokens for answer in answers)

    def _begin(self, request_id: str) -> None:
        grant_request = _applicant(request_id)
        grant = Grant(self.memory.endpoint, 0.5, 0, prefill_engine=engine("reader"))
        self.memory.admit(GrantedRequest(grant_request, grant, self._clock.now))
        self.memory.note_prefilled(request_id, 1)
        self._decode_start_by_id[request_id] = self._clock.now

    def _running(self, at: float) -> list[RunningAnswer]:
        running = []
        for request_id, decode_start in self._decode_start_by_id.items():
            events = int(EVENT_RATE * (at - decode_start))
            if at >= decode_start and events < MAXIMUM_EVENTS:
                tokens = PROMPT_TOKENS + events * EVENT_TOKENS
                running.append(RunningAnswer(tokens, events, request_id))
            elif events >= MAXIMUM_EVENTS:
                self.memory.end(request_id, 1)
        return running

    def _report(self) -> EngineReport:
        running = tuple(self._running(self._clock.now - self._lag))
        used_tokens = sum(item.memory_tokens for item in running)
        return EngineReport(CAPACITY, used_tokens, 0, running)


def _applicant(request_id: str) -> GrantRequest:
    return GrantRequest(
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


class TestOutdatedReports:
    """Guards against ignoring memory that answers used since the state of a report."""

    @pytest.mark.parametrize("lag", [0.1, 0.5, 0.9, 1.2])
    def test_their_age_is_estimated_from_answers(self, lag: float) -> None:
        with VirtualClock() as clock:
            simulated = SimulatedEngine(lag, clock)
            simulated.run()
            assert simulated.memory.report_lag == pytest.approx(lag, abs=0.1)

    @pytest.mark.parametrize("lag", [0.1, 0.5, 0.9, 1.2])
    def test_estimated_memory_matches_the_memory_in_use(self, lag: float) -> None:
        with VirtualClock() as clock:
            simulated = SimulatedEngine(lag, clock)
            simulated.run()
            used_tokens = simulated.used_tokens(clock.now - REPORT_SECONDS)
            assert simulated.estimated_tokens() == pytest.approx(used_tokens, rel=0.03)
