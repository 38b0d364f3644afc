"""Serving of a model request by attempts, each resumed where the last one ended."""

from __future__ import annotations

import time
from collections.abc import Iterator

from jujubeslip.endpoints import ClientDisconnectedError, EndpointError
from jujubeslip.kernel import Deadline, Ran, RequestRefusedError, steady_seconds
from jujubeslip.requests._cancellation import Cancellation, Canceller
from jujubeslip.requests._model_attempt import ModelAttempt, ModelProgress
from jujubeslip.requests._models import RequestContext
from jujubeslip.requests._retries import RetryPolicy, with_ran
from jujubeslip.routing import Reservation, ReservationRequest, Router
from jujubeslip.telemetry import Meters, tracer

# How long a request that may have run retries a refused reservation, and how often, in
# seconds. A host that was suspended takes about this long to rediscover the other hosts
# and their endpoints.
REDISCOVERY_SECONDS = 3.0
REDISCOVERY_PAUSE_SECONDS = 0.1


class ModelPath:
    """Runs one model request; attempts share the prefilled prompt and the tokens."""

    def __init__(
        self,
        owner: str,
        router: Router,
        canceller: Canceller,
        retries: RetryPolicy,
        meters: Meters,
    ) -> None:
        self._owner = owner
        self._router = router
        self._canceller = canceller
        self._retries = retries
        self._meters = meters

    def tokens(self, context: RequestContext) -> Iterator[str]:
        """Yield the answer's tokens; return only once the answer is complete.

        A failed decode is resumed at the exact next token: from the KV cache that the
        prefill endpoint still holds, or else after another prefill.
        """
        self._retries.note_request(context)
        progress = ModelProgress()
        try:
            yield from self._attempts(context, progress)
        except RequestRefusedError as refusal:
            raise with_ran(refusal, progress.ran) from refusal
        except ClientDisconnectedError as error:
            raise ClientDisconnectedError(error.message, progress.ran) from error
        finally:
            self._free_prompt(context, progress)

    def _attempts(
        self, context: RequestContext, progress: ModelProgress
    ) -> Iterator[str]:
        while True:
            try:
                yield from self._attempt(context, progress)
                return
            except EndpointError as error:
                if error.may_have_run:
                    progress.ran = Ran.UNKNOWN
                self._prepare_retry(context, progress, error)

    def _prepare_retry(
        self, context: RequestContext, progress: ModelProgress, error: EndpointError
    ) -> None:
        remaining_tokens = context.request.max_tokens - progress.tokens
        needed = remaining_tokens * progress.seconds_per_token
        self._retries.allow_retry(
            context, progress.attempt, error, progress.ran, needed
        )
        progress.attempt += 1
        if not progress.tokens:
            self._retries.pause(context, progress.attempt)

    def _attempt(
        self, context: RequestContext, progress: ModelProgress
    ) -> Iterator[str]:
        reservation = self._reserve(context, progress)
        attempt = ModelAttempt(
            self._owner,
            self._router,
            self._canceller,
            self._meters,
            context,
            progress,
            reservation,
        )
        started = steady_seconds()
        tokens_before = progress.tokens
        try:
            yield from attempt.tokens()
        finally:
            attempt.finish()
            generated = progress.tokens - tokens_before
            if generated:
                progress.seconds_per_token = (steady_seconds() - started) / generated

    def _reserve(self, context: RequestContext, progress: ModelProgress) -> Reservation:
        request = context.request
        resumed = progress.tokens > 0
        reservation_request = ReservationRequest(
            request_id=request.request_id,
            attempt=progress.attempt,
            service=request.service,
            spread=context.action.spread,
            priority=context.action.priority.rank,
            first_token_by=context.end_by if resumed else context.first_token_by,
            wait_until=context.end_by if resumed else context.wait_until,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.max_tokens - progress.tokens,
            prefix_hashes=request.prefix_hashes,
            avoid_endpoint_ids=tuple(progress.failed_endpoint_ids),
            prefill_endpoint_id=(
                progress.prefilled.endpoint_id if progress.prefilled else ""
            ),
        )
        with tracer().start_as_current_span("reserve"):
            return self._reserve_with_retries(reservation_request, context, progress)

    def _reserve_with_retries(
        self,
        reservation_request: ReservationRequest,
        context: RequestContext,
        progress: ModelProgress,
    ) -> Reservation:
        """Return a grant; retry a refused reservation if the request may have run.

        The client of such a request can't resend it safely, and the refusal may be
        temporary: a host that was suspended knows no other host for a moment.
        """
        limit = reservation_request.wait_until.earlier_of(
            Deadline.after(REDISCOVERY_SECONDS)
        )
        while True:
            try:
                return self._router.reserve(reservation_request, context.interrupted)
            except RequestRefusedError:
                if progress.ran is Ran.NO or limit.expired:
                    raise
            if context.interrupted():
                raise ClientDisconnectedError("The client closed its connection.")
            time.sleep(REDISCOVERY_PAUSE_SECONDS)

    def _free_prompt(self, context: RequestContext, progress: ModelProgress) -> None:
        """Free a prefilled prompt that was kept for a further attempt.

        After a complete answer it stays at the engine as prefix cache, which is evicted
        first.
        """
        prefilled = progress.prefilled
        if prefilled is None or progress.complete:
            return
        self._canceller.cancel(
            Cancellation(
                prefilled.endpoint_id,
                prefilled.address,
                context.request.request_id,
                prefilled.attempt,
            )
        )
