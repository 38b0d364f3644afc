"""One attempt of a model request: prefill, transfer, decode on granted endpoints."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from jujubeslip.endpoints import (
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

# A stream without a byte for this long, in seconds, is resumed elsewhere.
MINIMUM_SILENCE = 2.0
SILENCE_IN_TOKEN_GAPS = 4
KV_GONE = "kv_gone"
TRANSFER_FAILED = "transfer_failed"
SOURCE_CHECK_SECONDS = 0.5
# A transfer that is slower than this has stalled.
MINIMUM_TRANSFER_SECONDS = 5.0
SLOWEST_TOKENS_PER_SECOND = 1000.0
# A grant that is older than this, in seconds, is not relied on without asking: the
# endpoint may have begun to leave since its home last heard from it.
GRANT_FRESH_SECONDS = 0.8
CHECK_SECONDS = 1.0


@dataclass(frozen=True)
class ComputedPrompt:
    """Where a computed prompt's KV cache is held."""

    endpoint_id: str
    address: str
    kv_id: str
    attempt: int


@dataclass
class ModelProgress:
    """How far the request has come over all its attempts."""

    tokens: int = 0
    attempt: int = 1
    computed: ComputedPrompt | None = None
    ran: Ran = Ran.NO
    whole: bool = False
    seconds_per_token: float = 0.0
    failed_endpoint_ids: list[str] = field(default_factory=list)


class ModelAttempt:
    """One attempt on granted endpoints, and what must be freed after it."""

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
        self._fresh_until = Deadline.after(GRANT_FRESH_SECONDS)
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
            except EndpointError:
                self._note_failed(endpoint.endpoint_id)
                raise
        self._progress.ran = Ran.UNKNOWN
        self._note_prefill(result)
        computed = ComputedPrompt(
            endpoint.endpoint_id, endpoint.address, result.kv_id, self._ref.attempt
        )
        self._progress.computed = computed
        return computed

    def _check_new_work(self, endpoint: EndpointRef) -> None:
        """Ask an endpoint that was granted a while ago whether it is leaving.

        A long prefill, or a process that was stopped for a while, lies between the
        grant and its use. The endpoint can have begun to leave meanwhile, and would
        get new work long after that.
        """
        if not self._fresh_until.expired:
            return
        try:
            self._adapter(endpoint).check_new_work(
                endpoint.incarnation, Deadline.after(CHECK_SECONDS)
            )
        except EndpointError as error:
            self._note_failed(endpoint.endpoint_id)
            # Nothing of this call was sent; earlier ones are in the progress.
            raise EndpointUnreachableError(error.message) from error

    def _adapter(self, endpoint: EndpointRef) -> EngineAdapter:
        return EngineAdapter(endpoint.address, self._context.interrupted)

    def _note_prefill(self, result: PrefillResult) -> None:
        service = self._context.request.service.name
        self._meters.prefill_tokens.add(result.computed_tokens, {"service": service})
        self._report(prefill_finished=True, prefill_tokens=result.computed_tokens)

    def _transfer(self, computed: ComputedPrompt) -> str:
        endpoint = self._reservation.grant.decode
        self._check_new_work(endpoint)
        with tracer().start_as_current_span("transfer") as span:
            span.set_attribute("endpoint", endpoint.endpoint_id)
            try:
                kv_id = self._adapter(endpoint).import_kv(
                    self._ref,
                    computed.address,
                    computed.kv_id,
                    self._context.action.priority.rank,
                    self._context.end_by,
                    current_traceparent(),
                    self._transfer_limit(),
                )
            except EndpointError as error:
                self._note_failed_transfer(computed, error)
                raise
        self._report(transfer_finished=True)
        return kv_id

    def _transfer_limit(self) -> float:
        tokens = self._context.request.prompt_tokens
        return MINIMUM_TRANSFER_SECONDS + tokens / SLOWEST_TOKENS_PER_SECOND

    def _note_failed_transfer(
        self, computed: ComputedPrompt, error: EndpointError
    ) -> None:
        """Blame the endpoint that failed: the decode one, or the source it read."""
        reason = error.reason if isinstance(error, EndpointRefusedError) else ""
        if reason == KV_GONE:
            return
        if reason == TRANSFER_FAILED and not self._answers(computed):
            self._progress.computed = None
            self._note_failed(computed.endpoint_id)
            return
        self._note_failed(self._reservation.grant.decode.endpoint_id)

    def _answers(self, computed: ComputedPrompt) -> bool:
        """Say whether the prefill endpoint that holds the prompt can be reached.

        If it died, every transfer from it fails at a healthy decode endpoint, and
        the retries would all be spent on it.
        """
        limit = self._context.end_by.earlier_of(Deadline.after(SOURCE_CHECK_SECONDS))
        try:
            EngineAdapter(computed.address).status(limit)
        except EndpointError:
            return False
        return True

    def _decode(self, kv_id: str) -> Iterator[str]:
        endpoint = self._reservation.grant.decode
        gap = self._context.action.between_tokens_ms / 1000
        # Not made current: the generator is left and entered again for each token.
        span = tracer().start_span("decode")
        span.set_attribute("endpoint", endpoint.endpoint_id)
        span.set_attribute("attempt", self._ref.attempt)
        stream = self._adapter(endpoint).decode(
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
        self._progress.whole = True

    def _note_failed(self, endpoint_id: str) -> None:
        self._failed_endpoint_id = endpoint_id
        self._progress.failed_endpoint_ids.append(endpoint_id)

    def finish(self) -> None:
        """Give the grant back and free what the attempt holds at the engines.

        A computed prompt is kept: the next attempt transfers it again.
        """
        whole = self._progress.whole
        self._report(released=True, output_tokens=self._delivered if whole else 0)
        if whole:
            return
        grant = self._reservation.grant
        self._cancel(grant.decode)
        computed = self._progress.computed
        if computed is None or computed.endpoint_id != grant.prefill.endpoint_id:
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
