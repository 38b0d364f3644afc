"""A slot and memory at the engine that is to answer, before the prompt is read.

The engines' memory is what runs out first. A prompt that was read for an engine which
has no room is read in vain, and a request that is let in without room pushes another
one out in the middle of its answer, whose prompt is then read again.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Collection
from dataclasses import dataclass

from returns.result import Success

from jujubeslip.admission import MemoryOptions, growth_of, waits_in_vain
from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import CallerGoneError, EndpointError
from jujubeslip.forwarding._engine_reports import EngineReports
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._sending import Sending
from jujubeslip.forwarding._waiting import Waiting
from jujubeslip.kernel import Deadline, Ran
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineService, PromptShape

logger = logging.getLogger(__name__)

# How long an engine may take to answer, in seconds. It needs a millisecond or two; one
# beyond a network partition takes all of it, and a stream has 0.9 to its first event.
ANSWER_SECONDS = 0.2
# Between two rounds over the engines while all are full, in seconds.
PAUSE_SECONDS = 0.05
# Engines that are asked in one round.
ENGINES_A_ROUND = 3


@dataclass(frozen=True)
class Reservation:
    """Room at an engine, by the engine's name for it."""

    endpoint: Endpoint
    token: str


class Reservations:
    """Takes reservations for requests, in order, until there is room."""

    def __init__(
        self, sending: Sending, options: MemoryOptions, availability_zone: str
    ) -> None:
        self._sending = sending
        self._availability_zone = availability_zone
        self._options = options
        self._reports = EngineReports(sending)
        self._waiting_by_service: dict[str, Waiting] = {}
        self._lock = threading.Lock()

    def take(
        self,
        context: ForwardContext,
        attempts: Attempts,
        engine: EngineService,
        prompt: PromptShape,
        limit: Deadline,
    ) -> Reservation | None:
        """Return room for the request, None if there is none before the limit.

        Raises RequestRefusedError once all engines are in backoff.
        """
        waiting = self._waiting_for(context.service_name)
        forecast = waiting.forecast(context)
        if waits_in_vain(forecast, limit.remaining()):
            # Told at once: held until then, it would be refused all the same.
            attempts.note_no_room("no room in time", forecast)
            return None
        with waiting.place(context) as place:
            while waiting.wait_for_turn(place, context, limit):
                self._sending.check_backoff(context, attempts, EndpointRole.DECODE)
                if self._has_no_engine(context, attempts):
                    return None
                found = self._ask_round(context, attempts, engine, prompt)
                if found is not None:
                    waiting.note_room()
                    attempts.note(found.endpoint.start_id, "room")
                    return found
                if limit.expired:
                    break
                if context.gone():
                    message = "The client closed its connection."
                    raise CallerGoneError(message, Ran.NO)
                self._pause()
        attempts.note_no_room("no room in time", forecast)
        return None

    def _waiting_for(self, service_name: str) -> Waiting:
        with self._lock:
            return self._waiting_by_service.setdefault(service_name, Waiting())

    def release(self, context: ForwardContext, reservation: Reservation) -> None:
        """Give back what was reserved.

        What a start held ended with it. The next one at its address counts its
        reservations anew, and the same name may be that of another request's.
        """
        endpoint = reservation.endpoint
        if self._sending.chooser.is_over(endpoint):
            return
        question = self._sending.interface.release(
            endpoint.endpoint_id, reservation.token
        )
        try:
            # Also for a caller who is gone.
            self._sending.ask(endpoint, question, Deadline.after(ANSWER_SECONDS))
        except EndpointError as error:
            # It lapses by itself; until then the engine has less room for others.
            extra = {
                "request_id": context.request.request_id,
                "endpoint_id": endpoint.endpoint_id,
                "error": str(error),
            }
            logger.info("reservation not given back", extra=extra)

    def _has_no_engine(self, context: ForwardContext, attempts: Attempts) -> bool:
        role = EndpointRole.DECODE
        return self._sending.choose(context, role, attempts.tried) is None

    def _pause(self) -> None:
        threading.Event().wait(PAUSE_SECONDS)

    def _ask_round(
        self,
        context: ForwardContext,
        attempts: Attempts,
        engine: EngineService,
        prompt: PromptShape,
    ) -> Reservation | None:
        asked = set(attempts.tried)
        for _ in range(ENGINES_A_ROUND):
            endpoint = self._next_engine(context, asked)
            if endpoint is None:
                return None
            asked.add(endpoint.start_id)
            was_paused = self._sending.health.is_paused(endpoint.start_id)
            growth = self._growth(context, endpoint, engine, prompt)
            if not was_paused and self._sending.health.is_paused(endpoint.start_id):
                # It gave no report just now; asked for room, it would be as silent.
                continue
            tokens = prompt.prompt_tokens + growth
            token = self._ask(context, endpoint, tokens, engine.reservation_ms)
            if token:
                return Reservation(endpoint, token)
        return None

    def _next_engine(
        self, context: ForwardContext, asked: Collection[str]
    ) -> Endpoint | None:
        """Return the engine to ask next, None if all were asked.

        Those of this host's availability zone come first. A host decides by itself
        mostly since the leader's zone was cut off from its own: engines beyond the
        border are silent, each for the whole time that an answer may take.
        """
        role, chooser = EndpointRole.DECODE, self._sending.chooser
        near = chooser.choose_near(
            context.service_name, role, asked, self._availability_zone
        )
        return near or self._sending.choose(context, role, asked)

    def _growth(
        self,
        context: ForwardContext,
        endpoint: Endpoint,
        engine: EngineService,
        prompt: PromptShape,
    ) -> int:
        """Return what all answers of the engine will grow by, with this one."""
        longest = max(1, prompt.maximum_output_tokens // engine.event_tokens)
        report = self._reports.get(context, endpoint)
        if report is None:
            return prompt.maximum_output_tokens
        return growth_of(
            report, prompt.prompt_tokens, engine.event_tokens, longest, self._options
        )

    def _ask(
        self, context: ForwardContext, endpoint: Endpoint, tokens: int, ttl_ms: int
    ) -> str:
        """Return the reservation's name, nothing where the engine has no room."""
        question = self._sending.interface.reserve(endpoint.endpoint_id, tokens, ttl_ms)
        try:
            status, body = self._sending.ask(
                endpoint, question, Deadline.after(ANSWER_SECONDS), context.gone
            )
        except EndpointError as error:
            self._sending.note_error(Attempts(), endpoint, error)
            return ""
        extra: dict[str, object] = {
            "request_id": context.request.request_id,
            "endpoint_id": endpoint.endpoint_id,
            "status": status,
            "tokens": tokens,
            "body": body[:100].decode("latin-1"),
        }
        if status == 200:
            read = self._sending.interface.read_reservation(body)
            if isinstance(read, Success):
                return read.unwrap()
            extra["problem"] = read.failure()
            logger.info("reservation not usable", extra=extra)
            return ""
        logger.info("no room at the engine", extra=extra)
        return ""
