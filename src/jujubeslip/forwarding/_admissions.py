"""Grants at engines that the control host which leads gives to this host."""

from __future__ import annotations

import contextlib
import logging
import queue
from dataclasses import dataclass
from functools import partial

from jujubeslip.discovery import EndpointBook
from jujubeslip.endpoints import CallerGoneError
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import RoomRequest
from jujubeslip.kernel import Process, Ran, RequestRefusedError
from jujubeslip.peers import (
    AdmissionNews,
    AdmissionReply,
    AdmissionRequest,
    AdmissionStatus,
    AdmissionStep,
)

logger = logging.getLogger(__name__)

# How long one call may wait for a grant, in milliseconds. Between two calls this host
# looks whether the client is still there.
WAIT_MS = 200
# The target that is told for a request whose answer broke off, in milliseconds from
# each call: it goes before nearly all others that wait.
URGENT_MS = 300
# How much longer than that an answer may take, in seconds. The way between zones takes
# some milliseconds; a host that is busy or slow is better left than waited for.
ANSWER_SECONDS = 0.25
# News that are told in one call at most, and how long that may take, in seconds.
NEWS_A_CALL = 50
TELL_SECONDS = 0.5


@dataclass(frozen=True)
class AdmissionAnswer:
    """What the leader answered: a grant, or that there will be none in time."""

    start_id: str
    """The start of the engine that answers, empty where there will be none."""
    reader_start_id: str
    """The one that is to read the prompt, empty where the answering one does."""
    forecast: float
    """How long the request was expected to wait, in seconds."""
    read_seconds: float = 0.0
    """How long reading the prompt should take."""
    over_limit_seconds: float = 0.0
    """When its client may come back whose account has used its limit; else 0."""


class Admissions:
    """Asks the leader for grants, and tells it how their requests go on.

    Without a leader that answers, callers fall back on what engines say themselves.
    """

    def __init__(
        self,
        process: Process,
        leader: LeaderContact,
        availability_zone: str,
        book: EndpointBook,
        health: EndpointHealth,
        limits: EndpointLimits,
    ) -> None:
        self._limits = limits
        self._process = process
        self._availability_zone = availability_zone
        self._book = book
        self._health = health
        self._leader = leader
        self._news: queue.SimpleQueue[AdmissionNews] = queue.SimpleQueue()

    def start(self) -> None:
        """Tell the leader how requests go on until the process stops."""
        self._process.start_task(self._tell)

    def ask(self, room: RoomRequest) -> AdmissionAnswer | None:
        """Return what the leader decides, None without a leader that answers.

        Raises CallerGoneError when the client goes before that, and RequestRefusedError
        once all engines are in backoff.
        """
        context, attempts = room.context, room.attempts
        attempts.grants_asked += 1
        while (address := self._leader.address()) is not None:
            self._check_backoff(room)
            request = self._request(room)
            reply = self._call(address, request)
            if reply is None:
                continue
            forecast = reply.forecast_ms / 1000
            if reply.status == AdmissionStatus.ADMITTED:
                reader_start_id = reply.reader_start_id or ""
                read_seconds = (reply.read_ms or 0) / 1000
                return AdmissionAnswer(
                    reply.start_id, reader_start_id, forecast, read_seconds
                )
            if reply.status == AdmissionStatus.OVER_LIMIT:
                return AdmissionAnswer("", "", 0.0, over_limit_seconds=forecast)
            if reply.status == AdmissionStatus.REFUSED:
                return AdmissionAnswer("", "", forecast)
            if context.gone():
                self.end(request.request_id, request.attempt)
                raise CallerGoneError("The client closed its connection.", Ran.NO)
        return None

    def _check_backoff(self, room: RoomRequest) -> None:
        try:
            room.check_backoff()
        except RequestRefusedError:
            self.end(room.context.request.request_id, room.attempts.grants_asked)
            raise

    def note_read(self, request_id: str, attempt: int) -> None:
        """Let the leader know that a prompt was read, or is read elsewhere."""
        self._news.put(AdmissionNews(request_id, attempt, AdmissionStep.PROMPT_READ))

    def end(self, request_id: str, attempt: int) -> None:
        """Let the leader know that a request needs its grant no more."""
        self._news.put(AdmissionNews(request_id, attempt, AdmissionStep.ENDED))

    def _request(self, room: RoomRequest) -> AdmissionRequest:
        context, attempts = room.context, room.attempts
        engine, prompt = room.engine, room.prompt
        event_tokens = engine.event_tokens
        is_limited = context.cost and not attempts.is_charged
        account_name = context.request.account_name if is_limited else ""
        return AdmissionRequest(
            context.request.request_id,
            context.service_name,
            prompt.prompt_tokens,
            max(1, prompt.maximum_output_tokens // event_tokens),
            event_tokens,
            prompt.expected_output_tokens // event_tokens,
            engine.slots,
            URGENT_MS if room.goes_first else context.target_by.remaining_ms(),
            room.limit.remaining_ms(),
            WAIT_MS,
            [*attempts.tried, *self._passed_over_starts()],
            reads_itself=room.reads_itself,
            attempt=attempts.grants_asked,
            availability_zone=self._availability_zone,
            maximum_gap_ms=context.route.maximum_gap_ms,
            account_name=account_name,
            account_cost=context.cost,
        )

    def _passed_over_starts(self) -> list[str]:
        return [
            endpoint.start_id
            for endpoint in self._book.endpoints()
            if self._health.is_paused(endpoint.start_id)
            or self._limits.hold_of(endpoint.start_id)
        ]

    def _call(self, address: str, request: AdmissionRequest) -> AdmissionReply | None:
        """Return the leader's answer; None if this host is to ask another one."""
        timeout = WAIT_MS / 1000 + ANSWER_SECONDS
        call = partial(self._leader.call_within, address, request.request_id, timeout)
        reply: AdmissionReply | None = call(lambda peer: peer.admit(request))
        return reply

    def _tell(self) -> None:
        while not self._process.stopped.is_set():
            news = self._take_news()
            if news:
                self._tell_leader(news)

    def _tell_leader(self, news: list[AdmissionNews]) -> None:
        """Tell the leader; what it doesn't hear it learns from the engines' reports."""
        error = self._leader.tell(lambda peer: peer.tell_admissions(news), TELL_SECONDS)
        if error:
            extra = {"news": len(news), "error": error}
            logger.info("leader not told of requests", extra=extra)

    def _take_news(self) -> list[AdmissionNews]:
        """Return what is to be told since the last time, after waiting for some."""
        news: list[AdmissionNews] = []
        with contextlib.suppress(queue.Empty):
            news.append(self._news.get(timeout=TELL_SECONDS))
            while len(news) < NEWS_A_CALL:
                news.append(self._news.get_nowait())
        return news
