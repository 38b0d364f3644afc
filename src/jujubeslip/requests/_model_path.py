"""The path of a model request over its attempts, each resumed where one ended."""

from __future__ import annotations

import time
from collections.abc import Iterator

from jujubeslip.endpoints import CallerGoneError, EndpointError
from jujubeslip.kernel import Deadline, Ran, RequestRefusedError, steady_seconds
from jujubeslip.requests._cancellation import Cancellation, Canceller
from jujubeslip.requests._model_attempt import ModelAttempt, ModelProgress
from jujubeslip.requests._models import RequestContext
from jujubeslip.requests._retries import RetryPolicy, with_ran
from jujubeslip.routing import Reservation, ReservationRequest, Router
from jujubeslip.telemetry import Meters, tracer

# How long a request that may have run asks for another grant although it is refused,
# and how often, in seconds. A host that was suspended takes about as long to find the
# other hosts and their endpoints.
REDISCOVERY_SECONDS = 3.0
REDISCOVERY_PAUSE_SECONDS = 0.1


class ModelPath:
    """Runs one model request; the attempts share what was already paid for."""

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
        """Yield the answer's tokens; return only once it is whole.

        A decode that fails is resumed at the exact next token: from the KV cache that
        the prefill endpoint still holds, else by another prefill.
        """
        self._retries.note_request(context)
        progress = ModelProgress()
        try:
            yield from self._attempts(context, progress)
        except RequestRefusedError as refusal:
            raise with_ran(refusal, progress.ran) from refusal
        except CallerGoneError as error:
            raise CallerGoneError(error.message, progress.ran) from error
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
        left = context.request.max_tokens - progress.tokens
        needed = left * progress.seconds_per_token
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
        before = progress.tokens
        try:
            yield from attempt.tokens()
        finally:
            attempt.finish()
            made = progress.tokens - before
            if made:
                progress.seconds_per_token = (steady_seconds() - started) / made

    def _reserve(self, context: RequestContext, progress: ModelProgress) -> Reservation:
        request = context.request
        resumed = progress.tokens > 0
        wish = ReservationRequest(
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
                progress.computed.endpoint_id if progress.computed else ""
            ),
        )
        with tracer().start_as_current_span("reserve"):
            return self._reserve_as(wish, context, progress)

    def _reserve_as(
        self,
        wish: ReservationRequest,
        context: RequestContext,
        progress: ModelProgress,
    ) -> Reservation:
        """Return a grant; a request that may have run is refused less soon.

        Its client can't send it again safely, and it may be refused only because this
        host was suspended and knows no other one for a moment.
        """
        limit = wish.wait_until.earlier_of(Deadline.after(REDISCOVERY_SECONDS))
        while True:
            try:
                return self._router.reserve(wish, context.interrupted)
            except RequestRefusedError:
                if progress.ran is Ran.NO or limit.expired:
                    raise
            if context.interrupted():
                raise CallerGoneError("The client closed its connection.")
            time.sleep(REDISCOVERY_PAUSE_SECONDS)

    def _free_prompt(self, context: RequestContext, progress: ModelProgress) -> None:
        """Free a computed prompt that was kept for an attempt that never came.

        After a whole answer the engine keeps it as prefix cache, evicted first.
        """
        computed = progress.computed
        if computed is None or progress.whole:
            return
        self._canceller.cancel(
            Cancellation(
                computed.endpoint_id,
                computed.address,
                context.request.request_id,
                computed.attempt,
            )
        )
