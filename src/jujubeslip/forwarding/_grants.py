"""Obtains a grant at an engine for each request.

The leader gives it; without a leader, the engines' reservations take its place.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.forwarding._account_limits import AccountLimits
from jujubeslip.forwarding._admissions import AdmissionAnswer, Admissions
from jujubeslip.forwarding._models import Attempts, CapacityRequest, ForwardContext
from jujubeslip.forwarding._pressure import MINIMUM_WAIT_SECONDS, Pressures
from jujubeslip.forwarding._reservations import Reservations
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

logger = logging.getLogger(__name__)

# A request with less time left than this can't be answered completely, in seconds.
MINIMUM_RUN_SECONDS = 1.5
# Time from a grant to the first event, in seconds. In nine of ten cases the prompt is
# prefilled and its KV cache transferred within a quarter of a second.
FIRST_EVENT_SECONDS = 0.25
# How long before the client's timeout a waiting request is refused, in seconds.
CLIENT_TIMEOUT_MARGIN_SECONDS = 0.4


def _release_nothing() -> None:
    """Release nothing."""


@dataclass(frozen=True)
class Grant:
    """The engine at which a run is to start, and how to release what is held for it."""

    endpoint: Endpoint
    prefill_engine: Endpoint | None = None
    """The engine that is to prefill the prompt, None if any engine may."""
    prefill_seconds: float = 0.0
    """Expected duration of the prefill, 0 if unknown."""
    reads_itself: bool = False
    """Whether the decode engine is to prefill the prompt, too."""
    release_before_run: Callable[[], None] = _release_nothing
    """Releases what is not to be held during the run."""
    report_prefilled: Callable[[], None] = _release_nothing
    """Reports that the prompt was prefilled, here or elsewhere."""
    release_at_end: Callable[[], None] = _release_nothing
    """Releases the rest, once the run has ended or will not start."""


class Grants:
    """Finds grants; the caller has to release each of them."""

    def __init__(
        self,
        sender: EndpointSender,
        registry: EndpointRegistry,
        pressures: Pressures,
        reservations: Reservations,
        admissions: Admissions | None,
        limits: AccountLimits | None = None,
    ) -> None:
        self._limits = limits
        self._sender = sender
        self._registry = registry
        self._pressures = pressures
        self._reservations = reservations
        self._admissions = admissions

    def find(
        self, context: ForwardContext, attempts: Attempts, reads_itself: bool
    ) -> Grant | None:
        """Return a grant, None if no engine is usable or none has capacity in time.

        `attempts.found_no_capacity` tells the two cases apart. `reads_itself` says that
        no other engine can prefill the prompt for the decode engine.
        """
        service = context.table.service_by_name[context.service_name]
        prompt = context.request.prompt
        if service.engine is None or not service.engine.reservation_ms or not prompt:
            if self._limits is not None:
                self._limits.charge(context, attempts)
            endpoint = self._sender.choose(context, EndpointRole.DECODE, attempts.tried)
            return None if endpoint is None else Grant(endpoint)
        capacity_request = CapacityRequest(
            context,
            attempts,
            service.engine,
            prompt,
            _wait_limit(context, attempts),
            reads_itself,
            goes_first=attempts.may_have_run,
            check_backoff=partial(self._check_backoff, context, attempts),
        )
        grant = self._find_capacity(capacity_request)
        if grant is not None and attempts.granted_ms is None:
            attempts.granted_ms = attempts.elapsed_ms
        waited = context.request.arrived.overdue() if grant else MINIMUM_WAIT_SECONDS
        self._pressures.note_wait(context.service_name, waited)
        return grant

    def _check_backoff(self, context: ForwardContext, attempts: Attempts) -> None:
        self._sender.check_backoff(context, attempts, EndpointRole.DECODE)

    def _find_capacity(self, capacity_request: CapacityRequest) -> Grant | None:
        context, attempts = capacity_request.context, capacity_request.attempts
        if self._admissions is not None:
            answer = self._ask_leader(self._admissions, capacity_request)
            if answer is not None and not answer.start_id:
                attempts.note_no_capacity("no grant in time", answer.forecast)
                return None
            if answer is not None:
                attempts.is_charged = True
                grant = self._accept_grant(context, attempts, self._admissions, answer)
                if grant is not None:
                    return grant
        if self._limits is not None:
            self._charge_without_grant(self._limits, context, attempts)
        reservation = self._reservations.take(
            context,
            attempts,
            capacity_request.engine,
            capacity_request.prompt,
            capacity_request.limit,
        )
        if reservation is None:
            return None
        # During the run, the reserved memory that the request does not need would count
        # as used, and displace other answers.
        release_reservation = partial(self._reservations.release, context, reservation)
        return Grant(
            reservation.endpoint,
            reads_itself=capacity_request.reads_itself,
            release_before_run=release_reservation,
        )

    def _ask_leader(
        self, admissions: Admissions, capacity_request: CapacityRequest
    ) -> AdmissionAnswer | None:
        """Return the leader's decision, None without a leader that gives grants.

        Raises RequestRefusedError if the client account has used up its limit, or if
        nobody can tell. A request of an account with a limit is charged without a
        leader where the hosts that find none may admit it together.
        """
        context, attempts, limits = (
            capacity_request.context,
            capacity_request.attempts,
            self._limits,
        )
        answer = admissions.ask(capacity_request)
        if limits is None or not context.cost or attempts.is_charged:
            return answer
        while answer is None and not limits.charge_at_leader(context, attempts):
            limit = capacity_request.limit
            if not limits.wait_for_leader(context, attempts, limit, True):
                break
            answer = admissions.ask(capacity_request)
        if answer is not None and answer.over_limit_seconds > 0:
            raise limits.over_limit_refusal(context, answer.over_limit_seconds)
        return answer

    def _charge_without_grant(
        self, limits: AccountLimits, context: ForwardContext, attempts: Attempts
    ) -> None:
        if self._admissions is None:
            limits.charge(context, attempts)
        else:
            limits.charge_without_leader(context, attempts)

    def _accept_grant(
        self,
        context: ForwardContext,
        attempts: Attempts,
        admissions: Admissions,
        answer: AdmissionAnswer,
    ) -> Grant | None:
        """Return the leader's grant, None if its engine is not usable on this host."""
        request_id = context.request.request_id
        attempt = attempts.grant_requests
        endpoint = self._usable_endpoint(answer.start_id)
        if endpoint is None:
            extra = {"request_id": request_id, "start_id": answer.start_id}
            logger.info("grant declined: engine not usable on this host", extra=extra)
            admissions.end(request_id, attempt)
            return None
        attempts.note(answer.start_id, "grant")
        return Grant(
            endpoint,
            prefill_engine=self._usable_endpoint(answer.prefill_start_id),
            prefill_seconds=answer.prefill_seconds,
            reads_itself=not answer.prefill_start_id,
            report_prefilled=partial(admissions.report_prefilled, request_id, attempt),
            release_at_end=partial(admissions.end, request_id, attempt),
        )

    def _usable_endpoint(self, start_id: str) -> Endpoint | None:
        """Return the endpoint of a start, None if it is unknown here or is leaving.

        The leader may not know that yet: a leaving endpoint would get a request, or a
        prompt, after its leaving was acknowledged. The leader may also not know of a
        later start, which holds nothing of what the leader counts on.
        """
        endpoint = self._registry.find_start(start_id)
        return endpoint if endpoint is not None and endpoint.accepts_work else None


def _wait_limit(context: ForwardContext, attempts: Attempts) -> Deadline:
    """Return until when a request waits for capacity before it is refused.

    A request that can't meet its target any more is refused at once, so that its client
    can retry when other requests have ended; held until the client's timeout, it would
    be lost. A retry, or a request that had a grant and lost its engine, waits almost
    until the client's timeout: its client won't retry again, or has a part of the
    answer.
    """
    end = Deadline(context.end_by.timestamp - MINIMUM_RUN_SECONDS)
    is_first_try = not context.is_client_retry and attempts.granted_ms is None
    if is_first_try and not attempts.may_have_run:
        start = Deadline(context.target_by.timestamp - FIRST_EVENT_SECONDS)
        return end.earlier_of(start)
    # The timeout of a client that has a part of the answer counts from that part.
    now = Deadline.after(0)
    waits_from = now if attempts.may_have_run else context.request.arrived
    client_timeout = (
        context.route.client_timeout_ms / 1000 - CLIENT_TIMEOUT_MARGIN_SECONDS
    )
    return end.earlier_of(Deadline(waits_from.timestamp + client_timeout))
