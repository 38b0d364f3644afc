"""Plays a pattern against the queue for grants."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from bench.replay._clock import VirtualClock
from bench.replay._engines import Answer, AnsweringEngine, ReadingEngine
from bench.replay._patterns import Loss, Pattern
from jujubeslip.admission import MemoryOptions, WaitingOptions, lengths_of
from jujubeslip.admission._models import Applicant, Grant
from jujubeslip.admission._pool import EnginePool
from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._return_times import return_seconds
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport

CAPACITY_TOKENS, EVENT_TOKENS, MAXIMUM_EVENTS, SLOTS = 34_009, 13, 160, 64
TARGET_SECONDS, MAXIMUM_GAP_SECONDS, PATIENCE_SECONDS = 0.9, 0.3, 3.6
# What a request has left of its target when no further grant helps, and before its
# client leaves, as a forwarding host counts.
START_SECONDS, LEAVING_SECONDS = 0.25, 0.4
STEP_SECONDS, ASK_SECONDS, REPORT_SECONDS, LOOK_SECONDS = 0.01, 0.05, 0.25, 0.05
# Tokens of a usual request, answer tokens counted tenfold, and the prompt that one
# in ten is longer than.
USUAL_TOKENS, LARGE_TOKENS = 11_000, 5_400
# What an answer that comes late is worth, as a share.
LATE_WORTH = 0.2


@dataclass(frozen=True)
class Ways:
    """What a play decides by."""

    memory: MemoryOptions = MemoryOptions(margin=0.05, caution=1.5)
    waiting: WaitingOptions = WaitingOptions()


@dataclass
class Outcome:
    """What callers got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refused: int = 0
    read_for_nothing: int = 0
    pushed_out: int = 0
    owed: float = 0.0
    """What all requests are worth; a large one is worth more."""
    earned: float = 0.0
    large_owed: float = 0.0
    """Of the tenth with the largest prompts."""
    large_earned: float = 0.0

    @property
    def worth(self) -> float:
        """Return the share of what all requests are worth."""
        return self.earned / max(1.0, self.owed)

    @property
    def large_worth(self) -> float:
        """Return the same for the largest ones."""
        return self.large_earned / max(1.0, self.large_owed)

    def note_asked(self, size: float, is_large: bool) -> None:
        """Note a request that comes for the first time."""
        self.asked += 1
        self.owed += size
        self.large_owed += size if is_large else 0.0

    def note_served(self, size: float, is_large: bool, in_time: bool) -> None:
        """Note an answer that came whole."""
        self.in_time += in_time
        self.late += not in_time
        earned = size if in_time else size * LATE_WORTH
        self.earned += earned
        self.large_earned += earned if is_large else 0.0


@dataclass(frozen=True)
class _Request:
    number: int
    prompt_tokens: int
    events: int
    expected_events: int
    first_asked_at: float
    asked_at: float
    came_back: bool = False
    attempt: int = 1
    reads_itself: bool = False

    @property
    def request_id(self) -> str:
        return f"request-{self.number}-{int(self.came_back)}"

    @property
    def size(self) -> float:
        """What its answer is worth, 1 for one of the usual size."""
        tokens = self.prompt_tokens + 10 * self.events * EVENT_TOKENS
        return 0.3 + 0.7 * tokens / USUAL_TOKENS

    @property
    def is_large(self) -> bool:
        return self.prompt_tokens > LARGE_TOKENS

    @property
    def target_by(self) -> float:
        return self.first_asked_at + TARGET_SECONDS

    @property
    def limit(self) -> float:
        if self.came_back:
            return self.asked_at + PATIENCE_SECONDS - LEAVING_SECONDS
        return self.target_by - START_SECONDS


class Play:
    """One play; a seed decides which requests come, and when."""

    def __init__(self, pattern: Pattern, ways: Ways, seed: int) -> None:
        self.outcome = Outcome()
        self._pattern = pattern
        self._draw = random.Random(seed)
        self._clock = VirtualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._turns = itertools.count()
        self._request_by_id: dict[str, _Request] = {}
        self._answering = {
            name: AnsweringEngine(name, CAPACITY_TOKENS)
            for name in (f"engine-{n}" for n in range(pattern.answering))
        }
        self._reading = {
            name: ReadingEngine(name)
            for name in (f"reader-{n}" for n in range(pattern.reading))
        }
        self._ways = ways

    def run(self) -> Outcome:
        """Play it to the end of its last answer."""
        random.seed(self._draw.random())
        with self._clock as clock:
            self._begun_at = clock.now
            waiting, memory = self._ways.waiting, self._ways.memory
            self._pool = EnginePool("model", memory, waiting)
            self._announce()
            self._draw_requests()
            for loss in self._pattern.losses:
                self._at(self._begun_at + loss.at, partial(self._lose, loss))
            self._report()
            self._look()
            end = self._begun_at + self._pattern.seconds + 15
            while clock.now < end:
                clock.now += STEP_SECONDS
                while self._events and self._events[0][0] <= clock.now:
                    heapq.heappop(self._events)[2]()
                self._step()
        return self.outcome

    def _at(self, instant: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (instant, next(self._turns), do))

    def _after(self, seconds: float, do: Callable[[], None]) -> None:
        self._at(self._clock.now + seconds, do)

    # Engines

    def _announce(self) -> None:
        now = self._clock.now
        self._pool.set_engines(
            [
                _endpoint(engine.name, EndpointRole.DECODE, now)
                for engine in self._answering.values()
                if engine.lost_until <= now
            ],
            [
                _endpoint(reader.name, EndpointRole.PREFILL, now)
                for reader in self._reading.values()
                if reader.lost_until <= now
            ],
        )

    def _report(self) -> None:
        now = self._clock.now
        for engine in self._answering.values():
            if engine.lost_until <= now:
                self._pool.take_report(engine.name, engine.report(now))
        reads = EngineReport(CAPACITY_TOKENS, 0, 0, (), reads_prompts=True)
        for reader in self._reading.values():
            if reader.lost_until <= now:
                self._pool.take_report(reader.name, reads)
        self._after(REPORT_SECONDS, self._report)

    def _look(self) -> None:
        self._pool.look_again()
        self._after(LOOK_SECONDS, self._look)

    def _lose(self, loss: Loss) -> None:
        now = self._clock.now
        until = now + loss.seconds
        for engine in list(self._answering.values())[: loss.answering]:
            for answer in engine.lose(until):
                self._note_ended(answer, whole=False)
        for reader in list(self._reading.values())[: loss.reading]:
            reader.lost_until = until
        self._announce()
        self._at(until, self._announce)

    def _step(self) -> None:
        now = self._clock.now
        for engine in self._answering.values():
            for answer in engine.step(now, STEP_SECONDS):
                self._note_ended(answer, whole=True)

    # Requests

    def _draw_requests(self) -> None:
        at, number = 0.0, 0
        while at < self._pattern.seconds:
            at += self._draw.expovariate(self._rate(at))
            request = self._drawn(number, self._begun_at + at)
            self._at(request.asked_at, partial(self._arrive, request))
            number += 1

    def _rate(self, at: float) -> float:
        times = [
            item.times for item in self._pattern.bursts if item.begins <= at < item.ends
        ]
        return self._pattern.streams_a_second * max([1.0, *times])

    def _drawn(self, number: int, at: float) -> _Request:
        prompt_tokens = int(min(9_000, max(400, self._draw.lognormvariate(7.95, 0.5))))
        events = int(min(MAXIMUM_EVENTS, max(5, self._draw.lognormvariate(3.95, 0.55))))
        expected = max(1, int(events * self._draw.lognormvariate(0.0, 0.5)))
        return _Request(number, prompt_tokens, events, expected, at, at)

    def _arrive(self, request: _Request) -> None:
        if not request.came_back:
            self.outcome.note_asked(request.size, request.is_large)
        self._ask(request)

    def _ask(self, request: _Request) -> None:
        if self._clock.now > request.asked_at + PATIENCE_SECONDS:
            self.outcome.unserved += 1
            self._pool.end(request.request_id, request.attempt)
            return
        applicant = Applicant(
            request.request_id,
            request.attempt,
            request.prompt_tokens,
            EVENT_TOKENS,
            lengths_of(MAXIMUM_EVENTS, request.expected_events),
            SLOTS,
            Deadline(request.target_by),
            Deadline(request.limit),
            request.reads_itself,
            "zone-1",
            MAXIMUM_GAP_SECONDS,
        )
        decision = self._pool.ask(applicant, (), Deadline.after(0))
        if decision.grant is not None:
            self._send(request, decision.grant)
        elif decision.refused:
            self._refuse(request, decision.forecast)
        else:
            self._after(ASK_SECONDS, lambda: self._ask(request))

    def _refuse(self, request: _Request, forecast: float) -> None:
        self.outcome.refused += 1
        if request.came_back:
            self.outcome.unserved += 1
            return
        back_at = self._clock.now + return_seconds(forecast, self._draw.random())
        back = replace(
            request, came_back=True, asked_at=back_at, attempt=1, reads_itself=False
        )
        self._at(back_at, lambda: self._arrive(back))

    def _send(self, request: _Request, grant: Grant) -> None:
        if grant.reader is None:
            self._begin(request, grant, True)
            return
        reader = self._reading[grant.reader.start_id]
        if reader.lost_until > self._clock.now:
            self._again(request, reads_itself=False)
            return
        read_at = reader.read(request.prompt_tokens, self._clock.now)
        self._at(read_at, lambda: self._begin(request, grant, False))

    def _begin(self, request: _Request, grant: Grant, reads_itself: bool) -> None:
        engine = self._answering[grant.endpoint.start_id]
        if not reads_itself:
            self._pool.note_read(request.request_id, request.attempt)
        answer = Answer(
            request.request_id, request.prompt_tokens, request.events, EVENT_TOKENS
        )
        is_there = engine.lost_until <= self._clock.now
        if is_there and engine.begin(answer, self._clock.now, reads_itself):
            self._request_by_id[request.request_id] = request
            return
        self.outcome.read_for_nothing += not reads_itself
        self._again(request, reads_itself=False)

    def _again(self, request: _Request, reads_itself: bool) -> None:
        self._pool.end(request.request_id, request.attempt)
        self._ask(
            replace(request, attempt=request.attempt + 1, reads_itself=reads_itself)
        )

    def _note_ended(self, answer: Answer, whole: bool) -> None:
        request = self._request_by_id.pop(answer.request_id)
        self._pool.end(request.request_id, request.attempt)
        self.outcome.pushed_out += answer.was_pushed_out
        if not whole or answer.first_event_at is None:
            self.outcome.unserved += 1
            return
        in_time = answer.first_event_at <= request.target_by
        in_time = in_time and answer.longest_gap <= MAXIMUM_GAP_SECONDS
        self.outcome.note_served(request.size, request.is_large, in_time)


def _endpoint(name: str, role: EndpointRole, now: float) -> Endpoint:
    return Endpoint(
        endpoint_id=name,
        service_name="model",
        address=f"{name}:1",
        availability_zone="zone-1",
        role=role,
        slots=SLOTS,
        sequence=1,
        leaving=False,
        heard_at=now,
        slow_until=Deadline.after(0),
    )
