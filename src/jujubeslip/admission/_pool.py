"""The engines of one service that answer, and the requests that wait for them."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from typing import TypeVar

from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._memory_forecast import (
    GrowingAnswer,
    MemoryOptions,
    forecast_peak,
)
from jujubeslip.admission._models import Admitted, Applicant, Grant
from jujubeslip.admission._prompt_queue import FIRST_TOKENS_PER_SECOND, PromptQueue
from jujubeslip.admission._urgency import urgency
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

T = TypeVar("T")

# How much fuller an engine in the entry host's own availability zone may be than one
# in another zone, as a share of its memory. When a zone is cut off, the answers that
# cross its border are lost. With this and the bound on prompts that an engine reads
# beside its answers, 49 to 61 of 100 streams were in time meanwhile, 39 to 54 without.
OTHER_ZONE_FILL = 0.25
# How fast an engine that answers reads prompts, as a share of the speed of one that
# only does that, as engines are specified.
OWN_SPEED_SHARE = 0.5
# How long a full engine takes for an event, in seconds, as measured: a pause lasts for
# that, too.
EVENT_SECONDS = 0.08

# A request whose host has not asked again for this long is waited for no more, in
# seconds: hosts ask several times as often.
ASKED_SECONDS = 1.0
# How often one that waits looks again by itself, in seconds: grants come free with
# reports and with ends, which wake it.
LOOK_SECONDS = 0.05
# How much the latest interval between two requests that got a grant counts, and what
# is assumed before the first one, in seconds.
INTERVAL_WEIGHT = 0.2
FIRST_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True)
class Decision:
    """What a request gets: a grant, a refusal, or neither where it is to ask again."""

    grant: Grant | None
    refused: bool
    forecast: float
    """How long it was expected to wait when it came, in seconds."""


@dataclass
class _Waiting:
    applicant: Applicant
    avoided: frozenset[str]
    asked_at: float
    forecast: float
    in_vain: bool
    """Whether it was expected to get no grant before its limit."""
    decision: Decision | None = None
    asking: int = 0
    """Calls that wait for it at this moment."""


class EnginePool:
    """Gives grants in order: requests still in time first, the earliest target before.

    All hosts' requests wait in one queue. Each host by itself would ask the engines
    again and again, and whoever asked at the right moment would go first.
    """

    def __init__(self, service_name: str, options: MemoryOptions) -> None:
        self._service_name = service_name
        self._options = options
        self._engine_by_start: dict[str, EngineMemory] = {}
        self._reader_by_start: dict[str, PromptQueue] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._read_speed = FIRST_TOKENS_PER_SECOND
        self._interval = FIRST_INTERVAL_SECONDS
        self._busy_since = steady_seconds()
        self._changed = threading.Condition()

    # Engines

    def set_engines(
        self, answering: Collection[Endpoint], reading: Collection[Endpoint]
    ) -> None:
        """Give grants at the first ones, and prompts to the second ones, only.

        What was given at a start that is gone goes with it: its next one begins with
        nothing, and late ends of requests at the one before change nothing there.
        """
        with self._changed:
            _keep_only(self._engine_by_start, answering, EngineMemory)
            _keep_only(self._reader_by_start, reading, PromptQueue)

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Take over what a start of an engine says of itself."""
        with self._changed:
            engine = self._engine_by_start.get(start_id)
            if engine is not None:
                engine.take_report(report)
            reader = self._reader_by_start.get(start_id)
            if reader is not None:
                reader.take_report(report)
                self._read_speed = reader.speed
            self._changed.notify_all()

    @property
    def usable(self) -> bool:
        """Say whether any engine is known well enough to be given requests."""
        with self._changed:
            return any(engine.usable for engine in self._engine_by_start.values())

    # Requests

    def ask(
        self, applicant: Applicant, avoided: Collection[str], until: Deadline
    ) -> Decision:
        """Return a grant as soon as there is one, before the given instant."""
        with self._changed:
            grant = self._given_before(applicant)
            if grant is not None:
                return Decision(grant, False, 0.0)
            waiting = self._enter(applicant, frozenset(avoided))
            waiting.asking += 1
            try:
                return self._wait(waiting, until)
            finally:
                waiting.asking -= 1
                waiting.asked_at = steady_seconds()

    def note_read(self, request_id: str, attempt: int) -> None:
        """Note that a request's prompt was read, or won't be where it was to be."""
        with self._changed:
            self._note_read(request_id, attempt)
            self._changed.notify_all()

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, or will not be sent."""
        with self._changed:
            waiting = self._waiting_by_id.get(request_id)
            if waiting is not None and waiting.applicant.attempt == attempt:
                self._decide(waiting, Decision(None, True, waiting.forecast))
            self._note_read(request_id, attempt)
            for engine in self._engine_by_start.values():
                engine.end(request_id, attempt)
            self._changed.notify_all()

    def _given_before(self, applicant: Applicant) -> Grant | None:
        """Return the grant of a request that asks again after a lost answer."""
        for engine in self._engine_by_start.values():
            admitted = engine.find(applicant.request_id, applicant.attempt)
            if admitted is not None:
                return admitted.grant
        return None

    def _note_read(self, request_id: str, attempt: int) -> None:
        for reader in self._reader_by_start.values():
            reader.note_read(request_id, attempt)
        for engine in self._engine_by_start.values():
            engine.note_read(request_id, attempt)

    def _enter(self, applicant: Applicant, avoided: frozenset[str]) -> _Waiting:
        now = steady_seconds()
        known = self._waiting_by_id.get(applicant.request_id)
        if known is not None and known.applicant.attempt == applicant.attempt:
            known.avoided = avoided
            return known
        if known is not None:
            self._decide(known, Decision(None, True, known.forecast))
        if not self._waiting_by_id:
            self._busy_since = now
        forecast = self._forecast(applicant, now)
        in_vain = forecast > applicant.limit.remaining()
        waiting = _Waiting(applicant, avoided, now, forecast, in_vain)
        self._waiting_by_id[applicant.request_id] = waiting
        return waiting

    def _forecast(self, applicant: Applicant, now: float) -> float:
        own = _rank(applicant, now)
        ahead = sum(
            _rank(item.applicant, now) <= own for item in self._waiting_by_id.values()
        )
        return (ahead + 1) * self._interval

    def _wait(self, waiting: _Waiting, until: Deadline) -> Decision:
        applicant = waiting.applicant
        while waiting.decision is None:
            self._forget_silent()
            if self._is_next(waiting):
                grant = self._find_grant(waiting)
                if grant is not None:
                    return self._admit(waiting, grant)
            # Told at once that its wait would be in vain, a client comes back when
            # others have ended; held until its limit, it would be refused all the same.
            if waiting.in_vain or applicant.limit.expired:
                return self._decide(waiting, Decision(None, True, waiting.forecast))
            if until.expired:
                return Decision(None, False, waiting.forecast)
            left = min(until.remaining(), applicant.limit.remaining(), LOOK_SECONDS)
            self._changed.wait(max(0.001, left))
        return waiting.decision

    def _decide(self, waiting: _Waiting, decision: Decision) -> Decision:
        """Let all calls for the request end with this decision."""
        waiting.decision = decision
        self._waiting_by_id.pop(waiting.applicant.request_id, None)
        self._changed.notify_all()
        return decision

    def _admit(self, waiting: _Waiting, grant: Grant) -> Decision:
        now = steady_seconds()
        applicant = waiting.applicant
        self._engine_by_start[grant.endpoint.start_id].admit(
            Admitted(applicant, grant, now)
        )
        if grant.reader is not None:
            self._reader_by_start[grant.reader.start_id].give(applicant)
        self._interval += INTERVAL_WEIGHT * (now - self._busy_since - self._interval)
        self._busy_since = now
        return self._decide(waiting, Decision(grant, False, waiting.forecast))

    def _forget_silent(self) -> None:
        """Drop requests whose hosts ask no more, which would hold up all others."""
        oldest = steady_seconds() - ASKED_SECONDS
        for request_id, waiting in list(self._waiting_by_id.items()):
            if not waiting.asking and waiting.asked_at < oldest:
                self._decide(waiting, Decision(None, True, waiting.forecast))
                extra = {"request_id": request_id, "service": self._service_name}
                logger.info("request waits no more for a grant", extra=extra)

    def _is_next(self, waiting: _Waiting) -> bool:
        now = steady_seconds()
        first = min(
            self._waiting_by_id.values(), key=lambda item: _rank(item.applicant, now)
        )
        return first is waiting

    def _find_grant(self, waiting: _Waiting) -> Grant | None:
        """Return the best grant, None if all engines are full.

        An engine that reads a prompt by itself stops all its answers meanwhile. That
        is done only while no engine reads for others.
        """
        reader = None
        if not waiting.applicant.reads_itself:
            readers = self._readers(waiting)
            ready = [item for item in readers if item.has_room]
            if readers and not ready:
                return None
            reader = min(
                ready,
                key=lambda item: (item.seconds_left, random.random()),
                default=None,
            )
        grants = [
            grant
            for engine in self._engine_by_start.values()
            if engine.usable and engine.endpoint.start_id not in waiting.avoided
            if reader is not None or self._may_read(engine, waiting.applicant)
            if (grant := self._grant_at(engine, waiting.applicant)) is not None
        ]
        own_zone = waiting.applicant.availability_zone
        found = min(
            grants,
            key=lambda item: (self._cost(item, own_zone), random.random()),
            default=None,
        )
        if found is None or reader is None:
            return found
        return replace(
            found,
            reader=reader.endpoint,
            read_seconds=reader.seconds_for(waiting.applicant.prompt_tokens),
        )

    def _cost(self, grant: Grant, own_zone: str) -> float:
        is_near = grant.endpoint.availability_zone == own_zone
        return grant.fill + (0.0 if is_near else OTHER_ZONE_FILL)

    def _readers(self, waiting: _Waiting) -> list[PromptQueue]:
        return [
            reader
            for reader in self._reader_by_start.values()
            if reader.usable and reader.endpoint.start_id not in waiting.avoided
        ]

    def _may_read(self, engine: EngineMemory, applicant: Applicant) -> bool:
        """Say whether the engine may read the prompt beside its other answers.

        One prompt at a time, and none that takes too long: its answers, a dozen of
        them, would pause for longer than they may, and all be late.
        """
        if engine.reads_prompt:
            return False
        seconds = applicant.prompt_tokens / (self._read_speed * OWN_SPEED_SHARE)
        longest = max(0.0, applicant.maximum_gap - EVENT_SECONDS)
        return seconds <= longest or not engine.answers(applicant)

    def _grant_at(self, engine: EngineMemory, applicant: Applicant) -> Grant | None:
        answers = engine.answers(applicant)
        if len(answers) >= applicant.slots:
            return None
        answers.append(
            GrowingAnswer(
                applicant.prompt_tokens, 0, applicant.event_tokens, applicant.lengths
            )
        )
        capacity = max(1, engine.capacity_tokens)
        fill = forecast_peak(answers, self._options.caution) / capacity
        if fill > 1 - self._options.margin:
            return None
        return Grant(engine.endpoint, fill, int(engine.report_age * 1000))


def _rank(applicant: Applicant, now: float) -> tuple[bool, float, str]:
    """Return what orders waiting requests, equal ones by their ids."""
    return (*urgency(applicant.target_by.instant, now), applicant.request_id)


def _keep_only(
    by_start: dict[str, T],
    wanted: Collection[Endpoint],
    create: Callable[[Endpoint], T],
) -> None:
    for start_id in by_start.keys() - {endpoint.start_id for endpoint in wanted}:
        del by_start[start_id]
    for endpoint in wanted:
        if endpoint.start_id not in by_start:
            by_start[endpoint.start_id] = create(endpoint)
