"""Simulates a load pattern against the grant queue."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from bench.replay._clock import VirtualClock
from bench.replay._engines import Answer, DecodeEngine, PrefillEngine
from bench.replay._patterns import Loss, Pattern, Workload
from bench.replay._role_orders import ReplayedRoles
from jujubeslip.admission import MemoryOptions, WaitingOptions, lengths_of
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._models import Grant, GrantRequest
from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._pressure import MINIMUM_WAIT_SECONDS
from jujubeslip.forwarding._retry_after import retry_after_seconds
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport

SLOTS = 64
TARGET_SECONDS, MAXIMUM_GAP_SECONDS, CLIENT_TIMEOUT_SECONDS = 0.9, 0.3, 3.6
# Margins that a forwarding host keeps: the time before the target of the first token
# after which a grant comes too late, and the time before the client timeout.
START_MARGIN_SECONDS, TIMEOUT_MARGIN_SECONDS = 0.25, 0.4
STEP_SECONDS, GRANT_RETRY_SECONDS, REPORT_SECONDS, QUEUE_SCAN_SECONDS = (
    0.01,
    0.05,
    0.25,
    0.05,
)
# How long an engine stays listed after its last announcement, in seconds.
ANNOUNCEMENT_EXPIRY_SECONDS = 5.0
# Interval of the role scans, and how long an idle engine takes to change its role.
ROLE_SCAN_SECONDS, ROLE_CHANGE_SECONDS = 0.5, 6.0
# How long a leaving engine continues its running answers, in seconds.
DRAIN_SECONDS = 3.5
# Worth of a late answer, as a share of the worth of one in time.
LATE_WORTH = 0.2


@dataclass(frozen=True)
class DecisionOptions:
    """The options of the grant decisions in a simulation."""

    memory: MemoryOptions = MemoryOptions(margin=0.05, safety_deviations=1.5)
    waiting: WaitingOptions = WaitingOptions()


@dataclass
class Outcome:
    """The results for the callers."""

    requested: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    refused: int = 0
    wasted_prefills: int = 0
    evicted: int = 0
    total_worth: float = 0.0
    """The worth of all requests; a large one is worth more."""
    earned_worth: float = 0.0
    large_total_worth: float = 0.0
    """The worth of the tenth of the requests with the largest prompts."""
    large_earned_worth: float = 0.0
    orders: list[tuple[float, EndpointRole]] = field(default_factory=list)
    """The role orders to engines, with their times in seconds from the start."""

    @property
    def worth(self) -> float:
        """Return the earned share of the worth of all requests."""
        return self.earned_worth / max(1.0, self.total_worth)

    @property
    def large_worth(self) -> float:
        """Return the earned share of the worth of the large requests."""
        return self.large_earned_worth / max(1.0, self.large_total_worth)

    def note_requested(self, size: float, is_large: bool) -> None:
        """Record the first arrival of a request."""
        self.requested += 1
        self.total_worth += size
        self.large_total_worth += size if is_large else 0.0

    def note_served(self, size: float, is_large: bool, in_time: bool) -> None:
        """Record a complete answer."""
        self.in_time += in_time
        self.late += not in_time
        earned_worth = size if in_time else size * LATE_WORTH
        self.earned_worth += earned_worth
        self.large_earned_worth += earned_worth if is_large else 0.0


@dataclass(frozen=True)
class _Request:
    number: int
    prompt_tokens: int
    events: int
    expected_events: int
    workload: Workload
    first_requested_at: float
    requested_at: float
    is_retry: bool = False
    attempt: int = 1
    reads_itself: bool = False
    availability_zone: str = "zone-1"

    @property
    def request_id(self) -> str:
        return f"request-{self.number}-{int(self.is_retry)}"

    @property
    def size(self) -> float:
        """The worth of its answer, 1 for a request of the reference size."""
        answer_tokens = self.events * self.workload.event_tokens
        tokens = self.prompt_tokens + 10 * answer_tokens
        return 0.3 + 0.7 * tokens / self.workload.reference_tokens

    @property
    def is_large(self) -> bool:
        return self.prompt_tokens > self.workload.large_prompt

    @property
    def target_by(self) -> float:
        return self.first_requested_at + TARGET_SECONDS

    @property
    def limit(self) -> float:
        if self.is_retry:
            return self.requested_at + CLIENT_TIMEOUT_SECONDS - TIMEOUT_MARGIN_SECONDS
        return self.target_by - START_MARGIN_SECONDS


class Simulation:
    """One simulation; the seed determines the requests and their arrival times."""

    def __init__(self, pattern: Pattern, options: DecisionOptions, seed: int) -> None:
        self.outcome = Outcome()
        self._pattern = pattern
        self._draw = random.Random(seed)
        self._clock = VirtualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._request_by_id: dict[str, _Request] = {}
        self._decode_engines = {
            name: self._new_decode_engine(name)
            for name in (f"engine-{n}" for n in range(pattern.decode_engines))
        }
        self._prefill_engines = {
            name: self._new_prefill_engine(name)
            for name in (f"reader-{n}" for n in range(pattern.prefill_engines))
        }
        self._options = options
        self._roles: ReplayedRoles | None = None
        self._changing_to: dict[str, EndpointRole] = {}

    def _new_decode_engine(self, name: str) -> DecodeEngine:
        load = self._pattern.workload
        return DecodeEngine(name, load.capacity_tokens, load.prefill_tokens_per_second)

    def _new_prefill_engine(self, name: str) -> PrefillEngine:
        return PrefillEngine(name, self._pattern.workload.prefill_tokens_per_second)

    def run(self) -> Outcome:
        """Run the pattern until its last answers have finished."""
        pattern = self._pattern
        random.seed(self._draw.random())
        with self._clock as clock:
            self._begun_at = clock.now
            waiting, memory = self._options.waiting, self._options.memory
            self._pool = self._new_pool(memory, waiting)
            self._announce()
            self._draw_requests()
            for loss in pattern.losses:
                self._at(self._begun_at + loss.at, partial(self._apply_loss, loss))
            self._report()
            self._scan_queue()
            if pattern.changes_roles:
                self._roles = ReplayedRoles(self._pool, self._order, self._changing_to)
                for span in pattern.leaders_lost:
                    self._at(self._begun_at + span.ends, self._roles.take_over)
                self._scan_roles()
            end = self._begun_at + pattern.seconds + 15
            while clock.now < end:
                clock.now += STEP_SECONDS
                while self._events and self._events[0][0] <= clock.now:
                    heapq.heappop(self._events)[2]()
                self._step()
        return self.outcome

    def _new_pool(self, memory: MemoryOptions, waiting: WaitingOptions) -> EnginePool:
        return EnginePool("model", memory, waiting)

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), action))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self._at(self._clock.now + seconds, action)

    # Engines

    def _zone_of(self, name: str) -> str:
        """Return the availability zone of an engine."""
        return "zone-1"

    def _engines(self) -> Iterator[Endpoint]:
        """Yield the engines that are listed by their announcements.

        A crashed engine stays listed until `ANNOUNCEMENT_EXPIRY_SECONDS` have passed.
        """
        now = self._clock.now
        for engine in self._decode_engines.values():
            heard_at = min(now, engine.heard_at)
            if (
                engine.leaves_at == math.inf
                and heard_at > now - ANNOUNCEMENT_EXPIRY_SECONDS
            ):
                yield self._endpoint(engine.name, EndpointRole.DECODE, heard_at)
        for prefill_engine in self._prefill_engines.values():
            heard_at = min(now, prefill_engine.heard_at)
            is_removed = prefill_engine.lost_until == math.inf
            if not is_removed and heard_at > now - ANNOUNCEMENT_EXPIRY_SECONDS:
                yield self._endpoint(
                    prefill_engine.name, EndpointRole.PREFILL, heard_at
                )

    def _endpoint(self, name: str, role: EndpointRole, now: float) -> Endpoint:
        return Endpoint(
            endpoint_id=name,
            service_name="model",
            address=f"{name}:1",
            availability_zone=self._zone_of(name),
            role=role,
            slots=SLOTS,
            sequence=1,
            leaving=False,
            heard_at=now,
            slow_until=Deadline.after(0),
        )

    def _runs(self, name: str) -> bool:
        engine = self._decode_engines.get(name) or self._prefill_engines[name]
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
        for engine in self._decode_engines.values():
            if engine.lost_until <= now:
                self._pool.take_report(engine.name, engine.report(now))
        capacity = self._pattern.workload.capacity_tokens
        prefill_report = EngineReport(capacity, 0, 0, (), is_prefill_engine=True)
        for prefill_engine in self._prefill_engines.values():
            if prefill_engine.lost_until <= now:
                self._pool.take_report(prefill_engine.name, prefill_report)
        self._after(REPORT_SECONDS, self._report)

    def _scan_queue(self) -> None:
        self._pool.look_again()
        self._after(QUEUE_SCAN_SECONDS, self._scan_queue)

    def _apply_loss(self, loss: Loss) -> None:
        """Lose the first engines that are available, regardless of their names."""
        now = self._clock.now
        until = now + loss.seconds
        excluded = self._changing_to if loss.excludes_changing else {}
        decode_engines = [
            item
            for name, item in self._decode_engines.items()
            if item.lost_until < now and name not in excluded
        ]
        for engine in decode_engines[: loss.decode_engines]:
            if loss.is_announced:
                engine.leaves_at = now + DRAIN_SECONDS
                self._at(engine.leaves_at, partial(self._end_engine, engine, until))
            else:
                self._end_engine(engine, until)
                self._crash(engine, until)
        prefill_engines = [
            item
            for name, item in self._prefill_engines.items()
            if item.lost_until < now and name not in excluded
        ]
        for prefill_engine in prefill_engines[: loss.prefill_engines]:
            prefill_engine.lost_until = until
            if not loss.is_announced:
                self._crash(prefill_engine, until)
        self._announce()

    def _end_engine(self, engine: DecodeEngine, until: float) -> None:
        for answer in engine.lose(until):
            self._note_ended(answer, is_complete=False)

    def _crash(self, engine: DecodeEngine | PrefillEngine, until: float) -> None:
        """Stop the announcements of the engine until it recovers."""
        engine.heard_at = self._clock.now
        if until < math.inf:
            self._at(until, partial(self._recover, engine))

    def _recover(self, engine: DecodeEngine | PrefillEngine) -> None:
        engine.heard_at = math.inf
        self._announce()

    # Roles

    def _scan_roles(self) -> None:
        now = self._clock.now - self._begun_at
        spans = (*self._pattern.without_leader, *self._pattern.leaders_lost)
        if self._roles is not None:
            may_order = not any(span.begins <= now < span.ends for span in spans)
            self._roles.scan(list(self._engines()), may_order)
            self._announce()
        self._after(ROLE_SCAN_SECONDS, self._scan_roles)

    def _order(self, name: str, role: EndpointRole) -> None:
        """Let an engine finish its work and then change its role."""
        self._changing_to[name] = role
        self.outcome.orders.append((self._clock.now - self._begun_at, role))
        self._change_when_idle(name)

    def _change_when_idle(self, name: str) -> None:
        now = self._clock.now
        engine, prefill_engine = (
            self._decode_engines.get(name),
            self._prefill_engines.get(name),
        )
        is_busy = engine is not None and bool(engine.running)
        is_busy = is_busy or (
            prefill_engine is not None and prefill_engine.free_at > now
        )
        next_step = self._change_when_idle if is_busy else self._change
        self._after(
            STEP_SECONDS if is_busy else ROLE_CHANGE_SECONDS, partial(next_step, name)
        )

    def _change(self, name: str) -> None:
        role = self._changing_to.pop(name)
        if role is EndpointRole.DECODE and name in self._prefill_engines:
            lost_until = self._prefill_engines.pop(name).lost_until
            self._decode_engines[name] = self._new_decode_engine(name)
            self._decode_engines[name].lost_until = lost_until
            if lost_until == math.inf:
                self._decode_engines[name].leaves_at = self._clock.now
        elif role is EndpointRole.PREFILL and name in self._decode_engines:
            before = self._decode_engines.pop(name)
            self._prefill_engines[name] = self._new_prefill_engine(name)
            is_removed = before.leaves_at < math.inf
            self._prefill_engines[name].lost_until = (
                math.inf if is_removed else before.lost_until
            )
        self._announce()

    def _step(self) -> None:
        now = self._clock.now
        for engine in self._decode_engines.values():
            for answer in engine.step(now, STEP_SECONDS):
                self._note_ended(answer, is_complete=True)

    # Requests

    def _draw_requests(self) -> None:
        at, number = 0.0, 0
        while at < self._pattern.seconds:
            at += self._draw.expovariate(self._rate(at))
            request = self._draw_request(number, self._begun_at + at)
            self._at(request.requested_at, partial(self._arrive, request))
            number += 1

    def _rate(self, at: float) -> float:
        load_factors = [
            item.load_factor
            for item in self._pattern.bursts
            if item.begins <= at < item.ends
        ]
        return self._pattern.streams_per_second * max([1.0, *load_factors])

    def _draw_request(self, number: int, at: float) -> _Request:
        load = self._pattern.workload
        prompt_deviation, event_deviation = load.log_deviations
        drawn = self._draw.lognormvariate(load.log_prompt_tokens, prompt_deviation)
        prompt_tokens = int(min(load.largest_prompt, max(load.smallest_prompt, drawn)))
        drawn = self._draw.lognormvariate(load.log_events, event_deviation)
        events = int(min(load.maximum_events, max(5, drawn)))
        expected = max(1, int(events * self._draw.lognormvariate(0.0, 0.5)))
        return _Request(number, prompt_tokens, events, expected, load, at, at)

    def _arrive(self, request: _Request) -> None:
        if not request.is_retry:
            self.outcome.note_requested(request.size, request.is_large)
        self._request_grant(request)

    def _request_grant(self, request: _Request) -> None:
        if self._clock.now > request.requested_at + CLIENT_TIMEOUT_SECONDS:
            self.outcome.unserved += 1
            self._pool.end(request.request_id, request.attempt)
            return
        grant_request = GrantRequest(
            request.request_id,
            request.attempt,
            request.prompt_tokens,
            request.workload.event_tokens,
            lengths_of(request.workload.maximum_events, request.expected_events),
            SLOTS,
            Deadline(request.target_by),
            Deadline(request.limit),
            request.reads_itself,
            request.availability_zone,
            MAXIMUM_GAP_SECONDS,
        )
        decision = self._pool.ask(grant_request, (), Deadline.after(0))
        is_decided = decision.grant is not None or decision.refused
        if self._roles is not None and is_decided:
            waited = self._clock.now - request.requested_at
            self._roles.note_wait(waited if decision.grant else MINIMUM_WAIT_SECONDS)
        if decision.grant is not None:
            self._start_prefill(request, decision.grant)
        elif decision.refused:
            self._refuse(request, decision.forecast)
        else:
            self._after(GRANT_RETRY_SECONDS, lambda: self._request_grant(request))

    def _refuse(self, request: _Request, forecast: float) -> None:
        self.outcome.refused += 1
        if request.is_retry:
            self.outcome.unserved += 1
            return
        retry_at = self._clock.now + retry_after_seconds(forecast, self._draw.random())
        retry = replace(
            request, is_retry=True, requested_at=retry_at, attempt=1, reads_itself=False
        )
        self._at(retry_at, lambda: self._arrive(retry))

    def _start_prefill(self, request: _Request, grant: Grant) -> None:
        if grant.prefill_engine is None:
            self._start_answer(request, grant, True)
            return
        prefill_engine = self._prefill_engines.get(grant.prefill_engine.start_id)
        if prefill_engine is None or prefill_engine.lost_until > self._clock.now:
            self._retry_grant(request, reads_itself=False)
            return
        prefilled_at = prefill_engine.prefill(request.prompt_tokens, self._clock.now)
        if self._roles is not None:
            self._roles.note_prompt(prefilled_at - self._clock.now)
        self._at(prefilled_at, lambda: self._start_answer(request, grant, False))

    def _start_answer(
        self, request: _Request, grant: Grant, reads_itself: bool
    ) -> None:
        engine = self._decode_engines.get(grant.endpoint.start_id)
        if not reads_itself:
            self._pool.note_prefilled(request.request_id, request.attempt)
        answer = Answer(
            request.request_id,
            request.prompt_tokens,
            request.events,
            request.workload.event_tokens,
        )
        is_available = engine is not None and engine.lost_until <= self._clock.now
        if (
            engine
            and is_available
            and engine.start_answer(answer, self._clock.now, reads_itself)
        ):
            self._request_by_id[request.request_id] = request
            if reads_itself:
                note = partial(
                    self._pool.note_prefilled, request.request_id, request.attempt
                )
                self._at(engine.stalled_until, note)
            return
        self.outcome.wasted_prefills += not reads_itself
        self._retry_grant(request, reads_itself=False)

    def _retry_grant(self, request: _Request, reads_itself: bool) -> None:
        self._pool.end(request.request_id, request.attempt)
        again = replace(request, attempt=request.attempt + 1, reads_itself=reads_itself)
        self._after(STEP_SECONDS, partial(self._request_grant, again))

    def _note_ended(self, answer: Answer, is_complete: bool) -> None:
        request = self._request_by_id.pop(answer.request_id)
        self._pool.end(request.request_id, request.attempt)
        self.outcome.evicted += answer.was_evicted
        if not is_complete or answer.first_event_at is None:
            self.outcome.unserved += 1
            return
        in_time = answer.first_event_at <= request.target_by
        in_time = in_time and answer.longest_gap <= MAXIMUM_GAP_SECONDS
        self.outcome.note_served(request.size, request.is_large, in_time)
