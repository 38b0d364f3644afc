"""The requests that wait for grants at the engines of one service."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Collection
from dataclasses import dataclass, field

from jujubeslip.admission._engines import ServiceEngines
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import (
    DEFAULT_WAITING,
    Applicant,
    EngineUse,
    Grant,
    Lack,
    WaitingOptions,
)
from jujubeslip.admission._order import Turn, WaitingOrder
from jujubeslip.admission._room_search import RoomSearch
from jujubeslip.admission._vain_waits import waits_in_vain
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# A request whose host has not asked again for this long is waited for no more, in
# seconds: hosts ask several times as often.
ASKED_SECONDS = 1.0
# How much later a target has to be for another turn, in seconds.
LATER_TARGET_SECONDS = 0.05
# How many requests are tried at one look: beyond them, none is likely to find room.
TRIED_AT_MOST = 16
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
    lacked: Lack | None = None
    """What it did not find, where it is refused."""


@dataclass
class _Waiting:
    applicant: Applicant
    search: RoomSearch
    since: float
    asked_at: float
    forecast: float
    in_vain: bool
    """Whether it surely gets no grant before its limit."""
    decision: Decision | None = None
    decided: threading.Event = field(default_factory=threading.Event)
    asking: int = 0
    """Calls that wait for it at this moment."""

    @property
    def turn(self) -> Turn:
        return Turn(self.applicant.target_by.instant, self.applicant.request_id)

    @property
    def prompt_tokens(self) -> int:
        return self.applicant.prompt_tokens

    @property
    def takes_any_engine(self) -> bool:
        """Say whether it waits for what all others wait for.

        One that avoids engines, or asks for one that reads its prompt itself, may wait
        for seconds while there is room for everybody else.
        """
        return not self.search.avoided and not self.applicant.reads_itself

    def holds_others_up(self, now: float, passed_seconds: float) -> bool:
        """Say whether nobody may be granted what comes free before this one."""
        return self.takes_any_engine and now - self.since >= passed_seconds


class EnginePool:
    """Gives grants in order: requests still in time first, the earliest target before.

    All hosts' requests wait in one queue. Each host by itself would ask the engines
    again and again, and whoever asked at the right moment would go first.

    Whoever brings news of the engines decides for all that wait, and wakes just those
    that were decided: hundreds of hosts wait in a burst, and engines report hundreds of
    times a second. What comes free by time alone is found by `look_again`.
    """

    def __init__(
        self,
        service_name: str,
        options: MemoryOptions,
        waiting: WaitingOptions = DEFAULT_WAITING,
    ) -> None:
        self._service_name = service_name
        self._options = waiting
        self._engines = ServiceEngines(options)
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._order = WaitingOrder()
        self._interval = FIRST_INTERVAL_SECONDS
        self._busy_since = steady_seconds()
        self._lock = threading.Lock()

    # Engines

    def set_engines(
        self, answering: Collection[Endpoint], reading: Collection[Endpoint]
    ) -> None:
        """Give grants at the first ones, and prompts to the second ones, only.

        What was given at a start that is gone goes with it: its next one begins with
        nothing, and late ends of requests at the one before change nothing there.
        """
        with self._lock:
            self._engines.keep_only(answering, reading)

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Take over what a start of an engine says of itself."""
        with self._lock:
            self._engines.take_report(start_id, report)
            self._decide_all()

    def note_lost(self, start_id: str) -> None:
        """Give a start of an engine that can't be reached nothing until it is back."""
        with self._lock:
            self._engines.note_lost(start_id)

    @property
    def usable(self) -> bool:
        """Say whether any engine is known well enough to be given requests."""
        with self._lock:
            return self._engines.usable

    def reported_within(self, start_id: str, seconds: float) -> bool:
        """Say whether a start of an engine has reported lately and can be reached."""
        with self._lock:
            return self._engines.reported_within(start_id, seconds)

    def answer_count(self, start_id: str) -> int:
        """Return how many answers an engine makes now, 0 if it isn't known."""
        with self._lock:
            return self._engines.answer_count(start_id)

    @property
    def busy_readers(self) -> float:
        """Return how many readers the prompts asked for lately would keep busy."""
        with self._lock:
            return self._engines.busy_readers

    @property
    def use(self) -> EngineUse:
        """Return how many engines the requests granted lately keep busy."""
        with self._lock:
            return self._engines.use

    # Requests

    def ask(
        self, applicant: Applicant, avoided: Collection[str], until: Deadline
    ) -> Decision:
        """Return a grant as soon as there is one, before the given instant."""
        with self._lock:
            grant = self._engines.given_before(applicant)
            if grant is not None:
                return Decision(grant, False, 0.0)
            self._engines.note_asked(applicant)
            self._end_earlier_attempt(applicant)
            waiting = self._waiting_by_id.get(applicant.request_id)
            is_new = waiting is None
            if waiting is None:
                waiting = self._enter(applicant, avoided)
            waiting.asking += 1
            self._move(waiting, applicant)
            # For one that only asks on, nothing has changed.
            if waiting.search.avoid(avoided) or is_new:
                self._decide_all()
        try:
            return self._wait(waiting, until)
        finally:
            with self._lock:
                waiting.asking -= 1
                waiting.asked_at = steady_seconds()

    def note_read(self, request_id: str, attempt: int) -> None:
        """Note that a request's prompt was read, or won't be where it was to be."""
        with self._lock:
            self._engines.note_read(request_id, attempt)
            self._decide_all()

    def end(self, request_id: str, attempt: int) -> bool:
        """Note that a request has ended, or will not be sent; say if it waited."""
        with self._lock:
            waiting = self._waiting_by_id.get(request_id)
            waited = waiting is not None and waiting.applicant.attempt == attempt
            if waiting is not None and waited:
                self._refuse(waiting)
            self._engines.end(request_id, attempt)
            self._decide_all()
        return waited

    def look_again(self) -> None:
        """Decide for those that wait: a reader that was busy has time by itself."""
        with self._lock:
            self._decide_all()

    # Those that wait; each method needs the lock.

    def _end_earlier_attempt(self, applicant: Applicant) -> None:
        known = self._waiting_by_id.get(applicant.request_id)
        if known is not None and known.applicant.attempt != applicant.attempt:
            self._refuse(known)

    def _move(self, known: _Waiting, applicant: Applicant) -> None:
        """Give a request another turn whose host tells a later target than before.

        What is told takes a moment on its way, which is no other target.
        """
        later = applicant.target_by.instant - known.applicant.target_by.instant
        if later < LATER_TARGET_SECONDS:
            return
        self._order.remove(known.turn)
        known.applicant = applicant
        self._order.add(known.turn)

    def _enter(self, applicant: Applicant, avoided: Collection[str]) -> _Waiting:
        """Let a request wait."""
        now = steady_seconds()
        if not self._waiting_by_id:
            self._busy_since = now
        forecast = self._forecast(applicant, now)
        in_vain = waits_in_vain(forecast, applicant.limit.remaining())
        search = RoomSearch(applicant, avoided)
        waiting = _Waiting(applicant, search, now, now, forecast, in_vain)
        self._waiting_by_id[applicant.request_id] = waiting
        self._order.add(waiting.turn)
        return waiting

    def _forecast(self, applicant: Applicant, now: float) -> float:
        turn = Turn(applicant.target_by.instant, applicant.request_id)
        return (self._order.count_ahead(turn, now) + 1) * self._interval

    def _decide_all(self) -> None:
        """Give grants to those that go first, as far as there is room."""
        if not self._waiting_by_id:
            return
        now = steady_seconds()
        readers = self._engines.readers_now()
        too_large = math.inf
        for turn in self._order.first_ones(now, TRIED_AT_MOST):
            waiting = self._waiting_by_id[turn.request_id]
            if self._is_over(waiting, now) or waiting.prompt_tokens >= too_large:
                continue
            reads_beside = now - waiting.since >= self._options.reader_seconds
            grant = self._engines.find_grant(waiting.search, readers, reads_beside)
            if grant is not None:
                self._admit(waiting, grant, now)
                readers = self._engines.readers_now()
            elif waiting.holds_others_up(now, self._options.passed_seconds):
                return
            elif waiting.takes_any_engine:
                too_large = waiting.prompt_tokens

    def _is_over(self, waiting: _Waiting, now: float) -> bool:
        """Drop a request whose host asks no more, which would hold up all others."""
        if waiting.asking or waiting.asked_at >= now - ASKED_SECONDS:
            return False
        self._refuse(waiting)
        extra = {
            "request_id": waiting.applicant.request_id,
            "service": self._service_name,
        }
        logger.info("request waits no more for a grant", extra=extra)
        return True

    def _admit(self, waiting: _Waiting, grant: Grant, now: float) -> None:
        self._engines.admit(waiting.applicant, grant)
        self._interval += INTERVAL_WEIGHT * (now - self._busy_since - self._interval)
        self._busy_since = now
        self._decide(waiting, Decision(grant, False, waiting.forecast))

    def _refuse(self, waiting: _Waiting) -> None:
        lacked = waiting.search.lacks
        self._decide(waiting, Decision(None, True, waiting.forecast, lacked))

    def _decide(self, waiting: _Waiting, decision: Decision) -> None:
        """Let all calls for the request end with this decision."""
        waiting.decision = decision
        del self._waiting_by_id[waiting.applicant.request_id]
        self._order.remove(waiting.turn)
        waiting.decided.set()

    # The call of one host.

    def _wait(self, waiting: _Waiting, until: Deadline) -> Decision:
        """Return the decision; none of both where it is not there in time."""
        limit = waiting.applicant.limit
        while True:
            with self._lock:
                # Told at once that its wait would be in vain, a client comes back when
                # others have ended; held until its limit, it would be refused as well.
                is_late = waiting.in_vain or limit.expired
                if waiting.decision is None and is_late:
                    self._refuse(waiting)
                if waiting.decision is not None:
                    return waiting.decision
                if until.expired:
                    return Decision(None, False, waiting.forecast)
            waiting.decided.wait(min(until.remaining(), limit.remaining()))
