"""Serving of a request to a plain service."""

from __future__ import annotations

from functools import partial

from jujubeslip.endpoints import (
    ClientDisconnectedError,
    EndpointError,
    Interrupted,
    PlainAnswer,
    RequestRef,
    call_plain_service,
)
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.peers import GrantProgress
from jujubeslip.requests._answers import PlainServiceAnswer
from jujubeslip.requests._models import RequestContext
from jujubeslip.requests._retries import RetryPolicy, with_ran
from jujubeslip.routing import Reservation, ReservationRequest, Router
from jujubeslip.telemetry import tracer


class PlainPath:
    """Runs a request at a plain service, at most once if it is not repeatable."""

    def __init__(self, owner: str, router: Router, retries: RetryPolicy) -> None:
        self._owner = owner
        self._router = router
        self._retries = retries

    def answer(self, context: RequestContext) -> PlainServiceAnswer:
        """Return the service's complete answer, or raise RequestRefusedError."""
        self._retries.note_request(context)
        attempt = 1
        avoided_endpoint_ids: tuple[str, ...] = ()
        ran = Ran.NO
        while True:
            reservation = self._reserve(context, attempt, avoided_endpoint_ids, ran)
            failed_endpoint_id = ""
            complete = False
            try:
                answer = self._call(context, attempt, reservation, ran)
                complete = True
                return PlainServiceAnswer(
                    answer.status, answer.content_type, answer.body
                )
            except EndpointError as error:
                failed_endpoint_id = reservation.grant.decode.endpoint_id
                ran = Ran.UNKNOWN if error.may_have_run else ran
                self._retries.allow_retry(context, attempt, error, ran)
            finally:
                self._release(reservation, failed_endpoint_id, complete)
            avoided_endpoint_ids = (*avoided_endpoint_ids, failed_endpoint_id)
            attempt += 1
            self._retries.pause(context, attempt)

    def _reserve(
        self,
        context: RequestContext,
        attempt: int,
        avoided_endpoint_ids: tuple[str, ...],
        ran: Ran,
    ) -> Reservation:
        reservation_request = ReservationRequest(
            request_id=context.request.request_id,
            attempt=attempt,
            service=context.request.service,
            spread=context.action.spread,
            priority=context.action.priority.rank,
            first_token_by=context.first_token_by,
            wait_until=context.wait_until,
            prompt_tokens=1,
            output_tokens=1,
            avoid_endpoint_ids=avoided_endpoint_ids,
            plain=True,
        )
        try:
            with tracer().start_as_current_span("reserve"):
                return self._router.reserve(reservation_request, context.interrupted)
        except RequestRefusedError as refusal:
            raise with_ran(refusal, ran) from refusal
        except ClientDisconnectedError as error:
            raise ClientDisconnectedError(error.message, ran) from error

    def _call(
        self, context: RequestContext, attempt: int, reservation: Reservation, ran: Ran
    ) -> PlainAnswer:
        if context.interrupted():
            # The client disconnected while the grant was pending: this attempt sent
            # nothing, so only earlier attempts determine `ran`.
            raise ClientDisconnectedError("The client closed its connection.", ran)
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
            _interruption(context),
        )
        with tracer().start_as_current_span("call") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            try:
                return call()
            except ClientDisconnectedError as error:
                raise ClientDisconnectedError(error.message, Ran.UNKNOWN) from error

    def _release(
        self, reservation: Reservation, failed_endpoint_id: str, complete: bool
    ) -> None:
        grant_id = reservation.grant.grant_id
        progress = GrantProgress(
            grant_id, False, False, True, 0, int(complete), failed_endpoint_id
        )
        self._router.report(reservation, progress)


def _interruption(context: RequestContext) -> Interrupted:
    """Return the condition that interrupts the call.

    A call with an Idempotency-Key continues when its client disconnects: the service
    has started, and the client's resend gets the recorded answer. If the call ended
    with the connection, the resend would run the request a second time. A request that
    is not repeatable continues too. An operator can still abandon the call; its client
    then gets an error with `ran` UNKNOWN.
    """
    request = context.request
    if request.idempotency_key or not request.repeatable:
        return context.abandoned
    return context.interrupted
