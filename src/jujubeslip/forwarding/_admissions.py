"""Requests grants at engines from the control host that keeps the queue for them.

That is the leader; while none leads, another control host keeps the queue.
"""

from __future__ import annotations

import contextlib
import logging
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from jujubeslip.discovery import EndpointRegistry
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._interim_homes import InterimHomes
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import CapacityRequest
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
# checks whether the client is still connected.
WAIT_MS = 200
# The target sent for a request whose answer broke off, in milliseconds from each call.
# It gives the request precedence over nearly all others that wait.
URGENT_MS = 300
# How much longer than `WAIT_MS` an answer may take, in seconds. The network delay
# between zones is a few milliseconds; it is better to skip a host that is busy or slow
# than to wait for it.
ANSWER_SECONDS = 0.25
# Timeout of the first call to a control host that does not lead, in seconds.
FIRST_ANSWER_SECONDS = 0.1
# Maximum number of updates sent in one call, and the timeout of that call in seconds.
MAXIMUM_UPDATES_PER_CALL = 50
UPDATE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True)
class AdmissionAnswer:
    """A control host's answer: a grant, or that there will be none in time."""

    start_id: str
    """The start of the decode engine, empty without a grant."""
    prefill_start_id: str
    """The start of the prefill engine, empty if the decode engine prefills."""
    forecast: float
    """Expected waiting time of the request, in seconds."""
    prefill_seconds: float = 0.0
    """Expected duration of the prefill."""
    over_limit_seconds: float = 0.0
    """When the client may retry if its account has used up its limit, otherwise 0."""
    home_address: str = ""
    """The control host that gave the answer."""
    needs_reservation: bool = False
    """Whether the engine has to confirm the grant by a reservation."""


@dataclass(frozen=True)
class _Home:
    """The control host whose queue a request joins."""

    address: str
    is_interim: bool


class Admissions:
    """Asks for grants, and reports the progress of their requests.

    While no control host answers, callers rely on the engines' own reports.
    """

    def __init__(
        self,
        process: Process,
        leader: LeaderContact,
        availability_zone: str,
        registry: EndpointRegistry,
        health: EndpointHealth,
        endpoint_limits: EndpointLimits,
    ) -> None:
        self._endpoint_limits = endpoint_limits
        self._process = process
        self._availability_zone = availability_zone
        self._registry = registry
        self._health = health
        self._leader = leader
        self._interim_homes = InterimHomes(leader)
        self._pending_by_home: dict[str, queue.SimpleQueue[AdmissionNews]] = {}
        self._lock = threading.Lock()

    def ask(self, capacity_request: CapacityRequest) -> AdmissionAnswer | None:
        """Return the leader's decision, None without a leader that answers.

        Raises ClientDisconnectedError if the client disconnects while the request
        waits, and RequestRefusedError once all engines are in backoff.
        """
        while (address := self._leader.address()) is not None:
            answer = self._ask_home(capacity_request, _Home(address, is_interim=False))
            if answer is not None:
                return answer
        return None

    def ask_interim(self, capacity_request: CapacityRequest) -> AdmissionAnswer | None:
        """Return the decision of another control host, None if it does not decide.

        Raises the same errors as `ask`.
        """
        address = self._interim_homes.address()
        if address is None:
            return None
        return self._ask_home(capacity_request, _Home(address, is_interim=True))

    def is_answering(self) -> bool:
        """Return whether a control host can be asked that was not silent lately."""
        return self._leader.is_answering or self._interim_homes.is_answering()

    def _ask_home(
        self, capacity_request: CapacityRequest, home: _Home
    ) -> AdmissionAnswer | None:
        """Wait in the queue of a control host; return None once it does not answer."""
        context, attempts = capacity_request.context, capacity_request.attempts
        attempts.grant_requests += 1
        while self._is_current(home):
            self._check_backoff(capacity_request, home)
            wait_ms, timeout = self._times_of(home)
            request = self._to_request(capacity_request, home, wait_ms)
            reply = self._call(home, request, timeout)
            if reply is None:
                return None
            attempts.refused_start_id = ""
            forecast = reply.forecast_ms / 1000
            if reply.status == AdmissionStatus.ADMITTED:
                prefill_start_id = reply.reader_start_id or ""
                prefill_seconds = (reply.read_ms or 0) / 1000
                return AdmissionAnswer(
                    reply.start_id,
                    prefill_start_id,
                    forecast,
                    prefill_seconds,
                    home_address=home.address,
                    needs_reservation=bool(reply.needs_reservation),
                )
            if reply.status == AdmissionStatus.OVER_LIMIT:
                return AdmissionAnswer("", "", 0.0, over_limit_seconds=forecast)
            if reply.status == AdmissionStatus.REFUSED:
                return AdmissionAnswer("", "", forecast)
            if context.client_disconnected():
                self.end(request.request_id, request.attempt, home.address)
                raise ClientDisconnectedError(
                    "The client closed its connection.", Ran.NO
                )
        return None

    def _times_of(self, home: _Home) -> tuple[int, float]:
        """Return how long the next call may wait for a grant, and its timeout.

        The first call to an interim home only takes a place in its queue: it may be
        beyond a network partition, like the leader.
        """
        if home.is_interim and not self._interim_homes.has_decided(home.address):
            return 0, FIRST_ANSWER_SECONDS
        return WAIT_MS, WAIT_MS / 1000 + ANSWER_SECONDS

    def _is_current(self, home: _Home) -> bool:
        """Return whether a request that waits there is to go on waiting there."""
        if home.is_interim:
            return self._interim_homes.address() == home.address
        return self._leader.address() == home.address

    def _check_backoff(self, capacity_request: CapacityRequest, home: _Home) -> None:
        try:
            capacity_request.check_backoff()
        except RequestRefusedError:
            self.end(
                capacity_request.context.request.request_id,
                capacity_request.attempts.grant_requests,
                home.address,
            )
            raise

    def report_prefilled(self, request_id: str, attempt: int, address: str) -> None:
        """Report to the granting host that a prompt was prefilled, or will not be."""
        news = AdmissionNews(request_id, attempt, AdmissionStep.PROMPT_READ)
        self._notify(address, news)

    def end(self, request_id: str, attempt: int, address: str) -> None:
        """Report to the granting host that a request no longer needs its grant."""
        news = AdmissionNews(request_id, attempt, AdmissionStep.ENDED)
        self._notify(address, news)

    def _to_request(
        self, capacity_request: CapacityRequest, home: _Home, wait_ms: int
    ) -> AdmissionRequest:
        context, attempts = capacity_request.context, capacity_request.attempts
        engine, prompt = capacity_request.engine, capacity_request.prompt
        event_tokens = engine.event_tokens
        # Without a leader, the account was charged before.
        is_limited = context.cost and not attempts.is_charged and not home.is_interim
        account_name = context.request.account_name if is_limited else ""
        return AdmissionRequest(
            context.request.request_id,
            context.service_name,
            prompt.prompt_tokens,
            max(1, prompt.maximum_output_tokens // event_tokens),
            event_tokens,
            prompt.expected_output_tokens // event_tokens,
            engine.slots,
            URGENT_MS
            if capacity_request.goes_first
            else context.target_by.remaining_ms(),
            capacity_request.limit.remaining_ms(),
            wait_ms,
            [
                *attempts.tried,
                *capacity_request.declined_start_ids,
                *self._skipped_starts(),
            ],
            reads_itself=capacity_request.reads_itself,
            attempt=attempts.grant_requests,
            availability_zone=self._availability_zone,
            maximum_gap_ms=context.route.maximum_gap_ms,
            account_name=account_name,
            account_cost=context.cost,
            priority=context.rank,
            sharing_account=context.request.account_name,
            interim=home.is_interim,
            refused_start_id=attempts.refused_start_id,
        )

    def _skipped_starts(self) -> list[str]:
        return [
            endpoint.start_id
            for endpoint in self._registry.endpoints()
            if self._health.is_paused(endpoint.start_id)
            or self._endpoint_limits.hold_of(endpoint.start_id)
        ]

    def _call(
        self, home: _Home, request: AdmissionRequest, timeout: float
    ) -> AdmissionReply | None:
        """Return the home's answer, None if another host has to be asked."""
        caller: Callable[..., AdmissionReply | None] = (
            self._interim_homes.call if home.is_interim else self._leader.call_within
        )
        call = partial(caller, home.address, request.request_id, timeout)
        return call(lambda peer: peer.admit(request))

    def _notify(self, address: str, news: AdmissionNews) -> None:
        """Pass an update to the task of its home; a silent home delays no other."""
        with self._lock:
            pending = self._pending_by_home.get(address)
            if pending is None:
                pending = self._pending_by_home[address] = queue.SimpleQueue()
                self._process.start_task(partial(self._send_updates, address, pending))
        pending.put(news)

    def _send_updates(
        self, address: str, pending: queue.SimpleQueue[AdmissionNews]
    ) -> None:
        while not self._process.stopped.is_set():
            updates = _next_updates(pending)
            if updates:
                self._notify_home(address, updates)

    def _notify_home(self, address: str, news: list[AdmissionNews]) -> None:
        """Send updates to the control host that granted their requests.

        Updates that are lost are replaced by the engines' own reports.
        """
        error = "it does not answer"
        if self._interim_homes.may_answer(address):
            error = self._leader.notify(
                address, lambda peer: peer.tell_admissions(news), UPDATE_TIMEOUT_SECONDS
            )
        if error:
            extra = {"news": len(news), "address": address, "error": error}
            logger.info("leader not notified of request progress", extra=extra)


def _next_updates(pending: queue.SimpleQueue[AdmissionNews]) -> list[AdmissionNews]:
    """Wait for updates, and return those that are to be sent."""
    updates: list[AdmissionNews] = []
    with contextlib.suppress(queue.Empty):
        updates.append(pending.get(timeout=UPDATE_TIMEOUT_SECONDS))
        while len(updates) < MAXIMUM_UPDATES_PER_CALL:
            updates.append(pending.get_nowait())
    return updates
