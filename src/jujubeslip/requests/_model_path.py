"""The path of a model request: reserve, prefill, transfer, decode, resume."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from jujubeslip.endpoints import (
    EndpointError,
    EndpointRefusedError,
    EngineAdapter,
    PrefillResult,
    RequestRef,
)
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.peers import GrantProgress
from jujubeslip.requests._cancellation import Cancellation, Canceller
from jujubeslip.requests._models import RequestContext
from jujubeslip.routing import Reservation, ReservationRequest, RetryBudgets, Router
from jujubeslip.telemetry import Meters, current_traceparent, tracer

logger = logging.getLogger(__name__)

# A stream without a byte for this long, in seconds, is resumed elsewhere.
MINIMUM_SILENCE = 2.0
SILENCE_IN_TOKEN_GAPS = 10
KV_GONE = "kv_gone"
# A further attempt is only begun with at least this much time left, in seconds.
MINIMUM_RETRY_SECONDS = 0.1
BACKOFF_SECONDS = 0.05


@dataclass(frozen=True)
class ComputedPrompt:
    """Where a computed prompt's KV cache is held."""

    endpoint_id: str
    address: str
    kv_id: str
    attempt: int


@dataclass
class _Progress:
    """How far the request has come over all its attempts."""

    tokens: int = 0
    attempt: int = 1
    computed: ComputedPrompt | None = None
    sent: bool = False
    failed_endpoint_ids: list[str] = field(default_factory=list)


class ModelPath:
    """Runs one model request; the attempts share what was already paid for."""

    def __init__(
        self,
        owner: str,
        router: Router,
        canceller: Canceller,
        budgets: RetryBudgets,
        meters: Meters,
    ) -> None:
        self._owner = owner
        self._router = router
        self._canceller = canceller
        self._budgets = budgets
        self._meters = meters

    def tokens(self, context: RequestContext) -> Iterator[str]:
        """Yield the answer's tokens; return only once it is whole.

        A decode that fails is resumed at the exact next token: from the KV cache that
        the prefill endpoint still holds, else by another prefill.
        """
        service = context.request.service
        self._budgets.note_request(service.name, service.retry_budget_share)
        progress = _Progress()
        while True:
            try:
                yield from self._attempt(context, progress)
                return
            except EndpointError as error:
                self._prepare_retry(context, progress, error)

    def _prepare_retry(
        self, context: RequestContext, progress: _Progress, error: EndpointError
    ) -> None:
        """Allow a further attempt, or raise the refusal that ends the request."""
        request = context.request
        extra = {
            "request_id": request.request_id,
            "client": request.client.name,
            "attempt": progress.attempt,
            "error": str(error),
        }
        logger.info("attempt failed", extra=extra)
        if not request.repeatable and progress.sent:
            raise _failed(error, Ran.UNKNOWN, "it is not repeatable") from error
        ran = Ran.UNKNOWN if progress.sent else Ran.NO
        if context.end_by.remaining() < MINIMUM_RETRY_SECONDS:
            raise _failed(error, ran, "its deadline is near") from error
        if not self._budgets.take(request.service.name):
            raise _failed(error, ran, "the retry budget is spent") from error
        self._meters.retries.add(
            1, {"service": request.service.name, "cause": error.error_id}
        )
        progress.attempt += 1
        if not progress.tokens:
            time.sleep(min(BACKOFF_SECONDS, context.end_by.remaining()))

    def _attempt(self, context: RequestContext, progress: _Progress) -> Iterator[str]:
        reservation = self._reserve(context, progress)
        run = _Attempt(self, context, progress, reservation)
        try:
            yield from run.tokens()
        finally:
            run.finish()

    def _reserve(self, context: RequestContext, progress: _Progress) -> Reservation:
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
            return self._router.reserve(wish, context.interrupted)


class _Attempt:
    """One attempt on granted endpoints, and what must be freed after it."""

    def __init__(
        self,
        path: ModelPath,
        context: RequestContext,
        progress: _Progress,
        reservation: Reservation,
    ) -> None:
        self._path = path
        self._context = context
        self._progress = progress
        self._reservation = reservation
        request = context.request
        self._ref = RequestRef(request.request_id, progress.attempt, path._owner)
        self._whole = False
        self._delivered = 0
        self._failed_endpoint_id = ""

    def tokens(self) -> Iterator[str]:
        """Yield the tokens from where the earlier attempts ended."""
        computed = self._progress.computed or self._prefill()
        try:
            kv_id = self._transfer(computed)
        except EndpointRefusedError as error:
            if error.reason != KV_GONE:
                raise
            # Evicted before the transfer: the prompt must be computed once more.
            self._progress.computed = None
            kv_id = self._transfer(self._prefill())
        yield from self._decode(kv_id)

    def _prefill(self) -> ComputedPrompt:
        endpoint = self._reservation.grant.prefill
        request = self._context.request
        adapter = EngineAdapter(endpoint.address, self._context.interrupted)
        self._progress.sent = True
        with tracer().start_as_current_span("prefill") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            try:
                result = adapter.prefill(
                    self._ref,
                    request.model,
                    request.prompt,
                    self._context.action.priority.rank,
                    self._context.end_by,
                    current_traceparent(),
                )
            except EndpointError:
                self._note_failed(endpoint.endpoint_id)
                raise
        self._note_prefill(result)
        computed = ComputedPrompt(
            endpoint.endpoint_id, endpoint.address, result.kv_id, self._ref.attempt
        )
        self._progress.computed = computed
        return computed

    def _note_prefill(self, result: PrefillResult) -> None:
        service = self._context.request.service.name
        self._path._meters.prefill_tokens.add(
            result.computed_tokens, {"service": service}
        )
        self._report(prefill_finished=True, prefill_tokens=result.computed_tokens)

    def _transfer(self, computed: ComputedPrompt) -> str:
        endpoint = self._reservation.grant.decode
        adapter = EngineAdapter(endpoint.address, self._context.interrupted)
        with tracer().start_as_current_span("transfer") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            try:
                kv_id = adapter.import_kv(
                    self._ref,
                    computed.address,
                    computed.kv_id,
                    self._context.action.priority.rank,
                    self._context.end_by,
                    current_traceparent(),
                )
            except EndpointRefusedError as error:
                if error.reason != KV_GONE:
                    self._note_failed(endpoint.endpoint_id)
                raise
            except EndpointError:
                self._note_failed(endpoint.endpoint_id)
                raise
        self._report(transfer_finished=True)
        return kv_id

    def _decode(self, kv_id: str) -> Iterator[str]:
        endpoint = self._reservation.grant.decode
        adapter = EngineAdapter(endpoint.address, self._context.interrupted)
        gap = self._context.action.between_tokens_ms / 1000
        # Not made current: the generator is left and entered again for each token.
        span = tracer().start_span("decode")
        span.set_attribute("endpoint", endpoint.endpoint_id)
        span.set_attribute("attempt", self._ref.attempt)
        stream = adapter.decode(
            self._ref,
            kv_id,
            self._progress.tokens,
            self._context.request.max_tokens,
            self._context.end_by,
            max(MINIMUM_SILENCE, SILENCE_IN_TOKEN_GAPS * gap),
            current_traceparent(),
        )
        try:
            for token in stream:
                self._progress.tokens += 1
                self._delivered += 1
                yield token
        except EndpointError:
            self._note_failed(endpoint.endpoint_id)
            raise
        finally:
            stream.close()  # type: ignore[attr-defined]
            span.end()
        self._whole = True

    def _note_failed(self, endpoint_id: str) -> None:
        self._failed_endpoint_id = endpoint_id
        self._progress.failed_endpoint_ids.append(endpoint_id)

    def finish(self) -> None:
        """Give the grant back and free what the attempt holds at the engines."""
        self._report(released=True, output_tokens=self._delivered if self._whole else 0)
        if self._whole:
            self._free_earlier_prompt()
            return
        grant = self._reservation.grant
        self._cancel(grant.decode.address, self._ref.attempt)
        computed = self._progress.computed
        if computed is None or self._is_over():
            self._cancel(grant.prefill.address, self._ref.attempt)
            self._free_earlier_prompt()

    def _is_over(self) -> bool:
        """Say whether no further attempt can use the computed prompt."""
        context = self._context
        return context.interrupted() or context.end_by.expired

    def _free_earlier_prompt(self) -> None:
        computed = self._progress.computed
        if computed is not None and computed.attempt != self._ref.attempt:
            self._cancel(computed.address, computed.attempt)

    def _cancel(self, address: str, attempt: int) -> None:
        request_id = self._ref.request_id
        self._path._canceller.cancel(Cancellation(address, request_id, attempt))

    def _report(
        self,
        prefill_finished: bool = False,
        transfer_finished: bool = False,
        released: bool = False,
        prefill_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        self._path._router.report(
            self._reservation,
            GrantProgress(
                self._reservation.grant.grant_id,
                prefill_finished,
                transfer_finished,
                released,
                prefill_tokens,
                output_tokens,
                self._failed_endpoint_id,
            ),
        )


def _failed(error: EndpointError, ran: Ran, reason: str) -> RequestRefusedError:
    return RequestRefusedError(
        error.error_id,
        f"The request ended without a whole answer, and {reason}: {error.message}",
        status=502,
        ran=ran,
        retry_after=1.0 if ran is Ran.NO else None,
    )
