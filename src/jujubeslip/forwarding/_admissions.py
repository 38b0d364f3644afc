"""Requests grants at engines from the leading control host."""

from __future__ import annotations

import contextlib
import logging
import queue
from dataclasses import dataclass
from functools import partial

from jujubeslip.discovery import EndpointRegistry
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._health import EndpointHealth
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
# Maximum number of updates sent in one call, and the timeout of that call in seconds.
MAXIMUM_UPDATES_PER_CALL = 50
UPDATE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True)
class AdmissionAnswer:
    """The leader's answer: a grant, or that there will be none in time."""

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


class Admissions:
    """Asks the leader for grants, and reports the progress of their requests to it.

    Without a leader that answers, callers rely on the engines' own reports.
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
        self._pending_updates: queue.SimpleQueue[AdmissionNews] = queue.SimpleQueue()

    def start(self) -> None:
        """Report the progress of requests to the leader until the process stops."""
        self._process.start_task(self._send_updates)

    def ask(self, capacity_request: CapacityRequest) -> AdmissionAnswer | None:
        """Return the leader's decision, None without a leader that answers.

        Raises ClientDisconnectedError if the client disconnects while the request
        waits, and RequestRefusedError once all engines are in backoff.
        """
        context, attempts = capacity_request.context, capacity_request.attempts
        attempts.grant_requests += 1
        while (address := self._leader.address()) is not None:
            self._check_backoff(capacity_request)
            request = self._to_request(capacity_request)
            reply = self._call_leader(address, request)
            if reply is None:
                continue
            forecast = reply.forecast_ms / 1000
            if reply.status == AdmissionStatus.ADMITTED:
                prefill_start_id = reply.reader_start_id or ""
                prefill_seconds = (reply.read_ms or 0) / 1000
                return AdmissionAnswer(
                    reply.start_id, prefill_start_id, forecast, prefill_seconds
                )
            if reply.status == AdmissionStatus.OVER_LIMIT:
                return AdmissionAnswer("", "", 0.0, over_limit_seconds=forecast)
            if reply.status == AdmissionStatus.REFUSED:
                return AdmissionAnswer("", "", forecast)
            if context.client_disconnected():
                self.end(request.request_id, request.attempt)
                raise ClientDisconnectedError(
                    "The client closed its connection.", Ran.NO
                )
        return None

    def _check_backoff(self, capacity_request: CapacityRequest) -> None:
        try:
            capacity_request.check_backoff()
        except RequestRefusedError:
            self.end(
                capacity_request.context.request.request_id,
                capacity_request.attempts.grant_requests,
            )
            raise

    def report_prefilled(self, request_id: str, attempt: int) -> None:
        """Report to the leader that a prompt was prefilled, here or elsewhere."""
        self._pending_updates.put(
            AdmissionNews(request_id, attempt, AdmissionStep.PROMPT_READ)
        )

    def end(self, request_id: str, attempt: int) -> None:
        """Report to the leader that a request no longer needs its grant."""
        self._pending_updates.put(
            AdmissionNews(request_id, attempt, AdmissionStep.ENDED)
        )

    def _to_request(self, capacity_request: CapacityRequest) -> AdmissionRequest:
        context, attempts = capacity_request.context, capacity_request.attempts
        engine, prompt = capacity_request.engine, capacity_request.prompt
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
            URGENT_MS
            if capacity_request.goes_first
            else context.target_by.remaining_ms(),
            capacity_request.limit.remaining_ms(),
            WAIT_MS,
            [*attempts.tried, *self._skipped_starts()],
            reads_itself=capacity_request.reads_itself,
            attempt=attempts.grant_requests,
            availability_zone=self._availability_zone,
            maximum_gap_ms=context.route.maximum_gap_ms,
            account_name=account_name,
            account_cost=context.cost,
            priority=context.rank,
            sharing_account=context.request.account_name,
        )

    def _skipped_starts(self) -> list[str]:
        return [
            endpoint.start_id
            for endpoint in self._registry.endpoints()
            if self._health.is_paused(endpoint.start_id)
            or self._endpoint_limits.hold_of(endpoint.start_id)
        ]

    def _call_leader(
        self, address: str, request: AdmissionRequest
    ) -> AdmissionReply | None:
        """Return the leader's answer, None if another host has to be asked."""
        timeout = WAIT_MS / 1000 + ANSWER_SECONDS
        call = partial(self._leader.call_within, address, request.request_id, timeout)
        reply: AdmissionReply | None = call(lambda peer: peer.admit(request))
        return reply

    def _send_updates(self) -> None:
        while not self._process.stopped.is_set():
            updates = self._next_updates()
            if updates:
                self._notify_leader(updates)

    def _notify_leader(self, updates: list[AdmissionNews]) -> None:
        """Send updates to the leader.

        Updates that are lost are replaced by the engines' own reports.
        """
        error = self._leader.notify(
            lambda peer: peer.tell_admissions(updates), UPDATE_TIMEOUT_SECONDS
        )
        if error:
            extra = {"news": len(updates), "error": error}
            logger.info("leader not notified of request progress", extra=extra)

    def _next_updates(self) -> list[AdmissionNews]:
        """Wait for updates, and return those that are to be sent."""
        updates: list[AdmissionNews] = []
        with contextlib.suppress(queue.Empty):
            updates.append(self._pending_updates.get(timeout=UPDATE_TIMEOUT_SECONDS))
            while len(updates) < MAXIMUM_UPDATES_PER_CALL:
                updates.append(self._pending_updates.get_nowait())
        return updates
