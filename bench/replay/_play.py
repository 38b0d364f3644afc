"""Plays a pattern against the queue for grants."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from bench.replay._clock import VirtualClock
from bench.replay._engines import Answer, AnsweringEngine, ReadingEngine
from bench.replay._patterns import Loss, Pattern, Workload
from bench.replay._roles import ReplayedRoles
from jujubeslip.admission import MemoryOptions, WaitingOptions, lengths_of
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._models import Grant, GrantRequest
from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._pressure import MIN_WAIT_SECONDS
from jujubeslip.forwarding._retry_after import retry_after_seconds
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport

SLOTS = 64
TARGET_SECONDS, MAXIMUM_GAP_SECONDS, PATIENCE_SECONDS = 0.9, 0.3, 3.6
# What a request has left of its target when no further grant helps, and before its
# client leaves, as a forwarding host counts.
START_SECONDS, LEAVING_SECONDS = 0.25, 0.4
STEP_SECONDS, ASK_SECONDS, REPORT_SECONDS, LOOK_SECONDS = 0.01, 0.05, 0.25, 0.05
# How long an engine that announces itself no more is told of, in seconds.
SILENT_SECONDS = 5.0
# How often the leader looks at the roles, and how long an idle engine takes to change.
ROLES_SECONDS, SWITCH_SECONDS = 0.5, 6.0
# How long an engine that leaves goes on with the answers that it makes, in seconds.
LEAVING_ENGINE_SECONDS = 3.5
# What an answer that comes late is worth, as a share.
LATE_WORTH = 0.2


@dataclass(frozen=True)
class Ways:
    """What a play decides by."""

    memory: MemoryOptions = MemoryOptions(margin=0.05, safety_deviations=1.5)
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
    orders: list[tuple[float, EndpointRole]] = field(default_factory=list)
    """When engines were ordered to a role, in seconds from the start."""

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
    workload: Workload
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
        answer_tokens = self.events * self.workload.event_tokens
        tokens = self.prompt_tokens + 10 * answer_tokens
        return 0.3 + 0.7 * tokens / self.workload.usual_tokens

    @property
    def is_large(self) -> bool:
        return self.prompt_tokens > self.workload.large_prompt

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
            name: self._answering_engine(name)
            for name in (f"engine-{n}" for n in range(pattern.answering))
        }
        self._reading = {
            name: self._reading_engine(name)
            for name in (f"reader-{n}" for n in range(pattern.reading))
        }
        self._ways = ways
        self._roles: ReplayedRoles | None = None
        self._changing_to: dict[str, EndpointRole] = {}

    def _answering_engine(self, name: str) -> AnsweringEngine:
        load = self._pattern.workload
        return AnsweringEngine(name, load.capacity_tokens, load.read_tokens_a_second)

    def _reading_engine(self, name: str) -> ReadingEngine:
        return ReadingEngine(name, self._pattern.workload.read_tokens_a_second)

    def run(self) -> Outcome:
        """Play it to the end of its last answer."""
        pattern = self._pattern
        random.seed(self._draw.random())
        with self._clock as clock:
            self._begun_at = clock.now
            waiting, memory = self._ways.waiting, self._ways.memory
            self._pool = EnginePool("model", memory, waiting)
            self._announce()
            self._draw_requests()
            for loss in pattern.losses:
                self._at(self._begun_at + loss.at, partial(self._lose, loss))
            self._report()
            self._look()
            if pattern.changes_roles:
                self._roles = ReplayedRoles(self._pool, self._order, self._changing_to)
                for span in pattern.leaders_lost:
                    self._at(self._begun_at + span.ends, self._roles.take_over)
                self._look_at_roles()
            end = self._begun_at + pattern.seconds + 15
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

    def _engines(self) -> Iterator[Endpoint]:
        """Yield the engines that are there, as they announce themselves.

        One that crashed is told of until it was not heard for some seconds.
        """
        now = self._clock.now
        for engine in self._answering.values():
            heard_at = min(now, engine.heard_at)
            if engine.leaves_at == math.inf and heard_at > now - SILENT_SECONDS:
                yield _endpoint(engine.name, EndpointRole.DECODE, heard_at)
        for reader in self._reading.values():
            heard_at = min(now, reader.heard_at)
            is_gone = reader.lost_until == math.inf
            if not is_gone and heard_at > now - SILENT_SECONDS:
                yield _endpoint(reader.name, EndpointRole.PREFILL, heard_at)

    def _runs(self, name: str) -> bool:
        engine = self._answering.get(name) or self._reading[name]
        return engine.lost_until <= self._clock.now

    def _announce(self) -> None:
        staying = [
            engine
            for engine in self._engines()
            if engine.endpoint_id not in self._changing_to
            and self._runs(engine.endpoint_id)
        ]
        self._pool.set_engines(
            [engine for engine in staying if engine.role is EndpointRole.DECODE],
            [engine for engine in staying if engine.role is EndpointRole.PREFILL],
        )

    def _report(self) -> None:
        now = self._clock.now
        for engine in self._answering.values():
            if engine.lost_until <= now:
                self._pool.take_report(engine.name, engine.report(now))
        capacity = self._pattern.workload.capacity_tokens
        reads = EngineReport(capacity, 0, 0, (), is_prefill_engine=True)
        for reader in self._reading.values():
            if reader.lost_until <= now:
                self._pool.take_report(reader.name, reads)
        self._after(REPORT_SECONDS, self._report)

    def _look(self) -> None:
        self._pool.look_again()
        self._after(LOOK_SECONDS, self._look)

    def _lose(self, loss: Loss) -> None:
        """Take away the first engines that are there, whatever their names."""
        now = self._clock.now
        until = now + loss.seconds
        spared = self._changing_to if loss.spares_changing else {}
        answering = [
            item
            for name, item in self._answering.items()
            if item.lost_until < now and name not in spared
        ]
        for engine in answering[: loss.answering]:
            if loss.is_announced:
                engine.leaves_at = now + LEAVING_ENGINE_SECONDS
                self._at(engine.leaves_at, partial(self._end_engine, engine, until))
            else:
                self._end_engine(engine, until)
                self._crash(engine, until)
        reading = [
            item
            for name, item in self._reading.items()
            if item.lost_until < now and name not in spared
        ]
        for reader in reading[: loss.reading]:
            reader.lost_until = until
            if not loss.is_announced:
                self._crash(reader, until)
        self._announce()

    def _end_engine(self, engine: AnsweringEngine, until: float) -> None:
        for answer in engine.lose(until):
            self._note_ended(answer, whole=False)

    def _crash(self, engine: AnsweringEngine | ReadingEngine, until: float) -> None:
        """Let it announce itself no more until it is back."""
        engine.heard_at = self._clock.now
        if until < math.inf:
            self._at(until, partial(self._come_back, engine))

    def _come_back(self, engine: AnsweringEngine | ReadingEngine) -> None:
        engine.heard_at = math.inf
        self._announce()

    # Roles

    def _look_at_roles(self) -> None:
        now = self._clock.now - self._begun_at
        spans = (*self._pattern.without_leader, *self._pattern.leaders_lost)
        if self._roles is not None:
            may_order = not any(span.begins <= now < span.ends for span in spans)
            self._roles.look(list(self._engines()), may_order)
            self._announce()
        self._after(ROLES_SECONDS, self._look_at_roles)

    def _order(self, name: str, role: EndpointRole) -> None:
        """Let an engine end what it is at, and change to the role."""
        self._changing_to[name] = role
        self.outcome.orders.append((self._clock.now - self._begun_at, role))
        self._change_when_idle(name)

    def _change_when_idle(self, name: str) -> None:
        now = self._clock.now
        engine, reader = self._answering.get(name), self._reading.get(name)
        works = engine is not None and bool(engine.running)
        works = works or (reader is not None and reader.free_at > now)
        next_step = self._change_when_idle if works else self._change
        self._after(STEP_SECONDS if works else SWITCH_SECONDS, partial(next_step, name))

    def _change(self, name: str) -> None:
        role = self._changing_to.pop(name)
        if role is EndpointRole.DECODE and name in self._reading:
            lost_until = self._reading.pop(name).lost_until
            self._answering[name] = self._answering_engine(name)
            self._answering[name].lost_until = lost_until
            if lost_until == math.inf:
                self._answering[name].leaves_at = self._clock.now
        elif role is EndpointRole.PREFILL and name in self._answering:
            before = self._answering.pop(name)
            self._reading[name] = self._reading_engine(name)
            is_gone = before.leaves_at < math.inf
            self._reading[name].lost_until = math.inf if is_gone else before.lost_until
        self._announce()

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
        load = self._pattern.workload
        prompts_by, events_by = load.log_deviations
        drawn = self._draw.lognormvariate(load.log_prompt_tokens, prompts_by)
        prompt_tokens = int(min(load.largest_prompt, max(load.smallest_prompt, drawn)))
        drawn = self._draw.lognormvariate(load.log_events, events_by)
        events = int(min(load.maximum_events, max(5, drawn)))
        expected = max(1, int(events * self._draw.lognormvariate(0.0, 0.5)))
        return _Request(number, prompt_tokens, events, expected, load, at, at)

    def _arrive(self, request: _Request) -> None:
        if not request.came_back:
            self.outcome.note_asked(request.size, request.is_large)
        self._ask(request)

    def _ask(self, request: _Request) -> None:
        if self._clock.now > request.asked_at + PATIENCE_SECONDS:
            self.outcome.unserved += 1
            self._pool.end(request.request_id, request.attempt)
            return
        applicant = GrantRequest(
            request.request_id,
            request.attempt,
            request.prompt_tokens,
            request.workload.event_tokens,
            lengths_of(request.workload.maximum_events, request.expected_events),
            SLOTS,
            Deadline(request.target_by),
            Deadline(request.limit),
            request.reads_itself,
            "zone-1",
            MAXIMUM_GAP_SECONDS,
        )
        decision = self._pool.ask(applicant, (), Deadline.after(0))
        is_decided = decision.grant is not None or decision.refused
        if self._roles is not None and is_decided:
            waited = self._clock.now - request.asked_at
            self._roles.note_wait(waited if decision.grant else MIN_WAIT_SECONDS)
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
        back_at = self._clock.now + retry_after_seconds(forecast, self._draw.random())
        back = replace(
            request, came_back=True, asked_at=back_at, attempt=1, reads_itself=False
        )
        self._at(back_at, lambda: self._arrive(back))

    def _send(self, request: _Request, grant: Grant) -> None:
        if grant.prefill_engine is None:
            self._begin(request, grant, True)
            return
        reader = self._reading.get(grant.prefill_engine.start_id)
        if reader is None or reader.lost_until > self._clock.now:
            self._again(request, reads_itself=False)
            return
        read_at = reader.read(request.prompt_tokens, self._clock.now)
        if self._roles is not None:
            self._roles.note_prompt(read_at - self._clock.now)
        self._at(read_at, lambda: self._begin(request, grant, False))

    def _begin(self, request: _Request, grant: Grant, reads_itself: bool) -> None:
        engine = self._answering.get(grant.endpoint.start_id)
        if not reads_itself:
            self._pool.note_prefilled(request.request_id, request.attempt)
        answer = Answer(
            request.request_id,
            request.prompt_tokens,
            request.events,
            request.workload.event_tokens,
        )
        is_there = engine is not None and engine.lost_until <= self._clock.now
        if engine and is_there and engine.begin(answer, self._clock.now, reads_itself):
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
