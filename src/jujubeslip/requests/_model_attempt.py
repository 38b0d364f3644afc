"""One attempt of a model request: prefill, KV transfer and decode."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from jujubeslip.endpoints import (
    ClientDisconnectedError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    EngineAdapter,
    PrefillResult,
    RequestRef,
)
from jujubeslip.kernel import Deadline, Ran
from jujubeslip.peers import EndpointRef, GrantProgress
from jujubeslip.requests._cancellation import Cancellation, Canceller
from jujubeslip.requests._models import RequestContext
from jujubeslip.routing import Reservation, Router
from jujubeslip.telemetry import Meters, current_traceparent, tracer

# A stream that is silent for this long, in seconds, is resumed at another endpoint.
MINIMUM_SILENCE_SECONDS = 2.0
SILENCE_IN_TOKEN_GAPS = 4
KV_GONE = "kv_gone"
TRANSFER_FAILED = "transfer_failed"
SOURCE_CHECK_SECONDS = 0.5
# A transfer that takes longer than this minimum plus the prompt's tokens at this rate
# is considered stalled.
MINIMUM_TRANSFER_SECONDS = 5.0
SLOWEST_TOKENS_PER_SECOND = 1000.0
# The endpoint of a grant older than this, in seconds, is checked before use: it may
# have begun to leave since its last report to its home.
GRANT_FRESH_SECONDS = 0.8
NEW_WORK_CHECK_SECONDS = 1.0


@dataclass(frozen=True)
class PrefilledPrompt:
    """The location of a prefilled prompt's KV cache."""

    endpoint_id: str
    address: str
    kv_id: str
    attempt: int


@dataclass
class ModelProgress:
    """The progress of a request over all its attempts."""

    tokens: int = 0
    attempt: int = 1
    prefilled: PrefilledPrompt | None = None
    ran: Ran = Ran.NO
    complete: bool = False
    seconds_per_token: float = 0.0
    failed_endpoint_ids: list[str] = field(default_factory=list)


class ModelAttempt:
    """Runs one attempt on granted endpoints, and frees what it holds afterwards."""

    def __init__(
        self,
        owner: str,
        router: Router,
        canceller: Canceller,
        meters: Meters,
        context: RequestContext,
        progress: ModelProgress,
        reservation: Reservation,
    ) -> None:
        self._router = router
        self._canceller = canceller
        self._meters = meters
        self._context = context
        self._progress = progress
        self._reservation = reservation
        self._ref = RequestRef(context.request.request_id, progress.attempt, owner)
        self._grant_fresh_until = Deadline.after(GRANT_FRESH_SECONDS)
        self._delivered = 0
        self._failed_endpoint_id = ""

    def tokens(self) -> Iterator[str]:
        """Yield the tokens that follow those of the earlier attempts."""
        prefilled = self._progress.prefilled or self._prefill()
        try:
            kv_id = self._transfer(prefilled)
        except EndpointRefusedError as error:
            if error.reason != KV_GONE:
                raise
            # The KV cache was evicted before the transfer: prefill the prompt again.
            self._progress.prefilled = None
            kv_id = self._transfer(self._prefill())
        yield from self._decode(kv_id)

    def _prefill(self) -> PrefilledPrompt:
        endpoint = self._reservation.grant.prefill
        request = self._context.request
        if self._context.interrupted():
            # The client disconnected while the grant was pending. A prefill sent now
            # would be wasted, and reporting "not run" would be wrong.
            raise ClientDisconnectedError("The client closed its connection.")
        self._check_new_work(endpoint)
        adapter = self._adapter(endpoint)
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
            except ClientDisconnectedError:
                # The engine may have started, so reporting "not run" would be wrong.
                self._progress.ran = Ran.UNKNOWN
                raise
            except EndpointError:
                self._record_failure(endpoint.endpoint_id)
                raise
        self._progress.ran = Ran.UNKNOWN
        self._report_prefill(result)
        prefilled = PrefilledPrompt(
            endpoint.endpoint_id, endpoint.address, result.kv_id, self._ref.attempt
        )
        self._progress.prefilled = prefilled
        return prefilled

    def _check_new_work(self, endpoint: EndpointRef) -> None:
        """Check that the endpoint of an old grant still accepts new work.

        A long prefill or a suspended process can delay the use of a grant. The endpoint
        may have begun to leave in the meantime, and would get new work long after that.
        """
        if not self._grant_fresh_until.expired:
            return
        try:
            self._adapter(endpoint).check_new_work(
                endpoint.incarnation, Deadline.after(NEW_WORK_CHECK_SECONDS)
            )
        except EndpointError as error:
            self._record_failure(endpoint.endpoint_id)
            # This call sent no work; earlier calls are recorded in the progress.
            raise EndpointUnreachableError(error.message) from error

    def _adapter(self, endpoint: EndpointRef) -> EngineAdapter:
        return EngineAdapter(endpoint.address, self._context.interrupted)

    def _report_prefill(self, result: PrefillResult) -> None:
        service = self._context.request.service.name
        self._meters.prefill_tokens.add(result.computed_tokens, {"service": service})
        self._report(prefill_finished=True, prefill_tokens=result.computed_tokens)

    def _transfer(self, prefilled: PrefilledPrompt) -> str:
        endpoint = self._reservation.grant.decode
        self._check_new_work(endpoint)
        with tracer().start_as_current_span("transfer") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            try:
                kv_id = self._adapter(endpoint).import_kv(
                    self._ref,
                    prefilled.address,
                    prefilled.kv_id,
                    self._context.action.priority.rank,
                    self._context.end_by,
                    current_traceparent(),
                    self._transfer_limit(),
                )
            except EndpointError as error:
                self._record_failed_transfer(prefilled, error)
                raise
        self._report(transfer_finished=True)
        return kv_id

    def _transfer_limit(self) -> float:
        tokens = self._context.request.prompt_tokens
        return MINIMUM_TRANSFER_SECONDS + tokens / SLOWEST_TOKENS_PER_SECOND

    def _record_failed_transfer(
        self, prefilled: PrefilledPrompt, error: EndpointError
    ) -> None:
        """Record the failed endpoint: the decode endpoint or the transfer's source."""
        reason = error.reason if isinstance(error, EndpointRefusedError) else ""
        if reason == KV_GONE:
            return
        if reason == TRANSFER_FAILED and not self._is_reachable(prefilled):
            self._progress.prefilled = None
            self._record_failure(prefilled.endpoint_id)
            return
        self._record_failure(self._reservation.grant.decode.endpoint_id)

    def _is_reachable(self, prefilled: PrefilledPrompt) -> bool:
        """Return whether the prefill endpoint that holds the prompt can be reached.

        If it died, every transfer from it fails at a healthy decode endpoint, and all
        retries would be spent on such transfers.
        """
        limit = self._context.end_by.earlier_of(Deadline.after(SOURCE_CHECK_SECONDS))
        try:
            EngineAdapter(prefilled.address).status(limit)
        except EndpointError:
            return False
        return True

    def _decode(self, kv_id: str) -> Iterator[str]:
        endpoint = self._reservation.grant.decode
        gap = self._context.action.between_tokens_ms / 1000
        # The span isn't made current, since the generator is suspended and resumed for
        # each token.
        span = tracer().start_span("decode")
        span.set_attribute("endpoint", endpoint.endpoint_id)
        span.set_attribute("attempt", self._ref.attempt)
        stream = self._adapter(endpoint).decode(
            self._ref,
            kv_id,
            self._progress.tokens,
            self._context.request.max_tokens,
            self._context.end_by,
            max(MINIMUM_SILENCE_SECONDS, SILENCE_IN_TOKEN_GAPS * gap),
            current_traceparent(),
        )
        try:
            for token in stream:
                self._progress.tokens += 1
                self._delivered += 1
                yield token
        except EndpointError:
            self._record_failure(endpoint.endpoint_id)
            raise
        finally:
            stream.close()  # type: ignore[attr-defined]
            span.end()
        self._progress.complete = True

    def _record_failure(self, endpoint_id: str) -> None:
        self._failed_endpoint_id = endpoint_id
        self._progress.failed_endpoint_ids.append(endpoint_id)

    def finish(self) -> None:
        """Release the grant and free what the attempt holds at the engines.

        A prefilled prompt is kept, since the next attempt transfers it again.
        """
        complete = self._progress.complete
        self._report(released=True, output_tokens=self._delivered if complete else 0)
        if complete:
            return
        grant = self._reservation.grant
        self._cancel(grant.decode)
        prefilled = self._progress.prefilled
        if prefilled is None or prefilled.endpoint_id != grant.prefill.endpoint_id:
            self._cancel(grant.prefill)

    def _cancel(self, endpoint: EndpointRef) -> None:
        self._canceller.cancel(
            Cancellation(
                endpoint.endpoint_id,
                endpoint.address,
                self._ref.request_id,
                self._ref.attempt,
            )
        )

    def _report(
        self,
        prefill_finished: bool = False,
        transfer_finished: bool = False,
        released: bool = False,
        prefill_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        self._router.report(
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
