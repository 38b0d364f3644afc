"""The path of a request to a plain service."""

from __future__ import annotations

from functools import partial

from jujubeslip.endpoints import (
    CallerGoneError,
    EndpointError,
    Interrupted,
    PlainAnswer,
    RequestRef,
    call_plain_service,
    never_interrupted,
)
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.peers import GrantProgress
from jujubeslip.requests._answers import PlainServiceAnswer
from jujubeslip.requests._models import RequestContext
from jujubeslip.requests._retries import RetryPolicy, with_ran
from jujubeslip.routing import Reservation, ReservationRequest, Router
from jujubeslip.telemetry import tracer


class PlainPath:
    """Runs one request at a plain service; at most once if it is not repeatable."""

    def __init__(self, owner: str, router: Router, retries: RetryPolicy) -> None:
        self._owner = owner
        self._router = router
        self._retries = retries

    def answer(self, context: RequestContext) -> PlainServiceAnswer:
        """Return the service's answer whole, or raise RequestRefusedError."""
        self._retries.note_request(context)
        attempt = 1
        avoid: tuple[str, ...] = ()
        ran = Ran.NO
        while True:
            reservation = self._reserve(context, attempt, avoid, ran)
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
                self._retries.allow_retry(context, attempt, error, ran)
            except CallerGoneError as error:
                raise CallerGoneError(error.message, Ran.UNKNOWN) from error
            finally:
                self._release(reservation, failed, whole)
            avoid = (*avoid, failed)
            attempt += 1
            self._retries.pause(context, attempt)

    def _reserve(
        self, context: RequestContext, attempt: int, avoid: tuple[str, ...], ran: Ran
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
        try:
            with tracer().start_as_current_span("reserve"):
                return self._router.reserve(wish, context.interrupted)
        except RequestRefusedError as refusal:
            raise with_ran(refusal, ran) from refusal
        except CallerGoneError as error:
            raise CallerGoneError(error.message, ran) from error

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
            _interruption(context),
        )
        with tracer().start_as_current_span("call") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            return call()

    def _release(self, reservation: Reservation, failed: str, whole: bool) -> None:
        grant_id = reservation.grant.grant_id
        progress = GrantProgress(grant_id, False, False, True, 0, int(whole), failed)
        self._router.report(reservation, progress)


def _interruption(context: RequestContext) -> Interrupted:
    """Return what ends the call early.

    A call with an Idempotency-Key goes on when its caller goes: the service has
    begun, and the caller's resend gets the recorded answer. If it ended with its
    caller, the resend would run the request a second time.
    """
    request = context.request
    if request.idempotency_key or not request.repeatable:
        return never_interrupted
    return context.interrupted
