"""The path of a request to a plain service."""

from __future__ import annotations

import logging
from functools import partial

from jujubeslip.endpoints import (
    EndpointError,
    PlainAnswer,
    RequestRef,
    call_plain_service,
    never_interrupted,
)
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.peers import GrantProgress
from jujubeslip.requests._answers import PlainServiceAnswer
from jujubeslip.requests._models import RequestContext
from jujubeslip.routing import Reservation, ReservationRequest, RetryBudgets, Router
from jujubeslip.telemetry import Meters, tracer

logger = logging.getLogger(__name__)

MINIMUM_RETRY_SECONDS = 0.1


class PlainPath:
    """Runs one request at a plain service; at most once if it is not repeatable."""

    def __init__(
        self, owner: str, router: Router, budgets: RetryBudgets, meters: Meters
    ) -> None:
        self._owner = owner
        self._router = router
        self._budgets = budgets
        self._meters = meters

    def answer(self, context: RequestContext) -> PlainServiceAnswer:
        """Return the service's answer whole, or raise RequestRefusedError."""
        service = context.request.service
        self._budgets.note_request(service.name, service.retry_budget_share)
        attempt = 1
        avoid: tuple[str, ...] = ()
        ran = Ran.NO
        while True:
            reservation = self._reserve(context, attempt, avoid)
            failed = ""
            whole = False
            try:
                answer = self._call(context, attempt, reservation)
                whole = True
                return PlainServiceAnswer(
                    answer.status, answer.content_type, answer.body
                )
            except EndpointError as error:
                failed = reservation.grant.decode.endpoint_id
                ran = Ran.UNKNOWN if error.may_have_run else ran
                self._check_retry(context, error, ran)
            finally:
                self._release(reservation, failed, whole)
            avoid = (*avoid, failed)
            attempt += 1

    def _reserve(
        self, context: RequestContext, attempt: int, avoid: tuple[str, ...]
    ) -> Reservation:
        wish = ReservationRequest(
            request_id=context.request.request_id,
            attempt=attempt,
            service=context.request.service,
            spread=context.action.spread,
            priority=context.action.priority.rank,
            first_token_by=context.first_token_by,
            wait_until=context.wait_until,
            prompt_tokens=1,
            output_tokens=1,
            avoid_endpoint_ids=avoid,
            plain=True,
        )
        with tracer().start_as_current_span("reserve"):
            return self._router.reserve(wish, context.interrupted)

    def _call(
        self, context: RequestContext, attempt: int, reservation: Reservation
    ) -> PlainAnswer:
        request = context.request
        endpoint = reservation.grant.decode
        call = partial(
            call_plain_service,
            endpoint.address,
            request.service.path,
            RequestRef(request.request_id, attempt, self._owner),
            request.body,
            request.idempotency_key,
            context.end_by,
            context.interrupted if request.repeatable else never_interrupted,
        )
        with tracer().start_as_current_span("call") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            return call()

    def _check_retry(
        self, context: RequestContext, error: EndpointError, ran: Ran
    ) -> None:
        request = context.request
        extra = {"request_id": request.request_id, "error": str(error)}
        logger.info("attempt failed", extra=extra)
        if ran is Ran.UNKNOWN and not request.repeatable:
            raise _failed(error, ran, "it is not repeatable") from error
        if context.end_by.remaining() < MINIMUM_RETRY_SECONDS:
            raise _failed(error, ran, "its deadline is near") from error
        if not self._budgets.take(request.service.name):
            raise _failed(error, ran, "the retry budget is spent") from error
        self._meters.retries.add(
            1, {"service": request.service.name, "cause": error.error_id}
        )

    def _release(self, reservation: Reservation, failed: str, whole: bool) -> None:
        grant_id = reservation.grant.grant_id
        progress = GrantProgress(grant_id, False, False, True, 0, int(whole), failed)
        self._router.report(reservation, progress)


def _failed(error: EndpointError, ran: Ran, reason: str) -> RequestRefusedError:
    return RequestRefusedError(
        error.error_id,
        f"The request ended without an answer, and {reason}: {error.message}",
        status=502,
        ran=ran,
        retry_after=1.0 if ran is Ran.NO else None,
    )
