"""Grants at engines that the control host which leads gives to this host."""

from __future__ import annotations

import contextlib
import logging
import queue
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.discovery import EndpointBook, News
from jujubeslip.endpoints import CallerGoneError
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.kernel import Deadline, PeerUnavailableError, Process, Ran
from jujubeslip.peers import (
    AdmissionNews,
    AdmissionReply,
    AdmissionRequest,
    AdmissionStatus,
    AdmissionStep,
    ControlClients,
    NotLeader,
    PeerIdentity,
    PeerRefusal,
)
from jujubeslip.routes import EngineService, PromptShape

logger = logging.getLogger(__name__)

# How long one call may wait for a grant, in milliseconds. Between two calls this host
# looks whether the client is still there.
WAIT_MS = 200
# How much longer than that an answer may take, in seconds. The way between zones takes
# some milliseconds; a host that is busy or slow is better left than waited for.
ANSWER_SECONDS = 0.25
# How long a host that did not answer, or does not lead, is not asked, in seconds.
PAUSE_SECONDS = 0.7
# News that are told in one call at most, and how long that may take, in seconds.
NEWS_A_CALL = 50
TELL_SECONDS = 0.5


@dataclass(frozen=True)
class AdmissionAnswer:
    """What the leader answered: a grant, or that there will be none in time."""

    endpoint_id: str
    """Empty where there will be none."""
    reader_id: str
    """The engine that is to read the prompt, empty where the answering one does."""
    forecast: float
    """How long the request was expected to wait, in seconds."""
    read_seconds: float = 0.0
    """How long reading the prompt should take."""


class Admissions:
    """Asks the leader for grants, and tells it how their requests go on.

    Without a leader that answers, callers fall back on what engines say themselves.
    """

    def __init__(
        self,
        process: Process,
        identity: PeerIdentity,
        availability_zone: str,
        book: EndpointBook,
        health: EndpointHealth,
        reaches: Callable[[str], bool],
    ) -> None:
        self._process = process
        self._availability_zone = availability_zone
        self._book = book
        self._health = health
        self._reaches = reaches
        self._clients = ControlClients(identity)
        self._leader_by_teller: dict[str, str] = {}
        self._paused_until_by_address: dict[str, Deadline] = {}
        self._news: queue.SimpleQueue[AdmissionNews] = queue.SimpleQueue()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Tell the leader how requests go on until the process stops."""
        self._process.start_task(self._tell)

    def take(self, news: News) -> None:
        """Note who leads, as one control host sees it."""
        with self._lock:
            self._leader_by_teller[news.address] = news.leader_address

    def ask(
        self,
        context: ForwardContext,
        attempts: Attempts,
        engine: EngineService,
        prompt: PromptShape,
        limit: Deadline,
        reads_itself: bool,
    ) -> AdmissionAnswer | None:
        """Return what the leader decides, None without a leader that answers.

        Raises CallerGoneError when the client goes before that.
        """
        attempts.grants_asked += 1
        while (address := self._leader()) is not None:
            request = self._request(
                context, attempts, engine, prompt, limit, reads_itself
            )
            reply = self._call(address, request)
            if reply is None:
                continue
            forecast = reply.forecast_ms / 1000
            if reply.status == AdmissionStatus.ADMITTED:
                reader_id = reply.reader_endpoint_id or ""
                read_seconds = (reply.read_ms or 0) / 1000
                return AdmissionAnswer(
                    reply.endpoint_id, reader_id, forecast, read_seconds
                )
            if reply.status == AdmissionStatus.REFUSED:
                return AdmissionAnswer("", "", forecast)
            if context.gone():
                self.end(request.request_id, request.attempt)
                raise CallerGoneError("The client closed its connection.", Ran.NO)
        return None

    def note_read(self, request_id: str, attempt: int) -> None:
        """Let the leader know that a prompt was read, or is read elsewhere."""
        self._news.put(AdmissionNews(request_id, attempt, AdmissionStep.PROMPT_READ))

    def end(self, request_id: str, attempt: int) -> None:
        """Let the leader know that a request needs its grant no more."""
        self._news.put(AdmissionNews(request_id, attempt, AdmissionStep.ENDED))

    def _request(
        self,
        context: ForwardContext,
        attempts: Attempts,
        engine: EngineService,
        prompt: PromptShape,
        limit: Deadline,
        reads_itself: bool,
    ) -> AdmissionRequest:
        event_tokens = engine.event_tokens
        return AdmissionRequest(
            context.request.request_id,
            context.service_name,
            prompt.prompt_tokens,
            max(1, prompt.maximum_output_tokens // event_tokens),
            event_tokens,
            prompt.expected_output_tokens // event_tokens,
            engine.slots,
            context.target_by.remaining_ms(),
            limit.remaining_ms(),
            WAIT_MS,
            [*attempts.tried, *self._paused_endpoints()],
            reads_itself=reads_itself,
            attempt=attempts.grants_asked,
            availability_zone=self._availability_zone,
            maximum_gap_ms=context.route.maximum_gap_ms,
        )

    def _paused_endpoints(self) -> list[str]:
        return [
            endpoint.endpoint_id
            for endpoint in self._book.endpoints()
            if self._health.is_paused(endpoint.endpoint_id)
        ]

    def _call(self, address: str, request: AdmissionRequest) -> AdmissionReply | None:
        """Return the leader's answer; None if this host is to ask another one."""
        try:
            reply: AdmissionReply = self._clients.get(address).call(
                lambda peer: peer.admit(request), WAIT_MS / 1000 + ANSWER_SECONDS
            )
        except NotLeader as error:
            self._pause(address, request, "it does not lead")
            if error.leader_address:
                with self._lock:
                    self._leader_by_teller[address] = error.leader_address
            return None
        except (PeerUnavailableError, PeerRefusal) as error:
            self._pause(address, request, str(error))
            return None
        return reply

    def _pause(self, address: str, request: AdmissionRequest, reason: str) -> None:
        with self._lock:
            self._paused_until_by_address[address] = Deadline.after(PAUSE_SECONDS)
        extra = {
            "address": address,
            "request_id": request.request_id,
            "reason": reason,
        }
        logger.info("leader grants no engines", extra=extra)

    def _leader(self) -> str | None:
        """Return the address that most control hosts name, None if none may be asked.

        One that is cut off from the others may still name the leader of before.
        """
        with self._lock:
            named = Counter(
                address
                for address in self._leader_by_teller.values()
                if address and not self._is_paused(address)
            )
            # Each request would wait anew for a host beyond a network partition.
            named = Counter({key: n for key, n in named.items() if self._reaches(key)})
        return named.most_common(1)[0][0] if named else None

    def _is_paused(self, address: str) -> bool:
        paused = self._paused_until_by_address.get(address)
        return paused is not None and not paused.expired

    def _tell(self) -> None:
        while not self._process.stopped.is_set():
            news = self._take_news()
            if news:
                self._tell_leader(news)

    def _tell_leader(self, news: list[AdmissionNews]) -> None:
        """Tell the leader; what it doesn't hear it learns from the engines' reports."""
        address = self._leader()
        error = "no leader is known"
        if address is not None:
            try:
                self._clients.get(address).call(
                    lambda peer: peer.tell_admissions(news), TELL_SECONDS
                )
                return
            except (PeerUnavailableError, PeerRefusal, NotLeader) as failure:
                error = str(failure)
        extra = {"address": address, "news": len(news), "error": error}
        logger.info("leader not told of requests", extra=extra)

    def _take_news(self) -> list[AdmissionNews]:
        """Return what is to be told since the last time, after waiting for some."""
        news: list[AdmissionNews] = []
        with contextlib.suppress(queue.Empty):
            news.append(self._news.get(timeout=TELL_SECONDS))
            while len(news) < NEWS_A_CALL:
                news.append(self._news.get_nowait())
        return news
