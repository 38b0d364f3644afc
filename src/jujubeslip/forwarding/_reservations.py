"""Reserves a slot and memory at a decode engine before the prompt is prefilled.

The engines' memory is the resource that runs out first. Prefilling a prompt for an
engine without free capacity is wasted work, and a request admitted without capacity
evicts another one in the middle of its answer, whose prompt is then prefilled again.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Collection
from dataclasses import dataclass

from returns.result import Success

from jujubeslip.admission import MemoryOptions, growth_of, is_wait_unservable
from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import ClientDisconnectedError, EndpointError
from jujubeslip.forwarding._engine_reports import EngineReports
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.forwarding._waiting_queue import WaitingQueue
from jujubeslip.kernel import Deadline, Ran
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineService, PromptShape

logger = logging.getLogger(__name__)

# Timeout of a question to an engine, in seconds. An engine needs a millisecond or two;
# one behind a network partition takes all of it, and a stream has 0.9 s until its first
# event is due.
ANSWER_SECONDS = 0.2
# Pause between two rounds over the engines while all are full, in seconds.
ROUND_PAUSE_SECONDS = 0.05
# Maximum engines asked in one round.
ENGINES_PER_ROUND = 3


@dataclass(frozen=True)
class Reservation:
    """Reserved capacity at an engine, with the token that the engine gave for it."""

    endpoint: Endpoint
    token: str


class Reservations:
    """Takes reservations for requests, in the order of their queue."""

    def __init__(
        self, sender: EndpointSender, options: MemoryOptions, availability_zone: str
    ) -> None:
        self._sender = sender
        self._availability_zone = availability_zone
        self._options = options
        self._reports = EngineReports(sender)
        self._queue_by_service: dict[str, WaitingQueue] = {}
        self._lock = threading.Lock()

    def take(
        self,
        context: ForwardContext,
        attempts: Attempts,
        engine: EngineService,
        prompt: PromptShape,
        limit: Deadline,
    ) -> Reservation | None:
        """Return a reservation, None if there is no capacity before the limit.

        Raises RequestRefusedError once all engines are in backoff.
        """
        queue = self._queue_for(context.service_name)
        forecast = queue.forecast(context)
        if is_wait_unservable(forecast, limit.remaining()):
            # Refused at once: waiting until the limit would only delay the refusal.
            attempts.note_no_capacity("no room in time", forecast)
            return None
        with queue.enter(context) as ticket:
            while queue.wait_for_turn(ticket, context, limit):
                self._sender.check_backoff(context, attempts, EndpointRole.DECODE)
                if self._has_no_engine(context, attempts):
                    return None
                reservation = self._ask_round(context, attempts, engine, prompt)
                if reservation is not None:
                    queue.note_capacity_found()
                    attempts.note(reservation.endpoint.start_id, "room")
                    return reservation
                if limit.expired:
                    break
                if context.client_disconnected():
                    message = "The client closed its connection."
                    raise ClientDisconnectedError(message, Ran.NO)
                self._pause()
        attempts.note_no_capacity("no room in time", forecast)
        return None

    def _queue_for(self, service_name: str) -> WaitingQueue:
        with self._lock:
            return self._queue_by_service.setdefault(service_name, WaitingQueue())

    def release(self, context: ForwardContext, reservation: Reservation) -> None:
        """Release the reservation at its engine.

        Reservations end with the start of the engine that gave them. The next start at
        the same address begins to number its reservations again, so the same token may
        belong to another request.
        """
        endpoint = reservation.endpoint
        if self._sender.chooser.is_superseded(endpoint):
            return
        internal_request = self._sender.interface.release(
            endpoint.endpoint_id, reservation.token
        )
        try:
            # Sent even if the client has disconnected.
            self._sender.ask(endpoint, internal_request, Deadline.after(ANSWER_SECONDS))
        except EndpointError as error:
            # It expires by itself; until then the engine has less capacity for others.
            extra = {
                "request_id": context.request.request_id,
                "endpoint_id": endpoint.endpoint_id,
                "error": str(error),
            }
            logger.info("reservation not released", extra=extra)

    def _has_no_engine(self, context: ForwardContext, attempts: Attempts) -> bool:
        role = EndpointRole.DECODE
        return self._sender.choose(context, role, attempts.tried) is None

    def _pause(self) -> None:
        threading.Event().wait(ROUND_PAUSE_SECONDS)

    def _ask_round(
        self,
        context: ForwardContext,
        attempts: Attempts,
        engine: EngineService,
        prompt: PromptShape,
    ) -> Reservation | None:
        asked = set(attempts.tried)
        for _ in range(ENGINES_PER_ROUND):
            endpoint = self._next_engine(context, asked)
            if endpoint is None:
                return None
            asked.add(endpoint.start_id)
            was_paused = self._sender.health.is_paused(endpoint.start_id)
            growth = self._growth(context, endpoint, engine, prompt)
            if not was_paused and self._sender.health.is_paused(endpoint.start_id):
                # It just failed to report its state, so a reservation would fail, too.
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

        Engines of this host's availability zone come first. A host decides by itself
        mostly because the leader's zone is partitioned from its own: engines of other
        zones are then silent, and each costs the whole timeout.
        """
        role, chooser = EndpointRole.DECODE, self._sender.chooser
        in_zone = chooser.choose_in_zone(
            context.service_name, role, asked, self._availability_zone
        )
        return in_zone or self._sender.choose(context, role, asked)

    def _growth(
        self,
        context: ForwardContext,
        endpoint: Endpoint,
        engine: EngineService,
        prompt: PromptShape,
    ) -> int:
        """Return the growth of all the engine's answers, with this one, in tokens."""
        maximum_events = max(1, prompt.maximum_output_tokens // engine.event_tokens)
        report = self._reports.get(context, endpoint)
        if report is None:
            return prompt.maximum_output_tokens
        return growth_of(
            report,
            prompt.prompt_tokens,
            engine.event_tokens,
            maximum_events,
            self._options,
        )

    def _ask(
        self, context: ForwardContext, endpoint: Endpoint, tokens: int, ttl_ms: int
    ) -> str:
        """Return the reservation's token, empty if the engine has no free capacity."""
        internal_request = self._sender.interface.reserve(
            endpoint.endpoint_id, tokens, ttl_ms
        )
        try:
            status, body = self._sender.ask(
                endpoint,
                internal_request,
                Deadline.after(ANSWER_SECONDS),
                context.client_disconnected,
            )
        except EndpointError as error:
            self._sender.note_error(Attempts(), endpoint, error)
            return ""
        extra: dict[str, object] = {
            "request_id": context.request.request_id,
            "endpoint_id": endpoint.endpoint_id,
            "status": status,
            "tokens": tokens,
            "body": body[:100].decode("latin-1"),
        }
        if status == 200:
            read = self._sender.interface.read_reservation(body)
            if isinstance(read, Success):
                return read.unwrap()
            extra["problem"] = read.failure()
            logger.info("engine sent an invalid reservation reply", extra=extra)
            return ""
        logger.info("engine refused the reservation", extra=extra)
        return ""
