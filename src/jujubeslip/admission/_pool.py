"""The requests that wait for grants at the engines of one service, and their order."""

from __future__ import annotations

import logging
import threading
from collections.abc import Collection
from dataclasses import dataclass

from jujubeslip.admission._engines import ServiceEngines
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import Applicant, Grant
from jujubeslip.admission._urgency import urgency
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

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
        self._engines = ServiceEngines(options)
        self._waiting_by_id: dict[str, _Waiting] = {}
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
            self._engines.keep_only(answering, reading)

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Take over what a start of an engine says of itself."""
        with self._changed:
            self._engines.take_report(start_id, report)
            self._changed.notify_all()

    def note_lost(self, start_id: str) -> None:
        """Give a start of an engine that can't be reached nothing until it reports."""
        with self._changed:
            self._engines.note_lost(start_id)

    @property
    def usable(self) -> bool:
        """Say whether any engine is known well enough to be given requests."""
        with self._changed:
            return self._engines.usable

    # Requests

    def ask(
        self, applicant: Applicant, avoided: Collection[str], until: Deadline
    ) -> Decision:
        """Return a grant as soon as there is one, before the given instant."""
        with self._changed:
            grant = self._engines.given_before(applicant)
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
            self._engines.note_read(request_id, attempt)
            self._changed.notify_all()

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, or will not be sent."""
        with self._changed:
            waiting = self._waiting_by_id.get(request_id)
            if waiting is not None and waiting.applicant.attempt == attempt:
                self._decide(waiting, Decision(None, True, waiting.forecast))
            self._engines.end(request_id, attempt)
            self._changed.notify_all()

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
                grant = self._engines.find_grant(applicant, waiting.avoided)
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
        self._engines.admit(waiting.applicant, grant)
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


def _rank(applicant: Applicant, now: float) -> tuple[bool, float, str]:
    """Return what orders waiting requests, equal ones by their ids."""
    return (*urgency(applicant.target_by.instant, now), applicant.request_id)
